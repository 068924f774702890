/*
 * Instances that change their pool, as the core asks for.
 */
#include "node_int.h"

#define MOVE_TICK (150 * BASE_MS)
#define MOVE_RETRY (400 * BASE_MS)
/* A move takes under two seconds; one that does not show is asked no more. */
#define MOVE_PATIENCE (6 * BASE_SEC)
#define MOVE_MAX 32 /* a tick */

typedef struct move {
	node_moves_t *moves;
	char *name;
	char *to;
	char *worker; /* the life that ends with the move; empty: none */
	int64_t began;
	int64_t asked_at; /* answered, or given up waiting for an answer */
	bool calling;
	bool done; /* the platform said so */
} move_t;

struct node_moves {
	node_owner_t *owner;
	GHashTable *by_name;
	net_timer_t *timer;
};

static void tick(void *arg);

static int moves_free(node_moves_t *moves)
{
	g_hash_table_unref(moves->by_name);
	return 0;
}

node_moves_t *node_moves_new(node_owner_t *owner)
{
	node_moves_t *moves = talloc_zero(owner, node_moves_t);

	moves->owner = owner;
	moves->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	moves->timer = net_timer_new(moves, owner->node->loop, tick, moves);
	talloc_set_destructor(moves, moves_free);
	return moves;
}

void node_moves_begin(node_moves_t *moves)
{
	net_timer_start(moves->timer, MOVE_TICK);
}

bool node_moves_busy(const node_moves_t *moves, const char *name)
{
	return g_hash_table_contains(moves->by_name, name);
}

void node_moves_explain(const node_moves_t *moves, const char *name,
			json_t *answer, base_buf_t *said)
{
	const move_t *move = g_hash_table_lookup(moves->by_name, name);
	int64_t span;

	if (!move)
		return;
	span = base_clock_mono() - move->began;
	json_object_set_new(answer, "move",
			    json_pack("{s:s,s:I,s:b}", "to", move->to, "for_us",
				      (json_int_t)span, "begun", move->done));
	base_buf_addf(said, "; it moves to pool %s since %.1f s", move->to,
		      (double)span / BASE_SEC);
}

static void end_move(move_t *move, const char *why)
{
	node_moves_t *moves = move->moves;

	node_log(moves->owner->node, BASE_MSG_MOVE,
		 BASE_F_STR("instance", move->name), BASE_F_STR("to", move->to),
		 BASE_F_STR("why", why),
		 BASE_F_INT("after_us", base_clock_mono() - move->began));
	batch_worker_cordon(moves->owner->core, base_clock_mono(),
			    base_str(move->worker), false);
	g_hash_table_remove(moves->by_name, move->name);
	talloc_free(move);
}

static void ordered(void *arg, node_duty_fate_t fate)
{
	move_t *move = arg;
	node_owner_t *owner = move->moves->owner;

	move->calling = false;
	move->asked_at = base_clock_mono();
	if (owner->ended)
		return;
	switch (fate) {
	case NODE_DUTY_OK:
		move->done = true;
		batch_worker_over(owner->core, move->asked_at,
				  base_str(move->worker));
		break;
	case NODE_DUTY_FENCED:
		node_lead_lost(owner->node, "fenced by the platform");
		break;
	case NODE_DUTY_UNKNOWN:
		/* The list tells; asked again it is not done twice. */
		break;
	default:
		end_move(move, fate == NODE_DUTY_WRONG ? "not possible"
						       : "refused for now");
		break;
	}
}

static void order(move_t *move)
{
	node_owner_t *owner = move->moves->owner;

	move->calling = true;
	owner->node->platform->move(owner->instances->handle, move->name,
				    move->to, owner->term, ordered, move);
	node_instances_hurry(owner->instances);
}

static void begin(node_moves_t *moves, const node_inst_t *inst,
		  const batch_move_t *asked, const char *to)
{
	move_t *move = talloc_zero(moves, move_t);

	move->moves = moves;
	move->name = talloc_strdup(move, inst->name);
	move->to = talloc_strdup(move, to);
	move->worker = talloc_strdup(move, inst->worker);
	move->began = base_clock_mono();
	g_hash_table_insert(moves->by_name, move->name, move);
	node_log(moves->owner->node, BASE_MSG_MOVE,
		 BASE_F_STR("instance", move->name),
		 BASE_F_STR("from", inst->pool), BASE_F_STR("to", to),
		 BASE_F_STR("why", "asked"), BASE_F_INT("have", asked->have),
		 BASE_F_INT("need", asked->need));
	order(move);
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

static bool can_be_had(const node_moves_t *moves, const node_inst_t *inst)
{
	const node_owner_t *owner = moves->owner;

	return inst->state == NODE_INSTANCE_UP &&
	       is_spare(owner->node, inst->pool) &&
	       !node_moves_busy(moves, inst->name) &&
	       !node_waves_busy(owner->waves, inst->name);
}

/* One that is switched off; one whose upkeep is done lasts longest. */
static const node_inst_t *pick_spare(const node_moves_t *moves, size_t *n)
{
	const node_inst_t *best = NULL;
	bool best_due = false;
	GHashTableIter iter;
	gpointer value;

	*n = 0;
	g_hash_table_iter_init(&iter, moves->owner->instances->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_inst_t *inst = value;
		bool due = node_waves_due(moves->owner->waves, inst->name);

		if (!can_be_had(moves, inst))
			continue;
		++*n;
		if (!best || (best_due && !due)) {
			best = inst;
			best_due = due;
		}
	}
	return best;
}

static const node_inst_t *find_worker(const node_moves_t *moves,
				      base_str_t worker)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, moves->owner->instances->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_inst_t *inst = value;

		if (base_str_eq(base_str(inst->worker), worker))
			return inst;
	}
	return NULL;
}

