/*
 * Checks the rules that the core must keep, from the simulation's records.
 */
#include "batch_world_int.h"

void world_record_violation(world_t *world, const char *rule,
			    const world_run_t *run)
{
	if (!world->broken++)
		g_snprintf(world->first_violation,
			   sizeof(world->first_violation),
			   "%s at %.3f s: %s.%d.%d.%d run %d", rule,
			   (double)world->now / BASE_SEC, run->job,
			   run->occurrence, run->step, run->index,
			   (int)run->number);
}

char *world_task_key(const world_run_t *run)
{
	return g_strdup_printf("%d.%d.%d", run->occurrence, run->step,
			       run->index);
}

bool world_same_task(const world_run_t *a, const world_run_t *b)
{
	return !strcmp(a->job, b->job) && a->occurrence == b->occurrence &&
	       a->step == b->step && a->index == b->index;
}

/* Checks that the worker may run the task: label, siblings, draining. */
static void check_placement(world_t *world, const world_worker_t *worker,
			    const batch_step_spec_t *spec,
			    const world_run_t *run)
{
	int siblings = 0;
	guint i;

	if (spec->label.len &&
	    !base_str_eq(spec->label, base_str(worker->label)))
		world_record_violation(world, "ROUTE: wrong label", run);
	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *other =
			&g_array_index(worker->runs, world_run_t, i);

		siblings += !strcmp(other->job, run->job) &&
			    other->step == run->step &&
			    other->occurrence == run->occurrence;
	}
	if (spec->max_per_worker && siblings >= spec->max_per_worker)
		world_record_violation(
			world,
			"ROUTE: too many tasks of the step on the worker", run);
	if (worker->draining &&
	    world->now - worker->draining_at > WORLD_DRAIN_LIMIT)
		world_record_violation(world, "DRAIN", run);
}

/*
 * The most that the worker may use: the highest that its capacity has been
 * within WORLD_CAPACITY_LIMIT.
 */
static batch_res_t allowed_capacity(const world_t *world,
				    const world_worker_t *worker)
{
	batch_res_t most = worker->capacity;
	guint i;

	for (i = worker->capacities->len; i-- > 0;) {
		const world_capacity_t *entry =
			&g_array_index(worker->capacities, world_capacity_t, i);

		most.cpu = MAX(most.cpu, entry->capacity.cpu);
		most.memory = MAX(most.memory, entry->capacity.memory);
		most.gpu = MAX(most.gpu, entry->capacity.gpu);
		if (world->now - entry->from > WORLD_CAPACITY_LIMIT)
			break;
	}
	return most;
}

static void check_capacity(world_t *world, const world_worker_t *worker,
			   const world_run_t *run)
{
	batch_res_t used = world_worker_used(worker);
	batch_res_t most = allowed_capacity(world, worker);

	if (used.cpu + run->need.cpu > most.cpu ||
	    used.memory + run->need.memory > most.memory ||
	    used.gpu + run->need.gpu > most.gpu)
		world_record_violation(world, "LIMIT", run);
}

/*
 * Checks that no tail latency exceeds its target for longer than
 * WORLD_TAIL_OVER_LIMIT.
 */
void world_check_tails(world_t *world, world_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *run =
			&g_array_index(worker->runs, world_run_t, i);

		if (run->tail_over_since &&
		    world->now - run->tail_over_since > WORLD_TAIL_OVER_LIMIT)
			world_record_violation(world, "HARM", run);
	}
}

bool world_is_deadly(world_t *world, const world_run_t *run)
{
	const world_job_t *job = world_find_job(world, run->job);

	return job && job->deadly_step == run->step &&
	       (job->deadly_index < 0 || job->deadly_index == run->index);
}

bool world_is_acknowledged(world_t *world, const world_run_t *run)
{
	const world_job_t *job = world_find_job(world, run->job);
	char *key = world_task_key(run);
	bool is_acked = job && g_hash_table_contains(job->acked_tasks, key);

	g_free(key);
	return is_acked;
}

