#include <math.h>

#include "fleet_int.h"

#define MOVES_PER_STEP 16
/* Multiples of move_delay added where the weight of moves is 1. */
#define MOVE_DELAY_FACTOR 30

static uint32_t drain_extra(const fleet_run_t *run, const fleet_acct_t *acct);
static size_t first_below_target(const fleet_t *fleet);
static bool assign_one(fleet_run_t *run, size_t pool);
static size_t furthest_below_target(const fleet_run_t *run);
static int64_t move_due_at(const fleet_t *fleet, const fleet_acct_t *acct);
static fleet_inst_t *pick_free(fleet_run_t *run, size_t rack);
static fleet_inst_t *pick_to_move(fleet_run_t *run, size_t to);
static bool is_better_move(const fleet_run_t *run, size_t to,
			   const fleet_inst_t *a, const fleet_inst_t *b);
static void count_move(fleet_run_t *run, const fleet_inst_t *inst, size_t to);

void fleet_update_targets(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;
	fleet_plan_in_t in = { .n_pools = fleet->n_pools,
			       .n_racks = run->racks_used,
			       .n_zones = run->zones_used,
			       .weights = fleet->opts.weights };
	size_t n = fleet->n_pools;
	fleet_pool_t *pools = talloc_array(run->tmp, fleet_pool_t, n);
	fleet_demand_stats_t *demand =
		talloc_array(run->tmp, fleet_demand_stats_t, n);
	uint32_t *members = talloc_array(run->tmp, uint32_t, n);
	uint32_t *extra = talloc_array(run->tmp, uint32_t, n);
	uint32_t *target = talloc_array(run->tmp, uint32_t, n);

	if (fleet->planned_at &&
	    run->now - fleet->planned_at < fleet->opts.plan_interval)
		return;
	fleet->planned_at = run->now;
	for (size_t i = 0; i < n; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];

		pools[i] = acct->conf;
		demand[i] = (fleet_demand_stats_t){ 0 };
		if (fleet_demand_known(acct, run->now))
			demand[i] =
				(fleet_demand_stats_t){ acct->long_avg,
							sqrt(acct->variance) };
		members[i] = acct->planned_members;
		extra[i] = drain_extra(run, acct);
	}
	for (size_t z = 0; z < fleet->n_zones; z++)
		in.free += run->planned.free_zone[z];
	in.pools = pools;
	in.demand = demand;
	in.members = members;
	in.extra = extra;
	fleet_plan_targets(&in, target);
	for (size_t i = 0; i < n; i++) {
		fleet_acct_t *acct = &fleet->pools[i];

		acct->target = target[i];
		if (acct->planned_members >= acct->target)
			acct->below_target_since = 0;
		else if (!acct->below_target_since)
			acct->below_target_since = run->now;
	}
}

/*
 * Assigns free instances, which run no work, to the pools below their targets,
 * one pool after another.  fleet_place_pick_rack() chooses the racks.
 */
void fleet_assign(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;
	size_t pool;

	while ((pool = first_below_target(fleet)) != fleet->n_pools) {
		fleet_acct_t *acct = &fleet->pools[pool];

		while (acct->planned_members < acct->target)
			if (!assign_one(run, pool))
				return;
	}
}

void fleet_start_moves(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	for (int i = 0; i < MOVES_PER_STEP; i++) {
		size_t to = furthest_below_target(run);
		fleet_inst_t *inst;

		if (to == fleet->n_pools)
			return;
		inst = pick_to_move(run, to);
		if (!inst ||
		    !fleet_try_grant(run, inst, FLEET_FOR_MOVE, (int32_t)to))
			return;
		count_move(run, inst, to);
	}
}

/*
 * A pool whose budget leaves no executor to drain is lent enough to drain one
 * while it has an instance due.
 */
static uint32_t drain_extra(const fleet_run_t *run, const fleet_acct_t *acct)
{
	uint32_t floor;

	if (!acct->due || acct->conf.spare || !acct->conf.executors)
		return 0;
	floor = fleet_plan_min_executors(&acct->conf, acct->conf.min_up + 1,
					 run->racks_used, run->zones_used);
	if (floor == UINT32_MAX || floor <= acct->conf.executors)
		return 0;
	return floor - acct->conf.executors;
}

/*
 * Returns the pool below its target that is placed first, or n_pools if there
 * is none.
 */
static size_t first_below_target(const fleet_t *fleet)
{
	size_t best = fleet->n_pools;
	uint32_t most = 0;

	for (size_t i = 0; i < fleet->n_pools; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];
		uint32_t lacks;

		if (acct->planned_members >= acct->target)
			continue;
		lacks = acct->target - acct->planned_members;
		if (best < fleet->n_pools &&
		    !fleet_place_before(&acct->conf, lacks,
					&fleet->pools[best].conf, most))
			continue;
		most = lacks;
		best = i;
	}
	return best;
}

