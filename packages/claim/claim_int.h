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

#define CLAIM_TIME_MIN (INT64_MIN / 4) /* a time before any claim was made */

typedef enum claim_state {
	CLAIM_STATE_FREE,
	CLAIM_STATE_HELD,
	CLAIM_STATE_RELEASED,
	CLAIM_STATE_ANSWERED,
	CLAIM_STATE_MAX
} claim_state_t;

typedef struct claim_answer {
	TAILQ_ENTRY(claim_answer) order;
	uint32_t rec; /* index of the record that the answer belongs to */
	uint32_t len; /* bytes */
	char bytes[];
} claim_answer_t;

typedef TAILQ_HEAD(claim_answers, claim_answer) claim_answers_t;

typedef struct claim_rec {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint;
	int64_t created;
	claim_answer_t *answer;
	uint32_t next; /* next record of its hash chain or of the free list */
	uint32_t wheel_next, wheel_prev; /* neighbours in its wheel slot */
	uint16_t wheel_slot; /* the wheel slot in which the record expires */
	uint8_t state;	     /* claim_state_t */
	uint8_t account;     /* caller % CLAIM_ACCOUNTS */
} claim_rec_t;

#define CLAIM_REC_NONE 0       /* record index that means no record */
#define CLAIM_ACCOUNTS 256     /* callers are hashed into this many accounts */
#define CLAIM_WHEEL_SLOTS 1024 /* slots of the timer wheel; a power of 2 */

/* Records indexed by id and by expiry time. */
typedef struct claim_store {
	claim_rec_t *recs; /* index 0 is unused: CLAIM_REC_NONE */
	uint32_t *buckets; /* heads of the hash chains, by the id's top bits */
	unsigned bucket_bits;
	/*
	 * Elements allocated in "recs", records in use, lowest index that was
	 * never used, and head of the free list.
	 */
	uint32_t alloc, used, top, free;
	uint32_t max;			   /* limit of "used" */
	uint32_t wheel[CLAIM_WHEEL_SLOTS]; /* first record of each slot */
	int64_t tick_us; /* duration of one slot of the wheel */
	int64_t tick;	 /* slots before this tick have been expired */
	uint32_t accounts[CLAIM_ACCOUNTS]; /* records in use, by account */
	claim_answers_t answers;	   /* oldest first */
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
	bool is_replica;	 /* home or backup in the adopted epoch */
	uint64_t covered_epoch;	 /* last epoch that the bounds account for */
	uint64_t lost_epoch;	 /* bound, see claim_table.h */
	int64_t complete_from;	 /* bound, see claim_table.h */
	uint64_t assigned_epoch; /* home or backup since this epoch */
	bool needs_copy;    /* another entry may have records missing here */
	bool is_pulling;    /* a batch from "source" was imported */
	unsigned source;    /* index of the source, see source_of() */
	int64_t backoff_us; /* delay after all sources have failed */
	int64_t retry_at;   /* no pull before this time */
	uint64_t cursor;    /* first id.hi of the next batch */
	uint64_t source_lost_epoch; /* lost_epoch in the source's first batch */
	int64_t source_complete_from; /* complete_from in that first batch */
} claim_slice_t;

/* Former lists whose entries are asked for records. */
#define CLAIM_PAST_LISTS 4

struct claim_table {
	const char *entry;
	uint64_t incarnation;
	claim_limits_t limits;
	claim_epoch_t *epoch;
	claim_epoch_t *past[CLAIM_PAST_LISTS]; /* former lists, latest first */
	int64_t adopted_at;
	int64_t confirmed_at; /* when the store was asked, if "confirmed" */
	bool confirmed;	      /* the store has confirmed the epoch */
	/*
	 * By member of the current list: when the member was last asked and
	 * replied that it has adopted this epoch, and whether it ever did.
	 */
	int64_t *seen_at;
	bool *seen;
	/*
	 * By member of the former list: grants no more takes in the former
	 * epoch.
	 */
	bool *ended;
	/*
	 * When a majority of the former list had "ended" set; INT64_MAX before.
	 */
	int64_t majority_ended_at;
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
