#include "entry_fleet.h"

/*
 * The fleet's records as this entry sees them: what it routes to, what it
 * confirms, and its turn at the duty.
 */

#define PERIOD_US (500 * BASE_MS)
#define STEP_US (900 * BASE_MS) /* every second tick */
#define LEASE_S 3

static bool fleet_start(void *service, kern_t *kern, GError **err);
static void fleet_stop(void *service);
static void tick(void *arg, int64_t now);
static bool take_conf(entry_fleet_t *fleet);
static void apply(entry_fleet_t *fleet);
static void confirm(entry_fleet_t *fleet, const void *ctx, bool gone);
static bool idle_here(const entry_fleet_t *fleet,
		      const fleet_inst_view_t *instance);
static bool write_own(entry_fleet_t *fleet, const char *text);
static void read_own(entry_fleet_t *fleet);
static void take_turn(entry_fleet_t *fleet, const void *ctx, int64_t now);

const kern_service_ops_t entry_fleet_ops = { fleet_start, fleet_stop };

static bool fleet_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	entry_fleet_t *fleet = talloc_zero(NULL, entry_fleet_t);
	kern_duty_options_t options = { .name = "fleet",
					.period_us = PERIOD_US,
					.ring_size = 8,
					.arg = fleet,
					.tick = tick };
	plat_duty_options_t duty = { .name = "fleet", .ttl_s = LEASE_S };

	(void)kern;
	fleet->daemon = daemon;
	fleet->demand = entry_demand_new(fleet);
	fleet->store = plat_guard_store(daemon->guard, PLAT_FOR_FLEET);
	fleet->action = plat_redfish_new(fleet, &daemon->settings->actions);
	fleet->key = talloc_asprintf(fleet, SITE_ENTRIES_PREFIX "%s",
				     daemon->settings->name);
	fleet->inc = site_incarnation(daemon->incarnation);
	duty.store = plat_guard_store(daemon->guard, PLAT_FOR_DUTY);
	duty.holder = talloc_asprintf(fleet, "%s/%s", daemon->settings->name,
				      daemon->incarnation);
	fleet->duty = plat_duty_new(fleet, &duty);
	daemon->fleet = fleet;
	fleet->thread = kern_duty_start(fleet, &options, err);
	return fleet->thread != NULL;
}

/* After the drain: nothing of this process is in flight any more. */
static void fleet_stop(void *service)
{
	entry_daemon_t *daemon = service;
	entry_fleet_t *fleet = daemon->fleet;

	kern_duty_stop(fleet->thread);
	plat_duty_release(fleet->duty);
	if (fleet->written)
		confirm(fleet, fleet, true);
	talloc_free(fleet);
	daemon->fleet = NULL;
}

static void tick(void *arg, int64_t now)
{
	entry_fleet_t *fleet = arg;
	void *ctx;

	if (!take_conf(fleet))
		return;
	ctx = talloc_new(NULL);
	entry_demand_look(fleet->demand, fleet->daemon->route, now);
	/* Nothing is routed before this entry can be asked to confirm. */
	if (!fleet->written)
		confirm(fleet, ctx, false);
	if (fleet->written && site_read_pools(fleet->reader, NULL)) {
		apply(fleet);
		confirm(fleet, ctx, false);
	}
	take_turn(fleet, ctx, now);
	talloc_free(ctx);
}

/* A core for the configuration in force; false as long as there is none. */
static bool take_conf(entry_fleet_t *fleet)
{
	entry_view_t *view = entry_view_hold(fleet->daemon->views);
	bool has = view->record != NULL;

	if (has && !fleet->core) {
		fleet->core = site_fleet(fleet, view->record->config);
		fleet->reader =
			site_reader_new(fleet, fleet->core, fleet->store);
		fleet->generation = view->record->generation;
	}
	if (has && view->record->generation != fleet->generation) {
		site_configure(fleet->core, view->record->config);
		fleet->generation = view->record->generation;
	}
	entry_view_release(view);
	return has;
}

