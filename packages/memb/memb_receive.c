#include "memb_int.h"

typedef void (*take_t)(memb_t *memb, int64_t now, const memb_msg_t *msg);

static bool msg_ok(const memb_t *memb, const memb_msg_t *msg);
static void take_ping(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void take_ack(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void take_ping_for(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void take_news(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void take_page_get(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void take_page(memb_t *memb, int64_t now, const memb_msg_t *msg);
static void get_page(memb_t *memb, const memb_msg_t *msg, uint32_t cursor);
static void relay_ack(memb_t *memb, const memb_msg_t *msg);

static const take_t takes[MEMB_KIND_MAX] = {
	[MEMB_PING] = take_ping,	 [MEMB_ACK] = take_ack,
	[MEMB_PING_FOR] = take_ping_for, [MEMB_NEWS] = take_news,
	[MEMB_PAGE_GET] = take_page_get, [MEMB_PAGE] = take_page,
};

bool memb_receive(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	if (!msg_ok(memb, msg))
		return false;
	memb_check_pause(memb, now);
	for (uint32_t i = 0; i < msg->n; i++)
		memb_merge(memb, &msg->updates[i], now);
	memb_given_up(memb, msg->buried);
	memb_heard_config(memb, msg, now);
	takes[msg->kind](memb, now, msg);
	/* Whoever was not known before may know others. */
	if (!memb->paged && msg->kind == MEMB_ACK)
		get_page(memb, msg, 0);
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

static void take_ping(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	const memb_record_t *sender = &msg->updates[0];
	memb_msg_t ack;

	(void)now;
	memb_fill(memb, &ack, MEMB_ACK, memb_lookup(memb, sender->id));
	ack.seq = msg->seq;
	ack.cursor = memb->unsure ? MEMB_ACK_UNSURE : 0;
	memb_send(memb, sender->addr, sender->zone, &ack);
}

static void take_ack(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	memb_probe_acked(memb, msg, now);
	relay_ack(memb, msg);
}

static void take_ping_for(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	const memb_record_t *sender = &msg->updates[0];
	const memb_member_t *target = memb_lookup(memb, msg->target);
	memb_relay_t *relay =
		&memb->relays[memb->relays_next++ % MEMB_RELAYS_MAX];

	(void)now;
	if (!target)
		return;
	relay->seq = ++memb->seq;
	relay->their_seq = msg->seq;
	relay->addr = sender->addr;
	g_strlcpy(relay->zone, sender->zone, sizeof(relay->zone));
	memb_ping(memb, target, relay->seq);
}

static void take_news(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	(void)memb;
	(void)now;
	(void)msg;
}

static void take_page_get(memb_t *memb, int64_t now, const memb_msg_t *msg)
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

static void take_page(memb_t *memb, int64_t now, const memb_msg_t *msg)
{
	(void)now;
	if (memb->paged)
		return;
	if (msg->cursor)
		get_page(memb, msg, msg->cursor);
	else
		memb->paged = true;
}

static void get_page(memb_t *memb, const memb_msg_t *msg, uint32_t cursor)
{
	const memb_record_t *sender = &msg->updates[0];
	memb_msg_t get;

	memb_fill(memb, &get, MEMB_PAGE_GET, NULL);
	get.cursor = cursor;
	memb_send(memb, sender->addr, sender->zone, &get);
}

/* An answer to a probe that we made for somebody else. */
static void relay_ack(memb_t *memb, const memb_msg_t *msg)
{
	for (size_t i = 0; i < MEMB_RELAYS_MAX; i++) {
		memb_relay_t *relay = &memb->relays[i];
		memb_msg_t ack;

		if (!relay->seq || relay->seq != msg->seq)
			continue;
		memb_fill(memb, &ack, MEMB_ACK, NULL);
		ack.seq = relay->their_seq;
		g_strlcpy(ack.target, msg->updates[0].id, sizeof(ack.target));
		memb_send(memb, relay->addr, relay->zone, &ack);
		relay->seq = 0;
	}
}
