#include <stdlib.h>

#include "r2.h"

#define HEARTBEAT (1500 * BASE_MS)
#define SILENCE_MAX (3 * HEARTBEAT) /* then the entry is removed */
#define CAPACITY_CPU 16000
#define HOLD_MAX_MS 6000
#define GANG_TIMEOUT (3 * BASE_SEC)
#define ENDS_LISTED_MAX 500
#define LASTS_AT_WORK_AFTER (300 * BASE_MS)
#define DEFAULT_WORK_MS 300

static void serve(void *arg, net_exchange_t *exchange);

static int64_t clock_ms(const r2_worker_t *worker)
{
	return (base_clock_mono() - worker->started_at) / BASE_MS;
}

static void write_entry(r2_worker_t *worker)
{
	char *key = g_strdup_printf("servers/%s", worker->id);
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%d\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
		"\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":65536,"
		"\"gpu\":0},\"labels\":[\"%c\",\"r%d\"],\"seq\":%lld,"
		"\"born\":%lld}",
		worker->pool, worker->address, worker->index % 3,
		worker->draining ? "draining" : "ready", CAPACITY_CPU,
		worker->kind, worker->index / 4, (long long)++worker->seq,
		(long long)worker->born_ms);

	sp_store_put(&worker->r2->sp, key, text);
	worker->heartbeat_at = base_clock_mono();
	g_free(text);
	g_free(key);
}

static void remove_entry(r2_worker_t *worker, const char *id)
{
	char *key = g_strdup_printf("servers/%s", id);

	sp_store_delete(&worker->r2->sp, key);
	g_free(key);
}

/* Begins a life of the worker; one in the spare pool is off. */
static void start(r2_worker_t *worker, bool same_id)
{
	GError *err = NULL;

	if (!same_id)
		g_snprintf(worker->id, sizeof(worker->id), "i-%d-%d",
			   worker->index, ++worker->n_lives);
	worker->state = "up";
	worker->kind = worker->next_kind;
	worker->restart_at = 0;
	worker->started_at = base_clock_mono();
	worker->born_ms = base_clock_wall() / BASE_MS;
	worker->lease_end_ms = 0;
	worker->token = 0;
	worker->next_end = 1;
	worker->seq = 0;
	worker->up = strcmp(worker->pool, "spare") != 0;
	if (!worker->up)
		return;
	worker->server = net_server_new(worker->r2, worker->r2->sp.loop,
					worker->address, serve, worker, &err);
	if (!worker->server) {
		fprintf(stderr, "standin-review: %s\n", err->message);
		exit(2);
	}
	write_entry(worker);
	r2_note(worker->r2, "worker %s of pool %s is up, of kind %c",
		worker->id, worker->pool, worker->kind);
}

void r2_workers_begin(r2_t *r2, int port)
{
	int i;

	for (i = 0; i < r2->n_workers; i++) {
		r2_worker_t *worker = &r2->workers[i];

		worker->r2 = r2;
		worker->index = i;
		g_snprintf(worker->machine, sizeof(worker->machine), "m-%d", i);
		g_snprintf(worker->pool, sizeof(worker->pool), "%s",
			   i >= r2->n_workers - r2->n_spare ? "spare" : "desk");
		g_snprintf(worker->address, sizeof(worker->address),
			   "127.0.0.1:%d", port + i);
		worker->next_kind = 'a';
		worker->runs = g_array_new(FALSE, TRUE, sizeof(r2_run_t));
		worker->ends = g_array_new(FALSE, TRUE, sizeof(r2_end_t));
		worker->closed = g_array_new(FALSE, TRUE, sizeof(r2_run_t));
		start(worker, false);
	}
}

static r2_run_t *run_at(const r2_worker_t *worker, guint i)
{
	return &g_array_index(worker->runs, r2_run_t, i);
}

