/*
 * entry_fleet - this entry's part in the fleet's records.
 *
 * One thread owns everything here.
 */
#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

#include "entry_int.h"
#include "site.h"

/* Demand on each pool through this entry, told anew now and then. */
typedef struct entry_demand entry_demand_t;

entry_demand_t *entry_demand_new(const void *ctx);

/* Look at the pools; at the end of a period what is told changes. */
void entry_demand_look(entry_demand_t *demand, entry_route_t *route,
		       int64_t now);

/* Put what is told into "own"; it stays the demand's. */
void entry_demand_tell(const entry_demand_t *demand, site_entry_t *own);

struct entry_fleet {
	entry_daemon_t *daemon;
	kern_duty_t *thread;
	plat_store_t *store;
	plat_action_t *action;
	plat_duty_t *duty;
	bool held;
	int64_t stepped_at;
	bool blind; /* the last step could not be decided */
	fleet_t *core;
	site_reader_t *reader; /* of the store's records into core */
	int64_t generation;    /* of the configuration that it follows */
	uint64_t applied;      /* version of the records that are routed by */
	char *key;	       /* of this entry's record */
	int64_t rev;
	uint64_t inc;
	entry_demand_t *demand;
	char *written;		  /* the record as it stands; NULL: none yet */
	struct entry_life *lives; /* processes that were seen to route */
	size_t life_count;
};

/* One step of the duty, while it is held. */
void entry_duty_step(entry_fleet_t *fleet, const void *ctx);

#endif
