/*
 * peer - ONC RPC between entries, authenticated.
 *
 * A peer_t is one entry's end: it calls other entries and, after
 * peer_serve(), answers them on one IPv4 address and port, over TCP and UDP.
 * There is no binder: addresses come from the settings and from gossip.
 *
 * Calls (peer_call) travel over TCP and are answered; datagrams (peer_send)
 * travel over UDP, one way, and may be lost.  Both carry an HMAC-SHA256 under
 * the site's key, the sender's and the receiver's life and a sequence number:
 * a changed, misdirected or repeated message changes nothing
 * (docs/design/peer.md).
 *
 * To add a procedure: its types in peer_proto.x, scripts/peergen, a value at
 * the end of peer_proc_t (numbers stay, so that entries of two versions
 * understand each other; one that does not know it refuses), a line in the
 * table of peer_proc.c, and a handler given to peer_handle().  A call whose
 * caller must know whether it ran is not marked as one way.
 *
 * A handler runs in the server's only thread.  It must be a leaf: it answers
 * from local memory under a short lock, never calls another entry, the store
 * or the disk, and so cannot take part in a cycle of waits.
 *
 * All functions but peer_new, peer_handle, peer_serve and the freeing of a
 * peer_t may be called from any thread.  SIGPIPE is ignored from peer_new()
 * on.  libtirpc keeps the server's state per process: only one peer_t of a
 * process may serve at a time.
 */
#ifndef PEER_H
#define PEER_H

#include "base.h"

#define PEER_KEY_MIN 16 /* bytes of the shared key */

#define PEER_ERROR peer_error_quark()
GQuark peer_error_quark(void);

typedef enum peer_error {
	PEER_ERROR_BAD_OPTS, /* name, address or key out of range */
	PEER_ERROR_SOCKET,   /* the address cannot be bound */
	PEER_ERROR_BUSY,     /* another peer_t of this process serves */
	PEER_ERROR_MAX
} peer_error_t;

typedef enum peer_proc {
	PEER_GOSSIP,	  /* one way: peer_gossip */
	PEER_LIFE,	  /* one way, internal: peer_life */
	PEER_LEAVING,	  /* one way: peer_leaving */
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
	PEER_ANSWERED, /* the result is the peer's answer */
	PEER_NOT_SENT, /* the procedure did not run and will not */
	PEER_UNKNOWN,  /* it may have run, or may still run */
	PEER_OUTCOME_MAX
} peer_outcome_t;

/* An IPv4 address and port in host order. */
typedef struct peer_addr {
	uint32_t ip;
	uint16_t port;
} peer_addr_t;

/* Who is called.  "zone" may be NULL when not known. */
typedef struct peer_to {
	peer_addr_t addr;
	const char *zone;
} peer_to_t;

/* Who calls; valid while the handler runs. */
typedef struct peer_from {
	const char *id;
	const char *zone;
	peer_addr_t addr;
	uint64_t life;
} peer_from_t;

/*
 * Answer a call: "args" and "res" are of the procedure's types in
 * peer_proto_xdr.h; "res" starts as zeros, what hangs from it is allocated
 * with malloc(3) and freed by the caller.  False: refused, the procedure did
 * not run.
 */
typedef bool (*peer_handler_t)(void *arg, const peer_from_t *from,
			       const void *args, void *res);

typedef struct peer_opts {
	const char *id;	  /* of this entry */
	const char *zone; /* its availability zone */
	peer_addr_t addr; /* where it serves */
	/*
	 * Grows from one life of the process to the next; the wall clock in
	 * microseconds at its start will do.  If a peer remembers a later
	 * one, the life is raised above it.
	 */
	uint64_t life;
	base_str_t key; /* shared by the site's entries */
	const base_log_t *log;
} peer_opts_t;

/* What went one way, of one procedure; replies are messages of their own. */
typedef struct peer_flow {
	uint64_t messages;
	uint64_t bytes; /* of the sealed messages */
} peer_flow_t;

typedef enum peer_way { PEER_OUT, PEER_IN, PEER_WAY_MAX } peer_way_t;

typedef struct peer_stats {
	uint64_t calls_out;	 /* calls and datagrams sent */
	uint64_t bytes_out;	 /* of sealed messages sent */
	uint64_t calls_in;	 /* accepted */
	uint64_t bytes_in;	 /* of sealed messages received */
	uint64_t refused_mac;	 /* wrong key, changed or malformed */
	uint64_t refused_life;	 /* meant for or sent by another life */
	uint64_t refused_replay; /* here before */
	uint64_t cut;		 /* dropped by peer_cut() */
	peer_flow_t flows[PEER_PROC_MAX][PEER_WAY_MAX];
} peer_stats_t;

typedef struct peer peer_t;

/* A peer below "ctx", or NULL.  Freeing it stops its server. */
peer_t *peer_new(const void *ctx, const peer_opts_t *opts, GError **err);

/* Set who answers "proc"; before peer_serve(). */
void peer_handle(peer_t *peer, peer_proc_t proc, peer_handler_t fn, void *arg);

/* Bind both sockets and start the server's thread. */
bool peer_serve(peer_t *peer, GError **err);

/* Stop the server's thread and close its sockets. */
void peer_stop(peer_t *peer);

/*
 * Call "proc" at "to" and wait at most "timeout_us".  On PEER_ANSWERED "res"
 * holds the result, to be freed with peer_free_res(); otherwise it is zeros.
 */
peer_outcome_t peer_call(peer_t *peer, const peer_to_t *to, peer_proc_t proc,
			 const void *args, void *res, int64_t timeout_us);

/* Free what hangs from a result. */
void peer_free_res(peer_proc_t proc, void *res);

/* Send the one-way "proc"; false if it surely did not leave. */
bool peer_send(peer_t *peer, const peer_to_t *to, peer_proc_t proc,
	       const void *args);

/*
 * For tests: while "cut", nothing is sent to and nothing accepted from the
 * availability zone "zone".
 */
void peer_cut(peer_t *peer, const char *zone, bool cut);

/* The current life of this end. */
uint64_t peer_life_of(peer_t *peer);

/* A copy of the counters. */
peer_stats_t peer_stats(peer_t *peer);

/* "gossip", "claim-hello", ... */
const char *peer_proc_name(peer_proc_t proc);

/* Parse "A.B.C.D:PORT". */
bool peer_addr_parse(const char *text, peer_addr_t *addr);

/* Write "A.B.C.D:PORT" into "text" of PEER_ADDR_LEN bytes. */
#define PEER_ADDR_LEN 24
void peer_addr_format(peer_addr_t addr, char text[PEER_ADDR_LEN]);

bool peer_addr_eq(peer_addr_t a, peer_addr_t b);

/*
 * Whether "name" may name an entry or zone: at most 64 letters, digits, '.',
 * '_' and '-'.
 */
bool peer_name_ok(const char *name);

#endif
