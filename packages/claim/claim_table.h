/*
 * claim_table - what one entry knows of claims as home or backup.
 *
 * Knowledge of a slice is bounded by two numbers: every completed take that
 * the table does not hold was of an epoch up to "lost", and was taken before
 * "complete_from".  A key that the caller made is known to be new when the
 * window has passed since complete_from; a ticket when its epoch is past
 * "lost".
 */
#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include "base.h"
#include "claim_epoch.h"
#include "claim_id.h"

#define CLAIM_ANSWER_MAX 4096 /* bytes of a recorded answer, at the most */
#define CLAIM_COPY_US                                          \
	(10 * BASE_SEC) /* a copy that takes longer has failed \
			 */

typedef struct claim_limits {
	int64_t window_us;    /* an id runs at most once within it */
	int64_t confirm_us;   /* how long one sign of the epoch is good for */
	int64_t store_us;     /* and without the store, at the most */
	int64_t hold_us;      /* a round of takes takes no longer */
	int64_t lag_us;	      /* from a request's arrival to its claim */
	int64_t tombstone_us; /* how long a release is remembered */
	uint32_t max_records;
	size_t answer_bytes; /* recorded answers, all together */
} claim_limits_t;

/* 600 s, 10 s, 3,600 s, 2 s, 30 s, 60 s, 262,144 records, 4 MiB. */
extern const claim_limits_t claim_limits_default;

typedef struct claim_table claim_table_t;

typedef struct claim_table_opts {
	const char *entry;
	uint64_t incarnation;
	claim_limits_t limits;
} claim_table_opts_t;

/* A new table below "ctx", in no epoch. */
claim_table_t *claim_table_new(const void *ctx, const claim_table_opts_t *opts);

/*
 * Adopt "epoch", if it is newer: from here on every take of an older one is
 * refused.  "confirmed_at" is when the store was asked for it, or 0 when it
 * came from a peer.  Returns whether it was adopted.
 */
bool claim_table_adopt(claim_table_t *table, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now);

/* The store, asked at "asked_at", said that the epoch is "number". */
void claim_table_confirm(claim_table_t *table, uint64_t number,
			 int64_t asked_at);

/* What a peer said when asked. */
typedef struct claim_contact {
	const char *entry;
	uint64_t incarnation;
	uint64_t epoch;	       /* that it has adopted */
	int64_t confirmed_age; /* since it was last confirmed; -1 if never */
	int64_t asked_at;      /* on the asker's clock; 0: not known */
} claim_contact_t;

void claim_table_contact(claim_table_t *table, const claim_contact_t *contact,
			 int64_t now);

/* What to answer to a peer that asks; "entry" is the table's. */
claim_contact_t claim_table_hello(const claim_table_t *table, int64_t now);

/* Whether takes are granted at "now". */
bool claim_table_may_grant(const claim_table_t *table, int64_t now);

/* The epoch adopted, or NULL; valid until the next one is. */
const claim_epoch_t *claim_table_epoch(const claim_table_t *table);

/* The highest epoch that none of its entries grants in any more. */
uint64_t claim_table_settled(const claim_table_t *table, int64_t now);

/* When the epoch was adopted. */
int64_t claim_table_adopted_at(const claim_table_t *table);

typedef enum claim_verdict {
	CLAIM_GRANTED,
	CLAIM_HELD,	/* another attempt has it */
	CLAIM_ANSWERED, /* it ran; with its answer if that was kept */
	CLAIM_NONE,	/* looked only: no record */
	CLAIM_FULL,	/* no record, and no room for one */
	CLAIM_MISMATCH, /* the key was used for another request */
	CLAIM_RELEASED, /* this attempt was released before */
	CLAIM_SEALED,	/* the epoch has ended here */
	CLAIM_BEHIND,	/* the epoch has not begun here */
	CLAIM_NOT_HERE, /* not a home or backup of the slice */
	CLAIM_UNSURE,	/* too long without a sign of the epoch */
	CLAIM_LOST,	/* no answer came; made by the holder's transport */
	CLAIM_VERDICT_MAX
} claim_verdict_t;

/* "granted", "held", ... */
const char *claim_verdict_name(claim_verdict_t verdict);

typedef struct claim_take {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t print;	 /* claim_print() of the request */
	uint64_t caller; /* digest of the caller's name */
	uint64_t epoch;
	uint64_t ticket; /* the ticket's epoch; 0 for a caller's own key */
	bool look;	 /* only look, take nothing */
} claim_take_t;

typedef struct claim_reply {
	claim_verdict_t verdict;
	bool fresh;	   /* no earlier run can be unknown here */
	bool soon;	   /* not yet: the table still copies the slice */
	uint64_t epoch;	   /* adopted by the table */
	base_str_t answer; /* ptr NULL if not kept; the table's until the
			      next call */
} claim_reply_t;

void claim_table_take(claim_table_t *table, const claim_take_t *take,
		      int64_t now, claim_reply_t *reply);

/*
 * "attempt" has written no byte and never will: the id may be taken again.
 * A release of another attempt than the one recorded changes nothing.
 */
void claim_table_release(claim_table_t *table, claim_id_t id,
			 claim_attempt_t attempt, int64_t now);

typedef struct claim_finish {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t print;
	uint64_t caller;
	base_str_t answer; /* kept if at most CLAIM_ANSWER_MAX bytes */
} claim_finish_t;

/* "attempt" ran and was answered. */
void claim_table_finish(claim_table_t *table, const claim_finish_t *finish,
			int64_t now);

/* Forget records that are past the window.  Takes do so, too. */
void claim_table_expire(claim_table_t *table, int64_t now);

typedef struct claim_stats {
	uint32_t records;
	size_t bytes;	     /* records, index and answers */
	size_t answer_bytes; /* of these, answers */
	unsigned homed;	     /* slices that the entry homes or backs up */
	unsigned fenced;     /* of these, with a bound on what is known */
} claim_stats_t;

claim_stats_t claim_table_stats(const claim_table_t *table, int64_t now);

/*
 * How many slices the table still has to copy before it can vouch for them.  0
 * from CLAIM_COPY_US after the epoch was adopted: they are fenced then.
 */
unsigned claim_table_copying(const claim_table_t *table, int64_t now);

#endif
