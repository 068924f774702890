#include "entry_claim.h"
#include "peer_proto_xdr.h"

/*
 * Hellos: an entry's incarnation, its epoch, and whether it copies slices or
 * leaves.  Which entries are alive is known from membership.
 */

/*
 * An epoch that the store has not confirmed for longer than this counts as
 * unconfirmed.
 */
#define STORE_DOUBT_US (4 * BASE_SEC)
#define HELLO_TIMEOUT_US (300 * BASE_MS)

static claim_greet_self_t greet_self(const entry_claims_t *claims, int64_t now);
static uint64_t own_state_word(const entry_claims_t *claims);
static claim_greet_peer_t greet_peer(const entry_claims_t *claims,
				     const entry_claim_present_t *present);
static void send_hello(entry_claims_t *claims,
		       const entry_claim_present_t *present);
static bool exchange_hello(entry_claims_t *claims,
			   const entry_claim_present_t *present,
			   peer_addr_t addr, uint64_t known);
static bool has_older_epoch(entry_claims_t *claims, const char *id);
static void note_answer(entry_claims_t *claims,
			const entry_claim_present_t *present,
			uint64_t sent_state, bool answered);
static void fill_hello(entry_claims_t *claims, peer_claim_hello *wire,
		       base_buf_t *record, uint64_t known);
static void accept_hello(entry_claims_t *claims, const char *id,
			 const peer_claim_hello *wire, int64_t asked_at);
static void update_peer(entry_claims_t *claims, const char *id,
			const peer_claim_hello *wire);

void entry_claim_greet(entry_claims_t *claims, int64_t now)
{
	void *ctx = talloc_new(NULL);
	entry_claim_present_t *present;
	size_t n = entry_claim_present(claims, ctx, &present);
	claim_greet_peer_t *peers =
		talloc_zero_array(ctx, claim_greet_peer_t, n);
	bool *due = talloc_zero_array(ctx, bool, n);
	claim_greet_self_t self;

	pthread_mutex_lock(&claims->lock);
	self = greet_self(claims, now);
	for (size_t i = 0; i < n; i++)
		peers[i] = greet_peer(claims, &present[i]);
	pthread_mutex_unlock(&claims->lock);
	claim_greet(&claims->greeter, &self, peers, n, now, due);
	for (size_t i = 0; i < n; i++)
		if (due[i])
			send_hello(claims, &present[i]);
	talloc_free(ctx);
}

size_t entry_claim_present(entry_claims_t *claims, const void *ctx,
			   entry_claim_present_t **present)
{
	entry_memb_t *memb = claims->daemon->memb;
	size_t n = 0;

	pthread_mutex_lock(&memb->lock);
	*present = talloc_zero_array(ctx, entry_claim_present_t,
				     memb_count(memb->core));
	for (size_t i = 1; i < memb_count(memb->core); i++) {
		const memb_record_t *rec = memb_at(memb->core, i);

		if (rec->state == MEMB_DEAD)
			continue;
		(*present)[n].id = talloc_strdup(ctx, rec->id);
		(*present)[n].incarnation = rec->incarnation;
		(*present)[n++].left = rec->state == MEMB_LEFT;
	}
	pthread_mutex_unlock(&memb->lock);
	return n;
}

bool entry_claim_on_hello(void *arg, const peer_sender_t *from,
			  const void *args, void *res)
{
	const peer_claim_hello *wire = args;
	entry_claims_t *claims = arg;
	peer_claim_hello *out = res;
	base_buf_t *record = base_buf_new(NULL);
	entry_claim_peer_t *peer;

	/*
	 * The hello was sent at an unknown time, so it does not confirm the
	 * epoch.
	 */
	accept_hello(claims, from->id, wire, 0);
	pthread_mutex_lock(&claims->lock);
	fill_hello(claims, out, record, wire->epoch);
	peer = g_hash_table_lookup(claims->peers, from->id);
	if (peer)
		peer->delivered_state = own_state_word(claims);
	pthread_mutex_unlock(&claims->lock);
	out->id = strdup(out->id);
	out->zone = strdup(out->zone);
	out->record.record_val = malloc(record->len + 1);
	if (out->record.record_val)
		memcpy(out->record.record_val, record->ptr, record->len);
	talloc_free(record);
	return true;
}

/* The caller holds the lock. */
static claim_greet_self_t greet_self(const entry_claims_t *claims, int64_t now)
{
	claim_contact_t self = claim_table_hello(claims->table, now);

	return (claim_greet_self_t){
		.state_word = own_state_word(claims),
		.epoch = self.epoch,
		.store_unconfirmed = self.confirmed_age < 0 ||
				     self.confirmed_age > STORE_DOUBT_US
	};
}

/* The caller holds the lock. */
static uint64_t own_state_word(const entry_claims_t *claims)
{
	const claim_epoch_t *epoch = claim_table_epoch(claims->table);

	return claim_greet_pack_state(
		epoch ? epoch->number : 0, claims->copying,
		atomic_load(&claims->daemon->draining) != 0);
}

/* The caller holds the lock. */
static claim_greet_peer_t greet_peer(const entry_claims_t *claims,
				     const entry_claim_present_t *present)
{
	const entry_claim_peer_t *peer =
		g_hash_table_lookup(claims->peers, present->id);

	if (!peer)
		return (claim_greet_peer_t){ 0 };
	return (claim_greet_peer_t){
		.known = peer->memb_incarnation == present->incarnation,
		.received_state = peer->delivered_state,
		.epoch = peer->epoch,
		.unanswered_at = peer->unanswered_hello_at,
	};
}

