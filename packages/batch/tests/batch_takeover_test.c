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
	batch_worker_info_t info = {
		.id = text_of(id_text, "w", id),
		.address = text_of(address_text, "a", address),
		.pool = BASE_STR("pool"),
		.zone = BASE_STR("zone"),
		.rack = BASE_STR("rack"),
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

	switch (base_rng_below(rng, 8)) {
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
		}
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

/* The same when a third of "n" workers are lost at once, a task with each. */
static uint64_t scan_lost_workers(int n)
{
	batch_t *core = make_core();
	char text[TEXT_MAX];
	batch_stats_t stats;
	int lost = n / 3;
	int i;

	for (i = 1; i <= n; i++)
		list_worker(core, START, i, i);
	for (i = 1; i <= lost; i++)
		restore_job(core, i);
	for (i = 1; i <= n; i++)
		poll_worker(core, START, i, 1);
	for (i = 1; i <= lost; i++)
		batch_worker_silent(core, text_of(text, "w", i));
	for (i = 1; i <= lost; i++)
		lose_worker(core, START + LEASE, i, BATCH_LOSS_UNKNOWN);
	g_assert_cmpuint(core->losses->len, ==, (guint)lost);
	batch_stats(core, &stats);
	talloc_free(core);
	return stats.scanned;
}

/*
 * Guards against a search for the common cause of lost workers that takes more
 * than the square of the workers.
 */
static void test_cost_of_lost_workers(void)
{
	g_assert_cmpuint(scan_lost_workers(MANY), <=,
			 scan_lost_workers(FEW) * (MANY / FEW) * (MANY / FEW));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-takeover/workers-by-place",
			test_workers_by_place);
	g_test_add_func("/batch-takeover/cost-of-new-workers",
			test_cost_of_new_workers);
	g_test_add_func("/batch-takeover/cost-of-lost-workers",
			test_cost_of_lost_workers);
	return g_test_run();
}
