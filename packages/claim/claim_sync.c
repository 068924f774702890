#include "claim_int.h"

#define SLICE_SHIFT 58

/* The pairs of the past lists, the last list first; then the partner. */
#define SOURCES (2 * CLAIM_PAST + 1)
#define PAUSE_MIN_US (100 * BASE_MS)
#define PAUSE_MAX_US (16 * BASE_SEC)

static const claim_member_t *source_of(const claim_table_t *table,
				       unsigned slice, unsigned source);
static const claim_member_t *member_at(const claim_list_t *list, int i);
static void next_source(claim_slice_t *known, int64_t now);
static bool export_bucket(const claim_store_t *store, uint32_t first,
			  uint64_t cursor, int64_t now, claim_batch_t *batch);
static bool merge(claim_table_t *table, const claim_copy_t *copy, int64_t now);
static void settle_conflict(claim_store_t *store, claim_rec_t *rec,
			    const claim_copy_t *copy, int64_t created);

bool claim_table_next_pull(claim_table_t *table, unsigned from, int64_t now,
			   claim_pull_t *pull)
{
	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		unsigned slice = (from + i) % CLAIM_SLICES;
		claim_slice_t *known = &table->slices[slice];
		const claim_member_t *source = NULL;

		if (!known->need || claim_table_fresh(table, slice, 0, now))
			continue;
		while (!source && now >= known->again_at) {
			source = source_of(table, slice, known->source);
			if (!source)
				next_source(known, now);
		}
		if (!source)
			continue;
		if (!known->pulling)
			known->cursor = (uint64_t)slice << SLICE_SHIFT;
		*pull = (claim_pull_t){ .source = *source,
					.adopted = table->epoch->number,
					.epoch = known->since,
					.cursor = known->cursor,
					.slice = slice };
		return true;
	}
	return false;
}

void claim_table_export(claim_table_t *table, const claim_pull_t *pull,
			int64_t now, claim_batch_t *batch)
{
	const claim_store_t *store = &table->store;
	const claim_slice_t *known = &table->slices[pull->slice % CLAIM_SLICES];
	unsigned shift = 64 - store->bucket_bits;
	uint64_t end = ((uint64_t)pull->slice + 1) << (SLICE_SHIFT - shift);
	uint64_t through;

	memset(batch, 0, sizeof(*batch));
	if (pull->slice >= CLAIM_SLICES || !table->epoch ||
	    table->epoch->number < pull->epoch ||
	    pull->cursor >> SLICE_SHIFT != pull->slice)
		return;
	through = known->mine ? table->epoch->number : known->through;
	if (through + 1 < pull->epoch)
		return;
	claim_store_expire(&table->store, now);
	batch->lost = known->lost;
	batch->complete_age = now - known->complete_from;
	batch->cursor = pull->cursor;
	for (uint64_t b = pull->cursor >> shift; b < end; b++) {
		if (!export_bucket(store, store->buckets[b], pull->cursor, now,
				   batch)) {
			batch->ok = batch->cursor != pull->cursor;
			return;
		}
		batch->cursor = (b + 1) << shift;
	}
	batch->ok = true;
	batch->last = true;
}

void claim_table_import(claim_table_t *table, const claim_pull_t *pull,
			const claim_batch_t *batch, int64_t now)
{
	claim_slice_t *known = &table->slices[pull->slice];

	if (!table->epoch || table->epoch->number != pull->adopted ||
	    !known->need || known->cursor != pull->cursor)
		return;
	if (!batch || !batch->ok || batch->n > CLAIM_BATCH_MAX) {
		next_source(known, now);
		return;
	}
	claim_store_expire(&table->store, now);
	if (!known->pulling) {
		known->pull_lost = batch->lost;
		known->pull_from = now - batch->complete_age;
	}
	known->pulling = true;
	known->cursor = batch->cursor;
	for (uint32_t i = 0; i < batch->n; i++) {
		if (!merge(table, &batch->copies[i], now)) {
			next_source(known, now);
			return;
		}
	}
	if (!batch->last)
		return;
	known->lost = MIN(known->lost, known->pull_lost);
	known->complete_from = MIN(known->complete_from, known->pull_from);
	/* One that lacks it, too, has not helped; another one may. */
	known->need = !claim_table_fresh(table, pull->slice, 0, now);
	if (known->need)
		next_source(known, now);
}

/*
 * A slice lacks what was taken before "since": the pairs of the lists from the
 * one before it on may hold that.
 */
