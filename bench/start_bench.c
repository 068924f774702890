/*
 * start_bench - what the holder spends on a poll, on a start and on a stored
 * row, as JSON lines by number of workers: allocations, and processor time of
 * this process.
 *
 * Polls, starts and changes go through the platform's table and net to a child
 * process that answers all of them, so that both sides of each call are in the
 * figures except for the stub's.  The decisions of batch are left out
 * (takeover_bench and fleet_bench have them), as is what node keeps of a call.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "../platform/platform.h"
#include "../platform/tests/start_wire.h"
#include "batch_int.h"
#include "node_int.h"

/* Calls at once while connections are opened, fewer than the stub's backlog. */
#define OPENED_AT_ONCE 50
#define CALLS 44000 /* of each kind, at least */
#define ROWS 25	    /* of a change */
#define ROW_TASKS 4 /* of a job, each with a run */
#define PORT_FIRST 20000
#define PORT_STEP 10000
#define TIMEOUT (60 * BASE_SEC)
#define LEASE (482 * BASE_SEC)

/* Sanitizers have allocators of their own. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define COUNTS_ALLOCATIONS 0
#else
#define COUNTS_ALLOCATIONS 1
#endif

static uint64_t n_allocations;

#if COUNTS_ALLOCATIONS
extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t n, size_t size);
extern void *__libc_realloc(void *ptr, size_t size);

void *malloc(size_t size)
{
	n_allocations++;
	return __libc_malloc(size);
}

void *calloc(size_t n, size_t size)
{
	n_allocations++;
	return __libc_calloc(n, size);
}

void *realloc(void *ptr, size_t size)
{
	n_allocations++;
	return __libc_realloc(ptr, size);
}
#endif

typedef struct bench {
	net_loop_t *loop;
	node_store_t *store;
	node_t node;
	batch_t *core;
	node_link_t **links;
	int n_workers;
	int n_open; /* calls without an answer */
	int n_failed;
	base_msg_t msg; /* of the last log line */
} bench_t;

typedef struct cost {
	double us;
	uint64_t allocations;
} cost_t;

static cost_t cost_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (cost_t){ (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3,
			 n_allocations };
}

static void print_cost(const bench_t *bench, const char *what, cost_t since,
		       int n)
{
	cost_t now = cost_now();

	printf("{\"bench\":\"start\",\"workers\":%d,\"what\":\"%s\",\"n\":%d,"
	       "\"allocations\":%.2f,\"us\":%.2f,\"failed\":%d}\n",
	       bench->n_workers, what, n,
	       (double)(now.allocations - since.allocations) / n,
	       (now.us - since.us) / n, bench->n_failed);
	fflush(stdout);
}

static void answer(void *arg, net_exchange_t *exchange)
{
	const char *path = net_exchange_path(exchange);

	(void)arg;
	if (!strcmp(path, START_POLL_PATH))
		net_reply(exchange, 200, NULL, 0, BASE_STR(START_POLL_ANSWER));
	else if (!strcmp(path, START_ORDER_PATH))
		net_reply(exchange, 200, NULL, 0, BASE_STR(START_ORDER_ANSWER));
	else
		net_reply(exchange, 200, NULL, 0, BASE_STR(START_STORE_ANSWER));
}

