/*
 * jobs - decides where jobs run: queues by team with quotas and urgency,
 * placement on workers, room for urgent jobs, jobs and workers that fail.
 *
 * A pure core.  Times are microseconds on the caller's clock and handed in as
 * "now".  Events change the state; jobs_step() decides, has what must last
 * committed, and only then has tasks started and stopped, through the table
 * of operations.  Whoever holds the duty drives one core; its successor
 * restores another from the committed records.
 *
 * A task is one attempt of a job on one worker, under a lease that its
 * reports renew.  A lapsed lease does not prove that the task stopped: its
 * share of the worker and of the quota stays taken until the worker says so
 * or is known to have restarted, and a job that is not repeatable is not
 * started again.
 *
 * Strings of up to JOBS_ID_MAX bytes.  Not thread-safe.
 */
#ifndef JOBS_H
#define JOBS_H

#include "base.h"

#define JOBS_ID_MAX 64
#define JOBS_TRIES_MAX 3     /* distinct workers before a job is held */
#define JOBS_ATTEMPTS_MAX 12 /* attempts before a job is held */
#define JOBS_TASKS_MAX 4     /* tasks of one job that may still run */
#define JOBS_URGENCY_MAX 4   /* levels; 0 is urgent, room is made for it */
#define JOBS_THROTTLE_PART 8 /* a throttled task keeps one in so many cores */

#define JOBS_ERROR jobs_error_quark()
GQuark jobs_error_quark(void);

typedef enum jobs_error {
	JOBS_ERR_SPEC,	  /* a member is out of range */
	JOBS_ERR_EXISTS,  /* the id is taken */
	JOBS_ERR_UNKNOWN, /* no such job */
	JOBS_ERR_RECORD,  /* a record cannot be read */
	JOBS_ERR_MAX
} jobs_error_t;

typedef enum jobs_kind {
	JOBS_CORES,	   /* thousandths of a core */
	JOBS_MEMORY,	   /* MB */
	JOBS_ACCELERATORS, /* whole ones; taken as declared */
	JOBS_KIND_MAX
} jobs_kind_t;

/* An amount of each kind. */
typedef struct jobs_res {
	int64_t v[JOBS_KIND_MAX];
} jobs_res_t;

/* What a team asks for. */
typedef struct jobs_spec {
	base_str_t id;
	base_str_t team;
	base_str_t family; /* jobs that resemble each other, for learning */
	int urgency;	   /* 0 to JOBS_URGENCY_MAX - 1 */
	bool repeatable;
	bool checkpoints; /* can be checkpointed */
	bool throttles;	  /* can be throttled */
	jobs_res_t declared;
} jobs_spec_t;

typedef enum jobs_state {
	JOBS_QUEUED,
	JOBS_STARTING, /* committed; the worker has not answered */
	JOBS_RUNNING,
	JOBS_DOUBT,  /* not repeatable, and its lease has lapsed */
	JOBS_HELD,   /* fails wherever it runs */
	JOBS_DONE,   /* from here on it has ended */
	JOBS_FAILED, /* not repeatable, and it failed */
	JOBS_LOST,   /* not repeatable; it may or may not have run whole */
	JOBS_CANCELLED,
	JOBS_STATE_MAX
} jobs_state_t;

/* Why a job is where it is. */
typedef enum jobs_why {
	JOBS_WHY_TURN,	   /* jobs of teams with a smaller share go first */
	JOBS_WHY_QUOTA,	   /* the team's quota is taken */
	JOBS_WHY_OVER,	   /* larger than the team's whole quota */
	JOBS_WHY_ROOM,	   /* no worker has room */
	JOBS_WHY_LARGE,	   /* larger than every worker */
	JOBS_WHY_CLAIM,	   /* a worker is being cleared for it */
	JOBS_WHY_STARTING, /* its worker has been told */
	JOBS_WHY_RUNS,
	JOBS_WHY_LAPSED, /* its worker is silent, it may still run */
	JOBS_WHY_MANY,	 /* so many of its attempts may still run */
	JOBS_WHY_POISON, /* failed on distinct workers that run others */
	JOBS_WHY_TRIES,	 /* too many attempts without an end */
	JOBS_WHY_ENDED,	 /* it ended well */
	JOBS_WHY_FAILED, /* it failed and must not be repeated */
	JOBS_WHY_SILENT, /* its worker went away, it must not be repeated */
	JOBS_WHY_CANCEL, /* cancelled, or about to be */
	JOBS_WHY_MAX
} jobs_why_t;

