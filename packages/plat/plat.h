/*
 * plat - clients of the platform.
 *
 * The store is accessed through the JSON gateway of etcd v3, the instance list
 * as EndpointSlice objects (discovery.k8s.io/v1), tasks as Kubernetes pods and
 * reboots through Redfish.  Each client implements a table of function
 * pointers, so that another platform needs only a new implementation.
 */
#ifndef PLAT_H
#define PLAT_H

#include "base.h"
#include "jobs.h"

#define PLAT_ERROR plat_error_quark()
GQuark plat_error_quark(void);

typedef enum plat_error {
	/* No effect: the request was not sent, or only a read was lost. */
	PLAT_ERROR_UNAVAILABLE,
	PLAT_ERROR_UNKNOWN,  /* response lost; a write may have taken effect */
	PLAT_ERROR_REJECTED, /* request refused, or response malformed */
	PLAT_ERROR_MAX
} plat_error_t;

#define PLAT_VALUE_MAX (1024 * 1024) /* largest value, in bytes */

typedef struct plat_address {
	const char *host; /* numeric IP address */
	int port;
	const char *key; /* bearer token; NULL: none */
} plat_address_t;

/*
 * A key of the store with its value.  "mod_revision" is 0 if the key is absent.
 */
typedef struct plat_kv {
	base_str_t key;
	base_str_t value;
	int64_t mod_revision;
	int64_t create_revision;
	int64_t lease;
} plat_kv_t;

typedef struct plat_kvs {
	plat_kv_t *items;
	size_t count;
	size_t total; /* matching keys, including those not returned */
	/* Revision of the store at the time of the read. */
	int64_t revision;
} plat_kvs_t;

typedef enum plat_cas {
	PLAT_CAS_DONE,	   /* written */
	PLAT_CAS_CONFLICT, /* a condition failed; not written */
	PLAT_CAS_FAILED,   /* written at most if "err" is PLAT_ERROR_UNKNOWN */
	PLAT_CAS_MAX
} plat_cas_t;

/*
 * A transaction that writes one or two keys.  It takes effect only if "key"
 * still has the mod_revision "expected" (0: absent) and, if "fence_key" is set,
 * that key still has the create_revision "fence_revision".  The fence rejects
 * writes of a holder that lost its duty, for example while it was paused.
 */
typedef struct plat_put {
	const char *key;
	base_str_t value;
	int64_t expected;
	int64_t lease;	       /* lease to attach to "key"; 0: none */
	const char *fence_key; /* NULL: no fence */
	int64_t fence_revision;
	/* Second key, whose revision is not checked; NULL: none. */
	const char *extra_key;
	base_str_t extra_value;
} plat_put_t;

typedef struct plat_store plat_store_t;

typedef struct plat_store_ops {
	/*
	 * Read "key" or, if "prefix" is true, all keys that begin with it.
	 * The result is allocated below "ctx".
	 */
	bool (*range)(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err);
	/* Like range, but without the values. */
	bool (*keys)(plat_store_t *store, const void *ctx, const char *key,
		     bool prefix, plat_kvs_t *out, GError **err);
	/*
	 * Like range, but only keys whose mod_revision is above "since", the
	 * revision of an earlier read.  An implementation may return more.
	 */
	bool (*changes)(plat_store_t *store, const void *ctx, const char *key,
			bool prefix, int64_t since, plat_kvs_t *out,
			GError **err);
	/* Write; sets "*revision" to the new mod_revision. */
	plat_cas_t (*cas)(plat_store_t *store, const plat_put_t *put,
			  int64_t *revision, GError **err);
	/*
	 * Create a lease that expires "ttl_s" seconds after its last
	 * keep-alive.  Returns its id, or 0 on error.
	 */
	int64_t (*lease_grant)(plat_store_t *store, int64_t ttl_s,
			       GError **err);
	/* Renew a lease; PLAT_ERROR_REJECTED if it no longer exists. */
	bool (*lease_keep)(plat_store_t *store, int64_t lease, GError **err);
	bool (*lease_revoke)(plat_store_t *store, int64_t lease, GError **err);
} plat_store_ops_t;

/* First member of every implementation. */
struct plat_store {
	const plat_store_ops_t *ops;
};

/*
 * plat_circuit - a circuit breaker for calls to the store.
 *
 * After PLAT_CIRCUIT_FAILURES consecutive failures the circuit opens: calls
 * are refused for a backoff that doubles from PLAT_CIRCUIT_MIN_US up to
 * PLAT_CIRCUIT_MAX_US.  Jitter keeps entries from retrying all at once.  After
 * the backoff one probe call is allowed.  Not thread-safe.
 */
#define PLAT_CIRCUIT_FAILURES 3
#define PLAT_CIRCUIT_MIN_US (200 * BASE_MS)
#define PLAT_CIRCUIT_MAX_US (5 * BASE_SEC)

