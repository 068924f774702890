#include <string.h>

#include "jobs.h"

#define SECOND ((int64_t)1000000)

/* Counts the operations that the core called, and keeps the last order. */
typedef struct log {
	int commits, starts, checkpoints, throttles, resumes, stops;
	jobs_commit_t answer;
	jobs_order_t last;
	char job[JOBS_ID_MAX + 1], worker[JOBS_ID_MAX + 1];
} log_t;

static void record_order(log_t *log, const jobs_order_t *order)
{
	log->last = *order;
	g_strlcpy(log->job, order->job.ptr, sizeof(log->job));
	g_strlcpy(log->worker, order->worker.ptr, sizeof(log->worker));
}

static jobs_commit_t commit(void *arg, const jobs_record_t *records, size_t n)
{
	log_t *log = arg;

	(void)records;
	g_assert_cmpuint(n, >, 0);
	log->commits++;
	return log->answer;
}

#define DEFINE_ORDER_FN(name, member)                          \
	static void name(void *arg, const jobs_order_t *order) \
	{                                                      \
		((log_t *)arg)->member++;                      \
		record_order(arg, order);                      \
	}
DEFINE_ORDER_FN(start, starts)
DEFINE_ORDER_FN(checkpoint, checkpoints)
DEFINE_ORDER_FN(throttle, throttles)
DEFINE_ORDER_FN(resume, resumes)
DEFINE_ORDER_FN(stop, stops)

static const jobs_ops_t ops = { commit,	  start,  checkpoint,
				throttle, resume, stop };

static jobs_t *core_new(log_t *log, int workers, int64_t cores)
{
	jobs_options_t options = { .ops = &ops, .arg = log };
	jobs_t *jobs = jobs_new(NULL, &options);
	char id[16];

	*log = (log_t){ 0 };
	jobs_team_set(jobs, BASE_STR("crew"),
		      (jobs_res_t){ { 100000, 100000, 8 } });
	for (int i = 0; i < workers; i++) {
		jobs_worker_info_t info = {
			.incarnation = 1,
			.capacity = { { cores, 64000, 1 } },
			.accepts_new_tasks = true,
		};

		g_snprintf(id, sizeof(id), "w%d", i);
		info.id = base_str(id);
		jobs_worker_seen(jobs, 0, &info);
	}
	return jobs;
}

static jobs_spec_t spec_of(const char *id, int urgency, int64_t cores)
{
	return (jobs_spec_t){
		.id = base_str(id),
		.team = BASE_STR("crew"),
		.family = BASE_STR("pack"),
		.urgency = urgency,
		.repeatable = true,
		.declared = { { cores, 100, 0 } },
	};
}

static void submit(jobs_t *jobs, int64_t now, jobs_spec_t spec)
{
	GError *err = NULL;

	jobs_submit(jobs, now, &spec, &err);
	g_assert_no_error(err);
}

/* Report "event" as the worker of the last order. */
static void send_report(jobs_t *jobs, int64_t now, const log_t *log,
			const char *job, int64_t attempt, jobs_event_t event)
{
	jobs_report_t report = {
		.worker = base_str(log->worker),
		.incarnation = 1,
		.job = base_str(job),
		.attempt = attempt,
		.event = event,
		.as_of = now,
		.peak = { { 500, 50, 0 } },
		.run_us = SECOND,
	};

	jobs_report(jobs, now, &report);
}

static jobs_state_t job_state(const jobs_t *jobs, const char *id)
{
	jobs_record_t record;

	g_assert_true(jobs_record(jobs, base_str(id), &record));
	return record.state;
}

static void assert_explanation(const jobs_t *jobs, int64_t now, const char *id,
			       const char *part)
{
	char *text = jobs_explain(jobs, NULL, now, base_str(id));

	g_assert_nonnull(strstr(text, part));
	talloc_free(text);
}

/* No order is sent before its commit, nor after a commit was fenced. */
static void test_commit_first(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 8000);

	submit(jobs, 0, spec_of("a", 1, 1000));
	log.answer = JOBS_COMMIT_UNKNOWN;
	g_assert_true(jobs_step(jobs, 1));
	g_assert_cmpint(log.starts, ==, 0);
	log.answer = JOBS_COMMIT_DONE;
	g_assert_true(jobs_step(jobs, 2));
	g_assert_cmpint(log.starts, ==, 1);
	submit(jobs, 3, spec_of("b", 1, 1000));
	log.answer = JOBS_COMMIT_FENCED;
	g_assert_false(jobs_step(jobs, 4));
	log.answer = JOBS_COMMIT_DONE;
	g_assert_false(jobs_step(jobs, 5));
	g_assert_cmpint(log.starts, ==, 1);
	talloc_free(jobs);
}

