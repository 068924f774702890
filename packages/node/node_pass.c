/*
 * A holder that the store turns away while others still reach it: one of these
 * ends the holder's lease, so that the next holder decides within some tenths
 * of a second, and not only when the lease is over.
 *
 * Others are asked first whether they reach the store, which does nothing.  Who
 * says yes is asked to end the lease; from then on the holder decides nothing,
 * unless the answer is that nothing was done and will not be.  An answer that
 * was lost may be a lease that ends later: the duty is not used any more.
 */
#include "node_int.h"

/* Without an answer of the store that is one, for so long: a moment of
 * trouble passes within it. */
#define PASS_AFTER (200 * BASE_MS)
/* While a change waits and no call has failed: a slow store's answers take
 * 60 times 4 ms. */
#define PASS_SILENT_AFTER (400 * BASE_MS)
/* An entry whose store does not answer within that does nothing. */
#define PASS_PROBE (200 * BASE_MS)
#define PASS_LOOK_TIMEOUT (300 * BASE_MS) /* the probe and the way */
#define PASS_END_TIMEOUT (500 * BASE_MS)  /* the lease's end as well */
#define PASS_AGAIN (300 * BASE_MS)	  /* between two rounds of questions */
#define PASS_PEERS 3 /* of a round: two may be turned away or gone */

typedef enum pass_outcome {
	PASS_NO, /* nothing was done */
	PASS_YES,
	PASS_UNSURE,
	PASS_MAX
} pass_outcome_t;

static const char *const outcome_names[PASS_MAX] = {
	[PASS_NO] = "no",
	[PASS_YES] = "yes",
	[PASS_UNSURE] = "unsure",
};

/* A question to one peer. */
typedef struct pass_call {
	node_t *node;
	char *address;
	int64_t term;
	bool look; /* whether it reaches the store, no more */
} pass_call_t;

/* Such a question as the peer has it. */
typedef struct pass_asked {
	node_t *node;
	net_exchange_t *exchange;
	char *name;
	int64_t term;
	int64_t lease;
	bool look;
	int64_t since;
	net_timer_t *timer;
	bool told; /* answered: what the store says comes too late */
} pass_asked_t;

static bool ask(node_owner_t *owner, const char *address, bool look);
static void ask_next(node_owner_t *owner);

static pass_outcome_t outcome_of(const net_answer_t *answer)
{
	int i;

	if (answer->fate == NET_UNSENT)
		return PASS_NO;
	if (answer->fate != NET_ANSWERED)
		return PASS_UNSURE;
	for (i = 0; i < PASS_MAX; i++)
		if (base_str_eq(answer->body, base_str(outcome_names[i])))
			return (pass_outcome_t)i;
	/* An older version does not know the question. */
	return PASS_NO;
}

/* Whether the store does not let this entry do what it has to do. */
static bool is_turned_away(const node_owner_t *owner)
{
	const node_t *node = owner->node;
	int64_t silence = base_clock_mono() - node->store_heard;

	if (node->store_down)
		return silence > PASS_AFTER;
	return owner->committing && silence > PASS_SILENT_AFTER;
}

static void asked_to_look(node_owner_t *owner, const pass_call_t *call,
			  pass_outcome_t outcome)
{
	if (outcome == PASS_YES && node_owner_valid(owner) &&
	    is_turned_away(owner))
		owner->passing = ask(owner, call->address, false);
	if (!owner->passing)
		ask_next(owner);
}

static void asked_to_end(node_owner_t *owner, pass_outcome_t outcome)
{
	if (outcome == PASS_YES) {
		node_lead_lost(owner->node, "passed on, since the store turns "
					    "this entry away");
		return;
	}
	owner->pass_left = 0;
	owner->passing = outcome != PASS_NO;
	node_owner_wake(owner);
}

static void answered(void *arg, const net_answer_t *answer)
{
	pass_call_t *call = arg;
	node_t *node = call->node;
	node_owner_t *owner = node->owner;
	pass_outcome_t outcome = outcome_of(answer);

	node_log(node, BASE_MSG_DUTY_PASS, BASE_F_INT("term", call->term),
		 BASE_F_STR("peer", call->address),
		 BASE_F_STR("asked", call->look ? "to look" : "to end"),
		 BASE_F_STR("outcome", outcome_names[outcome]),
		 BASE_F_INT("store_heard_us_ago",
			    base_clock_mono() - node->store_heard));
	if (owner && owner->term == call->term) {
		owner->pass_waits = false;
		if (call->look)
			asked_to_look(owner, call, outcome);
		else
			asked_to_end(owner, outcome);
	}
	talloc_free(call);
}

