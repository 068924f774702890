/* fleet_int - declarations shared by the files of this package. */
#ifndef FLEET_INT_H
#define FLEET_INT_H

#include <jansson.h>
#include <string.h>

#include "fleet.h"

#define FLEET_NO_POOL (-1)

/* The record of one instance, as the store holds it. */
typedef struct fleet_rec {
	uint64_t inc;
	uint64_t seq; /* grows with every change of this record */
	int32_t pool; /* index of its pool, or FLEET_NO_POOL */
	int32_t to;   /* index of the pool it moves to, for FLEET_FOR_MOVE */
	fleet_state_t state;
	fleet_purpose_t purpose;
	int64_t since;	    /* when the state began */
	int64_t maintained; /* when the last maintenance ended */
} fleet_rec_t;

typedef struct fleet_inst {
	char *id;
	uint32_t zone, rack, shard;

	bool listed, leaving;
	uint64_t inc;
	int64_t alive_at;

	fleet_rec_t rec;
	fleet_rec_t staged_rec; /* record that this fleet_step() writes */
	bool staged;		/* "staged_rec" is set */

	fleet_purpose_t order; /* what an operator ordered for it */
	int64_t order_at;

	uint64_t confirmed_seq;
	uint64_t confirmed_mask; /* entries that confirmed confirmed_seq, one
				    bit per element of fleet.entries */
	uint64_t idle_seq;	 /* seq of the record under which the instance
				    was reported to run no task */

	int64_t reboot_asked_at; /* when this process last requested a reboot */

	/* Computed by the last step. */
	bool up;
	bool granted; /* the loaded account has a grant for rec.seq */
	fleet_purpose_t grant_purpose;
	int32_t grant_to;
	fleet_wait_reason_t wait_reason;
	uint32_t wait_entry; /* index of the entry that has not confirmed */
	struct fleet_inst *next_free; /* next free instance of its rack */
} fleet_inst_t;

/*
 * Permission for one instance to be out of service, recorded in the budget
 * account of its pool.
 */
typedef struct fleet_grant {
	char *id;
	uint64_t seq; /* seq of the instance record that the grant is for */
	fleet_purpose_t purpose;
	int32_t to;
} fleet_grant_t;

/* The budget account of one pool, with its configuration and demand. */
typedef struct fleet_acct {
	fleet_pool_t conf;
	char *name, *key;
	int64_t rev;
	uint64_t fence;	       /* fencing token of its last writer */
	fleet_grant_t *grants; /* grants that the store holds */
	size_t n_grants;
	fleet_grant_t *new_grants; /* grants that this fleet_step() writes */
	size_t n_new_grants;
	bool dirty; /* "new_grants" is to be written */

	/* Moving averages of the demand, in slots. */
	double short_avg, long_avg, variance;
	int64_t demand_at, demand_since;

	/* Computed by the last step. */
	uint32_t planned_members; /* members once all moves are done, without
				     failed ones */
	uint32_t current_members, failed, out, due;
	uint32_t out_for_reboot; /* those of "out" that are out for a reboot */
	uint32_t returning;	 /* instances that this fleet_step() returned to
				    service and that are not up yet */
	fleet_up_t up;
	uint32_t target;
	int64_t below_target_since; /* 0: the pool is not below its target */
} fleet_acct_t;

typedef struct fleet_shard {
	char *key;
	int64_t rev;
	bool dirty;
	GPtrArray *insts;
} fleet_shard_t;

typedef struct fleet_entry_slot {
	char *id;
	uint64_t inc;
	bool used;
} fleet_entry_slot_t;

struct fleet {
	fleet_opts_t opts;
	uint64_t fence; /* fencing token of this holder's fleet lease */

	fleet_acct_t *pools;
	size_t n_pools;

	char **zones;
	size_t n_zones;
	char **racks;
	uint32_t *rack_zone; /* zone index of each rack */
	size_t n_racks;
	GHashTable *rack_index;

	fleet_shard_t *shards; /* FLEET_SHARDS per zone */
	GPtrArray *insts;
	GHashTable *by_id;

	fleet_entry_slot_t entries[FLEET_ENTRIES_MAX];
	bool entries_full;
	bool tasks_may_run; /* jobs may run tasks on instances */

	fleet_wave_t wave;	/* as the store holds it */
	fleet_wave_t wave_next; /* as fleet_step() writes it, if "wave_dirty" */
	bool wave_dirty;

	GHashTable *revs;   /* maps a key to its loaded revision */
	uint64_t version;   /* grows with every record loaded */
	int64_t planned_at; /* when targets were last computed; 0: never */
};

/* State of one call of fleet_step(). */
typedef struct fleet_run {
	fleet_t *fleet;
	int64_t now;
	void *tmp;
	fleet_place_t up;      /* executors that are up */
	fleet_place_t planned; /* members after moves, and free instances */
	/* Numbers of racks and zones with a listed instance. */
	size_t racks_used, zones_used;
	fleet_inst_t **free_head; /* by rack: list of free instances */
	fleet_ops_t *ops;
} fleet_run_t;

/* fleet_model.c */
bool fleet_demand_known(const fleet_acct_t *acct, int64_t now);
int32_t fleet_pool_index(fleet_t *fleet, const char *name, bool add);
fleet_inst_t *fleet_inst_find(const fleet_t *fleet, const char *id);
fleet_inst_t *fleet_inst_add(fleet_t *fleet, const char *id, const char *zone,
			     const char *rack);

uint32_t fleet_zone_index(fleet_t *fleet, const char *name);

/* fleet_rec.c */
char *fleet_shard_encode(const fleet_t *fleet, const void *ctx,
			 const fleet_shard_t *shard);
char *fleet_acct_encode(const fleet_t *fleet, const void *ctx,
			const fleet_acct_t *acct);

/* fleet_tally.c */
void fleet_tally(fleet_run_t *run);
bool fleet_is_alive(const fleet_t *fleet, const fleet_inst_t *inst,
		    int64_t now);
bool fleet_may_take_out(const fleet_run_t *run, const fleet_inst_t *inst);
void fleet_count_out(fleet_run_t *run, fleet_inst_t *inst);

/* fleet_step.c */
fleet_rec_t *fleet_stage(fleet_run_t *run, fleet_inst_t *inst,
			 fleet_event_t event);

/* fleet_grant.c */
void fleet_release_grants(fleet_run_t *run);
void fleet_grant_all(fleet_run_t *run);

/* fleet_move.c */
void fleet_update_targets(fleet_run_t *run);
void fleet_assign(fleet_run_t *run);
void fleet_start_moves(fleet_run_t *run);
bool fleet_try_grant(fleet_run_t *run, fleet_inst_t *inst,
		     fleet_purpose_t purpose, int32_t to);

/* fleet_wave.c */
void fleet_wave_step(fleet_run_t *run);
bool fleet_wave_due(const fleet_t *fleet, const fleet_inst_t *inst);

#endif
