/*
 * jobs - job scheduler: queues per team with quotas and urgency, placement on
 * workers, preemption for urgent jobs, handling of failing jobs and workers.
 *
 * The core does no I/O of its own.  Times are in microseconds on the caller's
 * clock and are passed as "now".  Events change the state; jobs_step() decides,
 * commits the changed records and only then starts and stops tasks, through the
 * table of operations.  The holder drives one core; its successor restores
 * another one from the committed records.
 *
 * A task is one attempt of a job on one worker, under a lease that its reports
 * renew.  A lapsed lease does not prove that the task stopped: its share of the
 * worker and of the quota stays allocated until the worker reports the end or
 * is known to have restarted, and a job that is not repeatable is not started
 * again.
 *
 * Terms: a step is one call of jobs_step(); unlike a job of the batch package,
 * a job here has no steps.  An operation is a function of jobs_ops_t.  A team
 * owns jobs; its quota is the most that its jobs may have allocated at a time.
 * The urgency is the priority level of a job; jobs of level 0 are urgent and
 * may preempt tasks of other levels.  A reservation keeps capacity of a worker
 * for one waiting job.  A worker in quarantine gets no tasks, because it seems
 * broken.  A job is in doubt if the lease of its task has lapsed and the job is
 * not repeatable or was cancelled: the task may still run.
 *
 * Strings have at most JOBS_ID_MAX bytes.  Not thread-safe.
 */
#ifndef JOBS_H
#define JOBS_H

#include "base.h"

#define JOBS_ID_MAX 64 /* maximum bytes of a string */
/* A job is held after it has failed on this many distinct workers. */
#define JOBS_FAILED_WORKERS_MAX 3
#define JOBS_ATTEMPTS_MAX 12 /* attempts before a job is held */
#define JOBS_TASKS_MAX 4     /* maximum tasks of one job that may still run */
#define JOBS_URGENCY_MAX 4   /* number of levels; level 0 preempts others */
/* A throttled task keeps its cores divided by this. */
#define JOBS_THROTTLE_DIVISOR 8

#define JOBS_ERROR jobs_error_quark()
GQuark jobs_error_quark(void);

typedef enum jobs_error {
	JOBS_ERR_SPEC,	  /* a member of the spec is out of range */
	JOBS_ERR_EXISTS,  /* a job of this id exists */
	JOBS_ERR_UNKNOWN, /* no such job */
	JOBS_ERR_RECORD,  /* a record or learned data is invalid */
	JOBS_ERR_MAX
} jobs_error_t;

typedef enum jobs_kind {
	JOBS_CORES,	   /* thousandths of a core */
	JOBS_MEMORY,	   /* MB */
	JOBS_ACCELERATORS, /* whole devices; always as declared, not learned */
	JOBS_KIND_MAX
} jobs_kind_t;

/* An amount of each kind. */
typedef struct jobs_res {
	int64_t v[JOBS_KIND_MAX];
} jobs_res_t;

/* A job as a team submits it. */
typedef struct jobs_spec {
	base_str_t id;
	base_str_t team;
	base_str_t family; /* similar jobs, whose sizes are learned together */
	int urgency;	   /* 0 to JOBS_URGENCY_MAX - 1 */
	bool repeatable;   /* the job may run more than once */
	bool checkpoints;  /* its tasks can be checkpointed */
	bool throttles;	   /* its tasks can be throttled */
	jobs_res_t declared;
} jobs_spec_t;

typedef enum jobs_state {
	JOBS_QUEUED,
	JOBS_STARTING, /* placed on a worker, which has not reported yet */
	JOBS_RUNNING,
	JOBS_IN_DOUBT, /* lease lapsed; not repeatable, or cancelled */
	JOBS_HELD,     /* too many failures; waits for an operator */
	JOBS_DONE,     /* finished successfully; from here on it has ended */
	JOBS_FAILED,   /* failed and is not repeatable */
	JOBS_LOST,     /* not repeatable; unknown whether it finished */
	JOBS_CANCELLED,
	JOBS_STATE_MAX
} jobs_state_t;

/* Why a job is in its state. */
typedef enum jobs_reason {
	JOBS_REASON_FAIR_SHARE,	 /* teams with a smaller share go first */
	JOBS_REASON_QUOTA_USED,	 /* the team's quota is in use */
	JOBS_REASON_OVER_QUOTA,	 /* larger than the team's whole quota */
	JOBS_REASON_NO_CAPACITY, /* no worker has enough free capacity */
	JOBS_REASON_TOO_LARGE,	 /* larger than every worker */
	JOBS_REASON_RESERVED,	 /* a worker is reserved for it */
	JOBS_REASON_STARTING,	 /* placed on a worker */
	JOBS_REASON_RUNNING,
	JOBS_REASON_LEASE_LAPSED, /* worker is silent; the task may still run */
	JOBS_REASON_TASKS_LIMIT,  /* JOBS_TASKS_MAX tasks may still run */
	JOBS_REASON_POISON, /* failed on several workers that run other jobs */
	JOBS_REASON_ATTEMPTS_LIMIT, /* too many attempts, none finished */
	JOBS_REASON_DONE,	    /* finished successfully */
	JOBS_REASON_FAILED,	    /* failed and must not be repeated */
	JOBS_REASON_WORKER_GONE,    /* worker gone; must not be repeated */
	JOBS_REASON_CANCELLED,
	JOBS_REASON_MAX
} jobs_reason_t;

