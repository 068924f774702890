#include "plat_int.h"

/*
 * Client of the JSON gateway of etcd v3.  Keys and values are base64, 64-bit
 * numbers are strings (etcd API reference, "gRPC gateway").
 */

typedef struct plat_etcd {
	plat_store_t store;
	plat_http_t *http; /* guarded by lock */
	pthread_mutex_t lock;
} plat_etcd_t;

static bool etcd_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err);
static bool etcd_keys(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err);
static bool etcd_changes(plat_store_t *store, const void *ctx, const char *key,
			 bool prefix, int64_t since, plat_kvs_t *out,
			 GError **err);
static bool send_range(plat_store_t *store, const void *ctx, json_t *request,
		       plat_kvs_t *out, GError **err);
static json_t *encode_range(const char *key, bool prefix);
static plat_cas_t etcd_cas(plat_store_t *store, const plat_put_t *put,
			   int64_t *revision, GError **err);
static json_t *encode_put(const char *key, base_str_t value, int64_t lease);
static json_t *encode_compare(const plat_put_t *put);
static int64_t etcd_lease_grant(plat_store_t *store, int64_t ttl_s,
				GError **err);
static bool etcd_lease_keep(plat_store_t *store, int64_t lease, GError **err);
static bool etcd_lease_revoke(plat_store_t *store, int64_t lease, GError **err);
static int free_etcd(plat_etcd_t *etcd);
static json_t *post(plat_etcd_t *etcd, const char *path, json_t *request,
		    GError **err);
static json_t *encode_base64(const char *data, size_t len);
static json_t *encode_range_end(const char *prefix);
static json_t *encode_int64(int64_t value);
static int64_t decode_int64(const json_t *object, const char *key);
static base_str_t decode_bytes(const void *ctx, const json_t *object,
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
	return send_range(store, ctx, encode_range(key, prefix), out, err);
}

static bool etcd_keys(plat_store_t *store, const void *ctx, const char *key,
		      bool prefix, plat_kvs_t *out, GError **err)
{
	json_t *request = encode_range(key, prefix);

	json_object_set_new(request, "keys_only", json_true());
	return send_range(store, ctx, request, out, err);
}

/* A server without min_mod_revision returns all keys, which is allowed. */
static bool etcd_changes(plat_store_t *store, const void *ctx, const char *key,
			 bool prefix, int64_t since, plat_kvs_t *out,
			 GError **err)
{
	json_t *request = encode_range(key, prefix);

	json_object_set_new(request, "min_mod_revision",
			    encode_int64(since + 1));
	return send_range(store, ctx, request, out, err);
}

static json_t *encode_range(const char *key, bool prefix)
{
	json_t *request = json_object();

	json_object_set_new(request, "key", encode_base64(key, strlen(key)));
	if (prefix)
		json_object_set_new(request, "range_end",
				    encode_range_end(key));
	return request;
}

/* Sends a range request and parses the response; releases "request". */
static bool send_range(plat_store_t *store, const void *ctx, json_t *request,
		       plat_kvs_t *out, GError **err)
{
	json_t *response, *kvs, *item;
	size_t i;

	response = post((plat_etcd_t *)store, "/v3/kv/range", request, err);
	if (!response)
		return false;
	kvs = json_object_get(response, "kvs");
	out->count = json_array_size(kvs);
	out->items = talloc_zero_array(ctx, plat_kv_t, out->count);
	out->total = (size_t)decode_int64(response, "count");
	out->revision =
		decode_int64(json_object_get(response, "header"), "revision");
	json_array_foreach(kvs, i, item)
	{
		plat_kv_t *kv = &out->items[i];

		kv->key = decode_bytes(out->items, item, "key");
		kv->value = decode_bytes(out->items, item, "value");
		kv->mod_revision = decode_int64(item, "mod_revision");
		kv->create_revision = decode_int64(item, "create_revision");
		kv->lease = decode_int64(item, "lease");
	}
	json_decref(response);
	return true;
}

