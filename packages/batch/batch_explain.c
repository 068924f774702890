/*
 * Explains the state of a job, a worker or a pool: a sentence, and the facts
 * behind it with their age.
 */
#include <jansson.h>

#include "batch_int.h"

/* Steps named in the sentence; the facts list all steps. */
#define EXPLAIN_STEPS_MAX 4

static const char *const run_state_texts[RUN_STATE_MAX] = {
	[RUN_STORING] = "being stored",	  [RUN_SENT] = "sent",
	[RUN_IN_DOUBT] = "in doubt",	  [RUN_CONFIRMED] = "running",
	[RUN_STOPPING] = "being stopped",
};

static double to_seconds(int64_t span)
{
	return (double)span / BASE_SEC;
}

/* Adds the sentence, which is complete only after the facts are collected. */
static json_t *finish_answer(json_t *answer, base_buf_t *sentence)
{
	base_buf_adds(sentence, ".");
	json_object_set_new(answer, "said", json_string(sentence->ptr));
	talloc_free(sentence);
	return answer;
}

static json_t *run_json(const batch_run_t *run, int64_t now)
{
	return json_pack("{s:i,s:i,s:I,s:s,s:s,s:I,s:i,s:I}", "step",
			 run->task->step->number, "index", run->task->index,
			 "run", (json_int_t)run->number, "worker",
			 run->worker->id, "state", run_state_texts[run->state],
			 "for_us", (json_int_t)(now - run->state_since),
			 "percent", run->percent, "looked_us_ago",
			 (json_int_t)(now - run->worker->polled_at));
}

/* Counts of the tasks of a step. */
typedef struct step_counts {
	int placed;
	int waiting;
	const batch_task_t *first; /* first task of the step that waits */
} step_counts_t;

static step_counts_t count_step(const batch_step_t *step, json_t *runs,
				int64_t now)
{
	step_counts_t counts = { 0 };
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];

		if (task->run) {
			counts.placed++;
			json_array_append_new(runs, run_json(task->run, now));
			if (task->copy)
				json_array_append_new(
					runs, run_json(task->copy, now));
		} else if (!task->done) {
			counts.waiting++;
			if (!counts.first)
				counts.first = task;
		}
	}
	return counts;
}

static json_t *workers_json(const batch_task_t *task, int64_t now)
{
	batch_fit_counts_t counts = batch_fit_count(task, now);
	json_t *answer = json_pack("{s:i,s:i}", "incoming", counts.incoming,
				   "needed", counts.wanted);
	int i;

	for (i = 0; i < BATCH_FIT_MAX; i++)
		json_object_set_new(answer, batch_fit_name((batch_fit_t)i),
				    json_integer(counts.n[i]));
	return answer;
}

static void explain_step(const batch_step_t *step, json_t *answer,
			 base_buf_t *sentence, int64_t now)
{
	json_t *steps = json_object_get(answer, "steps");
	bool in_sentence = json_array_size(steps) < EXPLAIN_STEPS_MAX;
	step_counts_t counts =
		count_step(step, json_object_get(answer, "runs"), now);
	const char *why = "";
	json_t *item;

	if (step->done == step->spec->count)
		return;
	if (!batch_step_is_ready(step))
		why = "the steps before it are not done";
	else if (counts.waiting)
		why = batch_fit_why(counts.first, now);
	item = json_pack("{s:i,s:i,s:i,s:i,s:i,s:s}", "step", step->number,
			 "tasks", step->spec->count, "done", step->done,
			 "placed", counts.placed, "waiting", counts.waiting,
			 "why", why);
	if (counts.waiting && batch_step_is_ready(step))
		json_object_set_new(item, "workers",
				    workers_json(counts.first, now));
	json_array_append_new(steps, item);
	if (!in_sentence)
		return;
	base_buf_addf(sentence, "; step %d: %d of %d tasks done, %d placed",
		      step->number, step->done, step->spec->count,
		      counts.placed);
	if (counts.waiting)
		base_buf_addf(sentence, ", %d wait: %s", counts.waiting, why);
}

static void explain_steps(const batch_job_t *job, json_t *answer,
			  base_buf_t *sentence, int64_t now)
{
	guint i;
	int s;

	for (i = 0; job->occs && i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			explain_step(&occ->steps[s], answer, sentence, now);
	}
}

/* Occurrences that are due by now, opened or not. */
static int count_due(const batch_job_t *job, int64_t now)
{
	int64_t wall = job->arrived_wall + now - job->arrived;
	int64_t since = wall - job->spec.first_at;

	if (since < 0)
		return 0;
	if (job->spec.repeat == 1)
		return 1;
	return (int)MIN(since / job->spec.interval + 1, job->spec.repeat);
}

