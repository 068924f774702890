/*
 * Questions to a policy service whose answers take long, come late or never
 * come, with tickets that expire.
 */
#include "batch_int.h"
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC

/* Days of random-services, and the first seed. */
#define RANDOM_DAYS 120
#define RANDOM_SEED 1

static world_t *new_world(uint64_t seed, int workers, int64_t decision,
			  int64_t period, int64_t validity)
{
	world_t *world = world_new(seed, workers, 2);

	world->policy = (batch_policy_t){ decision, period, validity };
	world->advice.decision = decision;
	world->advice.period = period;
	world->advice.validity = validity;
	world_set_advised(world);
	world_advance(world, 100 * MS);
	return world;
}

static void check_and_free(world_t *world)
{
	g_assert_cmpstr(world->first_violation, ==, "");
	world_free(world);
}

/* Advances until the job is completed, at most for "span". */
static bool is_done_within(world_t *world, const char *id, int64_t span)
{
	int64_t until = world->now + span;

	while (world->now < until && world_state(world, id) != BATCH_COMPLETED)
		world_advance(world, 50 * MS);
	return world_state(world, id) == BATCH_COMPLETED;
}

/* Guards against a job that never starts because the answer about all workers
 * takes longer than a fixed time-out. */
static void test_answer_past_two_seconds(void)
{
	world_t *world = new_world(1, 11, 250 * MS, 170 * MS, 10 * SECOND);
	batch_step_spec_t step = world_step(8);

	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 6 * SECOND));
	g_assert_cmpint(world->questions, ==, 1);
	check_and_free(world);
}

/* Guards against the same where the service is slower than configured: the
 * job starts within a few times the true duration. */
static void test_slower_than_configured(void)
{
	world_t *world = new_world(2, 11, 40 * MS, 4 * MS, 30 * SECOND);
	batch_step_spec_t step = world_step(8);

	world->advice.decision = 3 * SECOND;
	world->advice.period = 300 * MS;
	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 20 * SECOND));
	check_and_free(world);
}

/* A decision that takes longer than any fixed limit. */
static void test_decision_of_a_minute(void)
{
	world_t *world = new_world(3, 4, 60 * SECOND, 0, 90 * SECOND);
	batch_step_spec_t step = world_step(2);

	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 70 * SECOND));
	g_assert_cmpint(world->questions, ==, 1);
	check_and_free(world);
}

/* Guards against tickets that have expired when they arrive: questions name as
 * many workers as can be answered in a part of the validity. */
static void test_answer_as_long_as_the_validity(void)
{
	world_t *world = new_world(4, 30, 100 * MS, 100 * MS, 3 * SECOND);
	batch_step_spec_t step = world_step(15);

	world->advice.issues_early = true;
	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 20 * SECOND));
	g_assert_cmpint(world->tickets_refused, ==, 0);
	check_and_free(world);
}

/* A margin of a fixed length would be most of the validity. */
static void test_validity_of_a_moment(void)
{
	world_t *world = new_world(11, 6, 5 * MS, 5 * MS, 120 * MS);
	batch_step_spec_t step = world_step(4);

	world->advice.issues_early = true;
	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 10 * SECOND));
	check_and_free(world);
}

/* Whether a start on some worker would carry a valid ticket. */
static bool has_ticket(const world_t *world, const char *id)
{
	const batch_job_t *job = batch_find_job(world->core, base_str(id));
	const batch_occ_t *occ = g_ptr_array_index(job->occs, 0);
	int i;

	for (i = 0; i < world->n_workers; i++) {
		const batch_worker_t *worker = batch_find_worker(
			world->core, base_str(world->workers[i].id));

		if (batch_advice_allows(&occ->steps[0].tasks[0], worker,
					world->now))
			return true;
	}
	return false;
}

/* Guards against a gap at each renewal, where an answer takes longer than a
 * fixed time before the expiry. */
static void test_renewal_is_in_time(void)
{
	world_t *world = new_world(12, 2, 700 * MS, 50 * MS, 4 * SECOND);
	batch_step_spec_t full = world_step(2);
	batch_step_spec_t step = world_step(1);
	int i;

	full.estimate = 100 * SECOND;
	full.need = (batch_res_t){ 8000, 4000, 0 };
	world_submit(world, "full", &full, 1);
	world_advance(world, 3 * SECOND);
	world_submit(world, "a", &step, 1);
	world_advance(world, 3 * SECOND);
	for (i = 0; i < 400; i++) {
		g_assert_true(has_ticket(world, "a"));
		world_advance(world, 50 * MS);
	}
	check_and_free(world);
}

