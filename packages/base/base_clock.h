/*
 * base_clock - where time comes from.
 *
 * Decisions take "now" as an argument; only the glue reads a clock.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define BASE_MS 1000LL		  /* microseconds */
#define BASE_SEC (1000 * BASE_MS) /* microseconds */

/*
 * Microseconds on a clock that never goes back and that counts suspended
 * time, so that a paused process sees how long it was away.
 */
int64_t base_clock_mono(void);

/* Microseconds since 1970-01-01 00:00 UTC. */
int64_t base_clock_wall(void);

/* Processor time of this process so far, microseconds. */
int64_t base_clock_processor(void);

/* Sleep for "us" microseconds. */
void base_clock_sleep(int64_t us);

#endif
