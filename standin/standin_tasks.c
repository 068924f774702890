#include <stdatomic.h>
#include <stdlib.h>

#include "standin_int.h"

/*
 * Workers that run tasks: the pods of core/v1 that cactusfieldd uses.  A
 * family named PREFIX-MS runs for so many milliseconds; "fail-MS" then fails.
 * The API answers at once, workers see it and report with a lag.  What really
 * began and ended is recorded apart from the pods.
 */

#define PODS_PATH "/api/v1/namespaces/jobs/pods"
#define NOTE "cactusfield/"
#define STEP_US (20 * BASE_MS)
#define REFRESH_US (2 * BASE_SEC)

typedef enum worker_mode {
	WORKER_OK,
	WORKER_SILENT, /* runs on and says nothing */
	WORKER_FAIL,   /* every task */
} worker_mode_t;

typedef struct pod {
	json_t *json;	/* as the API shows it */
	int64_t serial; /* by creation */
	int64_t revision;
	int64_t seen_at; /* when its worker sees the last change */
	bool begun, over;
	int64_t began_at, ends_at, told_at;
	int64_t told; /* revision */
	int64_t cpu;  /* thousandths, as its worker runs it */
	int run;
} pod_t;

typedef struct task_run {
	char name[ID_MAX * 2];
	char worker[ID_MAX];
	int incarnation;
	int64_t began, ended; /* 0: still runs */
	char how[16];
} task_run_t;

static struct {
	pthread_mutex_t lock;
	GHashTable *pods;  /* name to pod_t */
	GHashTable *modes; /* worker to mode */
	GArray *runs;
	int64_t revision;
	int64_t serial; /* of the last pod */
	int64_t lag_us;
	int lose;  /* answers to writes still to be lost */
	bool down; /* writes are lost before they take effect */
	standin_t *standin;
} tasks = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .revision = 1,
	    .lag_us = 200 * BASE_MS };

static int on_pods(struct mg_connection *conn, void *arg);
static int on_node(struct mg_connection *conn, void *arg);
static int on_switch(struct mg_connection *conn, void *arg);
static int on_records(struct mg_connection *conn, void *arg);
static int create(struct mg_connection *conn);
static int change(struct mg_connection *conn, const char *name);
static int list(struct mg_connection *conn);
static gint by_serial(gconstpointer a, gconstpointer b);
static int watch_asked(const struct mg_connection *conn, void *arg);
static void watch_begins(struct mg_connection *conn, void *arg);
static int watch_heard(struct mg_connection *conn, int bits, char *data,
		       size_t len, void *arg);
static void watch_ends(const struct mg_connection *conn, void *arg);
static void *watch(void *arg);
static int done(struct mg_connection *conn, int status);
static void merge(json_t *to, const json_t *from);
static void *work(void *arg);
static void work_on(pod_t *pod, int64_t now);
static void begin(pod_t *pod, int64_t now);
static void end(pod_t *pod, int64_t now, const char *phase, const char *reason);
static void tell(pod_t *pod, int64_t now, const char *phase,
		 const char *reason);
static void note(pod_t *pod, const char *key, int64_t value);
static int64_t note_of(const pod_t *pod, const char *key);
static void touch(pod_t *pod);
static json_t *section(json_t *json, const char *key);
static const char *text_in(const json_t *json, const char *part,
			   const char *key);
static int life_of(const char *worker);
static const char *image_of(const pod_t *pod);
static int64_t asked_cpu(const pod_t *pod);

void tasks_serve(struct mg_context *ctx, standin_t *s)
{
	pthread_t thread;

	tasks.standin = s;
	tasks.pods = g_hash_table_new(g_str_hash, g_str_equal);
	tasks.modes = g_hash_table_new(g_str_hash, g_str_equal);
	tasks.runs = g_array_new(FALSE, TRUE, sizeof(task_run_t));
	mg_set_request_handler(ctx, PODS_PATH, on_pods, s);
	mg_set_websocket_handler(ctx, PODS_PATH, watch_asked, watch_begins,
				 watch_heard, watch_ends, s);
	mg_set_request_handler(ctx, "/api/v1/nodes", on_node, s);
	mg_set_request_handler(ctx, "/tasks/switch", on_switch, s);
	mg_set_request_handler(ctx, "/tasks/records", on_records, s);
	pthread_create(&thread, NULL, work, NULL);
	pthread_detach(thread);
}

