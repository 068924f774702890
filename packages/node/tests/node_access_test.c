/*
 * Guards against an entry that takes its configuration for more recent than it
 * is, and so accepts a key that the operator has removed.
 *
 * The store is a fake: the test gives the answers.
 */
#include <fcntl.h>

#include "node_int.h"

typedef struct fake {
	node_answered_t *done; /* of the open read or watch; NULL: none */
	void *arg;
	const char *text; /* of the configuration */
} fake_t;

static fake_t fake;

static void fake_list(node_store_t *store, const char *prefix,
		      const char *after, bool stale, node_answered_t *done,
		      void *arg)
{
	(void)store;
	(void)prefix;
	(void)after;
	g_assert_false(stale);
	fake.done = done;
	fake.arg = arg;
}

static void fake_get(node_store_t *store, const char *key,
		     node_answered_t *done, void *arg)
{
	fake_list(store, key, NULL, false, done, arg);
}

static void fake_watch(node_store_t *store, const char *prefix, int64_t after,
		       int64_t wait, node_answered_t *done, void *arg)
{
	(void)wait;
	fake_list(store, prefix, NULL, after < 0, done, arg);
}

/* "N KEY": version N, with that key; anything else cannot be read. */
static bool fake_config_read(const void *ctx, base_str_t text,
			     node_config_t *config, GError **err)
{
	char *copy = base_str_dup(ctx, text);
	char *space = strchr(copy, ' ');

	memset(config, 0, sizeof(*config));
	if (!space) {
		g_set_error(err, NODE_ERROR, NODE_ERR_SETTINGS, "unreadable");
		return false;
	}
	config->version = g_ascii_strtoll(copy, NULL, 10);
	config->has_workspaces = true;
	config->workspaces = talloc_zero(ctx, batch_workspace_info_t);
	config->workspaces->name = BASE_STR("blue");
	config->n_workspaces = 1;
	config->keys = talloc_zero(ctx, node_access_key_t);
	config->keys->text = base_str(space + 1);
	config->n_keys = 1;
	return true;
}

static bool fake_job_read(const void *ctx, base_str_t body, batch_spec_t *spec,
			  GError **err)
{
	static const batch_step_spec_t step = { .count = 1,
						.need = { .cpu = 500 } };

	(void)ctx;
	(void)body;
	(void)err;
	spec->steps = &step;
	spec->n_steps = 1;
	return true;
}

static const node_platform_t fake_platform = {
	.job_read = fake_job_read,
	.config_key = "config",
	.operator_prefix = "operator/",
	.wave_prefix = "operator/wave/",
	.get = fake_get,
	.list = fake_list,
	.watch = fake_watch,
	.config_read = fake_config_read,
};

static node_t *make_node(void)
{
	static node_settings_t settings = { .name = "edge-1",
					    .revoke_bound = 5 * BASE_SEC };
	node_t *node = talloc_zero(NULL, node_t);

	node->settings = &settings;
	node->platform = &fake_platform;
	node->loop = net_loop_new(node);
	node->metrics = node_metrics_new(node);
	node->log = node_log_new(node, node->loop, open("/dev/null", O_WRONLY));
	node_config_begin(node);
	return node;
}

static void free_node(node_t *node)
{
	g_hash_table_unref(node->wave_texts);
	if (node->access_logs)
		g_hash_table_unref(node->access_logs);
	talloc_free(node);
}

/* Answers the open read or watch; "text" NULL: no event. */
static void answer(node_store_status_t status, const char *text)
{
	node_item_t item = { .key = "config", .value = base_str(text) };
	node_answer_t answer = { .store_status = status,
				 .items = &item,
				 .n_items = text ? 1 : 0,
				 .revision = 1 };
	node_answered_t *done = fake.done;

	g_assert_nonnull(done);
	fake.done = NULL;
	done(fake.arg, &answer);
}

/* As if the open question had been sent this much earlier. */
static void age_question(node_t *node, int64_t by)
{
	node->config_asked_at -= by;
}

static node_key_verdict_t judge(node_t *node, const char *key)
{
	node_job_request_t ask = { .queue = (char *)"jobs", .id = (char *)"1" };

	return node_access_judge(node, NULL, base_str(key), &ask);
}

/* An answer that was long on its way shows nothing of what came since. */
static void test_age_counts_from_the_question(void)
{
	node_t *node = make_node();

	age_question(node, 3 * BASE_SEC);
	answer(NODE_STORE_OK, "1 a");
	g_assert_cmpint(node_config_age(node), >=, 3 * BASE_SEC);
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_VALID);
	age_question(node, 6 * BASE_SEC);
	answer(NODE_STORE_OK, NULL);
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_STALE);
	answer(NODE_STORE_OK, NULL);
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_VALID);
	free_node(node);
}

