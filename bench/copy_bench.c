/*
 * Copies of slow runs, in virtual time: completion time of jobs and the work
 * that does not count, without copies and with.  Jobs of twenty tasks, and one
 * that waits for them, arrive at random; 3 in 100 runs take seven times as
 * long, or 3 in 100 tasks do so wherever they run.  Fixed seeds; prints JSON
 * lines.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"

#define WORKERS 40
#define CORES 8000 /* of a worker, in thousandths of a core */
#define TASK_CPU 1000
#define TASKS 20 /* of the first step */
#define JOBS 1500
#define TICK (10 * BASE_MS)
#define LEASE (4500 * BASE_MS)
#define SLOW_PERCENT 3
#define SLOW_FACTOR 7
#define RUNS_MAX 64 /* on a worker */
#define ENDS_MAX 1024
#define NAME_MAX_LEN 16

typedef struct run {
	batch_task_id_t task; /* its job's name is one of "names" */
	int64_t number;
	int64_t begun;
	int64_t length;
} run_t;

typedef struct worker {
	char id[NAME_MAX_LEN];
	run_t runs[RUNS_MAX];
	size_t n_runs;
	batch_listed_end_t ends[ENDS_MAX];
	size_t n_ends;
	int64_t last_end;
} worker_t;

typedef struct order {
	bool stop;
	run_t run;
	int worker;
} order_t;

typedef struct load {
	bool copies;
	bool by_task; /* a slow task is slow wherever it runs */
	int percent;  /* of the pool's cpu that the jobs need */
	uint64_t seed;
} load_t;

typedef struct sim {
	batch_t *core;
	const load_t *load;
	base_rng_t rng;
	int64_t now;
	worker_t workers[WORKERS];
	GArray *orders; /* order_t */
	char names[JOBS][NAME_MAX_LEN];
	int64_t submitted[JOBS];
	bool ended[JOBS];
	GArray *times; /* of completed jobs, microseconds */
	int n_jobs;
	int first; /* job that has not ended */
	int64_t work;
	int64_t wasted;
	int copies;
	int stops;
} sim_t;

static run_t run_of(const batch_order_t *order, sim_t *sim)
{
	run_t run = { .task = order->task, .number = order->run };
	char name[NAME_MAX_LEN];

	g_snprintf(name, sizeof(name), "%.*s", BASE_STR_ARG(order->task.job));
	run.task.job = base_str(sim->names[atoi(name + 1)]);
	return run;
}

static void add_order(sim_t *sim, const batch_order_t *order, bool stop)
{
	char worker[NAME_MAX_LEN];
	order_t added = { .stop = stop, .run = run_of(order, sim) };

	g_snprintf(worker, sizeof(worker), "%.*s", BASE_STR_ARG(order->worker));
	added.worker = atoi(worker + 1);
	g_array_append_val(sim->orders, added);
}

static void on_start(void *arg, const batch_order_t *order)
{
	add_order(arg, order, false);
}

static void on_stop(void *arg, const batch_order_t *order)
{
	add_order(arg, order, true);
}

static void on_job(void *arg, base_str_t job)
{
	(void)arg;
	(void)job;
}

static void on_pace(void *arg, const batch_order_t *order)
{
	(void)arg;
	(void)order;
}

static void on_log(void *arg, const batch_log_event_t *event)
{
	sim_t *sim = arg;

	sim->copies += event->kind == BATCH_LOG_RUN_COPIED;
	sim->stops += event->kind == BATCH_LOG_RUN_STOPPED;
}

static const batch_ops_t ops = { .accepted = on_job,
				 .cancelled = on_job,
				 .start = on_start,
				 .stop = on_stop,
				 .pace = on_pace,
				 .log_event = on_log };

/* 0.5 to 1.5 s, and a few much longer. */
static int64_t draw_length(sim_t *sim, const run_t *run)
{
	base_rng_t task = { sim->load->seed +
			    (uint64_t)atoi(run->task.job.ptr + 1) * 64 +
			    (uint64_t)run->task.step * 32 +
			    (uint64_t)run->task.index };
	base_rng_t *rng = sim->load->by_task ? &task : &sim->rng;
	int64_t length = 500 * BASE_MS;

	length += (int64_t)base_rng_below(rng, 1000) * BASE_MS;
	if (base_rng_below(rng, 100) < SLOW_PERCENT)
		length *= SLOW_FACTOR;
	return length;
}

static void end_run(sim_t *sim, worker_t *worker, size_t at, batch_end_t how)
{
	run_t *run = &worker->runs[at];

	sim->work += sim->now - run->begun;
	if (how != BATCH_END_DONE)
		sim->wasted += sim->now - run->begun;
	g_assert_cmpuint(worker->n_ends, <, ENDS_MAX);
	worker->ends[worker->n_ends++] =
		(batch_listed_end_t){ .number = ++worker->last_end,
				      .task = run->task,
				      .run = run->number,
				      .end_kind = how,
				      .checkpoint = BASE_STR("") };
	worker->runs[at] = worker->runs[--worker->n_runs];
}

