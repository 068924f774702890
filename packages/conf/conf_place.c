/* Placement of executors and the loss from a failure domain's failure. */
#include "conf_int.h"

static size_t best_zone(const conf_t *conf, const int64_t *zone_free,
			const conf_placement_t *out);

int64_t conf_spread(const conf_t *conf, int64_t executors, int64_t *zone_free,
		    conf_placement_t *out)
{
	for (size_t z = 0; z < conf->n_zones; z++) {
		out[z].zone = conf->zones[z].name;
		out[z].executors = 0;
	}
	while (executors > 0) {
		size_t z = best_zone(conf, zone_free, out);

		if (z == conf->n_zones)
			break;
		out[z].executors++;
		zone_free[z]--;
		executors--;
	}
	return executors;
}

int64_t conf_domain_loss(const conf_t *conf, const conf_placement_t *placement,
			 conf_survive_t survive)
{
	int64_t worst = 0;

	for (size_t z = 0; z < conf->n_zones; z++) {
		int64_t racks = conf->zones[z].racks;
		int64_t here = placement[z].executors;

		if (survive == CONF_SURVIVE_NONE)
			here = 0;
		else if (survive == CONF_SURVIVE_RACK &&
			 conf->workers.mixed_racks)
			here = (here + racks - 1) / racks;
		else if (survive == CONF_SURVIVE_RACK)
			here = MIN(here, conf->workers.per_rack);
		worst = MAX(worst, here);
	}
	return worst;
}

void conf_derive(void *mem, conf_t *conf)
{
	int64_t *zone_free =
		talloc_array(NULL, int64_t, (unsigned)conf->n_zones);

	for (size_t z = 0; z < conf->n_zones; z++)
		zone_free[z] = conf->zones[z].workers;
	for (size_t p = 0; p < conf->n_pools; p++) {
		conf_pool_t *pool = &conf->pools[p];

		pool->n_placement = conf->n_zones;
		pool->placement = talloc_zero_array(mem, conf_placement_t,
						    (unsigned)conf->n_zones);
		conf_spread(conf, pool->executors, zone_free, pool->placement);
		pool->budget.loss = conf_domain_loss(conf, pool->placement,
						     pool->budget.survive);
	}
	talloc_free(zone_free);
}

/* Prefers the zone with the fewest executors, then the most free workers. */
static size_t best_zone(const conf_t *conf, const int64_t *zone_free,
			const conf_placement_t *out)
{
	size_t best = conf->n_zones;

	for (size_t z = 0; z < conf->n_zones; z++) {
		if (zone_free[z] <= 0)
			continue;
		if (best == conf->n_zones ||
		    out[z].executors < out[best].executors ||
		    (out[z].executors == out[best].executors &&
		     zone_free[z] > zone_free[best]))
			best = z;
	}
	return best;
}
