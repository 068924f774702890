#include <string.h>

#include "site_joblog.h"

/* An in-memory store that can lose requests and responses. */
typedef struct fake {
	plat_store_t store;
	GHashTable *kvs; /* key to plat_kv_t, a talloc tree each */
	void *ctx;
	int64_t revision;
	int lose_answers, lose_requests;
	int writes;
	size_t largest; /* bytes of the largest value written */
} fake_t;

static plat_kv_t *find_kv(const fake_t *fake, const char *key)
{
	return g_hash_table_lookup(fake->kvs, key);
}

static bool fake_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err)
{
	fake_t *fake = (fake_t *)store;
	GHashTableIter iter;
	void *value;

	(void)err;
	out->count = 0;
	out->items = talloc_zero_array(ctx, plat_kv_t,
				       g_hash_table_size(fake->kvs) + 1);
	g_hash_table_iter_init(&iter, fake->kvs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const plat_kv_t *kv = value;

		if (prefix ? !strncmp(kv->key.ptr, key, strlen(key))
			   : !strcmp(kv->key.ptr, key))
			out->items[out->count++] = *kv;
	}
	return true;
}

static plat_cas_t fake_cas(plat_store_t *store, const plat_put_t *put,
			   int64_t *revision, GError **err)
{
	fake_t *fake = (fake_t *)store;
	plat_kv_t *kv = find_kv(fake, put->key), *fence = NULL;

	if (fake->lose_requests && fake->lose_requests--) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "lost");
		return PLAT_CAS_FAILED;
	}
	if (put->fence_key)
		fence = find_kv(fake, put->fence_key);
	if (put->expected != (kv ? kv->mod_revision : 0) ||
	    (put->fence_key &&
	     (!fence || fence->create_revision != put->fence_revision)))
		return PLAT_CAS_CONFLICT;
	*revision = ++fake->revision;
	if (!kv) {
		kv = talloc_zero(fake->ctx, plat_kv_t);
		kv->key = base_str(talloc_strdup(kv, put->key));
		kv->create_revision = fake->revision;
		g_hash_table_insert(fake->kvs, (char *)kv->key.ptr, kv);
	}
	kv->value = base_str(base_str_dup(kv, put->value));
	kv->mod_revision = fake->revision;
	fake->writes++;
	fake->largest = MAX(fake->largest, put->value.len);
	if (fake->lose_answers && fake->lose_answers--) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "lost");
		return PLAT_CAS_FAILED;
	}
	return PLAT_CAS_DONE;
}

static int64_t fake_grant(plat_store_t *store, int64_t ttl_s, GError **err)
{
	(void)store;
	(void)ttl_s;
	(void)err;
	return 1;
}

static bool fake_lease(plat_store_t *store, int64_t lease, GError **err)
{
	(void)lease;
	(void)err;
	g_hash_table_remove(((fake_t *)store)->kvs, "/cactusfield/duty/jobs");
	return true;
}

static const plat_store_ops_t fake_ops = {
	.range = fake_range,
	.keys = fake_range,
	.cas = fake_cas,
	.lease_grant = fake_grant,
	.lease_keep = fake_lease,
	.lease_revoke = fake_lease,
};

typedef struct fixture {
	fake_t fake;
	void *ctx;
	plat_duty_t *duty;
	site_joblog_t *log;
	GHashTable *states; /* job id to the state last committed */
	/* Jobs read in the last takeover, by state and in total. */
	int read_by_state[JOBS_STATE_MAX];
	int n_read;
	const char *learned; /* learned data of the holder's core, or NULL */
	char *read_learned;
} fixture_t;

static void count_record(void *arg, base_str_t text)
{
	fixture_t *w = arg;
	void *ctx = talloc_new(NULL);
	jobs_record_t record;

	g_assert_true(jobs_record_load(ctx, text, &record, NULL));
	w->read_by_state[record.state]++;
	w->n_read++;
	talloc_free(ctx);
}

