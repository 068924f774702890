#include <jansson.h>

#include "entry_claim.h"

/*
 * The epoch's record in the store, and who belongs into the next one.
 */

#define STORE_PERIOD_US (3 * BASE_SEC)
#define STORE_SOON_US (500 * BASE_MS) /* while something is to be decided */
#define HELLO_PERIOD_US (2 * BASE_SEC)
#define HELLO_LOST_US (5 * BASE_SEC) /* without a word: not live */
#define RANK_US (500 * BASE_MS)	     /* who comes later in the list waits */
#define PULLS 32		     /* at once */

static void read_store(entry_claims_t *claims, int64_t now);
static void say_hello(entry_claims_t *claims, int64_t now);
static void propose(entry_claims_t *claims, int64_t now);
static claim_list_t live_list(entry_claims_t *claims, const void *ctx,
			      int64_t now);
static int by_id(const void *a, const void *b);
static bool note_live(entry_claims_t *claims, const claim_list_t *live,
		      int64_t now);
static void read_registered(entry_claims_t *claims, void *ctx,
			    claim_list_t *list);
static int64_t rank_of(const entry_claims_t *claims, const claim_list_t *live);
static void write_record(entry_claims_t *claims, const claim_epoch_t *next);
static void pull(entry_claims_t *claims);

void entry_claim_epoch_tick(entry_claims_t *claims, int64_t now)
{
	bool leaving = atomic_load(&claims->daemon->draining) != 0;
	int64_t period = STORE_PERIOD_US;

	if (!claims->store_number || leaving)
		period = STORE_SOON_US;
	if (now - claims->store_asked >= period)
		read_store(claims, now);
	if (claims->soon || now - claims->hello_said >= HELLO_PERIOD_US)
		say_hello(claims, now);
	propose(claims, now);
	if (claims->soon)
		say_hello(claims, now);
	pull(claims);
}

void entry_claim_adopt(entry_claims_t *claims, const claim_epoch_t *epoch,
		       int64_t confirmed_at, int64_t now)
{
	if (!claim_table_adopt(claims->table, epoch, confirmed_at, now))
		return;
	claims->epochs++;
	base_log(claims->daemon->log, BASE_MSG_CLAIM_EPOCH,
		 BASE_F_INT("epoch", (int64_t)epoch->number),
		 BASE_F_INT("entries", (int64_t)epoch->now.n));
}

static void read_store(entry_claims_t *claims, int64_t now)
{
	plat_store_t *store =
		plat_guard_store(claims->daemon->guard, PLAT_FOR_EPOCH);
	void *ctx = talloc_new(NULL);
	claim_epoch_t *epoch = NULL;
	plat_kvs_t kvs;

	claims->store_asked = now;
	if (!store->ops->range(store, ctx, CLAIM_EPOCH_KEY, false, &kvs,
			       NULL)) {
		talloc_free(ctx);
		return;
	}
	claims->none_in_store = !kvs.count;
	claims->store_number = 0;
	claims->store_revision = kvs.count ? kvs.items[0].mod_revision : 0;
	if (kvs.count)
		epoch = claim_epoch_parse(ctx, kvs.items[0].value, NULL);
	if (epoch) {
		claims->store_number = epoch->number;
		pthread_mutex_lock(&claims->lock);
		claims->soon |= epoch->number >
				claim_table_hello(claims->table, now).epoch;
		entry_claim_adopt(claims, epoch, now, base_clock_mono());
		claim_table_confirm(claims->table, epoch->number, now);
		pthread_mutex_unlock(&claims->lock);
	}
	talloc_free(ctx);
}

static void say_hello(entry_claims_t *claims, int64_t now)
{
	entry_memb_t *memb = claims->daemon->memb;
	void *ctx = talloc_new(NULL);
	char **ids;
	size_t n = 0;

	claims->hello_said = now;
	claims->soon = false;
	pthread_mutex_lock(&memb->lock);
	ids = talloc_zero_array(ctx, char *, memb_count(memb->core));
	for (size_t i = 1; i < memb_count(memb->core); i++) {
		const memb_record_t *rec = memb_at(memb->core, i);

		if (rec->state == MEMB_ALIVE || rec->state == MEMB_SUSPECT ||
		    rec->state == MEMB_LEFT)
			ids[n++] = talloc_strdup(ids, rec->id);
	}
	pthread_mutex_unlock(&memb->lock);
	for (size_t i = 0; i < n; i++)
		entry_claim_hello(claims, ids[i]);
	talloc_free(ctx);
}

