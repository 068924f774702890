#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

#include "peer.h"
#include "peer_int.h"

#define WAIT (5 * BASE_SEC) /* for what is expected to come */
#define THREADS 8
#define CALLS 200 /* by each thread */

static const base_log_t quiet = { .fd = 2, .level = BASE_ERROR };
static _Atomic int gossips;

static peer_addr_t addr_of(uint16_t port)
{
	/* Of this process alone: other runs may go on beside it. */
	return (peer_addr_t){ 0x7f010000 + (uint32_t)getpid() % 0xffff00,
			      port };
}

static peer_t *make(const char *id, uint16_t port, uint64_t life,
		    const char *key)
{
	peer_opts_t opts = { .id = id,
			     .zone = id[0] == 'a' ? "zone-a" : "zone-b",
			     .addr = addr_of(port),
			     .life = life,
			     .key = base_str(key),
			     .log = &quiet };
	GError *err = NULL;
	peer_t *peer = peer_new(NULL, &opts, &err);

	g_assert_no_error(err);
	return peer;
}

/* Answers with as many bytes as the offset names. */
static bool answer_config(void *arg, const peer_from_t *from, const void *args,
			  void *res)
{
	const peer_config_get *get = args;
	peer_config_part *part = res;

	(void)arg;
	(void)from;
	if (get->offset > PEER_CHUNK_MAX)
		return false;
	part->generation = get->generation + 1;
	part->data.data_len = get->offset;
	part->data.data_val = malloc(get->offset + 1);
	memset(part->data.data_val, 'x', get->offset);
	return true;
}

static bool take_gossip(void *arg, const peer_from_t *from, const void *args,
			void *res)
{
	(void)arg;
	(void)from;
	(void)args;
	(void)res;
	gossips++;
	return true;
}

static peer_t *serve(uint16_t port, uint64_t life)
{
	peer_t *peer = make("a-1", port, life, "0123456789abcdef");
	GError *err = NULL;

	peer_handle(peer, PEER_CONFIG, answer_config, NULL);
	peer_handle(peer, PEER_GOSSIP, take_gossip, NULL);
	peer_serve(peer, &err);
	g_assert_no_error(err);
	return peer;
}

static peer_outcome_t ask(peer_t *peer, uint16_t port, uint32_t bytes,
			  int64_t wait)
{
	peer_to_t to = { .addr = addr_of(port), .zone = "zone-a" };
	peer_config_get get = { .generation = 41, .offset = bytes };
	peer_config_part part;
	peer_outcome_t outcome =
		peer_call(peer, &to, PEER_CONFIG, &get, &part, wait);

	if (outcome == PEER_ANSWERED) {
		g_assert_cmpuint(part.generation, ==, 42);
		g_assert_cmpuint(part.data.data_len, ==, bytes);
	}
	peer_free_res(PEER_CONFIG, &part);
	return outcome;
}

static void test_call(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");

	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_ANSWERED);
	g_assert_cmpint(ask(client, 21001, PEER_CHUNK_MAX, WAIT), ==,
			PEER_ANSWERED);
	/* A handler's refusal is known not to have run. */
	g_assert_cmpint(ask(client, 21001, PEER_CHUNK_MAX + 1, WAIT), ==,
			PEER_NOT_SENT);
	g_assert_cmpint(ask(client, 21009, 10, WAIT), ==, PEER_NOT_SENT);
	/* The first call named no life, and was told it. */
	g_assert_cmpuint(peer_stats(server).refused_life, ==, 1);
	talloc_free(client);
	talloc_free(server);
}

static void test_restart(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");
	peer_t *older;

	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_ANSWERED);
	talloc_free(server);
	server = serve(21001, 1001);
	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_ANSWERED);
	talloc_free(client);
	/* A clock that went back: the life is raised above the last one. */
	older = make("b-1", 21002, 500, "0123456789abcdef");
	g_assert_cmpint(ask(older, 21001, 10, WAIT), ==, PEER_ANSWERED);
	g_assert_cmpuint(peer_life_of(older), >, 1000);
	talloc_free(older);
	talloc_free(server);
}

static void test_key_and_cut(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *wrong = make("b-2", 21003, 1000, "0123456789abcdeX");
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");

	g_assert_cmpint(ask(wrong, 21001, 10, 200 * BASE_MS), ==, PEER_UNKNOWN);
	g_assert_cmpuint(peer_stats(server).refused_mac, ==, 1);
	g_assert_cmpuint(peer_stats(server).calls_in, ==, 0);
	peer_cut(client, "zone-a", true);
	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_NOT_SENT);
	peer_cut(client, "zone-a", false);
	peer_cut(server, "zone-b", true);
	g_assert_cmpint(ask(client, 21001, 10, 200 * BASE_MS), ==,
			PEER_UNKNOWN);
	peer_cut(server, "zone-b", false);
	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_ANSWERED);
	talloc_free(wrong);
	talloc_free(client);
	talloc_free(server);
}

