/*
 * route - which request runs, where, when, and what its caller is told.
 *
 * The decision core of an entry.  It holds the queues, the shares, the limits
 * and what is known of each endpoint; it reads no clock, opens no socket and
 * starts no thread.  "now" is in microseconds on any clock that does not go
 * back.  See docs/design/admission.md, choice.md and outcomes.md.
 *
 * How an entry drives it.  One mutex per route_t guards every call.
 *
 *	route = route_new(ctx, &options);
 *	route_configure(route, &conf, now);	pools, classes, callers
 *	route_entries(route, list, n, now);	who shares the pools
 *	route_view(route, pool, version, endpoints, n, now);
 *
 * A request thread fills a route_request_t that stays where it is until
 * end() was called for it, calls route_submit() and sleeps until one of the
 * callbacks names its request:
 *
 *	start()	send it to this endpoint now, then call route_done() with
 *		what came of it; start() or end() follows, from inside
 *		route_done() or later
 *	end()	tell the caller; the core has forgotten the request
 *
 * Callbacks run inside a call into the core, so with the mutex held: they
 * record and wake, and never call back into the core.  route_tick() is due
 * every ROUTE_TICK_US.  The endpoint that start() names stays valid until the
 * route_done() of that attempt.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include "base.h"

#define ROUTE_TICK_US (10 * BASE_MS)
#define ROUTE_CALLER_OTHER 0 /* the caller id that unknown callers share */

typedef struct route route_t;

typedef enum route_outcome {
	ROUTE_ANSWERED,
	ROUTE_NOT_RUN,
	ROUTE_UNKNOWN,
	ROUTE_OUTCOME_MAX
} route_outcome_t;

typedef enum route_reason {
	ROUTE_REASON_NONE,
	ROUTE_REASON_UNCONFIGURED, /* its class has gone */
	ROUTE_REASON_NO_ENDPOINT,  /* the pool has no live endpoint */
	ROUTE_REASON_QUEUE_FULL,   /* over the bound in count or bytes */
	ROUTE_REASON_WAIT,	   /* would wait too long for its deadline */
	ROUTE_REASON_DEADLINE,	   /* queued too long for its deadline */
	ROUTE_REASON_REFUSED,	   /* the endpoint refused before start */
	ROUTE_REASON_CONNECT,	   /* no connection, no byte written */
	ROUTE_REASON_FAILED,	   /* failed after the first byte */
	ROUTE_REASON_CUT_SHORT,	   /* the answer was not whole */
	ROUTE_REASON_TIMEOUT,	   /* no answer before the deadline */
	ROUTE_REASON_TOO_LARGE,	   /* the answer passes the limit */
	ROUTE_REASON_CANCELLED,	   /* the caller went away */
	ROUTE_REASON_MAX
} route_reason_t;

/* What came of one attempt. */
typedef enum route_result {
	ROUTE_RESULT_ANSWERED,	     /* a whole answer, its own */
	ROUTE_RESULT_ERROR,	     /* a whole answer with status 5xx */
	ROUTE_RESULT_REFUSED,	     /* 503 with X-Not-Run: yes */
	ROUTE_RESULT_CONNECT_FAILED, /* no byte was written */
	ROUTE_RESULT_FAILED,	     /* failed after the first byte */
	ROUTE_RESULT_CUT_SHORT,	     /* answer began and did not end */
	ROUTE_RESULT_TIMEOUT,	     /* bytes written, deadline passed */
	ROUTE_RESULT_TOO_LARGE,	     /* the answer passes the limit */
	ROUTE_RESULT_CANCELLED,	     /* bytes written, caller went away */
	ROUTE_RESULT_MAX
} route_result_t;

typedef enum route_state {
	ROUTE_LIVE,
	ROUTE_LEAVING,
	ROUTE_GONE,
	ROUTE_STATE_MAX
} route_state_t;

typedef enum route_probe {
	ROUTE_PROBE_OK,
	ROUTE_PROBE_FAILED,
	ROUTE_PROBE_LEAVING,
	ROUTE_PROBE_MAX
} route_probe_t;

