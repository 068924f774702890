#include "site_joblog_int.h"

/*
 * A successor reads the snapshot and what the log has after it.
 */

#define READ_TRIES 200 /* of one key, while the guard holds back */
#define READ_PAUSE_US (10 * BASE_MS)
#define PARTS_MAX 4096 /* of one snapshot */

static bool read_keys(site_joblog_t *log, GError **err);
static json_t *read_value(site_joblog_t *log, const char *key, GError **err);
static bool read_head(site_joblog_t *log, GHashTable *texts, GError **err);
static bool read_part(site_joblog_t *log, GHashTable *texts, int part,
		      GError **err);
static bool read_log(site_joblog_t *log, GHashTable *texts, GError **err);
static bool bad_value(const char *key, GError **err);
static bool take_puts(GHashTable *texts, const json_t *value);
static void take_all(GHashTable *texts, GHashTable *changes);

bool site_joblog_read(site_joblog_t *log, site_text_fn_t visit,
		      site_text_fn_t learn, void *arg, GError **err)
{
	GHashTable *texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bool good = read_keys(log, err) && read_head(log, texts, err) &&
		    read_log(log, texts, err);
	GHashTableIter iter;
	void *id, *text;

	if (good && log->learned)
		learn(arg, base_str(log->learned));
	g_clear_pointer(&log->learned, free);
	g_hash_table_iter_init(&iter, texts);
	while (good && g_hash_table_iter_next(&iter, &id, &text)) {
		site_joblog_note(log, id, text);
		visit(arg, base_str(text));
	}
	g_hash_table_destroy(texts);
	return good;
}

/* Only the revisions: the values may be too many for one answer. */
static bool read_keys(site_joblog_t *log, GError **err)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs;
	bool good = log->store->ops->keys(log->store, ctx, SITE_JOBS_PREFIX,
					  true, &kvs, err);

	for (size_t i = 0; good && i < kvs.count; i++) {
		const plat_kv_t *kv = &kvs.items[i];

		site_joblog_note_revision(log, base_str_dup(ctx, kv->key),
					  kv->mod_revision);
	}
	talloc_free(ctx);
	return good;
}

/*
 * The value of a key that was listed, as JSON, or NULL.  A take-over reads
 * more at once than the guard lets through.
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
		    !g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_DOWN))
			break;
		if (!read)
			base_clock_sleep(READ_PAUSE_US);
	}
	if (!read) {
		g_propagate_error(err, cause);
	} else {
		log->read_size = kvs.count ? kvs.items[0].value.len : 0;
		if (kvs.count)
			value = json_loadb(kvs.items[0].value.ptr,
					   kvs.items[0].value.len, 0, NULL);
		if (!value)
			bad_value(key, err);
	}
	talloc_free(ctx);
	return value;
}

static bool read_head(site_joblog_t *log, GHashTable *texts, GError **err)
{
	json_int_t seq, fence, bytes;
	bool good = true;
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
		good = bad_value(SITE_JOBS_HEAD, err);
	json_decref(head);
	if (!good)
		return false;
	log->area = area;
	log->seq = log->head_seq = seq;
	log->fence = fence;
	log->snap_size = (size_t)bytes;
	for (int part = 0; part < parts && good; part++)
		good = read_part(log, texts, part, err);
	return good;
}

static bool read_part(site_joblog_t *log, GHashTable *texts, int part,
		      GError **err)
{
	char key[64];
	json_t *value, *learned;
	bool good;

	site_joblog_part_key(key, log->area, part);
	value = read_value(log, key, err);
	good = value != NULL;
	if (good && !take_puts(texts, value))
		good = bad_value(key, err);
	learned = json_object_get(value, "learned");
	if (learned) {
		free(log->learned);
		log->learned = json_dumps(learned, JSON_COMPACT);
	}
	json_decref(value);
	return good;
}

/*
 * Follow the numbers.  A record whose fence is lower than the one before is
 * from a holder that did not come to the end of its commit; its place is
 * written over next.
 */
static bool read_log(site_joblog_t *log, GHashTable *texts, GError **err)
{
	int64_t seq = log->seq;
	bool good = true;

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
			good = value ? bad_value(key, err) : false;
			json_decref(value);
			break;
		}
		if (number != seq + 1 || fence < log->fence) {
			json_decref(value);
			break;
		}
		log->fence = fence;
		seq++;
		good = take_puts(log->parts_put, value) || bad_value(key, err);
		log->since += log->read_size;
		json_decref(value);
		if (!good)
			break;
		if (more)
			continue;
		take_all(texts, log->parts_put);
		log->seq = seq;
	}
	g_hash_table_remove_all(log->parts_put);
	return good;
}

static bool bad_value(const char *key, GError **err)
{
	g_set_error(err, JOBS_ERROR, JOBS_ERR_RECORD, "%s cannot be read", key);
	return false;
}

/*
 * What a value takes out, as NULL, and then puts.  False where one has no id:
 * a job that is passed over would be lost.
 */
static bool take_puts(GHashTable *texts, const json_t *value)
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

static void take_all(GHashTable *texts, GHashTable *changes)
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
