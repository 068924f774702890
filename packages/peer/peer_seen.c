#include "peer_int.h"

#define WINDOW 1024	 /* how late a number may come behind the highest */
#define WORD_BITS 64	 /* of the map */
#define SENDERS_MAX 4096 /* ids that are remembered */

/* Bit "seq % WINDOW" is set once "seq" of the window was here. */
typedef struct sender {
	uint64_t life;
	uint64_t top; /* the highest number seen */
	uint64_t map[WINDOW / WORD_BITS];
} sender_t;

struct peer_seen {
	GHashTable *senders; /* id to sender_t */
};

static int free_seen(peer_seen_t *seen);
static sender_t *find_sender(peer_seen_t *seen, const char *id);
static void advance(sender_t *sender, uint64_t seq);
static bool test_and_set(sender_t *sender, uint64_t seq);

peer_seen_t *peer_seen_new(const void *ctx)
{
	peer_seen_t *seen = talloc_zero(ctx, peer_seen_t);

	seen->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(seen, free_seen);
	return seen;
}

peer_wire_status peer_seen_check(peer_seen_t *seen, const char *id,
				 uint64_t life, uint64_t seq, uint64_t *latest)
{
	sender_t *sender = find_sender(seen, id);

	if (!sender)
		return PEER_WIRE_REFUSED;
	*latest = sender->life;
	if (life < sender->life)
		return PEER_WIRE_STALE;
	if (life > sender->life) {
		memset(sender, 0, sizeof(*sender));
		sender->life = life;
	}
	if (seq > sender->top)
		advance(sender, seq);
	else if (sender->top - seq >= WINDOW)
		return PEER_WIRE_REPLAY;
	return test_and_set(sender, seq) ? PEER_WIRE_REPLAY : PEER_WIRE_DONE;
}

uint64_t peer_seen_life(peer_seen_t *seen, const char *id)
{
	sender_t *sender = g_hash_table_lookup(seen->senders, id);

	return sender ? sender->life : 0;
}

static int free_seen(peer_seen_t *seen)
{
	g_hash_table_destroy(seen->senders);
	return 0;
}

static sender_t *find_sender(peer_seen_t *seen, const char *id)
{
	sender_t *sender = g_hash_table_lookup(seen->senders, id);

	if (sender)
		return sender;
	if (g_hash_table_size(seen->senders) >= SENDERS_MAX)
		return NULL;
	sender = g_new0(sender_t, 1);
	g_hash_table_insert(seen->senders, g_strdup(id), sender);
	return sender;
}

static void advance(sender_t *sender, uint64_t seq)
{
	if (seq - sender->top >= WINDOW)
		memset(sender->map, 0, sizeof(sender->map));
	else
		for (uint64_t at = sender->top + 1; at <= seq; at++)
			sender->map[at % WINDOW / WORD_BITS] &=
				~(1ULL << (at % WORD_BITS));
	sender->top = seq;
}

static bool test_and_set(sender_t *sender, uint64_t seq)
{
	uint64_t *word = &sender->map[seq % WINDOW / WORD_BITS];
	uint64_t bit = 1ULL << (seq % WORD_BITS);
	bool was = *word & bit;

	*word |= bit;
	return was;
}
