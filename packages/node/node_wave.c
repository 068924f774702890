/*
 * Waves, that is, rounds of maintenance: instances are emptied, a few at a
 * time, and handed to the platform for maintenance once nothing runs on them.
 */
#include <stdlib.h>

#include "node_wave_int.h"

#define WAVE_TICK (100 * BASE_MS)
#define WAVE_RETRY_DELAY (300 * BASE_MS)
/* Instances that are emptied beyond those that may be down at once.  Emptying
 * takes about as long as maintenance. */
#define WAVE_AHEAD 1

static void tick(void *arg);

static int waves_free(node_waves_t *waves)
{
	g_ptr_array_unref(waves->waves);
	g_hash_table_unref(waves->records);
	return 0;
}

node_waves_t *node_waves_new(node_holder_t *holder)
{
	node_t *node = holder->node;
	node_waves_t *waves = talloc_zero(holder, node_waves_t);

	waves->holder = holder;
	waves->waves = g_ptr_array_new();
	waves->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	waves->tick_timer = net_timer_new(waves, node->loop, tick, waves);
	talloc_set_destructor(waves, waves_free);
	return waves;
}

wave_t *node_wave_find(const node_waves_t *waves, int64_t number)
{
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		wave_t *wave = g_ptr_array_index(waves->waves, i);

		if (wave->number == number)
			return wave;
	}
	return NULL;
}

wave_target_t *node_wave_find_target(const wave_t *wave, const char *name)
{
	return g_hash_table_lookup(wave->by_name, name);
}

static int wave_free(wave_t *wave)
{
	g_hash_table_unref(wave->by_name);
	return 0;
}

void node_waves_add(node_waves_t *waves, base_str_t text)
{
	node_t *node = waves->holder->node;
	void *ctx = talloc_new(waves);
	node_wave_t info;
	GError *err = NULL;
	wave_t *wave;
	size_t i;

	if (!node->platform->wave_read(ctx, text, &info, &err)) {
		node_log(node, BASE_MSG_WAVE_UNREADABLE,
			 BASE_F_STR("why", err->message));
		g_clear_error(&err);
		talloc_free(ctx);
		return;
	}
	if (node_wave_find(waves, info.number)) {
		talloc_free(ctx);
		return;
	}
	wave = talloc_zero(waves, wave_t);
	wave->waves = waves;
	wave->number = info.number;
	wave->at_most = MAX(info.at_most, 1);
	wave->deadline = base_clock_mono() + info.duration;
	wave->n_targets = info.n_instances;
	wave->targets =
		talloc_zero_array(wave, wave_target_t, wave->n_targets + 1);
	wave->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(wave, wave_free);
	for (i = 0; i < wave->n_targets; i++) {
		wave_target_t *target = &wave->targets[i];

		target->wave = wave;
		target->name = talloc_strdup(wave, info.instances[i]);
		g_hash_table_insert(wave->by_name, target->name, target);
	}
	node_wave_restore(wave);
	if (!wave->completed)
		wave->version = 1;
	g_ptr_array_add(waves->waves, wave);
	node_log(node, BASE_MSG_WAVE, BASE_F_INT("wave", wave->number),
		 BASE_F_INT("instances", (int64_t)wave->n_targets),
		 BASE_F_INT("at_most", wave->at_most),
		 BASE_F_BOOL("completed", wave->completed));
	talloc_free(ctx);
	if (wave->completed)
		return;
	net_timer_start(waves->tick_timer, 0);
	node_instances_poll_fast(waves->holder->instances);
}

static void set_state(wave_target_t *target, wave_target_state_t state,
		      const char *why)
{
	node_t *node = target->wave->waves->holder->node;

	node_log(node, BASE_MSG_INSTANCE, BASE_F_STR("instance", target->name),
		 BASE_F_STR("worker", target->worker ? target->worker : ""),
		 BASE_F_INT("wave", target->wave->number),
		 BASE_F_STR("from", node_wave_target_state_name(target->state)),
		 BASE_F_STR("to", node_wave_target_state_name(state)),
		 BASE_F_STR("why", why),
		 BASE_F_INT("after_us", base_clock_mono() - target->since));
	target->state = state;
	target->since = base_clock_mono();
}

