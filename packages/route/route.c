#include "route_int.h"

#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 10000

typedef struct result_rule {
	bool may_have_run;    /* the endpoint may have executed the request */
	bool complete;	      /* a complete answer arrived */
	bool endpoint_failed; /* the result counts as the endpoint's failure */
	bool may_retry;	      /* another attempt is allowed */
	route_reason_t reason;
} result_rule_t;

static const result_rule_t result_rules[ROUTE_RESULT_MAX] = {
	[ROUTE_RESULT_ANSWERED] = { true, true, false, false,
				    ROUTE_REASON_NONE },
	[ROUTE_RESULT_ERROR] = { true, true, true, false, ROUTE_REASON_NONE },
	[ROUTE_RESULT_REFUSED] = { false, false, false, true,
				   ROUTE_REASON_REFUSED },
	[ROUTE_RESULT_CONNECT_FAILED] = { false, false, true, true,
					  ROUTE_REASON_CONNECT },
	[ROUTE_RESULT_FAILED] = { true, false, true, true,
				  ROUTE_REASON_FAILED },
	[ROUTE_RESULT_CUT_SHORT] = { true, false, true, true,
				     ROUTE_REASON_CUT_SHORT },
	[ROUTE_RESULT_TIMEOUT] = { true, false, true, true,
				   ROUTE_REASON_TIMEOUT },
	[ROUTE_RESULT_TOO_LARGE] = { true, false, false, false,
				     ROUTE_REASON_TOO_LARGE },
	[ROUTE_RESULT_CANCELLED] = { true, false, false, false,
				     ROUTE_REASON_CANCELLED },
};

static route_reason_t check_admission(const route_t *route,
				      const route_pool_t *pool,
				      const route_request_t *req, int64_t now);
static bool too_late(const route_request_t *req, int64_t now);
static bool queue_time_over(const route_request_t *req, int64_t now);
static void start(route_t *route, route_request_t *req, route_ep_t *ep,
		  int64_t now);
static bool requeue_or_retry(route_t *route, route_request_t *req,
			     route_result_t result, int64_t now);
static bool retry(route_t *route, route_request_t *req, int64_t now);
static bool requeue(route_t *route, route_request_t *req, int64_t now);
static bool over_total_limit(const route_t *route);
static bool over_pool_limit(const route_pool_t *pool);
static void shed(route_t *route, route_pool_t *pool);
static route_pool_t *most_loaded_pool(const route_t *route);
static int retry_after_ms(const route_pool_t *pool);
static void expire_queued(route_t *route, route_pool_t *pool, int64_t now);

route_t *route_new(const void *ctx, const route_options_t *options)
{
	route_t *route = talloc_zero(ctx, route_t);
	const route_conf_t none = { 0 };

	route->opt = *options;
	route->opt.entry = talloc_strdup(route, options->entry);
	route->opt.zone = talloc_strdup(route, options->zone);
	route->rng.state = options->seed;
	route->conn_divisor = 1;
	route->local_entries = 1;
	route->probe_interval_us = ROUTE_PROBE_US;
	route_configure(route, &none, 0);
	return route;
}

void route_submit(route_t *route, route_request_t *req, int64_t now)
{
	route_class_t *cls = route->classes->pdata[req->class_id];
	route_pool_t *pool = cls->pool;
	route_reason_t reason;

	req->cls = cls;
	req->submitted = now;
	req->attempts = 0;
	req->queued = req->running = req->maybe_ran = false;
	req->ep = NULL;
	req->flow = route_get_flow(route, cls, req->caller_id);
	req->tried[0] = req->tried[1] = NULL;
	if (!req->deadline)
		req->deadline = now + cls->conf.deadline_us;
	req->queue_until_us =
		now + (int64_t)(QUEUE_FRACTION * (double)(req->deadline - now));
	route_count_submit(req);
	pool->tokens =
		fmin(pool->tokens + pool->conf.retry_budget, RETRY_BURST);
	reason = check_admission(route, pool, req, now);
	if (reason != ROUTE_REASON_NONE) {
		route_finish(route, req, reason);
		return;
	}
	route_queue_add(route, req);
	while (over_total_limit(route))
		shed(route, most_loaded_pool(route));
	route_dispatch(route, pool, now);
	while (over_pool_limit(pool))
		shed(route, pool);
}