/* A task that may still run. */
typedef struct jobs_record_task {
	int64_t attempt;
	base_str_t worker;
	int64_t incarnation;
	jobs_res_t share; /* allocated to the task */
	jobs_res_t full;  /* its share without throttling */
} jobs_record_task_t;

/* The persistent state of a job.  The core owns the strings. */
typedef struct jobs_record {
	jobs_spec_t spec;
	jobs_state_t state;
	jobs_reason_t reason;
	int64_t attempt; /* fencing token of its tasks; 0 before the first */
	jobs_record_task_t tasks[JOBS_TASKS_MAX];
	int n_tasks;
	bool cancelled;	   /* cancellation was requested */
	bool checkpointed; /* the next task starts from a checkpoint */
	base_str_t failed_workers[JOBS_FAILED_WORKERS_MAX];
	int n_failed_workers;
} jobs_record_t;

/* An order to a worker: the task that an operation applies to. */
typedef struct jobs_order {
	base_str_t job;
	int64_t attempt;
	base_str_t worker;
	int64_t incarnation;
	base_str_t family;
	bool repeatable;
	jobs_res_t share;  /* allocated to the task */
	bool checkpointed; /* the task is to start from the checkpoint */
} jobs_order_t;

typedef enum jobs_commit {
	JOBS_COMMIT_DONE,
	JOBS_COMMIT_UNKNOWN, /* outcome unknown; the core commits again */
	JOBS_COMMIT_FENCED,  /* another holder took over: stop deciding */
	JOBS_COMMIT_MAX
} jobs_commit_t;

/*
 * The operations.  All but commit return without waiting; the answers arrive
 * as reports.  Operations are idempotent.
 */
typedef struct jobs_ops {
	/* Write "n" records atomically, fenced against other holders. */
	jobs_commit_t (*commit)(void *arg, const jobs_record_t *records,
				size_t n);
	void (*start)(void *arg, const jobs_order_t *order);
	void (*checkpoint)(void *arg, const jobs_order_t *order);
	void (*throttle)(void *arg, const jobs_order_t *order);
	void (*resume)(void *arg, const jobs_order_t *order);
	void (*stop)(void *arg, const jobs_order_t *order);
} jobs_ops_t;

/* A worker as the platform lists it. */
typedef struct jobs_worker_info {
	base_str_t id;
	int64_t incarnation; /* tasks of a lower incarnation are gone */
	jobs_res_t capacity;
	bool accepts_new_tasks; /* the worker accepts new tasks; false while it
				   drains */
} jobs_worker_info_t;

typedef enum jobs_event {
	JOBS_EVENT_RUNNING,	 /* also renews the lease */
	JOBS_EVENT_ENDED,	 /* finished successfully */
	JOBS_EVENT_FAILED,	 /* started and failed */
	JOBS_EVENT_REFUSED,	 /* did not start and will not */
	JOBS_EVENT_CHECKPOINTED, /* checkpoint saved; no longer runs */
	JOBS_EVENT_THROTTLED,
	JOBS_EVENT_RESUMED,
	JOBS_EVENT_GONE, /* not running, and will not start */
	JOBS_EVENT_MAX
} jobs_event_t;

/* A worker's report on a task; it may arrive late or more than once. */
typedef struct jobs_report {
	base_str_t worker;
	int64_t incarnation;
	base_str_t job;
	int64_t attempt;
	jobs_event_t event;
	int64_t as_of; /* time of the reported state; older ones are ignored */
	jobs_res_t peak; /* highest usage of the task so far */
	int64_t run_us;	 /* run time of the task so far */
} jobs_report_t;

typedef struct jobs_options {
	const jobs_ops_t *ops;
	void *arg;	  /* passed to the operations */
	int64_t lease_us; /* lease of a task; 0 for 30 s */
} jobs_options_t;

/* Counters since the core was created, and current totals. */
typedef struct jobs_stats {
	uint64_t started;	    /* start orders sent */
	uint64_t nodes_visited;	    /* nodes of the worker index visited */
	uint64_t searches;	    /* searches of the worker index */
	uint64_t preemptions;	    /* tasks preempted */
	uint64_t drain_orders;	    /* orders to tasks on draining workers */
	uint64_t quarantine_count;  /* quarantines of workers */
	uint64_t unmatched_reports; /* reports on unknown tasks */
	size_t jobs;		    /* jobs known to the core */
	size_t tasks;		    /* tasks that may run or may yet start */
	size_t workers;		    /* workers known to the core */
	size_t quarantined_workers; /* workers in quarantine or on probation */
	size_t reserved_workers;    /* workers reserved for a job */
	size_t states[JOBS_STATE_MAX]; /* number of jobs, by state */
} jobs_stats_t;

