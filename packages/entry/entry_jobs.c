#include "entry_jobs.h"

/*
 * The duty "jobs": whoever holds it restores the core from the log and steps
 * it.  Each holding has a number of its own, so that what was begun in an
 * earlier one ends.
 */

#define LEASE_S 3
#define ASK_US (900 * BASE_MS)	 /* for the duty */
#define LOOK_US (900 * BASE_MS)	 /* at workers */
#define ENDED_KEPT 10000	 /* jobs that have ended and are still known */
#define ENDED_US (60 * BASE_SEC) /* past any "start-by" of their tasks */

typedef struct ended {
	char *id;
	int64_t at;
} ended_t;

typedef struct worker {
	char *incarnation;
	bool takes;
	bool seen;
	conf_shape_t shape;
} worker_t;

/* A restored task. */
typedef struct unheard {
	char *job, *worker;
	jobs_order_t order;
} unheard_t;

/* What the thread that reads reports owns. */
typedef struct entry_reader {
	entry_jobs_t *jobs;
	uint64_t epoch;
	plat_tasks_t *tasks;
} reader_t;

static int free_jobs(entry_jobs_t *jobs);
static bool service_start(void *service, kern_t *kern, GError **err);
static void service_stop(void *service);
static void tick(void *arg, int64_t now);
static bool wanted(entry_jobs_t *jobs);
static bool keep_duty(entry_jobs_t *jobs, int64_t now);
static void step(entry_jobs_t *jobs, int64_t now);
static bool take_over(entry_jobs_t *jobs, int64_t now);
static void restore(void *arg, base_str_t text);
static void drop(entry_jobs_t *jobs);
static void configure(entry_jobs_t *jobs);
static void look_at_workers(entry_jobs_t *jobs, int64_t now);
static void look_at(entry_jobs_t *jobs, int64_t now,
		    const entry_endpoint_t *endpoint,
		    const conf_shape_t *shape);
static void tell(entry_jobs_t *jobs, int64_t now, const char *id,
		 const worker_t *worker);
static void forbid_unheard(entry_jobs_t *jobs);
static void note_ended(entry_jobs_t *jobs, base_str_t id);
static void forget_ended(entry_jobs_t *jobs, int64_t now);
static void show(entry_jobs_t *jobs);
static void read_reports(void *arg, int64_t now);
static void on_report(void *arg, base_str_t job, int64_t attempt,
		      const jobs_report_t *report);
static bool record_of(void *core, base_str_t id, jobs_record_t *record);
static jobs_commit_t commit(void *arg, const jobs_record_t *records, size_t n);
static void send_start(void *arg, const jobs_order_t *order);
static void send_checkpoint(void *arg, const jobs_order_t *order);
static void send_throttle(void *arg, const jobs_order_t *order);
static void send_resume(void *arg, const jobs_order_t *order);
static void send_stop(void *arg, const jobs_order_t *order);
static void free_worker(void *worker);
static void free_unheard(void *unheard);

const kern_service_ops_t entry_jobs_ops = { service_start, service_stop };

static const jobs_ops_t core_ops = {
	.commit = commit,
	.start = send_start,
	.checkpoint = send_checkpoint,
	.throttle = send_throttle,
	.resume = send_resume,
	.stop = send_stop,
};

entry_jobs_t *entry_jobs_new(entry_daemon_t *daemon)
{
	entry_jobs_t *jobs = talloc_zero(daemon, entry_jobs_t);
	plat_duty_options_t duty = { .name = "jobs", .ttl_s = LEASE_S };

	jobs->daemon = daemon;
	jobs->store = plat_guard_store(daemon->guard, PLAT_FOR_JOBS);
	duty.store = jobs->store;
	duty.holder = talloc_asprintf(jobs, "%s/%s", daemon->settings->name,
				      daemon->incarnation);
	jobs->duty = plat_duty_new(jobs, &duty);
	jobs->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_worker);
	jobs->unheard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_unheard);
	jobs->ended_ids = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_mutex_init(&jobs->lock, NULL);
	pthread_mutex_init(&jobs->shown_lock, NULL);
	pthread_cond_init(&jobs->stepped, NULL);
	talloc_set_destructor(jobs, free_jobs);
	return jobs;
}

static int free_jobs(entry_jobs_t *jobs)
{
	g_hash_table_destroy(jobs->workers);
	g_hash_table_destroy(jobs->unheard);
	g_hash_table_destroy(jobs->ended_ids);
	pthread_cond_destroy(&jobs->stepped);
	pthread_mutex_destroy(&jobs->shown_lock);
	pthread_mutex_destroy(&jobs->lock);
	return 0;
}

