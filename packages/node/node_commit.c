/*
 * Commits the core's decisions to the store.
 *
 * Each change is conditional on the revisions of the holder's key and of a
 * fence, and rewrites the fence.  A change whose answer was lost, or that is
 * carried out late, thus takes effect at most once and never after a later
 * one.
 *
 * Usually there is one change at a time.  While the store answers slowly, rows
 * are committed in lanes, each with a fence of its own, so that their number
 * does not fall with the store's answer time.  Lanes and the single change are
 * never used at the same time.
 */
#include "node_int.h"

/* Entries of a change: conditions on the holder's key and on the fence, the
 * fence itself, four for a wave, moves and learned run times, and the jobs'
 * rows. */
#define COMMIT_FIXED_ENTRIES 3
#define COMMIT_ROWS_MAX (NODE_CHANGE_MAX - COMMIT_FIXED_ENTRIES - 4)
/* Learned run times change slowly, so a successor may begin with some that are
 * seconds old. */
#define COMMIT_LEARNED_PERIOD (3 * BASE_SEC)
/* Least time from one change to the next, in which decisions are gathered.
 * Rows for one full change are sent at once. */
#define COMMIT_GAP (12 * BASE_MS)
#define COMMIT_RETRY_DELAY (50 * BASE_MS)
/* A change that has no answer for this long, many times the usual one, is
 * looked for in the store, again each time. */
#define COMMIT_LOOK_AFTER (200 * BASE_MS)
/* The store is slow when a change takes longer on average, ten times the usual;
 * the average is over about this many changes. */
#define COMMIT_SLOW (50 * BASE_MS)
#define COMMIT_SLOW_SAMPLES 4

struct node_commit {
	node_holder_t *holder;
	int lane;
	const char *fence_key;
	int64_t fence_revision; /* -1: not read yet */
	bool is_open;		/* it is being stored */
	int64_t number;		/* of the change, within the term */
	int64_t started_at;
	char *fence_text;
	void *ctx; /* of the change */
	node_change_t change;
	net_timer_t *retry_timer; /* repeats a change that had no answer */
	net_timer_t *look_timer;
};

/* A call for a change; the change may be done before the call is answered. */
typedef struct change_call {
	node_commit_t *commit;
	int64_t number;
	int64_t sent_at;
} change_call_t;

static void send_change(void *arg);

static void close_commit(node_commit_t *commit)
{
	commit->is_open = false;
	commit->holder->n_commits_open--;
	net_timer_stop(commit->look_timer);
	net_timer_stop(commit->retry_timer);
	TALLOC_FREE(commit->ctx);
}

static void change_stored(node_commit_t *commit, int64_t fence_revision)
{
	node_holder_t *holder = commit->holder;
	int64_t now = base_clock_mono();
	int64_t took = now - commit->started_at;

	node_metrics_add_time(holder->node, NODE_TIME_COMMIT, took);
	holder->commit_time +=
		(took - holder->commit_time) / COMMIT_SLOW_SAMPLES;
	commit->fence_revision = fence_revision;
	close_commit(commit);
	/* Only these two contain rows of waves and moves. */
	if (commit->lane == BATCH_LANE_ALL || !commit->lane) {
		node_waves_rows_stored(holder->waves);
		node_moves_row_stored(holder->moves);
	}
	batch_rows_stored(holder->core, commit->lane, now);
	node_workers_rows_stored(holder);
	node_holder_step_soon(holder);
	node_commit_send_pending(holder);
}

/* Returns the fence if this change has written it: the change took effect and
 * its answer was lost.  NULL otherwise. */
static const node_item_t *own_fence(const node_commit_t *commit,
				    const node_answer_t *answer)
{
	size_t i;

	for (i = 0; i < answer->n_items; i++)
		if (!strcmp(answer->items[i].key, commit->fence_key) &&
		    base_str_eq(answer->items[i].value,
				base_str(commit->fence_text)))
			return &answer->items[i];
	return NULL;
}

static change_call_t *begin_call(node_commit_t *commit)
{
	change_call_t *call = talloc(commit->holder, change_call_t);

	*call = (change_call_t){ commit, commit->number, base_clock_mono() };
	return call;
}

/* Frees the call; whether its answer still matters. */
static bool end_call(change_call_t *call)
{
	const node_commit_t *commit = call->commit;
	bool is_current = !commit->holder->ended && commit->is_open &&
			  commit->number == call->number;

	talloc_free(call);
	return is_current;
}

