/*
 * entry_int - declarations shared by the files of this package.
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
 * entry_lock - a mutex for short critical sections.
 *
 * Each request takes it for less than a microsecond, so a thread that finds it
 * locked spins briefly before it sleeps.
 */
void entry_lock_init(pthread_mutex_t *lock);

/*
 * entry_view - the configuration in force and the endpoints of each pool.
 *
 * A view is immutable and reference-counted; a change installs a new one.
 */
typedef struct entry_endpoint {
	char *id; /* instance id */
	char *incarnation;
	char *zone;
	char *rack;
	char *address; /* numeric IPv4 address */
	int port;
	plat_state_t state;
} entry_endpoint_t;

typedef struct entry_pool {
	const conf_pool_t *conf;
	entry_endpoint_t *endpoints;
	size_t endpoint_count;
} entry_pool_t;

/* Number of live endpoints. */
int entry_pool_live_count(const entry_pool_t *pool);

/*
 * How many more endpoints the pool's budget lets go out of service: those live
 * above min_up, less those lost with the fullest failure domain that the budget
 * must survive.  Negative when that loss would break the budget.
 */
int entry_pool_headroom(const entry_pool_t *pool);

typedef struct entry_config entry_config_t;

typedef struct entry_view {
	atomic_int ref_count;
	entry_config_t *config; /* NULL: no configuration yet */
	conf_record_t *record;	/* parsed record of "config" */
	base_str_t text;	/* text of the record, as stored */
	entry_pool_t *pools;	/* in configuration order */
	size_t pool_count;
	/* Whether any record that assigns an instance to a pool is known. */
	bool has_owner_records;
	struct entry_owner *cordoned; /* instances that are being drained */
	size_t cordoned_count;
} entry_view_t;

typedef struct entry_views entry_views_t;

entry_views_t *entry_views_new(const void *ctx);

/* The current view; the reference is dropped by entry_view_release(). */
entry_view_t *entry_view_hold(entry_views_t *views);
void entry_view_release(entry_view_t *view);

/*
 * Install a configuration if its generation is higher than the current one's;
 * "*newer" says whether it was.  "text" is the record as stored.  Returns false
 * and an error if the record is invalid.
 */
bool entry_views_set_config(entry_views_t *views, base_str_t text, bool *newer,
			    GError **err);

/* Replace the list of instances. */
void entry_views_set_list(entry_views_t *views,
			  const plat_instances_t *instances);

/* Owner of an instance, from the fleet's records. */
typedef struct entry_owner {
	const char *id;
	uint64_t inc;	  /* incarnation */
	const char *pool; /* NULL: no owner */
	bool serves;	  /* whether it may be sent new requests */
	bool cordoned;	  /* whether it is being drained */
	uint64_t seq;	  /* sequence number of the instance's record */
} entry_owner_t;

/* Replace the ownership records. */
void entry_views_set_owners(entry_views_t *views, const entry_owner_t *owners,
			    size_t n);

/* The pool of "service" in "view", or NULL. */
const entry_pool_t *entry_view_pool(const entry_view_t *view,
				    base_str_t service);

/*
 * entry_message - one HTTP message, held completely in memory.
 */
typedef struct entry_header {
	char *name;
	char *value;
} entry_header_t;

typedef struct entry_message {
	int status; /* HTTP status of an answer; 0: not an answer */
	entry_header_t *headers;
	size_t header_count;
	base_buf_t *body;
} entry_message_t;

/*
 * entry_request - a request of a caller.
 */
#define ENTRY_ID_MAX 64 /* bytes of a request's id, with its NUL */

typedef struct entry_request {
	char id[ENTRY_ID_MAX]; /* X-Request-Id */
	char key[128];	       /* Idempotency-Key or "" */
	char caller[64];
	const char *method;
	char *target; /* path and query as sent */
	base_str_t service;
	base_str_t path; /* after the segment that names the service */
	bool repeatable;
	int64_t arrived;  /* time of arrival; monotonic, microseconds */
	int64_t deadline; /* on the clock of "arrived" */
	const conf_class_t *class;
	entry_message_t message;
	struct entry_claim *claim; /* NULL: the request needs none */
} entry_request_t;

