/* Converts between JSON and C structures as the field tables describe. */
#include <math.h>

#include "conf_int.h"

#define FOUND_MAX 60 /* bytes of a value that a fault message quotes */
#define NAME_MAX_LEN 63
#define PATH_MAX_LEN 255
#define METHOD_MAX_LEN 16

typedef bool (*fits_t)(const conf_field_t *field, const json_t *json);
typedef void (*store_t)(const conf_reader_t *rd, const conf_field_t *field,
			const json_t *json, void *at);
typedef json_t *(*encode_t)(const conf_field_t *field, const void *at);

/* How values of one kind are described, checked, decoded and encoded. */
typedef struct kind {
	const char *description;
	fits_t fits;
	store_t store;
	encode_t encode;
} kind_t;

static bool fits_name(const conf_field_t *field, const json_t *json);
static bool fits_path(const conf_field_t *field, const json_t *json);
static bool fits_method(const conf_field_t *field, const json_t *json);
static bool fits_text(const conf_field_t *field, const json_t *json);
static bool fits_int(const conf_field_t *field, const json_t *json);
static bool fits_real(const conf_field_t *field, const json_t *json);
static bool fits_bool(const conf_field_t *field, const json_t *json);
static bool fits_enum(const conf_field_t *field, const json_t *json);
static bool fits_object(const conf_field_t *field, const json_t *json);
static bool fits_list(const conf_field_t *field, const json_t *json);
static void store_str(const conf_reader_t *rd, const conf_field_t *field,
		      const json_t *json, void *at);
static void store_int(const conf_reader_t *rd, const conf_field_t *field,
		      const json_t *json, void *at);
static void store_real(const conf_reader_t *rd, const conf_field_t *field,
		       const json_t *json, void *at);
static void store_bool(const conf_reader_t *rd, const conf_field_t *field,
		       const json_t *json, void *at);
static void store_enum(const conf_reader_t *rd, const conf_field_t *field,
		       const json_t *json, void *at);
static json_t *encode_str(const conf_field_t *field, const void *at);
static json_t *encode_int(const conf_field_t *field, const void *at);
static json_t *encode_real(const conf_field_t *field, const void *at);
static json_t *encode_bool(const conf_field_t *field, const void *at);
static json_t *encode_enum(const conf_field_t *field, const void *at);
static void decode_object(const conf_reader_t *rd, const conf_schema_t *schema,
			  const json_t *json, const char *path, void *base);
static void decode_field(const conf_reader_t *rd, const conf_field_t *field,
			 const json_t *json, const char *path, void *base);
static void decode_list(const conf_reader_t *rd, const conf_field_t *field,
			const json_t *json, const char *path, void *base);
static void decode_missing(const conf_reader_t *rd, const conf_field_t *field,
			   const char *path, void *base);
static void check_unknown_keys(const conf_reader_t *rd,
			       const conf_schema_t *schema, const json_t *json,
			       const char *path);
static char *found_text(const void *ctx, const json_t *json);
static json_t *encode_object(const conf_schema_t *schema, const void *base,
			     unsigned int format);
static json_t *encode_list(const conf_field_t *field, const void *base,
			   unsigned int format);

static const kind_t kinds[CONF_KIND_MAX] = {
	[CONF_NAME] = { "a name of 1 to 63 lower-case letters, digits and "
			"dashes",
			fits_name, store_str, encode_str },
	[CONF_PATH] = { "a path of at most 255 bytes that begins with /",
			fits_path, store_str, encode_str },
	[CONF_METHOD] = { "an HTTP method in capital letters, or \"*\"",
			  fits_method, store_str, encode_str },
	[CONF_TEXT] = { "a string", fits_text, store_str, encode_str },
	[CONF_INT] = { "an integer", fits_int, store_int, encode_int },
	[CONF_REAL] = { "a number", fits_real, store_real, encode_real },
	[CONF_BOOL] = { "true or false", fits_bool, store_bool, encode_bool },
	[CONF_ENUM] = { "one of", fits_enum, store_enum, encode_enum },
	[CONF_OBJECT] = { "an object", fits_object, NULL, NULL },
	[CONF_LIST] = { "a list", fits_list, NULL, NULL },
};

conf_t *conf_decode(const conf_reader_t *rd, const json_t *root)
{
	return conf_decode_as(rd, &conf_schema_root, root);
}

void *conf_decode_as(const conf_reader_t *rd, const conf_schema_t *schema,
		     const json_t *root)
{
	void *model = talloc_zero_size(rd->mem, schema->size);
	conf_reader_t reader = *rd;
	char *found;

	reader.mem = model;
	if (json_is_object(root)) {
		decode_object(&reader, schema, root, "$", model);
	} else {
		found = found_text(model, root);
		conf_fault_at(rd, "$", found, "an object");
	}
	return model;
}

json_t *conf_encode(const conf_t *conf, unsigned int format)
{
	return encode_object(&conf_schema_root, conf, format);
}

