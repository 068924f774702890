/* Whether a worker can run a task, and if none can, the reason. */
#include "batch_int.h"

bool batch_worker_usable(const batch_worker_t *worker, int64_t now)
{
	return worker->listed && worker->incarnation && !worker->silent &&
	       !worker->draining && !worker->cordoned &&
	       !worker->is_quarantined && !worker->lists_unknown_runs &&
	       now >= worker->backoff_until && now >= worker->held_until &&
	       now - worker->polled_at <= BATCH_POLL_AGE_MAX &&
	       !batch_worker_capacity_is_old(worker, now);
}

/* Workers that were not polled yet after a takeover count as well. */
bool batch_worker_in_capacity(const batch_worker_t *worker)
{
	return worker->listed && !worker->draining && !worker->cordoned &&
	       !worker->silent && !worker->is_quarantined;
}

static bool has_label(const batch_worker_t *worker, base_str_t label)
{
	size_t i;

	for (i = 0; i < worker->n_labels; i++)
		if (base_str_eq(base_str(worker->labels[i]), label))
			return true;
	return false;
}

static void add_need(batch_res_t *sum, const batch_step_spec_t *spec)
{
	if (!spec->best_effort)
		sum->cpu += spec->need.cpu;
	sum->memory += spec->need.memory;
	sum->gpu += spec->need.gpu;
}

static bool is_within(const batch_res_t *sum, const batch_res_t *capacity)
{
	return sum->cpu <= capacity->cpu && sum->memory <= capacity->memory &&
	       sum->gpu <= capacity->gpu;
}

bool batch_fit_has_capacity(const batch_worker_t *worker,
			    const batch_step_spec_t *spec)
{
	batch_res_t sum = worker->used;

	add_need(&sum, spec);
	return is_within(&sum, &worker->capacity);
}

bool batch_fit_once_free(const batch_worker_t *worker,
			 const batch_step_spec_t *spec)
{
	batch_res_t sum = { 0, 0, 0 };
	guint i;

	add_need(&sum, spec);
	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->task->step->spec->long_running &&
		    run->state != RUN_STOPPING)
			add_need(&sum, run->task->step->spec);
	}
	for (i = 0; i < worker->claims->len; i++) {
		const batch_task_t *task = g_ptr_array_index(worker->claims, i);

		add_need(&sum, task->step->spec);
	}
	return is_within(&sum, &worker->capacity);
}

bool batch_fit_when_empty(const batch_worker_t *worker,
			  const batch_step_spec_t *spec)
{
	batch_res_t need = { 0, 0, 0 };

	add_need(&need, spec);
	return is_within(&need, &worker->capacity) &&
	       (!spec->label.len || has_label(worker, spec->label));
}

int batch_fit_siblings(const batch_worker_t *worker, const batch_step_t *step)
{
	int n = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		n += run->task->step == step;
	}
	return n;
}

/* Other tasks of its step that are to run on the worker. */
static int sibling_claims(const batch_worker_t *worker,
			  const batch_task_t *task)
{
	int n = 0;
	guint i;

	for (i = 0; i < worker->claims->len; i++) {
		const batch_task_t *other =
			g_ptr_array_index(worker->claims, i);

		n += other != task && other->step == task->step;
	}
	return n;
}

bool batch_fit_allows_later(const batch_worker_t *worker,
			    const batch_task_t *task, int64_t now)
{
	const batch_step_spec_t *spec = task->step->spec;

	if (!batch_worker_usable(worker, now))
		return false;
	/* Its next run is to be elsewhere. */
	if (task->run && task->run->worker == worker)
		return false;
	if (task->copy && task->copy->worker == worker)
		return false;
	if (worker->reserved_for && worker->reserved_for != task &&
	    task->claim != worker)
		return false;
	if (spec->label.len && !has_label(worker, spec->label))
		return false;
	if (spec->max_per_worker &&
	    batch_fit_siblings(worker, task->step) +
			    sibling_claims(worker, task) >=
		    spec->max_per_worker)
		return false;
	return batch_advice_allows(task, worker, now);
}

bool batch_fit_allows(const batch_worker_t *worker, const batch_task_t *task,
		      int64_t now)
{
	return batch_crash_allows(worker, task, now) &&
	       batch_fit_allows_later(worker, task, now);
}

static const char *const fit_names[BATCH_FIT_MAX] = {
	[BATCH_FIT_DRAINING] = "draining",
	[BATCH_FIT_CORDONED] = "cordoned",
	[BATCH_FIT_SILENT] = "silent",
	[BATCH_FIT_QUARANTINED] = "quarantined",
	[BATCH_FIT_HELD] = "held",
	[BATCH_FIT_LABEL] = "label",
	[BATCH_FIT_RESERVED] = "reserved",
	[BATCH_FIT_SPREAD] = "spread",
	[BATCH_FIT_ADVICE] = "advice",
	[BATCH_FIT_TRIAL] = "trial",
	[BATCH_FIT_NO_ROOM] = "no_room",
	[BATCH_FIT_OK] = "ok",
};

