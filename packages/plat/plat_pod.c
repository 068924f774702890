#include <stdlib.h>

#include "plat_pods_int.h"

/*
 * What a pod says of its task.
 */

static bool event_of(const json_t *pod, jobs_event_t *event);
static bool is_throttled(const json_t *pod);
static int64_t milli_of(const char *quantity);
static int64_t note_of(const json_t *pod, const char *key);

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
	report.incarnation = note_of(pod, "forbidden");
	if (!report.incarnation)
		report.incarnation = note_of(pod, "incarnation");
	report.as_of = note_of(pod, "as-of-us");
	report.run_us = note_of(pod, "run-us");
	report.peak.v[JOBS_CORES] = note_of(pod, "peak-millicores");
	report.peak.v[JOBS_MEMORY] = note_of(pod, "peak-mb");
	if (!event_of(pod, &event)) {
		report_fn(arg, report.job, report.attempt, NULL);
		return;
	}
	/* A running one says that too, besides whether it is throttled. */
	if (event == JOBS_EVENT_THROTTLED || event == JOBS_EVENT_RESUMED)
		report_fn(arg, report.job, report.attempt, &report);
	report.event = event;
	report_fn(arg, report.job, report.attempt, &report);
}

/*
 * False while the worker has said nothing, or is not heard ("Unknown"): its
 * task may still run.
 */
static bool event_of(const json_t *pod, jobs_event_t *event)
{
	const char *phase = plat_pod_text(pod, "status", "phase");
	const char *reason = plat_pod_text(pod, "status", "reason");
	json_t *notes = json_object_get(json_object_get(pod, "metadata"),
					"annotations");
	const char *again =
		json_string_value(json_object_get(notes, NOTE "repeatable"));

	if (json_object_get(notes, NOTE "forbidden")) {
		*event = again && !strcmp(again, "true") ? JOBS_EVENT_GONE
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

const char *plat_pod_text(const json_t *pod, const char *section,
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
