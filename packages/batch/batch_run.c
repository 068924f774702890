/*
 * Lifecycle of runs: start, stop, end and loss, and their effects on tasks,
 * steps and jobs.
 */
#include "batch_int.h"

/* The answer time of starts is averaged over about this many answers. */
#define ANSWER_TIME_SAMPLES 32
/* A single slow worker counts no more than this. */
#define ANSWER_TIME_MAX (200 * BASE_MS)

static void add_need(batch_res_t *use, const batch_step_spec_t *spec, int sign)
{
	if (!spec->best_effort)
		use->cpu += sign * spec->need.cpu;
	use->memory += sign * spec->need.memory;
	use->gpu += sign * spec->need.gpu;
}

/* Adds a run of the step to what is used on the worker, or removes one. */
static void add_use(batch_worker_t *worker, const batch_step_spec_t *spec,
		    int sign)
{
	add_need(&worker->used, spec, sign);
	if (spec->long_running)
		add_need(&worker->long_running, spec, sign);
	batch_room_update(worker);
}

batch_run_t *batch_task_find_run(const batch_task_t *task, base_str_t worker,
				 int64_t number)
{
	batch_run_t *runs[] = { task->run, task->copy };
	int i;

	for (i = 0; i < 2; i++)
		if (runs[i] && runs[i]->number == number &&
		    base_str_eq(base_str(runs[i]->worker->id), worker))
			return runs[i];
	return NULL;
}

batch_run_t *batch_run_other(const batch_run_t *run)
{
	return run == run->task->run ? run->task->copy : run->task->run;
}

/* The older one of two is the first; a row may name them in any order. */
static void add_to_task(batch_run_t *run)
{
	batch_task_t *task = run->task;

	if (!task->run) {
		task->run = run;
		task->step->n_open_runs += !task->done;
	} else if (run->number > task->run->number) {
		task->copy = run;
	} else {
		task->copy = task->run;
		task->run = run;
	}
}

static void remove_from_task(const batch_run_t *run)
{
	batch_task_t *task = run->task;

	if (run == task->run)
		task->run = task->copy;
	task->copy = NULL;
	if (!task->run)
		task->step->n_open_runs -= !task->done;
}

/*
 * Its task is done, and the start, which has no answer, may be carried out
 * until a stop is answered.  Until then the end is not acknowledged, and the
 * job not shown as completed.
 */
void batch_run_hold_end(batch_run_t *run)
{
	if (!run || run->holds_end || run->state == RUN_STORING ||
	    run->start_confirmed_at || run->stop_acknowledged ||
	    !batch_step_may_copy(run->task->step->spec))
		return;
	run->holds_end = true;
	run->task->step->occ->job->n_held_ends++;
	run->task->step->occ->job->has_held_ends = true;
}

batch_run_t *batch_run_new(batch_task_t *task, batch_worker_t *worker,
			   int64_t now, int64_t number)
{
	batch_job_t *job = task->step->occ->job;
	batch_run_t *run = talloc_zero(worker, batch_run_t);

	run->task = task;
	run->worker = worker;
	run->charged_pool = job->queue->pool;
	run->number = number;
	run->state = RUN_STORING;
	run->state_since = now;
	run->pace = 100;
	run->progress_at = now;
	run->version = job->version + 1;
	add_to_task(run);
	if (number > task->number)
		task->number = number;
	add_use(worker, task->step->spec, 1);
	batch_workspace_count_run(run, 1);
	g_ptr_array_add(worker->runs, run);
	batch_crash_run_new(run);
	job->n_runs++;
	worker->core->n_unsent++;
	return run;
}

void batch_run_release_end(batch_run_t *run)
{
	if (!run->holds_end)
		return;
	run->holds_end = false;
	run->task->step->occ->job->n_held_ends--;
}

