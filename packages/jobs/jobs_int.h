/*
 * jobs_int - internal declarations of this package.
 */
#ifndef JOBS_INT_H
#define JOBS_INT_H

#include <inttypes.h>
#include <string.h>

#include "jobs.h"

#define JOBS_SAMPLES 32		 /* latest samples kept for each family */
#define JOBS_QUANTILE_SAMPLES 20 /* minimum samples to use a quantile */
#define JOBS_FAILED_JOBS_MAX 8	 /* latest failed jobs kept per worker */
#define JOBS_QUARANTINE_LEVELS 7 /* each level doubles the quarantine */

#define JOBS_SECOND ((int64_t)1000000) /* microseconds */
#define JOBS_LEASE_US (30 * JOBS_SECOND)
/*
 * An urgent job must start within 2.1 s.  A task that does not answer an order
 * within JOBS_ORDER_TIMEOUT_US gets the next, stricter one.  If a worker is not
 * free after JOBS_PREEMPT_TIMEOUT_US, another one is tried, without
 * checkpoints.
 */
#define JOBS_ORDER_TIMEOUT_US 700000LL
#define JOBS_PREEMPT_TIMEOUT_US 1200000LL
/* A job that waits this long for capacity tries to reserve a worker. */
#define JOBS_RESERVE_AFTER_US (300 * JOBS_SECOND)
/* A job that waits this long may return to a worker on which it failed. */
#define JOBS_RETRY_SAME_WORKER_US (30 * JOBS_SECOND)
/* A task that runs this long counts as a success of its worker. */
#define JOBS_HEALTHY_RUN_US (10 * JOBS_SECOND)
/*
 * Time limits on a draining worker.  A task that supports checkpoints has
 * JOBS_DRAIN_CHECKPOINT_US before it is stopped.  Another repeatable task is
 * stopped when it has run for the 90th percentile of its family's run times
 * or, if that is unknown, JOBS_DRAIN_DEFAULT_US after the drain began; in both
 * cases no earlier than JOBS_DRAIN_MIN_US and no later than JOBS_DRAIN_MAX_US
 * after the drain began.
 */
#define JOBS_DRAIN_CHECKPOINT_US (10 * JOBS_SECOND)
#define JOBS_DRAIN_DEFAULT_US (60 * JOBS_SECOND)
#define JOBS_DRAIN_MIN_US (10 * JOBS_SECOND)
#define JOBS_DRAIN_MAX_US (600 * JOBS_SECOND)
/*
 * Length of a worker's first quarantine; each further one lasts twice as long.
 */
#define JOBS_QUARANTINE_US (60 * JOBS_SECOND)
/* Maximum number of jobs placed in one call of jobs_step(). */
#define JOBS_PLACEMENTS_MAX 512
/*
 * For each urgency level, a call of jobs_step() stops placing jobs of that
 * level after it has found this many teams without a placement, and it retries
 * at most as many parked teams.  A team is parked at a level after none of its
 * jobs of that level that were tried could be placed.
 */
#define JOBS_TEAM_LOOKAHEAD 16
#define JOBS_JOB_LOOKAHEAD 4 /* jobs of a team tried each time */
/* Maximum index nodes that the search for a non-urgent job visits. */
#define JOBS_VISITS_MAX 2048
#define JOBS_PREEMPT_CANDIDATES 4 /* workers compared for preemption */

/* The amounts that the index keeps for each worker. */
typedef enum jobs_avail {
	JOBS_AVAIL_FREE,	/* not allocated */
	JOBS_AVAIL_PREEMPTIBLE, /* free, or allocated but preemptible */
	JOBS_AVAIL_MAX
} jobs_avail_t;

typedef enum jobs_health {
	JOBS_HEALTHY,
	JOBS_QUARANTINED, /* gets no tasks until quarantine_end_us */
	JOBS_PROBATION,	  /* gets one probe task, which decides */
	JOBS_HEALTH_MAX
} jobs_health_t;

typedef enum jobs_order_kind {
	JOBS_ORDER_NONE,
	JOBS_ORDER_START,
	JOBS_ORDER_CHECKPOINT,
	JOBS_ORDER_THROTTLE,
	JOBS_ORDER_RESUME,
	JOBS_ORDER_STOP,
	JOBS_ORDER_MAX
} jobs_order_kind_t;

typedef enum jobs_task_state {
	JOBS_TASK_UNSENT,   /* its start order is not sent yet */
	JOBS_TASK_STARTING, /* its start order was sent */
	JOBS_TASK_RUNNING,
	JOBS_TASK_LAPSED, /* its lease lapsed; it may still run */
	JOBS_TASK_STATE_MAX
} jobs_task_state_t;

