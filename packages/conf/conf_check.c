/* Checks between members: names, references, sizes and budgets. */
#include "conf_int.h"

typedef base_str_t (*name_fn_t)(const conf_t *conf, size_t i);

static base_str_t zone_name(const conf_t *conf, size_t i);
static base_str_t pool_name(const conf_t *conf, size_t i);
static base_str_t caller_name(const conf_t *conf, size_t i);
static base_str_t team_name(const conf_t *conf, size_t i);
static void check_names(const conf_reader_t *rd, const conf_t *conf,
			const char *list, size_t n, name_fn_t name);
static bool sizes_known(const conf_t *conf);
static void check_zones(const conf_reader_t *rd, const conf_t *conf);
static void check_classes(const conf_reader_t *rd, const conf_t *conf);
static void check_class(const conf_reader_t *rd, const conf_t *conf, size_t i);
static bool pool_exists(const conf_t *conf, base_str_t name);
static bool is_duplicate_class(const conf_t *conf, size_t i);
static void check_last_class(const conf_reader_t *rd, const conf_t *conf,
			     size_t p);
static void check_capacity(const conf_reader_t *rd, const conf_t *conf);
static void check_spare(const conf_reader_t *rd, const conf_t *conf);
static void check_budgets(const conf_reader_t *rd, const conf_t *conf);
static void check_budget(const conf_reader_t *rd, const conf_t *conf, size_t p,
			 const int64_t *zone_free);
static int64_t budget_shortfall(const conf_t *conf, const conf_pool_t *pool,
				const int64_t *zone_free, int64_t executors);
static int64_t min_executors_for_budget(const conf_t *conf,
					const conf_pool_t *pool,
					const int64_t *zone_free);
static char *quoted(const void *ctx, base_str_t s);
static int64_t total_workers(const conf_t *conf);
static int64_t total_executors(const conf_t *conf);

void conf_check(const conf_reader_t *rd, const conf_t *conf)
{
	size_t before;

	check_names(rd, conf, "zones", conf->n_zones, zone_name);
	check_names(rd, conf, "pools", conf->n_pools, pool_name);
	check_names(rd, conf, "callers", conf->n_callers, caller_name);
	check_names(rd, conf, "teams", conf->n_teams, team_name);
	check_classes(rd, conf);
	check_spare(rd, conf);
	/* Compare sizes only if each of them is valid by itself. */
	if (!sizes_known(conf))
		return;
	before = rd->faults->n;
	check_zones(rd, conf);
	check_capacity(rd, conf);
	if (rd->faults->n == before)
		check_budgets(rd, conf);
}

static void check_names(const conf_reader_t *rd, const conf_t *conf,
			const char *list, size_t n, name_fn_t name)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < n; i++) {
		base_str_t s = name(conf, i);
		char *path;

		if (!s.len || g_hash_table_add(seen, (void *)s.ptr))
			continue;
		path = talloc_asprintf(NULL, "$.%s[%zu].name", list, i);
		conf_fault_at(rd, path, quoted(path, s),
			      "a name that no other of the list has");
		talloc_free(path);
	}
	g_hash_table_destroy(seen);
}

/*
 * Whether the sizes of zones and racks are valid; rejected and missing values
 * are zero.
 */
static bool sizes_known(const conf_t *conf)
{
	for (size_t z = 0; z < conf->n_zones; z++)
		if (!conf->zones[z].racks || !conf->zones[z].workers)
			return false;
	return conf->n_zones && conf->workers.per_rack;
}

static void check_zones(const conf_reader_t *rd, const conf_t *conf)
{
	for (size_t z = 0; z < conf->n_zones; z++) {
		const conf_zone_t *zone = &conf->zones[z];
		int64_t capacity = zone->racks * conf->workers.per_rack;
		char *path, *found;

		if (zone->workers <= capacity)
			continue;
		path = talloc_asprintf(NULL, "$.zones[%zu].workers", z);
		found = talloc_asprintf(path, "%" PRId64, zone->workers);
		conf_fault_at(rd, path, found,
			      "at most %" PRId64 ", what %" PRId64
			      " racks of %" PRId64 " hold",
			      capacity, zone->racks, conf->workers.per_rack);
		talloc_free(path);
	}
}

static void check_classes(const conf_reader_t *rd, const conf_t *conf)
{
	for (size_t i = 0; i < conf->n_classes; i++)
		check_class(rd, conf, i);
	for (size_t p = 0; p < conf->n_pools; p++)
		check_last_class(rd, conf, p);
}

