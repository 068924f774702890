/*
 * entry_fleet - follows the fleet's records and runs the fleet duty.
 *
 * Everything here belongs to one thread.
 */
#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

#include "entry_int.h"
#include "site.h"

/* Mean demand on each pool through this entry, reported once a period. */
typedef struct entry_demand entry_demand_t;

entry_demand_t *entry_demand_new(const void *ctx);

/* Sample the pools; the end of a period replaces the reported means. */
void entry_demand_sample(entry_demand_t *demand, entry_route_t *route,
			 int64_t now);

/*
 * Point "own" to the means of the last period; "demand" keeps owning the
 * memory.
 */
void entry_demand_report(const entry_demand_t *demand, site_entry_t *own);

struct entry_fleet {
	entry_daemon_t *daemon;
	kern_thread_t *thread;
	plat_store_t *store;
	plat_action_t *action;
	plat_duty_t *duty;
	/* Whether the duty was held at the last tick. */
	bool duty_held;
	int64_t stepped_at;   /* time of the last step of the duty */
	bool is_read_failing; /* the last step could not read its inputs */
	fleet_t *core;
	site_reader_t *reader; /* loads the store's records into "core" */
	/* Generation of the configuration that "core" uses. */
	int64_t generation;
	/* Version of the fleet records that the router uses. */
	uint64_t applied_version;
	/* Key of this entry's record in the store. */
	char *key;
	/* Revision of the record at "key"; 0: absent. */
	int64_t rev;
	uint64_t inc; /* incarnation of this process */
	entry_demand_t *demand;
	/* Text of this entry's record in the store; NULL: not written yet. */
	char *written_record;
	struct entry_process *processes; /* entry processes seen in the store */
	size_t process_count;
};

/*
 * Run one step of the fleet duty; to be called only while this entry holds it.
 */
void entry_duty_step(entry_fleet_t *fleet, const void *ctx);

#endif
