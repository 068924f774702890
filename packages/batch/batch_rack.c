/*
 * Waits of tasks for capacity on their preferred rack: when capacity is to be
 * expected there, and which tasks wait.
 *
 * The expected ends on a rack are collected when a task first asks in a pass.
 * Each task that waits takes its place in them, so that the next one is told a
 * later time.  Nothing is reserved: placement does not read this.
 */
#include <math.h>

#include "batch_int.h"

/* A run has at least this part of its estimate left. */
#define RACK_LEFT_PART 0.15
/* With less progress, the estimate is more accurate. */
#define RACK_PERCENT_MIN 10
/* Error of a remaining time, as a part of it. */
#define RACK_PROGRESS_ERROR 0.25
#define RACK_ESTIMATE_ERROR 0.5
/* An end is known this much later: a poll that waits for one may be sent late.
 */
#define RACK_POLL_DELAY (250 * BASE_MS)
/* A wait that no pass has found for longer has paused: there was no room. */
#define RACK_WAIT_GAP (2 * BATCH_PASS_INTERVAL)

/* Capacity that becomes free. */
typedef struct release {
	int64_t at;
	int64_t error; /* of "at" */
	batch_res_t need;
} release_t;

typedef struct rack_worker {
	const batch_worker_t *worker;
	GArray *releases;   /* release_t by time; NULL: not collected yet */
	batch_res_t queued; /* of tasks that wait for it in this pass */
	const batch_step_t *step; /* of "n_step" */
	int n_step;		  /* its tasks that wait for it */
} rack_worker_t;

/* A task's place in the queue for a worker. */
typedef struct queued {
	guint worker;
	guint release;
} queued_t;

typedef struct rack {
	GQuark name;
	GArray *workers; /* rack_worker_t */
	GArray *queue;	 /* queued_t */
} rack_t;

static void free_rack(gpointer arg)
{
	rack_t *rack = arg;
	guint i;

	for (i = 0; i < rack->workers->len; i++) {
		rack_worker_t *of =
			&g_array_index(rack->workers, rack_worker_t, i);

		if (of->releases)
			g_array_unref(of->releases);
	}
	g_array_unref(rack->workers);
	g_array_unref(rack->queue);
	g_free(rack);
}

void batch_racks_forget(batch_pool_t *pool)
{
	if (pool->racks)
		g_hash_table_unref(pool->racks);
	pool->racks = NULL;
}

static rack_t *add_rack(GHashTable *racks, GQuark name)
{
	rack_t *rack =
		g_hash_table_lookup(racks, GUINT_TO_POINTER((guint)name));

	if (rack)
		return rack;
	rack = g_new0(rack_t, 1);
	rack->name = name;
	rack->workers = g_array_new(FALSE, TRUE, sizeof(rack_worker_t));
	rack->queue = g_array_new(FALSE, TRUE, sizeof(queued_t));
	g_hash_table_insert(racks, GUINT_TO_POINTER((guint)name), rack);
	return rack;
}

static bool is_half_empty(const batch_load_t *used, const batch_load_t *all)
{
	return 2 * used->cpu < all->cpu && 2 * used->memory < all->memory;
}

/* The racks of workers that may get a start; found once in a pass. */
static GHashTable *find_racks(batch_pool_t *pool, int64_t now)
{
	batch_load_t used = { 0, 0 };
	batch_load_t all = { 0, 0 };
	guint i;

	if (pool->racks)
		return pool->racks;
	pool->racks = g_hash_table_new_full(NULL, NULL, NULL, free_rack);
	for (i = 0; i < pool->workers->len; i++) {
		rack_worker_t entry = { .worker = g_ptr_array_index(
						pool->workers, i) };

		if (!batch_worker_usable(entry.worker, now))
			continue;
		used.cpu += entry.worker->used.cpu;
		used.memory += entry.worker->used.memory;
		all.cpu += entry.worker->capacity.cpu;
		all.memory += entry.worker->capacity.memory;
		g_array_append_val(
			add_rack(pool->racks, entry.worker->rack_quark)
				->workers,
			entry);
	}
	pool->is_half_empty = is_half_empty(&used, &all);
	return pool->racks;
}

