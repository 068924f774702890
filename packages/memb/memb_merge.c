#include "memb_int.h"

static void merge_self(memb_t *memb, const memb_record_t *rec);
static void merge_new(memb_t *memb, const memb_record_t *rec, int64_t now);
static void merge_known(memb_t *memb, memb_member_t *member,
			const memb_record_t *rec, int64_t now);
static memb_state_t effective_state(const memb_record_t *rec);
static void update_details(memb_t *memb, memb_member_t *member,
			   const memb_record_t *rec);
static memb_event_t state_event(memb_state_t old_state, memb_state_t new_state);
static bool name_ok(const char *name);

bool memb_record_ok(const memb_record_t *rec)
{
	return name_ok(rec->id) && name_ok(rec->zone) && rec->addr.ip &&
	       rec->addr.port && (unsigned int)rec->state < MEMB_STATE_MAX &&
	       rec->incarnation && rec->incarnation < UINT64_MAX / 2;
}

void memb_merge(memb_t *memb, const memb_record_t *rec, int64_t now)
{
	memb_member_t *member;

	if (!strcmp(rec->id, memb->self.id)) {
		merge_self(memb, rec);
		return;
	}
	member = memb_lookup(memb, rec->id);
	if (member)
		merge_known(memb, member, rec, now);
	else
		merge_new(memb, rec, now);
}

void memb_set_state(memb_t *memb, memb_member_t *member, memb_state_t state,
		    int64_t now)
{
	memb_state_t old_state = member->rec.state;

	if (old_state == state)
		return;
	member->rec.state = state;
	member->state_since_us = now;
	if (state == MEMB_DEAD)
		member->dead_incarnation = member->rec.incarnation;
	member->transmits_left = memb_transmit_limit(memb);
	memb_raise(memb, state_event(old_state, state), &member->rec);
}

/*
 * When this entry refutes a suspicion, its new record replaces the old one at
 * the other entries. An entry that had declared this one dead in the meantime
 * then no longer has a record of that. Messages therefore carry the latest
 * incarnation of the receiver that the sender declared dead.
 */
void memb_self_declared_dead(memb_t *memb, uint64_t incarnation)
{
	if (incarnation < memb->first_incarnation ||
	    incarnation <= memb->self_dead_incarnation)
		return;
	memb->self_dead_incarnation = incarnation;
	memb_raise(memb, MEMB_SELF_DECLARED_DEAD, &memb->self);
}

/*
 * Refutes a record that does not show us alive, or that carries a newer
 * incarnation (left over from an earlier start), by raising our incarnation
 * above it.
 */
static void merge_self(memb_t *memb, const memb_record_t *rec)
{
	memb_record_t *self = &memb->self;

	if (rec->incarnation < self->incarnation ||
	    (rec->incarnation == self->incarnation &&
	     rec->state == MEMB_ALIVE) ||
	    self->state == MEMB_LEFT)
		return;
	if (rec->state == MEMB_ALIVE && (rec->addr.ip != self->addr.ip ||
					 rec->addr.port != self->addr.port))
		memb_raise(memb, MEMB_ID_CONFLICT, rec);
	self->incarnation = rec->incarnation + 1;
	self->revision++;
	if (rec->state == MEMB_DEAD)
		memb_self_declared_dead(memb, rec->incarnation);
	memb_send_gossip(memb, MEMB_FILTER_PRESENT,
			 memb->limits.fanout_own_zone);
}

/*
 * An unknown entry is added only if it is reported alive or suspect. A death or
 * leave of an entry that we never knew or have forgotten changes nothing.
 */
static void merge_new(memb_t *memb, const memb_record_t *rec, int64_t now)
{
	memb_member_t *member;

	if (rec->state == MEMB_DEAD || rec->state == MEMB_LEFT)
		return;
	member = memb_add(memb, rec, now);
	if (!member)
		return;
	member->transmits_left = memb_transmit_limit(memb);
	memb_raise(memb, MEMB_JOINED, &member->rec);
}

static void merge_known(memb_t *memb, memb_member_t *member,
			const memb_record_t *rec, int64_t now)
{
	memb_record_t *known = &member->rec;
	memb_state_t old_state = known->state;
	memb_state_t reported = effective_state(rec);

	if (rec->incarnation < known->incarnation)
		return;
	if (rec->incarnation > known->incarnation) {
		*known = *rec;
		known->state = old_state;
		member->transmits_left = memb_transmit_limit(memb);
		memb_set_state(memb, member, reported, now);
		return;
	}
	if (rec->revision > known->revision)
		update_details(memb, member, rec);
	if (reported > known->state)
		memb_set_state(memb, member, reported, now);
}

/*
 * A death reported by another entry counts only as suspicion, so the entry has
 * the full timeout to refute it: entries beyond a network partition may have
 * declared dead all entries on this side.
 */
static memb_state_t effective_state(const memb_record_t *rec)
{
	return rec->state == MEMB_DEAD ? MEMB_SUSPECT : rec->state;
}

static void update_details(memb_t *memb, memb_member_t *member,
			   const memb_record_t *rec)
{
	memb_record_t *known = &member->rec;
	bool claims_changed =
		known->epoch != rec->epoch || known->sealed != rec->sealed;
	uint32_t times = claims_changed ? memb_transmit_limit(memb) : 1;

	known->revision = rec->revision;
	known->generation = rec->generation;
	known->in_force_wall_us = rec->in_force_wall_us;
	known->epoch = rec->epoch;
	known->sealed = rec->sealed;
	member->transmits_left = MAX(member->transmits_left, times);
}

static memb_event_t state_event(memb_state_t old_state, memb_state_t new_state)
{
	switch (new_state) {
	case MEMB_ALIVE:
		return old_state == MEMB_SUSPECT ? MEMB_REFUTED : MEMB_JOINED;
	case MEMB_SUSPECT:
		return MEMB_SUSPECTED;
	case MEMB_DEAD:
		return MEMB_DIED;
	case MEMB_LEFT:
	case MEMB_STATE_MAX:
		break;
	}
	return MEMB_LEFT_AS_PLANNED;
}

static bool name_ok(const char *name)
{
	size_t len = strnlen(name, MEMB_NAME_MAX + 1);

	return len && len <= MEMB_NAME_MAX;
}
