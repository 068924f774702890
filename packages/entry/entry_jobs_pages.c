#include <jansson.h>
#include <malloc.h>

#include "entry_jobs.h"

/*
 * The operators' pages about jobs.  An entry that does not hold the duty
 * answers with the address of the holder.  A request that changes something is
 * answered once the change is committed.
 */

#define COMMIT_WAIT_US (8 * BASE_SEC) /* a request's longest wait */
#define DUTY_KEY "/cactusfield/duty/jobs"

typedef bool (*change_fn_t)(jobs_t *core, int64_t now, base_str_t id,
			    GError **err);

static int change_job(struct mg_connection *conn, entry_jobs_t *jobs,
		      change_fn_t fn);
static int list_jobs(struct mg_connection *conn, entry_jobs_t *jobs);
static void add_job(void *arg, base_str_t id);
static int submit_jobs(struct mg_connection *conn, entry_jobs_t *jobs);
static base_str_t read_body(struct mg_connection *conn, void *ctx);
static conf_jobs_t *parse_jobs(entry_jobs_t *jobs, void *ctx, base_str_t text,
			       conf_faults_t *faults);
static json_t *accept_jobs(entry_jobs_t *jobs, const conf_jobs_t *submitted);
static jobs_spec_t make_spec(const conf_job_t *job);
static bool same_spec(const jobs_spec_t *a, const jobs_spec_t *b);
static json_t *faults_json(const conf_faults_t *faults);
static bool await_commit(entry_jobs_t *jobs);
static json_t *holder_json(entry_jobs_t *jobs);
static int answer_json(struct mg_connection *conn, json_t *json);
static base_str_t read_id(struct mg_connection *conn, char *buf, size_t size);

int entry_jobs_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	const char *method = mg_get_request_info(conn)->request_method;

	return strcmp(method, "POST") ? list_jobs(conn, daemon->jobs)
				      : submit_jobs(conn, daemon->jobs);
}

int entry_jobs_explain_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	entry_jobs_t *jobs = daemon->jobs;
	char buf[JOBS_ID_MAX + 1];
	base_str_t id = read_id(conn, buf, sizeof(buf));
	json_t *json = NULL;
	char *explanation;

	pthread_mutex_lock(&jobs->lock);
	if (jobs->core) {
		explanation =
			jobs_explain(jobs->core, NULL, base_clock_mono(), id);
		json = explanation ? json_pack("{s:s,s:s}", "result", "done",
					       "said", explanation)
				   : json_pack("{s:s,s:s}", "result", "refused",
					       "why", "no such job");
		talloc_free(explanation);
	}
	pthread_mutex_unlock(&jobs->lock);
	return answer_json(conn, json ? json : holder_json(jobs));
}

int entry_jobs_cancel_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	return change_job(conn, daemon->jobs, jobs_cancel);
}

int entry_jobs_release_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	return change_job(conn, daemon->jobs, jobs_release);
}

static int change_job(struct mg_connection *conn, entry_jobs_t *jobs,
		      change_fn_t fn)
{
	char buf[JOBS_ID_MAX + 1];
	base_str_t id = read_id(conn, buf, sizeof(buf));
	GError *cause = NULL;
	json_t *json = NULL;

	pthread_mutex_lock(&jobs->lock);
	if (jobs->core) {
		if (!fn(jobs->core, base_clock_mono(), id, &cause))
			json = json_pack("{s:s,s:s}", "result", "refused",
					 "why", cause->message);
		else
			json = json_pack("{s:s}", "result",
					 await_commit(jobs) ? "done" : "doubt");
	}
	pthread_mutex_unlock(&jobs->lock);
	g_clear_error(&cause);
	return answer_json(conn, json ? json : holder_json(jobs));
}

typedef struct listing {
	const jobs_t *core;
	json_t *jobs;
} listing_t;

static int list_jobs(struct mg_connection *conn, entry_jobs_t *jobs)
{
	listing_t listing = { .jobs = json_array() };
	json_t *json = NULL;

	pthread_mutex_lock(&jobs->lock);
	if (jobs->core) {
		listing.core = jobs->core;
		site_joblog_each(jobs->log, add_job, &listing);
		json = json_pack("{s:s,s:O}", "result", "done", "jobs",
				 listing.jobs);
	}
	pthread_mutex_unlock(&jobs->lock);
	json_decref(listing.jobs);
	return answer_json(conn, json ? json : holder_json(jobs));
}