/* Returns the address of the stub. */
static char *fork_stub(pid_t *pid)
{
	int ready[2];
	char *address;
	char byte;

	address = talloc_asprintf(NULL, "127.0.0.1:%d",
				  PORT_FIRST + getpid() % PORT_STEP);
	if (pipe(ready))
		g_error("no pipe");
	*pid = fork();
	if (!*pid) {
		net_loop_t *loop;

		/* It ends with this process, also if that is killed. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		loop = net_loop_new(NULL);
		if (!net_server_new(loop, loop, address, answer, NULL, NULL))
			_exit(1);
		if (write(ready[1], "", 1) == 1)
			net_loop_run(loop);
		_exit(0);
	}
	close(ready[1]);
	if (read(ready[0], &byte, 1) != 1)
		g_error("the stub does not listen at %s", address);
	close(ready[0]);
	return address;
}

static void one_done(bench_t *bench, bool ok)
{
	bench->n_failed += !ok;
	if (!--bench->n_open)
		net_loop_stop(bench->loop);
}

static void polled(void *arg, const node_poll_result_t *result)
{
	one_done(arg, result->order_status == NODE_ORDER_OK &&
			      result->n_runs == 3 && result->n_ends == 1);
}

static void started(void *arg, const node_poll_result_t *result)
{
	one_done(arg, result->order_status == NODE_ORDER_OK);
}

static void stored(void *arg, const node_answer_t *result)
{
	one_done(arg, result->store_status == NODE_STORE_OK);
}

static void poll_one(bench_t *bench, int worker)
{
	node_poll_request_t order = { .term = 812331,
				      .lease = LEASE,
				      .last_stored_end = 57,
				      .wait = BASE_SEC,
				      .timeout = TIMEOUT };

	platform_table.poll(bench->links[worker], &order, polled, bench);
}

static void start_one(bench_t *bench, int worker)
{
	batch_order_t order = {
		.task = { .job = BASE_STR("5c0e7a21d94b36f8"),
			  .step = 1,
			  .index = worker },
		.run = 2,
		.worker = BASE_STR("worker"),
		.payload = BASE_STR(START_PAYLOAD),
		.checkpoint = BASE_STR("00000bb87a21d94b"),
	};

	platform_table.start(bench->links[worker], &order, 812331, LEASE,
			     started, bench);
}

static void log_one(bench_t *bench, int worker)
{
	/* In turn, since the lines of a message in a second are limited. */
	bench->msg = (base_msg_t)((bench->msg + 1) % BASE_MSG_MAX);
	node_log(&bench->node, bench->msg, BASE_F_STR("id", "5c0e7a21d94b36f8"),
		 BASE_F_INT("step", 1), BASE_F_INT("index", worker),
		 BASE_F_INT("run", 2), BASE_F_STR("worker", "vakatawa-17-a.4"),
		 BASE_F_STR("why", ""), BASE_F_INT("value", 0),
		 BASE_F_INT("age_us", 51233), BASE_F_INT("term", 812331));
	/* Below the limits of lines in a second and of the buffer. */
	if (worker % ROWS == 0)
		node_log_flush(&bench->node);
	bench->n_open--;
}

static void print_one(bench_t *bench, int job)
{
	void *ctx = talloc_new(NULL);

	batch_record_print(
		ctx, g_ptr_array_index(bench->core->active_jobs, job), true);
	talloc_free(ctx);
	bench->n_open--;
}

/* A change of ROWS rows. */
static void store_rows(bench_t *bench, int job)
{
	static const char *const fence = "cactusfield/fence";
	void *ctx = talloc_new(NULL);
	node_expect_t expects[] = { { "cactusfield/holder", 812000 },
				    { fence, 812330 } };
	node_set_t sets[ROWS + 1] = { { fence, BASE_STR("812331.4711"), 0 } };
	node_change_t change = { .expects = expects,
				 .n_expects = ARRAY_SIZE(expects),
				 .sets = sets,
				 .n_sets = ARRAY_SIZE(sets) };
	int i;

	for (i = 0; i < ROWS; i++)
		sets[i + 1] = (node_set_t){
			talloc_asprintf(ctx, "cactusfield/job/%d", job + i),
			batch_record_print(
				ctx,
				g_ptr_array_index(bench->core->active_jobs,
						  job + i),
				true),
			0
		};
	platform_table.change(bench->store, &change, stored, bench);
	talloc_free(ctx);
}

/* Makes the calls from "first" up to "end" and waits for their answers. */
static void call_some(bench_t *bench, void (*call)(bench_t *bench, int at),
		      int step, int first, int end)
{
	int i;

	bench->n_open = end - first;
	for (i = first; i < end; i++)
		call(bench, i * step);
	if (bench->n_open)
		net_loop_run(bench->loop);
}

/* Makes about CALLS calls, each round with one for each of "n", and prints what
 * one costs. */
static void measure(bench_t *bench, const char *what, int n, int step,
		    void (*call)(bench_t *bench, int at))
{
	int rounds = CALLS / n;
	cost_t since = cost_now();
	int at_once;
	int round;
	int i;

	/* The first round opens the connections. */
	for (round = -1; round < rounds; round++) {
		if (!round)
			since = cost_now();
		at_once = round < 0 ? OPENED_AT_ONCE : n;
		for (i = 0; i < n / step; i += at_once)
			call_some(bench, call, step, i,
				  MIN(i + at_once, n / step));
	}
	print_cost(bench, what, since, rounds * (n / step) * step);
}

static char *make_row(const void *ctx, int job)
{
	char *row = talloc_strdup(
		ctx, "{\"state\":\"running\",\"begun\":true,\"arrived\":1,"
		     "\"occurrences\":1,\"tasks\":[");
	int i;

	for (i = 0; i < ROW_TASKS; i++)
		row = talloc_asprintf_append(
			row, "%s[0,0,%d,0,2,0,\"w%d\",\"\"]", i ? "," : "", i,
			job * ROW_TASKS + i);
	row = talloc_asprintf_append(row, "],\"incarnations\":{");
	for (i = 0; i < ROW_TASKS; i++)
		row = talloc_asprintf_append(row, "%s\"w%d\":1765000000123",
					     i ? "," : "", job * ROW_TASKS + i);
	return talloc_asprintf_append(row, "}}");
}

static void restore_job(batch_t *core, int job)
{
	void *ctx = talloc_new(NULL);
	batch_step_spec_t step = { .count = ROW_TASKS,
				   .need = { .cpu = 1000 },
				   .estimate = BASE_SEC,
				   .max_unavailable = -1 };
	batch_spec_t spec = { .id = base_str(
				      talloc_asprintf(ctx, "job%d", job)),
			      .queue = BASE_STR("queue"),
			      .steps = &step,
			      .n_steps = 1,
			      .repeat = 1 };
	batch_stored_t stored_job = { .id = spec.id,
				      .spec = &spec,
				      .record = make_row(ctx, job),
				      .until = LEASE };

	if (!batch_restore(core, LEASE, LEASE, &stored_job, NULL))
		g_error("job %d is not restored", job);
	talloc_free(ctx);
}

static batch_t *make_core(int n_jobs)
{
	batch_options_t options = { .ops = &node_batch_ops };
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = BASE_STR("pool"),
				     .attempts = 3,
				     .stretch = 2,
				     .target_latency = BASE_SEC };
	batch_pool_info_t pool = { .name = BASE_STR("pool") };
	batch_t *core = batch_new(NULL, &options);
	int i;

	batch_config(core, &queue, 1, &pool, 1);
	for (i = 0; i < n_jobs; i++)
		restore_job(core, i);
	return core;
}

