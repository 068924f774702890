#include "batch_int.h"

static void job_stored(batch_job_t *job, int64_t now);

/* Marks the decided state as different from the stored one: a row is needed. */
void batch_job_changed(batch_job_t *job)
{
	job->version++;
	if (job->row_queued)
		return;
	job->row_queued = true;
	g_queue_push_tail(&job->core->rows, job);
}

size_t batch_rows_length(const batch_t *core)
{
	return core->rows.length;
}

bool batch_lane_waits(const batch_t *core, int lane)
{
	const GList *link;

	for (link = core->rows.head; link; link = link->next)
		if (((const batch_job_t *)link->data)->lane == lane)
			return true;
	return false;
}

static size_t count_entries(const batch_job_t *job)
{
	return !job->stored || !batch_job_is_active(job) ? 2 : 1;
}

static bool may_store(const batch_t *core, int lane)
{
	int i;

	if (core->storing_jobs[BATCH_LANE_ALL]->len)
		return false;
	for (i = 0; i < BATCH_LANES; i++)
		if ((lane == BATCH_LANE_ALL || lane == i) &&
		    core->storing_jobs[i]->len)
			return false;
	return true;
}

static batch_row_t print_row(batch_job_t *job, const void *texts)
{
	bool ended = !batch_job_is_active(job);

	return (batch_row_t){
		.job = base_str(job->id),
		.record = batch_row_print(texts, job).ptr,
		.ended = ended,
		.source =
			job->stored || ended ? BASE_STR("") : job->spec.source,
	};
}

size_t batch_rows(batch_t *core, int lane, batch_row_t *rows, size_t max,
		  size_t entries)
{
	GList *link = core->rows.head;
	GList *next;
	size_t n = 0;

	if (!may_store(core, lane))
		return 0;
	core->row_texts[lane] = talloc_new(core);
	for (; link && n < max; link = next) {
		batch_job_t *job = link->data;

		next = link->next;
		if (lane != BATCH_LANE_ALL && lane != job->lane)
			continue;
		if (count_entries(job) > entries)
			break;
		entries -= count_entries(job);
		g_queue_delete_link(&core->rows, link);
		job->row_queued = false;
		job->printed_version = job->version;
		rows[n++] = print_row(job, core->row_texts[lane]);
		g_ptr_array_add(core->storing_jobs[lane], job);
	}
	return n;
}

void batch_rows_stored(batch_t *core, int lane, int64_t now)
{
	GPtrArray *jobs = core->storing_jobs[lane];
	guint i;

	for (i = 0; i < jobs->len; i++)
		job_stored(g_ptr_array_index(jobs, i), now);
	g_ptr_array_set_size(jobs, 0);
	TALLOC_FREE(core->row_texts[lane]);
	core->pass_needed = true;
}

static batch_state_t visible_state(const batch_job_t *job)
{
	if (!batch_job_is_active(job))
		return job->state;
	return job->start_decided ? BATCH_RUNNING : BATCH_QUEUED;
}

static bool is_to_be_sent(const batch_run_t *run)
{
	return run && run->state == RUN_STORING &&
	       run->version <= run->task->step->occ->job->stored_version;
}

static void drop_if_unfit(batch_run_t *run, int64_t now)
{
	if (is_to_be_sent(run) &&
	    (batch_worker_capacity_is_old(run->worker, now) ||
	     batch_workspace_is_over(run->task->step->occ->job->workspace)))
		batch_run_drop_unsent(run);
}

/* Sends the runs of a step, or of a gang none if one cannot be sent.  A limit
 * may have been lowered since they were decided. */
static void send_step_runs(batch_step_t *step, int64_t now)
{
	int t;

	for (t = 0; t < step->spec->count; t++) {
		drop_if_unfit(step->tasks[t].copy, now);
		drop_if_unfit(step->tasks[t].run, now);
	}
	for (t = 0; t < step->spec->count; t++) {
		if (is_to_be_sent(step->tasks[t].copy))
			batch_run_send(step->tasks[t].copy, now);
		if (is_to_be_sent(step->tasks[t].run))
			batch_run_send(step->tasks[t].run, now);
	}
}

static void stop_withdrawn_runs(const batch_step_t *step, int64_t now)
{
	int t;

	for (t = 0; t < step->spec->count; t++)
		if (step->tasks[t].run)
			batch_run_stop_withdrawn(step->tasks[t].run, now);
}

/* Sends the starts and stops that the stored row contains. */
static void send_runs(batch_job_t *job, int64_t now)
{
	guint i;
	int s;

	for (i = 0; i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++) {
			send_step_runs(&occ->steps[s], now);
			if (occ->steps[s].spec->long_running)
				stop_withdrawn_runs(&occ->steps[s], now);
		}
	}
}

static void job_stored(batch_job_t *job, int64_t now)
{
	batch_t *core = job->core;
	bool first = !job->stored;

	job->stored_version = job->printed_version;
	job->stored = true;
	/* Changes made after the row was printed are not visible yet. */
	if (job->stored_version == job->version || batch_job_is_active(job))
		job->stored_state = visible_state(job);
	if (first) {
		core->stats.accepted++;
		core->options.ops->accepted(core->options.arg,
					    base_str(job->id));
		batch_log_emit(
			core, &(batch_log_event_t){
				      .kind = BATCH_LOG_JOB_ACCEPTED,
				      .task = { base_str(job->id), -1, -1, -1 },
				      .why = "stored, microseconds",
				      .value = now - job->arrived });
	}
	if (job->cancelled && !job->cancel_confirmed &&
	    job->stored_version == job->version) {
		job->cancel_confirmed = true;
		core->options.ops->cancelled(core->options.arg,
					     base_str(job->id));
	}
	if (job->occs)
		send_runs(job, now);
}
