#include "fleet_int.h"

static void advance_serving(fleet_run_t *run, fleet_inst_t *inst);
static void advance_cordoned(fleet_run_t *run, fleet_inst_t *inst);
static void advance_drained(fleet_run_t *run, fleet_inst_t *inst);
static void advance_rebooting(fleet_run_t *run, fleet_inst_t *inst);
static void advance_verifying(fleet_run_t *run, fleet_inst_t *inst);
static void advance_failed(fleet_run_t *run, fleet_inst_t *inst);
static void advance_free(fleet_run_t *run, fleet_inst_t *inst);
static bool advance_if_lost(fleet_run_t *run, fleet_inst_t *inst);
static bool advance_if_restarted(fleet_run_t *run, fleet_inst_t *inst);
static void stage_failed(fleet_run_t *run, fleet_inst_t *inst);
static void request_reboot(fleet_run_t *run, fleet_inst_t *inst);
static bool is_still_wanted(fleet_run_t *run, const fleet_inst_t *inst,
			    fleet_purpose_t purpose, int32_t to);
static bool return_to_service(fleet_run_t *run, fleet_inst_t *inst);
static bool all_confirmed(fleet_t *fleet, fleet_inst_t *inst);
static void emit_writes(fleet_run_t *run);
static void emit(fleet_run_t *run, fleet_op_t op);

static void (*const advance[FLEET_STATE_MAX])(fleet_run_t *, fleet_inst_t *) = {
	[FLEET_FREE] = advance_free,
	[FLEET_SERVING] = advance_serving,
	[FLEET_CORDONED] = advance_cordoned,
	[FLEET_DRAINED] = advance_drained,
	[FLEET_REBOOTING] = advance_rebooting,
	[FLEET_VERIFYING] = advance_verifying,
	[FLEET_FAILED] = advance_failed,
};

/*
 * The order matters: fleet_tally() comes first, and grants come last, so that
 * they count every instance that this call already takes out of service.
 */
fleet_ops_t *fleet_step(fleet_t *fleet, const void *ctx, int64_t now)
{
	fleet_run_t run = { .fleet = fleet, .now = now };

	run.ops = talloc_zero(ctx, fleet_ops_t);
	run.tmp = talloc_new(ctx);
	fleet_tally(&run);
	fleet_release_grants(&run);
	fleet_wave_step(&run);
	fleet_update_targets(&run);
	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		advance[inst->rec.state](&run, inst);
	}
	fleet_assign(&run);
	fleet_grant_all(&run);
	fleet_start_moves(&run);
	emit_writes(&run);
	talloc_free(run.tmp);
	return run.ops;
}

fleet_rec_t *fleet_stage(fleet_run_t *run, fleet_inst_t *inst,
			 fleet_event_t event)
{
	fleet_state_t state = fleet_own_next(inst->rec.state, event);

	g_assert(state != FLEET_STATE_MAX && !inst->staged);
	inst->staged_rec = inst->rec;
	inst->staged_rec.state = state;
	inst->staged_rec.seq++;
	inst->staged_rec.since = run->now;
	inst->staged = true;
	run->fleet->shards[inst->shard].dirty = true;
	return &inst->staged_rec;
}

static void advance_serving(fleet_run_t *run, fleet_inst_t *inst)
{
	fleet_rec_t *next;

	if (advance_if_lost(run, inst) || !inst->granted)
		return;
	if (!is_still_wanted(run, inst, inst->grant_purpose, inst->grant_to)) {
		/* Void the grant: a former holder may still act on it. */
		fleet_stage(run, inst, FLEET_EV_CANCEL);
		return;
	}
	next = fleet_stage(run, inst, FLEET_EV_CORDON);
	next->purpose = inst->grant_purpose;
	next->to = inst->grant_to;
}

static void advance_cordoned(fleet_run_t *run, fleet_inst_t *inst)
{
	if (advance_if_lost(run, inst) || return_to_service(run, inst))
		return;
	if (!all_confirmed(run->fleet, inst))
		inst->wait_reason = FLEET_WAIT_ENTRY;
	else if (run->fleet->tasks_may_run && inst->idle_seq != inst->rec.seq)
		inst->wait_reason = FLEET_WAIT_TASKS;
	else
		fleet_stage(run, inst, FLEET_EV_CONFIRM);
}

