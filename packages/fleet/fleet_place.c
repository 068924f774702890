#include "fleet_int.h"

static bool emptier(const fleet_place_t *place, size_t pool, size_t a, size_t b,
		    bool racks_first);
static uint64_t slack(const fleet_pool_t *pool);
static int breadth(const fleet_pool_t *pool);

void fleet_place_init(fleet_place_t *place, const void *ctx, size_t n_pools,
		      size_t n_racks, size_t n_zones)
{
	place->n_pools = n_pools;
	place->n_racks = n_racks;
	place->n_zones = n_zones;
	place->rack_zone = talloc_zero_array(ctx, uint32_t, n_racks);
	place->in = talloc_zero_array(ctx, uint16_t, n_pools * n_racks);
	place->in_zone = talloc_zero_array(ctx, uint32_t, n_pools * n_zones);
	place->free = talloc_zero_array(ctx, uint32_t, n_racks);
	place->free_zone = talloc_zero_array(ctx, uint32_t, n_zones);
}

/*
 * Even over the zones and, within each, over its racks; where only a rack's
 * loss counts, racks come first, or a zone of few racks would hold too many in
 * one.  Then the most that is free, so that the pools that come later still
 * find different racks.
 */
size_t fleet_place_pick(const fleet_place_t *place, size_t pool,
			const fleet_pool_t *conf)
{
	bool racks_first = conf->survive_rack && !conf->survive_zone;
	size_t best = place->n_racks;

	for (size_t r = 0; r < place->n_racks; r++) {
		if (!place->free[r])
			continue;
		if (best == place->n_racks ||
		    emptier(place, pool, r, best, racks_first))
			best = r;
	}
	return best;
}

void fleet_place_take(fleet_place_t *place, size_t pool, size_t rack)
{
	uint32_t zone = place->rack_zone[rack];

	place->in[pool * place->n_racks + rack]++;
	place->in_zone[pool * place->n_zones + zone]++;
	place->free[rack]--;
	place->free_zone[zone]--;
}

/*
 * Whether "a" is placed before "b", which lack so many: what has to outlive a
 * zone needs a share of the small ones, before others fill them; then the pool
 * that may lose the least part of itself; then whoever lacks more, for it is
 * the harder to spread.
 */
bool fleet_place_before(const fleet_pool_t *a, uint32_t a_lacks,
			const fleet_pool_t *b, uint32_t b_lacks)
{
	if (breadth(a) != breadth(b))
		return breadth(a) > breadth(b);
	if (breadth(a) && slack(a) * b->executors != slack(b) * a->executors)
		return slack(a) * b->executors < slack(b) * a->executors;
	return a_lacks > b_lacks;
}

/* Executors that one failure domain may hold. */
static uint64_t slack(const fleet_pool_t *pool)
{
	uint32_t need = pool->min_up + !pool->unmaintained;

	return pool->executors > need ? pool->executors - need : 0;
}

static int breadth(const fleet_pool_t *pool)
{
	return pool->survive_zone ? 2 : pool->survive_rack;
}

/* Whether rack "a" is the better place than "b"; the first one if equal. */
static bool emptier(const fleet_place_t *place, size_t pool, size_t a, size_t b,
		    bool racks_first)
{
	const uint16_t *in = place->in + pool * place->n_racks;
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
