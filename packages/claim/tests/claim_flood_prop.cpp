#include "claim_world.h"

namespace
{

// A flood of ids does not exceed the memory limit and evicts no claim that is
// still within its window.
void test_flood()
{
	g_assert_true(rc::check("a flood of ids evicts no claim", [] {
		claim_limits_t l = limits();
		claim_table_opts_t opts = { "e", 1, l };
		claim_table_t *table = claim_table_new(nullptr, &opts);
		claim_member_t me = { "e", "z", 1 };
		claim_epoch_t epoch = { 1, 0, { &me, 1 }, { nullptr, 0 } };
		auto callers = *rc::gen::container<std::vector<uint8_t>>(
			2000, rc::gen::inRange<uint8_t>(0, 4));
		std::vector<claim_take_t> held;
		int64_t now = SEC;

		claim_table_adopt(table, &epoch, now, now);
		for (size_t i = 0; i < callers.size(); i++) {
			claim_take_t take = {};
			claim_reply_t reply;

			take.id = claim_id(base_str("c"),
					   { (const char *)&i, sizeof(i) });
			take.attempt = { 1, i + 1 };
			take.caller = callers[i];
			take.epoch = 1;
			now += MS;
			claim_table_confirm(table, 1, now);
			claim_table_take(table, &take, now, &reply);
			if (reply.verdict == CLAIM_GRANTED)
				held.push_back(take);
			else
				RC_ASSERT(reply.verdict == CLAIM_FULL);
		}
		RC_ASSERT(claim_table_stats(table, now).records <=
			  l.max_records);
		RC_ASSERT(held.size() >= l.max_records / 2);
		for (claim_take_t take : held) {
			claim_reply_t reply;

			take.attempt.entry = 2;
			claim_table_take(table, &take, now, &reply);
			RC_ASSERT(reply.verdict == CLAIM_HELD);
		}
		talloc_free(table);
	}));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/flood", test_flood);
	return g_test_run();
}
