#include "claim_three.h"

static const claim_member_t former_members[] = {
	{ "x", "z1", 1 },
	{ "y", "z2", 1 },
	{ "z", "z3", 1 },
};

/* The table of "a" in epoch 2, without any records of epoch 1. */
static claim_table_t *new_table_without_records(void)
{
	claim_epoch_t epoch =
		epoch_of(2, list_of(three, 3), list_of(former_members, 3));
	claim_table_t *table = new_table("a", 100);

	claim_table_adopt(table, &epoch, NOW, NOW);
	return table;
}

/*
 * After the loss of both copies of a slice a ticket of the new epoch is known
 * to be new, another key is not.
 */
static void test_fence_ticket(void)
{
	claim_table_t *table = new_table_without_records();
	claim_take_t take = take_of(nth_id(true, 0), 1);
	claim_reply_t reply;

	take.epoch = 2;
	claim_table_take(table, &take, NOW, &reply);
	g_assert_true(reply.verdict == CLAIM_GRANTED && !reply.fresh);
	g_assert_true(reply.copy_pending);
	claim_table_confirm(table, 2, NOW + CLAIM_COPY_US);
	claim_table_take(table, &take, NOW + CLAIM_COPY_US, &reply);
	g_assert_true(reply.verdict == CLAIM_GRANTED && !reply.copy_pending);
	take = take_of(nth_id(true, 1), 1);
	take.epoch = 2;
	take.ticket = 2;
	claim_table_take(table, &take, NOW, &reply);
	g_assert_true(reply.verdict == CLAIM_GRANTED && reply.fresh);
	talloc_free(table);
}

/*
 * A slice is fenced while entries of the former list may still grant takes, and
 * for the length of the window after that.
 */
static void test_fence_time(void)
{
	const claim_limits_t *limits = &claim_limits_default;
	claim_table_t *table = new_table_without_records();
	claim_contact_t ended = { "x", 1, 2, -1, 0 };
	int64_t soon =
		limits->window_us + limits->lag_us + limits->confirm_ttl_us;
	int64_t late = limits->window_us + limits->store_outage_us;

	soon += soon / 16;
	g_assert_true(claim_table_stats(table, NOW + late).fenced > 0);
	g_assert_true(claim_table_settled(table, NOW + soon) == 0);
	/* Two of three former entries have left epoch 1 or restarted. */
	claim_table_contact(table, &ended, NOW);
	ended = (claim_contact_t){ "y", 2, 0, -1, 0 };
	claim_table_contact(table, &ended, NOW);
	g_assert_true(claim_table_settled(table, NOW + soon) == 1);
	late = limits->window_us;
	g_assert_true(claim_table_stats(table, NOW + late).fenced > 0);
	g_assert_true(claim_table_stats(table, NOW + soon).fenced == 0);
	talloc_free(table);
}

/* A new entry copies slices with their claims from a former home. */
static void test_sync(void)
{
	const claim_member_t next_members[] = { { "b", "z2", 1 },
						{ "c", "z3", 1 },
						{ "d", "z1", 1 } };
	claim_epoch_t next =
		epoch_of(2, list_of(next_members, 3), list_of(three, 3));
	claim_table_t *old = new_table_in_epoch_1("a", 1000);
	claim_table_t *new = new_table("d", 1000);
	claim_batch_t *batch = talloc(old, claim_batch_t);
	claim_pull_t pull;
	unsigned taken = 0, batches = 0, learnt = 0;

	for (unsigned i = 0; i < 300; i++)
		taken += take_at(old, take_of(nth_id(true, i), 1), NOW) ==
			 CLAIM_GRANTED;
	claim_table_adopt(new, &next, NOW, NOW);
	while (claim_table_next_pull(new, 0, NOW, &pull) && batches++ < 400) {
		bool is_old = !strcmp(pull.source.id, "a");

		claim_table_export(old, &pull, NOW, batch);
		if (batches == 1) {
			g_assert_false(batch->ok); /* still in epoch 1 */
			claim_table_adopt(old, &next, NOW, NOW);
		}
		claim_table_import(new, &pull, is_old ? batch : NULL, NOW);
	}
	g_assert_cmpuint(taken, >, 250);
	for (unsigned i = 0; i < 300; i++) {
		claim_take_t take = take_of(nth_id(true, i), 2);

		take.epoch = 2;
		learnt += take_at(new, take, NOW) == CLAIM_HELD;
	}
	g_assert_cmpuint(learnt, >, 0);
	g_assert_cmpuint(claim_table_stats(new, NOW).records, >=, learnt);
	talloc_free(old);
	talloc_free(new);
}

/* Let "to" pull from the three tables "from" until no pull is left. */
static void copy_from(claim_table_t *to, claim_table_t *const from[3])
{
	claim_batch_t *batch = talloc(to, claim_batch_t);
	claim_pull_t pull;

	while (claim_table_next_pull(to, 0, NOW, &pull)) {
		claim_table_t *source = from[pull.source.id[0] - 'a'];

		claim_table_export(source, &pull, NOW, batch);
		claim_table_import(to, &pull, batch, NOW);
	}
	talloc_free(batch);
}

