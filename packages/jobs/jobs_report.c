/* Handles workers' reports on tasks, which may be late or out of order. */
#include "jobs_int.h"

typedef void (*event_fn_t)(jobs_t *jobs, int64_t now, jobs_task_t *task,
			   const jobs_report_t *report);

static void on_running(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report);
static void on_ended(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     const jobs_report_t *report);
static void on_failed(jobs_t *jobs, int64_t now, jobs_task_t *task,
		      const jobs_report_t *report);
static void on_refused(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report);
static void on_checkpointed(jobs_t *jobs, int64_t now, jobs_task_t *task,
			    const jobs_report_t *report);
static void on_throttled(jobs_t *jobs, int64_t now, jobs_task_t *task,
			 const jobs_report_t *report);
static void on_resumed(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report);
static void on_gone(jobs_t *jobs, int64_t now, jobs_task_t *task,
		    const jobs_report_t *report);
static jobs_task_t *task_of(const jobs_job_t *job, const jobs_report_t *report);
static void unknown_task(jobs_t *jobs, int64_t now, jobs_job_t *job,
			 const jobs_report_t *report);
static void finish_job(jobs_t *jobs, int64_t now, jobs_job_t *job);
static void task_alive(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report);
static void raise_share(jobs_t *jobs, jobs_task_t *task,
			const jobs_res_t *peak);

static const event_fn_t events[JOBS_EVENT_MAX] = {
	[JOBS_EVENT_RUNNING] = on_running,
	[JOBS_EVENT_ENDED] = on_ended,
	[JOBS_EVENT_FAILED] = on_failed,
	[JOBS_EVENT_REFUSED] = on_refused,
	[JOBS_EVENT_CHECKPOINTED] = on_checkpointed,
	[JOBS_EVENT_THROTTLED] = on_throttled,
	[JOBS_EVENT_RESUMED] = on_resumed,
	[JOBS_EVENT_GONE] = on_gone,
};

void jobs_report(jobs_t *jobs, int64_t now, const jobs_report_t *report)
{
	jobs_job_t *job = jobs_find(jobs, report->job);
	jobs_task_t *task;

	if (!job || report->event < 0 || report->event >= JOBS_EVENT_MAX) {
		jobs->stats.unmatched_reports++;
		return;
	}
	task = task_of(job, report);
	if (!task) {
		unknown_task(jobs, now, job, report);
		return;
	}
	/* No report can answer an unsent start; older reports are outdated. */
	if (task->state == JOBS_TASK_UNSENT || report->as_of < task->as_of)
		return;
	task->as_of = report->as_of;
	jobs_raise(&job->peak, &report->peak);
	jobs_raise(&task->peak, &report->peak);
	events[report->event](jobs, now, task, report);
}

static jobs_task_t *task_of(const jobs_job_t *job, const jobs_report_t *report)
{
	for (GList *l = job->tasks.head; l; l = l->next) {
		jobs_task_t *task = l->data;

		if (task->attempt == report->attempt &&
		    task->worker->incarnation == report->incarnation &&
		    base_str_eq(base_str(task->worker->id), report->worker))
			return task;
	}
	return NULL;
}

/*
 * A task is dropped only once it is known not to run, so that a report on an
 * unknown task is a late one.  It may show that a lost job finished before its
 * worker went away.
 */
static void unknown_task(jobs_t *jobs, int64_t now, jobs_job_t *job,
			 const jobs_report_t *report)
{
	if (report->event == JOBS_EVENT_ENDED && job->state == JOBS_LOST &&
	    report->attempt == job->attempt)
		finish_job(jobs, now, job);
	else
		jobs->stats.unmatched_reports++;
}

static void on_running(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	jobs_job_t *job = task->job;

	task_alive(jobs, now, task, report);
	if (job->task != task || job->cancelled) {
		if (task->order != JOBS_ORDER_STOP)
			jobs_task_order(jobs, now, task, JOBS_ORDER_STOP);
		return;
	}
	jobs_set_state(jobs, job, JOBS_RUNNING, JOBS_REASON_RUNNING);
}