static int count(GHashTable *table, const char *key)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(table, key)) + 1;

	g_hash_table_insert(table, g_strdup(key), GINT_TO_POINTER(n));
	return n;
}

/* The worker has crashed while it ran "run". */
static void count_crash_under(world_t *world, world_job_t *job,
			      const world_run_t *run)
{
	char *key = world_task_key(run);
	int n = count(job->crashed_under, key);

	job->most_crashed_under = MAX(job->most_crashed_under, n);
	if (world_is_deadly(world, run)) {
		n = count(job->crashes, key);
		job->most_crashes = MAX(job->most_crashes, n);
	}
	g_free(key);
}

void world_count_crash(world_t *world, const world_worker_t *worker)
{
	guint i;

	/* It leaves as planned. */
	if (worker->draining)
		return;
	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *run =
			&g_array_index(worker->runs, world_run_t, i);
		world_job_t *job = world_find_job(world, run->job);

		if (job)
			count_crash_under(world, job, run);
	}
}

/*
 * A task that crashes the workers that start it is not started three more times
 * once it has crashed three.
 */
static void check_crash_budget(world_t *world, world_job_t *job,
			       const world_run_t *run, const char *key)
{
	int n = count(job->task_starts, key);

	job->most_starts = MAX(job->most_starts, n);
	if (GPOINTER_TO_INT(g_hash_table_lookup(job->crashes, key)) >= 3 &&
	    count(job->after_crashes, key) >= 3)
		world_record_violation(world, "BUDGET: crashes its workers",
				       run);
}

/* What the workspace has running on all workers that have not crashed. */
static batch_res_t sum_workspace(world_t *world, base_str_t name)
{
	batch_res_t sum = { 0, 0, 0 };
	int w;
	guint i;

	for (w = 0; w < world->n_workers; w++) {
		const world_worker_t *worker = &world->workers[w];

		for (i = 0; !worker->crashed && i < worker->runs->len; i++) {
			const world_run_t *run =
				&g_array_index(worker->runs, world_run_t, i);
			const world_job_t *job =
				world_find_job(world, run->job);

			if (!job || !base_str_eq(job->spec.workspace, name))
				continue;
			sum.cpu += run->need.cpu;
			sum.memory += run->need.memory;
		}
	}
	return sum;
}

static void check_workspace(world_t *world, const world_job_t *job,
			    const world_run_t *run)
{
	size_t i;

	for (i = 0; i < world->n_workspaces; i++) {
		const batch_workspace_info_t *workspace = &world->workspaces[i];
		batch_res_t sum;

		if (!base_str_eq(workspace->name, job->spec.workspace) ||
		    world->now - world->limits_set_at < WORLD_LIMIT_TIME)
			continue;
		sum = sum_workspace(world, workspace->name);
		if (workspace->limit.cpu &&
		    (double)sum.cpu > (double)workspace->limit.cpu *
					      (1 + WORLD_LIMIT_OVERAGE))
			world_record_violation(world, "QUOTA", run);
	}
}

/* Only a task of a speculative step may have more than one run; no copy is
 * placed on the worker of a run.  The rules allow two late starts there. */
static void check_runs(world_t *world, const world_worker_t *at,
		       const batch_step_spec_t *spec, const world_run_t *run,
		       bool late)
{
	int i;
	guint j;

	for (i = 0; i < world->n_workers; i++) {
		const world_worker_t *worker = &world->workers[i];

		for (j = 0; !worker->crashed && j < worker->runs->len; j++)
			if (world_same_task(&g_array_index(worker->runs,
							   world_run_t, j),
					    run) &&
			    (!spec->speculative || (worker == at && !late)))
				world_record_violation(
					world, "TWICE: already running", run);
	}
}

