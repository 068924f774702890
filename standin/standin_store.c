#include "standin_int.h"

/*
 * The store: revisions, compare-and-swap on mod_revision or create_revision,
 * leases and watches.
 */

#define WATCH_MAX_US (25 * BASE_SEC) /* maximum duration of a watch */
#define CONFIG_PREFIX "/cactusfield/config"
#define DELETIONS_MAX 4096 /* most deletions kept for watches */

typedef struct record {
	char *value;
	size_t len;
	int64_t create;
	int64_t mod;
	int64_t lease;
} record_t;

typedef struct lease {
	int64_t ttl_us;
	int64_t expires_at;
} lease_t;

typedef struct deletion {
	char *key;
	int64_t revision;
} deletion_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GTree *records;	    /* char * -> record_t * */
	GHashTable *leases; /* int64_t -> lease_t * */
	deletion_t deletions[DELETIONS_MAX];
	size_t deletion_count;
	int64_t revision;
	int64_t next_lease;
	bool is_down;
	int64_t delay_us;
	int answers_to_drop;  /* answers to writes still to drop */
	int writes_to_drop;   /* writes still to drop, without an answer */
	int64_t calls[4];     /* by CALL_ value */
	int64_t range_bytes;  /* bodies of range answers */
	int64_t config_bytes; /* of range_bytes, the configuration */
	int64_t txn_bytes;    /* bodies of txn requests */
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER,
	    .revision = 1,
	    .next_lease = 1000 };

enum { CALL_RANGE, CALL_TXN, CALL_LEASE, CALL_WATCH };

typedef json_t *(*store_call_t)(const json_t *request);

static int serve(struct mg_connection *conn, void *arg, int kind,
		 store_call_t fn);
static int on_range(struct mg_connection *conn, void *arg);
static int on_txn(struct mg_connection *conn, void *arg);
static int on_grant(struct mg_connection *conn, void *arg);
static int on_keepalive(struct mg_connection *conn, void *arg);
static int on_revoke(struct mg_connection *conn, void *arg);
static int on_watch(struct mg_connection *conn, void *arg);
static int on_calls(struct mg_connection *conn, void *arg);
static void count_range(const json_t *request, int64_t bytes);
static json_t *do_range(const json_t *request);
static json_t *do_txn(const json_t *request);
static bool can_put(const json_t *op);
static bool compare_matches(const json_t *compare);
static json_t *do_grant(const json_t *request);
static json_t *do_keepalive(const json_t *request);
static json_t *do_revoke(const json_t *request);
static json_t *header(void);
static json_t *kv_json(const char *key, const record_t *record, bool key_only);
static char *get_decoded(const json_t *object, const char *key, size_t *len);
static int64_t get_number(const json_t *object, const char *key);
static void put(const json_t *op);
static void expire(int64_t now);
static void revoke_lease(int64_t id);
static bool changed_since(const char *from, const char *to, int64_t revision);
static int compare_keys(const void *a, const void *b, void *arg);
static void free_record(void *p);

void store_serve(struct mg_context *ctx, standin_t *s)
{
	store.records =
		g_tree_new_full(compare_keys, NULL, g_free, free_record);
	store.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	mg_set_request_handler(ctx, "/v3/kv/range", on_range, s);
	mg_set_request_handler(ctx, "/v3/kv/txn", on_txn, s);
	mg_set_request_handler(ctx, "/v3/lease/grant", on_grant, s);
	mg_set_request_handler(ctx, "/v3/lease/keepalive", on_keepalive, s);
	mg_set_request_handler(ctx, "/v3/lease/revoke", on_revoke, s);
	mg_set_request_handler(ctx, "/v3/watch", on_watch, s);
	mg_set_request_handler(ctx, "/calls", on_calls, s);
}

bool store_set_switch(const char *name, const char *value)
{
	bool is_known = true;

	pthread_mutex_lock(&store.lock);
	if (!strcmp(name, "store"))
		store.is_down = !strcmp(value, "down");
	else if (!strcmp(name, "store_slow_ms"))
		store.delay_us = atoll(value) * BASE_MS;
	else if (!strcmp(name, "store_lose"))
		store.answers_to_drop = atoi(value);
	else if (!strcmp(name, "store_drop_writes"))
		store.writes_to_drop = atoi(value);
	else
		is_known = false;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	return is_known;
}

static int on_range(struct mg_connection *conn, void *arg)
{
	return serve(conn, arg, CALL_RANGE, do_range);
}

static int on_txn(struct mg_connection *conn, void *arg)
{
	return serve(conn, arg, CALL_TXN, do_txn);
}

static int on_grant(struct mg_connection *conn, void *arg)
{
	return serve(conn, arg, CALL_LEASE, do_grant);
}