typedef struct jobs jobs_t;

/* Create an empty core as a talloc child of "ctx". */
jobs_t *jobs_new(const void *ctx, const jobs_options_t *options);

/* Set a team's quota.  Jobs of teams without a quota wait. */
void jobs_team_set(jobs_t *jobs, base_str_t team, jobs_res_t quota);

/* Set the quota of every team to 0. */
void jobs_teams_clear(jobs_t *jobs);

/* A worker was listed: it is new, unchanged, changed or restarted. */
void jobs_worker_seen(jobs_t *jobs, int64_t now,
		      const jobs_worker_info_t *info);

/* A worker is known to be permanently off; none of its tasks runs any more. */
void jobs_worker_gone(jobs_t *jobs, int64_t now, base_str_t worker,
		      int64_t incarnation);

/* Submit a job.  It is accepted once jobs_step() has committed its record. */
bool jobs_submit(jobs_t *jobs, int64_t now, const jobs_spec_t *spec,
		 GError **err);

/*
 * Set the workers to drain for a reboot or a move, each with its current
 * incarnation.  The list replaces the previous one; unknown workers are
 * ignored.  Repeatable tasks on them are checkpointed or, if that is not
 * possible, stopped after a time.  Tasks that must not run twice get no order;
 * the drain waits for them.
 */
typedef struct jobs_drain {
	base_str_t worker;
	int64_t incarnation;
} jobs_drain_t;

void jobs_drain(jobs_t *jobs, int64_t now, const jobs_drain_t *drains,
		size_t n);

/* Number of tasks that may run on a worker or may yet start there. */
size_t jobs_worker_tasks(const jobs_t *jobs, base_str_t worker);

/*
 * Cancel a job.  A job that is not started is cancelled at once; otherwise its
 * task is stopped.  A task that finishes before the stop leaves the job done.
 */
bool jobs_cancel(jobs_t *jobs, int64_t now, base_str_t id, GError **err);

/* Queue a held job again and clear its failures. */
bool jobs_release(jobs_t *jobs, int64_t now, base_str_t id, GError **err);

/* Drop a job that has ended and has no tasks left; false if not allowed. */
bool jobs_forget(jobs_t *jobs, base_str_t id);

void jobs_report(jobs_t *jobs, int64_t now, const jobs_report_t *report);

/*
 * Decide, commit, and send.  Call it after events and at least every
 * JOBS_STEP_INTERVAL_US, because urgent jobs wait for it.  Returns false once a
 * commit was fenced by another holder; the core then makes no more decisions.
 */
#define JOBS_STEP_INTERVAL_US (100 * 1000)
bool jobs_step(jobs_t *jobs, int64_t now);

/* Restore a job from a record that a previous holder committed. */
bool jobs_restore(jobs_t *jobs, int64_t now, const jobs_record_t *record,
		  GError **err);

/* Get the current record of a job; false if the job is unknown. */
bool jobs_record(const jobs_t *jobs, base_str_t id, jobs_record_t *record);

/* Convert a record to JSON and back; "ctx" owns the strings. */
char *jobs_record_print(const void *ctx, const jobs_record_t *record);
bool jobs_record_load(const void *ctx, base_str_t json, jobs_record_t *record,
		      GError **err);

/*
 * Learned sizes and run times as JSON of at most "max" bytes, allocated from
 * "ctx".  Families with the most samples come first; the rest is left out.
 */
char *jobs_learned_print(const jobs_t *jobs, const void *ctx, size_t max);

/*
 * Load learned data.  A family that already has samples keeps its own.  After
 * an error the families before the invalid one are loaded.
 */
bool jobs_learned_load(jobs_t *jobs, base_str_t json, GError **err);

/* The size that a new job of "family" would be given. */
jobs_res_t jobs_safe_size(const jobs_t *jobs, base_str_t family,
			  jobs_res_t declared);

/* The 90th percentile of a family's run times, or 0 if unknown. */
int64_t jobs_run_time(const jobs_t *jobs, base_str_t family);

/* Explain a job's state in a sentence owned by "ctx"; NULL if unknown. */
char *jobs_explain(const jobs_t *jobs, const void *ctx, int64_t now,
		   base_str_t id);

/* Explain a worker's state in the same way. */
char *jobs_explain_worker(const jobs_t *jobs, const void *ctx, int64_t now,
			  base_str_t worker);

const char *jobs_state_name(jobs_state_t state);

void jobs_stats(const jobs_t *jobs, jobs_stats_t *stats);

/* The part of its quota that a team uses now. */
jobs_res_t jobs_team_used(const jobs_t *jobs, base_str_t team);

/*
 * Get the capacity of a worker and the amounts allocated to tasks on it.
 * Amounts reserved on the worker for a waiting job do not count as allocated.
 * Returns false if the worker is unknown.
 */
bool jobs_worker_load(const jobs_t *jobs, base_str_t worker,
		      jobs_res_t *allocated, jobs_res_t *capacity);

#endif
