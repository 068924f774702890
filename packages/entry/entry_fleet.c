#include "entry_fleet.h"

/*
 * The fleet's records at this entry: it routes by them, confirms drained
 * instances, and runs the fleet duty while it holds that.
 */

#define TICK_PERIOD_US (500 * BASE_MS)
/* slightly less than two ticks, so that every second tick runs a step */
#define STEP_PERIOD_US (900 * BASE_MS)
#define LEASE_S 3

static bool fleet_start(void *service, kern_t *kern, GError **err);
static void fleet_stop(void *service);
static void tick(void *arg, int64_t now);
static bool update_config(entry_fleet_t *fleet);
static void apply_records(entry_fleet_t *fleet);
static void write_confirmation(entry_fleet_t *fleet, const void *ctx,
			       bool gone);
static bool is_idle_here(const entry_fleet_t *fleet,
			 const fleet_inst_view_t *instance);
static bool write_own(entry_fleet_t *fleet, const char *text);
static void read_own(entry_fleet_t *fleet);
static void run_duty(entry_fleet_t *fleet, const void *ctx, int64_t now);

const kern_service_ops_t entry_fleet_ops = { fleet_start, fleet_stop };

static bool fleet_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	entry_fleet_t *fleet = talloc_zero(NULL, entry_fleet_t);
	kern_thread_options_t options = { .name = "fleet",
					  .period_us = TICK_PERIOD_US,
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
	fleet->thread = kern_thread_start(fleet, &options, err);
	return fleet->thread != NULL;
}

/*
 * Called after the callers' port has stopped, so this process has no requests
 * in flight.
 */
static void fleet_stop(void *service)
{
	entry_daemon_t *daemon = service;
	entry_fleet_t *fleet = daemon->fleet;

	kern_thread_stop(fleet->thread);
	plat_duty_release(fleet->duty);
	if (fleet->written_record)
		write_confirmation(fleet, fleet, true);
	talloc_free(fleet);
	daemon->fleet = NULL;
}

static void tick(void *arg, int64_t now)
{
	entry_fleet_t *fleet = arg;
	void *ctx;

	if (!update_config(fleet))
		return;
	ctx = talloc_new(NULL);
	entry_demand_sample(fleet->demand, fleet->daemon->route, now);
	/*
	 * While this entry has no record in the store, no drain waits for its
	 * confirmations.
	 */
	if (!fleet->written_record)
		write_confirmation(fleet, ctx, false);
	if (fleet->written_record && site_read_pools(fleet->reader, NULL)) {
		apply_records(fleet);
		write_confirmation(fleet, ctx, false);
	}
	run_duty(fleet, ctx, now);
	talloc_free(ctx);
}

/* Bring the core to the configuration in force; false if there is none. */
static bool update_config(entry_fleet_t *fleet)
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

/* Pass the ownership records to the router, which has no other source. */
static void apply_records(entry_fleet_t *fleet)
{
	size_t n = fleet_n_instances(fleet->core);
	entry_owner_t *owners;

	if (fleet_version(fleet->core) == fleet->applied_version)
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
	entry_views_set_owners(fleet->daemon->views, owners, n);
	entry_route_apply(fleet->daemon->route);
	talloc_free(owners);
	fleet->applied_version = fleet_version(fleet->core);
}

/*
 * Write which cordoned instances have no request of this entry in flight.
 * Called after apply_records(), so that no new request is sent to them either.
 */
static void write_confirmation(entry_fleet_t *fleet, const void *ctx, bool gone)
{
	size_t n = fleet_n_instances(fleet->core);
	site_entry_t own = {
		.inc = fleet->inc,
		.operator_address = { .host = fleet->daemon->settings->operators
						      .address,
				      .port = fleet->daemon->settings->operators
						      .port },
		.has_shut_down = gone,
		.confirmed_ids = talloc_zero_array(ctx, const char *, n),
		.confirmed_seqs = talloc_zero_array(ctx, uint64_t, n),
	};
	char *text;

	entry_demand_report(fleet->demand, &own);
	for (size_t i = 0; fleet->written_record && i < n; i++) {
		fleet_inst_view_t view;

		fleet_inst_view(fleet->core, i, &view);
		if (view.state != FLEET_CORDONED || !is_idle_here(fleet, &view))
			continue;
		own.confirmed_ids[own.n] = view.id;
		own.confirmed_seqs[own.n++] = view.seq;
	}
	text = site_entry_print(ctx, &own);
	if (fleet->written_record && !strcmp(text, fleet->written_record))
		return;
	if (!write_own(fleet, text))
		return;
	talloc_free(fleet->written_record);
	fleet->written_record = talloc_strdup(fleet, text);
}

static bool is_idle_here(const entry_fleet_t *fleet,
			 const fleet_inst_view_t *instance)
{
	char inc[24];

	g_snprintf(inc, sizeof(inc), "%" G_GUINT64_FORMAT, instance->inc);
	return !entry_route_running_count(
		fleet->daemon->route, base_str(instance->id), base_str(inc));
}

static bool write_own(entry_fleet_t *fleet, const char *text)
{
	plat_put_t put = { .key = fleet->key,
			   .value = base_str(text),
			   .expected = fleet->rev };
	plat_cas_t done =
		plat_cas_confirmed(fleet->store, &put, &fleet->rev, NULL);

	if (done == PLAT_CAS_CONFLICT)
		read_own(fleet);
	return done == PLAT_CAS_DONE;
}

/*
 * Reads the revision of this entry's record, which an earlier incarnation may
 * have written, or a write whose response was lost.
 */
static void read_own(entry_fleet_t *fleet)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs;

	if (fleet->store->ops->range(fleet->store, ctx, fleet->key, false, &kvs,
				     NULL))
		fleet->rev = kvs.count ? kvs.items[0].mod_revision : 0;
	talloc_free(ctx);
}

static void run_duty(entry_fleet_t *fleet, const void *ctx, int64_t now)
{
	const base_log_t *log = fleet->daemon->log;
	bool held;

	if (atomic_load(&fleet->daemon->draining)) {
		if (fleet->duty_held)
			plat_duty_release(fleet->duty);
		fleet->duty_held = false;
		return;
	}
	held = plat_duty_tick(fleet->duty, now);
	if (held != fleet->duty_held)
		base_log(log, held ? BASE_MSG_DUTY_TAKEN : BASE_MSG_DUTY_LOST,
			 BASE_F_STR("duty", "fleet"));
	fleet->duty_held = held;
	if (!held || now - fleet->stepped_at < STEP_PERIOD_US)
		return;
	fleet->stepped_at = now;
	entry_duty_step(fleet, ctx);
}
