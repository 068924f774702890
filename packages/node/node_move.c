/*
 * Moves of instances between pools, as the core requests them.
 *
 * A move is ordered once the store has the instance in the row of ordered
 * moves, in a change that only the holder can make.  So a process that has lost
 * the duty orders no other ones, and its successor, which reads the row, knows
 * which instances an order may still come for: it orders nothing for these
 * until that order is too late.
 */
#include <math.h>

#include "node_int.h"

#define MOVE_TICK (150 * BASE_MS)
#define MOVE_RETRY_DELAY (400 * BASE_MS)
/* A move takes under two seconds.  One that the instance list does not show
 * after this time is given up. */
#define MOVE_TIMEOUT (6 * BASE_SEC)
/*
 * Moves started in a tick, at the least: the platform may accept the orders of
 * a second at once.
 */
#define MOVE_TICK_MIN 32
/* More moves than any pool can give up; bounds the memory of a tick. */
#define MOVE_TICK_MAX 4096

/* What may still come of the orders for an instance. */
typedef struct ordered {
	bool is_open;	    /* an order is to be sent, or its answer is due */
	bool is_formers;    /* ordered by a former holder */
	int64_t late_until; /* until then an unanswered order may act; or 0 */
} ordered_t;

typedef struct move {
	node_moves_t *moves;
	char *name;
	char *to;
	char *worker; /* the worker that ends with the move; empty: none */
	int64_t began_at;
	int64_t answered_at; /* when the last call was answered or timed out */
	uint64_t version;    /* first version of the row that lists it */
	bool is_sent;
	bool is_calling;
	bool is_confirmed;  /* the platform has confirmed the move */
	int64_t late_until; /* until then an unanswered order may act; or 0 */
} move_t;

struct node_moves {
	node_holder_t *holder;
	GHashTable *by_name;
	GHashTable *ordered;	  /* instance name to ordered_t */
	uint64_t version;	  /* of the row that holds "ordered" */
	uint64_t due_version;	  /* a move waits until it is stored */
	uint64_t written_version; /* version that is being stored */
	uint64_t stored_version;  /* version that is known to be stored */
	net_timer_t *timer;
};

static void tick(void *arg);

static int moves_free(node_moves_t *moves)
{
	g_hash_table_unref(moves->by_name);
	g_hash_table_unref(moves->ordered);
	return 0;
}

node_moves_t *node_moves_new(node_holder_t *holder)
{
	node_moves_t *moves = talloc_zero(holder, node_moves_t);

	moves->holder = holder;
	moves->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	moves->ordered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	moves->timer = net_timer_new(moves, holder->node->loop, tick, moves);
	talloc_set_destructor(moves, moves_free);
	return moves;
}

void node_moves_begin(node_moves_t *moves)
{
	net_timer_start(moves->timer, MOVE_TICK);
}

bool node_moves_is_moving(const node_moves_t *moves, const char *name)
{
	const ordered_t *ordered = g_hash_table_lookup(moves->ordered, name);

	return g_hash_table_contains(moves->by_name, name) ||
	       (ordered && ordered->is_formers &&
		base_clock_mono() < ordered->late_until);
}

static ordered_t *add_ordered(node_moves_t *moves, const char *name)
{
	ordered_t *ordered = g_hash_table_lookup(moves->ordered, name);

	if (!ordered) {
		ordered = g_new0(ordered_t, 1);
		g_hash_table_insert(moves->ordered, g_strdup(name), ordered);
	}
	return ordered;
}

void node_moves_restore(node_moves_t *moves, base_str_t text, int64_t until)
{
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const json_t *names = json_object_get(root, "ordered");
	size_t i;

	for (i = 0; i < json_array_size(names); i++) {
		const char *name = json_string_value(json_array_get(names, i));
		ordered_t *ordered;

		if (!name)
			continue;
		ordered = add_ordered(moves, name);
		ordered->is_formers = true;
		ordered->late_until = until;
		node_log(moves->holder->node, BASE_MSG_MOVE,
			 BASE_F_STR("instance", name),
			 BASE_F_STR("why", "ordered by a former holder"));
	}
	json_decref(root);
}

/* Forgets orders of which nothing comes any more.  That is stored with the next
 * change that is due anyway. */
static void forget_ordered(node_moves_t *moves, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, moves->ordered);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ordered_t *ordered = value;

		if (ordered->is_open || now < ordered->late_until)
			continue;
		g_hash_table_iter_remove(&iter);
		moves->version++;
	}
}

