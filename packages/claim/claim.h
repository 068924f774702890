/*
 * claim - decisions: a request that is not repeatable runs at most once.
 *
 * An id is a caller's name and its Idempotency-Key.  Ids fall into slices; in
 * each epoch (the agreed list of entries) a slice has a home and a backup.
 * The entry that holds a caller's request takes the claim at both before the
 * first byte goes to an endpoint.  docs/design/claims.md has the reasoning.
 *
 * Pure: "now" is microseconds on the entry's own monotonic clock, effects are
 * returned.  Not thread-safe: the entry serialises.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "base.h"
#include "claim_id.h"
#include "claim_ticket.h"
#include "claim_epoch.h"
#include "claim_table.h"
#include "claim_sync.h"
#include "claim_holder.h"
#include "claim_propose.h"
#include "claim_greet.h"

#endif
