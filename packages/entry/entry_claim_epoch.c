#include <jansson.h>

#include "entry_claim.h"

/*
 * The epoch's record in the store, and who belongs into the next one.
 */

#define STORE_PERIOD_US (3 * BASE_SEC)
#define STORE_SOON_US BASE_SEC	/* while something is to be decided */
#define PROPOSE_US BASE_SEC	/* two calls each time, within the guard's */
#define RANK_US (500 * BASE_MS) /* who comes later in the list waits */
#define PULL_US (200 * BASE_MS) /* then others have their turn */

static void read_store(entry_claims_t *claims, int64_t now);
static void take_epoch(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t asked_at);
static void propose(entry_claims_t *claims, int64_t now);
static claim_list_t live_list(entry_claims_t *claims, const void *ctx,
			      const entry_claim_present_t *present, size_t n);
static claim_list_t left_list(entry_claims_t *claims, const void *ctx,
			      const entry_claim_present_t *present, size_t n);
static bool anyone_copies(const entry_claims_t *claims,
			  const claim_list_t *live, int64_t now);
static int by_id(const void *a, const void *b);
static bool knows(const entry_claims_t *claims,
		  const entry_claim_present_t *present);
static bool note_live(entry_claims_t *claims, const claim_list_t *live,
		      int64_t now);
static claim_epoch_t *next_epoch(entry_claims_t *claims, const void *ctx,
				 const claim_view_t *view, int64_t now);
static bool read_registered(entry_claims_t *claims, void *ctx,
			    claim_list_t *list);
static int64_t rank_of(const entry_claims_t *claims, const claim_list_t *live);
static void write_record(entry_claims_t *claims, const claim_epoch_t *next);
static void pull(entry_claims_t *claims);
static void note_copied(entry_claims_t *claims);
static void note_handover(entry_claims_t *claims);

void entry_claim_epoch_tick(entry_claims_t *claims, int64_t now)
{
	bool leaving = atomic_load(&claims->daemon->draining) != 0;
	int64_t period = STORE_PERIOD_US;

	if (!claims->store_number || leaving)
		period = STORE_SOON_US;
	if (now - claims->store_asked >= period)
		read_store(claims, now);
	entry_claim_greet(claims, now);
	propose(claims, now);
	entry_claim_greet(claims, now);
	pull(claims);
	note_copied(claims);
	entry_claim_greet(claims, now);
	if (leaving)
		note_handover(claims);
}

void entry_claim_wake(entry_claims_t *claims)
{
	if (claims->duty)
		kern_duty_post(claims->duty, claims);
}

void entry_claim_adopt(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now)
{
	if (!claim_table_adopt(claims->table, epoch, confirmed_at, now))
		return;
	claims->epochs++;
	claims->copying = claim_table_copying(claims->table, now) > 0;
	entry_claim_wake(claims);
	base_log(claims->daemon->log, BASE_MSG_CLAIM_EPOCH,
		 BASE_F_INT("epoch", (int64_t)epoch->number),
		 BASE_F_INT("entries", (int64_t)epoch->now.n));
}

/*
 * The record grows with the entries and seldom changes: its revision is asked
 * for, and the record where none was read yet or that one is another.
 */
static void read_store(entry_claims_t *claims, int64_t now)
{
	plat_store_t *store =
		plat_guard_store(claims->daemon->guard, PLAT_FOR_EPOCH);
	void *ctx = talloc_new(NULL);
	claim_epoch_t *epoch = NULL;
	plat_kvs_t kvs;
	bool read;

	claims->store_asked = now;
	read = !claims->store_number ||
	       store->ops->keys(store, ctx, CLAIM_EPOCH_KEY, false, &kvs, NULL);
	if (read && claims->store_number && kvs.count &&
	    kvs.items[0].mod_revision == claims->store_revision) {
		pthread_mutex_lock(&claims->lock);
		claim_table_confirm(claims->table, claims->store_number, now);
		pthread_mutex_unlock(&claims->lock);
	} else if (read && store->ops->range(store, ctx, CLAIM_EPOCH_KEY, false,
					     &kvs, NULL)) {
		claims->none_in_store = !kvs.count;
		claims->store_number = 0;
		claims->store_revision =
			kvs.count ? kvs.items[0].mod_revision : 0;
		if (kvs.count)
			epoch = claim_epoch_parse(ctx, kvs.items[0].value,
						  NULL);
		if (epoch)
			take_epoch(claims, epoch, now);
	}
	talloc_free(ctx);
}

