/*
 * Workers that fail everything, told apart from jobs that fail everywhere.
 *
 * Each end of a task is weighed between two guesses, that the worker is well
 * and fails as the job's family does, and that it fails nearly everything
 * (a CUSUM test).  A failure of a family that seldom fails says much, one of
 * a family that fails everywhere says nothing, and little is said by a job
 * that failed elsewhere before.  A task that has run for a while speaks for
 * its worker, because failures come sooner than ends.  A worker taken out is
 * tried again later with one task, and what its failures had counted against
 * jobs and families is taken back.
 */
#include <math.h>

#include "jobs_int.h"

#define BAD_FAILS 0.9	    /* chance of a failure on a broken worker */
#define AGAIN_FAILS 0.8	    /* of a job that has failed elsewhere */
#define EVIDENCE_OUT 6.0    /* natural logarithm of the odds */
#define OUT_PART 3	    /* at most one worker in so many is out */
#define FAMILY_RELIABLE 0.2 /* fails less often than that */

static void take_out(jobs_t *jobs, int64_t now, jobs_worker_t *worker);
static void acquit(jobs_t *jobs, int64_t now, jobs_worker_t *worker,
		   jobs_job_t *job);
static void drop_oldest(jobs_worker_t *worker);
static bool convincing(const jobs_worker_t *worker,
		       const jobs_family_t *family);
static double fails_elsewhere(const jobs_worker_t *worker,
			      const jobs_family_t *family);
static bool may_lose_one(const jobs_t *jobs);
static void wait_in(jobs_worker_t *worker, GQueue *queue);
static bool tried_add(jobs_job_t *job, const jobs_worker_t *worker);
static bool tried_remove(jobs_job_t *job, const jobs_worker_t *worker);

void jobs_blame(jobs_t *jobs, int64_t now, jobs_task_t *task)
{
	jobs_worker_t *worker = task->worker;
	jobs_family_t *family = task->job->family;
	double fails;

	if (task->trial) {
		take_out(jobs, now, worker);
		return;
	}
	task->job->failures++;
	/* What a worker that is already out does says nothing of the job. */
	if (worker->health != JOBS_FIT)
		return;
	fails = fails_elsewhere(worker, family);
	if (task->job->n_tried)
		fails = MAX(fails, AGAIN_FAILS);
	family->fails++;
	family->runs++;
	if (!tried_add(task->job, worker))
		return;
	if (worker->n_blamed == JOBS_BLAMED_MAX)
		drop_oldest(worker);
	worker->blamed[worker->n_blamed++] = task->job;
	worker->evidence += log(BAD_FAILS / fails);
	if (worker->evidence >= EVIDENCE_OUT && convincing(worker, family) &&
	    may_lose_one(jobs))
		take_out(jobs, now, worker);
}

void jobs_praise(jobs_t *jobs, jobs_task_t *task)
{
	jobs_worker_t *worker = task->worker;
	double fails = jobs_family_fails(task->job->family);

	if (task->praised)
		return;
	task->praised = true;
	worker->evidence += log((1 - BAD_FAILS) / (1 - fails));
	worker->evidence = MAX(worker->evidence, 0);
	if (!task->trial || worker->health != JOBS_TRIAL)
		return;
	worker->health = JOBS_FIT;
	worker->evidence = 0;
	worker->level = 0;
	jobs->stats.out--;
	jobs_worker_moved(jobs, worker);
}

void jobs_health_step(jobs_t *jobs, int64_t now)
{
	for (int i = 0; i < JOBS_LEVELS; i++) {
		for (;;) {
			jobs_worker_t *w = g_queue_peek_head(&jobs->out[i]);

			if (!w || w->out_until > now)
				break;
			w->health = JOBS_TRIAL;
			wait_in(w, &jobs->trial);
		}
	}
}

void jobs_health_restarted(jobs_t *jobs, jobs_worker_t *worker)
{
	if (worker->health != JOBS_OUT)
		return;
	worker->health = JOBS_TRIAL;
	wait_in(worker, &jobs->trial);
}

void jobs_health_forget(jobs_t *jobs, jobs_worker_t *worker)
{
	if (worker->health != JOBS_FIT)
		jobs->stats.out--;
	wait_in(worker, NULL);
}

