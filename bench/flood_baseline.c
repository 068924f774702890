#include "flood_int.h"

/*
 * Two baseline policies.  First come first served: one queue per entry and one
 * thread per request, which the request occupies while it waits for a
 * connection.  Static shares: each class has its own queue and a fixed share of
 * the threads and of the slots of its pool, and lends no unused capacity.  Both
 * drop a request at its deadline, choose the endpoint with the fewest
 * connections from the entry and never retry.
 */

#define CONNECTIONS_MAX (FLOOD_CONNECTIONS / FLOOD_ENTRIES)

static void baseline_setup(entry_t *entry);
static void fcfs_submit(entry_t *entry, request_t *req);
static void fcfs_done(entry_t *entry, request_t *req, route_result_t result);
static void fcfs_pump(entry_t *entry);
static void static_submit(entry_t *entry, request_t *req);
static void static_done(entry_t *entry, request_t *req, route_result_t result);
static void static_pump(entry_t *entry, int cls);
static void static_tick(entry_t *entry);
static void baseline_end(entry_t *entry);
static bool start(entry_t *entry, request_t *req);
static void finish_request(entry_t *entry, request_t *req,
			   route_result_t result);
static int connections_to(const entry_t *entry, const endpoint_t *ep);
static double slot_share(const entry_t *entry, int cls);
static void expire(entry_t *entry, GQueue *queue, GList *link);

const policy_ops_t flood_fcfs_ops = { baseline_setup, fcfs_submit, fcfs_done,
				      fcfs_pump, baseline_end };
const policy_ops_t flood_static_ops = { baseline_setup, static_submit,
					static_done, static_tick,
					baseline_end };

static void baseline_setup(entry_t *entry)
{
	for (int c = 0; c < FLOOD_CLASSES; c++)
		entry->queue[c] = g_queue_new();
}

static void fcfs_submit(entry_t *entry, request_t *req)
{
	req->link.data = req;
	g_queue_push_tail_link(entry->queue[0], &req->link);
	fcfs_pump(entry);
}

static void fcfs_done(entry_t *entry, request_t *req, route_result_t result)
{
	req->at->open_by_entry[entry->index]--;
	finish_request(entry, req, result);
	fcfs_pump(entry);
}

/* Idle threads take requests from the head of the queue. */
static void fcfs_pump(entry_t *entry)
{
	GQueue *queue = entry->queue[0];
	GList *link = queue->head;
	int threads = ENTRY_THREADS - entry->held;

	while (link && threads > 0) {
		GList *next = link->next;
		request_t *req = link->data;

		if (entry->sim->now >= req->arrived + DEADLINE_US) {
			expire(entry, queue, link);
		} else if (start(entry, req)) {
			g_queue_unlink(queue, link);
			entry->held++;
			threads--;
		} else {
			threads--;
		}
		link = next;
	}
}

static void static_submit(entry_t *entry, request_t *req)
{
	GQueue *queue = entry->queue[req->cls];
	int threads = ENTRY_THREADS / entry->sim->opt->n_classes;

	if ((int)queue->length + entry->running[req->cls] >= threads) {
		sim_end_request(entry, req, ROUTE_NOT_RUN);
		return;
	}
	req->link.data = req;
	g_queue_push_tail_link(queue, &req->link);
	static_pump(entry, req->cls);
}

static void static_done(entry_t *entry, request_t *req, route_result_t result)
{
	req->at->open_by_entry[entry->index]--;
	entry->running[req->cls]--;
	finish_request(entry, req, result);
	static_pump(entry, req->cls);
}

static void static_pump(entry_t *entry, int cls)
{
	GQueue *queue = entry->queue[cls];
	int most = MAX((int)slot_share(entry, cls), 1);

	while (queue->head) {
		request_t *req = queue->head->data;

		if (entry->sim->now >= req->arrived + DEADLINE_US) {
			expire(entry, queue, queue->head);
			continue;
		}
		if (entry->running[cls] >= most || !start(entry, req))
			return;
		g_queue_unlink(queue, queue->head);
		entry->running[cls]++;
	}
}

static void static_tick(entry_t *entry)
{
	for (int c = 0; c < entry->sim->opt->n_classes; c++)
		static_pump(entry, c);
}

static void baseline_end(entry_t *entry)
{
	for (int c = 0; c < FLOOD_CLASSES; c++) {
		/* The links are embedded in the requests. */
		entry->queue[c]->head = entry->queue[c]->tail = NULL;
		entry->queue[c]->length = 0;
		g_queue_free(entry->queue[c]);
	}
}

/* Start on the endpoint, in any zone, with the fewest connections from here. */
static bool start(entry_t *entry, request_t *req)
{
	sim_t *sim = entry->sim;
	int pool = sim->opt->classes[req->cls].pool;
	int from =
		(int)base_rng_below(&sim->choice, (uint32_t)sim->n_endpoints);
	endpoint_t *best = NULL;

	for (int i = 0; i < sim->n_endpoints; i++) {
		endpoint_t *ep = &sim->endpoints[(from + i) % sim->n_endpoints];

		if (ep->pool == pool &&
		    connections_to(entry, ep) < CONNECTIONS_MAX &&
		    (!best ||
		     connections_to(entry, ep) < connections_to(entry, best)))
			best = ep;
	}
	if (!best)
		return false;
	best->open_by_entry[entry->index]++;
	sim_send(entry, req, best);
	return true;
}

static void finish_request(entry_t *entry, request_t *req,
			   route_result_t result)
{
	route_outcome_t outcome = ROUTE_UNKNOWN;

	if (entry->sim->opt->policy == FLOOD_FCFS)
		entry->held--;
	if (result == ROUTE_RESULT_ANSWERED)
		outcome = ROUTE_ANSWERED;
	if (result == ROUTE_RESULT_REFUSED ||
	    result == ROUTE_RESULT_CONNECT_FAILED)
		outcome = ROUTE_NOT_RUN;
	sim_end_request(entry, req, outcome);
}

static int connections_to(const entry_t *entry, const endpoint_t *ep)
{
	return ep->open_by_entry[entry->index];
}

/* Return the number of slots of its pool that a class may use at one entry. */
static double slot_share(const entry_t *entry, int cls)
{
	const flood_options_t *opt = entry->sim->opt;
	const flood_class_t *own = &opt->classes[cls];
	double weight = 0.0;

	for (int c = 0; c < opt->n_classes; c++)
		if (opt->classes[c].pool == own->pool)
			weight += opt->classes[c].weight;
	return own->weight / weight * opt->executors[own->pool] *
	       DECLARED_SLOTS / FLOOD_ENTRIES;
}

static void expire(entry_t *entry, GQueue *queue, GList *link)
{
	g_queue_unlink(queue, link);
	sim_end_request(entry, link->data, ROUTE_NOT_RUN);
}
