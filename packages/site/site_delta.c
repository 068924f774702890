#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "memb_parts.h"
#include "site_config.h"

/*
 * A delta is a list: [offset, bytes] copies from the text before, a string is
 * put as it is.  What is alike is found by the parts that peers exchange, and
 * between those by a few bytes, and stretched byte by byte.
 */

#define DIGEST_LEN 17 /* of its text, with the end */
#define ANCHOR 32     /* bytes by which a copy is found between parts */

typedef struct diff {
	base_str_t from, to;
	json_t *list;
	size_t done; /* bytes of "to" that the list makes */
} diff_t;

/* Bytes that both texts have. */
typedef struct run {
	size_t from, at, len;
} run_t;

typedef struct delta {
	json_t *root;
	json_int_t generation; /* that it leads to */
	json_int_t bytes;
	const char *from, *to; /* digests */
	const json_t *list;
} delta_t;

static json_t *diff(base_str_t from, base_str_t to);
static void copy_parts(diff_t *d, size_t until);
static void copy(diff_t *d, size_t from_at, size_t at);
static void fill(diff_t *d, size_t until);
static run_t stretch(const diff_t *d, size_t from_at, size_t at, size_t until);
static void add(diff_t *d, const run_t *run);
static void put(diff_t *d, size_t until);
static size_t alike_at_end(base_str_t a, base_str_t b);
static bool inside_char(base_str_t text, size_t at);
static bool load(base_str_t text, delta_t *delta);
static bool join(const delta_t *delta, base_str_t held, base_buf_t *out);
static bool join_step(const json_t *step, base_str_t held, base_buf_t *out);
static void print_digest(base_str_t text, char *out);

char *site_delta_make(const void *ctx, const site_config_t *from,
		      const site_config_t *to)
{
	char from_digest[DIGEST_LEN], to_digest[DIGEST_LEN];
	site_config_t check = { 0 };
	void *tmp = talloc_new(NULL);
	char *text = NULL, *dump;
	json_t *root;

	print_digest(from->text, from_digest);
	print_digest(to->text, to_digest);
	root = json_pack("{s:I,s:I,s:s,s:s,s:o}", "generation",
			 (json_int_t)to->generation, "bytes",
			 (json_int_t)to->text.len, "from", from_digest, "to",
			 to_digest, "delta", diff(from->text, to->text));
	dump = json_dumps(root, JSON_COMPACT);
	if (dump && strlen(dump) <= to->text.len / SITE_DELTA_PART &&
	    site_delta_apply(tmp, base_str(dump), from, &check))
		text = talloc_strdup(ctx, dump);
	free(dump);
	json_decref(root);
	talloc_free(tmp);
	return text;
}

bool site_delta_apply(const void *ctx, base_str_t delta,
		      const site_config_t *held, site_config_t *out)
{
	char digest[DIGEST_LEN];
	base_buf_t *buf = base_buf_new(ctx);
	bool good = false;
	delta_t d;

	print_digest(held->text, digest);
	if (load(delta, &d) && d.generation - 1 == held->generation &&
	    !strcmp(d.from, digest) && join(&d, held->text, buf)) {
		print_digest(base_buf_str(buf), digest);
		good = !strcmp(d.to, digest);
	}
	json_decref(d.root);
	if (!good) {
		talloc_free(buf);
		return false;
	}
	*out = (site_config_t){ base_buf_str(buf), held->generation + 1 };
	return true;
}

bool site_delta_reaches(base_str_t delta, const site_config_t *held)
{
	char digest[DIGEST_LEN];
	delta_t d;
	bool same;

	print_digest(held->text, digest);
	same = load(delta, &d) && d.generation == held->generation &&
	       !strcmp(d.to, digest);
	json_decref(d.root);
	return same;
}

static json_t *diff(base_str_t from, base_str_t to)
{
	diff_t d = { from, to, json_array(), 0 };
	size_t end = to.len - alike_at_end(from, to);

	copy(&d, 0, 0);
	copy_parts(&d, end);
	end = MAX(end, d.done);
	copy(&d, from.len - (to.len - end), end);
	fill(&d, to.len);
	return d.list;
}

