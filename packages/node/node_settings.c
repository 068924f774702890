#include "node_int.h"

BASE_ERROR_DOMAIN(node)

/* Longest time and largest number that are taken for no mistake. */
#define NUMBER_MAX 1e12

typedef struct text_field {
	const char *name;
	size_t offset;
	bool required;
} text_field_t;

/* A number, stored as an int64_t if it has a unit, else as a double. */
typedef struct number_field {
	const char *name;
	size_t offset;
	int64_t unit; /* microseconds, or bytes, per unit of the value */
	double default_value; /* if it is missing or not usable */
	double least;	      /* smallest usable value */
	bool raised; /* a smaller one is taken as "least", not as the default */
} number_field_t;

/* Without one of the required ones an entry could serve nobody. */
static const text_field_t text_fields[] = {
	{ "name", offsetof(node_settings_t, name), false },
	{ "availability_zone", offsetof(node_settings_t, zone), false },
	{ "callers", offsetof(node_settings_t, callers), true },
	{ "ready", offsetof(node_settings_t, ready), true },
	{ "peers", offsetof(node_settings_t, peers), true },
	{ "store", offsetof(node_settings_t, store), true },
	{ "instances", offsetof(node_settings_t, instances), false },
	{ "peers_at", offsetof(node_settings_t, peers_at), false },
	{ "metrics", offsetof(node_settings_t, metrics), false },
	{ "advice", offsetof(node_settings_t, advice), false },
};

static const number_field_t number_fields[] = {
	{ "lease_max_ms", offsetof(node_settings_t, lease_max), BASE_MS, 10000,
	  1, false },
	{ "stop_timeout_ms", offsetof(node_settings_t, stop_timeout), BASE_MS,
	  200, 0, false },
	{ "drain_ms", offsetof(node_settings_t, drain_time), BASE_MS, 2000, 0,
	  false },
	{ "grace_s", offsetof(node_settings_t, grace), BASE_SEC, 6, 0, false },
	/* A request that comes again after its job has ended must find it. */
	{ "keep_s", offsetof(node_settings_t, keep), BASE_SEC, 120, 1, false },
	{ "revoke_bound_ms", offsetof(node_settings_t, revoke_bound), BASE_MS,
	  0, 0, false },
	{ "store_ttl_min_ms", offsetof(node_settings_t, store_ttl_min), BASE_MS,
	  1000, 0, false },
	{ "store_value_bytes", offsetof(node_settings_t, store_value_max), 1,
	  1048576, 1, false },
	/* Only the ratio to the values of other entries matters. */
	{ "processor_cores", offsetof(node_settings_t, usable_cores), 0,
	  NODE_DEFAULT_CORES, 0.001, false },
	{ "instance_orders_per_s",
	  offsetof(node_settings_t, instance_orders_per_s), 0,
	  NODE_DEFAULT_INSTANCE_ORDERS_PER_S, 0.001, false },
	/* No distance makes a task faster. */
	{ "remote_penalty", offsetof(node_settings_t, remote_penalty), 0,
	  NODE_DEFAULT_REMOTE_PENALTY, 1, true },
};

/* What a load works on. */
typedef struct load {
	node_settings_t *settings;
	const json_t *root;
	const node_settings_t *in_force; /* NULL: none are yet */
	base_buf_t *faults;
} load_t;

static void add_note(load_t *load, const char *name, const char *why,
		     const char *taken)
{
	node_settings_t *settings = load->settings;

	settings->notes =
		talloc_realloc(settings, settings->notes, node_settings_note_t,
			       settings->n_notes + 1);
	settings->notes[settings->n_notes++] = (node_settings_note_t){
		.name = name,
		.why = why,
		.taken = talloc_strdup(settings, taken),
	};
}

static void load_text(load_t *load, const text_field_t *field)
{
	const json_t *value = json_object_get(load->root, field->name);
	const char *text = json_string_value(value);

	if (text && *text)
		*(const char **)((char *)load->settings + field->offset) =
			talloc_strdup(load->settings, text);
	else if (field->required)
		base_buf_addf(load->faults, "; \"%s\" is missing or not text",
			      field->name);
	else if (value && !json_is_null(value) && !json_is_string(value))
		add_note(load, field->name, "not text", "none");
}

/* The value that replaces one that is not usable. */
static double replacement(const load_t *load, const number_field_t *field,
			  double number)
{
	const char *at = (const char *)load->in_force + field->offset;

	if (load->in_force)
		return field->unit ? (double)*(const int64_t *)at /
					     (double)field->unit
				   : *(const double *)at;
	return field->raised && number < field->least ? field->least
						      : field->default_value;
}

static void load_number(load_t *load, const number_field_t *field)
{
	const json_t *value = json_object_get(load->root, field->name);
	char *at = (char *)load->settings + field->offset;
	double number = json_number_value(value);
	char taken[G_ASCII_DTOSTR_BUF_SIZE];

	if (!value) {
		number = field->default_value;
	} else if (!json_is_number(value) || number < field->least ||
		   number > NUMBER_MAX) {
		bool is_number = json_is_number(value);

		number = replacement(load, field,
				     is_number ? number : field->least);
		add_note(load, field->name,
			 is_number ? "out of range" : "not a number",
			 g_ascii_dtostr(taken, sizeof(taken), number));
	}
	if (field->unit)
		*(int64_t *)at = (int64_t)(number * (double)field->unit);
	else
		*(double *)at = number;
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

/* Texts that are needed, but can be made up. */
static void complete_texts(load_t *load)
{
	node_settings_t *settings = load->settings;

	if (!settings->name) {
		settings->name = settings->peers;
		add_note(load, "name", "missing", settings->name);
	}
	if (!settings->zone) {
		settings->zone = "";
		add_note(load, "availability_zone", "missing", "none");
	}
	if (!settings->peers_at)
		settings->peers_at = settings->peers;
}

node_settings_t *node_settings_load(const void *ctx, base_str_t text,
				    const node_settings_t *in_force,
				    GError **err)
{
	node_settings_t *settings = talloc_zero(ctx, node_settings_t);
	load_t load = { .settings = settings,
			.in_force = in_force,
			.faults = base_buf_new(settings) };
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
	load.root = root;
	for (i = 0; i < ARRAY_SIZE(text_fields); i++)
		load_text(&load, &text_fields[i]);
	for (i = 0; i < ARRAY_SIZE(number_fields); i++)
		load_number(&load, &number_fields[i]);
	load_seeds(settings, root);
	json_decref(root);
	if (load.faults->len) {
		g_set_error(err, NODE_ERROR, NODE_ERR_SETTINGS, "%s",
			    load.faults->ptr + 2);
		talloc_free(settings);
		return NULL;
	}
	complete_texts(&load);
	return settings;
}
