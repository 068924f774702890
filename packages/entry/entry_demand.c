#include <math.h>

#include "entry_fleet.h"

/*
 * Slots that are or want to be used, a mean over a period.  Told only once a
 * period, so that it costs the store one write in that time.
 */

#define TELL_US (30 * BASE_SEC)

typedef struct pool_demand {
	char *name;
	double sum; /* of this period's looks */
} pool_demand_t;

struct entry_demand {
	pool_demand_t *pools;
	size_t n;
	int looks;
	int64_t since;
	const char **names; /* as told */
	double *told;
	size_t n_told;
};

static void add_pool(void *arg, const route_pool_stats_t *stats);
static pool_demand_t *find(entry_demand_t *demand, const char *name);
static void tell_anew(entry_demand_t *demand);

entry_demand_t *entry_demand_new(const void *ctx)
{
	return talloc_zero(ctx, entry_demand_t);
}

void entry_demand_look(entry_demand_t *demand, entry_route_t *route,
		       int64_t now)
{
	if (!demand->since)
		demand->since = now;
	entry_route_each_pool(route, add_pool, demand);
	demand->looks++;
	if (now - demand->since < TELL_US)
		return;
	tell_anew(demand);
	demand->since = now;
	demand->looks = 0;
}

void entry_demand_tell(const entry_demand_t *demand, site_entry_t *own)
{
	own->pools = demand->names;
	own->demand = demand->told;
	own->n_pools = demand->n_told;
}

static void add_pool(void *arg, const route_pool_stats_t *stats)
{
	pool_demand_t *pool = find(arg, stats->name);

	pool->sum += stats->running + stats->queued;
}

static pool_demand_t *find(entry_demand_t *demand, const char *name)
{
	for (size_t i = 0; i < demand->n; i++)
		if (!strcmp(demand->pools[i].name, name))
			return &demand->pools[i];
	demand->pools = talloc_realloc(demand, demand->pools, pool_demand_t,
				       demand->n + 1);
	demand->pools[demand->n] =
		(pool_demand_t){ .name = talloc_strdup(demand, name) };
	return &demand->pools[demand->n++];
}

/* In whole slots: small changes are not worth a write. */
static void tell_anew(entry_demand_t *demand)
{
	demand->names =
		talloc_realloc(demand, demand->names, const char *, demand->n);
	demand->told = talloc_realloc(demand, demand->told, double, demand->n);
	demand->n_told = demand->n;
	for (size_t i = 0; i < demand->n; i++) {
		demand->names[i] = demand->pools[i].name;
		demand->told[i] = round(demand->pools[i].sum / demand->looks);
		demand->pools[i].sum = 0.0;
	}
}
