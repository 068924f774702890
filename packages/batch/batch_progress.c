/*
 * Detects runs that are stalled or much slower than expected.
 *
 * On a degraded worker, tasks stay listed as running and make little or no
 * progress, while the worker answers and its lease is extended.  A stalled run
 * is stopped and its task starts elsewhere; so is a slow one if that ends it
 * sooner.  Several of them count against the worker's health.  A task that
 * simply takes long is slow on any worker, so it is moved for slowness at most
 * twice.
 */
#include "batch_int.h"

/*
 * A run without progress for this long has reported the same percentage in two
 * polls in a row, because polls come at least every second.
 */
#define STALL_TIME (1500 * BASE_MS)
/*
 * Progress is reported in percent: a task that takes twenty times its estimate
 * still gains one percent within a fifth of the estimate.
 */
#define STALL_ESTIMATE_PART 0.2
/* Best-effort tasks get only unused cpu time, at times almost none. */
#define STALL_BEST_EFFORT_FACTOR 4
/* A long-running task reaches 100 percent soon after its start and stays at
 * it. */
#define STALL_LONG_RUNNING_TIME (3 * BASE_SEC)

/* A run time is extrapolated only after this part of the estimate and this
 * time. */
#define SLOW_MIN_ESTIMATE_PART 0.4
#define SLOW_MIN_TIME (400 * BASE_MS)
/*
 * A run is slow if it takes this many times the expected run time: normal tasks
 * of one queue take up to two and a half times their mean.
 */
#define SLOW_FACTOR 3
/* Restarting a slow task elsewhere costs a whole run and the time of a stop. */
#define SLOW_RESTART_FACTOR 2
/* Moves of a task for slowness: the second worker may be degraded too. */
#define SLOW_MOVES_MAX 2
/*
 * Slow runs that count against a worker; of several jobs, and most of its runs.
 */
#define SLOW_RUNS_MIN 3

typedef struct progress_summary {
	int measured; /* runs whose run time can be extrapolated */
	int slow;
	const batch_job_t *job; /* of the last slow run */
	bool several_jobs;	/* slow runs belong to several jobs */
} progress_summary_t;

/* Whether all members of a gang have run since then; with a member missing the
 * others make no progress. */
static bool gang_runs_since(const batch_step_t *step, int64_t since)
{
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_run_t *run = step->tasks[i].run;

		if (!run || run->state != RUN_CONFIRMED ||
		    run->start_confirmed_at > since)
			return false;
	}
	return true;
}

/* Declared estimates are rough: the queue's mean run time is a lower bound. */
int64_t batch_progress_expected(const batch_task_t *task)
{
	const batch_job_t *job = task->step->occ->job;
	int64_t time = batch_task_estimate(job, task->step->number);

	return MAX(time, (int64_t)job->queue->mean_run);
}

static int64_t expected_time(const batch_run_t *run)
{
	return batch_progress_expected(run->task);
}

/* How long a run may report the same progress; 0: without limit. */
static int64_t stall_timeout(const batch_run_t *run)
{
	const batch_step_spec_t *spec = run->task->step->spec;
	int64_t time = MAX(STALL_TIME, (int64_t)(STALL_ESTIMATE_PART *
						 (double)expected_time(run)));

	if (spec->long_running)
		return run->percent >= 100 ? 0 : STALL_LONG_RUNNING_TIME;
	if (!spec->best_effort)
		return time;
	return run->pace > 0 ? STALL_BEST_EFFORT_FACTOR * time * 100 / run->pace
			     : 0;
}

static bool is_stalled(const batch_run_t *run, int64_t now)
{
	const batch_step_t *step = run->task->step;
	int64_t time = stall_timeout(run);

	if (run->state != RUN_CONFIRMED || !time ||
	    now - run->progress_at < time)
		return false;
	return !step->spec->gang || gang_runs_since(step, now - time);
}

/* Total run time extrapolated from its progress; 0: not known. */
static int64_t projected_time(const batch_run_t *run, int64_t now)
{
	const batch_step_spec_t *spec = run->task->step->spec;
	int64_t time = now - run->start_confirmed_at;
	int64_t from =
		MAX(SLOW_MIN_TIME, (int64_t)(SLOW_MIN_ESTIMATE_PART *
					     (double)expected_time(run)));

	/* A run that resumes from a checkpoint did not begin at 0 percent. */
	if (run->state != RUN_CONFIRMED || spec->long_running ||
	    spec->best_effort || spec->gang || run->task->checkpoint ||
	    time < from)
		return 0;
	return time * 100 / MAX(run->percent, 1);
}

static bool is_slow(const batch_run_t *run, int64_t now)
{
	return projected_time(run, now) > SLOW_FACTOR * expected_time(run);
}

static progress_summary_t summarize_progress(const batch_worker_t *worker,
					     int64_t now)
{
	progress_summary_t summary = { 0 };
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);
		const batch_job_t *job = run->task->step->occ->job;

		if (!projected_time(run, now))
			continue;
		summary.measured++;
		if (!is_slow(run, now))
			continue;
		summary.slow++;
		summary.several_jobs |= summary.job && summary.job != job;
		summary.job = job;
	}
	return summary;
}

static void stop_if_slow(batch_run_t *run, int64_t now)
{
	int64_t left =
		projected_time(run, now) - (now - run->start_confirmed_at);

	/* A copy starts beside it instead. */
	if (batch_task_may_copy(run->task))
		return;
	/* The starts of a task that may crash workers are counted. */
	if (run->task->slow_moves >= SLOW_MOVES_MAX || !is_slow(run, now) ||
	    left < SLOW_RESTART_FACTOR * expected_time(run) ||
	    batch_crash_needs_trial(run->task))
		return;
	run->task->slow_moves++;
	run->task->avoid_worker = run->worker;
	batch_health_stuck(run->worker, run->task->step->occ->job, now,
			   "slow tasks");
	batch_run_stop(run, now, "slow");
}

/* Called after each successful poll of the worker. */
void batch_progress_check(batch_worker_t *worker, int64_t now)
{
	progress_summary_t summary = summarize_progress(worker, now);
	bool slow = summary.slow >= SLOW_RUNS_MIN && summary.several_jobs &&
		    2 * summary.slow > summary.measured;
	guint i;

	if (slow)
		batch_health_slow(worker, now, summary.slow);
	for (i = worker->runs->len; i-- > 0;) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);
		batch_task_t *task = run->task;

		if (is_stalled(run, now)) {
			batch_health_stuck(worker, task->step->occ->job, now,
					   "tasks without progress");
			task->avoid_worker = worker;
			batch_run_stop(run, now, "stands still");
		} else if (slow || summary.slow == summary.measured) {
			stop_if_slow(run, now);
		}
	}
}
