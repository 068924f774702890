/*
 * claim_propose - when the list of entries changes.
 */
#ifndef CLAIM_PROPOSE_H
#define CLAIM_PROPOSE_H

#include "claim_table.h"

#define CLAIM_VIEW_STABLE_US BASE_SEC	/* a view lasts before it is proposed */
#define CLAIM_SETTLE_US (15 * BASE_SEC) /* a loss of both waits for it */

typedef struct claim_view {
	claim_list_t live;	 /* answers peers, and does not leave */
	claim_list_t registered; /* has a live lease in the store */
	claim_list_t left;	 /* says itself that it stops */
	int64_t since;		 /* when "live" last changed */
	bool copying;		 /* an entry still copies slices */
	bool leaving;		 /* this entry stops, and is not in "live" */
} claim_view_t;

/*
 * The epoch that should follow the table's under "view", or NULL.  The store
 * decides: it is written only by compare-and-swap against the table's.  With
 * no epoch at all, "none_in_store" says that the store was read and has none.
 *
 * A list that takes both home and backup of a slice away waits until the
 * epoch before has settled, since only then the fence is short.
 *
 * While an entry still copies slices a change waits, at most CLAIM_COPY_US: the
 * next one might take away the only copy that vouches.
 *
 * A side that sees but a minority of the list takes none out that the store
 * still has and that did not say that it stops: two sides that both reach the
 * store would take turns.
 */
claim_epoch_t *claim_propose(const void *ctx, const claim_table_t *table,
			     const claim_view_t *view, bool none_in_store,
			     int64_t now);

#endif
