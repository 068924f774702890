/*
 * wait_bench - waits for a better rack, as JSON lines: completion times of the
 * same randomly generated jobs without a wait, with fixed waits and with the
 * decision of batch_wait.c, and the processor time of the core.
 *
 * Virtual time; tasks prefer the rack of their data, half of them one of two
 * racks, and take PENALTY times as long on another.  Run times differ from the
 * estimates by up to a factor of two.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "batch_int.h"

#define RACKS 8
#define RACK_WORKERS 8
#define WORKERS (RACKS * RACK_WORKERS)
#define WORKER_TASKS 4 /* that fit at once */
#define TASK_CPU 2000
#define TASKS_MAX 8 /* of a job */
#define JOBS 2000
#define PENALTY 2
#define TICK (20 * BASE_MS)
#define SHORTEST BASE_SEC
#define LONGEST_RATIO 20
#define POPULAR_RACKS 2
#define COST_TASKS 256
#define COST_RACK_WORKERS 16
#define COST_PENALTY 3
#define END (8 * 3600 * BASE_SEC)

typedef struct bench_run {
	char job[16];
	int index;
	int64_t number;
	int64_t begun;
	int64_t ends_at;
} bench_run_t;

typedef struct bench_end {
	bench_run_t run;
	int64_t number;
} bench_end_t;

typedef struct bench_worker {
	char id[16];
	char rack[16];
	GArray *runs; /* bench_run_t */
	GArray *ends; /* bench_end_t */
	int64_t next_end;
	int64_t polled_at;
} bench_worker_t;

typedef struct bench_job {
	char id[16];
	char rack[16];
	batch_step_spec_t step;
	int64_t arrives;
	int64_t length[TASKS_MAX]; /* on the right rack */
	int64_t done_at;
	int left;
} bench_job_t;

typedef struct bench {
	batch_t *core;
	int64_t now;
	bench_worker_t workers[WORKERS];
	bench_job_t jobs[JOBS];
	GArray *orders; /* batch_order_t copies, by their run */
	int submitted;
	int open;
	int remote; /* starts on another rack */
	int starts;
} bench_t;

/* A start on its way to its worker. */
typedef struct bench_order {
	int worker;
	bench_run_t run;
} bench_order_t;

typedef struct variant {
	const char *name;
	double penalty;
	batch_wait_t (*decide)(const batch_wait_input_t *in);
} variant_t;

static batch_wait_t wait_at_most(const batch_wait_input_t *in, int64_t bound)
{
	batch_wait_t wait = { .kind = BATCH_WAIT_BOUND_REACHED,
			      .bound = bound };

	if (in->waited < bound)
		wait.kind = BATCH_WAIT_FOR_RACK;
	return wait;
}

static batch_wait_t wait_1s(const batch_wait_input_t *in)
{
	return wait_at_most(in, BASE_SEC);
}

static batch_wait_t wait_5s(const batch_wait_input_t *in)
{
	return wait_at_most(in, 5 * BASE_SEC);
}

static const variant_t variants[] = {
	{ "no wait", 1, batch_wait_decide },
	{ "fixed 1 s", PENALTY, wait_1s },
	{ "fixed 5 s", PENALTY, wait_5s },
	{ "decision", PENALTY, batch_wait_decide },
};

static void ignore_name(void *arg, base_str_t name)
{
	(void)arg;
	(void)name;
}

static void ignore_order(void *arg, const batch_order_t *order)
{
	(void)arg;
	(void)order;
}

static void ignore_event(void *arg, const batch_log_event_t *event)
{
	(void)arg;
	(void)event;
}

static void ignore_question(void *arg, const batch_question_t *question)
{
	(void)arg;
	(void)question;
}

/* The number at the end of a name with one letter. */
static int number_of(base_str_t name)
{
	return atoi(name.ptr + 1);
}

static void send_start(void *arg, const batch_order_t *order)
{
	bench_t *b = arg;
	bench_order_t sent = { .worker = number_of(order->worker),
			       .run = { .index = order->task.index,
					.number = order->run } };

	g_snprintf(sent.run.job, sizeof(sent.run.job), "%.*s",
		   BASE_STR_ARG(order->task.job));
	g_array_append_val(b->orders, sent);
}

static const batch_ops_t ops = {
	.advise = ignore_question,
	.accepted = ignore_name,
	.cancelled = ignore_name,
	.start = send_start,
	.stop = ignore_order,
	.pace = ignore_order,
	.log_event = ignore_event,
};

static batch_task_id_t task_id(const bench_run_t *run)
{
	return (batch_task_id_t){ base_str(run->job), 0, 0, run->index };
}

