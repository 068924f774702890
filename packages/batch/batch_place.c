/*
 * Which task starts next, and where.
 *
 * Tasks that last go first, then jobs that have begun, then those that have
 * not, the least slack first.  What cannot be in time any more takes what is
 * left, and so does a job that has waited for long before its first task: when
 * a queue asks for more than its pool holds, serving the oldest makes all of
 * them late, serving the fresh ones ends those in time.
 */
#include "batch_int.h"

/* Rank of a job in its pool: lower goes first. */
typedef struct ranked {
	batch_job_t *job;
	int group;
	int64_t slack;
} ranked_t;

typedef enum rank_group {
	RANK_LASTING,
	RANK_BEGUN,
	RANK_NEW,
	RANK_LAST, /* cannot be in time, or has waited for long */
	RANK_MAX
} rank_group_t;

/* A lasting task that finds no room keeps the worker with the most for so
 * long: short tasks there end within it. */
#define CLAIM_MAX (3 * BASE_SEC)

/* A job has this part of its slack left, or it has waited for long: the load
 * test of turns ends most jobs in time between a half and two thirds. */
#define PLACE_FRESH_PART 0.6
/* How far the slack may be wrong: estimates of run times are rough, a tenth of
 * a short task is left to them. */
#define PLACE_SLACK_ERROR (100 * BASE_MS)

/* Tasks of a step that are placed within two decisions are placed together. */
#define PLACE_NOTE_AFTER (2 * BATCH_STEP)

/* Costs of a place; what is taken of a worker counts up to 1. */
#define PLACE_REMOTE 8 /* another rack: run times double there, and more */
#define PLACE_AVOID 16 /* it failed or was refused there last */

/* Serving tasks and those that fill disturb each other on one worker. */
static int disturbance(const batch_worker_t *worker,
		       const batch_step_spec_t *spec)
{
	int n = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);
		const batch_step_spec_t *other = run->task->step->spec;

		if ((spec->fills && other->tail_target) ||
		    (spec->tail_target && other->fills))
			n += 4;
		else if (spec->lasting && other->lasting)
			n += 1;
	}
	return n;
}

static int rack_siblings(const batch_pool_t *pool, const char *rack,
			 const batch_step_t *step)
{
	int n = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		if (!strcmp(worker->rack, rack))
			n += batch_fit_siblings(worker, step);
	}
	return n;
}

/* Tasks of the step that would fit there beside what runs. */
static int64_t fitting(const batch_worker_t *worker,
		       const batch_step_spec_t *spec)
{
	int64_t n = spec->count;

	if (spec->need.cpu)
		n = MIN(n, (worker->capacity.cpu - worker->used.cpu) /
				   spec->need.cpu);
	if (spec->need.memory)
		n = MIN(n, (worker->capacity.memory - worker->used.memory) /
				   spec->need.memory);
	if (spec->need.gpu)
		n = MIN(n, (worker->capacity.gpu - worker->used.gpu) /
				   spec->need.gpu);
	return MAX(n, 0);
}

/*
 * Where a step belongs that is slower when spread over racks: beside its runs,
 * else at its data, else where most of it fits.  NULL: anywhere.
 */
static const char *home_rack(const batch_pool_t *pool, const batch_task_t *task,
			     int64_t now)
{
	const batch_step_t *step = task->step;
	const char *best = NULL;
	int64_t most = 0;
	guint i;
	guint j;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);

		if (batch_fit_siblings(worker, step))
			return worker->rack;
	}
	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);
		int64_t fits = 0;

		if (step->spec->data_rack.len &&
		    base_str_eq(base_str(worker->rack), step->spec->data_rack))
			return worker->rack;
		for (j = 0; j < pool->workers->len; j++) {
			const batch_worker_t *other =
				g_ptr_array_index(pool->workers, j);

			if (!strcmp(other->rack, worker->rack) &&
			    batch_fit_allows(other, task, now))
				fits += fitting(other, step->spec);
		}
		if (fits > most) {
			most = fits;
			best = worker->rack;
		}
	}
	return best;
}

/*
 * Lower is better.  Between workers that are alike, tasks that end go where
 * most is taken, so that others stay empty and can be given back.
 */
static double cost(const batch_pool_t *pool, const batch_worker_t *worker,
		   const batch_task_t *task)
{
	const batch_step_spec_t *spec = task->step->spec;
	double cost =
		-(double)worker->used.cpu / (double)(worker->capacity.cpu + 1);

	if (task->avoid == worker)
		cost += PLACE_AVOID;
	if (spec->data_rack.len &&
	    !base_str_eq(base_str(worker->rack), spec->data_rack))
		cost += PLACE_REMOTE;
	if (spec->lasting) {
		cost = -cost;
		cost += 4 * disturbance(worker, spec);
		cost += rack_siblings(pool, worker->rack, task->step);
	}
	return cost;
}