/* Releases the run and its resources; it no longer exists. */
void batch_run_free(batch_run_t *run)
{
	batch_task_t *task = run->task;
	batch_worker_t *worker = run->worker;

	if (run->state == RUN_STORING)
		worker->core->n_unsent--;
	add_use(worker, task->step->spec, -1);
	batch_workspace_count_run(run, -1);
	batch_doubt_run_freed(run);
	g_ptr_array_remove_fast(worker->runs, run);
	batch_crash_run_freed(run);
	task->step->occ->job->n_runs--;
	task->step->occ->job->may_wait = true;
	remove_from_task(run);
	worker->core->pass_needed = true;
	batch_run_release_end(run);
	talloc_free(run);
}

void batch_run_set_state(batch_run_t *run, run_state_t state, int64_t now)
{
	if (run->state == RUN_STORING && state != RUN_STORING)
		run->worker->core->n_unsent--;
	run->state = state;
	run->state_since = now;
}

static batch_order_t make_order(const batch_run_t *run)
{
	const batch_task_t *task = run->task;
	batch_order_t order = {
		.task = batch_task_get_id(task),
		.run = run->number,
		.worker = base_str(run->worker->id),
		.payload = task->step->occ->job->spec.payload,
		.checkpoint = base_str(task->checkpoint),
		.ticket = batch_advice_ticket(task, run->worker),
		.percent = run->pace,
		.incarnation = run->worker->incarnation,
	};

	return order;
}

static void log_run(const batch_run_t *run, batch_log_event_kind_t kind,
		    const char *why, int64_t value, int64_t age)
{
	batch_log_emit(
		run->worker->core,
		&(batch_log_event_t){ .kind = kind,
				      .task = batch_task_get_id(run->task),
				      .run = run->number,
				      .worker = base_str(run->worker->id),
				      .why = why,
				      .value = value,
				      .age = age });
}

void batch_run_send(batch_run_t *run, int64_t now)
{
	batch_t *core = run->worker->core;
	batch_job_t *job = run->task->step->occ->job;
	batch_order_t order = make_order(run);

	if (!batch_job_is_active(job)) {
		batch_run_free(run);
		return;
	}
	log_run(run, BATCH_LOG_RUN_SENT, "since decided, microseconds",
		now - run->state_since, now - run->worker->polled_at);
	core->send_delay = now - run->state_since;
	batch_run_set_state(run, RUN_SENT, now);
	run->sent_at = now;
	core->stats.starts++;
	core->options.ops->start(core->options.arg, &order);
}

static void send_stop(batch_run_t *run, int64_t now)
{
	batch_t *core = run->worker->core;
	batch_order_t order = make_order(run);

	run->stop_at = now;
	core->options.ops->stop(core->options.arg, &order);
}

void batch_run_stop(batch_run_t *run, int64_t now, const char *why)
{
	if (run->state == RUN_STOPPING)
		return;
	/* The start of the run was not sent and will not be. */
	if (run->state == RUN_STORING) {
		batch_run_free(run);
		return;
	}
	run->stop_reason = why;
	log_run(run, BATCH_LOG_RUN_STOPPED, why, run->percent,
		now - run->worker->polled_at);
	batch_run_set_state(run, RUN_STOPPING, now);
	run->stop_acknowledged = false;
	run->is_stopped_in_doubt = false;
	send_stop(run, now);
}

void batch_run_withdraw(batch_run_t *run, const char *why)
{
	batch_job_t *job = run->task->step->occ->job;

	if (run->is_withdrawn)
		return;
	batch_job_changed(job);
	run->is_withdrawn = true;
	run->withdrawn_version = job->version;
	run->stop_reason = why;
}

/*
 * Whether nothing asks for the stop any more.  A former holder may have sent
 * that of a run which it withdrew.
 */
static bool may_stay(const batch_run_t *run, int64_t now)
{
	return run->withdrawn_version && run->state == RUN_CONFIRMED &&
	       !run->worker->cordoned && !run->worker->draining &&
	       !batch_doubt_holds_back(run->task, now);
}

