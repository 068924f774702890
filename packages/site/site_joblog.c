#include "site_joblog_int.h"

/*
 * Commits: what a step changed is one value of the log, or a few.
 */

static int free_log(site_joblog_t *log);
static void note_all(site_joblog_t *log);
static bool build(site_joblog_t *log, const jobs_record_t *records, size_t n);
static void add_gone(site_joblog_t *log, base_buf_t *gone);
static void add_record(site_joblog_t *log, const jobs_record_t *record,
		       base_buf_t *put, base_buf_t *gone);
static void take_back(site_joblog_t *log);
static void end_part(site_joblog_t *log, base_buf_t *put, base_buf_t *gone,
		     bool more);
static site_wrote_t flush(site_joblog_t *log);
static site_wrote_t find_out(site_joblog_t *log, const plat_put_t *put);

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
	site_joblog_snap_drop(log);
	g_free(log->idle);
	g_queue_clear_full(&log->gone, g_free);
	g_queue_clear_full(&log->parts, g_free);
	g_hash_table_destroy(log->digests);
	g_hash_table_destroy(log->parts_put);
	g_hash_table_destroy(log->revisions);
	return 0;
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
	site_wrote_t done = flush(log);

	if (done != SITE_WROTE_DONE)
		return site_joblog_told(done);
	if (!build(log, records, n))
		return JOBS_COMMIT_AGAIN;
	if (!g_queue_is_empty(&log->parts))
		log->stats.commits++;
	return site_joblog_told(flush(log));
}

jobs_commit_t site_joblog_told(site_wrote_t wrote)
{
	static const jobs_commit_t commits[SITE_WROTE_MAX] = {
		[SITE_WROTE_DONE] = JOBS_COMMIT_DONE,
		[SITE_WROTE_AGAIN] = JOBS_COMMIT_AGAIN,
		[SITE_WROTE_LOST] = JOBS_COMMIT_LOST,
	};

	return commits[wrote];
}

void site_joblog_forget(site_joblog_t *log, base_str_t id)
{
	g_queue_push_tail(&log->gone, g_strndup(id.ptr, id.len));
}

site_joblog_stats_t site_joblog_stats(const site_joblog_t *log)
{
	site_joblog_stats_t stats = log->stats;

	stats.jobs = g_hash_table_size(log->digests);
	return stats;
}

static void note_all(site_joblog_t *log)
{
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, log->parts_put);
	while (g_hash_table_iter_next(&iter, &id, &text)) {
		if (text)
			site_joblog_note(log, id, text);
		else
			g_hash_table_remove(log->digests, id);
	}
	g_hash_table_remove_all(log->parts_put);
}

void site_joblog_note(site_joblog_t *log, const char *id, const char *text)
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

	add_gone(log, gone);
	for (size_t i = 0; i < n; i++)
		add_record(log, &records[i], put, gone);
	if (put->len || gone->len || !g_queue_is_empty(&log->parts))
		end_part(log, put, gone, false);
	talloc_free(put);
	talloc_free(gone);
	if (g_queue_get_length(&log->parts) <= room)
		return true;
	take_back(log);
	return false;
}

static void add_gone(site_joblog_t *log, base_buf_t *gone)
{
	while (!g_queue_is_empty(&log->gone)) {
		char *id = g_queue_pop_head(&log->gone);

		base_buf_adds(gone, gone->len ? "," : "");
		base_buf_add_json(gone, base_str(id));
		g_hash_table_replace(log->parts_put, id, NULL);
	}
}

/* One that stands in the log as it is would only cost room. */
static void add_record(site_joblog_t *log, const jobs_record_t *record,
		       base_buf_t *put, base_buf_t *gone)
{
	char *id = base_str_dup(put, record->spec.id);
	char *text = jobs_record_print(put, record);
	const uint64_t *old = g_hash_table_lookup(log->digests, id);

	if (old && *old == XXH3_64bits(text, strlen(text)))
		return;
	if (put->len + gone->len + strlen(text) > SITE_JOBLOG_VALUE_MAX - 256)
		end_part(log, put, gone, true);
	base_buf_adds(put, put->len ? "," : "");
	base_buf_adds(put, text);
	g_hash_table_replace(log->parts_put, g_strdup(id), g_strdup(text));
}

/* The records come again with the next commit, the forgotten ids do not. */
static void take_back(site_joblog_t *log)
{
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, log->parts_put);
	while (g_hash_table_iter_next(&iter, &id, &text))
		if (!text)
			g_queue_push_tail(&log->gone, g_strdup(id));
	g_hash_table_remove_all(log->parts_put);
	g_queue_clear_full(&log->parts, g_free);
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
static site_wrote_t flush(site_joblog_t *log)
{
	if (log->lost)
		return SITE_WROTE_LOST;
	while (!g_queue_is_empty(&log->parts)) {
		char *text = g_queue_peek_head(&log->parts);
		char key[64];
		site_wrote_t done;

		site_joblog_slot_key(key, log->seq + 1);
		done = site_joblog_write(log, key, text);
		if (done != SITE_WROTE_DONE)
			return done;
		log->seq++;
		log->since += strlen(text);
		log->stats.writes++;
		log->stats.bytes += strlen(text);
		g_free(g_queue_pop_head(&log->parts));
	}
	note_all(log);
	return SITE_WROTE_DONE;
}

/*
 * After an answer that was lost twice the same text is written again: it may
 * stand there already.
 */
site_wrote_t site_joblog_write(site_joblog_t *log, const char *key,
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
		return SITE_WROTE_AGAIN;
	if (done == PLAT_CAS_CONFLICT)
		return find_out(log, &put);
	site_joblog_note_revision(log, key, now);
	return SITE_WROTE_DONE;
}

/*
 * What a conflict means: an earlier try has written the text; nothing was
 * written, and the duty is still held; or there is another holder.
 */
static site_wrote_t find_out(site_joblog_t *log, const plat_put_t *put)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs, duty;
	site_wrote_t found = SITE_WROTE_AGAIN;
	int64_t now;

	if (!log->store->ops->range(log->store, ctx, put->key, false, &kvs,
				    NULL) ||
	    !log->store->ops->range(log->store, ctx, put->fence_key, false,
				    &duty, NULL))
		goto out;
	now = kvs.count ? kvs.items[0].mod_revision : 0;
	if (kvs.count && now > put->expected &&
	    base_str_eq(kvs.items[0].value, put->value)) {
		site_joblog_note_revision(log, put->key, now);
		found = SITE_WROTE_DONE;
	} else if (now != put->expected || !duty.count ||
		   duty.items[0].create_revision != put->fence_revision) {
		log->lost = true;
		found = SITE_WROTE_LOST;
	}
out:
	talloc_free(ctx);
	return found;
}

void site_joblog_note_revision(site_joblog_t *log, const char *key,
			       int64_t revision)
{
	int64_t *copy = g_new(int64_t, 1);

	*copy = revision;
	g_hash_table_replace(log->revisions, g_strdup(key), copy);
}

void site_joblog_slot_key(char key[64], int64_t seq)
{
	g_snprintf(key, 64, SITE_JOBS_PREFIX "log/%04d",
		   (int)(seq % SITE_JOBLOG_SLOTS));
}

void site_joblog_part_key(char key[64], int area, int part)
{
	g_snprintf(key, 64, SITE_JOBS_PREFIX "snap/%d/%04d", area, part);
}
