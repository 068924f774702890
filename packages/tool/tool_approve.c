#include "site_config.h"
#include "tool_int.h"

/*
 * config approve: replace the generation that the operator reviewed by a new
 * configuration, with compare-and-swap.
 */

typedef struct approval {
	FILE *out, *err;
	plat_store_t *store;
	int64_t base;	    /* generation that the operator reviewed */
	const char *change; /* id of this change */
	base_str_t config;
} approval_t;

/* The configuration in the store. */
typedef struct stored_config {
	conf_record_t *record; /* NULL: none was approved yet */
	base_str_t text;
	int64_t revision;
} stored_config_t;

static int approve(const void *ctx, const approval_t *a);
static int resolve_write(const void *ctx, const approval_t *a,
			 int64_t base_revision, GError *cause);
static plat_put_t make_put(const void *ctx, const stored_config_t *stored,
			   base_str_t record);
static bool read_stored(const void *ctx, const approval_t *a,
			stored_config_t *stored, int *status);
static bool is_applied(const approval_t *a, const conf_record_t *stored);
static int print_applied(const approval_t *a);
static int print_conflict(const approval_t *a, const conf_record_t *stored);

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
	tool_progress_set_peer("the store");
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
	stored_config_t stored;
	plat_put_t put;
	plat_cas_t result;
	char *record;
	int status;

	if (!read_stored(ctx, a, &stored, &status))
		return status;
	/* An earlier attempt at the same change may have succeeded. */
	if (is_applied(a, stored.record))
		return print_applied(a);
	if ((stored.record ? stored.record->generation : 0) != a->base)
		return print_conflict(a, stored.record);
	record = conf_record_print(ctx, stored.record, base_str(a->change),
				   a->config, &cause);
	if (!record) {
		fprintf(a->err, "%s\n", cause->message);
		g_clear_error(&cause);
		return TOOL_REFUSED;
	}
	put = make_put(ctx, &stored, base_str(record));
	result = a->store->ops->cas(a->store, &put, &written, &cause);
	if (result == PLAT_CAS_DONE)
		return print_applied(a);
	return resolve_write(ctx, a, put.expected, cause);
}

/* Builds the write: the whole record and its delta to the previous one. */
static plat_put_t make_put(const void *ctx, const stored_config_t *stored,
			   base_str_t record)
{
	plat_put_t put = { .key = SITE_CONFIG_KEY,
			   .value = record,
			   .expected = stored->revision };

	if (stored->record) {
		site_config_t from = { stored->text,
				       stored->record->generation };
		site_config_t to = { record, from.generation + 1 };

		site_config_put_delta(ctx, &from, &to, &put);
	}
	return put;
}

/*
 * Resolves a write that was refused or whose answer was lost, by reading the
 * store again.  The record lists earlier changes, so a later change does not
 * hide this one.  While the record still has "base_revision", the store may
 * carry out a write whose answer was lost.
 */
static int resolve_write(const void *ctx, const approval_t *a,
			 int64_t base_revision, GError *cause)
{
	bool sent = !g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE);
	int status = TOOL_IN_DOUBT;
	stored_config_t stored;
	bool is_read = read_stored(ctx, a, &stored, &status);

	if (is_read && is_applied(a, stored.record)) {
		print_applied(a);
		status = TOOL_OK;
	} else if (is_read && (!cause || stored.revision != base_revision)) {
		status = print_conflict(a, stored.record);
	} else if (sent) {
		fprintf(a->err,
			"in doubt: run the same command again with "
			"--change=%s\n",
			a->change);
		status = TOOL_IN_DOUBT;
	} else if (is_read) {
		fprintf(a->err, "nothing was changed: %s\n", cause->message);
		status = TOOL_UNREACHABLE;
	}
	g_clear_error(&cause);
	return status;
}

/*
 * Reads the configuration in force, if any.  Returns false after printing an
 * error when the store or the record cannot be read.
 */
static bool read_stored(const void *ctx, const approval_t *a,
			stored_config_t *stored, int *status)
{
	GError *cause = NULL;
	plat_kvs_t kvs;

	*stored = (stored_config_t){ 0 };
	if (!a->store->ops->range(a->store, ctx, SITE_CONFIG_KEY, false, &kvs,
				  &cause)) {
		fprintf(a->err, "the store does not answer: %s\n",
			cause->message);
		*status = TOOL_UNREACHABLE;
	} else if (!kvs.count) {
		return true;
	} else {
		stored->text = kvs.items[0].value;
		stored->revision = kvs.items[0].mod_revision;
		stored->record = conf_record_load(ctx, stored->text, &cause);
		if (stored->record)
			return true;
		fprintf(a->err, "the stored configuration is unreadable: %s\n",
			cause->message);
		*status = TOOL_REFUSED;
	}
	g_clear_error(&cause);
	return false;
}

static bool is_applied(const approval_t *a, const conf_record_t *stored)
{
	return stored &&
	       conf_record_find(stored, base_str(a->change)) == a->base + 1;
}

static int print_applied(const approval_t *a)
{
	fprintf(a->out, "approved: generation %lld, change %s\n",
		(long long)a->base + 1, a->change);
	return TOOL_OK;
}

static int print_conflict(const approval_t *a, const conf_record_t *stored)
{
	fprintf(a->err,
		"the base has moved: you saw generation %lld, in force is "
		"%lld by change %s\n"
		"nothing was changed; read the difference again\n",
		(long long)a->base,
		(long long)(stored ? stored->generation : 0),
		stored ? stored->change.ptr : "none");
	return TOOL_CONFLICT;
}
