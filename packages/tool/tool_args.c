#include <arpa/inet.h>

#include "tool_int.h"

static const char *read_operators_key(const void *ctx);

bool tool_parse(int argc, char **argv, void **table, struct arg_end *end,
		FILE *out, FILE *err, int *status)
{
	const struct arg_lit *help = table[0];
	int faults = arg_parse(argc, argv, table);

	if (help->count) {
		fprintf(out, "usage: cactusfield %s", argv[0]);
		arg_print_syntax(out, table, "\n");
		arg_print_glossary(out, table, "  %-24s %s\n");
		*status = TOOL_OK;
		return false;
	}
	if (faults) {
		arg_print_errors(err, end, argv[0]);
		*status = TOOL_USAGE;
		return false;
	}
	return true;
}

struct arg_lit *tool_arg_help(void)
{
	return arg_lit0("h", "help", "print this help and exit");
}

struct arg_str *tool_arg_store(int min_count)
{
	return arg_strn(NULL, "store", "ADDRESS:PORT", min_count, 1,
			"platform's store");
}

struct arg_str *tool_arg_list(int min_count)
{
	return arg_strn(NULL, "list", "ADDRESS:PORT", min_count, 1,
			"platform's instance list");
}

bool tool_address(const void *ctx, const char *text, plat_address_t *address,
		  FILE *err)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ipv4;
	char *host;

	if (colon) {
		host = talloc_strndup(ctx, text, (size_t)(colon - text));
		address->host = host;
		address->port = atoi(colon + 1);
		address->key = read_operators_key(ctx);
		if (inet_pton(AF_INET, host, &ipv4) == 1 && address->port > 0 &&
		    address->port < 65536)
			return true;
	}
	fprintf(err, "'%s' is not ADDRESS:PORT with an IPv4 number\n", text);
	return false;
}

char *tool_read_file(const void *ctx, const char *path, FILE *err)
{
	GError *cause = NULL;
	char *text = NULL, *copy;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		fprintf(err, "%s\n", cause->message);
		g_clear_error(&cause);
		return NULL;
	}
	if (memchr(text, '\0', len)) {
		fprintf(err, "%s: holds a NUL byte, is no text\n", path);
		g_free(text);
		return NULL;
	}
	copy = talloc_strndup(ctx, text, len);
	g_free(text);
	return copy;
}

/* Reads the key from the file that TOOL_KEY_FILE names; NULL if there is none.
 */
static const char *read_operators_key(const void *ctx)
{
	const char *path = getenv(TOOL_KEY_FILE);
	char *key = path ? tool_read_file(ctx, path, stderr) : NULL;

	return key ? g_strchomp(key) : NULL;
}
