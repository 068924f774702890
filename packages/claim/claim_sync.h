/*
 * claim_sync - copies the claim records of a slice to its new home or backup
 * from a former home or backup.
 */
#ifndef CLAIM_SYNC_H
#define CLAIM_SYNC_H

#include "claim_table.h"

#define CLAIM_BATCH_MAX 64	/* maximum records in a batch */
#define CLAIM_BATCH_BYTES 49152 /* maximum bytes of answers in a batch */

/* A request for one batch of a slice. */
typedef struct claim_pull {
	claim_member_t source;	/* valid until the table adopts an epoch */
	uint64_t adopted_epoch; /* epoch that the asking table has adopted */
	uint64_t min_epoch;	/* lowest epoch that the source may be in */
	uint64_t cursor;	/* position in the slice */
	unsigned slice;
} claim_pull_t;

/* A record in a batch. */
typedef struct claim_copy {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint;
	uint64_t caller;
	int64_t age; /* time since the record's creation, microseconds */
	int state;   /* claim_state_t */
	base_str_t answer;
} claim_copy_t;

typedef struct claim_batch {
	bool ok;	      /* the source can provide the slice */
	bool last;	      /* no batch of the slice follows */
	uint64_t cursor;      /* position where the next batch begins */
	uint64_t lost_epoch;  /* the source's bound, see claim_table.h */
	int64_t complete_age; /* time since the source's complete_from; may be
				 negative */
	uint32_t n;	      /* number of records */
	uint32_t bytes;	      /* total size of the records' answers */
	claim_copy_t copies[CLAIM_BATCH_MAX];
} claim_batch_t;

/*
 * Get the next pull that is due for a slice, searching from slice number "from"
 * upwards and then from 0.  Returns false if none is due.  The sources of a
 * slice are its former homes and backups, back to the last epoch whose records
 * the table may lack, then the other one of its present home and backup.  After
 * all sources have failed they are asked again with exponential backoff.
 */
bool claim_table_next_pull(claim_table_t *table, unsigned from, int64_t now,
			   claim_pull_t *pull);

/* Answer a pull.  The answers in "batch" are valid until the next call. */
void claim_table_export(claim_table_t *table, const claim_pull_t *pull,
			int64_t now, claim_batch_t *batch);

/*
 * Import the answer to "pull"; a NULL "batch" means that no answer came.  A
 * source that failed is asked again after the other sources.
 */
void claim_table_import(claim_table_t *table, const claim_pull_t *pull,
			const claim_batch_t *batch, int64_t now);

#endif
