#include "entry_int.h"

/*
 * Drives the routing core, which is protected by one mutex and ticked by one
 * duty.  A request's thread waits here until the core starts an attempt or ends
 * the request.
 */

/* A quarter of the threads is kept free of queued and running requests. */
#define RESERVED_THREADS_DIVISOR 4
/* Limit of the bytes of queued requests, over all pools. */
#define QUEUE_BYTES_MAX (16 * 1024 * 1024)
/* Extra round-trip time that the router assumes to another zone. */
#define CROSS_ZONE_US (3 * BASE_MS)
#define RETRY_PERCENT 100.0
/* Period of ticks while nothing is queued. */
#define IDLE_TICK_US (100 * BASE_MS)
/*
 * Counters visited while the lock is held once, which takes some hundred
 * microseconds.
 */
#define VISIT_STEPS 16

typedef enum waiter_state {
	WAITER_WAITING, /* queued, or between attempts */
	WAITER_SEND,	/* the core chose an endpoint: make one attempt */
	WAITER_DONE,
	WAITER_STATE_MAX
} waiter_state_t;

/* A request and the thread that waits for the core's decisions. */
typedef struct waiter {
	route_request_t core;
	pthread_cond_t woken;
	waiter_state_t state;
	const route_endpoint_t *endpoint;
	route_end_t end;
} waiter_t;

struct entry_route {
	pthread_mutex_t lock; /* protects everything below */
	route_t *core;
	entry_daemon_t *daemon;
	/* View last passed to the core; holds a reference. */
	entry_view_t *applied;
	/* Version of the endpoints passed to the core. */
	uint64_t version;
	kern_thread_t *duty;
	bool idle; /* the duty sleeps for IDLE_TICK_US */
};

static bool route_start(void *service, kern_t *kern, GError **err);
static void route_stop(void *service);
static void tick(void *arg, int64_t now);
static int64_t next_tick(void *arg);
static void wake_duty_if_idle(entry_route_t *route, const waiter_t *waiter);
static void on_start(void *arg, route_request_t *request,
		     const route_endpoint_t *endpoint, int attempt);
static void on_end(void *arg, route_request_t *request, const route_end_t *end);
static int free_route(entry_route_t *route);
static void set_initial_entries(entry_route_t *route);
static void configure(entry_route_t *route, const conf_t *conf, int64_t now);
static void set_pool_endpoints(entry_route_t *route, const entry_pool_t *pool,
			       int64_t now);
static bool fill_core_request(entry_route_t *route, waiter_t *waiter,
			      const entry_request_t *request);
static route_result_t send_once(entry_route_t *route, const waiter_t *waiter,
				entry_request_t *request,
				entry_message_t *answer,
				bool *endpoint_leaving);
static bool is_leaving(const entry_message_t *answer);

const kern_service_ops_t entry_route_ops = { route_start, route_stop };

static const route_ops_t core_ops = { on_start, on_end };

static const route_result_t results[ENTRY_ATTEMPT_MAX] = {
	[ENTRY_ATTEMPT_ANSWERED] = ROUTE_RESULT_ANSWERED,
	[ENTRY_ATTEMPT_REFUSED] = ROUTE_RESULT_REFUSED,
	[ENTRY_ATTEMPT_CONNECT] = ROUTE_RESULT_CONNECT_FAILED,
	[ENTRY_ATTEMPT_FAILED] = ROUTE_RESULT_FAILED,
	[ENTRY_ATTEMPT_TRUNCATED] = ROUTE_RESULT_CUT_SHORT,
	[ENTRY_ATTEMPT_TIMEOUT] = ROUTE_RESULT_TIMEOUT,
	[ENTRY_ATTEMPT_TOO_LARGE] = ROUTE_RESULT_TOO_LARGE,
};

static const entry_outcome_t outcomes[ROUTE_OUTCOME_MAX] = {
	[ROUTE_ANSWERED] = ENTRY_ANSWERED,
	[ROUTE_NOT_RUN] = ENTRY_NOT_RUN,
	[ROUTE_UNKNOWN] = ENTRY_UNKNOWN,
};

entry_route_t *entry_route_new(entry_daemon_t *daemon)
{
	const entry_settings_t *settings = daemon->settings;
	entry_route_t *route = talloc_zero(daemon, entry_route_t);
	route_options_t options = {
		.ops = &core_ops,
		.arg = route,
		.entry = settings->name,
		.zone = settings->zone,
		.seed = (uint64_t)base_clock_wall(),
		.held_max = settings->caller.threads -
			    settings->caller.threads / RESERVED_THREADS_DIVISOR,
		.bytes_max = QUEUE_BYTES_MAX,
		.cross_zone_us = CROSS_ZONE_US,
	};

	route->daemon = daemon;
	entry_lock_init(&route->lock);
	route->core = route_new(route, &options);
	set_initial_entries(route);
	talloc_set_destructor(route, free_route);
	return route;
}

