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
 * fence itself, three for a wave and learned run times, and two per job. */
#define COMMIT_FIXED_ENTRIES 3
#define COMMIT_ROWS_MAX ((NODE_CHANGE_MAX - COMMIT_FIXED_ENTRIES - 3) / 2)
/* Learned run times change slowly, so a successor may begin with some that are
 * seconds old. */
#define COMMIT_LEARNED_PERIOD (3 * BASE_SEC)
/* Least time from one change to the next, in which decisions are gathered.
 * Rows that fill a whole change do not wait. */
#define COMMIT_GAP (12 * BASE_MS)
#define COMMIT_RETRY_DELAY (50 * BASE_MS)

static void send_change(void *arg);
static void gap_elapsed(void *arg);

static void change_stored(node_owner_t *owner, int64_t fence_revision)
{
	int64_t now = base_clock_mono();

	node_time(owner->node, NODE_TIME_COMMIT, now - owner->change_began);
	owner->fence_revision = fence_revision;
	owner->committing = false;
	TALLOC_FREE(owner->commit_ctx);
	node_waves_kept(owner->waves);
	batch_rows_kept(owner->core, now);
	node_owner_wake(owner);
	node_commit_pump(owner);
}

/* Returns the fence if this change has written it: the change took effect and
 * its answer was lost.  NULL otherwise. */
static const node_item_t *own_fence(const node_owner_t *owner,
				    const node_answer_t *answer)
{
	size_t i;

	for (i = 0; i < answer->n_items; i++)
		if (!strcmp(answer->items[i].key, NODE_KEY_FENCE) &&
		    base_str_eq(answer->items[i].value,
				base_str(owner->fence_text)))
			return &answer->items[i];
	return NULL;
}

static void change_answered(void *arg, const node_answer_t *answer)
{
	node_owner_t *owner = arg;
	const node_item_t *fence;

	node_store_answered(owner->node, answer->fate);
	if (owner->ended)
		return;
	switch (answer->fate) {
	case NODE_STORE_OK:
		change_stored(owner, answer->revision);
		break;
	case NODE_STORE_CONFLICT:
		fence = own_fence(owner, answer);
		if (fence)
			change_stored(owner, fence->revision);
		else
			node_lead_lost(owner->node, "fenced in the store");
		break;
	default:
		net_timer_start(owner->retry_timer, COMMIT_RETRY_DELAY);
		break;
	}
}

static void send_change(void *arg)
{
	node_owner_t *owner = arg;

	if (owner->ended)
		return;
	node_store_change(owner->node, owner->store, &owner->commit,
			  change_answered, owner);
}

static void gap_elapsed(void *arg)
{
	node_commit_pump(arg);
}

static void add_set(node_set_t *sets, size_t *n, const char *key,
		    base_str_t value)
{
	sets[(*n)++] = (node_set_t){ key, value, 0 };
}

/* Learned run times are stored only with a change that is due anyway. */
static void add_learned(node_owner_t *owner, node_set_t *sets, size_t *n)
{
	int64_t now = base_clock_mono();
	const char *text;

	if (now - owner->learned_at < COMMIT_LEARNED_PERIOD)
		return;
	text = batch_learned_print(owner->core, owner->commit_ctx);
	if (!text)
		return;
	owner->learned_at = now;
	add_set(sets, n, NODE_KEY_LEARNED, base_str(text));
}

static void build_change(node_owner_t *owner)
{
	void *ctx = owner->commit_ctx;
	batch_row_t rows[COMMIT_ROWS_MAX];
	size_t n = batch_rows(owner->core, rows, COMMIT_ROWS_MAX);
	node_expect_t *expects = talloc_array(ctx, node_expect_t, 2);
	node_set_t *sets = talloc_array(ctx, node_set_t, NODE_CHANGE_MAX);
	const char **removes = talloc_array(ctx, const char *, NODE_CHANGE_MAX);
	size_t n_sets = 0;
	size_t n_removes = 0;
	size_t i;

	expects[0] = (node_expect_t){ NODE_KEY_OWNER, owner->owner_revision };
	expects[1] = (node_expect_t){ NODE_KEY_FENCE, owner->fence_revision };
	owner->fence_text = talloc_asprintf(
		ctx, "{\"term\":%lld,\"commit\":%lld}", (long long)owner->term,
		(long long)++owner->commit_number);
	add_set(sets, &n_sets, NODE_KEY_FENCE, base_str(owner->fence_text));
	node_waves_row(owner->waves, ctx, sets, &n_sets);
	add_learned(owner, sets, &n_sets);
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
	/* Entries that are left remove rows of jobs that nobody asks for. */
	while (COMMIT_FIXED_ENTRIES - 1 + n_sets + n_removes <
		       NODE_CHANGE_MAX &&
	       owner->forgotten.length) {
		char *id = g_queue_pop_head(&owner->forgotten);

		removes[n_removes++] =
			talloc_asprintf(ctx, NODE_KEY_ROW "%s", id);
		g_free(id);
	}
	owner->commit = (node_change_t){ .expects = expects,
					 .n_expects = 2,
					 .sets = sets,
					 .n_sets = n_sets,
					 .removes = removes,
					 .n_removes = n_removes };
}

void node_commit_pump(node_owner_t *owner)
{
	int64_t now = base_clock_mono();

	if (owner->committing || owner->ended || !node_owner_valid(owner))
		return;
	if (!batch_rows_waiting(owner->core) &&
	    !node_waves_waiting(owner->waves) && !owner->forgotten.length)
		return;
	if (!owner->commit_timer) {
		owner->commit_timer = net_timer_new(owner, owner->node->loop,
						    gap_elapsed, owner);
		owner->retry_timer = net_timer_new(owner, owner->node->loop,
						   send_change, owner);
	}
	if (now - owner->change_began < COMMIT_GAP &&
	    batch_rows_length(owner->core) < COMMIT_ROWS_MAX) {
		net_timer_start(owner->commit_timer,
				COMMIT_GAP - (now - owner->change_began));
		return;
	}
	owner->committing = true;
	owner->change_began = now;
	owner->commit_ctx = talloc_new(owner);
	build_change(owner);
	send_change(owner);
}
