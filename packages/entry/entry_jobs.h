/*
 * entry_jobs - this entry's turn at the duty "jobs".
 *
 * One thread steps the core, one reads what workers report, some send orders;
 * the operators' port hands in what teams want.
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
	kern_duty_t *thread;
	kern_duty_t *reports;
	struct entry_reader *reader; /* that thread's */
	entry_sender_t *senders[ENTRY_JOBS_SENDERS];
	plat_store_t *store;
	plat_duty_t *duty;    /* the thread's own */
	int64_t asked_at;     /* when the duty was last asked for */
	int64_t left_at;      /* when tasks of no team were last looked for */
	bool left;	      /* there may be some */
	int64_t seen_at;      /* when workers were last looked at */
	int64_t generation;   /* of the configuration that the core follows */
	GHashTable *workers;  /* id to what the core was told */
	fleet_idle_t *drains; /* cordoned instances, as the core was told */
	size_t drain_count;
	atomic_ullong epoch; /* of this holding; 0: not held */
	uint64_t epochs;
	atomic_llong held_until; /* on base_clock_mono() */
	pthread_mutex_t lock;	 /* of everything below */
	pthread_cond_t stepped;
	jobs_t *core; /* NULL: not held */
	site_joblog_t *log;
	uint64_t commits;    /* steps that left nothing unwritten */
	bool committed;	     /* in this step */
	GHashTable *unheard; /* restored tasks that nobody has reported */
	bool listed;	     /* every task was reported once */
	bool teams;	     /* the configuration has some */
	bool over;	     /* it has none, and no task is left */
	bool told;	     /* what the predecessor said of tasks is void */
	GQueue ended;	     /* ended_t, the oldest first */
	GHashTable *ended_ids;
	pthread_mutex_t shown_lock; /* of what the metrics tell */
	bool shown;
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

/* Threads that send; entry_jobs_send.c. */
bool entry_senders_start(entry_jobs_t *jobs, GError **err);
void entry_senders_stop(entry_jobs_t *jobs);

/* Send an order for the present holding without waiting for it. */
void entry_send(entry_jobs_t *jobs, entry_send_t kind,
		const jobs_order_t *order);

/* Try again what found no room; the jobs thread, each tick. */
void entry_senders_tick(entry_jobs_t *jobs);

/* Tell the core of teams and of workers; entry_jobs_workers.c. */
GHashTable *entry_jobs_workers_new(void);
void entry_jobs_teams(entry_jobs_t *jobs);
void entry_jobs_workers(entry_jobs_t *jobs, int64_t now);

/*
 * Say which instances that drain have no task; false once another holder was
 * seen.  Nothing is started before "*told".
 */
bool entry_jobs_idle(entry_jobs_t *jobs, bool *told);

/* Note a job that has ended, forget the oldest; entry_jobs_ended.c. */
void entry_jobs_ended(entry_jobs_t *jobs, base_str_t id);
void entry_jobs_forget(entry_jobs_t *jobs, int64_t now);
void entry_jobs_ended_clear(entry_jobs_t *jobs);

/* The thread that reads reports; entry_jobs_reports.c. */
bool entry_reader_start(entry_jobs_t *jobs, GError **err);
void entry_reader_stop(entry_jobs_t *jobs);

/* Keep what the metrics tell, which do not wait; entry_jobs_metrics.c. */
void entry_jobs_show(entry_jobs_t *jobs);

/* Whether the holding "epoch" surely is the present one. */
bool entry_jobs_holds(entry_jobs_t *jobs, uint64_t epoch);

/* Hand on a report of that holding. */
void entry_jobs_report(entry_jobs_t *jobs, uint64_t epoch,
		       const jobs_report_t *report);

#endif
