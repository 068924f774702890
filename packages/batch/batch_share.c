/*
 * Division of a pool among workspaces by their weights.
 *
 * Load: one workspace sends many times its usual, so that the demand exceeds
 * the room.  Weighted max-min fairness: nobody gets more than it wants, and
 * what one leaves goes to the others by weight.
 */
#include "batch_int.h"

static int compare_demand(const void *a, const void *b)
{
	const batch_share_t *x = *(const batch_share_t *const *)a;
	const batch_share_t *y = *(const batch_share_t *const *)b;
	double left = x->demand / x->weight;
	double right = y->demand / y->weight;

	return (left > right) - (left < right);
}

void batch_share_divide(batch_share_t *shares, size_t n, double room)
{
	batch_share_t **order = g_new(batch_share_t *, n);
	double weights = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		order[i] = &shares[i];
		weights += shares[i].weight;
	}
	/* Those that want the least for their weight are satisfied first. */
	qsort(order, n, sizeof(*order), compare_demand);
	for (i = 0; i < n; i++) {
		double due = room * order[i]->weight / weights;

		order[i]->fair = MIN(order[i]->demand, due);
		room -= order[i]->fair;
		weights -= order[i]->weight;
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
