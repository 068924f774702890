/* Tasks: attempts of jobs on workers, each under a lease. */
#include "jobs_int.h"

static void lease_lapsed(jobs_t *jobs, int64_t now, jobs_task_t *task);

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
	task->unsent_link.data = task;
	g_queue_push_tail_link(&worker->tasks, &task->worker_link);
	g_queue_push_tail_link(&job->tasks, &task->job_link);
	jobs->stats.tasks++;
	jobs_add(&worker->allocated, share);
	jobs_add(&job->team->used, share);
	jobs_mark_dirty(jobs, job);
	jobs_team_changed(jobs, job->team);
	jobs_worker_changed(jobs, worker);
	return task;
}

void jobs_task_free(jobs_t *jobs, jobs_task_t *task)
{
	jobs_job_t *job = task->job;
	jobs_worker_t *worker = task->worker;

	jobs_task_answered(jobs, task);
	if (task->has_lease)
		g_queue_unlink(&jobs->leases, &task->lease_link);
	if (task->unsent)
		g_queue_unlink(&jobs->unsent, &task->unsent_link);
	g_queue_unlink(&worker->tasks, &task->worker_link);
	g_queue_unlink(&job->tasks, &task->job_link);
	jobs->stats.tasks--;
	jobs_sub(&worker->allocated, &task->share);
	jobs_sub(&job->team->used, &task->share);
	if (job->task == task)
		job->task = NULL;
	/* A probe without a result leaves the worker on probation. */
	if (task->is_probe && worker->health == JOBS_PROBATION &&
	    !worker->health_queue) {
		worker->health_queue = &jobs->probation;
		g_queue_push_tail_link(&jobs->probation, &worker->health_link);
	}
	talloc_free(task);
	jobs_mark_dirty(jobs, job);
	jobs_team_changed(jobs, job->team);
	jobs_worker_changed(jobs, worker);
}

void jobs_task_queue_order(jobs_t *jobs, jobs_task_t *task,
			   jobs_order_kind_t order)
{
	if (!task->unsent)
		g_queue_push_tail_link(&jobs->unsent, &task->unsent_link);
	task->unsent = order;
}

void jobs_task_order(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     jobs_order_kind_t order)
{
	if (task->has_order)
		g_queue_unlink(&jobs->orders, &task->order_link);
	task->has_order = true;
	task->order = order;
	task->ordered_at_us = now;
	g_queue_push_tail_link(&jobs->orders, &task->order_link);
	jobs_task_queue_order(jobs, task, order);
	jobs_worker_changed(jobs, task->worker);
}

void jobs_task_answered(jobs_t *jobs, jobs_task_t *task)
{
	if (!task->has_order)
		return;
	g_queue_unlink(&jobs->orders, &task->order_link);
	task->has_order = false;
	task->order = JOBS_ORDER_NONE;
}

/* All leases have the same length, so that appending keeps the queue sorted. */
void jobs_task_renew_lease(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	if (task->has_lease)
		g_queue_unlink(&jobs->leases, &task->lease_link);
	task->has_lease = true;
	task->lease_end_us = now + jobs->opt.lease_us;
	g_queue_push_tail_link(&jobs->leases, &task->lease_link);
}

void jobs_task_set_share(jobs_t *jobs, jobs_task_t *task,
			 const jobs_res_t *share)
{
	jobs_res_t more = jobs_difference(share, &task->share);

	jobs_add(&task->worker->allocated, &more);
	jobs_add(&task->job->team->used, &more);
	task->share = *share;
	/*
	 * Commit the new share, so that a successor does not assume a smaller
	 * one.
	 */
	jobs_mark_dirty(jobs, task->job);
	jobs_team_changed(jobs, task->job->team);
	jobs_worker_changed(jobs, task->worker);
}

void jobs_task_gone(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	jobs_job_t *job = task->job;
	bool sent = task->state != JOBS_TASK_UNSENT;
	bool current = job->task == task;

	jobs_task_free(jobs, task);
	if (!current)
		return;
	if (job->cancelled)
		jobs_set_state(jobs, job, JOBS_CANCELLED,
			       JOBS_REASON_CANCELLED);
	else if (job->spec.repeatable || !sent)
		jobs_requeue(jobs, now, job, true);
	else
		jobs_set_state(jobs, job, JOBS_LOST, JOBS_REASON_WORKER_GONE);
}

void jobs_expire_leases(jobs_t *jobs, int64_t now)
{
	while (!g_queue_is_empty(&jobs->leases)) {
		jobs_task_t *task = g_queue_peek_head(&jobs->leases);

		if (task->lease_end_us > now)
			break;
		g_queue_unlink(&jobs->leases, &task->lease_link);
		task->has_lease = false;
		lease_lapsed(jobs, now, task);
	}
}

void jobs_task_set_throttled(jobs_t *jobs, jobs_task_t *task)
{
	jobs_worker_t *worker = task->worker;

	task->throttled = true;
	if (worker->has_throttled)
		return;
	worker->has_throttled = true;
	g_queue_push_tail_link(&jobs->throttled, &worker->throttled_link);
}

/* The share stays allocated: the task is not known to have stopped. */
static void lease_lapsed(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	jobs_job_t *job = task->job;

	task->state = JOBS_TASK_LAPSED;
	jobs_worker_changed(jobs, task->worker);
	if (job->task != task)
		return;
	if (!job->spec.repeatable || job->cancelled) {
		jobs_set_state(jobs, job, JOBS_IN_DOUBT,
			       JOBS_REASON_LEASE_LAPSED);
		return;
	}
	job->task = NULL;
	job->failures++;
	jobs_task_order(jobs, now, task, JOBS_ORDER_STOP);
	jobs_retry(jobs, now, job);
}
