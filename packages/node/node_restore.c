/*
 * Recovery of a new holder.  Reads the workers' list, the jobs as submitted,
 * their rows, the waves, ordered moves and the learned run times from the
 * store; after that, polls of the workers show which runs are still alive.
 */
#include <limits.h>

#include "node_int.h"

#define RESTORE_RETRY_DELAY (60 * BASE_MS)

typedef enum restore_stage {
	RESTORE_WORKERS,
	RESTORE_SOURCES,
	RESTORE_ROWS,
	RESTORE_WAVES,
	RESTORE_MOVES,
	RESTORE_LEARNED,
	RESTORE_STAGE_MAX
} restore_stage_t;

typedef struct restore {
	node_holder_t *holder;
	restore_stage_t stage;
	net_timer_t *timer;
	size_t n_rows;
	size_t n_unreadable;
} restore_t;

static void read_page(void *arg);

static void restore_source(node_holder_t *holder, const node_item_t *item)
{
	g_hash_table_replace(holder->sources,
			     g_strdup(item->key + strlen(NODE_KEY_JOB)),
			     g_strndup(item->value.ptr, item->value.len));
}

typedef enum queue_field {
	QUEUE_POOL,
	QUEUE_PRIORITY,
	QUEUE_ATTEMPTS,
	QUEUE_ADVISED,
	QUEUE_STRETCH,
	QUEUE_TARGET_LATENCY,
	QUEUE_MAX
} queue_field_t;

/* Keeps the job's queue, as stored with the job, in case that it has been
 * removed.  A former version did not store it. */
static void keep_queue(node_holder_t *holder, const char *name,
		       const json_t *settings)
{
	batch_queue_info_t info = { .name = base_str(name) };
	int64_t numbers[QUEUE_MAX] = { 0 };
	int i;

	if (json_array_size(settings) != QUEUE_MAX ||
	    !json_is_string(json_array_get(settings, QUEUE_POOL)) ||
	    !json_is_number(json_array_get(settings, QUEUE_STRETCH)))
		return;
	for (i = QUEUE_PRIORITY; i < QUEUE_MAX; i++)
		if (i != QUEUE_STRETCH &&
		    !base_json_int(json_array_get(settings, (size_t)i), 0,
				   i == QUEUE_TARGET_LATENCY ? INT64_MAX
							     : INT_MAX,
				   &numbers[i]))
			return;
	info.pool = base_str(
		json_string_value(json_array_get(settings, QUEUE_POOL)));
	info.priority = (int)numbers[QUEUE_PRIORITY];
	info.attempts = (int)numbers[QUEUE_ATTEMPTS];
	info.advised = numbers[QUEUE_ADVISED] != 0;
	info.stretch =
		json_number_value(json_array_get(settings, QUEUE_STRETCH));
	info.target_latency = numbers[QUEUE_TARGET_LATENCY];
	batch_queue_keep(holder->core, &info);
}

/* Reads a job's specification from its stored source.  False: there is none,
 * because the job has ended, or it cannot be read. */
static bool read_spec(node_holder_t *holder, const void *ctx, const char *id,
		      batch_spec_t *spec)
{
	const char *source = g_hash_table_lookup(holder->sources, id);
	json_t *root = source ? json_loads(source, 0, NULL) : NULL;
	const json_t *body = json_object_get(root, "body");
	const char *queue = json_string_value(json_object_get(root, "queue"));
	base_str_t text = BASE_STR("");
	bool ok;

	if (json_is_string(body))
		text = (base_str_t){ json_string_value(body),
				     json_string_length(body) };
	spec->id = base_str(id);
	spec->source = base_str(source);
	ok = queue && holder->node->platform->job_read(ctx, text, spec, NULL) &&
	     batch_spec_check(spec, NULL);
	if (ok) {
		spec->queue = base_str(talloc_strdup(ctx, queue));
		spec->workspace = base_str(talloc_strdup(
			ctx,
			json_string_value(json_object_get(root, "workspace"))));
		keep_queue(holder, queue, json_object_get(root, "settings"));
	}
	json_decref(root);
	return ok;
}

