/*
 * entry_jobs - the jobs duty, run by the entry that holds it.
 *
 * One thread steps the core, one reads reports of workers, several send orders;
 * the operators' port submits jobs.
 */
#ifndef ENTRY_JOBS_H
#define ENTRY_JOBS_H

#include "entry_int.h"
#include "jobs.h"
#include "site.h"
#include "site_joblog.h"

#define ENTRY_JOBS_SENDERS 4

typedef struct entry_sender entry_sender_t;

struct entry_jobs {
	entry_daemon_t *daemon;
	kern_thread_t *thread;
	kern_thread_t *reports;
	struct entry_reader *reader; /* used only by the reports thread */
	entry_sender_t *senders[ENTRY_JOBS_SENDERS];
	plat_store_t *store;
	plat_duty_t *duty; /* used only by the jobs thread */
	/* Time of the last attempt to take or renew the duty. */
	int64_t duty_renewed_at;
	/* Time of the last check whether tasks of removed teams may run. */
	int64_t leftover_checked_at;
	bool has_leftover_tasks; /* tasks of removed teams may run */
	/* Time of the last update of the workers; 0: none. */
	int64_t workers_updated_at;
	/* Generation of the configuration that "core" uses. */
	int64_t generation;
	GHashTable *workers; /* worker id -> state last passed to "core" */
	/* Cordoned instances as passed to "core"; cordoned_instance_count
	 * elements. */
	fleet_idle_t *cordoned_instances;
	size_t cordoned_instance_count;
	atomic_ullong epoch; /* number of this holding period; 0: not held */
	/* number of the latest holding period of this process */
	uint64_t epochs;
	atomic_llong held_until; /* on base_clock_mono(); 0: not held */
	pthread_mutex_t lock;	 /* protects the members up to ended_ids */
	/* Signalled when a step was committed or the duty was lost. */
	pthread_cond_t step_cond;
	jobs_t *core; /* NULL: the duty is not held */
	site_joblog_t *log;
	/*
	 * Number of steps of the core that wrote all their changes to the
	 * store.
	 */
	uint64_t commits;
	/* the current step has written all its changes to the store */
	bool committed;
	/* Restored tasks that no worker has reported yet. */
	GHashTable *unreported;
	/*
	 * Whether all tasks on the platform were listed during this holding
	 * period.
	 */
	bool all_tasks_listed;
	bool has_teams; /* whether the configuration has teams */
	/*
	 * The idle record in the store says that there are no teams and no
	 * tasks.
	 */
	bool no_tasks_recorded;
	/* This holder has replaced the previous holder's idle record. */
	bool has_written_idle;
	GQueue ended; /* ended jobs (ended_t), oldest first */
	GHashTable *ended_ids;
	/* Protects the members below, which are copies for the metrics. */
	pthread_mutex_t metrics_lock;
	bool metrics_valid; /* whether the duty is held */
	jobs_stats_t metrics_stats;
	site_joblog_stats_t metrics_log_stats;
};

typedef enum entry_send {
	ENTRY_SEND_START,
	ENTRY_SEND_CHECKPOINT,
	ENTRY_SEND_THROTTLE,
	ENTRY_SEND_RESUME,
	ENTRY_SEND_STOP,
	ENTRY_SEND_FORBID,
	ENTRY_SEND_FORGET,
	ENTRY_SEND_MAX
} entry_send_t;

/* Threads that send orders; entry_jobs_send.c. */
bool entry_senders_start(entry_jobs_t *jobs, GError **err);
void entry_senders_stop(entry_jobs_t *jobs);

/* Queue an order for the current holding period; does not wait. */
void entry_send(entry_jobs_t *jobs, entry_send_t kind,
		const jobs_order_t *order);

/* Retry orders for which a ring was full; called by the jobs thread. */
void entry_senders_post_overflow(entry_jobs_t *jobs);

/* Pass teams and workers to the core; entry_jobs_workers.c. */
GHashTable *entry_jobs_workers_new(void);
void entry_jobs_update_teams(entry_jobs_t *jobs);
void entry_jobs_update_workers(entry_jobs_t *jobs, int64_t now);

/*
 * Write to the store which cordoned instances have no tasks.  "*is_written"
 * says whether this holder wrote the record there; no task may start before
 * that.  Returns false once another holder was seen.
 */
bool entry_jobs_store_idle(entry_jobs_t *jobs, bool *is_written);

/* Ended jobs: add one, forget the oldest, clear; entry_jobs_ended.c. */
void entry_jobs_add_ended(entry_jobs_t *jobs, base_str_t id);
void entry_jobs_purge_ended(entry_jobs_t *jobs, int64_t now);
void entry_jobs_clear_ended(entry_jobs_t *jobs);

/* Thread that reads reports; entry_jobs_reports.c. */
bool entry_reader_start(entry_jobs_t *jobs, GError **err);
void entry_reader_stop(entry_jobs_t *jobs);

/* Copy the statistics for the metrics, which do not wait for "lock". */
void entry_jobs_copy_stats(entry_jobs_t *jobs);

/* Whether "epoch" certainly is the current holding period. */
bool entry_jobs_is_current_epoch(entry_jobs_t *jobs, uint64_t epoch);

/* Pass a report to the core if "epoch" is the current holding period. */
void entry_jobs_report(entry_jobs_t *jobs, uint64_t epoch,
		       const jobs_report_t *report);

#endif