static void test_not_repeated(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 2, 8000);
	jobs_spec_t spec = spec_of("a", 1, 1000);
	jobs_res_t taken, has;

	spec.repeatable = false;
	submit(jobs, 0, spec);
	jobs_step(jobs, 0);
	g_assert_cmpint(log.starts, ==, 1);
	/* A lapsed lease neither restarts the job nor frees its share. */
	for (int i = 1; i <= 100; i++)
		jobs_step(jobs, i * 10 * SECOND);
	g_assert_cmpint(log.starts, ==, 1);
	g_assert_cmpint(job_state(jobs, "a"), ==, JOBS_IN_DOUBT);
	assert_explanation(jobs, SECOND, "a", "worker is silent");
	g_assert_true(
		jobs_worker_load(jobs, base_str(log.worker), &taken, &has));
	g_assert_cmpint(taken.v[JOBS_CORES], >=, 1000);
	/* The worker's report was only late. */
	send_report(jobs, 2000 * SECOND, &log, "a", 1, JOBS_EVENT_RUNNING);
	g_assert_cmpint(job_state(jobs, "a"), ==, JOBS_RUNNING);
	talloc_free(jobs);
}

static void test_lost(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 2, 8000);
	jobs_spec_t spec = spec_of("a", 1, 1000);

	spec.repeatable = false;
	submit(jobs, 0, spec);
	jobs_step(jobs, 0);
	send_report(jobs, SECOND, &log, "a", 1, JOBS_EVENT_RUNNING);
	jobs_worker_gone(jobs, 2 * SECOND, base_str(log.worker), 1);
	g_assert_cmpint(job_state(jobs, "a"), ==, JOBS_LOST);
	assert_explanation(jobs, SECOND, "a", "may or may not have run");
	jobs_step(jobs, 2002 * SECOND);
	g_assert_cmpint(log.starts, ==, 1);
	talloc_free(jobs);
}

static void test_poison(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 6, 8000);
	char last[16] = "";

	submit(jobs, 0, spec_of("a", 1, 1000));
	for (int i = 1; i <= JOBS_FAILED_WORKERS_MAX; i++) {
		jobs_step(jobs, i * SECOND);
		g_assert_cmpint(log.starts, ==, i);
		g_assert_cmpstr(log.worker, !=, last);
		g_strlcpy(last, log.worker, sizeof(last));
		send_report(jobs, i * SECOND, &log, "a", i, JOBS_EVENT_FAILED);
	}
	g_assert_cmpint(job_state(jobs, "a"), ==, JOBS_HELD);
	assert_explanation(jobs, 9 * SECOND, "a", "failed on distinct workers");
	jobs_step(jobs, 99 * SECOND);
	g_assert_cmpint(log.starts, ==, JOBS_FAILED_WORKERS_MAX);
	g_assert_true(jobs_release(jobs, 99 * SECOND, BASE_STR("a"), NULL));
	jobs_step(jobs, 100 * SECOND);
	g_assert_cmpint(log.starts, ==, JOBS_FAILED_WORKERS_MAX + 1);
	talloc_free(jobs);
}

/* Run a job until it is done; returns its failures on worker "broken". */
static int run_job(jobs_t *jobs, log_t *log, int i, const char *broken)
{
	int64_t now = i * SECOND;
	int failed = 0;
	char id[16];

	g_snprintf(id, sizeof(id), "j%d", i);
	submit(jobs, now, spec_of(id, 1, 1000));
	jobs_step(jobs, now);
	for (int n = 1; job_state(jobs, id) == JOBS_STARTING; n++) {
		bool fails = !strcmp(log->worker, broken);

		failed += fails;
		send_report(jobs, now, log, id, n,
			    fails ? JOBS_EVENT_FAILED : JOBS_EVENT_ENDED);
		jobs_step(jobs, now);
	}
	g_assert_cmpint(job_state(jobs, id), ==, JOBS_DONE);
	return failed;
}

