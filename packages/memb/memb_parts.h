/*
 * memb_parts - a configuration split into parts, so that a pull transfers only
 * the parts that differ.
 *
 * The text is cut between elements of its JSON arrays (content-defined
 * chunking): a hash of the element before a cut decides whether to cut there.
 * Inserting or deleting text therefore moves only the cuts next to it. A part
 * is identified by its digest. The joined text is not verified here: the caller
 * compares the digest of the whole.
 */
#ifndef MEMB_PARTS_H
#define MEMB_PARTS_H

#include "base.h"

#define MEMB_PART_MEAN 512  /* mean size of a part, bytes */
#define MEMB_PART_MAX 4096  /* largest size of a part, bytes */
#define MEMB_PARTS_MAX 4096 /* maximum parts in one text */

typedef struct memb_part {
	base_str_t text; /* points into the text that was cut; empty: missing */
	uint64_t digest;
} memb_part_t;

typedef struct memb_parts {
	memb_part_t *items;
	size_t n;
	size_t missing; /* number of items without text */
} memb_parts_t;

/* Cut "text" into parts, allocated below "ctx"; "text" must outlive them. */
memb_parts_t *memb_parts_cut(const void *ctx, base_str_t text);

/*
 * Parts with the given digests, allocated below "ctx". A part that "held" also
 * has refers to its text there, which must outlive the result; the others are
 * missing. NULL if "n" exceeds MEMB_PARTS_MAX.
 */
memb_parts_t *memb_parts_match(const void *ctx, const uint64_t *digests,
			       size_t n, const memb_parts_t *held);

/* Store up to "max" indices of missing parts; returns their number. */
size_t memb_parts_missing(const memb_parts_t *parts, uint32_t *indices,
			  size_t max);

/*
 * Copy "text" into missing part "index". False if the digest differs, the size
 * is out of range or the part is not missing.
 */
bool memb_parts_take(memb_parts_t *parts, size_t index, base_str_t text);

/*
 * Append all parts to "out". False if one is missing, or if "out" would exceed
 * "max" bytes; it may then hold some of them.
 */
bool memb_parts_join(const memb_parts_t *parts, base_buf_t *out, size_t max);

#endif
