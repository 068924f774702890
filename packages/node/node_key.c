#include "node_key.h"

/*
 * The age counts from when the question was sent, so that it needs no allowance
 * for the way of the answer; this one is for clocks that differ in rate.
 */
#define KEY_AGE_MARGIN (200 * BASE_MS)

struct node_keys {
	GHashTable *by_text;   /* of node_key_owner_t */
	GHashTable *by_digest; /* the same */
};

static const char *const verdict_names[NODE_KEY_VERDICT_MAX] = {
	[NODE_KEY_NOT_NEEDED] = "no key needed",
	[NODE_KEY_VALID] = "valid key",
	[NODE_KEY_MISSING] = "no key",
	[NODE_KEY_UNKNOWN] = "unknown key",
	[NODE_KEY_STALE] = "configuration too old",
};

const char *node_key_verdict_name(node_key_verdict_t verdict)
{
	return verdict_names[verdict];
}

static int keys_free(node_keys_t *keys)
{
	g_hash_table_unref(keys->by_text);
	g_hash_table_unref(keys->by_digest);
	return 0;
}

static void set_digest(node_key_owner_t *owner, base_str_t key)
{
	char *text = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)key.ptr, key.len);

	g_strlcpy(owner->digest, text, sizeof(owner->digest));
	g_free(text);
}

static void add_key(node_keys_t *keys, const node_config_t *config,
		    const node_access_key_t *key)
{
	char *text = base_str_dup(keys, key->text);
	node_key_owner_t *owner;

	if (g_hash_table_contains(keys->by_text, text)) {
		talloc_free(text);
		return;
	}
	owner = talloc_zero(keys, node_key_owner_t);
	owner->workspace =
		base_str_dup(owner, config->workspaces[key->workspace].name);
	set_digest(owner, key->text);
	g_hash_table_insert(keys->by_text, text, owner);
	g_hash_table_insert(keys->by_digest, owner->digest, owner);
}

node_keys_t *node_keys_new(const void *ctx, const node_config_t *config)
{
	node_keys_t *keys;
	size_t i;

	if (!config->has_workspaces)
		return NULL;
	keys = talloc_zero(ctx, node_keys_t);
	keys->by_text = g_hash_table_new(g_str_hash, g_str_equal);
	keys->by_digest = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(keys, keys_free);
	for (i = 0; i < config->n_keys; i++)
		add_key(keys, config, &config->keys[i]);
	return keys;
}

static bool is_stale(const node_key_check_t *check)
{
	return check->age_max && check->age > check->age_max - KEY_AGE_MARGIN;
}

node_key_verdict_t node_key_judge(const node_key_check_t *check, base_str_t key,
				  const node_key_owner_t **owner)
{
	char *text;

	*owner = NULL;
	if (!check->keys || check->is_public)
		return NODE_KEY_NOT_NEEDED;
	/* An old configuration knows of no later key either. */
	if (is_stale(check))
		return NODE_KEY_STALE;
	if (!key.len)
		return NODE_KEY_MISSING;
	text = base_str_dup(NULL, key);
	*owner = g_hash_table_lookup(check->keys->by_text, text);
	talloc_free(text);
	return *owner ? NODE_KEY_VALID : NODE_KEY_UNKNOWN;
}

node_key_verdict_t node_key_judge_forwarded(const node_key_check_t *check,
					    const char *workspace,
					    const char *digest, int64_t version,
					    int64_t own_version)
{
	const node_key_owner_t *owner;

	if (!check->keys || check->is_public)
		return NODE_KEY_NOT_NEEDED;
	if (is_stale(check))
		return NODE_KEY_STALE;
	/* The other entry has a configuration without workspaces, or is of a
	 * version that does not name them. */
	if (!workspace || !digest)
		return NODE_KEY_MISSING;
	if (own_version < version)
		return NODE_KEY_VALID;
	owner = g_hash_table_lookup(check->keys->by_digest, digest);
	return owner && !strcmp(owner->workspace, workspace) ? NODE_KEY_VALID
							     : NODE_KEY_UNKNOWN;
}
