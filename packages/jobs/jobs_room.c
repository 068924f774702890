/*
 * Preemption for urgent jobs: selects the tasks to preempt, and the order that
 * each gets.
 *
 * A task is checkpointed if possible, else throttled, else stopped; one that
 * does not answer in time gets the next, stricter order.  Tasks of urgent jobs
 * are never preempted, and tasks that must not run twice are only throttled.
 */
#include "jobs_int.h"

#define PREEMPT_VICTIMS_MAX 64 /* tasks preempted for one job */

/* Jobs that are not urgent may reserve about one worker in this many. */
#define RESERVATIONS_DIVISOR 16

/* Cost of each order in seconds of lost work; a stop adds the run time. */
#define COST_CHECKPOINT 1.0
#define COST_THROTTLE 2.0
#define COST_STOP 10.0

typedef struct victim {
	jobs_task_t *task;
	jobs_order_kind_t order;
	jobs_res_t frees;
	double cost;
} victim_t;

typedef struct plan {
	victim_t v[PREEMPT_VICTIMS_MAX];
	int n;
	double cost;
} plan_t;

static bool plan_preemption(const jobs_worker_t *worker,
			    const jobs_res_t *deficit, int64_t now,
			    bool skip_checkpoint, plan_t *plan);
static bool victim_init(jobs_task_t *task, const jobs_res_t *deficit,
			int64_t now, bool skip_checkpoint, victim_t *victim);
static void drop_unneeded_victims(plan_t *plan, const jobs_res_t *deficit);
static void apply_plan(jobs_t *jobs, int64_t now, const plan_t *plan);
static jobs_res_t throttle_savings(const jobs_task_t *task);
static bool only_cores(const jobs_res_t *deficit);
static int by_cost(const void *a, const void *b);
static jobs_worker_t *find_preemption_target(jobs_t *jobs, int64_t now,
					     jobs_job_t *job,
					     const jobs_res_t *need,
					     plan_t *best);
static void reserve_worker(jobs_t *jobs, int64_t now, jobs_job_t *job,
			   jobs_worker_t *worker, const jobs_res_t *need);
static void escalate(jobs_t *jobs, int64_t now);
static void escalate_task(jobs_t *jobs, int64_t now, jobs_task_t *task);
static void preempt_overcommitted(jobs_t *jobs, int64_t now);
static void reservations_step(jobs_t *jobs, int64_t now);
static void reservation_step(jobs_t *jobs, int64_t now, jobs_job_t *job);
static void resume_throttled(jobs_t *jobs, int64_t now);
static bool resume_tasks_on(jobs_t *jobs, int64_t now, jobs_worker_t *worker);

jobs_res_t jobs_preemptible_share(const jobs_task_t *task)
{
	const jobs_spec_t *spec = &task->job->spec;
	const jobs_res_t none = { { 0 } };

	if (task->state != JOBS_TASK_RUNNING || task->has_order ||
	    !spec->urgency)
		return none;
	if (spec->repeatable)
		return task->share;
	return spec->throttles && !task->throttled ? throttle_savings(task)
						   : none;
}

bool jobs_reserve(jobs_t *jobs, int64_t now, jobs_job_t *job,
		  const jobs_res_t *need)
{
	jobs_worker_t *worker;
	plan_t plan;

	if (job->spec.urgency &&
	    g_queue_get_length(&jobs->reservations) * RESERVATIONS_DIVISOR >
		    g_hash_table_size(jobs->workers))
		return false;
	worker = find_preemption_target(jobs, now, job, need, &plan);
	if (!worker)
		return false;
	job->reservation_preempts = !job->spec.urgency;
	reserve_worker(jobs, now, job, worker, need);
	if (job->reservation_preempts)
		apply_plan(jobs, now, &plan);
	return true;
}

void jobs_unreserve(jobs_t *jobs, jobs_job_t *job)
{
	jobs_worker_t *worker = job->reserved_worker;

	if (!worker)
		return;
	g_queue_unlink(&jobs->reservations, &job->reservation_link);
	job->reserved_worker = NULL;
	worker->reserved_for = NULL;
	jobs_sub(&worker->allocated, &job->reserved_share);
	jobs_sub(&job->team->used, &job->reserved_share);
	jobs_team_changed(jobs, job->team);
	jobs_worker_changed(jobs, worker);
}

void jobs_preempt_step(jobs_t *jobs, int64_t now)
{
	escalate(jobs, now);
	preempt_overcommitted(jobs, now);
	reservations_step(jobs, now);
	resume_throttled(jobs, now);
}

jobs_res_t jobs_deficit(const jobs_worker_t *worker)
{
	jobs_res_t avail = jobs_worker_free(worker), none = { { 0 } };

	for (GList *l = worker->tasks.head; l; l = l->next) {
		const jobs_task_t *task = l->data;
		jobs_res_t part;

		if (task->order == JOBS_ORDER_THROTTLE)
			part = throttle_savings(task);
		else if (task->order == JOBS_ORDER_STOP ||
			 task->order == JOBS_ORDER_CHECKPOINT)
			part = task->share;
		else
			continue;
		jobs_add(&avail, &part);
	}
	return jobs_difference(&none, &avail);
}

