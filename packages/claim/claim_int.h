/*
 * claim_int - what the files of this package share.
 */
#ifndef CLAIM_INT_H
#define CLAIM_INT_H

#include <string.h>
#include <sys/queue.h>

#include "claim.h"

/* Clocks run at rates that differ by less than one in CLAIM_SKEW. */
#define CLAIM_SKEW 64

/* "us" measured here covers "us" on any other clock. */
static inline int64_t claim_stretch(int64_t us)
{
	return us + 2 * (us / CLAIM_SKEW);
}

#define CLAIM_EVER (INT64_MIN / 4) /* before all claims */

typedef enum claim_state {
	CLAIM_STATE_FREE,
	CLAIM_STATE_HELD,
	CLAIM_STATE_RELEASED,
	CLAIM_STATE_ANSWERED,
	CLAIM_STATE_MAX
} claim_state_t;

typedef struct claim_answer {
	TAILQ_ENTRY(claim_answer) order;
	uint32_t rec;
	uint32_t len;
	char bytes[];
} claim_answer_t;

typedef TAILQ_HEAD(claim_answers, claim_answer) claim_answers_t;

typedef struct claim_rec {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t print;
	int64_t created;
	claim_answer_t *answer;
	uint32_t next; /* of its bucket, or of the free list */
	uint32_t wheel_next, wheel_prev;
	uint16_t wheel;	 /* where it is due */
	uint8_t state;	 /* claim_state_t */
	uint8_t account; /* whose share it counts against */
} claim_rec_t;

#define CLAIM_REC_NONE 0
#define CLAIM_ACCOUNTS 256
#define CLAIM_WHEEL 1024 /* places of the timer wheel */

/* Records by id, and by the time at which they are due. */
typedef struct claim_store {
	claim_rec_t *recs; /* from 1; 0 is no record */
	uint32_t *buckets; /* by the top bits of the id */
	unsigned bucket_bits;
	uint32_t alloc, used, top, free;
	uint32_t max;
	uint32_t wheel[CLAIM_WHEEL];
	int64_t tick_us; /* one place of the wheel */
	int64_t tick;	 /* drained up to here */
	uint32_t accounts[CLAIM_ACCOUNTS];
	claim_answers_t answers; /* oldest first */
	size_t answer_bytes, answer_max;
	int64_t keep_us, tombstone_us;
} claim_store_t;

void claim_store_init(claim_store_t *store, const void *ctx,
		      const claim_limits_t *limits);
claim_rec_t *claim_store_find(const claim_store_t *store, claim_id_t id);
bool claim_store_has_room(const claim_store_t *store, uint64_t caller);

/* A new held record; NULL when the memory is full. */
claim_rec_t *claim_store_add(claim_store_t *store, claim_id_t id,
			     uint64_t caller, int64_t created);

/* Set state and age, and with them when the record is due. */
void claim_store_set(claim_store_t *store, claim_rec_t *rec,
		     claim_state_t state, int64_t created);
void claim_store_keep(claim_store_t *store, claim_rec_t *rec,
		      base_str_t answer);
void claim_store_expire(claim_store_t *store, int64_t now);
size_t claim_store_bytes(const claim_store_t *store);
void claim_store_clear(claim_store_t *store);

typedef struct claim_slice {
	bool mine;	  /* home or backup in the epoch */
	uint64_t through; /* the bounds cover epochs up to this one */
	uint64_t lost;
	int64_t complete_from;
	uint64_t since;	 /* home or backup from this epoch on */
	bool need;	 /* somebody may know more */
	bool pulling;	 /* a batch of this source was taken in */
	unsigned source; /* whom to ask: claim_sync.c */
	int64_t pause;	 /* after all were asked in vain */
	int64_t again_at;
	uint64_t cursor;
	uint64_t pull_lost; /* the source's bounds at its first batch */
	int64_t pull_from;
} claim_slice_t;

#define CLAIM_PAST 4 /* former lists that may be asked */

struct claim_table {
	const char *entry;
	uint64_t incarnation;
	claim_limits_t limits;
	claim_epoch_t *epoch;
	claim_epoch_t *past[CLAIM_PAST]; /* before it, the last one first */
	int64_t adopted_at;
	int64_t confirmed_at;
	bool confirmed;
	int64_t *seen_at; /* of each entry: at this epoch */
	bool *seen;
	bool *ended;		/* of each former entry: past its epoch */
	int64_t majority_ended; /* when most had; INT64_MAX before */
	claim_slice_t slices[CLAIM_SLICES];
	claim_store_t store;
};

/* The index of the table's own entry in "list", or CLAIM_NOBODY. */
int claim_table_self(const claim_table_t *table, const claim_list_t *list);
bool claim_table_fresh(const claim_table_t *table, unsigned slice,
		       uint64_t ticket, int64_t now);

/* Whether it still copies "slice", and has not taken too long over it. */
bool claim_table_copies(const claim_table_t *table, unsigned slice,
			int64_t now);

#endif
