/*
 * base_clock - clocks and time units.
 *
 * Decision code takes "now" as an argument; only the event loops and handlers
 * around it read a clock.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define BASE_MS 1000LL		  /* microseconds */
#define BASE_SEC (1000 * BASE_MS) /* microseconds */

/*
 * Microseconds on a monotonic clock that includes the time in which the system
 * was suspended, so that a process sees how long it did not run.
 */
int64_t base_clock_mono(void);

/* Microseconds since 1970-01-01 00:00 UTC. */
int64_t base_clock_wall(void);

/* Processor time used by this process so far, microseconds. */
int64_t base_clock_processor(void);

/* Sleep for "us" microseconds. */
void base_clock_sleep(int64_t us);

#endif
