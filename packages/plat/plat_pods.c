#include <inttypes.h>
#include <stdlib.h>

#include "plat_pods_int.h"

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

#define MERGE "application/merge-patch+json"
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
static void forbid_pod(json_t *pod, const char *life, bool repeatable);
static bool resize(plat_pods_t *pods, const jobs_order_t *order, int64_t cores,
		   GError **err);
static int patch(plat_pods_t *pods, const jobs_order_t *order,
		 const char *below, const char *body, GError **err);
static char *escaped(base_str_t name);
static bool judge(int status, const char *what, GError **err);

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

	/* The name is there: the same order came before. */
	return status == 409 || judge(status, "start", err);
}

static bool pods_checkpoint(plat_tasks_t *tasks, const jobs_order_t *order,
			    GError **err)
{
	plat_pods_t *pods = (plat_pods_t *)tasks;
	char *worker = escaped(order->worker), *job = escaped(order->job);
	char *path = talloc_asprintf(
		NULL,
		"/api/v1/nodes/%s/proxy/checkpoint/jobs/%s.%" PRId64 "/task",
		worker, job, order->attempt);
	plat_http_request_t request = { "POST", path, NULL, "{}" };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	g_free(worker);
	g_free(job);
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
	char *segment = escaped(base_str(name));
	char *path = talloc_asprintf(NULL, PODS_PATH "/%s", segment);
	plat_http_request_t request = { "DELETE", path, NULL, NULL };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	g_free(segment);
	return status == 404 || judge(status, "forget", err);
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
	int status = 0;

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
	body = pod ? json_dumps(pod, JSON_COMPACT) : NULL;
	request.body = body;
	if (body)
		status = plat_http_send(pods->http, &request, err);
	else
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_BAD,
			    "a name is no UTF-8");
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
	char *job = escaped(order->job);
	char *path = talloc_asprintf(NULL, PODS_PATH "/%s.%" PRId64 "%s", job,
				     order->attempt, below);
	plat_http_request_t request = { "PATCH", path, MERGE, body };
	int status = plat_http_send(pods->http, &request, err);

	talloc_free(path);
	g_free(job);
	return status;
}

/* One segment of a path; g_free() it. */
static char *escaped(base_str_t name)
{
	char *text = g_strndup(name.ptr, name.len);
	char *segment = g_uri_escape_string(text, NULL, FALSE);

	g_free(text);
	return segment;
}

/*
 * Status 0 has its error already.  A platform that has too much to do (429)
 * did nothing; one that gave up waiting (408) may have.
 */
static bool judge(int status, const char *what, GError **err)
{
	plat_error_t code = PLAT_ERROR_BAD;

	if (status >= 200 && status < 300)
		return true;
	if (status == 429)
		code = PLAT_ERROR_DOWN;
	else if (status == 408 || status >= 500)
		code = PLAT_ERROR_UNKNOWN;
	if (status)
		g_set_error(err, PLAT_ERROR, code, "%s: status %d", what,
			    status);
	return false;
}
