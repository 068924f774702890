/*
 * Chooses the next task to start and the worker that runs it.
 *
 * Jobs with long-running tasks are placed first, then jobs that have begun,
 * then jobs that have not, each in order of least slack.  Jobs that can no
 * longer meet their objective, and jobs that waited long for their first task,
 * get only the capacity that is left: when the demand of a queue exceeds its
 * pool, the order oldest first makes every job late, while recent first
 * completes the recent jobs in time.
 */
#include "batch_int.h"

/* Rank of a job in its pool; lower groups are placed first. */
typedef struct ranked {
	batch_job_t *job;
	int group;
	int64_t slack;
} ranked_t;

typedef enum rank_group {
	RANK_LONG_RUNNING,
	RANK_BEGUN,
	RANK_NEW,
	RANK_DEFERRED, /* job is late or waited long for its first task */
	RANK_MAX
} rank_group_t;

/*
 * A long-running task that does not fit on any worker reserves one for this
 * long, in which the short tasks there end.
 */
#define PLACE_RESERVE_TIMEOUT (3 * BASE_SEC)

/*
 * A job that has not begun is deferred once less than this part of its initial
 * slack is left.  In the load test with alternating demand, values between 1/2
 * and 2/3 complete the most jobs in time.
 */
#define PLACE_MIN_SLACK_PART 0.6
/*
 * Tolerance for errors of the slack, which uses rough run time estimates:
 * a tenth of a short task.
 */
#define PLACE_SLACK_ERROR (100 * BASE_MS)

/*
 * A step is logged as placed only if its last task was placed more than two
 * scheduling intervals after its first.
 */
#define PLACE_LOG_DELAY (2 * BATCH_PASS_INTERVAL)

/* A task without a place is logged once it waits this long, */
#define PLACE_WAIT_LOGGED BASE_SEC
/* again after this time, */
#define PLACE_WAIT_LOG_PERIOD (4 * BASE_SEC)
/* and no more than one task is logged in this time. */
#define PLACE_WAIT_LOG_GAP (100 * BASE_MS)

/*
 * No short task is placed while this many starts wait to be sent, so that the
 * next start goes to the job that needs it most by then.  It is what two
 * changes of the store hold: one is being stored while the next one fills.
 */
#define PLACE_UNSENT_MAX 256
/*
 * Occurrences of a job are opened until those that are not done have this many
 * tasks; one is open in any case.  Each task costs the holder memory and, while
 * it waits, time of each pass.
 */
#define PLACE_OPEN_TASKS_MAX 2000
/*
 * The same while the holder itself is too slow to send starts as they are
 * decided: about as many as one change of the store holds.
 */
#define PLACE_UNSENT_BUSY_MAX 64
/* Part of it for deferred jobs, which leave the rest to the others. */
#define PLACE_UNSENT_DEFERRED_PART 0.5
/*
 * The holder is busy when starts are answered later than this: several times
 * the round trip to a worker, which does not involve the store.
 */
#define PLACE_BUSY_ANSWER_TIME (10 * BASE_MS)
/*
 * A busy holder places no deferred jobs while a start takes longer than this
 * from its decision to being sent, a few times the usual time of a change.
 */
#define PLACE_SEND_DELAY_MAX (50 * BASE_MS)

/*
 * Least time between two passes, for each job that has not ended: several times
 * what a pass takes for it.
 */
#define PLACE_GAP_PER_JOB 8 /* microseconds */
/* Still short beside a task of a second. */
#define PLACE_GAP_MAX (20 * BASE_MS)

/*
 * Time between two checks of all workers for leases that have ended, stops to
 * repeat and runs to evacuate: a part of the shortest of these times.
 */
#define PLACE_SWEEP_INTERVAL (50 * BASE_MS)

/* Cost terms of a worker; its cpu utilization counts at most 1. */
/* Run times at least double on a worker of another rack. */
#define PLACE_COST_REMOTE_RACK 8
/* The task's last run failed or was refused on this worker. */
#define PLACE_COST_AVOID 16
/* A copy on the rack of the slow run; less than a rack without the data. */
#define PLACE_COST_COPY_RACK 2
/* More than a worker's runs: one without capacity is kept for a trial last. */
#define PLACE_COST_NO_CAPACITY 1000

