/*
 * The capacity of a worker changes while it runs tasks.  Its workers start
 * whatever they are told to, so that only the core keeps to the capacity.
 */
#include "batch_world_int.h"

#define MS BASE_MS
#define SECOND BASE_SEC
/* Until every capacity that a worker had before counts no more. */
#define PAST_LIMIT (WORLD_CAPACITY_LIMIT + SECOND)

static const batch_res_t full = { 8000, 32000, 0 };
static const batch_res_t quarter = { 2000, 8000, 0 };
static const batch_res_t none = { 0, 0, 0 };

static world_t *new_world(uint64_t seed, int workers)
{
	world_t *world = world_new(seed, workers, 3);

	world_set_no_admission(world);
	world->stop_time = 200 * MS;
	world_advance(world, 100 * MS);
	return world;
}

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

/* Submits a job whose starts are decided and wait for the store. */
static void submit_unsent(world_t *world, const char *id,
			  const batch_step_spec_t *step)
{
	int starts = world->starts;

	world_submit(world, id, step, 1);
	while (world_state(world, id) == BATCH_UNKNOWN)
		world_advance(world, WORLD_TICK);
	world->store_down = true;
	world_advance(world, 5 * WORLD_TICK);
	g_assert_cmpint(world->starts, ==, starts);
}

static void assert_completes(world_t *world, const char *id)
{
	world_advance(world, 20 * SECOND);
	g_assert_cmpint(world_state(world, id), ==, BATCH_COMPLETED);
}

/* Starts that are being stored while the capacity falls to "less". */
static void shrink_with_unsent_starts(batch_res_t before, batch_res_t less,
				      batch_res_t need)
{
	world_t *world = new_world(1, 2);
	batch_step_spec_t step = world_step(8);

	step.need = need;
	world_worker_set_capacity(world, 0, before);
	world_worker_set_capacity(world, 1, before);
	submit_unsent(world, "a", &step);
	world_worker_set_capacity(world, 0, less);
	world_advance(world, PAST_LIMIT);
	world->store_down = false;
	assert_completes(world, "a");
	/* No start was sent in vain. */
	g_assert_cmpint(world->starts, ==, 8);
	g_assert_cmpint(world->stops, ==, 0);
	check_and_free(world);
}

/*
 * Guards against a start that is sent as decided, to a worker whose capacity
 * has fallen while the start was stored.
 */
static void test_unsent_starts(void)
{
	const batch_res_t gpus = { 8000, 32000, 4 };

	shrink_with_unsent_starts(full, quarter, world_step(1).need);
	shrink_with_unsent_starts(full, none, world_step(1).need);
	shrink_with_unsent_starts(full, (batch_res_t){ 8000, 12000, 0 },
				  (batch_res_t){ 100, 8000, 0 });
	shrink_with_unsent_starts(gpus, (batch_res_t){ 8000, 32000, 1 },
				  (batch_res_t){ 100, 100, 1 });
}

/*
 * Guards against starts that are dropped and not decided anew before their row
 * is stored, though another worker has capacity.
 */
static void test_unsent_starts_move(void)
{
	world_t *world = new_world(2, 2);
	batch_step_spec_t step = world_step(4);

	submit_unsent(world, "a", &step);
	world_worker_set_capacity(world, 0, none);
	world_worker_set_capacity(world, 1, full);
	world_advance(world, PAST_LIMIT);
	world->store_down = false;
	/* The change that is being stored, the next one, and the orders. */
	world_advance(world, 4 * WORLD_TICK);
	g_assert_cmpuint(world->workers[0].runs->len, ==, 0);
	g_assert_cmpuint(world->workers[1].runs->len, ==, 4);
	assert_completes(world, "a");
	check_and_free(world);
}

/*
 * Guards against the loss of long-running tasks to short ones when only some of
 * the unsent starts still fit.
 */
static void test_long_running_starts_stay(void)
{
	world_t *world = new_world(3, 1);
	batch_step_spec_t serving = world_step(1);
	batch_step_spec_t step = world_step(3);

	serving.long_running = true;
	world->store_down = false;
	world_submit(world, "short", &step, 1);
	world_submit(world, "long", &serving, 1);
	while (world_state(world, "long") == BATCH_UNKNOWN)
		world_advance(world, WORLD_TICK);
	world->store_down = true;
	world_advance(world, 5 * WORLD_TICK);
	g_assert_cmpint(world->starts, ==, 0);
	world_worker_set_capacity(world, 0, quarter);
	world_advance(world, PAST_LIMIT);
	world->store_down = false;
	world_advance(world, SECOND);
	g_assert_cmpint(world_running(world, "long", 0, 0), ==, 1);
	g_assert_cmpint(world->starts, ==, 1);
	check_and_free(world);
}