static void explain_occurrences(const batch_job_t *job, json_t *answer,
				base_buf_t *sentence, int64_t now)
{
	int due = count_due(job, now);
	int open = batch_job_open_occs(job);
	int done = job->n_opened - open;

	base_buf_addf(sentence,
		      "; of %d occurrences %d are due, %d of these done and "
		      "%d open",
		      job->spec.repeat, due, done, open);
	json_object_set_new(answer, "occurrences",
			    json_pack("{s:i,s:i,s:i,s:i}", "all",
				      job->spec.repeat, "due", due, "done",
				      done, "open", open));
}

static void explain_given_up(const batch_job_t *job, json_t *answer,
			     base_buf_t *sentence)
{
	const batch_given_up_t *given_up = &job->given_up;

	if (!given_up->workers)
		return;
	base_buf_addf(sentence,
		      ": %d workers were lost under its task %d of step %d",
		      given_up->workers, given_up->index, given_up->step);
	json_object_set_new(
		answer, "given_up",
		json_pack("{s:i,s:i,s:i,s:i}", "workers", given_up->workers,
			  "occurrence", given_up->occurrence, "step",
			  given_up->step, "index", given_up->index));
}

static json_t *explain_job(const batch_job_t *job, int64_t now)
{
	base_buf_t *sentence = base_buf_new(NULL);
	int64_t objective = batch_objective(job);
	int64_t age = now - job->arrived;
	json_t *answer = json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:[],s:[]}", "kind", "job",
		"job", job->id, "state", batch_state_name(job->state), "shown",
		batch_state_name(job->stored_state), "stored", job->stored,
		"cancelled", job->cancelled, "age_us", (json_int_t)age,
		"objective_us", (json_int_t)objective, "steps", "runs");

	if (job->queue)
		json_object_set_new(answer, "queue",
				    json_string(job->queue->name));
	base_buf_addf(sentence, "job %s is %s", job->id,
		      batch_state_name(job->state));
	explain_given_up(job, answer, sentence);
	if (!batch_job_is_active(job))
		return finish_answer(answer, sentence);
	base_buf_addf(sentence, ", taken %.1f s ago", to_seconds(age));
	if (job->spec.repeat)
		explain_occurrences(job, answer, sentence, now);
	else
		base_buf_addf(sentence, ", %.1f s %s its objective",
			      to_seconds(ABS(objective - age)),
			      age > objective ? "past" : "before");
	if (!job->stored)
		base_buf_adds(sentence, "; it is not stored yet");
	else if (job->cancelled)
		base_buf_adds(sentence, "; it is cancelled and being stopped");
	else
		explain_steps(job, answer, sentence, now);
	return finish_answer(answer, sentence);
}

static const char *worker_status(const batch_worker_t *worker, int64_t now)
{
	if (!worker->listed)
		return "is no longer listed";
	if (worker->silent)
		return "does not answer";
	if (worker->draining)
		return "leaves";
	if (worker->cordoned)
		return "is being emptied";
	if (worker->is_quarantined)
		return "is quarantined because its tasks fail, stall or are slow";
	if (worker->lists_unknown_runs)
		return "gets no work until runs of no job have stopped";
	if (batch_worker_capacity_is_old(worker, now))
		return "gets no work because the list was not read for too long";
	if (!worker->incarnation)
		return "has not been polled yet";
	if (now < worker->backoff_until)
		return "gets no work for a moment after it refused a start";
	if (!batch_worker_usable(worker, now))
		return "has not answered a poll for too long";
	return "takes work";
}

/* The last change of the worker's capacity. */
static void explain_capacity(const batch_worker_t *worker, json_t *answer,
			     base_buf_t *sentence, int64_t now)
{
	const batch_res_t *before = &worker->capacity_before;
	int64_t age = now - worker->capacity_changed_at;

	json_object_set_new(answer, "capacity_before",
			    json_pack("{s:I,s:I,s:I}", "cpu",
				      (json_int_t)before->cpu, "memory_mb",
				      (json_int_t)before->memory, "gpu",
				      (json_int_t)before->gpu));
	json_object_set_new(answer, "capacity_changed_us_ago",
			    json_integer(age));
	base_buf_addf(sentence,
		      "; %.1f s ago its capacity changed from %.1f cores, "
		      "%lld MB and %lld GPUs to %.1f cores, %lld MB and "
		      "%lld GPUs",
		      to_seconds(age), (double)before->cpu / 1000,
		      (long long)before->memory, (long long)before->gpu,
		      (double)worker->capacity.cpu / 1000,
		      (long long)worker->capacity.memory,
		      (long long)worker->capacity.gpu);
}

