/* Building job records, and restoring jobs from them. */
#include "jobs_int.h"

static void restore_task(jobs_t *jobs, int64_t now, jobs_job_t *job,
			 const jobs_record_task_t *record);

void jobs_record_of(const jobs_job_t *job, jobs_record_t *record)
{
	*record = (jobs_record_t){
		.spec = job->spec,
		.state = job->state,
		.reason = job->reason,
		.attempt = job->attempt,
		.cancelled = job->cancelled,
		.checkpointed = job->checkpointed,
		.n_failed_workers = job->n_failed_workers,
	};
	for (int i = 0; i < job->n_failed_workers; i++)
		record->failed_workers[i] = base_str(job->failed_workers[i]);
	for (GList *l = job->tasks.tail; l; l = l->prev) {
		const jobs_task_t *task = l->data;

		if (record->n_tasks == JOBS_TASKS_MAX)
			break;
		record->tasks[record->n_tasks++] = (jobs_record_task_t){
			.attempt = task->attempt,
			.worker = base_str(task->worker->id),
			.incarnation = task->worker->incarnation,
			.share = task->share,
			.full = task->full,
		};
	}
}

bool jobs_record(const jobs_t *jobs, base_str_t id, jobs_record_t *record)
{
	const jobs_job_t *job = jobs_find(jobs, id);

	if (job)
		jobs_record_of(job, record);
	return job != NULL;
}

bool jobs_restore(jobs_t *jobs, int64_t now, const jobs_record_t *record,
		  GError **err)
{
	jobs_job_t *job = jobs_job_new(jobs, &record->spec, err);

	if (!job)
		return false;
	job->attempt = record->attempt;
	job->cancelled = record->cancelled;
	job->checkpointed = record->checkpointed;
	job->n_failed_workers = record->n_failed_workers;
	for (int i = 0; i < record->n_failed_workers; i++)
		job->failed_workers[i] =
			base_str_dup(job, record->failed_workers[i]);
	jobs_set_state(jobs, job, record->state, record->reason);
	if (job->state == JOBS_QUEUED)
		jobs_enqueue(jobs, now, job, false);
	for (int i = record->n_tasks; i-- > 0;)
		restore_task(jobs, now, job, &record->tasks[i]);
	/* The record has no task for the current attempt. */
	if (!job->task && job->state >= JOBS_STARTING &&
	    job->state <= JOBS_IN_DOUBT) {
		if (job->spec.repeatable)
			jobs_requeue(jobs, now, job, true);
		else
			jobs_set_state(jobs, job, JOBS_LOST,
				       JOBS_REASON_WORKER_GONE);
	}
	return true;
}

/*
 * It is unknown whether the predecessor sent the start order, so that none is
 * sent for this attempt: the worker's reports or the lapse of the lease decide.
 */
static void restore_task(jobs_t *jobs, int64_t now, jobs_job_t *job,
			 const jobs_record_task_t *record)
{
	jobs_worker_t *worker =
		jobs_worker_get(jobs, record->worker, record->incarnation);
	bool current = record->attempt == job->attempt &&
		       job->state >= JOBS_STARTING &&
		       job->state <= JOBS_IN_DOUBT;
	jobs_task_t *task;

	if (worker->incarnation < record->incarnation) {
		worker->incarnation = record->incarnation;
		jobs_worker_drop_tasks(jobs, now, worker);
	}
	task = jobs_task_new(jobs, job, worker, record->attempt,
			     &record->share);
	task->state = JOBS_TASK_STARTING;
	task->started_at_us = now;
	if (current)
		job->task = task;
	task->full = record->full;
	if (!jobs_fits(&task->full, &task->share))
		jobs_task_set_throttled(jobs, task);
	jobs_task_renew_lease(jobs, now, task);
	if (worker->incarnation > record->incarnation)
		jobs_task_gone(jobs, now, task);
	else if (!current || job->cancelled)
		jobs_task_order(jobs, now, task, JOBS_ORDER_STOP);
}
