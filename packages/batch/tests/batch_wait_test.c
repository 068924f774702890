/* Waits for a better rack. */
#include "batch_int.h"
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC
#define PENALTY 2
#define ESTIMATE (4 * SECOND)
#define COST ((PENALTY - 1) * ESTIMATE) /* of the wrong rack */
#define RACK_TASKS 16			/* that fit on one rack */
#define LONG_SLACK (1000 * SECOND)

static batch_wait_kind_t decide(int64_t expected, int64_t uncertainty,
				int64_t slack, int64_t waited)
{
	batch_wait_input_t in = { .expected = expected,
				  .uncertainty = uncertainty,
				  .cost = COST,
				  .slack = slack,
				  .waited = waited };

	return batch_wait_decide(&in).kind;
}

/* Load: a rack with capacity soon, late, or perhaps late. */
static void test_decide(void)
{
	g_assert_cmpint(decide(SECOND, 0, LONG_SLACK, 0), ==,
			BATCH_WAIT_FOR_RACK);
	g_assert_cmpint(decide(COST, 0, LONG_SLACK, 0), ==, BATCH_WAIT_NONE);
	g_assert_cmpint(decide(SECOND, COST, LONG_SLACK, 0), ==,
			BATCH_WAIT_NONE);
	g_assert_cmpint(decide(-1, 0, LONG_SLACK, 0), ==, BATCH_WAIT_NONE);
}

/* Load: estimates wrong by a factor of ten, so that capacity seems to be near
 * at all times. */
static void test_bound(void)
{
	int64_t waited = 0;

	while (decide(SECOND / 10, 0, LONG_SLACK - waited, waited) ==
	       BATCH_WAIT_FOR_RACK)
		waited += BATCH_PASS_INTERVAL;
	g_assert_cmpint(waited, >, COST / 2);
	g_assert_cmpint(waited, <=, COST);
	g_assert_cmpint(decide(0, 0, LONG_SLACK - waited, waited), ==,
			BATCH_WAIT_BOUND_REACHED);
}

/*
 * Load: jobs of any slack, and capacity that never comes.  A job that is in
 * time elsewhere must still be so when its wait ends.
 */
static void test_wait_makes_no_job_late(void)
{
	int64_t slack;

	for (slack = -COST; slack < 4 * COST; slack += 37 * MS) {
		int64_t waited = 0;

		while (decide(0, 0, slack - waited, waited) ==
		       BATCH_WAIT_FOR_RACK)
			waited += BATCH_PASS_INTERVAL;
		g_assert_cmpint(waited, <=, COST);
		if (slack >= COST)
			g_assert_cmpint(slack - waited, >=, COST);
	}
}

/* The users grant that nothing of a job runs for 3 s while its pool has room,
 * whatever the wrong rack costs. */
static void test_bound_of_a_neglected_job(void)
{
	batch_wait_input_t in = { .cost = 60 * SECOND,
				  .slack = -1,
				  .expected = 0,
				  .is_neglected = true };

	while (batch_wait_decide(&in).kind == BATCH_WAIT_FOR_RACK)
		in.waited += BATCH_PASS_INTERVAL;
	g_assert_cmpint(in.waited, <=, 3 * SECOND - 2 * BATCH_PASS_INTERVAL);
	in.is_neglected = false;
	g_assert_cmpint(batch_wait_decide(&in).kind, ==, BATCH_WAIT_FOR_RACK);
}

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

/* A world with racks r0 to r3. */
static world_t *new_world(void)
{
	world_t *world = world_new(1, 16, 2);

	world_set_remote_penalty(world, PENALTY);
	world_advance(world, 200 * MS);
	return world;
}

/* Tasks whose data is on rack r0. */
static void submit_local(world_t *world, const char *id, int count)
{
	batch_step_spec_t step = world_step(count);

	step.estimate = ESTIMATE;
	step.data_rack = BASE_STR("r0");
	g_assert_cmpint(world_submit(world, id, &step, 1), ==, BATCH_ACCEPTED);
}

/* Runs of the job on the rack; NULL: on any. */
static int count_runs(const world_t *world, const char *job, const char *rack)
{
	int n = 0;
	int w;
	guint i;

	for (w = 0; w < world->n_workers; w++) {
		const world_worker_t *worker = &world->workers[w];

		if (rack && strcmp(worker->rack, rack))
			continue;
		for (i = 0; i < worker->runs->len; i++)
			n += !strcmp(
				g_array_index(worker->runs, world_run_t, i).job,
				job);
	}
	return n;
}