/* A task that may run. */
typedef struct jobs_record_task {
	int64_t attempt;
	base_str_t worker;
	int64_t incarnation;
	jobs_res_t share;
	jobs_res_t full; /* its share when it is not throttled */
} jobs_record_task_t;

/* What must last of a job.  Strings belong to the core. */
typedef struct jobs_record {
	jobs_spec_t spec;
	jobs_state_t state;
	jobs_why_t why;
	int64_t attempt; /* fencing token of its tasks; 0 before the first */
	jobs_record_task_t tasks[JOBS_TASKS_MAX];
	int n_tasks;
	bool cancelled;	   /* asked for */
	bool checkpointed; /* begins from a checkpoint */
	base_str_t tried[JOBS_TRIES_MAX];
	int n_tried;
} jobs_record_t;

/* What an operation is about. */
typedef struct jobs_order {
	base_str_t job;
	int64_t attempt;
	base_str_t worker;
	int64_t incarnation;
	base_str_t family;
	bool repeatable;
	jobs_res_t share;  /* the room kept for it */
	bool checkpointed; /* start from the checkpoint */
} jobs_order_t;

typedef enum jobs_commit {
	JOBS_COMMIT_DONE,
	JOBS_COMMIT_AGAIN, /* not known; the same records come again */
	JOBS_COMMIT_LOST,  /* somebody else holds the duty: stop deciding */
	JOBS_COMMIT_MAX
} jobs_commit_t;

/*
 * The operations.  All but commit are sent without waiting; their answers
 * come back as reports.  Sending one twice has the effect of one.
 */
typedef struct jobs_ops {
	/* Write "n" records, all or none, fenced against another holder. */
	jobs_commit_t (*commit)(void *arg, const jobs_record_t *records,
				size_t n);
	void (*start)(void *arg, const jobs_order_t *order);
	void (*checkpoint)(void *arg, const jobs_order_t *order);
	void (*throttle)(void *arg, const jobs_order_t *order);
	void (*resume)(void *arg, const jobs_order_t *order);
	void (*stop)(void *arg, const jobs_order_t *order);
} jobs_ops_t;

/* One worker as the platform describes it. */
typedef struct jobs_worker_info {
	base_str_t id;
	int64_t incarnation; /* a higher one proves that its tasks are gone */
	jobs_res_t capacity;
	bool takes; /* new tasks: false while it drains */
} jobs_worker_info_t;

typedef enum jobs_event {
	JOBS_EVENT_RUNNING,	 /* also renews the lease */
	JOBS_EVENT_ENDED,	 /* well */
	JOBS_EVENT_FAILED,	 /* it began and failed */
	JOBS_EVENT_REFUSED,	 /* it never began and will not */
	JOBS_EVENT_CHECKPOINTED, /* saved, and no longer runs */
	JOBS_EVENT_THROTTLED,
	JOBS_EVENT_RESUMED,
	JOBS_EVENT_GONE, /* stopped, or not there, and will not begin */
	JOBS_EVENT_MAX
} jobs_event_t;

/* What a worker says of a task, late. */
typedef struct jobs_report {
	base_str_t worker;
	int64_t incarnation;
	base_str_t job;
	int64_t attempt;
	jobs_event_t event;
	int64_t as_of;	 /* when it was so; older ones are ignored */
	jobs_res_t peak; /* highest use so far */
	int64_t run_us;	 /* time it has run */
} jobs_report_t;

typedef struct jobs_options {
	const jobs_ops_t *ops;
	void *arg;	  /* of the operations */
	int64_t lease_us; /* 0 for 30 s */
} jobs_options_t;

/* Counts since the core was made, and as of now. */
typedef struct jobs_stats {
	uint64_t started;	       /* starts sent */
	uint64_t visited;	       /* nodes of the index looked at */
	uint64_t searches;	       /* in the index */
	uint64_t yields;	       /* tasks told to make room */
	uint64_t drained;	       /* tasks told to leave a worker */
	uint64_t taken_out;	       /* workers, for failing */
	uint64_t strays;	       /* reports of tasks that are not known */
	size_t jobs;		       /* known */
	size_t tasks;		       /* that may run */
	size_t workers;		       /* known */
	size_t out;		       /* workers taken out, or on trial */
	size_t claims;		       /* workers being cleared */
	size_t states[JOBS_STATE_MAX]; /* jobs by state */
} jobs_stats_t;

typedef struct jobs jobs_t;

