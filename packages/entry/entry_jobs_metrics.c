#include "entry_jobs.h"

/*
 * Metrics about jobs.
 */

/*
 * Copies the counters for the metrics.  A scrape cannot read the core: its lock
 * may be held while a write waits for a store that is down.
 */
void entry_jobs_copy_stats(entry_jobs_t *jobs)
{
	pthread_mutex_lock(&jobs->metrics_lock);
	jobs->metrics_valid = jobs->core != NULL;
	if (jobs->metrics_valid) {
		jobs_stats(jobs->core, &jobs->metrics_stats);
		jobs->metrics_log_stats = site_joblog_stats(jobs->log);
	}
	pthread_mutex_unlock(&jobs->metrics_lock);
}

void entry_metrics_jobs(entry_daemon_t *daemon, base_buf_t *out)
{
	entry_jobs_t *jobs = daemon->jobs;
	site_joblog_stats_t log;
	jobs_stats_t stats;
	bool shown;

	pthread_mutex_lock(&jobs->metrics_lock);
	shown = jobs->metrics_valid;
	stats = jobs->metrics_stats;
	log = jobs->metrics_log_stats;
	pthread_mutex_unlock(&jobs->metrics_lock);
	if (!shown)
		return;
	base_buf_adds(out, "# TYPE cactusfield_jobs gauge\n");
	for (int i = 0; i < JOBS_STATE_MAX; i++)
		base_buf_addf(out, "cactusfield_jobs{state=\"%s\"} %zu\n",
			      jobs_state_name((jobs_state_t)i),
			      stats.states[i]);
	base_buf_addf(out,
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
		      stats.workers, stats.quarantined_workers,
		      (unsigned long long)stats.started,
		      (unsigned long long)log.commits,
		      (unsigned long long)log.writes,
		      (unsigned long long)log.bytes,
		      (unsigned long long)log.snapshots,
		      (unsigned long long)log.snapshot_bytes);
}
