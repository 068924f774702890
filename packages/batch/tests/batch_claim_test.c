/*
 * Room that is set aside for the next run of a long-running task.
 */
#include "../batch_int.h"
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC
#define WORKERS 5
#define JOBS 24
#define SEEDS 200
/* More than what the tasks of a test need if each has a worker to itself. */
#define ENOUGH 4

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

static void add_need(batch_res_t *sum, const batch_step_spec_t *spec)
{
	if (!spec->best_effort)
		sum->cpu += spec->need.cpu;
	sum->memory += spec->need.memory;
	sum->gpu += spec->need.gpu;
}

static void check_worker(const batch_t *core, const batch_worker_t *worker)
{
	batch_res_t sum = { 0, 0, 0 };
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		g_assert_true(run->task->run == run);
		add_need(&sum, run->task->step->spec);
	}
	for (i = 0; i < worker->claims->len; i++) {
		const batch_task_t *task = g_ptr_array_index(worker->claims, i);
		batch_task_id_t id = batch_task_get_id(task);

		g_assert_true(task->claim == worker);
		g_assert_true(batch_find_task(core, &id) == task);
		add_need(&sum, task->step->spec);
	}
	g_assert_cmpint(worker->used.cpu, ==, sum.cpu);
	g_assert_cmpint(worker->used.memory, ==, sum.memory);
	g_assert_cmpint(worker->used.gpu, ==, sum.gpu);
}

/* Returns the number of claims. */
static guint check_use(const world_t *world)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, world->core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		check_worker(world->core, value);
		n += ((batch_worker_t *)value)->claims->len;
	}
	return n;
}

static void set_queue_pool(world_t *world, const char *pool)
{
	const batch_pool_info_t pools[] = {
		{ .name = BASE_STR("pool"), .checks_admission = true },
		{ .name = BASE_STR("other"), .checks_admission = true },
		{ .name = BASE_STR("spare"), .spare = true }
	};
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = base_str(pool),
				     .attempts = world->attempts,
				     .stretch = world->stretch,
				     .target_latency = 600 * MS };

	batch_config(world->core, &queue, 1, pools, 3);
}

static void random_event(world_t *world, base_rng_t *rng)
{
	int worker = (int)base_rng_below(rng, WORKERS);
	world_worker_t *at = &world->workers[worker];
	char id[8];

	switch (base_rng_below(rng, 12)) {
	case 0:
		world_take_over(world);
		break;
	case 1:
		if (!at->crashed)
			world_worker_crash(world, worker);
		else
			world_worker_restart(world, worker,
					     base_rng_below(rng, 2));
		break;
	case 2:
		world_worker_set_listed(world, worker, !at->listed);
		break;
	case 3:
		world_worker_set_unreachable(world, worker, !at->unreachable);
		break;
	case 4:
		world->store_down = !world->store_down;
		break;
	case 5:
		world_worker_set_capacity(
			world, worker,
			(batch_res_t){ base_rng_below(rng, 9) * 1000, 32000,
				       0 });
		break;
	case 6:
		g_snprintf(id, sizeof(id), "j%d",
			   (int)base_rng_below(rng, JOBS));
		if (world_state(world, id) != BATCH_UNKNOWN)
			world_cancel(world, id);
		break;
	case 7:
		set_queue_pool(world,
			       base_rng_below(rng, 3) ? "pool" : "other");
		break;
	default:
		batch_worker_cordon(world->core, world->now, base_str(at->id),
				    base_rng_below(rng, 2));
		break;
	}
}

/*
 * Guards against room that is lost or given twice: what is used on a worker is
 * the sum of its runs and claims after each event, and a claim is that of a
 * task that is there.
 */