static json_t *report(const r2_worker_t *worker)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const r2_run_t *run = run_at(worker, i);
		int64_t percent =
			run->lasts ? 100 * run->worked / LASTS_AT_WORK_AFTER
				   : 100 * run->worked / run->work;

		json_array_append_new(
			running,
			json_pack(
				"[s,I,s,I,I]", run->task,
				(json_int_t)run->number, "",
				(json_int_t)MIN(percent, run->lasts ? 100 : 99),
				(json_int_t)run->cpu));
	}
	for (i = 0; i < MIN(worker->ends->len, ENDS_LISTED_MAX); i++) {
		const r2_end_t *end = &g_array_index(worker->ends, r2_end_t, i);

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)end->number,
				  end->run.task, (json_int_t)end->run.number,
				  end->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)clock_ms(worker), "born",
			 (json_int_t)worker->born_ms, "running", running,
			 "finished", finished);
}

static void answer(const r2_worker_t *worker, net_exchange_t *exchange,
		   const char *reason)
{
	json_t *body =
		json_pack("{s:I}", "clockMs", (json_int_t)clock_ms(worker));

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	sp_reply_json(exchange, reason ? 409 : 200, body);
}

static void break_gang(r2_t *r2, const r2_run_t *run);

static void end_run(r2_worker_t *worker, guint at, const char *how)
{
	r2_t *r2 = worker->r2;
	r2_run_t run = *run_at(worker, at);
	r2_end_t end = { worker->next_end++, run, how, base_clock_mono() };

	g_array_append_val(worker->ends, end);
	g_array_append_val(worker->closed, run);
	g_array_remove_index(worker->runs, at);
	r2->n_done += !strcmp(how, "done");
	r2->n_failed += !strcmp(how, "failed");
	r2->n_alone += !strcmp(how, "alone");
	if (!run.quiet)
		r2_note(r2, "end %lld on %s: task %s run %lld %s",
			(long long)end.number, worker->id, run.task,
			(long long)run.number, how);
	if (run.gang && strcmp(how, "done") != 0)
		break_gang(r2, &run);
}

static bool is_same_gang(const r2_run_t *a, const r2_run_t *b)
{
	return a->gang && a->number == b->number && !strcmp(a->step, b->step);
}

static void break_gang(r2_t *r2, const r2_run_t *run)
{
	int i;
	guint j;

	for (i = 0; i < r2->n_workers; i++)
		for (j = r2->workers[i].runs->len; j-- > 0;)
			if (j < r2->workers[i].runs->len &&
			    is_same_gang(run_at(&r2->workers[i], j), run))
				end_run(&r2->workers[i], j, "broken");
}

static int count_members(const r2_t *r2, const r2_run_t *run)
{
	int n = 0;
	int i;
	guint j;

	for (i = 0; i < r2->n_workers; i++)
		for (j = 0; j < r2->workers[i].runs->len; j++)
			n += is_same_gang(run_at(&r2->workers[i], j), run);
	return n;
}

/* Everything on the worker ends without a trace. */
static void stop_process(r2_worker_t *worker, const char *why)
{
	r2_t *r2 = worker->r2;

	r2_note(r2, "worker %s ends (%s) with %u runs", worker->id, why,
		worker->runs->len);
	worker->up = false;
	worker->hold = NULL;
	talloc_free(worker->server);
	worker->server = NULL;
	while (worker->runs->len) {
		r2_run_t run = *run_at(worker, 0);

		g_array_remove_index(worker->runs, 0);
		r2->n_lost++;
		if (run.gang)
			break_gang(r2, &run);
	}
	g_array_set_size(worker->ends, 0);
	g_array_set_size(worker->closed, 0);
}

void r2_worker_crash(r2_worker_t *worker, int64_t back, bool same)
{
	int64_t now = base_clock_mono();

	stop_process(worker, "crash");
	worker->state = "down";
	worker->restart_at = now + back;
	worker->restarts_same = same;
	g_strlcpy(worker->former_id, worker->id, sizeof(worker->former_id));
	worker->former_until = worker->heartbeat_at + SILENCE_MAX;
}

void r2_worker_drain(r2_worker_t *worker, int64_t time)
{
	r2_note(worker->r2, "worker %s drains", worker->id);
	worker->draining = true;
	worker->leaves_at = base_clock_mono() + time;
	write_entry(worker);
}

static void leave(r2_worker_t *worker)
{
	remove_entry(worker, worker->id);
	stop_process(worker, "it has drained and leaves");
	worker->leaves_at = 0;
	worker->gone = true;
}

