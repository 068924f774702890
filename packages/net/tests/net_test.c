#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net.h"

/* Tests wait for events, not for a time; this only ends a test that hangs. */
#define HANG_TIMEOUT (20 * BASE_SEC)

typedef struct fixture {
	net_loop_t *loop;
	net_server_t *server;
	net_client_t *client;
	net_exchange_t *held_exchange;
	char address[32];
	char body[64];
	int n_requests, n_responses, n_expected, n_unsent;
	net_answer_t last;
	bool holds_requests;
	bool frees_client;
	bool is_permitted;
	/* After the second request, the process is suspended for that long. */
	int64_t suspension;
} fixture_t;

/* A port chosen by the kernel on which nothing listens. */
static int unused_port(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&addr, len), ==, 0);
	getsockname(fd, (struct sockaddr *)&addr, &len);
	close(fd);
	return ntohs(addr.sin_port);
}

/* The process stands still after the answers to both requests were written. */
static void stand_still(void *arg)
{
	fixture_t *f = arg;

	base_clock_sleep(f->suspension);
	f->is_permitted = false;
}

static void answer_and_suspend(fixture_t *f, net_exchange_t *exchange)
{
	f->holds_requests = false;
	net_reply(f->held_exchange, 200, NULL, 0, BASE_STR("1"));
	net_reply(exchange, 200, NULL, 0, BASE_STR("2"));
	net_timer_start(net_timer_new(f->loop, f->loop, stand_still, f), 0);
}

static void on_request(void *arg, net_exchange_t *exchange)
{
	fixture_t *f = arg;
	base_str_t body = net_exchange_body(exchange);
	net_header_t header = { "Retry-After", "2" };

	f->n_requests++;
	if (f->suspension && f->n_requests == 2) {
		answer_and_suspend(f, exchange);
		return;
	}
	if (f->holds_requests) {
		f->held_exchange = exchange;
		return;
	}
	if (net_exchange_method(exchange) == NET_DELETE)
		net_reply(exchange, 503, &header, 1, BASE_STR(""));
	else
		net_reply(exchange, 200, NULL, 0,
			  body.len ? body : BASE_STR("empty"));
}

static void on_response(void *arg, const net_answer_t *answer)
{
	fixture_t *f = arg;

	f->last = *answer;
	f->n_unsent += answer->call_outcome == NET_UNSENT;
	g_snprintf(f->body, sizeof(f->body), "%.*s",
		   BASE_STR_ARG(answer->body));
	if (f->frees_client)
		TALLOC_FREE(f->client);
	if (++f->n_responses == f->n_expected)
		net_loop_stop(f->loop);
}

static void on_hang(void *arg)
{
	(void)arg;
	g_error("test timed out");
}

static fixture_t *setup(void)
{
	fixture_t *f = g_new0(fixture_t, 1);
	net_client_options_t options = { .address = f->address,
					 .connections = 2 };

	g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%d",
		   unused_port());
	f->loop = net_loop_new(NULL);
	f->server = net_server_new(f->loop, f->loop, f->address, on_request, f,
				   NULL);
	g_assert_nonnull(f->server);
	options.loop = f->loop;
	f->client = net_client_new(f->loop, &options);
	net_timer_start(net_timer_new(f->loop, f->loop, on_hang, NULL),
			HANG_TIMEOUT);
	return f;
}

static void teardown(fixture_t *f)
{
	talloc_free(f->loop);
	g_free(f);
}

static void start_call(fixture_t *f, net_method_t method, const char *body,
		       int64_t timeout)
{
	net_request_t request = { .method = method,
				  .path = "/x?y=1",
				  .body = base_str(body),
				  .timeout = timeout };

	f->n_expected++;
	net_call(f->client, &request, on_response, f);
}