static void test_use_is_that_of_runs_and_claims(void)
{
	guint claims = 0;
	uint64_t seed;
	char id[8];
	int i;
	int t;

	for (seed = 1; seed <= SEEDS; seed++) {
		base_rng_t rng = { seed };
		world_t *world = world_new(seed, WORKERS, 3);

		world->stop_time = base_rng_below(&rng, 500) * MS;
		for (i = 0; i < JOBS; i++) {
			batch_step_spec_t step =
				world_step(1 + (int)base_rng_below(&rng, 3));

			step.long_running = base_rng_below(&rng, 2);
			step.max_unavailable = 1;
			step.max_per_worker = (int)base_rng_below(&rng, 3);
			g_snprintf(id, sizeof(id), "j%d", i);
			world_submit(world, id, &step, 1);
			random_event(world, &rng);
			claims += check_use(world);
			for (t = (int)base_rng_below(&rng, 60); t > 0; t--) {
				world_advance(world, WORLD_TICK);
				claims += check_use(world);
			}
		}
		g_ptr_array_unref(
			batch_purge_jobs(world->core, world->now + SECOND));
		check_use(world);
		world_free(world);
	}
	g_assert_cmpuint(claims, >, 0);
}

/* A long-running task on w0 and a worker w1 without runs. */
static world_t *one_task(void)
{
	world_t *world = world_new(1, 1, 3);
	batch_step_spec_t step = world_step(1);

	step.long_running = true;
	step.max_unavailable = 1;
	world->stop_time = 300 * MS;
	world_submit(world, "a", &step, 1);
	world_advance(world, 2 * SECOND);
	world_add_worker(world);
	world_advance(world, SECOND);
	g_assert_cmpuint(world->workers[0].runs->len, ==, 1);
	return world;
}

/* Whether the task has room set aside, and no run any more. */
static bool is_due(const world_t *world)
{
	const batch_task_id_t id = { BASE_STR("a"), 0, 0, 0 };
	const batch_task_t *task = batch_find_task(world->core, &id);

	return !task->run && task->claim;
}

/*
 * Guards against a start in a pool that is no longer that of the queue (ROUTE):
 * the task was due, with room set aside in the former one.
 */
static void test_claim_in_a_former_pool(void)
{
	int after;
	int n = 0;

	for (after = 0; after < 30; after++) {
		world_t *world = one_task();

		batch_worker_cordon(world->core, world->now, BASE_STR("w0"),
				    true);
		while (!world->stops)
			world_advance(world, WORLD_TICK);
		batch_worker_hold(world->core, BASE_STR("w1"), INT64_MAX);
		world_advance(world, 400 * MS + after * WORLD_TICK);
		if (is_due(world)) {
			set_queue_pool(world, "other");
			batch_worker_hold(world->core, BASE_STR("w1"), 0);
			world_advance(world, SECOND);
			g_test_message("case %d", after);
			g_assert_cmpint(world->starts, ==, 1);
			n++;
		}
		check_and_free(world);
	}
	g_assert_cmpint(n, >, 0);
}

/*
 * Guards against a claim that holds a task where it is: the worker with its
 * room is kept from it, while another one has room.
 */
static void test_claim_moves_to_a_worker_that_can_start(void)
{
	world_t *world = one_task();

	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	world->store_down = true;
	world_advance(world, 100 * MS);
	g_assert_cmpuint(check_use(world), ==, 1);
	batch_worker_hold(world->core, BASE_STR("w1"), INT64_MAX);
	world->store_down = false;
	world_advance(world, SECOND);
	g_assert_cmpuint(world->workers[0].runs->len, ==, 1);
	world_add_worker(world);
	world_advance(world, 3 * SECOND);
	g_assert_cmpuint(world->workers[0].runs->len, ==, 0);
	g_assert_cmpuint(world->workers[2].runs->len, ==, 1);
	g_assert_cmpuint(check_use(world), ==, 0);
	check_and_free(world);
}

/*
 * Guards against a task that is stopped by the next holder on the strength of
 * room on its own worker, and has no place (LOST): the holder knows later that
 * the worker is to be emptied.
 */
