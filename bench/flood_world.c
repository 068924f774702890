#include "flood_int.h"

static void on_arrive(world_t *w, const event_t *e);
static void on_reach(world_t *w, const event_t *e);
static void on_served(world_t *w, const event_t *e);
static void on_answer(world_t *w, const event_t *e);
static void on_expired(world_t *w, const event_t *e);
static void on_tick(world_t *w, const event_t *e);
static void setup(world_t *w);
static void finish(world_t *w);
static void post(world_t *w, event_t e);
static event_t take(world_t *w);
static bool before(const event_t *a, const event_t *b);
static void next_arrival(world_t *w, int cls);
static double rate_now(const world_t *w, int cls);
static bool in_burst(const world_t *w, int64_t at);
static int64_t next_edge(const world_t *w);
static double capacity(const world_t *w, int pool);
static double exponential(base_rng_t *rng);
static int64_t service_time(base_rng_t *rng);
static int64_t delay(const entry_t *entry, const endpoint_t *ep);
static void begin_job(world_t *w, endpoint_t *ep, job_t job);
static void count_busy(world_t *w, int pool, int change);
static bool fails(const world_t *w, const endpoint_t *ep);

static void (*const handlers[EVENT_KIND_MAX])(world_t *, const event_t *) = {
	[EVENT_ARRIVE] = on_arrive,   [EVENT_REACH] = on_reach,
	[EVENT_SERVED] = on_served,   [EVENT_ANSWER] = on_answer,
	[EVENT_EXPIRED] = on_expired, [EVENT_TICK] = on_tick,
};

static const policy_ops_t *const policies[FLOOD_POLICY_MAX] = {
	[FLOOD_CORE] = &flood_core_ops,
	[FLOOD_FCFS] = &flood_fcfs_ops,
	[FLOOD_STATIC] = &flood_static_ops,
};

static const char *const policy_names[FLOOD_POLICY_MAX] = {
	[FLOOD_CORE] = "core",
	[FLOOD_FCFS] = "fcfs",
	[FLOOD_STATIC] = "static",
};

const char *flood_policy_name(flood_policy_t policy)
{
	return policy_names[policy];
}

unsigned flood_bit(int cls)
{
	return 1u << ((unsigned)cls % FLOOD_CLASSES);
}

flood_options_t flood_five_pools(void)
{
	flood_options_t opt = {
		.executors = { 9, 9, 11, 12, 8 },
		.true_slots = SLOTS,
		.n_classes = FLOOD_POOLS,
		.peak = 5.0,
		.trough = 0.05,
		.burst_from = { 3 * BASE_SEC, 9 * BASE_SEC },
		.burst_until = { 7 * BASE_SEC, 13 * BASE_SEC },
		.end = 15 * BASE_SEC,
		.seed = 20261204,
	};

	for (int i = 0; i < FLOOD_POOLS; i++)
		opt.classes[i] = (flood_class_t){ i, i, 1.0, 0.35 };
	return opt;
}

flood_options_t flood_failing(flood_fault_t fault)
{
	flood_options_t opt = flood_five_pools();

	opt.fault = fault;
	opt.fault_from = 3 * BASE_SEC;
	opt.fault_until = 8 * BASE_SEC;
	return opt;
}

flood_options_t flood_shared_pool(void)
{
	flood_options_t opt = flood_five_pools();

	memset(opt.executors, 0, sizeof(opt.executors));
	opt.executors[0] = 12;
	opt.n_classes = 3;
	for (int i = 0; i < 3; i++)
		opt.classes[i] = (flood_class_t){ 0, i, 1.0, 0.25 };
	return opt;
}

void flood_run(const flood_options_t *options, flood_result_t *result)
{
	world_t *w = g_new0(world_t, 1);

	memset(result, 0, sizeof(*result));
	w->opt = options;
	w->result = result;
	w->policy = policies[options->policy];
	setup(w);
	while (w->heap->len) {
		event_t e = take(w);

		w->now = e.at;
		handlers[e.kind](w, &e);
	}
	finish(w);
	g_free(w);
}

