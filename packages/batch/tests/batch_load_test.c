/*
 * Load tests of admission and capacity.  The demand of a queue comes in bursts:
 * for some seconds about four times its mean, and a twentieth of the mean in
 * between.
 */
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC
/*
 * Simulated time of moving an instance between two pools; a move takes this
 * long on the users' platform.
 */
#define MOVE_TIME (1500 * MS)
#define MOVES_MAX 16

typedef struct load {
	world_t *world;
	base_rng_t rng;
	bool autoscale; /* move instances as the demand changes */
	int instances_off;
	int64_t moves_done_at[MOVES_MAX * 8];
	int n_moving;
	GArray *arrived_at; /* by job number */
	GArray *ended_at;   /* 0: not ended; -1: refused */
	int submitted, accepted, in_time, late, moves;
	/*
	 * Time of all workers in or moving to the pool, summed, microseconds.
	 */
	int64_t worker_us;
} load_t;

static void job_name(char *id, size_t size, int number)
{
	g_snprintf(id, size, "j%d", number);
}

static void submit_job(load_t *load)
{
	/* Two steps of four tasks, each a second on two cores. */
	batch_step_spec_t steps[2] = { world_step(4), world_step(4) };
	int64_t initial_end = 0;
	char id[16];

	steps[1].depends_on = 1;
	job_name(id, sizeof(id), load->submitted++);
	g_array_append_val(load->arrived_at, load->world->now);
	if (world_submit(load->world, id, steps, 2) == BATCH_ACCEPTED)
		load->accepted++;
	else
		initial_end = -1;
	g_array_append_val(load->ended_at, initial_end);
}

static void record_ends(load_t *load)
{
	/*
	 * The objective of a job: stretch times the critical path of two
	 * seconds, plus the target latency.
	 */
	int64_t objective = (int64_t)(1.6 * 2 * SECOND) + 600 * MS;
	char id[16];
	int i;

	for (i = 0; i < load->submitted; i++) {
		int64_t *end = &g_array_index(load->ended_at, int64_t, i);
		int64_t took = load->world->now -
			       g_array_index(load->arrived_at, int64_t, i);

		if (*end)
			continue;
		job_name(id, sizeof(id), i);
		if (world_state(load->world, id) != BATCH_COMPLETED)
			continue;
		*end = load->world->now;
		if (took <= objective)
			load->in_time++;
		else
			load->late++;
	}
}

static void move_instances(load_t *load)
{
	batch_move_t moves[MOVES_MAX];
	char id[WORLD_NAME_MAX];
	size_t n;
	size_t i;
	int j;

	for (j = load->n_moving; j-- > 0;)
		if (load->moves_done_at[j] <= load->world->now) {
			world_add_worker(load->world);
			load->moves_done_at[j] =
				load->moves_done_at[--load->n_moving];
		}
	batch_pool_set_incoming(load->world->core, BASE_STR("pool"),
				load->n_moving);
	n = batch_moves(load->world->core, load->world->now,
			(size_t)load->instances_off, true, moves, MOVES_MAX);
	for (i = 0; i < n; i++) {
		load->moves++;
		if (!moves[i].worker.len) {
			load->instances_off--;
			load->moves_done_at[load->n_moving++] =
				load->world->now + MOVE_TIME;
			continue;
		}
		g_snprintf(id, sizeof(id), "%.*s",
			   BASE_STR_ARG(moves[i].worker));
		world_drop_worker(load->world, id);
		load->instances_off++;
	}
}

static int pool_size(const world_t *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_workers; i++)
		n += world->workers[i].listed;
	return n;
}

/*
 * Runs three bursts of 4.5 s, one every 18 s.  "rate" is the mean number of
 * jobs a second.
 */
