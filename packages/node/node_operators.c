/*
 * Requests of operators: metrics, status, and an explanation of the state of a
 * job, a worker, a pool, an instance or a wave.
 *
 * Only the holder can explain; another entry forwards the request to it.  An
 * explanation is an object with "result", "said", the facts and the entry that
 * answered.
 */
#include <stdlib.h>

#include "node_int.h"

#define EXPLAIN_PATH "/jobs/explain?id="
#define STATUS_PATH "/status"
#define METRICS_PATH "/metrics"
#define EXPLAIN_TIMEOUT BASE_SEC /* the operator can retry */

static const char *const instance_state_names[NODE_INSTANCE_STATE_MAX] = {
	[NODE_INSTANCE_UP] = "up",
	[NODE_INSTANCE_MOVING] = "moving",
	[NODE_INSTANCE_MAINTENANCE] = "in upkeep",
	[NODE_INSTANCE_DOWN] = "down",
};

static void reply_json(net_exchange_t *exchange, int status, json_t *answer)
{
	char *text = json_dumps(answer, JSON_COMPACT | JSON_SORT_KEYS);

	net_reply(exchange, status, NULL, 0, base_str(text));
	free(text);
	json_decref(answer);
}

static json_t *explain_instance(const node_holder_t *holder, const char *name)
{
	const node_inst_t *inst = node_instance_find(holder->instances, name);
	int64_t age =
		base_clock_mono() - holder->instances->complete_round_start;
	base_buf_t *sentence;
	json_t *answer;

	if (!inst)
		return NULL;
	sentence = base_buf_new(NULL);
	answer = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I}", "kind", "instance",
			   "instance", inst->name, "pool", inst->pool, "worker",
			   inst->worker, "state",
			   instance_state_names[inst->state], "listed_us_ago",
			   (json_int_t)age);
	base_buf_addf(sentence,
		      "instance %s of pool %s is %s, listed %.1f s ago",
		      inst->name, inst->pool, instance_state_names[inst->state],
		      (double)age / BASE_SEC);
	if (*inst->worker)
		base_buf_addf(sentence, ", as worker %s", inst->worker);
	node_moves_explain(holder->moves, name, answer, sentence);
	node_waves_explain_instance(holder->waves, name, answer, sentence);
	base_buf_adds(sentence, ".");
	json_object_set_new(answer, "said", json_string(sentence->ptr));
	talloc_free(sentence);
	return answer;
}

static json_t *explain(const node_t *node, const char *name)
{
	const node_holder_t *holder = node->holder;
	json_t *answer =
		batch_explain(holder->core, base_clock_mono(), base_str(name));

	if (!answer)
		answer = explain_instance(holder, name);
	if (!answer)
		answer = node_waves_explain(holder->waves, name);
	if (!answer)
		return json_pack("{s:s,s:s}", "result", "refused", "why",
				 "nothing is called so here, or no more");
	json_object_set_new(answer, "result", json_string("done"));
	json_object_set_new(answer, "entry", json_string(node->settings->name));
	json_object_set_new(answer, "term", json_integer(holder->term));
	json_object_set_new(answer, "decides",
			    json_boolean(node_holder_may_decide(holder)));
	return answer;
}

/* Adds what only the holder knows; other entries leave these fields out. */
static void add_holder_status(const node_holder_t *holder, json_t *answer)
{
	json_object_set_new(answer, "decides",
			    json_boolean(node_holder_may_decide(holder)));
	json_object_set_new(
		answer, "pools",
		batch_explain_pools(holder->core, base_clock_mono()));
	json_object_set_new(answer, "waves", node_waves_list(holder->waves));
}

static json_t *status(const node_t *node)
{
	int64_t now = base_clock_mono();
	json_t *answer = json_pack(
		"{s:s,s:s,s:I,s:I,s:i,s:b,s:b,s:I,s:s,s:I,s:I}", "entry",
		node->settings->name, "zone", node->settings->zone,
		"generation", (json_int_t)node->config.version,
		"generation_current_us_ago", (json_int_t)node_config_age(node),
		"in_flight", (int)g_hash_table_size(node->open_requests),
		"draining", node->stopping, "store_down", node->store_down,
		"store_heard_us_ago",
		(json_int_t)(now - node->store_answered_at), "holder",
		node->known_holder.name ? node->known_holder.name : "", "term",
		(json_int_t)node->known_holder.term, "holder_learned_us_ago",
		(json_int_t)(now - node->known_holder.refreshed_at));

	if (node->holder)
		add_holder_status(node->holder, answer);
	return answer;
}

static void explain_answered(void *arg, const net_answer_t *answer)
{
	net_exchange_t *exchange = arg;

	if (answer->call_outcome == NET_ANSWERED && answer->status == 200)
		net_reply(exchange, 200, NULL, 0, answer->body);
	else
		reply_json(exchange, 200,
			   json_pack("{s:s,s:s}", "result", "refused", "why",
				     "the holder does not answer"));
}

static void serve_explain(node_t *node, net_exchange_t *exchange,
			  bool may_forward)
{
	const char *path = net_exchange_path(exchange);
	char *name = g_uri_unescape_string(path + strlen(EXPLAIN_PATH), NULL);
	net_request_t request = { .method = NET_GET,
				  .path = path,
				  .timeout = EXPLAIN_TIMEOUT };

	if (!name) {
		reply_json(exchange, 400,
			   json_pack("{s:s,s:s}", "result", "refused", "why",
				     "the name has an invalid URI escape"));
	} else if (node->holder) {
		reply_json(exchange, 200, explain(node, name));
	} else if (!may_forward || !node->known_holder.address ||
		   !node_peer_call(node, node->known_holder.address, &request,
				   explain_answered, exchange)) {
		reply_json(exchange, 200,
			   json_pack("{s:s}", "result", "nobody"));
	}
	g_free(name);
}

static void serve(node_t *node, net_exchange_t *exchange, bool may_forward)
{
	const char *path = net_exchange_path(exchange);

	if (net_exchange_method(exchange) != NET_GET)
		net_reply(exchange, 405, NULL, 0, BASE_STR(""));
	else if (!strcmp(path, METRICS_PATH))
		node_metrics_serve(node, exchange);
	else if (!strcmp(path, STATUS_PATH))
		reply_json(exchange, 200, status(node));
	else if (g_str_has_prefix(path, EXPLAIN_PATH))
		serve_explain(node, exchange, may_forward);
	else
		net_reply(exchange, 404, NULL, 0, BASE_STR(""));
}

void node_operators_serve(void *arg, net_exchange_t *exchange)
{
	serve(arg, exchange, true);
}

void node_operators_serve_peer(node_t *node, net_exchange_t *exchange)
{
	serve(node, exchange, false);
}