typedef struct plat_circuit {
	int failures;	    /* consecutive failed calls */
	int64_t open_until; /* no probe before this; 0: closed */
	int64_t backoff_us;
	bool probing; /* the probe call is in progress */
	base_rng_t rng;
} plat_circuit_t;

/* Whether a call may be made.  If so, its result must be recorded. */
bool plat_circuit_allows(plat_circuit_t *circuit, int64_t now);

/* Record whether the store responded to an allowed call. */
void plat_circuit_record(plat_circuit_t *circuit, bool answered, int64_t now);

/*
 * plat_guard - rate-limited clients of the store.
 *
 * Each purpose has its own client with its own connection and rate limit; all
 * share one circuit breaker.  A call above the rate limit or while the circuit
 * is open fails at once with PLAT_ERROR_UNAVAILABLE, so that calls never queue.
 */
typedef enum plat_purpose {
	PLAT_FOR_CONFIG,
	PLAT_FOR_FLEET,
	PLAT_FOR_EPOCH,
	PLAT_FOR_DUTY,
	PLAT_FOR_MEMBERS,
	PLAT_FOR_JOBS,
	PLAT_PURPOSE_MAX
} plat_purpose_t;

typedef struct plat_guard plat_guard_t;

typedef struct plat_guard_options {
	/* Create a client below "ctx"; called once for each purpose. */
	plat_store_t *(*connect)(const void *ctx, const plat_address_t *to);
	plat_address_t address;
	double calls_s[PLAT_PURPOSE_MAX]; /* rate limit; burst: one second */
	uint64_t seed;			  /* seed of the jitter */
} plat_guard_options_t;

plat_guard_t *plat_guard_new(const void *ctx,
			     const plat_guard_options_t *options);

/* The client for "purpose"; valid as long as the guard. */
plat_store_t *plat_guard_store(plat_guard_t *guard, plat_purpose_t purpose);

/* "config", "fleet", "epoch", "duty", "members" or "jobs". */
const char *plat_purpose_name(plat_purpose_t purpose);

typedef struct plat_calls {
	uint64_t made;	 /* calls passed to the client */
	uint64_t failed; /* calls passed on that got no response */
	/* Calls refused by the rate limit or the circuit. */
	uint64_t refused;
} plat_calls_t;

plat_calls_t plat_guard_calls(plat_guard_t *guard, plat_purpose_t purpose);

/*
 * plat_duty - a role, such as deciding for the fleet, that at most one entry
 * holds at a time under a lease.
 *
 * The key /cactusfield/duty/NAME is attached to the holder's lease.  Its
 * create_revision is the fencing token: a write with plat_duty_fence() takes
 * effect only while the key that this holder created exists.
 */
typedef struct plat_duty plat_duty_t;

typedef struct plat_duty_options {
	plat_store_t *store;
	const char *name;
	const char *holder; /* name and incarnation of this entry */
	int64_t ttl_s;	    /* time to live of the lease, in seconds */
} plat_duty_options_t;

plat_duty_t *plat_duty_new(const void *ctx, const plat_duty_options_t *options);

/*
 * Acquire the duty or renew its lease.  Call about three times per "ttl_s".
 * Returns whether the duty is held.
 */
bool plat_duty_tick(plat_duty_t *duty, int64_t now);

/*
 * Whether the duty is certainly held at "now".  Turns false before the lease
 * expires in the store.
 */
bool plat_duty_held(const plat_duty_t *duty, int64_t now);

/* When plat_duty_held() turns false without renewal; 0: not held. */
int64_t plat_duty_held_until(const plat_duty_t *duty);

/* Make "put" conditional on this holder's fencing token. */
void plat_duty_fence(const plat_duty_t *duty, plat_put_t *put);

/* Revoke the lease, so that another entry can acquire the duty at once. */
void plat_duty_release(plat_duty_t *duty);

/*
 * Create a client of etcd's JSON gateway below "ctx".  It may be shared by
 * threads; their calls are serialized.
 */
plat_store_t *plat_etcd_new(const void *ctx, const plat_address_t *address);

/*
 * Like cas, but if the response is lost, the key is read back: if it has
 * changed, the write is done where the key holds the same bytes, and otherwise
 * a conflict.  PLAT_CAS_FAILED with PLAT_ERROR_UNKNOWN remains if the key is
 * unchanged, since the store may still carry the write out, and if the read
 * fails too; other errors are passed on.
 */
plat_cas_t plat_cas_confirmed(plat_store_t *store, const plat_put_t *put,
			      int64_t *revision, GError **err);

/* The JSON response to a GET of "path"; release it with json_decref(). */
struct json_t *plat_get_json(const plat_address_t *address, const char *path,
			     GError **err);

/* The JSON response to a POST of the JSON text "body". */
struct json_t *plat_post_json(const plat_address_t *address, const char *path,
			      const char *body, GError **err);

