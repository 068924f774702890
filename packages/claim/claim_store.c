#include "claim_int.h"

#define ALLOC_MIN 1024	  /* records allocated for a new store */
#define BUCKET_BITS_MIN 6 /* each bucket is within one slice */
#define BUCKET_BITS_MAX 22

static bool grow(claim_store_t *store);
static uint32_t *bucket_of(const claim_store_t *store, claim_id_t id);
static uint32_t index_of(const claim_store_t *store, const claim_rec_t *rec);
static int64_t expires_at(const claim_store_t *store, const claim_rec_t *rec);
static void wheel_add(claim_store_t *store, claim_rec_t *rec);
static void wheel_remove(claim_store_t *store, claim_rec_t *rec);
static void expire_slot(claim_store_t *store, unsigned slot, int64_t now);
static void drop_answer(claim_store_t *store, claim_rec_t *rec);
static void remove_rec(claim_store_t *store, claim_rec_t *rec);

void claim_store_init(claim_store_t *store, const void *ctx,
		      const claim_limits_t *limits)
{
	unsigned bits = BUCKET_BITS_MIN;

	while (bits < BUCKET_BITS_MAX && (1U << bits) < limits->max_records)
		bits++;
	*store = (claim_store_t){ .max = limits->max_records,
				  .bucket_bits = bits,
				  .answer_max = limits->answer_bytes,
				  .tombstone_us = limits->tombstone_us };
	store->retention_us =
		claim_add_drift(limits->window_us + limits->lag_us) +
		limits->round_us;
	store->tick_us = store->retention_us / (CLAIM_WHEEL_SLOTS - 2) + 1;
	store->tick = INT64_MIN;
	store->buckets = talloc_zero_array(ctx, uint32_t, 1U << bits);
	store->alloc = ALLOC_MIN;
	store->recs = talloc_array(ctx, claim_rec_t, store->alloc);
	store->top = 1;
	TAILQ_INIT(&store->answers);
}

claim_rec_t *claim_store_find(const claim_store_t *store, claim_id_t id)
{
	uint32_t i = *bucket_of(store, id);

	while (i != CLAIM_REC_NONE) {
		claim_rec_t *rec = &store->recs[i];

		if (rec->id.hi == id.hi && rec->id.lo == id.lo)
			return rec;
		i = rec->next;
	}
	return NULL;
}

/*
 * An account may hold at most as many records as are free.  A single account
 * thus gets half of the memory, and a flood of requests from one caller leaves
 * room for the others.
 */
bool claim_store_has_room(const claim_store_t *store, uint64_t caller)
{
	uint32_t left = store->max - store->used;

	return left && store->accounts[caller % CLAIM_ACCOUNTS] < left;
}

claim_rec_t *claim_store_add(claim_store_t *store, claim_id_t id,
			     uint64_t caller, int64_t created)
{
	uint32_t *bucket = bucket_of(store, id);
	claim_rec_t *rec;
	uint32_t i = store->free;

	if (store->used >= store->max)
		return NULL;
	if (i != CLAIM_REC_NONE) {
		store->free = store->recs[i].next;
	} else {
		if (store->top == store->alloc && !grow(store))
			return NULL;
		i = store->top++;
	}
	rec = &store->recs[i];
	*rec = (claim_rec_t){ .id = id,
			      .created = created,
			      .state = CLAIM_STATE_HELD,
			      .account = caller % CLAIM_ACCOUNTS,
			      .next = *bucket };
	*bucket = i;
	store->used++;
	store->accounts[rec->account]++;
	wheel_add(store, rec);
	return rec;
}

void claim_store_set_state(claim_store_t *store, claim_rec_t *rec,
			   claim_state_t state, int64_t created)
{
	wheel_remove(store, rec);
	rec->state = (uint8_t)state;
	rec->created = created;
	wheel_add(store, rec);
}

/*
 * Evicts the oldest answers if there is no room.  Only the answer is lost: the
 * claim record stays, so that the id still does not run again.
 */
void claim_store_set_answer(claim_store_t *store, claim_rec_t *rec,
			    base_str_t answer)
{
	claim_answer_t *kept;

	drop_answer(store, rec);
	if (!answer.ptr || answer.len > CLAIM_ANSWER_MAX ||
	    sizeof(*kept) + answer.len > store->answer_max)
		return;
	while (store->answer_bytes + sizeof(*kept) + answer.len >
	       store->answer_max) {
		claim_answer_t *oldest = TAILQ_FIRST(&store->answers);

		drop_answer(store, &store->recs[oldest->rec]);
	}
	kept = g_malloc(sizeof(*kept) + answer.len);
	kept->rec = index_of(store, rec);
	kept->len = (uint32_t)answer.len;
	memcpy(kept->bytes, answer.ptr, answer.len);
	TAILQ_INSERT_TAIL(&store->answers, kept, order);
	store->answer_bytes += sizeof(*kept) + answer.len;
	rec->answer = kept;
}