void batch_run_stop_withdrawn(batch_run_t *run, int64_t now)
{
	batch_job_t *job = run->task->step->occ->job;

	if (run->is_withdrawn && may_stay(run, now)) {
		run->is_withdrawn = false;
		batch_claim_drop(run->task);
		batch_job_changed(job);
		return;
	}
	if (run->is_withdrawn && run->state == RUN_CONFIRMED &&
	    run->withdrawn_version <= job->stored_version &&
	    batch_evacuate_may_stop(run, now) &&
	    (batch_doubt_holds_back(run->task, now) ||
	     batch_claim_make(run->task, now)))
		batch_run_stop(run, now, run->stop_reason);
}

void batch_run_repeat_stop(batch_run_t *run, int64_t now)
{
	if (!run->stop_acknowledged && now - run->stop_at > BATCH_STOP_RETRY)
		send_stop(run, now);
}

void batch_run_lost(batch_run_t *run, int64_t now, const char *why)
{
	batch_job_t *job = run->task->step->occ->job;

	if (run->state != RUN_STORING && batch_job_is_active(job)) {
		run->worker->core->stats.lost++;
		log_run(run, BATCH_LOG_RUN_LOST, why, 0,
			now - run->worker->polled_at);
	}
	batch_run_free(run);
}

/* All members of a gang resume from the same checkpoint. */
void batch_run_checkpoint(batch_run_t *run, base_str_t checkpoint)
{
	batch_step_t *step = run->task->step;
	const batch_run_t *other = batch_run_other(run);
	int i;

	/* Of two runs, the one that is ahead. */
	if (other && other->percent > run->percent)
		return;
	if (!checkpoint.len ||
	    base_str_eq(base_str(run->task->checkpoint), checkpoint))
		return;
	for (i = 0; i < step->spec->count; i++) {
		batch_task_t *task = &step->tasks[i];

		if (task != run->task && !step->spec->gang)
			continue;
		talloc_free(task->checkpoint);
		task->checkpoint = base_str_dup(step->occ, checkpoint);
	}
}

/* The copy first: a run that was not sent is freed, and then replaced by it. */
static void stop_both(const batch_task_t *task, int64_t now, const char *why)
{
	if (task->copy)
		batch_run_stop(task->copy, now, why);
	if (task->run)
		batch_run_stop(task->run, now, why);
}

static void stop_job_runs(batch_job_t *job, int64_t now, const char *why)
{
	guint i;
	int s;
	int t;

	for (i = 0; job->occs && i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			for (t = 0; t < occ->steps[s].spec->count; t++)
				stop_both(&occ->steps[s].tasks[t], now, why);
	}
}

void batch_job_end(batch_job_t *job, int64_t now, batch_state_t state)
{
	batch_t *core = job->core;

	job->state = state;
	job->ended_wall = job->arrived_wall + (now - job->arrived);
	if (state == BATCH_COMPLETED)
		core->stats.completed++;
	if (state == BATCH_FAILED)
		core->stats.failed++;
	batch_log_emit(core, &(batch_log_event_t){
				     .kind = state == BATCH_CANCELLED
						     ? BATCH_LOG_JOB_CANCELLED
						     : BATCH_LOG_JOB_ENDED,
				     .task = { base_str(job->id), -1, -1, -1 },
				     .why = batch_state_name(state),
				     .value = now - job->arrived -
					      batch_objective(job),
			     });
	batch_rack_waits_drop(job, now);
	stop_job_runs(job, now, batch_state_name(state));
	batch_job_changed(job);
}

static void complete_if_done(batch_job_t *job, int64_t now)
{
	int total = job->spec.repeat ? job->spec.repeat : 1;

	if (!job->n_held_ends &&
	    job->n_opened - batch_job_open_occs(job) == total)
		batch_job_end(job, now, BATCH_COMPLETED);
}

static void mark_task_done(batch_task_t *task, int64_t now)
{
	batch_step_t *step = task->step;
	batch_occ_t *occ = step->occ;
	batch_job_t *job = occ->job;

	if (task->done)
		return;
	task->done = true;
	batch_run_hold_end(task->run);
	batch_run_hold_end(task->copy);
	job->may_wait = true;
	step->n_open_runs -= task->run != NULL;
	if (++step->done < step->spec->count)
		return;
	if (++occ->done_steps == job->spec.n_steps)
		complete_if_done(job, now);
}

