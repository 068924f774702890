/*
 * claim_sync - a new home learns a slice from a former one.
 */
#ifndef CLAIM_SYNC_H
#define CLAIM_SYNC_H

#include "claim_table.h"

#define CLAIM_BATCH_MAX 64	/* records */
#define CLAIM_BATCH_BYTES 49152 /* of their answers */

/* What to ask of whom. */
typedef struct claim_pull {
	claim_member_t source; /* the table's until it adopts an epoch */
	uint64_t adopted;      /* the table's epoch */
	uint64_t epoch;	       /* that the source must have reached */
	uint64_t cursor;       /* what of the slice comes next */
	unsigned slice;
} claim_pull_t;

typedef struct claim_copy {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t print;
	uint64_t caller;
	int64_t age; /* microseconds */
	int state;   /* claim_state_t */
	base_str_t answer;
} claim_copy_t;

typedef struct claim_batch {
	bool ok; /* the source can speak for the slice */
	bool last;
	uint64_t cursor; /* of the next batch */
	uint64_t lost;
	int64_t complete_age; /* since complete_from; < 0 before it */
	uint32_t n;
	uint32_t bytes; /* of answers */
	claim_copy_t copies[CLAIM_BATCH_MAX];
} claim_batch_t;

/*
 * The next pull at or after slice "from", wrapping around.  False when there
 * is none.  A slice is asked of its former homes and backups, as far back as
 * the table has been without what they know, then of the other one that has it
 * now; and when none could help, again after a pause.
 */
bool claim_table_next_pull(claim_table_t *table, unsigned from, int64_t now,
			   claim_pull_t *pull);

/* Answer a pull; answers are the table's until its next call. */
void claim_table_export(claim_table_t *table, const claim_pull_t *pull,
			int64_t now, claim_batch_t *batch);

/*
 * Take in the answer to "pull", or its loss (batch NULL).  A source that
 * failed is asked again after the others.
 */
void claim_table_import(claim_table_t *table, const claim_pull_t *pull,
			const claim_batch_t *batch, int64_t now);

#endif
