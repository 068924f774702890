/*
 * Tests of batch_explain: a waiting task must get the reason that keeps it
 * waiting, and the facts must have the right values and age.
 */
#include <jansson.h>

#include "batch_world.h"

#define SECOND BASE_SEC

static json_t *explain_name(const world_t *world, const char *name)
{
	json_t *answer = batch_explain(world->core, world->now, base_str(name));

	g_assert_nonnull(answer);
	return answer;
}

static void assert_sentence_has(const world_t *world, const char *name,
				const char *part)
{
	json_t *answer = explain_name(world, name);
	const char *said = json_string_value(json_object_get(answer, "said"));

	if (!strstr(said, part))
		g_test_message("%s: %s", name, said);
	g_assert_nonnull(strstr(said, part));
	json_decref(answer);
}

static int64_t get_fact(const world_t *world, const char *name, const char *key)
{
	json_t *answer = explain_name(world, name);
	const json_t *value = json_object_get(answer, key);
	int64_t result = json_integer_value(value);

	g_assert_true(json_is_integer(value));
	json_decref(answer);
	return result;
}

static void test_job_that_runs(void)
{
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t steps[2] = { world_step(2), world_step(1) };
	json_t *answer;
	json_t *run;

	steps[1].depends_on = 1;
	world_submit(world, "a", steps, 2);
	world_advance(world, SECOND / 2);
	assert_sentence_has(world, "a", "job a is running");
	assert_sentence_has(world, "a", "step 0: 0 of 2 tasks done, 2 placed");
	assert_sentence_has(world, "a", "the steps before it are not done");
	g_assert_cmpint(get_fact(world, "a", "age_us"), ==, SECOND / 2);
	answer = explain_name(world, "a");
	run = json_array_get(json_object_get(answer, "runs"), 0);
	g_assert_cmpstr(json_string_value(json_object_get(run, "state")), ==,
			"running");
	g_assert_cmpint(
		json_integer_value(json_object_get(run, "looked_us_ago")), <,
		SECOND + SECOND / 2);
	json_decref(answer);
	world_advance(world, 5 * SECOND);
	assert_sentence_has(world, "a", "job a is completed.");
	world_free(world);
}

/* Number of workers of the reason, for the job's first step. */
static int64_t get_workers(const world_t *world, const char *job,
			   const char *reason)
{
	json_t *answer = explain_name(world, job);
	const json_t *step =
		json_array_get(json_object_get(answer, "steps"), 0);
	int64_t n = json_integer_value(
		json_object_get(json_object_get(step, "workers"), reason));

	json_decref(answer);
	return n;
}

/* Guards against a task that waits and no line that tells why. */
static void test_wait_is_logged(void)
{
	world_t *world = world_new(1, 3, 2);
	batch_step_spec_t step = world_step(1);

	step.need.cpu = 8001;
	world_submit(world, "large", &step, 1);
	batch_worker_cordon(world->core, world->now,
			    base_str(world->workers[0].id), true);
	world_advance(world, SECOND / 2);
	g_assert_cmpint(get_workers(world, "large", "no_room"), ==, 2);
	g_assert_cmpint(get_workers(world, "large", "cordoned"), ==, 1);
	g_assert_cmpint(world->wait_logs, ==, 0);
	world_advance(world, SECOND);
	g_assert_cmpint(world->wait_logs, ==, 1);
	g_assert_cmpint(world->logged_wait.n[BATCH_FIT_NO_ROOM], ==, 2);
	g_assert_cmpint(world->logged_wait.n[BATCH_FIT_CORDONED], ==, 1);
	world_advance(world, 8 * SECOND);
	g_assert_cmpint(world->wait_logs, ==, 3);
	world_free(world);
}

/* A missing label, no free capacity, then no usable worker in the pool. */
static void test_why_a_task_waits(void)
{
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t step = world_step(1);

	step.label = BASE_STR("none");
	world_submit(world, "label", &step, 1);
	step = world_step(1);
	step.need.cpu = 8001;
	world_submit(world, "large", &step, 1);
	world_advance(world, SECOND / 2);
	assert_sentence_has(world, "label", "has its label");
	assert_sentence_has(world, "large", "no worker has room");
	world_worker_set_unreachable(world, 0, true);
	world_worker_set_unreachable(world, 1, true);
	world_advance(world, 4 * SECOND);
	assert_sentence_has(world, "large", "can take work now");
	world_free(world);
}

