#include "claim_int.h"

static bool reply_from_record(const claim_rec_t *rec, const claim_take_t *take,
			      claim_reply_t *reply);
static claim_verdict_t check_epoch(const claim_table_t *table,
				   const claim_take_t *take, int64_t now);
static claim_verdict_t grant(claim_table_t *table, claim_rec_t *rec,
			     const claim_take_t *take, int64_t now);

void claim_table_take(claim_table_t *table, const claim_take_t *take,
		      int64_t now, claim_reply_t *reply)
{
	claim_rec_t *rec;

	claim_store_expire(&table->store, now);
	*reply = (claim_reply_t){ .epoch = table->epoch ? table->epoch->number
							: 0 };
	rec = claim_store_find(&table->store, take->id);
	if (rec && reply_from_record(rec, take, reply))
		return;
	reply->verdict = check_epoch(table, take, now);
	if (reply->verdict != CLAIM_NONE)
		return;
	reply->fresh = claim_table_fresh(table, claim_id_slice(take->id),
					 take->ticket, now);
	reply->copy_pending =
		!reply->fresh &&
		claim_table_slice_copying(table, claim_id_slice(take->id), now);
	if (!take->lookup_only)
		reply->verdict = grant(table, rec, take, now);
}

void claim_table_release(claim_table_t *table, claim_id_t id,
			 claim_attempt_t attempt, int64_t now)
{
	claim_rec_t *rec;

	claim_store_expire(&table->store, now);
	rec = claim_store_find(&table->store, id);
	if (!rec) {
		/*
		 * Messages may be reordered: a take that arrives after the
		 * release of its attempt must be refused, so the release is
		 * recorded.
		 */
		if (!claim_store_has_room(&table->store, id.lo))
			return;
		rec = claim_store_add(&table->store, id, id.lo, now);
		if (!rec)
			return;
		rec->attempt = attempt;
	}
	if (rec->state == CLAIM_STATE_HELD &&
	    claim_attempt_eq(rec->attempt, attempt))
		claim_store_set_state(&table->store, rec, CLAIM_STATE_RELEASED,
				      now);
}

void claim_table_finish(claim_table_t *table, const claim_finish_t *finish,
			int64_t now)
{
	const claim_attempt_t no_attempt = { 0, 0 };
	claim_rec_t *rec;
	int64_t created;

	claim_store_expire(&table->store, now);
	rec = claim_store_find(&table->store, finish->id);
	if (!rec && claim_store_has_room(&table->store, finish->caller)) {
		rec = claim_store_add(&table->store, finish->id, finish->caller,
				      now);
		if (rec)
			rec->attempt = finish->attempt;
	}
	if (!rec || rec->state == CLAIM_STATE_ANSWERED)
		return;
	if (rec->state == CLAIM_STATE_HELD &&
	    !claim_attempt_eq(rec->attempt, finish->attempt) &&
	    !claim_attempt_eq(rec->attempt, no_attempt))
		return;
	created = rec->state == CLAIM_STATE_HELD ? rec->created : now;
	rec->attempt = finish->attempt;
	rec->fingerprint = finish->fingerprint;
	claim_store_set_state(&table->store, rec, CLAIM_STATE_ANSWERED,
			      created);
	claim_store_set_answer(&table->store, rec, finish->answer);
}

void claim_table_expire(claim_table_t *table, int64_t now)
{
	claim_store_expire(&table->store, now);
}

/*
 * Reply to a take from the record of its id, whatever the take's epoch is.
 * Returns false if the record is no reason to refuse the take.
 */
static bool reply_from_record(const claim_rec_t *rec, const claim_take_t *take,
			      claim_reply_t *reply)
{
	if (rec->state == CLAIM_STATE_RELEASED)
		return false;
	if (rec->state == CLAIM_STATE_HELD && !take->lookup_only &&
	    claim_attempt_eq(rec->attempt, take->attempt))
		return false;
	if (rec->fingerprint != take->fingerprint)
		reply->verdict = CLAIM_MISMATCH;
	else if (rec->state == CLAIM_STATE_HELD)
		reply->verdict = CLAIM_HELD;
	else
		reply->verdict = CLAIM_ANSWERED;
	if (reply->verdict == CLAIM_ANSWERED && rec->answer)
		reply->answer =
			(base_str_t){ rec->answer->bytes, rec->answer->len };
	return true;
}

static claim_verdict_t check_epoch(const claim_table_t *table,
				   const claim_take_t *take, int64_t now)
{
	uint64_t number = table->epoch ? table->epoch->number : 0;

	if (take->epoch > number || take->ticket > number)
		return CLAIM_BEHIND;
	if (take->epoch < number)
		return CLAIM_SEALED;
	if (!table->slices[claim_id_slice(take->id)].is_replica)
		return CLAIM_NOT_HERE;
	return claim_table_may_grant(table, now) ? CLAIM_NONE : CLAIM_UNSURE;
}

static claim_verdict_t grant(claim_table_t *table, claim_rec_t *rec,
			     const claim_take_t *take, int64_t now)
{
	claim_store_t *store = &table->store;

	if (rec && claim_attempt_eq(rec->attempt, take->attempt))
		return rec->state == CLAIM_STATE_HELD ? CLAIM_GRANTED
						      : CLAIM_RELEASED;
	if (!rec) {
		if (!claim_store_has_room(store, take->caller))
			return CLAIM_FULL;
		rec = claim_store_add(store, take->id, take->caller, now);
		if (!rec)
			return CLAIM_FULL;
	}
	claim_store_set_state(store, rec, CLAIM_STATE_HELD, now);
	rec->attempt = take->attempt;
	rec->fingerprint = take->fingerprint;
	return CLAIM_GRANTED;
}
