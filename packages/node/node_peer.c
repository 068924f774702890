/*
 * Requests between entries: JSON over HTTP, one POST per request.
 *
 * {"ask", "queue", "id", "body", "wait_ms", "relayed", "token", "try", "term",
 * "workspace", "key_digest", "config"}
 * -> {"kind", "state", "retry_after_ms", "pending", "why", "binding", "term",
 * "decides"}
 */
#include <limits.h>

#include "node_int.h"

#define PEER_PATH "/ask"
#define PEER_CONNECTIONS 4
/* A holder answers a submit after one or two changes of the store, each of
 * which takes a quarter of a second in a slow store. */
#define PEER_TIMEOUT (900 * BASE_MS)
/* A holder that leaves a request unanswered for this long, some ten times the
 * usual, is probed before it gets another request. */
#define PEER_SILENCE_MAX (300 * BASE_MS)
#define PEER_PROBE_TIMEOUT (300 * BASE_MS)
#define PEER_TIME_MS_MAX 86400000 /* longest time that is read: a day */
/* A submit or cancel is relayed through an entry that is not the holder only if
 * that entry reached the holder within this time, which is half the time until
 * a failed holder is replaced. */
#define PEER_REACHED_AGE_MAX (1000 * BASE_MS)

static const char *const kind_names[NODE_OUT_MAX] = {
	[NODE_OUT_ACCEPTED] = "accepted",
	[NODE_OUT_REFUSED] = "refused",
	[NODE_OUT_STATE] = "state",
	[NODE_OUT_NOT_FOUND] = "gone",
	[NODE_OUT_PENDING] = "pending",
	[NODE_OUT_INVALID] = "bad",
	[NODE_OUT_NOT_HOLDER] = "not-owner",
	[NODE_OUT_UNKNOWN] = "unknown",
	[NODE_OUT_UNAUTHORIZED] = "unauthorized",
	[NODE_OUT_LIMITED] = "limited",
};

static const char *const ask_names[NODE_OP_MAX] = {
	[NODE_OP_SUBMIT] = "submit",
	[NODE_OP_STATE] = "state",
	[NODE_OP_CANCEL] = "cancel",
	[NODE_OP_PENDING] = "pending",
};

/* Another entry, and how well it answers. */
typedef struct peer {
	node_t *node;
	char *address;
	net_client_t *client;
	net_client_t *probes; /* not delayed by outstanding requests */
	int64_t reached_at;   /* time of its last answer, if a holder gave it;
				 else 0 */
	int64_t silent_since; /* no answer since then; 0: none is due */
	guint outstanding;    /* requests without an answer */
	bool probing;
	bool probe_failed; /* the last probe had no answer */
	bool keeps_tokens; /* its last answer had a term */
	bool silence_logged;
} peer_t;

typedef struct peer_call {
	peer_t *peer;
	bool probe;
	node_outcome_done_t *done;
	void *arg;
} peer_call_t;

/* A request of another entry. */
typedef struct peer_request {
	node_t *node;
	net_exchange_t *exchange;
} peer_request_t;

static int find_index(const char *const *names, int n, const char *name)
{
	int i;

	for (i = 0; name && i < n; i++)
		if (!strcmp(names[i], name))
			return i;
	return -1;
}

static peer_t *find_or_add_peer(node_t *node, const char *address)
{
	peer_t *peer = g_hash_table_lookup(node->peers, address);
	net_client_options_t options = { .loop = node->loop,
					 .address = address,
					 .connections = PEER_CONNECTIONS };

	if (peer)
		return peer;
	peer = talloc_zero(node, peer_t);
	peer->node = node;
	peer->address = talloc_strdup(peer, address);
	peer->client = net_client_new(peer, &options);
	options.connections = 1;
	peer->probes = net_client_new(peer, &options);
	if (!peer->client || !peer->probes) {
		talloc_free(peer);
		return NULL;
	}
	g_hash_table_insert(node->peers, g_strdup(address), peer);
	return peer;
}

static bool is_holder(const peer_t *peer)
{
	const char *holder = peer->node->known_holder.address;

	return holder && !strcmp(holder, peer->address);
}

/* Whether a holder gave the outcome, directly or through a relay. */
static bool is_decided(node_outcome_kind_t kind)
{
	return kind != NODE_OUT_NOT_HOLDER && kind != NODE_OUT_UNKNOWN;
}