/* Send "sealed" as it is and wait until the server has looked at it. */
static void send_raw(peer_t *client, peer_t *server, peer_sealed *sealed)
{
	uint64_t seen = peer_stats(server).bytes_in;

	g_assert_true(peer_pool_send(client->pool, server->addr, sealed));
	while (peer_stats(server).bytes_in == seen)
		base_clock_sleep(BASE_MS);
	base_clock_sleep(5 * BASE_MS);
}

static void seal_gossip(peer_t *client, peer_t *server, peer_sealed *sealed)
{
	peer_call_head head = { .proc = PEER_GOSSIP,
				.from = "b-1",
				.zone = "zone-b",
				.from_life = 1000,
				.to_life = 1000,
				.seq = 7 };
	peer_gossip gossip = { .target = "x" };

	peer_wire_addr_set(&head.from_addr, client->addr);
	peer_wire_addr_set(&head.to_addr, server->addr);
	g_assert_true(peer_seal(client, sealed, (xdrproc_t)xdr_peer_call_head,
				&head, (xdrproc_t)xdr_peer_gossip, &gossip));
}

/* What one counts out the other counts in; all of it in PEER_CONFIG. */
static void check_flows(const peer_stats_t *here, const peer_stats_t *there,
			uint64_t messages)
{
	for (int i = 0; i < PEER_PROC_MAX; i++)
		for (int way = 0; way < PEER_WAY_MAX; way++) {
			const peer_flow_t *flow = &here->flows[i][way];
			const peer_flow_t *back = &there->flows[i][!way];

			g_assert_cmpuint(flow->messages, ==, back->messages);
			g_assert_cmpuint(flow->bytes, ==, back->bytes);
			g_assert_cmpuint(flow->messages, ==,
					 i == PEER_CONFIG ? messages : 0);
		}
}

/* Both ends count the same, replies too. */
static void test_flows(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");
	peer_stats_t here, there;

	g_assert_cmpint(ask(client, 21001, 1000, WAIT), ==, PEER_ANSWERED);
	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_ANSWERED);
	here = peer_stats(client);
	there = peer_stats(server);
	/* The first call is refused: its life was unknown. */
	check_flows(&here, &there, 3);
	g_assert_cmpuint(here.bytes_in, ==,
			 here.flows[PEER_CONFIG][PEER_IN].bytes);
	g_assert_cmpuint(here.bytes_in, >, 1010);
	talloc_free(client);
	talloc_free(server);
}

static void test_replay(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");
	peer_sealed sealed;

	seal_gossip(client, server, &sealed);
	gossips = 0;
	send_raw(client, server, &sealed);
	send_raw(client, server, &sealed);
	g_assert_cmpint(gossips, ==, 1);
	g_assert_cmpuint(peer_stats(server).refused_replay, ==, 1);
	/* The same to the next life of the server. */
	talloc_free(server);
	server = serve(21001, 1001);
	send_raw(client, server, &sealed);
	g_assert_cmpint(gossips, ==, 1);
	g_assert_cmpuint(peer_stats(server).refused_life, ==, 1);
	/* Changed on the way. */
	sealed.body.body_val[sealed.body.body_len - 1] ^= 1;
	send_raw(client, server, &sealed);
	g_assert_cmpint(gossips, ==, 1);
	g_assert_cmpuint(peer_stats(server).refused_mac, ==, 1);
	peer_unseal(&sealed);
	talloc_free(client);
	talloc_free(server);
}

/* A key holder that sends nonsense does no harm either. */
static void test_nonsense(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");
	base_rng_t rng = { 20261204 };
	peer_sealed sealed;

	for (int i = 0; i < 300; i++) {
		seal_gossip(client, server, &sealed);
		for (uint32_t n = base_rng_below(&rng, 6) + 1; n; n--)
			sealed.body.body_val[base_rng_below(
				&rng, sealed.body.body_len)] =
				(char)base_rng_next(&rng);
		peer_reseal(client, &sealed);
		peer_pool_send(client->pool, server->addr, &sealed);
		peer_unseal(&sealed);
		base_clock_sleep(BASE_MS / 2);
	}
	g_assert_cmpint(ask(client, 21001, 10, WAIT), ==, PEER_ANSWERED);
	talloc_free(client);
	talloc_free(server);
}

