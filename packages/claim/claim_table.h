/*
 * claim_table - the claim records that an entry stores as home or backup.
 *
 * Two bounds per slice limit what the table may be missing: every take that
 * home and backup both granted and that has no record here was made in an epoch
 * up to "lost_epoch" and before the time "complete_from".  An id without a
 * record is known to be new when the window has passed since complete_from
 * (until then the slice is fenced) or, if its key is a ticket, when the
 * ticket's epoch is later than lost_epoch.
 */
#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include "base.h"
#include "claim_epoch.h"
#include "claim_id.h"

#define CLAIM_ANSWER_MAX 4096 /* longest recorded answer, in bytes */
/* A copy of a slice that takes longer than this counts as failed. */
#define CLAIM_COPY_US (10 * BASE_SEC)

typedef struct claim_limits {
	int64_t window_us;	 /* an id runs at most once in this time */
	int64_t confirm_ttl_us;	 /* validity of a confirmation of the epoch */
	int64_t store_outage_us; /* takes are granted at most this long after
				    the store last confirmed the epoch */
	int64_t round_us; /* longest time for the takes at home and backup */
	int64_t lag_us; /* longest time from a request's arrival to its claim */
	int64_t tombstone_us; /* how long the record of a release is kept */
	uint32_t max_records;
	size_t answer_bytes; /* maximum bytes of recorded answers, in total */
} claim_limits_t;

/* In order: 600 s, 10 s, 3,600 s, 2 s, 30 s, 60 s, 262,144 records, 4 MiB. */
extern const claim_limits_t claim_limits_default;

typedef struct claim_table claim_table_t;

typedef struct claim_table_opts {
	const char *entry;
	uint64_t incarnation;
	claim_limits_t limits;
} claim_table_opts_t;

/* Return a new table, allocated below "ctx", that is in no epoch. */
claim_table_t *claim_table_new(const void *ctx, const claim_table_opts_t *opts);

/*
 * Adopt "epoch" if it is newer than the table's; takes of older epochs are
 * refused from then on.  "confirmed_at" is when the store was asked for the
 * epoch, or 0 if a peer sent the epoch.  Returns whether "epoch" was adopted.
 */
bool claim_table_adopt(claim_table_t *table, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now);

/* Note that the store, asked at "asked_at", returned epoch "number". */
void claim_table_confirm(claim_table_t *table, uint64_t number,
			 int64_t asked_at);

/* The state of an entry, as in its answer to a hello. */
typedef struct claim_contact {
	const char *entry;
	uint64_t incarnation;
	uint64_t epoch;	       /* the epoch that the entry has adopted */
	int64_t confirmed_age; /* since the last confirmation; -1 if none */
	int64_t asked_at; /* when the entry was asked, on the asker's clock; 0
			     if unknown */
} claim_contact_t;

/* Note the state of a peer. */
void claim_table_contact(claim_table_t *table, const claim_contact_t *contact,
			 int64_t now);

/* The state to send to a peer.  "entry" is owned by the table. */
claim_contact_t claim_table_hello(const claim_table_t *table, int64_t now);

/* Whether the epoch is confirmed well enough to grant takes at "now". */
bool claim_table_may_grant(const claim_table_t *table, int64_t now);

/* The adopted epoch, or NULL.  Valid until the next one is adopted. */
const claim_epoch_t *claim_table_epoch(const claim_table_t *table);

/* The highest epoch in which no entry grants takes any more. */
uint64_t claim_table_settled(const claim_table_t *table, int64_t now);

/* When the epoch was adopted. */
int64_t claim_table_adopted_at(const claim_table_t *table);

typedef enum claim_verdict {
	CLAIM_GRANTED,
	CLAIM_HELD,	/* another attempt holds the claim */
	CLAIM_ANSWERED, /* the id ran; with the answer if that was kept */
	CLAIM_NONE,	/* only looked up, and the id has no record */
	CLAIM_FULL,	/* the id has no record, and there is no room for one */
	CLAIM_MISMATCH, /* the key was used for another request */
	CLAIM_RELEASED, /* this attempt was released before */
	CLAIM_SEALED,	/* a later epoch was adopted here */
	CLAIM_BEHIND, /* the take's or its ticket's epoch is not adopted here */
	CLAIM_NOT_HERE, /* this entry is neither home nor backup of the slice */
	CLAIM_UNSURE,	/* the epoch's last confirmation is too old */
	CLAIM_LOST,	/* no reply; set by the sender of the take */
	CLAIM_VERDICT_MAX
} claim_verdict_t;

/* The verdict's name, such as "granted". */
const char *claim_verdict_name(claim_verdict_t verdict);

typedef struct claim_take {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint; /* claim_fingerprint() of the request */
	uint64_t caller;      /* digest of the caller's name */
	uint64_t epoch;
	uint64_t ticket;  /* the ticket's epoch; 0 for a caller's own key */
	bool lookup_only; /* only look the id up */
} claim_take_t;

typedef struct claim_reply {
	claim_verdict_t verdict;
	bool fresh;	   /* no record of a run of the id is missing */
	bool copy_pending; /* not fresh yet: the slice is being copied */
	uint64_t epoch;	   /* the epoch that the table has adopted */
	base_str_t answer; /* "ptr" is NULL if no answer was kept; valid until
			      the next call on the table */
} claim_reply_t;

/* Take the claim, or look it up, and set "reply". */
void claim_table_take(claim_table_t *table, const claim_take_t *take,
		      int64_t now, claim_reply_t *reply);

/*
 * Note that "attempt" has written no byte and never will, so that the id may
 * be taken again.  Does nothing if another attempt is recorded.  A take that
 * arrives within tombstone_us after its release is refused.
 */
void claim_table_release(claim_table_t *table, claim_id_t id,
			 claim_attempt_t attempt, int64_t now);

typedef struct claim_finish {
	claim_id_t id;
	claim_attempt_t attempt;
	uint64_t fingerprint;
	uint64_t caller;
	base_str_t answer; /* kept if at most CLAIM_ANSWER_MAX bytes */
} claim_finish_t;

/* Note that "attempt" ran and was answered. */
void claim_table_finish(claim_table_t *table, const claim_finish_t *finish,
			int64_t now);

/*
 * Remove the records that are older than the window.  claim_table_take()
 * does so, too.
 */
void claim_table_expire(claim_table_t *table, int64_t now);

typedef struct claim_stats {
	uint32_t records;
	size_t bytes;	     /* memory of records, index and answers */
	size_t answer_bytes; /* the part of "bytes" that answers use */
	unsigned homed;	     /* slices with the entry as home or backup */
	unsigned fenced;     /* slices of "homed" that may lack records */
} claim_stats_t;

claim_stats_t claim_table_stats(const claim_table_t *table, int64_t now);

/*
 * Number of slices that the table must still copy to know which ids are new.
 * It is 0 from CLAIM_COPY_US after the epoch was adopted: slices that were not
 * copied by then stay fenced.
 */
unsigned claim_table_uncopied_slices(const claim_table_t *table, int64_t now);

#endif
