#include "route.h"

#define SEC BASE_SEC

typedef struct fixture {
	route_t *route;
	route_request_t *started[64];
	const char *instances[64];
	int starts;
	int ends;
	route_end_t last_end;
	int64_t now;
} fixture_t;

static void on_start(void *arg, route_request_t *req,
		     const route_endpoint_t *ep, int attempt)
{
	fixture_t *f = arg;

	g_assert_cmpint(attempt, ==, req->attempts);
	f->started[f->starts % 64] = req;
	f->instances[f->starts % 64] = ep->instance;
	f->starts++;
}

static void on_end(void *arg, route_request_t *req, const route_end_t *end)
{
	fixture_t *f = arg;

	g_assert_nonnull(req);
	f->ends++;
	f->last_end = *end;
}

static const route_ops_t ops = { on_start, on_end };

static const route_endpoint_t endpoints[] = {
	{ "a", "1", "z1", "127.0.0.1", 1, ROUTE_LIVE },
	{ "b", "1", "z2", "127.0.0.1", 2, ROUTE_LIVE },
	{ "c", "1", "z3", "127.0.0.1", 3, ROUTE_LIVE },
};

static void setup(fixture_t *f, int slots, int queue_max)
{
	const route_options_t opt = { .ops = &ops,
				      .arg = f,
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

	*f = (fixture_t){ .now = SEC };
	f->route = route_new(NULL, &opt);
	route_configure(f->route, &conf, f->now);
	route_set_entries(f->route, &self, 1, f->now);
	g_assert_true(route_set_endpoints(f->route, BASE_STR("desk"), 1,
					  endpoints, 3, f->now));
}

static void submit_for(fixture_t *f, route_request_t *req, const char *cls,
		       uint32_t caller);

static void submit(fixture_t *f, route_request_t *req, const char *cls)
{
	submit_for(f, req, cls, 0);
}

static void submit_for(fixture_t *f, route_request_t *req, const char *cls,
		       uint32_t caller)
{
	*req = (route_request_t){ .bytes = 10, .caller_id = caller };
	req->class_id =
		route_find_class(f->route, BASE_STR("desk"), base_str(cls));
	g_assert_cmpint(req->class_id, >=, 0);
	req->repeatable = route_class_conf(f->route, req->class_id)->repeatable;
	route_submit(f->route, req, f->now);
}

/* Reports "result" for each attempt until the request has ended. */
static void finish(fixture_t *f, route_request_t *req, route_result_t result)
{
	while (!f->ends) {
		if (req->running)
			route_done(f->route, req, result, f->now);
		f->now += ROUTE_TICK_US;
		route_tick(f->route, f->now);
	}
}

static void test_outcomes(void)
{
	/* Not repeatable; every attempt ends with "result". */
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
		fixture_t f;

		setup(&f, 8, 10);
		submit(&f, &req, "high");
		finish(&f, &req, cases[i].result);
		g_assert_cmpint(f.last_end.outcome, ==, cases[i].outcome);
		g_assert_cmpint(f.starts, >=, cases[i].starts);
		g_assert_cmpint(f.starts, <=, cases[i].starts_max);
		/* The outcome is reported well before the deadline. */
		g_assert_cmpint(f.now, <, 2 * SEC + SEC / 4);
		talloc_free(f.route);
	}
}

static void test_maybe_ran_stays_unknown(void)
{
	route_request_t req;
	fixture_t f;

	setup(&f, 8, 10);
	submit(&f, &req, "low");
	route_done(f.route, &req, ROUTE_RESULT_FAILED, f.now);
	g_assert_cmpint(f.starts, ==, 2);
	route_done(f.route, &req, ROUTE_RESULT_REFUSED, f.now);
	finish(&f, &req, ROUTE_RESULT_REFUSED);
	g_assert_cmpint(f.last_end.outcome, ==, ROUTE_UNKNOWN);
	g_assert_cmpint(f.last_end.retry_after_ms, >, 0);
	talloc_free(f.route);
}

static void test_leaving_is_not_undone(void)
{
	route_endpoint_t again[3] = { endpoints[0], endpoints[1],
				      endpoints[2] };
	route_request_t req;
	fixture_t f;

	setup(&f, 8, 10);
	for (int i = 0; i < 3; i++)
		route_mark_leaving(f.route, base_str(endpoints[i].instance),
				   BASE_STR("1"), f.now);
	submit(&f, &req, "low");
	g_assert_cmpint(f.last_end.reason, ==, ROUTE_REASON_NO_ENDPOINT);
	g_assert_false(route_set_endpoints(f.route, BASE_STR("desk"), 1, again,
					   3, f.now));
	g_assert_true(route_set_endpoints(f.route, BASE_STR("desk"), 2, again,
					  3, f.now));
	submit(&f, &req, "low");
	g_assert_cmpint(f.starts, ==, 0);
	again[1].incarnation = "2";
	g_assert_true(route_set_endpoints(f.route, BASE_STR("desk"), 3, again,
					  3, f.now));
	submit(&f, &req, "low");
	g_assert_cmpint(f.starts, ==, 1);
	g_assert_cmpstr(f.instances[0], ==, "b");
	talloc_free(f.route);
}

