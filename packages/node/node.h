/*
 * node - one entry of a site on a platform: takes callers' requests, hands
 * them to the entry that decides about jobs, and may be that entry.
 *
 * One thread, one loop.  Nothing lasts here: what is promised is in the
 * platform's store.
 */
#ifndef NODE_H
#define NODE_H

#include "node_platform.h"

#define NODE_ERROR node_error_quark()
GQuark node_error_quark(void);

typedef enum node_error {
	NODE_ERR_SETTINGS,
	NODE_ERR_START,
	NODE_ERR_MAX
} node_error_t;

/* See cactusfield-node(8) for the file. */
typedef struct node_settings {
	const char *name;
	const char *zone;
	const char *callers; /* addresses to listen on */
	const char *ready;
	const char *peers;
	const char *peers_at; /* where others reach it; as "peers" if unsaid */
	const char *metrics;  /* NULL: none */
	const char *advice;   /* who knows the policy of queues; NULL: nobody */
	const char *store;
	const char *instances;
	const char **seeds; /* some peers' addresses */
	size_t n_seeds;
	int64_t lease_max;     /* a worker's longest lease, microseconds */
	int64_t stop_timeout;  /* a stop takes at most this long */
	int64_t grace;	       /* from SIGTERM to SIGKILL */
	int64_t keep;	       /* how long an ended job can be asked for */
	int64_t store_ttl_min; /* shortest lease in the store */
	double processor;      /* cores that this entry may use */
} node_settings_t;

/* Read the settings; every fault is named. */
node_settings_t *node_settings_load(const void *ctx, base_str_t text,
				    GError **err);

typedef struct node_options {
	const node_platform_t *platform;
	const char *settings_file;
	int log_fd;	 /* lines go here, without waiting */
	bool check_only; /* read the settings and end */
} node_options_t;

/* Serve until SIGTERM; the exit status. */
int node_run(const node_options_t *options);

#endif
