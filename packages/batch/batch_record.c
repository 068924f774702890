/*
 * Prints and reads a job's row: the state that a successor of the holder needs
 * in addition to the specification.
 *
 * {"state", "cancelled", "begun", "arrived" (wall, microseconds), "ended",
 *  "occurrences" (opened), "tasks": [[occurrence, step, index, done, number,
 *  fails, worker, checkpoint], ...],
 *  "done_steps": [[occurrence, step], ...],
 *  "done_occurrences": [[first occurrence, number of them], ...],
 *  "incarnations": {worker: incarnation, ...},
 *  "crashes": [[occurrence, step, index, certain, likely, shared, needs_trial,
 *  counted_run], ...],
 *  "missing": [[occurrence, step, index, run, worker, incarnation, begun,
 *  if_crashed, address, instance], ...],
 *  "failed_runs": [[occurrence, step, index, run, ...], ...],
 *  "withdrawn": [[occurrence, step, index], ...],
 *  "in_doubt": [[occurrence, step, index, run, worker, stopped_by,
 *  until (wall, microseconds)], ...],
 *  "given_up": [workers, occurrence, step, index],
 *  "copies": [[occurrence, step, index, number, worker], ...],
 *  "workspace": of a job that has ended, if it has one,
 *  "limit": [cpu, memory, gpu] of its workspace, of a job that has not ended,
 *  if there is a limit}
 *
 * The last eight, and "done_occurrences", are left out where they are empty:
 * "crashes" lists the tasks under which workers were lost, "missing" the runs
 * of lost workers that may live, with what follows if they have crashed,
 * "failed_runs" the runs that "fails" counts, "withdrawn" the tasks whose run
 * is being stopped, "in_doubt" the former starts without an answer that a
 * worker's process has refused, "given_up" names the task for which the job was
 * given up, "copies" the runs of speculative steps that "tasks" cannot name:
 * "worker" there is that of the run with the task's highest number, and of no
 * run if the task is done.  Former versions do not write them, and ignore them.
 *
 * Tasks that never had a run are left out.  The worker is empty unless a run
 * may exist there.  "done_steps" names the steps whose tasks are left out since
 * all of them are done, "done_occurrences" the occurrences of which neither
 * tasks nor steps are listed for the same reason; only a job with many tasks
 * has them, as former versions do not read them.  Former versions count in
 * "occurrences" any number that were opened and not begun.
 */
#include <jansson.h>

#include "batch_int.h"

typedef enum task_field {
	FIELD_OCCURRENCE,
	FIELD_STEP,
	FIELD_INDEX,
	FIELD_DONE,
	FIELD_NUMBER,
	FIELD_FAILS,
	FIELD_WORKER,
	FIELD_CHECKPOINT,
	FIELD_MAX
} task_field_t;

/* Tasks that are done, from which on steps are printed as done: many times more
 * than most jobs have, and far fewer than a value of the store holds. */
#define RECORD_DONE_TASKS_MAX 2000

/* Fields of "crashes"; the first three are as in task_field_t. */
typedef enum crash_field {
	CRASH_CERTAIN = FIELD_INDEX + 1,
	CRASH_LIKELY,
	CRASH_SHARED,
	CRASH_NEEDS_TRIAL,
	CRASH_COUNTED_RUN,
	CRASH_MAX
} crash_field_t;

/* Fields of "missing"; the first three are as in task_field_t. */
typedef enum missing_field {
	MISSING_RUN = FIELD_INDEX + 1,
	MISSING_WORKER,
	MISSING_INCARNATION,
	MISSING_BEGUN,
	MISSING_IF_CRASHED,
	MISSING_ADDRESS, /* former versions do not write it and the next */
	MISSING_INSTANCE
} missing_field_t;

/* Rows have many numbers, and are printed often. */
static void add_number(base_buf_t *buf, int64_t number)
{
	base_buf_add_uint(buf, (uint64_t)number);
	base_buf_add(buf, ",", 1);
}

static bool is_listed_as_copy(const batch_run_t *run)
{
	const batch_task_t *task = run->task;

	if (!batch_step_may_copy(task->step->spec))
		return false;
	return task->done ? run->holds_end : run->number != task->number;
}

