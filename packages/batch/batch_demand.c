/*
 * Amounts of work: of a job, of the backlog of a pool, and the capacity that a
 * pool needs now to end its jobs in time.
 */
#include "batch_int.h"

/* A run is assumed to need at least this part of its estimate from now on. */
#define DEMAND_LEFT_PART 0.15
/*
 * Part of a job's remaining time over which its work may be spread: the last
 * task waits longer than the mean.
 */
#define DEMAND_SPREAD_PART 0.5
/*
 * A pool's backlog is summed over all jobs, and its capacity over all workers,
 * at most once in this time, not for each submitted job.
 */
#define DEMAND_LOAD_AGE (50 * BASE_MS)
/* About half the run time of a short task. */
#define DEMAND_SPREAD_MIN (500 * BASE_MS)

/* Sum of the remaining run times of a step's unfinished tasks. */
static double run_time_left(const batch_step_t *step, double estimate,
			    int64_t now)
{
	double left = 0;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];
		double done = 0;

		if (task->done)
			continue;
		if (task->run && task->run->start_confirmed_at)
			done = (double)(now - task->run->start_confirmed_at);
		left += done < estimate * (1 - DEMAND_LEFT_PART)
				? estimate - done
				: estimate * DEMAND_LEFT_PART;
	}
	return left;
}

/* The remaining work of a job. */
batch_load_t batch_job_work(const batch_job_t *job, int64_t now)
{
	const batch_occ_t *occ = job->occs && job->occs->len
					 ? g_ptr_array_index(job->occs, 0)
					 : NULL;
	batch_load_t load = { 0, 0 };
	int i;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];
		double estimate = (double)batch_task_estimate(job, i);
		double left;

		if (spec->long_running)
			continue;
		left = occ ? run_time_left(&occ->steps[i], estimate, now)
			   : estimate * spec->count;
		load.cpu += (double)spec->need.cpu * left;
		load.memory += (double)spec->need.memory * left;
	}
	return load;
}

void batch_load_add(batch_load_t *load, const batch_step_spec_t *spec)
{
	load->cpu += (double)spec->need.cpu;
	load->memory += (double)spec->need.memory;
}

/* What long-running tasks use of the worker's present capacity. */
static batch_load_t worker_long_running(const batch_worker_t *worker)
{
	return (batch_load_t){ (double)MIN(worker->long_running.cpu,
					   worker->capacity.cpu),
			       (double)MIN(worker->long_running.memory,
					   worker->capacity.memory) };
}

/* Capacity that long-running tasks use on the workers of a pool. */
batch_load_t batch_pool_long_running(const batch_pool_t *pool)
{
	batch_load_t load = { 0, 0 };
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_load_t part = worker_long_running(
			g_ptr_array_index(pool->workers, i));

		load.cpu += part.cpu;
		load.memory += part.memory;
	}
	return load;
}

static batch_load_t sum_available(const batch_pool_t *pool)
{
	batch_load_t load = { pool->incoming * pool->worker_cpu,
			      pool->incoming * pool->worker_memory };
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);
		batch_load_t used = worker_long_running(worker);

		load.cpu -= used.cpu;
		load.memory -= used.memory;
		if (!batch_worker_in_capacity(worker))
			continue;
		load.cpu += (double)worker->capacity.cpu;
		load.memory += (double)worker->capacity.memory;
	}
	return load;
}

batch_load_t batch_pool_available(batch_pool_t *pool, int64_t now)
{
	if (!pool->available_at || now - pool->available_at > DEMAND_LOAD_AGE) {
		pool->available = sum_available(pool);
		pool->available_at = now;
	}
	return pool->available;
}

static void add_load(batch_load_t *load, const batch_load_t *more)
{
	load->cpu += more->cpu;
	load->memory += more->memory;
}

static void clear_backlogs(const batch_t *core, const batch_pool_t *pool)
{
	guint i;

	for (i = 0; i < core->workspaces->len; i++)
		batch_workspace_in_pool(g_ptr_array_index(core->workspaces, i),
					pool)
			->backlog = (batch_load_t){ 0, 0 };
}

static batch_load_t sum_backlog(batch_t *core, const batch_pool_t *pool,
				int64_t now)
{
	batch_load_t work = { 0, 0 };
	guint i;

	clear_backlogs(core, pool);
	for (i = 0; i < core->active_jobs->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->active_jobs, i);
		batch_load_t left;

		if (!batch_job_is_active(job) || job->queue->pool != pool ||
		    job->spec.repeat)
			continue;
		/* Late jobs come last and do not delay the others. */
		if (now - job->arrived > batch_objective(job))
			continue;
		left = batch_job_work(job, now);
		work.cpu += left.cpu;
		work.memory += left.memory;
		add_load(
			&batch_workspace_in_pool(job->workspace, pool)->backlog,
			&left);
	}
	return work;
}

