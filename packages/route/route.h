/*
 * route - admission, queueing and endpoint choice for the requests of an entry.
 *
 * This is the decision core of an entry.  It holds the queues, the shares, the
 * concurrency limits and the state of each endpoint; it reads no clock, opens
 * no socket and starts no thread.  "now" and all other times are microseconds
 * on one monotonic clock.  See docs/design/admission.md, choice.md and
 * outcomes.md.
 *
 * The entry must guard all calls on one route_t with one mutex.  Set-up:
 *
 *	route = route_new(ctx, &options);
 *	route_configure(route, &conf, now);	pools, classes, callers
 *	route_set_entries(route, list, n, now);	entries that share the pools
 *	route_set_endpoints(route, pool, version, endpoints, n, now);
 *
 * A request thread fills in a route_request_t, which must not move until
 * end() was called for it, calls route_submit() and sleeps until one of the
 * callbacks is called for its request:
 *
 *	start()	send it to this endpoint now, then call route_done() with
 *		the result; start() or end() follows, from inside
 *		route_done() or later
 *	end()	answer the caller; the core no longer uses the request
 *
 * Callbacks run inside a call into the core, so with the mutex held: they
 * may record the event and wake a thread but must not call into the core.
 * route_tick() must be called every ROUTE_TICK_US.  The endpoint passed to
 * start() stays valid until the route_done() of that attempt.
 *
 * Terms:
 *
 *	share		of an entry (its even share): the slots of a pool's
 *			usable endpoints that are not ejected, divided by the
 *			number of entries; of a class: its part of the pool by
 *			weight
 *	quota		the requests that this entry aims to run at one
 *			endpoint: its part of the endpoint's slots, scaled by
 *			the concurrency limit of the pool
 *	probe		a health check of an endpoint by an entry
 *	ejection	the exclusion of an endpoint for a time, after
 *			consecutive failed requests or probes
 *	visit		a walk over all counters in several calls of
 *			route_visit()
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "base.h"

#define ROUTE_TICK_US (10 * BASE_MS)
#define ROUTE_CALLER_OTHER 0 /* id that all unknown callers share */

typedef struct route route_t;

typedef enum route_outcome {
	ROUTE_ANSWERED,
	ROUTE_NOT_RUN,
	ROUTE_UNKNOWN,
	ROUTE_OUTCOME_MAX
} route_outcome_t;

typedef enum route_reason {
	ROUTE_REASON_NONE,
	ROUTE_REASON_UNCONFIGURED, /* the request's class was removed */
	ROUTE_REASON_NO_ENDPOINT,  /* the pool has no live endpoint */
	ROUTE_REASON_QUEUE_FULL,   /* limit of queued requests or bytes */
	ROUTE_REASON_WAIT,	   /* expected wait too long for the deadline */
	ROUTE_REASON_DEADLINE,	/* queued too long, or too little time left */
	ROUTE_REASON_REFUSED,	/* endpoints refused to start the request */
	ROUTE_REASON_CONNECT,	/* connection failed, no byte written */
	ROUTE_REASON_FAILED,	/* failed after the first byte was written */
	ROUTE_REASON_CUT_SHORT, /* the answer was incomplete */
	ROUTE_REASON_TIMEOUT,	/* no answer before the deadline */
	ROUTE_REASON_TOO_LARGE, /* the answer exceeds the size limit */
	ROUTE_REASON_CANCELLED, /* the caller disconnected */
	ROUTE_REASON_MAX
} route_reason_t;

/* Result of one attempt. */
typedef enum route_result {
	ROUTE_RESULT_ANSWERED,	     /* complete answer, not 5xx */
	ROUTE_RESULT_ERROR,	     /* complete answer with status 5xx */
	ROUTE_RESULT_REFUSED,	     /* 503 with X-Not-Run: yes */
	ROUTE_RESULT_CONNECT_FAILED, /* no connection, no byte written */
	ROUTE_RESULT_FAILED,	/* failed after the first byte was written */
	ROUTE_RESULT_CUT_SHORT, /* the answer began but was incomplete */
	ROUTE_RESULT_TIMEOUT,	/* bytes written, deadline passed */
	ROUTE_RESULT_TOO_LARGE, /* the answer exceeds the size limit */
	ROUTE_RESULT_CANCELLED, /* bytes written, caller disconnected */
	ROUTE_RESULT_MAX
} route_result_t;

typedef enum route_state {
	ROUTE_LIVE,
	ROUTE_LEAVING,
	ROUTE_GONE,
	ROUTE_STATE_MAX
} route_state_t;

typedef enum route_probe_result {
	ROUTE_PROBE_OK,
	ROUTE_PROBE_FAILED,
	ROUTE_PROBE_LEAVING,
	ROUTE_PROBE_MAX
} route_probe_result_t;

