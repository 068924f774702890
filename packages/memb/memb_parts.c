#include "memb_parts.h"

#include <xxhash.h>

static size_t part_len(base_str_t text);
static bool begins_element(base_str_t text, size_t at);
static bool cuts_after(const char *element, size_t len);
static void add_part(memb_parts_t *parts, base_str_t text);

memb_parts_t *memb_parts_cut(const void *ctx, base_str_t text)
{
	memb_parts_t *parts = talloc_zero(ctx, memb_parts_t);

	while (text.len) {
		size_t len = part_len(text);

		add_part(parts, (base_str_t){ text.ptr, len });
		text.ptr += len;
		text.len -= len;
	}
	return parts;
}

memb_parts_t *memb_parts_match(const void *ctx, const uint64_t *digests,
			       size_t n, const memb_parts_t *held)
{
	GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);
	memb_parts_t *parts = NULL;

	for (size_t i = 0; i < held->n; i++)
		g_hash_table_insert(known, &held->items[i].digest,
				    &held->items[i]);
	if (n <= MEMB_PARTS_MAX) {
		parts = talloc_zero(ctx, memb_parts_t);
		parts->items = talloc_zero_array(parts, memb_part_t, n);
		parts->n = n;
	}
	for (size_t i = 0; parts && i < n; i++) {
		const memb_part_t *mine =
			g_hash_table_lookup(known, &digests[i]);

		if (mine)
			parts->items[i] = *mine;
		else
			parts->missing++;
		parts->items[i].digest = digests[i];
	}
	g_hash_table_destroy(known);
	return parts;
}

size_t memb_parts_missing(const memb_parts_t *parts, uint32_t *indices,
			  size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < parts->n && n < max; i++)
		if (!parts->items[i].text.len)
			indices[n++] = (uint32_t)i;
	return n;
}

bool memb_parts_take(memb_parts_t *parts, size_t index, base_str_t text)
{
	memb_part_t *part;

	if (index >= parts->n || !text.len || text.len > MEMB_PART_MAX)
		return false;
	part = &parts->items[index];
	if (part->text.len || XXH64(text.ptr, text.len, 0) != part->digest)
		return false;
	part->text = (base_str_t){ talloc_memdup(parts, text.ptr, text.len),
				   text.len };
	parts->missing--;
	return true;
}

bool memb_parts_join(const memb_parts_t *parts, base_buf_t *out, size_t max)
{
	if (parts->missing)
		return false;
	for (size_t i = 0; i < parts->n; i++) {
		base_str_t text = parts->items[i].text;

		if (out->len + text.len > max)
			return false;
		base_buf_add(out, text.ptr, text.len);
	}
	return true;
}

static size_t part_len(base_str_t text)
{
	size_t max = MIN(text.len, (size_t)MEMB_PART_MAX), from = 0;

	for (size_t i = 1; i < max; i++) {
		if (!begins_element(text, i))
			continue;
		if (cuts_after(text.ptr + from, i - from))
			return i;
		from = i;
	}
	return max;
}

static bool begins_element(base_str_t text, size_t at)
{
	return text.ptr[at] == '{' &&
	       (text.ptr[at - 1] == ',' || text.ptr[at - 1] == '[');
}

/* As likely as it is long, so that short and long ones make equal parts. */
static bool cuts_after(const char *element, size_t len)
{
	return XXH64(element, len, 0) % MEMB_PART_MEAN < len;
}

static void add_part(memb_parts_t *parts, base_str_t text)
{
	size_t room = talloc_array_length(parts->items);

	if (parts->n == room)
		parts->items = talloc_realloc(parts, parts->items, memb_part_t,
					      room ? 2 * room : 16);
	parts->items[parts->n++] =
		(memb_part_t){ text, XXH64(text.ptr, text.len, 0) };
}