/* Stands in for the jobs core: returns a job's record for a snapshot. */
static bool current_record(void *arg, base_str_t id, jobs_record_t *record)
{
	fixture_t *w = arg;

	*record = (jobs_record_t){
		.spec = { .id = id,
			  .team = BASE_STR("team"),
			  .family = BASE_STR("family") },
		.state = (jobs_state_t)GPOINTER_TO_INT(
			g_hash_table_lookup(w->states, id.ptr)),
	};
	return g_hash_table_contains(w->states, id.ptr);
}

static char *learned_data(void *arg, const void *ctx, size_t max)
{
	const char *learned = ((fixture_t *)arg)->learned;

	g_assert_cmpuint(max, <, SITE_JOBLOG_VALUE_MAX);
	return talloc_strdup(ctx, learned ? learned : "[]");
}

static void save_learned(void *arg, base_str_t text)
{
	fixture_t *w = arg;

	w->read_learned = base_str_dup(w, text);
}

/* Replaces the current holder by another one. */
static void take_over(fixture_t *w)
{
	plat_duty_options_t options = { .store = &w->fake.store,
					.name = "jobs",
					.holder = "x",
					.ttl_s = 3 };
	GError *err = NULL;

	g_hash_table_remove(w->fake.kvs, "/cactusfield/duty/jobs");
	w->duty = plat_duty_new(w->ctx, &options);
	g_assert_true(plat_duty_tick(w->duty, 0));
	w->log = site_joblog_new(w->ctx, &w->fake.store, w->duty);
	memset(w->read_by_state, 0, sizeof(w->read_by_state));
	w->n_read = 0;
	w->read_learned = NULL;
	site_joblog_read(w->log, count_record, save_learned, w, &err);
	g_assert_no_error(err);
}

static fixture_t *fixture_new(void)
{
	fixture_t *w = talloc_zero(NULL, fixture_t);

	w->ctx = w;
	w->fake.store.ops = &fake_ops;
	w->fake.ctx = w;
	w->fake.kvs = g_hash_table_new(g_str_hash, g_str_equal);
	w->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	take_over(w);
	return w;
}

static void fixture_free(fixture_t *w)
{
	GHashTable *kvs = w->fake.kvs;

	g_hash_table_destroy(w->states);
	talloc_free(w);
	g_hash_table_destroy(kvs);
}

/* Commits "n" jobs, numbered from "from", in this state. */
static jobs_commit_t commit_jobs(fixture_t *w, int from, int n,
				 jobs_state_t state)
{
	jobs_record_t *records = talloc_zero_array(w, jobs_record_t, n);
	jobs_commit_t done;

	for (int i = 0; i < n; i++) {
		char *id = talloc_asprintf(records, "job-%d", from + i);

		g_hash_table_replace(w->states, g_strdup(id),
				     GINT_TO_POINTER(state));
		current_record(w, base_str(id), &records[i]);
	}
	done = site_joblog_commit(w->log, records, (size_t)n);
	talloc_free(records);
	return done;
}

static void test_taken_over(void)
{
	fixture_t *w = fixture_new();

	g_assert_cmpint(commit_jobs(w, 0, 10, JOBS_QUEUED), ==,
			JOBS_COMMIT_DONE);
	g_assert_cmpint(commit_jobs(w, 5, 5, JOBS_DONE), ==, JOBS_COMMIT_DONE);
	site_joblog_remove(w->log, BASE_STR("job-9"));
	g_assert_cmpint(commit_jobs(w, 0, 0, JOBS_DONE), ==, JOBS_COMMIT_DONE);
	take_over(w);
	g_assert_cmpint(w->n_read, ==, 9);
	g_assert_cmpint(w->read_by_state[JOBS_DONE], ==, 4);
	fixture_free(w);
}

