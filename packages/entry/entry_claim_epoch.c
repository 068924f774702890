#include <jansson.h>

#include "entry_claim.h"

/*
 * Reads and writes the epoch record in the store and decides which entries the
 * next epoch lists.
 */

#define STORE_PERIOD_US (3 * BASE_SEC)
/*
 * Period of the reads of the epoch record while no epoch is known and during a
 * planned stop.
 */
#define STORE_SHORT_PERIOD_US BASE_SEC
/*
 * Least time between two proposals of an epoch.  Each proposal makes two calls
 * to the store, whose rate the guard limits.
 */
#define PROPOSE_PERIOD_US BASE_SEC
/* Delay of a proposal per position of this entry in the list. */
#define RANK_DELAY_US (500 * BASE_MS)
/*
 * Longest time that one tick may spend on pulls of slices, so that hellos are
 * sent in time.
 */
#define PULL_TIME_MAX_US (200 * BASE_MS)

static void read_store(entry_claims_t *claims, int64_t now);
static void adopt_stored_epoch(entry_claims_t *claims,
			       const claim_epoch_t *epoch, int64_t asked_at);
static void propose_epoch(entry_claims_t *claims, int64_t now);
static claim_list_t live_list(entry_claims_t *claims, const void *ctx,
			      const entry_claim_present_t *present, size_t n);
static claim_list_t leaving_list(entry_claims_t *claims, const void *ctx,
				 const entry_claim_present_t *present,
				 size_t n);
static bool any_entry_copying(const entry_claims_t *claims,
			      const claim_list_t *live, int64_t now);
static int compare_ids(const void *a, const void *b);
static bool has_current_contact(const entry_claims_t *claims,
				const entry_claim_present_t *present);
static bool track_live_list(entry_claims_t *claims, const claim_list_t *live,
			    int64_t now);
static claim_epoch_t *next_epoch(entry_claims_t *claims, const void *ctx,
				 const claim_view_t *view, int64_t now);
static bool read_registered(entry_claims_t *claims, void *ctx,
			    claim_list_t *list);
static int64_t rank_delay_us(const entry_claims_t *claims,
			     const claim_list_t *live);
static void write_record(entry_claims_t *claims, const claim_epoch_t *next);
static void pull_slices(entry_claims_t *claims);
static void update_copying(entry_claims_t *claims);
static void update_handed_over(entry_claims_t *claims);

void entry_claim_epoch_tick(entry_claims_t *claims, int64_t now)
{
	bool leaving = atomic_load(&claims->daemon->draining) != 0;
	int64_t period = STORE_PERIOD_US;

	if (!claims->store_epoch || leaving)
		period = STORE_SHORT_PERIOD_US;
	if (now - claims->store_read_at >= period)
		read_store(claims, now);
	entry_claim_greet(claims, now);
	propose_epoch(claims, now);
	entry_claim_greet(claims, now);
	pull_slices(claims);
	update_copying(claims);
	entry_claim_greet(claims, now);
	if (leaving)
		update_handed_over(claims);
}

void entry_claim_wake(entry_claims_t *claims)
{
	if (claims->duty)
		kern_thread_post(claims->duty, claims);
}

void entry_claim_adopt(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now)
{
	if (!claim_table_adopt(claims->table, epoch, confirmed_at, now))
		return;
	claims->epochs++;
	claims->copying = claim_table_uncopied_slices(claims->table, now) > 0;
	entry_claim_wake(claims);
	base_log(claims->daemon->log, BASE_MSG_CLAIM_EPOCH,
		 BASE_F_INT("epoch", (int64_t)epoch->number),
		 BASE_F_INT("entries", (int64_t)epoch->current_list.n));
}

/*
 * The record grows with the number of entries and changes rarely.  Therefore
 * only its revision is read, and the record itself if none was read before or
 * the revision differs.
 */
