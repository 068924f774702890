/*
 * Rounds of upkeep: instances are emptied, a few at a time, and handed to the
 * platform once nothing runs on them.
 */
#include "node_wave_int.h"

#define WAVE_TICK (100 * BASE_MS)
#define WAVE_RETRY (300 * BASE_MS)
/* Instances that are emptied while others are in upkeep: emptying takes about
 * as long. */
#define WAVE_AHEAD 1

static void tick(void *arg);
static int waves_free(node_waves_t *waves)
{
	g_ptr_array_unref(waves->waves);
	g_hash_table_unref(waves->records);
	return 0;
}

node_waves_t *node_waves_new(node_owner_t *owner)
{
	node_t *node = owner->node;
	node_waves_t *waves = talloc_zero(owner, node_waves_t);

	waves->owner = owner;
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

place_t *node_wave_place(const wave_t *wave, const char *name)
{
	size_t i;

	for (i = 0; i < wave->n; i++)
		if (!strcmp(wave->places[i].name, name))
			return &wave->places[i];
	return NULL;
}

void node_waves_text(node_waves_t *waves, base_str_t text)
{
	node_t *node = waves->owner->node;
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
	wave->ends_by = base_clock_mono() + info.duration;
	wave->n = info.n_instances;
	wave->places = talloc_zero_array(wave, place_t, wave->n + 1);
	for (i = 0; i < wave->n; i++) {
		wave->places[i].wave = wave;
		wave->places[i].name = talloc_strdup(wave, info.instances[i]);
	}
	node_wave_take_record(wave);
	if (!wave->completed)
		wave->version = 1;
	g_ptr_array_add(waves->waves, wave);
	node_log(node, BASE_MSG_WAVE, BASE_F_INT("wave", wave->number),
		 BASE_F_INT("instances", (int64_t)wave->n),
		 BASE_F_INT("at_most", wave->at_most),
		 BASE_F_BOOL("completed", wave->completed));
	talloc_free(ctx);
	if (wave->completed)
		return;
	net_timer_start(waves->tick_timer, 0);
	node_instances_hurry(waves->owner->instances);
}

static void set_state(place_t *place, place_state_t state, const char *why)
{
	node_t *node = place->wave->waves->owner->node;

	node_log(node, BASE_MSG_INSTANCE, BASE_F_STR("instance", place->name),
		 BASE_F_STR("worker", place->worker ? place->worker : ""),
		 BASE_F_INT("wave", place->wave->number),
		 BASE_F_STR("from", node_wave_place_word(place->state)),
		 BASE_F_STR("to", node_wave_place_word(state)),
		 BASE_F_STR("why", why),
		 BASE_F_INT("after_us", base_clock_mono() - place->since));
	place->state = state;
	place->since = base_clock_mono();
}

static void cordon(place_t *place, bool on)
{
	if (place->worker)
		batch_worker_cordon(place->wave->waves->owner->core,
				    base_clock_mono(), base_str(place->worker),
				    on);
}

static void ordered(void *arg, node_duty_fate_t fate)
{
	place_t *place = arg;
	wave_t *wave = place->wave;
	node_owner_t *owner = wave->waves->owner;

	place->calling = false;
	place->asked_at = base_clock_mono();
	if (owner->ended)
		return;
	switch (fate) {
	case NODE_DUTY_OK:
		set_state(place, PLACE_DOWN, "upkeep begun");
		wave->version++;
		if (place->worker)
			batch_worker_over(owner->core, base_clock_mono(),
					  base_str(place->worker));
		node_owner_wake(owner);
		break;
	case NODE_DUTY_FENCED:
		node_lead_lost(owner->node, "fenced by the platform");
		break;
	case NODE_DUTY_WRONG:
		set_state(place, PLACE_GONE, "not of this wave");
		cordon(place, false);
		break;
	case NODE_DUTY_UNKNOWN:
		/* Asked again: if it was done it is not done twice. */
		break;
	default:
		set_state(place, PLACE_EMPTYING, "refused for now");
		break;
	}
}

static void order(place_t *place)
{
	node_owner_t *owner = place->wave->waves->owner;

	place->calling = true;
	owner->node->platform->upkeep(owner->instances->handle, place->name,
				      place->wave->number, owner->term, ordered,
				      place);
}

static size_t runs_on(const place_t *place, size_t *lasting)
{
	*lasting = 0;
	if (!place->worker)
		return 0;
	return batch_worker_runs(place->wave->waves->owner->core,
				 base_str(place->worker), lasting);
}

/* The instance that is emptied with the least harm. */
static place_t *next_place(const wave_t *wave)
{
	place_t *best = NULL;
	size_t best_cost = 0;
	size_t i;

	for (i = 0; i < wave->n; i++) {
		place_t *place = &wave->places[i];
		size_t lasting;
		size_t cost;

		if (place->state != PLACE_WAITING || !place->in_list ||
		    place->listed != NODE_INSTANCE_UP ||
		    node_moves_busy(wave->waves->owner->moves, place->name))
			continue;
		cost = runs_on(place, &lasting);
		cost += 100 * lasting;
		if (!best || cost < best_cost) {
			best = place;
			best_cost = cost;
		}
	}
	return best;
}

static void count_places(const wave_t *wave, int counts[PLACE_MAX])
{
	size_t i;

	memset(counts, 0, sizeof(int) * PLACE_MAX);
	for (i = 0; i < wave->n; i++)
		counts[wave->places[i].state]++;
}

/* The order goes out once it is stored, so that a successor counts it. */
static void ask(place_t *place)
{
	set_state(place, PLACE_ASKED, "empty");
	place->version = ++place->wave->version;
	place->maybe_down = false;
}

static void order_empty(wave_t *wave, int *down)
{
	int64_t now = base_clock_mono();
	size_t lasting;
	size_t i;

	for (i = 0; i < wave->n; i++) {
		place_t *place = &wave->places[i];

		if (place->calling || now - place->asked_at < WAVE_RETRY)
			continue;
		if (place->state == PLACE_ASKED) {
			if (wave->kept >= place->version)
				order(place);
		} else if (place->state == PLACE_EMPTYING && place->in_list &&
			   (place->maybe_down || *down < wave->at_most) &&
			   !runs_on(place, &lasting)) {
			*down += !place->maybe_down;
			ask(place);
		}
	}
}

/* Instances that are down, or may be, beside those that we ordered. */
static int seen_down(const wave_t *wave)
{
	int n = 0;
	size_t i;

	for (i = 0; i < wave->n; i++) {
		const place_t *place = &wave->places[i];

		if (place->state == PLACE_ASKED || place->state == PLACE_DOWN)
			continue;
		n += place->maybe_down ||
		     (place->in_list && place->listed == NODE_INSTANCE_UPKEEP);
	}
	return n;
}

static void advance(wave_t *wave)
{
	int counts[PLACE_MAX];
	int down;
	int busy;
	place_t *place;

	count_places(wave, counts);
	if (!wave->completed &&
	    counts[PLACE_DOWN] + counts[PLACE_BACK] + counts[PLACE_GONE] ==
		    (int)wave->n) {
		wave->completed = true;
		wave->version++;
		node_log(wave->waves->owner->node, BASE_MSG_WAVE,
			 BASE_F_INT("wave", wave->number),
			 BASE_F_INT("instances", (int64_t)wave->n),
			 BASE_F_INT("at_most", wave->at_most),
			 BASE_F_BOOL("completed", true));
	}
	down = counts[PLACE_ASKED] + counts[PLACE_DOWN] + seen_down(wave);
	busy = down + counts[PLACE_EMPTYING];
	order_empty(wave, &down);
	while (busy < wave->at_most + WAVE_AHEAD &&
	       (place = next_place(wave)) != NULL) {
		set_state(place, PLACE_EMPTYING, "next");
		cordon(place, true);
		busy++;
	}
}

static bool active(const node_waves_t *waves)
{
	int counts[PLACE_MAX];
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);

		count_places(wave, counts);
		if (!wave->completed || counts[PLACE_DOWN])
			return true;
	}
	return false;
}

