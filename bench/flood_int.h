/*
 * flood_int - what the files of the model share.
 */
#ifndef FLOOD_INT_H
#define FLOOD_INT_H

#include <math.h>
#include <string.h>

#include "flood.h"

#define SLOTS 8		   /* declared */
#define SERVICE_US 20000.0 /* mean service time */
#define SERVICE_SIGMA 0.8  /* of its logarithm */
#define NEAR_US 200	   /* one way within a zone */
#define FAR_US 1400	   /* one way between zones */
#define DEADLINE_US (1 * BASE_SEC)
#define THREADS 256 /* of one entry */
#define QUEUE_MAX 256
#define WARM_US (1 * BASE_SEC) /* not counted */

typedef struct request {
	route_request_t core; /* first */
	int cls;
	int entry;
	int64_t arrived;
	int64_t service; /* at the endpoint */
	int attempt;	 /* the one that runs */
	bool running;
	struct endpoint *at;
	GList link; /* in a baseline's queue */
} request_t;

/* A request as an endpoint holds it. */
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
	int open;		    /* connections, all entries */
	int open_by[FLOOD_ENTRIES]; /* of the baselines */
	GQueue *waiting;	    /* of job_t */
} endpoint_t;

struct world;

typedef struct entry {
	struct world *world;
	int index;
	int zone;
	route_t *core;
	/* of the baselines */
	GQueue *queue[FLOOD_CLASSES];
	int held;
	int running[FLOOD_CLASSES];
} entry_t;

typedef enum event_kind {
	EVENT_ARRIVE,
	EVENT_REACH,   /* a request reaches its endpoint */
	EVENT_SERVED,  /* a slot ends a request */
	EVENT_ANSWER,  /* an answer reaches the entry */
	EVENT_EXPIRED, /* a running request's deadline */
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

typedef struct world {
	const flood_options_t *opt;
	flood_result_t *result;
	const policy_ops_t *policy;
	int64_t now;
	uint64_t order;
	GArray *heap;
	base_rng_t arrivals[FLOOD_CLASSES];
	base_rng_t choice; /* of the baselines */
	entry_t entries[FLOOD_ENTRIES];
	endpoint_t endpoints[64];
	int n_endpoints;
	GPtrArray *requests;
	base_hist_t *latency[FLOOD_CLASSES];
	uint64_t starts, refused, remote;
	int64_t busy_at;
	double busy_sum[FLOOD_POOLS]; /* slot microseconds in bursts */
	int busy[FLOOD_POOLS];
} world_t;

extern const policy_ops_t flood_core_ops;
extern const policy_ops_t flood_fcfs_ops;
extern const policy_ops_t flood_static_ops;

/* Send "req" to "ep"; the world calls done() later. */
void world_send(entry_t *entry, request_t *req, endpoint_t *ep);

/* The request is over. */
void world_end(entry_t *entry, request_t *req, route_outcome_t outcome);

#endif