void entry_route_apply(entry_route_t *route)
{
	int64_t now = base_clock_mono();
	entry_view_t *view, *old;

	pthread_mutex_lock(&route->lock);
	view = entry_view_hold(route->daemon->views);
	old = route->applied;
	if (view == old || !view->record) {
		pthread_mutex_unlock(&route->lock);
		entry_view_release(view);
		return;
	}
	if (!old || old->record != view->record)
		configure(route, view->record->config, now);
	route->version++;
	for (size_t i = 0; i < view->pool_count; i++)
		set_pool_endpoints(route, &view->pools[i], now);
	route->applied = view;
	pthread_mutex_unlock(&route->lock);
	if (old)
		entry_view_release(old);
}

entry_verdict_t entry_route_run(entry_route_t *route, entry_request_t *request,
				entry_message_t *answer)
{
	waiter_t waiter = { .state = WAITER_WAITING };
	entry_verdict_t verdict = { ENTRY_NOT_RUN, "no-configuration", 1000 };

	pthread_mutex_lock(&route->lock);
	if (!fill_core_request(route, &waiter, request)) {
		pthread_mutex_unlock(&route->lock);
		return verdict;
	}
	pthread_cond_init(&waiter.woken, NULL);
	route_submit(route->core, &waiter.core, base_clock_mono());
	wake_duty_if_idle(route, &waiter);
	while (waiter.state != WAITER_DONE) {
		route_result_t result;
		bool endpoint_leaving;

		while (waiter.state == WAITER_WAITING)
			pthread_cond_wait(&waiter.woken, &route->lock);
		if (waiter.state == WAITER_DONE)
			break;
		waiter.state = WAITER_WAITING;
		pthread_mutex_unlock(&route->lock);
		result = send_once(route, &waiter, request, answer,
				   &endpoint_leaving);
		if (endpoint_leaving)
			entry_leaving_notify(
				route->daemon, waiter.endpoint->instance,
				waiter.endpoint->incarnation, false);
		pthread_mutex_lock(&route->lock);
		route_done(route->core, &waiter.core, result,
			   base_clock_mono());
		wake_duty_if_idle(route, &waiter);
	}
	pthread_mutex_unlock(&route->lock);
	pthread_cond_destroy(&waiter.woken);
	verdict.outcome = outcomes[waiter.end.outcome];
	verdict.reason = route_reason_name(waiter.end.reason);
	verdict.retry_after_ms = waiter.end.retry_after_ms;
	return verdict;
}

void entry_route_set_entries(entry_route_t *route, const route_entry_t *entries,
			     size_t n)
{
	pthread_mutex_lock(&route->lock);
	route_set_entries(route->core, entries, n, base_clock_mono());
	pthread_mutex_unlock(&route->lock);
}

bool entry_route_mark_leaving(entry_route_t *route, base_str_t instance,
			      base_str_t incarnation)
{
	bool is_new;

	pthread_mutex_lock(&route->lock);
	is_new = route_mark_leaving(route->core, instance, incarnation,
				    base_clock_mono());
	pthread_mutex_unlock(&route->lock);
	return is_new;
}

size_t entry_route_take_due_probes(entry_route_t *route, const void *ctx,
				   bool own_zone, entry_probe_t *due,
				   size_t max)
{
	route_probe_due_t found[ENTRY_PROBES_MAX];
	size_t n;

	pthread_mutex_lock(&route->lock);
	n = route_probe_due(route->core, own_zone, base_clock_mono(), found,
			    MIN(max, ENTRY_PROBES_MAX));
	for (size_t i = 0; i < n; i++) {
		const route_endpoint_t *from = found[i].endpoint;
		entry_endpoint_t *to = &due[i].endpoint;

		to->id = talloc_strdup(ctx, from->instance);
		to->incarnation = talloc_strdup(ctx, from->incarnation);
		to->address = talloc_strdup(ctx, from->address);
		to->port = from->port;
		due[i].connection_limit = found[i].connection_limit;
	}
	pthread_mutex_unlock(&route->lock);
	return n;
}

void entry_route_probe_done(entry_route_t *route,
			    const entry_endpoint_t *endpoint,
			    route_probe_result_t result)
{
	pthread_mutex_lock(&route->lock);
	route_probe_done(route->core, base_str(endpoint->id),
			 base_str(endpoint->incarnation), result,
			 base_clock_mono());
	pthread_mutex_unlock(&route->lock);
}

