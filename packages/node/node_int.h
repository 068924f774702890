/*
 * node_int - what the files of this package share.
 */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <jansson.h>
#include <string.h>

#include "node.h"

/* Our keys in the store. */
#define NODE_KEY_OWNER "cactusfield/owner"
#define NODE_KEY_FENCE "cactusfield/fence"
#define NODE_KEY_JOB "cactusfield/job/"
#define NODE_KEY_ROW "cactusfield/row/"
#define NODE_KEY_WAVE "cactusfield/wave/"
#define NODE_KEY_MEMBER "cactusfield/member/"
#define NODE_KEY_LEARNED "cactusfield/learned"

/* Cores of an entry that is large enough to decide, where no other is known:
 * a quarter core carries some hundreds of workers. */
#define NODE_PROCESSOR 0.25

typedef struct node node_t;
typedef struct node_owner node_owner_t;
typedef struct node_worker node_worker_t;
typedef struct node_waves node_waves_t;
typedef struct node_moves node_moves_t;

/* An instance as the platform last listed it. */
typedef struct node_inst {
	char *name;
	char *pool;
	char *worker; /* empty: none */
	node_instance_state_t state;
	int64_t round;
} node_inst_t;

typedef struct node_insts {
	node_owner_t *owner;
	void *handle; /* of the platform's calls */
	GHashTable *table;
	net_timer_t *timer;
	bool listing;
	bool down;
	int64_t round;
	int64_t round_sent; /* when the last whole round began */
	int64_t sent;	    /* when the present one began */
	int64_t hurry_until;
} node_insts_t;
typedef struct node_job_ask node_job_ask_t;

typedef enum node_outcome_kind {
	NODE_OUT_ACCEPTED,
	NODE_OUT_REFUSED, /* has not run and will not */
	NODE_OUT_STATE,
	NODE_OUT_GONE, /* no such job */
	NODE_OUT_PENDING,
	NODE_OUT_BAD,	    /* malformed: it never will be taken */
	NODE_OUT_NOT_OWNER, /* nothing was done: ask another entry */
	NODE_OUT_UNKNOWN,   /* it may have been taken */
	NODE_OUT_MAX
} node_outcome_kind_t;

typedef struct node_outcome {
	node_outcome_kind_t kind;
	batch_state_t state;
	int64_t retry_after; /* microseconds; with NODE_OUT_REFUSED */
	size_t pending;
	const char *why;
} node_outcome_t;

typedef void node_outcome_done_t(void *arg, const node_outcome_t *outcome);

/* A question about jobs as it goes from entry to entry. */
struct node_job_ask {
	node_ask_t ask;
	char *queue;
	char *id;
	base_str_t body;
	int64_t deadline; /* steady time */
	bool relayed;	  /* must not be handed on a second time */
};

/* What this entry believes of the holder. */
typedef struct node_lead {
	char *name; /* NULL: nobody, or not known */
	char *address;
	int64_t term;
	int64_t learned;   /* when */
	int64_t bad_until; /* did not answer: not asked until then */
} node_lead_t;

struct node {
	node_settings_t *settings;
	const node_platform_t *platform;
	const char *settings_file;
	net_loop_t *loop;
	node_store_t *store;
	int64_t started;
	base_rng_t rng;

	struct node_log *log;
	struct node_metrics *metrics;

	void *config_ctx;
	node_config_t config; /* version 0: none yet */
	int64_t operator_revision;
	net_timer_t *config_timer;
	GHashTable *wave_texts; /* key to text, as the operator wrote them */
	bool operator_read;
	int64_t store_heard; /* the last answer of the store */
	bool store_down;

	node_lead_t lead;
	net_timer_t *lead_timer;
	char *nonce;
	int64_t campaign_lease;
	int64_t campaign_fence;
	int64_t campaign_owner; /* revision of the holder's key; 0: none */
	int64_t campaign_sent;
	int64_t campaign_term;
	bool campaigning;
	node_owner_t *owner; /* NULL: not the holder */

