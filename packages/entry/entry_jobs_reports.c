#include "entry_jobs.h"

/*
 * A thread that reads the workers' reports about tasks.
 */

/* State of the thread that reads reports; only that thread uses it. */
typedef struct entry_reader {
	entry_jobs_t *jobs;
	uint64_t epoch;
	plat_tasks_t *tasks;
} reader_t;

static void read_reports(void *arg, int64_t now);
static void on_report(void *arg, base_str_t job, int64_t attempt,
		      const jobs_report_t *report);

bool entry_reader_start(entry_jobs_t *jobs, GError **err)
{
	kern_thread_options_t reports = { .name = "jobs-reports",
					  .period_us = JOBS_STEP_INTERVAL_US,
					  .ring_size = 8,
					  .tick = read_reports };

	jobs->reader = talloc_zero(NULL, reader_t);
	jobs->reader->jobs = jobs;
	reports.arg = jobs->reader;
	jobs->reports = kern_thread_start(jobs, &reports, err);
	return jobs->reports != NULL;
}

void entry_reader_stop(entry_jobs_t *jobs)
{
	kern_thread_stop(jobs->reports);
	TALLOC_FREE(jobs->reader);
}

static void read_reports(void *arg, int64_t now)
{
	reader_t *reader = arg;
	entry_jobs_t *jobs = reader->jobs;
	uint64_t epoch = atomic_load(&jobs->epoch);
	bool is_complete = false;

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
					 &is_complete, NULL) ||
	    !is_complete)
		return;
	pthread_mutex_lock(&jobs->lock);
	if (atomic_load(&jobs->epoch) == epoch)
		jobs->all_tasks_listed = true;
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
		g_hash_table_remove(jobs->unreported, name);
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
