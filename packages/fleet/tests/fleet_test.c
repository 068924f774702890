#include "fleet_world.h"

static fleet_t *holder(world_t *w, uint64_t token)
{
	fleet_opts_t opts = { .weights = { 0.7, 0.7, 0.3 } };
	const fleet_pool_t *pools;
	size_t n = world_pools(&pools);
	fleet_t *fleet = fleet_new(w, &opts);

	fleet_configure(fleet, pools, n);
	fleet_fence(fleet, token);
	return fleet;
}

/* Vakatawa: three zones, 49 workers, four to a rack, racks of mixed pools. */
static world_t *site(fleet_t **fleet)
{
	world_t *w = world_new(3, 5, 4);

	for (size_t i = 0; i < w->n; i++)
		if (i % 20 >= (i < 20 ? 17 : 16))
			w->insts[i].listed = w->insts[i].up = false;
	world_add_entry(w);
	world_add_entry(w);
	*fleet = holder(w, 1);
	for (int i = 0; i < 5; i++)
		world_turn(w, *fleet, BASE_SEC);
	return w;
}

static void turns(world_t *w, fleet_t *fleet, int n, int64_t us)
{
	for (int i = 0; i < n; i++)
		world_turn(w, fleet, us);
}

static size_t count(const fleet_t *fleet, fleet_state_t state)
{
	fleet_inst_view_t view;
	size_t n = 0;

	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		n += view.state == state;
	}
	return n;
}

static void wave(world_t *w, fleet_t *fleet, fleet_wave_verb_t verb)
{
	fleet_wave_t next;
	char *value;

	world_read_all(w, fleet);
	g_assert_true(
		fleet_wave_operator(fleet_wave(fleet), verb, w->now, &next));
	value = fleet_wave_encode(w, &next);
	g_assert_true(
		world_cas(w, FLEET_WAVE_KEY, value, fleet_wave(fleet)->rev));
	world_read_all(w, fleet);
}

static void test_first_start(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	fleet_pool_view_t view;

	for (size_t i = 0; i < fleet_n_pools(fleet); i++) {
		g_assert_true(fleet_pool_view(fleet, i, &view));
		g_assert_cmpuint(view.members, ==, view.target);
		g_assert_cmpuint(view.up, ==, view.members);
		g_assert_cmpuint(view.worst_rack, <=, 1);
		g_assert_cmpint(view.room, >=, 1);
	}
	g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 49);
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

/* Whether every grant was given back. */
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
	world_t *w = site(&fleet);

	wave(w, fleet, FLEET_WAVE_START);
	turns(w, fleet, 12000, BASE_SEC);
	g_assert_cmpuint(w->reboots, ==, 49);
	g_assert_cmpuint(w->broken, ==, 0);
	g_assert_true(accounts_empty(w));
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_NONE);
	g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 49);
	talloc_free(w);
}

/* What a wave has out of a pool. */
static uint32_t in_wave(const fleet_t *fleet, const char *pool)
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

/* The most that the wave had out of each pool at once, until it ended. */
static void watch_wave(world_t *w, fleet_t *fleet, const fleet_pool_t *pools,
		       uint32_t most[5])
{
	for (int turn = 0; turn < 6000; turn++) {
		turns(w, fleet, 1, BASE_SEC);
		for (int i = 0; i < 5; i++)
			most[i] = MAX(most[i], in_wave(fleet, pools[i].name));
	}
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_NONE);
}

/* Waves stay within what a pool's answers allow, also below its budget. */
static void test_drain_max(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
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
	wave(w, fleet, FLEET_WAVE_START);
	watch_wave(w, fleet, pools, most);
	g_assert_cmpuint(most[0], ==, 1);
	g_assert_cmpuint(most[1], ==, 2);
	g_assert_cmpuint(most[2], ==, 0);
	g_assert_cmpuint(most[3], >, 2);
	g_assert_cmpuint(w->reboots, ==, 49 - pools[2].executors);
	talloc_free(w);
}

