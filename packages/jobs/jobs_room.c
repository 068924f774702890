/*
 * Room for urgent jobs: which tasks yield, and how.
 *
 * A task is asked to checkpoint, else to throttle, else it is stopped; one
 * that does not answer in time gets the next, harder order.  A task of an
 * urgent job never yields, and one that must not run twice is only throttled.
 */
#include "jobs_int.h"

#define VICTIMS_MAX 64 /* tasks that yield to one job */

#define CLAIMS_KEPT 16 /* one worker in so many may be kept for a large job */

/* What a way to yield costs, in seconds of work lost; what ran is added. */
#define COST_CHECKPOINT 1.0
#define COST_THROTTLE 2.0
#define COST_STOP 10.0

typedef struct victim {
	jobs_task_t *task;
	jobs_effect_t order;
	jobs_res_t gives;
	double cost;
} victim_t;

typedef struct plan {
	victim_t v[VICTIMS_MAX];
	int n;
	double cost;
} plan_t;

static bool plan_for(const jobs_worker_t *worker, const jobs_res_t *deficit,
		     int64_t now, bool hasty, plan_t *plan);
static bool victim_of(jobs_task_t *task, const jobs_res_t *deficit, int64_t now,
		      bool hasty, victim_t *victim);
static void prune(plan_t *plan, const jobs_res_t *deficit);
static void carry_out(jobs_t *jobs, int64_t now, const plan_t *plan);
static jobs_res_t throttled_part(const jobs_task_t *task);
static bool only_cores(const jobs_res_t *deficit);
static int by_cost(const void *a, const void *b);
static jobs_worker_t *best_to_clear(jobs_t *jobs, int64_t now, jobs_job_t *job,
				    const jobs_res_t *need, plan_t *best);
static void claim_on(jobs_t *jobs, int64_t now, jobs_job_t *job,
		     jobs_worker_t *worker, const jobs_res_t *need);
static void escalate(jobs_t *jobs, int64_t now);
static void escalate_task(jobs_t *jobs, int64_t now, jobs_task_t *task);
static void relieve(jobs_t *jobs, int64_t now);
static void claims_step(jobs_t *jobs, int64_t now);
static void claim_step(jobs_t *jobs, int64_t now, jobs_job_t *job);
static void resume(jobs_t *jobs, int64_t now);
static bool resume_on(jobs_t *jobs, int64_t now, jobs_worker_t *worker);

jobs_res_t jobs_yield_of(const jobs_task_t *task)
{
	const jobs_spec_t *spec = &task->job->spec;
	const jobs_res_t none = { { 0 } };

	if (task->state != JOBS_TASK_RUNNING || task->ordered || !spec->urgency)
		return none;
	if (spec->repeatable)
		return task->share;
	return spec->throttles && !task->throttled ? throttled_part(task)
						   : none;
}

bool jobs_claim(jobs_t *jobs, int64_t now, jobs_job_t *job,
		const jobs_res_t *need)
{
	jobs_worker_t *worker;
	plan_t plan;

	if (job->spec.urgency &&
	    g_queue_get_length(&jobs->claims) * CLAIMS_KEPT >
		    g_hash_table_size(jobs->workers))
		return false;
	worker = best_to_clear(jobs, now, job, need, &plan);
	if (!worker)
		return false;
	job->claim_clears = !job->spec.urgency;
	claim_on(jobs, now, job, worker, need);
	if (job->claim_clears)
		carry_out(jobs, now, &plan);
	return true;
}

void jobs_unclaim(jobs_t *jobs, jobs_job_t *job)
{
	jobs_worker_t *worker = job->claim;

	if (!worker)
		return;
	g_queue_unlink(&jobs->claims, &job->claim_link);
	job->claim = NULL;
	worker->claim = NULL;
	jobs_sub(&worker->taken, &job->claim_share);
	jobs_sub(&job->team->used, &job->claim_share);
	jobs_team_moved(jobs, job->team);
	jobs_worker_moved(jobs, worker);
}

void jobs_room_step(jobs_t *jobs, int64_t now)
{
	escalate(jobs, now);
	relieve(jobs, now);
	claims_step(jobs, now);
	resume(jobs, now);
}

jobs_res_t jobs_deficit(const jobs_worker_t *worker)
{
	jobs_res_t room = jobs_worker_free(worker), none = { { 0 } };

	for (GList *l = worker->tasks.head; l; l = l->next) {
		const jobs_task_t *task = l->data;
		jobs_res_t part;

		if (task->order == JOBS_EFFECT_THROTTLE)
			part = throttled_part(task);
		else if (task->order == JOBS_EFFECT_STOP ||
			 task->order == JOBS_EFFECT_CHECKPOINT)
			part = task->share;
		else
			continue;
		jobs_add(&room, &part);
	}
	return jobs_less(&none, &room);
}

