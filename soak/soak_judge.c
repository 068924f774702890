/*
 * What the workers did, by the stand-in's records, against what callers were
 * told.
 */
#include <stdlib.h>

#include "soak_int.h"

/* A cancelled job's tasks may be started so long after the acknowledgement,
 * RULES' cancel_ms. */
#define JUDGE_CANCEL (4 * BASE_SEC)

/* One task, as the workers saw it. */
typedef struct record {
	int64_t starts;
	int64_t first_start;
	int64_t last_start;
	int64_t done; /* its first end that was good; 0: none */
} record_t;

/* Tasks of one step, taken together. */
typedef struct step {
	int64_t started; /* how many of its tasks */
	int64_t done;
	int64_t first_start;
	int64_t last_start;
	int64_t last_done; /* of the first good ends */
} step_t;

typedef struct history {
	step_t steps[SOAK_STEPS];
} history_t;

static void add_record(history_t *history, int number, const record_t *record)
{
	step_t *step = &history->steps[number];

	if (!step->started || record->first_start < step->first_start)
		step->first_start = record->first_start;
	step->started++;
	step->done += record->done != 0;
	step->last_start = MAX(step->last_start, record->last_start);
	step->last_done = MAX(step->last_done, record->done);
}

/* Rows of task (ID.K.STEP.INDEX), starts, first and last start, good end. */
static GHashTable *read_records(soak_t *soak, base_str_t text)
{
	GHashTable *jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	size_t i;

	if (!json_is_array(root))
		soak_broke(soak, "the workers' records cannot be read");
	for (i = 0; i < json_array_size(root); i++) {
		const json_t *row = json_array_get(root, i);
		const char *task = json_string_value(json_array_get(row, 0));
		char **parts = g_strsplit(task ? task : "", ".", 4);
		record_t record = {
			json_integer_value(json_array_get(row, 1)),
			json_integer_value(json_array_get(row, 2)),
			json_integer_value(json_array_get(row, 3)),
			json_integer_value(json_array_get(row, 4)),
		};
		history_t *history;
		long number;

		if (g_strv_length(parts) != 4) {
			soak_broke(soak, "a record without a task");
			g_strfreev(parts);
			continue;
		}
		history = g_hash_table_lookup(jobs, parts[0]);
		if (!history) {
			history = g_new0(history_t, 1);
			g_hash_table_insert(jobs, g_strdup(parts[0]), history);
		}
		number = strtol(parts[2], NULL, 10);
		if (number >= 0 && number < SOAK_STEPS)
			add_record(history, (int)number, &record);
		else
			soak_broke(soak, "task %s is of no step", task);
		g_strfreev(parts);
	}
	json_decref(root);
	return jobs;
}

static void judge_order(const soak_job_t *job, const history_t *history)
{
	const step_t *first = &history->steps[0];
	const step_t *second = &history->steps[1];

	if (!second->started)
		return;
	if (first->done < job->count[0] ||
	    second->first_start < first->last_done)
		soak_broke(job->soak, "job %s: a step began before the first",
			   job->id);
}

static void judge_completed(const soak_job_t *job, const history_t *history)
{
	int i;

	for (i = 0; i < SOAK_STEPS; i++)
		if (history->steps[i].done < job->count[i] ||
		    history->steps[i].last_done > job->completed_at)
			soak_broke(job->soak,
				   "job %s: completed with a task to do",
				   job->id);
}

static void judge_cancelled(const soak_job_t *job, const history_t *history)
{
	int i;

	for (i = 0; i < SOAK_STEPS; i++)
		if (history->steps[i].last_start >
		    job->cancelled_at + JUDGE_CANCEL)
			soak_broke(job->soak,
				   "job %s: a start %.1f s after its cancel",
				   job->id,
				   (double)(history->steps[i].last_start -
					    job->cancelled_at) /
					   BASE_SEC);
}

static void judge_job(const soak_job_t *job, const history_t *history)
{
	static const history_t none;

	if (job->outcome == SOAK_JOB_REFUSED && history)
		soak_broke(job->soak, "job %s: refused, and ran", job->id);
	if (job->outcome == SOAK_JOB_ACCEPTED && !job->cancel_sent &&
	    !job->completed_at)
		soak_broke(job->soak, "job %s: accepted, and not completed",
			   job->id);
	if (!history)
		history = &none;
	judge_order(job, history);
	if (job->completed_at)
		judge_completed(job, history);
	if (job->cancelled_at)
		judge_cancelled(job, history);
}

void soak_judge(soak_t *soak, base_str_t records)
{
	const GPtrArray *jobs = soak_callers_jobs(soak->callers);
	GHashTable *ran = read_records(soak, records);
	GHashTableIter iter;
	gpointer key;
	guint i;

	for (i = 0; i < jobs->len; i++) {
		const soak_job_t *job = g_ptr_array_index(jobs, i);

		judge_job(job, g_hash_table_lookup(ran, job->id));
		g_hash_table_remove(ran, job->id);
	}
	g_hash_table_iter_init(&iter, ran);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		soak_broke(soak, "job %s ran, and nobody asked for it",
			   (const char *)key);
	g_hash_table_unref(ran);
}
