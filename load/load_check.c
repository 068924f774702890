#include "load_int.h"

/*
 * Compares the results that callers saw with the runs that endpoints recorded.
 */

#define LEAVING_MAX_US (3 * BASE_SEC)
#define RECORDS_TRIES 10

typedef struct class_stats {
	char *name;
	uint64_t seen[SEEN_MAX];
	base_hist_t *us;
} class_stats_t;

typedef struct history {
	json_t *records;	 /* owns the strings that the tables point to */
	GHashTable *runs_of_id;	 /* request id -> count of runs */
	GHashTable *runs_of_key; /* idempotency key -> count of runs */
	GHashTable *stats;	 /* "pool class" -> class_stats_t */
	GPtrArray *order;	 /* class_stats_t in order of first request */
	uint64_t requests;
	uint64_t ran_though_not_run;
	uint64_t answered_without_run;
	uint64_t keys_run_twice;
	uint64_t runs_after_leaving;
	uint64_t runs_interrupted;
	uint64_t wrong;
	uint64_t broken;
} history_t;

static void free_class_stats(void *class_stats);
static void free_history(history_t *h);
static void read_records(history_t *h, const plat_address_t *standin);
static void add_run(GHashTable *table, const char *name);
static uint64_t run_count(GHashTable *table, const char *name);
static void read_log(history_t *h, const char *path);
static void check_line(history_t *h, const json_t *line);
static class_stats_t *get_class_stats(history_t *h, const json_t *line);
static void count_repeated_runs(history_t *h);
static void print_stats(const history_t *h);
static uint64_t print_violations(const history_t *h, uint64_t broken_allowed);
static const char *get_string(const json_t *object, const char *key);

int load_check(int argc, char **argv)
{
	struct arg_str *records = arg_str1(NULL, "records", "ADDRESS:PORT",
					   "the stand-in's control port");
	struct arg_int *broken = arg_int0(
		NULL, "broken", "N", "connections an unplanned stop may cut");
	struct arg_file *logs = arg_filen(NULL, NULL, "LOG", 1, 64, "of run");
	struct arg_end *end = arg_end(4);
	void *table[] = { records, broken, logs, end };
	history_t h = { 0 };
	plat_address_t address;
	uint64_t bad;
	void *ctx;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "load check");
		return 2;
	}
	h.runs_of_id = g_hash_table_new(g_str_hash, g_str_equal);
	h.runs_of_key = g_hash_table_new(g_str_hash, g_str_equal);
	h.stats = g_hash_table_new(g_str_hash, g_str_equal);
	h.order = g_ptr_array_new_with_free_func(free_class_stats);
	ctx = talloc_new(NULL);
	address = load_address(ctx, records->sval[0]);
	read_records(&h, &address);
	talloc_free(ctx);
	for (int i = 0; i < logs->count; i++)
		read_log(&h, logs->filename[i]);
	count_repeated_runs(&h);
	print_stats(&h);
	bad = print_violations(&h,
			       broken->count ? (uint64_t)broken->ival[0] : 0);
	free_history(&h);
	arg_freetable(table, ARRAY_SIZE(table));
	return bad ? 1 : 0;
}

static void free_class_stats(void *class_stats)
{
	talloc_free(class_stats);
}

static void free_history(history_t *h)
{
	g_hash_table_destroy(h->runs_of_id);
	g_hash_table_destroy(h->runs_of_key);
	g_hash_table_destroy(h->stats);
	g_ptr_array_free(h->order, TRUE);
	json_decref(h->records);
}

static void read_records(history_t *h, const plat_address_t *standin)
{
	GError *cause = NULL;
	json_t *root = NULL, *run;
	size_t i;

	/* On a busy machine the stand-in may be late with its answer. */
	for (i = 0; i < RECORDS_TRIES && !root; i++) {
		g_clear_error(&cause);
		root = plat_get_json(standin, "/records", &cause);
	}
	if (!root) {
		fprintf(stderr, "load: cannot read the records: %s\n",
			cause->message);
		exit(1);
	}
	json_array_foreach(json_object_get(root, "runs"), i, run)
	{
		add_run(h->runs_of_id, get_string(run, "request"));
		if (get_string(run, "key")[0])
			add_run(h->runs_of_key, get_string(run, "key"));
		if (json_integer_value(json_object_get(run, "leaving_us")) >
		    LEAVING_MAX_US)
			h->runs_after_leaving++;
		if (json_is_true(json_object_get(run, "interrupted")))
			h->runs_interrupted++;
	}
	h->records = root;
}

static void add_run(GHashTable *table, const char *name)
{
	gsize count = run_count(table, name) + 1;

	g_hash_table_insert(table, (gpointer)name, GSIZE_TO_POINTER(count));
}

static uint64_t run_count(GHashTable *table, const char *name)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(table, name));
}

