#include <math.h>

#include "fleet_int.h"

#define SPREAD_MIN 1.0	 /* standard deviations kept at flood weight 0 */
#define SPREAD_RANGE 2.0 /* further ones at weight 1 */

typedef struct share {
	uint32_t supply; /* instances not yet given */
	uint32_t *base;	 /* what the budget alone needs */
	uint32_t *want;	 /* what the configuration or the demand asks for */
} share_t;

static uint32_t need_of(const fleet_plan_in_t *in, size_t i);
static void give(share_t *share, const fleet_plan_in_t *in, uint32_t *target,
		 const uint32_t *upto, bool spare);
static void settle(share_t *share, const fleet_plan_in_t *in, uint32_t *target);

uint32_t fleet_plan_floor(const fleet_pool_t *pool, uint32_t need,
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
	share_t share = { 0 };

	share.base = talloc_zero_array(tmp, uint32_t, in->n_pools);
	share.want = talloc_zero_array(tmp, uint32_t, in->n_pools);
	for (size_t i = 0; i < in->n_pools; i++) {
		const fleet_pool_t *pool = &in->pools[i];
		uint32_t floor;

		target[i] = 0;
		share.supply += in->members[i];
		if (!pool->executors)
			continue;
		floor = fleet_plan_floor(pool, need_of(in, i), in->n_racks,
					 in->n_zones);
		/* One more than the budget, or it could never be drained. */
		share.base[i] = fleet_plan_floor(pool, pool->min_up + 1,
						 in->n_racks, in->n_zones);
		share.base[i] = MIN(share.base[i], pool->executors);
		share.want[i] = pool->executors + in->extra[i];
		if (floor != UINT32_MAX)
			share.want[i] = MAX(share.want[i], floor);
	}
	share.supply += in->free;
	give(&share, in, target, share.base, false);
	give(&share, in, target, share.base, true);
	give(&share, in, target, share.want, false);
	give(&share, in, target, share.want, true);
	settle(&share, in, target);
	talloc_free(tmp);
}

/* Executors that have to be up: the budget's, or more when demand asks. */
static uint32_t need_of(const fleet_plan_in_t *in, size_t i)
{
	const fleet_pool_t *pool = &in->pools[i];
	double sds = SPREAD_MIN + SPREAD_RANGE * in->weights.flood;
	double slots;

	if (!in->loads || !pool->slots)
		return pool->min_up;
	slots = in->loads[i].mean + sds * in->loads[i].spread;
	return MAX(pool->min_up, (uint32_t)ceil(slots / pool->slots));
}

/* One at a time to the pool that is furthest below "upto" in proportion. */
static void give(share_t *share, const fleet_plan_in_t *in, uint32_t *target,
		 const uint32_t *upto, bool spare)
{
	uint64_t short_of = 0;

	for (size_t i = 0; i < in->n_pools; i++)
		if (in->pools[i].spare == spare && upto[i] > target[i])
			short_of += upto[i] - target[i];
	if (short_of <= share->supply) {
		for (size_t i = 0; i < in->n_pools; i++)
			if (in->pools[i].spare == spare && upto[i] > target[i])
				target[i] = upto[i];
		share->supply -= (uint32_t)short_of;
		return;
	}
	for (; share->supply; share->supply--) {
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

/* What nobody needs stays where it is: a move would gain nothing. */
static void settle(share_t *share, const fleet_plan_in_t *in, uint32_t *target)
{
	for (size_t i = 0; i < in->n_pools && share->supply; i++) {
		uint32_t extra;

		if (in->members[i] <= target[i] || !in->pools[i].executors)
			continue;
		extra = MIN(in->members[i] - target[i], share->supply);
		target[i] += extra;
		share->supply -= extra;
	}
}
