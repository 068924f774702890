#include "memb_int.h"

static void run_period(memb_t *memb, int64_t now);
static bool pages_due(uint32_t periods);
static void resume_after_pause(memb_t *memb, int64_t now, int64_t gap);
static void ping_for_confirmation(memb_t *memb);
static void probe_own_zone(memb_t *memb, int64_t now);
static void probe_other_zone(memb_t *memb, int64_t now);
static void probe(memb_t *memb, memb_member_t *member, int64_t now);
static void expire_probes(memb_t *memb, int64_t now);
static void probe_indirectly(memb_t *memb, memb_probe_t *probe,
			     const memb_member_t *member, int64_t now);
static void declare_dead(memb_t *memb, int64_t now);
static void ping_dead(memb_t *memb);
static void ping_seed(memb_t *memb);
static bool confirms_membership(const memb_t *memb, const memb_msg_t *msg,
				int64_t now);
static bool is_known_addr(const memb_t *memb, memb_addr_t addr);
static void gossip_leave(memb_t *memb);
static bool alone_in_zone(const memb_t *memb);

void memb_tick(memb_t *memb, int64_t now)
{
	memb_check_pause(memb, now);
	memb->last_tick_us = now;
	expire_probes(memb, now);
	declare_dead(memb, now);
	if (memb->announce_again) {
		memb->announce_again = false;
		memb_announce_config(memb);
	}
	if (now >= memb->next_period_us) {
		memb->next_period_us =
			now + (memb_present_count(memb)
				       ? memb->limits.period_us
				       : memb->limits.period_us / 5);
		run_period(memb, now);
	}
	memb_check_confirmed(memb);
	memb_watch_choose(memb);
}

void memb_check_pause(memb_t *memb, int64_t now)
{
	int64_t gap = memb->last_tick_us ? now - memb->last_tick_us : 0;

	if (gap <= memb->limits.pause_us)
		return;
	memb->last_tick_us = now;
	resume_after_pause(memb, now, gap);
}

void memb_probe_acked(memb_t *memb, const memb_msg_t *msg, int64_t now)
{
	const char *id = msg->target[0] ? msg->target : msg->updates[0].id;

	for (size_t i = 0; i < MEMB_PROBES_MAX; i++)
		if (memb->probes[i].seq == msg->seq &&
		    !strcmp(memb->probes[i].id, id))
			memb->probes[i].id[0] = '\0';
	if (memb->unconfirmed && confirms_membership(memb, msg, now))
		g_strlcpy(memb->confirmed_by[memb->confirmed_n++], id,
			  sizeof(memb->confirmed_by[0]));
}

/*
 * Whether an ack confirms this entry after a pause of this process. An ack from
 * an entry that is itself unconfirmed counts only after suspect_us, when the
 * other entries have had time to answer. Such an ack counts at all because two
 * entries paused together would otherwise never confirm each other.
 */
static bool confirms_membership(const memb_t *memb, const memb_msg_t *msg,
				int64_t now)
{
	const char *id = msg->updates[0].id;

	if (msg->target[0] || msg->seq < memb->confirm_min_seq ||
	    memb->confirmed_n >= MEMB_CONFIRM_MIN ||
	    (memb->confirmed_n && !strcmp(memb->confirmed_by[0], id)))
		return false;
	return msg->cursor != MEMB_ACK_UNCONFIRMED ||
	       now - memb->unconfirmed_since_us >= memb->limits.suspect_us;
}

void memb_check_confirmed(memb_t *memb)
{
	size_t need = MIN((size_t)MEMB_CONFIRM_MIN, memb_present_count(memb));

	if (!memb->unconfirmed || memb->confirmed_n < need)
		return;
	memb->unconfirmed = false;
	memb_raise(memb, MEMB_CONFIRMED, &memb->self);
}

bool memb_is_confirmed(const memb_t *memb, int64_t now)
{
	return !memb->unconfirmed && memb->last_tick_us &&
	       now - memb->last_tick_us <= memb->limits.pause_us;
}

static void run_period(memb_t *memb, int64_t now)
{
	memb->periods++;
	if (pages_due(memb->periods))
		memb->pages_complete = false;
	memb_forget_old(memb, now);
	if (memb->self.state == MEMB_LEFT) {
		gossip_leave(memb);
		return;
	}
	if (memb->unconfirmed)
		ping_for_confirmation(memb);
	probe_own_zone(memb, now);
	if (alone_in_zone(memb) ||
	    !base_rng_below(&memb->rng, memb->limits.cross_zone_every))
		probe_other_zone(memb, now);
	if (!base_rng_below(&memb->rng, 4))
		ping_dead(memb);
	if (!memb_present_count(memb) || !base_rng_below(&memb->rng, 2))
		ping_seed(memb);
}

/*
 * After 5, 15 and 45 probe periods this entry fetches the view of another entry
 * again, because the entry asked before may have been started as recently as
 * this one.
 */
static bool pages_due(uint32_t periods)
{
	return periods == 5 || periods == 15 || periods == 45;
}

/*
 * This process was paused. Acks may wait unread, so open probes are dropped and
 * suspicion timers extended by the pause. Other entries may have declared this
 * one dead, so they must confirm it before it acts again.
 */