/* Rack r0 runs tasks that end in a second or earlier, all others are idle. */
static world_t *nearly_free_world(void)
{
	world_t *world = new_world();
	int w;
	guint i;

	submit_local(world, "fill", RACK_TASKS);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "fill", "r0"), ==, RACK_TASKS);
	for (w = 0; w < 4; w++)
		for (i = 0; i < world->workers[w].runs->len; i++)
			g_array_index(world->workers[w].runs, world_run_t, i)
				.length = ESTIMATE;
	world_advance(world, 3 * SECOND);
	return world;
}

/* Guards against a job of which nothing runs for as long as its data's rack is
 * busy, half a minute here, while all other racks are idle. */
static void test_rack_busy_for_long(void)
{
	world_t *world = new_world();
	batch_step_spec_t step = world_step(RACK_TASKS);
	int64_t began;

	step.estimate = 35 * SECOND;
	step.data_rack = BASE_STR("r0");
	world_submit(world, "fill", &step, 1);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "fill", "r0"), ==, RACK_TASKS);
	step.count = 1;
	step.estimate = 60 * SECOND;
	world_submit(world, "a", &step, 1);
	began = world->now;
	while (!count_runs(world, "a", NULL) &&
	       world->now < began + 10 * SECOND)
		world_advance(world, 50 * MS);
	g_assert_cmpint(world->now - began, <, 3 * SECOND);
	check_and_free(world);
}

static uint64_t waits(const world_t *world, batch_rack_wait_outcome_t outcome)
{
	batch_stats_t stats;

	batch_stats(world->core, &stats);
	return stats.rack_waits[outcome];
}

static uint64_t all_waits(const world_t *world)
{
	return waits(world, BATCH_RACK_WAIT_FREE) +
	       waits(world, BATCH_RACK_WAIT_BOUND) +
	       waits(world, BATCH_RACK_WAIT_MOOT);
}

static const batch_task_t *find_task(const world_t *world, const char *id)
{
	const batch_job_t *job = batch_find_job(world->core, base_str(id));

	return &((batch_occ_t *)job->occs->pdata[0])->steps[0].tasks[0];
}

static const char *why(const world_t *world, const char *id)
{
	return batch_fit_why(find_task(world, id), world->now);
}

/* Load: an idle fleet.  A wait would only cost time. */
static void test_idle(void)
{
	world_t *world = new_world();

	submit_local(world, "a", RACK_TASKS);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", "r0"), ==, RACK_TASKS);
	world_advance(world, 8 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpuint(all_waits(world), ==, 0);
	check_and_free(world);
}

/* Load: a full fleet.  It lacks room, which is no wait for a rack. */
static void test_full(void)
{
	world_t *world = new_world();
	batch_step_spec_t fill = world_step(4 * RACK_TASKS);

	fill.estimate = 20 * SECOND;
	world_submit(world, "fill", &fill, 1);
	world_advance(world, 500 * MS);
	submit_local(world, "a", 4);
	world_advance(world, 6 * SECOND);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 0);
	g_assert_cmpstr(why(world, "a"), ==, "no worker has room");
	g_assert_cmpuint(all_waits(world), ==, 0);
	world_advance(world, 60 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* Load: a rack that is full for a second more than the task's arrival. */
static void test_capacity_becomes_free(void)
{
	world_t *world = nearly_free_world();

	submit_local(world, "a", 4);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 0);
	g_assert_nonnull(strstr(why(world, "a"), "rack r0"));
	world_advance(world, 1200 * MS);
	g_assert_cmpint(count_runs(world, "a", "r0"), ==, 4);
	g_assert_cmpuint(waits(world, BATCH_RACK_WAIT_FREE), ==, 4);
	g_assert_cmpuint(all_waits(world), ==, 4);
	check_and_free(world);
}

/* Load: the same without the setting.  Nothing may change without it. */
static void test_no_penalty(void)
{
	world_t *world = nearly_free_world();

	world_set_remote_penalty(world, 1);
	world_advance(world, 100 * MS);
	submit_local(world, "a", 4);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 4);
	g_assert_cmpint(count_runs(world, "a", "r0"), ==, 0);
	check_and_free(world);
}