static int on_pods(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *below = info->local_uri + strlen(PODS_PATH);
	char *name;
	int status;
	bool down;

	pthread_mutex_lock(&tasks.lock);
	down = tasks.down && strcmp(info->request_method, "GET") != 0;
	pthread_mutex_unlock(&tasks.lock);
	if (zone_is_cut(arg, conn) || down)
		return answer_nothing(conn);
	if (!strcmp(info->request_method, "POST"))
		return create(conn);
	if (*below == '/') {
		name = g_strndup(below + 1, strcspn(below + 1, "/"));
		status = change(conn, name);
		g_free(name);
		return status;
	}
	return list(conn);
}

static int create(struct mg_connection *conn)
{
	char *body = read_body(conn);
	json_t *json = body ? json_loads(body, 0, NULL) : NULL;
	const char *name = text_in(json, "metadata", "name");
	int status = 400;
	pod_t *pod;

	talloc_free(body);
	pthread_mutex_lock(&tasks.lock);
	if (name && g_hash_table_contains(tasks.pods, name)) {
		status = 409;
		json_decref(json);
	} else if (name) {
		status = 201;
		pod = g_new0(pod_t, 1);
		pod->json = json;
		pod->serial = ++tasks.serial;
		pod->run = -1;
		json_object_set_new(section(json, "status"), "phase",
				    json_string("Pending"));
		g_hash_table_insert(tasks.pods, g_strdup(name), pod);
		touch(pod);
	}
	pthread_mutex_unlock(&tasks.lock);
	return done(conn, status);
}

/* PATCH of a pod or of its size, DELETE, GET. */
static int change(struct mg_connection *conn, const char *name)
{
	const char *method = mg_get_request_info(conn)->request_method;
	char *body = read_body(conn);
	json_t *patch = body ? json_loads(body, 0, NULL) : NULL;
	pod_t *pod;

	talloc_free(body);
	pthread_mutex_lock(&tasks.lock);
	pod = g_hash_table_lookup(tasks.pods, name);
	if (pod && !strcmp(method, "DELETE")) {
		g_hash_table_remove(tasks.pods, name);
	} else if (pod && !strcmp(method, "PATCH")) {
		merge(pod->json, patch);
		touch(pod);
	}
	pthread_mutex_unlock(&tasks.lock);
	json_decref(patch);
	return done(conn, pod ? 200 : 404);
}

/* The kubelet's checkpoint call, through the API server. */
static int on_node(struct mg_connection *conn, void *arg)
{
	(void)arg;
	talloc_free(read_body(conn));
	return done(conn, 200);
}

/* Answer, unless the answer is to be lost. */
static int done(struct mg_connection *conn, int status)
{
	bool lost;

	pthread_mutex_lock(&tasks.lock);
	lost = tasks.lose > 0 && status < 300;
	if (lost)
		tasks.lose--;
	pthread_mutex_unlock(&tasks.lock);
	return lost ? answer_nothing(conn)
		    : answer_json(conn, status, json_object());
}

/* In the order of creation; the token is the last one's serial. */
static int list(struct mg_connection *conn)
{
	json_t *items = json_array(), *meta;
	GPtrArray *rest = g_ptr_array_new();
	GHashTableIter iter;
	char version[24], number[24];
	int64_t after;
	guint limit;
	void *value;

	param(conn, "continue", number, sizeof(number));
	after = atoll(number);
	param(conn, "limit", number, sizeof(number));
	limit = number[0] ? (guint)atoi(number) : G_MAXUINT;
	pthread_mutex_lock(&tasks.lock);
	g_hash_table_iter_init(&iter, tasks.pods);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((pod_t *)value)->serial > after)
			g_ptr_array_add(rest, value);
	g_ptr_array_sort(rest, by_serial);
	for (guint i = 0; i < rest->len && i < limit; i++) {
		const pod_t *pod = rest->pdata[i];

		json_array_append_new(items, json_deep_copy(pod->json));
		after = pod->serial;
	}
	snprintf(version, sizeof(version), "%lld", (long long)tasks.revision);
	snprintf(number, sizeof(number), "%lld", (long long)after);
	pthread_mutex_unlock(&tasks.lock);
	meta = json_pack("{s:s}", "resourceVersion", version);
	if (rest->len > limit)
		json_object_set_new(meta, "continue", json_string(number));
	g_ptr_array_free(rest, TRUE);
	return answer_json(conn, 200,
			   json_pack("{s:s,s:o,s:o}", "kind", "PodList",
				     "metadata", meta, "items", items));
}

