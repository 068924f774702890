#include "site_joblog_int.h"

/*
 * A new holder of the jobs lease reads the last snapshot and the log records
 * after it.
 */

/* Most tries to read one key while the store guard rejects reads. */
#define READ_TRIES 200
#define READ_PAUSE_US (10 * BASE_MS)
#define PARTS_MAX 4096 /* limit of the parts of one snapshot */

static bool read_keys(site_joblog_t *log, GError **err);
static json_t *read_value(site_joblog_t *log, const char *key, GError **err);
static bool read_head(site_joblog_t *log, GHashTable *texts, GError **err);
static bool read_part(site_joblog_t *log, GHashTable *texts, int part,
		      GError **err);
static bool read_log(site_joblog_t *log, GHashTable *texts, GError **err);
static bool set_read_error(const char *key, GError **err);
static bool load_changes(GHashTable *texts, const json_t *value);
static void apply_changes(GHashTable *texts, GHashTable *changes);

bool site_joblog_read(site_joblog_t *log, site_text_fn_t visit,
		      site_text_fn_t learn, void *arg, GError **err)
{
	GHashTable *texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bool ok = read_keys(log, err) && read_head(log, texts, err) &&
		  read_log(log, texts, err);
	GHashTableIter iter;
	void *id, *text;

	if (ok && log->learned)
		learn(arg, base_str(log->learned));
	g_clear_pointer(&log->learned, free);
	g_hash_table_iter_init(&iter, texts);
	while (ok && g_hash_table_iter_next(&iter, &id, &text)) {
		site_joblog_set_digest(log, id, text);
		visit(arg, base_str(text));
	}
	g_hash_table_destroy(texts);
	return ok;
}

/*
 * Reads the keys and their revisions without the values, because the values
 * may exceed one response.
 */
static bool read_keys(site_joblog_t *log, GError **err)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs;
	bool ok = log->store->ops->keys(log->store, ctx, SITE_JOBS_PREFIX, true,
					&kvs, err);

	for (size_t i = 0; ok && i < kvs.count; i++) {
		const plat_kv_t *kv = &kvs.items[i];

		site_joblog_set_revision(log, base_str_dup(ctx, kv->key),
					 kv->mod_revision);
	}
	talloc_free(ctx);
	return ok;
}

/*
 * Returns the value of an existing key as JSON, or NULL on an error.  Retries
 * because a takeover reads faster than the store guard permits.
 */
static json_t *read_value(site_joblog_t *log, const char *key, GError **err)
{
	void *ctx = talloc_new(NULL);
	GError *cause = NULL;
	json_t *value = NULL;
	plat_kvs_t kvs = { 0 };
	bool read = false;

	for (int i = 0; i < READ_TRIES && !read; i++) {
		g_clear_error(&cause);
		read = log->store->ops->range(log->store, ctx, key, false, &kvs,
					      &cause);
		if (!read &&
		    !g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE))
			break;
		if (!read)
			base_clock_sleep(READ_PAUSE_US);
	}
	if (!read) {
		g_propagate_error(err, cause);
	} else {
		log->value_bytes = kvs.count ? kvs.items[0].value.len : 0;
		if (kvs.count)
			value = json_loadb(kvs.items[0].value.ptr,
					   kvs.items[0].value.len, 0, NULL);
		if (!value)
			set_read_error(key, err);
	}
	talloc_free(ctx);
	return value;
}

