#include <arpa/inet.h>
#include <errno.h>
#include <event2/event_struct.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "net_int.h"

BASE_ERROR_DOMAIN(net)

/* Usual events that are handled before the loop looks for urgent ones. */
#define USUAL_EVENTS_MAX 16

struct net_timer {
	struct event event; /* within the timer: there is one for each call */
	void (*fired)(void *arg);
	void *arg;
};

typedef struct net_signal {
	struct event *event;
	void (*fired)(void *arg, int signo);
	void *arg;
} net_signal_t;

typedef struct net_deferred {
	void (*work)(void *arg);
	void *arg;
} net_deferred_t;

static int loop_free(net_loop_t *loop)
{
	/*
	 * Destructors of the children use the loop and may defer work to it.
	 * The loop runs once more to do that work before the base is freed.
	 */
	talloc_free_children(loop);
	event_base_loop(loop->base, EVLOOP_NONBLOCK);
	talloc_free_children(loop);
	event_base_free(loop->base);
	return 0;
}

/* The process cannot go on, and has no log yet. */
static void give_up(const char *why)
{
	fprintf(stderr, "no event loop: %s\n", why);
	abort();
}

net_loop_t *net_loop_new(const void *ctx)
{
	net_loop_t *loop = talloc_zero(ctx, net_loop_t);
	struct event_config *config = event_config_new();

	signal(SIGPIPE, SIG_IGN);
	if (!config)
		give_up("no memory");
	/* A connection's changes in one round of the loop, most of which cancel
	 * out, make one system call; no descriptor is duplicated. */
	event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	event_config_set_max_dispatch_interval(config, NULL, USUAL_EVENTS_MAX,
					       NET_PRIORITY_USUAL);
	loop->base = event_base_new_with_config(config);
	event_config_free(config);
	if (!loop->base)
		give_up(g_strerror(errno));
	event_base_priority_init(loop->base, NET_PRIORITY_MAX);
	talloc_set_destructor(loop, loop_free);
	return loop;
}

struct event_base *net_loop_base(const net_loop_t *loop)
{
	return loop->base;
}

void net_loop_run(net_loop_t *loop)
{
	event_base_dispatch(loop->base);
}

void net_loop_stop(net_loop_t *loop)
{
	event_base_loopbreak(loop->base);
}

static void on_signal(evutil_socket_t signo, short what, void *arg)
{
	net_signal_t *sig = arg;

	(void)what;
	sig->fired(sig->arg, (int)signo);
}

static int signal_free(net_signal_t *sig)
{
	event_free(sig->event);
	return 0;
}

void net_loop_signal(net_loop_t *loop, int signo,
		     void (*fired)(void *arg, int signo), void *arg)
{
	net_signal_t *sig = talloc_zero(loop, net_signal_t);

	sig->fired = fired;
	sig->arg = arg;
	sig->event = evsignal_new(loop->base, signo, on_signal, sig);
	event_add(sig->event, NULL);
	talloc_set_destructor(sig, signal_free);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	net_timer_t *timer = arg;

	(void)fd;
	(void)what;
	timer->fired(timer->arg);
}

static int timer_free(net_timer_t *timer)
{
	event_del(&timer->event);
	return 0;
}

net_timer_t *net_timer_new(const void *ctx, net_loop_t *loop,
			   void (*fired)(void *arg), void *arg)
{
	net_timer_t *timer = talloc_zero(ctx, net_timer_t);

	timer->fired = fired;
	timer->arg = arg;
	evtimer_assign(&timer->event, loop->base, on_timer, timer);
	talloc_set_destructor(timer, timer_free);
	return timer;
}

void net_timer_start(net_timer_t *timer, int64_t delay)
{
	struct timeval tv;

	if (delay < 0)
		delay = 0;
	tv.tv_sec = delay / BASE_SEC;
	tv.tv_usec = delay % BASE_SEC;
	evtimer_add(&timer->event, &tv);
}

void net_timer_stop(net_timer_t *timer)
{
	evtimer_del(&timer->event);
}

static void run_deferred(evutil_socket_t fd, short what, void *arg)
{
	net_deferred_t *deferred = arg;

	(void)fd;
	(void)what;
	deferred->work(deferred->arg);
	talloc_free(deferred);
}

void net_defer(net_loop_t *loop, void (*work)(void *arg), void *arg)
{
	net_deferred_t *deferred = talloc(NULL, net_deferred_t);
	struct timeval now = { 0, 0 };

	deferred->work = work;
	deferred->arg = arg;
	event_base_once(loop->base, -1, EV_TIMEOUT, run_deferred, deferred,
			&now);
}

bool net_address_split(const void *ctx, const char *address, char **host,
		       uint16_t *port)
{
	const char *colon = address ? strrchr(address, ':') : NULL;
	char digits[INET_ADDRSTRLEN];
	struct in_addr ignored;
	uint64_t number;

	if (!colon || (size_t)(colon - address) >= sizeof(digits))
		return false;
	/* Unlike strtoul(), this accepts no sign and no space. */
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &number,
					NULL))
		return false;
	g_strlcpy(digits, address, (size_t)(colon - address) + 1);
	/* A name would be looked up, which blocks the loop. */
	if (inet_pton(AF_INET, digits, &ignored) != 1)
		return false;
	*host = talloc_strdup(ctx, digits);
	*port = (uint16_t)number;
	return true;
}

uint64_t net_loop_connections(const net_loop_t *loop)
{
	return loop->connections;
}

uint64_t net_loop_calls(const net_loop_t *loop)
{
	return loop->calls;
}

uint64_t net_loop_calls_dropped(const net_loop_t *loop)
{
	return loop->calls_dropped;
}
