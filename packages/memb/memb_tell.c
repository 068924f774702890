#include "memb_int.h"

static void add_record(memb_msg_t *msg, const memb_record_t *rec);
static bool has_record(const memb_msg_t *msg, const char *id);
static memb_member_t *most_transmits_left(const memb_t *memb,
					  const memb_msg_t *msg);
static void add_next_in_rotation(memb_t *memb, memb_msg_t *msg);

void memb_fill(memb_t *memb, memb_msg_t *msg, memb_kind_t kind,
	       const memb_member_t *about)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
	msg->digest = memb->digest;
	add_record(msg, &memb->self);
	if (about)
		msg->receiver_dead_incarnation = about->dead_incarnation;
	/* A suspect or dead entry can refute its state only once it is told. */
	if (about && about->rec.state != MEMB_ALIVE)
		add_record(msg, &about->rec);
	for (uint32_t i = 0; i < memb->limits.piggyback_max; i++) {
		memb_member_t *member = most_transmits_left(memb, msg);

		if (!member)
			break;
		member->transmits_left--;
		add_record(msg, &member->rec);
	}
	add_next_in_rotation(memb, msg);
}

void memb_send(memb_t *memb, memb_addr_t to, const char *zone,
	       const memb_msg_t *msg)
{
	memb->ops.send(memb->arg, to, zone, msg);
}

void memb_ping(memb_t *memb, const memb_member_t *member, uint32_t seq)
{
	memb_msg_t msg;

	memb_fill(memb, &msg, MEMB_PING, member);
	msg.seq = seq;
	memb_send(memb, member->rec.addr, member->rec.zone, &msg);
}

void memb_send_gossip(memb_t *memb, memb_filter_t filter, size_t n)
{
	memb_member_t *sample[MEMB_LEAVE_OWN_ZONE * 4];
	memb_msg_t msg;

	n = memb_sample(memb, filter, NULL, sample, MIN(n, ARRAY_SIZE(sample)));
	for (size_t i = 0; i < n; i++) {
		memb_fill(memb, &msg, MEMB_GOSSIP, sample[i]);
		memb_send(memb, sample[i]->rec.addr, sample[i]->rec.zone, &msg);
	}
}

uint32_t memb_transmit_limit(const memb_t *memb)
{
	uint32_t times = 3;

	for (guint n = memb->members->len; n > 1; n /= 2)
		times++;
	return times;
}

static void add_record(memb_msg_t *msg, const memb_record_t *rec)
{
	if (msg->n < MEMB_UPDATES_MAX && !has_record(msg, rec->id))
		msg->updates[msg->n++] = *rec;
}

static bool has_record(const memb_msg_t *msg, const char *id)
{
	for (uint32_t i = 0; i < msg->n; i++)
		if (!strcmp(msg->updates[i].id, id))
			return true;
	return false;
}

static memb_member_t *most_transmits_left(const memb_t *memb,
					  const memb_msg_t *msg)
{
	memb_member_t *best = NULL;

	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (member->transmits_left &&
		    (!best || member->transmits_left > best->transmits_left) &&
		    !has_record(msg, member->rec.id))
			best = member;
	}
	return best;
}

/*
 * Adds one member's record, each time the next one, so that an update whose
 * messages were all lost still arrives eventually.
 */
static void add_next_in_rotation(memb_t *memb, memb_msg_t *msg)
{
	const memb_member_t *member;

	if (!memb->members->len)
		return;
	member = g_ptr_array_index(memb->members,
				   memb->rotation_next++ % memb->members->len);
	add_record(msg, &member->rec);
}
