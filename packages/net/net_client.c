#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net_int.h"

typedef struct net_conn {
	net_client_t *client;
	struct evhttp_connection *evcon;
	struct evhttp_request *req; /* of the call; owned by evcon */
	net_call_t *call;	    /* in flight; NULL when idle */
	struct net_conn *next;
	bool discarded;	 /* freed by free_conn() from the loop */
	bool is_sending; /* in send_call() */
	bool is_open;	 /* it was, at least */
	/* Of evhttp, while the connection is being opened. */
	bufferevent_event_cb connect_done;
	void *connect_arg;
} net_conn_t;

struct net_client {
	net_loop_t *loop;
	char *address;
	char *host;
	uint16_t port;
	size_t max_conns;
	bool urgent;
	int64_t silence_max;
	size_t n_conns;
	net_conn_t *conns;
	GQueue queued;
};

struct net_call {
	net_client_t *client;
	net_conn_t *conn; /* NULL while queued */
	net_method_t method;
	char *path;
	net_header_t *headers;
	size_t n_headers;
	base_str_t body;
	net_done_t *done;
	void *arg;
	net_timer_t *timer;
	int64_t expires_at; /* end of its timeout */
	int64_t stall_max;
	size_t received; /* of the response, when its time was last over */
	net_permit_t permit;
	bool has_failed; /* on its connection; that is yet to be reported */
};

static const enum evhttp_cmd_type http_methods[NET_METHOD_MAX] = {
	[NET_GET] = EVHTTP_REQ_GET,
	[NET_POST] = EVHTTP_REQ_POST,
	[NET_DELETE] = EVHTTP_REQ_DELETE,
};

/* Objects below a call without headers, and the size of its texts, but for the
 * body; a longer text is allocated by itself. */
#define CALL_OBJECTS 4
#define CALL_TEXTS_SIZE 512
/* Probes of a silent connection before it is closed. */
#define PROBES 3

static void send_queued(net_client_t *client);

static void free_conn(void *arg)
{
	net_conn_t *conn = arg;

	evhttp_connection_free(conn->evcon);
	talloc_free(conn);
}

/*
 * Make closing the connection send a reset, also when the process is killed:
 * request data that is not delivered yet must not reach the server after the
 * call was given up.
 */
static void reset_on_close(struct bufferevent *bev)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

/*
 * Has the kernel probe the other end while a response is awaited.  It gives the
 * connection up after TCP_USER_TIMEOUT, see limit_delivery().
 */
static void probe_peer(const net_client_t *client, struct bufferevent *bev)
{
	int on = 1;
	int seconds = (int)MAX(client->silence_max / BASE_SEC / PROBES, 1);
	int fd = bufferevent_getfd(bev);

	if (!client->silence_max)
		return;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
}

/*
 * The caller may run inside a libevent callback of this connection, so that it
 * is freed later, from the loop.
 */
static void discard_conn(net_loop_t *loop, net_conn_t *conn)
{
	conn->discarded = true;
	conn->call = NULL;
	conn->client = NULL;
	talloc_steal(NULL, conn);
	net_defer(loop, free_conn, conn);
}

static void close_conn(net_conn_t *conn)
{
	net_client_t *client = conn->client;
	net_conn_t **at;

	for (at = &client->conns; *at; at = &(*at)->next)
		if (*at == conn) {
			*at = conn->next;
			break;
		}
	client->n_conns--;
	discard_conn(client->loop, conn);
}

static int client_free(net_client_t *client)
{
	net_conn_t *conn;
	net_conn_t *next;

	for (conn = client->conns; conn; conn = next) {
		next = conn->next;
		discard_conn(client->loop, conn);
	}
	g_queue_clear(&client->queued);
	return 0;
}

net_client_t *net_client_new(const void *ctx,
			     const net_client_options_t *options)
{
	net_client_t *client = talloc_zero(ctx, net_client_t);

	client->loop = options->loop;
	client->address = talloc_strdup(client, options->address);
	client->max_conns = options->connections;
	client->urgent = options->urgent;
	client->silence_max = options->silence_max;
	g_queue_init(&client->queued);
	if (!net_address_split(client, options->address, &client->host,
			       &client->port)) {
		talloc_free(client);
		return NULL;
	}
	talloc_set_destructor(client, client_free);
	return client;
}

static void complete_call(net_call_t *call, const net_answer_t *answer)
{
	net_client_t *client = call->client;
	net_done_t *done = call->done;
	void *arg = call->arg;

	if (!call->conn)
		g_queue_remove(&client->queued, call);
	/* The callback may free the client, and with it the call. */
	talloc_steal(NULL, call);
	net_timer_stop(call->timer);
	done(arg, answer);
	talloc_free(call);
}

