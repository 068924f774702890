#include "fleet_site.h"

static void test_first_start(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	fleet_pool_view_t view;

	for (size_t i = 0; i < fleet_n_pools(fleet); i++) {
		g_assert_true(fleet_pool_view(fleet, i, &view));
		g_assert_cmpuint(view.members, ==, view.target);
		g_assert_cmpuint(view.up, ==, view.members);
		g_assert_cmpuint(view.worst_rack, <=, 1);
		g_assert_cmpint(view.drainable, >=, 1);
	}
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 49);
	g_assert_cmpuint(w->writes, <=, 3 * FLEET_SHARDS + 2 * 5);
	talloc_free(w);
}

static void test_table(void)
{
	g_assert_cmpint(fleet_own_next(FLEET_SERVING, FLEET_EV_MOVE), ==,
			FLEET_STATE_MAX);
	g_assert_cmpint(fleet_own_next(FLEET_CORDONED, FLEET_EV_REBOOT), ==,
			FLEET_STATE_MAX);
	g_assert_cmpint(fleet_own_next(FLEET_DRAINED, FLEET_EV_REBOOT), ==,
			FLEET_REBOOTING);
	for (int s = 0; s < FLEET_STATE_MAX; s++) {
		const char *name = fleet_state_name((fleet_state_t)s);

		g_assert_cmpint(fleet_state_parse(name), ==, s);
	}
	g_assert_cmpint(fleet_state_parse("nonsense"), ==, FLEET_STATE_MAX);
}

/*
 * A configuration that moves one executor between pools causes one move and
 * then no further writes.
 */
static void test_move(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	fleet_pool_t pools[5];
	const fleet_pool_t *five;
	fleet_pool_view_t view;
	uint64_t writes;

	world_pools(&five);
	memcpy(pools, five, sizeof(pools));
	pools[3].executors--;
	pools[3].min_up--;
	pools[0].executors++;
	fleet_configure(fleet, pools, 5);
	run_turns(w, fleet, 3600, BASE_SEC);
	g_assert_true(fleet_pool_view(fleet, 0, &view));
	g_assert_cmpuint(view.up, ==, 10);
	g_assert_cmpuint(view.worst_rack, ==, 1);
	g_assert_cmpuint(w->violations, ==, 0);
	writes = w->writes;
	run_turns(w, fleet, 3600, BASE_SEC);
	g_assert_cmpuint(w->writes, ==, writes);
	talloc_free(w);
}

/*
 * An operator withdraws the order for a cordoned instance that is down and
 * orders another one out.  The first one returns to service but is not up, so
 * it must not count as capacity that lets the second one out.
 */
static void test_cancelled_while_down(void)
{
	fleet_opts_t opts = { .alive_for = 1 };
	fleet_pool_t pool = { .name = "p",
			      .executors = 3,
			      .slots = 8,
			      .min_up = 1,
			      .survive_rack = true };
	world_t *w = world_new(1, 3, 1);
	fleet_t *fleet = fleet_new(w, &opts);
	char *value;

	world_add_entry(w);
	fleet_configure(fleet, &pool, 1);
	fleet_set_fencing_token(fleet, 1);
	run_turns(w, fleet, 3, BASE_SEC);
	w->entries[0].stuck = true;
	value = fleet_order_edit(w, base_str(""), w->insts[0].id,
				 FLEET_FOR_HOLD, w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value, 0));
	run_turns(w, fleet, 4, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_CORDONED), ==, 1);
	w->insts[0].up = false;
	value = fleet_order_edit(w, base_str(""), w->insts[1].id,
				 FLEET_FOR_HOLD, w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value,
				world_find(w, FLEET_ORDERS_KEY)->rev));
	for (int i = 0; i < 10; i++) {
		run_turns(w, fleet, 1, BASE_SEC);
		g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 3);
	}
	talloc_free(w);
}

/*
 * The platform does not carry out a reboot in time: the instance stays alive
 * and is marked failed.  It must not serve again before the reboot, which may
 * still come late.
 */
static void test_late_reboot(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	uint64_t inc = w->insts[0].inc;
	char *value = fleet_order_edit(w, base_str(""), w->insts[0].id,
				       FLEET_FOR_URGENT, w->now);

	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value, 0));
	for (int i = 0; i < 1200; i++) {
		w->insts[0].rebooting = false; /* the request is ignored */
		w->insts[0].up = true;
		world_turn(w, fleet, BASE_SEC);
	}
	g_assert_cmpuint(count_state(fleet, FLEET_FAILED), ==, 1);
	run_turns(w, fleet, 900, BASE_SEC);
	g_assert_cmpuint(w->insts[0].inc, >, inc);
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 49);
	g_assert_cmpuint(w->violations, ==, 0);
	talloc_free(w);
}

/* A pool that lends instances keeps enough to be drained itself. */
static void test_lender_drains(void)
{
	fleet_opts_t opts = { 0 };
	fleet_pool_t pools[] = {
		{ .name = "spare",
		  .executors = 3,
		  .min_up = 1,
		  .survive_rack = true,
		  .spare = true },
		{ .name = "busy",
		  .executors = 3,
		  .min_up = 1,
		  .survive_rack = true },
		{ .name = "other",
		  .executors = 3,
		  .min_up = 1,
		  .survive_rack = true },
	};
	world_t *w = world_new(1, 3, 3);
	fleet_t *fleet = fleet_new(w, &opts);
	fleet_pool_view_t view;

	world_add_entry(w);
	fleet_configure(fleet, pools, 3);
	fleet_set_fencing_token(fleet, 1);
	for (int i = 0; i < 1800; i++) {
		fleet_add_demand(fleet, "busy", 24.0, w->now);
		world_turn(w, fleet, BASE_SEC);
	}
	for (size_t i = 0; fleet_pool_view(fleet, i, &view); i++)
		g_assert_cmpint(view.drainable, >=, 1);
	talloc_free(w);
}

