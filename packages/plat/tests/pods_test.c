#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>

#include "plat.h"

#define PODS "/api/v1/namespaces/jobs/pods"
/* Value of "missing": no Content-Length, the body ends with the connection. */
#define NO_LENGTH (-1)
/* The server then fails, to end an endless list. */
#define REQUESTS_MAX 5000

/* A scripted response; the last one of a script is repeated. */
typedef struct response {
	int status;
	const char *body;
	int missing; /* bytes of Content-Length that are not sent */
} response_t;

/*
 * An API server that responds from a script and records the requests.
 */
static struct {
	struct mg_context *http;
	pthread_mutex_t lock; /* guards everything below */
	const response_t *script;
	/* Length of the script; index of the next response. */
	size_t length, at;
	const char *events[4]; /* events that a watch sends */
	GPtrArray *requests;   /* "METHOD URI?QUERY TYPE" */
	char *body;	       /* body of the last request */
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* The last report and the number of reports. */
typedef struct report_log {
	int reports, n_without; /* n_without: tasks without a state */
	jobs_report_t last;
	char job[JOBS_ID_MAX + 1];
	int64_t attempt;
} report_log_t;

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
	response_t response;
	size_t length;

	(void)arg;
	pthread_mutex_lock(&server.lock);
	g_ptr_array_add(server.requests,
			g_strdup_printf("%s %s%s%s %s", info->request_method,
					info->request_uri, query ? "?" : "",
					query ? query : "", type ? type : "-"));
	g_free(server.body);
	server.body = body;
	response = server.script[MIN(server.at, server.length - 1)];
	if (server.requests->len > REQUESTS_MAX)
		response = (response_t){ 500, "", 0 };
	server.at++;
	pthread_mutex_unlock(&server.lock);
	length = strlen(response.body) + (size_t)MAX(response.missing, 0);
	text = g_strdup_printf(
		"HTTP/1.1 %d Answer\r\n%s: %zu\r\n\r\n%s", response.status,
		response.missing == NO_LENGTH ? "X-Length" : "Content-Length",
		length, response.body);
	mg_write(conn, text, strlen(text));
	g_free(text);
	if (response.missing)
		mg_disable_connection_keep_alive(conn);
	return response.status;
}

static int on_connect(const struct mg_connection *conn, void *arg)
{
	(void)conn;
	(void)arg;
	return 0;
}

static void send_events(struct mg_connection *conn, void *arg)
{
	(void)arg;
	for (size_t i = 0; i < G_N_ELEMENTS(server.events); i++)
		if (server.events[i])
			mg_websocket_write(conn, MG_WEBSOCKET_OPCODE_TEXT,
					   server.events[i],
					   strlen(server.events[i]));
}

static plat_tasks_t *new_client(const response_t *script, size_t length)
{
	struct mg_server_port port;
	plat_address_t address = { .host = "127.0.0.1" };

	mg_get_server_ports(server.http, 1, &port);
	address.port = port.port;
	pthread_mutex_lock(&server.lock);
	server.script = script;
	server.length = length;
	server.at = 0;
	g_ptr_array_set_size(server.requests, 0);
	pthread_mutex_unlock(&server.lock);
	return plat_pods_new(NULL, &address);
}

static void on_report(void *arg, base_str_t job, int64_t attempt,
		      const jobs_report_t *report)
{
	report_log_t *log = arg;

	g_snprintf(log->job, sizeof(log->job), "%.*s", BASE_STR_ARG(job));
	log->attempt = attempt;
	log->reports += report != NULL;
	log->n_without += report == NULL;
	if (report)
		log->last = *report;
}

/* Returns the error code, or PLAT_ERROR_MAX on success. */
static int read_reports(plat_tasks_t *tasks, report_log_t *log, bool *whole)
{
	GError *err = NULL;
	bool good = tasks->ops->reports(tasks, on_report, log, whole, &err);
	int code = good ? PLAT_ERROR_MAX : err->code;

	g_assert_true(good == !err);
	g_clear_error(&err);
	return code;
}

