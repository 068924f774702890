#include "claim_int.h"

static const char *const reason_names[CLAIM_REASON_MAX] = {
	[CLAIM_REASON_NONE] = "claim-none",
	[CLAIM_REASON_HELD] = "claim-held",
	[CLAIM_REASON_NOT_KEPT] = "claim-answer-not-kept",
	[CLAIM_REASON_FULL] = "claim-full",
	[CLAIM_REASON_MISMATCH] = "claim-mismatch",
	[CLAIM_REASON_FENCE] = "claim-fence",
	[CLAIM_REASON_EPOCH] = "claim-epoch",
	[CLAIM_REASON_UNREACHABLE] = "claim-unreachable",
	[CLAIM_REASON_STALE] = "claim-ticket-stale",
	[CLAIM_REASON_CANCELLED] = "claim-cancelled",
};

/* The reason for CLAIM_OUTCOME_UNKNOWN, by the verdict of the last take. */
static const claim_reason_t refusal_reasons[CLAIM_VERDICT_MAX] = {
	[CLAIM_GRANTED] = CLAIM_REASON_FENCE,
	[CLAIM_HELD] = CLAIM_REASON_HELD,
	[CLAIM_ANSWERED] = CLAIM_REASON_NOT_KEPT,
	[CLAIM_NONE] = CLAIM_REASON_FENCE,
	[CLAIM_FULL] = CLAIM_REASON_FULL,
	[CLAIM_MISMATCH] = CLAIM_REASON_MISMATCH,
	[CLAIM_RELEASED] = CLAIM_REASON_UNREACHABLE,
	[CLAIM_SEALED] = CLAIM_REASON_EPOCH,
	[CLAIM_BEHIND] = CLAIM_REASON_EPOCH,
	[CLAIM_NOT_HERE] = CLAIM_REASON_EPOCH,
	[CLAIM_UNSURE] = CLAIM_REASON_EPOCH,
	[CLAIM_LOST] = CLAIM_REASON_UNREACHABLE,
};

/*
 * Verdicts after which a repeated take may succeed, once the epoch is newer or
 * confirmed.
 */
static const bool is_retryable[CLAIM_VERDICT_MAX] = {
	[CLAIM_SEALED] = true, [CLAIM_BEHIND] = true, [CLAIM_NOT_HERE] = true,
	[CLAIM_UNSURE] = true, [CLAIM_LOST] = true,
};

/*
 * After these verdicts only the proof that the id is new may be missing, which
 * copying the slice may give.
 */
static const bool needs_fresh_reply[CLAIM_VERDICT_MAX] = {
	[CLAIM_GRANTED] = true,
	[CLAIM_NONE] = true,
	[CLAIM_FULL] = true,
};

static void request_take(claim_holder_t *holder, const claim_member_t *target,
			 claim_action_t *action);
static void add_contacted(claim_holder_t *holder, const claim_member_t *target);
static void decide(claim_holder_t *holder, const claim_reply_t *reply,
		   int64_t now, claim_action_t *action);
static void refuse(const claim_holder_t *holder, const claim_reply_t *reply,
		   claim_action_t *action);
static void add_releases(const claim_holder_t *holder, claim_action_t *action);
static void report(claim_action_t *action, claim_outcome_t outcome,
		   claim_reason_t reason);

void claim_holder_start(claim_holder_t *holder, const claim_request_t *request,
			const claim_epoch_t *epoch,
			const claim_limits_t *limits, int64_t now,
			claim_action_t *action)
{
	*holder = (claim_holder_t){ .request = *request,
				    .round_us = limits->round_us,
				    .lag_us = limits->lag_us,
				    .window_us = limits->window_us };
	claim_holder_retry(holder, epoch, now, action);
}

void claim_holder_retry(claim_holder_t *holder, const claim_epoch_t *epoch,
			int64_t now, claim_action_t *action)
{
	claim_pair_t pair = { CLAIM_NO_MEMBER, CLAIM_NO_MEMBER };

	holder->round_started = now;
	holder->takes_sent = 0;
	holder->lookup_only = false;
	holder->fresh = false;
	holder->copy_pending = false;
	if (epoch)
		pair = claim_list_pair(&epoch->current_list,
				       claim_id_slice(holder->request.id));
	if (pair.home == CLAIM_NO_MEMBER ||
	    holder->contacted_count + 2 > CLAIM_CONTACTED_MAX) {
		memset(action, 0, sizeof(*action));
		add_releases(holder, action);
		action->may_retry = pair.home == CLAIM_NO_MEMBER;
		report(action, CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_EPOCH);
		return;
	}
	holder->epoch = epoch->number;
	holder->home = epoch->current_list.members[pair.home];
	holder->has_backup = pair.backup != CLAIM_NO_MEMBER;
	if (holder->has_backup)
		holder->backup = epoch->current_list.members[pair.backup];
	request_take(holder, &holder->home, action);
}

