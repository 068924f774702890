#include "entry_jobs.h"

/*
 * The duty "jobs".  The entry that holds it restores the core from the log of
 * jobs and steps it.  Each holding period has its own epoch; orders and
 * reports of an earlier epoch are dropped.
 */

#define LEASE_S 3
/* Interval of checks for tasks of teams that were removed. */
#define LEFTOVER_CHECK_US (30 * BASE_SEC)
#define DUTY_RENEW_US (900 * BASE_MS)

/* A restored task that the platform has not reported yet. */
typedef struct unreported {
	char *job, *worker;
	jobs_order_t order;
} unreported_t;

static int free_jobs(entry_jobs_t *jobs);
static bool service_start(void *service, kern_t *kern, GError **err);
static void service_stop(void *service);
static void tick(void *arg, int64_t now);
static bool is_duty_needed(entry_jobs_t *jobs, int64_t now);
static bool renew_duty(entry_jobs_t *jobs, int64_t now);
static void step(entry_jobs_t *jobs, int64_t now);
static bool take_over(entry_jobs_t *jobs, int64_t now);
static void load_learned(void *arg, base_str_t text);
static void restore(void *arg, base_str_t text);
static void expect_report(entry_jobs_t *jobs, const jobs_record_t *record,
			  const jobs_record_task_t *task);
static void discard_core(entry_jobs_t *jobs);
static void forbid_unreported(entry_jobs_t *jobs);
static bool get_record(void *core, base_str_t id, jobs_record_t *record);
static char *print_learned(void *core, const void *ctx, size_t max);
static jobs_commit_t commit(void *arg, const jobs_record_t *records, size_t n);
static void send_start(void *arg, const jobs_order_t *order);
static void send_checkpoint(void *arg, const jobs_order_t *order);
static void send_throttle(void *arg, const jobs_order_t *order);
static void send_resume(void *arg, const jobs_order_t *order);
static void send_stop(void *arg, const jobs_order_t *order);
static void free_unreported(void *unreported);

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
	jobs->workers = entry_jobs_workers_new();
	jobs->unreported = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_unreported);
	jobs->ended_ids = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_mutex_init(&jobs->lock, NULL);
	pthread_mutex_init(&jobs->metrics_lock, NULL);
	pthread_cond_init(&jobs->step_cond, NULL);
	talloc_set_destructor(jobs, free_jobs);
	return jobs;
}

static int free_jobs(entry_jobs_t *jobs)
{
	g_hash_table_destroy(jobs->workers);
	g_hash_table_destroy(jobs->unreported);
	g_hash_table_destroy(jobs->ended_ids);
	pthread_cond_destroy(&jobs->step_cond);
	pthread_mutex_destroy(&jobs->metrics_lock);
	pthread_mutex_destroy(&jobs->lock);
	return 0;
}

static bool service_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	entry_jobs_t *jobs = daemon->jobs;
	kern_thread_options_t thread = { .name = "jobs",
					 .period_us = JOBS_STEP_INTERVAL_US,
					 .ring_size = 8,
					 .arg = jobs,
					 .tick = tick };

	(void)kern;
	if (!entry_senders_start(jobs, err) || !entry_reader_start(jobs, err))
		return false;
	jobs->thread = kern_thread_start(jobs, &thread, err);
	return jobs->thread != NULL;
}

/*
 * The operators' pages about jobs may still be requested; they answer that
 * this entry does not hold the duty.
 */
static void service_stop(void *service)
{
	entry_daemon_t *daemon = service;
	entry_jobs_t *jobs = daemon->jobs;

	kern_thread_stop(jobs->thread);
	entry_reader_stop(jobs);
	entry_senders_stop(jobs);
	pthread_mutex_lock(&jobs->lock);
	discard_core(jobs);
	pthread_mutex_unlock(&jobs->lock);
	plat_duty_release(jobs->duty);
}

static void tick(void *arg, int64_t now)
{
	entry_jobs_t *jobs = arg;

	if (!renew_duty(jobs, now)) {
		if (jobs->core) {
			base_log(jobs->daemon->log, BASE_MSG_DUTY_LOST,
				 BASE_F_STR("duty", "jobs"));
			pthread_mutex_lock(&jobs->lock);
			discard_core(jobs);
			pthread_mutex_unlock(&jobs->lock);
		}
		return;
	}
	pthread_mutex_lock(&jobs->lock);
	if (jobs->core || take_over(jobs, now))
		step(jobs, now);
	pthread_mutex_unlock(&jobs->lock);
}

