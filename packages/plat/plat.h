/*
 * plat - clients of the platform.
 *
 * The store is met through the JSON gateway of etcd v3, the instance list as
 * a list of EndpointSlice objects (discovery.k8s.io/v1).  Both stand behind
 * tables of function pointers, so that another platform is one small file.
 */
#ifndef PLAT_H
#define PLAT_H

#include "base.h"
#include "jobs.h"

#define PLAT_ERROR plat_error_quark()
GQuark plat_error_quark(void);

typedef enum plat_error {
	PLAT_ERROR_DOWN,    /* nothing was sent, or only a read was lost */
	PLAT_ERROR_UNKNOWN, /* a write was sent and its answer was lost */
	PLAT_ERROR_BAD,	    /* the answer makes no sense */
	PLAT_ERROR_MAX
} plat_error_t;

#define PLAT_VALUE_MAX (1024 * 1024) /* bytes of one value */

typedef struct plat_address {
	const char *host; /* IP number */
	int port;
	const char *key; /* sent as bearer token; NULL: none */
} plat_address_t;

/*
 * One key of the store.  "mod_revision" is 0 when the key is absent.
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
	size_t total;	  /* keys there are, those that were left out too */
	int64_t revision; /* of the whole store when it was read */
} plat_kvs_t;

typedef enum plat_cas {
	PLAT_CAS_DONE,	   /* written */
	PLAT_CAS_CONFLICT, /* the key had changed; not written */
	PLAT_CAS_FAILED,   /* "err" tells whether it may have been written */
	PLAT_CAS_MAX
} plat_cas_t;

/*
 * One write, of one or two keys at one revision.  It takes effect only if "key"
 * still has the mod_revision "expected" (0: absent) and, where "fence_key" is
 * set, that key still has the create_revision "fence_revision": so a duty's
 * holder that was given up while it was paused cannot write any more.
 */
typedef struct plat_put {
	const char *key;
	base_str_t value;
	int64_t expected;
	int64_t lease;	       /* 0: none */
	const char *fence_key; /* NULL: none */
	int64_t fence_revision;
	const char *also_key; /* written with it, whatever it was; NULL: none */
	base_str_t also_value;
} plat_put_t;

typedef struct plat_store plat_store_t;

typedef struct plat_store_ops {
	/* All keys that begin with "prefix" (or the one key), below "ctx". */
	bool (*range)(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err);
	/* The same without the values, for whoever only asks what changed. */
	bool (*keys)(plat_store_t *store, const void *ctx, const char *key,
		     bool prefix, plat_kvs_t *out, GError **err);
	/*
	 * Of the same keys those whose mod_revision is above "since": what
	 * changed after a read whose revision was that.
	 */
	bool (*changes)(plat_store_t *store, const void *ctx, const char *key,
			bool prefix, int64_t since, plat_kvs_t *out,
			GError **err);
	/* Write; "*revision" becomes the new mod_revision. */
	plat_cas_t (*cas)(plat_store_t *store, const plat_put_t *put,
			  int64_t *revision, GError **err);
	/* A lease that ends "ttl_s" seconds after the last keep-alive. */
	int64_t (*lease_grant)(plat_store_t *store, int64_t ttl_s,
			       GError **err);
	/* False with PLAT_ERROR_BAD when the lease is gone. */
	bool (*lease_keep)(plat_store_t *store, int64_t lease, GError **err);
	bool (*lease_revoke)(plat_store_t *store, int64_t lease, GError **err);
} plat_store_ops_t;

/* An implementation begins with this. */
struct plat_store {
	const plat_store_ops_t *ops;
};

/*
 * plat_circuit - whether the store is worth a call now.
 *
 * After PLAT_CIRCUIT_FAILURES failures in a row calls are refused for a time
 * that doubles up to a bound, with jitter, so that entries do not return all
 * at once; then one call is let through.  Not thread-safe.
 */
#define PLAT_CIRCUIT_FAILURES 3
#define PLAT_CIRCUIT_MIN_US (200 * BASE_MS)
#define PLAT_CIRCUIT_MAX_US (5 * BASE_SEC)

