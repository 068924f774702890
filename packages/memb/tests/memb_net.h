/*
 * memb_net - simulated network of entries in memory and virtual time, for the
 * property tests and the bench.
 *
 * A message takes "delay_ms" to twice that, is lost or duplicated with the
 * given probabilities and may overtake others. A pull takes two messages.
 */
#ifndef MEMB_NET_H
#define MEMB_NET_H

#include <string.h>

#include "memb.h"

#define NET_NODES_MAX 256
#define NET_ZONES_MAX 8
#define NET_SLOTS 4096 /* limit of a message's delay, milliseconds */
#define NET_TICK_MS 100

typedef struct net net_t;

typedef struct net_node {
	net_t *net;
	uint32_t index;
	uint32_t zone;
	memb_t *memb; /* NULL: not running */
	bool paused;
	bool left;
	uint64_t starts;
	uint64_t generation; /* latest generation in force since the start */
	uint64_t stale_generations; /* configurations accepted but not newer */
	uint64_t events[MEMB_EVENT_MAX];
	int64_t in_force; /* when "generation" took effect, microseconds */
	uint64_t bytes_out, msgs_out;
} net_node_t;

typedef struct net_item {
	struct net_item *next;
	uint32_t from, to;
	uint64_t pull;	     /* generation that a pull delivers; 0: a message */
	uint64_t pull_start; /* "starts" of the receiver when it pulled */
	memb_msg_t msg;
} net_item_t;

struct net {
	net_node_t nodes[NET_NODES_MAX];
	uint32_t n, zones;
	int64_t now_ms;
	base_rng_t rng;
	double loss, duplicate_rate;
	uint32_t delay_ms;
	bool cut[NET_ZONES_MAX][NET_ZONES_MAX];
	net_item_t *slots[NET_SLOTS];
	size_t (*size_of)(const memb_msg_t *msg); /* may be NULL */
};

static inline int64_t net_now(const net_t *net)
{
	return (net->now_ms + 1000) * BASE_MS;
}

static inline uint64_t net_digest(uint64_t generation)
{
	return generation * 7919;
}

static inline void net_enqueue(net_t *net, net_item_t item, uint32_t trips)
{
	uint32_t ms = 0;
	net_item_t *copy;

	if (net->cut[net->nodes[item.from].zone][net->nodes[item.to].zone])
		return;
	for (uint32_t i = 0; i < trips; i++)
		ms += net->delay_ms +
		      base_rng_below(&net->rng, net->delay_ms + 1);
	copy = g_new(net_item_t, 1);
	*copy = item;
	copy->next = net->slots[(net->now_ms + ms) % NET_SLOTS];
	net->slots[(net->now_ms + ms) % NET_SLOTS] = copy;
}

static inline void net_send(void *arg, memb_addr_t to, const char *zone,
			    const memb_msg_t *msg)
{
	net_node_t *node = (net_node_t *)arg;
	net_t *net = node->net;
	net_item_t item = {};

	(void)zone;
	node->msgs_out++;
	if (net->size_of)
		node->bytes_out += net->size_of(msg);
	item.from = node->index;
	item.to = to.ip - 1;
	item.msg = *msg;
	if (item.to >= net->n || base_rng_unit(&net->rng) < net->loss)
		return;
	net_enqueue(net, item, 1);
	if (base_rng_unit(&net->rng) < net->duplicate_rate)
		net_enqueue(net, item, 3);
}

static inline void net_pull(void *arg, const memb_record_t *from,
			    uint64_t generation, uint64_t digest)
{
	net_node_t *node = (net_node_t *)arg;
	uint32_t at = MIN(from->addr.ip - 1, node->net->n - 1);
	net_node_t *source = &node->net->nodes[at];
	net_item_t item = {};

	(void)digest;
	item.from = source->index;
	item.to = node->index;
	item.pull = generation;
	item.pull_start = node->starts;
	if (source->memb && !source->paused &&
	    memb_generation(source->memb) == generation &&
	    base_rng_unit(&node->net->rng) >= node->net->loss)
		net_enqueue(node->net, item, 2);
}

static inline void net_event(void *arg, memb_event_t event,
			     const memb_record_t *rec)
{
	net_node_t *node = (net_node_t *)arg;

	(void)rec;
	node->events[event]++;
}

