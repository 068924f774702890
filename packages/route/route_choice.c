#include "route_int.h"

/* An endpoint is slow above this multiple of the pool's mean latency. */
#define SLOW_RATIO 1.5

typedef struct candidate {
	route_ep_t *ep;
	double load; /* part of the quota in use once the request starts */
	double cost; /* load, weighted by latency if the endpoint is slow */
} candidate_t;

static candidate_t best_candidate(route_t *route, route_pool_t *pool,
				  bool local, const route_request_t *req,
				  int64_t now);
static bool reuses_freed_slot(const route_t *route, const route_pool_t *pool,
			      const route_request_t *req, int64_t now);
static double endpoint_quota(const route_t *route, const route_pool_t *pool,
			     bool local);
static double endpoint_load(const route_ep_t *ep, double quota, int64_t now);
static void keep_cheaper(candidate_t *best, route_ep_t *ep, double quota,
			 int64_t now);
static bool has_capacity(const route_t *route, route_ep_t *ep,
			 const route_request_t *req, int64_t now);
static bool is_reserved_for_zone(const route_ep_t *ep, int64_t now);
static void set_health(const route_t *route, route_ep_t *ep,
		       route_health_t health);
static double slow_start_fraction(const route_ep_t *ep, int64_t now);
static bool may_eject(const route_pool_t *pool);
static int count_ejected(const route_pool_t *pool);
static bool within_ejection_limit(const route_pool_t *pool, int n_ejected);

/*
 * Prefers the own zone; picks another zone if the best endpoint of the own one
 * is over its quota and the other zone has a cheaper one.  Returns NULL if no
 * endpoint can take the request.
 */
route_ep_t *route_choose_endpoint(route_t *route, route_pool_t *pool,
				  const route_request_t *req, int64_t now)
{
	candidate_t local, remote;

	if (reuses_freed_slot(route, pool, req, now)) {
		route_ep_t *ep = pool->freed_ep;

		pool->freed_ep = NULL;
		return ep;
	}
	local = best_candidate(route, pool, true, req, now);
	if (local.ep && local.load <= 1.0)
		return local.ep;
	remote = best_candidate(route, pool, false, req, now);
	if (!local.ep || (remote.ep && remote.cost < local.cost))
		return remote.ep;
	return local.ep;
}

/* Returns how many connections this entry may hold to one endpoint. */
int route_conn_share(const route_t *route, const route_pool_t *pool,
		     int64_t now)
{
	int divisor = MAX(route->conn_divisor, pool->conf.entries_max);
	int usable;

	if (now >= route->conn_divisor_until_us)
		divisor = MAX((int)route->n_entries, pool->conf.entries_max);
	usable = pool->conf.connections -
		 pool->conf.connections / PROBE_CONN_DIVISOR;
	return usable / MAX(divisor, 1);
}

void route_ep_failed(const route_t *route, route_ep_t *ep, int64_t now)
{
	int64_t hold_us;

	ep->failures++;
	if (ep->health == HEALTH_OK && ep->failures < EJECT_FAILURES)
		return;
	if (ep->health == HEALTH_EJECTED)
		return;
	if (!may_eject(ep->pool)) {
		set_health(route, ep, HEALTH_TRIAL);
		return;
	}
	hold_us = EJECT_US << MIN(ep->ejections, 5);
	ep->ejections++;
	ep->ejected_until_us = now + MIN(hold_us, EJECT_US_MAX);
	set_health(route, ep, HEALTH_EJECTED);
}

/*
 * The endpoint had no free slot: caps it at the requests that this entry runs
 * there now.  The duration of the cap doubles if the endpoint refuses again
 * soon after the last refusal, unless this entry runs less than its even share.
 */
void route_ep_refused(route_ep_t *ep, int64_t now)
{
	const route_pool_t *pool = ep->pool;
	int64_t min_hold_us = MAX((int64_t)pool->run_us, CAP_HOLD_MIN_US);

	if (now > ep->cap_until_us + ep->cap_hold_us ||
	    pool->running < pool->share)
		ep->cap_hold_us = min_hold_us;
	else if (now >= ep->cap_until_us)
		ep->cap_hold_us = MIN(2 * ep->cap_hold_us, CAP_HOLD_MAX_US);
	ep->cap = ep->running;
	ep->cap_until_us = now + ep->cap_hold_us;
	ep->contested_until_us = now + CONTESTED_US;
}

void route_ep_succeeded(const route_t *route, route_ep_t *ep, int64_t now)
{
	/* An answer shows the endpoint's health as well as a probe does. */
	if (ep->next_probe_us)
		ep->next_probe_us = now + route->probe_interval_us;
	ep->failures = 0;
	if (ep->health == HEALTH_OK) {
		if (ep->ejections && now - ep->slow_start_us > EJECT_US_MAX)
			ep->ejections = 0;
		return;
	}
	ep->slow_start_us = now;
	set_health(route, ep, HEALTH_OK);
}

/*
 * Puts ejected endpoints on trial until the pool, which may have shrunk, is
 * within the ejection limit.
 */
void route_ep_readmit(route_pool_t *pool)
{
	int n_ejected = count_ejected(pool);

	for (guint i = 0;
	     !within_ejection_limit(pool, n_ejected) && i < pool->eps->len;
	     i++) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (!route_ep_usable(ep) || ep->health != HEALTH_EJECTED)
			continue;
		ep->health = HEALTH_TRIAL;
		n_ejected--;
	}
}

