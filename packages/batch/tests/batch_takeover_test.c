/*
 * What a takeover costs by the number of workers, and that what is found by an
 * index is what a search through everything finds.
 */
#include "../batch_int.h"

#define START (100 * BASE_SEC)
#define LEASE (5 * BASE_SEC)
#define TEXT_MAX 32
#define SEEDS 40
#define EVENTS 600
/* Few, so that workers meet at one address or instance. */
#define IDS 24
#define PLACES 6
#define JOBS 5
#define RUNS 8
#define FEW 64
#define MANY (4 * FEW)

static void ignore_name(void *arg, base_str_t name)
{
	(void)arg;
	(void)name;
}

static void ignore_order(void *arg, const batch_order_t *order)
{
	(void)arg;
	(void)order;
}

static void ignore_event(void *arg, const batch_log_event_t *event)
{
	(void)arg;
	(void)event;
}

static void ignore_question(void *arg, const batch_question_t *question)
{
	(void)arg;
	(void)question;
}

static const batch_ops_t ops = {
	.advise = ignore_question,
	.accepted = ignore_name,
	.cancelled = ignore_name,
	.start = ignore_order,
	.stop = ignore_order,
	.pace = ignore_order,
	.log_event = ignore_event,
};

static batch_t *make_core(void)
{
	batch_options_t options = { .ops = &ops,
				    .in_doubt_timeout = 2 * BASE_SEC,
				    .drain_time = 2 * BASE_SEC };
	batch_queue_info_t queue = { .name = BASE_STR("queue"),
				     .pool = BASE_STR("pool"),
				     .attempts = 3,
				     .stretch = 2,
				     .target_latency = BASE_SEC };
	batch_pool_info_t pool = { .name = BASE_STR("pool"),
				   .checks_admission = true };
	batch_t *core = batch_new(NULL, &options);

	batch_config(core, &queue, 1, &pool, 1);
	return core;
}

/* Text of the number, which is empty for 0. */
static base_str_t text_of(char *text, const char *kind, int number)
{
	*text = '\0';
	if (number)
		g_snprintf(text, TEXT_MAX, "%s%d", kind, number);
	return base_str(text);
}

static void list_worker(batch_t *core, int64_t now, int id, int address)
{
	char id_text[TEXT_MAX];
	char address_text[TEXT_MAX];
	char zone[TEXT_MAX];
	char rack[TEXT_MAX];
	batch_worker_info_t info = {
		.id = text_of(id_text, "w", id),
		.address = text_of(address_text, "a", address),
		.pool = BASE_STR("pool"),
		.zone = text_of(zone, "z", address % 2),
		.rack = text_of(rack, "r", address % 4),
		.capacity = { .cpu = 16000, .memory = 64000 },
	};

	batch_worker_listed(core, now, &info);
}

static void place_worker(batch_t *core, int64_t now, int id, int instance)
{
	char id_text[TEXT_MAX];
	char instance_text[TEXT_MAX];

	batch_worker_placed(core, now, text_of(id_text, "w", id),
			    text_of(instance_text, "i", instance));
}

static void poll_worker(batch_t *core, int64_t now, int id, int64_t incarnation)
{
	char id_text[TEXT_MAX];
	batch_poll_result_t poll = { .worker = text_of(id_text, "w", id),
				     .incarnation = incarnation,
				     .sent = now };

	batch_worker_polled(core, now, &poll);
}

/* Those before a worker, by a search through all. */
static void search_replaced(const batch_t *core, const batch_place_t *place,
			    GHashTable *replaced)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *other = value;
		batch_place_t former = { other->id, other->address,
					 other->instance };

		if (other->replaced || batch_place_is_same(&former, place))
			g_hash_table_add(replaced, g_strdup(other->id));
	}
}

static void check_replaced(const batch_t *core, GHashTable *replaced)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *worker = value;

		g_assert_cmpint(worker->replaced, ==,
				g_hash_table_contains(replaced, worker->id));
	}
}

static void place_and_check(batch_t *core, int64_t now, int id, int instance)
{
	GHashTable *replaced =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char id_text[TEXT_MAX];
	char instance_text[TEXT_MAX];
	batch_place_t place = {
		.worker = text_of(id_text, "w", id).ptr,
		.instance = text_of(instance_text, "i", instance).ptr
	};

	search_replaced(core, &place, replaced);
	place_worker(core, now, id, instance);
	check_replaced(core, replaced);
	g_hash_table_unref(replaced);
}

