/*
 * Division of a pool among workspaces by their weights.
 *
 * Load: one workspace sends many times its usual, so that the demand exceeds
 * the room.  Weighted max-min fairness: nobody gets more than it wants, and
 * what one leaves goes to the others by weight.
 */
#include "batch_int.h"

typedef struct ranked {
	double level; /* demand by weight */
	batch_share_t *share;
} ranked_t;

static int compare_level(const void *a, const void *b)
{
	double left = ((const ranked_t *)a)->level;
	double right = ((const ranked_t *)b)->level;

	return (left > right) - (left < right);
}

void batch_share_divide(batch_share_t *shares, size_t n, double room)
{
	ranked_t *order = g_new(ranked_t, n);
	double weights = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		order[i].level = shares[i].demand / shares[i].weight;
		order[i].share = &shares[i];
		weights += shares[i].weight;
	}
	/* Those that want the least for their weight are satisfied first. */
	qsort(order, n, sizeof(*order), compare_level);
	for (i = 0; i < n; i++) {
		batch_share_t *share = order[i].share;
		double due = room * share->weight / weights;

		share->fair = MIN(share->demand, due);
		room -= share->fair;
		weights -= share->weight;
	}
	g_free(order);
}

/*
 * While the work of one is done at its share of the rate, each of the others
 * gets as much for its weight, or less if it wants no more.
 */
double batch_share_finish(const batch_share_t *shares, size_t n, size_t of,
			  double rate)
{
	double level = shares[of].demand / shares[of].weight;
	double work = 0;
	size_t i;

	for (i = 0; i < n; i++)
		work += MIN(shares[i].demand, shares[i].weight * level);
	return rate > 0 ? work / rate : -1;
}
