/*
 * node - one entry of a site: takes callers' requests and forwards them to the
 * holder, the entry that decides about jobs; it may be the holder itself.
 *
 * One thread with one event loop.  An entry keeps no durable state: whatever
 * it has confirmed to a caller is in the platform's store.
 *
 * Terms of this package:
 * - holder: the one entry that decides about jobs.  It holds a lease in the
 *   store; its term is a number that rises with each election.
 * - lease margin: of the holder, the time before the end of its lease in which
 *   it decides nothing; of a worker, the time after the end of its lease and
 *   the stop timeout before its runs count as ended.
 * - handover: the end of a holder's lease before it expires, so that another
 *   entry can become the holder at once.
 * - forward: to send a caller's request to another entry to be answered there.
 * - relay: an entry, not the holder, to which a request is forwarded because
 *   the sender cannot reach the holder.
 * - poll: a request of the holder to a worker.  It extends the worker's lease
 *   and returns the runs on the worker and those that have ended.
 * - order: a request of the holder to a worker to start, stop or pace a run,
 *   or to the platform to move or maintain an instance.
 */
#ifndef NODE_H
#define NODE_H

#include "node_platform.h"

#define NODE_ERROR node_error_quark()
GQuark node_error_quark(void);

typedef enum node_error {
	NODE_ERR_SETTINGS,
	NODE_ERR_START,
	NODE_ERR_JOB_SIZE, /* the store cannot hold the specification */
	NODE_ERR_MAX
} node_error_t;

/* A setting that is not usable as it stands, and what was taken instead. */
typedef struct node_settings_note {
	const char *name;
	const char *why;
	const char *taken;
} node_settings_note_t;

/* cactusfield-node(8) documents the settings file. */
typedef struct node_settings {
	const char *name;
	const char *zone;
	const char *callers;   /* listen address for callers */
	const char *ready;     /* listen address for readiness checks */
	const char *peers;     /* listen address for other entries */
	const char *peers_at;  /* as others reach it; default: "peers" */
	const char *metrics;   /* listen address for operators; NULL: none */
	const char *advice;    /* address of the advice service; NULL: none */
	const char *store;     /* address of the platform's store */
	const char *instances; /* address of the platform's instances; NULL:
				  none are listed, moved or maintained */
	const char **seeds;    /* addresses of some peers */
	size_t n_seeds;
	/* Times are in microseconds. */
	int64_t lease_max;    /* longest lease of a worker */
	int64_t stop_timeout; /* longest time to stop a task */
	int64_t drain_time;   /* from a drain's report to the last start */
	int64_t grace;	      /* from SIGTERM to SIGKILL */
	int64_t keep;	      /* how long an ended job can be queried */
	/* A key that the operator has removed opens nothing after that; 0: as
	 * soon as the entry knows. */
	int64_t revoke_bound;
	int64_t store_ttl_min;	 /* shortest lease in the store */
	int64_t store_value_max; /* bytes of a value in the store; 0: not known
				  */
	double usable_cores;	 /* cores that this entry may use */
	/* moves and maintenance orders that the platform accepts a second */
	double instance_orders_per_s;
	/* factor of the run time of a task on another rack than its data's */
	double remote_penalty;
	node_settings_note_t *notes;
	size_t n_notes;
} node_settings_t;

/*
 * Parses the settings.  A value that is not usable is replaced by that of
 * "in_force", or by a default if that is NULL, and noted: it must not keep an
 * entry from serving.  NULL: the text is no JSON object, or an address is
 * missing without which nobody can be served; "err" names every such fault.
 */
node_settings_t *node_settings_load(const void *ctx, base_str_t text,
				    const node_settings_t *in_force,
				    GError **err);

typedef struct node_options {
	const node_platform_t *platform;
	const char *settings_file;
	int log_fd;	 /* log output; set to non-blocking */
	bool check_only; /* only read the settings */
} node_options_t;

/* Serves until SIGTERM; returns the exit status. */
int node_run(const node_options_t *options);

#endif
