/*
 * Copies of slow runs.
 *
 * A task of a speculative step may have a second run, its copy, beside a run
 * that is slow.  The first one to end as done counts, and the other one is
 * stopped.  It must not begin after that end is acknowledged: if its start has
 * no answer, the end is held (batch_run_hold_end()).  Design:
 * docs/design/copies.md.
 */
#include "batch_int.h"

/* A run is slow once it takes this many times the expected time: normal tasks
 * of one queue take up to two and a half times their mean. */
#define COPY_AGE_FACTOR 2
/* Shorter tasks end sooner than a copy is stored, sent and at work. */
#define COPY_AGE_MIN (300 * BASE_MS)
/* What the run still needs must exceed the time of a new one by this factor:
 * both are estimates, and a copy costs a whole run. */
#define COPY_REST_FACTOR 1.5
/* Part of a pool's cpu that copies may use. */
#define COPY_POOL_PART 0.1
/* Time between two looks for slow runs: a part of COPY_AGE_MIN. */
#define COPY_INTERVAL (50 * BASE_MS)

bool batch_copy_pays(const batch_copy_case_t *of)
{
	double rest =
		(double)of->age * (100 - of->percent) / MAX(of->percent, 1);

	return of->age > COPY_AGE_MIN &&
	       of->age > COPY_AGE_FACTOR * of->expected &&
	       rest > COPY_REST_FACTOR * (double)of->expected;
}

bool batch_step_may_copy(const batch_step_spec_t *spec)
{
	return spec->speculative && !spec->gang && !spec->long_running;
}

/*
 * A failure of the copy alone must not fail the job, so that another attempt
 * has to be left.  The starts of a task that may crash workers are counted.
 */
bool batch_task_may_copy(const batch_task_t *task)
{
	return batch_step_may_copy(task->step->spec) && !task->done &&
	       task->n_failures + 1 < task->step->occ->job->queue->attempts &&
	       !batch_crash_needs_trial(task);
}

static bool needs_copy(const batch_task_t *task, int64_t now)
{
	const batch_run_t *run = task->run;
	batch_copy_case_t of;

	if (!run || task->copy || run->state != RUN_CONFIRMED ||
	    !batch_task_may_copy(task) || batch_doubt_holds_back(task, now))
		return false;
	of = (batch_copy_case_t){ .expected = batch_progress_expected(task),
				  .age = now - run->start_confirmed_at,
				  .percent = run->percent };
	return batch_copy_pays(&of);
}

static bool has_room(batch_pool_t *pool, const batch_task_t *task, int64_t now)
{
	double cpu = (double)task->step->spec->need.cpu;

	return !pool->full && !pool->has_waiting &&
	       pool->copies_cpu + cpu <=
		       COPY_POOL_PART * batch_pool_available(pool, now).cpu &&
	       batch_workspace_allows(task->step, 1);
}

static bool start_copy(batch_task_t *task, int64_t now)
{
	batch_job_t *job = task->step->occ->job;
	batch_worker_t *worker;

	if (!has_room(job->queue->pool, task, now))
		return false;
	worker = batch_place_find(task, now);
	if (!worker)
		return false;
	batch_log_emit(job->core,
		       &(batch_log_event_t){
			       .kind = BATCH_LOG_RUN_COPIED,
			       .task = batch_task_get_id(task),
			       .run = task->number + 1,
			       .worker = base_str(worker->id),
			       .why = "age of the slow run, microseconds",
			       .value = now - task->run->start_confirmed_at,
			       .age = now - worker->polled_at });
	batch_run_new(task, worker, now, task->number + 1);
	job->has_copies = true;
	job->queue->pool->copies_cpu += (double)task->step->spec->need.cpu;
	batch_job_changed(job);
	return true;
}

/* Calls "visit" for each task with a run of the job's steps that may have
 * copies, as long as it returns true. */
typedef bool visit_t(void *arg, batch_task_t *task);

static bool visit_tasks(const batch_job_t *job, visit_t *visit, void *arg)
{
	guint i;
	int s;
	int t;

	for (i = 0; i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++) {
			batch_step_t *step = &occ->steps[s];

			if (!batch_step_may_copy(step->spec) ||
			    !(step->n_open_runs || job->has_copies))
				continue;
			for (t = 0; t < step->spec->count; t++)
				if (step->tasks[t].run &&
				    !visit(arg, &step->tasks[t]))
					return false;
		}
	}
	return true;
}

static bool add_copy(void *arg, batch_task_t *task)
{
	batch_pool_t *pool = task->step->occ->job->queue->pool;

	(void)arg;
	if (task->copy)
		pool->copies_cpu += (double)task->step->spec->need.cpu;
	return true;
}

typedef struct copier {
	int64_t now;
	int left; /* copies that may start */
} copier_t;

static bool copy_if_slow(void *arg, batch_task_t *task)
{
	copier_t *copier = arg;

	if (copier->left > 0 && needs_copy(task, copier->now))
		copier->left -= start_copy(task, copier->now);
	return copier->left > 0;
}

static void visit_jobs(const batch_t *core, visit_t *visit, void *arg)
{
	guint i;

	for (i = 0; i < core->active_jobs->len; i++) {
		const batch_job_t *job =
			g_ptr_array_index(core->active_jobs, i);

		if (job->is_speculative && batch_job_is_active(job) &&
		    job->queue && job->n_runs && !visit_tasks(job, visit, arg))
			return;
	}
}

void batch_copies_start(batch_t *core, int64_t now, int max)
{
	copier_t copier = { now, max };
	GHashTableIter iter;
	gpointer value;

	if (now - core->copies_at < COPY_INTERVAL)
		return;
	core->copies_at = now;
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((batch_pool_t *)value)->copies_cpu = 0;
	visit_jobs(core, add_copy, NULL);
	visit_jobs(core, copy_if_slow, &copier);
}
