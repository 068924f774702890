/*
 * batch - schedules the tasks of jobs on workers: steps and their dependencies,
 * gangs, long-running tasks, starts in doubt, ends, stored records.
 *
 * The core does no I/O.  "now" is microseconds on the caller's monotonic clock,
 * "wall" microseconds since 1970.  Events change the state, batch_tick()
 * decides.  A decision is first handed out as rows to store (batch_rows); its
 * effects, through the table of operations, follow only with
 * batch_rows_stored().  So every order and every answer to a caller is stored
 * before it is sent, and a successor that restores the rows knows every run
 * that may exist.
 *
 * A run is one start of a task on one incarnation of a worker.  It is given up,
 * and its task started elsewhere, only once it has certainly ended or can no
 * longer begin: its end was listed, a stop was answered and a later poll does
 * not list it, or everything on that incarnation ended (its lease expired, or
 * the worker process ended).
 *
 * Terms: a pass is one call of batch_tick() that places tasks; a step is a
 * group of equal tasks of a job.  An operation is a function of batch_ops_t.  A
 * row is the stored record of one job.  A start is in doubt while it is unknown
 * whether the worker carried it out.  A reservation keeps the capacity that
 * becomes free on a worker for one long-running task.  A worker in quarantine
 * gets no new tasks because runs on it fail, stall or are slow.  The tail
 * latency of a serving task is the response time that only its slowest requests
 * exceed, as its worker reports it.
 *
 * Not thread-safe.  Strings passed in are copied.
 */
#ifndef BATCH_H
#define BATCH_H

#include "base.h"

#define BATCH_STEPS_MAX 64   /* steps of a job; fits a 64-bit mask */
#define BATCH_TASKS_MAX 4096 /* tasks of one step */

#define BATCH_ERROR batch_error_quark()
GQuark batch_error_quark(void);

typedef enum batch_error {
	BATCH_ERR_SPEC,	  /* a member is missing or out of range */
	BATCH_ERR_RECORD, /* a record cannot be read */
	BATCH_ERR_MAX
} batch_error_t;

typedef struct batch_res {
	int64_t cpu;	/* thousandths of a core */
	int64_t memory; /* MB */
	int64_t gpu;	/* devices */
} batch_res_t;

typedef struct batch_step_spec {
	int count;	      /* tasks */
	batch_res_t need;     /* of each task */
	int64_t estimate;     /* run time of a task, microseconds; rough */
	uint64_t depends_on;  /* bit N: depends on step N */
	bool checkpoints;     /* its tasks resume from checkpoints */
	bool gang;	      /* all tasks run together or not at all */
	bool same_rack;	      /* slower when spread over racks */
	bool long_running;    /* its tasks run until the job is cancelled */
	bool speculative;     /* a task may have several runs at once */
	bool best_effort;     /* reserves no cpu, uses what is idle */
	int max_per_worker;   /* most tasks of the step on a worker; 0: no limit
			       */
	int max_unavailable;  /* long-running: most unavailable; -1: not set */
	int64_t tail_target;  /* long-running: tail latency, us; 0: none */
	base_str_t label;     /* label a worker needs; empty: any */
	base_str_t data_rack; /* rack with its data; empty: any */
	base_str_t image;     /* tasks of one image behave alike */
} batch_step_spec_t;

typedef struct batch_spec {
	base_str_t id;
	base_str_t queue;
	base_str_t workspace; /* whose limit and share count; empty: none */
	base_str_t payload;   /* passed to each task unchanged */
	base_str_t source;    /* stored form of the job; opaque here */
	const batch_step_spec_t *steps;
	int n_steps;
	int repeat;	  /* number of occurrences; 0: runs once, now */
	int64_t first_at; /* wall time of the first occurrence */
	int64_t interval; /* microseconds between occurrences */
} batch_spec_t;

/* What the configuration says of a queue's policy service; 0: nothing. */
typedef struct batch_policy {
	int64_t decision; /* time of an answer, microseconds, */
	int64_t period;	  /* and for each worker that the question names */
	int64_t validity; /* of a ticket, microseconds */
} batch_policy_t;