static batch_res_t need_of(const batch_step_spec_t *spec)
{
	batch_res_t need = spec->need;

	if (spec->best_effort)
		need.cpu = 0;
	return need;
}

static void add(batch_res_t *sum, const batch_res_t *more, int sign)
{
	sum->cpu += sign * more->cpu;
	sum->memory += sign * more->memory;
	sum->gpu += sign * more->gpu;
}

static bool is_within(const batch_res_t *need, const batch_res_t *room)
{
	return need->cpu <= room->cpu && need->memory <= room->memory &&
	       need->gpu <= room->gpu;
}

static bool is_on_wrong_rack(const batch_run_t *run)
{
	base_str_t rack = run->task->step->spec->data_rack;

	return rack.len && !base_str_eq(base_str(run->worker->rack), rack);
}

/* The expected run time, on the rack where the run is. */
static double run_estimate(const batch_run_t *run)
{
	const batch_step_t *step = run->task->step;
	const batch_t *core = step->occ->job->core;
	double estimate =
		(double)batch_task_estimate(step->occ->job, step->number);

	if (is_on_wrong_rack(run) && core->options.remote_penalty > 1)
		estimate *= core->options.remote_penalty;
	return estimate;
}

/*
 * When the run ends: by its progress, with its estimate if a former holder
 * started it, or by its estimate alone.  One that has exceeded that takes as
 * much longer again.
 */
static release_t expected_end(const batch_run_t *run, int64_t now)
{
	release_t end = { .at = now, .need = need_of(run->task->step->spec) };
	int64_t begun = run->start_confirmed_at;
	double estimate = run_estimate(run);
	double done = begun ? (double)(now - begun) : 0;
	double error = RACK_ESTIMATE_ERROR;
	double left;

	if (run->state == RUN_STOPPING) {
		end.at = now + BATCH_STOP_RETRY;
		end.error = BATCH_STOP_RETRY;
		return end;
	}
	if (run->sent_at && begun && run->percent >= RACK_PERCENT_MIN &&
	    run->progress_at > begun) {
		double total =
			(double)(run->progress_at - begun) * 100 / run->percent;

		left = MAX(total - done, 0);
		error = RACK_PROGRESS_ERROR;
	} else if (!run->sent_at) {
		left = estimate * (100 - run->percent) / 100;
	} else {
		left = MAX(fabs(estimate - done), RACK_LEFT_PART * estimate);
	}
	end.at = now + (int64_t)left;
	end.error = (int64_t)(error * left) + RACK_POLL_DELAY;
	return end;
}

/* Returns the position. */
static guint insert_release(GArray *releases, const release_t *release)
{
	guint i = releases->len;

	while (i && g_array_index(releases, release_t, i - 1).at > release->at)
		i--;
	g_array_insert_val(releases, i, *release);
	return i;
}

static void collect_releases(rack_worker_t *of, int64_t now)
{
	guint i;

	if (of->releases)
		return;
	of->releases = g_array_new(FALSE, FALSE, sizeof(release_t));
	for (i = 0; i < of->worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(of->worker->runs, i);
		release_t end;

		if (run->task->step->spec->long_running &&
		    run->state != RUN_STOPPING)
			continue;
		end = expected_end(run, now);
		insert_release(of->releases, &end);
	}
}

/* When the worker has capacity for the need; false: never. */
static bool find_capacity(rack_worker_t *of, const batch_res_t *need,
			  int64_t now, release_t *when)
{
	batch_res_t room = of->worker->capacity;
	guint i;

	collect_releases(of, now);
	add(&room, &of->worker->used, -1);
	add(&room, &of->queued, -1);
	*when = (release_t){ .at = now };
	if (is_within(need, &room))
		return true;
	for (i = 0; i < of->releases->len; i++) {
		const release_t *release =
			&g_array_index(of->releases, release_t, i);

		add(&room, &release->need, 1);
		/* One that is overdue still has its capacity. */
		when->at = MAX(release->at, now + 1);
		when->error = MAX(release->error, when->error);
		if (is_within(need, &room))
			return true;
	}
	return false;
}

