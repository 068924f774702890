/*
 * Why a round of upkeep, or an instance of one, is as it is.
 */
#include "node_wave_int.h"

static const char *const words[PLACE_MAX] = {
	[PLACE_WAITING] = "waiting", [PLACE_EMPTYING] = "emptying",
	[PLACE_ASKED] = "asked",     [PLACE_DOWN] = "down",
	[PLACE_BACK] = "back",	     [PLACE_GONE] = "gone",
};

const char *node_wave_place_word(place_state_t state)
{
	return words[state];
}

static json_t *explain_wave(const wave_t *wave)
{
	int64_t left = wave->ends_by - base_clock_mono();
	json_t *answer =
		json_pack("{s:s,s:I,s:i,s:i,s:I,s:b}", "kind", "wave", "wave",
			  (json_int_t)wave->number, "instances", (int)wave->n,
			  "at_most", wave->at_most, "left_us", (json_int_t)left,
			  "completed", wave->completed);
	base_buf_t *said = base_buf_new(NULL);
	int counts[PLACE_MAX] = { 0 };
	size_t i;
	int state;

	for (i = 0; i < wave->n; i++)
		counts[wave->places[i].state]++;
	base_buf_addf(said, "wave %lld of %zu instances is %s, %.1f s %s",
		      (long long)wave->number, wave->n,
		      wave->completed ? "completed" : "running",
		      (double)ABS(left) / BASE_SEC,
		      left < 0 ? "past its time" : "before its time is over");
	for (state = 0; state < PLACE_MAX; state++) {
		json_object_set_new(answer, words[state],
				    json_integer(counts[state]));
		if (counts[state])
			base_buf_addf(said, "; %d %s", counts[state],
				      words[state]);
	}
	base_buf_addf(said, "; at most %d may be down at once.", wave->at_most);
	json_object_set_new(answer, "said", json_string(said->ptr));
	talloc_free(said);
	return answer;
}

json_t *node_waves_explain(const node_waves_t *waves, const char *name)
{
	const wave_t *wave =
		node_wave_find(waves, g_ascii_strtoll(name, NULL, 10));

	return wave ? explain_wave(wave) : NULL;
}

json_t *node_waves_list(const node_waves_t *waves)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < waves->waves->len; i++)
		json_array_append_new(
			list, explain_wave(g_ptr_array_index(waves->waves, i)));
	return list;
}

void node_waves_explain_place(const node_waves_t *waves, const char *name,
			      json_t *answer, base_buf_t *said)
{
	int64_t now = base_clock_mono();
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);
		const place_t *place = node_wave_place(wave, name);
		size_t lasting = 0;
		size_t runs = 0;

		if (!place)
			continue;
		if (place->worker)
			runs = batch_worker_runs(waves->owner->core,
						 base_str(place->worker),
						 &lasting);
		json_object_set_new(
			answer, "upkeep",
			json_pack("{s:I,s:s,s:I,s:i}", "wave",
				  (json_int_t)wave->number, "state",
				  words[place->state], "for_us",
				  (json_int_t)(place->since ? now - place->since
							    : 0),
				  "runs_left", (int)runs));
		base_buf_addf(said, "; in wave %lld it is %s",
			      (long long)wave->number, words[place->state]);
		if (place->state == PLACE_EMPTYING)
			base_buf_addf(said, ", %zu tasks are left on it", runs);
	}
}
