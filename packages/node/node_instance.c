/*
 * The list of instances, read page by page.
 */
#include "node_int.h"

/* Listing period while no instance changes. */
#define INSTANCE_POLL_EVERY (5 * BASE_SEC)
/* Listing period while an instance changes: a move or maintenance takes about
 * two seconds. */
#define INSTANCE_FAST_POLL_EVERY (400 * BASE_MS)
/* More of it for each instance: a longer list takes longer to read. */
#define INSTANCE_FAST_POLL_PER_INSTANCE 200 /* microseconds */
#define INSTANCE_FAST_POLL_FOR (1000 * BASE_MS)

static void start_round(void *arg);

static int instances_free(node_insts_t *instances)
{
	g_hash_table_unref(instances->table);
	g_hash_table_unref(instances->by_worker);
	return 0;
}

node_insts_t *node_instances_new(node_holder_t *holder)
{
	node_t *node = holder->node;
	node_insts_t *instances = talloc_zero(holder, node_insts_t);
	node_instances_options_t options = {
		.loop = node->loop,
		.address = node->settings->instances,
		.holder = node->settings->name,
		.orders = node_holder_decide_permit(holder),
		.orders_per_s = node->settings->instance_orders_per_s,
	};

	instances->holder = holder;
	instances->table = g_hash_table_new(g_str_hash, g_str_equal);
	instances->by_worker = g_hash_table_new(g_str_hash, g_str_equal);
	if (options.address)
		instances->handle =
			node->platform->instances_new(instances, &options);
	instances->timer =
		net_timer_new(instances, node->loop, start_round, instances);
	talloc_set_destructor(instances, instances_free);
	return instances;
}

void node_instances_begin(node_insts_t *instances)
{
	net_timer_start(instances->timer, 0);
}

static int64_t fast_poll_period(const node_insts_t *instances)
{
	return INSTANCE_FAST_POLL_EVERY +
	       INSTANCE_FAST_POLL_PER_INSTANCE *
		       (int64_t)g_hash_table_size(instances->table);
}

void node_instances_poll_fast(node_insts_t *instances)
{
	int64_t now = base_clock_mono();
	bool is_polling_fast = now < instances->poll_fast_until;

	instances->poll_fast_until = now + INSTANCE_FAST_POLL_FOR;
	if (!is_polling_fast && !instances->is_listing)
		net_timer_start(instances->timer, fast_poll_period(instances));
}

const node_inst_t *node_instance_find(const node_insts_t *instances,
				      const char *name)
{
	return g_hash_table_lookup(instances->table, name);
}

const node_inst_t *node_instance_of_worker(const node_insts_t *instances,
					   const char *worker)
{
	return g_hash_table_lookup(instances->by_worker, worker);
}

bool node_instances_lack_worker(const node_insts_t *instances,
				const char *worker)
{
	return instances && instances->complete_round_start &&
	       !node_instance_of_worker(instances, worker);
}

static void replace_text(const void *ctx, char **text, const char *with)
{
	if (*text && !strcmp(*text, with))
		return;
	talloc_free(*text);
	*text = talloc_strdup(ctx, with);
}

static void forget_worker(node_insts_t *instances, const node_inst_t *inst)
{
	if (inst->worker &&
	    node_instance_of_worker(instances, inst->worker) == inst)
		g_hash_table_remove(instances->by_worker, inst->worker);
}

static void set_worker(node_insts_t *instances, node_inst_t *inst,
		       const char *worker)
{
	if (inst->worker && !strcmp(inst->worker, worker))
		return;
	forget_worker(instances, inst);
	replace_text(inst, &inst->worker, worker);
	if (!*inst->worker)
		return;
	g_hash_table_replace(instances->by_worker, inst->worker, inst);
	batch_worker_placed(instances->holder->core, base_clock_mono(),
			    base_str(inst->worker), base_str(inst->name));
}

static void update_instance(node_insts_t *instances,
			    const node_instance_t *seen)
{
	node_inst_t *inst = g_hash_table_lookup(instances->table, seen->name);

	if (!inst) {
		inst = talloc_zero(instances, node_inst_t);
		inst->name = talloc_strdup(inst, seen->name);
		g_hash_table_insert(instances->table, inst->name, inst);
	}
	replace_text(inst, &inst->pool, seen->pool);
	set_worker(instances, inst, seen->worker);
	inst->state = seen->state;
	inst->round = instances->round;
}