static void test_claim_is_on_another_worker(void)
{
	world_t *world = one_task();
	int i;

	/* The row is stored; the stop is sent, and lost with the holder. */
	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	while (!world->orders->len)
		world_advance(world, WORLD_TICK);
	g_array_set_size(world->orders, 0);
	world_worker_set_capacity(world, 1, (batch_res_t){ 0, 0, 0 });
	world_take_over(world);
	for (i = 0; i < 200 && !world->orders->len; i++)
		world_advance(world, WORLD_TICK);
	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world_running(world, "a", 0, 0), ==, 1);
	g_assert_cmpint(world->starts, ==, 1);
	check_and_free(world);
}

/*
 * Guards against maintenance of an instance because it seems to be free, while
 * a long-running task is being moved there (LOST).
 */
static void test_claims_count_as_long_running(void)
{
	world_t *world = one_task();
	size_t n_long_running;

	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	while (!world->stops)
		world_advance(world, WORLD_TICK);
	g_assert_cmpuint(
		batch_worker_runs(world->core, BASE_STR("w1"), &n_long_running),
		==, 0);
	g_assert_cmpuint(n_long_running, ==, 1);
	world_advance(world, SECOND);
	g_assert_cmpuint(
		batch_worker_runs(world->core, BASE_STR("w1"), &n_long_running),
		==, 1);
	g_assert_cmpuint(n_long_running, ==, 1);
	check_and_free(world);
}

/*
 * Guards against a long-running task that is stopped though its worker is not
 * to be emptied any more, or that counts as away from then on.
 */
static void test_task_stays_once_it_may(void)
{
	world_t *world = one_task();

	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	world->store_down = true;
	world_advance(world, 100 * MS);
	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), false);
	world->store_down = false;
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world->stops, ==, 0);
	g_assert_cmpuint(check_use(world), ==, 0);
	/* It leaves once the worker is to be emptied again. */
	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	world_advance(world, 3 * SECOND);
	g_assert_cmpuint(world->workers[1].runs->len, ==, 1);
	check_and_free(world);
}

/* Instances that the pool asks for, each of which comes, in so many rounds. */
static int count_growth(world_t *world, int rounds)
{
	batch_move_t move;
	int n = 0;

	while (rounds-- > 0) {
		if (batch_moves(world->core, world->now, 1, false, &move, 1)) {
			world_add_worker(world);
			batch_pool_set_incoming(world->core, BASE_STR("pool"),
						0);
			n++;
		}
		world_advance(world, SECOND);
	}
	return n;
}

/*
 * Guards against a pool that asks for instances without end, before all others:
 * for a task that none of them can run, as it needs more than a whole one.
 */
static void test_growth_for_a_task_of_no_size(void)
{
	world_t *world = world_new(1, 2, 3);
	batch_step_spec_t step = world_step(1);

	step.long_running = true;
	step.need.cpu = 9000;
	world_submit(world, "big", &step, 1);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(count_growth(world, 4 * ENOUGH), <=, ENOUGH);
	world_free(world);
}

/* Guards against the same for a label that no worker has. */
static void test_growth_for_a_label_of_none(void)
{
	world_t *world = world_new(1, 2, 3);
	batch_step_spec_t step = world_step(1);

	step.long_running = true;
	step.label = BASE_STR("none");
	world_submit(world, "label", &step, 1);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(count_growth(world, 4 * ENOUGH), <=, ENOUGH);
	world_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-claim/use-is-that-of-runs-and-claims",
			test_use_is_that_of_runs_and_claims);
	g_test_add_func("/batch-claim/in-a-former-pool",
			test_claim_in_a_former_pool);
	g_test_add_func("/batch-claim/moves-to-a-worker-that-can-start",
			test_claim_moves_to_a_worker_that_can_start);
	g_test_add_func("/batch-claim/is-on-another-worker",
			test_claim_is_on_another_worker);
	g_test_add_func("/batch-claim/claims-count-as-long-running",
			test_claims_count_as_long_running);
	g_test_add_func("/batch-claim/task-stays-once-it-may",
			test_task_stays_once_it_may);
	g_test_add_func("/batch-claim/growth-for-a-task-of-no-size",
			test_growth_for_a_task_of_no_size);
	g_test_add_func("/batch-claim/growth-for-a-label-of-none",
			test_growth_for_a_label_of_none);
	return g_test_run();
}