/*
 * Load: many tasks that prefer one rack.  As many as it can serve within the
 * penalty wait, the others must not queue behind them.
 */
static void test_crowd(void)
{
	world_t *world = nearly_free_world();
	int elsewhere;

	submit_local(world, "a", 2 * RACK_TASKS);
	world_advance(world, 200 * MS);
	elsewhere = count_runs(world, "a", NULL);
	g_assert_cmpint(count_runs(world, "a", "r0"), ==, 0);
	g_assert_cmpint(elsewhere, ==, RACK_TASKS);
	world_advance(world, COST);
	g_assert_cmpint(find_task(world, "a")->step->placed, ==,
			2 * RACK_TASKS);
	check_and_free(world);
}

/*
 * Load: a task without a preferred rack, beside tasks that wait for one.  It
 * must start at once, and the waits must not call for instances.
 */
static void test_wait_blocks_nobody(void)
{
	world_t *world = nearly_free_world();
	batch_step_spec_t steps[2] = { world_step(4), world_step(4) };
	batch_step_spec_t small = world_step(1);
	batch_move_t moves[8];

	steps[0].estimate = ESTIMATE;
	steps[0].data_rack = BASE_STR("r0");
	world_submit(world, "a", steps, 2);
	world_submit(world, "b", &small, 1);
	world_advance(world, 200 * MS);
	g_assert_nonnull(strstr(why(world, "a"), "rack r0"));
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 4);
	g_assert_cmpint(count_runs(world, "b", NULL), ==, 1);
	g_assert_cmpuint(
		batch_moves(world->core, world->now, 8, true, moves, 8), ==, 0);
	check_and_free(world);
}

static double needed_cpu(const world_t *world)
{
	batch_pools_measure(world->core, world->now);
	return batch_pool_get(world->core, BASE_STR("pool"))->need_now.cpu;
}

/* Load: a job that waits, with little slack.  The time that it waits must not
 * raise what its pool needs. */
static void test_wait_adds_no_demand(void)
{
	world_t *world = nearly_free_world();
	batch_job_t *job;
	double need;

	world->stretch = 3;
	world_take_over(world);
	world_advance(world, 100 * MS);
	submit_local(world, "a", 4);
	world_advance(world, 400 * MS);
	job = batch_find_job(world->core, BASE_STR("a"));
	g_assert_nonnull(strstr(why(world, "a"), "rack r0"));
	need = needed_cpu(world);
	job->rack_wait_until = 0;
	g_assert_cmpfloat(need, <, needed_cpu(world));
	check_and_free(world);
}

/* Load: a task that is smaller than one that waits.  Capacity that is too small
 * for the latter must not stay idle for it. */
static void test_smaller_task_goes_first(void)
{
	world_t *world = nearly_free_world();
	batch_step_spec_t large = world_step(1);
	batch_step_spec_t small = world_step(1);

	g_array_index(world->workers[0].runs, world_run_t, 0).length = MS;
	large.estimate = ESTIMATE;
	large.need.cpu = 8000;
	large.data_rack = BASE_STR("r0");
	small.data_rack = BASE_STR("r0");
	world_submit(world, "large", &large, 1);
	world_advance(world, 100 * MS);
	world_submit(world, "small", &small, 1);
	world_advance(world, 100 * MS);
	g_assert_nonnull(strstr(why(world, "large"), "rack r0"));
	g_assert_cmpint(count_runs(world, "small", "r0"), ==, 1);
	check_and_free(world);
}

static void cordon(world_t *world, int worker)
{
	batch_worker_cordon(world->core, world->now,
			    base_str(world->workers[worker].id), true);
}

static void drop(world_t *world, int worker)
{
	world_worker_set_unreachable(world, worker, true);
	batch_worker_silent(world->core, base_str(world->workers[worker].id));
}

/* Load: a rack that goes away while tasks wait for it. */
static void test_rack_goes(gconstpointer arg)
{
	void (*remove)(world_t *, int) = (void (*)(world_t *, int))arg;
	world_t *world = nearly_free_world();
	int w;

	submit_local(world, "a", 4);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 0);
	for (w = 0; w < 4; w++)
		remove(world, w);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 4);
	g_assert_cmpuint(waits(world, BATCH_RACK_WAIT_MOOT), ==, 4);
	check_and_free(world);
}

