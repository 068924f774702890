#include "fleet_int.h"

static void reset_counts(fleet_run_t *run);
static void mark_grants(fleet_t *fleet);
static void count_inst(fleet_run_t *run, fleet_inst_t *inst);
static bool is_for_reboot(const fleet_inst_t *inst);
static void count_up(fleet_run_t *run, const fleet_inst_t *inst);
static void count_member(fleet_run_t *run, const fleet_inst_t *inst);
static void count_domains(fleet_run_t *run);
static fleet_up_t sum_up(const fleet_run_t *run, size_t pool);

/*
 * Counts the instances that are up and those that are free, by rack and zone,
 * from the records and the observations alone.
 */
void fleet_tally(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	reset_counts(run);
	mark_grants(fleet);
	for (guint i = 0; i < fleet->insts->len; i++)
		count_inst(run, g_ptr_array_index(fleet->insts, i));
	count_domains(run);
}

bool fleet_is_alive(const fleet_t *fleet, const fleet_inst_t *inst, int64_t now)
{
	return inst->listed && !inst->leaving &&
	       now - inst->alive_at <= fleet->opts.alive_for;
}

/*
 * Returns whether the pool keeps its budget through the loss of any one failure
 * domain once "inst" is out.  Taking an instance from the fullest domain also
 * lowers the worst loss, so the counts are computed without "inst" rather than
 * estimated.
 */
bool fleet_may_take_out(const fleet_run_t *run, const fleet_inst_t *inst)
{
	const fleet_acct_t *acct = &run->fleet->pools[inst->rec.pool];
	const fleet_place_t *up = &run->up;
	size_t pool = (size_t)inst->rec.pool;
	uint16_t *in = &up->in_rack[pool * up->n_racks + inst->rack];
	uint32_t *in_zone = &up->in_zone[pool * up->n_zones + inst->zone];
	fleet_up_t after;

	if (fleet_budget_headroom(&acct->conf, &acct->up) < 0)
		return false;
	if (fleet_budget_headroom(&acct->conf, &acct->up) > 0)
		return true;
	(*in)--;
	(*in_zone)--;
	after = sum_up(run, pool);
	(*in)++;
	(*in_zone)++;
	return fleet_budget_headroom(&acct->conf, &after) >= 0;
}

void fleet_count_out(fleet_run_t *run, fleet_inst_t *inst)
{
	size_t pool = (size_t)inst->rec.pool;

	inst->up = false;
	run->up.in_rack[pool * run->up.n_racks + inst->rack]--;
	run->up.in_zone[pool * run->up.n_zones + inst->zone]--;
	run->fleet->pools[pool].up = sum_up(run, pool);
	run->fleet->pools[pool].out++;
}

static void reset_counts(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	fleet_place_init(&run->up, run->tmp, fleet->n_pools, fleet->n_racks,
			 fleet->n_zones);
	fleet_place_init(&run->planned, run->tmp, fleet->n_pools,
			 fleet->n_racks, fleet->n_zones);
	run->free_head =
		talloc_zero_array(run->tmp, fleet_inst_t *, fleet->n_racks);
	for (size_t r = 0; r < fleet->n_racks; r++) {
		run->up.rack_zone[r] = fleet->rack_zone[r];
		run->planned.rack_zone[r] = fleet->rack_zone[r];
	}
	for (size_t i = 0; i < fleet->n_pools; i++) {
		fleet_acct_t *acct = &fleet->pools[i];

		acct->planned_members = acct->current_members = 0;
		acct->failed = acct->out = acct->due = 0;
		acct->out_for_reboot = 0;
		acct->returning = 0;
		acct->up = (fleet_up_t){ 0 };
		acct->dirty = false;
	}
	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		inst->up = inst->granted = inst->staged = false;
		inst->wait_reason = FLEET_WAIT_NONE;
	}
}

static void mark_grants(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->n_pools; i++) {
		const fleet_acct_t *acct = &fleet->pools[i];

		for (size_t j = 0; j < acct->n_grants; j++) {
			const fleet_grant_t *grant = &acct->grants[j];
			fleet_inst_t *inst = fleet_inst_find(fleet, grant->id);

			if (!inst || grant->seq != inst->rec.seq ||
			    inst->rec.pool != (int32_t)i)
				continue;
			inst->granted = true;
			inst->grant_purpose = grant->purpose;
			inst->grant_to = grant->to;
		}
	}
}

