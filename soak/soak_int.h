/*
 * soak - runs the real programs as processes on loopback and injects faults
 * from outside: signals, links that delay, drop or reset, a store that loses
 * answers or is late, workers that stop answering or leave the list.  Checks
 * the answers that callers got against the records of the workers.
 *
 * One thread, one loop; all random values come from the seed.  Times are
 * microseconds on the monotonic clock, as in the stand-in's records.
 */
#ifndef SOAK_INT_H
#define SOAK_INT_H

#include <event2/event.h>
#include <jansson.h>
#include <string.h>
#include <sys/types.h>

#include "net.h"

#define SOAK_NODES 4
#define SOAK_WORKERS 12

typedef struct soak soak_t;

/* soak_link.c: a TCP relay for one address with injected faults. */
typedef enum soak_link_fault {
	SOAK_LINK_OK,
	SOAK_LINK_DELAY,       /* bytes arrive after a delay */
	SOAK_LINK_DROP_BOTH,   /* bytes of both sides are dropped */
	SOAK_LINK_DROP_CLIENT, /* bytes of the client are dropped */
	SOAK_LINK_DROP_SERVER, /* bytes of the server are dropped */
	SOAK_LINK_RESET,       /* resets open and new connections */
	SOAK_LINK_FAULT_MAX
} soak_link_fault_t;

typedef struct soak_link soak_link_t;

/* Relays 127.0.0.1:"from" to 127.0.0.1:"to"; NULL if "from" cannot be bound. */
soak_link_t *soak_link_new(const void *ctx, struct event_base *base, int from,
			   int to);
/* Called when the server closes a connection on which a request waits that was
 * sent at "asked_at". */
typedef void soak_link_lost_t(void *arg, int64_t asked_at);
void soak_link_report_lost(soak_link_t *link, soak_link_lost_t *lost,
			   void *arg);
/* Sets the fault of a link; "delay" is used by SOAK_LINK_DELAY.  Resets each
 * connection that has lost bytes. */
void soak_link_set_fault(soak_link_t *link, soak_link_fault_t fault,
			 int64_t delay);

/* soak_process.c: a child process. */
typedef struct soak_process {
	soak_t *soak;
	char *name;
	char *log;
	char **argv;
	pid_t pid; /* 0: not running */
	int64_t started_at;
	bool is_paused;
	/* Starved: it runs for a fifth of the time.  No fault in itself. */
	bool is_slow;
	bool is_exit_expected; /* any exit status is accepted */
	/* When a fault other than planned work last touched it or its links,
	 * or will. */
	int64_t disturbed_at;
	int64_t terminated_at; /* when SIGTERM was sent; 0: not sent */
	int64_t restart_at;    /* 0: no restart planned */
	int64_t restart_delay; /* from the exit to the restart */
} soak_process_t;

soak_process_t *soak_process_new(soak_t *soak, const char *name,
				 char *const *argv);
void soak_process_start(soak_process_t *process);
void soak_process_signal(soak_process_t *process, int signo);
/* Handles an exit, and restarts the process when it is due. */
void soak_process_tick(soak_process_t *process, int64_t now);
/* Notes that a fault touches the process or its links until then. */
void soak_process_disturb(soak_process_t *process, int64_t until);
/* Whether no such fault has touched it since then. */
bool soak_process_is_calm(const soak_process_t *process, int64_t since);
/* Kills the process and does not restart it. */
void soak_process_kill(soak_process_t *process);

/* soak_fault.c: fault injection. */
typedef struct soak_faults soak_faults_t;

soak_faults_t *soak_faults_new(soak_t *soak);
void soak_faults_tick(soak_faults_t *faults, int64_t now);
/* Ends all active faults; no new one starts. */
void soak_faults_end_all(soak_faults_t *faults);
int soak_faults_count(const soak_faults_t *faults);

/* soak_key.c: two workspaces; the operator removes and adds the key of one. */
typedef struct soak_keys soak_keys_t;

typedef enum soak_workspace {
	SOAK_BLUE, /* its key stays */
	SOAK_RED,
	SOAK_WORKSPACE_MAX
} soak_workspace_t;

/* A request with a key, as it was sent. */
typedef struct soak_key_use {
	int64_t sent_at;
	int64_t removed_at; /* since when the key was removed; 0: it is not */
} soak_key_use_t;

soak_keys_t *soak_keys_new(soak_t *soak);
/* Changes the keys now and then. */
void soak_keys_tick(soak_t *soak, int64_t now);
/* From now on all keys are there. */
void soak_keys_restore(soak_t *soak);
/* The configuration's workspaces, for the version that is written next. */
const char *soak_keys_tenants(soak_t *soak);
void soak_keys_sent(soak_t *soak, int version);
/* The operator's write of that version was acknowledged. */
void soak_keys_written(soak_t *soak, int version);
const char *soak_key(soak_workspace_t workspace);
soak_key_use_t soak_key_use(const soak_t *soak, soak_workspace_t workspace);
/* Judges an answer to a request of the workspace. */
void soak_key_judge(soak_t *soak, soak_workspace_t workspace,
		    const soak_key_use_t *use, int status);

