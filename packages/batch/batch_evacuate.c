/*
 * Emptying workers that leave or are due for upkeep.
 *
 * Short tasks are let end, those that take too long are stopped and resume
 * from their checkpoint elsewhere.  A task that lasts moves only while enough
 * others of its step are at work and another worker has room for it.
 */
#include "batch_int.h"

/* Tasks take about a second; what runs longer is cut to keep a wave in time. */
#define EVACUATE_PATIENCE (2500 * BASE_MS)
/* A worker that leaves serves on for about two seconds. */
#define EVACUATE_LEAVING (1200 * BASE_MS)
/* A look comes at least every second; one that is late says nothing. */
#define EVACUATE_HEARD_MAX (1500 * BASE_MS)
/* A moved task has been at work again for so long before the next one goes. */
#define EVACUATE_REST (300 * BASE_MS)

static bool at_work(const batch_task_t *task, int64_t now)
{
	const batch_run_t *run = task->run;

	/* What a silent worker showed last may be over, and what runs on one
	 * that leaves will be, whatever is decided of the others. */
	return run && run->state == RUN_ON && run->percent >= 100 &&
	       !run->worker->silent && !run->worker->draining &&
	       now - run->worker->heard <= EVACUATE_HEARD_MAX &&
	       now - run->begun > EVACUATE_REST;
}

/* Whether one more of the step may be away. */
static bool may_leave(const batch_task_t *task, int64_t now)
{
	const batch_step_t *step = task->step;
	int allowed = step->spec->may_miss < 0 ? 1 : step->spec->may_miss;
	int away = 0;
	int i;

	for (i = 0; i < step->spec->count; i++)
		if (&step->tasks[i] != task && !at_work(&step->tasks[i], now))
			away++;
	return away < allowed;
}

static void evacuate_run(batch_run_t *run, int64_t now)
{
	const batch_worker_t *worker = run->worker;
	const batch_task_t *task = run->task;
	int64_t waited = now - worker->cordoned_at;

	if (run->state != RUN_ON)
		return;
	if (task->step->spec->lasting) {
		if (!worker->draining && !may_leave(task, now))
			return;
		if (batch_place_elsewhere(task, now))
			batch_run_stop(run, now, "evacuated");
		return;
	}
	/* A worker that leaves cuts its tasks anyway: only a checkpoint helps.
	 */
	if (worker->draining && !worker->cordoned) {
		if (task->step->spec->checkpoints && waited > EVACUATE_LEAVING)
			batch_run_stop(run, now, "worker leaves");
	} else if (waited > EVACUATE_PATIENCE) {
		batch_run_stop(run, now, "evacuated");
	}
}

void batch_evacuate(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (!worker->cordoned && !worker->draining)
			continue;
		for (i = worker->runs->len; i-- > 0;)
			evacuate_run(g_ptr_array_index(worker->runs, i), now);
	}
}
