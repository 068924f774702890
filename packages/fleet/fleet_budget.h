/*
 * fleet_budget - the executors that a pool must keep up, and the check whether
 * a site can keep them up.
 */
#ifndef FLEET_BUDGET_H
#define FLEET_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Configuration of a pool. */
typedef struct fleet_pool {
	const char *name;
	uint32_t executors;
	uint32_t slots;	    /* concurrent requests per executor */
	uint32_t min_up;    /* executors that must be up at any time */
	bool survive_rack;  /* min_up must hold after the loss of a rack */
	bool survive_zone;  /* min_up must hold after the loss of a zone */
	bool spare;	    /* the pool lends instances to other pools */
	bool unmaintained;  /* waves take no executor of the pool out */
	uint32_t drain_max; /* executors that a wave may have out at once; 0: as
			       many as the budget allows */
} fleet_pool_t;

typedef struct fleet_rack {
	uint32_t zone; /* index of its zone */
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
	FLEET_REFUSE_MIN_UP,   /* min_up is 0 or exceeds the pool's executors */
	FLEET_REFUSE_RACK,     /* loss of a rack leaves fewer than min_up */
	FLEET_REFUSE_ZONE,     /* loss of a zone leaves fewer than min_up */
	FLEET_REFUSE_DRAIN,    /* min_up leaves no executor to drain */
	FLEET_REFUSE_MAX
} fleet_refusal_kind_t;

/*
 * A budget that cannot be met, and the smallest changes, each of which is
 * enough alone.
 */
typedef struct fleet_refusal {
	fleet_refusal_kind_t kind;
	size_t pool;	    /* index of the pool; n_pools for the whole site */
	uint32_t min_up;    /* greatest min_up that can be met; 0: none */
	uint32_t executors; /* fewest executors with which the budget can be
			       met; UINT32_MAX if no number is enough */
	uint32_t instances; /* instances to add to the site for "executors" */
	char text[256];	    /* message for the operator */
} fleet_refusal_t;

/*
 * Checks every pool of the site, with executors placed as the planner places
 * them.  Stores the refusals in "*out", allocated below "ctx", and returns
 * their number; 0 means that all budgets can be met.
 */
size_t fleet_budget_check(const void *ctx, const fleet_site_t *site,
			  fleet_refusal_t **out);

/*
 * Executors of one pool that are up, and the most of them in one rack and in
 * one zone.
 */
typedef struct fleet_up {
	uint32_t up;
	uint32_t worst_rack;
	uint32_t worst_zone;
} fleet_up_t;

/*
 * Returns how many executors may be taken out; negative when the loss of one
 * failure domain would leave fewer than min_up.
 */
int32_t fleet_budget_headroom(const fleet_pool_t *pool, const fleet_up_t *up);

#endif
