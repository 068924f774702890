/* fleet_site - the site Vakatawa and its holder, for tests of the fleet. */
#ifndef FLEET_SITE_H
#define FLEET_SITE_H

#include "fleet_world.h"

static inline fleet_t *new_holder(world_t *w, uint64_t token)
{
	fleet_opts_t opts = { .weights = { 0.7, 0.7, 0.3 } };
	const fleet_pool_t *pools;
	size_t n = world_pools(&pools);
	fleet_t *fleet = fleet_new(w, &opts);

	fleet_configure(fleet, pools, n);
	fleet_set_fencing_token(fleet, token);
	return fleet;
}

/*
 * Vakatawa: three zones, 49 instances, four to a rack, racks with several
 * pools.
 */
static inline world_t *new_site(fleet_t **fleet)
{
	world_t *w = world_new(3, 5, 4);

	for (size_t i = 0; i < w->n; i++)
		if (i % 20 >= (i < 20 ? 17 : 16))
			w->insts[i].listed = w->insts[i].up = false;
	world_add_entry(w);
	world_add_entry(w);
	*fleet = new_holder(w, 1);
	for (int i = 0; i < 5; i++)
		world_turn(w, *fleet, BASE_SEC);
	return w;
}

static inline void run_turns(world_t *w, fleet_t *fleet, int n, int64_t us)
{
	for (int i = 0; i < n; i++)
		world_turn(w, fleet, us);
}

static inline size_t count_state(const fleet_t *fleet, fleet_state_t state)
{
	fleet_inst_view_t view;
	size_t n = 0;

	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		n += view.state == state;
	}
	return n;
}

static inline void apply_verb(world_t *w, fleet_t *fleet,
			      fleet_wave_verb_t verb)
{
	fleet_wave_t next;
	char *value;

	world_read_all(w, fleet);
	g_assert_true(
		fleet_wave_operator(fleet_wave(fleet), verb, w->now, &next));
	value = fleet_wave_encode(w, &next);
	g_assert_true(
		world_cas(w, FLEET_WAVE_KEY, value, fleet_wave(fleet)->rev));
	world_read_all(w, fleet);
}

#endif
