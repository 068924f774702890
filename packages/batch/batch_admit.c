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
/* Only another configuration lets the job run. */
#define ADMIT_RETRY_TOO_LARGE (10 * BASE_SEC)

static const char *const log_texts[BATCH_REFUSAL_MAX] = {
	[BATCH_REFUSAL_BACKLOG] = "backlog, microseconds",
	[BATCH_REFUSAL_SHARE] =
		"backlog of its workspace at its share, microseconds",
	[BATCH_REFUSAL_LIMIT] =
		"backlog of its workspace at its limit, microseconds",
	[BATCH_REFUSAL_TOO_LARGE] = "a task exceeds its workspace's limit",
	[BATCH_REFUSAL_NO_QUEUE] = "no such queue",
};

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

static const char *const refusal_names[BATCH_REFUSAL_MAX] = {
	[BATCH_REFUSAL_BACKLOG] = "cannot end in time",
	[BATCH_REFUSAL_SHARE] = "beyond the share of its workspace",
	[BATCH_REFUSAL_LIMIT] = "beyond the limit of its workspace",
	[BATCH_REFUSAL_TOO_LARGE] =
		"a task needs more than the limit of its workspace",
	[BATCH_REFUSAL_NO_QUEUE] = "no such queue here yet",
};

const char *batch_refusal_name(batch_refusal_kind_t kind)
{
	return refusal_names[kind];
}

/* What decides about a job, and the time that it has to wait. */
typedef struct verdict {
	batch_refusal_kind_t kind; /* if the time is too long */
	double wait; /* microseconds; negative: there is no capacity */
} verdict_t;

/*
 * Load: a workspace sends many times its usual.  It waits for its own backlog
 * at its share of the pool; the others do not wait for it.
 */
static verdict_t judge_wait(batch_t *core, const batch_job_t *job, int64_t now)
{
	batch_pool_t *pool = job->queue->pool;
	verdict_t verdict = { BATCH_REFUSAL_BACKLOG,
			      backlog_time(core, pool, now) };
	batch_load_t available;
	double limit_wait;

	if (verdict.wait < 0 || !batch_workspaces_share(core))
		return verdict;
	available = batch_pool_available(pool, now);
	if (*job->workspace->name)
		verdict.kind = BATCH_REFUSAL_SHARE;
	verdict.wait = batch_workspace_wait(core, job, &available);
	limit_wait = batch_workspace_limit_wait(core, job->workspace, now);
	if (limit_wait > verdict.wait)
		verdict = (verdict_t){ BATCH_REFUSAL_LIMIT, limit_wait };
	return verdict;
}

static bool refuse(batch_t *core, const batch_job_t *job,
		   const verdict_t *verdict, int64_t slack,
		   batch_refusal_t *refusal)
{
	refusal->kind = verdict->kind;
	refusal->retry_after =
		MAX((int64_t)verdict->wait - slack, ADMIT_RETRY_MIN);
	if (verdict->kind == BATCH_REFUSAL_TOO_LARGE)
		refusal->retry_after = ADMIT_RETRY_TOO_LARGE;
	batch_log_emit(core, &(batch_log_event_t){
				     .kind = BATCH_LOG_JOB_REFUSED,
				     .task = { base_str(job->id), -1, -1, -1 },
				     .why = verdict->wait < 0
						    ? "no worker"
						    : log_texts[verdict->kind],
				     .value = (int64_t)verdict->wait,
				     .workspace = job->workspace->name });
	return false;
}

static bool is_unbounded(const batch_job_t *job)
{
	int i;

	/* Long-running and periodic jobs do not come in bursts. */
	for (i = 0; i < job->spec.n_steps; i++)
		if (job->spec.steps[i].long_running)
			return true;
	return job->spec.repeat > 0;
}

bool batch_admit(batch_t *core, const batch_job_t *job, int64_t now,
		 batch_refusal_t *refusal)
{
	int64_t slack = ADMIT_OBJECTIVE_FACTOR * batch_objective(job) -
			batch_critical_path(job, false);
	verdict_t verdict = { BATCH_REFUSAL_TOO_LARGE, 0 };
	batch_load_t job_work;

	if (!batch_workspace_could_run(job))
		return refuse(core, job, &verdict, slack, refusal);
	if (is_unbounded(job))
		return true;
	job_work = batch_job_work(job, now);
	verdict = judge_wait(core, job, now);
	/* What its workspace may not run at once asks for no workers. */
	if (!is_resubmission(core, job, now) &&
	    !(verdict.kind == BATCH_REFUSAL_LIMIT &&
	      verdict.wait > (double)slack))
		batch_capacity_add_demand(job->queue->pool, now, &job_work);
	if (verdict.wait >= 0 && verdict.wait <= (double)slack) {
		batch_backlog_add(job, &job_work);
		return true;
	}
	record_refusal(core, job, now);
	return refuse(core, job, &verdict, slack, refusal);
}