static int on_keepalive(struct mg_connection *conn, void *arg)
{
	return serve(conn, arg, CALL_LEASE, do_keepalive);
}

static int on_revoke(struct mg_connection *conn, void *arg)
{
	return serve(conn, arg, CALL_LEASE, do_revoke);
}

static int serve(struct mg_connection *conn, void *arg, int kind,
		 store_call_t fn)
{
	char *body = read_body(conn);
	json_t *request = body ? json_loads(body, 0, NULL) : NULL;
	json_t *answer = NULL;
	bool is_dropped = false, is_down;
	int64_t delay_us;

	pthread_mutex_lock(&store.lock);
	store.calls[kind]++;
	if (body && kind == CALL_TXN)
		store.txn_bytes += (int64_t)strlen(body);
	is_down = store.is_down;
	delay_us = store.delay_us;
	pthread_mutex_unlock(&store.lock);
	talloc_free(body);
	if (is_down || zone_is_isolated(arg, conn)) {
		json_decref(request);
		return close_unanswered(conn);
	}
	if (delay_us)
		base_clock_sleep(delay_us);
	pthread_mutex_lock(&store.lock);
	expire(base_clock_mono());
	if (kind == CALL_TXN && store.writes_to_drop > 0) {
		store.writes_to_drop--;
		is_dropped = true;
	}
	if (request && !is_dropped)
		answer = fn(request);
	if (answer && kind == CALL_RANGE)
		count_range(request,
			    (int64_t)json_dumpb(answer, NULL, 0, JSON_COMPACT));
	if (answer && kind == CALL_TXN && store.answers_to_drop > 0 &&
	    json_is_true(json_object_get(answer, "succeeded"))) {
		store.answers_to_drop--;
		is_dropped = true;
	}
	pthread_mutex_unlock(&store.lock);
	json_decref(request);
	if (is_dropped) {
		json_decref(answer);
		return close_unanswered(conn);
	}
	if (!answer)
		return reply_json(conn, 400,
				  json_pack("{s:s}", "error", "bad request"));
	return reply_json(conn, 200, answer);
}

/* config_bytes counts only answers that carry values. */
static void count_range(const json_t *request, int64_t bytes)
{
	char *key = get_decoded(request, "key", NULL);

	store.range_bytes += bytes;
	if (key && g_str_has_prefix(key, CONFIG_PREFIX) &&
	    !json_object_get(request, "keys_only"))
		store.config_bytes += bytes;
	g_free(key);
}

typedef struct range_walk {
	const char *from, *to;
	json_t *kvs;
	bool keys_only;
	int64_t min_mod; /* 0: all */
	int64_t count;	 /* includes those below min_mod */
} range_walk_t;

static gboolean collect(void *key, void *value, void *arg)
{
	range_walk_t *walk = arg;
	bool is_in_range = walk->to ? strcmp(key, walk->from) >= 0 &&
					      strcmp(key, walk->to) < 0
				    : !strcmp(key, walk->from);

	walk->count += is_in_range;
	if (is_in_range && ((record_t *)value)->mod >= walk->min_mod)
		json_array_append_new(walk->kvs,
				      kv_json(key, value, walk->keys_only));
	return FALSE;
}

static json_t *do_range(const json_t *request)
{
	char *from = get_decoded(request, "key", NULL);
	char *to = get_decoded(request, "range_end", NULL);
	range_walk_t walk = {
		.from = from,
		.to = to,
		.kvs = json_array(),
		.keys_only =
			json_is_true(json_object_get(request, "keys_only")),
		.min_mod = get_number(request, "min_mod_revision"),
	};
	char count[24];
	json_t *answer;

	if (from)
		g_tree_foreach(store.records, collect, &walk);
	snprintf(count, sizeof(count), "%lld", (long long)walk.count);
	answer = json_pack("{s:o,s:s}", "header", header(), "count", count);
	if (json_array_size(walk.kvs))
		json_object_set(answer, "kvs", walk.kvs);
	json_decref(walk.kvs);
	g_free(from);
	g_free(to);
	return answer;
}

static json_t *do_txn(const json_t *request)
{
	json_t *ops = json_object_get(request, "success");
	json_t *compare, *op;
	bool is_match = true;
	size_t i;

	if (!json_array_size(ops))
		return NULL;
	json_array_foreach(ops, i, op)
	{
		if (!can_put(json_object_get(op, "requestPut")))
			return NULL;
	}
	json_array_foreach(json_object_get(request, "compare"), i, compare)
		is_match = is_match && compare_matches(compare);
	store.revision += is_match;
	json_array_foreach(ops, i, op)
	{
		if (is_match)
			put(json_object_get(op, "requestPut"));
	}
	return json_pack("{s:o,s:b}", "header", header(), "succeeded",
			 is_match);
}

