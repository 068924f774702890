/* Which job starts next, and where. */
#include "jobs_int.h"

static void place_urgency(jobs_t *jobs, int64_t now, int urgency, int *left);
static bool place_team(jobs_t *jobs, int64_t now, jobs_team_t *team,
		       int urgency);
static bool place_job(jobs_t *jobs, int64_t now, jobs_job_t *job);
static bool within_quota(jobs_job_t *job, const jobs_res_t *need);
static jobs_worker_t *find(jobs_t *jobs, int64_t now, const jobs_job_t *job,
			   const jobs_res_t *need);
static bool wait_for_room(jobs_t *jobs, int64_t now, jobs_job_t *job,
			  const jobs_res_t *need);

void jobs_place(jobs_t *jobs, int64_t now)
{
	int left = JOBS_PLACES_MAX;

	for (int u = 0; u < JOBS_URGENCY_MAX; u++) {
		jobs_team_unpark(jobs, u, JOBS_LOOKAHEAD);
		place_urgency(jobs, now, u, &left);
	}
}

void jobs_start_on(jobs_t *jobs, int64_t now, jobs_job_t *job,
		   jobs_worker_t *worker, const jobs_res_t *need)
{
	jobs_task_t *task;

	jobs_dequeue(jobs, job);
	job->hasty = false;
	job->avoid = 0;
	task = jobs_task_new(jobs, job, worker, ++job->attempt, need);
	task->started_at = now;
	task->trial = worker->health == JOBS_TRIAL;
	job->task = task;
	jobs_set(jobs, job, JOBS_STARTING, JOBS_WHY_STARTING);
	jobs_dirty(jobs, job);
	jobs_task_effect(jobs, task, JOBS_EFFECT_START);
}

bool jobs_tried(const jobs_job_t *job, const jobs_worker_t *worker)
{
	for (int i = 0; i < job->n_tried; i++)
		if (!strcmp(job->tried[i], worker->id))
			return true;
	return false;
}

static void place_urgency(jobs_t *jobs, int64_t now, int urgency, int *left)
{
	int unlucky = 0;

	while (*left > 0 && unlucky < JOBS_LOOKAHEAD) {
		jobs_team_t *team = jobs_heap_pop(&jobs->heap[urgency]);

		if (!team)
			break;
		if (place_team(jobs, now, team, urgency)) {
			--*left;
			jobs_team_back(jobs, team, urgency);
		} else {
			unlucky++;
			jobs_team_park(jobs, team, urgency);
		}
	}
}

/* A few of its jobs are tried, so that one large job does not stop them. */
static bool place_team(jobs_t *jobs, int64_t now, jobs_team_t *team,
		       int urgency)
{
	GList *l = team->queue[urgency].head;

	for (int i = 0; l && i < JOBS_HEADS; i++) {
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
		job->why = JOBS_WHY_MANY;
		return false;
	}
	if (!within_quota(job, &need))
		return false;
	worker = jobs_trial_for(jobs, job, &need);
	if (!worker)
		worker = find(jobs, now, job, &need);
	if (!worker)
		return wait_for_room(jobs, now, job, &need);
	jobs_start_on(jobs, now, job, worker, &need);
	return true;
}

static bool within_quota(jobs_job_t *job, const jobs_res_t *need)
{
	const jobs_team_t *team = job->team;
	jobs_res_t room = jobs_less(&team->quota, &team->used);

	if (jobs_fits(need, &room))
		return true;
	job->why =
		jobs_fits(need, &team->quota) ? JOBS_WHY_QUOTA : JOBS_WHY_OVER;
	return false;
}

/* One that it failed on is taken again only when no other has had room. */
static jobs_worker_t *find(jobs_t *jobs, int64_t now, const jobs_job_t *job,
			   const jobs_res_t *need)
{
	bool late = now - job->queued_at >= JOBS_AGAIN_US;
	int64_t most = job->spec.urgency ? JOBS_VISITS_MAX : INT64_MAX;
	int64_t visits = most;
	jobs_worker_t *worker, *again = NULL;
	size_t from = 0;

	for (;;) {
		worker = jobs_tree_find(jobs->tree, JOBS_ROOM_FREE, need, &from,
					&visits);
		if (!worker || !jobs_tried(job, worker))
			break;
		again = worker;
	}
	jobs->stats.searches++;
	jobs->stats.visited += (uint64_t)(most - visits);
	return worker || !late ? worker : again;
}

static bool wait_for_room(jobs_t *jobs, int64_t now, jobs_job_t *job,
			  const jobs_res_t *need)
{
	bool late = now - job->queued_at >= JOBS_PATIENCE_US;

	if ((!job->spec.urgency || late) && jobs_claim(jobs, now, job, need))
		return true;
	job->why = jobs_fits(need, &jobs->largest) ? JOBS_WHY_ROOM
						   : JOBS_WHY_LARGE;
	return false;
}