static bool assign_one(fleet_run_t *run, size_t pool)
{
	size_t rack = fleet_place_pick_rack(&run->planned, pool,
					    &run->fleet->pools[pool].conf);
	fleet_inst_t *inst;
	fleet_rec_t *next;

	if (rack == run->planned.n_racks)
		return false;
	inst = pick_free(run, rack);
	fleet_place_take(&run->planned, pool, rack);
	run->fleet->pools[pool].planned_members++;
	next = fleet_stage(run, inst, FLEET_EV_ASSIGN);
	next->pool = (int32_t)pool;
	next->inc = inst->inc;
	next->maintained = run->now;
	/* Greater than in any earlier record of this id. */
	next->seq = (uint64_t)run->now;
	return true;
}

/*
 * Returns the pool that is furthest below its target in proportion, of those
 * that have been below it for long enough, or n_pools if there is none.
 */
static size_t furthest_below_target(const fleet_run_t *run)
{
	const fleet_t *fleet = run->fleet;
	size_t best = fleet->n_pools;

	for (size_t i = 0; i < fleet->n_pools; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];

		if (acct->planned_members >= acct->target)
			continue;
		if (run->now < move_due_at(fleet, acct))
			continue;
		if (best == fleet->n_pools ||
		    (uint64_t)acct->planned_members *
				    fleet->pools[best].target <
			    (uint64_t)fleet->pools[best].planned_members *
				    acct->target)
			best = i;
	}
	return best;
}

/*
 * Returns when a pool has been below its target for long enough to move an
 * instance.  A pool that still meets its budget waits longer, in proportion to
 * the weight of moves, because most failed instances come back.
 */
static int64_t move_due_at(const fleet_t *fleet, const fleet_acct_t *acct)
{
	double wait = (double)fleet->opts.move_delay;

	if (!acct->below_target_since)
		return INT64_MAX;
	if (fleet_budget_headroom(&acct->conf, &acct->up) >= 0)
		wait *= 1.0 + MOVE_DELAY_FACTOR * fleet->opts.weights.moves;
	return acct->below_target_since + (int64_t)wait;
}

static fleet_inst_t *pick_free(fleet_run_t *run, size_t rack)
{
	fleet_inst_t *inst = run->free_head[rack];

	run->free_head[rack] = inst->next_free;
	return inst;
}

static fleet_inst_t *pick_to_move(fleet_run_t *run, size_t to)
{
	fleet_t *fleet = run->fleet;
	fleet_inst_t *best = NULL;

	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);
		const fleet_acct_t *from;

		if (!inst->up || inst->staged || inst->order)
			continue;
		from = &fleet->pools[inst->rec.pool];
		if (from->planned_members <= from->target)
			continue;
		if ((!best || is_better_move(run, to, inst, best)) &&
		    fleet_may_take_out(run, inst))
			best = inst;
	}
	return best;
}

/* Returns whether "a" is a better instance than "b" to move into "to". */
static bool is_better_move(const fleet_run_t *run, size_t to,
			   const fleet_inst_t *a, const fleet_inst_t *b)
{
	const fleet_place_t *planned = &run->planned;
	const uint32_t *in_zone = planned->in_zone + to * planned->n_zones;
	const uint16_t *in = planned->in_rack + to * planned->n_racks;
	size_t from_a = (size_t)a->rec.pool * planned->n_racks;
	size_t from_b = (size_t)b->rec.pool * planned->n_racks;
	bool spare_a = run->fleet->pools[a->rec.pool].conf.spare;
	bool spare_b = run->fleet->pools[b->rec.pool].conf.spare;

	if (spare_a != spare_b)
		return spare_a;
	if (in_zone[a->zone] != in_zone[b->zone])
		return in_zone[a->zone] < in_zone[b->zone];
	if (in[a->rack] != in[b->rack])
		return in[a->rack] < in[b->rack];
	return planned->in_rack[from_a + a->rack] >
	       planned->in_rack[from_b + b->rack];
}

static void count_move(fleet_run_t *run, const fleet_inst_t *inst, size_t to)
{
	fleet_place_t *planned = &run->planned;
	size_t from = (size_t)inst->rec.pool;

	run->fleet->pools[from].planned_members--;
	run->fleet->pools[to].planned_members++;
	planned->in_rack[from * planned->n_racks + inst->rack]--;
	planned->in_rack[to * planned->n_racks + inst->rack]++;
	planned->in_zone[from * planned->n_zones + inst->zone]--;
	planned->in_zone[to * planned->n_zones + inst->zone]++;
}
