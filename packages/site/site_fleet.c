#include <stdlib.h>
#include <string.h>

#include "site.h"

#define DAY_US (24 * 3600 * BASE_SEC)

static fleet_weights_t normalized_weights(const conf_t *conf);

fleet_t *site_fleet(const void *ctx, const conf_t *conf)
{
	fleet_opts_t opts = { 0 };
	fleet_t *fleet = fleet_new(ctx, &opts);

	site_configure(fleet, conf);
	return fleet;
}

void site_configure(fleet_t *fleet, const conf_t *conf)
{
	fleet_opts_t opts = {
		.weights = normalized_weights(conf),
		.deadline = conf->limits.maintenance_days * DAY_US,
		.wave_lead = conf->limits.maintenance_days * DAY_US / 4
	};
	fleet_pool_t *pools = site_pools(NULL, conf);

	fleet_set_opts(fleet, &opts);
	fleet_configure(fleet, pools, conf->n_pools);
	talloc_free(pools);
}

fleet_pool_t *site_pools(const void *ctx, const conf_t *conf)
{
	fleet_pool_t *pools = talloc_array(ctx, fleet_pool_t, conf->n_pools);

	for (size_t i = 0; i < conf->n_pools; i++) {
		const conf_pool_t *pool = &conf->pools[i];
		conf_survive_t survive = pool->budget.survive;

		pools[i] = (fleet_pool_t){
			.name = pool->name.ptr,
			.executors = (uint32_t)pool->executors,
			.slots = (uint32_t)pool->slots,
			.min_up = (uint32_t)pool->budget.min_up,
			.survive_rack = survive != CONF_SURVIVE_NONE,
			.survive_zone = survive == CONF_SURVIVE_ZONE,
			.spare = pool->spare,
			.unmaintained = !pool->budget.drain,
			.drain_max = (uint32_t)pool->budget.drain,
		};
	}
	return pools;
}

void site_observe(fleet_t *fleet, const plat_instances_t *list, int64_t now)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < list->count; i++) {
		const plat_instance_t *from = &list->items[i];
		fleet_obs_t obs = {
			.id = from->id,
			.inc = site_incarnation(from->incarnation),
			.zone = from->zone,
			.rack = from->rack,
			.leaving = from->state != PLAT_LIVE,
			.alive_at = from->state == PLAT_LIVE ? now : 0,
		};

		fleet_observe(fleet, &obs);
		g_hash_table_add(seen, from->id);
	}
	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view_t view;

		fleet_inst_view(fleet, i, &view);
		if (!g_hash_table_contains(seen, view.id))
			fleet_unlist_instance(fleet, view.id);
	}
	g_hash_table_destroy(seen);
}

void site_apply_demand(fleet_t *fleet, const site_entries_t *entries,
		       int64_t now)
{
	fleet_pool_view_t view;

	for (size_t i = 0; fleet_pool_view(fleet, i, &view); i++) {
		double slots = 0.0;

		for (size_t e = 0; e < entries->n; e++) {
			const site_entry_t *entry = &entries->items[e];

			for (size_t p = 0; p < entry->n_pools; p++)
				if (!strcmp(entry->pools[p], view.name))
					slots += entry->demand[p];
		}
		fleet_add_demand(fleet, view.name, slots, now);
	}
}

uint64_t site_incarnation(const char *text)
{
	return strtoull(text, NULL, 10);
}

/* The configured weights are relative; the result sums to 1. */
static fleet_weights_t normalized_weights(const conf_t *conf)
{
	const conf_weights_t *from = &conf->weights;
	double sum = from->buffer + from->moves + from->flood;

	if (sum <= 0.0)
		return (fleet_weights_t){ 0.0, 0.0, 0.0 };
	return (fleet_weights_t){ from->buffer / sum, from->moves / sum,
				  from->flood / sum };
}
