/*
 * Placement with degraded, draining or restricted workers, and throttling of
 * best-effort tasks.
 */
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

static void submit_jobs(world_t *world, int n, int64_t gap)
{
	batch_step_spec_t step = world_step(4);
	char id[8];
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		world_submit(world, id, &step, 1);
		world_advance(world, gap);
	}
}

static int count_completed(world_t *world, int n)
{
	char id[8];
	int done = 0;
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		done += world_state(world, id) == BATCH_COMPLETED;
	}
	return done;
}

/* Tasks on one worker make no progress while the worker answers polls. */
static void test_stalled_tasks_restart_elsewhere(void)
{
	world_t *world = world_new(2, 4, 2);

	world->workers[1].stalled = true;
	submit_jobs(world, 8, 300 * MS);
	world_advance(world, 6 * SECOND);
	g_assert_cmpint(count_completed(world, 8), ==, 8);
	check_and_free(world);
}

/* One worker takes ten times as long for every task. */
static void test_slow_tasks_are_moved(void)
{
	world_t *world = world_new(2, 4, 2);

	world->workers[1].slowdown = 10;
	submit_jobs(world, 8, 300 * MS);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(count_completed(world, 8), ==, 8);
	check_and_free(world);
}

/* A job whose tasks are slow on every worker is not moved again and again. */
static void test_long_job_is_not_moved_repeatedly(void)
{
	world_t *world = world_new(2, 6, 2);
	batch_step_spec_t step = world_step(4);
	int i;

	for (i = 0; i < 6; i++)
		world->workers[i].slowdown = 6;
	world_submit(world, "a", &step, 1);
	world_advance(world, 25 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world->starts, <=, 4 * 3); /* at most two moves each */
	check_and_free(world);
}

/* Tasks run only on workers with their label, and on each at most
 * max_per_worker of them. */
