/*
 * How many instances of a round of upkeep are out at once.
 *
 * The pattern it answers: queues take turns, and a round that begins in one
 * takes a fifth of the pool from it when it empties as many as it may.  An
 * instance that runs nothing is taken whenever the round's bound allows it:
 * within a turn of every queue nearly each has such a time.  One that works is
 * emptied only as far as the round would not be done in time otherwise.
 */
#include <math.h>

#include "batch_int.h"

/* To empty an instance and to have it back: a task of a second or two, two
 * seconds of upkeep on both sites, and two readings of the list. */
#define UPKEEP_CYCLE (4 * BASE_SEC)
/* Of the time left; the rest is for what cannot be emptied at once, and for a
 * takeover. */
#define UPKEEP_TIME_PART 0.7

int batch_upkeep_pace(const batch_upkeep_t *upkeep)
{
	double time = UPKEEP_TIME_PART * (double)upkeep->time;
	double pace = (double)upkeep->at_most;

	if (time > UPKEEP_CYCLE)
		pace = ceil(upkeep->left * (UPKEEP_CYCLE / time));
	return MIN((int)pace, upkeep->at_most);
}
