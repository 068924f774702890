/*
 * Guards against a configuration that is sent although a part of it can never
 * take effect, and against findings about one that is good.
 */
#include <string.h>

#include "node_config_check.h"

typedef struct fixture {
	node_config_t config;
	node_route_t routes[4];
	batch_pool_info_t pools[4];
	batch_workspace_info_t workspaces[4];
	node_access_key_t keys[4];
} fixture_t;

static node_route_t route(const char *name, const char *host,
			  const char *prefix, const char *pool)
{
	return (node_route_t){ .host = base_str(host),
			       .prefix = base_str(prefix),
			       .queue = { .name = base_str(name),
					  .pool = base_str(pool),
					  .attempts = 2,
					  .stretch = 2 } };
}

/* A good one: two routes, two pools and a spare one, two workspaces. */
static void init(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->routes[0] = route("a", "desk.example", "/a/", "desk");
	fixture->routes[1] = route("b", "desk.example", "/a/b/", "yard");
	fixture->pools[0].name = BASE_STR("desk");
	fixture->pools[1].name = BASE_STR("yard");
	fixture->pools[2].name = BASE_STR("spare");
	fixture->pools[2].spare = true;
	fixture->workspaces[0] = (batch_workspace_info_t){
		.name = BASE_STR("blue"), .weight = 1, .limit = { .cpu = 4000 }
	};
	fixture->workspaces[1] =
		(batch_workspace_info_t){ .name = BASE_STR("red"),
					  .weight = 2 };
	fixture->keys[0] = (node_access_key_t){ BASE_STR("secret-1"), 0 };
	fixture->keys[1] = (node_access_key_t){ BASE_STR("secret-2"), 1 };
	fixture->config = (node_config_t){ .version = 7,
					   .routes = fixture->routes,
					   .n_routes = 2,
					   .pools = fixture->pools,
					   .n_pools = 3,
					   .has_workspaces = true,
					   .workspaces = fixture->workspaces,
					   .n_workspaces = 2,
					   .keys = fixture->keys,
					   .n_keys = 2 };
}

/* Checks that there is exactly one finding, at that place and with that text.
 */
static void expect(const fixture_t *fixture, const fixture_t *in_force,
		   node_finding_level_t level, const char *place,
		   const char *text)
{
	node_findings_t *findings = node_config_check(
		NULL, &fixture->config, in_force ? &in_force->config : NULL);

	g_assert_cmpuint(findings->n, ==, 1);
	g_assert_cmpint(findings->highest, ==, level);
	g_assert_cmpint(findings->list[0].level, ==, level);
	g_assert_cmpstr(findings->list[0].place, ==, place);
	if (!strstr(findings->list[0].text, text))
		g_error("\"%s\" lacks \"%s\"", findings->list[0].text, text);
	g_assert_null(strstr(findings->list[0].text, "secret"));
	talloc_free(findings);
}

static void test_good(void)
{
	fixture_t fixture;
	fixture_t before;
	node_findings_t *findings;

	init(&fixture);
	init(&before);
	before.config.version = 6;
	findings = node_config_check(NULL, &fixture.config, &before.config);
	g_assert_cmpuint(findings->n, ==, 0);
	talloc_free(findings);
}

static void test_routes(void)
{
	fixture_t fixture;

	init(&fixture);
	fixture.routes[1].queue.pool = BASE_STR("none");
	fixture.config.n_pools = 1;
	expect(&fixture, NULL, NODE_FINDING_ERROR, "route b", "no pool");
	init(&fixture);
	fixture.routes[1].prefix = BASE_STR("/a/");
	expect(&fixture, NULL, NODE_FINDING_ERROR, "route b", "never matches");
	init(&fixture);
	fixture.routes[0].host = BASE_STR("");
	fixture.routes[1].prefix = BASE_STR("/a/");
	expect(&fixture, NULL, NODE_FINDING_ERROR, "route b", "never matches");
	init(&fixture);
	fixture.routes[1].queue.name = BASE_STR("a");
	expect(&fixture, NULL, NODE_FINDING_ERROR, "route a", "this name");
	init(&fixture);
	fixture.config.n_left_out = 1;
	expect(&fixture, NULL, NODE_FINDING_ERROR, "configuration", "left out");
	init(&fixture);
	fixture.config.n_routes = 1;
	expect(&fixture, NULL, NODE_FINDING_WARNING, "pool yard", "no route");
}

static void test_workspaces(void)
{
	fixture_t fixture;

	init(&fixture);
	fixture.config.n_keys = 1;
	expect(&fixture, NULL, NODE_FINDING_WARNING, "workspace red", "no key");
	init(&fixture);
	fixture.keys[2] = (node_access_key_t){ BASE_STR("secret-1"), 1 };
	fixture.config.n_keys = 3;
	expect(&fixture, NULL, NODE_FINDING_ERROR, "workspace red",
	       "workspace blue as well");
}

static void test_changes(void)
{
	fixture_t fixture;
	fixture_t before;

	init(&before);
	before.config.version = 6;
	init(&fixture);
	fixture.workspaces[0].limit.cpu = 2000;
	expect(&fixture, &before, NODE_FINDING_CHANGE, "workspace blue",
	       "lower limit");
	init(&fixture);
	fixture.keys[1].text = BASE_STR("secret-1b");
	fixture.keys[2] = (node_access_key_t){ BASE_STR("secret-2"), 1 };
	fixture.config.n_keys = 3;
	expect(&fixture, &before, NODE_FINDING_CHANGE, "workspace red",
	       "1 keys added");
	init(&fixture);
	fixture.routes[1].is_public = true;
	expect(&fixture, &before, NODE_FINDING_CHANGE, "route b",
	       "no key any more");
	init(&fixture);
	fixture.routes[2] = route("c", "x.example", "/c/", "desk");
	fixture.config.n_routes = 3;
	expect(&fixture, &before, NODE_FINDING_CHANGE, "route c", "added");
	init(&fixture);
	expect(&before, &fixture, NODE_FINDING_ERROR, "version", "not above");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-config-check/good", test_good);
	g_test_add_func("/node-config-check/routes", test_routes);
	g_test_add_func("/node-config-check/workspaces", test_workspaces);
	g_test_add_func("/node-config-check/changes", test_changes);
	return g_test_run();
}