static void test_broken_worker(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 4, 1000);
	jobs_stats_t stats;
	int failed = 0, i;

	for (i = 0; i < 60; i++)
		failed += run_job(jobs, &log, i, "w0");
	jobs_stats(jobs, &stats);
	g_assert_cmpuint(stats.quarantine_count, >=, 1);
	g_assert_cmpuint(stats.quarantined_workers, ==, 1);
	g_assert_cmpint(failed, <=, 4);
	/* Once the worker is fixed, it passes its probation. */
	for (; i < 200; i++)
		run_job(jobs, &log, i, "");
	jobs_stats(jobs, &stats);
	g_assert_cmpuint(stats.quarantined_workers, ==, 0);
	talloc_free(jobs);
}

/* An urgent job starts within 2.1 s: checkpoint first, then stop. */
static void test_preempt(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 2000);
	jobs_spec_t batch = spec_of("batch", 3, 1000);

	batch.checkpoints = true;
	submit(jobs, 0, batch);
	jobs_step(jobs, 0);
	send_report(jobs, 1, &log, "batch", 1, JOBS_EVENT_RUNNING);
	submit(jobs, SECOND, spec_of("now", 0, 1500));
	jobs_step(jobs, SECOND);
	g_assert_cmpint(log.checkpoints, ==, 1);
	assert_explanation(jobs, SECOND, "now", "is reserved for it");
	/* The task does not answer the checkpoint. */
	jobs_step(jobs, SECOND * 18 / 10);
	g_assert_cmpint(log.stops, ==, 1);
	send_report(jobs, SECOND * 2, &log, "batch", 1, JOBS_EVENT_GONE);
	jobs_step(jobs, SECOND * 2);
	g_assert_cmpint(log.starts, ==, 2);
	g_assert_cmpstr(log.job, ==, "now");
	g_assert_cmpint(job_state(jobs, "batch"), ==, JOBS_QUEUED);
	talloc_free(jobs);
}

/* If a worker does not answer, another one is preempted within 2.1 s. */
static void test_preempt_silent(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 2, 2000);
	int64_t now = SECOND, told = 0;

	for (int i = 0; i < 2; i++) {
		submit(jobs, 0, spec_of(i ? "b" : "a", 3, 2000));
		jobs_step(jobs, 0);
		send_report(jobs, 1, &log, i ? "b" : "a", 1,
			    JOBS_EVENT_RUNNING);
	}
	submit(jobs, now, spec_of("now", 0, 2000));
	jobs_step(jobs, now);
	g_assert_cmpint(log.stops, ==, 1);
	g_strlcpy(log.job, "", sizeof(log.job));
	for (; log.starts < 3; now += JOBS_STEP_INTERVAL_US) {
		bool other = !strcmp(log.job, "b");

		/* The task on the second worker stops after 300 ms. */
		if (other && !told)
			told = now;
		if (other && now - told >= 300000)
			send_report(jobs, now, &log, "b", 1, JOBS_EVENT_GONE);
		jobs_step(jobs, now);
		g_assert_cmpint(now - SECOND, <, 2100000);
	}
	g_assert_cmpstr(log.job, ==, "now");
	talloc_free(jobs);
}

/* A task that must not be stopped is throttled, and later resumed. */
static void test_throttle(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 2600);
	jobs_spec_t batch = spec_of("batch", 3, 2000);

	batch.repeatable = false;
	batch.throttles = true;
	submit(jobs, 0, batch);
	jobs_step(jobs, 0);
	send_report(jobs, 1, &log, "batch", 1, JOBS_EVENT_RUNNING);
	submit(jobs, SECOND, spec_of("now", 0, 1000));
	jobs_step(jobs, SECOND);
	g_assert_cmpint(log.throttles, ==, 1);
	send_report(jobs, SECOND + 1, &log, "batch", 1, JOBS_EVENT_THROTTLED);
	jobs_step(jobs, SECOND + 1);
	g_assert_cmpstr(log.job, ==, "now");
	send_report(jobs, SECOND + 2, &log, "now", 1, JOBS_EVENT_ENDED);
	jobs_step(jobs, SECOND + 3);
	g_assert_cmpint(log.resumes, ==, 1);
	g_assert_cmpint(log.stops, ==, 0);
	talloc_free(jobs);
}

