#include <stdlib.h>

#include "sp_int.h"

#define WORKER_CPU 16000
#define WORKER_MEMORY 65536
/* A deadly task crashes its worker after this time. */
#define DEADLY_DELAY (300 * BASE_MS)
/* From such a crash to the worker's next incarnation. */
#define DEADLY_AWAY (2 * BASE_SEC)

static int64_t worker_clock_us(const sp_worker_t *worker)
{
	return (int64_t)((double)(base_clock_mono() - worker->started_at) *
			 worker->clock_rate);
}

static void register_worker(sp_worker_t *worker)
{
	char *key = g_strdup_printf("servers/%s", worker->id);
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
		"\"labels\":[\"a\",\"r%d\"],\"seq\":1}",
		worker->pool, worker->sp->listed_port + worker->index,
		worker->index % 3, WORKER_CPU, WORKER_MEMORY,
		worker->index / 4);

	sp_store_put(worker->sp, key, text);
	g_free(text);
	g_free(key);
}

void sp_worker_start(sp_worker_t *worker)
{
	static int incarnations;

	g_snprintf(worker->id, sizeof(worker->id), "i-%d-%d", worker->index,
		   ++incarnations);
	worker->up = strcmp(worker->pool, "spare") != 0;
	worker->started_at = base_clock_mono();
	worker->lease_end_us = 0;
	worker->fencing_token = 0;
	worker->next_end_number = 1;
	worker->restart_at = 0;
	worker->in_maintenance = false;
	if (worker->up && !worker->is_unlisted)
		register_worker(worker);
}

void sp_worker_set_unlisted(sp_worker_t *worker, bool is_unlisted)
{
	char *key;

	if (worker->is_unlisted == is_unlisted)
		return;
	worker->is_unlisted = is_unlisted;
	if (!worker->up)
		return;
	if (!is_unlisted) {
		register_worker(worker);
		return;
	}
	key = g_strdup_printf("servers/%s", worker->id);
	sp_store_delete(worker->sp, key);
	g_free(key);
}

void sp_worker_terminate(sp_worker_t *worker)
{
	char *key = g_strdup_printf("servers/%s", worker->id);
	guint i;

	worker->up = false;
	for (i = 0; i < worker->runs->len; i++)
		sp_record_end(worker->sp,
			      g_array_index(worker->runs, sp_run_t, i).task);
	g_array_set_size(worker->runs, 0);
	g_array_set_size(worker->unacknowledged_ends, 0);
	g_array_set_size(worker->ended_runs, 0);
	if (worker->hold.exchange)
		net_reply(worker->hold.exchange, 503, NULL, 0, BASE_STR(""));
	worker->hold.exchange = NULL;
	sp_store_delete(worker->sp, key);
	g_free(key);
}

static void add_end(sp_worker_t *worker, guint at, const char *result)
{
	sp_run_end_t end = { worker->next_end_number++, base_clock_mono(),
			     g_array_index(worker->runs, sp_run_t, at),
			     result };

	sp_record_end(worker->sp, end.run.task);
	g_array_append_val(worker->unacknowledged_ends, end);
	g_array_append_val(worker->ended_runs, end.run);
	g_array_remove_index(worker->runs, at);
}

/* A task that lasts has always done what there is to do. */
static int progress_percent(const sp_run_t *run)
{
	int64_t now = base_clock_mono();

	if (!run->ends_at)
		return 100;
	if (now >= run->ends_at)
		return 99;
	return (int)(100 * (now - run->started_at) /
		     (run->ends_at - run->started_at));
}

