#include "site.h"

static void test_entry(void)
{
	const char *ids[] = { "a", "b" };
	uint64_t seqs[] = { 7, 8 };
	const char *pools[] = { "p" };
	double demand[] = { 12.0 };
	site_entry_t in = { .inc = 5,
			    .operators = { "127.0.0.1", 80 },
			    .ids = ids,
			    .seqs = seqs,
			    .n = 2,
			    .pools = pools,
			    .demand = demand,
			    .n_pools = 1 };
	void *ctx = talloc_new(NULL);
	char *text = site_entry_print(ctx, &in);
	site_entry_t out;

	g_assert_true(site_entry_load(ctx, "e", base_str(text), &out));
	g_assert_cmpuint(out.inc, ==, 5);
	g_assert_false(out.gone);
	g_assert_cmpuint(out.n, ==, 2);
	g_assert_cmpuint(out.seqs[1], ==, 8);
	g_assert_cmpfloat(out.demand[0], ==, 12.0);
	talloc_free(ctx);
}

static void test_bad_entry(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"incarnation\":1}",
		"{\"incarnation\":\"1\",\"address\":\"x\",\"port\":1,"
		"\"gone\":false,\"confirmed\":{},\"demand\":{}}",
	};
	site_entry_t out;

	for (size_t i = 0; i < ARRAY_SIZE(bad); i++)
		g_assert_false(
			site_entry_load(NULL, "e", base_str(bad[i]), &out));
}

static uint32_t up_after(fleet_t *fleet)
{
	fleet_pool_view_t view;

	fleet_step(fleet, fleet, BASE_SEC);
	g_assert_true(fleet_pool_view(fleet, 0, &view));
	return view.up;
}

/* What left the list is no longer up. */
static void test_observe(void)
{
	plat_instance_t items[] = {
		{ "i1", "3", "z", "r1", "127.0.0.1", 1, PLAT_LIVE },
		{ "i2", "3", "z", "r2", "127.0.0.1", 2, PLAT_LIVE },
	};
	plat_instances_t list = { items, 2 };
	fleet_pool_t pool = {
		.name = "p", .executors = 2, .slots = 8, .min_up = 1
	};
	fleet_opts_t opts = { 0 };
	fleet_t *fleet = fleet_new(NULL, &opts);
	fleet_ops_t *ops;

	fleet_configure(fleet, &pool, 1);
	fleet_fence(fleet, 1);
	site_observe(fleet, &list, BASE_SEC);
	ops = fleet_step(fleet, fleet, BASE_SEC);
	for (size_t i = 0; i < ops->n; i++)
		fleet_load(fleet, ops->ops[i].key, base_str(ops->ops[i].value),
			   (int64_t)i + 1, NULL);
	g_assert_cmpuint(up_after(fleet), ==, 2);
	list.count = 1;
	site_observe(fleet, &list, BASE_SEC);
	g_assert_cmpuint(up_after(fleet), ==, 1);
	talloc_free(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/entry", test_entry);
	g_test_add_func("/site/bad-entry", test_bad_entry);
	g_test_add_func("/site/observe", test_observe);
	return g_test_run();
}
