#include "entry_int.h"
#include "fleet_budget.h"

/*
 * How many more endpoints a pool's budget lets go out of service, computed from
 * the endpoints that this entry routes to.
 */

static uint32_t max_live_in_domain(const entry_pool_t *pool, bool by_zone);
static char *domain_key(const entry_endpoint_t *endpoint, bool by_zone);

int entry_pool_live_count(const entry_pool_t *pool)
{
	int live = 0;

	for (size_t i = 0; i < pool->endpoint_count; i++)
		live += pool->endpoints[i].state == PLAT_LIVE;
	return live;
}

int entry_pool_headroom(const entry_pool_t *pool)
{
	conf_survive_t survive = pool->conf->budget.survive;
	fleet_pool_t asked = {
		.min_up = (uint32_t)pool->conf->budget.min_up,
		.survive_rack = survive != CONF_SURVIVE_NONE,
		.survive_zone = survive == CONF_SURVIVE_ZONE,
	};
	fleet_up_t up = { .up = (uint32_t)entry_pool_live_count(pool),
			  .worst_rack = max_live_in_domain(pool, false),
			  .worst_zone = max_live_in_domain(pool, true) };

	return fleet_budget_headroom(&asked, &up);
}

/* The highest number of live endpoints in one rack, or in one zone. */
static uint32_t max_live_in_domain(const entry_pool_t *pool, bool by_zone)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t worst = 0;

	for (size_t i = 0; i < pool->endpoint_count; i++) {
		const entry_endpoint_t *endpoint = &pool->endpoints[i];
		char *domain;
		guint n;

		if (endpoint->state != PLAT_LIVE)
			continue;
		domain = domain_key(endpoint, by_zone);
		n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, domain)) + 1;
		g_hash_table_replace(counts, domain, GUINT_TO_POINTER(n));
		worst = MAX(worst, n);
	}
	g_hash_table_destroy(counts);
	return worst;
}

/* Includes the zone, since two zones may use the same name for a rack. */
static char *domain_key(const entry_endpoint_t *endpoint, bool by_zone)
{
	return g_strconcat(endpoint->zone, "/", by_zone ? "" : endpoint->rack,
			   NULL);
}
