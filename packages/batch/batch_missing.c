/*
 * Lost workers of which it is not known whether they have crashed.
 *
 * A worker that is cut off or stands still looks like one that has crashed: its
 * lease ends, and it may leave the list.  Its next answer tells: the same
 * incarnation has not crashed.  Another one, or another worker in its place,
 * shows that it has.  What follows from a crash is kept until then.
 */
#include "batch_int.h"

/* A worker that is away for longer is taken for gone. */
#define MISSING_AGE_MAX (120 * BASE_SEC)

GHashTable *batch_missing_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_array_unref);
}

static void free_run(void *run)
{
	g_free(((batch_missing_run_t *)run)->job);
	g_free(((batch_missing_run_t *)run)->address);
	g_free(((batch_missing_run_t *)run)->instance);
}

static gboolean is_outdated(gpointer id, gpointer value, gpointer arg)
{
	const GArray *runs = value;
	const int64_t *now = arg;
	const batch_missing_run_t *last =
		&g_array_index(runs, batch_missing_run_t, runs->len - 1);

	(void)id;
	return *now - last->lost_at > MISSING_AGE_MAX;
}

static GArray *runs_of(batch_t *core, const char *worker)
{
	GArray *runs = g_hash_table_lookup(core->missing, worker);

	if (runs)
		return runs;
	runs = g_array_new(FALSE, FALSE, sizeof(batch_missing_run_t));
	g_array_set_clear_func(runs, free_run);
	g_hash_table_insert(core->missing, g_strdup(worker), runs);
	return runs;
}

static int *count_of(batch_crashes_t *crashes, const batch_missing_run_t *run)
{
	return run->begun ? &crashes->missing : &crashes->unanswered;
}

void batch_missing_add(base_str_t worker, batch_task_t *head,
		       const batch_missing_run_t *run)
{
	batch_task_id_t id = batch_task_get_id(head);
	batch_missing_run_t added = *run;
	char *name = g_strndup(worker.ptr, worker.len);

	added.job = g_strndup(id.job.ptr, id.job.len);
	added.occurrence = id.occurrence;
	added.step = id.step;
	added.index = id.index;
	added.address = g_strdup(run->address);
	added.instance = g_strdup(run->instance);
	g_array_append_val(runs_of(head->step->occ->job->core, name), added);
	g_free(name);
	++*count_of(&head->crashes, run);
	if (run->begun)
		head->crashes.missing_since = run->lost_at;
	head->step->occ->job->has_missing = true;
}

void batch_missing_uncount(batch_task_t *head, const batch_missing_run_t *run)
{
	int *count = count_of(&head->crashes, run);

	*count = MAX(*count - 1, 0);
}

static bool is_valid(const batch_job_t *job, const batch_missing_run_t *run)
{
	batch_task_id_t id = { base_str(run->job), run->occurrence, run->step,
			       run->index };
	const batch_task_t *head;

	if (!base_str_eq(id.job, base_str(job->id)))
		return false;
	head = batch_find_task(job->core, &id);
	return head && run->run > head->crashes.cleared_run;
}

void batch_missing_each(const batch_job_t *job, batch_missing_visit_t *visit,
			void *arg)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	guint i;

	if (!job->has_missing)
		return;
	g_hash_table_iter_init(&iter, job->core->missing);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const GArray *runs = value;

		for (i = 0; i < runs->len; i++) {
			const batch_missing_run_t *run =
				&g_array_index(runs, batch_missing_run_t, i);

			job->core->stats.scanned++;
			if (is_valid(job, run))
				visit(arg, id, run);
		}
	}
}

void batch_missing_expire(batch_t *core, int64_t now)
{
	g_hash_table_foreach_remove(core->missing, is_outdated, &now);
}

static bool is_same_incarnation(const batch_missing_run_t *run,
				int64_t incarnation)
{
	/* That of a run may not be known: then nothing shows a crash. */
	return incarnation &&
	       (!run->incarnation || run->incarnation == incarnation);
}

/* Returns whether the run needs not be kept any longer. */
static bool resolve_run(batch_t *core, int64_t now, const char *worker,
			const batch_missing_run_t *run, int64_t incarnation)
{
	batch_task_id_t id = { base_str(run->job), run->occurrence, run->step,
			       run->index };
	batch_task_t *head = batch_find_task(core, &id);

	if (!head || run->run <= head->crashes.cleared_run)
		return true;
	if (is_same_incarnation(run, incarnation)) {
		batch_crash_withdraw(head, run, worker);
		return true;
	}
	if (run->if_crashed == BATCH_SUSPECT_NONE)
		return false;
	batch_crash_confirm(head, run, worker, now);
	return true;
}

/* Returns whether none of the runs needs to be kept. */
static bool resolve(batch_t *core, int64_t now, const char *worker,
		    GArray *runs, int64_t incarnation)
{
	guint i;

	for (i = runs->len; i-- > 0;)
		if (resolve_run(core, now, worker,
				&g_array_index(runs, batch_missing_run_t, i),
				incarnation))
			g_array_remove_index(runs, i);
	return !runs->len;
}

void batch_missing_resolve(batch_t *core, int64_t now, const char *worker,
			   int64_t incarnation)
{
	GArray *runs = g_hash_table_lookup(core->missing, worker);

	if (runs && resolve(core, now, worker, runs, incarnation))
		g_hash_table_remove(core->missing, worker);
}

void batch_missing_replace(batch_t *core, int64_t now,
			   const batch_place_t *place)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, core->missing);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		GArray *runs = value;
		const batch_missing_run_t *last = &g_array_index(
			runs, batch_missing_run_t, runs->len - 1);
		batch_place_t former = { id, last->address, last->instance };

		core->stats.scanned++;
		if (batch_place_is_same(&former, place) &&
		    resolve(core, now, id, runs, 0))
			g_hash_table_iter_remove(&iter);
	}
}