/* Penalty for tasks that interfere on one worker: best-effort with serving
 * tasks, and long-running tasks with each other. */
static int interference(const batch_worker_t *worker,
			const batch_step_spec_t *spec)
{
	int n = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);
		const batch_step_spec_t *other = run->task->step->spec;

		if ((spec->best_effort && other->tail_target) ||
		    (spec->tail_target && other->best_effort))
			n += 4;
		else if (spec->long_running && other->long_running)
			n += 1;
	}
	return n;
}

/* Runs of the step on workers of the rack in this pool. */
static int rack_siblings(const batch_pool_t *pool, const char *rack,
			 const batch_step_t *step)
{
	int n = 0;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_run_t *run = step->tasks[i].run;

		n += run && run->worker->pool == pool &&
		     !strcmp(run->worker->rack, rack);
	}
	return n;
}

/* Number of tasks of the step that fit into the worker's free resources. */
static int64_t count_fitting(const batch_worker_t *worker,
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
 * Returns the preferred rack of a step that is slower when spread over racks:
 * the rack of its runs, else of its data, else where most of its tasks fit.
 * NULL if no rack is preferred.
 */
static const char *preferred_rack(const batch_pool_t *pool,
				  const batch_task_t *task, int64_t now)
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
				fits += count_fitting(other, step->spec);
		}
		if (fits > most) {
			most = fits;
			best = worker->rack;
		}
	}
	return best;
}

/*
 * Cost of running the task on the worker; lower is better.  Among equal workers
 * a task that ends prefers the most utilized one, so that others stay empty and
 * can be returned.  Long-running tasks prefer the least utilized one.
 */
static double cost(const batch_pool_t *pool, const batch_worker_t *worker,
		   const batch_task_t *task)
{
	const batch_step_spec_t *spec = task->step->spec;
	double cost =
		-(double)worker->used.cpu / (double)(worker->capacity.cpu + 1);

	if (task->avoid_worker == worker)
		cost += PLACE_COST_AVOID;
	if (spec->data_rack.len &&
	    !base_str_eq(base_str(worker->rack), spec->data_rack))
		cost += PLACE_COST_REMOTE_RACK;
	if (task->run && batch_step_may_copy(spec) &&
	    !strcmp(worker->rack, task->run->worker->rack))
		cost += PLACE_COST_COPY_RACK;
	if (spec->long_running) {
		cost = -cost;
		cost += 4 * interference(worker, spec);
		cost += rack_siblings(pool, worker->rack, task->step);
	}
	return cost;
}

/* Whether the cost depends on more than utilization and the avoided worker. */
static bool has_preference(const batch_step_spec_t *spec)
{
	return spec->long_running || spec->same_rack || spec->data_rack.len;
}

static batch_worker_t *choose_worker(const batch_pool_t *pool,
				     const batch_task_t *task, int64_t now,
				     bool has_capacity)
{
	const char *rack = task->step->spec->same_rack
				   ? preferred_rack(pool, task, now)
				   : NULL;
	batch_worker_t *best = NULL;
	double best_cost = 0;
	guint i;

	if (has_capacity && !has_preference(task->step->spec))
		return batch_room_find(pool, task, now);
	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);
		double worker_cost;

		if (batch_fit_has_capacity(worker, task->step->spec) !=
			    has_capacity ||
		    !batch_fit_allows(worker, task, now))
			continue;
		if (!has_capacity &&
		    !batch_fit_once_free(worker, task->step->spec))
			continue;
		worker_cost = cost(pool, worker, task);
		if (rack && strcmp(rack, worker->rack))
			worker_cost += PLACE_COST_REMOTE_RACK;
		if (!best || worker_cost < best_cost) {
			best = worker;
			best_cost = worker_cost;
		}
	}
	return best;
}

/* Logs an event of the step whose task was just placed. */
static void log_step(const batch_task_t *task, batch_log_event_kind_t kind,
		     const char *why, int64_t value)
{
	const batch_worker_t *worker = task->run->worker;
	batch_t *core = task->step->occ->job->core;

	batch_log_emit(core,
		       &(batch_log_event_t){ .kind = kind,
					     .task = batch_task_get_id(task),
					     .run = task->number,
					     .worker = base_str(worker->id),
					     .why = why,
					     .value = value,
					     .age = task->run->state_since -
						    worker->polled_at });
}

