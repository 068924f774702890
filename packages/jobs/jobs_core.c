/* Creating the core; submitting, cancelling, releasing and dropping jobs. */
#include "jobs_int.h"

static bool check_spec(const jobs_spec_t *spec, GError **err);
static void count(jobs_t *jobs, jobs_state_t state, int by);

BASE_ERROR_DOMAIN(jobs)

static int free_tables(jobs_t *jobs)
{
	g_hash_table_destroy(jobs->jobs);
	g_hash_table_destroy(jobs->workers);
	g_hash_table_destroy(jobs->teams);
	g_hash_table_destroy(jobs->families);
	return 0;
}

jobs_t *jobs_new(const void *ctx, const jobs_options_t *options)
{
	jobs_t *jobs = talloc_zero(ctx, jobs_t);

	jobs->opt = *options;
	if (!jobs->opt.lease_us)
		jobs->opt.lease_us = JOBS_LEASE_US;
	jobs->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	jobs->workers = g_hash_table_new(g_str_hash, g_str_equal);
	jobs->teams = g_hash_table_new(g_str_hash, g_str_equal);
	jobs->families = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(jobs, free_tables);
	jobs->tree = jobs_tree_new(jobs);
	for (int u = 0; u < JOBS_URGENCY_MAX; u++)
		jobs->heap[u].urgency = u;
	return jobs;
}

void jobs_team_set(jobs_t *jobs, base_str_t team, jobs_res_t quota)
{
	jobs_team_t *t = jobs_team_get(jobs, team);

	t->quota = quota;
	jobs_team_changed(jobs, t);
}

void jobs_teams_clear(jobs_t *jobs)
{
	GHashTableIter iter;
	void *team;

	g_hash_table_iter_init(&iter, jobs->teams);
	while (g_hash_table_iter_next(&iter, NULL, &team)) {
		((jobs_team_t *)team)->quota = (jobs_res_t){ { 0 } };
		jobs_team_changed(jobs, team);
	}
}

bool jobs_submit(jobs_t *jobs, int64_t now, const jobs_spec_t *spec,
		 GError **err)
{
	jobs_job_t *job = jobs_job_new(jobs, spec, err);

	if (!job)
		return false;
	jobs_mark_dirty(jobs, job);
	jobs_enqueue(jobs, now, job, false);
	return true;
}

bool jobs_cancel(jobs_t *jobs, int64_t now, base_str_t id, GError **err)
{
	jobs_job_t *job = jobs_find(jobs, id);

	if (!job) {
		g_set_error(err, JOBS_ERROR, JOBS_ERR_UNKNOWN,
			    "unknown job '%.*s'", BASE_STR_ARG(id));
		return false;
	}
	if (job->cancelled || jobs_has_ended(job))
		return true;
	job->cancelled = true;
	jobs_mark_dirty(jobs, job);
	jobs_dequeue(jobs, job);
	jobs_unreserve(jobs, job);
	/* A task whose start was not sent needs no stop order. */
	if (job->task && job->task->state == JOBS_TASK_UNSENT)
		jobs_task_free(jobs, job->task);
	if (job->task)
		jobs_task_order(jobs, now, job->task, JOBS_ORDER_STOP);
	else
		jobs_set_state(jobs, job, JOBS_CANCELLED,
			       JOBS_REASON_CANCELLED);
	return true;
}

bool jobs_release(jobs_t *jobs, int64_t now, base_str_t id, GError **err)
{
	jobs_job_t *job = jobs_find(jobs, id);

	if (!job || job->state != JOBS_HELD) {
		g_set_error(err, JOBS_ERROR, JOBS_ERR_UNKNOWN,
			    "job '%.*s' is not held", BASE_STR_ARG(id));
		return false;
	}
	jobs_health_forget_job(jobs, job);
	job->n_failed_workers = 0;
	job->failures = 0;
	jobs_requeue(jobs, now, job, false);
	return true;
}

bool jobs_forget(jobs_t *jobs, base_str_t id)
{
	jobs_job_t *job = jobs_find(jobs, id);

	if (!job || !jobs_has_ended(job) || job->dirty ||
	    !g_queue_is_empty(&job->tasks))
		return false;
	jobs_health_forget_job(jobs, job);
	count(jobs, job->state, -1);
	g_hash_table_remove(jobs->jobs, job->spec.id.ptr);
	talloc_free(job);
	return true;
}

jobs_job_t *jobs_find(const jobs_t *jobs, base_str_t id)
{
	return jobs_lookup(jobs->jobs, id);
}

void *jobs_lookup(GHashTable *by_id, base_str_t id)
{
	char key[JOBS_ID_MAX + 1];

	if (id.len > JOBS_ID_MAX)
		return NULL;
	memcpy(key, id.ptr, id.len);
	key[id.len] = '\0';
	return g_hash_table_lookup(by_id, key);
}