static void read_store(entry_claims_t *claims, int64_t now)
{
	plat_store_t *store =
		plat_guard_store(claims->daemon->guard, PLAT_FOR_EPOCH);
	void *ctx = talloc_new(NULL);
	claim_epoch_t *epoch = NULL;
	plat_kvs_t kvs;
	bool read;

	claims->store_read_at = now;
	read = !claims->store_epoch ||
	       store->ops->keys(store, ctx, CLAIM_EPOCH_KEY, false, &kvs, NULL);
	if (read && claims->store_epoch && kvs.count &&
	    kvs.items[0].mod_revision == claims->store_revision) {
		pthread_mutex_lock(&claims->lock);
		claim_table_confirm(claims->table, claims->store_epoch, now);
		pthread_mutex_unlock(&claims->lock);
	} else if (read && store->ops->range(store, ctx, CLAIM_EPOCH_KEY, false,
					     &kvs, NULL)) {
		claims->none_in_store = !kvs.count;
		claims->store_epoch = 0;
		claims->store_revision =
			kvs.count ? kvs.items[0].mod_revision : 0;
		if (kvs.count)
			epoch = claim_epoch_parse(ctx, kvs.items[0].value,
						  NULL);
		if (epoch)
			adopt_stored_epoch(claims, epoch, now);
	}
	talloc_free(ctx);
}

static void adopt_stored_epoch(entry_claims_t *claims,
			       const claim_epoch_t *epoch, int64_t asked_at)
{
	claims->store_epoch = epoch->number;
	pthread_mutex_lock(&claims->lock);
	entry_claim_adopt(claims, epoch, asked_at, base_clock_mono());
	claim_table_confirm(claims->table, epoch->number, asked_at);
	pthread_mutex_unlock(&claims->lock);
}

/*
 * Proposes and writes the next epoch if the list of entries changed.  The
 * registered entries are read from the store only if an epoch would be proposed
 * with none registered.  Reading them while a change is delayed would use up
 * the calls that the guard allows, and the write would never be sent.
 */
static void propose_epoch(entry_claims_t *claims, int64_t now)
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
	view.left = leaving_list(claims, ctx, present, n);
	view.copying = any_entry_copying(claims, &view.live, now);
	epoch = claim_table_epoch(claims->table);
	differs = track_live_list(claims, &view.live, now);
	current = epoch ? epoch->number == claims->store_epoch
			: claims->none_in_store;
	pthread_mutex_unlock(&claims->lock);
	view.since = claims->live_since + rank_delay_us(claims, &view.live);
	if (differs && current &&
	    now - claims->proposed_at >= PROPOSE_PERIOD_US &&
	    next_epoch(claims, ctx, &view, now)) {
		claims->proposed_at = now;
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

/*
 * Lists the live entries: this one unless it leaves, and the others that
 * answered and do not leave.  The caller holds the lock.
 */
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

		if (!peer || !has_current_contact(claims, &present[i]) ||
		    peer->leaving || present[i].left)
			continue;
		list.members[list.n++] =
			(claim_member_t){ present[i].id,
					  talloc_strdup(ctx, peer->zone),
					  peer->incarnation };
	}
	qsort(list.members, list.n, sizeof(claim_member_t), compare_ids);
	return list;
}

/*
 * Lists the entries that announced that they stop, including this one.  The
 * caller holds the lock.
 */