typedef struct batch_queue_info {
	base_str_t name;
	base_str_t pool;
	int priority; /* 0 is the highest */
	int attempts; /* failed runs of a task before its job fails */
	bool advised; /* a policy restricts the workers: see advise() */
	batch_policy_t policy;
	/* A job's objective is stretch * critical path + target_latency. */
	double stretch;
	int64_t target_latency; /* microseconds; see "stretch" */
} batch_queue_info_t;

typedef struct batch_pool_info {
	base_str_t name;
	bool checks_admission; /* its workers refuse tasks that do not fit */
	bool spare;	       /* its instances are switched off */
} batch_pool_info_t;

/* A workspace: the jobs of its callers share a limit and a weight. */
typedef struct batch_workspace_info {
	base_str_t name;
	double weight;	   /* share when a pool is full, relative to others */
	batch_res_t limit; /* most that may run at once; 0: no limit */
} batch_workspace_info_t;

typedef struct batch_worker_info {
	base_str_t id;
	base_str_t address; /* compared only; empty: not known */
	base_str_t pool;
	base_str_t zone;
	base_str_t rack;
	const base_str_t *labels;
	size_t n_labels;
	batch_res_t capacity;
	bool draining;
} batch_worker_info_t;

typedef enum batch_state {
	BATCH_UNKNOWN, /* no such job, or its first row is not stored */
	BATCH_QUEUED,
	BATCH_RUNNING,
	BATCH_COMPLETED, /* this and the states below are final */
	BATCH_FAILED,
	BATCH_CANCELLED,
	BATCH_STATE_MAX
} batch_state_t;

/* Identifies a task: job, occurrence, step, and index within the step. */
typedef struct batch_task_id {
	base_str_t job;
	int occurrence;
	int step;
	int index;
} batch_task_id_t;

/*
 * The run and worker that an operation of batch_ops_t applies to.  The core
 * owns the strings.
 */
typedef struct batch_order {
	batch_task_id_t task;
	int64_t run;
	base_str_t worker;
	base_str_t payload;
	base_str_t checkpoint; /* to resume from; empty: none */
	base_str_t ticket;     /* authorizes the start; empty: none needed */
	int percent;	       /* percent of full speed; in a pace order */
	int64_t incarnation;   /* the worker's, as last polled; 0: not yet */
} batch_order_t;

/* Decisions and conclusions that are logged. */
typedef enum batch_log_event_kind {
	BATCH_LOG_JOB_ACCEPTED,
	BATCH_LOG_JOB_REFUSED,
	BATCH_LOG_JOB_ENDED,
	BATCH_LOG_JOB_CANCELLED,
	BATCH_LOG_STEP_STARTED,
	/*
	 * The step's last task was placed more than two pass intervals after
	 * its first.
	 */
	BATCH_LOG_STEP_PLACED,
	BATCH_LOG_RUN_SENT,
	BATCH_LOG_RUN_DONE,
	BATCH_LOG_RUN_FAILED,
	BATCH_LOG_RUN_LOST,
	BATCH_LOG_RUN_STOPPED,
	BATCH_LOG_RUN_COPIED, /* a copy starts beside a slow run */
	BATCH_LOG_RUN_IN_DOUBT,
	/* A worker that may carry out an earlier start of the task late is lost
	 * since it has answered the stop of that run, or no longer is. */
	BATCH_LOG_STOP_VOID,
	BATCH_LOG_STOP_HOLDS,
	BATCH_LOG_END_UNMATCHED,
	BATCH_LOG_WORKER_QUARANTINED,
	BATCH_LOG_WORKER_ON_TRIAL,
	BATCH_LOG_PACED,
	BATCH_LOG_WORKER_CAPACITY,
	/* A worker was lost, and this run may have crashed it. */
	BATCH_LOG_RUN_SUSPECTED,
	/* The job has a task that crashes the workers that start it. */
	BATCH_LOG_JOB_GIVEN_UP,
	/* A task of a step that may run has had no place for a second or more:
	 * "value" is that time, microseconds. */
	BATCH_LOG_TASK_WAITS,
	/* More occurrences of the job are due than are opened at once. */
	BATCH_LOG_OCCURRENCES_WAIT,
	BATCH_LOG_MAX
} batch_log_event_kind_t;

