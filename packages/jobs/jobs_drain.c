/*
 * Workers that are to be emptied, for a reboot or a move.
 *
 * A task is checkpointed if it can be; another one that may be repeated runs on
 * for as long as its family's tasks take, within bounds, and is then stopped.
 * Throttling would only let it run longer.  What must not run twice is waited
 * for: only its end, its worker's word or an operator's cancellation ends it.
 */
#include "jobs_int.h"

static void begin(jobs_t *jobs, int64_t now, const jobs_drain_t *drain);
static void leave(jobs_t *jobs, int64_t now, jobs_task_t *task);
static int64_t patience(const jobs_task_t *task);

void jobs_drain(jobs_t *jobs, int64_t now, const jobs_drain_t *drains, size_t n)
{
	for (GList *l = jobs->draining.head; l; l = l->next)
		((jobs_worker_t *)l->data)->named = false;
	for (size_t i = 0; i < n; i++)
		begin(jobs, now, &drains[i]);
	for (GList *l = jobs->draining.head, *next; l; l = next) {
		jobs_worker_t *worker = l->data;

		next = l->next;
		if (!worker->named)
			jobs_drain_end(jobs, worker);
	}
}

void jobs_drain_end(jobs_t *jobs, jobs_worker_t *worker)
{
	if (!worker->draining)
		return;
	g_queue_unlink(&jobs->draining, &worker->drain_link);
	worker->draining = false;
	jobs_worker_moved(jobs, worker);
}

size_t jobs_worker_tasks(const jobs_t *jobs, base_str_t id)
{
	const jobs_worker_t *worker = jobs_worker_find(jobs, id);

	return worker ? worker->tasks.length : 0;
}

void jobs_drain_step(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->draining.head; l; l = l->next) {
		jobs_worker_t *worker = l->data;

		for (GList *t = worker->tasks.head; t; t = t->next)
			leave(jobs, now, t->data);
	}
}

/* A later life of it proves that its tasks are gone. */
static void begin(jobs_t *jobs, int64_t now, const jobs_drain_t *drain)
{
	jobs_worker_t *worker = jobs_worker_find(jobs, drain->worker);

	if (!worker)
		return;
	if (drain->incarnation > worker->incarnation) {
		worker->incarnation = drain->incarnation;
		jobs_worker_emptied(jobs, now, worker);
	}
	worker->named = true;
	if (worker->draining)
		return;
	worker->draining = true;
	worker->drain_at = now;
	g_queue_push_tail_link(&jobs->draining, &worker->drain_link);
	jobs_worker_moved(jobs, worker);
}

static void leave(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	const jobs_spec_t *spec = &task->job->spec;
	jobs_effect_t order = JOBS_EFFECT_STOP;

	/* One that is silent was told, or cannot be, and is waited for. */
	if (task->state != JOBS_TASK_RUNNING || !spec->repeatable ||
	    task->order == JOBS_EFFECT_STOP)
		return;
	if (now < patience(task)) {
		if (!spec->checkpoints || task->order == JOBS_EFFECT_CHECKPOINT)
			return;
		order = JOBS_EFFECT_CHECKPOINT;
	}
	jobs->stats.drained++;
	jobs_task_order(jobs, now, task, order);
}

/* When it is stopped. */
static int64_t patience(const jobs_task_t *task)
{
	int64_t since = task->worker->drain_at;
	int64_t run_us = task->job->family->run_us_q90;
	int64_t end = run_us ? task->started_at + run_us
			     : since + JOBS_DRAIN_UNKNOWN_US;

	if (task->job->spec.checkpoints)
		return since + JOBS_DRAIN_CHECKPOINT_US;
	return CLAMP(end, since + JOBS_DRAIN_LEAST_US,
		     since + JOBS_DRAIN_MOST_US);
}