static void test_round_trips(void)
{
	fixture_t *f = setup();
	int i;

	for (i = 0; i < 20; i++)
		start_call(f, NET_POST, "hello", HANG_TIMEOUT);
	net_loop_run(f->loop);
	g_assert_cmpint(f->n_requests, ==, 20);
	g_assert_cmpint(f->last.status, ==, 200);
	g_assert_cmpstr(f->body, ==, "hello");
	/* All requests went over two connections. */
	g_assert_cmpuint(net_loop_connections(f->loop), ==, 2);
	start_call(f, NET_DELETE, NULL, HANG_TIMEOUT);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.status, ==, 503);
	teardown(f);
}

static void test_timeout_is_unknown(void)
{
	fixture_t *f = setup();

	f->holds_requests = true;
	start_call(f, NET_POST, "x", 50 * BASE_MS);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNKNOWN);
	g_assert_false(f->last.is_unreached);
	/* The next call uses a new connection. */
	f->holds_requests = false;
	start_call(f, NET_POST, "y", HANG_TIMEOUT);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_ANSWERED);
	g_assert_false(f->last.is_unreached);
	/* A late reply to the call that timed out has no effect. */
	net_reply(f->held_exchange, 200, NULL, 0, BASE_STR("late"));
	start_call(f, NET_POST, "z", HANG_TIMEOUT);
	net_loop_run(f->loop);
	g_assert_cmpstr(f->body, ==, "z");
	teardown(f);
}

static void test_queued_is_unsent(void)
{
	fixture_t *f = setup();

	f->holds_requests = true;
	start_call(f, NET_POST, "1", 100 * BASE_MS);
	start_call(f, NET_POST, "2", 100 * BASE_MS);
	start_call(f, NET_POST, "3", 50 * BASE_MS);
	f->n_expected = 1;
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNSENT);
	f->n_expected = 3;
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNKNOWN);
	g_assert_cmpint(f->n_requests, ==, 2);
	teardown(f);
}

static bool is_permitted(const void *arg)
{
	return ((const fixture_t *)arg)->is_permitted;
}

/* Starts a call that may be sent while f->is_permitted. */
static void start_permitted_call(fixture_t *f)
{
	net_permit_t permit = { is_permitted, f };
	net_request_t request = { .method = NET_POST,
				  .path = "/x",
				  .body = BASE_STR("order"),
				  .timeout = HANG_TIMEOUT,
				  .permit = &permit };

	f->n_expected++;
	net_call(f->client, &request, on_response, f);
}

/*
 * Guards against orders of a process that was suspended (ONE): a call that
 * waits for a connection until after its timeout is sent when one becomes free.
 */
static void test_late_after_suspension_is_unsent(void)
{
	fixture_t *f = setup();

	f->holds_requests = true;
	f->suspension = 200 * BASE_MS;
	start_call(f, NET_POST, "1", HANG_TIMEOUT);
	start_call(f, NET_POST, "2", HANG_TIMEOUT);
	start_call(f, NET_POST, "3", 100 * BASE_MS);
	net_loop_run(f->loop);
	g_assert_cmpint(f->n_unsent, ==, 1);
	g_assert_cmpint(f->n_requests, ==, 2);
	teardown(f);
}

/*
 * Guards against orders of a process that was suspended (ONE): the permission
 * under which they were decided has ended while they waited for a connection.
 */
static void test_queued_without_permit_is_unsent(void)
{
	fixture_t *f = setup();

	f->holds_requests = true;
	f->is_permitted = true;
	f->suspension = BASE_MS;
	start_call(f, NET_POST, "1", HANG_TIMEOUT);
	start_call(f, NET_POST, "2", HANG_TIMEOUT);
	start_permitted_call(f);
	net_loop_run(f->loop);
	g_assert_cmpint(f->n_unsent, ==, 1);
	g_assert_cmpint(f->n_requests, ==, 2);
	g_assert_cmpuint(net_loop_calls_dropped(f->loop), ==, 1);
	/* The connections serve later calls. */
	f->is_permitted = true;
	start_permitted_call(f);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_ANSWERED);
	g_assert_cmpuint(net_loop_connections(f->loop), ==, 2);
	teardown(f);
}

