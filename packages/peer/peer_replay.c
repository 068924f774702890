#include "peer_int.h"

/* Size of the replay window: a sequence number that is this far below the
 * highest one received is refused. */
#define WINDOW 1024
#define WORD_BITS 64 /* bits of one word of the bitmap */
/* Limit of known senders; further ones are refused. */
#define SENDERS_MAX 4096

/* Bit "seq % WINDOW" is set when "seq", within the window, was received. */
typedef struct sender {
	uint64_t life;
	uint64_t highest; /* the highest sequence number received */
	uint64_t bitmap[WINDOW / WORD_BITS];
} sender_t;

struct peer_replay {
	GHashTable *senders; /* id to sender_t */
};

static int free_replay(peer_replay_t *replay);
static sender_t *find_sender(peer_replay_t *replay, const char *id);
static void advance_window(sender_t *sender, uint64_t seq);
static bool test_and_set(sender_t *sender, uint64_t seq);

peer_replay_t *peer_replay_new(const void *ctx)
{
	peer_replay_t *replay = talloc_zero(ctx, peer_replay_t);

	replay->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(replay, free_replay);
	return replay;
}

peer_wire_status peer_replay_check(peer_replay_t *replay, const char *id,
				   uint64_t life, uint64_t seq,
				   uint64_t *latest)
{
	sender_t *sender = find_sender(replay, id);

	if (!sender)
		return PEER_WIRE_REFUSED;
	*latest = sender->life;
	if (life < sender->life)
		return PEER_WIRE_STALE;
	if (life > sender->life) {
		memset(sender, 0, sizeof(*sender));
		sender->life = life;
	}
	if (seq > sender->highest)
		advance_window(sender, seq);
	else if (sender->highest - seq >= WINDOW)
		return PEER_WIRE_REPLAY;
	return test_and_set(sender, seq) ? PEER_WIRE_REPLAY : PEER_WIRE_DONE;
}

uint64_t peer_replay_latest_life(peer_replay_t *replay, const char *id)
{
	sender_t *sender = g_hash_table_lookup(replay->senders, id);

	return sender ? sender->life : 0;
}

static int free_replay(peer_replay_t *replay)
{
	g_hash_table_destroy(replay->senders);
	return 0;
}

static sender_t *find_sender(peer_replay_t *replay, const char *id)
{
	sender_t *sender = g_hash_table_lookup(replay->senders, id);

	if (sender)
		return sender;
	if (g_hash_table_size(replay->senders) >= SENDERS_MAX)
		return NULL;
	sender = g_new0(sender_t, 1);
	g_hash_table_insert(replay->senders, g_strdup(id), sender);
	return sender;
}

static void advance_window(sender_t *sender, uint64_t seq)
{
	if (seq - sender->highest >= WINDOW)
		memset(sender->bitmap, 0, sizeof(sender->bitmap));
	else
		for (uint64_t at = sender->highest + 1; at <= seq; at++)
			sender->bitmap[at % WINDOW / WORD_BITS] &=
				~(1ULL << (at % WORD_BITS));
	sender->highest = seq;
}

static bool test_and_set(sender_t *sender, uint64_t seq)
{
	uint64_t *word = &sender->bitmap[seq % WINDOW / WORD_BITS];
	uint64_t bit = 1ULL << (seq % WORD_BITS);
	bool was_set = *word & bit;

	*word |= bit;
	return was_set;
}
