#include "route_int.h"

static void widen_later(route_t *route, int count, int64_t now);
static void take(route_t *route, route_pool_t *pool,
		 const route_endpoint_t *listed, int64_t now);
static route_ep_t *add(route_t *route, route_pool_t *pool,
		       const route_endpoint_t *listed, int64_t now);
static bool tombstoned(const route_t *route, const char *instance,
		       uint64_t incarnation);
static void forget_old(route_t *route, int64_t now);
static bool listed_anywhere(const route_t *route, const char *instance);

bool route_view(route_t *route, base_str_t name, uint64_t version,
		const route_endpoint_t *endpoints, size_t n, int64_t now)
{
	route_pool_t *pool = route_pool(route, name);

	if (!pool || (pool->viewed && version <= pool->version))
		return false;
	for (guint i = 0; i < pool->eps->len; i++)
		((route_ep_t *)pool->eps->pdata[i])->listed = false;
	for (size_t i = 0; i < n; i++)
		take(route, pool, &endpoints[i], now);
	pool->viewed = true;
	pool->version = version;
	route_pool_reindex(route, pool);
	forget_old(route, now);
	route_dispatch(route, pool, now);
	return true;
}

void route_leaving(route_t *route, base_str_t instance, uint64_t incarnation,
		   int64_t now)
{
	char *key = g_strndup(instance.ptr, instance.len);
	route_tombstone_t *stone = g_hash_table_lookup(route->left, key);

	if (stone) {
		stone->incarnation = MAX(stone->incarnation, incarnation);
		stone->when = now;
		g_free(key);
	} else {
		stone = g_new(route_tombstone_t, 1);
		*stone = (route_tombstone_t){ incarnation, now };
		g_hash_table_insert(route->left, key, stone);
	}
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];
		bool found = false;

		for (guint k = 0; k < pool->eps->len; k++) {
			route_ep_t *ep = pool->eps->pdata[k];

			if (ep->pub.incarnation > incarnation ||
			    !base_str_eq(instance, base_str(ep->pub.instance)))
				continue;
			ep->pub.state = ROUTE_LEAVING;
			found = true;
		}
		if (found)
			route_pool_reindex(route, pool);
	}
}

void route_entries(route_t *route, const route_entry_t *entries, size_t n,
		   int64_t now)
{
	route_entry_t *copy = talloc_array(route, route_entry_t, n);

	widen_later(route, (int)n, now);
	route->peers_near = 0;
	for (size_t i = 0; i < n; i++) {
		copy[i].id = talloc_strdup(copy, entries[i].id);
		copy[i].zone = talloc_strdup(copy, entries[i].zone);
		route->peers_near += !strcmp(copy[i].zone, route->opt.zone);
	}
	talloc_free(route->entries);
	route->entries = copy;
	route->n_entries = n;
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];

		route_limit_share(route, pool);
		route_probe_assign(route, pool);
	}
}

/* What a leaver held is used again only when its connections have ended. */
static void widen_later(route_t *route, int count, int64_t now)
{
	if (now >= route->divisor_until)
		route->divisor = (int)route->n_entries;
	if (count < (int)route->n_entries)
		route->divisor_until = now + CONN_HOLD_US;
	route->divisor = MAX(route->divisor, count);
}

int route_connections(const route_t *route, base_str_t name, int64_t now)
{
	const route_pool_t *pool = route_pool(route, name);

	return pool ? route_conn_share(route, pool, now) : 0;
}

int route_running(const route_t *route, base_str_t instance,
		  uint64_t incarnation)
{
	int running = 0;

	for (guint i = 0; i < route->pools->len; i++) {
		const route_ep_t *ep =
			route_ep(route->pools->pdata[i], instance, incarnation);

		running += ep ? ep->running : 0;
	}
	return running;
}

route_ep_t *route_ep(const route_pool_t *pool, base_str_t instance,
		     uint64_t incarnation)
{
	for (guint i = 0; i < pool->eps->len; i++) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (ep->pub.incarnation == incarnation &&
		    base_str_eq(instance, base_str(ep->pub.instance)))
			return ep;
	}
	return NULL;
}

bool route_ep_usable(const route_ep_t *ep)
{
	return ep->listed && ep->pub.state == ROUTE_LIVE;
}

/* Sort the endpoints into those that may get work; free those that ended. */
void route_pool_reindex(route_t *route, route_pool_t *pool)
{
	g_ptr_array_set_size(pool->near, 0);
	g_ptr_array_set_size(pool->far, 0);
	for (guint i = pool->eps->len; i-- > 0;) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (route_ep_usable(ep)) {
			g_ptr_array_add(ep->local ? pool->near : pool->far, ep);
		} else if (!ep->listed && !ep->running) {
			g_ptr_array_remove_index_fast(pool->eps, i);
			talloc_free(ep);
		}
	}
	route_ep_readmit(pool);
	route_limit_share(route, pool);
	route_probe_assign(route, pool);
}

static void take(route_t *route, route_pool_t *pool,
		 const route_endpoint_t *listed, int64_t now)
{
	route_ep_t *ep =
		route_ep(pool, base_str(listed->instance), listed->incarnation);

	if (listed->state == ROUTE_GONE)
		return;
	if (!ep)
		ep = add(route, pool, listed, now);
	ep->listed = true;
	if (listed->state == ROUTE_LEAVING)
		route_leaving(route, base_str(listed->instance),
			      listed->incarnation, now);
	if (tombstoned(route, ep->pub.instance, ep->pub.incarnation))
		ep->pub.state = ROUTE_LEAVING;
}

static route_ep_t *add(route_t *route, route_pool_t *pool,
		       const route_endpoint_t *listed, int64_t now)
{
	route_ep_t *ep = talloc_zero(pool, route_ep_t);

	ep->pub = *listed;
	ep->pub.instance = talloc_strdup(ep, listed->instance);
	ep->pub.zone = talloc_strdup(ep, listed->zone);
	ep->pub.address = talloc_strdup(ep, listed->address);
	ep->pool = pool;
	ep->local = !strcmp(listed->zone, route->opt.zone);
	/* In a pool's first list nobody is a newcomer. */
	ep->ramp_from = pool->viewed ? now : 0;
	g_ptr_array_add(pool->eps, ep);
	return ep;
}

static bool tombstoned(const route_t *route, const char *instance,
		       uint64_t incarnation)
{
	const route_tombstone_t *stone =
		g_hash_table_lookup(route->left, instance);

	return stone && incarnation <= stone->incarnation;
}

/* Forget leavers that no list has named for long. */
static void forget_old(route_t *route, int64_t now)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, route->left);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		route_tombstone_t *stone = value;

		if (now - stone->when < TOMBSTONE_US)
			continue;
		if (listed_anywhere(route, key))
			stone->when = now;
		else
			g_hash_table_iter_remove(&iter);
	}
}

static bool listed_anywhere(const route_t *route, const char *instance)
{
	for (guint i = 0; i < route->pools->len; i++) {
		const route_pool_t *pool = route->pools->pdata[i];

		for (guint k = 0; k < pool->eps->len; k++) {
			const route_ep_t *ep = pool->eps->pdata[k];

			if (!strcmp(ep->pub.instance, instance))
				return true;
		}
	}
	return false;
}
