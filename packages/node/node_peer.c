/*
 * Entries ask each other: JSON over HTTP, one POST a question.
 *
 * {"ask", "queue", "id", "body", "wait_ms", "relayed"} ->
 * {"kind", "state", "retry_after_ms", "pending", "why"}
 */
#include "node_int.h"

#define PEER_PATH "/ask"
#define PEER_CONNECTIONS 4
/* A holder answers a submit after one or two changes of the store; a slow
 * store takes a quarter of a second each. */
#define PEER_TIMEOUT (900 * BASE_MS)

static const char *const kind_names[NODE_OUT_MAX] = {
	[NODE_OUT_ACCEPTED] = "accepted",   [NODE_OUT_REFUSED] = "refused",
	[NODE_OUT_STATE] = "state",	    [NODE_OUT_GONE] = "gone",
	[NODE_OUT_PENDING] = "pending",	    [NODE_OUT_BAD] = "bad",
	[NODE_OUT_NOT_OWNER] = "not-owner", [NODE_OUT_UNKNOWN] = "unknown",
};

static const char *const ask_names[NODE_ASK_MAX] = {
	[NODE_ASK_SUBMIT] = "submit",
	[NODE_ASK_STATE] = "state",
	[NODE_ASK_CANCEL] = "cancel",
	[NODE_ASK_PENDING] = "pending",
};

typedef struct peer_call {
	node_t *node;
	char *address;
	node_outcome_done_t *done;
	void *arg;
} peer_call_t;

static int find_name(const char *const *names, int n, const char *name)
{
	int i;

	for (i = 0; name && i < n; i++)
		if (!strcmp(names[i], name))
			return i;
	return -1;
}

static net_client_t *client_of(node_t *node, const char *address)
{
	net_client_t *client = g_hash_table_lookup(node->peers, address);
	net_client_options_t options = { .loop = node->loop,
					 .address = address,
					 .connections = PEER_CONNECTIONS };

	if (client)
		return client;
	client = net_client_new(node, &options);
	if (client)
		g_hash_table_insert(node->peers, g_strdup(address), client);
	return client;
}

static void answered(void *arg, const net_answer_t *answer)
{
	peer_call_t *call = arg;
	node_t *node = call->node;
	node_outcome_t outcome = { .kind = NODE_OUT_UNKNOWN,
				   .why = "peer did not answer" };
	json_t *root = NULL;
	int kind = -1;

	if (answer->fate == NET_UNSENT)
		outcome.kind = NODE_OUT_NOT_OWNER;
	if (answer->fate == NET_ANSWERED && answer->status == 200)
		root = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	kind = find_name(kind_names, NODE_OUT_MAX,
			 json_string_value(json_object_get(root, "kind")));
	if (kind >= 0) {
		outcome.kind = (node_outcome_kind_t)kind;
		outcome.state = (batch_state_t)json_integer_value(
			json_object_get(root, "state"));
		outcome.retry_after = json_integer_value(json_object_get(
					      root, "retry_after_ms")) *
				      BASE_MS;
		outcome.pending = (size_t)json_integer_value(
			json_object_get(root, "pending"));
		outcome.why = json_string_value(json_object_get(root, "why"));
		if (outcome.state >= BATCH_STATE_MAX)
			outcome.state = BATCH_UNKNOWN;
	}
	if ((kind < 0 || outcome.kind == NODE_OUT_NOT_OWNER) &&
	    node->lead.address && !strcmp(node->lead.address, call->address))
		node_lead_doubt(node);
	talloc_steal(NULL, call);
	call->done(call->arg, &outcome);
	json_decref(root);
	talloc_free(call);
}