static const claim_member_t *source_of(const claim_table_t *table,
				       unsigned slice, unsigned source)
{
	const claim_epoch_t *past = NULL;
	const claim_list_t *list = &table->epoch->now;
	claim_pair_t pair = claim_list_pair(list, slice);
	int self = claim_table_self(table, list);
	int i = pair.home == self ? pair.backup : pair.home;
	const claim_member_t *found;

	if (source < 2 * CLAIM_PAST) {
		past = table->past[source / 2];
		if (!past || past->number + 1 < table->slices[slice].since)
			return NULL;
		list = &past->now;
		pair = claim_list_pair(list, slice);
		i = source % 2 ? pair.backup : pair.home;
	}
	found = member_at(list, i);
	if (found && found->incarnation == table->incarnation &&
	    !strcmp(found->id, table->entry))
		return NULL;
	return found;
}

static const claim_member_t *member_at(const claim_list_t *list, int i)
{
	return i == CLAIM_NOBODY ? NULL : &list->members[i];
}

static void next_source(claim_slice_t *known, int64_t now)
{
	known->pulling = false;
	known->source = (known->source + 1) % SOURCES;
	if (known->source)
		return;
	known->pause = CLAMP(2 * known->pause, PAUSE_MIN_US, PAUSE_MAX_US);
	known->again_at = now + known->pause;
}

/*
 * Whole buckets only, so that the cursor is a place between two.  Answers
 * that do not fit even into a batch of their own are left out.
 */
static bool export_bucket(const claim_store_t *store, uint32_t first,
			  uint64_t cursor, int64_t now, claim_batch_t *batch)
{
	uint32_t n = batch->n, bytes = batch->bytes;

	for (uint32_t i = first; i != CLAIM_REC_NONE; i = store->recs[i].next) {
		const claim_rec_t *rec = &store->recs[i];
		uint32_t len = rec->answer ? rec->answer->len : 0;
		claim_copy_t *copy = &batch->copies[n];

		if (rec->state == CLAIM_STATE_RELEASED || rec->id.hi < cursor)
			continue;
		if (n == CLAIM_BATCH_MAX ||
		    (batch->n && bytes + len > CLAIM_BATCH_BYTES))
			return false;
		*copy = (claim_copy_t){ .id = rec->id,
					.attempt = rec->attempt,
					.print = rec->print,
					.caller = rec->account,
					.age = now - rec->created,
					.state = rec->state };
		n++;
		if (!rec->answer || bytes + len > CLAIM_BATCH_BYTES)
			continue;
		copy->answer = (base_str_t){ rec->answer->bytes, len };
		bytes += len;
	}
	batch->n = n;
	batch->bytes = bytes;
	return true;
}

static bool merge(claim_table_t *table, const claim_copy_t *copy, int64_t now)
{
	claim_store_t *store = &table->store;
	claim_rec_t *rec = claim_store_find(store, copy->id);
	int64_t created = now - copy->age;

	if (copy->state != CLAIM_STATE_HELD &&
	    copy->state != CLAIM_STATE_ANSWERED)
		return true;
	if (rec) {
		settle_conflict(store, rec, copy, created);
		return true;
	}
	rec = claim_store_add(store, copy->id, copy->caller, created);
	if (!rec)
		return false;
	rec->attempt = copy->attempt;
	rec->print = copy->print;
	claim_store_set(store, rec, (claim_state_t)copy->state, created);
	claim_store_keep(store, rec, copy->answer);
	return true;
}

/*
 * Two attempts that both hold the id: at most one ran, and which is not known
 * here.  It is left to nobody, so that no release frees it.  Whatever stays
 * lasts as long as the younger of the two: the older one may be of an earlier
 * run, past its window.
 */
static void settle_conflict(claim_store_t *store, claim_rec_t *rec,
			    const claim_copy_t *copy, int64_t created)
{
	bool same = claim_attempt_eq(rec->attempt, copy->attempt);

	if (same && rec->state == CLAIM_STATE_RELEASED)
		return;
	created = MAX(created, rec->created);
	if (rec->state == CLAIM_STATE_RELEASED ||
	    (rec->state == CLAIM_STATE_HELD &&
	     copy->state == CLAIM_STATE_ANSWERED)) {
		rec->attempt = copy->attempt;
		rec->print = copy->print;
		claim_store_set(store, rec, (claim_state_t)copy->state,
				created);
		claim_store_keep(store, rec, copy->answer);
		return;
	}
	if (rec->state == CLAIM_STATE_HELD && !same)
		rec->attempt = (claim_attempt_t){ 0, 0 };
	claim_store_set(store, rec, (claim_state_t)rec->state, created);
}
