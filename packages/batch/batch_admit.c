/*
 * Which jobs are taken.
 *
 * The pattern it answers: a queue asks for several times its mean for some
 * seconds, more than its pool holds.  What waits goes in the order of its
 * slack, and what cannot be in time any more goes last, so that one more job
 * costs the others nothing.  Only a job whose end would be of no use is
 * refused, at once: its caller comes back when the backlog is worked off.
 */
#include "batch_int.h"

/* Beyond so many times its objective a job's end is of no use any more; until
 * then it is late, and still wanted. */
#define ADMIT_OBJECTIVES 3
/* Callers come back within some seconds, or not at all. */
#define ADMIT_REMEMBER (10 * BASE_SEC)
#define ADMIT_RETRY_MIN BASE_SEC /* Retry-After has whole seconds */

/* What the pool's workers have; those on their way count as much as others. */
static batch_load_t capacity(const batch_pool_t *pool)
{
	batch_load_t load = { pool->incoming * pool->worker_cpu,
			      pool->incoming * pool->worker_memory };
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		if (!batch_worker_counts(worker))
			continue;
		load.cpu += (double)worker->capacity.cpu;
		load.memory += (double)worker->capacity.memory;
	}
	return load;
}

/* When the pool will have worked off what it has taken, microseconds; less
 * than 0 where it has no worker. */
static double backlog_time(batch_t *core, batch_pool_t *pool, int64_t now)
{
	batch_load_t have = capacity(pool);
	batch_load_t lasting = batch_pool_lasting(pool);
	batch_load_t work = batch_pool_backlog(core, pool, now);

	have.cpu -= lasting.cpu;
	have.memory -= lasting.memory;
	if (have.cpu <= 0 || have.memory <= 0)
		return -1;
	return MAX(work.cpu / have.cpu, work.memory / have.memory);
}

/* A refused job that is handed in again is not more demand. */
static bool came_before(batch_t *core, const batch_job_t *job, int64_t now)
{
	int64_t *seen = g_hash_table_lookup(core->refused, job->id);

	if (seen) {
		*seen = now;
		return true;
	}
	return false;
}

static void remember(batch_t *core, const batch_job_t *job, int64_t now)
{
	int64_t *seen;

	if (g_hash_table_contains(core->refused, job->id))
		return;
	seen = g_new(int64_t, 1);
	*seen = now;
	g_hash_table_insert(core->refused, g_strdup(job->id), seen);
}

static gboolean too_old(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return *(int64_t *)now - *(int64_t *)value > ADMIT_REMEMBER;
}

void batch_admit_tick(batch_t *core, int64_t now)
{
	if (now - core->refused_swept < ADMIT_REMEMBER)
		return;
	core->refused_swept = now;
	g_hash_table_foreach_remove(core->refused, too_old, &now);
}

bool batch_admit(batch_t *core, const batch_job_t *job, int64_t now,
		 int64_t *retry_after)
{
	int64_t slack = ADMIT_OBJECTIVES * batch_objective(job) -
			batch_chain(job, false);
	batch_load_t offered;
	double wait;
	int i;

	/* Tasks that last and jobs of the clock do not come in floods. */
	for (i = 0; i < job->spec.n_steps; i++)
		if (job->spec.steps[i].lasting)
			return true;
	if (job->spec.repeat)
		return true;
	offered = batch_job_work(job, now);
	if (!came_before(core, job, now)) {
		batch_capacity_offered(job->queue->pool, now, &offered);
	}
	wait = backlog_time(core, job->queue->pool, now);
	*retry_after = ADMIT_RETRY_MIN;
	if (wait >= 0 && wait <= (double)slack) {
		batch_backlog_add(job->queue->pool, &offered);
		return true;
	}
	if (wait > (double)slack)
		*retry_after = (int64_t)wait - slack;
	if (*retry_after < ADMIT_RETRY_MIN)
		*retry_after = ADMIT_RETRY_MIN;
	remember(core, job, now);
	batch_note(core,
		   &(batch_note_t){ .kind = BATCH_NOTE_JOB_REFUSED,
				    .task = { base_str(job->id), -1, -1, -1 },
				    .why = wait < 0 ? "no worker"
						    : "backlog, microseconds",
				    .value = (int64_t)wait });
	return false;
}
