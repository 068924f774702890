/*
 * route_int - what the files of this package share.
 */
#ifndef ROUTE_INT_H
#define ROUTE_INT_H

#include <math.h>
#include <string.h>

#include "route.h"

#define CREDIT_MAX 16.0	  /* requests that a class is owed */
#define CREDIT_MIN (-8.0) /* requests that a class owes */
#define RETRY_BURST 10.0  /* retries that a quiet pool may save up */
#define ATTEMPTS_MAX 3	  /* of one request */
#define WAIT_FRACTION                                                          \
	0.4		   /* of its time that a new request may have to queue \
			    */
#define QUEUE_FRACTION 0.5 /* of its time that a request is let queue */
#define CAP_HOLD_MIN_US (10 * BASE_MS) /* of what an endpoint refused */
#define CAP_HOLD_MAX_US (500 * BASE_MS)
#define CONTESTED_US (1 * BASE_SEC) /* after a refusal */
#define CONTESTED_PART                                                       \
	0.85 /* of its even share up to which an entry takes contested slots \
	      * of other zones */
#define LIMIT_WINDOW_US (100 * BASE_MS)
#define LIMIT_SAMPLES 8 /* answers that a window needs */
#define REFUSALS_MAX 8	/* attempts of a request that are refused */
#define CONN_HOLD_US (30 * BASE_SEC) /* before a leaver's share is used */
#define EJECT_FAILURES 3	     /* in a row */
#define EJECT_US (1 * BASE_SEC)
#define EJECT_US_MAX (30 * BASE_SEC)
#define EJECT_FRACTION 0.7     /* of a pool's endpoints */
#define RAMP_US (5 * BASE_SEC) /* slow start of a returning endpoint */
#define RAMP_MIN 0.1
#define SCAN_MAX 16	 /* endpoints of a zone that are all compared */
#define PROBE_PART 16	 /* one in so many connections is kept for probes */
#define PROBE_FAILURES 2 /* in a row */
#define PROBES_FULL 200	 /* endpoints that are probed at the full rate */
#define TOMBSTONE_US (3600 * BASE_SEC)

typedef enum route_health {
	HEALTH_OK,
	HEALTH_EJECTED,
	HEALTH_TRIAL, /* one request at a time */
	HEALTH_MAX
} route_health_t;

/* An endpoint's identity with its digest, so that one is found in all pools. */
typedef struct route_ident {
	guint digest;
	base_str_t instance;
	base_str_t incarnation;
} route_ident_t;

typedef struct route_ep {
	route_endpoint_t pub;
	route_ident_t ident; /* of "pub" */
	struct route_pool *pool;
	bool local;  /* in the entry's own zone */
	bool listed; /* in the newest view */
	route_health_t health;
	int running;
	int failures; /* in a row */
	int ejections;
	int probe_failures;
	int64_t ejected_until;
	int64_t ramp_from; /* 0: no slow start */
	int64_t probe_at;
	double latency_us; /* moving mean of answers */
	/* after it refused: no more than "cap" at once for a while */
	int cap;
	int64_t cap_until;
	int64_t cap_hold;
	int64_t contested_until; /* it refused of late */
} route_ep_t;

typedef struct route_flow {
	struct route_class *cls;
	struct route_caller *caller;
	route_request_t *head, *tail;
	int queued;
	int heap_at;	      /* -1: not backlogged */
	double start, finish; /* virtual time */
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
	double run_us; /* moving mean */
	double rate;   /* starts a second, moving mean while backlogged */
	int started;   /* in this window */
	int queued;
	double active_weight; /* of the backlogged flows */
	route_flow_t **heap;
	size_t heap_n;
	route_flow_t **flows; /* by caller id; NULL until seen */
	size_t n_flows;
	route_counts_t counts;
	base_hist_t *wait, *run;
} route_class_t;

