#include <argtable2.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>

#include "r2.h"

#define TICK (10 * BASE_MS)
#define GATE_PORT 81	    /* of the first one, after that of the store */
#define VALUE_MAX (1 << 20) /* bytes that the store takes as a value */
#define MOVE_TIME (1500 * BASE_MS)
#define UPKEEP_TIME (2 * BASE_SEC)

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

	for (; at; at = strchr(at, '&')) {
		const char *value = ++at + len + 1;
		char *text;

		if (strncmp(at, name, len) || at[len] != '=')
			continue;
		text = g_uri_unescape_segment(
			value, value + strcspn(value, "&"), NULL);
		return text ? text : g_strdup("");
	}
	return g_strdup("");
}

void r2_note(r2_t *r2, const char *fmt, ...)
{
	va_list ap;

	fprintf(r2->record, "%9.3f ",
		(double)(base_clock_mono() - r2->began_at) / BASE_SEC);
	va_start(ap, fmt);
	vfprintf(r2->record, fmt, ap);
	va_end(ap);
	fputc('\n', r2->record);
	fflush(r2->record);
}

static int64_t number_of(const char *path, const char *name, int64_t fallback)
{
	char *text = sp_query(path, name);
	int64_t number = *text ? strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return number;
}

static r2_worker_t *find_instance(r2_t *r2, const char *name)
{
	int i;

	for (i = 0; name && i < r2->n_workers; i++)
		if (!strcmp(r2->workers[i].machine, name) &&
		    !r2->workers[i].gone)
			return &r2->workers[i];
	return NULL;
}

static void serve_list(r2_t *r2, net_exchange_t *exchange)
{
	json_t *rows = json_array();
	int i;

	for (i = 0; i < r2->n_workers; i++) {
		const r2_worker_t *worker = &r2->workers[i];

		if (worker->gone)
			continue;
		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},"
				  "s:s}",
				  "machine", worker->machine, "pool",
				  worker->pool, "state", worker->state, "zone",
				  "z0", "labels", "a", "r0", "capacity", "cpu",
				  16000, "memMb", 65536, "gpu", 0, "id",
				  worker->up ? worker->id : ""));
	}
	sp_reply_json(exchange, 200,
		      json_pack("{s:o,s:n}", "machines", rows, "nextToken"));
}

static void serve_order(r2_t *r2, net_exchange_t *exchange, bool is_move)
{
	base_str_t text = net_exchange_body(exchange);
	const char *token = net_exchange_header(exchange, "X-Fencing-Token");
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *pool = json_string_value(json_object_get(root, "pool"));
	r2_worker_t *worker = find_instance(
		r2, json_string_value(json_object_get(root, "machine")));

	if (!worker || (is_move && !pool)) {
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
	} else if (is_move && !strcmp(worker->pool, pool)) {
		net_reply(exchange, 200, NULL, 0, BASE_STR("{}"));
	} else if (strcmp(worker->state, "up") != 0 || worker->draining) {
		net_reply(exchange, 409, NULL, 0,
			  BASE_STR("{\"reason\":\"busy\"}"));
	} else {
		r2_note(r2, "order %s to %s by token %s", worker->machine,
			is_move ? pool : "upkeep", token ? token : "none");
		r2_worker_order(worker, is_move ? pool : worker->pool,
				is_move ? MOVE_TIME : UPKEEP_TIME,
				is_move ? "moving" : "upkeep");
		net_reply(exchange, 200, NULL, 0, BASE_STR("{}"));
	}
	json_decref(root);
}

/* A change with a value that is larger than the store takes does nothing. */
static bool has_large_value(const net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const json_t *sets = json_object_get(root, "setKeys");
	bool is_large = false;
	size_t i;

	for (i = 0; i < json_array_size(sets); i++)
		is_large |= json_string_length(json_object_get(
				    json_array_get(sets, i), "value")) /
				    4 * 3 >
			    VALUE_MAX;
	json_decref(root);
	return is_large;
}

