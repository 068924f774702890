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

#define PLAT_ERROR plat_error_quark()
GQuark plat_error_quark(void);

typedef enum plat_error {
	PLAT_ERROR_DOWN,    /* nothing was sent, or only a read was lost */
	PLAT_ERROR_UNKNOWN, /* a write was sent and its answer was lost */
	PLAT_ERROR_BAD,	    /* the answer makes no sense */
	PLAT_ERROR_MAX
} plat_error_t;

#define PLAT_VALUE_MAX (1024 * 1024) /* bytes of one value */

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
	int64_t revision; /* of the whole store when it was read */
} plat_kvs_t;

typedef enum plat_cas {
	PLAT_CAS_DONE,	   /* written */
	PLAT_CAS_CONFLICT, /* the key had changed; not written */
	PLAT_CAS_FAILED,   /* "err" tells whether it may have been written */
	PLAT_CAS_MAX
} plat_cas_t;

typedef struct plat_store plat_store_t;

typedef struct plat_store_ops {
	/* All keys that begin with "prefix" (or the one key), below "ctx". */
	bool (*range)(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err);
	/*
	 * Write "key" if its mod_revision still is "expected" (0: absent).
	 * "lease" 0 is none.  "*revision" becomes the new mod_revision.
	 */
	plat_cas_t (*cas)(plat_store_t *store, const char *key,
			  base_str_t value, int64_t expected, int64_t lease,
			  int64_t *revision, GError **err);
	/* A lease that ends "ttl_s" seconds after the last keep-alive. */
	int64_t (*lease_grant)(plat_store_t *store, int64_t ttl_s,
			       GError **err);
	/* False with PLAT_ERROR_BAD when the lease is gone. */
	bool (*lease_keep)(plat_store_t *store, int64_t lease, GError **err);
	bool (*lease_revoke)(plat_store_t *store, int64_t lease, GError **err);
	/*
	 * Wait until "key" changes after "revision" or "wait_us" is over.
	 * True with "*changed" when an event came; the caller reads the key.
	 */
	bool (*watch)(plat_store_t *store, const char *key, bool prefix,
		      int64_t revision, int64_t wait_us, bool *changed,
		      GError **err);
} plat_store_ops_t;

/* An implementation begins with this. */
struct plat_store {
	const plat_store_ops_t *ops;
};

typedef struct plat_address {
	const char *host; /* IP number */
	int port;
} plat_address_t;

/*
 * A client of etcd's JSON gateway below "ctx".  Calls of several threads are
 * served one after another; a watch uses a connection of its own.
 */
plat_store_t *plat_etcd_new(const void *ctx, const plat_address_t *address);

/*
 * Like cas, but an answer that was lost is resolved by reading the key back:
 * a value with the same bytes counts as written.  PLAT_CAS_FAILED remains
 * only when reading back fails too.
 */
plat_cas_t plat_cas_sure(plat_store_t *store, const char *key, base_str_t value,
			 int64_t expected, int64_t lease, int64_t *revision,
			 GError **err);

/* The JSON answer to a GET of "path"; the caller releases it. */
struct json_t *plat_get_json(const plat_address_t *address, const char *path,
			     GError **err);

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
	/* All instances of "zone" (NULL: of every zone), below "ctx". */
	bool (*read)(plat_list_t *list, const void *ctx, const char *zone,
		     plat_instances_t *out, GError **err);
} plat_list_ops_t;

struct plat_list {
	const plat_list_ops_t *ops;
};

/* A client of the EndpointSlice list below "ctx". */
plat_list_t *plat_slices_new(const void *ctx, const plat_address_t *address);

#endif
