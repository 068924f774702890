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

static bool is_outdated(const GArray *runs, int64_t now)
{
	const batch_missing_run_t *last =
		&g_array_index(runs, batch_missing_run_t, runs->len - 1);

	return now - last->lost_at > MISSING_AGE_MAX;
}

/* Before the worker's runs change or are freed; "id" is the key. */
static void index_remove(batch_t *core, char *id, const GArray *runs)
{
	const batch_missing_run_t *run;
	guint i;

	for (i = 0; i < runs->len; i++) {
		run = &g_array_index(runs, batch_missing_run_t, i);
		batch_index_remove(core->missing_by_job, run->job, id);
		batch_index_remove(core->missing_by_address, run->address, id);
		batch_index_remove(core->missing_by_instance, run->instance,
				   id);
	}
}

/* After they have changed. */
static void index_add(batch_t *core, char *id, const GArray *runs)
{
	const batch_missing_run_t *run = NULL;
	guint i;

	for (i = 0; i < runs->len; i++) {
		run = &g_array_index(runs, batch_missing_run_t, i);
		batch_index_add(core->missing_by_job, run->job, id);
	}
	if (!run)
		return;
	batch_index_add(core->missing_by_address, run->address, id);
	batch_index_add(core->missing_by_instance, run->instance, id);
}

static void add_run(batch_t *core, const char *worker,
		    const batch_missing_run_t *run)
{
	gpointer id;
	gpointer runs;

	if (g_hash_table_lookup_extended(core->missing, worker, &id, &runs)) {
		index_remove(core, id, runs);
	} else {
		id = g_strdup(worker);
		runs = g_array_new(FALSE, FALSE, sizeof(batch_missing_run_t));
		g_array_set_clear_func(runs, free_run);
		g_hash_table_insert(core->missing, id, runs);
	}
	g_array_append_val(runs, *run);
	index_add(core, id, runs);
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
	add_run(head->step->occ->job->core, name, &added);
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
	batch_t *core = job->core;
	const GPtrArray *ids = batch_index_find(core->missing_by_job, job->id);
	guint w;
	guint i;

	if (!job->has_missing)
		return;
	for (w = 0; ids && w < ids->len; w++) {
		const char *id = g_ptr_array_index(ids, w);
		const GArray *runs = g_hash_table_lookup(core->missing, id);

		for (i = 0; i < runs->len; i++) {
			const batch_missing_run_t *run =
				&g_array_index(runs, batch_missing_run_t, i);

			core->stats.scanned++;
			if (is_valid(job, run))
				visit(arg, id, run);
		}
	}
}

void batch_missing_expire(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer runs;

	g_hash_table_iter_init(&iter, core->missing);
	while (g_hash_table_iter_next(&iter, &id, &runs)) {
		if (!is_outdated(runs, now))
			continue;
		index_remove(core, id, runs);
		g_hash_table_iter_remove(&iter);
	}
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

void batch_missing_resolve(batch_t *core, int64_t now, const char *worker,
			   int64_t incarnation)
{
	gpointer id;
	gpointer value;
	GArray *runs;
	guint i;

	if (!g_hash_table_lookup_extended(core->missing, worker, &id, &value))
		return;
	runs = value;
	index_remove(core, id, runs);
	for (i = runs->len; i-- > 0;)
		if (resolve_run(core, now, id,
				&g_array_index(runs, batch_missing_run_t, i),
				incarnation))
			g_array_remove_index(runs, i);
	index_add(core, id, runs);
	if (!runs->len)
		g_hash_table_remove(core->missing, id);
}

static void resolve_others(batch_t *core, int64_t now, const GPtrArray *found,
			   const char *by)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	guint i;

	/* What is resolved leaves the index. */
	for (i = 0; found && i < found->len; i++)
		g_ptr_array_add(ids, g_strdup(g_ptr_array_index(found, i)));
	for (i = 0; i < ids->len; i++) {
		core->stats.scanned++;
		if (strcmp(g_ptr_array_index(ids, i), by))
			batch_missing_resolve(core, now,
					      g_ptr_array_index(ids, i), 0);
	}
	g_ptr_array_unref(ids);
}

void batch_missing_replace(batch_t *core, int64_t now,
			   const batch_place_t *place)
{
	resolve_others(
		core, now,
		batch_index_find(core->missing_by_address, place->address),
		place->worker);
	resolve_others(
		core, now,
		batch_index_find(core->missing_by_instance, place->instance),
		place->worker);
}
