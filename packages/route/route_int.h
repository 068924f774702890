/*
 * route_int - declarations shared by the files of this package.
 */
#ifndef ROUTE_INT_H
#define ROUTE_INT_H

#include <math.h>
#include <string.h>

#include "route.h"

#define CREDIT_MAX 16.0	  /* credit limit of a class, in requests */
#define CREDIT_MIN (-8.0) /* overdraft limit of a class, in requests */
#define RETRY_BURST 10.0  /* limit of a pool's unused retry budget, retries */
#define ATTEMPTS_MAX 3	  /* attempts of one request, retries included */
/*
 * Parts of the time between submission and deadline: a request is refused if
 * its expected wait is longer, and ends as not run once it has queued for
 * longer.
 */
#define WAIT_FRACTION 0.4
#define QUEUE_FRACTION 0.5
/* How long a refusal caps an endpoint at the requests that it then ran. */
#define CAP_HOLD_MIN_US (10 * BASE_MS)
#define CAP_HOLD_MAX_US (500 * BASE_MS)
/*
 * An endpoint that refused a request counts as contested for this long: other
 * entries compete for its slots.
 */
#define CONTESTED_US (1 * BASE_SEC)
/*
 * An entry takes contested slots in other zones only while it runs less than
 * this part of its even share of the pool's slots (see route.h).
 */
#define CONTESTED_FRACTION 0.85
/* Shortest measurement window of the concurrency limit. */
#define LIMIT_WINDOW_US (100 * BASE_MS)
#define LIMIT_SAMPLES 8 /* answers that a window needs to change the limit */
#define REFUSED_ATTEMPTS_MAX 8 /* attempts before a refused request ends */
/* Delay before the other entries use a departed entry's connections. */
#define CONN_HOLD_US (30 * BASE_SEC)
#define EJECT_FAILURES 3	     /* consecutive failures until ejection */
#define EJECT_US (1 * BASE_SEC)	     /* first ejection; doubles each time */
#define EJECT_US_MAX (30 * BASE_SEC) /* longest ejection */
#define EJECT_FRACTION 0.7 /* largest part of a pool's endpoints ejected */
#define SLOW_START_US (5 * BASE_SEC) /* ramp of a new or returning endpoint */
#define SLOW_START_MIN 0.1	     /* part of its quota that it gets first */
/*
 * If the own zone, or the other zones together, have more endpoints than this,
 * two random ones are compared instead of all.
 */
#define SCAN_MAX 16
#define PROBE_CONN_DIVISOR 16	/* one connection in 16 is for probes */
#define PROBE_FAILURES 2	/* consecutive failed probes until ejection */
#define PROBES_AT_FULL_RATE 200 /* endpoints probed at the full rate */
/* How long a leaving identity is kept after it was last listed or reported. */
#define TOMBSTONE_TTL_US (3600 * BASE_SEC)

typedef enum route_health {
	HEALTH_OK,
	HEALTH_EJECTED,
	HEALTH_TRIAL, /* after an ejection; gets one request at a time */
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
	route_ident_t ident; /* the identity of "pub" */
	struct route_pool *pool;
	bool local;  /* in this entry's zone */
	bool listed; /* in the pool's newest list of endpoints */
	route_health_t health;
	int running;
	int failures;	    /* consecutive failed requests */
	int ejections;	    /* ejections since it was last stable */
	int probe_failures; /* consecutive failed probes */
	int64_t ejected_until_us;
	int64_t slow_start_us; /* when its slow start began; 0: none */
	int64_t next_probe_us;
	double latency_us; /* moving mean of the latency of answers */
	/* After a refusal, at most "cap" requests run until "cap_until_us". */
	int cap;
	int64_t cap_until_us;
	int64_t cap_hold_us;	    /* how long the latest cap holds */
	int64_t contested_until_us; /* end of CONTESTED_US after a refusal */
} route_ep_t;

/* The queue of one caller in one class. */
typedef struct route_flow {
	struct route_class *cls;
	struct route_caller *caller;
	route_request_t *head, *tail;
	int queued;
	int heap_index;		      /* index in the class's heap; -1: none */
	double start_tag, finish_tag; /* virtual times, see route_queue_add() */
	route_counts_t counts;
} route_flow_t;

typedef struct route_caller {
	char *name;
	uint32_t id;
	double weight;
	bool retired; /* no longer in the configuration */
	route_counts_t counts;
	base_hist_t *wait, *run;
} route_caller_t;

typedef struct route_class {
	route_class_conf_t conf;
	struct route_pool *pool;
	bool retired;	   /* no longer in the configuration */
	double credit;	   /* unused part of its share, in requests */
	double vtime;	   /* virtual time of the fair queueing */
	double run_us;	   /* moving mean of the run time */
	double start_rate; /* moving mean of the starts per second */
	int started;	   /* starts in the current window */
	int queued;
	double active_weight; /* sum of the weights of callers with requests */
	route_flow_t **heap;  /* flows with requests, least start tag first */
	size_t heap_len;
	route_flow_t **flows; /* by caller id; NULL before a first request */
	size_t n_flows;
	route_counts_t counts;
	base_hist_t *wait, *run;
} route_class_t;

typedef struct route_pool {
	route_pool_conf_t conf;
	bool retired;	       /* no longer in the configuration */
	bool has_list;	       /* a list of endpoints was set */
	uint64_t version;      /* version of that list */
	GPtrArray *eps;	       /* endpoints listed or with running requests */
	GHashTable *by_ident;  /* "eps" by route_ident_t */
	GPtrArray *probed;     /* endpoints that this entry probes */
	GPtrArray *local_eps;  /* live endpoints of the own zone */
	GPtrArray *remote_eps; /* live endpoints of the other zones */
	GPtrArray *classes;    /* most urgent first */
	double weight;	       /* sum of the weights of its classes */
	int running, queued;
	int64_t queued_bytes;
	double tokens; /* unused retry budget, in retries */
	uint64_t retries, retries_denied;
	/* The concurrency limit, see route_limit.c. */
	double share;	    /* this entry's even share of the declared slots */
	double gain;	    /* adaptive multiple of "share" */
	double limit;	    /* "share" times "gain", less at high latency */
	double idle_us;	    /* moving mean of the latency at low load */
	double run_us;	    /* moving mean of the latency */
	double sum_us;	    /* sum of the latencies in this window */
	double load_sum;    /* sum of the requests running at each answer */
	int samples;	    /* answers in this window */
	int warmup_samples; /* all answers, counted up to WARMUP_SAMPLES */
	double warmup_sum_us; /* sum of the latencies of those answers */
	bool is_limited;      /* a request had to wait in this window */
	int refusals;	      /* attempts refused in this window */
	int64_t window_start_us;
	route_ep_t *freed_ep; /* endpoint whose answer route_done() handles */
} route_pool_t;

struct route {
	route_options_t opt;
	base_rng_t rng;
	GPtrArray *pools, *classes, *callers;
	GPtrArray *by_name;	/* callers sorted by name */
	GHashTable *tombstones; /* leaving identity -> time last listed or
				   reported */
	route_entry_t *entries;
	size_t n_entries;
	int local_entries;	       /* entries in the own zone */
	int conn_divisor;	       /* entries that share the connections */
	int64_t conn_divisor_until_us; /* conn_divisor does not shrink before */
	int64_t probe_interval_us;     /* time between probes of an endpoint */
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
