/*
 * peer_int - internal declarations of package peer.
 */
#ifndef PEER_INT_H
#define PEER_INT_H

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <rpc/rpc.h>

#include "peer.h"
#include "peer_proto_xdr.h"

/* In the range that RFC 5531 reserves for user-defined programs. */
#define PEER_PROG 0x2ca70501
#define PEER_VERS 1
#define PEER_RPC_SEALED 1 /* the only ONC RPC procedure */

#define PEER_DATAGRAM_MAX 4096 /* bytes, with the ONC RPC header */
#define PEER_RECORD_MAX (PEER_BODY_MAX + 512)

/* One line of the table of procedures. */
typedef struct peer_proc_info {
	const char *name;
	xdrproc_t xdr_args;
	size_t args_size;
	xdrproc_t xdr_res; /* NULL: the procedure is one-way */
	size_t res_size;
} peer_proc_info_t;

extern const peer_proc_info_t peer_procs[PEER_PROC_MAX];

typedef struct peer_blocklist peer_blocklist_t;
typedef struct peer_replay peer_replay_t;
typedef struct peer_lives peer_lives_t;
typedef struct peer_pool peer_pool_t;
typedef struct peer_server peer_server_t;

typedef enum peer_count {
	PEER_CALLS_OUT,
	PEER_BYTES_OUT,
	PEER_CALLS_IN,
	PEER_BYTES_IN,
	PEER_REFUSED_MAC,
	PEER_REFUSED_LIFE,
	PEER_REFUSED_REPLAY,
	PEER_BLOCKED,
	PEER_COUNT_MAX
} peer_count_t;

/* A registered handler; "fn" is NULL if there is none. */
typedef struct peer_slot {
	peer_handler_t fn;
	void *arg;
} peer_slot_t;

struct peer {
	char *id;
	char *zone;
	peer_addr_t addr;
	_Atomic uint64_t life;
	base_str_t key;
	base_log_t log;
	peer_slot_t handlers[PEER_PROC_MAX];
	_Atomic uint64_t counts[PEER_COUNT_MAX];
	_Atomic uint64_t messages[PEER_PROC_MAX][PEER_DIRECTION_MAX];
	_Atomic uint64_t bytes[PEER_PROC_MAX][PEER_DIRECTION_MAX];
	peer_blocklist_t *blocklist;
	peer_lives_t *lives; /* lives of the entries that this one calls */
	peer_pool_t *pool;
	peer_server_t *server;
};

/* peer_seal: encoded bodies and their MACs */

/*
 * Encode "head" and "args" into the body of "out" and set its MAC.  The caller
 * frees the body with peer_sealed_free().
 */
bool peer_seal(const peer_t *peer, peer_sealed *out, xdrproc_t xdr_head,
	       void *head, xdrproc_t xdr_args, void *args);

/* Recompute the MAC after a change of the body. */
bool peer_reseal(const peer_t *peer, peer_sealed *sealed);

/* Free the body of "sealed". */
void peer_sealed_free(peer_sealed *sealed);

/* Whether the MAC of "sealed" matches its body. */
bool peer_seal_check(const peer_t *peer, const peer_sealed *sealed);

/* Initialise "xdrs" to decode the body of "sealed", which is not copied. */
void peer_decode_begin(XDR *xdrs, const peer_sealed *sealed);

/* Whether the whole body of "sealed" was decoded. */
bool peer_decode_done(XDR *xdrs, const peer_sealed *sealed);

/* peer_replay: replay protection for received calls.  Not thread-safe. */

peer_replay_t *peer_replay_new(const void *ctx);

/*
 * Check that "seq" of "life" of the sender "id" was not received before, and
 * record it.  Returns PEER_WIRE_DONE if it is new, PEER_WIRE_REPLAY if it was
 * received or is too old to tell, PEER_WIRE_STALE if a later life of the
 * sender was seen, and PEER_WIRE_REFUSED if there are too many senders.
 * "*latest" is the latest life known before the call, unless refused.
 */
peer_wire_status peer_replay_check(peer_replay_t *replay, const char *id,
				   uint64_t life, uint64_t seq,
				   uint64_t *latest);

/* The latest life seen of the sender "id", 0 if none. */
uint64_t peer_replay_latest_life(peer_replay_t *replay, const char *id);

/* peer_lives: lives of the destinations and the next sequence numbers */

peer_lives_t *peer_lives_new(const void *ctx);

/*
 * Return the life of the entry at "addr", 0 if not known, and set "*seq" to
 * the next sequence number for it.
 */
uint64_t peer_lives_next(peer_lives_t *lives, peer_addr_t addr, uint64_t *seq);

void peer_lives_set(peer_lives_t *lives, peer_addr_t addr, uint64_t life);

/* peer_blocklist: availability zones blocked by peer_block_zone() */

peer_blocklist_t *peer_blocklist_new(const void *ctx);
void peer_blocklist_set(peer_blocklist_t *blocklist, const char *zone,
			bool blocked);
bool peer_blocklist_contains(peer_blocklist_t *blocklist, const char *zone);

/* peer_pool: pool of client connections, and the datagram socket */

peer_pool_t *peer_pool_new(const void *ctx, peer_addr_t addr);

/* Take an idle connection to "addr" or open one; NULL on failure or timeout. */
CLIENT *peer_pool_take(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us);

/* Return a connection to the pool, or close it if it is not "reusable". */
void peer_pool_give(peer_pool_t *pool, peer_addr_t addr, CLIENT *client,
		    bool reusable);

/* Send one datagram without blocking; false if it was not sent. */
bool peer_pool_send(peer_pool_t *pool, peer_addr_t addr, peer_sealed *sealed);

/* Convert "addr" to "sin". */
void peer_addr_sockaddr(peer_addr_t addr, struct sockaddr_in *sin);

/* peer_client, peer_server */

/*
 * Tell the sender of the datagram "head" the life of this entry.  "seen_life"
 * is the latest life seen of the sender, 0 if none.
 */
void peer_send_life(peer_t *peer, const peer_call_head *head,
		    uint64_t seen_life);

/* Raise the life of this entry above "latest". */
void peer_raise_life(peer_t *peer, uint64_t latest);

void peer_count(peer_t *peer, peer_count_t counter, uint64_t n);

/*
 * Count a message of "proc".  Received messages are counted only after their
 * MAC was verified.
 */
void peer_count_flow(peer_t *peer, uint32_t proc, peer_direction_t direction,
		     const peer_sealed *sealed);

void peer_wire_addr_set(peer_wire_addr *wire, peer_addr_t addr);
bool peer_wire_addr_eq(const peer_wire_addr *wire, peer_addr_t addr);

#endif
