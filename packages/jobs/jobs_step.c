/* One step of the scheduler: decide, commit, send. */
#include "jobs_int.h"

typedef void (*send_fn_t)(void *arg, const jobs_order_t *order);

static bool commit(jobs_t *jobs);
static void send_all(jobs_t *jobs, int64_t now);
static void send_one(jobs_t *jobs, int64_t now, jobs_task_t *task);

bool jobs_step(jobs_t *jobs, int64_t now)
{
	if (jobs->fenced)
		return false;
	jobs_expire_leases(jobs, now);
	jobs_health_step(jobs, now);
	jobs_preempt_step(jobs, now);
	jobs_drain_step(jobs, now);
	jobs_place(jobs, now);
	if (commit(jobs))
		send_all(jobs, now);
	return !jobs->fenced;
}

/* Returns true if all records are written; no order is sent before that. */
static bool commit(jobs_t *jobs)
{
	size_t n = g_queue_get_length(&jobs->dirty), i = 0;
	jobs_record_t *records;
	jobs_commit_t done;

	if (!n)
		return true;
	records = talloc_zero_array(jobs, jobs_record_t, (unsigned)n);
	for (GList *l = jobs->dirty.head; l; l = l->next)
		jobs_record_of(l->data, &records[i++]);
	done = jobs->opt.ops->commit(jobs->opt.arg, records, n);
	talloc_free(records);
	if (done == JOBS_COMMIT_FENCED)
		jobs->fenced = true;
	if (done != JOBS_COMMIT_DONE)
		return false;
	while (!g_queue_is_empty(&jobs->dirty)) {
		GList *link = g_queue_pop_head_link(&jobs->dirty);
		jobs_job_t *job = link->data;

		job->dirty = false;
	}
	return true;
}

static void send_all(jobs_t *jobs, int64_t now)
{
	while (!g_queue_is_empty(&jobs->unsent))
		send_one(jobs, now, g_queue_peek_head(&jobs->unsent));
}

static void send_one(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	const jobs_ops_t *ops = jobs->opt.ops;
	const send_fn_t send_fns[JOBS_ORDER_MAX] = {
		[JOBS_ORDER_START] = ops->start,
		[JOBS_ORDER_CHECKPOINT] = ops->checkpoint,
		[JOBS_ORDER_THROTTLE] = ops->throttle,
		[JOBS_ORDER_RESUME] = ops->resume,
		[JOBS_ORDER_STOP] = ops->stop,
	};
	const jobs_order_t order = {
		.job = task->job->spec.id,
		.attempt = task->attempt,
		.worker = base_str(task->worker->id),
		.incarnation = task->worker->incarnation,
		.family = task->job->spec.family,
		.repeatable = task->job->spec.repeatable,
		.share = task->share,
		.checkpointed = task->job->checkpointed,
	};
	jobs_order_kind_t kind = task->unsent;

	g_queue_unlink(&jobs->unsent, &task->unsent_link);
	task->unsent = JOBS_ORDER_NONE;
	if (kind == JOBS_ORDER_START) {
		task->state = JOBS_TASK_STARTING;
		task->started_at_us = now;
		jobs->stats.started++;
		jobs_task_renew_lease(jobs, now, task);
	}
	send_fns[kind](jobs->opt.arg, &order);
}