/* What to print of the tasks. */
typedef struct record_options {
	bool sum_up;	       /* not those of steps that are done */
	bool with_checkpoints; /* of tasks that are not done */
} record_options_t;

static void print_task(base_buf_t *buf, const batch_task_t *task,
		       const record_options_t *options, bool *first)
{
	const batch_step_t *step = task->step;
	const batch_run_t *latest = task->copy ? task->copy : task->run;

	if (latest && is_listed_as_copy(latest))
		latest = NULL;
	if (!task->number && !task->done)
		return;
	base_buf_adds(buf, *first ? "[" : ",[");
	*first = false;
	add_number(buf, step->occ->number);
	add_number(buf, step->number);
	add_number(buf, task->index);
	add_number(buf, task->done);
	add_number(buf, task->number);
	add_number(buf, task->n_failures);
	base_buf_add_json(buf,
			  latest ? base_str(latest->worker->id) : BASE_STR(""));
	base_buf_adds(buf, ",");
	base_buf_add_json(buf, task->done || !options->with_checkpoints
				       ? BASE_STR("")
				       : base_str(task->checkpoint));
	base_buf_adds(buf, "]");
}

static bool has_worker(const GPtrArray *runs, const batch_worker_t *worker)
{
	guint i;

	for (i = 0; i < runs->len; i++)
		if (((batch_run_t *)g_ptr_array_index(runs, i))->worker ==
		    worker)
			return true;
	return false;
}

static void add_run(GPtrArray *runs, batch_run_t *run)
{
	if (run && run->incarnation && !has_worker(runs, run->worker))
		g_ptr_array_add(runs, run);
}

/* Adds a run for each worker whose incarnation is known. */
static void add_runs(GPtrArray *runs, const batch_step_t *step)
{
	int i;

	for (i = 0; i < step->spec->count; i++) {
		add_run(runs, step->tasks[i].run);
		add_run(runs, step->tasks[i].copy);
	}
}

/* They show a successor which workers have restarted since. */
static void print_incarnations(base_buf_t *buf, const batch_job_t *job)
{
	GPtrArray *runs = g_ptr_array_new();
	guint i;
	int s;

	for (i = 0; i < job->occs->len && job->n_runs; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			add_runs(runs, &occ->steps[s]);
	}
	for (i = 0; i < runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(runs, i);

		base_buf_adds(buf, i ? "," : ",\"incarnations\":{");
		base_buf_add_json(buf, base_str(run->worker->id));
		base_buf_adds(buf, ":");
		base_buf_add_int(buf, run->incarnation);
	}
	if (runs->len)
		base_buf_adds(buf, "}");
	g_ptr_array_unref(runs);
}

static bool print_crashed_task(base_buf_t *buf, const batch_task_t *task,
			       bool first)
{
	const batch_crashes_t *crashes = &task->crashes;

	if (!crashes->counted_run)
		return false;
	base_buf_addf(buf, "%s[%d,%d,%d,%d,%d,%d,%d,%" G_GINT64_FORMAT "]",
		      first ? ",\"crashes\":[" : ",", task->step->occ->number,
		      task->step->number, task->index, crashes->certain,
		      crashes->likely, crashes->shared, crashes->needs_trial,
		      crashes->counted_run);
	return true;
}

/* Fields of "in_doubt"; the first three are as in task_field_t. */
typedef enum in_doubt_field {
	IN_DOUBT_RUN = FIELD_INDEX + 1,
	IN_DOUBT_WORKER,
	IN_DOUBT_STOPPED_BY,
	IN_DOUBT_UNTIL
} in_doubt_field_t;

typedef struct list_printer {
	base_buf_t *buf;
	const batch_job_t *job;
	bool any;
} list_printer_t;

static void print_place(base_buf_t *buf, const char *place)
{
	base_buf_adds(buf, ",");
	base_buf_add_json(buf, base_str(place ? place : ""));
}

