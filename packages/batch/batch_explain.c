/*
 * Why a job, a worker or a pool is as it is: a sentence, and the facts that it
 * was made from with their age.
 */
#include <jansson.h>

#include "batch_int.h"

#define EXPLAIN_STEPS_MAX 4 /* that a sentence names; the facts have all */

static const char *const run_words[RUN_STATE_MAX] = {
	[RUN_STORING] = "being stored",	  [RUN_SENT] = "sent",
	[RUN_DOUBT] = "in doubt",	  [RUN_ON] = "running",
	[RUN_STOPPING] = "being stopped",
};

static double seconds(int64_t span)
{
	return (double)span / BASE_SEC;
}

/* The sentence goes in last, so that it can be built from the same walk. */
static json_t *close_answer(json_t *answer, base_buf_t *said)
{
	base_buf_adds(said, ".");
	json_object_set_new(answer, "said", json_string(said->ptr));
	talloc_free(said);
	return answer;
}

static json_t *run_json(const batch_run_t *run, int64_t now)
{
	return json_pack("{s:i,s:i,s:I,s:s,s:s,s:I,s:i,s:I}", "step",
			 run->task->step->number, "index", run->task->index,
			 "run", (json_int_t)run->number, "worker",
			 run->worker->id, "state", run_words[run->state],
			 "for_us", (json_int_t)(now - run->since), "percent",
			 run->percent, "looked_us_ago",
			 (json_int_t)(now - run->worker->heard));
}

/* Tasks of a step by what becomes of them. */
typedef struct step_counts {
	int placed;
	int waiting;
	const batch_task_t *first; /* that waits */
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
		} else if (!task->done) {
			counts.waiting++;
			if (!counts.first)
				counts.first = task;
		}
	}
	return counts;
}

static void explain_step(const batch_step_t *step, json_t *answer,
			 base_buf_t *said, int64_t now)
{
	json_t *steps = json_object_get(answer, "steps");
	bool speak = json_array_size(steps) < EXPLAIN_STEPS_MAX;
	step_counts_t counts =
		count_step(step, json_object_get(answer, "runs"), now);
	const char *why = "";

	if (step->done == step->spec->count)
		return;
	if (!batch_step_open(step))
		why = "the steps before it are not done";
	else if (counts.waiting)
		why = batch_fit_why(counts.first, now);
	json_array_append_new(
		steps, json_pack("{s:i,s:i,s:i,s:i,s:i,s:s}", "step",
				 step->number, "tasks", step->spec->count,
				 "done", step->done, "placed", counts.placed,
				 "waiting", counts.waiting, "why", why));
	if (!speak)
		return;
	base_buf_addf(said, "; step %d: %d of %d tasks done, %d placed",
		      step->number, step->done, step->spec->count,
		      counts.placed);
	if (counts.waiting)
		base_buf_addf(said, ", %d wait: %s", counts.waiting, why);
}

static void explain_steps(const batch_job_t *job, json_t *answer,
			  base_buf_t *said, int64_t now)
{
	guint i;
	int s;

	for (i = 0; job->occs && i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			explain_step(&occ->steps[s], answer, said, now);
	}
}

static json_t *explain_job(const batch_job_t *job, int64_t now)
{
	base_buf_t *said = base_buf_new(NULL);
	int64_t objective = batch_objective(job);
	int64_t age = now - job->arrived;
	json_t *answer = json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:[],s:[]}", "kind", "job",
		"job", job->id, "state", batch_state_name(job->state), "shown",
		batch_state_name(job->shown), "stored", job->stored,
		"cancelled", job->cancelled, "age_us", (json_int_t)age,
		"objective_us", (json_int_t)objective, "steps", "runs");

	if (job->queue)
		json_object_set_new(answer, "queue",
				    json_string(job->queue->name));
	base_buf_addf(said, "job %s is %s", job->id,
		      batch_state_name(job->state));
	if (!batch_job_open(job))
		return close_answer(answer, said);
	base_buf_addf(said, ", taken %.1f s ago", seconds(age));
	if (!job->spec.repeat)
		base_buf_addf(said, ", %.1f s %s its objective",
			      seconds(ABS(objective - age)),
			      age > objective ? "past" : "before");
	if (!job->stored)
		base_buf_adds(said, "; it is not stored yet");
	else if (job->cancelled)
		base_buf_adds(said, "; it is cancelled and being stopped");
	else
		explain_steps(job, answer, said, now);
	return close_answer(answer, said);
}

