#include "standin_tasks.h"

/*
 * The subset of the core/v1 pod API that cactusfieldd uses, with workers that
 * run tasks.  A family named PREFIX-MS runs for MS milliseconds; "fail-MS" then
 * fails.  The API answers at once; workers see changes and report after a lag.
 * Actual starts and ends are recorded apart from the pods.
 */

static int on_pods(struct mg_connection *conn, void *arg);
static int on_node(struct mg_connection *conn, void *arg);
static int create_pod(struct mg_connection *conn);
static int change_pod(struct mg_connection *conn, const char *name);
static int reply_to_write(struct mg_connection *conn, int status);
static int list_pods(struct mg_connection *conn);
static gint compare_serials(gconstpointer a, gconstpointer b);
static void merge_patch(json_t *to, const json_t *from);

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
	pthread_create(&thread, NULL, tasks_run_workers, NULL);
	pthread_detach(thread);
}

static int on_pods(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *subpath = info->local_uri + strlen(PODS_PATH);
	char *name;
	int status;
	bool is_down;

	pthread_mutex_lock(&tasks.lock);
	is_down = tasks.is_down && strcmp(info->request_method, "GET") != 0;
	pthread_mutex_unlock(&tasks.lock);
	if (zone_is_isolated(arg, conn) || is_down)
		return close_unanswered(conn);
	if (!strcmp(info->request_method, "POST"))
		return create_pod(conn);
	if (*subpath == '/') {
		name = g_strndup(subpath + 1, strcspn(subpath + 1, "/"));
		status = change_pod(conn, name);
		g_free(name);
		return status;
	}
	return list_pods(conn);
}

static int create_pod(struct mg_connection *conn)
{
	char *body = read_body(conn);
	json_t *json = body ? json_loads(body, 0, NULL) : NULL;
	const char *name = tasks_get_string(json, "metadata", "name");
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
		pod->run_index = -1;
		json_object_set_new(tasks_get_object(json, "status"), "phase",
				    json_string("Pending"));
		g_hash_table_insert(tasks.pods, g_strdup(name), pod);
		tasks_mark_changed(pod);
	}
	pthread_mutex_unlock(&tasks.lock);
	return reply_to_write(conn, status);
}

/* Serves GET, DELETE and PATCH of a pod, and PATCH of its size. */
static int change_pod(struct mg_connection *conn, const char *name)
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
		merge_patch(pod->json, patch);
		tasks_mark_changed(pod);
	}
	pthread_mutex_unlock(&tasks.lock);
	json_decref(patch);
	return reply_to_write(conn, pod ? 200 : 404);
}

/* Answers the kubelet's checkpoint call made through the API server. */
static int on_node(struct mg_connection *conn, void *arg)
{
	(void)arg;
	talloc_free(read_body(conn));
	return reply_to_write(conn, 200);
}

/* Replies, unless the answer is to be dropped. */
static int reply_to_write(struct mg_connection *conn, int status)
{
	bool is_dropped;

	pthread_mutex_lock(&tasks.lock);
	is_dropped = tasks.answers_to_drop > 0 && status < 300;
	if (is_dropped)
		tasks.answers_to_drop--;
	pthread_mutex_unlock(&tasks.lock);
	return is_dropped ? close_unanswered(conn)
			  : reply_json(conn, status, json_object());
}

/* Lists pods in order of creation; the token is the serial of the last one. */
static int list_pods(struct mg_connection *conn)
{
	json_t *items = json_array(), *meta;
	GPtrArray *rest = g_ptr_array_new();
	GHashTableIter iter;
	char version[24], number[24];
	int64_t after;
	guint limit;
	void *value;

	query_param(conn, "continue", number, sizeof(number));
	after = atoll(number);
	query_param(conn, "limit", number, sizeof(number));
	limit = number[0] ? (guint)atoi(number) : G_MAXUINT;
	pthread_mutex_lock(&tasks.lock);
	g_hash_table_iter_init(&iter, tasks.pods);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((pod_t *)value)->serial > after)
			g_ptr_array_add(rest, value);
	g_ptr_array_sort(rest, compare_serials);
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
	return reply_json(conn, 200,
			  json_pack("{s:s,s:o,s:o}", "kind", "PodList",
				    "metadata", meta, "items", items));
}

static gint compare_serials(gconstpointer a, gconstpointer b)
{
	int64_t x = (*(pod_t *const *)a)->serial;
	int64_t y = (*(pod_t *const *)b)->serial;

	return x < y ? -1 : x > y;
}

/* JSON merge patch (RFC 7396), but merges arrays item by item by position. */
static void merge_patch(json_t *to, const json_t *from)
{
	const char *key;
	json_t *value, *item, *old;
	size_t i;

	json_object_foreach((json_t *)from, key, value)
	{
		old = json_object_get(to, key);
		if (json_is_object(value) && json_is_object(old)) {
			merge_patch(old, value);
		} else if (json_is_array(value) && json_is_array(old)) {
			json_array_foreach(value, i, item)
				merge_patch(json_array_get(old, i), item);
		} else {
			json_object_set(to, key, value);
		}
	}
}

void tasks_mark_changed(pod_t *pod)
{
	char version[24];

	pod->revision = ++tasks.revision;
	pod->visible_at = base_clock_mono() + tasks.lag_us;
	snprintf(version, sizeof(version), "%lld", (long long)pod->revision);
	json_object_set_new(tasks_get_object(pod->json, "metadata"),
			    "resourceVersion", json_string(version));
}

json_t *tasks_get_object(json_t *json, const char *key)
{
	json_t *object = json_object_get(json, key);

	if (!object) {
		object = json_object();
		json_object_set_new(json, key, object);
	}
	return object;
}

const char *tasks_get_string(const json_t *json, const char *part,
			     const char *key)
{
	return json_string_value(
		json_object_get(json_object_get(json, part), key));
}
