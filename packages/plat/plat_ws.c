#include "plat_int.h"

/*
 * A websocket client, RFC 6455.  Civetweb's own thread reads frames; whole
 * messages wait in a queue for the one who takes them.
 */

#define FIN 0x80
#define OPCODE 0x0f
#define ERROR_TEXT_MAX 160 /* bytes */

struct plat_ws {
	struct mg_connection *conn;
	pthread_mutex_t lock; /* of everything below */
	pthread_cond_t changed;
	GQueue messages; /* GString */
	GString *part;	 /* of a message whose end is missing */
	size_t bytes;	 /* of all these */
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
	char text[ERROR_TEXT_MAX] = "";

	pthread_mutex_init(&ws->lock, NULL);
	pthread_cond_init(&ws->changed, NULL);
	ws->part = g_string_new("");
	talloc_set_destructor(ws, free_ws);
	ws->conn = mg_connect_websocket_client(address->host, address->port, 0,
					       text, sizeof(text), path, NULL,
					       on_data, on_close, ws);
	if (ws->conn)
		return ws;
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_DOWN,
		    "no stream from %s:%d: %s", address->host, address->port,
		    text);
	talloc_free(ws);
	return NULL;
}

GString *plat_ws_take(plat_ws_t *ws, int64_t wait_us)
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
		ws->bytes -= message->len;
	pthread_mutex_unlock(&ws->lock);
	return message;
}

bool plat_ws_ended(plat_ws_t *ws)
{
	bool ended;

	pthread_mutex_lock(&ws->lock);
	ended = ws->closed;
	pthread_mutex_unlock(&ws->lock);
	return ended;
}

bool plat_ws_closed(plat_ws_t *ws)
{
	bool closed;

	pthread_mutex_lock(&ws->lock);
	closed = ws->closed && g_queue_is_empty(&ws->messages);
	pthread_mutex_unlock(&ws->lock);
	return closed;
}

/* Closing joins civetweb's thread. */
static int free_ws(plat_ws_t *ws)
{
	if (ws->conn)
		mg_close_connection(ws->conn);
	g_queue_clear_full(&ws->messages, free_message);
	g_string_free(ws->part, TRUE);
	pthread_cond_destroy(&ws->changed);
	pthread_mutex_destroy(&ws->lock);
	return 0;
}

static int on_data(struct mg_connection *conn, int bits, char *data, size_t len,
		   void *arg)
{
	int opcode = bits & OPCODE;
	plat_ws_t *ws = arg;
	bool room;

	(void)conn;
	if (opcode > MG_WEBSOCKET_OPCODE_BINARY)
		return opcode != MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE;
	pthread_mutex_lock(&ws->lock);
	room = len <= PLAT_WS_BYTES_MAX - ws->bytes;
	if (room) {
		g_string_append_len(ws->part, data, (gssize)len);
		ws->bytes += len;
	}
	if (room && bits & FIN) {
		g_queue_push_tail(&ws->messages, ws->part);
		ws->part = g_string_new("");
		pthread_cond_signal(&ws->changed);
	}
	pthread_mutex_unlock(&ws->lock);
	return room;
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