static void cordon(wave_target_t *target, bool on)
{
	if (target->worker)
		batch_worker_cordon(target->wave->waves->holder->core,
				    base_clock_mono(), base_str(target->worker),
				    on);
}

static void maintenance_answered(void *arg, node_instance_order_status_t status)
{
	wave_target_t *target = arg;
	wave_t *wave = target->wave;
	node_holder_t *holder = wave->waves->holder;

	target->is_calling = false;
	target->answered_at = base_clock_mono();
	if (holder->ended)
		return;
	switch (status) {
	case NODE_INSTANCE_ORDER_OK:
		set_state(target, WAVE_TARGET_DOWN, "maintenance begun");
		wave->version++;
		/* The platform answers alike if the order was carried out
		 * before; the instance may have another worker by now. */
		if (target->asked_worker)
			node_workers_ended(holder, target->asked_worker);
		node_holder_step_soon(holder);
		break;
	case NODE_INSTANCE_ORDER_FENCED:
		node_election_lost(holder->node, "fenced by the platform");
		break;
	case NODE_INSTANCE_ORDER_INVALID:
		set_state(target, WAVE_TARGET_GONE, "not of this wave");
		cordon(target, false);
		break;
	case NODE_INSTANCE_ORDER_UNKNOWN:
		/* Retried: the platform does not carry out an order twice. */
		target->is_in_doubt = true;
		break;
	default:
		set_state(target, WAVE_TARGET_EMPTYING, "refused for now");
		target->may_be_down = target->is_in_doubt;
		break;
	}
}

static void order_maintenance(wave_target_t *target)
{
	node_holder_t *holder = target->wave->waves->holder;

	target->is_calling = true;
	holder->node->platform->start_maintenance(
		holder->instances->handle, target->name, target->wave->number,
		holder->term, maintenance_answered, target);
}

static size_t count_runs(const wave_target_t *target, size_t *n_long_running)
{
	*n_long_running = 0;
	if (!target->worker)
		return 0;
	return batch_worker_runs(target->wave->waves->holder->core,
				 base_str(target->worker), n_long_running);
}

static bool has_unstored_ends(const wave_target_t *target)
{
	const batch_t *core = target->wave->waves->holder->core;

	return target->worker &&
	       (batch_worker_has_unstored_ends(core,
					       base_str(target->worker)) ||
		batch_worker_ends_truncated(core, base_str(target->worker)));
}

/* A waiting instance, and what it costs to empty it: a long-running run counts
 * as much as 100 others. */
typedef struct candidate {
	wave_target_t *target;
	size_t cost;
} candidate_t;

static int candidate_cmp(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->target < y->target ? -1 : x->target > y->target;
}

/* Begins to empty up to "most" waiting instances, the cheapest ones first. */
static void empty_next_targets(const wave_t *wave, int most)
{
	candidate_t *candidates =
		talloc_array(NULL, candidate_t, wave->n_targets + 1);
	size_t n = 0;
	size_t i;

	for (i = 0; i < wave->n_targets; i++) {
		wave_target_t *target = &wave->targets[i];
		size_t n_long_running;

		if (target->state != WAVE_TARGET_WAITING ||
		    !target->is_listed ||
		    target->listed_state != NODE_INSTANCE_UP ||
		    node_moves_is_moving(wave->waves->holder->moves,
					 target->name))
			continue;
		candidates[n].target = target;
		candidates[n].cost = count_runs(target, &n_long_running);
		candidates[n++].cost += 100 * n_long_running;
	}
	qsort(candidates, n, sizeof(*candidates), candidate_cmp);
	for (i = 0; i < n && (int)i < most; i++) {
		set_state(candidates[i].target, WAVE_TARGET_EMPTYING, "next");
		cordon(candidates[i].target, true);
	}
	talloc_free(candidates);
}