typedef struct plat_circuit {
	int failures;	   /* in a row */
	int64_t closed_at; /* no call before; 0: calls pass */
	int64_t pause_us;
	bool probing; /* one call is out to try */
	base_rng_t rng;
} plat_circuit_t;

/* Whether a call may be made. */
bool plat_circuit_allows(plat_circuit_t *circuit, int64_t now);

/* Tell how an allowed call ended. */
void plat_circuit_note(plat_circuit_t *circuit, bool answered, int64_t now);

/*
 * plat_guard - a store client with a budget.
 *
 * Each purpose has its own client over its own connection; all share the
 * circuit.  A call over the purpose's rate or while the circuit is open fails
 * at once with PLAT_ERROR_DOWN, so that nothing queues.
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
	/* A client below "ctx"; called once for each purpose. */
	plat_store_t *(*connect)(const void *ctx, const plat_address_t *to);
	plat_address_t address;
	double calls_s[PLAT_PURPOSE_MAX]; /* bound; bursts of a second's worth
					   */
	uint64_t seed;			  /* of the jitter */
} plat_guard_options_t;

plat_guard_t *plat_guard_new(const void *ctx,
			     const plat_guard_options_t *options);

/* The client for that purpose; lives as long as the guard. */
plat_store_t *plat_guard_store(plat_guard_t *guard, plat_purpose_t purpose);

/* "config", "fleet", "epoch", "duty", "members" or "jobs". */
const char *plat_purpose_name(plat_purpose_t purpose);

typedef struct plat_calls {
	uint64_t made;	  /* calls that reached the client */
	uint64_t failed;  /* of them, without an answer */
	uint64_t refused; /* by the budget or the circuit */
} plat_calls_t;

plat_calls_t plat_guard_calls(plat_guard_t *guard, plat_purpose_t purpose);

/*
 * plat_duty - a duty held by lease.
 *
 * The key /cactusfield/duty/NAME is bound to the holder's lease.  Its
 * create_revision is the fencing token: a write with plat_duty_fence() takes
 * effect only while the key is the one this holder made.
 */
typedef struct plat_duty plat_duty_t;

typedef struct plat_duty_options {
	plat_store_t *store;
	const char *name;
	const char *holder; /* who asks: entry and incarnation */
	int64_t ttl_s;	    /* of the lease */
} plat_duty_options_t;

plat_duty_t *plat_duty_new(const void *ctx, const plat_duty_options_t *options);

/*
 * Take or keep the duty; call about three times in "ttl_s".  Returns whether
 * it is held.
 */
bool plat_duty_tick(plat_duty_t *duty, int64_t now);

/* Whether it surely is held at "now"; ends before the store's lease does. */
bool plat_duty_held(const plat_duty_t *duty, int64_t now);

/* Until when that is so, or 0. */
int64_t plat_duty_until(const plat_duty_t *duty);

/* Put the fence of this holding into "put". */
void plat_duty_fence(const plat_duty_t *duty, plat_put_t *put);

/* Give the duty up, so that another takes it at once. */
void plat_duty_release(plat_duty_t *duty);

/*
 * A client of etcd's JSON gateway below "ctx".  Calls of several threads are
 * served one after another.
 */
plat_store_t *plat_etcd_new(const void *ctx, const plat_address_t *address);

/*
 * Like cas, but an answer that was lost is resolved by reading the key back:
 * a value with the same bytes counts as written.  PLAT_CAS_FAILED remains
 * only when reading back fails too.
 */
plat_cas_t plat_cas_sure(plat_store_t *store, const plat_put_t *put,
			 int64_t *revision, GError **err);

/* The JSON answer to a GET of "path"; the caller releases it. */
struct json_t *plat_get_json(const plat_address_t *address, const char *path,
			     GError **err);

/* The same for a POST of the JSON text "body". */
struct json_t *plat_post_json(const plat_address_t *address, const char *path,
			      const char *body, GError **err);

