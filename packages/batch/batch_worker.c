/*
 * What is known of each worker, and the events that change it: listings,
 * polls, leases and restarts.
 */
#include "batch_int.h"

static batch_worker_t *worker_get(batch_t *core, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (worker)
		return worker;
	worker = talloc_zero(core, batch_worker_t);
	worker->core = core;
	worker->id = base_str_dup(worker, id);
	worker->runs = g_ptr_array_new();
	worker->claims = g_ptr_array_new();
	worker->in_doubt_starts =
		g_array_new(FALSE, FALSE, sizeof(batch_in_doubt_start_t));
	worker->unstored_ends =
		g_array_new(FALSE, FALSE, sizeof(batch_unstored_end_t));
	g_hash_table_insert(core->workers, worker->id, worker);
	return worker;
}

static void set_pool(batch_worker_t *worker, batch_pool_t *pool)
{
	if (worker->pool == pool)
		return;
	if (worker->pool)
		g_ptr_array_remove_fast(worker->pool->workers, worker);
	worker->pool = pool;
	if (pool)
		g_ptr_array_add(pool->workers, worker);
	batch_room_update(worker);
}

/* Sets the worker's address or instance. */
static void set_place(batch_worker_t *worker, GHashTable *index, char **text,
		      base_str_t with)
{
	if (*text && base_str_eq(base_str(*text), with))
		return;
	batch_index_remove(index, *text, worker);
	talloc_free(*text);
	*text = base_str_dup(worker, with);
	batch_index_add(index, *text, worker);
}

void batch_worker_set_silent(batch_worker_t *worker, bool silent)
{
	worker->silent = silent;
	if (silent)
		g_hash_table_add(worker->core->silent_workers, worker);
	else
		g_hash_table_remove(worker->core->silent_workers, worker);
}

static void add_count(GHashTable *counts, GQuark key, int n)
{
	gpointer at = GUINT_TO_POINTER(key);

	n += GPOINTER_TO_INT(g_hash_table_lookup(counts, at));
	if (n)
		g_hash_table_insert(counts, at, GINT_TO_POINTER(n));
	else
		g_hash_table_remove(counts, at);
}

/* A listed worker's zone and rack do not change. */
static void set_listed(batch_worker_t *worker, bool listed)
{
	int n = listed - worker->listed;

	worker->listed = listed;
	if (!n)
		return;
	add_count(worker->core->listed_in_zone, worker->zone_quark, n);
	add_count(worker->core->listed_in_rack, worker->rack_quark, n);
}

static void set_labels(batch_worker_t *worker, const batch_worker_info_t *info)
{
	size_t i;

	talloc_free(worker->labels);
	worker->labels = talloc_array(worker, char *, info->n_labels);
	worker->n_labels = info->n_labels;
	for (i = 0; i < info->n_labels; i++)
		worker->labels[i] =
			base_str_dup(worker->labels, info->labels[i]);
}

void batch_worker_listed(batch_t *core, int64_t now,
			 const batch_worker_info_t *info)
{
	batch_worker_t *worker = worker_get(core, info->id);

	if (!worker->listed || worker->draining != info->draining)
		core->pass_needed = true;
	if (!worker->polled_at)
		worker->polled_at = now;
	if (info->draining && !worker->draining && !worker->cordoned)
		worker->cordoned_at = now;
	if (worker->forgotten) {
		worker->forgotten = false;
		worker->cordoned = false;
		batch_worker_set_silent(worker, true); /* until it is polled */
	}
	batch_worker_set_capacity(worker, now, &info->capacity);
	set_listed(worker, false);
	worker->listed_at = now;
	worker->draining = info->draining;
	worker->leaves |= info->draining;
	if (worker->draining)
		batch_worker_drop_unsent(worker);
	set_place(worker, core->workers_by_address, &worker->address,
		  info->address);
	talloc_free(worker->zone);
	worker->zone = base_str_dup(worker, info->zone);
	worker->zone_quark = g_quark_from_string(worker->zone);
	talloc_free(worker->rack);
	worker->rack = base_str_dup(worker, info->rack);
	worker->rack_quark = g_quark_from_string(worker->rack);
	set_listed(worker, true);
	set_labels(worker, info);
	set_pool(worker, batch_pool_get(core, info->pool));
}

