#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>

#include "plat.h"

#define PODS "/api/v1/namespaces/jobs/pods"
#define NO_LENGTH (-1) /* of "missing": the body ends with the connection */
#define LISTS_MAX 5000 /* requests that end a list without end */

/* One answer of the platform; the last one is given again. */
typedef struct answer {
	int status;
	const char *body;
	int missing; /* bytes that are announced and not sent */
} answer_t;

/*
 * A platform that answers from a script and notes what it was asked.
 */
static struct {
	struct mg_context *http;
	pthread_mutex_t lock; /* of everything below */
	const answer_t *script;
	size_t length, at;
	const char *events[4]; /* of a watch */
	GPtrArray *asked;      /* "METHOD URI?QUERY TYPE" */
	char *body;	       /* of the last request */
} platform = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* What was reported last, and how often. */
typedef struct heard {
	int reports, without; /* without: that said nothing yet */
	jobs_report_t last;
	char job[JOBS_ID_MAX + 1];
	int64_t attempt;
} heard_t;

typedef bool (*op_t)(plat_tasks_t *tasks, const jobs_order_t *order,
		     GError **err);

static jobs_order_t order = {
	.job = { "j-1", 3 },
	.attempt = 3,
	.worker = { "w-1", 3 },
	.incarnation = 7,
	.family = { "say \"a\\b\"", 9 },
	.share = { { [JOBS_CORES] = 1500, [JOBS_MEMORY] = 64 } },
};

static char *read_all(struct mg_connection *conn)
{
	GString *body = g_string_new("");
	char chunk[4096];
	int got;

	while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0)
		g_string_append_len(body, chunk, got);
	return g_string_free(body, FALSE);
}

static int on_request(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *type = mg_get_header(conn, "Content-Type");
	const char *query = info->query_string;
	char *body = read_all(conn), *text;
	answer_t answer;
	size_t length;

	(void)arg;
	pthread_mutex_lock(&platform.lock);
	g_ptr_array_add(platform.asked,
			g_strdup_printf("%s %s%s%s %s", info->request_method,
					info->request_uri, query ? "?" : "",
					query ? query : "", type ? type : "-"));
	g_free(platform.body);
	platform.body = body;
	answer = platform.script[MIN(platform.at, platform.length - 1)];
	if (platform.asked->len > LISTS_MAX)
		answer = (answer_t){ 500, "", 0 };
	platform.at++;
	pthread_mutex_unlock(&platform.lock);
	length = strlen(answer.body) + (size_t)MAX(answer.missing, 0);
	text = g_strdup_printf(
		"HTTP/1.1 %d Answer\r\n%s: %zu\r\n\r\n%s", answer.status,
		answer.missing == NO_LENGTH ? "X-Length" : "Content-Length",
		length, answer.body);
	mg_write(conn, text, strlen(text));
	g_free(text);
	if (answer.missing)
		mg_disable_connection_keep_alive(conn);
	return answer.status;
}

static int on_stream(const struct mg_connection *conn, void *arg)
{
	(void)conn;
	(void)arg;
	return 0;
}

static void stream(struct mg_connection *conn, void *arg)
{
	(void)arg;
	for (size_t i = 0; i < G_N_ELEMENTS(platform.events); i++)
		if (platform.events[i])
			mg_websocket_write(conn, MG_WEBSOCKET_OPCODE_TEXT,
					   platform.events[i],
					   strlen(platform.events[i]));
}

static plat_tasks_t *meet(const answer_t *script, size_t length)
{
	struct mg_server_port port;
	plat_address_t address = { .host = "127.0.0.1" };

	mg_get_server_ports(platform.http, 1, &port);
	address.port = port.port;
	pthread_mutex_lock(&platform.lock);
	platform.script = script;
	platform.length = length;
	platform.at = 0;
	g_ptr_array_set_size(platform.asked, 0);
	pthread_mutex_unlock(&platform.lock);
	return plat_pods_new(NULL, &address);
}

static void on_report(void *arg, base_str_t job, int64_t attempt,
		      const jobs_report_t *report)
{
	heard_t *heard = arg;

	g_snprintf(heard->job, sizeof(heard->job), "%.*s", BASE_STR_ARG(job));
	heard->attempt = attempt;
	heard->reports += report != NULL;
	heard->without += report == NULL;
	if (report)
		heard->last = *report;
}