static bool service_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	entry_jobs_t *jobs = daemon->jobs;
	kern_duty_options_t thread = { .name = "jobs",
				       .period_us = JOBS_STEP_US,
				       .ring_size = 8,
				       .arg = jobs,
				       .tick = tick };
	kern_duty_options_t reports = { .name = "jobs-reports",
					.period_us = JOBS_STEP_US,
					.ring_size = 8,
					.tick = read_reports };

	(void)kern;
	jobs->reader = talloc_zero(NULL, reader_t);
	jobs->reader->jobs = jobs;
	reports.arg = jobs->reader;
	if (!entry_senders_start(jobs, err))
		return false;
	jobs->reports = kern_duty_start(jobs, &reports, err);
	if (!jobs->reports)
		return false;
	jobs->thread = kern_duty_start(jobs, &thread, err);
	if (!jobs->thread)
		return false;
	entry_jobs_listen(jobs);
	return true;
}

/* Pages may still be asked for; they find that the duty is not held. */
static void service_stop(void *service)
{
	entry_daemon_t *daemon = service;
	entry_jobs_t *jobs = daemon->jobs;

	kern_duty_stop(jobs->thread);
	kern_duty_stop(jobs->reports);
	entry_senders_stop(jobs);
	TALLOC_FREE(jobs->reader);
	pthread_mutex_lock(&jobs->lock);
	drop(jobs);
	pthread_mutex_unlock(&jobs->lock);
	plat_duty_release(jobs->duty);
}

static void tick(void *arg, int64_t now)
{
	entry_jobs_t *jobs = arg;

	if (!keep_duty(jobs, now)) {
		if (jobs->core) {
			base_log(jobs->daemon->log, BASE_MSG_DUTY_LOST,
				 BASE_F_STR("duty", "jobs"));
			pthread_mutex_lock(&jobs->lock);
			drop(jobs);
			pthread_mutex_unlock(&jobs->lock);
		}
		return;
	}
	pthread_mutex_lock(&jobs->lock);
	if (jobs->core || take_over(jobs, now))
		step(jobs, now);
	pthread_mutex_unlock(&jobs->lock);
}

static bool keep_duty(entry_jobs_t *jobs, int64_t now)
{
	bool held;

	if (!wanted(jobs)) {
		if (jobs->core)
			plat_duty_release(jobs->duty);
		atomic_store(&jobs->held_until, 0);
		return false;
	}
	if (now - jobs->asked_at >= ASK_US) {
		jobs->asked_at = now;
		plat_duty_tick(jobs->duty, now);
	}
	held = plat_duty_held(jobs->duty, base_clock_mono());
	atomic_store(&jobs->held_until, held ? plat_duty_until(jobs->duty) : 0);
	return held;
}

/* A site without teams runs no jobs. */
static bool wanted(entry_jobs_t *jobs)
{
	entry_view_t *view = entry_view_hold(jobs->daemon->views);
	bool teams = view->record && view->record->config->n_teams;

	entry_view_release(view);
	return teams && !atomic_load(&jobs->daemon->draining);
}

bool entry_jobs_holds(entry_jobs_t *jobs, uint64_t epoch)
{
	return epoch && atomic_load(&jobs->epoch) == epoch &&
	       base_clock_mono() < atomic_load(&jobs->held_until);
}

static void step(entry_jobs_t *jobs, int64_t now)
{
	configure(jobs);
	look_at_workers(jobs, now);
	entry_senders_tick(jobs);
	if (jobs->listed)
		forbid_unheard(jobs);
	jobs->committed = true;
	if (!jobs_step(jobs->core, now) ||
	    !site_joblog_snapshot(jobs->log, record_of, jobs->core)) {
		base_log(jobs->daemon->log, BASE_MSG_DUTY_LOST,
			 BASE_F_STR("duty", "jobs"));
		drop(jobs);
		plat_duty_release(jobs->duty);
		return;
	}
	if (jobs->committed) {
		jobs->commits++;
		pthread_cond_broadcast(&jobs->stepped);
	}
	forget_ended(jobs, now);
	show(jobs);
}

