#include <limits.h>

#include "batch_int.h"

BASE_ERROR_DOMAIN(batch)

static const char *const state_names[BATCH_STATE_MAX] = {
	[BATCH_UNKNOWN] = "unknown", [BATCH_QUEUED] = "queued",
	[BATCH_RUNNING] = "running", [BATCH_COMPLETED] = "completed",
	[BATCH_FAILED] = "failed",   [BATCH_CANCELLED] = "cancelled",
};

const char *batch_state_name(batch_state_t state)
{
	return state_names[state];
}

static int core_free(batch_t *core)
{
	GHashTableIter iter;
	gpointer value;
	int i;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		g_ptr_array_unref(worker->runs);
		g_ptr_array_unref(worker->claims);
		g_array_unref(worker->unstored_ends);
		g_array_unref(worker->in_doubt_starts);
	}
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_racks_forget(value);
		g_ptr_array_unref(((batch_pool_t *)value)->workers);
	}
	g_hash_table_iter_init(&iter, core->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((batch_job_t *)value)->occs)
			g_ptr_array_unref(((batch_job_t *)value)->occs);
	g_hash_table_unref(core->jobs);
	g_hash_table_unref(core->workers);
	g_hash_table_unref(core->workers_by_address);
	g_hash_table_unref(core->workers_by_instance);
	g_hash_table_unref(core->workers_by_doubt);
	g_hash_table_unref(core->silent_workers);
	g_hash_table_unref(core->listed_in_zone);
	g_hash_table_unref(core->listed_in_rack);
	g_hash_table_unref(core->queues);
	g_hash_table_unref(core->pools);
	batch_workspaces_free(core);
	g_ptr_array_unref(core->active_jobs);
	for (i = 0; i < BATCH_LANE_MAX; i++)
		g_ptr_array_unref(core->storing_jobs[i]);
	g_array_unref(core->losses);
	g_hash_table_unref(core->lost_workers);
	g_hash_table_unref(core->missing);
	g_hash_table_unref(core->missing_by_address);
	g_hash_table_unref(core->missing_by_instance);
	g_hash_table_unref(core->missing_by_job);
	g_hash_table_unref(core->refused);
	g_queue_clear(&core->rows);
	return 0;
}

batch_t *batch_new(const void *ctx, const batch_options_t *options)
{
	batch_t *core = talloc_zero(ctx, batch_t);
	int i;

	core->options = *options;
	core->decide_wait = batch_wait_decide;
	for (i = 0; i < BATCH_TIME_MAX; i++)
		core->times[i] = base_hist_new(core);
	core->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	core->workers = g_hash_table_new(g_str_hash, g_str_equal);
	core->workers_by_address = batch_index_new();
	core->workers_by_instance = batch_index_new();
	core->workers_by_doubt = batch_index_new();
	core->silent_workers = g_hash_table_new(NULL, NULL);
	core->listed_in_zone = g_hash_table_new(NULL, NULL);
	core->listed_in_rack = g_hash_table_new(NULL, NULL);
	core->queues = g_hash_table_new(g_str_hash, g_str_equal);
	core->pools = g_hash_table_new(g_str_hash, g_str_equal);
	batch_workspaces_init(core);
	core->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	core->active_jobs = g_ptr_array_new();
	for (i = 0; i < BATCH_LANE_MAX; i++)
		core->storing_jobs[i] = g_ptr_array_new();
	core->losses = batch_crash_losses_new();
	core->lost_workers = g_hash_table_new(NULL, NULL);
	core->missing = batch_missing_new();
	core->missing_by_address = batch_index_new();
	core->missing_by_instance = batch_index_new();
	core->missing_by_job = batch_index_new();
	g_queue_init(&core->rows);
	talloc_set_destructor(core, core_free);
	return core;
}

/* Looks up a name that need not end in a NUL. */
static void *find_by_name(GHashTable *table, base_str_t key)
{
	char text[BATCH_KEY_MAX];

	if (key.len >= sizeof(text))
		return NULL;
	if (key.len)
		memcpy(text, key.ptr, key.len);
	text[key.len] = '\0';
	return g_hash_table_lookup(table, text);
}

batch_job_t *batch_find_job(const batch_t *core, base_str_t id)
{
	return find_by_name(core->jobs, id);
}

batch_worker_t *batch_find_worker(const batch_t *core, base_str_t id)
{
	return find_by_name(core->workers, id);
}

batch_queue_t *batch_find_queue(const batch_t *core, base_str_t name)
{
	return find_by_name(core->queues, name);
}