void route_done(route_t *route, route_request_t *req, route_result_t result,
		int64_t now)
{
	const result_rule_t *rule = &result_rules[result];
	route_pool_t *pool = req->cls->pool;
	route_ep_t *ep = req->ep;
	int64_t elapsed_us = now - req->started;

	g_assert(req->running);
	req->running = false;
	req->ep = NULL;
	req->tried[1] = req->tried[0];
	req->tried[0] = ep;
	ep->running--;
	pool->running--;
	route->held--;
	if (rule->complete) {
		route_count_run(req, elapsed_us);
		route_limit_sample(route, pool, ep, elapsed_us);
	}
	if (rule->endpoint_failed)
		route_ep_failed(route, ep, now);
	else if (rule->complete)
		route_ep_succeeded(route, ep, now);
	if (result == ROUTE_RESULT_REFUSED) {
		route_ep_refused(ep, now);
		route_limit_refused(pool);
	}
	req->maybe_ran |= rule->may_have_run && !rule->complete;
	if (!requeue_or_retry(route, req, result, now))
		route_finish(route, req, rule->reason);
	if (now >= pool->window_start_us + LIMIT_WINDOW_US)
		route_limit_close_window(route, pool, now);
	pool->freed_ep = rule->complete && route_ep_usable(ep) ? ep : NULL;
	if (!ep->listed && !ep->running)
		route_pool_reindex(route, pool);
	route_dispatch(route, pool, now);
	pool->freed_ep = NULL;
}

bool route_cancel(route_t *route, route_request_t *req, int64_t now)
{
	(void)now;
	if (!req->queued)
		return false;
	route_queue_remove(route, req);
	route_finish(route, req, ROUTE_REASON_CANCELLED);
	return true;
}

void route_tick(route_t *route, int64_t now)
{
	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];

		if (pool->queued)
			expire_queued(route, pool, now);
		if (now >= pool->window_start_us + LIMIT_WINDOW_US)
			route_limit_close_window(route, pool, now);
		route_dispatch(route, pool, now);
	}
}

bool route_has_queued(const route_t *route)
{
	for (guint i = 0; i < route->pools->len; i++)
		if (((route_pool_t *)route->pools->pdata[i])->queued)
			return true;
	return false;
}

void route_dispatch(route_t *route, route_pool_t *pool, int64_t now)
{
	while (pool->queued) {
		route_request_t *req = route_queue_next(pool);
		route_ep_t *ep = NULL;

		if (queue_time_over(req, now)) {
			route_queue_remove(route, req);
			route_finish(route, req, ROUTE_REASON_DEADLINE);
			continue;
		}
		if (pool->running < (int)route_limit_now(pool))
			ep = route_choose_endpoint(route, pool, req, now);
		if (!ep) {
			pool->is_limited = true;
			return;
		}
		route_queue_remove(route, req);
		route_queue_charge(pool, req);
		start(route, req, ep, now);
	}
}

/* Ends a request that is neither queued nor running. */
void route_finish(route_t *route, route_request_t *req, route_reason_t reason)
{
	route_end_t end = { ROUTE_NOT_RUN, reason, 0 };

	if (reason == ROUTE_REASON_NONE)
		end.outcome = ROUTE_ANSWERED;
	else if (req->maybe_ran)
		end.outcome = ROUTE_UNKNOWN;
	if (end.outcome != ROUTE_ANSWERED)
		end.retry_after_ms = retry_after_ms(req->cls->pool);
	route_count_end(req, &end);
	route->opt.ops->end(route->opt.arg, req, &end);
}

/* Returns why a new request is refused, or ROUTE_REASON_NONE. */
static route_reason_t check_admission(const route_t *route,
				      const route_pool_t *pool,
				      const route_request_t *req, int64_t now)
{
	double wait;

	if (req->cls->retired)
		return ROUTE_REASON_UNCONFIGURED;
	if (!pool->local_eps->len && !pool->remote_eps->len)
		return ROUTE_REASON_NO_ENDPOINT;
	if (too_late(req, now))
		return ROUTE_REASON_DEADLINE;
	if (req->bytes > MIN(pool->conf.bytes_max, route->opt.bytes_max))
		return ROUTE_REASON_QUEUE_FULL;
	if (!pool->queued)
		return ROUTE_REASON_NONE;
	wait = route_queue_wait(pool, req);
	if (wait > WAIT_FRACTION * (double)(req->deadline - now))
		return ROUTE_REASON_WAIT;
	return ROUTE_REASON_NONE;
}

/*
 * Whether too little time is left to spend a slot on the request: at most half
 * of the class's mean run time.
 */
static bool too_late(const route_request_t *req, int64_t now)
{
	return (double)(req->deadline - now) <= req->cls->run_us / 2.0;
}

