/* Copies of slow runs of speculative steps, each test with one failure. */
#include "batch_int.h"
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC
#define WORKERS 6

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

static void test_when_a_copy_pays(void)
{
	const batch_copy_case_t cases[] = {
		{ SECOND, 3 * SECOND, 30 },    /* needs 7 s more */
		{ SECOND, 3 * SECOND, 0 },     /* reports no progress */
		{ SECOND, 3 * SECOND, 70 },    /* needs 1.3 s more */
		{ SECOND, 3 * SECOND, 100 },   /* about to end */
		{ SECOND, 3 * SECOND / 2, 1 }, /* young */
		{ 50 * MS, 200 * MS, 1 },      /* of a short task */
		{ 50 * MS, 400 * MS, 1 },      /* the same, very slow */
	};
	const bool want[] = { true, true, false, false, false, false, true };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(batch_copy_pays(&cases[i]), ==, want[i]);
}

static world_worker_t *worker_of(world_t *world, int64_t number)
{
	int w;
	guint i;

	for (w = 0; w < world->n_workers; w++)
		for (i = 0; i < world->workers[w].runs->len; i++)
			if (g_array_index(world->workers[w].runs, world_run_t,
					  i)
				    .number == number)
				return &world->workers[w];
	return NULL;
}

static int index_of(const world_t *world, const world_worker_t *worker)
{
	return (int)(worker - world->workers);
}

/* The first run of the first task is eight times as slow as expected. */
static world_t *slow_world_of(const batch_step_spec_t *steps, int n,
			      int attempts)
{
	world_t *world = world_new(1, WORKERS, attempts);

	world_submit(world, "a", steps, n);
	world_advance(world, 200 * MS);
	worker_of(world, 1)->slowdown = 8;
	return world;
}

static world_t *slow_world(bool speculative, int attempts)
{
	batch_step_spec_t step = world_step(1);

	step.speculative = speculative;
	return slow_world_of(&step, 1, attempts);
}

/* The same, and a long step follows. */
static world_t *slow_world_with_more(void)
{
	batch_step_spec_t steps[2] = { world_step(1), world_step(1) };

	steps[0].speculative = true;
	steps[1].depends_on = 1;
	steps[1].estimate = 10 * SECOND;
	return slow_world_of(steps, 2, 3);
}

static void await_decision(world_t *world)
{
	int i;

	for (i = 0; i < 400 && !world->copies; i++)
		world_advance(world, WORLD_TICK);
	g_assert_cmpint(world->copies, ==, 1);
}

/* Until the copy's start is on its way. */
static void await_start(world_t *world)
{
	int i;

	await_decision(world);
	for (i = 0; i < 50 && !world->orders->len; i++)
		world_advance(world, WORLD_TICK);
	g_assert_cmpuint(world->orders->len, >, 0);
}

static void await_copy(world_t *world)
{
	int i;

	await_decision(world);
	for (i = 0; i < 50 && world_running(world, "a", 0, 0) < 2; i++)
		world_advance(world, WORLD_TICK);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 2);
}

/* Sets the run to end in the next tick. */
static void finish(world_worker_t *worker, bool fails)
{
	world_run_t *run = &g_array_index(worker->runs, world_run_t, 0);

	run->done = run->length;
	run->fails = fails;
}

/* The run no longer counts as slow, so that nothing stops it for that. */
static void stay_at_80_percent(world_worker_t *worker)
{
	world_run_t *run = &g_array_index(worker->runs, world_run_t, 0);

	run->length = run->done * 5 / 4;
	worker->slowdown = 50;
}

static void assert_completes(world_t *world, int64_t span)
{
	world_advance(world, span);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 0);
	g_assert_cmpint(batch_find_job(world->core, BASE_STR("a"))->n_held_ends,
			==, 0);
	check_and_free(world);
}

/* The copy is on another rack. */
static void test_copy_ends_first(void)
{
	world_t *world = slow_world(true, 3);

	await_copy(world);
	g_assert_cmpstr(worker_of(world, 1)->rack, !=,
			worker_of(world, 2)->rack);
	world_advance(world, 1600 * MS);
	g_assert_cmpint(world->finished, ==, 1);
	assert_completes(world, 100 * MS);
}

