/*
 * peer_memb - membership's messages on the wire.
 *
 * Package memb is pure and knows no encoding; this is the one place that
 * turns its messages into peer_gossip and back.
 */
#ifndef PEER_MEMB_H
#define PEER_MEMB_H

#include <rpc/rpc.h>

#include "memb.h"
#include "peer_proto_xdr.h"

typedef struct peer_gossip_room {
	peer_gossip wire;
	peer_wire_member members[MEMB_UPDATES_MAX];
} peer_gossip_room_t;

/* Fill "room"; its strings are those of "msg". */
void peer_gossip_from(peer_gossip_room_t *room, const memb_msg_t *msg);

/* False if "wire" holds what no message of ours does. */
bool peer_gossip_to(const peer_gossip *wire, memb_msg_t *msg);

/* Bytes of "msg" encoded, without its envelope. */
size_t peer_gossip_size(const memb_msg_t *msg);

/* Bytes around a gossip message: IP, UDP, ONC RPC, code and typical head. */
#define PEER_GOSSIP_AROUND (28 + 40 + 36 + 92)

#endif
