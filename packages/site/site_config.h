/*
 * site_config - the accepted configuration in the store.
 *
 * SITE_CONFIG_KEY holds it whole.  The transaction that writes it also writes,
 * under SITE_DELTAS_PREFIX, how it differs from the generation before: the
 * last SITE_DELTAS of them are kept, so that whoever holds one of those
 * generations reads what changed and not the whole.  A delta names the text it
 * starts from and the one it leads to by their digests; one that is missing or
 * does not fit means a read of the whole.  Approvals that wrote no delta are
 * read as before.
 */
#ifndef SITE_CONFIG_H
#define SITE_CONFIG_H

#include "plat.h"

#define SITE_CONFIG_KEY "/cactusfield/config"
#define SITE_DELTAS_PREFIX "/cactusfield/config-delta/"
#define SITE_DELTAS 8 /* keys: a generation modulo this */
/* A delta is written if it is at most one in so many of the whole's bytes. */
#define SITE_DELTA_PART SITE_DELTAS

/* A record's text as it stands in the store. */
typedef struct site_config {
	base_str_t text;
	int64_t generation; /* 0: none */
} site_config_t;

/*
 * How "to" differs from "from", the generation before it, below "ctx"; NULL:
 * not worth writing.
 */
char *site_delta_make(const void *ctx, const site_config_t *from,
		      const site_config_t *to);

/*
 * What "delta" leads to from "held", below "ctx"; "out" may be "held".  False:
 * it starts from something else, or is wrong; "out" is as it was.
 */
bool site_delta_apply(const void *ctx, base_str_t delta,
		      const site_config_t *held, site_config_t *out);

/* Whether "delta" leads to "held". */
bool site_delta_reaches(base_str_t delta, const site_config_t *held);

/* Have "put", which writes "to" over "from", write the delta; below "ctx". */
void site_config_put_delta(const void *ctx, const site_config_t *from,
			   const site_config_t *to, plat_put_t *put);

typedef enum site_news_kind {
	SITE_NEWS_NONE,	  /* nothing was written since */
	SITE_NEWS_KNOWN,  /* "held" is what was written */
	SITE_NEWS_DELTAS, /* made of "held" and deltas */
	SITE_NEWS_WHOLE,  /* read whole */
	SITE_NEWS_MAX
} site_news_kind_t;

typedef struct site_news {
	site_news_kind_t kind;
	base_str_t text;  /* of DELTAS and WHOLE; unchecked */
	int64_t revision; /* to ask with the next time */
} site_news_t;

/*
 * What was accepted after a read that gave "seen" (0: never read), for an
 * entry that holds "held"; below "ctx".
 */
bool site_config_news(plat_store_t *store, const void *ctx, int64_t seen,
		      const site_config_t *held, site_news_t *news,
		      GError **err);

/* The same, read whole. */
bool site_config_whole(plat_store_t *store, const void *ctx, site_news_t *news,
		       GError **err);

#endif
