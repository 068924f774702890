/*
 * Critical paths of random jobs against a plain computation.
 */
#include "../batch_int.h"

#define JOBS 500
#define SEED 1

/* The longest chain of steps, computed step by step. */
static int64_t plain_path(const batch_job_t *job, const batch_occ_t *occ)
{
	int64_t ends[BATCH_STEPS_MAX] = { 0 };
	int64_t longest = 0;
	int i;
	int j;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];

		for (j = 0; j < i; j++)
			if (spec->depends_on >> j & 1)
				ends[i] = MAX(ends[i], ends[j]);
		if (occ && occ->steps[i].done == spec->count)
			continue;
		if (!spec->long_running)
			ends[i] += batch_task_estimate(job, i);
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

/* Each step's estimate may be rounded by a microsecond. */
static void check_path(batch_job_t *job, const batch_occ_t *occ)
{
	int64_t difference =
		batch_critical_path(job, occ != NULL) - plain_path(job, occ);

	g_assert_cmpint(ABS(difference), <=, job->spec.n_steps);
}

static uint64_t random_steps(base_rng_t *rng, int before)
{
	uint64_t half = base_rng_next(rng);

	/* A quarter of the earlier steps. */
	return half & base_rng_next(rng) & ((1ULL << before) - 1);
}

static batch_job_t *random_job(batch_t *core, base_rng_t *rng, int number)
{
	batch_step_spec_t steps[BATCH_STEPS_MAX] = { 0 };
	char *id = talloc_asprintf(core, "j%d", number);
	batch_spec_t spec = { .id = base_str(id),
			      .queue = BASE_STR("q"),
			      .steps = steps,
			      .n_steps = 1 + (int)base_rng_below(
						     rng, BATCH_STEPS_MAX) };
	batch_job_t *job;
	int i;

	for (i = 0; i < spec.n_steps; i++) {
		steps[i].count = 1;
		steps[i].estimate = base_rng_below(rng, 5 * BASE_SEC);
		steps[i].long_running = !base_rng_below(rng, 8);
		steps[i].depends_on = random_steps(rng, i);
	}
	job = batch_job_new(core, &spec);
	batch_occ_new(job, 0);
	return job;
}

static void test_paths_of_random_jobs(void)
{
	batch_ops_t ops = { 0 };
	batch_options_t options = { .ops = &ops };
	batch_queue_info_t info = { .name = BASE_STR("q"),
				    .pool = BASE_STR("p") };
	batch_pool_info_t pool = { .name = BASE_STR("p") };
	batch_t *core = batch_new(NULL, &options);
	base_rng_t rng = { SEED };
	batch_queue_t *queue;
	int n;
	int i;

	batch_config(core, &info, 1, &pool, 1);
	queue = batch_find_queue(core, BASE_STR("q"));
	for (n = 0; n < JOBS; n++) {
		batch_job_t *job = random_job(core, &rng, n);
		batch_occ_t *occ = g_ptr_array_index(job->occs, 0);

		check_path(job, NULL);
		for (i = 0; i < job->spec.n_steps; i++) {
			check_path(job, occ);
			occ->steps[i].done++;
			occ->done_steps++;
			batch_estimate_learn(core, queue,
					     base_rng_below(&rng, BASE_SEC));
		}
		check_path(job, occ);
		check_path(job, NULL);
	}
	talloc_free(core);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-estimate/paths-of-random-jobs",
			test_paths_of_random_jobs);
	return g_test_run();
}