static bool may_run(rack_worker_t *of, const batch_task_t *task, int64_t now)
{
	int max = task->step->spec->max_per_worker;

	if (of->step != task->step) {
		of->step = task->step;
		of->n_step = 0;
	}
	return of->worker != task->avoid_worker &&
	       batch_fit_allows(of->worker, task, now) &&
	       (!max ||
		batch_fit_siblings(of->worker, task->step) + of->n_step < max);
}

/* Queues the task for the first worker of the rack that has capacity. */
static bool queue_task(rack_t *rack, const batch_task_t *task, int64_t now,
		       release_t *when)
{
	batch_res_t need = need_of(task->step->spec);
	rack_worker_t *best = NULL;
	queued_t queued = { 0, 0 };
	release_t end;
	guint i;

	for (i = 0; i < rack->workers->len; i++) {
		rack_worker_t *of =
			&g_array_index(rack->workers, rack_worker_t, i);
		release_t found;

		if (!may_run(of, task, now) ||
		    !find_capacity(of, &need, now, &found))
			continue;
		if (best && found.at >= when->at)
			continue;
		best = of;
		*when = found;
		queued.worker = i;
	}
	if (!best)
		return false;
	end = (release_t){ .at = when->at +
				 batch_task_estimate(task->step->occ->job,
						     task->step->number),
			   .error = when->error + RACK_POLL_DELAY,
			   .need = need };
	queued.release = insert_release(best->releases, &end);
	add(&best->queued, &need, 1);
	best->n_step++;
	g_array_append_val(rack->queue, queued);
	return true;
}

static void unqueue(rack_t *rack, guint length)
{
	while (rack->queue->len > length) {
		queued_t last = g_array_index(rack->queue, queued_t,
					      rack->queue->len - 1);
		rack_worker_t *of = &g_array_index(rack->workers, rack_worker_t,
						   last.worker);

		add(&of->queued,
		    &g_array_index(of->releases, release_t, last.release).need,
		    -1);
		of->n_step--;
		g_array_remove_index(of->releases, last.release);
		g_array_set_size(rack->queue, rack->queue->len - 1);
	}
}

/* Queues the task, or all tasks of its gang. */
static bool queue_all(rack_t *rack, const batch_task_t *task, int64_t now,
		      release_t *when)
{
	const batch_step_t *step = task->step;
	guint length = rack->queue->len;
	int i;

	if (!step->spec->gang)
		return queue_task(rack, task, now, when);
	*when = (release_t){ .at = now };
	for (i = 0; i < step->spec->count; i++) {
		release_t one = { 0 };

		if (!queue_task(rack, &step->tasks[i], now, &one)) {
			unqueue(rack, length);
			return false;
		}
		when->at = MAX(when->at, one.at);
		when->error = MAX(when->error, one.error);
	}
	return true;
}

/* NULL: no worker there may get a start. */
static rack_t *data_rack(GHashTable *racks, const batch_step_spec_t *spec)
{
	char name[BATCH_KEY_MAX];

	if (spec->data_rack.len >= sizeof(name))
		return NULL;
	g_snprintf(name, sizeof(name), "%.*s", BASE_STR_ARG(spec->data_rack));
	return g_hash_table_lookup(
		racks, GUINT_TO_POINTER((guint)g_quark_try_string(name)));
}

/* The rack on which the gang has capacity first. */
static rack_t *best_rack(GHashTable *racks, const batch_task_t *task,
			 int64_t now)
{
	rack_t *best = NULL;
	release_t best_when = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, racks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		rack_t *rack = value;
		guint length = rack->queue->len;
		release_t when = { 0 };
		bool found = queue_all(rack, task, now, &when);

		unqueue(rack, length);
		if (!found || when.at <= now ||
		    (best && when.at >= best_when.at))
			continue;
		best = rack;
		best_when = when;
	}
	return best;
}

static int64_t count_fitting(const batch_worker_t *worker,
			     const batch_step_spec_t *spec)
{
	batch_res_t need = need_of(spec);
	int64_t n = spec->max_per_worker ? spec->max_per_worker : spec->count;

	if (need.cpu)
		n = MIN(n,
			(worker->capacity.cpu - worker->used.cpu) / need.cpu);
	if (need.memory)
		n = MIN(n, (worker->capacity.memory - worker->used.memory) /
				   need.memory);
	if (need.gpu)
		n = MIN(n,
			(worker->capacity.gpu - worker->used.gpu) / need.gpu);
	return MAX(n, 0);
}