/* The worker that the move brings is listed: it counts as itself. */
static bool brought(const move_t *move)
{
	const node_owner_t *owner = move->moves->owner;
	const node_inst_t *inst =
		node_instance_find(owner->instances, move->name);

	return inst && move->done && !strcmp(inst->pool, move->to) &&
	       *inst->worker && strcmp(inst->worker, move->worker) &&
	       batch_worker_known(owner->core, base_str(inst->worker));
}

static void count_incoming(const node_moves_t *moves)
{
	batch_t *core = moves->owner->core;
	const node_config_t *config = &moves->owner->node->config;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	for (i = 0; i < config->n_pools; i++) {
		int n = 0;

		g_hash_table_iter_init(&iter, moves->by_name);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			n += !brought(value) &&
			     base_str_eq(base_str(((move_t *)value)->to),
					 config->pools[i].name);
		batch_pool_incoming(core, config->pools[i].name, n);
	}
}

static void carry_out(node_moves_t *moves, const batch_move_t *asked,
		      const char *spare)
{
	void *ctx = talloc_new(moves);
	const char *to = asked->to.len ? base_str_dup(ctx, asked->to) : spare;
	const node_inst_t *inst;
	size_t n;

	inst = asked->worker.len ? find_worker(moves, asked->worker)
				 : pick_spare(moves, &n);
	if (inst && inst->state == NODE_INSTANCE_UP &&
	    !node_moves_busy(moves, inst->name) &&
	    !node_waves_busy(moves->owner->waves, inst->name))
		begin(moves, inst, asked, to);
	else if (asked->worker.len)
		/* Not listed yet, or taken for upkeep meanwhile. */
		batch_worker_cordon(moves->owner->core, base_clock_mono(),
				    asked->worker,
				    inst && node_waves_busy(moves->owner->waves,
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

		if (!move->calling && !move->done &&
		    now - move->asked_at > MOVE_RETRY)
			order(move);
	}
}

static void tick(void *arg)
{
	node_moves_t *moves = arg;
	node_owner_t *owner = moves->owner;
	batch_move_t asked[MOVE_MAX];
	int64_t now = base_clock_mono();
	void *ctx;
	const char *spare;
	size_t spares;
	size_t n;
	size_t i;

	if (owner->ended)
		return;
	net_timer_start(moves->timer, MOVE_TICK);
	if (!node_owner_valid(owner) || owner->instances->down ||
	    !owner->instances->round_sent)
		return;
	ctx = talloc_new(moves);
	spare = spare_pool(owner->node, ctx);
	pick_spare(moves, &spares);
	retry_moves(moves, now);
	count_incoming(moves);
	n = batch_moves(owner->core, now, spares, spare != NULL, asked,
			MOVE_MAX);
	for (i = 0; i < n; i++)
		carry_out(moves, &asked[i], spare);
	if (g_hash_table_size(moves->by_name))
		node_instances_hurry(owner->instances);
	talloc_free(ctx);
}

/* Whether the move shows in the list. */
static bool arrived(const move_t *move)
{
	const node_owner_t *owner = move->moves->owner;
	const node_inst_t *inst =
		node_instance_find(owner->instances, move->name);

	if (!inst)
		return true;
	if (move->calling || move->asked_at >= owner->instances->round_sent)
		return false;
	if (strcmp(inst->pool, move->to) || inst->state != NODE_INSTANCE_UP)
		return false;
	/* In a pool that works it counts once its worker is known. */
	return is_spare(owner->node, move->to) ||
	       (*inst->worker &&
		batch_worker_known(owner->core, base_str(inst->worker)));
}

void node_moves_round(node_moves_t *moves)
{
	int64_t now = base_clock_mono();
	GList *names = g_hash_table_get_keys(moves->by_name);
	GList *at;

	for (at = names; at; at = at->next) {
		move_t *move = g_hash_table_lookup(moves->by_name, at->data);

		if (arrived(move))
			end_move(move, "arrived");
		else if (!move->calling && now - move->began > MOVE_PATIENCE)
			end_move(move, "given up");
	}
	g_list_free(names);
	if (moves->owner->list_timer && g_hash_table_size(moves->by_name))
		node_workers_hurry(moves->owner);
}