/* Under the lock; all of the log, or nothing. */
static bool take_over(entry_jobs_t *jobs, int64_t now)
{
	jobs_options_t options = { .ops = &core_ops, .arg = jobs };
	GError *cause = NULL;

	jobs->log = site_joblog_new(jobs, jobs->store, jobs->duty);
	jobs->core = jobs_new(jobs, &options);
	jobs->generation = 0;
	configure(jobs);
	jobs->seen_at = now - LOOK_US;
	look_at_workers(jobs, now);
	if (!site_joblog_read(jobs->log, restore, jobs, &cause)) {
		base_log(jobs->daemon->log, BASE_MSG_DUTY_WAITS,
			 BASE_F_STR("why", cause->message));
		g_clear_error(&cause);
		drop(jobs);
		return false;
	}
	atomic_store(&jobs->epoch, ++jobs->epochs);
	base_log(jobs->daemon->log, BASE_MSG_DUTY_TAKEN,
		 BASE_F_STR("duty", "jobs"));
	base_log(jobs->daemon->log, BASE_MSG_JOBS_TAKEN,
		 BASE_F_INT("jobs", (int64_t)site_joblog_stats(jobs->log).jobs),
		 BASE_F_INT("unheard", g_hash_table_size(jobs->unheard)));
	return true;
}

static void restore(void *arg, base_str_t text)
{
	entry_jobs_t *jobs = arg;
	void *ctx = talloc_new(NULL);
	jobs_record_t record;
	GError *cause = NULL;

	if (!jobs_record_load(ctx, text, &record, &cause) ||
	    !jobs_restore(jobs->core, base_clock_mono(), &record, &cause)) {
		base_log(jobs->daemon->log, BASE_MSG_DUTY_WAITS,
			 BASE_F_STR("why", cause->message));
		g_clear_error(&cause);
		talloc_free(ctx);
		return;
	}
	if (record.state >= JOBS_DONE)
		note_ended(jobs, record.spec.id);
	for (int i = 0; i < record.n_tasks; i++) {
		const jobs_record_task_t *task = &record.tasks[i];
		unheard_t *unheard = g_new0(unheard_t, 1);

		unheard->job =
			g_strndup(record.spec.id.ptr, record.spec.id.len);
		unheard->worker = g_strndup(task->worker.ptr, task->worker.len);
		unheard->order = (jobs_order_t){
			.job = base_str(unheard->job),
			.attempt = task->attempt,
			.worker = base_str(unheard->worker),
			.incarnation = task->incarnation,
			.family = BASE_STR("none"),
			.repeatable = record.spec.repeatable,
		};
		g_hash_table_replace(jobs->unheard,
				     g_strdup_printf("%s.%lld", unheard->job,
						     (long long)task->attempt),
				     unheard);
	}
	talloc_free(ctx);
}

/* Under the lock. */
static void drop(entry_jobs_t *jobs)
{
	ended_t *ended;

	atomic_store(&jobs->epoch, 0);
	TALLOC_FREE(jobs->core);
	TALLOC_FREE(jobs->log);
	g_hash_table_remove_all(jobs->workers);
	g_hash_table_remove_all(jobs->unheard);
	g_hash_table_remove_all(jobs->ended_ids);
	while ((ended = g_queue_pop_head(&jobs->ended))) {
		g_free(ended->id);
		g_free(ended);
	}
	jobs->listed = false;
	show(jobs);
	pthread_cond_broadcast(&jobs->stepped);
}

static void configure(entry_jobs_t *jobs)
{
	entry_view_t *view = entry_view_hold(jobs->daemon->views);
	const conf_t *conf = view->record->config;

	for (size_t i = 0;
	     view->record->generation != jobs->generation && i < conf->n_teams;
	     i++) {
		const conf_team_t *team = &conf->teams[i];
		jobs_res_t quota = { {
			[JOBS_CORES] = team->cores * 1000,
			[JOBS_MEMORY] = team->memory_gb * 1024,
			[JOBS_ACCELERATORS] = team->accelerators,
		} };

		jobs_team_set(jobs->core, team->name, quota);
	}
	jobs->generation = view->record->generation;
	entry_view_release(view);
}

/*
 * Workers are the instances that serve a pool in the life that the fleet's
 * records name.  One that is cordoned, drained or gone takes nothing new; that
 * its tasks are gone only a later life of it proves.
 */