/* Drain the worker of a task until "until"; check the orders it got. */
static void check_drain(jobs_spec_t spec, int64_t until, int checkpoints,
			int stops)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 2, 8000);
	jobs_drain_t drain;
	char worker[16];

	submit(jobs, 0, spec);
	jobs_step(jobs, 0);
	g_strlcpy(worker, log.worker, sizeof(worker));
	drain = (jobs_drain_t){ base_str(worker), 1 };
	send_report(jobs, 1, &log, spec.id.ptr, 1, JOBS_EVENT_RUNNING);
	for (int64_t now = SECOND; now < until; now += JOBS_STEP_INTERVAL_US) {
		jobs_drain(jobs, now, &drain, 1);
		send_report(jobs, now, &log, spec.id.ptr, 1,
			    JOBS_EVENT_RUNNING);
		jobs_step(jobs, now);
	}
	g_assert_cmpint(!!log.checkpoints, ==, checkpoints);
	g_assert_cmpint(!!log.stops, ==, stops);
	g_assert_cmpint(log.throttles, ==, 0);
	g_assert_cmpuint(jobs_worker_tasks(jobs, drain.worker), ==, 1);
	talloc_free(jobs);
}

/* No task starts on a draining worker until the drain ends. */
static void test_drained(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 2, 8000);
	jobs_drain_t drain = { BASE_STR("w0"), 1 };

	jobs_drain(jobs, 0, &drain, 1);
	submit(jobs, 0, spec_of("a", 1, 4000));
	submit(jobs, 0, spec_of("b", 1, 4000));
	jobs_step(jobs, 0);
	g_assert_cmpstr(log.worker, ==, "w1");
	drain.worker = BASE_STR("w1");
	jobs_drain(jobs, 1, &drain, 1);
	jobs_step(jobs, 1);
	g_assert_cmpstr(log.worker, ==, "w0");
	g_strlcpy(log.worker, "w1", sizeof(log.worker));
	send_report(jobs, 2, &log, "a", 1, JOBS_EVENT_GONE);
	jobs_step(jobs, 3);
	g_assert_cmpint(log.starts, ==, 2);
	jobs_drain(jobs, 4, NULL, 0);
	jobs_step(jobs, 4);
	g_assert_cmpint(log.starts, ==, 3);
	talloc_free(jobs);
}

static void test_drain(void)
{
	jobs_spec_t spec = spec_of("a", 1, 1000);

	spec.throttles = true;
	check_drain(spec, 50 * SECOND, 0, 0);
	check_drain(spec, 63 * SECOND, 0, 1);
	spec.checkpoints = true;
	check_drain(spec, 5 * SECOND, 1, 0);
	check_drain(spec, 13 * SECOND, 1, 1);
	spec.urgency = 0;
	check_drain(spec, 13 * SECOND, 1, 1);
	spec.repeatable = false;
	check_drain(spec, 3600 * SECOND, 0, 0);
}

/* A drain is set on a successor before it has listed the worker. */
static void test_drain_taken_over(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 8000), *next = core_new(&log, 0, 0);
	jobs_drain_t drain = { BASE_STR("w0"), 1 };
	jobs_record_t record;

	submit(jobs, 0, spec_of("a", 1, 1000));
	jobs_step(jobs, 0);
	g_assert_true(jobs_record(jobs, BASE_STR("a"), &record));
	g_assert_true(jobs_restore(next, 0, &record, NULL));
	jobs_drain(next, 0, &drain, 1);
	g_assert_cmpuint(jobs_worker_tasks(next, drain.worker), ==, 1);
	/* A worker of a higher incarnation has none of the earlier tasks. */
	drain.incarnation = 2;
	jobs_drain(next, 1, &drain, 1);
	g_assert_cmpuint(jobs_worker_tasks(next, drain.worker), ==, 0);
	g_assert_cmpint(job_state(next, "a"), ==, JOBS_QUEUED);
	talloc_free(next);
	talloc_free(jobs);
}

static void test_cancel_queued(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 8000);

	submit(jobs, 0, spec_of("queued", 1, 1000));
	g_assert_true(jobs_cancel(jobs, 0, BASE_STR("queued"), NULL));
	g_assert_cmpint(job_state(jobs, "queued"), ==, JOBS_CANCELLED);
	jobs_step(jobs, 1);
	g_assert_cmpint(log.starts, ==, 0);
	talloc_free(jobs);
}

