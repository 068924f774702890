#include "flood_int.h"

static void on_arrive(sim_t *sim, const event_t *e);
static void on_reach(sim_t *sim, const event_t *e);
static void on_served(sim_t *sim, const event_t *e);
static void on_answer(sim_t *sim, const event_t *e);
static void on_expired(sim_t *sim, const event_t *e);
static void on_tick(sim_t *sim, const event_t *e);
static void setup(sim_t *sim);
static void finish(sim_t *sim);
static void push_event(sim_t *sim, event_t e);
static event_t pop_event(sim_t *sim);
static bool is_before(const event_t *a, const event_t *b);
static void schedule_arrival(sim_t *sim, int cls);
static double current_rate(const sim_t *sim, int cls);
static bool in_burst(const sim_t *sim, int64_t at);
static int64_t next_burst_edge(const sim_t *sim);
static double capacity(const sim_t *sim, int pool);
static double exponential(base_rng_t *rng);
static int64_t service_time(base_rng_t *rng);
static int64_t delay(const entry_t *entry, const endpoint_t *ep);
static void start_job(sim_t *sim, endpoint_t *ep, job_t job);
static void update_busy(sim_t *sim, int pool, int change);
static bool is_failing(const sim_t *sim, const endpoint_t *ep);

static void (*const handlers[EVENT_KIND_MAX])(sim_t *, const event_t *) = {
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
		.true_slots = DECLARED_SLOTS,
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
	sim_t *sim = g_new0(sim_t, 1);

	memset(result, 0, sizeof(*result));
	sim->opt = options;
	sim->result = result;
	sim->policy = policies[options->policy];
	setup(sim);
	while (sim->heap->len) {
		event_t e = pop_event(sim);

		sim->now = e.at;
		handlers[e.kind](sim, &e);
	}
	finish(sim);
	g_free(sim);
}

void sim_send(entry_t *entry, request_t *req, endpoint_t *ep)
{
	sim_t *sim = entry->sim;
	bool counted = sim->now >= WARMUP_US;

	req->running = true;
	req->at = ep;
	req->attempt++;
	sim->starts += counted;
	sim->remote += counted && entry->zone != ep->zone;
	if (ep->pool == 0 && sim->now >= sim->opt->fault_from &&
	    sim->now < sim->opt->fault_until)
		sim->result->attempts++;
	if (is_failing(sim, ep) && sim->opt->fault == FLOOD_NO_CONNECTION) {
		push_event(sim,
			   (event_t){ .at = sim->now + 2 * delay(entry, ep),
				      .kind = EVENT_ANSWER,
				      .n = req->attempt,
				      .req = req,
				      .result = ROUTE_RESULT_CONNECT_FAILED });
		return;
	}
	ep->open++;
	sim->result->connections_max =
		MAX(sim->result->connections_max, ep->open);
	push_event(sim, (event_t){ .at = sim->now + delay(entry, ep),
				   .kind = EVENT_REACH,
				   .n = req->attempt,
				   .req = req,
				   .ep = ep });
	push_event(sim,
		   (event_t){ .at = MAX(req->arrived + DEADLINE_US, sim->now),
			      .kind = EVENT_EXPIRED,
			      .n = req->attempt,
			      .req = req,
			      .ep = ep });
}

void sim_end_request(entry_t *entry, request_t *req, route_outcome_t outcome)
{
	sim_t *sim = entry->sim;
	flood_result_t *r = sim->result;
	int cls = req->cls;

	if (req->arrived < WARMUP_US)
		return;
	if (cls == 0 && req->arrived >= sim->opt->fault_from &&
	    req->arrived < sim->opt->fault_until)
		r->answered_fault += outcome == ROUTE_ANSWERED;
	if (outcome == ROUTE_NOT_RUN)
		r->not_run[cls]++;
	if (outcome == ROUTE_UNKNOWN)
		r->unknown[cls]++;
	if (outcome != ROUTE_ANSWERED)
		return;
	r->answered[cls]++;
	r->in_burst[cls] += in_burst(sim, sim->now);
	base_hist_add(sim->latency[cls], sim->now - req->arrived);
}

static void setup(sim_t *sim)
{
	const flood_options_t *opt = sim->opt;
	base_rng_t seeds = { opt->seed };

	sim->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	sim->requests = g_ptr_array_new_with_free_func(g_free);
	sim->choice.state = base_rng_next(&seeds);
	for (int p = 0; p < FLOOD_POOLS; p++)
		for (int i = 0; i < opt->executors[p]; i++) {
			endpoint_t *ep = &sim->endpoints[sim->n_endpoints++];

			snprintf(ep->name, sizeof(ep->name), "p%d-%d", p, i);
			ep->pool = p;
			ep->zone = i % FLOOD_ZONES;
			ep->faulty = p == 0 && i < opt->executors[p] / 3;
			ep->waiting = g_queue_new();
		}
	for (int i = 0; i < FLOOD_ENTRIES; i++) {
		entry_t *entry = &sim->entries[i];

		entry->sim = sim;
		entry->index = i;
		entry->zone = i % FLOOD_ZONES;
		sim->policy->setup(entry);
		push_event(sim,
			   (event_t){ .at = i, .kind = EVENT_TICK, .n = i });
	}
	for (int c = 0; c < opt->n_classes; c++) {
		sim->arrivals[c].state = base_rng_next(&seeds);
		sim->latency[c] = base_hist_new(NULL);
		schedule_arrival(sim, c);
	}
}