static bool renew_duty(entry_jobs_t *jobs, int64_t now)
{
	bool held;

	if (!is_duty_needed(jobs, now)) {
		if (jobs->core)
			plat_duty_release(jobs->duty);
		atomic_store(&jobs->held_until, 0);
		return false;
	}
	if (now - jobs->duty_renewed_at >= DUTY_RENEW_US) {
		jobs->duty_renewed_at = now;
		plat_duty_tick(jobs->duty, now);
	}
	held = plat_duty_held(jobs->duty, base_clock_mono());
	atomic_store(&jobs->held_until,
		     held ? plat_duty_held_until(jobs->duty) : 0);
	return held;
}

/*
 * Without teams in the configuration no job starts.  The duty is still needed
 * while tasks of removed teams may run.
 */
static bool is_duty_needed(entry_jobs_t *jobs, int64_t now)
{
	entry_view_t *view = entry_view_hold(jobs->daemon->views);
	bool has_config = view->record != NULL;
	bool has_teams = has_config && view->record->config->n_teams;

	entry_view_release(view);
	if (!has_config || atomic_load(&jobs->daemon->draining))
		return false;
	if (has_teams)
		return true;
	if (jobs->core)
		return !jobs->no_tasks_recorded;
	if (!jobs->leftover_checked_at ||
	    now - jobs->leftover_checked_at >= LEFTOVER_CHECK_US) {
		jobs->leftover_checked_at = now;
		site_jobs_may_run(jobs->store, &jobs->has_leftover_tasks, NULL);
	}
	return jobs->has_leftover_tasks;
}

bool entry_jobs_is_current_epoch(entry_jobs_t *jobs, uint64_t epoch)
{
	return epoch && atomic_load(&jobs->epoch) == epoch &&
	       base_clock_mono() < atomic_load(&jobs->held_until);
}

static void step(entry_jobs_t *jobs, int64_t now)
{
	entry_jobs_update_teams(jobs);
	entry_jobs_update_workers(jobs, now);
	entry_senders_post_overflow(jobs);
	if (jobs->all_tasks_listed)
		forbid_unreported(jobs);
	/* Before jobs_step(), whose commit also removes the purged ids. */
	entry_jobs_purge_ended(jobs, now);
	jobs->committed = true;
	if (!entry_jobs_store_idle(jobs, &jobs->has_written_idle) ||
	    (jobs->has_written_idle && !jobs->no_tasks_recorded &&
	     !jobs_step(jobs->core, now)) ||
	    !site_joblog_snapshot(jobs->log, get_record, print_learned,
				  jobs->core)) {
		base_log(jobs->daemon->log, BASE_MSG_DUTY_LOST,
			 BASE_F_STR("duty", "jobs"));
		discard_core(jobs);
		plat_duty_release(jobs->duty);
		return;
	}
	if (!jobs->has_written_idle)
		return;
	if (jobs->committed) {
		jobs->commits++;
		pthread_cond_broadcast(&jobs->step_cond);
	}
	entry_jobs_copy_stats(jobs);
}

/*
 * Restores the core from the log; with the lock held.  A log that cannot be
 * read whole is not taken over: nothing is kept and the next tick tries again.
 */
static bool take_over(entry_jobs_t *jobs, int64_t now)
{
	jobs_options_t options = { .ops = &core_ops, .arg = jobs };
	GError *cause = NULL;

	jobs->log = site_joblog_new(jobs, jobs->store, jobs->duty);
	jobs->core = jobs_new(jobs, &options);
	jobs->generation = 0;
	entry_jobs_update_teams(jobs);
	jobs->workers_updated_at = 0;
	entry_jobs_update_workers(jobs, now);
	if (!site_joblog_read(jobs->log, restore, load_learned, jobs, &cause)) {
		base_log(jobs->daemon->log, BASE_MSG_DUTY_WAITS,
			 BASE_F_STR("why", cause->message));
		g_clear_error(&cause);
		discard_core(jobs);
		return false;
	}
	atomic_store(&jobs->epoch, ++jobs->epochs);
	base_log(jobs->daemon->log, BASE_MSG_DUTY_TAKEN,
		 BASE_F_STR("duty", "jobs"));
	base_log(jobs->daemon->log, BASE_MSG_JOBS_TAKEN,
		 BASE_F_INT("jobs", (int64_t)site_joblog_stats(jobs->log).jobs),
		 BASE_F_INT("unheard", g_hash_table_size(jobs->unreported)));
	return true;
}

