#include "site_joblog_int.h"

/*
 * Snapshots are written in parts, one part per step.
 */

#define LEARNED_MAX (SITE_JOBLOG_VALUE_MAX - 256) /* bytes; fits one part */

static bool commit_removals(site_joblog_t *log);
static bool snapshot_due(const site_joblog_t *log);
static void snapshot_begin(site_joblog_t *log);
static char *snapshot_part(site_joblog_t *log, site_record_fn_t record,
			   site_learned_fn_t learned, void *arg);
static void add_learned(site_joblog_t *log, site_learned_fn_t learned,
			void *arg, GString *out, bool is_empty);
static site_write_t snapshot_end(site_joblog_t *log);

bool site_joblog_snapshot(site_joblog_t *log, site_record_fn_t record,
			  site_learned_fn_t learned, void *arg)
{
	char key[64];
	site_write_t done;

	if (log->lease_lost || !commit_removals(log))
		return false;
	if (!log->ids && !snapshot_due(log))
		return true;
	if (!log->ids)
		snapshot_begin(log);
	if (!log->snap_text)
		log->snap_text = snapshot_part(log, record, learned, arg);
	if (log->snap_text) {
		site_joblog_part_key(key, 1 - log->area, log->snap_parts);
		done = site_joblog_write(log, key, log->snap_text);
		if (done != SITE_WRITE_DONE)
			return done == SITE_WRITE_AGAIN;
		log->snap_bytes += strlen(log->snap_text);
		log->snap_parts++;
		g_clear_pointer(&log->snap_text, g_free);
	}
	if (!log->snap_complete)
		return true;
	return snapshot_end(log) != SITE_WRITE_LOST;
}

/*
 * Commits pending removals.  Without this a new holder would read the removed
 * jobs again.
 */
static bool commit_removals(site_joblog_t *log)
{
	return (g_queue_is_empty(&log->removed_ids) &&
		g_queue_is_empty(&log->unwritten_records)) ||
	       site_joblog_commit(log, NULL, 0) != JOBS_COMMIT_FENCED;
}

static bool snapshot_due(const site_joblog_t *log)
{
	return !log->unwritten_records.head &&
	       (log->seq - log->head_seq >= SITE_JOBLOG_RECORDS ||
		log->log_bytes >
			MAX((size_t)SITE_JOBLOG_BYTES, log->last_snap_bytes));
}

/*
 * Records may change while the parts are written; those changes are also in the
 * log after "snap_seq".  A part may be ahead of the log.  This is harmless,
 * because decisions take effect only after their commit.
 */
static void snapshot_begin(site_joblog_t *log)
{
	guint n = 0;

	log->ids = (char **)g_hash_table_get_keys_as_array(log->digests, &n);
	for (guint i = 0; i < n; i++)
		log->ids[i] = g_strdup(log->ids[i]);
	log->n_ids = n;
	log->next_id = 0;
	log->snap_complete = false;
	log->snap_seq = log->seq;
	log->snap_parts = 0;
	log->snap_bytes = 0;
	log->log_bytes = 0;
}

/* Builds the next part: records, then the learned data; NULL at the end. */
static char *snapshot_part(site_joblog_t *log, site_record_fn_t record,
			   site_learned_fn_t learned, void *arg)
{
	GString *out = g_string_new("{\"put\":[");
	void *ctx = talloc_new(NULL);
	size_t empty = out->len;

	for (; log->next_id < log->n_ids; log->next_id++) {
		jobs_record_t now;
		char *text;

		if (!record(arg, base_str(log->ids[log->next_id]), &now))
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
	if (log->snap_complete) {
		g_string_free(out, TRUE);
		return NULL;
	}
	if (log->next_id < log->n_ids)
		g_string_append(out, "]}");
	else
		add_learned(log, learned, arg, out, out->len == empty);
	return g_string_free(out, FALSE);
}

/*
 * Adds the learned data after the last record.  If it does not fit, it goes
 * into a separate part.  Older readers ignore the member.
 */
static void add_learned(site_joblog_t *log, site_learned_fn_t learned,
			void *arg, GString *out, bool is_empty)
{
	void *ctx = talloc_new(NULL);
	char *text = learned(arg, ctx, LEARNED_MAX);

	log->snap_complete = is_empty || out->len + strlen(text) <=
						 SITE_JOBLOG_VALUE_MAX - 64;
	if (log->snap_complete)
		g_string_append_printf(out, "],\"learned\":%s}", text);
	else
		g_string_append(out, "]}");
	talloc_free(ctx);
}

static site_write_t snapshot_end(site_joblog_t *log)
{
	char *text =
		g_strdup_printf("{\"area\":%d,\"parts\":%d,\"seq\":%" PRId64
				",\"fence\":%" PRId64 ",\"bytes\":%zu}",
				1 - log->area, log->snap_parts, log->snap_seq,
				log->fence_revision, log->snap_bytes);
	site_write_t done = site_joblog_write(log, SITE_JOBS_HEAD, text);

	g_free(text);
	if (done != SITE_WRITE_DONE)
		return done;
	log->area = 1 - log->area;
	log->head_seq = log->snap_seq;
	log->last_snap_bytes = log->snap_bytes;
	log->stats.snapshots++;
	log->stats.snapshot_bytes += log->snap_bytes;
	site_joblog_snap_drop(log);
	return SITE_WRITE_DONE;
}

void site_joblog_snap_drop(site_joblog_t *log)
{
	for (size_t i = 0; i < log->n_ids; i++)
		g_free(log->ids[i]);
	g_clear_pointer(&log->ids, g_free);
	g_clear_pointer(&log->snap_text, g_free);
	log->n_ids = 0;
}
