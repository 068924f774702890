/*
 * memb - membership of the entries and spread of the configuration.
 *
 * A memb_t holds one entry's view of all entries and runs its part of a gossip
 * protocol with failure detection. In each period it probes one entry of its
 * own availability zone and, now and then, one of another zone. Membership
 * updates travel on these probes. An entry that answers neither a direct probe
 * nor one through other entries becomes suspect, and is declared dead unless it
 * refutes the suspicion in time. The number of messages that an entry sends in
 * a period does not depend on the number of entries
 * (docs/design/membership.md).
 *
 * Terms of the protocol:
 *
 * - Gossip: changed records of entries are sent on to other entries, a few
 *   with each message, until all entries have them.
 * - Incarnation: a number that an entry raises at each start and to refute a
 *   record that does not show it alive. Of two records of one entry the one of
 *   the later incarnation counts.
 * - Suspicion: the state of an entry that is reported not to answer. It
 *   ends when the entry refutes it by a later incarnation, or after suspect_us,
 *   when the entry is declared dead.
 * - Confirmed: an entry that was paused is unconfirmed until enough other
 *   entries have answered it; see memb_is_confirmed().
 *
 * A configuration is identified by its generation and digest. An entry that
 * learns of a newer one pulls it from the sender and announces it to a few
 * others. The generation of an entry never decreases
 * (docs/design/config-spread.md).
 *
 * The package has no clock, randomness or I/O of its own: time in microseconds
 * and the random seed are arguments, and effects are calls through memb_ops_t,
 * made within the functions below. The functions of that table must not call
 * back into the package. Not thread-safe: the owner serialises the calls.
 */
#ifndef MEMB_H
#define MEMB_H

#include "base.h"

#define MEMB_NAME_MAX 64    /* maximum bytes of an entry's id or zone */
#define MEMB_UPDATES_MAX 12 /* maximum records in one message */

typedef struct memb_addr {
	uint32_t ip; /* IPv4, host order */
	uint16_t port;
} memb_addr_t;

/* Ordered by precedence: for one incarnation the higher state wins. */
typedef enum memb_state {
	MEMB_ALIVE,
	MEMB_SUSPECT, /* does not answer */
	MEMB_DEAD,    /* did not refute the suspicion in time */
	MEMB_LEFT,    /* announced that it leaves */
	MEMB_STATE_MAX
} memb_state_t;

/* The state of one entry as reported in messages. */
typedef struct memb_record {
	char id[MEMB_NAME_MAX + 1];
	char zone[MEMB_NAME_MAX + 1];
	memb_addr_t addr;
	memb_state_t state;
	uint64_t incarnation; /* raised by the entry to refute a suspicion */
	uint32_t revision; /* version of this record within its incarnation */
	/* Generation of the entry's configuration; 0: it has none. */
	uint64_t generation;
	/* Wall clock when that generation took effect, in microseconds. */
	int64_t in_force_wall_us;
	uint64_t epoch; /* the claim epoch that the entry has adopted */
	bool sealed;	/* the entry no longer serves claims of "epoch" */
} memb_record_t;

typedef enum memb_kind {
	MEMB_PING,     /* probe: asks for an ack */
	MEMB_ACK,      /* answer to a ping */
	MEMB_PING_REQ, /* asks the receiver to probe "target" */
	MEMB_GOSSIP,   /* carries updates; needs no answer */
	MEMB_PAGE_GET, /* asks for the receiver's records from "cursor" on */
	MEMB_PAGE, /* answer: records and the next "cursor", 0 on the last */
	MEMB_KIND_MAX
} memb_kind_t;

typedef struct memb_msg {
	memb_kind_t kind;
	uint32_t seq; /* number of the probe; an ack repeats it */
	/* Start of a page of records; in an ack MEMB_ACK_UNCONFIRMED or 0. */
	uint32_t cursor;
	uint64_t digest; /* digest of the sender's configuration */
	/*
	 * The latest incarnation of the receiver that the sender declared
	 * dead, 0: none.
	 */
	uint64_t receiver_dead_incarnation;
	char target[MEMB_NAME_MAX + 1];
	memb_addr_t target_addr;
	uint32_t n; /* number of updates, at least 1 */
	memb_record_t updates[MEMB_UPDATES_MAX]; /* the sender's record first */
} memb_msg_t;

/* "cursor" of an ack whose sender was paused and is not yet confirmed. */
#define MEMB_ACK_UNCONFIRMED 1

