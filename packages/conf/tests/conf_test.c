#include <string.h>

#include "conf.h"

static const char *const examples[] = { "examples/vakatawa.answers.json",
					"examples/addis.answers.json" };

static char *read_file(const char *file)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
	return text;
}

static conf_answers_t *load_answers(void *ctx, const char *text)
{
	conf_faults_t *faults = conf_faults_new(ctx);
	conf_answers_t *a = conf_answers_load(ctx, base_str(text), faults);
	char *print = conf_faults_print(ctx, faults, "text");

	g_assert_cmpstr(print, ==, "");
	g_assert_nonnull(a);
	return a;
}

static char *generated(void *ctx, const char *file)
{
	char *text = read_file(file), *json;
	GError *err = NULL;

	json = conf_generate(ctx, load_answers(ctx, text), &err);
	g_assert_no_error(err);
	g_free(text);
	return json;
}

static char *replaced(void *ctx, const char *text, const char *from,
		      const char *to)
{
	const char *at = strstr(text, from);

	g_assert_nonnull(at);
	return talloc_asprintf(ctx, "%.*s%s%s", (int)(at - text), text, to,
			       at + strlen(from));
}

static void check_pool(const conf_pool_t *pool, int64_t executors, bool spare)
{
	const conf_budget_t *budget = &pool->budget;
	int64_t placed = 0;

	for (size_t z = 0; z < pool->n_placement; z++)
		placed += pool->placement[z].executors;
	g_assert_cmpint(pool->executors, ==, executors);
	g_assert_cmpint(placed, ==, executors);
	g_assert_cmpint(pool->slots, ==, 8);
	g_assert_cmpint(pool->connections, ==, 64);
	g_assert_true(pool->spare == spare);
	g_assert_cmpint(budget->min_up + budget->loss + budget->drain, <=,
			executors);
}

static void test_examples(void)
{
	static const int64_t executors[] = { 9, 9, 11, 12, 8 };
	void *ctx = talloc_new(NULL);

	for (size_t e = 0; e < ARRAY_SIZE(examples); e++) {
		char *json = generated(ctx, examples[e]);
		GError *err = NULL;
		conf_t *conf = conf_load(ctx, base_str(json), &err);

		g_assert_no_error(err);
		g_assert_cmpuint(conf->n_zones, ==, 3);
		g_assert_cmpuint(conf->n_pools, ==, 5);
		for (size_t p = 0; p < 5; p++)
			check_pool(&conf->pools[p], executors[p], p == 4);
		g_assert_cmpstr(generated(ctx, examples[e]), ==, json);
	}
	talloc_free(ctx);
}

static void test_match(void)
{
	void *ctx = talloc_new(NULL);
	char *text = read_file(examples[0]);
	conf_answers_t *a = load_answers(ctx, text);
	base_str_t desk = BASE_STR("gate-desk");
	const conf_class_t *cl;

	cl = conf_class_match(a, desk, BASE_STR("POST"),
			      BASE_STR("/bookings/7"));
	g_assert_cmpstr(cl->name.ptr, ==, "book");
	g_assert_false(cl->repeatable);
	cl = conf_class_match(a, desk, BASE_STR("GET"), BASE_STR(""));
	g_assert_cmpstr(cl->name.ptr, ==, "query");
	g_assert_true(cl->repeatable);
	cl = conf_class_match(a, desk, BASE_STR("PATCH"), BASE_STR("/x"));
	g_assert_cmpstr(cl->name.ptr, ==, "rest");
	g_assert_null(conf_class_match(a, BASE_STR("gate"), BASE_STR("GET"),
				       BASE_STR("/")));
	g_assert_true(conf_class(a, desk, BASE_STR("rest")) == cl);
	g_free(text);
	talloc_free(ctx);
}

static void assert_config_refused(const char *text, int code, const char *path)
{
	GError *err = NULL;

	g_assert_null(conf_load(NULL, base_str(text), &err));
	g_assert_error(err, CONF_ERROR, code);
	g_assert_nonnull(strstr(err->message, path));
	g_clear_error(&err);
}

