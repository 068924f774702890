/*
 * entry_int - what the files of this package share.
 */
#ifndef ENTRY_INT_H
#define ENTRY_INT_H

#include <civetweb.h>
#include <stdatomic.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "entry.h"
#include "route.h"
#include "site_config.h"

/*
 * entry_lock - a lock that each request takes for less than a microsecond:
 * who finds it taken spins for a moment before it sleeps.
 */
void entry_lock_init(pthread_mutex_t *lock);

/*
 * entry_view - the configuration in force and the endpoints of each pool.
 *
 * A view does not change; a new one takes its place.  Holders count.
 */
typedef struct entry_endpoint {
	char *id; /* of the instance */
	char *incarnation;
	char *zone;
	char *rack;
	char *address; /* IP number */
	int port;
	plat_state_t state;
} entry_endpoint_t;

typedef struct entry_pool {
	const conf_pool_t *conf;
	entry_endpoint_t *endpoints;
	size_t endpoint_count;
} entry_pool_t;

/* How many of its endpoints are live. */
int entry_pool_live(const entry_pool_t *pool);

/*
 * How many more its budget lets out: what is live above min_up after the loss
 * of the fullest failure domain; negative when that would break it.
 */
int entry_pool_room(const entry_pool_t *pool);

typedef struct entry_config entry_config_t;

typedef struct entry_view {
	atomic_int holders;
	entry_config_t *config; /* NULL: none yet */
	conf_record_t *record;	/* of config */
	base_str_t text;	/* of the record, as it stands in the store */
	entry_pool_t *pools;	/* in the order of the configuration */
	size_t pool_count;
	bool owned;		      /* some records are known */
	struct entry_owner *cordoned; /* those that drain */
	size_t cordoned_count;
} entry_view_t;

typedef struct entry_views entry_views_t;

entry_views_t *entry_views_new(const void *ctx);

/* The view in force, held until entry_view_release(). */
entry_view_t *entry_view_hold(entry_views_t *views);
void entry_view_release(entry_view_t *view);

/*
 * Put a configuration in force if its generation is higher than the present
 * one's.  "text" is the record as it stands in the store.
 */
bool entry_views_take_config(entry_views_t *views, base_str_t text, bool *newer,
			     GError **err);

/* Take a new list of instances. */
void entry_views_take_list(entry_views_t *views,
			   const plat_instances_t *instances);

/* Who owns an instance, from the fleet's records. */
typedef struct entry_owner {
	const char *id;
	uint64_t inc;
	const char *pool; /* NULL: nobody */
	bool serves;	  /* may be sent new work */
	bool cordoned;	  /* drains */
	uint64_t seq;	  /* of its record */
} entry_owner_t;

/* Take the records in place of those before. */
void entry_views_take_owners(entry_views_t *views, const entry_owner_t *owners,
			     size_t n);

/* The pool of that service in "view", or NULL. */
const entry_pool_t *entry_view_pool(const entry_view_t *view,
				    base_str_t service);

/*
 * entry_message - one HTTP message, whole in memory.
 */
typedef struct entry_header {
	char *name;
	char *value;
} entry_header_t;

typedef struct entry_message {
	int status; /* of an answer */
	entry_header_t *headers;
	size_t header_count;
	base_buf_t *body;
} entry_message_t;

/*
 * entry_request - what a caller asked for.
 */
#define ENTRY_ID_MAX 64 /* bytes of a request's id, with its NUL */

typedef struct entry_request {
	char id[ENTRY_ID_MAX]; /* X-Request-Id */
	char key[128];	       /* Idempotency-Key or "" */
	char caller[64];
	const char *method;
	char *target; /* path and query as sent */
	base_str_t service;
	base_str_t path; /* below the service */
	bool repeatable;
	int64_t arrived;  /* microseconds, monotonic */
	int64_t deadline; /* the same clock */
	const conf_class_t *class;
	entry_message_t message;
	struct entry_claim *claim; /* that it holds; NULL without one */
} entry_request_t;

/* An id that no other request has, of this process or another. */
void entry_id_make(char out[ENTRY_ID_MAX]);

typedef enum entry_outcome {
	ENTRY_ANSWERED,
	ENTRY_NOT_RUN,
	ENTRY_UNKNOWN,
	ENTRY_OUTCOME_MAX
} entry_outcome_t;

const char *entry_outcome_name(entry_outcome_t outcome);

/*
 * How one attempt on one endpoint ended.
 */
typedef enum entry_attempt {
	ENTRY_ATTEMPT_ANSWERED, /* the answer is whole */
	ENTRY_ATTEMPT_REFUSED,	/* by the endpoint, before it started */
	ENTRY_ATTEMPT_CONNECT,	/* no connection, no byte written */
	ENTRY_ATTEMPT_FAILED,	/* broke after the first byte */
	ENTRY_ATTEMPT_CUT,	/* the answer was cut short */
	ENTRY_ATTEMPT_TIMEOUT,	/* no answer in time */
	ENTRY_ATTEMPT_LARGE,	/* the answer passes the limit */
	ENTRY_ATTEMPT_MAX
} entry_attempt_t;

