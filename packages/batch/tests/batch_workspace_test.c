/* Limits and shares of workspaces, beside faults and floods. */
#include "batch_int.h"
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC
#define TASK_CPU 2000 /* of a task of world_step() */

static void check_and_free(world_t *world)
{
	if (world->broken)
		g_test_message("%s", world->first_violation);
	g_assert_cmpint(world->broken, ==, 0);
	world_free(world);
}

static batch_share_t divide(const batch_share_t *shares, size_t n, size_t of)
{
	batch_share_t copy[8];

	memcpy(copy, shares, sizeof(*shares) * n);
	batch_share_divide(copy, n, 1);
	return copy[of];
}

/* Load: one asks for nine times what it is due, two for less. */
static void test_divide(void)
{
	const batch_share_t flood[] = { { 1, 3.0, 0 },
					{ 1, 0.1, 0 },
					{ 1, 0.2, 0 } };
	const batch_share_t weights[] = { { 3, 2.0, 0 }, { 1, 2.0, 0 } };
	const batch_share_t alone[] = { { 1, 0, 0 }, { 1, 5, 0 } };

	g_assert_cmpfloat_with_epsilon(divide(flood, 3, 1).fair, 0.1, 1e-9);
	g_assert_cmpfloat_with_epsilon(divide(flood, 3, 2).fair, 0.2, 1e-9);
	g_assert_cmpfloat_with_epsilon(divide(flood, 3, 0).fair, 0.7, 1e-9);
	g_assert_cmpfloat_with_epsilon(divide(weights, 2, 0).fair, 0.75, 1e-9);
	g_assert_cmpfloat_with_epsilon(divide(alone, 2, 1).fair, 1, 1e-9);
}

/* Load: a backlog of one workspace that the others must not wait for. */
static void test_finish(void)
{
	const batch_share_t shares[] = { { 1, 90, 0 },
					 { 1, 10, 0 },
					 { 2, 0, 0 } };

	/* 10 of its own and 10 of the other one meanwhile. */
	g_assert_cmpfloat_with_epsilon(batch_share_finish(shares, 3, 1, 10), 2,
				       1e-9);
	g_assert_cmpfloat_with_epsilon(batch_share_finish(shares, 3, 0, 10), 10,
				       1e-9);
	g_assert_cmpfloat_with_epsilon(batch_share_finish(shares, 3, 2, 10), 0,
				       1e-9);
	g_assert_cmpfloat(batch_share_finish(shares, 3, 1, 0), <, 0);
}

/* A world with one workspace that may run "tasks" tasks at once. */
static world_t *limited_world(int tasks)
{
	world_t *world = world_new(1, 8, 2);
	batch_workspace_info_t blue = { .name = BASE_STR("blue"),
					.weight = 1,
					.limit = { .cpu = tasks * TASK_CPU } };

	world_set_workspaces(world, &blue, 1);
	world->limits_set_at = -WORLD_LIMIT_TIME;
	world->workspace = "blue";
	return world;
}

static void set_limit(world_t *world, int tasks)
{
	batch_workspace_info_t blue = { .name = BASE_STR("blue"),
					.weight = 1,
					.limit = { .cpu = tasks * TASK_CPU } };

	world_set_workspaces(world, &blue, 1);
}

static int count_runs(const world_t *world)
{
	int n = 0;
	int w;

	for (w = 0; w < world->n_workers; w++)
		n += (int)world->workers[w].runs->len;
	return n;
}

static int64_t used_cpu(const world_t *world)
{
	return batch_workspace_get(world->core, BASE_STR("blue"))->used.cpu;
}