static void finish(sim_t *sim)
{
	flood_result_t *r = sim->result;
	double seconds = 0.0;

	for (int b = 0; b < 2; b++)
		seconds += (double)(sim->opt->burst_until[b] -
				    sim->opt->burst_from[b]) /
			   BASE_SEC;
	for (int c = 0; c < sim->opt->n_classes; c++) {
		int pool = sim->opt->classes[c].pool;

		r->p50_us[c] = base_hist_quantile(sim->latency[c], 0.5);
		r->p99_us[c] = base_hist_quantile(sim->latency[c], 0.99);
		r->goodput[pool] += (double)r->in_burst[c];
		talloc_free(sim->latency[c]);
	}
	for (int p = 0; p < FLOOD_POOLS; p++) {
		r->capacity[p] = capacity(sim, p);
		if (r->capacity[p] <= 0.0)
			continue;
		r->goodput[p] /= r->capacity[p] * seconds;
		r->busy[p] = sim->busy_time[p] / BASE_SEC / seconds /
			     (sim->opt->executors[p] * sim->opt->true_slots);
	}
	r->refused_part = (double)sim->refused / (double)MAX(sim->starts, 1);
	r->remote_part = (double)sim->remote / (double)MAX(sim->starts, 1);
	for (int i = 0; i < FLOOD_ENTRIES; i++)
		sim->policy->end(&sim->entries[i]);
	for (int i = 0; i < sim->n_endpoints; i++)
		g_queue_free_full(sim->endpoints[i].waiting, g_free);
	g_array_free(sim->heap, TRUE);
	g_ptr_array_free(sim->requests, TRUE);
}

static void on_arrive(sim_t *sim, const event_t *e)
{
	request_t *req;

	schedule_arrival(sim, e->n);
	if (!e->req)
		return;
	req = e->req;
	req->arrived = sim->now;
	if (sim->now >= WARMUP_US)
		sim->result->offered[req->cls]++;
	if (req->cls == 0 && sim->now >= sim->opt->fault_from &&
	    sim->now < sim->opt->fault_until)
		sim->result->requests++;
	sim->policy->submit(&sim->entries[req->entry], req);
}

static void on_reach(sim_t *sim, const event_t *e)
{
	endpoint_t *ep = e->ep;
	job_t job = { e->req, e->n };

	if (ep->busy < sim->opt->true_slots) {
		start_job(sim, ep, job);
	} else if (sim->opt->full == FLOOD_QUEUES) {
		g_queue_push_tail(ep->waiting, g_memdup2(&job, sizeof(job)));
	} else {
		entry_t *entry = &sim->entries[e->req->entry];

		sim->refused += sim->now >= WARMUP_US;
		push_event(sim, (event_t){ .at = sim->now + delay(entry, ep),
					   .kind = EVENT_ANSWER,
					   .n = e->n,
					   .req = e->req,
					   .ep = ep,
					   .result = ROUTE_RESULT_REFUSED });
	}
}

static void on_served(sim_t *sim, const event_t *e)
{
	endpoint_t *ep = e->ep;
	job_t *next;

	ep->busy--;
	update_busy(sim, ep->pool, -1);
	push_event(sim,
		   (event_t){ .at = sim->now +
				    delay(&sim->entries[e->req->entry], ep),
			      .kind = EVENT_ANSWER,
			      .n = e->n,
			      .req = e->req,
			      .ep = ep,
			      .result = is_failing(sim, ep)
						? ROUTE_RESULT_FAILED
						: ROUTE_RESULT_ANSWERED });
	next = g_queue_pop_head(ep->waiting);
	if (!next)
		return;
	start_job(sim, ep, *next);
	g_free(next);
}

/* Answers to abandoned attempts are ignored; their connections are closed. */
static void on_answer(sim_t *sim, const event_t *e)
{
	request_t *req = e->req;

	if (!req->running || req->attempt != e->n)
		return;
	if (e->ep)
		e->ep->open--;
	req->running = false;
	sim->policy->done(&sim->entries[req->entry], req, e->result);
}

static void on_expired(sim_t *sim, const event_t *e)
{
	request_t *req = e->req;

	if (!req->running || req->attempt != e->n)
		return;
	e->ep->open--;
	req->running = false;
	sim->policy->done(&sim->entries[req->entry], req, ROUTE_RESULT_TIMEOUT);
}

static void on_tick(sim_t *sim, const event_t *e)
{
	sim->policy->tick(&sim->entries[e->n]);
	if (sim->now < sim->opt->end + 2 * DEADLINE_US)
		push_event(sim, (event_t){ .at = sim->now + ROUTE_TICK_US,
					   .kind = EVENT_TICK,
					   .n = e->n });
}

