#include "fleet_int.h"

static size_t pick_zone(const fleet_place_t *place, size_t pool);

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
 * Within the zone: the fewest of this pool, then the most that is free, so
 * that the pools that come later still find different racks.
 */
size_t fleet_place_pick(const fleet_place_t *place, size_t pool)
{
	size_t zone = pick_zone(place, pool);
	size_t best = place->n_racks;

	if (zone == place->n_zones)
		return best;
	for (size_t r = 0; r < place->n_racks; r++) {
		const uint16_t *in = place->in + pool * place->n_racks;

		if (place->rack_zone[r] != zone || !place->free[r])
			continue;
		if (best == place->n_racks || in[r] < in[best] ||
		    (in[r] == in[best] && place->free[r] > place->free[best]))
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

static size_t pick_zone(const fleet_place_t *place, size_t pool)
{
	const uint32_t *in = place->in_zone + pool * place->n_zones;
	size_t best = place->n_zones;

	for (size_t z = 0; z < place->n_zones; z++) {
		if (!place->free_zone[z])
			continue;
		if (best == place->n_zones || in[z] < in[best] ||
		    (in[z] == in[best] &&
		     place->free_zone[z] > place->free_zone[best]))
			best = z;
	}
	return best;
}