batch_pool_t *batch_pool_get(batch_t *core, base_str_t name)
{
	batch_pool_t *pool = find_by_name(core->pools, name);

	if (pool)
		return pool;
	pool = talloc_zero(core, batch_pool_t);
	pool->name = base_str_dup(pool, name);
	batch_pool_resize_uses(core, pool);
	pool->checks_admission = true;
	pool->workers = g_ptr_array_new();
	g_hash_table_insert(core->pools, pool->name, pool);
	return pool;
}

batch_task_t *batch_find_task(const batch_t *core, const batch_task_id_t *id)
{
	batch_job_t *job = batch_find_job(core, id->job);
	guint i;

	if (!job || !job->occs || id->step < 0 || id->step >= job->spec.n_steps)
		return NULL;
	if (id->index < 0 || id->index >= job->spec.steps[id->step].count)
		return NULL;
	for (i = 0; i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		if (occ->number == id->occurrence)
			return &occ->steps[id->step].tasks[id->index];
	}
	return NULL;
}

void batch_log_emit(batch_t *core, const batch_log_event_t *event)
{
	if (core->options.ops->log_event)
		core->options.ops->log_event(core->options.arg, event);
}

batch_task_id_t batch_task_get_id(const batch_task_t *task)
{
	return (batch_task_id_t){ base_str(task->step->occ->job->id),
				  task->step->occ->number, task->step->number,
				  task->index };
}

bool batch_job_is_active(const batch_job_t *job)
{
	return job->state == BATCH_QUEUED || job->state == BATCH_RUNNING;
}

bool batch_step_is_ready(const batch_step_t *step)
{
	int i;

	for (i = 0; i < step->number; i++)
		if ((step->spec->depends_on >> i & 1) &&
		    step->occ->steps[i].done < step->occ->steps[i].spec->count)
			return false;
	return true;
}

bool batch_step_has_waiting(const batch_step_t *step)
{
	return step->done + step->n_open_runs < step->spec->count &&
	       batch_step_is_ready(step);
}

static void set_queue(batch_t *core, const batch_queue_info_t *info,
		      bool in_force)
{
	batch_queue_t *queue = batch_find_queue(core, info->name);

	if (!queue) {
		queue = talloc_zero(core, batch_queue_t);
		queue->name = base_str_dup(queue, info->name);
		g_hash_table_insert(core->queues, queue->name, queue);
	}
	queue->pool = batch_pool_get(core, info->pool);
	queue->priority = info->priority;
	queue->attempts = info->attempts;
	queue->advised = info->advised;
	batch_advice_cost_config(&queue->advice, &info->policy);
	queue->stretch = info->stretch;
	queue->target_latency = info->target_latency;
	queue->in_force = in_force;
}

void batch_queue_keep(batch_t *core, const batch_queue_info_t *info)
{
	if (!batch_find_queue(core, info->name))
		set_queue(core, info, false);
}

void batch_config(batch_t *core, const batch_queue_info_t *queues,
		  size_t n_queues, const batch_pool_info_t *pools,
		  size_t n_pools)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&iter, core->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((batch_queue_t *)value)->in_force = false;
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((batch_pool_t *)value)->in_force = false;
	for (i = 0; i < n_pools; i++) {
		batch_pool_t *pool = batch_pool_get(core, pools[i].name);

		pool->checks_admission = pools[i].checks_admission;
		pool->spare = pools[i].spare;
		pool->in_force = true;
	}
	for (i = 0; i < n_queues; i++)
		set_queue(core, &queues[i], true);
	core->pass_needed = true;
}

static bool step_check(const batch_spec_t *spec, int number, GError **err)
{
	const batch_step_spec_t *step = &spec->steps[number];
	const char *fault = NULL;

	if (step->count < 1 || step->count > BATCH_TASKS_MAX)
		fault = "has no tasks or too many tasks";
	else if (step->need.cpu < 0 || step->need.memory < 0 ||
		 step->need.gpu < 0)
		fault = "has a negative resource request";
	else if (step->depends_on >> number)
		fault = "depends on itself or on a later step";
	else if (step->max_per_worker < 0 || step->estimate < 0)
		fault = "has a negative limit of tasks per worker or run time estimate";
	else if (step->gang && step->long_running)
		fault = "is both a gang and long-running";
	if (!fault)
		return true;
	g_set_error(err, BATCH_ERROR, BATCH_ERR_SPEC, "step %d %s", number,
		    fault);
	return false;
}

