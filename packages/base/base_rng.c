#include "base_int.h"

uint64_t base_rng_next(base_rng_t *rng)
{
	uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint32_t base_rng_below(base_rng_t *rng, uint32_t n)
{
	uint64_t high = base_rng_next(rng) >> 32;

	return (uint32_t)((high * n) >> 32);
}

double base_rng_unit(base_rng_t *rng)
{
	return (double)(base_rng_next(rng) >> 11) / 9007199254740992.0;
}
