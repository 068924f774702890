#include "fleet_int.h"

typedef struct check {
	const fleet_site_t *site;
	fleet_place_t place;
	fleet_refusal_t *out;
	size_t n;
	uint32_t instances;
	uint32_t executors;
	bool spare_has_room;
} check_t;

static void place_pools(check_t *check, const void *ctx);
static size_t next_pool(const fleet_site_t *site, const bool *placed);
static fleet_up_t placed_up(const check_t *check, size_t pool);
static void check_machines(check_t *check);
static void check_pool(check_t *check, size_t i);
static void refuse(check_t *check, fleet_refusal_kind_t kind, size_t pool,
		   const fleet_up_t *up);
static void describe(const check_t *check, fleet_refusal_t *refusal);

static const char *const kind_text[FLEET_REFUSE_MAX] = {
	[FLEET_REFUSE_MACHINES] = "asks for more executors than instances",
	[FLEET_REFUSE_MIN_UP] =
		"needs a min_up from 1 to its number of executors",
	[FLEET_REFUSE_RACK] = "does not survive the loss of a rack",
	[FLEET_REFUSE_ZONE] = "does not survive the loss of a zone",
	[FLEET_REFUSE_DRAIN] = "leaves no executor that can be drained",
};

int32_t fleet_budget_headroom(const fleet_pool_t *pool, const fleet_up_t *up)
{
	uint32_t loss = 0;

	if (pool->survive_rack)
		loss = up->worst_rack;
	if (pool->survive_zone && up->worst_zone > loss)
		loss = up->worst_zone;
	return (int32_t)up->up - (int32_t)loss - (int32_t)pool->min_up;
}

size_t fleet_budget_check(const void *ctx, const fleet_site_t *site,
			  fleet_refusal_t **out)
{
	check_t check = { .site = site };
	void *tmp = talloc_new(ctx);

	check.out = talloc_zero_array(ctx, fleet_refusal_t, site->n_pools + 1);
	place_pools(&check, tmp);
	check_machines(&check);
	for (size_t i = 0; !check.n && i < site->n_pools; i++) {
		fleet_up_t up = placed_up(&check, i);

		if (site->pools[i].spare &&
		    fleet_budget_headroom(&site->pools[i], &up) > 0)
			check.spare_has_room = true;
	}
	if (!check.n)
		for (size_t i = 0; i < site->n_pools; i++)
			check_pool(&check, i);
	talloc_free(tmp);
	*out = check.out;
	return check.n;
}

/*
 * Places the executors of all pools in the order and on the racks that
 * fleet_assign() uses.
 */
static void place_pools(check_t *check, const void *ctx)
{
	const fleet_site_t *site = check->site;
	fleet_place_t *place = &check->place;
	bool *placed = talloc_zero_array(ctx, bool, site->n_pools);

	fleet_place_init(place, ctx, site->n_pools, site->n_racks,
			 site->n_zones);
	for (size_t r = 0; r < site->n_racks; r++) {
		uint32_t zone = site->racks[r].zone;

		place->rack_zone[r] = zone;
		place->free[r] = site->racks[r].instances;
		place->free_zone[zone] += site->racks[r].instances;
		check->instances += site->racks[r].instances;
	}
	for (size_t i = 0; i < site->n_pools; i++)
		check->executors += site->pools[i].executors;
	if (check->executors > check->instances)
		return;
	for (size_t turn = 0; turn < site->n_pools; turn++) {
		size_t i = next_pool(site, placed);

		placed[i] = true;
		for (uint32_t n = 0; n < site->pools[i].executors; n++)
			fleet_place_take(place, i,
					 fleet_place_pick_rack(
						 place, i, &site->pools[i]));
	}
}

static size_t next_pool(const fleet_site_t *site, const bool *placed)
{
	size_t best = site->n_pools;

	for (size_t i = 0; i < site->n_pools; i++)
		if (!placed[i] &&
		    (best == site->n_pools ||
		     fleet_place_before(
			     &site->pools[i], site->pools[i].executors,
			     &site->pools[best], site->pools[best].executors)))
			best = i;
	return best;
}