static void stop_run(sim_t *sim, worker_t *worker, const run_t *stopped)
{
	size_t i;

	for (i = worker->n_runs; i-- > 0;) {
		const run_t *run = &worker->runs[i];

		if (run->number == stopped->number &&
		    run->task.job.ptr == stopped->task.job.ptr &&
		    run->task.step == stopped->task.step &&
		    run->task.index == stopped->task.index)
			end_run(sim, worker, i, BATCH_END_STOPPED);
	}
}

static void deliver(sim_t *sim)
{
	GArray *orders = sim->orders;
	guint i;

	sim->orders = g_array_new(FALSE, FALSE, sizeof(order_t));
	for (i = 0; i < orders->len; i++) {
		order_t *order = &g_array_index(orders, order_t, i);
		worker_t *worker = &sim->workers[order->worker];
		batch_order_t named = { .task = order->run.task,
					.run = order->run.number,
					.worker = base_str(worker->id),
					.incarnation = 1 };

		if (order->stop) {
			stop_run(sim, worker, &order->run);
			batch_stop_answer(sim->core, sim->now, &named,
					  BATCH_ANSWER_OK);
			continue;
		}
		order->run.begun = sim->now;
		order->run.length = draw_length(sim, &order->run);
		g_assert_cmpuint(worker->n_runs, <, RUNS_MAX);
		worker->runs[worker->n_runs++] = order->run;
		batch_start_answer(sim->core, sim->now, &named,
				   BATCH_ANSWER_OK);
	}
	g_array_unref(orders);
}

static void acknowledge(sim_t *sim, worker_t *worker)
{
	int64_t up_to = batch_worker_stored_end(sim->core, sim->now,
						base_str(worker->id));
	size_t n = 0;

	while (n < worker->n_ends && worker->ends[n].number <= up_to)
		n++;
	worker->n_ends -= n;
	memmove(worker->ends, worker->ends + n,
		worker->n_ends * sizeof(worker->ends[0]));
}

static void poll_worker(sim_t *sim, worker_t *worker)
{
	batch_listed_run_t runs[RUNS_MAX];
	batch_poll_result_t poll = { .worker = base_str(worker->id),
				     .incarnation = 1,
				     .sent = sim->now,
				     .runs = runs,
				     .n_runs = worker->n_runs,
				     .ends = worker->ends };
	size_t i;

	for (i = 0; i < worker->n_runs; i++) {
		const run_t *run = &worker->runs[i];

		runs[i] = (batch_listed_run_t){
			.task = run->task,
			.run = run->number,
			.checkpoint = BASE_STR(""),
			.percent = (int)(100 * (sim->now - run->begun) /
					 run->length),
		};
	}
	acknowledge(sim, worker);
	poll.n_ends = worker->n_ends;
	batch_worker_lease(sim->core, base_str(worker->id), sim->now + LEASE);
	batch_worker_polled(sim->core, sim->now, &poll);
}

/* A worker answers a poll at once if a task has ended, else after 250 ms. */
static void run_workers(sim_t *sim)
{
	bool all = sim->now % (250 * BASE_MS) == 0;
	size_t i;
	int w;

	for (w = 0; w < WORKERS; w++) {
		worker_t *worker = &sim->workers[w];

		for (i = worker->n_runs; i-- > 0;)
			if (sim->now - worker->runs[i].begun >=
			    worker->runs[i].length)
				end_run(sim, worker, i, BATCH_END_DONE);
		if (all || worker->n_ends)
			poll_worker(sim, worker);
	}
}

static void list_workers(sim_t *sim)
{
	char rack[NAME_MAX_LEN];
	int w;

	for (w = 0; w < WORKERS; w++) {
		worker_t *worker = &sim->workers[w];
		batch_worker_info_t info = { .pool = BASE_STR("pool"),
					     .zone = BASE_STR("z"),
					     .capacity = { CORES, 64000, 0 } };

		g_snprintf(worker->id, sizeof(worker->id), "w%d", w);
		g_snprintf(rack, sizeof(rack), "r%d", w / 8);
		info.id = base_str(worker->id);
		info.rack = base_str(rack);
		batch_worker_listed(sim->core, sim->now, &info);
	}
}