static void print_missing(void *arg, const char *worker,
			  const batch_missing_run_t *run)
{
	list_printer_t *printer = arg;

	base_buf_addf(printer->buf, "%s[%d,%d,%d,%" G_GINT64_FORMAT ",",
		      printer->any ? "," : ",\"missing\":[", run->occurrence,
		      run->step, run->index, run->run);
	base_buf_add_json(printer->buf, base_str(worker));
	base_buf_addf(printer->buf, ",%" G_GINT64_FORMAT ",%d,%d",
		      run->incarnation, run->begun, run->if_crashed);
	print_place(printer->buf, run->address);
	print_place(printer->buf, run->instance);
	base_buf_adds(printer->buf, "]");
	printer->any = true;
}

static void print_all_missing(base_buf_t *buf, const batch_job_t *job)
{
	list_printer_t printer = { .buf = buf };

	batch_missing_each(job, print_missing, &printer);
	if (printer.any)
		base_buf_adds(buf, "]");
}

static void print_in_doubt(void *arg, const batch_worker_t *worker,
			   const batch_in_doubt_start_t *start)
{
	list_printer_t *printer = arg;
	const batch_job_t *job = printer->job;

	base_buf_addf(printer->buf, "%s[%d,%d,%d,%" G_GINT64_FORMAT ",",
		      printer->any ? "," : ",\"in_doubt\":[", start->occurrence,
		      start->step, start->index, start->run);
	base_buf_add_json(printer->buf, base_str(worker->id));
	base_buf_addf(printer->buf,
		      ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT "]",
		      start->stopped_by,
		      job->arrived_wall + start->until - job->arrived);
	printer->any = true;
}

static void print_all_in_doubt(base_buf_t *buf, const batch_job_t *job)
{
	list_printer_t printer = { .buf = buf, .job = job };

	batch_doubt_each(job, print_in_doubt, &printer);
	if (printer.any)
		base_buf_adds(buf, "]");
}

static bool print_failed_runs(base_buf_t *buf, const batch_task_t *task,
			      bool first)
{
	size_t n = talloc_array_length(task->failed_runs);
	size_t i;

	if (!n || task->done)
		return false;
	base_buf_addf(buf, "%s[%d,%d,%d", first ? ",\"failed_runs\":[" : ",",
		      task->step->occ->number, task->step->number, task->index);
	for (i = 0; i < n; i++)
		base_buf_addf(buf, ",%" G_GINT64_FORMAT, task->failed_runs[i]);
	base_buf_adds(buf, "]");
	return true;
}

static bool print_withdrawn(base_buf_t *buf, const batch_task_t *task,
			    bool first)
{
	if (!task->run || !task->run->is_withdrawn)
		return false;
	base_buf_addf(buf, "%s[%d,%d,%d]", first ? ",\"withdrawn\":[" : ",",
		      task->step->occ->number, task->step->number, task->index);
	return true;
}

static bool print_copies(base_buf_t *buf, const batch_task_t *task, bool first)
{
	const batch_run_t *runs[] = { task->run, task->copy };
	bool any = false;
	int i;

	for (i = 0; i < 2; i++) {
		if (!runs[i] || !is_listed_as_copy(runs[i]))
			continue;
		base_buf_addf(buf, "%s[%d,%d,%d,%" G_GINT64_FORMAT ",",
			      first && !any ? ",\"copies\":[" : ",",
			      task->step->occ->number, task->step->number,
			      task->index, runs[i]->number);
		base_buf_add_json(buf, base_str(runs[i]->worker->id));
		base_buf_adds(buf, "]");
		any = true;
	}
	return any;
}

typedef bool print_task_list_t(base_buf_t *buf, const batch_task_t *task,
			       bool first);

/* Prints the entries that "print" makes of the job's tasks, if there are any;
 * the first one begins with the name of the list. */
static void print_task_list(base_buf_t *buf, const batch_job_t *job,
			    print_task_list_t *print)
{
	bool any = false;
	guint i;
	int s;
	int t;

	for (i = 0; i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			for (t = 0; t < occ->steps[s].spec->count; t++)
				any |= print(buf, &occ->steps[s].tasks[t],
					     !any);
	}
	if (any)
		base_buf_adds(buf, "]");
}