/* The list changes again before a new entry has copied its slices. */
static void test_sync_two_changes(void)
{
	const claim_member_t four[] = {
		three[0], three[1], three[2], { "d", "z1", 1 }
	};
	claim_epoch_t second = epoch_of(2, list_of(four, 4), list_of(three, 3));
	claim_epoch_t third =
		epoch_of(3, list_of(&four[1], 3), list_of(four, 4));
	claim_table_t *new = new_table("d", 100);
	claim_table_t *old[3];

	claim_table_adopt(new, &second, NOW, NOW);
	g_assert_cmpuint(claim_table_uncopied_slices(new, NOW), >, 0);
	claim_table_adopt(new, &third, NOW, NOW);
	for (int i = 0; i < 3; i++) {
		old[i] = new_table_in_epoch_1(three[i].id, 100);
		claim_table_adopt(old[i], &second, NOW, NOW);
		claim_table_adopt(old[i], &third, NOW, NOW);
	}
	copy_from(new, old);
	g_assert_cmpuint(claim_table_uncopied_slices(new, NOW), ==, 0);
	g_assert_cmpuint(claim_table_stats(new, NOW).fenced, ==, 0);
	for (int i = 0; i < 3; i++)
		talloc_free(old[i]);
	talloc_free(new);
}

/* If a source itself lacks records of the slice, another one is asked. */
static void test_sync_poor_source(void)
{
	claim_epoch_t third =
		epoch_of(3, list_of(three, 3), list_of(former_members, 3));
	claim_table_t *table = new_table("a", 100);
	claim_batch_t batch = { .ok = true,
				.last = true,
				.lost_epoch = 1,
				.complete_age = -BASE_SEC };
	claim_pull_t first, second;

	claim_table_adopt(table, &third, NOW, NOW);
	g_assert_true(claim_table_next_pull(table, 0, NOW, &first));
	claim_table_import(table, &first, &batch, NOW);
	g_assert_true(claim_table_next_pull(table, first.slice, NOW, &second));
	g_assert_cmpuint(second.slice, ==, first.slice);
	g_assert_cmpstr(second.source.id, !=, first.source.id);
	batch.lost_epoch = 0;
	batch.complete_age = 2 * claim_limits_default.window_us;
	claim_table_import(table, &second, &batch, NOW);
	g_assert_true(claim_table_next_pull(table, first.slice, NOW, &second));
	g_assert_cmpuint(second.slice, !=, first.slice);
	talloc_free(table);
}

/*
 * A record that is past the window but not yet removed must not hide the record
 * of a later run that a former home exports: the id could run again too early.
 */
static void test_sync_old_record(void)
{
	claim_epoch_t second =
		epoch_of(2, list_of(&three[1], 2), list_of(three, 3));
	claim_epoch_t third =
		epoch_of(3, list_of(three, 3), list_of(&three[1], 2));
	claim_table_t *table = new_table_in_epoch_1("a", 100);
	claim_take_t take = take_of(nth_id(true, 0), 1);
	claim_finish_t old = { take.id, take.attempt, 5, 3, BASE_STR("old") };
	int64_t window = claim_limits_default.window_us, now = NOW + 2 * window;
	claim_batch_t *batch = talloc_zero(table, claim_batch_t);
	claim_pull_t pull;

	take_at(table, take, NOW);
	claim_table_finish(table, &old, NOW);
	claim_table_adopt(table, &second, now, now);
	claim_table_adopt(table, &third, now, now);
	claim_table_next_pull(table, claim_id_slice(take.id), now, &pull);
	g_assert_cmpuint(pull.slice, ==, claim_id_slice(take.id));
	batch->ok = true;
	batch->last = true;
	batch->complete_age = 4 * window;
	batch->n = 1;
	batch->copies[0] = (claim_copy_t){ .id = take.id,
					   .attempt = { 8, 8 },
					   .fingerprint = 5,
					   .age = BASE_SEC,
					   .state = 1 };
	claim_table_import(table, &pull, batch, now);
	take.attempt.number = 2;
	take.epoch = 3;
	now += window / 2;
	claim_table_confirm(table, 3, now);
	g_assert_cmpint(take_at(table, take, now), ==, CLAIM_HELD);
	talloc_free(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/fence-ticket", test_fence_ticket);
	g_test_add_func("/claim/fence-time", test_fence_time);
	g_test_add_func("/claim/sync", test_sync);
	g_test_add_func("/claim/sync-old-record", test_sync_old_record);
	g_test_add_func("/claim/sync-two-changes", test_sync_two_changes);
	g_test_add_func("/claim/sync-poor-source", test_sync_poor_source);
	return g_test_run();
}
