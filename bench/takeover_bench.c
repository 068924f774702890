/*
 * takeover_bench - processor time of a takeover by number of workers, as JSON
 * lines: rows restored, workers listed, placed and polled for the first time,
 * all rows printed once, and a third of the workers lost at once.
 */
#include <stdio.h>
#include <time.h>

#include "batch_int.h"

#define START (100 * BASE_SEC)
#define LEASE (5 * BASE_SEC)
#define TASKS 4		     /* of a job, each on a worker of its own */
#define LOST_PART 3	     /* workers, of which one is lost */
#define MISSING_PART 10	     /* jobs, of which one has a missing run */
#define INCARNATION_NOW 7    /* of each worker */
#define INCARNATION_FORMER 6 /* that answered the stop of a start in doubt */

static void measure(int n_workers);
static double cpu_ms(void);

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

static const batch_ops_t ops = {
	.advise = ignore_question,
	.accepted = ignore_name,
	.cancelled = ignore_name,
	.start = ignore_order,
	.stop = ignore_order,
	.pace = ignore_order,
	.log_event = ignore_event,
};

int main(void)
{
	static const int sizes[] = { 350, 1100, 5000, 19467 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}

/* Row of a job with a task on each of TASKS workers, from "first" on. */
static char *make_row(const void *ctx, int job, int first)
{
	char *row = talloc_strdup(
		ctx, "{\"state\":\"running\",\"begun\":true,\"arrived\":1,"
		     "\"occurrences\":1,\"tasks\":[");
	int i;

	for (i = 0; i < TASKS; i++)
		row = talloc_asprintf_append(row,
					     "%s[0,0,%d,0,2,0,\"w%d\",\"\"]",
					     i ? "," : "", i, first + i);
	row = talloc_asprintf_append(row, "],\"incarnations\":{");
	for (i = 0; i < TASKS; i++)
		row = talloc_asprintf_append(row, "%s\"w%d\":%d", i ? "," : "",
					     first + i, INCARNATION_NOW);
	row = talloc_asprintf_append(
		row,
		"},\"in_doubt\":[[0,0,0,1,\"w%d\",%d,%" G_GINT64_FORMAT "]]",
		first + 1, INCARNATION_FORMER, (int64_t)(START + LEASE));
	if (job % MISSING_PART == 0)
		row = talloc_asprintf_append(
			row,
			",\"crashes\":[[0,0,0,0,0,1,1,1]],"
			"\"missing\":[[0,0,0,1,\"gone%d\",%d,1,2,"
			"\"gone-address%d\",\"gone-instance%d\"]]",
			job, INCARNATION_FORMER, job, job);
	return talloc_asprintf_append(row, "}");
}

static void restore_job(batch_t *core, int job)
{
	void *ctx = talloc_new(NULL);
	batch_step_spec_t step = {
		.count = TASKS,
		.need = { .cpu = 1000 },
		.estimate = 60 * BASE_SEC,
		.max_unavailable = -1,
	};
	batch_spec_t spec = {
		.id = base_str(talloc_asprintf(ctx, "job%d", job)),
		.queue = BASE_STR("queue"),
		.steps = &step,
		.n_steps = 1,
		.repeat = 1,
	};
	batch_stored_t stored = { .id = spec.id,
				  .spec = &spec,
				  .record = make_row(ctx, job, job * TASKS),
				  .until = START + LEASE };

	if (!batch_restore(core, START, START, &stored, NULL))
		g_error("job %d is not restored", job);
	talloc_free(ctx);
}

static void list_worker(batch_t *core, int worker)
{
	void *ctx = talloc_new(NULL);
	batch_worker_info_t info = {
		.id = base_str(talloc_asprintf(ctx, "w%d", worker)),
		.address = base_str(talloc_asprintf(ctx, "address%d", worker)),
		.pool = BASE_STR("pool"),
		.zone = BASE_STR("zone"),
		.rack = base_str(talloc_asprintf(ctx, "rack%d", worker / 16)),
		.capacity = { .cpu = 16000, .memory = 64000 },
	};

	batch_worker_listed(core, START, &info);
	talloc_free(ctx);
}

static void place_worker(batch_t *core, int worker)
{
	char id[32];
	char instance[32];

	g_snprintf(id, sizeof(id), "w%d", worker);
	g_snprintf(instance, sizeof(instance), "instance%d", worker);
	batch_worker_placed(core, START, base_str(id), base_str(instance));
}

/* The worker lists the run that it has by the rows. */
static void poll_worker(batch_t *core, int worker)
{
	char id[32];
	char job[32];
	batch_listed_run_t run = { .task = { .index = worker % TASKS },
				   .run = 2 };
	batch_poll_result_t poll = { .incarnation = INCARNATION_NOW,
				     .sent = START,
				     .runs = &run,
				     .n_runs = 1 };

	g_snprintf(id, sizeof(id), "w%d", worker);
	g_snprintf(job, sizeof(job), "job%d", worker / TASKS);
	poll.worker = base_str(id);
	run.task.job = base_str(job);
	batch_worker_polled(core, START + BASE_SEC, &poll);
}

static void silence_worker(batch_t *core, int worker)
{
	char id[32];

	g_snprintf(id, sizeof(id), "w%d", worker);
	batch_worker_silent(core, base_str(id));
}

static void lose_worker(batch_t *core, int worker)
{
	char id[32];

	g_snprintf(id, sizeof(id), "w%d", worker);
	batch_worker_terminated(core, START + LEASE, base_str(id),
				BATCH_LOSS_UNKNOWN);
}

static void store_all(batch_t *core)
{
	batch_row_t rows[26];
	guint i;

	for (i = 0; i < core->active_jobs->len; i++)
		batch_job_changed(g_ptr_array_index(core->active_jobs, i));
	while (batch_rows(core, BATCH_LANE_ALL, rows, G_N_ELEMENTS(rows),
			  G_N_ELEMENTS(rows)))
		batch_rows_stored(core, BATCH_LANE_ALL, START + BASE_SEC);
}

static batch_t *make_core(void)
{
	batch_options_t options = { .ops = &ops,
				    .in_doubt_timeout = 2 * BASE_SEC,
				    .drain_time = 2 * BASE_SEC };
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = BASE_STR("pool"),
				     .attempts = 3,
				     .stretch = 2,
				     .target_latency = BASE_SEC };
	batch_pool_info_t pool = { .name = BASE_STR("pool"),
				   .checks_admission = true };
	batch_t *core = batch_new(NULL, &options);

	batch_config(core, &queue, 1, &pool, 1);
	return core;
}