static const char *request_at(guint i)
{
	g_assert_cmpuint(i, <, server.requests->len);
	return server.requests->pdata[i];
}

/* Checks the string at "path" in the pod of the last request. */
static void check_pod(const char *path, const char *want)
{
	char **keys = g_strsplit(path, "/", -1);
	json_t *pod = json_loads(server.body, 0, NULL), *at = pod;

	for (char **key = keys; *key; key++)
		at = json_is_array(at) ? json_array_get(at, (size_t)atoi(*key))
				       : json_object_get(at, *key);
	g_assert_cmpstr(json_string_value(at), ==, want);
	json_decref(pod);
	g_strfreev(keys);
}

static void test_start(void)
{
	static const response_t created = { 201, "{}", 0 };
	plat_tasks_t *tasks = new_client(&created, 1);

	g_assert_true(tasks->ops->start(tasks, &order, NULL));
	g_assert_cmpstr(request_at(0), ==, "POST " PODS " application/json");
	check_pod("metadata/name", "j-1.3");
	check_pod("spec/nodeName", "w-1");
	check_pod("spec/containers/0/image", "say \"a\\b\"");
	check_pod("spec/containers/0/resources/requests/cpu", "1500m");
	check_pod("spec/containers/0/resources/requests/memory", "64Mi");
	g_assert_nonnull(
		strstr(server.body, "\"cactusfield/incarnation\":\"7\""));
	talloc_free(tasks);
}

/*
 * Names with reserved URI characters are escaped, so that each stays one path
 * segment.
 */
static void test_paths(void)
{
	static const response_t ok = { 200, "{}", 0 };
	plat_tasks_t *tasks = new_client(&ok, 1);
	jobs_order_t changed = order;

	changed.worker = BASE_STR("w/1?x y");
	g_assert_true(tasks->ops->checkpoint(tasks, &changed, NULL));
	g_assert_cmpstr(request_at(0), ==,
			"POST /api/v1/nodes/w%2F1%3Fx%20y/proxy/checkpoint"
			"/jobs/j-1.3/task application/json");
	g_assert_cmpstr(request_at(1), ==,
			"PATCH " PODS "/j-1.3 application/merge-patch+json");
	g_assert_true(tasks->ops->forget(tasks, "a/b.3", NULL));
	g_assert_cmpstr(request_at(2), ==, "DELETE " PODS "/a%2Fb.3 -");
	talloc_free(tasks);
}

static void test_resize(void)
{
	static const response_t ok = { 200, "{}", 0 };
	plat_tasks_t *tasks = new_client(&ok, 1);
	jobs_order_t changed = order;

	changed.job = BASE_STR("a/b");
	g_assert_true(tasks->ops->throttle(tasks, &changed, NULL));
	g_assert_cmpstr(request_at(0), ==,
			"PATCH " PODS "/a%2Fb.3/resize "
			"application/merge-patch+json");
	g_assert_nonnull(strstr(server.body, "\"187m\""));
	g_assert_true(tasks->ops->resume(tasks, &changed, NULL));
	g_assert_nonnull(strstr(server.body, "\"1500m\""));
	talloc_free(tasks);
}

/* An order with invalid UTF-8 fails before anything is sent. */
static void test_invalid_utf8(void)
{
	static const response_t created = { 201, "{}", 0 };
	plat_tasks_t *tasks = new_client(&created, 1);
	jobs_order_t changed = order;
	GError *err = NULL;

	changed.family = BASE_STR("\xff\xfe");
	g_assert_false(tasks->ops->start(tasks, &changed, &err));
	g_assert_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED);
	g_clear_error(&err);
	g_assert_cmpuint(server.requests->len, ==, 0);
	talloc_free(tasks);
}

/*
 * Only a permanent refusal is PLAT_ERROR_REJECTED; after a timeout, overload, a
 * server error or a lost response the order may be sent again.
 */
