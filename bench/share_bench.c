/*
 * share_bench - processor time of a scheduling pass and of an admission by
 * number of workspaces and of workers, as JSON lines.
 *
 * Load: twice as many tasks wait as the workers can run, so that a pool is
 * divided and an admission looks at a backlog.
 */
#include <stdio.h>
#include <time.h>

#include "batch_int.h"

#define START (100 * BASE_SEC)
#define JOBS 400	/* a pass looks at each of them */
#define PASSES 20	/* of which the mean is reported */
#define ADMISSIONS 2000 /* the same */
#define SLOTS 4		/* tasks that a worker can run */
/* After it the sums over jobs and workers are made again. */
#define REFRESH (2 * BASE_SEC)

static void measure(int n_workers, int n_workspaces);
static double cpu_us(void);

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

static const batch_ops_t ops = {
	.accepted = ignore_name,
	.cancelled = ignore_name,
	.start = ignore_order,
	.stop = ignore_order,
	.pace = ignore_order,
	.log_event = ignore_event,
};

int main(void)
{
	static const int workers[] = { 350, 19467 };
	static const int workspaces[] = { 0, 20, 610 };
	size_t i;
	size_t j;

	for (i = 0; i < G_N_ELEMENTS(workers); i++)
		for (j = 0; j < G_N_ELEMENTS(workspaces); j++)
			measure(workers[i], workspaces[j]);
	return 0;
}

static void list_worker(batch_t *core, int worker)
{
	char id[32];
	batch_worker_info_t info = { .pool = BASE_STR("pool"),
				     .zone = BASE_STR("zone"),
				     .capacity = { .cpu = SLOTS * 1000,
						   .memory = 64000 } };
	batch_poll_result_t poll = { .incarnation = 1, .sent = START };

	g_snprintf(id, sizeof(id), "w%d", worker);
	info.id = base_str(id);
	info.address = info.id;
	poll.worker = info.id;
	batch_worker_listed(core, START, &info);
	batch_worker_polled(core, START, &poll);
}

static void configure(batch_t *core, int n_workspaces)
{
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = BASE_STR("pool"),
				     .attempts = 3,
				     .stretch = 100,
				     .target_latency = BASE_SEC };
	batch_pool_info_t pool = { .name = BASE_STR("pool"),
				   .checks_admission = true };
	batch_workspace_info_t *list =
		talloc_zero_array(NULL, batch_workspace_info_t, n_workspaces);
	int i;

	for (i = 0; i < n_workspaces; i++)
		list[i] = (batch_workspace_info_t){
			.name = base_str(talloc_asprintf(list, "s%d", i)),
			.weight = 1 + i % 5,
			.limit = { .cpu = 1000000000 },
		};
	batch_config(core, &queue, 1, &pool, 1);
	batch_config_workspaces(core, list, n_workspaces);
	talloc_free(list);
}

static batch_admission_t submit(batch_t *core, int64_t now, int job, int tasks,
				int n_workspaces)
{
	char id[32];
	char workspace[32];
	batch_refusal_t refusal;
	batch_step_spec_t step = { .count = tasks,
				   .need = { .cpu = 1000, .memory = 100 },
				   .estimate = 20 * BASE_SEC };
	batch_spec_t spec = { .queue = BASE_STR("queue"),
			      .steps = &step,
			      .n_steps = 1 };

	g_snprintf(id, sizeof(id), "job%d", job);
	spec.id = base_str(id);
	if (n_workspaces) {
		g_snprintf(workspace, sizeof(workspace), "s%d",
			   job % n_workspaces);
		spec.workspace = base_str(workspace);
	}
	return batch_submit(core, now, now, &spec, &refusal);
}

static void store_all(batch_t *core, int64_t now)
{
	batch_row_t rows[26];

	while (batch_rows(core, BATCH_LANE_ALL, rows, G_N_ELEMENTS(rows),
			  2 * G_N_ELEMENTS(rows)))
		batch_rows_stored(core, BATCH_LANE_ALL, now);
}

/* The tasks stay started, and the passes look at all that wait. */
static double time_passes(batch_t *core)
{
	double start_us;
	uint64_t starts;
	int i;

	do {
		starts = core->stats.starts;
		batch_place(core, START, START);
		store_all(core, START);
	} while (core->stats.starts > starts);
	start_us = cpu_us();
	for (i = 0; i < PASSES; i++)
		batch_place(core, START + i, START);
	return (cpu_us() - start_us) / PASSES;
}

/* Between two sums over jobs and workers, of which there are a few a second. */
static double time_admissions(batch_t *core, int n_workspaces)
{
	double start_us;
	int i;

	submit(core, START + REFRESH, JOBS, 1, n_workspaces);
	start_us = cpu_us();
	for (i = 1; i <= ADMISSIONS; i++)
		submit(core, START + REFRESH, JOBS + i, 1, n_workspaces);
	return (cpu_us() - start_us) / ADMISSIONS;
}

static void measure(int n_workers, int n_workspaces)
{
	batch_options_t options = { .ops = &ops,
				    .in_doubt_timeout = 2 * BASE_SEC,
				    .drain_time = 2 * BASE_SEC };
	batch_t *core = batch_new(NULL, &options);
	int tasks = 2 * n_workers * SLOTS / JOBS + 1;
	double pass_us;
	double admission_us;
	int i;

	configure(core, n_workspaces);
	for (i = 0; i < n_workers; i++)
		list_worker(core, i);
	for (i = 0; i < JOBS; i++)
		if (submit(core, START, i, tasks, n_workspaces) !=
		    BATCH_ACCEPTED)
			g_error("job %d is not accepted", i);
	store_all(core, START);
	pass_us = time_passes(core);
	admission_us = time_admissions(core, n_workspaces);
	printf("{\"bench\":\"share\",\"workers\":%d,\"workspaces\":%d,"
	       "\"jobs\":%d,\"starts\":%d,\"pass_us\":%.1f,"
	       "\"admission_us\":%.2f}\n",
	       n_workers, n_workspaces, JOBS, (int)core->stats.starts, pass_us,
	       admission_us);
	fflush(stdout);
	talloc_free(core);
}

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}
