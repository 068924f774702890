/*
 * entry - cactusfieldd: serves callers and takes part in fleet control.
 *
 * Each component of the daemon is a service of the micro-kernel (kern.h);
 * entry_services.c lists their names in start order.
 *
 * Terms used in this package:
 *
 * view: an immutable copy of the configuration in force, the endpoints of each
 * pool and the instances that are being drained.
 *
 * record: one value in the store, such as the configuration, the assignment of
 * an instance to a pool, or the state of an entry.
 *
 * duty: either a role that at most one entry of the site holds at a time under
 * a lease in the store (fleet duty, jobs duty; plat_duty_t), or a periodic
 * thread of this process (config duty, members duty; kern_thread_t).
 *
 * holding period: the time from taking the jobs duty to losing it.  Its number
 * is the epoch of the jobs duty, which has nothing to do with the epochs of
 * claims.
 *
 * claim: the right to run a request that is not repeatable.  Two entries store
 * it, the home and the backup of its slice; see claim.h.
 *
 * part: a piece of the text of the configuration.  Entries exchange only the
 * parts that differ; see memb_parts.h.
 *
 * delta: the difference between two successive configurations, kept in the
 * store; see site_config.h.
 *
 * log of jobs, snapshot: the records of jobs in the store; see site_joblog.h.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "base.h"
#include "kern.h"
#include "plat.h"

#define ENTRY_ERROR entry_error_quark()
GQuark entry_error_quark(void);

typedef enum entry_error {
	ENTRY_ERROR_SETTINGS, /* invalid setting; the message names its path */
	ENTRY_ERROR_LISTEN,   /* cannot listen on a port */
	ENTRY_ERROR_CONFIG,   /* invalid configuration */
	ENTRY_ERROR_MAX
} entry_error_t;

typedef struct entry_listen {
	char *address; /* numeric IPv4 address */
	int port;
	int threads; /* limit of connections served at once */
} entry_listen_t;

/*
 * Settings of one entry; see cactusfieldd-settings(5).
 */
typedef struct entry_settings {
	char *name; /* name of this entry, unique within its site */
	char *zone;
	entry_listen_t caller;	  /* callers' port */
	entry_listen_t operators; /* operators' port */
	char *operators_key;	  /* bearer token of the operators' port */
	entry_listen_t peer;	  /* port for other entries */
	char *peer_key;		  /* secret shared by all entries */
	char **seeds; /* "ADDRESS:PORT" of other entries' peer ports */
	size_t seed_count;
	int test_cuts; /* 1: /cut on the operators' port cuts zones off */
	plat_address_t store;
	plat_address_t list;
	plat_address_t actions; /* reboot API; default: same as list */
	plat_address_t tasks;	/* pod API; default: same as list */
	/* Time until the balancer notices a planned stop. */
	int balancer_lag_ms;
	/* Limit of a planned stop's wait for requests and claims. */
	int drain_limit_ms;
	base_level_t log_level;
} entry_settings_t;

/*
 * Parse and check the settings in "text"; the result is allocated below "ctx".
 * On failure returns NULL and one error that lists all faults, one per line.
 */
entry_settings_t *entry_settings_load(const void *ctx, base_str_t text,
				      GError **err);

/* Run an entry until SIGTERM or SIGINT; returns the exit status. */
int entry_run(const entry_settings_t *settings, const base_log_t *log);

#endif
