/*
 * net - an event loop with HTTP/1.1 clients and servers (libevent).
 *
 * Everything runs on the thread that calls net_loop_run().  Callbacks may
 * create, cancel and free calls, clients and timers; the connections of these
 * are freed after the callback returns.  Times are microseconds.
 */
#ifndef NET_H
#define NET_H

#include "base.h"

#define NET_ERROR net_error_quark()
GQuark net_error_quark(void);

typedef enum net_error {
	NET_ERR_ADDRESS, /* not "IPv4:port", or it cannot be bound */
	NET_ERR_MAX
} net_error_t;

struct event_base;
typedef struct net_loop net_loop_t;
typedef struct net_timer net_timer_t;
typedef struct net_client net_client_t;
typedef struct net_call net_call_t;
typedef struct net_server net_server_t;
typedef struct net_exchange net_exchange_t;

typedef enum net_method {
	NET_GET,
	NET_POST,
	NET_DELETE,
	NET_METHOD_MAX
} net_method_t;

typedef struct net_header {
	const char *name;
	const char *value;
} net_header_t;

/* Create a loop; from then on, the process ignores SIGPIPE. */
net_loop_t *net_loop_new(const void *ctx);
void net_loop_run(net_loop_t *loop);
void net_loop_stop(net_loop_t *loop);

/* The libevent base, for events other than HTTP. */
struct event_base *net_loop_base(const net_loop_t *loop);

/* Call "work" from the loop, after the current callback has returned. */
void net_defer(net_loop_t *loop, void (*work)(void *arg), void *arg);

/* Call "fired" from the loop each time signal "signo" arrives. */
void net_loop_signal(net_loop_t *loop, int signo,
		     void (*fired)(void *arg, int signo), void *arg);

/* A stopped timer below "ctx"; it is freed with its parent. */
net_timer_t *net_timer_new(const void *ctx, net_loop_t *loop,
			   void (*fired)(void *arg), void *arg);
/* Fire once, "delay" microseconds from now; replaces an earlier start. */
void net_timer_start(net_timer_t *timer, int64_t delay);
void net_timer_stop(net_timer_t *timer);

/* Outcome of a call. */
typedef enum net_outcome {
	NET_ANSWERED, /* the whole response was read */
	NET_UNKNOWN,  /* no whole response: the request may have taken effect */
	NET_UNSENT,   /* the request never left this process */
	NET_OUTCOME_MAX
} net_outcome_t;

typedef struct net_answer {
	net_outcome_t call_outcome;
	int status;	   /* HTTP status; 0 unless NET_ANSWERED */
	base_str_t body;   /* valid during the callback */
	bool is_unreached; /* no connection to the server could be opened */
} net_answer_t;

typedef void net_done_t(void *arg, const net_answer_t *answer);

/*
 * A permission under which a call may be sent.  It is looked at right before
 * the first byte is written, however long the call has waited for a connection
 * and whether or not the process was suspended meanwhile.  "arg" must live as
 * long as the client.
 */
typedef struct net_permit {
	bool (*is_valid)(const void *arg);
	const void *arg;
} net_permit_t;

#define NET_PROGRESS_MAX (60 * BASE_SEC)

typedef struct net_request {
	net_method_t method;
	const char *path;	     /* with its query */
	const net_header_t *headers; /* without "Host", the address is sent */
	size_t n_headers;
	base_str_t body;
	int64_t timeout; /* from net_call() to the whole response */
	/* A response of which more has come within this time is awaited longer
	 * than the timeout, at most for NET_PROGRESS_MAX; 0: it is not. */
	int64_t stall_max;
	const net_permit_t *permit; /* NULL: none is needed; it is copied */
} net_request_t;

typedef struct net_client_options {
	net_loop_t *loop;
	const char *address; /* "IPv4:port" */
	size_t connections;  /* open at most; further calls queue */
	bool urgent;	     /* its answers are handled before other events */
	/* A connection whose other end acknowledges nothing for about this long
	 * is closed, microseconds; for calls that last. 0: only timeouts. */
	int64_t silence_max;
} net_client_options_t;

/*
 * A client of one address.  Freeing it cancels its calls: their callbacks are
 * not called.  A connection whose response is not complete in time is closed.
 */
net_client_t *net_client_new(const void *ctx,
			     const net_client_options_t *options);

/*
 * Send a request.  Its path, header values and body are copied, header names
 * are not.  "done" is called exactly once, never before this returns, unless
 * the call is cancelled first.
 *
 * A call whose timeout has passed or whose permit is not valid any more when it
 * would be written is not sent; its outcome is NET_UNSENT.  What has been
 * written stays in the kernel for at most the timeout (TCP_USER_TIMEOUT), and
 * no longer than the process lives (SO_LINGER).
 */
net_call_t *net_call(net_client_t *client, const net_request_t *request,
		     net_done_t *done, void *arg);

/* Cancel a call: its callback is not called, its connection is closed. */
void net_call_cancel(net_call_t *call);

/*
 * Connections opened, requests sent, and calls dropped before they were sent so
 * far by all clients of the loop.
 */
uint64_t net_loop_connections(const net_loop_t *loop);
uint64_t net_loop_calls(const net_loop_t *loop);
uint64_t net_loop_calls_dropped(const net_loop_t *loop);

typedef void net_handler_t(void *arg, net_exchange_t *exchange);

/* Listen on "address" and pass each complete request to "handler". */
net_server_t *net_server_new(const void *ctx, net_loop_t *loop,
			     const char *address, net_handler_t *handler,
			     void *arg, GError **err);

net_method_t net_exchange_method(const net_exchange_t *exchange);
/* The path with its query. */
const char *net_exchange_path(const net_exchange_t *exchange);
/* NULL where the header is missing. */
const char *net_exchange_header(const net_exchange_t *exchange,
				const char *name);
base_str_t net_exchange_body(const net_exchange_t *exchange);

/*
 * Send the response and free the exchange.  Must be called exactly once, at
 * any time after the handler was called.  That the client has disconnected is
 * no error.
 */
void net_reply(net_exchange_t *exchange, int status,
	       const net_header_t *headers, size_t n_headers, base_str_t body);

/*
 * Stops listening.  Open connections are served on; each is closed after its
 * next reply.
 */
void net_server_close(net_server_t *server);

/* Number of requests that are not answered yet. */
size_t net_server_pending(const net_server_t *server);

/*
 * Connections accepted, requests received and replies given so far.  A
 * connection is read, and a reply is written, in a later round of the loop.
 */
uint64_t net_server_activity(const net_server_t *server);

/*
 * Splits "IPv4:port".  Names are not accepted, since looking one up would block
 * the loop.  Returns false, and sets nothing, if "address" is anything else or
 * NULL; "host" becomes a child of "ctx".
 */
bool net_address_split(const void *ctx, const char *address, char **host,
		       uint16_t *port);

#endif
