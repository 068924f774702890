/*
 * load - a bounded load on entries and a check of its history.
 *
 * "load run" plays callers behind a balancer and writes one JSON line for
 * each request.  "load check" compares these lines with the endpoints' own
 * records and says which promises were kept.  "load get" fetches a page, for
 * scripts.  Not shipped.
 */
#ifndef LOAD_INT_H
#define LOAD_INT_H

#include <argtable2.h>
#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "conf.h"
#include "plat.h"

#define TARGETS_MAX 64
#define SERVICES_MAX 16

/*
 * What the caller saw.
 */
typedef enum seen {
	SEEN_ANSWERED,
	SEEN_NOT_RUN,
	SEEN_UNKNOWN,
	SEEN_UNREACHED, /* no entry took the connection */
	SEEN_BROKEN,	/* connection ended without an answer */
	SEEN_WRONG,	/* an answer to another request, or not whole */
	SEEN_MAX
} seen_t;

extern const char *const seen_names[SEEN_MAX];

typedef struct target {
	plat_address_t caller;
	plat_address_t operators; /* port 0: always ready */
	atomic_int ready;
	atomic_int epoch; /* counts how often it became unready */
} target_t;

typedef struct flow {
	const conf_class_t *class;
	double rate; /* requests a second */
} flow_t;

typedef struct load {
	target_t targets[TARGETS_MAX];
	size_t target_count;
	flow_t *flows;
	size_t flow_count;
	int workers;
	int64_t until;
	int64_t work_us; /* asked of the endpoint */
	int answer_bytes;
	int repeat_percent; /* not repeatable requests sent twice */
	bool shared_keys;   /* all workers use the same ones */
	int deadline_ms;    /* 0: none told */
	uint64_t seed;
	uint64_t ids; /* begins the requests' ids; keys go by the seed */
	FILE *log;
	pthread_mutex_t log_lock;
	atomic_int next_worker;
	atomic_int stop;
} load_t;

int load_run(int argc, char **argv);
int load_check(int argc, char **argv);
int load_get(int argc, char **argv);
int load_bench(int argc, char **argv);

/* Keep each target's readiness up to date until load->stop. */
void *load_balance(void *arg);

/* One worker: requests of all flows at its share of the rates. */
void *load_work(void *arg);

/* "ADDRESS:PORT" below "ctx"; ends the program when it is none. */
plat_address_t load_address(const void *ctx, const char *text);

#endif