/* Guards against repeating a question that is too large to be answered in
 * time. */
static void test_next_question_is_smaller(void)
{
	world_t *world = new_world(13, 8, 40 * MS, 4 * MS, 60 * SECOND);
	batch_step_spec_t step = world_step(4);

	world->advice.decision = 0;
	world->advice.period = 2 * SECOND;
	world_submit(world, "a", &step, 1);
	world_advance(world, 40 * SECOND);
	g_assert_cmpint(world->starts, ==, 4);
	check_and_free(world);
}

/* One worker takes longer to decide about than a ticket is valid. */
static void test_decision_past_the_validity(void)
{
	world_t *world = new_world(5, 6, 2 * SECOND, 100 * MS, SECOND);
	batch_step_spec_t step = world_step(4);

	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 20 * SECOND));
	check_and_free(world);
}

/* Guards against a queue that is held up by another one's open question. */
static void test_silent_queue_holds_up_no_other(void)
{
	world_t *world = new_world(6, 9, 250 * MS, 50 * MS, 10 * SECOND);
	batch_step_spec_t step = world_step(4);

	world->advice.silent_queue = BASE_STR("queue");
	world_submit(world, "silent", &step, 1);
	world_advance(world, 300 * MS);
	world->queue = "other";
	world_submit(world, "a", &step, 1);
	g_assert_true(is_done_within(world, "a", 8 * SECOND));
	/* Later, when the silent queue's questions last longest. */
	world_advance(world, 60 * SECOND);
	world_submit(world, "b", &step, 1);
	g_assert_true(is_done_within(world, "b", 8 * SECOND));
	world->advice.silent_queue = BASE_STR("");
	g_assert_true(is_done_within(world, "silent", 60 * SECOND));
	check_and_free(world);
}

/* Jobs of a busy queue do not keep another queue's from being asked about. */
static void test_each_queue_gets_its_turn(void)
{
	world_t *world = new_world(7, 9, 500 * MS, 50 * MS, 10 * SECOND);
	batch_step_spec_t step = world_step(1);
	char id[8];
	int i;

	for (i = 0; i < 41; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		world->queue = i == 20 ? "other" : NULL;
		world_submit(world, id, &step, 1);
	}
	g_assert_true(is_done_within(world, "j20", 8 * SECOND));
	check_and_free(world);
}

/* Allowed workers without room must not keep the others from being asked
 * about, although their tickets have to be renewed all the time. */
static void test_renewals_leave_time_for_others(void)
{
	world_t *world = new_world(8, 9, 700 * MS, 50 * MS, SECOND);
	batch_step_spec_t step = world_step(12);
	int i;

	step.estimate = 60 * SECOND;
	for (i = 2; i < 8; i++)
		world->workers[i].allowed = false;
	world_submit(world, "a", &step, 1);
	world_advance(world, 25 * SECOND);
	g_assert_cmpint(world->starts, ==, 12);
	check_and_free(world);
}

/* A service that was down for long is asked again soon after its return. */
static void test_service_comes_back(void)
{
	world_t *world = new_world(9, 9, 100 * MS, 10 * MS, 3 * SECOND);
	batch_step_spec_t step = world_step(4);

	world->advice.is_down = true;
	world_submit(world, "a", &step, 1);
	world_advance(world, 120 * SECOND);
	/* The caller of a service that refuses waits between its calls. */
	g_assert_cmpint(world->questions, <=, 110);
	world->advice.is_down = false;
	g_assert_true(is_done_within(world, "a", 5 * SECOND));
	check_and_free(world);
}

/* A quick service is asked as before: about 8 workers or two for each task. */
static void test_quick_service_is_asked_once(void)
{
	world_t *world = new_world(10, 30, 40 * MS, 4 * MS, 3 * SECOND);
	batch_step_spec_t step = world_step(15);

	world_submit(world, "a", &step, 1);
	world_advance(world, 250 * MS);
	g_assert_cmpint(world->questions, ==, 1);
	g_assert_cmpint(world->starts, ==, 15);
	check_and_free(world);
}

/* The true duration of an answer about all workers, and more than once that of
 * an answer about each by itself. */