/* A removal is written even if no other commit follows. */
static void test_forgotten_at_once(void)
{
	fixture_t *w = fixture_new();
	int writes;

	g_assert_cmpint(commit_jobs(w, 0, 3, JOBS_DONE), ==, JOBS_COMMIT_DONE);
	writes = w->fake.writes;
	site_joblog_remove(w->log, BASE_STR("job-1"));
	w->fake.lose_requests = 1;
	g_assert_true(
		site_joblog_snapshot(w->log, current_record, learned_data, w));
	g_assert_true(
		site_joblog_snapshot(w->log, current_record, learned_data, w));
	g_assert_true(
		site_joblog_snapshot(w->log, current_record, learned_data, w));
	g_assert_cmpint(w->fake.writes, ==, writes + 1);
	take_over(w);
	g_assert_cmpint(w->n_read, ==, 2);
	fixture_free(w);
}

static void test_nothing_new_is_not_written(void)
{
	fixture_t *w = fixture_new();
	int writes;

	commit_jobs(w, 0, 10, JOBS_QUEUED);
	writes = w->fake.writes;
	commit_jobs(w, 0, 10, JOBS_QUEUED);
	g_assert_cmpint(w->fake.writes, ==, writes);
	commit_jobs(w, 0, 11, JOBS_QUEUED);
	g_assert_cmpint(w->fake.writes, ==, writes + 1);
	fixture_free(w);
}

static void test_lost_answers(void)
{
	fixture_t *w = fixture_new();

	w->fake.lose_answers = 1;
	g_assert_cmpint(commit_jobs(w, 0, 3, JOBS_QUEUED), ==,
			JOBS_COMMIT_DONE);
	w->fake.lose_requests = 1;
	g_assert_cmpint(commit_jobs(w, 3, 3, JOBS_QUEUED), ==,
			JOBS_COMMIT_UNKNOWN);
	/* An unfinished commit is completed before new records. */
	g_assert_cmpint(commit_jobs(w, 2, 5, JOBS_DONE), ==, JOBS_COMMIT_DONE);
	take_over(w);
	g_assert_cmpint(w->n_read, ==, 7);
	g_assert_cmpint(w->read_by_state[JOBS_DONE], ==, 5);
	fixture_free(w);
}

static void test_late_holder_is_fenced(void)
{
	fixture_t *w = fixture_new();
	site_joblog_t *late = w->log, *present;

	commit_jobs(w, 0, 1, JOBS_QUEUED);
	take_over(w);
	present = w->log;
	w->log = late;
	g_assert_cmpint(commit_jobs(w, 1, 1, JOBS_QUEUED), ==,
			JOBS_COMMIT_FENCED);
	g_assert_false(
		site_joblog_snapshot(late, current_record, learned_data, w));
	w->log = present;
	g_assert_cmpint(commit_jobs(w, 2, 1, JOBS_QUEUED), ==,
			JOBS_COMMIT_DONE);
	take_over(w);
	g_assert_cmpint(w->n_read, ==, 2);
	fixture_free(w);
}

/* A commit of several records whose last one is missing is ignored. */
static void test_half_a_commit_is_none(void)
{
	fixture_t *w = fixture_new();
	int writes;

	commit_jobs(w, 0, 1, JOBS_QUEUED);
	site_joblog_remove(w->log, BASE_STR("job-0"));
	writes = w->fake.writes;
	g_assert_cmpint(commit_jobs(w, 1, 9000, JOBS_QUEUED), ==,
			JOBS_COMMIT_DONE);
	g_assert_cmpint(w->fake.writes, ==, writes + 5);
	g_assert_cmpuint(w->fake.largest, <=, SITE_JOBLOG_VALUE_MAX);
	/* Remove the last record of the commit. */
	g_hash_table_remove(w->fake.kvs, "/cactusfield/jobs/log/0006");
	take_over(w);
	g_assert_cmpint(w->n_read, ==, 1);
	/*
	 * The remaining records of this commit are not read as part of another
	 * one.
	 */
	commit_jobs(w, 20000, 1, JOBS_QUEUED);
	take_over(w);
	g_assert_cmpint(w->n_read, ==, 2);
	fixture_free(w);
}

