/*
 * Rows of the store that hold the state of waves: one for a successor, one for
 * the operator.
 */
#include "node_wave_int.h"

void node_waves_add_record(node_waves_t *waves, const char *key,
			   base_str_t text)
{
	g_hash_table_replace(waves->records, g_strdup(key),
			     g_strndup(text.ptr, text.len));
}

void node_wave_restore(wave_t *wave)
{
	char number[32];
	const char *text;
	json_t *root;
	const json_t *begun;
	const json_t *asked;
	size_t i;

	g_snprintf(number, sizeof(number), "%lld", (long long)wave->number);
	text = g_hash_table_lookup(wave->waves->records, number);
	root = text ? json_loads(text, 0, NULL) : NULL;
	begun = json_object_get(root, "begun");
	asked = json_object_get(root, "asked");
	for (i = 0; i < json_array_size(asked); i++) {
		const char *name = json_string_value(json_array_get(asked, i));
		wave_target_t *target =
			name ? node_wave_find_target(wave, name) : NULL;

		if (target) {
			target->state = WAVE_TARGET_EMPTYING;
			target->may_be_down = true;
			target->former_until =
				wave->waves->holder->former_orders_until;
		}
	}
	for (i = 0; i < json_array_size(begun); i++) {
		const char *name = json_string_value(json_array_get(begun, i));
		wave_target_t *target =
			name ? node_wave_find_target(wave, name) : NULL;

		if (target)
			target->state = WAVE_TARGET_DOWN;
	}
	wave->completed = json_is_true(json_object_get(root, "completed"));
	json_decref(root);
}

bool node_waves_has_unstored(const node_waves_t *waves)
{
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);

		if (wave->stored_version < wave->version)
			return true;
	}
	return false;
}

typedef bool target_test_t(const wave_target_t *target);

static bool has_begun(const wave_target_t *target)
{
	return target->state == WAVE_TARGET_DOWN ||
	       target->state == WAVE_TARGET_BACK;
}

/* Whether its maintenance may have been ordered and has not been seen to begin,
 * by this holder or a predecessor. */
static bool is_asked(const wave_target_t *target)
{
	return target->state == WAVE_TARGET_ASKED ||
	       (target->state == WAVE_TARGET_EMPTYING && target->may_be_down);
}

static void add_names(base_buf_t *buf, const wave_t *wave,
		      target_test_t *is_listed)
{
	bool first = true;
	size_t i;

	for (i = 0; i < wave->n_targets; i++) {
		const wave_target_t *target = &wave->targets[i];

		if (!is_listed(target))
			continue;
		if (!first)
			base_buf_adds(buf, ",");
		first = false;
		base_buf_add_json(buf, base_str(target->name));
	}
}

static void add_rows(wave_t *wave, const void *ctx, node_set_t *sets,
		     size_t *n_sets)
{
	const node_platform_t *platform = wave->waves->holder->node->platform;
	base_buf_t *buf = base_buf_new(ctx);

	base_buf_adds(buf, "{\"begun\":[");
	add_names(buf, wave, has_begun);
	base_buf_adds(buf, "],\"asked\":[");
	add_names(buf, wave, is_asked);
	base_buf_addf(buf, "],\"completed\":%s}",
		      wave->completed ? "true" : "false");
	sets[(*n_sets)++] =
		(node_set_t){ talloc_asprintf(ctx, NODE_KEY_WAVE "%lld",
					      (long long)wave->number),
			      base_buf_str(buf), 0 };
	sets[(*n_sets)++] =
		(node_set_t){ platform->wave_key(ctx, wave->number),
			      base_str(platform->wave_print(ctx, wave->number,
							    wave->completed)),
			      0 };
}

bool node_waves_add_rows(node_waves_t *waves, const void *ctx, node_set_t *sets,
			 size_t *n_sets)
{
	guint i;

	waves->storing_wave = NULL;
	for (i = 0; i < waves->waves->len; i++) {
		wave_t *wave = g_ptr_array_index(waves->waves, i);

		if (wave->stored_version >= wave->version)
			continue;
		wave->written_version = wave->version;
		add_rows(wave, ctx, sets, n_sets);
		waves->storing_wave = wave;
		return true;
	}
	return false;
}

void node_waves_rows_stored(node_waves_t *waves)
{
	if (waves->storing_wave)
		waves->storing_wave->stored_version =
			waves->storing_wave->written_version;
	waves->storing_wave = NULL;
}
