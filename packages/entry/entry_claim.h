/*
 * entry_claim - requests that are not repeatable run at most once.
 *
 * Drives the decisions of claim.h with a clock, a lock, the peers' transport
 * and the store; docs/design/claims.md.
 */
#ifndef ENTRY_CLAIM_H
#define ENTRY_CLAIM_H

#include "claim.h"
#include "entry_memb.h"

/* An entry that answered us. */
typedef struct entry_claim_peer {
	char *zone;
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t memb_incarnation; /* when it answered last */
	uint64_t told;		   /* claim_greet_word() that it heard last */
	int64_t lost;		   /* a call got no answer */
	int64_t hello_lost;	   /* a hello got none */
	bool leaving;
	bool copying;
} entry_claim_peer_t;

typedef struct entry_claims {
	entry_daemon_t *daemon;
	pthread_mutex_t lock; /* of what follows */
	claim_table_t *table;
	GHashTable *peers; /* id -> entry_claim_peer_t */
	base_rng_t rng;	   /* of tickets */
	uint64_t attempts;
	uint64_t granted;
	uint64_t told[CLAIM_TELL_MAX];
	uint64_t reasons[CLAIM_WHY_MAX];
	uint64_t takes; /* sent to other entries */
	uint64_t epochs;
	bool copying;	   /* slices that it homes */
	unsigned waiting;  /* requests between two rounds */
	kern_duty_t *duty; /* NULL while there is none */
	/* Not under the lock. */
	uint64_t entry;		/* digest of this incarnation */
	atomic_int handed_over; /* a stop need not wait any more */
	int64_t store_asked;
	int64_t proposed;
	claim_greeter_t greeter;
	bool none_in_store;
	uint64_t store_number;	/* the epoch in the store ... */
	int64_t store_revision; /* ... and the key's revision */
	char *live;		/* who was live, and since when */
	int64_t live_since;
	unsigned pull_from;
} entry_claims_t;

/* A claim that one request holds. */
struct entry_claim {
	claim_holder_t holder;
	bool stands;
};

/* entry_claim_wire: between claim.h and the peers' messages */

void entry_claim_handle(entry_claims_t *claims, peer_t *peer);

/* Take at "target", which may be this entry; answers go below "ctx". */
void entry_claim_take(entry_claims_t *claims, const void *ctx,
		      const claim_member_t *target, const claim_take_t *take,
		      claim_reply_t *reply);

/* Tell "target" that the attempt was released, or answered. */
void entry_claim_end(entry_claims_t *claims, const claim_member_t *target,
		     const claim_finish_t *finish, bool answered);

void entry_claim_pull(entry_claims_t *claims, const claim_pull_t *pull);

/* Note whether a call to "id" was answered. */
void entry_claim_note_call(entry_claims_t *claims, const char *id,
			   bool answered);

/* Where entry "id" is; false if membership knows of none. */
bool entry_claim_find(entry_claims_t *claims, const char *id,
		      peer_addr_t *addr);

/* Under the lock: adopt an epoch and say so. */
void entry_claim_adopt(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now);

/* entry_claim_hello: what entries tell each other of themselves */

/* An entry as membership sees it. */
typedef struct entry_claim_present {
	const char *id;
	uint64_t incarnation; /* membership's own */
	bool left;
} entry_claim_present_t;

/* The others that membership holds for alive, or that just leave. */
size_t entry_claim_present(entry_claims_t *claims, const void *ctx,
			   entry_claim_present_t **present);

/* Say hello to those whose turn it is. */
void entry_claim_greet(entry_claims_t *claims, int64_t now);

/* The handler of PEER_CLAIM_HELLO. */
bool entry_claim_on_hello(void *arg, const peer_from_t *from, const void *args,
			  void *res);

/* entry_claim_epoch: the record in the store */

void entry_claim_epoch_tick(entry_claims_t *claims, int64_t now);

/* Have a tick at once; under the lock. */
void entry_claim_wake(entry_claims_t *claims);

#endif
