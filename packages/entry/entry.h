/*
 * entry - cactusfieldd: serves callers and takes part in the control work.
 *
 * Each part is a service of the micro-kernel; see entry_services.c for their
 * names and order.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "base.h"
#include "kern.h"
#include "plat.h"

#define ENTRY_ERROR entry_error_quark()
GQuark entry_error_quark(void);

typedef enum entry_error {
	ENTRY_ERROR_SETTINGS, /* a setting is wrong; the text names its path */
	ENTRY_ERROR_LISTEN,   /* a port cannot be had */
	ENTRY_ERROR_CONFIG,   /* a configuration was refused */
	ENTRY_ERROR_MAX
} entry_error_t;

typedef struct entry_listen {
	char *address; /* IP number */
	int port;
	int threads; /* connections served at once */
} entry_listen_t;

/*
 * The settings of one entry, cactusfieldd-settings(5).
 */
typedef struct entry_settings {
	char *name; /* of this entry, unique in its site */
	char *zone;
	entry_listen_t caller;	  /* callers' port */
	entry_listen_t operators; /* operators' port */
	char *operators_key;	  /* secret that operators show there */
	entry_listen_t peer;	  /* other entries' port */
	char *peer_key;		  /* shared secret of all entries */
	char **seeds; /* "ADDRESS:PORT" of other entries' peer ports */
	size_t seed_count;
	int test_cuts; /* 1: /cut on the operators' port cuts zones off */
	plat_address_t store;
	plat_address_t list;
	plat_address_t actions; /* reboots; the list's address if absent */
	plat_address_t tasks;	/* pods; the list's address if absent */
	int balancer_lag_ms;	/* until the balancer sees a planned stop */
	int drain_limit_ms;	/* longest wait for requests in flight */
	base_level_t log_level;
} entry_settings_t;

/*
 * Read and check the settings in "text"; all faults of the text are told in
 * one error, a line each.
 */
entry_settings_t *entry_settings_load(const void *ctx, base_str_t text,
				      GError **err);

/* Run an entry until SIGTERM or SIGINT; returns the exit status. */
int entry_run(const entry_settings_t *settings, const base_log_t *log);

#endif
