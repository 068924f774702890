#include <glib.h>
#include <string.h>

#include "node_config_check.h"

static const char *const level_names[NODE_FINDING_LEVEL_MAX] = {
	[NODE_FINDING_CHANGE] = "change",
	[NODE_FINDING_WARNING] = "warning",
	[NODE_FINDING_ERROR] = "error",
};

const char *node_finding_level_name(node_finding_level_t level)
{
	return level_names[level];
}

static void G_GNUC_PRINTF(5, 6)
	add(node_findings_t *findings, node_finding_level_t level,
	    const char *kind, base_str_t name, const char *format, ...)
{
	node_finding_t *finding;
	va_list args;

	findings->list = talloc_realloc(findings, findings->list,
					node_finding_t, findings->n + 1);
	finding = &findings->list[findings->n++];
	finding->level = level;
	finding->place = name.len ? talloc_asprintf(findings, "%s %.*s", kind,
						    BASE_STR_ARG(name))
				  : kind;
	va_start(args, format);
	finding->text = talloc_vasprintf(findings, format, args);
	va_end(args);
	findings->highest = MAX(findings->highest, level);
}

static const batch_pool_info_t *find_pool(const node_config_t *config,
					  base_str_t name)
{
	size_t i;

	for (i = 0; i < config->n_pools; i++)
		if (base_str_eq(config->pools[i].name, name))
			return &config->pools[i];
	return NULL;
}

static const node_route_t *find_route(const node_config_t *config,
				      base_str_t queue)
{
	size_t i;

	for (i = 0; i < config->n_routes; i++)
		if (base_str_eq(config->routes[i].queue.name, queue))
			return &config->routes[i];
	return NULL;
}

static const batch_workspace_info_t *find_workspace(const node_config_t *config,
						    base_str_t name)
{
	size_t i;

	for (i = 0; i < config->n_workspaces; i++)
		if (base_str_eq(config->workspaces[i].name, name))
			return &config->workspaces[i];
	return NULL;
}

/* Whether the first route takes all requests that the second one matches: of
 * equal prefixes the first counts. */
static bool hides(const node_route_t *first, const node_route_t *second)
{
	return base_str_eq(first->prefix, second->prefix) &&
	       (!first->host.len || base_str_eq(first->host, second->host));
}

static void check_route(node_findings_t *findings, const node_config_t *config,
			size_t at)
{
	const node_route_t *route = &config->routes[at];
	base_str_t name = route->queue.name;
	const batch_pool_info_t *pool = find_pool(config, route->queue.pool);
	size_t i;

	if (!pool)
		add(findings, NODE_FINDING_ERROR, "route", name,
		    "there is no pool \"%.*s\"",
		    BASE_STR_ARG(route->queue.pool));
	else if (pool->spare)
		add(findings, NODE_FINDING_ERROR, "route", name,
		    "the instances of its pool are switched off");
	for (i = 0; i < at; i++) {
		const node_route_t *other = &config->routes[i];

		if (base_str_eq(other->queue.name, name))
			add(findings, NODE_FINDING_ERROR, "route", name,
			    "another route has this name");
		else if (hides(other, route))
			add(findings, NODE_FINDING_ERROR, "route", name,
			    "never matches: route %.*s takes all its requests",
			    BASE_STR_ARG(other->queue.name));
	}
	if (config->has_workspaces && !config->n_keys && !route->is_public)
		add(findings, NODE_FINDING_ERROR, "route", name,
		    "needs a key, and there is none");
}

static void check_pool(node_findings_t *findings, const node_config_t *config,
		       size_t at)
{
	const batch_pool_info_t *pool = &config->pools[at];
	size_t i;

	for (i = 0; i < at; i++)
		if (base_str_eq(config->pools[i].name, pool->name))
			add(findings, NODE_FINDING_ERROR, "pool", pool->name,
			    "another pool has this name");
	for (i = 0; i < config->n_routes; i++)
		if (base_str_eq(config->routes[i].queue.pool, pool->name))
			return;
	if (!pool->spare)
		add(findings, NODE_FINDING_WARNING, "pool", pool->name,
		    "no route leads to it");
}

static size_t count_keys(const node_config_t *config, base_str_t workspace)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < config->n_keys; i++)
		n += base_str_eq(
			config->workspaces[config->keys[i].workspace].name,
			workspace);
	return n;
}