static void record_request(peer_t *peer)
{
	peer->outstanding++;
	if (!peer->silent_since)
		peer->silent_since = base_clock_mono();
}

static void record_answer(peer_t *peer, bool heard, bool reached)
{
	int64_t now = base_clock_mono();

	peer->reached_at = reached ? now : 0;
	if (!heard)
		return;
	if (peer->silence_logged)
		node_log(peer->node, BASE_MSG_PEER_HEARD,
			 BASE_F_STR("peer", peer->address),
			 BASE_F_INT("after_us", now - peer->silent_since));
	peer->silence_logged = false;
	peer->silent_since = peer->outstanding ? now : 0;
}

static void log_silence(peer_t *peer)
{
	if (peer->silence_logged || !is_holder(peer))
		return;
	peer->silence_logged = true;
	node_log(peer->node, BASE_MSG_PEER_SILENT,
		 BASE_F_STR("peer", peer->address),
		 BASE_F_INT("asked_us_ago",
			    base_clock_mono() - peer->silent_since),
		 BASE_F_INT("waiting", peer->outstanding));
}

/* 0 if it is missing or out of bounds. */
static int64_t read_number(const json_t *root, const char *name, int64_t most)
{
	int64_t number = 0;

	base_json_int(json_object_get(root, name), 0, most, &number);
	return number;
}

static node_outcome_t read_outcome(const net_answer_t *answer,
				   const json_t *root)
{
	node_outcome_t outcome = { .kind = NODE_OUT_UNKNOWN,
				   .why = "the peer did not answer" };
	int kind = find_index(kind_names, NODE_OUT_MAX,
			      json_string_value(json_object_get(root, "kind")));

	if (answer->call_outcome == NET_UNSENT) {
		outcome.kind = NODE_OUT_NOT_HOLDER;
		outcome.why = "not sent in time";
	}
	if (kind < 0)
		return outcome;
	outcome.kind = (node_outcome_kind_t)kind;
	outcome.state =
		(batch_state_t)read_number(root, "state", BATCH_STATE_MAX - 1);
	outcome.retry_after =
		read_number(root, "retry_after_ms", PEER_TIME_MS_MAX) * BASE_MS;
	outcome.pending = (size_t)read_number(root, "pending", INT64_MAX);
	outcome.why = json_string_value(json_object_get(root, "why"));
	outcome.is_binding = json_is_true(json_object_get(root, "binding"));
	outcome.term = read_number(root, "term", NODE_TERM_MAX);
	return outcome;
}

/* Whether the peer decides, in the term known here or in a later one: it only
 * turned away a try for another term. */
static bool is_deciding(const peer_t *peer, const json_t *root)
{
	return json_is_true(json_object_get(root, "decides")) &&
	       read_number(root, "term", NODE_TERM_MAX) >=
		       peer->node->highest_term;
}

static void answered(void *arg, const net_answer_t *answer)
{
	peer_call_t *call = arg;
	peer_t *peer = call->peer;
	bool heard =
		answer->call_outcome == NET_ANSWERED && answer->status == 200;
	json_t *root =
		heard ? json_loadb(answer->body.ptr, answer->body.len, 0, NULL)
		      : NULL;
	node_outcome_t outcome = read_outcome(answer, root);
	bool decides = heard && is_deciding(peer, root);

	if (heard)
		peer->keeps_tokens = json_object_get(root, "term") != NULL;
	peer->outstanding--;
	record_answer(peer, heard, is_decided(outcome.kind));
	if (!is_decided(outcome.kind) && !decides && is_holder(peer))
		node_election_suspect(peer->node);
	talloc_steal(NULL, call);
	if (call->probe) {
		peer->probing = false;
		peer->probe_failed = !heard;
	} else {
		call->done(call->arg, &outcome);
	}
	json_decref(root);
	talloc_free(call);
}

