#include <math.h>

#include "fleet_int.h"

#define MOVES_A_STEP 16
#define PATIENCE 30 /* times longer, when moves weigh 1 */

static uint32_t extra_of(const fleet_run_t *run, const fleet_acct_t *acct);
static size_t first_short(const fleet_t *fleet);
static bool assign_one(fleet_run_t *run, size_t pool);
static size_t neediest(const fleet_run_t *run);
static int64_t act_at(const fleet_t *fleet, const fleet_acct_t *acct);
static fleet_inst_t *pick_free(fleet_run_t *run, size_t rack);
static fleet_inst_t *pick_donor(fleet_run_t *run, size_t to);
static bool better(const fleet_run_t *run, size_t to, const fleet_inst_t *a,
		   const fleet_inst_t *b);
static void moved(fleet_run_t *run, const fleet_inst_t *inst, size_t to);

void fleet_targets(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;
	fleet_plan_in_t in = { .n_pools = fleet->n_pools,
			       .n_racks = run->racks_used,
			       .n_zones = run->zones_used,
			       .weights = fleet->opts.weights };
	size_t n = fleet->n_pools;
	fleet_pool_t *pools = talloc_array(run->tmp, fleet_pool_t, n);
	fleet_load_t *loads = talloc_array(run->tmp, fleet_load_t, n);
	uint32_t *members = talloc_array(run->tmp, uint32_t, n);
	uint32_t *extra = talloc_array(run->tmp, uint32_t, n);
	uint32_t *target = talloc_array(run->tmp, uint32_t, n);

	if (fleet->planned_at &&
	    run->now - fleet->planned_at < fleet->opts.plan_every)
		return;
	fleet->planned_at = run->now;
	for (size_t i = 0; i < n; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];

		pools[i] = acct->conf;
		loads[i] = (fleet_load_t){ 0 };
		if (fleet_demand_known(acct, run->now))
			loads[i] =
				(fleet_load_t){ acct->slow, sqrt(acct->var) };
		members[i] = acct->members;
		extra[i] = extra_of(run, acct);
	}
	for (size_t z = 0; z < fleet->n_zones; z++)
		in.free += run->have.free_zone[z];
	in.pools = pools;
	in.loads = loads;
	in.members = members;
	in.extra = extra;
	fleet_plan_targets(&in, target);
	for (size_t i = 0; i < n; i++) {
		fleet_acct_t *acct = &fleet->pools[i];

		acct->target = target[i];
		if (acct->members >= acct->target)
			acct->short_since = 0;
		else if (!acct->short_since)
			acct->short_since = run->now;
	}
}

/*
 * What is in no pool carries no work and goes where it is wanted, to one pool
 * after another, each from the racks with the most left.
 */
void fleet_assign(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;
	size_t pool;

	while ((pool = first_short(fleet)) != fleet->n_pools) {
		fleet_acct_t *acct = &fleet->pools[pool];

		while (acct->members < acct->target)
			if (!assign_one(run, pool))
				return;
	}
}

void fleet_moves(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	for (int i = 0; i < MOVES_A_STEP; i++) {
		size_t to = neediest(run);
		fleet_inst_t *inst;

		if (to == fleet->n_pools)
			return;
		inst = pick_donor(run, to);
		if (!inst ||
		    !fleet_give(run, inst, FLEET_FOR_MOVE, (int32_t)to))
			return;
		moved(run, inst, to);
	}
}

/*
 * A pool whose budget leaves nothing to drain is lent enough for one while it
 * has something due.
 */
static uint32_t extra_of(const fleet_run_t *run, const fleet_acct_t *acct)
{
	uint32_t floor;

	if (!acct->due || acct->conf.spare || !acct->conf.executors)
		return 0;
	floor = fleet_plan_floor(&acct->conf, acct->conf.min_up + 1,
				 run->racks_used, run->zones_used);
	if (floor == UINT32_MAX || floor <= acct->conf.executors)
		return 0;
	return floor - acct->conf.executors;
}