static int64_t count_done(const batch_job_t *job)
{
	int64_t n = (int64_t)job->n_freed_occs * batch_occ_tasks(job);
	guint i;
	int s;

	for (i = 0; job->occs && i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			n += occ->steps[s].done;
	}
	return n;
}

bool batch_record_sums_up(const batch_job_t *job)
{
	return batch_job_is_active(job) && job->occs &&
	       count_done(job) > RECORD_DONE_TASKS_MAX;
}

static bool is_step_done(const batch_step_t *step)
{
	return step->done == step->spec->count;
}

/* Prints the touched tasks. */
static void print_tasks(base_buf_t *buf, const batch_job_t *job,
			const record_options_t *options)
{
	bool first = true;
	guint i;
	int s;
	int t;

	for (i = 0; i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			for (t = 0; t < occ->steps[s].spec->count; t++)
				if (!options->sum_up ||
				    !is_step_done(&occ->steps[s]))
					print_task(buf, &occ->steps[s].tasks[t],
						   options, &first);
	}
}

static void print_done_steps(base_buf_t *buf, const batch_job_t *job)
{
	bool any = false;
	guint i;
	int s;

	for (i = 0; i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++) {
			if (!is_step_done(&occ->steps[s]))
				continue;
			base_buf_addf(buf, "%s[%d,%d]",
				      any ? "," : ",\"done_steps\":[",
				      occ->number, s);
			any = true;
		}
	}
	if (any)
		base_buf_adds(buf, "]");
}

/* Those that are freed: all that were opened and that the job does not have. */
static void print_done_occurrences(base_buf_t *buf, const batch_job_t *job)
{
	bool any = false;
	int next = 0;
	guint i;

	for (i = 0; i <= job->occs->len; i++) {
		const batch_occ_t *occ =
			i < job->occs->len ? g_ptr_array_index(job->occs, i)
					   : NULL;
		int end = occ ? occ->number : job->n_opened;

		if (next < end)
			base_buf_addf(buf, "%s[%d,%d]",
				      any ? "," : ",\"done_occurrences\":[",
				      next, end - next);
		any |= next < end;
		next = end + 1;
	}
	if (any)
		base_buf_adds(buf, "]");
}

/* The configuration may have the workspace no longer. */
static void print_limit(base_buf_t *buf, const batch_job_t *job)
{
	const batch_res_t *limit = &job->workspace->limit;

	if (batch_job_is_active(job) &&
	    (limit->cpu || limit->memory || limit->gpu))
		base_buf_addf(buf, ",\"limit\":[%lld,%lld,%lld]",
			      (long long)limit->cpu, (long long)limit->memory,
			      (long long)limit->gpu);
}

base_str_t batch_record_print(const void *ctx, const batch_job_t *job,
			      bool with_checkpoints)
{
	base_buf_t *buf = base_buf_new(ctx);
	int opened = job->occs ? job->n_opened : 0;
	record_options_t options = { .sum_up = batch_record_sums_up(job),
				     .with_checkpoints = with_checkpoints };

	base_buf_adds(buf, "{\"state\":");
	base_buf_add_json(buf, base_str(batch_state_name(job->state)));
	base_buf_adds(buf, job->cancelled ? ",\"cancelled\":true"
					  : ",\"cancelled\":false");
	base_buf_adds(buf, job->start_decided ? ",\"begun\":true"
					      : ",\"begun\":false");
	base_buf_adds(buf, ",\"arrived\":");
	base_buf_add_int(buf, job->arrived_wall);
	base_buf_adds(buf, ",\"ended\":");
	base_buf_add_int(buf, job->ended_wall);
	base_buf_adds(buf, ",\"occurrences\":");
	base_buf_add_int(buf, opened);
	base_buf_adds(buf, ",\"tasks\":[");
	if (batch_job_is_active(job) && opened)
		print_tasks(buf, job, &options);
	base_buf_adds(buf, "]");
	if (options.sum_up)
		print_done_steps(buf, job);
	if (batch_job_is_active(job) && job->occs) {
		print_done_occurrences(buf, job);
		print_incarnations(buf, job);
		print_task_list(buf, job, print_crashed_task);
		print_all_missing(buf, job);
		print_task_list(buf, job, print_failed_runs);
		print_task_list(buf, job, print_withdrawn);
		print_all_in_doubt(buf, job);
		if (job->has_copies)
			print_task_list(buf, job, print_copies);
	}
	if (job->given_up.workers)
		base_buf_addf(buf, ",\"given_up\":[%d,%d,%d,%d]",
			      job->given_up.workers, job->given_up.occurrence,
			      job->given_up.step, job->given_up.index);
	print_limit(buf, job);
	/* The source, which names it as well, is removed with the end. */
	if (!batch_job_is_active(job) && job->spec.workspace.len) {
		base_buf_adds(buf, ",\"workspace\":");
		base_buf_add_json(buf, job->spec.workspace);
	}
	base_buf_adds(buf, "}");
	return base_buf_str(buf);
}

