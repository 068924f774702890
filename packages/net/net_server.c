#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "net_int.h"

struct net_server {
	struct evhttp *http;
	net_handler_t *handler;
	void *arg;
	struct evhttp_bound_socket *listener; /* NULL: it is closed */
	size_t n_pending;
	uint64_t n_connections;
	uint64_t n_requests;
	uint64_t n_replies;
};

struct net_exchange {
	net_server_t *server;
	struct evhttp_request *req;
	base_str_t body;
};

static int server_free(net_server_t *server)
{
	evhttp_free(server->http);
	return 0;
}

static void on_request(struct evhttp_request *req, void *arg)
{
	net_server_t *server = arg;
	net_exchange_t *exchange = talloc_zero(server, net_exchange_t);
	struct evbuffer *input = evhttp_request_get_input_buffer(req);

	exchange->server = server;
	exchange->req = req;
	exchange->body.len = evbuffer_get_length(input);
	exchange->body.ptr = (const char *)evbuffer_pullup(input, -1);
	if (!exchange->body.ptr)
		exchange->body = BASE_STR("");
	server->n_pending++;
	server->n_requests++;
	server->handler(server->arg, exchange);
}

/* Counts the connections; the bufferevent is the one that evhttp would make. */
static struct bufferevent *on_connection(struct event_base *base, void *arg)
{
	net_server_t *server = arg;

	server->n_connections++;
	return bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
}

net_server_t *net_server_new(const void *ctx, net_loop_t *loop,
			     const char *address, net_handler_t *handler,
			     void *arg, GError **err)
{
	net_server_t *server = talloc_zero(ctx, net_server_t);
	char *host = NULL;
	uint16_t port = 0;

	server->handler = handler;
	server->arg = arg;
	server->http = evhttp_new(loop->base);
	talloc_set_destructor(server, server_free);
	evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET |
							 EVHTTP_REQ_POST |
							 EVHTTP_REQ_DELETE);
	evhttp_set_max_body_size(server->http, NET_BODY_MAX);
	evhttp_set_max_headers_size(server->http, NET_HEADERS_MAX);
	evhttp_set_gencb(server->http, on_request, server);
	evhttp_set_bevcb(server->http, on_connection, server);
	if (net_address_split(server, address, &host, &port))
		server->listener = evhttp_bind_socket_with_handle(server->http,
								  host, port);
	if (!server->listener) {
		g_set_error(err, NET_ERROR, NET_ERR_ADDRESS,
			    "cannot listen on \"%s\"", address);
		talloc_free(server);
		return NULL;
	}
	return server;
}

net_method_t net_exchange_method(const net_exchange_t *exchange)
{
	switch (evhttp_request_get_command(exchange->req)) {
	case EVHTTP_REQ_POST:
		return NET_POST;
	case EVHTTP_REQ_DELETE:
		return NET_DELETE;
	default:
		return NET_GET;
	}
}

const char *net_exchange_path(const net_exchange_t *exchange)
{
	return evhttp_request_get_uri(exchange->req);
}

const char *net_exchange_header(const net_exchange_t *exchange,
				const char *name)
{
	return evhttp_find_header(
		evhttp_request_get_input_headers(exchange->req), name);
}

base_str_t net_exchange_body(const net_exchange_t *exchange)
{
	return exchange->body;
}

void net_reply(net_exchange_t *exchange, int status,
	       const net_header_t *headers, size_t n_headers, base_str_t body)
{
	struct evkeyvalq *out =
		evhttp_request_get_output_headers(exchange->req);
	struct evbuffer *buffer = evbuffer_new();
	size_t i;

	for (i = 0; i < n_headers; i++)
		evhttp_add_header(out, headers[i].name, headers[i].value);
	if (body.len) {
		evhttp_add_header(out, "Content-Type", "application/json");
		evbuffer_add(buffer, body.ptr, body.len);
	}
	if (!exchange->server->listener)
		evhttp_add_header(out, "Connection", "close");
	exchange->server->n_pending--;
	exchange->server->n_replies++;
	evhttp_send_reply(exchange->req, status, NULL, buffer);
	evbuffer_free(buffer);
	talloc_free(exchange);
}

void net_server_close(net_server_t *server)
{
	if (server->listener)
		evhttp_del_accept_socket(server->http, server->listener);
	server->listener = NULL;
}

size_t net_server_pending(const net_server_t *server)
{
	return server->n_pending;
}

uint64_t net_server_activity(const net_server_t *server)
{
	return server->n_connections + server->n_requests + server->n_replies;
}
