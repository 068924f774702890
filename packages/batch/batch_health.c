/*
 * Quarantine of workers on which all tasks fail or make little progress.
 *
 * A faulty job fails on every worker, and a faulty worker fails every job.  So
 * only consecutive failures of several jobs, with no successful run in between,
 * count against a worker.  A worker that fails again on trial is quarantined
 * longer each time.
 */
#include "batch_int.h"

#define HEALTH_JOBS 2	  /* distinct jobs with consecutive failures */
#define HEALTH_FAILURES 3 /* consecutive failures that quarantine a worker */
/* Failures that quarantine a worker if the last run stalled or was slow. */
#define HEALTH_STUCK 2
/* The longest quarantine, as a multiple of the first. */
#define HEALTH_QUARANTINE_FACTOR_MAX 4
/* Quarantine before a trial: the run time of some tasks. */
#define HEALTH_QUARANTINE (4 * BASE_SEC)

static void quarantine(batch_worker_t *worker, int64_t now, const char *why,
		       int64_t value)
{
	worker->is_quarantined = true;
	worker->n_quarantines =
		MIN(worker->n_quarantines + 1, HEALTH_QUARANTINE_FACTOR_MAX);
	worker->quarantined_until =
		now + worker->n_quarantines * HEALTH_QUARANTINE;
	worker->fail_streak = 0;
	worker->fail_jobs = 0;
	batch_log_emit(
		worker->core,
		&(batch_log_event_t){
			.kind = BATCH_LOG_WORKER_QUARANTINED,
			.task = { .occurrence = -1, .step = -1, .index = -1 },
			.worker = base_str(worker->id),
			.why = why,
			.value = value });
}

static void count_failure(batch_worker_t *worker, const batch_job_t *job)
{
	if (worker->fail_job != job)
		worker->fail_jobs++;
	worker->fail_job = job;
	worker->fail_streak++;
}

void batch_health_failed(batch_worker_t *worker, const batch_job_t *job,
			 int64_t now)
{
	count_failure(worker, job);
	if (worker->fail_streak >= HEALTH_FAILURES &&
	    worker->fail_jobs >= HEALTH_JOBS && !worker->is_quarantined)
		quarantine(worker, now, "consecutive failures",
			   worker->fail_streak);
}

void batch_health_stuck(batch_worker_t *worker, const batch_job_t *job,
			int64_t now, const char *why)
{
	count_failure(worker, job);
	if (worker->fail_streak >= HEALTH_STUCK &&
	    worker->fail_jobs >= HEALTH_JOBS && !worker->is_quarantined)
		quarantine(worker, now, why, worker->fail_streak);
}

void batch_health_slow(batch_worker_t *worker, int64_t now, int runs)
{
	if (!worker->is_quarantined)
		quarantine(worker, now, "slow tasks", runs);
}

void batch_health_succeeded(batch_worker_t *worker)
{
	worker->fail_streak = 0;
	worker->fail_jobs = 0;
	worker->fail_job = NULL;
	worker->n_quarantines = 0;
}

void batch_health_tick(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (!worker->is_quarantined || now < worker->quarantined_until)
			continue;
		worker->is_quarantined = false;
		core->pass_needed = true;
		batch_log_emit(core, &(batch_log_event_t){
					     .kind = BATCH_LOG_WORKER_ON_TRIAL,
					     .task = { .occurrence = -1,
						       .step = -1,
						       .index = -1 },
					     .worker = base_str(worker->id),
					     .why = "on trial" });
	}
}