int entry_route_running_count(entry_route_t *route, base_str_t instance,
			      base_str_t incarnation)
{
	int running;

	pthread_mutex_lock(&route->lock);
	running = route_running_count(route->core, instance, incarnation);
	pthread_mutex_unlock(&route->lock);
	return running;
}

void entry_route_visit(entry_route_t *route, const route_visitor_t *visitor)
{
	route_cursor_t cursor = { 0 };
	bool has_more = true;

	while (has_more) {
		pthread_mutex_lock(&route->lock);
		has_more = route_visit(route->core, base_clock_mono(), &cursor,
				       VISIT_STEPS, visitor);
		pthread_mutex_unlock(&route->lock);
	}
}

void entry_route_each_pool(entry_route_t *route,
			   void (*visit)(void *, const route_pool_stats_t *),
			   void *arg)
{
	pthread_mutex_lock(&route->lock);
	route_each_pool(route->core, base_clock_mono(), visit, arg);
	pthread_mutex_unlock(&route->lock);
}

static bool route_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	kern_thread_options_t options = { .name = "route",
					  .period_us = ROUTE_TICK_US,
					  .ring_size = 8,
					  .arg = daemon->route,
					  .tick = tick,
					  .next = next_tick };

	(void)kern;
	daemon->route->duty = kern_thread_start(NULL, &options, err);
	return daemon->route->duty != NULL;
}

static void route_stop(void *service)
{
	entry_daemon_t *daemon = service;

	kern_thread_stop(daemon->route->duty);
	talloc_free(daemon->route->duty);
}

static void tick(void *arg, int64_t now)
{
	entry_route_t *route = arg;

	pthread_mutex_lock(&route->lock);
	route_tick(route->core, now);
	pthread_mutex_unlock(&route->lock);
}

static int64_t next_tick(void *arg)
{
	entry_route_t *route = arg;
	bool idle;

	pthread_mutex_lock(&route->lock);
	idle = !route_has_queued(route->core);
	route->idle = idle;
	pthread_mutex_unlock(&route->lock);
	return idle ? IDLE_TICK_US : ROUTE_TICK_US;
}

/*
 * Wakes the duty early when a request was queued while the duty sleeps for
 * IDLE_TICK_US; with the lock held.
 */
static void wake_duty_if_idle(entry_route_t *route, const waiter_t *waiter)
{
	if (waiter->state != WAITER_WAITING || !route->idle)
		return;
	route->idle = false;
	kern_thread_wake(route->duty);
}

static void on_start(void *arg, route_request_t *request,
		     const route_endpoint_t *endpoint, int attempt)
{
	waiter_t *waiter = request->data;

	(void)arg;
	(void)attempt;
	waiter->endpoint = endpoint;
	waiter->state = WAITER_SEND;
	pthread_cond_signal(&waiter->woken);
}

static void on_end(void *arg, route_request_t *request, const route_end_t *end)
{
	waiter_t *waiter = request->data;

	(void)arg;
	waiter->end = *end;
	waiter->state = WAITER_DONE;
	pthread_cond_signal(&waiter->woken);
}

static int free_route(entry_route_t *route)
{
	if (route->applied)
		entry_view_release(route->applied);
	pthread_mutex_destroy(&route->lock);
	return 0;
}

/*
 * Before membership is known, assumes this entry and one entry for each other
 * seed.
 */
static void set_initial_entries(entry_route_t *route)
{
	const entry_settings_t *settings = route->daemon->settings;
	size_t n = 0, max = settings->seed_count + 1;
	route_entry_t *entries = talloc_array(NULL, route_entry_t, max);
	char *own = talloc_asprintf(entries, "%s:%d", settings->peer.address,
				    settings->peer.port);

	entries[n++] = (route_entry_t){ settings->name, settings->zone };
	for (size_t i = 0; i < settings->seed_count; i++)
		if (strcmp(settings->seeds[i], own) != 0)
			entries[n++] =
				(route_entry_t){ settings->seeds[i], "" };
	route_set_entries(route->core, entries, n, base_clock_mono());
	talloc_free(entries);
}