/* Guards against a slow run that goes on for as long as its job does. */
static void test_slow_run_is_stopped(void)
{
	world_t *world = slow_world_with_more();
	int i;

	await_copy(world);
	stay_at_80_percent(worker_of(world, 1));
	finish(worker_of(world, 2), false);
	world_advance(world, 200 * MS);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 0);
	g_assert_cmpint(world_running(world, "a", 1, 0), ==, 1);
	for (i = 0; i < WORKERS; i++)
		world->workers[i].slowdown = 0;
	assert_completes(world, 20 * SECOND);
}

static void test_no_copy_of_other_steps(void)
{
	world_t *world = slow_world(false, 3);

	world_advance(world, 15 * SECOND);
	g_assert_cmpint(world->copies, ==, 0);
	assert_completes(world, 0);
}

/* A failure of the copy would fail the job, although the run may be done. */
static void test_no_copy_as_the_last_attempt(void)
{
	world_t *world = slow_world(true, 1);

	world_advance(world, 15 * SECOND);
	g_assert_cmpint(world->copies, ==, 0);
	assert_completes(world, 0);
}

/* Guards against a copy beside its run, where no other worker has the label. */
static void test_no_copy_on_the_same_worker(void)
{
	world_t *world = world_new(1, WORKERS, 3);
	batch_step_spec_t step = world_step(1);
	int i;

	for (i = 1; i < WORKERS; i++)
		g_strlcpy(world->workers[i].label, "b", 2);
	world_advance(world, SECOND);
	step.speculative = true;
	step.label = BASE_STR("a");
	world->workers[0].slowdown = 8;
	world_submit(world, "a", &step, 1);
	world_advance(world, 15 * SECOND);
	g_assert_cmpint(world->copies, ==, 0);
	assert_completes(world, 0);
}

/* Guards against copies that keep first runs from starting. */
static void test_no_copy_while_tasks_wait(void)
{
	world_t *world = slow_world(true, 3);
	batch_step_spec_t step = world_step(200);

	world_submit(world, "b", &step, 1);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(world->copies, ==, 0);
	world_advance(world, 20 * SECOND);
	assert_completes(world, 0);
}

/* Guards against copies that take over a pool in which all is slow. */
static void test_copies_use_a_part_of_the_pool(void)
{
	world_t *world = world_new(1, WORKERS, 3);
	batch_step_spec_t step = world_step(8);
	int i;

	step.speculative = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, 200 * MS);
	for (i = 0; i < WORKERS; i++)
		world->workers[i].slowdown = 8;
	world_advance(world, 4 * SECOND);
	/* A tenth of 48 cores, two each. */
	g_assert_cmpint(world->copies, ==, 2);
	world_advance(world, 20 * SECOND);
	assert_completes(world, 0);
}

/* The holder dies between the copy's start and the first end. */
static void test_takeover_with_a_copy(void)
{
	world_t *world = slow_world(true, 3);

	await_copy(world);
	world_take_over(world);
	world_advance(world, 500 * MS);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 2);
	g_assert_cmpint(world->starts, ==, 2);
	finish(worker_of(world, 1), false);
	assert_completes(world, 500 * MS);
}

/* The copy has ended without success: the row must name the older run. */
static void test_takeover_after_the_copy(void)
{
	world_t *world = slow_world(true, 2);

	await_copy(world);
	stay_at_80_percent(worker_of(world, 1));
	finish(worker_of(world, 2), true);
	world_advance(world, 300 * MS);
	g_assert_cmpint(world->starts, ==, 2);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	world_take_over(world);
	world_advance(world, 500 * MS);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 1);
	g_assert_cmpint(world->starts, ==, 2);
	finish(worker_of(world, 1), false);
	assert_completes(world, 500 * MS);
}

