/*
 * Commits the core's decisions to the store, one change at a time.
 *
 * Each change is conditional on the revisions of the holder's key and of the
 * fence, and rewrites the fence.  A change whose answer was lost, or that is
 * carried out late, thus takes effect at most once and never after a later
 * one.
 */
#include "node_int.h"

/* Entries of a change: conditions on the holder's key and on the fence, the
 * fence itself, three for a wave and learned run times, and the jobs' rows. */
#define COMMIT_FIXED_ENTRIES 3
#define COMMIT_ROWS_MAX (NODE_CHANGE_MAX - COMMIT_FIXED_ENTRIES - 3)
/* Learned run times change slowly, so a successor may begin with some that are
 * seconds old. */
#define COMMIT_LEARNED_PERIOD (3 * BASE_SEC)
/* Least time from one change to the next, in which decisions are gathered.
 * Rows for one full change are sent at once. */
#define COMMIT_GAP (12 * BASE_MS)
#define COMMIT_RETRY_DELAY (50 * BASE_MS)

static void send_change(void *arg);
static void gap_elapsed(void *arg);

static void change_stored(node_holder_t *holder, int64_t fence_revision)
{
	int64_t now = base_clock_mono();

	node_metrics_add_time(holder->node, NODE_TIME_COMMIT,
			      now - holder->change_started_at);
	holder->fence_revision = fence_revision;
	holder->committing = false;
	TALLOC_FREE(holder->commit_ctx);
	node_waves_rows_stored(holder->waves);
	batch_rows_stored(holder->core, now);
	node_workers_rows_stored(holder);
	node_holder_step_soon(holder);
	node_commit_send_pending(holder);
}

/* Returns the fence if this change has written it: the change took effect and
 * its answer was lost.  NULL otherwise. */
static const node_item_t *own_fence(const node_holder_t *holder,
				    const node_answer_t *answer)
{
	size_t i;

	for (i = 0; i < answer->n_items; i++)
		if (!strcmp(answer->items[i].key, NODE_KEY_FENCE) &&
		    base_str_eq(answer->items[i].value,
				base_str(holder->fence_text)))
			return &answer->items[i];
	return NULL;
}

static void change_answered(void *arg, const node_answer_t *answer)
{
	node_holder_t *holder = arg;
	const node_item_t *fence;

	node_store_track_status(holder->node, answer->store_status);
	if (holder->ended)
		return;
	switch (answer->store_status) {
	case NODE_STORE_OK:
		change_stored(holder, answer->revision);
		break;
	case NODE_STORE_CONFLICT:
		fence = own_fence(holder, answer);
		if (fence)
			change_stored(holder, fence->revision);
		else
			node_election_lost(holder->node, "fenced in the store");
		break;
	default:
		net_timer_start(holder->retry_timer, COMMIT_RETRY_DELAY);
		break;
	}
}

static void send_change(void *arg)
{
	node_holder_t *holder = arg;

	if (holder->ended)
		return;
	node_store_change(holder->node, holder->store, &holder->commit,
			  change_answered, holder);
}

static void gap_elapsed(void *arg)
{
	node_commit_send_pending(arg);
}

static void add_set(node_set_t *sets, size_t *n, const char *key,
		    base_str_t value)
{
	sets[(*n)++] = (node_set_t){ key, value, 0 };
}

/* Learned run times are stored only with a change that is due anyway. */
static void add_learned(node_holder_t *holder, node_set_t *sets, size_t *n)
{
	int64_t now = base_clock_mono();
	const char *text;

	if (now - holder->learned_stored_at < COMMIT_LEARNED_PERIOD)
		return;
	text = batch_learned_print(holder->core, holder->commit_ctx);
	if (!text)
		return;
	holder->learned_stored_at = now;
	add_set(sets, n, NODE_KEY_LEARNED, base_str(text));
}

static void build_change(node_holder_t *holder)
{
	void *ctx = holder->commit_ctx;
	batch_row_t rows[COMMIT_ROWS_MAX];
	size_t n = batch_rows(holder->core, rows, COMMIT_ROWS_MAX,
			      COMMIT_ROWS_MAX);
	node_expect_t *expects = talloc_array(ctx, node_expect_t, 2);
	node_set_t *sets = talloc_array(ctx, node_set_t, NODE_CHANGE_MAX);
	const char **removes = talloc_array(ctx, const char *, NODE_CHANGE_MAX);
	size_t n_sets = 0;
	size_t n_removes = 0;
	size_t i;

	expects[0] =
		(node_expect_t){ NODE_KEY_HOLDER, holder->holder_revision };
	expects[1] = (node_expect_t){ NODE_KEY_FENCE, holder->fence_revision };
	holder->fence_text = talloc_asprintf(
		ctx, "{\"term\":%lld,\"commit\":%lld}", (long long)holder->term,
		(long long)++holder->commit_number);
	add_set(sets, &n_sets, NODE_KEY_FENCE, base_str(holder->fence_text));
	node_waves_add_rows(holder->waves, ctx, sets, &n_sets);
	add_learned(holder, sets, &n_sets);
	for (i = 0; i < n; i++) {
		char *key = talloc_asprintf(ctx, NODE_KEY_ROW "%.*s",
					    BASE_STR_ARG(rows[i].job));
		char *source = talloc_asprintf(ctx, NODE_KEY_JOB "%.*s",
					       BASE_STR_ARG(rows[i].job));

		add_set(sets, &n_sets, key, base_str(rows[i].record));
		if (rows[i].source.len)
			add_set(sets, &n_sets, source, rows[i].source);
		else if (rows[i].ended)
			removes[n_removes++] = source;
	}
	/* Entries of the change that are left remove rows of purged jobs. */
	while (COMMIT_FIXED_ENTRIES - 1 + n_sets + n_removes <
		       NODE_CHANGE_MAX &&
	       holder->forgotten.length) {
		char *id = g_queue_pop_head(&holder->forgotten);

		removes[n_removes++] =
			talloc_asprintf(ctx, NODE_KEY_ROW "%s", id);
		g_free(id);
	}
	holder->commit = (node_change_t){ .expects = expects,
					  .n_expects = 2,
					  .sets = sets,
					  .n_sets = n_sets,
					  .removes = removes,
					  .n_removes = n_removes };
}

void node_commit_send_pending(node_holder_t *holder)
{
	int64_t now = base_clock_mono();

	if (holder->committing || holder->ended ||
	    !node_holder_may_decide(holder))
		return;
	if (!batch_rows_waiting(holder->core) &&
	    !node_waves_has_unstored(holder->waves) &&
	    !holder->forgotten.length)
		return;
	if (!holder->commit_timer) {
		holder->commit_timer = net_timer_new(holder, holder->node->loop,
						     gap_elapsed, holder);
		holder->retry_timer = net_timer_new(holder, holder->node->loop,
						    send_change, holder);
	}
	if (now - holder->change_started_at < COMMIT_GAP &&
	    batch_rows_length(holder->core) < COMMIT_ROWS_MAX) {
		net_timer_start(holder->commit_timer,
				COMMIT_GAP - (now - holder->change_started_at));
		return;
	}
	holder->committing = true;
	holder->change_started_at = now;
	holder->commit_ctx = talloc_new(holder);
	build_change(holder);
	send_change(holder);
}