/* The same, while the connection is opened. */
static void test_connecting_without_permit_is_unsent(void)
{
	fixture_t *f = setup();

	f->is_permitted = true;
	start_permitted_call(f);
	f->is_permitted = false;
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNSENT);
	f->is_permitted = true;
	start_permitted_call(f);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_ANSWERED);
	g_assert_cmpint(f->n_requests, ==, 1);
	teardown(f);
}

/*
 * The same between the look at the permit and the first byte: on an open
 * connection nothing comes in between.
 */
static void test_permitted_call_is_written_at_once(void)
{
	fixture_t *f = setup();

	start_call(f, NET_POST, "1", HANG_TIMEOUT);
	net_loop_run(f->loop);
	f->is_permitted = true;
	start_permitted_call(f);
	f->is_permitted = false;
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_ANSWERED);
	g_assert_cmpstr(f->body, ==, "order");
	teardown(f);
}

static void test_client_freed_in_callback(void)
{
	fixture_t *f = setup();

	f->frees_client = true;
	start_call(f, NET_POST, "1", HANG_TIMEOUT);
	start_call(f, NET_POST, "2", HANG_TIMEOUT);
	f->n_expected = 1;
	net_loop_run(f->loop);
	g_assert_cmpint(f->n_responses, ==, 1);
	g_assert_null(f->client);
	teardown(f);
}

static void test_connection_refused(void)
{
	fixture_t *f = setup();

	TALLOC_FREE(f->server);
	start_call(f, NET_GET, NULL, HANG_TIMEOUT);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNKNOWN);
	g_assert_true(f->last.is_unreached);
	teardown(f);
}

/*
 * Guards against a handover that never begins: the kernel refuses a connection
 * at once, and a caller that sets its state after net_call() has overwritten
 * what the callback set.  No connection is made to a broadcast address.
 */
static void test_failure_at_once_is_reported_later(void)
{
	fixture_t *f = setup();
	net_client_options_t options = { .loop = f->loop,
					 .address = "255.255.255.255:9",
					 .connections = 1 };
	int i;

	talloc_free(f->client);
	f->client = net_client_new(f->loop, &options);
	for (i = 0; i < 3; i++)
		start_call(f, NET_POST, "x", HANG_TIMEOUT);
	g_assert_cmpint(f->n_responses, ==, 0);
	net_loop_run(f->loop);
	g_assert_cmpint(f->n_responses, ==, 3);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNKNOWN);
	/* The callback of the first frees the client. */
	f->frees_client = true;
	start_call(f, NET_POST, "x", HANG_TIMEOUT);
	net_loop_run(f->loop);
	g_assert_cmpint(f->n_responses, ==, 4);
	teardown(f);
}

/* A listener that accepts no connection by itself; sets "address". */
static int listen_idle(char *address, size_t size)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(listener, (struct sockaddr *)&addr, len), ==, 0);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	g_assert_cmpint(listen(listener, 4), ==, 0);
	g_snprintf(address, size, "127.0.0.1:%d", ntohs(addr.sin_port));
	return listener;
}

/* The socket error after all received data; 0 for an orderly close. */
static int error_at_eof(int fd)
{
	char data[256];
	int error = 0;
	socklen_t len = sizeof(error);
	ssize_t got;

	do
		got = read(fd, data, sizeof(data));
	while (got > 0);
	if (got < 0)
		return errno;
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	return error;
}

/*
 * Guards against a request that is delivered after its call has timed out, as
 * seen in scenario trouble-3 (REFUSED).  The listener accepts the connection
 * only after the timeout; the data that arrived must be followed by a reset,
 * since otherwise the rest of the request would be delivered too.
 */
