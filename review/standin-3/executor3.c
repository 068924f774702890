/*
 * executor3 - one executor of the users' platform as a process of its own, so
 * that a test can crash it with SIGKILL; with --machines, the platform's list
 * of machines and the service for advice instead.
 *
 *   executor3 --port=PORT --id=ID --log=FILE --cpu=N --memory=N [--save=MS]
 *   executor3 --port=PORT --machines=FILE [--decision=MS --period=MS
 * --log=FILE]
 *
 * A task's spec says what it takes and how it ends: "ms=MS;cpu=N;mem=N".
 * A task whose spec has "advised" needs the ticket of its executor.
 * Every start and end is a line of the log: seconds, executor, what, task, run.
 */
#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "net.h"

#define TICK (5 * BASE_MS)
#define ENDS_LISTED_MAX 500
#define ADVICE_VALIDITY 10000 /* milliseconds */
#define CLOCK_START 1000      /* milliseconds on the clock of a new process */

typedef struct run {
	char task[48];
	int64_t number;
	int64_t started_at;
	int64_t ends_at;
	int cpu;
	int memory;
	uint64_t saved;
} run_t;

typedef struct run_end {
	int64_t number;
	char task[48];
	int64_t run;
	const char *how;
	uint64_t saved;
} run_end_t;

typedef struct executor {
	net_loop_t *loop;
	net_timer_t *tick;
	const char *id;
	const char *machines_file; /* NULL: it is an executor */
	FILE *log;
	int64_t started_at;
	int64_t born;
	int64_t lease_end; /* milliseconds on its own clock */
	int64_t token;
	int64_t longest_lease; /* milliseconds */
	int64_t save_every;    /* microseconds; 0: it saves nothing */
	int cpu;
	int memory;
	int used_cpu;
	int used_memory;
	int64_t next_end;
	GHashTable *runs;     /* by task and run */
	GHashTable *highest;  /* task to the highest run stopped or ended */
	GQueue ends;	      /* run_end_t, not forgotten yet */
	net_exchange_t *hold; /* that waits; NULL: none */
	int64_t hold_until;
	uint64_t saves;
	int64_t decision;      /* microseconds of an advice, */
	int64_t period;	       /* and for each executor in it */
	int64_t advised_until; /* one call at a time */
} executor_t;

/* A call for advice that waits for its turn or its answer. */
typedef struct advice {
	executor_t *self;
	net_exchange_t *exchange;
	net_timer_t *timer;
	json_t *good;
} advice_t;

static int64_t clock_ms(const executor_t *self)
{
	return CLOCK_START + (base_clock_mono() - self->started_at) / BASE_MS;
}

static void note(const executor_t *self, const char *what, const char *task,
		 int64_t run)
{
	fprintf(self->log, "%.3f %s %s %s %lld\n",
		(double)base_clock_wall() / BASE_SEC, self->id, what, task,
		(long long)run);
	fflush(self->log);
}

static char *run_key(const char *task, int64_t number)
{
	return g_strdup_printf("%s/%lld", task, (long long)number);
}

static int64_t highest_of(const executor_t *self, const char *task)
{
	const int64_t *number = g_hash_table_lookup(self->highest, task);

	return number ? *number : 0;
}

static void set_highest(executor_t *self, const char *task, int64_t number)
{
	if (number > highest_of(self, task))
		g_hash_table_replace(self->highest, g_strdup(task),
				     g_memdup2(&number, sizeof(number)));
}

static int spec_number(const char *spec, const char *name, int fallback)
{
	const char *at = spec ? strstr(spec, name) : NULL;

	return at ? (int)strtol(at + strlen(name), NULL, 10) : fallback;
}

/* The caller removes the run from the table. */
static void end_run(executor_t *self, const run_t *run, const char *how)
{
	run_end_t *end = g_new0(run_end_t, 1);

	end->number = self->next_end++;
	g_strlcpy(end->task, run->task, sizeof(end->task));
	end->run = run->number;
	end->how = how;
	end->saved = run->saved;
	g_queue_push_tail(&self->ends, end);
	set_highest(self, run->task, run->number);
	self->used_cpu -= run->cpu;
	self->used_memory -= run->memory;
	note(self, how, run->task, run->number);
}