static void count_inst(fleet_run_t *run, fleet_inst_t *inst)
{
	fleet_t *fleet = run->fleet;
	fleet_acct_t *acct;
	size_t pool = (size_t)inst->rec.pool;
	bool alive = fleet_is_alive(fleet, inst, run->now);

	if (inst->rec.state == FLEET_FREE) {
		if (!alive)
			return;
		run->planned.free[inst->rack]++;
		run->planned.free_zone[inst->zone]++;
		inst->next_free = run->free_head[inst->rack];
		run->free_head[inst->rack] = inst;
		return;
	}
	acct = &fleet->pools[pool];
	if (inst->rec.state == FLEET_FAILED) {
		acct->failed++;
		return;
	}
	count_member(run, inst);
	acct->current_members++;
	acct->due += fleet_wave_due(fleet, inst);
	if (inst->rec.state != FLEET_SERVING || inst->granted) {
		acct->out++;
		acct->out_for_reboot += is_for_reboot(inst);
		return;
	}
	if (!alive || inst->inc != inst->rec.inc)
		return;
	inst->up = true;
	count_up(run, inst);
}

static bool is_for_reboot(const fleet_inst_t *inst)
{
	fleet_purpose_t purpose = inst->rec.purpose;

	if (inst->granted)
		purpose = inst->grant_purpose;
	return purpose == FLEET_FOR_WAVE || purpose == FLEET_FOR_URGENT;
}

/*
 * Updates the worst losses with each instance, because a scan over all racks is
 * expensive.
 */
static void count_up(fleet_run_t *run, const fleet_inst_t *inst)
{
	size_t pool = (size_t)inst->rec.pool;
	fleet_up_t *up = &run->fleet->pools[pool].up;
	uint32_t in_rack, in_zone;

	in_rack = ++run->up.in_rack[pool * run->up.n_racks + inst->rack];
	in_zone = ++run->up.in_zone[pool * run->up.n_zones + inst->zone];
	up->up++;
	up->worst_rack = MAX(up->worst_rack, in_rack);
	up->worst_zone = MAX(up->worst_zone, in_zone);
}

/* An instance that moves counts in the pool that it moves to. */
static void count_member(fleet_run_t *run, const fleet_inst_t *inst)
{
	int32_t pool = inst->rec.pool;

	if (inst->granted && inst->grant_purpose == FLEET_FOR_MOVE)
		pool = inst->grant_to;
	if (inst->rec.purpose == FLEET_FOR_MOVE &&
	    (inst->rec.state == FLEET_CORDONED ||
	     inst->rec.state == FLEET_DRAINED))
		pool = inst->rec.to;
	run->fleet->pools[pool].planned_members++;
	run->planned
		.in_rack[(size_t)pool * run->planned.n_racks + inst->rack]++;
	run->planned
		.in_zone[(size_t)pool * run->planned.n_zones + inst->zone]++;
}

/*
 * Counts the racks and zones with a listed instance.  Other racks and zones are
 * known only by name, from records of instances that are not listed.
 */
static void count_domains(fleet_run_t *run)
{
	const fleet_t *fleet = run->fleet;
	bool *rack = talloc_zero_array(run->tmp, bool, fleet->n_racks + 1);
	bool *zone = talloc_zero_array(run->tmp, bool, fleet->n_zones + 1);

	for (guint i = 0; i < fleet->insts->len; i++) {
		const fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		if (!inst->listed)
			continue;
		run->racks_used += !rack[inst->rack];
		run->zones_used += !zone[inst->zone];
		rack[inst->rack] = zone[inst->zone] = true;
	}
}

static fleet_up_t sum_up(const fleet_run_t *run, size_t pool)
{
	const fleet_place_t *up = &run->up;
	fleet_up_t sum = { 0 };

	for (size_t z = 0; z < up->n_zones; z++) {
		uint32_t in = up->in_zone[pool * up->n_zones + z];

		sum.up += in;
		sum.worst_zone = MAX(sum.worst_zone, in);
	}
	for (size_t r = 0; r < up->n_racks; r++) {
		uint32_t in = up->in_rack[pool * up->n_racks + r];

		sum.worst_rack = MAX(sum.worst_rack, in);
	}
	return sum;
}
