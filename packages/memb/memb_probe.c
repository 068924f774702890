#include "memb_int.h"

static void period(memb_t *memb, int64_t now);
static bool page_again(uint32_t periods);
static void paused(memb_t *memb, int64_t now, int64_t gap);
static void ask(memb_t *memb);
static void probe_near(memb_t *memb, int64_t now);
static void probe_far(memb_t *memb, int64_t now);
static void probe(memb_t *memb, memb_member_t *member, int64_t now);
static void expire_probes(memb_t *memb, int64_t now);
static void ask_helpers(memb_t *memb, memb_probe_t *probe,
			const memb_member_t *member, int64_t now);
static void give_up(memb_t *memb, int64_t now);
static void try_dead(memb_t *memb);
static void try_seed(memb_t *memb);
static bool ends_doubt(const memb_t *memb, const memb_msg_t *msg, int64_t now);
static bool known_at(const memb_t *memb, memb_addr_t addr);
static void tell_leave(memb_t *memb);
static bool alone_in_zone(const memb_t *memb);

void memb_tick(memb_t *memb, int64_t now)
{
	memb_check_pause(memb, now);
	memb->last_tick = now;
	expire_probes(memb, now);
	give_up(memb, now);
	if (memb->news_again) {
		memb->news_again = false;
		memb_news(memb);
	}
	if (now >= memb->next_period) {
		memb->next_period =
			now + (memb_present_count(memb)
				       ? memb->limits.period_us
				       : memb->limits.period_us / 5);
		period(memb, now);
	}
	memb_sure_check(memb);
	memb_watch_choose(memb);
}

void memb_check_pause(memb_t *memb, int64_t now)
{
	int64_t gap = memb->last_tick ? now - memb->last_tick : 0;

	if (gap <= memb->limits.pause_us)
		return;
	memb->last_tick = now;
	paused(memb, now, gap);
}

void memb_probe_acked(memb_t *memb, const memb_msg_t *msg, int64_t now)
{
	const char *id = msg->target[0] ? msg->target : msg->updates[0].id;

	for (size_t i = 0; i < MEMB_PROBES_MAX; i++)
		if (memb->probes[i].seq == msg->seq &&
		    !strcmp(memb->probes[i].id, id))
			memb->probes[i].id[0] = '\0';
	if (memb->unsure && ends_doubt(memb, msg, now))
		g_strlcpy(memb->sure_by[memb->sure_n++], id,
			  sizeof(memb->sure_by[0]));
}

/*
 * The word of one that was paused itself counts only when enough time has
 * passed for the others to answer: else two that were paused together would
 * ask each other for ever.
 */
static bool ends_doubt(const memb_t *memb, const memb_msg_t *msg, int64_t now)
{
	const char *id = msg->updates[0].id;

	if (msg->target[0] || msg->seq < memb->sure_seq ||
	    memb->sure_n >= MEMB_SURE_MIN ||
	    (memb->sure_n && !strcmp(memb->sure_by[0], id)))
		return false;
	return msg->cursor != MEMB_ACK_UNSURE ||
	       now - memb->unsure_since >= memb->limits.suspect_us;
}

void memb_sure_check(memb_t *memb)
{
	size_t need = MIN((size_t)MEMB_SURE_MIN, memb_present_count(memb));

	if (!memb->unsure || memb->sure_n < need)
		return;
	memb->unsure = false;
	memb_raise(memb, MEMB_SURE, &memb->self);
}

bool memb_sure(const memb_t *memb, int64_t now)
{
	return !memb->unsure && memb->last_tick &&
	       now - memb->last_tick <= memb->limits.pause_us;
}

static void period(memb_t *memb, int64_t now)
{
	memb->periods++;
	if (page_again(memb->periods))
		memb->paged = false;
	memb_forget_old(memb, now);
	if (memb->self.state == MEMB_LEFT) {
		tell_leave(memb);
		return;
	}
	if (memb->unsure)
		ask(memb);
	probe_near(memb, now);
	if (alone_in_zone(memb) ||
	    !base_rng_below(&memb->rng, memb->limits.cross_every))
		probe_far(memb, now);
	if (!base_rng_below(&memb->rng, 4))
		try_dead(memb);
	if (!memb_present_count(memb) || !base_rng_below(&memb->rng, 2))
		try_seed(memb);
}

/* Whoever was asked at first may have been as new as we. */
static bool page_again(uint32_t periods)
{
	return periods == 5 || periods == 15 || periods == 45;
}

/*
 * We stood still.  Nobody may be blamed for answers that we did not read,
 * and others may have given us up: ask them before acting again.
 */
static void paused(memb_t *memb, int64_t now, int64_t gap)
{
	memset(memb->probes, 0, sizeof(memb->probes));
	memset(memb->relays, 0, sizeof(memb->relays));
	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (member->rec.state == MEMB_SUSPECT)
			member->since += gap;
	}
	memb->unsure = true;
	memb->unsure_since = now;
	memb->sure_n = 0;
	memb->sure_seq = memb->seq + 1;
	memb->paged = false;
	memb->next_period = now;
	memb_raise(memb, MEMB_UNSURE, &memb->self);
}

