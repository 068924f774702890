#include "plat_pods_int.h"

/*
 * The list of pods, and then the watch of what changes in it.
 */

#define LIST_PART 2000		     /* pods of one answer */
#define LIST_PARTS_MAX 1000	     /* a token may lead back to itself */
#define WATCH_S 20		     /* then the platform ends a watch ... */
#define WATCH_MAX_US (30 * BASE_SEC) /* ... or is taken to be gone */

/* While reports are read. */
typedef struct reading {
	plat_pods_t *pods;
	plat_report_fn_t report;
	void *arg;
} reading_t;

static bool follow(const reading_t *reading, GError **err);
static bool open_watch(plat_pods_t *pods, GError **err);
static bool list_all(reading_t *reading, GError **err);
static char *list_part(reading_t *reading, const char *path, GError **err);
static bool take_event(const reading_t *reading, const GString *message);
static bool note_version(plat_pods_t *pods, const json_t *object);

bool plat_pods_reports(plat_tasks_t *tasks, plat_report_fn_t report, void *arg,
		       bool *whole, GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	reading_t reading = { pods, report, arg };
	bool heard;

	*whole = !pods->version[0];
	if (*whole)
		return list_all(&reading, err);
	heard = follow(&reading, err);
	if (!heard)
		pods->version[0] = '\0';
	return heard;
}

/*
 * The watch goes over a websocket, as the API server offers it: a message an
 * event.  Civetweb's client cannot say where an event of a stream that grows
 * ends without reading byte by byte.
 */
static bool follow(const reading_t *reading, GError **err)
{
	plat_pods_t *pods = reading->pods;
	int64_t wait_us = PLAT_TASKS_WAIT_S * BASE_SEC;
	GString *message;
	bool good = true;

	if (!pods->watch && !open_watch(pods, err))
		return false;
	while (good && (message = plat_ws_take(pods->watch, wait_us))) {
		good = take_event(reading, message);
		g_string_free(message, TRUE);
		wait_us = 0;
	}
	if (!good || plat_ws_closed(pods->watch) ||
	    base_clock_mono() - pods->watched_at > WATCH_MAX_US)
		TALLOC_FREE(pods->watch);
	if (!good)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_BAD,
			    "tasks cannot be followed");
	return good;
}

static bool open_watch(plat_pods_t *pods, GError **err)
{
	char *version = g_uri_escape_string(pods->version, NULL, FALSE);
	char *path = talloc_asprintf(NULL,
				     PODS_PATH "?watch=true&resourceVersion=%s"
					       "&timeoutSeconds=%d",
				     version, WATCH_S);

	pods->watch = plat_ws_open(pods, &pods->address, path, err);
	pods->watched_at = base_clock_mono();
	talloc_free(path);
	g_free(version);
	return pods->watch != NULL;
}

/* In parts, all as of one version. */
static bool list_all(reading_t *reading, GError **err)
{
	char *path = talloc_asprintf(NULL, PODS_PATH "?limit=%d", LIST_PART);
	GError *cause = NULL;

	for (int parts = 0; path && parts < LIST_PARTS_MAX; parts++) {
		char *next = list_part(reading, path, &cause);

		talloc_free(path);
		path = next;
	}
	if (path)
		g_set_error(&cause, PLAT_ERROR, PLAT_ERROR_BAD,
			    "the list of tasks has no end");
	talloc_free(path);
	if (!cause)
		return true;
	reading->pods->version[0] = '\0';
	g_propagate_error(err, cause);
	return false;
}

/*
 * The path of the next part, or NULL.  What has no items or no version is no
 * list: taken for an empty one it would say that no task is there.
 */
static char *list_part(reading_t *reading, const char *path, GError **err)
{
	json_t *root = plat_http_call(reading->pods->http, path, NULL, err);
	json_t *items = json_object_get(root, "items");
	const char *token = plat_pod_text(root, "metadata", "continue");
	char *next = NULL, *escaped;
	json_t *pod;
	size_t i;

	if (!root)
		return NULL;
	if (!json_is_array(items) || !note_version(reading->pods, root)) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_BAD,
			    "answer is no list of tasks");
		json_decref(root);
		return NULL;
	}
	json_array_foreach(items, i, pod)
		plat_pod_report(pod, reading->report, reading->arg);
	if (token && token[0]) {
		escaped = g_uri_escape_string(token, NULL, FALSE);
		next = talloc_asprintf(NULL, PODS_PATH "?limit=%d&continue=%s",
				       LIST_PART, escaped);
		g_free(escaped);
	}
	json_decref(root);
	return next;
}

static bool take_event(const reading_t *reading, const GString *message)
{
	json_t *event = json_loadb(message->str, message->len, 0, NULL);
	const char *type = json_string_value(json_object_get(event, "type"));
	const json_t *pod = json_object_get(event, "object");
	bool good = type && strcmp(type, "ERROR") != 0 &&
		    note_version(reading->pods, pod);

	if (good && strcmp(type, "DELETED") != 0)
		plat_pod_report(pod, reading->report, reading->arg);
	json_decref(event);
	return good;
}

/* False for one that is missing, or that does not fit. */
static bool note_version(plat_pods_t *pods, const json_t *object)
{
	const char *version =
		plat_pod_text(object, "metadata", "resourceVersion");

	return version && version[0] &&
	       g_strlcpy(pods->version, version, VERSION_MAX) < VERSION_MAX;
}
