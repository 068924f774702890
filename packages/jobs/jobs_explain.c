/* Why a job or a worker is where it is. */
#include "jobs_int.h"

static const char *const reasons[JOBS_WHY_MAX] = {
	[JOBS_WHY_TURN] = "waits for its turn among the teams",
	[JOBS_WHY_QUOTA] = "waits because its team's quota is taken",
	[JOBS_WHY_OVER] = "waits because it is larger than its team's quota",
	[JOBS_WHY_ROOM] = "waits because no worker has room for it",
	[JOBS_WHY_LARGE] = "waits because it is larger than every worker",
	[JOBS_WHY_CLAIM] = "waits while a worker is cleared for it",
	[JOBS_WHY_STARTING] = "is being started",
	[JOBS_WHY_RUNS] = "runs",
	[JOBS_WHY_LAPSED] = "is in doubt because its worker is silent, and "
			    "is not started elsewhere",
	[JOBS_WHY_MANY] = "waits because earlier attempts of it may still run "
			  "on silent workers",
	[JOBS_WHY_POISON] = "is held because it failed on distinct workers "
			    "that run other jobs",
	[JOBS_WHY_TRIES] = "is held after too many attempts without an end",
	[JOBS_WHY_ENDED] = "has ended well",
	[JOBS_WHY_FAILED] = "has failed and must not be repeated",
	[JOBS_WHY_SILENT] = "may or may not have run, because its worker went "
			    "away; it must not be repeated",
	[JOBS_WHY_CANCEL] = "was cancelled",
};

static const char *const healths[JOBS_HEALTH_MAX] = {
	[JOBS_FIT] = "takes tasks",
	[JOBS_OUT] = "is taken out because it fails what others run",
	[JOBS_TRIAL] = "is on trial after it was taken out",
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
		      job->cancelled && !jobs_ended(job)
			      ? "is cancelled and being stopped"
			      : reasons[job->why]);
	if (job->task)
		base_buf_addf(buf, "; worker %s, attempt %" PRId64,
			      job->task->worker->id, job->attempt);
	if (job->state == JOBS_QUEUED) {
		base_buf_addf(buf, "; for %" PRId64 " s",
			      (now - job->queued_at) / JOBS_SECOND);
		add_res(buf, "it needs", &need);
		add_res(buf, "the team holds", &job->team->used);
		add_res(buf, "of", &job->team->quota);
	}
	for (int i = 0; i < job->n_tried; i++)
		base_buf_addf(buf, "%s%s", i ? ", " : "; it failed on ",
			      job->tried[i]);
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
		      !worker->present		   ? "is not in the list"
		      : !jobs_worker_takes(worker) ? "drains"
						   : healths[worker->health]);
	if (worker->health == JOBS_OUT)
		base_buf_addf(buf, "; its trial is in %" PRId64 " s",
			      MAX(0, worker->out_until - now) / JOBS_SECOND);
	add_res(buf, "taken", &worker->taken);
	add_res(buf, "of", &worker->capacity);
	if (worker->draining)
		base_buf_addf(buf,
			      "; it is being emptied for %" PRId64
			      " s, %u tasks are left",
			      (now - worker->drain_at) / JOBS_SECOND,
			      worker->tasks.length);
	if (worker->claim)
		base_buf_addf(buf, "; it is being cleared for job %s",
			      worker->claim->spec.id.ptr);
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
