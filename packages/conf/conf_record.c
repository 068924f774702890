/* The record of the accepted configuration in the store. */
#include "conf_int.h"

static bool unpack(conf_record_t *rec, const json_t *root, json_t **config);
static bool unpack_history(conf_record_t *rec, const json_t *list);
static json_t *next_history(const conf_record_t *previous);

conf_record_t *conf_record_load(const void *ctx, base_str_t json, GError **err)
{
	conf_faults_t *faults = conf_faults_new(NULL);
	conf_error_t code = CONF_ERR_SYNTAX;
	json_t *root = conf_parse(json, JSON_REJECT_DUPLICATES, faults, &code);
	conf_record_t *rec = talloc_zero(ctx, conf_record_t);
	json_t *config = NULL;
	char *text;

	if (!root) {
		conf_set_error(err, code, faults);
	} else if (!unpack(rec, root, &config)) {
		g_set_error(err, CONF_ERROR, CONF_ERR_SCHEMA,
			    "accepted configuration: expected generation from "
			    "1, change, before and config");
	} else {
		text = json_dumps(config, JSON_INDENT(2) | JSON_ENCODE_ANY);
		rec->config_json = talloc_asprintf(rec, "%s\n", text);
		free(text);
		rec->config = conf_from_tree(rec, config,
					     base_str(rec->config_json), err);
	}
	if (!rec->config)
		TALLOC_FREE(rec);
	json_decref(root);
	talloc_free(faults);
	return rec;
}

char *conf_record_print(const void *ctx, const conf_record_t *previous,
			base_str_t change, base_str_t config_json, GError **err)
{
	conf_t *conf = conf_load(NULL, config_json, err);
	json_int_t generation = previous ? previous->generation + 1 : 1;
	json_t *root;
	char *dump, *text;

	if (!conf)
		return NULL;
	talloc_free(conf);
	root = json_pack("{s:I,s:s%,s:o,s:o}", "generation", generation,
			 "change", change.ptr, change.len, "before",
			 next_history(previous), "config",
			 json_loadb(config_json.ptr, config_json.len, 0, NULL));
	if (!root) {
		g_set_error(err, CONF_ERROR, CONF_ERR_SCHEMA,
			    "accepted configuration: the change id is not "
			    "text");
		return NULL;
	}
	dump = json_dumps(root, JSON_COMPACT);
	text = talloc_strdup(ctx, dump);
	free(dump);
	json_decref(root);
	return text;
}

int64_t conf_record_find(const conf_record_t *rec, base_str_t change)
{
	if (base_str_eq(rec->change, change))
		return rec->generation;
	for (size_t i = 0; i < rec->n_history; i++)
		if (base_str_eq(rec->history[i], change))
			return rec->generation - 1 - (int64_t)i;
	return 0;
}

static bool unpack(conf_record_t *rec, const json_t *root, json_t **config)
{
	json_int_t generation = 0;
	const char *change = NULL;
	json_t *history = NULL;

	if (json_unpack((json_t *)root, "{s:I,s:s,s:o,s:o!}", "generation",
			&generation, "change", &change, "before", &history,
			"config", config))
		return false;
	rec->generation = generation;
	rec->change = base_str(talloc_strdup(rec, change));
	return generation >= 1 && unpack_history(rec, history);
}

static bool unpack_history(conf_record_t *rec, const json_t *list)
{
	json_t *item;
	size_t i;

	if (!json_is_array(list) ||
	    json_array_size(list) > CONF_RECORD_HISTORY_MAX)
		return false;
	rec->n_history = json_array_size(list);
	rec->history = talloc_array(rec, base_str_t, rec->n_history);
	json_array_foreach(list, i, item)
	{
		if (!json_is_string(item))
			return false;
		rec->history[i] =
			base_str(talloc_strdup(rec, json_string_value(item)));
	}
	return true;
}

/* The ids of earlier changes that the next record lists. */
static json_t *next_history(const conf_record_t *previous)
{
	json_t *list = json_array();

	if (!previous)
		return list;
	json_array_append_new(
		list, json_stringn(previous->change.ptr, previous->change.len));
	for (size_t i = 0; i < previous->n_history &&
			   json_array_size(list) < CONF_RECORD_HISTORY_MAX;
	     i++)
		json_array_append_new(list,
				      json_stringn(previous->history[i].ptr,
						   previous->history[i].len));
	return list;
}
