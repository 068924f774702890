#include "peer_int.h"

struct peer_blocklist {
	pthread_mutex_t lock;
	GHashTable *zones; /* set of blocked zone names */
};

static int free_blocklist(peer_blocklist_t *blocklist);

peer_blocklist_t *peer_blocklist_new(const void *ctx)
{
	peer_blocklist_t *blocklist = talloc_zero(ctx, peer_blocklist_t);

	pthread_mutex_init(&blocklist->lock, NULL);
	blocklist->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(blocklist, free_blocklist);
	return blocklist;
}

void peer_blocklist_set(peer_blocklist_t *blocklist, const char *zone,
			bool blocked)
{
	pthread_mutex_lock(&blocklist->lock);
	if (blocked)
		g_hash_table_add(blocklist->zones, g_strdup(zone));
	else
		g_hash_table_remove(blocklist->zones, zone);
	pthread_mutex_unlock(&blocklist->lock);
}

bool peer_blocklist_contains(peer_blocklist_t *blocklist, const char *zone)
{
	bool found;

	if (!zone)
		return false;
	pthread_mutex_lock(&blocklist->lock);
	found = g_hash_table_contains(blocklist->zones, zone);
	pthread_mutex_unlock(&blocklist->lock);
	return found;
}

static int free_blocklist(peer_blocklist_t *blocklist)
{
	g_hash_table_destroy(blocklist->zones);
	pthread_mutex_destroy(&blocklist->lock);
	return 0;
}