static void look_at_workers(entry_jobs_t *jobs, int64_t now)
{
	entry_view_t *view;
	GHashTableIter iter;
	void *id, *value;

	if (now - jobs->seen_at < LOOK_US)
		return;
	jobs->seen_at = now;
	g_hash_table_iter_init(&iter, jobs->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((worker_t *)value)->seen = false;
	view = entry_view_hold(jobs->daemon->views);
	for (size_t i = 0; i < view->pool_count; i++) {
		const entry_pool_t *pool = &view->pools[i];

		for (size_t k = 0; k < pool->endpoint_count; k++)
			look_at(jobs, now, &pool->endpoints[k],
				&pool->conf->worker);
	}
	entry_view_release(view);
	g_hash_table_iter_init(&iter, jobs->workers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		worker_t *worker = value;

		if (worker->seen || !worker->takes)
			continue;
		worker->takes = false;
		tell(jobs, now, id, worker);
	}
}

static void look_at(entry_jobs_t *jobs, int64_t now,
		    const entry_endpoint_t *endpoint, const conf_shape_t *shape)
{
	worker_t *worker = g_hash_table_lookup(jobs->workers, endpoint->id);
	bool takes = endpoint->state == PLAT_LIVE;

	if (worker && worker->takes == takes &&
	    !memcmp(&worker->shape, shape, sizeof(*shape)) &&
	    !strcmp(worker->incarnation, endpoint->incarnation)) {
		worker->seen = true;
		return;
	}
	worker = g_new0(worker_t, 1);
	worker->incarnation = g_strdup(endpoint->incarnation);
	worker->takes = takes;
	worker->seen = true;
	worker->shape = *shape;
	g_hash_table_replace(jobs->workers, g_strdup(endpoint->id), worker);
	tell(jobs, now, endpoint->id, worker);
}

static void tell(entry_jobs_t *jobs, int64_t now, const char *id,
		 const worker_t *worker)
{
	const jobs_worker_info_t info = {
		.id = base_str(id),
		.incarnation = strtoll(worker->incarnation, NULL, 10),
		.capacity = { {
			[JOBS_CORES] = worker->shape.cores * 1000,
			[JOBS_MEMORY] = worker->shape.memory_gb * 1024,
			[JOBS_ACCELERATORS] = worker->shape.accelerators,
		} },
		.takes = worker->takes,
	};

	jobs_worker_seen(jobs->core, now, &info);
}

/*
 * The predecessor may have committed a start and not sent it.  Nobody sends it
 * any more: its name is taken, and if that was in time it never began.
 */
static void forbid_unheard(entry_jobs_t *jobs)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, jobs->unheard);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		entry_send(jobs, ENTRY_SEND_FORBID,
			   &((unheard_t *)value)->order);
	g_hash_table_remove_all(jobs->unheard);
}

static void note_ended(entry_jobs_t *jobs, base_str_t id)
{
	char *copy = g_strndup(id.ptr, id.len);
	ended_t *ended;

	if (g_hash_table_contains(jobs->ended_ids, copy)) {
		g_free(copy);
		return;
	}
	ended = g_new0(ended_t, 1);
	ended->id = copy;
	ended->at = base_clock_mono();
	g_queue_push_tail(&jobs->ended, ended);
	g_hash_table_add(jobs->ended_ids, copy);
}

static void forget_ended(entry_jobs_t *jobs, int64_t now)
{
	while (jobs->ended.length > ENDED_KEPT) {
		ended_t *ended = g_queue_peek_head(&jobs->ended);
		jobs_order_t order = { .job = base_str(ended->id) };
		jobs_record_t record;

		if (now - ended->at < ENDED_US ||
		    !jobs_record(jobs->core, order.job, &record))
			return;
		order.attempt = record.attempt;
		g_queue_pop_head(&jobs->ended);
		if (!jobs_forget(jobs->core, order.job)) {
			g_queue_push_tail(&jobs->ended, ended);
			return;
		}
		site_joblog_forget(jobs->log, order.job);
		for (; order.attempt > 0; order.attempt--)
			entry_send(jobs, ENTRY_SEND_FORGET, &order);
		g_hash_table_remove(jobs->ended_ids, ended->id);
		g_free(ended->id);
		g_free(ended);
	}
}

static void read_reports(void *arg, int64_t now)
{
	reader_t *reader = arg;
	entry_jobs_t *jobs = reader->jobs;
	uint64_t epoch = atomic_load(&jobs->epoch);
	bool whole = false;

	(void)now;
	if (epoch != reader->epoch) {
		TALLOC_FREE(reader->tasks);
		reader->epoch = epoch;
		reader->tasks =
			plat_pods_new(reader, &jobs->daemon->settings->tasks);
	}
	if (!epoch)
		return;
	if (!reader->tasks->ops->reports(reader->tasks, on_report, reader,
					 &whole, NULL) ||
	    !whole)
		return;
	pthread_mutex_lock(&jobs->lock);
	if (atomic_load(&jobs->epoch) == epoch)
		jobs->listed = true;
	pthread_mutex_unlock(&jobs->lock);
}

static void on_report(void *arg, base_str_t job, int64_t attempt,
		      const jobs_report_t *report)
{
	reader_t *reader = arg;
	entry_jobs_t *jobs = reader->jobs;
	char *name = g_strdup_printf("%.*s.%lld", BASE_STR_ARG(job),
				     (long long)attempt);

	pthread_mutex_lock(&jobs->lock);
	if (jobs->core && atomic_load(&jobs->epoch) == reader->epoch) {
		g_hash_table_remove(jobs->unheard, name);
		if (report)
			jobs_report(jobs->core, base_clock_mono(), report);
	}
	pthread_mutex_unlock(&jobs->lock);
	g_free(name);
}

