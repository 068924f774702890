/*
 * entry_fleet - this entry's part in the fleet's records.
 *
 * One thread owns everything here.
 */
#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

#include "entry_int.h"
#include "site.h"

struct entry_fleet {
	entry_daemon_t *daemon;
	kern_duty_t *thread;
	plat_store_t *store;
	plat_action_t *action;
	plat_duty_t *duty;
	bool held;
	fleet_t *core;
	int64_t generation; /* of the configuration that it follows */
	uint64_t applied;   /* version of the records that are routed by */
	char *key;	    /* of this entry's record */
	int64_t rev;
	uint64_t inc;
	char *written; /* the record as it stands; NULL: none yet */
	GHashTable
		*ended; /* "NAME/INCARNATION" of processes known to be gone */
};

/* One step of the duty, while it is held. */
void entry_duty_step(entry_fleet_t *fleet, const void *ctx);

#endif
