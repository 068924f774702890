#include <math.h>

#include "fleet_int.h"

#define STDDEVS_MIN 1.0	  /* standard deviations covered at flood weight 0 */
#define STDDEVS_RANGE 2.0 /* standard deviations added at flood weight 1 */

typedef struct allocation {
	uint32_t unallocated; /* instances not yet in a pool's target */
	uint32_t *budget_min; /* by pool: executors that the budget needs */
	uint32_t *wanted; /* by pool: as configured or as the demand needs */
} allocation_t;

static uint32_t min_up_of(const fleet_plan_in_t *in, size_t i);
static void raise_targets(allocation_t *alloc, const fleet_plan_in_t *in,
			  uint32_t *target, const uint32_t *upto, bool spare);
static void keep_surplus(allocation_t *alloc, const fleet_plan_in_t *in,
			 uint32_t *target);

uint32_t fleet_plan_min_executors(const fleet_pool_t *pool, uint32_t need,
				  size_t n_racks, size_t n_zones)
{
	uint32_t n = need;

	if ((pool->survive_rack && n_racks < 2) ||
	    (pool->survive_zone && n_zones < 2))
		return UINT32_MAX;
	for (;; n++) {
		uint32_t loss = 0;

		if (pool->survive_rack)
			loss = (uint32_t)((n + n_racks - 1) / n_racks);
		if (pool->survive_zone)
			loss = MAX(loss,
				   (uint32_t)((n + n_zones - 1) / n_zones));
		if (n >= loss + need)
			return n;
	}
}

void fleet_plan_targets(const fleet_plan_in_t *in, uint32_t *target)
{
	void *tmp = talloc_new(NULL);
	allocation_t alloc = { 0 };

	alloc.budget_min = talloc_zero_array(tmp, uint32_t, in->n_pools);
	alloc.wanted = talloc_zero_array(tmp, uint32_t, in->n_pools);
	for (size_t i = 0; i < in->n_pools; i++) {
		const fleet_pool_t *pool = &in->pools[i];
		uint32_t floor;

		target[i] = 0;
		alloc.unallocated += in->members[i];
		if (!pool->executors)
			continue;
		floor = fleet_plan_min_executors(pool, min_up_of(in, i),
						 in->n_racks, in->n_zones);
		/* One more than min_up, so that an executor can be drained. */
		alloc.budget_min[i] = fleet_plan_min_executors(
			pool, pool->min_up + 1, in->n_racks, in->n_zones);
		alloc.budget_min[i] = MIN(alloc.budget_min[i], pool->executors);
		alloc.wanted[i] = pool->executors + in->extra[i];
		if (floor != UINT32_MAX)
			alloc.wanted[i] = MAX(alloc.wanted[i], floor);
	}
	alloc.unallocated += in->free;
	raise_targets(&alloc, in, target, alloc.budget_min, false);
	raise_targets(&alloc, in, target, alloc.budget_min, true);
	raise_targets(&alloc, in, target, alloc.wanted, false);
	raise_targets(&alloc, in, target, alloc.wanted, true);
	keep_surplus(&alloc, in, target);
	talloc_free(tmp);
}

/*
 * Returns the executors that must be up: min_up, or more if the demand needs
 * more.
 */
static uint32_t min_up_of(const fleet_plan_in_t *in, size_t i)
{
	const fleet_pool_t *pool = &in->pools[i];
	double stddevs = STDDEVS_MIN + STDDEVS_RANGE * in->weights.flood;
	double slots;

	if (!in->demand || !pool->slots)
		return pool->min_up;
	slots = in->demand[i].mean + stddevs * in->demand[i].stddev;
	return MAX(pool->min_up, (uint32_t)ceil(slots / pool->slots));
}

/*
 * Raises the targets of the spare pools or of the others to "upto".  If there
 * are too few instances, each instance goes to the pool that is furthest below
 * "upto" in proportion.
 */
static void raise_targets(allocation_t *alloc, const fleet_plan_in_t *in,
			  uint32_t *target, const uint32_t *upto, bool spare)
{
	uint64_t short_of = 0;

	for (size_t i = 0; i < in->n_pools; i++)
		if (in->pools[i].spare == spare && upto[i] > target[i])
			short_of += upto[i] - target[i];
	if (short_of <= alloc->unallocated) {
		for (size_t i = 0; i < in->n_pools; i++)
			if (in->pools[i].spare == spare && upto[i] > target[i])
				target[i] = upto[i];
		alloc->unallocated -= (uint32_t)short_of;
		return;
	}
	for (; alloc->unallocated; alloc->unallocated--) {
		size_t best = in->n_pools;

		for (size_t i = 0; i < in->n_pools; i++) {
			if (in->pools[i].spare != spare || upto[i] <= target[i])
				continue;
			if (best == in->n_pools ||
			    (uint64_t)target[i] * upto[best] <
				    (uint64_t)target[best] * upto[i])
				best = i;
		}
		target[best]++;
	}
}

/*
 * Instances that no pool needs stay where they are: a move would gain nothing.
 */
static void keep_surplus(allocation_t *alloc, const fleet_plan_in_t *in,
			 uint32_t *target)
{
	for (size_t i = 0; i < in->n_pools && alloc->unallocated; i++) {
		uint32_t extra;

		if (in->members[i] <= target[i] || !in->pools[i].executors)
			continue;
		extra = MIN(in->members[i] - target[i], alloc->unallocated);
		target[i] += extra;
		alloc->unallocated -= extra;
	}
}
