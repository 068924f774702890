#include "route.h"

#define SEC BASE_SEC

typedef struct world {
	route_t *route;
	route_request_t *started[64];
	const char *where[64];
	int starts;
	int ends;
	route_end_t last;
	int64_t now;
} world_t;

static void on_start(void *arg, route_request_t *req,
		     const route_endpoint_t *ep, int attempt)
{
	world_t *w = arg;

	g_assert_cmpint(attempt, ==, req->attempts);
	w->started[w->starts % 64] = req;
	w->where[w->starts % 64] = ep->instance;
	w->starts++;
}

static void on_end(void *arg, route_request_t *req, const route_end_t *end)
{
	world_t *w = arg;

	g_assert_nonnull(req);
	w->ends++;
	w->last = *end;
}

static const route_ops_t ops = { on_start, on_end };

static const route_endpoint_t three[] = {
	{ "a", "1", "z1", "127.0.0.1", 1, ROUTE_LIVE },
	{ "b", "1", "z2", "127.0.0.1", 2, ROUTE_LIVE },
	{ "c", "1", "z3", "127.0.0.1", 3, ROUTE_LIVE },
};

static void setup(world_t *w, int slots, int queue_max)
{
	const route_options_t opt = { .ops = &ops,
				      .arg = w,
				      .entry = "e1",
				      .zone = "z1",
				      .seed = 1,
				      .held_max = 50,
				      .bytes_max = 1 << 20 };
	const route_pool_conf_t pool = { .name = "desk",
					 .slots = slots,
					 .connections = 64,
					 .entries_max = 8,
					 .queue_max = queue_max,
					 .bytes_max = 1000 };
	const route_class_conf_t classes[] = {
		{ "low", "desk", 2, 1.0, true, 2 * SEC },
		{ "high", "desk", 1, 1.0, false, 2 * SEC },
	};
	const route_caller_conf_t callers[] = { { "ann", 1 }, { "bob", 2 } };
	const route_conf_t conf = { &pool, 1, classes, 2, callers, 2 };
	const route_entry_t self = { "e1", "z1" };

	*w = (world_t){ .now = SEC };
	w->route = route_new(NULL, &opt);
	route_configure(w->route, &conf, w->now);
	route_entries(w->route, &self, 1, w->now);
	g_assert_true(
		route_view(w->route, BASE_STR("desk"), 1, three, 3, w->now));
}

static void submit_for(world_t *w, route_request_t *req, const char *cls,
		       uint32_t caller);

static void submit(world_t *w, route_request_t *req, const char *cls)
{
	submit_for(w, req, cls, 0);
}

static void submit_for(world_t *w, route_request_t *req, const char *cls,
		       uint32_t caller)
{
	*req = (route_request_t){ .bytes = 10, .caller_id = caller };
	req->class_id =
		route_find_class(w->route, BASE_STR("desk"), base_str(cls));
	g_assert_cmpint(req->class_id, >=, 0);
	req->repeatable = route_class_conf(w->route, req->class_id)->repeatable;
	route_submit(w->route, req, w->now);
}

/* Every attempt ends with "result", until the request is over. */
static void finish(world_t *w, route_request_t *req, route_result_t result)
{
	while (!w->ends) {
		if (req->running)
			route_done(w->route, req, result, w->now);
		w->now += ROUTE_TICK_US;
		route_tick(w->route, w->now);
	}
}

