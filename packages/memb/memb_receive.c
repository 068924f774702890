#include "memb_int.h"

typedef void (*handler_t)(memb_t *memb, int64_t now, const memb_msg_t *msg);

static bool msg_ok(const memb_t *memb, const memb_msg_t *msg);
static void handle_ping(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void handle_ack(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void handle_ping_req(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void handle_gossip(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void handle_page_get(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void handle_page(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void request_page(memb_t *memb, const memb_msg_t *msg, uint32_t cursor);
static void relay_ack(memb_t *memb, const memb_msg_t *msg);

static const handler_t handlers[MEMB_KIND_MAX] = {
	[MEMB_PING] = handle_ping,	   [MEMB_ACK] = handle_ack,
	[MEMB_PING_REQ] = handle_ping_req, [MEMB_GOSSIP] = handle_gossip,
	[MEMB_PAGE_GET] = handle_page_get, [MEMB_PAGE] = handle_page,
};

bool memb_receive(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	if (!msg_ok(memb, msg))
		return false;
	memb_check_pause(memb, now);
	for (uint32_t i = 0; i < msg->n; i++)
		memb_merge(memb, &msg->updates[i], now);
	memb_self_declared_dead(memb, msg->receiver_dead_incarnation);
	memb_check_config(memb, msg, now);
	handlers[msg->kind](memb, now, msg);
	/*
	 * Until all pages of another entry's view were fetched, each entry that
	 * acks is asked for its view: it may know entries that are not known
	 * here.
	 */
	if (!memb->pages_complete && msg->kind == MEMB_ACK)
		request_page(memb, msg, 0);
	return true;
}

static bool msg_ok(const memb_t *memb, const memb_msg_t *msg)
{
	const memb_record_t *sender = &msg->updates[0];

	if ((unsigned int)msg->kind >= MEMB_KIND_MAX || !msg->n ||
	    msg->n > MEMB_UPDATES_MAX ||
	    strnlen(msg->target, sizeof(msg->target)) > MEMB_NAME_MAX)
		return false;
	for (uint32_t i = 0; i < msg->n; i++)
		if (!memb_record_ok(&msg->updates[i]))
			return false;
	return strcmp(sender->id, memb->self.id) != 0 &&
	       (sender->state == MEMB_ALIVE || sender->state == MEMB_LEFT);
}

static void handle_ping(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	const memb_record_t *sender = &msg->updates[0];
	memb_msg_t ack;

	(void)now;
	memb_fill(memb, &ack, MEMB_ACK, memb_lookup(memb, sender->id));
	ack.seq = msg->seq;
	ack.cursor = memb->unconfirmed ? MEMB_ACK_UNCONFIRMED : 0;
	memb_send(memb, sender->addr, sender->zone, &ack);
}

static void handle_ack(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	memb_probe_acked(memb, msg, now);
	relay_ack(memb, msg);
}

static void handle_ping_req(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	const memb_record_t *sender = &msg->updates[0];
	const memb_member_t *target = memb_lookup(memb, msg->target);
	memb_relay_t *relay =
		&memb->relays[memb->relays_next++ % MEMB_RELAYS_MAX];

	(void)now;
	if (!target)
		return;
	relay->seq = ++memb->seq;
	relay->requester_seq = msg->seq;
	relay->addr = sender->addr;
	g_strlcpy(relay->zone, sender->zone, sizeof(relay->zone));
	memb_ping(memb, target, relay->seq);
}

static void handle_gossip(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	(void)memb;
	(void)now;
	(void)msg;
}

static void handle_page_get(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	const memb_record_t *sender = &msg->updates[0];
	uint32_t at = msg->cursor;
	memb_msg_t page = { .kind = MEMB_PAGE, .digest = memb->digest, .n = 1 };

	(void)now;
	page.updates[0] = memb->self;
	for (; at < memb->members->len && page.n < MEMB_UPDATES_MAX; at++) {
		const memb_member_t *member =
			g_ptr_array_index(memb->members, at);

		if (memb_present(member))
			page.updates[page.n++] = member->rec;
	}
	page.cursor = at < memb->members->len ? at : 0;
	memb_send(memb, sender->addr, sender->zone, &page);
}

static void handle_page(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	(void)now;
	if (memb->pages_complete)
		return;
	if (msg->cursor)
		request_page(memb, msg, msg->cursor);
	else
		memb->pages_complete = true;
}

static void request_page(memb_t *memb, const memb_msg_t *msg, uint32_t cursor)
{
	const memb_record_t *sender = &msg->updates[0];
	memb_msg_t get;

	memb_fill(memb, &get, MEMB_PAGE_GET, NULL);
	get.cursor = cursor;
	memb_send(memb, sender->addr, sender->zone, &get);
}

/* Passes the ack of an indirect probe on to the entry that asked for it. */
static void relay_ack(memb_t *memb, const memb_msg_t *msg)
{
	for (size_t i = 0; i < MEMB_RELAYS_MAX; i++) {
		memb_relay_t *relay = &memb->relays[i];
		memb_msg_t ack;

		if (!relay->seq || relay->seq != msg->seq)
			continue;
		memb_fill(memb, &ack, MEMB_ACK, NULL);
		ack.seq = relay->requester_seq;
		g_strlcpy(ack.target, msg->updates[0].id, sizeof(ack.target));
		memb_send(memb, relay->addr, relay->zone, &ack);
		relay->seq = 0;
	}
}