/*
 * Load: the runs on the rack take ten times as long as they should from now on.
 * The wait must end by what the wrong rack costs, also after a takeover.
 */
static void test_wrong_estimates(gconstpointer arg)
{
	world_t *world = nearly_free_world();
	int w;

	for (w = 0; w < 4; w++)
		world->workers[w].slowdown = 10;
	submit_local(world, "a", 4);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 0);
	world_advance(world, COST / 2);
	if (arg)
		world_take_over(world);
	world_advance(world, COST / 2);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 4);
	g_assert_cmpint(count_runs(world, "a", "r0"), ==, 0);
	check_and_free(world);
}

static void submit_gang(world_t *world, const char *id, int count)
{
	batch_step_spec_t step = world_step(count);

	step.estimate = ESTIMATE;
	step.gang = true;
	step.same_rack = true;
	g_assert_cmpint(world_submit(world, id, &step, 1), ==, BATCH_ACCEPTED);
}

/*
 * Load: a gang that fits on one rack in a second, on several now.  It must wait
 * as a whole, then start on one.
 */
static void test_gang(void)
{
	world_t *world = nearly_free_world();
	const char *const racks[] = { "r1", "r2", "r3" };
	batch_step_spec_t fill = world_step(RACK_TASKS - 2);
	size_t i;

	/* Leaves room for two tasks on each of the other racks. */
	fill.estimate = 60 * SECOND;
	for (i = 0; i < ARRAY_SIZE(racks); i++) {
		fill.data_rack = base_str(racks[i]);
		world_submit(world, racks[i], &fill, 1);
	}
	world_advance(world, 200 * MS);
	submit_gang(world, "a", 6);
	world_advance(world, 200 * MS);
	g_assert_cmpint(count_runs(world, "a", NULL), ==, 0);
	g_assert_nonnull(strstr(why(world, "a"), "rack r0"));
	world_advance(world, 1200 * MS);
	g_assert_cmpint(count_runs(world, "a", "r0"), ==, 6);
	check_and_free(world);
}

/* Load: a cancelled job whose tasks wait. */
static void test_cancel(void)
{
	world_t *world = nearly_free_world();

	submit_local(world, "a", 4);
	world_advance(world, 200 * MS);
	world_cancel(world, "a");
	world_advance(world, 200 * MS);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_CANCELLED);
	g_assert_cmpuint(waits(world, BATCH_RACK_WAIT_MOOT), ==, 4);
	check_and_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch/wait/decide", test_decide);
	g_test_add_func("/batch/wait/bound", test_bound);
	g_test_add_func("/batch/wait/bound-of-a-neglected-job",
			test_bound_of_a_neglected_job);
	g_test_add_func("/batch/wait/rack-busy-for-long",
			test_rack_busy_for_long);
	g_test_add_func("/batch/wait/makes-no-job-late",
			test_wait_makes_no_job_late);
	g_test_add_func("/batch/wait/idle", test_idle);
	g_test_add_func("/batch/wait/full", test_full);
	g_test_add_func("/batch/wait/capacity-becomes-free",
			test_capacity_becomes_free);
	g_test_add_func("/batch/wait/no-penalty", test_no_penalty);
	g_test_add_func("/batch/wait/crowd", test_crowd);
	g_test_add_func("/batch/wait/blocks-nobody", test_wait_blocks_nobody);
	g_test_add_func("/batch/wait/adds-no-demand", test_wait_adds_no_demand);
	g_test_add_func("/batch/wait/smaller-task-goes-first",
			test_smaller_task_goes_first);
	g_test_add_data_func("/batch/wait/rack-cordoned", (gconstpointer)cordon,
			     test_rack_goes);
	g_test_add_data_func("/batch/wait/rack-unreachable",
			     (gconstpointer)drop, test_rack_goes);
	g_test_add_data_func("/batch/wait/wrong-estimates", NULL,
			     test_wrong_estimates);
	g_test_add_data_func("/batch/wait/takeover", "takeover",
			     test_wrong_estimates);
	g_test_add_func("/batch/wait/gang", test_gang);
	g_test_add_func("/batch/wait/cancel", test_cancel);
	return g_test_run();
}
