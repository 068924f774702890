/*
 * relay - baseline of bench/run: a round-robin HTTP relay on the same CivetWeb
 * server and client, with persistent connections, as an entry, but without its
 * routing decisions.
 *
 * usage: relay PORT THREADS ENDPOINT-PORT COUNT
 */
#include <civetweb.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

#define IDLE_MAX 2048

typedef struct relay {
	pthread_mutex_t lock;	     /* protects idle and count */
	struct mg_connection **idle; /* IDLE_MAX for each endpoint */
	int *count;
	int first_port;
	int ports;
	atomic_uint next_index;
} relay_t;

static int on_request(struct mg_connection *conn, void *arg);
static struct mg_connection *take_connection(relay_t *relay, int index);
static void release_connection(relay_t *relay, int index,
			       struct mg_connection *conn);
static bool forward(struct mg_connection *conn, struct mg_connection *backend);

int main(int argc, char **argv)
{
	const char *options[] = { "listening_ports",
				  NULL,
				  "num_threads",
				  NULL,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "5000",
				  "tcp_nodelay",
				  "1",
				  "connection_queue",
				  "1000",
				  "listen_backlog",
				  "1000",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *ctx;
	relay_t relay = { .lock = PTHREAD_MUTEX_INITIALIZER };
	char listen[32];
	sigset_t set;
	int sig;

	if (argc != 5)
		return 2;
	snprintf(listen, sizeof(listen), "127.0.0.1:%s", argv[1]);
	options[1] = listen;
	options[3] = argv[2];
	relay.first_port = atoi(argv[3]);
	relay.ports = atoi(argv[4]);
	relay.idle =
		g_new0(struct mg_connection *, (gsize)relay.ports * IDLE_MAX);
	relay.count = g_new0(int, (gsize)relay.ports);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	mg_init_library(0);
	ctx = mg_start(&callbacks, &relay, options);
	if (!ctx)
		return 1;
	mg_set_request_handler(ctx, "/", on_request, &relay);
	sigwait(&set, &sig);
	_exit(0);
}

static int on_request(struct mg_connection *conn, void *arg)
{
	relay_t *relay = arg;
	int index = (int)(atomic_fetch_add(&relay->next_index, 1) %
			  (unsigned)relay->ports);
	struct mg_connection *backend = take_connection(relay, index);
	char error[160];

	if (!backend)
		backend = mg_connect_client("127.0.0.1",
					    relay->first_port + index, 0, error,
					    sizeof(error));
	if (!backend || !forward(conn, backend)) {
		if (backend)
			mg_close_connection(backend);
		mg_send_http_error(conn, 502, "no answer");
		return 502;
	}
	release_connection(relay, index, backend);
	return 200;
}

static struct mg_connection *take_connection(relay_t *relay, int index)
{
	struct mg_connection *conn = NULL;

	pthread_mutex_lock(&relay->lock);
	if (relay->count[index])
		conn = relay->idle[index * IDLE_MAX + --relay->count[index]];
	pthread_mutex_unlock(&relay->lock);
	return conn;
}

static void release_connection(relay_t *relay, int index,
			       struct mg_connection *conn)
{
	pthread_mutex_lock(&relay->lock);
	if (relay->count[index] < IDLE_MAX) {
		relay->idle[index * IDLE_MAX + relay->count[index]++] = conn;
		conn = NULL;
	}
	pthread_mutex_unlock(&relay->lock);
	if (conn)
		mg_close_connection(conn);
}

/* Bench requests have no body, and each answer fits in one buffer. */
static bool forward(struct mg_connection *conn, struct mg_connection *backend)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const struct mg_response_info *answer;
	char buffer[16384], error[160];
	int len = 0, got;

	len = snprintf(buffer, sizeof(buffer), "%s %s HTTP/1.1\r\n",
		       info->request_method, info->local_uri);
	for (int i = 0; i < info->num_headers; i++)
		len += snprintf(buffer + len, sizeof(buffer) - (size_t)len,
				"%s: %s\r\n", info->http_headers[i].name,
				info->http_headers[i].value);
	len += snprintf(buffer + len, sizeof(buffer) - (size_t)len, "\r\n");
	if (mg_write(backend, buffer, (size_t)len) != len ||
	    mg_get_response(backend, error, sizeof(error), 10000) < 0)
		return false;
	answer = mg_get_response_info(backend);
	len = snprintf(buffer, sizeof(buffer), "HTTP/1.1 %d OK\r\n",
		       answer->status_code);
	for (int i = 0; i < answer->num_headers; i++)
		len += snprintf(buffer + len, sizeof(buffer) - (size_t)len,
				"%s: %s\r\n", answer->http_headers[i].name,
				answer->http_headers[i].value);
	len += snprintf(buffer + len, sizeof(buffer) - (size_t)len, "\r\n");
	got = mg_read(backend, buffer + len, (size_t)answer->content_length);
	if (got != (int)answer->content_length)
		return false;
	len += got;
	return mg_write(conn, buffer, (size_t)len) == len;
}