static void test_cancel(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 8000);

	submit(jobs, 0, spec_of("races", 1, 1000));
	jobs_step(jobs, 1);
	g_assert_cmpint(log.starts, ==, 1);
	g_assert_true(jobs_cancel(jobs, 2, BASE_STR("races"), NULL));
	jobs_step(jobs, 3);
	g_assert_cmpint(log.stops, ==, 1);
	/* The task finished before the stop arrived: the job is done. */
	send_report(jobs, 4, &log, "races", 1, JOBS_EVENT_ENDED);
	g_assert_cmpint(job_state(jobs, "races"), ==, JOBS_DONE);
	g_assert_false(jobs_cancel(jobs, 5, BASE_STR("nobody"), NULL));
	jobs_step(jobs, 6);
	g_assert_true(jobs_forget(jobs, BASE_STR("races")));
	talloc_free(jobs);
}

/*
 * Without samples a job gets more than its declared size; with samples it gets
 * the learned size, here a smaller one.
 */
static void test_learned_size(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 100000);
	jobs_res_t declared = { { 8000, 100, 1 } }, size;
	char id[16];

	size = jobs_safe_size(jobs, BASE_STR("pack"), declared);
	g_assert_cmpint(size.v[JOBS_CORES], ==, 16000);
	for (int i = 0; i < 40; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		submit(jobs, i, spec_of(id, 1, 8000));
		jobs_step(jobs, i);
		send_report(jobs, i, &log, id, 1, JOBS_EVENT_ENDED);
	}
	size = jobs_safe_size(jobs, BASE_STR("pack"), declared);
	g_assert_cmpint(size.v[JOBS_CORES], ==, 500 * 105 / 100);
	g_assert_cmpint(size.v[JOBS_ACCELERATORS], ==, 1);
	g_assert_cmpint(jobs_run_time(jobs, BASE_STR("pack")), ==, SECOND);
	talloc_free(jobs);
}

/* Finish "n" jobs of a family, with different sizes and run times. */
static void run_family(jobs_t *jobs, log_t *log, const char *family, int n)
{
	for (int i = 0; i < n; i++) {
		char *id = g_strdup_printf("%s-%d", family, i);
		jobs_spec_t spec = spec_of(id, 1, 8000);
		jobs_report_t report = {
			.incarnation = 1,
			.job = base_str(id),
			.attempt = 1,
			.event = JOBS_EVENT_ENDED,
			.as_of = 1,
			.peak = { { 12000 + i * 7 % 40, 64000 - i, 1 } },
			.run_us = 600 * SECOND + i,
		};

		spec.family = base_str(family);
		submit(jobs, 0, spec);
		jobs_step(jobs, 0);
		report.worker = base_str(log->worker);
		jobs_report(jobs, 1, &report);
		g_free(id);
	}
}

static void test_learned_taken_over(void)
{
	jobs_res_t declared = { { 8000, 100, 1 } }, size, again;
	base_str_t families[] = { BASE_STR("few"), BASE_STR("many") };
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 100000);
	jobs_t *next = core_new(&log, 1, 100000);
	char *text;

	run_family(jobs, &log, "few", 3);
	run_family(jobs, &log, "many", 45);
	text = jobs_learned_print(jobs, jobs, SIZE_MAX);
	g_assert_false(jobs_learned_load(next, BASE_STR("[{}]"), NULL));
	g_assert_true(jobs_learned_load(next, base_str(text), NULL));
	g_assert_cmpstr(jobs_learned_print(next, next, SIZE_MAX), ==, text);
	for (size_t i = 0; i < ARRAY_SIZE(families); i++) {
		size = jobs_safe_size(jobs, families[i], declared);
		again = jobs_safe_size(next, families[i], declared);
		g_assert_cmpmem(&size, sizeof(size), &again, sizeof(again));
		g_assert_cmpint(jobs_run_time(next, families[i]), ==,
				jobs_run_time(jobs, families[i]));
	}
	talloc_free(next);
	talloc_free(jobs);
}