static batch_worker_t *choose(const batch_pool_t *pool,
			      const batch_task_t *task, int64_t now, bool room)
{
	const char *home =
		task->step->spec->same_rack ? home_rack(pool, task, now) : NULL;
	batch_worker_t *best = NULL;
	double best_cost = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);
		double now_cost;

		if (!batch_fit_allows(worker, task, now) ||
		    batch_fit_room(worker, task->step->spec) != room)
			continue;
		now_cost = cost(pool, worker, task);
		if (home && strcmp(home, worker->rack))
			now_cost += PLACE_REMOTE;
		if (!best || now_cost < best_cost) {
			best = worker;
			best_cost = now_cost;
		}
	}
	return best;
}

/* "task" was placed now, which makes something known of its step. */
static void note_step(const batch_task_t *task, batch_note_kind_t kind,
		      const char *why, int64_t value)
{
	const batch_worker_t *worker = task->run->worker;
	batch_t *core = task->step->occ->job->core;

	batch_note(core,
		   &(batch_note_t){ .kind = kind,
				    .task = batch_task_name(task),
				    .run = task->number,
				    .worker = base_str(worker->id),
				    .why = why,
				    .value = value,
				    .age = task->run->since - worker->heard });
}

/* A run was made for the task: the job's row changes. */
static void announce(batch_task_t *task, int64_t now)
{
	batch_step_t *step = task->step;
	batch_job_t *job = step->occ->job;
	batch_worker_t *worker = task->run->worker;

	if (worker->claimed == task)
		worker->claimed = NULL;
	if (!job->begun)
		job->begun = true;
	if (job->state == BATCH_QUEUED)
		job->state = BATCH_RUNNING;
	batch_job_changed(job);
	step->placed += task->run->number == 1;
	if (!step->begun) {
		step->begun = true;
		step->begun_at = now;
		note_step(task, BATCH_NOTE_STEP_STARTED,
			  "since arrival, microseconds", now - job->arrived);
	} else if (task->run->number == 1 &&
		   step->placed == step->spec->count && step->begun_at &&
		   now - step->begun_at > PLACE_NOTE_AFTER) {
		note_step(task, BATCH_NOTE_STEP_PLACED,
			  "last task, since the first, microseconds",
			  now - step->begun_at);
	}
}

/* Keep the room that comes free somewhere for a lasting task. */
static void claim(const batch_pool_t *pool, const batch_task_t *task,
		  int64_t now)
{
	batch_worker_t *worker = choose(pool, task, now, false);

	if (!worker || worker->claimed)
		return;
	worker->claimed = task;
	worker->claimed_at = now;
}

static bool has_claim(const batch_pool_t *pool, const batch_task_t *task)
{
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		if (worker->claimed == task)
			return true;
	}
	return false;
}

/* Whether a task with this need may run on any worker of its pool. */
static bool goes_anywhere(const batch_task_t *task)
{
	const batch_step_spec_t *spec = task->step->spec;

	return !spec->lasting && !spec->fills && !spec->label.len &&
	       !spec->per_worker && !task->step->occ->job->queue->advised;
}

static bool needs_as_much(const batch_res_t *need, const batch_res_t *other)
{
	return need->cpu >= other->cpu && need->memory >= other->memory &&
	       need->gpu >= other->gpu;
}

/* In one pass room only gets less: what needs as much as one that found none
 * finds none either. */
static bool is_full(const batch_pool_t *pool, const batch_task_t *task)
{
	return pool->full && goes_anywhere(task) &&
	       needs_as_much(&task->step->spec->need, &pool->full_need);
}

static void note_full(batch_pool_t *pool, const batch_task_t *task)
{
	if (!goes_anywhere(task) ||
	    (pool->full &&
	     !needs_as_much(&pool->full_need, &task->step->spec->need)))
		return;
	pool->full = true;
	pool->full_need = task->step->spec->need;
}

static bool place_task(batch_pool_t *pool, batch_task_t *task, int64_t now)
{
	batch_worker_t *worker;

	if (is_full(pool, task))
		return false;
	worker = choose(pool, task, now, true);
	if (worker) {
		batch_run_new(task, worker, now, task->number + 1);
		announce(task, now);
		return true;
	}
	note_full(pool, task);
	if (task->step->spec->lasting && !has_claim(pool, task))
		claim(pool, task, now);
	return false;
}

