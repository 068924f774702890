/*
 * Placement of jobs in virtual time: work done when a tenth of the workers
 * fail everything, urgent starts in a flood of batch work, cost of a
 * placement by the number of workers.  Fixed seeds; JSON lines.
 */
#include <math.h>
#include <string.h>
#include <time.h>

#include "jobs.h"

#define MS ((int64_t)1000)
#define SECOND (1000 * MS)
#define CORES 16000  /* thousandths, of a worker */
#define MEMORY 65536 /* MB, of a worker */
#define FAMILIES 20
#define ARRIVE_US (5 * MS)    /* a message to or from a worker */
#define BEAT_US (10 * SECOND) /* between reports of one task */
#define LAG_US (2 * SECOND)   /* of what they say */

typedef enum event_kind {
	EVENT_ARRIVE,
	EVENT_BEAT,
	EVENT_END,
	EVENT_ANSWER,
	EVENT_KIND_MAX
} event_kind_t;

typedef struct event {
	int64_t at;
	event_kind_t kind;
	size_t job;
	int64_t attempt;
	jobs_event_t answer;
} event_t;

typedef struct job {
	jobs_res_t use; /* as it is, not as declared */
	int64_t run_us, submitted, begun;
	bool poison, mute; /* mute: never answers a checkpoint */
	bool urgent, running, started;
	int64_t attempt;
	int worker;
} job_t;

typedef struct world {
	void *ctx;
	jobs_t *core;
	base_rng_t rng;
	int64_t now;
	event_t *heap; /* from 1 */
	size_t n_events, alloc_events;
	job_t *jobs;
	size_t n_jobs, alloc_jobs;
	int workers, teams;
	int bad;     /* the first so many fail everything */
	double work; /* core-seconds of jobs that ended well */
	uint64_t done;
	double step_s, step_max_s; /* processor time in jobs_step() */
	base_hist_t *urgent;
} world_t;

static jobs_commit_t on_commit(void *arg, const jobs_record_t *records,
			       size_t n);
static void on_start(void *arg, const jobs_order_t *order);
static void on_checkpoint(void *arg, const jobs_order_t *order);
static void on_throttle(void *arg, const jobs_order_t *order);
static void on_resume(void *arg, const jobs_order_t *order);
static void on_stop(void *arg, const jobs_order_t *order);
static void handle(world_t *w, const event_t *e);

static const jobs_ops_t ops = { on_commit,   on_start,	on_checkpoint,
				on_throttle, on_resume, on_stop };

static void push(world_t *w, event_t e)
{
	size_t at;

	if (++w->n_events >= w->alloc_events) {
		w->alloc_events = w->n_events * 2;
		w->heap = talloc_realloc(w->ctx, w->heap, event_t,
					 (unsigned)w->alloc_events);
	}
	for (at = w->n_events; at > 1 && w->heap[at / 2].at > e.at; at /= 2)
		w->heap[at] = w->heap[at / 2];
	w->heap[at] = e;
}

static event_t pop(world_t *w)
{
	event_t top = w->heap[1], last = w->heap[w->n_events--];
	size_t at = 1;

	for (size_t c = 2; c <= w->n_events; c = at * 2) {
		if (c < w->n_events && w->heap[c + 1].at < w->heap[c].at)
			c++;
		if (last.at <= w->heap[c].at)
			break;
		w->heap[at] = w->heap[c];
		at = c;
	}
	w->heap[at] = last;
	return top;
}

static int64_t between(world_t *w, int64_t low, int64_t high)
{
	return low + (int64_t)(base_rng_unit(&w->rng) * (double)(high - low));
}

static world_t *world_new(int workers, int teams, int bad)
{
	void *ctx = talloc_new(NULL);
	world_t *w = talloc_zero(ctx, world_t);
	jobs_options_t options = { .ops = &ops, .arg = w };
	char id[32];

	w->ctx = ctx;
	w->rng.state = 20261204;
	w->workers = workers;
	w->teams = teams;
	w->bad = bad;
	w->core = jobs_new(ctx, &options);
	w->urgent = base_hist_new(ctx);
	for (int i = 0; i < teams; i++) {
		jobs_res_t quota = { { (int64_t)CORES * workers,
				       (int64_t)MEMORY * workers, 0 } };

		g_snprintf(id, sizeof(id), "t%d", i);
		jobs_team_set(w->core, base_str(id), quota);
	}
	for (int i = 0; i < workers; i++) {
		jobs_worker_info_t info = { .incarnation = 1,
					    .capacity = { { CORES, MEMORY,
							    0 } },
					    .takes = true };

		g_snprintf(id, sizeof(id), "%d", i);
		info.id = base_str(id);
		jobs_worker_seen(w->core, 0, &info);
	}
	return w;
}

