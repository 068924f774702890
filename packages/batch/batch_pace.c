/*
 * Serving tasks against those that fill the same worker.
 *
 * The pattern it answers: a serving task's tail rises over its target because
 * of what fills beside it, by an amount that differs by image and changes
 * within seconds.  What fills is slowed at once, to nothing when the target
 * is missed, and given back in steps while tails stay well below.
 */
#include "batch_int.h"

#define PACE_SLOW_AT 0.8   /* of the target: half of the fill's share goes */
#define PACE_RAISE_AT 0.6  /* of the target: calm */
#define PACE_RAISE_STEP 25 /* percent */
/* Figures are half a second old: a step up is judged after twice that. */
#define PACE_RAISE_EVERY (1500 * BASE_MS)
#define PACE_FIRST 50 /* percent, beside a serving task */

/* The worst tail against its target; -1 where nothing serves. */
static double worst_tail(const batch_worker_t *worker)
{
	double worst = -1;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);
		int64_t target = run->task->step->spec->tail_target;
		double part;

		if (!target || run->state != RUN_ON ||
		    run->task->step->spec->fills)
			continue;
		part = (double)run->figure / (double)target;
		if (part > worst)
			worst = part;
	}
	return worst;
}

static void set_pace(batch_run_t *run, int64_t now, int percent, double tail)
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
	order = (batch_order_t){ .task = batch_task_name(run->task),
				 .run = run->number,
				 .worker = base_str(run->worker->id),
				 .percent = percent };
	core->options.ops->pace(core->options.arg, &order);
	batch_note(core, &(batch_note_t){ .kind = BATCH_NOTE_PACED,
					  .task = order.task,
					  .run = run->number,
					  .worker = order.worker,
					  .why = "tail, percent of target",
					  .value = (int64_t)(100 * tail) });
}

void batch_pace_look(batch_worker_t *worker, int64_t now)
{
	double tail = worst_tail(worker);
	bool raise;
	guint i;

	if (tail >= PACE_RAISE_AT)
		worker->calm = now;
	raise = now - worker->calm > PACE_RAISE_EVERY &&
		now - worker->paced_at > PACE_RAISE_EVERY;
	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (!run->task->step->spec->fills || run->state != RUN_ON)
			continue;
		if (tail >= 1)
			set_pace(run, now, 0, tail);
		else if (tail >= PACE_SLOW_AT)
			set_pace(run, now, run->pace / 2, tail);
		else if (tail < 0)
			set_pace(run, now, 100, tail);
		else if (raise && run->pace < 100)
			set_pace(run, now, run->pace + PACE_RAISE_STEP, tail);
	}
}