static bool load_state(batch_job_t *job, json_t *root)
{
	const char *name = json_string_value(json_object_get(root, "state"));
	int i;

	for (i = 0; name && i < BATCH_STATE_MAX; i++)
		if (!strcmp(name, batch_state_name((batch_state_t)i))) {
			job->state = (batch_state_t)i;
			return true;
		}
	return false;
}

static int64_t number_at(const json_t *list, size_t at)
{
	return json_integer_value(json_array_get(list, at));
}

static batch_task_t *find_task(const batch_job_t *job, const json_t *row)
{
	batch_task_id_t id = {
		.job = base_str(job->id),
		.occurrence = (int)number_at(row, FIELD_OCCURRENCE),
		.step = (int)number_at(row, FIELD_STEP),
		.index = (int)number_at(row, FIELD_INDEX),
	};

	return batch_find_task(job->core, &id);
}

/* Before the runs are restored: they depend on it whether one is a trial. */
static bool load_crashes(const batch_job_t *job, const json_t *rows)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		batch_task_t *task = find_task(job, row);

		if (!task || json_array_size(row) != CRASH_MAX)
			return false;
		task->crashes = (batch_crashes_t){
			.certain = (int)number_at(row, CRASH_CERTAIN),
			.likely = (int)number_at(row, CRASH_LIKELY),
			.shared = (int)number_at(row, CRASH_SHARED),
			.needs_trial = number_at(row, CRASH_NEEDS_TRIAL),
			.counted_run = number_at(row, CRASH_COUNTED_RUN),
		};
	}
	return true;
}

/* Rows that cannot be read are left out. */
static void load_missing(const batch_job_t *job, const json_t *rows,
			 int64_t now)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		const char *worker =
			json_string_value(json_array_get(row, MISSING_WORKER));
		const json_t *address = json_array_get(row, MISSING_ADDRESS);
		const json_t *instance = json_array_get(row, MISSING_INSTANCE);
		int64_t if_crashed = number_at(row, MISSING_IF_CRASHED);
		batch_task_t *task = find_task(job, row);
		batch_missing_run_t run = {
			.run = number_at(row, MISSING_RUN),
			.incarnation = number_at(row, MISSING_INCARNATION),
			.address = (char *)json_string_value(address),
			.instance = (char *)json_string_value(instance),
			.lost_at = now,
			.begun = number_at(row, MISSING_BEGUN),
			.if_crashed = (batch_suspicion_t)if_crashed,
		};

		if (task && worker && if_crashed >= BATCH_SUSPECT_NONE &&
		    if_crashed < BATCH_SUSPECT_MAX)
			batch_missing_add(base_str(worker), task, &run);
	}
}

static void check_restored_crashes(const batch_job_t *job, const json_t *rows)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++)
		batch_crash_restored(find_task(job, json_array_get(rows, i)));
}

/* A list that cannot be read is one of a former version's row: missing. */
static void load_failed_runs(const batch_job_t *job, const json_t *rows)
{
	size_t i;
	size_t j;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		batch_task_t *task = find_task(job, row);

		for (j = FIELD_INDEX + 1; task && j < json_array_size(row); j++)
			batch_task_add_failed_run(task, number_at(row, j));
	}
}

