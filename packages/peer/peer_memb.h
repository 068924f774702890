/*
 * peer_memb - conversion of membership messages to and from XDR.
 *
 * Package memb does no I/O and no encoding.  Its messages are converted to
 * peer_gossip and back only here.
 */
#ifndef PEER_MEMB_H
#define PEER_MEMB_H

#include <rpc/rpc.h>

#include "memb.h"
#include "peer_proto_xdr.h"

/* A peer_gossip and the storage of its members. */
typedef struct peer_gossip_buf {
	peer_gossip wire;
	peer_wire_member members[MEMB_UPDATES_MAX];
} peer_gossip_buf_t;

/* Convert "msg" to "buf->wire", whose strings point into "msg". */
void peer_gossip_from_msg(peer_gossip_buf_t *buf, const memb_msg_t *msg);

/* Convert "wire" to "msg"; false if a value is out of range. */
bool peer_gossip_to_msg(const peer_gossip *wire, memb_msg_t *msg);

/* Encoded size of "msg" in bytes, without the headers around it. */
size_t peer_gossip_size(const memb_msg_t *msg);

/*
 * Bytes of the headers around a gossip message: IP and UDP, ONC RPC, MAC with
 * the length of the body, and a peer_call_head of typical size.
 */
#define PEER_GOSSIP_OVERHEAD (28 + 40 + 36 + 92)

#endif
