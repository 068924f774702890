/*
 * fleet_world - a simulated store, platform and entries, for tests of the
 * fleet's decisions and for their bench.  Time is virtual.  Compiles as C and
 * as C++.
 */
#ifndef FLEET_WORLD_H
#define FLEET_WORLD_H

#include <glib.h>
#include <string.h>
#include <talloc.h>

#ifdef __cplusplus
extern "C" {
#endif
#include "fleet.h"
#ifdef __cplusplus
}
#endif

#define WORLD_KEYS 512
#define WORLD_ENTRIES 4
#define WORLD_START (1000000 * BASE_SEC)

typedef struct world_kv {
	char *key, *value;
	int64_t rev;
} world_kv_t;

typedef struct world_inst {
	char id[24], zone[16], rack[16];
	uint64_t inc;
	bool up, listed, fails_reboot, rebooting, has_task;
	int64_t back_at; /* when a reboot ends */
	int64_t seen_at; /* when the platform last saw it alive */
	char pool[32];	 /* its pool at the last measure_changes() */
} world_inst_t;

/* An entry routes by the records that it read last. */
typedef struct world_entry {
	char id[8];
	uint64_t inc;
	fleet_t *map; /* the records that it read */
	bool stuck;   /* it does not read the store */
} world_entry_t;

typedef struct world {
	int64_t now, rev, boot, drain;
	world_kv_t kv[WORLD_KEYS];
	size_t n_kv;
	world_inst_t *insts;
	size_t n;
	world_entry_t entries[WORLD_ENTRIES];
	size_t n_entries;
	bool store_down;	  /* the store does not answer */
	uint64_t writes;	  /* writes that the store accepted */
	uint64_t reboots;	  /* reboots that were carried out */
	uint64_t violations;	  /* reboots or moves of instances in use */
	char first_violation[96]; /* describes the first violation */
} world_t;

static inline world_t *world_new(size_t zones, size_t racks, size_t per_rack)
{
	world_t *w = talloc_zero(NULL, world_t);
	size_t n = 0;

	w->now = WORLD_START;
	w->boot = 300 * BASE_SEC;
	w->n = zones * racks * per_rack;
	w->insts = talloc_zero_array(w, world_inst_t, w->n);
	for (size_t z = 0; z < zones; z++)
		for (size_t r = 0; r < racks; r++)
			for (size_t i = 0; i < per_rack; i++) {
				world_inst_t *inst = &w->insts[n++];

				g_snprintf(inst->id, 24, "i%zu-%zu-%zu", z, r,
					   i);
				g_snprintf(inst->zone, 16, "zone-%zu", z);
				g_snprintf(inst->rack, 16, "r%zu-%zu", z, r);
				inst->inc = 1;
				inst->up = inst->listed = true;
			}
	return w;
}

static inline world_kv_t *world_find(world_t *w, const char *key)
{
	for (size_t i = 0; i < w->n_kv; i++)
		if (!strcmp(w->kv[i].key, key))
			return &w->kv[i];
	return NULL;
}

/*
 * Compare-and-swap of one key.  Returns false if its revision is not "rev"; 0
 * stands for a key that does not exist.
 */
static inline bool world_cas(world_t *w, const char *key, const char *value,
			     int64_t rev)
{
	world_kv_t *kv = world_find(w, key);

	if ((kv ? kv->rev : 0) != rev)
		return false;
	if (!kv) {
		g_assert_cmpuint(w->n_kv, <, WORLD_KEYS);
		kv = &w->kv[w->n_kv++];
		kv->key = talloc_strdup(w, key);
	}
	talloc_free(kv->value);
	kv->value = talloc_strdup(w, value);
	kv->rev = ++w->rev;
	w->writes++;
	return true;
}

static inline void world_load_key(fleet_t *fleet, const world_kv_t *kv)
{
	g_assert_true(
		fleet_load(fleet, kv->key, base_str(kv->value), kv->rev, NULL));
}

static inline void world_read(world_t *w, fleet_t *fleet, const char *key)
{
	world_kv_t *kv = world_find(w, key);

	if (kv && !w->store_down)
		world_load_key(fleet, kv);
}

static inline void world_read_all(world_t *w, fleet_t *fleet)
{
	for (size_t i = 0; !w->store_down && i < w->n_kv; i++)
		world_load_key(fleet, &w->kv[i]);
}

/* Feeds a holder the list, the probes and the entries. */
static inline void world_feed(world_t *w, fleet_t *fleet)
{
	for (size_t i = 0; i < w->n; i++) {
		world_inst_t *inst = &w->insts[i];
		fleet_obs_t obs = { inst->id,	inst->inc, inst->zone,
				    inst->rack, false,	   inst->seen_at };

		if (inst->listed)
			fleet_observe(fleet, &obs);
		else
			fleet_unlist_instance(fleet, inst->id);
	}
	for (size_t e = 0; e < w->n_entries; e++)
		fleet_track_entry(fleet, w->entries[e].id, w->entries[e].inc,
				  false);
}