/* An entry that does not see the cordon holds the drain up, for as long. */
static void test_old_map(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	fleet_inst_view_t view;
	char *said = NULL;

	w->entries[1].stuck = true;
	wave(w, fleet, FLEET_WAVE_START);
	turns(w, fleet, 600, BASE_SEC);
	g_assert_cmpuint(w->reboots, ==, 0);
	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		if (view.state == FLEET_CORDONED)
			said = fleet_explain(fleet, w, view.id, w->now);
	}
	g_assert_nonnull(said);
	g_assert_nonnull(strstr(said, "waits for entry e1"));
	w->entries[1].stuck = false;
	turns(w, fleet, 600, BASE_SEC);
	g_assert_cmpuint(w->reboots, >, 0);
	g_assert_cmpuint(w->broken, ==, 0);
	talloc_free(w);
}

/* A holder that was paused with its decisions made cannot carry them out. */
static void test_paused_holder(void)
{
	fleet_t *old;
	world_t *w = site(&old);
	fleet_t *fresh = holder(w, 2);
	fleet_ops_t *late;
	uint64_t writes;

	wave(w, old, FLEET_WAVE_START);
	world_feed(w, old);
	late = fleet_step(old, w, w->now);
	g_assert_cmpuint(late->n, >, 0);
	turns(w, fresh, 2, BASE_SEC);
	writes = w->writes;
	for (size_t i = 0; i < late->n; i++)
		world_do(w, old, &late->ops[i], WORLD_FINE);
	g_assert_cmpuint(w->writes, ==, writes);
	world_read_all(w, old);
	late = fleet_step(old, w, w->now);
	for (size_t i = 0; i < late->n; i++)
		g_assert_false(g_str_has_prefix(late->ops[i].key,
						FLEET_BUDGET_PREFIX));
	talloc_free(w);
}

/* A grant whose write never arrived is none. */
static void test_grant_not_written(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);

	wave(w, fleet, FLEET_WAVE_START);
	w->down = true;
	turns(w, fleet, 30, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 49);
	w->down = false;
	turns(w, fleet, 30, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_SERVING), <, 49);
	talloc_free(w);
}

/* What does not come back is replaced, the wave pauses, then goes on. */
static void test_brick(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	fleet_pool_view_t view;
	bool paused = false;

	w->insts[2].bricks = true;
	wave(w, fleet, FLEET_WAVE_START);
	for (int i = 0; i < 20000; i++) {
		world_turn(w, fleet, BASE_SEC);
		paused |= fleet_wave(fleet)->state == FLEET_WAVE_PAUSED;
	}
	g_assert_true(paused);
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_NONE);
	for (size_t i = 0; i < fleet_n_pools(fleet); i++) {
		g_assert_true(fleet_pool_view(fleet, i, &view));
		g_assert_cmpint(view.room, >=, 0);
	}
	talloc_free(w);
}

static void test_bricks_stop(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);

	for (size_t i = 0; i < w->n; i++)
		w->insts[i].bricks = true;
	wave(w, fleet, FLEET_WAVE_START);
	turns(w, fleet, 6000, BASE_SEC);
	g_assert_cmpint(fleet_wave(fleet)->state, ==, FLEET_WAVE_STOPPED);
	g_assert_cmpuint(w->reboots, <=, 4);
	talloc_free(w);
}

static void test_abort(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);

	w->entries[1].stuck = true;
	wave(w, fleet, FLEET_WAVE_START);
	turns(w, fleet, 5, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_CORDONED), >, 0);
	wave(w, fleet, FLEET_WAVE_ABORT);
	turns(w, fleet, 5, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 49);
	g_assert_cmpuint(w->reboots, ==, 0);
	talloc_free(w);
}

static void test_hold(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	fleet_inst_view_t view;
	char *value;

	fleet_inst_view(fleet, 7, &view);
	value = fleet_order_edit(w, base_str(""), view.id, FLEET_FOR_HOLD,
				 w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value, 0));
	turns(w, fleet, 10, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_DRAINED), ==, 1);
	value = fleet_order_edit(w, base_str(value), view.id, FLEET_FOR_NONE,
				 w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value,
				world_find(w, FLEET_ORDERS_KEY)->rev));
	turns(w, fleet, 10, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 49);
	talloc_free(w);
}

