/*
 * Values by a key that several of them may have, so that an event looks at
 * these alone and not at everything.  Few have the same key at a time.
 */
#include "batch_int.h"

GHashTable *batch_index_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_ptr_array_unref);
}

static bool is_key(const char *key)
{
	return key && *key;
}

void batch_index_add(GHashTable *index, const char *key, void *value)
{
	GPtrArray *values;

	if (!is_key(key))
		return;
	values = g_hash_table_lookup(index, key);
	if (!values) {
		values = g_ptr_array_new();
		g_hash_table_insert(index, g_strdup(key), values);
	}
	if (!g_ptr_array_find(values, value, NULL))
		g_ptr_array_add(values, value);
}

void batch_index_remove(GHashTable *index, const char *key, void *value)
{
	GPtrArray *values =
		is_key(key) ? g_hash_table_lookup(index, key) : NULL;

	if (!values || !g_ptr_array_remove(values, value))
		return;
	if (!values->len)
		g_hash_table_remove(index, key);
}

const GPtrArray *batch_index_find(GHashTable *index, const char *key)
{
	return is_key(key) ? g_hash_table_lookup(index, key) : NULL;
}
