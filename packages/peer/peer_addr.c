#include <arpa/inet.h>
#include <stdlib.h>

#include "peer_int.h"

bool peer_addr_parse(const char *text, peer_addr_t *addr)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	struct in_addr ip;
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (inet_pton(AF_INET, host, &ip) != 1 || end == colon + 1 || *end ||
	    port < 1 || port > UINT16_MAX)
		return false;
	addr->ip = ntohl(ip.s_addr);
	addr->port = (uint16_t)port;
	return true;
}

void peer_addr_format(peer_addr_t addr, char text[PEER_ADDR_LEN])
{
	snprintf(text, PEER_ADDR_LEN, "%u.%u.%u.%u:%u", addr.ip >> 24,
		 addr.ip >> 16 & 0xff, addr.ip >> 8 & 0xff, addr.ip & 0xff,
		 (unsigned int)addr.port);
}

bool peer_addr_eq(peer_addr_t a, peer_addr_t b)
{
	return a.ip == b.ip && a.port == b.port;
}

void peer_addr_sockaddr(peer_addr_t addr, struct sockaddr_in *sin)
{
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_addr.s_addr = htonl(addr.ip);
	sin->sin_port = htons(addr.port);
}

void peer_wire_addr_set(peer_wire_addr *wire, peer_addr_t addr)
{
	wire->ip = addr.ip;
	wire->port = addr.port;
}

bool peer_wire_addr_eq(const peer_wire_addr *wire, peer_addr_t addr)
{
	return wire->ip == addr.ip && wire->port == addr.port;
}
