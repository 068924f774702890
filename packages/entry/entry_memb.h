/*
 * entry_memb - this entry among the others.
 *
 * Drives the membership core (memb.h) with a clock, a lock and the peers'
 * transport, and hands the configuration from entry to entry.
 */
#ifndef ENTRY_MEMB_H
#define ENTRY_MEMB_H

#include "entry_int.h"
#include "memb.h"
#include "memb_parts.h"
#include "peer.h"

#define ENTRY_MEMBERS_PREFIX "/cactusfield/members/"

/* What is passed on of the configuration in force. */
typedef struct entry_held {
	entry_view_t *view; /* with its text; NULL: none yet */
	uint64_t digest;
	memb_parts_t *parts;		/* of the view's text; a talloc tree */
	char source[MEMB_NAME_MAX + 1]; /* "store" or an entry */
	int64_t heard;	  /* wall clock, microseconds: a newer one is there */
	int64_t in_force; /* and is in force here */
} entry_held_t;

typedef struct entry_memb {
	entry_daemon_t *daemon;
	pthread_mutex_t lock; /* of what follows */
	memb_t *core;
	entry_held_t held;
	uint64_t heard_generation; /* the newest that was heard of */
	int64_t heard;
	uint64_t refused; /* a pulled generation that was refused */
	bool changed;	  /* who is present */
	uint64_t events[MEMB_EVENT_MAX];
	/* Not under the lock. */
	atomic_ullong pulled[2]; /* configurations: whole, by parts */
	peer_t *peer;
	kern_duty_t *gossip;
	kern_duty_t *pulls;
	kern_duty_t *members;
	int64_t started;
	int64_t lease;	      /* of our key in the store, 0: none */
	uint32_t rounds;      /* of the members duty */
	uint32_t reads;	      /* of the others' keys */
	int64_t members_seen; /* the newest of these */
} entry_memb_t;

/* A pull that the core asked for; owned by the duty that runs it. */
typedef struct entry_pull {
	peer_addr_t addr;
	char id[MEMB_NAME_MAX + 1];
	char zone[MEMB_NAME_MAX + 1];
	uint64_t generation;
	uint64_t digest;
} entry_pull_t;

/* Make daemon->memb; its service sets it to work. */
bool entry_memb_new(entry_daemon_t *daemon, GError **err);

/* The configuration of "view" is in force here; takes over the hold. */
void entry_memb_config(entry_daemon_t *daemon, entry_view_t *view,
		       const char *source);

/* Whether this entry reads the store's configuration for its zone. */
bool entry_memb_watches(entry_daemon_t *daemon);

/* Whether this entry may act on what it knew; see memb_sure(). */
bool entry_memb_sure(entry_daemon_t *daemon);

/* Tell the others that this entry leaves. */
void entry_memb_leave(entry_daemon_t *daemon);

/* entry_leaving: an endpoint's word, from entry to entry */

/* Answer the others; before peer_serve(). */
void entry_leaving_handle(entry_memb_t *memb);

/* entry_pull: the configuration from entry to entry */

/* Answers PEER_CONFIG. */
bool entry_pull_answer(void *arg, const peer_from_t *from, const void *args,
		       void *res);

/* entry_parts: only what differs from the configuration in force */

/* Answers PEER_PARTS and PEER_PICK. */
void entry_parts_handle(entry_memb_t *memb);

/* Fetch what "pull" asks for into "text", which is empty; false: not done. */
bool entry_parts_fetch(entry_memb_t *memb, const entry_pull_t *pull,
		       base_buf_t *text);

#define ENTRY_PART_WAIT_US (500 * BASE_MS)
#define ENTRY_TEXT_MAX (PLAT_VALUE_MAX + 65536) /* bytes of a record */

/* The duty's message: fetch, check and put in force. */
void entry_pull_run(void *arg, void *msg, int64_t now);

/* entry_members: our key in the store, and the others' as seeds */

void entry_members_tick(void *arg, int64_t now);
void entry_members_leave(entry_memb_t *memb);

/* entry_rollout: the operators' port */

int entry_rollout_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_cut_page(struct mg_connection *conn, entry_daemon_t *daemon);
void entry_metrics_memb(entry_daemon_t *daemon, base_buf_t *out);

#endif
