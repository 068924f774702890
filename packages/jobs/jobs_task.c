/* Tasks: attempts of jobs on workers, under leases. */
#include "jobs_int.h"

static void lapse(jobs_t *jobs, int64_t now, jobs_task_t *task);

jobs_task_t *jobs_task_new(jobs_t *jobs, jobs_job_t *job, jobs_worker_t *worker,
			   int64_t attempt, const jobs_res_t *share)
{
	jobs_task_t *task = talloc_zero(jobs, jobs_task_t);

	task->job = job;
	task->worker = worker;
	task->attempt = attempt;
	task->share = task->full = *share;
	task->worker_link.data = task->job_link.data = task;
	task->lease_link.data = task->order_link.data = task;
	task->effect_link.data = task;
	g_queue_push_tail_link(&worker->tasks, &task->worker_link);
	g_queue_push_tail_link(&job->tasks, &task->job_link);
	jobs->stats.tasks++;
	jobs_add(&worker->taken, share);
	jobs_add(&job->team->used, share);
	jobs_dirty(jobs, job);
	jobs_team_moved(jobs, job->team);
	jobs_worker_moved(jobs, worker);
	return task;
}

void jobs_task_free(jobs_t *jobs, jobs_task_t *task)
{
	jobs_job_t *job = task->job;
	jobs_worker_t *worker = task->worker;

	jobs_task_answered(jobs, task);
	if (task->leased)
		g_queue_unlink(&jobs->leases, &task->lease_link);
	if (task->effect)
		g_queue_unlink(&jobs->effects, &task->effect_link);
	g_queue_unlink(&worker->tasks, &task->worker_link);
	g_queue_unlink(&job->tasks, &task->job_link);
	jobs->stats.tasks--;
	jobs_sub(&worker->taken, &task->share);
	jobs_sub(&job->team->used, &task->share);
	if (job->task == task)
		job->task = NULL;
	/* A trial that ended without a verdict is held again. */
	if (task->trial && worker->health == JOBS_TRIAL &&
	    !worker->health_queue) {
		worker->health_queue = &jobs->trial;
		g_queue_push_tail_link(&jobs->trial, &worker->health_link);
	}
	talloc_free(task);
	jobs_dirty(jobs, job);
	jobs_team_moved(jobs, job->team);
	jobs_worker_moved(jobs, worker);
}

void jobs_task_effect(jobs_t *jobs, jobs_task_t *task, jobs_effect_t effect)
{
	if (!task->effect)
		g_queue_push_tail_link(&jobs->effects, &task->effect_link);
	task->effect = effect;
}

void jobs_task_order(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     jobs_effect_t order)
{
	if (task->ordered)
		g_queue_unlink(&jobs->orders, &task->order_link);
	task->ordered = true;
	task->order = order;
	task->order_at = now;
	g_queue_push_tail_link(&jobs->orders, &task->order_link);
	jobs_task_effect(jobs, task, order);
	jobs_worker_moved(jobs, task->worker);
}

void jobs_task_answered(jobs_t *jobs, jobs_task_t *task)
{
	if (!task->ordered)
		return;
	g_queue_unlink(&jobs->orders, &task->order_link);
	task->ordered = false;
	task->order = JOBS_EFFECT_NONE;
}

/* All leases have one length, so that the list stays in their order. */
void jobs_task_lease(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	if (task->leased)
		g_queue_unlink(&jobs->leases, &task->lease_link);
	task->leased = true;
	task->lease_at = now + jobs->opt.lease_us;
	g_queue_push_tail_link(&jobs->leases, &task->lease_link);
}

void jobs_task_share(jobs_t *jobs, jobs_task_t *task, const jobs_res_t *share)
{
	jobs_res_t more = jobs_less(share, &task->share);

	jobs_add(&task->worker->taken, &more);
	jobs_add(&task->job->team->used, &more);
	task->share = *share;
	/* A successor must not take a share for smaller than it is. */
	jobs_dirty(jobs, task->job);
	jobs_team_moved(jobs, task->job->team);
	jobs_worker_moved(jobs, task->worker);
}

void jobs_task_gone(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	jobs_job_t *job = task->job;
	bool sent = task->state != JOBS_TASK_NEW;
	bool current = job->task == task;

	jobs_task_free(jobs, task);
	if (!current)
		return;
	if (job->cancelled)
		jobs_set(jobs, job, JOBS_CANCELLED, JOBS_WHY_CANCEL);
	else if (job->spec.repeatable || !sent)
		jobs_requeue(jobs, now, job, true);
	else
		jobs_set(jobs, job, JOBS_LOST, JOBS_WHY_SILENT);
}

void jobs_lapse(jobs_t *jobs, int64_t now)
{
	while (!g_queue_is_empty(&jobs->leases)) {
		jobs_task_t *task = g_queue_peek_head(&jobs->leases);

		if (task->lease_at > now)
			break;
		g_queue_unlink(&jobs->leases, &task->lease_link);
		task->leased = false;
		lapse(jobs, now, task);
	}
}

void jobs_task_throttled(jobs_t *jobs, jobs_task_t *task)
{
	jobs_worker_t *worker = task->worker;

	task->throttled = true;
	if (worker->throttling)
		return;
	worker->throttling = true;
	g_queue_push_tail_link(&jobs->throttled, &worker->throttled_link);
}

/* Its share stays taken: nobody has said that it stopped. */
static void lapse(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	jobs_job_t *job = task->job;

	task->state = JOBS_TASK_DOUBT;
	jobs_worker_moved(jobs, task->worker);
	if (job->task != task)
		return;
	if (!job->spec.repeatable || job->cancelled) {
		jobs_set(jobs, job, JOBS_DOUBT, JOBS_WHY_LAPSED);
		return;
	}
	job->task = NULL;
	job->failures++;
	jobs_task_order(jobs, now, task, JOBS_EFFECT_STOP);
	jobs_retry(jobs, now, job);
}