static void read_log(history_t *h, const char *path)
{
	FILE *log = fopen(path, "r");
	char line[1024];

	if (!log) {
		perror(path);
		exit(1);
	}
	while (fgets(line, sizeof(line), log)) {
		json_t *root = json_loads(line, 0, NULL);

		if (root)
			check_line(h, root);
		json_decref(root);
	}
	fclose(log);
}

static void check_line(history_t *h, const json_t *line)
{
	class_stats_t *class_stats = get_class_stats(h, line);
	const char *id = get_string(line, "id");
	const char *key = get_string(line, "key");
	seen_t seen = 0;

	while (seen < SEEN_MAX - 1 &&
	       strcmp(seen_names[seen], get_string(line, "seen")))
		seen++;
	h->requests++;
	class_stats->seen[seen]++;
	if (seen == SEEN_ANSWERED)
		base_hist_add(class_stats->us,
			      json_integer_value(json_object_get(line, "us")));
	if (seen == SEEN_NOT_RUN && run_count(h->runs_of_id, id))
		h->ran_though_not_run++;
	if (seen == SEEN_ANSWERED && !run_count(h->runs_of_id, id) &&
	    !(key[0] && run_count(h->runs_of_key, key)))
		h->answered_without_run++;
	h->wrong += seen == SEEN_WRONG;
	h->broken += seen == SEEN_BROKEN;
}

static class_stats_t *get_class_stats(history_t *h, const json_t *line)
{
	char name[128];
	class_stats_t *class_stats;

	snprintf(name, sizeof(name), "%s %s", get_string(line, "pool"),
		 get_string(line, "class"));
	class_stats = g_hash_table_lookup(h->stats, name);
	if (class_stats)
		return class_stats;
	class_stats = talloc_zero(NULL, class_stats_t);
	class_stats->name = talloc_strdup(class_stats, name);
	class_stats->us = base_hist_new(class_stats);
	g_hash_table_insert(h->stats, class_stats->name, class_stats);
	g_ptr_array_add(h->order, class_stats);
	return class_stats;
}

static void count_repeated_runs(history_t *h)
{
	GHashTableIter iter;
	void *count;

	g_hash_table_iter_init(&iter, h->runs_of_key);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		if (GPOINTER_TO_SIZE(count) > 1)
			h->keys_run_twice++;
}

static void print_stats(const history_t *h)
{
	printf("%-34s %8s %8s %7s %7s %7s %8s %8s\n", "SERVICE AND CLASS",
	       "REQUESTS", "ANSWERED", "NOT RUN", "UNKNOWN", "OTHER", "p50 ms",
	       "p99 ms");
	for (guint i = 0; i < h->order->len; i++) {
		const class_stats_t *t = h->order->pdata[i];
		uint64_t other = t->seen[SEEN_UNREACHED] +
				 t->seen[SEEN_BROKEN] + t->seen[SEEN_WRONG];
		uint64_t all = t->seen[SEEN_ANSWERED] + t->seen[SEEN_NOT_RUN] +
			       t->seen[SEEN_UNKNOWN] + other;

		printf("%-34s %8llu %8llu %7llu %7llu %7llu %8.2f %8.2f\n",
		       t->name, (unsigned long long)all,
		       (unsigned long long)t->seen[SEEN_ANSWERED],
		       (unsigned long long)t->seen[SEEN_NOT_RUN],
		       (unsigned long long)t->seen[SEEN_UNKNOWN],
		       (unsigned long long)other,
		       base_hist_quantile(t->us, 0.5) / 1000.0,
		       base_hist_quantile(t->us, 0.99) / 1000.0);
	}
}

static uint64_t print_violations(const history_t *h, uint64_t broken_allowed)
{
	const struct {
		const char *text;
		uint64_t count, allowed;
	} rows[] = {
		{ "reported as not run, but run by an endpoint",
		  h->ran_though_not_run, 0 },
		{ "answered, but not run by any endpoint",
		  h->answered_without_run, 0 },
		{ "non-repeatable, but run twice", h->keys_run_twice, 0 },
		{ "started over 3 s after the endpoint began to leave",
		  h->runs_after_leaving, 0 },
		{ "interrupted at the endpoint by a planned stop",
		  h->runs_interrupted, 0 },
		{ "answer to another request, or incomplete", h->wrong, 0 },
		{ "connection ended without an answer", h->broken,
		  broken_allowed },
	};
	uint64_t bad = 0;

	printf("\n%llu requests checked against the endpoints' records\n",
	       (unsigned long long)h->requests);
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		printf("  %-54s %6llu\n", rows[i].text,
		       (unsigned long long)rows[i].count);
		if (rows[i].count > rows[i].allowed)
			bad++;
	}
	if (!h->requests)
		bad++;
	printf("%s\n", bad ? "BROKEN" : "no violation found");
	return bad;
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}