	GHashTable *peers;  /* address to what is known of it */
	GPtrArray *members; /* addresses of other entries */
	double largest;	    /* processor of any entry that is known */
	net_timer_t *member_timer;
	int64_t member_lease;

	net_server_t *front;
	net_server_t *ready;
	net_server_t *peer_server;
	net_server_t *metrics_server;
	net_timer_t *stop_timer;
	int64_t stop_by;
	int64_t stop_linger; /* callers may still come until then */
	bool stopping;
	GHashTable *open_asks; /* that have no answer yet, a set */
};

/* node_log.c */
struct node_log *node_log_new(const void *ctx, net_loop_t *loop, int fd);
void node_log_fields(node_t *node, base_msg_t msg, const base_field_t *fields,
		     size_t n);
void node_log_flush(node_t *node);
#define node_log(node, msg, ...)                                          \
	node_log_fields(node, msg, (const base_field_t[]){ __VA_ARGS__ }, \
			sizeof((const base_field_t[]){ __VA_ARGS__ }) /   \
				sizeof(base_field_t))

/* node_metrics.c */
typedef enum node_count {
	NODE_COUNT_SUBMIT_ACCEPTED,
	NODE_COUNT_SUBMIT_REFUSED,
	NODE_COUNT_SUBMIT_UNKNOWN,
	NODE_COUNT_STATE,
	NODE_COUNT_CANCEL,
	NODE_COUNT_STORE_READ,
	NODE_COUNT_STORE_WATCH,
	NODE_COUNT_STORE_CHANGE,
	NODE_COUNT_STORE_LEASE,
	NODE_COUNT_STORE_FAILED,
	NODE_COUNT_LOOK,
	NODE_COUNT_ORDER,
	NODE_COUNT_FORWARD,
	NODE_COUNT_INSTANCE_LIST,
	NODE_COUNT_ADVICE,
	NODE_COUNT_LOG_DROPPED,
	NODE_COUNT_MAX
} node_count_t;

typedef enum node_time {
	/* From a caller's request to its answer, in the order of node_ask_t. */
	NODE_TIME_SUBMIT,
	NODE_TIME_STATE,
	NODE_TIME_CANCEL,
	NODE_TIME_PENDING,
	NODE_TIME_STORE_READ,
	NODE_TIME_STORE_CHANGE,
	NODE_TIME_STORE_LEASE,
	NODE_TIME_COMMIT,   /* until a change is known to be done: all tries */
	NODE_TIME_LOOK_GAP, /* between two looks at a worker */
	NODE_TIME_ORDER,
	NODE_TIME_MAX
} node_time_t;

struct node_metrics *node_metrics_new(const void *ctx);
void node_count(node_t *node, node_count_t what);
void node_time(node_t *node, node_time_t what, int64_t took);
/* Of all purposes, since the process began. */
uint64_t node_store_calls(const node_t *node);
void node_metrics_serve(node_t *node, net_exchange_t *exchange);

/* node_store.c */
typedef struct node_range {
	const char *prefix;
	const char *after; /* key; NULL: from the beginning */
	bool stale;	   /* may be some seconds old */
} node_range_t;

typedef struct node_renewal {
	int64_t lease;
	int64_t timeout; /* microseconds */
} node_renewal_t;

void node_store_get(node_t *node, node_store_t *store, const char *key,
		    node_answered_t *done, void *arg);
void node_store_list(node_t *node, node_store_t *store,
		     const node_range_t *range, node_answered_t *done,
		     void *arg);
/* On the entry's own connection, which also lends and ends leases. */
void node_store_watch(node_t *node, const char *prefix, int64_t after,
		      int64_t wait, node_answered_t *done);
void node_store_change(node_t *node, node_store_t *store,
		       const node_change_t *change, node_answered_t *done,
		       void *arg);
void node_store_lease(node_t *node, int64_t ttl, node_answered_t *done);
void node_store_renew(node_t *node, node_store_t *store,
		      const node_renewal_t *renewal, node_answered_t *done,
		      void *arg);
void node_store_release(node_t *node, int64_t lease, node_answered_t *done,
			void *arg);