static void drop_unstored_ends(batch_worker_t *worker, guint n)
{
	guint i;

	for (i = 0; i < n; i++)
		g_array_index(worker->unstored_ends, batch_unstored_end_t, i)
			.job->n_unstored_ends--;
	if (n)
		g_array_remove_range(worker->unstored_ends, 0, n);
}

/* The caller removes it from the table of workers. */
static void worker_free(batch_worker_t *worker)
{
	batch_t *core = worker->core;

	batch_claim_drop_all(worker);
	set_pool(worker, NULL);
	set_listed(worker, false);
	batch_worker_set_silent(worker, false);
	batch_index_remove(core->workers_by_address, worker->address, worker);
	batch_index_remove(core->workers_by_instance, worker->instance, worker);
	batch_doubt_forget(worker);
	drop_unstored_ends(worker, worker->unstored_ends->len);
	g_ptr_array_unref(worker->runs);
	g_ptr_array_unref(worker->claims);
	g_array_unref(worker->unstored_ends);
	g_array_unref(worker->in_doubt_starts);
	talloc_free(worker);
}

void batch_worker_unlisted(batch_t *core, int64_t now, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (!worker)
		return;
	if (worker->listed)
		worker->unlisted_at = now;
	set_listed(worker, false);
	set_pool(worker, NULL);
	batch_worker_drop_unsent(worker);
	core->pass_needed = true;
}

bool batch_worker_known(const batch_t *core, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	return worker && worker->listed && worker->incarnation;
}

static bool is_known_same(const char *a, const char *b)
{
	return a && b && *a && !strcmp(a, b);
}

bool batch_place_is_same(const batch_place_t *a, const batch_place_t *b)
{
	return strcmp(a->worker, b->worker) &&
	       (is_known_same(a->address, b->address) ||
		is_known_same(a->instance, b->instance));
}

static void mark_replaced(batch_t *core, const GPtrArray *workers,
			  const char *by)
{
	guint i;

	for (i = 0; workers && i < workers->len; i++) {
		batch_worker_t *other = g_ptr_array_index(workers, i);

		core->stats.scanned++;
		if (strcmp(other->id, by))
			other->replaced = true;
	}
}

/* The worker is known to be there, so that those before it have ended. */
static void replace_workers(batch_t *core, int64_t now,
			    const batch_place_t *place)
{
	mark_replaced(
		core,
		batch_index_find(core->workers_by_address, place->address),
		place->worker);
	mark_replaced(
		core,
		batch_index_find(core->workers_by_instance, place->instance),
		place->worker);
	batch_missing_replace(core, now, place);
}

void batch_worker_placed(batch_t *core, int64_t now, base_str_t id,
			 base_str_t instance)
{
	batch_worker_t *worker = batch_find_worker(core, id);
	void *ctx = talloc_new(core);
	batch_place_t place = { .worker = base_str_dup(ctx, id),
				.instance = base_str_dup(ctx, instance) };

	if (worker)
		set_place(worker, core->workers_by_instance, &worker->instance,
			  instance);
	replace_workers(core, now, &place);
	talloc_free(ctx);
}

void batch_worker_silent(batch_t *core, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (worker)
		batch_worker_set_silent(worker, true);
}

void batch_worker_hold(batch_t *core, base_str_t id, int64_t until)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (!worker)
		return;
	worker->held_until = until;
	batch_worker_drop_unsent(worker);
}

void batch_worker_unreached(batch_t *core, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (worker)
		worker->unreached = true;
}

void batch_worker_broke_off(batch_t *core, int64_t now, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (worker && !worker->silent && worker->incarnation)
		worker->alive_at = now;
}

void batch_worker_cordon(batch_t *core, int64_t now, base_str_t id,
			 bool cordoned)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (!worker || worker->cordoned == cordoned)
		return;
	worker->cordoned = cordoned;
	worker->cordoned_at = now;
	core->pass_needed = true;
}

void batch_worker_lease(batch_t *core, base_str_t id, int64_t until)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (worker)
		worker->lease_end = until;
}

static void lose_runs(batch_worker_t *worker, int64_t now,
		      batch_loss_cause_t cause)
{
	guint i;

	batch_worker_drop_unsent(worker);
	for (i = worker->runs->len; i-- > 0;) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		/* Only then may it come back under its id. */
		if (cause != BATCH_LOSS_UNKNOWN ||
		    !batch_run_may_start_late(run, now))
			batch_run_lost(run, now, "worker gone");
	}
}