/* The cheapest tasks that cover the deficit, each in its mildest way. */
static bool plan_for(const jobs_worker_t *worker, const jobs_res_t *deficit,
		     int64_t now, bool hasty, plan_t *plan)
{
	victim_t all[VICTIMS_MAX];
	jobs_res_t left = *deficit;
	size_t n = 0;

	plan->n = 0;
	for (GList *l = worker->tasks.head; l && n < VICTIMS_MAX; l = l->next)
		if (victim_of(l->data, deficit, now, hasty, &all[n]))
			n++;
	qsort(all, n, sizeof(*all), by_cost);
	for (size_t i = 0; i < n; i++) {
		const jobs_res_t none = { { 0 } };

		if (jobs_fits(&left, &none))
			break;
		plan->v[plan->n++] = all[i];
		jobs_sub(&left, &all[i].gives);
	}
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		if (left.v[k] > 0)
			return false;
	prune(plan, deficit);
	return true;
}

static bool victim_of(jobs_task_t *task, const jobs_res_t *deficit, int64_t now,
		      bool hasty, victim_t *victim)
{
	const jobs_spec_t *spec = &task->job->spec;
	double ran = (double)(now - task->started_at) / JOBS_SECOND;
	jobs_res_t gives = jobs_yield_of(task);
	const jobs_res_t none = { { 0 } };

	if (jobs_fits(&gives, &none))
		return false;
	*victim = (victim_t){ task, JOBS_EFFECT_STOP, gives,
			      COST_STOP + MAX(ran, 0) };
	if (spec->checkpoints && spec->repeatable && !hasty) {
		victim->order = JOBS_EFFECT_CHECKPOINT;
		victim->cost = COST_CHECKPOINT;
	} else if (spec->throttles && !task->throttled &&
		   (only_cores(deficit) || !spec->repeatable)) {
		victim->order = JOBS_EFFECT_THROTTLE;
		victim->gives = throttled_part(task);
		victim->cost = COST_THROTTLE;
	}
	return true;
}

/* The dearest first: spare those without which it is still enough. */
static void prune(plan_t *plan, const jobs_res_t *deficit)
{
	jobs_res_t given = { { 0 } };
	int kept = 0;

	for (int i = 0; i < plan->n; i++)
		jobs_add(&given, &plan->v[i].gives);
	plan->cost = 0;
	for (int i = plan->n; i-- > 0;) {
		jobs_res_t less = jobs_less(&given, &plan->v[i].gives);

		if (jobs_fits(deficit, &less)) {
			given = less;
			plan->v[i].order = JOBS_EFFECT_NONE;
		}
	}
	for (int i = 0; i < plan->n; i++) {
		if (!plan->v[i].order)
			continue;
		plan->cost += plan->v[i].cost;
		plan->v[kept++] = plan->v[i];
	}
	plan->n = kept;
}

static void carry_out(jobs_t *jobs, int64_t now, const plan_t *plan)
{
	for (int i = 0; i < plan->n; i++) {
		plan->v[i].task->yields = true;
		jobs->stats.yields++;
		jobs_task_order(jobs, now, plan->v[i].task, plan->v[i].order);
	}
}

static jobs_res_t throttled_part(const jobs_task_t *task)
{
	jobs_res_t part = { { 0 } };
	int64_t cores = task->share.v[JOBS_CORES];

	part.v[JOBS_CORES] = cores - cores / JOBS_THROTTLE_PART;
	return part;
}

static bool only_cores(const jobs_res_t *deficit)
{
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		if (k != JOBS_CORES && deficit->v[k] > 0)
			return false;
	return true;
}

static int by_cost(const void *a, const void *b)
{
	const victim_t *x = a, *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return (x->task->attempt > y->task->attempt) -
	       (x->task->attempt < y->task->attempt);
}

static jobs_worker_t *best_to_clear(jobs_t *jobs, int64_t now, jobs_job_t *job,
				    const jobs_res_t *need, plan_t *best)
{
	jobs_worker_t *chosen = NULL, *worker;
	int64_t visits = INT64_MAX;
	size_t from = 0;
	int weighed = 0;

	while (weighed < JOBS_CANDIDATES) {
		jobs_res_t room, deficit;
		plan_t plan;

		worker = jobs_tree_find(jobs->tree, JOBS_ROOM_YIELD, need,
					&from, &visits);
		if (!worker)
			break;
		if (jobs_tried(job, worker) || job->avoid == worker->serial)
			continue;
		room = jobs_worker_free(worker);
		deficit = jobs_less(need, &room);
		if (!plan_for(worker, &deficit, now, job->hasty, &plan))
			continue;
		weighed++;
		if (!chosen || plan.cost < best->cost) {
			chosen = worker;
			*best = plan;
		}
	}
	jobs->stats.searches++;
	jobs->stats.visited += (uint64_t)(INT64_MAX - visits);
	return chosen;
}

