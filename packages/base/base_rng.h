/*
 * base_rng - a seeded pseudo-random generator (splitmix64) for decisions.
 *
 * Not cryptographic.  The caller owns the state, so that runs with the same
 * seed give the same results.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

typedef struct base_rng {
	uint64_t state;
} base_rng_t;

/* The next 64 bits. */
uint64_t base_rng_next(base_rng_t *rng);

/* A uniform integer from 0 to n - 1; 0 when n is 0. */
uint32_t base_rng_below(base_rng_t *rng, uint32_t n);

/* A uniform number from 0 (included) to 1 (excluded). */
double base_rng_unit(base_rng_t *rng);

#endif