/* What keeps a task from a worker of its pool: the first that applies. */
typedef enum batch_fit {
	BATCH_FIT_DRAINING,
	BATCH_FIT_CORDONED,
	BATCH_FIT_SILENT, /* or not polled yet */
	BATCH_FIT_QUARANTINED,
	BATCH_FIT_HELD, /* it gets no starts for now */
	BATCH_FIT_LABEL,
	BATCH_FIT_RESERVED, /* for another task */
	BATCH_FIT_SPREAD,   /* the limit of tasks of a step per worker */
	BATCH_FIT_ADVICE,   /* the policy does not allow it, or has not yet */
	BATCH_FIT_TRIAL,    /* a crash would have more than one likely cause */
	BATCH_FIT_NO_ROOM,
	BATCH_FIT_OK,
	BATCH_FIT_MAX
} batch_fit_t;

/* Number of workers of a pool by what keeps a task from them. */
typedef struct batch_fit_counts {
	int n[BATCH_FIT_MAX];
	int incoming; /* workers moving to the pool */
	int wanted;   /* workers that the pool needs, as last measured */
} batch_fit_counts_t;

/* A name of one word. */
const char *batch_fit_name(batch_fit_t fit);

typedef struct batch_log_event {
	batch_log_event_kind_t kind;
	batch_task_id_t task; /* unused parts are empty or -1 */
	int64_t run;
	base_str_t worker;
	const char *why; /* reason in a few words; NULL: none */
	int64_t value;	 /* the deciding figure; "why" names its unit */
	int64_t age;	 /* age of "value", microseconds */
	/* A worker's capacity before and after its change; else NULL. */
	const batch_res_t *from;
	const batch_res_t *to;
	const batch_fit_counts_t *workers; /* of a task that waits; else NULL */
	const char *workspace;		   /* of a refused job; NULL: none */
} batch_log_event_t;

/* Asks which of these workers may run a step; the task index is unused. */
typedef struct batch_question {
	uint64_t number; /* for batch_advice_answer() */
	base_str_t queue;
	batch_task_id_t step;
	const base_str_t *workers;
	size_t n_workers;
	int attempt;	  /* 1 after an answer; counts those without one */
	int64_t expected; /* time of the answer, microseconds */
	int64_t timeout;  /* time after which to give it up, microseconds */
} batch_question_t;

/*
 * Table of operations: the functions through which the core takes effect.  An
 * operation must not call any function of the core but batch_worker_lease().
 */
typedef struct batch_ops {
	/* Several questions may be open; batch_advice_answer() ends each. */
	void (*advise)(void *arg, const batch_question_t *question);
	/* The first row of the job is stored: the job is accepted. */
	void (*accepted)(void *arg, base_str_t job);
	/* The cancellation of the job is stored. */
	void (*cancelled)(void *arg, base_str_t job);
	void (*start)(void *arg, const batch_order_t *order);
	void (*stop)(void *arg, const batch_order_t *order);
	void (*pace)(void *arg, const batch_order_t *order);
	void (*log_event)(void *arg, const batch_log_event_t *event);
} batch_ops_t;

typedef struct batch_options {
	const batch_ops_t *ops;
	void *arg;
	/*
	 * How long a start without an answer may stay unlisted before it is
	 * stopped, microseconds.
	 */
	int64_t in_doubt_timeout;
	/* A worker that leaves is listed as draining for this long at least. */
	int64_t drain_time;
	/* Factor of the run time of a task on the wrong rack, or of a gang that
	 * is spread over racks; up to 1: no task waits for a rack. */
	double remote_penalty;
	size_t row_max; /* bytes of a row that can be stored; 0: any number */
} batch_options_t;

typedef struct batch batch_t;

batch_t *batch_new(const void *ctx, const batch_options_t *options);

/* Sets the queues and pools.  Jobs of a removed queue keep its old settings. */
void batch_config(batch_t *core, const batch_queue_info_t *queues,
		  size_t n_queues, const batch_pool_info_t *pools,
		  size_t n_pools);

/*
 * Sets the workspaces.  One that is no longer among them keeps its limit and
 * weight while jobs of it are left.
 */
void batch_config_workspaces(batch_t *core, const batch_workspace_info_t *list,
			     size_t n);

