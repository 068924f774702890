#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

#include "peer.h"
#include "peer_int.h"

#define CALL_TIMEOUT_US (5 * BASE_SEC) /* for calls that should be answered */
#define THREADS 8
#define CALLS 200 /* calls made by each thread */

static const base_log_t quiet_log = { .fd = 2, .level = BASE_ERROR };
static _Atomic int gossip_count;

static peer_addr_t local_addr(uint16_t port)
{
	/* Depends on the process id: tests may run in parallel. */
	return (peer_addr_t){ 0x7f010000 + (uint32_t)getpid() % 0xffff00,
			      port };
}

static peer_t *make_peer(const char *id, uint16_t port, uint64_t life,
			 const char *key)
{
	peer_opts_t opts = { .id = id,
			     .zone = id[0] == 'a' ? "zone-a" : "zone-b",
			     .addr = local_addr(port),
			     .life = life,
			     .key = base_str(key),
			     .log = &quiet_log };
	GError *err = NULL;
	peer_t *peer = peer_new(NULL, &opts, &err);

	g_assert_no_error(err);
	return peer;
}

/* Answers with "offset" bytes, and refuses more than PEER_CHUNK_MAX. */
static bool handle_config(void *arg, const peer_sender_t *from,
			  const void *args, void *res)
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

static bool handle_gossip(void *arg, const peer_sender_t *from,
			  const void *args, void *res)
{
	(void)arg;
	(void)from;
	(void)args;
	(void)res;
	gossip_count++;
	return true;
}

static peer_t *serve(uint16_t port, uint64_t life)
{
	peer_t *peer = make_peer("a-1", port, life, "0123456789abcdef");
	GError *err = NULL;

	peer_set_handler(peer, PEER_CONFIG, handle_config, NULL);
	peer_set_handler(peer, PEER_GOSSIP, handle_gossip, NULL);
	peer_serve(peer, &err);
	g_assert_no_error(err);
	return peer;
}

static peer_outcome_t call_config(peer_t *peer, uint16_t port, uint32_t bytes,
				  int64_t timeout_us)
{
	peer_dest_t to = { .addr = local_addr(port), .zone = "zone-a" };
	peer_config_get get = { .generation = 41, .offset = bytes };
	peer_config_part part;
	peer_outcome_t outcome =
		peer_call(peer, &to, PEER_CONFIG, &get, &part, timeout_us);

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
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");

	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	g_assert_cmpint(
		call_config(client, 21001, PEER_CHUNK_MAX, CALL_TIMEOUT_US), ==,
		PEER_ANSWERED);
	/* A call that its handler refused did not run. */
	g_assert_cmpint(
		call_config(client, 21001, PEER_CHUNK_MAX + 1, CALL_TIMEOUT_US),
		==, PEER_NOT_RUN);
	g_assert_cmpint(call_config(client, 21009, 10, CALL_TIMEOUT_US), ==,
			PEER_NOT_RUN);
	/* The first call did not know the life and was refused. */
	g_assert_cmpuint(peer_stats(server).refused_life, ==, 1);
	talloc_free(client);
	talloc_free(server);
}

