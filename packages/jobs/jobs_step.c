/* Decide, commit, then send. */
#include "jobs_int.h"

typedef void (*send_fn_t)(void *arg, const jobs_order_t *order);

static bool commit(jobs_t *jobs);
static void send_all(jobs_t *jobs, int64_t now);
static void send_one(jobs_t *jobs, int64_t now, jobs_task_t *task);

bool jobs_step(jobs_t *jobs, int64_t now)
{
	if (jobs->fenced)
		return false;
	jobs_lapse(jobs, now);
	jobs_health_step(jobs, now);
	jobs_room_step(jobs, now);
	jobs_drain_step(jobs, now);
	jobs_place(jobs, now);
	if (commit(jobs))
		send_all(jobs, now);
	return !jobs->fenced;
}

/* Whether all that was decided is written; nothing is sent before. */
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
	if (done == JOBS_COMMIT_LOST)
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
	while (!g_queue_is_empty(&jobs->effects))
		send_one(jobs, now, g_queue_peek_head(&jobs->effects));
}

static void send_one(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	const jobs_ops_t *ops = jobs->opt.ops;
	const send_fn_t sends[JOBS_EFFECT_MAX] = {
		[JOBS_EFFECT_START] = ops->start,
		[JOBS_EFFECT_CHECKPOINT] = ops->checkpoint,
		[JOBS_EFFECT_THROTTLE] = ops->throttle,
		[JOBS_EFFECT_RESUME] = ops->resume,
		[JOBS_EFFECT_STOP] = ops->stop,
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
	jobs_effect_t effect = task->effect;

	g_queue_unlink(&jobs->effects, &task->effect_link);
	task->effect = JOBS_EFFECT_NONE;
	if (effect == JOBS_EFFECT_START) {
		task->state = JOBS_TASK_STARTING;
		task->started_at = now;
		jobs->stats.started++;
		jobs_task_lease(jobs, now, task);
	}
	sends[effect](jobs->opt.arg, &order);
}