static void carry_out(bench_t *b, const bench_order_t *order)
{
	bench_worker_t *worker = &b->workers[order->worker];
	bench_job_t *job = &b->jobs[number_of(base_str(order->run.job))];
	bench_run_t run = order->run;
	bool remote = strcmp(worker->rack, job->rack) != 0;
	batch_order_t answered = { .task = task_id(&run),
				   .run = run.number,
				   .worker = base_str(worker->id),
				   .incarnation = 1 };

	run.begun = b->now;
	run.ends_at = b->now + job->length[run.index] * (remote ? PENALTY : 1);
	g_array_append_val(worker->runs, run);
	b->starts++;
	b->remote += remote;
	batch_start_answer(b->core, b->now, &answered, BATCH_ANSWER_OK);
}

static void carry_out_all(bench_t *b)
{
	guint i;

	for (i = 0; i < b->orders->len; i++)
		carry_out(b, &g_array_index(b->orders, bench_order_t, i));
	g_array_set_size(b->orders, 0);
}

/* Returns whether a run has ended. */
static bool end_runs(bench_t *b, bench_worker_t *worker)
{
	bool ended = false;
	guint i = 0;

	while (i < worker->runs->len) {
		bench_end_t end = { .run = g_array_index(worker->runs,
							 bench_run_t, i) };
		bench_job_t *job = &b->jobs[number_of(base_str(end.run.job))];

		if (end.run.ends_at > b->now) {
			i++;
			continue;
		}
		g_array_remove_index(worker->runs, i);
		end.number = worker->next_end++;
		g_array_append_val(worker->ends, end);
		ended = true;
		if (--job->left)
			continue;
		job->done_at = b->now;
		b->open--;
	}
	return ended;
}

static void drop_stored_ends(bench_t *b, bench_worker_t *worker)
{
	int64_t stored =
		batch_worker_stored_end(b->core, b->now, base_str(worker->id));

	while (worker->ends->len &&
	       g_array_index(worker->ends, bench_end_t, 0).number <= stored)
		g_array_remove_index(worker->ends, 0);
}

static int percent(const bench_run_t *run, int64_t now)
{
	return (int)(100 * (now - run->begun) / (run->ends_at - run->begun));
}

static void poll_worker(bench_t *b, bench_worker_t *worker)
{
	batch_listed_run_t runs[WORKER_TASKS];
	batch_listed_end_t ends[64];
	batch_poll_result_t poll = { .worker = base_str(worker->id),
				     .incarnation = 1,
				     .sent = b->now,
				     .runs = runs,
				     .ends = ends };
	guint i;

	drop_stored_ends(b, worker);
	for (i = 0; i < worker->runs->len; i++) {
		const bench_run_t *run =
			&g_array_index(worker->runs, bench_run_t, i);

		runs[poll.n_runs++] =
			(batch_listed_run_t){ .task = task_id(run),
					      .run = run->number,
					      .percent = percent(run, b->now) };
	}
	for (i = 0; i < worker->ends->len && i < G_N_ELEMENTS(ends); i++) {
		const bench_end_t *end =
			&g_array_index(worker->ends, bench_end_t, i);

		ends[poll.n_ends++] =
			(batch_listed_end_t){ .number = end->number,
					      .task = task_id(&end->run),
					      .run = end->run.number,
					      .end_kind = BATCH_END_DONE };
	}
	worker->polled_at = b->now;
	batch_worker_lease(b->core, poll.worker, b->now + 5 * BASE_SEC);
	batch_worker_polled(b->core, b->now, &poll);
}

/* As a worker does, it answers a poll once a run ends, or after a second. */
static void poll_due(bench_t *b)
{
	int w;

	for (w = 0; w < WORKERS; w++) {
		bench_worker_t *worker = &b->workers[w];

		if (end_runs(b, worker) || !worker->polled_at ||
		    b->now - worker->polled_at >= BASE_SEC)
			poll_worker(b, worker);
	}
}

static void list_workers(bench_t *b)
{
	int w;

	for (w = 0; w < WORKERS; w++) {
		batch_worker_info_t info = {
			.id = base_str(b->workers[w].id),
			.pool = BASE_STR("pool"),
			.zone = BASE_STR("zone"),
			.rack = base_str(b->workers[w].rack),
			.capacity = { WORKER_TASKS * TASK_CPU, 64000, 0 },
		};

		batch_worker_listed(b->core, b->now, &info);
	}
}

static void submit_due(bench_t *b)
{
	for (; b->submitted < JOBS && b->jobs[b->submitted].arrives <= b->now;
	     b->submitted++) {
		const bench_job_t *job = &b->jobs[b->submitted];
		batch_spec_t spec = { .id = base_str(job->id),
				      .queue = BASE_STR("queue"),
				      .steps = &job->step,
				      .n_steps = 1 };
		batch_refusal_t refusal;

		if (batch_submit(b->core, b->now, b->now, &spec, &refusal) !=
		    BATCH_ACCEPTED)
			g_error("%s is refused", job->id);
		b->open++;
	}
}