/* From here on the room is kept for the job and counts against its team. */
static void claim_on(jobs_t *jobs, int64_t now, jobs_job_t *job,
		     jobs_worker_t *worker, const jobs_res_t *need)
{
	jobs_dequeue(jobs, job);
	job->claim = worker;
	job->claim_share = *need;
	job->claim_at = now;
	job->why = JOBS_WHY_CLAIM;
	worker->claim = job;
	g_queue_push_tail_link(&jobs->claims, &job->claim_link);
	jobs_add(&worker->taken, need);
	jobs_add(&job->team->used, need);
	jobs_team_moved(jobs, job->team);
	jobs_worker_moved(jobs, worker);
}

/* Orders stand in the order of their times; a new one goes to the end. */
static void escalate(jobs_t *jobs, int64_t now)
{
	for (;;) {
		jobs_task_t *task = g_queue_peek_head(&jobs->orders);

		if (!task || now - task->order_at < JOBS_SOFT_US)
			break;
		escalate_task(jobs, now, task);
	}
}

static void escalate_task(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	const jobs_spec_t *spec = &task->job->spec;
	jobs_res_t deficit = jobs_deficit(task->worker);
	jobs_effect_t next = task->order;

	/* Its worker is silent; it is told again when it is heard of. */
	if (task->state == JOBS_TASK_DOUBT) {
		jobs_task_answered(jobs, task);
		return;
	}
	/* On a worker that drains it is asked again; jobs_drain.c hardens. */
	if (task->order == JOBS_EFFECT_CHECKPOINT && !task->worker->draining) {
		jobs_add(&deficit, &task->share);
		next = JOBS_EFFECT_STOP;
		if (spec->throttles && !task->throttled && only_cores(&deficit))
			next = JOBS_EFFECT_THROTTLE;
	} else if (task->order == JOBS_EFFECT_THROTTLE && spec->repeatable) {
		next = JOBS_EFFECT_STOP;
	}
	jobs_task_order(jobs, now, task, next);
}

/* Tasks that turned out larger than was kept for them. */
static void relieve(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->over.head, *next; l; l = next) {
		jobs_worker_t *worker = l->data;
		jobs_res_t deficit = jobs_deficit(worker);
		const jobs_res_t none = { { 0 } };
		plan_t plan;

		next = l->next;
		if (worker->claim)
			jobs_sub(&deficit, &worker->claim->claim_share);
		if (!jobs_fits(&deficit, &none) &&
		    plan_for(worker, &deficit, now, false, &plan))
			carry_out(jobs, now, &plan);
	}
}

static void claims_step(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->claims.head, *next; l; l = next) {
		next = l->next;
		claim_step(jobs, now, l->data);
	}
}

static void claim_step(jobs_t *jobs, int64_t now, jobs_job_t *job)
{
	jobs_worker_t *worker = job->claim;
	jobs_res_t room = jobs_worker_free(worker), need = job->claim_share;
	bool usable = jobs_worker_takes(worker) && worker->health == JOBS_FIT;

	if (usable && !jobs_negative(&room)) {
		jobs_unclaim(jobs, job);
		jobs_start_on(jobs, now, job, worker, &need);
	} else if (!usable || (job->claim_clears &&
			       now - job->claim_at >= JOBS_CLEAR_US)) {
		job->hasty = true;
		job->avoid = worker->serial;
		jobs_unclaim(jobs, job);
		jobs_requeue(jobs, now, job, true);
	}
}

static void resume(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->throttled.head, *next; l; l = next) {
		jobs_worker_t *worker = l->data;

		next = l->next;
		if (resume_on(jobs, now, worker))
			continue;
		worker->throttling = false;
		g_queue_unlink(&jobs->throttled, l);
	}
}

/* Whether it has throttled tasks. */
static bool resume_on(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	bool any = false;

	for (GList *l = worker->tasks.head; l; l = l->next) {
		jobs_task_t *task = l->data;
		jobs_res_t room = jobs_worker_free(worker);
		jobs_res_t more = jobs_less(&task->full, &task->share);

		if (!task->throttled)
			continue;
		any = true;
		if (task->ordered || task->state != JOBS_TASK_RUNNING ||
		    worker->claim || !jobs_fits(&more, &room))
			continue;
		jobs_task_share(jobs, task, &task->full);
		jobs_task_order(jobs, now, task, JOBS_EFFECT_RESUME);
	}
	return any;
}
