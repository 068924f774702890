#include "claim_int.h"

static const char *const reason_names[CLAIM_WHY_MAX] = {
	[CLAIM_WHY_NONE] = "claim-none",
	[CLAIM_WHY_HELD] = "claim-held",
	[CLAIM_WHY_NOT_KEPT] = "claim-answer-not-kept",
	[CLAIM_WHY_FULL] = "claim-full",
	[CLAIM_WHY_MISMATCH] = "claim-mismatch",
	[CLAIM_WHY_FENCE] = "claim-fence",
	[CLAIM_WHY_EPOCH] = "claim-epoch",
	[CLAIM_WHY_UNREACHABLE] = "claim-unreachable",
	[CLAIM_WHY_STALE] = "claim-ticket-stale",
	[CLAIM_WHY_CANCELLED] = "claim-cancelled",
};

/* Why a take that was not granted leaves the outcome unknown. */
static const claim_reason_t refusal_reasons[CLAIM_VERDICT_MAX] = {
	[CLAIM_GRANTED] = CLAIM_WHY_FENCE,
	[CLAIM_HELD] = CLAIM_WHY_HELD,
	[CLAIM_ANSWERED] = CLAIM_WHY_NOT_KEPT,
	[CLAIM_NONE] = CLAIM_WHY_FENCE,
	[CLAIM_FULL] = CLAIM_WHY_FULL,
	[CLAIM_MISMATCH] = CLAIM_WHY_MISMATCH,
	[CLAIM_RELEASED] = CLAIM_WHY_UNREACHABLE,
	[CLAIM_SEALED] = CLAIM_WHY_EPOCH,
	[CLAIM_BEHIND] = CLAIM_WHY_EPOCH,
	[CLAIM_NOT_HERE] = CLAIM_WHY_EPOCH,
	[CLAIM_UNSURE] = CLAIM_WHY_EPOCH,
	[CLAIM_LOST] = CLAIM_WHY_UNREACHABLE,
};

/* These may pass when the list of entries is known again. */
static const bool worth_again[CLAIM_VERDICT_MAX] = {
	[CLAIM_SEALED] = true, [CLAIM_BEHIND] = true, [CLAIM_NOT_HERE] = true,
	[CLAIM_UNSURE] = true, [CLAIM_LOST] = true,
};

/* With these, what is missing is one that vouches for the id. */
static const bool lacks_word[CLAIM_VERDICT_MAX] = {
	[CLAIM_GRANTED] = true,
	[CLAIM_NONE] = true,
	[CLAIM_FULL] = true,
};

static void ask(claim_holder_t *holder, const claim_member_t *target,
		claim_action_t *action);
static void note_asked(claim_holder_t *holder, const claim_member_t *target);
static void decide(claim_holder_t *holder, const claim_reply_t *reply,
		   int64_t now, claim_action_t *action);
static void refuse(const claim_holder_t *holder, const claim_reply_t *reply,
		   claim_action_t *action);
static void add_releases(const claim_holder_t *holder, claim_action_t *action);
static void tell(claim_action_t *action, claim_tell_t what,
		 claim_reason_t reason);

void claim_holder_start(claim_holder_t *holder, const claim_request_t *request,
			const claim_epoch_t *epoch,
			const claim_limits_t *limits, int64_t now,
			claim_action_t *action)
{
	*holder = (claim_holder_t){ .request = *request,
				    .hold_us = limits->hold_us,
				    .lag_us = limits->lag_us,
				    .window_us = limits->window_us };
	claim_holder_again(holder, epoch, now, action);
}

void claim_holder_again(claim_holder_t *holder, const claim_epoch_t *epoch,
			int64_t now, claim_action_t *action)
{
	claim_pair_t pair = { CLAIM_NOBODY, CLAIM_NOBODY };

	holder->started = now;
	holder->asked = 0;
	holder->look = false;
	holder->fresh = false;
	holder->soon = false;
	if (epoch)
		pair = claim_list_pair(&epoch->now,
				       claim_id_slice(holder->request.id));
	if (pair.home == CLAIM_NOBODY ||
	    holder->asked_all + 2 > CLAIM_ASKED_MAX) {
		memset(action, 0, sizeof(*action));
		add_releases(holder, action);
		action->again = pair.home == CLAIM_NOBODY;
		tell(action, CLAIM_TELL_UNKNOWN, CLAIM_WHY_EPOCH);
		return;
	}
	holder->epoch = epoch->number;
	holder->home = epoch->now.members[pair.home];
	holder->has_backup = pair.backup != CLAIM_NOBODY;
	if (holder->has_backup)
		holder->backup = epoch->now.members[pair.backup];
	ask(holder, &holder->home, action);
}

