/*
 * Tasks that stand still or hardly move on.
 *
 * The pattern it answers: on some workers tasks go on to be listed as running
 * and make little progress or none, while the worker answers and extends their
 * leases.  Such a task is stopped and starts elsewhere where that ends it
 * sooner; several of them speak against the worker.  A task that takes long by
 * itself does so anywhere: it is moved for being slow twice at the most.
 */
#include "batch_int.h"

/* Looks come at least every second: two in a row showed the same. */
#define STALL_TIME (1500 * BASE_MS)
/* Progress shows in hundredths: a task that takes twenty times its estimate
 * still moves on within a fifth of it. */
#define STALL_ESTIMATE_PART 0.2
/* What fills gets what others leave, at times next to nothing. */
#define STALL_FILL_TIMES 4
/* A lasting task is at work soon after its start, and stays so. */
#define STALL_LASTING (3 * BASE_SEC)

/* Before that much of its estimate, and that long, progress says little. */
#define SLOW_FROM_PART 0.4
#define SLOW_FROM (400 * BASE_MS)
/* Tasks of one queue differ by up to two and a half times their mean. */
#define SLOW_TIMES 3
/* A new start costs a whole run and the time of a stop. */
#define SLOW_RESTART_TIMES 2
#define SLOW_MOVES 2 /* of one task: the second worker may be bad too */
#define SLOW_RUNS 3  /* of two jobs, and most of those on the worker */

typedef struct progress {
	int judged;
	int slow;
	const batch_job_t *job; /* of the first slow run */
	bool jobs;		/* slow runs of several */
} progress_t;

/* Members of a gang make progress only together. */
static bool gang_complete(const batch_step_t *step, int64_t since)
{
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_run_t *run = step->tasks[i].run;

		if (!run || run->state != RUN_ON || run->begun > since)
			return false;
	}
	return true;
}

/* Declared estimates are rough: what tasks of the queue took is a floor. */
static int64_t estimate(const batch_run_t *run)
{
	const batch_job_t *job = run->task->step->occ->job;
	int64_t time = batch_task_estimate(job, run->task->step->number);

	return MAX(time, (int64_t)job->queue->mean_run);
}

/* How long a run may show the same progress; 0: for good. */
static int64_t patience(const batch_run_t *run)
{
	const batch_step_spec_t *spec = run->task->step->spec;
	int64_t time = MAX(STALL_TIME, (int64_t)(STALL_ESTIMATE_PART *
						 (double)estimate(run)));

	if (spec->lasting)
		return run->percent >= 100 ? 0 : STALL_LASTING;
	if (!spec->fills)
		return time;
	return run->pace > 0 ? STALL_FILL_TIMES * time * 100 / run->pace : 0;
}

static bool stands_still(const batch_run_t *run, int64_t now)
{
	const batch_step_t *step = run->task->step;
	int64_t time = patience(run);

	if (run->state != RUN_ON || !time || now - run->moved < time)
		return false;
	return !step->spec->gang || gang_complete(step, now - time);
}

/* How long the whole run takes at the progress so far; 0: cannot be said. */
static int64_t projected(const batch_run_t *run, int64_t now)
{
	const batch_step_spec_t *spec = run->task->step->spec;
	int64_t time = now - run->begun;
	int64_t from = MAX(SLOW_FROM,
			   (int64_t)(SLOW_FROM_PART * (double)estimate(run)));

	/* From a checkpoint on, progress did not begin at nothing. */
	if (run->state != RUN_ON || spec->lasting || spec->fills ||
	    spec->gang || run->task->checkpoint || time < from)
		return 0;
	return time * 100 / MAX(run->percent, 1);
}

static bool is_slow(const batch_run_t *run, int64_t now)
{
	return projected(run, now) > SLOW_TIMES * estimate(run);
}

static progress_t judge(const batch_worker_t *worker, int64_t now)
{
	progress_t seen = { 0 };
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);
		const batch_job_t *job = run->task->step->occ->job;

		if (!projected(run, now))
			continue;
		seen.judged++;
		if (!is_slow(run, now))
			continue;
		seen.slow++;
		seen.jobs |= seen.job && seen.job != job;
		seen.job = job;
	}
	return seen;
}

static void move_slow(batch_run_t *run, int64_t now)
{
	int64_t left = projected(run, now) - (now - run->begun);

	if (run->task->slow_moves >= SLOW_MOVES || !is_slow(run, now) ||
	    left < SLOW_RESTART_TIMES * estimate(run))
		return;
	run->task->slow_moves++;
	run->task->avoid = run->worker;
	batch_health_stuck(run->worker, run->task->step->occ->job, now,
			   "slow tasks");
	batch_run_stop(run, now, "slow");
}

/* After a look: "moved" is when a look last showed other progress. */
void batch_progress_look(batch_worker_t *worker, int64_t now)
{
	progress_t seen = judge(worker, now);
	bool slow = seen.slow >= SLOW_RUNS && seen.jobs &&
		    2 * seen.slow > seen.judged;
	guint i;

	if (slow)
		batch_health_slow(worker, now, seen.slow);
	for (i = worker->runs->len; i-- > 0;) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);
		batch_task_t *task = run->task;

		if (stands_still(run, now)) {
			batch_health_stuck(worker, task->step->occ->job, now,
					   "tasks that stand still");
			task->avoid = worker;
			batch_run_stop(run, now, "stands still");
		} else if (slow || seen.slow == seen.judged) {
			move_slow(run, now);
		}
	}
}
