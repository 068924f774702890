#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_int.h"

/*
 * The ports lie below the ephemeral range, because a client that retries a port
 * in that range can end up connected to itself, and below the ports of the
 * system tests, which may run at the same time.
 */
#define PORT_COUNT 5000
#define PORT_FIRST 5000
#define ROUNDS 2 /* each takes up to 2 s to stop the HTTP library */
#define REQUEST "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

static entry_listen_t options = { "127.0.0.1", 0, 2 };

static int serve(struct mg_connection *conn)
{
	entry_daemon_t *daemon = entry_listen_daemon(conn);

	g_assert_nonnull(daemon);
	return entry_operators_answer(conn, 418, "text/plain",
				      BASE_STR("mine\n"));
}

/*
 * Connects as soon as the port is open and stores the status of the first
 * answer.
 */
static void *first_answer(void *arg)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(options.port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	char text[16] = "";
	int fd;

	for (;;) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
			break;
		close(fd);
	}
	g_assert_cmpint(write(fd, REQUEST, strlen(REQUEST)), ==,
			strlen(REQUEST));
	if (read(fd, text, sizeof(text) - 1) > 9)
		*(int *)arg = atoi(text + 9);
	close(fd);
	return NULL;
}

/*
 * Guards against a handler that is set after the port opens: the HTTP library
 * would then answer the first requests itself.
 */
static void test_served_from_the_start(void)
{
	for (int i = 0; i < ROUNDS; i++) {
		entry_daemon_t daemon = { 0 };
		struct mg_context *http;
		GError *err = NULL;
		pthread_t client;
		int status = 0;

		pthread_create(&client, NULL, first_answer, &status);
		http = entry_listen(&options, serve, &daemon, 100, &err);
		g_assert_no_error(err);
		pthread_join(client, NULL);
		mg_stop(http);
		g_assert_cmpint(status, ==, 418);
	}
}

static void test_port_in_use(void)
{
	entry_daemon_t daemon = { 0 };
	struct mg_context *http;
	GError *err = NULL;
	char port[16];

	http = entry_listen(&options, serve, &daemon, 100, &err);
	g_assert_no_error(err);
	g_assert_null(entry_listen(&options, serve, &daemon, 100, &err));
	g_assert_error(err, ENTRY_ERROR, ENTRY_ERROR_LISTEN);
	g_snprintf(port, sizeof(port), ":%d:", options.port);
	g_assert_nonnull(strstr(err->message, port));
	g_clear_error(&err);
	mg_stop(http);
}

static bool is_free(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool bound = !bind(fd, (struct sockaddr *)&addr, sizeof(addr));

	close(fd);
	return bound;
}

int main(int argc, char **argv)
{
	int tries = 0;

	g_test_init(&argc, &argv, NULL);
	do
		options.port =
			PORT_FIRST + (int)(getpid() + tries * 7) % PORT_COUNT;
	while (!is_free(options.port) && ++tries < PORT_COUNT);
	g_test_add_func("/entry/listen/served-from-the-start",
			test_served_from_the_start);
	g_test_add_func("/entry/listen/port-in-use", test_port_in_use);
	return g_test_run();
}