typedef enum plat_state {
	PLAT_LIVE,
	PLAT_LEAVING,
	PLAT_STATE_MAX
} plat_state_t;

/*
 * An instance as the platform lists it.  It is identified by id and
 * incarnation; its address may be reused by another instance.
 */
typedef struct plat_instance {
	char *id;
	char *incarnation;
	char *zone;
	char *rack;
	char *address; /* numeric IP address */
	int port;
	plat_state_t state;
} plat_instance_t;

typedef struct plat_instances {
	plat_instance_t *items;
	size_t count;
} plat_instances_t;

typedef struct plat_list plat_list_t;

typedef struct plat_list_ops {
	/*
	 * All instances of "zone" (NULL: of every zone), allocated below "ctx".
	 * Served from the cache that follow() maintains if that is not older
	 * than PLAT_LIST_FRESH_US.
	 */
	bool (*read)(plat_list_t *list, const void *ctx, const char *zone,
		     plat_instances_t *out, GError **err);
	/*
	 * Update the cache.  The first call, and the first after an error,
	 * reads the whole list; others wait up to PLAT_LIST_WAIT_S for changes.
	 * Sets "*changed" to true if read() may return something new, also if
	 * another thread's read() has updated the cache.
	 */
	bool (*follow)(plat_list_t *list, bool *changed, GError **err);
} plat_list_ops_t;

#define PLAT_LIST_WAIT_S 1
#define PLAT_LIST_FRESH_US (3 * BASE_SEC)

struct plat_list {
	const plat_list_ops_t *ops;
};

/* Create a client of the EndpointSlice list below "ctx". */
plat_list_t *plat_slices_new(const void *ctx, const plat_address_t *address);

/*
 * plat_action - requests to the platform to act on an instance.
 */
typedef struct plat_action plat_action_t;

typedef struct plat_action_ops {
	/*
	 * Reboot the instance if it still has that incarnation.  After an
	 * error the reboot may have happened; the call may be repeated.
	 */
	bool (*reboot)(plat_action_t *action, const char *id,
		       uint64_t incarnation, GError **err);
} plat_action_ops_t;

struct plat_action {
	const plat_action_ops_t *ops;
};

/*
 * plat_tasks - runs tasks on workers.
 *
 * An order concerns one attempt of a job on one worker.  Its name, formed from
 * job and attempt, is never reused; sending an order twice has the same effect
 * as sending it once.  Operations that fail with PLAT_ERROR_REJECTED are
 * refused permanently; after any other error the order may be sent again.
 */
typedef struct plat_tasks plat_tasks_t;

/* "report" is NULL for a task that exists but has no state to report yet. */
typedef void (*plat_report_fn_t)(void *arg, base_str_t job, int64_t attempt,
				 const jobs_report_t *report);

typedef struct plat_tasks_ops {
	bool (*start)(plat_tasks_t *tasks, const jobs_order_t *order,
		      GError **err);
	/* Save the task's state, then stop the task. */
	bool (*checkpoint)(plat_tasks_t *tasks, const jobs_order_t *order,
			   GError **err);
	/* Reduce the task to 1/JOBS_THROTTLE_DIVISOR of its cores. */
	bool (*throttle)(plat_tasks_t *tasks, const jobs_order_t *order,
			 GError **err);
	/* Give a throttled task all its cores again. */
	bool (*resume)(plat_tasks_t *tasks, const jobs_order_t *order,
		       GError **err);
	/* Stop the task or, if it has not started, prevent its start. */
	bool (*stop)(plat_tasks_t *tasks, const jobs_order_t *order,
		     GError **err);
	/*
	 * Prevent an attempt that has not started from ever starting.  It is
	 * then reported as refused, or as gone if the order is repeatable.
	 */
	bool (*forbid)(plat_tasks_t *tasks, const jobs_order_t *order,
		       GError **err);
	/* Delete the platform's record of a task that has ended. */
	bool (*forget)(plat_tasks_t *tasks, const char *name, GError **err);
	/*
	 * The first call, and the first after an error, reports every task and
	 * sets "*whole" to true.  Others report what changes within
	 * PLAT_TASKS_WAIT_S.
	 */
	bool (*reports)(plat_tasks_t *tasks, plat_report_fn_t report, void *arg,
			bool *whole, GError **err);
} plat_tasks_ops_t;

#define PLAT_TASKS_WAIT_S 1

struct plat_tasks {
	const plat_tasks_ops_t *ops;
};

/* Create a client of the Kubernetes pod API below "ctx".  Not thread-safe. */
plat_tasks_t *plat_pods_new(const void *ctx, const plat_address_t *address);

/* Create a client of Redfish (DSP0266) below "ctx".  Not thread-safe. */
plat_action_t *plat_redfish_new(const void *ctx, const plat_address_t *address);

#endif
