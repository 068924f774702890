/*
 * Queues per team and urgency.  Among teams with queued jobs the one that uses
 * the smallest share of its quota goes first.  A team none of whose jobs could
 * be placed is parked.  Each step retries a limited number of parked teams, so
 * that its cost does not depend on the number of waiting teams.
 */
#include "jobs_int.h"

static void swap(jobs_heap_t *heap, size_t a, size_t b);
static void sift_up(jobs_heap_t *heap, size_t at);
static void sift_down(jobs_heap_t *heap, size_t at);
static void push_team(jobs_t *jobs, jobs_team_t *team, int urgency);
static void remove_team(jobs_t *jobs, jobs_team_t *team, int urgency);

jobs_team_t *jobs_team_get(jobs_t *jobs, base_str_t name)
{
	char *key = base_str_dup(jobs, name);
	jobs_team_t *team = g_hash_table_lookup(jobs->teams, key);

	if (team) {
		talloc_free(key);
		return team;
	}
	team = talloc_zero(jobs, jobs_team_t);
	team->name = talloc_steal(team, key);
	for (int u = 0; u < JOBS_URGENCY_MAX; u++)
		team->parked_link[u].data = team;
	g_hash_table_insert(jobs->teams, key, team);
	return team;
}

void jobs_enqueue(jobs_t *jobs, int64_t now, jobs_job_t *job, bool first)
{
	int u = job->spec.urgency;
	jobs_team_t *team = job->team;

	job->queued_at_us = now;
	job->queued = true;
	if (first)
		g_queue_push_head_link(&team->queue[u], &job->queue_link);
	else
		g_queue_push_tail_link(&team->queue[u], &job->queue_link);
	if (!team->parked[u] && !team->heap_index[u])
		push_team(jobs, team, u);
}

void jobs_dequeue(jobs_t *jobs, jobs_job_t *job)
{
	int u = job->spec.urgency;

	if (!job->queued)
		return;
	job->queued = false;
	g_queue_unlink(&job->team->queue[u], &job->queue_link);
	if (g_queue_is_empty(&job->team->queue[u]))
		remove_team(jobs, job->team, u);
}

void jobs_team_changed(jobs_t *jobs, jobs_team_t *team)
{
	double share = 0;

	for (int k = 0; k < JOBS_KIND_MAX; k++)
		if (team->quota.v[k] > 0)
			share = MAX(share, (double)team->used.v[k] /
						   (double)team->quota.v[k]);
	team->share = share;
	for (int u = 0; u < JOBS_URGENCY_MAX; u++)
		if (team->heap_index[u])
			jobs_heap_fix(&jobs->heap[u], team);
}

void jobs_team_park(jobs_t *jobs, jobs_team_t *team, int urgency)
{
	remove_team(jobs, team, urgency);
	team->parked[urgency] = true;
	g_queue_push_tail_link(&jobs->parked[urgency],
			       &team->parked_link[urgency]);
}

void jobs_team_unpark(jobs_t *jobs, int urgency, size_t max)
{
	while (max-- && !g_queue_is_empty(&jobs->parked[urgency])) {
		GList *link = g_queue_pop_head_link(&jobs->parked[urgency]);
		jobs_team_t *team = link->data;

		team->parked[urgency] = false;
		jobs_team_reinsert(jobs, team, urgency);
	}
}

void jobs_team_reinsert(jobs_t *jobs, jobs_team_t *team, int urgency)
{
	if (!team->heap_index[urgency] && !team->parked[urgency] &&
	    !g_queue_is_empty(&team->queue[urgency]))
		push_team(jobs, team, urgency);
}

/* The caller must reinsert or park the team. */
jobs_team_t *jobs_heap_pop(jobs_heap_t *heap)
{
	jobs_team_t *team;

	if (!heap->n)
		return NULL;
	team = heap->v[1];
	swap(heap, 1, heap->n--);
	sift_down(heap, 1);
	team->heap_index[heap->urgency] = 0;
	return team;
}

void jobs_heap_fix(jobs_heap_t *heap, jobs_team_t *team)
{
	sift_up(heap, (size_t)team->heap_index[heap->urgency]);
	sift_down(heap, (size_t)team->heap_index[heap->urgency]);
}

static void push_team(jobs_t *jobs, jobs_team_t *team, int urgency)
{
	jobs_heap_t *heap = &jobs->heap[urgency];

	if (++heap->n >= heap->alloc) {
		heap->alloc = heap->n * 2;
		heap->v = talloc_realloc(jobs, heap->v, jobs_team_t *,
					 (unsigned)heap->alloc);
	}
	heap->v[heap->n] = team;
	team->heap_index[urgency] = (int)heap->n;
	sift_up(heap, heap->n);
}

/* Removes the team from the heap and from the parked teams. */
static void remove_team(jobs_t *jobs, jobs_team_t *team, int urgency)
{
	jobs_heap_t *heap = &jobs->heap[urgency];
	size_t at = (size_t)team->heap_index[urgency];

	if (team->parked[urgency]) {
		team->parked[urgency] = false;
		g_queue_unlink(&jobs->parked[urgency],
			       &team->parked_link[urgency]);
	}
	if (!at)
		return;
	swap(heap, at, heap->n--);
	team->heap_index[urgency] = 0;
	if (at <= heap->n)
		jobs_heap_fix(heap, heap->v[at]);
}

static void swap(jobs_heap_t *heap, size_t a, size_t b)
{
	jobs_team_t *x = heap->v[a], *y = heap->v[b];

	heap->v[a] = y;
	heap->v[b] = x;
	y->heap_index[heap->urgency] = (int)a;
	x->heap_index[heap->urgency] = (int)b;
}

static void sift_up(jobs_heap_t *heap, size_t at)
{
	while (at > 1 && heap->v[at]->share < heap->v[at / 2]->share) {
		swap(heap, at, at / 2);
		at /= 2;
	}
}

static void sift_down(jobs_heap_t *heap, size_t at)
{
	for (;;) {
		size_t least = at;

		for (size_t c = at * 2; c <= at * 2 + 1; c++)
			if (c <= heap->n &&
			    heap->v[c]->share < heap->v[least]->share)
				least = c;
		if (least == at)
			return;
		swap(heap, at, least);
		at = least;
	}
}
