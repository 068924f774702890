/*
 * Estimates the size and run time of jobs from earlier runs of their family.
 *
 * The next sample exceeds the maximum of n samples with a probability of
 * 1 / (n + 1), so that the margin is wide for few samples.  With enough samples
 * a high quantile is used instead of the maximum, because it does not depend
 * on a single outlier.
 */
#include "jobs_int.h"

/* Without samples a job gets this multiple of its declared size. */
#define DECLARED_FACTOR 2
#define QUANTILE_MARGIN_PERCENT 105 /* padded size, percent of the quantile */
/* Counts assumed for a family before any run is seen. */
#define PRIOR_FAILURES 1.0
#define PRIOR_RUNS 10.0
#define FAIL_RATE_MIN 0.01
#define FAIL_RATE_MAX 0.8
/* The counts of runs and failures are halved above this. */
#define RUNS_DECAY_THRESHOLD 200.0

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

void jobs_family_add_sample(jobs_family_t *family, const jobs_res_t *peak,
			    int64_t run_us)
{
	uint32_t at = family->n % JOBS_SAMPLES;

	for (int k = 0; k < JOBS_KIND_MAX; k++)
		family->peak[k][at] = peak->v[k];
	family->run_us[at] = run_us;
	family->n++;
	/*
	 * Reset the highest usage of running tasks every JOBS_SAMPLES samples;
	 * the reports of running tasks raise it again.
	 */
	if (at == JOBS_SAMPLES - 1)
		family->running = (jobs_res_t){ { 0 } };
	jobs_family_relearn(family);
}

void jobs_family_raise_running(jobs_family_t *family, const jobs_res_t *peak)
{
	jobs_raise(&family->running, peak);
}

jobs_res_t jobs_family_size(const jobs_family_t *family,
			    const jobs_res_t *declared)
{
	jobs_res_t size = family->padded_size;

	if (!family->n) {
		size = *declared;
		for (int k = 0; k < JOBS_KIND_MAX; k++)
			size.v[k] *= DECLARED_FACTOR;
	}
	if (family->n < JOBS_QUANTILE_SAMPLES)
		jobs_raise(&size, &family->running);
	/* Accelerators are allocated as declared. */
	size.v[JOBS_ACCELERATORS] = declared->v[JOBS_ACCELERATORS];
	return size;
}

double jobs_family_fail_rate(const jobs_family_t *family)
{
	double p =
		(family->fails + PRIOR_FAILURES) / (family->runs + PRIOR_RUNS);

	return CLAMP(p, FAIL_RATE_MIN, FAIL_RATE_MAX);
}

jobs_res_t jobs_need(const jobs_t *jobs, const jobs_job_t *job)
{
	const jobs_family_t *family = job->family;
	jobs_res_t need = jobs_family_size(family, &job->spec.declared);
	jobs_res_t known =
		family->n ? family->peak_quantile : job->spec.declared;

	jobs_raise(&need, &job->peak);
	jobs_raise(&known, &job->peak);
	/*
	 * The margin must not exclude a job whose known size fits, and a job
	 * that is larger than every worker gets a whole one.
	 */
	for (int k = 0; k < JOBS_KIND_MAX; k++) {
		int64_t upper = MIN(job->team->quota.v[k], jobs->largest.v[k]);

		if (k == JOBS_ACCELERATORS)
			continue;
		if (jobs->largest.v[k])
			known.v[k] = MIN(known.v[k], jobs->largest.v[k]);
		need.v[k] = MIN(need.v[k], MAX(known.v[k], upper));
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
		bool use_quantile = n >= JOBS_QUANTILE_SAMPLES;
		int64_t high =
			quantile(family->peak[k], n, use_quantile ? 95 : 100);

		family->peak_quantile.v[k] = high;
		family->padded_size.v[k] =
			use_quantile ? high * QUANTILE_MARGIN_PERCENT / 100
				     : high + (high + n - 1) / n;
	}
	family->run_us_q90 = quantile(family->run_us, n, 90);
	if (family->runs > RUNS_DECAY_THRESHOLD) {
		family->runs /= 2;
		family->fails /= 2;
	}
}

/* The smallest sample that at least "percent" of them do not exceed. */
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
