/*
 * An executor of the platform on loopback, as a process of its own.
 *
 *	rv-executor PLATFORM_PORT PORT ID SERVICE KIND RACK CPU MEMORY
 *
 * A task is described by its spec: "cpu=N mem=N ms=N" (thousandths of a core,
 * megabytes, milliseconds), "spread=N" (up to N ms longer, by its index), and
 * "lasts" for one that runs until it is stopped.
 * The executor prints a line for each start, end, refusal and acknowledgement:
 * "TIME ID EVENT TASK RUN DETAIL", with milliseconds since 1970.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base_clock.h"
#include "net.h"

#include <jansson.h>
#include <string.h>

#define TICK (5 * BASE_MS)
#define BEAT (1500 * BASE_MS)
#define HOLD_MAX (10 * BASE_SEC)
#define STOP_TIME (50 * BASE_MS) /* a stop takes at most 200 ms */
#define ENDS_LISTED_MAX 500
#define READY_TIME (200 * BASE_MS) /* until a task that lasts is at work */

typedef struct run {
	char task[80];
	int64_t number;
	int64_t cpu;
	int64_t memory;
	int64_t began_at;
	int64_t length;	 /* 0: until it is stopped */
	int64_t stop_at; /* 0: no stop was ordered */
} run_t;

typedef struct end {
	int64_t number;
	char task[80];
	int64_t run;
	const char *how;
} end_t;

typedef struct hold {
	net_exchange_t *exchange;
	int64_t until;
} hold_t;

typedef struct executor {
	net_loop_t *loop;
	net_client_t *platform;
	net_timer_t *tick;
	net_timer_t *beat_timer;
	const char *id, *service, *kind, *rack;
	int port;
	int64_t cpu, memory, cpu_used, memory_used;
	int64_t started_at; /* its clock begins here */
	int64_t born;	    /* milliseconds since 1970 */
	int64_t lease_end;
	int64_t fence;
	int64_t last_end;
	GArray *runs;
	GArray *ends;
	GHashTable *closed; /* task to the highest run that ended here */
	GArray *holds;	    /* of hold_t; each waits for an end */
} executor_t;

static int64_t wall_ms(void)
{
	return base_clock_wall() / BASE_MS;
}

static void record(const executor_t *executor, const char *event,
		   const char *task, int64_t run, const char *detail)
{
	printf("%lld %s %s %s %lld %s\n", (long long)wall_ms(), executor->id,
	       event, task, (long long)run, detail);
}

static int64_t clock_ms(const executor_t *executor)
{
	return (base_clock_mono() - executor->started_at) / BASE_MS;
}

static void reply(net_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	net_reply(exchange, status, NULL, 0, base_str(text));
	free(text);
	json_decref(body);
}

static void reply_short(const executor_t *executor, net_exchange_t *exchange,
			int status, const char *reason)
{
	json_t *body = json_pack("{s:I,s:I}", "clockMs",
				 (json_int_t)clock_ms(executor), "born",
				 (json_int_t)executor->born);

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	reply(exchange, status, body);
}

static int percent(const run_t *run)
{
	int64_t age = base_clock_mono() - run->began_at;

	if (!run->length)
		return age >= READY_TIME ? 100 : 0;
	return (int)MIN(100 * age / run->length, 99);
}

static void reply_lists(const executor_t *executor, net_exchange_t *exchange)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	guint i;

	for (i = 0; i < executor->runs->len; i++) {
		const run_t *run = &g_array_index(executor->runs, run_t, i);

		json_array_append_new(
			running, json_pack("[s,I,s,i,I]", run->task,
					   (json_int_t)run->number, "",
					   percent(run), (json_int_t)run->cpu));
	}
	for (i = 0; i < executor->ends->len && i < ENDS_LISTED_MAX; i++) {
		const end_t *end = &g_array_index(executor->ends, end_t, i);

		json_array_append_new(finished,
				      json_pack("[I,s,I,s,s]",
						(json_int_t)end->number,
						end->task, (json_int_t)end->run,
						end->how, ""));
	}
	reply(exchange, 200,
	      json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			(json_int_t)clock_ms(executor), "born",
			(json_int_t)executor->born, "running", running,
			"finished", finished));
}

