/*
 * node_int - declarations shared by the files of this package.
 */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <jansson.h>
#include <string.h>

#include "node.h"
#include "node_key.h"

/* Keys and key prefixes in the platform's store. */
#define NODE_KEY_HOLDER "cactusfield/owner"
#define NODE_KEY_FENCE "cactusfield/fence"
#define NODE_KEY_LANE_FENCE "cactusfield/lane-fence/"
#define NODE_KEY_JOB "cactusfield/job/"
#define NODE_KEY_ROW "cactusfield/row/"
#define NODE_KEY_WAVE "cactusfield/wave/"
#define NODE_KEY_MEMBER "cactusfield/member/"
#define NODE_KEY_LEARNED "cactusfield/learned"
#define NODE_KEY_MOVES "cactusfield/moves"

/* Cores assumed for an entry whose size is not configured, and enough for a
 * holder: a quarter core serves some hundreds of workers. */
#define NODE_DEFAULT_CORES 0.25
#define NODE_DEFAULT_INSTANCE_ORDERS_PER_S 64
/* Used where the platform names no factor of run times on a wrong rack. */
#define NODE_DEFAULT_REMOTE_PENALTY 2

#define NODE_TERM_MAX (INT64_MAX - 1) /* a larger one could not be raised */

typedef struct node node_t;
typedef struct node_holder node_holder_t;
typedef struct node_worker node_worker_t;
typedef struct node_waves node_waves_t;
typedef struct node_moves node_moves_t;
typedef struct node_commit node_commit_t;

/* The last listed state of an instance. */
typedef struct node_inst {
	char *name;
	char *pool;
	char *worker; /* id; empty: none */
	node_instance_state_t state;
	int64_t round; /* the last round that listed it */
} node_inst_t;

/* The holder's copy of the platform's list of instances. */
typedef struct node_insts {
	node_holder_t *holder;
	void *handle;	       /* from instances_new(); NULL: bad address */
	GHashTable *table;     /* name to node_inst_t */
	GHashTable *by_worker; /* worker id to node_inst_t */
	net_timer_t *timer;
	bool is_listing;
	bool list_unavailable; /* the last call to list failed */
	int64_t round;
	int64_t complete_round_start; /* start of the last complete round */
	int64_t round_start;	      /* start of the current round */
	int64_t poll_fast_until;
} node_insts_t;
typedef struct node_job_request node_job_request_t;

typedef enum node_outcome_kind {
	NODE_OUT_ACCEPTED,
	NODE_OUT_REFUSED, /* was not accepted and never runs */
	NODE_OUT_LIMITED, /* the same, for its workspace's share or limit */
	NODE_OUT_STATE,
	NODE_OUT_NOT_FOUND, /* no such job */
	NODE_OUT_PENDING,
	NODE_OUT_INVALID,      /* malformed: do not retry */
	NODE_OUT_UNAUTHORIZED, /* its key is not valid; nothing was done */
	NODE_OUT_NOT_HOLDER,   /* nothing was done: try another entry */
	NODE_OUT_UNKNOWN,      /* it may have been carried out */
	NODE_OUT_MAX
} node_outcome_kind_t;

typedef struct node_outcome {
	node_outcome_kind_t kind;
	batch_state_t state;
	int64_t retry_after; /* microseconds; with a refusal of a submit */
	size_t pending;
	const char *why;
	bool is_binding; /* a refusal that all tries of the request get */
	int64_t term;	 /* that the answering peer knows; 0: none */
} node_outcome_t;

typedef void node_outcome_done_t(void *arg, const node_outcome_t *outcome);

/* A request about jobs, as entries forward it to each other. */
struct node_job_request {
	node_op_t job_op;
	char *queue;
	char *id;
	char *workspace;  /* that the caller's key belongs to; NULL: none */
	char *key_digest; /* of that key; NULL: none */
	int64_t config;	  /* version by which the key was judged */
	base_str_t body;
	int64_t deadline; /* monotonic time */
	bool relayed; /* came from another entry: only the holder may get it */
	/* Names the request, the same in all its tries; NULL: it came from an
	 * entry that gives none. */
	char *token;
	int try_number; /* from 1; 1 only if there was no other try */
	int64_t term;	/* of the holder it is meant for; 0: any */
};

