/*
 * claim_ticket - idempotency keys that the system issues.
 *
 * The format is "cf1.EPOCH.TIME.RANDOM.MAC": the epoch of the entry that issued
 * it, wall time in seconds, 64 random bits, and 64 bits of HMAC-SHA-256 with
 * the key that the entries share.  A ticket cannot have been used in an epoch
 * before its own, whatever the clocks say.  Who asks for a ticket is not
 * checked.
 */
#ifndef CLAIM_TICKET_H
#define CLAIM_TICKET_H

#include "base.h"

#define CLAIM_TICKET_SIZE 80 /* bytes, with the NUL */

typedef struct claim_ticket {
	uint64_t epoch;
	int64_t issued;	 /* wall clock, seconds */
	uint64_t random; /* from the issuer's generator */
} claim_ticket_t;

/* Print "ticket" into "text", with a MAC made with "key". */
void claim_ticket_print(const claim_ticket_t *ticket, base_str_t key,
			char text[CLAIM_TICKET_SIZE]);

/*
 * Whether "text" is a ticket with a valid MAC; sets "*ticket" if so.  Any other
 * text is a key that the caller chose itself.
 */
bool claim_ticket_parse(base_str_t text, base_str_t key,
			claim_ticket_t *ticket);

/*
 * Whether a claim may be taken for "ticket" at wall time "now_s" in seconds.  A
 * ticket expires half of "window_us" after its issue.  The record of its run is
 * kept for longer, so that a ticket never runs twice unless two wall clocks
 * differ by more than a quarter of the window.
 */
bool claim_ticket_usable(const claim_ticket_t *ticket, int64_t now_s,
			 int64_t window_us);

#endif