/* Sizes differ by family; what is declared is off by up to four times. */
static void submit(world_t *w, bool urgent)
{
	uint32_t family = base_rng_below(&w->rng, FAMILIES);
	char id[32], team[32], fam[32];
	jobs_spec_t spec = { .urgency = urgent ? 0 : 3, .repeatable = true };
	job_t *job;

	if (w->n_jobs == w->alloc_jobs) {
		w->alloc_jobs = w->alloc_jobs * 2 + 1024;
		w->jobs = talloc_realloc(w->ctx, w->jobs, job_t,
					 (unsigned)w->alloc_jobs);
	}
	job = &w->jobs[w->n_jobs];
	*job = (job_t){ .submitted = w->now, .urgent = urgent };
	job->use.v[JOBS_CORES] = between(w, 500, 1000) * (1 + family % 5);
	job->use.v[JOBS_MEMORY] = between(w, 1000, 2000) * (1 + family % 7);
	if (urgent) {
		job->use.v[JOBS_CORES] = between(w, 4000, 8000);
		job->use.v[JOBS_MEMORY] = between(w, 8000, 16000);
	}
	job->run_us = between(w, 20 * SECOND, 100 * SECOND);
	job->poison = !urgent && base_rng_below(&w->rng, 50) == 0;
	job->mute = base_rng_below(&w->rng, 10) == 0;
	g_snprintf(id, sizeof(id), "%zu", w->n_jobs++);
	g_snprintf(team, sizeof(team), "t%u",
		   base_rng_below(&w->rng, (uint32_t)w->teams));
	g_snprintf(fam, sizeof(fam), "f%u", urgent ? FAMILIES : family);
	spec.id = base_str(id);
	spec.team = base_str(team);
	spec.family = base_str(fam);
	spec.checkpoints = base_rng_below(&w->rng, 2);
	spec.throttles = base_rng_below(&w->rng, 2);
	for (int k = 0; k < JOBS_ACCELERATORS; k++)
		spec.declared.v[k] =
			job->use.v[k] * between(w, 250, 4000) / 1000;
	jobs_submit(w->core, w->now, &spec, NULL);
}

static void say(world_t *w, size_t n, int64_t attempt, jobs_event_t event)
{
	const job_t *job = &w->jobs[n];
	jobs_report_t report = { .incarnation = 1,
				 .attempt = attempt,
				 .event = event,
				 .as_of = w->now,
				 .peak = job->use,
				 .run_us = w->now - job->begun };
	char id[32], worker[32];

	g_snprintf(id, sizeof(id), "%zu", n);
	g_snprintf(worker, sizeof(worker), "%d", job->worker);
	report.job = base_str(id);
	report.worker = base_str(worker);
	jobs_report(w->core, w->now, &report);
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
	world_t *w = arg;
	size_t n = strtoul(order->job.ptr, NULL, 10);
	job_t *job = &w->jobs[n];

	if (job->urgent && !job->started)
		base_hist_add(w->urgent, w->now - job->submitted);
	job->started = true;
	job->attempt = order->attempt;
	job->worker = atoi(order->worker.ptr);
	push(w, (event_t){ w->now + ARRIVE_US, EVENT_ARRIVE, n, order->attempt,
			   JOBS_EVENT_RUNNING });
}

static void answer(world_t *w, const jobs_order_t *order, int64_t after,
		   jobs_event_t event)
{
	push(w, (event_t){ w->now + after, EVENT_ANSWER,
			   strtoul(order->job.ptr, NULL, 10), order->attempt,
			   event });
}

static void on_checkpoint(void *arg, const jobs_order_t *order)
{
	world_t *w = arg;
	size_t n = strtoul(order->job.ptr, NULL, 10);

	if (!w->jobs[n].mute)
		answer(w, order, between(w, 100 * MS, 900 * MS),
		       JOBS_EVENT_CHECKPOINTED);
}

