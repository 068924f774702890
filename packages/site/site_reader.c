#include <string.h>

#include "site.h"
#include "site_joblog.h"

/*
 * Changes are read by revision with one call per kind; the response is empty if
 * nothing changed.  It also has the number of existing keys, so that a deleted
 * key is detected without a list of keys.
 */

typedef enum kind {
	KIND_POOLS,
	KIND_BUDGET,
	KIND_WAVE,
	KIND_ORDERS,
	KIND_ENTRIES,
	KIND_IDLE,
	KIND_MAX
} kind_t;

/* How far the records of one kind have been read. */
typedef struct progress {
	int64_t since;	  /* store revision of the last read; 0: read all */
	GHashTable *keys; /* set of loaded keys */
} progress_t;

struct site_reader {
	fleet_t *fleet;
	plat_store_t *store;
	progress_t progress[KIND_MAX];
	GHashTable *entries; /* name to site_entry_t, a talloc tree each */
	/* The values of "entries" as a sorted array. */
	site_entry_t *items;
};

static int free_reader(site_reader_t *reader);
static bool read_kind(site_reader_t *reader, kind_t kind, GError **err);
static bool read_once(site_reader_t *reader, kind_t kind, bool *deleted,
		      GError **err);
static bool request(site_reader_t *reader, kind_t kind, const void *ctx,
		    plat_kvs_t *kvs, GError **err);
static bool check_none_deleted(const progress_t *progress,
			       const plat_kvs_t *kvs, GError **err);
static bool load_record(site_reader_t *reader, const char *key,
			const plat_kv_t *kv, GError **err);
static bool load_entry(site_reader_t *reader, const char *key,
		       const plat_kv_t *kv, GError **err);
static bool load_idle(site_reader_t *reader, const char *key,
		      const plat_kv_t *kv, GError **err);
static void free_entry(void *entry);

static const struct {
	const char *key;
	bool prefix;
	bool may_be_deleted;
	bool (*load)(site_reader_t *reader, const char *key,
		     const plat_kv_t *kv, GError **err);
} kinds[KIND_MAX] = {
	[KIND_POOLS] = { FLEET_POOLS_PREFIX, true, false, load_record },
	[KIND_BUDGET] = { FLEET_BUDGET_PREFIX, true, false, load_record },
	[KIND_WAVE] = { FLEET_WAVE_KEY, false, false, load_record },
	[KIND_ORDERS] = { FLEET_ORDERS_KEY, false, false, load_record },
	[KIND_ENTRIES] = { SITE_ENTRIES_PREFIX, true, true, load_entry },
	[KIND_IDLE] = { SITE_JOBS_IDLE, false, false, load_idle },
};

site_reader_t *site_reader_new(const void *ctx, fleet_t *fleet,
			       plat_store_t *store)
{
	site_reader_t *reader = talloc_zero(ctx, site_reader_t);

	reader->fleet = fleet;
	reader->store = store;
	for (int i = 0; i < KIND_MAX; i++)
		reader->progress[i].keys = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	reader->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_entry);
	talloc_set_destructor(reader, free_reader);
	return reader;
}

bool site_read_records(site_reader_t *reader, GError **err)
{
	return read_kind(reader, KIND_POOLS, err) &&
	       read_kind(reader, KIND_BUDGET, err) &&
	       read_kind(reader, KIND_WAVE, err) &&
	       read_kind(reader, KIND_ORDERS, err);
}

bool site_read_pools(site_reader_t *reader, GError **err)
{
	return read_kind(reader, KIND_POOLS, err);
}

bool site_read_entries(site_reader_t *reader, site_entries_t *out, GError **err)
{
	GList *names;

	if (!read_kind(reader, KIND_ENTRIES, err))
		return false;
	talloc_free(reader->items);
	reader->items = talloc_zero_array(reader, site_entry_t,
					  g_hash_table_size(reader->entries));
	*out = (site_entries_t){ .items = reader->items };
	names = g_list_sort(g_hash_table_get_keys(reader->entries),
			    (GCompareFunc)strcmp);
	for (GList *at = names; at; at = at->next)
		out->items[out->n++] = *(site_entry_t *)g_hash_table_lookup(
			reader->entries, at->data);
	g_list_free(names);
	return true;
}

