/*
 * Follows the operator's keys in the store: the configuration and the waves
 * (rounds of maintenance).
 */
#include "node_int.h"

/* Length of one watch.  With its grace time it is short enough that a watch on
 * a silent connection is detected well within the two seconds in which a
 * change must be in force. */
#define CONFIG_WATCH_TIMEOUT (1000 * BASE_MS)
/* Delay before all keys are read again: several round trips of a store that is
 * up. */
#define CONFIG_RETRY_DELAY (150 * BASE_MS)

static void read_all(void *arg);

void node_store_track_status(node_t *node, node_store_status_t status)
{
	int64_t now = base_clock_mono();
	bool is_down =
		status == NODE_STORE_UNKNOWN || status == NODE_STORE_REFUSED;

	if (is_down)
		node_metrics_count(node, NODE_COUNT_STORE_FAILED);
	if (is_down && !node->store_down)
		node_log(node, BASE_MSG_STORE_DOWN,
			 BASE_F_STR("why", status == NODE_STORE_REFUSED
						   ? "refused"
						   : "no answer"),
			 BASE_F_INT("heard_us_ago",
				    now - node->store_answered_at));
	if (!is_down && node->store_down)
		node_log(node, BASE_MSG_STORE_UP,
			 BASE_F_INT("after_us", now - node->store_answered_at));
	node->store_down = is_down;
	if (!is_down)
		node->store_answered_at = now;
}

/* Returns false if the text cannot be read. */
static bool apply_config(node_t *node, base_str_t text)
{
	void *ctx = talloc_new(node);
	node_config_t config;
	GError *err = NULL;

	if (!node->platform->config_read(ctx, text, &config, &err)) {
		node_log(node, BASE_MSG_CONFIG_REFUSED,
			 BASE_F_STR("why", err->message),
			 BASE_F_INT("in_force", node->config.version));
		g_clear_error(&err);
		talloc_free(ctx);
		return false;
	}
	/* A read may be stale: an older version never replaces a newer one. */
	if (config.version <= node->config.version) {
		talloc_free(ctx);
		return config.version == node->config.version;
	}
	talloc_free(node->config_ctx);
	node->config_ctx = ctx;
	node->config = config;
	node->keys = node_keys_new(ctx, &config);
	node_log(node, BASE_MSG_CONFIG_IN_FORCE,
		 BASE_F_INT("version", config.version),
		 BASE_F_INT("routes", (int64_t)config.n_routes),
		 BASE_F_INT("pools", (int64_t)config.n_pools));
	if (node->holder)
		node_holder_config(node->holder);
	return true;
}

static void apply_items(node_t *node, const node_answer_t *answer)
{
	size_t i;

	for (i = 0; i < answer->n_items; i++) {
		const node_item_t *item = &answer->items[i];

		if (item->removed)
			continue;
		if (!strcmp(item->key, node->platform->config_key))
			node->config_unreadable =
				!apply_config(node, item->value);
		else if (g_str_has_prefix(item->key,
					  node->platform->wave_prefix))
			g_hash_table_replace(
				node->wave_texts, g_strdup(item->key),
				g_strndup(item->value.ptr, item->value.len));
	}
	if (answer->n_items && node->holder)
		node_holder_waves(node->holder);
}

/*
 * What an answer shows was true when the question was sent.  It does not renew
 * the configuration if the operator's last one could not be read.
 */
static void note_current(node_t *node)
{
	if (!node->config_unreadable)
		node->config_current_at = node->config_asked_at;
}

static void watch_answered(void *arg, const node_answer_t *answer);

static void watch(node_t *node)
{
	node->config_asked_at = base_clock_mono();
	node_store_watch(node, node->platform->operator_prefix,
			 node->operator_revision, CONFIG_WATCH_TIMEOUT,
			 watch_answered);
}

static void watch_answered(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;

	node_store_track_status(node, answer->store_status);
	switch (answer->store_status) {
	case NODE_STORE_OK:
		apply_items(node, answer);
		note_current(node);
		if (answer->revision > node->operator_revision)
			node->operator_revision = answer->revision;
		watch(node);
		break;
	case NODE_STORE_COMPACTED:
		read_all(node);
		break;
	default:
		/* Reads all keys again: changes may have been missed, and the
		 * history may have been compacted. */
		net_timer_start(node->config_timer, CONFIG_RETRY_DELAY);
		break;
	}
}

static bool lists_config(const node_t *node, const node_answer_t *answer)
{
	size_t i;

	for (i = 0; i < answer->n_items; i++)
		if (!strcmp(answer->items[i].key, node->platform->config_key))
			return true;
	return false;
}

static void read_all_answered(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	/* Nothing shows then that the keys in force still are. */
	bool lacks_keys = node->keys && !lists_config(node, answer);

	node_store_track_status(node, answer->store_status);
	if (answer->store_status != NODE_STORE_OK) {
		net_timer_start(node->config_timer, CONFIG_RETRY_DELAY);
		return;
	}
	apply_items(node, answer);
	if (!lacks_keys)
		note_current(node);
	node->operator_revision = answer->revision;
	node->operator_read = true;
	if (node->config.version && !lacks_keys)
		watch(node);
	else
		net_timer_start(node->config_timer, CONFIG_RETRY_DELAY);
}

static void read_all(void *arg)
{
	node_t *node = arg;
	node_range_t range = { .prefix = node->platform->operator_prefix };

	node->config_asked_at = base_clock_mono();
	node_store_list(node, node->store, &range, read_all_answered, node);
}

void node_config_begin(node_t *node)
{
	node->wave_texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->config_timer = net_timer_new(node, node->loop, read_all, node);
	read_all(node);
}

const node_route_t *node_route_find(const node_t *node, base_str_t host,
				    base_str_t path)
{
	const node_route_t *best = NULL;
	size_t i;

	for (i = 0; i < node->config.n_routes; i++) {
		const node_route_t *route = &node->config.routes[i];

		if (path.len < route->prefix.len ||
		    memcmp(path.ptr, route->prefix.ptr, route->prefix.len) ||
		    (route->host.len && !base_str_eq(route->host, host)))
			continue;
		if (!best || route->prefix.len > best->prefix.len)
			best = route;
	}
	return best;
}

const node_route_t *node_route_by_queue(const node_t *node, const char *queue)
{
	size_t i;

	for (i = 0; i < node->config.n_routes; i++)
		if (base_str_eq(node->config.routes[i].queue.name,
				base_str(queue)))
			return &node->config.routes[i];
	return NULL;
}
