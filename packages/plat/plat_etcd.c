#include "plat_int.h"

/*
 * The JSON gateway of etcd v3: keys and values in base64, 64-bit numbers as
 * strings.  Source: etcd API reference, "gRPC gateway".
 */

typedef struct plat_etcd {
	plat_store_t store;
	plat_http_t *http; /* under lock */
	pthread_mutex_t lock;
} plat_etcd_t;

static bool etcd_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err);
static bool etcd_keys(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err);
static bool etcd_changes(plat_store_t *store, const void *ctx, const char *key,
			 bool prefix, int64_t since, plat_kvs_t *out,
			 GError **err);
static bool read_range(plat_store_t *store, const void *ctx, json_t *request,
		       plat_kvs_t *out, GError **err);
static json_t *range_of(const char *key, bool prefix);
static plat_cas_t etcd_cas(plat_store_t *store, const plat_put_t *put,
			   int64_t *revision, GError **err);
static json_t *put_of(const char *key, base_str_t value, int64_t lease);
static json_t *compare_of(const plat_put_t *put);
static int64_t etcd_lease_grant(plat_store_t *store, int64_t ttl_s,
				GError **err);
static bool etcd_lease_keep(plat_store_t *store, int64_t lease, GError **err);
static bool etcd_lease_revoke(plat_store_t *store, int64_t lease, GError **err);
static int free_etcd(plat_etcd_t *etcd);
static json_t *call(plat_etcd_t *etcd, const char *path, json_t *request,
		    GError **err);
static json_t *base64_of(const char *data, size_t len);
static json_t *range_end_of(const char *prefix);
static json_t *number(int64_t value);
static int64_t number_of(const json_t *object, const char *key);
static base_str_t bytes_of(const void *ctx, const json_t *object,
			   const char *key);

static const plat_store_ops_t etcd_ops = {
	.range = etcd_range,
	.keys = etcd_keys,
	.changes = etcd_changes,
	.cas = etcd_cas,
	.lease_grant = etcd_lease_grant,
	.lease_keep = etcd_lease_keep,
	.lease_revoke = etcd_lease_revoke,
};

plat_store_t *plat_etcd_new(const void *ctx, const plat_address_t *address)
{
	plat_etcd_t *etcd = talloc_zero(ctx, plat_etcd_t);

	etcd->store.ops = &etcd_ops;
	etcd->http = plat_http_new(etcd, address);
	pthread_mutex_init(&etcd->lock, NULL);
	talloc_set_destructor(etcd, free_etcd);
	return &etcd->store;
}

static int free_etcd(plat_etcd_t *etcd)
{
	pthread_mutex_destroy(&etcd->lock);
	return 0;
}

static bool etcd_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err)
{
	return read_range(store, ctx, range_of(key, prefix), out, err);
}

static bool etcd_keys(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err)
{
	json_t *request = range_of(key, prefix);

	json_object_set_new(request, "keys_only", json_true());
	return read_range(store, ctx, request, out, err);
}

/* A store that knows no such bound answers with all, which is right too. */
static bool etcd_changes(plat_store_t *store, const void *ctx, const char *key,
			 bool prefix, int64_t since, plat_kvs_t *out,
			 GError **err)
{
	json_t *request = range_of(key, prefix);

	json_object_set_new(request, "min_mod_revision", number(since + 1));
	return read_range(store, ctx, request, out, err);
}

static json_t *range_of(const char *key, bool prefix)
{
	json_t *request = json_object();

	json_object_set_new(request, "key", base64_of(key, strlen(key)));
	if (prefix)
		json_object_set_new(request, "range_end", range_end_of(key));
	return request;
}

/* Takes over "request". */
static bool read_range(plat_store_t *store, const void *ctx, json_t *request,
		       plat_kvs_t *out, GError **err)
{
	json_t *answer, *kvs, *item;
	size_t i;

	answer = call((plat_etcd_t *)store, "/v3/kv/range", request, err);
	if (!answer)
		return false;
	kvs = json_object_get(answer, "kvs");
	out->count = json_array_size(kvs);
	out->items = talloc_zero_array(ctx, plat_kv_t, out->count);
	out->total = (size_t)number_of(answer, "count");
	out->revision =
		number_of(json_object_get(answer, "header"), "revision");
	json_array_foreach(kvs, i, item)
	{
		plat_kv_t *kv = &out->items[i];

		kv->key = bytes_of(out->items, item, "key");
		kv->value = bytes_of(out->items, item, "value");
		kv->mod_revision = number_of(item, "mod_revision");
		kv->create_revision = number_of(item, "create_revision");
		kv->lease = number_of(item, "lease");
	}
	json_decref(answer);
	return true;
}

