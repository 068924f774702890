/*
 * Handover when the store fails for the holder but not for other entries: one
 * of them ends the holder's lease, so that the next holder decides within some
 * tenths of a second instead of after the lease has expired.
 *
 * The holder first probes peers: each reports whether it reaches the store,
 * without side effects.  A peer that does is asked to end the lease.  From then
 * on the holder decides nothing, unless the peer answers that nothing was done
 * and nothing will be.  If the answer is lost the lease may still end later, so
 * the holder decides nothing more in this term.
 */
#include "node_int.h"

/* If the last store call failed, a handover starts after this long without a
 * definite answer from the store, so that a short disturbance causes none. */
#define PASS_FAILED_AFTER (200 * BASE_MS)
/* If no store call has failed but a change is outstanding, a handover starts
 * after this long without an answer from the store: a slow store takes 60 times
 * the usual 4 ms to answer. */
#define PASS_SILENT_AFTER (400 * BASE_MS)
/* A peer whose read of the store takes longer than this does nothing. */
#define PASS_READ_TIMEOUT (200 * BASE_MS)
/* Time for the peer's read of the store and the round trip. */
#define PASS_PROBE_TIMEOUT (300 * BASE_MS)
/* Time for a probe and the release of the lease. */
#define PASS_END_TIMEOUT (500 * BASE_MS)
/* Least time between two rounds of probes. */
#define PASS_ROUND_GAP (300 * BASE_MS)
/* Peers probed per round: two may be cut off too or be down. */
#define PASS_ROUND_PEERS 3

typedef enum pass_outcome {
	PASS_NO, /* nothing was done, nothing will be */
	PASS_YES,
	PASS_UNKNOWN, /* the lease may be ended, now or later */
	PASS_MAX
} pass_outcome_t;

static const char *const outcome_names[PASS_MAX] = {
	[PASS_NO] = "no",
	[PASS_YES] = "yes",
	[PASS_UNKNOWN] = "unsure",
};

/* A request to one peer, as the holder keeps it. */
typedef struct pass_call {
	node_t *node;
	char *address;
	int64_t term;
	bool probe_only; /* do not end the lease */
} pass_call_t;

/* A request to end or to probe, as the peer that received it keeps it. */
typedef struct pass_request {
	node_t *node;
	net_exchange_t *exchange;
	char *name;
	int64_t term;
	int64_t lease;
	bool probe_only;
	int64_t received_at;
	net_timer_t *timer;
	bool replied; /* a later answer of the store is ignored */
} pass_request_t;

static bool send_request(node_holder_t *holder, const char *address,
			 bool probe_only);
static void probe_next_peer(node_holder_t *holder);

static pass_outcome_t read_outcome(const net_answer_t *answer)
{
	int i;

	if (answer->call_outcome == NET_UNSENT)
		return PASS_NO;
	if (answer->call_outcome != NET_ANSWERED)
		return PASS_UNKNOWN;
	for (i = 0; i < PASS_MAX; i++)
		if (base_str_eq(answer->body, base_str(outcome_names[i])))
			return (pass_outcome_t)i;
	/* An entry of an older version does not know the request. */
	return PASS_NO;
}

/* Whether the store has not answered this entry for too long. */
static bool is_store_unreachable(const node_holder_t *holder)
{
	const node_t *node = holder->node;
	int64_t silence = base_clock_mono() - node->store_answered_at;

	if (node->store_down)
		return silence > PASS_FAILED_AFTER;
	return node_commit_is_open(holder) && silence > PASS_SILENT_AFTER;
}

static void probe_answered(node_holder_t *holder, const pass_call_t *call,
			   pass_outcome_t outcome)
{
	if (outcome == PASS_YES && node_holder_may_decide(holder) &&
	    is_store_unreachable(holder)) {
		holder->handover_asked_at = base_clock_mono();
		holder->handover_pending =
			send_request(holder, call->address, false);
	}
	if (!holder->handover_pending)
		probe_next_peer(holder);
}

static void end_answered(node_holder_t *holder, pass_outcome_t outcome)
{
	if (outcome == PASS_YES) {
		node_election_lost(holder->node,
				   "handed over because the store "
				   "does not answer this entry");
		return;
	}
	holder->handover_peers_left = 0;
	holder->handover_pending = outcome != PASS_NO;
	node_holder_step_soon(holder);
}

static void answered(void *arg, const net_answer_t *answer)
{
	pass_call_t *call = arg;
	node_t *node = call->node;
	node_holder_t *holder = node->holder;
	pass_outcome_t outcome = read_outcome(answer);

	node_log(node, BASE_MSG_DUTY_PASS, BASE_F_INT("term", call->term),
		 BASE_F_STR("peer", call->address),
		 BASE_F_STR("asked", call->probe_only ? "to look" : "to end"),
		 BASE_F_STR("outcome", outcome_names[outcome]),
		 BASE_F_INT("store_heard_us_ago",
			    base_clock_mono() - node->store_answered_at));
	if (holder && holder->term == call->term) {
		holder->handover_awaits_reply = false;
		if (call->probe_only)
			probe_answered(holder, call, outcome);
		else
			end_answered(holder, outcome);
	}
	talloc_free(call);
}

