/*
 * fleet_measure - measures the buffer, the moves and the roll-out time of a
 * site, each with a computed bound and two baselines.  Deterministic; for the
 * bench and for the tests that check the ratios.
 */
#ifndef FLEET_MEASURE_H
#define FLEET_MEASURE_H

#include "fleet_world.h"

#define MEASURE_POOLS_MAX 225
/* The baseline "fixed_part" takes a fixed tenth of a pool out at a time. */
#define MEASURE_FIXED_DIVISOR 10

typedef struct measure_site {
	const char *name;
	size_t zones, racks, per_rack;
	size_t instances; /* listed instances, spread over the zones */
	fleet_weights_t weights;
	fleet_pool_t pools[MEASURE_POOLS_MAX];
	size_t n_pools;
	int64_t tick; /* time between steps of the holder, microseconds */
} measure_site_t;

typedef struct measure {
	double measured_cost, bound, one_at_a_time, fixed_part;
} measure_t;

/*
 * A site of today's size.  Both such sites have the same counts and differ in
 * their weights.
 */
static inline measure_site_t measure_today(const char *name, double buffer,
					   double moves, double flood)
{
	measure_site_t site = { .name = name,
				.zones = 3,
				.racks = 5,
				.per_rack = 4,
				.instances = 49,
				.weights = { buffer, moves, flood },
				.tick = BASE_SEC };
	const fleet_pool_t *five;

	site.n_pools = world_pools(&five);
	memcpy(site.pools, five, sizeof(*five) * site.n_pools);
	return site;
}

/* One zone: pools of 80 executors, of which 72 must be up. */
static inline measure_site_t measure_zone(const void *ctx, size_t instances)
{
	measure_site_t site = { .name = "zone",
				.zones = 1,
				.racks = instances / 4,
				.per_rack = 4,
				.instances = instances,
				.weights = { 0.4, 0.3, 0.3 },
				.tick = 5 * BASE_SEC };

	site.n_pools = instances / 80;
	for (size_t i = 0; i < site.n_pools; i++)
		site.pools[i] = (fleet_pool_t){
			.name = talloc_asprintf(ctx, "pool-%zu", i),
			.executors = 80,
			.slots = 8,
			.min_up = 72,
			.survive_rack = true,
			.spare = i == 0,
		};
	return site;
}

/* The target size: 8 zones of 594 racks, 225 pools of 84 executors. */
static inline measure_site_t measure_target(const void *ctx)
{
	measure_site_t site = measure_zone(ctx, 2400);

	site.name = "target";
	site.zones = 8;
	site.racks = 594;
	site.instances = 8 * 594 * 4;
	site.n_pools = MEASURE_POOLS_MAX;
	for (size_t i = 0; i < site.n_pools; i++) {
		site.pools[i] = site.pools[0];
		site.pools[i].name = talloc_asprintf(ctx, "pool-%zu", i);
		site.pools[i].executors = 84;
		site.pools[i].spare = i == 0;
	}
	return site;
}

static inline size_t measure_racks(const measure_site_t *site)
{
	return site->zones * site->racks;
}

static inline size_t measure_refusals(const measure_site_t *site,
				      const fleet_pool_t *pools)
{
	size_t n = measure_racks(site);
	fleet_rack_t *racks = talloc_array(NULL, fleet_rack_t, n);
	fleet_site_t check = { pools, site->n_pools, racks, n, site->zones };
	fleet_refusal_t *out;
	size_t refused;

	for (size_t r = 0; r < n; r++)
		racks[r] = (fleet_rack_t){ (uint32_t)(r / site->racks), 8 };
	refused = fleet_budget_check(NULL, &check, &out);
	talloc_free(out);
	talloc_free(racks);
	return refused;
}

/*
 * Measures the fewest executors above min_up that the check accepts.  The bound
 * is what any placement needs so that each pool survives the loss of its
 * fullest rack while one executor of the site is out.
 */
static inline measure_t measure_buffer(const measure_site_t *site)
{
	fleet_pool_t pools[MEASURE_POOLS_MAX];
	measure_t m = { 0, 1, 0, 0 };
	size_t racks = measure_racks(site);

	memcpy(pools, site->pools, sizeof(pools));
	for (size_t i = 0; i < site->n_pools; i++) {
		while (!measure_refusals(site, pools))
			pools[i].executors--;
		pools[i].executors++;
	}
	for (size_t i = 0; i < site->n_pools; i++) {
		uint32_t up = pools[i].min_up;
		uint32_t alone, part;

		m.measured_cost += pools[i].executors - up;
		m.bound += fleet_plan_min_executors(&pools[i], up, racks,
						    site->zones) -
			   up;
		/* Each pool keeps executors to drain: one, or a fixed part. */
		alone = fleet_plan_min_executors(&pools[i], up + 1, racks,
						 site->zones);
		part = up +
		       (up + MEASURE_FIXED_DIVISOR - 1) / MEASURE_FIXED_DIVISOR;
		m.one_at_a_time += alone - up;
		m.fixed_part += fleet_plan_min_executors(&pools[i], part, racks,
							 site->zones) -
				up;
	}
	return m;
}

static inline fleet_t *measure_holder(world_t *w, const measure_site_t *site)
{
	fleet_opts_t opts;
	fleet_t *fleet;

	memset(&opts, 0, sizeof(opts));
	opts.weights = site->weights;
	opts.alive_for = 4 * site->tick;
	fleet = fleet_new(w, &opts);
	fleet_configure(fleet, site->pools, site->n_pools);
	fleet_set_fencing_token(fleet, 1);
	return fleet;
}

