/* memb_int - declarations shared by the files of this package. */
#ifndef MEMB_INT_H
#define MEMB_INT_H

#include <string.h>

#include "memb.h"

#define MEMB_MEMBERS_MAX 1024 /* maximum other entries known at once */
#define MEMB_PROBES_MAX 8     /* maximum unanswered probes */
#define MEMB_RELAYS_MAX 32 /* maximum unanswered indirect probes for others */
/*
 * An entry that leaves tells this many entries of its own zone, and as many of
 * all other zones together, in each of MEMB_LEAVE_PERIODS periods.
 */
#define MEMB_LEAVE_OWN_ZONE 16
#define MEMB_LEAVE_OTHER_ZONE 2 /* not used */
#define MEMB_LEAVE_PERIODS 3
#define MEMB_CONFIRM_PINGS 3 /* entries pinged in a period after a pause */
#define MEMB_CONFIRM_MIN 2   /* acks that confirm an entry after a pause */

typedef struct memb_member {
	memb_record_t rec;
	/* Start of rec.state; a pause of this process extends a suspicion. */
	int64_t state_since_us;
	/* Latest incarnation of the member that this entry declared dead. */
	uint64_t dead_incarnation;
	/* Number of messages that this record must still be sent in. */
	uint32_t transmits_left;
} memb_member_t;

typedef struct memb_probe {
	char id[MEMB_NAME_MAX + 1]; /* the probed entry; empty: slot is free */
	uint32_t seq;
	bool indirect; /* indirect probes of the entry were requested */
	int64_t deadline_us;
} memb_probe_t;

typedef struct memb_relay {
	uint32_t seq;		/* seq of the ping sent; 0: slot is free */
	uint32_t requester_seq; /* seq of the request */
	memb_addr_t addr;	/* address of the requester */
	char zone[MEMB_NAME_MAX + 1]; /* zone of the requester */
} memb_relay_t;

struct memb {
	memb_limits_t limits;
	memb_ops_t ops;
	void *arg;
	base_rng_t rng;
	memb_record_t self;
	uint64_t digest;    /* digest of the configuration in force */
	GPtrArray *members; /* memb_member_t of the other entries */
	GHashTable *by_id;  /* the same members, by entry id */
	memb_addr_t seeds[MEMB_SEEDS_MAX];
	size_t seeds_n;
	size_t seeds_next;

	memb_probe_t probes[MEMB_PROBES_MAX];
	memb_relay_t relays[MEMB_RELAYS_MAX];
	uint32_t relays_next;
	uint32_t seq;
	int64_t last_tick_us; /* 0: no tick yet */
	int64_t next_period_us;
	uint32_t periods;
	uint32_t own_zone_next; /* member from which the next own-zone probe is
				   sought */
	uint32_t rotation_next; /* next record to send in rotation */

	uint64_t first_incarnation;	/* incarnation at process start */
	uint64_t self_dead_incarnation; /* latest one declared dead by others */
	bool pages_complete; /* all pages of a peer's view were fetched */
	bool unconfirmed;    /* paused, and not confirmed since then */
	int64_t unconfirmed_since_us;
	/* Acks of pings with a lower seq do not confirm this entry. */
	uint32_t confirm_min_seq;
	char confirmed_by[MEMB_CONFIRM_MIN][MEMB_NAME_MAX + 1]; /* entry ids */
	uint32_t confirmed_n;
	/* Periods in which this entry must still announce that it leaves. */
	uint32_t leave_periods;

	uint64_t pull_generation; /* generation being pulled; 0: none */
	int64_t pull_deadline_us;
	bool announce_again; /* announce the configuration at the next tick */
	uint64_t reported_conflict; /* last generation reported in conflict */
	bool is_watcher;
};

/* memb_table: the table of members */

memb_member_t *memb_lookup(const memb_t *memb, const char *id);
memb_member_t *memb_add(memb_t *memb, const memb_record_t *rec, int64_t now);

/* Remove the members that have been dead or left for dead_keep_us. */
void memb_forget_old(memb_t *memb, int64_t now);

bool memb_same_zone(const memb_t *memb, const memb_member_t *member);
bool memb_present(const memb_member_t *member); /* alive or suspect */
size_t memb_present_count(const memb_t *memb);

/* Which members a sample is drawn from. */
typedef enum memb_filter {
	MEMB_FILTER_OWN_ZONE,	 /* present, own zone */
	MEMB_FILTER_OTHER_ZONES, /* present, other zones */
	MEMB_FILTER_PRESENT,	 /* present */
	MEMB_FILTER_DEAD,
	MEMB_FILTER_MAX
} memb_filter_t;

/*
 * Draw up to "n" distinct members at random, never the one with id "exclude_id"
 * (may be NULL).
 */
size_t memb_sample(memb_t *memb, memb_filter_t filter, const char *exclude_id,
		   memb_member_t **sample, size_t n);

/* memb_merge: precedence of records */

/* Whether "rec" is well-formed. */
bool memb_record_ok(const memb_record_t *rec);

/* Merge a record received from another entry. */
void memb_merge(memb_t *memb, const memb_record_t *rec, int64_t now);

/* Another entry declared our "incarnation" dead. */
void memb_self_declared_dead(memb_t *memb, uint64_t incarnation);

/* Change a member's state: restart its timer and raise the event. */
void memb_set_state(memb_t *memb, memb_member_t *member, memb_state_t state,
		    int64_t now);

/* memb_tell: building and sending messages */

/*
 * Fill in "msg" with this entry's record, the record of "about" unless "about"
 * is alive, the latest incarnation of "about" that this entry declared dead,
 * and recently changed records. "about" is the receiver, or the target in a
 * MEMB_PING_REQ; NULL if not known.
 */
void memb_fill(memb_t *memb, memb_msg_t *msg, memb_kind_t kind,
	       const memb_member_t *about);
void memb_send(memb_t *memb, memb_addr_t to, const char *zone,
	       const memb_msg_t *msg);
void memb_ping(memb_t *memb, const memb_member_t *member, uint32_t seq);

/* Send a MEMB_GOSSIP to up to "n" members drawn at random. */
void memb_send_gossip(memb_t *memb, memb_filter_t filter, size_t n);

/* Number of messages in which one entry sends on a changed record. */
uint32_t memb_transmit_limit(const memb_t *memb);

/* memb_probe: probes, suspicion, process pauses */

void memb_probe_acked(memb_t *memb, const memb_msg_t *msg, int64_t now);
void memb_check_confirmed(memb_t *memb);

/* Detect a pause of this process. Must run before anything else in a call. */
void memb_check_pause(memb_t *memb, int64_t now);

/* memb_spread: the configuration */

/* Announce to a few entries that a newer configuration is in force here. */
void memb_announce_config(memb_t *memb);

/* Pull the configuration of the sender of "msg" if it is newer than ours. */
void memb_check_config(memb_t *memb, const memb_msg_t *msg, int64_t now);

/* memb_watch: who watches the store */

void memb_watch_choose(memb_t *memb);

void memb_raise(memb_t *memb, memb_event_t event, const memb_record_t *rec);

#endif
