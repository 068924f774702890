#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

static void load_demand(const void *ctx, json_t *demand, site_entry_t *entry);

char *site_entry_print(const void *ctx, const site_entry_t *entry)
{
	json_t *confirmed = json_object(), *demand = json_object();
	json_t *root;
	char *text, *copy;

	for (size_t i = 0; i < entry->n; i++)
		json_object_set_new(
			confirmed, entry->confirmed_ids[i],
			json_integer((json_int_t)entry->confirmed_seqs[i]));
	for (size_t i = 0; i < entry->n_pools; i++)
		json_object_set_new(demand, entry->pools[i],
				    json_real(entry->demand[i]));
	root = json_pack(
		"{s:I,s:s,s:i,s:b,s:o,s:o}", "incarnation",
		(json_int_t)entry->inc, "address", entry->operator_address.host,
		"port", entry->operator_address.port, "gone",
		entry->has_shut_down, "confirmed", confirmed, "demand", demand);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	copy = talloc_strdup(ctx, text);
	free(text);
	json_decref(root);
	return copy;
}

bool site_entry_load(const void *ctx, const char *name, base_str_t value,
		     site_entry_t *entry)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	json_t *confirmed, *demand, *item;
	const char *address, *id;
	json_int_t inc;
	int port, gone;
	size_t n = 0;

	if (json_unpack(root, "{s:I,s:s,s:i,s:b,s:o,s:o}", "incarnation", &inc,
			"address", &address, "port", &port, "gone", &gone,
			"confirmed", &confirmed, "demand", &demand)) {
		json_decref(root);
		return false;
	}
	*entry = (site_entry_t){
		.name = talloc_strdup(ctx, name),
		.inc = (uint64_t)inc,
		.operator_address = { .host = talloc_strdup(ctx, address),
				      .port = port },
		.has_shut_down = gone,
		.n = json_object_size(confirmed),
	};
	entry->confirmed_ids = talloc_zero_array(ctx, const char *, entry->n);
	entry->confirmed_seqs = talloc_zero_array(ctx, uint64_t, entry->n);
	json_object_foreach(confirmed, id, item)
	{
		entry->confirmed_ids[n] = talloc_strdup(ctx, id);
		entry->confirmed_seqs[n++] = (uint64_t)json_integer_value(item);
	}
	load_demand(ctx, demand, entry);
	json_decref(root);
	return true;
}

void site_apply_confirmations(fleet_t *fleet, const site_entry_t *entry)
{
	for (size_t i = 0; i < entry->n; i++)
		fleet_confirm(fleet, entry->name, entry->inc,
			      entry->confirmed_ids[i],
			      entry->confirmed_seqs[i]);
}

static void load_demand(const void *ctx, json_t *demand, site_entry_t *entry)
{
	const char *pool;
	json_t *item;

	entry->pools =
		talloc_zero_array(ctx, const char *, json_object_size(demand));
	entry->demand =
		talloc_zero_array(ctx, double, json_object_size(demand));
	json_object_foreach(demand, pool, item)
	{
		entry->pools[entry->n_pools] = talloc_strdup(ctx, pool);
		entry->demand[entry->n_pools++] = json_number_value(item);
	}
}
