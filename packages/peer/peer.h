/*
 * peer - authenticated ONC RPC between entries.
 *
 * A peer_t is the RPC client and server of one entry: it calls other entries
 * and, after peer_serve(), answers calls on one IPv4 address and port, over
 * TCP and UDP.  rpcbind is not used: addresses come from the settings and
 * from gossip.
 *
 * Calls (peer_call) use TCP and return a reply; datagrams (peer_send) use
 * UDP, are one-way and may be lost.  Both carry an HMAC-SHA256 under the
 * site's shared key, the lives of the sender and the receiver, and a sequence
 * number.  A modified, misdirected or replayed message has no effect
 * (docs/design/peer.md).
 *
 * A life is one run of an entry's process.  It is identified by a number that
 * grows from each run to the next; sequence numbers count within a life.
 * For each sender a receiver keeps a replay window: a bitmap of the latest
 * sequence numbers, which shows those that were received.  A message whose
 * number was received, or is below the window, is refused.
 *
 * To add a procedure: define its types in peer_proto.x, run scripts/peergen,
 * append a value to peer_proc_t, add a line to the table in peer_proc.c and
 * register a handler with peer_set_handler().  The numbers in peer_proc_t never
 * change, so that entries of different versions can talk to each other; an
 * entry refuses a procedure that it does not know.  A procedure whose caller
 * must know whether it ran must not be one-way.
 *
 * A handler runs in the server's only thread.  It answers from local memory
 * under a short lock and must never wait for another entry, the store or the
 * disk, so that it cannot be part of a deadlock.
 *
 * All functions may be called from any thread, except peer_new,
 * peer_set_handler, peer_serve and the freeing of a peer_t.  peer_new() makes
 * the process ignore SIGPIPE.  libtirpc keeps the server's state per process,
 * so only one peer_t of a process may serve at a time.
 */
#ifndef PEER_H
#define PEER_H

#include "base.h"

#define PEER_KEY_MIN 16 /* minimum length of the shared key, bytes */

#define PEER_ERROR peer_error_quark()
GQuark peer_error_quark(void);

typedef enum peer_error {
	PEER_ERROR_BAD_OPTS, /* invalid name, address, life or key */
	PEER_ERROR_SOCKET,   /* the address cannot be bound */
	PEER_ERROR_BUSY,     /* another peer_t of this process is serving */
	PEER_ERROR_MAX
} peer_error_t;

/* The procedures, with the types of their arguments and replies. */
typedef enum peer_proc {
	PEER_GOSSIP,	  /* one-way: peer_gossip */
	PEER_LIFE,	  /* one-way, internal: peer_life */
	PEER_LEAVING,	  /* one-way: peer_leaving */
	PEER_CONFIG,	  /* peer_config_get -> peer_config_part */
	PEER_CLAIM_TAKE,  /* peer_claim_take -> peer_claim_verdict */
	PEER_CLAIM_END,	  /* peer_claim_end -> peer_claim_done */
	PEER_CLAIM_HELLO, /* peer_claim_hello -> peer_claim_hello */
	PEER_CLAIM_PULL,  /* peer_claim_pull -> peer_claim_batch */
	PEER_PARTS,	  /* peer_parts_get -> peer_parts_list */
	PEER_PICK,	  /* peer_pick_get -> peer_pieces */
	PEER_PROC_MAX
} peer_proc_t;

typedef enum peer_outcome {
	PEER_ANSWERED, /* the result holds the reply */
	PEER_NOT_RUN,  /* the procedure did not and will not run */
	PEER_UNKNOWN,  /* the procedure may have run or may still run */
	PEER_OUTCOME_MAX
} peer_outcome_t;

/* An IPv4 address and port in host order. */
typedef struct peer_addr {
	uint32_t ip;
	uint16_t port;
} peer_addr_t;

/* The destination of a call.  "zone" is NULL if not known. */
typedef struct peer_dest {
	peer_addr_t addr;
	const char *zone;
} peer_dest_t;

/* The sender of a call; valid until the handler returns. */
typedef struct peer_sender {
	const char *id;
	const char *zone;
	peer_addr_t addr;
	uint64_t life;
} peer_sender_t;

/*
 * Handles a call.  "args" and "res" have the procedure's types from
 * peer_proto_xdr.h.  "res" is zeroed before the call; memory that it points
 * to must be allocated with malloc(3) and is freed by the caller.  Returns
 * false to refuse the call, in which case the procedure must not have run.
 */
