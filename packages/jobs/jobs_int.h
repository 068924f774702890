/*
 * jobs_int - what the files of this package share.
 */
#ifndef JOBS_INT_H
#define JOBS_INT_H

#include <inttypes.h>
#include <string.h>

#include "jobs.h"

#define JOBS_SAMPLES 32	  /* of a family that are kept */
#define JOBS_SURE 20	  /* samples whose quantile is trusted */
#define JOBS_BLAMED_MAX 8 /* last failures of a worker that are kept */
#define JOBS_LEVELS 7	  /* of waiting before a worker's trial */

#define JOBS_SECOND ((int64_t)1000000) /* microseconds */
#define JOBS_LEASE_US (30 * JOBS_SECOND)
/*
 * An urgent start has 2.1 s: a task has this long to answer an order before
 * the next, harder one, and a worker this long in all to be cleared before
 * another one is, where tasks are stopped at once.
 */
#define JOBS_SOFT_US 700000LL
#define JOBS_CLEAR_US 1200000LL
/* A job that found no room for so long has the next worker kept for it. */
#define JOBS_PATIENCE_US (300 * JOBS_SECOND)
/* A job that found no other worker for so long may go where it failed. */
#define JOBS_AGAIN_US (30 * JOBS_SECOND)
/* A task that runs for so long speaks for its worker. */
#define JOBS_SURVIVED_US (10 * JOBS_SECOND)
/*
 * On a worker that drains a task has so long to answer a checkpoint; one that
 * has none is stopped once its family's run time is over, or a time that
 * stands for it, but neither sooner nor later after the drain began than this.
 */
#define JOBS_DRAIN_CHECKPOINT_US (10 * JOBS_SECOND)
#define JOBS_DRAIN_UNKNOWN_US (60 * JOBS_SECOND)
#define JOBS_DRAIN_LEAST_US (10 * JOBS_SECOND)
#define JOBS_DRAIN_MOST_US (600 * JOBS_SECOND)
#define JOBS_OUT_US (60 * JOBS_SECOND) /* first wait of a worker taken out */
#define JOBS_PLACES_MAX 512	       /* placements of one step */
#define JOBS_LOOKAHEAD 16    /* teams without luck, in one step and urgency */
#define JOBS_HEADS 4	     /* jobs of a team that are tried */
#define JOBS_VISITS_MAX 2048 /* nodes of one search that is not urgent */
#define JOBS_CANDIDATES 4    /* workers weighed for clearing */

/* What the index knows of each worker. */
typedef enum jobs_room {
	JOBS_ROOM_FREE,	 /* now */
	JOBS_ROOM_YIELD, /* with what can be made to yield */
	JOBS_ROOM_MAX
} jobs_room_t;

typedef enum jobs_health {
	JOBS_FIT,
	JOBS_OUT,   /* taken out until a time */
	JOBS_TRIAL, /* may have one task */
	JOBS_HEALTH_MAX
} jobs_health_t;

typedef enum jobs_effect {
	JOBS_EFFECT_NONE,
	JOBS_EFFECT_START,
	JOBS_EFFECT_CHECKPOINT,
	JOBS_EFFECT_THROTTLE,
	JOBS_EFFECT_RESUME,
	JOBS_EFFECT_STOP,
	JOBS_EFFECT_MAX
} jobs_effect_t;

typedef enum jobs_task_state {
	JOBS_TASK_NEW,	    /* not sent */
	JOBS_TASK_STARTING, /* sent */
	JOBS_TASK_RUNNING,
	JOBS_TASK_DOUBT, /* its lease has lapsed */
	JOBS_TASK_STATE_MAX
} jobs_task_state_t;

typedef struct jobs_job jobs_job_t;
typedef struct jobs_task jobs_task_t;
typedef struct jobs_worker jobs_worker_t;
typedef struct jobs_tree jobs_tree_t;

typedef struct jobs_family {
	const char *name;
	uint32_t n; /* samples ever */
	int64_t peak[JOBS_KIND_MAX][JOBS_SAMPLES];
	int64_t run_us[JOBS_SAMPLES];
	jobs_res_t running; /* highest use of tasks that have not ended */
	jobs_res_t most;    /* of the samples, near the top */
	jobs_res_t safe;    /* that with its margin */
	int64_t run_us_q90;
	double runs, fails;
} jobs_family_t;

