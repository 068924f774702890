#include "claim_int.h"

static bool needs_hello(const claim_greet_self_t *self,
			const claim_greet_peer_t *peer, int64_t now);
static size_t idle_hello_count(const claim_greeter_t *greeter,
			       const claim_greet_self_t *self, size_t n,
			       int64_t now);

uint64_t claim_greet_pack_state(uint64_t epoch, bool copying, bool leaving)
{
	return epoch << 3 | (uint64_t)copying << 2 | (uint64_t)leaving << 1 | 1;
}

void claim_greet(claim_greeter_t *greeter, const claim_greet_self_t *self,
		 const claim_greet_peer_t *peers, size_t n, int64_t now,
		 bool *due)
{
	bool is_turn = now - greeter->last_turn >= CLAIM_GREET_INTERVAL_US;
	size_t idle_count;

	memset(due, 0, n * sizeof(*due));
	if (!is_turn && greeter->last_state == self->state_word)
		return;
	greeter->last_turn = now;
	greeter->last_state = self->state_word;
	for (size_t i = 0; i < n; i++)
		due[i] = needs_hello(self, &peers[i], now);
	idle_count = is_turn ? idle_hello_count(greeter, self, n, now) : 0;
	if (!idle_count)
		return;
	greeter->last_idle = now;
	for (size_t i = 0; i < idle_count; i++)
		due[(greeter->next + i) % n] = true;
	greeter->next = (greeter->next + idle_count) % n;
}

/*
 * Skips a peer that did not answer a recent hello: waiting for its answer would
 * delay the hellos to other peers.
 */
static bool needs_hello(const claim_greet_self_t *self,
			const claim_greet_peer_t *peer, int64_t now)
{
	if (!peer->known)
		return true;
	if (peer->unanswered_at &&
	    now - peer->unanswered_at < CLAIM_GREET_BACKOFF_US)
		return false;
	return peer->received_state != self->state_word ||
	       peer->epoch < self->epoch;
}

/* Number of peers that the rotation sends a hello at this turn. */
static size_t idle_hello_count(const claim_greeter_t *greeter,
			       const claim_greet_self_t *self, size_t n,
			       int64_t now)
{
	int64_t period;

	if (!n)
		return 0;
	if (self->store_unconfirmed)
		return MIN(n, MAX(CLAIM_GREET_FANOUT_MIN, (n + 2) / 3));
	period = MAX(CLAIM_GREET_IDLE_US, CLAIM_GREET_ROUND_US / (int64_t)n);
	return now - greeter->last_idle >= period ? 1 : 0;
}
