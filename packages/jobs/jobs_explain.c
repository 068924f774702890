/* Texts that explain the state of a job or a worker. */
#include "jobs_int.h"

static const char *const reason_texts[JOBS_REASON_MAX] = {
	[JOBS_REASON_FAIR_SHARE] =
		"waits for teams that use less of their quota",
	[JOBS_REASON_QUOTA_USED] = "waits because its team's quota is taken",
	[JOBS_REASON_OVER_QUOTA] =
		"waits because it is larger than its team's quota",
	[JOBS_REASON_NO_CAPACITY] =
		"waits because no worker has enough free capacity",
	[JOBS_REASON_TOO_LARGE] =
		"waits because it is larger than every worker",
	[JOBS_REASON_RESERVED] =
		"waits until the worker that is reserved for it is free",
	[JOBS_REASON_STARTING] = "is being started",
	[JOBS_REASON_RUNNING] = "runs",
	[JOBS_REASON_LEASE_LAPSED] =
		"is in doubt because its worker is silent, and "
		"is not started elsewhere",
	[JOBS_REASON_TASKS_LIMIT] =
		"waits because earlier attempts of it may still run "
		"on silent workers",
	[JOBS_REASON_POISON] = "is held because it failed on distinct workers "
			       "that run other jobs",
	[JOBS_REASON_ATTEMPTS_LIMIT] =
		"is held after too many attempts that did not finish",
	[JOBS_REASON_DONE] = "has finished successfully",
	[JOBS_REASON_FAILED] = "has failed and must not be repeated",
	[JOBS_REASON_WORKER_GONE] =
		"may or may not have run, because its worker went "
		"away; it must not be repeated",
	[JOBS_REASON_CANCELLED] = "was cancelled",
};

static const char *const health_texts[JOBS_HEALTH_MAX] = {
	[JOBS_HEALTHY] = "accepts tasks",
	[JOBS_QUARANTINED] =
		"is in quarantine because it fails tasks that others run",
	[JOBS_PROBATION] = "is on probation after a quarantine",
};

static void add_res(base_buf_t *buf, const char *what, const jobs_res_t *res);

char *jobs_explain(const jobs_t *jobs, const void *ctx, int64_t now,
		   base_str_t id)
{
	const jobs_job_t *job = jobs_find(jobs, id);
	base_buf_t *buf;
	jobs_res_t need;
	char *text;

	if (!job)
		return NULL;
	buf = base_buf_new(NULL);
	need = jobs_need(jobs, job);
	base_buf_addf(buf, "job %s of team %s (%s) %s", job->spec.id.ptr,
		      job->team->name, jobs_state_name(job->state),
		      job->cancelled && !jobs_has_ended(job)
			      ? "is cancelled and being stopped"
			      : reason_texts[job->reason]);
	if (job->task)
		base_buf_addf(buf, "; worker %s, attempt %" PRId64,
			      job->task->worker->id, job->attempt);
	if (job->state == JOBS_QUEUED) {
		base_buf_addf(buf, "; for %" PRId64 " s",
			      (now - job->queued_at_us) / JOBS_SECOND);
		add_res(buf, "it needs", &need);
		add_res(buf, "the team holds", &job->team->used);
		add_res(buf, "of", &job->team->quota);
	}
	for (int i = 0; i < job->n_failed_workers; i++)
		base_buf_addf(buf, "%s%s", i ? ", " : "; it failed on ",
			      job->failed_workers[i]);
	base_buf_adds(buf, ".");
	text = base_str_dup(ctx, base_buf_str(buf));
	talloc_free(buf);
	return text;
}

char *jobs_explain_worker(const jobs_t *jobs, const void *ctx, int64_t now,
			  base_str_t id)
{
	const jobs_worker_t *worker = jobs_worker_find(jobs, id);
	base_buf_t *buf;
	char *text;

	if (!worker)
		return NULL;
	buf = base_buf_new(NULL);
	base_buf_addf(buf, "worker %s %s", worker->id,
		      !worker->present ? "is not listed"
		      : !jobs_worker_accepts_tasks(worker)
			      ? "drains"
			      : health_texts[worker->health]);
	if (worker->health == JOBS_QUARANTINED)
		base_buf_addf(buf, "; its quarantine ends in %" PRId64 " s",
			      MAX(0, worker->quarantine_end_us - now) /
				      JOBS_SECOND);
	add_res(buf, "taken", &worker->allocated);
	add_res(buf, "of", &worker->capacity);
	if (worker->draining)
		base_buf_addf(buf,
			      "; it has been draining for %" PRId64
			      " s, %u tasks are left",
			      (now - worker->drain_start_us) / JOBS_SECOND,
			      worker->tasks.length);
	if (worker->reserved_for)
		base_buf_addf(buf, "; it is reserved for job %s",
			      worker->reserved_for->spec.id.ptr);
	base_buf_adds(buf, ".");
	text = base_str_dup(ctx, base_buf_str(buf));
	talloc_free(buf);
	return text;
}

static void add_res(base_buf_t *buf, const char *what, const jobs_res_t *res)
{
	base_buf_addf(buf,
		      "; %s %.1f cores, %" PRId64 " MB, %" PRId64
		      " accelerators",
		      what, (double)res->v[JOBS_CORES] / 1000,
		      res->v[JOBS_MEMORY], res->v[JOBS_ACCELERATORS]);
}