typedef bool (*peer_handler_t)(void *arg, const peer_sender_t *from,
			       const void *args, void *res);

typedef struct peer_opts {
	const char *id;	  /* name of this entry */
	const char *zone; /* availability zone of this entry */
	peer_addr_t addr; /* the address to serve on */
	/*
	 * Must grow from one run of the process to the next, for example the
	 * wall clock at start in microseconds.  If another entry has seen a
	 * higher life of this one, the life is raised above that.
	 */
	uint64_t life;
	base_str_t key; /* shared by all entries of the site */
	const base_log_t *log;
} peer_opts_t;

/* Traffic of one procedure in one direction; replies count as messages. */
typedef struct peer_flow {
	uint64_t messages;
	uint64_t bytes; /* bytes of message bodies and their MACs */
} peer_flow_t;

typedef enum peer_direction {
	PEER_OUT,
	PEER_IN,
	PEER_DIRECTION_MAX
} peer_direction_t;

typedef struct peer_stats {
	uint64_t calls_out; /* calls and datagrams sent, with retries */
	uint64_t bytes_out; /* bytes of bodies and MACs sent */
	uint64_t calls_in;  /* calls and datagrams handled */
	uint64_t bytes_in;  /* bytes of bodies and MACs received */
	/* Messages refused for a wrong key, or as modified or malformed. */
	uint64_t refused_mac;
	/* Messages refused for a wrong receiver life or an old sender life. */
	uint64_t refused_life;
	/* Messages refused for a used or too old sequence number. */
	uint64_t refused_replay;
	/* Messages dropped because of peer_block_zone(). */
	uint64_t blocked;
	peer_flow_t flows[PEER_PROC_MAX][PEER_DIRECTION_MAX];
} peer_stats_t;

typedef struct peer peer_t;

/*
 * Create a peer as a talloc child of "ctx"; NULL on error.  Freeing it stops
 * its server.
 */
peer_t *peer_new(const void *ctx, const peer_opts_t *opts, GError **err);

/* Register the handler of "proc"; call it before peer_serve(). */
void peer_set_handler(peer_t *peer, peer_proc_t proc, peer_handler_t fn,
		      void *arg);

/* Bind the TCP and UDP sockets and start the server thread. */
bool peer_serve(peer_t *peer, GError **err);

/* Stop the server thread and close its sockets. */
void peer_stop(peer_t *peer);

/*
 * Call "proc" at "to" and wait at most "timeout_us" for the reply.  On
 * PEER_ANSWERED "res" holds the result, which the caller frees with
 * peer_free_res(); otherwise "res" is zeroed.
 */
peer_outcome_t peer_call(peer_t *peer, const peer_dest_t *to, peer_proc_t proc,
			 const void *args, void *res, int64_t timeout_us);

/* Free the memory that a result points to. */
void peer_free_res(peer_proc_t proc, void *res);

/* Send the one-way "proc".  Returns false if it was certainly not sent. */
bool peer_send(peer_t *peer, const peer_dest_t *to, peer_proc_t proc,
	       const void *args);

/*
 * For tests: simulate a network partition.  While "blocked" is set, nothing is
 * sent to and nothing is accepted from the availability zone "zone".
 */
void peer_block_zone(peer_t *peer, const char *zone, bool blocked);

/* The current life of this entry. */
uint64_t peer_current_life(peer_t *peer);

/* Return a copy of the counters. */
peer_stats_t peer_stats(peer_t *peer);

/* The name of "proc" in metrics: "gossip", "claim-hello", ... */
const char *peer_proc_name(peer_proc_t proc);

/* Parse "A.B.C.D:PORT". */
bool peer_addr_parse(const char *text, peer_addr_t *addr);

/* Write "A.B.C.D:PORT" into "text" of PEER_ADDR_LEN bytes. */
#define PEER_ADDR_LEN 24
void peer_addr_format(peer_addr_t addr, char text[PEER_ADDR_LEN]);

bool peer_addr_eq(peer_addr_t a, peer_addr_t b);

/*
 * Whether "name" is a valid name of an entry or zone: 1 to 64 letters,
 * digits, '.', '_' and '-'.
 */
bool peer_name_ok(const char *name);

#endif
