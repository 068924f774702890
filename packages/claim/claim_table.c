#include "claim_int.h"

static const char *const verdict_names[CLAIM_VERDICT_MAX] = {
	[CLAIM_GRANTED] = "granted",   [CLAIM_HELD] = "held",
	[CLAIM_ANSWERED] = "answered", [CLAIM_NONE] = "none",
	[CLAIM_FULL] = "full",	       [CLAIM_MISMATCH] = "mismatch",
	[CLAIM_RELEASED] = "released", [CLAIM_SEALED] = "sealed",
	[CLAIM_BEHIND] = "behind",     [CLAIM_NOT_HERE] = "not-here",
	[CLAIM_UNSURE] = "unsure",     [CLAIM_LOST] = "lost",
};

const claim_limits_t claim_limits_default = {
	.window_us = 600 * BASE_SEC,
	.confirm_ttl_us = 10 * BASE_SEC,
	.store_outage_us = 3600 * BASE_SEC,
	.round_us = 2 * BASE_SEC,
	.lag_us = 30 * BASE_SEC,
	.tombstone_us = 60 * BASE_SEC,
	.max_records = 262144,
	.answer_bytes = 4 << 20,
};

static int destroy(claim_table_t *table);
static void keep_past_lists(claim_table_t *table, const claim_epoch_t *next);
static void push_past(claim_table_t *table, uint64_t number,
		      const claim_list_t *list);
static void extend_coverage(claim_table_t *table, const claim_epoch_t *epoch,
			    unsigned slice);
static void begin_epoch(claim_table_t *table, unsigned slice, int64_t now);
static bool is_in_pair(const claim_table_t *table, const claim_list_t *list,
		       unsigned slice);
static void note_entry_ended(claim_table_t *table,
			     const claim_contact_t *contact, int64_t now);
static void tighten_bounds(claim_table_t *table, int64_t now);
static bool majority_seen(const claim_table_t *table, int64_t now);
static int64_t latest_end(int64_t from, int64_t us, int64_t round_us);

claim_table_t *claim_table_new(const void *ctx, const claim_table_opts_t *opts)
{
	claim_table_t *table = talloc_zero(ctx, claim_table_t);

	table->entry = talloc_strdup(table, opts->entry);
	table->incarnation = opts->incarnation;
	table->limits = opts->limits;
	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		table->slices[i].complete_from = CLAIM_TIME_MIN;
	claim_store_init(&table->store, table, &table->limits);
	talloc_set_destructor(table, destroy);
	return table;
}

bool claim_table_adopt(claim_table_t *table, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now)
{
	if (table->epoch && epoch->number <= table->epoch->number)
		return false;
	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		extend_coverage(table, epoch, i);
	keep_past_lists(table, epoch);
	talloc_free(table->epoch);
	table->epoch = claim_epoch_dup(table, epoch);
	table->seen_at =
		talloc_zero_array(table->epoch, int64_t, epoch->current_list.n);
	table->seen =
		talloc_zero_array(table->epoch, bool, epoch->current_list.n);
	table->ended =
		talloc_zero_array(table->epoch, bool, epoch->former_list.n);
	table->majority_ended_at = INT64_MAX;
	table->adopted_at = now;
	table->confirmed = confirmed_at != 0;
	table->confirmed_at = confirmed_at;
	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		begin_epoch(table, i, now);
	note_entry_ended(table,
			 &(claim_contact_t){ .entry = table->entry,
					     .incarnation = table->incarnation,
					     .epoch = epoch->number },
			 now);
	return true;
}

void claim_table_confirm(claim_table_t *table, uint64_t number,
			 int64_t asked_at)
{
	if (!table->epoch || table->epoch->number != number)
		return;
	if (!table->confirmed || table->confirmed_at < asked_at)
		table->confirmed_at = asked_at;
	table->confirmed = true;
}

void claim_table_contact(claim_table_t *table, const claim_contact_t *contact,
			 int64_t now)
{
	const claim_epoch_t *epoch = table->epoch;
	int i;

	if (!epoch)
		return;
	if (contact->epoch == epoch->number) {
		i = claim_list_find(&epoch->current_list, contact->entry,
				    contact->incarnation);
		if (i != CLAIM_NO_MEMBER && contact->asked_at) {
			table->seen[i] = true;
			table->seen_at[i] =
				MAX(table->seen_at[i], contact->asked_at);
		}
		if (contact->confirmed_age >= 0)
			claim_table_confirm(
				table, contact->epoch,
				contact->asked_at -
					claim_add_drift(
						contact->confirmed_age));
	}
	note_entry_ended(table, contact, now);
}

