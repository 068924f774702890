/*
 * A worker's capacity changes while it runs tasks.
 *
 * What runs goes on, whether or not it still fits.  Starts that were not sent
 * and do not fit any more are dropped, and their tasks placed anew.
 */
#include "batch_int.h"

static bool is_equal(const batch_res_t *a, const batch_res_t *b)
{
	return a->cpu == b->cpu && a->memory == b->memory && a->gpu == b->gpu;
}

static bool is_over(const batch_worker_t *worker)
{
	return worker->used.cpu > worker->capacity.cpu ||
	       worker->used.memory > worker->capacity.memory ||
	       worker->used.gpu > worker->capacity.gpu;
}

/* Whether the worker is over in a resource that the run needs. */
static bool is_needed(const batch_worker_t *worker, const batch_run_t *run)
{
	const batch_step_spec_t *spec = run->task->step->spec;

	return (worker->used.cpu > worker->capacity.cpu && spec->need.cpu &&
		!spec->best_effort) ||
	       (worker->used.memory > worker->capacity.memory &&
		spec->need.memory) ||
	       (worker->used.gpu > worker->capacity.gpu && spec->need.gpu);
}

/* Whether "a" is dropped before "b": the later decision of two equal ones. */
static bool is_dropped_first(const batch_run_t *a, const batch_run_t *b)
{
	bool needed_a = is_needed(a->worker, a);
	bool needed_b = is_needed(b->worker, b);
	bool long_a = a->task->step->spec->long_running;
	bool long_b = b->task->step->spec->long_running;

	if (needed_a != needed_b)
		return needed_a;
	if (long_a != long_b)
		return long_b;
	return a->state_since > b->state_since;
}

static batch_run_t *choose_unsent(const batch_worker_t *worker)
{
	batch_run_t *chosen = NULL;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->state == RUN_STORING &&
		    (!chosen || is_dropped_first(run, chosen)))
			chosen = run;
	}
	return chosen;
}

int batch_run_drop_unsent(batch_run_t *run)
{
	batch_step_t *step = run->task->step;
	int n = 0;
	int i;

	if (!step->spec->gang) {
		batch_run_free(run);
		return 1;
	}
	for (i = 0; i < step->spec->count; i++) {
		batch_run_t *member = step->tasks[i].run;

		if (!member || member->state != RUN_STORING)
			continue;
		batch_run_free(member);
		n++;
	}
	return n;
}

static int drop_unfitting(batch_worker_t *worker)
{
	batch_run_t *run;
	int n = 0;

	if (is_over(worker))
		batch_claim_drop_all(worker);
	while (is_over(worker) && (run = choose_unsent(worker)) != NULL)
		n += batch_run_drop_unsent(run);
	return n;
}

bool batch_worker_capacity_is_old(const batch_worker_t *worker, int64_t now)
{
	return worker->pool && !worker->pool->checks_admission &&
	       now - worker->listed_at > BATCH_LIST_AGE_MAX;
}

void batch_worker_drop_unsent(batch_worker_t *worker)
{
	batch_run_t *run;

	while ((run = choose_unsent(worker)) != NULL)
		batch_run_drop_unsent(run);
}

void batch_worker_set_capacity(batch_worker_t *worker, int64_t now,
			       const batch_res_t *capacity)
{
	int dropped;

	if (is_equal(&worker->capacity, capacity))
		return;
	worker->capacity_before = worker->capacity;
	worker->capacity = *capacity;
	batch_room_update(worker);
	if (worker->pool)
		worker->pool->available_at = 0;
	worker->core->pass_needed = true;
	dropped = drop_unfitting(worker);
	if (worker->reserved_for &&
	    !batch_fit_once_free(worker, worker->reserved_for->step->spec))
		worker->reserved_for = NULL;
	/* A worker that is listed for the first time had no capacity. */
	if (is_equal(&worker->capacity_before, &(batch_res_t){ 0, 0, 0 }) &&
	    !worker->listed)
		return;
	worker->capacity_changed_at = now;
	batch_log_emit(
		worker->core,
		&(batch_log_event_t){
			.kind = BATCH_LOG_WORKER_CAPACITY,
			.task = { .occurrence = -1, .step = -1, .index = -1 },
			.worker = base_str(worker->id),
			.why = "starts that were dropped",
			.value = dropped,
			.from = &worker->capacity_before,
			.to = &worker->capacity });
}
