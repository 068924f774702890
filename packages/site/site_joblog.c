#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "site_joblog.h"

#define READ_TRIES 200 /* of one key, while the guard holds back */
#define READ_PAUSE_US (10 * BASE_MS)
#define PARTS_MAX 4096 /* of one snapshot */

typedef enum wrote {
	WROTE_DONE,
	WROTE_AGAIN, /* not known: the same text again */
	WROTE_LOST,  /* another holder's value stands there */
	WROTE_MAX
} wrote_t;

struct site_joblog {
	plat_store_t *store;
	const char *fence_key;
	int64_t fence_revision;
	GHashTable *digests;   /* id to uint64_t, of what is committed */
	GHashTable *revisions; /* key to mod_revision as last seen */
	int64_t seq;	       /* of the last record */
	int64_t head_seq;      /* up to which the snapshot holds all */
	int area;	       /* of the snapshot: 0 or 1 */
	int64_t fence;	       /* of the last record read */
	size_t read_size;      /* bytes of the last value read */
	size_t since;	       /* bytes of the log after head_seq */
	size_t snap_size;      /* bytes of the snapshot */
	GQueue gone;	       /* ids to leave out */
	GQueue parts;	       /* texts of a commit that are not written */
	GHashTable *parts_put; /* what they change: id to text, or NULL */
	char **ids;	       /* of the snapshot being made; NULL: none */
	size_t ids_n, ids_at;
	int64_t snap_seq;
	int snap_parts;
	size_t snap_bytes;
	char *snap_text; /* of its part that is being written */
	bool lost;
	site_joblog_stats_t stats;
};

static int free_log(site_joblog_t *log);
static bool read_keys(site_joblog_t *log, GError **err);
static json_t *read_value(site_joblog_t *log, const char *key, GError **err);
static bool read_head(site_joblog_t *log, GHashTable *texts, GError **err);
static bool read_part(site_joblog_t *log, GHashTable *texts, int part,
		      GError **err);
static bool read_log(site_joblog_t *log, GHashTable *texts, GError **err);
static bool bad_value(const char *key, GError **err);
static void take_puts(GHashTable *texts, const json_t *value);
static void take_all(GHashTable *texts, GHashTable *changes);
static void note_all(site_joblog_t *log);
static void note_digest(site_joblog_t *log, const char *id, const char *text);
static bool build(site_joblog_t *log, const jobs_record_t *records, size_t n);
static void end_part(site_joblog_t *log, base_buf_t *put, base_buf_t *gone,
		     bool more);
static wrote_t flush(site_joblog_t *log);
static wrote_t write_value(site_joblog_t *log, const char *key,
			   const char *text);
static wrote_t find_out(site_joblog_t *log, const plat_put_t *put);
static void note_revision(site_joblog_t *log, const char *key,
			  int64_t revision);
static bool snapshot_due(const site_joblog_t *log);
static void snapshot_begin(site_joblog_t *log);
static char *snapshot_part(site_joblog_t *log, site_record_fn_t record,
			   void *arg);
static wrote_t snapshot_end(site_joblog_t *log);
static void snapshot_drop(site_joblog_t *log);
static void slot_key(char key[64], int64_t seq);
static void part_key(char key[64], int area, int part);

site_joblog_t *site_joblog_new(const void *ctx, plat_store_t *store,
			       const plat_duty_t *duty)
{
	site_joblog_t *log = talloc_zero(ctx, site_joblog_t);
	plat_put_t put = { 0 };

	plat_duty_fence(duty, &put);
	log->store = store;
	log->fence_key = put.fence_key;
	log->fence_revision = put.fence_revision;
	log->digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	log->parts_put =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	log->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(log, free_log);
	return log;
}

static int free_log(site_joblog_t *log)
{
	snapshot_drop(log);
	g_queue_clear_full(&log->gone, g_free);
	g_queue_clear_full(&log->parts, g_free);
	g_hash_table_destroy(log->digests);
	g_hash_table_destroy(log->parts_put);
	g_hash_table_destroy(log->revisions);
	return 0;
}