typedef struct jobs_team {
	const char *name;
	jobs_res_t quota, used;
	double share;			   /* of the quota, the largest kind */
	GQueue queue[JOBS_URGENCY_MAX];	   /* of jobs */
	int heap_at[JOBS_URGENCY_MAX];	   /* from 1; 0: not in the heap */
	GList park_link[JOBS_URGENCY_MAX]; /* teams that had no luck */
	bool parked[JOBS_URGENCY_MAX];
} jobs_team_t;

/* Teams with queued jobs of one urgency, the smallest share first. */
typedef struct jobs_heap {
	jobs_team_t **v; /* from 1 */
	size_t n, alloc;
	int urgency;
} jobs_heap_t;

struct jobs_job {
	jobs_spec_t spec;
	jobs_team_t *team;
	jobs_family_t *family;
	jobs_state_t state;
	jobs_why_t why;
	int64_t attempt;
	jobs_task_t *task;		   /* of the current attempt */
	GQueue tasks;			   /* all that may still run */
	const char *tried[JOBS_TRIES_MAX]; /* workers it failed on */
	int n_tried;
	jobs_res_t peak; /* highest use seen of it */
	int64_t queued_at;
	GList queue_link; /* in the team's queue */
	bool queued;
	bool dirty;
	GList dirty_link;
	bool cancelled, checkpointed;
	/* A worker that is being cleared, or kept, for it. */
	jobs_worker_t *claim;
	jobs_res_t claim_share;
	int64_t claim_at;
	bool claim_clears;
	GList claim_link;
	bool hasty;	/* a worker was not cleared in time ... */
	uint64_t avoid; /* ... that one, by serial */
	int failures;	/* attempts that failed, were refused or lapsed */
	char id[];
};

struct jobs_task {
	jobs_job_t *job;
	jobs_worker_t *worker;
	int64_t attempt;
	jobs_task_state_t state;
	jobs_res_t share, peak;
	jobs_effect_t order; /* asked for and not answered */
	int64_t order_at;
	bool yields; /* it was told to make room */
	bool throttled;
	jobs_res_t full; /* its share before it was throttled */
	int64_t started_at, as_of, lease_at;
	bool trial;
	bool praised; /* it has spoken for its worker */
	GList worker_link, job_link, lease_link, order_link, effect_link;
	bool leased, ordered;
	jobs_effect_t effect; /* to be sent after the commit */
};

struct jobs_worker {
	const char *id;
	uint64_t serial; /* never used again */
	int64_t incarnation;
	jobs_res_t capacity;
	bool takes, present;
	jobs_res_t taken; /* shares of its tasks, and the claim */
	jobs_res_t yield; /* of that, what can be made to yield */
	GQueue tasks;
	jobs_job_t *claim;
	size_t leaf;
	jobs_health_t health;
	double evidence; /* that it fails everything, CUSUM */
	int level;	 /* times taken out in a row */
	int64_t out_until;
	GQueue *health_queue; /* out or on trial, and waiting there */
	GList health_link;
	jobs_job_t *blamed[JOBS_BLAMED_MAX];
	int n_blamed;
	bool over; /* more taken than it has */
	GList over_link;
	bool draining, named; /* to be emptied; was named so again */
	int64_t drain_at;     /* when that began */
	GList drain_link;
	bool throttling; /* has throttled tasks */
	GList throttled_link;
};

struct jobs {
	jobs_options_t opt;
	GHashTable *jobs, *workers, *teams, *families; /* by name */
	jobs_tree_t *tree;
	jobs_heap_t heap[JOBS_URGENCY_MAX];
	GQueue parked[JOBS_URGENCY_MAX]; /* teams, the longest first */
	GQueue dirty;			 /* jobs to commit */
	GQueue leases;			 /* tasks, next to lapse first */
	GQueue orders;			 /* tasks, the oldest order first */
	GQueue effects;			 /* tasks with something to send */
	GQueue claims;			 /* jobs */
	GQueue out[JOBS_LEVELS];	 /* workers, next to try first */
	GQueue trial;			 /* workers */
	GQueue over;			 /* workers */
	GQueue throttled;		 /* workers */
	GQueue draining;		 /* workers */
	jobs_res_t largest; /* of each kind, of any worker yet seen */
	uint64_t serial;    /* of the last worker */
	bool fenced;
	jobs_stats_t stats;
};

