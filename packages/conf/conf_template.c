/* Generates the answers template from the field tables. */
#include "conf_int.h"

#define ABOUT_TEXT                                                          \
	"Replace every null by your answer; list as many zones, services "  \
	"and so on as you have. Keys that begin with an underscore are "    \
	"remarks and are not read. 'cactusfield answers check FILE' names " \
	"what is still wrong."

static json_t *template_object(const conf_schema_t *schema);
static json_t *template_field(const conf_field_t *field);
static json_t *help(const conf_field_t *field);
static char *default_text(const void *ctx, const conf_field_t *field);

char *conf_answers_template(const void *ctx)
{
	json_t *about = json_pack("{s:s}", "_about", ABOUT_TEXT);
	json_t *root = template_object(&conf_schema_root);
	char *text;

	json_object_update(about, root);
	json_object_set_new(about, "schema", json_integer(CONF_SCHEMA));
	text = conf_print(ctx, about);
	json_decref(root);
	json_decref(about);
	return text;
}

static json_t *template_object(const conf_schema_t *schema)
{
	json_t *out = json_object(), *help_texts = json_object();

	json_object_set_new(out, "_help", help_texts);
	for (size_t i = 0; i < schema->n; i++) {
		const conf_field_t *field = &schema->fields[i];

		if (!(field->formats & CONF_IN_ANSWERS))
			continue;
		json_object_set_new(help_texts, field->key, help(field));
		json_object_set_new(out, field->key, template_field(field));
	}
	return out;
}

/* Optional fields show their default; required fields are null. */
static json_t *template_field(const conf_field_t *field)
{
	if (field->kind == CONF_OBJECT)
		return template_object(field->sub);
	if (field->kind == CONF_LIST)
		return json_pack("[o]", template_object(field->sub));
	if (!field->optional)
		return json_null();
	if (field->kind == CONF_BOOL)
		return json_boolean(field->def != 0);
	if (field->kind == CONF_ENUM)
		return json_string(field->choices[(int)field->def]);
	return json_integer((json_int_t)field->def);
}

static json_t *help(const conf_field_t *field)
{
	char *want = conf_field_want(NULL, field);
	char *text;
	json_t *out;

	want[0] = g_ascii_toupper(want[0]);
	text = talloc_asprintf(want, "%s %s.%s", field->help, want,
			       default_text(want, field));
	out = json_string(text);
	talloc_free(want);
	return out;
}

static char *default_text(const void *ctx, const conf_field_t *field)
{
	if (!field->optional || field->kind == CONF_OBJECT)
		return talloc_strdup(ctx, "");
	if (field->kind == CONF_BOOL)
		return talloc_asprintf(ctx, " Default: %s.",
				       field->def != 0 ? "true" : "false");
	if (field->kind == CONF_ENUM)
		return talloc_asprintf(ctx, " Default: \"%s\".",
				       field->choices[(int)field->def]);
	return talloc_asprintf(ctx, " Default: %.0f.", field->def);
}
