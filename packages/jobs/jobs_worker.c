/* Workers as the platform describes them. */
#include "jobs_int.h"

static void emptied_claim(jobs_t *jobs, int64_t now, jobs_worker_t *worker);
static void note_over(jobs_t *jobs, jobs_worker_t *worker);
static jobs_res_t yield_of(const jobs_worker_t *worker);

jobs_worker_t *jobs_worker_find(const jobs_t *jobs, base_str_t id)
{
	return jobs_lookup(jobs->workers, id);
}

jobs_worker_t *jobs_worker_get(jobs_t *jobs, base_str_t id, int64_t incarnation)
{
	jobs_worker_t *worker = jobs_worker_find(jobs, id);

	if (worker)
		return worker;
	worker = talloc_zero(jobs, jobs_worker_t);
	worker->id = base_str_dup(worker, id);
	worker->serial = ++jobs->serial;
	worker->incarnation = incarnation;
	worker->health_link.data = worker->over_link.data = worker;
	worker->throttled_link.data = worker->drain_link.data = worker;
	worker->leaf = jobs_tree_add(jobs->tree, worker);
	g_hash_table_insert(jobs->workers, (char *)worker->id, worker);
	return worker;
}

void jobs_worker_seen(jobs_t *jobs, int64_t now, const jobs_worker_info_t *info)
{
	jobs_worker_t *worker;

	if (!info->id.len || info->id.len > JOBS_ID_MAX)
		return;
	worker = jobs_worker_get(jobs, info->id, info->incarnation);
	/* The list lags: an older life of it says nothing. */
	if (info->incarnation < worker->incarnation)
		return;
	if (info->incarnation > worker->incarnation) {
		worker->incarnation = info->incarnation;
		jobs_worker_emptied(jobs, now, worker);
	}
	worker->present = true;
	worker->takes = info->takes;
	worker->capacity = info->capacity;
	jobs_raise(&jobs->largest, &info->capacity);
	jobs_worker_moved(jobs, worker);
}

void jobs_worker_gone(jobs_t *jobs, int64_t now, base_str_t id,
		      int64_t incarnation)
{
	jobs_worker_t *worker = jobs_worker_find(jobs, id);

	if (!worker || incarnation < worker->incarnation)
		return;
	worker->present = false;
	jobs_worker_emptied(jobs, now, worker);
	jobs_worker_drop(jobs, worker);
}

void jobs_worker_emptied(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	while (!g_queue_is_empty(&worker->tasks))
		jobs_task_gone(jobs, now, g_queue_peek_head(&worker->tasks));
	if (!worker->present)
		emptied_claim(jobs, now, worker);
	jobs_health_restarted(jobs, worker);
}

void jobs_worker_drop(jobs_t *jobs, jobs_worker_t *worker)
{
	jobs_health_forget(jobs, worker);
	jobs_drain_end(jobs, worker);
	if (worker->over)
		g_queue_unlink(&jobs->over, &worker->over_link);
	if (worker->throttling)
		g_queue_unlink(&jobs->throttled, &worker->throttled_link);
	jobs_tree_remove(jobs->tree, worker->leaf);
	g_hash_table_remove(jobs->workers, worker->id);
	talloc_free(worker);
}

bool jobs_worker_takes(const jobs_worker_t *worker)
{
	return worker->present && worker->takes && !worker->draining;
}

jobs_res_t jobs_worker_free(const jobs_worker_t *worker)
{
	return jobs_less(&worker->capacity, &worker->taken);
}

void jobs_worker_moved(jobs_t *jobs, jobs_worker_t *worker)
{
	const jobs_res_t none = { { -1, -1, -1 } };
	jobs_res_t room[JOBS_ROOM_MAX] = { none, none };

	worker->yield = yield_of(worker);
	if (jobs_worker_takes(worker) && worker->health == JOBS_FIT) {
		room[JOBS_ROOM_FREE] = jobs_worker_free(worker);
		if (!worker->claim) {
			room[JOBS_ROOM_YIELD] = room[JOBS_ROOM_FREE];
			jobs_add(&room[JOBS_ROOM_YIELD], &worker->yield);
		}
	}
	jobs_tree_set(jobs->tree, worker->leaf, room);
	note_over(jobs, worker);
}

bool jobs_worker_load(const jobs_t *jobs, base_str_t id, jobs_res_t *taken,
		      jobs_res_t *capacity)
{
	const jobs_worker_t *worker = jobs_worker_find(jobs, id);

	if (!worker)
		return false;
	*taken = worker->taken;
	*capacity = worker->capacity;
	if (worker->claim)
		jobs_sub(taken, &worker->claim->claim_share);
	return true;
}

static void emptied_claim(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	jobs_job_t *job = worker->claim;

	if (!job)
		return;
	jobs_unclaim(jobs, job);
	jobs_requeue(jobs, now, job, true);
}

/* Its tasks alone, without a claim, take more than it has. */
static void note_over(jobs_t *jobs, jobs_worker_t *worker)
{
	jobs_res_t room = jobs_worker_free(worker);
	bool over;

	if (worker->claim)
		jobs_add(&room, &worker->claim->claim_share);
	over = worker->present && jobs_negative(&room);
	if (over && !worker->over)
		g_queue_push_tail_link(&jobs->over, &worker->over_link);
	else if (!over && worker->over)
		g_queue_unlink(&jobs->over, &worker->over_link);
	worker->over = over;
}

static jobs_res_t yield_of(const jobs_worker_t *worker)
{
	jobs_res_t sum = { { 0 } };

	for (GList *l = worker->tasks.head; l; l = l->next) {
		jobs_res_t one = jobs_yield_of(l->data);

		jobs_add(&sum, &one);
	}
	return sum;
}
