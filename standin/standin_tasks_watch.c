#include "standin_tasks.h"

/*
 * A watch over a websocket: each has a thread and sends one message per event.
 */

typedef struct watcher {
	struct mg_connection *conn;
	pthread_t thread;
	int64_t since, ends_at;
	atomic_int stop;
} watcher_t;

static int on_watch_connect(const struct mg_connection *conn, void *arg);
static void on_watch_ready(struct mg_connection *conn, void *arg);
static int on_watch_data(struct mg_connection *conn, int bits, char *data,
			 size_t len, void *arg);
static void on_watch_close(const struct mg_connection *conn, void *arg);
static void *send_events(void *arg);

void tasks_serve_watch(struct mg_context *ctx, standin_t *s)
{
	mg_set_websocket_handler(ctx, PODS_PATH, on_watch_connect,
				 on_watch_ready, on_watch_data, on_watch_close,
				 s);
}

static int on_watch_connect(const struct mg_connection *conn, void *arg)
{
	return zone_is_isolated(arg, (struct mg_connection *)conn);
}

static void on_watch_ready(struct mg_connection *conn, void *arg)
{
	watcher_t *watcher = g_new0(watcher_t, 1);
	char text[32];

	(void)arg;
	watcher->conn = conn;
	query_param(conn, "resourceVersion", text, sizeof(text));
	watcher->since = atoll(text);
	query_param(conn, "timeoutSeconds", text, sizeof(text));
	watcher->ends_at = base_clock_mono() + atoll(text) * BASE_SEC;
	mg_set_user_connection_data(conn, watcher);
	pthread_create(&watcher->thread, NULL, send_events, watcher);
}

static int on_watch_data(struct mg_connection *conn, int bits, char *data,
			 size_t len, void *arg)
{
	(void)conn;
	(void)data;
	(void)len;
	(void)arg;
	return (bits & 0x0f) != MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE;
}

static void on_watch_close(const struct mg_connection *conn, void *arg)
{
	watcher_t *watcher = mg_get_user_connection_data(conn);

	(void)arg;
	if (!watcher)
		return;
	atomic_store(&watcher->stop, 1);
	pthread_join(watcher->thread, NULL);
	g_free(watcher);
}

static void *send_events(void *arg)
{
	watcher_t *watcher = arg;
	int64_t since = watcher->since;

	while (!atomic_load(&watcher->stop) &&
	       base_clock_mono() < watcher->ends_at) {
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
		base_clock_sleep(WORKER_INTERVAL_US);
	}
	if (!atomic_load(&watcher->stop))
		mg_websocket_write(watcher->conn,
				   MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE, NULL,
				   0);
	return NULL;
}