/* After the runs are restored. */
static void load_withdrawn(const batch_job_t *job, const json_t *rows)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		batch_task_t *task = find_task(job, json_array_get(rows, i));

		if (!task || !task->run)
			continue;
		task->run->is_withdrawn = true;
		task->run->stop_reason = "evacuated by a former holder";
	}
}

/* Number after the highest occurrence that a list names. */
static int end_of_list(const json_t *rows)
{
	json_int_t end = 0;
	size_t i;

	for (i = 0; i < json_array_size(rows); i++)
		end = MAX(end,
			  number_at(json_array_get(rows, i), FIELD_OCCURRENCE) +
				  1);
	return (int)end;
}

/*
 * Occurrences to be restored: the last ones without a task that had a run are
 * left out, and opened again as far as the holder can carry them.
 */
static int count_begun(const batch_job_t *job, const json_t *root)
{
	const json_t *done = json_object_get(root, "done_occurrences");
	const json_t *last = json_array_get(done, json_array_size(done) - 1);
	json_int_t n = json_integer_value(json_object_get(root, "occurrences"));
	json_int_t begun = number_at(last, 0) + number_at(last, 1);

	if (!job->spec.repeat)
		return (int)n;
	begun = MAX(begun, end_of_list(json_object_get(root, "tasks")));
	begun = MAX(begun, end_of_list(json_object_get(root, "done_steps")));
	return (int)MIN(begun, n);
}

static void load_occurrences(batch_job_t *job, const json_t *root)
{
	const json_t *done = json_object_get(root, "done_occurrences");
	int n = count_begun(job, root);
	int next = 0;
	size_t i;

	for (i = 0; i < json_array_size(done); i++) {
		const json_t *row = json_array_get(done, i);

		while (next < n && next < number_at(row, 0))
			batch_occ_new(job, next++);
		next += (int)number_at(row, 1);
		job->n_freed_occs += (int)number_at(row, 1);
	}
	while (next < n)
		batch_occ_new(job, next++);
	job->n_opened = n;
}

static void load_workspace(batch_job_t *job, const json_t *name)
{
	if (job->spec.workspace.len || !json_string_length(name))
		return;
	job->spec.workspace =
		base_str(talloc_strdup(job, json_string_value(name)));
	job->workspace = batch_workspace_get(job->core, job->spec.workspace);
}

static void load_limit(const batch_job_t *job, const json_t *row)
{
	batch_res_t limit = { number_at(row, 0), number_at(row, 1),
			      number_at(row, 2) };

	if (json_array_size(row) == 3)
		batch_workspace_keep(job->workspace, &limit);
}

static void load_given_up(batch_job_t *job, const json_t *list)
{
	job->given_up = (batch_given_up_t){
		.workers = (int)number_at(list, 0),
		.occurrence = (int)number_at(list, 1),
		.step = (int)number_at(list, 2),
		.index = (int)number_at(list, 3),
	};
}

/*
 * A worker that is not listed is added as unlisted: it gets no new runs, but
 * its old ones are resolved.
 */
static batch_worker_t *get_worker(batch_t *core, const char *id, int64_t now)
{
	batch_worker_info_t info = { .id = base_str(id), .pool = base_str("") };
	batch_worker_t *worker = batch_find_worker(core, info.id);

	if (worker)
		return worker;
	batch_worker_listed(core, now, &info);
	batch_worker_unlisted(core, now, info.id);
	worker = batch_find_worker(core, info.id);
	worker->listed_at = 0;
	return worker;
}

/* Restores a run that a predecessor stored and that may not exist. */
static void load_run(batch_task_t *task, const char *worker_id, int64_t number,
		     const json_t *incarnations, int64_t now, int64_t until)
{
	batch_t *core = task->step->occ->job->core;
	batch_worker_t *worker = get_worker(core, worker_id, now);
	batch_task_id_t id = batch_task_get_id(task);
	batch_run_t *run;

	batch_worker_lease(core, base_str(worker_id), until);
	run = batch_run_new(task, worker, now, number);
	batch_run_set_state(run, RUN_IN_DOUBT, now);
	run->listed_from = now;
	run->incarnation =
		json_integer_value(json_object_get(incarnations, worker_id));
	batch_doubt_add(worker, now, &id, run->number, true);
	if (task->done)
		batch_run_hold_end(run);
}