/* Make a request id that is unique across processes. */
void entry_id_make(char out[ENTRY_ID_MAX]);

typedef enum entry_outcome {
	ENTRY_ANSWERED,
	ENTRY_NOT_RUN,
	ENTRY_UNKNOWN,
	ENTRY_OUTCOME_MAX
} entry_outcome_t;

const char *entry_outcome_name(entry_outcome_t outcome);

/*
 * How one attempt at one endpoint ended.
 */
typedef enum entry_attempt {
	ENTRY_ATTEMPT_ANSWERED, /* the answer is complete */
	/* the endpoint refused before it ran the request */
	ENTRY_ATTEMPT_REFUSED,
	ENTRY_ATTEMPT_CONNECT,	 /* no connection, no byte sent */
	ENTRY_ATTEMPT_FAILED,	 /* error after the first byte was sent */
	ENTRY_ATTEMPT_TRUNCATED, /* the answer was truncated */
	ENTRY_ATTEMPT_TIMEOUT,	 /* no complete answer by the deadline */
	ENTRY_ATTEMPT_TOO_LARGE, /* the answer exceeds the size limit */
	ENTRY_ATTEMPT_MAX
} entry_attempt_t;

/*
 * entry_forward - sends requests to endpoints over persistent connections.
 */
typedef struct entry_forward entry_forward_t;

typedef struct entry_forward_options {
	const entry_endpoint_t *endpoint;
	const entry_request_t *request;
	int64_t answer_max; /* bytes */
	/* Limit of connections open to the endpoint. */
	int connection_limit;
	bool new_connection; /* do not reuse an idle connection */
} entry_forward_options_t;

entry_forward_t *entry_forward_new(const void *ctx);

/* Make one attempt; the answer is allocated below "ctx". */
entry_attempt_t entry_forward_send(entry_forward_t *forward, const void *ctx,
				   const entry_forward_options_t *options,
				   entry_message_t *answer);

/* The value of a header, or NULL; case of the name is ignored. */
const char *entry_header(const entry_message_t *message, const char *name);

/* Close connections that have been idle too long. */
void entry_forward_expire(entry_forward_t *forward, int64_t now);

/*
 * entry_http - reads requests and writes answers on the callers' port.
 */

/*
 * Read a request; it is allocated below "ctx".  On failure returns NULL, and
 * the request has been answered.
 */
entry_request_t *entry_http_read(const void *ctx, struct mg_connection *conn,
				 const entry_view_t *view);

/* Append one header line. */
void entry_http_add_header(base_buf_t *out, const char *name,
			   const char *value);

void entry_http_add_length(base_buf_t *out, size_t bytes);

/*
 * Send an endpoint's answer with the headers of the request id and the outcome.
 * "last" closes the connection afterwards.
 */
void entry_http_answer(struct mg_connection *conn,
		       const entry_request_t *request,
		       const entry_message_t *answer, bool last);

/*
 * An answer that this entry makes itself, because the request was not run or
 * its outcome is unknown.
 */
typedef struct entry_refusal {
	entry_outcome_t outcome;
	int status;
	const char *reason;
	int retry_after_s; /* 0: no Retry-After header */
	bool close_after;  /* close the connection afterwards */
} entry_refusal_t;

void entry_http_refuse(struct mg_connection *conn, const char *request_id,
		       const entry_refusal_t *refusal);

/*
 * entry_route - admission, choice of endpoint and retries.
 */
#define ENTRY_ENTRIES_MAX 8 /* limit of the entries of one site */
#define ENTRY_ANSWER_MAX (4 * 1024 * 1024) /* bytes */
/* Limit of the endpoints that one call returns. */
#define ENTRY_PROBES_MAX 16
#define ENTRY_PROBE_DUTIES 3

