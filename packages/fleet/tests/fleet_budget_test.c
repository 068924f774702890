#include "fleet_site.h"

/*
 * Checks the five pools, on 13 racks of four instances, after a change to one
 * pool.
 */
static fleet_refusal_t *check_with(size_t pool, uint32_t executors,
				   uint32_t min_up, size_t refusals)
{
	fleet_pool_t pools[5];
	fleet_rack_t racks[13];
	const fleet_pool_t *five;
	fleet_site_t site = { pools, world_pools(&five), racks, 13, 3 };
	fleet_refusal_t *out;

	memcpy(pools, five, sizeof(pools));
	for (uint32_t r = 0; r < 13; r++)
		racks[r] = (fleet_rack_t){ r % 3, 4 };
	pools[pool].executors = executors;
	pools[pool].min_up = min_up;
	g_assert_cmpuint(fleet_budget_check(NULL, &site, &out), ==, refusals);
	return out;
}

static void test_budget_check(void)
{
	fleet_refusal_t *out = check_with(0, 9, 9, 1);

	g_assert_cmpint(out->kind, ==, FLEET_REFUSE_RACK);
	g_assert_cmpuint(out->min_up, ==, 8);
	g_assert_cmpuint(out->executors, ==, 10);
	g_assert_nonnull(strstr(out->text, "set min_up to 8"));
	talloc_free(out);
	/* The spare pool lends an instance, so that one can be drained. */
	talloc_free(check_with(0, 9, 8, 0));
	out = check_with(4, 8, 7, 1);
	g_assert_cmpint(out->kind, ==, FLEET_REFUSE_DRAIN);
	g_assert_cmpuint(out->min_up, ==, 6);
	talloc_free(out);
}

static void test_budget_machines(void)
{
	fleet_refusal_t *out = check_with(2, 20, 9, 1);

	g_assert_cmpint(out->kind, ==, FLEET_REFUSE_MACHINES);
	g_assert_cmpuint(out->instances, ==, 6);
	talloc_free(out);
	out = check_with(1, 9, 0, 1);
	g_assert_cmpint(out->kind, ==, FLEET_REFUSE_MIN_UP);
	talloc_free(out);
}

/*
 * A pool that must survive the loss of a zone gets a share of the small zone
 * before other pools fill it.
 */
static void test_budget_small_zone(void)
{
	fleet_pool_t pools[] = {
		{ .name = "wide",
		  .executors = 5,
		  .min_up = 3,
		  .survive_rack = true,
		  .survive_zone = true },
		{ .name = "large",
		  .executors = 10,
		  .min_up = 1,
		  .survive_rack = true },
	};
	fleet_rack_t racks[] = { { 0, 15 }, { 1, 3 }, { 2, 12 } };
	fleet_site_t site = { pools, 2, racks, 3, 3 };
	fleet_refusal_t *out;

	pools[0].unmaintained = true;
	g_assert_cmpuint(fleet_budget_check(NULL, &site, &out), ==, 0);
	talloc_free(out);
}

/*
 * An even spread over zones would put two executors into the only rack of a
 * zone, but the pool may lose only one.
 */
static void test_budget_single_rack(void)
{
	fleet_pool_t pool = {
		.name = "p", .executors = 8, .min_up = 6, .survive_rack = true
	};
	fleet_rack_t racks[10] = { { 0, 4 } };
	fleet_site_t site = { &pool, 1, racks, 10, 4 };
	fleet_refusal_t *out;

	for (uint32_t r = 1; r < 10; r++)
		racks[r] = (fleet_rack_t){ r < 3 ? 1 : r < 8 ? 2 : 3, 4 };
	g_assert_cmpuint(fleet_budget_check(NULL, &site, &out), ==, 0);
	talloc_free(out);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/budget-check", test_budget_check);
	g_test_add_func("/fleet/budget-machines", test_budget_machines);
	g_test_add_func("/fleet/budget-small-zone", test_budget_small_zone);
	g_test_add_func("/fleet/budget-single-rack", test_budget_single_rack);
	return g_test_run();
}
