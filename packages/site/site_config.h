/*
 * site_config - the accepted configuration in the store.
 *
 * SITE_CONFIG_KEY holds the full record.  The transaction that writes it also
 * writes, under SITE_DELTAS_PREFIX, a delta from the previous generation.  The
 * last SITE_DELTAS_MAX deltas are kept, so that a reader with one of those
 * generations reads only the deltas.  A delta carries the digests of its source
 * and target texts.  A reader falls back to the full record if a delta is
 * missing, does not match, or was never written.
 */
#ifndef SITE_CONFIG_H
#define SITE_CONFIG_H

#include "plat.h"

#define SITE_CONFIG_KEY "/cactusfield/config"
#define SITE_DELTAS_PREFIX "/cactusfield/config-delta/"
#define SITE_DELTAS_MAX 8 /* deltas kept; keyed by generation modulo this */
/*
 * A delta is written only if the full text is at least this many times as
 * large.
 */
#define SITE_DELTA_MIN_RATIO SITE_DELTAS_MAX

/* The text of a configuration record as stored. */
typedef struct site_config {
	base_str_t text;
	int64_t generation; /* 0: no record */
} site_config_t;

/*
 * Encode the delta from "from" to "to", the next generation.  Allocated below
 * "ctx".  Returns NULL if the delta is too large to be worth writing.
 */
char *site_delta_make(const void *ctx, const site_config_t *from,
		      const site_config_t *to);

/*
 * Apply "delta" to "held".  The result's text is allocated below "ctx"; "out"
 * may be the same object as "held".  Returns false and leaves "out" unchanged
 * if the delta has another source or is malformed.
 */
bool site_delta_apply(const void *ctx, base_str_t delta,
		      const site_config_t *held, site_config_t *out);

/* Whether "held" is the target of "delta". */
bool site_delta_produces(base_str_t delta, const site_config_t *held);

/*
 * Add the delta to "put", which replaces "from" by "to".  The delta is
 * allocated below "ctx".
 */
void site_config_put_delta(const void *ctx, const site_config_t *from,
			   const site_config_t *to, plat_put_t *put);

typedef enum site_config_update_kind {
	SITE_UPDATE_NONE,   /* no newer record, or none at all */
	SITE_UPDATE_KNOWN,  /* the caller already has the new record */
	SITE_UPDATE_DELTAS, /* "held" with deltas applied */
	SITE_UPDATE_FULL,   /* the full record was read */
	SITE_UPDATE_MAX
} site_config_update_kind_t;

typedef struct site_config_update {
	site_config_update_kind_t kind;
	/* Set for SITE_UPDATE_DELTAS and SITE_UPDATE_FULL; not validated. */
	base_str_t text;
	int64_t revision; /* to pass as "seen" in the next call */
} site_config_update_t;

/*
 * Read what was accepted after revision "seen" (0: nothing was read yet) by a
 * caller that has the configuration "held".  Allocated below "ctx".
 */
bool site_config_read_update(plat_store_t *store, const void *ctx, int64_t seen,
			     const site_config_t *held,
			     site_config_update_t *update, GError **err);

/* Read the full record. */
bool site_config_read_full(plat_store_t *store, const void *ctx,
			   site_config_update_t *update, GError **err);

#endif