/* The cheapest tasks that cover the deficit, each with the mildest order. */
static bool plan_preemption(const jobs_worker_t *worker,
			    const jobs_res_t *deficit, int64_t now,
			    bool skip_checkpoint, plan_t *plan)
{
	victim_t all[PREEMPT_VICTIMS_MAX];
	jobs_res_t left = *deficit;
	size_t n = 0;

	plan->n = 0;
	for (GList *l = worker->tasks.head; l && n < PREEMPT_VICTIMS_MAX;
	     l = l->next)
		if (victim_init(l->data, deficit, now, skip_checkpoint,
				&all[n]))
			n++;
	qsort(all, n, sizeof(*all), by_cost);
	for (size_t i = 0; i < n; i++) {
		const jobs_res_t none = { { 0 } };

		if (jobs_fits(&left, &none))
			break;
		plan->v[plan->n++] = all[i];
		jobs_sub(&left, &all[i].frees);
	}
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		if (left.v[k] > 0)
			return false;
	drop_unneeded_victims(plan, deficit);
	return true;
}

static bool victim_init(jobs_task_t *task, const jobs_res_t *deficit,
			int64_t now, bool skip_checkpoint, victim_t *victim)
{
	const jobs_spec_t *spec = &task->job->spec;
	double ran = (double)(now - task->started_at_us) / JOBS_SECOND;
	jobs_res_t frees = jobs_preemptible_share(task);
	const jobs_res_t none = { { 0 } };

	if (jobs_fits(&frees, &none))
		return false;
	*victim = (victim_t){ task, JOBS_ORDER_STOP, frees,
			      COST_STOP + MAX(ran, 0) };
	if (spec->checkpoints && spec->repeatable && !skip_checkpoint) {
		victim->order = JOBS_ORDER_CHECKPOINT;
		victim->cost = COST_CHECKPOINT;
	} else if (spec->throttles && !task->throttled &&
		   (only_cores(deficit) || !spec->repeatable)) {
		victim->order = JOBS_ORDER_THROTTLE;
		victim->frees = throttle_savings(task);
		victim->cost = COST_THROTTLE;
	}
	return true;
}