bool site_joblog_read(site_joblog_t *log,
		      void (*visit)(void *arg, base_str_t record), void *arg,
		      GError **err)
{
	GHashTable *texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bool good = read_keys(log, err) && read_head(log, texts, err) &&
		    read_log(log, texts, err);
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, texts);
	while (good && g_hash_table_iter_next(&iter, &id, &text)) {
		note_digest(log, id, text);
		visit(arg, base_str(text));
	}
	g_hash_table_destroy(texts);
	return good;
}

void site_joblog_each(const site_joblog_t *log,
		      void (*visit)(void *arg, base_str_t id), void *arg)
{
	GHashTableIter iter;
	void *id;

	g_hash_table_iter_init(&iter, log->digests);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		visit(arg, base_str(id));
}

jobs_commit_t site_joblog_commit(site_joblog_t *log,
				 const jobs_record_t *records, size_t n)
{
	static const jobs_commit_t commits[WROTE_MAX] = {
		[WROTE_DONE] = JOBS_COMMIT_DONE,
		[WROTE_AGAIN] = JOBS_COMMIT_AGAIN,
		[WROTE_LOST] = JOBS_COMMIT_LOST,
	};
	wrote_t done = flush(log);

	if (done != WROTE_DONE)
		return commits[done];
	if (!build(log, records, n))
		return JOBS_COMMIT_AGAIN;
	if (!g_queue_is_empty(&log->parts))
		log->stats.commits++;
	return commits[flush(log)];
}

void site_joblog_forget(site_joblog_t *log, base_str_t id)
{
	g_queue_push_tail(&log->gone, g_strndup(id.ptr, id.len));
}

bool site_joblog_snapshot(site_joblog_t *log, site_record_fn_t record,
			  void *arg)
{
	char key[64];
	wrote_t done;

	if (log->lost)
		return false;
	if (!log->ids && !snapshot_due(log))
		return true;
	if (!log->ids)
		snapshot_begin(log);
	if (!log->snap_text)
		log->snap_text = snapshot_part(log, record, arg);
	if (log->snap_text) {
		part_key(key, 1 - log->area, log->snap_parts);
		done = write_value(log, key, log->snap_text);
		if (done != WROTE_DONE)
			return done == WROTE_AGAIN;
		log->snap_bytes += strlen(log->snap_text);
		log->snap_parts++;
		g_clear_pointer(&log->snap_text, g_free);
	}
	if (log->ids_at < log->ids_n)
		return true;
	return snapshot_end(log) != WROTE_LOST;
}

