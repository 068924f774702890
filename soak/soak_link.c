/*
 * A relay of TCP connections that can be made slow, lossy or dead.  Bytes that
 * are lost leave a connection torn: it is reset once the link is fine again,
 * since no network would deliver the rest of such a stream.
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
	int64_t due;
} chunk_t;

typedef struct pair pair_t;

/* One direction: what "from" sends. */
typedef struct flow {
	pair_t *pair;
	side_t from;
	GQueue late; /* chunk_t, in order */
	struct event *timer;
	bool ended; /* "from" sends no more */
} flow_t;

struct pair {
	soak_link_t *link;
	struct bufferevent *ends[SIDE_MAX];
	flow_t flows[SIDE_MAX];
	bool torn;
};

struct soak_link {
	struct event_base *base;
	struct evconnlistener *listener;
	int to;
	soak_trouble_t trouble;
	int64_t delay;
	GPtrArray *pairs;
};

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Have the close be a reset, as after a loss of the other side's host. */
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

static void pair_end(pair_t *pair, bool reset)
{
	int i;

	g_ptr_array_remove_fast(pair->link->pairs, pair);
	for (i = 0; i < SIDE_MAX; i++) {
		chunk_t *chunk;

		while ((chunk = g_queue_pop_head(&pair->flows[i].late)))
			chunk_free(chunk);
		event_free(pair->flows[i].timer);
		if (reset)
			reset_on_close(bufferevent_getfd(pair->ends[i]));
		bufferevent_free(pair->ends[i]);
	}
	g_free(pair);
}

static bool loses(const soak_link_t *link, side_t from)
{
	return link->trouble == SOAK_LINK_SILENT ||
	       (link->trouble == SOAK_LINK_DEAF && from == SIDE_CLIENT) ||
	       (link->trouble == SOAK_LINK_MUTE && from == SIDE_SERVER);
}

static void await(flow_t *flow, int64_t now)
{
	const chunk_t *chunk = g_queue_peek_head(&flow->late);
	int64_t left = chunk ? MAX(chunk->due - now, 0) : 0;
	struct timeval delay = { left / BASE_SEC, left % BASE_SEC };

	if (chunk)
		event_add(flow->timer, &delay);
}

/* Both directions are done: nothing is left to be passed on. */
static void end_if_done(pair_t *pair)
{
	int i;

	for (i = 0; i < SIDE_MAX; i++) {
		const flow_t *flow = &pair->flows[i];
		struct bufferevent *to = pair->ends[!flow->from];

		if (flow->ended && g_queue_is_empty((GQueue *)&flow->late) &&
		    !evbuffer_get_length(bufferevent_get_output(to))) {
			pair_end(pair, false);
			return;
		}
	}
}

static void chunk_due(evutil_socket_t fd, short what, void *arg)
{
	flow_t *flow = arg;
	int64_t now = base_clock_mono();
	chunk_t *chunk;

	(void)fd;
	(void)what;
	while ((chunk = g_queue_peek_head(&flow->late)) && chunk->due <= now) {
		g_queue_pop_head(&flow->late);
		bufferevent_write_buffer(flow->pair->ends[!flow->from],
					 chunk->bytes);
		chunk_free(chunk);
	}
	await(flow, now);
	end_if_done(flow->pair);
}

static void delay_bytes(flow_t *flow, struct evbuffer *input)
{
	const chunk_t *last = g_queue_peek_tail(&flow->late);
	int64_t now = base_clock_mono();
	chunk_t *chunk = g_new0(chunk_t, 1);

	chunk->bytes = evbuffer_new();
	evbuffer_add_buffer(chunk->bytes, input);
	chunk->due = now + flow->pair->link->delay;
	if (last)
		chunk->due = MAX(chunk->due, last->due);
	g_queue_push_tail(&flow->late, chunk);
	await(flow, now);
}

static side_t side_of(const pair_t *pair, const struct bufferevent *end)
{
	return pair->ends[SIDE_CLIENT] == end ? SIDE_CLIENT : SIDE_SERVER;
}

static void readable(struct bufferevent *end, void *arg)
{
	pair_t *pair = arg;
	side_t from = side_of(pair, end);
	flow_t *flow = &pair->flows[from];
	struct evbuffer *input = bufferevent_get_input(end);

	if (loses(pair->link, from)) {
		pair->torn = true;
		evbuffer_drain(input, evbuffer_get_length(input));
	} else if (pair->torn) {
		evbuffer_drain(input, evbuffer_get_length(input));
	} else if (pair->link->trouble == SOAK_LINK_SLOW ||
		   !g_queue_is_empty(&flow->late)) {
		delay_bytes(flow, input);
	} else {
		bufferevent_write_buffer(pair->ends[!from], input);
	}
}

static void written(struct bufferevent *end, void *arg)
{
	(void)end;
	end_if_done(arg);
}

static void changed(struct bufferevent *end, short what, void *arg)
{
	pair_t *pair = arg;
	side_t from = side_of(pair, end);

	if (what & BEV_EVENT_ERROR) {
		pair_end(pair, true);
	} else if (what & BEV_EVENT_EOF) {
		/* An end that is lost on the way shows when the link heals. */
		if (loses(pair->link, from))
			pair->torn = true;
		else
			pair->flows[from].ended = true;
		end_if_done(pair);
	}
}

static void accepted(struct evconnlistener *listener, evutil_socket_t fd,
		     struct sockaddr *address, int len, void *arg)
{
	soak_link_t *link = arg;
	struct sockaddr_in to = loopback(link->to);
	pair_t *pair;
	int i;

	(void)listener;
	(void)address;
	(void)len;
	if (link->trouble == SOAK_LINK_RESET) {
		reset_on_close(fd);
		evutil_closesocket(fd);
		return;
	}
	pair = g_new0(pair_t, 1);
	pair->link = link;
	pair->ends[SIDE_CLIENT] =
		bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->ends[SIDE_SERVER] =
		bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(link->pairs, pair);
	for (i = 0; i < SIDE_MAX; i++) {
		flow_t *flow = &pair->flows[i];

		flow->pair = pair;
		flow->from = (side_t)i;
		flow->timer = evtimer_new(link->base, chunk_due, flow);
		bufferevent_setcb(pair->ends[i], readable, written, changed,
				  pair);
		bufferevent_enable(pair->ends[i], EV_READ | EV_WRITE);
	}
	/* A failure comes as an event. */
	bufferevent_socket_connect(pair->ends[SIDE_SERVER],
				   (struct sockaddr *)&to, sizeof(to));
}

static int link_free(soak_link_t *link)
{
	while (link->pairs->len)
		pair_end(g_ptr_array_index(link->pairs, 0), true);
	g_ptr_array_unref(link->pairs);
	if (link->listener)
		evconnlistener_free(link->listener);
	return 0;
}

soak_link_t *soak_link_new(const void *ctx, struct event_base *base, int from,
			   int to)
{
	soak_link_t *link = talloc_zero(ctx, soak_link_t);
	struct sockaddr_in address = loopback(from);

	link->base = base;
	link->to = to;
	link->pairs = g_ptr_array_new();
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

void soak_link_disturb(soak_link_t *link, soak_trouble_t trouble, int64_t delay)
{
	guint i;

	link->trouble = trouble;
	link->delay = delay;
	for (i = link->pairs->len; i-- > 0;) {
		pair_t *pair = g_ptr_array_index(link->pairs, i);

		if (trouble == SOAK_LINK_RESET || pair->torn)
			pair_end(pair, true);
	}
}
