/*
 * Whether a task that could start now with a worse placement waits for a better
 * one, and for how long at most.
 *
 * Made for loads in which racks are busy for about as long as a wrong rack
 * costs.  A wait that costs at most what it avoids is at worst twice as bad as
 * the better choice, whatever the estimates are worth.
 */
#include "batch_int.h"

/*
 * A wait ends this long before its bound, so that the pass that ends it is not
 * late.
 */
#define WAIT_MARGIN (2 * BATCH_PASS_INTERVAL)
/*
 * Part of the slack that the worse placement leaves which a wait may use.  The
 * rest is for finding capacity elsewhere afterwards: it is not reserved.
 */
#define WAIT_SLACK_PART 0.5

/*
 * Longest wait of a job of which nothing runs while half of its pool or more is
 * empty.  The users grant 3 s; the rest is for storing and sending the start.
 */
#define WAIT_NEGLECTED_MAX (2 * BASE_SEC)

static int64_t longest(const batch_wait_input_t *in)
{
	int64_t spare = in->slack + in->waited - in->cost;
	int64_t most =
		in->is_neglected ? MIN(in->cost, WAIT_NEGLECTED_MAX) : in->cost;

	/* Elsewhere the job is late in any case. */
	if (spare < 0)
		return most;
	return MIN(most, (int64_t)(WAIT_SLACK_PART * (double)spare));
}

batch_wait_t batch_wait_decide(const batch_wait_input_t *in)
{
	batch_wait_t wait = { .kind = BATCH_WAIT_NONE, .bound = longest(in) };
	int64_t left = wait.bound - in->waited - WAIT_MARGIN;

	if (left <= 0)
		wait.kind = BATCH_WAIT_BOUND_REACHED;
	else if (in->expected >= 0 && in->expected + in->uncertainty <= left)
		wait.kind = BATCH_WAIT_FOR_RACK;
	return wait;
}
