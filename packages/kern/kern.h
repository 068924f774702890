/*
 * kern - the micro-kernel of a process.
 *
 * Services register under a name and find each other by name.  They start in
 * the order of registration and stop in the reverse order.  A duty is a
 * thread with one job, an inbox (a bounded ring) and a period.
 */
#ifndef KERN_H
#define KERN_H

#include "base.h"

#define KERN_ERROR kern_error_quark()
GQuark kern_error_quark(void);

typedef enum kern_error {
	KERN_ERROR_DUPLICATE, /* a service of that name is there already */
	KERN_ERROR_START,     /* a service did not start */
	KERN_ERROR_THREAD,    /* no thread to be had */
	KERN_ERROR_MAX
} kern_error_t;

typedef struct kern kern_t;

typedef struct kern_service_ops {
	/* Make ready and begin; may find services registered earlier. */
	bool (*start)(void *service, kern_t *kern, GError **err);
	/* End and join all threads; called only after a start that worked. */
	void (*stop)(void *service);
} kern_service_ops_t;

/* A new kernel below "ctx"; "log" must outlive it. */
kern_t *kern_new(const void *ctx, const base_log_t *log);

/* The log of the process. */
const base_log_t *kern_log(const kern_t *kern);

/* Register "service" under "name" (kept, not copied). */
bool kern_register(kern_t *kern, const char *name,
		   const kern_service_ops_t *ops, void *service, GError **err);

/* The service of that name, or NULL. */
void *kern_find(const kern_t *kern, const char *name);

/*
 * Start all services.  When one fails, those that started are stopped again
 * and the error names the service.
 */
bool kern_start(kern_t *kern, GError **err);

/* Stop what was started, last first. */
void kern_stop(kern_t *kern);

/*
 * A ring of pointers, bounded, for many senders and one receiver.
 */
typedef struct kern_ring kern_ring_t;

/* "size" must be a power of two; it holds size - 1 messages. */
kern_ring_t *kern_ring_new(const void *ctx, unsigned size);

/* Append; false when full, and nothing is kept. */
bool kern_ring_put(kern_ring_t *ring, void *msg);

/* Take the oldest, waiting at most "wait_us"; NULL when there is none. */
void *kern_ring_take(kern_ring_t *ring, int64_t wait_us);

/* Make a waiting receiver return. */
void kern_ring_wake(kern_ring_t *ring);

typedef struct kern_duty kern_duty_t;

typedef struct kern_duty_options {
	const char *name;   /* at most 15 bytes: the thread's name */
	int64_t period_us;  /* between calls of tick */
	unsigned ring_size; /* of the inbox, a power of two */
	void *arg;
	void (*tick)(void *arg, int64_t now);
	/* Microseconds until the next tick; NULL: always period_us. */
	int64_t (*next)(void *arg);
	/* May be NULL when nobody posts.  Owns "msg". */
	void (*message)(void *arg, void *msg, int64_t now);
} kern_duty_options_t;

/* Start the thread; the first tick comes at once. */
kern_duty_t *kern_duty_start(const void *ctx,
			     const kern_duty_options_t *options, GError **err);

/* Post to the inbox; false when it is full. */
bool kern_duty_post(kern_duty_t *duty, void *msg);

/* Make the next tick come at once. */
void kern_duty_wake(kern_duty_t *duty);

/* Whether the duty was told to stop; long work asks now and then. */
bool kern_duty_stopping(const kern_duty_t *duty);

/* Stop and join; messages left in the inbox are dropped. */
void kern_duty_stop(kern_duty_t *duty);

#endif
