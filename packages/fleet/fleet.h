/*
 * fleet - decisions on capacity: budget accounts, pool ownership, planning and
 * maintenance.
 *
 * The package does no I/O.  The entry that holds the fleet lease runs one
 * fleet_t: it loads the records of the store, feeds in the platform's list and
 * the reports of the entries, and calls fleet_step(), which returns writes and
 * reboots.  A write is a compare-and-swap of one key.  It changes the fleet_t
 * only when fleet_load() loads what the store then holds, whether the write
 * succeeded, was refused or its answer was lost.  No other state matters, so
 * any entry can take over at any time.
 *
 * Times are microseconds of the wall clock; "now" is an argument.
 *
 * Terms:
 *
 *	record		the value of one key in the store; the record of an
 *			instance is its part of the value of its shard
 *	executor	an instance that is a member of a pool
 *	account		budget account: the record of one pool that lists its
 *			grants and the fencing token of its last writer
 *	grant		permission for one instance to be out of service
 *	order		an operator's request to reboot one instance or to keep
 *			it out of service
 *	step		one call of fleet_step()
 *	holder		the entry that holds the fleet lease
 */
#ifndef FLEET_H
#define FLEET_H

#include "base.h"

#include "fleet_budget.h"
#include "fleet_own.h"
#include "fleet_plan.h"
#include "fleet_wave.h"
#include "fleet_why.h"

#define FLEET_SHARDS 16	     /* instance records per zone */
#define FLEET_ENTRIES_MAX 64 /* maximum entries tracked at once */

#define FLEET_ERROR fleet_error_quark()

typedef enum fleet_error {
	FLEET_ERROR_KEY,    /* not a key of this package */
	FLEET_ERROR_RECORD, /* the value does not decode */
	FLEET_ERROR_MAX
} fleet_error_t;

GQuark fleet_error_quark(void);

#define FLEET_POOLS_PREFIX "/cactusfield/pools/"   /* + ZONE/SHARD */
#define FLEET_BUDGET_PREFIX "/cactusfield/budget/" /* + POOL */

typedef struct fleet fleet_t;

/* Limits in microseconds; 0 selects the default. */
typedef struct fleet_opts {
	int64_t alive_for;    /* an instance counts as alive for this long after
				 the last evidence */
	int64_t fail_after;   /* an instance has failed after this long without
				 evidence that it is alive */
	int64_t boot_max;     /* an instance whose reboot takes longer has
				 failed */
	int64_t boot_retry;   /* time between requests for the same reboot */
	int64_t forget_after; /* time until the record of a failed,
				 unlisted instance is dropped */
	int64_t deadline;     /* maximum time between two maintenances */
	int64_t wave_lead;    /* a wave starts this long before a deadline */
	int64_t failure_window; /* failures of instances within this time count
				   as correlated */
	int64_t plan_interval;	/* time between computations of the pools'
				   targets */
	int64_t move_delay;	/* a pool is below its target at least this long
				   before an instance moves to it */
	fleet_weights_t weights;
} fleet_opts_t;

/* Returns a new empty fleet, allocated below "ctx". */
fleet_t *fleet_new(const void *ctx, const fleet_opts_t *opts);

/* Replaces the limits; records and observations stay. */
void fleet_set_opts(fleet_t *fleet, const fleet_opts_t *opts);

/*
 * Sets the pools of a configuration.  Pools that it does not name get no
 * executors.
 */
void fleet_configure(fleet_t *fleet, const fleet_pool_t *pools, size_t n);

/*
 * Sets the fencing token of the fleet lease, which grows with every holder.  A
 * budget account that carries a greater token is no longer written.
 */
void fleet_set_fencing_token(fleet_t *fleet, uint64_t token);

/* Returns the greatest fencing token of the loaded budget accounts. */
uint64_t fleet_max_fencing_token(const fleet_t *fleet);

/* One instance as reported by the platform's list and by probes. */
typedef struct fleet_obs {
	const char *id;
	uint64_t inc; /* incarnation */
	const char *zone;
	const char *rack;
	bool leaving;
	int64_t alive_at; /* latest evidence that this incarnation is alive */
} fleet_obs_t;

/*
 * Records an observation.  An older incarnation is ignored, and older evidence
 * does not replace newer evidence.
 */
void fleet_observe(fleet_t *fleet, const fleet_obs_t *obs);

/* Records that the instance is no longer on the platform's list. */
void fleet_unlist_instance(fleet_t *fleet, const char *id);

