#include "peer_int.h"
#include "peer_memb.h"

static void record_to_wire(peer_wire_member *wire, const memb_record_t *rec);
static void record_from_wire(memb_record_t *rec, const peer_wire_member *wire);

void peer_gossip_from_msg(peer_gossip_buf_t *buf, const memb_msg_t *msg)
{
	peer_gossip *wire = &buf->wire;

	*wire = (peer_gossip){ .kind = msg->kind,
			       .seq = msg->seq,
			       .cursor = msg->cursor,
			       .digest = msg->digest,
			       .buried = msg->receiver_dead_incarnation,
			       .target = (char *)msg->target };
	wire->target_addr.ip = msg->target_addr.ip;
	wire->target_addr.port = msg->target_addr.port;
	wire->updates.updates_len = msg->n;
	wire->updates.updates_val = buf->members;
	for (uint32_t i = 0; i < msg->n; i++)
		record_to_wire(&buf->members[i], &msg->updates[i]);
}

bool peer_gossip_to_msg(const peer_gossip *wire, memb_msg_t *msg)
{
	memset(msg, 0, sizeof(*msg));
	if (wire->kind >= MEMB_KIND_MAX ||
	    wire->updates.updates_len > MEMB_UPDATES_MAX ||
	    wire->target_addr.port > UINT16_MAX)
		return false;
	msg->kind = (memb_kind_t)wire->kind;
	msg->seq = wire->seq;
	msg->cursor = wire->cursor;
	msg->digest = wire->digest;
	msg->receiver_dead_incarnation = wire->buried;
	g_strlcpy(msg->target, wire->target, sizeof(msg->target));
	msg->target_addr.ip = wire->target_addr.ip;
	msg->target_addr.port = (uint16_t)wire->target_addr.port;
	msg->n = wire->updates.updates_len;
	for (uint32_t i = 0; i < msg->n; i++) {
		const peer_wire_member *member = &wire->updates.updates_val[i];

		if (member->state >= MEMB_STATE_MAX ||
		    member->addr.port > UINT16_MAX ||
		    !peer_name_ok(member->id) || !peer_name_ok(member->zone))
			return false;
		record_from_wire(&msg->updates[i], member);
	}
	return true;
}

size_t peer_gossip_size(const memb_msg_t *msg)
{
	peer_gossip_buf_t buf;

	peer_gossip_from_msg(&buf, msg);
	return xdr_sizeof((xdrproc_t)xdr_peer_gossip, &buf.wire);
}

static void record_to_wire(peer_wire_member *wire, const memb_record_t *rec)
{
	*wire = (peer_wire_member){ .id = (char *)rec->id,
				    .zone = (char *)rec->zone,
				    .state = rec->state,
				    .revision = rec->revision,
				    .incarnation = rec->incarnation,
				    .generation = rec->generation,
				    .in_force = rec->in_force_wall_us,
				    .epoch = rec->epoch,
				    .sealed = rec->sealed };
	wire->addr.ip = rec->addr.ip;
	wire->addr.port = rec->addr.port;
}

static void record_from_wire(memb_record_t *rec, const peer_wire_member *wire)
{
	g_strlcpy(rec->id, wire->id, sizeof(rec->id));
	g_strlcpy(rec->zone, wire->zone, sizeof(rec->zone));
	rec->addr.ip = wire->addr.ip;
	rec->addr.port = (uint16_t)wire->addr.port;
	rec->state = (memb_state_t)wire->state;
	rec->revision = wire->revision;
	rec->incarnation = wire->incarnation;
	rec->generation = wire->generation;
	rec->in_force_wall_us = wire->in_force;
	rec->epoch = wire->epoch;
	rec->sealed = wire->sealed != 0;
}
