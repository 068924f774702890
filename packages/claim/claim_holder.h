/*
 * claim_holder - one request that is not repeatable, at the entry that has it.
 *
 * A state machine without a wait: each call says what to do next, and the
 * answer to a take goes to claim_holder_reply().  Releases are sent and not
 * waited for.
 */
#ifndef CLAIM_HOLDER_H
#define CLAIM_HOLDER_H

#include "claim_table.h"

#define CLAIM_ASKED_MAX 6 /* entries that one request asks, at the most */

typedef enum claim_do {
	CLAIM_DO_TAKE, /* send "take" to "target", then claim_holder_reply() */
	CLAIM_DO_RUN,  /* the claim stands: the request may go out */
	CLAIM_DO_TELL, /* tell the caller: it does not run */
	CLAIM_DO_MAX
} claim_do_t;

/* What the caller is told of the id. */
typedef enum claim_tell {
	CLAIM_TELL_REPLAY,  /* the recorded answer */
	CLAIM_TELL_NOT_RUN, /* no run of the id has begun */
	CLAIM_TELL_UNKNOWN, /* this request ran nothing, another may have */
	CLAIM_TELL_MAX
} claim_tell_t;

typedef enum claim_reason {
	CLAIM_WHY_NONE,
	CLAIM_WHY_HELD,	       /* another attempt runs, or ended unknown */
	CLAIM_WHY_NOT_KEPT,    /* answered, the answer is gone */
	CLAIM_WHY_FULL,	       /* no room for claims */
	CLAIM_WHY_MISMATCH,    /* the key belongs to another request */
	CLAIM_WHY_FENCE,       /* earlier claims may be lost */
	CLAIM_WHY_EPOCH,       /* the list of entries is changing or unsure */
	CLAIM_WHY_UNREACHABLE, /* home or backup did not answer in time */
	CLAIM_WHY_STALE,       /* the ticket is too old */
	CLAIM_WHY_CANCELLED, /* nothing was written: see the router's reason */
	CLAIM_WHY_MAX
} claim_reason_t;

/* For X-Cactusfield-Reason: "claim-held", ... */
const char *claim_reason_name(claim_reason_t reason);

typedef struct claim_action {
	claim_do_t next;
	claim_member_t target;
	claim_take_t take;
	claim_tell_t tell;
	claim_reason_t reason;
	bool again;	   /* claim_holder_again() may do better */
	base_str_t answer; /* of CLAIM_TELL_REPLAY, the reply's */
	claim_member_t release[CLAIM_ASKED_MAX]; /* these forget the attempt */
	unsigned releases;
} claim_action_t;

typedef struct claim_request {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t print;
	uint64_t caller;
	uint64_t ticket; /* its epoch, or 0 */
	int64_t arrived; /* when the entry read it */
} claim_request_t;

typedef struct claim_holder {
	claim_request_t request;
	claim_member_t home, backup;
	uint64_t epoch;
	bool has_backup;
	int64_t started; /* this round */
	int64_t hold_us, lag_us, window_us;
	unsigned asked; /* takes sent in this round */
	claim_member_t asked_of[CLAIM_ASKED_MAX];
	unsigned asked_all; /* in all rounds */
	bool look;	    /* the home has no room: the backup is only asked */
	bool fresh;
	bool soon; /* home or backup may vouch for the id in a while */
	bool standing;
} claim_holder_t;

/*
 * Begin.  "epoch" is what this entry has adopted, or NULL; its strings must
 * last as long as the holder.
 */
void claim_holder_start(claim_holder_t *holder, const claim_request_t *request,
			const claim_epoch_t *epoch,
			const claim_limits_t *limits, int64_t now,
			claim_action_t *action);

/* The answer to the take that was asked for last. */
void claim_holder_reply(claim_holder_t *holder, const claim_reply_t *reply,
			int64_t now, claim_action_t *action);

/*
 * Begin another round under "epoch", when an action says "again"; the
 * releases of that action are then not sent.  The attempt is the same, so that
 * what an earlier round left behind does not stand in its own way.
 */
void claim_holder_again(claim_holder_t *holder, const claim_epoch_t *epoch,
			int64_t now, claim_action_t *action);

/*
 * Whether the claim still covers a first byte at "now": to be asked right
 * before each write of one.
 */
bool claim_holder_may_write(const claim_holder_t *holder, int64_t now);

/*
 * The claim stood and no byte was written, nor will be; or the endpoint said
 * that it did not start.  Gives the releases and what to tell.
 */
void claim_holder_cancel(claim_holder_t *holder, claim_action_t *action);

/* Who is to know the answer: "targets" gets up to 2.  Returns how many. */
unsigned claim_holder_targets(const claim_holder_t *holder,
			      claim_member_t targets[2]);

#endif
