#include "flood_int.h"

/* The policy under test: the routing core, called as an entry calls it. */

static void core_setup(entry_t *entry);
static void core_submit(entry_t *entry, request_t *req);
static void core_done(entry_t *entry, request_t *req, route_result_t result);
static void core_tick(entry_t *entry);
static void core_end(entry_t *entry);
static void on_start(void *arg, route_request_t *req,
		     const route_endpoint_t *ep, int attempt);
static void on_end(void *arg, route_request_t *req, const route_end_t *end);
static void configure(entry_t *entry);
static void set_endpoints(entry_t *entry, int pool);

static const char *const zones[FLOOD_ZONES] = { "z0", "z1", "z2" };
static const char *const pools[FLOOD_POOLS] = { "p0", "p1", "p2", "p3", "p4" };
static const char *const classes[FLOOD_CLASSES] = { "c0", "c1", "c2", "c3",
						    "c4" };
static const char *const names[FLOOD_ENTRIES] = { "e0", "e1", "e2", "e3",
						  "e4", "e5", "e6", "e7" };

static const route_ops_t core_ops = { on_start, on_end };

const policy_ops_t flood_core_ops = { core_setup, core_submit, core_done,
				      core_tick, core_end };

static void core_setup(entry_t *entry)
{
	route_entry_t peers[FLOOD_ENTRIES];
	route_options_t opt = {
		.ops = &core_ops,
		.arg = entry,
		.entry = names[entry->index],
		.zone = zones[entry->zone],
		.seed = entry->sim->opt->seed + (uint64_t)entry->index,
		.held_max = ENTRY_THREADS - ENTRY_THREADS / 4,
		.bytes_max = 1 << 24,
		.cross_zone_us = 2 * (CROSS_ZONE_DELAY_US - ZONE_DELAY_US),
	};

	entry->core = route_new(NULL, &opt);
	configure(entry);
	for (int i = 0; i < FLOOD_ENTRIES; i++)
		peers[i] = (route_entry_t){ names[i], zones[i % FLOOD_ZONES] };
	route_set_entries(entry->core, peers, FLOOD_ENTRIES, 0);
	for (int p = 0; p < FLOOD_POOLS; p++)
		if (entry->sim->opt->executors[p])
			set_endpoints(entry, p);
}

static void configure(entry_t *entry)
{
	const flood_options_t *opt = entry->sim->opt;
	route_pool_conf_t pool_confs[FLOOD_POOLS];
	route_class_conf_t class_confs[FLOOD_CLASSES];
	route_conf_t conf = { .pools = pool_confs, .classes = class_confs };

	for (int p = 0; p < FLOOD_POOLS; p++)
		if (opt->executors[p])
			pool_confs[conf.n_pools++] = (route_pool_conf_t){
				.name = pools[p],
				.slots = DECLARED_SLOTS,
				.connections = FLOOD_CONNECTIONS,
				.entries_max = FLOOD_ENTRIES,
				.queue_max = QUEUE_MAX,
				.bytes_max = 1 << 22,
			};
	for (int c = 0; c < opt->n_classes; c++)
		class_confs[conf.n_classes++] = (route_class_conf_t){
			.name = classes[c],
			.pool = pools[opt->classes[c].pool],
			.urgency = opt->classes[c].urgency,
			.weight = opt->classes[c].weight,
			.repeatable = true,
			.deadline_us = DEADLINE_US,
		};
	route_configure(entry->core, &conf, 0);
}

static void set_endpoints(entry_t *entry, int pool)
{
	const sim_t *sim = entry->sim;
	route_endpoint_t list[64];
	size_t n = 0;

	for (int i = 0; i < sim->n_endpoints; i++)
		if (sim->endpoints[i].pool == pool)
			list[n++] = (route_endpoint_t){
				.instance = sim->endpoints[i].name,
				.incarnation = "1",
				.zone = zones[sim->endpoints[i].zone],
				.address = "",
				.port = i,
				.state = ROUTE_LIVE,
			};
	route_set_endpoints(entry->core, base_str(pools[pool]), 1, list, n, 0);
}

static void core_submit(entry_t *entry, request_t *req)
{
	const flood_class_t *cls = &entry->sim->opt->classes[req->cls];

	req->core.class_id =
		route_find_class(entry->core, base_str(pools[cls->pool]),
				 base_str(classes[req->cls]));
	req->core.repeatable = true;
	req->core.bytes = 1000;
	route_submit(entry->core, &req->core, entry->sim->now);
}

static void core_done(entry_t *entry, request_t *req, route_result_t result)
{
	route_done(entry->core, &req->core, result, entry->sim->now);
}

static void core_tick(entry_t *entry)
{
	route_tick(entry->core, entry->sim->now);
}

static void core_end(entry_t *entry)
{
	talloc_free(entry->core);
}

static void on_start(void *arg, route_request_t *req,
		     const route_endpoint_t *ep, int attempt)
{
	entry_t *entry = arg;

	(void)attempt;
	sim_send(entry, (request_t *)req, &entry->sim->endpoints[ep->port]);
}

static void on_end(void *arg, route_request_t *req, const route_end_t *end)
{
	sim_end_request(arg, (request_t *)req, end->outcome);
}