static void test_statuses(void)
{
	static const struct {
		response_t response;
		int code; /* PLAT_ERROR_MAX: accepted */
	} cases[] = {
		{ { 200, "{}", 0 }, PLAT_ERROR_MAX },
		{ { 201, "no JSON", 0 }, PLAT_ERROR_MAX },
		{ { 400, "{}", 0 }, PLAT_ERROR_REJECTED },
		{ { 403, "{}", 0 }, PLAT_ERROR_REJECTED },
		{ { 422, "", 0 }, PLAT_ERROR_REJECTED },
		{ { 408, "", 0 }, PLAT_ERROR_UNKNOWN },
		{ { 429, "", 0 }, PLAT_ERROR_UNAVAILABLE },
		{ { 500, "", 0 }, PLAT_ERROR_UNKNOWN },
		{ { 504, "{}", 0 }, PLAT_ERROR_UNKNOWN },
		{ { 200, "{", 9 }, PLAT_ERROR_UNKNOWN },
		{ { 400, "no", NO_LENGTH }, PLAT_ERROR_REJECTED },
		{ { 429, "busy", NO_LENGTH }, PLAT_ERROR_UNAVAILABLE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_tasks_t *tasks = new_client(&cases[i].response, 1);
		const op_t ops[] = { tasks->ops->start, tasks->ops->checkpoint,
				     tasks->ops->resume, tasks->ops->stop,
				     tasks->ops->forbid };

		for (size_t k = 0; k < G_N_ELEMENTS(ops); k++) {
			guint before = server.requests->len;
			GError *err = NULL;
			bool accepted = ops[k](tasks, &order, &err);

			g_assert_cmpint(accepted ? PLAT_ERROR_MAX : err->code,
					==, cases[i].code);
			/* The client never repeats a write by itself. */
			g_assert_cmpuint(server.requests->len - before, ==,
					 accepted && k == 1 ? 2 : 1);
			g_clear_error(&err);
		}
		talloc_free(tasks);
	}
}

/*
 * If the pod exists, start and forbid succeed.  A stop whose forbidden pod
 * conflicts with a pod created in the meantime must be sent again.  A forget of
 * a pod that does not exist succeeds.
 */
static void test_conflict(void)
{
	static const response_t exists[] = { { 409, "{}", 0 } };
	static const response_t late[] = { { 404, "{}", 0 }, { 409, "{}", 0 } };
	plat_tasks_t *tasks = new_client(exists, 1);
	GError *err = NULL;

	g_assert_true(tasks->ops->start(tasks, &order, NULL));
	g_assert_true(tasks->ops->forbid(tasks, &order, NULL));
	talloc_free(tasks);
	tasks = new_client(late, 2);
	g_assert_false(tasks->ops->stop(tasks, &order, &err));
	g_assert_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN);
	g_clear_error(&err);
	talloc_free(tasks);
	tasks = new_client(late, 1);
	g_assert_true(tasks->ops->forget(tasks, "j-1.3", NULL));
	talloc_free(tasks);
}

/*
 * A stop of a pod that does not exist creates one of that name for incarnation
 * 0, which no worker has.
 */
static void test_forbid(void)
{
	static const response_t script[] = { { 404, "{}", 0 },
					     { 201, "{}", 0 } };
	plat_tasks_t *tasks = new_client(script, 2);

	g_assert_true(tasks->ops->stop(tasks, &order, NULL));
	check_pod("metadata/name", "j-1.3");
	g_assert_nonnull(
		strstr(server.body, "\"cactusfield/incarnation\":\"0\""));
	g_assert_nonnull(
		strstr(server.body, "\"cactusfield/forbidden\":\"7\""));
	g_assert_nonnull(
		strstr(server.body, "\"cactusfield/repeatable\":\"false\""));
	talloc_free(tasks);
}

