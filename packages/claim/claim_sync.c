#include "claim_int.h"

#define SLICE_SHIFT 58

/*
 * Sources of a slice: its home and backup in each former list, latest list
 * first, then the other one of its present home and backup.
 */
#define SOURCE_COUNT (2 * CLAIM_PAST_LISTS + 1)
#define BACKOFF_MIN_US (100 * BASE_MS)
#define BACKOFF_MAX_US (16 * BASE_SEC)

static const claim_member_t *source_of(const claim_table_t *table,
				       unsigned slice, unsigned source);
static const claim_member_t *member_at(const claim_list_t *list, int i);
static void next_source(claim_slice_t *slice_state, int64_t now);
static bool export_bucket(const claim_store_t *store, uint32_t first,
			  uint64_t cursor, int64_t now, claim_batch_t *batch);
static bool merge_copy(claim_table_t *table, const claim_copy_t *copy,
		       int64_t now);
static void resolve_conflict(claim_store_t *store, claim_rec_t *rec,
			     const claim_copy_t *copy, int64_t created);

bool claim_table_next_pull(claim_table_t *table, unsigned from, int64_t now,
			   claim_pull_t *pull)
{
	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		unsigned slice = (from + i) % CLAIM_SLICES;
		claim_slice_t *slice_state = &table->slices[slice];
		const claim_member_t *source = NULL;

		if (!slice_state->needs_copy ||
		    claim_table_fresh(table, slice, 0, now))
			continue;
		while (!source && now >= slice_state->retry_at) {
			source = source_of(table, slice, slice_state->source);
			if (!source)
				next_source(slice_state, now);
		}
		if (!source)
			continue;
		if (!slice_state->is_pulling)
			slice_state->cursor = (uint64_t)slice << SLICE_SHIFT;
		*pull = (claim_pull_t){ .source = *source,
					.adopted_epoch = table->epoch->number,
					.min_epoch =
						slice_state->assigned_epoch,
					.cursor = slice_state->cursor,
					.slice = slice };
		return true;
	}
	return false;
}

void claim_table_export(claim_table_t *table, const claim_pull_t *pull,
			int64_t now, claim_batch_t *batch)
{
	const claim_store_t *store = &table->store;
	const claim_slice_t *slice_state =
		&table->slices[pull->slice % CLAIM_SLICES];
	unsigned shift = 64 - store->bucket_bits;
	uint64_t end = ((uint64_t)pull->slice + 1) << (SLICE_SHIFT - shift);
	uint64_t covered_epoch;

	memset(batch, 0, sizeof(*batch));
	if (pull->slice >= CLAIM_SLICES || !table->epoch ||
	    table->epoch->number < pull->min_epoch ||
	    pull->cursor >> SLICE_SHIFT != pull->slice)
		return;
	covered_epoch = slice_state->is_replica ? table->epoch->number
						: slice_state->covered_epoch;
	if (covered_epoch + 1 < pull->min_epoch)
		return;
	claim_store_expire(&table->store, now);
	batch->lost_epoch = slice_state->lost_epoch;
	batch->complete_age = now - slice_state->complete_from;
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
	claim_slice_t *slice_state = &table->slices[pull->slice];

	if (!table->epoch || table->epoch->number != pull->adopted_epoch ||
	    !slice_state->needs_copy || slice_state->cursor != pull->cursor)
		return;
	if (!batch || !batch->ok || batch->n > CLAIM_BATCH_MAX) {
		next_source(slice_state, now);
		return;
	}
	claim_store_expire(&table->store, now);
	if (!slice_state->is_pulling) {
		slice_state->source_lost_epoch = batch->lost_epoch;
		slice_state->source_complete_from = now - batch->complete_age;
	}
	slice_state->is_pulling = true;
	slice_state->cursor = batch->cursor;
	for (uint32_t i = 0; i < batch->n; i++) {
		if (!merge_copy(table, &batch->copies[i], now)) {
			next_source(slice_state, now);
			return;
		}
	}
	if (!batch->last)
		return;
	slice_state->lost_epoch =
		MIN(slice_state->lost_epoch, slice_state->source_lost_epoch);
	slice_state->complete_from = MIN(slice_state->complete_from,
					 slice_state->source_complete_from);
	/* If this source lacks records too, another source may have them. */
	slice_state->needs_copy =
		!claim_table_fresh(table, pull->slice, 0, now);
	if (slice_state->needs_copy)
		next_source(slice_state, now);
}

