#include <xxhash.h>

#include "route_int.h"

static void set_interval(route_t *route);
static int64_t first_probe_delay(route_t *route);
static bool is_assigned(const route_t *route, const route_ep_t *ep);

/*
 * Rendezvous hashing among the entries of the own zone: the entry with the
 * highest hash over its id and the endpoint's instance id probes the endpoint,
 * so that a joining or departing entry changes only its own assignments.  Each
 * zone probes all endpoints itself, since a network partition may separate
 * zones.
 */
void route_probe_assign(route_t *route, route_pool_t *pool)
{
	g_ptr_array_set_size(pool->probed, 0);
	for (guint i = 0; i < pool->eps->len; i++) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (route_ep_usable(ep) && is_assigned(route, ep))
			g_ptr_array_add(pool->probed, ep);
	}
	set_interval(route);
}

size_t route_probe_due(route_t *route, bool own_zone, int64_t now,
		       route_probe_due_t *due, size_t max)
{
	size_t n = 0;

	for (guint i = 0; i < route->pools->len; i++) {
		const route_pool_t *pool = route->pools->pdata[i];

		for (guint k = 0; k < pool->probed->len && n < max; k++) {
			route_ep_t *ep = pool->probed->pdata[k];

			if (ep->local != own_zone || now < ep->next_probe_us)
				continue;
			if (!ep->next_probe_us) {
				ep->next_probe_us =
					now + first_probe_delay(route);
				continue;
			}
			ep->next_probe_us = now + route->probe_interval_us;
			due[n++] = (route_probe_due_t){
				&ep->pub, route_conn_share(route, pool, now)
			};
		}
	}
	return n;
}

void route_probe_done(route_t *route, base_str_t instance,
		      base_str_t incarnation, route_probe_result_t result,
		      int64_t now)
{
	route_ident_t ident = route_ident_make(instance, incarnation);

	if (result == ROUTE_PROBE_LEAVING) {
		route_mark_leaving(route, instance, incarnation, now);
		return;
	}
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];
		route_ep_t *ep = route_find_ep(pool, &ident);

		if (!ep)
			continue;
		if (result == ROUTE_PROBE_OK) {
			ep->probe_failures = 0;
			if (ep->health == HEALTH_EJECTED)
				ep->ejected_until_us =
					MIN(ep->ejected_until_us, now);
		} else if (++ep->probe_failures >= PROBE_FAILURES) {
			ep->failures = EJECT_FAILURES;
			route_ep_failed(route, ep, now);
			ep->ejected_until_us =
				MAX(ep->ejected_until_us,
				    now + 2 * route->probe_interval_us);
		}
		route_dispatch(route, pool, now);
	}
}

/*
 * Lengthens the probe interval to keep this entry at PROBES_AT_FULL_RATE probes
 * per second.  The interval stops at ROUTE_PROBE_MAX_US, so that a leaving
 * endpoint is still noticed in time; with more endpoints the rate grows.
 */
static void set_interval(route_t *route)
{
	int probed = 0;

	for (guint i = 0; i < route->pools->len; i++) {
		const route_pool_t *pool = route->pools->pdata[i];

		probed += (int)pool->probed->len;
	}
	route->probe_interval_us =
		CLAMP(ROUTE_PROBE_US * probed / PROBES_AT_FULL_RATE,
		      ROUTE_PROBE_US, ROUTE_PROBE_MAX_US);
}

/* A random delay that spreads the first probes over an interval. */
static int64_t first_probe_delay(route_t *route)
{
	return base_rng_below(&route->rng, (uint32_t)route->probe_interval_us);
}

static bool is_assigned(const route_t *route, const route_ep_t *ep)
{
	const char *best = NULL;
	uint64_t best_hash = 0;

	for (size_t i = 0; i < route->n_entries; i++) {
		const route_entry_t *entry = &route->entries[i];
		uint64_t seed, hash;

		if (strcmp(entry->zone, route->opt.zone) != 0)
			continue;
		seed = XXH64(entry->id, strlen(entry->id), 0);
		hash = XXH64(ep->pub.instance, strlen(ep->pub.instance), seed);
		if (!best || hash > best_hash) {
			best = entry->id;
			best_hash = hash;
		}
	}
	return !best || !strcmp(best, route->opt.entry);
}
