/*
 * standin_tasks - declarations shared by the files of the pod API.
 */
#ifndef STANDIN_TASKS_H
#define STANDIN_TASKS_H

#include <stdlib.h>

#include "standin_int.h"

#define PODS_PATH "/api/v1/namespaces/jobs/pods"
#define ANNOTATION_PREFIX "cactusfield/"
#define WORKER_INTERVAL_US (20 * BASE_MS)

typedef enum worker_mode {
	WORKER_OK,
	WORKER_SILENT, /* runs its tasks but does not report */
	WORKER_FAIL,   /* fails every task */
} worker_mode_t;

typedef struct pod {
	json_t *json;	/* as the API returns it */
	int64_t serial; /* in order of creation */
	int64_t revision;
	int64_t visible_at; /* when the worker sees the last change */
	bool is_started, is_ended;
	int64_t started_at, ends_at, reported_at;
	int64_t reported_revision; /* revision of the last report */
	int64_t cpu;		   /* millicores that the worker applies */
	int run_index;		   /* -1: none */
} pod_t;

typedef struct task_run {
	char name[ID_MAX * 2];
	char worker[ID_MAX];
	int incarnation;
	int64_t started_at, ended_at; /* ended_at 0: still running */
	char result[16];
} task_run_t;

typedef struct tasks {
	pthread_mutex_t lock;
	GHashTable *pods;  /* name -> pod_t * */
	GHashTable *modes; /* worker -> worker_mode_t */
	GArray *runs;
	int64_t revision;
	int64_t serial; /* of the last pod */
	int64_t lag_us;
	int answers_to_drop; /* answers to writes still to drop */
	bool is_down;	     /* writes are dropped before they take effect */
	standin_t *standin;
} tasks_t;

extern tasks_t tasks;

/* Main function of the thread that runs the workers. */
void *tasks_run_workers(void *arg);

/* Registers the websocket handler of the pod watch. */
void tasks_serve_watch(struct mg_context *ctx, standin_t *s);

/* HTTP handlers. */
int tasks_on_switch(struct mg_connection *conn, void *arg);
int tasks_on_records(struct mg_connection *conn, void *arg);

/* Marks a pod as changed: the API shows it at once, the worker after lag_us. */
void tasks_mark_changed(pod_t *pod);

/* The object at "key", created if missing. */
json_t *tasks_get_object(json_t *json, const char *key);

const char *tasks_get_string(const json_t *json, const char *part,
			     const char *key);

#endif
