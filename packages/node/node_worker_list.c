/*
 * The list of workers, which the platform keeps in the store.
 */
#include "node_worker_int.h"

/* Interval at which the list of workers is read, at the least, and the part of
 * the time within which a drain that the list shows must be in force. */
#define WORKER_LIST_PERIOD_MIN (700 * BASE_MS)
#define WORKER_LIST_DRAIN_PART 3
/* An interval that leaves several readings to each worker's time-outs. */
#define WORKER_LIST_PERIOD_MAX (1200 * BASE_MS)
/* Delay after a part of the list could not be read. */
#define WORKER_LIST_RETRY_DELAY (150 * BASE_MS)
/* Revisions of unreadable entries that are remembered; more than a list has in
 * practice. */
#define WORKER_UNREADABLE_MAX 1024
/* The entry of a worker that has ended is not used for this long: by then it
 * was removed, or is that of a worker that has started again under the id. */
#define WORKER_ENDED_AGE (5 * BASE_SEC)
/* Entries of new workers that are read at once. */
#define WORKER_LOOKUPS_MAX 16

/* A read of the entry of one worker. */
typedef struct lookup {
	node_holder_t *holder;
	char *id;
} lookup_t;

/* Logs and counts an unreadable entry once per revision. */
static void note_unreadable(node_holder_t *holder, const node_item_t *item,
			    const char *why)
{
	const int64_t *noted =
		g_hash_table_lookup(holder->unreadable_entries, item->key);

	if (noted && *noted == item->revision)
		return;
	if (g_hash_table_size(holder->unreadable_entries) >=
	    WORKER_UNREADABLE_MAX)
		g_hash_table_remove_all(holder->unreadable_entries);
	g_hash_table_replace(
		holder->unreadable_entries, g_strdup(item->key),
		g_memdup2(&item->revision, sizeof(item->revision)));
	node_metrics_count(holder->node, NODE_COUNT_WORKER_UNREADABLE);
	node_log(holder->node, BASE_MSG_WORKER_UNREADABLE,
		 BASE_F_STR("key", item->key), BASE_F_STR("why", why),
		 BASE_F_INT("revision", item->revision));
}

static bool has_ended(const node_holder_t *holder, const char *id)
{
	const int64_t *at = g_hash_table_lookup(holder->ended_workers, id);

	return at && base_clock_mono() - *at < WORKER_ENDED_AGE;
}

static gboolean is_past(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return *(int64_t *)now >= *(int64_t *)value;
}

static gboolean is_old(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return *(int64_t *)now - *(int64_t *)value >= WORKER_ENDED_AGE;
}

/* Tells which instance the worker is on, if the list of instances names it. */
static void note_instance(const node_holder_t *holder, const char *id)
{
	const node_inst_t *inst =
		holder->instances
			? node_instance_of_worker(holder->instances, id)
			: NULL;

	if (inst)
		batch_worker_placed(holder->core, base_clock_mono(),
				    base_str(id), base_str(inst->name));
}

void node_workers_add_listed(node_holder_t *holder, const node_item_t *item)
{
	node_t *node = holder->node;
	void *ctx = talloc_new(holder);
	node_worker_entry_t entry;
	node_worker_t *worker;
	GError *err = NULL;
	bool is_new;
	char *id;

	if (!node->platform->worker_read(ctx, item->key, item->value, &entry,
					 &err)) {
		note_unreadable(holder, item, err->message);
		g_clear_error(&err);
		talloc_free(ctx);
		return;
	}
	id = base_str_dup(ctx, entry.info.id);
	worker = g_hash_table_lookup(holder->worker_links, id);
	if (!worker && has_ended(holder, id)) {
		talloc_free(ctx);
		return;
	}
	if (worker && strcmp(worker->address, entry.address))
		node_worker_set_address(worker, entry.address);
	is_new = !worker;
	if (is_new) {
		worker = node_worker_new(holder, id, entry.address);
		if (!worker) {
			note_unreadable(holder, item, "address");
			talloc_free(ctx);
			return;
		}
		if (holder->restored) {
			node_log(node, BASE_MSG_WORKER_ADDED,
				 BASE_F_STR("worker", id),
				 BASE_F_STR("address", entry.address),
				 BASE_F_INT("revision", item->revision),
				 BASE_F_INT("term", holder->term));
			node_worker_schedule_poll(worker, 0);
		}
	}
	worker->list_round = holder->list_round;
	worker->is_listed = true;
	entry.info.address = base_str(entry.address);
	batch_worker_listed(holder->core, base_clock_mono(), &entry.info);
	if (is_new)
		note_instance(holder, id);
	if (is_new && holder->waves)
		node_waves_worker_added(holder->waves, id);
	talloc_free(ctx);
}

