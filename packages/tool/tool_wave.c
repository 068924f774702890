#include "tool_fleet.h"

/*
 * wave: start, pause, resume or abort a wave of maintenance.
 */

static char *edit_wave(tool_fleet_t *tool, base_str_t old, void *arg);

int tool_wave(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_str *store = tool_arg_store(1);
	struct arg_str *verb =
		arg_str1(NULL, NULL, "start|pause|resume|abort", "what");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, store, verb, end };
	void *ctx = talloc_new(NULL);
	tool_fleet_t tool = { .ctx = ctx, .out = out, .err = err };
	fleet_wave_verb_t wave_verb;
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	status = TOOL_USAGE;
	wave_verb = fleet_wave_verb_parse(verb->sval[0]);
	if (wave_verb == FLEET_WAVE_VERB_MAX) {
		fprintf(err, "'%s' is not start, pause, resume or abort\n",
			verb->sval[0]);
		goto out;
	}
	if (!tool_fleet_open(&tool, store->sval[0], NULL))
		goto out;
	status = tool_fleet_edit(&tool, FLEET_WAVE_KEY, edit_wave, &wave_verb);
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static char *edit_wave(tool_fleet_t *tool, base_str_t old, void *arg)
{
	const fleet_wave_verb_t *verb = arg;
	fleet_wave_t wave = { 0 }, next;

	if (old.len && !fleet_wave_decode(old, &wave)) {
		fprintf(tool->err, "the wave in the store cannot be decoded\n");
		return NULL;
	}
	if (!fleet_wave_operator(&wave, *verb, base_clock_wall(), &next)) {
		fprintf(tool->err, "the wave is %s; that does not apply\n",
			fleet_wave_state_name(wave.state));
		return NULL;
	}
	fprintf(tool->out, "wave %" G_GUINT64_FORMAT ": %s\n", next.round,
		fleet_wave_state_name(next.state));
	return fleet_wave_encode(tool->ctx, &next);
}
