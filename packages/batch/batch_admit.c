/*
 * Admission: which jobs are accepted.
 *
 * For some seconds a queue may submit several times its mean demand, more than
 * its pool can run.  Waiting jobs are ordered by slack, and jobs that can no
 * longer end in time come last, so that accepting one more job does not delay
 * the others.  A job is refused only if its end would be too late to be of use;
 * it is refused at once, and its caller submits it again once the backlog is
 * worked off.
 */
#include "batch_int.h"

/*
 * A job that would take longer than this many times its objective is refused,
 * because it is of no use to its caller.  A job that takes longer than its
 * objective, but less than that, is late but still wanted.
 */
#define ADMIT_OBJECTIVE_FACTOR 3
/* Callers submit a refused job again within some seconds, or not at all. */
#define ADMIT_RESUBMIT_WINDOW (10 * BASE_SEC)
/* The Retry-After header has whole seconds. */
#define ADMIT_RETRY_MIN BASE_SEC

/*
 * Time until the pool has worked off its backlog, microseconds; negative if it
 * has no capacity.
 */
static double backlog_time(batch_t *core, batch_pool_t *pool, int64_t now)
{
	batch_load_t available = batch_pool_available(pool, now);
	batch_load_t work = batch_pool_backlog(core, pool, now);

	if (available.cpu <= 0 || available.memory <= 0)
		return -1;
	return MAX(work.cpu / available.cpu, work.memory / available.memory);
}

/* Submitting a refused job again adds no demand. */
static bool is_resubmission(batch_t *core, const batch_job_t *job, int64_t now)
{
	int64_t *refused_at = g_hash_table_lookup(core->refused, job->id);

	if (refused_at) {
		*refused_at = now;
		return true;
	}
	return false;
}

static void record_refusal(batch_t *core, const batch_job_t *job, int64_t now)
{
	int64_t *refused_at;

	if (g_hash_table_contains(core->refused, job->id))
		return;
	refused_at = g_new(int64_t, 1);
	*refused_at = now;
	g_hash_table_insert(core->refused, g_strdup(job->id), refused_at);
}

static gboolean is_refusal_expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return *(int64_t *)now - *(int64_t *)value > ADMIT_RESUBMIT_WINDOW;
}

void batch_admit_tick(batch_t *core, int64_t now)
{
	if (now - core->refused_swept < ADMIT_RESUBMIT_WINDOW)
		return;
	core->refused_swept = now;
	g_hash_table_foreach_remove(core->refused, is_refusal_expired, &now);
}

bool batch_admit(batch_t *core, const batch_job_t *job, int64_t now,
		 int64_t *retry_after)
{
	int64_t slack = ADMIT_OBJECTIVE_FACTOR * batch_objective(job) -
			batch_critical_path(job, false);
	batch_load_t job_work;
	double wait;
	int i;

	/* Long-running and periodic jobs do not come in bursts. */
	for (i = 0; i < job->spec.n_steps; i++)
		if (job->spec.steps[i].long_running)
			return true;
	if (job->spec.repeat)
		return true;
	job_work = batch_job_work(job, now);
	if (!is_resubmission(core, job, now)) {
		batch_capacity_add_demand(job->queue->pool, now, &job_work);
	}
	wait = backlog_time(core, job->queue->pool, now);
	*retry_after = ADMIT_RETRY_MIN;
	if (wait >= 0 && wait <= (double)slack) {
		batch_backlog_add(job->queue->pool, &job_work);
		return true;
	}
	if (wait > (double)slack)
		*retry_after = (int64_t)wait - slack;
	if (*retry_after < ADMIT_RETRY_MIN)
		*retry_after = ADMIT_RETRY_MIN;
	record_refusal(core, job, now);
	batch_log_emit(core, &(batch_log_event_t){
				     .kind = BATCH_LOG_JOB_REFUSED,
				     .task = { base_str(job->id), -1, -1, -1 },
				     .why = wait < 0 ? "no worker"
						     : "backlog, microseconds",
				     .value = (int64_t)wait });
	return false;
}
