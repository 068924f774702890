/*
 * A TCP relay that can delay or drop bytes or reset connections.  A connection
 * that has lost bytes discards further input of both sides and is reset when
 * the link recovers, since no network delivers the rest of such a stream.
 *
 * Callers send one request at a time on a connection, so that a connection
 * waits for an answer from the last byte of its client to the next byte of its
 * server.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "soak_int.h"

typedef enum side { SIDE_CLIENT, SIDE_SERVER, SIDE_MAX } side_t;

typedef struct chunk {
	struct evbuffer *bytes;
	int64_t due_at;
} chunk_t;

typedef struct connection connection_t;

/* One direction of a connection: the bytes that "from" sends. */
typedef struct flow {
	connection_t *connection;
	side_t from;
	GQueue delayed; /* chunk_t, by due time */
	struct event *timer;
	bool is_closed; /* "from" has closed its side */
} flow_t;

struct connection {
	soak_link_t *link;
	struct bufferevent *ends[SIDE_MAX];
	flow_t flows[SIDE_MAX];
	bool has_lost_bytes;
	bool is_accepted; /* by the server's host */
	int64_t asked_at; /* last byte of a request; 0: none waits */
};

struct soak_link {
	struct event_base *base;
	struct evconnlistener *listener;
	int to;
	soak_link_fault_t fault;
	int64_t delay;
	soak_link_lost_t *lost;
	void *arg;
	GPtrArray *connections;
};

static struct sockaddr_in loopback_address(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Makes close() send a reset, as if the peer's host had failed. */
static void reset_on_close(evutil_socket_t fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void chunk_free(chunk_t *chunk)
{
	evbuffer_free(chunk->bytes);
	g_free(chunk);
}

static void connection_close(connection_t *connection, bool reset)
{
	int i;

	g_ptr_array_remove_fast(connection->link->connections, connection);
	for (i = 0; i < SIDE_MAX; i++) {
		chunk_t *chunk;

		while ((chunk = g_queue_pop_head(
				&connection->flows[i].delayed)))
			chunk_free(chunk);
		event_free(connection->flows[i].timer);
		if (reset)
			reset_on_close(bufferevent_getfd(connection->ends[i]));
		bufferevent_free(connection->ends[i]);
	}
	g_free(connection);
}

static bool drops_from(const soak_link_t *link, side_t from)
{
	return link->fault == SOAK_LINK_DROP_BOTH ||
	       (link->fault == SOAK_LINK_DROP_CLIENT && from == SIDE_CLIENT) ||
	       (link->fault == SOAK_LINK_DROP_SERVER && from == SIDE_SERVER);
}

static void schedule_next(flow_t *flow, int64_t now)
{
	const chunk_t *chunk = g_queue_peek_head(&flow->delayed);
	int64_t left = chunk ? MAX(chunk->due_at - now, 0) : 0;
	struct timeval delay = { left / BASE_SEC, left % BASE_SEC };

	if (chunk)
		event_add(flow->timer, &delay);
}

/* Closes the connection once a side has closed and all its bytes are
 * delivered. */
static void close_if_done(connection_t *connection)
{
	int i;

	for (i = 0; i < SIDE_MAX; i++) {
		const flow_t *flow = &connection->flows[i];
		struct bufferevent *to = connection->ends[!flow->from];

		if (flow->is_closed &&
		    g_queue_is_empty((GQueue *)&flow->delayed) &&
		    !evbuffer_get_length(bufferevent_get_output(to))) {
			connection_close(connection, false);
			return;
		}
	}
}

/* Passes bytes of "from" on. */
static void deliver(connection_t *connection, side_t from,
		    struct evbuffer *bytes)
{
	connection->asked_at = from == SIDE_CLIENT ? base_clock_mono() : 0;
	bufferevent_write_buffer(connection->ends[!from], bytes);
}

static void deliver_due(evutil_socket_t fd, short what, void *arg)
{
	flow_t *flow = arg;
	int64_t now = base_clock_mono();
	chunk_t *chunk;

	(void)fd;
	(void)what;
	while ((chunk = g_queue_peek_head(&flow->delayed)) &&
	       chunk->due_at <= now) {
		g_queue_pop_head(&flow->delayed);
		deliver(flow->connection, flow->from, chunk->bytes);
		chunk_free(chunk);
	}
	schedule_next(flow, now);
	close_if_done(flow->connection);
}

static void delay_bytes(flow_t *flow, struct evbuffer *input)
{
	const chunk_t *last = g_queue_peek_tail(&flow->delayed);
	int64_t now = base_clock_mono();
	chunk_t *chunk = g_new0(chunk_t, 1);

	chunk->bytes = evbuffer_new();
	evbuffer_add_buffer(chunk->bytes, input);
	chunk->due_at = now + flow->connection->link->delay;
	if (last)
		chunk->due_at = MAX(chunk->due_at, last->due_at);
	g_queue_push_tail(&flow->delayed, chunk);
	schedule_next(flow, now);
}

static side_t side_of(const connection_t *connection,
		      const struct bufferevent *end)
{
	return connection->ends[SIDE_CLIENT] == end ? SIDE_CLIENT : SIDE_SERVER;
}

static void readable(struct bufferevent *end, void *arg)
{
	connection_t *connection = arg;
	side_t from = side_of(connection, end);
	flow_t *flow = &connection->flows[from];
	struct evbuffer *input = bufferevent_get_input(end);

	if (drops_from(connection->link, from)) {
		connection->has_lost_bytes = true;
		evbuffer_drain(input, evbuffer_get_length(input));
	} else if (connection->has_lost_bytes) {
		evbuffer_drain(input, evbuffer_get_length(input));
	} else if (connection->link->fault == SOAK_LINK_DELAY ||
		   !g_queue_is_empty(&flow->delayed)) {
		delay_bytes(flow, input);
	} else {
		deliver(connection, from, input);
	}
}

static void written(struct bufferevent *end, void *arg)
{
	(void)end;
	close_if_done(arg);
}

static void connection_event(struct bufferevent *end, short what, void *arg)
{
	connection_t *connection = arg;
	side_t from = side_of(connection, end);
	const soak_link_t *link = connection->link;

	if (what & BEV_EVENT_CONNECTED)
		connection->is_accepted = true;
	if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) && from == SIDE_SERVER &&
	    connection->is_accepted && connection->asked_at && link->lost)
		link->lost(link->arg, connection->asked_at);
	if (what & BEV_EVENT_ERROR) {
		connection_close(connection, true);
	} else if (what & BEV_EVENT_EOF) {
		/* A dropped close becomes a reset when the link recovers. */
		if (drops_from(connection->link, from))
			connection->has_lost_bytes = true;
		else
			connection->flows[from].is_closed = true;
		close_if_done(connection);
	}
}

