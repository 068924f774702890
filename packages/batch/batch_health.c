/*
 * Workers that fail whatever they start, or on which tasks hardly move on.
 *
 * A job that can never be done fails everywhere, a worker that fails
 * everything fails all jobs: only failures of several jobs in a row, without
 * one that ended well, speak against the worker.  One that fails again on
 * trial stays out longer each time.
 */
#include "batch_int.h"

#define HEALTH_JOBS 2		  /* distinct jobs in a row */
#define HEALTH_FAILS 3		  /* failures in a row */
#define HEALTH_STUCK 2		  /* tasks that hardly moved on in a row */
#define HEALTH_OUTS_MAX 4	  /* times HEALTH_OUT at the most */
#define HEALTH_OUT (4 * BASE_SEC) /* before a trial: some tasks' run time */

static void take_out(batch_worker_t *worker, int64_t now, const char *why,
		     int64_t value)
{
	worker->out = true;
	worker->outs = MIN(worker->outs + 1, HEALTH_OUTS_MAX);
	worker->out_until = now + worker->outs * HEALTH_OUT;
	worker->fail_streak = 0;
	worker->fail_jobs = 0;
	batch_note(
		worker->core,
		&(batch_note_t){
			.kind = BATCH_NOTE_WORKER_OUT,
			.task = { .occurrence = -1, .step = -1, .index = -1 },
			.worker = base_str(worker->id),
			.why = why,
			.value = value });
}

static void count_failure(batch_worker_t *worker, const batch_job_t *job)
{
	if (worker->fail_job != job)
		worker->fail_jobs++;
	worker->fail_job = job;
	worker->fail_streak++;
}

void batch_health_failed(batch_worker_t *worker, const batch_job_t *job,
			 int64_t now)
{
	count_failure(worker, job);
	if (worker->fail_streak >= HEALTH_FAILS &&
	    worker->fail_jobs >= HEALTH_JOBS && !worker->out)
		take_out(worker, now, "failures in a row", worker->fail_streak);
}

void batch_health_stuck(batch_worker_t *worker, const batch_job_t *job,
			int64_t now, const char *why)
{
	count_failure(worker, job);
	if (worker->fail_streak >= HEALTH_STUCK &&
	    worker->fail_jobs >= HEALTH_JOBS && !worker->out)
		take_out(worker, now, why, worker->fail_streak);
}

void batch_health_slow(batch_worker_t *worker, int64_t now, int runs)
{
	if (!worker->out)
		take_out(worker, now, "slow tasks", runs);
}

void batch_health_good(batch_worker_t *worker)
{
	worker->fail_streak = 0;
	worker->fail_jobs = 0;
	worker->fail_job = NULL;
	worker->outs = 0;
}

void batch_health_tick(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		batch_worker_t *worker = value;

		if (!worker->out || now < worker->out_until)
			continue;
		worker->out = false;
		core->changed = true;
		batch_note(core,
			   &(batch_note_t){ .kind = BATCH_NOTE_WORKER_BACK,
					    .task = { .occurrence = -1,
						      .step = -1,
						      .index = -1 },
					    .worker = base_str(worker->id),
					    .why = "on trial" });
	}
}