void claim_holder_reply(claim_holder_t *holder, const claim_reply_t *reply,
			int64_t now, claim_action_t *action)
{
	holder->fresh |= reply->fresh;
	holder->soon |= reply->soon;
	if (holder->asked == 1 && holder->has_backup &&
	    (reply->verdict == CLAIM_GRANTED || reply->verdict == CLAIM_FULL)) {
		holder->look = reply->verdict == CLAIM_FULL;
		ask(holder, &holder->backup, action);
		return;
	}
	memset(action, 0, sizeof(*action));
	decide(holder, reply, now, action);
}

bool claim_holder_may_write(const claim_holder_t *holder, int64_t now)
{
	return holder->standing &&

	       now - holder->request.arrived < holder->window_us / 2;
}

void claim_holder_cancel(claim_holder_t *holder, claim_action_t *action)
{
	memset(action, 0, sizeof(*action));
	holder->standing = false;
	add_releases(holder, action);
	tell(action, CLAIM_TELL_NOT_RUN, CLAIM_WHY_CANCELLED);
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

static void ask(claim_holder_t *holder, const claim_member_t *target,
		claim_action_t *action)
{
	const claim_request_t *request = &holder->request;

	holder->asked++;
	if (!holder->look)
		note_asked(holder, target);
	memset(action, 0, sizeof(*action));
	action->next = CLAIM_DO_TAKE;
	action->target = *target;
	action->take = (claim_take_t){ .id = request->id,
				       .attempt = request->attempt,
				       .print = request->print,
				       .caller = request->caller,
				       .epoch = holder->epoch,
				       .ticket = request->ticket,
				       .look = holder->look };
}

/* Both were asked, or the first refused. */
static void decide(claim_holder_t *holder, const claim_reply_t *reply,
		   int64_t now, claim_action_t *action)
{
	bool in_time = now - holder->started <= holder->hold_us &&
		       now - holder->request.arrived <= holder->lag_us;

	if (reply->verdict == CLAIM_GRANTED && holder->fresh && in_time) {
		holder->standing = true;
		action->next = CLAIM_DO_RUN;
		return;
	}
	add_releases(holder, action);
	if (reply->verdict == CLAIM_GRANTED && !in_time) {
		action->again = true;
		tell(action, CLAIM_TELL_UNKNOWN, CLAIM_WHY_UNREACHABLE);
		return;
	}
	refuse(holder, reply, action);
}

/*
 * "Not run" is said of the id as a whole, hence only when home and backup have
 * both looked under one epoch and one of them would know of an earlier run.
 */
static void refuse(const claim_holder_t *holder, const claim_reply_t *reply,
		   claim_action_t *action)
{
	claim_verdict_t verdict = reply->verdict;
	bool all_asked = holder->asked == (holder->has_backup ? 2U : 1U);
	bool no_room = verdict == CLAIM_FULL ||
		       (verdict == CLAIM_NONE && holder->look);

	action->again = worth_again[verdict] ||
			(lacks_word[verdict] && holder->soon && !holder->fresh);
	action->answer = reply->answer;
	if (verdict == CLAIM_ANSWERED && reply->answer.ptr)
		tell(action, CLAIM_TELL_REPLAY, CLAIM_WHY_NONE);
	else if (no_room && all_asked && holder->fresh)
		tell(action, CLAIM_TELL_NOT_RUN, CLAIM_WHY_FULL);
	else
		tell(action, CLAIM_TELL_UNKNOWN, refusal_reasons[verdict]);
}

static void note_asked(claim_holder_t *holder, const claim_member_t *target)
{
	claim_list_t all = { holder->asked_of, holder->asked_all };

	if (claim_list_find(&all, target->id, target->incarnation) ==
	    CLAIM_NOBODY)
		holder->asked_of[holder->asked_all++] = *target;
}

static void add_releases(const claim_holder_t *holder, claim_action_t *action)
{
	action->releases = holder->asked_all;
	memcpy(action->release, holder->asked_of,
	       holder->asked_all * sizeof(claim_member_t));
}

static void tell(claim_action_t *action, claim_tell_t what,
		 claim_reason_t reason)
{
	action->next = CLAIM_DO_TELL;
	action->tell = what;
	action->reason = reason;
}
