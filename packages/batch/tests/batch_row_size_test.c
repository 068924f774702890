/*
 * Rows of large jobs: the store refuses each change that has a row larger than
 * a value may be.
 */
#include "batch_int.h"
#include "batch_world.h"

#define MS BASE_MS
#define SECOND BASE_SEC
#define ROW_MAX 20000
/* Tasks whose ends fit into such a row. */
#define TASKS_MAX 468

/* Workers with ids of 50 bytes. */
static world_t *new_world(int workers)
{
	world_t *world = world_new(1, workers, 2);
	int i;

	for (i = 0; i < workers; i++)
		g_snprintf(world->workers[i].id, WORLD_NAME_MAX, "w%049d", i);
	world->row_max = ROW_MAX;
	world_take_over(world);
	world_advance(world, 200 * MS);
	return world;
}

static void check_and_free(world_t *world)
{
	g_assert_cmpstr(world->first_violation, ==, "");
	g_assert_cmpuint(world->longest_row, <=, ROW_MAX);
	world_free(world);
}

/* Checkpoints as long as the page's examples. */
static void set_checkpoints(const world_t *world, const char *id, size_t len)
{
	batch_job_t *job = batch_find_job(world->core, base_str(id));
	char *text = g_strnfill(len, 'c');
	const batch_occ_t *occ;
	int i;

	for (i = 0;
	     job && job->occs && job->occs->len && i < job->spec.steps[0].count;
	     i++) {
		occ = g_ptr_array_index(job->occs, 0);
		talloc_free(occ->steps[0].tasks[i].checkpoint);
		occ->steps[0].tasks[i].checkpoint =
			talloc_strdup(occ->steps[0].tasks, text);
	}
	g_free(text);
}

/* Guards against a job whose row outgrows the store's values while its tasks
 * are at work, so that nothing is stored any more, of any job. */
static void test_many_tasks_at_work(void)
{
	world_t *world = new_world(120);
	batch_step_spec_t step = world_step(TASKS_MAX);
	int64_t until;

	world_submit(world, "a", &step, 1);
	for (until = world->now + 60 * SECOND;
	     world->now < until &&
	     world_state(world, "a") != BATCH_COMPLETED;) {
		set_checkpoints(world, "a", 40);
		world_advance(world, 100 * MS);
	}
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

/* The next holder goes on, without the checkpoints that had no room. */
static void test_takeover(void)
{
	world_t *world = new_world(120);
	batch_step_spec_t step = world_step(TASKS_MAX);
	int i;

	world_submit(world, "a", &step, 1);
	for (i = 0; i < 10; i++) {
		set_checkpoints(world, "a", 200);
		world_advance(world, 100 * MS);
	}
	world_take_over(world);
	world_advance(world, 60 * SECOND);
	g_assert_cmpint(world_state(world, "a"), ==, BATCH_COMPLETED);
	check_and_free(world);
}

static bool fits(const batch_step_spec_t *steps, int n)
{
	batch_spec_t spec = { .id = BASE_STR("a"),
			      .steps = steps,
			      .n_steps = n };
	GError *err = NULL;
	bool is_well = batch_spec_fits(&spec, ROW_MAX, &err);

	g_assert_true(is_well == (err == NULL));
	g_clear_error(&err);
	return is_well;
}

/* Steps one after the other do not add up, others do. */
static void test_what_fits(void)
{
	batch_step_spec_t steps[3] = { world_step(300), world_step(300),
				       world_step(300) };
	batch_step_spec_t one = world_step(TASKS_MAX + 1);

	g_assert_false(fits(&one, 1));
	one.count--;
	g_assert_true(fits(&one, 1));
	g_assert_false(fits(steps, 2));
	steps[1].depends_on = 1;
	g_assert_true(fits(steps, 2));
	steps[2].depends_on = 1;
	g_assert_false(fits(steps, 3));
	steps[2].depends_on = 2;
	g_assert_true(fits(steps, 3));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch-row-size/many-tasks-at-work",
			test_many_tasks_at_work);
	g_test_add_func("/batch-row-size/takeover", test_takeover);
	g_test_add_func("/batch-row-size/what-fits", test_what_fits);
	return g_test_run();
}