static inline void net_publish(net_t *net, uint32_t i, uint64_t generation)
{
	net_node_t *node = &net->nodes[i];

	if (!memb_set_config(node->memb, net_now(net), generation,
			     net_digest(generation), net_now(net)))
		return;
	if (generation <= node->generation)
		node->stale_generations++;
	node->generation = generation;
	node->in_force = net_now(net);
}

static inline void net_start(net_t *net, uint32_t i)
{
	net_node_t *node = &net->nodes[i];
	memb_opts_t opts = {};
	char id[32], zone[32];

	snprintf(id, sizeof(id), "entry-%03u", i);
	snprintf(zone, sizeof(zone), "zone-%u", i % net->zones);
	node->net = net;
	node->index = i;
	node->zone = i % net->zones;
	node->paused = node->left = false;
	node->generation = 0;
	node->starts++;
	opts.id = id;
	opts.zone = zone;
	opts.addr.ip = i + 1;
	opts.addr.port = 7;
	opts.incarnation = 1000 + node->starts;
	opts.seed = base_rng_next(&net->rng);
	opts.ops.send = net_send;
	opts.ops.pull = net_pull;
	opts.ops.event = net_event;
	opts.arg = node;
	node->memb = memb_new(NULL, &opts);
	for (uint32_t s = 0; s < net->n && s < 6; s++)
		memb_add_seed(node->memb, (memb_addr_t){ s + 1, 7 });
}

static inline void net_kill(net_t *net, uint32_t i)
{
	TALLOC_FREE(net->nodes[i].memb);
}

static inline void net_deliver(net_t *net, const net_item_t *item)
{
	net_node_t *node = &net->nodes[item->to];

	if (!node->memb)
		return;
	if (node->paused) {
		/* The message waits in the socket of the paused process. */
		net_item_t *copy = (net_item_t *)g_memdup2(item, sizeof(*item));
		uint32_t at = (net->now_ms + 20) % NET_SLOTS;

		copy->next = net->slots[at];
		net->slots[at] = copy;
		return;
	}
	if (!item->pull)
		memb_receive(node->memb, net_now(net), &item->msg);
	else if (item->pull_start == node->starts)
		net_publish(net, item->to, item->pull);
}

/* Advances virtual time by one millisecond. */
static inline void net_step(net_t *net)
{
	net_item_t *item = net->slots[net->now_ms % NET_SLOTS];

	net->slots[net->now_ms % NET_SLOTS] = NULL;
	while (item) {
		net_item_t *next = item->next;

		net_deliver(net, item);
		g_free(item);
		item = next;
	}
	net->now_ms++;
	for (uint32_t i = net->now_ms % NET_TICK_MS; i < net->n;
	     i += NET_TICK_MS)
		if (net->nodes[i].memb && !net->nodes[i].paused)
			memb_tick(net->nodes[i].memb, net_now(net));
}

static inline void net_run(net_t *net, int64_t ms)
{
	while (ms-- > 0)
		net_step(net);
}

static inline net_t *net_new(uint32_t n, uint32_t zones, uint64_t seed)
{
	net_t *net = g_new0(net_t, 1);

	net->n = n;
	net->zones = zones;
	net->delay_ms = 1;
	net->rng.state = seed;
	for (uint32_t i = 0; i < n; i++)
		net_start(net, i);
	return net;
}

static inline void net_free(net_t *net)
{
	for (uint32_t i = 0; i < net->n; i++)
		net_kill(net, i);
	for (uint32_t i = 0; i < NET_SLOTS; i++)
		while (net->slots[i]) {
			net_item_t *next = net->slots[i]->next;

			g_free(net->slots[i]);
			net->slots[i] = next;
		}
	g_free(net);
}

/* Whether entry "i" considers entry "j" alive. */
static inline bool net_sees_alive(const net_t *net, uint32_t i, uint32_t j)
{
	char id[32];
	const memb_record_t *rec;

	snprintf(id, sizeof(id), "entry-%03u", j);
	rec = memb_find(net->nodes[i].memb, id);
	return rec && rec->state == MEMB_ALIVE;
}

#endif
