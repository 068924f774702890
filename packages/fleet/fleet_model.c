#include <xxhash.h>

#include "fleet_int.h"

/*
 * Time constants of the moving averages of the demand: the short one smooths
 * bursts of seconds, the long one serves the planner.
 */
#define SHORT_AVG_TAU (60 * BASE_SEC)
#define LONG_AVG_TAU (1800 * BASE_SEC)
#define DEMAND_WARM_UP (600 * BASE_SEC) /* demand is not used before this */

#define DAY (24 * 3600 * BASE_SEC)

static int free_fleet(fleet_t *fleet);
static void set_defaults(fleet_opts_t *opts);

static uint32_t rack_index(fleet_t *fleet, uint32_t zone, const char *name);
static double average_weight(int64_t gap, int64_t age, int64_t tau);

BASE_ERROR_DOMAIN(fleet)

fleet_t *fleet_new(const void *ctx, const fleet_opts_t *opts)
{
	fleet_t *fleet = talloc_zero(ctx, fleet_t);

	fleet_set_opts(fleet, opts);
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->rack_index = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->revs = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->insts = g_ptr_array_new();
	talloc_set_destructor(fleet, free_fleet);
	return fleet;
}

void fleet_set_opts(fleet_t *fleet, const fleet_opts_t *opts)
{
	fleet->opts = *opts;
	set_defaults(&fleet->opts);
}

void fleet_configure(fleet_t *fleet, const fleet_pool_t *pools, size_t n)
{
	for (size_t i = 0; i < fleet->n_pools; i++) {
		fleet_acct_t *acct = &fleet->pools[i];

		acct->conf = (fleet_pool_t){ .name = acct->name };
	}
	for (size_t i = 0; i < n; i++) {
		int32_t at = fleet_pool_index(fleet, pools[i].name, true);

		fleet->pools[at].conf = pools[i];
		fleet->pools[at].conf.name = fleet->pools[at].name;
	}
	fleet->planned_at = 0;
}

void fleet_set_fencing_token(fleet_t *fleet, uint64_t token)
{
	fleet->fence = token;
}

uint64_t fleet_max_fencing_token(const fleet_t *fleet)
{
	uint64_t seen = 0;

	for (size_t i = 0; i < fleet->n_pools; i++)
		seen = MAX(seen, fleet->pools[i].fence);
	return seen;
}

void fleet_observe(fleet_t *fleet, const fleet_obs_t *obs)
{
	fleet_inst_t *inst = fleet_inst_find(fleet, obs->id);

	if (inst && obs->inc < inst->inc)
		return;
	if (!inst || (inst->rec.state == FLEET_FREE && !inst->listed))
		inst = fleet_inst_add(fleet, obs->id, obs->zone, obs->rack);
	if (obs->inc > inst->inc) {
		inst->inc = obs->inc;
		inst->alive_at = 0;
	}
	inst->listed = true;
	inst->leaving = obs->leaving;
	inst->alive_at = MAX(inst->alive_at, obs->alive_at);
	/* A record loaded before the list does not name the rack. */
	if (strcmp(fleet->zones[inst->zone], obs->zone) == 0)
		inst->rack = rack_index(fleet, inst->zone, obs->rack);
}

void fleet_unlist_instance(fleet_t *fleet, const char *id)
{
	fleet_inst_t *inst = fleet_inst_find(fleet, id);

	if (inst)
		inst->listed = false;
}

bool fleet_track_entry(fleet_t *fleet, const char *id, uint64_t inc, bool gone)
{
	fleet_entry_slot_t *free_slot = NULL, *slot = NULL;

	for (size_t i = 0; i < FLEET_ENTRIES_MAX; i++) {
		fleet_entry_slot_t *at = &fleet->entries[i];

		if (!at->used)
			free_slot = free_slot ? free_slot : at;
		else if (at->inc == inc && !strcmp(at->id, id))
			slot = at;
	}
	if (gone && slot) {
		slot->used = false;
		fleet->entries_full = false;
	}
	if (gone || slot)
		return true;
	if (!free_slot) {
		fleet->entries_full = true;
		return false;
	}
	talloc_free(free_slot->id);
	*free_slot =
		(fleet_entry_slot_t){ talloc_strdup(fleet, id), inc, true };
	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		inst->confirmed_mask &= ~(1ULL << (free_slot - fleet->entries));
	}
	return true;
}