static int64_t round_time(const world_t *world, int workers)
{
	return workers * (world->advice.decision + world->advice.period);
}

/* Draws a service, what the configuration says of it, and its faults. */
static world_t *draw_world(base_rng_t *rng, uint64_t seed, int workers)
{
	int64_t decision = (int64_t)base_rng_below(rng, 3000) * MS;
	int64_t period = (int64_t)base_rng_below(rng, 400) * MS;
	int64_t validity = (1000 + (int64_t)base_rng_below(rng, 20000)) * MS;
	world_t *world = new_world(seed, workers, decision, period, validity);

	if (base_rng_below(rng, 3) == 0) {
		world->advice.decision *= 1 + base_rng_below(rng, 8);
		world->advice.period *= 1 + base_rng_below(rng, 8);
	}
	world->advice.issues_early =
		3 * (world->advice.decision + world->advice.period) < validity;
	world->advice.lost_percent =
		base_rng_below(rng, 2) ? (int)base_rng_below(rng, 30) : 0;
	return world;
}

/*
 * The promise: a task that a worker may run starts.  Bound: twelve times what
 * it takes to ask about each worker by itself, for answers that are lost and
 * time-outs that are learned, and half a minute.
 */
static void play_day(uint64_t seed)
{
	base_rng_t rng = { seed };
	batch_step_spec_t step = world_step(3);
	int workers;
	world_t *world;
	char id[8];
	int64_t bound;
	int i;

	workers = 2 + (int)base_rng_below(&rng, 28);
	world = draw_world(&rng, seed, workers);
	for (i = 1; i < workers; i++)
		world->workers[i].allowed = base_rng_below(&rng, 3) > 0;
	for (i = 0; i < 4; i++) {
		int added = (int)base_rng_below(&rng, 4);

		while (added-- > 0)
			world_add_worker(world);
		/* The fleet shrinks by others than the worker that is sure. */
		if (world->n_workers > 2 && base_rng_below(&rng, 2))
			world_worker_drain(
				world,
				1 + (int)base_rng_below(
					    &rng,
					    (uint32_t)world->n_workers - 1));
		g_snprintf(id, sizeof(id), "j%d", i);
		world_submit(world, id, &step, 1);
		bound = 30 * SECOND + 12 * round_time(world, world->n_workers);
		if (!is_done_within(world, id, bound))
			g_error("seed %d: job %s has not ended in %.1f s, "
				"service %.2f + %.2f s",
				(int)seed, id, (double)bound / BASE_SEC,
				(double)world->advice.decision / BASE_SEC,
				(double)world->advice.period / BASE_SEC);
	}
	check_and_free(world);
}

/* Guards against jobs that wait for ever for an answer, whatever it costs. */
static void test_random_services(void)
{
	int i;

	for (i = 0; i < RANDOM_DAYS; i++)
		play_day((uint64_t)(RANDOM_SEED + i));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-advice/answer-past-two-seconds",
			test_answer_past_two_seconds);
	g_test_add_func("/batch-advice/slower-than-configured",
			test_slower_than_configured);
	g_test_add_func("/batch-advice/decision-of-a-minute",
			test_decision_of_a_minute);
	g_test_add_func("/batch-advice/answer-as-long-as-the-validity",
			test_answer_as_long_as_the_validity);
	g_test_add_func("/batch-advice/decision-past-the-validity",
			test_decision_past_the_validity);
	g_test_add_func("/batch-advice/silent-queue-holds-up-no-other",
			test_silent_queue_holds_up_no_other);
	g_test_add_func("/batch-advice/each-queue-gets-its-turn",
			test_each_queue_gets_its_turn);
	g_test_add_func("/batch-advice/renewals-leave-time-for-others",
			test_renewals_leave_time_for_others);
	g_test_add_func("/batch-advice/service-comes-back",
			test_service_comes_back);
	g_test_add_func("/batch-advice/quick-service-is-asked-once",
			test_quick_service_is_asked_once);
	g_test_add_func("/batch-advice/validity-of-a-moment",
			test_validity_of_a_moment);
	g_test_add_func("/batch-advice/renewal-is-in-time",
			test_renewal_is_in_time);
	g_test_add_func("/batch-advice/next-question-is-smaller",
			test_next_question_is_smaller);
	g_test_add_func("/batch-advice/random-services", test_random_services);
	return g_test_run();
}
