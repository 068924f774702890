/*
 * How long tasks and jobs take: declared estimates are rough, so they are
 * mixed with what tasks of the same queue took.
 */
#include <math.h>

#include "batch_int.h"

#define LEARN_PART 0.02	  /* weight of one more task: the last fifty count */
#define LEARN_MIN 20	  /* tasks before the mean says more than estimates */
#define DECLARED_PART 0.4 /* weight of the estimate, on a log scale */

void batch_learn(batch_queue_t *queue, int64_t took)
{
	double part = LEARN_PART;

	if (took <= 0)
		return;
	queue->ended++;
	if (queue->ended < (uint64_t)(1 / LEARN_PART))
		part = 1.0 / (double)queue->ended;
	queue->mean_run += part * ((double)took - queue->mean_run);
}

int64_t batch_task_estimate(const batch_queue_t *queue,
			    const batch_step_spec_t *spec)
{
	double declared =
		spec->estimate > 0 ? (double)spec->estimate : (double)BASE_SEC;

	if (!queue || queue->ended < LEARN_MIN || queue->mean_run <= 0)
		return (int64_t)declared;
	return (int64_t)(pow(declared, DECLARED_PART) *
			 pow(queue->mean_run, 1 - DECLARED_PART));
}

/*
 * The longest chain of steps, microseconds; with "remaining" only of what is
 * not done in the first occurrence.
 */
int64_t batch_chain(const batch_job_t *job, bool remaining)
{
	const batch_occ_t *occ = job->occs && job->occs->len
					 ? g_ptr_array_index(job->occs, 0)
					 : NULL;
	int64_t ends[BATCH_STEPS_MAX] = { 0 };
	int64_t longest = 0;
	int i;
	int j;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];

		for (j = 0; j < i; j++)
			if ((spec->after >> j & 1) && ends[j] > ends[i])
				ends[i] = ends[j];
		if (remaining && occ && occ->steps[i].done == spec->count)
			continue;
		if (!spec->lasting)
			ends[i] += batch_task_estimate(job->queue, spec);
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

/* From its arrival, within which a job earns in full. */
int64_t batch_objective(const batch_job_t *job)
{
	if (!job->queue || !job->spec.n_steps)
		return 0;
	return (int64_t)(job->queue->stretch *
			 (double)batch_chain(job, false)) +
	       job->queue->target_latency;
}
