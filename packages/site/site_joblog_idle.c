#include "site_joblog_int.h"

/*
 * Instances without tasks, as the holder of the jobs' duty says:
 *
 *   idle  {"fence", "jobs", "instances": {ID: SEQ}}
 */

static bool idle_load(json_t *root, json_t **all, int *may_run);
static char *idle_print(const site_joblog_t *log, bool may_run,
			const fleet_idle_t *idle, size_t n);
static site_wrote_t write_idle(site_joblog_t *log);

/* What is not known to stand is written again, the same text, before more. */
jobs_commit_t site_joblog_idle(site_joblog_t *log, bool may_run,
			       const fleet_idle_t *idle, size_t n)
{
	site_wrote_t done = SITE_WROTE_DONE;
	char *text;

	if (log->lost)
		return JOBS_COMMIT_LOST;
	if (log->idle_unsure)
		done = write_idle(log);
	if (done != SITE_WROTE_DONE)
		return site_joblog_told(done);
	text = idle_print(log, may_run, idle, n);
	if (!g_strcmp0(text, log->idle)) {
		g_free(text);
		return JOBS_COMMIT_DONE;
	}
	g_free(log->idle);
	log->idle = text;
	return site_joblog_told(write_idle(log));
}

bool site_take_idle(fleet_t *fleet, base_str_t value)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	json_t *all = NULL, *seq;
	size_t n = 0;
	fleet_idle_t *idle;
	const char *id;
	int may_run;

	if (!idle_load(root, &all, &may_run)) {
		json_decref(root);
		return false;
	}
	idle = talloc_zero_array(NULL, fleet_idle_t, json_object_size(all) + 1);
	json_object_foreach(all, id, seq) idle[n++] =
		(fleet_idle_t){ id, (uint64_t)json_integer_value(seq) };
	fleet_tasks(fleet, may_run, idle, n);
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
		json_t *root = json_loadb(value.ptr, value.len, 0, NULL), *all;
		int said;

		/* What cannot be read forbids nothing. */
		*may_run = !idle_load(root, &all, &said) || said;
		json_decref(root);
	}
	talloc_free(ctx);
	return read;
}

static bool idle_load(json_t *root, json_t **all, int *may_run)
{
	return !json_unpack(root, "{s:b,s:o}", "jobs", may_run, "instances",
			    all) &&
	       json_is_object(*all);
}

static char *idle_print(const site_joblog_t *log, bool may_run,
			const fleet_idle_t *idle, size_t n)
{
	json_t *all = json_object(), *root;
	char *dump, *text;

	for (size_t i = 0; i < n; i++)
		json_object_set_new(all, idle[i].id,
				    json_integer((json_int_t)idle[i].seq));
	root = json_pack("{s:I,s:b,s:o}", "fence",
			 (json_int_t)log->fence_revision, "jobs", (int)may_run,
			 "instances", all);
	dump = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	text = g_strdup(dump);
	free(dump);
	json_decref(root);
	return text;
}

static site_wrote_t write_idle(site_joblog_t *log)
{
	site_wrote_t done = site_joblog_write(log, SITE_JOBS_IDLE, log->idle);

	log->idle_unsure = done == SITE_WROTE_AGAIN;
	return done;
}
