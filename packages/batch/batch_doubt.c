/*
 * Starts without an answer: a worker may still carry them out, up to
 * BATCH_LATE_START_MAX later.
 *
 * A stop that the worker's process has answered keeps that process from it, so
 * that the task can run elsewhere.  The next process of the worker knows
 * nothing of the stop.  So once the former one may have ended, the task is
 * stopped where it runs, until another process has answered a stop or the start
 * cannot be late any more.
 */
#include "batch_int.h"

/* Another process of the worker mostly answers a stop, or its repetition, by
 * then. */
#define DOUBT_STOP_TIME (600 * BASE_MS)
#define DOUBT_WHY "an earlier start may be late"
/* A long-running task is kept from running for no longer. */
#define DOUBT_LASTING_MAX (8 * BASE_SEC)

static batch_in_doubt_start_t *start_at(const batch_worker_t *worker, guint i)
{
	return &g_array_index(worker->in_doubt_starts, batch_in_doubt_start_t,
			      i);
}

bool batch_doubt_any(const batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++)
		if (start_at(worker, i)->until > now)
			return true;
	return false;
}

static batch_task_t *find_task(const batch_worker_t *worker,
			       const batch_in_doubt_start_t *start)
{
	batch_task_id_t id = { base_str(start->job), start->occurrence,
			       start->step, start->index };

	return batch_find_task(worker->core, &id);
}

/*
 * While the task has the run itself, that counts.  A start whose stop was
 * answered is refused by that process.
 */
static void set_charged(batch_in_doubt_start_t *start, bool is_charged)
{
	if (!start->workspace || is_charged == start->is_charged)
		return;
	start->is_charged = is_charged;
	batch_workspace_charge(start->workspace, &start->need,
			       is_charged ? 1 : -1);
}

/* The task may be gone before its start can no longer be late. */
static void set_owner(batch_in_doubt_start_t *start, const batch_task_t *task)
{
	if (!task)
		return;
	start->workspace = task->step->occ->job->workspace;
	start->need = task->step->spec->need;
}

static void set_void(const batch_worker_t *worker,
		     batch_in_doubt_start_t *start, int64_t now, bool is_void)
{
	batch_task_t *task = find_task(worker, start);

	if (start->is_void == is_void)
		return;
	start->is_void = is_void;
	set_charged(start, is_void);
	if (!task)
		return;
	if (is_void && !task->n_void)
		task->void_since = now;
	task->n_void += is_void ? 1 : -1;
	task->step->occ->job->may_wait = true;
	worker->core->pass_needed = true;
	batch_log_emit(
		worker->core,
		&(batch_log_event_t){ .kind = is_void ? BATCH_LOG_STOP_VOID
						      : BATCH_LOG_STOP_HOLDS,
				      .task = batch_task_get_id(task),
				      .run = start->run,
				      .worker = base_str(worker->id),
				      .why = "since its worker was polled",
				      .value = start->until - now,
				      .age = now - worker->polled_at });
}

static bool has_start_of(const batch_worker_t *worker, const char *job)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++)
		if (!strcmp(start_at(worker, i)->job, job))
			return true;
	return false;
}

static void drop(batch_worker_t *worker, guint at, int64_t now)
{
	char *job = start_at(worker, at)->job;

	set_void(worker, start_at(worker, at), now, false);
	set_charged(start_at(worker, at), false);
	g_array_remove_index(worker->in_doubt_starts, at);
	if (!has_start_of(worker, job))
		batch_index_remove(worker->core->workers_by_doubt, job, worker);
	talloc_free(job);
}

void batch_doubt_forget(batch_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++) {
		batch_index_remove(worker->core->workers_by_doubt,
				   start_at(worker, i)->job, worker);
		set_charged(start_at(worker, i), false);
	}
}

static void set_stopped_by(batch_worker_t *worker,
			   batch_in_doubt_start_t *start, int64_t incarnation)
{
	start->stopped_by = incarnation;
	/* One that is void counts until another poll shows that it is not. */
	if (!start->is_void)
		set_charged(start, false);
	batch_index_add(worker->core->workers_by_doubt, start->job, worker);
}

static bool has_run(const batch_worker_t *worker, const batch_task_id_t *id,
		    int64_t run)
{
	const batch_task_t *task = batch_find_task(worker->core, id);

	return task && batch_task_find_run(task, base_str(worker->id), run);
}

/* Whether the run's end is known.  The answer to its start may come later, or
 * be lost, and nothing of it is in doubt then. */
static bool has_ended(const batch_task_t *task, int64_t run)
{
	size_t i;

	if (!task)
		return false;
	for (i = 0; i < talloc_array_length(task->failed_runs); i++)
		if (task->failed_runs[i] == run)
			return true;
	/* One end completes all members of a gang. */
	return task->done && task->number == run && !task->step->spec->gang;
}

