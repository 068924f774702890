/* Workers as the platform lists them, and what is allocated on them. */
#include "jobs_int.h"

static void requeue_reserving_job(jobs_t *jobs, int64_t now,
				  jobs_worker_t *worker);
static void update_overcommitted(jobs_t *jobs, jobs_worker_t *worker);
static jobs_res_t preemptible_total(const jobs_worker_t *worker);

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
	worker->health_link.data = worker->overcommitted_link.data = worker;
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
	/* The list of workers may be outdated; ignore an older incarnation. */
	if (info->incarnation < worker->incarnation)
		return;
	if (info->incarnation > worker->incarnation) {
		worker->incarnation = info->incarnation;
		jobs_worker_drop_tasks(jobs, now, worker);
	}
	worker->present = true;
	worker->accepts_tasks = info->accepts_new_tasks;
	worker->capacity = info->capacity;
	jobs_raise(&jobs->largest, &info->capacity);
	jobs_worker_changed(jobs, worker);
}

void jobs_worker_gone(jobs_t *jobs, int64_t now, base_str_t id,
		      int64_t incarnation)
{
	jobs_worker_t *worker = jobs_worker_find(jobs, id);

	if (!worker || incarnation < worker->incarnation)
		return;
	worker->present = false;
	jobs_worker_drop_tasks(jobs, now, worker);
	jobs_worker_drop(jobs, worker);
}

void jobs_worker_drop_tasks(jobs_t *jobs, int64_t now, jobs_worker_t *worker)
{
	while (!g_queue_is_empty(&worker->tasks))
		jobs_task_gone(jobs, now, g_queue_peek_head(&worker->tasks));
	if (!worker->present)
		requeue_reserving_job(jobs, now, worker);
	jobs_health_restarted(jobs, worker);
}

void jobs_worker_drop(jobs_t *jobs, jobs_worker_t *worker)
{
	jobs_health_forget_worker(jobs, worker);
	jobs_drain_end(jobs, worker);
	if (worker->overcommitted)
		g_queue_unlink(&jobs->overcommitted,
			       &worker->overcommitted_link);
	if (worker->has_throttled)
		g_queue_unlink(&jobs->throttled, &worker->throttled_link);
	jobs_tree_remove(jobs->tree, worker->leaf);
	g_hash_table_remove(jobs->workers, worker->id);
	talloc_free(worker);
}

bool jobs_worker_accepts_tasks(const jobs_worker_t *worker)
{
	return worker->present && worker->accepts_tasks && !worker->draining;
}

jobs_res_t jobs_worker_free(const jobs_worker_t *worker)
{
	return jobs_difference(&worker->capacity, &worker->allocated);
}

void jobs_worker_changed(jobs_t *jobs, jobs_worker_t *worker)
{
	const jobs_res_t none = { { -1, -1, -1 } };
	jobs_res_t avail[JOBS_AVAIL_MAX] = { none, none };

	worker->preemptible = preemptible_total(worker);
	if (jobs_worker_accepts_tasks(worker) &&
	    worker->health == JOBS_HEALTHY) {
		avail[JOBS_AVAIL_FREE] = jobs_worker_free(worker);
		if (!worker->reserved_for) {
			avail[JOBS_AVAIL_PREEMPTIBLE] = avail[JOBS_AVAIL_FREE];
			jobs_add(&avail[JOBS_AVAIL_PREEMPTIBLE],
				 &worker->preemptible);
		}
	}
	jobs_tree_set(jobs->tree, worker->leaf, avail);
	update_overcommitted(jobs, worker);
}

bool jobs_worker_load(const jobs_t *jobs, base_str_t id, jobs_res_t *allocated,
		      jobs_res_t *capacity)
{
	const jobs_worker_t *worker = jobs_worker_find(jobs, id);

	if (!worker)
		return false;
	*allocated = worker->allocated;
	*capacity = worker->capacity;
	if (worker->reserved_for)
		jobs_sub(allocated, &worker->reserved_for->reserved_share);
	return true;
}

static void requeue_reserving_job(jobs_t *jobs, int64_t now,
				  jobs_worker_t *worker)
{
	jobs_job_t *job = worker->reserved_for;

	if (!job)
		return;
	jobs_unreserve(jobs, job);
	jobs_requeue(jobs, now, job, true);
}

/*
 * Records whether the shares of the worker's tasks exceed its capacity; amounts
 * reserved for a waiting job do not count.
 */
static void update_overcommitted(jobs_t *jobs, jobs_worker_t *worker)
{
	jobs_res_t avail = jobs_worker_free(worker);
	bool is_over;

	if (worker->reserved_for)
		jobs_add(&avail, &worker->reserved_for->reserved_share);
	is_over = worker->present && jobs_is_negative(&avail);
	if (is_over && !worker->overcommitted)
		g_queue_push_tail_link(&jobs->overcommitted,
				       &worker->overcommitted_link);
	else if (!is_over && worker->overcommitted)
		g_queue_unlink(&jobs->overcommitted,
			       &worker->overcommitted_link);
	worker->overcommitted = is_over;
}

static jobs_res_t preemptible_total(const jobs_worker_t *worker)
{
	jobs_res_t sum = { { 0 } };

	for (GList *l = worker->tasks.head; l; l = l->next) {
		jobs_res_t one = jobs_preemptible_share(l->data);

		jobs_add(&sum, &one);
	}
	return sum;
}