bool site_read_idle(site_reader_t *reader, GError **err)
{
	return read_kind(reader, KIND_IDLE, err);
}

static int free_reader(site_reader_t *reader)
{
	for (int i = 0; i < KIND_MAX; i++)
		g_hash_table_destroy(reader->progress[i].keys);
	g_hash_table_destroy(reader->entries);
	return 0;
}

static void free_entry(void *entry)
{
	talloc_free(entry);
}

/* Reads all keys again if their number shows a deletion. */
static bool read_kind(site_reader_t *reader, kind_t kind, GError **err)
{
	bool deleted = false;

	if (!read_once(reader, kind, &deleted, err))
		return false;
	if (!deleted)
		return true;
	reader->progress[kind].since = 0;
	return read_once(reader, kind, &deleted, err);
}

/* The revision advances only after the whole response was loaded. */
static bool read_once(site_reader_t *reader, kind_t kind, bool *deleted,
		      GError **err)
{
	progress_t *progress = &reader->progress[kind];
	void *ctx = talloc_new(NULL);
	bool full = !progress->since;
	plat_kvs_t kvs;
	bool ok = request(reader, kind, ctx, &kvs, err);

	if (ok && full && kinds[kind].may_be_deleted) {
		g_hash_table_remove_all(progress->keys);
		g_hash_table_remove_all(reader->entries);
	}
	if (ok && full)
		ok = check_none_deleted(progress, &kvs, err);
	for (size_t i = 0; ok && i < kvs.count; i++) {
		char *key = base_str_dup(ctx, kvs.items[i].key);

		ok = kinds[kind].load(reader, key, &kvs.items[i], err);
		if (ok)
			g_hash_table_add(progress->keys, g_strdup(key));
	}
	*deleted = ok && !full &&
		   (kvs.total != g_hash_table_size(progress->keys) ||
		    kvs.revision < progress->since);
	progress->since = ok ? kvs.revision : 0;
	talloc_free(ctx);
	return ok;
}

static bool request(site_reader_t *reader, kind_t kind, const void *ctx,
		    plat_kvs_t *kvs, GError **err)
{
	const plat_store_ops_t *ops = reader->store->ops;
	const char *key = kinds[kind].key;
	bool prefix = kinds[kind].prefix;
	int64_t since = reader->progress[kind].since;

	if (since)
		return ops->changes(reader->store, ctx, key, prefix, since, kvs,
				    err);
	return ops->range(reader->store, ctx, key, prefix, kvs, err);
}

static bool check_none_deleted(const progress_t *progress,
			       const plat_kvs_t *kvs, GError **err)
{
	GHashTable *now =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *missing = NULL;
	GHashTableIter iter;
	void *key;

	for (size_t i = 0; i < kvs->count; i++)
		g_hash_table_add(now, g_strndup(kvs->items[i].key.ptr,
						kvs->items[i].key.len));
	g_hash_table_iter_init(&iter, progress->keys);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(now, key))
			missing = key;
	if (missing)
		g_set_error(err, FLEET_ERROR, FLEET_ERROR_RECORD,
			    "%s has been deleted from the store", missing);
	g_hash_table_destroy(now);
	return !missing;
}

static bool load_record(site_reader_t *reader, const char *key,
			const plat_kv_t *kv, GError **err)
{
	return fleet_load(reader->fleet, key, kv->value, kv->mod_revision, err);
}

/* A malformed record is an error, because its entry may still route. */
static bool load_entry(site_reader_t *reader, const char *key,
		       const plat_kv_t *kv, GError **err)
{
	const char *name = key + strlen(SITE_ENTRIES_PREFIX);
	site_entry_t *entry = talloc_zero(NULL, site_entry_t);

	if (!site_entry_load(entry, name, kv->value, entry)) {
		g_set_error(err, FLEET_ERROR, FLEET_ERROR_RECORD,
			    "%s does not decode", key);
		talloc_free(entry);
		return false;
	}
	g_hash_table_replace(reader->entries, g_strdup(name), entry);
	return true;
}

static bool load_idle(site_reader_t *reader, const char *key,
		      const plat_kv_t *kv, GError **err)
{
	bool ok = site_apply_idle(reader->fleet, kv->value);

	if (!ok)
		g_set_error(err, FLEET_ERROR, FLEET_ERROR_RECORD,
			    "%s does not decode", key);
	return ok;
}