/* Route by what the records say, and by nothing else. */
static void apply(entry_fleet_t *fleet)
{
	size_t n = fleet_n_instances(fleet->core);
	entry_owner_t *owners;

	if (fleet_version(fleet->core) == fleet->applied)
		return;
	owners = talloc_zero_array(NULL, entry_owner_t, n);
	for (size_t i = 0; i < n; i++) {
		fleet_inst_view_t view;

		fleet_inst_view(fleet->core, i, &view);
		owners[i] = (entry_owner_t){
			.id = view.id,
			.inc = view.inc,
			.pool = view.pool,
			.serves = fleet_state_serves(view.state),
			.cordoned = view.state == FLEET_CORDONED,
			.seq = view.seq
		};
	}
	entry_views_take_owners(fleet->daemon->views, owners, n);
	entry_route_apply(fleet->daemon->route);
	talloc_free(owners);
	fleet->applied = fleet_version(fleet->core);
}

/*
 * Say of each cordoned instance that nothing is in flight.  Called after
 * apply(), so that nothing begins any more, either.
 */
static void confirm(entry_fleet_t *fleet, const void *ctx, bool gone)
{
	size_t n = fleet_n_instances(fleet->core);
	site_entry_t own = {
		.inc = fleet->inc,
		.operators = { fleet->daemon->settings->operators.address,
			       fleet->daemon->settings->operators.port },
		.gone = gone,
		.ids = talloc_zero_array(ctx, const char *, n),
		.seqs = talloc_zero_array(ctx, uint64_t, n),
	};
	char *text;

	entry_demand_tell(fleet->demand, &own);
	for (size_t i = 0; fleet->written && i < n; i++) {
		fleet_inst_view_t view;

		fleet_inst_view(fleet->core, i, &view);
		if (view.state != FLEET_CORDONED || !idle_here(fleet, &view))
			continue;
		own.ids[own.n] = view.id;
		own.seqs[own.n++] = view.seq;
	}
	text = site_entry_print(ctx, &own);
	if (fleet->written && !strcmp(text, fleet->written))
		return;
	if (!write_own(fleet, text))
		return;
	talloc_free(fleet->written);
	fleet->written = talloc_strdup(fleet, text);
}

static bool idle_here(const entry_fleet_t *fleet,
		      const fleet_inst_view_t *instance)
{
	char inc[24];

	g_snprintf(inc, sizeof(inc), "%" G_GUINT64_FORMAT, instance->inc);
	return !entry_route_running(fleet->daemon->route,
				    base_str(instance->id), base_str(inc));
}

static bool write_own(entry_fleet_t *fleet, const char *text)
{
	plat_put_t put = { .key = fleet->key,
			   .value = base_str(text),
			   .expected = fleet->rev };
	plat_cas_t done = plat_cas_sure(fleet->store, &put, &fleet->rev, NULL);

	if (done == PLAT_CAS_CONFLICT)
		read_own(fleet);
	return done == PLAT_CAS_DONE;
}

/* An earlier life's record, or a write whose answer was lost. */
static void read_own(entry_fleet_t *fleet)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs;

	if (fleet->store->ops->range(fleet->store, ctx, fleet->key, false, &kvs,
				     NULL))
		fleet->rev = kvs.count ? kvs.items[0].mod_revision : 0;
	talloc_free(ctx);
}

static void take_turn(entry_fleet_t *fleet, const void *ctx, int64_t now)
{
	const base_log_t *log = fleet->daemon->log;
	bool held;

	if (atomic_load(&fleet->daemon->draining)) {
		if (fleet->held)
			plat_duty_release(fleet->duty);
		fleet->held = false;
		return;
	}
	held = plat_duty_tick(fleet->duty, now);
	if (held != fleet->held)
		base_log(log, held ? BASE_MSG_DUTY_TAKEN : BASE_MSG_DUTY_LOST,
			 BASE_F_STR("duty", "fleet"));
	fleet->held = held;
	if (!held || now - fleet->stepped_at < STEP_US)
		return;
	fleet->stepped_at = now;
	entry_duty_step(fleet, ctx);
}
