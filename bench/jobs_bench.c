/*
 * Placement of jobs in virtual time: work done when a tenth of the workers fail
 * every task, start latency of urgent jobs under a flood of batch work, cost of
 * a placement by number of workers.  Fixed seeds; prints JSON lines.
 */
#include <math.h>
#include <string.h>
#include <time.h>

#include "jobs.h"

#define MS ((int64_t)1000)
#define SECOND (1000 * MS)
#define CORES 16000  /* of a worker, in thousandths of a core */
#define MEMORY 65536 /* of a worker, MB */
#define FAMILIES 20
#define START_DELAY_US (5 * MS)		 /* delay of a message to a worker */
#define REPORT_INTERVAL_US (10 * SECOND) /* between reports on one task */
#define FIRST_REPORT_US (2 * SECOND)	 /* first report after the start */

typedef enum event_kind {
	EVENT_START,
	EVENT_REPORT,
	EVENT_END,
	EVENT_ANSWER,
	EVENT_KIND_MAX
} event_kind_t;

typedef struct event {
	int64_t at;
	event_kind_t kind;
	size_t job;
	int64_t attempt;
	jobs_event_t answer_order;
} event_t;

typedef struct job {
	jobs_res_t use; /* actual use, not the declared one */
	int64_t run_us, submitted, begun;
	bool always_fails, ignores_checkpoint;
	bool urgent, running, started;
	int64_t attempt;
	int worker;
} job_t;

typedef struct sim {
	void *ctx;
	jobs_t *core;
	base_rng_t rng;
	int64_t now;
	event_t *heap; /* 1-based */
	size_t n_events, alloc_events;
	job_t *jobs;
	size_t n_jobs, alloc_jobs;
	int workers, teams;
	int faulty;  /* workers 0 to faulty - 1 fail every task */
	double work; /* core-seconds of completed jobs */
	uint64_t done;
	double step_s, step_max_s; /* processor time in jobs_step() */
	base_hist_t *urgent;
} sim_t;

static jobs_commit_t on_commit(void *arg, const jobs_record_t *records,
			       size_t n);
static void on_start(void *arg, const jobs_order_t *order);
static void on_checkpoint(void *arg, const jobs_order_t *order);
static void on_throttle(void *arg, const jobs_order_t *order);
static void on_resume(void *arg, const jobs_order_t *order);
static void on_stop(void *arg, const jobs_order_t *order);
static void handle(sim_t *sim, const event_t *e);

static const jobs_ops_t ops = { on_commit,   on_start,	on_checkpoint,
				on_throttle, on_resume, on_stop };

static void push(sim_t *sim, event_t e)
{
	size_t at;

	if (++sim->n_events >= sim->alloc_events) {
		sim->alloc_events = sim->n_events * 2;
		sim->heap = talloc_realloc(sim->ctx, sim->heap, event_t,
					   (unsigned)sim->alloc_events);
	}
	for (at = sim->n_events; at > 1 && sim->heap[at / 2].at > e.at; at /= 2)
		sim->heap[at] = sim->heap[at / 2];
	sim->heap[at] = e;
}

static event_t pop(sim_t *sim)
{
	event_t top = sim->heap[1], last = sim->heap[sim->n_events--];
	size_t at = 1;

	for (size_t c = 2; c <= sim->n_events; c = at * 2) {
		if (c < sim->n_events && sim->heap[c + 1].at < sim->heap[c].at)
			c++;
		if (last.at <= sim->heap[c].at)
			break;
		sim->heap[at] = sim->heap[c];
		at = c;
	}
	sim->heap[at] = last;
	return top;
}

static int64_t random_between(sim_t *sim, int64_t low, int64_t high)
{
	return low + (int64_t)(base_rng_unit(&sim->rng) * (double)(high - low));
}

static sim_t *sim_new(int workers, int teams, int faulty)
{
	void *ctx = talloc_new(NULL);
	sim_t *sim = talloc_zero(ctx, sim_t);
	jobs_options_t options = { .ops = &ops, .arg = sim };
	char id[32];

	sim->ctx = ctx;
	sim->rng.state = 20261204;
	sim->workers = workers;
	sim->teams = teams;
	sim->faulty = faulty;
	sim->core = jobs_new(ctx, &options);
	sim->urgent = base_hist_new(ctx);
	for (int i = 0; i < teams; i++) {
		jobs_res_t quota = { { (int64_t)CORES * workers,
				       (int64_t)MEMORY * workers, 0 } };

		g_snprintf(id, sizeof(id), "t%d", i);
		jobs_team_set(sim->core, base_str(id), quota);
	}
	for (int i = 0; i < workers; i++) {
		jobs_worker_info_t info = { .incarnation = 1,
					    .capacity = { { CORES, MEMORY,
							    0 } },
					    .accepts_new_tasks = true };

		g_snprintf(id, sizeof(id), "%d", i);
		info.id = base_str(id);
		jobs_worker_seen(sim->core, 0, &info);
	}
	return sim;
}

