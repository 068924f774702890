/*
 * entry_claim - runs requests that are not repeatable at most once.
 *
 * Connects the decision core (claim.h) to a clock, a lock, the peer transport
 * and the store; see docs/design/claims.md.
 */
#ifndef ENTRY_CLAIM_H
#define ENTRY_CLAIM_H

#include "claim.h"
#include "entry_memb.h"

/* State of another entry that has sent or answered a hello. */
typedef struct entry_claim_peer {
	char *zone;
	uint64_t incarnation;
	uint64_t epoch; /* number of the epoch that the entry adopted */
	/*
	 * The entry's incarnation in the membership list when it last
	 * answered.
	 */
	uint64_t memb_incarnation;
	/*
	 * Value of claim_greet_pack_state() that the entry received last; 0:
	 * none.
	 */
	uint64_t delivered_state;
	/* Time of the last call if it was not answered, otherwise 0. */
	int64_t unanswered_call_at;
	/* Time of the last hello if it was not answered, otherwise 0. */
	int64_t unanswered_hello_at;
	bool leaving; /* the entry has begun a planned stop */
	bool copying; /* the entry still copies slices */
} entry_claim_peer_t;

typedef struct entry_claims {
	entry_daemon_t *daemon;
	pthread_mutex_t lock; /* protects the members up to "duty" */
	claim_table_t *table;
	GHashTable *peers;     /* entry id -> entry_claim_peer_t */
	base_rng_t rng;	       /* random numbers for tickets */
	uint64_t last_attempt; /* sequence number of the last attempt */
	uint64_t granted;
	/* Requests that were not run here, by outcome and by reason. */
	uint64_t outcome_counts[CLAIM_OUTCOME_MAX];
	uint64_t reason_counts[CLAIM_REASON_MAX];
	uint64_t takes;	 /* requests for a claim sent to other entries */
	uint64_t epochs; /* epochs adopted */
	bool copying;	 /* slices that this entry homes are not copied yet */
	unsigned retry_waiters; /* requests that wait to retry their takes */
	kern_thread_t *duty;	/* NULL unless the service runs */
	/*
	 * The lock does not protect the members from here on: they are
	 * constant, atomic or used only by the duty.
	 */
	/* Digest of this entry's id and incarnation. */
	uint64_t entry_digest;
	atomic_int handed_over; /* a planned stop need not wait for claims */
	/*
	 * Time of the last read of the epoch record; 0: read the record at the
	 * next tick.
	 */
	int64_t store_read_at;
	/* Time of the last attempt to write an epoch record to the store. */
	int64_t proposed_at;
	claim_greeter_t greeter;
	bool none_in_store; /* the store has no epoch record */
	/* Number of the epoch in the store; 0: not read. */
	uint64_t store_epoch;
	int64_t store_revision; /* mod_revision of the epoch record */
	/* List of live entries as text, to detect a change. */
	char *live_text;
	int64_t live_since; /* time of the last change of live_text */
	/* Slice at which the next search for a pull starts. */
	unsigned next_pull_slice;
} entry_claims_t;

/* The claim of one request. */
struct entry_claim {
	claim_holder_t holder;
	bool is_held; /* granted and not cancelled */
};

/* entry_claim_wire: converts between claim.h and the peer protocol */

void entry_claim_handle(entry_claims_t *claims, peer_t *peer);

/*
 * Take a claim at "target", which may be this entry.  A recorded answer in
 * "reply" is allocated below "ctx"; CLAIM_LOST means that no reply came.
 */
void entry_claim_take(entry_claims_t *claims, const void *ctx,
		      const claim_member_t *target, const claim_take_t *take,
		      claim_reply_t *reply);

/*
 * Report to the entry "target" that the claim of the attempt was released, or
 * that the request was answered.
 */
void entry_claim_end(entry_claims_t *claims, const claim_member_t *target,
		     const claim_finish_t *finish, bool answered);

/* Fetch one batch of a slice's claims from another entry and import it. */
void entry_claim_pull(entry_claims_t *claims, const claim_pull_t *pull);

/* Record whether a call to entry "id" was answered. */
void entry_claim_note_call(entry_claims_t *claims, const char *id,
			   bool answered);

/* The peer address of entry "id"; false if membership does not know it. */
bool entry_claim_find_address(entry_claims_t *claims, const char *id,
			      peer_addr_t *addr);

/* Adopt and log an epoch if it is newer.  The caller holds the lock. */
void entry_claim_adopt(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now);

/* entry_claim_hello: exchange of state between entries */

/* Another entry in the membership list. */
typedef struct entry_claim_present {
	const char *id;
	uint64_t incarnation; /* incarnation in the membership list */
	bool left;	      /* the entry has left in a planned stop */
} entry_claim_present_t;

/*
 * List the other entries that membership does not consider dead, including
 * those that have left.  "*present" is allocated below "ctx".
 */
size_t entry_claim_present(entry_claims_t *claims, const void *ctx,
			   entry_claim_present_t **present);

/* Send a hello to each entry that is due for one. */
void entry_claim_greet(entry_claims_t *claims, int64_t now);

/* Handler of PEER_CLAIM_HELLO. */
bool entry_claim_on_hello(void *arg, const peer_sender_t *from,
			  const void *args, void *res);

/* entry_claim_epoch: the epoch record in the store */

void entry_claim_epoch_tick(entry_claims_t *claims, int64_t now);

/* Make the duty tick at once.  The caller holds the lock. */
void entry_claim_wake(entry_claims_t *claims);

#endif
