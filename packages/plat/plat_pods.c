#include <inttypes.h>
#include <stdlib.h>

#include "plat_int.h"

/*
 * Kubernetes' pod API, core/v1.  A task is a pod that is bound to its worker
 * by nodeName and named JOB.ATTEMPT; the API server takes a name once, so
 * that an order that comes twice has the effect of one.  A pod that was
 * stopped stays, as failed, so that a late start meets its name.
 *
 * - start: POST a pod; throttle and resume: PATCH its subresource "resize";
 * - stop: PATCH activeDeadlineSeconds; checkpoint: the node's checkpoint call
 *   (KEP-2008), then stop;
 * - forbid: POST a pod of that name for life 0 of the worker, which refuses it;
 *   its annotations say which life it stands for.
 *
 * A worker refuses a pod for another life of it and one that it sees first
 * after "start-by": the order of a holder that was paused in the middle.
 *
 * The worker reports in annotations of the pod what status has no place for.
 */

#define PODS_PATH "/api/v1/namespaces/jobs/pods"
#define NOTE "cactusfield/"
#define MERGE "application/merge-patch+json"
#define VERSION_MAX 32		     /* bytes */
#define LIST_PART 2000		     /* pods of one answer */
#define WATCH_S 20		     /* then the platform ends a watch ... */
#define WATCH_MAX_US (30 * BASE_SEC) /* ... or is taken to be gone */
#define START_BY_US (30 * BASE_SEC)

typedef struct plat_pods {
	plat_tasks_t tasks;
	plat_address_t address;
	plat_http_t *http;
	plat_ws_t *watch;	   /* NULL: none */
	int64_t watched_at;	   /* when it was opened */
	char version[VERSION_MAX]; /* "": not followed */
} plat_pods_t;

/* While reports are read. */
typedef struct reading {
	plat_pods_t *pods;
	plat_report_fn_t report;
	void *arg;
} reading_t;

static bool pods_start(plat_tasks_t *tasks, const jobs_order_t *order,
		       GError **err);
static bool pods_checkpoint(plat_tasks_t *tasks, const jobs_order_t *order,
			    GError **err);
static bool pods_throttle(plat_tasks_t *tasks, const jobs_order_t *order,
			  GError **err);
static bool pods_resume(plat_tasks_t *tasks, const jobs_order_t *order,
			GError **err);
static bool pods_stop(plat_tasks_t *tasks, const jobs_order_t *order,
		      GError **err);
static bool pods_forbid(plat_tasks_t *tasks, const jobs_order_t *order,
			GError **err);
static bool pods_forget(plat_tasks_t *tasks, const char *name, GError **err);
static bool pods_reports(plat_tasks_t *tasks, plat_report_fn_t report,
			 void *arg, bool *whole, GError **err);
static int post_pod(plat_pods_t *pods, const jobs_order_t *order, bool forbid,
		    GError **err);
static void forbid_pod(json_t *pod, const char *life, bool repeatable);
static bool resize(plat_pods_t *pods, const jobs_order_t *order, int64_t cores,
		   GError **err);
static int patch(plat_pods_t *pods, const jobs_order_t *order,
		 const char *below, const char *body, GError **err);
static bool judge(int status, const char *what, GError **err);
static bool list_all(reading_t *reading, GError **err);
static bool follow(const reading_t *reading, GError **err);
static bool open_watch(plat_pods_t *pods, GError **err);
static bool take_event(const reading_t *reading, const GString *message);
static void note_version(plat_pods_t *pods, const json_t *object);
static void take_pod(const reading_t *reading, const json_t *pod);
static bool event_of(const json_t *pod, jobs_event_t *event);
static bool is_throttled(const json_t *pod);
static int64_t milli_of(const char *quantity);
static const char *text_in(const json_t *pod, const char *section,
			   const char *key);
static int64_t note_of(const json_t *pod, const char *key);

static const plat_tasks_ops_t pods_ops = {
	.start = pods_start,
	.checkpoint = pods_checkpoint,
	.throttle = pods_throttle,
	.resume = pods_resume,
	.stop = pods_stop,
	.forbid = pods_forbid,
	.forget = pods_forget,
	.reports = pods_reports,
};