static void change_answered(void *arg, const node_answer_t *answer)
{
	change_call_t *call = arg;
	node_commit_t *commit = call->commit;
	node_holder_t *holder = commit->holder;
	const node_item_t *fence;

	node_store_track_status(holder->node, answer->store_status);
	if (!end_call(call))
		return;
	switch (answer->store_status) {
	case NODE_STORE_OK:
		change_stored(commit, answer->revision);
		break;
	case NODE_STORE_CONFLICT:
		fence = own_fence(commit, answer);
		if (fence)
			change_stored(commit, fence->revision);
		else
			node_election_lost(holder->node, "fenced in the store");
		break;
	default:
		net_timer_start(commit->retry_timer, COMMIT_RETRY_DELAY);
		break;
	}
}

/*
 * The fence shows whether the change was done and its answer lost.  If it was
 * not done, although the store answers as usual, it is lost or late: repeated,
 * it takes effect once all the same.
 */
static void looked(void *arg, const node_answer_t *answer)
{
	change_call_t *call = arg;
	node_commit_t *commit = call->commit;
	bool is_prompt =
		base_clock_mono() - call->sent_at < COMMIT_LOOK_AFTER / 2;
	const node_item_t *fence;

	node_store_track_status(commit->holder->node, answer->store_status);
	if (!end_call(call))
		return;
	fence = own_fence(commit, answer);
	if (answer->store_status == NODE_STORE_OK && fence)
		change_stored(commit, fence->revision);
	else if (answer->store_status == NODE_STORE_OK && answer->n_items &&
		 answer->items[0].revision == commit->fence_revision &&
		 is_prompt)
		send_change(commit);
}

static void look_for_change(void *arg)
{
	node_commit_t *commit = arg;
	node_holder_t *holder = commit->holder;

	if (holder->ended)
		return;
	net_timer_start(commit->look_timer, COMMIT_LOOK_AFTER);
	node_store_get(holder->node, holder->store, commit->fence_key, looked,
		       begin_call(commit));
}

