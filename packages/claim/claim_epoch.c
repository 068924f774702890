#include <jansson.h>
#include <xxhash.h>

#include "claim_int.h"

static bool parse_list(const void *ctx, json_t *array, claim_list_t *list);
static json_t *list_to_json(const claim_list_t *list);
static int pick_member(const claim_list_t *list, unsigned slice, int home);

BASE_ERROR_DOMAIN(claim)

claim_epoch_t *claim_epoch_parse(const void *ctx, base_str_t json, GError **err)
{
	claim_epoch_t *epoch = talloc_zero(ctx, claim_epoch_t);
	json_t *root, *members, *former;
	json_int_t number, settled;
	bool ok = false;

	root = json_loadb(json.ptr, json.len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_unpack(root, "{s:I, s:I, s:o, s:o}", "epoch", &number,
			 "settled", &settled, "members", &members, "former",
			 &former) &&
	    number > 0 && settled >= 0 && settled < number) {
		epoch->number = (uint64_t)number;
		epoch->settled = (uint64_t)settled;
		ok = parse_list(epoch, members, &epoch->current_list) &&
		     parse_list(epoch, former, &epoch->former_list);
	}
	json_decref(root);
	if (ok)
		return epoch;
	talloc_free(epoch);
	g_set_error(err, CLAIM_ERROR, CLAIM_ERR_JSON,
		    "the epoch record is not valid");
	return NULL;
}

void claim_epoch_print(const claim_epoch_t *epoch, base_buf_t *buf)
{
	json_t *root = json_pack("{s:I, s:I, s:o, s:o}", "epoch",
				 (json_int_t)epoch->number, "settled",
				 (json_int_t)epoch->settled, "members",
				 list_to_json(&epoch->current_list), "former",
				 list_to_json(&epoch->former_list));
	char *text = json_dumps(root, JSON_COMPACT);

	base_buf_adds(buf, text);
	free(text);
	json_decref(root);
}

claim_epoch_t *claim_epoch_dup(const void *ctx, const claim_epoch_t *epoch)
{
	claim_epoch_t *copy = talloc_zero(ctx, claim_epoch_t);

	copy->number = epoch->number;
	copy->settled = epoch->settled;
	claim_list_copy(copy, &copy->current_list, &epoch->current_list);
	claim_list_copy(copy, &copy->former_list, &epoch->former_list);
	return copy;
}

void claim_list_copy(const void *ctx, claim_list_t *to,
		     const claim_list_t *from)
{
	to->n = from->n;
	to->members = talloc_zero_array(ctx, claim_member_t, from->n);
	for (size_t i = 0; i < from->n; i++) {
		const claim_member_t *member = &from->members[i];

		to->members[i].id = talloc_strdup(to->members, member->id);
		to->members[i].zone = talloc_strdup(to->members, member->zone);
		to->members[i].incarnation = member->incarnation;
	}
}

claim_pair_t claim_list_pair(const claim_list_t *list, unsigned slice)
{
	claim_pair_t pair;

	pair.home = pick_member(list, slice, CLAIM_NO_MEMBER);
	pair.backup = pair.home == CLAIM_NO_MEMBER
			      ? CLAIM_NO_MEMBER
			      : pick_member(list, slice, pair.home);
	return pair;
}

int claim_list_find(const claim_list_t *list, const char *id,
		    uint64_t incarnation)
{
	for (size_t i = 0; i < list->n; i++)
		if (list->members[i].incarnation == incarnation &&
		    !strcmp(list->members[i].id, id))
			return (int)i;
	return CLAIM_NO_MEMBER;
}

/*
 * The member other than "home" with the highest score, preferably in another
 * zone than the home.
 */
static int pick_member(const claim_list_t *list, unsigned slice, int home)
{
	const char *zone =
		home == CLAIM_NO_MEMBER ? NULL : list->members[home].zone;
	bool best_in_other_zone = false;
	uint64_t best_score = 0;
	int found = CLAIM_NO_MEMBER;

	for (size_t i = 0; i < list->n; i++) {
		const claim_member_t *member = &list->members[i];
		uint64_t score = XXH3_64bits_withSeed(
			member->id, strlen(member->id), slice);
		bool in_other_zone = zone && strcmp(member->zone, zone) != 0;

		if ((int)i == home)
			continue;
		if (found != CLAIM_NO_MEMBER &&
		    (in_other_zone < best_in_other_zone ||
		     (in_other_zone == best_in_other_zone &&
		      score <= best_score)))
			continue;
		found = (int)i;
		best_in_other_zone = in_other_zone;
		best_score = score;
	}
	return found;
}

static bool parse_list(const void *ctx, json_t *array, claim_list_t *list)
{
	json_t *item;
	size_t i;

	if (!json_is_array(array))
		return false;
	list->n = json_array_size(array);
	list->members = talloc_zero_array(ctx, claim_member_t, list->n);
	json_array_foreach(array, i, item)
	{
		claim_member_t *member = &list->members[i];
		const char *id, *zone;
		json_int_t incarnation;

		if (json_unpack(item, "{s:s, s:s, s:I}", "id", &id, "zone",
				&zone, "incarnation", &incarnation))
			return false;
		member->id = talloc_strdup(list->members, id);
		member->zone = talloc_strdup(list->members, zone);
		member->incarnation = (uint64_t)incarnation;
	}
	return true;
}

static json_t *list_to_json(const claim_list_t *list)
{
	json_t *array = json_array();

	for (size_t i = 0; i < list->n; i++) {
		const claim_member_t *member = &list->members[i];

		json_array_append_new(
			array, json_pack("{s:s, s:s, s:I}", "id", member->id,
					 "zone", member->zone, "incarnation",
					 (json_int_t)member->incarnation));
	}
	return array;
}
