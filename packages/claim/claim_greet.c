#include "claim_int.h"

static bool needs(const claim_greet_self_t *self,
		  const claim_greet_peer_t *peer, int64_t now);
static size_t without_need(const claim_greeter_t *greeter,
			   const claim_greet_self_t *self, size_t n,
			   int64_t now);

uint64_t claim_greet_word(uint64_t epoch, bool copying, bool leaving)
{
	return epoch << 3 | (uint64_t)copying << 2 | (uint64_t)leaving << 1 | 1;
}

void claim_greet(claim_greeter_t *greeter, const claim_greet_self_t *self,
		 const claim_greet_peer_t *peers, size_t n, int64_t now,
		 bool *due)
{
	bool turn = now - greeter->said >= CLAIM_GREET_US;
	size_t more;

	memset(due, 0, n * sizeof(*due));
	if (!turn && greeter->word == self->word)
		return;
	greeter->said = now;
	greeter->word = self->word;
	for (size_t i = 0; i < n; i++)
		due[i] = needs(self, &peers[i], now);
	more = turn ? without_need(greeter, self, n, now) : 0;
	if (!more)
		return;
	greeter->idle = now;
	for (size_t i = 0; i < more; i++)
		due[(greeter->next + i) % n] = true;
	greeter->next = (greeter->next + more) % n;
}

/* One that gives no answer is not to hold the others up at each turn. */
static bool needs(const claim_greet_self_t *self,
		  const claim_greet_peer_t *peer, int64_t now)
{
	if (!peer->known)
		return true;
	if (peer->lost && now - peer->lost < CLAIM_GREET_LOST_US)
		return false;
	return peer->told != self->word || peer->epoch < self->epoch;
}

static size_t without_need(const claim_greeter_t *greeter,
			   const claim_greet_self_t *self, size_t n,
			   int64_t now)
{
	int64_t period;

	if (!n)
		return 0;
	if (self->doubt)
		return MIN(n, MAX(CLAIM_GREET_DOUBT, (n + 2) / 3));
	period = MAX(CLAIM_GREET_IDLE_US, CLAIM_GREET_ROUND_US / (int64_t)n);
	return now - greeter->idle >= period ? 1 : 0;
}