/* The successful end of one gang member completes all of its tasks. */
static void mark_run_done(batch_task_t *task, int64_t now)
{
	batch_step_t *step = task->step;
	int i;

	if (!step->spec->gang) {
		mark_task_done(task, now);
		return;
	}
	for (i = 0; i < step->spec->count; i++)
		mark_task_done(&step->tasks[i], now);
}

void batch_task_add_failed_run(batch_task_t *task, int64_t run)
{
	size_t n = talloc_array_length(task->failed_runs);

	task->failed_runs = talloc_realloc(task->step->occ, task->failed_runs,
					   int64_t, n + 1);
	task->failed_runs[n] = run;
}

/* Whether the failure of the run was counted before, as far as it is known. */
static bool is_failure_counted(const batch_task_t *task, int64_t run)
{
	size_t n = talloc_array_length(task->failed_runs);
	size_t i;

	for (i = 0; i < n; i++)
		if (task->failed_runs[i] == run)
			return true;
	return (size_t)task->n_failures > n;
}

static void handle_task_failure(batch_task_t *task, int64_t run,
				batch_worker_t *worker, int64_t now)
{
	batch_job_t *job = task->step->occ->job;

	batch_health_failed(worker, job, now);
	task->avoid_worker = worker;
	if (task->step->spec->long_running || task->done)
		return;
	task->n_failures++;
	batch_task_add_failed_run(task, run);
	batch_job_changed(job);
	if (task->n_failures >= job->queue->attempts)
		batch_job_end(job, now, BATCH_FAILED);
}

void batch_run_ended(batch_run_t *run, int64_t now, batch_end_t how,
		     base_str_t checkpoint)
{
	batch_task_t *task = run->task;
	batch_worker_t *worker = run->worker;
	batch_job_t *job = task->step->occ->job;
	int64_t begun = run->start_confirmed_at ? run->start_confirmed_at
						: run->state_since;
	int64_t number = run->number;
	bool open = batch_job_is_active(job);

	job->started = true;
	batch_run_checkpoint(run, checkpoint);
	if (how == BATCH_END_FAILED)
		log_run(run, BATCH_LOG_RUN_FAILED, "fails before",
			task->n_failures, 0);
	else if (how == BATCH_END_DONE)
		log_run(run, BATCH_LOG_RUN_DONE, "it took, microseconds",
			now - begun, 0);
	else if (open)
		log_run(run, BATCH_LOG_RUN_LOST,
			how == BATCH_END_LEASE_EXPIRED ? "lease lapsed"
						       : "stopped",
			how, 0);
	if (task->step->spec->long_running)
		task->unavailable_since = now;
	batch_run_free(run);
	if (!open)
		return;
	batch_crash_run_ended(task, how);
	if (how == BATCH_END_FAILED)
		handle_task_failure(task, number, worker, now);
	if (how != BATCH_END_DONE || task->step->spec->long_running)
		return;
	batch_health_succeeded(worker);
	batch_estimate_learn(job->core, job->queue, now - begun);
	base_hist_add(job->core->times[BATCH_TIME_RUN], now - begun);
	batch_job_changed(job);
	mark_run_done(task, now);
	stop_both(task, now, "another run is done");
}

/* Stops the runs of the task, and of all tasks of its gang. */
static void stop_runs(batch_task_t *task, int64_t now, const char *why)
{
	batch_step_t *step = task->step;
	int i;

	for (i = 0; i < step->spec->count; i++)
		if (step->spec->gang || &step->tasks[i] == task)
			stop_both(&step->tasks[i], now, why);
}

bool batch_run_ended_late(batch_task_t *task, batch_worker_t *worker,
			  int64_t now, const batch_listed_end_t *end)
{
	batch_job_t *job = task->step->occ->job;

	if (task->done || task->step->spec->long_running ||
	    end->run > task->number || !batch_job_is_active(job))
		return false;
	if (end->end_kind == BATCH_END_FAILED &&
	    !is_failure_counted(task, end->run)) {
		job->started = true;
		handle_task_failure(task, end->run, worker, now);
		return true;
	}
	if (end->end_kind != BATCH_END_DONE)
		return false;
	stop_runs(task, now, "an earlier run is done");
	job->started = true;
	batch_job_changed(job);
	mark_run_done(task, now);
	return true;
}