static void close_task(executor_t *executor, const char *task, int64_t run)
{
	int64_t *highest = g_hash_table_lookup(executor->closed, task);

	if (!highest) {
		highest = g_new0(int64_t, 1);
		g_hash_table_insert(executor->closed, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void end_run(executor_t *executor, guint at, const char *how)
{
	run_t run = g_array_index(executor->runs, run_t, at);
	end_t end = { .number = ++executor->last_end,
		      .run = run.number,
		      .how = how };

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_append_val(executor->ends, end);
	g_array_remove_index_fast(executor->runs, at);
	executor->cpu_used -= run.cpu;
	executor->memory_used -= run.memory;
	close_task(executor, run.task, run.number);
	record(executor, "end", run.task, run.number, how);
}

static int64_t member(const json_t *root, const char *name)
{
	return json_integer_value(json_object_get(root, name));
}

static void extend_lease(executor_t *executor, const json_t *root)
{
	const json_t *deadline = json_object_get(root, "deadlineMs");
	int64_t now = base_clock_mono();
	int64_t until =
		executor->started_at + json_integer_value(deadline) * BASE_MS;

	if (deadline)
		executor->lease_end =
			MAX(executor->lease_end, MIN(until, now + HOLD_MAX));
}

static void forget_ends(executor_t *executor, int64_t last_seen)
{
	guint n = 0;

	while (n < executor->ends->len) {
		const end_t *end = &g_array_index(executor->ends, end_t, n);

		if (end->number > last_seen)
			break;
		record(executor, "noted", end->task, end->run, end->how);
		n++;
	}
	if (n)
		g_array_remove_range(executor->ends, 0, n);
}

/* Answers the calls whose time is over, or all if there is an end. */
static void answer_holds(executor_t *executor, int64_t now)
{
	guint i = 0;

	while (i < executor->holds->len) {
		hold_t hold = g_array_index(executor->holds, hold_t, i);

		if (!executor->ends->len && now < hold.until) {
			i++;
			continue;
		}
		g_array_remove_index(executor->holds, i);
		reply_lists(executor, hold.exchange);
	}
}

static void serve_hold(executor_t *executor, net_exchange_t *exchange,
		       const json_t *root)
{
	int64_t now = base_clock_mono();
	hold_t hold = { exchange,
			now + MIN(member(root, "waitMs"), 2000) * BASE_MS };

	forget_ends(executor, member(root, "lastSeen"));
	g_array_append_val(executor->holds, hold);
	answer_holds(executor, now);
}

static int64_t spec_number(const char *spec, const char *name)
{
	const char *at = strstr(spec, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : 0;
}

/* How long the task takes; 0: until it is stopped. */
static int64_t task_length(const char *task, const char *spec)
{
	int64_t spread = spec_number(spec, "spread=");
	const char *index = strrchr(task, '.');
	int64_t more = 0;

	if (strstr(spec, "lasts"))
		return 0;
	/* A multiplier without a common factor spreads neighbours. */
	if (spread && index)
		more = strtoll(index + 1, NULL, 10) * 7919 % spread;
	return (spec_number(spec, "ms=") + more) * BASE_MS;
}

static run_t *find_run(const executor_t *executor, const char *task)
{
	guint i;

	for (i = 0; i < executor->runs->len; i++) {
		run_t *run = &g_array_index(executor->runs, run_t, i);

		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static void serve_start(executor_t *executor, net_exchange_t *exchange,
			const json_t *root, const char *task)
{
	const char *spec = json_string_value(json_object_get(root, "spec"));
	const int64_t *closed = g_hash_table_lookup(executor->closed, task);
	const run_t *present = find_run(executor, task);
	run_t run = { .number = member(root, "run"),
		      .began_at = base_clock_mono() };
	const char *reason = NULL;

	if (present && present->number == run.number) {
		reply_short(executor, exchange, 200, NULL);
		return;
	}
	g_strlcpy(run.task, task, sizeof(run.task));
	run.cpu = spec_number(spec, "cpu=");
	run.memory = spec_number(spec, "mem=");
	run.length = task_length(task, spec);
	if ((closed && *closed >= run.number) || present)
		reason = "old";
	else if (base_clock_mono() >= executor->lease_end)
		reason = "late";
	else if (executor->cpu_used + run.cpu > executor->cpu ||
		 executor->memory_used + run.memory > executor->memory)
		reason = "room";
	if (reason) {
		record(executor, "rejected", task, run.number, reason);
		reply_short(executor, exchange, 409, reason);
		return;
	}
	executor->cpu_used += run.cpu;
	executor->memory_used += run.memory;
	g_array_append_val(executor->runs, run);
	record(executor, "start", task, run.number, "-");
	reply_short(executor, exchange, 200, NULL);
}

static void serve_stop(executor_t *executor, net_exchange_t *exchange,
		       const json_t *root, const char *task)
{
	run_t *run = find_run(executor, task);
	int64_t number = member(root, "run");

	record(executor, "stop", task, number, run ? "running" : "absent");
	if (run && run->number == number && !run->stop_at)
		run->stop_at = base_clock_mono() + STOP_TIME;
	close_task(executor, task, number);
	reply_short(executor, exchange, 200, NULL);
}

static void serve(void *arg, net_exchange_t *exchange)
{
	executor_t *executor = arg;
	const char *path = net_exchange_path(exchange);
	const char *expect = net_exchange_header(exchange, "X-Expect-Instance");
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *task = json_string_value(json_object_get(root, "task"));

	if (expect && strcmp(expect, executor->id)) {
		reply_short(executor, exchange, 421, NULL);
	} else if (!root) {
		reply_short(executor, exchange, 400, NULL);
	} else if (member(root, "fencingToken") < executor->fence) {
		reply_short(executor, exchange, 409, "fence");
	} else {
		executor->fence = member(root, "fencingToken");
		extend_lease(executor, root);
		if (!strcmp(path, "/v1/hold"))
			serve_hold(executor, exchange, root);
		else if (!strcmp(path, "/v1/run-start") && task &&
			 json_is_string(json_object_get(root, "spec")))
			serve_start(executor, exchange, root, task);
		else if (!strcmp(path, "/v1/run-stop") && task)
			serve_stop(executor, exchange, root, task);
		else if (!strcmp(path, "/v1/pace"))
			reply_short(executor, exchange, 200, NULL);
		else
			reply_short(executor, exchange, 400, NULL);
	}
	json_decref(root);
}

static void tick(void *arg)
{
	executor_t *executor = arg;
	int64_t now = base_clock_mono();
	guint i;

	for (i = executor->runs->len; i-- > 0;) {
		const run_t *run = &g_array_index(executor->runs, run_t, i);

		if (now >= executor->lease_end)
			end_run(executor, i, "lapsed");
		else if (run->length && now >= run->began_at + run->length)
			end_run(executor, i, "done");
		else if (run->stop_at && now >= run->stop_at)
			end_run(executor, i, "stopped");
	}
	answer_holds(executor, now);
	fflush(stdout);
	net_timer_start(executor->tick, TICK);
}

static void beat_answered(void *arg, const net_answer_t *answer)
{
	(void)arg;
	(void)answer;
}

static void beat(void *arg)
{
	executor_t *executor = arg;
	char *path = g_strdup_printf("/beat?key=servers/%s", executor->id);
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		"\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"coldLeftMs\":0,\"born\":%lld,"
		"\"capacity\":{\"cpu\":%lld,\"memMb\":%lld,\"gpu\":0},"
		"\"labels\":[\"%s\",\"%s\"],\"seq\":1}",
		executor->service, executor->port, (long long)executor->born,
		(long long)executor->cpu, (long long)executor->memory,
		executor->kind, executor->rack);
	net_request_t request = { .method = NET_POST,
				  .path = path,
				  .body = base_str(text),
				  .timeout = BASE_SEC };

	net_call(executor->platform, &request, beat_answered, executor);
	net_timer_start(executor->beat_timer, BEAT);
	g_free(path);
	g_free(text);
}

static void terminate(void *arg, int signo)
{
	(void)signo;
	net_loop_stop(arg);
}

int main(int argc, char **argv)
{
	executor_t *executor = talloc_zero(NULL, executor_t);
	net_client_options_t client = { .connections = 1 };
	GError *err = NULL;
	char address[32];
	char platform[32];

	if (argc != 9)
		return 2;
	executor->loop = net_loop_new(executor);
	g_snprintf(platform, sizeof(platform), "127.0.0.1:%s", argv[1]);
	executor->port = (int)strtol(argv[2], NULL, 10);
	executor->id = argv[3];
	executor->service = argv[4];
	executor->kind = argv[5];
	executor->rack = argv[6];
	executor->cpu = strtoll(argv[7], NULL, 10);
	executor->memory = strtoll(argv[8], NULL, 10);
	executor->started_at = base_clock_mono();
	executor->born = wall_ms();
	executor->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	executor->ends = g_array_new(FALSE, TRUE, sizeof(end_t));
	executor->holds = g_array_new(FALSE, TRUE, sizeof(hold_t));
	executor->closed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	client.loop = executor->loop;
	client.address = platform;
	executor->platform = net_client_new(executor, &client);
	g_snprintf(address, sizeof(address), "127.0.0.1:%s", argv[2]);
	if (!executor->platform ||
	    !net_server_new(executor, executor->loop, address, serve, executor,
			    &err)) {
		fprintf(stderr, "rv-executor: cannot listen\n");
		return 2;
	}
	executor->tick =
		net_timer_new(executor, executor->loop, tick, executor);
	executor->beat_timer =
		net_timer_new(executor, executor->loop, beat, executor);
	net_loop_signal(executor->loop, SIGTERM, terminate, executor->loop);
	record(executor, "born", "-", 0, "-");
	tick(executor);
	beat(executor);
	net_loop_run(executor->loop);
	return 0;
}
