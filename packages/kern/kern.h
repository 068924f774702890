/*
 * kern - service registry and periodic threads of a process.
 *
 * Services register under a name and find each other by name.  They start in
 * the order of registration and stop in the reverse order.  A kern_thread_t is
 * a thread with a periodic function and an inbox: the queue of messages that
 * other threads post to it.  The inbox is a ring, a queue of fixed size that
 * refuses messages while it is full.
 */
#ifndef KERN_H
#define KERN_H

#include "base.h"

#define KERN_ERROR kern_error_quark()
GQuark kern_error_quark(void);

typedef enum kern_error {
	KERN_ERROR_DUPLICATE, /* name is taken or table is full */
	KERN_ERROR_START,     /* a service failed to start */
	KERN_ERROR_THREAD,    /* the thread cannot be created */
	KERN_ERROR_MAX
} kern_error_t;

typedef struct kern kern_t;

typedef struct kern_service_ops {
	/* Start the service; it may use services registered earlier. */
	bool (*start)(void *service, kern_t *kern, GError **err);
	/* Stop and join all threads; called only if start succeeded. */
	void (*stop)(void *service);
} kern_service_ops_t;

/* Create a registry as a talloc child of "ctx"; "log" must outlive it. */
kern_t *kern_new(const void *ctx, const base_log_t *log);

/* The log of the process. */
const base_log_t *kern_log(const kern_t *kern);

/* Register "service".  "name" and "ops" are not copied and must outlive it. */
bool kern_register(kern_t *kern, const char *name,
		   const kern_service_ops_t *ops, void *service, GError **err);

/* The service registered under "name", or NULL. */
void *kern_find(const kern_t *kern, const char *name);

/*
 * Start all services.  If one fails, the services that were started are
 * stopped and the error names the one that failed.
 */
bool kern_start(kern_t *kern, GError **err);

/* Stop all started services in reverse order. */
void kern_stop(kern_t *kern);

/*
 * A bounded queue of pointers for many producers and one consumer.
 */
typedef struct kern_ring kern_ring_t;

/* "size" must be a power of two; the ring holds size - 1 messages. */
kern_ring_t *kern_ring_new(const void *ctx, unsigned size);

/* Append "msg"; false if the ring is full, and "msg" stays with the caller. */
bool kern_ring_put(kern_ring_t *ring, void *msg);

/*
 * Take the oldest message, waiting at most "wait_us".  NULL on timeout or
 * after kern_ring_wake().
 */
void *kern_ring_take(kern_ring_t *ring, int64_t wait_us);

/* Make kern_ring_take() of an empty ring return, now or at its next call. */
void kern_ring_wake(kern_ring_t *ring);

typedef struct kern_thread kern_thread_t;

typedef struct kern_thread_options {
	const char *name;   /* name of the thread, at most 15 bytes */
	int64_t period_us;  /* time between calls of tick */
	unsigned ring_size; /* size of the inbox, a power of two */
	void *arg;
	void (*tick)(void *arg, int64_t now);
	/* Returns microseconds to the next tick; NULL: use period_us. */
	int64_t (*next)(void *arg);
	/* Handles "msg", which it then owns; NULL: no messages are posted. */
	void (*message)(void *arg, void *msg, int64_t now);
} kern_thread_options_t;

/* Start the thread, which calls tick immediately. */
kern_thread_t *kern_thread_start(const void *ctx,
				 const kern_thread_options_t *options,
				 GError **err);

/* Post "msg" to the inbox; false if it is full. */
bool kern_thread_post(kern_thread_t *thread, void *msg);

/* Wake the thread to call tick immediately. */
void kern_thread_wake(kern_thread_t *thread);

/* Whether the thread was told to stop; long work must poll this. */
bool kern_thread_is_stopping(const kern_thread_t *thread);

/* Stop and join the thread; messages left in the inbox are dropped. */
void kern_thread_stop(kern_thread_t *thread);

#endif