static json_t *report(const sp_worker_t *worker)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const sp_run_t *run = &g_array_index(worker->runs, sp_run_t, i);

		json_array_append_new(running,
				      json_pack("[s,I,s,i,i]", run->task,
						(json_int_t)run->number, "",
						progress_percent(run), 1));
	}
	for (i = 0;
	     i < MIN(worker->unacknowledged_ends->len, SP_ENDS_LISTED_MAX);
	     i++) {
		const sp_run_end_t *end = &g_array_index(
			worker->unacknowledged_ends, sp_run_end_t, i);

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)end->number,
				  end->run.task, (json_int_t)end->run.number,
				  end->result, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)(worker_clock_us(worker) / BASE_MS),
			 "born", (json_int_t)(worker->started_at / BASE_MS),
			 "running", running, "finished", finished);
}

static void accept_order(const sp_worker_t *worker, net_exchange_t *exchange)
{
	sp_reply_json(
		exchange, 200,
		json_pack("{s:I}", "clockMs",
			  (json_int_t)(worker_clock_us(worker) / BASE_MS)));
}

static void refuse(const sp_worker_t *worker, net_exchange_t *exchange,
		   const char *reason)
{
	sp_reply_json(exchange, 409,
		      json_pack("{s:I,s:s}", "clockMs",
				(json_int_t)(worker_clock_us(worker) / BASE_MS),
				"reason", reason));
}

/* An end does not count as acknowledged if the lease lapsed before that. */
static void check_acknowledged(const sp_worker_t *worker,
			       const sp_run_end_t *end)
{
	if (worker->lapsed_at <= end->ended_at &&
	    sp_record_started_after(worker->sp, end->run.task, end->ended_at))
		sp_record_violation(
			worker->sp,
			"its completion was acknowledged after a later start",
			&end->run);
}

static void acknowledge_ends(sp_worker_t *worker, int64_t last_seen)
{
	while (worker->unacknowledged_ends->len) {
		const sp_run_end_t *end = &g_array_index(
			worker->unacknowledged_ends, sp_run_end_t, 0);

		if (end->number > last_seen)
			return;
		if (!strcmp(end->result, "done")) {
			check_acknowledged(worker, end);
			g_hash_table_add(worker->sp->acknowledged,
					 g_strdup(end->run.task));
		}
		g_array_remove_index(worker->unacknowledged_ends, 0);
	}
}

static void serve_hold(sp_worker_t *worker, net_exchange_t *exchange,
		       const json_t *root)
{
	int64_t wait = json_integer_value(json_object_get(root, "waitMs"));

	acknowledge_ends(worker,
			 json_integer_value(json_object_get(root, "lastSeen")));
	if (worker->hold.exchange)
		sp_reply_json(worker->hold.exchange, 200, report(worker));
	worker->hold.exchange = exchange;
	worker->hold.deadline_us = base_clock_mono() + wait * BASE_MS;
}

static void check_start(sp_worker_t *worker, const sp_run_t *run)
{
	sp_t *sp = worker->sp;
	int i;
	guint j;

	if (g_hash_table_contains(sp->acknowledged, run->task))
		sp_record_violation(
			sp, "started after its completion was acknowledged",
			run);
	for (i = 0; i < sp->n_workers; i++)
		for (j = 0; j < sp->workers[i].runs->len; j++)
			if (!strcmp(g_array_index(sp->workers[i].runs, sp_run_t,
						  j)
					    .task,
				    run->task))
				sp_record_violation(
					sp,
					"two runs of a task at the same time",
					run);
}

static bool has_run(const GArray *list, const sp_run_t *run, bool or_higher)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		const sp_run_t *other = &g_array_index(list, sp_run_t, i);

		if (!strcmp(other->task, run->task) &&
		    (or_higher ? other->number >= run->number
			       : other->number == run->number))
			return true;
	}
	return false;
}

static void read_run(const json_t *root, sp_run_t *run)
{
	const char *task = json_string_value(json_object_get(root, "task"));

	g_strlcpy(run->task, task ? task : "", sizeof(run->task));
	g_strlcpy(run->job, run->task, sizeof(run->job));
	if (strchr(run->job, '.'))
		*strchr(run->job, '.') = '\0';
	run->number = json_integer_value(json_object_get(root, "run"));
}

