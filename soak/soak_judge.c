/*
 * Checks the answers that callers got against the stand-in's records of the
 * workers.
 */
#include <stdlib.h>

#include "soak_int.h"

/* Tasks of a cancelled job may still start for this long after the cancel is
 * acknowledged: cancel_ms in RULES. */
#define CANCELLED_START_MAX (4 * BASE_SEC)

/* What the workers recorded for one task. */
typedef struct task_record {
	int64_t starts;
	int64_t first_start;
	int64_t last_start;
	int64_t done;	  /* first completion; 0: none */
	int64_t last_end; /* 0: none, or it runs again */
} task_record_t;

/* The records of all tasks of one step. */
typedef struct step {
	int64_t started; /* number of tasks */
	int64_t done;
	int64_t first_start;
	int64_t last_start;
	int64_t last_done; /* latest first completion of a task */
	int64_t present;   /* tasks that run or ended a short time ago */
} step_t;

typedef struct history {
	step_t steps[SOAK_STEPS];
} job_history_t;

static void add_record(job_history_t *history, int number,
		       const task_record_t *task_record)
{
	step_t *step = &history->steps[number];

	if (!step->started || task_record->first_start < step->first_start)
		step->first_start = task_record->first_start;
	step->started++;
	step->done += task_record->done != 0;
	step->last_start = MAX(step->last_start, task_record->last_start);
	step->last_done = MAX(step->last_done, task_record->done);
	step->present +=
		!task_record->last_end ||
		base_clock_mono() - task_record->last_end < SOAK_AWAY_MAX;
}

/* Reads rows of task (ID.K.STEP.INDEX), starts, first start, last start, first
 * completion and last end into a table of job histories. */
static GHashTable *read_records(soak_t *soak, base_str_t text)
{
	GHashTable *jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	size_t i;

	if (!json_is_array(root))
		soak_report_violation(
			soak,
			"the records of the workers are not a JSON array");
	for (i = 0; i < json_array_size(root); i++) {
		const json_t *row = json_array_get(root, i);
		const char *task = json_string_value(json_array_get(row, 0));
		char **parts = g_strsplit(task ? task : "", ".", 4);
		task_record_t task_record = {
			json_integer_value(json_array_get(row, 1)),
			json_integer_value(json_array_get(row, 2)),
			json_integer_value(json_array_get(row, 3)),
			json_integer_value(json_array_get(row, 4)),
			json_integer_value(json_array_get(row, 5)),
		};
		job_history_t *history;
		long number;

		if (g_strv_length(parts) != 4) {
			soak_report_violation(
				soak,
				"a record has no task name of four parts");
			g_strfreev(parts);
			continue;
		}
		history = g_hash_table_lookup(jobs, parts[0]);
		if (!history) {
			history = g_new0(job_history_t, 1);
			g_hash_table_insert(jobs, g_strdup(parts[0]), history);
		}
		number = strtol(parts[2], NULL, 10);
		if (number >= 0 && number < SOAK_STEPS)
			add_record(history, (int)number, &task_record);
		else
			soak_report_violation(
				soak, "task %s: step number out of range",
				task);
		g_strfreev(parts);
	}
	json_decref(root);
	return jobs;
}

static void check_order(const soak_job_t *job, const job_history_t *history)
{
	const step_t *first = &history->steps[0];
	const step_t *second = &history->steps[1];

	if (!second->started)
		return;
	if (first->done < job->task_count[0] ||
	    second->first_start < first->last_done)
		soak_report_violation(
			job->soak,
			"job %s: second step started before first completed",
			job->id);
}

static void check_completed(const soak_job_t *job, const job_history_t *history)
{
	int i;

	for (i = 0; i < SOAK_STEPS; i++)
		if (history->steps[i].done < job->task_count[i] ||
		    history->steps[i].last_done > job->completed_at)
			soak_report_violation(
				job->soak,
				"job %s: reported completed with tasks left",
				job->id);
}

static void check_cancelled(const soak_job_t *job, const job_history_t *history)
{
	int i;

	for (i = 0; i < SOAK_STEPS; i++)
		if (history->steps[i].last_start >
		    job->cancelled_at + CANCELLED_START_MAX)
			soak_report_violation(
				job->soak,
				"job %s: task started %.1f s after the cancel",
				job->id,
				(double)(history->steps[i].last_start -
					 job->cancelled_at) /
					BASE_SEC);
}

static void check_long_running(const soak_job_t *job,
			       const job_history_t *history)
{
	if (job->outcome == SOAK_JOB_ACCEPTED && !job->cancel_sent &&
	    base_clock_mono() - job->accepted_at > SOAK_AWAY_MAX &&
	    history->steps[0].present < job->task_count[0])
		soak_report_violation(
			job->soak,
			"job %s: %d of %d long-running tasks do not run",
			job->id,
			job->task_count[0] - (int)history->steps[0].present,
			job->task_count[0]);
}

static void check_job(const soak_job_t *job, const job_history_t *history)
{
	static const job_history_t empty;

	if (job->outcome == SOAK_JOB_REFUSED && history)
		soak_report_violation(job->soak, "job %s: refused, but it ran",
				      job->id);
	if (job->outcome == SOAK_JOB_ACCEPTED && !job->cancel_sent &&
	    !job->completed_at && !job->is_long_running)
		soak_report_violation(job->soak,
				      "job %s: accepted, but not completed",
				      job->id);
	if (!history)
		history = &empty;
	if (job->is_long_running)
		check_long_running(job, history);
	else
		check_order(job, history);
	if (job->completed_at)
		check_completed(job, history);
	if (job->cancelled_at)
		check_cancelled(job, history);
}

void soak_check_jobs(soak_t *soak, base_str_t records)
{
	const GPtrArray *jobs = soak_callers_jobs(soak->callers);
	GHashTable *histories = read_records(soak, records);
	GHashTableIter iter;
	gpointer key;
	guint i;

	for (i = 0; i < jobs->len; i++) {
		const soak_job_t *job = g_ptr_array_index(jobs, i);

		check_job(job, g_hash_table_lookup(histories, job->id));
		g_hash_table_remove(histories, job->id);
	}
	g_hash_table_iter_init(&iter, histories);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		soak_report_violation(soak,
				      "job %s: ran, but no caller submitted it",
				      (const char *)key);
	g_hash_table_unref(histories);
}