static void test_restart(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");
	peer_t *earlier;

	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	talloc_free(server);
	server = serve(21001, 1001);
	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	talloc_free(client);
	/* The clock went back: the life is raised above the last one. */
	earlier = make_peer("b-1", 21002, 500, "0123456789abcdef");
	g_assert_cmpint(call_config(earlier, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	g_assert_cmpuint(peer_current_life(earlier), >, 1000);
	talloc_free(earlier);
	talloc_free(server);
}

static void test_key_and_cut(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *wrong_key = make_peer("b-2", 21003, 1000, "0123456789abcdeX");
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");

	g_assert_cmpint(call_config(wrong_key, 21001, 10, 200 * BASE_MS), ==,
			PEER_UNKNOWN);
	g_assert_cmpuint(peer_stats(server).refused_mac, ==, 1);
	g_assert_cmpuint(peer_stats(server).calls_in, ==, 0);
	peer_block_zone(client, "zone-a", true);
	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_NOT_RUN);
	peer_block_zone(client, "zone-a", false);
	peer_block_zone(server, "zone-b", true);
	g_assert_cmpint(call_config(client, 21001, 10, 200 * BASE_MS), ==,
			PEER_UNKNOWN);
	peer_block_zone(server, "zone-b", false);
	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	talloc_free(wrong_key);
	talloc_free(client);
	talloc_free(server);
}

/* Send "sealed" unchanged and wait until the server has received it. */
static void send_raw(peer_t *client, peer_t *server, peer_sealed *sealed)
{
	uint64_t bytes_before = peer_stats(server).bytes_in;

	g_assert_true(peer_pool_send(client->pool, server->addr, sealed));
	while (peer_stats(server).bytes_in == bytes_before)
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

/*
 * Messages and bytes sent by one side equal those received by the other, and
 * all of them belong to PEER_CONFIG.
 */
static void check_flows(const peer_stats_t *local, const peer_stats_t *remote,
			uint64_t messages)
{
	for (int i = 0; i < PEER_PROC_MAX; i++)
		for (int direction = 0; direction < PEER_DIRECTION_MAX;
		     direction++) {
			const peer_flow_t *flow = &local->flows[i][direction];
			const peer_flow_t *reverse =
				&remote->flows[i][!direction];

			g_assert_cmpuint(flow->messages, ==, reverse->messages);
			g_assert_cmpuint(flow->bytes, ==, reverse->bytes);
			g_assert_cmpuint(flow->messages, ==,
					 i == PEER_CONFIG ? messages : 0);
		}
}

/* Client and server count the same traffic, including replies. */
static void test_flows(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");
	peer_stats_t client_stats, server_stats;

	g_assert_cmpint(call_config(client, 21001, 1000, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
	client_stats = peer_stats(client);
	server_stats = peer_stats(server);
	/* The first call was refused, as the life was not known. */
	check_flows(&client_stats, &server_stats, 3);
	g_assert_cmpuint(client_stats.bytes_in, ==,
			 client_stats.flows[PEER_CONFIG][PEER_IN].bytes);
	g_assert_cmpuint(client_stats.bytes_in, >, 1010);
	talloc_free(client);
	talloc_free(server);
}

static void test_replay(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");
	peer_sealed sealed;

	seal_gossip(client, server, &sealed);
	gossip_count = 0;
	send_raw(client, server, &sealed);
	send_raw(client, server, &sealed);
	g_assert_cmpint(gossip_count, ==, 1);
	g_assert_cmpuint(peer_stats(server).refused_replay, ==, 1);
	/* Replay a message to the next life of the server. */
	talloc_free(server);
	server = serve(21001, 1001);
	send_raw(client, server, &sealed);
	g_assert_cmpint(gossip_count, ==, 1);
	g_assert_cmpuint(peer_stats(server).refused_life, ==, 1);
	/* A message that was modified in transit is refused. */
	sealed.body.body_val[sealed.body.body_len - 1] ^= 1;
	send_raw(client, server, &sealed);
	g_assert_cmpint(gossip_count, ==, 1);
	g_assert_cmpuint(peer_stats(server).refused_mac, ==, 1);
	peer_sealed_free(&sealed);
	talloc_free(client);
	talloc_free(server);
}

/* Malformed messages with a valid MAC must not stop the server. */
static void test_nonsense(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");
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
		peer_sealed_free(&sealed);
		base_clock_sleep(BASE_MS / 2);
	}
	g_assert_cmpint(call_config(client, 21001, 10, CALL_TIMEOUT_US), ==,
			PEER_ANSWERED);
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
		/* This sequence number shares its bit with 10, which is no
		 * longer in the replay window. */
		{ 5, 1034, PEER_WIRE_DONE },
		{ 5, 1034, PEER_WIRE_REPLAY },
		{ 4, 3000, PEER_WIRE_STALE },
		{ 6, 10, PEER_WIRE_DONE },
	};
	peer_replay_t *replay = peer_replay_new(NULL);
	uint64_t latest;

	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		g_assert_cmpint(peer_replay_check(replay, "x", rows[i].life,
						  rows[i].seq, &latest),
				==, rows[i].status);
	g_assert_cmpuint(latest, ==, 5);
	talloc_free(replay);
}

static void *call_many(void *arg)
{
	peer_t *client = arg;
	intptr_t answered = 0;

	for (int i = 0; i < CALLS; i++)
		answered += call_config(client, 21001, (uint32_t)i,
					CALL_TIMEOUT_US) == PEER_ANSWERED;
	return (void *)answered;
}

static void test_threads(void)
{
	peer_t *server = serve(21001, 1000);
	peer_t *client = make_peer("b-1", 21002, 1000, "0123456789abcdef");
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
	peer_dest_t to = { .addr = local_addr(21001) };
	peer_gossip gossip = { .target = "x" };
	int tries = 0;

	/* The first datagram is refused and answered with the life. */
	gossip_count = 0;
	while (!gossip_count && tries++ < 500) {
		g_assert_true(peer_send(self, &to, PEER_GOSSIP, &gossip));
		base_clock_sleep(10 * BASE_MS);
	}
	g_assert_cmpint(gossip_count, >=, 1);
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
	peer_opts_t opts = { .id = "a b", .log = &quiet_log };
	GError *err = NULL;
	peer_t *first = serve(21001, 1000);
	peer_t *second = make_peer("a-2", 21001, 1000, "0123456789abcdef");

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