static void serve_results(const r2_t *r2, net_exchange_t *exchange)
{
	sp_reply_json(
		exchange, 200,
		json_pack("{s:I,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:s}", "now_ms",
			  (json_int_t)((base_clock_mono() - r2->began_at) /
				       BASE_MS),
			  "starts", r2->starts, "done", r2->n_done, "failed",
			  r2->n_failed, "alone", r2->n_alone, "lost",
			  r2->n_lost, "route", r2->route, "large_values",
			  r2->n_refused_values, "twice", r2->twice, "first",
			  r2->first));
}

static void serve_workers(r2_t *r2, net_exchange_t *exchange)
{
	json_t *rows = json_array();
	int i;

	for (i = 0; i < r2->n_workers; i++)
		json_array_append_new(
			rows, json_pack("[i,s,s,i]", i, r2->workers[i].pool,
					!r2->workers[i].up	  ? "down"
					: r2->workers[i].draining ? "draining"
								  : "up",
					(int)r2->workers[i].runs->len));
	sp_reply_json(exchange, 200, rows);
}

/* /ctl?crash=N&back=MS&id=same&kind=X: a worker's process dies and
 * comes back.
 * /ctl?drain=N&ms=MS: a worker drains, and leaves with its instance after MS.
 * /ctl?late=TASK&ms=MS: the next start of the task gets no answer and is
 * carried out so much later.
 * /ctl?away=N&ms=MS: the store turns entry N away for so long. */
static void serve_control(r2_t *r2, net_exchange_t *exchange, const char *path)
{
	int64_t crash = number_of(path, "crash", -1);
	int64_t drain = number_of(path, "drain", -1);
	int64_t away = number_of(path, "away", -1);
	char *late = sp_query(path, "late");
	char *id = sp_query(path, "id");
	char *kind = sp_query(path, "kind");

	if (crash >= 0 && crash < r2->n_workers && *kind)
		r2->workers[crash].next_kind = *kind;
	if (crash >= 0 && crash < r2->n_workers && r2->workers[crash].up)
		r2_worker_crash(&r2->workers[crash],
				number_of(path, "back", 1000) * BASE_MS,
				!strcmp(id, "same"));
	if (drain >= 0 && drain < r2->n_workers && r2->workers[drain].up)
		r2_worker_drain(&r2->workers[drain],
				number_of(path, "ms", 2000) * BASE_MS);
	if (away >= 1 && away <= R2_GATES) {
		r2->gates[away - 1].away_until =
			base_clock_mono() +
			number_of(path, "ms", 2000) * BASE_MS;
		r2_note(r2, "the store turns entry %d away", (int)away);
	}
	if (*late) {
		g_strlcpy(r2->late_task, late, sizeof(r2->late_task));
		r2->late_by = number_of(path, "ms", 2000) * BASE_MS;
	}
	net_reply(exchange, 200, NULL, 0, BASE_STR(""));
	g_free(late);
	g_free(kind);
	g_free(id);
}

static void serve_operator(r2_t *r2, net_exchange_t *exchange, const char *path)
{
	base_str_t body = net_exchange_body(exchange);
	char *text = g_strndup(body.ptr, body.len);
	char *key = sp_query(path, "key");

	sp_store_put(&r2->sp, key, text);
	net_reply(exchange, 200, NULL, 0, BASE_STR(""));
	g_free(key);
	g_free(text);
}

static void serve_store(r2_t *r2, net_exchange_t *exchange, const char *path)
{
	if (!g_str_has_prefix(path, "/v1/kv-txn") ||
	    !has_large_value(exchange)) {
		sp_store_serve(&r2->sp, exchange, path);
		return;
	}
	if (!r2->n_refused_values++)
		r2_note(r2, "the store refuses a value of over 1 MiB");
	net_reply(exchange, 400, NULL, 0, BASE_STR(""));
}