/*
 * entry_forward - sends a request to an endpoint over kept connections.
 */
typedef struct entry_forward entry_forward_t;

typedef struct entry_forward_options {
	const entry_endpoint_t *endpoint;
	const entry_request_t *request;
	int64_t answer_max; /* bytes */
	int connections;    /* that may be open to the endpoint */
	bool fresh;	    /* on a new connection */
} entry_forward_options_t;

entry_forward_t *entry_forward_new(const void *ctx);

/* One attempt; the answer is a child of "ctx". */
entry_attempt_t entry_forward_send(entry_forward_t *forward, const void *ctx,
				   const entry_forward_options_t *options,
				   entry_message_t *answer);

/* The value of a header, or NULL. */
const char *entry_header(const entry_message_t *message, const char *name);

/* Close kept connections that have been idle too long. */
void entry_forward_expire(entry_forward_t *forward, int64_t now);

/*
 * entry_http - reading and writing on the callers' port.
 */

/*
 * Read a request below "ctx".  On a fault NULL, and an answer was sent.
 */
entry_request_t *entry_http_read(const void *ctx, struct mg_connection *conn,
				 const entry_view_t *view);

/* Append one header line. */
void entry_http_add(base_buf_t *out, const char *name, const char *value);

void entry_http_add_length(base_buf_t *out, size_t bytes);

/* Send an endpoint's answer with the outcome's headers. */
void entry_http_answer(struct mg_connection *conn,
		       const entry_request_t *request,
		       const entry_message_t *answer, bool last);

/* Tell a refusal or an unknown outcome. */
typedef struct entry_refusal {
	entry_outcome_t outcome;
	int status;
	const char *reason;
	int retry_after_s; /* 0: none told */
	bool last;	   /* close the connection afterwards */
} entry_refusal_t;

void entry_http_refuse(struct mg_connection *conn, const char *request_id,
		       const entry_refusal_t *refusal);

/*
 * entry_route - admission, choice of endpoint and retries.
 */
#define ENTRY_ENTRIES_MAX 8 /* entries that a site's balancer may have */
#define ENTRY_ANSWER_MAX (4 * 1024 * 1024) /* bytes */
#define ENTRY_PROBES_MAX 16		   /* endpoints handed out at once */
#define ENTRY_PROBE_DUTIES 3

typedef struct entry_daemon entry_daemon_t;
struct entry_memb;
struct entry_claims;
typedef struct entry_route entry_route_t;
typedef struct entry_fleet entry_fleet_t;
typedef struct entry_jobs entry_jobs_t;

typedef struct entry_verdict {
	entry_outcome_t outcome;
	const char *reason;
	int retry_after_ms;
} entry_verdict_t;

entry_route_t *entry_route_new(entry_daemon_t *daemon);

/* Put the view in force into the core; any thread. */
void entry_route_apply(entry_route_t *route);

/* Queue, send and retry; returns when the request is over. */
entry_verdict_t entry_route_run(entry_route_t *route, entry_request_t *request,
				entry_message_t *answer);

/* Who shares the pools, as membership sees it. */
void entry_route_entries(entry_route_t *route, const route_entry_t *entries,
			 size_t n);

/* Any signal that an identity is leaving; true if it was news. */
bool entry_route_leaving(entry_route_t *route, base_str_t instance,
			 base_str_t incarnation);

/* What to probe now, strings below "ctx", and what came of it. */
typedef struct entry_probe {
	entry_endpoint_t endpoint; /* without zone and state */
	int connections;	   /* that may be open to it */
} entry_probe_t;

size_t entry_route_probes(entry_route_t *route, const void *ctx, bool own_zone,
			  entry_probe_t *due, size_t max);
void entry_route_probed(entry_route_t *route, const entry_endpoint_t *endpoint,
			route_probe_t result);

/* Requests that run at an identity through this entry. */
int entry_route_running(entry_route_t *route, base_str_t instance,
			base_str_t incarnation);

/* Visit the core's counters; requests go on between some and the next. */
void entry_route_visit(entry_route_t *route, const route_visitor_t *visitor);

/* Visit its pools under its lock. */
void entry_route_each_pool(entry_route_t *route,
			   void (*visit)(void *, const route_pool_stats_t *),
			   void *arg);

/* Append the core's counters and histograms. */
void entry_metrics_route(entry_daemon_t *daemon, base_buf_t *out);

/*
 * entry_daemon - what the services of one process share.
 */
