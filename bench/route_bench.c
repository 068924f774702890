#include <stdlib.h>

#include "route.h"

/*
 * Cost of routing decisions: answered and refused requests through one core,
 * with the calls that a request thread makes, including the lookup of class
 * and caller.  To count instructions per request:
 *
 *	valgrind --tool=callgrind --toggle-collect=answer_all \
 *		build/plain/bench/route_bench 20000
 *
 * and divide by the number of requests; likewise with refuse_all.
 */

#define REQUESTS 200000
#define ENDPOINTS 12
#define CALLERS 100
#define RUNNING 9 /* concurrent requests, below the limit */

typedef struct bench {
	route_t *route;
	route_request_t running[RUNNING];
	char callers[CALLERS][8];
	uint64_t started, ended;
	int64_t now;
} bench_t;

static bench_t *setup(void);
static void configure(bench_t *b);
static void init_request(bench_t *b, route_request_t *req, int n);
static void on_start(void *arg, route_request_t *req,
		     const route_endpoint_t *ep, int attempt);
static void on_end(void *arg, route_request_t *req, const route_end_t *end);
static void report(const char *what, int n, int64_t began);

static const route_ops_t ops = { on_start, on_end };

/* Not inlined, so that callgrind reports each function separately. */
__attribute__((noinline)) static void answer_all(bench_t *b, int n)
{
	for (int i = 0; i < n; i++) {
		route_request_t *req = &b->running[i % RUNNING];

		if (req->running)
			route_done(b->route, req, ROUTE_RESULT_ANSWERED,
				   b->now);
		init_request(b, req, i);
		route_submit(b->route, req, b->now);
		b->now += 2000;
		if (i % 5 == 0)
			route_tick(b->route, b->now);
	}
}

__attribute__((noinline)) static void refuse_all(bench_t *b, int n)
{
	route_request_t req;

	for (int i = 0; i < n; i++) {
		init_request(b, &req, i);
		req.deadline = b->now + 1;
		route_submit(b->route, &req, b->now);
	}
}

int main(int argc, char **argv)
{
	int n = argc > 1 ? atoi(argv[1]) : REQUESTS;
	bench_t *b = setup();
	int64_t began = base_clock_mono();

	answer_all(b, n);
	report("answered", n, began);
	/* All slots are busy, so each new request would have to wait. */
	began = base_clock_mono();
	refuse_all(b, n);
	report("refused", n, began);
	talloc_free(b->route);
	g_free(b);
	return 0;
}

static bench_t *setup(void)
{
	static const char *const zones[] = { "z0", "z1", "z2" };
	bench_t *b = g_new0(bench_t, 1);
	route_options_t opt = { .ops = &ops,
				.arg = b,
				.entry = "e0",
				.zone = "z0",
				.seed = 1,
				.held_max = 1000,
				.bytes_max = 1 << 24 };
	route_entry_t peers[8];
	route_endpoint_t list[ENDPOINTS];
	char names[ENDPOINTS][8];

	b->now = BASE_SEC;
	b->route = route_new(NULL, &opt);
	configure(b);
	for (int i = 0; i < 8; i++)
		peers[i] = (route_entry_t){ "e0", zones[i % 3] };
	route_set_entries(b->route, peers, 8, b->now);
	for (int i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "i%d", i);
		list[i] = (route_endpoint_t){ names[i], "1", zones[i % 3],
					      "a",	1,   ROUTE_LIVE };
	}
	route_set_endpoints(b->route, BASE_STR("p"), 1, list, ENDPOINTS,
			    b->now);
	return b;
}

static void configure(bench_t *b)
{
	const route_pool_conf_t pool = { "p", 8, 64, 8, 256, 1 << 22, 0.1 };
	const route_class_conf_t classes[] = {
		{ "x", "p", 0, 4.0, true, BASE_SEC },
		{ "y", "p", 1, 2.0, true, BASE_SEC },
		{ "z", "p", 2, 1.0, true, BASE_SEC },
	};
	route_caller_conf_t callers[CALLERS];
	route_conf_t conf = { &pool, 1, classes, 3, callers, CALLERS };

	for (int i = 0; i < CALLERS; i++) {
		snprintf(b->callers[i], sizeof(b->callers[i]), "c%d", i);
		callers[i] = (route_caller_conf_t){ b->callers[i], 1.0 };
	}
	route_configure(b->route, &conf, b->now);
}

static void init_request(bench_t *b, route_request_t *req, int n)
{
	static const char *const classes[] = { "x", "y", "z" };

	memset(req, 0, sizeof(*req));
	req->class_id = route_find_class(b->route, BASE_STR("p"),
					 base_str(classes[n % 3]));
	req->caller_id =
		route_find_caller(b->route, base_str(b->callers[n % CALLERS]));
	req->repeatable = true;
	req->bytes = 100;
}

static void on_start(void *arg, route_request_t *req,
		     const route_endpoint_t *ep, int attempt)
{
	(void)req;
	(void)ep;
	(void)attempt;
	((bench_t *)arg)->started++;
}

static void on_end(void *arg, route_request_t *req, const route_end_t *end)
{
	(void)req;
	(void)end;
	((bench_t *)arg)->ended++;
}

static void report(const char *what, int n, int64_t began)
{
	double took = (double)(base_clock_mono() - began);

	printf("{\"bench\":\"decisions\",\"what\":\"%s\",\"requests\":%d,"
	       "\"ns_each\":%.0f}\n",
	       what, n, took * 1000.0 / n);
}