static void poll_and_check(batch_t *core, int64_t now, int id,
			   int64_t incarnation)
{
	char text[TEXT_MAX];
	batch_worker_t *worker =
		batch_find_worker(core, text_of(text, "w", id));
	GHashTable *replaced =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	batch_place_t place = { .worker = text };

	if (worker && worker->incarnation != incarnation)
		place.address = worker->address;
	search_replaced(core, &place, replaced);
	if (worker && worker->incarnation && place.address)
		g_hash_table_remove(replaced, text);
	poll_worker(core, now, id, incarnation);
	check_replaced(core, replaced);
	g_hash_table_unref(replaced);
}

/* Restores a job whose one task runs on the worker of this number. */
static void restore_job(batch_t *core, int number)
{
	char id[TEXT_MAX];
	char row[256];
	batch_step_spec_t step = {
		.count = 1,
		.need = { .cpu = 1000 },
		.estimate = 60 * BASE_SEC,
		.max_unavailable = -1,
	};
	batch_spec_t spec = {
		.id = text_of(id, "j", number),
		.queue = BASE_STR("queue"),
		.steps = &step,
		.n_steps = 1,
		.repeat = 1,
	};
	batch_stored_t stored = { .id = spec.id,
				  .spec = &spec,
				  .record = row,
				  .until = START + LEASE };

	g_snprintf(row, sizeof(row),
		   "{\"state\":\"running\",\"begun\":true,\"arrived\":1,"
		   "\"occurrences\":1,\"tasks\":[[0,0,0,0,1,0,\"w%d\",\"\"]],"
		   "\"incarnations\":{\"w%d\":1}}",
		   number, number);
	g_assert_true(batch_restore(core, START, START, &stored, NULL));
}

static void lose_worker(batch_t *core, int64_t now, int id,
			batch_loss_cause_t cause)
{
	char text[TEXT_MAX];
	base_str_t name = text_of(text, "w", id);

	if (cause != BATCH_LOSS_CRASHED)
		batch_worker_unlisted(core, now, name);
	batch_worker_terminated(core, now, name, cause);
}

static void do_event(batch_t *core, int64_t now, base_rng_t *rng)
{
	char text[TEXT_MAX];
	int id = 1 + (int)base_rng_below(rng, IDS);
	int place = (int)base_rng_below(rng, PLACES);

	switch (base_rng_below(rng, 9)) {
	case 0:
	case 1:
		list_worker(core, now, id, place);
		break;
	case 2:
		batch_worker_unlisted(core, now, text_of(text, "w", id));
		break;
	case 3:
		place_and_check(core, now, id, place);
		break;
	case 4:
	case 5:
		poll_and_check(core, now, id,
			       1 + (int64_t)base_rng_below(rng, 4));
		break;
	case 6:
		lose_worker(core, now, id,
			    (batch_loss_cause_t)base_rng_below(rng,
							       BATCH_LOSS_MAX));
		break;
	case 7:
		batch_worker_silent(core, text_of(text, "w", id));
		break;
	default:
		batch_workers_free_forgotten(core, now);
	}
}

/* Each entry of an index is a worker of its key, and each such worker is in. */
static void check_index(const batch_t *core, GHashTable *index,
			size_t key_offset)
{
	guint n_expected = 0;
	guint n_found = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const char *key = G_STRUCT_MEMBER(char *, value, key_offset);
		const GPtrArray *found = batch_index_find(index, key);

		if (!key || !*key)
			continue;
		n_expected++;
		g_assert_nonnull(found);
		g_assert_true(
			g_ptr_array_find((GPtrArray *)found, value, NULL));
	}
	g_hash_table_iter_init(&iter, index);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n_found += ((GPtrArray *)value)->len;
	g_assert_cmpuint(n_found, ==, n_expected);
}

static int count_listed(const batch_t *core, size_t key_offset, GQuark key)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((batch_worker_t *)value)->listed &&
		     G_STRUCT_MEMBER(GQuark, value, key_offset) == key;
	return n;
}

