/*
 * standin - a small stand-in of the platform for tests and the demo.
 *
 * One process serves the store (a subset of etcd's v3 JSON gateway), the
 * lagging instance list (EndpointSlice list), the reboot action (Redfish
 * ComputerSystem.Reset) and the endpoints, all on loopback.  Switches over
 * HTTP bring about failures.  Not shipped.
 *
 * Control ports are PORT, PORT+1, ...: one a zone, so that a zone can be cut
 * off from the platform.  Instance number i listens on BASE+i.
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

typedef enum behave {
	MODE_OK,
	MODE_FAIL,   /* status 500 after running */
	MODE_REFUSE, /* documented refusal before running */
	MODE_CUT,    /* half of the answer, then close */
	MODE_RESET,  /* runs, then closes without an answer */
	MODE_HANG,   /* runs HANG_US longer */
	MODE_MAX
} behave_t;

typedef struct zone {
	char name[ID_MAX];
	int instances;
	bool cut; /* from the platform */
} zone_t;

typedef struct instance {
	char id[ID_MAX];
	int zone;
	int rack;
	int incarnation;
	int slots; /* that it really takes; more are refused */
	int running;
	int64_t extra_us; /* added to each run */
	behave_t mode;
	bool leaving;
	int64_t leaving_since;
	bool gone;
	int64_t back_at;   /* end of a reboot; 0: none */
	int64_t listed_at; /* when the list will show the change; 0: none */
	bool listed_leaving;
	bool listed_gone;
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
	int64_t began;
	int64_t ended;	    /* 0: still running */
	int64_t leaving_us; /* since the instance was told to leave; 0: not */
	bool interrupted;   /* by a reboot */
} run_t;

typedef struct standin {
	pthread_mutex_t lock; /* of everything below */
	zone_t zones[ZONES_MAX];
	int zone_count;
	int per_rack;
	int port;
	int base_port;
	instance_t *instances;
	int instance_count;
	int64_t lag_us; /* of the list */
	int64_t reboot_us;
	atomic_bool list_down; /* read without the lock */
	int64_t list_revision;
	run_t *runs;
	size_t run_count;
	size_t run_alloc;
} standin_t;

/* A query parameter's value, or "" when absent. */
void param(struct mg_connection *conn, const char *name, char *out, size_t len);

/*
 * The whole body, NUL-terminated, below NULL; NULL when too large or when it
 * ends short of what was announced.
 */
char *read_body(struct mg_connection *conn);

/* Answer with "json", which is released. */
int answer_json(struct mg_connection *conn, int status, json_t *json);

/* End without an answer and close. */
int answer_nothing(struct mg_connection *conn);

/* Whether the control port of this connection belongs to a zone cut off. */
bool zone_is_cut(standin_t *s, struct mg_connection *conn);

/* Register the handlers of each part. */
void store_serve(struct mg_context *ctx, standin_t *s);
void fleet_serve(struct mg_context *ctx, standin_t *s);
void tasks_serve(struct mg_context *ctx, standin_t *s);
void stall_serve(struct mg_context *ctx, standin_t *s);
int endpoint_request(struct mg_connection *conn, void *arg);
int endpoint_health(struct mg_connection *conn, void *arg);

/* Switches of the store; false when there is no such switch. */
bool store_switch(const char *name, const char *value);

#endif
