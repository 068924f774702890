#include "fleet_int.h"

static bool is_used_up(const fleet_t *fleet, int32_t pool,
		       const fleet_grant_t *grant);
static void add_grant(fleet_run_t *run, fleet_acct_t *acct,
		      fleet_grant_t grant);
static void grant_orders(fleet_run_t *run);
static void grant_wave(fleet_run_t *run);
static fleet_inst_t **sort_by_rack(fleet_run_t *run, size_t *n);
static bool find_canary_rack(fleet_run_t *run, uint32_t *rack);

/*
 * Drops the grants that are used up, and puts the holder's fencing token on
 * every account that carries an older one.  Nothing is granted from an account
 * until the write of the token has been loaded back; from then on a grant of a
 * former holder fails its compare-and-swap.
 */
void fleet_release_grants(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	for (size_t i = 0; i < fleet->n_pools; i++) {
		fleet_acct_t *acct = &fleet->pools[i];

		acct->n_new_grants = 0;
		acct->new_grants = NULL;
		if (acct->fence > fleet->fence)
			continue;
		for (size_t j = 0; j < acct->n_grants; j++)
			if (!is_used_up(fleet, (int32_t)i, &acct->grants[j]))
				add_grant(run, acct, acct->grants[j]);
		acct->dirty = acct->n_new_grants < acct->n_grants ||
			      acct->fence < fleet->fence;
	}
}

void fleet_grant_all(fleet_run_t *run)
{
	grant_orders(run);
	grant_wave(run);
}

bool fleet_try_grant(fleet_run_t *run, fleet_inst_t *inst,
		     fleet_purpose_t purpose, int32_t to)
{
	fleet_acct_t *acct = &run->fleet->pools[inst->rec.pool];

	if (acct->fence != run->fleet->fence) {
		inst->wait_reason = FLEET_WAIT_NOT_FENCED;
		return false;
	}
	if (!fleet_may_take_out(run, inst)) {
		inst->wait_reason = FLEET_WAIT_NO_HEADROOM;
		return false;
	}
	if (purpose == FLEET_FOR_WAVE && acct->conf.drain_max &&
	    acct->out_for_reboot >= acct->conf.drain_max) {
		inst->wait_reason = FLEET_WAIT_DRAIN_MAX;
		return false;
	}
	add_grant(run, acct,
		  (fleet_grant_t){ .id = inst->id,
				   .seq = inst->rec.seq,
				   .purpose = purpose,
				   .to = to });
	acct->dirty = true;
	fleet_count_out(run, inst);
	acct->out_for_reboot +=
		purpose == FLEET_FOR_WAVE || purpose == FLEET_FOR_URGENT;
	return true;
}

/*
 * A grant is used up once its instance serves or has failed under a later
 * record than the grant names, or is no longer in the pool.
 */
static bool is_used_up(const fleet_t *fleet, int32_t pool,
		       const fleet_grant_t *grant)
{
	const fleet_inst_t *inst = fleet_inst_find(fleet, grant->id);

	if (!inst || inst->rec.state == FLEET_FREE || inst->rec.pool != pool)
		return true;
	return inst->rec.seq > grant->seq &&
	       (inst->rec.state == FLEET_SERVING ||
		inst->rec.state == FLEET_FAILED);
}

/*
 * Adds a grant to those that this fleet_step() writes to the account.  The
 * grant takes effect only when it is loaded back from the store.
 */
static void add_grant(fleet_run_t *run, fleet_acct_t *acct, fleet_grant_t grant)
{
	acct->new_grants =
		talloc_realloc(run->tmp, acct->new_grants, fleet_grant_t,
			       acct->n_new_grants + 1);
	acct->new_grants[acct->n_new_grants++] = grant;
}

static void grant_orders(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		if (!inst->up || inst->staged || !inst->order)
			continue;
		if (inst->order == FLEET_FOR_URGENT &&
		    inst->rec.maintained >= inst->order_at)
			continue;
		fleet_try_grant(run, inst, inst->order, FLEET_NO_POOL);
	}
}

/*
 * Grants maintenance rack by rack in a fixed order, as far as the budget of
 * every pool allows.  Only one rack is begun until a first instance is back
 * from its maintenance.
 */
static void grant_wave(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;
	static const fleet_wait_reason_t why[FLEET_WAVE_STATE_MAX] = {
		[FLEET_WAVE_PAUSED] = FLEET_WAIT_WAVE_PAUSED,
		[FLEET_WAVE_STOPPED] = FLEET_WAIT_WAVE_STOPPED,
	};
	fleet_inst_t **order;
	uint32_t rack = 0;
	bool canary;
	size_t n;

	if (fleet->wave.state == FLEET_WAVE_NONE ||
	    fleet->wave.state == FLEET_WAVE_ABORTED)
		return;
	canary = find_canary_rack(run, &rack);
	order = sort_by_rack(run, &n);
	for (size_t i = 0; i < n; i++) {
		fleet_inst_t *inst = order[i];

		if (!inst->up || inst->staged || !fleet_wave_due(fleet, inst))
			continue;
		inst->wait_reason = why[fleet->wave.state];
		if (inst->wait_reason)
			continue;
		if (canary && inst->rack != rack)
			inst->wait_reason = FLEET_WAIT_CANARY;
		else
			fleet_try_grant(run, inst, FLEET_FOR_WAVE,
					FLEET_NO_POOL);
	}
}

/* Stable counting sort, so that every holder uses the same order. */
static fleet_inst_t **sort_by_rack(fleet_run_t *run, size_t *n)
{
	fleet_t *fleet = run->fleet;
	fleet_inst_t **sorted;
	size_t *at;

	*n = fleet->insts->len;
	sorted = talloc_array(run->tmp, fleet_inst_t *, *n);
	at = talloc_zero_array(run->tmp, size_t, fleet->n_racks + 1);
	for (size_t i = 0; i < *n; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		at[inst->rack + 1]++;
	}
	for (size_t r = 1; r < fleet->n_racks; r++)
		at[r] += at[r - 1];
	for (size_t i = 0; i < *n; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		sorted[at[inst->rack]++] = inst;
	}
	return sorted;
}

/*
 * Returns whether the wave is still on its first rack and stores its index: the
 * rack where the wave has begun, or else the first with a due instance that may
 * be taken out.
 */
static bool find_canary_rack(fleet_run_t *run, uint32_t *rack)
{
	fleet_t *fleet = run->fleet;
	uint32_t begun = UINT32_MAX, first = UINT32_MAX;

	for (guint i = 0; i < fleet->insts->len; i++) {
		const fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);
		bool under_way = inst->rec.purpose == FLEET_FOR_WAVE ||
				 (inst->granted &&
				  inst->grant_purpose == FLEET_FOR_WAVE);

		if (inst->rec.state == FLEET_FREE)
			continue;
		if (inst->rec.maintained > fleet->wave.start)
			return false;
		if (under_way)
			begun = MIN(begun, inst->rack);
		else if (inst->up && fleet_wave_due(fleet, inst) &&
			 fleet_may_take_out(run, inst))
			first = MIN(first, inst->rack);
	}
	*rack = begun != UINT32_MAX ? begun : first;
	return true;
}