bool node_moves_has_unstored(const node_moves_t *moves)
{
	return moves->stored_version < moves->due_version;
}

void node_moves_add_row(node_moves_t *moves, const void *ctx, node_set_t *sets,
			size_t *n_sets)
{
	base_buf_t *buf;
	GHashTableIter iter;
	gpointer name;
	const char *separator = "";

	moves->written_version = moves->version;
	if (moves->stored_version == moves->version)
		return;
	buf = base_buf_new(ctx);
	base_buf_adds(buf, "{\"ordered\":[");
	g_hash_table_iter_init(&iter, moves->ordered);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		base_buf_adds(buf, separator);
		base_buf_add_json(buf, base_str(name));
		separator = ",";
	}
	base_buf_adds(buf, "]}");
	sets[(*n_sets)++] =
		(node_set_t){ NODE_KEY_MOVES, base_buf_str(buf), 0 };
}

void node_moves_explain(const node_moves_t *moves, const char *name,
			json_t *answer, base_buf_t *sentence)
{
	const move_t *move = g_hash_table_lookup(moves->by_name, name);
	int64_t age;

	if (!move)
		return;
	age = base_clock_mono() - move->began_at;
	json_object_set_new(answer, "move",
			    json_pack("{s:s,s:I,s:b}", "to", move->to, "for_us",
				      (json_int_t)age, "begun",
				      move->is_confirmed));
	base_buf_addf(sentence, "; it has been moving to pool %s for %.1f s",
		      move->to, (double)age / BASE_SEC);
}

static ordered_t *find_ordered(const move_t *move)
{
	return g_hash_table_lookup(move->moves->ordered, move->name);
}

static void end_move(move_t *move, const char *why)
{
	node_moves_t *moves = move->moves;
	ordered_t *ordered = find_ordered(move);

	if (ordered)
		ordered->is_open = false;

	node_log(moves->holder->node, BASE_MSG_MOVE,
		 BASE_F_STR("instance", move->name), BASE_F_STR("to", move->to),
		 BASE_F_STR("why", why),
		 BASE_F_INT("after_us", base_clock_mono() - move->began_at));
	batch_worker_cordon(moves->holder->core, base_clock_mono(),
			    base_str(move->worker), false);
	g_hash_table_remove(moves->by_name, move->name);
	talloc_free(move);
}

static void move_answered(void *arg, node_instance_order_status_t status)
{
	move_t *move = arg;
	node_holder_t *holder = move->moves->holder;

	move->is_calling = false;
	move->answered_at = base_clock_mono();
	if (holder->ended)
		return;
	switch (status) {
	case NODE_INSTANCE_ORDER_OK:
		move->is_confirmed = true;
		move->late_until = 0;
		find_ordered(move)->is_open = false;
		node_workers_ended(holder, move->worker);
		break;
	case NODE_INSTANCE_ORDER_FENCED:
		node_election_lost(holder->node, "fenced by the platform");
		break;
	case NODE_INSTANCE_ORDER_UNKNOWN:
		/* Retried: the platform does not carry out a move twice. */
		move->late_until =
			move->answered_at + NODE_INSTANCE_ORDER_LATE_MAX;
		find_ordered(move)->late_until = move->late_until;
		break;
	default:
		/* The refusal of one order does not settle another. */
		if (move->answered_at < move->late_until)
			break;
		end_move(move, status == NODE_INSTANCE_ORDER_INVALID
				       ? "not possible"
				       : "refused for now");
		break;
	}
}

static void send_move(move_t *move)
{
	node_holder_t *holder = move->moves->holder;

	move->is_sent = true;
	move->is_calling = true;
	holder->node->platform->move(holder->instances->handle, move->name,
				     move->to, holder->term, move_answered,
				     move);
	node_instances_poll_fast(holder->instances);
}

static void begin_move(node_moves_t *moves, const node_inst_t *inst,
		       const batch_move_t *asked, const char *to)
{
	move_t *move = talloc_zero(moves, move_t);
	ordered_t *ordered;

	move->moves = moves;
	move->name = talloc_strdup(move, inst->name);
	move->to = talloc_strdup(move, to);
	move->worker = talloc_strdup(move, inst->worker);
	move->began_at = base_clock_mono();
	g_hash_table_insert(moves->by_name, move->name, move);
	ordered = add_ordered(moves, move->name);
	ordered->is_open = true;
	ordered->is_formers = false;
	move->version = moves->due_version = ++moves->version;
	node_log(moves->holder->node, BASE_MSG_MOVE,
		 BASE_F_STR("instance", move->name),
		 BASE_F_STR("from", inst->pool), BASE_F_STR("to", to),
		 BASE_F_STR("why", "asked"),
		 BASE_F_INT("have", asked->workers_before),
		 BASE_F_INT("need", asked->workers_needed));
}