/* False where that is no address. */
static bool ask(node_owner_t *owner, const char *address, bool look)
{
	node_t *node = owner->node;
	pass_call_t *call = talloc_zero(node, pass_call_t);
	base_buf_t *body = base_buf_new(call);
	net_request_t request = { .method = NET_POST,
				  .path = NODE_PASS_PATH,
				  .timeout = look ? PASS_LOOK_TIMEOUT
						  : PASS_END_TIMEOUT };

	call->node = node;
	call->term = owner->term;
	call->address = talloc_strdup(call, address);
	call->look = look;
	base_buf_adds(body, "{\"name\":");
	base_buf_add_json(body, base_str(node->settings->name));
	base_buf_addf(body, ",\"term\":%lld,\"lease\":%lld,\"look\":%s}",
		      (long long)owner->term, (long long)owner->lease,
		      look ? "true" : "false");
	request.body = base_buf_str(body);
	owner->pass_waits =
		node_peer_call(node, address, &request, answered, call);
	if (owner->pass_waits)
		return true;
	talloc_free(call);
	return false;
}

static void ask_next(node_owner_t *owner)
{
	const GPtrArray *members = owner->node->members;

	while (owner->pass_left) {
		owner->pass_left--;
		if (!is_turned_away(owner) || !members->len)
			return;
		if (ask(owner,
			g_ptr_array_index(members,
					  owner->pass_next++ % members->len),
			true))
			return;
	}
}

void node_pass_look(node_owner_t *owner)
{
	const node_t *node = owner->node;
	int64_t now = base_clock_mono();

	if (owner->passing || owner->pass_waits || !owner->restored ||
	    !is_turned_away(owner) || now - owner->pass_asked < PASS_AGAIN ||
	    now >= owner->lease_until || !node->members->len)
		return;
	owner->pass_asked = now;
	owner->pass_left = MIN(PASS_PEERS, node->members->len);
	owner->pass_next =
		base_rng_below(&owner->node->rng, node->members->len);
	ask_next(owner);
}

static void tell(pass_asked_t *asked, pass_outcome_t outcome)
{
	asked->told = true;
	net_timer_stop(asked->timer);
	if (asked->look && outcome == PASS_NO) {
		net_reply(asked->exchange, 200, NULL, 0,
			  base_str(outcome_names[outcome]));
		return;
	}
	node_log(asked->node, BASE_MSG_DUTY_PASS_ASKED,
		 BASE_F_STR("holder", asked->name),
		 BASE_F_INT("term", asked->term),
		 BASE_F_STR("asked", asked->look ? "to look" : "to end"),
		 BASE_F_STR("outcome", outcome_names[outcome]),
		 BASE_F_INT("took_us", base_clock_mono() - asked->since));
	net_reply(asked->exchange, 200, NULL, 0,
		  base_str(outcome_names[outcome]));
}

static void too_late(void *arg)
{
	tell(arg, PASS_NO);
}

static void finish(pass_asked_t *asked, pass_outcome_t outcome)
{
	tell(asked, outcome);
	talloc_free(asked);
}

static void released(void *arg, const node_answer_t *answer)
{
	pass_asked_t *asked = arg;

	node_store_answered(asked->node, answer->fate);
	switch (answer->fate) {
	case NODE_STORE_OK:
	case NODE_STORE_MISSING:
		finish(asked, PASS_YES);
		break;
	case NODE_STORE_REFUSED:
		finish(asked, PASS_NO);
		break;
	default:
		finish(asked, PASS_UNSURE);
		break;
	}
}

static bool is_holding(const pass_asked_t *asked, const node_item_t *item)
{
	json_t *root = json_loadb(item->value.ptr, item->value.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	bool same = name && !strcmp(name, asked->name) &&
		    json_integer_value(json_object_get(root, "term")) ==
			    asked->term;

	json_decref(root);
	return same;
}

static void probed(void *arg, const node_answer_t *answer)
{
	pass_asked_t *asked = arg;
	node_t *node = asked->node;

	node_store_answered(node, answer->fate);
	if (asked->told) {
		talloc_free(asked);
		return;
	}
	net_timer_stop(asked->timer);
	if (answer->fate != NODE_STORE_OK || !answer->n_items ||
	    base_clock_mono() - asked->since > PASS_PROBE ||
	    !is_holding(asked, &answer->items[0])) {
		finish(asked, PASS_NO);
		return;
	}
	if (asked->look) {
		finish(asked, PASS_YES);
		return;
	}
	node_store_release(node, asked->lease, released, asked);
}

void node_pass_serve(node_t *node, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	pass_asked_t *asked;

	if (!name) {
		json_decref(root);
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
		return;
	}
	asked = talloc_zero(node, pass_asked_t);
	asked->node = node;
	asked->exchange = exchange;
	asked->name = talloc_strdup(asked, name);
	asked->term = json_integer_value(json_object_get(root, "term"));
	asked->lease = json_integer_value(json_object_get(root, "lease"));
	asked->look = json_is_true(json_object_get(root, "look"));
	asked->since = base_clock_mono();
	asked->timer = net_timer_new(asked, node->loop, too_late, asked);
	net_timer_start(asked->timer, PASS_PROBE);
	json_decref(root);
	node_store_get(node, node->store, NODE_KEY_OWNER, probed, asked);
}
