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
	return node_settings_load(NULL, base_str(text), NULL, err);
}

/* A value that is not usable, and what has to be taken instead. */
typedef struct replaced {
	const char *member;
	const char *name;
	size_t offset;
	bool is_time; /* else a double */
	double taken; /* as stored */
} replaced_t;

#define TIME(name) offsetof(node_settings_t, name), true

static double value_of(const node_settings_t *settings, const replaced_t *one)
{
	const char *at = (const char *)settings + one->offset;

	return one->is_time ? (double)*(const int64_t *)at
			    : *(const double *)at;
}

/* Guards against one value that keeps every entry of a system from starting:
 * another one is taken, and it is said which. */
static void test_unusable_values(void)
{
	static const replaced_t replaced[] = {
		{ ",\"remote_penalty\":0.5", "remote_penalty",
		  offsetof(node_settings_t, remote_penalty), false, 1 },
		{ ",\"remote_penalty\":0", "remote_penalty",
		  offsetof(node_settings_t, remote_penalty), false, 1 },
		{ ",\"remote_penalty\":\"2\"", "remote_penalty",
		  offsetof(node_settings_t, remote_penalty), false, 2 },
		{ ",\"instance_orders_per_s\":0", "instance_orders_per_s",
		  offsetof(node_settings_t, instance_orders_per_s), false,
		  NODE_DEFAULT_INSTANCE_ORDERS_PER_S },
		{ ",\"processor_cores\":-1", "processor_cores",
		  offsetof(node_settings_t, usable_cores), false,
		  NODE_DEFAULT_CORES },
		{ ",\"keep_s\":0", "keep_s", TIME(keep), 120e6 },
		{ ",\"keep_s\":null", "keep_s", TIME(keep), 120e6 },
		{ ",\"lease_max_ms\":0", "lease_max_ms", TIME(lease_max),
		  10e6 },
		{ ",\"grace_s\":-1", "grace_s", TIME(grace), 6e6 },
		{ ",\"grace_s\":1e300", "grace_s", TIME(grace), 6e6 },
		{ ",\"drain_ms\":[]", "drain_ms", TIME(drain_time), 2e6 },
		{ ",\"stop_timeout_ms\":\"\"", "stop_timeout_ms",
		  TIME(stop_timeout), 200e3 },
		{ ",\"store_value_bytes\":0", "store_value_bytes",
		  TIME(store_value_max), 1048576 },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(replaced); i++) {
		node_settings_t *settings = load(replaced[i].member, NULL);

		g_assert_nonnull(settings);
		g_assert_cmpfloat(value_of(settings, &replaced[i]), ==,
				  replaced[i].taken);
		/* The name of the test's entry is given, so this is all. */
		g_assert_cmpint((int)settings->n_notes, ==, 1);
		g_assert_cmpstr(settings->notes[0].name, ==, replaced[i].name);
		talloc_free(settings);
	}
}

/* A duration of nothing is usable where it means something. */
static void test_zero(void)
{
	static const char text[] =
		"{\"name\":\"n\",\"availability_zone\":\"z\","
		"\"callers\":\"a\",\"ready\":\"b\",\"peers\":\"c\","
		"\"store\":\"d\",\"instances\":null,\"advice\":\"\","
		"\"grace_s\":0,\"drain_ms\":0,\"stop_timeout_ms\":0,"
		"\"store_ttl_min_ms\":0}";
	node_settings_t *settings =
		node_settings_load(NULL, base_str(text), NULL, NULL);

	g_assert_nonnull(settings);
	g_assert_cmpint((int)settings->n_notes, ==, 0);
	g_assert_cmpint(settings->grace, ==, 0);
	g_assert_cmpint(settings->drain_time, ==, 0);
	g_assert_cmpint(settings->stop_timeout, ==, 0);
	g_assert_null(settings->instances);
	g_assert_null(settings->advice);
	talloc_free(settings);
}

/* At run time a value that is not usable leaves the one in force. */
static void test_value_in_force(void)
{
	node_settings_t *first =
		load(",\"grace_s\":9,\"remote_penalty\":3", NULL);
	static const char text[] =
		"{\"callers\":\"a\",\"ready\":\"b\",\"peers\":\"c\","
		"\"store\":\"d\",\"grace_s\":\"6\",\"remote_penalty\":0}";
	node_settings_t *next =
		node_settings_load(NULL, base_str(text), first, NULL);

	g_assert_nonnull(next);
	g_assert_cmpint(next->grace, ==, 9 * BASE_SEC);
	g_assert_cmpfloat(next->remote_penalty, ==, 3);
	/* Both, and the name and the zone, which are missing. */
	g_assert_cmpint((int)next->n_notes, ==, 4);
	g_assert_cmpstr(next->name, ==, "c");
	talloc_free(first);
	talloc_free(next);
}

/* What nobody can be served without; all of it is named at once. */
static void test_missing_addresses(void)
{
	GError *err = NULL;

	g_assert_null(node_settings_load(NULL, BASE_STR("{\"ready\":\"b\"}"),
					 NULL, &err));
	g_assert_nonnull(strstr(err->message, "callers"));
	g_assert_nonnull(strstr(err->message, "peers"));
	g_assert_nonnull(strstr(err->message, "store"));
	g_assert_null(strstr(err->message, "ready"));
	g_clear_error(&err);
}

/* Without the setting, tasks must wait for racks as with the usual factor. */
static void test_remote_penalty(void)
{
	node_settings_t *settings = load("", NULL);

	g_assert_nonnull(settings);
	g_assert_cmpfloat(settings->remote_penalty, ==, 2);
	g_assert_cmpint((int)settings->n_notes, ==, 0);
	talloc_free(settings);
	settings = load(",\"remote_penalty\":2.5", NULL);
	g_assert_cmpfloat(settings->remote_penalty, ==, 2.5);
	talloc_free(settings);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/settings/remote-penalty", test_remote_penalty);
	g_test_add_func("/node/settings/unusable-values", test_unusable_values);
	g_test_add_func("/node/settings/zero", test_zero);
	g_test_add_func("/node/settings/value-in-force", test_value_in_force);
	g_test_add_func("/node/settings/missing-addresses",
			test_missing_addresses);
	return g_test_run();
}