/* The pool that lacks instances and comes first, n_pools when none does. */
static size_t first_short(const fleet_t *fleet)
{
	size_t best = fleet->n_pools;
	uint32_t most = 0;

	for (size_t i = 0; i < fleet->n_pools; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];
		uint32_t lacks;

		if (acct->members >= acct->target)
			continue;
		lacks = acct->target - acct->members;
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
	size_t rack = fleet_place_pick(&run->have, pool,
				       &run->fleet->pools[pool].conf);
	fleet_inst_t *inst;
	fleet_rec_t *next;

	if (rack == run->have.n_racks)
		return false;
	inst = pick_free(run, rack);
	fleet_place_take(&run->have, pool, rack);
	run->fleet->pools[pool].members++;
	next = fleet_stage(run, inst, FLEET_EV_ASSIGN);
	next->pool = (int32_t)pool;
	next->inc = inst->inc;
	next->maintained = run->now;
	/* Greater than any that an earlier record of this id had. */
	next->seq = (uint64_t)run->now;
	return true;
}

/*
 * Of the pools that have been short for long enough the one that is furthest
 * below its target in proportion, n_pools when there is none.
 */
static size_t neediest(const fleet_run_t *run)
{
	const fleet_t *fleet = run->fleet;
	size_t best = fleet->n_pools;

	for (size_t i = 0; i < fleet->n_pools; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];

		if (acct->members >= acct->target)
			continue;
		if (run->now < act_at(fleet, acct))
			continue;
		if (best == fleet->n_pools ||
		    (uint64_t)acct->members * fleet->pools[best].target <
			    (uint64_t)fleet->pools[best].members * acct->target)
			best = i;
	}
	return best;
}

/*
 * When a want is old enough for a move.  One that the budget can bear waits
 * longer, the more so the more a move weighs: most instances come back.
 */
static int64_t act_at(const fleet_t *fleet, const fleet_acct_t *acct)
{
	double wait = (double)fleet->opts.hold;

	if (!acct->short_since)
		return INT64_MAX;
	if (fleet_budget_room(&acct->conf, &acct->up) >= 0)
		wait *= 1.0 + PATIENCE * fleet->opts.weights.moves;
	return acct->short_since + (int64_t)wait;
}

static fleet_inst_t *pick_free(fleet_run_t *run, size_t rack)
{
	fleet_inst_t *inst = run->free_head[rack];

	run->free_head[rack] = inst->next_free;
	return inst;
}

static fleet_inst_t *pick_donor(fleet_run_t *run, size_t to)
{
	fleet_t *fleet = run->fleet;
	fleet_inst_t *best = NULL;

	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);
		const fleet_acct_t *from;

		if (!inst->up || inst->staged || inst->order)
			continue;
		from = &fleet->pools[inst->rec.pool];
		if (from->members <= from->target)
			continue;
		if ((!best || better(run, to, inst, best)) &&
		    fleet_may_take(run, inst))
			best = inst;
	}
	return best;
}

/* Whether "a" is the better one to move into "to". */
static bool better(const fleet_run_t *run, size_t to, const fleet_inst_t *a,
		   const fleet_inst_t *b)
{
	const fleet_place_t *have = &run->have;
	const uint32_t *in_zone = have->in_zone + to * have->n_zones;
	const uint16_t *in = have->in + to * have->n_racks;
	size_t from_a = (size_t)a->rec.pool * have->n_racks;
	size_t from_b = (size_t)b->rec.pool * have->n_racks;
	bool spare_a = run->fleet->pools[a->rec.pool].conf.spare;
	bool spare_b = run->fleet->pools[b->rec.pool].conf.spare;

	if (spare_a != spare_b)
		return spare_a;
	if (in_zone[a->zone] != in_zone[b->zone])
		return in_zone[a->zone] < in_zone[b->zone];
	if (in[a->rack] != in[b->rack])
		return in[a->rack] < in[b->rack];
	return have->in[from_a + a->rack] > have->in[from_b + b->rack];
}

static void moved(fleet_run_t *run, const fleet_inst_t *inst, size_t to)
{
	fleet_place_t *have = &run->have;
	size_t from = (size_t)inst->rec.pool;

	run->fleet->pools[from].members--;
	run->fleet->pools[to].members++;
	have->in[from * have->n_racks + inst->rack]--;
	have->in[to * have->n_racks + inst->rack]++;
	have->in_zone[from * have->n_zones + inst->zone]--;
	have->in_zone[to * have->n_zones + inst->zone]++;
}