/* node_config.c */
void node_config_begin(node_t *node);
const node_route_t *node_route_find(const node_t *node, base_str_t host,
				    base_str_t path);
/* Every answer of the store passes here: lost and regained are logged. */
void node_store_answered(node_t *node, node_store_fate_t fate);

/* node_lead.c */
void node_lead_begin(node_t *node);
/* The holder did not answer, or says that it is not: look again. */
void node_lead_doubt(node_t *node);
/* This entry is no longer the holder. */
void node_lead_lost(node_t *node, const char *why);
/* Other entries were listed: one may be the better holder. */
void node_lead_larger(node_t *node);

/* node_member.c */
void node_member_begin(node_t *node);

/* node_peer.c */
void node_peer_serve(void *arg, net_exchange_t *exchange);
/* A peer that went silent is probed first, and "done" is called at once: it
 * was not asked. */
void node_peer_ask(node_t *node, const char *address, const node_job_ask_t *ask,
		   node_outcome_done_t *done, void *arg);
/* An entry that reached the holder a moment ago; NULL: none is known. */
const char *node_peer_relay(const node_t *node);
/* Another question to an entry; false: that is no address. */
bool node_peer_call(node_t *node, const char *address,
		    const net_request_t *request, net_done_t *done, void *arg);

/* node_pass.c */
#define NODE_PASS_PATH "/pass"
/* Pass the duty on where the store turns only this entry away. */
void node_pass_look(node_owner_t *owner);
void node_pass_serve(node_t *node, net_exchange_t *exchange);

/* node_front.c */
void node_front_serve(void *arg, net_exchange_t *exchange);
/* Answer, through whoever holds the duty; "done" is called once. */
void node_dispatch(node_t *node, const node_job_ask_t *ask,
		   node_outcome_done_t *done, void *arg);
/* This entry ends: all who still wait are answered. */
void node_dispatch_end(node_t *node);

/* node_owner.c */
typedef struct node_owner_options {
	int64_t term;
	int64_t lease;
	int64_t lease_until;
	int64_t owner_revision;
	int64_t fence_revision;
} node_owner_options_t;

node_owner_t *node_owner_new(node_t *node, const node_owner_options_t *options);
/* Whether it may decide now. */
bool node_owner_valid(const node_owner_t *owner);
/* Whether it may still extend the leases of what runs. */
bool node_owner_keeps(const node_owner_t *owner);
/* It cannot decide now, and the job may or may not get stored. */
bool node_owner_doubts(const node_owner_t *owner, const char *id);
void node_owner_ask(node_owner_t *owner, const node_job_ask_t *ask,
		    node_outcome_done_t *done, void *arg);
void node_owner_config(node_owner_t *owner);
void node_owner_waves(node_owner_t *owner);
void node_owner_wake(node_owner_t *owner);
/* Whoever waits is told that the holder changed; nothing is decided after. */
void node_owner_end(node_owner_t *owner);
void node_owner_accepted(void *arg, base_str_t job);
void node_owner_cancelled(void *arg, base_str_t job);
/* Give the duty up: what is stored stays, the lease ends. */
void node_owner_resign(node_owner_t *owner, const char *why);
batch_t *node_owner_core(const node_owner_t *owner);

/* What the parts of the owner share. */
struct node_owner {
	node_t *node;
	batch_t *core;
	node_store_t *store;
	int64_t term;
	int64_t lease;
	int64_t lease_until; /* steady time; measured from before the call */
	int64_t owner_revision;
	int64_t fence_revision;
	int64_t taken_at;
	int64_t orphan_until; /* others' leases on workers end by then */
	bool restored;
	bool ended; /* given up; freed when its callbacks have returned */
	bool said_suspended;
	bool said_first_start;
	bool passing;	    /* a peer was asked to end our lease, and may */
	bool pass_waits;    /* for a peer's answer */
	int64_t pass_asked; /* when a round of questions began */
	guint pass_left;    /* to be asked in this round */
	guint pass_next;    /* its index, modulo the members */
	int64_t renew_sent;
	int64_t change_began;
	char *page; /* last key of the page that was read */
	GHashTable *sources;
	GPtrArray *rows;

