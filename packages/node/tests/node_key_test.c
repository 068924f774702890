/*
 * Guards against a request that is carried out with a key that is unknown or
 * was removed, and against one that is refused although its key is valid.
 */
#include "node_key.h"

#define BOUND (5 * BASE_SEC)
#define SECOND BASE_SEC

static node_keys_t *make_keys(const void *ctx, const char *const *texts,
			      size_t n)
{
	batch_workspace_info_t workspaces[2] = { { .name = BASE_STR("blue") },
						 { .name = BASE_STR("red") } };
	node_access_key_t keys[8];
	node_config_t config = { .has_workspaces = true,
				 .workspaces = workspaces,
				 .n_workspaces = 2,
				 .keys = keys,
				 .n_keys = n };
	size_t i;

	for (i = 0; i < n; i++)
		keys[i] = (node_access_key_t){ base_str(texts[i]), i % 2 };
	return node_keys_new(ctx, &config);
}

static const char *const two_keys[] = { "key-of-blue", "key-of-red" };

static node_key_verdict_t judge(const node_key_check_t *check, const char *key)
{
	const node_key_owner_t *owner;

	return node_key_judge(check, base_str(key), &owner);
}

static void test_key_names_its_workspace(void)
{
	node_keys_t *keys = make_keys(NULL, two_keys, 2);
	node_key_check_t check = { .keys = keys };
	const node_key_owner_t *owner;

	g_assert_cmpint(node_key_judge(&check, BASE_STR("key-of-red"), &owner),
			==, NODE_KEY_VALID);
	g_assert_cmpstr(owner->workspace, ==, "red");
	g_assert_cmpint(judge(&check, "key-of-re"), ==, NODE_KEY_UNKNOWN);
	g_assert_cmpint(judge(&check, "key-of-redd"), ==, NODE_KEY_UNKNOWN);
	g_assert_cmpint(judge(&check, ""), ==, NODE_KEY_MISSING);
	talloc_free(keys);
}

static void test_no_key_is_needed(void)
{
	node_keys_t *keys = make_keys(NULL, two_keys, 2);
	node_key_check_t public_route = {
		.keys = keys, .is_public = true, .age = BOUND, .age_max = BOUND
	};
	node_key_check_t no_workspaces = { .age = BOUND, .age_max = BOUND };
	node_config_t without = { .version = 1 };

	g_assert_cmpint(judge(&public_route, "x"), ==, NODE_KEY_NOT_NEEDED);
	g_assert_cmpint(judge(&no_workspaces, "x"), ==, NODE_KEY_NOT_NEEDED);
	g_assert_null(node_keys_new(NULL, &without));
	talloc_free(keys);
}

/* An operator who removes the last workspace still wants keys to be checked. */
static void test_empty_list_of_workspaces(void)
{
	node_config_t config = { .has_workspaces = true };
	node_keys_t *keys = node_keys_new(NULL, &config);
	node_key_check_t check = { .keys = keys };

	g_assert_nonnull(keys);
	g_assert_cmpint(judge(&check, "key-of-red"), ==, NODE_KEY_UNKNOWN);
	talloc_free(keys);
}

/* An entry that is cut off from the store while keys are removed. */
static void test_old_configuration(void)
{
	node_keys_t *keys = make_keys(NULL, two_keys, 2);
	node_key_check_t check = { .keys = keys, .age_max = BOUND };

	check.age = BOUND - SECOND;
	g_assert_cmpint(judge(&check, "key-of-red"), ==, NODE_KEY_VALID);
	check.age = BOUND;
	g_assert_cmpint(judge(&check, "key-of-red"), ==, NODE_KEY_STALE);
	/* It may be a key that was added since. */
	g_assert_cmpint(judge(&check, "another"), ==, NODE_KEY_STALE);
	check.age_max = 0;
	g_assert_cmpint(judge(&check, "key-of-red"), ==, NODE_KEY_VALID);
	talloc_free(keys);
}

static node_key_verdict_t forwarded(const node_keys_t *keys,
				    const node_key_owner_t *owner,
				    int64_t version, int64_t own_version)
{
	node_key_check_t check = { .keys = keys, .age_max = BOUND };

	return node_key_judge_forwarded(&check, owner->workspace, owner->digest,
					version, own_version);
}

/* A request that waited in another entry while its key was removed. */
static void test_forwarded_request(void)
{
	node_keys_t *before = make_keys(NULL, two_keys, 2);
	node_keys_t *after = make_keys(NULL, two_keys, 1);
	node_key_check_t check = { .keys = before };
	const node_key_owner_t *owner;

	node_key_judge(&check, BASE_STR("key-of-red"), &owner);
	g_assert_cmpint(forwarded(before, owner, 7, 7), ==, NODE_KEY_VALID);
	g_assert_cmpint(forwarded(after, owner, 7, 8), ==, NODE_KEY_UNKNOWN);
	/* The key is newer than what this entry knows. */
	g_assert_cmpint(forwarded(after, owner, 9, 8), ==, NODE_KEY_VALID);
	check = (node_key_check_t){ .keys = before };
	g_assert_cmpint(node_key_judge_forwarded(&check, NULL, NULL, 0, 7), ==,
			NODE_KEY_MISSING);
	g_assert_cmpint(
		node_key_judge_forwarded(&check, "blue", owner->digest, 7, 7),
		==, NODE_KEY_UNKNOWN);
	talloc_free(before);
	talloc_free(after);
}

static void test_digest_hides_the_key(void)
{
	node_keys_t *keys = make_keys(NULL, two_keys, 2);
	node_key_check_t check = { .keys = keys };
	const node_key_owner_t *owner;

	node_key_judge(&check, BASE_STR("key-of-red"), &owner);
	g_assert_cmpuint(strlen(owner->digest), ==, NODE_KEY_DIGEST_MAX - 1);
	g_assert_null(strstr("key-of-red", owner->digest));
	talloc_free(keys);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-key/key-names-its-workspace",
			test_key_names_its_workspace);
	g_test_add_func("/node-key/no-key-is-needed", test_no_key_is_needed);
	g_test_add_func("/node-key/empty-list-of-workspaces",
			test_empty_list_of_workspaces);
	g_test_add_func("/node-key/old-configuration", test_old_configuration);
	g_test_add_func("/node-key/forwarded-request", test_forwarded_request);
	g_test_add_func("/node-key/digest-hides-the-key",
			test_digest_hides_the_key);
	return g_test_run();
}
