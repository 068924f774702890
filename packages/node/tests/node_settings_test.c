/* The settings of an entry. */
#include "node_int.h"

static node_settings_t *load(const char *member, GError **err)
{
	char text[512];

	g_snprintf(text, sizeof(text),
		   "{\"name\":\"n\",\"availability_zone\":\"z\","
		   "\"callers\":\"a\",\"ready\":\"b\",\"peers\":\"c\","
		   "\"store\":\"d\",\"instances\":\"e\"%s}",
		   member);
	return node_settings_load(NULL, base_str(text), err);
}

/* Without the setting, tasks must wait for racks as with the usual factor. */
static void test_remote_penalty(void)
{
	static const char *const faults[] = {
		",\"remote_penalty\":0.5",
		",\"remote_penalty\":0",
		",\"remote_penalty\":\"2\"",
	};
	node_settings_t *settings = load("", NULL);
	size_t i;

	g_assert_nonnull(settings);
	g_assert_cmpfloat(settings->remote_penalty, ==, 2);
	talloc_free(settings);
	settings = load(",\"remote_penalty\":2.5", NULL);
	g_assert_cmpfloat(settings->remote_penalty, ==, 2.5);
	talloc_free(settings);
	for (i = 0; i < ARRAY_SIZE(faults); i++) {
		GError *err = NULL;

		g_assert_null(load(faults[i], &err));
		g_assert_nonnull(strstr(err->message, "remote_penalty"));
		g_clear_error(&err);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/settings/remote-penalty", test_remote_penalty);
	return g_test_run();
}