/*
 * Guards against starts by a list that has not been read for long, while the
 * rest of the store answers: decided by it, or decided before and sent by it.
 */
static void test_old_list(void)
{
	world_t *world = new_world(14, 2);
	batch_step_spec_t step = world_step(6);

	submit_unsent(world, "a", &step);
	world->list_down = true;
	world_worker_set_capacity(world, 0, none);
	world_worker_set_capacity(world, 1, quarter);
	world_advance(world, PAST_LIMIT);
	world->store_down = false;
	world_submit(world, "b", &step, 1);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(world->broken, ==, 0);
	g_assert_cmpint(world->starts, ==, 0);
	world->list_down = false;
	world_advance(world, 30 * SECOND);
	assert_completes(world, "a");
	assert_completes(world, "b");
	check_and_free(world);
}

/* The same with a gang, of which one worker alone was listed in time. */
static void test_old_list_and_gang(void)
{
	world_t *world = new_world(15, 2);
	batch_worker_info_t info = { .id = BASE_STR("w1"),
				     .pool = BASE_STR("pool"),
				     .zone = BASE_STR("z"),
				     .rack = BASE_STR("r0"),
				     .capacity = full };
	batch_step_spec_t step = world_step(6);

	step.gang = true;
	submit_unsent(world, "a", &step);
	world->list_down = true;
	world_advance(world, PAST_LIMIT);
	batch_worker_listed(world->core, world->now, &info);
	world->store_down = false;
	world_advance(world, SECOND);
	g_assert_cmpint(world->starts, ==, 0);
	world->list_down = false;
	world_advance(world, SECOND / 2);
	g_assert_cmpint(world->starts, ==, 6);
	assert_completes(world, "a");
	check_and_free(world);
}

/* Guards against an old list that keeps work from workers that check it. */
static void test_old_list_with_admission(void)
{
	world_t *world = world_new(16, 2, 3);
	batch_step_spec_t step = world_step(6);

	world->list_down = true;
	world_advance(world, 10 * SECOND);
	world_submit(world, "a", &step, 1);
	world_advance(world, 100 * MS);
	g_assert_cmpint(world->starts, ==, 6);
	assert_completes(world, "a");
	check_and_free(world);
}

/* Guards against starts in doubt that do not count while others are placed. */
static void test_starts_in_doubt(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++) {
		world_t *world = new_world(seed, 2);
		batch_step_spec_t step = world_step(6);

		world->late_order_percent = 100;
		world_submit(world, "a", &step, 1);
		world_advance(world, (int64_t)seed * 20 * MS);
		world_worker_set_capacity(world, 0, quarter);
		world->late_order_percent = 0;
		world_submit(world, "b", &step, 1);
		assert_completes(world, "a");
		assert_completes(world, "b");
		check_and_free(world);
	}
}

/*
 * Guards against a successor that takes what its predecessor decided, sent or
 * not, for free capacity of a worker that has less of it now.
 */
static void test_takeover(void)
{
	int cut;

	for (cut = 0; cut < 60; cut++) {
		world_t *world = new_world((uint64_t)cut + 1, 2);
		batch_step_spec_t step = world_step(8);

		world->store_time = 120 * MS;
		world->late_order_percent = 30;
		world_submit(world, "a", &step, 1);
		world_advance(world, cut * 10 * MS);
		world_worker_set_capacity(world, 0, quarter);
		world_advance(world, (cut % 7) * 20 * MS);
		world_take_over(world);
		world->late_order_percent = 0;
		world->store_time = PAST_LIMIT;
		world_advance(world, SECOND);
		world_worker_set_capacity(world, 1, quarter);
		world_advance(world, 2 * PAST_LIMIT);
		world->store_time = 4 * MS;
		if (world_state(world, "a") != BATCH_UNKNOWN)
			assert_completes(world, "a");
		check_and_free(world);
	}
}