/* jobs_res.c */
bool jobs_fits(const jobs_res_t *need, const jobs_res_t *room);
void jobs_add(jobs_res_t *to, const jobs_res_t *res);
void jobs_sub(jobs_res_t *from, const jobs_res_t *res);
jobs_res_t jobs_less(const jobs_res_t *a, const jobs_res_t *b);
bool jobs_raise(jobs_res_t *to, const jobs_res_t *least);
bool jobs_negative(const jobs_res_t *res);

/* jobs_tree.c: workers by room. */
jobs_tree_t *jobs_tree_new(const void *ctx);
size_t jobs_tree_add(jobs_tree_t *tree, jobs_worker_t *worker);
void jobs_tree_remove(jobs_tree_t *tree, size_t leaf);
void jobs_tree_set(jobs_tree_t *tree, size_t leaf,
		   const jobs_res_t room[JOBS_ROOM_MAX]);
/*
 * The first worker from leaf "*from" on with the room, or NULL; "*from"
 * becomes the leaf after it.  "*visits" is lowered by each node looked at,
 * and the search ends at 0.
 */
jobs_worker_t *jobs_tree_find(const jobs_tree_t *tree, jobs_room_t room,
			      const jobs_res_t *need, size_t *from,
			      int64_t *visits);
/* The largest room of each kind, each perhaps on another worker. */
jobs_res_t jobs_tree_most(const jobs_tree_t *tree, jobs_room_t room);

/* jobs_learn.c */
jobs_family_t *jobs_family_get(jobs_t *jobs, base_str_t name);
void jobs_family_ended(jobs_family_t *family, const jobs_res_t *peak,
		       int64_t run_us);
void jobs_family_running(jobs_family_t *family, const jobs_res_t *peak);
/* Work out anew what follows from the samples. */
void jobs_family_relearn(jobs_family_t *family);
jobs_res_t jobs_family_size(const jobs_family_t *family,
			    const jobs_res_t *declared);
/* Chance that a job of the family fails on a worker that is well. */
double jobs_family_fails(const jobs_family_t *family);
/* The room to keep for a job. */
jobs_res_t jobs_need(const jobs_t *jobs, const jobs_job_t *job);

/* jobs_queue.c */
void jobs_enqueue(jobs_t *jobs, int64_t now, jobs_job_t *job, bool first);
void jobs_dequeue(jobs_t *jobs, jobs_job_t *job);
void jobs_team_moved(jobs_t *jobs, jobs_team_t *team);
void jobs_team_park(jobs_t *jobs, jobs_team_t *team, int urgency);
void jobs_team_unpark(jobs_t *jobs, int urgency, size_t most);
void jobs_team_back(jobs_t *jobs, jobs_team_t *team, int urgency);
jobs_team_t *jobs_heap_pop(jobs_heap_t *heap);
void jobs_heap_fix(jobs_heap_t *heap, jobs_team_t *team);
jobs_team_t *jobs_team_get(jobs_t *jobs, base_str_t name);

/* jobs_core.c */
jobs_job_t *jobs_find(const jobs_t *jobs, base_str_t id);
/* What "by_id" has under "id", which need not end in a NUL. */
void *jobs_lookup(GHashTable *by_id, base_str_t id);
void jobs_dirty(jobs_t *jobs, jobs_job_t *job);
void jobs_set(jobs_t *jobs, jobs_job_t *job, jobs_state_t state,
	      jobs_why_t why);
bool jobs_ended(const jobs_job_t *job);
jobs_job_t *jobs_job_new(jobs_t *jobs, const jobs_spec_t *spec, GError **err);