static bool is_always_valid(const void *arg)
{
	(void)arg;
	return true;
}

static void measure_all(const char *address, int n_workers, FILE *log)
{
	bench_t bench = { .loop = net_loop_new(NULL), .n_workers = n_workers };
	node_link_options_t options = {
		.loop = bench.loop,
		.address = address,
		.worker = "worker",
		.orders = { .is_valid = is_always_valid },
		.polls = { .is_valid = is_always_valid },
	};
	int i;

	bench.node.log = node_log_new(bench.loop, bench.loop, fileno(log));
	bench.store = platform_table.store_new(bench.loop, bench.loop, address);
	bench.core = make_core(n_workers / ROWS * ROWS);
	bench.links = talloc_array(bench.loop, node_link_t *, n_workers);
	for (i = 0; i < n_workers; i++)
		bench.links[i] = platform_table.link_new(bench.loop, &options);
	measure(&bench, "poll", n_workers, 1, poll_one);
	measure(&bench, "start", n_workers, 1, start_one);
	measure(&bench, "stored row", n_workers / ROWS * ROWS, ROWS,
		store_rows);
	measure(&bench, "row printed", n_workers / ROWS * ROWS, 1, print_one);
	measure(&bench, "log line", n_workers, 1, log_one);
	talloc_free(bench.core);
	talloc_free(bench.loop);
}

int main(void)
{
	static const int sizes[] = { 350, 1100 };
	FILE *log = fopen("/dev/null", "w");
	pid_t stub;
	char *address = fork_stub(&stub);
	size_t i;

	for (i = 0; i < ARRAY_SIZE(sizes); i++)
		measure_all(address, sizes[i], log);
	kill(stub, SIGTERM);
	waitpid(stub, NULL, 0);
	fclose(log);
	talloc_free(address);
	return 0;
}