void world_send(entry_t *entry, request_t *req, endpoint_t *ep)
{
	world_t *w = entry->world;
	bool counted = w->now >= WARM_US;

	req->running = true;
	req->at = ep;
	req->attempt++;
	w->starts += counted;
	w->remote += counted && entry->zone != ep->zone;
	if (ep->pool == 0 && w->now >= w->opt->fault_from &&
	    w->now < w->opt->fault_until)
		w->result->attempts++;
	if (fails(w, ep) && w->opt->fault == FLOOD_NO_CONNECTION) {
		post(w, (event_t){ .at = w->now + 2 * delay(entry, ep),
				   .kind = EVENT_ANSWER,
				   .n = req->attempt,
				   .req = req,
				   .result = ROUTE_RESULT_CONNECT_FAILED });
		return;
	}
	ep->open++;
	w->result->connections_max = MAX(w->result->connections_max, ep->open);
	post(w, (event_t){ .at = w->now + delay(entry, ep),
			   .kind = EVENT_REACH,
			   .n = req->attempt,
			   .req = req,
			   .ep = ep });
	post(w, (event_t){ .at = MAX(req->arrived + DEADLINE_US, w->now),
			   .kind = EVENT_EXPIRED,
			   .n = req->attempt,
			   .req = req,
			   .ep = ep });
}

void world_end(entry_t *entry, request_t *req, route_outcome_t outcome)
{
	world_t *w = entry->world;
	flood_result_t *r = w->result;
	int cls = req->cls;

	if (req->arrived < WARM_US)
		return;
	if (cls == 0 && req->arrived >= w->opt->fault_from &&
	    req->arrived < w->opt->fault_until)
		r->answered_fault += outcome == ROUTE_ANSWERED;
	if (outcome == ROUTE_NOT_RUN)
		r->not_run[cls]++;
	if (outcome == ROUTE_UNKNOWN)
		r->unknown[cls]++;
	if (outcome != ROUTE_ANSWERED)
		return;
	r->answered[cls]++;
	r->in_burst[cls] += in_burst(w, w->now);
	base_hist_add(w->latency[cls], w->now - req->arrived);
}

static void setup(world_t *w)
{
	const flood_options_t *opt = w->opt;
	base_rng_t seeds = { opt->seed };

	w->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	w->requests = g_ptr_array_new_with_free_func(g_free);
	w->choice.state = base_rng_next(&seeds);
	for (int p = 0; p < FLOOD_POOLS; p++)
		for (int i = 0; i < opt->executors[p]; i++) {
			endpoint_t *ep = &w->endpoints[w->n_endpoints++];

			snprintf(ep->name, sizeof(ep->name), "p%d-%d", p, i);
			ep->pool = p;
			ep->zone = i % FLOOD_ZONES;
			ep->faulty = p == 0 && i < opt->executors[p] / 3;
			ep->waiting = g_queue_new();
		}
	for (int i = 0; i < FLOOD_ENTRIES; i++) {
		entry_t *entry = &w->entries[i];

		entry->world = w;
		entry->index = i;
		entry->zone = i % FLOOD_ZONES;
		w->policy->setup(entry);
		post(w, (event_t){ .at = i, .kind = EVENT_TICK, .n = i });
	}
	for (int c = 0; c < opt->n_classes; c++) {
		w->arrivals[c].state = base_rng_next(&seeds);
		w->latency[c] = base_hist_new(NULL);
		next_arrival(w, c);
	}
}

static void finish(world_t *w)
{
	flood_result_t *r = w->result;
	double seconds = 0.0;

	for (int b = 0; b < 2; b++)
		seconds += (double)(w->opt->burst_until[b] -
				    w->opt->burst_from[b]) /
			   BASE_SEC;
	for (int c = 0; c < w->opt->n_classes; c++) {
		int pool = w->opt->classes[c].pool;

		r->p50_us[c] = base_hist_quantile(w->latency[c], 0.5);
		r->p99_us[c] = base_hist_quantile(w->latency[c], 0.99);
		r->goodput[pool] += (double)r->in_burst[c];
		talloc_free(w->latency[c]);
	}
	for (int p = 0; p < FLOOD_POOLS; p++) {
		r->capacity[p] = capacity(w, p);
		if (r->capacity[p] <= 0.0)
			continue;
		r->goodput[p] /= r->capacity[p] * seconds;
		r->busy[p] = w->busy_sum[p] / BASE_SEC / seconds /
			     (w->opt->executors[p] * w->opt->true_slots);
	}
	r->refused_part = (double)w->refused / (double)MAX(w->starts, 1);
	r->remote_part = (double)w->remote / (double)MAX(w->starts, 1);
	for (int i = 0; i < FLOOD_ENTRIES; i++)
		w->policy->end(&w->entries[i]);
	for (int i = 0; i < w->n_endpoints; i++)
		g_queue_free_full(w->endpoints[i].waiting, g_free);
	g_array_free(w->heap, TRUE);
	g_ptr_array_free(w->requests, TRUE);
}