void fleet_confirm(fleet_t *fleet, const char *entry, uint64_t entry_inc,
		   const char *instance, uint64_t seq)
{
	fleet_inst_t *inst = fleet_inst_find(fleet, instance);

	if (!inst || seq < inst->confirmed_seq)
		return;
	if (seq > inst->confirmed_seq) {
		inst->confirmed_seq = seq;
		inst->confirmed_mask = 0;
	}
	for (size_t i = 0; i < FLEET_ENTRIES_MAX; i++) {
		fleet_entry_slot_t *at = &fleet->entries[i];

		if (at->used && at->inc == entry_inc && !strcmp(at->id, entry))
			inst->confirmed_mask |= 1ULL << i;
	}
}

void fleet_set_idle(fleet_t *fleet, bool may_run, const fleet_idle_t *idle,
		    size_t n)
{
	fleet->tasks_may_run = may_run;
	for (guint i = 0; i < fleet->insts->len; i++)
		((fleet_inst_t *)g_ptr_array_index(fleet->insts, i))->idle_seq =
			0;
	for (size_t i = 0; i < n; i++) {
		fleet_inst_t *inst = fleet_inst_find(fleet, idle[i].id);

		if (inst)
			inst->idle_seq = idle[i].seq;
	}
}

void fleet_add_demand(fleet_t *fleet, const char *pool, double slots,
		      int64_t now)
{
	int32_t at = fleet_pool_index(fleet, pool, false);
	fleet_acct_t *acct;
	int64_t gap, age;
	double off;

	if (at < 0)
		return;
	acct = &fleet->pools[at];
	if (!acct->demand_at)
		acct->demand_at = acct->demand_since = now;
	gap = now - acct->demand_at;
	age = now - acct->demand_since;
	acct->demand_at = now;
	acct->short_avg += (slots - acct->short_avg) *
			   average_weight(gap, age, SHORT_AVG_TAU);
	off = acct->short_avg - acct->long_avg;
	acct->long_avg += off * average_weight(gap, age, LONG_AVG_TAU);
	off = acct->short_avg - acct->long_avg;
	acct->variance += (off * off - acct->variance) *
			  average_weight(gap, age, LONG_AVG_TAU);
}

bool fleet_demand_known(const fleet_acct_t *acct, int64_t now)
{
	return acct->demand_since && now - acct->demand_since >= DEMAND_WARM_UP;
}

uint64_t fleet_version(const fleet_t *fleet)
{
	return fleet->version;
}

size_t fleet_n_pools(const fleet_t *fleet)
{
	return fleet->n_pools;
}

bool fleet_pool_view(const fleet_t *fleet, size_t i, fleet_pool_view_t *view)
{
	const fleet_acct_t *acct = &fleet->pools[i];

	if (i >= fleet->n_pools)
		return false;
	*view = (fleet_pool_view_t){
		.name = acct->name,
		.members = acct->current_members + acct->failed,
		.up = acct->up.up,
		.failed = acct->failed,
		.out = acct->out,
		.min_up = acct->conf.min_up,
		.target = acct->target,
		.worst_rack = acct->up.worst_rack,
		.worst_zone = acct->up.worst_zone,
		.drainable = fleet_budget_headroom(&acct->conf, &acct->up),
	};
	return true;
}

size_t fleet_n_instances(const fleet_t *fleet)
{
	return fleet->insts->len;
}

void fleet_inst_view(const fleet_t *fleet, size_t i, fleet_inst_view_t *view)
{
	const fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);
	bool owned = inst->rec.state != FLEET_FREE;

	*view = (fleet_inst_view_t){
		.id = inst->id,
		.zone = fleet->zones[inst->zone],
		.rack = fleet->racks[inst->rack],
		.pool = owned ? fleet->pools[inst->rec.pool].name : NULL,
		.inc = inst->rec.inc,
		.seq = inst->rec.seq,
		.state = inst->rec.state,
		.purpose = inst->rec.purpose,
		.wait_reason = inst->wait_reason,
		.up = inst->up,
	};
}

const fleet_wave_t *fleet_wave(const fleet_t *fleet)
{
	return &fleet->wave;
}

int32_t fleet_pool_index(fleet_t *fleet, const char *name, bool add)
{
	fleet_acct_t *acct;

	for (size_t i = 0; i < fleet->n_pools; i++)
		if (!strcmp(fleet->pools[i].name, name))
			return (int32_t)i;
	if (!add)
		return FLEET_NO_POOL;
	fleet->pools = talloc_realloc(fleet, fleet->pools, fleet_acct_t,
				      fleet->n_pools + 1);
	acct = &fleet->pools[fleet->n_pools];
	*acct = (fleet_acct_t){ .name = talloc_strdup(fleet, name) };
	acct->key = talloc_asprintf(fleet, FLEET_BUDGET_PREFIX "%s", name);
	acct->conf.name = acct->name;
	return (int32_t)fleet->n_pools++;
}