/*
 * Adds a queue that the configuration does not have, with the settings that it
 * had, for jobs of it that are restored.  Without effect on a known queue.
 */
void batch_queue_keep(batch_t *core, const batch_queue_info_t *info);

/* Whether a specification is valid. */
bool batch_spec_check(const batch_spec_t *spec, GError **err);
/* Whether a row of "row_max" bytes holds the job's state at all times. */
bool batch_spec_fits(const batch_spec_t *spec, size_t row_max, GError **err);

typedef enum batch_admission {
	BATCH_ACCEPTED,	 /* accepted() follows */
	BATCH_DUPLICATE, /* a job of this id exists already */
	BATCH_REFUSED,
	BATCH_ADMISSION_MAX
} batch_admission_t;

typedef enum batch_refusal_kind {
	BATCH_REFUSAL_BACKLOG,	 /* the pool's backlog is too long */
	BATCH_REFUSAL_SHARE,	 /* that of its workspace, for its share */
	BATCH_REFUSAL_LIMIT,	 /* that of its workspace, for its limit */
	BATCH_REFUSAL_TOO_LARGE, /* a task or gang exceeds that limit */
	BATCH_REFUSAL_NO_QUEUE,
	BATCH_REFUSAL_MAX
} batch_refusal_kind_t;

typedef struct batch_refusal {
	batch_refusal_kind_t kind;
	int64_t retry_after; /* when to submit it again, microseconds */
} batch_refusal_t;

/* In a few words, for a caller. */
const char *batch_refusal_name(batch_refusal_kind_t kind);

/* Accepts a job, or refuses it because it could not end in time. */
batch_admission_t batch_submit(batch_t *core, int64_t now, int64_t wall,
			       const batch_spec_t *spec,
			       batch_refusal_t *refusal);

/*
 * Cancels a job.  cancelled() follows once the cancellation, or an end that
 * came before it, is stored.  Returns false if the job is unknown or its end is
 * already stored; "state" tells which.
 */
bool batch_cancel(batch_t *core, int64_t now, base_str_t id,
		  batch_state_t *state);

/* The stored state of a job. */
batch_state_t batch_state(const batch_t *core, base_str_t id);

/*
 * Whether the job was accepted but its first row is not known to be stored yet.
 */
bool batch_job_unstored(const batch_t *core, base_str_t id);

/* The workspace of a job; empty: none, or there is no such job. */
base_str_t batch_job_workspace(const batch_t *core, base_str_t id);

/* The queue of a job; empty: there is no such job. */
base_str_t batch_job_queue(const batch_t *core, base_str_t id);

/* Number of accepted jobs of a queue that have not started any task. */
size_t batch_pending(const batch_t *core, base_str_t queue);

/*
 * Adds a worker that membership lists, or updates it.  Call at each reading of
 * the list: a worker that does not check admission gets no starts once it was
 * last listed 3 s ago.  Starts that were not sent are dropped, and their tasks
 * placed anew, if the worker drains or its capacity has fallen below them; what
 * runs goes on.
 */
void batch_worker_listed(batch_t *core, int64_t now,
			 const batch_worker_info_t *info);

/* Marks a worker as no longer listed: it gets no new work. */
void batch_worker_unlisted(batch_t *core, int64_t now, base_str_t id);

/* Whether a worker is listed and has answered a poll. */
bool batch_worker_known(const batch_t *core, base_str_t id);

/* Marks a worker that does not answer: it gets no new work until a poll
 * succeeds. */
void batch_worker_silent(batch_t *core, base_str_t id);

/* The worker gets no starts before "until". */
void batch_worker_hold(batch_t *core, base_str_t id, int64_t until);

/* No connection to the worker can be opened: its process may have ended. */
void batch_worker_unreached(batch_t *core, base_str_t id);

/* A poll of the worker broke off before its time: the worker was alive until
 * then. */
void batch_worker_broke_off(batch_t *core, int64_t now, base_str_t id);

/* Starts or stops evacuating a worker, for maintenance or a move. */
void batch_worker_cordon(batch_t *core, int64_t now, base_str_t id,
			 bool cordoned);