/* PLAT_ERROR_MAX: it went well. */
static int read_reports(plat_tasks_t *tasks, heard_t *heard, bool *whole)
{
	GError *err = NULL;
	bool good = tasks->ops->reports(tasks, on_report, heard, whole, &err);
	int code = good ? PLAT_ERROR_MAX : err->code;

	g_assert_true(good == !err);
	g_clear_error(&err);
	return code;
}

static const char *asked(guint i)
{
	g_assert_cmpuint(i, <, platform.asked->len);
	return platform.asked->pdata[i];
}

/* Whether the last request's pod has that text at "path". */
static void check_pod(const char *path, const char *want)
{
	char **keys = g_strsplit(path, "/", -1);
	json_t *pod = json_loads(platform.body, 0, NULL), *at = pod;

	for (char **key = keys; *key; key++)
		at = json_is_array(at) ? json_array_get(at, (size_t)atoi(*key))
				       : json_object_get(at, *key);
	g_assert_cmpstr(json_string_value(at), ==, want);
	json_decref(pod);
	g_strfreev(keys);
}

static void test_start(void)
{
	static const answer_t made = { 201, "{}", 0 };
	plat_tasks_t *tasks = meet(&made, 1);

	g_assert_true(tasks->ops->start(tasks, &order, NULL));
	g_assert_cmpstr(asked(0), ==, "POST " PODS " application/json");
	check_pod("metadata/name", "j-1.3");
	check_pod("spec/nodeName", "w-1");
	check_pod("spec/containers/0/image", "say \"a\\b\"");
	check_pod("spec/containers/0/resources/requests/cpu", "1500m");
	check_pod("spec/containers/0/resources/requests/memory", "64Mi");
	g_assert_nonnull(
		strstr(platform.body, "\"cactusfield/incarnation\":\"7\""));
	talloc_free(tasks);
}

/* Whatever a name holds, it stays one segment of the path. */
static void test_paths(void)
{
	static const answer_t fine = { 200, "{}", 0 };
	plat_tasks_t *tasks = meet(&fine, 1);
	jobs_order_t odd = order;

	odd.worker = BASE_STR("w/1?x y");
	g_assert_true(tasks->ops->checkpoint(tasks, &odd, NULL));
	g_assert_cmpstr(asked(0), ==,
			"POST /api/v1/nodes/w%2F1%3Fx%20y/proxy/checkpoint"
			"/jobs/j-1.3/task application/json");
	g_assert_cmpstr(asked(1), ==,
			"PATCH " PODS "/j-1.3 application/merge-patch+json");
	g_assert_true(tasks->ops->forget(tasks, "a/b.3", NULL));
	g_assert_cmpstr(asked(2), ==, "DELETE " PODS "/a%2Fb.3 -");
	talloc_free(tasks);
}

static void test_resize(void)
{
	static const answer_t fine = { 200, "{}", 0 };
	plat_tasks_t *tasks = meet(&fine, 1);
	jobs_order_t odd = order;

	odd.job = BASE_STR("a/b");
	g_assert_true(tasks->ops->throttle(tasks, &odd, NULL));
	g_assert_cmpstr(asked(0), ==,
			"PATCH " PODS "/a%2Fb.3/resize "
			"application/merge-patch+json");
	g_assert_nonnull(strstr(platform.body, "\"187m\""));
	g_assert_true(tasks->ops->resume(tasks, &odd, NULL));
	g_assert_nonnull(strstr(platform.body, "\"1500m\""));
	talloc_free(tasks);
}

/* What cannot be written as JSON is refused before it is sent. */
static void test_not_text(void)
{
	static const answer_t made = { 201, "{}", 0 };
	plat_tasks_t *tasks = meet(&made, 1);
	jobs_order_t odd = order;
	GError *err = NULL;

	odd.family = BASE_STR("\xff\xfe");
	g_assert_false(tasks->ops->start(tasks, &odd, &err));
	g_assert_error(err, PLAT_ERROR, PLAT_ERROR_BAD);
	g_clear_error(&err);
	g_assert_cmpuint(platform.asked->len, ==, 0);
	talloc_free(tasks);
}

