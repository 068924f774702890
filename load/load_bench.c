#include "load_int.h"

/*
 * A closed loop: each connection sends its next request when the answer to
 * the last has come.  Prints one JSON line.
 */

#define ERROR_TEXT_MAX 160 /* bytes */
#define ANSWER_WAIT_MS 10000

typedef struct bench {
	plat_address_t *targets;
	int target_count;
	const char *path;
	const char *header;
	int status; /* of a good answer */
	int64_t until;
	int64_t pause_us; /* between a connection's requests */
	atomic_int next;
} bench_t;

typedef struct lane {
	bench_t *bench;
	base_hist_t *us;
	uint64_t bad;
	pthread_t thread;
} lane_t;

static uint64_t run_lanes(bench_t *bench, int n, base_hist_t *all);
static void *run(void *arg);
static bool ask(struct mg_connection *conn, const bench_t *bench);

int load_bench(int argc, char **argv)
{
	struct arg_str *targets = arg_strn(NULL, "target", "ADDRESS:PORT", 1,
					   TARGETS_MAX, "where to send");
	struct arg_str *path = arg_str1(NULL, "path", "PATH", "what to ask");
	struct arg_int *count = arg_int1(NULL, "connections", "N", "at once");
	struct arg_dbl *seconds = arg_dbl1(NULL, "seconds", "S", "how long");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "R",
					"at most R requests a second in all");
	struct arg_str *header =
		arg_str0(NULL, "header", "NAME: VALUE",
			 "sent besides; X-Work-Us: 0 if none is named");
	struct arg_int *status =
		arg_int0(NULL, "status", "CODE", "of a good answer; 200");
	struct arg_str *name = arg_str1(NULL, "name", "NAME", "in the output");
	struct arg_end *end = arg_end(4);
	void *table[] = { targets, path,   count, seconds, rate,
			  header,  status, name,  end };
	bench_t bench = { .header = "X-Work-Us: 0", .status = 200 };
	base_hist_t *all;
	uint64_t bad;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "load bench");
		return 2;
	}
	all = base_hist_new(NULL);
	bench.target_count = targets->count;
	bench.targets = g_new0(plat_address_t, (gsize)targets->count);
	for (int i = 0; i < targets->count; i++)
		bench.targets[i] = load_address(all, targets->sval[i]);
	bench.path = path->sval[0];
	if (header->count)
		bench.header = header->sval[0];
	if (status->count)
		bench.status = status->ival[0];
	if (rate->count)
		bench.pause_us = (int64_t)(count->ival[0] * (double)BASE_SEC /
					   rate->dval[0]);
	bench.until = base_clock_mono() +
		      (int64_t)(seconds->dval[0] * (double)BASE_SEC);
	bad = run_lanes(&bench, count->ival[0], all);
	printf("{\"bench\":\"%s\",\"connections\":%d,\"requests_s\":%.0f,"
	       "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"bad\":%llu}\n",
	       name->sval[0], count->ival[0],
	       (double)base_hist_count(all) / seconds->dval[0],
	       base_hist_quantile(all, 0.5) / 1000.0,
	       base_hist_quantile(all, 0.99) / 1000.0, (unsigned long long)bad);
	g_free(bench.targets);
	talloc_free(all);
	arg_freetable(table, ARRAY_SIZE(table));
	return bad ? 1 : 0;
}

/* Run them to the end; times go into "all", the bad answers are counted. */
static uint64_t run_lanes(bench_t *bench, int n, base_hist_t *all)
{
	lane_t *lanes = g_new0(lane_t, (gsize)n);
	uint64_t bad = 0;

	for (int i = 0; i < n; i++) {
		lanes[i].bench = bench;
		lanes[i].us = base_hist_new(NULL);
		pthread_create(&lanes[i].thread, NULL, run, &lanes[i]);
	}
	for (int i = 0; i < n; i++) {
		pthread_join(lanes[i].thread, NULL);
		base_hist_merge(all, lanes[i].us);
		bad += lanes[i].bad;
		talloc_free(lanes[i].us);
	}
	g_free(lanes);
	return bad;
}

static void *run(void *arg)
{
	lane_t *lane = arg;
	bench_t *bench = lane->bench;
	int at = atomic_fetch_add(&bench->next, 1);
	const plat_address_t *to = &bench->targets[at % bench->target_count];
	struct mg_connection *conn = NULL;
	char error[ERROR_TEXT_MAX];

	base_clock_sleep(bench->pause_us * (at % 64) / 64);
	while (base_clock_mono() < bench->until) {
		int64_t begin = base_clock_mono();
		int64_t took;

		if (!conn)
			conn = mg_connect_client(to->host, to->port, 0, error,
						 sizeof(error));
		if (!conn || !ask(conn, bench)) {
			if (conn)
				mg_close_connection(conn);
			conn = NULL;
			lane->bad++;
			continue;
		}
		took = base_clock_mono() - begin;
		base_hist_add(lane->us, took);
		if (bench->pause_us > took)
			base_clock_sleep(bench->pause_us - took);
	}
	if (conn)
		mg_close_connection(conn);
	return NULL;
}

static bool ask(struct mg_connection *conn, const bench_t *bench)
{
	char error[ERROR_TEXT_MAX], chunk[8192];
	long long left;

	if (mg_printf(conn, "GET %s HTTP/1.1\r\nHost: bench\r\n%s\r\n\r\n",
		      bench->path, bench->header) <= 0 ||
	    mg_get_response(conn, error, sizeof(error), ANSWER_WAIT_MS) < 0 ||
	    mg_get_response_info(conn)->status_code != bench->status)
		return false;
	left = mg_get_response_info(conn)->content_length;
	while (left > 0) {
		int got = mg_read(conn, chunk,
				  left < (long long)sizeof(chunk)
					  ? (size_t)left
					  : sizeof(chunk));

		if (got <= 0)
			return false;
		left -= got;
	}
	return true;
}
