#include "fleet_int.h"

static bool is_better_rack(const fleet_place_t *place, size_t pool, size_t a,
			   size_t b, bool racks_first);
static uint64_t max_loss(const fleet_pool_t *pool);
static int survive_level(const fleet_pool_t *pool);

void fleet_place_init(fleet_place_t *place, const void *ctx, size_t n_pools,
		      size_t n_racks, size_t n_zones)
{
	place->n_pools = n_pools;
	place->n_racks = n_racks;
	place->n_zones = n_zones;
	place->rack_zone = talloc_zero_array(ctx, uint32_t, n_racks);
	place->in_rack = talloc_zero_array(ctx, uint16_t, n_pools * n_racks);
	place->in_zone = talloc_zero_array(ctx, uint32_t, n_pools * n_zones);
	place->free = talloc_zero_array(ctx, uint32_t, n_racks);
	place->free_zone = talloc_zero_array(ctx, uint32_t, n_zones);
}

/*
 * Spreads a pool evenly over the zones and, within a zone, over its racks.  For
 * a pool that must survive the loss of a rack but not of a zone, the racks come
 * first; otherwise a zone of few racks would hold too many executors in one
 * rack.  Ties go to where the most instances are free, so that pools placed
 * later still find different racks.
 */
size_t fleet_place_pick_rack(const fleet_place_t *place, size_t pool,
			     const fleet_pool_t *conf)
{
	bool racks_first = conf->survive_rack && !conf->survive_zone;
	size_t best = place->n_racks;

	for (size_t r = 0; r < place->n_racks; r++) {
		if (!place->free[r])
			continue;
		if (best == place->n_racks ||
		    is_better_rack(place, pool, r, best, racks_first))
			best = r;
	}
	return best;
}

void fleet_place_take(fleet_place_t *place, size_t pool, size_t rack)
{
	uint32_t zone = place->rack_zone[rack];

	place->in_rack[pool * place->n_racks + rack]++;
	place->in_zone[pool * place->n_zones + zone]++;
	place->free[rack]--;
	place->free_zone[zone]--;
}

/*
 * Pools that must survive the loss of a zone come first, because they need a
 * share of the small zones before others fill them; then pools that must
 * survive the loss of a rack.  Among equals, the pool that may lose the smaller
 * share of its executors comes first, then the one that lacks more, because it
 * is harder to spread.
 */
bool fleet_place_before(const fleet_pool_t *a, uint32_t a_lacks,
			const fleet_pool_t *b, uint32_t b_lacks)
{
	if (survive_level(a) != survive_level(b))
		return survive_level(a) > survive_level(b);
	if (survive_level(a) &&
	    max_loss(a) * b->executors != max_loss(b) * a->executors)
		return max_loss(a) * b->executors < max_loss(b) * a->executors;
	return a_lacks > b_lacks;
}

/* Returns how many executors one failure domain may hold. */
static uint64_t max_loss(const fleet_pool_t *pool)
{
	uint32_t need = pool->min_up + !pool->unmaintained;

	return pool->executors > need ? pool->executors - need : 0;
}

static int survive_level(const fleet_pool_t *pool)
{
	return pool->survive_zone ? 2 : pool->survive_rack;
}

/*
 * Returns whether rack "a" is a better place than "b"; false if they are equal,
 * so that the first one stays.
 */
static bool is_better_rack(const fleet_place_t *place, size_t pool, size_t a,
			   size_t b, bool racks_first)
{
	const uint16_t *in = place->in_rack + pool * place->n_racks;
	const uint32_t *in_zone = place->in_zone + pool * place->n_zones;
	uint32_t za = place->rack_zone[a], zb = place->rack_zone[b];

	if (racks_first && in[a] != in[b])
		return in[a] < in[b];
	if (in_zone[za] != in_zone[zb])
		return in_zone[za] < in_zone[zb];
	if (place->free_zone[za] != place->free_zone[zb])
		return place->free_zone[za] > place->free_zone[zb];
	if (za != zb)
		return za < zb;
	if (in[a] != in[b])
		return in[a] < in[b];
	return place->free[a] > place->free[b];
}
