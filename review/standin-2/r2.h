/*
 * r2 - test double of the users' platform on loopback, for review/6 to
 * review/10: the store, the instance list and the executors, in one process.
 * Faults come from a control interface; each order that an executor carries out
 * is checked against the users' rules on starts and written to a record.
 *
 * The store is that of standin/platform/.  Times are microseconds on the
 * monotonic clock unless a name says otherwise.
 */
#ifndef R2_H
#define R2_H

#include <stdio.h>

#include "../../standin/platform/sp_int.h"

#define R2_WORKERS_MAX 16
#define R2_TASK_MAX 96 /* bytes of a task's name */
#define R2_GATES 3     /* addresses of the store, one for each entry */

typedef struct r2 r2_t;

/* One run of a task.  Its shape is read from the job's "spec" text:
 * "cpu=N ms=N gang=N kind=X lasts quiet". */
typedef struct r2_run {
	char task[R2_TASK_MAX];
	char step[R2_TASK_MAX]; /* its job, occurrence and step */
	int64_t number;
	int64_t cpu; /* thousandths of a core */
	int64_t work;
	int64_t worked;
	int64_t started_at;
	int gang;   /* members; 0: none */
	char kind;  /* that its job requires; 0: any */
	bool lasts; /* until it is stopped */
	bool quiet; /* not in the record, but for what breaks a rule */
} r2_run_t;

typedef struct r2_end {
	int64_t number;
	r2_run_t run;
	const char *how;
	int64_t at;
} r2_end_t;

/* A start that got no answer and is carried out later. */
typedef struct r2_late {
	char id[32]; /* of the worker that it names */
	char *body;
	int64_t due_at;
} r2_late_t;

typedef struct r2_worker {
	r2_t *r2;
	int index;
	int n_lives;
	char id[32];
	char machine[16];
	char pool[16];
	char kind;
	char next_kind; /* of its next life */
	char address[32];
	bool up;
	bool is_moving; /* between two pools, or in upkeep */
	bool draining;
	bool gone;	      /* the instance was taken away */
	int64_t leaves_at;    /* 0: it stays */
	const char *state;    /* as the instance list names it */
	int64_t born_ms;      /* since 1970 */
	int64_t started_at;   /* of this life */
	int64_t restart_at;   /* 0: none is due */
	bool restarts_same;   /* under the same id */
	int64_t lease_end_ms; /* on its own clock */
	int64_t token;
	int64_t next_end;
	int64_t seq;
	int64_t heartbeat_at;
	int64_t lapsed_at; /* when its lease was last seen to be over */
	/* Entries of former lives, and when they expire. */
	char former_id[32];
	int64_t former_until;
	GArray *runs;	/* r2_run_t */
	GArray *ends;	/* r2_end_t, not forgotten yet */
	GArray *closed; /* r2_run_t that were stopped or have ended */
	net_exchange_t *hold;
	int64_t hold_until;
	int64_t hold_seen;
	net_server_t *server; /* NULL: nothing listens */
} r2_worker_t;

/* An address of the store that serves one entry, or turns it away. */
typedef struct r2_gate {
	r2_t *r2;
	net_server_t *server;
	int64_t away_until;
} r2_gate_t;

struct r2 {
	sp_t sp; /* the store */
	r2_gate_t gates[R2_GATES];
	r2_worker_t workers[R2_WORKERS_MAX];
	int n_workers;
	int n_spare;
	FILE *record;
	int64_t began_at;
	GHashTable *done;    /* tasks whose end "done" was taken note of */
	GHashTable *started; /* task to the time of its last start */
	GArray *lates;	     /* r2_late_t that wait */
	char late_task[R2_TASK_MAX]; /* the next start of it is to be late */
	int64_t late_by;
	net_timer_t *timer;
	net_server_t *server;
	/* Results. */
	int starts;
	int n_done;
	int n_failed;
	int n_alone;
	int n_lost;
	int n_refused_values; /* of the store: larger than it takes */
	int route;	      /* starts on an executor of another kind */
	int twice;	      /* starts that break TWICE */
	char first[200];
};

/* r2_main.c */
void r2_note(r2_t *r2, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* r2_worker.c */
void r2_workers_begin(r2_t *r2, int port);
void r2_workers_tick(r2_t *r2, int64_t now);
/* The worker's process dies.  It is back after "back", under its id if "same".
 */
void r2_worker_crash(r2_worker_t *worker, int64_t back, bool same);
/* The worker drains, and leaves with its instance after "time". */
void r2_worker_drain(r2_worker_t *worker, int64_t time);
/* The instance's worker ends by order; one of "pool" follows after "back". */
void r2_worker_order(r2_worker_t *worker, const char *pool, int64_t back,
		     const char *state);

#endif
