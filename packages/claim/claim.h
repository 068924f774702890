/*
 * claim - at-most-once execution of requests that are not repeatable.
 *
 * An id is a digest of a caller's name and its Idempotency-Key.  Ids are
 * partitioned into slices.  In each epoch (a version of the agreed list of
 * entries) two entries store a slice, its home and its backup.  The entry that
 * serves a request takes the claim at both before it writes the first byte to
 * an endpoint.  docs/design/claims.md explains the protocol.
 *
 * The package does no I/O: every "now" is in microseconds on the entry's own
 * monotonic clock, and the actions to perform are returned.  It is not
 * thread-safe; the entry serialises the calls.
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
