#include "claim_int.h"

static bool same_list(const claim_list_t *a, const claim_list_t *b);
static bool may_remove_members(const claim_list_t *list,
			       const claim_view_t *view);
static bool orphans_slice(const claim_list_t *list, const claim_list_t *live);
static bool list_has_member(const claim_list_t *live, const claim_list_t *list,
			    int i);
static void keep_newest_incarnations(claim_list_t *list);

claim_epoch_t *claim_propose(const void *ctx, const claim_table_t *table,
			     const claim_view_t *view, bool none_in_store,
			     int64_t now)
{
	const claim_epoch_t *epoch = table->epoch;
	claim_epoch_t *next;

	if ((!epoch && !none_in_store) || !view->live.n ||
	    (!view->leaving &&
	     (now - view->since < CLAIM_VIEW_STABLE_US ||
	      claim_table_self(table, &view->live) == CLAIM_NO_MEMBER)))
		return NULL;
	if (epoch && orphans_slice(&epoch->current_list, &view->live) &&
	    claim_table_settled(table, now) + 1 < epoch->number &&
	    now - table->adopted_at < CLAIM_SETTLE_US)
		return NULL;
	if (epoch && view->copying && now - table->adopted_at < CLAIM_COPY_US)
		return NULL;
	if (epoch && !may_remove_members(&epoch->current_list, view))
		return NULL;
	next = talloc_zero(ctx, claim_epoch_t);
	claim_list_copy(next, &next->current_list, &view->live);
	keep_newest_incarnations(&next->current_list);
	if (epoch && same_list(&next->current_list, &epoch->current_list)) {
		talloc_free(next);
		return NULL;
	}
	next->number = epoch ? epoch->number + 1 : 1;
	next->settled = claim_table_settled(table, now);
	if (epoch)
		claim_list_copy(next, &next->former_list, &epoch->current_list);
	return next;
}

static bool same_list(const claim_list_t *a, const claim_list_t *b)
{
	if (a->n != b->n)
		return false;
	for (size_t i = 0; i < a->n; i++)
		if (claim_list_find(b, a->members[i].id,
				    a->members[i].incarnation) ==
		    CLAIM_NO_MEMBER)
			return false;
	return true;
}

/*
 * Whether the members of "list" that are not live may be removed: a majority is
 * live, or each of the others has left or lost its registration.
 */
static bool may_remove_members(const claim_list_t *list,
			       const claim_view_t *view)
{
	size_t live = 0, unsure = 0;

	for (size_t i = 0; i < list->n; i++) {
		const claim_member_t *member = &list->members[i];

		if (claim_list_find(&view->live, member->id,
				    member->incarnation) != CLAIM_NO_MEMBER)
			live++;
		else if (claim_list_find(&view->left, member->id,
					 member->incarnation) ==
				 CLAIM_NO_MEMBER &&
			 claim_list_find(&view->registered, member->id,
					 member->incarnation) !=
				 CLAIM_NO_MEMBER)
			unsure++;
	}
	return !unsure || live * 2 > list->n;
}

/* Whether "live" has neither home nor backup of some slice of "list". */
static bool orphans_slice(const claim_list_t *list, const claim_list_t *live)
{
	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		claim_pair_t pair = claim_list_pair(list, i);

		if (!list_has_member(live, list, pair.home) &&
		    !list_has_member(live, list, pair.backup))
			return true;
	}
	return false;
}

static bool list_has_member(const claim_list_t *live, const claim_list_t *list,
			    int i)
{
	return i != CLAIM_NO_MEMBER &&
	       claim_list_find(live, list->members[i].id,
			       list->members[i].incarnation) != CLAIM_NO_MEMBER;
}

static void keep_newest_incarnations(claim_list_t *list)
{
	size_t n = 0;

	for (size_t i = 0; i < list->n; i++) {
		bool newest = true;

		for (size_t j = 0; j < list->n; j++)
			if (!strcmp(list->members[i].id, list->members[j].id) &&
			    list->members[j].incarnation >
				    list->members[i].incarnation)
				newest = false;
		if (newest)
			list->members[n++] = list->members[i];
	}
	list->n = n;
}