static void configure(entry_route_t *route, const conf_t *conf, int64_t now)
{
	void *ctx = talloc_new(NULL);
	route_conf_t to = { .n_pools = conf->n_pools,
			    .n_classes = conf->n_classes,
			    .n_callers = conf->n_callers };
	route_pool_conf_t *pools =
		talloc_zero_array(ctx, route_pool_conf_t, to.n_pools);
	route_class_conf_t *classes =
		talloc_zero_array(ctx, route_class_conf_t, to.n_classes);
	route_caller_conf_t *callers =
		talloc_zero_array(ctx, route_caller_conf_t, to.n_callers);

	for (size_t i = 0; i < to.n_pools; i++)
		pools[i] = (route_pool_conf_t){
			.name = conf->pools[i].name.ptr,
			.slots = (int)conf->pools[i].slots,
			.connections = (int)conf->pools[i].connections,
			.entries_max = ENTRY_ENTRIES_MAX,
			.queue_max = (int)conf->limits.queue_requests,
			.bytes_max = conf->limits.queue_bytes,
			.retry_budget = (double)conf->limits.retry_percent /
					RETRY_PERCENT,
		};
	for (size_t i = 0; i < to.n_classes; i++)
		classes[i] = (route_class_conf_t){
			.name = conf->classes[i].name.ptr,
			.pool = conf->classes[i].pool.ptr,
			.urgency = (int)conf->classes[i].urgency,
			.weight = (double)conf->classes[i].weight,
			.repeatable = conf->classes[i].repeatable,
			.deadline_us = conf->classes[i].deadline_ms * BASE_MS,
		};
	for (size_t i = 0; i < to.n_callers; i++)
		callers[i] = (route_caller_conf_t){
			conf->callers[i].name.ptr,
			(double)conf->callers[i].weight,
		};
	to.pools = pools;
	to.classes = classes;
	to.callers = callers;
	route_configure(route->core, &to, now);
	talloc_free(ctx);
}

static void set_pool_endpoints(entry_route_t *route, const entry_pool_t *pool,
			       int64_t now)
{
	size_t n = pool->endpoint_count;
	route_endpoint_t *list = talloc_zero_array(NULL, route_endpoint_t, n);

	for (size_t i = 0; i < n; i++) {
		const entry_endpoint_t *from = &pool->endpoints[i];

		list[i] = (route_endpoint_t){
			.instance = from->id,
			.incarnation = from->incarnation,
			.zone = from->zone,
			.address = from->address,
			.port = from->port,
			.state = from->state == PLAT_LIVE ? ROUTE_LIVE
							  : ROUTE_LEAVING,
		};
	}
	route_set_endpoints(route->core, pool->conf->name, route->version, list,
			    n, now);
	talloc_free(list);
}

/*
 * Fills in the core's request; with the lock held.  False if the request has no
 * class that the core knows.
 */
static bool fill_core_request(entry_route_t *route, waiter_t *waiter,
			      const entry_request_t *request)
{
	route_request_t *core = &waiter->core;

	core->class_id = -1;
	if (request->class)
		core->class_id =
			route_find_class(route->core, request->class->pool,
					 request->class->name);
	if (core->class_id < 0)
		return false;
	core->caller_id =
		route_find_caller(route->core, base_str(request->caller));
	core->repeatable = request->repeatable;
	core->bytes = (uint32_t)request->message.body->len;
	core->deadline = request->deadline;
	core->data = waiter;
	return true;
}

static route_result_t send_once(entry_route_t *route, const waiter_t *waiter,
				entry_request_t *request,
				entry_message_t *answer, bool *endpoint_leaving)
{
	const route_endpoint_t *to = waiter->endpoint;
	entry_endpoint_t endpoint = {
		.id = (char *)to->instance,
		.incarnation = (char *)to->incarnation,
		.address = (char *)to->address,
		.port = to->port,
	};
	entry_forward_options_t options = {
		.endpoint = &endpoint,
		.request = request,
		.answer_max = ENTRY_ANSWER_MAX,
		.connection_limit = waiter->core.connection_limit,
		.new_connection = !request->repeatable,
	};
	entry_attempt_t ended;

	*answer = (entry_message_t){ 0 };
	*endpoint_leaving = false;
	if (!entry_claim_may_write(request))
		return ROUTE_RESULT_CONNECT_FAILED;
	ended = entry_forward_send(route->daemon->forward, request, &options,
				   answer);
	*endpoint_leaving = is_leaving(answer);
	if (ended == ENTRY_ATTEMPT_ANSWERED && answer->status >= 500)
		return ROUTE_RESULT_ERROR;
	return results[ended];
}

/* The endpoint may announce that it leaves on an answer or on a refusal. */
static bool is_leaving(const entry_message_t *answer)
{
	const char *state = entry_header(answer, "X-Instance-State");

	return state && !g_ascii_strcasecmp(state, "leaving");
}