/*
 * Sets the end of a worker's lease: by then every run on its present
 * incarnation has ended.  This is the only function of the core that a function
 * of batch_ops_t may call.
 */
void batch_worker_lease(batch_t *core, base_str_t id, int64_t until);

/* Why a worker's incarnation has ended. */
typedef enum batch_loss_cause {
	BATCH_LOSS_CRASHED, /* it is known to have ended, not by an order */
	BATCH_LOSS_ORDERED, /* its instance was moved or is in maintenance */
	BATCH_LOSS_UNKNOWN, /* it crashed, was cut off, or ended otherwise */
	BATCH_LOSS_MAX
} batch_loss_cause_t;

/* The instance has this worker, so that any other one that it had has ended. */
void batch_worker_placed(batch_t *core, int64_t now, base_str_t id,
			 base_str_t instance);

/*
 * The worker's present incarnation has ended, and all its runs with it.  Only a
 * crash, or a loss of unknown cause, counts against the tasks on it, unless it
 * was listed as draining.
 */
void batch_worker_terminated(batch_t *core, int64_t now, base_str_t id,
			     batch_loss_cause_t cause);

/*
 * Returns the number of runs that may exist on a worker, and sets
 * "n_long_running" to how many long-running tasks run or are to run there:
 * those of these runs, and those for whose next run room is set aside.
 */
size_t batch_worker_runs(const batch_t *core, base_str_t id,
			 size_t *n_long_running);

/*
 * Whether polls of the worker show nothing new but ends: it has no runs, or
 * only long-running ones that are available and that no other task disturbs.
 */
bool batch_worker_is_steady(const batch_t *core, base_str_t id);

/*
 * Whether the worker has a run on trial: other starts there, and other trials,
 * wait for an answer that shows that the worker has survived it.
 */
bool batch_worker_has_trial(const batch_t *core, base_str_t id);

/* One run, as a worker lists it. */
typedef struct batch_listed_run {
	batch_task_id_t task;
	int64_t run;
	base_str_t checkpoint;
	int percent;
	/*
	 * Tasks with a tail latency target: their tail latency, microseconds.
	 * Other tasks: the cpu that they use.
	 */
	int64_t load_metric;
} batch_listed_run_t;

typedef enum batch_end {
	BATCH_END_DONE,
	BATCH_END_FAILED,
	BATCH_END_STOPPED,
	BATCH_END_LEASE_EXPIRED,
	BATCH_END_GANG_BROKEN,	   /* another member of its gang ended */
	BATCH_END_GANG_INCOMPLETE, /* other members of its gang never joined */
	BATCH_END_MAX
} batch_end_t;

typedef struct batch_listed_end {
	/* Number of the end; increases within an incarnation of the worker. */
	int64_t number;
	batch_task_id_t task;
	int64_t run;
	batch_end_t end_kind;
	base_str_t checkpoint;
} batch_listed_end_t;

/* The result of one poll of a worker. */
typedef struct batch_poll_result {
	base_str_t worker;
	int64_t incarnation; /* identifies the incarnation */
	int64_t sent;	     /* when the poll was sent */
	const batch_listed_run_t *runs;
	size_t n_runs;
	const batch_listed_end_t *ends;
	size_t n_ends;
	/* The worker may have more ends than "ends": the list shows nothing of
	 * a run that neither list names. */
	bool ends_truncated;
} batch_poll_result_t;

void batch_worker_polled(batch_t *core, int64_t now,
			 const batch_poll_result_t *poll);

/* The highest end that the worker may discard: all up to it are stored. */
int64_t batch_worker_stored_end(batch_t *core, int64_t now, base_str_t id);
/* Whether an end that the worker has listed is not stored yet: the worker lists
 * it again in its answer to each poll. */
bool batch_worker_has_unstored_ends(const batch_t *core, base_str_t id);
/* Whether the worker's last list of ends was truncated. */
bool batch_worker_ends_truncated(const batch_t *core, base_str_t id);