static void on_response(struct evhttp_request *req, void *arg)
{
	net_conn_t *conn = arg;
	net_call_t *call = conn->call;
	net_client_t *client = conn->client;
	net_answer_t answer = { .call_outcome = NET_UNKNOWN };
	struct evbuffer *input;

	if (conn->discarded)
		return;
	conn->call = NULL;
	conn->req = NULL;
	if (req && evhttp_request_get_response_code(req)) {
		input = evhttp_request_get_input_buffer(req);
		answer.call_outcome = NET_ANSWERED;
		answer.status = evhttp_request_get_response_code(req);
		answer.body.len = evbuffer_get_length(input);
		answer.body.ptr = (const char *)evbuffer_pullup(input, -1);
		if (!answer.body.ptr)
			answer.body = BASE_STR("");
	} else {
		answer.is_unreached = !conn->is_open;
		close_conn(conn);
	}
	if (!call)
		return;
	call->conn = NULL;
	/* The connection failed at once; the caller is not prepared yet. */
	if (conn->is_sending) {
		call->has_failed = true;
		net_timer_start(call->timer, 0);
		return;
	}
	send_queued(client);
	complete_call(call, &answer);
}

/* Bytes of the response's body so far. */
static size_t count_received(const net_conn_t *conn)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(conn->evcon);

	return evbuffer_get_length(bufferevent_get_input(bev)) +
	       evbuffer_get_length(evhttp_request_get_input_buffer(conn->req));
}

/* Whether the response is still coming, so that the call waits for more. */
static bool is_progressing(net_call_t *call)
{
	size_t received;

	if (!call->stall_max || !call->conn || !call->conn->req ||
	    base_clock_mono() > call->expires_at + NET_PROGRESS_MAX)
		return false;
	received = count_received(call->conn);
	if (received <= call->received)
		return false;
	call->received = received;
	net_timer_start(call->timer, call->stall_max);
	return true;
}

static void on_timeout(void *arg)
{
	net_call_t *call = arg;
	net_client_t *client = call->client;
	net_conn_t *conn = call->conn;
	net_answer_t answer = {
		.call_outcome =
			conn || call->has_failed ? NET_UNKNOWN : NET_UNSENT,
		.is_unreached = conn ? !conn->is_open : call->has_failed,
	};

	if (is_progressing(call))
		return;
	if (conn) {
		close_conn(conn);
		call->conn = NULL;
		send_queued(client);
	}
	complete_call(call, &answer);
}

static net_conn_t *idle_conn(net_client_t *client)
{
	net_conn_t *conn;

	for (conn = client->conns; conn; conn = conn->next)
		if (!conn->call)
			return conn;
	if (client->n_conns >= client->max_conns)
		return NULL;
	conn = talloc_zero(client, net_conn_t);
	conn->client = client;
	conn->evcon = evhttp_connection_base_new(client->loop->base, NULL,
						 client->host, client->port);
	evhttp_connection_set_max_body_size(conn->evcon, NET_BODY_MAX);
	if (client->urgent)
		bufferevent_priority_set(
			evhttp_connection_get_bufferevent(conn->evcon),
			NET_PRIORITY_URGENT);
	conn->next = client->conns;
	client->conns = conn;
	client->n_conns++;
	client->loop->connections++;
	return conn;
}

static bool may_send(const net_call_t *call)
{
	return base_clock_mono() < call->expires_at &&
	       (!call->permit.is_valid ||
		call->permit.is_valid(call->permit.arg));
}

/*
 * Ends the call as unsent, from the loop.  It must be neither queued nor on a
 * connection.
 */
static void drop_call(net_call_t *call)
{
	call->client->loop->calls_dropped++;
	net_timer_start(call->timer, 0);
}

/*
 * Keeps the kernel from delivering what it has of the call after the timeout,
 * also while this process is suspended.
 */
static void limit_delivery(struct bufferevent *bev, const net_call_t *call)
{
	int64_t left = call->expires_at - base_clock_mono();
	int64_t silence_max = call->client->silence_max;
	unsigned int ms;

	if (silence_max)
		left = MIN(left, silence_max);
	ms = (unsigned int)MAX(left / BASE_MS, 1);
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
		   sizeof(ms));
}

/*
 * Writes the request now instead of in a later round of the loop, before which
 * the process may be suspended.  What the kernel does not take, and errors, are
 * left to that round.
 */
static void write_request(struct bufferevent *bev, const net_call_t *call)
{
	struct evbuffer *output = bufferevent_get_output(bev);

	limit_delivery(bev, call);
	evbuffer_unfreeze(output, 1);
	evbuffer_write(output, bufferevent_getfd(bev));
	evbuffer_freeze(output, 1);
}

/*
 * The connection is open, or could not be opened.  From here, evhttp writes the
 * request at once.
 */
