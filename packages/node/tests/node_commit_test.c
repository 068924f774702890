/*
 * Changes of the store by the holder.  The test plays the store, which answers
 * when it is told to.
 */
#include <fcntl.h>

#include "node_int.h"

#define CHANGES_MAX 64
#define JOBS 200
/* Longer than the usual answer of the store, many times over. */
#define SLOW_ANSWER (120 * BASE_MS)

typedef struct sent {
	char fence[64];
	int64_t fence_revision;
	int64_t holder_revision;
	char text[64];
	size_t n_sets;
	node_answered_t *done;
	void *arg;
} sent_t;

static struct {
	node_t *node;
	node_holder_t *holder;
	sent_t open[CHANGES_MAX];
	size_t n_open;
	int64_t revision;
	GHashTable *fences; /* key to its revision */
	size_t n_reads;
	bool answers_reads;	    /* false: no read is answered */
	node_answered_t *read_done; /* of the last read */
	void *read_arg;
	char fence_text[64]; /* of the fence that is read next */
} test;

static void fake_change(node_store_t *store, const node_change_t *change,
			node_answered_t *done, void *arg)
{
	sent_t *sent = &test.open[test.n_open++];

	(void)store;
	g_assert_cmpuint(test.n_open, <, CHANGES_MAX);
	g_assert_cmpuint(change->n_expects, ==, 2);
	g_assert_cmpuint(change->n_expects + change->n_sets + change->n_removes,
			 <=, NODE_CHANGE_MAX);
	g_assert_cmpstr(change->expects[0].key, ==, NODE_KEY_HOLDER);
	sent->holder_revision = change->expects[0].revision;
	g_strlcpy(sent->fence, change->expects[1].key, sizeof(sent->fence));
	sent->fence_revision = change->expects[1].revision;
	g_snprintf(sent->text, sizeof(sent->text), "%.*s",
		   BASE_STR_ARG(change->sets[0].value));
	sent->n_sets = change->n_sets;
	sent->done = done;
	sent->arg = arg;
}

static void fake_get(node_store_t *store, const char *key,
		     node_answered_t *done, void *arg)
{
	const int64_t *revision = g_hash_table_lookup(test.fences, key);
	node_item_t item = { .key = key, .revision = revision ? *revision : 0 };
	node_answer_t answer = { .store_status = revision ? NODE_STORE_OK
							  : NODE_STORE_MISSING,
				 .items = &item,
				 .n_items = revision != NULL };

	(void)store;
	test.n_reads++;
	item.value = base_str(test.fence_text);
	test.read_done = done;
	test.read_arg = arg;
	if (test.answers_reads)
		done(arg, &answer);
}

static const node_platform_t fake_platform = {
	.change = fake_change,
	.get = fake_get,
};

static void fake_accepted(void *arg, base_str_t job)
{
	(void)arg;
	(void)job;
}

static const batch_ops_t ops = { .accepted = fake_accepted };

static void no_step(void *arg)
{
	(void)arg;
}

static void setup(void)
{
	batch_options_t options = { .ops = &ops };
	batch_queue_info_t queue = { .name = BASE_STR("q"),
				     .pool = BASE_STR("p"),
				     .attempts = 3 };
	batch_pool_info_t pool = { .name = BASE_STR("p") };
	node_holder_t *holder;

	memset(&test, 0, sizeof(test));
	test.revision = 100;
	test.answers_reads = true;
	test.fences =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	test.node = talloc_zero(NULL, node_t);
	test.node->platform = &fake_platform;
	test.node->settings = talloc_zero(test.node, node_settings_t);
	test.node->loop = net_loop_new(test.node);
	test.node->metrics = node_metrics_new(test.node);
	test.node->log = node_log_new(test.node, test.node->loop,
				      open("/dev/null", O_WRONLY));
	test.holder = holder = talloc_zero(test.node, node_holder_t);
	holder->node = test.node;
	holder->store = talloc_size(holder, 1);
	holder->term = 1;
	holder->restored = true;
	holder->lease_until = INT64_MAX / 2;
	holder->holder_revision = 7;
	holder->fence_revision = 8;
	holder->core = batch_new(holder, &options);
	holder->worker_links = g_hash_table_new(g_str_hash, g_str_equal);
	holder->waves = node_waves_new(holder);
	holder->moves = node_moves_new(holder);
	holder->step_timer =
		net_timer_new(holder, test.node->loop, no_step, NULL);
	g_queue_init(&holder->forgotten);
	g_queue_init(&holder->awaiting_stored);
	/* Learned run times are not due. */
	holder->learned_stored_at = INT64_MAX / 2;
	batch_config(holder->core, &queue, 1, &pool, 1);
}

