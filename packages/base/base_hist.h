/*
 * base_hist - a latency histogram.
 *
 * Bins grow by a fixed ratio, so that the relative error of a quantile is at
 * most BASE_HIST_RATIO - 1.  Not thread-safe: the caller serialises access.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>

#define BASE_HIST_RATIO 1.1
#define BASE_HIST_MIN_US 10.0
#define BASE_HIST_MAX_US 120e6

typedef struct base_hist base_hist_t;

/* A new empty histogram below "ctx". */
base_hist_t *base_hist_new(const void *ctx);

/* Count "us" microseconds; a value out of range goes to an end bin. */
void base_hist_add(base_hist_t *hist, int64_t us);

/* Add the counts of "other". */
void base_hist_merge(base_hist_t *hist, const base_hist_t *other);

/* Number of values counted. */
uint64_t base_hist_count(const base_hist_t *hist);

/* Sum of the values, microseconds. */
int64_t base_hist_sum(const base_hist_t *hist);

/* Number of values that are at most "us", to within one bin. */
uint64_t base_hist_below(const base_hist_t *hist, int64_t us);

/*
 * The upper edge, in microseconds, of the bin that holds quantile "q" (0 to
 * 1); 0 when empty.
 */
double base_hist_quantile(const base_hist_t *hist, double q);

#endif