/* Updates step and job after a run was created; the job's row changes. */
static void record_placement(batch_task_t *task, int64_t now)
{
	batch_step_t *step = task->step;
	batch_job_t *job = step->occ->job;
	batch_worker_t *worker = task->run->worker;

	task->due_since = 0;
	batch_rack_wait_placed(task, now);
	batch_claim_drop(task);
	if (worker->reserved_for == task)
		worker->reserved_for = NULL;
	if (!job->start_decided)
		job->start_decided = true;
	if (job->state == BATCH_QUEUED)
		job->state = BATCH_RUNNING;
	batch_job_changed(job);
	step->placed += task->run->number == 1;
	if (!step->has_started) {
		step->has_started = true;
		step->begun_at = now;
		log_step(task, BATCH_LOG_STEP_STARTED,
			 "since arrival, microseconds", now - job->arrived);
	} else if (task->run->number == 1 &&
		   step->placed == step->spec->count && step->begun_at &&
		   now - step->begun_at > PLACE_LOG_DELAY) {
		log_step(task, BATCH_LOG_STEP_PLACED,
			 "time from first to last task, microseconds",
			 now - step->begun_at);
	}
}

/*
 * Reserves capacity that becomes free on a worker for a long-running task.
 * Returns whether there is such a worker.
 */
static bool reserve_worker(const batch_pool_t *pool, const batch_task_t *task,
			   int64_t now)
{
	batch_worker_t *worker = choose_worker(pool, task, now, false);

	if (!worker)
		return false;
	if (!worker->reserved_for) {
		worker->reserved_for = task;
		worker->reserved_at = now;
	}
	return true;
}

static bool has_reservation(const batch_pool_t *pool, const batch_task_t *task)
{
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		if (worker->reserved_for == task)
			return true;
	}
	return false;
}

/* Whether only free resources restrict which workers may run the task. */
static bool is_unconstrained(const batch_task_t *task)
{
	const batch_step_spec_t *spec = task->step->spec;

	return !spec->long_running && !spec->best_effort && !spec->label.len &&
	       !spec->max_per_worker && !task->step->occ->job->queue->advised &&
	       !batch_crash_needs_trial(task);
}

static bool needs_at_least(const batch_res_t *need, const batch_res_t *other)
{
	return need->cpu >= other->cpu && need->memory >= other->memory &&
	       need->gpu >= other->gpu;
}

/*
 * Free resources only decrease during one pass: a task that needs at least as
 * much as one that found no worker finds none either.
 */
static bool is_known_not_to_fit(const batch_pool_t *pool,
				const batch_task_t *task)
{
	return pool->full && is_unconstrained(task) &&
	       needs_at_least(&task->step->spec->need, &pool->full_need);
}

static void record_no_fit(batch_pool_t *pool, const batch_task_t *task)
{
	if (!is_unconstrained(task) ||
	    (pool->full &&
	     !needs_at_least(&pool->full_need, &task->step->spec->need)))
		return;
	pool->full = true;
	pool->full_need = task->step->spec->need;
}

/*
 * Keeps a worker free of other starts for a task on trial, until its present
 * runs are proven or have ended.
 */
static void reserve_for_trial(const batch_pool_t *pool,
			      const batch_task_t *task, int64_t now)
{
	batch_worker_t *best = NULL;
	int best_cost = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);
		bool fits = batch_fit_has_capacity(worker, task->step->spec);
		int cost;

		if (worker->reserved_for ||
		    !batch_fit_allows_later(worker, task, now))
			continue;
		cost = batch_crash_unsettled(worker, task, now) +
		       (fits ? 0 : PLACE_COST_NO_CAPACITY);
		if (!best || cost < best_cost) {
			best = worker;
			best_cost = cost;
		}
	}
	if (!best)
		return;
	best->reserved_for = task;
	best->reserved_at = now;
}

static bool fits_later(const batch_task_t *task, int64_t now)
{
	const batch_pool_t *pool = task->step->occ->job->queue->pool;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);

		if (batch_fit_once_free(worker, task->step->spec) &&
		    batch_fit_allows(worker, task, now))
			return true;
	}
	return false;
}