/* The holder as far as this entry knows it. */
typedef struct node_holder_info {
	char *name; /* NULL: none, or not known */
	char *address;
	int64_t term;
	int64_t refreshed_at;  /* time of the last update */
	int64_t suspect_until; /* did not answer: not asked until then */
} node_holder_info_t;

struct node {
	node_settings_t *settings;
	const node_platform_t *platform;
	const char *settings_file;
	net_loop_t *loop;
	node_store_t *store;
	int64_t process_started_at;
	base_rng_t rng;
	char *token_prefix;  /* differs between entries and processes */
	uint64_t n_requests; /* that got a token */

	struct node_log *log;
	struct node_metrics *metrics;

	void *config_ctx;
	node_config_t config;	 /* version 0: not read yet */
	node_keys_t *keys;	 /* NULL: requests need none */
	GHashTable *access_logs; /* by reason and queue; NULL: none yet */
	int64_t config_asked_at; /* when the last read or watch was sent */
	/* When the last one was sent whose answer is in force, so that the
	 * configuration is current as of then. */
	int64_t config_current_at;
	bool config_unreadable; /* the operator's last one cannot be read */
	int64_t operator_revision;
	net_timer_t *config_timer;
	GHashTable *wave_texts; /* key to value, as the operator wrote it */
	bool operator_read;
	int64_t store_answered_at; /* time of the store's last definite answer
				    */
	bool store_down;

	node_holder_info_t known_holder;
	int64_t highest_term; /* that the store has named */
	net_timer_t *election_timer;
	char *campaign_nonce;
	int64_t campaign_lease;
	int64_t campaign_fence;
	int64_t campaign_holder; /* revision of the holder key; 0: no key */
	int64_t campaign_sent;
	int64_t campaign_term;
	bool campaigning;
	/* The holder key was seen missing, and the delay before a campaign was
	 * begun. */
	bool vacancy_known;
	node_holder_t *holder; /* NULL: this entry is not the holder */

	GHashTable *peers;    /* address to peer_t */
	GPtrArray *members;   /* addresses of other entries */
	double largest_cores; /* cores of the largest known entry */
	net_timer_t *member_timer;
	int64_t member_lease;

	net_server_t *front;
	net_server_t *ready;
	net_server_t *peer_server;
	net_server_t *metrics_server;
	net_timer_t *stop_timer;
	int64_t stop_deadline;	/* open requests are ended then */
	int64_t stop_end;	/* the process exits soon after in any case */
	int64_t linger_until;	/* new connections may arrive until then */
	uint64_t stop_activity; /* of the servers at the last tick */
	int64_t stop_ticked_at;
	int stop_idle_ticks; /* consecutive ticks without activity */
	int stop_last_ticks; /* ticks since "stop_end" */
	bool stopping;
	GHashTable *open_requests; /* set of requests without an answer */
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
	NODE_COUNT_POLL,
	NODE_COUNT_ORDER,
	NODE_COUNT_FORWARD,
	NODE_COUNT_TRY_UNDECIDED,
	NODE_COUNT_REFUSED_AGAIN,
	NODE_COUNT_REFUSAL_UNSURE,
	NODE_COUNT_INSTANCE_LIST,
	NODE_COUNT_ADVICE,
	NODE_COUNT_ADVICE_ANSWERED,
	NODE_COUNT_ADVICE_REFUSED,
	NODE_COUNT_ADVICE_UNANSWERED,
	NODE_COUNT_LOG_DROPPED,
	NODE_COUNT_WORKER_UNREADABLE,
	NODE_COUNT_WORKER_DROPPED,
	NODE_COUNT_END_UNMATCHED,
	NODE_COUNT_ENDS_TRUNCATED,
	NODE_COUNT_KEY_MISSING,
	NODE_COUNT_KEY_UNKNOWN,
	NODE_COUNT_KEY_STALE,
	NODE_COUNT_MAX
} node_count_t;