static inline void world_add_entry(world_t *w)
{
	fleet_opts_t opts;
	world_entry_t *e = &w->entries[w->n_entries];

	memset(&opts, 0, sizeof(opts));
	g_snprintf(e->id, sizeof(e->id), "e%zu", w->n_entries++);
	e->inc = 1;
	e->map = fleet_new(w, &opts);
}

/*
 * Entries whose "stuck" is not set read the store, then confirm the instances
 * that they know as cordoned.
 */
static inline void world_confirm(world_t *w, fleet_t *fleet)
{
	fleet_inst_view_t view;

	for (size_t e = 0; e < w->n_entries; e++) {
		world_entry_t *entry = &w->entries[e];

		if (!entry->stuck)
			world_read_all(w, entry->map);
		for (size_t i = 0; i < fleet_n_instances(entry->map); i++) {
			fleet_inst_view(entry->map, i, &view);
			if (view.state == FLEET_CORDONED)
				fleet_confirm(fleet, entry->id, entry->inc,
					      view.id, view.seq);
		}
	}
}

/* Counts a violation if an entry still sends work to the instance. */
static inline void world_check_not_routed(world_t *w, const char *id,
					  const char *what)
{
	fleet_inst_view_t view;

	for (size_t e = 0; e < w->n_entries; e++)
		for (size_t i = 0; i < fleet_n_instances(w->entries[e].map);
		     i++) {
			fleet_inst_view(w->entries[e].map, i, &view);
			if (strcmp(view.id, id) != 0 ||
			    !fleet_state_serves(view.state))
				continue;
			if (!w->violations++)
				g_snprintf(w->first_violation,
					   sizeof(w->first_violation),
					   "%s of %s while %s routes to it",
					   what, id, w->entries[e].id);
		}
}

static inline world_inst_t *world_inst(world_t *w, const char *id)
{
	for (size_t i = 0; i < w->n; i++)
		if (!strcmp(w->insts[i].id, id))
			return &w->insts[i];
	return NULL;
}

static inline void world_reboot(world_t *w, const char *id, uint64_t inc)
{
	world_inst_t *inst = world_inst(w, id);

	if (!inst || inst->inc != inc || inst->rebooting)
		return;
	world_check_not_routed(w, id, "reboot");
	if (inst->has_task && !w->violations++)
		g_snprintf(w->first_violation, sizeof(w->first_violation),
			   "reboot of %s while it runs a task", id);
	inst->has_task = false;
	w->reboots++;
	inst->up = false;
	inst->rebooting = true;
	inst->back_at = w->now + w->boot;
}

typedef enum world_fault {
	WORLD_NO_FAULT,
	WORLD_LOST,   /* the operation takes effect, but its answer is lost */
	WORLD_REFUSED /* the request never arrives */
} world_fault_t;

static inline void world_apply_op(world_t *w, fleet_t *fleet,
				  const fleet_op_t *op, world_fault_t fault)
{
	if (op->kind == FLEET_OP_REBOOT) {
		if (fault != WORLD_REFUSED)
			world_reboot(w, op->key, op->inc);
		return;
	}
	if (w->store_down || fault == WORLD_REFUSED)
		return;
	world_cas(w, op->key, op->value, op->rev);
	if (fault == WORLD_NO_FAULT)
		world_read(w, fleet, op->key);
}

/* Advances the time, ends reboots and updates the list. */
static inline void world_tick(world_t *w, int64_t us)
{
	w->now += us;
	for (size_t i = 0; i < w->n; i++) {
		world_inst_t *inst = &w->insts[i];

		if (inst->rebooting && w->now >= inst->back_at) {
			inst->rebooting = false;
			inst->inc++;
			inst->up = !inst->fails_reboot;
		}
		if (inst->up)
			inst->seen_at = w->now;
	}
}

/* Runs one turn of a holder without faults. */
static inline void world_turn(world_t *w, fleet_t *fleet, int64_t us)
{
	fleet_ops_t *ops;

	world_tick(w, us);
	world_read_all(w, fleet);
	world_feed(w, fleet);
	world_confirm(w, fleet);
	ops = fleet_step(fleet, NULL, w->now);
	for (size_t i = 0; i < ops->n; i++)
		world_apply_op(w, fleet, &ops->ops[i], WORLD_NO_FAULT);
	talloc_free(ops);
}

/* The five pools of a site of today's size. */
static inline size_t world_pools(const fleet_pool_t **pools)
{
	static const fleet_pool_t five[] = {
		{ "gate-desk", 9, 8, 7, true, false, false, false, 0 },
		{ "load-board", 9, 8, 7, true, false, false, false, 0 },
		{ "yard-eye", 11, 8, 9, true, false, false, false, 0 },
		{ "community-book", 12, 8, 10, true, false, false, false, 0 },
		{ "family-ledger", 8, 8, 5, true, false, true, false, 0 },
	};

	*pools = five;
	return ARRAY_SIZE(five);
}

#endif