/* Whether there is a worker that could run the task if it were empty. */
static bool fits_empty_worker(const batch_t *core, const batch_task_t *task)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *worker = value;

		if (worker->listed &&
		    batch_fit_when_empty(worker, task->step->spec))
			return true;
	}
	return false;
}

/*
 * A long-running task that fits on no worker reserves one, unless it has one or
 * is on trial, or counts as what the pool lacks.
 */
static void await_room(batch_pool_t *pool, const batch_task_t *task,
		       int64_t now)
{
	bool fits;

	if (batch_crash_needs_trial(task) || has_reservation(pool, task))
		fits = fits_later(task, now);
	else
		fits = reserve_worker(pool, task, now);
	if (!fits && fits_empty_worker(task->step->occ->job->core, task))
		batch_load_add(&pool->due, task->step->spec);
}

/* Whether the task is slower there than on the rack of its data. */
static bool is_on_wrong_rack(const batch_worker_t *worker,
			     const batch_step_spec_t *spec)
{
	return spec->data_rack.len &&
	       !base_str_eq(base_str(worker->rack), spec->data_rack);
}

typedef enum placement {
	PLACEMENT_NONE,
	PLACEMENT_DONE,
	PLACEMENT_WAITS, /* for the rack of its data */
	PLACEMENT_MAX
} placement_t;

/*
 * With "others_wait", a task of the same step found its rack full in this pass
 * and waits: the same holds for this one.
 */
static placement_t place_task(batch_pool_t *pool, batch_task_t *task,
			      int64_t now, bool others_wait)
{
	bool trial = batch_crash_needs_trial(task);
	bool may_wait = !trial && !task->avoid_worker &&
			batch_rack_may_wait(task->step);
	batch_worker_t *worker;

	if (trial && !has_reservation(pool, task) &&
	    !batch_crash_may_try(pool, now))
		return PLACEMENT_NONE;
	if (!batch_row_may_grow(task->step->occ->job, 1))
		return PLACEMENT_NONE;
	if (!batch_workspace_allows(task->step, 1)) {
		/* Room that the task may not use is left to others. */
		batch_claim_drop(task);
		return PLACEMENT_NONE;
	}
	if (is_known_not_to_fit(pool, task))
		return PLACEMENT_NONE;
	worker = batch_claim_take(task, now);
	if (!worker && may_wait &&
	    (others_wait ? batch_rack_wait(task, now)
			 : batch_rack_still_waits(task, now)))
		return PLACEMENT_WAITS;
	if (!worker) {
		worker = choose_worker(pool, task, now, true);
		if (worker && may_wait && !others_wait &&
		    is_on_wrong_rack(worker, task->step->spec) &&
		    batch_rack_wait(task, now))
			return PLACEMENT_WAITS;
	}
	if (worker) {
		batch_run_new(task, worker, now, task->number + 1);
		record_placement(task, now);
		return PLACEMENT_DONE;
	}
	record_no_fit(pool, task);
	if (trial && !has_reservation(pool, task))
		reserve_for_trial(pool, task, now);
	if (task->step->spec->long_running)
		await_room(pool, task, now);
	return PLACEMENT_NONE;
}

/*
 * The task, whose step may run, has got no place in this pass, or waits for one
 * on its rack.
 */
static void note_wait(batch_task_t *task, int64_t now)
{
	batch_t *core = task->step->occ->job->core;
	batch_fit_counts_t counts;

	if (batch_workspace_allows(task->step, 1))
		task->step->occ->job->queue->pool->has_waiting = true;
	if (!task->due_since) {
		task->due_since = now;
		task->wait_logged_at = now - PLACE_WAIT_LOG_PERIOD;
	}
	if (now - task->due_since < PLACE_WAIT_LOGGED ||
	    now - task->wait_logged_at < PLACE_WAIT_LOG_PERIOD ||
	    now - core->wait_logged_at < PLACE_WAIT_LOG_GAP)
		return;
	task->wait_logged_at = now;
	core->wait_logged_at = now;
	counts = batch_fit_count(task, now);
	batch_log_emit(core,
		       &(batch_log_event_t){ .kind = BATCH_LOG_TASK_WAITS,
					     .task = batch_task_get_id(task),
					     .run = task->number,
					     .why = batch_fit_why(task, now),
					     .value = now - task->due_since,
					     .workers = &counts });
}