static void take_epoch(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t asked_at)
{
	claims->store_number = epoch->number;
	pthread_mutex_lock(&claims->lock);
	entry_claim_adopt(claims, epoch, asked_at, base_clock_mono());
	claim_table_confirm(claims->table, epoch->number, asked_at);
	pthread_mutex_unlock(&claims->lock);
}

/*
 * The store is asked for the members only when the list would change if it had
 * none of those that are gone, so that a wait costs no calls: they would use up
 * what the guard allows, and the write would never have its turn.
 */
static void propose(entry_claims_t *claims, int64_t now)
{
	void *ctx = talloc_new(NULL);
	bool leaving = atomic_load(&claims->daemon->draining) != 0;
	claim_view_t view = { .leaving = leaving };
	const claim_epoch_t *epoch;
	claim_epoch_t *next = NULL;
	bool current, differs;
	entry_claim_present_t *present;
	size_t n = entry_claim_present(claims, ctx, &present);

	pthread_mutex_lock(&claims->lock);
	view.live = live_list(claims, ctx, present, n);
	view.left = left_list(claims, ctx, present, n);
	view.copying = anyone_copies(claims, &view.live, now);
	epoch = claim_table_epoch(claims->table);
	differs = note_live(claims, &view.live, now);
	current = epoch ? epoch->number == claims->store_number
			: claims->none_in_store;
	pthread_mutex_unlock(&claims->lock);
	view.since = claims->live_since + rank_of(claims, &view.live);
	if (differs && current && now - claims->proposed >= PROPOSE_US &&
	    next_epoch(claims, ctx, &view, now)) {
		claims->proposed = now;
		if (read_registered(claims, ctx, &view.registered))
			next = next_epoch(claims, ctx, &view, now);
	}
	if (next)
		write_record(claims, next);
	talloc_free(ctx);
}

static claim_epoch_t *next_epoch(entry_claims_t *claims, const void *ctx,
				 const claim_view_t *view, int64_t now)
{
	claim_epoch_t *next;

	pthread_mutex_lock(&claims->lock);
	next = claim_propose(ctx, claims->table, view, claims->none_in_store,
			     now);
	pthread_mutex_unlock(&claims->lock);
	return next;
}

/* Under the lock: this entry, unless it leaves, and those that answered. */
static claim_list_t live_list(entry_claims_t *claims, const void *ctx,
			      const entry_claim_present_t *present, size_t n)
{
	const entry_settings_t *settings = claims->daemon->settings;
	claim_list_t list = { talloc_zero_array(ctx, claim_member_t, n + 1),
			      0 };

	if (!atomic_load(&claims->daemon->draining))
		list.members[list.n++] = (claim_member_t){
			settings->name, settings->zone,
			claim_table_hello(claims->table, 0).incarnation
		};
	for (size_t i = 0; i < n; i++) {
		const entry_claim_peer_t *peer =
			g_hash_table_lookup(claims->peers, present[i].id);

		if (!peer || !knows(claims, &present[i]) || peer->leaving ||
		    present[i].left)
			continue;
		list.members[list.n++] =
			(claim_member_t){ present[i].id,
					  talloc_strdup(ctx, peer->zone),
					  peer->incarnation };
	}
	qsort(list.members, list.n, sizeof(claim_member_t), by_id);
	return list;
}

