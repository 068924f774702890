#include <xxhash.h>

#include "route_int.h"

static void set_interval(route_t *route);
static int64_t spread(route_t *route);
static bool owns(const route_t *route, const route_ep_t *ep);

/*
 * Rendezvous hashing among the entries of our zone: the entry with the
 * highest hash of its id and the endpoint's probes it, so that a change of
 * entries moves only what it must.  Each zone probes for itself, since zones
 * may be cut off from each other.
 */
void route_probe_assign(route_t *route, route_pool_t *pool)
{
	g_ptr_array_set_size(pool->mine, 0);
	for (guint i = 0; i < pool->eps->len; i++) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (route_ep_usable(ep) && owns(route, ep))
			g_ptr_array_add(pool->mine, ep);
	}
	set_interval(route);
}

size_t route_probe_due(route_t *route, bool own_zone, int64_t now,
		       route_probe_due_t *due, size_t max)
{
	size_t n = 0;

	for (guint i = 0; i < route->pools->len; i++) {
		const route_pool_t *pool = route->pools->pdata[i];

		for (guint k = 0; k < pool->mine->len && n < max; k++) {
			route_ep_t *ep = pool->mine->pdata[k];

			if (ep->local != own_zone || now < ep->probe_at)
				continue;
			if (!ep->probe_at) {
				ep->probe_at = now + spread(route);
				continue;
			}
			ep->probe_at = now + route->probe_us;
			due[n++] = (route_probe_due_t){
				&ep->pub, route_conn_share(route, pool, now)
			};
		}
	}
	return n;
}

void route_probe_done(route_t *route, base_str_t instance,
		      base_str_t incarnation, route_probe_t result, int64_t now)
{
	route_ident_t ident = route_ident(instance, incarnation);

	if (result == ROUTE_PROBE_LEAVING) {
		route_leaving(route, instance, incarnation, now);
		return;
	}
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];
		route_ep_t *ep = route_ep(pool, &ident);

		if (!ep)
			continue;
		if (result == ROUTE_PROBE_OK) {
			ep->probe_failures = 0;
			if (ep->health == HEALTH_EJECTED)
				ep->ejected_until = MIN(ep->ejected_until, now);
		} else if (++ep->probe_failures >= PROBE_FAILURES) {
			ep->failures = EJECT_FAILURES;
			route_ep_failed(route, ep, now);
			ep->ejected_until = MAX(ep->ejected_until,
						now + 2 * route->probe_us);
		}
		route_dispatch(route, pool, now);
	}
}

/*
 * The rate grows no further than PROBES_FULL a second, until the interval is as
 * long as what an endpoint's leaving may take to be seen allows.
 */
static void set_interval(route_t *route)
{
	int mine = 0;

	for (guint i = 0; i < route->pools->len; i++) {
		const route_pool_t *pool = route->pools->pdata[i];

		mine += (int)pool->mine->len;
	}
	route->probe_us = CLAMP(ROUTE_PROBE_US * mine / PROBES_FULL,
				ROUTE_PROBE_US, ROUTE_PROBE_MAX_US);
}

/* The first probes are spread over an interval. */
static int64_t spread(route_t *route)
{
	return base_rng_below(&route->rng, (uint32_t)route->probe_us);
}

static bool owns(const route_t *route, const route_ep_t *ep)
{
	const char *best = NULL;
	uint64_t high = 0;

	for (size_t i = 0; i < route->n_entries; i++) {
		const route_entry_t *entry = &route->entries[i];
		uint64_t seed, hash;

		if (strcmp(entry->zone, route->opt.zone) != 0)
			continue;
		seed = XXH64(entry->id, strlen(entry->id), 0);
		hash = XXH64(ep->pub.instance, strlen(ep->pub.instance), seed);
		if (!best || hash > high) {
			best = entry->id;
			high = hash;
		}
	}
	return !best || !strcmp(best, route->opt.entry);
}