void node_workers_list_done(node_holder_t *holder)
{
	int64_t now = base_clock_mono();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(holder->ended_workers, is_old, &now);
	g_hash_table_foreach_remove(holder->dropped_grants, is_past, &now);
	g_hash_table_iter_init(&iter, holder->worker_links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		node_worker_t *worker = value;

		if (worker->list_round == holder->list_round ||
		    !worker->is_listed)
			continue;
		worker->is_listed = false;
		batch_worker_unlisted(holder->core, base_clock_mono(),
				      base_str(worker->id));
	}
	holder->list_round++;
}

static void list_page(void *arg);

static int64_t list_period(const node_t *node)
{
	return CLAMP(node->settings->drain_time / WORKER_LIST_DRAIN_PART,
		     WORKER_LIST_PERIOD_MIN, WORKER_LIST_PERIOD_MAX);
}

static void looked_up(void *arg, const node_answer_t *answer)
{
	lookup_t *lookup = arg;
	node_holder_t *holder = lookup->holder;
	size_t i;

	if (holder->ended)
		return;
	g_hash_table_remove(holder->lookups, lookup->id);
	if (answer->store_status == NODE_STORE_OK)
		for (i = 0; i < answer->n_items; i++)
			node_workers_add_listed(holder, &answer->items[i]);
	talloc_free(lookup);
	node_holder_step_soon(holder);
}

void node_workers_look_up(node_holder_t *holder, const char *id)
{
	lookup_t *lookup;
	char *key;

	if (g_hash_table_contains(holder->worker_links, id) ||
	    g_hash_table_contains(holder->lookups, id) ||
	    g_hash_table_size(holder->lookups) >= WORKER_LOOKUPS_MAX ||
	    has_ended(holder, id))
		return;
	lookup = talloc_zero(holder, lookup_t);
	lookup->holder = holder;
	lookup->id = talloc_strdup(lookup, id);
	g_hash_table_add(holder->lookups, lookup->id);
	key = talloc_asprintf(lookup, "%s%s",
			      holder->node->platform->worker_prefix, id);
	node_store_get(holder->node, holder->store, key, looked_up, lookup);
}

static void page_read(void *arg, const node_answer_t *answer)
{
	node_holder_t *holder = arg;
	size_t i;

	node_store_track_status(holder->node, answer->store_status);
	if (holder->ended)
		return;
	if (answer->store_status != NODE_STORE_OK) {
		/* An incomplete list does not show which workers are gone. */
		TALLOC_FREE(holder->page);
		net_timer_start(holder->list_timer, WORKER_LIST_RETRY_DELAY);
		return;
	}
	for (i = 0; i < answer->n_items; i++)
		node_workers_add_listed(holder, &answer->items[i]);
	TALLOC_FREE(holder->page);
	if (answer->more && answer->n_items) {
		holder->page = talloc_strdup(
			holder, answer->items[answer->n_items - 1].key);
		list_page(holder);
		return;
	}
	holder->listed_at = base_clock_mono();
	node_workers_list_done(holder);
	node_holder_step_soon(holder);
	net_timer_start(holder->list_timer, list_period(holder->node));
}

static void list_page(void *arg)
{
	node_holder_t *holder = arg;
	node_range_t range = { holder->node->platform->worker_prefix,
			       holder->page, false };

	node_store_list(holder->node, holder->store, &range, page_read, holder);
}

void node_workers_begin(node_holder_t *holder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, holder->worker_links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		node_worker_schedule_poll(value, 0);
	holder->list_timer =
		net_timer_new(holder, holder->node->loop, list_page, holder);
	net_timer_start(holder->list_timer, list_period(holder->node));
}
