/*
 * node_platform - the interface between a node and the platform it runs on.
 *
 * A platform adapter fills node_platform_t.  Each call invokes its callback
 * exactly once, from the loop; freeing the store or the link that a call was
 * made on cancels it without the callback.  Keys are NUL-terminated, values
 * are arbitrary bytes.
 */
#ifndef NODE_PLATFORM_H
#define NODE_PLATFORM_H

#include "batch.h"
#include "net.h"

/* The result of a call to the store. */
typedef enum node_store_status {
	NODE_STORE_OK,
	NODE_STORE_CONFLICT, /* a condition does not hold; nothing was done */
	NODE_STORE_MISSING,  /* no such key, or the lease ended; nothing done */
	NODE_STORE_COMPACTED, /* changes asked for are compacted: read again */
	NODE_STORE_REFUSED,   /* unavailable or rejected; nothing was done */
	NODE_STORE_UNKNOWN,   /* it may have taken effect, or may later */
	NODE_STORE_STATUS_MAX
} node_store_status_t;

typedef struct node_item {
	const char *key;
	base_str_t value;
	int64_t revision; /* of the last change of the key */
	bool removed;	  /* in a watch: the key was removed */
} node_item_t;

typedef struct node_answer {
	node_store_status_t store_status;
	const node_item_t *items; /* read, changed, or conflicting */
	size_t n_items;
	int64_t revision; /* of the store, or of the change */
	bool more;	  /* a list has another page */
	int64_t lease;	  /* id of a new lease */
	int64_t ttl;	  /* time to live granted, microseconds */
} node_answer_t;

typedef void node_answered_t(void *arg, const node_answer_t *answer);

typedef struct node_expect {
	const char *key;
	int64_t revision; /* 0: the key must not exist */
} node_expect_t;

typedef struct node_set {
	const char *key;
	base_str_t value;
	int64_t lease; /* 0: none */
} node_set_t;

/* A transaction; at most NODE_CHANGE_MAX conditions, sets and removals. */
#define NODE_CHANGE_MAX 32
typedef struct node_change {
	const node_expect_t *expects;
	size_t n_expects;
	const node_set_t *sets;
	size_t n_sets;
	const char *const *removes;
	size_t n_removes;
} node_change_t;

typedef struct node_store node_store_t;
typedef struct node_link node_link_t;

/* The result of an order to a worker. */
typedef enum node_order_status {
	NODE_ORDER_OK,
	NODE_ORDER_FENCED,    /* the worker has seen a higher term */
	NODE_ORDER_STALE_RUN, /* the worker knows this run number or higher */
	NODE_ORDER_LEASE_EXPIRED,  /* the lease in the order has expired */
	NODE_ORDER_NO_CAPACITY,	   /* not enough free capacity */
	NODE_ORDER_INVALID_TICKET, /* the ticket is missing or not valid */
	NODE_ORDER_REFUSED, /* unhealthy or malformed; nothing was done */
	NODE_ORDER_OTHER_INCARNATION, /* another worker process has that address
				       */
	NODE_ORDER_UNSENT,   /* it never left: its permit or time had ended */
	NODE_ORDER_NO_REPLY, /* the order may be carried out, now or later */
	NODE_ORDER_STATUS_MAX
} node_order_status_t;

/* A worker's report of its state. */
typedef struct node_poll_result {
	node_order_status_t order_status;
	int64_t clock;	     /* of the worker, microseconds; -1: not reported */
	int64_t incarnation; /* names the worker's process; -1: not reported */
	batch_listed_run_t *runs;
	size_t n_runs;
	batch_listed_end_t *ends;
	size_t n_ends;
	bool ends_truncated; /* the worker may have more ends than "ends" */
	bool is_unreached;   /* no connection to it could be opened */
} node_poll_result_t;

typedef void node_polled_t(void *arg, const node_poll_result_t *result);

typedef struct node_poll_request {
	int64_t term;
	int64_t lease; /* its end on the worker's clock; -1: unchanged */
	int64_t last_stored_end; /* the worker may forget ends up to this number
				  */
	int64_t wait;		 /* for a run to end, at most; microseconds */
	int64_t timeout;	 /* of this call, microseconds */
} node_poll_request_t;

