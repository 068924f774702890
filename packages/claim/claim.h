/*
 * claim - at-most-once execution of requests that are not repeatable.
 *
 * An id is a digest of a caller's name and its Idempotency-Key.  Ids are
 * partitioned into slices.  docs/design/claims.md explains the protocol.  Its
 * terms are:
 *
 * - Epoch: a version of the agreed list of entries, and its number.
 * - Home, backup: the two entries that store the claim records of a slice in
 *   an epoch.  A list of one entry has no backup.
 * - Take: a message that asks the home or the backup to record the claim on
 *   an id for one attempt to run it, or only to look the id up.  The entry
 *   that serves a request takes the claim at both before it writes the first
 *   byte to an endpoint.
 * - Release: a message by which the entry that sent the takes gives the claim
 *   up because its attempt did not run.  The id may then be taken again.
 * - Fence: the time in which a home or backup may lack records of a slice.
 *   An id without a record may then have run before.  It is known to be new
 *   only if its key is a ticket of a later epoch than those records.
 * - Confirmed: an epoch that the store returned as the current one, to this
 *   entry or to a peer that says so, at most confirm_ttl_us ago.  For up to
 *   store_outage_us after the store last did so, it is enough that a majority
 *   of the entries replied within confirm_ttl_us that they are in the epoch.
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