/*
 * Records an entry that may route requests.  A drain completes only when every
 * recorded entry has confirmed it.  "gone" removes the entry: the platform says
 * that this incarnation ended, or the entry announced that it leaves; a lapsed
 * lease is not enough.  Returns false when the table is full; then no drain
 * completes.
 */
bool fleet_track_entry(fleet_t *fleet, const char *id, uint64_t inc, bool gone);

/*
 * Records that the entry has applied the record "seq" of the instance, sends it
 * no new work and has nothing in flight there.
 */
void fleet_confirm(fleet_t *fleet, const char *entry, uint64_t entry_inc,
		   const char *instance, uint64_t seq);

/*
 * Replaces the report of the holder of the jobs lease.  "idle" lists the
 * instances that run no task, and get none while the "seq" of their records is
 * the given one.
 * While "may_run" is set, no other instance becomes drained.
 */
typedef struct fleet_idle {
	const char *id;
	uint64_t seq;
} fleet_idle_t;

void fleet_set_idle(fleet_t *fleet, bool may_run, const fleet_idle_t *idle,
		    size_t n);

/*
 * Adds a sample of the demand on a pool, in slots.  To be called every few
 * seconds.
 */
void fleet_add_demand(fleet_t *fleet, const char *pool, double slots,
		      int64_t now);

/*
 * Loads the record "key" as the store holds it at revision "rev".  "value" may
 * be empty for a key that does not exist (rev 0).  A revision that is not newer
 * than the loaded one is ignored.  Returns false and sets "err" if the key is
 * unknown or the value does not decode.
 */
bool fleet_load(fleet_t *fleet, const char *key, base_str_t value, int64_t rev,
		GError **err);

/* Returns a counter that grows with every record loaded. */
uint64_t fleet_version(const fleet_t *fleet);

/*
 * Operators' orders for single instances are one record, FLEET_ORDERS_KEY,
 * which is written by compare-and-swap.  fleet_order_edit() returns the new
 * value made from "old", allocated below "ctx", or NULL when "old" does not
 * decode.  FLEET_FOR_NONE withdraws the order.  A reboot order is done once the
 * instance has come back after "now".
 */
#define FLEET_ORDERS_KEY "/cactusfield/orders"

char *fleet_order_edit(const void *ctx, base_str_t old, const char *id,
		       fleet_purpose_t purpose, int64_t now);

typedef enum fleet_op_kind {
	FLEET_OP_PUT,	 /* write "value" to "key" if its revision is "rev" */
	FLEET_OP_REBOOT, /* reboot instance "key" if its incarnation is "inc" */
	FLEET_OP_MAX
} fleet_op_kind_t;

typedef struct fleet_op {
	fleet_op_kind_t kind;
	const char *key;
	const char *value;
	int64_t rev;
	uint64_t inc;
} fleet_op_t;

typedef struct fleet_ops {
	fleet_op_t *ops;
	size_t n;
} fleet_ops_t;

/*
 * Decides what to write and which instances to reboot.  Returns these
 * operations, allocated below "ctx".
 */
fleet_ops_t *fleet_step(fleet_t *fleet, const void *ctx, int64_t now);

/* State of a pool after the last step, in executors. */
typedef struct fleet_pool_view {
	const char *name;
	uint32_t members, up, failed, out;
	uint32_t min_up, target;
	uint32_t worst_rack, worst_zone; /* executors up in the rack, or zone,
					   that has the most */
	int32_t drainable; /* executors that may be taken out now */
} fleet_pool_view_t;

size_t fleet_n_pools(const fleet_t *fleet);
bool fleet_pool_view(const fleet_t *fleet, size_t i, fleet_pool_view_t *view);

typedef struct fleet_inst_view {
	const char *id, *zone, *rack, *pool; /* "pool" is NULL if in none */
	uint64_t inc, seq;
	fleet_state_t state;
	fleet_purpose_t purpose;
	fleet_wait_reason_t wait_reason;
	bool up;
} fleet_inst_view_t;

size_t fleet_n_instances(const fleet_t *fleet);
void fleet_inst_view(const fleet_t *fleet, size_t i, fleet_inst_view_t *view);

/* Returns the wave record as last loaded. */
const fleet_wave_t *fleet_wave(const fleet_t *fleet);

/*
 * Returns a sentence on the state of the instance or pool "name" and on what it
 * waits for, allocated below "ctx"; NULL if there is none of that name.
 */
char *fleet_explain(const fleet_t *fleet, const void *ctx, const char *name,
		    int64_t now);

#endif
