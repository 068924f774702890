/*
 * Guards against a job that runs though its caller was told that it never will:
 * what the holder has refused is refused again, or not promised at all.
 */
#include "node_int.h"

#define KEPT (50 * BASE_SEC)	   /* longer than a try is on its way */
#define FORGOTTEN (120 * BASE_SEC) /* long after that */
#define MANY 100000
#define TOKEN_SIZE 32

static const node_outcome_t refused = { .kind = NODE_OUT_REFUSED,
					.retry_after = 7 * BASE_SEC };

static void test_same_verdict(void)
{
	node_refusals_t *refusals = node_refusals_new(NULL);
	node_outcome_t gone = { .kind = NODE_OUT_NOT_FOUND };
	node_outcome_t outcome;

	g_assert_true(node_refusals_add(refusals, 0, "edge-1.a.1", &refused));
	g_assert_true(node_refusals_add(refusals, 0, "edge-1.a.2", &gone));
	g_assert_true(
		node_refusals_find(refusals, KEPT, "edge-1.a.1", &outcome));
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_REFUSED);
	g_assert_cmpint(outcome.retry_after, ==, 7 * BASE_SEC);
	g_assert_true(
		node_refusals_find(refusals, KEPT, "edge-1.a.2", &outcome));
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_NOT_FOUND);
	talloc_free(refusals);
}

static void test_other_request(void)
{
	node_refusals_t *refusals = node_refusals_new(NULL);
	node_outcome_t outcome;

	g_assert_true(node_refusals_add(refusals, 0, "edge-1.a.1", &refused));
	g_assert_false(
		node_refusals_find(refusals, 0, "edge-1.a.11", &outcome));
	g_assert_false(node_refusals_find(refusals, 0, "edge-1.b.1", &outcome));
	talloc_free(refusals);
}

static void print_token(char token[TOKEN_SIZE], int number)
{
	g_snprintf(token, TOKEN_SIZE, "edge-1.a.%d", number);
}

/* Adds refusals until no more are kept; returns how many are. */
static int fill(node_refusals_t *refusals)
{
	char token[TOKEN_SIZE];
	int n;

	for (n = 0; n < MANY; n++) {
		print_token(token, n);
		if (!node_refusals_add(refusals, 0, token, &refused))
			break;
	}
	return n;
}

/* A full memory says so and loses none of what it has. */
static void test_bound(void)
{
	node_refusals_t *refusals = node_refusals_new(NULL);
	int kept = fill(refusals);
	node_outcome_t outcome;
	char token[TOKEN_SIZE];
	int found = 0;
	int i;

	g_assert_cmpint(kept, >, 0);
	g_assert_cmpint(kept, <, MANY);
	for (i = 0; i < MANY; i++) {
		print_token(token, i);
		found += node_refusals_find(refusals, KEPT, token, &outcome);
	}
	g_assert_cmpint(found, ==, kept);
	talloc_free(refusals);
}

static void test_expiry(void)
{
	node_refusals_t *refusals = node_refusals_new(NULL);
	node_outcome_t outcome;
	char token[TOKEN_SIZE];

	fill(refusals);
	print_token(token, 0);
	g_assert_false(
		node_refusals_find(refusals, FORGOTTEN, token, &outcome));
	g_assert_true(node_refusals_add(refusals, FORGOTTEN, token, &refused));
	g_assert_true(node_refusals_find(refusals, FORGOTTEN, token, &outcome));
	talloc_free(refusals);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-refusal/each-try-has-the-same-verdict",
			test_same_verdict);
	g_test_add_func("/node-refusal/another-request-is-judged-anew",
			test_other_request);
	g_test_add_func("/node-refusal/no-promise-beyond-the-bound",
			test_bound);
	g_test_add_func("/node-refusal/room-again-after-its-time", test_expiry);
	return g_test_run();
}