static void on_connect(struct bufferevent *bev, short what, void *arg)
{
	net_conn_t *conn = arg;
	net_call_t *call = conn->call;
	net_client_t *client = conn->client;

	if (conn->discarded)
		return;
	bufferevent_setcb(bev, NULL, NULL, conn->connect_done,
			  conn->connect_arg);
	conn->is_open = what & BEV_EVENT_CONNECTED;
	if (conn->is_open) {
		reset_on_close(bev);
		probe_peer(client, bev);
	}
	if (call && what & BEV_EVENT_CONNECTED) {
		if (!may_send(call)) {
			close_conn(conn);
			call->conn = NULL;
			drop_call(call);
			send_queued(client);
			return;
		}
		limit_delivery(bev, call);
	}
	conn->connect_done(bev, what, conn->connect_arg);
}

/* Has on_connect() called in place of evhttp's function. */
static void await_connect(net_conn_t *conn, struct bufferevent *bev)
{
	bufferevent_data_cb on_read;
	bufferevent_data_cb on_write;

	bufferevent_getcb(bev, &on_read, &on_write, &conn->connect_done,
			  &conn->connect_arg);
	bufferevent_setcb(bev, NULL, NULL, on_connect, conn);
}

static void send_call(net_conn_t *conn, net_call_t *call)
{
	struct evhttp_request *req = evhttp_request_new(on_response, conn);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(conn->evcon);
	bool failed;
	size_t i;

	for (i = 0; i < call->n_headers; i++)
		evhttp_add_header(headers, call->headers[i].name,
				  call->headers[i].value);
	if (!evhttp_find_header(headers, "Host"))
		evhttp_add_header(headers, "Host", call->client->address);
	if (call->body.len) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(req),
			     call->body.ptr, call->body.len);
	}
	conn->call = call;
	conn->req = req;
	call->conn = conn;
	call->client->loop->calls++;
	/* On failure libevent has freed the request; the call times out. */
	conn->is_sending = true;
	failed = evhttp_make_request(conn->evcon, req,
				     http_methods[call->method], call->path);
	conn->is_sending = false;
	if (failed) {
		conn->call = NULL;
		conn->req = NULL;
		call->conn = NULL;
		return;
	}
	/* If the connection failed at once, the call is to end. */
	if (conn->discarded)
		return;
	/* Without output, evhttp is opening the connection. */
	if (evbuffer_get_length(bufferevent_get_output(bev))) {
		conn->is_open = true;
		write_request(bev, call);
	} else {
		conn->is_open = false;
		await_connect(conn, bev);
	}
}

static void send_queued(net_client_t *client)
{
	net_conn_t *conn;
	net_call_t *call;

	while (!g_queue_is_empty(&client->queued)) {
		call = g_queue_peek_head(&client->queued);
		if (!may_send(call)) {
			g_queue_pop_head(&client->queued);
			drop_call(call);
			continue;
		}
		conn = idle_conn(client);
		if (!conn)
			return;
		g_queue_pop_head(&client->queued);
		send_call(conn, call);
	}
}

net_call_t *net_call(net_client_t *client, const net_request_t *request,
		     net_done_t *done, void *arg)
{
	/* One allocation for the call and all that it copies. */
	net_call_t *call = talloc_pooled_object(
		client, net_call_t, CALL_OBJECTS + (unsigned)request->n_headers,
		CALL_TEXTS_SIZE + request->body.len);
	size_t i;

	memset(call, 0, sizeof(*call));

	call->client = client;
	call->method = request->method;
	call->path = talloc_strdup(call, request->path);
	call->headers = talloc_array(call, net_header_t, request->n_headers);
	call->n_headers = request->n_headers;
	for (i = 0; i < request->n_headers; i++) {
		call->headers[i].name = request->headers[i].name;
		call->headers[i].value =
			talloc_strdup(call, request->headers[i].value);
	}
	call->body.ptr =
		talloc_memdup(call, request->body.ptr, request->body.len);
	call->body.len = request->body.len;
	call->done = done;
	call->arg = arg;
	call->timer = net_timer_new(call, client->loop, on_timeout, call);
	net_timer_start(call->timer, request->timeout);
	call->expires_at = base_clock_mono() + request->timeout;
	call->stall_max = request->stall_max;
	if (request->permit)
		call->permit = *request->permit;
	g_queue_push_tail(&client->queued, call);
	send_queued(client);
	return call;
}

void net_call_cancel(net_call_t *call)
{
	net_client_t *client = call->client;
	net_conn_t *conn = call->conn;

	if (conn) {
		close_conn(conn);
	} else {
		g_queue_remove(&client->queued, call);
	}
	talloc_free(call);
	send_queued(client);
}
