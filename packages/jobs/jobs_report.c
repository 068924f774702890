/* What workers say of tasks, late and in any order. */
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
static void finish(jobs_t *jobs, int64_t now, jobs_job_t *job);
static void alive(jobs_t *jobs, int64_t now, jobs_task_t *task,
		  const jobs_report_t *report);
static void grow(jobs_t *jobs, jobs_task_t *task, const jobs_res_t *peak);

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
		jobs->stats.strays++;
		return;
	}
	task = task_of(job, report);
	if (!task) {
		unknown_task(jobs, now, job, report);
		return;
	}
	/* What was never sent cannot have been answered. */
	if (task->state == JOBS_TASK_NEW || report->as_of < task->as_of)
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
 * A task is forgotten only once it is known not to run, so that this is a
 * report that came late.  A job that was given up as lost may turn out to
 * have ended well before its worker went away.
 */
static void unknown_task(jobs_t *jobs, int64_t now, jobs_job_t *job,
			 const jobs_report_t *report)
{
	if (report->event == JOBS_EVENT_ENDED && job->state == JOBS_LOST &&
	    report->attempt == job->attempt)
		finish(jobs, now, job);
	else
		jobs->stats.strays++;
}

static void on_running(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	jobs_job_t *job = task->job;

	alive(jobs, now, task, report);
	if (job->task != task || job->cancelled) {
		if (task->order != JOBS_EFFECT_STOP)
			jobs_task_order(jobs, now, task, JOBS_EFFECT_STOP);
		return;
	}
	jobs_set(jobs, job, JOBS_RUNNING, JOBS_WHY_RUNS);
}

static void on_ended(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     const jobs_report_t *report)
{
	jobs_job_t *job = task->job;

	jobs_family_ended(job->family, &task->peak, report->run_us);
	job->family->runs++;
	jobs_praise(jobs, task);
	jobs_task_free(jobs, task);
	if (!jobs_ended(job))
		finish(jobs, now, job);
}

static void on_failed(jobs_t *jobs, int64_t now, jobs_task_t *task,
		      const jobs_report_t *report)
{
	jobs_job_t *job = task->job;
	bool current = job->task == task;

	(void)report;
	jobs_blame(jobs, now, task);
	jobs_task_free(jobs, task);
	if (!current)
		return;
	if (!job->spec.repeatable && !job->cancelled)
		jobs_set(jobs, job, JOBS_FAILED, JOBS_WHY_FAILED);
	else
		jobs_retry(jobs, now, job);
}

/* It never began, so that even a job that must not run twice may go again. */
static void on_refused(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	jobs_job_t *job = task->job;
	bool current = job->task == task;

	(void)report;
	jobs_blame(jobs, now, task);
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
		jobs_dirty(jobs, task->job);
	}
	jobs_task_gone(jobs, now, task);
}

static void on_throttled(jobs_t *jobs, int64_t now, jobs_task_t *task,
			 const jobs_report_t *report)
{
	jobs_res_t less = task->share;

	alive(jobs, now, task, report);
	if (task->order != JOBS_EFFECT_THROTTLE)
		return;
	jobs_task_answered(jobs, task);
	task->full = task->share;
	less.v[JOBS_CORES] /= JOBS_THROTTLE_PART;
	jobs_task_share(jobs, task, &less);
	jobs_task_throttled(jobs, task);
}

static void on_resumed(jobs_t *jobs, int64_t now, jobs_task_t *task,
		       const jobs_report_t *report)
{
	jobs_worker_t *worker = task->worker;

	alive(jobs, now, task, report);
	if (task->order != JOBS_EFFECT_RESUME)
		return;
	jobs_task_answered(jobs, task);
	task->throttled = false;
	jobs_worker_moved(jobs, worker);
}

static void on_gone(jobs_t *jobs, int64_t now, jobs_task_t *task,
		    const jobs_report_t *report)
{
	(void)report;
	jobs_task_gone(jobs, now, task);
}

/* The first end counts; other attempts of the job are stopped. */
static void finish(jobs_t *jobs, int64_t now, jobs_job_t *job)
{
	jobs_dequeue(jobs, job);
	jobs_unclaim(jobs, job);
	job->task = NULL;
	for (GList *l = job->tasks.head, *next; l; l = next) {
		jobs_task_t *task = l->data;

		next = l->next;
		if (task->state == JOBS_TASK_NEW)
			jobs_task_free(jobs, task);
		else if (task->order != JOBS_EFFECT_STOP)
			jobs_task_order(jobs, now, task, JOBS_EFFECT_STOP);
	}
	jobs_set(jobs, job, JOBS_DONE, JOBS_WHY_ENDED);
}

static void alive(jobs_t *jobs, int64_t now, jobs_task_t *task,
		  const jobs_report_t *report)
{
	task->state = JOBS_TASK_RUNNING;
	jobs_task_lease(jobs, now, task);
	jobs_family_running(task->job->family, &report->peak);
	if (report->run_us >= JOBS_SURVIVED_US)
		jobs_praise(jobs, task);
	grow(jobs, task, &report->peak);
	jobs_worker_moved(jobs, task->worker);
}

/* Its room is what it uses, whatever was kept for it. */
static void grow(jobs_t *jobs, jobs_task_t *task, const jobs_res_t *peak)
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
		jobs_task_share(jobs, task, &share);
}
