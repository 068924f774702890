#include "site_config.h"
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

/* What the store holds. */
typedef struct standing {
	conf_record_t *record; /* NULL: nothing was accepted yet */
	base_str_t text;
	int64_t revision;
} standing_t;

static int approve(const void *ctx, const approval_t *a);
static int settle(const void *ctx, const approval_t *a, GError *cause);
static plat_put_t put_of(const void *ctx, const standing_t *now,
			 base_str_t record);
static bool present(const void *ctx, const approval_t *a, standing_t *now,
		    int *status);
static bool is_applied(const approval_t *a, const conf_record_t *now);
static int say_applied(const approval_t *a);
static int say_moved(const approval_t *a, const conf_record_t *now);

int tool_config_approve(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_str *store = tool_arg_store(1);
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

	if (!tool_parse(argc, argv, table, end, out, err, &status))
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
	tool_progress_ask("the store");
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
	int64_t written = 0;
	GError *cause = NULL;
	standing_t now;
	plat_put_t put;
	plat_cas_t done;
	char *record;
	int status;

	if (!present(ctx, a, &now, &status))
		return status;
	/* An earlier try of this very change may have come through. */
	if (is_applied(a, now.record))
		return say_applied(a);
	if ((now.record ? now.record->generation : 0) != a->base)
		return say_moved(a, now.record);
	record = conf_record_print(ctx, now.record, base_str(a->change),
				   a->config, &cause);
	if (!record) {
		fprintf(a->err, "%s\n", cause->message);
		g_clear_error(&cause);
		return TOOL_REFUSED;
	}
	put = put_of(ctx, &now, base_str(record));
	done = a->store->ops->cas(a->store, &put, &written, &cause);
	if (done == PLAT_CAS_DONE)
		return say_applied(a);
	return settle(ctx, a, cause);
}

/* The record whole, and how it differs from the one that it replaces. */
static plat_put_t put_of(const void *ctx, const standing_t *now,
			 base_str_t record)
{
	plat_put_t put = { .key = SITE_CONFIG_KEY,
			   .value = record,
			   .expected = now->revision };

	if (now->record) {
		site_config_t from = { now->text, now->record->generation };
		site_config_t to = { record, from.generation + 1 };

		site_config_put_delta(ctx, &from, &to, &put);
	}
	return put;
}

/*
 * The write was refused or its answer was lost: what stands in the store now
 * tells, whatever came on top of it since.
 */
static int settle(const void *ctx, const approval_t *a, GError *cause)
{
	bool sent = !g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE);
	int status = TOOL_IN_DOUBT;
	standing_t now;

	if (present(ctx, a, &now, &status)) {
		status = TOOL_OK;
		if (is_applied(a, now.record))
			say_applied(a);
		else if (cause)
			status = TOOL_UNREACHABLE;
		else
			status = say_moved(a, now.record);
		if (status == TOOL_UNREACHABLE)
			fprintf(a->err, "nothing was changed: %s\n",
				cause->message);
	} else if (sent) {
		fprintf(a->err,
			"in doubt: run the same command again with "
			"--change=%s\n",
			a->change);
		status = TOOL_IN_DOUBT;
	}
	g_clear_error(&cause);
	return status;
}

/* The accepted configuration, or none.  False when it cannot be read. */
static bool present(const void *ctx, const approval_t *a, standing_t *now,
		    int *status)
{
	GError *cause = NULL;
	plat_kvs_t kvs;

	*now = (standing_t){ 0 };
	if (!a->store->ops->range(a->store, ctx, SITE_CONFIG_KEY, false, &kvs,
				  &cause)) {
		fprintf(a->err, "the store does not answer: %s\n",
			cause->message);
		*status = TOOL_UNREACHABLE;
	} else if (!kvs.count) {
		return true;
	} else {
		now->text = kvs.items[0].value;
		now->revision = kvs.items[0].mod_revision;
		now->record = conf_record_load(ctx, now->text, &cause);
		if (now->record)
			return true;
		fprintf(a->err, "the stored configuration is unreadable: %s\n",
			cause->message);
		*status = TOOL_REFUSED;
	}
	g_clear_error(&cause);
	return false;
}

static bool is_applied(const approval_t *a, const conf_record_t *now)
{
	return now && conf_record_find(now, base_str(a->change)) == a->base + 1;
}

static int say_applied(const approval_t *a)
{
	fprintf(a->out, "approved: generation %lld, change %s\n",
		(long long)a->base + 1, a->change);
	return TOOL_OK;
}

static int say_moved(const approval_t *a, const conf_record_t *now)
{
	fprintf(a->err,
		"the base has moved: you saw generation %lld, in force is "
		"%lld by change %s\n"
		"nothing was changed; read the difference again\n",
		(long long)a->base, (long long)(now ? now->generation : 0),
		now ? now->change.ptr : "none");
	return TOOL_MOVED;
}
