#include <jansson.h>
#include <unistd.h>

#include "base.h"

static void test_buf(void)
{
	base_buf_t *buf = base_buf_new(NULL);

	base_buf_addf(buf, "%d-", 7);
	base_buf_add_json(buf, BASE_STR("a\"\\\n"));
	g_assert_cmpstr(buf->ptr, ==, "7-\"a\\\"\\\\\\u000a\"");
	base_buf_reset(buf);
	base_buf_add_json(buf, BASE_STR("\tab\x7f\xc3\xa9 end"));
	g_assert_cmpstr(buf->ptr, ==, "\"\\u0009ab\\u007f\xc3\xa9 end\"");
	base_buf_reset(buf);
	g_assert_cmpuint(buf->len, ==, 0);
	base_buf_add_uint(buf, 0);
	base_buf_add(buf, " ", 1);
	base_buf_add_uint(buf, UINT64_MAX);
	g_assert_cmpstr(buf->ptr, ==, "0 18446744073709551615");
	base_buf_reset(buf);
	base_buf_add_int(buf, INT64_MIN);
	base_buf_add(buf, " ", 1);
	base_buf_add_int(buf, INT64_MAX);
	g_assert_cmpstr(buf->ptr, ==,
			"-9223372036854775808 9223372036854775807");
	talloc_free(buf);
}

static void test_str(void)
{
	base_str_t none = { NULL, 0 };
	char *copy = base_str_dup(NULL, none);

	g_assert_true(base_str_eq(none, base_str(NULL)));
	g_assert_true(base_str_eq(BASE_STR("a"), base_str("a")));
	g_assert_false(base_str_eq(BASE_STR("a"), BASE_STR("b")));
	g_assert_false(base_str_eq(BASE_STR("a"), none));
	g_assert_cmpstr(copy, ==, "");
	talloc_free(copy);
}

static void test_hist(void)
{
	base_hist_t *hist = base_hist_new(NULL);

	for (int i = 1; i <= 1000; i++)
		base_hist_add(hist, i * 100);
	g_assert_cmpuint(base_hist_count(hist), ==, 1000);
	g_assert_cmpfloat(base_hist_quantile(hist, 0.5), >=, 50000);
	g_assert_cmpfloat(base_hist_quantile(hist, 0.5), <=,
			  50000 * BASE_HIST_RATIO);
	base_hist_add(hist, INT64_MAX / 2);
	base_hist_add(hist, -5);
	g_assert_cmpuint(base_hist_count(hist), ==, 1002);
	talloc_free(hist);
}

static void test_hist_below(void)
{
	base_hist_t *hist = base_hist_new(NULL);

	for (int i = 1; i <= 1000; i++)
		base_hist_add(hist, i * 100);
	/* 500 values are at most 50 ms; the count may be off by one bin. */
	g_assert_cmpuint(base_hist_below(hist, 50000), >=, 500);
	g_assert_cmpuint(base_hist_below(hist, 50000), <=,
			 (uint64_t)(500 * BASE_HIST_RATIO));
	g_assert_cmpuint(base_hist_below(hist, 200000), ==, 1000);
	base_hist_add(hist, -5);
	g_assert_cmpuint(base_hist_below(hist, 10), ==, 1);
	talloc_free(hist);
}

static void test_log(void)
{
	char line[512] = "";
	json_t *root;
	int fds[2];
	base_log_t log = { .level = BASE_INFO };

	g_assert_cmpint(pipe(fds), ==, 0);
	log.fd = fds[1];
	base_log(&log, BASE_MSG_REQUEST, BASE_F_INT("hidden", 1));
	base_log(&log, BASE_MSG_READY, BASE_F_STR("zone", "a\"b"),
		 BASE_F_INT("n", 3));
	g_assert_cmpint(read(fds[0], line, sizeof(line) - 1), >, 0);
	root = json_loads(line, 0, NULL);
	g_assert_nonnull(root);
	g_assert_cmpstr(json_string_value(json_object_get(root, "zone")), ==,
			"a\"b");
	g_assert_cmpstr(json_string_value(json_object_get(root, "msg")), ==,
			"ready");
	json_decref(root);
	close(fds[0]);
	close(fds[1]);
}

static void test_catalogue(void)
{
	for (int i = 0; i < BASE_MSG_MAX; i++) {
		const base_msg_info_t *info = base_msg_info((base_msg_t)i);

		g_assert_nonnull(info->name);
		g_assert_nonnull(info->text);
		for (int j = 0; j < i; j++)
			g_assert_cmpstr(info->name, !=,
					base_msg_info((base_msg_t)j)->name);
	}
}

static void test_json_int(void)
{
	static const struct {
		const char *text;
		bool ok;
		int64_t number;
	} cases[] = {
		{ "7", true, 7 },	{ "-3", true, -3 },
		{ "10", true, 10 },	{ "7.9", true, 7 },
		{ "-3.9", true, -3 },	{ "11", false, 0 },
		{ "-4", false, 0 },	{ "9223372036854775807", false, 0 },
		{ "1e300", false, 0 },	{ "-1e300", false, 0 },
		{ "9.3e18", false, 0 }, { "\"7\"", false, 0 },
		{ "null", false, 0 },	{ "[7]", false, 0 },
	};

	for (size_t i = 0; i < ARRAY_SIZE(cases); i++) {
		json_t *value =
			json_loads(cases[i].text, JSON_DECODE_ANY, NULL);
		int64_t number = 99;

		g_assert_nonnull(value);
		g_assert_cmpint(base_json_int(value, -3, 10, &number), ==,
				cases[i].ok);
		g_assert_cmpint(number, ==, cases[i].ok ? cases[i].number : 99);
		json_decref(value);
	}
	g_assert_false(base_json_int(NULL, 0, 1, NULL));
}

static void test_rng(void)
{
	base_rng_t a = { 1 }, b = { 1 };
	uint32_t seen[10] = { 0 };

	for (int i = 0; i < 10000; i++) {
		g_assert_cmpuint(base_rng_below(&a, 10), ==,
				 base_rng_below(&b, 10));
		seen[base_rng_below(&a, 10)]++;
		base_rng_next(&b);
	}
	for (int i = 0; i < 10; i++)
		g_assert_cmpuint(seen[i], >, 800);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/buf", test_buf);
	g_test_add_func("/base/str", test_str);
	g_test_add_func("/base/hist", test_hist);
	g_test_add_func("/base/histogram-below", test_hist_below);
	g_test_add_func("/base/log", test_log);
	g_test_add_func("/base/catalogue", test_catalogue);
	g_test_add_func("/base/json-int", test_json_int);
	g_test_add_func("/base/rng", test_rng);
	return g_test_run();
}