typedef struct entry_daemon entry_daemon_t;
struct entry_memb;
struct entry_claims;
typedef struct entry_route entry_route_t;
typedef struct entry_fleet entry_fleet_t;
typedef struct entry_jobs entry_jobs_t;

/* How a request ended; "reason" goes into X-Cactusfield-Reason. */
typedef struct entry_verdict {
	entry_outcome_t outcome;
	const char *reason;
	int retry_after_ms;
} entry_verdict_t;

entry_route_t *entry_route_new(entry_daemon_t *daemon);

/* Pass the current view to the routing core.  May be called by any thread. */
void entry_route_apply(entry_route_t *route);

/* Queue, send and retry a request; returns when it has ended. */
entry_verdict_t entry_route_run(entry_route_t *route, entry_request_t *request,
				entry_message_t *answer);

/* Set the entries that share the pools, as membership sees them. */
void entry_route_set_entries(entry_route_t *route, const route_entry_t *entries,
			     size_t n);

/* Note that an instance's incarnation leaves; true if that was not known. */
bool entry_route_mark_leaving(entry_route_t *route, base_str_t instance,
			      base_str_t incarnation);

/* An endpoint to probe. */
typedef struct entry_probe {
	entry_endpoint_t endpoint; /* zone, rack and state are not set */
	int connection_limit;	   /* limit of connections open to it */
} entry_probe_t;

/*
 * List up to "max" endpoints that are due for a probe, with strings below
 * "ctx".  Returns their number.  entry_route_probe_done() reports each result.
 */
size_t entry_route_take_due_probes(entry_route_t *route, const void *ctx,
				   bool own_zone, entry_probe_t *due,
				   size_t max);
void entry_route_probe_done(entry_route_t *route,
			    const entry_endpoint_t *endpoint,
			    route_probe_result_t result);

/* Number of requests of this entry that run at an instance's incarnation. */
int entry_route_running_count(entry_route_t *route, base_str_t instance,
			      base_str_t incarnation);

/*
 * Visit the core's counters in batches; the lock is released between batches
 * so that requests proceed.
 */
void entry_route_visit(entry_route_t *route, const route_visitor_t *visitor);

/* Visit the core's pools; the lock is held throughout. */
void entry_route_each_pool(entry_route_t *route,
			   void (*visit)(void *, const route_pool_stats_t *),
			   void *arg);

/* Append the core's counters and histograms. */
void entry_metrics_route(entry_daemon_t *daemon, base_buf_t *out);

/*
 * entry_daemon - state shared by the services of one process.
 */
struct entry_daemon {
	const entry_settings_t *settings;
	const base_log_t *log;
	kern_t *kern;
	entry_views_t *views;
	entry_forward_t *forward;
	plat_guard_t *guard; /* limits all calls to the store */
	plat_list_t *list;
	char incarnation[24]; /* incarnation of this process */
	atomic_int draining;  /* 1: a planned stop has begun */
	/*
	 * Time when /readyz began to wait for this entry's slices of the
	 * claims, in microseconds; 0: it has not waited yet.
	 */
	atomic_llong claims_wait_start;
	/* 1: /readyz no longer waits for this entry's slices of the claims. */
	atomic_int claims_wait_over;
	atomic_int in_flight; /* callers' requests in progress */
	atomic_ullong outcomes[ENTRY_OUTCOME_MAX];
	struct mg_context *operators_http;
	struct mg_context *caller_http;
	/* mod_revision of the record read last; used only by config_duty. */
	int64_t config_revision;
	/* Reads of the configuration, indexed by site_config_update_kind_t. */
	atomic_ullong config_read_counts[SITE_UPDATE_MAX];
	kern_thread_t *config_duty;
	kern_thread_t *list_duty;
	/* Time of the last read of the store; used only by config_duty. */
	int64_t config_read_at;
	atomic_int store_down;	     /* 1: the last read of the store failed */
	atomic_int list_down;	     /* 1: the last call to the list failed */
	struct entry_memb *memb;     /* entry_memb.h */
	struct entry_claims *claims; /* entry_claim.h */
	entry_route_t *route;
	kern_thread_t *probes[ENTRY_PROBE_DUTIES];
	entry_fleet_t *fleet;
	entry_jobs_t *jobs;
};