static void on_throttle(void *arg, const jobs_order_t *order)
{
	world_t *w = arg;

	answer(w, order, between(w, 20 * MS, 200 * MS), JOBS_EVENT_THROTTLED);
}

static void on_resume(void *arg, const jobs_order_t *order)
{
	world_t *w = arg;

	answer(w, order, between(w, 20 * MS, 200 * MS), JOBS_EVENT_RESUMED);
}

static void on_stop(void *arg, const jobs_order_t *order)
{
	world_t *w = arg;

	answer(w, order, between(w, 50 * MS, 300 * MS), JOBS_EVENT_GONE);
}

static void arrive(world_t *w, const event_t *e)
{
	job_t *job = &w->jobs[e->job];
	bool fails = job->poison || job->worker < w->bad;

	job->running = true;
	job->begun = w->now;
	say(w, e->job, e->attempt, JOBS_EVENT_RUNNING);
	push(w, (event_t){ w->now + (fails ? SECOND : job->run_us), EVENT_END,
			   e->job, e->attempt,
			   fails ? JOBS_EVENT_FAILED : JOBS_EVENT_ENDED });
	push(w, (event_t){ w->now + LAG_US, EVENT_BEAT, e->job, e->attempt,
			   JOBS_EVENT_RUNNING });
}

static void end(world_t *w, const event_t *e)
{
	job_t *job = &w->jobs[e->job];
	char id[32];

	job->running = false;
	if (e->answer == JOBS_EVENT_ENDED) {
		w->work += (double)job->use.v[JOBS_CORES] / 1000 *
			   (double)job->run_us / SECOND;
		w->done++;
	}
	say(w, e->job, e->attempt, e->answer);
	g_snprintf(id, sizeof(id), "%zu", e->job);
	jobs_forget(w->core, base_str(id));
}

static void handle(world_t *w, const event_t *e)
{
	job_t *job = &w->jobs[e->job];

	if (job->attempt != e->attempt ||
	    (!job->running && e->kind != EVENT_ARRIVE))
		return;
	if (e->kind == EVENT_ARRIVE) {
		arrive(w, e);
	} else if (e->kind == EVENT_BEAT) {
		say(w, e->job, e->attempt, JOBS_EVENT_RUNNING);
		push(w, (event_t){ w->now + BEAT_US, EVENT_BEAT, e->job,
				   e->attempt, JOBS_EVENT_RUNNING });
	} else if (e->kind == EVENT_ANSWER &&
		   (e->answer == JOBS_EVENT_THROTTLED ||
		    e->answer == JOBS_EVENT_RESUMED)) {
		say(w, e->job, e->attempt, e->answer);
	} else {
		end(w, e);
	}
}

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* A closed loop of batch work that always waits, and urgent jobs. */
static void run(world_t *w, int64_t seconds, size_t waiting, double urgent)
{
	double owed = 0;

	for (int64_t until = w->now + seconds * SECOND; w->now < until;) {
		int64_t next = w->now + JOBS_STEP_INTERVAL_US;
		double spent;
		jobs_stats_t stats;

		jobs_stats(w->core, &stats);
		while (stats.states[JOBS_QUEUED]++ < waiting)
			submit(w, false);
		for (owed += urgent / 10; owed >= 1; owed--)
			submit(w, true);
		spent = cpu_s();
		jobs_step(w->core, w->now);
		spent = cpu_s() - spent;
		w->step_s += spent;
		w->step_max_s = MAX(w->step_max_s, spent);
		while (w->n_events && w->heap[1].at <= next) {
			event_t e = pop(w);

			w->now = MAX(w->now, e.at);
			handle(w, &e);
		}
		w->now = next;
	}
}