static void test_failed_watch_renews_nothing(void)
{
	node_t *node = make_node();

	answer(NODE_STORE_OK, "1 a");
	node->config_current_at -= 6 * BASE_SEC;
	answer(NODE_STORE_UNKNOWN, NULL);
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_STALE);
	free_node(node);
}

/* The removed key would stay valid as long as later watches see no event. */
static void test_unreadable_configuration(void)
{
	node_t *node = make_node();

	answer(NODE_STORE_OK, "1 a");
	answer(NODE_STORE_OK, "unreadable");
	node->config_current_at -= 6 * BASE_SEC;
	answer(NODE_STORE_OK, NULL);
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_STALE);
	answer(NODE_STORE_OK, "3 c");
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_UNKNOWN);
	g_assert_cmpint(judge(node, "c"), ==, NODE_KEY_VALID);
	free_node(node);
}

static void test_older_version(void)
{
	node_t *node = make_node();

	answer(NODE_STORE_OK, "2 b");
	node->config_current_at -= 6 * BASE_SEC;
	answer(NODE_STORE_OK, "1 a");
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_STALE);
	answer(NODE_STORE_OK, "2 b");
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_UNKNOWN);
	free_node(node);
}

/* The holder judges a request again that waited while its key was removed. */
static void test_key_removed_while_a_request_waits(void)
{
	node_t *node = make_node();
	node_job_request_t ask = { .queue = (char *)"jobs", .id = (char *)"1" };
	node_outcome_t outcome = { 0 };

	answer(NODE_STORE_OK, "1 a");
	node_access_judge(node, NULL, BASE_STR("a"), &ask);
	ask.workspace = talloc_strdup(node, ask.workspace);
	ask.key_digest = talloc_strdup(node, ask.key_digest);
	g_assert_false(node_access_refuses(node, &ask, &outcome));
	answer(NODE_STORE_OK, "2 b");
	g_assert_true(node_access_refuses(node, &ask, &outcome));
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_UNAUTHORIZED);
	node->config_current_at -= 6 * BASE_SEC;
	g_assert_true(node_access_refuses(node, &ask, &outcome));
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_NOT_HOLDER);
	free_node(node);
}

/* A read that lacks the configuration shows nothing of its keys. */
static void test_read_without_configuration(void)
{
	node_t *node = make_node();

	answer(NODE_STORE_OK, "1 a");
	answer(NODE_STORE_COMPACTED, NULL);
	node->config_current_at -= 6 * BASE_SEC;
	answer(NODE_STORE_OK, NULL);
	g_assert_cmpint(judge(node, "a"), ==, NODE_KEY_STALE);
	free_node(node);
}

static void ignore_name(void *arg, base_str_t name)
{
	(void)arg;
	(void)name;
}

static node_holder_t *make_holder(node_t *node)
{
	static const batch_ops_t ops = { .accepted = ignore_name,
					 .cancelled = ignore_name };
	batch_options_t options = { .ops = &ops };
	batch_queue_info_t queue = { .name = BASE_STR("jobs"),
				     .pool = BASE_STR("desk"),
				     .attempts = 2,
				     .stretch = 20,
				     .target_latency = 60 * BASE_SEC };
	batch_pool_info_t pool = { .name = BASE_STR("desk") };
	node_holder_t *holder = talloc_zero(node, node_holder_t);

	holder->node = node;
	holder->core = batch_new(holder, &options);
	holder->refusals = node_refusals_new(holder);
	batch_config(holder->core, &queue, 1, &pool, 1);
	return holder;
}

/* Stores a job "1" of the workspace blue and the queue "jobs". */
static void store_job(node_holder_t *holder)
{
	batch_step_spec_t step = { .count = 1,
				   .need = { .cpu = 500 },
				   .long_running = true,
				   .max_unavailable = 1 };
	batch_spec_t spec = { .id = BASE_STR("1"),
			      .queue = BASE_STR("jobs"),
			      .workspace = BASE_STR("blue"),
			      .steps = &step,
			      .n_steps = 1 };
	batch_refusal_t refusal;
	batch_row_t row;

	g_assert_cmpint(batch_submit(holder->core, 1, 1, &spec, &refusal), ==,
			BATCH_ACCEPTED);
	g_assert_cmpuint(batch_rows(holder->core, BATCH_LANE_ALL, &row, 1, 2),
			 ==, 1);
	batch_rows_stored(holder->core, BATCH_LANE_ALL, 2);
}