/* Register all services in start order; entry_services.c. */
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
 * Install the configuration record "text", which came from "source" ("store" or
 * the id of an entry), if it is newer.  Returns false if the record is invalid;
 * the current configuration then stays.  May be called by any thread.
 */
bool entry_apply_config(entry_daemon_t *daemon, base_str_t text,
			const char *source);

/*
 * Claims, for requests that are not repeatable and have an Idempotency-Key.
 */
struct entry_claims *entry_claims_new(entry_daemon_t *daemon);

/*
 * Record that an endpoint announced that it leaves, so that it is sent no new
 * requests.  Notifies the other entries if this was not known yet or "again"
 * is set.
 */
void entry_leaving_notify(entry_daemon_t *daemon, const char *instance,
			  const char *incarnation, bool again);

/*
 * Take the claim and run the request.  Without the claim, return the reason or
 * the recorded answer of an earlier run.
 */
entry_verdict_t entry_claim_run(entry_daemon_t *daemon,
				entry_request_t *request,
				entry_message_t *answer);

/* Record the answer at the claim's home and backup, after it was sent. */
void entry_claim_record_answer(entry_daemon_t *daemon,
			       const entry_request_t *request,
			       const entry_message_t *answer);

/*
 * Whether the claim, if any, still covers the request.  To be called right
 * before the first byte is sent to an endpoint.
 */
bool entry_claim_may_write(const entry_request_t *request);

/*
 * Start the hand-over of the slices that this entry homes; to be called once
 * "draining" is set.
 */
void entry_claim_leave(entry_daemon_t *daemon);

/*
 * Whether the adopted epoch of the claims lists this entry and the entry has
 * copied its slices.
 */
bool entry_claim_is_ready(entry_daemon_t *daemon);

/*
 * Whether other entries are the home of all slices, or there is no other
 * entry.  A planned stop waits until this is true.
 */
bool entry_claim_handed_over(const entry_daemon_t *daemon);

/* Page of the callers' port that issues a ticket. */
int entry_claim_ticket_page(struct mg_connection *conn, entry_daemon_t *daemon);

void entry_metrics_claim(entry_daemon_t *daemon, base_buf_t *out);

/* Create the jobs duty; its service starts it. */
entry_jobs_t *entry_jobs_new(entry_daemon_t *daemon);

/* The operators' pages about jobs; entry_jobs_pages.c. */
int entry_jobs_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_jobs_explain_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_jobs_cancel_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_jobs_release_page(struct mg_connection *conn, entry_daemon_t *daemon);

/* Append the metrics of jobs, while this entry holds the jobs duty. */
void entry_metrics_jobs(entry_daemon_t *daemon, base_buf_t *out);

/* Answer one request completely; returns the HTTP status, never 0. */
typedef int (*entry_serve_t)(struct mg_connection *conn);

/* One page of a port. */
typedef struct entry_page {
	const char *path; /* must match exactly */
	int (*serve)(struct mg_connection *conn, entry_daemon_t *daemon);
	bool without_key; /* served without the operators' key */
} entry_page_t;

/* Start a listener that calls "serve" for requests; an error names the port. */
struct mg_context *entry_listen(const entry_listen_t *listen,
				entry_serve_t serve, entry_daemon_t *daemon,
				int64_t keep_alive_ms, GError **err);

/* The daemon whose listener accepted the connection. */
entry_daemon_t *entry_listen_daemon(const struct mg_connection *conn);

/* The page whose path is the request's, or NULL. */
const entry_page_t *entry_page_find(const entry_page_t *pages, size_t n,
				    const struct mg_connection *conn);

/* Send an answer with "text" as its body; returns "status". */
int entry_operators_answer(struct mg_connection *conn, int status,
			   const char *type, base_str_t text);

#endif
