#include "tool_fleet.h"

/*
 * Reads the fleet and decides as the holder of the lease does, without
 * executing the operations.
 */

static bool decide(tool_fleet_t *tool);
static const conf_t *read_conf(const tool_fleet_t *tool, GError **err);

bool tool_fleet_open(tool_fleet_t *tool, const char *store, const char *list)
{
	plat_address_t address;

	if (!tool_address(tool->ctx, store, &address, tool->err))
		return false;
	tool_progress_set_peer("the store");
	tool->store = plat_etcd_new(tool->ctx, &address);
	if (!list)
		return true;
	if (!tool_address(tool->ctx, list, &address, tool->err))
		return false;
	tool_progress_set_peer("the store or the list");
	tool->list = plat_slices_new(tool->ctx, &address);
	return true;
}

int tool_fleet_decide(tool_fleet_t *tool, const char *store, const char *list)
{
	if (!tool_fleet_open(tool, store, list))
		return TOOL_USAGE;
	return decide(tool) ? TOOL_OK : TOOL_UNREACHABLE;
}

static bool decide(tool_fleet_t *tool)
{
	const conf_t *conf;
	plat_instances_t instances;
	site_reader_t *reader = NULL;
	site_entries_t entries;
	GError *cause = NULL;

	tool->now = base_clock_wall();
	conf = read_conf(tool, &cause);
	if (conf) {
		tool->fleet = site_fleet(tool->ctx, conf);
		reader = site_reader_new(tool->ctx, tool->fleet, tool->store);
	}
	if (!conf || !site_read_records(reader, &cause) ||
	    !site_read_entries(reader, &entries, &cause) ||
	    !site_read_idle(reader, &cause) ||
	    !tool->list->ops->read(tool->list, tool->ctx, NULL, &instances,
				   &cause)) {
		fprintf(tool->err, "cannot read the fleet: %s\n",
			cause->message);
		g_clear_error(&cause);
		return false;
	}
	site_observe(tool->fleet, &instances, tool->now);
	for (size_t i = 0; i < entries.n; i++) {
		const site_entry_t *entry = &entries.items[i];

		fleet_track_entry(tool->fleet, entry->name, entry->inc,
				  entry->has_shut_down);
		site_apply_confirmations(tool->fleet, entry);
	}
	fleet_set_fencing_token(tool->fleet,
				fleet_max_fencing_token(tool->fleet));
	tool->ops = fleet_step(tool->fleet, tool->ctx, tool->now);
	return true;
}

int tool_fleet_edit(tool_fleet_t *tool, const char *key, tool_fleet_edit_t edit,
		    void *arg)
{
	plat_put_t put = { .key = key };
	GError *cause = NULL;
	int64_t revision = 0;
	plat_kvs_t kvs;
	base_str_t old = { "", 0 };
	char *value;
	plat_cas_t result;

	if (!tool->store->ops->range(tool->store, tool->ctx, key, false, &kvs,
				     &cause)) {
		fprintf(tool->err, "the store does not answer: %s\n",
			cause->message);
		g_clear_error(&cause);
		return TOOL_UNREACHABLE;
	}
	if (kvs.count) {
		old = kvs.items[0].value;
		put.expected = kvs.items[0].mod_revision;
	}
	value = edit(tool, old, arg);
	if (!value)
		return TOOL_REFUSED;
	put.value = base_str(value);
	result = plat_cas_confirmed(tool->store, &put, &revision, &cause);
	if (result == PLAT_CAS_DONE)
		return TOOL_OK;
	fprintf(tool->err, "%s\n",
		cause ? cause->message : "another change came first");
	g_clear_error(&cause);
	return result == PLAT_CAS_CONFLICT ? TOOL_CONFLICT : TOOL_IN_DOUBT;
}

static const conf_t *read_conf(const tool_fleet_t *tool, GError **err)
{
	const conf_record_t *record;
	plat_kvs_t kvs;

	if (!tool->store->ops->range(tool->store, tool->ctx, SITE_CONFIG_KEY,
				     false, &kvs, err))
		return NULL;
	if (!kvs.count) {
		g_set_error(err, FLEET_ERROR, FLEET_ERROR_KEY,
			    "no configuration was approved yet");
		return NULL;
	}
	record = conf_record_load(tool->ctx, kvs.items[0].value, err);
	return record ? record->config : NULL;
}