static void reply_json(net_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	net_reply(exchange, status, NULL, 0, base_str(text));
	free(text);
	json_decref(body);
}

static json_t *saved_json(uint64_t saved)
{
	char text[24] = "";

	if (saved)
		g_snprintf(text, sizeof(text), "%016llx",
			   (unsigned long long)saved);
	return json_string(text);
}

static int percent_of(const run_t *run, int64_t now)
{
	int64_t length = MAX(run->ends_at - run->started_at, 1);

	return (int)CLAMP(100 * (now - run->started_at) / length, 0, 99);
}

static json_t *print_lists(const executor_t *self)
{
	int64_t now = base_clock_mono();
	json_t *running = json_array();
	json_t *finished = json_array();
	GHashTableIter iter;
	gpointer value;
	const GList *link;
	int n = 0;

	g_hash_table_iter_init(&iter, self->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const run_t *run = value;

		json_array_append_new(
			running, json_pack("[s,I,o,i,i]", run->task,
					   (json_int_t)run->number,
					   saved_json(run->saved),
					   percent_of(run, now), run->cpu));
	}
	for (link = self->ends.head; link && n < ENDS_LISTED_MAX;
	     link = link->next, n++) {
		const run_end_t *end = link->data;

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,o]", (json_int_t)end->number,
				  end->task, (json_int_t)end->run, end->how,
				  saved_json(end->saved)));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)clock_ms(self), "born",
			 (json_int_t)self->born, "running", running, "finished",
			 finished);
}

static void answer(const executor_t *self, net_exchange_t *exchange, int status,
		   const char *reason)
{
	json_t *body =
		json_pack("{s:I}", "clockMs", (json_int_t)clock_ms(self));

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	reply_json(exchange, status, body);
}

static void answer_hold(executor_t *self)
{
	net_exchange_t *exchange = self->hold;

	self->hold = NULL;
	if (exchange)
		reply_json(exchange, 200, print_lists(self));
}

static void serve_hold(executor_t *self, net_exchange_t *exchange,
		       const json_t *root)
{
	int64_t last = json_integer_value(json_object_get(root, "lastSeen"));
	int64_t wait = json_integer_value(json_object_get(root, "waitMs"));

	while (self->ends.head &&
	       ((run_end_t *)self->ends.head->data)->number <= last)
		g_free(g_queue_pop_head(&self->ends));
	answer_hold(self);
	self->hold = exchange;
	self->hold_until = base_clock_mono() + MIN(wait, 2000) * BASE_MS;
	if (!wait || self->ends.head)
		answer_hold(self);
}

static bool has_ticket(const executor_t *self, const json_t *root,
		       const char *spec)
{
	const char *ticket = json_string_value(json_object_get(root, "ticket"));

	return !strstr(spec, "advised") ||
	       (ticket && g_str_has_prefix(ticket, "t-") &&
		!strcmp(ticket + 2, self->id));
}

static void serve_start(executor_t *self, net_exchange_t *exchange,
			const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	const char *spec = json_string_value(json_object_get(root, "spec"));
	int64_t number = json_integer_value(json_object_get(root, "run"));
	int64_t now = base_clock_mono();
	char *key;
	run_t *run;

	if (!task || !spec || number < 1) {
		answer(self, exchange, 400, NULL);
		return;
	}
	key = run_key(task, number);
	if (g_hash_table_contains(self->runs, key)) {
		answer(self, exchange, 200, NULL);
		g_free(key);
		return;
	}
	run = g_new0(run_t, 1);
	g_strlcpy(run->task, task, sizeof(run->task));
	run->number = number;
	run->cpu = spec_number(spec, "cpu=", 1000);
	run->memory = spec_number(spec, "mem=", 64);
	run->started_at = now;
	run->ends_at = now + spec_number(spec, "ms=", 500) * BASE_MS;
	if (!has_ticket(self, root, spec)) {
		answer(self, exchange, 409, "ticket");
	} else if (number <= highest_of(self, task)) {
		answer(self, exchange, 409, "old");
	} else if (clock_ms(self) > self->lease_end) {
		answer(self, exchange, 409, "late");
	} else if (self->used_cpu + run->cpu > self->cpu ||
		   self->used_memory + run->memory > self->memory) {
		answer(self, exchange, 409, "room");
	} else {
		self->used_cpu += run->cpu;
		self->used_memory += run->memory;
		g_hash_table_insert(self->runs, key, run);
		note(self, "start", task, number);
		answer(self, exchange, 200, NULL);
		return;
	}
	g_free(run);
	g_free(key);
}