typedef struct jobs_job jobs_job_t;
typedef struct jobs_task jobs_task_t;
typedef struct jobs_worker jobs_worker_t;
typedef struct jobs_tree jobs_tree_t;

typedef struct jobs_family {
	const char *name;
	uint32_t n; /* samples seen, including overwritten ones */
	int64_t peak[JOBS_KIND_MAX][JOBS_SAMPLES];
	int64_t run_us[JOBS_SAMPLES];
	jobs_res_t running;	  /* highest usage that running tasks report */
	jobs_res_t peak_quantile; /* high quantile or maximum of the peaks */
	jobs_res_t padded_size;	  /* peak_quantile plus a margin */
	int64_t run_us_q90;
	double runs, fails; /* all runs and failed ones; halved as they grow */
} jobs_family_t;

typedef struct jobs_team {
	const char *name;
	jobs_res_t quota, used;
	double share;			/* largest used / quota of all kinds */
	GQueue queue[JOBS_URGENCY_MAX]; /* queued jobs */
	int heap_index[JOBS_URGENCY_MAX]; /* in jobs_heap_t, from 1; 0: none */
	GList parked_link[JOBS_URGENCY_MAX];
	/* No job tried at this level was placed. */
	bool parked[JOBS_URGENCY_MAX];
} jobs_team_t;

/* Min-heap by share of the teams with queued jobs of one urgency. */
typedef struct jobs_heap {
	jobs_team_t **v; /* element 0 is unused */
	size_t n, alloc;
	int urgency;
} jobs_heap_t;

struct jobs_job {
	jobs_spec_t spec;
	jobs_team_t *team;
	jobs_family_t *family;
	jobs_state_t state;
	jobs_reason_t reason;
	int64_t attempt;
	jobs_task_t *task; /* the current attempt */
	GQueue tasks;	   /* all attempts that may still run */
	const char *failed_workers[JOBS_FAILED_WORKERS_MAX]; /* distinct ids */
	int n_failed_workers;
	jobs_res_t peak; /* highest usage of any attempt */
	int64_t queued_at_us;
	GList queue_link; /* in the team's queue */
	bool queued;
	bool dirty; /* its record must be committed */
	GList dirty_link;
	bool cancelled, checkpointed;
	/* A worker reserved for the job, with or without preemption. */
	jobs_worker_t *reserved_worker;
	jobs_res_t reserved_share;
	int64_t reserved_at_us;
	bool reservation_preempts;
	GList reservation_link;
	/*
	 * Preemption for the job took too long on one worker: preempt on
	 * another worker, without checkpoints.
	 */
	bool skip_checkpoint;
	/* "serial" of the worker on which preemption took too long. */
	uint64_t avoid_serial;
	int failures; /* attempts that failed, were refused or lapsed */
	char id[];
};

struct jobs_task {
	jobs_job_t *job;
	jobs_worker_t *worker;
	int64_t attempt;
	jobs_task_state_t state;
	jobs_res_t share, peak;
	jobs_order_kind_t order; /* order that is not answered yet */
	int64_t ordered_at_us;
	bool preempted; /* ordered to free resources for another job */
	bool throttled;
	jobs_res_t full; /* its share without throttling */
	/* "as_of" is the time of the latest report. */
	int64_t started_at_us, as_of, lease_end_us;
	bool is_probe;	      /* it tests a worker on probation */
	bool counted_healthy; /* counted as a success of its worker */
	GList worker_link, job_link, lease_link, order_link, unsent_link;
	bool has_lease, has_order;
	jobs_order_kind_t unsent; /* order to send after the next commit */
};

struct jobs_worker {
	const char *id;
	uint64_t serial; /* unique, never reused */
	int64_t incarnation;
	jobs_res_t capacity;
	bool accepts_tasks, present;
	jobs_res_t allocated;	/* shares of its tasks and its reservation */
	jobs_res_t preemptible; /* the preemptible part of "allocated" */
	GQueue tasks;
	jobs_job_t *reserved_for;
	size_t leaf; /* its leaf in the index of workers */
	jobs_health_t health;
	double evidence;      /* CUSUM of being broken, see jobs_health.c */
	int quarantine_level; /* consecutive quarantines, up to the top level */
	int64_t quarantine_end_us;
	GQueue *health_queue; /* queue that health_link is in, or NULL */
	GList health_link;
	jobs_job_t *failed_jobs[JOBS_FAILED_JOBS_MAX];
	int n_failed_jobs;
	bool overcommitted; /* the shares of its tasks exceed its capacity */
	GList overcommitted_link;
	/* Whether it drains, and whether the latest list of drains has it. */
	bool draining, drain_requested;
	int64_t drain_start_us;
	GList drain_link;
	bool has_throttled; /* on the list of throttled workers */
	GList throttled_link;
};