static void test_timeout_resets_connection(void)
{
	fixture_t *f = setup();
	net_client_options_t options = { .loop = f->loop, .connections = 1 };
	char address[32];
	int listener = listen_idle(address, sizeof(address));
	int fd;

	options.address = address;
	f->client = net_client_new(f->loop, &options);
	start_call(f, NET_POST, "x", 50 * BASE_MS);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_UNKNOWN);
	/* The first connection is closed when the loop runs again. */
	start_call(f, NET_POST, "y", 50 * BASE_MS);
	net_loop_run(f->loop);
	fd = accept(listener, NULL, NULL);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(error_at_eof(fd), !=, 0);
	close(fd);
	close(listener);
	teardown(f);
}

typedef struct hand_server {
	int listener;
	int fd; /* of its connection */
} hand_server_t;

static void answer_by_hand(void *arg)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 0\r\n\r\n";
	hand_server_t *server = arg;
	char request[1024];

	server->fd = accept(server->listener, NULL, NULL);
	g_assert_cmpint(server->fd, >=, 0);
	/* The request is there in whole. */
	g_assert_cmpint(recv(server->fd, request, sizeof(request), 0), >, 0);
	g_assert_cmpint(send(server->fd, answer, sizeof(answer) - 1, 0), ==,
			sizeof(answer) - 1);
}

/*
 * Guards against orders of a process that was suspended (ONE): on an open
 * connection the request has left before net_call() returns, not in a later
 * round of the loop, which nothing looks at the permit before.
 */
static void test_request_has_left_when_the_call_returns(void)
{
	fixture_t *f = setup();
	net_client_options_t options = { .loop = f->loop, .connections = 1 };
	hand_server_t server;
	char address[32];
	char request[1024];

	server.listener = listen_idle(address, sizeof(address));
	options.address = address;
	f->client = net_client_new(f->loop, &options);
	start_call(f, NET_POST, "1", HANG_TIMEOUT);
	net_timer_start(
		net_timer_new(f->loop, f->loop, answer_by_hand, &server),
		100 * BASE_MS);
	net_loop_run(f->loop);
	g_assert_cmpint(f->last.call_outcome, ==, NET_ANSWERED);
	f->is_permitted = true;
	start_permitted_call(f);
	g_assert_cmpint(recv(server.fd, request, sizeof(request), MSG_DONTWAIT),
			>, 0);
	close(server.fd);
	close(server.listener);
	teardown(f);
}

static void stop_loop(void *arg, const net_answer_t *answer)
{
	g_assert_cmpint(answer->call_outcome, ==, NET_ANSWERED);
	net_loop_stop(arg);
}

/* A process that sends two requests, the second one on an open connection,
 * then writes to "ready" and waits to be killed. */
static void run_sender(const char *address, size_t body_len, int ready)
{
	net_loop_t *loop = net_loop_new(NULL);
	net_client_options_t options = { .loop = loop,
					 .address = address,
					 .connections = 1 };
	net_client_t *client = net_client_new(loop, &options);
	char *body = g_strnfill(body_len, 'x');
	net_request_t request = { .method = NET_POST,
				  .path = "/x",
				  .body = BASE_STR("1"),
				  .timeout = HANG_TIMEOUT };

	net_call(client, &request, stop_loop, loop);
	net_loop_run(loop);
	request.body = base_str(body);
	net_call(client, &request, stop_loop, loop);
	g_assert_cmpint(write(ready, "", 1), ==, 1);
	for (;;)
		pause();
}

/*
 * Guards against orders of a process that was killed (ONE): what its kernel
 * still had of a request was delivered once the server could be reached, here
 * once it reads, up to the orderly end of the whole.
 */
static void test_killed_sender_is_reset(void)
{
	enum { WINDOW = 2048, BODY = 8 * WINDOW };
	hand_server_t server;
	char address[32];
	int window = WINDOW;
	int ready[2];
	char byte;
	pid_t sender;

	server.listener = listen_idle(address, sizeof(address));
	setsockopt(server.listener, SOL_SOCKET, SO_RCVBUF, &window,
		   sizeof(window));
	g_assert_cmpint(pipe(ready), ==, 0);
	sender = fork();
	g_assert_cmpint(sender, >=, 0);
	if (!sender)
		run_sender(address, BODY, ready[1]);
	answer_by_hand(&server);
	g_assert_cmpint(read(ready[0], &byte, 1), ==, 1);
	kill(sender, SIGKILL);
	waitpid(sender, NULL, 0);
	g_assert_cmpint(error_at_eof(server.fd), ==, ECONNRESET);
	close(ready[0]);
	close(ready[1]);
	close(server.fd);
	close(server.listener);
}

