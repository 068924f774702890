/*
 * What entries say to each other.  Every call and every reply travels as one
 * peer_sealed: a body and its HMAC-SHA256 under the site's key.  A body is a
 * peer_call_head or peer_reply_head, followed by the procedure's own
 * arguments or result (the table in peer_proc.c).
 *
 * scripts/peergen turns this file into peer_proto_xdr.c and peer_proto_xdr.h.
 */

const PEER_ID_MAX = 64;		/* bytes of an entry's or zone's name */
const PEER_MAC_LEN = 32;	/* bytes */
const PEER_CHUNK_MAX = 32768;	/* bytes of content in one answer */
const PEER_BODY_MAX = 66560;	/* bytes: 64 KB of payload and its head */
const PEER_UPDATES_MAX = 12;	/* members in one gossip message */

struct peer_sealed {
	opaque mac[PEER_MAC_LEN];
	opaque body<PEER_BODY_MAX>;
};

/* An IPv4 address and port in host order. */
struct peer_wire_addr {
	unsigned int ip;
	unsigned int port;
};

struct peer_call_head {
	unsigned int proc;		/* peer_proc_t */
	string from<PEER_ID_MAX>;
	string zone<PEER_ID_MAX>;	/* availability zone of the sender */
	peer_wire_addr from_addr;	/* where the sender's server listens */
	peer_wire_addr to_addr;		/* for whom it is meant */
	unsigned hyper from_life;	/* sender's life */
	unsigned hyper to_life;		/* receiver's life, 0 when not known */
	unsigned hyper seq;		/* grows with each call of one life */
};

enum peer_wire_status {
	PEER_WIRE_DONE = 0,
	PEER_WIRE_LIFE = 1,	/* not run: "to_life" was not mine */
	PEER_WIRE_STALE = 2,	/* not run: a later life of you was here */
	PEER_WIRE_REPLAY = 3,	/* not run: "seq" was here before */
	PEER_WIRE_REFUSED = 4	/* not run: no such procedure, bad arguments */
};

struct peer_reply_head {
	unsigned int magic;		/* PEER_REPLY_MAGIC, no procedure */
	peer_wire_status status;
	unsigned hyper life;		/* of the answering entry */
	unsigned hyper from_life;	/* of the caller; its last known if STALE */
	unsigned hyper seq;		/* of the call */
	peer_wire_addr from_addr;	/* of the caller */
};

const PEER_REPLY_MAGIC = 0x52504c59;

/* gossip: one way over UDP */
struct peer_wire_member {
	string id<PEER_ID_MAX>;
	string zone<PEER_ID_MAX>;
	peer_wire_addr addr;
	unsigned int state;
	unsigned int revision;
	unsigned hyper incarnation;
	unsigned hyper generation;
	hyper in_force;
	unsigned hyper epoch;
	bool sealed;
};

struct peer_gossip {
	unsigned int kind;
	unsigned int seq;
	unsigned int cursor;
	unsigned hyper digest;
	unsigned hyper buried;
	string target<PEER_ID_MAX>;
	peer_wire_addr target_addr;
	peer_wire_member updates<PEER_UPDATES_MAX>;
};

/* life: one way over UDP, the answer to a datagram with a wrong "to_life" */
struct peer_life {
	unsigned hyper life;
	unsigned hyper seen_life;	/* the latest life of the addressee */
};

/* leaving: an endpoint said that it leaves */
const PEER_INSTANCE_MAX = 128;	/* bytes of an instance's name */

struct peer_leaving {
	string instance<PEER_INSTANCE_MAX>;
	string incarnation<PEER_INSTANCE_MAX>;
};

/* config: a part of the configuration in force */
struct peer_config_get {
	unsigned hyper generation;
	unsigned hyper digest;
	unsigned int offset;		/* bytes */
};

struct peer_config_part {
	unsigned hyper generation;	/* 0: the asked one is not held */
	unsigned hyper digest;
	unsigned int total;		/* bytes */
	unsigned int offset;		/* bytes */
	opaque data<PEER_CHUNK_MAX>;
};

/*
 * parts: the digests of the parts of the configuration in force, and some of
 * these parts (memb_parts.h).  An entry that does not know these procedures
 * refuses them, and the whole is pulled from it.
 */
const PEER_PARTS_MAX = 4096;	/* digests */
const PEER_PICK_MAX = 256;	/* parts asked for at once */
const PEER_PIECE_MAX = 4096;	/* bytes of a part */

struct peer_parts_get {
	unsigned hyper generation;
	unsigned hyper digest;
};

struct peer_parts_list {
	unsigned hyper generation;	/* 0: the asked one is not held */
	unsigned hyper digest;
	unsigned hyper parts<PEER_PARTS_MAX>;
};

struct peer_pick_get {
	unsigned hyper generation;
	unsigned hyper digest;
	unsigned int index<PEER_PICK_MAX>;
};

struct peer_piece {
	opaque data<PEER_PIECE_MAX>;
};

/* The first ones of those asked for, PEER_CHUNK_MAX bytes or one. */
struct peer_pieces {
	unsigned hyper generation;	/* 0: the asked one is not held */
	unsigned hyper digest;
	peer_piece pieces<PEER_PICK_MAX>;
};

/* claims: see claim.h for what the fields mean */
const PEER_ANSWER_MAX = 4096;		/* bytes of a recorded answer */
const PEER_EPOCH_MAX = 60000;		/* bytes of the epoch record */
const PEER_BATCH_MAX = 64;		/* records */

struct peer_claim_name {
	unsigned hyper id_hi;
	unsigned hyper id_lo;
	unsigned hyper attempt_entry;
	unsigned hyper attempt_number;
	unsigned hyper print;
	unsigned hyper caller;
};

struct peer_claim_take {
	peer_claim_name name;
	unsigned hyper epoch;
	unsigned hyper ticket;
	bool look;
};

struct peer_claim_verdict {
	unsigned int verdict;
	bool fresh;
	bool soon;
	unsigned hyper epoch;
	bool kept;
	opaque answer<PEER_ANSWER_MAX>;
};

/* The end of an attempt: released, or answered. */
struct peer_claim_end {
	peer_claim_name name;
	bool answered;
	bool kept;
	opaque answer<PEER_ANSWER_MAX>;
};

struct peer_claim_done {
	unsigned int unused;
};

/* What an entry knows of the epoch; the record goes to who lacks it. */
struct peer_claim_hello {
	string id<PEER_ID_MAX>;
	string zone<PEER_ID_MAX>;
	unsigned hyper incarnation;
	unsigned hyper epoch;
	hyper confirmed_age;		/* microseconds, -1: never */
	bool leaving;
	bool copying;			/* slices that it homes */
	opaque record<PEER_EPOCH_MAX>;
};

struct peer_claim_pull {
	unsigned hyper epoch;
	unsigned hyper cursor;
	unsigned int slice;
};

struct peer_claim_copy {
	peer_claim_name name;
	hyper age;			/* microseconds */
	unsigned int state;
	opaque answer<PEER_ANSWER_MAX>;
};

struct peer_claim_batch {
	bool ok;
	bool last;
	unsigned hyper cursor;
	unsigned hyper lost;
	hyper complete_age;		/* microseconds */
	peer_claim_copy copies<PEER_BATCH_MAX>;
};
