#include "route_int.h"

/*
 * The gain is the number of requests that an entry may run at once at low
 * latency, divided by its even share of the pool's slots (see route.h).
 */
#define GAIN_START 1.3	     /* initial gain */
#define GAIN_REFUSED_MIN 1.2 /* refusals lower the gain no further */
/* A refusal lowers the limit by this many requests. */
#define GAIN_REFUSAL_STEP 0.2
/* The gain grows only in a window with fewer refusals per answer than this. */
#define REFUSAL_RATIO_LOW 0.05
#define GAIN_GROWTH 1.05 /* growth factor of the gain per window */
/* Part of the distance to GAIN_START that the gain returns per window. */
#define GAIN_RETURN_RATE 0.05
/*
 * The slowdown is the latency divided by that of idle endpoints.  The gain may
 * grow while the slowdown is below SLOWDOWN_LOW.
 */
#define SLOWDOWN_LOW 1.15
#define SLOWDOWN_MEDIUM 1.25
#define SLOWDOWN_HIGH 1.5
/*
 * Gain lost per unit of slowdown above SLOWDOWN_MEDIUM, and in addition above
 * SLOWDOWN_HIGH.
 */
#define SLOPE_MEDIUM 0.4
#define SLOPE_HIGH 2.6
/* Lowest limit of an entry, as a part of its even share (see route.h). */
#define LIMIT_FLOOR 0.1
#define WARMUP_SAMPLES 512 /* answers before latency changes the gain */
/*
 * Weights of the newest window in the moving means of the latency: of all
 * answers, and of idle endpoints.
 */
#define RUN_WEIGHT 0.15
#define IDLE_WEIGHT 0.05

static void update_latency(route_pool_t *pool);
static void adapt_gain(route_pool_t *pool);
static double slowdown(const route_pool_t *pool);
static void set_limit(route_pool_t *pool);

/*
 * Recomputes this entry's even share of the declared slots of the endpoints in
 * use.  The limit is proportional to the share, so it falls at once when an
 * endpoint is ejected or removed or an entry joins.
 */
void route_limit_update_share(const route_t *route, route_pool_t *pool)
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

/* Returns how many requests of the pool this entry may run at once. */
double route_limit_now(const route_pool_t *pool)
{
	return fmax(pool->limit, 1.0);
}

/* Records a complete answer that took "us" microseconds. */
void route_limit_sample(const route_t *route, route_pool_t *pool,
			route_ep_t *ep, int64_t us)
{
	double latency_us = (double)us;

	if (!ep->local)
		latency_us = fmax(latency_us - (double)route->opt.cross_zone_us,
				  latency_us * 0.1);
	ep->latency_us += (ep->latency_us > 0.0 ? 0.1 : 1.0) *
			  (latency_us - ep->latency_us);
	pool->sum_us += latency_us;
	pool->load_sum += pool->running + 1;
	pool->samples++;
}

/* Lowers the limit after an endpoint refused for lack of a free slot. */
void route_limit_refused(route_pool_t *pool)
{
	double gain = pool->gain - GAIN_REFUSAL_STEP / fmax(pool->share, 1.0);

	pool->refusals++;
	if (pool->gain > GAIN_REFUSED_MIN)
		pool->gain = fmax(gain, GAIN_REFUSED_MIN);
	set_limit(pool);
}

/* Ends a measurement window and updates the limit from it. */
void route_limit_close_window(const route_t *route, route_pool_t *pool,
			      int64_t now)
{
	double seconds = (double)(now - pool->window_start_us) / BASE_SEC;
	double max_requests =
		(double)(pool->local_eps->len + pool->remote_eps->len) *
		route_conn_share(route, pool, now);

	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *cls = pool->classes->pdata[i];

		cls->start_rate +=
			0.3 * (cls->started / seconds - cls->start_rate);
		cls->started = 0;
	}
	pool->window_start_us = now;
	if (pool->samples < LIMIT_SAMPLES)
		return;
	update_latency(pool);
	adapt_gain(pool);
	if (pool->share > 0.0)
		pool->gain = fmin(pool->gain, max_requests / pool->share);
	set_limit(pool);
	pool->samples = 0;
	pool->sum_us = pool->load_sum = 0.0;
	pool->is_limited = false;
	pool->refusals = 0;
}

/*
 * Updates the mean latency and the latency of idle endpoints.  The latter is
 * updated while this entry sends little, or when the mean falls below it.
 */
static void update_latency(route_pool_t *pool)
{
	double mean = pool->sum_us / pool->samples;
	double load = pool->load_sum / pool->samples;
	bool lightly_loaded = load < 0.5 * pool->share ||
			      pool->limit <= LIMIT_FLOOR * pool->share;

	/*
	 * Short requests finish first, so the first answers understate the
	 * latency: average over all samples until there are enough.
	 */
	if (pool->warmup_samples < WARMUP_SAMPLES) {
		pool->warmup_sum_us += pool->sum_us;
		pool->warmup_samples += pool->samples;
		pool->run_us = pool->idle_us =
			pool->warmup_sum_us / pool->warmup_samples;
		return;
	}
	pool->run_us += RUN_WEIGHT * (mean - pool->run_us);
	if (lightly_loaded || pool->run_us < pool->idle_us)
		pool->idle_us += IDLE_WEIGHT * (pool->run_us - pool->idle_us);
}

/*
 * While requests queue here and answers are about as fast as from idle
 * endpoints, the endpoints have more slots than declared and the gain grows;
 * otherwise it returns towards GAIN_START.
 */
static void adapt_gain(route_pool_t *pool)
{
	double ratio = slowdown(pool);

	if (pool->warmup_samples < WARMUP_SAMPLES)
		return;
	if (pool->is_limited && ratio < SLOWDOWN_LOW &&
	    pool->refusals < REFUSAL_RATIO_LOW * pool->samples)
		pool->gain *= GAIN_GROWTH;
	else
		pool->gain += GAIN_RETURN_RATE * (GAIN_START - pool->gain);
}

/* The mean latency divided by that of idle endpoints. */
static double slowdown(const route_pool_t *pool)
{
	return pool->idle_us > 0.0 ? pool->run_us / pool->idle_us : 1.0;
}

/*
 * Lowers the limit in proportion to the slowdown.  The control is proportional,
 * not integral: entries that share the endpoints measure slightly different
 * latencies, and integrated errors would make their limits drift apart.  For
 * the same reason the slope is small near the even share.
 */
static void set_limit(route_pool_t *pool)
{
	double ratio = slowdown(pool);
	double factor = pool->gain;

	factor -= SLOPE_MEDIUM * fmax(ratio - SLOWDOWN_MEDIUM, 0.0);
	factor -= SLOPE_HIGH * fmax(ratio - SLOWDOWN_HIGH, 0.0);
	pool->limit = pool->share * fmax(factor, LIMIT_FLOOR);
}
