#include "../../../bench/flood.h"

/*
 * The targets of docs/design/admission.md against modelled endpoints.  Virtual
 * time and a fixed seed: a figure is the same on every machine.
 */

static flood_kept_t flood(const flood_options_t *base,
			  const flood_result_t *calm, unsigned flooding)
{
	flood_options_t opt = *base;
	flood_result_t r;

	opt.flooding = flooding;
	flood_run(&opt, &r);
	g_assert_cmpint(r.connections_max, <=, FLOOD_CONNECTIONS);
	return flood_kept(&opt, calm, &r);
}

/* Least urgent first, most urgent last, both together; the worst of all. */
static flood_kept_t worst(flood_options_t opt, flood_full_t full)
{
	int n = opt.n_classes;
	flood_kept_t kept, least = { 2.0, 0.0, 2.0 };
	flood_result_t calm;

	opt.full = full;
	flood_run(&opt, &calm);
	for (int c = 0; c < n; c++)
		g_assert_cmpfloat((double)calm.answered[c], >=,
				  0.999 * (double)calm.offered[c]);
	for (int turn = 0; turn <= n; turn++) {
		unsigned bits = flood_bit(n - 1 - turn);

		if (turn == n)
			bits = flood_bit(0) | flood_bit(n - 1);
		kept = flood(&opt, &calm, bits);
		least.goodput = MIN(least.goodput, kept.goodput);
		least.p99 = MAX(least.p99, kept.p99);
		least.pool = MIN(least.pool, kept.pool);
	}
	return least;
}

static void others_keep(flood_kept_t kept)
{
	g_assert_cmpfloat(kept.goodput, >=, 0.99);
	g_assert_cmpfloat(kept.p99, <=, 1.5);
}

static void test_five_pools(void)
{
	flood_kept_t kept = worst(flood_five_pools(), FLOOD_QUEUES);

	others_keep(kept);
	g_assert_cmpfloat(kept.pool, >=, 0.95);
}

static void test_shared_pool(void)
{
	flood_kept_t kept = worst(flood_shared_pool(), FLOOD_QUEUES);

	others_keep(kept);
	g_assert_cmpfloat(kept.pool, >=, 0.95);
}

/* Slots are declared; the truth is half of that, or half as much again. */
static void test_wrong_slots(void)
{
	flood_options_t opt = flood_five_pools();
	flood_kept_t kept;

	for (opt.true_slots = 4; opt.true_slots <= 12; opt.true_slots += 8) {
		kept = worst(opt, FLOOD_QUEUES);
		others_keep(kept);
		g_assert_cmpfloat(kept.pool, >=, 0.95);
	}
}

static void test_refusing_others(void)
{
	others_keep(worst(flood_five_pools(), FLOOD_REFUSES));
	others_keep(worst(flood_shared_pool(), FLOOD_REFUSES));
}

static void test_refusing_capacity(void)
{
	g_assert_cmpfloat(worst(flood_five_pools(), FLOOD_REFUSES).pool, >=,
			  0.95);
	g_assert_cmpfloat(worst(flood_shared_pool(), FLOOD_REFUSES).pool, >=,
			  0.95);
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