/* Sizes depend on the family; declared values are off by up to four times. */
static void submit(sim_t *sim, bool urgent)
{
	uint32_t family = base_rng_below(&sim->rng, FAMILIES);
	char id[32], team[32], fam[32];
	jobs_spec_t spec = { .urgency = urgent ? 0 : 3, .repeatable = true };
	job_t *job;

	if (sim->n_jobs == sim->alloc_jobs) {
		sim->alloc_jobs = sim->alloc_jobs * 2 + 1024;
		sim->jobs = talloc_realloc(sim->ctx, sim->jobs, job_t,
					   (unsigned)sim->alloc_jobs);
	}
	job = &sim->jobs[sim->n_jobs];
	*job = (job_t){ .submitted = sim->now, .urgent = urgent };
	job->use.v[JOBS_CORES] =
		random_between(sim, 500, 1000) * (1 + family % 5);
	job->use.v[JOBS_MEMORY] =
		random_between(sim, 1000, 2000) * (1 + family % 7);
	if (urgent) {
		job->use.v[JOBS_CORES] = random_between(sim, 4000, 8000);
		job->use.v[JOBS_MEMORY] = random_between(sim, 8000, 16000);
	}
	job->run_us = random_between(sim, 20 * SECOND, 100 * SECOND);
	job->always_fails = !urgent && base_rng_below(&sim->rng, 50) == 0;
	job->ignores_checkpoint = base_rng_below(&sim->rng, 10) == 0;
	g_snprintf(id, sizeof(id), "%zu", sim->n_jobs++);
	g_snprintf(team, sizeof(team), "t%u",
		   base_rng_below(&sim->rng, (uint32_t)sim->teams));
	g_snprintf(fam, sizeof(fam), "f%u", urgent ? FAMILIES : family);
	spec.id = base_str(id);
	spec.team = base_str(team);
	spec.family = base_str(fam);
	spec.checkpoints = base_rng_below(&sim->rng, 2);
	spec.throttles = base_rng_below(&sim->rng, 2);
	for (int k = 0; k < JOBS_ACCELERATORS; k++)
		spec.declared.v[k] =
			job->use.v[k] * random_between(sim, 250, 4000) / 1000;
	jobs_submit(sim->core, sim->now, &spec, NULL);
}

static void send_report(sim_t *sim, size_t n, int64_t attempt,
			jobs_event_t event)
{
	const job_t *job = &sim->jobs[n];
	jobs_report_t report = { .incarnation = 1,
				 .attempt = attempt,
				 .event = event,
				 .as_of = sim->now,
				 .peak = job->use,
				 .run_us = sim->now - job->begun };
	char id[32], worker[32];

	g_snprintf(id, sizeof(id), "%zu", n);
	g_snprintf(worker, sizeof(worker), "%d", job->worker);
	report.job = base_str(id);
	report.worker = base_str(worker);
	jobs_report(sim->core, sim->now, &report);
}

static jobs_commit_t on_commit(void *arg, const jobs_record_t *records,
			       size_t n)
{
	(void)arg;
	(void)records;
	(void)n;
	return JOBS_COMMIT_DONE;
}

static void on_start(void *arg, const jobs_order_t *order)
{
	sim_t *sim = arg;
	size_t n = strtoul(order->job.ptr, NULL, 10);
	job_t *job = &sim->jobs[n];

	if (job->urgent && !job->started)
		base_hist_add(sim->urgent, sim->now - job->submitted);
	job->started = true;
	job->attempt = order->attempt;
	job->worker = atoi(order->worker.ptr);
	push(sim, (event_t){ sim->now + START_DELAY_US, EVENT_START, n,
			     order->attempt, JOBS_EVENT_RUNNING });
}

static void answer_order(sim_t *sim, const jobs_order_t *order, int64_t after,
			 jobs_event_t event)
{
	push(sim, (event_t){ sim->now + after, EVENT_ANSWER,
			     strtoul(order->job.ptr, NULL, 10), order->attempt,
			     event });
}

