#include "tool_fleet.h"

/*
 * explain: why an instance or a pool is as it is, in a sentence.
 */

int tool_explain(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = arg_lit0("h", "help", "say this and end");
	struct arg_str *store =
		arg_str1(NULL, "store", "ADDRESS:PORT", "platform's store");
	struct arg_str *list = arg_str1(NULL, "list", "ADDRESS:PORT",
					"platform's instance list");
	struct arg_str *name =
		arg_str1(NULL, NULL, "INSTANCE|POOL", "what to explain");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, store, list, name, end };
	void *ctx = talloc_new(NULL);
	tool_fleet_t tool = { .ctx = ctx, .out = out, .err = err };
	int status = TOOL_OK;
	char *said;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	status = TOOL_USAGE;
	if (!tool_fleet_open(&tool, store->sval[0], list->sval[0]))
		goto out;
	status = TOOL_UNREACHABLE;
	if (!tool_fleet_decide(&tool))
		goto out;
	status = TOOL_REFUSED;
	said = fleet_explain(tool.fleet, ctx, name->sval[0], tool.now);
	if (!said) {
		fprintf(err, "no instance or pool is called %s\n",
			name->sval[0]);
		goto out;
	}
	fprintf(out, "%s\n", said);
	status = TOOL_OK;
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}