struct entry_daemon {
	const entry_settings_t *settings;
	const base_log_t *log;
	kern_t *kern;
	entry_views_t *views;
	entry_forward_t *forward;
	plat_guard_t *guard; /* all calls to the store */
	plat_list_t *list;
	char incarnation[24];	/* of this process */
	atomic_int draining;	/* planned stop has begun */
	atomic_llong owned_at;	/* when it could have been ready, us */
	atomic_int claims_held; /* it was waited for */
	atomic_int in_flight;	/* requests on the callers' port */
	atomic_ullong outcomes[ENTRY_OUTCOME_MAX];
	struct mg_context *operators_http;
	struct mg_context *caller_http;
	int64_t config_seen; /* mod_revision; the config duty's own */
	atomic_ullong config_news[SITE_NEWS_MAX]; /* reads of the store */
	kern_duty_t *config_duty;
	kern_duty_t *list_duty;
	int64_t config_read; /* when the store was asked last; its duty's */
	atomic_int store_down;
	atomic_int list_down;
	struct entry_memb *memb;     /* entry_memb.h */
	struct entry_claims *claims; /* entry_claim.h */
	entry_route_t *route;
	kern_duty_t *probes[ENTRY_PROBE_DUTIES];
	entry_fleet_t *fleet;
	entry_jobs_t *jobs;
};

/* Services in the order of their start; entry_services.c. */
bool entry_services_register(entry_daemon_t *daemon, GError **err);

extern const kern_service_ops_t entry_memb_ops;
extern const kern_service_ops_t entry_platform_ops;
extern const kern_service_ops_t entry_operators_ops;
extern const kern_service_ops_t entry_route_ops;
extern const kern_service_ops_t entry_fleet_ops;
extern const kern_service_ops_t entry_jobs_ops;
extern const kern_service_ops_t entry_probe_ops;
extern const kern_service_ops_t entry_claim_ops;
extern const kern_service_ops_t entry_caller_ops;

/*
 * Put the record "text" that came from "source" ("store" or an entry) in
 * force if it is newer.  False: refused, the old one stays.  Any thread.
 */
bool entry_take_config(entry_daemon_t *daemon, base_str_t text,
		       const char *source);

/*
 * Claims: a request that is not repeatable and has a key.
 */
struct entry_claims *entry_claims_new(entry_daemon_t *daemon);

/*
 * An endpoint said that it leaves: give it no more work and tell the other
 * entries, if it is news or is to be told "again".
 */
void entry_leaving_heard(entry_daemon_t *daemon, const char *instance,
			 const char *incarnation, bool again);

/* Take the claim, then run; or tell why not, or what was answered before. */
entry_verdict_t entry_claim_run(entry_daemon_t *daemon,
				entry_request_t *request,
				entry_message_t *answer);

/* Record the answer, after it was told. */
void entry_claim_answered(entry_daemon_t *daemon,
			  const entry_request_t *request,
			  const entry_message_t *answer);

/* To be asked right before a first byte goes out. */
bool entry_claim_may_write(const entry_request_t *request);

/* Give what this entry homes to others, and tell them so; it drains. */
void entry_claim_leave(entry_daemon_t *daemon);

/* Whether this entry homes its part of the claims and has copied it. */
bool entry_claim_listed(entry_daemon_t *daemon);

/* Whether others home all of it. */
bool entry_claim_handed_over(const entry_daemon_t *daemon);

/* The page of the callers' port that issues a ticket. */
int entry_claim_ticket_page(struct mg_connection *conn, entry_daemon_t *daemon);

void entry_metrics_claim(entry_daemon_t *daemon, base_buf_t *out);

/* The duty "jobs", not started. */
entry_jobs_t *entry_jobs_new(entry_daemon_t *daemon);

/* The operators' pages about jobs; entry_jobs_pages.c. */
int entry_jobs_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_jobs_explain_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_jobs_cancel_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_jobs_release_page(struct mg_connection *conn, entry_daemon_t *daemon);

/* Append the jobs by state, while this entry holds their duty. */
void entry_metrics_jobs(entry_daemon_t *daemon, base_buf_t *out);

/* Answer one request whole; returns the status, never 0. */
typedef int (*entry_serve_t)(struct mg_connection *conn);

/* One page of a port. */
typedef struct entry_page {
	const char *path; /* the whole of it */
	int (*serve)(struct mg_connection *conn, entry_daemon_t *daemon);
	bool open; /* to those without the operators' key */
} entry_page_t;

/* Start a listener whose requests "serve" answers; the error names the port. */
struct mg_context *entry_listen(const entry_listen_t *listen,
				entry_serve_t serve, entry_daemon_t *daemon,
				int64_t keep_alive_ms, GError **err);

/* The entry at whose port the request came in. */
entry_daemon_t *entry_listen_daemon(const struct mg_connection *conn);

/* The page that the request asks for, or NULL. */
const entry_page_t *entry_page_find(const entry_page_t *pages, size_t n,
				    const struct mg_connection *conn);

/* Send "text" as an answer of the operators' port. */
int entry_operators_answer(struct mg_connection *conn, int status,
			   const char *type, base_str_t text);

#endif