static void teardown(void)
{
	g_hash_table_unref(test.holder->worker_links);
	g_hash_table_unref(test.fences);
	talloc_free(test.node);
}

static void submit(int first, int n)
{
	batch_step_spec_t step = { .count = 1,
				   .need = { 1000, 100, 0 },
				   .estimate = BASE_SEC,
				   .long_running = true };
	batch_spec_t spec = { .queue = BASE_STR("q"),
			      .source = BASE_STR("s"),
			      .steps = &step,
			      .n_steps = 1 };
	batch_refusal_t refusal;
	char id[16];
	int i;

	for (i = first; i < first + n; i++) {
		g_snprintf(id, sizeof(id), "%08x", i);
		spec.id = base_str(id);
		g_assert_cmpint(
			batch_submit(test.holder->core, base_clock_mono(),
				     base_clock_wall(), &spec, &refusal),
			==, BATCH_ACCEPTED);
	}
}

/* The store carries out a change that is open, and answers it. */
static void answer(size_t at)
{
	sent_t sent = test.open[at];
	node_answer_t answer = { .store_status = NODE_STORE_OK,
				 .revision = ++test.revision };
	const int64_t *known = g_hash_table_lookup(test.fences, sent.fence);

	g_assert_cmpint(sent.holder_revision, ==, 7);
	if (known)
		g_assert_cmpint(sent.fence_revision, ==, *known);
	g_hash_table_replace(test.fences, g_strdup(sent.fence),
			     g_memdup2(&test.revision, sizeof(test.revision)));
	test.open[at] = test.open[--test.n_open];
	sent.done(sent.arg, &answer);
}

/* Lets changes take so long that the store counts as slow. */
static void make_slow(void)
{
	int i;

	for (i = 0; i < 6; i++) {
		submit(1000 + 30 * i, 30);
		node_commit_send_pending(test.holder);
		g_assert_cmpuint(test.n_open, ==, 1);
		g_assert_cmpstr(test.open[0].fence, ==, NODE_KEY_FENCE);
		g_usleep(SLOW_ANSWER);
		answer(0);
		if (test.n_open > 1)
			break;
	}
}

/* Goes on until lanes are open. */
static void open_lanes(void)
{
	make_slow();
	submit(0, JOBS);
	while (test.n_open && !strcmp(test.open[0].fence, NODE_KEY_FENCE))
		answer(0);
	node_commit_send_pending(test.holder);
	g_assert_cmpuint(test.n_open, ==, BATCH_LANES);
}

/* Each open change has the fence of another lane. */
static void check_fences(void)
{
	GHashTable *fences = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < test.n_open; i++) {
		g_assert_true(g_str_has_prefix(test.open[i].fence,
					       NODE_KEY_LANE_FENCE));
		g_assert_true(g_hash_table_add(fences, test.open[i].fence));
	}
	g_hash_table_unref(fences);
}

/* What is left is less than a full change, so it waits for more. */
static void store_rest(void)
{
	while (test.n_open || batch_rows_length(test.holder->core)) {
		g_usleep(20 * BASE_MS);
		node_commit_send_pending(test.holder);
		while (test.n_open)
			answer(0);
	}
}

/*
 * Guards against a throughput that falls with the answer time of the store: one
 * change at a time stores no more than its rows in each answer.
 */
static void test_slow_store(void)
{
	size_t left;

	setup();
	open_lanes();
	check_fences();
	/* None of all jobs while lanes are open. */
	node_commit_send_pending(test.holder);
	g_assert_cmpuint(test.n_open, ==, BATCH_LANES);
	for (left = 2000; test.n_open && left; left--)
		answer(left % test.n_open);
	store_rest();
	g_assert_cmpuint(test.n_reads, ==, BATCH_LANES);
	teardown();
}

static void run_loop(void)
{
	net_timer_t *timer =
		net_timer_new(NULL, test.node->loop,
			      (void (*)(void *))net_loop_stop, test.node->loop);

	net_timer_start(timer, 20 * BASE_MS);
	net_loop_run(test.node->loop);
	talloc_free(timer);
}

/* The store does the open change, and its answer is lost. */
static void lose_answer(void)
{
	sent_t sent = test.open[0];

	g_strlcpy(test.fence_text, sent.text, sizeof(test.fence_text));
	g_hash_table_replace(test.fences, g_strdup(sent.fence),
			     g_memdup2(&test.revision, sizeof(test.revision)));
}

/*
 * Guards against holders that take turns (AVAIL and others on days with many
 * takeovers): the answer to a change was lost, and the store passed for one
 * that does not answer until the call timed out.
 */
