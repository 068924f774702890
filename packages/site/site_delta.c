#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "memb_parts.h"
#include "site_config.h"

/*
 * A delta is a list of steps: [offset, bytes] copies a range of the source
 * text, a string is inserted literally.  Common text is found by comparing the
 * content-defined parts that peers exchange and, between those, blocks of
 * ANCHOR_LEN bytes.  Each match is then extended byte by byte.
 */

#define DIGEST_LEN 17 /* hexadecimal digits and the final NUL */
#define ANCHOR_LEN 32 /* block size of the search between parts */

typedef struct diff {
	base_str_t from, to;
	json_t *list;
	size_t done; /* bytes of "to" that the steps in "list" produce */
} diff_t;

/* A range common to both texts: "from" in the source, "at" in the target. */
typedef struct match {
	size_t from, at, len;
} match_t;

typedef struct delta {
	json_t *root;
	json_int_t generation; /* generation of the target text */
	json_int_t bytes;      /* length of the target text */
	const char *from, *to; /* digests of source and target */
	const json_t *list;
} delta_t;

static json_t *diff_texts(base_str_t from, base_str_t to);
static void append_common_parts(diff_t *d, size_t until);
static void append_match_at(diff_t *d, size_t from_at, size_t at);
static void append_until(diff_t *d, size_t until);
static match_t extend_match(const diff_t *d, size_t from_at, size_t at,
			    size_t until);
static void append_copy(diff_t *d, const match_t *match);
static void append_literal(diff_t *d, size_t until);
static size_t common_suffix_len(base_str_t a, base_str_t b);
static bool is_continuation(base_str_t text, size_t at);
static bool parse_delta(base_str_t text, delta_t *delta);
static bool apply_steps(const delta_t *delta, base_str_t held, base_buf_t *out);
static bool apply_step(const json_t *step, base_str_t held, base_buf_t *out);
static void format_digest(base_str_t text, char *out);

char *site_delta_make(const void *ctx, const site_config_t *from,
		      const site_config_t *to)
{
	char from_digest[DIGEST_LEN], to_digest[DIGEST_LEN];
	site_config_t check = { 0 };
	void *tmp = talloc_new(NULL);
	char *text = NULL, *dump;
	json_t *root;

	format_digest(from->text, from_digest);
	format_digest(to->text, to_digest);
	root = json_pack("{s:I,s:I,s:s,s:s,s:o}", "generation",
			 (json_int_t)to->generation, "bytes",
			 (json_int_t)to->text.len, "from", from_digest, "to",
			 to_digest, "delta", diff_texts(from->text, to->text));
	dump = json_dumps(root, JSON_COMPACT);
	if (dump && strlen(dump) <= to->text.len / SITE_DELTA_MIN_RATIO &&
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
	bool valid = false;
	delta_t d;

	format_digest(held->text, digest);
	if (parse_delta(delta, &d) && d.generation - 1 == held->generation &&
	    !strcmp(d.from, digest) && apply_steps(&d, held->text, buf)) {
		format_digest(base_buf_str(buf), digest);
		valid = !strcmp(d.to, digest);
	}
	json_decref(d.root);
	if (!valid) {
		talloc_free(buf);
		return false;
	}
	*out = (site_config_t){ base_buf_str(buf), held->generation + 1 };
	return true;
}

bool site_delta_produces(base_str_t delta, const site_config_t *held)
{
	char digest[DIGEST_LEN];
	delta_t d;
	bool same;

	format_digest(held->text, digest);
	same = parse_delta(delta, &d) && d.generation == held->generation &&
	       !strcmp(d.to, digest);
	json_decref(d.root);
	return same;
}

static json_t *diff_texts(base_str_t from, base_str_t to)
{
	diff_t d = { from, to, json_array(), 0 };
	size_t end = to.len - common_suffix_len(from, to);

	append_match_at(&d, 0, 0);
	append_common_parts(&d, end);
	end = MAX(end, d.done);
	append_match_at(&d, from.len - (to.len - end), end);
	append_until(&d, to.len);
	return d.list;
}

static void append_common_parts(diff_t *d, size_t until)
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
			append_match_at(d,
					(size_t)(parts->items[i].text.ptr -
						 d->from.ptr) +
						skip,
					at + skip);
		at += len;
	}
	talloc_free(ctx);
}

