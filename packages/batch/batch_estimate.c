/*
 * Run time estimates of tasks and jobs.  Declared estimates are rough, so they
 * are combined with the run times of earlier tasks of the queue.
 */
#include <jansson.h>
#include <math.h>

#include "batch_int.h"

/*
 * Weight of one more task in the learned mean; averages over about fifty tasks.
 */
#define LEARN_WEIGHT 0.02
/* With fewer finished tasks, declared estimates are more accurate. */
#define LEARN_TASKS_MIN 20
/* Weight of the declared estimate in the mean of the logarithms. */
#define DECLARED_WEIGHT 0.4

/* Longest time that is computed with, microseconds: 570 years. */
#define ESTIMATE_MAX 18014398509481984.0 /* 2^54 */

static void set_mean(batch_queue_t *queue, double mean)
{
	queue->mean_run = mean;
	queue->mean_factor = pow(mean, 1 - DECLARED_WEIGHT);
}

void batch_estimate_learn(batch_t *core, batch_queue_t *queue, int64_t took)
{
	double weight = LEARN_WEIGHT;

	if (took <= 0)
		return;
	core->run_times_changed = true;
	queue->ended++;
	if (queue->ended < (uint64_t)(1 / LEARN_WEIGHT))
		weight = 1.0 / (double)queue->ended;
	set_mean(queue,
		 queue->mean_run + weight * ((double)took - queue->mean_run));
}

const char *batch_learned_print(batch_t *core, const void *ctx)
{
	base_buf_t *out;
	GHashTableIter iter;
	gpointer value;
	bool first = true;

	if (!core->run_times_changed)
		return NULL;
	core->run_times_changed = false;
	out = base_buf_new(ctx);
	base_buf_adds(out, "{");
	g_hash_table_iter_init(&iter, core->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_queue_t *queue = value;

		if (!queue->ended)
			continue;
		base_buf_adds(out, first ? "" : ",");
		base_buf_add_json(out, base_str(queue->name));
		base_buf_addf(out, ":[%.0f,%llu]", queue->mean_run,
			      (unsigned long long)queue->ended);
		first = false;
	}
	base_buf_adds(out, "}");
	return out->ptr;
}

bool batch_learned_load(batch_t *core, base_str_t text, GError **err)
{
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *name;
	json_t *row;

	if (!json_is_object(root)) {
		g_set_error(err, BATCH_ERROR, BATCH_ERR_RECORD,
			    "the learned run times are not a JSON object");
		json_decref(root);
		return false;
	}
	json_object_foreach(root, name, row)
	{
		batch_queue_t *queue = batch_find_queue(core, base_str(name));
		double mean = json_number_value(json_array_get(row, 0));
		json_int_t ended = json_integer_value(json_array_get(row, 1));

		if (!queue || mean <= 0 || mean > ESTIMATE_MAX || ended <= 0)
			continue;
		set_mean(queue, mean);
		queue->ended = (uint64_t)ended;
	}
	json_decref(root);
	return true;
}

static double declared_estimate(const batch_step_spec_t *spec)
{
	return spec->estimate > 0 ? (double)spec->estimate : (double)BASE_SEC;
}

/* Steps that are done in "occ" do not count; "occ" NULL: all steps count. */
static batch_path_t longest_path(const batch_job_t *job, const batch_occ_t *occ)
{
	batch_path_t ends[BATCH_STEPS_MAX];
	batch_path_t longest = { 0, 0 };
	int i;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];
		uint64_t earlier = spec->depends_on & ((1ULL << i) - 1);

		ends[i] = (batch_path_t){ 0, 0 };
		for (; earlier; earlier &= earlier - 1) {
			const batch_path_t *end =
				&ends[__builtin_ctzll(earlier)];

			ends[i].factor = MAX(ends[i].factor, end->factor);
			ends[i].declared = MAX(ends[i].declared, end->declared);
		}
		if (spec->long_running ||
		    (occ && occ->steps[i].done == spec->count))
			continue;
		ends[i].factor += job->estimate_factors[i];
		ends[i].declared += (int64_t)declared_estimate(spec);
		longest.factor = MAX(longest.factor, ends[i].factor);
		longest.declared = MAX(longest.declared, ends[i].declared);
	}
	return longest;
}

void batch_estimate_init(batch_job_t *job)
{
	int i;

	job->estimate_factors =
		talloc_array(job, double, (size_t)job->spec.n_steps);
	for (i = 0; i < job->spec.n_steps; i++)
		job->estimate_factors[i] =
			pow(declared_estimate(&job->spec.steps[i]),
			    DECLARED_WEIGHT);
	job->paths = talloc_zero(job, batch_paths_t);
	job->paths->all = longest_path(job, NULL);
	job->paths->n_done = -1;
}

static bool has_learned(const batch_queue_t *queue)
{
	return queue && queue->ended >= LEARN_TASKS_MIN && queue->mean_run > 0;
}

/* The weighted geometric mean of the declared and the learned run time. */
int64_t batch_task_estimate(const batch_job_t *job, int step)
{
	const batch_queue_t *queue = job->queue;

	if (!has_learned(queue))
		return (int64_t)declared_estimate(&job->spec.steps[step]);
	return (int64_t)(job->estimate_factors[step] * queue->mean_factor);
}

static int64_t path_length(const batch_job_t *job, const batch_path_t *path)
{
	return has_learned(job->queue)
		       ? (int64_t)(path->factor * job->queue->mean_factor)
		       : path->declared;
}

int64_t batch_critical_path(const batch_job_t *job, bool remaining)
{
	const batch_occ_t *occ = job->occs && job->occs->len
					 ? g_ptr_array_index(job->occs, 0)
					 : NULL;
	batch_paths_t *paths = job->paths;

	if (!remaining || !occ)
		return path_length(job, &paths->all);
	/* Steps that are done stay done, so their number tells which are. */
	if (paths->n_done != occ->done_steps) {
		paths->n_done = occ->done_steps;
		paths->left = longest_path(job, occ);
	}
	return path_length(job, &paths->left);
}

/*
 * The objective of a job: the time from its arrival within which its end counts
 * as in time, microseconds.
 */
int64_t batch_objective(const batch_job_t *job)
{
	if (!job->queue || !job->spec.n_steps)
		return 0;
	return (int64_t)MIN(job->queue->stretch *
				    (double)batch_critical_path(job, false),
			    ESTIMATE_MAX) +
	       job->queue->target_latency;
}
