#include "flood_int.h"

/*
 * Two baselines.  First come first served: one queue an entry, a thread a
 * request, which holds it while it looks for a connection.  Static shares:
 * each class has a fixed part of the threads and of its pool's slots, a queue
 * of its own, and lends nothing.  Both give a request up at its deadline, try
 * the least loaded of an entry's connections and never retry.
 */

#define OPEN_MAX (FLOOD_CONNECTIONS / FLOOD_ENTRIES)

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
static void tell(entry_t *entry, request_t *req, route_result_t result);
static int open_to(const entry_t *entry, const endpoint_t *ep);
static double share(const entry_t *entry, int cls);
static void drop(entry_t *entry, GQueue *queue, GList *link);

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
	req->at->open_by[entry->index]--;
	tell(entry, req, result);
	fcfs_pump(entry);
}

/* The first requests in the queue have the threads that do not run one. */
static void fcfs_pump(entry_t *entry)
{
	GQueue *queue = entry->queue[0];
	GList *link = queue->head;
	int threads = THREADS - entry->held;

	while (link && threads > 0) {
		GList *next = link->next;
		request_t *req = link->data;

		if (entry->world->now >= req->arrived + DEADLINE_US) {
			drop(entry, queue, link);
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
	int threads = THREADS / entry->world->opt->n_classes;

	if ((int)queue->length + entry->running[req->cls] >= threads) {
		world_end(entry, req, ROUTE_NOT_RUN);
		return;
	}
	req->link.data = req;
	g_queue_push_tail_link(queue, &req->link);
	static_pump(entry, req->cls);
}

static void static_done(entry_t *entry, request_t *req, route_result_t result)
{
	req->at->open_by[entry->index]--;
	entry->running[req->cls]--;
	tell(entry, req, result);
	static_pump(entry, req->cls);
}

static void static_pump(entry_t *entry, int cls)
{
	GQueue *queue = entry->queue[cls];
	int most = MAX((int)share(entry, cls), 1);

	while (queue->head) {
		request_t *req = queue->head->data;

		if (entry->world->now >= req->arrived + DEADLINE_US) {
			drop(entry, queue, queue->head);
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
	for (int c = 0; c < entry->world->opt->n_classes; c++)
		static_pump(entry, c);
}

static void baseline_end(entry_t *entry)
{
	for (int c = 0; c < FLOOD_CLASSES; c++) {
		/* The links are part of the requests. */
		entry->queue[c]->head = entry->queue[c]->tail = NULL;
		entry->queue[c]->length = 0;
		g_queue_free(entry->queue[c]);
	}
}

/* On the endpoint with fewest of our connections, any zone. */
static bool start(entry_t *entry, request_t *req)
{
	world_t *w = entry->world;
	int pool = w->opt->classes[req->cls].pool;
	int from = (int)base_rng_below(&w->choice, (uint32_t)w->n_endpoints);
	endpoint_t *best = NULL;

	for (int i = 0; i < w->n_endpoints; i++) {
		endpoint_t *ep = &w->endpoints[(from + i) % w->n_endpoints];

		if (ep->pool == pool && open_to(entry, ep) < OPEN_MAX &&
		    (!best || open_to(entry, ep) < open_to(entry, best)))
			best = ep;
	}
	if (!best)
		return false;
	best->open_by[entry->index]++;
	world_send(entry, req, best);
	return true;
}

static void tell(entry_t *entry, request_t *req, route_result_t result)
{
	route_outcome_t outcome = ROUTE_UNKNOWN;

	if (entry->world->opt->policy == FLOOD_FCFS)
		entry->held--;
	if (result == ROUTE_RESULT_ANSWERED)
		outcome = ROUTE_ANSWERED;
	if (result == ROUTE_RESULT_REFUSED ||
	    result == ROUTE_RESULT_CONNECT_FAILED)
		outcome = ROUTE_NOT_RUN;
	world_end(entry, req, outcome);
}

static int open_to(const entry_t *entry, const endpoint_t *ep)
{
	return ep->open_by[entry->index];
}

/* The part of its pool's slots that a class has at one entry. */
static double share(const entry_t *entry, int cls)
{
	const flood_options_t *opt = entry->world->opt;
	const flood_class_t *own = &opt->classes[cls];
	double weight = 0.0;

	for (int c = 0; c < opt->n_classes; c++)
		if (opt->classes[c].pool == own->pool)
			weight += opt->classes[c].weight;
	return own->weight / weight * opt->executors[own->pool] * SLOTS /
	       FLOOD_ENTRIES;
}

static void drop(entry_t *entry, GQueue *queue, GList *link)
{
	g_queue_unlink(queue, link);
	world_end(entry, link->data, ROUTE_NOT_RUN);
}