/* Drops victims that the deficit does not need, the most expensive first. */
static void drop_unneeded_victims(plan_t *plan, const jobs_res_t *deficit)
{
	jobs_res_t freed = { { 0 } };
	int kept = 0;

	for (int i = 0; i < plan->n; i++)
		jobs_add(&freed, &plan->v[i].frees);
	plan->cost = 0;
	for (int i = plan->n; i-- > 0;) {
		jobs_res_t without = jobs_difference(&freed, &plan->v[i].frees);

		if (jobs_fits(deficit, &without)) {
			freed = without;
			plan->v[i].order = JOBS_ORDER_NONE;
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

static void apply_plan(jobs_t *jobs, int64_t now, const plan_t *plan)
{
	for (int i = 0; i < plan->n; i++) {
		plan->v[i].task->preempted = true;
		jobs->stats.preemptions++;
		jobs_task_order(jobs, now, plan->v[i].task, plan->v[i].order);
	}
}

static jobs_res_t throttle_savings(const jobs_task_t *task)
{
	jobs_res_t part = { { 0 } };
	int64_t cores = task->share.v[JOBS_CORES];

	part.v[JOBS_CORES] = cores - cores / JOBS_THROTTLE_DIVISOR;
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

static jobs_worker_t *find_preemption_target(jobs_t *jobs, int64_t now,
					     jobs_job_t *job,
					     const jobs_res_t *need,
					     plan_t *best)
{
	jobs_worker_t *chosen = NULL, *worker;
	int64_t visits = INT64_MAX;
	size_t from = 0;
	int n_candidates = 0;

	while (n_candidates < JOBS_PREEMPT_CANDIDATES) {
		jobs_res_t avail, deficit;
		plan_t plan;

		worker = jobs_tree_find(jobs->tree, JOBS_AVAIL_PREEMPTIBLE,
					need, &from, &visits);
		if (!worker)
			break;
		if (jobs_failed_on(job, worker) ||
		    job->avoid_serial == worker->serial)
			continue;
		avail = jobs_worker_free(worker);
		deficit = jobs_difference(need, &avail);
		if (!plan_preemption(worker, &deficit, now,
				     job->skip_checkpoint, &plan))
			continue;
		n_candidates++;
		if (!chosen || plan.cost < best->cost) {
			chosen = worker;
			*best = plan;
		}
	}
	jobs->stats.searches++;
	jobs->stats.nodes_visited += (uint64_t)(INT64_MAX - visits);
	return chosen;
}

/* Reserves the amounts on the worker and charges them to the job's team. */
static void reserve_worker(jobs_t *jobs, int64_t now, jobs_job_t *job,
			   jobs_worker_t *worker, const jobs_res_t *need)
{
	jobs_dequeue(jobs, job);
	job->reserved_worker = worker;
	job->reserved_share = *need;
	job->reserved_at_us = now;
	job->reason = JOBS_REASON_RESERVED;
	worker->reserved_for = job;
	g_queue_push_tail_link(&jobs->reservations, &job->reservation_link);
	jobs_add(&worker->allocated, need);
	jobs_add(&job->team->used, need);
	jobs_team_changed(jobs, job->team);
	jobs_worker_changed(jobs, worker);
}

/* The queue is sorted by time of order; escalating moves a task to the end. */
static void escalate(jobs_t *jobs, int64_t now)
{
	for (;;) {
		jobs_task_t *task = g_queue_peek_head(&jobs->orders);

		if (!task || now - task->ordered_at_us < JOBS_ORDER_TIMEOUT_US)
			break;
		escalate_task(jobs, now, task);
	}
}

static void escalate_task(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	const jobs_spec_t *spec = &task->job->spec;
	jobs_res_t deficit = jobs_deficit(task->worker);
	jobs_order_kind_t next = task->order;

	/*
	 * The task's worker is silent; the task gets a new order when the
	 * worker reports again.
	 */
	if (task->state == JOBS_TASK_LAPSED) {
		jobs_task_answered(jobs, task);
		return;
	}
	/*
	 * On a draining worker a checkpoint order is only repeated here;
	 * jobs_drain.c replaces it by a stop.
	 */
	if (task->order == JOBS_ORDER_CHECKPOINT && !task->worker->draining) {
		jobs_add(&deficit, &task->share);
		next = JOBS_ORDER_STOP;
		if (spec->throttles && !task->throttled && only_cores(&deficit))
			next = JOBS_ORDER_THROTTLE;
	} else if (task->order == JOBS_ORDER_THROTTLE && spec->repeatable) {
		next = JOBS_ORDER_STOP;
	}
	jobs_task_order(jobs, now, task, next);
}

/* Preempts on workers whose tasks use more than the capacity. */
static void preempt_overcommitted(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->overcommitted.head, *next; l; l = next) {
		jobs_worker_t *worker = l->data;
		jobs_res_t deficit = jobs_deficit(worker);
		const jobs_res_t none = { { 0 } };
		plan_t plan;

		next = l->next;
		if (worker->reserved_for)
			jobs_sub(&deficit,
				 &worker->reserved_for->reserved_share);
		if (!jobs_fits(&deficit, &none) &&
		    plan_preemption(worker, &deficit, now, false, &plan))
			apply_plan(jobs, now, &plan);
	}
}

static void reservations_step(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->reservations.head, *next; l; l = next) {
		next = l->next;
		reservation_step(jobs, now, l->data);
	}
}

static void reservation_step(jobs_t *jobs, int64_t now, jobs_job_t *job)
{
	jobs_worker_t *worker = job->reserved_worker;
	jobs_res_t avail = jobs_worker_free(worker), need = job->reserved_share;
	bool usable = jobs_worker_accepts_tasks(worker) &&
		      worker->health == JOBS_HEALTHY;

	if (usable && !jobs_is_negative(&avail)) {
		jobs_unreserve(jobs, job);
		jobs_start_on(jobs, now, job, worker, &need);
	} else if (!usable ||
		   (job->reservation_preempts &&
		    now - job->reserved_at_us >= JOBS_PREEMPT_TIMEOUT_US)) {
		job->skip_checkpoint = true;
		job->avoid_serial = worker->serial;
		jobs_unreserve(jobs, job);
		jobs_requeue(jobs, now, job, true);
	}
}

static void resume_throttled(jobs_t *jobs, int64_t now)
{
	for (GList *l = jobs->throttled.head, *next; l; l = next) {
		jobs_worker_t *worker = l->data;

		next = l->next;
		if (resume_tasks_on(jobs, now, worker))
			continue;
		worker->has_throttled = false;
		g_queue_unlink(&jobs->throttled, l);
	}
}

/* Returns true if the worker has throttled tasks. */
static bool resume_tasks_on(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	bool any = false;

	for (GList *l = worker->tasks.head; l; l = l->next) {
		jobs_task_t *task = l->data;
		jobs_res_t avail = jobs_worker_free(worker);
		jobs_res_t more = jobs_difference(&task->full, &task->share);

		if (!task->throttled)
			continue;
		any = true;
		if (task->has_order || task->state != JOBS_TASK_RUNNING ||
		    worker->reserved_for || !jobs_fits(&more, &avail))
			continue;
		jobs_task_set_share(jobs, task, &task->full);
		jobs_task_order(jobs, now, task, JOBS_ORDER_RESUME);
	}
	return any;
}
