/*
 * Answers to operators about the state of a wave or of an instance in one.
 */
#include "node_wave_int.h"

static const char *const state_names[WAVE_TARGET_MAX] = {
	[WAVE_TARGET_WAITING] = "waiting", [WAVE_TARGET_EMPTYING] = "emptying",
	[WAVE_TARGET_ASKED] = "asked",	   [WAVE_TARGET_DOWN] = "down",
	[WAVE_TARGET_BACK] = "back",	   [WAVE_TARGET_GONE] = "gone",
};

const char *node_wave_target_state_name(wave_target_state_t state)
{
	return state_names[state];
}

static json_t *explain_wave(const wave_t *wave)
{
	int64_t time_left = wave->deadline - base_clock_mono();
	json_t *answer = json_pack(
		"{s:s,s:I,s:i,s:i,s:I,s:b}", "kind", "wave", "wave",
		(json_int_t)wave->number, "instances", (int)wave->n_targets,
		"at_most", wave->at_most, "left_us", (json_int_t)time_left,
		"completed", wave->completed);
	base_buf_t *sentence = base_buf_new(NULL);
	int counts[WAVE_TARGET_MAX] = { 0 };
	size_t i;
	int state;

	for (i = 0; i < wave->n_targets; i++)
		counts[wave->targets[i].state]++;
	base_buf_addf(sentence, "wave %lld of %zu instances is %s, %.1f s %s",
		      (long long)wave->number, wave->n_targets,
		      wave->completed ? "completed" : "running",
		      (double)ABS(time_left) / BASE_SEC,
		      time_left < 0 ? "past its deadline"
				    : "before its deadline");
	for (state = 0; state < WAVE_TARGET_MAX; state++) {
		json_object_set_new(answer, state_names[state],
				    json_integer(counts[state]));
		if (counts[state])
			base_buf_addf(sentence, "; %d %s", counts[state],
				      state_names[state]);
	}
	base_buf_addf(sentence, "; at most %d may be down at once.",
		      wave->at_most);
	json_object_set_new(answer, "said", json_string(sentence->ptr));
	talloc_free(sentence);
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

void node_waves_explain_instance(const node_waves_t *waves, const char *name,
				 json_t *answer, base_buf_t *sentence)
{
	int64_t now = base_clock_mono();
	guint i;

	for (i = 0; i < waves->waves->len; i++) {
		const wave_t *wave = g_ptr_array_index(waves->waves, i);
		const wave_target_t *target = node_wave_find_target(wave, name);
		size_t n_long_running = 0;
		size_t n_runs = 0;

		if (!target)
			continue;
		if (target->worker)
			n_runs = batch_worker_runs(waves->holder->core,
						   base_str(target->worker),
						   &n_long_running);
		json_object_set_new(
			answer, "upkeep",
			json_pack("{s:I,s:s,s:I,s:i}", "wave",
				  (json_int_t)wave->number, "state",
				  state_names[target->state], "for_us",
				  (json_int_t)(target->since
						       ? now - target->since
						       : 0),
				  "runs_left", (int)n_runs));
		base_buf_addf(sentence, "; in wave %lld it is %s",
			      (long long)wave->number,
			      state_names[target->state]);
		if (target->state == WAVE_TARGET_EMPTYING)
			base_buf_addf(sentence, ", %zu tasks are left on it",
				      n_runs);
	}
}