void batch_worker_terminated(batch_t *core, int64_t now, base_str_t id,
			     batch_loss_cause_t cause)
{
	batch_worker_t *worker = batch_find_worker(core, id);

	if (!worker)
		return;
	batch_crash_worker_lost(worker, now, cause);
	lose_runs(worker, now, cause);
	if (cause == BATCH_LOSS_ORDERED)
		batch_doubt_ended(worker, now);
	worker->ends_truncated = false;
	if (!worker->listed)
		worker->forgotten = true;
}

/* An end of a job is not acknowledged either while one of the job is held. */
static bool awaits_store(const batch_unstored_end_t *end)
{
	return end->job->stored_version < end->version || end->job->n_held_ends;
}

static bool has_unstored_ends(const batch_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->unstored_ends->len; i++) {
		const batch_unstored_end_t *end = &g_array_index(
			worker->unstored_ends, batch_unstored_end_t, i);

		if (awaits_store(end))
			return true;
	}
	return false;
}

bool batch_worker_is_empty(const batch_worker_t *worker)
{
	return !worker->runs->len && !worker->ends_truncated &&
	       !has_unstored_ends(worker);
}

void batch_workers_free_forgotten(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (!worker->forgotten || !batch_worker_is_empty(worker) ||
		    batch_doubt_any(worker, now))
			continue;
		g_hash_table_iter_remove(&iter);
		worker_free(worker);
	}
}

size_t batch_worker_runs(const batch_t *core, base_str_t id,
			 size_t *n_long_running)
{
	batch_worker_t *worker = batch_find_worker(core, id);
	guint i;

	*n_long_running = 0;
	if (!worker)
		return 0;
	*n_long_running = worker->claims->len;
	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		*n_long_running += run->task->step->spec->long_running;
	}
	return worker->runs->len;
}

bool batch_worker_has_trial(const batch_t *core, base_str_t id)
{
	const batch_worker_t *worker = batch_find_worker(core, id);

	return worker && worker->n_trials > 0;
}

bool batch_worker_is_steady(const batch_t *core, base_str_t id)
{
	const batch_worker_t *worker = batch_find_worker(core, id);
	guint i;

	for (i = 0; worker && i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);
		const batch_step_spec_t *spec = run->task->step->spec;

		if (!spec->long_running || spec->tail_target ||
		    run->state != RUN_CONFIRMED || run->percent < 100)
			return false;
	}
	return worker != NULL;
}

GPtrArray *batch_workers_unpolled(const batch_t *core)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *worker = value;

		if (!worker->incarnation && worker->runs->len)
			g_ptr_array_add(ids, g_strdup(worker->id));
	}
	return ids;
}

/* The worker has a new incarnation, which knows nothing of earlier runs. */
static void begin_incarnation(batch_worker_t *worker, int64_t now,
			      int64_t incarnation)
{
	batch_place_t place = { .worker = worker->id,
				.address = worker->address };
	guint i;

	if (!worker->incarnation) {
		batch_crash_first_poll(worker, now, incarnation);
	} else {
		batch_crash_worker_lost(worker, now, BATCH_LOSS_CRASHED);
		for (i = worker->runs->len; i-- > 0;) {
			batch_run_t *run = g_ptr_array_index(worker->runs, i);

			/*
			 * Only a confirmed run is known to belong to the
			 * previous incarnation: an unanswered start may
			 * have reached either one.
			 */
			if (run->state == RUN_CONFIRMED)
				run->worker_restarted = true;
			/* Its stop does not keep this incarnation from carrying
			 * out the start late. */
			if (!run->start_confirmed_at &&
			    run->stop_acknowledged) {
				run->stop_acknowledged = false;
				run->stop_at = 0;
			}
		}
		batch_doubt_new_process(worker, now);
		worker->last_end = 0;
		drop_unstored_ends(worker, worker->unstored_ends->len);
		worker->leaves = worker->draining;
		worker->replaced = false;
		worker->is_quarantined = false;
		worker->n_quarantines = 0;
		worker->fail_streak = 0;
	}
	worker->incarnation = incarnation;
	replace_workers(worker->core, now, &place);
}