/* One endpoint; instance id with incarnation is its identity. */
typedef struct route_endpoint {
	const char *instance;
	const char *incarnation;
	const char *zone;
	const char *address; /* for the driver alone */
	int port;	     /* the same */
	route_state_t state;
} route_endpoint_t;

/*
 * One request.  The driver sets the first part and leaves the second alone;
 * the memory stays the driver's.
 */
typedef struct route_request {
	int class_id;	    /* from route_find_class() */
	uint32_t caller_id; /* from route_find_caller() */
	bool repeatable;
	uint32_t bytes;	  /* memory it holds while it waits */
	int64_t deadline; /* absolute; 0 takes the class's default */
	void *data;	  /* for the driver alone */

	int connections; /* that may be open to the endpoint it runs at */
	int64_t submitted;
	int64_t queue_until;
	int64_t started;
	int attempts;
	bool queued;
	bool running;
	bool maybe_ran; /* an earlier attempt may have run */
	struct route_class *cls;
	struct route_flow *flow;
	struct route_ep *ep;
	struct route_request *prev, *next;
	const struct route_ep *tried[2];
} route_request_t;

typedef struct route_end {
	route_outcome_t outcome;
	route_reason_t reason;
	int retry_after_ms; /* 0 when answered */
} route_end_t;

typedef struct route_ops {
	/* Send "request" to "endpoint"; "attempt" counts from 1. */
	void (*start)(void *arg, route_request_t *request,
		      const route_endpoint_t *endpoint, int attempt);
	/* The request is over. */
	void (*end)(void *arg, route_request_t *request,
		    const route_end_t *end);
} route_ops_t;

typedef struct route_options {
	const route_ops_t *ops;
	void *arg;
	const char *entry; /* own id, as in route_entries() */
	const char *zone;  /* own zone */
	uint64_t seed;
	int held_max;	       /* requests queued and running, all pools */
	int64_t bytes_max;     /* of queued requests, all pools */
	int64_t cross_zone_us; /* added by a round trip to another zone */
} route_options_t;

typedef struct route_pool_conf {
	const char *name;
	int slots;	     /* declared, per executor */
	int connections;     /* per executor, over all entries */
	int entries_max;     /* entries that may exist at once */
	int queue_max;	     /* requests queued in one entry */
	int64_t bytes_max;   /* of queued requests in one entry */
	double retry_budget; /* retries per request, 0.1 by default */
} route_pool_conf_t;