/* "wait": how long this entry waits for the answer. */
static char *print_request(const void *ctx, const peer_t *peer,
			   const node_job_request_t *ask, int64_t wait)
{
	base_buf_t *body = base_buf_new(ctx);

	base_buf_addf(body,
		      "{\"ask\":\"%s\",\"queue\":", ask_names[ask->job_op]);
	base_buf_add_json(body, base_str(ask->queue));
	base_buf_adds(body, ",\"id\":");
	base_buf_add_json(body, base_str(ask->id));
	base_buf_adds(body, ",\"body\":");
	base_buf_add_json(body, ask->body);
	base_buf_addf(body, ",\"wait_ms\":%lld,\"relayed\":%s",
		      (long long)(wait / BASE_MS),
		      ask->relayed || is_holder(peer) ? "true" : "false");
	if (ask->token) {
		base_buf_adds(body, ",\"token\":");
		base_buf_add_json(body, base_str(ask->token));
		base_buf_addf(body, ",\"try\":%d,\"term\":%lld",
			      ask->try_number, (long long)ask->term);
	}
	if (ask->workspace && ask->key_digest) {
		base_buf_adds(body, ",\"workspace\":");
		base_buf_add_json(body, base_str(ask->workspace));
		base_buf_adds(body, ",\"key_digest\":");
		base_buf_add_json(body, base_str(ask->key_digest));
		base_buf_addf(body, ",\"config\":%lld", (long long)ask->config);
	}
	base_buf_adds(body, "}");
	return body->ptr;
}

static void send_request(peer_t *peer, const node_job_request_t *ask,
			 peer_call_t *call)
{
	int64_t left = call->probe ? PEER_PROBE_TIMEOUT
				   : ask->deadline - base_clock_mono();
	net_request_t request = { .method = NET_POST, .path = PEER_PATH };

	request.timeout = MAX(MIN(left, PEER_TIMEOUT), BASE_MS);
	request.body =
		base_str(print_request(call, peer, ask, request.timeout));
	call->peer = peer;
	record_request(peer);
	node_metrics_count(peer->node, NODE_COUNT_FORWARD);
	net_call(call->probe ? peer->probes : peer->client, &request, answered,
		 call);
}

/* Sends a state request, which changes nothing, to see if the peer answers. */
static void probe(peer_t *peer, const node_job_request_t *original)
{
	node_job_request_t ask = { .job_op = NODE_OP_STATE,
				   .queue = original->queue,
				   .id = original->id,
				   .body = BASE_STR(""),
				   .workspace = original->workspace,
				   .key_digest = original->key_digest,
				   .config = original->config,
				   .relayed = original->relayed };
	peer_call_t *call;

	if (peer->probing)
		return;
	peer->probing = true;
	call = talloc_zero(peer, peer_call_t);
	call->probe = true;
	send_request(peer, &ask, call);
}

static bool is_usable(const peer_t *peer, const node_job_request_t *ask)
{
	int64_t now = base_clock_mono();

	if (is_holder(peer))
		return !peer->silent_since ||
		       now - peer->silent_since < PEER_SILENCE_MAX;
	return ask->job_op == NODE_OP_STATE || ask->job_op == NODE_OP_PENDING ||
	       (peer->reached_at &&
		now - peer->reached_at < PEER_REACHED_AGE_MAX);
}

void node_peer_forward(node_t *node, const char *address,
		       const node_job_request_t *ask, node_outcome_done_t *done,
		       void *arg)
{
	static const node_outcome_t unresponsive = {
		.kind = NODE_OUT_NOT_HOLDER, .why = "the peer does not answer"
	};
	peer_t *peer = find_or_add_peer(node, address);
	peer_call_t *call;

	if (!peer) {
		done(arg, &unresponsive);
		return;
	}
	if (!is_usable(peer, ask)) {
		log_silence(peer);
		probe(peer, ask);
		if (peer->probe_failed && is_holder(peer))
			node_election_suspect(node);
		done(arg, &unresponsive);
		return;
	}
	call = talloc_zero(peer, peer_call_t);
	call->done = done;
	call->arg = arg;
	send_request(peer, ask, call);
}

bool node_peer_keeps_tokens(const node_t *node, const char *address)
{
	const peer_t *peer = g_hash_table_lookup(node->peers, address);

	return peer && peer->keeps_tokens;
}

const char *node_peer_find_relay(const node_t *node)
{
	int64_t now = base_clock_mono();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (!is_holder(peer) && peer->reached_at &&
		    now - peer->reached_at < PEER_REACHED_AGE_MAX)
			return peer->address;
	}
	return NULL;
}

