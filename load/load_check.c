#include "load_int.h"

/*
 * The history check: what callers saw against what endpoints recorded.
 */

#define LEAVING_MAX_US (3 * BASE_SEC)

typedef struct tally {
	char *name;
	uint64_t seen[SEEN_MAX];
	base_hist_t *us;
} tally_t;

typedef struct history {
	json_t *records;	 /* the tables point into its strings */
	GHashTable *runs_of_id;	 /* request id -> count of runs */
	GHashTable *runs_of_key; /* idempotency key -> count of runs */
	GHashTable *tallies;	 /* "pool class" -> tally_t */
	GPtrArray *order;	 /* of tallies */
	uint64_t requests;
	uint64_t ran_though_not_run;
	uint64_t answered_without_run;
	uint64_t keys_run_twice;
	uint64_t runs_after_leaving;
	uint64_t runs_interrupted;
	uint64_t wrong;
	uint64_t broken;
} history_t;

static void free_tally(void *tally);
static void free_history(history_t *h);
static void read_records(history_t *h, const plat_address_t *standin);
static void count_run(GHashTable *table, const char *name);
static uint64_t runs(GHashTable *table, const char *name);
static void read_log(history_t *h, const char *path);
static void judge_line(history_t *h, const json_t *line);
static tally_t *tally_of(history_t *h, const json_t *line);
static void judge_keys(history_t *h);
static void print_tallies(const history_t *h);
static uint64_t print_verdict(const history_t *h, uint64_t broken_allowed);
static const char *text_of(const json_t *object, const char *key);

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
	h.tallies = g_hash_table_new(g_str_hash, g_str_equal);
	h.order = g_ptr_array_new_with_free_func(free_tally);
	ctx = talloc_new(NULL);
	address = load_address(ctx, records->sval[0]);
	read_records(&h, &address);
	talloc_free(ctx);
	for (int i = 0; i < logs->count; i++)
		read_log(&h, logs->filename[i]);
	judge_keys(&h);
	print_tallies(&h);
	bad = print_verdict(&h, broken->count ? (uint64_t)broken->ival[0] : 0);
	free_history(&h);
	arg_freetable(table, ARRAY_SIZE(table));
	return bad ? 1 : 0;
}

static void free_tally(void *tally)
{
	talloc_free(tally);
}

static void free_history(history_t *h)
{
	g_hash_table_destroy(h->runs_of_id);
	g_hash_table_destroy(h->runs_of_key);
	g_hash_table_destroy(h->tallies);
	g_ptr_array_free(h->order, TRUE);
	json_decref(h->records);
}

static void read_records(history_t *h, const plat_address_t *standin)
{
	GError *cause = NULL;
	json_t *root = plat_get_json(standin, "/records", &cause), *run;
	size_t i;

	if (!root) {
		fprintf(stderr, "load: no records: %s\n", cause->message);
		exit(1);
	}
	json_array_foreach(json_object_get(root, "runs"), i, run)
	{
		count_run(h->runs_of_id, text_of(run, "request"));
		if (text_of(run, "key")[0])
			count_run(h->runs_of_key, text_of(run, "key"));
		if (json_integer_value(json_object_get(run, "leaving_us")) >
		    LEAVING_MAX_US)
			h->runs_after_leaving++;
		if (json_is_true(json_object_get(run, "interrupted")))
			h->runs_interrupted++;
	}
	h->records = root;
}

static void count_run(GHashTable *table, const char *name)
{
	gsize count = runs(table, name) + 1;

	g_hash_table_insert(table, (gpointer)name, GSIZE_TO_POINTER(count));
}

static uint64_t runs(GHashTable *table, const char *name)
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
			judge_line(h, root);
		json_decref(root);
	}
	fclose(log);
}

static void judge_line(history_t *h, const json_t *line)
{
	tally_t *tally = tally_of(h, line);
	const char *id = text_of(line, "id");
	const char *key = text_of(line, "key");
	seen_t seen = 0;

	while (seen < SEEN_MAX - 1 &&
	       strcmp(seen_names[seen], text_of(line, "seen")))
		seen++;
	h->requests++;
	tally->seen[seen]++;
	if (seen == SEEN_ANSWERED)
		base_hist_add(tally->us,
			      json_integer_value(json_object_get(line, "us")));
	if (seen == SEEN_NOT_RUN && runs(h->runs_of_id, id))
		h->ran_though_not_run++;
	if (seen == SEEN_ANSWERED && !runs(h->runs_of_id, id) &&
	    !(key[0] && runs(h->runs_of_key, key)))
		h->answered_without_run++;
	h->wrong += seen == SEEN_WRONG;
	h->broken += seen == SEEN_BROKEN;
}

static tally_t *tally_of(history_t *h, const json_t *line)
{
	char name[128];
	tally_t *tally;

	snprintf(name, sizeof(name), "%s %s", text_of(line, "pool"),
		 text_of(line, "class"));
	tally = g_hash_table_lookup(h->tallies, name);
	if (tally)
		return tally;
	tally = talloc_zero(NULL, tally_t);
	tally->name = talloc_strdup(tally, name);
	tally->us = base_hist_new(tally);
	g_hash_table_insert(h->tallies, tally->name, tally);
	g_ptr_array_add(h->order, tally);
	return tally;
}

static void judge_keys(history_t *h)
{
	GHashTableIter iter;
	void *count;

	g_hash_table_iter_init(&iter, h->runs_of_key);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		if (GPOINTER_TO_SIZE(count) > 1)
			h->keys_run_twice++;
}

static void print_tallies(const history_t *h)
{
	printf("%-34s %8s %8s %7s %7s %7s %8s %8s\n", "SERVICE AND CLASS",
	       "REQUESTS", "ANSWERED", "NOT RUN", "UNKNOWN", "OTHER", "p50 ms",
	       "p99 ms");
	for (guint i = 0; i < h->order->len; i++) {
		const tally_t *t = h->order->pdata[i];
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

static uint64_t print_verdict(const history_t *h, uint64_t broken_allowed)
{
	const struct {
		const char *text;
		uint64_t count, allowed;
	} rows[] = {
		{ "said not run, yet an endpoint ran it", h->ran_though_not_run,
		  0 },
		{ "answered, yet no endpoint ran it", h->answered_without_run,
		  0 },
		{ "not repeatable, yet run twice", h->keys_run_twice, 0 },
		{ "begun more than 3 s after the endpoint was leaving",
		  h->runs_after_leaving, 0 },
		{ "interrupted at the endpoint by a planned stop",
		  h->runs_interrupted, 0 },
		{ "another request's answer, or not whole", h->wrong, 0 },
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
	printf("%s\n", bad ? "BROKEN" : "every promise checked here was kept");
	return bad;
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}
