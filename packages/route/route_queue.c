#include "route_int.h"

static void added(route_t *route, route_request_t *req);
static void heap_add(route_class_t *cls, route_flow_t *flow);
static void heap_remove(route_class_t *cls, route_flow_t *flow);
static void heap_up(route_class_t *cls, size_t at);
static void heap_down(route_class_t *cls, size_t at);
static void heap_put(route_class_t *cls, size_t at, route_flow_t *flow);
static bool over_share(const route_pool_t *pool, const route_class_t *cls);
static double cost_of(const route_pool_t *pool, const route_class_t *cls);
static void earn(route_pool_t *pool, double cost);

/* Start-time fair queueing among the callers of a class. */
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
	added(route, req);
}

/* Put a request that was refused back where it came from. */
void route_queue_again(route_t *route, route_request_t *req)
{
	route_flow_t *flow = req->flow;

	req->prev = NULL;
	req->next = flow->head;
	if (flow->head)
		flow->head->prev = req;
	else
		flow->tail = req;
	flow->head = req;
	added(route, req);
}

static void added(route_t *route, route_request_t *req)
{
	route_flow_t *flow = req->flow;
	route_class_t *cls = req->cls;

	req->queued = true;
	if (!flow->queued++) {
		flow->start = fmax(cls->vtime, flow->finish);
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
 * The most urgent class that has not had its share goes first; what no such
 * class asks for is lent, to the most urgent one that is waiting.
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

/* Charge the start of a request to its class and its caller. */
void route_queue_charge(route_pool_t *pool, route_request_t *req)
{
	route_class_t *cls = req->cls;
	route_flow_t *flow = req->flow;
	double cost = cost_of(pool, cls);

	earn(pool, cost);
	cls->credit = fmax(cls->credit - cost, CREDIT_MIN);
	cls->vtime = fmax(cls->vtime, flow->start);
	flow->finish = flow->start + 1.0 / flow->caller->weight;
	flow->start = flow->finish;
	if (flow->queued)
		heap_down(cls, (size_t)flow->heap_at);
}

/* A start that an endpoint refused used nobody's share. */
void route_queue_refund(route_pool_t *pool, route_request_t *req)
{
	route_class_t *cls = req->cls;
	route_flow_t *flow = req->flow;
	double cost = cost_of(pool, cls);

	earn(pool, -cost);
	cls->credit = fmin(cls->credit + cost, CREDIT_MAX);
	flow->start -= 1.0 / flow->caller->weight;
	flow->finish -= 1.0 / flow->caller->weight;
	if (flow->queued)
		heap_up(cls, (size_t)flow->heap_at);
}

/* How long a new request would queue, in microseconds. */
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
	rate = fmax(rate, cls->rate / BASE_SEC);
	if (rate <= 0.0)
		return 0.0;
	if (!flow->queued)
		active += weight;
	ahead = fmin(cls->queued + 1.0, (flow->queued + 1.0) * active / weight);
	return ahead / rate;
}

/*
 * Who gives way when a queue is full: the least urgent class that holds more
 * of it than its share, there the caller with most for its weight, and of its
 * requests the newest.
 */
route_request_t *route_queue_victim(const route_pool_t *pool)
{
	route_class_t *from = NULL;
	route_flow_t *most = NULL;

	for (guint i = pool->classes->len; i-- > 0;) {
		route_class_t *cls = pool->classes->pdata[i];

		if (!cls->queued)
			continue;
		if (!from)
			from = cls;
		if (over_share(pool, cls)) {
			from = cls;
			break;
		}
	}
	g_assert(from);
	for (size_t i = 0; i < from->heap_n; i++) {
		route_flow_t *flow = from->heap[i];
		double load = flow->queued / flow->caller->weight;

		if (!most || load > most->queued / most->caller->weight)
			most = flow;
	}
	g_assert(most);
	return most->tail;
}

/* What a start costs its class: requests, weighted by how long they run. */
static double cost_of(const route_pool_t *pool, const route_class_t *cls)
{
	if (cls->run_us <= 0.0 || pool->run_us <= 0.0)
		return 1.0;
	return CLAMP(cls->run_us / pool->run_us, 0.1, 10.0);
}

static void earn(route_pool_t *pool, double cost)
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
	heap_put(cls, cls->heap_n++, flow);
	heap_up(cls, (size_t)flow->heap_at);
}

static void heap_remove(route_class_t *cls, route_flow_t *flow)
{
	size_t at = (size_t)flow->heap_at;
	route_flow_t *last = cls->heap[--cls->heap_n];

	flow->heap_at = -1;
	if (last == flow)
		return;
	heap_put(cls, at, last);
	heap_up(cls, at);
	heap_down(cls, (size_t)last->heap_at);
}

static void heap_up(route_class_t *cls, size_t at)
{
	route_flow_t *flow = cls->heap[at];

	while (at && cls->heap[(at - 1) / 2]->start > flow->start) {
		heap_put(cls, at, cls->heap[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
	heap_put(cls, at, flow);
}

static void heap_down(route_class_t *cls, size_t at)
{
	route_flow_t *flow = cls->heap[at];

	for (;;) {
		size_t kid = 2 * at + 1;

		if (kid >= cls->heap_n)
			break;
		if (kid + 1 < cls->heap_n &&
		    cls->heap[kid + 1]->start < cls->heap[kid]->start)
			kid++;
		if (cls->heap[kid]->start >= flow->start)
			break;
		heap_put(cls, at, cls->heap[kid]);
		at = kid;
	}
	heap_put(cls, at, flow);
}

static void heap_put(route_class_t *cls, size_t at, route_flow_t *flow)
{
	cls->heap[at] = flow;
	flow->heap_at = (int)at;
}