char *conf_field_want(const void *ctx, const conf_field_t *field)
{
	char *want = talloc_strdup(ctx, kinds[field->kind].description);

	if (field->kind == CONF_INT || field->kind == CONF_REAL) {
		if (field->min == field->max)
			return talloc_asprintf_append(want, ", %.0f",
						      field->min);
		return talloc_asprintf_append(
			want, " from %.*f to %.0f",
			field->min == floor(field->min) ? 0 : 3, field->min,
			field->max);
	}
	if (field->kind == CONF_LIST)
		return talloc_asprintf_append(want, " of %.0f to %.0f objects",
					      field->min, field->max);
	if (field->kind != CONF_ENUM)
		return want;
	for (size_t i = 0; field->choices[i]; i++)
		want = talloc_asprintf_append(want, "%s \"%s\"", i ? "," : "",
					      field->choices[i]);
	return want;
}

static void decode_object(const conf_reader_t *rd, const conf_schema_t *schema,
			  const json_t *json, const char *path, void *base)
{
	check_unknown_keys(rd, schema, json, path);
	for (size_t i = 0; i < schema->n; i++) {
		const conf_field_t *field = &schema->fields[i];
		const json_t *value = json_object_get(json, field->key);
		char *child_path;

		if (!(field->formats & rd->format))
			continue;
		child_path = conf_path_key(NULL, path, field->key);
		if (value)
			decode_field(rd, field, value, child_path, base);
		else
			decode_missing(rd, field, child_path, base);
		talloc_free(child_path);
	}
}

static void decode_field(const conf_reader_t *rd, const conf_field_t *field,
			 const json_t *json, const char *path, void *base)
{
	char *found, *want;

	if (!kinds[field->kind].fits(field, json)) {
		found = found_text(NULL, json);
		want = conf_field_want(found, field);
		conf_fault_at(rd, path, found, "%s", want);
		talloc_free(found);
	} else if (field->kind == CONF_OBJECT) {
		decode_object(rd, field->sub, json, path,
			      (char *)base + field->offset);
	} else if (field->kind == CONF_LIST) {
		decode_list(rd, field, json, path, base);
	} else {
		kinds[field->kind].store(rd, field, json,
					 (char *)base + field->offset);
	}
}

static void decode_list(const conf_reader_t *rd, const conf_field_t *field,
			const json_t *json, const char *path, void *base)
{
	size_t n = json_array_size(json);
	char *v = talloc_zero_size(rd->mem, n * field->sub->size);

	*(void **)((char *)base + field->offset) = v;
	*(size_t *)((char *)base + field->count_offset) = n;
	for (size_t i = 0; i < n; i++) {
		const json_t *item = json_array_get(json, i);
		char *child_path = talloc_asprintf(NULL, "%s[%zu]", path, i);

		if (json_is_object(item))
			decode_object(rd, field->sub, item, child_path,
				      v + i * field->sub->size);
		else
			conf_fault_at(rd, child_path,
				      found_text(child_path, item),
				      "an object");
		talloc_free(child_path);
	}
}

static void decode_missing(const conf_reader_t *rd, const conf_field_t *field,
			   const char *path, void *base)
{
	char *at = (char *)base + field->offset;
	json_t *empty;
	char *want;

	if (!field->optional || rd->format != CONF_IN_ANSWERS) {
		want = conf_field_want(NULL, field);
		conf_fault_at(rd, path, "nothing", "%s", want);
		talloc_free(want);
	} else if (field->kind == CONF_OBJECT) {
		empty = json_object();
		decode_object(rd, field->sub, empty, path, at);
		json_decref(empty);
	} else if (field->kind == CONF_INT) {
		*(int64_t *)at = (int64_t)field->def;
	} else if (field->kind == CONF_ENUM) {
		*(int *)at = (int)field->def;
	} else if (field->kind == CONF_BOOL) {
		*(bool *)at = field->def != 0;
	}
}

/* In answers, keys that begin with an underscore are comments. */
static void check_unknown_keys(const conf_reader_t *rd,
			       const conf_schema_t *schema, const json_t *json,
			       const char *path)
{
	const json_t *value;
	const char *key;

	json_object_foreach((json_t *)json, key, value)
	{
		size_t i = 0;
		char *child_path;

		if (rd->format == CONF_IN_ANSWERS && key[0] == '_')
			continue;
		while (i < schema->n &&
		       (!(schema->fields[i].formats & rd->format) ||
			strcmp(schema->fields[i].key, key) != 0))
			i++;
		if (i < schema->n)
			continue;
		child_path = conf_path_key(NULL, path, key);
		conf_fault_at(rd, child_path, "a key that is not known",
			      "no such key; is it misspelt?");
		talloc_free(child_path);
	}
}

