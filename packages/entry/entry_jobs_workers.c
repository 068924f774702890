#include "entry_jobs.h"

/*
 * Passes teams, workers and drains from the current view to the jobs core.
 */

#define WORKERS_PERIOD_US (900 * BASE_MS)

typedef struct worker {
	char *incarnation;
	bool takes_tasks;
	bool seen;
	conf_shape_t shape;
} worker_t;

static void update_worker(entry_jobs_t *jobs, int64_t now,
			  const entry_endpoint_t *endpoint,
			  const conf_shape_t *shape);
static void send_worker_info(entry_jobs_t *jobs, int64_t now, const char *id,
			     const worker_t *worker);
static void update_drains(entry_jobs_t *jobs, int64_t now,
			  const entry_view_t *view);
static void free_worker(void *worker);

GHashTable *entry_jobs_workers_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_worker);
}

void entry_jobs_update_teams(entry_jobs_t *jobs)
{
	entry_view_t *view = entry_view_hold(jobs->daemon->views);
	const conf_t *conf = view->record->config;
	bool changed = view->record->generation != jobs->generation;

	if (changed)
		jobs_teams_clear(jobs->core);
	for (size_t i = 0; changed && i < conf->n_teams; i++) {
		const conf_team_t *team = &conf->teams[i];
		jobs_res_t quota = { {
			[JOBS_CORES] = team->cores * 1000,
			[JOBS_MEMORY] = team->memory_gb * 1024,
			[JOBS_ACCELERATORS] = team->accelerators,
		} };

		jobs_team_set(jobs->core, team->name, quota);
	}
	jobs->generation = view->record->generation;
	jobs->has_teams = conf->n_teams > 0;
	entry_view_release(view);
}

/*
 * A worker is an instance that serves a pool in the incarnation that its fleet
 * record names.  A worker that is cordoned, drained or gone gets no new tasks.
 * Only a later incarnation proves that its tasks no longer run.
 */
void entry_jobs_update_workers(entry_jobs_t *jobs, int64_t now)
{
	entry_view_t *view;
	GHashTableIter iter;
	void *id, *value;

	if (jobs->workers_updated_at &&
	    now - jobs->workers_updated_at < WORKERS_PERIOD_US)
		return;
	jobs->workers_updated_at = now;
	g_hash_table_iter_init(&iter, jobs->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((worker_t *)value)->seen = false;
	view = entry_view_hold(jobs->daemon->views);
	for (size_t i = 0; i < view->pool_count; i++) {
		const entry_pool_t *pool = &view->pools[i];

		for (size_t k = 0; k < pool->endpoint_count; k++)
			update_worker(jobs, now, &pool->endpoints[k],
				      &pool->conf->worker);
	}
	g_hash_table_iter_init(&iter, jobs->workers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		worker_t *worker = value;

		if (worker->seen || !worker->takes_tasks)
			continue;
		worker->takes_tasks = false;
		send_worker_info(jobs, now, id, worker);
	}
	update_drains(jobs, now, view);
	entry_view_release(view);
}

/*
 * Passes the cordoned instances of the view that the workers were updated
 * from.
 */
static void update_drains(entry_jobs_t *jobs, int64_t now,
			  const entry_view_t *view)
{
	size_t n = view->cordoned_count;
	jobs_drain_t *drains = talloc_zero_array(NULL, jobs_drain_t, n);

	TALLOC_FREE(jobs->cordoned_instances);
	jobs->cordoned_instances = talloc_zero_array(jobs, fleet_idle_t, n);
	jobs->cordoned_instance_count = n;
	for (size_t i = 0; i < n; i++) {
		const entry_owner_t *owner = &view->cordoned[i];

		jobs->cordoned_instances[i] =
			(fleet_idle_t){ talloc_strdup(jobs->cordoned_instances,
						      owner->id),
					owner->seq };
		drains[i] = (jobs_drain_t){ base_str(owner->id),
					    (int64_t)owner->inc };
	}
	jobs_drain(jobs->core, now, drains, n);
	talloc_free(drains);
}

bool entry_jobs_store_idle(entry_jobs_t *jobs, bool *is_written)
{
	fleet_idle_t *idle = talloc_zero_array(NULL, fleet_idle_t,
					       jobs->cordoned_instance_count);
	jobs_commit_t result;
	jobs_stats_t stats;
	bool may_run;
	size_t n = 0;

	for (size_t i = 0; i < jobs->cordoned_instance_count; i++)
		if (!jobs_worker_tasks(
			    jobs->core,
			    base_str(jobs->cordoned_instances[i].id)))
			idle[n++] = jobs->cordoned_instances[i];
	jobs_stats(jobs->core, &stats);
	may_run = jobs->has_teams || stats.tasks;
	result = site_joblog_write_idle(jobs->log, may_run, idle, n);
	talloc_free(idle);
	/*
	 * Once the idle record says that no tasks run, no task may start until
	 * the record has been replaced.
	 */
	*is_written = (*is_written && !jobs->no_tasks_recorded && may_run) ||
		      result == JOBS_COMMIT_DONE;
	if (result == JOBS_COMMIT_DONE)
		jobs->no_tasks_recorded = !may_run;
	return result != JOBS_COMMIT_FENCED;
}

static void update_worker(entry_jobs_t *jobs, int64_t now,
			  const entry_endpoint_t *endpoint,
			  const conf_shape_t *shape)
{
	worker_t *worker = g_hash_table_lookup(jobs->workers, endpoint->id);
	bool takes_tasks = endpoint->state == PLAT_LIVE;

	if (worker && worker->takes_tasks == takes_tasks &&
	    !memcmp(&worker->shape, shape, sizeof(*shape)) &&
	    !strcmp(worker->incarnation, endpoint->incarnation)) {
		worker->seen = true;
		return;
	}
	worker = g_new0(worker_t, 1);
	worker->incarnation = g_strdup(endpoint->incarnation);
	worker->takes_tasks = takes_tasks;
	worker->seen = true;
	worker->shape = *shape;
	g_hash_table_replace(jobs->workers, g_strdup(endpoint->id), worker);
	send_worker_info(jobs, now, endpoint->id, worker);
}

static void send_worker_info(entry_jobs_t *jobs, int64_t now, const char *id,
			     const worker_t *worker)
{
	const jobs_worker_info_t info = {
		.id = base_str(id),
		.incarnation = strtoll(worker->incarnation, NULL, 10),
		.capacity = { {
			[JOBS_CORES] = worker->shape.cores * 1000,
			[JOBS_MEMORY] = worker->shape.memory_gb * 1024,
			[JOBS_ACCELERATORS] = worker->shape.accelerators,
		} },
		.accepts_new_tasks = worker->takes_tasks,
	};

	jobs_worker_seen(jobs->core, now, &info);
}

static void free_worker(void *worker)
{
	g_free(((worker_t *)worker)->incarnation);
	g_free(worker);
}
