#include "memb_int.h"

static bool matches_filter(const memb_t *memb, const memb_member_t *member,
			   memb_filter_t filter);

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
	member->state_since_us = now;
	g_ptr_array_add(memb->members, member);
	g_hash_table_insert(memb->by_id, member->rec.id, member);
	return member;
}

void memb_forget_old(memb_t *memb, int64_t now)
{
	for (guint i = memb->members->len; i-- > 0;) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);

		if (memb_present(member) ||
		    now - member->state_since_us < memb->limits.dead_keep_us)
			continue;
		g_hash_table_remove(memb->by_id, member->rec.id);
		g_ptr_array_remove_index_fast(memb->members, i);
	}
}

bool memb_same_zone(const memb_t *memb, const memb_member_t *member)
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

/* Reservoir sampling: each matching member is drawn with equal probability. */
size_t memb_sample(memb_t *memb, memb_filter_t filter, const char *exclude_id,
		   memb_member_t **sample, size_t n)
{
	size_t matching = 0;

	for (guint i = 0; i < memb->members->len && n; i++) {
		memb_member_t *member = g_ptr_array_index(memb->members, i);
		uint32_t at;

		if (!matches_filter(memb, member, filter) ||
		    (exclude_id && !strcmp(exclude_id, member->rec.id)))
			continue;
		matching++;
		if (matching <= n) {
			sample[matching - 1] = member;
			continue;
		}
		at = base_rng_below(&memb->rng, (uint32_t)matching);
		if (at < n)
			sample[at] = member;
	}
	return MIN(matching, n);
}

static bool matches_filter(const memb_t *memb, const memb_member_t *member,
			   memb_filter_t filter)
{
	switch (filter) {
	case MEMB_FILTER_OWN_ZONE:
		return memb_present(member) && memb_same_zone(memb, member);
	case MEMB_FILTER_OTHER_ZONES:
		return memb_present(member) && !memb_same_zone(memb, member);
	case MEMB_FILTER_PRESENT:
		return memb_present(member);
	case MEMB_FILTER_DEAD:
		return member->rec.state == MEMB_DEAD;
	case MEMB_FILTER_MAX:
		break;
	}
	return false;
}
