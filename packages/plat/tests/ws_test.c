#include <civetweb.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include "plat_int.h"

#define MESSAGE_BYTES (1024 * 1024)
#define WAIT_US (5 * BASE_SEC)

/* PORT_BASE to 2 * PORT_BASE - 1 lie below the range of ephemeral ports. */
#define PORT_BASE 14000

static int port;
static int burst_size; /* messages that the server sends at once */
static atomic_int send_second_burst;

static void send_burst(struct mg_connection *conn);

static int on_connect(const struct mg_connection *conn, void *arg)
{
	(void)conn;
	(void)arg;
	return 0;
}

static void send_bursts(struct mg_connection *conn, void *arg)
{
	(void)arg;
	send_burst(conn);
	for (int i = 0; i < 60 * 1000 && !atomic_load(&send_second_burst); i++)
		base_clock_sleep(BASE_MS);
	send_burst(conn);
}

static void send_burst(struct mg_connection *conn)
{
	char *text = g_malloc(MESSAGE_BYTES);

	memset(text, 'm', MESSAGE_BYTES);
	for (int i = 0; i < burst_size; i++)
		if (mg_websocket_write(conn, MG_WEBSOCKET_OPCODE_TEXT, text,
				       MESSAGE_BYTES) <= 0)
			break;
	g_free(text);
}

static struct mg_context *start_server(void)
{
	char text[32];
	const char *options[] = { "listening_ports", text, "num_threads", "2",
				  NULL };
	struct mg_context *http;

	g_snprintf(text, sizeof(text), "127.0.0.1:%d", port);
	http = mg_start(NULL, NULL, options);
	g_assert_nonnull(http);
	mg_set_websocket_handler(http, "/", on_connect, send_bursts, NULL, NULL,
				 NULL);
	return http;
}

/* Receives all queued messages and checks their length; returns the number. */
static int receive_all(plat_ws_t *ws, int64_t wait_us)
{
	GString *message;
	int n = 0;

	while ((message = plat_ws_receive(ws, wait_us))) {
		g_assert_cmpuint(message->len, ==, MESSAGE_BYTES);
		g_string_free(message, TRUE);
		n++;
	}
	return n;
}

static plat_ws_t *open_stream(int n)
{
	const plat_address_t address = { (char *)"127.0.0.1", port, NULL };
	GError *err = NULL;
	plat_ws_t *ws;

	burst_size = n;
	atomic_store(&send_second_burst, 0);
	ws = plat_ws_open(NULL, &address, "/", &err);
	g_assert_no_error(err);
	return ws;
}

/*
 * The queue is bounded: if the receiver does not drain it, the connection is
 * closed instead of memory growing.
 */
static void test_bounded(void)
{
	struct mg_context *http = start_server();
	plat_ws_t *ws = open_stream(12);

	for (int i = 0; i < 60 * 1000 && !plat_ws_is_closed(ws); i++)
		base_clock_sleep(BASE_MS);
	g_assert_cmpint(receive_all(ws, WAIT_US), ==,
			PLAT_WS_QUEUE_MAX / MESSAGE_BYTES);
	g_assert_true(plat_ws_is_drained(ws));
	atomic_store(&send_second_burst, 1);
	talloc_free(ws);
	mg_stop(http);
}

/*
 * Received messages no longer count against the bound: more than
 * PLAT_WS_QUEUE_MAX bytes in total pass over one connection.
 */
static void test_drained(void)
{
	struct mg_context *http = start_server();
	plat_ws_t *ws = open_stream(3);
	int n_received = 0;

	while (n_received < 3)
		n_received += receive_all(ws, BASE_MS);
	atomic_store(&send_second_burst, 1);
	while (n_received < 6 && !plat_ws_is_drained(ws))
		n_received += receive_all(ws, BASE_MS);
	g_assert_cmpint(n_received, ==, 6);
	g_assert_false(plat_ws_is_drained(ws));
	talloc_free(ws);
	mg_stop(http);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	port = PORT_BASE + (int)(getpid() % PORT_BASE);
	g_test_add_func("/ws/bounded", test_bounded);
	g_test_add_func("/ws/room", test_drained);
	return g_test_run();
}
