#include <argtable2.h>
#include <stdlib.h>
#include <unistd.h>

#include "entry.h"

#define EXIT_USAGE 2

static int run(const char *path, bool check_only);

int main(int argc, char **argv)
{
	struct arg_lit *help =
		arg_lit0("h", "help", "print this help and exit");
	struct arg_file *file =
		arg_file1(NULL, "settings", "FILE",
			  "settings file, see cactusfieldd-settings(5)");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, file, check, end };
	int faults = arg_parse(argc, argv, table);
	int status;

	if (help->count) {
		printf("usage: cactusfieldd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (faults) {
		arg_print_errors(stderr, end, "cactusfieldd");
		status = EXIT_USAGE;
	} else {
		status = run(file->filename[0], check->count > 0);
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return status;
}

static int run(const char *path, bool check_only)
{
	base_log_t log = { .fd = STDERR_FILENO, .level = BASE_INFO };
	void *ctx = talloc_new(NULL);
	entry_settings_t *settings = NULL;
	GError *err = NULL;
	char *text = NULL;
	gsize len = 0;
	int status;

	if (g_file_get_contents(path, &text, &len, &err))
		settings = entry_settings_load(ctx, (base_str_t){ text, len },
					       &err);
	g_free(text);
	if (!settings) {
		base_log(&log, BASE_MSG_SETTINGS_BAD, BASE_F_STR("file", path),
			 BASE_F_STR("why", err->message));
		g_clear_error(&err);
		talloc_free(ctx);
		return EXIT_USAGE;
	}
	log.level = settings->log_level;
	status = check_only ? EXIT_SUCCESS : entry_run(settings, &log);
	talloc_free(ctx);
	return status;
}