static void copy_parts(diff_t *d, size_t until)
{
	void *ctx = talloc_new(NULL);
	memb_parts_t *held = memb_parts_cut(ctx, d->from);
	memb_parts_t *want = memb_parts_cut(ctx, d->to), *parts;
	uint64_t *digests = talloc_array(ctx, uint64_t, want->n);
	size_t at = 0;

	for (size_t i = 0; i < want->n; i++)
		digests[i] = want->items[i].digest;
	parts = memb_parts_match(ctx, digests, want->n, held);
	for (size_t i = 0; parts && i < want->n && at < until; i++) {
		size_t len = want->items[i].text.len;
		size_t skip = d->done > at ? d->done - at : 0;

		if (parts->items[i].text.len && skip < len)
			copy(d,
			     (size_t)(parts->items[i].text.ptr - d->from.ptr) +
				     skip,
			     at + skip);
		at += len;
	}
	talloc_free(ctx);
}

/* What is alike around these two places, and before it what else is. */
static void copy(diff_t *d, size_t from_at, size_t at)
{
	run_t run = stretch(d, from_at, at, d->to.len);

	if (!run.len)
		return;
	fill(d, run.at);
	add(d, &run);
}

/* Copy what can be found anywhere, put the rest. */
static void fill(diff_t *d, size_t until)
{
	for (size_t at = d->done; at + ANCHOR <= until;
	     at = MAX(at + ANCHOR, d->done)) {
		const char *hit = memmem(d->from.ptr, d->from.len,
					 d->to.ptr + at, ANCHOR);
		run_t run = { 0 };

		if (hit)
			run = stretch(d, (size_t)(hit - d->from.ptr), at,
				      until);
		if (run.len)
			add(d, &run);
	}
	put(d, until);
}

/* Within what is not done yet and "until"; a character is never cut. */
static run_t stretch(const diff_t *d, size_t from_at, size_t at, size_t until)
{
	base_str_t from = d->from, to = d->to;
	size_t len = 0;

	while (at > d->done && from_at &&
	       from.ptr[from_at - 1] == to.ptr[at - 1])
		from_at--, at--;
	while (inside_char(to, at))
		from_at++, at++;
	while (from_at + len < from.len && at + len < until &&
	       from.ptr[from_at + len] == to.ptr[at + len])
		len++;
	while (len && inside_char(to, at + len))
		len--;
	return (run_t){ from_at, at, len };
}

static void add(diff_t *d, const run_t *run)
{
	put(d, run->at);
	json_array_append_new(d->list, json_pack("[I,I]", (json_int_t)run->from,
						 (json_int_t)run->len));
	d->done = run->at + run->len;
}

static void put(diff_t *d, size_t until)
{
	if (until > d->done)
		json_array_append_new(d->list, json_stringn(d->to.ptr + d->done,
							    until - d->done));
	d->done = MAX(d->done, until);
}

static size_t alike_at_end(base_str_t a, base_str_t b)
{
	size_t n = 0;

	while (n < a.len && n < b.len &&
	       a.ptr[a.len - 1 - n] == b.ptr[b.len - 1 - n])
		n++;
	return n;
}

/* Whether UTF-8 has a character go on there. */
static bool inside_char(base_str_t text, size_t at)
{
	return at < text.len && ((unsigned char)text.ptr[at] & 0xc0) == 0x80;
}

/* The caller releases the root, also when it is wrong. */
static bool load(base_str_t text, delta_t *delta)
{
	memset(delta, 0, sizeof(*delta));
	delta->root =
		json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, NULL);
	return !json_unpack(delta->root, "{s:I,s:I,s:s,s:s,s:o!}", "generation",
			    &delta->generation, "bytes", &delta->bytes, "from",
			    &delta->from, "to", &delta->to, "delta",
			    &delta->list) &&
	       delta->generation > 1 && delta->bytes > 0 &&
	       delta->bytes <= PLAT_VALUE_MAX && json_is_array(delta->list);
}

static bool join(const delta_t *delta, base_str_t held, base_buf_t *out)
{
	size_t bytes = (size_t)delta->bytes, i;
	json_t *step;

	json_array_foreach(delta->list, i, step)
	{
		if (!join_step(step, held, out) || out->len > bytes)
			return false;
	}
	return out->len == bytes;
}

static bool join_step(const json_t *step, base_str_t held, base_buf_t *out)
{
	json_int_t at, len;

	if (json_is_string(step)) {
		base_buf_add(out, json_string_value(step),
			     json_string_length(step));
		return true;
	}
	if (json_unpack((json_t *)step, "[I,I!]", &at, &len) || at < 0 ||
	    len < 0 || at > (json_int_t)held.len ||
	    len > (json_int_t)held.len - at)
		return false;
	base_buf_add(out, held.ptr + at, (size_t)len);
	return true;
}

static void print_digest(base_str_t text, char *out)
{
	snprintf(out, DIGEST_LEN, "%016llx",
		 (unsigned long long)XXH64(text.ptr, text.len, 0));
}
