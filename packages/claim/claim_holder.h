/*
 * claim_holder - acquires the claim for one request that is not repeatable.
 *
 * A non-blocking state machine at the entry that serves the request: each call
 * returns the next action, and the reply to a take goes to
 * claim_holder_reply().  Release messages are sent without waiting for an
 * answer.  A round is one pass of takes, first at the home, then at the backup.
 */
#ifndef CLAIM_HOLDER_H
#define CLAIM_HOLDER_H

#include "claim_table.h"

#define CLAIM_CONTACTED_MAX 6 /* maximum entries contacted for one request */

typedef enum claim_action_kind {
	/* Send "take" to "target", then call claim_holder_reply(). */
	CLAIM_ACTION_TAKE,
	CLAIM_ACTION_RUN,    /* the claim is acquired: send the request */
	CLAIM_ACTION_REPORT, /* the request does not run: answer the caller */
	CLAIM_ACTION_MAX
} claim_action_kind_t;

/* What the caller is told about the id. */
typedef enum claim_outcome {
	CLAIM_OUTCOME_REPLAY,  /* the recorded answer */
	CLAIM_OUTCOME_NOT_RUN, /* no run of the id has begun */
	CLAIM_OUTCOME_UNKNOWN, /* this request did not run, another one with the
				  id may have run */
	CLAIM_OUTCOME_MAX
} claim_outcome_t;

typedef enum claim_reason {
	CLAIM_REASON_NONE,
	CLAIM_REASON_HELD, /* another attempt runs or has an unknown outcome */
	CLAIM_REASON_NOT_KEPT, /* the id ran, but its answer is not stored */
	CLAIM_REASON_FULL,     /* no room for a record of the claim */
	CLAIM_REASON_MISMATCH, /* the key was used for another request */
	CLAIM_REASON_FENCE, /* the slice may lack records of earlier claims */
	/* The list of entries is changing or is not confirmed. */
	CLAIM_REASON_EPOCH,
	CLAIM_REASON_UNREACHABLE, /* home or backup did not reply in time */
	CLAIM_REASON_STALE,	  /* the ticket is too old */
	/* The request did not run; the router reports why. */
	CLAIM_REASON_CANCELLED,
	CLAIM_REASON_MAX
} claim_reason_t;

/* The value of X-Cactusfield-Reason, such as "claim-held". */
const char *claim_reason_name(claim_reason_t reason);

typedef struct claim_action {
	claim_action_kind_t next;
	claim_member_t target;
	claim_take_t take;
	claim_outcome_t caller_outcome;
	claim_reason_t reason;
	bool may_retry;	   /* claim_holder_retry() may succeed */
	base_str_t answer; /* recorded answer, for CLAIM_OUTCOME_REPLAY; owned
			      by the reply */
	/* Entries that must be sent a release. */
	claim_member_t release[CLAIM_CONTACTED_MAX];
	unsigned release_count;
} claim_action_t;

typedef struct claim_request {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint;
	uint64_t caller;
	uint64_t ticket; /* epoch of the ticket; 0 if the key is no ticket */
	int64_t arrived; /* when the entry read the request */
} claim_request_t;

typedef struct claim_holder {
	claim_request_t request;
	claim_member_t home, backup;
	uint64_t epoch;
	bool has_backup;
	int64_t round_started;		     /* start of the current round */
	int64_t round_us, lag_us, window_us; /* from claim_limits_t */
	unsigned takes_sent; /* takes sent in the current round */
	/* Entries that may have a record of the attempt, from all rounds. */
	claim_member_t contacted[CLAIM_CONTACTED_MAX];
	unsigned contacted_count;
	bool lookup_only; /* home is full: the backup only looks up the id */
	bool fresh;	  /* home or backup knows that the id is new */
	/* Copying the slice may show home or backup that the id is new. */
	bool copy_pending;
	bool is_acquired;
} claim_holder_t;

/*
 * Start to acquire the claim.  "epoch" is the one that this entry has adopted,
 * or NULL; its strings must outlive "holder".
 */
void claim_holder_start(claim_holder_t *holder, const claim_request_t *request,
			const claim_epoch_t *epoch,
			const claim_limits_t *limits, int64_t now,
			claim_action_t *action);

/* Handle the reply to the last take. */
void claim_holder_reply(claim_holder_t *holder, const claim_reply_t *reply,
			int64_t now, claim_action_t *action);

/*
 * Start another round of takes under "epoch", after an action with "may_retry"
 * set.  The release messages that this action lists must then not be sent.  The
 * attempt number stays the same, so that records left by an earlier round do
 * not refuse the takes of the new round.
 */
void claim_holder_retry(claim_holder_t *holder, const claim_epoch_t *epoch,
			int64_t now, claim_action_t *action);

/*
 * Whether the claim still permits writing the first byte of the request to an
 * endpoint at "now".  Call this right before each such write.
 */
bool claim_holder_may_write(const claim_holder_t *holder, int64_t now);

/*
 * Give up an acquired claim: either no byte of the request was or will be
 * written to an endpoint, or the endpoint reported that it did not start to run
 * the request.  Sets "action" to the entries that must be sent a release
 * message, and to the outcome to report to the caller.
 */
void claim_holder_cancel(claim_holder_t *holder, claim_action_t *action);

/*
 * Store the home and, if there is one, the backup in "targets": both must be
 * sent the endpoint's answer, to record it.  Returns their number, 1 or 2.
 */
unsigned claim_holder_targets(const claim_holder_t *holder,
			      claim_member_t targets[2]);

#endif
