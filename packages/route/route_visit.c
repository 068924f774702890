#include "route_int.h"

/*
 * Visits the core's counters a few at a time, because the mutex that every
 * request needs is held meanwhile.  Pools, callers, classes and flows are only
 * ever added, so a cursor stays valid between calls.
 */

static void visit_pool(const route_t *route, int64_t now,
		       const route_pool_t *pool,
		       const route_visitor_t *visitor);
static int count_ejected(const route_pool_t *pool);
static void visit_caller(const route_caller_t *caller,
			 const route_visitor_t *visitor);
static void visit_class(const route_class_t *cls, route_cursor_t *at,
			const route_visitor_t *visitor);

void route_each_pool(const route_t *route, int64_t now,
		     void (*visit)(void *, const route_pool_stats_t *),
		     void *arg)
{
	const route_visitor_t visitor = { .pool = visit, .arg = arg };

	for (guint i = 0; i < route->pools->len; i++)
		visit_pool(route, now, route->pools->pdata[i], &visitor);
}

bool route_visit(const route_t *route, int64_t now, route_cursor_t *at,
		 int steps, const route_visitor_t *visitor)
{
	for (int i = 0; i < steps; i++) {
		if (at->pool < route->pools->len)
			visit_pool(route, now, route->pools->pdata[at->pool++],
				   visitor);
		else if (at->caller < route->callers->len)
			visit_caller(route->callers->pdata[at->caller++],
				     visitor);
		else if (at->cls < route->classes->len)
			visit_class(route->classes->pdata[at->cls], at,
				    visitor);
		else
			return false;
	}
	return true;
}

static void visit_pool(const route_t *route, int64_t now,
		       const route_pool_t *pool, const route_visitor_t *visitor)
{
	route_pool_stats_t stats = {
		.name = pool->conf.name,
		.live = (int)(pool->local_eps->len + pool->remote_eps->len),
		.running = pool->running,
		.queued = pool->queued,
		.queued_bytes = pool->queued_bytes,
		.limit = pool->limit,
		.retries = pool->retries,
		.retries_denied = pool->retries_denied,
	};

	if (pool->retired)
		return;
	stats.connection_limit = route_conn_share(route, pool, now);
	stats.ejected = count_ejected(pool);
	visitor->pool(visitor->arg, &stats);
}

static int count_ejected(const route_pool_t *pool)
{
	int n = 0;

	for (guint i = 0; i < pool->eps->len; i++) {
		const route_ep_t *ep = pool->eps->pdata[i];

		n += route_ep_usable(ep) && ep->health == HEALTH_EJECTED;
	}
	return n;
}

static void visit_caller(const route_caller_t *caller,
			 const route_visitor_t *visitor)
{
	route_group_stats_t stats = {
		.caller = caller->name,
		.counts = &caller->counts,
		.wait = caller->wait,
		.run = caller->run,
	};

	if (caller->counts.submitted)
		visitor->group(visitor->arg, &stats);
}

/* Visits the class in the first call, then one flow in each call. */
static void visit_class(const route_class_t *cls, route_cursor_t *at,
			const route_visitor_t *visitor)
{
	route_group_stats_t stats = {
		.pool = cls->conf.pool,
		.cls = cls->conf.name,
		.counts = &cls->counts,
		.wait = cls->wait,
		.run = cls->run,
	};
	const route_flow_t *flow = NULL;
	size_t step = at->flow++;

	if (step && step <= cls->n_flows) {
		flow = cls->flows[step - 1];
		stats.wait = stats.run = NULL;
	}
	if (flow) {
		stats.caller = flow->caller->name;
		stats.counts = &flow->counts;
	}
	if (!step || flow)
		visitor->group(visitor->arg, &stats);
	if (step >= cls->n_flows) {
		at->cls++;
		at->flow = 0;
	}
}