static char *found_text(const void *ctx, const json_t *json)
{
	char *dump, *text;

	if (json_is_object(json))
		return talloc_strdup(ctx, "an object");
	if (json_is_array(json))
		return talloc_asprintf(ctx, "a list of %zu",
				       json_array_size(json));
	dump = json_dumps(json, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	text = talloc_strndup(ctx, dump ? dump : "?", FOUND_MAX);
	if (dump && strlen(dump) > FOUND_MAX)
		text = talloc_strdup_append(text, "...");
	free(dump);
	return text;
}

static bool fits_name(const conf_field_t *field, const json_t *json)
{
	const char *text = json_string_value(json);
	size_t len = json_string_length(json);

	(void)field;
	return text && len >= 1 && len <= NAME_MAX_LEN && text[0] != '-' &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

static bool fits_path(const conf_field_t *field, const json_t *json)
{
	const char *text = json_string_value(json);

	(void)field;
	if (!text || text[0] != '/' || strlen(text) > PATH_MAX_LEN)
		return false;
	for (const char *c = text; *c; c++)
		if (!g_ascii_isgraph(*c))
			return false;
	return true;
}

static bool fits_method(const conf_field_t *field, const json_t *json)
{
	const char *text = json_string_value(json);

	(void)field;
	if (!text || !*text || strlen(text) > METHOD_MAX_LEN)
		return false;
	return strcmp(text, "*") == 0 ||
	       strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == strlen(text);
}

static bool fits_text(const conf_field_t *field, const json_t *json)
{
	(void)field;
	return json_is_string(json);
}

static bool fits_int(const conf_field_t *field, const json_t *json)
{
	json_int_t v = json_integer_value(json);

	return json_is_integer(json) && (double)v >= field->min &&
	       (double)v <= field->max;
}

static bool fits_real(const conf_field_t *field, const json_t *json)
{
	double v = json_number_value(json);

	return json_is_number(json) && v >= field->min && v <= field->max;
}

static bool fits_bool(const conf_field_t *field, const json_t *json)
{
	(void)field;
	return json_is_boolean(json);
}

static bool fits_enum(const conf_field_t *field, const json_t *json)
{
	const char *text = json_string_value(json);

	for (size_t i = 0; text && field->choices[i]; i++)
		if (!strcmp(text, field->choices[i]))
			return true;
	return false;
}

static bool fits_object(const conf_field_t *field, const json_t *json)
{
	(void)field;
	return json_is_object(json);
}

static bool fits_list(const conf_field_t *field, const json_t *json)
{
	size_t n = json_array_size(json);

	return json_is_array(json) && (double)n >= field->min &&
	       (double)n <= field->max;
}

static void store_str(const conf_reader_t *rd, const conf_field_t *field,
		      const json_t *json, void *at)
{
	base_str_t text = { json_string_value(json), json_string_length(json) };

	(void)field;
	*(base_str_t *)at = base_str(base_str_dup(rd->mem, text));
}

static void store_int(const conf_reader_t *rd, const conf_field_t *field,
		      const json_t *json, void *at)
{
	(void)rd;
	(void)field;
	*(int64_t *)at = json_integer_value(json);
}

static void store_real(const conf_reader_t *rd, const conf_field_t *field,
		       const json_t *json, void *at)
{
	(void)rd;
	(void)field;
	*(double *)at = json_number_value(json);
}

static void store_bool(const conf_reader_t *rd, const conf_field_t *field,
		       const json_t *json, void *at)
{
	(void)rd;
	(void)field;
	*(bool *)at = json_is_true(json);
}

static void store_enum(const conf_reader_t *rd, const conf_field_t *field,
		       const json_t *json, void *at)
{
	int i = 0;

	(void)rd;
	while (strcmp(field->choices[i], json_string_value(json)) != 0)
		i++;
	*(int *)at = i;
}

static json_t *encode_object(const conf_schema_t *schema, const void *base,
			     unsigned int format)
{
	json_t *out = json_object();

	for (size_t i = 0; i < schema->n; i++) {
		const conf_field_t *field = &schema->fields[i];
		const char *at = (const char *)base + field->offset;
		json_t *value;

		if (!(field->formats & format))
			continue;
		if (field->kind == CONF_OBJECT)
			value = encode_object(field->sub, at, format);
		else if (field->kind == CONF_LIST)
			value = encode_list(field, base, format);
		else
			value = kinds[field->kind].encode(field, at);
		json_object_set_new(out, field->key, value);
	}
	return out;
}

static json_t *encode_list(const conf_field_t *field, const void *base,
			   unsigned int format)
{
	const char *v =
		*(const char *const *)((const char *)base + field->offset);
	size_t n = *(const size_t *)((const char *)base + field->count_offset);
	json_t *out = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			out, encode_object(field->sub, v + i * field->sub->size,
					   format));
	return out;
}

static json_t *encode_str(const conf_field_t *field, const void *at)
{
	const base_str_t *s = at;

	(void)field;
	return json_stringn(s->ptr, s->len);
}

static json_t *encode_int(const conf_field_t *field, const void *at)
{
	(void)field;
	return json_integer(*(const int64_t *)at);
}

static json_t *encode_real(const conf_field_t *field, const void *at)
{
	(void)field;
	return json_real(*(const double *)at);
}

static json_t *encode_bool(const conf_field_t *field, const void *at)
{
	(void)field;
	return json_boolean(*(const bool *)at);
}

static json_t *encode_enum(const conf_field_t *field, const void *at)
{
	return json_string(field->choices[*(const int *)at]);
}
