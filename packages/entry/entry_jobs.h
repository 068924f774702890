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
	struct entry_reader *reader; /* state of the reports thread */
	entry_sender_t *senders[ENTRY_JOBS_SENDERS];
	plat_store_t *store;
	plat_duty_t *duty;    /* used only by the jobs thread */
	int64_t asked_at;     /* last attempt to take or keep the duty */
	int64_t left_at;      /* last check for tasks of removed teams */
	bool left;	      /* such tasks may exist */
	int64_t seen_at;      /* last update of the workers */
	int64_t generation;   /* of the configuration in core */
	GHashTable *workers;  /* id -> state last passed to core */
	fleet_idle_t *drains; /* cordoned instances, as passed to core */
	size_t drain_count;
	atomic_ullong epoch; /* number of this holding period; 0: not held */
	uint64_t epochs;     /* number of the last holding period */
	atomic_llong held_until; /* on base_clock_mono(); 0: not held */
	pthread_mutex_t lock;	 /* protects the members up to ended_ids */
	pthread_cond_t stepped;	 /* a step was committed, or the duty lost */
	jobs_t *core;		 /* NULL: not held */
	site_joblog_t *log;
	uint64_t commits;    /* steps that wrote all their changes */
	bool committed;	     /* this step has written all its changes */
	GHashTable *unheard; /* restored tasks not reported by a worker yet */
	bool listed;	     /* all tasks were listed once in this period */
	bool teams;	     /* the configuration has teams */
	bool over;    /* no teams, no tasks left, and the store says so */
	bool told;    /* the previous holder's idle record is replaced */
	GQueue ended; /* of ended_t, oldest first */
	GHashTable *ended_ids;
	pthread_mutex_t shown_lock; /* protects the copies for the metrics */
	bool shown;		    /* the duty is held */
	jobs_stats_t shown_stats;
	site_joblog_stats_t shown_log;
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
 * Write to the store which cordoned instances have no tasks.  "*told" says
 * whether the record there is this holder's; no task may start before it is.
 * Returns false once another holder was seen.
 */
bool entry_jobs_store_idle(entry_jobs_t *jobs, bool *told);

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