plat_tasks_t *plat_pods_new(const void *ctx, const plat_address_t *address)
{
	plat_pods_t *pods = talloc_zero(ctx, plat_pods_t);

	pods->tasks.ops = &pods_ops;
	pods->http = plat_http_new(pods, address);
	pods->address.host = talloc_strdup(pods, address->host);
	pods->address.port = address->port;
	return &pods->tasks;
}

static bool pods_start(plat_tasks_t *tasks, const jobs_order_t *order,
		       GError **err)
{
	int status = post_pod((plat_pods_t *)tasks, order, false, err);

	/* The name is there: the same order came before. */
	return status == 409 || judge(status, "start", err);
}

static bool pods_checkpoint(plat_tasks_t *tasks, const jobs_order_t *order,
			    GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	char *path = talloc_asprintf(
		NULL,
		"/api/v1/nodes/%.*s/proxy/checkpoint/jobs/%.*s.%" PRId64
		"/task",
		BASE_STR_ARG(order->worker), BASE_STR_ARG(order->job),
		order->attempt);
	plat_http_request_t request = { "POST", path, NULL, "{}" };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	if (!judge(status, "checkpoint", err))
		return false;
	status = patch(pods, order, "",
		       "{\"metadata\":{\"annotations\":{\"" NOTE
		       "checkpointed\":\"true\"}},"
		       "\"spec\":{\"activeDeadlineSeconds\":1}}",
		       err);
	return judge(status, "stop", err);
}

static bool pods_throttle(plat_tasks_t *tasks, const jobs_order_t *order,
			  GError **err)
{
	return resize((plat_pods_t *)tasks, order,
		      order->share.v[JOBS_CORES] / JOBS_THROTTLE_PART, err);
}

static bool pods_resume(plat_tasks_t *tasks, const jobs_order_t *order,
			GError **err)
{
	return resize((plat_pods_t *)tasks, order, order->share.v[JOBS_CORES],
		      err);
}

/* Where it is not there, that it never will be is told by its report. */
static bool pods_stop(plat_tasks_t *tasks, const jobs_order_t *order,
		      GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	int status = patch(pods, order, "",
			   "{\"spec\":{\"activeDeadlineSeconds\":1}}", err);

	if (status != 404)
		return judge(status, "stop", err);
	status = post_pod(pods, order, true, err);
	if (status != 409)
		return judge(status, "forbid", err);
	/* It was begun meanwhile: the next try stops it. */
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "it begins now");
	return false;
}

static bool pods_forbid(plat_tasks_t *tasks, const jobs_order_t *order,
			GError **err)
{
	int status = post_pod((plat_pods_t *)tasks, order, true, err);

	return status == 409 || judge(status, "forbid", err);
}

static bool pods_forget(plat_tasks_t *tasks, const char *name, GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	char *path = talloc_asprintf(NULL, PODS_PATH "/%s", name);
	plat_http_request_t request = { "DELETE", path, NULL, NULL };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	return status == 404 || judge(status, "forget", err);
}

static bool pods_reports(plat_tasks_t *tasks, plat_report_fn_t report,
			 void *arg, bool *whole, GError **err)
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

