#include "claim_three.h"

static claim_action_t start_for(claim_holder_t *holder, claim_id_t id,
				const claim_epoch_t *epoch)
{
	claim_request_t request = { .id = id,
				    .attempt = { 7, 1 },
				    .arrived = NOW };
	claim_action_t action;

	claim_holder_start(holder, &request, epoch, &claim_limits_default, NOW,
			   &action);
	g_assert_cmpint(action.next, ==, CLAIM_ACTION_TAKE);
	return action;
}

typedef struct claim_case {
	claim_verdict_t home, backup;
	bool fresh;
	claim_action_kind_t next;
	claim_outcome_t tell;
	claim_reason_t reason;
	bool again;
	unsigned releases;
} claim_case_t;

static void check_case(const claim_case_t *c, bool soon)
{
	claim_epoch_t epoch = epoch_of(1, list_of(three, 3), list_of(NULL, 0));
	claim_reply_t reply = { .verdict = c->home,
				.fresh = c->fresh,
				.copy_pending = soon };
	claim_holder_t holder;
	claim_action_t action = start_for(&holder, nth_id(true, 0), &epoch);

	claim_holder_reply(&holder, &reply, NOW, &action);
	if (action.next == CLAIM_ACTION_TAKE) {
		g_assert_cmpint(action.take.lookup_only, ==,
				c->home == CLAIM_FULL);
		reply.verdict = c->backup;
		claim_holder_reply(&holder, &reply, NOW, &action);
	}
	g_assert_cmpint(action.next, ==, c->next);
	g_assert_cmpint(action.caller_outcome, ==, c->tell);
	g_assert_cmpint(action.reason, ==, c->reason);
	g_assert_true(action.may_retry == c->again &&
		      action.release_count == c->releases);
	g_assert_cmpint(claim_holder_may_write(&holder, NOW), ==,
			c->next == CLAIM_ACTION_RUN);
}

/* What the caller is told, by the verdicts of home and backup. */
static void test_holder(void)
{
	static const claim_case_t cases[] = {
		{ CLAIM_GRANTED, CLAIM_GRANTED, true, CLAIM_ACTION_RUN, 0, 0,
		  false, 0 },
		{ CLAIM_GRANTED, CLAIM_GRANTED, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_FENCE, false, 2 },
		{ CLAIM_HELD, 0, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_HELD, false, 1 },
		{ CLAIM_GRANTED, CLAIM_HELD, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_HELD, false, 2 },
		{ CLAIM_LOST, 0, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_UNREACHABLE, true, 1 },
		{ CLAIM_GRANTED, CLAIM_SEALED, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_EPOCH, true, 2 },
		{ CLAIM_FULL, CLAIM_NONE, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_NOT_RUN, CLAIM_REASON_FULL, false, 1 },
		{ CLAIM_FULL, CLAIM_NONE, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_FENCE, false, 1 },
		{ CLAIM_FULL, CLAIM_HELD, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_HELD, false, 1 },
		{ CLAIM_FULL, CLAIM_LOST, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_UNREACHABLE, true, 1 },
		{ CLAIM_GRANTED, CLAIM_FULL, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_NOT_RUN, CLAIM_REASON_FULL, false, 2 },
		{ CLAIM_ANSWERED, 0, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_NOT_KEPT, false, 1 },
	};

	for (size_t i = 0; i < ARRAY_SIZE(cases); i++)
		check_case(&cases[i], false);
}

/* While home or backup still copies the slice, another round may succeed. */
static void test_holder_copying(void)
{
	static const claim_case_t cases[] = {
		{ CLAIM_GRANTED, CLAIM_GRANTED, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_FENCE, true, 2 },
		{ CLAIM_FULL, CLAIM_NONE, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_FENCE, true, 1 },
		{ CLAIM_GRANTED, CLAIM_HELD, false, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_UNKNOWN, CLAIM_REASON_HELD, false, 2 },
		{ CLAIM_GRANTED, CLAIM_FULL, true, CLAIM_ACTION_REPORT,
		  CLAIM_OUTCOME_NOT_RUN, CLAIM_REASON_FULL, false, 2 },
		{ CLAIM_GRANTED, CLAIM_GRANTED, true, CLAIM_ACTION_RUN, 0, 0,
		  false, 0 },
	};

	for (size_t i = 0; i < ARRAY_SIZE(cases); i++)
		check_case(&cases[i], true);
}

static void test_holder_late(void)
{
	claim_epoch_t epoch = epoch_of(1, list_of(three, 3), list_of(NULL, 0));
	const claim_limits_t *limits = &claim_limits_default;
	claim_reply_t reply = { .verdict = CLAIM_GRANTED, .fresh = true };
	claim_holder_t holder;
	claim_action_t action = start_for(&holder, nth_id(true, 0), &epoch);
	int64_t late = NOW + limits->round_us + 1;

	claim_holder_reply(&holder, &reply, NOW, &action);
	claim_holder_reply(&holder, &reply, late, &action);
	g_assert_true(action.may_retry);
	claim_holder_retry(&holder, &epoch, late, &action);
	g_assert_cmpuint(action.take.attempt.number, ==, 1);
	claim_holder_reply(&holder, &reply, late, &action);
	claim_holder_reply(&holder, &reply, late, &action);
	g_assert_cmpint(action.next, ==, CLAIM_ACTION_RUN);
	g_assert_false(
		claim_holder_may_write(&holder, NOW + limits->window_us / 2));
	claim_holder_cancel(&holder, &action);
	g_assert_cmpint(action.caller_outcome, ==, CLAIM_OUTCOME_NOT_RUN);
	g_assert_false(claim_holder_may_write(&holder, late));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/holder", test_holder);
	g_test_add_func("/claim/holder-copying", test_holder_copying);
	g_test_add_func("/claim/holder-late", test_holder_late);
	return g_test_run();
}