typedef enum batch_answer {
	BATCH_ANSWER_OK,
	BATCH_ANSWER_NO_CAPACITY, /* too little free capacity; not started */
	/* Not started: the worker knows this run or a higher one. */
	BATCH_ANSWER_STALE_RUN,
	BATCH_ANSWER_INVALID_TICKET, /* the ticket is not valid; not started */
	BATCH_ANSWER_NOT_STARTED,    /* refused for another reason */
	BATCH_ANSWER_OTHER_INCARNATION, /* the address has another incarnation
					 */
	BATCH_ANSWER_NO_REPLY, /* no answer: may or may not have been done */
	BATCH_ANSWER_MAX
} batch_answer_t;

void batch_start_answer(batch_t *core, int64_t now, const batch_order_t *order,
			batch_answer_t answer);
void batch_stop_answer(batch_t *core, int64_t now, const batch_order_t *order,
		       batch_answer_t answer);

/* A worker that may run the step, and the ticket that its starts must carry. */
typedef struct batch_ticket {
	base_str_t worker;
	base_str_t text;
} batch_ticket_t;

typedef enum batch_advice_outcome {
	BATCH_ADVICE_ANSWERED,
	BATCH_ADVICE_REFUSED,	 /* not decided: unreachable, or too busy */
	BATCH_ADVICE_UNANSWERED, /* given up */
	BATCH_ADVICE_OUTCOME_MAX
} batch_advice_outcome_t;

/* The workers of a question that may run its step; the others may not. */
typedef struct batch_advice {
	batch_advice_outcome_t outcome;
	const batch_ticket_t *tickets;
	size_t n;
	int64_t validity; /* of the tickets, microseconds; 0: as configured */
} batch_advice_t;

/* A word for the log. */
const char *batch_advice_outcome_name(batch_advice_outcome_t outcome);

/* Ends an open question. */
void batch_advice_answer(batch_t *core, int64_t now, uint64_t question,
			 const batch_advice_t *advice);

/*
 * Runs a scheduling pass if one is due.  Call after events, and again within
 * the returned time, which is at most BATCH_PASS_INTERVAL: a pass takes the
 * longer the more jobs there are, so with many of them it waits for more
 * events.
 */
#define BATCH_PASS_INTERVAL (100 * BASE_MS)
int64_t batch_tick(batch_t *core, int64_t now, int64_t wall);

/* An instance to move to another pool. */
typedef struct batch_move {
	/*
	 * The worker whose instance moves; it is idle, and this decision
	 * cordons it.  Empty: use an instance that is switched off.
	 */
	base_str_t worker;
	base_str_t to; /* empty: switch it off */
	/*
	 * Workers of the pool that gets the instance, before the move; of the
	 * pool that gives it up if it is switched off.
	 */
	int workers_before;
	int workers_needed;
} batch_move_t;

/*
 * Decides which instances to move now.  "spares" is how many switched-off
 * instances are available, "spare_pool" whether there is a pool to switch
 * instances off in.
 */
size_t batch_moves(batch_t *core, int64_t now, size_t spares, bool spare_pool,
		   batch_move_t *moves, size_t max);

/* Sets how many workers are moving to a pool and not listed yet. */
void batch_pool_set_incoming(batch_t *core, base_str_t pool, int workers);

/* A row to store. */
typedef struct batch_row {
	base_str_t job;
	const char *record;
	base_str_t source; /* set in the first row of a job, else empty */
	bool ended;	   /* its source is no longer needed */
} batch_row_t;

/*
 * Rows are stored in changes: one at a time with rows of all jobs, or one at a
 * time in each lane.  A job's rows are always in the same lane.
 */
#define BATCH_LANES 8
#define BATCH_LANE_ALL BATCH_LANES
#define BATCH_LANE_MAX (BATCH_LANE_ALL + 1)

/*
 * Takes up to "max" changed rows of a lane to store, as many as fit into a
 * change of "entries": one a row, and one for its source, which is added or
 * removed.  No more are handed out in this lane, or in any for BATCH_LANE_ALL,
 * until batch_rows_stored() is called; the strings stay valid until then.
 */
size_t batch_rows(batch_t *core, int lane, batch_row_t *rows, size_t max,
		  size_t entries);
void batch_rows_stored(batch_t *core, int lane, int64_t now);
/* Number of rows that wait to be stored. */
size_t batch_rows_length(const batch_t *core);
/* Whether one of them is of the lane. */
bool batch_lane_waits(const batch_t *core, int lane);
/* How long starts wait for their answers of late, microseconds: it rises when
 * the holder is too slow for its events. */
