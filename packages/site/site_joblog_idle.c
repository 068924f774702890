#include "site_joblog_int.h"

/*
 * The idle record: instances without tasks, written by the holder of the jobs
 * lease:
 *
 *   idle  {"fence", "jobs", "instances": {ID: SEQ}}
 *
 * "jobs" says whether jobs may run tasks; SEQ is the sequence number of the
 * instance's fleet record.
 */

static bool idle_load(json_t *root, json_t **instances, int *may_run);
static char *idle_print(const site_joblog_t *log, bool may_run,
			const fleet_idle_t *idle, size_t n);
static site_write_t write_idle(site_joblog_t *log);

/* A write with unknown outcome is repeated with its text before a new one. */
jobs_commit_t site_joblog_write_idle(site_joblog_t *log, bool may_run,
				     const fleet_idle_t *idle, size_t n)
{
	site_write_t done = SITE_WRITE_DONE;
	char *text;

	if (log->lease_lost)
		return JOBS_COMMIT_FENCED;
	if (log->idle_unconfirmed)
		done = write_idle(log);
	if (done != SITE_WRITE_DONE)
		return site_joblog_commit_status(done);
	text = idle_print(log, may_run, idle, n);
	if (!g_strcmp0(text, log->idle)) {
		g_free(text);
		return JOBS_COMMIT_DONE;
	}
	g_free(log->idle);
	log->idle = text;
	return site_joblog_commit_status(write_idle(log));
}

bool site_apply_idle(fleet_t *fleet, base_str_t value)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	json_t *instances = NULL, *seq;
	size_t n = 0;
	fleet_idle_t *idle;
	const char *id;
	int may_run;

	if (!idle_load(root, &instances, &may_run)) {
		json_decref(root);
		return false;
	}
	idle = talloc_zero_array(NULL, fleet_idle_t,
				 json_object_size(instances) + 1);
	json_object_foreach(instances, id, seq) idle[n++] =
		(fleet_idle_t){ id, (uint64_t)json_integer_value(seq) };
	fleet_set_idle(fleet, may_run, idle, n);
	talloc_free(idle);
	json_decref(root);
	return true;
}

bool site_jobs_may_run(plat_store_t *store, bool *may_run, GError **err)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs = { 0 };
	bool read =
		store->ops->range(store, ctx, SITE_JOBS_IDLE, false, &kvs, err);

	*may_run = false;
	if (read && kvs.count) {
		base_str_t value = kvs.items[0].value;
		json_t *root = json_loadb(value.ptr, value.len, 0, NULL),
		       *instances;
		int jobs_allowed;

		/* A malformed record does not forbid tasks. */
		*may_run = !idle_load(root, &instances, &jobs_allowed) ||
			   jobs_allowed;
		json_decref(root);
	}
	talloc_free(ctx);
	return read;
}

static bool idle_load(json_t *root, json_t **instances, int *may_run)
{
	return !json_unpack(root, "{s:b,s:o}", "jobs", may_run, "instances",
			    instances) &&
	       json_is_object(*instances);
}

static char *idle_print(const site_joblog_t *log, bool may_run,
			const fleet_idle_t *idle, size_t n)
{
	json_t *instances = json_object(), *root;
	char *dump, *text;

	for (size_t i = 0; i < n; i++)
		json_object_set_new(instances, idle[i].id,
				    json_integer((json_int_t)idle[i].seq));
	root = json_pack("{s:I,s:b,s:o}", "fence",
			 (json_int_t)log->fence_revision, "jobs", (int)may_run,
			 "instances", instances);
	dump = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	text = g_strdup(dump);
	free(dump);
	json_decref(root);
	return text;
}

static site_write_t write_idle(site_joblog_t *log)
{
	site_write_t done = site_joblog_write(log, SITE_JOBS_IDLE, log->idle);

	log->idle_unconfirmed = done == SITE_WRITE_AGAIN;
	return done;
}
