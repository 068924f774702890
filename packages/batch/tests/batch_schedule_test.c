/*
 * Jobs that repeat, with many occurrences that are due at once.
 */
#include "../batch_int.h"
#include "batch_world_int.h"

#define MS BASE_MS
#define SECOND BASE_SEC
/* Of a task in a row: its numbers and its worker. */
#define ROW_TASK_SIZE 64
/* Done tasks that a row may list, beside those of the steps at work. */
#define ROW_DONE_TASKS 2000

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

static size_t row_size(const world_t *world, const char *job)
{
	const char *row = g_hash_table_lookup(world->rows, job);

	return row ? strlen(row) : 0;
}

#define PAST_STEPS 4
#define PAST_TASKS 8
#define PAST_OCCURRENCES 600
/* Tasks that a schedule has in memory: open and not done, and done. */
#define PAST_HELD_TASKS (2000 + ROW_DONE_TASKS)
/* Of a task, with its part of the step and the occurrence. */
#define PAST_TASK_MEMORY 400

static void set_past_steps(batch_step_spec_t *steps)
{
	int i;

	for (i = 0; i < PAST_STEPS; i++) {
		steps[i] = world_step(PAST_TASKS);
		steps[i].need = (batch_res_t){ 500, 100, 0 };
		steps[i].estimate = 200 * MS;
		steps[i].depends_on = i ? 1U << (i - 1) : 0;
	}
}

static size_t job_memory(const world_t *world, const char *id)
{
	return talloc_total_size(batch_find_job(world->core, base_str(id)));
}

/* The tasks of lower occurrences are done, or have a run, once one has. */
static bool is_begun_in_order(const world_t *world, const char *id)
{
	const batch_job_t *job = batch_find_job(world->core, base_str(id));
	bool waits = false;
	guint i;
	int t;

	for (i = 0; job->occs && i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (t = 0; t < PAST_TASKS; t++) {
			const batch_task_t *task = &occ->steps[0].tasks[t];

			if (task->number && waits)
				return false;
			waits |= !task->number && !task->done;
		}
	}
	return true;
}

/*
 * Guards against a holder that needs more memory than its machine has (LOST):
 * it opened all occurrences of a job that were due, and kept those that were
 * done; and against one that is skipped, or runs again, after a takeover.
 */
static void test_past_occurrences(void)
{
	world_t *world = world_new(1, 16, 3);
	batch_step_spec_t steps[PAST_STEPS];
	world_schedule_t schedule = {
		.repeat = PAST_OCCURRENCES,
		.first_at = world->now - PAST_OCCURRENCES * SECOND,
		.interval = SECOND,
	};
	size_t memory = 0;
	size_t row = 0;
	int i;

	set_past_steps(steps);
	world_submit_repeating(world, "a", steps, PAST_STEPS, &schedule);
	for (i = 0; i < 1200 && world_state(world, "a") != BATCH_COMPLETED;
	     i++) {
		world_advance(world, 100 * MS);
		memory = MAX(memory, job_memory(world, "a"));
		row = MAX(row, row_size(world, "a"));
		if (i % 20 != 19)
			continue;
		g_assert_true(is_begun_in_order(world, "a"));
		world_take_over(world);
	}
	g_test_message("%d starts, %d done, %d bytes, row of %d", world->starts,
		       world->finished, (int)memory, (int)row);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world->finished, ==,
			PAST_OCCURRENCES * PAST_STEPS * PAST_TASKS);
	g_assert_cmpuint(memory, <, PAST_HELD_TASKS * PAST_TASK_MEMORY);
	g_assert_cmpuint(row, <, PAST_HELD_TASKS * ROW_TASK_SIZE);
	check_and_free(world);
}

#define TROUBLE_SEEDS 60
#define TROUBLE_OCCURRENCES 150

static void disturb(world_t *world, base_rng_t *rng)
{
	int worker = (int)base_rng_below(rng, 16);

	if (base_rng_below(rng, 3) == 0)
		world_take_over(world);
	if (world->workers[worker].crashed)
		world_worker_restart(world, worker, base_rng_below(rng, 2));
	else if (base_rng_below(rng, 4) == 0)
		world_worker_crash(world, worker);
	else if (base_rng_below(rng, 4) == 0)
		world_worker_set_unreachable(
			world, worker, !world->workers[worker].unreachable);
}

static void restore_workers(world_t *world)
{
	int i;

	world->lost_answer_percent = 0;
	world->late_order_percent = 0;
	for (i = 0; i < 16; i++) {
		if (world->workers[i].crashed)
			world_worker_restart(world, i, true);
		if (world->workers[i].unreachable)
			world_worker_set_unreachable(world, i, false);
	}
}