static void test_labels_and_tasks_per_worker(void)
{
	world_t *world = world_new(4, 6, 2);
	batch_step_spec_t step = world_step(4);
	int i;

	for (i = 0; i < 6; i += 2)
		g_strlcpy(world->workers[i].label, "b",
			  sizeof(world->workers[i].label));
	world_take_over(world); /* the next holder reads the labels */
	step.label = BASE_STR("b");
	step.max_per_worker = 2;
	world_submit(world, "a", &step, 1);
	world_advance(world, 500 * MS);
	g_assert_cmpuint(world->workers[1].runs->len +
				 world->workers[3].runs->len +
				 world->workers[5].runs->len,
			 ==, 0);
	g_assert_cmpint(world->starts, ==, 4);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* A draining worker gets no starts; all jobs complete nevertheless. */
static void test_draining_worker_gets_no_starts(void)
{
	world_t *world = world_new(4, 4, 2);
	batch_step_spec_t step = world_step(4);
	char id[8];
	int i;

	for (i = 0; i < 20; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		world_submit(world, id, &step, 1);
		if (i == 3 || i == 9)
			world_worker_drain(world, i / 3);
		world_advance(world, 250 * MS);
	}
	world_advance(world, 6 * SECOND);
	g_assert_cmpint(count_completed(world, 20), ==, 20);
	check_and_free(world);
}

static int count_active_best_effort(const world_t *world)
{
	int n = 0;
	int i;
	guint j;

	for (i = 0; i < world->n_workers; i++)
		for (j = 0; j < world->workers[i].runs->len; j++) {
			const world_run_t *run = &g_array_index(
				world->workers[i].runs, world_run_t, j);

			n += !strcmp(run->job, "f") && run->pace > 0;
		}
	return n;
}

/*
 * Best-effort tasks raise the tail latency of the serving tasks beside them
 * over its target, by an amount that changes.
 */
static void test_tails_stay_below_target(void)
{
	world_t *world = world_new(5, 3, 2);
	batch_step_spec_t serving = world_step(3);
	batch_step_spec_t best_effort_step = world_step(6);

	serving.long_running = true;
	serving.max_per_worker = 1;
	serving.tail_target = 700 * MS;
	best_effort_step.best_effort = true;
	best_effort_step.estimate = 4 * SECOND;
	world->interference = 50;
	world_submit(world, "s", &serving, 1);
	world_advance(world, SECOND);
	world_submit(world, "f", &best_effort_step, 1);
	world_advance(world, 12 * SECOND);
	world->interference = 200;
	world_advance(world, 8 * SECOND);
	g_assert_cmpint(count_active_best_effort(world), ==, 0);
	world->interference = 5;
	world_advance(world, 40 * SECOND);
	g_assert_cmpint(world_state(world, "f"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

static world_t *new_advised_world(uint64_t seed)
{
	world_t *world = world_new(seed, 8, 2);
	int i;

	for (i = 1; i < 8; i += 2)
		world->workers[i].allowed = false;
	world_set_advised(world);
	world_advance(world, 100 * MS);
	return world;
}

/* The policy service allows only half of the workers to run a step. */
static void test_advised_queue(void)
{
	world_t *world = new_advised_world(6);
	batch_step_spec_t steps[2] = { world_step(6), world_step(6) };

	steps[1].depends_on = 1;
	world_submit(world, "a", steps, 2);
	world_advance(world, 6 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world->tickets_refused, ==, 0);
	g_assert_cmpint(world->questions, <=, 4);
	check_and_free(world);
}

/* Jobs complete although tickets expire, workers restart and holders change. */
static void test_advised_queue_under_faults(void)
{
	world_t *world = new_advised_world(7);
	char id[8];
	batch_step_spec_t step = world_step(4);
	int i;

	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		world_submit(world, id, &step, 1);
		world_advance(world, 500 * MS);
		if (i == 4)
			world_worker_restart(world, 2, true);
		if (i == 6)
			world_take_over(world);
		if (i == 8)
			world_worker_restart(world, 4, false);
	}
	world_advance(world, 12 * SECOND);
	g_assert_cmpint(count_completed(world, 12), ==, 12);
	check_and_free(world);
}

/* A question that is refused is asked again. */
static void test_advice_without_an_answer(void)
{
	world_t *world = new_advised_world(8);
	batch_step_spec_t step = world_step(4);

	world->advice.is_down = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, 30 * MS);
	g_assert_cmpint(world->questions, ==, 1);
	world->advice.is_down = false;
	world_advance(world, 5 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

static int racks_in_use(const world_t *world, const char *job)
{
	bool used[WORLD_WORKERS_MAX] = { false };
	int n = 0;
	int i;
	guint j;

	for (i = 0; i < world->n_workers; i++)
		for (j = 0; j < world->workers[i].runs->len; j++)
			if (!strcmp(g_array_index(world->workers[i].runs,
						  world_run_t, j)
					    .job,
				    job))
				used[i / 4] = true;
	for (i = 0; i < WORLD_WORKERS_MAX; i++)
		n += used[i];
	return n;
}

/* A step that is slower across racks stays on one while another is in use. */
static void test_step_stays_on_one_rack(void)
{
	world_t *world = world_new(9, 8, 2);
	batch_step_spec_t other = world_step(10);
	batch_step_spec_t together = world_step(8);

	together.same_rack = true;
	world_submit(world, "o", &other, 1);
	world_advance(world, 100 * MS);
	g_assert_cmpint(racks_in_use(world, "o"), ==, 1);
	world_submit(world, "t", &together, 1);
	world_advance(world, 100 * MS);
	g_assert_cmpint(world->starts, ==, 18);
	g_assert_cmpint(racks_in_use(world, "t"), ==, 1);
	check_and_free(world);
}

/* Whether run times were learned since the last print, with this count. */
static bool has_learned(world_t *world, const char *tasks)
{
	const char *text = batch_learned_print(world->core, world->core);

	return text && strstr(text, "\"queue\":[") && strstr(text, tasks);
}

/* A successor continues with the run times that its predecessor learned. */
static void test_learned_times_are_restored(void)
{
	world_t *world = world_new(10, 6, 2);
	batch_step_spec_t step = world_step(1);

	submit_jobs(world, 8, 500 * MS); /* of four tasks */
	world_advance(world, 4 * SECOND);
	g_assert_true(has_learned(world, ",32]"));
	g_assert_false(has_learned(world, ""));
	world_take_over(world);
	g_assert_true(batch_learned_load(
		world->core, BASE_STR("{\"queue\":[990000,32]}"), NULL));
	world_advance(world, 100 * MS);
	world_submit(world, "k", &step, 1);
	world_advance(world, 2 * SECOND);
	g_assert_true(has_learned(world, ",33]"));
	check_and_free(world);
}

static void test_invalid_learned_times(void)
{
	world_t *world = world_new(10, 2, 2);
	GError *err = NULL;

	g_assert_false(batch_learned_load(world->core, BASE_STR("[1"), &err));
	g_assert_error(err, BATCH_ERROR, BATCH_ERR_RECORD);
	g_clear_error(&err);
	/* Invalid entries and those of removed queues are ignored. */
	g_assert_true(batch_learned_load(
		world->core,
		BASE_STR("{\"queue\":[-1,0],\"gone\":[5,5],\"x\":7}"), NULL));
	g_assert_false(has_learned(world, ""));
	check_and_free(world);
}

/*
 * Returns the lowest number of running tasks after one worker starts to drain
 * and another one is cordoned at the same time.
 */
static int min_running_tasks(int draining, int cordoned)
{
	world_t *world = world_new(1, 8, 2);
	batch_step_spec_t step = world_step(5);
	int occupied[2] = { -1, -1 };
	int least = 5;
	int i;

	step.long_running = true;
	step.max_per_worker = 1;
	step.max_unavailable = 1;
	world_submit(world, "a", &step, 1);
	world_advance(world, 2 * SECOND);
	for (i = 0; i < 8; i++)
		if (world->workers[i].runs->len)
			occupied[occupied[0] >= 0] = i;
	world_worker_drain(world, occupied[draining]);
	batch_worker_cordon(world->core, world->now,
			    base_str(world->workers[occupied[cordoned]].id),
			    true);
	for (i = 0; i < 300; i++) {
		int running = 0;
		int task;

		world_advance(world, 10 * MS);
		for (task = 0; task < 5; task++)
			running += world_running(world, "a", 0, task);
		least = MIN(least, running);
	}
	world_advance(world, 5 * SECOND);
	g_assert_cmpuint(world->workers[occupied[cordoned]].runs->len, ==, 0);
	world_free(world);
	return least;
}

/*
 * Guards against too many unavailable tasks of one step (rule AVAIL): if the
 * task on a draining worker counts as running, another task of the step, on a
 * cordoned worker, is stopped at the same time.
 */
static void test_sibling_on_draining_worker_is_unavailable(void)
{
	g_assert_cmpint(min_running_tasks(0, 1), >=, 4);
	g_assert_cmpint(min_running_tasks(1, 0), >=, 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-worker/tasks-that-stand-still",
			test_stalled_tasks_restart_elsewhere);
	g_test_add_func("/batch-worker/slow-worker", test_slow_tasks_are_moved);
	g_test_add_func("/batch-worker/long-job-runs-through",
			test_long_job_is_not_moved_repeatedly);
	g_test_add_func("/batch-worker/labels-and-distance",
			test_labels_and_tasks_per_worker);
	g_test_add_func("/batch-worker/leaving",
			test_draining_worker_gets_no_starts);
	g_test_add_func("/batch-worker/leaving-sibling-counts-as-away",
			test_sibling_on_draining_worker_is_unavailable);
	g_test_add_func("/batch-worker/tails", test_tails_stay_below_target);
	g_test_add_func("/batch-worker/advised-queue", test_advised_queue);
	g_test_add_func("/batch-worker/advised-queue-under-faults",
			test_advised_queue_under_faults);
	g_test_add_func("/batch-worker/advice-without-an-answer",
			test_advice_without_an_answer);
	g_test_add_func("/batch-worker/one-rack", test_step_stays_on_one_rack);
	g_test_add_func("/batch-worker/learned-times",
			test_learned_times_are_restored);
	g_test_add_func("/batch-worker/bad-learned-times",
			test_invalid_learned_times);
	return g_test_run();
}
