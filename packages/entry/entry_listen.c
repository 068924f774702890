#include "entry_int.h"

#define REQUEST_TIMEOUT_MS "10000" /* for a request's header, or one read */
#define CONNECTION_QUEUE "1000"	   /* accepted, waiting for a thread */
#define LISTEN_BACKLOG "1000"

struct mg_context *entry_listen(const entry_listen_t *listen, void *user,
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
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *ctx;

	snprintf(port, sizeof(port), "%s:%d", listen->address, listen->port);
	snprintf(threads, sizeof(threads), "%d", listen->threads);
	snprintf(keep, sizeof(keep), "%lld", (long long)keep_alive_ms);
	ctx = mg_start(&callbacks, user, options);
	if (!ctx)
		g_set_error(err, ENTRY_ERROR, ENTRY_ERROR_LISTEN,
			    "cannot listen on %s: is the port in use?", port);
	return ctx;
}