/* Handles a refused start: the run never existed and never will. */
static void handle_refused_start(batch_run_t *run, int64_t now,
				 batch_answer_t answer)
{
	batch_task_t *task = run->task;
	batch_worker_t *worker = run->worker;
	bool gang = task->step->spec->gang;
	int i;

	if (answer == BATCH_ANSWER_INVALID_TICKET) {
		batch_advice_invalidate(task, worker);
	} else if (answer != BATCH_ANSWER_STALE_RUN) {
		worker->backoff_until = now + BATCH_REFUSED_BACKOFF;
		task->avoid_worker = worker;
	}
	batch_run_lost(run, now,
		       answer == BATCH_ANSWER_NO_CAPACITY ? "no room"
		       : answer == BATCH_ANSWER_INVALID_TICKET
			       ? "ticket not valid"
			       : "refused");
	for (i = 0; gang && i < task->step->spec->count; i++)
		if (task->step->tasks[i].run)
			batch_run_stop(task->step->tasks[i].run, now,
				       "gang incomplete");
}

static void learn_answer_time(batch_t *core, int64_t time)
{
	core->answer_time += (MIN(time, ANSWER_TIME_MAX) - core->answer_time) /
			     ANSWER_TIME_SAMPLES;
}

void batch_start_answer(batch_t *core, int64_t now, const batch_order_t *order,
			batch_answer_t answer)
{
	batch_task_t *task = batch_find_task(core, &order->task);
	batch_run_t *run =
		task ? batch_task_find_run(task, order->worker, order->run)
		     : NULL;
	batch_worker_t *worker = batch_find_worker(core, order->worker);

	/* A run that was given up or is being stopped may begin late as well.
	 */
	if (worker && answer == BATCH_ANSWER_NO_REPLY)
		batch_doubt_add(worker, now, &order->task, order->run, false);
	if (!run || run->state != RUN_SENT)
		return;
	core->pass_needed = true;
	switch (answer) {
	case BATCH_ANSWER_OK:
		learn_answer_time(core, now - run->state_since);
		batch_run_set_state(run, RUN_CONFIRMED, now);
		task->step->occ->job->started = true;
		run->listed_from = now;
		run->start_confirmed_at = now;
		run->progress_at = now;
		batch_crash_worker_alive(run->worker, now);
		break;
	case BATCH_ANSWER_NO_REPLY:
		run->worker->backoff_until = now + BATCH_REFUSED_BACKOFF;
		batch_run_set_state(run, RUN_IN_DOUBT, now);
		run->listed_from = now;
		log_run(run, BATCH_LOG_RUN_IN_DOUBT, "start unanswered", 0,
			now - run->worker->polled_at);
		break;
	case BATCH_ANSWER_OTHER_INCARNATION:
		batch_run_lost(run, now, "another incarnation answered");
		break;
	default:
		handle_refused_start(run, now, answer);
		break;
	}
}

void batch_stop_answer(batch_t *core, int64_t now, const batch_order_t *order,
		       batch_answer_t answer)
{
	batch_task_t *task = batch_find_task(core, &order->task);
	batch_run_t *run =
		task ? batch_task_find_run(task, order->worker, order->run)
		     : NULL;
	batch_worker_t *worker = batch_find_worker(core, order->worker);

	/* A former process has answered: the present one does not know of it.
	 */
	if (worker && order->incarnation &&
	    order->incarnation != worker->incarnation)
		return;
	if (worker && answer == BATCH_ANSWER_OK)
		batch_doubt_stopped(worker, now, order);
	if (!run || run->state != RUN_STOPPING)
		return;
	if (answer == BATCH_ANSWER_OTHER_INCARNATION) {
		batch_crash_worker_lost(run->worker, now, BATCH_LOSS_CRASHED);
		batch_run_lost(run, now, "another incarnation answered");
		return;
	}
	if (answer != BATCH_ANSWER_OK)
		return;
	run->stop_acknowledged = true;
	run->listed_from = now;
	batch_run_release_end(run);
}