/* A record with a malformed id is an error; it is never skipped. */
static void test_no_id(void)
{
	static const char *const values[] = {
		"{\"seq\":1,\"fence\":1,\"more\":false,\"gone\":[7]}",
		"{\"seq\":1,\"fence\":1,\"more\":false,\"put\":[{}]}",
	};
	fixture_t *w = fixture_new();

	commit_jobs(w, 0, 1, JOBS_QUEUED);
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		site_joblog_t *log =
			site_joblog_new(w->ctx, &w->fake.store, w->duty);
		GError *err = NULL;

		find_kv(&w->fake, "/cactusfield/jobs/log/0001")->value =
			base_str(values[i]);
		g_assert_false(site_joblog_read(log, count_record, save_learned,
						w, &err));
		g_assert_error(err, JOBS_ERROR, JOBS_ERR_RECORD);
		g_clear_error(&err);
	}
	fixture_free(w);
}

/* Runs one step; in some steps the store loses a response or a request. */
static void commit_and_snapshot(fixture_t *w, int i)
{
	jobs_state_t state = i % 2 ? JOBS_QUEUED : JOBS_HELD;

	g_assert_cmpint(commit_jobs(w, i % 50, 1 + i % 7, state), ==,
			JOBS_COMMIT_DONE);
	w->fake.lose_answers = i % 11 == 0;
	w->fake.lose_requests = i % 13 == 0;
	g_assert_true(
		site_joblog_snapshot(w->log, current_record, learned_data, w));
	w->fake.lose_requests = 0;
}

static void test_snapshots(void)
{
	fixture_t *w = fixture_new();
	int states[JOBS_STATE_MAX] = { 0 };
	GHashTableIter iter;
	void *state;

	for (int i = 0; i < SITE_JOBLOG_SLOTS * 3; i++)
		commit_and_snapshot(w, i);
	g_assert_cmpuint(site_joblog_stats(w->log).snapshots, >=, 5);
	g_hash_table_iter_init(&iter, w->states);
	while (g_hash_table_iter_next(&iter, NULL, &state))
		states[GPOINTER_TO_INT(state)]++;
	for (int i = 0; i < 2; i++) {
		take_over(w);
		g_assert_cmpint(w->n_read, ==, 56);
		g_assert_cmpmem(states, sizeof(states), w->read_by_state,
				sizeof(w->read_by_state));
	}
	fixture_free(w);
}

/* The learned data of a snapshot, and an older snapshot without any. */
static void test_learned(void)
{
	fixture_t *w = fixture_new();
	plat_kv_t *part;
	char *end;

	w->learned = "[{\"family\":\"pack\"}]";
	for (int i = 0; !site_joblog_stats(w->log).snapshots; i++) {
		g_assert_cmpint(i, <, SITE_JOBLOG_SLOTS);
		commit_and_snapshot(w, i);
	}
	take_over(w);
	g_assert_cmpstr(w->read_learned, ==, w->learned);
	part = find_kv(&w->fake, "/cactusfield/jobs/snap/1/0000");
	end = strstr(part->value.ptr, ",\"learned\":");
	g_assert_nonnull(end);
	g_strlcpy(end, "}", 2);
	part->value = base_str(part->value.ptr);
	take_over(w);
	g_assert_null(w->read_learned);
	g_assert_cmpint(w->n_read, ==, 56);
	fixture_free(w);
}

static void assert_idle_contains(const fixture_t *w, const char *instances)
{
	const plat_kv_t *kv = find_kv(&w->fake, SITE_JOBS_IDLE);

	g_assert_nonnull(kv);
	g_assert_nonnull(strstr(kv->value.ptr, instances));
}