/* An end whose run the holder does not have, and why. */
static void log_unmatched_end(batch_worker_t *worker, const batch_task_t *task,
			      const batch_listed_end_t *end)
{
	batch_log_emit(worker->core,
		       &(batch_log_event_t){
			       .kind = BATCH_LOG_END_UNMATCHED,
			       .task = end->task,
			       .run = end->run,
			       .worker = base_str(worker->id),
			       .why = !task	   ? "no such task"
				      : task->done ? "the task is done"
				      : task->run  ? "a later run"
						   : "the run was given up",
			       .value = end->end_kind });
}

/*
 * The worker may discard an end once the store holds all that is known of its
 * job now, whether or not this listing of the end has changed anything.
 */
static void await_stored(batch_worker_t *worker, batch_job_t *job,
			 int64_t number, int64_t now)
{
	batch_unstored_end_t end = { .number = number,
				     .job = job,
				     .version = job->version,
				     .first_listed_at = now };

	if (job->stored_version >= job->version && !job->n_held_ends)
		return;
	job->n_unstored_ends++;
	g_array_append_val(worker->unstored_ends, end);
}

static void handle_end(batch_worker_t *worker, int64_t now,
		       const batch_listed_end_t *end)
{
	batch_job_t *job = batch_find_job(worker->core, end->task.job);
	batch_task_t *task = batch_find_task(worker->core, &end->task);
	batch_run_t *run =
		task ? batch_task_find_run(task, base_str(worker->id), end->run)
		     : NULL;

	if (end->number <= worker->last_end)
		return;
	worker->last_end = end->number;
	if (run)
		batch_run_ended(run, now, end->end_kind, end->checkpoint);
	else if (!task || !batch_run_ended_late(task, worker, now, end))
		log_unmatched_end(worker, task, end);
	if (job)
		await_stored(worker, job, end->number, now);
}

int64_t batch_worker_stored_end(batch_t *core, int64_t now, base_str_t id)
{
	batch_worker_t *worker = batch_find_worker(core, id);
	batch_unstored_end_t *gate;

	if (!worker)
		return 0;
	while (worker->unstored_ends->len) {
		gate = &g_array_index(worker->unstored_ends,
				      batch_unstored_end_t, 0);
		if (awaits_store(gate))
			return gate->number - 1;
		base_hist_add(core->times[BATCH_TIME_END_STORED],
			      now - gate->first_listed_at);
		drop_unstored_ends(worker, 1);
	}
	return worker->last_end;
}

bool batch_worker_has_unstored_ends(const batch_t *core, base_str_t id)
{
	const batch_worker_t *worker = batch_find_worker(core, id);

	return worker && has_unstored_ends(worker);
}

bool batch_worker_ends_truncated(const batch_t *core, base_str_t id)
{
	const batch_worker_t *worker = batch_find_worker(core, id);

	return worker && worker->ends_truncated;
}

static void stop_unknown_run(batch_worker_t *worker,
			     const batch_listed_run_t *seen)
{
	batch_order_t order = {
		.task = seen->task,
		.run = seen->run,
		.worker = base_str(worker->id),
	};

	worker->core->options.ops->stop(worker->core->options.arg, &order);
}

static void stop_in_doubt(batch_run_t *run, int64_t now)
{
	batch_run_stop(run, now, "in doubt");
	run->is_stopped_in_doubt = true;
}

/*
 * Whether the run, which is listed, is to go on: it is stopped only because it
 * was not listed, and no answer shows that a stop has reached it.
 */
static bool is_doubt_over(const batch_run_t *run)
{
	const batch_step_t *step = run->task->step;

	return run->state == RUN_STOPPING && run->is_stopped_in_doubt &&
	       !run->stop_acknowledged && !step->spec->gang &&
	       !run->task->done && batch_job_is_active(step->occ->job);
}