static void test_lost_answer_is_looked_for(void)
{
	node_answer_t lost = { .store_status = NODE_STORE_UNKNOWN };
	sent_t first;
	int i;

	setup();
	submit(1, 20);
	node_commit_send_pending(test.holder);
	g_assert_cmpuint(test.n_open, ==, 1);
	first = test.open[0];
	lose_answer();
	submit(100, 5);
	for (i = 0; i < 500 && test.n_open < 2; i++) {
		run_loop();
		node_commit_send_pending(test.holder);
	}
	/* The next change follows, after a single call for this one. */
	g_assert_cmpuint(test.n_open, ==, 2);
	g_assert_cmpstr(test.open[1].text, !=, first.text);
	g_assert_cmpint(test.open[1].fence_revision, ==, test.revision);
	g_assert_cmpint(base_clock_mono() - test.node->store_answered_at, <,
			10 * BASE_SEC);
	/* The late end of the first call changes nothing. */
	first.done(first.arg, &lost);
	g_assert_true(node_commit_is_open(test.holder));
	teardown();
}

/*
 * Guards against a process that ends with a fault (seed 7017 of the soak): a
 * change without an answer was to be repeated, and a read of its fence showed
 * first that it is done.
 */
static void test_change_found_done_is_not_repeated(void)
{
	node_answer_t lost = { .store_status = NODE_STORE_UNKNOWN };
	node_item_t fence = { .key = NODE_KEY_FENCE, .revision = 101 };
	node_answer_t found = { .store_status = NODE_STORE_OK,
				.items = &fence,
				.n_items = 1 };
	int i;

	setup();
	test.answers_reads = false;
	submit(1, 5);
	node_commit_send_pending(test.holder);
	for (i = 0; i < 500 && !test.n_reads; i++)
		run_loop();
	g_assert_cmpuint(test.n_reads, ==, 1);
	test.open[0].done(test.open[0].arg, &lost);
	fence.value = base_str(test.open[0].text);
	test.read_done(test.read_arg, &found);
	g_assert_false(node_commit_is_open(test.holder));
	for (i = 0; i < 10; i++)
		run_loop();
	g_assert_cmpuint(test.n_open, ==, 1);
	teardown();
}

/* A change that was lost on its way is sent again, for the same reason as in
 * lost-answer-is-looked-for. */
static void test_lost_change_is_sent_again(void)
{
	int i;

	setup();
	g_hash_table_replace(test.fences, g_strdup(NODE_KEY_FENCE),
			     g_memdup2(&test.holder->fence_revision,
				       sizeof(test.holder->fence_revision)));
	submit(1, 20);
	node_commit_send_pending(test.holder);
	for (i = 0; i < 500 && test.n_open < 2; i++)
		run_loop();
	g_assert_cmpuint(test.n_open, ==, 2);
	g_assert_cmpstr(test.open[1].text, ==, test.open[0].text);
	/* A store that answers nothing is not asked to do it again. */
	test.answers_reads = false;
	test.n_reads = 0;
	for (i = 0; i < 500 && test.n_reads < 2; i++)
		run_loop();
	g_assert_cmpuint(test.n_open, ==, 2);
	teardown();
}

/* Guards against a late change of a lane that takes effect after a later one:
 * one whose answer was lost is repeated, and found to be its own. */
static void test_lost_answer_in_a_lane(void)
{
	node_answer_t lost = { .store_status = NODE_STORE_UNKNOWN };
	node_answer_t conflict = { .store_status = NODE_STORE_CONFLICT };
	node_item_t item;
	sent_t sent;

	setup();
	open_lanes();
	sent = test.open[--test.n_open];
	sent.done(sent.arg, &lost);
	while (test.n_open < BATCH_LANES)
		run_loop();
	sent = test.open[--test.n_open];
	item = (node_item_t){ .key = sent.fence,
			      .value = base_str(sent.text),
			      .revision = 55 };
	conflict.items = &item;
	conflict.n_items = 1;
	test.node->holder = test.holder;
	sent.done(sent.arg, &conflict);
	g_assert_false(test.holder->ended);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-commit/slow-store", test_slow_store);
	g_test_add_func("/node-commit/lost-answer-is-looked-for",
			test_lost_answer_is_looked_for);
	g_test_add_func("/node-commit/change-found-done-is-not-repeated",
			test_change_found_done_is_not_repeated);
	g_test_add_func("/node-commit/lost-change-is-sent-again",
			test_lost_change_is_sent_again);
	g_test_add_func("/node-commit/lost-answer-in-a-lane",
			test_lost_answer_in_a_lane);
	return g_test_run();
}