/* Whether the instance is as it was when the move was asked for. */
static bool is_still_empty(const move_t *move)
{
	const node_holder_t *holder = move->moves->holder;
	const node_inst_t *inst =
		node_instance_find(holder->instances, move->name);
	size_t n_long_running;

	return inst && !strcmp(inst->worker, move->worker) &&
	       !batch_worker_runs(holder->core, base_str(move->worker),
				  &n_long_running);
}

/*
 * Sends a move that waited for the store.  A worker that was forgotten and has
 * rejoined the list meanwhile is not cordoned, and may have got runs.
 */
static void send_stored(move_t *move)
{
	if (!is_still_empty(move)) {
		end_move(move, "changed meanwhile");
		return;
	}
	batch_worker_cordon(move->moves->holder->core, base_clock_mono(),
			    base_str(move->worker), true);
	send_move(move);
}

void node_moves_row_stored(node_moves_t *moves)
{
	GList *names;
	GList *link;

	moves->stored_version = moves->written_version;
	names = g_hash_table_get_keys(moves->by_name);
	for (link = names; link; link = link->next) {
		move_t *move = g_hash_table_lookup(moves->by_name, link->data);

		if (!move->is_sent && move->version <= moves->stored_version)
			send_stored(move);
	}
	g_list_free(names);
}

static bool is_spare(const node_t *node, const char *pool)
{
	size_t i;

	for (i = 0; i < node->config.n_pools; i++)
		if (node->config.pools[i].spare &&
		    base_str_eq(node->config.pools[i].name, base_str(pool)))
			return true;
	return false;
}

static const char *spare_pool(const node_t *node, const void *ctx)
{
	size_t i;

	for (i = 0; i < node->config.n_pools; i++)
		if (node->config.pools[i].spare)
			return base_str_dup(ctx, node->config.pools[i].name);
	return NULL;
}

static bool is_available(const node_moves_t *moves, const node_inst_t *inst)
{
	const node_holder_t *holder = moves->holder;

	return inst->state == NODE_INSTANCE_UP &&
	       is_spare(holder->node, inst->pool) &&
	       !node_moves_is_moving(moves, inst->name) &&
	       !node_waves_is_active(holder->waves, inst->name);
}

/*
 * The available instances of the spare pool, to be taken from the end: first
 * those that no wave is still to maintain, which stay up longest.
 */
static GPtrArray *find_spares(const node_moves_t *moves)
{
	GPtrArray *spares = g_ptr_array_new();
	guint n_due = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, moves->holder->instances->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_inst_t *inst = value;

		if (!is_available(moves, inst))
			continue;
		if (node_waves_is_unfinished(moves->holder->waves, inst->name))
			g_ptr_array_insert(spares, (int)n_due++, value);
		else
			g_ptr_array_add(spares, value);
	}
	return spares;
}

/* The instance to move; NULL: there is none any more. */
static const node_inst_t *choose_instance(const node_moves_t *moves,
					  const batch_move_t *asked,
					  GPtrArray *spares)
{
	const node_inst_t *inst;
	char *worker;

	if (!asked->worker.len)
		return spares->len ? g_ptr_array_steal_index(spares,
							     spares->len - 1)
				   : NULL;
	worker = base_str_dup(NULL, asked->worker);
	inst = node_instance_of_worker(moves->holder->instances, worker);
	talloc_free(worker);
	return inst;
}

/* Whether the worker that runs there since the move is known to the core. */
static bool has_new_worker(const move_t *move)
{
	const node_holder_t *holder = move->moves->holder;
	const node_inst_t *inst =
		node_instance_find(holder->instances, move->name);

	return inst && move->is_confirmed && !strcmp(inst->pool, move->to) &&
	       *inst->worker && strcmp(inst->worker, move->worker) &&
	       batch_worker_known(holder->core, base_str(inst->worker));
}