static void ask(memb_t *memb)
{
	memb_member_t *drawn[MEMB_ASKED];
	size_t n = memb_draw(memb, MEMB_WHOM_ANY, NULL, drawn, MEMB_ASKED);

	for (size_t i = 0; i < n; i++)
		memb_ping(memb, drawn[i], ++memb->seq);
}

/* In turn, so that each entry of a zone is probed once in a round. */
static void probe_near(memb_t *memb, int64_t now)
{
	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(
			memb->members, memb->near_next++ % memb->members->len);

		if (!memb_present(member) || !memb_near(memb, member))
			continue;
		probe(memb, member, now);
		return;
	}
}

static void probe_far(memb_t *memb, int64_t now)
{
	memb_member_t *member;

	if (memb_draw(memb, MEMB_WHOM_FAR, NULL, &member, 1))
		probe(memb, member, now);
}

static void probe(memb_t *memb, memb_member_t *member, int64_t now)
{
	for (size_t i = 0; i < MEMB_PROBES_MAX; i++) {
		memb_probe_t *free = &memb->probes[i];

		if (free->id[0])
			continue;
		g_strlcpy(free->id, member->rec.id, sizeof(free->id));
		free->seq = ++memb->seq;
		free->indirect = false;
		free->until = now + memb->limits.ack_us;
		memb_ping(memb, member, free->seq);
		return;
	}
}

static void expire_probes(memb_t *memb, int64_t now)
{
	for (size_t i = 0; i < MEMB_PROBES_MAX; i++) {
		memb_probe_t *probe = &memb->probes[i];
		memb_member_t *member;

		if (!probe->id[0] || now < probe->until)
			continue;
		member = memb_lookup(memb, probe->id);
		if (member && memb_present(member) && !probe->indirect) {
			ask_helpers(memb, probe, member, now);
			continue;
		}
		probe->id[0] = '\0';
		if (member && member->rec.state == MEMB_ALIVE) {
			memb_set_state(memb, member, MEMB_SUSPECT, now);
			memb_tell(memb, MEMB_WHOM_ANY, 1);
		}
	}
}

/* The link may be at fault: try again, through others too. */
static void ask_helpers(memb_t *memb, memb_probe_t *probe,
			const memb_member_t *member, int64_t now)
{
	memb_member_t *drawn[8];
	memb_msg_t msg;
	size_t n = memb_draw(memb, MEMB_WHOM_ANY, probe->id, drawn,
			     MIN(memb->limits.helpers, ARRAY_SIZE(drawn)));

	probe->indirect = true;
	probe->until = now + 2 * memb->limits.ack_us;
	memb_ping(memb, member, probe->seq);
	for (size_t i = 0; i < n; i++) {
		memb_fill(memb, &msg, MEMB_PING_FOR, member);
		msg.seq = probe->seq;
		g_strlcpy(msg.target, member->rec.id, sizeof(msg.target));
		msg.target_addr = member->rec.addr;
		memb_send(memb, drawn[i]->rec.addr, drawn[i]->rec.zone, &msg);
	}
}

static void give_up(memb_t *memb, int64_t now)
{
	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (member->rec.state == MEMB_SUSPECT &&
		    now - member->since >= memb->limits.suspect_us)
			memb_set_state(memb, member, MEMB_DEAD, now);
	}
}

/* It may live behind a link that was cut, and can only refute what it hears */
static void try_dead(memb_t *memb)
{
	memb_member_t *member;

	if (memb_draw(memb, MEMB_WHOM_DEAD, NULL, &member, 1))
		memb_ping(memb, member, ++memb->seq);
}

/* One of the seeds at which we know nobody. */
static void try_seed(memb_t *memb)
{
	memb_msg_t msg;
	memb_addr_t seed = { 0 };
	uint32_t unknown = 0;

	for (size_t i = 0; i < memb->seeds_n; i++) {
		if (known_at(memb, memb->seeds[i]))
			continue;
		unknown++;
		if (!base_rng_below(&memb->rng, unknown))
			seed = memb->seeds[i];
	}
	if (!unknown)
		return;
	memb_fill(memb, &msg, MEMB_PING, NULL);
	msg.seq = ++memb->seq;
	memb_send(memb, seed, "", &msg);
}

static bool known_at(const memb_t *memb, memb_addr_t addr)
{
	const memb_addr_t *own = &memb->self.addr;

	if (own->ip == addr.ip && own->port == addr.port)
		return true;
	for (guint i = 0; i < memb->members->len; i++) {
		const memb_member_t *member =
			g_ptr_array_index(memb->members, i);

		if (memb_present(member) && member->rec.addr.ip == addr.ip &&
		    member->rec.addr.port == addr.port)
			return true;
	}
	return false;
}

static void tell_leave(memb_t *memb)
{
	if (!memb->leave_tells)
		return;
	memb->leave_tells--;
	memb_tell(memb, MEMB_WHOM_NEAR, MEMB_LEAVE_NEAR);
	memb_tell(memb, MEMB_WHOM_FAR, MEMB_LEAVE_NEAR);
}

static bool alone_in_zone(const memb_t *memb)
{
	for (guint i = 0; i < memb->members->len; i++) {
		const memb_member_t *member =
			g_ptr_array_index(memb->members, i);

		if (memb_present(member) && memb_near(memb, member))
			return false;
	}
	return true;
}