static void check_workspace(node_findings_t *findings,
			    const node_config_t *config, size_t at)
{
	const batch_workspace_info_t *workspace = &config->workspaces[at];
	size_t i;

	for (i = 0; i < at; i++)
		if (base_str_eq(config->workspaces[i].name, workspace->name))
			add(findings, NODE_FINDING_ERROR, "workspace",
			    workspace->name, "another one has this name");
	if (!count_keys(config, workspace->name))
		add(findings, NODE_FINDING_WARNING, "workspace",
		    workspace->name, "has no key: nobody can use it");
}

/* Index of the first of equal keys. */
static void check_keys(node_findings_t *findings, const node_config_t *config)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t i;

	for (i = 0; i < config->n_keys; i++) {
		const node_access_key_t *key = &config->keys[i];
		char *text = g_strndup(key->text.ptr, key->text.len);
		const node_access_key_t *first =
			g_hash_table_lookup(seen, text);

		if (!first) {
			g_hash_table_insert(seen, text, (gpointer)key);
			continue;
		}
		add(findings, NODE_FINDING_ERROR, "workspace",
		    config->workspaces[key->workspace].name,
		    "one of its keys is a key of workspace %.*s as well",
		    BASE_STR_ARG(config->workspaces[first->workspace].name));
		g_free(text);
	}
	g_hash_table_unref(seen);
}

static bool has_key(const node_config_t *config, const node_access_key_t *key,
		    base_str_t workspace)
{
	size_t i;

	for (i = 0; i < config->n_keys; i++)
		if (base_str_eq(config->keys[i].text, key->text) &&
		    base_str_eq(
			    config->workspaces[config->keys[i].workspace].name,
			    workspace))
			return true;
	return false;
}

/* Keys of the workspace in "config" that "other" does not have. */
static size_t count_missing_keys(const node_config_t *config,
				 const node_config_t *other,
				 base_str_t workspace)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < config->n_keys; i++) {
		const node_access_key_t *key = &config->keys[i];

		n += base_str_eq(config->workspaces[key->workspace].name,
				 workspace) &&
		     !has_key(other, key, workspace);
	}
	return n;
}

static void compare_route(node_findings_t *findings, const node_route_t *before,
			  const node_route_t *after)
{
	base_str_t name = after->queue.name;

	if (!base_str_eq(before->host, after->host) ||
	    !base_str_eq(before->prefix, after->prefix))
		add(findings, NODE_FINDING_CHANGE, "route", name,
		    "another host or prefix: requests by the former get 404");
	if (!base_str_eq(before->queue.pool, after->queue.pool))
		add(findings, NODE_FINDING_CHANGE, "route", name,
		    "tasks start in pool %.*s instead of %.*s; what runs goes on",
		    BASE_STR_ARG(after->queue.pool),
		    BASE_STR_ARG(before->queue.pool));
	if (before->is_public != after->is_public)
		add(findings, NODE_FINDING_CHANGE, "route", name,
		    after->is_public ? "needs no key any more"
				     : "requests without a key get 401");
	if (before->queue.attempts != after->queue.attempts)
		add(findings, NODE_FINDING_CHANGE, "route", name,
		    "a job fails after %d failed runs of a task instead of %d",
		    after->queue.attempts, before->queue.attempts);
	if (before->queue.stretch != after->queue.stretch ||
	    before->queue.target_latency != after->queue.target_latency)
		add(findings, NODE_FINDING_CHANGE, "route", name,
		    "another objective: the order of waiting jobs changes");
}

static void compare_routes(node_findings_t *findings,
			   const node_config_t *before,
			   const node_config_t *after)
{
	size_t i;

	for (i = 0; i < before->n_routes; i++)
		if (!find_route(after, before->routes[i].queue.name))
			add(findings, NODE_FINDING_CHANGE, "route",
			    before->routes[i].queue.name,
			    "removed: requests get 404, accepted jobs go on");
	for (i = 0; i < after->n_routes; i++) {
		const node_route_t *route =
			find_route(before, after->routes[i].queue.name);

		if (route)
			compare_route(findings, route, &after->routes[i]);
		else
			add(findings, NODE_FINDING_CHANGE, "route",
			    after->routes[i].queue.name, "added");
	}
}