static bool read_head(site_joblog_t *log, GHashTable *texts, GError **err)
{
	json_int_t seq, fence, bytes;
	bool ok = true;
	int area, parts;
	json_t *head;

	if (!g_hash_table_contains(log->revisions, SITE_JOBS_HEAD))
		return true;
	head = read_value(log, SITE_JOBS_HEAD, err);
	if (!head)
		return false;
	if (json_unpack(head, "{s:i,s:i,s:I,s:I,s:I}", "area", &area, "parts",
			&parts, "seq", &seq, "fence", &fence, "bytes",
			&bytes) ||
	    area < 0 || area > 1 || parts < 0 || parts > PARTS_MAX || seq < 0)
		ok = set_read_error(SITE_JOBS_HEAD, err);
	json_decref(head);
	if (!ok)
		return false;
	log->area = area;
	log->seq = log->head_seq = seq;
	log->fence = fence;
	log->last_snap_bytes = (size_t)bytes;
	for (int part = 0; part < parts && ok; part++)
		ok = read_part(log, texts, part, err);
	return ok;
}

static bool read_part(site_joblog_t *log, GHashTable *texts, int part,
		      GError **err)
{
	char key[64];
	json_t *value, *learned;
	bool ok;

	site_joblog_part_key(key, log->area, part);
	value = read_value(log, key, err);
	ok = value != NULL;
	if (ok && !load_changes(texts, value))
		ok = set_read_error(key, err);
	learned = json_object_get(value, "learned");
	if (learned) {
		free(log->learned);
		log->learned = json_dumps(learned, JSON_COMPACT);
	}
	json_decref(value);
	return ok;
}

/*
 * Reads records in sequence.  A record with a lower fencing token than the one
 * before it belongs to an unfinished commit of an earlier holder; the read
 * stops there and the next commit overwrites it.
 */
static bool read_log(site_joblog_t *log, GHashTable *texts, GError **err)
{
	int64_t seq = log->seq;
	bool ok = true;

	for (;;) {
		json_int_t number, fence;
		json_t *value;
		char key[64];
		int more;

		site_joblog_slot_key(key, seq + 1);
		if (!g_hash_table_contains(log->revisions, key))
			break;
		value = read_value(log, key, err);
		if (!value ||
		    json_unpack(value, "{s:I,s:I,s:b}", "seq", &number, "fence",
				&fence, "more", &more)) {
			ok = value ? set_read_error(key, err) : false;
			json_decref(value);
			break;
		}
		if (number != seq + 1 || fence < log->fence) {
			json_decref(value);
			break;
		}
		log->fence = fence;
		seq++;
		ok = load_changes(log->unwritten_changes, value) ||
		     set_read_error(key, err);
		log->log_bytes += log->value_bytes;
		json_decref(value);
		if (!ok)
			break;
		if (more)
			continue;
		apply_changes(texts, log->unwritten_changes);
		log->seq = seq;
	}
	g_hash_table_remove_all(log->unwritten_changes);
	return ok;
}

static bool set_read_error(const char *key, GError **err)
{
	g_set_error(err, JOBS_ERROR, JOBS_ERR_RECORD, "%s cannot be read", key);
	return false;
}

/*
 * Adds a value's changes to "texts": NULL for each removed id, then the text of
 * each record.  Returns false if an id is missing, because skipping the record
 * would lose the job.
 */
static bool load_changes(GHashTable *texts, const json_t *value)
{
	json_t *record, *id;
	size_t i;

	json_array_foreach(json_object_get(value, "gone"), i, id)
	{
		if (!json_is_string(id))
			return false;
		g_hash_table_replace(texts, g_strdup(json_string_value(id)),
				     NULL);
	}
	json_array_foreach(json_object_get(value, "put"), i, record)
	{
		char *dump;

		id = json_object_get(json_object_get(record, "spec"), "id");
		if (!json_is_string(id))
			return false;
		dump = json_dumps(record, JSON_COMPACT);
		g_hash_table_replace(texts, g_strdup(json_string_value(id)),
				     g_strdup(dump));
		free(dump);
	}
	return true;
}

static void apply_changes(GHashTable *texts, GHashTable *changes)
{
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, changes);
	while (g_hash_table_iter_next(&iter, &id, &text)) {
		if (text)
			g_hash_table_replace(texts, g_strdup(id),
					     g_strdup(text));
		else
			g_hash_table_remove(texts, id);
	}
	g_hash_table_remove_all(changes);
}