bool batch_spec_check(const batch_spec_t *spec, GError **err)
{
	int i;

	if (!spec->id.len || spec->id.len >= BATCH_KEY_MAX) {
		g_set_error(err, BATCH_ERROR, BATCH_ERR_SPEC,
			    "the job's id is missing or too long");
		return false;
	}
	if (spec->n_steps < 1 || spec->n_steps > BATCH_STEPS_MAX) {
		g_set_error(err, BATCH_ERROR, BATCH_ERR_SPEC,
			    "the job has %d steps, must have 1 to %d",
			    spec->n_steps, BATCH_STEPS_MAX);
		return false;
	}
	if (spec->repeat < 0 || (spec->repeat > 1 && spec->interval <= 0)) {
		g_set_error(err, BATCH_ERROR, BATCH_ERR_SPEC,
			    "the job repeats without a positive interval");
		return false;
	}
	for (i = 0; i < spec->n_steps; i++)
		if (!step_check(spec, i, err))
			return false;
	return true;
}

static base_str_t dup_str(const void *ctx, base_str_t text)
{
	return (base_str_t){ base_str_dup(ctx, text), text.len };
}

static void copy_steps(batch_job_t *job, const batch_spec_t *spec)
{
	batch_step_spec_t *steps = talloc_memdup(
		job, spec->steps, sizeof(*steps) * (size_t)spec->n_steps);
	int i;

	for (i = 0; i < spec->n_steps; i++) {
		steps[i].label = dup_str(steps, spec->steps[i].label);
		steps[i].data_rack = dup_str(steps, spec->steps[i].data_rack);
		steps[i].image = dup_str(steps, spec->steps[i].image);
	}
	job->spec.steps = steps;
}

/*
 * The queue of a job.  One that was stored by a former version, and whose queue
 * has been removed since, waits in a queue whose pool has no workers until the
 * configuration has that queue again; it can be cancelled.
 */
static batch_queue_t *queue_of(batch_t *core, const batch_spec_t *spec)
{
	batch_queue_info_t unknown = { .name = spec->queue,
				       .pool = BASE_STR(""),
				       .attempts = INT_MAX };

	if (spec->n_steps)
		batch_queue_keep(core, &unknown);
	return batch_find_queue(core, spec->queue);
}

/* Creates a job without any decision.  A job that has ended has no steps. */
batch_job_t *batch_job_new(batch_t *core, const batch_spec_t *spec)
{
	batch_job_t *job = talloc_zero(core, batch_job_t);
	int i;

	job->core = core;
	job->spec = *spec;
	job->id = base_str_dup(job, spec->id);
	job->lane = (int)(g_str_hash(job->id) % BATCH_LANES);
	job->spec.id = base_str(job->id);
	job->spec.queue = dup_str(job, spec->queue);
	job->workspace = batch_workspace_get(core, spec->workspace);
	job->spec.workspace = dup_str(job, spec->workspace);
	job->spec.payload = dup_str(job, spec->payload);
	job->spec.source = dup_str(job, spec->source);
	if (spec->n_steps)
		copy_steps(job, spec);
	for (i = 0; i < spec->n_steps; i++)
		job->is_speculative |= batch_step_may_copy(&spec->steps[i]);
	batch_estimate_init(job);
	job->queue = queue_of(core, spec);
	job->state = BATCH_QUEUED;
	job->occs = g_ptr_array_new();
	g_hash_table_insert(core->jobs, job->id, job);
	return job;
}

batch_occ_t *batch_occ_new(batch_job_t *job, int number)
{
	batch_occ_t *occ = talloc_zero(job, batch_occ_t);
	int i;
	int j;

	occ->job = job;
	occ->number = number;
	occ->steps =
		talloc_zero_array(occ, batch_step_t, (size_t)job->spec.n_steps);
	for (i = 0; i < job->spec.n_steps; i++) {
		batch_step_t *step = &occ->steps[i];

		step->occ = occ;
		step->spec = &job->spec.steps[i];
		step->number = i;
		step->tasks = talloc_zero_array(occ, batch_task_t,
						(size_t)step->spec->count);
		for (j = 0; j < step->spec->count; j++) {
			step->tasks[j].step = step;
			step->tasks[j].index = j;
		}
	}
	g_ptr_array_add(job->occs, occ);
	job->n_opened = number + 1;
	job->may_wait = true;
	return occ;
}

int batch_occ_tasks(const batch_job_t *job)
{
	int n = 0;
	int i;

	for (i = 0; i < job->spec.n_steps; i++)
		n += job->spec.steps[i].count;
	return n;
}

int batch_job_open_occs(const batch_job_t *job)
{
	int n = 0;
	guint i;

	for (i = 0; job->occs && i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		n += occ->done_steps < job->spec.n_steps;
	}
	return n;
}

static void drop_job(batch_t *core, batch_job_t *job)
{
	g_hash_table_remove(core->jobs, job->id);
	if (job->occs)
		g_ptr_array_unref(job->occs);
	talloc_free(job);
}

