/*
 * claim_propose - decides when the list of entries changes.
 */
#ifndef CLAIM_PROPOSE_H
#define CLAIM_PROPOSE_H

#include "claim_table.h"

#define CLAIM_VIEW_STABLE_US BASE_SEC /* minimum age of a proposed view */
/* Maximum wait until no entry grants takes in the previous epoch. */
#define CLAIM_SETTLE_US (15 * BASE_SEC)

typedef struct claim_view {
	claim_list_t live; /* entries that answer peers and do not leave */
	claim_list_t registered; /* entries with a valid lease in the store */
	claim_list_t left;	 /* entries that announced that they stop */
	int64_t since;		 /* when "live" last changed */
	bool copying;		 /* some entry is still copying slices */
	bool leaving; /* this entry is stopping and is not in "live" */
} claim_view_t;

/*
 * The epoch that should follow the table's, given "view", or NULL.  It takes
 * effect only if it is written to the store by compare-and-swap against the
 * table's epoch.  If the table has none, an epoch is proposed only if
 * "none_in_store" says that the store was read and has none.
 *
 * A list that removes both home and backup of a slice waits until the previous
 * epoch has settled, at most CLAIM_SETTLE_US, because otherwise the
 * slice is fenced for longer.
 *
 * While an entry still copies slices, a change waits for at most CLAIM_COPY_US,
 * since it might remove the only entry whose copy is complete.
 *
 * An entry that sees only a minority of the list as live removes no member that
 * is still registered in the store and did not announce that it stops.
 * Otherwise two sides of a partition that both reach the store would replace
 * each other's lists in turn.
 */
claim_epoch_t *claim_propose(const void *ctx, const claim_table_t *table,
			     const claim_view_t *view, bool none_in_store,
			     int64_t now);

#endif
