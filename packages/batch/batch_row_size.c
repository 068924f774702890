/*
 * Keeps a job's row within what a value of the store holds.  The store refuses
 * a change that has a larger one, and with it all other rows of that change,
 * each time that it is repeated.
 *
 * A job whose tasks alone would take too much is refused when it is submitted.
 * Of an accepted one no more tasks are started while its row is nearly full,
 * and checkpoints are left out of a row that would be too large otherwise: the
 * job then loses work if the holder changes, and nothing else.
 */
#include "batch_int.h"

/* Bytes of a task that is done, and of what a start adds to that. */
#define ROW_DONE_BYTES 32
#define ROW_RUN_BYTES 120
/* Parts of the largest value: for tasks that are done, and for those and runs.
 * The rest is for what else happens to runs (batch_record.c). */
#define ROW_DONE_PART 0.75
#define ROW_START_PART 0.875

/*
 * Steps that one of them has to wait for are never listed together.  So no more
 * tasks are listed at once than the sum, over chains that cover all steps, of
 * the largest step of each.
 */
static int64_t count_listed_most(const batch_spec_t *spec)
{
	uint64_t before[BATCH_STEPS_MAX] = { 0 };
	int last[BATCH_STEPS_MAX];
	int64_t largest[BATCH_STEPS_MAX];
	int64_t most = 0;
	int n_chains = 0;
	int s;
	int i;

	for (s = 0; s < spec->n_steps; s++) {
		int64_t count = spec->steps[s].count;

		for (i = 0; i < s; i++)
			if (spec->steps[s].depends_on >> i & 1)
				before[s] |= before[i] | (uint64_t)1 << i;
		for (i = 0; i < n_chains; i++)
			if (before[s] >> last[i] & 1)
				break;
		if (i == n_chains)
			largest[n_chains++] = 0;
		last[i] = s;
		largest[i] = MAX(largest[i], count);
	}
	for (i = 0; i < n_chains; i++)
		most += largest[i];
	return most;
}

bool batch_spec_fits(const batch_spec_t *spec, size_t row_max, GError **err)
{
	int64_t most = count_listed_most(spec);
	double room = ROW_DONE_PART * (double)row_max;

	if (!row_max || (double)most * ROW_DONE_BYTES <= room)
		return true;
	g_set_error(err, BATCH_ERROR, BATCH_ERR_SPEC,
		    "the job may have %lld tasks open at once, the store holds "
		    "the state of %lld",
		    (long long)most, (long long)(room / ROW_DONE_BYTES));
	return false;
}

bool batch_row_may_grow(const batch_job_t *job, int starts)
{
	size_t max = job->core->options.row_max;
	double length = (double)job->row_length +
			(double)ROW_RUN_BYTES *
				MAX(job->n_runs - job->row_runs + starts, 0);

	return !max || !job->n_runs || length <= ROW_START_PART * (double)max;
}

base_str_t batch_row_print(const void *ctx, batch_job_t *job)
{
	size_t max = job->core->options.row_max;
	base_str_t row = batch_record_print(ctx, job, true);

	if (max && (double)row.len > ROW_START_PART * (double)max)
		row = batch_record_print(ctx, job, false);
	job->row_length = row.len;
	job->row_runs = job->n_runs;
	return row;
}
