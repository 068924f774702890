#include "node_int.h"

BASE_ERROR_DOMAIN(node)

typedef struct text_field {
	const char *name;
	size_t offset;
	bool optional;
} text_field_t;

typedef struct time_field {
	const char *name;
	size_t offset;
	int64_t unit;	       /* microseconds per unit of the value */
	int64_t default_value; /* default, in units of "unit" */
} time_field_t;

static const text_field_t text_fields[] = {
	{ "name", offsetof(node_settings_t, name), false },
	{ "availability_zone", offsetof(node_settings_t, zone), false },
	{ "callers", offsetof(node_settings_t, callers), false },
	{ "ready", offsetof(node_settings_t, ready), false },
	{ "peers", offsetof(node_settings_t, peers), false },
	{ "store", offsetof(node_settings_t, store), false },
	{ "instances", offsetof(node_settings_t, instances), false },
	{ "peers_at", offsetof(node_settings_t, peers_at), true },
	{ "metrics", offsetof(node_settings_t, metrics), true },
	{ "advice", offsetof(node_settings_t, advice), true },
};

static const time_field_t time_fields[] = {
	{ "lease_max_ms", offsetof(node_settings_t, lease_max), BASE_MS,
	  10000 },
	{ "stop_timeout_ms", offsetof(node_settings_t, stop_timeout), BASE_MS,
	  200 },
	{ "drain_ms", offsetof(node_settings_t, drain_time), BASE_MS, 2000 },
	{ "grace_s", offsetof(node_settings_t, grace), BASE_SEC, 6 },
	{ "keep_s", offsetof(node_settings_t, keep), BASE_SEC, 120 },
	{ "revoke_bound_ms", offsetof(node_settings_t, revoke_bound), BASE_MS,
	  0 },
	{ "store_ttl_min_ms", offsetof(node_settings_t, store_ttl_min), BASE_MS,
	  1000 },
	{ "store_value_bytes", offsetof(node_settings_t, store_value_max), 1,
	  1048576 },
};

static void load_text(node_settings_t *settings, const json_t *root,
		      const text_field_t *field, base_buf_t *faults)
{
	const char *value =
		json_string_value(json_object_get(root, field->name));

	if (value && *value)
		*(const char **)((char *)settings + field->offset) =
			talloc_strdup(settings, value);
	else if (!field->optional)
		base_buf_addf(faults, "; \"%s\" is missing or not text",
			      field->name);
}

static void load_time(node_settings_t *settings, const json_t *root,
		      const time_field_t *field, base_buf_t *faults)
{
	const json_t *value = json_object_get(root, field->name);
	double time =
		value ? json_number_value(value) : (double)field->default_value;

	if (value && (!json_is_number(value) || time < 0 ||
		      (time == 0 && field->default_value)))
		base_buf_addf(faults, "; \"%s\" is not a positive %s",
			      field->name,
			      field->unit == BASE_SEC  ? "time in seconds"
			      : field->unit == BASE_MS ? "time in milliseconds"
						       : "number of bytes");
	*(int64_t *)((char *)settings + field->offset) =
		(int64_t)(time * (double)field->unit);
}

/* Only the ratio to the values of other entries matters, so a missing value is
 * taken as the usual one. */
static void load_processor(node_settings_t *settings, const json_t *root,
			   base_buf_t *faults)
{
	const json_t *value = json_object_get(root, "processor_cores");

	settings->usable_cores =
		value ? json_number_value(value) : NODE_DEFAULT_CORES;
	if (settings->usable_cores <= 0)
		base_buf_addf(faults,
			      "; \"%s\" is not a positive number of cores",
			      "processor_cores");
}

static void load_order_rate(node_settings_t *settings, const json_t *root,
			    base_buf_t *faults)
{
	const json_t *value = json_object_get(root, "instance_orders_per_s");

	settings->instance_orders_per_s =
		value ? json_number_value(value)
		      : NODE_DEFAULT_INSTANCE_ORDERS_PER_S;
	if (settings->instance_orders_per_s <= 0)
		base_buf_addf(faults, "; \"%s\" is not a positive rate",
			      "instance_orders_per_s");
}

static void load_remote_penalty(node_settings_t *settings, const json_t *root,
				base_buf_t *faults)
{
	const json_t *value = json_object_get(root, "remote_penalty");

	settings->remote_penalty =
		value ? json_number_value(value) : NODE_DEFAULT_REMOTE_PENALTY;
	if (settings->remote_penalty < 1)
		base_buf_addf(faults, "; \"%s\" is not a number of at least 1",
			      "remote_penalty");
}

static void load_seeds(node_settings_t *settings, const json_t *root)
{
	const json_t *list = json_object_get(root, "seeds");
	size_t i;

	settings->seeds = talloc_zero_array(settings, const char *,
					    json_array_size(list) + 1);
	for (i = 0; i < json_array_size(list); i++) {
		const char *seed = json_string_value(json_array_get(list, i));

		if (seed)
			settings->seeds[settings->n_seeds++] =
				talloc_strdup(settings, seed);
	}
}

node_settings_t *node_settings_load(const void *ctx, base_str_t text,
				    GError **err)
{
	node_settings_t *settings = talloc_zero(ctx, node_settings_t);
	base_buf_t *faults = base_buf_new(settings);
	json_error_t why;
	json_t *root =
		json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &why);
	size_t i;

	if (!root || !json_is_object(root)) {
		g_set_error(err, NODE_ERROR, NODE_ERR_SETTINGS,
			    "line %d, column %d: %s", root ? 1 : why.line,
			    root ? 1 : why.column,
			    root ? "not an object" : why.text);
		json_decref(root);
		talloc_free(settings);
		return NULL;
	}
	for (i = 0; i < ARRAY_SIZE(text_fields); i++)
		load_text(settings, root, &text_fields[i], faults);
	for (i = 0; i < ARRAY_SIZE(time_fields); i++)
		load_time(settings, root, &time_fields[i], faults);
	if (!settings->peers_at)
		settings->peers_at = settings->peers;
	load_processor(settings, root, faults);
	load_order_rate(settings, root, faults);
	load_remote_penalty(settings, root, faults);
	load_seeds(settings, root);
	json_decref(root);
	if (faults->len) {
		g_set_error(err, NODE_ERROR, NODE_ERR_SETTINGS, "%s",
			    faults->ptr + 2);
		talloc_free(settings);
		return NULL;
	}
	return settings;
}
