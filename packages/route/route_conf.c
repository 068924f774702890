#include "route_int.h"

#define RETRY_BUDGET 0.1 /* retries per request, unless configured */

static void put_pool(route_t *route, const route_pool_conf_t *conf);
static void put_class(route_t *route, const route_class_conf_t *conf);
static void put_caller(route_t *route, const route_caller_conf_t *conf);
static route_class_t *find_class(const route_t *route, const char *pool,
				 const char *name);
static route_caller_t *find_caller(const route_t *route, const char *name);
static void retire_all(route_t *route);
static void index_classes(route_t *route, route_pool_t *pool);
static void index_callers(route_t *route);
static void drop_retired(route_t *route, route_class_t *cls);
static gint by_urgency(gconstpointer a, gconstpointer b);
static gint by_name(gconstpointer a, gconstpointer b);
static int compare(base_str_t a, const char *b);
static int free_arrays(route_t *route);
static int free_pool(route_pool_t *pool);

void route_configure(route_t *route, const route_conf_t *conf, int64_t now)
{
	static const route_caller_conf_t other = { "other", 1.0 };

	if (!route->pools) {
		route->pools = g_ptr_array_new();
		route->classes = g_ptr_array_new();
		route->callers = g_ptr_array_new();
		route->by_name = g_ptr_array_new();
		route->tombstones = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		talloc_set_destructor(route, free_arrays);
	}
	retire_all(route);
	put_caller(route, &other);
	for (size_t i = 0; i < conf->n_pools; i++)
		put_pool(route, &conf->pools[i]);
	for (size_t i = 0; i < conf->n_classes; i++)
		put_class(route, &conf->classes[i]);
	for (size_t i = 0; i < conf->n_callers; i++)
		put_caller(route, &conf->callers[i]);
	index_callers(route);
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];

		index_classes(route, pool);
		route_limit_update_share(route, pool);
	}
	for (guint i = 0; i < route->classes->len; i++)
		drop_retired(route, route->classes->pdata[i]);
	route_tick(route, now);
}

int route_find_class(const route_t *route, base_str_t pool, base_str_t name)
{
	for (guint i = 0; i < route->classes->len; i++) {
		const route_class_t *cls = route->classes->pdata[i];

		if (cls->retired || compare(pool, cls->pool->conf.name))
			continue;
		if (!name.len || !compare(name, cls->conf.name))
			return (int)i;
	}
	return -1;
}

const route_class_conf_t *route_class_conf(const route_t *route, int id)
{
	return &((route_class_t *)route->classes->pdata[id])->conf;
}

uint32_t route_find_caller(const route_t *route, base_str_t name)
{
	guint low = 0, high = route->by_name->len;

	while (low < high) {
		guint mid = (low + high) / 2;
		const route_caller_t *caller = route->by_name->pdata[mid];
		int order = compare(name, caller->name);

		if (!order)
			return caller->id;
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return ROUTE_CALLER_OTHER;
}

route_pool_t *route_find_pool(const route_t *route, base_str_t name)
{
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];

		if (!compare(name, pool->conf.name))
			return pool;
	}
	return NULL;
}

/* Returns the queue of a caller in a class; creates it if needed. */
route_flow_t *route_get_flow(route_t *route, route_class_t *cls,
			     uint32_t caller)
{
	route_flow_t *flow;

	if (caller >= cls->n_flows) {
		size_t want = route->callers->len;

		cls->flows =
			talloc_realloc(cls, cls->flows, route_flow_t *, want);
		cls->heap =
			talloc_realloc(cls, cls->heap, route_flow_t *, want);
		while (cls->n_flows < want)
			cls->flows[cls->n_flows++] = NULL;
	}
	flow = cls->flows[caller];
	if (!flow) {
		flow = talloc_zero(cls, route_flow_t);
		flow->cls = cls;
		flow->caller = route->callers->pdata[caller];
		flow->heap_index = -1;
		cls->flows[caller] = flow;
	}
	return flow;
}

static void put_pool(route_t *route, const route_pool_conf_t *conf)
{
	route_pool_t *pool = route_find_pool(route, base_str(conf->name));
	char *name;

	if (!pool) {
		pool = talloc_zero(route, route_pool_t);
		pool->eps = g_ptr_array_new();
		pool->by_ident =
			g_hash_table_new(route_ident_hash, route_ident_equal);
		pool->probed = g_ptr_array_new();
		pool->local_eps = g_ptr_array_new();
		pool->remote_eps = g_ptr_array_new();
		pool->classes = g_ptr_array_new();
		pool->conf.name = talloc_strdup(pool, conf->name);
		pool->tokens = RETRY_BURST;
		talloc_set_destructor(pool, free_pool);
		g_ptr_array_add(route->pools, pool);
	}
	name = (char *)pool->conf.name;
	pool->conf = *conf;
	pool->conf.name = name;
	if (pool->conf.retry_budget <= 0.0)
		pool->conf.retry_budget = RETRY_BUDGET;
	pool->retired = false;
}

