#include "load_int.h"

/*
 * Closed-loop benchmark: each connection sends its next request after the
 * answer to the previous one.  Prints one JSON line.
 */

#define ERROR_TEXT_MAX 160 /* bytes */
#define ANSWER_WAIT_MS 10000

typedef struct bench {
	plat_address_t *targets;
	int target_count;
	const char *path;
	const char *header;
	int status; /* expected status code */
	int64_t deadline;
	int64_t pause_us; /* between a connection's requests */
	atomic_int next;
} bench_t;

typedef struct client {
	bench_t *bench;
	base_hist_t *us;
	uint64_t failed;
	pthread_t thread;
} client_t;

static uint64_t run_clients(bench_t *bench, int n, base_hist_t *latency);
static void *run_client(void *arg);
static bool send_request(struct mg_connection *conn, const bench_t *bench);

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
	base_hist_t *latency;
	uint64_t failed;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "load bench");
		return 2;
	}
	latency = base_hist_new(NULL);
	bench.target_count = targets->count;
	bench.targets = g_new0(plat_address_t, (gsize)targets->count);
	for (int i = 0; i < targets->count; i++)
		bench.targets[i] = load_address(latency, targets->sval[i]);
	bench.path = path->sval[0];
	if (header->count)
		bench.header = header->sval[0];
	if (status->count)
		bench.status = status->ival[0];
	if (rate->count)
		bench.pause_us = (int64_t)(count->ival[0] * (double)BASE_SEC /
					   rate->dval[0]);
	bench.deadline = base_clock_mono() +
			 (int64_t)(seconds->dval[0] * (double)BASE_SEC);
	failed = run_clients(&bench, count->ival[0], latency);
	printf("{\"bench\":\"%s\",\"connections\":%d,\"requests_s\":%.0f,"
	       "\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"bad\":%llu}\n",
	       name->sval[0], count->ival[0],
	       (double)base_hist_count(latency) / seconds->dval[0],
	       base_hist_quantile(latency, 0.5) / 1000.0,
	       base_hist_quantile(latency, 0.99) / 1000.0,
	       (unsigned long long)failed);
	g_free(bench.targets);
	talloc_free(latency);
	arg_freetable(table, ARRAY_SIZE(table));
	return failed ? 1 : 0;
}

/*
 * Runs "n" connections until the deadline and adds their latencies to
 * "latency".
 * Returns the number of failed requests.
 */
static uint64_t run_clients(bench_t *bench, int n, base_hist_t *latency)
{
	client_t *clients = g_new0(client_t, (gsize)n);
	uint64_t failed = 0;

	for (int i = 0; i < n; i++) {
		clients[i].bench = bench;
		clients[i].us = base_hist_new(NULL);
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	}
	for (int i = 0; i < n; i++) {
		pthread_join(clients[i].thread, NULL);
		base_hist_merge(latency, clients[i].us);
		failed += clients[i].failed;
		talloc_free(clients[i].us);
	}
	g_free(clients);
	return failed;
}

static void *run_client(void *arg)
{
	client_t *client = arg;
	bench_t *bench = client->bench;
	int index = atomic_fetch_add(&bench->next, 1);
	const plat_address_t *to = &bench->targets[index % bench->target_count];
	struct mg_connection *conn = NULL;
	char error[ERROR_TEXT_MAX];

	base_clock_sleep(bench->pause_us * (index % 64) / 64);
	while (base_clock_mono() < bench->deadline) {
		int64_t begin = base_clock_mono();
		int64_t took;

		if (!conn)
			conn = mg_connect_client(to->host, to->port, 0, error,
						 sizeof(error));
		if (!conn || !send_request(conn, bench)) {
			if (conn)
				mg_close_connection(conn);
			conn = NULL;
			client->failed++;
			continue;
		}
		took = base_clock_mono() - begin;
		base_hist_add(client->us, took);
		if (bench->pause_us > took)
			base_clock_sleep(bench->pause_us - took);
	}
	if (conn)
		mg_close_connection(conn);
	return NULL;
}

static bool send_request(struct mg_connection *conn, const bench_t *bench)
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