/* Whether the job has or had the task of the start, which may be freed. */
static bool is_start_of(const batch_job_t *job,
			const batch_in_doubt_start_t *start)
{
	return start->occurrence >= 0 && start->occurrence < job->n_opened &&
	       start->step >= 0 && start->step < job->spec.n_steps &&
	       start->index >= 0 &&
	       start->index < job->spec.steps[start->step].count;
}

/* After the runs are restored.  Rows that cannot be read are left out. */
static void load_in_doubt(batch_job_t *job, const json_t *rows, int64_t now,
			  int64_t wall)
{
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		const char *worker =
			json_string_value(json_array_get(row, IN_DOUBT_WORKER));
		int64_t left = number_at(row, IN_DOUBT_UNTIL) - wall;
		batch_in_doubt_start_t start = {
			.job = job->id,
			.occurrence = (int)number_at(row, FIELD_OCCURRENCE),
			.step = (int)number_at(row, FIELD_STEP),
			.index = (int)number_at(row, FIELD_INDEX),
			.run = number_at(row, IN_DOUBT_RUN),
			.until = now + MIN(left, BATCH_LATE_START_MAX),
			.stopped_by = number_at(row, IN_DOUBT_STOPPED_BY),
		};

		if (!is_start_of(job, &start) || !worker || left <= 0)
			continue;
		batch_doubt_restore(get_worker(job->core, worker, now), &start);
		job->has_stopped_starts = true;
	}
}

static bool load_task(batch_job_t *job, json_t *row, const json_t *incarnations,
		      int64_t now, int64_t until)
{
	batch_task_t *task;
	const char *worker;

	if (json_array_size(row) != FIELD_MAX)
		return false;
	worker = json_string_value(json_array_get(row, FIELD_WORKER));
	task = find_task(job, row);
	if (!task || !worker)
		return false;
	task->done = json_integer_value(json_array_get(row, FIELD_DONE));
	task->number = json_integer_value(json_array_get(row, FIELD_NUMBER));
	task->n_failures =
		(int)json_integer_value(json_array_get(row, FIELD_FAILS));
	task->checkpoint =
		base_str_dup(task->step->occ,
			     base_str(json_string_value(
				     json_array_get(row, FIELD_CHECKPOINT))));
	task->step->has_started = true;
	task->step->placed += task->number > 0;
	if (task->done)
		task->step->done++;
	else if (*worker)
		load_run(task, worker, task->number, incarnations, now, until);
	return true;
}

/* Fields of "copies"; the first three are as in task_field_t. */
typedef enum copy_field {
	COPY_NUMBER = FIELD_INDEX + 1,
	COPY_WORKER,
	COPY_MAX
} copy_field_t;

static bool load_copies(batch_job_t *job, const json_t *root, int64_t now,
			int64_t until)
{
	const json_t *rows = json_object_get(root, "copies");
	const json_t *incarnations = json_object_get(root, "incarnations");
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		const char *worker =
			json_string_value(json_array_get(row, COPY_WORKER));
		batch_task_t *task = find_task(job, row);

		if (!task || !worker || json_array_size(row) != COPY_MAX ||
		    task->copy)
			return false;
		load_run(task, worker, number_at(row, COPY_NUMBER),
			 incarnations, now, until);
		job->has_copies = true;
	}
	return true;
}

static void load_done_steps(const batch_job_t *job, const json_t *rows)
{
	size_t i;
	int t;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		batch_task_id_t id = { .job = base_str(job->id),
				       .occurrence = (int)number_at(row, 0),
				       .step = (int)number_at(row, 1) };
		const batch_task_t *task = batch_find_task(job->core, &id);
		batch_step_t *step = task ? task->step : NULL;

		if (!step || step->done)
			continue;
		step->has_started = true;
		step->placed = step->spec->count;
		step->done = step->spec->count;
		for (t = 0; t < step->spec->count; t++)
			step->tasks[t].done = true;
	}
}

