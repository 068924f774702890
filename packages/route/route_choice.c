#include "route_int.h"

#define SLOW_FROM 1.5 /* times the pool's latency */

typedef struct candidate {
	route_ep_t *ep;
	double load; /* of its quota, with this request */
	double cost; /* the same, weighted by latency */
} candidate_t;

static candidate_t best_of(route_t *route, route_pool_t *pool, bool near,
			   const route_request_t *req, int64_t now);
static bool keeps_slot(const route_t *route, const route_pool_t *pool,
		       const route_request_t *req, int64_t now);
static double quota_of(const route_t *route, const route_pool_t *pool,
		       bool near);
static double load_of(const route_ep_t *ep, double quota, int64_t now);
static void consider(candidate_t *best, route_ep_t *ep, double quota,
		     int64_t now);
static bool has_room(const route_t *route, route_ep_t *ep,
		     const route_request_t *req, int64_t now);
static bool leave_to_others(const route_ep_t *ep, int64_t now);
static void set_health(const route_t *route, route_ep_t *ep,
		       route_health_t health);
static double ramp(const route_ep_t *ep, int64_t now);
static bool may_eject(const route_pool_t *pool);
static int ejected(const route_pool_t *pool);
static bool within(const route_pool_t *pool, int out);

/*
 * The own zone first; another zone when the own one is loaded past its quota
 * and the other is better off.  NULL when none has room.
 */
route_ep_t *route_choose(route_t *route, route_pool_t *pool,
			 const route_request_t *req, int64_t now)
{
	candidate_t near, far;

	if (keeps_slot(route, pool, req, now)) {
		route_ep_t *ep = pool->freed;

		pool->freed = NULL;
		return ep;
	}
	near = best_of(route, pool, true, req, now);
	if (near.ep && near.load <= 1.0)
		return near.ep;
	far = best_of(route, pool, false, req, now);
	if (!near.ep || (far.ep && far.cost < near.cost))
		return far.ep;
	return near.ep;
}

/* Connections that this entry may hold to one endpoint of the pool. */
int route_conn_share(const route_t *route, const route_pool_t *pool,
		     int64_t now)
{
	int divisor = MAX(route->divisor, pool->conf.entries_max);
	int free;

	if (now >= route->divisor_until)
		divisor = MAX((int)route->n_entries, pool->conf.entries_max);
	free = pool->conf.connections - pool->conf.connections / PROBE_PART;
	return free / MAX(divisor, 1);
}

void route_ep_failed(const route_t *route, route_ep_t *ep, int64_t now)
{
	int64_t hold;

	ep->failures++;
	if (ep->health == HEALTH_OK && ep->failures < EJECT_FAILURES)
		return;
	if (ep->health == HEALTH_EJECTED)
		return;
	if (!may_eject(ep->pool)) {
		set_health(route, ep, HEALTH_TRIAL);
		return;
	}
	hold = EJECT_US << MIN(ep->ejections, 5);
	ep->ejections++;
	ep->ejected_until = now + MIN(hold, EJECT_US_MAX);
	set_health(route, ep, HEALTH_EJECTED);
}

/*
 * It had no room: hold it to what it runs of ours, longer each time that it
 * refuses soon again.
 */
void route_ep_refused(route_ep_t *ep, int64_t now)
{
	const route_pool_t *pool = ep->pool;
	int64_t least = MAX((int64_t)pool->run_us, CAP_HOLD_MIN_US);

	if (now > ep->cap_until + ep->cap_hold || pool->running < pool->share)
		ep->cap_hold = least;
	else if (now >= ep->cap_until)
		ep->cap_hold = MIN(2 * ep->cap_hold, CAP_HOLD_MAX_US);
	ep->cap = ep->running;
	ep->cap_until = now + ep->cap_hold;
	ep->contested_until = now + CONTESTED_US;
}

void route_ep_worked(const route_t *route, route_ep_t *ep, int64_t now)
{
	/* An answer says as much as a probe. */
	if (ep->probe_at)
		ep->probe_at = now + route->probe_us;
	ep->failures = 0;
	if (ep->health == HEALTH_OK) {
		if (ep->ejections && now - ep->ramp_from > EJECT_US_MAX)
			ep->ejections = 0;
		return;
	}
	ep->ramp_from = now;
	set_health(route, ep, HEALTH_OK);
}

/* A pool that shrank takes ejected endpoints back on trial. */
void route_ep_readmit(route_pool_t *pool)
{
	int out = ejected(pool);

	for (guint i = 0; !within(pool, out) && i < pool->eps->len; i++) {
		route_ep_t *ep = pool->eps->pdata[i];

		if (!route_ep_usable(ep) || ep->health != HEALTH_EJECTED)
			continue;
		ep->health = HEALTH_TRIAL;
		out--;
	}
}