typedef struct route_class_conf {
	const char *name;
	const char *pool;
	int urgency;   /* 0 is the most urgent */
	double weight; /* guaranteed share among the pool's classes */
	bool repeatable;
	int64_t deadline_us; /* default, from submission */
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

/* What was counted for a class, a caller or both together. */
typedef struct route_counts {
	uint64_t submitted;
	uint64_t attempts;
	uint64_t outcome[ROUTE_OUTCOME_MAX];
	uint64_t reason[ROUTE_REASON_MAX];
} route_counts_t;

typedef struct route_pool_stats {
	const char *name;
	int live; /* endpoints that may get work */
	int ejected;
	int running;
	int queued;
	int64_t queued_bytes;
	double limit;	 /* requests at once that this entry allows itself */
	int connections; /* that this entry may open to one endpoint */
	uint64_t retries;
	uint64_t retries_denied; /* budget spent */
} route_pool_stats_t;

typedef struct route_group_stats {
	const char *pool;   /* NULL for a caller over all classes */
	const char *cls;    /* NULL for a caller over all classes */
	const char *caller; /* NULL for a class over all callers */
	const route_counts_t *counts;
	const base_hist_t *wait; /* queue wait; NULL for a class and caller */
	const base_hist_t *run;	 /* time at the endpoint; the same */
} route_group_stats_t;

/* A new core below "ctx". */
route_t *route_new(const void *ctx, const route_options_t *options);

/*
 * Put a whole configuration in force.  What keeps its name keeps its state;
 * queued requests of a class that is gone end as not run.
 */
void route_configure(route_t *route, const route_conf_t *conf, int64_t now);

/* The id of a class; an empty name takes the pool's first.  -1: none. */
int route_find_class(const route_t *route, base_str_t pool, base_str_t name);

/* The settings of a class, valid until the next route_configure(). */
const route_class_conf_t *route_class_conf(const route_t *route, int id);

/* The id of a caller; unknown ones share ROUTE_CALLER_OTHER. */
uint32_t route_find_caller(const route_t *route, base_str_t name);

/*
 * The live entries that share the pools.  A longer list narrows the share of
 * connections at once, a shorter one widens it only after a delay in which
 * the leaver's connections end.
 */
void route_entries(route_t *route, const route_entry_t *entries, size_t n,
		   int64_t now);

/*
 * Replace a pool's endpoints by a whole list.  False, and nothing changes,
 * when "version" is not newer than the last one or the pool is unknown.  An
 * identity that was said to be leaving stays so, whatever the list says.
 */
bool route_view(route_t *route, base_str_t pool, uint64_t version,
		const route_endpoint_t *endpoints, size_t n, int64_t now);

/*
 * From any signal: this identity gets no new work from here on.  Only another
 * incarnation of the instance is taken again.  True if it was news.
 */
bool route_leaving(route_t *route, base_str_t instance, base_str_t incarnation,
		   int64_t now);

/* Hand in a request; start() or end() may be called before it returns. */
void route_submit(route_t *route, route_request_t *request, int64_t now);

/* Report what came of the running attempt. */
void route_done(route_t *route, route_request_t *request, route_result_t result,
		int64_t now);

/*
 * The caller went away.  A queued request ends as not run, inside this call;
 * a running one is the driver's to break off with ROUTE_RESULT_CANCELLED.
 * False, and nothing changes, if it is running or has ended.
 */
bool route_cancel(route_t *route, route_request_t *request, int64_t now);

/* Expire deadlines, follow what the endpoints take, start what can start. */
void route_tick(route_t *route, int64_t now);

/*
 * The endpoints of our zone, or of the others, that this entry should probe
 * now, at most "max"; each is then due again a ROUTE_PROBE_US later, or up to
 * ROUTE_PROBE_MAX_US where this entry probes more than a few hundred.  Entries
 * of one zone split the endpoints by rendezvous hashing and tell each other
 * what they see.
 */
#define ROUTE_PROBE_US (1 * BASE_SEC)
#define ROUTE_PROBE_MAX_US (2 * BASE_SEC)
typedef struct route_probe_due {
	const route_endpoint_t *endpoint;
	int connections; /* that may be open to it, see route_connections() */
} route_probe_due_t;

size_t route_probe_due(route_t *route, bool own_zone, int64_t now,
		       route_probe_due_t *due, size_t max);

/* What a probe showed: ours, or told by a peer of our zone. */
void route_probe_done(route_t *route, base_str_t instance,
		      base_str_t incarnation, route_probe_t result,
		      int64_t now);

/* Connections, idle ones included, that may be open to one endpoint. */
int route_connections(const route_t *route, base_str_t pool, int64_t now);

/* Whether requests are queued, so that route_tick() is wanted soon. */
bool route_waiting(const route_t *route);

/* How many requests run at an identity through this entry. */
int route_running(const route_t *route, base_str_t instance,
		  base_str_t incarnation);

/* Visit each pool. */
void route_each_pool(const route_t *route, int64_t now,
		     void (*visit)(void *, const route_pool_stats_t *),
		     void *arg);

typedef struct route_visitor {
	void (*pool)(void *arg, const route_pool_stats_t *stats);
	void (*group)(void *arg, const route_group_stats_t *stats);
	void *arg;
} route_visitor_t;

/* How far a visit came; all 0 to begin.  Stays right while others go on. */
typedef struct route_cursor {
	unsigned pool;
	unsigned caller;
	unsigned cls;
	size_t flow;
} route_cursor_t;

/*
 * Visit each pool, each caller, and each class with the callers seen in it:
 * "steps" of them at most, from where "at" stands.  False: there is no more.
 */
bool route_visit(const route_t *route, int64_t now, route_cursor_t *at,
		 int steps, const route_visitor_t *visitor);

/* Names for headers, logs and metrics: "not-run", "queue-full", ... */
const char *route_outcome_name(route_outcome_t outcome);
const char *route_reason_name(route_reason_t reason);

#endif