/* An order is given up only where the platform refuses it for good. */
static void test_statuses(void)
{
	static const struct {
		answer_t answer;
		int code; /* PLAT_ERROR_MAX: taken */
	} cases[] = {
		{ { 200, "{}", 0 }, PLAT_ERROR_MAX },
		{ { 201, "no JSON", 0 }, PLAT_ERROR_MAX },
		{ { 400, "{}", 0 }, PLAT_ERROR_BAD },
		{ { 403, "{}", 0 }, PLAT_ERROR_BAD },
		{ { 422, "", 0 }, PLAT_ERROR_BAD },
		{ { 408, "", 0 }, PLAT_ERROR_UNKNOWN },
		{ { 429, "", 0 }, PLAT_ERROR_DOWN },
		{ { 500, "", 0 }, PLAT_ERROR_UNKNOWN },
		{ { 504, "{}", 0 }, PLAT_ERROR_UNKNOWN },
		{ { 200, "{", 9 }, PLAT_ERROR_UNKNOWN },
		{ { 400, "no", NO_LENGTH }, PLAT_ERROR_BAD },
		{ { 429, "busy", NO_LENGTH }, PLAT_ERROR_DOWN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_tasks_t *tasks = meet(&cases[i].answer, 1);
		const op_t ops[] = { tasks->ops->start, tasks->ops->checkpoint,
				     tasks->ops->resume, tasks->ops->stop,
				     tasks->ops->forbid };

		for (size_t k = 0; k < G_N_ELEMENTS(ops); k++) {
			guint before = platform.asked->len;
			GError *err = NULL;
			bool taken = ops[k](tasks, &order, &err);

			g_assert_cmpint(taken ? PLAT_ERROR_MAX : err->code, ==,
					cases[i].code);
			/* A write is never sent again on its own. */
			g_assert_cmpuint(platform.asked->len - before, ==,
					 taken && k == 1 ? 2 : 1);
			g_clear_error(&err);
		}
		talloc_free(tasks);
	}
}

/* A name that is there is a start's success; a stop asks again. */
static void test_conflict(void)
{
	static const answer_t there[] = { { 409, "{}", 0 } };
	static const answer_t late[] = { { 404, "{}", 0 }, { 409, "{}", 0 } };
	plat_tasks_t *tasks = meet(there, 1);
	GError *err = NULL;

	g_assert_true(tasks->ops->start(tasks, &order, NULL));
	g_assert_true(tasks->ops->forbid(tasks, &order, NULL));
	talloc_free(tasks);
	tasks = meet(late, 2);
	g_assert_false(tasks->ops->stop(tasks, &order, &err));
	g_assert_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN);
	g_clear_error(&err);
	talloc_free(tasks);
	tasks = meet(late, 1);
	g_assert_true(tasks->ops->forget(tasks, "j-1.3", NULL));
	talloc_free(tasks);
}

/* A stop of what is not there takes its name, for no life of the worker. */
static void test_forbid(void)
{
	static const answer_t script[] = { { 404, "{}", 0 }, { 201, "{}", 0 } };
	plat_tasks_t *tasks = meet(script, 2);

	g_assert_true(tasks->ops->stop(tasks, &order, NULL));
	check_pod("metadata/name", "j-1.3");
	g_assert_nonnull(
		strstr(platform.body, "\"cactusfield/incarnation\":\"0\""));
	g_assert_nonnull(
		strstr(platform.body, "\"cactusfield/forbidden\":\"7\""));
	g_assert_nonnull(
		strstr(platform.body, "\"cactusfield/repeatable\":\"false\""));
	talloc_free(tasks);
}

#define LIST(META, ITEMS) "{\"metadata\":{" META "},\"items\":[" ITEMS "]}"
#define POD(NAME, NOTES, STATUS)                                          \
	"{\"metadata\":{\"name\":\"" NAME "\",\"resourceVersion\":\"6\"," \
	"\"annotations\":{" NOTES "}},\"spec\":{\"nodeName\":\"w-1\"},"   \
	"\"status\":{" STATUS "}}"
#define VERSION "\"resourceVersion\":\"5\""
#define RUNS POD("j-1.3", "\"cactusfield/incarnation\":\"7\"", PHASE("Running"))
#define PHASE(NAME) "\"phase\":\"" NAME "\""

/* What is no list is not taken for one without pods. */
static void test_bad_lists(void)
{
	static const struct {
		answer_t answer;
		int code;
	} cases[] = {
		{ { 200, "", 0 }, PLAT_ERROR_BAD },
		{ { 200, "[]", 0 }, PLAT_ERROR_BAD },
		{ { 200, "{}", 0 }, PLAT_ERROR_BAD },
		{ { 200, "{\"items\":[", 0 }, PLAT_ERROR_BAD },
		{ { 200, "{\"metadata\":{" VERSION "}}", 0 }, PLAT_ERROR_BAD },
		{ { 200, "{\"metadata\":{" VERSION "},\"items\":{}}", 0 },
		  PLAT_ERROR_BAD },
		{ { 200, LIST("", RUNS), 0 }, PLAT_ERROR_BAD },
		{ { 200, LIST(VERSION, RUNS), 40 }, PLAT_ERROR_UNKNOWN },
		{ { 410, "{}", 0 }, PLAT_ERROR_BAD },
		{ { 503, "{}", 0 }, PLAT_ERROR_UNKNOWN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_tasks_t *tasks = meet(&cases[i].answer, 1);
		heard_t heard = { 0 };
		bool whole;

		g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
				cases[i].code);
		g_assert_cmpint(heard.reports, ==, 0);
		/* The next try reads the whole list again. */
		read_reports(tasks, &heard, &whole);
		g_assert_true(whole);
		talloc_free(tasks);
	}
}

