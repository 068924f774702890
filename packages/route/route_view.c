#include <xxhash.h>

#include "route_int.h"

static void delay_conn_growth(route_t *route, int count, int64_t now);
static void apply_listed(route_t *route, route_pool_t *pool,
			 const route_endpoint_t *listed, int64_t now);
static route_ep_t *add_endpoint(route_t *route, route_pool_t *pool,
				const route_endpoint_t *listed, int64_t now);
static bool check_tombstone(const route_t *route, const route_ep_t *ep,
			    int64_t now);
static void expire_tombstones(route_t *route, int64_t now);
static char *tombstone_key(base_str_t instance, base_str_t incarnation);

bool route_set_endpoints(route_t *route, base_str_t name, uint64_t version,
			 const route_endpoint_t *endpoints, size_t n,
			 int64_t now)
{
	route_pool_t *pool = route_find_pool(route, name);

	if (!pool || (pool->has_list && version <= pool->version))
		return false;
	for (guint i = 0; i < pool->eps->len; i++)
		((route_ep_t *)pool->eps->pdata[i])->listed = false;
	for (size_t i = 0; i < n; i++)
		apply_listed(route, pool, &endpoints[i], now);
	pool->has_list = true;
	pool->version = version;
	route_pool_reindex(route, pool);
	expire_tombstones(route, now);
	route_dispatch(route, pool, now);
	return true;
}

bool route_mark_leaving(route_t *route, base_str_t instance,
			base_str_t incarnation, int64_t now)
{
	route_ident_t ident = route_ident_make(instance, incarnation);
	char *key = tombstone_key(instance, incarnation);
	int64_t *last_seen_us = g_hash_table_lookup(route->tombstones, key);

	if (last_seen_us) {
		*last_seen_us = now;
		g_free(key);
		return false;
	}
	last_seen_us = g_new(int64_t, 1);
	*last_seen_us = now;
	g_hash_table_insert(route->tombstones, key, last_seen_us);
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];
		route_ep_t *ep = route_find_ep(pool, &ident);

		if (!ep)
			continue;
		ep->pub.state = ROUTE_LEAVING;
		route_pool_reindex(route, pool);
	}
	return true;
}

void route_set_entries(route_t *route, const route_entry_t *entries, size_t n,
		       int64_t now)
{
	route_entry_t *copy = talloc_array(route, route_entry_t, n);

	delay_conn_growth(route, (int)n, now);
	route->local_entries = 0;
	for (size_t i = 0; i < n; i++) {
		copy[i].id = talloc_strdup(copy, entries[i].id);
		copy[i].zone = talloc_strdup(copy, entries[i].zone);
		route->local_entries += !strcmp(copy[i].zone, route->opt.zone);
	}
	talloc_free(route->entries);
	route->entries = copy;
	route->n_entries = n;
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];

		route_limit_update_share(route, pool);
		route_probe_assign(route, pool);
	}
}

/* Delays reuse of a departed entry's connections until they have closed. */
static void delay_conn_growth(route_t *route, int count, int64_t now)
{
	if (now >= route->conn_divisor_until_us)
		route->conn_divisor = (int)route->n_entries;
	if (count < (int)route->n_entries)
		route->conn_divisor_until_us = now + CONN_HOLD_US;
	route->conn_divisor = MAX(route->conn_divisor, count);
}

int route_connection_limit(const route_t *route, base_str_t name, int64_t now)
{
	const route_pool_t *pool = route_find_pool(route, name);

	return pool ? route_conn_share(route, pool, now) : 0;
}

int route_running_count(const route_t *route, base_str_t instance,
			base_str_t incarnation)
{
	route_ident_t ident = route_ident_make(instance, incarnation);
	int running = 0;

	for (guint i = 0; i < route->pools->len; i++) {
		const route_ep_t *ep =
			route_find_ep(route->pools->pdata[i], &ident);

		running += ep ? ep->running : 0;
	}
	return running;
}

route_ident_t route_ident_make(base_str_t instance, base_str_t incarnation)
{
	XXH64_hash_t seed = XXH64(instance.ptr, instance.len, 0);

	return (route_ident_t){ (guint)XXH64(incarnation.ptr, incarnation.len,
					     seed),
				instance, incarnation };
}

guint route_ident_hash(gconstpointer ident)
{
	return ((const route_ident_t *)ident)->hash;
}