static void start_job(sim_t *sim, endpoint_t *ep, job_t job)
{
	ep->busy++;
	update_busy(sim, ep->pool, 1);
	push_event(sim, (event_t){ .at = sim->now + job.req->service,
				   .kind = EVENT_SERVED,
				   .n = job.attempt,
				   .req = job.req,
				   .ep = ep });
}

/* Adds the slot time in bursts up to now and counts the change. */
static void update_busy(sim_t *sim, int pool, int change)
{
	if (in_burst(sim, sim->now))
		for (int p = 0; p < FLOOD_POOLS; p++)
			sim->busy_time[p] +=
				(double)(sim->now - sim->busy_updated) *
				sim->busy[p];
	sim->busy_updated = sim->now;
	sim->busy[pool] += change;
}

/*
 * Schedules the next arrival of a class.  If its rate changes before that, an
 * event without a request is scheduled at the change, which draws a new arrival
 * time.
 */
static void schedule_arrival(sim_t *sim, int cls)
{
	base_rng_t *rng = &sim->arrivals[cls];
	double rate = current_rate(sim, cls);
	double gap = exponential(rng) / rate * BASE_SEC;
	int64_t at = sim->now + MAX((int64_t)gap, 1);
	int64_t edge = next_burst_edge(sim);
	request_t *req;

	if ((sim->opt->flooding & flood_bit(cls)) && edge > sim->now &&
	    at > edge) {
		push_event(sim, (event_t){ .at = edge,
					   .kind = EVENT_ARRIVE,
					   .n = cls });
		return;
	}
	if (at >= sim->opt->end)
		return;
	req = g_new0(request_t, 1);
	g_ptr_array_add(sim->requests, req);
	req->cls = cls;
	req->entry = (int)base_rng_below(rng, FLOOD_ENTRIES);
	req->service = service_time(rng);
	push_event(sim, (event_t){ .at = at,
				   .kind = EVENT_ARRIVE,
				   .n = cls,
				   .req = req });
}

static double current_rate(const sim_t *sim, int cls)
{
	const flood_class_t *c = &sim->opt->classes[cls];
	double mean = c->load * capacity(sim, c->pool);

	if (!(sim->opt->flooding & flood_bit(cls)))
		return mean;
	return mean *
	       (in_burst(sim, sim->now) ? sim->opt->peak : sim->opt->trough);
}

static bool in_burst(const sim_t *sim, int64_t at)
{
	for (int b = 0; b < 2; b++)
		if (at >= sim->opt->burst_from[b] &&
		    at < sim->opt->burst_until[b])
			return true;
	return false;
}

static int64_t next_burst_edge(const sim_t *sim)
{
	int64_t edge = INT64_MAX;

	for (int b = 0; b < 2; b++) {
		if (sim->opt->burst_from[b] > sim->now)
			edge = MIN(edge, sim->opt->burst_from[b]);
		if (sim->opt->burst_until[b] > sim->now)
			edge = MIN(edge, sim->opt->burst_until[b]);
	}
	return edge;
}

static double capacity(const sim_t *sim, int pool)
{
	return sim->opt->executors[pool] * sim->opt->true_slots / SERVICE_US *
	       BASE_SEC;
}

static double exponential(base_rng_t *rng)
{
	return -log(1.0 - base_rng_unit(rng));
}

/* Log-normal distribution, by the Box-Muller transform. */
static int64_t service_time(base_rng_t *rng)
{
	double radius = sqrt(2.0 * exponential(rng));
	double normal = radius * cos(2.0 * G_PI * base_rng_unit(rng));
	double mu = log(SERVICE_US) - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;

	return (int64_t)exp(mu + SERVICE_SIGMA * normal) + 1;
}

static int64_t delay(const entry_t *entry, const endpoint_t *ep)
{
	return entry->zone == ep->zone ? ZONE_DELAY_US : CROSS_ZONE_DELAY_US;
}

static bool is_failing(const sim_t *sim, const endpoint_t *ep)
{
	return ep->faulty && sim->opt->fault != FLOOD_NO_FAULT &&
	       sim->now >= sim->opt->fault_from &&
	       sim->now < sim->opt->fault_until;
}

static void push_event(sim_t *sim, event_t e)
{
	guint at = sim->heap->len;
	event_t *heap;

	e.order = sim->order++;
	g_array_append_val(sim->heap, e);
	heap = (event_t *)(void *)sim->heap->data;
	while (at && is_before(&e, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = e;
}

static event_t pop_event(sim_t *sim)
{
	event_t *heap = (event_t *)(void *)sim->heap->data;
	guint n = sim->heap->len - 1, at = 0;
	event_t first = heap[0], last = heap[n];

	while (2 * at + 1 < n) {
		guint child = 2 * at + 1;

		if (child + 1 < n && is_before(&heap[child + 1], &heap[child]))
			child++;
		if (!is_before(&heap[child], &last))
			break;
		heap[at] = heap[child];
		at = child;
	}
	heap[at] = last;
	g_array_set_size(sim->heap, n);
	return first;
}

static bool is_before(const event_t *a, const event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}