static json_t *explain_worker(const batch_worker_t *worker, int64_t now)
{
	base_buf_t *sentence = base_buf_new(NULL);
	json_t *runs = json_array();
	json_t *answer;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);
		json_t *item = run_json(run, now);

		json_object_set_new(item, "job",
				    json_string(run->task->step->occ->job->id));
		json_array_append_new(runs, item);
	}
	answer = json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}",
		"kind", "worker", "worker", worker->id, "pool",
		worker->pool ? worker->pool->name : "", "rack", worker->rack,
		"usable", batch_worker_usable(worker, now), "looked_us_ago",
		(json_int_t)(now - worker->polled_at), "lease_left_us",
		(json_int_t)(worker->lease_end - now), "cpu",
		(json_int_t)worker->capacity.cpu, "cpu_used",
		(json_int_t)worker->used.cpu, "memory_mb",
		(json_int_t)worker->capacity.memory, "memory_mb_used",
		(json_int_t)worker->used.memory, "gpu",
		(json_int_t)worker->capacity.gpu, "gpu_used",
		(json_int_t)worker->used.gpu, "runs", runs);
	base_buf_addf(sentence, "worker %s of pool %s %s", worker->id,
		      worker->pool ? worker->pool->name : "-",
		      worker_status(worker, now));
	if (worker->polled_at)
		base_buf_addf(sentence, ", last heard %.1f s ago",
			      to_seconds(now - worker->polled_at));
	if (worker->is_quarantined)
		base_buf_addf(
			sentence, "; it is tried again in %.1f s",
			to_seconds(MAX(worker->quarantined_until - now, 0)));
	base_buf_addf(sentence, "; %u tasks take %.1f of %.1f cores",
		      worker->runs->len, (double)worker->used.cpu / 1000,
		      (double)worker->capacity.cpu / 1000);
	if (worker->capacity_changed_at)
		explain_capacity(worker, answer, sentence, now);
	return finish_answer(answer, sentence);
}

static json_t *explain_pool(const batch_t *core, const batch_pool_t *pool,
			    int64_t now)
{
	base_buf_t *sentence = base_buf_new(NULL);
	int counts = 0;
	int usable = 0;
	int open = 0;
	int waiting = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);

		counts += batch_worker_in_capacity(worker);
		usable += batch_worker_usable(worker, now);
	}
	for (i = 0; i < core->active_jobs->len; i++) {
		const batch_job_t *job =
			g_ptr_array_index(core->active_jobs, i);

		if (!batch_job_is_active(job) || !job->queue ||
		    job->queue->pool != pool)
			continue;
		open++;
		waiting += !job->started;
	}
	base_buf_addf(sentence,
		      "pool %s has %u workers, %d of them take work, %d more "
		      "are on their way; by its jobs it needs %d; %d jobs are "
		      "open, %d of these have not started",
		      pool->name, pool->workers->len, usable, pool->incoming,
		      pool->workers_wanted, open, waiting);
	return finish_answer(
		json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "kind",
			  "pool", "pool", pool->name, "workers",
			  (int)pool->workers->len, "counted", counts, "usable",
			  usable, "incoming", pool->incoming, "needed",
			  pool->workers_wanted, "jobs_open", open,
			  "jobs_not_started", waiting, "spare", pool->spare),
		sentence);
}

json_t *batch_explain(const batch_t *core, int64_t now, base_str_t name)
{
	const batch_job_t *job = batch_find_job(core, name);
	const batch_worker_t *worker = batch_find_worker(core, name);
	const batch_queue_t *queue = batch_find_queue(core, name);
	const batch_pool_t *pool = queue ? queue->pool : NULL;
	batch_workspace_t *workspace;
	char *key;

	if (job)
		return explain_job(job, now);
	if (worker)
		return explain_worker(worker, now);
	key = g_strndup(name.ptr, name.len);
	if (!pool)
		pool = g_hash_table_lookup(core->pools, key);
	workspace = g_hash_table_lookup(core->workspaces_by_name, key);
	g_free(key);
	if (pool)
		return explain_pool(core, pool, now);
	return workspace && name.len ? batch_workspace_explain(core, workspace)
				     : NULL;
}

json_t *batch_explain_pools(const batch_t *core, int64_t now)
{
	json_t *pools = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((batch_pool_t *)value)->in_force)
			json_array_append_new(pools,
					      explain_pool(core, value, now));
	return pools;
}
