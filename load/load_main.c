#include "load_int.h"

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
} command_t;

static const command_t commands[] = {
	{ "run", load_run },
	{ "check", load_check },
	{ "get", load_get },
	{ "bench", load_bench },
};

int main(int argc, char **argv)
{
	mg_init_library(0);
	for (size_t i = 0; argc > 1 && i < ARRAY_SIZE(commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "usage: load run|check|get|bench ...\n");
	return 2;
}

/*
 * get ADDRESS:PORT PATH: prints the body; returns 0 when the status is 200. The
 * environment variable LOAD_KEY is sent as the operators' key.
 */
int load_get(int argc, char **argv)
{
	char error[160], chunk[8192];
	plat_address_t address;
	void *ctx;
	struct mg_connection *conn;
	const char *key = getenv("LOAD_KEY");
	int got, status;

	if (argc != 3)
		return 2;
	ctx = talloc_new(NULL);
	address = load_address(ctx, argv[1]);
	conn = mg_download(address.host, address.port, 0, error, sizeof(error),
			   "GET %s HTTP/1.1\r\nHost: %s\r\n"
			   "Authorization: Bearer %s\r\n"
			   "Connection: close\r\n\r\n",
			   argv[2], address.host, key ? key : "");
	talloc_free(ctx);
	if (!conn) {
		fprintf(stderr, "%s\n", error);
		return 1;
	}
	status = mg_get_response_info(conn)->status_code;
	while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0)
		fwrite(chunk, 1, (size_t)got, stdout);
	mg_close_connection(conn);
	return status == 200 ? 0 : 1;
}

plat_address_t load_address(const void *ctx, const char *text)
{
	const char *colon = strrchr(text, ':');
	plat_address_t address;

	if (!colon) {
		fprintf(stderr, "load: '%s' is not ADDRESS:PORT\n", text);
		exit(2);
	}
	address.host = talloc_strndup(ctx, text, (size_t)(colon - text));
	address.port = atoi(colon + 1);
	address.key = NULL;
	return address;
}
