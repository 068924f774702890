/*
 * late3 - a proxy before an executor.  It can leave the next start unanswered
 * and carry it out later, at whichever process then listens behind it, and
 * falls silent, without closing connections, while none does.
 *
 *   late3 --port=PORT --to=PORT --log=FILE --after=MS
 *
 * With SIGUSR1 the next start is held; it is delivered MS later.  SIGUSR2 takes
 * that back.  SIGHUP cuts the executor off, and SIGCONT ends that: meanwhile no
 * call is passed on, but for the start that was held and is carried out late.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "net.h"

#define FORWARD_TIMEOUT (4 * BASE_SEC)
#define CONNECTIONS 8

typedef struct proxy {
	net_loop_t *loop;
	net_client_t *client;
	net_timer_t *timer;
	FILE *log;
	int64_t after;
	bool holds_next;
	bool is_cut;
	char *body; /* of the start that is held */
	char *id;
} proxy_t;

typedef struct forward {
	proxy_t *proxy;
	net_exchange_t *exchange; /* NULL: nobody waits for the answer */
} forward_t;

static void note(const proxy_t *proxy, const char *what, const char *detail)
{
	fprintf(proxy->log, "%.3f proxy %s %s 0\n",
		(double)base_clock_wall() / BASE_SEC, what, detail);
	fflush(proxy->log);
}

/* An executor that is away sends nothing, nor does its address. */
static void answered(void *arg, const net_answer_t *answer)
{
	forward_t *forward = arg;

	if (forward->exchange && answer->call_outcome == NET_ANSWERED &&
	    !forward->proxy->is_cut)
		net_reply(forward->exchange, answer->status, NULL, 0,
			  answer->body);
	if (!forward->exchange)
		note(forward->proxy, "late-start-answered",
		     answer->call_outcome != NET_ANSWERED ? "none"
		     : answer->status == 200		  ? "200"
							  : "refused");
	talloc_free(forward);
}

static void forward(proxy_t *proxy, net_method_t method, const char *path,
		    const char *id, base_str_t body, net_exchange_t *exchange)
{
	forward_t *call = talloc_zero(proxy->loop, forward_t);
	net_header_t header = { "X-Expect-Instance", id };
	net_request_t request = { .method = method,
				  .path = path,
				  .headers = &header,
				  .n_headers = id ? 1 : 0,
				  .body = body,
				  .timeout = FORWARD_TIMEOUT };

	call->proxy = proxy;
	call->exchange = exchange;
	net_call(proxy->client, &request, answered, call);
}

static void deliver(void *arg)
{
	proxy_t *proxy = arg;

	note(proxy, "late-start-delivered", "-");
	forward(proxy, NET_POST, "/v1/run-start", proxy->id,
		base_str(proxy->body), NULL);
}

static void serve(void *arg, net_exchange_t *exchange)
{
	proxy_t *proxy = arg;
	const char *path = net_exchange_path(exchange);
	const char *id = net_exchange_header(exchange, "X-Expect-Instance");
	base_str_t body = net_exchange_body(exchange);

	/* Nothing answers, and the connection stays. */
	if (proxy->is_cut)
		return;
	if (!proxy->holds_next || strcmp(path, "/v1/run-start")) {
		forward(proxy, net_exchange_method(exchange), path, id, body,
			exchange);
		return;
	}
	proxy->holds_next = false;
	proxy->body = base_str_dup(proxy->loop, body);
	proxy->id = talloc_strdup(proxy->loop, id);
	note(proxy, "start-held", proxy->id);
	net_timer_start(proxy->timer, proxy->after);
}

static void hold_next(void *arg, int signo)
{
	proxy_t *proxy = arg;

	proxy->holds_next = signo == SIGUSR1;
}

static void set_cut(void *arg, int signo)
{
	proxy_t *proxy = arg;

	proxy->is_cut = signo == SIGHUP;
	note(proxy, proxy->is_cut ? "cut" : "healed", "-");
}

static int run_proxy(proxy_t *proxy, int port, int to)
{
	char address[32];
	net_client_options_t client = { .address = address,
					.connections = CONNECTIONS };
	GError *err = NULL;

	proxy->loop = net_loop_new(NULL);
	client.loop = proxy->loop;
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", to);
	proxy->client = net_client_new(proxy->loop, &client);
	proxy->timer = net_timer_new(proxy->loop, proxy->loop, deliver, proxy);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	if (!net_server_new(proxy->loop, proxy->loop, address, serve, proxy,
			    &err)) {
		fprintf(stderr, "late3: %s\n", err->message);
		g_error_free(err);
		return 2;
	}
	net_loop_signal(proxy->loop, SIGUSR1, hold_next, proxy);
	net_loop_signal(proxy->loop, SIGUSR2, hold_next, proxy);
	net_loop_signal(proxy->loop, SIGHUP, set_cut, proxy);
	net_loop_signal(proxy->loop, SIGCONT, set_cut, proxy);
	net_loop_run(proxy->loop);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "PORT", "its port");
	struct arg_int *to = arg_int1(NULL, "to", "PORT", "of the executor");
	struct arg_file *log = arg_file1(NULL, "log", "FILE", "what it did");
	struct arg_int *after =
		arg_int1(NULL, "after", "MS", "delay of the start");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, to, log, after, end };
	proxy_t proxy = { .after = 0 };

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "late3");
		return 2;
	}
	proxy.after = after->ival[0] * BASE_MS;
	proxy.log = fopen(log->filename[0], "a");
	if (!proxy.log) {
		perror("late3");
		return 2;
	}
	return run_proxy(&proxy, port->ival[0], to->ival[0]);
}