/* Whether the rack has capacity now, also such as others wait for. */
static bool has_capacity(const rack_t *rack, const batch_task_t *task,
			 int64_t now)
{
	const batch_step_spec_t *spec = task->step->spec;
	int64_t missing = spec->gang ? spec->count : 1;
	guint i;

	for (i = 0; i < rack->workers->len && missing > 0; i++) {
		const batch_worker_t *worker =
			g_array_index(rack->workers, rack_worker_t, i).worker;

		if (batch_fit_has_capacity(worker, spec) &&
		    batch_fit_allows(worker, task, now))
			missing -= count_fitting(worker, spec);
	}
	return missing <= 0;
}

static bool any_has_capacity(GHashTable *racks, const batch_task_t *task,
			     int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, racks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (has_capacity(value, task, now))
			return true;
	return false;
}

static rack_t *preferred_rack(const batch_task_t *task, int64_t now)
{
	const batch_step_spec_t *spec = task->step->spec;
	GHashTable *racks = find_racks(task->step->occ->job->queue->pool, now);

	if (!spec->data_rack.len)
		return best_rack(racks, task, now);
	return data_rack(racks, spec);
}

bool batch_rack_may_wait(const batch_step_t *step)
{
	const batch_step_spec_t *spec = step->spec;

	return step->occ->job->core->options.remote_penalty > 1 &&
	       !spec->long_running &&
	       (spec->data_rack.len || (spec->gang && spec->same_rack));
}

/*
 * Since when the task could have started, as far as that is known: after a
 * takeover, or a failed run, since it was first seen to have no place.
 */
static int64_t ready_since(const batch_task_t *task, int64_t now)
{
	const batch_job_t *job = task->step->occ->job;

	if (!task->step->spec->depends_on && !job->spec.repeat && !task->number)
		return MIN(job->arrived, now);
	return task->due_since ? task->due_since : now;
}

static int64_t job_slack(const batch_job_t *job, int64_t now)
{
	if (job->spec.repeat)
		return INT64_MAX / 4;
	return job->arrived + batch_objective(job) - now -
	       batch_critical_path(job, true);
}

/* Adds the time since the last pass that found the wait, if that is recent. */
static void add_length(batch_rack_wait_t *wait, int64_t now)
{
	if (now - wait->seen_at <= RACK_WAIT_GAP)
		wait->length += now - wait->seen_at;
}

static void note(batch_task_t *task, const rack_t *rack, int64_t now,
		 const batch_wait_input_t *in, int64_t bound)
{
	batch_job_t *job = task->step->occ->job;

	if (!task->rack_wait) {
		task->rack_wait =
			talloc_zero(task->step->occ, batch_rack_wait_t);
		task->rack_wait->seen_at = now;
	}
	add_length(task->rack_wait, now);
	task->rack_wait->rack = rack->name;
	task->rack_wait->seen_at = now;
	task->rack_wait->expected_at = now + in->expected;
	task->rack_wait->bound_at = now - in->waited + bound;
	if (job->rack_wait_until < now)
		job->rack_wait_since = now;
	job->rack_wait_until = now + 2 * BATCH_PASS_INTERVAL;
}

static bool has_run(const batch_job_t *job)
{
	guint o;
	int s;

	for (o = 0; o < job->occs->len; o++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, o);

		for (s = 0; s < job->spec.n_steps; s++)
			if (occ->steps[s].n_open_runs)
				return true;
	}
	return false;
}

/* Whether the job has nothing running while its pool has room. */
static bool is_neglected(const batch_job_t *job, int64_t now)
{
	if (has_run(job))
		return false;
	find_racks(job->queue->pool, now);
	return job->queue->pool->is_half_empty;
}

