/*
 * fleet_plan - targets, placement and moves.
 */
#ifndef FLEET_PLAN_H
#define FLEET_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include "fleet_budget.h"

/* Weights from the questionnaire, each 0 to 1; 0.5 for all is balanced. */
typedef struct fleet_weights {
	double buffer; /* cost of idle capacity */
	double moves;  /* cost of instances that change pool */
	double flood;  /* cost of harm by floods */
} fleet_weights_t;

/* Smoothed demand on a pool, in slots. */
typedef struct fleet_demand_stats {
	double mean;
	double stddev; /* standard deviation of the smoothed demand */
} fleet_demand_stats_t;

/*
 * Returns the fewest executors, spread evenly over the racks and zones, that
 * keep "need" up through the loss that the pool must survive; UINT32_MAX if no
 * number is enough.
 */
uint32_t fleet_plan_min_executors(const fleet_pool_t *pool, uint32_t need,
				  size_t n_racks, size_t n_zones);

typedef struct fleet_plan_in {
	const fleet_pool_t *pools;
	const fleet_demand_stats_t *demand;
	const uint32_t *members; /* by pool: executors that have not failed */
	const uint32_t *extra; /* by pool: executors beyond those configured */
	uint32_t free;	       /* instances in no pool */
	size_t n_pools, n_racks, n_zones;
	fleet_weights_t weights;
} fleet_plan_in_t;

/*
 * Computes "target", in executors by pool, so that as few instances as possible
 * have to change pool.
 */
void fleet_plan_targets(const fleet_plan_in_t *in, uint32_t *target);

/*
 * Counts of instances by pool, rack and zone.  "in_rack" is a matrix of n_pools
 * rows and n_racks columns, "in_zone" one of n_pools rows and n_zones columns.
 */
typedef struct fleet_place {
	size_t n_pools, n_racks, n_zones;
	uint32_t *rack_zone; /* zone index of each rack */
	uint16_t *in_rack;   /* executors, by pool and rack */
	uint32_t *in_zone;   /* executors, by pool and zone */
	uint32_t *free;	     /* free instances, by rack */
	uint32_t *free_zone; /* free instances, by zone */
} fleet_place_t;

/* Sets all counts to 0, allocated below "ctx". */
void fleet_place_init(fleet_place_t *place, const void *ctx, size_t n_pools,
		      size_t n_racks, size_t n_zones);

/*
 * Returns whether "a", which lacks "a_lacks" executors, is placed before "b",
 * which lacks "b_lacks".
 */
bool fleet_place_before(const fleet_pool_t *a, uint32_t a_lacks,
			const fleet_pool_t *b, uint32_t b_lacks);

/*
 * Returns the rack from which "pool", which is configured as "conf", takes a
 * free instance: one in the zone and the rack that hold the fewest of its
 * members.  Returns n_racks when no instance is free.
 */
size_t fleet_place_pick_rack(const fleet_place_t *place, size_t pool,
			     const fleet_pool_t *conf);

/* Counts a free instance of rack "rack" as a member of "pool". */
void fleet_place_take(fleet_place_t *place, size_t pool, size_t rack);

#endif