/* Gives the first "n" tasks of a gang back what place_members() gave them. */
static void unplace_members(batch_step_t *step, int n, int64_t number)
{
	while (n-- > 0) {
		batch_run_free(step->tasks[n].run);
		step->tasks[n].number = number;
	}
}

/* Returns how many members of the gang got a run; its tasks have the same. */
static int place_members(batch_pool_t *pool, batch_step_t *step, int64_t now,
			 int64_t number)
{
	int i;

	for (i = 0; i < step->spec->count; i++) {
		batch_worker_t *worker =
			choose_worker(pool, &step->tasks[i], now, true);

		if (!worker)
			break;
		batch_run_new(&step->tasks[i], worker, now, number + 1);
	}
	return i;
}

/* Whether the gang is slower as its members are placed than on one rack. */
static bool is_spread(const batch_step_t *step)
{
	const batch_worker_t *first = step->tasks[0].run->worker;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_worker_t *worker = step->tasks[i].run->worker;

		if (is_on_wrong_rack(worker, step->spec) ||
		    (step->spec->same_rack &&
		     strcmp(worker->rack, first->rack)))
			return true;
	}
	return false;
}

/* Starts all members of a gang with the same run number, or none. */
static void place_gang(batch_pool_t *pool, batch_step_t *step, int64_t now)
{
	batch_task_t *first = &step->tasks[0];
	int64_t number = 0;
	int placed;
	int i;

	if (batch_crash_must_wait(first, now))
		return;
	if (!batch_workspace_allows(step, step->spec->count) ||
	    !batch_row_may_grow(step->occ->job, step->spec->count)) {
		note_wait(first, now);
		return;
	}
	for (i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].run || step->tasks[i].done ||
		    batch_doubt_holds_back(&step->tasks[i], now))
			return;
		if (step->tasks[i].number > number)
			number = step->tasks[i].number;
	}
	for (i = 0; i < step->spec->count; i++)
		batch_claim_drop(&step->tasks[i]);
	if (batch_rack_may_wait(step) && batch_rack_still_waits(first, now)) {
		note_wait(first, now);
		return;
	}
	placed = place_members(pool, step, now, number);
	if (placed == step->spec->count && batch_rack_may_wait(step) &&
	    is_spread(step)) {
		/* The expected ends are those without these runs. */
		unplace_members(step, placed, number);
		if (batch_rack_wait(first, now)) {
			note_wait(first, now);
			return;
		}
		placed = place_members(pool, step, now, number);
	}
	if (placed < step->spec->count) {
		note_wait(&step->tasks[placed], now);
		unplace_members(step, placed, number);
		return;
	}
	while (placed-- > 0)
		record_placement(&step->tasks[placed], now);
}

