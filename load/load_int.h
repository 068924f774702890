/*
 * load - load generator for entries, and checker of the recorded requests.
 *
 * "load run" simulates callers behind a load balancer and writes one JSON line
 * for each request.  "load check" compares these lines with the endpoints' own
 * records and counts violations of the guarantees to callers.  "load get"
 * fetches a page, for scripts.  "load bench" measures throughput and latency.
 * Not installed.
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

/* The result of a request as the caller saw it. */
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
	plat_address_t operators; /* port 0: not polled, always ready */
	atomic_int ready;
	atomic_int epoch; /* number of changes from ready to unready */
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
	int64_t work_us; /* run time requested of the endpoint */
	int answer_bytes;
	int repeat_percent; /* of the non-repeatable requests, sent twice */
	bool shared_keys;   /* all workers use the same idempotency keys */
	int deadline_ms;    /* 0: no deadline header */
	uint64_t seed;
	uint64_t ids; /* first number in request ids; keys use the seed */
	FILE *log;
	pthread_mutex_t log_lock;
	atomic_int next_worker;
	atomic_int stop;
} load_t;

int load_run(int argc, char **argv);
int load_check(int argc, char **argv);
int load_get(int argc, char **argv);
int load_bench(int argc, char **argv);

/* Thread that polls the readiness of each target until load->stop. */
void *load_balance(void *arg);

/* Worker thread: sends requests of all flows at its share of the rates. */
void *load_work(void *arg);

/* Parses "ADDRESS:PORT", allocating on "ctx"; exits with 2 when malformed. */
plat_address_t load_address(const void *ctx, const char *text);

#endif
