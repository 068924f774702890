#include "memb_int.h"

static bool fits(const memb_t *memb, const memb_member_t *member,
		 memb_whom_t whom);

memb_member_t *memb_lookup(const memb_t *memb, const char *id)
{
	return g_hash_table_lookup(memb->by_id, id);
}

memb_member_t *memb_add(memb_t *memb, const memb_record_t *rec, int64_t now)
{
	memb_member_t *member;

	if (memb->members->len >= MEMB_MEMBERS_MAX)
		return NULL;
	member = g_new0(memb_member_t, 1);
	member->rec = *rec;
	member->since = now;
	g_ptr_array_add(memb->members, member);
	g_hash_table_insert(memb->by_id, member->rec.id, member);
	return member;
}

void memb_forget_old(memb_t *memb, int64_t now)
{
	for (guint i = memb->members->len; i-- > 0;) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (memb_present(member) ||
		    now - member->since < memb->limits.dead_keep_us)
			continue;
		g_hash_table_remove(memb->by_id, member->rec.id);
		g_ptr_array_remove_index_fast(memb->members, i);
	}
}

bool memb_near(const memb_t *memb, const memb_member_t *member)
{
	return !strcmp(memb->self.zone, member->rec.zone);
}

bool memb_present(const memb_member_t *member)
{
	return member->rec.state == MEMB_ALIVE ||
	       member->rec.state == MEMB_SUSPECT;
}

size_t memb_present_count(const memb_t *memb)
{
	size_t n = 0;

	for (guint i = 0; i < memb->members->len; i++)
		n += memb_present(g_ptr_array_index(memb->members, i));
	return n;
}

/* Reservoir sampling: each member that fits is drawn with equal chance. */
size_t memb_draw(memb_t *memb, memb_whom_t whom, const char *but,
		 memb_member_t **drawn, size_t n)
{
	size_t fitting = 0;

	for (guint i = 0; i < memb->members->len && n; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);
		uint32_t at;

		if (!fits(memb, member, whom) ||
		    (but && !strcmp(but, member->rec.id)))
			continue;
		fitting++;
		if (fitting <= n) {
			drawn[fitting - 1] = member;
			continue;
		}
		at = base_rng_below(&memb->rng, (uint32_t)fitting);
		if (at < n)
			drawn[at] = member;
	}
	return MIN(fitting, n);
}

static bool fits(const memb_t *memb, const memb_member_t *member,
		 memb_whom_t whom)
{
	switch (whom) {
	case MEMB_WHOM_NEAR:
		return memb_present(member) && memb_near(memb, member);
	case MEMB_WHOM_FAR:
		return memb_present(member) && !memb_near(memb, member);
	case MEMB_WHOM_ANY:
		return memb_present(member);
	case MEMB_WHOM_DEAD:
		return member->rec.state == MEMB_DEAD;
	case MEMB_WHOM_MAX:
		break;
	}
	return false;
}