/* A holder's idle record is void once another holder has written one. */
static void test_idle(void)
{
	const fleet_idle_t idle[] = { { "b", 7 }, { "a", 5 } };
	fleet_opts_t opts = { 0 };
	fixture_t *w = fixture_new();
	site_joblog_t *late = w->log;

	g_assert_cmpint(site_joblog_write_idle(w->log, true, idle, 2), ==,
			JOBS_COMMIT_DONE);
	assert_idle_contains(w, "\"instances\":{\"a\":5,\"b\":7}");
	g_assert_true(site_apply_idle(
		fleet_new(w, &opts), find_kv(&w->fake, SITE_JOBS_IDLE)->value));
	site_joblog_write_idle(w->log, true, idle, 2);
	g_assert_cmpint(w->fake.writes, ==, 2);
	take_over(w);
	g_assert_cmpint(site_joblog_write_idle(w->log, true, NULL, 0), ==,
			JOBS_COMMIT_DONE);
	g_assert_cmpint(site_joblog_write_idle(late, true, idle, 1), ==,
			JOBS_COMMIT_FENCED);
	assert_idle_contains(w, "\"instances\":{}");
	g_assert_false(site_apply_idle(NULL, BASE_STR("{}")));
	fixture_free(w);
}

/* Jobs may run until the holder reports that no team and no task is left. */
static void test_no_jobs(void)
{
	fixture_t *w = fixture_new();
	bool may_run = true;

	g_assert_true(site_jobs_may_run(&w->fake.store, &may_run, NULL));
	g_assert_false(may_run);
	site_joblog_write_idle(w->log, true, NULL, 0);
	g_assert_true(site_jobs_may_run(&w->fake.store, &may_run, NULL));
	g_assert_true(may_run);
	site_joblog_write_idle(w->log, false, NULL, 0);
	g_assert_true(site_jobs_may_run(&w->fake.store, &may_run, NULL));
	g_assert_false(may_run);
	fixture_free(w);
}

/* A write with unknown outcome is repeated before any other write. */
static void test_idle_lost(void)
{
	const fleet_idle_t idle[] = { { "b", 7 }, { "a", 5 } };
	fixture_t *w = fixture_new();

	w->fake.lose_requests = 1;
	g_assert_cmpint(site_joblog_write_idle(w->log, true, idle, 1), ==,
			JOBS_COMMIT_UNKNOWN);
	w->fake.lose_answers = 1;
	g_assert_cmpint(site_joblog_write_idle(w->log, true, idle, 0), ==,
			JOBS_COMMIT_DONE);
	assert_idle_contains(w, "\"instances\":{}");
	site_joblog_write_idle(w->log, true, idle, 1);
	assert_idle_contains(w, "\"instances\":{\"b\":7}");
	fixture_free(w);
}

/* Without snapshots the ring fills up and commits wait. */
static void test_full_ring_waits(void)
{
	fixture_t *w = fixture_new();
	jobs_commit_t done = JOBS_COMMIT_DONE;
	int i;

	for (i = 0; done == JOBS_COMMIT_DONE; i++)
		done = commit_jobs(w, 0, 1, i % 2 ? JOBS_QUEUED : JOBS_HELD);
	g_assert_cmpint(done, ==, JOBS_COMMIT_UNKNOWN);
	g_assert_cmpint(i, ==, SITE_JOBLOG_SLOTS);
	g_assert_true(
		site_joblog_snapshot(w->log, current_record, learned_data, w));
	g_assert_cmpint(commit_jobs(w, 0, 1, JOBS_DONE), ==, JOBS_COMMIT_DONE);
	take_over(w);
	g_assert_cmpint(w->read_by_state[JOBS_DONE], ==, 1);
	fixture_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/joblog/taken-over", test_taken_over);
	g_test_add_func("/joblog/forgotten", test_forgotten_at_once);
	g_test_add_func("/joblog/nothing-new", test_nothing_new_is_not_written);
	g_test_add_func("/joblog/lost-answers", test_lost_answers);
	g_test_add_func("/joblog/late-holder", test_late_holder_is_fenced);
	g_test_add_func("/joblog/half-a-commit", test_half_a_commit_is_none);
	g_test_add_func("/joblog/no-id", test_no_id);
	g_test_add_func("/joblog/snapshots", test_snapshots);
	g_test_add_func("/joblog/learned", test_learned);
	g_test_add_func("/joblog/idle", test_idle);
	g_test_add_func("/joblog/idle-lost", test_idle_lost);
	g_test_add_func("/joblog/no-jobs", test_no_jobs);
	g_test_add_func("/joblog/full-ring", test_full_ring_waits);
	return g_test_run();
}