void jobs_mark_dirty(jobs_t *jobs, jobs_job_t *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	g_queue_push_tail_link(&jobs->dirty, &job->dirty_link);
}

void jobs_set_state(jobs_t *jobs, jobs_job_t *job, jobs_state_t state,
		    jobs_reason_t reason)
{
	job->reason = reason;
	if (job->state == state)
		return;
	count(jobs, job->state, -1);
	count(jobs, state, 1);
	job->state = state;
	/* A successor learns that the job runs from its worker's reports. */
	if (state != JOBS_RUNNING)
		jobs_mark_dirty(jobs, job);
}

bool jobs_has_ended(const jobs_job_t *job)
{
	return job->state >= JOBS_DONE;
}

jobs_job_t *jobs_job_new(jobs_t *jobs, const jobs_spec_t *spec, GError **err)
{
	jobs_job_t *job;

	if (!check_spec(spec, err))
		return NULL;
	if (jobs_find(jobs, spec->id)) {
		g_set_error(err, JOBS_ERROR, JOBS_ERR_EXISTS,
			    "job '%.*s' already exists",
			    BASE_STR_ARG(spec->id));
		return NULL;
	}
	job = talloc_zero_size(jobs, sizeof(*job) + spec->id.len + 1);
	memcpy(job->id, spec->id.ptr, spec->id.len);
	job->spec = *spec;
	job->team = jobs_team_get(jobs, spec->team);
	job->family = jobs_family_get(jobs, spec->family);
	job->spec.id = base_str(job->id);
	job->spec.team = base_str(job->team->name);
	job->spec.family = base_str(job->family->name);
	job->queue_link.data = job->dirty_link.data = job;
	job->reservation_link.data = job;
	g_hash_table_insert(jobs->jobs, (char *)job->spec.id.ptr, job);
	count(jobs, job->state, 1);
	return job;
}

void jobs_requeue(jobs_t *jobs, int64_t now, jobs_job_t *job, bool first)
{
	jobs_set_state(jobs, job, JOBS_QUEUED, JOBS_REASON_FAIR_SHARE);
	jobs_enqueue(jobs, now, job, first);
}

void jobs_retry(jobs_t *jobs, int64_t now, jobs_job_t *job)
{
	if (job->cancelled)
		jobs_set_state(jobs, job, JOBS_CANCELLED,
			       JOBS_REASON_CANCELLED);
	else if (job->n_failed_workers >= JOBS_FAILED_WORKERS_MAX)
		jobs_set_state(jobs, job, JOBS_HELD, JOBS_REASON_POISON);
	else if (job->failures >= JOBS_ATTEMPTS_MAX)
		jobs_set_state(jobs, job, JOBS_HELD,
			       JOBS_REASON_ATTEMPTS_LIMIT);
	else
		jobs_requeue(jobs, now, job, false);
}

void jobs_stats(const jobs_t *jobs, jobs_stats_t *stats)
{
	*stats = jobs->stats;
	stats->jobs = g_hash_table_size(jobs->jobs);
	stats->workers = g_hash_table_size(jobs->workers);
	stats->reserved_workers =
		g_queue_get_length((GQueue *)&jobs->reservations);
}

jobs_res_t jobs_team_used(const jobs_t *jobs, base_str_t team)
{
	char *key = base_str_dup(NULL, team);
	const jobs_team_t *t = g_hash_table_lookup(jobs->teams, key);
	const jobs_res_t none = { { 0 } };

	talloc_free(key);
	return t ? t->used : none;
}

static bool check_spec(const jobs_spec_t *spec, GError **err)
{
	const base_str_t names[] = { spec->id, spec->team, spec->family };
	bool valid = spec->urgency >= 0 && spec->urgency < JOBS_URGENCY_MAX;

	for (size_t i = 0; i < ARRAY_SIZE(names); i++)
		valid = valid && names[i].len && names[i].len <= JOBS_ID_MAX &&
			!memchr(names[i].ptr, '\0', names[i].len);
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		valid = valid && spec->declared.v[k] >= 0 &&
			spec->declared.v[k] <= INT32_MAX;
	if (!valid)
		g_set_error(
			err, JOBS_ERROR, JOBS_ERR_SPEC,
			"job '%.*s': names must have 1 to %d bytes, urgency "
			"must be from 0 to %d, sizes from 0 to %d",
			(int)MIN(spec->id.len, JOBS_ID_MAX), spec->id.ptr,
			JOBS_ID_MAX, JOBS_URGENCY_MAX - 1, INT32_MAX);
	return valid;
}

static void count(jobs_t *jobs, jobs_state_t state, int by)
{
	jobs->stats.states[state] += (size_t)by;
}
