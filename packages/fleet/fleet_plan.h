/*
 * fleet_plan - targets, placement and moves.
 */
#ifndef FLEET_PLAN_H
#define FLEET_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include "fleet_budget.h"

/* What the answers weigh; each 0 to 1, 0.5 for all is even. */
typedef struct fleet_weights {
	double buffer; /* dislike of idle capacity */
	double moves;  /* dislike of moves */
	double flood;  /* dislike of harm by floods */
} fleet_weights_t;

/* Demand on a pool in slots, smoothed. */
typedef struct fleet_load {
	double mean;
	double spread; /* standard deviation of the smoothed demand */
} fleet_load_t;

/* The fewest executors over "n_racks" racks that keep "need" up. */
uint32_t fleet_plan_floor(const fleet_pool_t *pool, uint32_t need,
			  size_t n_racks, size_t n_zones);

typedef struct fleet_plan_in {
	const fleet_pool_t *pools;
	const fleet_load_t *loads;
	const uint32_t *members; /* usable executors today, a pool */
	const uint32_t *extra;	 /* wanted beyond the configuration's */
	uint32_t free;		 /* instances in no pool */
	size_t n_pools, n_racks, n_zones;
	fleet_weights_t weights;
} fleet_plan_in_t;

/*
 * Fill "target" (executors, a pool) so that as few instances as possible have
 * to move from where they are.
 */
void fleet_plan_targets(const fleet_plan_in_t *in, uint32_t *target);

/*
 * Where instances of pools stand: counts by rack and zone.  "in" is a matrix
 * of n_pools rows and n_racks columns.
 */
typedef struct fleet_place {
	size_t n_pools, n_racks, n_zones;
	uint32_t *rack_zone; /* zone of each rack */
	uint16_t *in;	     /* pool by rack */
	uint32_t *in_zone;   /* pool by zone */
	uint32_t *free;	     /* unassigned instances, a rack */
	uint32_t *free_zone; /* unassigned instances, a zone */
} fleet_place_t;

/* Make empty counts below "ctx". */
void fleet_place_init(fleet_place_t *place, const void *ctx, size_t n_pools,
		      size_t n_racks, size_t n_zones);

/* Whether "a" is placed before "b", which lack so many executors. */
bool fleet_place_before(const fleet_pool_t *a, uint32_t a_lacks,
			const fleet_pool_t *b, uint32_t b_lacks);

/*
 * The rack whose free instance "pool", which is configured as "conf", should
 * take: the zone and the rack that hold the fewest of it.  n_racks when
 * nothing is free.
 */
size_t fleet_place_pick(const fleet_place_t *place, size_t pool,
			const fleet_pool_t *conf);

/* Count one instance of rack "rack" into "pool". */
void fleet_place_take(fleet_place_t *place, size_t pool, size_t rack);

#endif