void node_peer_ask(node_t *node, const char *address, const node_job_ask_t *ask,
		   node_outcome_done_t *done, void *arg)
{
	net_client_t *client = client_of(node, address);
	peer_call_t *call = talloc_zero(node, peer_call_t);
	base_buf_t *body = base_buf_new(call);
	int64_t left = ask->deadline - base_clock_mono();
	net_request_t request = { .method = NET_POST, .path = PEER_PATH };

	base_buf_addf(body, "{\"ask\":\"%s\",\"queue\":", ask_names[ask->ask]);
	base_buf_add_json(body, base_str(ask->queue));
	base_buf_adds(body, ",\"id\":");
	base_buf_add_json(body, base_str(ask->id));
	base_buf_adds(body, ",\"body\":");
	base_buf_add_json(body, ask->body);
	base_buf_addf(body, ",\"wait_ms\":%lld,\"relayed\":%s}",
		      (long long)(left / BASE_MS),
		      ask->relayed || (node->lead.address &&
				       !strcmp(address, node->lead.address))
			      ? "true"
			      : "false");
	call->node = node;
	call->address = talloc_strdup(call, address);
	call->done = done;
	call->arg = arg;
	request.body = base_buf_str(body);
	request.timeout = MAX(MIN(left, PEER_TIMEOUT), BASE_MS);
	node_count(node, NODE_COUNT_FORWARD);
	net_call(client, &request, answered, call);
}

bool node_peer_call(node_t *node, const char *address,
		    const net_request_t *request, net_done_t *done, void *arg)
{
	net_client_t *client = client_of(node, address);

	if (!client)
		return false;
	net_call(client, request, done, arg);
	return true;
}

static void decided(void *arg, const node_outcome_t *outcome)
{
	net_exchange_t *exchange = arg;
	base_buf_t *body = base_buf_new(NULL);

	base_buf_addf(body,
		      "{\"kind\":\"%s\",\"state\":%d,\"retry_after_ms\":%lld,"
		      "\"pending\":%zu,\"why\":",
		      kind_names[outcome->kind], (int)outcome->state,
		      (long long)(outcome->retry_after / BASE_MS),
		      outcome->pending);
	base_buf_add_json(body, base_str(outcome->why));
	base_buf_adds(body, "}");
	net_reply(exchange, 200, NULL, 0, base_buf_str(body));
	talloc_free(body);
}

void node_peer_serve(void *arg, net_exchange_t *exchange)
{
	node_t *node = arg;
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const json_t *body = json_object_get(root, "body");
	const char *queue = json_string_value(json_object_get(root, "queue"));
	const char *id = json_string_value(json_object_get(root, "id"));
	int kind = find_name(ask_names, NODE_ASK_MAX,
			     json_string_value(json_object_get(root, "ask")));
	node_job_ask_t ask = { 0 };
	node_outcome_t none = { .kind = NODE_OUT_NOT_OWNER };
	node_outcome_t doubt = { .kind = NODE_OUT_UNKNOWN,
				 .why = "being stored" };

	if (net_exchange_method(exchange) == NET_GET) {
		json_decref(root);
		node_operators_relayed(node, exchange);
		return;
	}
	if (!strcmp(net_exchange_path(exchange), NODE_PASS_PATH)) {
		json_decref(root);
		node_pass_serve(node, exchange);
		return;
	}
	if (kind < 0 || !queue || !id || !json_is_string(body) ||
	    strcmp(net_exchange_path(exchange), PEER_PATH)) {
		json_decref(root);
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
		return;
	}
	ask.ask = (node_ask_t)kind;
	ask.queue = (char *)queue;
	ask.id = (char *)id;
	ask.body = (base_str_t){ json_string_value(body),
				 json_string_length(body) };
	ask.deadline =
		base_clock_mono() +
		json_integer_value(json_object_get(root, "wait_ms")) * BASE_MS;
	ask.relayed = json_is_true(json_object_get(root, "relayed"));
	if (node->owner && node_owner_valid(node->owner)) {
		node_owner_ask(node->owner, &ask, decided, exchange);
	} else if (node->owner && node_owner_doubts(node->owner, id)) {
		decided(exchange, &doubt);
	} else if (ask.relayed) {
		decided(exchange, &none);
	} else {
		ask.relayed = true;
		node_dispatch(node, &ask, decided, exchange);
	}
	json_decref(root);
}