static void store_rows(bench_t *b)
{
	batch_row_t rows[128];

	while (batch_rows(b->core, BATCH_LANE_ALL, rows, G_N_ELEMENTS(rows),
			  2 * G_N_ELEMENTS(rows)))
		batch_rows_stored(b->core, BATCH_LANE_ALL, b->now);
}

static void make_jobs(bench_t *b, double load, uint64_t seed)
{
	base_rng_t rng = { seed };
	double tasks = (1 + TASKS_MAX) / 2.0;
	double mean = SHORTEST * (LONGEST_RATIO - 1) / log(LONGEST_RATIO);
	/* Of exp(x), x uniform from -log(2) to log(2). */
	double factor = 1.5 / (2 * log(2));
	double gap = tasks * mean * factor / (load * WORKERS * WORKER_TASKS);
	double at = BASE_SEC;
	int j;
	int t;

	for (j = 0; j < JOBS; j++) {
		bench_job_t *job = &b->jobs[j];
		int rack = (int)base_rng_below(
			&rng, base_rng_below(&rng, 2) ? POPULAR_RACKS : RACKS);
		double run = SHORTEST * pow(LONGEST_RATIO, base_rng_unit(&rng));

		at -= gap * log(1 - base_rng_unit(&rng));
		job->arrives = (int64_t)at;
		job->left = 1 + (int)base_rng_below(&rng, TASKS_MAX);
		g_snprintf(job->id, sizeof(job->id), "j%d", j);
		g_snprintf(job->rack, sizeof(job->rack), "r%d", rack);
		job->step = (batch_step_spec_t){
			.count = job->left,
			.need = { TASK_CPU, 1000, 0 },
			.estimate = (int64_t)run,
			.max_unavailable = -1,
			.data_rack = base_str(job->rack),
		};
		for (t = 0; t < job->left; t++)
			job->length[t] =
				(int64_t)(run *
					  pow(2, 2 * base_rng_unit(&rng) - 1));
	}
}

static void setup(bench_t *b, const variant_t *variant)
{
	batch_options_t options = { .ops = &ops,
				    .arg = b,
				    .in_doubt_timeout = 2 * BASE_SEC,
				    .drain_time = 2 * BASE_SEC,
				    .remote_penalty = variant->penalty };
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = BASE_STR("pool"),
				     .attempts = 3,
				     .stretch = 1000 };
	batch_pool_info_t pool = { .name = BASE_STR("pool"),
				   .checks_admission = true };
	int w;

	b->core = batch_new(NULL, &options);
	b->core->decide_wait = variant->decide;
	b->orders = g_array_new(FALSE, FALSE, sizeof(bench_order_t));
	batch_config(b->core, &queue, 1, &pool, 1);
	for (w = 0; w < WORKERS; w++) {
		bench_worker_t *worker = &b->workers[w];

		g_snprintf(worker->id, sizeof(worker->id), "w%d", w);
		g_snprintf(worker->rack, sizeof(worker->rack), "r%d",
			   w / RACK_WORKERS);
		worker->runs = g_array_new(FALSE, FALSE, sizeof(bench_run_t));
		worker->ends = g_array_new(FALSE, FALSE, sizeof(bench_end_t));
		worker->next_end = 1;
	}
}

static void teardown(bench_t *b)
{
	int w;

	for (w = 0; w < WORKERS; w++) {
		g_array_unref(b->workers[w].runs);
		g_array_unref(b->workers[w].ends);
	}
	g_array_unref(b->orders);
	talloc_free(b->core);
	g_free(b);
}

static double cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static int time_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void report(const bench_t *b, const variant_t *variant, double load,
		   double ms)
{
	double *times = g_new(double, JOBS);
	batch_stats_t stats;
	double sum = 0;
	int j;

	for (j = 0; j < JOBS; j++) {
		times[j] = (double)(b->jobs[j].done_at - b->jobs[j].arrives) /
			   BASE_SEC;
		sum += times[j];
	}
	qsort(times, JOBS, sizeof(*times), time_cmp);
	batch_stats(b->core, &stats);
	printf("{\"bench\":\"wait\",\"load\":%.2f,\"variant\":\"%s\","
	       "\"mean_s\":%.2f,\"p99_s\":%.2f,\"remote\":%.3f,"
	       "\"waits\":[%llu,%llu,%llu],\"processor_ms\":%.0f}\n",
	       load, variant->name, sum / JOBS, times[JOBS * 99 / 100],
	       (double)b->remote / b->starts,
	       (unsigned long long)stats.rack_waits[BATCH_RACK_WAIT_FREE],
	       (unsigned long long)stats.rack_waits[BATCH_RACK_WAIT_BOUND],
	       (unsigned long long)stats.rack_waits[BATCH_RACK_WAIT_MOOT], ms);
	fflush(stdout);
	g_free(times);
}

