#include "peer_int.h"

struct peer_cuts {
	pthread_mutex_t lock;
	GHashTable *zones; /* set of names */
};

static int free_cuts(peer_cuts_t *cuts);

peer_cuts_t *peer_cuts_new(const void *ctx)
{
	peer_cuts_t *cuts = talloc_zero(ctx, peer_cuts_t);

	pthread_mutex_init(&cuts->lock, NULL);
	cuts->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(cuts, free_cuts);
	return cuts;
}

void peer_cuts_set(peer_cuts_t *cuts, const char *zone, bool cut)
{
	pthread_mutex_lock(&cuts->lock);
	if (cut)
		g_hash_table_add(cuts->zones, g_strdup(zone));
	else
		g_hash_table_remove(cuts->zones, zone);
	pthread_mutex_unlock(&cuts->lock);
}

bool peer_cuts_has(peer_cuts_t *cuts, const char *zone)
{
	bool has;

	if (!zone)
		return false;
	pthread_mutex_lock(&cuts->lock);
	has = g_hash_table_contains(cuts->zones, zone);
	pthread_mutex_unlock(&cuts->lock);
	return has;
}

static int free_cuts(peer_cuts_t *cuts)
{
	g_hash_table_destroy(cuts->zones);
	pthread_mutex_destroy(&cuts->lock);
	return 0;
}