/* A task with a missing run has counts. */
static bool load_all_crashes(const batch_job_t *job, const json_t *root,
			     int64_t now)
{
	const json_t *crashes = json_object_get(root, "crashes");

	if (!load_crashes(job, crashes))
		return false;
	load_missing(job, json_object_get(root, "missing"), now);
	check_restored_crashes(job, crashes);
	return true;
}

static void count_done_steps(batch_job_t *job)
{
	guint i;
	int s;

	for (i = 0; i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			occ->done_steps +=
				occ->steps[s].done == occ->steps[s].spec->count;
	}
}

bool batch_record_load(batch_job_t *job, const batch_stored_t *stored,
		       int64_t now, int64_t wall, GError **err)
{
	json_t *root = json_loads(stored->record, 0, NULL);
	json_t *tasks = json_object_get(root, "tasks");
	bool ok = root && load_state(job, root) && json_is_array(tasks);
	size_t i;

	if (ok) {
		job->cancelled =
			json_is_true(json_object_get(root, "cancelled"));
		job->start_decided =
			json_is_true(json_object_get(root, "begun"));
		job->arrived_wall =
			json_integer_value(json_object_get(root, "arrived"));
		job->ended_wall =
			json_integer_value(json_object_get(root, "ended"));
		load_given_up(job, json_object_get(root, "given_up"));
		load_workspace(job, json_object_get(root, "workspace"));
		load_limit(job, json_object_get(root, "limit"));
		if (batch_job_is_active(job))
			load_occurrences(job, root);
		if (batch_job_is_active(job))
			ok = load_all_crashes(job, root, now);
		load_failed_runs(job, json_object_get(root, "failed_runs"));
		load_done_steps(job, json_object_get(root, "done_steps"));
		for (i = 0; ok && batch_job_is_active(job) &&
			    i < json_array_size(tasks);
		     i++)
			ok = load_task(job, json_array_get(tasks, i),
				       json_object_get(root, "incarnations"),
				       now, stored->until);
		if (ok && batch_job_is_active(job))
			ok = load_copies(job, root, now, stored->until);
		load_withdrawn(job, json_object_get(root, "withdrawn"));
		if (ok && batch_job_is_active(job))
			load_in_doubt(job, json_object_get(root, "in_doubt"),
				      now, wall);
		count_done_steps(job);
		/* A former holder may have stored the last end, which was held,
		 * and not that the job is complete. */
		job->has_held_ends = job->is_speculative;
	}
	json_decref(root);
	if (!ok)
		g_set_error(err, BATCH_ERROR, BATCH_ERR_RECORD,
			    "the record of job %s cannot be read", job->id);
	return ok;
}

/* Sets the remaining state of a restored job and adds it to the open jobs. */
static void register_restored(batch_job_t *job, int64_t now, int64_t wall)
{
	job->arrived = now - (wall - job->arrived_wall);
	job->stored = true;
	job->cancel_confirmed = job->cancelled;
	job->stored_state = job->state;
	if (!batch_job_is_active(job)) {
		g_ptr_array_unref(job->occs);
		job->occs = NULL;
		return;
	}
	if (!job->start_decided)
		job->stored_state = BATCH_QUEUED;
	else
		job->stored_state = BATCH_RUNNING;
	g_ptr_array_add(job->core->active_jobs, job);
}

bool batch_restore(batch_t *core, int64_t now, int64_t wall,
		   const batch_stored_t *stored, GError **err)
{
	batch_spec_t no_spec = { .id = stored->id };
	const batch_spec_t *spec = stored->spec ? stored->spec : &no_spec;
	batch_job_t *job = batch_job_new(core, spec);
	bool ok = batch_record_load(job, stored, now, wall, err);

	if (ok && !stored->spec && batch_job_is_active(job)) {
		g_set_error(err, BATCH_ERROR, BATCH_ERR_RECORD,
			    "job %s has a row and no specification", job->id);
		ok = false;
	}
	if (!ok)
		job->state = BATCH_FAILED;
	job->row_length = strlen(stored->record);
	job->row_runs = job->n_runs;
	register_restored(job, now, wall);
	core->pass_needed = true;
	return ok;
}
