/*
 * node_key - access keys of callers: whose request a key makes it, and whether
 * the entry's configuration is recent enough to say so.
 *
 * A key that the operator has removed must open nothing after a bound, at any
 * entry.  So an entry knows from when its configuration is, and refuses
 * requests that need a key once that is too long ago.
 *
 * Pure: the caller passes the time.  Keys are not kept in logs, rows, metrics
 * or messages between entries; a digest stands for them there.
 */
#ifndef NODE_KEY_H
#define NODE_KEY_H

#include "node_platform.h"

#define NODE_KEY_DIGEST_MAX 17 /* 16 hexadecimal digits and a NUL */

typedef struct node_keys node_keys_t;

typedef struct node_key_owner {
	const char *workspace;
	char digest[NODE_KEY_DIGEST_MAX];
} node_key_owner_t;

typedef enum node_key_verdict {
	NODE_KEY_NOT_NEEDED, /* the request has no workspace */
	NODE_KEY_VALID,
	NODE_KEY_MISSING,
	NODE_KEY_UNKNOWN,
	/* The configuration is too old to say. */
	NODE_KEY_STALE,
	NODE_KEY_VERDICT_MAX
} node_key_verdict_t;

/* What a request's key is judged by. */
typedef struct node_key_check {
	const node_keys_t *keys; /* NULL: the configuration has none */
	bool is_public;		 /* the route needs no key */
	int64_t age;		 /* of the configuration, microseconds */
	int64_t age_max;	 /* 0: no bound */
} node_key_check_t;

/* The keys of a configuration; NULL: it has no workspaces.  If two workspaces
 * have the same key, it belongs to the first. */
node_keys_t *node_keys_new(const void *ctx, const node_config_t *config);

/* Judges a request's key and sets "owner" if it is valid. */
node_key_verdict_t node_key_judge(const node_key_check_t *check, base_str_t key,
				  const node_key_owner_t **owner);

/*
 * Judges a request that another entry judged by the configuration "version",
 * by the digest of its key.  "own_version" is this entry's: if that is older,
 * the other entry's verdict counts.
 */
node_key_verdict_t node_key_judge_forwarded(const node_key_check_t *check,
					    const char *workspace,
					    const char *digest, int64_t version,
					    int64_t own_version);

/* In a few words; the reason in logs and the label in metrics. */
const char *node_key_verdict_name(node_key_verdict_t verdict);

#endif
