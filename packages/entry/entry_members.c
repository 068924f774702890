#include <jansson.h>

#include "entry_memb.h"

/*
 * Each entry keeps its own key in the store, bound to a lease, and uses the
 * other entries' keys as seeds.  The store may fail: gossip does not need it.
 */

#define LEASE_S 30
#define READ_EVERY_ROUNDS 6 /* ticks of the duty per read of the keys */
/* One read in this many fetches all keys, the others changed keys only. */
#define FULL_READ_EVERY 10

static void read_seeds(entry_memb_t *memb, plat_store_t *store,
		       int64_t *own_revision);
static void add_seed(entry_memb_t *memb, base_str_t value);
static void write_own_key(entry_memb_t *memb, plat_store_t *store,
			  int64_t expected);
static char *own_key(entry_memb_t *memb, const void *ctx);

void entry_members_tick(void *arg, int64_t now)
{
	entry_memb_t *memb = arg;
	plat_store_t *store =
		plat_guard_store(memb->daemon->guard, PLAT_FOR_MEMBERS);
	GError *cause = NULL;
	int64_t own_revision = 0;

	(void)now;
	if (atomic_load(&memb->daemon->draining))
		return;
	if (memb->lease &&
	    !store->ops->lease_keep(store, memb->lease, &cause)) {
		if (g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_REJECTED))
			memb->lease = 0;
		g_clear_error(&cause);
	}
	if (memb->lease && memb->member_ticks++ % READ_EVERY_ROUNDS)
		return;
	read_seeds(memb, store, &own_revision);
	if (memb->lease)
		return;
	memb->lease = store->ops->lease_grant(store, LEASE_S, &cause);
	g_clear_error(&cause);
	if (memb->lease)
		write_own_key(memb, store, own_revision);
}

void entry_members_leave(entry_memb_t *memb)
{
	plat_store_t *store =
		plat_guard_store(memb->daemon->guard, PLAT_FOR_MEMBERS);

	store->ops->lease_revoke(store, memb->lease, NULL);
}

/*
 * Reads the other entries' keys.  Only changed keys are read, because the list
 * grows with the number of entries.  All keys are read once in FULL_READ_EVERY
 * reads, because the core keeps only some seeds, and while this entry's key has
 * to be written.  "*own_revision" is set to the revision of this entry's key
 * and left as it is when the key is absent.
 */
static void read_seeds(entry_memb_t *memb, plat_store_t *store,
		       int64_t *own_revision)
{
	void *ctx = talloc_new(NULL);
	char *key = own_key(memb, ctx);
	bool read_all =
		!memb->lease || memb->member_reads % FULL_READ_EVERY == 0;
	plat_kvs_t kvs;

	if (store->ops->changes(store, ctx, ENTRY_MEMBERS_PREFIX, true,
				read_all ? 0 : memb->members_revision, &kvs,
				NULL)) {
		memb->member_reads++;
		if (read_all)
			memb->members_revision = 0;
		for (size_t i = 0; i < kvs.count; i++) {
			memb->members_revision = MAX(memb->members_revision,
						     kvs.items[i].mod_revision);
			if (base_str_eq(kvs.items[i].key, base_str(key)))
				*own_revision = kvs.items[i].mod_revision;
			else
				add_seed(memb, kvs.items[i].value);
		}
	}
	talloc_free(ctx);
}

static void add_seed(entry_memb_t *memb, base_str_t value)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "address"));
	peer_addr_t addr;

	if (text && peer_addr_parse(text, &addr)) {
		pthread_mutex_lock(&memb->lock);
		memb_add_seed(memb->core, (memb_addr_t){ addr.ip, addr.port });
		pthread_mutex_unlock(&memb->lock);
	}
	json_decref(root);
}

static void write_own_key(entry_memb_t *memb, plat_store_t *store,
			  int64_t expected)
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

	/* Without the key the lease is useless: retry at the next tick. */
	if (plat_cas_confirmed(store, &put, &revision, NULL) != PLAT_CAS_DONE) {
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
