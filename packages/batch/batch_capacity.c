/*
 * How many workers each pool has, and when.
 *
 * Queues have bursts at different times: each submits several times its mean
 * demand for some seconds and almost nothing in between, while an idle instance
 * in a pool costs as much as a busy one.  Instances follow the demand: they
 * come from pools with a surplus first, then from the switched-off ones.
 * Instances that no pool needs are switched off.
 */
#include <math.h>

#include "batch_int.h"

/*
 * Decay time of the measured demand.  A burst takes some seconds, so that the
 * measured rate must rise within a fraction of a second.
 */
#define CAPACITY_RATE_DECAY (500 * BASE_MS)
/*
 * Factor by which a pool gets more workers than its demand needs: tasks do not
 * use every core of a worker, so some capacity stays unused.
 */
#define CAPACITY_HEADROOM 1.3
/*
 * A worker is taken from a pool only after the pool has had a surplus for this
 * long: moving it away and back costs two moves, as much as two seconds of an
 * idle worker.
 */
#define CAPACITY_SURPLUS_TIME (700 * BASE_MS)
/*
 * Workers kept beyond those that spreading the long-running tasks needs, so
 * that one of these tasks can move.
 */
#define CAPACITY_SPREAD_EXTRA 1
#define CAPACITY_POOLS_MAX 256
/*
 * A pool gets one worker more while a step has lately been found that the
 * policy allows on none of those that it has.
 */
#define CAPACITY_EXCLUDED_AGE BASE_SEC

typedef struct need {
	batch_pool_t *pool;
	int have; /* usable workers and those moving to the pool */
	int want;
	int lasting; /* workers that the long-running tasks need; 0: none */
} need_t;

/* Decays the measured rate to "now". */
static void decay_rate(batch_pool_t *pool, int64_t now)
{
	double part;

	if (now <= pool->rate_at)
		return;
	part = exp(-(double)(now - pool->rate_at) / CAPACITY_RATE_DECAY);
	pool->rate.cpu *= part;
	pool->rate.memory *= part;
	pool->rate_largest.cpu *= part;
	pool->rate_largest.memory *= part;
	pool->rate_at = now;
}

/* Counts a submitted job in the demand, whether it is accepted or not. */
void batch_capacity_add_demand(batch_pool_t *pool, int64_t now,
			       const batch_load_t *work)
{
	batch_load_t part = { work->cpu / CAPACITY_RATE_DECAY,
			      work->memory / CAPACITY_RATE_DECAY };

	decay_rate(pool, now);
	pool->rate.cpu += part.cpu;
	pool->rate.memory += part.memory;
	pool->rate_largest.cpu = MAX(pool->rate_largest.cpu, part.cpu);
	pool->rate_largest.memory = MAX(pool->rate_largest.memory, part.memory);
}

/*
 * The expected demand.  The largest job does not count: it may be a hundred
 * times the size of another and does not predict the following ones.
 */
static batch_load_t expected_rate(const batch_pool_t *pool)
{
	return (batch_load_t){ pool->rate.cpu - pool->rate_largest.cpu,
			       pool->rate.memory - pool->rate_largest.memory };
}

static double ratio(double need, double have)
{
	return have > 0 ? need / have : 0;
}

/*
 * How many workers of the largest size the workers lack to that size: each
 * counts by the resource of which it has least.
 */
static double lacking_workers(const batch_pool_t *pool)
{
	double lacking = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);
		double part = 1;

		if (!batch_worker_in_capacity(worker))
			continue;
		if (pool->worker_cpu > 0)
			part = (double)worker->capacity.cpu / pool->worker_cpu;
		if (pool->worker_memory > 0)
			part = MIN(part, (double)worker->capacity.memory /
						 pool->worker_memory);
		lacking += MAX(1 - part, 0);
	}
	return lacking;
}

/*
 * Workers that the long-running tasks need: to spread them, and one more for
 * each worker's capacity of those that fit on none, beside the "usable" ones.
 */
static int measure_lasting(const batch_pool_t *pool, int usable, int lacking)
{
	double cpu = pool->due.cpu + pool->stranded.cpu;
	double memory = pool->due.memory + pool->stranded.memory;
	double more = MAX(ratio(cpu, pool->worker_cpu),
			  ratio(memory, pool->worker_memory));
	int workers = 0;

	if (pool->spread_workers)
		workers =
			pool->spread_workers + CAPACITY_SPREAD_EXTRA + lacking;
	if (cpu > 0 || memory > 0)
		workers = MAX(workers, usable + MAX((int)ceil(more), 1));
	return workers;
}