static void place_step(batch_pool_t *pool, batch_step_t *step, int64_t now)
{
	bool others_wait = false;
	int i;

	if (!batch_step_has_waiting(step))
		return;
	if (step->spec->gang) {
		place_gang(pool, step, now);
		return;
	}
	for (i = 0; i < step->spec->count; i++) {
		batch_task_t *task = &step->tasks[i];
		placement_t placement;

		if (task->done || task->run)
			continue;
		if (batch_crash_must_wait(task, now) ||
		    batch_doubt_holds_back(task, now)) {
			note_wait(task, now);
			continue;
		}
		/*
		 * All tasks of a step need the same resources, so if one does
		 * not fit, none of the others does.  A trial needs more.
		 */
		placement = place_task(pool, task, now, others_wait);
		if (placement == PLACEMENT_DONE)
			continue;
		note_wait(task, now);
		if (placement == PLACEMENT_WAITS) {
			others_wait = true;
			continue;
		}
		if (!step->spec->long_running && !batch_crash_needs_trial(task))
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

/*
 * Whether the pass has to look at the job: a task waits for a worker, or the
 * policy may have to be asked about one.
 */
static bool is_to_be_placed(batch_job_t *job)
{
	guint i;
	int s;

	if (job->queue->advised)
		return true;
	if (!job->may_wait)
		return false;
	for (i = 0; i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			if (batch_step_has_waiting(&occ->steps[s]))
				return true;
	}
	job->may_wait = false;
	return false;
}

static bool has_long_running_step(const batch_job_t *job)
{
	int i;

	for (i = 0; i < job->spec.n_steps; i++)
		if (job->spec.steps[i].long_running)
			return true;
	return false;
}

static int rank_cmp(const void *a, const void *b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;

	if (x->group != y->group)
		return x->group - y->group;
	/* Among deferred jobs, those most likely to be in time go first. */
	if (x->slack != y->slack)
		return (x->slack < y->slack) != (x->group == RANK_DEFERRED) ? -1
									    : 1;
	return strcmp(x->job->id, y->job->id);
}

static ranked_t rank_job(batch_job_t *job, int64_t now)
{
	ranked_t ranked = { .job = job, .group = RANK_NEW };
	int64_t objective = batch_objective(job);
	int64_t initial_slack = objective - batch_critical_path(job, false);
	bool is_periodic = job->spec.repeat > 0; /* slack does not apply */
	int64_t min_slack = job->start_decided
				    ? -PLACE_SLACK_ERROR
				    : (int64_t)(PLACE_MIN_SLACK_PART *
						(double)initial_slack);

	ranked.slack =
		job->arrived + objective - now - batch_critical_path(job, true);
	if (has_long_running_step(job))
		ranked.group = RANK_LONG_RUNNING;
	else if (ranked.slack < min_slack && !is_periodic)
		ranked.group = RANK_DEFERRED;
	else if (job->start_decided || is_periodic)
		ranked.group = RANK_BEGUN;
	return ranked;
}

static void drop_stale_reservations(const batch_pool_t *pool, int64_t now)
{
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		/*
		 * Drop an expired reservation; placement reserves the worker
		 * again if the task still waits.
		 */
		if (worker->reserved_for &&
		    now - worker->reserved_at > PLACE_RESERVE_TIMEOUT)
			worker->reserved_for = NULL;
	}
}

static bool is_next_due(const batch_job_t *job, int64_t wall)
{
	return job->n_opened < job->spec.repeat &&
	       job->spec.first_at + job->n_opened * job->spec.interval <= wall;
}

static void log_occurrences_wait(batch_job_t *job, int open)
{
	if (job->occs_wait)
		return;
	job->occs_wait = true;
	batch_log_emit(
		job->core,
		&(batch_log_event_t){ .kind = BATCH_LOG_OCCURRENCES_WAIT,
				      .task = { base_str(job->id), -1, -1, -1 },
				      .why = "the open ones come first",
				      .value = open });
}

/* Creates the occurrences that are due, the oldest first, as far as the tasks
 * of those that are not done allow. */
static void open_due_occurrences(batch_job_t *job, int64_t wall)
{
	int max;
	int open;

	if (!is_next_due(job, wall))
		return;
	max = MAX(PLACE_OPEN_TASKS_MAX / batch_occ_tasks(job), 1);
	open = batch_job_open_occs(job);
	for (; open < max && is_next_due(job, wall); open++)
		batch_occ_new(job, job->n_opened);
	if (is_next_due(job, wall))
		log_occurrences_wait(job, open);
}

void batch_place_drop_ended(batch_t *core)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (worker->reserved_for &&
		    (worker->reserved_for->run || worker->reserved_for->done ||
		     !batch_job_is_active(
			     worker->reserved_for->step->occ->job)))
			worker->reserved_for = NULL;
	}
}

/* Whether jobs of this group may be placed, as far as the holder keeps up. */
static bool may_decide(const batch_t *core, int group)
{
	bool busy = core->answer_time > PLACE_BUSY_ANSWER_TIME;
	int max = busy ? PLACE_UNSENT_BUSY_MAX : PLACE_UNSENT_MAX;

	if (group == RANK_LONG_RUNNING)
		return true;
	if (group != RANK_DEFERRED)
		return core->n_unsent < max;
	if (busy && core->n_unsent && core->send_delay > PLACE_SEND_DELAY_MAX)
		return false;
	return core->n_unsent < PLACE_UNSENT_DEFERRED_PART * max;
}