static void submit(sim_t *sim)
{
	batch_step_spec_t steps[2] = {
		{ .count = TASKS,
		  .need = { TASK_CPU, 500, 0 },
		  .estimate = BASE_SEC,
		  .max_unavailable = -1,
		  .speculative = sim->load->copies },
		{ .count = 1,
		  .need = { TASK_CPU, 500, 0 },
		  .estimate = BASE_SEC,
		  .depends_on = 1,
		  .max_unavailable = -1,
		  .speculative = sim->load->copies },
	};
	batch_spec_t spec = { .queue = BASE_STR("queue"),
			      .source = BASE_STR("{}"),
			      .steps = steps,
			      .n_steps = 2 };
	batch_refusal_t refusal;
	int job = sim->n_jobs++;

	g_snprintf(sim->names[job], NAME_MAX_LEN, "j%d", job);
	spec.id = base_str(sim->names[job]);
	sim->submitted[job] = sim->now;
	if (batch_submit(sim->core, sim->now, sim->now, &spec, &refusal) !=
	    BATCH_ACCEPTED)
		sim->ended[job] = true;
}

static void note_ends(sim_t *sim)
{
	int i;

	for (i = sim->first; i < sim->n_jobs; i++) {
		int64_t took = sim->now - sim->submitted[i];

		if (!sim->ended[i] &&
		    batch_state(sim->core, base_str(sim->names[i])) ==
			    BATCH_COMPLETED) {
			sim->ended[i] = true;
			g_array_append_val(sim->times, took);
		}
		if (sim->ended[i] && i == sim->first)
			sim->first++;
	}
}

static void store(sim_t *sim)
{
	batch_row_t rows[64];

	if (batch_rows(sim->core, BATCH_LANE_ALL, rows, 64, 128))
		batch_rows_stored(sim->core, BATCH_LANE_ALL, sim->now);
}

/* Time between two jobs at which they need that part of the pool. */
static double mean_gap(const load_t *load)
{
	double length =
		BASE_SEC * (1 + 0.01 * SLOW_PERCENT * (SLOW_FACTOR - 1));
	double need = (TASKS + 1) * TASK_CPU * length;

	return need / (WORKERS * CORES * 0.01 * load->percent);
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static double percentile(GArray *times, guint percent)
{
	guint at = (times->len - 1) * percent / 100;

	return (double)g_array_index(times, int64_t, at) / BASE_SEC;
}

static void print_result(const sim_t *sim)
{
	double sum = 0;
	guint i;

	qsort(sim->times->data, sim->times->len, sizeof(int64_t), compare);
	for (i = 0; i < sim->times->len; i++)
		sum += (double)g_array_index(sim->times, int64_t, i);
	printf("{\"bench\":\"copy\",\"copies\":%s,\"slow\":\"%s\","
	       "\"load_percent\":%d,\"seed\":%d,\"jobs\":%u,\"mean_s\":%.2f,"
	       "\"p95_s\":%.2f,\"p99_s\":%.2f,\"wasted_part\":%.3f,"
	       "\"copied\":%d,\"stopped\":%d}\n",
	       sim->load->copies ? "true" : "false",
	       sim->load->by_task ? "task" : "run", sim->load->percent,
	       (int)sim->load->seed, sim->times->len,
	       sum / sim->times->len / BASE_SEC, percentile(sim->times, 95),
	       percentile(sim->times, 99),
	       (double)sim->wasted / (double)sim->work, sim->copies,
	       sim->stops);
}

static void run_load(const load_t *load)
{
	sim_t *sim = talloc_zero(NULL, sim_t);
	batch_options_t options = { .ops = &ops,
				    .arg = sim,
				    .in_doubt_timeout = 300 * BASE_MS };
	batch_pool_info_t pool = { .name = BASE_STR("pool"),
				   .checks_admission = true };
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = BASE_STR("pool"),
				     .attempts = 3,
				     .stretch = 1000 };
	base_rng_t arrivals = { load->seed };
	int64_t next = BASE_SEC;

	sim->load = load;
	sim->rng.state = load->seed;
	sim->orders = g_array_new(FALSE, FALSE, sizeof(order_t));
	sim->times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	sim->core = batch_new(sim, &options);
	batch_config(sim->core, &queue, 1, &pool, 1);
	while (sim->n_jobs < JOBS || sim->first < JOBS) {
		sim->now += TICK;
		if (sim->now % (500 * BASE_MS) == 0 || sim->now == TICK)
			list_workers(sim);
		deliver(sim);
		run_workers(sim);
		for (; sim->n_jobs < JOBS && sim->now >= next;
		     next +=
		     1 + (int64_t)base_rng_below(
				 &arrivals, (uint32_t)(2 * mean_gap(load))))
			submit(sim);
		batch_tick(sim->core, sim->now, sim->now);
		store(sim);
		note_ends(sim);
	}
	print_result(sim);
	g_array_unref(sim->orders);
	g_array_unref(sim->times);
	talloc_free(sim);
}

int main(void)
{
	static const int percents[] = { 30, 60, 85 };
	uint64_t seed;
	int variant;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(percents); i++)
		for (variant = 0; variant < 4; variant++)
			for (seed = 1; seed <= 3; seed++)
				run_load(&(load_t){ .copies = variant & 1,
						    .by_task = variant & 2,
						    .percent = percents[i],
						    .seed = seed });
	return 0;
}
