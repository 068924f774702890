/*
 * fleet - decisions on capacity: budget account, pool ownership, planner and
 * maintenance.
 *
 * The package is pure.  Whichever entry holds the fleet duty drives one
 * fleet_t: it loads the records of the store, feeds what the platform's list
 * and the entries say, and calls fleet_step(), which returns writes and
 * reboots.  A write is a compare-and-swap of one key; its effect enters the
 * fleet_t only by fleet_load() of what the store then holds, whether the
 * answer came, was lost or was a refusal.  Nothing that matters is kept
 * elsewhere, so any entry can take over at any moment.
 *
 * Times are microseconds of the wall clock; "now" is an argument.
 */
#ifndef FLEET_H
#define FLEET_H

#include "base.h"

#include "fleet_budget.h"
#include "fleet_own.h"
#include "fleet_plan.h"
#include "fleet_wave.h"
#include "fleet_why.h"

#define FLEET_SHARDS 16	     /* records a zone */
#define FLEET_ENTRIES_MAX 64 /* entries that may route, at once */

#define FLEET_ERROR fleet_error_quark()

typedef enum fleet_error {
	FLEET_ERROR_KEY,    /* not a key of ours */
	FLEET_ERROR_RECORD, /* a value that does not decode */
	FLEET_ERROR_MAX
} fleet_error_t;

GQuark fleet_error_quark(void);

#define FLEET_POOLS_PREFIX "/cactusfield/pools/"   /* ZONE/SHARD */
#define FLEET_BUDGET_PREFIX "/cactusfield/budget/" /* POOL */

typedef struct fleet fleet_t;

/* Limits in microseconds unless said otherwise; zero takes the default. */
typedef struct fleet_opts {
	int64_t fresh;	    /* evidence of life older than this is none */
	int64_t fail_after; /* without life for this long: failed */
	int64_t boot_max;   /* a reboot takes at most this */
	int64_t boot_retry; /* ask again for a reboot after this */
	int64_t forget;	    /* drop the record of an absent instance */
	int64_t deadline;   /* every instance is maintained within this */
	int64_t lead;	    /* start a wave this long before a deadline */
	int64_t window;	    /* failures within it count as correlated */
	int64_t plan_every; /* how often targets are worked out */
	int64_t hold;	    /* a want must last this long before a move */
	fleet_weights_t weights;
} fleet_opts_t;

/* A new empty fleet below "ctx". */
fleet_t *fleet_new(const void *ctx, const fleet_opts_t *opts);

/* Take other limits; what was learned stays. */
void fleet_set_opts(fleet_t *fleet, const fleet_opts_t *opts);

/* Take the pools of a configuration; pools it no longer names want nothing. */
void fleet_configure(fleet_t *fleet, const fleet_pool_t *pools, size_t n);

/*
 * The fencing token of the duty's lease: it grows with every holder.  An
 * account that carries a greater one is not written any more.
 */
void fleet_fence(fleet_t *fleet, uint64_t token);

/* The greatest token in the accounts as loaded. */
uint64_t fleet_fence_seen(const fleet_t *fleet);

/* What is known of one instance, from the platform's list and from probes. */
typedef struct fleet_obs {
	const char *id;
	uint64_t inc; /* incarnation */
	const char *zone;
	const char *rack;
	bool leaving;
	int64_t alive_at; /* latest evidence that this incarnation lives */
} fleet_obs_t;

/* Take an observation; an older incarnation or evidence changes nothing. */
void fleet_observe(fleet_t *fleet, const fleet_obs_t *obs);

/* The instance is no longer on the platform's list. */
void fleet_absent(fleet_t *fleet, const char *id);

/*
 * An entry that may route.  One that is neither confirmed nor "gone" holds up
 * every drain.  Gone means: the platform says that this incarnation ended, or
 * it took its leave; a lapsed lease is not enough.  Returns false when the
 * table is full; no drain is then confirmed.
 */
bool fleet_entry(fleet_t *fleet, const char *id, uint64_t inc, bool gone);

/*
 * The entry applied the record "seq" of the instance, sends it no new work
 * and has nothing in flight there.
 */
void fleet_confirm(fleet_t *fleet, const char *entry, uint64_t entry_inc,
		   const char *instance, uint64_t seq);

/*
 * What the holder of the jobs' duty says of tasks: "idle" names the instances
 * that have none and get none as long as their records stand at "seq".  Takes
 * the place of what it said before.  While jobs "may_run", no other instance
 * is taken for drained.
 */
typedef struct fleet_idle {
	const char *id;
	uint64_t seq;
} fleet_idle_t;

void fleet_tasks(fleet_t *fleet, bool may_run, const fleet_idle_t *idle,
		 size_t n);

/* Demand on a pool in slots, to be called every few seconds. */
void fleet_demand(fleet_t *fleet, const char *pool, double slots, int64_t now);

/*
 * Take the record "key" as the store holds it at "rev".  "value" may be empty
 * for a key that does not exist (rev 0).  One older than what is known is
 * ignored.
 */
bool fleet_load(fleet_t *fleet, const char *key, base_str_t value, int64_t rev,
		GError **err);

/* Grows with every record that was taken in. */
uint64_t fleet_version(const fleet_t *fleet);

/*
 * Orders of operators for single instances are one record, FLEET_ORDERS_KEY,
 * written by compare-and-swap.  fleet_order_edit() returns the new value,
 * below "ctx", from the old one; FLEET_FOR_NONE withdraws the order.  NULL
 * when "old" does not decode.  A reboot is done once the instance came back
 * after "now".
 */
#define FLEET_ORDERS_KEY "/cactusfield/orders"

char *fleet_order_edit(const void *ctx, base_str_t old, const char *id,
		       fleet_purpose_t purpose, int64_t now);

typedef enum fleet_op_kind {
	FLEET_OP_PUT,	 /* write "value" to "key" if its revision is "rev" */
	FLEET_OP_REBOOT, /* reboot "key" if its incarnation is "inc" */
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

/* Decide.  The operations are below "ctx". */
fleet_ops_t *fleet_step(fleet_t *fleet, const void *ctx, int64_t now);

/* What is known of a pool after the last step. */
typedef struct fleet_pool_view {
	const char *name;
	uint32_t members, up, failed, out; /* executors */
	uint32_t min_up, target;
	uint32_t worst_rack, worst_zone; /* most that one loss takes */
	int32_t room; /* how many more may be taken out now */
} fleet_pool_view_t;

size_t fleet_n_pools(const fleet_t *fleet);
bool fleet_pool_view(const fleet_t *fleet, size_t i, fleet_pool_view_t *view);

typedef struct fleet_inst_view {
	const char *id, *zone, *rack, *pool; /* pool NULL: in none */
	uint64_t inc, seq;
	fleet_state_t state;
	fleet_purpose_t purpose;
	fleet_why_t why;
	bool up;
} fleet_inst_view_t;

size_t fleet_n_instances(const fleet_t *fleet);
void fleet_inst_view(const fleet_t *fleet, size_t i, fleet_inst_view_t *view);

/* The wave record as last loaded. */
const fleet_wave_t *fleet_wave(const fleet_t *fleet);

/*
 * A sentence with the facts used, below "ctx"; NULL when no instance or pool
 * has that name.
 */
char *fleet_explain(const fleet_t *fleet, const void *ctx, const char *name,
		    int64_t now);

#endif
