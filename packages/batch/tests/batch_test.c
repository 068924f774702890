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

static void test_steps_in_order(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t steps[2] = { world_step(6), world_step(8) };

	steps[1].depends_on = 1;
	g_assert_cmpint(world_submit(world, "a", steps, 2), ==, BATCH_ACCEPTED);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_UNKNOWN);
	world_advance(world, 100 * MS);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	world_advance(world, 6 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world->starts, ==, 14);
	check_and_free(world);
}

static void test_one_id_is_one_job(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t step = world_step(3);

	world_submit(world, "a", &step, 1);
	g_assert_cmpint(world_submit(world, "a", &step, 1), ==,
			BATCH_DUPLICATE);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(world_submit(world, "a", &step, 1), ==,
			BATCH_DUPLICATE);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(world->starts, ==, 3);
	check_and_free(world);
}

static void test_fails_after_its_attempts(void)
{
	world_t *world = world_new(1, 6, 2);
	batch_step_spec_t step = world_step(1);

	world->failed_run_percent = 100;
	world_submit(world, "a", &step, 1);
	world_advance(world, 8 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_FAILED);
	g_assert_cmpint(world->starts, ==, 2);
	check_and_free(world);
}

/* All jobs complete although every run on one worker fails. */
static void test_failing_worker_is_quarantined(void)
{
	world_t *world = world_new(3, 4, 4);
	batch_step_spec_t step = world_step(4);
	char id[8];
	int done = 0;
	int i;

	world->workers[1].fails_all = true;
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		world_submit(world, id, &step, 1);
		world_advance(world, 400 * MS);
	}
	world_advance(world, 10 * SECOND);
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		done += world_state(world, id) == BATCH_COMPLETED;
	}
	g_assert_cmpint(done, ==, 12);
	check_and_free(world);
}

