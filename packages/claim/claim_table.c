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
	.confirm_us = 10 * BASE_SEC,
	.store_us = 3600 * BASE_SEC,
	.hold_us = 2 * BASE_SEC,
	.lag_us = 30 * BASE_SEC,
	.tombstone_us = 60 * BASE_SEC,
	.max_records = 262144,
	.answer_bytes = 4 << 20,
};

static int clear(claim_table_t *table);
static void note_past(claim_table_t *table, const claim_epoch_t *next);
static void push_past(claim_table_t *table, uint64_t number,
		      const claim_list_t *list);
static void carry_over(claim_table_t *table, const claim_epoch_t *epoch,
		       unsigned slice);
static void enter(claim_table_t *table, unsigned slice, int64_t now);
static bool in_pair(const claim_table_t *table, const claim_list_t *list,
		    unsigned slice);
static void note_ended(claim_table_t *table, const claim_contact_t *contact,
		       int64_t now);
static void tighten(claim_table_t *table, int64_t now);
static bool majority_seen(const claim_table_t *table, int64_t now);
static int64_t later(int64_t from, int64_t us, int64_t hold_us);

claim_table_t *claim_table_new(const void *ctx, const claim_table_opts_t *opts)
{
	claim_table_t *table = talloc_zero(ctx, claim_table_t);

	table->entry = talloc_strdup(table, opts->entry);
	table->incarnation = opts->incarnation;
	table->limits = opts->limits;
	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		table->slices[i].complete_from = CLAIM_EVER;
	claim_store_init(&table->store, table, &table->limits);
	talloc_set_destructor(table, clear);
	return table;
}

bool claim_table_adopt(claim_table_t *table, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now)
{
	if (table->epoch && epoch->number <= table->epoch->number)
		return false;
	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		carry_over(table, epoch, i);
	note_past(table, epoch);
	talloc_free(table->epoch);
	table->epoch = claim_epoch_dup(table, epoch);
	table->seen_at = talloc_zero_array(table->epoch, int64_t, epoch->now.n);
	table->seen = talloc_zero_array(table->epoch, bool, epoch->now.n);
	table->ended = talloc_zero_array(table->epoch, bool, epoch->former.n);
	table->majority_ended = INT64_MAX;
	table->adopted_at = now;
	table->confirmed = confirmed_at != 0;
	table->confirmed_at = confirmed_at;
	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		enter(table, i, now);
	note_ended(table,
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
		i = claim_list_find(&epoch->now, contact->entry,
				    contact->incarnation);
		if (i != CLAIM_NOBODY && contact->asked_at) {
			table->seen[i] = true;
			table->seen_at[i] =
				MAX(table->seen_at[i], contact->asked_at);
		}
		if (contact->confirmed_age >= 0)
			claim_table_confirm(
				table, contact->epoch,
				contact->asked_at -
					claim_stretch(contact->confirmed_age));
	}
	note_ended(table, contact, now);
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
	if (age <= table->limits.confirm_us)
		return true;
	return age <= table->limits.store_us && majority_seen(table, now);
}

const claim_epoch_t *claim_table_epoch(const claim_table_t *table)
{
	return table->epoch;
}

uint64_t claim_table_settled(const claim_table_t *table, int64_t now)
{
	const claim_epoch_t *epoch = table->epoch;
	int64_t hold = table->limits.hold_us;

	if (!epoch)
		return 0;
	if (now >= later(table->adopted_at, table->limits.store_us, hold))
		return epoch->number - 1;
	if (table->majority_ended != INT64_MAX &&
	    epoch->settled + 2 >= epoch->number &&
	    now >= later(table->majority_ended, table->limits.confirm_us, hold))
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
	const claim_slice_t *known = &table->slices[slice];

	if (ticket > known->lost)
		return true;
	return now - known->complete_from >=
	       claim_stretch(table->limits.window_us + table->limits.lag_us);
}

bool claim_table_copies(const claim_table_t *table, unsigned slice, int64_t now)
{
	return table->epoch && now - table->adopted_at < CLAIM_COPY_US &&
	       table->slices[slice].need &&
	       !claim_table_fresh(table, slice, 0, now);
}

claim_stats_t claim_table_stats(const claim_table_t *table, int64_t now)
{
	claim_stats_t stats = { .records = table->store.used,
				.bytes = claim_store_bytes(&table->store),
				.answer_bytes = table->store.answer_bytes };

	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		if (!table->slices[i].mine)
			continue;
		stats.homed++;
		stats.fenced += !claim_table_fresh(table, i, 0, now);
	}
	return stats;
}

unsigned claim_table_copying(const claim_table_t *table, int64_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < CLAIM_SLICES; i++)
		n += claim_table_copies(table, i, now);
	return n;
}

static int clear(claim_table_t *table)
{
	claim_store_clear(&table->store);
	return 0;
}

