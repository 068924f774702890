/*
 * standin_tasks - what the files of the pod API share.
 */
#ifndef STANDIN_TASKS_H
#define STANDIN_TASKS_H

#include <stdlib.h>

#include "standin_int.h"

#define PODS_PATH "/api/v1/namespaces/jobs/pods"
#define NOTE "cactusfield/"
#define STEP_US (20 * BASE_MS)

typedef enum worker_mode {
	WORKER_OK,
	WORKER_SILENT, /* runs on and says nothing */
	WORKER_FAIL,   /* every task */
} worker_mode_t;

typedef struct pod {
	json_t *json;	/* as the API shows it */
	int64_t serial; /* by creation */
	int64_t revision;
	int64_t seen_at; /* when its worker sees the last change */
	bool begun, over;
	int64_t began_at, ends_at, told_at;
	int64_t told; /* revision */
	int64_t cpu;  /* thousandths, as its worker runs it */
	int run;
} pod_t;

typedef struct task_run {
	char name[ID_MAX * 2];
	char worker[ID_MAX];
	int incarnation;
	int64_t began, ended; /* 0: still runs */
	char how[16];
} task_run_t;

typedef struct tasks {
	pthread_mutex_t lock;
	GHashTable *pods;  /* name to pod_t */
	GHashTable *modes; /* worker to mode */
	GArray *runs;
	int64_t revision;
	int64_t serial; /* of the last pod */
	int64_t lag_us;
	int lose;  /* answers to writes still to be lost */
	bool down; /* writes are lost before they take effect */
	standin_t *standin;
} tasks_t;

extern tasks_t tasks;

/* The workers' thread. */
void *tasks_work(void *arg);

/* The watch of pods. */
void tasks_serve_watch(struct mg_context *ctx, standin_t *s);

/* Handlers. */
int tasks_on_switch(struct mg_connection *conn, void *arg);
int tasks_on_records(struct mg_connection *conn, void *arg);

/* A change that others see at once and the worker after the lag. */
void tasks_touch(pod_t *pod);

/* The object below "key", made if it is not there. */
json_t *tasks_section(json_t *json, const char *key);

const char *tasks_text(const json_t *json, const char *part, const char *key);

#endif