/* An empty core below "ctx". */
jobs_t *jobs_new(const void *ctx, const jobs_options_t *options);

/* Set a team's quota; jobs of teams without one wait. */
void jobs_team_set(jobs_t *jobs, base_str_t team, jobs_res_t quota);

/* Take every team's quota away. */
void jobs_teams_clear(jobs_t *jobs);

/* A worker is there, has changed or has restarted. */
void jobs_worker_seen(jobs_t *jobs, int64_t now,
		      const jobs_worker_info_t *info);

/* A worker is known to be switched off for good, with all its tasks. */
void jobs_worker_gone(jobs_t *jobs, int64_t now, base_str_t worker,
		      int64_t incarnation);

/* Take a job.  It is accepted once the next step has committed it. */
bool jobs_submit(jobs_t *jobs, int64_t now, const jobs_spec_t *spec,
		 GError **err);

/*
 * The workers that are to be emptied, for a reboot or a move, in the life that
 * each has by now; they take the place of those named before.  Tasks there are
 * checkpointed or, where that cannot be, stopped after a while; those that must
 * not run twice are waited for.  Workers that are not known are left out.
 */
typedef struct jobs_drain {
	base_str_t worker;
	int64_t incarnation;
} jobs_drain_t;

void jobs_drain(jobs_t *jobs, int64_t now, const jobs_drain_t *drains,
		size_t n);

/* Tasks that may run on a worker, or may yet begin there. */
size_t jobs_worker_tasks(const jobs_t *jobs, base_str_t worker);

/*
 * Cancel a job: at once if it is not started, else its task is stopped; a
 * task that ends well first is done.
 */
bool jobs_cancel(jobs_t *jobs, int64_t now, base_str_t id, GError **err);

/* Queue a held job again, with its tries forgotten. */
bool jobs_release(jobs_t *jobs, int64_t now, base_str_t id, GError **err);

/* Forget a job that has ended and has no task left; false if it may not be. */
bool jobs_forget(jobs_t *jobs, base_str_t id);

void jobs_report(jobs_t *jobs, int64_t now, const jobs_report_t *report);

/*
 * Decide, commit, and send.  To be called after events and, because urgent
 * work waits on it, at least every JOBS_STEP_US.  False once another holder
 * was seen: the core then decides nothing any more.
 */
#define JOBS_STEP_US (100 * 1000)
bool jobs_step(jobs_t *jobs, int64_t now);

/* Take over a job from a predecessor's record. */
bool jobs_restore(jobs_t *jobs, int64_t now, const jobs_record_t *record,
		  GError **err);

/* The record of a job as it is now; false if it is not known. */
bool jobs_record(const jobs_t *jobs, base_str_t id, jobs_record_t *record);

/* A record as JSON text, and back; strings go below "ctx". */
char *jobs_record_print(const void *ctx, const jobs_record_t *record);
bool jobs_record_load(const void *ctx, base_str_t json, jobs_record_t *record,
		      GError **err);

/*
 * Sizes and run times as learned, as JSON text of at most "max" bytes below
 * "ctx": the families with the most samples.
 */
char *jobs_learned_print(const jobs_t *jobs, const void *ctx, size_t max);

/*
 * Take them over from a predecessor.  A family that has samples already keeps
 * its own.  On an error those before the fault were taken.
 */
bool jobs_learned_load(jobs_t *jobs, base_str_t json, GError **err);

/* The room that a job of "family" would get now. */
jobs_res_t jobs_safe_size(const jobs_t *jobs, base_str_t family,
			  jobs_res_t declared);

/* The run time that nine in ten of a family stay under, or 0. */
int64_t jobs_run_time(const jobs_t *jobs, base_str_t family);

/* Why a job is where it is, in a sentence below "ctx"; NULL if not known. */
char *jobs_explain(const jobs_t *jobs, const void *ctx, int64_t now,
		   base_str_t id);

/* The same for a worker. */
char *jobs_explain_worker(const jobs_t *jobs, const void *ctx, int64_t now,
			  base_str_t worker);

const char *jobs_state_name(jobs_state_t state);

void jobs_stats(const jobs_t *jobs, jobs_stats_t *stats);

/* What a team holds now. */
jobs_res_t jobs_team_used(const jobs_t *jobs, base_str_t team);

/* What is taken of a worker, and what it has; false if it is not known. */
bool jobs_worker_load(const jobs_t *jobs, base_str_t worker, jobs_res_t *taken,
		      jobs_res_t *capacity);

#endif