static void bad_workers(void)
{
	double work[2];
	jobs_stats_t stats;

	for (int round = 0; round < 2; round++) {
		world_t *w = world_new(1000, 50, round ? 100 : 0);

		run(w, 1200, 2000, 0);
		work[round] = w->work;
		jobs_stats(w->core, &stats);
		printf("{\"bench\":\"jobs\",\"case\":\"bad-workers\","
		       "\"workers\":1000,\"bad\":%d,\"core_seconds\":%.0f,"
		       "\"of_all_cores\":%.3f,\"done\":%llu,\"held\":%zu,"
		       "\"taken_out\":%llu,\"out\":%zu}\n",
		       w->bad, w->work, w->work / (1000.0 * 16 * 1200),
		       (unsigned long long)w->done, stats.states[JOBS_HELD],
		       (unsigned long long)stats.taken_out, stats.out);
		talloc_free(w->ctx);
	}
	printf("{\"bench\":\"jobs\",\"case\":\"bad-workers\","
	       "\"share_of_good_workers\":%.3f}\n",
	       work[1] / (work[0] * 0.9));
}

static void urgent_in_flood(void)
{
	world_t *w = world_new(1000, 50, 0);
	jobs_stats_t stats;

	run(w, 300, 5000, 0);
	run(w, 600, 5000, 5);
	jobs_stats(w->core, &stats);
	printf("{\"bench\":\"jobs\",\"case\":\"urgent-in-flood\","
	       "\"urgent\":%llu,\"p50_ms\":%.0f,\"p90_ms\":%.0f,"
	       "\"p99_ms\":%.0f,\"max_ms\":%.0f,\"yields\":%llu,"
	       "\"target_p99_ms\":2100}\n",
	       (unsigned long long)base_hist_count(w->urgent),
	       base_hist_quantile(w->urgent, 0.5) / MS,
	       base_hist_quantile(w->urgent, 0.9) / MS,
	       base_hist_quantile(w->urgent, 0.99) / MS,
	       base_hist_quantile(w->urgent, 1) / MS,
	       (unsigned long long)stats.yields);
	talloc_free(w->ctx);
}

/* Fill, then measure steps that only place, with 610 teams waiting. */
static void placement_cost(int workers)
{
	world_t *w = world_new(workers, 610, 0);
	jobs_stats_t before, after;

	run(w, 120, (size_t)workers / 2, 0);
	jobs_stats(w->core, &before);
	w->step_s = w->step_max_s = 0;
	run(w, 60, (size_t)workers / 2, 0);
	jobs_stats(w->core, &after);
	after.started -= before.started;
	after.visited -= before.visited;
	after.searches -= before.searches;
	printf("{\"bench\":\"jobs\",\"case\":\"cost\",\"workers\":%d,"
	       "\"teams\":610,\"jobs\":%zu,\"placements\":%llu,"
	       "\"searches_per_placement\":%.2f,\"nodes_per_search\":%.1f,"
	       "\"step_us_per_placement\":%.1f,\"step_max_ms\":%.1f,"
	       "\"step_core_share\":%.4f,\"core_mb\":%.1f}\n",
	       workers, after.jobs, (unsigned long long)after.started,
	       (double)after.searches / (double)after.started,
	       (double)after.visited / (double)after.searches,
	       w->step_s * 1e6 / (double)after.started, w->step_max_s * 1e3,
	       w->step_s / 60, (double)talloc_total_size(w->core) / 1e6);
	talloc_free(w->ctx);
}

/* Reports of tasks that run on, most of what a holder hears. */
static void report_cost(int workers)
{
	world_t *w = world_new(workers, 610, 0);
	uint64_t reports = 0;
	double spent;

	run(w, 60, 1000, 0);
	spent = cpu_s();
	for (int round = 0; round < 20; round++) {
		for (size_t n = 0; n < w->n_jobs; n++) {
			if (!w->jobs[n].running)
				continue;
			say(w, n, w->jobs[n].attempt, JOBS_EVENT_RUNNING);
			reports++;
		}
		w->now += MS;
	}
	spent = cpu_s() - spent;
	printf("{\"bench\":\"jobs\",\"case\":\"reports\",\"workers\":%d,"
	       "\"reports\":%llu,\"cpu_us_per_report\":%.2f}\n",
	       workers, (unsigned long long)reports,
	       spent * 1e6 / (double)reports);
	talloc_free(w->ctx);
}

int main(void)
{
	bad_workers();
	urgent_in_flood();
	placement_cost(1000);
	placement_cost(5000);
	placement_cost(19000);
	report_cost(1000);
	report_cost(19000);
	return 0;
}
