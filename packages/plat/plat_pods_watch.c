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
static bool take_event(const reading_t *reading, const GString *message);
static void note_version(plat_pods_t *pods, const json_t *object);

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
	char *path = talloc_asprintf(NULL,
				     PODS_PATH "?watch=true&resourceVersion=%s"
					       "&timeoutSeconds=%d",
				     pods->version, WATCH_S);

	pods->watch = plat_ws_open(pods, &pods->address, path, err);
	pods->watched_at = base_clock_mono();
	talloc_free(path);
	return pods->watch != NULL;
}

/* In parts, all as of one version. */
static bool list_all(reading_t *reading, GError **err)
{
	plat_pods_t *pods = reading->pods;
	char *path = talloc_asprintf(NULL, PODS_PATH "?limit=%d", LIST_PART);
	bool more = true;

	while (more) {
		json_t *root = plat_http_call(pods->http, path, NULL, err);
		const char *next = plat_pod_text(root, "metadata", "continue");
		json_t *pod;
		size_t i;

		talloc_free(path);
		path = NULL;
		if (!root) {
			pods->version[0] = '\0';
			return false;
		}
		json_array_foreach(json_object_get(root, "items"), i, pod)
			plat_pod_report(pod, reading->report, reading->arg);
		note_version(pods, root);
		more = next && next[0];
		if (more)
			path = talloc_asprintf(
				NULL, PODS_PATH "?limit=%d&continue=%s",
				LIST_PART, next);
		json_decref(root);
	}
	return true;
}

static bool take_event(const reading_t *reading, const GString *message)
{
	json_t *event = json_loadb(message->str, message->len, 0, NULL);
	const char *type = json_string_value(json_object_get(event, "type"));
	const json_t *pod = json_object_get(event, "object");
	bool good = type && strcmp(type, "ERROR") != 0 && pod;

	if (good && strcmp(type, "DELETED") != 0)
		plat_pod_report(pod, reading->report, reading->arg);
	if (good)
		note_version(reading->pods, pod);
	json_decref(event);
	return good;
}

static void note_version(plat_pods_t *pods, const json_t *object)
{
	const char *version =
		plat_pod_text(object, "metadata", "resourceVersion");

	g_strlcpy(pods->version, version ? version : "", VERSION_MAX);
}