/* A changed configuration moves one instance, and no more than one. */
static void test_move(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
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
	turns(w, fleet, 3600, BASE_SEC);
	g_assert_true(fleet_pool_view(fleet, 0, &view));
	g_assert_cmpuint(view.up, ==, 10);
	g_assert_cmpuint(view.worst_rack, ==, 1);
	g_assert_cmpuint(w->broken, ==, 0);
	writes = w->writes;
	turns(w, fleet, 3600, BASE_SEC);
	g_assert_cmpuint(w->writes, ==, writes);
	talloc_free(w);
}

/*
 * An operator's order for a failed instance changes while it is cordoned:
 * what turns back is not up, and must not count as room for another.
 */
static void test_turned_back_dead(void)
{
	fleet_opts_t opts = { .fresh = 1 };
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
	fleet_fence(fleet, 1);
	turns(w, fleet, 3, BASE_SEC);
	w->entries[0].stuck = true;
	value = fleet_order_edit(w, base_str(""), w->insts[0].id,
				 FLEET_FOR_HOLD, w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value, 0));
	turns(w, fleet, 4, BASE_SEC);
	g_assert_cmpuint(count(fleet, FLEET_CORDONED), ==, 1);
	w->insts[0].up = false;
	value = fleet_order_edit(w, base_str(""), w->insts[1].id,
				 FLEET_FOR_HOLD, w->now);
	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value,
				world_find(w, FLEET_ORDERS_KEY)->rev));
	for (int i = 0; i < 10; i++) {
		turns(w, fleet, 1, BASE_SEC);
		g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 3);
	}
	talloc_free(w);
}

/*
 * A reboot that nobody carried out in time: the instance lives on and fails,
 * and must not serve again before the order was obeyed, which may come late.
 */
static void test_late_reboot(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	uint64_t inc = w->insts[0].inc;
	char *value = fleet_order_edit(w, base_str(""), w->insts[0].id,
				       FLEET_FOR_URGENT, w->now);

	g_assert_true(world_cas(w, FLEET_ORDERS_KEY, value, 0));
	for (int i = 0; i < 1200; i++) {
		w->insts[0].rebooting = false; /* ignored */
		w->insts[0].up = true;
		world_turn(w, fleet, BASE_SEC);
	}
	g_assert_cmpuint(count(fleet, FLEET_FAILED), ==, 1);
	turns(w, fleet, 900, BASE_SEC);
	g_assert_cmpuint(w->insts[0].inc, >, inc);
	g_assert_cmpuint(count(fleet, FLEET_SERVING), ==, 49);
	g_assert_cmpuint(w->broken, ==, 0);
	talloc_free(w);
}

/* A pool that lends keeps enough to be drained itself. */
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
	fleet_fence(fleet, 1);
	for (int i = 0; i < 1800; i++) {
		fleet_demand(fleet, "busy", 24.0, w->now);
		world_turn(w, fleet, BASE_SEC);
	}
	for (size_t i = 0; fleet_pool_view(fleet, i, &view); i++)
		g_assert_cmpint(view.room, >=, 1);
	talloc_free(w);
}

