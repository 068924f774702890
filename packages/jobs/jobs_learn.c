/*
 * Sizes and run times as they were, not as they were declared.
 *
 * The highest of n samples is passed by the next one with a chance of
 * 1 / (n + 1), so that few samples get a wide margin; with enough of them a
 * quantile near the top is taken, which one odd run does not set for good.
 */
#include "jobs_int.h"

#define FIRST_FACTOR 2	 /* of a declared size that nothing is known of */
#define SURE_PERCENT 105 /* of the quantile */
#define FAILS_PRIOR 1.0	 /* failures ... */
#define RUNS_PRIOR 10.0	 /* ... in so many runs, before any is seen */
#define FAILS_LEAST 0.01
#define FAILS_MOST 0.8
#define RUNS_KEPT 200.0 /* older ones fade */

static int64_t quantile(const int64_t *samples, uint32_t n, uint32_t percent);
static int by_size(const void *a, const void *b);

jobs_family_t *jobs_family_get(jobs_t *jobs, base_str_t name)
{
	jobs_family_t *family;
	char *key = base_str_dup(jobs, name);

	family = g_hash_table_lookup(jobs->families, key);
	if (family) {
		talloc_free(key);
		return family;
	}
	family = talloc_zero(jobs, jobs_family_t);
	family->name = talloc_steal(family, key);
	g_hash_table_insert(jobs->families, key, family);
	return family;
}

void jobs_family_ended(jobs_family_t *family, const jobs_res_t *peak,
		       int64_t run_us)
{
	uint32_t at = family->n % JOBS_SAMPLES;

	for (int k = 0; k < JOBS_KIND_MAX; k++)
		family->peak[k][at] = peak->v[k];
	family->run_us[at] = run_us;
	family->n++;
	/* What still runs is looked at anew after each round of samples. */
	if (at == JOBS_SAMPLES - 1)
		family->running = (jobs_res_t){ { 0 } };
	jobs_family_relearn(family);
}

void jobs_family_running(jobs_family_t *family, const jobs_res_t *peak)
{
	jobs_raise(&family->running, peak);
}

jobs_res_t jobs_family_size(const jobs_family_t *family,
			    const jobs_res_t *declared)
{
	jobs_res_t size = family->safe;

	if (!family->n) {
		size = *declared;
		for (int k = 0; k < JOBS_KIND_MAX; k++)
			size.v[k] *= FIRST_FACTOR;
	}
	if (family->n < JOBS_SURE)
		jobs_raise(&size, &family->running);
	/* Accelerators are handed out whole. */
	size.v[JOBS_ACCELERATORS] = declared->v[JOBS_ACCELERATORS];
	return size;
}

double jobs_family_fails(const jobs_family_t *family)
{
	double p = (family->fails + FAILS_PRIOR) / (family->runs + RUNS_PRIOR);

	return CLAMP(p, FAILS_LEAST, FAILS_MOST);
}

jobs_res_t jobs_need(const jobs_t *jobs, const jobs_job_t *job)
{
	const jobs_family_t *family = job->family;
	jobs_res_t need = jobs_family_size(family, &job->spec.declared);
	jobs_res_t known = family->n ? family->most : job->spec.declared;

	jobs_raise(&need, &job->peak);
	jobs_raise(&known, &job->peak);
	/*
	 * A margin must not keep out a job that fits as far as is known, and
	 * what is declared beyond every worker gets the whole of one.
	 */
	for (int k = 0; k < JOBS_KIND_MAX; k++) {
		int64_t most = MIN(job->team->quota.v[k], jobs->largest.v[k]);

		if (k == JOBS_ACCELERATORS)
			continue;
		if (jobs->largest.v[k])
			known.v[k] = MIN(known.v[k], jobs->largest.v[k]);
		need.v[k] = MIN(need.v[k], MAX(known.v[k], most));
	}
	return need;
}

jobs_res_t jobs_safe_size(const jobs_t *jobs, base_str_t family,
			  jobs_res_t declared)
{
	char *key = base_str_dup(NULL, family);
	const jobs_family_t *f = g_hash_table_lookup(jobs->families, key);
	const jobs_family_t none = { 0 };

	talloc_free(key);
	return jobs_family_size(f ? f : &none, &declared);
}

int64_t jobs_run_time(const jobs_t *jobs, base_str_t family)
{
	char *key = base_str_dup(NULL, family);
	const jobs_family_t *f = g_hash_table_lookup(jobs->families, key);

	talloc_free(key);
	return f ? f->run_us_q90 : 0;
}

void jobs_family_relearn(jobs_family_t *family)
{
	uint32_t n = MIN(family->n, JOBS_SAMPLES);

	for (int k = 0; k < JOBS_KIND_MAX; k++) {
		bool sure = n >= JOBS_SURE;
		int64_t most = quantile(family->peak[k], n, sure ? 95 : 100);

		family->most.v[k] = most;
		family->safe.v[k] = sure ? most * SURE_PERCENT / 100
					 : most + (most + n - 1) / n;
	}
	family->run_us_q90 = quantile(family->run_us, n, 90);
	if (family->runs > RUNS_KEPT) {
		family->runs /= 2;
		family->fails /= 2;
	}
}

/* The smallest sample that "percent" of them do not pass. */
static int64_t quantile(const int64_t *samples, uint32_t n, uint32_t percent)
{
	int64_t sorted[JOBS_SAMPLES];
	uint32_t rank = (n * percent + 99) / 100;

	memcpy(sorted, samples, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), by_size);
	return sorted[rank ? rank - 1 : 0];
}

static int by_size(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}
