#include "plat_int.h"

BASE_ERROR_DOMAIN(plat)

plat_cas_t plat_cas_confirmed(plat_store_t *store, const plat_put_t *put,
			      int64_t *revision, GError **err)
{
	GError *cause = NULL;
	plat_kvs_t kvs;
	plat_cas_t result = store->ops->cas(store, put, revision, &cause);
	void *ctx;

	if (result != PLAT_CAS_FAILED)
		return result;
	if (!g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNKNOWN)) {
		g_propagate_error(err, cause);
		return result;
	}
	ctx = talloc_new(NULL);
	if (store->ops->range(store, ctx, put->key, false, &kvs, err)) {
		bool is_written = kvs.count == 1 &&
				  base_str_eq(kvs.items[0].value, put->value) &&
				  kvs.items[0].mod_revision > put->expected;

		result = is_written ? PLAT_CAS_DONE : PLAT_CAS_CONFLICT;
		*revision = kvs.count ? kvs.items[0].mod_revision : 0;
	}
	g_clear_error(&cause);
	talloc_free(ctx);
	return result;
}