void claim_store_expire(claim_store_t *store, int64_t now)
{
	int64_t tick = now / store->tick_us;

	if (store->tick < tick - CLAIM_WHEEL_SLOTS)
		store->tick = tick - CLAIM_WHEEL_SLOTS;
	while (store->tick < tick) {
		expire_slot(store,
			    (unsigned)(store->tick & (CLAIM_WHEEL_SLOTS - 1)),
			    now);
		store->tick++;
	}
}

size_t claim_store_bytes(const claim_store_t *store)
{
	return store->alloc * sizeof(claim_rec_t) +
	       (sizeof(uint32_t) << store->bucket_bits) + store->answer_bytes;
}

void claim_store_clear(claim_store_t *store)
{
	while (!TAILQ_EMPTY(&store->answers))
		drop_answer(store,
			    &store->recs[TAILQ_FIRST(&store->answers)->rec]);
}

static bool grow(claim_store_t *store)
{
	uint32_t alloc = store->alloc * 2;
	claim_rec_t *recs;

	if (alloc > store->max + 1)
		alloc = store->max + 1;
	if (alloc <= store->alloc)
		return false;
	recs = talloc_realloc(NULL, store->recs, claim_rec_t, alloc);
	if (!recs)
		return false;
	store->recs = recs;
	store->alloc = alloc;
	return true;
}

static uint32_t *bucket_of(const claim_store_t *store, claim_id_t id)
{
	return &store->buckets[id.hi >> (64 - store->bucket_bits)];
}

static uint32_t index_of(const claim_store_t *store, const claim_rec_t *rec)
{
	return (uint32_t)(rec - store->recs);
}

static int64_t expires_at(const claim_store_t *store, const claim_rec_t *rec)
{
	return rec->created + (rec->state == CLAIM_STATE_RELEASED
				       ? store->tombstone_us
				       : store->retention_us);
}

/*
 * Use the wheel slot after that of the expiry time, so that the record has
 * expired by the time its slot is processed.
 */
static void wheel_add(claim_store_t *store, claim_rec_t *rec)
{
	int64_t tick = expires_at(store, rec) / store->tick_us + 1;
	uint32_t i = index_of(store, rec);
	uint32_t *first;

	rec->wheel_slot = (uint16_t)(tick & (CLAIM_WHEEL_SLOTS - 1));
	first = &store->wheel[rec->wheel_slot];
	rec->wheel_prev = CLAIM_REC_NONE;
	rec->wheel_next = *first;
	if (*first != CLAIM_REC_NONE)
		store->recs[*first].wheel_prev = i;
	*first = i;
}

static void wheel_remove(claim_store_t *store, claim_rec_t *rec)
{
	if (rec->wheel_prev != CLAIM_REC_NONE)
		store->recs[rec->wheel_prev].wheel_next = rec->wheel_next;
	else
		store->wheel[rec->wheel_slot] = rec->wheel_next;
	if (rec->wheel_next != CLAIM_REC_NONE)
		store->recs[rec->wheel_next].wheel_prev = rec->wheel_prev;
}

static void expire_slot(claim_store_t *store, unsigned slot, int64_t now)
{
	uint32_t i = store->wheel[slot];

	while (i != CLAIM_REC_NONE) {
		claim_rec_t *rec = &store->recs[i];

		i = rec->wheel_next;
		if (expires_at(store, rec) <= now)
			remove_rec(store, rec);
	}
}

static void drop_answer(claim_store_t *store, claim_rec_t *rec)
{
	if (!rec->answer)
		return;
	TAILQ_REMOVE(&store->answers, rec->answer, order);
	store->answer_bytes -= sizeof(*rec->answer) + rec->answer->len;
	g_free(rec->answer);
	rec->answer = NULL;
}

static void remove_rec(claim_store_t *store, claim_rec_t *rec)
{
	uint32_t i = index_of(store, rec);
	uint32_t *link = bucket_of(store, rec->id);

	while (*link != i)
		link = &store->recs[*link].next;
	*link = rec->next;
	drop_answer(store, rec);
	wheel_remove(store, rec);
	store->accounts[rec->account]--;
	store->used--;
	rec->state = CLAIM_STATE_FREE;
	rec->next = store->free;
	store->free = i;
}
