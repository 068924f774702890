/*
 * memb - membership of the entries and spread of the configuration.
 *
 * A memb_t is one entry's opinion of all entries, and the part that it takes
 * in keeping the others' opinions right.  Each period it probes one entry of
 * its own availability zone and now and then one of another; what it learns
 * travels on these probes.  An entry that does not answer, directly or
 * through others, is suspected, and given up when it does not refute that in
 * time.  The number of messages that an entry sends in a period does not
 * depend on the number of entries (docs/design/membership.md).
 *
 * The configuration is known by generation and digest.  Whoever hears of a
 * newer one pulls it from the one that told, and tells a few others; the
 * generation of an entry never goes back (docs/design/config-spread.md).
 *
 * Pure: time in microseconds and the seed are arguments; effects are calls
 * through memb_ops_t, made from within the functions here.  The functions of
 * that table must not call back.  Not thread-safe: the owner serialises.
 */
#ifndef MEMB_H
#define MEMB_H

#include "base.h"

#define MEMB_NAME_MAX 64    /* bytes of an id or a zone */
#define MEMB_UPDATES_MAX 12 /* records in one message */

typedef struct memb_addr {
	uint32_t ip; /* IPv4, host order */
	uint16_t port;
} memb_addr_t;

/* Of two states of one incarnation the later one counts. */
typedef enum memb_state {
	MEMB_ALIVE,
	MEMB_SUSPECT, /* does not answer */
	MEMB_DEAD,    /* given up */
	MEMB_LEFT,    /* said that it leaves */
	MEMB_STATE_MAX
} memb_state_t;

/* What is said of one entry. */
typedef struct memb_record {
	char id[MEMB_NAME_MAX + 1];
	char zone[MEMB_NAME_MAX + 1];
	memb_addr_t addr;
	memb_state_t state;
	uint64_t incarnation; /* raised by the entry itself, to refute */
	uint32_t revision;    /* of what follows, within the incarnation */
	uint64_t generation;  /* of its configuration in force, 0: none */
	int64_t in_force;     /* wall clock when that was so, microseconds */
	uint64_t epoch;	      /* of the claims */
	bool sealed;	      /* serves no claims of that epoch any more */
} memb_record_t;

typedef enum memb_kind {
	MEMB_PING,     /* answer me */
	MEMB_ACK,      /* the answer */
	MEMB_PING_FOR, /* probe "target" for me */
	MEMB_NEWS,     /* nothing but what it carries */
	MEMB_PAGE_GET, /* send me the records from "cursor" on */
	MEMB_PAGE,     /* "cursor": where the next begins, 0: that was all */
	MEMB_KIND_MAX
} memb_kind_t;

typedef struct memb_msg {
	memb_kind_t kind;
	uint32_t seq;	 /* of the probe */
	uint32_t cursor; /* of a page; of an ack: MEMB_ACK_UNSURE */
	uint64_t digest; /* of the sender's configuration */
	/* The latest incarnation of the receiver that was given up, 0: none */
	uint64_t buried;
	char target[MEMB_NAME_MAX + 1];
	memb_addr_t target_addr;
	uint32_t n; /* of the records, at least 1 */
	memb_record_t updates[MEMB_UPDATES_MAX]; /* the sender's own first */
} memb_msg_t;

#define MEMB_ACK_UNSURE 1 /* the sender was paused and asks itself */

typedef enum memb_event {
	MEMB_JOINED,	  /* a new entry, or one that is back */
	MEMB_SUSPECTED,	  /* it does not answer */
	MEMB_REFUTED,	  /* it does after all */
	MEMB_DIED,	  /* given up */
	MEMB_GONE,	  /* left as planned */
	MEMB_GIVEN_UP,	  /* others had given this entry up; now refuted */
	MEMB_UNSURE,	  /* this entry was paused; see memb_sure() */
	MEMB_SURE,	  /* and knows again what the others think of it */
	MEMB_CONFLICT,	  /* another content under our generation: refused */
	MEMB_CLASH,	  /* another process under our id */
	MEMB_WATCH_BEGIN, /* watch the store's configuration */
	MEMB_WATCH_END,
	MEMB_EVENT_MAX
} memb_event_t;