static void measure(const variant_t *variant, double load, uint64_t seed)
{
	bench_t *b = g_new0(bench_t, 1);
	double start_ms = cpu_ms();

	setup(b, variant);
	make_jobs(b, load, seed);
	for (b->now = BASE_SEC; b->submitted < JOBS || b->open;
	     b->now += TICK) {
		if (b->now > END)
			g_error("%d jobs do not end", b->open);
		if (b->now % BASE_SEC == 0)
			list_workers(b);
		poll_due(b);
		submit_due(b);
		store_rows(b);
		batch_tick(b->core, b->now, b->now);
		store_rows(b);
		carry_out_all(b);
	}
	report(b, variant, load, cpu_ms() - start_ms);
	teardown(b);
}

static void submit_local(batch_t *core, const char *id, int count)
{
	batch_step_spec_t step = { .count = count,
				   .need = { TASK_CPU, 1000, 0 },
				   .estimate = 10 * BASE_SEC,
				   .max_unavailable = -1,
				   .data_rack = BASE_STR("r0") };
	batch_spec_t spec = { .id = base_str(id),
			      .queue = BASE_STR("queue"),
			      .steps = &step,
			      .n_steps = 1 };
	batch_refusal_t refusal;
	batch_row_t row;

	if (batch_submit(core, BASE_SEC, BASE_SEC, &spec, &refusal) !=
	    BATCH_ACCEPTED)
		g_error("%s is refused", id);
	while (batch_rows(core, BATCH_LANE_ALL, &row, 1, 2))
		batch_rows_stored(core, BATCH_LANE_ALL, BASE_SEC);
}

static void add_worker(batch_t *core, int number)
{
	char id[16];
	char rack[16];
	batch_worker_info_t info = { .pool = BASE_STR("pool"),
				     .zone = BASE_STR("zone"),
				     .capacity = { WORKER_TASKS * TASK_CPU,
						   64000, 0 } };
	batch_poll_result_t poll = { .incarnation = 1, .sent = BASE_SEC };

	g_snprintf(id, sizeof(id), "w%d", number);
	g_snprintf(rack, sizeof(rack), "r%d", number / COST_RACK_WORKERS);
	info.id = base_str(id);
	info.rack = base_str(rack);
	batch_worker_listed(core, BASE_SEC, &info);
	poll.worker = info.id;
	batch_worker_lease(core, info.id, 60 * BASE_SEC);
	batch_worker_polled(core, BASE_SEC, &poll);
}

static double time_pass(batch_t *core, int64_t now)
{
	double start_ms = cpu_ms();

	batch_tick(core, now, now);
	return cpu_ms() - start_ms;
}

/* The cost of two passes over COST_TASKS jobs of one task, whose rack is full.
 */
static void measure_cost(int workers, double penalty)
{
	variant_t variant = { "cost", penalty, batch_wait_decide };
	bench_t *b = g_new0(bench_t, 1);
	double first_ms;
	double next_ms;
	int waiting = 0;
	char id[16];
	guint i;
	int w;

	setup(b, &variant);
	for (w = 0; w < workers; w++)
		add_worker(b->core, w);
	submit_local(b->core, "fill", COST_RACK_WORKERS * WORKER_TASKS);
	batch_tick(b->core, BASE_SEC, BASE_SEC);
	for (i = 0; i < COST_TASKS; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		submit_local(b->core, id, 1);
	}
	first_ms = time_pass(b->core, BASE_SEC + BATCH_PASS_INTERVAL);
	next_ms = time_pass(b->core, BASE_SEC + 2 * BATCH_PASS_INTERVAL);
	for (i = 0; i < COST_TASKS; i++) {
		batch_task_id_t task = { .index = 0 };

		g_snprintf(id, sizeof(id), "j%u", i);
		task.job = base_str(id);
		waiting += !batch_find_task(b->core, &task)->run;
	}
	printf("{\"bench\":\"wait-cost\",\"workers\":%d,\"penalty\":%.0f,"
	       "\"tasks\":%d,\"waiting\":%d,\"first_ms\":%.2f,\"next_ms\":%.2f}\n",
	       workers, penalty, COST_TASKS, waiting, first_ms, next_ms);
	fflush(stdout);
	teardown(b);
}

int main(int argc, char **argv)
{
	static const double loads[] = { 0.3, 0.5, 0.7, 0.85 };
	static const int sizes[] = { 350, 19467 };
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	size_t i;
	size_t v;

	for (i = 0; i < G_N_ELEMENTS(loads); i++)
		for (v = 0; v < G_N_ELEMENTS(variants); v++)
			measure(&variants[v], loads[i], seed);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		measure_cost(sizes[i], 1);
		measure_cost(sizes[i], COST_PENALTY);
	}
	return 0;
}