void r2_worker_order(r2_worker_t *worker, const char *pool, int64_t back,
		     const char *state)
{
	if (worker->up) {
		remove_entry(worker, worker->id);
		stop_process(worker, "order");
	}
	g_strlcpy(worker->pool, pool, sizeof(worker->pool));
	worker->state = state;
	worker->restart_at = base_clock_mono() + back;
	worker->restarts_same = false;
}

static void break_rule(r2_t *r2, const r2_run_t *run, const char *what)
{
	if (!r2->twice++)
		g_snprintf(r2->first, sizeof(r2->first), "task %s run %d: %s",
			   run->task, (int)run->number, what);
	r2_note(r2, "TWICE: task %s run %lld: %s", run->task,
		(long long)run->number, what);
}

/* The end "done" of a run is taken note of. */
static void note_done(r2_worker_t *worker, const r2_end_t *end)
{
	r2_t *r2 = worker->r2;
	const int64_t *last = g_hash_table_lookup(r2->started, end->run.task);

	/* Not if the lease lapsed between the two. */
	if (worker->lapsed_at > end->at)
		return;
	if (last && *last > end->at)
		break_rule(r2, &end->run,
			   "had started again before its end, done, was taken "
			   "note of");
	g_hash_table_add(r2->done, g_strdup(end->run.task));
}

/* Ends up to "seen" are forgotten. */
static void forget_ends(r2_worker_t *worker, int64_t seen)
{
	while (worker->ends->len) {
		const r2_end_t *end = &g_array_index(worker->ends, r2_end_t, 0);

		if (end->number > seen)
			return;
		if (!strcmp(end->how, "done"))
			note_done(worker, end);
		g_array_remove_index(worker->ends, 0);
	}
}

static void check_start(r2_t *r2, const r2_run_t *run)
{
	int i;
	guint j;

	if (g_hash_table_contains(r2->done, run->task))
		break_rule(r2, run,
			   "starts after a run has ended done, which "
			   "was taken note of");
	for (i = 0; i < r2->n_workers; i++)
		for (j = 0; j < r2->workers[i].runs->len; j++)
			if (!strcmp(run_at(&r2->workers[i], j)->task,
				    run->task))
				break_rule(r2, run,
					   "starts while another run of it is "
					   "at work");
}

static void check_kind(r2_worker_t *worker, const r2_run_t *run)
{
	if (!run->kind || run->kind == worker->kind)
		return;
	worker->r2->route++;
	r2_note(worker->r2,
		"ROUTE: task %s run %lld requires kind %c, executor %s is of "
		"kind %c",
		run->task, (long long)run->number, run->kind, worker->id,
		worker->kind);
}

static int64_t shape_of(const char *spec, const char *name, int64_t fallback)
{
	const char *at = strstr(spec, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : fallback;
}

static void read_run(const json_t *root, r2_run_t *run)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	const char *spec = json_string_value(json_object_get(root, "spec"));
	char *dot;

	memset(run, 0, sizeof(*run));
	g_strlcpy(run->task, task ? task : "", sizeof(run->task));
	g_strlcpy(run->step, run->task, sizeof(run->step));
	dot = strrchr(run->step, '.');
	if (dot)
		*dot = '\0';
	run->number = json_integer_value(json_object_get(root, "run"));
	spec = spec ? spec : "";
	run->cpu = shape_of(spec, "cpu=", 1000);
	run->work = shape_of(spec, "ms=", DEFAULT_WORK_MS) * BASE_MS;
	run->gang = (int)shape_of(spec, "gang=", 0);
	run->lasts = strstr(spec, "lasts") != NULL;
	run->kind = strstr(spec, "kind=") ? strstr(spec, "kind=")[5] : 0;
	run->quiet = strstr(spec, "quiet") != NULL;
	run->started_at = base_clock_mono();
}

static bool is_closed(const r2_worker_t *worker, const r2_run_t *run)
{
	guint i;

	for (i = 0; i < worker->closed->len; i++) {
		const r2_run_t *other =
			&g_array_index(worker->closed, r2_run_t, i);

		if (!strcmp(other->task, run->task) &&
		    other->number >= run->number)
			return true;
	}
	return false;
}

