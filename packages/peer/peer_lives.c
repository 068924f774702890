#include "peer_int.h"

/* Limit of known addresses; one more clears the table. */
#define DESTS_MAX 4096

typedef struct dest {
	uint64_t life;
	uint64_t seq; /* the last sequence number used */
} dest_t;

struct peer_lives {
	pthread_mutex_t lock;
	GHashTable *dests;  /* packed address to dest_t */
	uint64_t seq_floor; /* highest "seq" of the forgotten addresses */
};

static int free_lives(peer_lives_t *lives);
static dest_t *find_dest(peer_lives_t *lives, peer_addr_t addr);

peer_lives_t *peer_lives_new(const void *ctx)
{
	peer_lives_t *lives = talloc_zero(ctx, peer_lives_t);

	pthread_mutex_init(&lives->lock, NULL);
	lives->dests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	talloc_set_destructor(lives, free_lives);
	return lives;
}

uint64_t peer_lives_next(peer_lives_t *lives, peer_addr_t addr, uint64_t *seq)
{
	dest_t *dest;
	uint64_t life;

	pthread_mutex_lock(&lives->lock);
	dest = find_dest(lives, addr);
	*seq = ++dest->seq;
	life = dest->life;
	pthread_mutex_unlock(&lives->lock);
	return life;
}

void peer_lives_set(peer_lives_t *lives, peer_addr_t addr, uint64_t life)
{
	pthread_mutex_lock(&lives->lock);
	find_dest(lives, addr)->life = life;
	pthread_mutex_unlock(&lives->lock);
}

static int free_lives(peer_lives_t *lives)
{
	g_hash_table_destroy(lives->dests);
	pthread_mutex_destroy(&lives->lock);
	return 0;
}

/*
 * Look up "addr", adding it if it is not known.  A receiver that remembers
 * this entry would reject reused sequence numbers as replays, so a forgotten
 * address continues above every number used before.
 */
static dest_t *find_dest(peer_lives_t *lives, peer_addr_t addr)
{
	gint64 key = (gint64)addr.ip << 16 | addr.port;
	dest_t *dest = g_hash_table_lookup(lives->dests, &key);
	GHashTableIter iter;
	gpointer value;

	if (dest)
		return dest;
	if (g_hash_table_size(lives->dests) >= DESTS_MAX) {
		g_hash_table_iter_init(&iter, lives->dests);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			lives->seq_floor =
				MAX(lives->seq_floor, ((dest_t *)value)->seq);
		g_hash_table_remove_all(lives->dests);
	}
	dest = g_new0(dest_t, 1);
	dest->seq = lives->seq_floor;
	g_hash_table_insert(lives->dests, g_memdup2(&key, sizeof(key)), dest);
	return dest;
}