const char *batch_fit_name(batch_fit_t fit)
{
	return fit_names[fit];
}

static batch_fit_t judge_worker(const batch_worker_t *worker, int64_t now)
{
	if (worker->draining)
		return BATCH_FIT_DRAINING;
	if (worker->cordoned)
		return BATCH_FIT_CORDONED;
	if (worker->silent || !worker->incarnation ||
	    now - worker->polled_at > BATCH_POLL_AGE_MAX)
		return BATCH_FIT_SILENT;
	if (worker->is_quarantined)
		return BATCH_FIT_QUARANTINED;
	return batch_worker_usable(worker, now) ? BATCH_FIT_OK : BATCH_FIT_HELD;
}

static batch_fit_t judge(const batch_worker_t *worker, const batch_task_t *task,
			 int64_t now)
{
	const batch_step_spec_t *spec = task->step->spec;
	batch_fit_t fit = judge_worker(worker, now);

	if (fit != BATCH_FIT_OK)
		return fit;
	if (spec->label.len && !has_label(worker, spec->label))
		return BATCH_FIT_LABEL;
	if (worker->reserved_for && worker->reserved_for != task &&
	    task->claim != worker)
		return BATCH_FIT_RESERVED;
	if (spec->max_per_worker &&
	    batch_fit_siblings(worker, task->step) +
			    sibling_claims(worker, task) >=
		    spec->max_per_worker)
		return BATCH_FIT_SPREAD;
	if (!batch_fit_allows_later(worker, task, now))
		return BATCH_FIT_ADVICE;
	if (!batch_fit_allows(worker, task, now))
		return BATCH_FIT_TRIAL;
	return batch_fit_has_capacity(worker, spec) ? BATCH_FIT_OK
						    : BATCH_FIT_NO_ROOM;
}

batch_fit_counts_t batch_fit_count(const batch_task_t *task, int64_t now)
{
	const batch_pool_t *pool = task->step->occ->job->queue->pool;
	batch_fit_counts_t counts = { .incoming = pool->incoming,
				      .wanted = pool->workers_wanted };
	guint i;

	for (i = 0; i < pool->workers->len; i++)
		counts.n[judge(g_ptr_array_index(pool->workers, i), task,
			       now)]++;
	return counts;
}

/* Number of workers that something from "from" on keeps from the task, or that
 * nothing does. */
static int count_from(const batch_fit_counts_t *counts, batch_fit_t from)
{
	int n = 0;
	int i;

	for (i = (int)from; i < BATCH_FIT_MAX; i++)
		n += counts->n[i];
	return n;
}

const char *batch_fit_why(const batch_task_t *task, int64_t now)
{
	batch_fit_counts_t counts = batch_fit_count(task, now);
	const char *rack_wait = batch_rack_wait_why(task, now);

	if (rack_wait)
		return rack_wait;
	if (!batch_workspace_allows(
		    task->step,
		    task->step->spec->gang ? task->step->spec->count : 1))
		return "the limit of its workspace leaves no room";
	if (!batch_row_may_grow(task->step->occ->job,
				task->step->spec->gang ? task->step->spec->count
						       : 1))
		return "the store has no room for the state of more tasks of "
		       "its job at once";
	if (batch_doubt_holds_back(task, now))
		return "an earlier start of it had no answer, and its worker "
		       "may have restarted since: it waits until that start "
		       "cannot be carried out any more";
	if (batch_crash_must_wait(task, now))
		return "workers were lost under it: it waits for one to be "
		       "back";
	if (!count_from(&counts, BATCH_FIT_DRAINING))
		return "its pool has no worker";
	if (!count_from(&counts, BATCH_FIT_LABEL))
		return "no worker in its pool can take work now";
	if (!count_from(&counts, BATCH_FIT_RESERVED))
		return "no worker that can take work has its label";
	if (batch_crash_needs_trial(task) && !counts.n[BATCH_FIT_OK])
		return "a worker crashed under it: it waits for one where "
		       "nothing else is starting";
	if (counts.n[BATCH_FIT_ADVICE] &&
	    !count_from(&counts, BATCH_FIT_TRIAL) &&
	    batch_advice_is_awaited(task, now))
		return "advice: its queue's policy service has yet to say "
		       "which workers may run it";
	if (!count_from(&counts, BATCH_FIT_NO_ROOM))
		return "the policy, the limit of tasks per worker or a "
		       "reservation excludes the workers that can take work";
	if (!counts.n[BATCH_FIT_OK])
		return "no worker has room";
	if (task->step->spec->gang)
		return "there is no room for all tasks of its gang";
	return "it starts in the next scheduling pass";
}