/* The number of listed workers, and the set of silent ones. */
static void check_counts(const batch_t *core, GHashTable *counts,
			 size_t key_offset)
{
	guint n_listed = 0;
	guint n_counted = 0;
	guint n_silent = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		n_counted += GPOINTER_TO_UINT(value);
	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *worker = value;

		n_silent += worker->silent;
		g_assert_cmpint(
			g_hash_table_contains(core->silent_workers, value), ==,
			worker->silent);
		if (!worker->listed)
			continue;
		n_listed++;
		key = GUINT_TO_POINTER(
			G_STRUCT_MEMBER(GQuark, value, key_offset));
		g_assert_cmpint(
			count_listed(
				core, key_offset,
				G_STRUCT_MEMBER(GQuark, value, key_offset)),
			==, GPOINTER_TO_INT(g_hash_table_lookup(counts, key)));
	}
	g_assert_cmpuint(n_counted, ==, n_listed);
	g_assert_cmpuint(g_hash_table_size(core->silent_workers), ==, n_silent);
}

/*
 * Guards against a worker that is taken for at work, or for replaced, by an
 * index that is not what the table of workers says.
 */
static void test_workers_by_place(void)
{
	uint64_t seed;
	int i;

	for (seed = 1; seed <= SEEDS; seed++) {
		base_rng_t rng = { .state = seed };
		batch_t *core = make_core();

		g_test_message("seed %d", (int)seed);
		for (i = 0; i < EVENTS; i++) {
			do_event(core, START + i * BASE_MS, &rng);
			check_index(core, core->workers_by_address,
				    G_STRUCT_OFFSET(batch_worker_t, address));
			check_index(core, core->workers_by_instance,
				    G_STRUCT_OFFSET(batch_worker_t, instance));
			check_counts(
				core, core->listed_in_zone,
				G_STRUCT_OFFSET(batch_worker_t, zone_quark));
			check_counts(
				core, core->listed_in_rack,
				G_STRUCT_OFFSET(batch_worker_t, rack_quark));
		}
		talloc_free(core);
	}
}

static batch_task_id_t task_of(char *text, int job, int64_t run)
{
	return (batch_task_id_t){ .job = text_of(text, "j", job),
				  .index = (int)run % 2 };
}

static void restore_doubt(batch_worker_t *worker, int64_t now,
			  const batch_task_id_t *task, int64_t run)
{
	batch_in_doubt_start_t start = { .job = (char *)task->job.ptr,
					 .index = task->index,
					 .run = run,
					 .until = now + LEASE,
					 .stopped_by = 1 };

	batch_find_job(worker->core, task->job)->has_stopped_starts = true;
	batch_doubt_restore(worker, &start);
}

static void end_doubt(batch_worker_t *worker, int64_t now,
		      const batch_task_id_t *task, int64_t run)
{
	batch_listed_end_t end = { .task = *task, .run = run };
	batch_poll_result_t poll = { .ends = &end, .n_ends = 1 };

	batch_doubt_poll(worker, now, &poll);
}

static void do_doubt_event(batch_worker_t *worker, int64_t now, base_rng_t *rng)
{
	char text[TEXT_MAX];
	int64_t run = 2 + base_rng_below(rng, RUNS);
	batch_task_id_t task =
		task_of(text, 1 + (int)base_rng_below(rng, JOBS), run);
	batch_order_t order = { .task = task, .run = run };

	switch (base_rng_below(rng, 7)) {
	case 0:
	case 1:
		batch_doubt_add(worker, now, &task, run,
				base_rng_below(rng, 2));
		break;
	case 2:
	case 3:
		batch_doubt_stopped(worker, now, &order);
		break;
	case 4:
		restore_doubt(worker, now, &task, run);
		break;
	case 5:
		end_doubt(worker, now, &task, run);
		break;
	default:
		batch_doubt_tick(worker, now);
	}
}

static void add_doubt(void *found, const batch_worker_t *worker,
		      const batch_in_doubt_start_t *start)
{
	g_ptr_array_add(found, g_strdup_printf("%s %s %d", worker->id,
					       start->job, (int)start->run));
}

/* The job's stopped starts in doubt, by a search through all workers. */
static void search_doubts(const batch_job_t *job, GPtrArray *found)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, job->core->workers);
	while (job->has_stopped_starts &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_worker_t *worker = value;

		for (i = 0; i < worker->in_doubt_starts->len; i++) {
			const batch_in_doubt_start_t *start =
				&g_array_index(worker->in_doubt_starts,
					       batch_in_doubt_start_t, i);

			if (start->stopped_by && !start->is_assumed &&
			    !strcmp(start->job, job->id))
				add_doubt(found, worker, start);
		}
	}
}

