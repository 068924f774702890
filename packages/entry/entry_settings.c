#include <arpa/inet.h>
#include <jansson.h>

#include "entry_int.h"

#define NAME_MAX_BYTES 40
#define KEY_MIN_BYTES 16
#define THREADS_MAX 4000
#define BALANCER_LAG_MAX_MS 60000
#define DRAIN_LIMIT_MAX_MS 600000

typedef enum field_kind {
	FIELD_NAME,
	FIELD_ADDRESS,
	FIELD_KEY,
	FIELD_NUMBER,
	FIELD_LEVEL,
	FIELD_SEEDS,
	FIELD_KIND_MAX
} field_kind_t;

typedef struct field {
	/* Section of the setting; NULL: top level. */
	const char *section;
	const char *key;
	field_kind_t kind;
	size_t offset;
	int min, max; /* FIELD_NUMBER only, inclusive */
	bool required;
	int fallback; /* default of a number or a level */
} field_t;

#define OFFSET(member) offsetof(entry_settings_t, member)
#define PORT_RANGE 1, 65535

static const field_t fields[] = {
	{ NULL, "name", FIELD_NAME, OFFSET(name), 0, 0, true, 0 },
	{ NULL, "zone", FIELD_NAME, OFFSET(zone), 0, 0, true, 0 },
	{ "caller", "address", FIELD_ADDRESS, OFFSET(caller.address), 0, 0,
	  true, 0 },
	{ "caller", "port", FIELD_NUMBER, OFFSET(caller.port), PORT_RANGE, true,
	  0 },
	{ "caller", "threads", FIELD_NUMBER, OFFSET(caller.threads), 1,
	  THREADS_MAX, false, 512 },
	{ "operators", "address", FIELD_ADDRESS, OFFSET(operators.address), 0,
	  0, true, 0 },
	{ "operators", "port", FIELD_NUMBER, OFFSET(operators.port), PORT_RANGE,
	  true, 0 },
	{ "operators", "threads", FIELD_NUMBER, OFFSET(operators.threads), 1,
	  THREADS_MAX, false, 8 },
	{ "operators", "key", FIELD_KEY, OFFSET(operators_key), 0, 0, true, 0 },
	{ "peer", "address", FIELD_ADDRESS, OFFSET(peer.address), 0, 0, true,
	  0 },
	{ "peer", "port", FIELD_NUMBER, OFFSET(peer.port), PORT_RANGE, true,
	  0 },
	{ "peer", "key", FIELD_KEY, OFFSET(peer_key), 0, 0, true, 0 },
	{ "peer", "seeds", FIELD_SEEDS, OFFSET(seeds), 0, 0, false, 0 },
	{ "peer", "test_cuts", FIELD_NUMBER, OFFSET(test_cuts), 0, 1, false,
	  0 },
	{ "store", "address", FIELD_ADDRESS, OFFSET(store.host), 0, 0, true,
	  0 },
	{ "store", "port", FIELD_NUMBER, OFFSET(store.port), PORT_RANGE, true,
	  0 },
	{ "list", "address", FIELD_ADDRESS, OFFSET(list.host), 0, 0, true, 0 },
	{ "list", "port", FIELD_NUMBER, OFFSET(list.port), PORT_RANGE, true,
	  0 },
	{ "actions", "address", FIELD_ADDRESS, OFFSET(actions.host), 0, 0,
	  false, 0 },
	{ "actions", "port", FIELD_NUMBER, OFFSET(actions.port), PORT_RANGE,
	  false, 0 },
	{ "tasks", "address", FIELD_ADDRESS, OFFSET(tasks.host), 0, 0, false,
	  0 },
	{ "tasks", "port", FIELD_NUMBER, OFFSET(tasks.port), PORT_RANGE, false,
	  0 },
	{ NULL, "balancer_lag_ms", FIELD_NUMBER, OFFSET(balancer_lag_ms), 0,
	  BALANCER_LAG_MAX_MS, false, 1000 },
	{ NULL, "drain_limit_ms", FIELD_NUMBER, OFFSET(drain_limit_ms), 0,
	  DRAIN_LIMIT_MAX_MS, false, 30000 },
	{ NULL, "log_level", FIELD_LEVEL, OFFSET(log_level), 0, 0, false,
	  BASE_INFO },
};

typedef struct reader {
	entry_settings_t *settings;
	base_buf_t *faults;
} reader_t;

static void read_field(reader_t *r, const json_t *root, const field_t *field);
static void read_name(reader_t *r, const field_t *field, const json_t *value);
static void read_address(reader_t *r, const field_t *field,
			 const json_t *value);
static void read_key(reader_t *r, const field_t *field, const json_t *value);
static void read_number(reader_t *r, const field_t *field, const json_t *value);
static void read_level(reader_t *r, const field_t *field, const json_t *value);
static void read_seeds(reader_t *r, const field_t *field, const json_t *value);
static void refuse_unknown(reader_t *r, const char *section,
			   const json_t *object);
static bool is_section(const char *key);
static bool is_known(const char *section, const char *key);
static void add_fault(reader_t *r, const field_t *field, const char *want);
static void default_address(plat_address_t *address,
			    const plat_address_t *list);

static void (*const field_readers[FIELD_KIND_MAX])(reader_t *, const field_t *,
						   const json_t *) = {
	[FIELD_NAME] = read_name,   [FIELD_ADDRESS] = read_address,
	[FIELD_KEY] = read_key,	    [FIELD_NUMBER] = read_number,
	[FIELD_LEVEL] = read_level, [FIELD_SEEDS] = read_seeds,
};