/*
 * Source number "source" of a slice (see SOURCE_COUNT); NULL if there is none
 * or if the source is this entry.  A slice may lack records from before
 * "assigned_epoch", so the lists from the one before that epoch on are used.
 */
static const claim_member_t *source_of(const claim_table_t *table,
				       unsigned slice, unsigned source)
{
	const claim_epoch_t *past = NULL;
	const claim_list_t *list = &table->epoch->current_list;
	claim_pair_t pair = claim_list_pair(list, slice);
	int self = claim_table_self(table, list);
	int i = pair.home == self ? pair.backup : pair.home;
	const claim_member_t *found;

	if (source < 2 * CLAIM_PAST_LISTS) {
		past = table->past[source / 2];
		if (!past ||
		    past->number + 1 < table->slices[slice].assigned_epoch)
			return NULL;
		list = &past->current_list;
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
	return i == CLAIM_NO_MEMBER ? NULL : &list->members[i];
}

static void next_source(claim_slice_t *slice_state, int64_t now)
{
	slice_state->is_pulling = false;
	slice_state->source = (slice_state->source + 1) % SOURCE_COUNT;
	if (slice_state->source)
		return;
	slice_state->backoff_us = CLAMP(2 * slice_state->backoff_us,
					BACKOFF_MIN_US, BACKOFF_MAX_US);
	slice_state->retry_at = now + slice_state->backoff_us;
}

/*
 * Add all records of a hash bucket to the batch, or none, so that the cursor
 * always lies between two buckets.  Returns false if the records do not fit.  A
 * recorded answer that does not fit even into an empty batch is left out.
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
					.fingerprint = rec->fingerprint,
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

/* Returns false if there is no room for the record. */
static bool merge_copy(claim_table_t *table, const claim_copy_t *copy,
		       int64_t now)
{
	claim_store_t *store = &table->store;
	claim_rec_t *rec = claim_store_find(store, copy->id);
	int64_t created = now - copy->age;

	if (copy->state != CLAIM_STATE_HELD &&
	    copy->state != CLAIM_STATE_ANSWERED)
		return true;
	if (rec) {
		resolve_conflict(store, rec, copy, created);
		return true;
	}
	rec = claim_store_add(store, copy->id, copy->caller, created);
	if (!rec)
		return false;
	rec->attempt = copy->attempt;
	rec->fingerprint = copy->fingerprint;
	claim_store_set_state(store, rec, (claim_state_t)copy->state, created);
	claim_store_set_answer(store, rec, copy->answer);
	return true;
}

/*
 * If two attempts hold the id, at most one of them ran, but it is not known
 * which.  The record is then assigned to no attempt, so that no release frees
 * it.  The record that stays gets the later creation time of the two, since
 * the older one may be from an earlier run whose window has passed.
 */
static void resolve_conflict(claim_store_t *store, claim_rec_t *rec,
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
		rec->fingerprint = copy->fingerprint;
		claim_store_set_state(store, rec, (claim_state_t)copy->state,
				      created);
		claim_store_set_answer(store, rec, copy->answer);
		return;
	}
	if (rec->state == CLAIM_STATE_HELD && !same)
		rec->attempt = (claim_attempt_t){ 0, 0 };
	claim_store_set_state(store, rec, (claim_state_t)rec->state, created);
}