static gint compare_texts(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Releases both lists; returns the length, which is the same. */
static guint check_same(GPtrArray *found, GPtrArray *expected)
{
	guint n = expected->len;
	guint i;

	g_ptr_array_sort(found, compare_texts);
	g_ptr_array_sort(expected, compare_texts);
	g_assert_cmpuint(found->len, ==, n);
	for (i = 0; i < n; i++)
		g_assert_cmpstr(g_ptr_array_index(found, i), ==,
				g_ptr_array_index(expected, i));
	g_ptr_array_unref(found);
	g_ptr_array_unref(expected);
	return n;
}

static guint check_doubts(const batch_job_t *job)
{
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *expected = g_ptr_array_new_with_free_func(g_free);

	batch_doubt_each(job, add_doubt, found);
	search_doubts(job, expected);
	return check_same(found, expected);
}

static bool is_worker(const batch_t *core, const void *found)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (value == found)
			return true;
	return false;
}

/* No worker of the index was freed. */
static void check_doubt_index(const batch_t *core)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->workers_by_doubt);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *workers = value;

		for (i = 0; i < workers->len; i++)
			g_assert_true(
				is_worker(core, g_ptr_array_index(workers, i)));
	}
}

static guint run_doubts(uint64_t seed)
{
	base_rng_t rng = { .state = seed };
	batch_t *core = make_core();
	char text[TEXT_MAX];
	int64_t now = START;
	guint n = 0;
	int i;
	int j;

	for (j = 1; j <= JOBS; j++)
		restore_job(core, j);
	for (i = 0; i < EVENTS; i++) {
		int id = 1 + (int)base_rng_below(&rng, IDS);
		batch_worker_t *worker =
			batch_find_worker(core, text_of(text, "w", id));

		/* Now and then all starts are past, and workers are freed. */
		now += base_rng_below(&rng, 30) ? 50 * BASE_MS : 30 * BASE_SEC;
		if (!worker || base_rng_below(&rng, 4) == 0)
			do_event(core, now, &rng);
		else
			do_doubt_event(worker, now, &rng);
		check_doubt_index(core);
		for (j = 1; j <= JOBS; j++)
			n += check_doubts(
				batch_find_job(core, text_of(text, "j", j)));
	}
	talloc_free(core);
	return n;
}

/*
 * Guards against a row that lacks a start that a worker may carry out late
 * (TWICE), or names one of a worker that was freed.
 */
static void test_doubts_by_job(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		g_test_message("seed %d", (int)seed);
		g_assert_cmpuint(run_doubts(seed), >, 0);
	}
}

static void add_missing(batch_t *core, int64_t now, base_rng_t *rng)
{
	char id[TEXT_MAX];
	char job[TEXT_MAX];
	char address[TEXT_MAX];
	char instance[TEXT_MAX];
	batch_task_id_t task =
		task_of(job, 1 + (int)base_rng_below(rng, JOBS), 0);
	batch_missing_run_t run = {
		.run = 1 + base_rng_below(rng, RUNS),
		.incarnation = base_rng_below(rng, 3),
		.address = (char *)text_of(address, "a",
					   (int)base_rng_below(rng, PLACES))
				   .ptr,
		.instance = (char *)text_of(instance, "i",
					    (int)base_rng_below(rng, PLACES))
				    .ptr,
		.lost_at = now,
		.begun = base_rng_below(rng, 2),
		.if_crashed = (batch_suspicion_t)base_rng_below(
			rng, BATCH_SUSPECT_MAX),
	};

	batch_missing_add(text_of(id, "w", 1 + (int)base_rng_below(rng, IDS)),
			  batch_find_task(core, &task), &run);
}

static void note_missing(void *found, const char *worker,
			 const batch_missing_run_t *run)
{
	g_ptr_array_add(found,
			g_strdup_printf("%s %s %d %s %s %d", worker, run->job,
					(int)run->run, run->address,
					run->instance, (int)run->if_crashed));
}

/*
 * The missing runs of the job, or of all, by a search through all; without
 * those that are resolved when a worker is in the place.
 */
static GPtrArray *search_missing(batch_t *core, const batch_job_t *job,
				 const batch_place_t *place)
{
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->missing);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const GArray *runs = value;
		const batch_missing_run_t *last = &g_array_index(
			runs, batch_missing_run_t, runs->len - 1);
		batch_place_t former = { id, last->address, last->instance };
		bool is_replaced = place && batch_place_is_same(&former, place);

		for (i = 0; i < runs->len; i++) {
			const batch_missing_run_t *run =
				&g_array_index(runs, batch_missing_run_t, i);

			if ((!job || !strcmp(run->job, job->id)) &&
			    !(is_replaced &&
			      run->if_crashed != BATCH_SUSPECT_NONE))
				note_missing(found, id, run);
		}
	}
	return found;
}