/* The lists before "next", whose entries may know what this one lacks. */
static void note_past(claim_table_t *table, const claim_epoch_t *next)
{
	const claim_epoch_t *last = table->epoch;

	if (last && last->number + 1 < next->number)
		push_past(table, last->number, &last->now);
	push_past(table, next->number - 1, &next->former);
}

static void push_past(claim_table_t *table, uint64_t number,
		      const claim_list_t *list)
{
	claim_epoch_t *past = talloc_zero(table, claim_epoch_t);

	past->number = number;
	claim_list_copy(past, &past->now, list);
	talloc_free(table->past[CLAIM_PAST - 1]);
	for (int i = CLAIM_PAST - 1; i; i--)
		table->past[i] = table->past[i - 1];
	table->past[0] = past;
}

/* What is known of "slice" at the end of the epoch that is left. */
static void carry_over(claim_table_t *table, const claim_epoch_t *epoch,
		       unsigned slice)
{
	claim_slice_t *known = &table->slices[slice];

	if (table->epoch && known->mine)
		known->through = table->epoch->number;
	/*
	 * An entry that skips an epoch never granted in it, so that no take of
	 * its slices was completed there.
	 */
	if (known->through + 2 == epoch->number &&
	    in_pair(table, &epoch->former, slice))
		known->through++;
}

static void enter(claim_table_t *table, unsigned slice, int64_t now)
{
	claim_slice_t *known = &table->slices[slice];
	const claim_epoch_t *epoch = table->epoch;
	const claim_limits_t *limits = &table->limits;

	known->mine = in_pair(table, &epoch->now, slice);
	known->pulling = false;
	known->source = 0;
	known->cursor = 0;
	known->pause = 0;
	known->again_at = now;
	if (known->mine && known->through + 1 < epoch->number) {
		known->since = epoch->number;
		known->lost = epoch->number - 1;
		known->complete_from =
			later(now, limits->store_us, limits->hold_us);
	}
	/* What was not learnt in the epoch before is still missing. */
	known->need = known->mine && !claim_table_fresh(table, slice, 0, now);
}

static bool in_pair(const claim_table_t *table, const claim_list_t *list,
		    unsigned slice)
{
	int self = claim_table_self(table, list);
	claim_pair_t pair = claim_list_pair(list, slice);

	return self != CLAIM_NOBODY &&
	       (pair.home == self || pair.backup == self);
}

/* A sign that an entry of the former list grants no more in that epoch. */
static void note_ended(claim_table_t *table, const claim_contact_t *contact,
		       int64_t now)
{
	const claim_list_t *former = &table->epoch->former;
	bool sealed = contact->epoch >= table->epoch->number;
	size_t ended = 0;
	bool news = false;

	for (size_t i = 0; i < former->n; i++) {
		const claim_member_t *member = &former->members[i];

		if (!table->ended[i] && !strcmp(member->id, contact->entry) &&
		    (contact->incarnation > member->incarnation ||
		     (contact->incarnation == member->incarnation && sealed))) {
			table->ended[i] = true;
			news = true;
		}
		ended += table->ended[i];
	}
	if (!news)
		return;
	if (table->majority_ended == INT64_MAX && ended * 2 > former->n)
		table->majority_ended = now;
	tighten(table, now);
}

/*
 * A take needs both of the pair, so that the end of one ends the slice.  No
 * entry grants for longer than a confirmation is good once most have ended.
 */
static void tighten(claim_table_t *table, int64_t now)
{
	const claim_epoch_t *epoch = table->epoch;
	const claim_limits_t *limits = &table->limits;

	if (epoch->settled + 2 < epoch->number)
		return;
	for (unsigned i = 0; i < CLAIM_SLICES; i++) {
		claim_slice_t *known = &table->slices[i];
		claim_pair_t pair = claim_list_pair(&epoch->former, i);
		int64_t from = INT64_MAX;

		if (!known->mine || known->lost + 1 != epoch->number)
			continue;
		if (table->majority_ended != INT64_MAX)
			from = later(table->majority_ended, limits->confirm_us,
				     limits->hold_us);
		if ((pair.home != CLAIM_NOBODY && table->ended[pair.home]) ||
		    (pair.backup != CLAIM_NOBODY && table->ended[pair.backup]))
			from = MIN(from, now + limits->hold_us);
		known->complete_from = MIN(known->complete_from, from);
	}
}

static bool majority_seen(const claim_table_t *table, int64_t now)
{
	const claim_list_t *list = &table->epoch->now;
	int self = claim_table_self(table, list);
	size_t seen = 0;

	for (size_t i = 0; i < list->n; i++)
		seen += (int)i == self ||
			(table->seen[i] &&
			 now - table->seen_at[i] <= table->limits.confirm_us);
	return seen * 2 > list->n;
}

/* When "us", begun at "from", and a take that was under way are surely over. */
static int64_t later(int64_t from, int64_t us, int64_t hold_us)
{
	return from + claim_stretch(us) + claim_stretch(hold_us);
}