static void test_truth(void)
{
	/* result of the only attempt of a request that may not repeat */
	static const struct {
		route_result_t result;
		route_outcome_t outcome;
		int starts, starts_max;
	} cases[] = {
		{ ROUTE_RESULT_ANSWERED, ROUTE_ANSWERED, 1, 1 },
		{ ROUTE_RESULT_ERROR, ROUTE_ANSWERED, 1, 1 },
		{ ROUTE_RESULT_FAILED, ROUTE_UNKNOWN, 1, 1 },
		{ ROUTE_RESULT_CUT_SHORT, ROUTE_UNKNOWN, 1, 1 },
		{ ROUTE_RESULT_TIMEOUT, ROUTE_UNKNOWN, 1, 1 },
		{ ROUTE_RESULT_CANCELLED, ROUTE_UNKNOWN, 1, 1 },
		{ ROUTE_RESULT_REFUSED, ROUTE_NOT_RUN, 3, 8 },
		{ ROUTE_RESULT_CONNECT_FAILED, ROUTE_NOT_RUN, 3, 3 },
	};
	route_request_t req;

	for (size_t i = 0; i < ARRAY_SIZE(cases); i++) {
		world_t w;

		setup(&w, 8, 10);
		submit(&w, &req, "high");
		finish(&w, &req, cases[i].result);
		g_assert_cmpint(w.last.outcome, ==, cases[i].outcome);
		g_assert_cmpint(w.starts, >=, cases[i].starts);
		g_assert_cmpint(w.starts, <=, cases[i].starts_max);
		/* A final failure is told long before the deadline. */
		g_assert_cmpint(w.now, <, 2 * SEC + SEC / 4);
		talloc_free(w.route);
	}
}

static void test_maybe_ran_stays_unknown(void)
{
	route_request_t req;
	world_t w;

	setup(&w, 8, 10);
	submit(&w, &req, "low");
	route_done(w.route, &req, ROUTE_RESULT_FAILED, w.now);
	g_assert_cmpint(w.starts, ==, 2);
	route_done(w.route, &req, ROUTE_RESULT_REFUSED, w.now);
	finish(&w, &req, ROUTE_RESULT_REFUSED);
	g_assert_cmpint(w.last.outcome, ==, ROUTE_UNKNOWN);
	g_assert_cmpint(w.last.retry_after_ms, >, 0);
	talloc_free(w.route);
}

static void test_leaving_is_not_undone(void)
{
	route_endpoint_t again[3] = { three[0], three[1], three[2] };
	route_request_t req;
	world_t w;

	setup(&w, 8, 10);
	for (int i = 0; i < 3; i++)
		route_leaving(w.route, base_str(three[i].instance),
			      BASE_STR("1"), w.now);
	submit(&w, &req, "low");
	g_assert_cmpint(w.last.reason, ==, ROUTE_REASON_NO_ENDPOINT);
	g_assert_false(
		route_view(w.route, BASE_STR("desk"), 1, again, 3, w.now));
	g_assert_true(
		route_view(w.route, BASE_STR("desk"), 2, again, 3, w.now));
	submit(&w, &req, "low");
	g_assert_cmpint(w.starts, ==, 0);
	again[1].incarnation = "2";
	g_assert_true(
		route_view(w.route, BASE_STR("desk"), 3, again, 3, w.now));
	submit(&w, &req, "low");
	g_assert_cmpint(w.starts, ==, 1);
	g_assert_cmpstr(w.where[0], ==, "b");
	talloc_free(w.route);
}

static void test_own_zone_first(void)
{
	route_request_t reqs[4];
	world_t w;

	setup(&w, 3, 10);
	for (int i = 0; i < 4; i++)
		submit(&w, &reqs[i], "low");
	for (int i = 0; i < 3; i++)
		g_assert_cmpstr(w.where[i], ==, "a");
	g_assert_cmpstr(w.where[3], !=, "a");
	talloc_free(w.route);
}

static void test_connections_widen_late(void)
{
	route_entry_t many[16];
	world_t w;

	setup(&w, 3, 10);
	for (int i = 0; i < 16; i++)
		many[i] = (route_entry_t){ "e1", "z1" };
	g_assert_cmpint(route_connections(w.route, BASE_STR("desk"), w.now), ==,
			7);
	route_entries(w.route, many, 16, w.now);
	g_assert_cmpint(route_connections(w.route, BASE_STR("desk"), w.now), ==,
			3);
	route_entries(w.route, many, 10, w.now);
	route_entries(w.route, many, 10, w.now + 20 * SEC);
	g_assert_cmpint(
		route_connections(w.route, BASE_STR("desk"), w.now + 20 * SEC),
		==, 3);
	g_assert_cmpint(
		route_connections(w.route, BASE_STR("desk"), w.now + 31 * SEC),
		==, 6);
	talloc_free(w.route);
}