/* An endpoint, identified by its instance id and incarnation. */
typedef struct route_endpoint {
	const char *instance;
	const char *incarnation;
	const char *zone;
	const char *address; /* not used by the core */
	int port;	     /* not used by the core */
	route_state_t state;
} route_endpoint_t;

/*
 * A request.  The entry owns the memory and sets the first group of members;
 * the second group belongs to the core.
 */
typedef struct route_request {
	int class_id;	    /* from route_find_class() */
	uint32_t caller_id; /* from route_find_caller() */
	bool repeatable;
	uint32_t bytes;	  /* memory that the request holds while queued */
	int64_t deadline; /* time of the deadline; 0: the class's default */
	void *data;	  /* not used by the core */

	int connection_limit; /* limit at the endpoint where it runs */
	int64_t submitted;
	int64_t queue_until_us; /* time at which it ends as not run if still
				   queued */
	int64_t started;
	int attempts;
	bool queued;
	bool running;
	bool maybe_ran; /* an endpoint may have executed an earlier attempt */
	struct route_class *cls;
	struct route_flow *flow;
	struct route_ep *ep;
	struct route_request *prev, *next;
	const struct route_ep *tried[2]; /* endpoints of earlier attempts */
} route_request_t;

typedef struct route_end {
	route_outcome_t outcome;
	route_reason_t reason;
	int retry_after_ms; /* delay to suggest to the caller; 0 if answered */
} route_end_t;

typedef struct route_ops {
	/* Sends "request" to "endpoint"; "attempt" counts from 1. */
	void (*start)(void *arg, route_request_t *request,
		      const route_endpoint_t *endpoint, int attempt);
	/* Reports the outcome of a request to its caller. */
	void (*end)(void *arg, route_request_t *request,
		    const route_end_t *end);
} route_ops_t;

typedef struct route_options {
	const route_ops_t *ops;
	void *arg;
	const char *entry; /* id of this entry, as in route_set_entries() */
	const char *zone;  /* availability zone of this entry */
	uint64_t seed;
	int held_max;	   /* maximum requests queued or running, all pools */
	int64_t bytes_max; /* maximum bytes of queued requests, all pools */
	int64_t cross_zone_us; /* extra round-trip time to another zone */
} route_options_t;

typedef struct route_pool_conf {
	const char *name;
	int slots;	     /* declared concurrent requests per endpoint */
	int connections;     /* maximum connections to one endpoint, over all
				entries */
	int entries_max;     /* maximum entries that share those connections */
	int queue_max;	     /* maximum queued requests in one entry */
	int64_t bytes_max;   /* maximum bytes of queued requests in one entry */
	double retry_budget; /* retries allowed per request; 0 selects 0.1 */
} route_pool_conf_t;

typedef struct route_class_conf {
	const char *name;
	const char *pool;
	int urgency;   /* 0 is the most urgent */
	double weight; /* relative guaranteed share in the pool */
	bool repeatable;
	int64_t deadline_us; /* default time from submission to the deadline */
} route_class_conf_t;

typedef struct route_caller_conf {
	const char *name;
	double weight;
} route_caller_conf_t;

typedef struct route_conf {
	const route_pool_conf_t *pools;
	size_t n_pools;
	const route_class_conf_t *classes;
	size_t n_classes;
	const route_caller_conf_t *callers;
	size_t n_callers;
} route_conf_t;

typedef struct route_entry {
	const char *id;
	const char *zone;
} route_entry_t;

/* Counters of a class, of a caller, or of a caller within a class. */
typedef struct route_counts {
	uint64_t submitted;
	uint64_t attempts;
	uint64_t outcome[ROUTE_OUTCOME_MAX];
	uint64_t reason[ROUTE_REASON_MAX];
} route_counts_t;

typedef struct route_pool_stats {
	const char *name;
	int live; /* listed endpoints that are not leaving */
	int ejected;
	int running;
	int queued;
	int64_t queued_bytes;
	double limit; /* maximum requests that this entry runs at once */
	int connection_limit; /* maximum connections to one endpoint */
	uint64_t retries;
	uint64_t retries_denied; /* retries that the retry budget forbade */
} route_pool_stats_t;

typedef struct route_group_stats {
	const char *pool;   /* NULL for a caller over all classes */
	const char *cls;    /* NULL for a caller over all classes */
	const char *caller; /* NULL for a class over all callers */
	const route_counts_t *counts;
	const base_hist_t *wait; /* queue wait; NULL for a caller in a class */
	const base_hist_t *run;	 /* time at the endpoint; NULL as for "wait" */
} route_group_stats_t;

/* Allocates a core as a talloc child of "ctx". */
route_t *route_new(const void *ctx, const route_options_t *options);

/*
 * Replaces the whole configuration.  Pools, classes and callers that keep
 * their names keep their state; queued requests of a removed class end as not
 * run.
 */
