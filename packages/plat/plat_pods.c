#include <inttypes.h>
#include <stdlib.h>

#include "plat_pods_int.h"

/*
 * Client of the Kubernetes pod API, core/v1.  A task is a pod that is bound to
 * its worker by nodeName and named JOB.ATTEMPT.  The API server accepts a name
 * only once, so a repeated order has no further effect.  A stopped pod stays as
 * failed, so that a late start conflicts with its name.
 *
 * - start: POST a pod; throttle and resume: PATCH its subresource "resize";
 * - stop: PATCH activeDeadlineSeconds; checkpoint: the node's checkpoint call
 *   (KEP-2008), then stop;
 * - forbid: POST a pod of that name for incarnation 0 of the worker, which
 *   refuses it; the annotation "forbidden" holds the incarnation of the order.
 *
 * A worker refuses a pod for another incarnation and a pod that it first sees
 * after "start-by-us": a holder that was paused while sending may have sent it.
 *
 * The worker reports in annotations of the pod what its status cannot hold.
 */

#define MERGE_PATCH_TYPE "application/merge-patch+json"
/* A worker refuses a start order that it first sees this long after sending. */
#define START_BY_US (30 * BASE_SEC)

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
static int post_pod(plat_pods_t *pods, const jobs_order_t *order, bool forbid,
		    GError **err);
static void set_forbidden(json_t *pod, const char *incarnation,
			  bool repeatable);
static bool resize(plat_pods_t *pods, const jobs_order_t *order, int64_t cores,
		   GError **err);
static int patch(plat_pods_t *pods, const jobs_order_t *order,
		 const char *subresource, const char *body, GError **err);
static char *escape_segment(base_str_t name);
static bool check_status(int status, const char *operation, GError **err);

static const plat_tasks_ops_t pods_ops = {
	.start = pods_start,
	.checkpoint = pods_checkpoint,
	.throttle = pods_throttle,
	.resume = pods_resume,
	.stop = pods_stop,
	.forbid = pods_forbid,
	.forget = pods_forget,
	.reports = plat_pods_reports,
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

	/* 409: the pod exists, so the order was sent before. */
	return status == 409 || check_status(status, "start", err);
}

static bool pods_checkpoint(plat_tasks_t *tasks, const jobs_order_t *order,
			    GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	char *worker = escape_segment(order->worker),
	     *job = escape_segment(order->job);
	char *path = talloc_asprintf(
		NULL,
		"/api/v1/nodes/%s/proxy/checkpoint/jobs/%s.%" PRId64 "/task",
		worker, job, order->attempt);
	plat_http_request_t request = { "POST", path, NULL, "{}" };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	g_free(worker);
	g_free(job);
	if (!check_status(status, "checkpoint", err))
		return false;
	status = patch(pods, order, "",
		       "{\"metadata\":{\"annotations\":{\"" ANNOTATION_PREFIX
		       "checkpointed\":\"true\"}},"
		       "\"spec\":{\"activeDeadlineSeconds\":1}}",
		       err);
	return check_status(status, "stop", err);
}

static bool pods_throttle(plat_tasks_t *tasks, const jobs_order_t *order,
			  GError **err)
{
	return resize((plat_pods_t *)tasks, order,
		      order->share.v[JOBS_CORES] / JOBS_THROTTLE_DIVISOR, err);
}

static bool pods_resume(plat_tasks_t *tasks, const jobs_order_t *order,
			GError **err)
{
	return resize((plat_pods_t *)tasks, order, order->share.v[JOBS_CORES],
		      err);
}

/*
 * If the pod does not exist, creates a forbidden one, so that the task cannot
 * start later and is reported as refused or gone.
 */
static bool pods_stop(plat_tasks_t *tasks, const jobs_order_t *order,
		      GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	int status = patch(pods, order, "",
			   "{\"spec\":{\"activeDeadlineSeconds\":1}}", err);

	if (status != 404)
		return check_status(status, "stop", err);
	status = post_pod(pods, order, true, err);
	if (status != 409)
		return check_status(status, "forbid", err);
	/* The pod was created in between; the next try stops it. */
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN,
		    "pod was created in the meantime");
	return false;
}

static bool pods_forbid(plat_tasks_t *tasks, const jobs_order_t *order,
			GError **err)
{
	int status = post_pod((plat_pods_t *)tasks, order, true, err);

	return status == 409 || check_status(status, "forbid", err);
}

