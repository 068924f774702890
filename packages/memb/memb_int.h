/*
 * memb_int - what the files of this package share.
 */
#ifndef MEMB_INT_H
#define MEMB_INT_H

#include <string.h>

#include "memb.h"

#define MEMB_MEMBERS_MAX 1024 /* entries that are known at once */
#define MEMB_PROBES_MAX 8     /* probes without an answer yet */
#define MEMB_RELAYS_MAX 32    /* probes made for others */
#define MEMB_LEAVE_NEAR 16    /* told of a leave, own zone */
#define MEMB_LEAVE_FAR 2      /* and in each other zone, about */
#define MEMB_LEAVE_TELLS 3    /* periods in which it is told */
#define MEMB_ASKED 3	      /* entries asked after a pause */
#define MEMB_SURE_MIN 2	      /* answers that end the doubt */

typedef struct memb_member {
	memb_record_t rec;
	int64_t since;	 /* in this state */
	uint64_t buried; /* its latest incarnation that we gave up */
	uint32_t hot;	 /* times that its record shall still be sent on */
} memb_member_t;

typedef struct memb_probe {
	char id[MEMB_NAME_MAX + 1]; /* empty: free */
	uint32_t seq;
	bool indirect; /* helpers were asked */
	int64_t until;
} memb_probe_t;

typedef struct memb_relay {
	uint32_t seq;	    /* of our probe */
	uint32_t their_seq; /* of the one for whom it is made */
	memb_addr_t addr;   /* of that one */
	char zone[MEMB_NAME_MAX + 1];
} memb_relay_t;

struct memb {
	memb_limits_t limits;
	memb_ops_t ops;
	void *arg;
	base_rng_t rng;
	memb_record_t self;
	uint64_t digest;
	GPtrArray *members; /* memb_member_t, all but ourselves */
	GHashTable *by_id;  /* the same */
	memb_addr_t seeds[MEMB_SEEDS_MAX];
	size_t seeds_n;
	size_t seeds_next;

	memb_probe_t probes[MEMB_PROBES_MAX];
	memb_relay_t relays[MEMB_RELAYS_MAX];
	uint32_t relays_next;
	uint32_t seq;
	int64_t last_tick; /* 0: none yet */
	int64_t next_period;
	uint32_t periods;
	uint32_t near_next; /* whose turn it is in our zone */
	uint32_t fill_next; /* whose record is sent on when there is room */

	uint64_t first;	 /* the incarnation with which we began */
	uint64_t buried; /* our latest incarnation that others gave up */
	bool paged;	 /* got all pages of somebody's view */
	bool unsure;	 /* was paused and asks */
	int64_t unsure_since;
	uint32_t sure_seq; /* answers to later probes count */
	char sure_by[MEMB_SURE_MIN][MEMB_NAME_MAX + 1];
	uint32_t sure_n;
	uint32_t leave_tells; /* periods in which the leave is still told */

	uint64_t pulling; /* generation, 0: none */
	int64_t pull_until;
	bool news_again;   /* tell of it once more at the next tick */
	uint64_t conflict; /* generation that was complained about */
	bool watches;
};

/* memb_table: the members */

memb_member_t *memb_lookup(const memb_t *memb, const char *id);
memb_member_t *memb_add(memb_t *memb, const memb_record_t *rec, int64_t now);
void memb_forget_old(memb_t *memb, int64_t now);
bool memb_near(const memb_t *memb, const memb_member_t *member);
bool memb_present(const memb_member_t *member); /* alive or suspect */
size_t memb_present_count(const memb_t *memb);

/* Whom a draw is for. */
typedef enum memb_whom {
	MEMB_WHOM_NEAR, /* present, own zone */
	MEMB_WHOM_FAR,	/* present, other zones */
	MEMB_WHOM_ANY,	/* present */
	MEMB_WHOM_DEAD,
	MEMB_WHOM_MAX
} memb_whom_t;

/*
 * Draw up to "n" distinct members, not the one of id "but" (may be NULL).
 */
size_t memb_draw(memb_t *memb, memb_whom_t whom, const char *but,
		 memb_member_t **drawn, size_t n);

/* memb_merge: what counts of two records */

/* Whether "rec" may be taken at all. */
bool memb_record_ok(const memb_record_t *rec);

/* Take in what was said of some entry. */
void memb_merge(memb_t *memb, const memb_record_t *rec, int64_t now);

/* Somebody gave us up at "incarnation" of ours. */
void memb_given_up(memb_t *memb, uint64_t incarnation);

/* Our own finding about a member. */
void memb_set_state(memb_t *memb, memb_member_t *member, memb_state_t state,
		    int64_t now);

/* memb_tell: messages */

/*
 * Fill in "msg" with our record, that of the receiver "about" (NULL if not
 * known) and news.
 */
void memb_fill(memb_t *memb, memb_msg_t *msg, memb_kind_t kind,
	       const memb_member_t *about);
void memb_send(memb_t *memb, memb_addr_t to, const char *zone,
	       const memb_msg_t *msg);
void memb_ping(memb_t *memb, const memb_member_t *member, uint32_t seq);
void memb_tell(memb_t *memb, memb_whom_t whom, size_t n);

/* How often a fresh record is sent on by one entry. */
uint32_t memb_hot_times(const memb_t *memb);

/* memb_probe: probes, suspicion, pauses */

void memb_probe_acked(memb_t *memb, const memb_msg_t *msg, int64_t now);
void memb_sure_check(memb_t *memb);

/* Notice that we stood still; before anything else is done. */
void memb_check_pause(memb_t *memb, int64_t now);

/* memb_spread */

/* Tell a few that a newer configuration is in force here. */
void memb_news(memb_t *memb);

void memb_heard_config(memb_t *memb, const memb_msg_t *msg, int64_t now);

/* memb_watch */

void memb_watch_choose(memb_t *memb);

void memb_raise(memb_t *memb, memb_event_t event, const memb_record_t *rec);

#endif