static void on_checkpoint(void *arg, const jobs_order_t *order)
{
	sim_t *sim = arg;
	size_t n = strtoul(order->job.ptr, NULL, 10);

	if (!sim->jobs[n].ignores_checkpoint)
		answer_order(sim, order,
			     random_between(sim, 100 * MS, 900 * MS),
			     JOBS_EVENT_CHECKPOINTED);
}

static void on_throttle(void *arg, const jobs_order_t *order)
{
	sim_t *sim = arg;

	answer_order(sim, order, random_between(sim, 20 * MS, 200 * MS),
		     JOBS_EVENT_THROTTLED);
}

static void on_resume(void *arg, const jobs_order_t *order)
{
	sim_t *sim = arg;

	answer_order(sim, order, random_between(sim, 20 * MS, 200 * MS),
		     JOBS_EVENT_RESUMED);
}

static void on_stop(void *arg, const jobs_order_t *order)
{
	sim_t *sim = arg;

	answer_order(sim, order, random_between(sim, 50 * MS, 300 * MS),
		     JOBS_EVENT_GONE);
}

static void start_task(sim_t *sim, const event_t *e)
{
	job_t *job = &sim->jobs[e->job];
	bool fails = job->always_fails || job->worker < sim->faulty;

	job->running = true;
	job->begun = sim->now;
	send_report(sim, e->job, e->attempt, JOBS_EVENT_RUNNING);
	push(sim, (event_t){ sim->now + (fails ? SECOND : job->run_us),
			     EVENT_END, e->job, e->attempt,
			     fails ? JOBS_EVENT_FAILED : JOBS_EVENT_ENDED });
	push(sim, (event_t){ sim->now + FIRST_REPORT_US, EVENT_REPORT, e->job,
			     e->attempt, JOBS_EVENT_RUNNING });
}

static void end_task(sim_t *sim, const event_t *e)
{
	job_t *job = &sim->jobs[e->job];
	char id[32];

	job->running = false;
	if (e->answer_order == JOBS_EVENT_ENDED) {
		sim->work += (double)job->use.v[JOBS_CORES] / 1000 *
			     (double)job->run_us / SECOND;
		sim->done++;
	}
	send_report(sim, e->job, e->attempt, e->answer_order);
	g_snprintf(id, sizeof(id), "%zu", e->job);
	jobs_forget(sim->core, base_str(id));
}

static void handle(sim_t *sim, const event_t *e)
{
	job_t *job = &sim->jobs[e->job];

	if (job->attempt != e->attempt ||
	    (!job->running && e->kind != EVENT_START))
		return;
	if (e->kind == EVENT_START) {
		start_task(sim, e);
	} else if (e->kind == EVENT_REPORT) {
		send_report(sim, e->job, e->attempt, JOBS_EVENT_RUNNING);
		push(sim,
		     (event_t){ sim->now + REPORT_INTERVAL_US, EVENT_REPORT,
				e->job, e->attempt, JOBS_EVENT_RUNNING });
	} else if (e->kind == EVENT_ANSWER &&
		   (e->answer_order == JOBS_EVENT_THROTTLED ||
		    e->answer_order == JOBS_EVENT_RESUMED)) {
		send_report(sim, e->job, e->attempt, e->answer_order);
	} else {
		end_task(sim, e);
	}
}

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Keeps "waiting" batch jobs queued and submits "urgent" jobs per second. */
static void run(sim_t *sim, int64_t seconds, size_t waiting, double urgent)
{
	double urgent_due = 0;

	for (int64_t until = sim->now + seconds * SECOND; sim->now < until;) {
		int64_t next = sim->now + JOBS_STEP_INTERVAL_US;
		double spent;
		jobs_stats_t stats;

		jobs_stats(sim->core, &stats);
		while (stats.states[JOBS_QUEUED]++ < waiting)
			submit(sim, false);
		for (urgent_due += urgent / 10; urgent_due >= 1; urgent_due--)
			submit(sim, true);
		spent = cpu_s();
		jobs_step(sim->core, sim->now);
		spent = cpu_s() - spent;
		sim->step_s += spent;
		sim->step_max_s = MAX(sim->step_max_s, spent);
		while (sim->n_events && sim->heap[1].at <= next) {
			event_t e = pop(sim);

			sim->now = MAX(sim->now, e.at);
			handle(sim, &e);
		}
		sim->now = next;
	}
}