/* The store is asked for the members only when a change is due. */
static void propose(entry_claims_t *claims, int64_t now)
{
	void *ctx = talloc_new(NULL);
	bool leaving = atomic_load(&claims->daemon->draining) != 0;
	claim_view_t view = { .leaving = leaving };
	const claim_epoch_t *epoch;
	claim_epoch_t *next = NULL;
	bool current, differs;

	pthread_mutex_lock(&claims->lock);
	view.live = live_list(claims, ctx, now);
	epoch = claim_table_epoch(claims->table);
	differs = note_live(claims, &view.live, now);
	current = epoch ? epoch->number == claims->store_number
			: claims->none_in_store;
	pthread_mutex_unlock(&claims->lock);
	view.since = claims->live_since + rank_of(claims, &view.live);
	if (differs && current &&
	    (leaving || now - view.since >= CLAIM_VIEW_STABLE_US)) {
		read_registered(claims, ctx, &view.registered);
		pthread_mutex_lock(&claims->lock);
		next = claim_propose(ctx, claims->table, &view,
				     claims->none_in_store, now);
		pthread_mutex_unlock(&claims->lock);
	}
	if (next)
		write_record(claims, next);
	talloc_free(ctx);
}

/* Under the lock: this entry, unless it leaves, and those that answer. */
static claim_list_t live_list(entry_claims_t *claims, const void *ctx,
			      int64_t now)
{
	const entry_settings_t *settings = claims->daemon->settings;
	guint max = g_hash_table_size(claims->peers) + 1;
	claim_list_t list = { talloc_zero_array(ctx, claim_member_t, max), 0 };
	GHashTableIter iter;
	void *key, *value;

	if (!atomic_load(&claims->daemon->draining))
		list.members[list.n++] = (claim_member_t){
			settings->name, settings->zone,
			claim_table_hello(claims->table, now).incarnation
		};
	g_hash_table_iter_init(&iter, claims->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const entry_claim_peer_t *peer = value;

		if (peer->leaving || now - peer->heard > HELLO_LOST_US)
			continue;
		list.members[list.n++] =
			(claim_member_t){ talloc_strdup(list.members, key),
					  talloc_strdup(list.members,
							peer->zone),
					  peer->incarnation };
	}
	qsort(list.members, list.n, sizeof(claim_member_t), by_id);
	return list;
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

/* Who has a live lease; when it cannot be read, nobody is taken out. */
static void read_registered(entry_claims_t *claims, void *ctx,
			    claim_list_t *list)
{
	plat_store_t *store =
		plat_guard_store(claims->daemon->guard, PLAT_FOR_EPOCH);
	size_t skip = strlen(ENTRY_MEMBERS_PREFIX);
	plat_kvs_t kvs;

	if (!store->ops->range(store, ctx, ENTRY_MEMBERS_PREFIX, true, &kvs,
			       NULL))
		return;
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
	int64_t revision;

	claim_epoch_print(next, text);
	put.value = base_buf_str(text);
	if (plat_cas_sure(store, &put, &revision, NULL) == PLAT_CAS_DONE) {
		claims->store_number = next->number;
		claims->store_revision = revision;
		claims->none_in_store = false;
		pthread_mutex_lock(&claims->lock);
		entry_claim_adopt(claims, next, asked_at, base_clock_mono());
		pthread_mutex_unlock(&claims->lock);
		claims->soon = true;
	} else {
		claims->store_asked = 0; /* somebody else did, or find out */
	}
	talloc_free(text);
}

static void pull(entry_claims_t *claims)
{
	void *ctx = talloc_new(NULL);
	claim_pull_t next;
	bool more = true;

	for (int i = 0; i < PULLS && more; i++) {
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