/* Bursts of five times the mean, for seconds, move nothing. */
static void test_bursts(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	uint64_t writes = w->writes;
	const fleet_pool_t *pools;
	size_t n = world_pools(&pools);

	for (int i = 0; i < 3600; i++) {
		for (size_t p = 0; p < n; p++) {
			bool burst = (size_t)(i / 8) % n == p;
			double mean = pools[p].min_up * pools[p].slots * 0.5;

			fleet_demand(fleet, pools[p].name,
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

/* Check the five pools on 13 racks of four after a change to one of them. */
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
	/* The spare pool lends one to drain. */
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

/* What has to outlive a zone gets its share of the small one. */
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

/* A zone of one rack is no place for two of a pool that may lose one. */
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

/* An instance whose reboot waits for the tasks there. */
static world_t *cordoned(fleet_t **fleet, fleet_idle_t *idle)
{
	world_t *w = site(fleet);
	const char *id = w->insts[0].id;
	fleet_inst_view_t view;

	fleet_tasks(*fleet, true, NULL, 0);
	world_cas(
		w, FLEET_ORDERS_KEY,
		fleet_order_edit(w, BASE_STR(""), id, FLEET_FOR_URGENT, w->now),
		0);
	turns(w, *fleet, 20, BASE_SEC);
	fleet_inst_view(*fleet, 0, &view);
	g_assert_cmpstr(view.id, ==, id);
	g_assert_cmpint(view.state, ==, FLEET_CORDONED);
	g_assert_cmpint(view.why, ==, FLEET_WHY_TASKS);
	*idle = (fleet_idle_t){ id, view.seq };
	return w;
}

static void test_tasks(void)
{
	fleet_t *fleet;
	fleet_idle_t idle, earlier;
	world_t *w = cordoned(&fleet, &idle);
	char *text = fleet_explain(fleet, w, idle.id, w->now);

	g_assert_nonnull(strstr(text, "no task is left on it"));
	/* What was said of an earlier record of it does not count. */
	earlier = (fleet_idle_t){ idle.id, idle.seq - 1 };
	fleet_tasks(fleet, true, &earlier, 1);
	turns(w, fleet, 2, BASE_SEC);
	g_assert_cmpint(w->reboots, ==, 0);
	/* Nor what a holder said before another one took over. */
	fleet_tasks(fleet, true, &idle, 1);
	fleet_tasks(fleet, true, NULL, 0);
	turns(w, fleet, 2, BASE_SEC);
	g_assert_cmpint(w->reboots, ==, 0);
	fleet_tasks(fleet, true, &idle, 1);
	turns(w, fleet, 5, BASE_SEC);
	g_assert_cmpint(w->reboots, ==, 1);
	talloc_free(w);
}

static void test_explain(void)
{
	fleet_t *fleet;
	world_t *w = site(&fleet);
	char *said;

	wave(w, fleet, FLEET_WAVE_START);
	turns(w, fleet, 100, BASE_SEC);
	said = fleet_explain(fleet, w, "gate-desk", w->now);
	g_assert_nonnull(strstr(said, "its budget keeps 7 up"));
	g_assert_nonnull(strstr(said, "the wave is running"));
	said = fleet_explain(fleet, w, "i0-0-0", w->now);
	g_assert_nonnull(strstr(said, "i0-0-0 (zone-0, r0-0) belongs to"));
	g_assert_null(fleet_explain(fleet, w, "nobody", w->now));
	talloc_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/first-start", test_first_start);
	g_test_add_func("/fleet/table", test_table);
	g_test_add_func("/fleet/wave", test_wave);
	g_test_add_func("/fleet/drain-max", test_drain_max);
	g_test_add_func("/fleet/old-map", test_old_map);
	g_test_add_func("/fleet/paused-holder", test_paused_holder);
	g_test_add_func("/fleet/grant-not-written", test_grant_not_written);
	g_test_add_func("/fleet/brick", test_brick);
	g_test_add_func("/fleet/bricks-stop", test_bricks_stop);
	g_test_add_func("/fleet/abort", test_abort);
	g_test_add_func("/fleet/hold", test_hold);
	g_test_add_func("/fleet/move", test_move);
	g_test_add_func("/fleet/turned-back-dead", test_turned_back_dead);
	g_test_add_func("/fleet/late-reboot", test_late_reboot);
	g_test_add_func("/fleet/lender-drains", test_lender_drains);
	g_test_add_func("/fleet/bursts", test_bursts);
	g_test_add_func("/fleet/bad-records", test_bad_records);
	g_test_add_func("/fleet/budget-check", test_budget_check);
	g_test_add_func("/fleet/budget-machines", test_budget_machines);
	g_test_add_func("/fleet/budget-small-zone", test_budget_small_zone);
	g_test_add_func("/fleet/budget-single-rack", test_budget_single_rack);
	g_test_add_func("/fleet/tasks", test_tasks);
	g_test_add_func("/fleet/explain", test_explain);
	return g_test_run();
}