/*
 * Where endpoints refuse, who answered last knows best where a slot is free,
 * and keeps it within its quota: the next request goes where the answer came
 * from.  Elsewhere it would likely be refused, and the slot stay empty.
 */
static bool keeps_slot(const route_t *route, const route_pool_t *pool,
		       const route_request_t *req, int64_t now)
{
	route_ep_t *ep = pool->freed;

	if (!ep || now >= ep->contested_until)
		return false;
	if (load_of(ep, quota_of(route, pool, ep->local), now) > 1.0)
		return false;
	return has_room(route, ep, req, now);
}

/* Of one endpoint's slots, at the pool's present limit. */
static double quota_of(const route_t *route, const route_pool_t *pool,
		       bool near)
{
	int sharing = near ? route->peers_near : (int)route->n_entries;
	double quota = (double)pool->conf.slots / MAX(sharing, 1);

	return quota * route_limit_now(pool) / fmax(pool->share, 1.0);
}

/* Of its quota, with one more request. */
static double load_of(const route_ep_t *ep, double quota, int64_t now)
{
	return (ep->running + 1) / (quota * ramp(ep, now));
}

static candidate_t best_of(route_t *route, route_pool_t *pool, bool near,
			   const route_request_t *req, int64_t now)
{
	const GPtrArray *eps = near ? pool->near : pool->far;
	double quota = quota_of(route, pool, near);
	candidate_t best = { NULL, INFINITY, INFINITY };
	guint at;

	if (!eps->len)
		return best;
	at = base_rng_below(&route->rng, eps->len);
	if (eps->len > SCAN_MAX) {
		for (int draws = 0; draws < 2; draws++) {
			route_ep_t *ep = eps->pdata[at];

			if (has_room(route, ep, req, now))
				consider(&best, ep, quota, now);
			at = base_rng_below(&route->rng, eps->len);
		}
		if (best.ep)
			return best;
	}
	for (guint i = 0; i < eps->len; i++) {
		route_ep_t *ep = eps->pdata[at];

		if (++at == eps->len)
			at = 0;
		if (has_room(route, ep, req, now))
			consider(&best, ep, quota, now);
		if (best.ep && eps->len > SCAN_MAX)
			break;
	}
	return best;
}

static void consider(candidate_t *best, route_ep_t *ep, double quota,
		     int64_t now)
{
	double load = load_of(ep, quota, now);
	double cost = load;

	/* Only what is clearly slower: noise would move work about. */
	if (ep->pool->run_us > 0.0 &&
	    ep->latency_us > SLOW_FROM * ep->pool->run_us)
		cost *= ep->latency_us / ep->pool->run_us;
	if (cost < best->cost)
		*best = (candidate_t){ ep, load, cost };
}

static bool has_room(const route_t *route, route_ep_t *ep,
		     const route_request_t *req, int64_t now)
{
	if (ep == req->tried[0] || ep == req->tried[1])
		return false;
	if (ep->running >= route_conn_share(route, ep->pool, now))
		return false;
	if (now < ep->cap_until && ep->running >= ep->cap)
		return false;
	if (leave_to_others(ep, now))
		return false;
	if (ep->health == HEALTH_EJECTED && now >= ep->ejected_until)
		set_health(route, ep, HEALTH_TRIAL);
	if (ep->health == HEALTH_TRIAL)
		return !ep->running;
	return ep->health == HEALTH_OK;
}

/*
 * A slot that its own zone asks for is empty there for a shorter round trip.
 * What stays short of its share without it may take it all the same.
 */
static bool leave_to_others(const route_ep_t *ep, int64_t now)
{
	const route_pool_t *pool = ep->pool;

	if (ep->local || now >= ep->contested_until)
		return false;
	return pool->running >= CONTESTED_PART * pool->share;
}

static void set_health(const route_t *route, route_ep_t *ep,
		       route_health_t health)
{
	ep->health = health;
	route_limit_share(route, ep->pool);
}

/* Slow start: the part of its load that a returning endpoint gets. */
static double ramp(const route_ep_t *ep, int64_t now)
{
	double part;

	if (!ep->ramp_from)
		return 1.0;
	part = (double)(now - ep->ramp_from) / RAMP_US;
	return CLAMP(part, RAMP_MIN, 1.0);
}

/* Ejection leaves a part of the pool, and one endpoint at the least. */
static bool may_eject(const route_pool_t *pool)
{
	return within(pool, ejected(pool) + 1);
}

static int ejected(const route_pool_t *pool)
{
	int out = 0;

	for (guint i = 0; i < pool->eps->len; i++) {
		const route_ep_t *ep = pool->eps->pdata[i];

		out += route_ep_usable(ep) && ep->health == HEALTH_EJECTED;
	}
	return out;
}

static bool within(const route_pool_t *pool, int out)
{
	int all = (int)(pool->near->len + pool->far->len);

	return !out || (out < all && out <= EJECT_FRACTION * all);
}