static gint by_serial(gconstpointer a, gconstpointer b)
{
	int64_t x = (*(pod_t *const *)a)->serial;
	int64_t y = (*(pod_t *const *)b)->serial;

	return x < y ? -1 : x > y;
}

/* A watch over a websocket: a message an event, from a thread of its own. */
typedef struct watcher {
	struct mg_connection *conn;
	pthread_t thread;
	int64_t since, until;
	atomic_int stop;
} watcher_t;

static int watch_asked(const struct mg_connection *conn, void *arg)
{
	return zone_is_cut(arg, (struct mg_connection *)conn);
}

static void watch_begins(struct mg_connection *conn, void *arg)
{
	watcher_t *watcher = g_new0(watcher_t, 1);
	char text[32];

	(void)arg;
	watcher->conn = conn;
	param(conn, "resourceVersion", text, sizeof(text));
	watcher->since = atoll(text);
	param(conn, "timeoutSeconds", text, sizeof(text));
	watcher->until = base_clock_mono() + atoll(text) * BASE_SEC;
	mg_set_user_connection_data(conn, watcher);
	pthread_create(&watcher->thread, NULL, watch, watcher);
}

static int watch_heard(struct mg_connection *conn, int bits, char *data,
		       size_t len, void *arg)
{
	(void)conn;
	(void)data;
	(void)len;
	(void)arg;
	return (bits & 0x0f) != MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE;
}

static void watch_ends(const struct mg_connection *conn, void *arg)
{
	watcher_t *watcher = mg_get_user_connection_data(conn);

	(void)arg;
	if (!watcher)
		return;
	atomic_store(&watcher->stop, 1);
	pthread_join(watcher->thread, NULL);
	g_free(watcher);
}

static void *watch(void *arg)
{
	watcher_t *watcher = arg;
	int64_t since = watcher->since;

	while (!atomic_load(&watcher->stop) &&
	       base_clock_mono() < watcher->until) {
		GPtrArray *events = g_ptr_array_new_with_free_func(free);
		GHashTableIter iter;
		int64_t newest = since;
		void *value;

		pthread_mutex_lock(&tasks.lock);
		g_hash_table_iter_init(&iter, tasks.pods);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			pod_t *pod = value;
			json_t *event;

			if (pod->revision <= since)
				continue;
			event = json_pack("{s:s,s:O}", "type", "MODIFIED",
					  "object", pod->json);
			g_ptr_array_add(events,
					json_dumps(event, JSON_COMPACT));
			json_decref(event);
			newest = MAX(newest, pod->revision);
		}
		pthread_mutex_unlock(&tasks.lock);
		for (guint i = 0; i < events->len; i++)
			mg_websocket_write(
				watcher->conn, MG_WEBSOCKET_OPCODE_TEXT,
				events->pdata[i], strlen(events->pdata[i]));
		g_ptr_array_free(events, TRUE);
		since = newest;
		base_clock_sleep(STEP_US);
	}
	if (!atomic_load(&watcher->stop))
		mg_websocket_write(watcher->conn,
				   MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE, NULL,
				   0);
	return NULL;
}

/* RFC 7396; lists are merged item by item, as by position. */
static void merge(json_t *to, const json_t *from)
{
	const char *key;
	json_t *value, *item, *old;
	size_t i;

	json_object_foreach((json_t *)from, key, value)
	{
		old = json_object_get(to, key);
		if (json_is_object(value) && json_is_object(old)) {
			merge(old, value);
		} else if (json_is_array(value) && json_is_array(old)) {
			json_array_foreach(value, i, item)
				merge(json_array_get(old, i), item);
		} else {
			json_object_set(to, key, value);
		}
	}
}