gboolean route_ident_equal(gconstpointer a, gconstpointer b)
{
	const route_ident_t *left = a, *right = b;

	return left->hash == right->hash &&
	       base_str_eq(left->instance, right->instance) &&
	       base_str_eq(left->incarnation, right->incarnation);
}

route_ep_t *route_find_ep(const route_pool_t *pool, const route_ident_t *ident)
{
	return g_hash_table_lookup(pool->by_ident, ident);
}

bool route_ep_usable(const route_ep_t *ep)
{
	return ep->listed && ep->pub.state == ROUTE_LIVE;
}

/*
 * Rebuilds the lists of live endpoints and frees those that are no longer
 * listed and run nothing.
 */
void route_pool_reindex(route_t *route, route_pool_t *pool)
{
	g_ptr_array_set_size(pool->local_eps, 0);
	g_ptr_array_set_size(pool->remote_eps, 0);
	for (guint i = pool->eps->len; i-- > 0;) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (route_ep_usable(ep)) {
			g_ptr_array_add(ep->local ? pool->local_eps
						  : pool->remote_eps,
					ep);
		} else if (!ep->listed && !ep->running) {
			g_ptr_array_remove_index_fast(pool->eps, i);
			g_hash_table_remove(pool->by_ident, &ep->ident);
			talloc_free(ep);
		}
	}
	route_ep_readmit(pool);
	route_limit_update_share(route, pool);
	route_probe_assign(route, pool);
}

static void apply_listed(route_t *route, route_pool_t *pool,
			 const route_endpoint_t *listed, int64_t now)
{
	base_str_t instance = base_str(listed->instance);
	base_str_t incarnation = base_str(listed->incarnation);
	route_ident_t ident = route_ident_make(instance, incarnation);
	route_ep_t *ep = route_find_ep(pool, &ident);

	if (listed->state == ROUTE_GONE)
		return;
	if (!ep)
		ep = add_endpoint(route, pool, listed, now);
	ep->listed = true;
	if (listed->state == ROUTE_LEAVING)
		route_mark_leaving(route, instance, incarnation, now);
	if (check_tombstone(route, ep, now))
		ep->pub.state = ROUTE_LEAVING;
}

static route_ep_t *add_endpoint(route_t *route, route_pool_t *pool,
				const route_endpoint_t *listed, int64_t now)
{
	route_ep_t *ep = talloc_zero(pool, route_ep_t);

	ep->pub = *listed;
	ep->pub.instance = talloc_strdup(ep, listed->instance);
	ep->pub.incarnation = talloc_strdup(ep, listed->incarnation);
	ep->pub.zone = talloc_strdup(ep, listed->zone);
	ep->pub.address = talloc_strdup(ep, listed->address);
	ep->ident = route_ident_make(base_str(ep->pub.instance),
				     base_str(ep->pub.incarnation));
	ep->pool = pool;
	ep->local = !strcmp(listed->zone, route->opt.zone);
	/* The endpoints of a pool's first list need no slow start. */
	ep->slow_start_us = pool->has_list ? now : 0;
	g_ptr_array_add(pool->eps, ep);
	g_hash_table_insert(pool->by_ident, &ep->ident, ep);
	return ep;
}

/* Whether an identity was reported as leaving; renews its tombstone. */
static bool check_tombstone(const route_t *route, const route_ep_t *ep,
			    int64_t now)
{
	char *key = tombstone_key(base_str(ep->pub.instance),
				  base_str(ep->pub.incarnation));
	int64_t *last_seen_us = g_hash_table_lookup(route->tombstones, key);

	if (last_seen_us)
		*last_seen_us = now;
	g_free(key);
	return last_seen_us != NULL;
}

/* Drops tombstones of identities not listed or reported for long. */
static void expire_tombstones(route_t *route, int64_t now)
{
	GHashTableIter iter;
	gpointer last_seen_us;

	g_hash_table_iter_init(&iter, route->tombstones);
	while (g_hash_table_iter_next(&iter, NULL, &last_seen_us))
		if (now - *(int64_t *)last_seen_us > TOMBSTONE_TTL_US)
			g_hash_table_iter_remove(&iter);
}

static char *tombstone_key(base_str_t instance, base_str_t incarnation)
{
	return g_strdup_printf("%.*s/%.*s", BASE_STR_ARG(instance),
			       BASE_STR_ARG(incarnation));
}
