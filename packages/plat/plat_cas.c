#include "plat_int.h"

BASE_ERROR_DOMAIN(plat)

plat_cas_t plat_cas_sure(plat_store_t *store, const plat_put_t *put,
			 int64_t *revision, GError **err)
{
	GError *cause = NULL;
	plat_kvs_t kvs;
	plat_cas_t done = store->ops->cas(store, put, revision, &cause);
	void *ctx;

	if (done != PLAT_CAS_FAILED)
		return done;
	if (!g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNKNOWN)) {
		g_propagate_error(err, cause);
		return done;
	}
	ctx = talloc_new(NULL);
	if (store->ops->range(store, ctx, put->key, false, &kvs, err)) {
		bool ours = kvs.count == 1 &&
			    base_str_eq(kvs.items[0].value, put->value) &&
			    kvs.items[0].mod_revision > put->expected;

		done = ours ? PLAT_CAS_DONE : PLAT_CAS_CONFLICT;
		*revision = kvs.count ? kvs.items[0].mod_revision : 0;
	}
	g_clear_error(&cause);
	talloc_free(ctx);
	return done;
}