/* soak_caller.c: callers and the answers that they got. */
typedef enum soak_outcome {
	SOAK_JOB_OPEN,
	SOAK_JOB_ACCEPTED,
	SOAK_JOB_REFUSED, /* every attempt was refused: it must not run */
	SOAK_JOB_UNKNOWN, /* an attempt may have been accepted */
	SOAK_JOB_OUTCOME_MAX
} soak_outcome_t;

#define SOAK_STEPS 2
/* "Calm" and a machine "in touch": no fault for this long, stableMs in RULES.
 */
#define SOAK_STABLE (4 * BASE_SEC)
/* A long-running task runs again within this time after its last run, from
 * RULES. */
#define SOAK_AWAY_MAX (6 * BASE_SEC)

typedef struct soak_job {
	soak_t *soak;
	char id[17];
	soak_workspace_t workspace;
	soak_key_use_t submit_use;
	soak_key_use_t cancel_use;
	int task_count[SOAK_STEPS]; /* step 1 depends on step 0 */
	bool is_long_running;	    /* it has one step and never completes */
	soak_outcome_t outcome;
	bool may_be_accepted; /* an attempt may have been accepted */
	int attempts;
	int attempts_max;
	int64_t accepted_at;
	int64_t cancel_at;    /* when the caller cancels; 0: never */
	bool cancel_sent;     /* it may have been accepted */
	int64_t cancelled_at; /* acknowledged; 0: not yet */
	int64_t completed_at; /* first reported completed; 0: not yet */
	net_timer_t *timer;
} soak_job_t;

typedef struct soak_callers soak_callers_t;

soak_callers_t *soak_callers_new(soak_t *soak);
/* Submits jobs, queries and cancels some; submits none while "closing". */
void soak_callers_tick(soak_callers_t *callers, int64_t now, bool closing);
const GPtrArray *soak_callers_jobs(const soak_callers_t *callers);
/* Number of jobs without an outcome yet, or accepted, not cancelled and not
 * reported completed. */
size_t soak_callers_count_pending(const soak_callers_t *callers);

/* soak_judge.c */
/* Checks the answers to callers against the workers' records.  Without a fault
 * for SOAK_STABLE + SOAK_AWAY_MAX, long-running tasks have to be at work. */
void soak_check_jobs(soak_t *soak, base_str_t records);

/* soak_main.c */
/* Kinds of ports in a block; each kind has a range of numbered ports. */
typedef enum soak_port_kind {
	SOAK_PORT_STANDIN, /* store port; worker ports follow it */
	SOAK_PORT_CALLERS,
	SOAK_PORT_READY,
	SOAK_PORT_PEERS,
	SOAK_PORT_METRICS,
	SOAK_PORT_STORE_LINK,
	SOAK_PORT_INSTANCES_LINK,
	SOAK_PORT_PEERS_LINK,
	SOAK_PORT_CALLERS_LINK,
	SOAK_PORT_WORKERS_LINK,
	SOAK_PORT_KIND_MAX
} soak_port_kind_t;

struct soak {
	net_loop_t *loop;
	struct event_base *base;
	base_rng_t rng;		 /* for faults; callers have their own */
	const char *program_dir; /* directory of the programs */
	const char *work_dir;	 /* directory for logs and settings */
	int port;		 /* first port of the block */
	size_t kinds_max;	 /* faults are drawn from so many kinds */
	soak_keys_t *keys;	 /* NULL: a run without workspaces */
	bool has_policy; /* the queue has one, in the next configuration */
	int64_t started_at;
	soak_process_t *standin;
	soak_process_t *nodes[SOAK_NODES];
	soak_link_t *store_links[SOAK_NODES];
	soak_link_t *instance_links[SOAK_NODES];
	soak_link_t *peer_links[SOAK_NODES];
	soak_link_t *caller_links[SOAK_NODES];
	soak_link_t *worker_links[SOAK_WORKERS];
	net_client_t *control; /* client of the stand-in */
	soak_faults_t *faults;
	soak_callers_t *callers;
	GPtrArray *violations; /* violated guarantees, as text */
};

/* Reports a violated guarantee. */
void soak_report_violation(soak_t *soak, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* Posts to the stand-in; "body" may be NULL. */
void soak_post(soak_t *soak, const char *path, const char *body);
int soak_port(const soak_t *soak, soak_port_kind_t kind, int number);
/* Writes a configuration, or orders a wave, as the operator.  Waves of even
 * and of odd numbers have different instances. */
void soak_configure(soak_t *soak, int version);
/* Writes the next version. */
void soak_configure_next(soak_t *soak);
void soak_order_wave(soak_t *soak, int number, int max_concurrent);
/* A random number from "min" to "max", both included. */
int64_t soak_random_range(base_rng_t *rng, int64_t min, int64_t max);

#endif