static void test_both_done_at_once(void)
{
	world_t *world = slow_world(true, 3);

	await_copy(world);
	finish(worker_of(world, 1), false);
	finish(worker_of(world, 2), false);
	assert_completes(world, 300 * MS);
}

/* One is known to a holder, the other one to the next holder only. */
static void test_both_done_for_two_holders(void)
{
	world_t *world = slow_world(true, 3);
	world_worker_t *worker;

	await_copy(world);
	worker = worker_of(world, 1);
	world_worker_set_unreachable(world, index_of(world, worker), true);
	finish(worker, false);
	finish(worker_of(world, 2), false);
	world_advance(world, 200 * MS);
	world_take_over(world);
	world_worker_set_unreachable(world, index_of(world, worker), false);
	world_advance(world, 500 * MS);
	g_assert_cmpint(worker->ends->len, ==, 0);
	assert_completes(world, 0);
}

/* The stop of the copy has no answer, and its worker restarts. */
static void test_stop_of_the_copy_is_lost(void)
{
	world_t *world = slow_world(true, 3);
	world_worker_t *worker;

	await_copy(world);
	worker = worker_of(world, 2);
	world_worker_set_unreachable(world, index_of(world, worker), true);
	finish(worker_of(world, 1), false);
	world_advance(world, 300 * MS);
	/* The copy began: nothing of it can be late. */
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	world_worker_set_unreachable(world, index_of(world, worker), false);
	world_worker_restart(world, index_of(world, worker), true);
	world_advance(world, SECOND);
	g_assert_cmpint(batch_find_job(world->core, BASE_STR("a"))->n_runs, ==,
			0);
	assert_completes(world, 0);
}

/* The lease of the copy's worker expires while the first run fails. */
static void test_copy_is_lost_and_the_run_fails(void)
{
	world_t *world = slow_world(true, 3);
	int worker;

	await_copy(world);
	worker = index_of(world, worker_of(world, 2));
	world_worker_crash(world, worker);
	finish(worker_of(world, 1), true);
	world_advance(world, SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	/* The copy may live until its lease is over. */
	g_assert_cmpint(world->starts, ==, 2);
	world_advance(world, 8 * SECOND);
	g_assert_cmpint(world->starts, ==, 3);
	assert_completes(world, 0);
}

/* Either failure is an attempt, and neither ends the other run. */
static void test_both_fail(void)
{
	world_t *world = slow_world(true, 3);

	await_copy(world);
	finish(worker_of(world, 1), true);
	world_advance(world, 100 * MS);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 1);
	finish(worker_of(world, 2), true);
	world_advance(world, 300 * MS);
	g_assert_cmpint(world->starts, ==, 3);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	finish(worker_of(world, 3), true);
	world_advance(world, 300 * MS);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_FAILED);
	check_and_free(world);
}

static void test_cancel_while_the_copy_is_started(void)
{
	world_t *world = slow_world(true, 3);

	await_start(world);
	g_assert_cmpint(world->starts, ==, 1);
	world_cancel(world, "a");
	world_advance(world, SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_CANCELLED);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 0);
	check_and_free(world);
}

/*
 * Guards against a copy that begins after its task's end was acknowledged: its
 * start has no answer and would be carried out seconds later.
 */
static void late_copy(bool take_over)
{
	world_t *world = slow_world(true, 3);
	world_worker_t *first = worker_of(world, 1);

	await_decision(world);
	world->late_order_percent = 100;
	await_start(world);
	g_assert_cmpuint(world->orders->len, ==, 2);
	world_advance(world, 50 * MS);
	finish(first, false);
	/* The stops have no answer either. */
	world_advance(world, 300 * MS);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	g_assert_cmpuint(first->ends->len, ==, 1);
	world->late_order_percent = 0;
	if (take_over)
		world_take_over(world);
	world_advance(world, 800 * MS);
	g_assert_cmpuint(first->ends->len, ==, 0);
	assert_completes(world, 15 * SECOND);
}

static void test_late_copy(void)
{
	late_copy(false);
}

static void test_late_copy_and_takeover(void)
{
	late_copy(true);
}

