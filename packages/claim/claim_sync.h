/*
 * claim_sync - copies a slice to a new home or backup from a former one.
 */
#ifndef CLAIM_SYNC_H
#define CLAIM_SYNC_H

#include "claim_table.h"

#define CLAIM_BATCH_MAX 64	/* records */
#define CLAIM_BATCH_BYTES 49152 /* of their answers */

/* A request for one batch of a slice. */
typedef struct claim_pull {
	claim_member_t source;	/* valid until the table adopts an epoch */
	uint64_t adopted_epoch; /* by the table that asks */
	uint64_t min_epoch;	/* that the source must have adopted */
	uint64_t cursor;	/* position in the slice */
	unsigned slice;
} claim_pull_t;

/* A record in a batch. */
typedef struct claim_copy {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint;
	uint64_t caller;
	int64_t age; /* microseconds */
	int state;   /* claim_state_t */
	base_str_t answer;
} claim_copy_t;

typedef struct claim_batch {
	bool ok; /* the source can provide the slice */
	bool last;
	uint64_t cursor;      /* of the next batch */
	uint64_t lost_epoch;  /* the bounds of the source: claim_table.h */
	int64_t complete_age; /* time since complete_from; may be negative */
	uint32_t n;
	uint32_t bytes; /* of answers, all together */
	claim_copy_t copies[CLAIM_BATCH_MAX];
} claim_batch_t;

/*
 * Get the next pull for a slice at or after "from", wrapping around.  Returns
 * false if there is none.  The sources of a slice are its former homes and
 * backups, back to the last epoch whose records the table may be missing, then
 * its other present replica.  After all of them have failed they are asked
 * again with exponential backoff.
 */
bool claim_table_next_pull(claim_table_t *table, unsigned from, int64_t now,
			   claim_pull_t *pull);

/* Answer a pull.  The answers in "batch" are valid until the next call. */
void claim_table_export(claim_table_t *table, const claim_pull_t *pull,
			int64_t now, claim_batch_t *batch);

/*
 * Import the answer to "pull"; a NULL "batch" means that none came.  A source
 * that failed is asked again after the others.
 */
void claim_table_import(claim_table_t *table, const claim_pull_t *pull,
			const claim_batch_t *batch, int64_t now);

#endif
