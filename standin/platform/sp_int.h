/*
 * sp - test double of the platform on loopback: its store, its workers and its
 * instances.  Switches inject faults; records of what the workers did let a
 * test check the platform's rules.  Times are microseconds on the monotonic
 * clock unless a name says otherwise.
 */
#ifndef SP_INT_H
#define SP_INT_H

#include <jansson.h>
#include <string.h>
#include <sys/types.h>

#include "net.h"

#define SP_WORKERS_MAX 64
#define SP_ENDS_LISTED_MAX 500 /* of a worker, in one answer */

typedef struct sp sp_t;

typedef struct sp_item {
	char *key;
	char *value; /* base64, as received */
	int64_t revision, created, lease;
} sp_item_t;

typedef struct sp_event {
	char *key;
	char *value; /* NULL: the key was deleted */
	int64_t revision, created, lease;
} sp_event_t;

typedef struct sp_lease {
	int64_t id, ttl_us, deadline_us;
} sp_lease_t;

typedef struct sp_watch {
	net_exchange_t *exchange;
	char *prefix;
	int64_t after, deadline_us;
} sp_watch_t;

/* A change that is carried out later; its answer is lost. */
typedef struct sp_late_change {
	char *body;
	int64_t due_us;
} sp_late_change_t;

typedef struct sp_run {
	char task[64];
	char job[32];
	int64_t number, started_at;
	int64_t ends_at;    /* 0: it runs until it is stopped */
	int64_t crashes_at; /* when its worker crashes; 0: never */
	int64_t cpu;
} sp_run_t;

typedef struct sp_run_end {
	int64_t number, ended_at;
	sp_run_t run;
	const char *result;
} sp_run_end_t;

typedef struct sp_hold {
	net_exchange_t *exchange;
	int64_t deadline_us;
} sp_hold_t;

/* An order or a start that is served once its sender is suspended. */
typedef struct sp_parked {
	net_handler_t *handler;
	void *arg;
	net_exchange_t *exchange;
} sp_parked_t;

/* Suspends a holder while orders wait in it: from its first one on none is
 * answered until it is suspended.  The test lets it go on, or cancels. */
typedef struct sp_suspension {
	pid_t at_order; /* whom, at an order for an instance; 0: none */
	pid_t at_start; /* whom, at a start; 0: none */
	pid_t pid;	/* the process that is to be suspended; 0: none */
	bool is_cancelled;
	pid_t suspended; /* the last one; 0: none */
	int64_t due_us;
	GArray *parked; /* sp_parked_t */
	int64_t token;	/* of the holder that was suspended last; 0: none */
	int count;	/* its orders and starts that have arrived */
} sp_suspension_t;

typedef struct sp_worker {
	sp_t *sp;
	int index;
	char id[32], machine[32], address[32], pool[32];
	bool up;
	double clock_rate; /* speed of its clock, 1.0 is exact */
	int64_t started_at, lease_end_us, fencing_token, next_end_number,
		restart_at;
	int64_t lapsed_at;	  /* when its lease was last seen to be over */
	bool is_unlisted;	  /* its entries are hidden; it works on */
	bool in_maintenance;	  /* stopped for maintenance */
	int64_t wave;		  /* that the maintenance belongs to */
	bool is_order_unanswered; /* the order for that maintenance */
	int64_t order_token;	  /* highest of an order for its instance */
	bool ignores_requests;	  /* accepts requests, ignores them */
	bool drops_answers;	  /* handles requests, never answers */
	GArray *runs, *unacknowledged_ends, *ended_runs;
	sp_hold_t hold;
	net_server_t *server;
} sp_worker_t;

/* Offset of the second store port from the first. */
#define SP_SECOND_PORT_OFFSET 70

/* Injected store fault. */
typedef enum sp_store_fault {
	SP_STORE_OK,
	SP_STORE_UNAVAILABLE, /* answers 503 */
	SP_STORE_NO_ANSWER,   /* no answer */
	SP_STORE_FAULT_MAX
} sp_store_fault_t;