/* Appends the common range around two offsets, and the text before it. */
static void append_match_at(diff_t *d, size_t from_at, size_t at)
{
	match_t match = extend_match(d, from_at, at, d->to.len);

	if (!match.len)
		return;
	append_until(d, match.at);
	append_copy(d, &match);
}

/*
 * Appends the target up to "until": blocks that occur anywhere in the source as
 * copies, the rest as literals.
 */
static void append_until(diff_t *d, size_t until)
{
	for (size_t at = d->done; at + ANCHOR_LEN <= until;
	     at = MAX(at + ANCHOR_LEN, d->done)) {
		const char *found = memmem(d->from.ptr, d->from.len,
					   d->to.ptr + at, ANCHOR_LEN);
		match_t match = { 0 };

		if (found)
			match = extend_match(d, (size_t)(found - d->from.ptr),
					     at, until);
		if (match.len)
			append_copy(d, &match);
	}
	append_literal(d, until);
}

/*
 * Extends a match in both directions, between "done" and "until" in the target.
 * UTF-8 characters are not split: a JSON string cannot hold half of one.
 */
static match_t extend_match(const diff_t *d, size_t from_at, size_t at,
			    size_t until)
{
	base_str_t from = d->from, to = d->to;
	size_t len = 0;

	while (at > d->done && from_at &&
	       from.ptr[from_at - 1] == to.ptr[at - 1])
		from_at--, at--;
	while (is_continuation(to, at))
		from_at++, at++;
	while (from_at + len < from.len && at + len < until &&
	       from.ptr[from_at + len] == to.ptr[at + len])
		len++;
	while (len && is_continuation(to, at + len))
		len--;
	return (match_t){ from_at, at, len };
}

static void append_copy(diff_t *d, const match_t *match)
{
	append_literal(d, match->at);
	json_array_append_new(d->list,
			      json_pack("[I,I]", (json_int_t)match->from,
					(json_int_t)match->len));
	d->done = match->at + match->len;
}

static void append_literal(diff_t *d, size_t until)
{
	if (until > d->done)
		json_array_append_new(d->list, json_stringn(d->to.ptr + d->done,
							    until - d->done));
	d->done = MAX(d->done, until);
}

static size_t common_suffix_len(base_str_t a, base_str_t b)
{
	size_t n = 0;

	while (n < a.len && n < b.len &&
	       a.ptr[a.len - 1 - n] == b.ptr[b.len - 1 - n])
		n++;
	return n;
}

/* Whether the byte at this offset is a UTF-8 continuation byte. */
static bool is_continuation(base_str_t text, size_t at)
{
	return at < text.len && ((unsigned char)text.ptr[at] & 0xc0) == 0x80;
}

/* The caller releases delta->root, also if this returns false. */
static bool parse_delta(base_str_t text, delta_t *delta)
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

static bool apply_steps(const delta_t *delta, base_str_t held, base_buf_t *out)
{
	size_t bytes = (size_t)delta->bytes, i;
	json_t *step;

	json_array_foreach(delta->list, i, step)
	{
		if (!apply_step(step, held, out) || out->len > bytes)
			return false;
	}
	return out->len == bytes;
}

static bool apply_step(const json_t *step, base_str_t held, base_buf_t *out)
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

static void format_digest(base_str_t text, char *out)
{
	snprintf(out, DIGEST_LEN, "%016llx",
		 (unsigned long long)XXH64(text.ptr, text.len, 0));
}