struct jobs {
	jobs_options_t opt;
	GHashTable *jobs, *workers, *teams, *families; /* keyed by name */
	jobs_tree_t *tree;
	jobs_heap_t heap[JOBS_URGENCY_MAX];
	GQueue parked[JOBS_URGENCY_MAX]; /* teams, the longest parked first */
	GQueue dirty;			 /* jobs to be committed */
	GQueue leases;			 /* tasks, earliest expiry first */
	GQueue orders;	     /* tasks with unanswered orders, oldest first */
	GQueue unsent;	     /* tasks with an order to be sent */
	GQueue reservations; /* jobs with a reserved worker */
	/* Workers by quarantine level, earliest end first. */
	GQueue quarantined[JOBS_QUARANTINE_LEVELS];
	GQueue probation;     /* workers */
	GQueue overcommitted; /* workers */
	GQueue throttled;     /* workers */
	GQueue draining;      /* workers */
	jobs_res_t largest;   /* capacity of any worker seen, per kind */
	uint64_t serial;      /* serial of the newest worker */
	bool fenced;	      /* another holder took over */
	jobs_stats_t stats;
};

/* jobs_res.c */
bool jobs_fits(const jobs_res_t *need, const jobs_res_t *avail);
void jobs_add(jobs_res_t *to, const jobs_res_t *res);
void jobs_sub(jobs_res_t *from, const jobs_res_t *res);
jobs_res_t jobs_difference(const jobs_res_t *a, const jobs_res_t *b);
bool jobs_raise(jobs_res_t *to, const jobs_res_t *least);
bool jobs_is_negative(const jobs_res_t *res);

/* jobs_tree.c: index of the workers by available capacity. */
jobs_tree_t *jobs_tree_new(const void *ctx);
size_t jobs_tree_add(jobs_tree_t *tree, jobs_worker_t *worker);
void jobs_tree_remove(jobs_tree_t *tree, size_t leaf);
void jobs_tree_set(jobs_tree_t *tree, size_t leaf,
		   const jobs_res_t avail[JOBS_AVAIL_MAX]);
/*
 * Find the first worker at or after leaf "*from" with at least "need"
 * available, or NULL, and set "*from" to the next leaf.  Each node visited
 * decrements "*visits"; the search ends at 0.
 */
jobs_worker_t *jobs_tree_find(const jobs_tree_t *tree, jobs_avail_t avail,
			      const jobs_res_t *need, size_t *from,
			      int64_t *visits);
/*
 * The largest available amount of each kind on any worker; the amounts of two
 * kinds may be those of different workers.
 */
jobs_res_t jobs_tree_max(const jobs_tree_t *tree, jobs_avail_t avail);

/* jobs_learn.c */
jobs_family_t *jobs_family_get(jobs_t *jobs, base_str_t name);
void jobs_family_add_sample(jobs_family_t *family, const jobs_res_t *peak,
			    int64_t run_us);
void jobs_family_raise_running(jobs_family_t *family, const jobs_res_t *peak);
/* Recompute everything derived from the samples. */
void jobs_family_relearn(jobs_family_t *family);
jobs_res_t jobs_family_size(const jobs_family_t *family,
			    const jobs_res_t *declared);
/* Probability that a job of the family fails on a healthy worker. */
double jobs_family_fail_rate(const jobs_family_t *family);
/* The amounts to allocate for a job. */
jobs_res_t jobs_need(const jobs_t *jobs, const jobs_job_t *job);

/* jobs_queue.c */
void jobs_enqueue(jobs_t *jobs, int64_t now, jobs_job_t *job, bool first);
void jobs_dequeue(jobs_t *jobs, jobs_job_t *job);
void jobs_team_changed(jobs_t *jobs, jobs_team_t *team);
void jobs_team_park(jobs_t *jobs, jobs_team_t *team, int urgency);
void jobs_team_unpark(jobs_t *jobs, int urgency, size_t max);
void jobs_team_reinsert(jobs_t *jobs, jobs_team_t *team, int urgency);
jobs_team_t *jobs_heap_pop(jobs_heap_t *heap);
void jobs_heap_fix(jobs_heap_t *heap, jobs_team_t *team);
jobs_team_t *jobs_team_get(jobs_t *jobs, base_str_t name);

/* jobs_core.c */
jobs_job_t *jobs_find(const jobs_t *jobs, base_str_t id);
/* Look up "id", which need not be NUL-terminated. */
void *jobs_lookup(GHashTable *by_id, base_str_t id);
void jobs_mark_dirty(jobs_t *jobs, jobs_job_t *job);
void jobs_set_state(jobs_t *jobs, jobs_job_t *job, jobs_state_t state,
		    jobs_reason_t reason);
