/*
 * Starts without an answer: a worker may still carry them out, up to
 * BATCH_LATE_START_MAX later.
 */
#include "batch_int.h"

bool batch_doubt_any(const batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++)
		if (g_array_index(worker->in_doubt_starts,
				  batch_in_doubt_start_t, i)
			    .until > now)
			return true;
	return false;
}

static void drop_in_doubt_start(batch_worker_t *worker, guint at)
{
	talloc_free(g_array_index(worker->in_doubt_starts,
				  batch_in_doubt_start_t, at)
			    .job);
	g_array_remove_index(worker->in_doubt_starts, at);
}

void batch_doubt_add(batch_worker_t *worker, int64_t now,
		     const batch_task_id_t *id, int64_t run)
{
	batch_in_doubt_start_t start = { .job = base_str_dup(worker, id->job),
					 .occurrence = id->occurrence,
					 .step = id->step,
					 .index = id->index,
					 .run = run,
					 .until = now + BATCH_LATE_START_MAX };
	guint i;

	for (i = worker->in_doubt_starts->len; i-- > 0;)
		if (g_array_index(worker->in_doubt_starts,
				  batch_in_doubt_start_t, i)
			    .until < now)
			drop_in_doubt_start(worker, i);
	g_array_append_val(worker->in_doubt_starts, start);
}

/* Whether the task still has the run, so that polls resolve it. */
static bool is_start_of_run(const batch_worker_t *worker,
			    const batch_in_doubt_start_t *start)
{
	batch_task_id_t id = { base_str(start->job), start->occurrence,
			       start->step, start->index };
	const batch_task_t *task = batch_find_task(worker->core, &id);

	return task && task->run && task->run->worker == worker &&
	       task->run->number == start->run;
}

void batch_doubt_send_stops(batch_worker_t *worker, int64_t now)
{
	batch_t *core = worker->core;
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len && !worker->silent; i++) {
		batch_in_doubt_start_t *start = &g_array_index(
			worker->in_doubt_starts, batch_in_doubt_start_t, i);
		batch_order_t order = {
			.task = { base_str(start->job), start->occurrence,
				  start->step, start->index },
			.run = start->run,
			.worker = base_str(worker->id),
			.incarnation = worker->incarnation,
		};

		if (!start->needs_stop || start->until <= now ||
		    now - start->stop_at <= BATCH_STOP_RETRY ||
		    is_start_of_run(worker, start))
			continue;
		start->stop_at = now;
		core->options.ops->stop(core->options.arg, &order);
	}
}

/* NULL: the start of the run is not in doubt. */
static batch_in_doubt_start_t *find_in_doubt_start(const batch_worker_t *worker,
						   const batch_task_id_t *task,
						   int64_t run)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++) {
		batch_in_doubt_start_t *start = &g_array_index(
			worker->in_doubt_starts, batch_in_doubt_start_t, i);

		if (start->run == run && start->index == task->index &&
		    start->step == task->step &&
		    start->occurrence == task->occurrence &&
		    base_str_eq(base_str(start->job), task->job))
			return start;
	}
	return NULL;
}

void batch_doubt_given_up(const batch_run_t *run)
{
	batch_task_id_t id = batch_task_get_id(run->task);
	batch_in_doubt_start_t *start =
		find_in_doubt_start(run->worker, &id, run->number);

	if (!start || run->stop_acknowledged)
		return;
	start->needs_stop = true;
	start->stop_at = 0;
}

void batch_doubt_stopped(batch_worker_t *worker, const batch_order_t *order)
{
	batch_in_doubt_start_t *start =
		find_in_doubt_start(worker, &order->task, order->run);

	if (start)
		start->needs_stop = false;
}

/*
 * A new incarnation of the worker does not know the stops and the lease of the
 * previous one, so it would carry out a delayed start.
 */
void batch_doubt_new_process(batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++) {
		batch_in_doubt_start_t *start = &g_array_index(
			worker->in_doubt_starts, batch_in_doubt_start_t, i);

		start->needs_stop = true;
		start->stop_at = 0;
	}
	worker->silent = false;
	batch_doubt_send_stops(worker, now);
}
