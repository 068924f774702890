#include "site_joblog_int.h"

/*
 * Snapshots, in parts, one written in a step.
 */

#define LEARNED_MAX (SITE_JOBLOG_VALUE_MAX - 256) /* bytes, in one part */

static bool forget_all(site_joblog_t *log);
static bool snapshot_due(const site_joblog_t *log);
static void snapshot_begin(site_joblog_t *log);
static char *snapshot_part(site_joblog_t *log, site_record_fn_t record,
			   site_learned_fn_t learned, void *arg);
static void add_learned(site_joblog_t *log, site_learned_fn_t learned,
			void *arg, GString *out, bool first);
static site_wrote_t snapshot_end(site_joblog_t *log);

bool site_joblog_snapshot(site_joblog_t *log, site_record_fn_t record,
			  site_learned_fn_t learned, void *arg)
{
	char key[64];
	site_wrote_t done;

	if (log->lost || !forget_all(log))
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
		if (done != SITE_WROTE_DONE)
			return done == SITE_WROTE_AGAIN;
		log->snap_bytes += strlen(log->snap_text);
		log->snap_parts++;
		g_clear_pointer(&log->snap_text, g_free);
	}
	if (!log->snap_learned)
		return true;
	return snapshot_end(log) != SITE_WROTE_LOST;
}

/* What no commit has taken along: a successor would know the jobs again. */
static bool forget_all(site_joblog_t *log)
{
	return (g_queue_is_empty(&log->gone) &&
		g_queue_is_empty(&log->parts)) ||
	       site_joblog_commit(log, NULL, 0) != JOBS_COMMIT_LOST;
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
	log->snap_learned = false;
	log->snap_seq = log->seq;
	log->snap_parts = 0;
	log->snap_bytes = 0;
	log->since = 0;
}

/* The next records, then what was learned; NULL at the end. */
static char *snapshot_part(site_joblog_t *log, site_record_fn_t record,
			   site_learned_fn_t learned, void *arg)
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
	if (log->snap_learned) {
		g_string_free(out, TRUE);
		return NULL;
	}
	if (log->ids_at < log->ids_n)
		g_string_append(out, "]}");
	else
		add_learned(log, learned, arg, out, out->len == empty);
	return g_string_free(out, FALSE);
}

/*
 * After the last record, or in a part of its own where it does not fit; a
 * reader that does not know it skips it.
 */
static void add_learned(site_joblog_t *log, site_learned_fn_t learned,
			void *arg, GString *out, bool first)
{
	void *ctx = talloc_new(NULL);
	char *text = learned(arg, ctx, LEARNED_MAX);

	log->snap_learned =
		first || out->len + strlen(text) <= SITE_JOBLOG_VALUE_MAX - 64;
	if (log->snap_learned)
		g_string_append_printf(out, "],\"learned\":%s}", text);
	else
		g_string_append(out, "]}");
	talloc_free(ctx);
}

static site_wrote_t snapshot_end(site_joblog_t *log)
{
	char *text =
		g_strdup_printf("{\"area\":%d,\"parts\":%d,\"seq\":%" PRId64
				",\"fence\":%" PRId64 ",\"bytes\":%zu}",
				1 - log->area, log->snap_parts, log->snap_seq,
				log->fence_revision, log->snap_bytes);
	site_wrote_t done = site_joblog_write(log, SITE_JOBS_HEAD, text);

	g_free(text);
	if (done != SITE_WROTE_DONE)
		return done;
	log->area = 1 - log->area;
	log->head_seq = log->snap_seq;
	log->snap_size = log->snap_bytes;
	log->stats.snapshots++;
	log->stats.snapshot_bytes += log->snap_bytes;
	site_joblog_snap_drop(log);
	return SITE_WROTE_DONE;
}

void site_joblog_snap_drop(site_joblog_t *log)
{
	for (size_t i = 0; i < log->ids_n; i++)
		g_free(log->ids[i]);
	g_clear_pointer(&log->ids, g_free);
	g_clear_pointer(&log->snap_text, g_free);
	log->ids_n = 0;
}
