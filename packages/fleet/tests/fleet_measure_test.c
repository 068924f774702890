#include "fleet_measure.h"

/* The targets that docs/MEASUREMENTS.md reports against. */
#define BUFFER_MAX 1.1
#define MOVES_MAX 1.2
#define ROLLOUT_MAX 1.5

static void check_ratio(measure_t m, double most)
{
	g_assert_cmpfloat(m.bound, >, 0.0);
	g_assert_cmpfloat(m.measured_cost, <=, m.bound * most);
}

static void test_today(void)
{
	measure_site_t vakatawa = measure_today("vakatawa", 0.4, 0.4, 0.2);
	measure_site_t addis = measure_today("addis", 0.2, 0.2, 0.6);

	check_ratio(measure_buffer(&vakatawa), BUFFER_MAX);
	check_ratio(measure_rollout(&vakatawa), ROLLOUT_MAX);
	check_ratio(measure_buffer(&addis), BUFFER_MAX);
	check_ratio(measure_rollout(&addis), ROLLOUT_MAX);
}

static void test_moves(void)
{
	measure_site_t vakatawa = measure_today("vakatawa", 0.4, 0.4, 0.2);

	check_ratio(measure_moves(&vakatawa), MOVES_MAX);
}

static void test_zone(void)
{
	void *ctx = talloc_new(NULL);
	measure_site_t zone = measure_zone(ctx, 480);

	check_ratio(measure_buffer(&zone), BUFFER_MAX);
	check_ratio(measure_rollout(&zone), ROLLOUT_MAX);
	talloc_free(ctx);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/measure/today", test_today);
	g_test_add_func("/fleet/measure/moves", test_moves);
	g_test_add_func("/fleet/measure/zone", test_zone);
	return g_test_run();
}