typedef struct route_pool {
	route_pool_conf_t conf;
	bool retired;
	bool viewed;
	uint64_t version;
	GPtrArray *eps;	      /* all that are listed or still at work */
	GHashTable *by_ident; /* the same, by route_ident_t */
	GPtrArray *mine;      /* of these, ours to probe */
	GPtrArray *near;      /* may get work, own zone */
	GPtrArray *far;	      /* may get work, other zones */
	GPtrArray *classes;   /* most urgent first */
	double weight;	      /* of its classes */
	int running, queued;
	int64_t queued_bytes;
	double tokens; /* for retries */
	uint64_t retries, retries_denied;
	/* what the endpoints take */
	double share;	 /* even share of the declared slots */
	double gain;	 /* what the endpoints take of it, as learnt */
	double limit;	 /* from both and the present latency */
	double base_us;	 /* unloaded latency, moving mean */
	double run_us;	 /* latency, moving mean */
	double sum_us;	 /* of this window */
	double load_sum; /* running, summed over answers */
	int samples;
	int learnt;	  /* samples, until they are enough */
	double sum_first; /* of these */
	bool limited;	  /* the limit held something back in this window */
	int refused;	  /* by endpoints, in this window */
	int64_t window;
	route_ep_t *freed; /* whose answer is being dealt with */
} route_pool_t;

struct route {
	route_options_t opt;
	base_rng_t rng;
	GPtrArray *pools, *classes, *callers;
	GPtrArray *by_name; /* callers in the order of their names */
	GHashTable *left;   /* instance -> route_tombstone_t */
	route_entry_t *entries;
	size_t n_entries;
	int peers_near;	       /* entries in our zone, this one included */
	int divisor;	       /* shares of the connections */
	int64_t divisor_until; /* not smaller before */
	int64_t probe_us;      /* between two probes of an endpoint */
	int held;
	int64_t queued_bytes;
};

/* route_conf.c */
route_pool_t *route_pool(const route_t *route, base_str_t name);
route_flow_t *route_flow(route_t *route, route_class_t *cls, uint32_t caller);

/* route_queue.c */
void route_queue_add(route_t *route, route_request_t *req);
void route_queue_again(route_t *route, route_request_t *req);
void route_queue_remove(route_t *route, route_request_t *req);
route_request_t *route_queue_next(const route_pool_t *pool);
void route_queue_charge(route_pool_t *pool, route_request_t *req);
void route_queue_refund(route_pool_t *pool, route_request_t *req);
double route_queue_wait(const route_pool_t *pool, const route_request_t *req);
route_request_t *route_queue_victim(const route_pool_t *pool);

/* route_limit.c */
void route_limit_share(const route_t *route, route_pool_t *pool);
double route_limit_now(const route_pool_t *pool);
void route_limit_sample(const route_t *route, route_pool_t *pool,
			route_ep_t *ep, int64_t us);
void route_limit_refused(route_pool_t *pool);
void route_limit_window(const route_t *route, route_pool_t *pool, int64_t now);

/* route_choice.c */
route_ep_t *route_choose(route_t *route, route_pool_t *pool,
			 const route_request_t *req, int64_t now);
void route_ep_failed(const route_t *route, route_ep_t *ep, int64_t now);
void route_ep_refused(route_ep_t *ep, int64_t now);
void route_ep_worked(const route_t *route, route_ep_t *ep, int64_t now);
void route_ep_readmit(route_pool_t *pool);
int route_conn_share(const route_t *route, const route_pool_t *pool,
		     int64_t now);

/* route_view.c */
void route_pool_reindex(route_t *route, route_pool_t *pool);
bool route_ep_usable(const route_ep_t *ep);
route_ident_t route_ident(base_str_t instance, base_str_t incarnation);
guint route_ident_hash(gconstpointer ident);
gboolean route_ident_equal(gconstpointer a, gconstpointer b);
route_ep_t *route_ep(const route_pool_t *pool, const route_ident_t *ident);

/* route_probe.c */
void route_probe_assign(route_t *route, route_pool_t *pool);

/* route_stats.c */
void route_count_submit(route_request_t *req);
void route_count_start(route_request_t *req, int64_t now);
void route_count_run(route_request_t *req, int64_t us);
void route_count_end(route_request_t *req, const route_end_t *end);

/* route.c */
void route_finish(route_t *route, route_request_t *req, route_reason_t why);
void route_dispatch(route_t *route, route_pool_t *pool, int64_t now);

#endif
