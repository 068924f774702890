/*
 * net - one event loop with HTTP/1.1 on both sides of it (libevent).
 *
 * Everything runs on the thread that calls net_loop_run().  Callbacks may
 * make and end calls, clients and timers; what they free is freed after they
 * return.  Times are microseconds.
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

/* A loop; SIGPIPE is ignored from here on. */
net_loop_t *net_loop_new(const void *ctx);
void net_loop_run(net_loop_t *loop);
void net_loop_stop(net_loop_t *loop);

/* Its base, for what is not HTTP. */
struct event_base *net_loop_base(const net_loop_t *loop);

/* Run "work" from the loop, after the present callback. */
void net_later(net_loop_t *loop, void (*work)(void *arg), void *arg);

/* Have "fired" called on the loop at each "signo". */
void net_loop_signal(net_loop_t *loop, int signo,
		     void (*fired)(void *arg, int signo), void *arg);

/* A timer below "ctx", not running; ends with its parent. */
net_timer_t *net_timer_new(const void *ctx, net_loop_t *loop,
			   void (*fired)(void *arg), void *arg);
/* Fire once, "delay" microseconds from now; replaces an earlier time. */
void net_timer_start(net_timer_t *timer, int64_t delay);
void net_timer_stop(net_timer_t *timer);

/* What became of a call. */
typedef enum net_fate {
	NET_ANSWERED, /* whole answer read */
	NET_UNKNOWN,  /* no whole answer: it may have been carried out */
	NET_UNSENT,   /* it never left this process */
	NET_FATE_MAX
} net_fate_t;

typedef struct net_answer {
	net_fate_t fate;
	int status;	 /* 0 unless answered */
	base_str_t body; /* valid during the callback */
} net_answer_t;

typedef void net_done_t(void *arg, const net_answer_t *answer);

typedef struct net_request {
	net_method_t method;
	const char *path;	     /* with its query */
	const net_header_t *headers; /* "Host" is the address if not said */
	size_t n_headers;
	base_str_t body;
	int64_t timeout; /* from the call to the whole answer */
} net_request_t;

typedef struct net_client_options {
	net_loop_t *loop;
	const char *address; /* "IPv4:port" */
	size_t connections;  /* kept at most; further calls wait in order */
} net_client_options_t;

/*
 * A client of one address.  Freeing it ends its calls without their
 * callbacks.  A connection whose answer did not come in time is closed.
 */
net_client_t *net_client_new(const void *ctx,
			     const net_client_options_t *options);

/*
 * Send a request; the text and body are copied.  "done" is called exactly
 * once, never before this returns, unless the call is ended first.
 */
net_call_t *net_call(net_client_t *client, const net_request_t *request,
		     net_done_t *done, void *arg);

/* End a call: its callback is not called, its connection is closed. */
void net_call_end(net_call_t *call);

/* Connections opened by all clients of the loop, and calls made. */
uint64_t net_loop_connections(const net_loop_t *loop);
uint64_t net_loop_calls(const net_loop_t *loop);

typedef void net_handler_t(void *arg, net_exchange_t *exchange);

/* Listen on "address" and hand each whole request to "handler". */
net_server_t *net_server_new(const void *ctx, net_loop_t *loop,
			     const char *address, net_handler_t *handler,
			     void *arg, GError **err);

net_method_t net_exchange_method(const net_exchange_t *exchange);
/* Path with its query. */
const char *net_exchange_path(const net_exchange_t *exchange);
/* NULL where the header is missing. */
const char *net_exchange_header(const net_exchange_t *exchange,
				const char *name);
base_str_t net_exchange_body(const net_exchange_t *exchange);

/*
 * Answer, at any time after the handler was called, exactly once; the
 * exchange is gone then.  A caller that has left is no error.
 */
void net_reply(net_exchange_t *exchange, int status,
	       const net_header_t *headers, size_t n_headers, base_str_t body);

/* How many requests wait for their answer. */
size_t net_server_open(const net_server_t *server);

#endif