static void advance_drained(fleet_run_t *run, fleet_inst_t *inst)
{
	fleet_rec_t *next;

	if (advance_if_lost(run, inst) || return_to_service(run, inst))
		return;
	if (inst->rec.purpose == FLEET_FOR_HOLD) {
		inst->wait_reason = FLEET_WAIT_HELD;
		return;
	}
	if (inst->rec.purpose != FLEET_FOR_MOVE) {
		fleet_stage(run, inst, FLEET_EV_REBOOT);
		return;
	}
	next = fleet_stage(run, inst, FLEET_EV_MOVE);
	next->pool = next->to;
	next->purpose = FLEET_FOR_NONE;
}

static void advance_rebooting(fleet_run_t *run, fleet_inst_t *inst)
{
	inst->wait_reason = FLEET_WAIT_BOOT;
	if (advance_if_restarted(run, inst))
		return;
	if (run->now - inst->rec.since > run->fleet->opts.boot_max)
		stage_failed(run, inst);
	else
		request_reboot(run, inst);
}

static void advance_verifying(fleet_run_t *run, fleet_inst_t *inst)
{
	fleet_rec_t *next;
	fleet_purpose_t purpose = inst->rec.purpose;

	inst->wait_reason = FLEET_WAIT_VERIFY;
	if (advance_if_restarted(run, inst))
		return;
	if (!fleet_is_alive(run->fleet, inst, run->now) ||
	    inst->alive_at < inst->rec.since) {
		if (run->now - inst->rec.since > run->fleet->opts.boot_max)
			stage_failed(run, inst);
		return;
	}
	next = fleet_stage(run, inst, FLEET_EV_VERIFIED);
	next->purpose = FLEET_FOR_NONE;
	if (purpose == FLEET_FOR_WAVE || purpose == FLEET_FOR_URGENT)
		next->maintained = run->now;
}

/*
 * An instance whose reboot was requested returns only with a new incarnation:
 * the request may still be carried out and must not interrupt work.
 */
static void advance_failed(fleet_run_t *run, fleet_inst_t *inst)
{
	bool rebooted = inst->rec.purpose == FLEET_FOR_WAVE ||
			inst->rec.purpose == FLEET_FOR_URGENT;
	bool alive = fleet_is_alive(run->fleet, inst, run->now) &&
		     inst->alive_at > inst->rec.since;

	inst->wait_reason = FLEET_WAIT_NOT_ALIVE;
	if (alive && rebooted && inst->inc == inst->rec.inc) {
		inst->wait_reason = FLEET_WAIT_BOOT;
		request_reboot(run, inst);
	} else if (alive && inst->inc >= inst->rec.inc) {
		fleet_stage(run, inst, FLEET_EV_RECOVERED)->inc = inst->inc;
	} else if (!inst->listed && !inst->granted &&
		   run->now - inst->rec.since > run->fleet->opts.forget_after) {
		fleet_stage(run, inst, FLEET_EV_FORGET)->pool = FLEET_NO_POOL;
	}
}

/* fleet_assign() puts free instances into pools. */
static void advance_free(fleet_run_t *run, fleet_inst_t *inst)
{
	(void)run;
	inst->wait_reason = FLEET_WAIT_NO_POOL;
}

/*
 * Stages an unplanned restart or failure, which cancels what was planned for
 * the instance.  Returns whether an event was staged.
 */
static bool advance_if_lost(fleet_run_t *run, fleet_inst_t *inst)
{
	const fleet_opts_t *opts = &run->fleet->opts;
	int64_t since = MAX(inst->alive_at, inst->rec.since);

	if (advance_if_restarted(run, inst)) {
		inst->staged_rec.purpose = FLEET_FOR_NONE;
		return true;
	}
	if (fleet_is_alive(run->fleet, inst, run->now))
		return false;
	if (run->now - since > opts->fail_after) {
		stage_failed(run, inst);
		inst->staged_rec.purpose = FLEET_FOR_NONE;
		return true;
	}
	return false;
}

static bool advance_if_restarted(fleet_run_t *run, fleet_inst_t *inst)
{
	fleet_rec_t *next;

	if (!inst->listed || inst->inc <= inst->rec.inc)
		return false;
	next = fleet_stage(run, inst, FLEET_EV_RESTART);
	next->inc = inst->inc;
	return true;
}