claim_contact_t claim_table_hello(const claim_table_t *table, int64_t now)
{
	return (claim_contact_t){
		.entry = table->entry,
		.incarnation = table->incarnation,
		.epoch = table->epoch ? table->epoch->number : 0,
		.confirmed_age = table->epoch && table->confirmed
					 ? now - table->confirmed_at
					 : -1,
	};
}

bool claim_table_may_grant(const claim_table_t *table, int64_t now)
{
	int64_t age = now - table->confirmed_at;

	if (!table->epoch || !table->confirmed)
		return false;
	if (age <= table->limits.confirm_ttl_us)
		return true;
	return age <= table->limits.store_outage_us &&
	       majority_seen(table, now);
}

const claim_epoch_t *claim_table_epoch(const claim_table_t *table)
{
	return table->epoch;
}

uint64_t claim_table_settled(const claim_table_t *table, int64_t now)
{
	const claim_epoch_t *epoch = table->epoch;
	int64_t round_us = table->limits.round_us;

	if (!epoch)
		return 0;
	if (now >= latest_end(table->adopted_at, table->limits.store_outage_us,
			      round_us))
		return epoch->number - 1;
	if (table->majority_ended_at != INT64_MAX &&
	    epoch->settled + 2 >= epoch->number &&
	    now >= latest_end(table->majority_ended_at,
			      table->limits.confirm_ttl_us, round_us))
		return epoch->number - 1;
	return epoch->settled;
}

int64_t claim_table_adopted_at(const claim_table_t *table)
{
	return table->adopted_at;
}

const char *claim_verdict_name(claim_verdict_t verdict)
{
	return verdict_names[verdict];
}

int claim_table_self(const claim_table_t *table, const claim_list_t *list)
{
	return claim_list_find(list, table->entry, table->incarnation);
}

bool claim_table_fresh(const claim_table_t *table, unsigned slice,
		       uint64_t ticket, int64_t now)
{
	const claim_slice_t *slice_state = &table->slices[slice];

	if (ticket > slice_state->lost_epoch)
		return true;
	return now - slice_state->complete_from >=
	       claim_add_drift(table->limits.window_us + table->limits.lag_us);
}

bool claim_table_slice_copying(const claim_table_t *table, unsigned slice,
			       int64_t now)
{
	return table->epoch && now - table->adopted_at < CLAIM_COPY_US &&
	       table->slices[slice].needs_copy &&
	       !claim_table_fresh(table, slice, 0, now);
}

claim_stats_t claim_table_stats(const claim_table_t *table, int64_t now)
{
	claim_stats_t stats = { .records = table->store.used,
				.bytes = claim_store_bytes(&table->store),
				.answer_bytes = table->store.answer_bytes };

	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		if (!table->slices[i].is_replica)
			continue;
		stats.homed++;
		stats.fenced += !claim_table_fresh(table, i, 0, now);
	}
	return stats;
}

unsigned claim_table_uncopied_slices(const claim_table_t *table, int64_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		n += claim_table_slice_copying(table, i, now);
	return n;
}

static int destroy(claim_table_t *table)
{
	claim_store_clear(&table->store);
	return 0;
}

/*
 * Keep the lists of entries before "next": these entries may hold claim records
 * that this table lacks.
 */
static void keep_past_lists(claim_table_t *table, const claim_epoch_t *next)
{
	const claim_epoch_t *last = table->epoch;

	if (last && last->number + 1 < next->number)
		push_past(table, last->number, &last->current_list);
	push_past(table, next->number - 1, &next->former_list);
}

static void push_past(claim_table_t *table, uint64_t number,
		      const claim_list_t *list)
{
	claim_epoch_t *past = talloc_zero(table, claim_epoch_t);

	past->number = number;
	claim_list_copy(past, &past->current_list, list);
	talloc_free(table->past[CLAIM_PAST_LISTS - 1]);
	for (int i = CLAIM_PAST_LISTS - 1; i; i--)
		table->past[i] = table->past[i - 1];
	table->past[0] = past;
}

/*
 * Before "epoch" begins, set the last epoch that the bounds of "slice" (see
 * claim_table.h) account for.
 */
static void extend_coverage(claim_table_t *table, const claim_epoch_t *epoch,
			    unsigned slice)
{
	claim_slice_t *slice_state = &table->slices[slice];

	if (table->epoch && slice_state->is_replica)
		slice_state->covered_epoch = table->epoch->number;
	/*
	 * A claim needs a grant from both home and backup.  This entry was one
	 * of the two in the previous epoch but never adopted that epoch, and so
	 * granted nothing in it: no claim in the slice was acquired then, and
	 * no record of that epoch can be missing here.
	 */
	if (slice_state->covered_epoch + 2 == epoch->number &&
	    is_in_pair(table, &epoch->former_list, slice))
		slice_state->covered_epoch++;
}

