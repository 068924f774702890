#include "tool_int.h"

/*
 * jobs submit, list, cancel, release: requests to the operators' port of any
 * entry.  An entry that does not hold the lease for jobs names the holder.
 */

#define REDIRECTS_MAX 4
#define TRIES_MAX 40 /* while no entry holds the lease */
#define TRY_PAUSE_US (250 * BASE_MS)

static json_t *request_from(const void *ctx, const char *entry,
			    const char *path, const char *body, FILE *err);
static int run_by_id(int argc, char **argv, const char *path, FILE *out,
		     FILE *err);
static int print_faults(const json_t *answer, const char *file, FILE *err);
static void print_jobs(const json_t *answer, const char *state, FILE *out);
static const char *get_string(const json_t *object, const char *key);

json_t *tool_jobs_request(const void *ctx, const struct arg_str *entries,
			  const char *path, const char *body, FILE *err)
{
	json_t *answer = NULL;

	for (int try = 0; try < TRIES_MAX; try++) {
		for (int i = 0; i < entries->count; i++) {
			json_decref(answer);
			answer = request_from(ctx, entries->sval[i], path, body,
					      err);
			if (answer &&
			    strcmp(get_string(answer, "result"), "nobody") != 0)
				return answer;
		}
		if (!answer)
			return NULL;
		base_clock_sleep(TRY_PAUSE_US);
	}
	fprintf(err, "no entry holds the lease for jobs\n");
	json_decref(answer);
	return NULL;
}

int tool_jobs_status(const json_t *answer, FILE *err)
{
	const char *result = get_string(answer, "result");

	if (!answer)
		return TOOL_UNREACHABLE;
	if (!strcmp(result, "done"))
		return TOOL_OK;
	if (!strcmp(result, "doubt")) {
		fprintf(err, "in doubt: run the same command again\n");
		return TOOL_IN_DOUBT;
	}
	if (!strcmp(result, "refused"))
		fprintf(err, "refused: %s\n", get_string(answer, "why"));
	return TOOL_REFUSED;
}

int tool_jobs_submit(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_str *entries = arg_strn(NULL, "entry", "ADDRESS:PORT", 1, 64,
					   "operators' port of an entry");
	struct arg_file *file = arg_file1(NULL, NULL, "JOBS", "a file of jobs");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, entries, file, end };
	void *ctx = talloc_new(NULL);
	conf_faults_t *faults = conf_faults_new(ctx);
	const char *path;
	json_t *answer = NULL;
	int status = TOOL_OK;
	char *text;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	path = file->filename[0];
	status = TOOL_REFUSED;
	text = tool_read_file(ctx, path, err);
	if (!text)
		goto out;
	if (!conf_jobs_load(ctx, base_str(text), NULL, faults)) {
		fputs(conf_faults_print(ctx, faults, path), err);
		fprintf(err, "%s: refused: %zu fault%s\n", path, faults->n,
			faults->n == 1 ? "" : "s");
		goto out;
	}
	answer = tool_jobs_request(ctx, entries, "/jobs", text, err);
	if (json_object_get(answer, "faults"))
		status = print_faults(answer, path, err);
	else
		status = tool_jobs_status(answer, err);
	if (status == TOOL_OK)
		fprintf(out, "%s: accepted: %lld jobs\n", path,
			(long long)json_integer_value(
				json_object_get(answer, "jobs")));
out:
	json_decref(answer);
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

int tool_jobs_list(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *state =
		arg_str0(NULL, "state", "STATE", "only jobs in that state");
	struct arg_str *entries = arg_strn(NULL, "entry", "ADDRESS:PORT", 1, 64,
					   "operators' port of an entry");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, json, state, entries, end };
	void *ctx = talloc_new(NULL);
	json_t *answer = NULL;
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	answer = tool_jobs_request(ctx, entries, "/jobs", NULL, err);
	status = tool_jobs_status(answer, err);
	if (status != TOOL_OK)
		goto out;
	if (json->count) {
		json_dumpf(answer, out, JSON_INDENT(2) | JSON_SORT_KEYS);
		fputc('\n', out);
	} else {
		print_jobs(answer, state->count ? state->sval[0] : NULL, out);
	}