static const char *worker_word(const batch_worker_t *worker, int64_t now)
{
	if (!worker->listed)
		return "is not listed any more";
	if (worker->silent)
		return "does not answer";
	if (worker->draining)
		return "leaves";
	if (worker->cordoned)
		return "is being emptied";
	if (worker->out)
		return "is out, since its tasks fail, stand still or are slow";
	if (!worker->born)
		return "was not looked at yet";
	if (now < worker->rest)
		return "rests after it refused a start";
	if (!batch_worker_usable(worker, now))
		return "was not heard of for long";
	return "takes work";
}

static json_t *explain_worker(const batch_worker_t *worker, int64_t now)
{
	base_buf_t *said = base_buf_new(NULL);
	json_t *runs = json_array();
	json_t *answer;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);
		json_t *one = run_json(run, now);

		json_object_set_new(one, "job",
				    json_string(run->task->step->occ->job->id));
		json_array_append_new(runs, one);
	}
	answer = json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "kind",
		"worker", "worker", worker->id, "pool",
		worker->pool ? worker->pool->name : "", "rack", worker->rack,
		"usable", batch_worker_usable(worker, now), "looked_us_ago",
		(json_int_t)(now - worker->heard), "lease_left_us",
		(json_int_t)(worker->lease_end - now), "cpu",
		(json_int_t)worker->capacity.cpu, "cpu_used",
		(json_int_t)worker->used.cpu, "memory_mb",
		(json_int_t)worker->capacity.memory, "memory_mb_used",
		(json_int_t)worker->used.memory, "runs", runs);
	base_buf_addf(said, "worker %s of pool %s %s", worker->id,
		      worker->pool ? worker->pool->name : "-",
		      worker_word(worker, now));
	if (worker->heard)
		base_buf_addf(said, ", last heard %.1f s ago",
			      seconds(now - worker->heard));
	if (worker->out)
		base_buf_addf(said, "; its trial is in %.1f s",
			      seconds(MAX(worker->out_until - now, 0)));
	base_buf_addf(said, "; %u tasks take %.1f of %.1f cores",
		      worker->runs->len, (double)worker->used.cpu / 1000,
		      (double)worker->capacity.cpu / 1000);
	return close_answer(answer, said);
}

static json_t *explain_pool(const batch_t *core, const batch_pool_t *pool,
			    int64_t now)
{
	base_buf_t *said = base_buf_new(NULL);
	int counts = 0;
	int usable = 0;
	int open = 0;
	int waiting = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);

		counts += batch_worker_counts(worker);
		usable += batch_worker_usable(worker, now);
	}
	for (i = 0; i < core->open->len; i++) {
		const batch_job_t *job = g_ptr_array_index(core->open, i);

		if (!batch_job_open(job) || !job->queue ||
		    job->queue->pool != pool)
			continue;
		open++;
		waiting += !job->started;
	}
	base_buf_addf(said,
		      "pool %s has %u workers, %d of them take work, %d more "
		      "are on their way; by its jobs it needs %d; %d jobs are "
		      "open, %d of these have not started",
		      pool->name, pool->workers->len, usable, pool->incoming,
		      pool->want, open, waiting);
	return close_answer(
		json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "kind",
			  "pool", "pool", pool->name, "workers",
			  (int)pool->workers->len, "counted", counts, "usable",
			  usable, "incoming", pool->incoming, "needed",
			  pool->want, "jobs_open", open, "jobs_not_started",
			  waiting, "spare", pool->spare),
		said);
}

json_t *batch_explain(const batch_t *core, int64_t now, base_str_t name)
{
	const batch_job_t *job = batch_find_job(core, name);
	const batch_worker_t *worker = batch_find_worker(core, name);
	const batch_queue_t *queue = batch_find_queue(core, name);
	const batch_pool_t *pool = queue ? queue->pool : NULL;
	char *key;

	if (job)
		return explain_job(job, now);
	if (worker)
		return explain_worker(worker, now);
	if (!pool) {
		key = g_strndup(name.ptr, name.len);
		pool = g_hash_table_lookup(core->pools, key);
		g_free(key);
	}
	return pool ? explain_pool(core, pool, now) : NULL;
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
