#include "../../../bench/flood.h"

/*
 * Checks the targets of docs/design/admission.md against simulated endpoints:
 * a flood from some classes must not cost the others goodput or latency, nor
 * leave slots of the pool idle, and retries must not amplify the load.  Virtual
 * time and a fixed seed make the figures the same on every machine.
 */

static flood_impact_t run_flood(const flood_options_t *base,
				const flood_result_t *baseline,
				unsigned flooding)
{
	flood_options_t opt = *base;
	flood_result_t r;

	opt.flooding = flooding;
	flood_run(&opt, &r);
	g_assert_cmpint(r.connections_max, <=, FLOOD_CONNECTIONS);
	return flood_compute_impact(&opt, baseline, &r);
}

/*
 * Floods each class alone, the least urgent first, then the least and the most
 * urgent together.  Returns the worst figures of all runs.
 */
static flood_impact_t worst_case(flood_options_t opt, flood_full_t full)
{
	int n = opt.n_classes;
	flood_impact_t kept, worst = { 2.0, 0.0, 2.0 };
	flood_result_t baseline;

	opt.full = full;
	flood_run(&opt, &baseline);
	for (int c = 0; c < n; c++)
		g_assert_cmpfloat((double)baseline.answered[c], >=,
				  0.999 * (double)baseline.offered[c]);
	for (int turn = 0; turn <= n; turn++) {
		unsigned bits = flood_bit(n - 1 - turn);

		if (turn == n)
			bits = flood_bit(0) | flood_bit(n - 1);
		kept = run_flood(&opt, &baseline, bits);
		worst.goodput = MIN(worst.goodput, kept.goodput);
		worst.p99 = MAX(worst.p99, kept.p99);
		worst.pool = MIN(worst.pool, kept.pool);
	}
	return worst;
}

static void check_others(flood_impact_t kept)
{
	g_assert_cmpfloat(kept.goodput, >=, 0.99);
	g_assert_cmpfloat(kept.p99, <=, 1.5);
}

static void test_five_pools(void)
{
	flood_impact_t kept = worst_case(flood_five_pools(), FLOOD_QUEUES);

	check_others(kept);
	g_assert_cmpfloat(kept.pool, >=, 0.95);
}

static void test_shared_pool(void)
{
	flood_impact_t kept = worst_case(flood_shared_pool(), FLOOD_QUEUES);

	check_others(kept);
	g_assert_cmpfloat(kept.pool, >=, 0.95);
}

/* Eight slots are declared, but the endpoints have 4 or 12. */
static void test_wrong_slots(void)
{
	flood_options_t opt = flood_five_pools();
	flood_impact_t kept;

	for (opt.true_slots = 4; opt.true_slots <= 12; opt.true_slots += 8) {
		kept = worst_case(opt, FLOOD_QUEUES);
		check_others(kept);
		g_assert_cmpfloat(kept.pool, >=, 0.95);
	}
}

static void test_refusing_others(void)
{
	check_others(worst_case(flood_five_pools(), FLOOD_REFUSES));
	check_others(worst_case(flood_shared_pool(), FLOOD_REFUSES));
}

static void test_refusing_capacity(void)
{
	g_assert_cmpfloat(worst_case(flood_five_pools(), FLOOD_REFUSES).pool,
			  >=, 0.95);
	g_assert_cmpfloat(worst_case(flood_shared_pool(), FLOOD_REFUSES).pool,
			  >=, 0.95);
}

static void test_amplification(void)
{
	for (int fault = FLOOD_NO_CONNECTION; fault < FLOOD_FAULT_MAX;
	     fault++) {
		flood_options_t opt = flood_failing((flood_fault_t)fault);
		flood_result_t r;

		flood_run(&opt, &r);
		g_assert_cmpfloat((double)r.attempts, <=,
				  1.1 * (double)r.requests);
		g_assert_cmpfloat((double)r.answered_fault, >=,
				  0.99 * (double)r.requests);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/flood/five-pools", test_five_pools);
	g_test_add_func("/flood/shared-pool", test_shared_pool);
	g_test_add_func("/flood/wrong-slots", test_wrong_slots);
	g_test_add_func("/flood/refusing/others", test_refusing_others);
	g_test_add_func("/flood/refusing/capacity", test_refusing_capacity);
	g_test_add_func("/flood/amplification", test_amplification);
	return g_test_run();
}