static void run_trouble(uint64_t seed)
{
	world_t *world = world_new(seed, 16, 3);
	base_rng_t rng = { .state = seed };
	batch_step_spec_t steps[PAST_STEPS];
	world_schedule_t schedule = {
		.repeat = TROUBLE_OCCURRENCES,
		.first_at = world->now - TROUBLE_OCCURRENCES * SECOND,
		.interval = SECOND,
	};
	int i;

	g_test_message("seed %d", (int)seed);
	world->lost_answer_percent = 5;
	world->late_order_percent = 5;
	set_past_steps(steps);
	world_submit_repeating(world, "a", steps, PAST_STEPS, &schedule);
	for (i = 0; i < 20; i++) {
		world_advance(world, 500 * MS);
		disturb(world, &rng);
	}
	restore_workers(world);
	for (i = 0; i < 120 && world_state(world, "a") != BATCH_COMPLETED; i++)
		world_advance(world, SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpuint(
		g_hash_table_size(world_find_job(world, "a")->finished_tasks),
		==, TROUBLE_OCCURRENCES * PAST_STEPS * PAST_TASKS);
	check_and_free(world);
}

/*
 * Guards against a task that is lost, or runs again, as its occurrence is freed
 * or opened amid crashes, late orders and takeovers.
 */
static void test_past_occurrences_in_trouble(void)
{
	uint64_t seed;

	for (seed = 1; seed <= TROUBLE_SEEDS; seed++)
		run_trouble(seed);
}

/* Guards against the cancel of a schedule that starts further occurrences. */
static void test_cancel_of_past_occurrences(void)
{
	world_t *world = world_new(1, 16, 3);
	batch_step_spec_t steps[PAST_STEPS];
	world_schedule_t schedule = {
		.repeat = PAST_OCCURRENCES,
		.first_at = world->now - PAST_OCCURRENCES * SECOND,
		.interval = SECOND,
	};
	int starts;

	set_past_steps(steps);
	world_submit_repeating(world, "a", steps, PAST_STEPS, &schedule);
	world_advance(world, 10 * SECOND);
	g_assert_cmpint(world->finished, >, ROW_DONE_TASKS);
	world_cancel(world, "a");
	world_advance(world, 5 * SECOND);
	g_assert_true(world_cancelled(world, "a"));
	starts = world->starts;
	world_take_over(world);
	world_advance(world, 10 * SECOND);
	g_assert_cmpint(world->starts, ==, starts);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_CANCELLED);
	check_and_free(world);
}

#define FORMER_ROW                                                       \
	"{\"state\":\"running\",\"cancelled\":false,\"begun\":true,"     \
	"\"arrived\":1,\"ended\":0,\"occurrences\":30240,"               \
	"\"tasks\":[[0,0,0,1,1,0,\"\",\"\"],[2,0,1,0,1,0,\"w1\",\"\"]]," \
	"\"incarnations\":{\"w1\":1}}"

/*
 * Guards against a row of a former version that ends each successor (LOST): it
 * counts all occurrences that were due as opened.
 */
static void test_row_with_all_occurrences_open(void)
{
	world_t *world = world_new(1, 1, 3);
	batch_step_spec_t steps[PAST_STEPS];
	batch_spec_t spec = { .id = BASE_STR("a"),
			      .queue = BASE_STR("queue"),
			      .steps = steps,
			      .n_steps = PAST_STEPS,
			      .repeat = 43200,
			      .first_at = world->now - 30240 * SECOND,
			      .interval = SECOND };
	batch_stored_t stored = { .id = spec.id,
				  .spec = &spec,
				  .record = FORMER_ROW,
				  .until = world->now + SECOND };
	batch_task_id_t id = { spec.id, 0, 0, 0 };

	set_past_steps(steps);
	g_assert_true(batch_restore(world->core, world->now, world->now,
				    &stored, NULL));
	g_assert_cmpuint(job_memory(world, "a"), <,
			 PAST_HELD_TASKS * PAST_TASK_MEMORY);
	g_assert_true(batch_find_task(world->core, &id)->done);
	id.occurrence = 2;
	id.index = 1;
	g_assert_nonnull(batch_find_task(world->core, &id)->run);
	batch_place(world->core, world->now, world->now);
	g_assert_cmpuint(job_memory(world, "a"), <,
			 PAST_HELD_TASKS * PAST_TASK_MEMORY);
	id.occurrence = 3;
	g_assert_nonnull(batch_find_task(world->core, &id));
	world_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-schedule/past-occurrences",
			test_past_occurrences);
	g_test_add_func("/batch-schedule/past-occurrences-in-trouble",
			test_past_occurrences_in_trouble);
	g_test_add_func("/batch-schedule/cancel-of-past-occurrences",
			test_cancel_of_past_occurrences);
	g_test_add_func("/batch-schedule/row-with-all-occurrences-open",
			test_row_with_all_occurrences_open);
	return g_test_run();
}
