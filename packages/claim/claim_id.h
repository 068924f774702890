/*
 * claim_id - identifiers of requests and of attempts to run them.
 */
#ifndef CLAIM_ID_H
#define CLAIM_ID_H

#include "base_str.h"

#define CLAIM_SLICES 64 /* partitions of the id space */

/* Digest of a caller's name and its idempotency key. */
typedef struct claim_id {
	uint64_t hi; /* its top bits give the slice */
	uint64_t lo;
} claim_id_t;

/*
 * One attempt of one entry to run an id.  Numbers are never reused.  All zero
 * means no attempt.
 */
typedef struct claim_attempt {
	uint64_t entry;	 /* claim_entry_digest() of the serving entry */
	uint64_t number; /* counts from 1 in each incarnation */
} claim_attempt_t;

/* The id of "key" when used by "caller". */
claim_id_t claim_id(base_str_t caller, base_str_t key);

/* The slice of "id", from 0 to CLAIM_SLICES - 1. */
unsigned claim_id_slice(claim_id_t id);

/* Digest of an entry's id and incarnation. */
uint64_t claim_entry_digest(base_str_t entry, uint64_t incarnation);

/* Fingerprint of a request, to detect a key reused for another request. */
uint64_t claim_fingerprint(base_str_t method, base_str_t target,
			   base_str_t body);

static inline bool claim_attempt_eq(claim_attempt_t a, claim_attempt_t b)
{
	return a.entry == b.entry && a.number == b.number;
}

#endif
