#include <jansson.h>

#include "entry_memb.h"

/*
 * Each entry keeps a key of its own in the store, bound to a lease; the keys
 * of the others are seeds.  All of it may fail: gossip goes on without.
 */

#define LEASE_S 30
#define READ_EVERY 6   /* rounds of the duty */
#define WHOLE_EVERY 10 /* reads: the others are of what changed */

static void read_seeds(entry_memb_t *memb, plat_store_t *store, int64_t *own);
static void take_seed(entry_memb_t *memb, base_str_t value);
static void put_own(entry_memb_t *memb, plat_store_t *store, int64_t expected);
static char *own_key(entry_memb_t *memb, const void *ctx);

void entry_members_tick(void *arg, int64_t now)
{
	entry_memb_t *memb = arg;
	plat_store_t *store =
		plat_guard_store(memb->daemon->guard, PLAT_FOR_MEMBERS);
	GError *cause = NULL;
	int64_t own = 0;

	(void)now;
	if (atomic_load(&memb->daemon->draining))
		return;
	if (memb->lease &&
	    !store->ops->lease_keep(store, memb->lease, &cause)) {
		if (g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_BAD))
			memb->lease = 0;
		g_clear_error(&cause);
	}
	if (memb->lease && memb->rounds++ % READ_EVERY)
		return;
	read_seeds(memb, store, &own);
	if (memb->lease)
		return;
	memb->lease = store->ops->lease_grant(store, LEASE_S, &cause);
	g_clear_error(&cause);
	if (memb->lease)
		put_own(memb, store, own);
}

void entry_members_leave(entry_memb_t *memb)
{
	plat_store_t *store =
		plat_guard_store(memb->daemon->guard, PLAT_FOR_MEMBERS);

	store->ops->lease_revoke(store, memb->lease, NULL);
}

/*
 * What changed, for the list grows with the entries; the whole now and then,
 * since the core keeps some seeds only, and while our key is to be written:
 * "*own" becomes its revision, 0 when it is absent.
 */
static void read_seeds(entry_memb_t *memb, plat_store_t *store, int64_t *own)
{
	void *ctx = talloc_new(NULL);
	char *key = own_key(memb, ctx);
	bool whole = !memb->lease || memb->reads % WHOLE_EVERY == 0;
	plat_kvs_t kvs;

	if (store->ops->changes(store, ctx, ENTRY_MEMBERS_PREFIX, true,
				whole ? 0 : memb->members_seen, &kvs, NULL)) {
		memb->reads++;
		if (whole)
			memb->members_seen = 0;
		for (size_t i = 0; i < kvs.count; i++) {
			memb->members_seen = MAX(memb->members_seen,
						 kvs.items[i].mod_revision);
			if (base_str_eq(kvs.items[i].key, base_str(key)))
				*own = kvs.items[i].mod_revision;
			else
				take_seed(memb, kvs.items[i].value);
		}
	}
	talloc_free(ctx);
}

static void take_seed(entry_memb_t *memb, base_str_t value)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "address"));
	peer_addr_t addr;

	if (text && peer_addr_parse(text, &addr)) {
		pthread_mutex_lock(&memb->lock);
		memb_seed(memb->core, (memb_addr_t){ addr.ip, addr.port });
		pthread_mutex_unlock(&memb->lock);
	}
	json_decref(root);
}

static void put_own(entry_memb_t *memb, plat_store_t *store, int64_t expected)
{
	const entry_settings_t *settings = memb->daemon->settings;
	void *ctx = talloc_new(NULL);
	char *value = talloc_asprintf(
		ctx,
		"{\"address\":\"%s:%d\",\"zone\":\"%s\",\"incarnation\":\"%s\"}",
		settings->peer.address, settings->peer.port, settings->zone,
		memb->daemon->incarnation);
	plat_put_t put = { .key = own_key(memb, ctx),
			   .value = base_str(value),
			   .expected = expected,
			   .lease = memb->lease };
	int64_t revision;

	/* Without the key the lease is of no use: begin again next time. */
	if (plat_cas_sure(store, &put, &revision, NULL) != PLAT_CAS_DONE) {
		store->ops->lease_revoke(store, memb->lease, NULL);
		memb->lease = 0;
	}
	talloc_free(ctx);
}

static char *own_key(entry_memb_t *memb, const void *ctx)
{
	return talloc_asprintf(ctx, "%s%s", ENTRY_MEMBERS_PREFIX,
			       memb->daemon->settings->name);
}