void batch_doubt_add(batch_worker_t *worker, int64_t now,
		     const batch_task_id_t *id, int64_t run, bool is_assumed)
{
	const batch_task_t *task = batch_find_task(worker->core, id);
	batch_in_doubt_start_t start = { .job = base_str_dup(worker, id->job),
					 .occurrence = id->occurrence,
					 .step = id->step,
					 .index = id->index,
					 .run = run,
					 .is_assumed = is_assumed,
					 .until = now + BATCH_LATE_START_MAX };

	set_owner(&start, task);
	set_charged(&start, !has_run(worker, id, run) && !has_ended(task, run));
	g_array_append_val(worker->in_doubt_starts, start);
}

/* Whether the task still has the run, so that polls resolve it. */
static bool is_start_of_run(const batch_worker_t *worker,
			    const batch_in_doubt_start_t *start)
{
	batch_task_id_t id = { base_str(start->job), start->occurrence,
			       start->step, start->index };

	return has_run(worker, &id, start->run);
}

void batch_doubt_send_stops(batch_worker_t *worker, int64_t now)
{
	batch_t *core = worker->core;
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len && !worker->silent; i++) {
		batch_in_doubt_start_t *start = start_at(worker, i);
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

/* Index of the start of the run; -1: it is not in doubt. */
static int find_start(const batch_worker_t *worker, const batch_task_id_t *task,
		      int64_t run)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++) {
		const batch_in_doubt_start_t *start = start_at(worker, i);

		if (start->run == run && start->index == task->index &&
		    start->step == task->step &&
		    start->occurrence == task->occurrence &&
		    base_str_eq(base_str(start->job), task->job))
			return (int)i;
	}
	return -1;
}

void batch_doubt_run_freed(const batch_run_t *run)
{
	batch_task_id_t id;
	int at;

	if (!run->worker->in_doubt_starts->len)
		return;
	id = batch_task_get_id(run->task);
	at = find_start(run->worker, &id, run->number);
	if (at >= 0 && !start_at(run->worker, (guint)at)->stopped_by)
		set_charged(start_at(run->worker, (guint)at), true);
}

void batch_doubt_given_up(const batch_run_t *run)
{
	batch_task_id_t id = batch_task_get_id(run->task);
	int at = find_start(run->worker, &id, run->number);

	if (at < 0 || run->stop_acknowledged)
		return;
	start_at(run->worker, (guint)at)->needs_stop = true;
	start_at(run->worker, (guint)at)->stop_at = 0;
}

void batch_doubt_stopped(batch_worker_t *worker, int64_t now,
			 const batch_order_t *order)
{
	int at = find_start(worker, &order->task, order->run);
	batch_job_t *job = batch_find_job(worker->core, order->task.job);

	if (at < 0)
		return;
	start_at(worker, (guint)at)->needs_stop = false;
	set_stopped_by(worker, start_at(worker, (guint)at),
		       worker->incarnation);
	start_at(worker, (guint)at)->stopped_at = now;
	if (job)
		job->has_stopped_starts = true;
}

static void note_run(batch_worker_t *worker, const batch_listed_run_t *seen,
		     int64_t now)
{
	int at = find_start(worker, &seen->task, seen->run);

	if (at < 0)
		return;
	if (is_start_of_run(worker, start_at(worker, (guint)at)))
		drop(worker, (guint)at, now);
	else
		start_at(worker, (guint)at)->is_listed = true;
}

/* What the worker has carried out cannot be late any more. */
void batch_doubt_poll(batch_worker_t *worker, int64_t now,
		      const batch_poll_result_t *poll)
{
	size_t i;
	int at;

	for (i = 0; i < worker->in_doubt_starts->len; i++)
		start_at(worker, (guint)i)->is_listed = false;
	for (i = 0; worker->in_doubt_starts->len && i < poll->n_runs; i++)
		note_run(worker, &poll->runs[i], now);
	for (i = 0; worker->in_doubt_starts->len && i < poll->n_ends; i++) {
		at = find_start(worker, &poll->ends[i].task, poll->ends[i].run);
		if (at >= 0)
			drop(worker, (guint)at, now);
	}
}

void batch_doubt_ended(const batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++) {
		batch_in_doubt_start_t *start = start_at(worker, i);
		batch_job_t *job =
			batch_find_job(worker->core, base_str(start->job));

		set_void(worker, start, now, false);
		/* The next holder must not wait for it either. */
		if (start->stopped_by && !start->is_assumed && job &&
		    batch_job_is_active(job))
			batch_job_changed(job);
		start->stopped_by = 0;
		set_charged(start, false);
	}
}