static void test_hand_edited(void)
{
	void *ctx = talloc_new(NULL);
	char *json = generated(ctx, examples[0]);

	assert_config_refused(replaced(ctx, json, "\"deadline_ms\": 2000",
				       "\"deadline_ms\": 2001"),
			      CONF_ERR_DIGEST, "$.digest");
	assert_config_refused(
		replaced(ctx, json, "\"schema\": 1", "\"schema\": 2"),
		CONF_ERR_SCHEMA, "$.schema");
	assert_config_refused("{", CONF_ERR_SYNTAX, "line 1");
	talloc_free(ctx);
}

static void assert_record_refused(const char *text, int code)
{
	GError *err = NULL;

	g_assert_null(conf_record_load(NULL, base_str(text), &err));
	g_assert_error(err, CONF_ERROR, code);
	g_clear_error(&err);
}

/* Makes twenty successive records and returns the last. */
static conf_record_t *make_records(void *ctx, const char *json)
{
	conf_record_t *rec = NULL;
	GError *err = NULL;
	char id[8], *text;

	for (int i = 1; i <= 20; i++) {
		g_snprintf(id, sizeof(id), "c-%d", i);
		text = conf_record_print(ctx, rec, base_str(id), base_str(json),
					 &err);
		g_assert_no_error(err);
		rec = conf_record_load(ctx, base_str(text), &err);
		g_assert_no_error(err);
	}
	return rec;
}

static void test_record(void)
{
	void *ctx = talloc_new(NULL);
	char *json = generated(ctx, examples[1]);
	conf_record_t *rec = make_records(ctx, json);

	g_assert_cmpint(rec->generation, ==, 20);
	g_assert_cmpuint(rec->n_history, ==, CONF_RECORD_HISTORY_MAX);
	for (int i = 1; i <= 20; i++) {
		char *id = talloc_asprintf(ctx, "c-%d", i);

		g_assert_cmpint(conf_record_find(rec, base_str(id)), ==,
				i >= 4 ? i : 0);
	}
	g_assert_cmpstr(rec->change.ptr, ==, "c-20");
	g_assert_cmpstr(rec->config->site.ptr, ==, "addis");
	g_assert_cmpstr(rec->config_json, ==, json);
	talloc_free(ctx);
}

static void test_bad_record(void)
{
	void *ctx = talloc_new(NULL);
	char *json = generated(ctx, examples[1]);
	GError *err = NULL;
	char *text = conf_record_print(ctx, NULL, BASE_STR("c-1"),
				       base_str(json), &err);

	assert_record_refused(
		replaced(ctx, text, "{\"generation\":1", "{\"generation\":0"),
		CONF_ERR_SCHEMA);
	assert_record_refused(replaced(ctx, text, "{\"generation\":1",
				       "{\"x\":1,\"generation\":1"),
			      CONF_ERR_SCHEMA);
	assert_record_refused(replaced(ctx, text, "{\"generation\":1",
				       "{\"generation\":1,\"generation\":8"),
			      CONF_ERR_SCHEMA);
	assert_record_refused(
		replaced(ctx, text, "\"min_up\":5", "\"min_up\":4"),
		CONF_ERR_DIGEST);
	assert_record_refused("", CONF_ERR_SYNTAX);
	g_assert_null(conf_record_print(ctx, NULL, BASE_STR("c"),
					BASE_STR("{}"), &err));
	g_assert_error(err, CONF_ERROR, CONF_ERR_SCHEMA);
	g_clear_error(&err);
	talloc_free(ctx);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf/examples", test_examples);
	g_test_add_func("/conf/match", test_match);
	g_test_add_func("/conf/hand-edited", test_hand_edited);
	g_test_add_func("/conf/record", test_record);
	g_test_add_func("/conf/bad-record", test_bad_record);
	return g_test_run();
}