/* The accepted work of the pool that can still end in time. */
batch_load_t batch_pool_backlog(batch_t *core, batch_pool_t *pool, int64_t now)
{
	if (!pool->backlog_at || now - pool->backlog_at > DEMAND_LOAD_AGE) {
		pool->backlog = sum_backlog(core, pool, now);
		pool->backlog_at = now;
	}
	return pool->backlog;
}

void batch_backlog_add(const batch_job_t *job, const batch_load_t *work)
{
	batch_pool_t *pool = job->queue->pool;

	add_load(&pool->backlog, work);
	add_load(&batch_workspace_in_pool(job->workspace, pool)->backlog, work);
}

/* The most that the job can use at once: that of its widest step. */
static batch_load_t max_parallel_load(const batch_job_t *job)
{
	const batch_occ_t *occ = job->occs && job->occs->len
					 ? g_ptr_array_index(job->occs, 0)
					 : NULL;
	batch_load_t most = { 0, 0 };
	int i;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];
		int tasks = spec->count - (occ ? occ->steps[i].done : 0);

		if (spec->long_running)
			continue;
		most.cpu = MAX(most.cpu, (double)spec->need.cpu * tasks);
		most.memory =
			MAX(most.memory, (double)spec->need.memory * tasks);
	}
	return most;
}

/*
 * What the job needs from now on to end in time: its work over its remaining
 * time, but no more than it can use at once.
 */
static batch_load_t job_need(const batch_job_t *job, int64_t now)
{
	/* A task that waits for its rack needs no instance for that. */
	int64_t since = now < job->rack_wait_until
				? MIN(now, job->rack_wait_since)
				: now;
	int64_t time = job->arrived + batch_objective(job) - since;
	batch_load_t work;
	batch_load_t most;

	if (job->spec.repeat || time <= 0)
		return (batch_load_t){ 0, 0 };
	time = MAX((int64_t)(DEMAND_SPREAD_PART * (double)time),
		   DEMAND_SPREAD_MIN);
	work = batch_job_work(job, now);
	most = max_parallel_load(job);
	return (batch_load_t){ MIN(work.cpu / (double)time, most.cpu),
			       MIN(work.memory / (double)time, most.memory) };
}

/* Workers needed to spread the job's long-running tasks as max_per_worker
 * demands. */
static int job_spread_workers(const batch_job_t *job)
{
	int most = 0;
	int s;

	for (s = 0; s < job->spec.n_steps; s++) {
		const batch_step_spec_t *spec = &job->spec.steps[s];

		int tasks;

		if (!spec->long_running || !spec->max_per_worker)
			continue;
		tasks = batch_workspace_max_tasks(job->workspace, spec);
		most = MAX(most, (tasks + spec->max_per_worker - 1) /
					 spec->max_per_worker);
	}
	return most;
}

/* What a workspace cannot run at once needs no workers. */
static void add_workspace_need(const batch_t *core,
			       batch_workspace_t *workspace)
{
	batch_load_t sum = { 0, 0 };
	GHashTableIter iter;
	gpointer value;
	double part;

	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_load(&sum,
			 &batch_workspace_in_pool(workspace, value)->need);
	part = 1 / MAX(batch_workspace_limit_ratio(workspace, &sum), 1);
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_pool_t *pool = value;
		batch_pool_use_t *use =
			batch_workspace_in_pool(workspace, pool);

		pool->need_now.cpu += part * use->need.cpu;
		pool->need_now.memory += part * use->need.memory;
		use->need = (batch_load_t){ 0, 0 };
	}
}

void batch_pools_measure(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_pool_t *pool = value;

		pool->need_now = (batch_load_t){ 0, 0 };
		pool->spread_workers = 0;
	}
	for (i = 0; i < core->active_jobs->len; i++) {
		const batch_job_t *job =
			g_ptr_array_index(core->active_jobs, i);
		batch_pool_t *pool;
		batch_load_t need;

		if (!batch_job_is_active(job))
			continue;
		pool = job->queue->pool;
		need = job_need(job, now);
		add_load(&batch_workspace_in_pool(job->workspace, pool)->need,
			 &need);
		pool->spread_workers =
			MAX(pool->spread_workers, job_spread_workers(job));
	}
	for (i = 0; i < core->workspaces->len; i++)
		add_workspace_need(core,
				   g_ptr_array_index(core->workspaces, i));
}
