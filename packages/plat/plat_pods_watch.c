#include "plat_pods_int.h"

/*
 * Reports tasks: lists all pods first, then watches for changes.
 */

#define PODS_PAGE_SIZE 2000 /* pods per page */
/* Limit of pages, in case the continue tokens form a cycle. */
#define PODS_PAGES_MAX 1000
#define WATCH_TIMEOUT_S 20 /* after which the platform ends a watch */
/* A watch that is open for longer is assumed to be broken. */
#define WATCH_AGE_MAX_US (30 * BASE_SEC)

/* Where the reports of one call go. */
typedef struct report_sink {
	plat_pods_t *pods;
	plat_report_fn_t report;
	void *arg;
} report_sink_t;

static bool read_watch(const report_sink_t *sink, GError **err);
static bool open_watch(plat_pods_t *pods, GError **err);
static bool list_all(report_sink_t *sink, GError **err);
static char *list_page(report_sink_t *sink, const char *path, GError **err);
static bool handle_event(const report_sink_t *sink, const GString *message);
static bool save_version(plat_pods_t *pods, const json_t *object);

bool plat_pods_reports(plat_tasks_t *tasks, plat_report_fn_t report, void *arg,
		       bool *whole, GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	report_sink_t sink = { pods, report, arg };
	bool succeeded;

	*whole = !pods->version[0];
	if (*whole)
		return list_all(&sink, err);
	succeeded = read_watch(&sink, err);
	if (!succeeded)
		pods->version[0] = '\0';
	return succeeded;
}

/*
 * Reports the events of the watch.  It uses the websocket of the API server,
 * with one event per message.  A chunked response would have to be read byte by
 * byte: civetweb's client gives no other way to find the end of an event.
 */
static bool read_watch(const report_sink_t *sink, GError **err)
{
	plat_pods_t *pods = sink->pods;
	int64_t wait_us = PLAT_TASKS_WAIT_S * BASE_SEC;
	GString *message;
	bool valid = true;

	if (!pods->watch && !open_watch(pods, err))
		return false;
	while (valid && (message = plat_ws_receive(pods->watch, wait_us))) {
		valid = handle_event(sink, message);
		g_string_free(message, TRUE);
		wait_us = 0;
	}
	if (!valid || plat_ws_is_drained(pods->watch) ||
	    base_clock_mono() - pods->watch_opened_at > WATCH_AGE_MAX_US)
		TALLOC_FREE(pods->watch);
	if (!valid)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "watch of pods sent an invalid event");
	return valid;
}

static bool open_watch(plat_pods_t *pods, GError **err)
{
	char *version = g_uri_escape_string(pods->version, NULL, FALSE);
	char *path = talloc_asprintf(NULL,
				     PODS_PATH "?watch=true&resourceVersion=%s"
					       "&timeoutSeconds=%d",
				     version, WATCH_TIMEOUT_S);

	pods->watch = plat_ws_open(pods, &pods->address, path, err);
	pods->watch_opened_at = base_clock_mono();
	talloc_free(path);
	g_free(version);
	return pods->watch != NULL;
}

/* Lists all pods in pages, all of one resourceVersion. */
static bool list_all(report_sink_t *sink, GError **err)
{
	char *path =
		talloc_asprintf(NULL, PODS_PATH "?limit=%d", PODS_PAGE_SIZE);
	GError *cause = NULL;

	for (int pages = 0; path && pages < PODS_PAGES_MAX; pages++) {
		char *next = list_page(sink, path, &cause);

		talloc_free(path);
		path = next;
	}
	if (path)
		g_set_error(&cause, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "list of pods exceeds the page limit");
	talloc_free(path);
	if (!cause)
		return true;
	sink->pods->version[0] = '\0';
	g_propagate_error(err, cause);
	return false;
}

/*
 * Reports the pods of one page and returns the path of the next one, or NULL.
 * A response without items or resourceVersion is an error: treated as an empty
 * list, it would mean that no task exists.
 */
static char *list_page(report_sink_t *sink, const char *path, GError **err)
{
	json_t *root = plat_http_call(sink->pods->http, path, NULL, err);
	json_t *items = json_object_get(root, "items");
	const char *token = plat_pod_text(root, "metadata", "continue");
	char *next = NULL, *escaped;
	json_t *pod;
	size_t i;

	if (!root)
		return NULL;
	if (!json_is_array(items) || !save_version(sink->pods, root)) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "response is not a list of pods");
		json_decref(root);
		return NULL;
	}
	json_array_foreach(items, i, pod)
		plat_pod_report(pod, sink->report, sink->arg);
	if (token && token[0]) {
		escaped = g_uri_escape_string(token, NULL, FALSE);
		next = talloc_asprintf(NULL, PODS_PATH "?limit=%d&continue=%s",
				       PODS_PAGE_SIZE, escaped);
		g_free(escaped);
	}
	json_decref(root);
	return next;
}

static bool handle_event(const report_sink_t *sink, const GString *message)
{
	json_t *event = json_loadb(message->str, message->len, 0, NULL);
	const char *type = json_string_value(json_object_get(event, "type"));
	const json_t *pod = json_object_get(event, "object");
	bool valid = type && strcmp(type, "ERROR") != 0 &&
		     save_version(sink->pods, pod);

	if (valid && strcmp(type, "DELETED") != 0)
		plat_pod_report(pod, sink->report, sink->arg);
	json_decref(event);
	return valid;
}

/* False if the resourceVersion is missing or too long. */
static bool save_version(plat_pods_t *pods, const json_t *object)
{
	const char *version =
		plat_pod_text(object, "metadata", "resourceVersion");

	return version && version[0] &&
	       g_strlcpy(pods->version, version, VERSION_MAX) < VERSION_MAX;
}
