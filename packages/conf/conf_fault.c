/* The list of errors in a file. */
#include "conf_int.h"

static int by_line(const void *a, const void *b);
static char *printable(const void *ctx, const char *text);

conf_faults_t *conf_faults_new(const void *ctx)
{
	return talloc_zero(ctx, conf_faults_t);
}

void conf_fault_add(conf_faults_t *faults, const char *path, int line,
		    const char *found, const char *want)
{
	conf_fault_t *fault;

	faults->v =
		talloc_realloc(faults, faults->v, conf_fault_t, faults->n + 1);
	fault = &faults->v[faults->n++];
	fault->path = printable(faults, path);
	fault->line = line;
	fault->found = printable(faults, found);
	fault->want = talloc_strdup(faults, want);
}

void conf_fault_at(const conf_reader_t *rd, const char *path, const char *found,
		   const char *fmt, ...)
{
	va_list ap;
	char *want;

	va_start(ap, fmt);
	want = talloc_vasprintf(NULL, fmt, ap);
	va_end(ap);
	conf_fault_add(rd->faults, path, conf_pos_line(rd->pos, path), found,
		       want);
	talloc_free(want);
}

void conf_faults_sort(conf_faults_t *faults)
{
	if (faults->n)
		qsort(faults->v, faults->n, sizeof(*faults->v), by_line);
}

char *conf_faults_print(const void *ctx, const conf_faults_t *faults,
			const char *file)
{
	base_buf_t *buf = base_buf_new(NULL);
	char *text;

	for (size_t i = 0; i < faults->n; i++) {
		const conf_fault_t *f = &faults->v[i];

		base_buf_addf(buf, "%s:%d: %s: found %s; expected %s\n", file,
			      f->line, f->path, f->found, f->want);
	}
	text = base_str_dup(ctx, base_buf_str(buf));
	talloc_free(buf);
	return text;
}

static int by_line(const void *a, const void *b)
{
	const conf_fault_t *x = a, *y = b;
	int order = (x->line > y->line) - (x->line < y->line);

	if (!order)
		order = strcmp(x->path, y->path);
	return order ? order : strcmp(x->want, y->want);
}

/* Replaces control characters, which could control the user's terminal. */
static char *printable(const void *ctx, const char *text)
{
	char *copy = talloc_strdup(ctx, text);

	for (char *c = copy; *c; c++)
		if (g_ascii_iscntrl(*c))
			*c = '?';
	return copy;
}