/*
 * Guards against a copy that runs on after a takeover: it has begun, its start
 * has no answer, and its stop was not sent before its holder died.
 */
static void test_takeover_while_the_end_is_held(void)
{
	world_t *world = slow_world_with_more();
	int i;
	int copy;

	await_decision(world);
	world->lost_answer_percent = 100;
	for (copy = 0; copy < 10 && !worker_of(world, 2); copy++)
		world_advance(world, WORLD_TICK);
	copy = index_of(world, worker_of(world, 2));
	world_worker_set_unreachable(world, copy, true);
	g_array_index(world->workers[copy].runs, world_run_t, 0).length =
		10 * SECOND;
	finish(worker_of(world, 1), false);
	world_advance(world, 300 * MS);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	world->lost_answer_percent = 0;
	world_take_over(world);
	world_worker_set_unreachable(world, copy, false);
	world_advance(world, 300 * MS);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 0);
	g_assert_cmpint(world_running(world, "a", 1, 0), ==, 1);
	for (i = 0; i < WORKERS; i++)
		world->workers[i].slowdown = 0;
	assert_completes(world, 20 * SECOND);
}

/* Guards against a job that never ends: its holder dies when the last end is no
 * longer held, and the job not yet stored as completed. */
static void test_takeover_after_a_held_end(void)
{
	world_t *world = slow_world(true, 3);

	g_hash_table_replace(
		world->rows, g_strdup("a"),
		g_strdup("{\"state\":\"running\",\"cancelled\":false,"
			 "\"begun\":true,\"arrived\":0,\"ended\":0,"
			 "\"occurrences\":1,"
			 "\"tasks\":[[0,0,0,1,1,0,\"\",\"\"]]}"));
	world_take_over(world);
	assert_completes(world, 500 * MS);
}

/* The copy begins late, while the first run goes on: it is a run like others.
 */
static void test_late_copy_that_begins(void)
{
	world_t *world = slow_world(true, 3);

	await_decision(world);
	world->lost_answer_percent = 100;
	world_advance(world, 200 * MS);
	world->lost_answer_percent = 0;
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 2);
	finish(worker_of(world, 1), false);
	assert_completes(world, 600 * MS);
}

/* Random days: how the faults of a day are drawn. */
typedef struct copy_day {
	world_t *world;
	base_rng_t rng;
	int copies;
} copy_day_t;

static int draw(copy_day_t *day, int n)
{
	return (int)base_rng_below(&day->rng, (uint32_t)n);
}

static void cause_fault(copy_day_t *day)
{
	world_t *world = day->world;
	int worker = draw(day, WORKERS);
	bool reached = !world->workers[worker].unreachable;

	switch (draw(day, 12)) {
	case 0:
		world_take_over(world);
		break;
	case 1:
		world->store_down = !world->store_down;
		break;
	case 2:
		world_worker_set_unreachable(world, worker, reached);
		break;
	case 3:
		if (!world->workers[worker].crashed)
			world->workers[worker].crash_at = world->now;
		break;
	case 4:
		world->late_order_percent = draw(day, 2) * draw(day, 80);
		world->lost_answer_percent = draw(day, 2) * draw(day, 50);
		break;
	default:
		world->workers[worker].slowdown = draw(day, 2) ? 8 : 0;
		break;
	}
}

static void end_faults(world_t *world)
{
	int i;

	world->store_down = false;
	world->late_order_percent = 0;
	world->lost_answer_percent = 0;
	for (i = 0; i < WORKERS; i++) {
		world_worker_set_unreachable(world, i, false);
		world->workers[i].slowdown = 0;
	}
}