static void test_window(void)
{
	static const struct {
		uint64_t life, seq;
		peer_wire_status status;
	} rows[] = {
		{ 5, 10, PEER_WIRE_DONE },
		{ 5, 9, PEER_WIRE_DONE },
		{ 5, 9, PEER_WIRE_REPLAY },
		{ 5, 2000, PEER_WIRE_DONE },
		{ 5, 10, PEER_WIRE_REPLAY },
		/* Its bit is that of 10, which has left the window. */
		{ 5, 1034, PEER_WIRE_DONE },
		{ 5, 1034, PEER_WIRE_REPLAY },
		{ 4, 3000, PEER_WIRE_STALE },
		{ 6, 10, PEER_WIRE_DONE },
	};
	peer_seen_t *seen = peer_seen_new(NULL);
	uint64_t latest;

	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		g_assert_cmpint(peer_seen_check(seen, "x", rows[i].life,
						rows[i].seq, &latest),
				==, rows[i].status);
	g_assert_cmpuint(latest, ==, 5);
	talloc_free(seen);
}

static void *call_many(void *arg)
{
	peer_t *client = arg;
	intptr_t answered = 0;

	for (int i = 0; i < CALLS; i++)
		answered +=
			ask(client, 21001, (uint32_t)i, WAIT) == PEER_ANSWERED;
	return (void *)answered;
}

static void test_threads(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make("b-1", 21002, 1000, "0123456789abcdef");
	pthread_t threads[THREADS];
	intptr_t sum = 0;
	void *answered;

	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, call_many, client);
	for (int i = 0; i < THREADS; i++) {
		pthread_join(threads[i], &answered);
		sum += (intptr_t)answered;
	}
	g_assert_cmpint(sum, ==, THREADS * CALLS);
	talloc_free(client);
	talloc_free(server);
}

static void test_datagram(void)
{
	peer_t *self = serve(21001, 1000);
	peer_to_t to = { .addr = addr_of(21001) };
	peer_gossip gossip = { .target = "x" };
	int tries = 0;

	/* The first datagram only earns the answer that names the life. */
	gossips = 0;
	while (!gossips && tries++ < 500) {
		g_assert_true(peer_send(self, &to, PEER_GOSSIP, &gossip));
		base_clock_sleep(10 * BASE_MS);
	}
	g_assert_cmpint(gossips, >=, 1);
	g_assert_cmpuint(peer_stats(self).refused_life, >=, 1);
	talloc_free(self);
}

static void test_addr(void)
{
	static const char *const bad[] = { "127.0.0.9", "127.0.0.9:0",
					   "127.0.0.9:65536", "127.0.0.9:8x",
					   "localhost:80" };
	peer_addr_t addr;
	char text[PEER_ADDR_LEN];

	g_assert_true(peer_addr_parse("127.0.0.9:80", &addr));
	peer_addr_format(addr, text);
	g_assert_cmpstr(text, ==, "127.0.0.9:80");
	for (size_t i = 0; i < ARRAY_SIZE(bad); i++)
		g_assert_false(peer_addr_parse(bad[i], &addr));
}

static void test_opts(void)
{
	peer_opts_t opts = { .id = "a b", .log = &quiet };
	GError *err = NULL;
	peer_t *first = serve(21001, 1000);
	peer_t *second = make("a-2", 21001, 1000, "0123456789abcdef");

	g_assert_null(peer_new(NULL, &opts, &err));
	g_assert_error(err, PEER_ERROR, PEER_ERROR_BAD_OPTS);
	g_clear_error(&err);
	g_assert_false(peer_serve(second, &err));
	g_assert_error(err, PEER_ERROR, PEER_ERROR_BUSY);
	g_clear_error(&err);
	talloc_free(second);
	talloc_free(first);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/call", test_call);
	g_test_add_func("/peer/restart", test_restart);
	g_test_add_func("/peer/key-and-cut", test_key_and_cut);
	g_test_add_func("/peer/flows", test_flows);
	g_test_add_func("/peer/replay", test_replay);
	g_test_add_func("/peer/nonsense", test_nonsense);
	g_test_add_func("/peer/window", test_window);
	g_test_add_func("/peer/threads", test_threads);
	g_test_add_func("/peer/datagram", test_datagram);
	g_test_add_func("/peer/addr", test_addr);
	g_test_add_func("/peer/opts", test_opts);
	return g_test_run();
}
