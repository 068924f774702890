/*
 * The refusals that a holder has given, by the token of the request.
 *
 * A try of a request may be read after a later try was refused and the caller
 * was told that the job never runs.  Each further try of that request gets the
 * same verdict.
 */
#include "node_int.h"

/* A try is read late by as long as a process on its way is paused or a
 * connection is held up: seconds.  This is 20 times the usual wait of a
 * caller. */
#define REFUSAL_KEEP (60 * BASE_SEC)
/* Some 3 MB; 270 requests a second that are refused in a second or later try,
 * each second of REFUSAL_KEEP. */
#define REFUSALS_MAX 16384

typedef struct refusal {
	char *token;
	int64_t given_at;
	node_outcome_kind_t kind;
	int64_t retry_after;
} refusal_t;

struct node_refusals {
	GHashTable *table; /* token to refusal_t, not owned */
	GQueue by_age;	   /* oldest first */
};

static void free_refusal(gpointer data)
{
	refusal_t *refusal = data;

	g_free(refusal->token);
	g_free(refusal);
}

static int refusals_free(node_refusals_t *refusals)
{
	g_hash_table_unref(refusals->table);
	g_queue_clear_full(&refusals->by_age, free_refusal);
	return 0;
}

node_refusals_t *node_refusals_new(const void *ctx)
{
	node_refusals_t *refusals = talloc_zero(ctx, node_refusals_t);

	refusals->table = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&refusals->by_age);
	talloc_set_destructor(refusals, refusals_free);
	return refusals;
}

static void forget_old(node_refusals_t *refusals, int64_t now)
{
	refusal_t *oldest;

	while ((oldest = g_queue_peek_head(&refusals->by_age)) != NULL) {
		if (now - oldest->given_at <= REFUSAL_KEEP)
			return;
		g_queue_pop_head(&refusals->by_age);
		g_hash_table_remove(refusals->table, oldest->token);
		free_refusal(oldest);
	}
}

bool node_refusals_add(node_refusals_t *refusals, int64_t now,
		       const char *token, const node_outcome_t *outcome)
{
	refusal_t *refusal;

	forget_old(refusals, now);
	if (g_hash_table_contains(refusals->table, token))
		return true;
	if (refusals->by_age.length >= REFUSALS_MAX)
		return false;
	refusal = g_new0(refusal_t, 1);
	refusal->token = g_strdup(token);
	refusal->given_at = now;
	refusal->kind = outcome->kind;
	refusal->retry_after = outcome->retry_after;
	g_queue_push_tail(&refusals->by_age, refusal);
	g_hash_table_insert(refusals->table, refusal->token, refusal);
	return true;
}

bool node_refusals_find(node_refusals_t *refusals, int64_t now,
			const char *token, node_outcome_t *outcome)
{
	const refusal_t *refusal;

	forget_old(refusals, now);
	refusal = g_hash_table_lookup(refusals->table, token);
	if (!refusal)
		return false;
	*outcome = (node_outcome_t){ .kind = refusal->kind,
				     .retry_after = refusal->retry_after,
				     .why = "another try was refused" };
	return true;
}
