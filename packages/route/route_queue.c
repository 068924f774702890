#include "route_int.h"

static void account_added(route_t *route, route_request_t *req);
static void heap_add(route_class_t *cls, route_flow_t *flow);
static void heap_remove(route_class_t *cls, route_flow_t *flow);
static void heap_up(route_class_t *cls, size_t at);
static void heap_down(route_class_t *cls, size_t at);
static void heap_put(route_class_t *cls, size_t at, route_flow_t *flow);
static bool over_share(const route_pool_t *pool, const route_class_t *cls);
static double start_cost(const route_pool_t *pool, const route_class_t *cls);
static void earn_credit(route_pool_t *pool, double cost);

/*
 * Appends a request to its caller's queue in its class, which is served by
 * start-time fair queueing.
 */
void route_queue_add(route_t *route, route_request_t *req)
{
	route_flow_t *flow = req->flow;

	req->next = NULL;
	req->prev = flow->tail;
	if (flow->tail)
		flow->tail->next = req;
	else
		flow->head = req;
	flow->tail = req;
	account_added(route, req);
}

/* Puts a refused request back at the head of its queue. */
void route_queue_put_back(route_t *route, route_request_t *req)
{
	route_flow_t *flow = req->flow;

	req->prev = NULL;
	req->next = flow->head;
	if (flow->head)
		flow->head->prev = req;
	else
		flow->tail = req;
	flow->head = req;
	account_added(route, req);
}

static void account_added(route_t *route, route_request_t *req)
{
	route_flow_t *flow = req->flow;
	route_class_t *cls = req->cls;

	req->queued = true;
	if (!flow->queued++) {
		flow->start_tag = fmax(cls->vtime, flow->finish_tag);
		heap_add(cls, flow);
		cls->active_weight += flow->caller->weight;
	}
	cls->queued++;
	cls->pool->queued++;
	cls->pool->queued_bytes += req->bytes;
	route->queued_bytes += req->bytes;
	route->held++;
}

void route_queue_remove(route_t *route, route_request_t *req)
{
	route_flow_t *flow = req->flow;
	route_class_t *cls = req->cls;

	req->queued = false;
	if (req->prev)
		req->prev->next = req->next;
	else
		flow->head = req->next;
	if (req->next)
		req->next->prev = req->prev;
	else
		flow->tail = req->prev;
	req->prev = req->next = NULL;
	if (!--flow->queued) {
		heap_remove(cls, flow);
		cls->active_weight -= flow->caller->weight;
	}
	if (!--cls->queued)
		cls->active_weight = 0.0;
	cls->pool->queued--;
	cls->pool->queued_bytes -= req->bytes;
	route->queued_bytes -= req->bytes;
	route->held--;
}

/*
 * Returns the next request of the most urgent class that has credit left, that
 * is, got less than its share.  If no class with credit has requests, the most
 * urgent class with requests may use the spare capacity.
 */
route_request_t *route_queue_next(const route_pool_t *pool)
{
	route_class_t *best = NULL;

	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *cls = pool->classes->pdata[i];

		if (!cls->queued)
			continue;
		if (cls->credit > 0.0) {
			best = cls;
			break;
		}
		if (!best)
			best = cls;
	}
	g_assert(best);
	return best->heap[0]->head;
}

/* Charges the start of a request to its class and its caller. */
void route_queue_charge(route_pool_t *pool, route_request_t *req)
{
	route_class_t *cls = req->cls;
	route_flow_t *flow = req->flow;
	double cost = start_cost(pool, cls);

	earn_credit(pool, cost);
	cls->credit = fmax(cls->credit - cost, CREDIT_MIN);
	cls->vtime = fmax(cls->vtime, flow->start_tag);
	flow->finish_tag = flow->start_tag + 1.0 / flow->caller->weight;
	flow->start_tag = flow->finish_tag;
	if (flow->queued)
		heap_down(cls, (size_t)flow->heap_index);
}

/* Undoes the charge of a start that an endpoint refused: it used no slot. */
void route_queue_refund(route_pool_t *pool, route_request_t *req)
{
	route_class_t *cls = req->cls;
	route_flow_t *flow = req->flow;
	double cost = start_cost(pool, cls);

	earn_credit(pool, -cost);
	cls->credit = fmin(cls->credit + cost, CREDIT_MAX);
	flow->start_tag -= 1.0 / flow->caller->weight;
	flow->finish_tag -= 1.0 / flow->caller->weight;
	if (flow->queued)
		heap_up(cls, (size_t)flow->heap_index);
}