static void replace_missing(batch_t *core, int64_t now, base_rng_t *rng)
{
	char id[TEXT_MAX];
	char address[TEXT_MAX];
	char instance[TEXT_MAX];
	batch_place_t place = {
		.worker =
			text_of(id, "w", 1 + (int)base_rng_below(rng, IDS)).ptr,
		.address =
			text_of(address, "a", (int)base_rng_below(rng, PLACES))
				.ptr,
		.instance =
			text_of(instance, "i", (int)base_rng_below(rng, PLACES))
				.ptr,
	};
	GPtrArray *expected = search_missing(core, NULL, &place);

	batch_missing_replace(core, now, &place);
	check_same(search_missing(core, NULL, NULL), expected);
}

static void do_missing_event(batch_t *core, int64_t now, base_rng_t *rng)
{
	char id[TEXT_MAX];

	switch (base_rng_below(rng, 5)) {
	case 0:
	case 1:
		add_missing(core, now, rng);
		break;
	case 2:
		text_of(id, "w", 1 + (int)base_rng_below(rng, IDS));
		batch_missing_resolve(core, now, id, base_rng_below(rng, 3));
		break;
	case 3:
		replace_missing(core, now, rng);
		break;
	default:
		batch_missing_expire(core, now);
	}
}

static guint check_missing(batch_t *core, const batch_job_t *job)
{
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);

	batch_missing_each(job, note_missing, found);
	return check_same(found, search_missing(core, job, NULL));
}

static guint count_values(GHashTable *index)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, index);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((GPtrArray *)value)->len;
	return n;
}

/*
 * Guards against a lost worker whose crash is not counted, or counted though
 * it lives, since an index is not what the table of missing runs says.
 */
static void test_missing_by_place_and_job(void)
{
	char text[TEXT_MAX];
	uint64_t seed;
	int i;
	int j;

	for (seed = 1; seed <= SEEDS; seed++) {
		base_rng_t rng = { .state = seed };
		batch_t *core = make_core();
		int64_t now = START;
		guint n = 0;

		g_test_message("seed %d", (int)seed);
		for (j = 1; j <= JOBS; j++)
			restore_job(core, j);
		for (i = 0; i < EVENTS; i++) {
			/* Some are kept for two minutes. */
			now += base_rng_below(&rng, 10) * BASE_SEC;
			do_missing_event(core, now, &rng);
			for (j = 1; j <= JOBS; j++)
				n += check_missing(
					core,
					batch_find_job(core,
						       text_of(text, "j", j)));
			g_assert_cmpuint(count_values(core->missing_by_address),
					 <=, g_hash_table_size(core->missing));
			g_assert_cmpuint(
				count_values(core->missing_by_instance), <=,
				g_hash_table_size(core->missing));
		}
		g_assert_cmpuint(n, >, 0);
		talloc_free(core);
	}
}

/*
 * Workers and runs that are gone through for others when "n" workers are
 * listed, placed and polled, each in the place of a former one.
 */
static uint64_t scan_new_workers(int n)
{
	batch_t *core = make_core();
	batch_stats_t stats;
	int i;

	for (i = 1; i <= 2 * n; i++)
		list_worker(core, START, i, 1 + i % n);
	for (i = 1; i <= 2 * n; i++)
		place_worker(core, START, i, 1 + i % n);
	for (i = 1; i <= 2 * n; i++)
		poll_worker(core, START, i, 1);
	batch_stats(core, &stats);
	talloc_free(core);
	return stats.scanned;
}

/* Guards against a takeover that takes the square of the workers. */
static void test_cost_of_new_workers(void)
{
	g_assert_cmpuint(scan_new_workers(MANY), <=,
			 scan_new_workers(FEW) * (MANY / FEW));
}

