#include "plat_int.h"

/*
 * Websocket client, RFC 6455.  A thread of civetweb reads frames and queues
 * complete messages for plat_ws_receive().
 */

#define FIN_BIT 0x80
#define OPCODE_MASK 0x0f
#define ERROR_TEXT_MAX 160 /* bytes */

struct plat_ws {
	struct mg_connection *conn;
	pthread_mutex_t lock; /* guards everything below */
	pthread_cond_t changed;
	GQueue messages;     /* GString */
	GString *partial;    /* frames of an incomplete message */
	size_t queued_bytes; /* in messages and partial */
	bool closed;
};

static int free_ws(plat_ws_t *ws);
static int on_data(struct mg_connection *conn, int bits, char *data, size_t len,
		   void *arg);
static void on_close(const struct mg_connection *conn, void *arg);
static void free_message(void *message);

plat_ws_t *plat_ws_open(const void *ctx, const plat_address_t *address,
			const char *path, GError **err)
{
	plat_ws_t *ws = talloc_zero(ctx, plat_ws_t);
	char error_text[ERROR_TEXT_MAX] = "";

	pthread_mutex_init(&ws->lock, NULL);
	pthread_cond_init(&ws->changed, NULL);
	ws->partial = g_string_new("");
	talloc_set_destructor(ws, free_ws);
	ws->conn = mg_connect_websocket_client(
		address->host, address->port, 0, error_text, sizeof(error_text),
		path, NULL, on_data, on_close, ws);
	if (ws->conn)
		return ws;
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE,
		    "cannot open websocket to %s:%d: %s", address->host,
		    address->port, error_text);
	talloc_free(ws);
	return NULL;
}

GString *plat_ws_receive(plat_ws_t *ws, int64_t wait_us)
{
	int64_t until = base_clock_wall() + wait_us;
	struct timespec wake = { until / BASE_SEC, until % BASE_SEC * 1000 };
	GString *message;

	pthread_mutex_lock(&ws->lock);
	while (g_queue_is_empty(&ws->messages) && !ws->closed &&
	       !pthread_cond_timedwait(&ws->changed, &ws->lock, &wake))
		continue;
	message = g_queue_pop_head(&ws->messages);
	if (message)
		ws->queued_bytes -= message->len;
	pthread_mutex_unlock(&ws->lock);
	return message;
}

bool plat_ws_is_closed(plat_ws_t *ws)
{
	bool is_closed;

	pthread_mutex_lock(&ws->lock);
	is_closed = ws->closed;
	pthread_mutex_unlock(&ws->lock);
	return is_closed;
}

bool plat_ws_is_drained(plat_ws_t *ws)
{
	bool is_drained;

	pthread_mutex_lock(&ws->lock);
	is_drained = ws->closed && g_queue_is_empty(&ws->messages);
	pthread_mutex_unlock(&ws->lock);
	return is_drained;
}

/* mg_close_connection() joins civetweb's thread, so no callback runs after. */
static int free_ws(plat_ws_t *ws)
{
	if (ws->conn)
		mg_close_connection(ws->conn);
	g_queue_clear_full(&ws->messages, free_message);
	g_string_free(ws->partial, TRUE);
	pthread_cond_destroy(&ws->changed);
	pthread_mutex_destroy(&ws->lock);
	return 0;
}

static int on_data(struct mg_connection *conn, int bits, char *data, size_t len,
		   void *arg)
{
	int opcode = bits & OPCODE_MASK;
	plat_ws_t *ws = arg;
	bool fits;

	(void)conn;
	if (opcode > MG_WEBSOCKET_OPCODE_BINARY)
		return opcode != MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE;
	pthread_mutex_lock(&ws->lock);
	fits = len <= PLAT_WS_QUEUE_MAX - ws->queued_bytes;
	if (fits) {
		g_string_append_len(ws->partial, data, (gssize)len);
		ws->queued_bytes += len;
	}
	if (fits && bits & FIN_BIT) {
		g_queue_push_tail(&ws->messages, ws->partial);
		ws->partial = g_string_new("");
		pthread_cond_signal(&ws->changed);
	}
	pthread_mutex_unlock(&ws->lock);
	return fits;
}

static void on_close(const struct mg_connection *conn, void *arg)
{
	plat_ws_t *ws = arg;

	(void)conn;
	pthread_mutex_lock(&ws->lock);
	ws->closed = true;
	pthread_cond_signal(&ws->changed);
	pthread_mutex_unlock(&ws->lock);
}

static void free_message(void *message)
{
	g_string_free(message, TRUE);
}