static void add_job(void *arg, base_str_t id)
{
	listing_t *listing = arg;
	jobs_record_t record;

	if (!jobs_record(listing->core, id, &record))
		return;
	json_array_append_new(
		listing->jobs,
		json_pack("{s:s%,s:s%,s:s%,s:i,s:b,s:s,s:I,s:s%}", "id", id.ptr,
			  id.len, "team", record.spec.team.ptr,
			  record.spec.team.len, "family",
			  record.spec.family.ptr, record.spec.family.len,
			  "urgency", record.spec.urgency, "repeatable",
			  (int)record.spec.repeatable, "state",
			  jobs_state_name(record.state), "attempt",
			  (json_int_t)record.attempt, "worker",
			  record.n_tasks ? record.tasks[0].worker.ptr : "",
			  record.n_tasks ? record.tasks[0].worker.len : 0));
}

static int submit_jobs(struct mg_connection *conn, entry_jobs_t *jobs)
{
	void *ctx = talloc_new(NULL);
	conf_faults_t *faults = conf_faults_new(ctx);
	base_str_t text = read_body(conn, ctx);
	conf_jobs_t *submitted;
	json_t *json = NULL;

	/* Only the holder parses and checks the file. */
	if (!atomic_load(&jobs->epoch)) {
		talloc_free(ctx);
		return answer_json(conn, holder_json(jobs));
	}
	submitted = parse_jobs(jobs, ctx, text, faults);

	if (!submitted) {
		json = json_pack("{s:s,s:o}", "result", "refused", "faults",
				 faults_json(faults));
		talloc_free(ctx);
		return answer_json(conn, json);
	}
	pthread_mutex_lock(&jobs->lock);
	if (jobs->core) {
		json = accept_jobs(jobs, submitted);
		if (!json && await_commit(jobs))
			json = json_pack("{s:s,s:I}", "result", "done", "jobs",
					 (json_int_t)submitted->n_jobs);
		else if (!json)
			json = json_pack("{s:s}", "result", "doubt");
	}
	pthread_mutex_unlock(&jobs->lock);
	talloc_free(ctx);
	/* Checking a file of 1 MB takes about 10 MB of heap; return it. */
	malloc_trim(0);
	return answer_json(conn, json ? json : holder_json(jobs));
}

static base_str_t read_body(struct mg_connection *conn, void *ctx)
{
	base_buf_t *text = base_buf_new(ctx);
	char chunk[8192];
	int got;

	while (text->len <= CONF_TEXT_MAX &&
	       (got = mg_read(conn, chunk, sizeof(chunk))) > 0)
		base_buf_add(text, chunk, (size_t)got);
	return base_buf_str(text);
}

static conf_jobs_t *parse_jobs(entry_jobs_t *jobs, void *ctx, base_str_t text,
			       conf_faults_t *faults)
{
	entry_view_t *view = entry_view_hold(jobs->daemon->views);
	conf_jobs_t *submitted = conf_jobs_load(
		ctx, text, view->record ? view->record->config : NULL, faults);

	entry_view_release(view);
	return submitted;
}

/*
 * Submits the jobs of a file to the core; with the lock held.  NULL on success.
 * If an id belongs to a job with another description, no job is submitted and
 * the faults are returned.  A job that exists with the same description is a
 * repeated submission and is skipped.  If the core refuses a job for any other
 * reason the result is "doubt", because jobs before it may have been accepted.
 */
static json_t *accept_jobs(entry_jobs_t *jobs, const conf_jobs_t *submitted)
{
	json_t *faults = json_array();

	for (size_t i = 0; i < submitted->n_jobs; i++) {
		jobs_spec_t spec = make_spec(&submitted->jobs[i]);
		jobs_record_t existing;
		char path[40];

		g_snprintf(path, sizeof(path), "$.jobs[%zu].id", i);
		if (jobs_record(jobs->core, spec.id, &existing) &&
		    !same_spec(&existing.spec, &spec))
			json_array_append_new(
				faults,
				json_pack("{s:s,s:s%,s:s}", "path", path,
					  "found", spec.id.ptr, spec.id.len,
					  "want",
					  "an id that no other job has had"));
	}
	if (json_array_size(faults))
		return json_pack("{s:s,s:o}", "result", "refused", "faults",
				 faults);
	json_decref(faults);
	for (size_t i = 0; i < submitted->n_jobs; i++) {
		jobs_spec_t spec = make_spec(&submitted->jobs[i]);
		GError *cause = NULL;
		json_t *error;

		if (jobs_submit(jobs->core, base_clock_mono(), &spec, &cause) ||
		    g_error_matches(cause, JOBS_ERROR, JOBS_ERR_EXISTS)) {
			g_clear_error(&cause);
			continue;
		}
		error = json_pack("{s:s,s:s}", "result", "doubt", "why",
				  cause->message);
		g_clear_error(&cause);
		return error;
	}
	return NULL;
}