static void test_own_zone_first(void)
{
	route_request_t reqs[4];
	fixture_t f;

	setup(&f, 3, 10);
	for (int i = 0; i < 4; i++)
		submit(&f, &reqs[i], "low");
	for (int i = 0; i < 3; i++)
		g_assert_cmpstr(f.instances[i], ==, "a");
	g_assert_cmpstr(f.instances[3], !=, "a");
	talloc_free(f.route);
}

static void test_connection_share_grows_late(void)
{
	route_entry_t many[16];
	fixture_t f;

	setup(&f, 3, 10);
	for (int i = 0; i < 16; i++)
		many[i] = (route_entry_t){ "e1", "z1" };
	g_assert_cmpint(
		route_connection_limit(f.route, BASE_STR("desk"), f.now), ==,
		7);
	route_set_entries(f.route, many, 16, f.now);
	g_assert_cmpint(
		route_connection_limit(f.route, BASE_STR("desk"), f.now), ==,
		3);
	route_set_entries(f.route, many, 10, f.now);
	route_set_entries(f.route, many, 10, f.now + 20 * SEC);
	g_assert_cmpint(route_connection_limit(f.route, BASE_STR("desk"),
					       f.now + 20 * SEC),
			==, 3);
	g_assert_cmpint(route_connection_limit(f.route, BASE_STR("desk"),
					       f.now + 31 * SEC),
			==, 6);
	talloc_free(f.route);
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
	fixture_t f;

	setup(&f, 3, 10);
	for (int i = 0; i < 60; i++) {
		snprintf(names[i], sizeof(names[i]), "i%d", i);
		many[i] = (route_endpoint_t){ names[i], "1", "z1",
					      "x",	1,   ROUTE_LIVE };
	}
	route_set_entries(f.route, peers, 3, f.now);
	route_set_endpoints(f.route, BASE_STR("desk"), 2, many, 60, f.now);
	g_assert_cmpuint(route_probe_due(f.route, true, f.now, due, 64), ==, 0);
	f.now += ROUTE_PROBE_US;
	n = route_probe_due(f.route, true, f.now, due, 64);
	g_assert_cmpuint(n, >, 15);
	g_assert_cmpuint(n, <, 45);
	g_assert_cmpuint(route_probe_due(f.route, true, f.now, due, 64), ==, 0);
	route_probe_done(f.route, base_str(due[0].endpoint->instance),
			 BASE_STR("1"), ROUTE_PROBE_LEAVING, f.now);
	f.now += ROUTE_PROBE_US;
	g_assert_cmpuint(route_probe_due(f.route, true, f.now, due, 64), ==,
			 n - 1);
	talloc_free(f.route);
}

/*
 * At a contested endpoint, the slot that an answer frees goes to the next
 * request.  Another endpoint could refuse it and the slot would stay empty.
 */
static void test_freed_slot_is_reused(void)
{
	const route_endpoint_t two[] = {
		{ "d", "1", "z1", "127.0.0.1", 1, ROUTE_LIVE },
		{ "e", "1", "z1", "127.0.0.1", 2, ROUTE_LIVE },
	};
	route_request_t reqs[7];
	const char *full;
	fixture_t f;

	setup(&f, 3, 10);
	route_set_endpoints(f.route, BASE_STR("desk"), 2, two, 2, f.now);
	f.now += 5 * SEC; /* past the slow start */
	for (int i = 0; i < 6; i++)
		submit(&f, &reqs[i], "low");
	full = f.instances[0];
	/* Leaves three running at "full" and one at the other endpoint. */
	for (int i = 0, done = 0; done < 2; i++)
		if (f.instances[i] != full) {
			route_done(f.route, &reqs[i], ROUTE_RESULT_ANSWERED,
				   f.now);
			done++;
		}
	submit(&f, &reqs[6], "low");
	while (reqs[6].running)
		route_done(f.route, &reqs[6], ROUTE_RESULT_REFUSED, f.now);
	f.now += SEC / 5;
	route_done(f.route, &reqs[0], ROUTE_RESULT_ANSWERED, f.now);
	g_assert_true(reqs[6].running);
	g_assert_cmpstr(f.instances[f.starts - 1], ==, full);
	talloc_free(f.route);
}

/* Attempts that an endpoint refused must not use up a class's credit. */
static void test_refusals_cost_no_credit(void)
{
	route_request_t low[3], high[2];
	fixture_t f;

	setup(&f, 1, 10);
	/* Uses up most of the initial credit of the class. */
	for (int i = 0; i < 28; i++) {
		submit(&f, &high[0], "high");
		route_done(f.route, &high[0], ROUTE_RESULT_ANSWERED, f.now);
	}
	f.ends = 0;
	submit(&f, &low[0], "low");
	submit(&f, &low[1], "low");
	submit(&f, &high[0], "high");
	while (high[0].attempts < 6 || !high[0].running) {
		if (high[0].running)
			route_done(f.route, &high[0], ROUTE_RESULT_REFUSED,
				   f.now);
		f.now += ROUTE_TICK_US;
		route_tick(f.route, f.now);
		g_assert_cmpint(f.ends, ==, 0);
	}
	submit(&f, &low[2], "low");
	submit(&f, &high[1], "high");
	g_assert_false(low[2].running || high[1].running);
	route_done(f.route, &low[0], ROUTE_RESULT_ANSWERED, f.now);
	g_assert_true(high[1].running);
	g_assert_false(low[2].running);
	talloc_free(f.route);
}

