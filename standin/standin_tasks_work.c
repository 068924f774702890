#include "standin_tasks.h"

/*
 * The workers: see changes of a pod after a lag, run its task and report.
 */

#define REPORT_INTERVAL_US (2 * BASE_SEC)

static void update_pod(pod_t *pod, int64_t now);
static void start_run(pod_t *pod, int64_t now);
static void end_run(pod_t *pod, int64_t now, const char *phase,
		    const char *reason);
static void report_status(pod_t *pod, int64_t now, const char *phase,
			  const char *reason);
static void set_annotation(pod_t *pod, const char *key, int64_t value);
static int64_t get_annotation(const pod_t *pod, const char *key);
static int current_incarnation(const char *worker);
static const char *pod_image(const pod_t *pod);
static int64_t requested_cpu(const pod_t *pod);

void *tasks_run_workers(void *arg)
{
	(void)arg;
	for (;;) {
		GHashTableIter iter;
		void *value;

		pthread_mutex_lock(&tasks.lock);
		g_hash_table_iter_init(&iter, tasks.pods);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			update_pod(value, base_clock_mono());
		pthread_mutex_unlock(&tasks.lock);
		base_clock_sleep(WORKER_INTERVAL_US);
	}
	return NULL;
}

static void update_pod(pod_t *pod, int64_t now)
{
	const char *worker = tasks_get_string(pod->json, "spec", "nodeName");
	worker_mode_t mode = GPOINTER_TO_INT(
		g_hash_table_lookup(tasks.modes, worker ? worker : ""));
	bool is_stop_requested =
		json_object_get(tasks_get_object(pod->json, "spec"),
				"activeDeadlineSeconds") != NULL;

	if (pod->is_ended || now < pod->visible_at)
		return;
	if (pod->is_started &&
	    current_incarnation(worker) != get_annotation(pod, "incarnation")) {
		end_run(pod, now, "Failed", "NodeLost");
		return;
	}
	/* A silent worker receives nothing either, but its runs still end. */
	if (mode == WORKER_SILENT) {
		if (pod->is_started && now >= pod->ends_at) {
			task_run_t *run = &g_array_index(tasks.runs, task_run_t,
							 pod->run_index);

			if (!run->ended_at)
				run->ended_at = now;
		}
		return;
	}
	if (!pod->is_started) {
		if (is_stop_requested)
			end_run(pod, now, "Failed", "DeadlineExceeded");
		else if (current_incarnation(worker) !=
				 get_annotation(pod, "incarnation") ||
			 base_clock_wall() > get_annotation(pod, "start-by-us"))
			end_run(pod, now, "Failed", "UnexpectedAdmissionError");
		else
			start_run(pod, now);
		return;
	}
	pod->cpu = requested_cpu(pod);
	if (mode == WORKER_FAIL ||
	    (now >= pod->ends_at && !strncmp(pod_image(pod), "fail", 4)))
		end_run(pod, now, "Failed", "Error");
	else if (is_stop_requested)
		end_run(pod, now, "Failed", "DeadlineExceeded");
	else if (now >= pod->ends_at)
		end_run(pod, now, "Succeeded", NULL);
	else if (now - pod->reported_at >= REPORT_INTERVAL_US ||
		 pod->revision > pod->reported_revision)
		report_status(pod, now, "Running", NULL);
}

static void start_run(pod_t *pod, int64_t now)
{
	const char *dash = strrchr(pod_image(pod), '-');
	task_run_t run = { .started_at = now };

	pod->is_started = true;
	pod->started_at = now;
	pod->ends_at = now + (dash ? atoll(dash + 1) : 100) * BASE_MS;
	pod->cpu = requested_cpu(pod);
	g_strlcpy(run.name, tasks_get_string(pod->json, "metadata", "name"),
		  sizeof(run.name));
	g_strlcpy(run.worker, tasks_get_string(pod->json, "spec", "nodeName"),
		  sizeof(run.worker));
	run.incarnation = current_incarnation(run.worker);
	pod->run_index = (int)tasks.runs->len;
	g_array_append_val(tasks.runs, run);
	report_status(pod, now, "Running", NULL);
}

static void end_run(pod_t *pod, int64_t now, const char *phase,
		    const char *reason)
{
	pod->is_ended = true;
	if (pod->run_index >= 0) {
		task_run_t *run =
			&g_array_index(tasks.runs, task_run_t, pod->run_index);

		if (!run->ended_at)
			run->ended_at = now;
		g_strlcpy(run->result, reason ? reason : phase,
			  sizeof(run->result));
	}
	report_status(pod, now, phase, reason);
}

static void report_status(pod_t *pod, int64_t now, const char *phase,
			  const char *reason)
{
	json_t *status = tasks_get_object(pod->json, "status");
	char cpu[24];

	snprintf(cpu, sizeof(cpu), "%lldm", (long long)pod->cpu);
	json_object_set_new(status, "phase", json_string(phase));
	if (reason)
		json_object_set_new(status, "reason", json_string(reason));
	json_object_set_new(status, "containerStatuses",
			    json_pack("[{s:s,s:{s:{s:s}}}]", "name", "task",
				      "resources", "requests", "cpu", cpu));
	set_annotation(pod, "as-of-us", base_clock_wall());
	set_annotation(pod, "run-us",
		       pod->is_started ? now - pod->started_at : 0);
	set_annotation(pod, "peak-millicores", pod->cpu / 2);
	set_annotation(pod, "peak-mb", 100);
	pod->reported_at = now;
	tasks_mark_changed(pod);
	pod->visible_at = now;
	pod->reported_revision = pod->revision;
}

static void set_annotation(pod_t *pod, const char *key, int64_t value)
{
	json_t *annotations = tasks_get_object(
		tasks_get_object(pod->json, "metadata"), "annotations");
	char name[64], text[24];

	snprintf(name, sizeof(name), ANNOTATION_PREFIX "%s", key);
	snprintf(text, sizeof(text), "%lld", (long long)value);
	json_object_set_new(annotations, name, json_string(text));
}

static int64_t get_annotation(const pod_t *pod, const char *key)
{
	json_t *annotations = tasks_get_object(
		tasks_get_object(pod->json, "metadata"), "annotations");
	char name[64];
	const char *text;

	snprintf(name, sizeof(name), ANNOTATION_PREFIX "%s", key);
	text = json_string_value(json_object_get(annotations, name));
	return text ? atoll(text) : 0;
}

static int current_incarnation(const char *worker)
{
	standin_t *s = tasks.standin;
	int incarnation = -1;

	pthread_mutex_lock(&s->lock);
	for (int i = 0; worker && i < s->instance_count; i++)
		if (!strcmp(s->instances[i].id, worker) &&
		    !s->instances[i].is_down)
			incarnation = s->instances[i].incarnation;
	pthread_mutex_unlock(&s->lock);
	return incarnation;
}

static const char *pod_image(const pod_t *pod)
{
	json_t *containers = json_object_get(json_object_get(pod->json, "spec"),
					     "containers");
	const char *image = json_string_value(
		json_object_get(json_array_get(containers, 0), "image"));

	return image ? image : "";
}

static int64_t requested_cpu(const pod_t *pod)
{
	json_t *containers = json_object_get(json_object_get(pod->json, "spec"),
					     "containers");
	json_t *requests = json_object_get(
		json_object_get(json_array_get(containers, 0), "resources"),
		"requests");
	const char *cpu = json_string_value(json_object_get(requests, "cpu"));

	return cpu ? atoll(cpu) : 0;
}
