#include "fleet_site.h"

/* Returns whether no account holds a grant. */
static bool accounts_empty(const world_t *w)
{
	for (size_t i = 0; i < w->n_kv; i++)
		if (g_str_has_prefix(w->kv[i].key, FLEET_BUDGET_PREFIX) &&
		    !strstr(w->kv[i].value, "\"grants\":[]"))
			return false;
	return true;
}

static void test_wave(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);

	apply_verb(w, fleet, FLEET_WAVE_START);
	run_turns(w, fleet, 12000, BASE_SEC);
	g_assert_cmpuint(w->reboots, ==, 49);
	g_assert_cmpuint(w->violations, ==, 0);
	g_assert_true(accounts_empty(w));
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_NONE);
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 49);
	talloc_free(w);
}

/* Returns how many instances of a pool the wave has out. */
static uint32_t out_for_wave(const fleet_t *fleet, const char *pool)
{
	fleet_inst_view_t view;
	uint32_t n = 0;

	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		n += view.pool && !strcmp(view.pool, pool) &&
		     view.state != FLEET_SERVING &&
		     view.purpose == FLEET_FOR_WAVE;
	}
	return n;
}

/*
 * Runs the wave to its end and stores the most instances of each pool that it
 * had out at once.
 */
static void watch_wave(world_t *w, fleet_t *fleet, const fleet_pool_t *pools,
		       uint32_t most[5])
{
	for (int turn = 0; turn < 6000; turn++) {
		run_turns(w, fleet, 1, BASE_SEC);
		for (int i = 0; i < 5; i++)
			most[i] = MAX(most[i],
				      out_for_wave(fleet, pools[i].name));
	}
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_NONE);
}

/*
 * A wave keeps to drain_max even where the budget allows more, and skips
 * unmaintained pools.
 */
static void test_drain_max(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	fleet_pool_t pools[5];
	const fleet_pool_t *five;
	uint32_t most[5] = { 0 };

	world_pools(&five);
	memcpy(pools, five, sizeof(pools));
	for (int i = 0; i < 5; i++)
		pools[i].min_up = 4;
	pools[0].drain_max = 1;
	pools[1].drain_max = 2;
	pools[2].unmaintained = true;
	fleet_configure(fleet, pools, 5);
	apply_verb(w, fleet, FLEET_WAVE_START);
	watch_wave(w, fleet, pools, most);
	g_assert_cmpuint(most[0], ==, 1);
	g_assert_cmpuint(most[1], ==, 2);
	g_assert_cmpuint(most[2], ==, 0);
	g_assert_cmpuint(most[3], >, 2);
	g_assert_cmpuint(w->reboots, ==, 49 - pools[2].executors);
	talloc_free(w);
}

/* An entry that has not read the cordon blocks the drain until it has. */
static void test_unconfirmed_cordon(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	fleet_inst_view_t view;
	char *text = NULL;

	w->entries[1].stuck = true;
	apply_verb(w, fleet, FLEET_WAVE_START);
	run_turns(w, fleet, 600, BASE_SEC);
	g_assert_cmpuint(w->reboots, ==, 0);
	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		if (view.state == FLEET_CORDONED)
			text = fleet_explain(fleet, w, view.id, w->now);
	}
	g_assert_nonnull(text);
	g_assert_nonnull(strstr(text, "waits for entry e1"));
	w->entries[1].stuck = false;
	run_turns(w, fleet, 600, BASE_SEC);
	g_assert_cmpuint(w->reboots, >, 0);
	g_assert_cmpuint(w->violations, ==, 0);
	talloc_free(w);
}

/*
 * A holder that was paused after it decided can write nothing once another one
 * has taken over.
 */