	net_timer_t *renew_timer;
	net_timer_t *step_timer;
	bool step_soon;
	net_timer_t *commit_timer; /* the gap between two changes */
	net_timer_t *retry_timer;  /* of a change that was not answered */
	bool committing;
	int64_t commit_number;
	char *fence_text;
	void *commit_ctx;
	node_change_t commit;
	GHashTable *waiting; /* id to list of asks */
	int64_t learned_at;  /* run times were stored */
	GQueue forgotten;    /* ids whose rows are to go */
	int64_t forgot_at;

	net_timer_t *list_timer;
	int64_t list_round;
	int64_t listed_at; /* the last whole round was read; 0: none */
	bool list_hurry;
	GHashTable *links; /* worker id to node_worker_t */
	node_insts_t *instances;
	node_waves_t *waves;
	node_moves_t *moves;
	void *advice;	 /* handle of the platform's; NULL: nobody to ask */
	char *advice_id; /* the job that the last question was about */
	int advice_step;
	int64_t advice_asked; /* when */
};

/* node_advice.c */
void node_advice_begin(node_owner_t *owner);
void node_advise(void *arg, const batch_question_t *question);

/* node_restore.c */
void node_restore_begin(node_owner_t *owner);

/* node_commit.c */
void node_commit_pump(node_owner_t *owner);

/* node_worker.c */
void node_workers_begin(node_owner_t *owner);
/* Entries of the platform's list, a whole round of it. */
void node_workers_entry(node_owner_t *owner, const node_item_t *item);
void node_workers_round(node_owner_t *owner);
/* A new worker is about to be listed: read the list soon. */
void node_workers_hurry(node_owner_t *owner);
/* What is given a lease now has ended after so long, on the slowest clock. */
int64_t node_worker_lease_span(const node_owner_t *owner);
extern const batch_ops_t node_batch_ops;

/* node_instance.c */
node_insts_t *node_instances_new(node_owner_t *owner);
void node_instances_begin(node_insts_t *instances);
/* Something changes there: list them more often for a while. */
void node_instances_hurry(node_insts_t *instances);
const node_inst_t *node_instance_find(const node_insts_t *instances,
				      const char *name);

/* node_move.c */
node_moves_t *node_moves_new(node_owner_t *owner);
void node_moves_begin(node_moves_t *moves);
/* A whole list was read. */
void node_moves_round(node_moves_t *moves);
bool node_moves_busy(const node_moves_t *moves, const char *name);
/* What there is to say of an instance's move is added to both. */
void node_moves_explain(const node_moves_t *moves, const char *name,
			json_t *answer, base_buf_t *said);

/* node_wave.c */
void node_waves_round(node_waves_t *waves);
/* The instance is being emptied or kept up. */
bool node_waves_busy(const node_waves_t *waves, const char *name);
/* Its upkeep is yet to come, or under way. */
bool node_waves_due(const node_waves_t *waves, const char *name);
node_waves_t *node_waves_new(node_owner_t *owner);
void node_waves_text(node_waves_t *waves, base_str_t text);
void node_waves_record(node_waves_t *waves, const char *key, base_str_t text);
/* Rows to store with the next change; at most one, or false. */
bool node_waves_row(node_waves_t *waves, const void *ctx, node_set_t *sets,
		    size_t *n_sets);
void node_waves_kept(node_waves_t *waves);
bool node_waves_waiting(const node_waves_t *waves);

/* node_wave_explain.c */
/* By its number as text; NULL: none. */
json_t *node_waves_explain(const node_waves_t *waves, const char *name);
json_t *node_waves_list(const node_waves_t *waves);
/* What the rounds say of an instance is added to both. */
void node_waves_explain_place(const node_waves_t *waves, const char *name,
			      json_t *answer, base_buf_t *said);

/* node_operators.c */
/* Metrics, status, and why something is as it is; asks the holder. */
void node_operators_serve(void *arg, net_exchange_t *exchange);
/* The same from another entry: what is not known here is not asked on. */
void node_operators_relayed(node_t *node, net_exchange_t *exchange);

#endif