#define LIST(META, ITEMS) "{\"metadata\":{" META "},\"items\":[" ITEMS "]}"
#define POD(NAME, ANNOTATIONS, STATUS)                                        \
	"{\"metadata\":{\"name\":\"" NAME "\",\"resourceVersion\":\"6\","     \
	"\"annotations\":{" ANNOTATIONS "}},\"spec\":{\"nodeName\":\"w-1\"}," \
	"\"status\":{" STATUS "}}"
#define VERSION "\"resourceVersion\":\"5\""
#define RUNNING_POD \
	POD("j-1.3", "\"cactusfield/incarnation\":\"7\"", PHASE("Running"))
#define PHASE(NAME) "\"phase\":\"" NAME "\""

/*
 * A malformed list is an error.  Treated as an empty list, it would mean that
 * no task exists.
 */
static void test_bad_lists(void)
{
	static const struct {
		response_t response;
		int code;
	} cases[] = {
		{ { 200, "", 0 }, PLAT_ERROR_REJECTED },
		{ { 200, "[]", 0 }, PLAT_ERROR_REJECTED },
		{ { 200, "{}", 0 }, PLAT_ERROR_REJECTED },
		{ { 200, "{\"items\":[", 0 }, PLAT_ERROR_REJECTED },
		{ { 200, "{\"metadata\":{" VERSION "}}", 0 },
		  PLAT_ERROR_REJECTED },
		{ { 200, "{\"metadata\":{" VERSION "},\"items\":{}}", 0 },
		  PLAT_ERROR_REJECTED },
		{ { 200, LIST("", RUNNING_POD), 0 }, PLAT_ERROR_REJECTED },
		{ { 200, LIST(VERSION, RUNNING_POD), 40 }, PLAT_ERROR_UNKNOWN },
		{ { 410, "{}", 0 }, PLAT_ERROR_REJECTED },
		{ { 503, "{}", 0 }, PLAT_ERROR_UNKNOWN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_tasks_t *tasks = new_client(&cases[i].response, 1);
		report_log_t log = { 0 };
		bool whole;

		g_assert_cmpint(read_reports(tasks, &log, &whole), ==,
				cases[i].code);
		g_assert_cmpint(log.reports, ==, 0);
		/* The next call reads the full list again. */
		read_reports(tasks, &log, &whole);
		g_assert_true(whole);
		talloc_free(tasks);
	}
}

static void test_pages(void)
{
	static const response_t script[] = {
		{ 200,
		  LIST(VERSION ",\"continue\":\"a+b/c=&limit=1\"", RUNNING_POD),
		  0 },
		{ 200, LIST(VERSION, RUNNING_POD), 0 },
	};
	plat_tasks_t *tasks = new_client(script, 2);
	report_log_t log = { 0 };
	bool whole;

	g_assert_cmpint(read_reports(tasks, &log, &whole), ==, PLAT_ERROR_MAX);
	g_assert_true(whole);
	g_assert_cmpstr(request_at(0), ==, "GET " PODS "?limit=2000 -");
	g_assert_cmpstr(request_at(1), ==,
			"GET " PODS "?limit=2000&continue="
			"a%2Bb%2Fc%3D%26limit%3D1 -");
	/* Two reports per pod: resumed and running. */
	g_assert_cmpint(log.reports, ==, 4);
	talloc_free(tasks);
}

/* A list whose continue token repeats, and a response that is too large. */
static void test_too_many(void)
{
	static const response_t cyclic = {
		200, LIST(VERSION ",\"continue\":\"a\"", ""), 0
	};
	char *large_body = g_strnfill(17 * 1024 * 1024, ' ');
	response_t large = { 200, large_body, 0 };
	plat_tasks_t *tasks = new_client(&cyclic, 1);
	report_log_t log = { 0 };
	bool whole;

	g_assert_cmpint(read_reports(tasks, &log, &whole), ==,
			PLAT_ERROR_REJECTED);
	talloc_free(tasks);
	tasks = new_client(&large, 1);
	g_assert_cmpint(read_reports(tasks, &log, &whole), ==,
			PLAT_ERROR_UNKNOWN);
	talloc_free(tasks);
	g_free(large_body);
}

static void test_pods(void)
{
	static const struct {
		const char *pod;
		int event; /* JOBS_EVENT_MAX: no state; -1: not ours */
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
		/* Contact with the worker is lost; it may still run. */
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
		response_t response = { 200, body, 0 };
		plat_tasks_t *tasks = new_client(&response, 1);
		report_log_t log = { 0 };
		bool whole;

		g_test_message("%s", cases[i].pod);
		g_assert_cmpint(read_reports(tasks, &log, &whole), ==,
				PLAT_ERROR_MAX);
		g_assert_cmpint(log.n_without, ==,
				cases[i].event == JOBS_EVENT_MAX);
		g_assert_cmpint(log.reports > 0, ==,
				cases[i].event >= 0 &&
					cases[i].event < JOBS_EVENT_MAX);
		if (log.reports)
			g_assert_cmpint(log.last.event, ==, cases[i].event);
		if (cases[i].event >= 0) {
			g_assert_cmpstr(log.job, ==, "j-1");
			g_assert_cmpint(log.attempt, ==, 3);
		}
		talloc_free(tasks);
		g_free(body);
	}
}

#define EVENT(TYPE, POD) "{\"type\":\"" TYPE "\",\"object\":" POD "}"

static void test_watch(void)
{
	static const response_t empty = { 200, LIST(VERSION, ""), 0 };
	static const struct {
		const char *event;
		int code, reports;
	} cases[] = {
		{ EVENT("MODIFIED", RUNNING_POD), PLAT_ERROR_MAX, 2 },
		{ EVENT("DELETED", RUNNING_POD), PLAT_ERROR_MAX, 0 },
		{ EVENT("ERROR", "{\"code\":410}"), PLAT_ERROR_REJECTED, 0 },
		{ EVENT("MODIFIED", "{}"), PLAT_ERROR_REJECTED, 0 },
		{ "{\"type\":\"ADDED\"}", PLAT_ERROR_REJECTED, 0 },
		{ "{\"type\":", PLAT_ERROR_REJECTED, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		plat_tasks_t *tasks = new_client(&empty, 1);
		report_log_t log = { 0 };
		bool whole;

		server.events[0] = cases[i].event;
		g_assert_cmpint(read_reports(tasks, &log, &whole), ==,
				PLAT_ERROR_MAX);
		g_assert_true(whole);
		g_assert_cmpint(read_reports(tasks, &log, &whole), ==,
				cases[i].code);
		g_assert_false(whole);
		g_assert_cmpint(log.reports, ==, cases[i].reports);
		/* After an invalid event the full list is read. */
		read_reports(tasks, &log, &whole);
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
	server.requests = g_ptr_array_new_with_free_func(g_free);
	server.http = mg_start(&callbacks, NULL, options);
	g_assert_nonnull(server.http);
	mg_set_request_handler(server.http, "/", on_request, NULL);
	mg_set_websocket_handler(server.http, PODS, on_connect, send_events,
				 NULL, NULL, NULL);
	g_test_add_func("/pods/start", test_start);
	g_test_add_func("/pods/paths", test_paths);
	g_test_add_func("/pods/resize", test_resize);
	g_test_add_func("/pods/not-text", test_invalid_utf8);
	g_test_add_func("/pods/statuses", test_statuses);
	g_test_add_func("/pods/conflict", test_conflict);
	g_test_add_func("/pods/forbid", test_forbid);
	g_test_add_func("/pods/bad-lists", test_bad_lists);
	g_test_add_func("/pods/parts", test_pages);
	g_test_add_func("/pods/too-many", test_too_many);
	g_test_add_func("/pods/pods", test_pods);
	g_test_add_func("/pods/watch", test_watch);
	failed = g_test_run();
	mg_stop(server.http);
	g_ptr_array_free(server.requests, TRUE);
	g_free(server.body);
	return failed;
}
