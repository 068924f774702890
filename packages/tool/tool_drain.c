#include "tool_fleet.h"

/*
 * drain: place or withdraw an operator's order for one instance.
 */

typedef struct order {
	const char *id;
	fleet_purpose_t purpose;
} order_t;

static char *edit_orders(tool_fleet_t *tool, base_str_t old, void *arg);

int tool_drain(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_str *store = tool_arg_store(1);
	struct arg_lit *reboot =
		arg_lit0(NULL, "reboot", "reboot it once, then return it");
	struct arg_lit *undo = arg_lit0(NULL, "undo", "withdraw the order");
	struct arg_str *name = arg_str1(NULL, NULL, "INSTANCE", "which");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, store, reboot, undo, name, end };
	void *ctx = talloc_new(NULL);
	tool_fleet_t tool = { .ctx = ctx, .out = out, .err = err };
	order_t order = { .purpose = FLEET_FOR_HOLD };
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	status = TOOL_USAGE;
	if (!tool_fleet_open(&tool, store->sval[0], NULL))
		goto out;
	order.id = name->sval[0];
	if (reboot->count)
		order.purpose = FLEET_FOR_URGENT;
	if (undo->count)
		order.purpose = FLEET_FOR_NONE;
	status = tool_fleet_edit(&tool, FLEET_ORDERS_KEY, edit_orders, &order);
	if (status == TOOL_OK)
		fprintf(out, "%s: order %s\n", order.id,
			undo->count ? "withdrawn" : "placed");
out:
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static char *edit_orders(tool_fleet_t *tool, base_str_t old, void *arg)
{
	const order_t *order = arg;
	char *value = fleet_order_edit(tool->ctx, old, order->id,
				       order->purpose, base_clock_wall());

	if (!value)
		fprintf(tool->err,
			"the orders in the store cannot be decoded\n");
	return value;
}