/* The status, or 0. */
static int post_pod(plat_pods_t *pods, const jobs_order_t *order, bool forbid,
		    GError **err)
{
	const int64_t *v = order->share.v;
	json_t *pod;
	char *name = talloc_asprintf(NULL, "%.*s.%" PRId64,
				     BASE_STR_ARG(order->job), order->attempt);
	char *life = talloc_asprintf(name, "%" PRId64, order->incarnation);
	char *by = talloc_asprintf(name, "%" PRId64,
				   base_clock_wall() + (int64_t)START_BY_US);
	char *cpu = talloc_asprintf(name, "%" PRId64 "m", v[JOBS_CORES]);
	char *memory = talloc_asprintf(name, "%" PRId64 "Mi", v[JOBS_MEMORY]);
	char *acc = talloc_asprintf(name, "%" PRId64, v[JOBS_ACCELERATORS]);
	plat_http_request_t request = { "POST", PODS_PATH, NULL, NULL };
	char *body;
	int status;

	pod = json_pack(
		"{s:s,s:s,s:{s:s,s:{s:s,s:s,s:s,s:s}},s:{s:s%,s:s,s:[{s:s,s:s%,"
		"s:{s:{s:s,s:s,s:s}}}]}}",
		"apiVersion", "v1", "kind", "Pod", "metadata", "name", name,
		"annotations", NOTE "incarnation", forbid ? "0" : life,
		NOTE "start-by-us", by, NOTE "cpu", cpu, NOTE "from-checkpoint",
		order->checkpointed ? "true" : "false", "spec", "nodeName",
		order->worker.ptr, order->worker.len, "restartPolicy", "Never",
		"containers", "name", "task", "image", order->family.ptr,
		order->family.len, "resources", "requests", "cpu", cpu,
		"memory", memory, NOTE "accelerator", acc);
	if (forbid)
		forbid_pod(pod, life, order->repeatable);
	body = json_dumps(pod, JSON_COMPACT);
	request.body = body;
	status = plat_http_send(pods->http, &request, err);
	free(body);
	json_decref(pod);
	talloc_free(name);
	return status;
}

/* What its reports are to say, since its worker will not. */
static void forbid_pod(json_t *pod, const char *life, bool repeatable)
{
	json_t *notes = json_object_get(json_object_get(pod, "metadata"),
					"annotations");

	json_object_set_new(notes, NOTE "forbidden", json_string(life));
	json_object_set_new(notes, NOTE "repeatable",
			    json_string(repeatable ? "true" : "false"));
}

static bool resize(plat_pods_t *pods, const jobs_order_t *order, int64_t cores,
		   GError **err)
{
	char *body = talloc_asprintf(
		NULL,
		"{\"spec\":{\"containers\":[{\"name\":\"task\",\"resources\":"
		"{\"requests\":{\"cpu\":\"%" PRId64 "m\"}}}]}}",
		cores);
	int status = patch(pods, order, "/resize", body, err);

	talloc_free(body);
	return judge(status, "resize", err);
}

static int patch(plat_pods_t *pods, const jobs_order_t *order,
		 const char *below, const char *body, GError **err)
{
	char *path = talloc_asprintf(NULL, PODS_PATH "/%.*s.%" PRId64 "%s",
				     BASE_STR_ARG(order->job), order->attempt,
				     below);
	plat_http_request_t request = { "PATCH", path, MERGE, body };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	return status;
}

/* Status 0 has its error already. */
static bool judge(int status, const char *what, GError **err)
{
	if (status >= 200 && status < 300)
		return true;
	if (status)
		g_set_error(err, PLAT_ERROR,
			    status >= 500 ? PLAT_ERROR_UNKNOWN : PLAT_ERROR_BAD,
			    "%s: status %d", what, status);
	return false;
}

