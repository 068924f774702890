#include "entry.h"

static const char good[] =
	"{\"name\": \"entry-1\", \"zone\": \"suva-rack\",\n"
	" \"caller\": {\"address\": \"127.0.0.1\", \"port\": 8101},\n"
	" \"operators\": {\"address\": \"127.0.0.1\", \"port\": 8201,\n"
	"               \"key\": \"operators-key-of-16\"},\n"
	" \"peer\": {\"address\": \"127.0.0.1\", \"port\": 8301,\n"
	"          \"key\": \"0123456789abcdef\", \"seeds\": [\"127.0.0.1:1\"]},\n"
	" \"store\": {\"address\": \"127.0.0.1\", \"port\": 2379},\n"
	" \"list\": {\"address\": \"127.0.0.1\", \"port\": 2380}}\n";

static void test_good(void)
{
	GError *err = NULL;
	entry_settings_t *s = entry_settings_load(NULL, base_str(good), &err);

	g_assert_no_error(err);
	g_assert_cmpstr(s->name, ==, "entry-1");
	g_assert_cmpint(s->caller.port, ==, 8101);
	g_assert_cmpint(s->caller.threads, ==, 512);
	g_assert_cmpint(s->actions.port, ==, 2380);
	g_assert_cmpint(s->tasks.port, ==, 2380);
	g_assert_cmpuint(s->seed_count, ==, 1);
	talloc_free(s);
}

/* Each change of the good text and what the error must contain. */
static const struct {
	const char *from, *to, *expected;
} bad[] = {
	{ "\"zone\": \"suva-rack\"", "\"zone\": 7", "$.zone" },
	{ "8101", "81010", "$.caller.port must be a whole number from 1" },
	{ "8201", "\"8201\"", "$.operators.port" },
	{ "\"127.0.0.1\", \"port\": 2379", "\"store.site\", \"port\": 2379",
	  "$.store.address" },
	{ "0123456789abcdef", "short", "$.peer.key" },
	{ "\"127.0.0.1:1\"", "\"127.0.0.1\"", "$.peer.seeds" },
	{ "\"name\"", "\"nmae\"", "$.nmae is not a setting" },
	{ "\"name\"", "\"nmae\"", "$.name is missing" },
	{ "\"port\": 8301", "\"port\": 8301, \"speed\": 1", "$.peer.speed" },
	{ "\"port\": 8301", "\"port\": 8301, \"port\": 8302", "line 5" },
	{ "{\"name\"", "{name", "line 1" },
};

static void test_bad(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(bad); i++) {
		GString *text = g_string_new(good);
		GError *err = NULL;

		g_string_replace(text, bad[i].from, bad[i].to, 1);
		g_assert_null(
			entry_settings_load(NULL, base_str(text->str), &err));
		g_assert_error(err, ENTRY_ERROR, ENTRY_ERROR_SETTINGS);
		g_assert_nonnull(strstr(err->message, bad[i].expected));
		g_clear_error(&err);
		g_string_free(text, TRUE);
	}
}

static void test_all_faults_at_once(void)
{
	GError *err = NULL;

	g_assert_null(entry_settings_load(NULL, BASE_STR("{}"), &err));
	g_assert_nonnull(strstr(err->message, "$.name is missing"));
	g_assert_nonnull(strstr(err->message, "$.list.port is missing"));
	g_clear_error(&err);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/settings/good", test_good);
	g_test_add_func("/entry/settings/bad", test_bad);
	g_test_add_func("/entry/settings/all-faults", test_all_faults_at_once);
	return g_test_run();
}