static void serve_start(sp_worker_t *worker, net_exchange_t *exchange,
			const json_t *root)
{
	const char *spec = json_string_value(json_object_get(root, "spec"));
	sp_run_t run = { .cpu = 1000, .started_at = base_clock_mono() };

	read_run(root, &run);
	if (has_run(worker->runs, &run, false)) {
		accept_order(worker, exchange);
		return;
	}
	if (has_run(worker->ended_runs, &run, true)) {
		refuse(worker, exchange, "old");
		return;
	}
	if (worker_clock_us(worker) > worker->lease_end_us) {
		refuse(worker, exchange, "late");
		return;
	}
	if (!sp_advice_allows(worker, &run, root)) {
		refuse(worker, exchange, "ticket");
		return;
	}
	check_start(worker, &run);
	worker->sp->starts++;
	sp_record_start(worker->sp, run.task);
	/* A task runs until it is stopped if its spec contains "lasts". */
	run.ends_at = spec && strstr(spec, "lasts")
			      ? 0
			      : run.started_at +
					worker->sp->task_duration_ms * BASE_MS;
	if (spec && strstr(spec, "deadly"))
		run.crashes_at = run.started_at + DEADLY_DELAY;
	g_array_append_val(worker->runs, run);
	accept_order(worker, exchange);
}

static void serve_stop(sp_worker_t *worker, net_exchange_t *exchange,
		       const json_t *root)
{
	sp_run_t run = { .cpu = 0 };
	guint i;

	read_run(root, &run);
	for (i = worker->runs->len; i-- > 0;) {
		const sp_run_t *other =
			&g_array_index(worker->runs, sp_run_t, i);

		if (!strcmp(other->task, run.task) &&
		    other->number == run.number)
			add_end(worker, i, "stopped");
	}
	g_array_append_val(worker->ended_runs, run);
	accept_order(worker, exchange);
}

static void serve(void *arg, net_exchange_t *exchange)
{
	sp_worker_t *worker = arg;
	const char *path = net_exchange_path(exchange);
	const char *expect = net_exchange_header(exchange, "X-Expect-Instance");
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	int64_t fencing_token =
		json_integer_value(json_object_get(root, "fencingToken"));
	int64_t lease = json_integer_value(json_object_get(root, "deadlineMs"));
	bool is_start = !strcmp(path, "/v1/run-start");
	sp_parked_t parked = { serve, worker, exchange };

	if (is_start &&
	    sp_suspend_park(worker->sp, &worker->sp->suspension.at_start,
			    fencing_token, &parked)) {
		json_decref(root);
		return;
	}
	if (worker->ignores_requests || worker->drops_answers) {
		/* Withholds the answer; a NULL exchange sends nothing. */
		g_ptr_array_add(worker->sp->unanswered, exchange);
		exchange = NULL;
	}
	if (worker->ignores_requests) {
		json_decref(root);
		return;
	}
	if (!worker->up || (expect && strcmp(expect, worker->id))) {
		if (exchange)
			net_reply(exchange, worker->up ? 421 : 503, NULL, 0,
				  BASE_STR(""));
	} else if (fencing_token < worker->fencing_token) {
		worker->sp->late_starts += is_start;
		refuse(worker, exchange, "fence");
	} else {
		worker->fencing_token = fencing_token;
		worker->lease_end_us =
			MAX(worker->lease_end_us, lease * BASE_MS);
		if (!strcmp(path, "/v1/hold"))
			serve_hold(worker, exchange, root);
		else if (is_start)
			serve_start(worker, exchange, root);
		else if (!strcmp(path, "/v1/run-stop"))
			serve_stop(worker, exchange, root);
		else
			sp_reply_json(exchange, 200, report(worker));
	}
	json_decref(root);
}

