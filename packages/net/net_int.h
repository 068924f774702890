/*
 * net_int - declarations private to this package.
 */
#ifndef NET_INT_H
#define NET_INT_H

#include <event2/event.h>
#include <event2/http.h>

#include "net.h"

/* Largest body in bytes; four times the largest value of the store. */
#define NET_BODY_MAX (4 << 20)
#define NET_HEADERS_MAX 16384 /* bytes of a request's headers */

/* Priorities of events, the first one first. */
enum { NET_PRIORITY_URGENT, NET_PRIORITY_USUAL, NET_PRIORITY_MAX };

struct net_loop {
	struct event_base *base;
	uint64_t connections;
	uint64_t calls;
	uint64_t calls_dropped;
};

#endif
