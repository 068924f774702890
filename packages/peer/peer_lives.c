#include "peer_int.h"

#define PEERS_MAX 4096 /* addresses that are remembered */

typedef struct known {
	uint64_t life;
	uint64_t seq; /* the last number given out */
} known_t;

struct peer_lives {
	pthread_mutex_t lock;
	GHashTable *known; /* packed address to known_t */
	uint64_t floor;	   /* no forgotten address had a higher number */
};

static int free_lives(peer_lives_t *lives);
static known_t *find(peer_lives_t *lives, peer_addr_t addr);

peer_lives_t *peer_lives_new(const void *ctx)
{
	peer_lives_t *lives = talloc_zero(ctx, peer_lives_t);

	pthread_mutex_init(&lives->lock, NULL);
	lives->known = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	talloc_set_destructor(lives, free_lives);
	return lives;
}

uint64_t peer_lives_next(peer_lives_t *lives, peer_addr_t addr, uint64_t *seq)
{
	known_t *known;
	uint64_t life;

	pthread_mutex_lock(&lives->lock);
	known = find(lives, addr);
	*seq = ++known->seq;
	life = known->life;
	pthread_mutex_unlock(&lives->lock);
	return life;
}

void peer_lives_set(peer_lives_t *lives, peer_addr_t addr, uint64_t life)
{
	pthread_mutex_lock(&lives->lock);
	find(lives, addr)->life = life;
	pthread_mutex_unlock(&lives->lock);
}

static int free_lives(peer_lives_t *lives)
{
	g_hash_table_destroy(lives->known);
	pthread_mutex_destroy(&lives->lock);
	return 0;
}

/*
 * Numbers must not start again towards a receiver that remembers us, so that
 * a forgotten address starts above every number given out before.
 */
static known_t *find(peer_lives_t *lives, peer_addr_t addr)
{
	gint64 key = (gint64)addr.ip << 16 | addr.port;
	known_t *known = g_hash_table_lookup(lives->known, &key);
	GHashTableIter iter;
	gpointer value;

	if (known)
		return known;
	if (g_hash_table_size(lives->known) >= PEERS_MAX) {
		g_hash_table_iter_init(&iter, lives->known);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			lives->floor =
				MAX(lives->floor, ((known_t *)value)->seq);
		g_hash_table_remove_all(lives->known);
	}
	known = g_new0(known_t, 1);
	known->seq = lives->floor;
	g_hash_table_insert(lives->known, g_memdup2(&key, sizeof(key)), known);
	return known;
}