static void serve_stop(executor_t *self, net_exchange_t *exchange,
		       const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	int64_t number = json_integer_value(json_object_get(root, "run"));
	char *key = run_key(task ? task : "", number);
	const run_t *run = g_hash_table_lookup(self->runs, key);

	if (run) {
		end_run(self, run, "stopped");
		g_hash_table_remove(self->runs, key);
	}
	if (task)
		set_highest(self, task, number);
	g_free(key);
	answer(self, exchange, 200, NULL);
}

static void give_advice(void *arg)
{
	advice_t *advice = arg;

	note(advice->self, "advice-answered", "-",
	     (int64_t)json_array_size(advice->good));
	reply_json(advice->exchange, 200,
		   json_pack("{s:o,s:i}", "good", advice->good, "validityMs",
			     ADVICE_VALIDITY));
	talloc_free(advice);
}

/* The policy allows each executor; the calls of a machine are served in turn.
 */
static void serve_advice(executor_t *self, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const json_t *workers = json_object_get(root, "workers");
	int64_t now = base_clock_mono();
	advice_t *advice = talloc_zero(self->loop, advice_t);
	size_t i;

	advice->self = self;
	advice->exchange = exchange;
	advice->good = json_array();
	for (i = 0; i < json_array_size(workers); i++) {
		const char *id = json_string_value(json_array_get(workers, i));

		json_array_append_new(advice->good,
				      json_pack("[s,s+]", id, "t-", id));
	}
	self->advised_until = MAX(self->advised_until, now) + self->decision +
			      (int64_t)i * self->period;
	note(self, "advice-asked",
	     json_string_value(json_object_get(root, "step")), (int64_t)i);
	advice->timer = net_timer_new(advice, self->loop, give_advice, advice);
	net_timer_start(advice->timer, self->advised_until - now);
	json_decref(root);
}

static void serve_machines(executor_t *self, net_exchange_t *exchange)
{
	char *text = NULL;

	if (!strcmp(net_exchange_path(exchange), "/v1/advise")) {
		serve_advice(self, exchange);
		return;
	}

	if (net_exchange_method(exchange) != NET_GET ||
	    !g_file_get_contents(self->machines_file, &text, NULL, NULL)) {
		net_reply(exchange, 503, NULL, 0, BASE_STR(""));
		return;
	}
	net_reply(exchange, 200, NULL, 0, base_str(text));
	g_free(text);
}

static void extend_lease(executor_t *self, const json_t *root)
{
	int64_t lease = json_integer_value(json_object_get(root, "deadlineMs"));

	lease = MIN(lease, clock_ms(self) + self->longest_lease);
	self->lease_end = MAX(self->lease_end, lease);
}

static void serve_call(executor_t *self, net_exchange_t *exchange,
		       const json_t *root)
{
	const char *path = net_exchange_path(exchange);
	int64_t token =
		json_integer_value(json_object_get(root, "fencingToken"));

	if (token < self->token) {
		answer(self, exchange, 409, "fence");
		return;
	}
	self->token = token;
	extend_lease(self, root);
	if (!strcmp(path, "/v1/hold"))
		serve_hold(self, exchange, root);
	else if (!strcmp(path, "/v1/run-start"))
		serve_start(self, exchange, root);
	else if (!strcmp(path, "/v1/run-stop"))
		serve_stop(self, exchange, root);
	else if (!strcmp(path, "/v1/pace"))
		answer(self, exchange, 200, NULL);
	else
		answer(self, exchange, 400, NULL);
}