static void put_class(route_t *route, const route_class_conf_t *conf)
{
	route_class_t *cls = find_class(route, conf->pool, conf->name);
	route_pool_t *pool = route_find_pool(route, base_str(conf->pool));

	if (!pool)
		return;
	if (!cls) {
		cls = talloc_zero(route, route_class_t);
		cls->pool = pool;
		cls->wait = base_hist_new(cls);
		cls->run = base_hist_new(cls);
		cls->conf.name = talloc_strdup(cls, conf->name);
		cls->credit = CREDIT_MAX;
		g_ptr_array_add(route->classes, cls);
	}
	cls->conf = (route_class_conf_t){
		.name = cls->conf.name,
		.pool = pool->conf.name,
		.urgency = conf->urgency,
		.weight = conf->weight > 0.0 ? conf->weight : 1.0,
		.repeatable = conf->repeatable,
		.deadline_us = conf->deadline_us,
	};
	cls->retired = pool->retired;
}

static void put_caller(route_t *route, const route_caller_conf_t *conf)
{
	route_caller_t *caller = find_caller(route, conf->name);

	if (!caller) {
		caller = talloc_zero(route, route_caller_t);
		caller->name = talloc_strdup(caller, conf->name);
		caller->id = route->callers->len;
		caller->wait = base_hist_new(caller);
		caller->run = base_hist_new(caller);
		g_ptr_array_add(route->callers, caller);
	}
	/* active_weight sums this weight; drop_retired() recomputes it. */
	caller->weight = conf->weight > 0.0 ? conf->weight : 1.0;
	caller->retired = false;
}

static route_class_t *find_class(const route_t *route, const char *pool,
				 const char *name)
{
	for (guint i = 0; i < route->classes->len; i++) {
		route_class_t *cls = route->classes->pdata[i];

		if (!strcmp(cls->pool->conf.name, pool) &&
		    !strcmp(cls->conf.name, name))
			return cls;
	}
	return NULL;
}

static route_caller_t *find_caller(const route_t *route, const char *name)
{
	for (guint i = 0; i < route->callers->len; i++) {
		route_caller_t *caller = route->callers->pdata[i];

		if (!strcmp(caller->name, name))
			return caller;
	}
	return NULL;
}

static void retire_all(route_t *route)
{
	for (guint i = 0; i < route->pools->len; i++)
		((route_pool_t *)route->pools->pdata[i])->retired = true;
	for (guint i = 0; i < route->classes->len; i++)
		((route_class_t *)route->classes->pdata[i])->retired = true;
	for (guint i = 0; i < route->callers->len; i++)
		((route_caller_t *)route->callers->pdata[i])->retired = true;
}

static void index_classes(route_t *route, route_pool_t *pool)
{
	g_ptr_array_set_size(pool->classes, 0);
	pool->weight = 0.0;
	for (guint i = 0; i < route->classes->len; i++) {
		route_class_t *cls = route->classes->pdata[i];

		if (cls->pool != pool || (cls->retired && !cls->queued))
			continue;
		g_ptr_array_add(pool->classes, cls);
		pool->weight += cls->conf.weight;
	}
	g_ptr_array_sort(pool->classes, by_urgency);
}

static void index_callers(route_t *route)
{
	g_ptr_array_set_size(route->by_name, 0);
	for (guint i = 0; i < route->callers->len; i++) {
		route_caller_t *caller = route->callers->pdata[i];

		if (!caller->retired)
			g_ptr_array_add(route->by_name, caller);
	}
	g_ptr_array_sort(route->by_name, by_name);
}

/*
 * Recomputes the class's active weight and ends the queued requests of a
 * removed class.
 */
static void drop_retired(route_t *route, route_class_t *cls)
{
	cls->active_weight = 0.0;
	for (size_t i = 0; i < cls->heap_len; i++)
		cls->active_weight += cls->heap[i]->caller->weight;
	while (cls->retired && cls->queued) {
		route_request_t *req = cls->heap[0]->head;

		route_queue_remove(route, req);
		route_finish(route, req, ROUTE_REASON_UNCONFIGURED);
	}
}

static gint by_urgency(gconstpointer a, gconstpointer b)
{
	const route_class_t *one = *(route_class_t *const *)a;
	const route_class_t *two = *(route_class_t *const *)b;

	return one->conf.urgency - two->conf.urgency;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	const route_caller_t *one = *(route_caller_t *const *)a;
	const route_caller_t *two = *(route_caller_t *const *)b;

	return compare(base_str(one->name), two->name);
}

static int compare(base_str_t a, const char *b)
{
	size_t len = strlen(b);
	int order = memcmp(a.ptr, b, MIN(a.len, len));

	if (order)
		return order;
	return (a.len > len) - (a.len < len);
}

static int free_arrays(route_t *route)
{
	g_ptr_array_free(route->pools, TRUE);
	g_ptr_array_free(route->classes, TRUE);
	g_ptr_array_free(route->callers, TRUE);
	g_ptr_array_free(route->by_name, TRUE);
	g_hash_table_destroy(route->tombstones);
	return 0;
}

static int free_pool(route_pool_t *pool)
{
	g_ptr_array_free(pool->eps, TRUE);
	g_hash_table_destroy(pool->by_ident);
	g_ptr_array_free(pool->probed, TRUE);
	g_ptr_array_free(pool->local_eps, TRUE);
	g_ptr_array_free(pool->remote_eps, TRUE);
	g_ptr_array_free(pool->classes, TRUE);
	return 0;
}
