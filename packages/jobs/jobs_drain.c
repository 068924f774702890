/*
 * Draining workers for a reboot or a move.
 *
 * A repeatable task is checkpointed if it supports that.  Otherwise it may run
 * for its family's usual run time, within limits, and is then stopped; it is
 * not throttled, because that would only make it run longer.  A task that must
 * not run twice gets no order: the drain waits until it ends, until its worker
 * is known not to run it, or until an operator cancels the job.
 */
#include "jobs_int.h"

static void begin_drain(jobs_t *jobs, int64_t now, const jobs_drain_t *drain);
static void drain_task(jobs_t *jobs, int64_t now, jobs_task_t *task);
static int64_t stop_time(const jobs_task_t *task);

void jobs_drain(jobs_t *jobs, int64_t now, const jobs_drain_t *drains, size_t n)
{
	for (GList *l = jobs->draining.head; l; l = l->next)
		((jobs_worker_t *)l->data)->drain_requested = false;
	for (size_t i = 0; i < n; i++)
		begin_drain(jobs, now, &drains[i]);
	for (GList *l = jobs->draining.head, *next; l; l = next) {
		jobs_worker_t *worker = l->data;

		next = l->next;
		if (!worker->drain_requested)
			jobs_drain_end(jobs, worker);
	}
}

void jobs_drain_end(jobs_t *jobs, jobs_worker_t *worker)
{
	if (!worker->draining)
		return;
	g_queue_unlink(&jobs->draining, &worker->drain_link);
	worker->draining = false;
	jobs_worker_changed(jobs, worker);
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
			drain_task(jobs, now, t->data);
	}
}

/*
 * Start draining a worker.  If the drain names a higher incarnation than the
 * known one, the worker has restarted and its earlier tasks are gone.
 */
static void begin_drain(jobs_t *jobs, int64_t now, const jobs_drain_t *drain)
{
	jobs_worker_t *worker = jobs_worker_find(jobs, drain->worker);

	if (!worker)
		return;
	if (drain->incarnation > worker->incarnation) {
		worker->incarnation = drain->incarnation;
		jobs_worker_drop_tasks(jobs, now, worker);
	}
	worker->drain_requested = true;
	if (worker->draining)
		return;
	worker->draining = true;
	worker->drain_start_us = now;
	g_queue_push_tail_link(&jobs->draining, &worker->drain_link);
	jobs_worker_changed(jobs, worker);
}

static void drain_task(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	const jobs_spec_t *spec = &task->job->spec;
	jobs_order_kind_t order = JOBS_ORDER_STOP;

	/*
	 * A task whose lease has lapsed was ordered to stop already or must not
	 * be stopped; the drain waits for it.  A task that is starting gets its
	 * order once it runs.
	 */
	if (task->state != JOBS_TASK_RUNNING || !spec->repeatable ||
	    task->order == JOBS_ORDER_STOP)
		return;
	if (now < stop_time(task)) {
		if (!spec->checkpoints || task->order == JOBS_ORDER_CHECKPOINT)
			return;
		order = JOBS_ORDER_CHECKPOINT;
	}
	jobs->stats.drain_orders++;
	jobs_task_order(jobs, now, task, order);
}

/* The time at which a task on a draining worker is stopped. */
static int64_t stop_time(const jobs_task_t *task)
{
	int64_t since = task->worker->drain_start_us;
	int64_t run_us = task->job->family->run_us_q90;
	int64_t end = run_us ? task->started_at_us + run_us
			     : since + JOBS_DRAIN_DEFAULT_US;

	if (task->job->spec.checkpoints)
		return since + JOBS_DRAIN_CHECKPOINT_US;
	return CLAMP(end, since + JOBS_DRAIN_MIN_US, since + JOBS_DRAIN_MAX_US);
}
