/*
 * value_limit - stands between entries and the platform's stand-in, and lets
 * its store refuse values that are larger than the platform says.
 *
 * usage: value_limit PORT STORE_PORT BYTES
 *
 * Each request is passed on to the store's port on the loopback address, and
 * its response back, except a change with a larger value: that is answered with
 * 400 and does nothing.  Ends on SIGTERM.
 */
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"

/* The longest wait of a watch, and some more. */
#define PASS_TIMEOUT (35 * BASE_SEC)
#define PASS_CONNECTIONS 256
/* Characters of base64 for three bytes. */
#define BASE64_CHARS 4
#define BASE64_BYTES 3

typedef struct limiter {
	net_loop_t *loop;
	net_client_t *store;
	size_t max_bytes;
	bool told;
} limiter_t;

static size_t value_size(const json_t *value)
{
	size_t chars = json_string_length(value);
	const char *text = json_string_value(value);
	size_t padding = 0;

	while (text && padding < chars && text[chars - 1 - padding] == '=')
		padding++;
	return chars / BASE64_CHARS * BASE64_BYTES - padding;
}

static bool is_within_limit(limiter_t *limiter, base_str_t body)
{
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const json_t *sets = json_object_get(root, "setKeys");
	bool ok = true;
	size_t i;

	for (i = 0; i < json_array_size(sets); i++) {
		const json_t *set = json_array_get(sets, i);
		size_t size = value_size(json_object_get(set, "value"));

		if (size <= limiter->max_bytes)
			continue;
		ok = false;
		if (limiter->told)
			continue;
		limiter->told = true;
		fprintf(stderr, "refused: %s, %zu bytes\n",
			json_string_value(json_object_get(set, "key")), size);
	}
	json_decref(root);
	return ok;
}

static void answered(void *arg, const net_answer_t *answer)
{
	net_exchange_t *exchange = arg;
	bool ok = answer->call_outcome == NET_ANSWERED;

	net_reply(exchange, ok ? answer->status : 503, NULL, 0,
		  ok ? answer->body : BASE_STR(""));
}

static void serve(void *arg, net_exchange_t *exchange)
{
	limiter_t *limiter = arg;
	net_request_t request = { .method = net_exchange_method(exchange),
				  .path = net_exchange_path(exchange),
				  .body = net_exchange_body(exchange),
				  .timeout = PASS_TIMEOUT };

	if (!strcmp(request.path, "/v1/kv-txn") &&
	    !is_within_limit(limiter, request.body)) {
		net_reply(exchange, 400, NULL, 0, BASE_STR("{}"));
		return;
	}
	net_call(limiter->store, &request, answered, exchange);
}

static void terminate(void *arg, int signo)
{
	(void)signo;
	net_loop_stop(((limiter_t *)arg)->loop);
}

int main(int argc, char **argv)
{
	limiter_t *limiter = talloc_zero(NULL, limiter_t);
	net_client_options_t options = { .connections = PASS_CONNECTIONS };
	GError *err = NULL;

	if (argc != 4) {
		fprintf(stderr, "usage: value_limit PORT STORE_PORT BYTES\n");
		return 2;
	}
	limiter->loop = net_loop_new(limiter);
	limiter->max_bytes = strtoul(argv[3], NULL, 10);
	options.loop = limiter->loop;
	options.address = talloc_asprintf(limiter, "127.0.0.1:%s", argv[2]);
	limiter->store = net_client_new(limiter, &options);
	if (!limiter->store ||
	    !net_server_new(limiter, limiter->loop,
			    talloc_asprintf(limiter, "127.0.0.1:%s", argv[1]),
			    serve, limiter, &err)) {
		fprintf(stderr, "value_limit: %s\n",
			err ? err->message : "the store's port is none");
		return 1;
	}
	net_loop_signal(limiter->loop, SIGTERM, terminate, limiter);
	net_loop_run(limiter->loop);
	talloc_free(limiter);
	return 0;
}
