#include "route_int.h"

#define LIMIT_EASE_MIN 0.8 /* the most that one window takes away */
#define LIMIT_RECOVER 0.1  /* of the share, a window, back to the start */

static void learn_latency(route_pool_t *pool);
static void adapt(route_pool_t *pool);

/*
 * Recompute this entry's even share of the declared slots of the endpoints in
 * use.  The limit keeps its proportion to it, so that it shrinks at once with
 * an endpoint that fails or an entry that joins.
 */
void route_limit_share(const route_t *route, route_pool_t *pool)
{
	int usable = 0;
	double share;

	for (guint i = 0; i < pool->eps->len; i++) {
		const route_ep_t *ep = pool->eps->pdata[i];

		usable += route_ep_usable(ep) && ep->health != HEALTH_EJECTED;
	}
	share = (double)usable * pool->conf.slots / MAX(route->n_entries, 1);
	if (pool->share > 0.0 && share > 0.0)
		pool->limit *= share / pool->share;
	else if (share > 0.0)
		pool->limit = LIMIT_START * share;
	pool->share = share;
}

/* Requests of the pool that may run at once through this entry. */
double route_limit_now(const route_pool_t *pool)
{
	return fmax(pool->limit, 1.0);
}

/* A whole answer came after "us". */
void route_limit_sample(const route_t *route, route_pool_t *pool,
			route_ep_t *ep, int64_t us)
{
	double own = (double)us;

	if (!ep->local)
		own = fmax(own - (double)route->opt.cross_zone_us, own * 0.1);
	ep->latency_us +=
		(ep->latency_us > 0.0 ? 0.1 : 1.0) * (own - ep->latency_us);
	pool->sum_us += own;
	pool->load_sum += pool->running + 1;
	pool->samples++;
}

/* An endpoint had no room: the entries together send too much. */
void route_limit_refused(route_pool_t *pool)
{
	double floor = LIMIT_FLOOR * pool->share;

	pool->limit = fmax(pool->limit - 0.5, fmax(floor, 1.0));
}

/* Close a window of measurement. */
void route_limit_window(const route_t *route, route_pool_t *pool, int64_t now)
{
	double seconds = (double)(now - pool->window) / BASE_SEC;
	int most = (int)(pool->near->len + pool->far->len) *
		   route_conn_share(route, pool, now);

	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *cls = pool->classes->pdata[i];

		cls->rate += 0.3 * (cls->started / seconds - cls->rate);
		cls->started = 0;
	}
	pool->window = now;
	if (pool->samples < LIMIT_SAMPLES)
		return;
	learn_latency(pool);
	adapt(pool);
	pool->limit = fmin(pool->limit, most);
	pool->samples = 0;
	pool->sum_us = pool->load_sum = 0.0;
	pool->limited = false;
}

/*
 * The mean latency, and the one of endpoints that have room, which is learnt
 * while this entry sends little.
 */
static void learn_latency(route_pool_t *pool)
{
	double mean = pool->sum_us / pool->samples;
	double load = pool->load_sum / pool->samples;
	bool light = load < 0.5 * pool->share ||
		     pool->limit <= LIMIT_FLOOR * pool->share;

	if (pool->run_us <= 0.0)
		pool->run_us = pool->base_us = mean;
	pool->run_us += 0.3 * (mean - pool->run_us);
	if (light || mean < pool->base_us)
		pool->base_us += 0.1 * (mean - pool->base_us);
}

/*
 * While answers come about as fast as from endpoints that have room, a limit
 * that holds work back grows; when they come slower, work queues there and
 * the limit shrinks in proportion.
 */
static void adapt(route_pool_t *pool)
{
	double ease = LIMIT_TOLERANCE * pool->base_us / pool->run_us;

	if (ease < 1.0)
		pool->limit *= fmax(ease, LIMIT_EASE_MIN);
	if (pool->limited)
		pool->limit += 1.0;
	else if (pool->limit < LIMIT_START * pool->share)
		pool->limit += LIMIT_RECOVER * pool->share;
	pool->limit = fmax(pool->limit, LIMIT_FLOOR * pool->share);
}
