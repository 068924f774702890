/*
 * claim_greet - selects the peers (other entries) that are sent a hello.
 *
 * A hello is a message with the sender's epoch and state; its answer has those
 * of the receiver.  A hello goes to each peer that has not received this
 * entry's current state, and to each peer that has adopted an older epoch.  In
 * addition all peers are sent a hello in rotation at a low rate, in case a
 * message was lost.  While the store does not confirm the epoch, the rotation
 * covers a third of the peers a turn, at least CLAIM_GREET_FANOUT_MIN: the
 * answers of a majority then replace the confirmation by the store.
 */
#ifndef CLAIM_GREET_H
#define CLAIM_GREET_H

#include "base.h"

#define CLAIM_GREET_INTERVAL_US BASE_SEC     /* time between two turns */
#define CLAIM_GREET_IDLE_US (3 * BASE_SEC)   /* time between rotation hellos */
#define CLAIM_GREET_ROUND_US (15 * BASE_SEC) /* minimum for a full rotation */
/* Time without another hello to a peer that did not answer the last one. */
#define CLAIM_GREET_BACKOFF_US (3 * BASE_SEC)
/* Minimum hellos per turn while the store does not confirm the epoch. */
#define CLAIM_GREET_FANOUT_MIN 8

/* A peer: another entry. */
typedef struct claim_greet_peer {
	/* The peer has answered since membership last reported it lost. */
	bool known;
	/* Last state of this entry that the peer has received. */
	uint64_t received_state;
	uint64_t epoch; /* the epoch that the peer has adopted */
	/* When the last hello to the peer got no answer; 0 if answered. */
	int64_t unanswered_at;
} claim_greet_peer_t;

typedef struct claim_greeter {
	int64_t last_turn;   /* time of the last turn */
	int64_t last_idle;   /* time of the last hello of the rotation */
	uint64_t last_state; /* this entry's state at the last turn */
	size_t next;	     /* index of the next peer of the rotation */
} claim_greeter_t;

/* The state of this entry. */
typedef struct claim_greet_self {
	uint64_t state_word; /* claim_greet_pack_state() */
	uint64_t epoch;
	/* The store has not confirmed the epoch for some time. */
	bool store_unconfirmed;
} claim_greet_self_t;

/* The state that a hello carries, packed into a number that is never 0. */
uint64_t claim_greet_pack_state(uint64_t epoch, bool copying, bool leaving);

/* Set "due[i]" for each of "n" peers that must be sent a hello at "now". */
void claim_greet(claim_greeter_t *greeter, const claim_greet_self_t *self,
		 const claim_greet_peer_t *peers, size_t n, int64_t now,
		 bool *due);

#endif
