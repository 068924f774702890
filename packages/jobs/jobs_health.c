/*
 * Detects broken workers, and tells them from jobs that fail on every worker.
 *
 * Each outcome of a task updates a log-likelihood ratio (a CUSUM test) of two
 * hypotheses: the worker is healthy and fails tasks at the rate of the job's
 * family, or it is broken and fails nearly every task.  A failure counts much
 * if the family rarely fails, nothing if it fails everywhere, and little if
 * the job has failed on another worker before.  A task that has run for
 * JOBS_HEALTHY_RUN_US counts as a success, because failures come sooner than
 * ends.  A broken worker is quarantined and later gets one probe task; its
 * recorded failures no longer count against the jobs and their families.
 */
#include <math.h>

#include "jobs_int.h"

#define BROKEN_FAIL_RATE 0.9   /* assumed for any task on a broken worker */
#define RETRIED_FAIL_RATE 0.8  /* assumed for a job that failed elsewhere */
#define EVIDENCE_THRESHOLD 6.0 /* natural logarithm of the likelihood ratio */
/* At most one worker in this many may be in quarantine or on probation. */
#define QUARANTINE_DIVISOR 3
/* A family of jobs is reliable if its fail rate is lower. */
#define RELIABLE_FAIL_RATE 0.2

static void quarantine(jobs_t *jobs, int64_t now, jobs_worker_t *worker);
static void revert_failure(jobs_t *jobs, int64_t now, jobs_worker_t *worker,
			   jobs_job_t *job);
static void drop_oldest_failure(jobs_worker_t *worker);
static bool is_convincing(const jobs_worker_t *worker,
			  const jobs_family_t *family);
static double fail_rate_elsewhere(const jobs_worker_t *worker,
				  const jobs_family_t *family);
static bool may_quarantine(const jobs_t *jobs);
static void move_to_queue(jobs_worker_t *worker, GQueue *queue);
static bool failed_workers_add(jobs_job_t *job, const jobs_worker_t *worker);
static bool failed_workers_remove(jobs_job_t *job, const jobs_worker_t *worker);

void jobs_health_failure(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	jobs_worker_t *worker = task->worker;
	jobs_family_t *family = task->job->family;
	double fail_rate;

	if (task->is_probe) {
		quarantine(jobs, now, worker);
		return;
	}
	task->job->failures++;
	/* A failure on an unhealthy worker says nothing about the job. */
	if (worker->health != JOBS_HEALTHY)
		return;
	fail_rate = fail_rate_elsewhere(worker, family);
	if (task->job->n_failed_workers)
		fail_rate = MAX(fail_rate, RETRIED_FAIL_RATE);
	family->fails++;
	family->runs++;
	if (!failed_workers_add(task->job, worker))
		return;
	if (worker->n_failed_jobs == JOBS_FAILED_JOBS_MAX)
		drop_oldest_failure(worker);
	worker->failed_jobs[worker->n_failed_jobs++] = task->job;
	worker->evidence += log(BROKEN_FAIL_RATE / fail_rate);
	if (worker->evidence >= EVIDENCE_THRESHOLD &&
	    is_convincing(worker, family) && may_quarantine(jobs))
		quarantine(jobs, now, worker);
}

void jobs_health_success(jobs_t *jobs, jobs_task_t *task)
{
	jobs_worker_t *worker = task->worker;
	double fail_rate = jobs_family_fail_rate(task->job->family);

	if (task->counted_healthy)
		return;
	task->counted_healthy = true;
	worker->evidence += log((1 - BROKEN_FAIL_RATE) / (1 - fail_rate));
	worker->evidence = MAX(worker->evidence, 0);
	if (!task->is_probe || worker->health != JOBS_PROBATION)
		return;
	worker->health = JOBS_HEALTHY;
	worker->evidence = 0;
	worker->quarantine_level = 0;
	jobs->stats.quarantined_workers--;
	jobs_worker_changed(jobs, worker);
}

void jobs_health_step(jobs_t *jobs, int64_t now)
{
	for (int i = 0; i < JOBS_QUARANTINE_LEVELS; i++) {
		for (;;) {
			jobs_worker_t *w =
				g_queue_peek_head(&jobs->quarantined[i]);

			if (!w || w->quarantine_end_us > now)
				break;
			w->health = JOBS_PROBATION;
			move_to_queue(w, &jobs->probation);
		}
	}
}

void jobs_health_restarted(jobs_t *jobs, jobs_worker_t *worker)
{
	if (worker->health != JOBS_QUARANTINED)
		return;
	worker->health = JOBS_PROBATION;
	move_to_queue(worker, &jobs->probation);
}

void jobs_health_forget_worker(jobs_t *jobs, jobs_worker_t *worker)
{
	if (worker->health != JOBS_HEALTHY)
		jobs->stats.quarantined_workers--;
	move_to_queue(worker, NULL);
}

void jobs_health_forget_job(jobs_t *jobs, jobs_job_t *job)
{
	for (int i = 0; i < job->n_failed_workers; i++) {
		jobs_worker_t *worker = jobs_worker_find(
			jobs, base_str(job->failed_workers[i]));
		int kept = 0;

		if (!worker)
			continue;
		for (int j = 0; j < worker->n_failed_jobs; j++)
			if (worker->failed_jobs[j] != job)
				worker->failed_jobs[kept++] =
					worker->failed_jobs[j];
		worker->n_failed_jobs = kept;
	}
}