static void compare_pools(node_findings_t *findings,
			  const node_config_t *before,
			  const node_config_t *after)
{
	size_t i;

	for (i = 0; i < before->n_pools; i++)
		if (!find_pool(after, before->pools[i].name))
			add(findings, NODE_FINDING_CHANGE, "pool",
			    before->pools[i].name,
			    "removed: no instance moves to it any more");
	for (i = 0; i < after->n_pools; i++)
		if (!find_pool(before, after->pools[i].name))
			add(findings, NODE_FINDING_CHANGE, "pool",
			    after->pools[i].name, "added");
}

static bool is_lower(int64_t before, int64_t after)
{
	return after && (!before || after < before);
}

static void compare_workspace(node_findings_t *findings,
			      const batch_workspace_info_t *before,
			      const batch_workspace_info_t *after)
{
	const batch_res_t *old = &before->limit;
	const batch_res_t *new = &after->limit;

	if (is_lower(old->cpu, new->cpu) ||
	    is_lower(old->memory, new->memory) || is_lower(old->gpu, new->gpu))
		add(findings, NODE_FINDING_CHANGE, "workspace", after->name,
		    "a lower limit: nothing is stopped, nothing starts until "
		    "what runs fits");
	else if (memcmp(old, new, sizeof(*old)))
		add(findings, NODE_FINDING_CHANGE, "workspace", after->name,
		    "a higher limit");
	if (before->weight != after->weight)
		add(findings, NODE_FINDING_CHANGE, "workspace", after->name,
		    "weight %g instead of %g", after->weight, before->weight);
}

static void compare_workspaces(node_findings_t *findings,
			       const node_config_t *before,
			       const node_config_t *after)
{
	size_t removed;
	size_t added;
	size_t i;

	if (before->has_workspaces != after->has_workspaces)
		add(findings, NODE_FINDING_CHANGE, "workspaces", BASE_STR(""),
		    after->has_workspaces
			    ? "requests on routes that are not public need a key"
			    : "requests need no key any more");
	for (i = 0; i < before->n_workspaces; i++)
		if (!find_workspace(after, before->workspaces[i].name))
			add(findings, NODE_FINDING_CHANGE, "workspace",
			    before->workspaces[i].name,
			    "removed: its keys get 401, its jobs go on under "
			    "its limit");
	for (i = 0; i < after->n_workspaces; i++) {
		base_str_t name = after->workspaces[i].name;
		const batch_workspace_info_t *former =
			find_workspace(before, name);

		if (!former) {
			add(findings, NODE_FINDING_CHANGE, "workspace", name,
			    "added");
			continue;
		}
		compare_workspace(findings, former, &after->workspaces[i]);
		removed = count_missing_keys(before, after, name);
		added = count_missing_keys(after, before, name);
		if (removed)
			add(findings, NODE_FINDING_CHANGE, "workspace", name,
			    "%zu of its keys get 401, its jobs go on", removed);
		if (added)
			add(findings, NODE_FINDING_CHANGE, "workspace", name,
			    "%zu keys added", added);
	}
}

node_findings_t *node_config_check(const void *ctx, const node_config_t *config,
				   const node_config_t *in_force)
{
	node_findings_t *findings = talloc_zero(ctx, node_findings_t);
	base_str_t none = BASE_STR("");
	size_t i;

	if (config->version <= 0)
		add(findings, NODE_FINDING_ERROR, "version", none,
		    "is missing or not positive");
	if (config->n_left_out)
		add(findings, NODE_FINDING_ERROR, "configuration", none,
		    "%zu routes, pools or workspaces lack a name or a prefix "
		    "and would be left out",
		    config->n_left_out);
	for (i = 0; i < config->n_routes; i++)
		check_route(findings, config, i);
	for (i = 0; i < config->n_pools; i++)
		check_pool(findings, config, i);
	for (i = 0; i < config->n_workspaces; i++)
		check_workspace(findings, config, i);
	check_keys(findings, config);
	if (!in_force)
		return findings;
	if (config->version <= in_force->version)
		add(findings, NODE_FINDING_ERROR, "version", none,
		    "%lld is not above that in force, %lld: it would be ignored",
		    (long long)config->version, (long long)in_force->version);
	compare_routes(findings, in_force, config);
	compare_pools(findings, in_force, config);
	compare_workspaces(findings, in_force, config);
	return findings;
}