/* Sends a request to a peer; false: the address is invalid. */
static bool send_request(node_holder_t *holder, const char *address,
			 bool probe_only)
{
	node_t *node = holder->node;
	pass_call_t *call = talloc_zero(node, pass_call_t);
	base_buf_t *body = base_buf_new(call);
	net_request_t request = { .method = NET_POST,
				  .path = NODE_PASS_PATH,
				  .timeout = probe_only ? PASS_PROBE_TIMEOUT
							: PASS_END_TIMEOUT };

	call->node = node;
	call->term = holder->term;
	call->address = talloc_strdup(call, address);
	call->probe_only = probe_only;
	base_buf_adds(body, "{\"name\":");
	base_buf_add_json(body, base_str(node->settings->name));
	base_buf_addf(body, ",\"term\":%lld,\"lease\":%lld,\"look\":%s}",
		      (long long)holder->term, (long long)holder->lease,
		      probe_only ? "true" : "false");
	request.body = base_buf_str(body);
	holder->handover_awaits_reply =
		node_peer_call(node, address, &request, answered, call);
	if (holder->handover_awaits_reply)
		return true;
	talloc_free(call);
	return false;
}

static void probe_next_peer(node_holder_t *holder)
{
	const GPtrArray *members = holder->node->members;

	while (holder->handover_peers_left) {
		holder->handover_peers_left--;
		if (!is_store_unreachable(holder) || !members->len)
			return;
		if (send_request(holder,
				 g_ptr_array_index(
					 members, holder->handover_next_peer++ %
							  members->len),
				 true))
			return;
	}
}

void node_pass_check(node_holder_t *holder)
{
	const node_t *node = holder->node;
	int64_t now = base_clock_mono();

	if (holder->handover_pending || holder->handover_awaits_reply ||
	    !holder->restored || !is_store_unreachable(holder) ||
	    now - holder->handover_round_start < PASS_ROUND_GAP ||
	    now >= holder->lease_until || !node->members->len)
		return;
	holder->handover_round_start = now;
	holder->handover_peers_left = MIN(PASS_ROUND_PEERS, node->members->len);
	holder->handover_next_peer =
		base_rng_below(&holder->node->rng, node->members->len);
	probe_next_peer(holder);
}

static void reply(pass_request_t *request, pass_outcome_t outcome)
{
	request->replied = true;
	net_timer_stop(request->timer);
	if (request->probe_only && outcome == PASS_NO) {
		net_reply(request->exchange, 200, NULL, 0,
			  base_str(outcome_names[outcome]));
		return;
	}
	node_log(
		request->node, BASE_MSG_DUTY_PASS_ASKED,
		BASE_F_STR("holder", request->name),
		BASE_F_INT("term", request->term),
		BASE_F_STR("asked", request->probe_only ? "to look" : "to end"),
		BASE_F_STR("outcome", outcome_names[outcome]),
		BASE_F_INT("took_us",
			   base_clock_mono() - request->received_at));
	net_reply(request->exchange, 200, NULL, 0,
		  base_str(outcome_names[outcome]));
}

static void probe_timed_out(void *arg)
{
	reply(arg, PASS_NO);
}

static void finish(pass_request_t *request, pass_outcome_t outcome)
{
	reply(request, outcome);
	talloc_free(request);
}

static void released(void *arg, const node_answer_t *answer)
{
	pass_request_t *request = arg;

	node_store_track_status(request->node, answer->store_status);
	switch (answer->store_status) {
	case NODE_STORE_OK:
	case NODE_STORE_MISSING:
		finish(request, PASS_YES);
		break;
	case NODE_STORE_REFUSED:
		finish(request, PASS_NO);
		break;
	default:
		finish(request, PASS_UNKNOWN);
		break;
	}
}

static bool names_holder(const pass_request_t *request, const node_item_t *item)
{
	json_t *root = json_loadb(item->value.ptr, item->value.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	bool same = name && !strcmp(name, request->name) &&
		    json_integer_value(json_object_get(root, "term")) ==
			    request->term;

	json_decref(root);
	return same;
}

static void holder_key_read(void *arg, const node_answer_t *answer)
{
	pass_request_t *request = arg;
	node_t *node = request->node;

	node_store_track_status(node, answer->store_status);
	if (request->replied) {
		talloc_free(request);
		return;
	}
	net_timer_stop(request->timer);
	if (answer->store_status != NODE_STORE_OK || !answer->n_items ||
	    base_clock_mono() - request->received_at > PASS_READ_TIMEOUT ||
	    !names_holder(request, &answer->items[0])) {
		finish(request, PASS_NO);
		return;
	}
	if (request->probe_only) {
		finish(request, PASS_YES);
		return;
	}
	node_store_release(node, request->lease, released, request);
}

void node_pass_serve(node_t *node, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	pass_request_t *request;

	if (!name) {
		json_decref(root);
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
		return;
	}
	request = talloc_zero(node, pass_request_t);
	request->node = node;
	request->exchange = exchange;
	request->name = talloc_strdup(request, name);
	request->term = json_integer_value(json_object_get(root, "term"));
	request->lease = json_integer_value(json_object_get(root, "lease"));
	request->probe_only = json_is_true(json_object_get(root, "look"));
	request->received_at = base_clock_mono();
	request->timer =
		net_timer_new(request, node->loop, probe_timed_out, request);
	net_timer_start(request->timer, PASS_READ_TIMEOUT);
	json_decref(root);
	node_store_get(node, node->store, NODE_KEY_HOLDER, holder_key_read,
		       request);
}
