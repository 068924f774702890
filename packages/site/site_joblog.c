#include "site_joblog_int.h"

/*
 * Commits: the changes of a step form one log record, or several if they do
 * not fit one value.
 */

static int free_log(site_joblog_t *log);
static void apply_commit(site_joblog_t *log);
static bool build_commit(site_joblog_t *log, const jobs_record_t *records,
			 size_t n);
static void add_removals(site_joblog_t *log, base_buf_t *removed);
static void add_record(site_joblog_t *log, const jobs_record_t *record,
		       base_buf_t *put, base_buf_t *removed);
static void discard_commit(site_joblog_t *log);
static void end_record(site_joblog_t *log, base_buf_t *put, base_buf_t *removed,
		       bool more);
static site_write_t flush(site_joblog_t *log);
static site_write_t resolve_conflict(site_joblog_t *log, const plat_put_t *put);

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
	log->unwritten_changes =
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
	g_queue_clear_full(&log->removed_ids, g_free);
	g_queue_clear_full(&log->unwritten_records, g_free);
	g_hash_table_destroy(log->digests);
	g_hash_table_destroy(log->unwritten_changes);
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
	site_write_t done = flush(log);

	if (done != SITE_WRITE_DONE)
		return site_joblog_commit_status(done);
	if (!build_commit(log, records, n))
		return JOBS_COMMIT_UNKNOWN;
	if (!g_queue_is_empty(&log->unwritten_records))
		log->stats.commits++;
	return site_joblog_commit_status(flush(log));
}

jobs_commit_t site_joblog_commit_status(site_write_t result)
{
	static const jobs_commit_t commits[SITE_WRITE_MAX] = {
		[SITE_WRITE_DONE] = JOBS_COMMIT_DONE,
		[SITE_WRITE_AGAIN] = JOBS_COMMIT_UNKNOWN,
		[SITE_WRITE_LOST] = JOBS_COMMIT_FENCED,
	};

	return commits[result];
}

void site_joblog_remove(site_joblog_t *log, base_str_t id)
{
	g_queue_push_tail(&log->removed_ids, g_strndup(id.ptr, id.len));
}

site_joblog_stats_t site_joblog_stats(const site_joblog_t *log)
{
	site_joblog_stats_t stats = log->stats;

	stats.jobs = g_hash_table_size(log->digests);
	return stats;
}

static void apply_commit(site_joblog_t *log)
{
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, log->unwritten_changes);
	while (g_hash_table_iter_next(&iter, &id, &text)) {
		if (text)
			site_joblog_set_digest(log, id, text);
		else
			g_hash_table_remove(log->digests, id);
	}
	g_hash_table_remove_all(log->unwritten_changes);
}

void site_joblog_set_digest(site_joblog_t *log, const char *id,
			    const char *text)
{
	uint64_t *digest = g_new(uint64_t, 1);

	*digest = XXH3_64bits(text, strlen(text));
	g_hash_table_replace(log->digests, g_strdup(id), digest);
}

/* Builds the records of the next commit; false if the ring is full. */
static bool build_commit(site_joblog_t *log, const jobs_record_t *records,
			 size_t n)
{
	base_buf_t *put = base_buf_new(log), *removed = base_buf_new(log);
	int64_t room = SITE_JOBLOG_SLOTS - 1 - (log->seq - log->head_seq);

	add_removals(log, removed);
	for (size_t i = 0; i < n; i++)
		add_record(log, &records[i], put, removed);
	if (put->len || removed->len ||
	    !g_queue_is_empty(&log->unwritten_records))
		end_record(log, put, removed, false);
	talloc_free(put);
	talloc_free(removed);
	if (g_queue_get_length(&log->unwritten_records) <= room)
		return true;
	discard_commit(log);
	return false;
}

static void add_removals(site_joblog_t *log, base_buf_t *removed)
{
	while (!g_queue_is_empty(&log->removed_ids)) {
		char *id = g_queue_pop_head(&log->removed_ids);

		base_buf_adds(removed, removed->len ? "," : "");
		base_buf_add_json(removed, base_str(id));
		g_hash_table_replace(log->unwritten_changes, id, NULL);
	}
}