void batch_doubt_new_process(batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->in_doubt_starts->len; i++) {
		start_at(worker, i)->needs_stop = true;
		start_at(worker, i)->stop_at = 0;
	}
	batch_worker_set_silent(worker, false);
	batch_doubt_send_stops(worker, now);
}

/* Whether the process that has answered the stop may have ended. */
static bool may_have_ended(const batch_worker_t *worker,
			   batch_in_doubt_start_t *start, int64_t now)
{
	bool is_polled = worker->listed || worker->runs->len;

	if (worker->unreached || worker->forgotten || !is_polled ||
	    now - worker->polled_at > BATCH_POLL_AGE_MAX)
		return true;
	if (start->is_listed)
		return true;
	if (start->stopped_by == worker->incarnation) {
		start->doubted_since = 0;
		/* A run that is being stopped is listed until it has ended. */
		return start->is_void &&
		       worker->poll_sent_at < start->stopped_at;
	}
	if (!start->doubted_since)
		start->doubted_since = now;
	return start->is_void || now - start->doubted_since > DOUBT_STOP_TIME;
}

bool batch_doubt_holds_back(const batch_task_t *task, int64_t now)
{
	return task->n_void && (!task->step->spec->long_running ||
				now < task->void_since + DOUBT_LASTING_MAX);
}

static void stop_run(batch_run_t *run, const batch_worker_t *lost, int64_t now)
{
	if (!run || run->state == RUN_STOPPING ||
	    (run->worker == lost && lost->unreached))
		return;
	if (!run->task->step->spec->long_running)
		batch_run_stop(run, now, DOUBT_WHY);
	else if (batch_evacuate_may_stop(run, now))
		batch_run_withdraw(run, DOUBT_WHY);
}

/*
 * A gang is stopped as a whole: its members do not go on without each other.
 * What runs on the lost worker itself is lost with it, or goes on with it.
 */
static void stop_runs(const batch_task_t *task, const batch_worker_t *lost,
		      int64_t now)
{
	batch_step_t *step = task->step;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		if (!(step->spec->gang || &step->tasks[i] == task))
			continue;
		stop_run(step->tasks[i].copy, lost, now);
		stop_run(step->tasks[i].run, lost, now);
	}
}

static void check_start(const batch_worker_t *worker,
			batch_in_doubt_start_t *start, int64_t now)
{
	const batch_task_t *task;

	if (!start->stopped_by || start->is_assumed ||
	    is_start_of_run(worker, start))
		return;
	set_void(worker, start, now, may_have_ended(worker, start, now));
	if (!start->is_void)
		return;
	if (start->stopped_by != worker->incarnation)
		start->needs_stop = true;
	task = find_task(worker, start);
	if (task && !task->done && batch_job_is_active(task->step->occ->job) &&
	    batch_doubt_holds_back(task, now))
		stop_runs(task, worker, now);
}

void batch_doubt_tick(batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = worker->in_doubt_starts->len; i-- > 0;)
		if (start_at(worker, i)->until <= now)
			drop(worker, i, now);
		else
			check_start(worker, start_at(worker, i), now);
	batch_doubt_send_stops(worker, now);
}

void batch_doubt_each(const batch_job_t *job, batch_doubt_visit_t *visit,
		      void *arg)
{
	const GPtrArray *workers =
		batch_index_find(job->core->workers_by_doubt, job->id);
	guint w;
	guint i;

	if (!job->has_stopped_starts)
		return;
	for (w = 0; workers && w < workers->len; w++) {
		const batch_worker_t *worker = g_ptr_array_index(workers, w);

		job->core->stats.scanned++;
		for (i = 0; i < worker->in_doubt_starts->len; i++) {
			const batch_in_doubt_start_t *start =
				start_at(worker, i);

			if (start->stopped_by && !start->is_assumed &&
			    !strcmp(start->job, job->id))
				visit(arg, worker, start);
		}
	}
}

void batch_doubt_restore(batch_worker_t *worker,
			 const batch_in_doubt_start_t *start)
{
	batch_task_id_t id = { base_str(start->job), start->occurrence,
			       start->step, start->index };
	batch_in_doubt_start_t added = *start;
	int at = find_start(worker, &id, start->run);

	if (at >= 0) {
		set_stopped_by(worker, start_at(worker, (guint)at),
			       start->stopped_by);
		start_at(worker, (guint)at)->is_assumed = false;
		return;
	}
	added.job = talloc_strdup(worker, start->job);
	set_owner(&added, batch_find_task(worker->core, &id));
	set_stopped_by(worker, &added, start->stopped_by);
	g_array_append_val(worker->in_doubt_starts, added);
}