/*
 * Returns how many of "n" endpoints are due again "after_us" microseconds
 * after their first probe.
 */
static size_t due_again(int n, int64_t after_us)
{
	const route_entry_t alone = { "e1", "z1" };
	route_endpoint_t *many = g_new0(route_endpoint_t, n);
	route_probe_due_t *due = g_new0(route_probe_due_t, n);
	size_t again;
	fixture_t f;

	setup(&f, 3, 10);
	for (int i = 0; i < n; i++)
		many[i] = (route_endpoint_t){
			g_strdup_printf("i%d", i), "1", "z1", "x", 1, ROUTE_LIVE
		};
	route_set_entries(f.route, &alone, 1, f.now);
	route_set_endpoints(f.route, BASE_STR("desk"), 2, many, (size_t)n,
			    f.now);
	route_probe_due(f.route, true, f.now, due, (size_t)n);
	f.now += ROUTE_PROBE_MAX_US;
	again = route_probe_due(f.route, true, f.now, due, (size_t)n);
	g_assert_cmpuint(again, ==, n);
	again = route_probe_due(f.route, true, f.now + after_us, due,
				(size_t)n);
	for (int i = 0; i < n; i++)
		g_free((char *)many[i].instance);
	g_free(many);
	g_free(due);
	talloc_free(f.route);
	return again;
}

static void test_probes_slow_down(void)
{
	g_assert_cmpuint(due_again(200, ROUTE_PROBE_US), ==, 200);
	g_assert_cmpuint(due_again(300, ROUTE_PROBE_US), ==, 0);
	g_assert_cmpuint(due_again(300, ROUTE_PROBE_US * 3 / 2), ==, 300);
	g_assert_cmpuint(due_again(2000, ROUTE_PROBE_MAX_US), ==, 2000);
}

static void record_pool(void *arg, const route_pool_stats_t *stats)
{
	g_string_append_printf(arg, "%s;", stats->name);
}

static void record_group(void *arg, const route_group_stats_t *stats)
{
	g_string_append_printf(arg, "%s/%s/%s=%llu;",
			       stats->pool ? stats->pool : "",
			       stats->cls ? stats->cls : "",
			       stats->caller ? stats->caller : "",
			       (unsigned long long)stats->counts->submitted);
}

/*
 * A visit reports each group once, for any number of steps and with requests
 * submitted in between.
 */
static void test_visit(void)
{
	GString *seen = g_string_new(NULL);
	const route_visitor_t visitor = { record_pool, record_group, seen };
	const char *expected =
		"desk;//other=1;//bob=1;desk/low/=0;desk/high/=2;"
		"desk/high/other=1;desk/high/bob=1;";
	route_request_t first, second;
	route_cursor_t at = { 0 };
	fixture_t f;

	setup(&f, 8, 10);
	submit(&f, &first, "high");
	/* Another caller first appears in the class during the visit. */
	for (int i = 0; i < 2; i++)
		g_assert_true(route_visit(f.route, f.now, &at, 1, &visitor));
	g_assert_cmpstr(seen->str, ==, "desk;//other=1;");
	submit_for(&f, &second, "high", 2);
	while (route_visit(f.route, f.now, &at, 1, &visitor))
		;
	g_assert_cmpstr(seen->str, ==, expected);
	g_string_truncate(seen, 0);
	at = (route_cursor_t){ 0 };
	g_assert_false(route_visit(f.route, f.now, &at, 1000, &visitor));
	g_assert_cmpstr(seen->str, ==, expected);
	g_string_free(seen, TRUE);
	finish(&f, &first, ROUTE_RESULT_ANSWERED);
	f.ends = 0;
	finish(&f, &second, ROUTE_RESULT_ANSWERED);
	talloc_free(f.route);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/truth", test_outcomes);
	g_test_add_func("/route/maybe-ran", test_maybe_ran_stays_unknown);
	g_test_add_func("/route/leaving", test_leaving_is_not_undone);
	g_test_add_func("/route/own-zone", test_own_zone_first);
	g_test_add_func("/route/connections", test_connection_share_grows_late);
	g_test_add_func("/route/probes", test_probes_are_shared);
	g_test_add_func("/route/freed-slot", test_freed_slot_is_reused);
	g_test_add_func("/route/refusals-free", test_refusals_cost_no_credit);
	g_test_add_func("/route/probes/slow-down", test_probes_slow_down);
	g_test_add_func("/route/visit", test_visit);
	return g_test_run();
}