void entry_jobs_report(entry_jobs_t *jobs, uint64_t epoch,
		       const jobs_report_t *report)
{
	pthread_mutex_lock(&jobs->lock);
	if (jobs->core && atomic_load(&jobs->epoch) == epoch)
		jobs_report(jobs->core, base_clock_mono(), report);
	pthread_mutex_unlock(&jobs->lock);
}

static bool record_of(void *core, base_str_t id, jobs_record_t *record)
{
	return jobs_record(core, id, record);
}

static jobs_commit_t commit(void *arg, const jobs_record_t *records, size_t n)
{
	entry_jobs_t *jobs = arg;
	jobs_commit_t done = site_joblog_commit(jobs->log, records, n);

	jobs->committed = done == JOBS_COMMIT_DONE;
	for (size_t i = 0; jobs->committed && i < n; i++)
		if (records[i].state >= JOBS_DONE)
			note_ended(jobs, records[i].spec.id);
	return done;
}

static void send_start(void *arg, const jobs_order_t *order)
{
	entry_send(arg, ENTRY_SEND_START, order);
}

static void send_checkpoint(void *arg, const jobs_order_t *order)
{
	entry_send(arg, ENTRY_SEND_CHECKPOINT, order);
}

static void send_throttle(void *arg, const jobs_order_t *order)
{
	entry_send(arg, ENTRY_SEND_THROTTLE, order);
}

static void send_resume(void *arg, const jobs_order_t *order)
{
	entry_send(arg, ENTRY_SEND_RESUME, order);
}

static void send_stop(void *arg, const jobs_order_t *order)
{
	entry_send(arg, ENTRY_SEND_STOP, order);
}

static void free_worker(void *worker)
{
	g_free(((worker_t *)worker)->incarnation);
	g_free(worker);
}

static void free_unheard(void *p)
{
	unheard_t *unheard = p;

	g_free(unheard->job);
	g_free(unheard->worker);
	g_free(unheard);
}

/* For the metrics, which must not wait for a store that is down. */
static void show(entry_jobs_t *jobs)
{
	pthread_mutex_lock(&jobs->shown_lock);
	jobs->shown = jobs->core != NULL;
	if (jobs->shown) {
		jobs_stats(jobs->core, &jobs->shown_stats);
		jobs->shown_log = site_joblog_stats(jobs->log);
	}
	pthread_mutex_unlock(&jobs->shown_lock);
}

void entry_metrics_jobs(entry_daemon_t *daemon, base_buf_t *out)
{
	entry_jobs_t *jobs = daemon->jobs;
	site_joblog_stats_t log;
	jobs_stats_t stats;
	bool shown;

	pthread_mutex_lock(&jobs->shown_lock);
	shown = jobs->shown;
	stats = jobs->shown_stats;
	log = jobs->shown_log;
	pthread_mutex_unlock(&jobs->shown_lock);
	if (!shown)
		return;
	base_buf_adds(out, "# TYPE cactusfield_jobs gauge\n");
	for (int i = 0; i < JOBS_STATE_MAX; i++)
		base_buf_addf(out, "cactusfield_jobs{state=\"%s\"} %zu\n",
			      jobs_state_name((jobs_state_t)i),
			      stats.states[i]);
	base_buf_addf(
		out,
		"# TYPE cactusfield_job_workers gauge\n"
		"cactusfield_job_workers{state=\"known\"} %zu\n"
		"cactusfield_job_workers{state=\"out\"} %zu\n"
		"# TYPE cactusfield_job_starts_total counter\n"
		"cactusfield_job_starts_total %llu\n"
		"# TYPE cactusfield_job_log_total counter\n"
		"cactusfield_job_log_total{what=\"commits\"} %llu\n"
		"cactusfield_job_log_total{what=\"writes\"} %llu\n"
		"cactusfield_job_log_total{what=\"bytes\"} %llu\n"
		"cactusfield_job_log_total{what=\"snapshots\"} %llu\n"
		"cactusfield_job_log_total{what=\"snapshot-bytes\"} "
		"%llu\n",
		stats.workers, stats.out, (unsigned long long)stats.started,
		(unsigned long long)log.commits, (unsigned long long)log.writes,
		(unsigned long long)log.bytes,
		(unsigned long long)log.snapshots,
		(unsigned long long)log.snapshot_bytes);
}