/*
 * The epoch record grows with the number of entries; it is sent only to an
 * entry whose epoch is older.
 */
static void send_hello(entry_claims_t *claims,
		       const entry_claim_present_t *present)
{
	peer_addr_t addr;

	if (entry_claim_find_address(claims, present->id, &addr) &&
	    exchange_hello(claims, present, addr, UINT64_MAX) &&
	    has_older_epoch(claims, present->id))
		exchange_hello(claims, present, addr, 0);
}

/* Send the epoch record along if "known", the other's epoch, is older. */
static bool exchange_hello(entry_claims_t *claims,
			   const entry_claim_present_t *present,
			   peer_addr_t addr, uint64_t known)
{
	base_buf_t *record = base_buf_new(NULL);
	peer_claim_hello args = { 0 }, res = { 0 };
	int64_t asked_at = base_clock_mono();
	peer_dest_t to = { .addr = addr };
	uint64_t sent_state;
	bool answered;

	pthread_mutex_lock(&claims->lock);
	fill_hello(claims, &args, record, known);
	sent_state = own_state_word(claims);
	pthread_mutex_unlock(&claims->lock);
	answered = peer_call(claims->daemon->memb->peer, &to, PEER_CLAIM_HELLO,
			     &args, &res, HELLO_TIMEOUT_US) == PEER_ANSWERED;
	if (answered) {
		accept_hello(claims, present->id, &res, asked_at);
		peer_free_res(PEER_CLAIM_HELLO, &res);
		entry_claim_note_call(claims, present->id, true);
	}
	note_answer(claims, present, sent_state, answered);
	talloc_free(record);
	return answered;
}

static bool has_older_epoch(entry_claims_t *claims, const char *id)
{
	const claim_epoch_t *epoch;
	const entry_claim_peer_t *peer;
	bool is_older;

	pthread_mutex_lock(&claims->lock);
	epoch = claim_table_epoch(claims->table);
	peer = g_hash_table_lookup(claims->peers, id);
	is_older = epoch && peer && peer->epoch < epoch->number;
	pthread_mutex_unlock(&claims->lock);
	return is_older;
}

static void note_answer(entry_claims_t *claims,
			const entry_claim_present_t *present,
			uint64_t sent_state, bool answered)
{
	entry_claim_peer_t *peer;

	pthread_mutex_lock(&claims->lock);
	peer = g_hash_table_lookup(claims->peers, present->id);
	if (peer && answered) {
		peer->memb_incarnation = present->incarnation;
		peer->delivered_state = sent_state;
	}
	if (peer)
		peer->unanswered_hello_at = answered ? 0 : base_clock_mono();
	pthread_mutex_unlock(&claims->lock);
}

/*
 * The caller holds the lock.  Pointers in "wire" are to memory of the daemon
 * and of "record".
 */
static void fill_hello(entry_claims_t *claims, peer_claim_hello *wire,
		       base_buf_t *record, uint64_t known)
{
	claim_contact_t self =
		claim_table_hello(claims->table, base_clock_mono());
	const claim_epoch_t *epoch = claim_table_epoch(claims->table);

	wire->id = claims->daemon->settings->name;
	wire->zone = claims->daemon->settings->zone;
	wire->incarnation = self.incarnation;
	wire->epoch = self.epoch;
	wire->confirmed_age = self.confirmed_age;
	wire->leaving = atomic_load(&claims->daemon->draining) != 0;
	wire->copying = claims->copying;
	if (epoch && known < epoch->number)
		claim_epoch_print(epoch, record);
	wire->record.record_len = (u_int)record->len;
	wire->record.record_val = record->ptr;
}

static void accept_hello(entry_claims_t *claims, const char *id,
			 const peer_claim_hello *wire, int64_t asked_at)
{
	claim_contact_t contact = { .entry = id,
				    .incarnation = wire->incarnation,
				    .epoch = wire->epoch,
				    .confirmed_age = -1,
				    .asked_at = asked_at };
	base_str_t record = { wire->record.record_val,
			      wire->record.record_len };
	claim_epoch_t *epoch = NULL;
	int64_t now;

	/*
	 * Another entry may use the address now.  Its hello proves nothing
	 * about entry "id".
	 */
	if (strcmp(wire->id, id) != 0)
		return;
	if (record.len)
		epoch = claim_epoch_parse(NULL, record, NULL);
	if (asked_at)
		contact.confirmed_age = wire->confirmed_age;
	pthread_mutex_lock(&claims->lock);
	now = base_clock_mono();
	if (epoch)
		entry_claim_adopt(claims, epoch, 0, now);
	claim_table_contact(claims->table, &contact, now);
	update_peer(claims, id, wire);
	pthread_mutex_unlock(&claims->lock);
	talloc_free(epoch);
}

static void update_peer(entry_claims_t *claims, const char *id,
			const peer_claim_hello *wire)
{
	entry_claim_peer_t *peer = g_hash_table_lookup(claims->peers, id);

	if (peer && wire->incarnation < peer->incarnation)
		return;
	if (!peer) {
		peer = g_new0(entry_claim_peer_t, 1);
		g_hash_table_insert(claims->peers, g_strdup(id), peer);
	}
	if (!peer->zone || strcmp(peer->zone, wire->zone) != 0) {
		g_free(peer->zone);
		peer->zone = g_strdup(wire->zone);
	}
	/* A new incarnation has not received what the earlier one was sent. */
	if (wire->incarnation != peer->incarnation)
		peer->delivered_state = 0;
	peer->incarnation = wire->incarnation;
	peer->epoch = wire->epoch;
	peer->leaving = wire->leaving;
	peer->copying = wire->copying;
}