/* Removes the instances that no page of a complete round listed. */
static void drop_missing(node_insts_t *instances)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, instances->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		node_inst_t *inst = value;

		if (inst->round == instances->round)
			continue;
		g_hash_table_iter_remove(&iter);
		forget_worker(instances, inst);
		talloc_free(inst);
	}
}

static bool is_spare(const node_t *node, const char *name)
{
	const node_config_t *config = &node->config;
	size_t i;

	for (i = 0; i < config->n_pools; i++)
		if (base_str_eq(config->pools[i].name, base_str(name)))
			return config->pools[i].spare;
	return false;
}

static bool may_have_unknown_worker(const node_t *node, const node_inst_t *inst)
{
	return (inst->state == NODE_INSTANCE_DOWN ||
		inst->state == NODE_INSTANCE_UP) &&
	       !is_spare(node, inst->pool);
}

/*
 * A worker is one life of an instance.  If a list that was read since the
 * holder took over names it on no instance, it has ended with all its runs: its
 * instance was moved or is in maintenance.  An instance without a worker that
 * is neither may be a failed one, or one whose worker the platform does not
 * know yet, so that nothing is concluded while there is one; those of a spare
 * pool are off.
 */
static void end_missing_workers(node_insts_t *instances)
{
	node_holder_t *holder = instances->holder;
	GPtrArray *ids = batch_workers_unpolled(holder->core);
	bool is_certain = ids->len && g_hash_table_size(instances->table) > 0;
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, instances->table);
	while (is_certain && g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_inst_t *inst = value;

		is_certain = *inst->worker ||
			     !may_have_unknown_worker(holder->node, inst);
	}
	for (i = 0; is_certain && i < ids->len; i++)
		if (!node_instance_of_worker(instances,
					     g_ptr_array_index(ids, i)))
			batch_worker_terminated(
				holder->core, base_clock_mono(),
				base_str(g_ptr_array_index(ids, i)),
				BATCH_LOSS_UNKNOWN);
	g_ptr_array_unref(ids);
	node_holder_step_soon(holder);
}

/* Workers of instances that have just moved or are back from maintenance. */
static void look_up_workers(node_insts_t *instances)
{
	node_holder_t *holder = instances->holder;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, instances->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_inst_t *inst = value;

		if (inst->state == NODE_INSTANCE_UP && *inst->worker &&
		    !is_spare(holder->node, inst->pool))
			node_workers_look_up(holder, inst->worker);
	}
}

static void listed(void *arg, const node_instances_t *page)
{
	node_insts_t *instances = arg;
	node_holder_t *holder = instances->holder;
	size_t i;

	if (holder->ended)
		return;
	for (i = 0; i < page->n; i++)
		update_instance(instances, &page->list[i]);
	if (page->ok && page->next) {
		node_metrics_count(holder->node, NODE_COUNT_INSTANCE_LIST);
		holder->node->platform->instances(instances->handle, page->next,
						  listed, instances);
		return;
	}
	instances->is_listing = false;
	if (instances->list_unavailable == page->ok)
		node_log(holder->node,
			 page->ok ? BASE_MSG_LIST_UP : BASE_MSG_LIST_DOWN,
			 BASE_F_STR("what", "instances"));
	instances->list_unavailable = !page->ok;
	if (page->ok) {
		instances->complete_round_start = instances->round_start;
		drop_missing(instances);
		end_missing_workers(instances);
		look_up_workers(instances);
		node_waves_list_done(holder->waves);
		node_moves_list_done(holder->moves);
	}
	net_timer_start(instances->timer,
			base_clock_mono() < instances->poll_fast_until ||
					instances->list_unavailable
				? fast_poll_period(instances)
				: INSTANCE_POLL_EVERY);
}

static void start_round(void *arg)
{
	node_insts_t *instances = arg;

	if (instances->is_listing || instances->holder->ended ||
	    !instances->handle)
		return;
	instances->is_listing = true;
	instances->round_start = base_clock_mono();
	instances->round++;
	node_metrics_count(instances->holder->node, NODE_COUNT_INSTANCE_LIST);
	instances->holder->node->platform->instances(instances->handle, NULL,
						     listed, instances);
}