/* A worker's entry in the platform's list. */
typedef struct node_worker_entry {
	batch_worker_info_t info;
	const char *address;
} node_worker_entry_t;

/* The state of an instance, which runs workers. */
typedef enum node_instance_state {
	NODE_INSTANCE_UP,
	NODE_INSTANCE_MOVING,
	NODE_INSTANCE_MAINTENANCE,
	NODE_INSTANCE_DOWN,
	NODE_INSTANCE_STATE_MAX
} node_instance_state_t;

typedef struct node_instance {
	const char *name;
	const char *pool;
	const char *worker; /* id of its current worker; empty: none */
	node_instance_state_t state;
} node_instance_t;

typedef struct node_instances {
	bool ok;
	const node_instance_t *list;
	size_t n;
	const char *next; /* token of the next page; NULL: the last one */
} node_instances_t;

typedef void node_instances_done_t(void *arg, const node_instances_t *list);

/* The result of an order to the platform about an instance. */
typedef enum node_instance_order_status {
	NODE_INSTANCE_ORDER_OK,	     /* done now or earlier */
	NODE_INSTANCE_ORDER_FENCED,  /* the platform has seen a higher term */
	NODE_INSTANCE_ORDER_BUSY,    /* the instance is not up, or is leaving */
	NODE_INSTANCE_ORDER_INVALID, /* not in that wave, or no such instance */
	NODE_INSTANCE_ORDER_REFUSED, /* throttled or unavailable; nothing was
					done */
	NODE_INSTANCE_ORDER_UNKNOWN, /* it may have been done */
	NODE_INSTANCE_ORDER_STATUS_MAX
} node_instance_order_status_t;

typedef void node_instance_ordered_t(void *arg,
				     node_instance_order_status_t status);

typedef void node_advised_t(void *arg, const batch_advice_t *advice);

/* A wave (a round of maintenance) that the operator requests. */
typedef struct node_wave {
	int64_t number;
	const char **instances;
	size_t n_instances;
	int64_t duration; /* microseconds */
	int at_most;	  /* limit of instances in maintenance at once */
} node_wave_t;

typedef struct node_route {
	base_str_t host;   /* empty: any */
	base_str_t prefix; /* of the path; ends in "/" */
	bool is_public;	   /* its calls need no key */
	batch_queue_info_t queue;
} node_route_t;

/* An access key, and the workspace that it belongs to. */
typedef struct node_access_key {
	base_str_t text;
	size_t workspace; /* index in the configuration's workspaces */
} node_access_key_t;

typedef struct node_config {
	int64_t version;
	node_route_t *routes;
	size_t n_routes;
	batch_pool_info_t *pools;
	size_t n_pools;
	/* Without it, calls need no key. */
	bool has_workspaces;
	batch_workspace_info_t *workspaces;
	size_t n_workspaces;
	node_access_key_t *keys;
	size_t n_keys;
	/* Routes, pools and workspaces that lack a name or a prefix. */
	size_t n_left_out;
} node_config_t;

/* The kind of a caller's request. */
typedef enum node_op {
	NODE_OP_SUBMIT,
	NODE_OP_STATE,
	NODE_OP_CANCEL,
	NODE_OP_PENDING,
	NODE_OP_MAX
} node_op_t;

typedef struct node_request {
	node_op_t job_op;
	base_str_t host;
	base_str_t path; /* up to the job's id */
	base_str_t id;	 /* empty with NODE_OP_PENDING */
	base_str_t body;
	base_str_t key;		/* the caller's access key; empty: none */
	int64_t caller_timeout; /* how long the caller waits, microseconds */
} node_request_t;

/*
 * A link's calls are sent only while the permits are valid; one that is dropped
 * ends as NODE_ORDER_UNSENT.
 */
typedef struct node_link_options {
	net_loop_t *loop;
	const char *address;
	const char *worker;
	net_permit_t orders; /* of starts and stops */
	net_permit_t polls;  /* and paces */
} node_link_options_t;