site_joblog_stats_t site_joblog_stats(const site_joblog_t *log)
{
	site_joblog_stats_t stats = log->stats;

	stats.jobs = g_hash_table_size(log->digests);
	return stats;
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

		note_revision(log, base_str_dup(ctx, kv->key),
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
	json_t *value;

	part_key(key, log->area, part);
	value = read_value(log, key, err);
	if (value)
		take_puts(texts, value);
	json_decref(value);
	return value != NULL;
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

		slot_key(key, seq + 1);
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
		take_puts(log->parts_put, value);
		log->since += log->read_size;
		json_decref(value);
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

/* What a value takes out, as NULL, and then puts. */
static void take_puts(GHashTable *texts, const json_t *value)
{
	json_t *record, *id;
	size_t i;

	json_array_foreach(json_object_get(value, "gone"), i, id)
		g_hash_table_replace(texts, g_strdup(json_string_value(id)),
				     NULL);
	json_array_foreach(json_object_get(value, "put"), i, record)
	{
		char *dump = json_dumps(record, JSON_COMPACT);

		id = json_object_get(json_object_get(record, "spec"), "id");
		if (json_is_string(id))
			g_hash_table_replace(texts,
					     g_strdup(json_string_value(id)),
					     g_strdup(dump));
		free(dump);
	}
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

static void note_all(site_joblog_t *log)
{
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, log->parts_put);
	while (g_hash_table_iter_next(&iter, &id, &text)) {
		if (text)
			note_digest(log, id, text);
		else
			g_hash_table_remove(log->digests, id);
	}
	g_hash_table_remove_all(log->parts_put);
}

static void note_digest(site_joblog_t *log, const char *id, const char *text)
{
	uint64_t *digest = g_new(uint64_t, 1);

	*digest = XXH3_64bits(text, strlen(text));
	g_hash_table_replace(log->digests, g_strdup(id), digest);
}

/* The texts of the next commit; false while the ring has no room. */
static bool build(site_joblog_t *log, const jobs_record_t *records, size_t n)
{
	base_buf_t *put = base_buf_new(log), *gone = base_buf_new(log);
	int64_t room = SITE_JOBLOG_SLOTS - 1 - (log->seq - log->head_seq);
	bool fits;

	while (!g_queue_is_empty(&log->gone)) {
		char *id = g_queue_pop_head(&log->gone);

		base_buf_adds(gone, gone->len ? "," : "");
		base_buf_add_json(gone, base_str(id));
		g_hash_table_replace(log->parts_put, id, NULL);
	}
	for (size_t i = 0; i < n; i++) {
		char *id = base_str_dup(put, records[i].spec.id);
		char *text = jobs_record_print(put, &records[i]);
		const uint64_t *old = g_hash_table_lookup(log->digests, id);

		if (old && *old == XXH3_64bits(text, strlen(text)))
			continue;
		if (put->len + gone->len + strlen(text) >
		    SITE_JOBLOG_VALUE_MAX - 256)
			end_part(log, put, gone, true);
		base_buf_adds(put, put->len ? "," : "");
		base_buf_adds(put, text);
		g_hash_table_replace(log->parts_put, g_strdup(id),
				     g_strdup(text));
	}
	if (put->len || gone->len || !g_queue_is_empty(&log->parts))
		end_part(log, put, gone, false);
	talloc_free(put);
	talloc_free(gone);
	fits = g_queue_get_length(&log->parts) <= room;
	if (!fits) {
		GHashTableIter iter;
		void *id, *text;

		g_hash_table_iter_init(&iter, log->parts_put);
		while (g_hash_table_iter_next(&iter, &id, &text))
			if (!text)
				g_queue_push_tail(&log->gone, g_strdup(id));
		g_hash_table_remove_all(log->parts_put);
		g_queue_clear_full(&log->parts, g_free);
	}
	return fits;
}

static void end_part(site_joblog_t *log, base_buf_t *put, base_buf_t *gone,
		     bool more)
{
	int64_t seq = log->seq + 1 + g_queue_get_length(&log->parts);

	g_queue_push_tail(
		&log->parts,
		g_strdup_printf("{\"seq\":%" PRId64 ",\"fence\":%" PRId64
				",\"more\":%s,\"put\":[%s],\"gone\":[%s]}",
				seq, log->fence_revision,
				more ? "true" : "false", put->ptr, gone->ptr));
	base_buf_reset(put);
	base_buf_reset(gone);
}

/* Write what is left of a commit, and take it over once all is written. */
static wrote_t flush(site_joblog_t *log)
{
	if (log->lost)
		return WROTE_LOST;
	while (!g_queue_is_empty(&log->parts)) {
		char *text = g_queue_peek_head(&log->parts);
		char key[64];
		wrote_t done;

		slot_key(key, log->seq + 1);
		done = write_value(log, key, text);
		if (done != WROTE_DONE)
			return done;
		log->seq++;
		log->since += strlen(text);
		log->stats.writes++;
		log->stats.bytes += strlen(text);
		g_free(g_queue_pop_head(&log->parts));
	}
	note_all(log);
	return WROTE_DONE;
}

/*
 * After an answer that was lost twice the same text is written again: it may
 * stand there already.
 */
static wrote_t write_value(site_joblog_t *log, const char *key,
			   const char *text)
{
	int64_t *seen = g_hash_table_lookup(log->revisions, key);
	plat_put_t put = { .key = key,
			   .value = base_str(text),
			   .expected = seen ? *seen : 0,
			   .fence_key = log->fence_key,
			   .fence_revision = log->fence_revision };
	plat_cas_t done;
	int64_t now = 0;

	done = plat_cas_sure(log->store, &put, &now, NULL);
	if (done == PLAT_CAS_FAILED)
		return WROTE_AGAIN;
	if (done == PLAT_CAS_CONFLICT)
		return find_out(log, &put);
	note_revision(log, key, now);
	return WROTE_DONE;
}

/*
 * What a conflict means: an earlier try has written the text; nothing was
 * written, and the duty is still held; or there is another holder.
 */
static wrote_t find_out(site_joblog_t *log, const plat_put_t *put)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs, duty;
	wrote_t found = WROTE_AGAIN;
	int64_t now;

	if (!log->store->ops->range(log->store, ctx, put->key, false, &kvs,
				    NULL) ||
	    !log->store->ops->range(log->store, ctx, put->fence_key, false,
				    &duty, NULL))
		goto out;
	now = kvs.count ? kvs.items[0].mod_revision : 0;
	if (kvs.count && now > put->expected &&
	    base_str_eq(kvs.items[0].value, put->value)) {
		note_revision(log, put->key, now);
		found = WROTE_DONE;
	} else if (now != put->expected || !duty.count ||
		   duty.items[0].create_revision != put->fence_revision) {
		log->lost = true;
		found = WROTE_LOST;
	}
out:
	talloc_free(ctx);
	return found;
}

static void note_revision(site_joblog_t *log, const char *key, int64_t revision)
{
	int64_t *copy = g_new(int64_t, 1);

	*copy = revision;
	g_hash_table_replace(log->revisions, g_strdup(key), copy);
}

static bool snapshot_due(const site_joblog_t *log)
{
	return !log->parts.head &&
	       (log->seq - log->head_seq >= SITE_JOBLOG_RECORDS ||
		log->since > MAX((size_t)SITE_JOBLOG_BYTES, log->snap_size));
}

/*
 * Records may change while the parts are written: whatever does is in the
 * log after "snap_seq" too.  A part may even be ahead of the log, which does
 * no harm: what was decided is acted on only after its commit.
 */
static void snapshot_begin(site_joblog_t *log)
{
	guint n = 0;

	log->ids = (char **)g_hash_table_get_keys_as_array(log->digests, &n);
	for (guint i = 0; i < n; i++)
		log->ids[i] = g_strdup(log->ids[i]);
	log->ids_n = n;
	log->ids_at = 0;
	log->snap_seq = log->seq;
	log->snap_parts = 0;
	log->snap_bytes = 0;
	log->since = 0;
}

/* The next part's text, or NULL at the end. */
static char *snapshot_part(site_joblog_t *log, site_record_fn_t record,
			   void *arg)
{
	GString *out = g_string_new("{\"put\":[");
	void *ctx = talloc_new(NULL);
	size_t empty = out->len;

	for (; log->ids_at < log->ids_n; log->ids_at++) {
		jobs_record_t now;
		char *text;

		if (!record(arg, base_str(log->ids[log->ids_at]), &now))
			continue;
		text = jobs_record_print(ctx, &now);
		if (out->len + strlen(text) > SITE_JOBLOG_VALUE_MAX - 256)
			break;
		if (out->len > empty)
			g_string_append_c(out, ',');
		g_string_append(out, text);
		talloc_free(text);
	}
	talloc_free(ctx);
	if (out->len == empty) {
		g_string_free(out, TRUE);
		return NULL;
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

static wrote_t snapshot_end(site_joblog_t *log)
{
	char *text =
		g_strdup_printf("{\"area\":%d,\"parts\":%d,\"seq\":%" PRId64
				",\"fence\":%" PRId64 ",\"bytes\":%zu}",
				1 - log->area, log->snap_parts, log->snap_seq,
				log->fence_revision, log->snap_bytes);
	wrote_t done = write_value(log, SITE_JOBS_HEAD, text);

	g_free(text);
	if (done != WROTE_DONE)
		return done;
	log->area = 1 - log->area;
	log->head_seq = log->snap_seq;
	log->snap_size = log->snap_bytes;
	log->stats.snapshots++;
	log->stats.snapshot_bytes += log->snap_bytes;
	snapshot_drop(log);
	return WROTE_DONE;
}

static void snapshot_drop(site_joblog_t *log)
{
	for (size_t i = 0; i < log->ids_n; i++)
		g_free(log->ids[i]);
	g_clear_pointer(&log->ids, g_free);
	g_clear_pointer(&log->snap_text, g_free);
	log->ids_n = 0;
}

static void slot_key(char key[64], int64_t seq)
{
	g_snprintf(key, 64, SITE_JOBS_PREFIX "log/%04d",
		   (int)(seq % SITE_JOBLOG_SLOTS));
}

static void part_key(char key[64], int area, int part)
{
	g_snprintf(key, 64, SITE_JOBS_PREFIX "snap/%d/%04d", area, part);
}
