/* Where executors go and what the loss of a failure domain takes. */
#include "conf_int.h"

static size_t best_zone(const conf_t *conf, const int64_t *room,
			const conf_placement_t *out);

int64_t conf_spread(const conf_t *conf, int64_t executors, int64_t *room,
		    conf_placement_t *out)
{
	for (size_t z = 0; z < conf->n_zones; z++) {
		out[z].zone = conf->zones[z].name;
		out[z].executors = 0;
	}
	while (executors > 0) {
		size_t z = best_zone(conf, room, out);

		if (z == conf->n_zones)
			break;
		out[z].executors++;
		room[z]--;
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
	int64_t *room = talloc_array(NULL, int64_t, (unsigned)conf->n_zones);

	for (size_t z = 0; z < conf->n_zones; z++)
		room[z] = conf->zones[z].workers;
	for (size_t p = 0; p < conf->n_pools; p++) {
		conf_pool_t *pool = &conf->pools[p];

		pool->n_placement = conf->n_zones;
		pool->placement = talloc_zero_array(mem, conf_placement_t,
						    (unsigned)conf->n_zones);
		conf_spread(conf, pool->executors, room, pool->placement);
		pool->budget.loss = conf_domain_loss(conf, pool->placement,
						     pool->budget.survive);
	}
	talloc_free(room);
}

/* The zone with the fewest executors so far, then with the most room. */
static size_t best_zone(const conf_t *conf, const int64_t *room,
			const conf_placement_t *out)
{
	size_t best = conf->n_zones;

	for (size_t z = 0; z < conf->n_zones; z++) {
		if (room[z] <= 0)
			continue;
		if (best == conf->n_zones ||
		    out[z].executors < out[best].executors ||
		    (out[z].executors == out[best].executors &&
		     room[z] > room[best]))
			best = z;
	}
	return best;
}
