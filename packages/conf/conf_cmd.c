/* The operators' verbs that need files alone. */
#include <argtable2.h>
#include <errno.h>

#include "conf_int.h"

/* The command line of one verb: some files, or --help. */
typedef struct line {
	const char *verb;
	int files;
	const char *what;
} line_t;

static int parse(const line_t *line, int argc, char **argv, FILE *out,
		 FILE *err, char **files);
static bool slurp(void *ctx, const char *file, base_str_t *text, FILE *err);
static int load_answers(void *ctx, const char *file, FILE *err,
			conf_answers_t **answers);
static int load_config(void *ctx, const char *file, FILE *err, conf_t **conf);

static const line_t template_line = { "answers template", 0,
				      "print a questionnaire to fill in" };
static const line_t check_line = { "answers check", 1,
				   "name every fault of answers" };
static const line_t generate_line = { "config generate", 1,
				      "print the configuration for answers" };
static const line_t diff_line = { "config diff", 2,
				  "say what changes between configurations" };

int conf_cmd_template(int argc, char **argv, FILE *out, FILE *err)
{
	int code = parse(&template_line, argc, argv, out, err, NULL);
	char *text;

	if (code != CONF_EXIT_MAX)
		return code;
	text = conf_answers_template(NULL);
	fputs(text, out);
	talloc_free(text);
	return CONF_EXIT_OK;
}

int conf_cmd_check(int argc, char **argv, FILE *out, FILE *err)
{
	void *ctx = talloc_new(NULL);
	conf_answers_t *answers = NULL;
	char *file = NULL;
	int code = parse(&check_line, argc, argv, out, err, &file);

	if (code == CONF_EXIT_MAX)
		code = load_answers(ctx, file, err, &answers);
	if (answers)
		fprintf(out, "%s: in order: %zu zones, %zu pools\n", file,
			answers->n_zones, answers->n_pools);
	talloc_free(ctx);
	return code;
}

int conf_cmd_generate(int argc, char **argv, FILE *out, FILE *err)
{
	void *ctx = talloc_new(NULL);
	conf_answers_t *answers = NULL;
	GError *error = NULL;
	char *file = NULL, *text;
	int code = parse(&generate_line, argc, argv, out, err, &file);

	if (code == CONF_EXIT_MAX)
		code = load_answers(ctx, file, err, &answers);
	if (answers) {
		text = conf_generate(ctx, answers, &error);
		if (text) {
			fputs(text, out);
		} else {
			fprintf(err, "%s: %s\n", file, error->message);
			g_clear_error(&error);
			code = CONF_EXIT_REFUSED;
		}
	}
	talloc_free(ctx);
	return code;
}

int conf_cmd_diff(int argc, char **argv, FILE *out, FILE *err)
{
	void *ctx = talloc_new(NULL);
	conf_t *old = NULL, *new = NULL;
	char *files[2] = { NULL, NULL };
	int code = parse(&diff_line, argc, argv, out, err, files);

	if (code == CONF_EXIT_MAX)
		code = load_config(ctx, files[0], err, &old);
	if (old)
		code = load_config(ctx, files[1], err, &new);
	if (new)
		fputs(conf_diff_print(ctx, conf_diff(ctx, old, new)), out);
	talloc_free(ctx);
	return code;
}

/* CONF_EXIT_MAX when the verb is to go on with its files. */
static int parse(const line_t *line, int argc, char **argv, FILE *out,
		 FILE *err, char **files)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this");
	struct arg_file *file =
		arg_filen(NULL, NULL, "FILE", line->files, line->files, NULL);
	struct arg_end *end = arg_end(4);
	void *table[] = { help, file, end };
	int faults, code = CONF_EXIT_MAX;

	faults = arg_parse(argc, argv, table);
	if (help->count) {
		fprintf(out, "usage: cactusfield %s", line->verb);
		arg_print_syntax(out, table, "\n");
		fprintf(out, "%s\n", line->what);
		arg_print_glossary(out, table, "  %-20s %s\n");
		code = CONF_EXIT_OK;
	} else if (faults) {
		arg_print_errors(err, end, line->verb);
		code = CONF_EXIT_USAGE;
	}
	for (int i = 0; code == CONF_EXIT_MAX && i < line->files; i++)
		files[i] = (char *)file->filename[i];
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}

static bool slurp(void *ctx, const char *file, base_str_t *text, FILE *err)
{
	FILE *in = fopen(file, "rb");
	char *buf = talloc_size(ctx, CONF_TEXT_MAX + 1);

	if (!in) {
		fprintf(err, "%s: %s\n", file, strerror(errno));
		return false;
	}
	/* One byte more than is accepted, so that a longer one is refused. */
	text->len = fread(buf, 1, CONF_TEXT_MAX + 1, in);
	text->ptr = buf;
	if (ferror(in)) {
		fprintf(err, "%s: cannot be read\n", file);
		fclose(in);
		return false;
	}
	fclose(in);
	return true;
}

static int load_answers(void *ctx, const char *file, FILE *err,
			conf_answers_t **answers)
{
	conf_faults_t *faults = conf_faults_new(ctx);
	base_str_t text;

	if (!slurp(ctx, file, &text, err))
		return CONF_EXIT_FILE;
	*answers = conf_answers_load(ctx, text, faults);
	if (*answers)
		return CONF_EXIT_OK;
	fputs(conf_faults_print(ctx, faults, file), err);
	fprintf(err, "%s: refused: %zu fault%s\n", file, faults->n,
		faults->n == 1 ? "" : "s");
	return CONF_EXIT_REFUSED;
}

static int load_config(void *ctx, const char *file, FILE *err, conf_t **conf)
{
	GError *error = NULL;
	base_str_t text;

	if (!slurp(ctx, file, &text, err))
		return CONF_EXIT_FILE;
	*conf = conf_load(ctx, text, &error);
	if (*conf)
		return CONF_EXIT_OK;
	fprintf(err, "%s: refused: %s\n", file, error->message);
	g_clear_error(&error);
	return CONF_EXIT_REFUSED;
}