static void run_day(uint64_t seed, int *copies)
{
	copy_day_t day = { .world = world_new(seed, WORKERS, 3),
			   .rng = { seed } };
	world_t *world = day.world;
	batch_step_spec_t steps[2];
	char id[8];
	int i;

	world->crash_time = 500 * MS;
	world->crash_same_id_percent = 80;
	world->reborn = (world_reborn_t)draw(&day, WORLD_REBORN_MAX);
	world->stop_time = draw(&day, 2) * draw(&day, 600) * MS;
	world->lanes = draw(&day, 2);
	for (i = 0; i < 20; i++) {
		steps[0] = world_step(1 + draw(&day, 3));
		steps[1] = world_step(1 + draw(&day, 3));
		steps[0].speculative = draw(&day, 4) > 0;
		steps[1].speculative = draw(&day, 4) > 0;
		steps[1].depends_on = 1;
		g_snprintf(id, sizeof(id), "j%d", i);
		world_submit(world, id, steps, 2);
		world_advance(world, draw(&day, 1500) * MS);
		cause_fault(&day);
	}
	end_faults(world);
	world_advance(world, 40 * SECOND);
	g_test_message("seed %d: %s", (int)seed, world->first_violation);
	for (i = 0; i < 20; i++) {
		const world_job_t *job;

		g_snprintf(id, sizeof(id), "j%d", i);
		job = g_hash_table_lookup(world->jobs, id);
		if (world_state(world, id) != BATCH_UNKNOWN && !job->given_up)
			g_assert_cmpint(world_state(world, id), ==,
					BATCH_COMPLETED);
	}
	*copies += world->copies;
	check_and_free(world);
}

/* Guards against all rules that the simulation checks, with several runs of a
 * task, slow workers and overlapping faults. */
static void test_random_days(void)
{
	int copies = 0;
	uint64_t seed;

	for (seed = 1; seed <= 300; seed++)
		run_day(seed, &copies);
	g_test_message("%d copies", copies);
	g_assert_cmpint(copies, >, 300);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-copy/when-a-copy-pays", test_when_a_copy_pays);
	g_test_add_func("/batch-copy/copy-ends-first", test_copy_ends_first);
	g_test_add_func("/batch-copy/slow-run-is-stopped",
			test_slow_run_is_stopped);
	g_test_add_func("/batch-copy/no-copy-of-other-steps",
			test_no_copy_of_other_steps);
	g_test_add_func("/batch-copy/no-copy-as-the-last-attempt",
			test_no_copy_as_the_last_attempt);
	g_test_add_func("/batch-copy/no-copy-on-the-same-worker",
			test_no_copy_on_the_same_worker);
	g_test_add_func("/batch-copy/no-copy-while-tasks-wait",
			test_no_copy_while_tasks_wait);
	g_test_add_func("/batch-copy/copies-use-a-part-of-the-pool",
			test_copies_use_a_part_of_the_pool);
	g_test_add_func("/batch-copy/takeover-with-a-copy",
			test_takeover_with_a_copy);
	g_test_add_func("/batch-copy/takeover-after-the-copy",
			test_takeover_after_the_copy);
	g_test_add_func("/batch-copy/both-done-at-once",
			test_both_done_at_once);
	g_test_add_func("/batch-copy/both-done-for-two-holders",
			test_both_done_for_two_holders);
	g_test_add_func("/batch-copy/stop-of-the-copy-is-lost",
			test_stop_of_the_copy_is_lost);
	g_test_add_func("/batch-copy/copy-is-lost-and-the-run-fails",
			test_copy_is_lost_and_the_run_fails);
	g_test_add_func("/batch-copy/both-fail", test_both_fail);
	g_test_add_func("/batch-copy/cancel-while-the-copy-is-started",
			test_cancel_while_the_copy_is_started);
	g_test_add_func("/batch-copy/late-copy", test_late_copy);
	g_test_add_func("/batch-copy/late-copy-and-takeover",
			test_late_copy_and_takeover);
	g_test_add_func("/batch-copy/takeover-while-the-end-is-held",
			test_takeover_while_the_end_is_held);
	g_test_add_func("/batch-copy/takeover-after-a-held-end",
			test_takeover_after_a_held_end);
	g_test_add_func("/batch-copy/late-copy-that-begins",
			test_late_copy_that_begins);
	g_test_add_func("/batch-copy/random-days", test_random_days);
	return g_test_run();
}