static void count_targets(const wave_t *wave, int counts[WAVE_TARGET_MAX])
{
	size_t i;

	memset(counts, 0, sizeof(int) * WAVE_TARGET_MAX);
	for (i = 0; i < wave->n_targets; i++)
		counts[wave->targets[i].state]++;
}

/* The order is sent only when this state is stored, so that a successor counts
 * the instance as down. */
static void mark_asked(wave_target_t *target)
{
	set_state(target, WAVE_TARGET_ASKED, "empty");
	/* If an earlier order was carried out, this one ends no worker. */
	TALLOC_FREE(target->asked_worker);
	if (!target->may_be_down)
		target->asked_worker =
			talloc_strdup(target->wave, target->worker);
	target->version = ++target->wave->version;
	target->is_in_doubt |= target->may_be_down;
	target->may_be_down = false;
}

/*
 * A worker that was forgotten and has rejoined the list is not cordoned, and
 * may have got runs.  A repeated order would end them.
 */
static void keep_empty(wave_target_t *target)
{
	size_t n_long_running;

	if (target->state != WAVE_TARGET_ASKED &&
	    target->state != WAVE_TARGET_EMPTYING)
		return;
	cordon(target, true);
	if (target->state == WAVE_TARGET_ASKED && !target->is_calling &&
	    count_runs(target, &n_long_running)) {
		set_state(target, WAVE_TARGET_EMPTYING, "runs again");
		target->may_be_down = true;
	}
}

static void advance_emptied(wave_t *wave, int *n_down)
{
	int64_t now = base_clock_mono();
	size_t n_long_running;
	size_t i;

	for (i = 0; i < wave->n_targets; i++) {
		wave_target_t *target = &wave->targets[i];

		keep_empty(target);
		if (target->is_calling ||
		    now - target->answered_at < WAVE_RETRY_DELAY)
			continue;
		if (target->state == WAVE_TARGET_ASKED) {
			if (wave->stored_version >= target->version)
				order_maintenance(target);
		} else if (target->state == WAVE_TARGET_EMPTYING &&
			   target->is_listed && now >= target->former_until &&
			   (target->may_be_down || *n_down < wave->at_most) &&
			   !count_runs(target, &n_long_running) &&
			   !has_unstored_ends(target)) {
			*n_down += !target->may_be_down;
			mark_asked(target);
		}
	}
}

/* Counts instances that are or may be down without an order of this holder. */
static int count_other_down(const wave_t *wave)
{
	int n = 0;
	size_t i;

	for (i = 0; i < wave->n_targets; i++) {
		const wave_target_t *target = &wave->targets[i];

		if (target->state == WAVE_TARGET_ASKED ||
		    target->state == WAVE_TARGET_DOWN)
			continue;
		n += target->may_be_down ||
		     (target->is_listed &&
		      target->listed_state == NODE_INSTANCE_MAINTENANCE);
	}
	return n;
}

static void advance(wave_t *wave)
{
	int counts[WAVE_TARGET_MAX];
	int n_down;
	int n_busy;

	count_targets(wave, counts);
	if (!wave->completed && counts[WAVE_TARGET_DOWN] +
						counts[WAVE_TARGET_BACK] +
						counts[WAVE_TARGET_GONE] ==
					(int)wave->n_targets) {
		wave->completed = true;
		wave->version++;
		node_log(wave->waves->holder->node, BASE_MSG_WAVE,
			 BASE_F_INT("wave", wave->number),
			 BASE_F_INT("instances", (int64_t)wave->n_targets),
			 BASE_F_INT("at_most", wave->at_most),
			 BASE_F_BOOL("completed", true));
	}
	n_down = counts[WAVE_TARGET_ASKED] + counts[WAVE_TARGET_DOWN] +
		 count_other_down(wave);
	n_busy = n_down + counts[WAVE_TARGET_EMPTYING];
	advance_emptied(wave, &n_down);
	if (n_busy < wave->at_most + WAVE_AHEAD && !wave->completed)
		empty_next_targets(wave, wave->at_most + WAVE_AHEAD - n_busy);
}

