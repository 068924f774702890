/*
 * route_int - declarations shared by the files of this package.
 */
#ifndef ROUTE_INT_H
#define ROUTE_INT_H

#include <math.h>
#include <string.h>

#include "route.h"

#define CREDIT_MAX 16.0	  /* requests that a class may save up */
#define CREDIT_MIN (-8.0) /* requests that it may overdraw */
#define RETRY_BURST 10.0  /* retries that a pool may save up */
#define ATTEMPTS_MAX 3	  /* of a request that is retried */
/* A request is refused if its expected wait is over this part of its time. */
#define WAIT_FRACTION 0.4
/* A request ends as not run after it queued for this part of its time. */
#define QUEUE_FRACTION 0.5
/* How long an endpoint that refused is capped at what it ran then. */
#define CAP_HOLD_MIN_US (10 * BASE_MS)
#define CAP_HOLD_MAX_US (500 * BASE_MS)
/* For how long after a refusal the slots of an endpoint are contested. */
#define CONTESTED_US (1 * BASE_SEC)
/*
 * An entry takes contested slots in other zones only while it runs less than
 * this part of its even share.
 */
#define CONTESTED_FRACTION 0.85
#define LIMIT_WINDOW_US (100 * BASE_MS)
#define LIMIT_SAMPLES 8	       /* answers before a window changes the limit */
#define REFUSED_ATTEMPTS_MAX 8 /* attempts before a refused request ends */
/* Time until the connections of a departed entry are used again. */
#define CONN_HOLD_US (30 * BASE_SEC)
#define EJECT_FAILURES 3 /* consecutive */
#define EJECT_US (1 * BASE_SEC)
#define EJECT_US_MAX (30 * BASE_SEC)
#define EJECT_FRACTION 0.7	     /* of a pool's endpoints, at most */
#define SLOW_START_US (5 * BASE_SEC) /* of a new or returning endpoint */
#define SLOW_START_MIN 0.1
/* With more endpoints in the own zone, or in the others, two are compared. */
#define SCAN_MAX 16
#define PROBE_CONN_DIVISOR 16	/* one connection in 16 is for probes */
#define PROBE_FAILURES 2	/* consecutive */
#define PROBES_AT_FULL_RATE 200 /* endpoints probed at the full rate */
/* How long a leaving identity is kept after it was last listed or reported. */
#define TOMBSTONE_TTL_US (3600 * BASE_SEC)

typedef enum route_health {
	HEALTH_OK,
	HEALTH_EJECTED,
	HEALTH_TRIAL, /* one request at a time */
	HEALTH_MAX
} route_health_t;

/* An endpoint's identity with its hash, computed once to search all pools. */
typedef struct route_ident {
	guint hash;
	base_str_t instance;
	base_str_t incarnation;
} route_ident_t;

typedef struct route_ep {
	route_endpoint_t pub;
	route_ident_t ident; /* of "pub" */
	struct route_pool *pool;
	bool local;  /* in the entry's own zone */
	bool listed; /* in the newest list */
	route_health_t health;
	int running;
	int failures; /* consecutive */
	int ejections;
	int probe_failures;
	int64_t ejected_until_us;
	int64_t slow_start_us; /* 0: no slow start */
	int64_t next_probe_us;
	double latency_us; /* moving mean of answers */
	/* After a refusal, at most "cap" requests run until "cap_until_us". */
	int cap;
	int64_t cap_until_us;
	int64_t cap_hold_us;
	int64_t contested_until_us; /* set by a refusal */
} route_ep_t;

typedef struct route_flow {
	struct route_class *cls;
	struct route_caller *caller;
	route_request_t *head, *tail;
	int queued;
	int heap_index;		      /* -1: nothing queued */
	double start_tag, finish_tag; /* in virtual time */
	route_counts_t counts;
} route_flow_t;

typedef struct route_caller {
	char *name;
	uint32_t id;
	double weight;
	bool retired;
	route_counts_t counts;
	base_hist_t *wait, *run;
} route_caller_t;

typedef struct route_class {
	route_class_conf_t conf;
	struct route_pool *pool;
	bool retired;
	double credit;
	double vtime;
	double run_us;	   /* moving mean */
	double start_rate; /* starts per second, moving mean */
	int started;	   /* in the current window */
	int queued;
	double active_weight; /* sum over the flows that have requests */
	route_flow_t **heap;
	size_t heap_len;
	route_flow_t **flows; /* by caller id; NULL until seen */
	size_t n_flows;
	route_counts_t counts;
	base_hist_t *wait, *run;
} route_class_t;