/*
 * Runs in doubt are resolved by a poll or by the end of the lease.  So is the
 * stop of a long-running one: the run may have been started since the last
 * poll, and be at work.
 */
static void retry_stop(batch_run_t *run, int64_t now)
{
	if (run->state == RUN_STOPPING &&
	    !(run->is_stopped_in_doubt && run->task->step->spec->long_running))
		batch_run_repeat_stop(run, now);
}

/*
 * A start without an answer may be carried out seconds later, and a new process
 * of the worker does so whatever the lease of the former one.  A long-running
 * task may not be away for that long, and the members of a gang wait for each
 * other.
 */
bool batch_run_may_start_late(const batch_run_t *run, int64_t now)
{
	const batch_step_t *step = run->task->step;

	return run->sent_at && !run->start_confirmed_at &&
	       now < run->sent_at + BATCH_LATE_START_MAX &&
	       !step->spec->long_running && !step->spec->gang &&
	       !run->task->done && batch_job_is_active(step->occ->job);
}

/* Whether a run is given up because the lease is over. */
static bool loses_runs(const batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->state != RUN_STORING &&
		    !batch_run_may_start_late(run, now))
			return true;
	}
	return false;
}

static void check_lease_and_stops(batch_worker_t *worker, int64_t now)
{
	bool lease_expired = worker->lease_end && now > worker->lease_end;
	guint i;

	if (lease_expired && loses_runs(worker, now))
		batch_crash_worker_lost(worker, now, BATCH_LOSS_UNKNOWN);
	for (i = worker->runs->len; i-- > 0;) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		/*
		 * An unsent start is not lost with the lease: sending it
		 * extends the lease.
		 */
		if (lease_expired && run->state != RUN_STORING &&
		    !batch_run_may_start_late(run, now)) {
			batch_doubt_given_up(run);
			batch_run_lost(run, now, "lease over");
		} else {
			retry_stop(run, now);
		}
	}
	batch_doubt_tick(worker, now);
}

static bool has_runs(const batch_occ_t *occ)
{
	int s;
	int t;

	for (s = 0; s < occ->job->spec.n_steps; s++)
		for (t = 0; t < occ->steps[s].spec->count; t++)
			if (occ->steps[s].tasks[t].run)
				return true;
	return false;
}

/* Frees the done occurrences of a job that goes on, once its row does not list
 * their tasks. */
static void free_done_occurrences(batch_job_t *job)
{
	guint i = 0;

	if (!job->spec.repeat || job->crash_task || !batch_record_sums_up(job))
		return;
	while (i < job->occs->len) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		if (occ->done_steps < job->spec.n_steps || has_runs(occ)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(job->occs, i);
		talloc_free(occ);
		job->n_freed_occs++;
		job->paths->n_done = -1;
	}
}

/* Frees the occurrences of an ended job; its id and state remain. */
static void free_occurrences(batch_job_t *job)
{
	guint i;

	for (i = 0; i < job->occs->len; i++)
		talloc_free(g_ptr_array_index(job->occs, i));
	g_ptr_array_unref(job->occs);
	job->occs = NULL;
}

void batch_runs_tick(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_lease_and_stops(value, now);
	batch_workers_free_forgotten(core, now);
	/* A reservation refers to a task of an occurrence. */
	batch_place_drop_ended(core);
	batch_claims_drop_ended(core);
	for (i = core->active_jobs->len; i-- > 0;) {
		batch_job_t *job = g_ptr_array_index(core->active_jobs, i);

		if (batch_job_is_active(job) && job->has_held_ends &&
		    !job->n_held_ends) {
			job->has_held_ends = false;
			complete_if_done(job, now);
		}
		if (batch_job_is_active(job))
			free_done_occurrences(job);
		if (batch_job_is_active(job) || job->n_runs ||
		    job->stored_version < job->version)
			continue;
		free_occurrences(job);
		g_ptr_array_remove_index_fast(core->active_jobs, i);
	}
}
