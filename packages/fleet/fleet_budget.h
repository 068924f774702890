/*
 * fleet_budget - what a pool must keep up, and whether that can be met.
 */
#ifndef FLEET_BUDGET_H
#define FLEET_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A pool as the configuration asks for it. */
typedef struct fleet_pool {
	const char *name;
	uint32_t executors;
	uint32_t slots;	    /* requests at once, an executor */
	uint32_t min_up;    /* executors that must be up at any time */
	bool survive_rack;  /* also through the loss of any one rack */
	bool survive_zone;  /* also through the loss of any one zone */
	bool spare;	    /* lends to the others */
	bool unmaintained;  /* no wave takes an executor out */
	uint32_t drain_max; /* executors that waves have out at once; 0: as many
			       as the budget lets out */
} fleet_pool_t;

typedef struct fleet_rack {
	uint32_t zone; /* index */
	uint32_t instances;
} fleet_rack_t;

typedef struct fleet_site {
	const fleet_pool_t *pools;
	size_t n_pools;
	const fleet_rack_t *racks;
	size_t n_racks;
	size_t n_zones;
} fleet_site_t;

typedef enum fleet_refusal_kind {
	FLEET_REFUSE_MACHINES, /* more executors than instances */
	FLEET_REFUSE_MIN_UP,   /* must keep up more than it has, or nothing */
	FLEET_REFUSE_RACK,     /* the loss of one rack breaks it */
	FLEET_REFUSE_ZONE,     /* the loss of one zone breaks it */
	FLEET_REFUSE_DRAIN,    /* no executor could ever be drained */
	FLEET_REFUSE_MAX
} fleet_refusal_kind_t;

/* A fault and the smallest changes, each of which alone would mend it. */
typedef struct fleet_refusal {
	fleet_refusal_kind_t kind;
	size_t pool;	    /* index; n_pools for the site as a whole */
	uint32_t min_up;    /* the greatest that can be kept */
	uint32_t executors; /* the fewest that would do */
	uint32_t instances; /* further instances needed for that */
	char text[256];	    /* for people */
} fleet_refusal_t;

/*
 * Check every pool of the site, placed as the planner would place it.  The
 * refusals are below "ctx" in "*out", their number is returned; 0 means that
 * the budgets can be met.
 */
size_t fleet_budget_check(const void *ctx, const fleet_site_t *site,
			  fleet_refusal_t **out);

/* What is up of one pool, counted by failure domain. */
typedef struct fleet_up {
	uint32_t up;
	uint32_t worst_rack;
	uint32_t worst_zone;
} fleet_up_t;

/*
 * How many executors are to spare: negative when the loss of one failure
 * domain would break the budget.
 */
int32_t fleet_budget_room(const fleet_pool_t *pool, const fleet_up_t *up);

#endif