void jobs_blame_forget(jobs_t *jobs, jobs_job_t *job)
{
	for (int i = 0; i < job->n_tried; i++) {
		jobs_worker_t *worker =
			jobs_worker_find(jobs, base_str(job->tried[i]));
		int kept = 0;

		if (!worker)
			continue;
		for (int j = 0; j < worker->n_blamed; j++)
			if (worker->blamed[j] != job)
				worker->blamed[kept++] = worker->blamed[j];
		worker->n_blamed = kept;
	}
}

/* A job that has run elsewhere, and that may be lost without harm. */
jobs_worker_t *jobs_trial_for(jobs_t *jobs, const jobs_job_t *job,
			      const jobs_res_t *need)
{
	jobs_worker_t *worker = g_queue_peek_head(&jobs->trial);
	jobs_res_t room;

	if (!worker || !job->spec.repeatable || !job->spec.urgency ||
	    job->n_tried || !job->family->n)
		return NULL;
	room = jobs_worker_free(worker);
	if (!jobs_worker_takes(worker) || worker->claim ||
	    !jobs_fits(need, &room)) {
		wait_in(worker, &jobs->trial);
		return NULL;
	}
	wait_in(worker, NULL);
	return worker;
}

static void take_out(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	if (worker->health == JOBS_FIT)
		jobs->stats.out++;
	jobs->stats.taken_out++;
	worker->health = JOBS_OUT;
	worker->evidence = 0;
	worker->out_until = now + (JOBS_OUT_US << worker->level);
	wait_in(worker, &jobs->out[worker->level]);
	worker->level = MIN(worker->level + 1, JOBS_LEVELS - 1);
	jobs_worker_moved(jobs, worker);
	while (worker->n_blamed)
		acquit(jobs, now, worker, worker->blamed[--worker->n_blamed]);
}

static void acquit(jobs_t *jobs, int64_t now, jobs_worker_t *worker,
		   jobs_job_t *job)
{
	job->family->fails = MAX(0, job->family->fails - 1);
	job->family->runs = MAX(0, job->family->runs - 1);
	if (!tried_remove(job, worker))
		return;
	job->failures = MAX(0, job->failures - 1);
	jobs_dirty(jobs, job);
	if (job->state == JOBS_HELD && job->why == JOBS_WHY_POISON)
		jobs_requeue(jobs, now, job, false);
}

static void drop_oldest(jobs_worker_t *worker)
{
	worker->n_blamed--;
	for (int i = 0; i < worker->n_blamed; i++)
		worker->blamed[i] = worker->blamed[i + 1];
}

/* One family alone might be what fails. */
static bool convincing(const jobs_worker_t *worker, const jobs_family_t *family)
{
	if (fails_elsewhere(worker, family) < FAMILY_RELIABLE)
		return true;
	for (int i = 0; i < worker->n_blamed; i++)
		if (worker->blamed[i]->family != family)
			return true;
	return false;
}

/*
 * A broken worker is always free and draws jobs, so that its own failures
 * would soon be most of a family's.
 */
static double fails_elsewhere(const jobs_worker_t *worker,
			      const jobs_family_t *family)
{
	jobs_family_t others = { .runs = family->runs, .fails = family->fails };
	int own = 0;

	for (int i = 0; i < worker->n_blamed; i++)
		own += worker->blamed[i]->family == family;
	others.runs = MAX(0, others.runs - own);
	others.fails = MAX(0, others.fails - own);
	return jobs_family_fails(&others);
}

/* Where many seem broken it is rather the jobs that are. */
static bool may_lose_one(const jobs_t *jobs)
{
	return (jobs->stats.out + 1) * OUT_PART <=
	       g_hash_table_size(jobs->workers);
}

static void wait_in(jobs_worker_t *worker, GQueue *queue)
{
	if (worker->health_queue)
		g_queue_unlink(worker->health_queue, &worker->health_link);
	worker->health_queue = queue;
	if (queue)
		g_queue_push_tail_link(queue, &worker->health_link);
}

/* Whether it is new there: a job counts once against a worker. */
static bool tried_add(jobs_job_t *job, const jobs_worker_t *worker)
{
	if (job->n_tried == JOBS_TRIES_MAX || jobs_tried(job, worker))
		return false;
	job->tried[job->n_tried++] = talloc_strdup(job, worker->id);
	return true;
}

static bool tried_remove(jobs_job_t *job, const jobs_worker_t *worker)
{
	for (int i = 0; i < job->n_tried; i++) {
		if (strcmp(job->tried[i], worker->id) != 0)
			continue;
		talloc_free((void *)job->tried[i]);
		job->tried[i] = job->tried[--job->n_tried];
		return true;
	}
	return false;
}