fleet_inst_t *fleet_inst_find(const fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

/*
 * Adds an instance, or moves a known one to the zone and rack where its id is
 * seen now.
 */
fleet_inst_t *fleet_inst_add(fleet_t *fleet, const char *id, const char *zone,
			     const char *rack)
{
	fleet_inst_t *inst = fleet_inst_find(fleet, id);

	if (!inst) {
		inst = talloc_zero(fleet, fleet_inst_t);
		inst->id = talloc_strdup(inst, id);
		inst->rec.pool = FLEET_NO_POOL;
		g_ptr_array_add(fleet->insts, inst);
		g_hash_table_insert(fleet->by_id, inst->id, inst);
	} else {
		g_ptr_array_remove_fast(fleet->shards[inst->shard].insts, inst);
	}
	inst->zone = fleet_zone_index(fleet, zone);
	inst->rack = rack_index(fleet, inst->zone, rack);
	inst->shard = inst->zone * FLEET_SHARDS +
		      (uint32_t)(XXH64(id, strlen(id), 0) % FLEET_SHARDS);
	g_ptr_array_add(fleet->shards[inst->shard].insts, inst);
	return inst;
}

static int free_fleet(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->n_zones * FLEET_SHARDS; i++)
		g_ptr_array_free(fleet->shards[i].insts, TRUE);
	g_ptr_array_free(fleet->insts, TRUE);
	g_hash_table_destroy(fleet->by_id);
	g_hash_table_destroy(fleet->rack_index);
	g_hash_table_destroy(fleet->revs);
	return 0;
}

static void set_defaults(fleet_opts_t *opts)
{
	const struct {
		int64_t *field, value;
	} defaults[] = {
		{ &opts->alive_for, 10 * BASE_SEC },
		{ &opts->fail_after, 60 * BASE_SEC },
		{ &opts->boot_max, 900 * BASE_SEC },
		{ &opts->boot_retry, 60 * BASE_SEC },
		{ &opts->forget_after, DAY },
		{ &opts->deadline, 56 * DAY },
		{ &opts->wave_lead, 14 * DAY },
		{ &opts->failure_window, 3600 * BASE_SEC },
		{ &opts->plan_interval, 5 * BASE_SEC },
		{ &opts->move_delay, 60 * BASE_SEC },
	};

	for (size_t i = 0; i < ARRAY_SIZE(defaults); i++)
		if (!*defaults[i].field)
			*defaults[i].field = defaults[i].value;
}

uint32_t fleet_zone_index(fleet_t *fleet, const char *name)
{
	size_t n = fleet->n_zones;

	for (size_t i = 0; i < n; i++)
		if (!strcmp(fleet->zones[i], name))
			return (uint32_t)i;
	fleet->zones = talloc_realloc(fleet, fleet->zones, char *, n + 1);
	fleet->zones[n] = talloc_strdup(fleet, name);
	fleet->shards = talloc_realloc(fleet, fleet->shards, fleet_shard_t,
				       (n + 1) * FLEET_SHARDS);
	for (size_t i = 0; i < FLEET_SHARDS; i++)
		fleet->shards[n * FLEET_SHARDS + i] = (fleet_shard_t){
			.key = talloc_asprintf(
				fleet, FLEET_POOLS_PREFIX "%s/%zu", name, i),
			.insts = g_ptr_array_new(),
		};
	return (uint32_t)fleet->n_zones++;
}

/* Rack names are unique within a zone only. */
static uint32_t rack_index(fleet_t *fleet, uint32_t zone, const char *name)
{
	char *key = talloc_asprintf(fleet, "%u/%s", zone, name);
	gpointer found;
	size_t n = fleet->n_racks;

	if (g_hash_table_lookup_extended(fleet->rack_index, key, NULL,
					 &found)) {
		talloc_free(key);
		return GPOINTER_TO_UINT(found);
	}
	fleet->racks = talloc_realloc(fleet, fleet->racks, char *, n + 1);
	fleet->rack_zone =
		talloc_realloc(fleet, fleet->rack_zone, uint32_t, n + 1);
	fleet->racks[n] = talloc_strdup(fleet, name);
	fleet->rack_zone[n] = zone;
	g_hash_table_insert(fleet->rack_index, key, GUINT_TO_POINTER(n));
	return (uint32_t)fleet->n_racks++;
}

/*
 * Returns the weight of a new sample: that of a plain mean until "tau" has
 * passed, then that of an exponential moving average.
 */
static double average_weight(int64_t gap, int64_t age, int64_t tau)
{
	if (gap <= 0)
		return 0.0;
	return (double)gap / (double)(gap + MIN(tau, age - gap));
}
