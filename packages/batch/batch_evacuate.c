/*
 * Evacuates workers that shut down or are due for maintenance.
 *
 * Short tasks may finish.  Those that take too long are stopped and resume from
 * their checkpoint elsewhere.  A long-running task moves only while enough
 * other tasks of its step are available and another worker has capacity for it.
 */
#include "batch_int.h"

/*
 * A short task on a cordoned worker may run this long before it is stopped.
 * Short tasks take about a second; longer ones are stopped to keep a wave of
 * maintenance on time.
 */
#define EVACUATE_GRACE (2500 * BASE_MS)
/*
 * A task with checkpoints on a worker that shuts down may run this long before
 * it is stopped.  The worker keeps running its tasks for about two seconds.
 */
#define EVACUATE_DRAIN_GRACE (1200 * BASE_MS)
/*
 * A run counts as available only if the last poll of its worker is not older
 * than this; polls come at least every 1.8 s.
 */
#define EVACUATE_POLL_AGE_MAX (2300 * BASE_MS)
/*
 * A moved task must have been available for this long before another task of
 * its step moves.
 */
#define EVACUATE_SETTLE_TIME (300 * BASE_MS)

static bool is_available(const batch_task_t *task, int64_t now)
{
	const batch_run_t *run = task->run;

	/*
	 * A run does not count as available if its worker is silent, because it
	 * may have ended since the last poll, or if its worker drains, because
	 * it will end soon whether or not the other runs are stopped.
	 */
	return run && run->state == RUN_CONFIRMED && !run->is_withdrawn &&
	       run->percent >= 100 && !run->worker->silent &&
	       !run->worker->draining &&
	       now - run->worker->polled_at <= EVACUATE_POLL_AGE_MAX &&
	       now - run->start_confirmed_at > EVACUATE_SETTLE_TIME;
}

/* Whether the step allows one more of its tasks to be unavailable. */
static bool may_become_unavailable(const batch_task_t *task, int64_t now)
{
	const batch_step_t *step = task->step;
	int allowed = step->spec->max_unavailable < 0
			      ? 1
			      : step->spec->max_unavailable;
	int unavailable = 0;
	int i;

	for (i = 0; i < step->spec->count; i++)
		if (&step->tasks[i] != task &&
		    !is_available(&step->tasks[i], now))
			unavailable++;
	return unavailable < allowed;
}

/* Whether a stop of a run of the step, on a worker that goes on, is on its way
 * or has no answer. */
static bool awaits_stop(const batch_step_t *step)
{
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_run_t *run = step->tasks[i].run;

		if (run && run->state == RUN_STOPPING &&
		    !run->stop_acknowledged && !run->worker->draining)
			return true;
	}
	return false;
}

/*
 * A run on a worker that shuts down ends anyway, but to stop it counts: it must
 * not be away by a stop when that of another one arrives.
 */
static bool may_move(const batch_run_t *run, int64_t now)
{
	if (run->worker->draining && !awaits_stop(run->task->step))
		return true;
	return may_become_unavailable(run->task, now);
}

bool batch_evacuate_may_stop(const batch_run_t *run, int64_t now)
{
	return run->worker->draining || may_become_unavailable(run->task, now);
}

/* Counts a task that fits on no worker of its pool, so that the pool grows. */
static void count_stranded(const batch_task_t *task, int64_t now)
{
	if (batch_place_lacks_worker(task, now))
		batch_load_add(&task->step->occ->job->queue->pool->stranded,
			       task->step->spec);
}

static void evacuate_run(batch_run_t *run, int64_t now)
{
	const batch_worker_t *worker = run->worker;
	batch_task_t *task = run->task;
	int64_t waited = now - worker->cordoned_at;

	if (run->state != RUN_CONFIRMED)
		return;
	if (run->is_withdrawn) {
		if (!batch_claim_make(task, now) && !task->claim)
			count_stranded(task, now);
		return;
	}
	if (task->step->spec->long_running) {
		if (!may_move(run, now))
			return;
		if (batch_claim_make(task, now))
			batch_run_withdraw(run, "evacuated");
		else
			count_stranded(task, now);
		return;
	}
	/*
	 * A worker that shuts down ends its tasks anyway: stopping early only
	 * helps those that resume from a checkpoint.
	 */
	if (worker->draining && !worker->cordoned) {
		if (task->step->spec->checkpoints &&
		    waited > EVACUATE_DRAIN_GRACE)
			batch_run_stop(run, now, "worker leaves");
	} else if (waited > EVACUATE_GRACE) {
		batch_run_stop(run, now, "evacuated");
	}
}

void batch_evacuate(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((batch_pool_t *)value)->stranded = (batch_load_t){ 0, 0 };
	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (!worker->cordoned && !worker->draining)
			continue;
		for (i = worker->runs->len; i-- > 0;)
			evacuate_run(g_ptr_array_index(worker->runs, i), now);
	}
}