typedef enum node_time {
	/* From a caller's request to its answer, ordered as node_op_t. */
	NODE_TIME_SUBMIT,
	NODE_TIME_STATE,
	NODE_TIME_CANCEL,
	NODE_TIME_PENDING,
	NODE_TIME_STORE_READ,
	NODE_TIME_STORE_CHANGE,
	NODE_TIME_STORE_LEASE,
	NODE_TIME_COMMIT,   /* a change, with all its retries */
	NODE_TIME_POLL_GAP, /* between two polls of a worker */
	NODE_TIME_ORDER,
	NODE_TIME_MAX
} node_time_t;

struct node_metrics *node_metrics_new(const void *ctx);
void node_metrics_count(node_t *node, node_count_t what);
void node_metrics_add_time(node_t *node, node_time_t what, int64_t took);
/* Store calls of all purposes since the process started. */
uint64_t node_store_calls(const node_t *node);
void node_metrics_serve(node_t *node, net_exchange_t *exchange);

/* node_store.c */
typedef struct node_range {
	const char *prefix;
	const char *after;  /* list keys after this one; NULL: all */
	bool accepts_stale; /* the answer may be some seconds old */
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
/* Watches, grants and releases use the entry's own store connection. */
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
/* The matching route with the longest prefix; NULL: none. */
const node_route_t *node_route_find(const node_t *node, base_str_t host,
				    base_str_t path);
/* The route of a queue; NULL: the configuration does not have it. */
const node_route_t *node_route_by_queue(const node_t *node, const char *queue);
/* Records the outcome of a store call; logs when the store becomes unavailable
 * and when it answers again. */
void node_store_track_status(node_t *node, node_store_status_t status);

/* node_access.c */
/* Time since the operator's configuration was surely the one in force here. */
int64_t node_config_age(const node_t *node);
/* Whether this entry refuses requests that need a key, as that is too long. */
bool node_access_is_stale(const node_t *node);
/* Judges the key of a caller's request, and sets the workspace in "ask". */
node_key_verdict_t node_access_judge(node_t *node, const node_route_t *route,
				     base_str_t key, node_job_request_t *ask);
/* Whether the holder refuses the request by its key; sets "outcome" then. */
bool node_access_refuses(node_t *node, const node_job_request_t *ask,
			 node_outcome_t *outcome);

/* node_election.c */
void node_election_begin(node_t *node);
/* The holder did not answer, or answered that it is not the holder: use other
 * entries for a short time. */
void node_election_suspect(node_t *node);
/* A holder of this term exists or existed. */
void node_election_heard_term(node_t *node, int64_t term);
/* Ends this entry's term as the holder. */
void node_election_lost(node_t *node, const char *why);
/* Call after other entries were listed: this entry resigns as the holder if one
 * of them is much larger. */
void node_election_yield_to_larger(node_t *node);

/* node_member.c */
void node_member_begin(node_t *node);

/* node_peer.c */
void node_peer_serve(void *arg, net_exchange_t *exchange);
/* Forwards a request to a peer.  If the peer is a holder that stopped
 * answering, or an entry that did not reach the holder recently and the request
 * changes something, it is only probed, and "done" is called at once with
 * NODE_OUT_NOT_HOLDER. */
void node_peer_forward(node_t *node, const char *address,
		       const node_job_request_t *ask, node_outcome_done_t *done,
		       void *arg);
/* Whether the entry passes on tokens and terms, as far as its answers show. */
bool node_peer_keeps_tokens(const node_t *node, const char *address);
/* Address of an entry that reached the holder recently; NULL: none. */
const char *node_peer_find_relay(const node_t *node);
/* Sends any other request to a peer; false: the address is invalid. */
bool node_peer_call(node_t *node, const char *address,
		    const net_request_t *request, net_done_t *done, void *arg);

/* node_refusal.c */
typedef struct node_refusals node_refusals_t;
node_refusals_t *node_refusals_new(const void *ctx);
/* Remembers the refusal of a request; false: there are too many. */
bool node_refusals_add(node_refusals_t *refusals, int64_t now,
		       const char *token, const node_outcome_t *outcome);
/* Sets "outcome" to the remembered refusal; false: there is none. */
bool node_refusals_find(node_refusals_t *refusals, int64_t now,
			const char *token, node_outcome_t *outcome);

/* node_pass.c */
#define NODE_PASS_PATH "/pass"
/* If the store does not answer the holder, asks another entry that reaches the
 * store to end the holder's lease. */
void node_pass_check(node_holder_t *holder);
void node_pass_serve(node_t *node, net_exchange_t *exchange);

/* node_front.c */
void node_front_serve(void *arg, net_exchange_t *exchange);
/* Answers a request, here or through the holder; "done" is called once. */
void node_dispatch(node_t *node, const node_job_request_t *ask,
		   node_outcome_done_t *done, void *arg);
/* This entry stops: answers all requests that are still open. */
void node_dispatch_answer_all(node_t *node);

/* node_holder.c */
typedef struct node_holder_options {
	int64_t term;
	int64_t lease;
	int64_t lease_until;
	int64_t holder_revision;
	int64_t fence_revision;
} node_holder_options_t;

node_holder_t *node_holder_new(node_t *node,
			       const node_holder_options_t *options);
/* Whether this entry may decide now. */
bool node_holder_may_decide(const node_holder_t *holder);
/* Whether this entry may still extend the leases of workers. */
bool node_holder_may_extend(const node_holder_t *holder);
/* The permits of calls that rest on these; valid for the holder's life. */
net_permit_t node_holder_decide_permit(const node_holder_t *holder);
net_permit_t node_holder_extend_permit(const node_holder_t *holder);
/* Whether the request is for this holder, not for one of another term. */
bool node_holder_is_meant(const node_holder_t *holder,
			  const node_job_request_t *ask);
/* Whether this entry cannot decide now and the job may or may not be stored. */
bool node_holder_job_uncertain(const node_holder_t *holder, const char *id);
void node_holder_handle_request(node_holder_t *holder,
				const node_job_request_t *ask,
				node_outcome_done_t *done, void *arg);
void node_holder_config(node_holder_t *holder);
void node_holder_waves(node_holder_t *holder);
/* Schedules a decision after a change of the core's input. */
void node_holder_step_soon(node_holder_t *holder);
/* Answers all waiting requests with NODE_OUT_UNKNOWN; no decision follows. */
void node_holder_end(node_holder_t *holder);
void node_holder_accepted(void *arg, base_str_t job);
void node_holder_cancelled(void *arg, base_str_t job);
/* Releases the lease and ends this entry's term; stored data stays. */
void node_holder_resign(node_holder_t *holder, const char *why);
batch_t *node_holder_core(const node_holder_t *holder);
/* The token of the submit of "job" that was accepted or refused just now, and
 * in "try_number" which try of it; "" if none is known. */
const char *node_holder_judged(const node_holder_t *holder, base_str_t job,
			       int *try_number);

/* The state of the holder. */
struct node_holder {
	node_t *node;
	batch_t *core;
	node_store_t *store;
	int64_t term;
	int64_t lease;
	int64_t lease_until; /* monotonic; from when a renewal was sent */
	int64_t holder_revision;
	int64_t fence_revision;
	int64_t taken_at;
	int64_t orphan_until; /* worker leases of former holders end by then */
	/* Orders of former holders for instances are carried out by then. */
	int64_t former_orders_until;
	bool restored;
	bool ended; /* the term is over; freed once its callbacks return */
	bool suspension_logged;
	bool first_start_logged;
	bool handover_pending;	      /* a peer may end the lease */
	int64_t handover_asked_at;    /* when it was asked to */
	bool handover_awaits_reply;   /* a peer's answer is outstanding */
	int64_t handover_round_start; /* start of the last round of probes */
	guint handover_peers_left; /* peers still to be probed in this round */
	guint handover_next_peer;  /* index of the next peer to probe */
	int64_t renew_sent_at;
	int64_t change_started_at;
	char *page;	     /* last key of the last page that was read */
	GHashTable *sources; /* id to stored source, while restoring */
	GPtrArray *rows;

	net_timer_t *renew_timer;
	net_timer_t *step_timer;
	bool step_soon;
	net_timer_t *commit_timer; /* until the next change may be sent */
	node_commit_t *commits;	   /* by lane; NULL: none was needed yet */
	int n_commits_open;
	int64_t commit_time; /* of a change, decaying average */
	int64_t commit_number;
	GHashTable *waiting; /* job id to list of waiting requests */
	/* Cancels of unknown jobs: those that wait for the open read of the
	 * holder's key, and for the next one. */
	GQueue cancels_read;
	GQueue cancels_next;
	bool is_key_read;
	node_refusals_t *refusals;
	/* The try of a submit that was accepted or refused last, for the log.
	 */
	char *judged_id;
	char *judged_token;
	int judged_try;
	int64_t learned_stored_at; /* when run times were last stored */
	GQueue forgotten; /* ids of jobs whose rows are to be removed */
	int64_t forgot_at;

	net_timer_t *list_timer;
	int64_t list_round;
	int64_t listed_at;	   /* end of the last complete round; 0: none */
	GHashTable *worker_links;  /* worker id to node_worker_t, not owned */
	GHashTable *ended_workers; /* id to when it ended, by an order */
	/* Id of a worker whose link was removed to when a lease that had no
	 * answer is too late. */
	GHashTable *dropped_grants;
	GHashTable *lookups; /* set of ids of workers whose entries are read */
	GQueue awaiting_stored; /* workers whose poll waits for stored ends */
	GHashTable *unreadable_entries; /* key to the revision last logged */
	node_insts_t *instances;
	node_waves_t *waves;
	node_moves_t *moves;
	void *advice; /* from advice_new(); NULL: no advice service */
};

/* node_advice.c */
void node_advice_begin(node_holder_t *holder);
void node_advise(void *arg, const batch_question_t *question);

/* node_restore.c */
void node_restore_begin(node_holder_t *holder);

/* node_commit.c */
/* Whether a change has no answer of the store yet. */
bool node_commit_is_open(const node_holder_t *holder);
void node_commit_send_pending(node_holder_t *holder);

/* node_worker.c */
void node_workers_begin(node_holder_t *holder);
/* Call after rows were stored: sends the polls that waited for this. */
void node_workers_rows_stored(node_holder_t *holder);
/* Microseconds until everything that runs under a lease that any holder grants
 * now has ended.  A worker that has restarted takes a lease by its former
 * process's clock for up to the longest one allowed, and its own clock may be
 * the slowest one allowed for. */
int64_t node_worker_lease_span(const node_holder_t *holder);

/*
 * The worker has ended with its instance's move or maintenance, which this
 * holder has ordered: gives up its link.  Its entry may stay in the list for a
 * while.
 */
void node_workers_ended(node_holder_t *holder, const char *id);

/* node_worker_list.c */
/* Takes one entry of the platform's list of workers. */
void node_workers_add_listed(node_holder_t *holder, const node_item_t *item);
/* The list of workers was read completely: marks workers that are not in it as
 * unlisted. */
void node_workers_list_done(node_holder_t *holder);
/* The list of instances names a worker: reads its entry if it is unknown. */
void node_workers_look_up(node_holder_t *holder, const char *id);

/* node_order.c */
extern const batch_ops_t node_batch_ops;

/* node_instance.c */
node_insts_t *node_instances_new(node_holder_t *holder);
void node_instances_begin(node_insts_t *instances);
/* An instance is changing: lists them more often for a while. */
void node_instances_poll_fast(node_insts_t *instances);
/* Whether a complete list that was read since the holder took over names the
 * worker on no instance. */
bool node_instances_lack_worker(const node_insts_t *instances,
				const char *worker);
const node_inst_t *node_instance_find(const node_insts_t *instances,
				      const char *name);
/* The instance that the worker runs on; NULL: none that is listed. */
const node_inst_t *node_instance_of_worker(const node_insts_t *instances,
					   const char *worker);

/* node_move.c */
/* An order without an answer is carried out 2 to 12 s later, or never. */
#define NODE_INSTANCE_ORDER_LATE_MAX (13 * BASE_SEC)

node_moves_t *node_moves_new(node_holder_t *holder);
void node_moves_begin(node_moves_t *moves);
/* How many moves may begin in a tick of 150 ms. */
size_t node_moves_per_tick(double orders_per_s);
/* The list of instances was read completely. */
void node_moves_list_done(node_moves_t *moves);
/* Whether the instance is changing its pool, or may do so by an order of a
 * former holder. */
bool node_moves_is_moving(const node_moves_t *moves, const char *name);
/* Takes the row that a former holder stored of its orders: nothing is ordered
 * for these instances before "until". */
void node_moves_restore(node_moves_t *moves, base_str_t text, int64_t until);
/* Appends the row of orders to "sets", if it has changed. */
void node_moves_add_row(node_moves_t *moves, const void *ctx, node_set_t *sets,
			size_t *n_sets);
/* The row of the last node_moves_add_row() is stored: sends what waited. */
void node_moves_row_stored(node_moves_t *moves);
/* Whether a move waits for the row. */
bool node_moves_has_unstored(const node_moves_t *moves);
/* Adds the facts of an instance's move to "answer", as text to "sentence". */
void node_moves_explain(const node_moves_t *moves, const char *name,
			json_t *answer, base_buf_t *sentence);

/* node_wave.c */
/* The list of instances was read completely. */
void node_waves_list_done(node_waves_t *waves);
/* Cordons a worker that has just been listed if its instance is to be empty. */
void node_waves_worker_added(const node_waves_t *waves, const char *worker);
/* Whether the instance is being emptied or is in maintenance. */
bool node_waves_is_active(const node_waves_t *waves, const char *name);
/* Whether its maintenance is due or under way. */
bool node_waves_is_unfinished(const node_waves_t *waves, const char *name);
node_waves_t *node_waves_new(node_holder_t *holder);
/* Takes a wave that the operator wrote, unless it is known. */
void node_waves_add(node_waves_t *waves, base_str_t text);
/* Takes the record that a former holder stored of a wave. */
void node_waves_add_record(node_waves_t *waves, const char *key,
			   base_str_t text);
/* Appends the rows of one changed wave to "sets"; false: none has changed. */
bool node_waves_add_rows(node_waves_t *waves, const void *ctx, node_set_t *sets,
			 size_t *n_sets);
/* The rows of the last node_waves_add_rows() are stored. */
void node_waves_rows_stored(node_waves_t *waves);
/* Whether there are rows to store. */
bool node_waves_has_unstored(const node_waves_t *waves);

/* node_wave_explain.c */
/* The wave with this number, given as text; NULL: no such wave. */
json_t *node_waves_explain(const node_waves_t *waves, const char *name);
json_t *node_waves_list(const node_waves_t *waves);
/* Adds the facts of an instance's waves to "answer", as text to "sentence". */
void node_waves_explain_instance(const node_waves_t *waves, const char *name,
				 json_t *answer, base_buf_t *sentence);

/* node_operators.c */
/* Serves metrics and status; explanations come from the holder. */
void node_operators_serve(void *arg, net_exchange_t *exchange);
/* Serves a request of an operator that another entry forwarded; it is not
 * forwarded again. */
void node_operators_serve_peer(node_t *node, net_exchange_t *exchange);

#endif