/* The same when each of the "n" workers replaces one with a missing run. */
static uint64_t scan_replaced(int n)
{
	batch_t *core = make_core();
	batch_stats_t stats;
	int i;

	for (i = 1; i <= n; i++) {
		char job[TEXT_MAX];
		char former[TEXT_MAX];
		char instance[TEXT_MAX];
		batch_task_id_t task = task_of(job, i, 0);
		batch_missing_run_t run = {
			.run = 1,
			.instance = (char *)text_of(instance, "i", i).ptr,
			.lost_at = START,
			.if_crashed = BATCH_SUSPECT_SHARED,
		};

		restore_job(core, i);
		batch_missing_add(text_of(former, "former", i),
				  batch_find_task(core, &task), &run);
	}
	for (i = n; i >= 1; i--) {
		list_worker(core, START, i, i);
		place_worker(core, START, i, i);
	}
	g_assert_cmpuint(g_hash_table_size(core->missing), ==, 0);
	batch_stats(core, &stats);
	talloc_free(core);
	return stats.scanned;
}

/* Guards against a takeover that takes the square of the lost workers. */
static void test_cost_of_missing_runs(void)
{
	g_assert_cmpuint(scan_replaced(MANY), <=,
			 scan_replaced(FEW) * (MANY / FEW));
}

/* The same when the rows of "n" jobs are printed, each with a stopped start. */
static uint64_t scan_rows(int n)
{
	batch_t *core = make_core();
	batch_stats_t stats;
	char text[TEXT_MAX];
	int i;

	for (i = 1; i <= n; i++) {
		batch_task_id_t task = task_of(text, i, 2);
		char worker[TEXT_MAX];

		restore_job(core, i);
		restore_doubt(batch_find_worker(core, text_of(worker, "w", i)),
			      START, &task, 2);
	}
	for (i = 1; i <= n; i++)
		batch_record_print(core,
				   batch_find_job(core, text_of(text, "j", i)),
				   true);
	batch_stats(core, &stats);
	talloc_free(core);
	return stats.scanned;
}

/* Guards against rows that take the square of the workers. */
static void test_cost_of_rows(void)
{
	g_assert_cmpuint(scan_rows(FEW), >, 0);
	g_assert_cmpuint(scan_rows(MANY), <=, scan_rows(FEW) * (MANY / FEW));
}

/* The same when some of "n" workers are lost at once, a task with each. */
static uint64_t scan_lost_workers(int n, int lost)
{
	batch_t *core = make_core();
	char text[TEXT_MAX];
	batch_stats_t before;
	batch_stats_t stats;
	int i;

	for (i = 1; i <= n; i++)
		list_worker(core, START, i, i);
	for (i = 1; i <= lost; i++)
		restore_job(core, i);
	for (i = 1; i <= n; i++)
		poll_worker(core, START, i, 1);
	for (i = 1; i <= lost; i++)
		batch_worker_silent(core, text_of(text, "w", i));
	batch_stats(core, &before);
	for (i = 1; i <= lost; i++)
		lose_worker(core, START + LEASE, i, BATCH_LOSS_UNKNOWN);
	g_assert_cmpuint(core->losses->len, ==, (guint)lost);
	batch_stats(core, &stats);
	talloc_free(core);
	return stats.scanned - before.scanned;
}

/*
 * Guards against a search for the common cause of lost workers that takes more
 * than their square: for each one the silent ones and the losses, once.
 */
static void test_cost_of_lost_workers(void)
{
	int lost;

	for (lost = FEW / 4; lost <= MANY; lost *= 2)
		g_assert_cmpuint(scan_lost_workers(MANY, lost), <=,
				 2 * (uint64_t)lost * (uint64_t)lost);
}

/* Guards against a loss that costs more the more workers are not lost. */
static void test_cost_of_few_lost_workers(void)
{
	g_assert_cmpuint(scan_lost_workers(MANY, FEW), <=,
			 scan_lost_workers(FEW, FEW));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-takeover/workers-by-place",
			test_workers_by_place);
	g_test_add_func("/batch-takeover/cost-of-new-workers",
			test_cost_of_new_workers);
	g_test_add_func("/batch-takeover/doubts-by-job", test_doubts_by_job);
	g_test_add_func("/batch-takeover/cost-of-rows", test_cost_of_rows);
	g_test_add_func("/batch-takeover/missing-by-place-and-job",
			test_missing_by_place_and_job);
	g_test_add_func("/batch-takeover/cost-of-missing-runs",
			test_cost_of_missing_runs);
	g_test_add_func("/batch-takeover/cost-of-lost-workers",
			test_cost_of_lost_workers);
	g_test_add_func("/batch-takeover/cost-of-few-lost-workers",
			test_cost_of_few_lost_workers);
	return g_test_run();
}