batch_admission_t batch_submit(batch_t *core, int64_t now, int64_t wall,
			       const batch_spec_t *spec,
			       batch_refusal_t *refusal)
{
	batch_job_t *job = batch_find_job(core, spec->id);

	*refusal = (batch_refusal_t){ BATCH_REFUSAL_NO_QUEUE, BASE_SEC };
	if (job)
		return BATCH_DUPLICATE;
	if (!batch_find_queue(core, spec->queue)) {
		core->stats.refused++;
		return BATCH_REFUSED;
	}
	job = batch_job_new(core, spec);
	job->arrived = now;
	job->arrived_wall = wall;
	if (!batch_admit(core, job, now, refusal)) {
		core->stats.refused++;
		job->workspace->refused[refusal->kind]++;
		drop_job(core, job);
		return BATCH_REFUSED;
	}
	if (!spec->repeat)
		batch_occ_new(job, 0);
	g_ptr_array_add(core->active_jobs, job);
	batch_job_changed(job);
	core->pass_needed = true;
	return BATCH_ACCEPTED;
}

/* Whether the job ended other than by a cancellation. */
static bool has_ended_uncancelled(const batch_job_t *job)
{
	return job->state == BATCH_COMPLETED || job->state == BATCH_FAILED;
}

bool batch_cancel(batch_t *core, int64_t now, base_str_t id,
		  batch_state_t *state)
{
	batch_job_t *job = batch_find_job(core, id);

	*state = job ? job->stored_state : BATCH_UNKNOWN;
	if (!job ||
	    (has_ended_uncancelled(job) && job->stored_version == job->version))
		return false;
	if (job->cancelled)
		return true;
	job->cancelled = true;
	/* The end is not stored: a successor would go on running the job. */
	if (has_ended_uncancelled(job))
		batch_job_changed(job);
	else
		batch_job_end(job, now, BATCH_CANCELLED);
	return true;
}

batch_state_t batch_state(const batch_t *core, base_str_t id)
{
	batch_job_t *job = batch_find_job(core, id);

	return job ? job->stored_state : BATCH_UNKNOWN;
}

base_str_t batch_job_workspace(const batch_t *core, base_str_t id)
{
	batch_job_t *job = batch_find_job(core, id);

	return job ? job->spec.workspace : BASE_STR("");
}

base_str_t batch_job_queue(const batch_t *core, base_str_t id)
{
	batch_job_t *job = batch_find_job(core, id);

	return job ? job->spec.queue : BASE_STR("");
}

bool batch_job_unstored(const batch_t *core, base_str_t id)
{
	batch_job_t *job = batch_find_job(core, id);

	return job && !job->stored;
}

size_t batch_pending(const batch_t *core, base_str_t queue)
{
	size_t n = 0;
	guint i;

	for (i = 0; i < core->active_jobs->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->active_jobs, i);

		if (job->stored && !job->started && batch_job_is_active(job) &&
		    base_str_eq(job->spec.queue, queue))
			n++;
	}
	return n;
}

GPtrArray *batch_purge_jobs(batch_t *core, int64_t before)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_job_t *job = value;

		if (batch_job_is_active(job) || job->n_runs ||
		    job->n_unstored_ends || job->row_queued ||
		    job->stored_version < job->version ||
		    job->ended_wall >= before)
			continue;
		g_ptr_array_add(ids, g_strdup(job->id));
		g_hash_table_iter_remove(&iter);
		g_ptr_array_remove_fast(core->active_jobs, job);
		if (job->occs)
			g_ptr_array_unref(job->occs);
		talloc_free(job);
	}
	return ids;
}

int64_t batch_answer_time(const batch_t *core)
{
	return core->answer_time;
}

const base_hist_t *batch_times(const batch_t *core, batch_time_t which)
{
	return core->times[which];
}

void batch_poll_ages(const batch_t *core, int64_t now,
		     batch_poll_age_fn_t *report, void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *worker = value;

		if (worker->listed && worker->incarnation)
			report(arg, worker->id, now - worker->polled_at);
	}
}

void batch_stats(const batch_t *core, batch_stats_t *stats)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	*stats = core->stats;
	stats->jobs = 0;
	stats->runs = 0;
	for (i = 0; i < core->active_jobs->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->active_jobs, i);

		stats->jobs += batch_job_is_active(job);
		stats->runs += (size_t)job->n_runs;
	}
	stats->workers = 0;
	stats->quarantined = 0;
	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		stats->workers += ((batch_worker_t *)value)->listed;
		stats->quarantined += ((batch_worker_t *)value)->is_quarantined;
	}
}