/* Under the lock: those that said that they stop, this entry among them. */
static claim_list_t left_list(entry_claims_t *claims, const void *ctx,
			      const entry_claim_present_t *present, size_t n)
{
	const entry_settings_t *settings = claims->daemon->settings;
	claim_list_t list = { talloc_zero_array(ctx, claim_member_t, n + 1),
			      0 };

	if (atomic_load(&claims->daemon->draining))
		list.members[list.n++] = (claim_member_t){
			settings->name, settings->zone,
			claim_table_hello(claims->table, 0).incarnation
		};
	for (size_t i = 0; i < n; i++) {
		const entry_claim_peer_t *peer =
			g_hash_table_lookup(claims->peers, present[i].id);

		if (peer && peer->leaving)
			list.members[list.n++] =
				(claim_member_t){ present[i].id, "",
						  peer->incarnation };
	}
	return list;
}

/* Under the lock: whether an entry of the list cannot vouch for all yet. */
static bool anyone_copies(const entry_claims_t *claims,
			  const claim_list_t *live, int64_t now)
{
	const claim_epoch_t *epoch = claim_table_epoch(claims->table);

	if (!epoch)
		return false;
	for (size_t i = 0; i < live->n; i++) {
		const claim_member_t *member = &live->members[i];
		const entry_claim_peer_t *peer =
			g_hash_table_lookup(claims->peers, member->id);

		if (claim_list_find(&epoch->now, member->id,
				    member->incarnation) == CLAIM_NOBODY)
			continue;
		if (peer && (peer->copying || peer->epoch < epoch->number))
			return true;
	}
	return claim_table_copying(claims->table, now) > 0;
}

/* Under the lock: whether it has answered since membership last lost it. */
static bool knows(const entry_claims_t *claims,
		  const entry_claim_present_t *present)
{
	const entry_claim_peer_t *peer =
		g_hash_table_lookup(claims->peers, present->id);

	return peer && peer->memb_incarnation == present->incarnation;
}

static int by_id(const void *a, const void *b)
{
	const claim_member_t *left = a, *right = b;

	return strcmp(left->id, right->id);
}

/* Under the lock; whether the list is another one than the epoch's. */
static bool note_live(entry_claims_t *claims, const claim_list_t *live,
		      int64_t now)
{
	const claim_epoch_t *epoch = claim_table_epoch(claims->table);
	GString *text = g_string_new(NULL);
	bool differs = !epoch || epoch->now.n != live->n;

	for (size_t i = 0; i < live->n; i++) {
		const claim_member_t *member = &live->members[i];

		g_string_append_printf(text, "%s/%llu ", member->id,
				       (unsigned long long)member->incarnation);
		if (epoch &&
		    claim_list_find(&epoch->now, member->id,
				    member->incarnation) == CLAIM_NOBODY)
			differs = true;
	}
	if (!claims->live || strcmp(claims->live, text->str) != 0) {
		g_free(claims->live);
		claims->live = g_strdup(text->str);
		claims->live_since = now;
	}
	g_string_free(text, TRUE);
	return differs;
}

/* Who has a live lease; while it cannot be read the list stays. */
static bool read_registered(entry_claims_t *claims, void *ctx,
			    claim_list_t *list)
{
	plat_store_t *store =
		plat_guard_store(claims->daemon->guard, PLAT_FOR_EPOCH);
	size_t skip = strlen(ENTRY_MEMBERS_PREFIX);
	plat_kvs_t kvs;

	if (!store->ops->range(store, ctx, ENTRY_MEMBERS_PREFIX, true, &kvs,
			       NULL))
		return false;
	list->members = talloc_zero_array(ctx, claim_member_t, kvs.count);
	for (size_t i = 0; i < kvs.count; i++) {
		base_str_t key = kvs.items[i].key, value = kvs.items[i].value;
		json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
		const char *text =
			json_string_value(json_object_get(root, "incarnation"));

		if (text && key.len > skip)
			list->members[list->n++] = (claim_member_t){
				talloc_strndup(ctx, key.ptr + skip,
					       key.len - skip),
				"", g_ascii_strtoull(text, NULL, 10)
			};
		json_decref(root);
	}
	return true;
}