/* Why the start is refused; NULL: it is not. */
static const char *refusal(const r2_worker_t *worker, const r2_run_t *run,
			   int64_t deadline_ms)
{
	int64_t used = run->cpu;
	guint i;

	if (is_closed(worker, run))
		return "old";
	if (deadline_ms <= clock_ms(worker))
		return "late";
	for (i = 0; i < worker->runs->len; i++)
		used += run_at(worker, i)->cpu;
	return used > CAPACITY_CPU ? "room" : NULL;
}

static void serve_start(r2_worker_t *worker, net_exchange_t *exchange,
			const json_t *root)
{
	r2_t *r2 = worker->r2;
	const char *reason;
	r2_run_t run;
	guint i;

	read_run(root, &run);
	for (i = 0; i < worker->runs->len; i++)
		if (!strcmp(run_at(worker, i)->task, run.task) &&
		    run_at(worker, i)->number == run.number) {
			answer(worker, exchange, NULL);
			return;
		}
	reason = refusal(
		worker, &run,
		json_integer_value(json_object_get(root, "deadlineMs")));
	if (!run.quiet)
		r2_note(r2, "start on %s by token %lld: task %s run %lld%s%s",
			worker->id, (long long)worker->token, run.task,
			(long long)run.number, reason ? " refused: " : "",
			reason ? reason : "");
	if (!reason) {
		check_start(r2, &run);
		check_kind(worker, &run);
		g_hash_table_replace(
			r2->started, g_strdup(run.task),
			g_memdup2(&run.started_at, sizeof(run.started_at)));
		r2->starts++;
		g_array_append_val(worker->runs, run);
	}
	answer(worker, exchange, reason);
}

static void serve_stop(r2_worker_t *worker, net_exchange_t *exchange,
		       const json_t *root)
{
	r2_run_t run;
	guint i;

	read_run(root, &run);
	r2_note(worker->r2, "stop on %s: task %s run %lld", worker->id,
		run.task, (long long)run.number);
	for (i = worker->runs->len; i-- > 0;)
		if (i < worker->runs->len &&
		    !strcmp(run_at(worker, i)->task, run.task) &&
		    run_at(worker, i)->number == run.number)
			end_run(worker, i, "stopped");
	g_array_append_val(worker->closed, run);
	answer(worker, exchange, NULL);
}

static void answer_hold(r2_worker_t *worker)
{
	net_exchange_t *exchange = worker->hold;

	worker->hold = NULL;
	sp_reply_json(exchange, 200, report(worker));
}

static void serve_hold(r2_worker_t *worker, net_exchange_t *exchange,
		       const json_t *root)
{
	if (worker->hold)
		answer_hold(worker);
	forget_ends(worker,
		    json_integer_value(json_object_get(root, "lastSeen")));
	worker->hold = exchange;
	worker->hold_until =
		base_clock_mono() +
		json_integer_value(json_object_get(root, "waitMs")) * BASE_MS;
}

/* Carries out an order; without an exchange nobody gets the answer. */
static void apply(r2_worker_t *worker, net_exchange_t *exchange,
		  const char *path, const json_t *root)
{
	int64_t token =
		json_integer_value(json_object_get(root, "fencingToken"));
	int64_t deadline =
		json_integer_value(json_object_get(root, "deadlineMs"));

	if (token < worker->token) {
		answer(worker, exchange, "fence");
		return;
	}
	worker->token = token;
	worker->lease_end_ms =
		MAX(worker->lease_end_ms,
		    MIN(deadline, clock_ms(worker) + HOLD_MAX_MS));
	if (!strcmp(path, "/v1/hold"))
		serve_hold(worker, exchange, root);
	else if (!strcmp(path, "/v1/run-start"))
		serve_start(worker, exchange, root);
	else if (!strcmp(path, "/v1/run-stop"))
		serve_stop(worker, exchange, root);
	else
		answer(worker, exchange, NULL);
}