bool batch_rack_wait(batch_task_t *task, int64_t now)
{
	const batch_job_t *job = task->step->occ->job;
	batch_wait_input_t in = {
		.slack = job_slack(job, now),
		.waited = now - ready_since(task, now),
		.cost = (int64_t)((job->core->options.remote_penalty - 1) *
				  (double)batch_task_estimate(
					  job, task->step->number)),
		.is_neglected = is_neglected(job, now),
	};
	batch_wait_t wait = job->core->decide_wait(&in);
	release_t when = { 0 };
	rack_t *rack = NULL;
	guint length = 0;

	/* With capacity at once it would not wait: nothing is to be found. */
	if (wait.kind == BATCH_WAIT_FOR_RACK)
		rack = preferred_rack(task, now);
	if (rack) {
		length = rack->queue->len;
		in.expected = queue_all(rack, task, now, &when) && when.at > now
				      ? when.at - now
				      : -1;
		in.uncertainty = when.error;
		wait = job->core->decide_wait(&in);
	}
	if (rack && wait.kind == BATCH_WAIT_FOR_RACK) {
		note(task, rack, now, &in, wait.bound);
		return true;
	}
	if (rack)
		unqueue(rack, length);
	batch_rack_wait_end(task, now,
			    wait.kind == BATCH_WAIT_BOUND_REACHED
				    ? BATCH_RACK_WAIT_BOUND
				    : BATCH_RACK_WAIT_MOOT);
	return false;
}

bool batch_rack_still_waits(batch_task_t *task, int64_t now)
{
	const batch_step_spec_t *spec = task->step->spec;
	GHashTable *racks;
	const rack_t *rack;

	if (!task->rack_wait || now - task->rack_wait->seen_at > RACK_WAIT_GAP)
		return false;
	racks = find_racks(task->step->occ->job->queue->pool, now);
	rack = spec->data_rack.len ? data_rack(racks, spec) : NULL;
	if (rack ? has_capacity(rack, task, now)
		 : !spec->data_rack.len && any_has_capacity(racks, task, now))
		return false;
	return batch_rack_wait(task, now);
}

void batch_rack_wait_end(batch_task_t *task, int64_t now,
			 batch_rack_wait_outcome_t outcome)
{
	batch_t *core = task->step->occ->job->core;

	if (!task->rack_wait)
		return;
	if (now - task->rack_wait->seen_at > RACK_WAIT_GAP)
		outcome = BATCH_RACK_WAIT_MOOT;
	add_length(task->rack_wait, now);
	core->stats.rack_waits[outcome]++;
	base_hist_add(core->times[BATCH_TIME_RACK_WAIT],
		      task->rack_wait->length);
	talloc_free(task->rack_wait);
	task->rack_wait = NULL;
}

void batch_rack_wait_placed(batch_task_t *task, int64_t now)
{
	if (task->rack_wait)
		batch_rack_wait_end(task, now,
				    task->run->worker->rack_quark ==
						    task->rack_wait->rack
					    ? BATCH_RACK_WAIT_FREE
					    : BATCH_RACK_WAIT_MOOT);
}

void batch_rack_waits_drop(batch_job_t *job, int64_t now)
{
	guint o;
	int s;
	int i;

	for (o = 0; job->rack_wait_until && job->occs && o < job->occs->len;
	     o++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, o);

		for (s = 0; s < job->spec.n_steps; s++)
			for (i = 0; i < job->spec.steps[s].count; i++)
				batch_rack_wait_end(&occ->steps[s].tasks[i],
						    now, BATCH_RACK_WAIT_MOOT);
	}
}

const char *batch_rack_wait_why(const batch_task_t *task, int64_t now)
{
	const batch_task_t *first =
		task->step->spec->gang ? &task->step->tasks[0] : task;
	batch_rack_wait_t *wait = first->rack_wait;

	if (!wait || wait->seen_at < task->step->occ->job->core->last_pass_at)
		return NULL;
	g_snprintf(wait->why, sizeof(wait->why),
		   "it waits for capacity on rack %.64s, expected in %.1f s, "
		   "for %.1f s at most",
		   g_quark_to_string(wait->rack),
		   (double)MAX(wait->expected_at - now, 0) / BASE_SEC,
		   (double)MAX(wait->bound_at - now, 0) / BASE_SEC);
	return wait->why;
}
