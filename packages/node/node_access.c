/*
 * Which requests of callers may be carried out, by their access keys: applies
 * the decisions of node_key.c to this entry's configuration and its age, and
 * logs and counts what is refused.
 */
#include "node_int.h"

/* Time between two log lines of one reason and queue. */
#define ACCESS_LOG_PERIOD BASE_SEC

typedef struct refusal_log {
	int64_t logged_at;
	int64_t suppressed;
} refusal_log_t;

static const node_count_t verdict_counts[NODE_KEY_VERDICT_MAX] = {
	[NODE_KEY_MISSING] = NODE_COUNT_KEY_MISSING,
	[NODE_KEY_UNKNOWN] = NODE_COUNT_KEY_UNKNOWN,
	[NODE_KEY_STALE] = NODE_COUNT_KEY_STALE,
};

int64_t node_config_age(const node_t *node)
{
	return base_clock_mono() - node->config_current_at;
}

static node_key_check_t make_check(const node_t *node,
				   const node_route_t *route)
{
	return (node_key_check_t){
		.keys = node->keys,
		.is_public = route && route->is_public,
		.age = node_config_age(node),
		.age_max = node->settings->revoke_bound,
	};
}

bool node_access_is_stale(const node_t *node)
{
	node_key_check_t check = make_check(node, NULL);
	const node_key_owner_t *owner;

	return node_key_judge(&check, BASE_STR(""), &owner) == NODE_KEY_STALE;
}

static refusal_log_t *find_log(node_t *node, node_key_verdict_t verdict,
			       const char *queue)
{
	char *name = talloc_asprintf(NULL, "%d %s", (int)verdict, queue);
	refusal_log_t *log;

	if (!node->access_logs)
		node->access_logs = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
	log = g_hash_table_lookup(node->access_logs, name);
	if (!log) {
		log = g_new0(refusal_log_t, 1);
		g_hash_table_insert(node->access_logs, g_strdup(name), log);
	}
	talloc_free(name);
	return log;
}

static void record_refusal(node_t *node, node_key_verdict_t verdict,
			   const char *queue, const char *workspace,
			   const char *id)
{
	int64_t now = base_clock_mono();
	refusal_log_t *log = find_log(node, verdict, queue);

	node_metrics_count(node, verdict_counts[verdict]);
	if (log->logged_at && now - log->logged_at < ACCESS_LOG_PERIOD) {
		log->suppressed++;
		return;
	}
	node_log(node, BASE_MSG_KEY_REFUSED, BASE_F_STR("id", id),
		 BASE_F_STR("queue", queue),
		 BASE_F_STR("why", node_key_verdict_name(verdict)),
		 BASE_F_STR("workspace", workspace ? workspace : ""),
		 BASE_F_INT("config", node->config.version),
		 BASE_F_INT("age_us", node_config_age(node)),
		 BASE_F_INT("suppressed", log->suppressed));
	log->logged_at = now;
	log->suppressed = 0;
}

static bool is_allowed(node_key_verdict_t verdict)
{
	return verdict == NODE_KEY_VALID || verdict == NODE_KEY_NOT_NEEDED;
}

node_key_verdict_t node_access_judge(node_t *node, const node_route_t *route,
				     base_str_t key, node_job_request_t *ask)
{
	node_key_check_t check = make_check(node, route);
	const node_key_owner_t *owner;
	node_key_verdict_t verdict = node_key_judge(&check, key, &owner);

	if (owner) {
		ask->workspace = (char *)owner->workspace;
		ask->key_digest = (char *)owner->digest;
		ask->config = node->config.version;
	}
	if (!is_allowed(verdict))
		record_refusal(node, verdict, ask->queue, NULL, ask->id);
	return verdict;
}

bool node_access_refuses(node_t *node, const node_job_request_t *ask,
			 node_outcome_t *outcome)
{
	node_key_check_t check =
		make_check(node, node_route_by_queue(node, ask->queue));
	node_key_verdict_t verdict = node_key_judge_forwarded(
		&check, ask->workspace, ask->key_digest, ask->config,
		node->config.version);

	if (is_allowed(verdict))
		return false;
	record_refusal(node, verdict, ask->queue, ask->workspace, ask->id);
	/* Without current knowledge nothing is done: another try may succeed.
	 */
	outcome->kind = verdict == NODE_KEY_UNKNOWN ? NODE_OUT_UNAUTHORIZED
						    : NODE_OUT_NOT_HOLDER;
	outcome->why = node_key_verdict_name(verdict);
	return true;
}