static plat_cas_t etcd_cas(plat_store_t *store, const plat_put_t *put,
			   int64_t *revision, GError **err)
{
	json_t *request =
		json_pack("{s:o,s:[o]}", "compare", compare_of(put), "success",
			  put_of(put->key, put->value, put->lease));
	json_t *answer;
	bool done;

	if (put->also_key)
		json_array_append_new(
			json_object_get(request, "success"),
			put_of(put->also_key, put->also_value, put->lease));
	answer = call((plat_etcd_t *)store, "/v3/kv/txn", request, err);
	if (!answer)
		return PLAT_CAS_FAILED;
	done = json_is_true(json_object_get(answer, "succeeded"));
	*revision = number_of(json_object_get(answer, "header"), "revision");
	json_decref(answer);
	return done ? PLAT_CAS_DONE : PLAT_CAS_CONFLICT;
}

static json_t *put_of(const char *key, base_str_t value, int64_t lease)
{
	return json_pack("{s:{s:o,s:o,s:o}}", "requestPut", "key",
			 base64_of(key, strlen(key)), "value",
			 base64_of(value.ptr, value.len), "lease",
			 number(lease));
}

static json_t *compare_of(const plat_put_t *put)
{
	json_t *list = json_array();

	json_array_append_new(list,
			      json_pack("{s:o,s:s,s:s,s:o}", "key",
					base64_of(put->key, strlen(put->key)),
					"target", "MOD", "result", "EQUAL",
					"mod_revision", number(put->expected)));
	if (put->fence_key)
		json_array_append_new(
			list, json_pack("{s:o,s:s,s:s,s:o}", "key",
					base64_of(put->fence_key,
						  strlen(put->fence_key)),
					"target", "CREATE", "result", "EQUAL",
					"create_revision",
					number(put->fence_revision)));
	return list;
}

static int64_t etcd_lease_grant(plat_store_t *store, int64_t ttl_s,
				GError **err)
{
	json_t *answer = call((plat_etcd_t *)store, "/v3/lease/grant",
			      json_pack("{s:o}", "TTL", number(ttl_s)), err);
	int64_t lease = number_of(answer, "ID");

	if (answer && !lease)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_BAD,
			    "no lease was granted");
	json_decref(answer);
	return lease;
}

static bool etcd_lease_keep(plat_store_t *store, int64_t lease, GError **err)
{
	json_t *answer = call((plat_etcd_t *)store, "/v3/lease/keepalive",
			      json_pack("{s:o}", "ID", number(lease)), err);
	int64_t ttl = number_of(json_object_get(answer, "result"), "TTL");

	if (answer && ttl <= 0)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_BAD,
			    "the lease is gone");
	json_decref(answer);
	return ttl > 0;
}

static bool etcd_lease_revoke(plat_store_t *store, int64_t lease, GError **err)
{
	json_t *answer = call((plat_etcd_t *)store, "/v3/lease/revoke",
			      json_pack("{s:o}", "ID", number(lease)), err);

	json_decref(answer);
	return answer != NULL;
}

/* Takes over "request". */
static json_t *call(plat_etcd_t *etcd, const char *path, json_t *request,
		    GError **err)
{
	char *body = json_dumps(request, JSON_COMPACT);
	json_t *answer;

	json_decref(request);
	pthread_mutex_lock(&etcd->lock);
	answer = plat_http_call(etcd->http, path, body, err);
	pthread_mutex_unlock(&etcd->lock);
	free(body);
	return answer;
}

static json_t *base64_of(const char *data, size_t len)
{
	char *text = g_base64_encode((const guchar *)data, len);
	json_t *value = json_string(text);

	g_free(text);
	return value;
}

/* The first key after all that begin with "prefix". */
static json_t *range_end_of(const char *prefix)
{
	char *end = talloc_strdup(NULL, prefix);
	size_t len = strlen(end);
	json_t *value;

	end[len - 1]++;
	value = base64_of(end, len);
	talloc_free(end);
	return value;
}

static json_t *number(int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	return json_string(text);
}

static int64_t number_of(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		return json_integer_value(value);
	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return 0;
}

static base_str_t bytes_of(const void *ctx, const json_t *object,
			   const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));
	gsize len = 0;
	guchar *data;
	char *copy;

	if (!text)
		return base_str(NULL);
	data = g_base64_decode(text, &len);
	copy = talloc_strndup(ctx, (const char *)data, len);
	g_free(data);
	return (base_str_t){ copy, len };
}