/* Estimates how long a new request would queue, in microseconds. */
double route_queue_wait(const route_pool_t *pool, const route_request_t *req)
{
	const route_class_t *cls = req->cls;
	const route_flow_t *flow = req->flow;
	double active = cls->active_weight;
	double weight = flow->caller->weight;
	double rate, ahead;

	if (pool->run_us <= 0.0)
		return 0.0;
	rate = route_limit_now(pool) / pool->run_us;
	rate *= cls->conf.weight / pool->weight;
	rate = fmax(rate, cls->start_rate / BASE_SEC);
	if (rate <= 0.0)
		return 0.0;
	if (!flow->queued)
		active += weight;
	ahead = fmin(cls->queued + 1.0, (flow->queued + 1.0) * active / weight);
	return ahead / rate;
}

/*
 * Returns the request to drop when a queue is full: in the least urgent class
 * that holds at least its share of the queue, the newest request of the caller
 * with the most requests for its weight.
 */
route_request_t *route_queue_victim(const route_pool_t *pool)
{
	route_class_t *victim_class = NULL;
	route_flow_t *victim_flow = NULL;

	for (guint i = pool->classes->len; i-- > 0;) {
		route_class_t *cls = pool->classes->pdata[i];

		if (!cls->queued)
			continue;
		if (!victim_class)
			victim_class = cls;
		if (over_share(pool, cls)) {
			victim_class = cls;
			break;
		}
	}
	g_assert(victim_class);
	for (size_t i = 0; i < victim_class->heap_len; i++) {
		route_flow_t *flow = victim_class->heap[i];
		double load = flow->queued / flow->caller->weight;

		if (!victim_flow ||
		    load > victim_flow->queued / victim_flow->caller->weight)
			victim_flow = flow;
	}
	g_assert(victim_flow);
	return victim_flow->tail;
}

/* The cost of a start: the class's mean run time over that of the pool. */
static double start_cost(const route_pool_t *pool, const route_class_t *cls)
{
	if (cls->run_us <= 0.0 || pool->run_us <= 0.0)
		return 1.0;
	return CLAMP(cls->run_us / pool->run_us, 0.1, 10.0);
}

static void earn_credit(route_pool_t *pool, double cost)
{
	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *cls = pool->classes->pdata[i];
		double earned = cost * cls->conf.weight / pool->weight;

		cls->credit =
			CLAMP(cls->credit + earned, CREDIT_MIN, CREDIT_MAX);
	}
}

static bool over_share(const route_pool_t *pool, const route_class_t *cls)
{
	double share = cls->conf.weight / pool->weight;

	return cls->queued >= share * pool->queued;
}

static void heap_add(route_class_t *cls, route_flow_t *flow)
{
	heap_put(cls, cls->heap_len++, flow);
	heap_up(cls, (size_t)flow->heap_index);
}

static void heap_remove(route_class_t *cls, route_flow_t *flow)
{
	size_t at = (size_t)flow->heap_index;
	route_flow_t *last = cls->heap[--cls->heap_len];

	flow->heap_index = -1;
	if (last == flow)
		return;
	heap_put(cls, at, last);
	heap_up(cls, at);
	heap_down(cls, (size_t)last->heap_index);
}

static void heap_up(route_class_t *cls, size_t at)
{
	route_flow_t *flow = cls->heap[at];

	while (at && cls->heap[(at - 1) / 2]->start_tag > flow->start_tag) {
		heap_put(cls, at, cls->heap[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
	heap_put(cls, at, flow);
}

static void heap_down(route_class_t *cls, size_t at)
{
	route_flow_t *flow = cls->heap[at];

	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= cls->heap_len)
			break;
		if (child + 1 < cls->heap_len &&
		    cls->heap[child + 1]->start_tag <
			    cls->heap[child]->start_tag)
			child++;
		if (cls->heap[child]->start_tag >= flow->start_tag)
			break;
		heap_put(cls, at, cls->heap[child]);
		at = child;
	}
	heap_put(cls, at, flow);
}

static void heap_put(route_class_t *cls, size_t at, route_flow_t *flow)
{
	cls->heap[at] = flow;
	flow->heap_index = (int)at;
}
