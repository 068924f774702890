#include <xxhash.h>

#include "memb_int.h"

static uint64_t score(const char *id);

/*
 * The entries of a zone with the highest scores watch the store for a new
 * configuration. Each entry computes the scores from its own view. While views
 * differ, a few more or fewer entries may watch, which costs extra store calls
 * or some delay but breaks no guarantee.
 */
void memb_watch_choose(memb_t *memb)
{
	uint64_t own = score(memb->self.id);
	uint32_t higher = 0;
	bool chosen;

	for (guint i = 0; i < memb->members->len; i++) {
		const memb_member_t *member =
			g_ptr_array_index(memb->members, i);

		if (member->rec.state == MEMB_ALIVE &&
		    memb_same_zone(memb, member))
			higher += score(member->rec.id) > own;
	}
	chosen = memb->self.state == MEMB_ALIVE &&
		 higher < memb->limits.watchers;
	if (chosen == memb->is_watcher)
		return;
	memb->is_watcher = chosen;
	memb_raise(memb, chosen ? MEMB_WATCH_BEGIN : MEMB_WATCH_END,
		   &memb->self);
}

bool memb_is_watcher(const memb_t *memb)
{
	return memb->is_watcher;
}

static uint64_t score(const char *id)
{
	return XXH64(id, strlen(id), 0);
}