struct sp {
	net_loop_t *loop;
	net_timer_t *tick;
	int port;
	const char *run_name; /* name given by the test */
	int listed_port;      /* first port that workers register */
	int drift_percent;    /* clock error of the workers */
	int64_t revision, next_lease, begun;
	GHashTable *items;
	GPtrArray *events;
	GArray *leases;
	GPtrArray *watches;
	GPtrArray *unanswered; /* exchanges left without an answer */
	sp_store_fault_t store_fault;
	int unanswered_percent; /* changes applied but not answered */
	int late_ms;		/* delay of these changes */
	GArray *late_changes;
	int task_duration_ms; /* run time of a task */
	int restart_delay_ms; /* duration of maintenance or a pool change */
	int64_t compacted;    /* events up to this revision are deleted */
	bool requires_ticket; /* starts need a ticket; even workers get one */
	/* Time of an answer of the advice service, and for each worker. */
	int advice_ms, advice_each_ms;
	int advice_valid_ms;	/* validity of a ticket; 0: the usual one */
	int64_t advice_free_at; /* when it has answered all questions */
	bool keeps_leases;	/* no lease expires */
	/* Orders for maintenance are carried out and not answered. */
	bool drops_order_answers;
	sp_suspension_t suspension;
	base_rng_t rng;
	sp_worker_t workers[SP_WORKERS_MAX];
	int n_workers;
	/* Results that a test reads. */
	GHashTable *acknowledged; /* tasks whose completion was acknowledged */
	GHashTable *tasks;	  /* by name: sp_task_t */
	int starts, finished, violations, maintenance_count, advice_requests,
		tickets_refused;
	/* With a lower fencing token after a higher one. */
	int late_orders, late_starts;
	int max_in_maintenance; /* most at the same time for one wave */
	char first_violation[160];
	net_server_t *control;
	/* The store on a second port, whose entry can be rejected. */
	net_server_t *second_server;
	bool rejects_second;
};

/* sp_store.c */
void sp_store_serve(sp_t *sp, net_exchange_t *exchange, const char *path);
void sp_store_tick(sp_t *sp, int64_t now);
/* Write or delete a key without a request: a worker's registration, an
 * operator's setting. */
void sp_store_put(sp_t *sp, const char *key, const char *text);
void sp_store_delete(sp_t *sp, const char *key);
/* Applies the injected fault to a request.  Returns true if there is one; the
 * request is then answered or withheld. */
bool sp_store_apply_fault(sp_t *sp, net_exchange_t *exchange);
char *sp_store_text(sp_t *sp, const char *key);
/* Expires every lease. */
void sp_store_expire_leases(sp_t *sp);
/* Deletes the event history; an older watch gets 410 and has to list again. */
void sp_store_compact(sp_t *sp);

/* sp_switch.c */
/* Applies the switches in a query; false if none is known. */
bool sp_apply_switches(sp_t *sp, const char *path);

/* sp_suspend.c */
/* Whether a request of this kind ("whom" is that of the kind) waits until its
 * sender is suspended; it is then passed to "parked" again. */
bool sp_suspend_park(sp_t *sp, pid_t *whom, int64_t token,
		     const sp_parked_t *parked);
void sp_suspend_tick(sp_t *sp, int64_t now);
/* Nothing is suspended from now on; what is suspended goes on. */
void sp_suspend_cancel(sp_t *sp);

/* sp_worker.c */
void sp_workers_start(sp_t *sp, int n, int base_port);
void sp_workers_tick(sp_t *sp, int64_t now);
void sp_worker_terminate(sp_worker_t *worker);
void sp_worker_start(sp_worker_t *worker);
/* Hides or shows a worker's entry in the store, also that of its next
 * incarnations. */
void sp_worker_set_unlisted(sp_worker_t *worker, bool is_unlisted);
void sp_instances_serve(sp_t *sp, net_exchange_t *exchange, const char *path);

/* sp_advice.c */
void sp_advice_serve(sp_t *sp, net_exchange_t *exchange);
/* Whether a start request carries a valid ticket, if one is required. */
bool sp_advice_allows(const sp_worker_t *worker, const sp_run_t *run,
		      const json_t *root);

/* sp_record.c */
GHashTable *sp_records_new(void);
void sp_record_start(sp_t *sp, const char *task);
void sp_record_done(sp_t *sp, const char *task);
void sp_record_end(sp_t *sp, const char *task);
/* Whether a run of the task began after this time. */
bool sp_record_started_after(const sp_t *sp, const char *task, int64_t at);
void sp_records_serve(const sp_t *sp, net_exchange_t *exchange);

/* sp_main.c */
/* Takes ownership of "body".  A NULL "exchange" sends nothing. */
void sp_reply_json(net_exchange_t *exchange, int status, json_t *body);
/* The value of "name" in a query, "" if missing; g_free() it. */
char *sp_query(const char *path, const char *name);
/* Records a rule violation; the text of the first one is kept. */
void sp_record_violation(sp_t *sp, const char *rule, const sp_run_t *run);

#endif