static jobs_spec_t make_spec(const conf_job_t *job)
{
	return (jobs_spec_t){
		.id = job->id,
		.team = job->team,
		.family = job->family,
		.urgency = (int)job->urgency,
		.repeatable = job->repeatable,
		.checkpoints = job->checkpoints,
		.throttles = job->throttles,
		.declared = { {
			[JOBS_CORES] = (int64_t)(job->cores * 1000.0 + 0.5),
			[JOBS_MEMORY] = job->memory_mb,
			[JOBS_ACCELERATORS] = job->accelerators,
		} },
	};
}

static bool same_spec(const jobs_spec_t *a, const jobs_spec_t *b)
{
	return base_str_eq(a->team, b->team) &&
	       base_str_eq(a->family, b->family) && a->urgency == b->urgency &&
	       a->repeatable == b->repeatable &&
	       a->checkpoints == b->checkpoints &&
	       a->throttles == b->throttles &&
	       !memcmp(&a->declared, &b->declared, sizeof(a->declared));
}

static json_t *faults_json(const conf_faults_t *faults)
{
	json_t *out = json_array();

	for (size_t i = 0; i < faults->n; i++)
		json_array_append_new(out,
				      json_pack("{s:s,s:i,s:s,s:s}", "path",
						faults->v[i].path, "line",
						faults->v[i].line, "found",
						faults->v[i].found, "want",
						faults->v[i].want));
	return out;
}

/*
 * Waits for a step to commit, with the lock held.  False after COMMIT_WAIT_US
 * or when the duty was lost: the change may or may not be stored.
 */
static bool await_commit(entry_jobs_t *jobs)
{
	uint64_t epoch = atomic_load(&jobs->epoch),
		 commits_before = jobs->commits;
	int64_t until = base_clock_wall() + COMMIT_WAIT_US;
	struct timespec wake = { until / BASE_SEC, until % BASE_SEC * 1000 };

	while (jobs->commits == commits_before &&
	       atomic_load(&jobs->epoch) == epoch)
		if (pthread_cond_timedwait(&jobs->step_cond, &jobs->lock,
					   &wake))
			break;
	return jobs->commits != commits_before &&
	       atomic_load(&jobs->epoch) == epoch;
}

/* Answers with the address of the duty's holder, read from the store. */
static json_t *holder_json(entry_jobs_t *jobs)
{
	void *ctx = talloc_new(NULL);
	const plat_store_ops_t *ops = jobs->store->ops;
	char *holder = NULL, *key, address[64];
	site_entry_t entry;
	plat_kvs_t kvs;
	bool found = false;

	if (ops->range(jobs->store, ctx, DUTY_KEY, false, &kvs, NULL) &&
	    kvs.count) {
		holder = base_str_dup(ctx, kvs.items[0].value);
		holder[strcspn(holder, "/")] = '\0';
		key = talloc_asprintf(ctx, SITE_ENTRIES_PREFIX "%s", holder);
		found = strcmp(holder, jobs->daemon->settings->name) != 0 &&
			ops->range(jobs->store, ctx, key, false, &kvs, NULL) &&
			kvs.count &&
			site_entry_load(ctx, holder, kvs.items[0].value,
					&entry);
	}
	if (found)
		g_snprintf(address, sizeof(address), "%s:%d",
			   entry.operator_address.host,
			   entry.operator_address.port);
	talloc_free(ctx);
	return found ? json_pack("{s:s,s:s}", "result", "elsewhere", "entry",
				 address)
		     : json_pack("{s:s}", "result", "nobody");
}

static int answer_json(struct mg_connection *conn, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	int status = entry_operators_answer(conn, 200, "application/json",
					    base_str(text));

	free(text);
	json_decref(json);
	return status;
}

static base_str_t read_id(struct mg_connection *conn, char *buf, size_t size)
{
	const char *query = mg_get_request_info(conn)->query_string;

	buf[0] = '\0';
	if (!query || mg_get_var(query, strlen(query), "id", buf, size) < 0)
		buf[0] = '\0';
	return base_str(buf);
}