static void check_class(const conf_reader_t *rd, const conf_t *conf, size_t i)
{
	const conf_class_t *cl = &conf->classes[i];
	char *path = talloc_asprintf(NULL, "$.classes[%zu]", i);

	if (cl->pool.len && !pool_exists(conf, cl->pool))
		conf_fault_at(rd, talloc_asprintf(path, "%s.pool", path),
			      quoted(path, cl->pool), "the name of a pool");
	if (cl->pool.len && cl->name.len && is_duplicate_class(conf, i))
		conf_fault_at(rd, talloc_asprintf(path, "%s.name", path),
			      quoted(path, cl->name),
			      "a name that no other class of the pool has");
	talloc_free(path);
}

static bool pool_exists(const conf_t *conf, base_str_t name)
{
	for (size_t p = 0; p < conf->n_pools; p++)
		if (base_str_eq(conf->pools[p].name, name))
			return true;
	return false;
}

/* Whether an earlier class has the same pool and name as class "i". */
static bool is_duplicate_class(const conf_t *conf, size_t i)
{
	const conf_class_t *cl = &conf->classes[i];

	for (size_t j = 0; j < i; j++)
		if (base_str_eq(conf->classes[j].pool, cl->pool) &&
		    base_str_eq(conf->classes[j].name, cl->name))
			return true;
	return false;
}

/* A pool's last class must match all requests, so that each has a class. */
static void check_last_class(const conf_reader_t *rd, const conf_t *conf,
			     size_t p)
{
	const conf_pool_t *pool = &conf->pools[p];
	const conf_class_t *last = NULL;
	char *path;

	for (size_t i = 0; i < conf->n_classes; i++)
		if (base_str_eq(conf->classes[i].pool, pool->name))
			last = &conf->classes[i];
	if (!pool->name.len || (last && (!last->method.len || !last->path.len)))
		return;
	if (last && base_str_eq(last->method, BASE_STR("*")) &&
	    base_str_eq(last->path, BASE_STR("/")))
		return;
	path = last ? talloc_asprintf(NULL, "$.classes[%zu]",
				      (size_t)(last - conf->classes))
		    : talloc_asprintf(NULL, "$.pools[%zu].name", p);
	conf_fault_at(rd, path, quoted(path, last ? last->name : pool->name),
		      "%s %s with method \"*\" and path \"/\"",
		      last ? "as the last class of" : "a class for",
		      pool->name.ptr);
	talloc_free(path);
}

static void check_spare(const conf_reader_t *rd, const conf_t *conf)
{
	size_t spares = 0;

	for (size_t p = 0; p < conf->n_pools; p++) {
		char *path;

		if (!conf->pools[p].spare || ++spares < 2)
			continue;
		path = talloc_asprintf(NULL, "$.pools[%zu].spare", p);
		conf_fault_at(rd, path, "a second spare pool",
			      "at most one pool with spare true");
		talloc_free(path);
	}
}

static void check_capacity(const conf_reader_t *rd, const conf_t *conf)
{
	int64_t workers = total_workers(conf),
		executors = total_executors(conf);
	char *path, *found;
	bool has_oversized_pool = false;

	for (size_t p = 0; p < conf->n_pools; p++) {
		const conf_pool_t *pool = &conf->pools[p];

		if (pool->executors <= workers)
			continue;
		has_oversized_pool = true;
		path = talloc_asprintf(NULL, "$.pools[%zu].executors", p);
		found = talloc_asprintf(path, "%" PRId64, pool->executors);
		conf_fault_at(rd, path, found,
			      "at most %" PRId64 ", the workers of all zones",
			      workers);
		talloc_free(path);
	}
	if (has_oversized_pool || executors <= workers)
		return;
	found = talloc_asprintf(NULL, "%" PRId64 " executors in all pools",
				executors);
	conf_fault_at(rd, "$.pools", found,
		      "at most %" PRId64
		      ", the workers of all zones: take %" PRId64
		      " executors from the pools or add as many workers",
		      workers, executors - workers);
	talloc_free(found);
}

static void check_budgets(const conf_reader_t *rd, const conf_t *conf)
{
	int64_t *zone_free =
		talloc_array(NULL, int64_t, (unsigned)conf->n_zones);

	/* Each pool is checked against the workers left by earlier pools. */
	for (size_t z = 0; z < conf->n_zones; z++)
		zone_free[z] = conf->zones[z].workers;
	for (size_t p = 0; p < conf->n_pools; p++) {
		conf_placement_t *out = talloc_zero_array(
			zone_free, conf_placement_t, (unsigned)conf->n_zones);

		check_budget(rd, conf, p, zone_free);
		conf_spread(conf, conf->pools[p].executors, zone_free, out);
	}
	talloc_free(zone_free);
}