static void *work(void *arg)
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
	const char *worker = text_in(pod->json, "spec", "nodeName");
	worker_mode_t mode = GPOINTER_TO_INT(
		g_hash_table_lookup(tasks.modes, worker ? worker : ""));
	bool stop = json_object_get(section(pod->json, "spec"),
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
	g_strlcpy(run.name, text_in(pod->json, "metadata", "name"),
		  sizeof(run.name));
	g_strlcpy(run.worker, text_in(pod->json, "spec", "nodeName"),
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
	json_t *status = section(pod->json, "status");
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
	touch(pod);
	pod->seen_at = now;
	pod->told = pod->revision;
}

/* A change that others see at once and the worker after the lag. */
static void touch(pod_t *pod)
{
	char version[24];

	pod->revision = ++tasks.revision;
	pod->seen_at = base_clock_mono() + tasks.lag_us;
	snprintf(version, sizeof(version), "%lld", (long long)pod->revision);
	json_object_set_new(section(pod->json, "metadata"), "resourceVersion",
			    json_string(version));
}

static void note(pod_t *pod, const char *key, int64_t value)
{
	json_t *notes = section(section(pod->json, "metadata"), "annotations");
	char name[64], text[24];

	snprintf(name, sizeof(name), NOTE "%s", key);
	snprintf(text, sizeof(text), "%lld", (long long)value);
	json_object_set_new(notes, name, json_string(text));
}

static int64_t note_of(const pod_t *pod, const char *key)
{
	json_t *notes = section(section(pod->json, "metadata"), "annotations");
	char name[64];
	const char *text;

	snprintf(name, sizeof(name), NOTE "%s", key);
	text = json_string_value(json_object_get(notes, name));
	return text ? atoll(text) : 0;
}

/* The object below "key", made if it is not there. */
static json_t *section(json_t *json, const char *key)
{
	json_t *object = json_object_get(json, key);

	if (!object) {
		object = json_object();
		json_object_set_new(json, key, object);
	}
	return object;
}

static const char *text_in(const json_t *json, const char *part,
			   const char *key)
{
	return json_string_value(
		json_object_get(json_object_get(json, part), key));
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

/* /tasks/switch?worker=ID&mode=ok|silent|fail, ?lag_ms=N, ?lose=N, ?down=1 */
static int on_switch(struct mg_connection *conn, void *arg)
{
	char worker[ID_MAX], mode[16], number[16];
	worker_mode_t to = WORKER_OK;

	(void)arg;
	param(conn, "worker", worker, sizeof(worker));
	param(conn, "mode", mode, sizeof(mode));
	if (!strcmp(mode, "silent"))
		to = WORKER_SILENT;
	else if (!strcmp(mode, "fail"))
		to = WORKER_FAIL;
	pthread_mutex_lock(&tasks.lock);
	if (worker[0])
		g_hash_table_replace(tasks.modes, g_strdup(worker),
				     GINT_TO_POINTER(to));
	param(conn, "lag_ms", number, sizeof(number));
	if (number[0])
		tasks.lag_us = atoll(number) * BASE_MS;
	param(conn, "lose", number, sizeof(number));
	if (number[0])
		tasks.lose = atoi(number);
	param(conn, "down", number, sizeof(number));
	if (number[0])
		tasks.down = number[0] == '1';
	pthread_mutex_unlock(&tasks.lock);
	return answer_json(conn, 200, json_pack("{s:b}", "done", 1));
}

static int on_records(struct mg_connection *conn, void *arg)
{
	json_t *runs = json_array();

	(void)arg;
	pthread_mutex_lock(&tasks.lock);
	for (guint i = 0; i < tasks.runs->len; i++) {
		const task_run_t *run =
			&g_array_index(tasks.runs, task_run_t, i);

		json_array_append_new(
			runs,
			json_pack("{s:s,s:s,s:i,s:I,s:I,s:s}", "task",
				  run->name, "worker", run->worker,
				  "incarnation", run->incarnation, "began",
				  (json_int_t)run->began, "ended",
				  (json_int_t)run->ended, "how", run->how));
	}
	pthread_mutex_unlock(&tasks.lock);
	return answer_json(conn, 200, json_pack("{s:o}", "runs", runs));
}