void sp_workers_start(sp_t *sp, int n, int base_port)
{
	int i;

	sp->n_workers = n;
	for (i = 0; i < n; i++) {
		sp_worker_t *worker = &sp->workers[i];
		GError *err = NULL;

		worker->sp = sp;
		worker->index = i;
		/* Clocks of even workers are fast, of odd ones slow. */
		worker->clock_rate =
			1 + (i % 2 ? -sp->drift_percent : sp->drift_percent) /
				    100.0;
		g_snprintf(worker->machine, sizeof(worker->machine), "m-%d", i);
		g_snprintf(worker->address, sizeof(worker->address),
			   "127.0.0.1:%d", base_port + i);
		g_snprintf(worker->pool, sizeof(worker->pool), "%s",
			   i >= n - n / 4 ? "spare" : "desk");
		worker->runs = g_array_new(FALSE, TRUE, sizeof(sp_run_t));
		worker->unacknowledged_ends =
			g_array_new(FALSE, TRUE, sizeof(sp_run_end_t));
		worker->ended_runs = g_array_new(FALSE, TRUE, sizeof(sp_run_t));
		worker->server = net_server_new(sp, sp->loop, worker->address,
						serve, worker, &err);
		if (!worker->server) {
			fprintf(stderr, "standin-platform: %s\n", err->message);
			exit(1);
		}
		sp_worker_start(worker);
	}
}

static bool has_crashed(const sp_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const sp_run_t *run = &g_array_index(worker->runs, sp_run_t, i);

		if (run->crashes_at && run->crashes_at <= now)
			return true;
	}
	return false;
}

static void worker_tick(sp_worker_t *worker, int64_t now)
{
	guint i;

	if (worker->restart_at && now >= worker->restart_at)
		sp_worker_start(worker);
	if (has_crashed(worker, now)) {
		sp_worker_terminate(worker);
		worker->restart_at = now + DEADLY_AWAY;
		return;
	}
	if (worker_clock_us(worker) > worker->lease_end_us)
		worker->lapsed_at = now;
	for (i = worker->runs->len; i-- > 0;) {
		const sp_run_t *run = &g_array_index(worker->runs, sp_run_t, i);

		if (worker_clock_us(worker) > worker->lease_end_us) {
			add_end(worker, i, "lapsed");
		} else if (run->ends_at && run->ends_at <= now) {
			worker->sp->finished++;
			sp_record_done(worker->sp, run->task);
			add_end(worker, i, "done");
		}
	}
	if (worker->hold.exchange && (worker->unacknowledged_ends->len ||
				      now >= worker->hold.deadline_us)) {
		sp_reply_json(worker->hold.exchange, 200, report(worker));
		worker->hold.exchange = NULL;
	}
}

void sp_workers_tick(sp_t *sp, int64_t now)
{
	int i;

	for (i = 0; i < sp->n_workers; i++)
		worker_tick(&sp->workers[i], now);
}

static void serve_list(sp_t *sp, net_exchange_t *exchange)
{
	json_t *machines = json_array();
	int i;

	for (i = 0; i < sp->n_workers; i++) {
		const sp_worker_t *worker = &sp->workers[i];

		json_array_append_new(
			machines,
			json_pack("{s:s,s:s,s:s,s:s,s:s}", "machine",
				  worker->machine, "pool", worker->pool,
				  "state", worker->restart_at ? "moving" : "up",
				  "zone", "z0", "id",
				  worker->up ? worker->id : ""));
	}
	sp_reply_json(
		exchange, 200,
		json_pack("{s:o,s:n}", "machines", machines, "nextToken"));
}

/* How many instances of a wave may be in maintenance at the same time. */
static int read_wave_limit(sp_t *sp, int64_t wave)
{
	char *key = g_strdup_printf("op/wave/%d", (int)wave);
	char *text = sp_store_text(sp, key);
	json_t *root = text ? json_loads(text, 0, NULL) : NULL;
	json_int_t limit = json_integer_value(json_object_get(root, "atMost"));

	json_decref(root);
	g_free(text);
	g_free(key);
	return (int)limit;
}