static double time_each(batch_t *core, int n, void (*step)(batch_t *, int))
{
	double start_ms = cpu_ms();
	int i;

	for (i = 0; i < n; i++)
		step(core, i);
	return cpu_ms() - start_ms;
}

static void measure(int n_workers)
{
	batch_t *core = make_core();
	double restore_ms = time_each(core, n_workers / TASKS, restore_job);
	double list_ms = time_each(core, n_workers, list_worker);
	double place_ms = time_each(core, n_workers, place_worker);
	double poll_ms = time_each(core, n_workers, poll_worker);
	double start_ms = cpu_ms();
	double store_ms;
	double lose_ms;

	store_all(core);
	store_ms = cpu_ms() - start_ms;
	time_each(core, n_workers / LOST_PART, silence_worker);
	lose_ms = time_each(core, n_workers / LOST_PART, lose_worker);
	printf("{\"bench\":\"takeover\",\"workers\":%d,\"restore_ms\":%.1f,"
	       "\"list_ms\":%.1f,\"place_ms\":%.1f,\"poll_ms\":%.1f,"
	       "\"rows_ms\":%.1f,\"lose_ms\":%.1f}\n",
	       n_workers, restore_ms, list_ms, place_ms, poll_ms, store_ms,
	       lose_ms);
	fflush(stdout);
	talloc_free(core);
}

static double cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}