static void test_job_that_is_not_stored(void)
{
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t step = world_step(1);

	world->store_down = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, SECOND);
	assert_sentence_has(world, "a", "it is not stored yet");
	world_free(world);
}

static void test_worker_and_pool(void)
{
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t step = world_step(3);
	const char *id = world->workers[0].id;

	world_submit(world, "a", &step, 1);
	world_advance(world, SECOND / 2);
	assert_sentence_has(world, id, "takes work");
	g_assert_cmpint(
		get_fact(world, id, "cpu_used") +
			get_fact(world, world->workers[1].id, "cpu_used"),
		==, 6000);
	g_assert_cmpint(get_fact(world, "pool", "workers"), ==, 2);
	g_assert_cmpint(get_fact(world, "pool", "jobs_open"), ==, 1);
	assert_sentence_has(world, "queue", "pool pool has 2 workers");
	batch_worker_cordon(world->core, world->now, base_str(id), true);
	assert_sentence_has(world, id, "is being emptied");
	batch_worker_silent(world->core, base_str(id));
	assert_sentence_has(world, id, "does not answer");
	g_assert_cmpint(get_fact(world, "pool", "usable"), ==, 1);
	g_assert_null(batch_explain(world->core, world->now, BASE_STR("no")));
	world_free(world);
}

/* A changed capacity shows, with what it was before and since when. */
static void test_changed_capacity(void)
{
	world_t *world = world_new(1, 1, 2);
	batch_step_spec_t step = world_step(4);

	step.estimate = 10 * SECOND;
	world_submit(world, "a", &step, 1);
	world_submit(world, "b", &step, 1);
	world_advance(world, SECOND);
	world_worker_set_capacity(world, 0, (batch_res_t){ 2000, 8000, 0 });
	world_advance(world, 2 * SECOND);
	assert_sentence_has(world, "w0", "4 tasks take 8.0 of 2.0 cores");
	assert_sentence_has(world, "w0",
			    "2.0 s ago its capacity changed from 8.0 cores, "
			    "32000 MB and 0 GPUs to 2.0 cores, 8000 MB and "
			    "0 GPUs.");
	g_assert_cmpint(get_fact(world, "w0", "cpu"), ==, 2000);
	g_assert_cmpint(get_fact(world, "w0", "gpu"), ==, 0);
	g_assert_cmpint(get_fact(world, "w0", "capacity_changed_us_ago"), ==,
			2 * SECOND);
	assert_sentence_has(world, "b", "4 wait: no worker has room");
	world_free(world);
}

/* Guards against a schedule that is behind, and nothing that tells so. */
static void test_occurrences(void)
{
	world_t *world = world_new(1, 1, 2);
	batch_step_spec_t step = world_step(4);
	world_schedule_t schedule = { .repeat = 9,
				      .first_at = world->now - 2 * SECOND,
				      .interval = SECOND };

	world_submit_repeating(world, "a", &step, 1, &schedule);
	world_advance(world, SECOND / 2);
	assert_sentence_has(world, "a",
			    "of 9 occurrences 3 are due, 0 of these done and "
			    "3 open; step 0: 0 of 4 tasks done, 4 placed");
	world_advance(world, 20 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	world_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-explain/job-that-runs", test_job_that_runs);
	g_test_add_func("/batch-explain/why-a-task-waits",
			test_why_a_task_waits);
	g_test_add_func("/batch-explain/wait-is-logged", test_wait_is_logged);
	g_test_add_func("/batch-explain/job-that-is-not-stored",
			test_job_that_is_not_stored);
	g_test_add_func("/batch-explain/worker-and-pool", test_worker_and_pool);
	g_test_add_func("/batch-explain/changed-capacity",
			test_changed_capacity);
	g_test_add_func("/batch-explain/occurrences", test_occurrences);
	return g_test_run();
}