bool node_peer_call(node_t *node, const char *address,
		    const net_request_t *request, net_done_t *done, void *arg)
{
	peer_t *peer = find_or_add_peer(node, address);

	if (!peer)
		return false;
	net_call(peer->client, request, done, arg);
	return true;
}

static void reply_outcome(void *arg, const node_outcome_t *outcome)
{
	peer_request_t *request = arg;
	const node_t *node = request->node;
	base_buf_t *body = base_buf_new(NULL);

	base_buf_addf(body,
		      "{\"kind\":\"%s\",\"state\":%d,\"retry_after_ms\":%lld,"
		      "\"pending\":%zu,\"why\":",
		      kind_names[outcome->kind], (int)outcome->state,
		      (long long)(outcome->retry_after / BASE_MS),
		      outcome->pending);
	base_buf_add_json(body, base_str(outcome->why));
	base_buf_addf(body, ",\"binding\":%s,\"term\":%lld,\"decides\":%s}",
		      outcome->is_binding ? "true" : "false",
		      (long long)node->highest_term,
		      node->holder && node_holder_may_decide(node->holder)
			      ? "true"
			      : "false");
	net_reply(request->exchange, 200, NULL, 0, base_buf_str(body));
	talloc_free(body);
	talloc_free(request);
}

static bool is_change(node_op_t job_op)
{
	return job_op == NODE_OP_SUBMIT || job_op == NODE_OP_CANCEL;
}

static void serve_request(node_t *node, net_exchange_t *exchange,
			  node_job_request_t *ask)
{
	static const node_outcome_t none = { .kind = NODE_OUT_NOT_HOLDER,
					     .why = "not the holder" };
	static const node_outcome_t other_term = { .kind = NODE_OUT_NOT_HOLDER,
						   .why = "another term" };
	static const node_outcome_t unknown = { .kind = NODE_OUT_UNKNOWN,
						.why = "being stored" };
	peer_request_t *request = talloc(node, peer_request_t);

	request->node = node;
	request->exchange = exchange;
	if (node->holder && node_holder_job_uncertain(node->holder, ask->id)) {
		reply_outcome(request, &unknown);
	} else if (ask->term && ask->term < node->highest_term) {
		reply_outcome(request, &other_term);
	} else if (node->holder && node_holder_may_decide(node->holder)) {
		if (node_holder_is_meant(node->holder, ask))
			node_holder_handle_request(node->holder, ask,
						   reply_outcome, request);
		else
			reply_outcome(request, &other_term);
	} else if (ask->relayed) {
		reply_outcome(request, &none);
	} else {
		ask->relayed = true;
		node_dispatch(node, ask, reply_outcome, request);
	}
}

void node_peer_serve(void *arg, net_exchange_t *exchange)
{
	node_t *node = arg;
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const json_t *body = json_object_get(root, "body");
	const char *queue = json_string_value(json_object_get(root, "queue"));
	const char *id = json_string_value(json_object_get(root, "id"));
	int kind = find_index(ask_names, NODE_OP_MAX,
			      json_string_value(json_object_get(root, "ask")));
	node_job_request_t ask = { 0 };

	if (net_exchange_method(exchange) == NET_GET) {
		json_decref(root);
		node_operators_serve_peer(node, exchange);
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
	ask.job_op = (node_op_t)kind;
	ask.queue = (char *)queue;
	ask.id = (char *)id;
	ask.body = (base_str_t){ json_string_value(body),
				 json_string_length(body) };
	/* No entry waits longer than that for the answer; one of an older
	 * version names the time that its caller waits. */
	ask.deadline =
		base_clock_mono() +
		MIN(read_number(root, "wait_ms", PEER_TIME_MS_MAX) * BASE_MS,
		    PEER_TIMEOUT);
	ask.relayed = json_is_true(json_object_get(root, "relayed"));
	ask.token = (char *)json_string_value(json_object_get(root, "token"));
	ask.try_number = (int)read_number(root, "try", INT_MAX);
	ask.workspace =
		(char *)json_string_value(json_object_get(root, "workspace"));
	ask.key_digest =
		(char *)json_string_value(json_object_get(root, "key_digest"));
	ask.config = read_number(root, "config", INT64_MAX);
	if (is_change(ask.job_op))
		ask.term = read_number(root, "term", NODE_TERM_MAX);
	serve_request(node, exchange, &ask);
	json_decref(root);
}