static void test_parts(void)
{
	static const answer_t script[] = {
		{ 200, LIST(VERSION ",\"continue\":\"a+b/c=&limit=1\"", RUNS),
		  0 },
		{ 200, LIST(VERSION, RUNS), 0 },
	};
	plat_tasks_t *tasks = meet(script, 2);
	heard_t heard = { 0 };
	bool whole;

	g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
			PLAT_ERROR_MAX);
	g_assert_true(whole);
	g_assert_cmpstr(asked(0), ==, "GET " PODS "?limit=2000 -");
	g_assert_cmpstr(asked(1), ==,
			"GET " PODS "?limit=2000&continue="
			"a%2Bb%2Fc%3D%26limit%3D1 -");
	/* Two events each: it runs, and on all its cores. */
	g_assert_cmpint(heard.reports, ==, 4);
	talloc_free(tasks);
}

/* A list without end, and an answer without end. */
static void test_too_many(void)
{
	static const answer_t round = { 200,
					LIST(VERSION ",\"continue\":\"a\"", ""),
					0 };
	char *much = g_strnfill(17 * 1024 * 1024, ' ');
	answer_t large = { 200, much, 0 };
	plat_tasks_t *tasks = meet(&round, 1);
	heard_t heard = { 0 };
	bool whole;

	g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
			PLAT_ERROR_BAD);
	talloc_free(tasks);
	tasks = meet(&large, 1);
	g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
			PLAT_ERROR_UNKNOWN);
	talloc_free(tasks);
	g_free(much);
}

static void test_pods(void)
{
	static const struct {
		const char *pod;
		int event; /* JOBS_EVENT_MAX: says nothing; -1: not ours */
	} cases[] = {
		{ "{}", -1 },
		{ "7", -1 },
		{ "{\"metadata\":{\"name\":\"j-1.3\"}}", -1 },
		{ POD("other", "", PHASE("Running")), -1 },
		{ POD(".3", "", PHASE("Running")), -1 },
		{ POD("j-1.", "", PHASE("Running")), -1 },
		{ POD("j-1.x", "", PHASE("Running")), -1 },
		{ POD("j-1.3x", "", PHASE("Running")), -1 },
		{ POD("j-1.99999999999999999999", "", PHASE("Running")), -1 },
		{ POD("j-1.3", "", ""), JOBS_EVENT_MAX },
		{ POD("j-1.3", "", "\"phase\":7"), JOBS_EVENT_MAX },
		{ POD("j-1.3", "", PHASE("Pending")), JOBS_EVENT_MAX },
		/* Its worker is not heard: it may still run. */
		{ POD("j-1.3", "", PHASE("Unknown")), JOBS_EVENT_MAX },
		{ POD("j-1.3", "", PHASE("Running")), JOBS_EVENT_RESUMED },
		{ POD("j-1.3", "", PHASE("Succeeded")), JOBS_EVENT_ENDED },
		{ POD("j-1.3", "", PHASE("Failed")), JOBS_EVENT_FAILED },
		{ POD("j-1.3", "",
		      PHASE("Failed") ",\"reason\":\"DeadlineExceeded\""),
		  JOBS_EVENT_GONE },
		{ POD("j-1.3", "\"cactusfield/checkpointed\":\"true\"",
		      PHASE("Failed") ",\"reason\":\"DeadlineExceeded\""),
		  JOBS_EVENT_CHECKPOINTED },
		{ POD("j-1.3", "",
		      PHASE("Failed") ",\"reason\":\"UnexpectedAdmissionError"
				      "\""),
		  JOBS_EVENT_REFUSED },
		{ POD("j-1.3", "\"cactusfield/forbidden\":\"7\"", ""),
		  JOBS_EVENT_REFUSED },
		{ POD("j-1.3",
		      "\"cactusfield/forbidden\":\"7\","
		      "\"cactusfield/repeatable\":\"true\"",
		      PHASE("Running")),
		  JOBS_EVENT_GONE },
		{ POD("j-1.3", "\"cactusfield/cpu\":\"2\"",
		      PHASE("Running") ",\"containerStatuses\":[{\"resources\":"
				       "{\"requests\":{\"cpu\":\"500m\"}}}]"),
		  JOBS_EVENT_THROTTLED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *body = g_strdup_printf(LIST(VERSION, "%s"), cases[i].pod);
		answer_t answer = { 200, body, 0 };
		plat_tasks_t *tasks = meet(&answer, 1);
		heard_t heard = { 0 };
		bool whole;

		g_test_message("%s", cases[i].pod);
		g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
				PLAT_ERROR_MAX);
		g_assert_cmpint(heard.without, ==,
				cases[i].event == JOBS_EVENT_MAX);
		g_assert_cmpint(heard.reports > 0, ==,
				cases[i].event >= 0 &&
					cases[i].event < JOBS_EVENT_MAX);
		if (heard.reports)
			g_assert_cmpint(heard.last.event, ==, cases[i].event);
		if (cases[i].event >= 0) {
			g_assert_cmpstr(heard.job, ==, "j-1");
			g_assert_cmpint(heard.attempt, ==, 3);
		}
		talloc_free(tasks);
		g_free(body);
	}
}