/*
 * Guards against starts beside a run that is being stopped and that the
 * successor does not know, because the store has no rows of ended jobs.
 */
static void test_runs_of_ended_jobs(void)
{
	int cut;

	for (cut = 1; cut < 15; cut++) {
		world_t *world = new_world(12, 1);
		batch_step_spec_t step = world_step(4);

		step.estimate = 10 * SECOND;
		world_submit(world, "a", &step, 1);
		world_submit(world, "b", &step, 1);
		world_advance(world, SECOND);
		g_assert_cmpint(world->starts, ==, 4);
		world_cancel(world,
			     world_running(world, "a", 0, 0) ? "a" : "b");
		world_advance(world, cut * 2 * WORLD_TICK);
		world_take_over(world);
		world_advance(world, 10 * MS);
		world_advance(world, 20 * SECOND);
		g_assert_cmpint(world->starts, ==, 8);
		check_and_free(world);
	}
}

/* Advances and checks that the gang has no start or "size" of them. */
static void advance_with_gang(world_t *world, int size, int64_t span)
{
	int64_t until = world->now + span;

	while (world->now < until) {
		world_advance(world, WORLD_TICK);
		g_assert_true(!world->starts || world->starts == size);
	}
}

/*
 * Guards against a gang of which some members start and others do not, because
 * they were dropped.
 */
static void test_gang(void)
{
	world_t *world = new_world(4, 2);
	batch_step_spec_t step = world_step(6);

	step.gang = true;
	submit_unsent(world, "a", &step);
	world_worker_set_capacity(world, 0, none);
	advance_with_gang(world, 6, PAST_LIMIT);
	world->store_down = false;
	advance_with_gang(world, 6, 2 * SECOND);
	g_assert_cmpint(world->starts, ==, 0);
	world_worker_set_capacity(world, 0, (batch_res_t){ 6000, 32000, 0 });
	advance_with_gang(world, 6, 200 * MS);
	g_assert_cmpint(world->starts, ==, 6);
	assert_completes(world, "a");
	check_and_free(world);
}

/*
 * Guards against a gang of which only some members start: the worker of the
 * others had ended while the starts were being stored.
 */
static void test_gang_and_worker_gone(void)
{
	world_t *world = new_world(18, 3);
	batch_step_spec_t step = world_step(6);

	step.gang = true;
	submit_unsent(world, "a", &step);
	world_worker_crash(world, 0);
	batch_worker_terminated(world->core, world->now, BASE_STR("w0"),
				BATCH_LOSS_UNKNOWN);
	world_worker_set_listed(world, 0, false);
	world->store_down = false;
	advance_with_gang(world, 6, SECOND / 2);
	g_assert_cmpint(world->starts, ==, 6);
	assert_completes(world, "a");
	check_and_free(world);
}

/*
 * Guards against starts on a worker that began to drain, or left the list, long
 * before they were stored.
 */
static void test_unsent_starts_and_drain(void)
{
	bool drains = false;

	do {
		world_t *world = new_world(19, 2);
		batch_step_spec_t step = world_step(4);

		submit_unsent(world, "a", &step);
		if (drains)
			world_worker_drain(world, 0);
		else
			world_worker_set_listed(world, 0, false);
		world_advance(world, WORLD_DRAIN_LIMIT + SECOND);
		world->store_down = false;
		world_advance(world, SECOND / 5);
		g_assert_cmpuint(world->workers[0].runs->len, ==, 0);
		g_assert_cmpint(world->starts, ==, 4);
		assert_completes(world, "a");
		check_and_free(world);
		drains = !drains;
	} while (drains);
}

/* A worker without capacity that runs four tasks of "a"; four of "b" wait. */
static world_t *new_world_without_capacity(uint64_t seed)
{
	world_t *world = new_world(seed, 1);
	batch_step_spec_t step = world_step(4);

	step.estimate = 10 * SECOND;
	world_submit(world, "a", &step, 1);
	world_submit(world, "b", &step, 1);
	world_advance(world, SECOND);
	g_assert_cmpint(world->starts, ==, 4);
	world_worker_set_capacity(world, 0, none);
	return world;
}

/* Guards against stops for a capacity that fell below what runs. */
static void test_shrink_to_nothing(void)
{
	world_t *world = new_world_without_capacity(5);

	world_advance(world, 30 * SECOND);
	g_assert_cmpint(world->finished, ==, 4);
	g_assert_cmpint(world->starts, ==, 4);
	g_assert_cmpint(world->stops, ==, 0);
	check_and_free(world);
}