static load_t run_bursts(bool autoscale, double rate)
{
	load_t load = { .autoscale = autoscale, .rng = { .state = 3 } };
	double due = 0;
	int tick;

	load.world = world_new_queue(11, 9, 2, 1.6);
	load.instances_off = autoscale ? 8 : 0;
	load.arrived_at = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load.ended_at = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (tick = 0; tick < 5000; tick++) {
		bool in_burst = tick % 1800 < 450;

		due += rate * (in_burst ? 3.85 : 0.05) *
		       (0.5 + base_rng_unit(&load.rng)) / 100;
		while (due >= 1) {
			submit_job(&load);
			due--;
		}
		world_advance(load.world, 10 * MS);
		if (tick % 10 == 0)
			record_ends(&load);
		if (autoscale && tick % 15 == 0)
			move_instances(&load);
		load.worker_us +=
			(pool_size(load.world) + load.n_moving) * 10 * MS;
	}
	world_advance(load.world, 10 * SECOND);
	record_ends(&load);
	g_test_message(
		"%s: submitted %d, accepted %d, in time %d, late %d, moves %d, "
		"%.0f worker seconds",
		autoscale ? "follows the demand" : "stays", load.submitted,
		load.accepted, load.in_time, load.late, load.moves,
		(double)load.worker_us / SECOND);
	g_assert_cmpint(load.world->broken, ==, 0);
	return load;
}

static void load_free(load_t *load)
{
	g_array_unref(load->arrived_at);
	g_array_unref(load->ended_at);
	world_free(load->world);
}

/* Bursts of twice the capacity of the pool; instances can be moved. */
static void test_capacity_follows_demand(void)
{
	load_t fixed = run_bursts(false, 2.4);
	load_t scaled = run_bursts(true, 2.4);

	/*
	 * With moves at least a fifth more jobs end in time than without, and
	 * the time that workers spend in the pool, summed over them, is
	 * shorter.
	 */
	g_assert_cmpint(scaled.in_time * 10, >=, fixed.in_time * 12);
	g_assert_cmpint(scaled.worker_us, <, fixed.worker_us);
	load_free(&fixed);
	load_free(&scaled);
}

/*
 * The same bursts without instances to move.  Of the 42 jobs of a burst, 16
 * core seconds each, the pool's 72 cores can end 28 within the 6.3 s available.
 * The other jobs must not make these late as well.
 */
static void test_overload_does_not_delay_all_jobs(void)
{
	load_t fixed = run_bursts(false, 2.4);

	g_assert_cmpint(fixed.in_time * 100, >=, fixed.submitted * 60);
	load_free(&fixed);
}

#define HOLDER_WORKERS 200
#define HOLDER_TASKS 8		   /* starts of a job, see submit_job() */
#define HOLDER_START_COST (2 * MS) /* 500 starts a second */
#define HOLDER_BURST_TICKS 450	   /* 4.5 s, in ticks of 10 ms */
#define HOLDER_PERIOD_TICKS 2250   /* the burst is a fifth of it */

/*
 * Runs three bursts in which all demand comes, five times its mean.  The pool
 * has room for 800 tasks of one second, so that the holder, which can send 500
 * starts a second, is the bottleneck.  "rate" is the number of jobs a second in
 * a burst.
 */
static load_t run_holder_bursts(double rate)
{
	load_t load = { .rng = { .state = 5 } };
	double due = 0;
	int tick;

	load.world = world_new_queue(12, HOLDER_WORKERS, 2, 1.6);
	load.world->start_cost = HOLDER_START_COST;
	load.arrived_at = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load.ended_at = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (tick = 0; tick < 3 * HOLDER_PERIOD_TICKS; tick++) {
		if (tick % HOLDER_PERIOD_TICKS < HOLDER_BURST_TICKS)
			due += rate * (0.5 + base_rng_unit(&load.rng)) / 100;
		while (due >= 1) {
			submit_job(&load);
			due--;
		}
		world_advance(load.world, 10 * MS);
		if (tick % 10 == 0)
			record_ends(&load);
	}
	world_advance(load.world, 10 * SECOND);
	record_ends(&load);
	g_test_message("holder: submitted %d, accepted %d, in time %d, late %d",
		       load.submitted, load.accepted, load.in_time, load.late);
	g_assert_cmpint(load.world->broken, ==, 0);
	g_assert_cmpint(load.in_time + load.late, ==, load.accepted);
	return load;
}