/*
 * Loads the job sizes that earlier holders learned.  If they cannot be loaded,
 * the core learns them again, starting from the declared sizes.
 */
static void load_learned(void *arg, base_str_t text)
{
	entry_jobs_t *jobs = arg;
	GError *cause = NULL;

	if (!jobs_learned_load(jobs->core, text, &cause))
		base_log(jobs->daemon->log, BASE_MSG_DUTY_WAITS,
			 BASE_F_STR("why", cause->message));
	g_clear_error(&cause);
}

/*
 * Restores one job and its tasks.  A record that cannot be restored is logged
 * and left out.
 */
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
		entry_jobs_add_ended(jobs, record.spec.id);
	for (int i = 0; i < record.n_tasks; i++)
		expect_report(jobs, &record, &record.tasks[i]);
	talloc_free(ctx);
}

/*
 * Records a restored task until the platform reports it.  Until then it is
 * unknown whether the previous holder sent the order to start the task.
 */
static void expect_report(entry_jobs_t *jobs, const jobs_record_t *record,
			  const jobs_record_task_t *task)
{
	unreported_t *unreported = g_new0(unreported_t, 1);
	base_str_t id = record->spec.id;

	unreported->job = g_strndup(id.ptr, id.len);
	unreported->worker = g_strndup(task->worker.ptr, task->worker.len);
	unreported->order = (jobs_order_t){
		.job = base_str(unreported->job),
		.attempt = task->attempt,
		.worker = base_str(unreported->worker),
		.incarnation = task->incarnation,
		.family = BASE_STR("none"),
		.repeatable = record->spec.repeatable,
	};
	g_hash_table_replace(jobs->unreported,
			     g_strdup_printf("%s.%lld", unreported->job,
					     (long long)task->attempt),
			     unreported);
}

/* Ends the holding period and frees its state; with the lock held. */
static void discard_core(entry_jobs_t *jobs)
{
	atomic_store(&jobs->epoch, 0);
	TALLOC_FREE(jobs->core);
	TALLOC_FREE(jobs->log);
	g_hash_table_remove_all(jobs->workers);
	g_hash_table_remove_all(jobs->unreported);
	entry_jobs_clear_ended(jobs);
	jobs->all_tasks_listed = jobs->has_written_idle =
		jobs->no_tasks_recorded = false;
	jobs->has_leftover_tasks = false;
	entry_jobs_copy_stats(jobs);
	pthread_cond_broadcast(&jobs->step_cond);
}

/*
 * The previous holder may have committed the start of a task without sending
 * the order.  The order is not sent any more.  Instead a pod takes the task's
 * name on the platform.  If the name was still free, the task never began and
 * the pod reports so.
 */
static void forbid_unreported(entry_jobs_t *jobs)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, jobs->unreported);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		entry_send(jobs, ENTRY_SEND_FORBID,
			   &((unreported_t *)value)->order);
	g_hash_table_remove_all(jobs->unreported);
}

static bool get_record(void *core, base_str_t id, jobs_record_t *record)
{
	return jobs_record(core, id, record);
}

static char *print_learned(void *core, const void *ctx, size_t max)
{
	return jobs_learned_print(core, ctx, max);
}

static jobs_commit_t commit(void *arg, const jobs_record_t *records, size_t n)
{
	entry_jobs_t *jobs = arg;
	jobs_commit_t result = site_joblog_commit(jobs->log, records, n);

	jobs->committed = result == JOBS_COMMIT_DONE;
	for (size_t i = 0; jobs->committed && i < n; i++)
		if (records[i].state >= JOBS_DONE)
			entry_jobs_add_ended(jobs, records[i].spec.id);
	return result;
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

static void free_unreported(void *p)
{
	unreported_t *unreported = p;

	g_free(unreported->job);
	g_free(unreported->worker);
	g_free(unreported);
}