static void test_lost_answers(void)
{
	world_t *world = world_new(5, 6, 3);
	batch_step_spec_t steps[2] = { world_step(6), world_step(6) };

	steps[1].depends_on = 1;
	world->lost_answer_percent = 40;
	world_submit(world, "a", steps, 2);
	world_submit(world, "b", steps, 2);
	world_advance(world, 20 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world_state(world, "b"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* Orders that get no answer are carried out seconds later. */
static void test_late_orders(void)
{
	world_t *world = world_new(7, 6, 3);
	batch_step_spec_t steps[2] = { world_step(6), world_step(6) };

	steps[1].depends_on = 1;
	world->late_order_percent = 30;
	world_submit(world, "a", steps, 2);
	world_submit(world, "b", steps, 2);
	world_advance(world, 40 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	g_assert_cmpint(world_state(world, "b"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

static batch_step_spec_t long_running_step(int count)
{
	batch_step_spec_t step = world_step(count);

	step.long_running = true;
	step.max_per_worker = 1;
	step.max_unavailable = 1;
	step.tail_target = 700 * MS;
	return step;
}

static int count_running(world_t *world, const char *id, int count)
{
	int n = 0;
	int i;

	for (i = 0; i < count; i++)
		n += world_running(world, id, 0, i);
	return n;
}

/*
 * Guards against a lease that does not end: retried polls of a silent worker
 * must not extend the lease that the holder granted.
 */
static void test_long_running_task_restarts_after_crash(void)
{
	world_t *world = world_new(1, 8, 2);
	batch_step_spec_t step = long_running_step(5);
	int i;

	world_submit(world, "a", &step, 1);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(count_running(world, "a", 5), ==, 5);
	for (i = 0; i < 8; i++)
		if (world->workers[i].runs->len)
			break;
	world_worker_crash(world, i);
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(count_running(world, "a", 5), ==, 4);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(count_running(world, "a", 5), ==, 5);
	check_and_free(world);
}

/*
 * Guards against too many unavailable tasks of one step (rule AVAIL): while one
 * task is on a worker that has just crashed, no other task of the step may be
 * stopped in order to move it.
 */
static void test_no_move_while_a_sibling_is_silent(void)
{
	world_t *world = world_new(1, 8, 2);
	batch_step_spec_t step = long_running_step(5);
	int occupied[2] = { -1, -1 };
	int i;

	world_submit(world, "a", &step, 1);
	world_advance(world, 2 * SECOND);
	for (i = 0; i < 8; i++)
		if (world->workers[i].runs->len)
			occupied[occupied[0] >= 0] = i;
	world_worker_crash(world, occupied[0]);
	world_advance(world, 2 * SECOND);
	batch_worker_cordon(world->core, world->now,
			    base_str(world->workers[occupied[1]].id), true);
	world_advance(world, 2 * SECOND);
	g_assert_cmpuint(world->workers[occupied[1]].runs->len, ==, 1);
	world_advance(world, 6 * SECOND);
	g_assert_cmpuint(world->workers[occupied[1]].runs->len, ==, 0);
	g_assert_cmpint(count_running(world, "a", 5), ==, 5);
	check_and_free(world);
}

static void test_cordon_empties_a_worker(void)
{
	world_t *world = world_new(1, 7, 2);
	batch_step_spec_t step = long_running_step(5);
	batch_step_spec_t small = world_step(8);
	size_t n_long_running;

	world_submit(world, "a", &step, 1);
	world_submit(world, "b", &small, 1);
	world_advance(world, 500 * MS);
	batch_worker_cordon(world->core, world->now, BASE_STR("w0"), true);
	world_advance(world, 5 * SECOND);
	g_assert_cmpuint(
		batch_worker_runs(world->core, BASE_STR("w0"), &n_long_running),
		==, 0);
	g_assert_cmpint(count_running(world, "a", 5), ==, 5);
	check_and_free(world);
}

/*
 * Guards against too many unavailable tasks of one step (rule AVAIL): after a
 * takeover with an incomplete list of workers, runs in doubt must not be
 * stopped before their worker was polled.
 */
static void test_in_doubt_runs_wait_for_a_poll(void)
{
	world_t *world = world_new(1, 8, 2);
	batch_step_spec_t step = long_running_step(5);
	int starts;
	int i;

	world_submit(world, "a", &step, 1);
	world_advance(world, 2 * SECOND);
	starts = world->starts;
	for (i = 0; i < 8; i++)
		world->workers[i].listed = false;
	world_take_over(world);
	world_advance(world, 2 * SECOND);
	for (i = 0; i < 8; i++) {
		batch_worker_info_t info = {
			.id = base_str(world->workers[i].id),
			.pool = BASE_STR("pool"),
			.rack = base_str(world->workers[i].rack),
			.capacity = world->workers[i].capacity,
		};

		world->workers[i].listed = true;
		batch_worker_listed(world->core, world->now, &info);
	}
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(count_running(world, "a", 5), ==, 5);
	g_assert_cmpint(world->starts, ==, starts);
	check_and_free(world);
}

/*
 * Guards against a read of freed memory: a job is cancelled while its task
 * waits with a reservation, and this is stored before the next pass.
 */
static void test_cancel_of_a_reservation_is_stored_at_once(void)
{
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t filling = long_running_step(2);
	batch_step_spec_t waiting = long_running_step(1);
	batch_row_t rows[2];

	filling.need.cpu = world->workers[0].capacity.cpu;
	waiting.need.cpu = world->workers[0].capacity.cpu;
	world_submit(world, "a", &filling, 1);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(count_running(world, "a", 2), ==, 2);
	world_submit(world, "b", &waiting, 1);
	world_advance(world, SECOND);
	g_assert_true(world_cancel(world, "b"));
	g_assert_cmpuint(batch_rows(world->core, BATCH_LANE_ALL, rows, 2, 4),
			 ==, 1);
	batch_rows_stored(world->core, BATCH_LANE_ALL, world->now);
	g_assert_true(world_cancelled(world, "b"));
	world_submit(world, "c", &waiting, 1);
	g_assert_true(world_cancel(world, "a"));
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(count_running(world, "c", 1), ==, 1);
	check_and_free(world);
}

static void test_takeover_at_any_time(void)
{
	int at;

	for (at = 10; at < 3000; at += 70) {
		world_t *world = world_new((uint64_t)at, 5, 2);
		batch_step_spec_t steps[2] = { world_step(5), world_step(4) };

		steps[1].depends_on = 1;
		world_submit(world, "a", steps, 2);
		world_advance(world, at * MS);
		world_take_over(world);
		world_advance(world, 100 * MS);
		/* The caller repeats requests that got no answer. */
		world_submit(world, "a", steps, 2);
		world_advance(world, 14 * SECOND);
		g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
		check_and_free(world);
	}
}

static void test_cancel(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t steps[2] = { world_step(4), world_step(4) };
	int starts;

	steps[1].depends_on = 1;
	world_submit(world, "a", steps, 2);
	world_advance(world, 300 * MS);
	g_assert_true(world_cancel(world, "a"));
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	world_advance(world, 300 * MS);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_CANCELLED);
	starts = world->starts;
	world_advance(world, 5 * SECOND);
	g_assert_cmpint(world->starts, ==, starts);
	g_assert_cmpint(count_running(world, "a", 4), ==, 0);
	world_take_over(world);
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_CANCELLED);
	g_assert_cmpint(world->starts, ==, starts);
	check_and_free(world);
}

/*
 * Guards against runs of a job after its cancel was acknowledged (rule
 * UNASKED): if a cancel is acknowledged because the job has ended, but that end
 * is not stored yet, a successor runs the last tasks again.
 */
static void test_cancel_waits_for_a_stored_end(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t step = world_step(4);

	world_submit(world, "a", &step, 1);
	world_advance(world, 500 * MS);
	world->store_down = true;
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world->finished, ==, 4);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_RUNNING);
	g_assert_true(world_cancel(world, "a"));
	g_assert_false(world_cancelled(world, "a"));
	world->store_down = false;
	world_advance(world, SECOND);
	g_assert_true(world_cancelled(world, "a"));
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/*
 * Guards against a job that is left out of the pending ones too early (rule
 * MIXED): a job whose starts have no answer yet must still count as pending.
 */
static void test_job_is_pending_until_a_task_started(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t step = world_step(4);
	int i;

	for (i = 0; i < 4; i++)
		world_worker_set_unreachable(world, i, true);
	world_submit(world, "a", &step, 1);
	world_advance(world, 300 * MS);
	g_assert_cmpuint(batch_pending(world->core, BASE_STR("queue")), ==, 1);
	for (i = 0; i < 4; i++)
		world_worker_set_unreachable(world, i, false);
	world_advance(world, 8 * SECOND);
	g_assert_cmpuint(batch_pending(world->core, BASE_STR("queue")), ==, 0);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

static void test_no_start_before_the_job_is_stored(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t step = world_step(4);

	world->store_down = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, 3 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_UNKNOWN);
	g_assert_true(batch_job_unstored(world->core, BASE_STR("a")));
	g_assert_cmpint(world->starts, ==, 0);
	world->store_down = false;
	world_advance(world, 5 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

static void test_gang_starts_as_a_whole(void)
{
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t small = world_step(2);
	batch_step_spec_t gang = world_step(8);
	guint i;

	gang.gang = true;
	world_submit(world, "a", &small, 1);
	world_advance(world, 100 * MS);
	world_submit(world, "b", &gang, 1);
	world_advance(world, 200 * MS);
	g_assert_cmpint(world->starts, ==, 2);
	world_advance(world, 2 * SECOND);
	g_assert_cmpint(world->starts, ==, 10);
	for (i = 0; i < world->workers[0].runs->len; i++)
		g_assert_cmpint(
			g_array_index(world->workers[0].runs, world_run_t, i)
				.number,
			==, 1);
	check_and_free(world);
}

static void test_occurrences_start_on_time(void)
{
	world_t *world = world_new(1, 4, 2);
	batch_step_spec_t step = world_step(1);
	batch_spec_t spec = { .id = BASE_STR("r"),
			      .queue = BASE_STR("queue"),
			      .steps = &step,
			      .n_steps = 1,
			      .repeat = 3,
			      .first_at = 3 * SECOND,
			      .interval = 2 * SECOND };
	batch_refusal_t refusal;

	world_submit(world, "r", &step, 1); /* registers it in the simulation */
	world_cancel(world, "r");
	world_advance(world, SECOND);
	world->starts = 0;
	spec.id = BASE_STR("s");
	g_hash_table_insert(world->jobs, (char *)"s",
			    g_hash_table_lookup(world->jobs, "r"));
	g_assert_cmpint(batch_submit(world->core, world->now, world->now, &spec,
				     &refusal),
			==, BATCH_ACCEPTED);
	world_advance(world, 3 * SECOND - world->now - 100 * MS);
	g_assert_cmpint(world->starts, ==, 0);
	world_advance(world, SECOND);
	g_assert_cmpint(world->starts, ==, 1);
	world_advance(world, 4 * SECOND);
	g_assert_cmpint(world->starts, ==, 3);
	g_hash_table_remove(world->jobs, "s");
	world->broken = 0; /* "s" has the record of "r", a cancelled job */
	check_and_free(world);
}

static void test_bad_steps(void)
{
	batch_step_spec_t step = world_step(1);
	batch_spec_t spec = { .id = BASE_STR("a"),
			      .steps = &step,
			      .n_steps = 1 };
	GError *err = NULL;

	g_assert_true(batch_spec_check(&spec, NULL));
	step.depends_on = 1;
	g_assert_false(batch_spec_check(&spec, &err));
	g_assert_nonnull(strstr(err->message, "step 0"));
	g_clear_error(&err);
	step.depends_on = 0;
	step.count = 0;
	g_assert_false(batch_spec_check(&spec, NULL));
	step.count = BATCH_TASKS_MAX + 1;
	g_assert_false(batch_spec_check(&spec, NULL));
}

static void test_bad_specifications(void)
{
	batch_step_spec_t step = world_step(1);
	batch_spec_t spec = { .id = BASE_STR("a"), .steps = &step };

	g_assert_false(batch_spec_check(&spec, NULL));
	spec.n_steps = 1;
	spec.id = BASE_STR("");
	g_assert_false(batch_spec_check(&spec, NULL));
	spec.id = BASE_STR("a");
	spec.repeat = 2;
	g_assert_false(batch_spec_check(&spec, NULL));
}

static void test_bad_records(void)
{
	static const char *const records[] = {
		"",
		"[]",
		"{\"state\":\"asleep\",\"tasks\":[]}",
		"{\"state\":\"running\"}",
		"{\"state\":\"running\",\"occurrences\":1,\"tasks\":[[0,9,0]]}",
	};
	world_t *world = world_new(1, 2, 2);
	batch_step_spec_t step = world_step(1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(records); i++) {
		char id[8];
		batch_spec_t spec = { .queue = BASE_STR("queue"),
				      .steps = &step,
				      .n_steps = 1 };
		batch_stored_t stored = { .spec = &spec, .record = records[i] };
		GError *err = NULL;

		g_snprintf(id, sizeof(id), "b%d", (int)i);
		spec.id = base_str(id);
		stored.id = spec.id;
		g_assert_false(batch_restore(world->core, world->now,
					     world->now, &stored, &err));
		g_assert_nonnull(err);
		g_clear_error(&err);
		g_assert_cmpint(batch_state(world->core, spec.id), ==,
				BATCH_FAILED);
	}
	world_advance(world, SECOND);
	g_assert_cmpint(world->starts, ==, 0);
	check_and_free(world);
}

/* Injects one random fault, or ends some. */
static void random_fault(world_t *world, base_rng_t *rng, const char *id)
{
	int worker = (int)base_rng_below(rng, 8);
	int i;

	switch (base_rng_below(rng, 9)) {
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
		world_worker_set_unreachable(world, worker, true);
		break;
	case 4:
		for (i = 0; i < 8; i++)
			world_worker_set_unreachable(world, i, false);
		break;
	case 5:
		if (world_state(world, id))
			world_cancel(world, id);
		break;
	case 6:
		batch_worker_cordon(world->core, world->now,
				    base_str(world->workers[worker].id),
				    base_rng_below(rng, 2));
		break;
	default:
		break;
	}
}

static void random_job(world_t *world, base_rng_t *rng, const char *id)
{
	batch_step_spec_t steps[3];
	int n = 1 + (int)base_rng_below(rng, 3);
	int i;

	for (i = 0; i < n; i++) {
		steps[i] = world_step(1 + (int)base_rng_below(rng, 6));
		steps[i].depends_on = base_rng_below(rng, 1u << i);
	}
	world_submit(world, id, steps, n);
}

static void clear_faults(world_t *world)
{
	int i;

	world->lost_answer_percent = 0;
	world->late_order_percent = 0;
	world->failed_run_percent = 0;
	for (i = 0; i < 8; i++) {
		world_worker_set_unreachable(world, i, false);
		if (world->workers[i].crashed)
			world_worker_restart(world, i, false);
		batch_worker_cordon(world->core, world->now,
				    base_str(world->workers[i].id), false);
	}
}

/*
 * Submits random jobs under random faults and takeovers.  Once the faults have
 * ended, every accepted job must end.
 */
static void run_random_scenario(uint64_t seed, bool lanes)
{
	world_t *world = world_new(seed, 8, 3);
	base_rng_t rng = { .state = seed * 77 };
	char id[8];
	int taken = 0;
	int ended = 0;
	int i;

	world->lanes = lanes;
	world->lost_answer_percent = (int)base_rng_below(&rng, 15);
	world->late_order_percent = (int)base_rng_below(&rng, 10);
	world->failed_run_percent = (int)base_rng_below(&rng, 10);
	for (i = 0; i < 30; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		random_job(world, &rng, id);
		world_advance(world, base_rng_below(&rng, 800) * MS);
		random_fault(world, &rng, id);
	}
	clear_faults(world);
	world_advance(world, 60 * SECOND);
	for (i = 0; i < 30; i++) {
		batch_state_t state;

		g_snprintf(id, sizeof(id), "j%d", i);
		state = world_state(world, id);
		taken += state != BATCH_UNKNOWN;
		ended += state >= BATCH_COMPLETED;
	}
	g_test_message("seed %d: %d taken, %d ended, %s", (int)seed, taken,
		       ended, world->first_violation);
	g_assert_cmpint(ended, ==, taken);
	check_and_free(world);
}

static void test_random_scenarios(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 200; seed++) {
		run_random_scenario(seed, false);
		run_random_scenario(seed, true);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch/steps-in-order", test_steps_in_order);
	g_test_add_func("/batch/one-id-is-one-job", test_one_id_is_one_job);
	g_test_add_func("/batch/fails-after-its-attempts",
			test_fails_after_its_attempts);
	g_test_add_func("/batch/bad-worker-is-taken-out",
			test_failing_worker_is_quarantined);
	g_test_add_func("/batch/lost-answers", test_lost_answers);
	g_test_add_func("/batch/late-orders", test_late_orders);
	g_test_add_func("/batch/lasting-restarts",
			test_long_running_task_restarts_after_crash);
	g_test_add_func("/batch/nobody-moves-while-a-sibling-is-silent",
			test_no_move_while_a_sibling_is_silent);
	g_test_add_func("/batch/cordon-empties-a-worker",
			test_cordon_empties_a_worker);
	g_test_add_func("/batch/doubts-wait-for-a-look",
			test_in_doubt_runs_wait_for_a_poll);
	g_test_add_func("/batch/take-over-at-every-moment",
			test_takeover_at_any_time);
	g_test_add_func("/batch/cancel", test_cancel);
	g_test_add_func("/batch/cancel-of-a-reservation-is-stored-at-once",
			test_cancel_of_a_reservation_is_stored_at_once);
	g_test_add_func("/batch/cancel-waits-for-a-stored-end",
			test_cancel_waits_for_a_stored_end);
	g_test_add_func("/batch/nothing-begins-before-it-is-stored",
			test_no_start_before_the_job_is_stored);
	g_test_add_func("/batch/waits-until-a-task-has-started",
			test_job_is_pending_until_a_task_started);
	g_test_add_func("/batch/gang", test_gang_starts_as_a_whole);
	g_test_add_func("/batch/occurrences", test_occurrences_start_on_time);
	g_test_add_func("/batch/bad-steps", test_bad_steps);
	g_test_add_func("/batch/bad-specifications", test_bad_specifications);
	g_test_add_func("/batch/bad-records", test_bad_records);
	g_test_add_func("/batch/random-days", test_random_scenarios);
	return g_test_run();
}