static void serve(void *arg, net_exchange_t *exchange)
{
	executor_t *self = arg;
	const char *expect = net_exchange_header(exchange, "X-Expect-Instance");
	base_str_t text = net_exchange_body(exchange);
	json_t *root;

	if (self->machines_file) {
		serve_machines(self, exchange);
		return;
	}
	if (expect && strcmp(expect, self->id)) {
		net_reply(exchange, 421, NULL, 0, BASE_STR(""));
		return;
	}
	root = json_loadb(text.ptr, text.len, 0, NULL);
	if (json_is_object(root))
		serve_call(self, exchange, root);
	else
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
	json_decref(root);
}

static void tick(void *arg)
{
	executor_t *self = arg;
	int64_t now = base_clock_mono();
	bool has_lapsed = clock_ms(self) > self->lease_end;
	GHashTableIter iter;
	gpointer value;

	net_timer_start(self->tick, TICK);
	g_hash_table_iter_init(&iter, self->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		if (self->save_every &&
		    now - run->started_at > self->save_every)
			run->saved = run->saved ? run->saved : ++self->saves;
		if (!has_lapsed && now < run->ends_at)
			continue;
		end_run(self, run, has_lapsed ? "lapsed" : "done");
		g_hash_table_iter_remove(&iter);
	}
	if (self->hold && (self->ends.head || now >= self->hold_until))
		answer_hold(self);
}

static void terminate(void *arg, int signo)
{
	executor_t *self = arg;

	(void)signo;
	net_loop_stop(self->loop);
}

static int run_executor(executor_t *self, int port)
{
	char address[32];
	GError *err = NULL;

	self->loop = net_loop_new(NULL);
	self->started_at = base_clock_mono();
	self->born = base_clock_wall() / BASE_MS;
	self->next_end = 1;
	self->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	self->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&self->ends);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	if (!net_server_new(self->loop, self->loop, address, serve, self,
			    &err)) {
		fprintf(stderr, "executor3: %s\n", err->message);
		g_error_free(err);
		return 2;
	}
	self->tick = net_timer_new(self->loop, self->loop, tick, self);
	net_loop_signal(self->loop, SIGTERM, terminate, self);
	if (!self->machines_file) {
		note(self, "begins", "-", 0);
		tick(self);
	}
	net_loop_run(self->loop);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "PORT", "its port");
	struct arg_str *id = arg_str0(NULL, "id", "ID", "its id");
	struct arg_file *log = arg_file0(NULL, "log", "FILE", "what it ran");
	struct arg_int *cpu = arg_int0(NULL, "cpu", "N", "capacity (64000)");
	struct arg_int *memory =
		arg_int0(NULL, "memory", "MB", "capacity (262144)");
	struct arg_int *save =
		arg_int0(NULL, "save", "MS", "a task saves after this time");
	struct arg_file *machines =
		arg_file0(NULL, "machines", "FILE", "serves this list instead");
	struct arg_int *decision =
		arg_int0(NULL, "decision", "MS", "of an advice");
	struct arg_int *period =
		arg_int0(NULL, "period", "MS", "for each executor in it");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, id,	  log,	    cpu,    memory,
			  save, machines, decision, period, end };
	executor_t self = { .cpu = 64000,
			    .memory = 262144,
			    .longest_lease = 10000,
			    .log = stdout };

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "executor3");
		return 2;
	}
	self.id = id->count ? id->sval[0] : "service";
	self.machines_file = machines->count ? machines->filename[0] : NULL;
	if (cpu->count)
		self.cpu = cpu->ival[0];
	if (memory->count)
		self.memory = memory->ival[0];
	if (save->count)
		self.save_every = save->ival[0] * BASE_MS;
	if (decision->count && period->count) {
		self.decision = decision->ival[0] * BASE_MS;
		self.period = period->ival[0] * BASE_MS;
	}
	if (log->count)
		self.log = fopen(log->filename[0], "a");
	if (!self.log) {
		perror("executor3");
		return 2;
	}
	return run_executor(&self, port->ival[0]);
}