/* "joined", "died" and so on. */
const char *memb_event_name(memb_event_t event);
const char *memb_state_name(memb_state_t state);

typedef struct memb_ops {
	/* Send, if need be in vain; "zone" is empty when not known. */
	void (*send)(void *arg, memb_addr_t to, const char *zone,
		     const memb_msg_t *msg);
	/*
	 * Fetch this generation from "from", check its digest, put it in
	 * force and say so with memb_config(); otherwise memb_pull_failed().
	 */
	void (*pull)(void *arg, const memb_record_t *from, uint64_t generation,
		     uint64_t digest);
	/* "rec" is of the entry that the event is about. */
	void (*event)(void *arg, memb_event_t event, const memb_record_t *rec);
} memb_ops_t;

/* Zero means the default. */
typedef struct memb_limits {
	int64_t period_us;    /* between probes; 1 s */
	int64_t ack_us;	      /* wait for a direct answer; 300 ms */
	int64_t suspect_us;   /* from suspicion to giving up; 4 s */
	int64_t pause_us;     /* a gap between ticks that raises doubt; 2 s */
	int64_t dead_keep_us; /* a dead entry is tried again; 1 h */
	int64_t pull_us;      /* after which another pull may begin; 1 s */
	uint32_t cross_every; /* periods between probes across zones; 4 */
	uint32_t helpers;     /* entries asked to probe for us; 3 */
	uint32_t news_near;   /* told of a configuration, own zone; 3 */
	uint32_t news_far;    /* and in other zones; 1 */
	uint32_t hot_max;     /* fresh records in a message; 6 */
	uint32_t watchers;    /* of the store, in each zone; 2 */
} memb_limits_t;

typedef struct memb_opts {
	const char *id;
	const char *zone;
	memb_addr_t addr;
	uint64_t incarnation; /* grows with each start; wall clock will do */
	uint64_t seed;
	memb_limits_t limits;
	memb_ops_t ops;
	void *arg; /* of the ops */
} memb_opts_t;

typedef struct memb memb_t;

/* A view of one's own below "ctx". */
memb_t *memb_new(const void *ctx, const memb_opts_t *opts);

/* Where entries may be found; the latest MEMB_SEEDS_MAX are kept. */
#define MEMB_SEEDS_MAX 64
void memb_seed(memb_t *memb, memb_addr_t addr);

/* Do what is due; to be called at least every ack_us / 3. */
void memb_tick(memb_t *memb, int64_t now);

/* Take a message in; false and no effect if it is malformed. */
bool memb_receive(memb_t *memb, int64_t now, const memb_msg_t *msg);

/*
 * The configuration in force here.  False and no effect unless "generation"
 * is newer than all before.  "wall" is the wall clock.
 */
bool memb_config(memb_t *memb, int64_t now, uint64_t generation,
		 uint64_t digest, int64_t wall);

/* A pull that memb asked for came to nothing. */
void memb_pull_failed(memb_t *memb, int64_t now);

uint64_t memb_generation(const memb_t *memb);

/* What the others shall know of our claims. */
void memb_claims(memb_t *memb, int64_t now, uint64_t epoch, bool sealed);

/* Tell that this entry leaves; for good. */
void memb_leave(memb_t *memb, int64_t now);

/*
 * Whether this entry may act on what it knew: its ticks came in time, and
 * after a pause others have told what they think of it.  To be asked just
 * before an act that must not be done by an entry that was given up.
 */
bool memb_sure(const memb_t *memb, int64_t now);

/* The entry itself and all that it knows of, in no order. */
size_t memb_count(const memb_t *memb);
const memb_record_t *memb_at(const memb_t *memb, size_t i); /* 0: itself */
const memb_record_t *memb_find(const memb_t *memb, const char *id);

/* Whether this entry watches the store's configuration. */
bool memb_watches(const memb_t *memb);

#endif