int64_t batch_answer_time(const batch_t *core);

/* A job as a predecessor stored it. */
typedef struct batch_stored {
	base_str_t id;
	const batch_spec_t *spec; /* NULL: the job has ended */
	const char *record;
	/*
	 * Time by which the job's runs on workers that cannot be polled have
	 * ended.
	 */
	int64_t until;
} batch_stored_t;

/* Restores a job.  One whose record cannot be read counts as failed. */
bool batch_restore(batch_t *core, int64_t now, int64_t wall,
		   const batch_stored_t *stored, GError **err);

/* Learned run times as JSON text; NULL: unchanged since the last call. */
const char *batch_learned_print(batch_t *core, const void *ctx);
/* Loads run times that a predecessor learned.  Call after batch_config(). */
bool batch_learned_load(batch_t *core, base_str_t text, GError **err);

/*
 * Returns the ids of the workers that were not polled yet and that may run
 * tasks, by the rows of a predecessor.  The caller unreferences the list.
 */
GPtrArray *batch_workers_unpolled(const batch_t *core);

/*
 * Drops jobs that ended before "before" and returns their ids.  The caller
 * unreferences the list.
 */
GPtrArray *batch_purge_jobs(batch_t *core, int64_t before);

/* Durations that the core measures, microseconds. */
typedef enum batch_time {
	/* Run time of a successful run, from its confirmation. */
	BATCH_TIME_RUN,
	BATCH_TIME_END_STORED, /* from the listing of an end to its storing */
	BATCH_TIME_RACK_WAIT,  /* of a task for a rack */
	BATCH_TIME_MAX
} batch_time_t;

const base_hist_t *batch_times(const batch_t *core, batch_time_t which);

/* Reports each listed worker's id and the age of its last successful poll. */
typedef void batch_poll_age_fn_t(void *arg, const char *worker, int64_t age);
void batch_poll_ages(const batch_t *core, int64_t now,
		     batch_poll_age_fn_t *report, void *arg);

/* How a task's wait for a rack ended. */
typedef enum batch_rack_wait_outcome {
	BATCH_RACK_WAIT_FREE,  /* it got capacity there */
	BATCH_RACK_WAIT_BOUND, /* it waited as long as it may */
	BATCH_RACK_WAIT_MOOT,  /* its reason no longer held */
	BATCH_RACK_WAIT_MAX
} batch_rack_wait_outcome_t;

typedef struct batch_stats {
	size_t jobs;	    /* that have not ended */
	size_t runs;	    /* that may exist */
	size_t workers;	    /* that are listed */
	size_t quarantined; /* workers in quarantine */
	size_t ready;	    /* always 0: never set */
	uint64_t accepted;
	uint64_t refused;
	uint64_t completed;
	uint64_t failed;
	uint64_t starts;
	uint64_t lost;
	uint64_t rack_waits[BATCH_RACK_WAIT_MAX]; /* that have ended */
	/* Workers and runs that were gone through for an event or a row of
	 * others. */
	uint64_t scanned;
} batch_stats_t;

void batch_stats(const batch_t *core, batch_stats_t *stats);

typedef struct batch_workspace_stats {
	const char *name; /* "other": all that are not named */
	batch_res_t used; /* by what may run */
	batch_res_t limit;
	uint64_t refused; /* jobs */
} batch_workspace_stats_t;

/* Reports the workspaces that use the most, and the others together. */
typedef void batch_workspace_visit_t(void *arg,
				     const batch_workspace_stats_t *stats);
void batch_workspaces_each(const batch_t *core, batch_workspace_visit_t *visit,
			   void *arg);

/*
 * Explains the state of a job, a worker, a pool, the pool of a queue or a
 * workspace: "said"
 * is a sentence, the other members the facts behind it and their age in
 * microseconds.  NULL if nothing has that name.  The caller releases the
 * result.
 */
struct json_t *batch_explain(const batch_t *core, int64_t now, base_str_t name);

/* The same for each configured pool, as a list. */
struct json_t *batch_explain_pools(const batch_t *core, int64_t now);

const char *batch_state_name(batch_state_t state);

#endif
