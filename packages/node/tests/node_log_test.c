/*
 * Each write of the log has whole lines only: a collector may parse the writes
 * one by one, and a pipe splits a write of more than PIPE_BUF bytes.
 */
#include <limits.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node_int.h"

#define LINES 320    /* fewer than the log buffers */
#define LINE_MIN 100 /* bytes of a line, at least */

typedef struct log_fixture {
	node_t *node;
	int reader;
} log_fixture_t;

/* SOCK_SEQPACKET keeps the boundaries of writes. */
static log_fixture_t fixture_new(void)
{
	log_fixture_t fixture = { .node = talloc_zero(NULL, node_t) };
	int sockets[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, sockets), ==, 0);
	fixture.node->loop = net_loop_new(fixture.node);
	fixture.node->metrics = node_metrics_new(fixture.node);
	fixture.node->log =
		node_log_new(fixture.node, fixture.node->loop, sockets[0]);
	fixture.reader = sockets[1];
	return fixture;
}

static void test_writes_are_whole_lines(void)
{
	log_fixture_t fixture = fixture_new();
	char *text = g_strnfill(LINE_MIN, 'x');
	char *packet = g_malloc(1 << 20);
	int lines = 0;
	ssize_t n;
	int i;

	for (i = 0; i < LINES / 4; i++) {
		/* Four message ids: the limit per second is for each id. */
		node_log(fixture.node, BASE_MSG_START, BASE_F_STR("a", text));
		node_log(fixture.node, BASE_MSG_READY, BASE_F_STR("a", text));
		node_log(fixture.node, BASE_MSG_LEAD, BASE_F_STR("a", text));
		node_log(fixture.node, BASE_MSG_MOVE, BASE_F_STR("a", text));
	}
	node_log_flush(fixture.node);
	while ((n = recv(fixture.reader, packet, 1 << 20, MSG_DONTWAIT)) > 0) {
		g_assert_cmpint(n, <=, PIPE_BUF);
		g_assert_true(packet[n - 1] == '\n');
		for (i = 0; i < n; i++)
			lines += (unsigned char)packet[i] == '\n';
	}
	g_assert_cmpint(lines, ==, LINES);
	g_free(packet);
	g_free(text);
	talloc_free(fixture.node);
}

/* If the reader does not read, lines are dropped; the writer does not wait. */
static void test_slow_reader_costs_lines_only(void)
{
	log_fixture_t fixture = fixture_new();
	char *text = g_strnfill(PIPE_BUF, 'x');
	char *packet = g_malloc(1 << 20);
	int64_t began = base_clock_mono();
	int lines = 0;
	int i;

	for (i = 0; i < LINES; i++) {
		node_log(fixture.node, BASE_MSG_START, BASE_F_STR("a", text));
		node_log_flush(fixture.node);
	}
	g_assert_cmpint(base_clock_mono() - began, <, 20 * BASE_SEC);
	while (recv(fixture.reader, packet, 1 << 20, MSG_DONTWAIT) > 0)
		lines++;
	g_assert_cmpint(lines, >, 0);
	g_assert_cmpint(lines, <, LINES);
	g_free(packet);
	g_free(text);
	talloc_free(fixture.node);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-log/writes-are-whole-lines",
			test_writes_are_whole_lines);
	g_test_add_func("/node-log/slow-reader-costs-lines-only",
			test_slow_reader_costs_lines_only);
	return g_test_run();
}