/* Guards against capacity that is not used as soon as it is back. */
static void test_grow(void)
{
	world_t *world = new_world_without_capacity(5);

	world_advance(world, 30 * SECOND + 5 * WORLD_TICK);
	world_worker_set_capacity(world, 0, full);
	/* A pass, its rows and its orders take a tick each. */
	world_advance(world, 4 * WORLD_TICK);
	g_assert_cmpint(world->starts, ==, 8);
	world_advance(world, 30 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world_state(world, "b"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/*
 * Guards against best-effort tasks, which reserve no cpu, on a worker whose cpu
 * is exceeded already.
 */
static void test_best_effort(void)
{
	world_t *world = new_world(6, 1);
	batch_step_spec_t step = world_step(4);
	batch_step_spec_t filler = world_step(1);

	step.estimate = 10 * SECOND;
	filler.best_effort = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, SECOND);
	world_worker_set_capacity(world, 0, (batch_res_t){ 2000, 32000, 0 });
	world_advance(world, PAST_LIMIT);
	world_submit(world, "b", &filler, 1);
	world_advance(world, SECOND);
	g_assert_cmpint(world->broken, ==, 0);
	assert_completes(world, "b");
	check_and_free(world);
}

/* Keeps short jobs waiting for "span". */
static void advance_with_short_jobs(world_t *world, int *number, int64_t span)
{
	batch_step_spec_t step = world_step(1);
	int64_t until = world->now + span;
	char id[16];

	while (world->now < until) {
		g_snprintf(id, sizeof(id), "s%d", (*number)++);
		world_submit(world, id, &step, 1);
		world_advance(world, 150 * MS);
	}
}

/*
 * Guards against a long-running task that waits for the capacity of a worker
 * that has shrunk below its need, while short tasks take that of another.
 */
static void test_reservation(void)
{
	world_t *world = new_world(7, 2);
	batch_step_spec_t serving = world_step(1);
	int number = 0;

	serving.long_running = true;
	serving.need.cpu = 6000;
	advance_with_short_jobs(world, &number, 6 * SECOND);
	world_worker_set_capacity(world, 0, none);
	advance_with_short_jobs(world, &number, 3 * SECOND);
	world_submit(world, "long", &serving, 1);
	advance_with_short_jobs(world, &number, 10 * SECOND);
	g_assert_cmpint(world_running(world, "long", 0, 0), ==, 1);
	check_and_free(world);
}

/* Instances that the pool is given now. */
static size_t count_moves(world_t *world)
{
	batch_move_t moves[16];

	return batch_moves(world->core, world->now, 16, false, moves, 16);
}

/*
 * Guards against a pool that counts its workers as whole while some of them
 * have less than they had.
 */
static void test_pool_gets_workers(void)
{
	const batch_res_t less[] = { quarter, none };
	const size_t expected[] = { 1, 2 };
	size_t i;
	int w;

	for (i = 0; i < ARRAY_SIZE(less); i++) {
		world_t *world = world_new_queue(8, 4, 3, 1.6);
		batch_step_spec_t step = world_step(8);

		world_submit(world, "a", &step, 1);
		world_advance(world, 30 * MS);
		g_assert_cmpuint(count_moves(world), ==, 0);
		for (w = 0; w < 3; w++)
			world_worker_set_capacity(world, w, less[i]);
		g_assert_cmpuint(count_moves(world), >=, expected[i]);
		world_free(world);
	}
}

/* Guards against a pool without any capacity that gets no worker. */
static void test_pool_of_nothing_gets_workers(void)
{
	world_t *world = world_new_queue(9, 1, 3, 1.6);

	world_advance(world, SECOND);
	g_assert_cmpuint(count_moves(world), ==, 0);
	world_worker_set_capacity(world, 0, none);
	g_assert_cmpuint(count_moves(world), ==, 1);
	world_free(world);
}

/* Asks for moves until there is one; returns the index of its worker. */
static int next_move(world_t *world, bool spare_pool)
{
	batch_move_t move;
	char id[WORLD_NAME_MAX];
	int i;

	for (i = 0; i < 200; i++) {
		world_advance(world, WORLD_TICK);
		if (!batch_moves(world->core, world->now, 0, spare_pool, &move,
				 1))
			continue;
		g_snprintf(id, sizeof(id), "%.*s", BASE_STR_ARG(move.worker));
		return (int)(world_find_worker(world, id) - world->workers);
	}
	return -1;
}

/* Adds a pool without workers, with a queue. */
static void add_empty_pool(world_t *world)
{
	const batch_pool_info_t pools[] = { { .name = BASE_STR("pool") },
					    { .name = BASE_STR("other") },
					    { .name = BASE_STR("spare"),
					      .spare = true } };
	batch_queue_info_t queues[] = { { .name = BASE_STR("queue"),
					  .pool = BASE_STR("pool"),
					  .attempts = 3,
					  .stretch = 1.6 },
					{ .name = BASE_STR("queue2"),
					  .pool = BASE_STR("other"),
					  .attempts = 3,
					  .stretch = 1.6 } };

	batch_config(world->core, queues, 2, pools, 3);
}

/* Whether the only spare instance is given to the pool now. */
static bool gives_spare(world_t *world, const char *pool)
{
	batch_move_t move;

	return batch_moves(world->core, world->now, 1, false, &move, 1) == 1 &&
	       base_str_eq(move.to, base_str(pool));
}

/*
 * Guards against a long-running task that waits for an instance while a pool
 * with more to do, all of it short, gets each one.
 */
static void test_long_running_before_short(void)
{
	world_t *world = new_world(15, 3);
	batch_step_spec_t serving = world_step(2);
	batch_step_spec_t step = world_step(200);
	const batch_spec_t spec = { .id = BASE_STR("b"),
				    .queue = BASE_STR("queue2"),
				    .steps = &step,
				    .n_steps = 1 };
	batch_refusal_t refusal;

	add_empty_pool(world);
	g_strlcpy(world->workers[2].pool, "other", WORLD_NAME_MAX);
	serving.long_running = true;
	serving.need.cpu = 8000;
	world_submit(world, "long", &serving, 1);
	world_advance(world, SECOND);
	world_worker_crash(world, 0);
	world_advance(world, 7 * SECOND);
	g_assert_cmpint(world_running(world, "long", 0, 0) +
				world_running(world, "long", 0, 1),
			==, 1);
	batch_submit(world->core, world->now, world->now, &spec, &refusal);
	g_assert_true(gives_spare(world, "pool"));
	/* No more than it needs. */
	g_assert_true(gives_spare(world, "other"));
	world_free(world);
}

/*
 * Guards against a pool that does not grow though long-running tasks fit on
 * none of its workers, as their sum would fit on all of them together: tasks
 * that are due, or those on a worker that is to be emptied.
 */
static void test_long_running_that_fit_nowhere(void)
{
	int cordoned;

	for (cordoned = 0; cordoned < 2; cordoned++) {
		world_t *world = new_world(16, 2 + cordoned);
		batch_step_spec_t serving = world_step(3);
		batch_move_t moves[4];

		serving.long_running = true;
		serving.need.cpu = 4100;
		world_submit(world, "long", &serving, 1);
		world_advance(world, 2 * SECOND);
		if (cordoned)
			batch_worker_cordon(world->core, world->now,
					    base_str(world->workers[0].id),
					    true);
		world_advance(world, SECOND);
		g_assert_cmpuint(batch_moves(world->core, world->now, 4, false,
					     moves, 4),
				 ==, 1);
		world_add_worker(world);
		batch_pool_set_incoming(world->core, BASE_STR("pool"), 0);
		world_advance(world, 2 * SECOND);
		/* It has grown enough. */
		g_assert_cmpuint(batch_moves(world->core, world->now, 4, false,
					     moves, 4),
				 ==, 0);
		g_assert_cmpuint(world->workers[0].runs->len, ==, !cordoned);
		check_and_free(world);
	}
}

/*
 * Guards against a move that gives a pool the worker with the least capacity,
 * or switches off the one with the most.
 */
static void test_moves_choose_by_capacity(void)
{
	world_t *world = world_new_queue(11, 4, 3, 1.6);

	world_worker_set_capacity(world, 0, none);
	world_worker_set_capacity(world, 2, quarter);
	add_empty_pool(world);
	g_assert_cmpint(next_move(world, false), ==, 1);
	world_free(world);
	world = world_new_queue(11, 4, 3, 1.6);
	world_worker_set_capacity(world, 2, quarter);
	g_assert_cmpint(next_move(world, true), ==, 2);
	world_free(world);
}

/* Jobs that are accepted at once, of four seconds of a worker each. */
static int count_accepted(world_t *world, int jobs)
{
	batch_step_spec_t step = world_step(4);
	char id[16];
	int accepted = 0;
	int i;

	for (i = 0; i < jobs; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		accepted += world_submit(world, id, &step, 1) == BATCH_ACCEPTED;
	}
	return accepted;
}

/* Guards against admission by the capacity that the workers had. */
static void test_admission(void)
{
	world_t *world = world_new_queue(10, 4, 3, 1.6);
	int before = count_accepted(world, 200);
	int w;

	world_free(world);
	world = world_new_queue(10, 4, 3, 1.6);
	for (w = 0; w < 4; w++)
		world_worker_set_capacity(world, w, quarter);
	g_assert_cmpint(before, <, 200);
	g_assert_cmpint(count_accepted(world, 200), <=, before / 4 + 1);
	world_free(world);
}

/*
 * Guards against a change without a line in the log, or more than one, and
 * against lines for capacities that are listed for the first time.
 */
static void test_log(void)
{
	world_t *world = new_world(13, 2);
	batch_step_spec_t step = world_step(4);

	world_submit(world, "a", &step, 1);
	world_advance(world, SECOND / 2);
	world_take_over(world);
	world_advance(world, SECOND / 10);
	g_assert_cmpint(world->capacity_logs, ==, 0);
	world_worker_set_capacity(world, 0, quarter);
	world_worker_set_capacity(world, 0, quarter);
	world_add_worker(world);
	g_assert_cmpint(world->capacity_logs, ==, 1);
	g_assert_true(!memcmp(&world->logged_from, &full, sizeof(full)));
	g_assert_true(!memcmp(&world->logged_to, &quarter, sizeof(quarter)));
	world_worker_set_capacity(world, 0, none);
	world_worker_set_capacity(world, 0, full);
	g_assert_cmpint(world->capacity_logs, ==, 3);
	assert_completes(world, "a");
	check_and_free(world);
}

/*
 * Guards against jobs that are refused because long-running tasks use more than
 * the capacity that their own worker has left.
 */
static void test_admission_beside_long_running(void)
{
	world_t *world = world_new_queue(17, 2, 3, 1.6);
	batch_step_spec_t serving = world_step(1);

	serving.long_running = true;
	serving.need.cpu = full.cpu;
	world_submit(world, "long", &serving, 1);
	world_advance(world, SECOND);
	g_assert_cmpint(world_running(world, "long", 0, 0), ==, 1);
	world_worker_set_capacity(world, world->workers[0].runs->len ? 0 : 1,
				  none);
	/* The other worker ends a job of four tasks within its objective. */
	g_assert_cmpint(count_accepted(world, 1), ==, 1);
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world_state(world, "j0"), ==, BATCH_COMPLETED);
	world_free(world);
}

static batch_res_t random_capacity(base_rng_t *rng)
{
	return (batch_res_t){ base_rng_below(rng, 5) * 2000,
			      base_rng_below(rng, 5) * 8000, 0 };
}

static void random_job(world_t *world, base_rng_t *rng, const char *id)
{
	batch_step_spec_t steps[3];
	int n = 1 + (int)base_rng_below(rng, 3);
	int i;

	for (i = 0; i < n; i++) {
		steps[i] = world_step(1 + (int)base_rng_below(rng, 6));
		steps[i].depends_on = base_rng_below(rng, 1u << i);
		/* The simulated members of a gang do not end together. */
		steps[i].gang = i == n - 1 && !base_rng_below(rng, 4);
		steps[i].best_effort = !base_rng_below(rng, 6);
		steps[i].estimate = (1 + base_rng_below(rng, 4)) * SECOND;
	}
	world_submit(world, id, steps, n);
}

/* Changes a capacity, and injects other faults more seldom. */
static void random_change(world_t *world, base_rng_t *rng)
{
	int worker = (int)base_rng_below(rng, 6);

	switch (base_rng_below(rng, 12)) {
	case 0:
		world_take_over(world);
		break;
	case 1:
		world_worker_crash(world, worker);
		break;
	case 2:
		world_worker_restart(world, worker, base_rng_below(rng, 2));
		break;
	case 3:
	case 4:
		world->store_down = !world->store_down;
		break;
	case 5:
		world->list_down = !world->list_down;
		break;
	default:
		world_worker_set_capacity(world, worker, random_capacity(rng));
		break;
	}
}

static void clear_faults(world_t *world)
{
	int i;

	world->lost_answer_percent = 0;
	world->late_order_percent = 0;
	world->store_down = false;
	world->list_down = false;
	for (i = 0; i < world->n_workers; i++) {
		world_worker_set_capacity(world, i, full);
		if (world->workers[i].crashed)
			world_worker_restart(world, i, false);
	}
}

static void run_random_scenario(uint64_t seed)
{
	world_t *world = new_world(seed, 6);
	base_rng_t rng = { .state = seed * 91 };
	char id[8];
	int taken = 0;
	int ended = 0;
	int i;

	world->lost_answer_percent = (int)base_rng_below(&rng, 10);
	world->late_order_percent = (int)base_rng_below(&rng, 10);
	world->list_time = base_rng_below(&rng, 1000) * MS;
	for (i = 0; i < 40; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		random_job(world, &rng, id);
		world_advance(world, base_rng_below(&rng, 2000) * MS);
		random_change(world, &rng);
	}
	clear_faults(world);
	world_advance(world, 120 * SECOND);
	for (i = 0; i < 40; i++) {
		batch_state_t state;

		g_snprintf(id, sizeof(id), "j%d", i);
		state = world_state(world, id);
		taken += state != BATCH_UNKNOWN;
		ended += state >= BATCH_COMPLETED;
	}
	g_test_message("seed %d: %d taken, %d ended, %d broken, %s", (int)seed,
		       taken, ended, world->broken, world->first_violation);
	g_assert_cmpint(ended, ==, taken);
	check_and_free(world);
}

/* Guards against any order of these events that exceeds a capacity. */
static void test_random_scenarios(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 300; seed++)
		run_random_scenario(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch/capacity/unsent-starts", test_unsent_starts);
	g_test_add_func("/batch/capacity/unsent-starts-move",
			test_unsent_starts_move);
	g_test_add_func("/batch/capacity/long-running-starts-stay",
			test_long_running_starts_stay);
	g_test_add_func("/batch/capacity/old-list", test_old_list);
	g_test_add_func("/batch/capacity/old-list-and-gang",
			test_old_list_and_gang);
	g_test_add_func("/batch/capacity/old-list-with-admission",
			test_old_list_with_admission);
	g_test_add_func("/batch/capacity/starts-in-doubt",
			test_starts_in_doubt);
	g_test_add_func("/batch/capacity/takeover", test_takeover);
	g_test_add_func("/batch/capacity/runs-of-ended-jobs",
			test_runs_of_ended_jobs);
	g_test_add_func("/batch/capacity/gang", test_gang);
	g_test_add_func("/batch/capacity/gang-and-worker-gone",
			test_gang_and_worker_gone);
	g_test_add_func("/batch/capacity/unsent-starts-and-drain",
			test_unsent_starts_and_drain);
	g_test_add_func("/batch/capacity/to-nothing", test_shrink_to_nothing);
	g_test_add_func("/batch/capacity/grow", test_grow);
	g_test_add_func("/batch/capacity/best-effort", test_best_effort);
	g_test_add_func("/batch/capacity/reservation", test_reservation);
	g_test_add_func("/batch/capacity/pool-gets-workers",
			test_pool_gets_workers);
	g_test_add_func("/batch/capacity/pool-of-nothing-gets-workers",
			test_pool_of_nothing_gets_workers);
	g_test_add_func("/batch/capacity/moves-choose-by-capacity",
			test_moves_choose_by_capacity);
	g_test_add_func("/batch/capacity/admission", test_admission);
	g_test_add_func("/batch/capacity/admission-beside-long-running",
			test_admission_beside_long_running);
	g_test_add_func("/batch/capacity/log", test_log);
	g_test_add_func("/batch/capacity/random", test_random_scenarios);
	g_test_add_func("/batch/capacity/long-running-before-short",
			test_long_running_before_short);
	g_test_add_func("/batch/capacity/long-running-that-fit-nowhere",
			test_long_running_that_fit_nowhere);
	return g_test_run();
}