static fleet_up_t placed_up(const check_t *check, size_t pool)
{
	const fleet_place_t *place = &check->place;
	fleet_up_t up = { check->site->pools[pool].executors, 0, 0 };

	for (size_t r = 0; r < place->n_racks; r++) {
		uint32_t in = place->in_rack[pool * place->n_racks + r];

		up.worst_rack = MAX(up.worst_rack, in);
	}
	for (size_t z = 0; z < place->n_zones; z++) {
		uint32_t in = place->in_zone[pool * place->n_zones + z];

		up.worst_zone = MAX(up.worst_zone, in);
	}
	return up;
}

static void check_machines(check_t *check)
{
	fleet_refusal_t *refusal = &check->out[check->n];

	if (check->executors <= check->instances)
		return;
	check->n++;
	refusal->kind = FLEET_REFUSE_MACHINES;
	refusal->pool = check->site->n_pools;
	refusal->executors = check->instances;
	refusal->instances = check->executors - check->instances;
	g_snprintf(refusal->text, sizeof(refusal->text),
		   "the site %s: %u executors, %u instances; add %u instances "
		   "or take %u executors away",
		   kind_text[FLEET_REFUSE_MACHINES], check->executors,
		   check->instances, refusal->instances, refusal->instances);
}

static void check_pool(check_t *check, size_t i)
{
	const fleet_pool_t *pool = &check->site->pools[i];
	fleet_up_t up = placed_up(check, i);
	int32_t rack_left = (int32_t)(up.up - up.worst_rack);
	int32_t zone_left = (int32_t)(up.up - up.worst_zone);
	int32_t need = (int32_t)pool->min_up;

	if (!pool->min_up || pool->min_up > pool->executors)
		refuse(check, FLEET_REFUSE_MIN_UP, i, &up);
	else if (pool->survive_zone && zone_left < need)
		refuse(check, FLEET_REFUSE_ZONE, i, &up);
	else if (pool->survive_rack && rack_left < need)
		refuse(check, FLEET_REFUSE_RACK, i, &up);
	else if (!pool->unmaintained && fleet_budget_headroom(pool, &up) < 1 &&
		 (pool->spare || !check->spare_has_room))
		refuse(check, FLEET_REFUSE_DRAIN, i, &up);
}

static void refuse(check_t *check, fleet_refusal_kind_t kind, size_t pool,
		   const fleet_up_t *up)
{
	const fleet_site_t *site = check->site;
	const fleet_pool_t *conf = &site->pools[pool];
	fleet_refusal_t *refusal = &check->out[check->n++];
	uint32_t drain = kind == FLEET_REFUSE_DRAIN ? 1 : 0;
	int32_t headroom = fleet_budget_headroom(conf, up);
	uint32_t total;

	refusal->kind = kind;
	refusal->pool = pool;
	headroom += (int32_t)conf->min_up - (int32_t)drain;
	refusal->min_up = headroom > 0 ? (uint32_t)headroom : 0;
	refusal->executors =
		fleet_plan_min_executors(conf, MAX(conf->min_up, 1) + drain,
					 site->n_racks, site->n_zones);
	if (refusal->executors != UINT32_MAX) {
		total = check->executors - conf->executors + refusal->executors;
		if (total > check->instances)
			refusal->instances = total - check->instances;
	}
	describe(check, refusal);
}

static void describe(const check_t *check, fleet_refusal_t *refusal)
{
	const fleet_pool_t *pool = &check->site->pools[refusal->pool];
	base_buf_t *text = base_buf_new(NULL);

	base_buf_addf(text, "%s %s: %u executors, min_up %u; ", pool->name,
		      kind_text[refusal->kind], pool->executors, pool->min_up);
	if (refusal->min_up)
		base_buf_addf(text, "set min_up to %u", refusal->min_up);
	if (refusal->min_up && refusal->executors != UINT32_MAX)
		base_buf_adds(text, " or ");
	if (refusal->executors != UINT32_MAX)
		base_buf_addf(text, "executors to %u", refusal->executors);
	else if (!refusal->min_up)
		base_buf_adds(text, "no number of executors in these failure "
				    "domains is enough; add a failure domain");
	if (refusal->instances)
		base_buf_addf(text, " (with %u more instances)",
			      refusal->instances);
	g_strlcpy(refusal->text, text->ptr, sizeof(refusal->text));
	talloc_free(text);
}