bool jobs_has_ended(const jobs_job_t *job);
jobs_job_t *jobs_job_new(jobs_t *jobs, const jobs_spec_t *spec, GError **err);

void jobs_requeue(jobs_t *jobs, int64_t now, jobs_job_t *job, bool first);
/*
 * Handle the end of an attempt that did not finish the job: cancel the job,
 * hold it or queue it again.
 */
void jobs_retry(jobs_t *jobs, int64_t now, jobs_job_t *job);

/* jobs_task.c */
jobs_task_t *jobs_task_new(jobs_t *jobs, jobs_job_t *job, jobs_worker_t *worker,
			   int64_t attempt, const jobs_res_t *share);
void jobs_task_free(jobs_t *jobs, jobs_task_t *task);
void jobs_task_queue_order(jobs_t *jobs, jobs_task_t *task,
			   jobs_order_kind_t order);
void jobs_task_order(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     jobs_order_kind_t order);
void jobs_task_answered(jobs_t *jobs, jobs_task_t *task);
void jobs_task_renew_lease(jobs_t *jobs, int64_t now, jobs_task_t *task);
void jobs_task_set_share(jobs_t *jobs, jobs_task_t *task,
			 const jobs_res_t *share);
/* Mark the task as throttled, to be resumed when capacity is free. */
void jobs_task_set_throttled(jobs_t *jobs, jobs_task_t *task);
/* The task is known not to run, and will not start. */
void jobs_task_gone(jobs_t *jobs, int64_t now, jobs_task_t *task);
void jobs_expire_leases(jobs_t *jobs, int64_t now);

/* jobs_worker.c */
jobs_worker_t *jobs_worker_find(const jobs_t *jobs, base_str_t id);
jobs_worker_t *jobs_worker_get(jobs_t *jobs, base_str_t id,
			       int64_t incarnation);
/* Whether the worker is listed, accepts tasks and is not draining. */
bool jobs_worker_accepts_tasks(const jobs_worker_t *worker);
jobs_res_t jobs_worker_free(const jobs_worker_t *worker);
/* Update the index after a change to the worker. */
void jobs_worker_changed(jobs_t *jobs, jobs_worker_t *worker);
void jobs_worker_drop(jobs_t *jobs, jobs_worker_t *worker);
/* All tasks of the worker are known to be gone. */
void jobs_worker_drop_tasks(jobs_t *jobs, int64_t now, jobs_worker_t *worker);

/* jobs_health.c */
void jobs_health_failure(jobs_t *jobs, int64_t now, jobs_task_t *task);
/* The task finished, or ran for JOBS_HEALTHY_RUN_US. */
void jobs_health_success(jobs_t *jobs, jobs_task_t *task);
void jobs_health_step(jobs_t *jobs, int64_t now);
/* A restart may have fixed the worker: put it on probation at once. */
void jobs_health_restarted(jobs_t *jobs, jobs_worker_t *worker);
void jobs_health_forget_worker(jobs_t *jobs, jobs_worker_t *worker);
/* Remove all references to the job from the workers' failures. */
void jobs_health_forget_job(jobs_t *jobs, jobs_job_t *job);
jobs_worker_t *jobs_probe_worker_for(jobs_t *jobs, const jobs_job_t *job,
				     const jobs_res_t *need);

/* jobs_room.c */
/* The amounts that preempting a task frees: its share, only cores, or none. */
jobs_res_t jobs_preemptible_share(const jobs_task_t *task);
bool jobs_reserve(jobs_t *jobs, int64_t now, jobs_job_t *job,
		  const jobs_res_t *need);
void jobs_unreserve(jobs_t *jobs, jobs_job_t *job);
void jobs_preempt_step(jobs_t *jobs, int64_t now);

/* Amounts that a worker still lacks once all pending orders are carried out. */
jobs_res_t jobs_deficit(const jobs_worker_t *worker);

/* jobs_drain.c */
void jobs_drain_step(jobs_t *jobs, int64_t now);
void jobs_drain_end(jobs_t *jobs, jobs_worker_t *worker);

/* jobs_place.c */
void jobs_place(jobs_t *jobs, int64_t now);
void jobs_start_on(jobs_t *jobs, int64_t now, jobs_job_t *job,
		   jobs_worker_t *worker, const jobs_res_t *need);
bool jobs_failed_on(const jobs_job_t *job, const jobs_worker_t *worker);

/* jobs_record.c */
void jobs_record_of(const jobs_job_t *job, jobs_record_t *record);

#endif
