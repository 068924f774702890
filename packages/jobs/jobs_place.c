/* Placement: selects the next job to start and its worker. */
#include "jobs_int.h"

static void place_urgency(jobs_t *jobs, int64_t now, int urgency, int *left);
static bool place_team(jobs_t *jobs, int64_t now, jobs_team_t *team,
		       int urgency);
static bool place_job(jobs_t *jobs, int64_t now, jobs_job_t *job);
static bool within_quota(jobs_job_t *job, const jobs_res_t *need);
static jobs_worker_t *find_worker(jobs_t *jobs, int64_t now,
				  const jobs_job_t *job,
				  const jobs_res_t *need);
static bool reserve_or_wait(jobs_t *jobs, int64_t now, jobs_job_t *job,
			    const jobs_res_t *need);

void jobs_place(jobs_t *jobs, int64_t now)
{
	int left = JOBS_PLACEMENTS_MAX;

	for (int u = 0; u < JOBS_URGENCY_MAX; u++) {
		jobs_team_unpark(jobs, u, JOBS_TEAM_LOOKAHEAD);
		place_urgency(jobs, now, u, &left);
	}
}

void jobs_start_on(jobs_t *jobs, int64_t now, jobs_job_t *job,
		   jobs_worker_t *worker, const jobs_res_t *need)
{
	jobs_task_t *task;

	jobs_dequeue(jobs, job);
	job->skip_checkpoint = false;
	job->avoid_serial = 0;
	task = jobs_task_new(jobs, job, worker, ++job->attempt, need);
	task->started_at_us = now;
	task->is_probe = worker->health == JOBS_PROBATION;
	job->task = task;
	jobs_set_state(jobs, job, JOBS_STARTING, JOBS_REASON_STARTING);
	jobs_mark_dirty(jobs, job);
	jobs_task_queue_order(jobs, task, JOBS_ORDER_START);
}

bool jobs_failed_on(const jobs_job_t *job, const jobs_worker_t *worker)
{
	for (int i = 0; i < job->n_failed_workers; i++)
		if (!strcmp(job->failed_workers[i], worker->id))
			return true;
	return false;
}

static void place_urgency(jobs_t *jobs, int64_t now, int urgency, int *left)
{
	int n_unplaced = 0;

	while (*left > 0 && n_unplaced < JOBS_TEAM_LOOKAHEAD) {
		jobs_team_t *team = jobs_heap_pop(&jobs->heap[urgency]);

		if (!team)
			break;
		if (place_team(jobs, now, team, urgency)) {
			--*left;
			jobs_team_reinsert(jobs, team, urgency);
		} else {
			n_unplaced++;
			jobs_team_park(jobs, team, urgency);
		}
	}
}

/* Tries several jobs, so that a large one does not block the queue. */
static bool place_team(jobs_t *jobs, int64_t now, jobs_team_t *team,
		       int urgency)
{
	GList *l = team->queue[urgency].head;

	for (int i = 0; l && i < JOBS_JOB_LOOKAHEAD; i++) {
		jobs_job_t *job = l->data;

		l = l->next;
		if (place_job(jobs, now, job))
			return true;
	}
	return false;
}

static bool place_job(jobs_t *jobs, int64_t now, jobs_job_t *job)
{
	jobs_res_t need = jobs_need(jobs, job);
	jobs_worker_t *worker;

	if (g_queue_get_length(&job->tasks) >= JOBS_TASKS_MAX) {
		job->reason = JOBS_REASON_TASKS_LIMIT;
		return false;
	}
	if (!within_quota(job, &need))
		return false;
	worker = jobs_probe_worker_for(jobs, job, &need);
	if (!worker)
		worker = find_worker(jobs, now, job, &need);
	if (!worker)
		return reserve_or_wait(jobs, now, job, &need);
	jobs_start_on(jobs, now, job, worker, &need);
	return true;
}

static bool within_quota(jobs_job_t *job, const jobs_res_t *need)
{
	const jobs_team_t *team = job->team;
	jobs_res_t avail = jobs_difference(&team->quota, &team->used);

	if (jobs_fits(need, &avail))
		return true;
	job->reason = jobs_fits(need, &team->quota) ? JOBS_REASON_QUOTA_USED
						    : JOBS_REASON_OVER_QUOTA;
	return false;
}

/*
 * A worker on which the job failed is used again only if no other one has had
 * enough free capacity for JOBS_RETRY_SAME_WORKER_US.
 */
static jobs_worker_t *find_worker(jobs_t *jobs, int64_t now,
				  const jobs_job_t *job, const jobs_res_t *need)
{
	bool waited_long = now - job->queued_at_us >= JOBS_RETRY_SAME_WORKER_US;
	int64_t max_visits = job->spec.urgency ? JOBS_VISITS_MAX : INT64_MAX;
	int64_t visits = max_visits;
	jobs_worker_t *worker, *failed_worker = NULL;
	size_t from = 0;

	for (;;) {
		worker = jobs_tree_find(jobs->tree, JOBS_AVAIL_FREE, need,
					&from, &visits);
		if (!worker || !jobs_failed_on(job, worker))
			break;
		failed_worker = worker;
	}
	jobs->stats.searches++;
	jobs->stats.nodes_visited += (uint64_t)(max_visits - visits);
	return worker || !waited_long ? worker : failed_worker;
}

static bool reserve_or_wait(jobs_t *jobs, int64_t now, jobs_job_t *job,
			    const jobs_res_t *need)
{
	bool waited_long = now - job->queued_at_us >= JOBS_RESERVE_AFTER_US;

	if ((!job->spec.urgency || waited_long) &&
	    jobs_reserve(jobs, now, job, need))
		return true;
	job->reason = jobs_fits(need, &jobs->largest) ? JOBS_REASON_NO_CAPACITY
						      : JOBS_REASON_TOO_LARGE;
	return false;
}
