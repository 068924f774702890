/*
 * Membership and configuration rollout over an in-memory network, in virtual
 * time, with the actual encoded sizes.  Prints JSON lines.
 */
#include "../packages/memb/tests/memb_net.h"
#include "peer_memb.h"

#define LOSS 0.01
/* Ten times as long above 64 nodes, whose joins are gossiped for longer. */
#define WARMUP_MS 30000
#define STEADY_MS 120000
#define CHANGE_EVERY_MS 14000 /* about 6,100 changes a day */
#define CHANGES 30
#define DEATHS 10
#define SAMPLES_MAX (CHANGES * NET_NODES_MAX)

typedef struct samples {
	double ms[SAMPLES_MAX];
	size_t n;
} samples_t;

static size_t size_of(const memb_msg_t *msg)
{
	return peer_gossip_size(msg) + PEER_GOSSIP_OVERHEAD;
}

static net_t *new_warm_net(uint32_t n)
{
	net_t *net = net_new(n, n <= 16 ? 3 : 8, 20261204);

	net->size_of = size_of;
	net->loss = LOSS;
	net_run(net, n <= 64 ? WARMUP_MS : 10 * WARMUP_MS);
	return net;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print_samples(const char *name, uint32_t nodes, samples_t *s)
{
	qsort(s->ms, s->n, sizeof(s->ms[0]), compare_doubles);
	printf("{\"bench\":\"%s\",\"entries\":%u,\"samples\":%zu,"
	       "\"p50_ms\":%.0f,\"p99_ms\":%.0f,\"max_ms\":%.0f}\n",
	       name, nodes, s->n, s->ms[s->n / 2], s->ms[s->n * 99 / 100],
	       s->ms[s->n - 1]);
}

/* Bytes and messages sent per node and second; as many are received. */
static void bench_bytes(uint32_t n, bool changes)
{
	net_t *net = new_warm_net(n);
	uint64_t bytes = 0, msgs = 0, generation = 0;

	for (uint32_t i = 0; i < n; i++)
		net->nodes[i].bytes_out = net->nodes[i].msgs_out = 0;
	for (int64_t ms = 0; ms < STEADY_MS; ms += CHANGE_EVERY_MS) {
		if (changes)
			net_publish(net, (uint32_t)(generation % n),
				    generation + 1);
		generation++;
		net_run(net, CHANGE_EVERY_MS);
	}
	for (uint32_t i = 0; i < n; i++) {
		bytes += net->nodes[i].bytes_out;
		msgs += net->nodes[i].msgs_out;
	}
	printf("{\"bench\":\"%s\",\"entries\":%u,\"bytes_out_s\":%.0f,"
	       "\"messages_out_s\":%.2f}\n",
	       changes ? "memb-bytes-changes" : "memb-bytes", n,
	       (double)bytes * 1000 / n /
		       (double)(generation * CHANGE_EVERY_MS),
	       (double)msgs * 1000 / n /
		       (double)(generation * CHANGE_EVERY_MS));
	net_free(net);
}

static bool all_have(const net_t *net, uint64_t generation)
{
	for (uint32_t i = 0; i < net->n; i++)
		if (net->nodes[i].generation < generation)
			return false;
	return true;
}

/* Time for a configuration to reach all entries, through peers alone. */
static void bench_spread(uint32_t n)
{
	net_t *net = new_warm_net(n);
	samples_t *each = g_new0(samples_t, 1), *last = g_new0(samples_t, 1);

	for (uint64_t g = 1; g <= CHANGES; g++) {
		int64_t begin = net_now(net), until = begin;

		net_publish(net, base_rng_below(&net->rng, n), g);
		while (!all_have(net, g))
			net_step(net);
		for (uint32_t i = 0; i < n; i++) {
			int64_t at = net->nodes[i].in_force;

			each->ms[each->n++] = (double)(at - begin) / BASE_MS;
			until = MAX(until, at);
		}
		last->ms[last->n++] = (double)(until - begin) / BASE_MS;
		net_run(net, 5000);
	}
	print_samples("memb-spread-each", n, each);
	print_samples("memb-spread-all", n, last);
	g_free(each);
	g_free(last);
	net_free(net);
}

static uint32_t count_not_dead(const net_t *net, uint32_t dead)
{
	uint32_t count = 0;
	char id[32];

	snprintf(id, sizeof(id), "entry-%03u", dead);
	for (uint32_t i = 0; i < net->n; i++) {
		const memb_record_t *rec;

		if (i == dead)
			continue;
		rec = memb_find(net->nodes[i].memb, id);
		count += rec && (rec->state == MEMB_ALIVE ||
				 rec->state == MEMB_SUSPECT);
	}
	return count;
}

static void bench_death(uint32_t n)
{
	net_t *net = new_warm_net(n);
	samples_t *first = g_new0(samples_t, 1), *all = g_new0(samples_t, 1);

	for (int d = 0; d < DEATHS; d++) {
		uint32_t dead = base_rng_below(&net->rng, n);
		int64_t begin = net_now(net);
		uint32_t left = n - 1;

		net_kill(net, dead);
		while (left) {
			uint32_t was = left;

			net_run(net, 10);
			left = count_not_dead(net, dead);
			if (was == n - 1 && left < was)
				first->ms[first->n++] =
					(double)(net_now(net) - begin) /
					BASE_MS;
		}
		all->ms[all->n++] = (double)(net_now(net) - begin) / BASE_MS;
		net_start(net, dead);
		net_run(net, 30000);
	}
	print_samples("memb-death-first", n, first);
	print_samples("memb-death-all", n, all);
	g_free(first);
	g_free(all);
	net_free(net);
}

static void bench_false(uint32_t n)
{
	net_t *net = new_warm_net(n);
	int64_t minutes = n <= 64 ? 60 : 10;
	uint64_t baseline[MEMB_EVENT_MAX] = { 0 },
		 events[MEMB_EVENT_MAX] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		for (int e = 0; e < MEMB_EVENT_MAX; e++)
			baseline[e] += net->nodes[i].events[e];
	net_run(net, minutes * 60000);
	for (uint32_t i = 0; i < n; i++)
		for (int e = 0; e < MEMB_EVENT_MAX; e++)
			events[e] += net->nodes[i].events[e];
	printf("{\"bench\":\"memb-false\",\"entries\":%u,\"minutes\":%lld,"
	       "\"loss\":%.2f,\"suspected\":%llu,\"given_up\":%llu}\n",
	       n, (long long)minutes, LOSS,
	       (unsigned long long)(events[MEMB_SUSPECTED] -
				    baseline[MEMB_SUSPECTED]),
	       (unsigned long long)(events[MEMB_DIED] - baseline[MEMB_DIED]));
	net_free(net);
}

int main(void)
{
	static const uint32_t sizes[] = { 3, 8, 16, 32, 64, 256 };

	for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
		bench_bytes(sizes[i], false);
		bench_bytes(sizes[i], true);
		bench_spread(sizes[i]);
		bench_death(sizes[i]);
		bench_false(sizes[i]);
	}
	return 0;
}