/* Records the most workers in maintenance at the same time for one wave. */
static void record_maintenance(sp_worker_t *worker, int64_t wave)
{
	sp_t *sp = worker->sp;
	sp_run_t order = { .number = wave };
	int in_maintenance = 0;
	int i;

	sp->maintenance_count++;
	worker->in_maintenance = true;
	worker->wave = wave;
	for (i = 0; i < sp->n_workers; i++)
		in_maintenance += sp->workers[i].in_maintenance &&
				  sp->workers[i].wave == wave;
	sp->max_in_maintenance = MAX(sp->max_in_maintenance, in_maintenance);
	g_strlcpy(order.task, worker->machine, sizeof(order.task));
	if (in_maintenance > read_wave_limit(sp, wave))
		sp_record_violation(
			sp, "more instances in maintenance than allowed",
			&order);
}

static sp_worker_t *find_instance(sp_t *sp, const char *name)
{
	int i;

	for (i = 0; name && i < sp->n_workers; i++)
		if (!strcmp(sp->workers[i].machine, name))
			return &sp->workers[i];
	return NULL;
}

/* The platform does not check the fencing tokens of these orders. */
static void note_order(sp_worker_t *worker, int64_t token)
{
	sp_t *sp = worker->sp;

	sp->late_orders += token < worker->order_token;
	worker->order_token = MAX(worker->order_token, token);
}

/* Carries out an order for a move to "pool", or for the maintenance of a wave
 * if "pool" is NULL. */
static void apply_order(sp_worker_t *worker, const char *pool, int64_t wave,
			int64_t token)
{
	sp_t *sp = worker->sp;

	/* An order whose answer was lost is repeated; it is done already. */
	if (!pool && worker->is_order_unanswered && worker->wave == wave)
		return;
	sp_worker_terminate(worker);
	if (pool)
		g_strlcpy(worker->pool, pool, sizeof(worker->pool));
	else
		record_maintenance(worker, wave);
	/* A process that is stopped has not read the answer. */
	worker->is_order_unanswered =
		!pool && (sp->drops_order_answers ||
			  (token && token == sp->suspension.token));
	worker->restart_at = base_clock_mono() + sp->restart_delay_ms * BASE_MS;
}

static void serve_order(void *arg, net_exchange_t *exchange)
{
	sp_t *sp = arg;
	const char *path = net_exchange_path(exchange);
	base_str_t text = net_exchange_body(exchange);
	const char *header = net_exchange_header(exchange, "X-Fencing-Token");
	int64_t token = header ? strtoll(header, NULL, 10) : 0;
	sp_parked_t parked = { serve_order, sp, exchange };
	json_t *root;
	const char *pool;
	sp_worker_t *worker;

	if (sp_suspend_park(sp, &sp->suspension.at_order, token, &parked))
		return;
	root = json_loadb(text.ptr, text.len, 0, NULL);
	pool = json_string_value(json_object_get(root, "pool"));
	worker = find_instance(
		sp, json_string_value(json_object_get(root, "machine")));
	if (worker)
		note_order(worker, token);
	if (!worker || !pool == !g_str_has_suffix(path, "upkeep")) {
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
	} else if (worker->restart_at) {
		net_reply(exchange, 409, NULL, 0,
			  BASE_STR("{\"reason\":\"busy\"}"));
	} else {
		apply_order(worker, pool,
			    json_integer_value(json_object_get(root, "wave")),
			    token);
		if (!pool && sp->drops_order_answers)
			g_ptr_array_add(sp->unanswered, exchange);
		else
			net_reply(exchange, 200, NULL, 0, BASE_STR("{}"));
	}
	json_decref(root);
}

void sp_instances_serve(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	if (g_str_has_prefix(path, "/v1/machines"))
		serve_list(sp, exchange);
	else
		serve_order(sp, exchange);
}
