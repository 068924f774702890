#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>

#include "sp_int.h"

#define TICK (10 * BASE_MS)

typedef struct sp_options {
	int port;
	int workers;
	int listed_port; /* 0: the workers' own ports */
	int drift_percent;
	const char *run;
} sp_options_t;

void sp_reply_json(net_exchange_t *exchange, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	if (exchange)
		net_reply(exchange, status, NULL, 0, base_str(text));
	free(text);
	json_decref(body);
}

char *sp_query(const char *path, const char *name)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);

	while (at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			const char *value = at + len + 1;
			char *text = g_uri_unescape_segment(
				value, value + strcspn(value, "&"), NULL);

			return text ? text : g_strdup("");
		}
		at = strchr(at, '&');
	}
	return g_strdup("");
}

void sp_record_violation(sp_t *sp, const char *rule, const sp_run_t *run)
{
	if (!sp->violations++)
		g_snprintf(sp->first_violation, sizeof(sp->first_violation),
			   "%s: %s run %d", rule, run->task, (int)run->number);
}

/* To an entry that takes the stand-in for another entry, as an old key in the
 * store may tell it: a term that no holder has had. */
#define ODD_PEER_ANSWER                                             \
	"{\"kind\":\"not-owner\",\"state\":0,\"retry_after_ms\":0," \
	"\"pending\":0,\"why\":\"x\",\"binding\":false,"            \
	"\"term\":500,\"decides\":false}"

static void serve_results(sp_t *sp, net_exchange_t *exchange)
{
	sp_reply_json(
		exchange, 200,
		json_pack("{s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:s}",
			  "run", sp->run_name, "starts", sp->starts, "finished",
			  sp->finished, "broken", sp->violations, "upkeeps",
			  sp->maintenance_count, "upkeeps_most",
			  sp->max_in_maintenance, "questions",
			  sp->advice_requests, "tickets_refused",
			  sp->tickets_refused, "late_orders", sp->late_orders,
			  "late_starts", sp->late_starts, "suspended",
			  sp->suspension.count, "fault", sp->first_violation));
}

/* Requests of the test: /judge, /records, /switch?..., /operator?key=...,
 * /read?key=... */
static void serve_test(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	base_str_t body = net_exchange_body(exchange);
	char *key = sp_query(path, "key");
	char *text;

	if (!strcmp(path, "/ask")) {
		net_reply(exchange, 200, NULL, 0, BASE_STR(ODD_PEER_ANSWER));
	} else if (!strcmp(path, "/judge")) {
		serve_results(sp, exchange);
	} else if (!strcmp(path, "/records")) {
		sp_records_serve(sp, exchange);
	} else if (g_str_has_prefix(path, "/operator")) {
		text = g_strndup(body.ptr, body.len);
		sp_store_put(sp, key, text);
		net_reply(exchange, 200, NULL, 0, BASE_STR(""));
		g_free(text);
	} else if (g_str_has_prefix(path, "/read")) {
		text = sp_store_text(sp, key);
		net_reply(exchange, text ? 200 : 404, NULL, 0, base_str(text));
		g_free(text);
	} else {
		net_reply(exchange, sp_apply_switches(sp, path) ? 200 : 400,
			  NULL, 0, BASE_STR(""));
	}
	g_free(key);
}

static void serve(void *arg, net_exchange_t *exchange)
{
	sp_t *sp = arg;
	char *path = g_strdup(net_exchange_path(exchange));

	if (g_str_has_prefix(path, "/v1/kv-"))
		sp_store_serve(sp, exchange, path);
	else if (!strcmp(path, "/v1/advise"))
		sp_advice_serve(sp, exchange);
	else if (g_str_has_prefix(path, "/v1/machine"))
		sp_instances_serve(sp, exchange, path);
	else
		serve_test(sp, exchange, path);
	g_free(path);
}

static void serve_second(void *arg, net_exchange_t *exchange)
{
	const sp_t *sp = arg;

	if (sp->rejects_second)
		net_reply(exchange, 503, NULL, 0, BASE_STR(""));
	else
		serve(arg, exchange);
}

static void tick(void *arg)
{
	sp_t *sp = arg;
	int64_t now = base_clock_mono();

	sp_workers_tick(sp, now);
	sp_store_tick(sp, now);
	sp_suspend_tick(sp, now);
	net_timer_start(sp->tick, TICK);
}

static void terminate(void *arg, int signo)
{
	sp_t *sp = arg;

	(void)signo;
	net_loop_stop(sp->loop);
}

static sp_t *sp_new(const sp_options_t *options)
{
	sp_t *sp = talloc_zero(NULL, sp_t);
	int port = options->port;
	char address[32];
	GError *err = NULL;

	sp->loop = net_loop_new(sp);
	sp->port = port;
	sp->run_name = options->run;
	sp->drift_percent = options->drift_percent;
	sp->listed_port =
		options->listed_port ? options->listed_port : port + 1;
	sp->task_duration_ms = 300;
	sp->restart_delay_ms = 500;
	sp->rng.state = 7;
	sp->items = g_hash_table_new(g_str_hash, g_str_equal);
	sp->events = g_ptr_array_new();
	sp->leases = g_array_new(FALSE, TRUE, sizeof(sp_lease_t));
	sp->watches = g_ptr_array_new();
	sp->unanswered = g_ptr_array_new();
	sp->late_changes = g_array_new(FALSE, TRUE, sizeof(sp_late_change_t));
	sp->acknowledged =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sp->suspension.parked = g_array_new(FALSE, TRUE, sizeof(sp_parked_t));
	sp->tasks = sp_records_new();
	sp->tick = net_timer_new(sp, sp->loop, tick, sp);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	sp->control = net_server_new(sp, sp->loop, address, serve, sp, &err);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   port + SP_SECOND_PORT_OFFSET);
	if (sp->control)
		sp->second_server = net_server_new(sp, sp->loop, address,
						   serve_second, sp, &err);
	if (!sp->second_server) {
		fprintf(stderr, "standin-platform: %s\n", err->message);
		exit(1);
	}
	sp_workers_start(sp, options->workers, port + 1);
	return sp;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "PORT",
					"store port; worker ports follow it");
	struct arg_int *workers =
		arg_int0(NULL, "workers", "N",
			 "number of instances, a quarter of them spare (8)");
	struct arg_str *run = arg_str0(NULL, "run", "NAME",
				       "returned by /judge, so that a test "
				       "recognizes its own process");
	struct arg_int *listed_port =
		arg_int0(NULL, "listed", "PORT",
			 "first port that workers register (their own)");
	struct arg_int *drift_percent = arg_int0(NULL, "drift", "PERCENT",
						 "error of worker clocks (0)");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, workers, run, listed_port, drift_percent, end };
	sp_options_t options = { .run = "", .workers = 8 };
	sp_t *sp;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "standin-platform");
		return 2;
	}
	options.port = port->ival[0];
	if (workers->count)
		options.workers = workers->ival[0];
	if (options.workers < 0 || options.workers > SP_WORKERS_MAX) {
		fprintf(stderr, "standin-platform: --workers must be 0 to %d\n",
			SP_WORKERS_MAX);
		arg_freetable(table, ARRAY_SIZE(table));
		return 2;
	}
	if (run->count)
		options.run = run->sval[0];
	if (listed_port->count)
		options.listed_port = listed_port->ival[0];
	if (drift_percent->count)
		options.drift_percent = drift_percent->ival[0];
	sp = sp_new(&options);
	net_loop_signal(sp->loop, SIGTERM, terminate, sp);
	tick(sp);
	net_loop_run(sp->loop);
	return 0;
}
