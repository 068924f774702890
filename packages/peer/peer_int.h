/*
 * peer_int - what the files of this package share.
 */
#ifndef PEER_INT_H
#define PEER_INT_H

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <rpc/rpc.h>

#include "peer.h"
#include "peer_proto_xdr.h"

/* From the range that RFC 5531 leaves to the users. */
#define PEER_PROG 0x2ca70501
#define PEER_VERS 1
#define PEER_RPC_SEALED 1 /* the one ONC RPC procedure */

#define PEER_DATAGRAM_MAX 4096 /* bytes */
#define PEER_RECORD_MAX (PEER_BODY_MAX + 512)

/* What the table of procedures says of one. */
typedef struct peer_proc_info {
	const char *name;
	xdrproc_t xdr_args;
	size_t args_size;
	xdrproc_t xdr_res; /* NULL: one way */
	size_t res_size;
} peer_proc_info_t;

extern const peer_proc_info_t peer_procs[PEER_PROC_MAX];

typedef struct peer_cuts peer_cuts_t;
typedef struct peer_seen peer_seen_t;
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
	PEER_CUT,
	PEER_COUNT_MAX
} peer_count_t;

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
	peer_slot_t slots[PEER_PROC_MAX];
	_Atomic uint64_t counts[PEER_COUNT_MAX];
	_Atomic uint64_t messages[PEER_PROC_MAX][PEER_WAY_MAX];
	_Atomic uint64_t bytes[PEER_PROC_MAX][PEER_WAY_MAX];
	peer_cuts_t *cuts;
	peer_lives_t *lives; /* of the entries that we call */
	peer_pool_t *pool;
	peer_server_t *server;
};

/* peer_seal: bodies and their codes */

/* Encode "head" and "args" and set the code; free with peer_unseal(). */
bool peer_seal(const peer_t *peer, peer_sealed *out, xdrproc_t xdr_head,
	       void *head, xdrproc_t xdr_args, void *args);

/* Set the code again after the body was changed. */
bool peer_reseal(const peer_t *peer, peer_sealed *sealed);

/* Free the body of "sealed". */
void peer_unseal(peer_sealed *sealed);

/* Whether the code of "sealed" is right. */
bool peer_seal_check(const peer_t *peer, const peer_sealed *sealed);

/* Start to decode "sealed"; the result reads its body in place. */
void peer_open(XDR *xdrs, const peer_sealed *sealed);

/* Whether all of "sealed" was decoded. */
bool peer_open_done(XDR *xdrs, const peer_sealed *sealed);

/* peer_seen: what was here before.  For one thread. */

peer_seen_t *peer_seen_new(const void *ctx);

/*
 * Whether "seq" of "life" of the sender "id" is new; if so it is remembered.
 * On PEER_WIRE_STALE "*latest" is the latest life seen of it.
 */
peer_wire_status peer_seen_check(peer_seen_t *seen, const char *id,
				 uint64_t life, uint64_t seq, uint64_t *latest);

/* The latest life seen of "id", 0 if none. */
uint64_t peer_seen_life(peer_seen_t *seen, const char *id);

/* peer_lives: the life of those that we call, and our sequence numbers */

peer_lives_t *peer_lives_new(const void *ctx);

/* The life of the entry at "addr", 0 if not known, and the next number. */
uint64_t peer_lives_next(peer_lives_t *lives, peer_addr_t addr, uint64_t *seq);

void peer_lives_set(peer_lives_t *lives, peer_addr_t addr, uint64_t life);

/* peer_cuts: zones with which no message is exchanged */

peer_cuts_t *peer_cuts_new(const void *ctx);
void peer_cuts_set(peer_cuts_t *cuts, const char *zone, bool cut);
bool peer_cuts_has(peer_cuts_t *cuts, const char *zone);

/* peer_pool: connections and the datagram socket */

peer_pool_t *peer_pool_new(const void *ctx, peer_addr_t addr);

/* A connection to "addr", or NULL if none was made in time. */
CLIENT *peer_pool_take(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us);

/* Give a connection back; one that is not "whole" is closed. */
void peer_pool_give(peer_pool_t *pool, peer_addr_t addr, CLIENT *client,
		    bool whole);

/* Send one datagram. */
bool peer_pool_send(peer_pool_t *pool, peer_addr_t addr, peer_sealed *sealed);

/* Fill "sin". */
void peer_addr_sockaddr(peer_addr_t addr, struct sockaddr_in *sin);

/* peer_client, peer_server */

/* Tell the sender of a datagram which life it should have named. */
void peer_send_life(peer_t *peer, const peer_call_head *head,
		    uint64_t seen_life);

/* Raise our life above "latest". */
void peer_outlive(peer_t *peer, uint64_t latest);

void peer_count(peer_t *peer, peer_count_t what, uint64_t n);

/* Count a message of "proc" that was sealed by who knows the key. */
void peer_count_flow(peer_t *peer, uint32_t proc, peer_way_t way,
		     const peer_sealed *sealed);

void peer_wire_addr_set(peer_wire_addr *wire, peer_addr_t addr);
bool peer_wire_addr_eq(const peer_wire_addr *wire, peer_addr_t addr);

#endif
