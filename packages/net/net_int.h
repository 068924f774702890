/*
 * net_int - what the files of this package share.
 */
#ifndef NET_INT_H
#define NET_INT_H

#include <event2/event.h>
#include <event2/http.h>

#include "net.h"

/* Bytes; four times the store's largest value. */
#define NET_BODY_MAX (4 << 20)
#define NET_HEADERS_MAX 16384 /* bytes of a request's headers */

struct net_loop {
	struct event_base *base;
	uint64_t connections;
	uint64_t calls;
};

/* Split "IPv4:port"; the host goes below "ctx". */
bool net_address_split(const void *ctx, const char *address, char **host,
		       uint16_t *port);

#endif
