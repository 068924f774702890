#include "tool_int.h"

/*
 * answers template, answers check: print and validate the questionnaire.
 */

int tool_answers_template(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_end *end = arg_end(8);
	void *table[] = { help, end };
	int status = TOOL_OK;
	char *text;

	if (tool_parse(argc, argv, table, end, out, err, &status)) {
		text = conf_answers_template(NULL);
		fputs(text, out);
		talloc_free(text);
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return status;
}

int tool_answers_check(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_file *file = arg_file1(NULL, NULL, "ANSWERS", "filled in");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	void *ctx = talloc_new(NULL);
	conf_answers_t *answers;
	int status = TOOL_OK;

	if (tool_parse(argc, argv, table, end, out, err, &status)) {
		answers = tool_read_answers(ctx, file->filename[0], err);
		if (answers)
			fprintf(out, "%s: in order: %zu zones, %zu pools\n",
				file->filename[0], answers->n_zones,
				answers->n_pools);
		else
			status = TOOL_REFUSED;
	}
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

conf_answers_t *tool_read_answers(const void *ctx, const char *path, FILE *err)
{
	conf_faults_t *faults = conf_faults_new(ctx);
	char *text = tool_read_file(ctx, path, err);
	conf_answers_t *answers;

	if (!text)
		return NULL;
	answers = conf_answers_load(ctx, base_str(text), faults);
	if (answers)
		return answers;
	fputs(conf_faults_print(ctx, faults, path), err);
	fprintf(err, "%s: refused: %zu fault%s\n", path, faults->n,
		faults->n == 1 ? "" : "s");
	return NULL;
}
