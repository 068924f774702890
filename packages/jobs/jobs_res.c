/* Arithmetic on amounts of cores, memory and accelerators. */
#include "jobs_int.h"

bool jobs_fits(const jobs_res_t *need, const jobs_res_t *avail)
{
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		if (need->v[k] > avail->v[k])
			return false;
	return true;
}

void jobs_add(jobs_res_t *to, const jobs_res_t *res)
{
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		to->v[k] += res->v[k];
}

void jobs_sub(jobs_res_t *from, const jobs_res_t *res)
{
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		from->v[k] -= res->v[k];
}

jobs_res_t jobs_difference(const jobs_res_t *a, const jobs_res_t *b)
{
	jobs_res_t out = *a;

	jobs_sub(&out, b);
	return out;
}

bool jobs_raise(jobs_res_t *to, const jobs_res_t *least)
{
	bool raised = false;

	for (int k = 0; k < JOBS_KIND_MAX; k++) {
		if (least->v[k] <= to->v[k])
			continue;
		to->v[k] = least->v[k];
		raised = true;
	}
	return raised;
}

bool jobs_is_negative(const jobs_res_t *res)
{
	for (int k = 0; k < JOBS_KIND_MAX; k++)
		if (res->v[k] < 0)
			return true;
	return false;
}