/* Keeps the start for later if it is the one that is to be late. */
static bool make_late(r2_worker_t *worker, net_exchange_t *exchange,
		      const char *path, const json_t *root)
{
	r2_t *r2 = worker->r2;
	const char *task = json_string_value(json_object_get(root, "task"));
	base_str_t text = net_exchange_body(exchange);
	r2_late_t late = { .due_at = base_clock_mono() + r2->late_by };

	if (!*r2->late_task || strcmp(path, "/v1/run-start") || !task ||
	    !g_str_has_prefix(task, r2->late_task))
		return false;
	r2_note(r2, "start on %s gets no answer: task %s run %d", worker->id,
		task, (int)json_integer_value(json_object_get(root, "run")));
	*r2->late_task = '\0';
	g_strlcpy(late.id, worker->id, sizeof(late.id));
	late.body = g_strndup(text.ptr, text.len);
	g_array_append_val(r2->lates, late);
	return true;
}

static void serve(void *arg, net_exchange_t *exchange)
{
	r2_worker_t *worker = arg;
	char *path = g_strdup(net_exchange_path(exchange));
	const char *expect = net_exchange_header(exchange, "X-Expect-Instance");
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);

	if (expect && strcmp(expect, worker->id) != 0)
		net_reply(exchange, 421, NULL, 0, BASE_STR(""));
	else if (!make_late(worker, exchange, path, root))
		apply(worker, exchange, path, root);
	json_decref(root);
	g_free(path);
}

static r2_worker_t *find_worker(r2_t *r2, const char *id)
{
	int i;

	for (i = 0; i < r2->n_workers; i++)
		if (r2->workers[i].up && !strcmp(r2->workers[i].id, id))
			return &r2->workers[i];
	return NULL;
}

static void apply_lates(r2_t *r2, int64_t now)
{
	guint i;

	for (i = r2->lates->len; i-- > 0;) {
		r2_late_t late = g_array_index(r2->lates, r2_late_t, i);
		r2_worker_t *worker = find_worker(r2, late.id);
		json_t *root;

		if (now < late.due_at)
			continue;
		g_array_remove_index(r2->lates, i);
		root = json_loads(late.body, 0, NULL);
		r2_note(r2, "the late start reaches %s%s", late.id,
			worker ? "" : ", which is down");
		if (worker)
			apply(worker, NULL, "/v1/run-start", root);
		json_decref(root);
		g_free(late.body);
	}
}

static void work(r2_worker_t *worker, int64_t now)
{
	guint i;

	if (clock_ms(worker) > worker->lease_end_ms)
		worker->lapsed_at = now;
	for (i = worker->runs->len; i-- > 0;) {
		r2_run_t *run;

		if (i >= worker->runs->len)
			continue;
		run = run_at(worker, i);
		if (clock_ms(worker) > worker->lease_end_ms) {
			end_run(worker, i, "lapsed");
			continue;
		}
		if (run->gang && count_members(worker->r2, run) < run->gang) {
			if (!run->worked &&
			    now - run->started_at > GANG_TIMEOUT)
				end_run(worker, i, "alone");
			continue;
		}
		run->worked += 10 * BASE_MS;
		if (!run->lasts && run->worked >= run->work)
			end_run(worker, i, "done");
	}
}

static void worker_tick(r2_worker_t *worker, int64_t now)
{
	if (worker->former_until && now > worker->former_until &&
	    !(worker->up && !strcmp(worker->id, worker->former_id)))
		remove_entry(worker, worker->former_id);
	if (now > worker->former_until)
		worker->former_until = 0;
	if (worker->restart_at && now >= worker->restart_at)
		start(worker, worker->restarts_same);
	if (worker->leaves_at && now >= worker->leaves_at)
		leave(worker);
	if (!worker->up)
		return;
	if (now - worker->heartbeat_at > HEARTBEAT)
		write_entry(worker);
	work(worker, now);
	if (worker->hold && (worker->ends->len || now >= worker->hold_until))
		answer_hold(worker);
}

void r2_workers_tick(r2_t *r2, int64_t now)
{
	int i;

	for (i = 0; i < r2->n_workers; i++)
		worker_tick(&r2->workers[i], now);
	apply_lates(r2, now);
}
