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
	if (store->ops->range(store, ctx, put->key, false, &kvs, NULL)) {
		int64_t found = kvs.count ? kvs.items[0].mod_revision : 0;

		if (found > put->expected &&
		    base_str_eq(kvs.items[0].value, put->value))
			result = PLAT_CAS_DONE;
		else if (found != put->expected)
			result = PLAT_CAS_CONFLICT;
		if (result != PLAT_CAS_FAILED)
			*revision = found;
	}
	talloc_free(ctx);
	if (result == PLAT_CAS_FAILED)
		g_propagate_error(err, cause);
	else
		g_clear_error(&cause);
	return result;
}
