#include <math.h>

#include "entry_fleet.h"

/*
 * A pool's demand: slots in use or asked for, as a mean over a period.  It is
 * published once per period, which costs one write to the store.
 */

#define PUBLISH_PERIOD_US (30 * BASE_SEC)

typedef struct pool_demand {
	char *name;
	double sum; /* sum of this period's samples, in slots */
} pool_demand_t;

struct entry_demand {
	pool_demand_t *pools;
	size_t n;
	int samples; /* number of samples in this period */
	int64_t period_start;
	/* Pools of the last report; published_count elements. */
	const char **published_names;
	double *published;
	size_t published_count;
};

static void add_pool(void *arg, const route_pool_stats_t *stats);
static pool_demand_t *find_pool(entry_demand_t *demand, const char *name);
static void publish(entry_demand_t *demand);

entry_demand_t *entry_demand_new(const void *ctx)
{
	return talloc_zero(ctx, entry_demand_t);
}

void entry_demand_sample(entry_demand_t *demand, entry_route_t *route,
			 int64_t now)
{
	if (!demand->period_start)
		demand->period_start = now;
	entry_route_each_pool(route, add_pool, demand);
	demand->samples++;
	if (now - demand->period_start < PUBLISH_PERIOD_US)
		return;
	publish(demand);
	demand->period_start = now;
	demand->samples = 0;
}

void entry_demand_report(const entry_demand_t *demand, site_entry_t *own)
{
	own->pools = demand->published_names;
	own->demand = demand->published;
	own->n_pools = demand->published_count;
}

static void add_pool(void *arg, const route_pool_stats_t *stats)
{
	pool_demand_t *pool = find_pool(arg, stats->name);

	pool->sum += stats->running + stats->queued;
}

static pool_demand_t *find_pool(entry_demand_t *demand, const char *name)
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

/*
 * The means are rounded to whole slots, because smaller changes are not worth
 * a write to the store.
 */
static void publish(entry_demand_t *demand)
{
	demand->published_names = talloc_realloc(
		demand, demand->published_names, const char *, demand->n);
	demand->published =
		talloc_realloc(demand, demand->published, double, demand->n);
	demand->published_count = demand->n;
	for (size_t i = 0; i < demand->n; i++) {
		demand->published_names[i] = demand->pools[i].name;
		demand->published[i] =
			round(demand->pools[i].sum / demand->samples);
		demand->pools[i].sum = 0.0;
	}
}