static void tick(void *arg)
{
	node_waves_t *waves = arg;
	guint i;

	if (waves->owner->ended || !active(waves))
		return;
	net_timer_start(waves->tick_timer, WAVE_TICK);
	node_instances_hurry(waves->owner->instances);
	if (!node_owner_valid(waves->owner))
		return;
	/* Before the first whole list it is not known what is down. */
	for (i = 0;
	     waves->owner->instances->round_sent && i < waves->waves->len; i++)
		advance(g_ptr_array_index(waves->waves, i));
	if (node_waves_waiting(waves))
		node_owner_wake(waves->owner);
}

static void take_instance(place_t *place, const node_inst_t *inst)
{
	bool same = place->worker && !strcmp(place->worker, inst->worker);

	place->in_list = true;
	place->listed = inst->state;
	if (!same) {
		talloc_free(place->worker);
		place->worker =
			*inst->worker ? talloc_strdup(place->wave, inst->worker)
				      : NULL;
		if (place->state == PLACE_EMPTYING)
			cordon(place, true);
	}
	/* A list that was read before the order says nothing of it. */
	if (place->state == PLACE_DOWN && inst->state == NODE_INSTANCE_UP &&
	    place->asked_at <
		    place->wave->waves->owner->instances->round_sent) {
		set_state(place, PLACE_BACK, "up again");
		cordon(place, false);
	}
}

void node_waves_round(node_waves_t *waves)
{
	guint i;
	size_t j;

	for (i = 0; i < waves->waves->len; i++) {
		wave_t *wave = g_ptr_array_index(waves->waves, i);

		for (j = 0; j < wave->n; j++) {
			place_t *place = &wave->places[j];
			const node_inst_t *inst = node_instance_find(
				waves->owner->instances, place->name);

			if (inst)
				take_instance(place, inst);
			else if (!place->calling &&
				 (place->state == PLACE_WAITING ||
				  place->state == PLACE_EMPTYING))
				set_state(place, PLACE_GONE, "left");
		}
	}
}

static const place_t *open_place(const node_waves_t *waves, const char *name)
{
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);
		const place_t *place = node_wave_place(wave, name);

		if (place && place->state != PLACE_BACK &&
		    place->state != PLACE_GONE)
			return place;
	}
	return NULL;
}

bool node_waves_busy(const node_waves_t *waves, const char *name)
{
	const place_t *place = open_place(waves, name);

	return place && place->state != PLACE_WAITING;
}

bool node_waves_due(const node_waves_t *waves, const char *name)
{
	return open_place(waves, name) != NULL;
}