static void keep_outcome(void *arg, const node_outcome_t *outcome)
{
	*(node_outcome_t *)arg = *outcome;
}

static node_outcome_t handle(node_holder_t *holder, node_job_request_t *ask,
			     node_op_t op)
{
	node_outcome_t outcome = { .kind = NODE_OUT_MAX };

	ask->job_op = op;
	node_holder_handle_request(holder, ask, keep_outcome, &outcome);
	return outcome;
}

/* The caller would be told that an accepted job never runs. */
static void test_key_removed_after_an_earlier_try(void)
{
	node_t *node = make_node();
	node_job_request_t ask = { .queue = (char *)"jobs",
				   .id = (char *)"1",
				   .workspace = (char *)"blue",
				   .key_digest = (char *)"0",
				   .token = (char *)"t",
				   .config = 1 };
	node_holder_t *holder;
	node_outcome_t outcome;

	answer(NODE_STORE_OK, "2 b");
	holder = make_holder(node);
	store_job(holder);
	ask.try_number = 2;
	outcome = handle(holder, &ask, NODE_OP_SUBMIT);
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_ACCEPTED);
	outcome = handle(holder, &ask, NODE_OP_CANCEL);
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_UNAUTHORIZED);
	g_assert_false(outcome.is_binding);
	ask.id = (char *)"2";
	outcome = handle(holder, &ask, NODE_OP_CANCEL);
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_UNAUTHORIZED);
	g_assert_true(outcome.is_binding);
	free_node(node);
}

/* A request without a key would reach the jobs of queues that need one. */
static void test_public_route_and_jobs_of_others(void)
{
	static node_route_t route = { .queue = { .name = BASE_STR("open") },
				      .is_public = true };
	node_t *node = make_node();
	node_job_request_t ask = { .queue = (char *)"open", .id = (char *)"1" };
	node_holder_t *holder;

	answer(NODE_STORE_OK, "1 a");
	node->config.routes = &route;
	node->config.n_routes = 1;
	holder = make_holder(node);
	store_job(holder);
	g_assert_cmpint(handle(holder, &ask, NODE_OP_STATE).kind, ==,
			NODE_OUT_NOT_FOUND);
	g_assert_cmpint(handle(holder, &ask, NODE_OP_CANCEL).kind, ==,
			NODE_OUT_NOT_FOUND);
	route.queue.name = BASE_STR("jobs");
	ask.queue = (char *)"jobs";
	g_assert_cmpint(handle(holder, &ask, NODE_OP_STATE).kind, ==,
			NODE_OUT_STATE);
	free_node(node);
}

/* The job comes while the holder reads whether it may say that there is none:
 * another workspace's cancel would end it. */
static void test_cancel_before_the_job_of_others(void)
{
	node_t *node = make_node();
	node_job_request_t ask = { .job_op = NODE_OP_CANCEL,
				   .queue = (char *)"jobs",
				   .id = (char *)"1",
				   .workspace = (char *)"red" };
	node_item_t key = { .key = NODE_KEY_HOLDER };
	node_answer_t read = { .store_status = NODE_STORE_OK,
			       .items = &key,
			       .n_items = 1 };
	node_outcome_t outcome = { .kind = NODE_OUT_MAX };
	node_holder_t *holder;

	answer(NODE_STORE_OK, "1 a");
	holder = make_holder(node);
	ask.config = 2; /* newer than the holder's */
	ask.key_digest = (char *)"0";
	node_holder_handle_request(holder, &ask, keep_outcome, &outcome);
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_MAX);
	store_job(holder);
	fake.done(fake.arg, &read);
	g_assert_cmpint(outcome.kind, ==, NODE_OUT_NOT_FOUND);
	free_node(node);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-access/age-counts-from-the-question",
			test_age_counts_from_the_question);
	g_test_add_func("/node-access/failed-watch-renews-nothing",
			test_failed_watch_renews_nothing);
	g_test_add_func("/node-access/unreadable-configuration",
			test_unreadable_configuration);
	g_test_add_func("/node-access/older-version", test_older_version);
	g_test_add_func("/node-access/key-removed-while-a-request-waits",
			test_key_removed_while_a_request_waits);
	g_test_add_func("/node-access/read-without-configuration",
			test_read_without_configuration);
	g_test_add_func("/node-access/key-removed-after-an-earlier-try",
			test_key_removed_after_an_earlier_try);
	g_test_add_func("/node-access/public-route-and-jobs-of-others",
			test_public_route_and_jobs_of_others);
	g_test_add_func("/node-access/cancel-before-the-job-of-others",
			test_cancel_before_the_job_of_others);
	return g_test_run();
}