static void resume_after_pause(memb_t *memb, int64_t now, int64_t gap)
{
	memset(memb->probes, 0, sizeof(memb->probes));
	memset(memb->relays, 0, sizeof(memb->relays));
	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (member->rec.state == MEMB_SUSPECT)
			member->state_since_us += gap;
	}
	memb->unconfirmed = true;
	memb->unconfirmed_since_us = now;
	memb->confirmed_n = 0;
	memb->confirm_min_seq = memb->seq + 1;
	memb->pages_complete = false;
	memb->next_period_us = now;
	memb_raise(memb, MEMB_UNCONFIRMED, &memb->self);
}

static void ping_for_confirmation(memb_t *memb)
{
	memb_member_t *sample[MEMB_CONFIRM_PINGS];
	size_t n = memb_sample(memb, MEMB_FILTER_PRESENT, NULL, sample,
			       MEMB_CONFIRM_PINGS);

	for (size_t i = 0; i < n; i++)
		memb_ping(memb, sample[i], ++memb->seq);
}

/*
 * Probes in rotation, so that each entry of the zone is probed once in each
 * pass over them.
 */
static void probe_own_zone(memb_t *memb, int64_t now)
{
	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(
			memb->members,
			memb->own_zone_next++ % memb->members->len);

		if (!memb_present(member) || !memb_same_zone(memb, member))
			continue;
		probe(memb, member, now);
		return;
	}
}

static void probe_other_zone(memb_t *memb, int64_t now)
{
	memb_member_t *member;

	if (memb_sample(memb, MEMB_FILTER_OTHER_ZONES, NULL, &member, 1))
		probe(memb, member, now);
}

static void probe(memb_t *memb, memb_member_t *member, int64_t now)
{
	for (size_t i = 0; i < MEMB_PROBES_MAX; i++) {
		memb_probe_t *slot = &memb->probes[i];

		if (slot->id[0])
			continue;
		g_strlcpy(slot->id, member->rec.id, sizeof(slot->id));
		slot->seq = ++memb->seq;
		slot->indirect = false;
		slot->deadline_us = now + memb->limits.ack_us;
		memb_ping(memb, member, slot->seq);
		return;
	}
}

static void expire_probes(memb_t *memb, int64_t now)
{
	for (size_t i = 0; i < MEMB_PROBES_MAX; i++) {
		memb_probe_t *probe = &memb->probes[i];
		memb_member_t *member;

		if (!probe->id[0] || now < probe->deadline_us)
			continue;
		member = memb_lookup(memb, probe->id);
		if (member && memb_present(member) && !probe->indirect) {
			probe_indirectly(memb, probe, member, now);
			continue;
		}
		probe->id[0] = '\0';
		if (member && member->rec.state == MEMB_ALIVE) {
			memb_set_state(memb, member, MEMB_SUSPECT, now);
			memb_send_gossip(memb, MEMB_FILTER_PRESENT, 1);
		}
	}
}

/*
 * The direct path to the entry may be at fault, so it is pinged again directly
 * and also through other entries.
 */
static void probe_indirectly(memb_t *memb, memb_probe_t *probe,
			     const memb_member_t *member, int64_t now)
{
	memb_member_t *sample[8];
	memb_msg_t msg;
	size_t n = memb_sample(
		memb, MEMB_FILTER_PRESENT, probe->id, sample,
		MIN(memb->limits.indirect_probers, ARRAY_SIZE(sample)));

	probe->indirect = true;
	probe->deadline_us = now + 2 * memb->limits.ack_us;
	memb_ping(memb, member, probe->seq);
	for (size_t i = 0; i < n; i++) {
		memb_fill(memb, &msg, MEMB_PING_REQ, member);
		msg.seq = probe->seq;
		g_strlcpy(msg.target, member->rec.id, sizeof(msg.target));
		msg.target_addr = member->rec.addr;
		memb_send(memb, sample[i]->rec.addr, sample[i]->rec.zone, &msg);
	}
}

static void declare_dead(memb_t *memb, int64_t now)
{
	for (guint i = 0; i < memb->members->len; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (member->rec.state == MEMB_SUSPECT &&
		    now - member->state_since_us >= memb->limits.suspect_us)
			memb_set_state(memb, member, MEMB_DEAD, now);
	}
}

/*
 * Pings an entry that was declared dead. The entry may be alive beyond a
 * network partition, and can refute its death only after a message has told the
 * entry that it was declared dead.
 */
static void ping_dead(memb_t *memb)
{
	memb_member_t *member;

	if (memb_sample(memb, MEMB_FILTER_DEAD, NULL, &member, 1))
		memb_ping(memb, member, ++memb->seq);
}

/* Pings a random seed address at which no present entry is known. */
static void ping_seed(memb_t *memb)
{
	memb_msg_t msg;
	memb_addr_t seed = { 0 };
	uint32_t unknown = 0;

	for (size_t i = 0; i < memb->seeds_n; i++) {
		if (is_known_addr(memb, memb->seeds[i]))
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

static bool is_known_addr(const memb_t *memb, memb_addr_t addr)
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

static void gossip_leave(memb_t *memb)
{
	if (!memb->leave_periods)
		return;
	memb->leave_periods--;
	memb_send_gossip(memb, MEMB_FILTER_OWN_ZONE, MEMB_LEAVE_OWN_ZONE);
	memb_send_gossip(memb, MEMB_FILTER_OTHER_ZONES, MEMB_LEAVE_OWN_ZONE);
}

static bool alone_in_zone(const memb_t *memb)
{
	for (guint i = 0; i < memb->members->len; i++) {
		const memb_member_t *member =
			g_ptr_array_index(memb->members, i);

		if (memb_present(member) && memb_same_zone(memb, member))
			return false;
	}
	return true;
}