static claim_list_t leaving_list(entry_claims_t *claims, const void *ctx,
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

/*
 * Whether an entry of the list still copies slices or has not adopted the
 * epoch.  The caller holds the lock.
 */
static bool any_entry_copying(const entry_claims_t *claims,
			      const claim_list_t *live, int64_t now)
{
	const claim_epoch_t *epoch = claim_table_epoch(claims->table);

	if (!epoch)
		return false;
	for (size_t i = 0; i < live->n; i++) {
		const claim_member_t *member = &live->members[i];
		const entry_claim_peer_t *peer =
			g_hash_table_lookup(claims->peers, member->id);

		if (claim_list_find(&epoch->current_list, member->id,
				    member->incarnation) == CLAIM_NO_MEMBER)
			continue;
		if (peer && (peer->copying || peer->epoch < epoch->number))
			return true;
	}
	return claim_table_uncopied_slices(claims->table, now) > 0;
}

/*
 * Whether the entry has answered since membership last lost it.  The caller
 * holds the lock.
 */
static bool has_current_contact(const entry_claims_t *claims,
				const entry_claim_present_t *present)
{
	const entry_claim_peer_t *peer =
		g_hash_table_lookup(claims->peers, present->id);

	return peer && peer->memb_incarnation == present->incarnation;
}

static int compare_ids(const void *a, const void *b)
{
	const claim_member_t *left = a, *right = b;

	return strcmp(left->id, right->id);
}

/*
 * Record when the live list last changed.  Returns whether it differs from the
 * epoch's.  The caller holds the lock.
 */
static bool track_live_list(entry_claims_t *claims, const claim_list_t *live,
			    int64_t now)
{
	const claim_epoch_t *epoch = claim_table_epoch(claims->table);
	GString *text = g_string_new(NULL);
	bool differs = !epoch || epoch->current_list.n != live->n;

	for (size_t i = 0; i < live->n; i++) {
		const claim_member_t *member = &live->members[i];

		g_string_append_printf(text, "%s/%llu ", member->id,
				       (unsigned long long)member->incarnation);
		if (epoch &&
		    claim_list_find(&epoch->current_list, member->id,
				    member->incarnation) == CLAIM_NO_MEMBER)
			differs = true;
	}
	if (!claims->live_text || strcmp(claims->live_text, text->str) != 0) {
		g_free(claims->live_text);
		claims->live_text = g_strdup(text->str);
		claims->live_since = now;
	}
	g_string_free(text, TRUE);
	return differs;
}

/*
 * List the entries that have a live lease in the store.  Returns false if that
 * cannot be read; the epoch then stays as it is.
 */
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

/*
 * Delay of this entry's proposal.  Entries later in the list propose later,
 * which spreads the writes to the store.
 */
static int64_t rank_delay_us(const entry_claims_t *claims,
			     const claim_list_t *live)
{
	for (size_t i = 0; i < live->n; i++)
		if (!strcmp(live->members[i].id,
			    claims->daemon->settings->name))
			return (int64_t)i * RANK_DELAY_US;
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
	done = plat_cas_confirmed(store, &put, &revision, NULL);
	if (done == PLAT_CAS_DONE) {
		claims->store_epoch = next->number;
		claims->store_revision = revision;
		claims->none_in_store = false;
		pthread_mutex_lock(&claims->lock);
		entry_claim_adopt(claims, next, asked_at, base_clock_mono());
		pthread_mutex_unlock(&claims->lock);
	} else if (done == PLAT_CAS_CONFLICT) {
		claims->store_read_at = 0; /* another entry wrote first */
	}
	talloc_free(text);
}

static void pull_slices(entry_claims_t *claims)
{
	int64_t end = base_clock_mono() + PULL_TIME_MAX_US;
	void *ctx = talloc_new(NULL);
	claim_pull_t next;
	bool more;

	for (int i = 0; base_clock_mono() < end; i++) {
		pthread_mutex_lock(&claims->lock);
		more = claim_table_next_pull(claims->table,
					     claims->next_pull_slice,
					     base_clock_mono(), &next);
		if (more) {
			next.source.id = talloc_strdup(ctx, next.source.id);
			next.source.zone = talloc_strdup(ctx, next.source.zone);
		}
		pthread_mutex_unlock(&claims->lock);
		if (!more)
			break;
		claims->next_pull_slice = next.slice;
		entry_claim_pull(claims, &next);
		if (i % 8 == 7)
			claims->next_pull_slice =
				(next.slice + 1) % CLAIM_SLICES;
	}
	talloc_free(ctx);
}

/*
 * Updates whether this entry copies slices.  While it does, the other entries
 * delay the next change of the list.
 */
static void update_copying(entry_claims_t *claims)
{
	bool copying;

	pthread_mutex_lock(&claims->lock);
	copying = claim_table_uncopied_slices(claims->table,
					      base_clock_mono()) > 0;
	claims->copying = copying;
	pthread_mutex_unlock(&claims->lock);
}

/*
 * A planned stop waits until the epoch no longer lists this entry and the
 * listed entries have copied the slices that it homed.  If no other entry is
 * live, it does not wait.
 */
static void update_handed_over(entry_claims_t *claims)
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
	       (claim_list_find(&epoch->current_list, self.entry,
				self.incarnation) == CLAIM_NO_MEMBER &&
		!any_entry_copying(claims, &live, base_clock_mono()));
	pthread_mutex_unlock(&claims->lock);
	atomic_store(&claims->handed_over, done);
	talloc_free(ctx);
}