/*
 * Places the jobs in order of rank, as far as the holder keeps up.  Of those
 * that have not begun, and of those that are deferred, the jobs of workspaces
 * that have less of the pool than they are due go first.  Returns whether all
 * were looked at.
 */
static bool place_ranked(const batch_t *core, const ranked_t *ranks, size_t n,
			 int64_t now)
{
	bool all = true;
	batch_job_t **later = g_new(batch_job_t *, n + 1);
	size_t i = 0;

	while (i < n && may_decide(core, ranks[i].group)) {
		int group = ranks[i].group;
		size_t n_later = 0;
		size_t j;

		for (; i < n && ranks[i].group == group &&
		       may_decide(core, group);
		     i++) {
			if (group >= RANK_NEW &&
			    !batch_workspace_within_share(ranks[i].job))
				later[n_later++] = ranks[i].job;
			else
				place_job(ranks[i].job->queue->pool,
					  ranks[i].job, now);
		}
		for (j = 0; j < n_later && may_decide(core, group); j++)
			place_job(later[j]->queue->pool, later[j], now);
		all &= j == n_later;
	}
	g_free(later);
	return all && i == n;
}

static void ask_for_advice(batch_t *core, const ranked_t *ranks, size_t n,
			   int64_t now)
{
	batch_advice_search_t search;
	size_t i;

	if (!batch_advice_search_begin(&search, core, now))
		return;
	for (i = 0; i < n && batch_advice_search(&search, ranks[i].job); i++)
		;
	batch_advice_search_end(&search);
}

void batch_place(batch_t *core, int64_t now, int64_t wall)
{
	ranked_t *ranks = talloc_array(core, ranked_t, core->active_jobs->len);
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;
	guint i;

	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_pool_t *pool = value;

		pool->full = false;
		batch_racks_forget(pool);
		pool->has_waiting = false;
		pool->due = (batch_load_t){ 0, 0 };
	}
	for (i = 0; i < core->active_jobs->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->active_jobs, i);

		if (!batch_job_is_active(job) || !job->stored || !job->queue)
			continue;
		if (job->spec.repeat)
			open_due_occurrences(job, wall);
		if (is_to_be_placed(job))
			ranks[n++] = rank_job(job, now);
	}
	qsort(ranks, n, sizeof(*ranks), rank_cmp);
	batch_workspaces_divide(core, now);
	if (place_ranked(core, ranks, n, now))
		batch_copies_start(core, now,
				   PLACE_UNSENT_BUSY_MAX - core->n_unsent);
	ask_for_advice(core, ranks, n, now);
	talloc_free(ranks);
}

bool batch_place_lacks_worker(const batch_task_t *task, int64_t now)
{
	return !fits_later(task, now) &&
	       fits_empty_worker(task->step->occ->job->core, task);
}

batch_worker_t *batch_place_find(const batch_task_t *task, int64_t now)
{
	return choose_worker(task->step->occ->job->queue->pool, task, now,
			     true);
}

/* Time-outs of workers and runs.  They are found by a pass over all workers. */
static void sweep(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now - core->swept_at < PLACE_SWEEP_INTERVAL)
		return;
	core->swept_at = now;
	batch_runs_tick(core, now);
	batch_health_tick(core, now);
	batch_admit_tick(core, now);
	batch_evacuate(core, now);
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_stale_reservations(value, now);
}

/* Least time between the starts of two passes. */
static int64_t pass_gap(const batch_t *core)
{
	return MIN((int64_t)core->active_jobs->len * PLACE_GAP_PER_JOB,
		   PLACE_GAP_MAX);
}

int64_t batch_tick(batch_t *core, int64_t now, int64_t wall)
{
	int64_t since = now - core->last_pass_at;
	int64_t gap = pass_gap(core);

	batch_crash_tick(core, now);
	sweep(core, now);
	/* Without an event, only the passing of time can change a decision. */
	if (since < (core->pass_needed ? gap : BATCH_PASS_INTERVAL))
		return core->pass_needed ? gap - since
					 : BATCH_PASS_INTERVAL - since;
	core->pass_needed = false;
	core->last_pass_at = now;
	batch_place(core, now, wall);
	return BATCH_PASS_INTERVAL;
}
