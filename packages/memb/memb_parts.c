#include "memb_parts.h"

#include <xxhash.h>

static size_t part_len(base_str_t text);
static bool is_element_start(base_str_t text, size_t at);
static bool is_boundary_after(const char *element, size_t len);
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
	GHashTable *held_by_digest =
		g_hash_table_new(g_int64_hash, g_int64_equal);
	memb_parts_t *parts = NULL;

	for (size_t i = 0; i < held->n; i++)
		g_hash_table_insert(held_by_digest, &held->items[i].digest,
				    &held->items[i]);
	if (n <= MEMB_PARTS_MAX) {
		parts = talloc_zero(ctx, memb_parts_t);
		parts->items = talloc_zero_array(parts, memb_part_t, n);
		parts->n = n;
	}
	for (size_t i = 0; parts && i < n; i++) {
		const memb_part_t *found =
			g_hash_table_lookup(held_by_digest, &digests[i]);

		if (found)
			parts->items[i] = *found;
		else
			parts->missing++;
		parts->items[i].digest = digests[i];
	}
	g_hash_table_destroy(held_by_digest);
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
	size_t max = MIN(text.len, (size_t)MEMB_PART_MAX), element_start = 0;

	for (size_t i = 1; i < max; i++) {
		if (!is_element_start(text, i))
			continue;
		if (is_boundary_after(text.ptr + element_start,
				      i - element_start))
			return i;
		element_start = i;
	}
	return max;
}

static bool is_element_start(base_str_t text, size_t at)
{
	return text.ptr[at] == '{' &&
	       (text.ptr[at - 1] == ',' || text.ptr[at - 1] == '[');
}

/*
 * True with a probability proportional to the length of the element, so that
 * short and long elements give parts of the same mean size.
 */
static bool is_boundary_after(const char *element, size_t len)
{
	return XXH64(element, len, 0) % MEMB_PART_MEAN < len;
}

static void add_part(memb_parts_t *parts, base_str_t text)
{
	size_t capacity = talloc_array_length(parts->items);

	if (parts->n == capacity)
		parts->items = talloc_realloc(parts, parts->items, memb_part_t,
					      capacity ? 2 * capacity : 16);
	parts->items[parts->n++] =
		(memb_part_t){ text, XXH64(text.ptr, text.len, 0) };
}