/* An order that is dropped ends as NODE_INSTANCE_ORDER_REFUSED. */
typedef struct node_instances_options {
	net_loop_t *loop;
	const char *address;
	const char *holder;  /* name of this entry */
	net_permit_t orders; /* of moves and maintenance */
	/* orders that the platform accepts a second, from all entries */
	double orders_per_s;
} node_instances_options_t;

typedef struct node_platform {
	/* Keys of the operator's configuration, its waves and the workers. */
	const char *config_key;
	const char *operator_prefix;
	const char *wave_prefix;
	const char *worker_prefix;

	node_store_t *(*store_new)(const void *ctx, net_loop_t *loop,
				   const char *address);
	void (*get)(node_store_t *store, const char *key, node_answered_t *done,
		    void *arg);
	void (*list)(node_store_t *store, const char *prefix, const char *after,
		     bool stale, node_answered_t *done, void *arg);
	void (*watch)(node_store_t *store, const char *prefix, int64_t after,
		      int64_t wait, node_answered_t *done, void *arg);
	void (*change)(node_store_t *store, const node_change_t *change,
		       node_answered_t *done, void *arg);
	void (*lease)(node_store_t *store, int64_t ttl, node_answered_t *done,
		      void *arg);
	void (*renew)(node_store_t *store, int64_t lease, int64_t timeout,
		      node_answered_t *done, void *arg);
	void (*release)(node_store_t *store, int64_t lease,
			node_answered_t *done, void *arg);

	/* A link to one worker.  "term" is the fencing token of its orders,
	 * "lease" the end of the lease on the worker's clock. */
	node_link_t *(*link_new)(const void *ctx,
				 const node_link_options_t *options);
	void (*poll)(node_link_t *link, const node_poll_request_t *order,
		     node_polled_t *done, void *arg);
	void (*start)(node_link_t *link, const batch_order_t *order,
		      int64_t term, int64_t lease, node_polled_t *done,
		      void *arg);
	void (*stop)(node_link_t *link, const batch_order_t *order,
		     int64_t term, node_polled_t *done, void *arg);
	void (*pace)(node_link_t *link, const batch_order_t *order,
		     int64_t term, node_polled_t *done, void *arg);

	/* The platform's instances; "page" NULL: the first page. */
	void *(*instances_new)(const void *ctx,
			       const node_instances_options_t *options);
	void (*instances)(void *self, const char *page,
			  node_instances_done_t *done, void *arg);
	void (*start_maintenance)(void *self, const char *instance,
				  int64_t wave, int64_t term,
				  node_instance_ordered_t *done, void *arg);
	void (*move)(void *self, const char *instance, const char *pool,
		     int64_t term, node_instance_ordered_t *done, void *arg);

	/* The advice service, which knows the policy of advised queues. */
	void *(*advice_new)(const void *ctx, net_loop_t *loop,
			    const char *address);
	void (*advise)(void *self, const batch_question_t *question,
		       node_advised_t *done, void *arg);

	/* Parsers: results are allocated below "ctx"; invalid text returns
	 * false and sets "err". */
	bool (*config_read)(const void *ctx, base_str_t text,
			    node_config_t *config, GError **err);
	bool (*worker_read)(const void *ctx, const char *key, base_str_t text,
			    node_worker_entry_t *entry, GError **err);
	bool (*wave_read)(const void *ctx, base_str_t text, node_wave_t *wave,
			  GError **err);
	bool (*job_read)(const void *ctx, base_str_t text, batch_spec_t *spec,
			 GError **err);
	/* Key and value of the row that reports a wave to the operator. */
	char *(*wave_key)(const void *ctx, int64_t number);
	char *(*wave_print)(const void *ctx, int64_t number, bool completed);

	/* Callers' requests and the bodies of their answers. */
	bool (*request_read)(const void *ctx, const net_exchange_t *exchange,
			     node_request_t *request);
	char *(*state_print)(const void *ctx, batch_state_t state);
	char *(*pending_print)(const void *ctx, size_t pending);
} node_platform_t;

#endif