static bool can_put(const json_t *op)
{
	int64_t lease = get_number(op, "lease");

	return json_is_string(json_object_get(op, "key")) &&
	       json_is_string(json_object_get(op, "value")) &&
	       (!lease || g_hash_table_contains(store.leases, &lease));
}

/* Checks one EQUAL comparison of a key's MOD or CREATE revision. */
static bool compare_matches(const json_t *compare)
{
	const char *target =
		json_string_value(json_object_get(compare, "target"));
	char *key = get_decoded(compare, "key", NULL);
	record_t *now = key ? g_tree_lookup(store.records, key) : NULL;
	bool is_match;

	if (target && !strcmp(target, "CREATE"))
		is_match = get_number(compare, "create_revision") ==
			   (now ? now->create : 0);
	else
		is_match = get_number(compare, "mod_revision") ==
			   (now ? now->mod : 0);
	g_free(key);
	return is_match;
}

static json_t *do_grant(const json_t *request)
{
	lease_t *lease = g_new0(lease_t, 1);
	int64_t *id = g_new0(int64_t, 1);
	char text[24];

	*id = ++store.next_lease;
	lease->ttl_us = get_number(request, "TTL") * BASE_SEC;
	lease->expires_at = base_clock_mono() + lease->ttl_us;
	g_hash_table_insert(store.leases, id, lease);
	snprintf(text, sizeof(text), "%lld", (long long)*id);
	return json_pack("{s:o,s:s}", "header", header(), "ID", text);
}

static json_t *do_keepalive(const json_t *request)
{
	int64_t id = get_number(request, "ID");
	lease_t *lease = g_hash_table_lookup(store.leases, &id);
	char text[24] = "0";

	if (lease) {
		lease->expires_at = base_clock_mono() + lease->ttl_us;
		snprintf(text, sizeof(text), "%lld",
			 (long long)(lease->ttl_us / BASE_SEC));
	}
	return json_pack("{s:{s:o,s:s}}", "result", "header", header(), "TTL",
			 text);
}

static json_t *do_revoke(const json_t *request)
{
	revoke_lease(get_number(request, "ID"));
	return json_pack("{s:o}", "header", header());
}

static int on_watch(struct mg_connection *conn, void *arg)
{
	char *body = read_body(conn);
	json_t *request = body ? json_loads(body, 0, NULL) : NULL;
	json_t *create = json_object_get(request, "create_request");
	char *from = get_decoded(create, "key", NULL);
	char *to = get_decoded(create, "range_end", NULL);
	int64_t start = get_number(create, "start_revision");
	int64_t expires_at = base_clock_mono() + WATCH_MAX_US;
	bool changed = false;

	talloc_free(body);
	json_decref(request);
	pthread_mutex_lock(&store.lock);
	store.calls[CALL_WATCH]++;
	if (from && !store.is_down) {
		static const char created[] =
			"{\"result\":{\"created\":true}}\n";

		pthread_mutex_unlock(&store.lock);
		mg_printf(conn, "HTTP/1.1 200 OK\r\n"
				"Transfer-Encoding: chunked\r\n\r\n");
		mg_send_chunk(conn, created, sizeof(created) - 1);
		pthread_mutex_lock(&store.lock);
	}
	while (from && !store.is_down && !changed &&
	       base_clock_mono() < expires_at) {
		struct timespec wake;

		expire(base_clock_mono());
		changed = changed_since(from, to, start);
		if (changed)
			break;
		clock_gettime(CLOCK_REALTIME, &wake);
		wake.tv_nsec += 200000000;
		wake.tv_sec += wake.tv_nsec / 1000000000;
		wake.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store.changed, &store.lock, &wake);
		pthread_mutex_unlock(&store.lock);
		if (zone_is_isolated(arg, conn))
			expires_at = 0;
		pthread_mutex_lock(&store.lock);
	}
	pthread_mutex_unlock(&store.lock);
	if (changed) {
		static const char event[] =
			"{\"result\":{\"events\":[{\"type\":\"PUT\"}]}}\n";

		mg_send_chunk(conn, event, sizeof(event) - 1);
		mg_send_chunk(conn, "", 0);
	}
	mg_disable_connection_keep_alive(conn);
	g_free(from);
	g_free(to);
	return 200;
}

static int on_calls(struct mg_connection *conn, void *arg)
{
	json_t *json;

	(void)arg;
	pthread_mutex_lock(&store.lock);
	json = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "range",
			 store.calls[CALL_RANGE], "txn", store.calls[CALL_TXN],
			 "lease", store.calls[CALL_LEASE], "watch",
			 store.calls[CALL_WATCH], "range_bytes",
			 store.range_bytes, "config_bytes", store.config_bytes,
			 "txn_bytes", store.txn_bytes);
	pthread_mutex_unlock(&store.lock);
	return reply_json(conn, 200, json);
}

