/*
 * entry_memb - membership and spread of the configuration among entries.
 *
 * Connects the membership core (memb.h) to a clock, a lock and the peer
 * transport.
 */
#ifndef ENTRY_MEMB_H
#define ENTRY_MEMB_H

#include "entry_int.h"
#include "memb.h"
#include "memb_parts.h"
#include "peer.h"

#define ENTRY_MEMBERS_PREFIX "/cactusfield/members/"

/* The configuration in force, as other entries may pull it. */
typedef struct entry_shared_config {
	entry_view_t *view; /* holds the text; NULL: none yet */
	uint64_t digest;    /* XXH64 of the text */
	/* The parts of the view's text, in a separate talloc tree. */
	memb_parts_t *parts;
	/* Source of the configuration: "store" or an entry's id. */
	char source[MEMB_NAME_MAX + 1];
	/*
	 * Time when a peer first announced this configuration, or when it was
	 * put in force if no peer had announced it; wall clock, microseconds.
	 */
	int64_t first_heard_at;
	/*
	 * Time when this entry put the configuration in force; wall clock,
	 * microseconds.
	 */
	int64_t in_force_at;
} entry_shared_config_t;

typedef struct entry_memb {
	entry_daemon_t *daemon;
	pthread_mutex_t lock; /* protects the members up to events */
	memb_t *core;
	entry_shared_config_t shared_config;
	/* Newest generation that a peer announced. */
	uint64_t heard_generation;
	/* Time when heard_generation was announced; wall clock, microseconds */
	int64_t heard_generation_at;
	/*
	 * Generation of the last pulled configuration that was found invalid.
	 */
	uint64_t refused_generation;
	/* The latest list of entries was not passed to the routing core yet. */
	bool list_changed;
	uint64_t events[MEMB_EVENT_MAX];
	/*
	 * The lock does not protect the members from here on: they are atomic,
	 * constant or used by one duty only.
	 */
	/* Number of configurations pulled: [0] whole, [1] by parts. */
	atomic_ullong pull_counts[2];
	peer_t *peer;
	kern_thread_t *gossip;
	kern_thread_t *pulls;
	kern_thread_t *members;
	int64_t started;
	/* Id of the lease of this entry's key in the store; 0: none. */
	int64_t lease;
	uint32_t member_ticks; /* number of ticks of the members duty */
	uint32_t member_reads; /* number of reads of the other entries' keys */
	int64_t members_revision; /* highest mod_revision among those keys */
} entry_memb_t;

/* A pull requested by the core; owned by the duty that runs it. */
typedef struct entry_pull {
	peer_addr_t addr;
	char id[MEMB_NAME_MAX + 1];
	char zone[MEMB_NAME_MAX + 1];
	uint64_t generation;
	uint64_t digest;
} entry_pull_t;

/* Create daemon->memb; its service starts it. */
bool entry_memb_new(entry_daemon_t *daemon, GError **err);

/*
 * Announce that the configuration of "view" is in force here.  Takes over the
 * caller's reference to "view".
 */
void entry_memb_set_config(entry_daemon_t *daemon, entry_view_t *view,
			   const char *source);

/*
 * Whether this entry is a watcher of its zone: one that reads the
 * configuration from the store, while the others pull it from their peers.
 */
bool entry_memb_is_watcher(entry_daemon_t *daemon);

/* Whether this entry may act on its state; see memb_is_confirmed(). */
bool entry_memb_is_confirmed(entry_daemon_t *daemon);

/* Announce to the other entries that this entry leaves. */
void entry_memb_leave(entry_daemon_t *daemon);

/* entry_leaving: notices of leaving endpoints, sent between entries */

/* Register the handler; to be called before peer_serve(). */
void entry_leaving_register(entry_memb_t *memb);

/* entry_pull: transfer of the configuration between entries */

/* Handler of PEER_CONFIG. */
bool entry_pull_answer(void *arg, const peer_sender_t *from, const void *args,
		       void *res);

/*
 * entry_parts: transfer of those parts of a configuration that differ from the
 * configuration in force
 */

/* Register the handlers of PEER_PARTS and PEER_PICK. */
void entry_parts_register(entry_memb_t *memb);

/*
 * Fetch the configuration that "pull" names into "text", which must be empty.
 * Returns false if that failed; "text" may then hold part of it.
 */
bool entry_parts_fetch(entry_memb_t *memb, const entry_pull_t *pull,
		       base_buf_t *text);

#define ENTRY_PART_TIMEOUT_US (500 * BASE_MS)
/* limit of a configuration record, in bytes */
#define ENTRY_CONFIG_TEXT_MAX (PLAT_VALUE_MAX + 65536)

/* Message handler of the pull duty: fetch, check and put in force. */
void entry_pull_run(void *arg, void *msg, int64_t now);

/*
 * entry_members: keeps this entry's key in the store and reads the keys of the
 * other entries as seeds
 */

void entry_members_tick(void *arg, int64_t now);
void entry_members_leave(entry_memb_t *memb);

/* entry_rollout: pages and metrics of the operators' port */

int entry_rollout_page(struct mg_connection *conn, entry_daemon_t *daemon);
int entry_cut_zone_page(struct mg_connection *conn, entry_daemon_t *daemon);
void entry_metrics_memb(entry_daemon_t *daemon, base_buf_t *out);

#endif