entry_settings_t *entry_settings_load(const void *ctx, base_str_t text,
				      GError **err)
{
	entry_settings_t *settings = talloc_zero(ctx, entry_settings_t);
	reader_t r = { settings, base_buf_new(settings) };
	json_error_t where;
	json_t *root =
		json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &where);

	if (!root) {
		g_set_error(err, ENTRY_ERROR, ENTRY_ERROR_SETTINGS,
			    "line %d: %s", where.line, where.text);
		talloc_free(settings);
		return NULL;
	}
	for (size_t i = 0; i < ARRAY_SIZE(fields); i++)
		read_field(&r, root, &fields[i]);
	refuse_unknown(&r, NULL, root);
	json_decref(root);
	if (r.faults->len) {
		g_set_error(err, ENTRY_ERROR, ENTRY_ERROR_SETTINGS, "%s",
			    r.faults->ptr);
		talloc_free(settings);
		return NULL;
	}
	default_address(&settings->actions, &settings->list);
	default_address(&settings->tasks, &settings->list);
	return settings;
}

static void read_field(reader_t *r, const json_t *root, const field_t *field)
{
	const json_t *object = root, *value;

	if (field->section)
		object = json_object_get(root, field->section);
	value = json_object_get(object, field->key);
	if (value) {
		field_readers[field->kind](r, field, value);
		return;
	}
	if (field->required)
		add_fault(r, field, "is missing");
	else if (field->kind == FIELD_NUMBER || field->kind == FIELD_LEVEL)
		*(int *)((char *)r->settings + field->offset) = field->fallback;
}

static char **text_slot(reader_t *r, const field_t *field)
{
	return (char **)((char *)r->settings + field->offset);
}

static void read_name(reader_t *r, const field_t *field, const json_t *value)
{
	const char *text = json_string_value(value);
	size_t len = text ? strlen(text) : 0;

	if (!len || len > NAME_MAX_BYTES ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != len) {
		add_fault(r, field,
			  "must be 1 to 40 characters of a-z, 0-9 and '-'");
		return;
	}
	*text_slot(r, field) = talloc_strdup(r->settings, text);
}

static void read_address(reader_t *r, const field_t *field, const json_t *value)
{
	const char *text = json_string_value(value);
	struct in_addr number;

	if (!text || inet_pton(AF_INET, text, &number) != 1) {
		add_fault(r, field, "must be an IPv4 address such as 10.0.0.1");
		return;
	}
	*text_slot(r, field) = talloc_strdup(r->settings, text);
}

static void read_key(reader_t *r, const field_t *field, const json_t *value)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) < KEY_MIN_BYTES) {
		add_fault(r, field, "must be a string of 16 bytes or more");
		return;
	}
	*text_slot(r, field) = talloc_strdup(r->settings, text);
}

static void read_number(reader_t *r, const field_t *field, const json_t *value)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < field->min ||
	    number > field->max) {
		char want[64];

		snprintf(want, sizeof(want),
			 "must be a whole number from %d to %d", field->min,
			 field->max);
		add_fault(r, field, want);
		return;
	}
	*(int *)((char *)r->settings + field->offset) = (int)number;
}

static void read_level(reader_t *r, const field_t *field, const json_t *value)
{
	const char *text = json_string_value(value);

	for (int level = 0; text && level < BASE_LEVEL_MAX; level++) {
		if (strcmp(text, base_level_name((base_level_t)level)))
			continue;
		r->settings->log_level = (base_level_t)level;
		return;
	}
	add_fault(r, field, "must be debug, info, warn or error");
}

static void read_seeds(reader_t *r, const field_t *field, const json_t *value)
{
	size_t count = json_array_size(value), i;
	json_t *item;

	r->settings->seeds = talloc_zero_array(r->settings, char *, count);
	json_array_foreach(value, i, item)
	{
		const char *text = json_string_value(item);
		const char *colon = text ? strrchr(text, ':') : NULL;

		if (!colon || atoi(colon + 1) < 1 || atoi(colon + 1) > 65535) {
			add_fault(r, field,
				  "must be an array of strings ADDRESS:PORT");
			return;
		}
		r->settings->seeds[i] = talloc_strdup(r->settings, text);
	}
	r->settings->seed_count = count;
	if (!json_is_array(value))
		add_fault(r, field, "must be an array");
}

static void refuse_unknown(reader_t *r, const char *section,
			   const json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		if (!section && is_section(key)) {
			refuse_unknown(r, key, value);
			continue;
		}
		if (!is_known(section, key))
			base_buf_addf(r->faults, "%s$.%s%s%s is not a setting",
				      r->faults->len ? "\n" : "",
				      section ? section : "",
				      section ? "." : "", key);
	}
}

static bool is_section(const char *key)
{
	for (size_t i = 0; i < ARRAY_SIZE(fields); i++)
		if (fields[i].section && !strcmp(fields[i].section, key))
			return true;
	return false;
}

static bool is_known(const char *section, const char *key)
{
	for (size_t i = 0; i < ARRAY_SIZE(fields); i++)
		if (!g_strcmp0(fields[i].section, section) &&
		    !strcmp(fields[i].key, key))
			return true;
	return false;
}

static void add_fault(reader_t *r, const field_t *field, const char *want)
{
	base_buf_addf(r->faults, "%s$.%s%s%s %s", r->faults->len ? "\n" : "",
		      field->section ? field->section : "",
		      field->section ? "." : "", field->key, want);
}

static void default_address(plat_address_t *address, const plat_address_t *list)
{
	if (!address->host)
		address->host = list->host;
	if (!address->port)
		address->port = list->port;
}