#define EVENT(TYPE, POD) "{\"type\":\"" TYPE "\",\"object\":" POD "}"

static void test_watch(void)
{
	static const answer_t empty = { 200, LIST(VERSION, ""), 0 };
	static const struct {
		const char *event;
		int code, reports;
	} cases[] = {
		{ EVENT("MODIFIED", RUNS), PLAT_ERROR_MAX, 2 },
		{ EVENT("DELETED", RUNS), PLAT_ERROR_MAX, 0 },
		{ EVENT("ERROR", "{\"code\":410}"), PLAT_ERROR_BAD, 0 },
		{ EVENT("MODIFIED", "{}"), PLAT_ERROR_BAD, 0 },
		{ "{\"type\":\"ADDED\"}", PLAT_ERROR_BAD, 0 },
		{ "{\"type\":", PLAT_ERROR_BAD, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_tasks_t *tasks = meet(&empty, 1);
		heard_t heard = { 0 };
		bool whole;

		platform.events[0] = cases[i].event;
		g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
				PLAT_ERROR_MAX);
		g_assert_true(whole);
		g_assert_cmpint(read_reports(tasks, &heard, &whole), ==,
				cases[i].code);
		g_assert_false(whole);
		g_assert_cmpint(heard.reports, ==, cases[i].reports);
		/* What cannot be followed is listed anew. */
		read_reports(tasks, &heard, &whole);
		g_assert_true(whole == (cases[i].code != PLAT_ERROR_MAX));
		talloc_free(tasks);
	}
}

int main(int argc, char **argv)
{
	const char *options[] = {
		"listening_ports",	 "127.0.0.1:0", "num_threads", "8",
		"enable_keep_alive",	 "yes",		"decode_url",  "no",
		"keep_alive_timeout_ms", "5000",	NULL
	};
	struct mg_callbacks callbacks = { 0 };
	int failed;

	g_test_init(&argc, &argv, NULL);
	platform.asked = g_ptr_array_new_with_free_func(g_free);
	platform.http = mg_start(&callbacks, NULL, options);
	g_assert_nonnull(platform.http);
	mg_set_request_handler(platform.http, "/", on_request, NULL);
	mg_set_websocket_handler(platform.http, PODS, on_stream, stream, NULL,
				 NULL, NULL);
	g_test_add_func("/pods/start", test_start);
	g_test_add_func("/pods/paths", test_paths);
	g_test_add_func("/pods/resize", test_resize);
	g_test_add_func("/pods/not-text", test_not_text);
	g_test_add_func("/pods/statuses", test_statuses);
	g_test_add_func("/pods/conflict", test_conflict);
	g_test_add_func("/pods/forbid", test_forbid);
	g_test_add_func("/pods/bad-lists", test_bad_lists);
	g_test_add_func("/pods/parts", test_parts);
	g_test_add_func("/pods/too-many", test_too_many);
	g_test_add_func("/pods/pods", test_pods);
	g_test_add_func("/pods/watch", test_watch);
	failed = g_test_run();
	mg_stop(platform.http);
	g_ptr_array_free(platform.asked, TRUE);
	g_free(platform.body);
	return failed;
}
