#include "standin_tasks.h"

/*
 * The workers: they see a change of a pod late, run what it says and report.
 */

#define REFRESH_US (2 * BASE_SEC)

static void work_on(pod_t *pod, int64_t now);
static void begin(pod_t *pod, int64_t now);
static void end(pod_t *pod, int64_t now, const char *phase, const char *reason);
static void tell(pod_t *pod, int64_t now, const char *phase,
		 const char *reason);
static void note(pod_t *pod, const char *key, int64_t value);
static int64_t note_of(const pod_t *pod, const char *key);
static int life_of(const char *worker);
static const char *image_of(const pod_t *pod);
static int64_t asked_cpu(const pod_t *pod);

void *tasks_work(void *arg)
{
	(void)arg;
	for (;;) {
		GHashTableIter iter;
		void *value;

		pthread_mutex_lock(&tasks.lock);
		g_hash_table_iter_init(&iter, tasks.pods);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			work_on(value, base_clock_mono());
		pthread_mutex_unlock(&tasks.lock);
		base_clock_sleep(STEP_US);
	}
	return NULL;
}

static void work_on(pod_t *pod, int64_t now)
{
	const char *worker = tasks_text(pod->json, "spec", "nodeName");
	worker_mode_t mode = GPOINTER_TO_INT(
		g_hash_table_lookup(tasks.modes, worker ? worker : ""));
	bool stop = json_object_get(tasks_section(pod->json, "spec"),
				    "activeDeadlineSeconds") != NULL;

	if (pod->over || now < pod->seen_at)
		return;
	if (pod->begun && life_of(worker) != note_of(pod, "incarnation")) {
		end(pod, now, "Failed", "NodeLost");
		return;
	}
	/* A worker that is silent does not hear either; what runs ends. */
	if (mode == WORKER_SILENT) {
		if (pod->begun && now >= pod->ends_at) {
			task_run_t *run = &g_array_index(tasks.runs, task_run_t,
							 pod->run);

			if (!run->ended)
				run->ended = now;
		}
		return;
	}
	if (!pod->begun) {
		if (stop)
			end(pod, now, "Failed", "DeadlineExceeded");
		else if (life_of(worker) != note_of(pod, "incarnation") ||
			 base_clock_wall() > note_of(pod, "start-by-us"))
			end(pod, now, "Failed", "UnexpectedAdmissionError");
		else
			begin(pod, now);
		return;
	}
	pod->cpu = asked_cpu(pod);
	if (mode == WORKER_FAIL ||
	    (now >= pod->ends_at && !strncmp(image_of(pod), "fail", 4)))
		end(pod, now, "Failed", "Error");
	else if (stop)
		end(pod, now, "Failed", "DeadlineExceeded");
	else if (now >= pod->ends_at)
		end(pod, now, "Succeeded", NULL);
	else if (now - pod->told_at >= REFRESH_US || pod->revision > pod->told)
		tell(pod, now, "Running", NULL);
}

static void begin(pod_t *pod, int64_t now)
{
	const char *dash = strrchr(image_of(pod), '-');
	task_run_t run = { .began = now };

	pod->begun = true;
	pod->began_at = now;
	pod->ends_at = now + (dash ? atoll(dash + 1) : 100) * BASE_MS;
	pod->cpu = asked_cpu(pod);
	g_strlcpy(run.name, tasks_text(pod->json, "metadata", "name"),
		  sizeof(run.name));
	g_strlcpy(run.worker, tasks_text(pod->json, "spec", "nodeName"),
		  sizeof(run.worker));
	run.incarnation = life_of(run.worker);
	pod->run = (int)tasks.runs->len;
	g_array_append_val(tasks.runs, run);
	tell(pod, now, "Running", NULL);
}

static void end(pod_t *pod, int64_t now, const char *phase, const char *reason)
{
	pod->over = true;
	if (pod->run >= 0) {
		task_run_t *run =
			&g_array_index(tasks.runs, task_run_t, pod->run);

		if (!run->ended)
			run->ended = now;
		g_strlcpy(run->how, reason ? reason : phase, sizeof(run->how));
	}
	tell(pod, now, phase, reason);
}

static void tell(pod_t *pod, int64_t now, const char *phase, const char *reason)
{
	json_t *status = tasks_section(pod->json, "status");
	char cpu[24];

	snprintf(cpu, sizeof(cpu), "%lldm", (long long)pod->cpu);
	json_object_set_new(status, "phase", json_string(phase));
	if (reason)
		json_object_set_new(status, "reason", json_string(reason));
	json_object_set_new(status, "containerStatuses",
			    json_pack("[{s:s,s:{s:{s:s}}}]", "name", "task",
				      "resources", "requests", "cpu", cpu));
	note(pod, "as-of-us", base_clock_wall());
	note(pod, "run-us", pod->begun ? now - pod->began_at : 0);
	note(pod, "peak-millicores", pod->cpu / 2);
	note(pod, "peak-mb", 100);
	pod->told_at = now;
	tasks_touch(pod);
	pod->seen_at = now;
	pod->told = pod->revision;
}

static void note(pod_t *pod, const char *key, int64_t value)
{
	json_t *notes = tasks_section(tasks_section(pod->json, "metadata"),
				      "annotations");
	char name[64], text[24];

	snprintf(name, sizeof(name), NOTE "%s", key);
	snprintf(text, sizeof(text), "%lld", (long long)value);
	json_object_set_new(notes, name, json_string(text));
}

static int64_t note_of(const pod_t *pod, const char *key)
{
	json_t *notes = tasks_section(tasks_section(pod->json, "metadata"),
				      "annotations");
	char name[64];
	const char *text;

	snprintf(name, sizeof(name), NOTE "%s", key);
	text = json_string_value(json_object_get(notes, name));
	return text ? atoll(text) : 0;
}

static int life_of(const char *worker)
{
	standin_t *s = tasks.standin;
	int life = -1;

	pthread_mutex_lock(&s->lock);
	for (int i = 0; worker && i < s->instance_count; i++)
		if (!strcmp(s->instances[i].id, worker) &&
		    !s->instances[i].gone)
			life = s->instances[i].incarnation;
	pthread_mutex_unlock(&s->lock);
	return life;
}

static const char *image_of(const pod_t *pod)
{
	json_t *containers = json_object_get(json_object_get(pod->json, "spec"),
					     "containers");
	const char *image = json_string_value(
		json_object_get(json_array_get(containers, 0), "image"));

	return image ? image : "";
}

static int64_t asked_cpu(const pod_t *pod)
{
	json_t *containers = json_object_get(json_object_get(pod->json, "spec"),
					     "containers");
	json_t *requests = json_object_get(
		json_object_get(json_array_get(containers, 0), "resources"),
		"requests");
	const char *cpu = json_string_value(json_object_get(requests, "cpu"));

	return cpu ? atoll(cpu) : 0;
}
