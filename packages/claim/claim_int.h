/*
 * claim_int - internal declarations of the claim package.
 */
#ifndef CLAIM_INT_H
#define CLAIM_INT_H

#include <string.h>
#include <sys/queue.h>

#include "claim.h"

/* The rates of two clocks differ by less than 1/CLAIM_DRIFT_DIVISOR. */
#define CLAIM_DRIFT_DIVISOR 64

/* An interval on this clock that lasts at least "us" on any other clock. */
static inline int64_t claim_add_drift(int64_t us)
{
	return us + 2 * (us / CLAIM_DRIFT_DIVISOR);
}

#define CLAIM_TIME_MIN (INT64_MIN / 4) /* earlier than any claim */

typedef enum claim_state {
	CLAIM_STATE_FREE,
	CLAIM_STATE_HELD,
	CLAIM_STATE_RELEASED,
	CLAIM_STATE_ANSWERED,
	CLAIM_STATE_MAX
} claim_state_t;

typedef struct claim_answer {
	TAILQ_ENTRY(claim_answer) order;
	uint32_t rec; /* index of its record */
	uint32_t len;
	char bytes[];
} claim_answer_t;

typedef TAILQ_HEAD(claim_answers, claim_answer) claim_answers_t;

typedef struct claim_rec {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint;
	int64_t created;
	claim_answer_t *answer;
	uint32_t next; /* in its hash chain or in the free list */
	uint32_t wheel_next, wheel_prev;
	uint16_t wheel_slot; /* in which it expires */
	uint8_t state;	     /* claim_state_t */
	uint8_t account;     /* caller % CLAIM_ACCOUNTS */
} claim_rec_t;

#define CLAIM_REC_NONE 0
#define CLAIM_ACCOUNTS 256
#define CLAIM_WHEEL_SLOTS 1024 /* slots of the timer wheel; a power of 2 */

/* Records indexed by id and by expiry time. */
typedef struct claim_store {
	claim_rec_t *recs; /* index 0 is unused: CLAIM_REC_NONE */
	uint32_t *buckets; /* hash chains, by the top bits of the id */
	unsigned bucket_bits;
	uint32_t alloc, used, top, free; /* top: never used; free: list head */
	uint32_t max;
	uint32_t wheel[CLAIM_WHEEL_SLOTS];
	int64_t tick_us; /* one slot of the wheel */
	int64_t tick;	 /* slots before this tick were expired */
	uint32_t accounts[CLAIM_ACCOUNTS];
	claim_answers_t answers; /* oldest first */
	size_t answer_bytes, answer_max;
	int64_t retention_us, tombstone_us;
} claim_store_t;

void claim_store_init(claim_store_t *store, const void *ctx,
		      const claim_limits_t *limits);
claim_rec_t *claim_store_find(const claim_store_t *store, claim_id_t id);
bool claim_store_has_room(const claim_store_t *store, uint64_t caller);

/* Add a record in state HELD.  Returns NULL when the memory is full. */
claim_rec_t *claim_store_add(claim_store_t *store, claim_id_t id,
			     uint64_t caller, int64_t created);

/* Set state and creation time, and reschedule the expiry to match. */
void claim_store_set_state(claim_store_t *store, claim_rec_t *rec,
			   claim_state_t state, int64_t created);

/* Keep a copy of "answer" with the record, if it is not too long. */
void claim_store_set_answer(claim_store_t *store, claim_rec_t *rec,
			    base_str_t answer);
void claim_store_expire(claim_store_t *store, int64_t now);
size_t claim_store_bytes(const claim_store_t *store);
void claim_store_clear(claim_store_t *store);

typedef struct claim_slice {
	bool is_replica;	/* home or backup in this epoch */
	uint64_t covered_epoch; /* last epoch that the bounds account for */
	uint64_t lost_epoch;	/* the bounds: see claim_table.h */
	int64_t complete_from;
	uint64_t assigned_epoch; /* home or backup since this epoch */
	bool needs_copy;	 /* another entry may have missing records */
	bool is_pulling;	 /* a batch of the source was imported */
	unsigned source;	 /* index of the source: source_of() */
	int64_t backoff_us;	 /* delay after all sources failed */
	int64_t retry_at;
	uint64_t cursor;	    /* first id.hi of the next batch */
	uint64_t source_lost_epoch; /* its bounds at the first batch */
	int64_t source_complete_from;
} claim_slice_t;

#define CLAIM_PAST_LISTS 4 /* former lists whose entries may be asked */

struct claim_table {
	const char *entry;
	uint64_t incarnation;
	claim_limits_t limits;
	claim_epoch_t *epoch;
	claim_epoch_t *past[CLAIM_PAST_LISTS]; /* latest first */
	int64_t adopted_at;
	int64_t confirmed_at;
	bool confirmed;
	int64_t *seen_at; /* by entry: when it was at this epoch */
	bool *seen;
	bool *ended;		   /* by former entry: grants no more */
	int64_t majority_ended_at; /* INT64_MAX before a majority has */
	claim_slice_t slices[CLAIM_SLICES];
	claim_store_t store;
};

/* The index of the table's own entry in "list", or CLAIM_NO_MEMBER. */
int claim_table_self(const claim_table_t *table, const claim_list_t *list);

/*
 * Whether an id of "slice" without a record is known to be new.  "ticket" is
 * the epoch of its ticket, or 0.
 */
bool claim_table_fresh(const claim_table_t *table, unsigned slice,
		       uint64_t ticket, int64_t now);

/* Whether "slice" is still being copied, for less than CLAIM_COPY_US so far. */
bool claim_table_slice_copying(const claim_table_t *table, unsigned slice,
			       int64_t now);

#endif