out:
	json_decref(answer);
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

int tool_jobs_cancel(int argc, char **argv, FILE *out, FILE *err)
{
	return run_by_id(argc, argv, "/jobs/cancel", out, err);
}

int tool_jobs_release(int argc, char **argv, FILE *out, FILE *err)
{
	return run_by_id(argc, argv, "/jobs/release", out, err);
}

static int run_by_id(int argc, char **argv, const char *path, FILE *out,
		     FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_str *entries = arg_strn(NULL, "entry", "ADDRESS:PORT", 1, 64,
					   "operators' port of an entry");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "of the job");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, entries, id, end };
	void *ctx = talloc_new(NULL);
	json_t *answer = NULL;
	int status = TOOL_OK;

	if (tool_parse(argc, argv, table, end, out, err, &status)) {
		answer = tool_jobs_request(
			ctx, entries, tool_jobs_path(ctx, path, id->sval[0]),
			"{}", err);
		status = tool_jobs_status(answer, err);
	}
	json_decref(answer);
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

char *tool_jobs_path(const void *ctx, const char *path, const char *id)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *full_path = talloc_asprintf(ctx, "%s?id=%s", path, escaped);

	g_free(escaped);
	return full_path;
}

/*
 * Sends a request and follows the answers that name another entry.  Returns
 * NULL after printing an error.  A POST that was sent and not answered has the
 * result "doubt".
 */
static json_t *request_from(const void *ctx, const char *entry,
			    const char *path, const char *body, FILE *err)
{
	json_t *answer = NULL;
	plat_address_t address;
	char *to = talloc_strdup(ctx, entry);

	for (int redirects = 0; redirects < REDIRECTS_MAX; redirects++) {
		GError *cause = NULL;

		if (!tool_address(ctx, to, &address, err))
			return NULL;
		json_decref(answer);
		tool_progress_set_peer(to);
		answer = body ? plat_post_json(&address, path, body, &cause)
			      : plat_get_json(&address, path, &cause);
		if (!answer) {
			bool sent = g_error_matches(cause, PLAT_ERROR,
						    PLAT_ERROR_UNKNOWN);

			fprintf(err, "%s does not answer: %s\n", to,
				cause->message);
			g_clear_error(&cause);
			return sent && body
				       ? json_pack("{s:s}", "result", "doubt")
				       : NULL;
		}
		if (strcmp(get_string(answer, "result"), "elsewhere") != 0)
			return answer;
		to = talloc_strdup(ctx, get_string(answer, "entry"));
	}
	return answer;
}

static int print_faults(const json_t *answer, const char *file, FILE *err)
{
	json_t *faults = json_object_get(answer, "faults"), *fault;
	size_t i;

	json_array_foreach(faults, i, fault)
	{
		json_t *line = json_object_get(fault, "line");

		if (line)
			fprintf(err, "%s:%lld: ", file,
				(long long)json_integer_value(line));
		else
			fprintf(err, "%s: ", file);
		fprintf(err, "%s: found %s; expected %s\n",
			get_string(fault, "path"), get_string(fault, "found"),
			get_string(fault, "want"));
	}
	fprintf(err, "%s: refused: %zu fault%s\n", file,
		json_array_size(faults),
		json_array_size(faults) == 1 ? "" : "s");
	return TOOL_REFUSED;
}

static void print_jobs(const json_t *answer, const char *state, FILE *out)
{
	json_t *job;
	size_t i;

	fprintf(out, "%-24s %-16s %-16s %7s %-10s %7s  %s\n", "JOB", "TEAM",
		"FAMILY", "URGENCY", "STATE", "ATTEMPT", "WORKER");
	json_array_foreach(json_object_get(answer, "jobs"), i, job)
	{
		if (state && strcmp(state, get_string(job, "state")) != 0)
			continue;
		fprintf(out, "%-24s %-16s %-16s %7lld %-10s %7lld  %s\n",
			get_string(job, "id"), get_string(job, "team"),
			get_string(job, "family"),
			(long long)json_integer_value(
				json_object_get(job, "urgency")),
			get_string(job, "state"),
			(long long)json_integer_value(
				json_object_get(job, "attempt")),
			get_string(job, "worker"));
	}
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}