static void check_budget(const conf_reader_t *rd, const conf_t *conf, size_t p,
			 const int64_t *zone_free)
{
	const conf_pool_t *pool = &conf->pools[p];
	int64_t shortfall =
		budget_shortfall(conf, pool, zone_free, pool->executors);
	int64_t needed, free_workers;
	char *path, *grow_text;

	if (shortfall <= 0 || !pool->executors)
		return;
	path = talloc_asprintf(NULL, "$.pools[%zu].budget.min_up", p);
	needed = min_executors_for_budget(conf, pool, zone_free);
	free_workers = total_workers(conf) - total_executors(conf);
	if (needed && needed - pool->executors <= free_workers)
		grow_text = talloc_asprintf(path, "executors %" PRId64, needed);
	else if (needed)
		grow_text = talloc_asprintf(
			path,
			"executors %" PRId64 " and %" PRId64 " workers in all",
			needed,
			total_executors(conf) + needed - pool->executors);
	else
		grow_text = talloc_strdup(
			path, "more workers, in another zone or rack");
	if (pool->budget.min_up >= shortfall)
		conf_fault_at(
			rd, path,
			talloc_asprintf(path, "%" PRId64, pool->budget.min_up),
			"min_up at most %" PRId64 " of %" PRId64
			" executors, because losing one %s takes up to "
			"%" PRId64 " and maintenance %" PRId64
			"; smallest change: min_up %" PRId64 ", or %s",
			pool->budget.min_up - shortfall, pool->executors,
			conf_survive_names[pool->budget.survive],
			pool->executors - pool->budget.drain -
				pool->budget.min_up + shortfall,
			pool->budget.drain, pool->budget.min_up - shortfall,
			grow_text);
	else
		conf_fault_at(
			rd, path,
			talloc_asprintf(path, "%" PRId64, pool->budget.min_up),
			"a budget that %" PRId64
			" executors can meet: even min_up 0 leaves no "
			"room for the loss of one %s and maintenance of "
			"%" PRId64 "; smallest change: %s",
			pool->executors,
			conf_survive_names[pool->budget.survive],
			pool->budget.drain, grow_text);
	talloc_free(path);
}

/* Executors missing to meet the budget; zero or negative if it is met. */
static int64_t budget_shortfall(const conf_t *conf, const conf_pool_t *pool,
				const int64_t *zone_free, int64_t executors)
{
	conf_placement_t *out = talloc_zero_array(NULL, conf_placement_t,
						  (unsigned)conf->n_zones);
	int64_t *remaining = talloc_memdup(out, zone_free,
					   conf->n_zones * sizeof(*zone_free));
	int64_t unplaced = conf_spread(conf, executors, remaining, out);
	int64_t loss = conf_domain_loss(conf, out, pool->budget.survive);

	talloc_free(out);
	return pool->budget.min_up + loss + pool->budget.drain -
	       (executors - unplaced);
}

/*
 * Returns the fewest executors that meet the budget, or 0 if no number does.
 * Binary search works because one more executor raises the loss by at most
 * one, so the shortfall never increases with the number of executors.
 */
static int64_t min_executors_for_budget(const conf_t *conf,
					const conf_pool_t *pool,
					const int64_t *zone_free)
{
	int64_t low = pool->executors, high = 0;

	for (size_t z = 0; z < conf->n_zones; z++)
		high += zone_free[z];
	if (high <= low || budget_shortfall(conf, pool, zone_free, high) > 0)
		return 0;
	while (low + 1 < high) {
		int64_t mid = low + (high - low) / 2;

		if (budget_shortfall(conf, pool, zone_free, mid) > 0)
			low = mid;
		else
			high = mid;
	}
	return high;
}

static char *quoted(const void *ctx, base_str_t s)
{
	return talloc_asprintf(ctx, "\"%.*s\"", BASE_STR_ARG(s));
}

static int64_t total_workers(const conf_t *conf)
{
	int64_t sum = 0;

	for (size_t z = 0; z < conf->n_zones; z++)
		sum += conf->zones[z].workers;
	return sum;
}

static int64_t total_executors(const conf_t *conf)
{
	int64_t sum = 0;

	for (size_t p = 0; p < conf->n_pools; p++)
		sum += conf->pools[p].executors;
	return sum;
}

static base_str_t zone_name(const conf_t *conf, size_t i)
{
	return conf->zones[i].name;
}

static base_str_t pool_name(const conf_t *conf, size_t i)
{
	return conf->pools[i].name;
}

static base_str_t caller_name(const conf_t *conf, size_t i)
{
	return conf->callers[i].name;
}

static base_str_t team_name(const conf_t *conf, size_t i)
{
	return conf->teams[i].name;
}