static json_t *header(void)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)store.revision);
	return json_pack("{s:s}", "revision", text);
}

static json_t *kv_json(const char *key, const record_t *record, bool key_only)
{
	char *k = g_base64_encode((const guchar *)key, strlen(key));
	char *v = g_base64_encode((const guchar *)record->value, record->len);
	char create[24], mod[24], lease[24];
	json_t *kv;

	snprintf(create, sizeof(create), "%lld", (long long)record->create);
	snprintf(mod, sizeof(mod), "%lld", (long long)record->mod);
	snprintf(lease, sizeof(lease), "%lld", (long long)record->lease);
	kv = json_pack("{s:s,s:s,s:s,s:s}", "key", k, "create_revision", create,
		       "mod_revision", mod, "lease", lease);
	if (!key_only)
		json_object_set_new(kv, "value", json_string(v));
	g_free(k);
	g_free(v);
	return kv;
}

static char *get_decoded(const json_t *object, const char *key, size_t *len)
{
	const char *text = json_string_value(json_object_get(object, key));
	gsize size = 0;
	char *data, *copy;

	if (!text)
		return NULL;
	data = (char *)g_base64_decode(text, &size);
	copy = g_strndup(data, size);
	if (len) {
		g_free(copy);
		copy = g_malloc(size + 1);
		memcpy(copy, data, size);
		copy[size] = '\0';
		*len = size;
	}
	g_free(data);
	return copy;
}

static int64_t get_number(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		return json_integer_value(value);
	return json_is_string(value)
		       ? g_ascii_strtoll(json_string_value(value), NULL, 10)
		       : 0;
}

/* Writes at store.revision, which the transaction has incremented. */
static void put(const json_t *op)
{
	char *key = get_decoded(op, "key", NULL);
	record_t *old = g_tree_lookup(store.records, key);
	record_t *record = g_new0(record_t, 1);

	record->value = get_decoded(op, "value", &record->len);
	record->create = old ? old->create : store.revision;
	record->mod = store.revision;
	record->lease = get_number(op, "lease");
	g_tree_replace(store.records, key, record);
	pthread_cond_broadcast(&store.changed);
}

static void expire(int64_t now)
{
	GHashTableIter iter;
	void *key, *value;
	bool found;

	do {
		found = false;
		g_hash_table_iter_init(&iter, store.leases);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			lease_t *lease = value;

			if (lease->expires_at <= now) {
				revoke_lease(*(int64_t *)key);
				found = true;
				break;
			}
		}
	} while (found);
}

typedef struct lease_walk {
	int64_t lease;
	GPtrArray *keys;
} lease_walk_t;

static gboolean collect_lease_key(void *key, void *value, void *arg)
{
	lease_walk_t *walk = arg;

	if (((record_t *)value)->lease == walk->lease)
		g_ptr_array_add(walk->keys, g_strdup(key));
	return FALSE;
}

static void revoke_lease(int64_t id)
{
	lease_walk_t walk = { id, g_ptr_array_new_with_free_func(g_free) };

	g_tree_foreach(store.records, collect_lease_key, &walk);
	for (guint i = 0; i < walk.keys->len; i++) {
		deletion_t *slot = &store.deletions[store.deletion_count++ %
						    DELETIONS_MAX];

		g_free(slot->key);
		slot->key = g_strdup(walk.keys->pdata[i]);
		slot->revision = ++store.revision;
		g_tree_remove(store.records, slot->key);
	}
	g_ptr_array_free(walk.keys, TRUE);
	g_hash_table_remove(store.leases, &id);
	pthread_cond_broadcast(&store.changed);
}

typedef struct watch_walk {
	const char *from, *to;
	int64_t revision;
	bool found;
} watch_walk_t;

static bool key_in_range(const char *key, const char *from, const char *to)
{
	return to ? strcmp(key, from) >= 0 && strcmp(key, to) < 0
		  : !strcmp(key, from);
}

static gboolean find_newer(void *key, void *value, void *arg)
{
	watch_walk_t *walk = arg;

	walk->found = key_in_range(key, walk->from, walk->to) &&
		      ((record_t *)value)->mod >= walk->revision;
	return walk->found;
}

static bool changed_since(const char *from, const char *to, int64_t revision)
{
	watch_walk_t walk = { from, to, revision, false };

	g_tree_foreach(store.records, find_newer, &walk);
	for (size_t i = 0; i < DELETIONS_MAX && !walk.found; i++)
		walk.found = store.deletions[i].key &&
			     store.deletions[i].revision >= revision &&
			     key_in_range(store.deletions[i].key, from, to);
	return walk.found;
}

static int compare_keys(const void *a, const void *b, void *arg)
{
	(void)arg;
	return strcmp(a, b);
}

static void free_record(void *p)
{
	record_t *record = p;

	g_free(record->value);
	g_free(record);
}