/*
 * Whether a request has queued for too long.  The limit is well before the
 * deadline, so that the caller can still act on the refusal.
 */
static bool queue_time_over(const route_request_t *req, int64_t now)
{
	return now > req->queue_until_us || too_late(req, now);
}

static void start(route_t *route, route_request_t *req, route_ep_t *ep,
		  int64_t now)
{
	req->running = true;
	req->started = now;
	req->ep = ep;
	req->connection_limit = route_conn_share(route, ep->pool, now);
	req->attempts++;
	ep->running++;
	ep->pool->running++;
	route->held++;
	req->cls->started++;
	route_count_start(req, now);
	route->opt.ops->start(route->opt.arg, req, &ep->pub, req->attempts);
}

/* Requeues or retries after an attempt; false if the request has ended. */
static bool requeue_or_retry(route_t *route, route_request_t *req,
			     route_result_t result, int64_t now)
{
	if (result == ROUTE_RESULT_REFUSED)
		return requeue(route, req, now);
	return result_rules[result].may_retry && retry(route, req, now);
}

/*
 * Starts another attempt in place of the failed one.  A retry never queues: if
 * no endpoint can take it now, the caller gets the failure now.
 */
static bool retry(route_t *route, route_request_t *req, int64_t now)
{
	route_pool_t *pool = req->cls->pool;
	route_ep_t *ep;

	if (req->maybe_ran && !req->repeatable)
		return false;
	if (req->cls->retired || too_late(req, now) ||
	    req->attempts >= ATTEMPTS_MAX)
		return false;
	if (pool->tokens < 1.0) {
		pool->retries_denied++;
		return false;
	}
	ep = route_choose_endpoint(route, pool, req, now);
	if (!ep)
		return false;
	pool->tokens -= 1.0;
	pool->retries++;
	start(route, req, ep, now);
	return true;
}

/*
 * Puts a request that an endpoint without a free slot refused back into its
 * queue.  route_ep_refused() limits how often that endpoint is tried again.
 */
static bool requeue(route_t *route, route_request_t *req, int64_t now)
{
	if (req->maybe_ran || req->cls->retired || queue_time_over(req, now) ||
	    req->attempts >= REFUSED_ATTEMPTS_MAX)
		return false;
	req->tried[0] = req->tried[1] = NULL;
	route_queue_refund(req->cls->pool, req);
	route_queue_put_back(route, req);
	while (over_pool_limit(req->cls->pool))
		shed(route, req->cls->pool);
	return true;
}

static bool over_total_limit(const route_t *route)
{
	return route->held > route->opt.held_max ||
	       route->queued_bytes > route->opt.bytes_max;
}

static bool over_pool_limit(const route_pool_t *pool)
{
	return pool->queued > pool->conf.queue_max ||
	       pool->queued_bytes > pool->conf.bytes_max;
}

/* Ends one queued request of the pool because a queue is full. */
static void shed(route_t *route, route_pool_t *pool)
{
	route_request_t *victim = route_queue_victim(pool);

	route_queue_remove(route, victim);
	route_finish(route, victim, ROUTE_REASON_QUEUE_FULL);
}

/* Returns the pool with the most queued requests relative to its share. */
static route_pool_t *most_loaded_pool(const route_t *route)
{
	route_pool_t *found = NULL;
	double max_load = -1.0;

	for (guint i = 0; i < route->pools->len; i++) {
		route_pool_t *pool = route->pools->pdata[i];
		double share = fmax(pool->share, 1.0);

		if (pool->queued && pool->queued / share > max_load) {
			max_load = pool->queued / share;
			found = pool;
		}
	}
	return found;
}

static int retry_after_ms(const route_pool_t *pool)
{
	double limit = route_limit_now(pool);
	double wait = pool->run_us * (pool->queued + 1) / fmax(limit, 1.0);
	int ms = (int)fmin(wait / BASE_MS, RETRY_AFTER_MAX_MS);

	return MAX(ms, RETRY_AFTER_MIN_MS);
}

/* Ends requests that have queued for too long. */
static void expire_queued(route_t *route, route_pool_t *pool, int64_t now)
{
	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *cls = pool->classes->pdata[i];

		for (size_t k = 0; cls->queued && k < cls->n_flows; k++) {
			route_flow_t *flow = cls->flows[k];
			route_request_t *req = flow ? flow->head : NULL;

			while (req) {
				route_request_t *next = req->next;

				if (queue_time_over(req, now)) {
					route_queue_remove(route, req);
					route_finish(route, req,
						     ROUTE_REASON_DEADLINE);
				}
				req = next;
			}
		}
	}
}