static inline world_t *measure_world(const measure_site_t *site,
				     fleet_t **fleet)
{
	world_t *w = world_new(site->zones, site->racks, site->per_rack);
	size_t per_zone = site->racks * site->per_rack;

	for (size_t i = 0; i < w->n; i++) {
		size_t zone = i / per_zone;
		size_t here = (site->instances + site->zones - 1 - zone) /
			      site->zones;

		if (i % per_zone >= here)
			w->insts[i].listed = w->insts[i].up = false;
	}
	world_add_entry(w);
	*fleet = measure_holder(w, site);
	for (int i = 0; i < 4; i++)
		world_turn(w, *fleet, site->tick);
	return w;
}

/*
 * Measures a whole wave, in reboot times.  The bound is the most rounds that
 * the budget of any pool needs.
 */
static inline measure_t measure_rollout(const measure_site_t *site)
{
	measure_t m = { 0, 0, (double)site->instances, 0 };
	fleet_t *fleet;
	world_t *w = measure_world(site, &fleet);
	fleet_wave_t next;
	int64_t begun = w->now;

	for (size_t i = 0; i < site->n_pools; i++) {
		uint32_t n = site->pools[i].executors, k = 0;
		uint32_t part = MAX(n / MEASURE_FIXED_DIVISOR, 1);
		uint32_t rounds, parts;

		while (fleet_plan_min_executors(
			       &site->pools[i], site->pools[i].min_up,
			       measure_racks(site), site->zones) <= n - k - 1)
			k++;
		rounds = (n + k - 1) / MAX(k, 1);
		parts = (n + part - 1) / part;
		m.bound = MAX(m.bound, rounds);
		m.fixed_part = MAX(m.fixed_part, parts);
	}
	g_assert_true(fleet_wave_operator(fleet_wave(fleet), FLEET_WAVE_START,
					  w->now, &next));
	world_cas(w, FLEET_WAVE_KEY, fleet_wave_encode(w, &next), 0);
	do {
		world_turn(w, fleet, site->tick);
	} while (fleet_wave(fleet)->state != FLEET_WAVE_NONE &&
		 w->now - begun < w->boot * (int64_t)site->instances * 2);
	m.measured_cost = (double)(w->now - begun) / (double)w->boot;
	g_assert_cmpuint(w->reboots, ==, site->instances);
	talloc_free(w);
	return m;
}

/* Returns how many instances changed pool since the last call. */
static inline double measure_changes(world_t *w, fleet_t *fleet)
{
	fleet_inst_view_t view;
	double n = 0;

	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		world_inst_t *inst;

		fleet_inst_view(fleet, i, &view);
		inst = world_inst(w, view.id);
		if (!view.pool)
			continue;
		n += inst->pool[0] && strcmp(inst->pool, view.pool) != 0;
		g_strlcpy(inst->pool, view.pool, sizeof(inst->pool));
	}
	return n;
}

/*
 * Measures the instances that change pool over ten changes of the
 * configuration, each followed by the failure of a rack that is back within
 * minutes.  The bound is the moves that the changes need.  Baselines: a plan
 * from scratch each time, made by a fleet without records; and replacing every
 * failed instance and moving it back.
 */
static inline measure_t measure_moves(const measure_site_t *site)
{
	measure_site_t changed = *site;
	measure_t m = { 0, 0, 0, 0 };
	fleet_t *fleet, *scratch;
	world_t *w = measure_world(site, &fleet), *other;

	measure_changes(w, fleet);
	other = measure_world(site, &scratch);
	measure_changes(other, scratch);
	for (size_t round = 0; round < 10; round++) {
		fleet_pool_t *from = &changed.pools[round % changed.n_pools];
		fleet_pool_t *to =
			&changed.pools[(round * 3 + 1) % changed.n_pools];
		size_t per_rack = site->per_rack;

		if (from == to)
			to = &changed.pools[(round * 3 + 2) % changed.n_pools];
		from->executors--;
		from->min_up--;
		to->executors++;
		m.bound++;
		fleet_configure(fleet, changed.pools, changed.n_pools);
		for (size_t i = 0; i < per_rack; i++)
			w->insts[round * per_rack + i].up = false;
		for (int i = 0; i < 40; i++)
			world_turn(w, fleet, site->tick);
		for (size_t i = 0; i < per_rack; i++) {
			w->insts[round * per_rack + i].inc++;
			w->insts[round * per_rack + i].up =
				w->insts[round * per_rack + i].listed;
			m.fixed_part +=
				2 * w->insts[round * per_rack + i].listed;
		}
		for (int i = 0; i < 3600; i += (int)(site->tick / BASE_SEC))
			world_turn(w, fleet, site->tick);
		m.measured_cost += measure_changes(w, fleet);
		/* Plan from scratch: the same list, no records. */
		memset(other->kv, 0, sizeof(other->kv));
		other->n_kv = 0;
		talloc_free(scratch);
		scratch = measure_holder(other, &changed);
		for (int i = 0; i < 4; i++)
			world_turn(other, scratch, site->tick);
		m.one_at_a_time += measure_changes(other, scratch);
	}
	m.fixed_part += m.bound;
	talloc_free(w);
	talloc_free(other);
	return m;
}

#endif
