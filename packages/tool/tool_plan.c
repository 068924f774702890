#include "tool_fleet.h"

/*
 * plan: print the operations that the holder would issue now, and why the other
 * instances wait.
 */

static void print_pools(const tool_fleet_t *tool);
static void print_waits(const tool_fleet_t *tool);
static void print_ops(const tool_fleet_t *tool);

int tool_plan(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_str *store = tool_arg_store(1);
	struct arg_str *list = tool_arg_list(1);
	struct arg_end *end = arg_end(8);
	void *table[] = { help, store, list, end };
	void *ctx = talloc_new(NULL);
	tool_fleet_t tool = { .ctx = ctx, .out = out, .err = err };
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	status = tool_fleet_decide(&tool, store->sval[0], list->sval[0]);
	if (status != TOOL_OK)
		goto out;
	print_pools(&tool);
	print_waits(&tool);
	print_ops(&tool);
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static void print_pools(const tool_fleet_t *tool)
{
	fleet_pool_view_t view;

	fprintf(tool->out, "%-18s %7s %6s %4s %6s %6s %10s\n", "POOL",
		"MEMBERS", "TARGET", "UP", "MIN UP", "FAILED", "MAY BE OUT");
	for (size_t i = 0; i < fleet_n_pools(tool->fleet); i++) {
		fleet_pool_view(tool->fleet, i, &view);
		fprintf(tool->out, "%-18s %7u %6u %4u %6u %6u %10d\n",
			view.name, view.members, view.target, view.up,
			view.min_up, view.failed, MAX(view.drainable, 0));
	}
	fprintf(tool->out, "\nwave: %s\n",
		fleet_wave_state_name(fleet_wave(tool->fleet)->state));
}

static void print_waits(const tool_fleet_t *tool)
{
	for (size_t i = 0; i < fleet_n_instances(tool->fleet); i++) {
		fleet_inst_view_t view;

		fleet_inst_view(tool->fleet, i, &view);
		if (view.wait_reason != FLEET_WAIT_NONE)
			fprintf(tool->out, "%s\n",
				fleet_explain(tool->fleet, tool->ctx, view.id,
					      tool->now));
	}
}

static void print_ops(const tool_fleet_t *tool)
{
	fprintf(tool->out, "\n%zu operations are due now\n", tool->ops->n);
	for (size_t i = 0; i < tool->ops->n; i++) {
		const fleet_op_t *op = &tool->ops->ops[i];

		fprintf(tool->out, "%s %s\n",
			op->kind == FLEET_OP_REBOOT ? "reboot" : "write",
			op->key);
	}
}
