/*
 * fleet_int - what the files of this package share.
 */
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
	int32_t pool;
	int32_t to; /* FLEET_FOR_MOVE: the pool it is drained for */
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
	fleet_rec_t next; /* staged in this step */
	bool staged;

	fleet_purpose_t order; /* an operator's */
	int64_t order_at;

	uint64_t confirmed_seq;
	uint64_t confirmed; /* a bit an entry */
	uint64_t idle_seq;  /* of the record at which it has no task */

	int64_t asked_at; /* last reboot asked for by this process */

	/* Of the last step. */
	bool up;
	bool granted; /* a grant of this very seq stands */
	fleet_purpose_t grant_purpose;
	int32_t grant_to;
	fleet_why_t why;
	uint32_t why_entry;
	struct fleet_inst *next_free; /* in the same rack */
} fleet_inst_t;

/* Leave for one instance to be out, drawn on its pool's account. */
typedef struct fleet_grant {
	char *id;
	uint64_t seq; /* of the record that it was given for */
	fleet_purpose_t purpose;
	int32_t to;
} fleet_grant_t;

typedef struct fleet_acct {
	fleet_pool_t conf;
	char *name, *key;
	int64_t rev;
	uint64_t fence;
	fleet_grant_t *grants; /* as the store holds them */
	size_t n_grants;
	fleet_grant_t *next; /* as this step wants them */
	size_t n_next;
	bool dirty; /* "next" is to be written */

	/* Demand, smoothed twice. */
	double fast, slow, var;
	int64_t demand_at, demand_since;

	/* Of the last step. */
	uint32_t members; /* usable, as they will be after moves */
	uint32_t now_members, failed, out, due;
	uint32_t rebooted;  /* of "out", to be rebooted, or being so */
	uint32_t returning; /* turned back in this step, not up yet */
	fleet_up_t up;
	uint32_t target;
	int64_t short_since; /* 0: has what it wants */
} fleet_acct_t;

typedef struct fleet_shard {
	char *key;
	int64_t rev;
	bool dirty;
	GPtrArray *insts;
} fleet_shard_t;

typedef struct fleet_router {
	char *id;
	uint64_t inc;
	bool used;
} fleet_router_t;

struct fleet {
	fleet_opts_t opts;
	uint64_t fence;

	fleet_acct_t *pools;
	size_t n_pools;

	char **zones;
	size_t n_zones;
	char **racks;
	uint32_t *rack_zone;
	size_t n_racks;
	GHashTable *rack_index;

	fleet_shard_t *shards; /* FLEET_SHARDS a zone */
	GPtrArray *insts;
	GHashTable *by_id;

	fleet_router_t entries[FLEET_ENTRIES_MAX];
	bool entries_full;
	bool jobs; /* may run tasks on instances */

	fleet_wave_t wave;
	fleet_wave_t wave_next;
	bool wave_dirty;

	GHashTable *revs; /* key to the revision that is known */
	uint64_t version;
	int64_t planned_at;
};

/* One step under way. */
typedef struct fleet_run {
	fleet_t *fleet;
	int64_t now;
	void *tmp;
	fleet_place_t up;	       /* what is up, and what is unassigned */
	fleet_place_t have;	       /* where the members stand */
	size_t racks_used, zones_used; /* with an instance in them */
	fleet_inst_t **free_head;      /* unassigned instances, a rack */
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
bool fleet_alive(const fleet_t *fleet, const fleet_inst_t *inst, int64_t now);
bool fleet_may_take(const fleet_run_t *run, const fleet_inst_t *inst);
void fleet_take(fleet_run_t *run, fleet_inst_t *inst);

/* fleet_step.c */
fleet_rec_t *fleet_stage(fleet_run_t *run, fleet_inst_t *inst,
			 fleet_event_t event);

/* fleet_grant.c */
void fleet_release(fleet_run_t *run);
void fleet_grant_all(fleet_run_t *run);

/* fleet_move.c */
void fleet_targets(fleet_run_t *run);
void fleet_assign(fleet_run_t *run);
void fleet_moves(fleet_run_t *run);
bool fleet_give(fleet_run_t *run, fleet_inst_t *inst, fleet_purpose_t purpose,
		int32_t to);

/* fleet_wave.c */
void fleet_wave_step(fleet_run_t *run);
bool fleet_wave_due(const fleet_t *fleet, const fleet_inst_t *inst);

#endif
