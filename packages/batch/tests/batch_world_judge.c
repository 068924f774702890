#include "batch_world_int.h"

void world_broke(world_t *world, const char *rule, const world_run_t *run)
{
	if (!world->broken++)
		g_snprintf(world->fault, sizeof(world->fault),
			   "%s at %.3f s: %s.%d.%d.%d run %d", rule,
			   (double)world->now / BASE_SEC, run->job,
			   run->occurrence, run->step, run->index,
			   (int)run->number);
}

char *world_task_text(const world_run_t *run)
{
	return g_strdup_printf("%d.%d.%d", run->occurrence, run->step,
			       run->index);
}

bool world_same_task(const world_run_t *a, const world_run_t *b)
{
	return !strcmp(a->job, b->job) && a->occurrence == b->occurrence &&
	       a->step == b->step && a->index == b->index;
}

/* Where a task may run: labels, tasks of a step apart, workers that leave. */
static void judge_place(world_t *world, const world_worker_t *worker,
			const batch_step_spec_t *spec, const world_run_t *run)
{
	int beside = 0;
	guint i;

	if (spec->label.len &&
	    !base_str_eq(spec->label, base_str(worker->label)))
		world_broke(world, "ROUTE by its label", run);
	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *other =
			&g_array_index(worker->runs, world_run_t, i);

		beside += !strcmp(other->job, run->job) &&
			  other->step == run->step &&
			  other->occurrence == run->occurrence;
	}
	if (spec->per_worker && beside >= spec->per_worker)
		world_broke(world, "ROUTE beside too many", run);
	if (worker->draining && world->now - worker->draining_at > WORLD_DRAIN)
		world_broke(world, "DRAIN", run);
}

/* A tail is over its target for long beside tasks that fill. */
void world_judge_tails(world_t *world, world_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *run =
			&g_array_index(worker->runs, world_run_t, i);

		if (run->over_since &&
		    world->now - run->over_since > WORLD_HARM)
			world_broke(world, "HARM", run);
	}
}

void world_judge_start(world_t *world, const world_worker_t *at,
		       const world_run_t *run, bool late)
{
	world_job_t *job = world_job_of(world, run->job);
	const batch_step_spec_t *spec;
	char *text = world_task_text(run);
	gpointer fails;
	int i;
	guint j;

	if (!job) {
		world_broke(world, "UNASKED", run);
		g_free(text);
		return;
	}
	spec = &job->spec.steps[run->step];
	if (!late)
		judge_place(world, at, spec, run);
	if (g_hash_table_contains(job->done, text))
		world_broke(world, "TWICE after its end", run);
	for (i = 0; i < world->n_workers; i++) {
		const world_worker_t *worker = &world->workers[i];

		for (j = 0; !worker->dark && j < worker->runs->len; j++)
			if (world_same_task(&g_array_index(worker->runs,
							   world_run_t, j),
					    run))
				world_broke(world, "TWICE at a time", run);
	}
	for (i = 0; i < run->step; i++) {
		world_run_t before = *run;

		before.step = i;
		for (before.index = 0; (spec->after >> i & 1) &&
				       before.index < job->spec.steps[i].count;
		     before.index++) {
			char *name = world_task_text(&before);

			if (!g_hash_table_contains(job->over, name))
				world_broke(world, "ORDER", run);
			g_free(name);
		}
	}
	fails = g_hash_table_lookup(job->fails, text);
	if (!spec->lasting && GPOINTER_TO_INT(fails) >= world->attempts)
		world_broke(world, "BUDGET", run);
	/* The pages set no time for orders that were carried out late. */
	if (!late && job->cancelled &&
	    world->now - job->cancelled_at > 3 * BASE_SEC)
		world_broke(world, "UNASKED after its cancel", run);
	g_free(text);
}

/* An end is noted: it is forgotten there, and counts from now on. */
void world_judge_ends(world_t *world, world_worker_t *worker, int64_t up_to)
{
	while (worker->ends->len) {
		world_end_t *end = &g_array_index(worker->ends, world_end_t, 0);
		world_job_t *job = world_job_of(world, end->run.job);

		if (end->number > up_to)
			return;
		if (job && end->how == BATCH_END_DONE && !end->stale)
			g_hash_table_insert(job->done,
					    world_task_text(&end->run),
					    GINT_TO_POINTER(1));
		if (job && end->how == BATCH_END_FAILED) {
			char *text = world_task_text(&end->run);
			int n = GPOINTER_TO_INT(
				g_hash_table_lookup(job->fails, text));

			g_hash_table_insert(job->fails, text,
					    GINT_TO_POINTER(n + 1));
		}
		g_array_remove_index(worker->ends, 0);
	}
}