typedef enum memb_event {
	MEMB_JOINED,		 /* a new entry, or one that has come back */
	MEMB_SUSPECTED,		 /* an entry does not answer */
	MEMB_REFUTED,		 /* a suspect has refuted the suspicion */
	MEMB_DIED,		 /* an entry was declared dead */
	MEMB_LEFT_AS_PLANNED,	 /* an entry announced that it leaves */
	MEMB_SELF_DECLARED_DEAD, /* this entry refuted its death */
	MEMB_UNCONFIRMED, /* this entry was paused; see memb_is_confirmed() */
	MEMB_CONFIRMED,	  /* this entry was confirmed after a pause */
	/*
	 * An entry has a configuration of the same generation as this entry but
	 * with other content; that configuration is not pulled.
	 */
	MEMB_CONFIG_CONFLICT,
	MEMB_ID_CONFLICT, /* another process uses this entry's id */
	MEMB_WATCH_BEGIN, /* this entry must watch the store's configuration */
	MEMB_WATCH_END,	  /* this entry need not watch the store any more */
	MEMB_EVENT_MAX
} memb_event_t;

/* The name for logs and metrics: "joined", "died" and so on. */
const char *memb_event_name(memb_event_t event);
const char *memb_state_name(memb_state_t state);

typedef struct memb_ops {
	/*
	 * Send "msg"; it may be lost. "zone" is the receiver's, empty if
	 * unknown.
	 */
	void (*send)(void *arg, memb_addr_t to, const char *zone,
		     const memb_msg_t *msg);
	/*
	 * Fetch "generation" from "from", check its digest, put it in force and
	 * report that with memb_set_config(), or a failure with
	 * memb_pull_failed().
	 */
	void (*pull)(void *arg, const memb_record_t *from, uint64_t generation,
		     uint64_t digest);
	/* "rec" is the record of the entry that the event is about. */
	void (*event)(void *arg, memb_event_t event, const memb_record_t *rec);
} memb_ops_t;

/* A member that is zero gets the default that its comment gives last. */
typedef struct memb_limits {
	int64_t period_us;  /* time between two probes; 1 s */
	int64_t ack_us;	    /* wait for a direct ack; 300 ms */
	int64_t suspect_us; /* time from suspicion to declaring dead; 4 s */
	int64_t pause_us;   /* gap between ticks taken as a pause; 2 s */
	/* Time until a dead or left entry is dropped; 1 h. */
	int64_t dead_keep_us;
	int64_t pull_us; /* time until a pull may be repeated; 1 s */
	/* Mean number of periods between two probes of other zones; 4. */
	uint32_t cross_zone_every;
	uint32_t indirect_probers; /* entries asked for an indirect probe; 3 */
	/* Entries of the own zone told of a new configuration; 3. */
	uint32_t fanout_own_zone;
	/*
	 * Entries of all other zones together told of a new configuration; 1.
	 */
	uint32_t fanout_other_zones;
	uint32_t piggyback_max; /* maximum changed records in a message; 6 */
	uint32_t watchers; /* entries of each zone that watch the store; 2 */
} memb_limits_t;

typedef struct memb_opts {
	const char *id;
	const char *zone;
	memb_addr_t addr;
	uint64_t
		incarnation; /* grows with each start; the wall clock will do */
	uint64_t seed;
	memb_limits_t limits;
	memb_ops_t ops;
	void *arg; /* first argument of the functions in "ops" */
} memb_opts_t;

typedef struct memb memb_t;

/* Allocate a view below "ctx" that knows of this entry alone. */
memb_t *memb_new(const void *ctx, const memb_opts_t *opts);

/*
 * Add an address at which an entry may be found; the latest MEMB_SEEDS_MAX are
 * kept.
 */
#define MEMB_SEEDS_MAX 64
void memb_add_seed(memb_t *memb, memb_addr_t addr);

/* Run the timers. Call this at least every ack_us / 3. */
void memb_tick(memb_t *memb, int64_t now);

/* Process a message; false and no effect if it is malformed. */
bool memb_receive(memb_t *memb, int64_t now, const memb_msg_t *msg);

/*
 * Set the configuration that is in force at this entry. Returns false and has
 * no effect unless "generation" is newer than all earlier ones. "wall" is the
 * wall clock in microseconds.
 */
bool memb_set_config(memb_t *memb, int64_t now, uint64_t generation,
		     uint64_t digest, int64_t wall);

/* Report that a pull requested through the ops has failed. */
void memb_pull_failed(memb_t *memb, int64_t now);

uint64_t memb_generation(const memb_t *memb);

/* Set the claim epoch and its state that this entry announces. */
void memb_claims(memb_t *memb, int64_t now, uint64_t epoch, bool sealed);

/* Announce that this entry leaves; cannot be undone. */
void memb_leave(memb_t *memb, int64_t now);

/*
 * Whether this entry is confirmed and may act on its view: memb_tick() was
 * called in time and, after a pause of this process, other entries have
 * answered, so that this entry knows whether they had declared it dead. Call
 * this just before an action that an entry declared dead must not take.
 */
bool memb_is_confirmed(const memb_t *memb, int64_t now);

/* All entries known here, this entry included, in no order. */
size_t memb_count(const memb_t *memb);
const memb_record_t *memb_at(const memb_t *memb, size_t i); /* 0: this entry */
const memb_record_t *memb_find(const memb_t *memb, const char *id);

/* Whether this entry watches the store's configuration. */
bool memb_is_watcher(const memb_t *memb);

#endif
