/*
 * claim_id - names of requests and of attempts to run them.
 */
#ifndef CLAIM_ID_H
#define CLAIM_ID_H

#include "base_str.h"

#define CLAIM_SLICES 64

/* Digest of a caller's name and its key. */
typedef struct claim_id {
	uint64_t hi; /* its top bits give the slice */
	uint64_t lo;
} claim_id_t;

/*
 * One try of one entry to run an id; never used again.  All zero names no
 * attempt.
 */
typedef struct claim_attempt {
	uint64_t entry;	 /* claim_entry_digest() of the holder */
	uint64_t number; /* counts up from 1 in that incarnation */
} claim_attempt_t;

/* The id of "key" when "caller" uses it. */
claim_id_t claim_id(base_str_t caller, base_str_t key);

/* The slice, 0 to CLAIM_SLICES - 1. */
unsigned claim_id_slice(claim_id_t id);

/* One number for an incarnation of an entry. */
uint64_t claim_entry_digest(base_str_t entry, uint64_t incarnation);

/* One number for what a request asks, to notice a key used for two. */
uint64_t claim_print(base_str_t method, base_str_t target, base_str_t body);

static inline bool claim_attempt_eq(claim_attempt_t a, claim_attempt_t b)
{
	return a.entry == b.entry && a.number == b.number;
}

#endif