void route_configure(route_t *route, const route_conf_t *conf, int64_t now);

/*
 * Returns the id of a class, or -1 if there is none.  An empty name selects
 * the first class of the pool.
 */
int route_find_class(const route_t *route, base_str_t pool, base_str_t name);

/* Returns the settings of a class, valid until the next route_configure(). */
const route_class_conf_t *route_class_conf(const route_t *route, int id);

/* Returns the id of a caller, or ROUTE_CALLER_OTHER if it is unknown. */
uint32_t route_find_caller(const route_t *route, base_str_t name);

/*
 * Replaces the list of live entries that share the pools.  A longer list
 * reduces this entry's share of the connections at once; a shorter one raises
 * it only after a delay in which the connections of the departed entry close.
 */
void route_set_entries(route_t *route, const route_entry_t *entries, size_t n,
		       int64_t now);

/*
 * Replaces the endpoints of a pool by a complete list.  Returns false and
 * changes nothing if "version" is not newer than the last one or the pool is
 * unknown.  An identity that was reported as leaving stays leaving even if the
 * list has it as live.
 */
bool route_set_endpoints(route_t *route, base_str_t pool, uint64_t version,
			 const route_endpoint_t *endpoints, size_t n,
			 int64_t now);

/*
 * Marks an identity as leaving, whatever the source of the report: it gets no
 * new requests, and only another incarnation of the instance is accepted
 * again.  Returns true if the identity was not marked before.
 */
bool route_mark_leaving(route_t *route, base_str_t instance,
			base_str_t incarnation, int64_t now);

/* Submits a request; start() or end() may be called before it returns. */
void route_submit(route_t *route, route_request_t *request, int64_t now);

/* Reports the result of the running attempt. */
void route_done(route_t *route, route_request_t *request, route_result_t result,
		int64_t now);

/*
 * Cancels a queued request whose caller disconnected; it ends as not run
 * inside this call.  Returns false and changes nothing if the request is
 * running or has ended.  The entry aborts a running one itself and reports
 * ROUTE_RESULT_CANCELLED.
 */
bool route_cancel(route_t *route, route_request_t *request, int64_t now);

/* Expires queued requests, updates the limits and starts requests. */
void route_tick(route_t *route, int64_t now);

/*
 * Stores in "due" the endpoints of the entry's own zone, or of the other
 * zones, that this entry should probe now, at most "max", and returns their
 * number.  Each is due again after ROUTE_PROBE_US, or up to ROUTE_PROBE_MAX_US
 * where this entry probes more than 200 endpoints.  The entries of a zone
 * divide the endpoints by rendezvous hashing and send each other the results.
 */
#define ROUTE_PROBE_US (1 * BASE_SEC)
#define ROUTE_PROBE_MAX_US (2 * BASE_SEC)
typedef struct route_probe_due {
	const route_endpoint_t *endpoint;
	int connection_limit; /* see route_connection_limit() */
} route_probe_due_t;

size_t route_probe_due(route_t *route, bool own_zone, int64_t now,
		       route_probe_due_t *due, size_t max);

/* Reports the result of a probe by this entry or by a peer in its zone. */
void route_probe_done(route_t *route, base_str_t instance,
		      base_str_t incarnation, route_probe_result_t result,
		      int64_t now);

/*
 * Returns how many connections, idle ones included, this entry may have open
 * to one endpoint of the pool; 0 if the pool is unknown.
 */
int route_connection_limit(const route_t *route, base_str_t pool, int64_t now);

/* Returns whether requests are queued, so that route_tick() is needed soon. */
bool route_has_queued(const route_t *route);

/* Returns how many requests of this entry run at an identity. */
int route_running_count(const route_t *route, base_str_t instance,
			base_str_t incarnation);

/* Calls "visit" for each pool. */
void route_each_pool(const route_t *route, int64_t now,
		     void (*visit)(void *, const route_pool_stats_t *),
		     void *arg);

typedef struct route_visitor {
	void (*pool)(void *arg, const route_pool_stats_t *stats);
	void (*group)(void *arg, const route_group_stats_t *stats);
	void *arg;
} route_visitor_t;

/*
 * Position of a visit; all 0 to begin.  Stays valid across other calls on the
 * core.
 */
typedef struct route_cursor {
	unsigned pool;
	unsigned caller;
	unsigned cls;
	size_t flow;
} route_cursor_t;

/*
 * Visits each pool, each caller, and each class with the callers seen in it,
 * at most "steps" of these groups in one call, starting at "at".  Returns false
 * when all have been visited.
 */
bool route_visit(const route_t *route, int64_t now, route_cursor_t *at,
		 int steps, const route_visitor_t *visitor);

/* Return names for headers, logs and metrics, such as "queue-full". */
const char *route_outcome_name(route_outcome_t outcome);
const char *route_reason_name(route_reason_t reason);

#endif