typedef enum plat_state {
	PLAT_LIVE,
	PLAT_LEAVING,
	PLAT_STATE_MAX
} plat_state_t;

/*
 * An instance as the platform lists it.  Its identity is id and incarnation;
 * the address may be used again by another.
 */
typedef struct plat_instance {
	char *id;
	char *incarnation;
	char *zone;
	char *rack;
	char *address; /* IP number */
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
	 * All instances of "zone" (NULL: of every zone), below "ctx".  A client
	 * that is followed answers from what it has heard while that is not
	 * older than PLAT_LIST_FRESH_US.
	 */
	bool (*read)(plat_list_t *list, const void *ctx, const char *zone,
		     plat_instances_t *out, GError **err);
	/*
	 * Read the list once, then wait up to PLAT_LIST_WAIT_S for what changes
	 * in it.  "*changed" says that read() has news.
	 */
	bool (*follow)(plat_list_t *list, bool *changed, GError **err);
} plat_list_ops_t;

#define PLAT_LIST_WAIT_S 1
#define PLAT_LIST_FRESH_US (3 * BASE_SEC)

struct plat_list {
	const plat_list_ops_t *ops;
};

/* A client of the EndpointSlice list below "ctx". */
plat_list_t *plat_slices_new(const void *ctx, const plat_address_t *address);

/*
 * plat_action - what the platform does to an instance when it is asked.
 */
typedef struct plat_action plat_action_t;

typedef struct plat_action_ops {
	/*
	 * Reboot that life of the instance; a later one is left alone.  May
	 * be asked again: an error does not tell that nothing happened.
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
 * An order names one attempt of a job on one worker; its name, job and attempt,
 * is used once.  Sending an order twice has the effect of one.  False with
 * PLAT_ERROR_BAD: the platform refuses the order for good; else it may be sent
 * again.
 */
typedef struct plat_tasks plat_tasks_t;

/* "report" is NULL for a task that is there and has nothing to say yet. */
typedef void (*plat_report_fn_t)(void *arg, base_str_t job, int64_t attempt,
				 const jobs_report_t *report);

typedef struct plat_tasks_ops {
	bool (*start)(plat_tasks_t *tasks, const jobs_order_t *order,
		      GError **err);
	/* Save its state, then stop it. */
	bool (*checkpoint)(plat_tasks_t *tasks, const jobs_order_t *order,
			   GError **err);
	/* Leave it one in JOBS_THROTTLE_PART of its cores. */
	bool (*throttle)(plat_tasks_t *tasks, const jobs_order_t *order,
			 GError **err);
	/* Give it all its cores again. */
	bool (*resume)(plat_tasks_t *tasks, const jobs_order_t *order,
		       GError **err);
	/* Stop it, or see to it that it never begins. */
	bool (*stop)(plat_tasks_t *tasks, const jobs_order_t *order,
		     GError **err);
	/*
	 * See to it that an attempt that nobody has begun never begins, which
	 * is then reported: as refused, or as gone if it may be repeated.
	 */
	bool (*forbid)(plat_tasks_t *tasks, const jobs_order_t *order,
		       GError **err);
	/* Remove what is left of a task that has ended. */
	bool (*forget)(plat_tasks_t *tasks, const char *name, GError **err);
	/*
	 * Report every task, "*whole" true; or, in later calls, what changes
	 * within PLAT_TASKS_WAIT_S.
	 */
	bool (*reports)(plat_tasks_t *tasks, plat_report_fn_t report, void *arg,
			bool *whole, GError **err);
} plat_tasks_ops_t;

#define PLAT_TASKS_WAIT_S 1

struct plat_tasks {
	const plat_tasks_ops_t *ops;
};

/* A client of Kubernetes' pod API below "ctx"; for one thread. */
plat_tasks_t *plat_pods_new(const void *ctx, const plat_address_t *address);

/* A client of Redfish (DSP0266) below "ctx"; for one thread. */
plat_action_t *plat_redfish_new(const void *ctx, const plat_address_t *address);

#endif
