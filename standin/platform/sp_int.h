/*
 * sp - a stand-in for the users' platform on loopback: its store, its
 * workers and its instances, with switches for what goes wrong and records of
 * its own from which the rules are judged.
 */
#ifndef SP_INT_H
#define SP_INT_H

#include <jansson.h>
#include <string.h>

#include "net.h"

#define SP_WORKERS_MAX 64

typedef struct sp sp_t;

typedef struct sp_item {
	char *key;
	char *value; /* base64, as it came */
	int64_t revision, created, lease;
} sp_item_t;

typedef struct sp_event {
	char *key;
	char *value; /* NULL: it went */
	int64_t revision, created, lease;
} sp_event_t;

typedef struct sp_lease {
	int64_t id, ttl, until;
} sp_lease_t;

typedef struct sp_watch {
	net_exchange_t *exchange;
	char *prefix;
	int64_t after, until;
} sp_watch_t;

typedef struct sp_run {
	char task[64];
	char job[32];
	int64_t number, ends_at;
	int64_t cpu;
} sp_run_t;

typedef struct sp_end {
	int64_t number;
	sp_run_t run;
	const char *how;
} sp_end_t;

typedef struct sp_hold {
	net_exchange_t *exchange;
	int64_t until;
} sp_hold_t;

typedef struct sp_worker {
	sp_t *sp;
	int index;
	char id[32], machine[32], address[32], pool[32];
	bool up;
	double rate; /* of its clock */
	int64_t born, lease, fence, next_end, back_at;
	bool kept_up; /* it is away for its upkeep */
	bool mute;    /* it takes calls and does not even read them */
	bool one_way; /* it does what it is told, its answers are lost */
	GArray *runs, *ends, *stopped;
	sp_hold_t hold;
	net_server_t *server;
} sp_worker_t;

/* The store's second port, after the first. */
#define SP_SECOND 70

/* What goes wrong in the store. */
typedef enum sp_trouble {
	SP_FINE,
	SP_BUSY,   /* 503 */
	SP_SILENT, /* no answer */
	SP_TROUBLE_MAX
} sp_trouble_t;

struct sp {
	net_loop_t *loop;
	net_timer_t *tick;
	int port;
	const char *run; /* the name that the test gave */
	int listed;	 /* first port that workers say they are at */
	int drift;	 /* percent that workers' clocks are off */
	int64_t revision, next_lease, begun;
	GHashTable *items;
	GPtrArray *events;
	GArray *leases;
	GPtrArray *watches;
	GPtrArray *silent; /* exchanges that get no answer */
	sp_trouble_t trouble;
	int lose;	   /* of a hundred changes: done and not answered */
	int task_ms;	   /* how long a task takes */
	int back_ms;	   /* how long an upkeep or a move takes */
	int64_t compacted; /* the history up to this revision is gone */
	bool advice; /* starts need a ticket; workers of even number get one */
	bool hold_leases; /* none of them runs out */
	base_rng_t rng;
	sp_worker_t workers[SP_WORKERS_MAX];
	int n_workers;
	/* The judge's records. */
	GHashTable *done;  /* tasks whose end was noted */
	GHashTable *tasks; /* by name: sp_task_t */
	int starts, finished, broken, upkeeps, questions, tickets_refused;
	int upkeeps_most; /* at once */
	char fault[160];
	net_server_t *control;
	net_server_t *second; /* the store again, for the entry it turns away */
	bool turns_away;
};

/* sp_store.c */
void sp_store_serve(sp_t *sp, net_exchange_t *exchange, const char *path);
void sp_store_tick(sp_t *sp, int64_t now);
/* Write a key without a caller: workers' entries, the operator's. */
void sp_store_put(sp_t *sp, const char *key, const char *text);
void sp_store_drop(sp_t *sp, const char *key);
bool sp_store_in_trouble(sp_t *sp, net_exchange_t *exchange);
char *sp_store_text(sp_t *sp, const char *key);
/* Every lease is over. */
void sp_store_lapse(sp_t *sp);
/* The history is dropped: watches from before have to read anew. */
void sp_store_compact(sp_t *sp);

/* sp_switch.c */
/* False where the query has no switch that is known. */
bool sp_switch(sp_t *sp, const char *path);

/* sp_worker.c */
void sp_workers_begin(sp_t *sp, int n, int base_port);
void sp_workers_tick(sp_t *sp, int64_t now);
void sp_worker_end_life(sp_worker_t *worker);
void sp_worker_begin_life(sp_worker_t *worker);
void sp_instances_serve(sp_t *sp, net_exchange_t *exchange, const char *path);

/* sp_advice.c */
void sp_advice_serve(sp_t *sp, net_exchange_t *exchange);
/* Whether the start carries what it needs. */
bool sp_advice_allows(const sp_worker_t *worker, const sp_run_t *run,
		      const json_t *root);

/* sp_record.c */
GHashTable *sp_records_new(void);
void sp_record_start(sp_t *sp, const char *task);
void sp_record_done(sp_t *sp, const char *task);
void sp_records_serve(const sp_t *sp, net_exchange_t *exchange);

/* sp_main.c */
/* "exchange" NULL: whoever asked gets no answer. */
void sp_reply_json(net_exchange_t *exchange, int status, json_t *body);
char *sp_query(const char *path, const char *name);
void sp_broke(sp_t *sp, const char *rule, const sp_run_t *run);

#endif
