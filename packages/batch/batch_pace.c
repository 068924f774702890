/*
 * Throttles best-effort tasks to protect serving tasks, which have a tail
 * latency target, on the same worker.
 *
 * Best-effort tasks raise the tail latency of a serving task beside them, by an
 * amount that differs by image and changes within seconds.  Their pace is
 * halved when a tail approaches its target, set to 0 when the target is missed,
 * and raised in steps while all tails stay well below their targets.
 */
#include "batch_int.h"

/* The pace is halved when a tail latency reaches this part of its target. */
#define PACE_HALVE_AT 0.8
/*
 * The pace may rise while all tail latencies are below this part of their
 * targets.
 */
#define PACE_RAISE_BELOW 0.6
#define PACE_RAISE_STEP 25 /* percent */
/*
 * Shortest time between two raises of the pace on a worker.  Reported tail
 * latencies are half a second old; a raise shows in them after twice that.
 */
#define PACE_RAISE_EVERY (1500 * BASE_MS)
/* Percent, of a best-effort task beside a serving task. */
#define PACE_FIRST 50

/*
 * Highest ratio of a serving task's tail latency to its target, of all serving
 * tasks on the worker; -1 if there are none.
 */
static double worst_tail_ratio(const batch_worker_t *worker)
{
	double worst_ratio = -1;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);
		int64_t target = run->task->step->spec->tail_target;
		double ratio;

		if (!target || run->state != RUN_CONFIRMED ||
		    run->task->step->spec->best_effort)
			continue;
		ratio = (double)run->load_metric / (double)target;
		if (ratio > worst_ratio)
			worst_ratio = ratio;
	}
	return worst_ratio;
}

static void set_pace(batch_run_t *run, int64_t now, int percent,
		     double tail_ratio)
{
	batch_t *core = run->worker->core;
	batch_order_t order;

	if (percent < 0)
		percent = 0;
	if (percent > 100)
		percent = 100;
	if (percent == run->pace)
		return;
	run->pace = percent;
	run->worker->paced_at = now;
	order = (batch_order_t){ .task = batch_task_get_id(run->task),
				 .run = run->number,
				 .worker = base_str(run->worker->id),
				 .percent = percent };
	core->options.ops->pace(core->options.arg, &order);
	batch_log_emit(core, &(batch_log_event_t){
				     .kind = BATCH_LOG_PACED,
				     .task = order.task,
				     .run = run->number,
				     .worker = order.worker,
				     .why = "tail latency, percent of target",
				     .value = (int64_t)(100 * tail_ratio) });
}

void batch_pace_adjust(batch_worker_t *worker, int64_t now)
{
	double tail_ratio = worst_tail_ratio(worker);
	bool may_raise;
	guint i;

	if (tail_ratio >= PACE_RAISE_BELOW)
		worker->calm_since = now;
	may_raise = now - worker->calm_since > PACE_RAISE_EVERY &&
		    now - worker->paced_at > PACE_RAISE_EVERY;
	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (!run->task->step->spec->best_effort ||
		    run->state != RUN_CONFIRMED)
			continue;
		if (tail_ratio >= 1)
			set_pace(run, now, 0, tail_ratio);
		else if (tail_ratio >= PACE_HALVE_AT)
			set_pace(run, now, run->pace / 2, tail_ratio);
		else if (tail_ratio < 0)
			set_pace(run, now, 100, tail_ratio);
		else if (may_raise && run->pace < 100)
			set_pace(run, now, run->pace + PACE_RAISE_STEP,
				 tail_ratio);
	}
}
