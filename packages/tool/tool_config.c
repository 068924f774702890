#include "tool_int.h"

/*
 * config generate, config diff: generate a configuration from answers, and
 * compare two configurations.
 */

static conf_t *read_config(const void *ctx, const char *path, FILE *err);

int tool_config_generate(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_file *file = arg_file1(NULL, NULL, "ANSWERS", "checked");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	void *ctx = talloc_new(NULL);
	conf_answers_t *answers;
	GError *cause = NULL;
	int status = TOOL_OK;
	char *text = NULL;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	answers = tool_read_answers(ctx, file->filename[0], err);
	if (answers)
		text = conf_generate(ctx, answers, &cause);
	if (text) {
		fputs(text, out);
	} else {
		status = TOOL_REFUSED;
		if (cause)
			fprintf(err, "%s: %s\n", file->filename[0],
				cause->message);
		g_clear_error(&cause);
	}
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

int tool_config_diff(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_file *old_file = arg_file1(NULL, NULL, "OLD", "in force");
	struct arg_file *new_file = arg_file1(NULL, NULL, "NEW", "generated");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, old_file, new_file, end };
	void *ctx = talloc_new(NULL);
	conf_t *old_conf, *new_conf;
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	old_conf = read_config(ctx, old_file->filename[0], err);
	new_conf = read_config(ctx, new_file->filename[0], err);
	if (old_conf && new_conf)
		fputs(conf_diff_print(ctx, conf_diff(ctx, old_conf, new_conf)),
		      out);
	else
		status = TOOL_REFUSED;
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static conf_t *read_config(const void *ctx, const char *path, FILE *err)
{
	char *text = tool_read_file(ctx, path, err);
	GError *cause = NULL;
	conf_t *conf;

	if (!text)
		return NULL;
	conf = conf_load(ctx, base_str(text), &cause);
	if (!conf) {
		fprintf(err, "%s: refused: %s\n", path, cause->message);
		g_clear_error(&cause);
	}
	return conf;
}
