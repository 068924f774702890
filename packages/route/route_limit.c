#include "route_int.h"

/* The gain: the part of its even share that this entry may run at once. */
#define GAIN_START 1.3
#define GAIN_REFUSED 1.2 /* refusals alone lower it no further */
#define GAIN_REFUSAL 0.2 /* requests that a refusal takes */
#define REFUSED_FEW 0.05 /* of a window's answers */
#define GAIN_UP 1.05	 /* times, in a window */
#define GAIN_RETURN 0.05 /* of the way back, in a window */
/* Latency over that of idle endpoints: below the first there is room. */
#define SLOW_NONE 1.15
#define SLOW_SOME 1.25
#define SLOW_MUCH 1.5
/* The part of the share that each unit above these takes away. */
#define SLOPE_SOME 0.4
#define SLOPE_MUCH 2.6	  /* more */
#define LIMIT_FLOOR 0.1	  /* of the share */
#define LEARN_SAMPLES 512 /* before latency counts */
/* Weights of the newest window. */
#define RUN_WEIGHT 0.15
#define BASE_WEIGHT 0.05

static void learn_latency(route_pool_t *pool);
static void adapt(route_pool_t *pool);
static double slowness(const route_pool_t *pool);
static void set_limit(route_pool_t *pool);

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
	pool->share = share;
	if (pool->gain <= 0.0)
		pool->gain = GAIN_START;
	set_limit(pool);
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

/* An endpoint had no room. */
void route_limit_refused(route_pool_t *pool)
{
	double gain = pool->gain - GAIN_REFUSAL / fmax(pool->share, 1.0);

	pool->refused++;
	if (pool->gain > GAIN_REFUSED)
		pool->gain = fmax(gain, GAIN_REFUSED);
	set_limit(pool);
}

/* Close a window of measurement. */
void route_limit_window(const route_t *route, route_pool_t *pool, int64_t now)
{
	double seconds = (double)(now - pool->window) / BASE_SEC;
	double most = (double)(pool->near->len + pool->far->len) *
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
	if (pool->share > 0.0)
		pool->gain = fmin(pool->gain, most / pool->share);
	set_limit(pool);
	pool->samples = 0;
	pool->sum_us = pool->load_sum = 0.0;
	pool->limited = false;
	pool->refused = 0;
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

	/* The first answers are the short ones. */
	if (pool->learnt < LEARN_SAMPLES) {
		pool->sum_first += pool->sum_us;
		pool->learnt += pool->samples;
		pool->run_us = pool->base_us = pool->sum_first / pool->learnt;
		return;
	}
	pool->run_us += RUN_WEIGHT * (mean - pool->run_us);
	if (light || pool->run_us < pool->base_us)
		pool->base_us += BASE_WEIGHT * (pool->run_us - pool->base_us);
}

/*
 * While work waits here and answers come about as fast as from idle
 * endpoints, there are more slots than declared and the gain grows; else it
 * goes back to where it began.
 */
static void adapt(route_pool_t *pool)
{
	double slow = slowness(pool);

	if (pool->learnt < LEARN_SAMPLES)
		return;
	if (pool->limited && slow < SLOW_NONE &&
	    pool->refused < REFUSED_FEW * pool->samples)
		pool->gain *= GAIN_UP;
	else
		pool->gain += GAIN_RETURN * (GAIN_START - pool->gain);
}

/* The present latency, times that of idle endpoints. */
static double slowness(const route_pool_t *pool)
{
	return pool->base_us > 0.0 ? pool->run_us / pool->base_us : 1.0;
}

/*
 * The limit falls in proportion to how much slower than from idle endpoints
 * answers come.  Proportion, not a sum over time: entries that share the
 * endpoints each measure a little differently, and sums would drift apart.
 * For the same reason it falls gently while it is near the even share.
 */
static void set_limit(route_pool_t *pool)
{
	double slow = slowness(pool);
	double part = pool->gain;

	part -= SLOPE_SOME * fmax(slow - SLOW_SOME, 0.0);
	part -= SLOPE_MUCH * fmax(slow - SLOW_MUCH, 0.0);
	pool->limit = pool->share * fmax(part, LIMIT_FLOOR);
}
