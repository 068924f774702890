#include <stdlib.h>

#include "plat_pods_int.h"

/*
 * Derives the state of a task from its pod.
 */

static bool pod_event(const json_t *pod, jobs_event_t *event);
static bool is_throttled(const json_t *pod);
static int64_t parse_millicores(const char *quantity);
static int64_t annotation_int64(const json_t *pod, const char *key);

void plat_pod_report(const json_t *pod, plat_report_fn_t report_fn, void *arg)
{
	const char *name = plat_pod_text(pod, "metadata", "name");
	const char *worker = plat_pod_text(pod, "spec", "nodeName");
	const char *dot = name ? strrchr(name, '.') : NULL;
	gint64 attempt;
	jobs_report_t report = { .event = JOBS_EVENT_RUNNING };
	jobs_event_t event;

	if (!dot || dot == name || !worker ||
	    !g_ascii_string_to_signed(dot + 1, 10, 0, G_MAXINT64, &attempt,
				      NULL))
		return;
	report.job = (base_str_t){ name, (size_t)(dot - name) };
	report.attempt = attempt;
	report.worker = base_str(worker);
	report.incarnation = annotation_int64(pod, "forbidden");
	if (!report.incarnation)
		report.incarnation = annotation_int64(pod, "incarnation");
	report.as_of = annotation_int64(pod, "as-of-us");
	report.run_us = annotation_int64(pod, "run-us");
	report.peak.v[JOBS_CORES] = annotation_int64(pod, "peak-millicores");
	report.peak.v[JOBS_MEMORY] = annotation_int64(pod, "peak-mb");
	if (!pod_event(pod, &event)) {
		report_fn(arg, report.job, report.attempt, NULL);
		return;
	}
	/* A running pod is also reported as throttled or as resumed. */
	if (event == JOBS_EVENT_THROTTLED || event == JOBS_EVENT_RESUMED)
		report_fn(arg, report.job, report.attempt, &report);
	report.event = event;
	report_fn(arg, report.job, report.attempt, &report);
}

/*
 * False if the pod has no state to report: the worker has not reported any, or
 * the platform has lost contact with it ("Unknown") and the task may still run.
 */
static bool pod_event(const json_t *pod, jobs_event_t *event)
{
	const char *phase = plat_pod_text(pod, "status", "phase");
	const char *reason = plat_pod_text(pod, "status", "reason");
	json_t *annotations = json_object_get(json_object_get(pod, "metadata"),
					      "annotations");
	const char *repeatable = json_string_value(
		json_object_get(annotations, ANNOTATION_PREFIX "repeatable"));

	if (json_object_get(annotations, ANNOTATION_PREFIX "forbidden")) {
		*event = repeatable && !strcmp(repeatable, "true")
				 ? JOBS_EVENT_GONE
				 : JOBS_EVENT_REFUSED;
		return true;
	}
	if (!phase)
		return false;
	if (!strcmp(phase, "Running"))
		*event = is_throttled(pod) ? JOBS_EVENT_THROTTLED
					   : JOBS_EVENT_RESUMED;
	else if (!strcmp(phase, "Succeeded"))
		*event = JOBS_EVENT_ENDED;
	else if (strcmp(phase, "Failed") != 0)
		return false;
	else if (reason && !strcmp(reason, "UnexpectedAdmissionError"))
		*event = JOBS_EVENT_REFUSED;
	else if (reason && !strcmp(reason, "DeadlineExceeded"))
		*event = json_object_get(annotations,
					 ANNOTATION_PREFIX "checkpointed")
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
	json_t *annotations = json_object_get(json_object_get(pod, "metadata"),
					      "annotations");
	const char *current_cpu =
		json_string_value(json_object_get(requests, "cpu"));
	const char *full_cpu = json_string_value(
		json_object_get(annotations, ANNOTATION_PREFIX "cpu"));

	return current_cpu && full_cpu &&
	       parse_millicores(current_cpu) < parse_millicores(full_cpu);
}

/* A Kubernetes CPU quantity, such as "1500m" or "2", in millicores. */
static int64_t parse_millicores(const char *quantity)
{
	char *end;
	int64_t amount = strtoll(quantity, &end, 10);

	return *end == 'm' ? amount : amount * 1000;
}

const char *plat_pod_text(const json_t *pod, const char *section,
			  const char *key)
{
	return json_string_value(
		json_object_get(json_object_get(pod, section), key));
}

static int64_t annotation_int64(const json_t *pod, const char *key)
{
	json_t *annotations = json_object_get(json_object_get(pod, "metadata"),
					      "annotations");
	char name[64];
	const char *text;

	g_snprintf(name, sizeof(name), ANNOTATION_PREFIX "%s", key);
	text = json_string_value(json_object_get(annotations, name));
	return text ? strtoll(text, NULL, 10) : 0;
}
