#include <civetweb.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "plat_int.h"

#define MESSAGE (1024 * 1024) /* bytes of one message */
#define WAIT_US (5 * BASE_SEC)

/* Below the ports that the system gives to clients. */
#define PORTS 14000

static int port;
static int messages;	 /* that the server sends at once */
static atomic_int go_on; /* and once more after these were taken */

static void send_some(struct mg_connection *conn);

static int on_connect(const struct mg_connection *conn, void *arg)
{
	(void)conn;
	(void)arg;
	return 0;
}

static void on_ready(struct mg_connection *conn, void *arg)
{
	(void)arg;
	send_some(conn);
	for (int i = 0; i < 60 * 1000 && !atomic_load(&go_on); i++)
		base_clock_sleep(BASE_MS);
	send_some(conn);
}

static void send_some(struct mg_connection *conn)
{
	char *text = g_malloc(MESSAGE);

	memset(text, 'm', MESSAGE);
	for (int i = 0; i < messages; i++)
		if (mg_websocket_write(conn, MG_WEBSOCKET_OPCODE_TEXT, text,
				       MESSAGE) <= 0)
			break;
	g_free(text);
}

static struct mg_context *serve(void)
{
	char text[32];
	const char *options[] = { "listening_ports", text, "num_threads", "2",
				  NULL };
	struct mg_context *http;

	g_snprintf(text, sizeof(text), "127.0.0.1:%d", port);
	http = mg_start(NULL, NULL, options);
	g_assert_nonnull(http);
	mg_set_websocket_handler(http, "/", on_connect, on_ready, NULL, NULL,
				 NULL);
	return http;
}

/* Take what waits, each whole. */
static int take_all(plat_ws_t *ws, int64_t wait_us)
{
	GString *message;
	int n = 0;

	while ((message = plat_ws_take(ws, wait_us))) {
		g_assert_cmpuint(message->len, ==, MESSAGE);
		g_string_free(message, TRUE);
		n++;
	}
	return n;
}

static plat_ws_t *follow(int n)
{
	const plat_address_t address = { (char *)"127.0.0.1", port, NULL };
	GError *err = NULL;
	plat_ws_t *ws;

	messages = n;
	atomic_store(&go_on, 0);
	ws = plat_ws_open(NULL, &address, "/", &err);
	g_assert_no_error(err);
	return ws;
}

/* Who does not take does not make the process grow: the stream ends. */
static void test_bounded(void)
{
	struct mg_context *http = serve();
	plat_ws_t *ws = follow(12);

	for (int i = 0; i < 60 * 1000 && !plat_ws_ended(ws); i++)
		base_clock_sleep(BASE_MS);
	g_assert_cmpint(take_all(ws, WAIT_US), ==, PLAT_WS_BYTES_MAX / MESSAGE);
	g_assert_true(plat_ws_closed(ws));
	atomic_store(&go_on, 1);
	talloc_free(ws);
	mg_stop(http);
}

/* What is taken makes room for more. */
static void test_room(void)
{
	struct mg_context *http = serve();
	plat_ws_t *ws = follow(3);
	int taken = 0;

	while (taken < 3)
		taken += take_all(ws, BASE_MS);
	atomic_store(&go_on, 1);
	while (taken < 6 && !plat_ws_closed(ws))
		taken += take_all(ws, BASE_MS);
	g_assert_cmpint(taken, ==, 6);
	g_assert_false(plat_ws_closed(ws));
	talloc_free(ws);
	mg_stop(http);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	port = PORTS + (int)(getpid() % PORTS);
	g_test_add_func("/ws/bounded", test_bounded);
	g_test_add_func("/ws/room", test_room);
	return g_test_run();
}
