/*
 * Index of a pool's workers by their free cpu, so that placing a task does not
 * look at all workers of a pool.
 *
 * Workers are kept in classes: each power of two of free cpu is divided into
 * four.  Classes with workers are marked in a bitmap.
 */
#include "batch_int.h"

/*
 * Allowed workers of a class that are compared.  Those of one class differ by
 * less than a quarter of their free cpu.
 */
#define ROOM_CANDIDATES_MAX 8

#define ROOM_WORD_BITS 64

static int room_class(int64_t free_cpu)
{
	int log;
	int quarter;

	if (free_cpu <= 0)
		return 0;
	log = ROOM_WORD_BITS - 1 - __builtin_clzll((uint64_t)free_cpu);
	quarter = log >= 2 ? (int)(free_cpu >> (log - 2)) & 3 : 0;
	return MIN(1 + 4 * log + quarter, BATCH_ROOM_CLASSES - 1);
}

static void mark(batch_pool_t *pool, int class)
{
	uint64_t bit = 1ULL << class % ROOM_WORD_BITS;

	if (pool->room[class])
		pool->room_used[class / ROOM_WORD_BITS] |= bit;
	else
		pool->room_used[class / ROOM_WORD_BITS] &= ~bit;
}

static void remove_worker(batch_worker_t *worker)
{
	batch_pool_t *pool = worker->room_pool;

	if (worker->room_next)
		worker->room_next->room_prev = worker->room_prev;
	if (worker->room_prev)
		worker->room_prev->room_next = worker->room_next;
	else
		pool->room[worker->room_class] = worker->room_next;
	mark(pool, worker->room_class);
	worker->room_pool = NULL;
}

static void add_worker(batch_worker_t *worker, int class)
{
	batch_pool_t *pool = worker->pool;

	worker->room_pool = pool;
	worker->room_class = class;
	worker->room_prev = NULL;
	worker->room_next = pool->room[class];
	if (worker->room_next)
		worker->room_next->room_prev = worker;
	pool->room[class] = worker;
	mark(pool, class);
}

/* The worker changes its pool. */
static void forget_available(const batch_worker_t *worker)
{
	if (worker->room_pool)
		worker->room_pool->available_at = 0;
	if (worker->pool)
		worker->pool->available_at = 0;
}

void batch_room_update(batch_worker_t *worker)
{
	int class = room_class(worker->capacity.cpu - worker->used.cpu);

	if (worker->room_pool == worker->pool &&
	    (!worker->pool || worker->room_class == class))
		return;
	if (worker->room_pool != worker->pool)
		forget_available(worker);
	if (worker->room_pool)
		remove_worker(worker);
	if (worker->pool)
		add_worker(worker, class);
}

/* The first class from "class" on that has workers; -1: none. */
static int next_class(const batch_pool_t *pool, int class)
{
	int word = class / ROOM_WORD_BITS;
	uint64_t bits;

	if (class >= BATCH_ROOM_CLASSES)
		return -1;
	bits = pool->room_used[word] & (~0ULL << class % ROOM_WORD_BITS);
	while (!bits) {
		if (++word == BATCH_ROOM_WORDS)
			return -1;
		bits = pool->room_used[word];
	}
	return word * ROOM_WORD_BITS + __builtin_ctzll(bits);
}

static bool is_suitable(const batch_worker_t *worker, const batch_task_t *task,
			int64_t now)
{
	return batch_fit_has_capacity(worker, task->step->spec) &&
	       batch_fit_allows(worker, task, now);
}

static double utilization(const batch_worker_t *worker)
{
	return (double)worker->used.cpu / (double)(worker->capacity.cpu + 1);
}

/* A copy avoids the rack of the run that it is beside. */
static bool is_avoided(const batch_worker_t *worker, const batch_task_t *task)
{
	return worker == task->avoid_worker ||
	       (task->run && !strcmp(worker->rack, task->run->worker->rack));
}

/* The task's avoided worker, if it is suitable, is only set in "avoided". */
static batch_worker_t *find_in_class(const batch_pool_t *pool, int class,
				     const batch_task_t *task, int64_t now,
				     batch_worker_t **avoided)
{
	batch_worker_t *best = NULL;
	batch_worker_t *worker;
	int n = 0;

	for (worker = pool->room[class]; worker && n < ROOM_CANDIDATES_MAX;
	     worker = worker->room_next) {
		if (!is_suitable(worker, task, now))
			continue;
		if (is_avoided(worker, task)) {
			*avoided = worker;
			continue;
		}
		n++;
		if (!best || utilization(worker) > utilization(best))
			best = worker;
	}
	return best;
}

batch_worker_t *batch_room_find(const batch_pool_t *pool,
				const batch_task_t *task, int64_t now)
{
	const batch_step_spec_t *spec = task->step->spec;
	batch_worker_t *avoided = NULL;
	batch_worker_t *found;
	int class = room_class(spec->best_effort ? 0 : spec->need.cpu);

	while ((class = next_class(pool, class)) >= 0) {
		found = find_in_class(pool, class ++, task, now, &avoided);
		if (found)
			return found;
	}
	return avoided;
}
