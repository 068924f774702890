#include <ctype.h>
#include <signal.h>

#include "peer_int.h"

BASE_ERROR_DOMAIN(peer)

peer_t *peer_new(const void *ctx, const peer_opts_t *opts, GError **err)
{
	peer_t *peer;

	if (!peer_name_ok(opts->id) || !peer_name_ok(opts->zone) ||
	    !opts->addr.ip || !opts->addr.port || !opts->life ||
	    opts->key.len < PEER_KEY_MIN) {
		g_set_error(err, PEER_ERROR, PEER_ERROR_BAD_OPTS,
			    "invalid options: id and zone must be names of at "
			    "most %d letters, digits, '.', '_' or '-'; "
			    "address, port and life must be set; the key must "
			    "have at least %d bytes",
			    PEER_ID_MAX, PEER_KEY_MIN);
		return NULL;
	}
	signal(SIGPIPE, SIG_IGN);
	peer = talloc_zero(ctx, peer_t);
	peer->id = talloc_strdup(peer, opts->id);
	peer->zone = talloc_strdup(peer, opts->zone);
	peer->addr = opts->addr;
	peer->life = opts->life;
	peer->key.ptr = talloc_memdup(peer, opts->key.ptr, opts->key.len);
	peer->key.len = opts->key.len;
	peer->log = *opts->log;
	peer->blocklist = peer_blocklist_new(peer);
	peer->lives = peer_lives_new(peer);
	peer->pool = peer_pool_new(peer, opts->addr);
	return peer;
}

void peer_set_handler(peer_t *peer, peer_proc_t proc, peer_handler_t fn,
		      void *arg)
{
	peer->handlers[proc] = (peer_slot_t){ fn, arg };
}

void peer_block_zone(peer_t *peer, const char *zone, bool blocked)
{
	peer_blocklist_set(peer->blocklist, zone, blocked);
}

uint64_t peer_current_life(peer_t *peer)
{
	return peer->life;
}

peer_stats_t peer_stats(peer_t *peer)
{
	peer_stats_t stats = {
		.calls_out = peer->counts[PEER_CALLS_OUT],
		.bytes_out = peer->counts[PEER_BYTES_OUT],
		.calls_in = peer->counts[PEER_CALLS_IN],
		.bytes_in = peer->counts[PEER_BYTES_IN],
		.refused_mac = peer->counts[PEER_REFUSED_MAC],
		.refused_life = peer->counts[PEER_REFUSED_LIFE],
		.refused_replay = peer->counts[PEER_REFUSED_REPLAY],
		.blocked = peer->counts[PEER_BLOCKED],
	};

	for (int i = 0; i < PEER_PROC_MAX; i++)
		for (int direction = 0; direction < PEER_DIRECTION_MAX;
		     direction++)
			stats.flows[i][direction] =
				(peer_flow_t){ peer->messages[i][direction],
					       peer->bytes[i][direction] };
	return stats;
}

const char *peer_proc_name(peer_proc_t proc)
{
	return peer_procs[proc].name;
}

bool peer_name_ok(const char *name)
{
	size_t len = name ? strlen(name) : 0;

	if (!len || len > PEER_ID_MAX)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!isalnum((unsigned char)name[i]) && !strchr("._-", name[i]))
			return false;
	return true;
}

void peer_count(peer_t *peer, peer_count_t counter, uint64_t n)
{
	atomic_fetch_add_explicit(&peer->counts[counter], n,
				  memory_order_relaxed);
}

void peer_count_flow(peer_t *peer, uint32_t proc, peer_direction_t direction,
		     const peer_sealed *sealed)
{
	if (proc >= PEER_PROC_MAX)
		return;
	atomic_fetch_add_explicit(&peer->messages[proc][direction], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&peer->bytes[proc][direction],
				  PEER_MAC_LEN + sealed->body.body_len,
				  memory_order_relaxed);
}