static void test_bad_addresses(void)
{
	static const char *const bad[] = { "",		":1",
					   "1.2.3.4",	"1.2.3.4:",
					   "1.2.3.4:0", "1.2.3.4:70000",
					   "1.2.3.4:x" };
	net_loop_t *loop = net_loop_new(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		net_client_options_t options = { .loop = loop,
						 .address = bad[i],
						 .connections = 1 };
		GError *err = NULL;

		g_assert_null(net_client_new(loop, &options));
		g_assert_null(net_server_new(loop, loop, bad[i], on_request,
					     NULL, &err));
		g_assert_error(err, NET_ERROR, NET_ERR_ADDRESS);
		g_clear_error(&err);
	}
	talloc_free(loop);
}

/* Guards against addresses that another program wrote and that cannot be
 * connected to, or that would be looked up while the loop waits. */
static void test_addresses(void)
{
	static const char *const odd[] = {
		"",
		":",
		":80",
		"127.0.0.1",
		"127.0.0.1:",
		"127.0.0.1:0",
		"127.0.0.1:65536",
		"127.0.0.1:-1",
		"127.0.0.1:-18446744073709551536",
		"127.0.0.1:18446744073709551696",
		"127.0.0.1:+80",
		"127.0.0.1: 80",
		"127.0.0.1:80 ",
		"127.0.0.1:80/",
		"127.0.0.256:80",
		"127.0.0.1.1:80",
		"127.1:80",
		"localhost:80",
		"::1:80",
		" 127.0.0.1:80",
	};
	void *ctx = talloc_new(NULL);
	char *host;
	uint16_t port;
	size_t i;

	g_assert_true(net_address_split(ctx, "10.0.0.9:65535", &host, &port));
	g_assert_cmpstr(host, ==, "10.0.0.9");
	g_assert_cmpint(port, ==, 65535);
	g_assert_false(net_address_split(ctx, NULL, &host, &port));
	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		if (net_address_split(ctx, odd[i], &host, &port)) {
			g_test_message("\"%s\" was taken", odd[i]);
			g_test_fail();
		}
	talloc_free(ctx);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/net/round-trips", test_round_trips);
	g_test_add_func("/net/silence-is-unknown", test_timeout_is_unknown);
	g_test_add_func("/net/what-waits-is-unsent", test_queued_is_unsent);
	g_test_add_func("/net/late-after-a-suspension-is-unsent",
			test_late_after_suspension_is_unsent);
	g_test_add_func("/net/queued-without-a-permit-is-unsent",
			test_queued_without_permit_is_unsent);
	g_test_add_func("/net/connecting-without-a-permit-is-unsent",
			test_connecting_without_permit_is_unsent);
	g_test_add_func("/net/permitted-call-is-written-at-once",
			test_permitted_call_is_written_at_once);
	g_test_add_func("/net/request-has-left-when-the-call-returns",
			test_request_has_left_when_the_call_returns);
	g_test_add_func("/net/client-may-go-in-a-callback",
			test_client_freed_in_callback);
	g_test_add_func("/net/nobody-listens", test_connection_refused);
	g_test_add_func("/net/failure-at-once-is-reported-later",
			test_failure_at_once_is_reported_later);
	g_test_add_func("/net/given-up-is-reset",
			test_timeout_resets_connection);
	g_test_add_func("/net/killed-sender-is-reset",
			test_killed_sender_is_reset);
	g_test_add_func("/net/bad-addresses", test_bad_addresses);
	g_test_add_func("/net/addresses", test_addresses);
	return g_test_run();
}