/* Adds a record to the commit unless the log already has the same text. */
static void add_record(site_joblog_t *log, const jobs_record_t *record,
		       base_buf_t *put, base_buf_t *removed)
{
	char *id = base_str_dup(put, record->spec.id);
	char *text = jobs_record_print(put, record);
	const uint64_t *old = g_hash_table_lookup(log->digests, id);

	if (old && *old == XXH3_64bits(text, strlen(text)))
		return;
	if (put->len + removed->len + strlen(text) >
	    SITE_JOBLOG_VALUE_MAX - 256)
		end_record(log, put, removed, true);
	base_buf_adds(put, put->len ? "," : "");
	base_buf_adds(put, text);
	g_hash_table_replace(log->unwritten_changes, g_strdup(id),
			     g_strdup(text));
}

/*
 * Discards a commit before anything was written.  The caller passes the records
 * again with the next commit; the removed ids have to be queued again here.
 */
static void discard_commit(site_joblog_t *log)
{
	GHashTableIter iter;
	void *id, *text;

	g_hash_table_iter_init(&iter, log->unwritten_changes);
	while (g_hash_table_iter_next(&iter, &id, &text))
		if (!text)
			g_queue_push_tail(&log->removed_ids, g_strdup(id));
	g_hash_table_remove_all(log->unwritten_changes);
	g_queue_clear_full(&log->unwritten_records, g_free);
}

static void end_record(site_joblog_t *log, base_buf_t *put, base_buf_t *removed,
		       bool more)
{
	int64_t seq =
		log->seq + 1 + g_queue_get_length(&log->unwritten_records);

	g_queue_push_tail(
		&log->unwritten_records,
		g_strdup_printf("{\"seq\":%" PRId64 ",\"fence\":%" PRId64
				",\"more\":%s,\"put\":[%s],\"gone\":[%s]}",
				seq, log->fence_revision,
				more ? "true" : "false", put->ptr,
				removed->ptr));
	base_buf_reset(put);
	base_buf_reset(removed);
}

/*
 * Writes the remaining log records of the commit; updates the digests once all
 * are written.
 */
static site_write_t flush(site_joblog_t *log)
{
	if (log->lease_lost)
		return SITE_WRITE_LOST;
	while (!g_queue_is_empty(&log->unwritten_records)) {
		char *text = g_queue_peek_head(&log->unwritten_records);
		char key[64];
		site_write_t done;

		site_joblog_slot_key(key, log->seq + 1);
		done = site_joblog_write(log, key, text);
		if (done != SITE_WRITE_DONE)
			return done;
		log->seq++;
		log->log_bytes += strlen(text);
		log->stats.writes++;
		log->stats.bytes += strlen(text);
		g_free(g_queue_pop_head(&log->unwritten_records));
	}
	apply_commit(log);
	return SITE_WRITE_DONE;
}

/*
 * If neither the response nor the read-back arrives, the caller writes the same
 * text again; it may then already be stored.
 */
site_write_t site_joblog_write(site_joblog_t *log, const char *key,
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

	done = plat_cas_confirmed(log->store, &put, &now, NULL);
	if (done == PLAT_CAS_FAILED)
		return SITE_WRITE_AGAIN;
	if (done == PLAT_CAS_CONFLICT)
		return resolve_conflict(log, &put);
	site_joblog_set_revision(log, key, now);
	return SITE_WRITE_DONE;
}

/*
 * Finds out why a compare-and-swap failed: an earlier try wrote the text
 * (DONE), nothing was written and the lease is still held (AGAIN), or there is
 * another holder (LOST).
 */
static site_write_t resolve_conflict(site_joblog_t *log, const plat_put_t *put)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs, duty;
	site_write_t found = SITE_WRITE_AGAIN;
	int64_t now;

	if (!log->store->ops->range(log->store, ctx, put->key, false, &kvs,
				    NULL) ||
	    !log->store->ops->range(log->store, ctx, put->fence_key, false,
				    &duty, NULL))
		goto out;
	now = kvs.count ? kvs.items[0].mod_revision : 0;
	if (kvs.count && now > put->expected &&
	    base_str_eq(kvs.items[0].value, put->value)) {
		site_joblog_set_revision(log, put->key, now);
		found = SITE_WRITE_DONE;
	} else if (now != put->expected || !duty.count ||
		   duty.items[0].create_revision != put->fence_revision) {
		log->lease_lost = true;
		found = SITE_WRITE_LOST;
	}
out:
	talloc_free(ctx);
	return found;
}

void site_joblog_set_revision(site_joblog_t *log, const char *key,
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