static void test_probes_are_shared(void)
{
	const route_entry_t peers[] = { { "e1", "z1" },
					{ "e2", "z1" },
					{ "e3", "z2" } };
	route_probe_due_t due[64];
	route_endpoint_t many[60];
	char names[60][8];
	size_t n;
	world_t w;

	setup(&w, 3, 10);
	for (int i = 0; i < 60; i++) {
		snprintf(names[i], sizeof(names[i]), "i%d", i);
		many[i] = (route_endpoint_t){ names[i], "1", "z1",
					      "x",	1,   ROUTE_LIVE };
	}
	route_entries(w.route, peers, 3, w.now);
	route_view(w.route, BASE_STR("desk"), 2, many, 60, w.now);
	g_assert_cmpuint(route_probe_due(w.route, true, w.now, due, 64), ==, 0);
	w.now += ROUTE_PROBE_US;
	n = route_probe_due(w.route, true, w.now, due, 64);
	g_assert_cmpuint(n, >, 15);
	g_assert_cmpuint(n, <, 45);
	g_assert_cmpuint(route_probe_due(w.route, true, w.now, due, 64), ==, 0);
	route_probe_done(w.route, base_str(due[0].endpoint->instance),
			 BASE_STR("1"), ROUTE_PROBE_LEAVING, w.now);
	w.now += ROUTE_PROBE_US;
	g_assert_cmpuint(route_probe_due(w.route, true, w.now, due, 64), ==,
			 n - 1);
	talloc_free(w.route);
}

/* A slot that came free at a contested endpoint is not given up. */
static void test_freed_slot_is_kept(void)
{
	const route_endpoint_t two[] = {
		{ "d", "1", "z1", "127.0.0.1", 1, ROUTE_LIVE },
		{ "e", "1", "z1", "127.0.0.1", 2, ROUTE_LIVE },
	};
	route_request_t reqs[7];
	const char *full;
	world_t w;

	setup(&w, 3, 10);
	route_view(w.route, BASE_STR("desk"), 2, two, 2, w.now);
	w.now += 5 * SEC; /* the slow start is over */
	for (int i = 0; i < 6; i++)
		submit(&w, &reqs[i], "low");
	full = w.where[0];
	/* Three run there, one at the other. */
	for (int i = 0, done = 0; done < 2; i++)
		if (w.where[i] != full) {
			route_done(w.route, &reqs[i], ROUTE_RESULT_ANSWERED,
				   w.now);
			done++;
		}
	submit(&w, &reqs[6], "low");
	while (reqs[6].running)
		route_done(w.route, &reqs[6], ROUTE_RESULT_REFUSED, w.now);
	w.now += SEC / 5;
	route_done(w.route, &reqs[0], ROUTE_RESULT_ANSWERED, w.now);
	g_assert_true(reqs[6].running);
	g_assert_cmpstr(w.where[w.starts - 1], ==, full);
	talloc_free(w.route);
}

/* A class does not pay for attempts that an endpoint refused. */
static void test_refusals_are_free(void)
{
	route_request_t low[3], high[2];
	world_t w;

	setup(&w, 1, 10);
	/* Most of what it is owed from the start is used up. */
	for (int i = 0; i < 28; i++) {
		submit(&w, &high[0], "high");
		route_done(w.route, &high[0], ROUTE_RESULT_ANSWERED, w.now);
	}
	w.ends = 0;
	submit(&w, &low[0], "low");
	submit(&w, &low[1], "low");
	submit(&w, &high[0], "high");
	while (high[0].attempts < 6 || !high[0].running) {
		if (high[0].running)
			route_done(w.route, &high[0], ROUTE_RESULT_REFUSED,
				   w.now);
		w.now += ROUTE_TICK_US;
		route_tick(w.route, w.now);
		g_assert_cmpint(w.ends, ==, 0);
	}
	submit(&w, &low[2], "low");
	submit(&w, &high[1], "high");
	g_assert_false(low[2].running || high[1].running);
	route_done(w.route, &low[0], ROUTE_RESULT_ANSWERED, w.now);
	g_assert_true(high[1].running);
	g_assert_false(low[2].running);
	talloc_free(w.route);
}

