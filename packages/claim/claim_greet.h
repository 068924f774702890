/*
 * claim_greet - whom an entry says hello to.
 *
 * A hello is said to who has not been told how things stand here, and to who
 * lags behind.  Beside that one goes to another entry in turn, seldom, in case
 * that something was lost; while the store gives no word, to many, whose word
 * then stands in for it.
 */
#ifndef CLAIM_GREET_H
#define CLAIM_GREET_H

#include "base.h"

#define CLAIM_GREET_US BASE_SEC		     /* between two turns */
#define CLAIM_GREET_IDLE_US (3 * BASE_SEC)   /* between two without a need */
#define CLAIM_GREET_ROUND_US (15 * BASE_SEC) /* or longer for all of few */
#define CLAIM_GREET_LOST_US (3 * BASE_SEC)   /* who gave no answer has rest */
#define CLAIM_GREET_DOUBT 8		     /* a turn, and a third of all */

/* Another entry. */
typedef struct claim_greet_peer {
	bool known;	/* it has answered since membership last lost it */
	uint64_t told;	/* the word of this entry that it has heard */
	uint64_t epoch; /* that it has adopted */
	int64_t lost;	/* when it gave no answer, 0 if it did */
} claim_greet_peer_t;

typedef struct claim_greeter {
	int64_t said; /* the last turn */
	int64_t idle; /* and the last hello without a need */
	uint64_t word;
	size_t next;
} claim_greeter_t;

/* How things stand at this entry. */
typedef struct claim_greet_self {
	uint64_t word; /* claim_greet_word() */
	uint64_t epoch;
	bool doubt; /* for some time the store has given no word */
} claim_greet_self_t;

/* What others are told of an entry, as one number that is never 0. */
uint64_t claim_greet_word(uint64_t epoch, bool copying, bool leaving);

/* Set "due" of each of "n" peers that is to be greeted at "now". */
void claim_greet(claim_greeter_t *greeter, const claim_greet_self_t *self,
		 const claim_greet_peer_t *peers, size_t n, int64_t now,
		 bool *due);

#endif