/*
 * Guards against goodput that collapses in a burst because the holder cannot
 * send all starts: jobs wait for each other's starts and all end late.
 */
static void test_goodput_stays_level_with_a_slow_holder(void)
{
	/* Jobs whose tasks the holder can start during the three bursts. */
	int possible = (int)(3 * HOLDER_BURST_TICKS * 10 * MS /
			     (HOLDER_TASKS * HOLDER_START_COST));
	load_t twice = run_holder_bursts(125);
	load_t five = run_holder_bursts(312);

	g_assert_cmpint(twice.in_time * 4, >=, possible * 3);
	g_assert_cmpint(five.in_time * 4, >=, possible * 3);
	load_free(&twice);
	load_free(&five);
}

/*
 * Guards against a limit on starts that takes a slow store for a slow holder,
 * and so sends less than the changes of the store hold.
 */
static void test_slow_store_has_full_changes(void)
{
	world_t *world = world_new(13, HOLDER_WORKERS, 2);
	batch_step_spec_t step = world_step(8);
	char id[16];
	int i;

	world->store_time = 250 * MS;
	/* Two changes hold the new jobs, and two more all starts. */
	for (i = 0; i < 28; i++) {
		job_name(id, sizeof(id), i);
		world_submit(world, id, &step, 1);
	}
	world_advance(world, 4 * world->store_time + 5 * WORLD_TICK);
	g_assert_cmpint(world->starts, ==, 28 * 8);
	world_free(world);
}

/* Guards against a limit on starts that makes jobs late that were in time. */
static void test_holder_that_keeps_up_ends_all_in_time(void)
{
	load_t below = run_holder_bursts(50);

	g_assert_cmpint(below.in_time, ==, below.submitted);
	load_free(&below);
}

/* Submits more than two workers can run; a refusal must say when to retry. */
static void submit_overload(world_t *world, int jobs)
{
	batch_step_spec_t step = world_step(4);
	batch_spec_t spec = { .queue = BASE_STR("queue"),
			      .steps = &step,
			      .n_steps = 1 };
	batch_refusal_t refusal = { 0 };
	char id[16];
	int i;

	for (i = 0; i < jobs; i++) {
		job_name(id, sizeof(id), i);
		if (world_submit(world, id, &step, 1) != BATCH_REFUSED)
			continue;
		spec.id = base_str(id);
		g_assert_cmpint(batch_submit(world->core, world->now,
					     world->now, &spec, &refusal),
				==, BATCH_REFUSED);
		g_assert_cmpint(refusal.retry_after, >=, SECOND);
	}
}

/* A refused job never runs; an accepted one completes. */
static void test_refused_jobs_never_run(void)
{
	world_t *world = world_new_queue(1, 2, 2, 1.6);
	char id[16];
	int accepted = 0;
	int i;

	submit_overload(world, 40);
	world_advance(world, 10 * SECOND);
	for (i = 0; i < 40; i++) {
		job_name(id, sizeof(id), i);
		if (world_state(world, id) == BATCH_UNKNOWN)
			continue;
		accepted++;
		g_assert_cmpint(world_state(world, id), ==, BATCH_COMPLETED);
	}
	g_assert_cmpint(accepted, <, 40);
	g_assert_cmpint(world->starts, ==, 4 * accepted);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-load/capacity-follows-turns",
			test_capacity_follows_demand);
	g_test_add_func("/batch-load/overload-serves-what-the-pool-holds",
			test_overload_does_not_delay_all_jobs);
	g_test_add_func("/batch-load/goodput-stays-level-with-a-slow-holder",
			test_goodput_stays_level_with_a_slow_holder);
	g_test_add_func("/batch-load/slow-store-has-full-changes",
			test_slow_store_has_full_changes);
	g_test_add_func("/batch-load/holder-that-keeps-up-ends-all-in-time",
			test_holder_that_keeps_up_ends_all_in_time);
	g_test_add_func("/batch-load/refusals-are-true",
			test_refused_jobs_never_run);
	return g_test_run();
}