/* Bursts of five times the mean that last seconds cause no moves. */
static void test_bursts(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	uint64_t writes = w->writes;
	const fleet_pool_t *pools;
	size_t n = world_pools(&pools);

	for (int i = 0; i < 3600; i++) {
		for (size_t p = 0; p < n; p++) {
			bool burst = (size_t)(i / 8) % n == p;
			double mean = pools[p].min_up * pools[p].slots * 0.5;

			fleet_add_demand(fleet, pools[p].name,
					 mean * (burst ? 5.0 : 0.05), w->now);
		}
		world_turn(w, fleet, BASE_SEC);
	}
	g_assert_cmpuint(w->writes, ==, writes);
	talloc_free(w);
}

static void test_bad_records(void)
{
	static const char *const bad[][2] = {
		{ FLEET_POOLS_PREFIX "z/0", "{\"instances\":{\"a\":1}}" },
		{ FLEET_POOLS_PREFIX "z/99", "{}" },
		{ FLEET_POOLS_PREFIX "z/0", "[" },
		{ FLEET_BUDGET_PREFIX "p", "{\"grants\":[{}]}" },
		{ FLEET_WAVE_KEY, "{\"state\":\"running\"}" },
		{ FLEET_ORDERS_KEY, "{\"a\":{\"for\":\"move\"}}" },
		{ "/elsewhere", "{}" },
	};
	fleet_opts_t opts = { 0 };
	fleet_t *fleet = fleet_new(NULL, &opts);

	for (size_t i = 0; i < ARRAY_SIZE(bad); i++) {
		GError *err = NULL;

		g_assert_false(fleet_load(fleet, bad[i][0], base_str(bad[i][1]),
					  1, &err));
		g_assert_nonnull(err);
		g_clear_error(&err);
	}
	g_assert_cmpuint(fleet_n_instances(fleet), ==, 0);
	talloc_free(fleet);
}

/* Makes a site with a cordoned instance whose reboot waits for its tasks. */
static world_t *new_site_with_tasks(fleet_t **fleet, fleet_idle_t *idle)
{
	world_t *w = new_site(fleet);
	const char *id = w->insts[0].id;
	fleet_inst_view_t view;

	fleet_set_idle(*fleet, true, NULL, 0);
	world_cas(
		w, FLEET_ORDERS_KEY,
		fleet_order_edit(w, BASE_STR(""), id, FLEET_FOR_URGENT, w->now),
		0);
	run_turns(w, *fleet, 20, BASE_SEC);
	fleet_inst_view(*fleet, 0, &view);
	g_assert_cmpstr(view.id, ==, id);
	g_assert_cmpint(view.state, ==, FLEET_CORDONED);
	g_assert_cmpint(view.wait_reason, ==, FLEET_WAIT_TASKS);
	*idle = (fleet_idle_t){ id, view.seq };
	return w;
}

static void test_tasks(void)
{
	fleet_t *fleet;
	fleet_idle_t idle, earlier;
	world_t *w = new_site_with_tasks(&fleet, &idle);
	char *text = fleet_explain(fleet, w, idle.id, w->now);

	g_assert_nonnull(strstr(text, "no task is left on it"));
	/* A report for an earlier record of the instance does not count. */
	earlier = (fleet_idle_t){ idle.id, idle.seq - 1 };
	fleet_set_idle(fleet, true, &earlier, 1);
	run_turns(w, fleet, 2, BASE_SEC);
	g_assert_cmpint(w->reboots, ==, 0);
	/* A report that a new holder's report replaced does not count. */
	fleet_set_idle(fleet, true, &idle, 1);
	fleet_set_idle(fleet, true, NULL, 0);
	run_turns(w, fleet, 2, BASE_SEC);
	g_assert_cmpint(w->reboots, ==, 0);
	fleet_set_idle(fleet, true, &idle, 1);
	run_turns(w, fleet, 5, BASE_SEC);
	g_assert_cmpint(w->reboots, ==, 1);
	talloc_free(w);
}

static void test_explain(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	char *text;

	apply_verb(w, fleet, FLEET_WAVE_START);
	run_turns(w, fleet, 100, BASE_SEC);
	text = fleet_explain(fleet, w, "gate-desk", w->now);
	g_assert_nonnull(strstr(text, "its budget keeps 7 up"));
	g_assert_nonnull(strstr(text, "the wave is running"));
	text = fleet_explain(fleet, w, "i0-0-0", w->now);
	g_assert_nonnull(strstr(text, "i0-0-0 (zone-0, r0-0) belongs to"));
	g_assert_null(fleet_explain(fleet, w, "nobody", w->now));
	talloc_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/first-start", test_first_start);
	g_test_add_func("/fleet/table", test_table);
	g_test_add_func("/fleet/move", test_move);
	g_test_add_func("/fleet/turned-back-dead", test_cancelled_while_down);
	g_test_add_func("/fleet/late-reboot", test_late_reboot);
	g_test_add_func("/fleet/lender-drains", test_lender_drains);
	g_test_add_func("/fleet/bursts", test_bursts);
	g_test_add_func("/fleet/bad-records", test_bad_records);
	g_test_add_func("/fleet/tasks", test_tasks);
	g_test_add_func("/fleet/explain", test_explain);
	return g_test_run();
}