/*
 * Whether the next request goes to the endpoint that just answered.  While an
 * endpoint is contested, the slot freed by that answer is the one known to be
 * free, so an entry within its quota there reuses it.  Another endpoint would
 * likely refuse the request and the freed slot would stay empty.
 */
static bool reuses_freed_slot(const route_t *route, const route_pool_t *pool,
			      const route_request_t *req, int64_t now)
{
	route_ep_t *ep = pool->freed_ep;

	if (!ep || now >= ep->contested_until_us)
		return false;
	if (endpoint_load(ep, endpoint_quota(route, pool, ep->local), now) >
	    1.0)
		return false;
	return has_capacity(route, ep, req, now);
}

/* How many requests this entry aims to run at an endpoint, see route.h. */
static double endpoint_quota(const route_t *route, const route_pool_t *pool,
			     bool local)
{
	int sharing = local ? route->local_entries : (int)route->n_entries;
	double quota = (double)pool->conf.slots / MAX(sharing, 1);

	return quota * route_limit_now(pool) / fmax(pool->share, 1.0);
}

/* The part of the endpoint's quota in use after one more request starts. */
static double endpoint_load(const route_ep_t *ep, double quota, int64_t now)
{
	return (ep->running + 1) / (quota * slow_start_fraction(ep, now));
}

/* Compares all endpoints, or two random ones if there are over SCAN_MAX. */
static candidate_t best_candidate(route_t *route, route_pool_t *pool,
				  bool local, const route_request_t *req,
				  int64_t now)
{
	const GPtrArray *eps = local ? pool->local_eps : pool->remote_eps;
	double quota = endpoint_quota(route, pool, local);
	candidate_t best = { NULL, INFINITY, INFINITY };
	guint at;

	if (!eps->len)
		return best;
	at = base_rng_below(&route->rng, eps->len);
	if (eps->len > SCAN_MAX) {
		for (int draws = 0; draws < 2; draws++) {
			route_ep_t *ep = eps->pdata[at];

			if (has_capacity(route, ep, req, now))
				keep_cheaper(&best, ep, quota, now);
			at = base_rng_below(&route->rng, eps->len);
		}
		if (best.ep)
			return best;
	}
	for (guint i = 0; i < eps->len; i++) {
		route_ep_t *ep = eps->pdata[at];

		if (++at == eps->len)
			at = 0;
		if (has_capacity(route, ep, req, now))
			keep_cheaper(&best, ep, quota, now);
		if (best.ep && eps->len > SCAN_MAX)
			break;
	}
	return best;
}

static void keep_cheaper(candidate_t *best, route_ep_t *ep, double quota,
			 int64_t now)
{
	double load = endpoint_load(ep, quota, now);
	double cost = load;

	/* A small difference is noise and must not move load. */
	if (ep->pool->run_us > 0.0 &&
	    ep->latency_us > SLOW_RATIO * ep->pool->run_us)
		cost *= ep->latency_us / ep->pool->run_us;
	if (cost < best->cost)
		*best = (candidate_t){ ep, load, cost };
}

static bool has_capacity(const route_t *route, route_ep_t *ep,
			 const route_request_t *req, int64_t now)
{
	if (ep == req->tried[0] || ep == req->tried[1])
		return false;
	if (ep->running >= route_conn_share(route, ep->pool, now))
		return false;
	if (now < ep->cap_until_us && ep->running >= ep->cap)
		return false;
	if (is_reserved_for_zone(ep, now))
		return false;
	if (ep->health == HEALTH_EJECTED && now >= ep->ejected_until_us)
		set_health(route, ep, HEALTH_TRIAL);
	if (ep->health == HEALTH_TRIAL)
		return !ep->running;
	return ep->health == HEALTH_OK;
}

/*
 * Leaves the contested slots of another zone to the entries of that zone,
 * which refill them after a shorter round trip.  An entry that runs less than
 * CONTESTED_FRACTION of its even share may still take them.
 */
static bool is_reserved_for_zone(const route_ep_t *ep, int64_t now)
{
	const route_pool_t *pool = ep->pool;

	if (ep->local || now >= ep->contested_until_us)
		return false;
	return pool->running >= CONTESTED_FRACTION * pool->share;
}

static void set_health(const route_t *route, route_ep_t *ep,
		       route_health_t health)
{
	ep->health = health;
	route_limit_update_share(route, ep->pool);
}

/* Slow start: the part of its quota that a new or returning endpoint gets. */
static double slow_start_fraction(const route_ep_t *ep, int64_t now)
{
	double fraction;

	if (!ep->slow_start_us)
		return 1.0;
	fraction = (double)(now - ep->slow_start_us) / SLOW_START_US;
	return CLAMP(fraction, SLOW_START_MIN, 1.0);
}

/* Ejection leaves at least one endpoint and a minimum part of the pool. */
static bool may_eject(const route_pool_t *pool)
{
	return within_ejection_limit(pool, count_ejected(pool) + 1);
}

static int count_ejected(const route_pool_t *pool)
{
	int n_ejected = 0;

	for (guint i = 0; i < pool->eps->len; i++) {
		const route_ep_t *ep = pool->eps->pdata[i];

		n_ejected +=
			route_ep_usable(ep) && ep->health == HEALTH_EJECTED;
	}
	return n_ejected;
}

static bool within_ejection_limit(const route_pool_t *pool, int n_ejected)
{
	int all = (int)(pool->local_eps->len + pool->remote_eps->len);

	return !n_ejected ||
	       (n_ejected < all && n_ejected <= EJECT_FRACTION * all);
}
