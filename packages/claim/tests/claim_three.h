/*
 * claim_three - test fixtures: a list of three entries and their tables.
 */
#ifndef CLAIM_THREE_H
#define CLAIM_THREE_H

#include "claim.h"

#define NOW (1000 * BASE_SEC)

static const claim_member_t three[] = {
	{ "a", "z1", 1 },
	{ "b", "z2", 1 },
	{ "c", "z3", 1 },
};

static inline claim_epoch_t epoch_of(uint64_t number, claim_list_t now,
				     claim_list_t former)
{
	return (claim_epoch_t){ .number = number,
				.settled = number < 2 ? 0 : number - 2,
				.current_list = now,
				.former_list = former };
}

static inline claim_list_t list_of(const claim_member_t *members, size_t n)
{
	return (claim_list_t){ (claim_member_t *)members, n };
}

static inline claim_table_t *new_table(const char *entry, uint32_t max_records)
{
	claim_table_opts_t opts = { entry, 1, claim_limits_default };

	opts.limits.max_records = max_records;
	return claim_table_new(NULL, &opts);
}

/* A table in epoch 1 of "three". */
static inline claim_table_t *new_table_in_epoch_1(const char *entry,
						  uint32_t max_records)
{
	claim_table_t *table = new_table(entry, max_records);
	claim_epoch_t epoch = epoch_of(1, list_of(three, 3), list_of(NULL, 0));

	g_assert_true(claim_table_adopt(table, &epoch, NOW, NOW));
	g_assert_false(claim_table_adopt(table, &epoch, NOW, NOW));
	return table;
}

/*
 * The id number "skip", from 0, of those whose home (or backup) in "three" is
 * "a".
 */
static inline claim_id_t nth_id(bool home, unsigned skip)
{
	claim_list_t list = list_of(three, 3);
	char key[16];

	for (unsigned i = 0;; i++) {
		claim_id_t id;
		claim_pair_t pair;

		snprintf(key, sizeof(key), "%u", i);
		id = claim_id(BASE_STR("caller"), base_str(key));
		pair = claim_list_pair(&list, claim_id_slice(id));
		if ((home ? pair.home : pair.backup) == 0 && !skip--)
			return id;
	}
}

static inline claim_take_t take_of(claim_id_t id, uint64_t attempt)
{
	return (claim_take_t){ .id = id,
			       .attempt = { 7, attempt },
			       .fingerprint = 5,
			       .caller = 3,
			       .epoch = 1 };
}

static inline claim_verdict_t take_at(claim_table_t *table, claim_take_t take,
				      int64_t now)
{
	claim_reply_t reply;

	claim_table_take(table, &take, now, &reply);
	return reply.verdict;
}

#endif
