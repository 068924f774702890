/*
 * flood_int - declarations private to the simulation.
 */
#ifndef FLOOD_INT_H
#define FLOOD_INT_H

#include <math.h>
#include <string.h>

#include "flood.h"

#define DECLARED_SLOTS 8	 /* of an endpoint */
#define SERVICE_US 20000.0	 /* mean service time */
#define SERVICE_SIGMA 0.8	 /* standard deviation of log(service time) */
#define ZONE_DELAY_US 200	 /* one way, within a zone */
#define CROSS_ZONE_DELAY_US 1400 /* one way, between zones */
#define DEADLINE_US (1 * BASE_SEC)
#define ENTRY_THREADS 256 /* per entry */
#define QUEUE_MAX 256
#define WARMUP_US (1 * BASE_SEC) /* excluded from the results */

typedef struct request {
	route_request_t core; /* must be first */
	int cls;
	int entry;
	int64_t arrived;
	int64_t service; /* service time */
	int attempt;	 /* number of the current attempt */
	bool running;
	struct endpoint *at;
	GList link; /* in the queue of a baseline policy */
} request_t;

/* An attempt in the queue or in a slot of an endpoint. */
typedef struct job {
	request_t *req;
	int attempt;
} job_t;

typedef struct endpoint {
	char name[16];
	int pool;
	int zone;
	bool faulty;
	int busy;
	int open;			  /* connections from all entries */
	int open_by_entry[FLOOD_ENTRIES]; /* baseline policies only */
	GQueue *waiting;		  /* of job_t */
} endpoint_t;

struct sim;

typedef struct entry {
	struct sim *sim;
	int index;
	int zone;
	route_t *core;
	/* baseline policies only */
	GQueue *queue[FLOOD_CLASSES];
	int held;
	int running[FLOOD_CLASSES];
} entry_t;

typedef enum event_kind {
	EVENT_ARRIVE,
	EVENT_REACH,   /* a request reaches its endpoint */
	EVENT_SERVED,  /* a slot completes a request */
	EVENT_ANSWER,  /* an answer reaches the entry */
	EVENT_EXPIRED, /* the deadline of a running request */
	EVENT_TICK,
	EVENT_KIND_MAX
} event_kind_t;

typedef struct event {
	int64_t at;
	uint64_t order;
	event_kind_t kind;
	int n; /* class, attempt or entry */
	request_t *req;
	endpoint_t *ep;
	route_result_t result;
} event_t;

typedef struct policy_ops {
	void (*setup)(entry_t *entry);
	void (*submit)(entry_t *entry, request_t *req);
	void (*done)(entry_t *entry, request_t *req, route_result_t result);
	void (*tick)(entry_t *entry);
	void (*end)(entry_t *entry);
} policy_ops_t;

typedef struct sim {
	const flood_options_t *opt;
	flood_result_t *result;
	const policy_ops_t *policy;
	int64_t now;
	uint64_t order;
	GArray *heap;
	base_rng_t arrivals[FLOOD_CLASSES];
	base_rng_t choice; /* baseline policies only */
	entry_t entries[FLOOD_ENTRIES];
	endpoint_t endpoints[64];
	int n_endpoints;
	GPtrArray *requests;
	base_hist_t *latency[FLOOD_CLASSES];
	uint64_t starts, refused, remote;
	int64_t busy_updated;
	double busy_time[FLOOD_POOLS]; /* slot time in bursts, microseconds */
	int busy[FLOOD_POOLS];
} sim_t;

extern const policy_ops_t flood_core_ops;
extern const policy_ops_t flood_fcfs_ops;
extern const policy_ops_t flood_static_ops;

/* Send "req" to "ep"; the simulation calls done() later. */
void sim_send(entry_t *entry, request_t *req, endpoint_t *ep);

/* Record the outcome of a request that has ended. */
void sim_end_request(entry_t *entry, request_t *req, route_outcome_t outcome);

#endif
