#include "claim_three.h"

static void test_propose(void)
{
	claim_table_t *table = new_table("a", 100);
	claim_view_t view = { .live = list_of(three, 3),
			      .registered = list_of(three, 3),
			      .since = NOW };
	int64_t now = NOW + CLAIM_VIEW_STABLE_US;
	claim_epoch_t *first, *second;

	g_assert_null(claim_propose(table, table, &view, false, now));
	first = claim_propose(table, table, &view, true, now);
	g_assert_cmpuint(first->number, ==, 1);
	claim_table_adopt(table, first, now, now);
	g_assert_null(claim_propose(table, table, &view, false, now));
	view.live.n = 2;
	second = claim_propose(table, table, &view, false, now);
	g_assert_cmpuint(second->number, ==, 2);
	/* A minority removes no member that is still registered. */
	view.live.n = 1;
	g_assert_null(claim_propose(table, table, &view, false, now));
	view.registered.n = 1;
	g_assert_nonnull(claim_propose(table, table, &view, false, now));
	talloc_free(table);
}

/*
 * Of two entries, the one that stops removes itself from the list, but only
 * once no slice is copied any more or CLAIM_COPY_US have passed.
 */
static void test_propose_leaving(void)
{
	claim_table_t *table = new_table("a", 100);
	claim_epoch_t epoch = epoch_of(1, list_of(three, 2), list_of(NULL, 0));
	claim_view_t view = { .live = list_of(&three[1], 1),
			      .registered = list_of(three, 2),
			      .since = NOW,
			      .copying = true,
			      .leaving = true };
	int64_t late = NOW + CLAIM_COPY_US;

	claim_table_adopt(table, &epoch, NOW, NOW);
	g_assert_null(claim_propose(table, table, &view, false, late));
	view.left = list_of(three, 1);
	g_assert_null(claim_propose(table, table, &view, false, NOW));
	g_assert_nonnull(claim_propose(table, table, &view, false, late));
	view.copying = false;
	g_assert_nonnull(claim_propose(table, table, &view, false, NOW));
	talloc_free(table);
}

/*
 * Count the hellos to "n" up-to-date peers in 600 s; check that each peer gets
 * enough of them.
 */
static unsigned greeted_idle(size_t n, bool doubt)
{
	claim_greet_self_t self = { claim_greet_pack_state(7, false, false), 7,
				    doubt };
	claim_greeter_t greeter = { .last_state = self.state_word };
	claim_greet_peer_t peers[63];
	unsigned counts[63] = { 0 }, all = 0;
	bool due[63];

	for (size_t i = 0; i < n; i++)
		peers[i] = (claim_greet_peer_t){ true, self.state_word, 7, 0 };
	for (int64_t at = 0; at < 600 * BASE_SEC; at += 250 * BASE_MS) {
		claim_greet(&greeter, &self, peers, n, NOW + at, due);
		for (size_t i = 0; i < n; i++)
			counts[i] += due[i];
	}
	for (size_t i = 0; i < n; i++) {
		g_assert_cmpuint(counts[i], >=, doubt ? 200 : 3);
		all += counts[i];
	}
	return all;
}

static void test_greet_idle(void)
{
	g_assert_cmpuint(greeted_idle(15, false), ==, 200);
	g_assert_cmpuint(greeted_idle(63, false), ==, 200);
	g_assert_cmpuint(greeted_idle(2, false), <=, 80);
	g_assert_cmpuint(greeted_idle(2, true), ==, 2 * 600);
	g_assert_cmpuint(greeted_idle(63, true), ==, 21 * 600);
}

static void test_greet_needs(void)
{
	claim_greet_self_t self = { claim_greet_pack_state(7, true, false), 7,
				    false };
	claim_greeter_t greeter = { .last_turn = NOW,
				    .last_idle = NOW + BASE_SEC };
	claim_greet_peer_t peers[5];
	bool due[5];

	for (int i = 0; i < 5; i++)
		peers[i] = (claim_greet_peer_t){ true, self.state_word, 7, 0 };
	peers[1].known = false;
	peers[2].received_state = claim_greet_pack_state(7, false, false);
	peers[3].epoch = 6;
	peers[4].received_state = 0;
	peers[4].unanswered_at = NOW;
	/*
	 * A hello with a new state is due at once; those in rotation wait for a
	 * turn.
	 */
	claim_greet(&greeter, &self, peers, 5, NOW, due);
	g_assert_true(!due[0] && due[1] && due[2] && due[3] && !due[4]);
	claim_greet(&greeter, &self, peers, 5, NOW + BASE_SEC / 2, due);
	g_assert_true(!due[1] && !due[2] && !due[3]);
	claim_greet(&greeter, &self, peers, 5, NOW + BASE_SEC, due);
	g_assert_true(!due[0] && due[1] && due[2] && due[3] && !due[4]);
	claim_greet(&greeter, &self, peers, 5, NOW + 3 * BASE_SEC, due);
	g_assert_true(!due[0] && due[4]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/propose", test_propose);
	g_test_add_func("/claim/propose-leaving", test_propose_leaving);
	g_test_add_func("/claim/greet-idle", test_greet_idle);
	g_test_add_func("/claim/greet-needs", test_greet_needs);
	return g_test_run();
}
