/*
 * Room set aside for the next run of a long-running task, from the decision to
 * stop the present one until the next one exists.
 *
 * A claim counts as used on its worker, so that neither another task nor a move
 * of the worker's instance takes the room meanwhile.  Claims are not stored: a
 * later holder makes its own before it stops a withdrawn run.
 */
#include "batch_int.h"

static void add_use(const batch_task_t *task, int sign)
{
	const batch_step_spec_t *spec = task->step->spec;
	batch_worker_t *worker = task->claim;

	if (!spec->best_effort)
		worker->used.cpu += sign * spec->need.cpu;
	worker->used.memory += sign * spec->need.memory;
	worker->used.gpu += sign * spec->need.gpu;
	batch_room_update(worker);
}

void batch_claim_drop(batch_task_t *task)
{
	if (!task->claim)
		return;
	add_use(task, -1);
	g_ptr_array_remove_fast(task->claim->claims, task);
	task->claim->core->pass_needed = true;
	task->claim = NULL;
}

void batch_claim_drop_all(batch_worker_t *worker)
{
	while (worker->claims->len)
		batch_claim_drop(g_ptr_array_index(worker->claims, 0));
}

static void set_claim(batch_task_t *task, batch_worker_t *worker)
{
	task->claim = worker;
	g_ptr_array_add(worker->claims, task);
	add_use(task, 1);
}

/*
 * Whether the worker is still to run the task.  A worker that is only busy or
 * has not been polled yet keeps the claim.
 */
static bool is_held(const batch_task_t *task)
{
	return batch_worker_in_capacity(task->claim) &&
	       task->claim->pool == task->step->occ->job->queue->pool;
}

bool batch_claim_make(batch_task_t *task, int64_t now)
{
	batch_worker_t *worker;

	if (task->claim && !is_held(task))
		batch_claim_drop(task);
	if (task->claim && batch_fit_allows(task->claim, task, now))
		return true;
	worker = batch_place_find(task, now);
	if (!worker)
		return false;
	batch_claim_drop(task);
	set_claim(task, worker);
	return true;
}

batch_worker_t *batch_claim_take(batch_task_t *task, int64_t now)
{
	batch_worker_t *worker = task->claim;

	if (!worker)
		return NULL;
	if (!is_held(task)) {
		batch_claim_drop(task);
		return NULL;
	}
	if (!batch_fit_allows(worker, task, now))
		return NULL;
	batch_claim_drop(task);
	return batch_fit_has_capacity(worker, task->step->spec) ? worker : NULL;
}

void batch_claims_drop_ended(batch_t *core)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		for (i = worker->claims->len; i-- > 0;) {
			batch_task_t *task =
				g_ptr_array_index(worker->claims, i);

			if (task->done ||
			    !batch_job_is_active(task->step->occ->job) ||
			    !is_held(task))
				batch_claim_drop(task);
		}
	}
}