typedef struct route_pool {
	route_pool_conf_t conf;
	bool retired;
	bool has_list;
	uint64_t version;
	GPtrArray *eps;	       /* listed, or with requests running */
	GHashTable *by_ident;  /* "eps" by route_ident_t */
	GPtrArray *probed;     /* those that this entry probes */
	GPtrArray *local_eps;  /* live, own zone */
	GPtrArray *remote_eps; /* live, other zones */
	GPtrArray *classes;    /* most urgent first */
	double weight;	       /* sum over its classes */
	int running, queued;
	int64_t queued_bytes;
	double tokens; /* retry budget */
	uint64_t retries, retries_denied;
	/* concurrency limit, see route_limit.c */
	double share;	 /* even share of the declared slots */
	double gain;	 /* adaptive multiple of "share" */
	double limit;	 /* "share" times "gain", less at high latency */
	double idle_us;	 /* unloaded latency, moving mean */
	double run_us;	 /* latency, moving mean */
	double sum_us;	 /* latencies of this window */
	double load_sum; /* requests running at each answer of it */
	int samples;
	int warmup_samples;   /* samples, counted up to WARMUP_SAMPLES */
	double warmup_sum_us; /* latencies of these */
	bool is_limited;      /* a request had to wait in this window */
	int refusals;	      /* attempts refused in this window */
	int64_t window_start_us;
	route_ep_t *freed_ep; /* set while route_done() handles its answer */
} route_pool_t;

struct route {
	route_options_t opt;
	base_rng_t rng;
	GPtrArray *pools, *classes, *callers;
	GPtrArray *by_name;	/* callers sorted by name */
	GHashTable *tombstones; /* identity -> time last seen */
	route_entry_t *entries;
	size_t n_entries;
	int local_entries;	       /* entries in the own zone */
	int conn_divisor;	       /* entries that share the connections */
	int64_t conn_divisor_until_us; /* it does not shrink before */
	int64_t probe_interval_us;     /* between probes of an endpoint */
	int held;		       /* requests queued or running */
	int64_t queued_bytes;
};

/* route_conf.c */
route_pool_t *route_find_pool(const route_t *route, base_str_t name);
route_flow_t *route_get_flow(route_t *route, route_class_t *cls,
			     uint32_t caller);

/* route_queue.c */
void route_queue_add(route_t *route, route_request_t *req);
void route_queue_put_back(route_t *route, route_request_t *req);
void route_queue_remove(route_t *route, route_request_t *req);
route_request_t *route_queue_next(const route_pool_t *pool);
void route_queue_charge(route_pool_t *pool, route_request_t *req);
void route_queue_refund(route_pool_t *pool, route_request_t *req);
double route_queue_wait(const route_pool_t *pool, const route_request_t *req);
route_request_t *route_queue_victim(const route_pool_t *pool);

/* route_limit.c */
void route_limit_update_share(const route_t *route, route_pool_t *pool);
double route_limit_now(const route_pool_t *pool);
void route_limit_sample(const route_t *route, route_pool_t *pool,
			route_ep_t *ep, int64_t us);
void route_limit_refused(route_pool_t *pool);
void route_limit_close_window(const route_t *route, route_pool_t *pool,
			      int64_t now);

/* route_choice.c */
route_ep_t *route_choose_endpoint(route_t *route, route_pool_t *pool,
				  const route_request_t *req, int64_t now);
void route_ep_failed(const route_t *route, route_ep_t *ep, int64_t now);
void route_ep_refused(route_ep_t *ep, int64_t now);
void route_ep_succeeded(const route_t *route, route_ep_t *ep, int64_t now);
void route_ep_readmit(route_pool_t *pool);
int route_conn_share(const route_t *route, const route_pool_t *pool,
		     int64_t now);

/* route_view.c */
void route_pool_reindex(route_t *route, route_pool_t *pool);
bool route_ep_usable(const route_ep_t *ep);
route_ident_t route_ident_make(base_str_t instance, base_str_t incarnation);
guint route_ident_hash(gconstpointer ident);
gboolean route_ident_equal(gconstpointer a, gconstpointer b);
route_ep_t *route_find_ep(const route_pool_t *pool, const route_ident_t *ident);

/* route_probe.c */
void route_probe_assign(route_t *route, route_pool_t *pool);

/* route_stats.c */
void route_count_submit(route_request_t *req);
void route_count_start(route_request_t *req, int64_t now);
void route_count_run(route_request_t *req, int64_t us);
void route_count_end(route_request_t *req, const route_end_t *end);

/* route.c */
void route_finish(route_t *route, route_request_t *req, route_reason_t reason);
void route_dispatch(route_t *route, route_pool_t *pool, int64_t now);

#endif