static void begin_epoch(claim_table_t *table, unsigned slice, int64_t now)
{
	claim_slice_t *slice_state = &table->slices[slice];
	const claim_epoch_t *epoch = table->epoch;
	const claim_limits_t *limits = &table->limits;

	slice_state->is_replica =
		is_in_pair(table, &epoch->current_list, slice);
	slice_state->is_pulling = false;
	slice_state->source = 0;
	slice_state->cursor = 0;
	slice_state->backoff_us = 0;
	slice_state->retry_at = now;
	if (slice_state->is_replica &&
	    slice_state->covered_epoch + 1 < epoch->number) {
		slice_state->assigned_epoch = epoch->number;
		slice_state->lost_epoch = epoch->number - 1;
		slice_state->complete_from = latest_end(
			now, limits->store_outage_us, limits->round_us);
	}
	/* Records not copied in the previous epoch are still missing here. */
	slice_state->needs_copy = slice_state->is_replica &&
				  !claim_table_fresh(table, slice, 0, now);
}

static bool is_in_pair(const claim_table_t *table, const claim_list_t *list,
		       unsigned slice)
{
	int self = claim_table_self(table, list);
	claim_pair_t pair = claim_list_pair(list, slice);

	return self != CLAIM_NO_MEMBER &&
	       (pair.home == self || pair.backup == self);
}

/*
 * Note if "contact" proves that a member of the former list grants no more
 * takes in the former epoch: the member has adopted a later epoch, or has
 * restarted.
 */
static void note_entry_ended(claim_table_t *table,
			     const claim_contact_t *contact, int64_t now)
{
	const claim_list_t *former = &table->epoch->former_list;
	bool sealed = contact->epoch >= table->epoch->number;
	size_t ended = 0;
	bool changed = false;

	for (size_t i = 0; i < former->n; i++) {
		const claim_member_t *member = &former->members[i];

		if (!table->ended[i] && !strcmp(member->id, contact->entry) &&
		    (contact->incarnation > member->incarnation ||
		     (contact->incarnation == member->incarnation && sealed))) {
			table->ended[i] = true;
			changed = true;
		}
		ended += table->ended[i];
	}
	if (!changed)
		return;
	if (table->majority_ended_at == INT64_MAX && ended * 2 > former->n)
		table->majority_ended_at = now;
	tighten_bounds(table, now);
}

/*
 * Lower complete_from (see claim_table.h).  A claim needs a grant from both
 * home and backup, so no claim in a slice is acquired in the former epoch once
 * one of the two has left that epoch.  Once a majority of the former list has
 * left the epoch, the other members grant takes in it only until their last
 * confirmation of it expires.
 */
static void tighten_bounds(claim_table_t *table, int64_t now)
{
	const claim_epoch_t *epoch = table->epoch;
	const claim_limits_t *limits = &table->limits;

	if (epoch->settled + 2 < epoch->number)
		return;
	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		claim_slice_t *slice_state = &table->slices[i];
		claim_pair_t pair = claim_list_pair(&epoch->former_list, i);
		int64_t from = INT64_MAX;

		if (!slice_state->is_replica ||
		    slice_state->lost_epoch + 1 != epoch->number)
			continue;
		if (table->majority_ended_at != INT64_MAX)
			from = latest_end(table->majority_ended_at,
					  limits->confirm_ttl_us,
					  limits->round_us);
		if ((pair.home != CLAIM_NO_MEMBER && table->ended[pair.home]) ||
		    (pair.backup != CLAIM_NO_MEMBER &&
		     table->ended[pair.backup]))
			from = MIN(from, now + limits->round_us);
		slice_state->complete_from =
			MIN(slice_state->complete_from, from);
	}
}

static bool majority_seen(const claim_table_t *table, int64_t now)
{
	const claim_list_t *list = &table->epoch->current_list;
	int self = claim_table_self(table, list);
	size_t seen = 0;

	for (size_t i = 0; i < list->n; i++)
		seen += (int)i == self ||
			(table->seen[i] &&
			 now - table->seen_at[i] <=
				 table->limits.confirm_ttl_us);
	return seen * 2 > list->n;
}

/*
 * The time on this clock by which an interval of "us" that starts at "from",
 * and then a round of takes of up to "round_us" that began within the interval,
 * have ended on the clock of every entry.
 */
static int64_t latest_end(int64_t from, int64_t us, int64_t round_us)
{
	return from + claim_add_drift(us) + claim_add_drift(round_us);
}
