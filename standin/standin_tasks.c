#include "standin_tasks.h"

/*
 * Workers that run tasks: the pods of core/v1 that cactusfieldd uses.  A
 * family named PREFIX-MS runs for so many milliseconds; "fail-MS" then fails.
 * The API answers at once, workers see it and report with a lag.  What really
 * began and ended is recorded apart from the pods.
 */

static int on_pods(struct mg_connection *conn, void *arg);
static int on_node(struct mg_connection *conn, void *arg);
static int create(struct mg_connection *conn);
static int change(struct mg_connection *conn, const char *name);
static int done(struct mg_connection *conn, int status);
static int list(struct mg_connection *conn);
static gint by_serial(gconstpointer a, gconstpointer b);
static void merge(json_t *to, const json_t *from);

tasks_t tasks = { .lock = PTHREAD_MUTEX_INITIALIZER,
		  .revision = 1,
		  .lag_us = 200 * BASE_MS };

void tasks_serve(struct mg_context *ctx, standin_t *s)
{
	pthread_t thread;

	tasks.standin = s;
	tasks.pods = g_hash_table_new(g_str_hash, g_str_equal);
	tasks.modes = g_hash_table_new(g_str_hash, g_str_equal);
	tasks.runs = g_array_new(FALSE, TRUE, sizeof(task_run_t));
	mg_set_request_handler(ctx, PODS_PATH, on_pods, s);
	tasks_serve_watch(ctx, s);
	mg_set_request_handler(ctx, "/api/v1/nodes", on_node, s);
	mg_set_request_handler(ctx, "/tasks/switch", tasks_on_switch, s);
	mg_set_request_handler(ctx, "/tasks/records", tasks_on_records, s);
	pthread_create(&thread, NULL, tasks_work, NULL);
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
	const char *name = tasks_text(json, "metadata", "name");
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
		json_object_set_new(tasks_section(json, "status"), "phase",
				    json_string("Pending"));
		g_hash_table_insert(tasks.pods, g_strdup(name), pod);
		tasks_touch(pod);
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
		tasks_touch(pod);
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

void tasks_touch(pod_t *pod)
{
	char version[24];

	pod->revision = ++tasks.revision;
	pod->seen_at = base_clock_mono() + tasks.lag_us;
	snprintf(version, sizeof(version), "%lld", (long long)pod->revision);
	json_object_set_new(tasks_section(pod->json, "metadata"),
			    "resourceVersion", json_string(version));
}

json_t *tasks_section(json_t *json, const char *key)
{
	json_t *object = json_object_get(json, key);

	if (!object) {
		object = json_object();
		json_object_set_new(json, key, object);
	}
	return object;
}

const char *tasks_text(const json_t *json, const char *part, const char *key)
{
	return json_string_value(
		json_object_get(json_object_get(json, part), key));
}