static void test_limit_holds(void)
{
	world_t *world = limited_world(3);
	batch_step_spec_t step = world_step(9);

	world_submit(world, "a", &step, 1);
	world_advance(world, 500 * MS);
	g_assert_cmpint(count_runs(world), ==, 3);
	world_advance(world, 6 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(used_cpu(world), ==, 0);
	check_and_free(world);
}

/* Waiting for the limit must not look as if there were no room. */
static void test_wait_is_explained(void)
{
	world_t *world = limited_world(1);
	batch_step_spec_t step = world_step(4);
	const batch_job_t *job;
	batch_move_t moves[8];

	world_submit(world, "a", &step, 1);
	world_advance(world, 500 * MS);
	job = batch_find_job(world->core, BASE_STR("a"));
	g_assert_nonnull(
		strstr(batch_fit_why(&((batch_occ_t *)job->occs->pdata[0])
					      ->steps[0]
					      .tasks[3],
				     world->now),
		       "limit"));
	g_assert_cmpuint(
		batch_moves(world->core, world->now, 8, true, moves, 8), ==, 0);
	check_and_free(world);
}

static void test_task_that_never_fits(void)
{
	world_t *world = limited_world(2);
	batch_step_spec_t large = world_step(1);
	batch_step_spec_t gang = world_step(3);
	batch_step_spec_t fits = world_step(3);

	large.need.cpu = 3 * TASK_CPU;
	gang.gang = true;
	g_assert_cmpint(world_submit(world, "a", &large, 1), ==, BATCH_REFUSED);
	g_assert_cmpint(world->refusal.kind, ==, BATCH_REFUSAL_TOO_LARGE);
	g_assert_cmpint(world_submit(world, "b", &gang, 1), ==, BATCH_REFUSED);
	g_assert_cmpint(world_submit(world, "c", &fits, 1), ==, BATCH_ACCEPTED);
	check_and_free(world);
}

static void test_gang_starts_as_a_whole(void)
{
	world_t *world = limited_world(4);
	batch_step_spec_t step = world_step(2);
	batch_step_spec_t gang = world_step(3);

	gang.gang = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, 300 * MS);
	world_submit(world, "g", &gang, 1);
	world_advance(world, 500 * MS);
	g_assert_cmpint(count_runs(world), ==, 2);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(world_state(world, "g"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* The next holder counts the runs that the stored rows name. */
static void test_takeover(void)
{
	world_t *world = limited_world(3);
	batch_step_spec_t step = world_step(9);
	int i;

	world_submit(world, "a", &step, 1);
	for (i = 0; i < 6; i++) {
		world_advance(world, 370 * MS);
		world_take_over(world);
	}
	world_advance(world, 20 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* The configuration has the workspace no longer: the next holder would know of
 * no limit for the jobs that are left. */
static void test_removed_workspace_at_a_takeover(void)
{
	world_t *world = limited_world(2);
	batch_step_spec_t step = world_step(8);
	batch_workspace_info_t none = { 0 };
	int i;

	world_submit(world, "a", &step, 1);
	world_advance(world, 500 * MS);
	world_set_workspaces(world, &none, 0);
	world_take_over(world);
	for (i = 0; i < 20; i++) {
		world_advance(world, 100 * MS);
		g_assert_cmpint(count_runs(world), <=, 2);
	}
	world_advance(world, 12 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* Starts without an answer that are carried out seconds later. */
static void test_late_starts(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 40; seed++) {
		world_t *world = world_new(seed, 8, 2);
		batch_workspace_info_t blue = { .name = BASE_STR("blue"),
						.weight = 1,
						.limit = { .cpu = 6 *
								  TASK_CPU } };
		batch_step_spec_t step = world_step(10);

		world_set_workspaces(world, &blue, 1);
		world->limits_set_at = -WORLD_LIMIT_TIME;
		world->workspace = "blue";
		world->late_order_percent = 40;
		world_submit(world, "a", &step, 1);
		world_advance(world, 2 * SECOND);
		world_worker_crash(world, (int)(seed % 8));
		world_advance(world, SECOND);
		world_take_over(world);
		world_submit(world, "b", &step, 1);
		world_advance(world, 60 * SECOND);
		g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
		g_assert_cmpint(world_state(world, "b"), ==, BATCH_COMPLETED);
		g_assert_cmpint(used_cpu(world), ==, 0);
		check_and_free(world);
	}
}

/* What runs goes on; nothing starts until it fits again. */
static void test_lowered_limit_at_a_takeover(void)
{
	world_t *world = limited_world(6);
	batch_step_spec_t step = world_step(14);
	int starts;

	step.estimate = 2 * SECOND;
	world_submit(world, "a", &step, 1);
	world_advance(world, 500 * MS);
	set_limit(world, 2);
	starts = world->starts;
	g_assert_cmpint(count_runs(world), ==, 6);
	world_take_over(world);
	world_advance(world, SECOND);
	g_assert_cmpint(world->starts, ==, starts);
	g_assert_cmpint(world->stops, ==, 0);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(count_runs(world), ==, 2);
	world_advance(world, 14 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* Starts that are decided and not stored yet when the limit is lowered. */
static void test_lowered_limit_drops_unsent_starts(void)
{
	world_t *world = limited_world(6);
	batch_step_spec_t step = world_step(6);

	world_submit(world, "a", &step, 1);
	world_advance(world, 300 * MS);
	world->store_down = true;
	world_advance(world, 100 * MS);
	world_submit(world, "b", &step, 1);
	world_advance(world, 3 * SECOND);
	set_limit(world, 1);
	world->store_down = false;
	world_advance(world, 300 * MS);
	g_assert_cmpint(used_cpu(world), <=, TASK_CPU);
	world_advance(world, 14 * SECOND);
	g_assert_cmpint(world_state(world, "b"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* The job's limit is counted over all pools; a pool to which nothing was
 * submitted for long would keep a backlog that is worked off. */
static void test_backlog_of_an_idle_pool(void)
{
	world_t *world = limited_world(4);
	batch_step_spec_t step = world_step(1);
	batch_pool_t *other = batch_pool_get(world->core, BASE_STR("other"));
	batch_workspace_t *blue =
		batch_workspace_get(world->core, BASE_STR("blue"));

	batch_workspace_in_pool(blue, other)->backlog.cpu = 1e15;
	other->backlog_at = world->now;
	world_advance(world, 5 * SECOND);
	g_assert_cmpint(world_submit(world, "a", &step, 1), ==, BATCH_ACCEPTED);
	check_and_free(world);
}

/* A run whose end is known would count for 13 s more, once for each start
 * whose answer is lost. */
static void test_answer_lost_after_the_end(void)
{
	world_t *world = limited_world(2);
	batch_step_spec_t steps[2] = { world_step(1), world_step(1) };
	batch_order_t order = { .task = { BASE_STR("a"), 0, 0, 0 }, .run = 1 };

	steps[1].estimate = 5 * SECOND;
	world_submit(world, "a", steps, 2);
	world_advance(world, 500 * MS);
	order.worker = base_str(
		batch_find_task(world->core, &order.task)->run->worker->id);
	world_advance(world, 2 * SECOND);
	g_assert_true(batch_find_task(world->core, &order.task)->done);
	batch_start_answer(world->core, world->now, &order,
			   BATCH_ANSWER_NO_REPLY);
	g_assert_cmpint(used_cpu(world), ==, TASK_CPU);
	check_and_free(world);
}

/* A start whose stop was answered and is void counts; a repeated answer, which
 * is not confirmed by a poll, must not end that. */
static void test_void_start_whose_stop_is_repeated(void)
{
	world_t *world = limited_world(4);
	batch_step_spec_t step = world_step(1);
	batch_order_t order = { .task = { BASE_STR("a"), 0, 0, 0 }, .run = 9 };
	batch_worker_t *worker;

	world_submit(world, "a", &step, 1);
	world_advance(world, 300 * MS);
	worker = batch_find_task(world->core, &order.task)->run->worker;
	batch_doubt_add(worker, world->now, &order.task, order.run, false);
	g_assert_cmpint(used_cpu(world), ==, 2 * TASK_CPU);
	batch_doubt_stopped(worker, world->now, &order);
	g_assert_cmpint(used_cpu(world), ==, TASK_CPU);
	worker->unreached = true;
	batch_doubt_tick(worker, world->now);
	g_assert_cmpint(used_cpu(world), ==, 2 * TASK_CPU);
	batch_doubt_stopped(worker, world->now, &order);
	g_assert_cmpint(used_cpu(world), ==, 2 * TASK_CPU);
	worker->unreached = false;
	world_advance(world, 20 * SECOND);
	g_assert_cmpint(used_cpu(world), ==, 0);
	check_and_free(world);
}

/* A start may be late although its job has ended and is forgotten. */
static void test_void_start_of_an_ended_job(void)
{
	world_t *world = limited_world(4);
	batch_step_spec_t step = world_step(1);
	batch_order_t order = { .task = { BASE_STR("a"), 0, 0, 0 }, .run = 9 };
	batch_worker_t *worker;
	GPtrArray *ids;

	world_submit(world, "a", &step, 1);
	world_advance(world, 300 * MS);
	worker = batch_find_task(world->core, &order.task)->run->worker;
	batch_doubt_add(worker, world->now, &order.task, order.run, false);
	batch_doubt_stopped(worker, world->now, &order);
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	ids = batch_purge_jobs(world->core, INT64_MAX);
	g_assert_cmpuint(ids->len, ==, 1);
	g_ptr_array_unref(ids);
	worker->unreached = true;
	batch_doubt_tick(worker, world->now);
	g_assert_cmpint(used_cpu(world), ==, TASK_CPU);
	worker->unreached = false;
	batch_doubt_tick(worker, world->now + 20 * SECOND);
	g_assert_cmpint(used_cpu(world), ==, 0);
	check_and_free(world);
}

/* Tasks that the limit keeps from running need no workers to spread over. */
static void test_spread_within_the_limit(void)
{
	world_t *world = limited_world(2);
	batch_step_spec_t step = world_step(6);
	const batch_pool_t *pool;

	step.long_running = true;
	step.max_per_worker = 1;
	world_submit(world, "a", &step, 1);
	world_advance(world, SECOND);
	batch_pools_measure(world->core, world->now);
	pool = batch_find_job(world->core, BASE_STR("a"))->queue->pool;
	g_assert_cmpint(count_runs(world), ==, 2);
	g_assert_cmpint(pool->spread_workers, ==, 2);
	world_free(world);
}

/* What its limit keeps a workspace from using is divided among the others. */
static void test_share_beside_a_limit(void)
{
	world_t *world = world_new(1, 8, 2);
	batch_workspace_info_t list[2] = { { .name = BASE_STR("blue"),
					     .weight = 1,
					     .limit = { .cpu = 2 * TASK_CPU } },
					   { .name = BASE_STR("red"),
					     .weight = 1 } };
	batch_step_spec_t step = world_step(200);
	const batch_pool_t *pool;
	batch_workspace_t *red;

	world_set_workspaces(world, list, 2);
	world->limits_set_at = -WORLD_LIMIT_TIME;
	world->workspace = "blue";
	world_submit(world, "b", &step, 1);
	world->workspace = "red";
	world_submit(world, "r", &step, 1);
	world_advance(world, 500 * MS);
	pool = batch_find_job(world->core, BASE_STR("r"))->queue->pool;
	red = batch_workspace_get(world->core, BASE_STR("red"));
	g_assert_true(pool->is_divided);
	g_assert_cmpfloat(batch_workspace_in_pool(red, pool)->fair, >, 0.6);
	world_free(world);
}

#define DAY_WORKERS 8
#define DAY_JOBS 14

/* One fault of a random day.  The rule is judged only from a time after a
 * change of the limit on, so that not all days have such changes. */
static void day_fault(world_t *world, base_rng_t *rng, bool changes_limit)
{
	int worker = (int)base_rng_below(rng, DAY_WORKERS);

	switch (base_rng_below(rng, changes_limit ? 8 : 6)) {
	case 0:
		world->late_order_percent = (int)base_rng_below(rng, 50);
		break;
	case 1:
		world->lost_answer_percent = (int)base_rng_below(rng, 40);
		break;
	case 2:
		world_take_over(world);
		break;
	case 3:
		world->store_down = !world->store_down;
		break;
	case 4:
		if (world->workers[worker].crashed)
			world_worker_restart(world, worker,
					     base_rng_below(rng, 2));
		else
			world_worker_crash(world, worker);
		break;
	case 5:
		world_worker_set_unreachable(
			world, worker, !world->workers[worker].unreachable);
		break;
	default:
		set_limit(world, 2 + (int)base_rng_below(rng, 6));
		break;
	}
}

static void end_day_faults(world_t *world)
{
	int i;

	world->late_order_percent = 0;
	world->lost_answer_percent = 0;
	world->store_down = false;
	for (i = 0; i < DAY_WORKERS; i++) {
		world_worker_set_unreachable(world, i, false);
		if (world->workers[i].crashed)
			world_worker_restart(world, i, false);
	}
}

/* Guards against starts above a limit, against a usage that outlasts its runs,
 * and jobs that never end because of it, while faults and changes of the limit
 * overlap. */
static void test_random_days(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 300; seed++) {
		base_rng_t rng = { seed };
		world_t *world = world_new(seed, DAY_WORKERS, 3);
		char id[8];
		int i;

		set_limit(world, 4);
		world->limits_set_at = -WORLD_LIMIT_TIME;
		world->workspace = "blue";
		for (i = 0; i < DAY_JOBS; i++) {
			batch_step_spec_t step =
				world_step(1 + (int)base_rng_below(&rng, 4));

			step.gang = step.count == 2;
			g_snprintf(id, sizeof(id), "j%d", i);
			world_submit(world, id, &step, 1);
			world_advance(world, (int64_t)base_rng_below(&rng, 8) *
						     100 * MS);
			day_fault(world, &rng, seed % 2);
			if (base_rng_below(&rng, 10) == 0)
				world_cancel(world, id);
		}
		end_day_faults(world);
		world_advance(world, 60 * SECOND);
		g_test_message("seed %d: %s", (int)seed,
			       world->first_violation);
		for (i = 0; i < DAY_JOBS; i++) {
			g_snprintf(id, sizeof(id), "j%d", i);
			g_assert_cmpint(world_state(world, id), !=,
					BATCH_QUEUED);
			g_assert_cmpint(world_state(world, id), !=,
					BATCH_RUNNING);
		}
		g_assert_cmpint(used_cpu(world), ==, 0);
		check_and_free(world);
	}
}

typedef struct flood {
	int in_time; /* jobs of the workspace that sends its usual */
	int refused;
	int others; /* completed jobs of the other one */
} flood_t;

/* Ten seconds of two workspaces on eight workers: red sends two jobs a second,
 * blue "factor" times as many. */
static flood_t play_flood(int factor, bool has_workspaces)
{
	world_t *world = world_new_queue(5, 8, 2, 3);
	batch_workspace_info_t list[2] = {
		{ .name = BASE_STR("blue"), .weight = 1 },
		{ .name = BASE_STR("red"), .weight = 1 }
	};
	batch_step_spec_t step = world_step(4);
	GHashTable *arrived =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	flood_t result = { 0 };
	GHashTableIter iter;
	gpointer key;
	int i;
	int n = 0;

	if (has_workspaces)
		world_set_workspaces(world, list, 2);
	for (i = 0; i < 20; i++) {
		int j;

		for (j = 0; j <= factor; j++) {
			bool is_red = j == 0;
			char *id = g_strdup_printf("%s%d", is_red ? "r" : "b",
						   n++);

			world->workspace = !has_workspaces ? NULL
					   : is_red	   ? "red"
							   : "blue";
			if (world_submit(world, id, &step, 1) == BATCH_REFUSED)
				result.refused += is_red;
			else
				g_hash_table_insert(arrived, id,
						    g_memdup2(&world->now,
							      sizeof(int64_t)));
		}
		world_advance(world, 500 * MS);
	}
	world_advance(world, 10 * SECOND);
	g_hash_table_iter_init(&iter, arrived);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const batch_job_t *job =
			batch_find_job(world->core, base_str(key));
		int64_t took = job->ended_wall - job->arrived_wall;

		if (job->state != BATCH_COMPLETED)
			continue;
		if (*(char *)key == 'r')
			result.in_time += took <= batch_objective(job);
		else
			result.others++;
	}
	g_hash_table_unref(arrived);
	check_and_free(world);
	return result;
}

/* Load: a workspace sends nine times its usual for ten seconds. */
static void test_flood_of_one_workspace(void)
{
	flood_t calm = play_flood(1, true);
	flood_t flood = play_flood(9, true);
	flood_t unshared = play_flood(9, false);

	g_test_message("in time of 20: %d calm, %d beside a flood, %d without "
		       "shares; %d of the others complete, %d without shares",
		       calm.in_time, flood.in_time, unshared.in_time,
		       flood.others, unshared.others);
	g_assert_cmpint(calm.in_time, ==, 20);
	g_assert_cmpint(flood.refused, ==, 0);
	g_assert_cmpint(flood.in_time, >=, 19);
	g_assert_cmpint(unshared.in_time, <, flood.in_time);
	/* What red leaves is used. */
	g_assert_cmpint(flood.others, >=, unshared.others / 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-workspace/divide", test_divide);
	g_test_add_func("/batch-workspace/finish", test_finish);
	g_test_add_func("/batch-workspace/limit-holds", test_limit_holds);
	g_test_add_func("/batch-workspace/wait-is-explained",
			test_wait_is_explained);
	g_test_add_func("/batch-workspace/task-that-never-fits",
			test_task_that_never_fits);
	g_test_add_func("/batch-workspace/gang-starts-as-a-whole",
			test_gang_starts_as_a_whole);
	g_test_add_func("/batch-workspace/takeover", test_takeover);
	g_test_add_func("/batch-workspace/removed-workspace-at-a-takeover",
			test_removed_workspace_at_a_takeover);
	g_test_add_func("/batch-workspace/late-starts", test_late_starts);
	g_test_add_func("/batch-workspace/lowered-limit-at-a-takeover",
			test_lowered_limit_at_a_takeover);
	g_test_add_func("/batch-workspace/lowered-limit-drops-unsent-starts",
			test_lowered_limit_drops_unsent_starts);
	g_test_add_func("/batch-workspace/backlog-of-an-idle-pool",
			test_backlog_of_an_idle_pool);
	g_test_add_func("/batch-workspace/answer-lost-after-the-end",
			test_answer_lost_after_the_end);
	g_test_add_func("/batch-workspace/void-start-whose-stop-is-repeated",
			test_void_start_whose_stop_is_repeated);
	g_test_add_func("/batch-workspace/void-start-of-an-ended-job",
			test_void_start_of_an_ended_job);
	g_test_add_func("/batch-workspace/spread-within-the-limit",
			test_spread_within_the_limit);
	g_test_add_func("/batch-workspace/share-beside-a-limit",
			test_share_beside_a_limit);
	g_test_add_func("/batch-workspace/random-days", test_random_days);
	g_test_add_func("/batch-workspace/flood-of-one-workspace",
			test_flood_of_one_workspace);
	return g_test_run();
}
