#include <xxhash.h>

#include "claim_int.h"

#define SLICE_SHIFT 58 /* the top 6 bits give one of 64 slices */

claim_id_t claim_id(base_str_t caller, base_str_t key)
{
	XXH128_hash_t part = XXH3_128bits(caller.ptr, caller.len);
	XXH128_hash_t digest;
	uint64_t words[4];

	/* Hash each part separately, so that "a","bc" differs from "ab","c". */
	words[0] = part.high64;
	words[1] = part.low64;
	part = XXH3_128bits(key.ptr, key.len);
	words[2] = part.high64;
	words[3] = part.low64;
	digest = XXH3_128bits(words, sizeof(words));
	return (claim_id_t){ digest.high64, digest.low64 };
}

unsigned claim_id_slice(claim_id_t id)
{
	return (unsigned)(id.hi >> SLICE_SHIFT);
}

uint64_t claim_entry_digest(base_str_t entry, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(entry.ptr, entry.len, incarnation);
}

uint64_t claim_fingerprint(base_str_t method, base_str_t target,
			   base_str_t body)
{
	uint64_t print = XXH3_64bits(method.ptr, method.len);

	print = XXH3_64bits_withSeed(target.ptr, target.len, print);
	return XXH3_64bits_withSeed(body.ptr, body.len, print);
}