static void on_arrive(world_t *w, const event_t *e)
{
	request_t *req;

	next_arrival(w, e->n);
	if (!e->req)
		return;
	req = e->req;
	req->arrived = w->now;
	if (w->now >= WARM_US)
		w->result->offered[req->cls]++;
	if (req->cls == 0 && w->now >= w->opt->fault_from &&
	    w->now < w->opt->fault_until)
		w->result->requests++;
	w->policy->submit(&w->entries[req->entry], req);
}

static void on_reach(world_t *w, const event_t *e)
{
	endpoint_t *ep = e->ep;
	job_t job = { e->req, e->n };

	if (ep->busy < w->opt->true_slots) {
		begin_job(w, ep, job);
	} else if (w->opt->full == FLOOD_QUEUES) {
		g_queue_push_tail(ep->waiting, g_memdup2(&job, sizeof(job)));
	} else {
		entry_t *entry = &w->entries[e->req->entry];

		w->refused += w->now >= WARM_US;
		post(w, (event_t){ .at = w->now + delay(entry, ep),
				   .kind = EVENT_ANSWER,
				   .n = e->n,
				   .req = e->req,
				   .ep = ep,
				   .result = ROUTE_RESULT_REFUSED });
	}
}

static void on_served(world_t *w, const event_t *e)
{
	endpoint_t *ep = e->ep;
	job_t *next;

	ep->busy--;
	count_busy(w, ep->pool, -1);
	post(w, (event_t){ .at = w->now + delay(&w->entries[e->req->entry], ep),
			   .kind = EVENT_ANSWER,
			   .n = e->n,
			   .req = e->req,
			   .ep = ep,
			   .result = fails(w, ep) ? ROUTE_RESULT_FAILED
						  : ROUTE_RESULT_ANSWERED });
	next = g_queue_pop_head(ep->waiting);
	if (!next)
		return;
	begin_job(w, ep, *next);
	g_free(next);
}

/* An answer to an attempt that was given up finds its connection closed. */
static void on_answer(world_t *w, const event_t *e)
{
	request_t *req = e->req;

	if (!req->running || req->attempt != e->n)
		return;
	if (e->ep)
		e->ep->open--;
	req->running = false;
	w->policy->done(&w->entries[req->entry], req, e->result);
}

static void on_expired(world_t *w, const event_t *e)
{
	request_t *req = e->req;

	if (!req->running || req->attempt != e->n)
		return;
	e->ep->open--;
	req->running = false;
	w->policy->done(&w->entries[req->entry], req, ROUTE_RESULT_TIMEOUT);
}

static void on_tick(world_t *w, const event_t *e)
{
	w->policy->tick(&w->entries[e->n]);
	if (w->now < w->opt->end + 2 * DEADLINE_US)
		post(w, (event_t){ .at = w->now + ROUTE_TICK_US,
				   .kind = EVENT_TICK,
				   .n = e->n });
}

static void begin_job(world_t *w, endpoint_t *ep, job_t job)
{
	ep->busy++;
	count_busy(w, ep->pool, 1);
	post(w, (event_t){ .at = w->now + job.req->service,
			   .kind = EVENT_SERVED,
			   .n = job.attempt,
			   .req = job.req,
			   .ep = ep });
}

/* Slot time in bursts, summed since the last change of any pool. */
static void count_busy(world_t *w, int pool, int change)
{
	if (in_burst(w, w->now))
		for (int p = 0; p < FLOOD_POOLS; p++)
			w->busy_sum[p] +=
				(double)(w->now - w->busy_at) * w->busy[p];
	w->busy_at = w->now;
	w->busy[pool] += change;
}