static plat_cas_t etcd_cas(plat_store_t *store, const plat_put_t *put,
			   int64_t *revision, GError **err)
{
	json_t *request = json_pack(
		"{s:o,s:[o]}", "compare", encode_compare(put), "success",
		encode_put(put->key, put->value, put->lease));
	json_t *response;
	bool is_done;

	if (put->extra_key)
		json_array_append_new(json_object_get(request, "success"),
				      encode_put(put->extra_key,
						 put->extra_value, put->lease));
	response = post((plat_etcd_t *)store, "/v3/kv/txn", request, err);
	if (!response)
		return PLAT_CAS_FAILED;
	is_done = json_is_true(json_object_get(response, "succeeded"));
	*revision =
		decode_int64(json_object_get(response, "header"), "revision");
	json_decref(response);
	return is_done ? PLAT_CAS_DONE : PLAT_CAS_CONFLICT;
}

static json_t *encode_put(const char *key, base_str_t value, int64_t lease)
{
	return json_pack("{s:{s:o,s:o,s:o}}", "requestPut", "key",
			 encode_base64(key, strlen(key)), "value",
			 encode_base64(value.ptr, value.len), "lease",
			 encode_int64(lease));
}

static json_t *encode_compare(const plat_put_t *put)
{
	json_t *list = json_array();

	json_array_append_new(
		list, json_pack("{s:o,s:s,s:s,s:o}", "key",
				encode_base64(put->key, strlen(put->key)),
				"target", "MOD", "result", "EQUAL",
				"mod_revision", encode_int64(put->expected)));
	if (put->fence_key)
		json_array_append_new(
			list, json_pack("{s:o,s:s,s:s,s:o}", "key",
					encode_base64(put->fence_key,
						      strlen(put->fence_key)),
					"target", "CREATE", "result", "EQUAL",
					"create_revision",
					encode_int64(put->fence_revision)));
	return list;
}

static int64_t etcd_lease_grant(plat_store_t *store, int64_t ttl_s,
				GError **err)
{
	json_t *response =
		post((plat_etcd_t *)store, "/v3/lease/grant",
		     json_pack("{s:o}", "TTL", encode_int64(ttl_s)), err);
	int64_t lease = decode_int64(response, "ID");

	if (response && !lease)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "response holds no lease ID");
	json_decref(response);
	return lease;
}

static bool etcd_lease_keep(plat_store_t *store, int64_t lease, GError **err)
{
	json_t *response =
		post((plat_etcd_t *)store, "/v3/lease/keepalive",
		     json_pack("{s:o}", "ID", encode_int64(lease)), err);
	int64_t ttl = decode_int64(json_object_get(response, "result"), "TTL");

	if (response && ttl <= 0)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "lease has expired or was revoked");
	json_decref(response);
	return ttl > 0;
}

static bool etcd_lease_revoke(plat_store_t *store, int64_t lease, GError **err)
{
	json_t *response =
		post((plat_etcd_t *)store, "/v3/lease/revoke",
		     json_pack("{s:o}", "ID", encode_int64(lease)), err);

	json_decref(response);
	return response != NULL;
}

/* Posts "request" and releases it; returns the response. */
static json_t *post(plat_etcd_t *etcd, const char *path, json_t *request,
		    GError **err)
{
	char *body = json_dumps(request, JSON_COMPACT);
	json_t *response;

	json_decref(request);
	pthread_mutex_lock(&etcd->lock);
	response = plat_http_call(etcd->http, path, body, err);
	pthread_mutex_unlock(&etcd->lock);
	free(body);
	return response;
}

static json_t *encode_base64(const char *data, size_t len)
{
	char *text = g_base64_encode((const guchar *)data, len);
	json_t *value = json_string(text);

	g_free(text);
	return value;
}

/* The first key after all keys that begin with "prefix". */
static json_t *encode_range_end(const char *prefix)
{
	char *end = talloc_strdup(NULL, prefix);
	size_t len = strlen(end);
	json_t *value;

	end[len - 1]++;
	value = encode_base64(end, len);
	talloc_free(end);
	return value;
}

static json_t *encode_int64(int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	return json_string(text);
}

static int64_t decode_int64(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		return json_integer_value(value);
	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return 0;
}

static base_str_t decode_bytes(const void *ctx, const json_t *object,
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