void world_check_start(world_t *world, const world_worker_t *at,
		       const world_run_t *run, bool late)
{
	world_job_t *job = world_find_job(world, run->job);
	const batch_step_spec_t *spec;
	char *key = world_task_key(run);
	gpointer fails;
	int i;

	if (!job) {
		world_record_violation(world, "UNASKED", run);
		g_free(key);
		return;
	}
	spec = &job->spec.steps[run->step];
	check_capacity(world, at, run);
	check_workspace(world, job, run);
	if (!late) {
		check_placement(world, at, spec, run);
		check_crash_budget(world, job, run, key);
	}
	if (g_hash_table_contains(job->acked_tasks, key))
		world_record_violation(world, "TWICE: started after its end",
				       run);
	g_hash_table_insert(job->started_at, g_strdup(key),
			    g_memdup2(&world->now, sizeof(world->now)));
	check_runs(world, at, spec, run, late);
	if (spec->speculative &&
	    world_state(world, run->job) == BATCH_COMPLETED)
		world_record_violation(world, "TWICE: its job is completed",
				       run);
	for (i = 0; i < run->step; i++) {
		world_run_t before = *run;

		before.step = i;
		for (before.index = 0; (spec->depends_on >> i & 1) &&
				       before.index < job->spec.steps[i].count;
		     before.index++) {
			char *before_key = world_task_key(&before);

			if (!g_hash_table_contains(job->finished_tasks,
						   before_key))
				world_record_violation(world, "ORDER", run);
			g_free(before_key);
		}
	}
	fails = g_hash_table_lookup(job->fails, key);
	if (!spec->long_running && GPOINTER_TO_INT(fails) >= world->attempts)
		world_record_violation(world, "BUDGET", run);
	/* The rules set no limit for starts that were carried out late. */
	if (!late && job->cancelled &&
	    world->now - job->cancelled_at > 3 * BASE_SEC)
		world_record_violation(
			world, "UNASKED: started after its cancel", run);
	g_free(key);
}

static bool is_away(const world_t *world, const world_presence_t *presence)
{
	return presence->is_stopped ||
	       world->now - presence->at_work > WORLD_AWAY_TIME;
}

void world_check_stop(world_t *world, const world_worker_t *worker,
		      const world_run_t *run, bool late)
{
	const world_job_t *job = world_find_job(world, run->job);
	const batch_step_spec_t *spec;
	int away = 0;
	int i;

	if (!run->presence || run->stops_at || late || job->cancel_asked ||
	    job->given_up)
		return;
	spec = &job->spec.steps[run->step];
	for (i = 0; i < spec->count; i++)
		away += i != run->index &&
			is_away(world, &job->presence[run->step][i]);
	if (spec->max_unavailable >= 0 && away >= spec->max_unavailable &&
	    !worker->draining && !worker->unreachable)
		world_record_violation(world, "AVAIL", run);
	run->presence->is_stopped = true;
}

static void acknowledge_done(world_t *world, world_job_t *job,
			     const world_end_t *end)
{
	char *key = world_task_key(&end->run);
	const int64_t *started_at = g_hash_table_lookup(job->started_at, key);

	/* Of several runs one may begin between the end of another one and its
	 * acknowledgement. */
	if (started_at && *started_at > end->at &&
	    !job->spec.steps[end->run.step].speculative)
		world_record_violation(world,
				       "TWICE: its end is acknowledged after a "
				       "later start",
				       &end->run);
	g_hash_table_insert(job->acked_tasks, key, GINT_TO_POINTER(1));
}

void world_acknowledge_ends(world_t *world, world_worker_t *worker,
			    int64_t up_to)
{
	while (worker->ends->len) {
		world_end_t *end = &g_array_index(worker->ends, world_end_t, 0);
		world_job_t *job = world_find_job(world, end->run.job);

		if (end->number > up_to)
			return;
		if (job && end->how == BATCH_END_DONE && !end->stale)
			acknowledge_done(world, job, end);
		if (job && end->how == BATCH_END_FAILED) {
			char *key = world_task_key(&end->run);
			int n = GPOINTER_TO_INT(
				g_hash_table_lookup(job->fails, key));

			g_hash_table_insert(job->fails, key,
					    GINT_TO_POINTER(n + 1));
		}
		g_array_remove_index(worker->ends, 0);
	}
}