void claim_holder_reply(claim_holder_t *holder, const claim_reply_t *reply,
			int64_t now, claim_action_t *action)
{
	holder->fresh |= reply->fresh;
	holder->copy_pending |= reply->copy_pending;
	if (holder->takes_sent == 1 && holder->has_backup &&
	    (reply->verdict == CLAIM_GRANTED || reply->verdict == CLAIM_FULL)) {
		holder->lookup_only = reply->verdict == CLAIM_FULL;
		request_take(holder, &holder->backup, action);
		return;
	}
	memset(action, 0, sizeof(*action));
	decide(holder, reply, now, action);
}

bool claim_holder_may_write(const claim_holder_t *holder, int64_t now)
{
	return holder->is_acquired &&
	       now - holder->request.arrived < holder->window_us / 2;
}

void claim_holder_cancel(claim_holder_t *holder, claim_action_t *action)
{
	memset(action, 0, sizeof(*action));
	holder->is_acquired = false;
	add_releases(holder, action);
	report(action, CLAIM_OUTCOME_NOT_RUN, CLAIM_REASON_CANCELLED);
}

unsigned claim_holder_targets(const claim_holder_t *holder,
			      claim_member_t targets[2])
{
	targets[0] = holder->home;
	targets[1] = holder->backup;
	return holder->has_backup ? 2 : 1;
}

const char *claim_reason_name(claim_reason_t reason)
{
	return reason_names[reason];
}

static void request_take(claim_holder_t *holder, const claim_member_t *target,
			 claim_action_t *action)
{
	const claim_request_t *request = &holder->request;

	holder->takes_sent++;
	if (!holder->lookup_only)
		add_contacted(holder, target);
	memset(action, 0, sizeof(*action));
	action->next = CLAIM_ACTION_TAKE;
	action->target = *target;
	action->take = (claim_take_t){ .id = request->id,
				       .attempt = request->attempt,
				       .fingerprint = request->fingerprint,
				       .caller = request->caller,
				       .epoch = holder->epoch,
				       .ticket = request->ticket,
				       .lookup_only = holder->lookup_only };
}

/* Choose the action after the last take of a round. */
static void decide(claim_holder_t *holder, const claim_reply_t *reply,
		   int64_t now, claim_action_t *action)
{
	bool in_time = now - holder->round_started <= holder->round_us &&
		       now - holder->request.arrived <= holder->lag_us;

	if (reply->verdict == CLAIM_GRANTED && holder->fresh && in_time) {
		holder->is_acquired = true;
		action->next = CLAIM_ACTION_RUN;
		return;
	}
	add_releases(holder, action);
	if (reply->verdict == CLAIM_GRANTED && !in_time) {
		action->may_retry = true;
		report(action, CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_UNREACHABLE);
		return;
	}
	refuse(holder, reply, action);
}

/*
 * CLAIM_OUTCOME_NOT_RUN says that no attempt with the id has run.  It is
 * therefore only reported if home and backup both looked the id up in the same
 * epoch and one of the two knew that the id is new.
 */
static void refuse(const claim_holder_t *holder, const claim_reply_t *reply,
		   claim_action_t *action)
{
	claim_verdict_t verdict = reply->verdict;
	bool asked_all = holder->takes_sent == (holder->has_backup ? 2U : 1U);
	bool no_room = verdict == CLAIM_FULL ||
		       (verdict == CLAIM_NONE && holder->lookup_only);

	action->may_retry = is_retryable[verdict] ||
			    (needs_fresh_reply[verdict] &&
			     holder->copy_pending && !holder->fresh);
	action->answer = reply->answer;
	if (verdict == CLAIM_ANSWERED && reply->answer.ptr)
		report(action, CLAIM_OUTCOME_REPLAY, CLAIM_REASON_NONE);
	else if (no_room && asked_all && holder->fresh)
		report(action, CLAIM_OUTCOME_NOT_RUN, CLAIM_REASON_FULL);
	else
		report(action, CLAIM_OUTCOME_UNKNOWN, refusal_reasons[verdict]);
}

/* Add an entry that a take is sent to, unless an earlier round did. */
static void add_contacted(claim_holder_t *holder, const claim_member_t *target)
{
	claim_list_t all = { holder->contacted, holder->contacted_count };

	if (claim_list_find(&all, target->id, target->incarnation) ==
	    CLAIM_NO_MEMBER)
		holder->contacted[holder->contacted_count++] = *target;
}

static void add_releases(const claim_holder_t *holder, claim_action_t *action)
{
	action->release_count = holder->contacted_count;
	memcpy(action->release, holder->contacted,
	       holder->contacted_count * sizeof(claim_member_t));
}

static void report(claim_action_t *action, claim_outcome_t outcome,
		   claim_reason_t reason)
{
	action->next = CLAIM_ACTION_REPORT;
	action->caller_outcome = outcome;
	action->reason = reason;
}