/* In parts, all as of one version. */
static bool list_all(reading_t *reading, GError **err)
{
	plat_pods_t *pods = reading->pods;
	char *path = talloc_asprintf(NULL, PODS_PATH "?limit=%d", LIST_PART);
	bool more = true;

	while (more) {
		json_t *root = plat_http_call(pods->http, path, NULL, err);
		const char *next = text_in(root, "metadata", "continue");
		json_t *pod;
		size_t i;

		talloc_free(path);
		path = NULL;
		if (!root) {
			pods->version[0] = '\0';
			return false;
		}
		json_array_foreach(json_object_get(root, "items"), i, pod)
			take_pod(reading, pod);
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
		take_pod(reading, pod);
	if (good)
		note_version(reading->pods, pod);
	json_decref(event);
	return good;
}

static void note_version(plat_pods_t *pods, const json_t *object)
{
	const char *version = text_in(object, "metadata", "resourceVersion");

	g_strlcpy(pods->version, version ? version : "", VERSION_MAX);
}

/* A pod that is not one of ours is passed over. */
static void take_pod(const reading_t *reading, const json_t *pod)
{
	const char *name = text_in(pod, "metadata", "name");
	const char *worker = text_in(pod, "spec", "nodeName");
	const char *dot = name ? strrchr(name, '.') : NULL;
	jobs_report_t report = { .event = JOBS_EVENT_RUNNING };
	jobs_event_t event;

	if (!dot || !worker)
		return;
	report.job = (base_str_t){ name, (size_t)(dot - name) };
	report.attempt = strtoll(dot + 1, NULL, 10);
	report.worker = base_str(worker);
	report.incarnation = note_of(pod, "forbidden");
	if (!report.incarnation)
		report.incarnation = note_of(pod, "incarnation");
	report.as_of = note_of(pod, "as-of-us");
	report.run_us = note_of(pod, "run-us");
	report.peak.v[JOBS_CORES] = note_of(pod, "peak-millicores");
	report.peak.v[JOBS_MEMORY] = note_of(pod, "peak-mb");
	if (!event_of(pod, &event)) {
		reading->report(reading->arg, report.job, report.attempt, NULL);
		return;
	}
	/* A running one says that too, besides whether it is throttled. */
	if (event == JOBS_EVENT_THROTTLED || event == JOBS_EVENT_RESUMED)
		reading->report(reading->arg, report.job, report.attempt,
				&report);
	report.event = event;
	reading->report(reading->arg, report.job, report.attempt, &report);
}

/* False while the worker has said nothing. */
static bool event_of(const json_t *pod, jobs_event_t *event)
{
	const char *phase = text_in(pod, "status", "phase");
	const char *reason = text_in(pod, "status", "reason");
	json_t *notes = json_object_get(json_object_get(pod, "metadata"),
					"annotations");
	const char *again =
		json_string_value(json_object_get(notes, NOTE "repeatable"));

	if (json_object_get(notes, NOTE "forbidden")) {
		*event = again && !strcmp(again, "true") ? JOBS_EVENT_GONE
							 : JOBS_EVENT_REFUSED;
		return true;
	}
	if (!phase || !strcmp(phase, "Pending"))
		return false;
	if (!strcmp(phase, "Running"))
		*event = is_throttled(pod) ? JOBS_EVENT_THROTTLED
					   : JOBS_EVENT_RESUMED;
	else if (!strcmp(phase, "Succeeded"))
		*event = JOBS_EVENT_ENDED;
	else if (reason && !strcmp(reason, "UnexpectedAdmissionError"))
		*event = JOBS_EVENT_REFUSED;
	else if (reason && !strcmp(reason, "DeadlineExceeded"))
		*event = json_object_get(notes, NOTE "checkpointed")
				 ? JOBS_EVENT_CHECKPOINTED
				 : JOBS_EVENT_GONE;
	else
		*event = JOBS_EVENT_FAILED;
	return true;
}

static bool is_throttled(const json_t *pod)
{
	json_t *status = json_object_get(pod, "status");
	json_t *container =
		json_array_get(json_object_get(status, "containerStatuses"), 0);
	json_t *requests = json_object_get(
		json_object_get(container, "resources"), "requests");
	json_t *notes = json_object_get(json_object_get(pod, "metadata"),
					"annotations");
	const char *now = json_string_value(json_object_get(requests, "cpu"));
	const char *full =
		json_string_value(json_object_get(notes, NOTE "cpu"));

	return now && full && milli_of(now) < milli_of(full);
}

/* "1500m" or "2". */
static int64_t milli_of(const char *quantity)
{
	char *end;
	int64_t number = strtoll(quantity, &end, 10);

	return *end == 'm' ? number : number * 1000;
}

static const char *text_in(const json_t *pod, const char *section,
			   const char *key)
{
	return json_string_value(
		json_object_get(json_object_get(pod, section), key));
}

static int64_t note_of(const json_t *pod, const char *key)
{
	json_t *notes = json_object_get(json_object_get(pod, "metadata"),
					"annotations");
	char name[64];
	const char *text;

	g_snprintf(name, sizeof(name), NOTE "%s", key);
	text = json_string_value(json_object_get(notes, name));
	return text ? strtoll(text, NULL, 10) : 0;
}