/* Learned data has a limit in bytes; families with most samples come first. */
static void test_learned_bound(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 1, 100000), *next;
	const size_t bound = 512 * 1024 - 256;
	jobs_res_t declared = { { 8000, 100, 1 } }, size;
	char *text;

	for (int i = 0; i < 700; i++) {
		char family[16];

		g_snprintf(family, sizeof(family), "family-%d", i);
		run_family(jobs, &log, family, i ? 32 : 1);
	}
	text = jobs_learned_print(jobs, jobs, bound);
	g_test_message("%zu bytes of %zu", strlen(text),
		       strlen(jobs_learned_print(jobs, jobs, SIZE_MAX)));
	g_assert_cmpuint(strlen(text), <=, bound);
	next = core_new(&log, 1, 100000);
	g_assert_true(jobs_learned_load(next, base_str(text), NULL));
	size = jobs_safe_size(next, BASE_STR("family-1"), declared);
	g_assert_cmpint(size.v[JOBS_CORES], >, 12000);
	g_assert_cmpint(size.v[JOBS_CORES], <, 16000);
	g_assert_cmpint(jobs_run_time(next, BASE_STR("family-0")), ==, 0);
	talloc_free(next);
	talloc_free(jobs);
}

/* A declared size above every worker: cores are capped, accelerators not. */
static void test_too_large(void)
{
	log_t log;
	jobs_t *jobs = core_new(&log, 2, 4000);
	jobs_spec_t spec = spec_of("two", 1, 1000);

	submit(jobs, 0, spec_of("wide", 1, 9000));
	jobs_step(jobs, 0);
	g_assert_cmpint(log.starts, ==, 1);
	g_assert_cmpint(log.last.share.v[JOBS_CORES], ==, 4000);
	send_report(jobs, 1, &log, "wide", 1, JOBS_EVENT_ENDED);
	/* Accelerators are not capped either once the family has samples. */
	spec.declared.v[JOBS_ACCELERATORS] = 2;
	submit(jobs, 2, spec);
	jobs_step(jobs, 2);
	g_assert_cmpint(log.starts, ==, 1);
	assert_explanation(jobs, 2, "two", "larger than every worker");
	talloc_free(jobs);
}

/* The number of visited nodes grows only with the tree's depth. */
static void test_search_cost(void)
{
	uint64_t per_search[2] = { 0, 0 };

	for (int round = 0; round < 2; round++) {
		log_t log;
		jobs_t *jobs = core_new(&log, round ? 16000 : 1000, 1000);
		jobs_stats_t stats;
		char id[16];

		for (int i = 0; i < 500; i++) {
			g_snprintf(id, sizeof(id), "j%d", i);
			submit(jobs, i, spec_of(id, 1, 500));
		}
		jobs_team_set(jobs, BASE_STR("crew"),
			      (jobs_res_t){ { 1 << 30, 1 << 30, 8 } });
		jobs_step(jobs, 1000);
		jobs_stats(jobs, &stats);
		g_assert_cmpuint(stats.started, ==, 500);
		per_search[round] = stats.nodes_visited / stats.searches;
		talloc_free(jobs);
	}
	/* Sixteen times the workers add four levels of two nodes. */
	g_assert_cmpuint(per_search[1], <=, per_search[0] + 2 * 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/jobs/commit-first", test_commit_first);
	g_test_add_func("/jobs/once", test_not_repeated);
	g_test_add_func("/jobs/lost", test_lost);
	g_test_add_func("/jobs/poison", test_poison);
	g_test_add_func("/jobs/bad-worker", test_broken_worker);
	g_test_add_func("/jobs/room", test_preempt);
	g_test_add_func("/jobs/room-silent", test_preempt_silent);
	g_test_add_func("/jobs/throttle", test_throttle);
	g_test_add_func("/jobs/drain", test_drain);
	g_test_add_func("/jobs/drained", test_drained);
	g_test_add_func("/jobs/drain-taken-over", test_drain_taken_over);
	g_test_add_func("/jobs/cancel", test_cancel);
	g_test_add_func("/jobs/cancel-queued", test_cancel_queued);
	g_test_add_func("/jobs/learns", test_learned_size);
	g_test_add_func("/jobs/learned", test_learned_taken_over);
	g_test_add_func("/jobs/learned-bound", test_learned_bound);
	g_test_add_func("/jobs/too-large", test_too_large);
	g_test_add_func("/jobs/search-cost", test_search_cost);
	return g_test_run();
}