static void bench_faulty_workers(void)
{
	double work[2];
	jobs_stats_t stats;

	for (int round = 0; round < 2; round++) {
		sim_t *sim = sim_new(1000, 50, round ? 100 : 0);

		run(sim, 1200, 2000, 0);
		work[round] = sim->work;
		jobs_stats(sim->core, &stats);
		printf("{\"bench\":\"jobs\",\"case\":\"bad-workers\","
		       "\"workers\":1000,\"bad\":%d,\"core_seconds\":%.0f,"
		       "\"of_all_cores\":%.3f,\"done\":%llu,\"held\":%zu,"
		       "\"taken_out\":%llu,\"out\":%zu}\n",
		       sim->faulty, sim->work, sim->work / (1000.0 * 16 * 1200),
		       (unsigned long long)sim->done, stats.states[JOBS_HELD],
		       (unsigned long long)stats.quarantine_count,
		       stats.quarantined_workers);
		talloc_free(sim->ctx);
	}
	printf("{\"bench\":\"jobs\",\"case\":\"bad-workers\","
	       "\"share_of_good_workers\":%.3f}\n",
	       work[1] / (work[0] * 0.9));
}

static void bench_urgent_in_flood(void)
{
	sim_t *sim = sim_new(1000, 50, 0);
	jobs_stats_t stats;

	run(sim, 300, 5000, 0);
	run(sim, 600, 5000, 5);
	jobs_stats(sim->core, &stats);
	printf("{\"bench\":\"jobs\",\"case\":\"urgent-in-flood\","
	       "\"urgent\":%llu,\"p50_ms\":%.0f,\"p90_ms\":%.0f,"
	       "\"p99_ms\":%.0f,\"max_ms\":%.0f,\"yields\":%llu,"
	       "\"target_p99_ms\":2100}\n",
	       (unsigned long long)base_hist_count(sim->urgent),
	       base_hist_quantile(sim->urgent, 0.5) / MS,
	       base_hist_quantile(sim->urgent, 0.9) / MS,
	       base_hist_quantile(sim->urgent, 0.99) / MS,
	       base_hist_quantile(sim->urgent, 1) / MS,
	       (unsigned long long)stats.preemptions);
	talloc_free(sim->ctx);
}

/* Fills the workers, then measures placement with 610 teams waiting. */
static void bench_placement(int workers)
{
	sim_t *sim = sim_new(workers, 610, 0);
	jobs_stats_t before, after;

	run(sim, 120, (size_t)workers / 2, 0);
	jobs_stats(sim->core, &before);
	sim->step_s = sim->step_max_s = 0;
	run(sim, 60, (size_t)workers / 2, 0);
	jobs_stats(sim->core, &after);
	after.started -= before.started;
	after.nodes_visited -= before.nodes_visited;
	after.searches -= before.searches;
	printf("{\"bench\":\"jobs\",\"case\":\"cost\",\"workers\":%d,"
	       "\"teams\":610,\"jobs\":%zu,\"placements\":%llu,"
	       "\"searches_per_placement\":%.2f,\"nodes_per_search\":%.1f,"
	       "\"step_us_per_placement\":%.1f,\"step_max_ms\":%.1f,"
	       "\"step_core_share\":%.4f,\"core_mb\":%.1f}\n",
	       workers, after.jobs, (unsigned long long)after.started,
	       (double)after.searches / (double)after.started,
	       (double)after.nodes_visited / (double)after.searches,
	       sim->step_s * 1e6 / (double)after.started, sim->step_max_s * 1e3,
	       sim->step_s / 60, (double)talloc_total_size(sim->core) / 1e6);
	talloc_free(sim->ctx);
}

/* Reports on running tasks, which are most of the messages to a holder. */
static void bench_reports(int workers)
{
	sim_t *sim = sim_new(workers, 610, 0);
	uint64_t reports = 0;
	double spent;

	run(sim, 60, 1000, 0);
	spent = cpu_s();
	for (int round = 0; round < 20; round++) {
		for (size_t n = 0; n < sim->n_jobs; n++) {
			if (!sim->jobs[n].running)
				continue;
			send_report(sim, n, sim->jobs[n].attempt,
				    JOBS_EVENT_RUNNING);
			reports++;
		}
		sim->now += MS;
	}
	spent = cpu_s() - spent;
	printf("{\"bench\":\"jobs\",\"case\":\"reports\",\"workers\":%d,"
	       "\"reports\":%llu,\"cpu_us_per_report\":%.2f}\n",
	       workers, (unsigned long long)reports,
	       spent * 1e6 / (double)reports);
	talloc_free(sim->ctx);
}

int main(void)
{
	bench_faulty_workers();
	bench_urgent_in_flood();
	bench_placement(1000);
	bench_placement(5000);
	bench_placement(19000);
	bench_reports(1000);
	bench_reports(19000);
	return 0;
}
