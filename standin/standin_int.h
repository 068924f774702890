/*
 * standin - a test double of the platform for tests and the demo.
 *
 * One process serves the store (a subset of etcd's v3 JSON gateway), the
 * lagging instance list (EndpointSlice list), the reboot action (Redfish
 * ComputerSystem.Reset) and the endpoints, all on loopback.  Switches over
 * HTTP inject faults.  Not shipped.
 *
 * Control ports are PORT, PORT+1, ..., one for each zone, so that a zone can be
 * isolated from the platform.  Instance number i listens on BASE+i.
 */
#ifndef STANDIN_INT_H
#define STANDIN_INT_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "base.h"

#define ZONES_MAX 8
#define ID_MAX 64		   /* bytes */
#define BODY_MAX (2 * 1024 * 1024) /* bytes of a request */
#define HANG_US (3 * BASE_SEC)

typedef enum endpoint_mode {
	MODE_OK,
	MODE_FAIL,	  /* status 500 after running */
	MODE_REFUSE,	  /* documented refusal (503, X-Not-Run) */
	MODE_TRUNCATE,	  /* sends half of the answer, then closes */
	MODE_DROP_ANSWER, /* runs, then closes without an answer */
	MODE_HANG,	  /* runs HANG_US longer */
	MODE_MAX
} endpoint_mode_t;

typedef struct zone {
	char name[ID_MAX];
	int instances;
	bool is_isolated; /* isolated from the platform */
} zone_t;

typedef struct instance {
	char id[ID_MAX];
	int zone;
	int rack;
	int incarnation;
	int slots; /* actual limit of concurrent requests; more are refused */
	int running;
	int64_t extra_us; /* added to each run */
	endpoint_mode_t mode;
	bool leaving;
	int64_t leaving_since;
	bool is_down;
	int64_t reboot_ends_at; /* end of a reboot; 0: none */
	int64_t listed_at;	/* when the list shows the change; 0: none */
	bool listed_leaving;
	bool listed_down;
	int listed_incarnation;
	int64_t listed_revision;
} instance_t;

typedef struct run {
	int instance;
	int incarnation;
	char request[ID_MAX];
	char key[ID_MAX];
	char caller[ID_MAX];
	char service[ID_MAX];
	int64_t started_at;
	int64_t ended_at;   /* 0: still running */
	int64_t leaving_us; /* since leaving began; 0: not leaving */
	bool interrupted;   /* by a reboot */
} run_t;

typedef struct standin {
	pthread_mutex_t lock; /* protects everything below */
	zone_t zones[ZONES_MAX];
	int zone_count;
	int per_rack;
	int port;
	int base_port;
	instance_t *instances;
	int instance_count;
	int64_t lag_us; /* delay of the instance list */
	int64_t reboot_us;
	atomic_bool list_down; /* read without the lock */
	int64_t list_revision;
	run_t *runs;
	size_t run_count;
	size_t run_alloc;
} standin_t;

/* Copies the value of a query parameter, or "" if it is absent. */
void query_param(struct mg_connection *conn, const char *name, char *out,
		 size_t len);

/*
 * Reads the whole body, NUL-terminated, into talloc memory without a parent.
 * NULL if it is larger than BODY_MAX or shorter than its Content-Length.
 */
char *read_body(struct mg_connection *conn);

/* Replies with "json" and releases it. */
int reply_json(struct mg_connection *conn, int status, json_t *json);

/* Closes the connection without a reply. */
int close_unanswered(struct mg_connection *conn);

/* Whether the control port of this connection belongs to an isolated zone. */
bool zone_is_isolated(standin_t *s, struct mg_connection *conn);

/* Register the HTTP handlers of each part. */
void store_serve(struct mg_context *ctx, standin_t *s);
void fleet_serve(struct mg_context *ctx, standin_t *s);
void tasks_serve(struct mg_context *ctx, standin_t *s);
void stall_serve(struct mg_context *ctx, standin_t *s);
int endpoint_request(struct mg_connection *conn, void *arg);
int endpoint_health(struct mg_connection *conn, void *arg);

/* Sets a switch of the store; false if there is no such switch. */
bool store_set_switch(const char *name, const char *value);

#endif
