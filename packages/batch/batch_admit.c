/*
 * Which jobs are taken.
 *
 * The pattern it answers: a queue asks for several times its mean for some
 * seconds, more than its pool holds.  A job taken beyond what can end in time
 * takes room from those before it and ends late itself; refused at once, its
 * caller knows, and comes back when the backlog is worked off.
 */
#include "batch_int.h"

/* Part of a job's slack that waiting behind others may use up: the rest is
 * for its last task, which waits longer than the mean. */
#define ADMIT_SLACK_PART 0.8
/* A run that takes longer than expected is thought to need this much more. */
#define ADMIT_TAIL_PART 0.15
/* Callers come back within some seconds, or not at all. */
#define ADMIT_REMEMBER (10 * BASE_SEC)
#define ADMIT_RETRY_MIN BASE_SEC /* Retry-After has whole seconds */

/* What tasks of a step still take, summed; runs have done a part of theirs. */
static double time_left(const batch_step_t *step, double each, int64_t now)
{
	double left = 0;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];
		double done = 0;

		if (task->done)
			continue;
		if (task->run && task->run->begun)
			done = (double)(now - task->run->begun);
		left += done < each * (1 - ADMIT_TAIL_PART)
				? each - done
				: each * ADMIT_TAIL_PART;
	}
	return left;
}

/* Work that the job has still to do. */
static batch_load_t work_left(const batch_job_t *job, int64_t now)
{
	const batch_occ_t *occ = job->occs && job->occs->len
					 ? g_ptr_array_index(job->occs, 0)
					 : NULL;
	batch_load_t load = { 0, 0 };
	int i;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];
		double each = (double)batch_task_estimate(job->queue, spec);
		double left;

		if (spec->lasting)
			continue;
		left = occ ? time_left(&occ->steps[i], each, now)
			   : each * spec->count;
		load.cpu += (double)spec->need.cpu * left;
		load.memory += (double)spec->need.memory * left;
	}
	return load;
}

/* What tasks that last take of a pool's workers. */
batch_load_t batch_pool_lasting(const batch_pool_t *pool)
{
	batch_load_t load = { 0, 0 };
	guint i;
	guint j;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		for (j = 0; j < worker->runs->len; j++) {
			batch_run_t *run = g_ptr_array_index(worker->runs, j);
			const batch_step_spec_t *spec = run->task->step->spec;

			if (!spec->lasting)
				continue;
			load.cpu += spec->fills ? 0 : (double)spec->need.cpu;
			load.memory += (double)spec->need.memory;
		}
	}
	return load;
}

/* What the pool's workers have; those on their way count as much as others. */
static batch_load_t capacity(const batch_pool_t *pool, int64_t now)
{
	batch_load_t load = { pool->incoming * pool->worker_cpu,
			      pool->incoming * pool->worker_memory };
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		if (!batch_worker_usable(worker, now))
			continue;
		load.cpu += (double)worker->capacity.cpu;
		load.memory += (double)worker->capacity.memory;
	}
	return load;
}

/* Work that the pool has taken and can still do in time. */
batch_load_t batch_pool_backlog(batch_t *core, const batch_pool_t *pool,
				int64_t now)
{
	batch_load_t work = { 0, 0 };
	guint i;

	for (i = 0; i < core->open->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->open, i);
		batch_load_t left;

		if (!batch_job_open(job) || job->queue->pool != pool ||
		    job->spec.repeat)
			continue;
		/* What is late already goes behind what can be in time. */
		if (now - job->arrived > batch_objective(job))
			continue;
		left = work_left(job, now);
		work.cpu += left.cpu;
		work.memory += left.memory;
	}
	return work;
}

/* When the pool will have worked off what it has taken, microseconds; less
 * than 0 where it has no worker. */
static double backlog_time(batch_t *core, const batch_pool_t *pool, int64_t now)
{
	batch_load_t have = capacity(pool, now);
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
	int64_t slack = batch_objective(job) - batch_chain(job, false);
	batch_load_t offered;
	double wait;
	int i;

	/* Tasks that last and jobs of the clock do not come in floods. */
	for (i = 0; i < job->spec.n_steps; i++)
		if (job->spec.steps[i].lasting)
			return true;
	if (job->spec.repeat)
		return true;
	if (!came_before(core, job, now)) {
		offered = work_left(job, now);
		batch_capacity_offered(job->queue->pool, now, offered.cpu,
				       offered.memory);
	}
	wait = backlog_time(core, job->queue->pool, now);
	*retry_after = ADMIT_RETRY_MIN;
	if (wait >= 0 && wait <= ADMIT_SLACK_PART * (double)slack)
		return true;
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