static void test_paused_holder(void)
{
	fleet_t *old;
	world_t *w = new_site(&old);
	fleet_t *successor = new_holder(w, 2);
	fleet_ops_t *ops;
	uint64_t writes;

	apply_verb(w, old, FLEET_WAVE_START);
	world_feed(w, old);
	ops = fleet_step(old, w, w->now);
	g_assert_cmpuint(ops->n, >, 0);
	run_turns(w, successor, 2, BASE_SEC);
	writes = w->writes;
	for (size_t i = 0; i < ops->n; i++)
		world_apply_op(w, old, &ops->ops[i], WORLD_NO_FAULT);
	g_assert_cmpuint(w->writes, ==, writes);
	world_read_all(w, old);
	ops = fleet_step(old, w, w->now);
	for (size_t i = 0; i < ops->n; i++)
		g_assert_false(
			g_str_has_prefix(ops->ops[i].key, FLEET_BUDGET_PREFIX));
	talloc_free(w);
}

/* A grant whose write never reached the store has no effect. */
static void test_grant_not_written(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);

	apply_verb(w, fleet, FLEET_WAVE_START);
	w->store_down = true;
	run_turns(w, fleet, 30, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 49);
	w->store_down = false;
	run_turns(w, fleet, 30, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), <, 49);
	talloc_free(w);
}

/*
 * An instance that does not come back is replaced; the wave pauses, then goes
 * on.
 */
static void test_failed_reboot(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	fleet_pool_view_t view;
	bool paused = false;

	w->insts[2].fails_reboot = true;
	apply_verb(w, fleet, FLEET_WAVE_START);
	for (int i = 0; i < 20000; i++) {
		world_turn(w, fleet, BASE_SEC);
		paused |= fleet_wave(fleet)->state == FLEET_WAVE_PAUSED;
	}
	g_assert_true(paused);
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_NONE);
	for (size_t i = 0; i < fleet_n_pools(fleet); i++) {
		g_assert_true(fleet_pool_view(fleet, i, &view));
		g_assert_cmpint(view.drainable, >=, 0);
	}
	talloc_free(w);
}

static void test_failed_reboots_stop(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);

	for (size_t i = 0; i < w->n; i++)
		w->insts[i].fails_reboot = true;
	apply_verb(w, fleet, FLEET_WAVE_START);
	run_turns(w, fleet, 6000, BASE_SEC);
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_STOPPED);
	g_assert_cmpuint(w->reboots, <=, 4);
	talloc_free(w);
}

static void test_abort(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);

	w->entries[1].stuck = true;
	apply_verb(w, fleet, FLEET_WAVE_START);
	run_turns(w, fleet, 5, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_CORDONED), >, 0);
	apply_verb(w, fleet, FLEET_WAVE_ABORT);
	run_turns(w, fleet, 5, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 49);
	g_assert_cmpuint(w->reboots, ==, 0);
	talloc_free(w);
}

static void test_hold(void)
{
	fleet_t *fleet;
	world_t *w = new_site(&fleet);
	fleet_inst_view_t view;
	char *value;

	fleet_inst_view(fleet, 7, &view);
	value = fleet_order_edit(w, base_str(""), view.id, FLEET_FOR_HOLD,
				 w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value, 0));
	run_turns(w, fleet, 10, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_DRAINED), ==, 1);
	value = fleet_order_edit(w, base_str(value), view.id, FLEET_FOR_NONE,
				 w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value,
				world_find(w, FLEET_ORDERS_KEY)->rev));
	run_turns(w, fleet, 10, BASE_SEC);
	g_assert_cmpuint(count_state(fleet, FLEET_SERVING), ==, 49);
	talloc_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/wave", test_wave);
	g_test_add_func("/fleet/drain-max", test_drain_max);
	g_test_add_func("/fleet/old-map", test_unconfirmed_cordon);
	g_test_add_func("/fleet/paused-holder", test_paused_holder);
	g_test_add_func("/fleet/grant-not-written", test_grant_not_written);
	g_test_add_func("/fleet/brick", test_failed_reboot);
	g_test_add_func("/fleet/bricks-stop", test_failed_reboots_stop);
	g_test_add_func("/fleet/abort", test_abort);
	g_test_add_func("/fleet/hold", test_hold);
	return g_test_run();
}