static void stage_failed(fleet_run_t *run, fleet_inst_t *inst)
{
	inst->wait_reason = FLEET_WAIT_NOT_ALIVE;
	fleet_stage(run, inst, FLEET_EV_FAIL);
}

/*
 * Requests a reboot, and again every boot_retry because a request may be lost.
 * The request is idempotent.
 */
static void request_reboot(fleet_run_t *run, fleet_inst_t *inst)
{
	if (run->now - inst->reboot_asked_at < run->fleet->opts.boot_retry)
		return;
	inst->reboot_asked_at = run->now;
	emit(run, (fleet_op_t){ .kind = FLEET_OP_REBOOT,
				.key = inst->id,
				.inc = inst->rec.inc });
}

static bool is_still_wanted(fleet_run_t *run, const fleet_inst_t *inst,
			    fleet_purpose_t purpose, int32_t to)
{
	const fleet_t *fleet = run->fleet;

	switch (purpose) {
	case FLEET_FOR_WAVE:
		return fleet->wave.state == FLEET_WAVE_RUNNING &&
		       fleet_wave_due(fleet, inst);
	case FLEET_FOR_URGENT:
		return inst->order == FLEET_FOR_URGENT &&
		       inst->rec.maintained < inst->order_at;
	case FLEET_FOR_HOLD:
		return inst->order == FLEET_FOR_HOLD;
	case FLEET_FOR_MOVE:
		return fleet->pools[to].planned_members <=
		       fleet->pools[to].target;
	default:
		return false;
	}
}

/*
 * Returns the instance to service if the reason to take it out is gone, or if
 * failures have used up the margin that allowed it.  Returns whether the
 * instance returned.
 */
static bool return_to_service(fleet_run_t *run, fleet_inst_t *inst)
{
	fleet_acct_t *acct = &run->fleet->pools[inst->rec.pool];
	bool alive = fleet_is_alive(run->fleet, inst, run->now);
	int32_t headroom = fleet_budget_headroom(&acct->conf, &acct->up);

	if (is_still_wanted(run, inst, inst->rec.purpose, inst->rec.to) &&
	    (headroom + (int32_t)acct->returning >= 0 || !alive))
		return false;
	if (inst->rec.purpose == FLEET_FOR_MOVE) {
		run->fleet->pools[inst->rec.to].planned_members--;
		acct->planned_members++;
	}
	acct->returning += alive;
	fleet_stage(run, inst, FLEET_EV_CANCEL)->purpose = FLEET_FOR_NONE;
	return true;
}

static bool all_confirmed(fleet_t *fleet, fleet_inst_t *inst)
{
	if (fleet->entries_full)
		return false;
	for (uint32_t i = 0; i < FLEET_ENTRIES_MAX; i++) {
		bool has = inst->confirmed_seq == inst->rec.seq &&
			   (inst->confirmed_mask >> i & 1);

		if (!fleet->entries[i].used || has)
			continue;
		inst->wait_entry = i;
		return false;
	}
	return true;
}

/* Emits one write per changed record. */
static void emit_writes(fleet_run_t *run)
{
	fleet_t *fleet = run->fleet;

	for (size_t i = 0; i < fleet->n_pools; i++) {
		fleet_acct_t *acct = &fleet->pools[i];

		if (acct->dirty)
			emit(run,
			     (fleet_op_t){ .key = acct->key,
					   .rev = acct->rev,
					   .value = fleet_acct_encode(
						   fleet, run->ops, acct) });
	}
	for (size_t i = 0; i < fleet->n_zones * FLEET_SHARDS; i++) {
		fleet_shard_t *shard = &fleet->shards[i];

		if (shard->dirty)
			emit(run,
			     (fleet_op_t){ .key = shard->key,
					   .rev = shard->rev,
					   .value = fleet_shard_encode(
						   fleet, run->ops, shard) });
		shard->dirty = false;
	}
	if (fleet->wave_dirty)
		emit(run, (fleet_op_t){ .key = FLEET_WAVE_KEY,
					.rev = fleet->wave.rev,
					.value = fleet_wave_encode(
						run->ops, &fleet->wave_next) });
	fleet->wave_dirty = false;
}

static void emit(fleet_run_t *run, fleet_op_t op)
{
	fleet_ops_t *ops = run->ops;

	ops->ops = talloc_realloc(ops, ops->ops, fleet_op_t, ops->n + 1);
	ops->ops[ops->n++] = op;
}
