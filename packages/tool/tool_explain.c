#include "tool_fleet.h"

/*
 * explain: print in a sentence why an instance, a pool or a job is in its
 * state.  With --entry, the holder of the lease answers: for jobs, and on the
 * users' platform for everything.  Otherwise the answer is computed here from
 * the store and the instance list.
 */

typedef struct explain_request {
	const struct arg_str *entries;
	const char *name;
	bool json;
} explain_request_t;

static int request_explanation(const void *ctx,
			       const explain_request_t *request, FILE *out,
			       FILE *err);

int tool_explain(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_lit *json =
		arg_lit0(NULL, "json", "print the answer of the entry as JSON");
	struct arg_str *store = tool_arg_store(0);
	struct arg_str *list = tool_arg_list(0);
	struct arg_str *name =
		arg_str1(NULL, NULL, "NAME",
			 "of an instance, a pool, a worker, a wave or a job");
	struct arg_str *entries =
		arg_strn(NULL, "entry", "ADDRESS:PORT", 0, 64,
			 "operators' port of an entry, for a job or on the "
			 "users' platform");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, json, store, list, entries, name, end };
	void *ctx = talloc_new(NULL);
	tool_fleet_t tool = { .ctx = ctx, .out = out, .err = err };
	int status = TOOL_OK;
	char *explanation;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	if (entries->count) {
		status = request_explanation(
			ctx,
			&(explain_request_t){ entries, name->sval[0],
					      json->count > 0 },
			out, err);
		goto out;
	}
	status = TOOL_USAGE;
	if (!store->count || !list->count) {
		fprintf(err, "explain: --store and --list, or for a job "
			     "--entry, is needed\n");
		goto out;
	}
	status = tool_fleet_decide(&tool, store->sval[0], list->sval[0]);
	if (status != TOOL_OK)
		goto out;
	status = TOOL_REFUSED;
	explanation = fleet_explain(tool.fleet, ctx, name->sval[0], tool.now);
	if (!explanation) {
		fprintf(err, "no instance or pool is called %s\n",
			name->sval[0]);
		goto out;
	}
	fprintf(out, "%s\n", explanation);
	status = TOOL_OK;
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static int request_explanation(const void *ctx,
			       const explain_request_t *request, FILE *out,
			       FILE *err)
{
	char *path = tool_jobs_path(ctx, "/jobs/explain", request->name);
	json_t *answer =
		tool_jobs_request(ctx, request->entries, path, NULL, err);
	int status = tool_jobs_status(answer, err);

	if (status == TOOL_OK && request->json) {
		json_dumpf(answer, out, JSON_INDENT(2) | JSON_SORT_KEYS);
		fputc('\n', out);
	} else if (status == TOOL_OK) {
		fprintf(out, "%s\n",
			json_string_value(json_object_get(answer, "said")));
	}
	json_decref(answer);
	return status;
}
