#include "memb_int.h"

static void merge_self(memb_t *memb, const memb_record_t *rec);
static void merge_new(memb_t *memb, const memb_record_t *rec, int64_t now);
static void merge_known(memb_t *memb, memb_member_t *member,
			const memb_record_t *rec, int64_t now);
static memb_state_t softened(const memb_record_t *rec);
static void take_rest(memb_t *memb, memb_member_t *member,
		      const memb_record_t *rec);
static memb_event_t event_of(memb_state_t was, memb_state_t is);
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
	memb_state_t was = member->rec.state;

	if (was == state)
		return;
	member->rec.state = state;
	member->since = now;
	if (state == MEMB_DEAD)
		member->buried = member->rec.incarnation;
	member->hot = memb_hot_times(memb);
	memb_raise(memb, event_of(was, state), &member->rec);
}

/*
 * We may have refuted a suspicion without knowing that it had become more, so
 * that the record of it is gone by the time that we ask.
 */
void memb_given_up(memb_t *memb, uint64_t incarnation)
{
	if (incarnation < memb->first || incarnation <= memb->buried)
		return;
	memb->buried = incarnation;
	memb_raise(memb, MEMB_GIVEN_UP, &memb->self);
}

/* Others are wrong about us, or remember an earlier life: refute it. */
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
		memb_raise(memb, MEMB_CLASH, rec);
	self->incarnation = rec->incarnation + 1;
	self->revision++;
	if (rec->state == MEMB_DEAD)
		memb_given_up(memb, rec->incarnation);
	memb_tell(memb, MEMB_WHOM_ANY, memb->limits.news_near);
}

/* Of an entry that we forgot, or never knew, only its life is news. */
static void merge_new(memb_t *memb, const memb_record_t *rec, int64_t now)
{
	memb_member_t *member;

	if (rec->state == MEMB_DEAD || rec->state == MEMB_LEFT)
		return;
	member = memb_add(memb, rec, now);
	if (!member)
		return;
	member->hot = memb_hot_times(memb);
	memb_raise(memb, MEMB_JOINED, &member->rec);
}

static void merge_known(memb_t *memb, memb_member_t *member,
			const memb_record_t *rec, int64_t now)
{
	memb_record_t *known = &member->rec;
	memb_state_t was = known->state;
	memb_state_t said = softened(rec);

	if (rec->incarnation < known->incarnation)
		return;
	if (rec->incarnation > known->incarnation) {
		*known = *rec;
		known->state = was;
		member->hot = memb_hot_times(memb);
		memb_set_state(memb, member, said, now);
		return;
	}
	if (rec->revision > known->revision)
		take_rest(memb, member, rec);
	if (said > known->state)
		memb_set_state(memb, member, said, now);
}

/*
 * Nobody is buried on another's word: those behind a cut link may have given
 * up all of this side.  It counts as suspicion, and the entry has the whole
 * time to refute it.
 */
static memb_state_t softened(const memb_record_t *rec)
{
	return rec->state == MEMB_DEAD ? MEMB_SUSPECT : rec->state;
}

static void take_rest(memb_t *memb, memb_member_t *member,
		      const memb_record_t *rec)
{
	memb_record_t *known = &member->rec;
	bool claims =
		known->epoch != rec->epoch || known->sealed != rec->sealed;
	uint32_t times = claims ? memb_hot_times(memb) : 1;

	known->revision = rec->revision;
	known->generation = rec->generation;
	known->in_force = rec->in_force;
	known->epoch = rec->epoch;
	known->sealed = rec->sealed;
	member->hot = MAX(member->hot, times);
}

static memb_event_t event_of(memb_state_t was, memb_state_t is)
{
	switch (is) {
	case MEMB_ALIVE:
		return was == MEMB_SUSPECT ? MEMB_REFUTED : MEMB_JOINED;
	case MEMB_SUSPECT:
		return MEMB_SUSPECTED;
	case MEMB_DEAD:
		return MEMB_DIED;
	case MEMB_LEFT:
	case MEMB_STATE_MAX:
		break;
	}
	return MEMB_GONE;
}

static bool name_ok(const char *name)
{
	size_t len = strnlen(name, MEMB_NAME_MAX + 1);

	return len && len <= MEMB_NAME_MAX;
}