static void accepted(struct evconnlistener *listener, evutil_socket_t fd,
		     struct sockaddr *address, int len, void *arg)
{
	soak_link_t *link = arg;
	struct sockaddr_in to = loopback_address(link->to);
	connection_t *connection;
	int i;

	(void)listener;
	(void)address;
	(void)len;
	if (link->fault == SOAK_LINK_RESET) {
		reset_on_close(fd);
		evutil_closesocket(fd);
		return;
	}
	connection = g_new0(connection_t, 1);
	connection->link = link;
	connection->ends[SIDE_CLIENT] =
		bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	connection->ends[SIDE_SERVER] =
		bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(link->connections, connection);
	for (i = 0; i < SIDE_MAX; i++) {
		flow_t *flow = &connection->flows[i];

		flow->connection = connection;
		flow->from = (side_t)i;
		flow->timer = evtimer_new(link->base, deliver_due, flow);
		bufferevent_setcb(connection->ends[i], readable, written,
				  connection_event, connection);
		bufferevent_enable(connection->ends[i], EV_READ | EV_WRITE);
	}
	/* A failure is reported as an event. */
	bufferevent_socket_connect(connection->ends[SIDE_SERVER],
				   (struct sockaddr *)&to, sizeof(to));
}

static int link_free(soak_link_t *link)
{
	while (link->connections->len)
		connection_close(g_ptr_array_index(link->connections, 0), true);
	g_ptr_array_unref(link->connections);
	if (link->listener)
		evconnlistener_free(link->listener);
	return 0;
}

soak_link_t *soak_link_new(const void *ctx, struct event_base *base, int from,
			   int to)
{
	soak_link_t *link = talloc_zero(ctx, soak_link_t);
	struct sockaddr_in address = loopback_address(from);

	link->base = base;
	link->to = to;
	link->connections = g_ptr_array_new();
	talloc_set_destructor(link, link_free);
	link->listener = evconnlistener_new_bind(
		base, accepted, link,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		-1, (struct sockaddr *)&address, sizeof(address));
	if (!link->listener)
		TALLOC_FREE(link);
	return link;
}

void soak_link_report_lost(soak_link_t *link, soak_link_lost_t *lost, void *arg)
{
	link->lost = lost;
	link->arg = arg;
}

void soak_link_set_fault(soak_link_t *link, soak_link_fault_t fault,
			 int64_t delay)
{
	guint i;

	link->fault = fault;
	link->delay = delay;
	for (i = link->connections->len; i-- > 0;) {
		connection_t *connection =
			g_ptr_array_index(link->connections, i);

		if (fault == SOAK_LINK_RESET || connection->has_lost_bytes)
			connection_close(connection, true);
	}
}