static void measure_need(need_t *need, int64_t now)
{
	batch_pool_t *pool = need->pool;
	batch_load_t need_now = pool->need_now;
	batch_load_t expected_load;
	batch_load_t long_running = batch_pool_long_running(pool);
	double cpu = 0;
	double memory = 0;
	double lacking;
	double workers;
	double busy;
	guint i;

	decay_rate(pool, now);
	expected_load = expected_rate(pool);
	need->have = pool->incoming;
	for (i = 0; i < pool->workers->len; i++) {
		batch_worker_t *worker = g_ptr_array_index(pool->workers, i);

		if (!batch_worker_in_capacity(worker))
			continue;
		need->have++;
		cpu = MAX(cpu, (double)worker->capacity.cpu);
		memory = MAX(memory, (double)worker->capacity.memory);
	}
	if (cpu > 0) {
		pool->worker_cpu = cpu;
		pool->worker_memory = memory;
	}
	busy = MAX(expected_load.cpu, need_now.cpu);
	workers = ratio(busy + long_running.cpu, pool->worker_cpu);
	busy = MAX(expected_load.memory, need_now.memory);
	workers = MAX(workers,
		      ratio(busy + long_running.memory, pool->worker_memory));
	lacking = lacking_workers(pool);
	need->lasting = measure_lasting(pool, need->have - pool->incoming,
					(int)lacking);
	need->want = MAX((int)ceil(workers * CAPACITY_HEADROOM + lacking),
			 MAX(need->lasting, 1 + (int)lacking));
	if (pool->excluded_at &&
	    now - pool->excluded_at < CAPACITY_EXCLUDED_AGE)
		need->want = MAX(need->want, need->have + 1);
	pool->workers_wanted = need->want;
	if (need->have > need->want) {
		if (!pool->surplus_since)
			pool->surplus_since = now;
	} else {
		pool->surplus_since = 0;
	}
}

/*
 * An empty worker of a pool that has had a surplus for long enough: the largest
 * one for another pool, the smallest one to be switched off.
 */
static batch_worker_t *idle_worker(need_t *need, int64_t now, bool largest)
{
	batch_worker_t *best = NULL;
	guint i;

	if (need->have <= need->want || !need->pool->surplus_since ||
	    now - need->pool->surplus_since < CAPACITY_SURPLUS_TIME)
		return NULL;
	for (i = 0; i < need->pool->workers->len; i++) {
		batch_worker_t *worker =
			g_ptr_array_index(need->pool->workers, i);

		if (!batch_worker_in_capacity(worker) || !worker->incarnation ||
		    !batch_worker_is_empty(worker) || worker->reserved_for ||
		    worker->claims->len)
			continue;
		if (!best ||
		    (largest ? worker->capacity.cpu > best->capacity.cpu
			     : worker->capacity.cpu < best->capacity.cpu))
			best = worker;
	}
	return best;
}

static int compare_shortage(const void *a, const void *b)
{
	const need_t *x = a;
	const need_t *y = b;

	return (y->want - y->have) - (x->want - x->have);
}

static void move_worker(batch_move_t *move, need_t *from,
			batch_worker_t *worker, const need_t *to, int64_t now)
{
	move->worker = base_str(worker->id);
	move->to = to ? base_str(to->pool->name) : BASE_STR("");
	move->workers_before = to ? to->have : from->have;
	move->workers_needed = to ? to->want : from->want;
	batch_worker_cordon(worker->core, now, move->worker, true);
	from->have--;
}

/* Moves one instance to "to", from the pool with the largest surplus if any. */
static bool assign_instance(need_t *needs, size_t n, need_t *to, size_t *spares,
			    int64_t now, batch_move_t *move)
{
	size_t i;

	for (i = n; i-- > 0;) {
		batch_worker_t *worker = idle_worker(&needs[i], now, true);

		if (!worker)
			continue;
		move_worker(move, &needs[i], worker, to, now);
		return true;
	}
	if (!*spares)
		return false;
	--*spares;
	move->worker = BASE_STR("");
	move->to = base_str(to->pool->name);
	move->workers_before = to->have;
	move->workers_needed = to->want;
	return true;
}

/* Moves instances to the pools that lack some; with "lasting", only those that
 * their long-running tasks need. */
static size_t grow_pools(need_t *needs, size_t n, bool lasting, size_t *spares,
			 int64_t now, batch_move_t *moves, size_t max)
{
	size_t n_moves = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		int want = lasting ? needs[i].lasting : needs[i].want;

		while (n_moves < max && needs[i].have < want &&
		       assign_instance(needs, n, &needs[i], spares, now,
				       &moves[n_moves])) {
			needs[i].have++;
			needs[i].pool->incoming++;
			n_moves++;
		}
	}
	return n_moves;
}

size_t batch_moves(batch_t *core, int64_t now, size_t spares, bool spare_pool,
		   batch_move_t *moves, size_t max)
{
	need_t needs[CAPACITY_POOLS_MAX];
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;
	size_t n_moves = 0;
	size_t i;

	batch_pools_measure(core, now);
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value) &&
	       n < CAPACITY_POOLS_MAX) {
		batch_pool_t *pool = value;

		if (!pool->in_force || pool->spare)
			continue;
		needs[n] = (need_t){ .pool = pool };
		measure_need(&needs[n++], now);
	}
	qsort(needs, n, sizeof(*needs), compare_shortage);
	/* A short task can wait for a worker, a long-running one cannot. */
	n_moves = grow_pools(needs, n, true, &spares, now, moves, max);
	n_moves += grow_pools(needs, n, false, &spares, now, moves + n_moves,
			      max - n_moves);
	for (i = n; spare_pool && i-- > 0;) {
		batch_worker_t *worker;

		while (n_moves < max &&
		       (worker = idle_worker(&needs[i], now, false)) != NULL)
			move_worker(&moves[n_moves++], &needs[i], worker, NULL,
				    now);
	}
	return n_moves;
}

void batch_pool_set_incoming(batch_t *core, base_str_t pool, int workers)
{
	batch_pool_get(core, pool)->incoming = workers;
}
