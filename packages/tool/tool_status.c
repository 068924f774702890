#include "tool_int.h"

/*
 * status: print the state of entries and of pools, as the entries report it.
 */

static json_t *request_status(const void *ctx, const char *text, FILE *err);
static void print_entries(const json_t *answers, FILE *out);
static const json_t *first_with_pools(const json_t *answers);
static void print_pools(const json_t *answer, FILE *out);
static const char *get_string(const json_t *object, const char *key);
static long long get_int(const json_t *object, const char *key);

int tool_status(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *entries =
		arg_strn(NULL, "entry", "ADDRESS:PORT", 1, 64,
			 "operators' port of an entry; may be repeated");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, json, entries, end };
	json_t *answers = json_array();
	void *ctx = talloc_new(NULL);
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	for (int i = 0; i < entries->count; i++) {
		json_t *answer = request_status(ctx, entries->sval[i], err);

		if (answer)
			json_array_append_new(answers, answer);
		else
			status = TOOL_UNREACHABLE;
	}
	if (json->count) {
		json_dumpf(answers, out, JSON_INDENT(2) | JSON_SORT_KEYS);
		fputc('\n', out);
	} else if (json_array_size(answers)) {
		print_entries(answers, out);
		print_pools(first_with_pools(answers), out);
	}
out:
	json_decref(answers);
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static json_t *request_status(const void *ctx, const char *text, FILE *err)
{
	plat_address_t address;
	GError *cause = NULL;
	json_t *answer;

	if (!tool_address(ctx, text, &address, err))
		return NULL;
	tool_progress_set_peer(text);
	answer = plat_get_json(&address, "/status", &cause);
	if (!answer) {
		fprintf(err, "%s does not answer: %s\n", text, cause->message);
		g_clear_error(&cause);
	}
	return answer;
}

static void print_entries(const json_t *answers, FILE *out)
{
	json_t *answer;
	size_t i;

	fprintf(out, "%-16s %-18s %10s %9s  %s\n", "ENTRY", "ZONE",
		"GENERATION", "IN FLIGHT", "STATE");
	json_array_foreach(answers, i, answer)
	{
		bool draining =
			json_is_true(json_object_get(answer, "draining"));
		bool down = json_is_true(json_object_get(answer, "store_down"));

		fprintf(out, "%-16s %-18s %10lld %9lld  %s%s\n",
			get_string(answer, "entry"), get_string(answer, "zone"),
			get_int(answer, "generation"),
			get_int(answer, "in_flight"),
			draining ? "draining" : "serving",
			down ? ", store unreachable" : "");
	}
}

/* On the users' platform only the holder reports the pools. */
static const json_t *first_with_pools(const json_t *answers)
{
	json_t *answer;
	size_t i;

	json_array_foreach(answers, i, answer)
	{
		if (json_object_get(answer, "pools"))
			return answer;
	}
	return NULL;
}

/* Prints pools that are sized by demand. */
static void print_demand(const json_t *pools, FILE *out)
{
	json_t *pool;
	size_t i;

	fprintf(out, "\n%-18s %8s %6s %6s %7s %10s %5s  %s\n", "POOL",
		"WORKERS", "USABLE", "NEEDED", "JOINING", "JOBS", "NEW", "");
	json_array_foreach(pools, i, pool)
	{
		fprintf(out, "%-18s %8lld %6lld %6lld %7lld %10lld %5lld  %s\n",
			get_string(pool, "pool"), get_int(pool, "workers"),
			get_int(pool, "usable"), get_int(pool, "needed"),
			get_int(pool, "incoming"), get_int(pool, "jobs_open"),
			get_int(pool, "jobs_not_started"),
			json_is_true(json_object_get(pool, "spare")) ? "spare"
								     : "");
	}
}

static void print_pools(const json_t *answer, FILE *out)
{
	const json_t *pools = json_object_get(answer, "pools");
	json_t *pool;
	size_t i;

	if (!pools)
		return;
	if (json_object_get(json_array_get(pools, 0), "needed")) {
		print_demand(pools, out);
		return;
	}
	fprintf(out, "\n%-18s %9s %5s %7s %10s  %s\n", "POOL", "EXECUTORS",
		"LIVE", "MIN UP", "MAY BE OUT", "LEAVING");
	json_array_foreach(pools, i, pool)
	{
		long long room = get_int(pool, "room");
		json_t *leaving = json_object_get(pool, "leaving"), *item;
		size_t j;

		fprintf(out, "%-18s %9lld %5lld %7lld %10lld ",
			get_string(pool, "name"), get_int(pool, "executors"),
			get_int(pool, "live"), get_int(pool, "min_up"),
			MAX(room, 0));
		json_array_foreach(leaving, j, item)
			fprintf(out, " %s", json_string_value(item));
		fputc('\n', out);
	}
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static long long get_int(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
