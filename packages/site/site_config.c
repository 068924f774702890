#include "site_config.h"

#include <string.h>

static void apply_deltas(const void *ctx, const plat_kvs_t *deltas,
			 const site_config_t *held,
			 site_config_update_t *update);
static const plat_kv_t *find_delta_to(const plat_kvs_t *deltas,
				      int64_t generation);
static char *delta_key(const void *ctx, int64_t generation);

void site_config_put_delta(const void *ctx, const site_config_t *from,
			   const site_config_t *to, plat_put_t *put)
{
	char *delta = site_delta_make(ctx, from, to);

	if (!delta)
		return;
	put->extra_key = delta_key(ctx, to->generation);
	put->extra_value = base_str(delta);
}

/*
 * Reads the record's revision first and its content only if the revision is
 * new: the record may be a megabyte and is polled twice a second.
 */
bool site_config_read_update(plat_store_t *store, const void *ctx, int64_t seen,
			     const site_config_t *held,
			     site_config_update_t *update, GError **err)
{
	plat_kvs_t kvs;

	*update = (site_config_update_t){ .kind = SITE_UPDATE_NONE,
					  .revision = seen };
	if (!store->ops->keys(store, ctx, SITE_CONFIG_KEY, false, &kvs, err))
		return false;
	if (!kvs.count || kvs.items[0].mod_revision == seen)
		return true;
	if (held->generation) {
		update->revision = kvs.items[0].mod_revision;
		if (!store->ops->changes(store, ctx, SITE_DELTAS_PREFIX, true,
					 seen, &kvs, err))
			return false;
		apply_deltas(ctx, &kvs, held, update);
	}
	return update->kind != SITE_UPDATE_NONE ||
	       site_config_read_full(store, ctx, update, err);
}

bool site_config_read_full(plat_store_t *store, const void *ctx,
			   site_config_update_t *update, GError **err)
{
	plat_kvs_t kvs;

	if (!store->ops->range(store, ctx, SITE_CONFIG_KEY, false, &kvs, err))
		return false;
	*update = (site_config_update_t){ .kind = SITE_UPDATE_NONE };
	if (kvs.count)
		*update = (site_config_update_t){ SITE_UPDATE_FULL,
						  kvs.items[0].value,
						  kvs.items[0].mod_revision };
	return true;
}

/*
 * Applies deltas to "held" until it is the record written at the revision of
 * "update" or later.  The kind remains NONE if the deltas do not lead to such
 * a record.
 */
static void apply_deltas(const void *ctx, const plat_kvs_t *deltas,
			 const site_config_t *held,
			 site_config_update_t *update)
{
	const plat_kv_t *kv = find_delta_to(deltas, held->generation);
	site_config_t now = *held;

	if (kv && kv->mod_revision >= update->revision &&
	    site_delta_produces(kv->value, held)) {
		*update =
			(site_config_update_t){ .kind = SITE_UPDATE_KNOWN,
						.revision = kv->mod_revision };
		return;
	}
	do {
		kv = find_delta_to(deltas, now.generation + 1);
		if (!kv || !site_delta_apply(ctx, kv->value, &now, &now))
			return;
	} while (kv->mod_revision < update->revision);
	*update = (site_config_update_t){ SITE_UPDATE_DELTAS, now.text,
					  kv->mod_revision };
}

/*
 * Finds the delta that was stored for "generation".  Keys are reused, so the
 * result may be the delta to an earlier generation.
 */
static const plat_kv_t *find_delta_to(const plat_kvs_t *deltas,
				      int64_t generation)
{
	char *key = delta_key(NULL, generation);
	const plat_kv_t *found = NULL;

	for (size_t i = 0; i < deltas->count; i++)
		if (base_str_eq(deltas->items[i].key, base_str(key)))
			found = &deltas->items[i];
	talloc_free(key);
	return found;
}

static char *delta_key(const void *ctx, int64_t generation)
{
	return talloc_asprintf(ctx, "%s%lld", SITE_DELTAS_PREFIX,
			       (long long)(generation % SITE_DELTAS_MAX));
}