static void handle_run(batch_worker_t *worker, int64_t now, int64_t sent,
		       const batch_listed_run_t *seen)
{
	batch_task_t *task = batch_find_task(worker->core, &seen->task);
	batch_run_t *run = task ? batch_task_find_run(
					  task, base_str(worker->id), seen->run)
				: NULL;

	if (!run) {
		stop_unknown_run(worker, seen);
		worker->lists_unknown_runs = true;
		return;
	}
	if (run->state == RUN_STORING)
		return;
	run->worker_restarted = false;
	run->incarnation = worker->incarnation;
	task->step->occ->job->started = true;
	if (run->state == RUN_IN_DOUBT || run->state == RUN_SENT ||
	    is_doubt_over(run)) {
		run->state = RUN_CONFIRMED;
		run->state_since = now;
		run->listed_from = sent;
	}
	if (!run->start_confirmed_at) {
		run->start_confirmed_at = now;
		run->progress_at = now;
		batch_run_release_end(run);
	}
	if (seen->percent != run->percent) {
		run->percent = seen->percent;
		run->progress_at = now;
	}
	run->load_metric = seen->load_metric;
	if (task->step->spec->long_running && seen->percent >= 100)
		task->unavailable_since = 0;
	batch_run_checkpoint(run, seen->checkpoint);
	batch_run_stop_withdrawn(run, now);
	/* A former holder has stored the end of another run, and may not have
	 * stopped this one. */
	if (task->done && batch_step_may_copy(task->step->spec))
		batch_run_stop(run, now, "another run is done");
}

static bool lists_run(const batch_poll_result_t *poll, const batch_run_t *run)
{
	batch_task_id_t id = batch_task_get_id(run->task);
	size_t i;

	for (i = 0; i < poll->n_runs; i++) {
		const batch_listed_run_t *seen = &poll->runs[i];

		if (seen->run == run->number && seen->task.step == id.step &&
		    seen->task.index == id.index &&
		    seen->task.occurrence == id.occurrence &&
		    base_str_eq(seen->task.job, id.job))
			return true;
	}
	return false;
}

/* Resolves runs that the poll should have listed and did not. */
static void resolve_unlisted_runs(batch_worker_t *worker, int64_t now,
				  const batch_poll_result_t *poll)
{
	guint i;

	for (i = worker->runs->len; i-- > 0;) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->state == RUN_STORING || run->state == RUN_SENT ||
		    poll->sent < run->listed_from || lists_run(poll, run))
			continue;
		run->is_unlisted = !run->start_confirmed_at;
		if (run->worker_restarted)
			batch_run_lost(run, now, "worker restarted");
		else if (run->state == RUN_STOPPING && run->stop_acknowledged)
			batch_run_lost(run, now, run->stop_reason);
		else if (run->state == RUN_IN_DOUBT &&
			 now - run->state_since >
				 worker->core->options.in_doubt_timeout)
			stop_in_doubt(run, now);
		else if (run->state == RUN_STOPPING && run->is_stopped_in_doubt)
			batch_run_repeat_stop(run, now);
		else if (run->state == RUN_CONFIRMED)
			batch_run_stop(run, now, "not listed");
	}
}

void batch_worker_polled(batch_t *core, int64_t now,
			 const batch_poll_result_t *poll)
{
	batch_worker_t *worker = batch_find_worker(core, poll->worker);
	size_t i;

	if (!worker)
		return;
	if (worker->incarnation != poll->incarnation)
		begin_incarnation(worker, now, poll->incarnation);
	batch_missing_resolve(core, now, worker->id, poll->incarnation);
	worker->polled_at = now;
	worker->poll_sent_at = poll->sent;
	batch_worker_set_silent(worker, false);
	worker->unreached = false;
	batch_doubt_poll(worker, now, poll);
	batch_doubt_send_stops(worker, now);
	for (i = 0; i < poll->n_ends; i++)
		handle_end(worker, now, &poll->ends[i]);
	worker->lists_unknown_runs = false;
	for (i = 0; i < poll->n_runs; i++)
		handle_run(worker, now, poll->sent, &poll->runs[i]);
	if (worker->lists_unknown_runs)
		batch_worker_drop_unsent(worker);
	batch_crash_worker_alive(worker, now);
	worker->ends_truncated = poll->ends_truncated;
	/* A run that is not listed may have ended, also with success: the next
	 * polls list the other ends. */
	if (!poll->ends_truncated) {
		resolve_unlisted_runs(worker, now, poll);
		batch_progress_check(worker, now);
	}
	batch_pace_adjust(worker, now);
	if (poll->n_ends)
		core->pass_needed = true;
}
