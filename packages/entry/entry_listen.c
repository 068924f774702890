#include "entry_int.h"

/* Time limit for a request's header and for each read, in milliseconds. */
#define REQUEST_TIMEOUT_MS "10000"
/* Limit of accepted connections that wait for a thread. */
#define CONNECTION_QUEUE "1000"
#define LISTEN_BACKLOG "1000"

/*
 * The port accepts requests before mg_start() returns, so a handler that is set
 * afterwards would miss the first ones.  "serve" is passed as a callback
 * instead.
 */
struct mg_context *entry_listen(const entry_listen_t *listen,
				entry_serve_t serve, entry_daemon_t *daemon,
				int64_t keep_alive_ms, GError **err)
{
	char port[32], threads[16], keep[16];
	const char *options[] = {
		"listening_ports",
		port,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		keep,
		"request_timeout_ms",
		REQUEST_TIMEOUT_MS,
		"tcp_nodelay",
		"1",
		"connection_queue",
		CONNECTION_QUEUE,
		"listen_backlog",
		LISTEN_BACKLOG,
		"decode_url",
		"no",
		NULL,
	};
	struct mg_callbacks callbacks = { .begin_request = serve };
	struct mg_context *ctx;

	snprintf(port, sizeof(port), "%s:%d", listen->address, listen->port);
	snprintf(threads, sizeof(threads), "%d", listen->threads);
	snprintf(keep, sizeof(keep), "%lld", (long long)keep_alive_ms);
	ctx = mg_start(&callbacks, daemon, options);
	if (!ctx)
		g_set_error(err, ENTRY_ERROR, ENTRY_ERROR_LISTEN,
			    "cannot listen on %s: is the port in use?", port);
	return ctx;
}

entry_daemon_t *entry_listen_daemon(const struct mg_connection *conn)
{
	return mg_get_user_data(mg_get_context(conn));
}

const entry_page_t *entry_page_find(const entry_page_t *pages, size_t n,
				    const struct mg_connection *conn)
{
	const char *path = mg_get_request_info(conn)->local_uri;

	for (size_t i = 0; i < n; i++)
		if (!strcmp(path, pages[i].path))
			return &pages[i];
	return NULL;
}