static bool pods_forget(plat_tasks_t *tasks, const char *name, GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	char *segment = escape_segment(base_str(name));
	char *path = talloc_asprintf(NULL, PODS_PATH "/%s", segment);
	plat_http_request_t request = { "DELETE", path, NULL, NULL };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	g_free(segment);
	return status == 404 || check_status(status, "forget", err);
}

/* Returns the HTTP status, or 0 with an error. */
static int post_pod(plat_pods_t *pods, const jobs_order_t *order, bool forbid,
		    GError **err)
{
	const int64_t *share = order->share.v;
	json_t *pod;
	char *name = talloc_asprintf(NULL, "%.*s.%" PRId64,
				     BASE_STR_ARG(order->job), order->attempt);
	char *incarnation =
		talloc_asprintf(name, "%" PRId64, order->incarnation);
	char *start_by = talloc_asprintf(
		name, "%" PRId64, base_clock_wall() + (int64_t)START_BY_US);
	char *cpu = talloc_asprintf(name, "%" PRId64 "m", share[JOBS_CORES]);
	char *memory =
		talloc_asprintf(name, "%" PRId64 "Mi", share[JOBS_MEMORY]);
	char *accelerators =
		talloc_asprintf(name, "%" PRId64, share[JOBS_ACCELERATORS]);
	plat_http_request_t request = { "POST", PODS_PATH, NULL, NULL };
	char *body;
	int status = 0;

	pod = json_pack(
		"{s:s,s:s,s:{s:s,s:{s:s,s:s,s:s,s:s}},s:{s:s%,s:s,s:[{s:s,s:s%,"
		"s:{s:{s:s,s:s,s:s}}}]}}",
		"apiVersion", "v1", "kind", "Pod", "metadata", "name", name,
		"annotations", ANNOTATION_PREFIX "incarnation",
		forbid ? "0" : incarnation, ANNOTATION_PREFIX "start-by-us",
		start_by, ANNOTATION_PREFIX "cpu", cpu,
		ANNOTATION_PREFIX "from-checkpoint",
		order->checkpointed ? "true" : "false", "spec", "nodeName",
		order->worker.ptr, order->worker.len, "restartPolicy", "Never",
		"containers", "name", "task", "image", order->family.ptr,
		order->family.len, "resources", "requests", "cpu", cpu,
		"memory", memory, ANNOTATION_PREFIX "accelerator",
		accelerators);
	if (forbid)
		set_forbidden(pod, incarnation, order->repeatable);
	body = pod ? json_dumps(pod, JSON_COMPACT) : NULL;
	request.body = body;
	if (body)
		status = plat_http_send(pods->http, &request, err);
	else
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "order holds text that is not UTF-8");
	free(body);
	json_decref(pod);
	talloc_free(name);
	return status;
}

/*
 * Adds the annotations from which the pod is reported, as its worker refuses it
 * and reports nothing.
 */
static void set_forbidden(json_t *pod, const char *incarnation, bool repeatable)
{
	json_t *annotations = json_object_get(json_object_get(pod, "metadata"),
					      "annotations");

	json_object_set_new(annotations, ANNOTATION_PREFIX "forbidden",
			    json_string(incarnation));
	json_object_set_new(annotations, ANNOTATION_PREFIX "repeatable",
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
	return check_status(status, "resize", err);
}

static int patch(plat_pods_t *pods, const jobs_order_t *order,
		 const char *subresource, const char *body, GError **err)
{
	char *job = escape_segment(order->job);
	char *path = talloc_asprintf(NULL, PODS_PATH "/%s.%" PRId64 "%s", job,
				     order->attempt, subresource);
	plat_http_request_t request = { "PATCH", path, MERGE_PATCH_TYPE, body };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	g_free(job);
	return status;
}

/* "name" as one URI path segment; release it with g_free(). */
static char *escape_segment(base_str_t name)
{
	char *text = g_strndup(name.ptr, name.len);
	char *segment = g_uri_escape_string(text, NULL, FALSE);

	g_free(text);
	return segment;
}

/*
 * Turns a status into a result.  With status 0 the error is already set.  After
 * 429 (too many requests) the request had no effect; after 408 (timeout) or a
 * server error it may have had one.
 */
static bool check_status(int status, const char *operation, GError **err)
{
	plat_error_t code = PLAT_ERROR_REJECTED;

	if (status >= 200 && status < 300)
		return true;
	if (status == 429)
		code = PLAT_ERROR_UNAVAILABLE;
	else if (status == 408 || status >= 500)
		code = PLAT_ERROR_UNKNOWN;
	if (status)
		g_set_error(err, PLAT_ERROR, code, "%s: status %d", operation,
			    status);
	return false;
}