/*
 * The next arrival of a class.  Where its rate changes first, an event
 * without a request draws anew.
 */
static void next_arrival(world_t *w, int cls)
{
	base_rng_t *rng = &w->arrivals[cls];
	double rate = rate_now(w, cls);
	double gap = exponential(rng) / rate * BASE_SEC;
	int64_t at = w->now + MAX((int64_t)gap, 1);
	int64_t edge = next_edge(w);
	request_t *req;

	if ((w->opt->flooding & flood_bit(cls)) && edge > w->now && at > edge) {
		post(w,
		     (event_t){ .at = edge, .kind = EVENT_ARRIVE, .n = cls });
		return;
	}
	if (at >= w->opt->end)
		return;
	req = g_new0(request_t, 1);
	g_ptr_array_add(w->requests, req);
	req->cls = cls;
	req->entry = (int)base_rng_below(rng, FLOOD_ENTRIES);
	req->service = service_time(rng);
	post(w,
	     (event_t){ .at = at, .kind = EVENT_ARRIVE, .n = cls, .req = req });
}

static double rate_now(const world_t *w, int cls)
{
	const flood_class_t *c = &w->opt->classes[cls];
	double mean = c->load * capacity(w, c->pool);

	if (!(w->opt->flooding & flood_bit(cls)))
		return mean;
	return mean * (in_burst(w, w->now) ? w->opt->peak : w->opt->trough);
}

static bool in_burst(const world_t *w, int64_t at)
{
	for (int b = 0; b < 2; b++)
		if (at >= w->opt->burst_from[b] && at < w->opt->burst_until[b])
			return true;
	return false;
}

static int64_t next_edge(const world_t *w)
{
	int64_t edge = INT64_MAX;

	for (int b = 0; b < 2; b++) {
		if (w->opt->burst_from[b] > w->now)
			edge = MIN(edge, w->opt->burst_from[b]);
		if (w->opt->burst_until[b] > w->now)
			edge = MIN(edge, w->opt->burst_until[b]);
	}
	return edge;
}

static double capacity(const world_t *w, int pool)
{
	return w->opt->executors[pool] * w->opt->true_slots / SERVICE_US *
	       BASE_SEC;
}

static double exponential(base_rng_t *rng)
{
	return -log(1.0 - base_rng_unit(rng));
}

/* Log-normal, by the Box-Muller transform. */
static int64_t service_time(base_rng_t *rng)
{
	double radius = sqrt(2.0 * exponential(rng));
	double normal = radius * cos(2.0 * G_PI * base_rng_unit(rng));
	double mu = log(SERVICE_US) - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;

	return (int64_t)exp(mu + SERVICE_SIGMA * normal) + 1;
}

static int64_t delay(const entry_t *entry, const endpoint_t *ep)
{
	return entry->zone == ep->zone ? NEAR_US : FAR_US;
}

static bool fails(const world_t *w, const endpoint_t *ep)
{
	return ep->faulty && w->opt->fault != FLOOD_NO_FAULT &&
	       w->now >= w->opt->fault_from && w->now < w->opt->fault_until;
}

static void post(world_t *w, event_t e)
{
	guint at = w->heap->len;
	event_t *heap;

	e.order = w->order++;
	g_array_append_val(w->heap, e);
	heap = (event_t *)(void *)w->heap->data;
	while (at && before(&e, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = e;
}

static event_t take(world_t *w)
{
	event_t *heap = (event_t *)(void *)w->heap->data;
	guint n = w->heap->len - 1, at = 0;
	event_t first = heap[0], last = heap[n];

	while (2 * at + 1 < n) {
		guint kid = 2 * at + 1;

		if (kid + 1 < n && before(&heap[kid + 1], &heap[kid]))
			kid++;
		if (!before(&heap[kid], &last))
			break;
		heap[at] = heap[kid];
		at = kid;
	}
	heap[at] = last;
	g_array_set_size(w->heap, n);
	return first;
}

static bool before(const event_t *a, const event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}