/* All members start, with one number, or none. */
static void place_gang(batch_pool_t *pool, batch_step_t *step, int64_t now)
{
	int64_t number = 0;
	bool complete;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].run || step->tasks[i].done)
			return;
		if (step->tasks[i].number > number)
			number = step->tasks[i].number;
	}
	for (i = 0; i < step->spec->count; i++) {
		batch_worker_t *worker =
			choose(pool, &step->tasks[i], now, true);

		if (!worker)
			break;
		batch_run_new(&step->tasks[i], worker, now, number + 1);
	}
	complete = i == step->spec->count;
	while (i-- > 0)
		if (complete) {
			announce(&step->tasks[i], now);
		} else {
			batch_run_free(step->tasks[i].run);
			step->tasks[i].number = number;
		}
}

static void place_step(batch_pool_t *pool, batch_step_t *step, int64_t now)
{
	int i;

	if (step->done == step->spec->count || !batch_step_open(step))
		return;
	if (step->spec->gang) {
		place_gang(pool, step, now);
		return;
	}
	for (i = 0; i < step->spec->count; i++) {
		batch_task_t *task = &step->tasks[i];

		if (task->done || task->run)
			continue;
		/* Tasks of a step are alike: the next one fits no better. */
		if (!place_task(pool, task, now) && !step->spec->lasting)
			return;
	}
}

static void place_job(batch_pool_t *pool, batch_job_t *job, int64_t now)
{
	guint i;
	int s;

	for (i = 0; i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			place_step(pool, &occ->steps[s], now);
	}
}

static bool job_lasts(const batch_job_t *job)
{
	int i;

	for (i = 0; i < job->spec.n_steps; i++)
		if (job->spec.steps[i].lasting)
			return true;
	return false;
}

static int rank_cmp(const void *a, const void *b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;

	if (x->group != y->group)
		return x->group - y->group;
	/* Of what goes last, that which may still make it. */
	if (x->slack != y->slack)
		return (x->slack < y->slack) != (x->group == RANK_LAST) ? -1
									: 1;
	return strcmp(x->job->id, y->job->id);
}

static ranked_t rank(batch_job_t *job, int64_t now)
{
	ranked_t ranked = { .job = job, .group = RANK_NEW };
	int64_t objective = batch_objective(job);
	int64_t whole = objective - batch_chain(job, false);
	bool timed = job->spec.repeat > 0; /* its objective is not ours */
	int64_t least = job->begun
				? -PLACE_SLACK_ERROR
				: (int64_t)(PLACE_FRESH_PART * (double)whole);

	ranked.slack = job->arrived + objective - now - batch_chain(job, true);
	if (job_lasts(job))
		ranked.group = RANK_LASTING;
	else if (ranked.slack < least && !timed)
		ranked.group = RANK_LAST;
	else if (job->begun || timed)
		ranked.group = RANK_BEGUN;
	return ranked;
}

static void drop_stale_claims(const batch_pool_t *pool, int64_t now)
{
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		/* Placing sets it again where the task still waits. */
		if (worker->claimed && now - worker->claimed_at > CLAIM_MAX)
			worker->claimed = NULL;
	}
}

/* Occurrences whose time has come. */
static void open_due(batch_job_t *job, int64_t wall)
{
	int next = (int)job->occs->len;

	while (next < job->spec.repeat &&
	       job->spec.first_at + next * job->spec.interval <= wall)
		batch_occ_new(job, next++);
}

static void drop_ended_claims(batch_t *core)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (worker->claimed &&
		    (worker->claimed->run ||
		     !batch_job_open(worker->claimed->step->occ->job)))
			worker->claimed = NULL;
	}
}

void batch_place(batch_t *core, int64_t now, int64_t wall)
{
	ranked_t *ranks = talloc_array(core, ranked_t, core->open->len);
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;
	guint i;

	drop_ended_claims(core);
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		drop_stale_claims(value, now);
		((batch_pool_t *)value)->full = false;
	}
	for (i = 0; i < core->open->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->open, i);

		if (!batch_job_open(job) || !job->stored || !job->queue)
			continue;
		if (job->spec.repeat)
			open_due(job, wall);
		ranks[n++] = rank(job, now);
	}
	qsort(ranks, n, sizeof(*ranks), rank_cmp);
	for (i = 0; i < n; i++)
		place_job(ranks[i].job->queue->pool, ranks[i].job, now);
	for (i = 0; i < n && batch_advice_job(ranks[i].job, now); i++)
		;
	talloc_free(ranks);
}

bool batch_place_elsewhere(const batch_task_t *task, int64_t now)
{
	const batch_job_t *job = task->step->occ->job;

	return choose(job->queue->pool, task, now, true) != NULL;
}

void batch_step(batch_t *core, int64_t now, int64_t wall)
{
	batch_runs_tick(core, now);
	batch_health_tick(core, now);
	batch_admit_tick(core, now);
	batch_evacuate(core, now);
	/* Without an event only time can have changed something. */
	if (!core->changed && now - core->placed_at < BATCH_STEP)
		return;
	core->changed = false;
	core->placed_at = now;
	batch_place(core, now, wall);
}