/*
 * The worker on probation for which the job can be the probe.  The job must be
 * repeatable, not urgent and without failures, of a family that has finished
 * jobs before.
 */
jobs_worker_t *jobs_probe_worker_for(jobs_t *jobs, const jobs_job_t *job,
				     const jobs_res_t *need)
{
	jobs_worker_t *worker = g_queue_peek_head(&jobs->probation);
	jobs_res_t avail;

	if (!worker || !job->spec.repeatable || !job->spec.urgency ||
	    job->n_failed_workers || !job->family->n)
		return NULL;
	avail = jobs_worker_free(worker);
	if (!jobs_worker_accepts_tasks(worker) || worker->reserved_for ||
	    !jobs_fits(need, &avail)) {
		move_to_queue(worker, &jobs->probation);
		return NULL;
	}
	move_to_queue(worker, NULL);
	return worker;
}

static void quarantine(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	if (worker->health == JOBS_HEALTHY)
		jobs->stats.quarantined_workers++;
	jobs->stats.quarantine_count++;
	worker->health = JOBS_QUARANTINED;
	worker->evidence = 0;
	worker->quarantine_end_us =
		now + (JOBS_QUARANTINE_US << worker->quarantine_level);
	move_to_queue(worker, &jobs->quarantined[worker->quarantine_level]);
	worker->quarantine_level =
		MIN(worker->quarantine_level + 1, JOBS_QUARANTINE_LEVELS - 1);
	jobs_worker_changed(jobs, worker);
	while (worker->n_failed_jobs)
		revert_failure(jobs, now, worker,
			       worker->failed_jobs[--worker->n_failed_jobs]);
}

static void revert_failure(jobs_t *jobs, int64_t now, jobs_worker_t *worker,
			   jobs_job_t *job)
{
	job->family->fails = MAX(0, job->family->fails - 1);
	job->family->runs = MAX(0, job->family->runs - 1);
	if (!failed_workers_remove(job, worker))
		return;
	job->failures = MAX(0, job->failures - 1);
	jobs_mark_dirty(jobs, job);
	if (job->state == JOBS_HELD && job->reason == JOBS_REASON_POISON)
		jobs_requeue(jobs, now, job, false);
}

static void drop_oldest_failure(jobs_worker_t *worker)
{
	worker->n_failed_jobs--;
	for (int i = 0; i < worker->n_failed_jobs; i++)
		worker->failed_jobs[i] = worker->failed_jobs[i + 1];
}

/* If only one unreliable family fails, its jobs may be the cause. */
static bool is_convincing(const jobs_worker_t *worker,
			  const jobs_family_t *family)
{
	if (fail_rate_elsewhere(worker, family) < RELIABLE_FAIL_RATE)
		return true;
	for (int i = 0; i < worker->n_failed_jobs; i++)
		if (worker->failed_jobs[i]->family != family)
			return true;
	return false;
}

/*
 * The fail rate of a family without the worker's own failures.  A broken worker
 * is always free and gets many jobs, so that its own failures would soon
 * dominate the rate.
 */
static double fail_rate_elsewhere(const jobs_worker_t *worker,
				  const jobs_family_t *family)
{
	jobs_family_t others = { .runs = family->runs, .fails = family->fails };
	int own = 0;

	for (int i = 0; i < worker->n_failed_jobs; i++)
		own += worker->failed_jobs[i]->family == family;
	others.runs = MAX(0, others.runs - own);
	others.fails = MAX(0, others.fails - own);
	return jobs_family_fail_rate(&others);
}

/* If many workers seem broken, the jobs are the likely cause. */
static bool may_quarantine(const jobs_t *jobs)
{
	return (jobs->stats.quarantined_workers + 1) * QUARANTINE_DIVISOR <=
	       g_hash_table_size(jobs->workers);
}

static void move_to_queue(jobs_worker_t *worker, GQueue *queue)
{
	if (worker->health_queue)
		g_queue_unlink(worker->health_queue, &worker->health_link);
	worker->health_queue = queue;
	if (queue)
		g_queue_push_tail_link(queue, &worker->health_link);
}

/* Returns false if already recorded: a job counts once against a worker. */
static bool failed_workers_add(jobs_job_t *job, const jobs_worker_t *worker)
{
	if (job->n_failed_workers == JOBS_FAILED_WORKERS_MAX ||
	    jobs_failed_on(job, worker))
		return false;
	job->failed_workers[job->n_failed_workers++] =
		talloc_strdup(job, worker->id);
	return true;
}

static bool failed_workers_remove(jobs_job_t *job, const jobs_worker_t *worker)
{
	for (int i = 0; i < job->n_failed_workers; i++) {
		if (strcmp(job->failed_workers[i], worker->id) != 0)
			continue;
		talloc_free((void *)job->failed_workers[i]);
		job->failed_workers[i] =
			job->failed_workers[--job->n_failed_workers];
		return true;
	}
	return false;
}