void jobs_requeue(jobs_t *jobs, int64_t now, jobs_job_t *job, bool first);
/* After an attempt without an end: queue it again, or hold it. */
void jobs_retry(jobs_t *jobs, int64_t now, jobs_job_t *job);

/* jobs_task.c */
jobs_task_t *jobs_task_new(jobs_t *jobs, jobs_job_t *job, jobs_worker_t *worker,
			   int64_t attempt, const jobs_res_t *share);
void jobs_task_free(jobs_t *jobs, jobs_task_t *task);
void jobs_task_effect(jobs_t *jobs, jobs_task_t *task, jobs_effect_t effect);
void jobs_task_order(jobs_t *jobs, int64_t now, jobs_task_t *task,
		     jobs_effect_t order);
void jobs_task_answered(jobs_t *jobs, jobs_task_t *task);
void jobs_task_lease(jobs_t *jobs, int64_t now, jobs_task_t *task);
void jobs_task_share(jobs_t *jobs, jobs_task_t *task, const jobs_res_t *share);
/* It runs on less than its full share, until there is room again. */
void jobs_task_throttled(jobs_t *jobs, jobs_task_t *task);
/* Its worker is known not to run it, nor to begin it. */
void jobs_task_gone(jobs_t *jobs, int64_t now, jobs_task_t *task);
void jobs_lapse(jobs_t *jobs, int64_t now);

/* jobs_worker.c */
jobs_worker_t *jobs_worker_find(const jobs_t *jobs, base_str_t id);
jobs_worker_t *jobs_worker_get(jobs_t *jobs, base_str_t id,
			       int64_t incarnation);
/* Whether it may be given tasks, as far as the list and drains go. */
bool jobs_worker_takes(const jobs_worker_t *worker);
jobs_res_t jobs_worker_free(const jobs_worker_t *worker);
/* Something of it has changed: bring the index up to date. */
void jobs_worker_moved(jobs_t *jobs, jobs_worker_t *worker);
void jobs_worker_drop(jobs_t *jobs, jobs_worker_t *worker);
/* All its tasks are known to be gone. */
void jobs_worker_emptied(jobs_t *jobs, int64_t now, jobs_worker_t *worker);

/* jobs_health.c */
void jobs_blame(jobs_t *jobs, int64_t now, jobs_task_t *task);
/* It has ended well, or run for a while. */
void jobs_praise(jobs_t *jobs, jobs_task_t *task);
void jobs_health_step(jobs_t *jobs, int64_t now);
/* A restart may have mended it: its trial may come at once. */
void jobs_health_restarted(jobs_t *jobs, jobs_worker_t *worker);
void jobs_health_forget(jobs_t *jobs, jobs_worker_t *worker);
/* Nobody may refer to the job any more. */
void jobs_blame_forget(jobs_t *jobs, jobs_job_t *job);
jobs_worker_t *jobs_trial_for(jobs_t *jobs, const jobs_job_t *job,
			      const jobs_res_t *need);

/* jobs_room.c */
/* What a task can be made to give back, without losing what must not be. */
jobs_res_t jobs_yield_of(const jobs_task_t *task);
bool jobs_claim(jobs_t *jobs, int64_t now, jobs_job_t *job,
		const jobs_res_t *need);
void jobs_unclaim(jobs_t *jobs, jobs_job_t *job);
void jobs_room_step(jobs_t *jobs, int64_t now);

/* What is still missing on a worker once all orders are answered. */
jobs_res_t jobs_deficit(const jobs_worker_t *worker);

/* jobs_drain.c */
void jobs_drain_step(jobs_t *jobs, int64_t now);
void jobs_drain_end(jobs_t *jobs, jobs_worker_t *worker);

/* jobs_place.c */
void jobs_place(jobs_t *jobs, int64_t now);
void jobs_start_on(jobs_t *jobs, int64_t now, jobs_job_t *job,
		   jobs_worker_t *worker, const jobs_res_t *need);
bool jobs_tried(const jobs_job_t *job, const jobs_worker_t *worker);

/* jobs_record.c */
void jobs_record_of(const jobs_job_t *job, jobs_record_t *record);

#endif