static void restore_row(restore_t *restore, const node_item_t *item)
{
	node_holder_t *holder = restore->holder;
	const char *id = item->key + strlen(NODE_KEY_ROW);
	char *record = base_str_dup(restore, item->value);
	void *ctx = talloc_new(restore);
	batch_spec_t spec = { 0 };
	GError *err = NULL;
	bool has_spec = read_spec(holder, ctx, id, &spec);
	batch_stored_t stored = { .id = base_str(id),
				  .spec = has_spec ? &spec : NULL,
				  .record = record,
				  .until = holder->orphan_until };

	if (!batch_restore(holder->core, base_clock_mono(), base_clock_wall(),
			   &stored, &err)) {
		restore->n_unreadable++;
		node_log(holder->node, BASE_MSG_JOB_UNREADABLE,
			 BASE_F_STR("id", id), BASE_F_STR("why", err->message),
			 BASE_F_INT("revision", item->revision));
		g_clear_error(&err);
	}
	talloc_free(ctx);
	talloc_free(record);
}

static void finish(restore_t *restore)
{
	node_holder_t *holder = restore->holder;
	int64_t now = base_clock_mono();

	g_hash_table_unref(holder->sources);
	holder->sources = NULL;
	holder->restored = true;
	node_log(holder->node, BASE_MSG_JOBS_TAKEN,
		 BASE_F_INT("term", holder->term),
		 BASE_F_INT("rows", (int64_t)restore->n_rows),
		 BASE_F_INT("unreadable", (int64_t)restore->n_unreadable),
		 BASE_F_INT("took_us", now - holder->taken_at));
	node_instances_begin(holder->instances);
	node_holder_waves(holder);
	node_workers_begin(holder);
	node_moves_begin(holder->moves);
	talloc_free(restore);
	node_holder_step_soon(holder);
}

/* An unreadable row is only logged: run times are then learned again, starting
 * from the declared ones. */
static void restore_learned(const node_holder_t *holder,
			    const node_item_t *item)
{
	GError *err = NULL;

	if (batch_learned_load(holder->core, item->value, &err))
		return;
	node_log(holder->node, BASE_MSG_JOB_UNREADABLE,
		 BASE_F_STR("id", item->key), BASE_F_STR("why", err->message),
		 BASE_F_INT("revision", item->revision));
	g_clear_error(&err);
}

static void restore_item(restore_t *restore, const node_item_t *item)
{
	node_holder_t *holder = restore->holder;

	switch (restore->stage) {
	case RESTORE_WORKERS:
		node_workers_add_listed(holder, item);
		break;
	case RESTORE_SOURCES:
		restore_source(holder, item);
		break;
	case RESTORE_ROWS:
		restore->n_rows++;
		restore_row(restore, item);
		break;
	case RESTORE_MOVES:
		node_moves_restore(holder->moves, item->value,
				   holder->former_orders_until);
		break;
	case RESTORE_LEARNED:
		restore_learned(holder, item);
		break;
	default:
		node_waves_add_record(holder->waves,
				      item->key + strlen(NODE_KEY_WAVE),
				      item->value);
		break;
	}
}

static void page_read(void *arg, const node_answer_t *answer)
{
	restore_t *restore = arg;
	node_holder_t *holder = restore->holder;
	size_t i;

	node_store_track_status(holder->node, answer->store_status);
	if (answer->store_status != NODE_STORE_OK) {
		net_timer_start(restore->timer, RESTORE_RETRY_DELAY);
		return;
	}
	for (i = 0; i < answer->n_items; i++)
		restore_item(restore, &answer->items[i]);
	talloc_free(holder->page);
	holder->page = NULL;
	if (answer->more && answer->n_items) {
		holder->page = talloc_strdup(
			holder, answer->items[answer->n_items - 1].key);
	} else {
		if (restore->stage == RESTORE_WORKERS)
			node_workers_list_done(holder);
		if (++restore->stage == RESTORE_STAGE_MAX) {
			finish(restore);
			return;
		}
	}
	read_page(restore);
}

static void read_page(void *arg)
{
	restore_t *restore = arg;
	node_holder_t *holder = restore->holder;
	const node_platform_t *platform = holder->node->platform;
	const char *const prefixes[RESTORE_STAGE_MAX] = {
		[RESTORE_WORKERS] = platform->worker_prefix,
		[RESTORE_SOURCES] = NODE_KEY_JOB,
		[RESTORE_ROWS] = NODE_KEY_ROW,
		[RESTORE_WAVES] = NODE_KEY_WAVE,
		[RESTORE_MOVES] = NODE_KEY_MOVES,
		[RESTORE_LEARNED] = NODE_KEY_LEARNED,
	};
	node_range_t range = { prefixes[restore->stage], holder->page, false };

	node_store_list(holder->node, holder->store, &range, page_read,
			restore);
}

void node_restore_begin(node_holder_t *holder)
{
	restore_t *restore = talloc_zero(holder, restore_t);

	restore->holder = holder;
	restore->timer =
		net_timer_new(restore, holder->node->loop, read_page, restore);
	holder->sources =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	read_page(restore);
}