static void serve(void *arg, net_exchange_t *exchange)
{
	r2_t *r2 = arg;
	char *path = g_strdup(net_exchange_path(exchange));

	if (g_str_has_prefix(path, "/v1/kv-"))
		serve_store(r2, exchange, path);
	else if (g_str_has_prefix(path, "/v1/machines"))
		serve_list(r2, exchange);
	else if (g_str_has_prefix(path, "/v1/machine-"))
		serve_order(r2, exchange, !strcmp(path, "/v1/machine-move"));
	else if (g_str_has_prefix(path, "/judge"))
		serve_results(r2, exchange);
	else if (g_str_has_prefix(path, "/workers"))
		serve_workers(r2, exchange);
	else if (g_str_has_prefix(path, "/ctl"))
		serve_control(r2, exchange, path);
	else if (g_str_has_prefix(path, "/operator"))
		serve_operator(r2, exchange, path);
	else
		net_reply(exchange, 404, NULL, 0, BASE_STR(""));
	g_free(path);
}

static void serve_gate(void *arg, net_exchange_t *exchange)
{
	r2_gate_t *gate = arg;

	if (base_clock_mono() < gate->away_until)
		net_reply(exchange, 503, NULL, 0, BASE_STR(""));
	else
		serve(gate->r2, exchange);
}

static bool open_gates(r2_t *r2, int port, GError **err)
{
	char address[32];
	int i;

	for (i = 0; i < R2_GATES; i++) {
		r2_gate_t *gate = &r2->gates[i];

		gate->r2 = r2;
		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   port + GATE_PORT + i);
		gate->server = net_server_new(r2, r2->sp.loop, address,
					      serve_gate, gate, err);
		if (!gate->server)
			return false;
	}
	return true;
}

static void tick(void *arg)
{
	r2_t *r2 = arg;
	int64_t now = base_clock_mono();

	r2_workers_tick(r2, now);
	sp_store_tick(&r2->sp, now);
	net_timer_start(r2->timer, TICK);
}

static void terminate(void *arg, int signo)
{
	(void)signo;
	net_loop_stop(arg);
}

static void begin_store(sp_t *sp)
{
	sp->loop = net_loop_new(sp);
	sp->rng.state = 7;
	sp->items = g_hash_table_new(g_str_hash, g_str_equal);
	sp->events = g_ptr_array_new();
	sp->leases = g_array_new(FALSE, TRUE, sizeof(sp_lease_t));
	sp->watches = g_ptr_array_new();
	sp->unanswered = g_ptr_array_new();
	sp->late_changes = g_array_new(FALSE, TRUE, sizeof(sp_late_change_t));
}

static r2_t *r2_new(int port, int workers, int spare, const char *record)
{
	r2_t *r2 = talloc_zero(NULL, r2_t);
	char address[32];
	GError *err = NULL;

	begin_store(&r2->sp);
	r2->n_workers = workers;
	r2->n_spare = spare;
	r2->record = fopen(record, "a");
	r2->began_at = base_clock_mono();
	r2->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r2->started =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r2->lates = g_array_new(FALSE, TRUE, sizeof(r2_late_t));
	r2->timer = net_timer_new(r2, r2->sp.loop, tick, r2);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	r2->server = net_server_new(r2, r2->sp.loop, address, serve, r2, &err);
	if (!r2->server || !r2->record || !open_gates(r2, port, &err)) {
		fprintf(stderr, "standin-review: port or record in use\n");
		exit(2);
	}
	r2_workers_begin(r2, port + 1);
	return r2;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "PORT",
					"of the store; the workers' follow");
	struct arg_int *workers =
		arg_int1(NULL, "workers", "N", "number of instances");
	struct arg_int *spare =
		arg_int0(NULL, "spare", "N", "of these, switched off");
	struct arg_str *record =
		arg_str1(NULL, "record", "FILE", "what was run");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, workers, spare, record, end };
	r2_t *r2;

	if (arg_parse(argc, argv, table) || workers->ival[0] < 1 ||
	    workers->ival[0] > R2_WORKERS_MAX) {
		arg_print_errors(stderr, end, "standin-review");
		return 2;
	}
	r2 = r2_new(port->ival[0], workers->ival[0],
		    spare->count ? spare->ival[0] : 0, record->sval[0]);
	net_loop_signal(r2->sp.loop, SIGTERM, terminate, r2->sp.loop);
	tick(r2);
	net_loop_run(r2->sp.loop);
	return 0;
}