static void count_incoming(const node_moves_t *moves)
{
	batch_t *core = moves->holder->core;
	const node_config_t *config = &moves->holder->node->config;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	for (i = 0; i < config->n_pools; i++) {
		int n = 0;

		g_hash_table_iter_init(&iter, moves->by_name);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			n += base_str_eq(base_str(((move_t *)value)->to),
					 config->pools[i].name) &&
			     !has_new_worker(value);
		batch_pool_set_incoming(core, config->pools[i].name, n);
	}
}

static void apply_move(node_moves_t *moves, const batch_move_t *asked,
		       const char *spare, GPtrArray *spares)
{
	void *ctx = talloc_new(moves);
	const char *to = asked->to.len ? base_str_dup(ctx, asked->to) : spare;
	const node_inst_t *inst = choose_instance(moves, asked, spares);

	if (inst && inst->state == NODE_INSTANCE_UP &&
	    !node_moves_is_moving(moves, inst->name) &&
	    !node_waves_is_active(moves->holder->waves, inst->name))
		begin_move(moves, inst, asked, to);
	else if (asked->worker.len)
		/*
		 * The instance is not listed yet, is not up, is moving, or was
		 * taken for maintenance.  Only the last keeps the cordon.
		 */
		batch_worker_cordon(
			moves->holder->core, base_clock_mono(), asked->worker,
			inst && node_waves_is_active(moves->holder->waves,
						     inst->name));
	talloc_free(ctx);
}

static void retry_moves(node_moves_t *moves, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, moves->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		move_t *move = value;

		if (move->is_sent && !move->is_calling && !move->is_confirmed &&
		    now - move->answered_at > MOVE_RETRY_DELAY)
			send_move(move);
	}
}

size_t node_moves_per_tick(double orders_per_s)
{
	double in_tick = ceil(orders_per_s * MOVE_TICK / BASE_SEC);

	return (size_t)MIN(MAX(in_tick, MOVE_TICK_MIN), MOVE_TICK_MAX);
}

static void tick(void *arg)
{
	node_moves_t *moves = arg;
	node_holder_t *holder = moves->holder;
	size_t max = node_moves_per_tick(
		holder->node->settings->instance_orders_per_s);
	int64_t now = base_clock_mono();
	batch_move_t *asked;
	void *ctx;
	const char *spare;
	GPtrArray *spares;
	size_t n;
	size_t i;

	if (holder->ended)
		return;
	net_timer_start(moves->timer, MOVE_TICK);
	if (!node_holder_may_decide(holder) ||
	    holder->instances->list_unavailable ||
	    !holder->instances->complete_round_start)
		return;
	ctx = talloc_new(moves);
	asked = talloc_array(ctx, batch_move_t, max);
	spare = spare_pool(holder->node, ctx);
	spares = find_spares(moves);
	retry_moves(moves, now);
	forget_ordered(moves, now);
	count_incoming(moves);
	n = batch_moves(holder->core, now, spares->len, spare != NULL, asked,
			max);
	for (i = 0; i < n; i++)
		apply_move(moves, &asked[i], spare, spares);
	g_ptr_array_unref(spares);
	if (node_moves_has_unstored(moves))
		node_commit_send_pending(holder);
	if (g_hash_table_size(moves->by_name))
		node_instances_poll_fast(holder->instances);
	talloc_free(ctx);
}

/* Whether the instance list shows the result of the move. */
static bool has_arrived(const move_t *move)
{
	const node_holder_t *holder = move->moves->holder;
	const node_inst_t *inst =
		node_instance_find(holder->instances, move->name);

	if (move->is_calling)
		return false;
	if (!inst)
		return true;
	if (move->answered_at >= holder->instances->complete_round_start)
		return false;
	if (strcmp(inst->pool, move->to) || inst->state != NODE_INSTANCE_UP)
		return false;
	/* Outside the spare pool its worker must be known as well. */
	return is_spare(holder->node, move->to) ||
	       (*inst->worker &&
		batch_worker_known(holder->core, base_str(inst->worker)));
}

void node_moves_list_done(node_moves_t *moves)
{
	int64_t now = base_clock_mono();
	GList *names = g_hash_table_get_keys(moves->by_name);
	GList *link;

	for (link = names; link; link = link->next) {
		move_t *move = g_hash_table_lookup(moves->by_name, link->data);

		if (has_arrived(move))
			end_move(move, "arrived");
		else if (!move->is_calling &&
			 now > MAX(move->began_at + MOVE_TIMEOUT,
				   move->late_until))
			end_move(move, "given up");
	}
	g_list_free(names);
}