/* So that not all write at once. */
static int64_t rank_of(const entry_claims_t *claims, const claim_list_t *live)
{
	for (size_t i = 0; i < live->n; i++)
		if (!strcmp(live->members[i].id,
			    claims->daemon->settings->name))
			return (int64_t)i * RANK_US;
	return 0;
}

static void write_record(entry_claims_t *claims, const claim_epoch_t *next)
{
	plat_store_t *store =
		plat_guard_store(claims->daemon->guard, PLAT_FOR_EPOCH);
	base_buf_t *text = base_buf_new(NULL);
	int64_t asked_at = base_clock_mono();
	plat_put_t put = { .key = CLAIM_EPOCH_KEY,
			   .expected = claims->store_revision };
	plat_cas_t done;
	int64_t revision;

	claim_epoch_print(next, text);
	put.value = base_buf_str(text);
	done = plat_cas_sure(store, &put, &revision, NULL);
	if (done == PLAT_CAS_DONE) {
		claims->store_number = next->number;
		claims->store_revision = revision;
		claims->none_in_store = false;
		pthread_mutex_lock(&claims->lock);
		entry_claim_adopt(claims, next, asked_at, base_clock_mono());
		pthread_mutex_unlock(&claims->lock);
	} else if (done == PLAT_CAS_CONFLICT) {
		claims->store_asked = 0; /* somebody else did */
	}
	talloc_free(text);
}

static void pull(entry_claims_t *claims)
{
	int64_t end = base_clock_mono() + PULL_US;
	void *ctx = talloc_new(NULL);
	claim_pull_t next;
	bool more;

	for (int i = 0; base_clock_mono() < end; i++) {
		pthread_mutex_lock(&claims->lock);
		more = claim_table_next_pull(claims->table, claims->pull_from,
					     base_clock_mono(), &next);
		if (more) {
			next.source.id = talloc_strdup(ctx, next.source.id);
			next.source.zone = talloc_strdup(ctx, next.source.zone);
		}
		pthread_mutex_unlock(&claims->lock);
		if (!more)
			break;
		claims->pull_from = next.slice;
		entry_claim_pull(claims, &next);
		if (i % 8 == 7)
			claims->pull_from = (next.slice + 1) % CLAIM_SLICES;
	}
	talloc_free(ctx);
}

/* The others wait for it with the next change of the list. */
static void note_copied(entry_claims_t *claims)
{
	bool copying;

	pthread_mutex_lock(&claims->lock);
	copying = claim_table_copying(claims->table, base_clock_mono()) > 0;
	claims->copying = copying;
	pthread_mutex_unlock(&claims->lock);
}

/*
 * A stop waits until the list goes on without this entry and those on it vouch
 * for what it homed; with nobody else there is nobody to wait for.
 */
static void note_handover(entry_claims_t *claims)
{
	void *ctx = talloc_new(NULL);
	const claim_epoch_t *epoch;
	claim_contact_t self;
	claim_list_t live;
	entry_claim_present_t *present;
	size_t n = entry_claim_present(claims, ctx, &present);
	bool done;

	pthread_mutex_lock(&claims->lock);
	epoch = claim_table_epoch(claims->table);
	self = claim_table_hello(claims->table, 0);
	live = live_list(claims, ctx, present, n);
	done = !epoch || !live.n ||
	       (claim_list_find(&epoch->now, self.entry, self.incarnation) ==
			CLAIM_NOBODY &&
		!anyone_copies(claims, &live, base_clock_mono()));
	pthread_mutex_unlock(&claims->lock);
	atomic_store(&claims->handed_over, done);
	talloc_free(ctx);
}
