/*
 * claim_ticket - keys that the system issues.
 *
 * "cf1.EPOCH.TIME.RANDOM.MAC": the epoch of the entry that issued it, wall
 * time in seconds, 64 random bits, and 64 bits of HMAC-SHA-256 with the key
 * that the entries share.  A ticket of an epoch cannot have been used in an
 * earlier one, whatever any clock says.  Who may ask for one is not checked.
 */
#ifndef CLAIM_TICKET_H
#define CLAIM_TICKET_H

#include "base.h"

#define CLAIM_TICKET_SIZE 80 /* bytes, with the NUL */

typedef struct claim_ticket {
	uint64_t epoch;
	int64_t issued;	 /* wall clock, seconds */
	uint64_t random; /* the next of the issuer's generator */
} claim_ticket_t;

/* Print "ticket" with the MAC of "key" into "text". */
void claim_ticket_print(const claim_ticket_t *ticket, base_str_t key,
			char text[CLAIM_TICKET_SIZE]);

/*
 * Whether "text" is a ticket with the MAC of "key"; sets "*ticket" if so.
 * What is not is a key of the caller's own making.
 */
bool claim_ticket_parse(base_str_t text, base_str_t key,
			claim_ticket_t *ticket);

/*
 * Whether a claim may be taken for "ticket" at wall time "now_s" seconds.  It
 * may until half of "window_us" past its issue: a run's record
 * outlives that, so that a ticket runs once for good unless two wall clocks
 * differ by more than a quarter of the window.
 */
bool claim_ticket_usable(const claim_ticket_t *ticket, int64_t now_s,
			 int64_t window_us);

#endif
