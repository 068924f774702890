/*
 * soak - the real programs as processes on loopback, with faults from outside
 * them: signals, links that delay, lose or reset, a store that half answers,
 * workers that go silent.  What callers were told is judged against what the
 * workers recorded.
 *
 * One thread, one loop; everything random comes from the seed.  Times are
 * microseconds on the steady clock, which the stand-in's records share.
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

/* soak_link.c: a relay of one address, which may be disturbed. */
typedef enum soak_trouble {
	SOAK_LINK_FINE,
	SOAK_LINK_SLOW,	  /* what is sent arrives later */
	SOAK_LINK_SILENT, /* nothing arrives, either way */
	SOAK_LINK_DEAF,	  /* what the client sends is lost */
	SOAK_LINK_MUTE,	  /* what the server sends is lost */
	SOAK_LINK_RESET,  /* connections are reset, new ones too */
	SOAK_LINK_TROUBLE_MAX
} soak_trouble_t;

typedef struct soak_link soak_link_t;

/* Relay 127.0.0.1:"from" to 127.0.0.1:"to"; NULL: "from" cannot be bound. */
soak_link_t *soak_link_new(const void *ctx, struct event_base *base, int from,
			   int to);
/* Once it is fine, connections that lost something are reset. */
void soak_link_disturb(soak_link_t *link, soak_trouble_t trouble,
		       int64_t delay);

/* soak_process.c: a child process. */
typedef struct soak_process {
	soak_t *soak;
	char *name;
	char *log;
	char **argv;
	pid_t pid; /* 0: it does not run */
	int64_t started;
	bool paused;
	bool killed;	     /* its end is no surprise */
	int64_t terminated;  /* SIGTERM was sent; 0: no */
	int64_t restart_at;  /* 0: not to be started again */
	int64_t restart_gap; /* after an end that was asked for */
} soak_process_t;

soak_process_t *soak_process_new(soak_t *soak, const char *name,
				 char *const *argv);
void soak_process_start(soak_process_t *process);
void soak_process_signal(soak_process_t *process, int signo);
/* Note an end, start again what is due. */
void soak_process_tick(soak_process_t *process, int64_t now);
/* End it for good. */
void soak_process_end(soak_process_t *process);

/* soak_fault.c: what goes wrong, and when. */
typedef struct soak_faults soak_faults_t;

soak_faults_t *soak_faults_new(soak_t *soak);
void soak_faults_tick(soak_faults_t *faults, int64_t now);
/* All of them end now, and no other begins. */
void soak_faults_heal(soak_faults_t *faults);
int soak_faults_count(const soak_faults_t *faults);

/* soak_caller.c: callers and what they were told. */
typedef enum soak_outcome {
	SOAK_JOB_OPEN,
	SOAK_JOB_ACCEPTED,
	SOAK_JOB_REFUSED, /* each try was refused: it must not run */
	SOAK_JOB_UNKNOWN, /* one try may have been taken */
	SOAK_JOB_OUTCOME_MAX
} soak_outcome_t;

#define SOAK_STEPS 2

typedef struct soak_job {
	soak_t *soak;
	char id[17];
	int count[SOAK_STEPS]; /* tasks; the second step follows the first */
	soak_outcome_t outcome;
	bool maybe; /* one try may have been taken */
	int tries;
	int64_t accepted_at;
	int64_t cancel_at;    /* the caller changes its mind then; 0: never */
	bool cancel_sent;     /* and may have been taken */
	int64_t cancelled_at; /* acknowledged; 0: no */
	int64_t completed_at; /* first shown so; 0: not yet */
	net_timer_t *timer;
} soak_job_t;

typedef struct soak_callers soak_callers_t;

soak_callers_t *soak_callers_new(soak_t *soak);
/* Hand jobs in, ask for some, cancel some; "closing" hands none in. */
void soak_callers_tick(soak_callers_t *callers, int64_t now, bool closing);
const GPtrArray *soak_callers_jobs(const soak_callers_t *callers);
/* Accepted jobs that nobody cancelled and that are not completed. */
size_t soak_callers_owed(const soak_callers_t *callers);

/* soak_judge.c */
/* What the workers did against what callers were told. */
void soak_judge(soak_t *soak, base_str_t records);

/* soak_main.c */
/* Ports of one block; each kind has one for each of its number. */
typedef enum soak_port_kind {
	SOAK_PORT_STANDIN, /* of the store; the workers' follow */
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
	base_rng_t rng;	      /* of the faults: callers have their own */
	const char *programs; /* the directory they are in */
	const char *work;     /* logs and settings go there */
	int port;	      /* the first of a block */
	int64_t began;
	soak_process_t *standin;
	soak_process_t *nodes[SOAK_NODES];
	soak_link_t *stores[SOAK_NODES];
	soak_link_t *instances[SOAK_NODES];
	soak_link_t *peers[SOAK_NODES];
	soak_link_t *callers_links[SOAK_NODES];
	soak_link_t *workers[SOAK_WORKERS];
	net_client_t *control; /* the stand-in's */
	soak_faults_t *faults;
	soak_callers_t *callers;
	GPtrArray *broken; /* what went against a promise, as text */
};

/* Something went against a promise. */
void soak_broke(soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Tell the stand-in: a path, and a body or NULL. */
void soak_tell(soak_t *soak, const char *path, const char *body);
int soak_port(const soak_t *soak, soak_port_kind_t kind, int number);
/* The operator writes a configuration, or orders a round of upkeep. */
void soak_configure(soak_t *soak, int version);
void soak_order_upkeep(soak_t *soak, int at_most);
/* From "least" to "most", both included. */
int64_t soak_between(base_rng_t *rng, int64_t least, int64_t most);

#endif