static void on_ended(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     const jobs_report_t *report)
{
	jobs_job_t *job = task->job;

	jobs_family_add_sample(job->family, &task->peak, report->run_us);
	job->family->runs++;
	jobs_health_success(jobs, task);
	jobs_task_free(jobs, task);
	if (!jobs_has_ended(job))
		finish_job(jobs, now, job);
}

static void on_failed(jobs_t *jobs, int64_t now, jobs_task_t *task,
		      const jobs_report_t *report)
{
	jobs_job_t *job = task->job;
	bool current = job->task == task;

	(void)report;
	jobs_health_failure(jobs, now, task);
	jobs_task_free(jobs, task);
	if (!current)
		return;
	if (!job->spec.repeatable && !job->cancelled)
		jobs_set_state(jobs, job, JOBS_FAILED, JOBS_REASON_FAILED);
	else
		jobs_retry(jobs, now, job);
}

/* The task did not start: even a job that must not run twice is retried. */
static void on_refused(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	jobs_job_t *job = task->job;
	bool current = job->task == task;

	(void)report;
	jobs_health_failure(jobs, now, task);
	jobs_task_free(jobs, task);
	if (current)
		jobs_retry(jobs, now, job);
}

static void on_checkpointed(jobs_t *jobs, int64_t now, jobs_task_t *task,
			    const jobs_report_t *report)
{
	(void)report;
	if (task->job->task == task && task->job->spec.repeatable) {
		task->job->checkpointed = true;
		jobs_mark_dirty(jobs, task->job);
	}
	jobs_task_gone(jobs, now, task);
}

static void on_throttled(jobs_t *jobs, int64_t now, jobs_task_t *task,
			 const jobs_report_t *report)
{
	jobs_res_t reduced = task->share;

	task_alive(jobs, now, task, report);
	if (task->order != JOBS_ORDER_THROTTLE)
		return;
	jobs_task_answered(jobs, task);
	task->full = task->share;
	reduced.v[JOBS_CORES] /= JOBS_THROTTLE_DIVISOR;
	jobs_task_set_share(jobs, task, &reduced);
	jobs_task_set_throttled(jobs, task);
}

static void on_resumed(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	jobs_worker_t *worker = task->worker;

	task_alive(jobs, now, task, report);
	if (task->order != JOBS_ORDER_RESUME)
		return;
	jobs_task_answered(jobs, task);
	task->throttled = false;
	jobs_worker_changed(jobs, worker);
}

static void on_gone(jobs_t *jobs, int64_t now, jobs_task_t *task,
		    const jobs_report_t *report)
{
	(void)report;
	jobs_task_gone(jobs, now, task);
}

/* The first attempt to finish decides; the other ones are stopped. */
static void finish_job(jobs_t *jobs, int64_t now, jobs_job_t *job)
{
	jobs_dequeue(jobs, job);
	jobs_unreserve(jobs, job);
	job->task = NULL;
	for (GList *l = job->tasks.head, *next; l; l = next) {
		jobs_task_t *task = l->data;

		next = l->next;
		if (task->state == JOBS_TASK_UNSENT)
			jobs_task_free(jobs, task);
		else if (task->order != JOBS_ORDER_STOP)
			jobs_task_order(jobs, now, task, JOBS_ORDER_STOP);
	}
	jobs_set_state(jobs, job, JOBS_DONE, JOBS_REASON_DONE);
}

static void task_alive(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	task->state = JOBS_TASK_RUNNING;
	jobs_task_renew_lease(jobs, now, task);
	jobs_family_raise_running(task->job->family, &report->peak);
	if (report->run_us >= JOBS_HEALTHY_RUN_US)
		jobs_health_success(jobs, task);
	raise_share(jobs, task, &report->peak);
	jobs_worker_changed(jobs, task->worker);
}

/* Raise the share to the actual usage if that is higher. */
static void raise_share(jobs_t *jobs, jobs_task_t *task, const jobs_res_t *peak)
{
	jobs_res_t share = task->share;

	if (task->throttled) {
		jobs_raise(&task->full, peak);
		share.v[JOBS_MEMORY] =
			MAX(share.v[JOBS_MEMORY], peak->v[JOBS_MEMORY]);
	} else {
		jobs_raise(&share, peak);
		jobs_raise(&task->full, peak);
	}
	if (!jobs_fits(&share, &task->share))
		jobs_task_set_share(jobs, task, &share);
}