static bool has_active(const node_waves_t *waves)
{
	int counts[WAVE_TARGET_MAX];
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);

		count_targets(wave, counts);
		if (!wave->completed || counts[WAVE_TARGET_DOWN])
			return true;
	}
	return false;
}

static void tick(void *arg)
{
	node_waves_t *waves = arg;
	guint i;

	if (waves->holder->ended || !has_active(waves))
		return;
	net_timer_start(waves->tick_timer, WAVE_TICK);
	node_instances_poll_fast(waves->holder->instances);
	if (!node_holder_may_decide(waves->holder))
		return;
	/* Before the first complete list it is unknown which instances are
	 * down. */
	for (i = 0; waves->holder->instances->complete_round_start &&
		    i < waves->waves->len;
	     i++)
		advance(g_ptr_array_index(waves->waves, i));
	if (node_waves_has_unstored(waves))
		node_holder_step_soon(waves->holder);
}

static void apply_instance(wave_target_t *target, const node_inst_t *inst)
{
	bool same = target->worker && !strcmp(target->worker, inst->worker);

	target->is_listed = true;
	target->listed_state = inst->state;
	if (!same) {
		talloc_free(target->worker);
		target->worker = *inst->worker ? talloc_strdup(target->wave,
							       inst->worker)
					       : NULL;
		/* The order may have been carried out, and its answer lost.
		 * Repeated, it would end what the new worker runs. */
		if (target->state == WAVE_TARGET_ASKED && target->worker &&
		    !target->is_calling) {
			set_state(target, WAVE_TARGET_EMPTYING,
				  "another worker");
			target->may_be_down = true;
		}
		if (target->state == WAVE_TARGET_EMPTYING)
			cordon(target, true);
	}
	/* A list that was requested before the order was answered may be older
	 * than the maintenance. */
	if (target->state == WAVE_TARGET_DOWN &&
	    inst->state == NODE_INSTANCE_UP &&
	    target->answered_at < target->wave->waves->holder->instances
					  ->complete_round_start) {
		set_state(target, WAVE_TARGET_BACK, "up again");
		cordon(target, false);
	}
}

void node_waves_list_done(node_waves_t *waves)
{
	guint i;
	size_t j;

	for (i = 0; i < waves->waves->len; i++) {
		wave_t *wave = g_ptr_array_index(waves->waves, i);

		for (j = 0; j < wave->n_targets; j++) {
			wave_target_t *target = &wave->targets[j];
			const node_inst_t *inst = node_instance_find(
				waves->holder->instances, target->name);

			if (inst)
				apply_instance(target, inst);
			else if (!target->is_calling &&
				 (target->state == WAVE_TARGET_WAITING ||
				  target->state == WAVE_TARGET_EMPTYING))
				set_state(target, WAVE_TARGET_GONE, "left");
		}
	}
}

void node_waves_worker_added(const node_waves_t *waves, const char *worker)
{
	guint i;
	size_t j;

	for (i = 0; i < waves->waves->len; i++) {
		wave_t *wave = g_ptr_array_index(waves->waves, i);

		for (j = 0; j < wave->n_targets; j++) {
			wave_target_t *target = &wave->targets[j];

			if ((target->state == WAVE_TARGET_EMPTYING ||
			     target->state == WAVE_TARGET_ASKED) &&
			    target->worker && !strcmp(target->worker, worker))
				cordon(target, true);
		}
	}
}

static const wave_target_t *find_open_target(const node_waves_t *waves,
					     const char *name)
{
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);
		const wave_target_t *target = node_wave_find_target(wave, name);

		if (target && target->state != WAVE_TARGET_BACK &&
		    target->state != WAVE_TARGET_GONE)
			return target;
	}
	return NULL;
}

bool node_waves_is_active(const node_waves_t *waves, const char *name)
{
	const wave_target_t *target = find_open_target(waves, name);

	return target && target->state != WAVE_TARGET_WAITING;
}

bool node_waves_is_unfinished(const node_waves_t *waves, const char *name)
{
	return find_open_target(waves, name) != NULL;
}
