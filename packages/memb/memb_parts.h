/*
 * memb_parts - a configuration in parts, so that only those are pulled that
 * differ.
 *
 * A text is cut between elements of its JSON arrays, where the element before
 * the cut says so by its own bytes: a change moves the cuts next to it and no
 * others, whatever it adds or takes away.  A part is known by its digest.
 * Nothing here says that the whole is right: that is for the digest of the
 * whole.
 */
#ifndef MEMB_PARTS_H
#define MEMB_PARTS_H

#include "base.h"

#define MEMB_PART_MEAN 512  /* bytes */
#define MEMB_PART_MAX 4096  /* bytes */
#define MEMB_PARTS_MAX 4096 /* parts of a text */

typedef struct memb_part {
	base_str_t text; /* within the text that was cut; empty: missing */
	uint64_t digest;
} memb_part_t;

typedef struct memb_parts {
	memb_part_t *items;
	size_t n;
	size_t missing; /* of them */
} memb_parts_t;

/* Cut "text" into parts below "ctx"; "text" has to stay. */
memb_parts_t *memb_parts_cut(const void *ctx, base_str_t text);

/*
 * The parts of those digests below "ctx", as far as "held" has them; what
 * hangs from "held" has to stay.  NULL: more than MEMB_PARTS_MAX.
 */
memb_parts_t *memb_parts_match(const void *ctx, const uint64_t *digests,
			       size_t n, const memb_parts_t *held);

/* Up to "max" indices of missing parts. */
size_t memb_parts_missing(const memb_parts_t *parts, uint32_t *indices,
			  size_t max);

/* Take a copy of part "index"; false if it isn't that one or isn't missing. */
bool memb_parts_take(memb_parts_t *parts, size_t index, base_str_t text);

/* Put all parts behind "out"; false if one is missing or they pass "max". */
bool memb_parts_join(const memb_parts_t *parts, base_buf_t *out, size_t max);

#endif