static void send_change(void *arg)
{
	node_commit_t *commit = arg;
	node_holder_t *holder = commit->holder;

	if (holder->ended)
		return;
	net_timer_stop(commit->retry_timer);
	node_store_change(holder->node, holder->store, &commit->change,
			  change_answered, begin_call(commit));
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
static void add_learned(node_commit_t *commit, node_set_t *sets, size_t *n)
{
	node_holder_t *holder = commit->holder;
	int64_t now = base_clock_mono();
	const char *text;

	if (now - holder->learned_stored_at < COMMIT_LEARNED_PERIOD)
		return;
	text = batch_learned_print(holder->core, commit->ctx);
	if (!text)
		return;
	holder->learned_stored_at = now;
	add_set(sets, n, NODE_KEY_LEARNED, base_str(text));
}

/* Adds what is stored beside the rows of jobs. */
static void add_others(node_commit_t *commit, node_set_t *sets, size_t *n)
{
	if (commit->lane != BATCH_LANE_ALL && commit->lane)
		return;
	node_waves_add_rows(commit->holder->waves, commit->ctx, sets, n);
	node_moves_add_row(commit->holder->moves, commit->ctx, sets, n);
	add_learned(commit, sets, n);
}

static void build_change(node_commit_t *commit)
{
	node_holder_t *holder = commit->holder;
	void *ctx = commit->ctx;
	batch_row_t rows[COMMIT_ROWS_MAX];
	size_t n = batch_rows(holder->core, commit->lane, rows, COMMIT_ROWS_MAX,
			      COMMIT_ROWS_MAX);
	node_expect_t *expects = talloc_array(ctx, node_expect_t, 2);
	node_set_t *sets = talloc_array(ctx, node_set_t, NODE_CHANGE_MAX);
	const char **removes = talloc_array(ctx, const char *, NODE_CHANGE_MAX);
	size_t n_sets = 0;
	size_t n_removes = 0;
	size_t i;

	expects[0] =
		(node_expect_t){ NODE_KEY_HOLDER, holder->holder_revision };
	expects[1] =
		(node_expect_t){ commit->fence_key, commit->fence_revision };
	commit->fence_text = talloc_asprintf(
		ctx, "{\"term\":%lld,\"commit\":%lld}", (long long)holder->term,
		(long long)commit->number);
	add_set(sets, &n_sets, commit->fence_key, base_str(commit->fence_text));
	add_others(commit, sets, &n_sets);
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
	commit->change = (node_change_t){ .expects = expects,
					  .n_expects = 2,
					  .sets = sets,
					  .n_sets = n_sets,
					  .removes = removes,
					  .n_removes = n_removes };
}

static void open_commit(node_commit_t *commit)
{
	commit->is_open = true;
	commit->holder->n_commits_open++;
	commit->holder->change_started_at = base_clock_mono();
	commit->started_at = commit->holder->change_started_at;
	commit->number = ++commit->holder->commit_number;
	commit->ctx = talloc_new(commit->holder);
}

static void start_commit(node_commit_t *commit)
{
	open_commit(commit);
	build_change(commit);
	net_timer_start(commit->look_timer, COMMIT_LOOK_AFTER);
	send_change(commit);
}

/* Only this holder writes the fences of lanes during its term. */
static void fence_read(void *arg, const node_answer_t *answer)
{
	node_commit_t *commit = arg;
	node_holder_t *holder = commit->holder;

	node_store_track_status(holder->node, answer->store_status);
	if (holder->ended)
		return;
	close_commit(commit);
	if (answer->store_status == NODE_STORE_MISSING)
		commit->fence_revision = 0;
	else if (answer->store_status == NODE_STORE_OK && answer->n_items)
		commit->fence_revision = answer->items[0].revision;
	/* If it was not read, the next step tries again. */
	if (commit->fence_revision >= 0)
		node_commit_send_pending(holder);
}

static void read_fence(node_commit_t *commit)
{
	open_commit(commit);
	node_store_get(commit->holder->node, commit->holder->store,
		       commit->fence_key, fence_read, commit);
}

/* Sends a change in each lane that has none open. */
static void send_lanes(node_holder_t *holder)
{
	int lane;

	for (lane = 0; lane < BATCH_LANES; lane++) {
		node_commit_t *commit = &holder->commits[lane];

		if (commit->is_open)
			continue;
		if (commit->fence_revision < 0)
			read_fence(commit);
		else if (batch_lane_waits(holder->core, lane))
			start_commit(commit);
	}
}

static void begin(node_holder_t *holder)
{
	net_loop_t *loop = holder->node->loop;
	int lane;

	holder->commit_timer = net_timer_new(holder, loop, gap_elapsed, holder);
	holder->commits =
		talloc_zero_array(holder, node_commit_t, BATCH_LANE_MAX);
	for (lane = 0; lane < BATCH_LANE_MAX; lane++) {
		node_commit_t *commit = &holder->commits[lane];

		commit->holder = holder;
		commit->lane = lane;
		commit->fence_key = talloc_asprintf(
			holder->commits, NODE_KEY_LANE_FENCE "%d", lane);
		commit->fence_revision = -1;
		commit->retry_timer = net_timer_new(holder->commits, loop,
						    send_change, commit);
		commit->look_timer = net_timer_new(holder->commits, loop,
						   look_for_change, commit);
	}
	holder->commits[BATCH_LANE_ALL].fence_key = NODE_KEY_FENCE;
	holder->commits[BATCH_LANE_ALL].fence_revision = holder->fence_revision;
}

bool node_commit_is_open(const node_holder_t *holder)
{
	return holder->n_commits_open > 0;
}

void node_commit_send_pending(node_holder_t *holder)
{
	int64_t now = base_clock_mono();
	size_t n_rows = batch_rows_length(holder->core);

	if (holder->ended || !node_holder_may_decide(holder))
		return;
	if (!n_rows && !node_waves_has_unstored(holder->waves) &&
	    !node_moves_has_unstored(holder->moves) &&
	    !holder->forgotten.length)
		return;
	if (!holder->commits)
		begin(holder);
	if (holder->commits[BATCH_LANE_ALL].is_open)
		return;
	if (holder->commit_time > COMMIT_SLOW && n_rows > COMMIT_ROWS_MAX) {
		send_lanes(holder);
		return;
	}
	if (holder->n_commits_open)
		return;
	if (now - holder->change_started_at < COMMIT_GAP &&
	    n_rows < COMMIT_ROWS_MAX) {
		net_timer_start(holder->commit_timer,
				COMMIT_GAP - (now - holder->change_started_at));
		return;
	}
	start_commit(&holder->commits[BATCH_LANE_ALL]);
}