/* How many of "n" endpoints are due "after" their first probe. */
static size_t due_again(int n, int64_t after)
{
	const route_entry_t alone = { "e1", "z1" };
	route_endpoint_t *many = g_new0(route_endpoint_t, n);
	route_probe_due_t *due = g_new0(route_probe_due_t, n);
	size_t again;
	world_t w;

	setup(&w, 3, 10);
	for (int i = 0; i < n; i++)
		many[i] = (route_endpoint_t){
			g_strdup_printf("i%d", i), "1", "z1", "x", 1, ROUTE_LIVE
		};
	route_entries(w.route, &alone, 1, w.now);
	route_view(w.route, BASE_STR("desk"), 2, many, (size_t)n, w.now);
	route_probe_due(w.route, true, w.now, due, (size_t)n);
	w.now += ROUTE_PROBE_MAX_US;
	again = route_probe_due(w.route, true, w.now, due, (size_t)n);
	g_assert_cmpuint(again, ==, n);
	again = route_probe_due(w.route, true, w.now + after, due, (size_t)n);
	for (int i = 0; i < n; i++)
		g_free((char *)many[i].instance);
	g_free(many);
	g_free(due);
	talloc_free(w.route);
	return again;
}

static void test_probes_slow_down(void)
{
	g_assert_cmpuint(due_again(200, ROUTE_PROBE_US), ==, 200);
	g_assert_cmpuint(due_again(300, ROUTE_PROBE_US), ==, 0);
	g_assert_cmpuint(due_again(300, ROUTE_PROBE_US * 3 / 2), ==, 300);
	g_assert_cmpuint(due_again(2000, ROUTE_PROBE_MAX_US), ==, 2000);
}

static void note_pool(void *arg, const route_pool_stats_t *stats)
{
	g_string_append_printf(arg, "%s;", stats->name);
}

static void note_group(void *arg, const route_group_stats_t *stats)
{
	g_string_append_printf(arg, "%s/%s/%s=%llu;",
			       stats->pool ? stats->pool : "",
			       stats->cls ? stats->cls : "",
			       stats->caller ? stats->caller : "",
			       (unsigned long long)stats->counts->submitted);
}

/* All is visited once, however few at a time and whatever comes between. */
static void test_visit(void)
{
	GString *seen = g_string_new(NULL);
	const route_visitor_t visitor = { note_pool, note_group, seen };
	const char *all = "desk;//other=1;//bob=1;desk/low/=0;desk/high/=2;"
			  "desk/high/other=1;desk/high/bob=1;";
	route_request_t first, second;
	route_cursor_t at = { 0 };
	world_t w;

	setup(&w, 8, 10);
	submit(&w, &first, "high");
	/* The caller of the second is new to the class after a part of it. */
	for (int i = 0; i < 2; i++)
		g_assert_true(route_visit(w.route, w.now, &at, 1, &visitor));
	g_assert_cmpstr(seen->str, ==, "desk;//other=1;");
	submit_for(&w, &second, "high", 2);
	while (route_visit(w.route, w.now, &at, 1, &visitor))
		;
	g_assert_cmpstr(seen->str, ==, all);
	g_string_truncate(seen, 0);
	at = (route_cursor_t){ 0 };
	g_assert_false(route_visit(w.route, w.now, &at, 1000, &visitor));
	g_assert_cmpstr(seen->str, ==, all);
	g_string_free(seen, TRUE);
	finish(&w, &first, ROUTE_RESULT_ANSWERED);
	w.ends = 0;
	finish(&w, &second, ROUTE_RESULT_ANSWERED);
	talloc_free(w.route);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/truth", test_truth);
	g_test_add_func("/route/maybe-ran", test_maybe_ran_stays_unknown);
	g_test_add_func("/route/leaving", test_leaving_is_not_undone);
	g_test_add_func("/route/own-zone", test_own_zone_first);
	g_test_add_func("/route/connections", test_connections_widen_late);
	g_test_add_func("/route/probes", test_probes_are_shared);
	g_test_add_func("/route/freed-slot", test_freed_slot_is_kept);
	g_test_add_func("/route/refusals-free", test_refusals_are_free);
	g_test_add_func("/route/probes/slow-down", test_probes_slow_down);
	g_test_add_func("/route/visit", test_visit);
	return g_test_run();
}
