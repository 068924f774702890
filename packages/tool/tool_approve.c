#include "tool_int.h"

/*
 * config approve: write a configuration against the base that the operator
 * saw, by compare-and-swap.
 */

typedef struct approval {
	FILE *out, *err;
	plat_store_t *store;
	int64_t base;	    /* generation that the operator saw */
	const char *change; /* id of this change */
	base_str_t config;
} approval_t;

static int approve(const void *ctx, const approval_t *a);
static bool present(const void *ctx, const approval_t *a, int64_t *generation,
		    int64_t *revision, const char **change, int *status);
static int report(const approval_t *a, plat_cas_t done, int64_t generation,
		  GError *cause);
static int moved(const approval_t *a, int64_t generation, const char *change);

int tool_config_approve(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = arg_lit0("h", "help", "say this and end");
	struct arg_str *store =
		arg_str1(NULL, "store", "ADDRESS:PORT", "platform's store");
	struct arg_int *base = arg_int1(
		NULL, "base", "GENERATION",
		"generation that the difference was read against; 0: none");
	struct arg_str *change = arg_str0(
		NULL, "change", "ID", "id of this change, to repeat it safely");
	struct arg_file *file = arg_file1(NULL, NULL, "CONFIG", "generated");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, store, base, change, file, end };
	void *ctx = talloc_new(NULL);
	approval_t a = { .out = out, .err = err };
	plat_address_t address;
	char *text, *uuid = g_uuid_string_random();
	GError *cause = NULL;
	int status = TOOL_REFUSED;

	if (!tool_parse(argc, argv, table, help, end, out, err, &status))
		goto out;
	status = TOOL_USAGE;
	if (!tool_address(ctx, store->sval[0], &address, err))
		goto out;
	status = TOOL_REFUSED;
	text = tool_read_file(ctx, file->filename[0], err);
	if (!text)
		goto out;
	a.config = base_str(text);
	if (!conf_load(ctx, a.config, &cause)) {
		fprintf(err, "%s: %s\n", file->filename[0], cause->message);
		g_clear_error(&cause);
		goto out;
	}
	a.store = plat_etcd_new(ctx, &address);
	a.base = base->ival[0];
	a.change = change->count ? change->sval[0] : uuid;
	status = approve(ctx, &a);
out:
	g_free(uuid);
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static int approve(const void *ctx, const approval_t *a)
{
	int64_t generation = 0, revision = 0, written = 0;
	const char *change = "";
	GError *cause = NULL;
	plat_put_t put = { 0 };
	plat_cas_t done;
	char *record;
	int status;

	if (!present(ctx, a, &generation, &revision, &change, &status))
		return status;
	/* An earlier try of this very change has come through. */
	if (generation == a->base + 1 && !strcmp(change, a->change))
		return report(a, PLAT_CAS_DONE, generation, NULL);
	if (generation != a->base)
		return moved(a, generation, change);
	record = conf_record_print(ctx, a->base + 1, base_str(a->change),
				   a->config, &cause);
	if (!record) {
		fprintf(a->err, "%s\n", cause->message);
		g_clear_error(&cause);
		return TOOL_REFUSED;
	}
	put.key = TOOL_CONFIG_KEY;
	put.value = base_str(record);
	put.expected = revision;
	done = plat_cas_sure(a->store, &put, &written, &cause);
	return report(a, done, a->base + 1, cause);
}

static bool present(const void *ctx, const approval_t *a, int64_t *generation,
		    int64_t *revision, const char **change, int *status)
{
	conf_record_t *record;
	GError *cause = NULL;
	plat_kvs_t kvs;

	if (!a->store->ops->range(a->store, ctx, TOOL_CONFIG_KEY, false, &kvs,
				  &cause)) {
		fprintf(a->err, "the store does not answer: %s\n",
			cause->message);
		*status = TOOL_UNREACHABLE;
	} else if (!kvs.count) {
		return true;
	} else {
		record = conf_record_load(ctx, kvs.items[0].value, &cause);
		if (record) {
			*generation = record->generation;
			*revision = kvs.items[0].mod_revision;
			*change = record->change.ptr;
			return true;
		}
		fprintf(a->err, "the stored configuration is unreadable: %s\n",
			cause->message);
		*status = TOOL_REFUSED;
	}
	g_clear_error(&cause);
	return false;
}

static int report(const approval_t *a, plat_cas_t done, int64_t generation,
		  GError *cause)
{
	switch (done) {
	case PLAT_CAS_DONE:
		fprintf(a->out, "approved: generation %lld, change %s\n",
			(long long)generation, a->change);
		return TOOL_OK;
	case PLAT_CAS_CONFLICT:
		return moved(a, -1, "");
	default:
		break;
	}
	if (g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_DOWN)) {
		fprintf(a->err, "nothing was changed: %s\n", cause->message);
		g_clear_error(&cause);
		return TOOL_UNREACHABLE;
	}
	fprintf(a->err,
		"in doubt: %s\nrun the same command again with --change %s\n",
		cause ? cause->message : "no answer", a->change);
	g_clear_error(&cause);
	return TOOL_IN_DOUBT;
}

static int moved(const approval_t *a, int64_t generation, const char *change)
{
	if (generation < 0)
		fprintf(a->err, "the base has moved while approving\n");
	else
		fprintf(a->err,
			"the base has moved: you saw generation %lld, in force "
			"is %lld by change %s\n",
			(long long)a->base, (long long)generation, change);
	fprintf(a->err, "nothing was changed; read the difference again\n");
	return TOOL_MOVED;
}
