#include <stdlib.h>

#include "sp_int.h"

static json_t *item_json(const sp_item_t *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static json_t *event_json(const sp_event_t *event)
{
	if (!event->value)
		return json_pack("{s:s,s:I,s:b}", "key", event->key, "revision",
				 (json_int_t)event->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", event->key, "value",
			 event->value, "revision", (json_int_t)event->revision,
			 "created", (json_int_t)event->created, "lease",
			 (json_int_t)event->lease);
}

static void add_event(sp_t *sp, const char *key, const sp_item_t *item)
{
	sp_event_t *event = talloc_zero(sp, sp_event_t);

	event->key = talloc_strdup(event, key);
	event->revision = sp->revision;
	if (item) {
		event->value = talloc_strdup(event, item->value);
		event->created = item->created;
		event->lease = item->lease;
	}
	g_ptr_array_add(sp->events, event);
}

static void put(sp_t *sp, const char *key, const char *value, int64_t lease)
{
	sp_item_t *item = g_hash_table_lookup(sp->items, key);

	if (!item) {
		item = talloc_zero(sp, sp_item_t);
		item->key = talloc_strdup(item, key);
		item->created = sp->revision;
		g_hash_table_insert(sp->items, item->key, item);
	}
	talloc_free(item->value);
	item->value = talloc_strdup(item, value);
	item->revision = sp->revision;
	item->lease = lease;
	add_event(sp, key, item);
}

static void delete_key(sp_t *sp, const char *key)
{
	sp_item_t *item = g_hash_table_lookup(sp->items, key);

	if (!item)
		return;
	add_event(sp, key, NULL);
	g_hash_table_remove(sp->items, key);
	talloc_free(item);
}

void sp_store_put(sp_t *sp, const char *key, const char *text)
{
	gchar *value = g_base64_encode((const guchar *)text, strlen(text));

	sp->revision++;
	put(sp, key, value, 0);
	g_free(value);
}

void sp_store_delete(sp_t *sp, const char *key)
{
	sp->revision++;
	delete_key(sp, key);
}

char *sp_store_text(sp_t *sp, const char *key)
{
	const sp_item_t *item = g_hash_table_lookup(sp->items, key);
	gsize len;

	return item ? (char *)g_base64_decode(item->value, &len) : NULL;
}

bool sp_store_apply_fault(sp_t *sp, net_exchange_t *exchange)
{
	if (sp->store_fault == SP_STORE_UNAVAILABLE)
		net_reply(exchange, 503, NULL, 0, BASE_STR(""));
	else if (sp->store_fault == SP_STORE_NO_ANSWER)
		g_ptr_array_add(sp->unanswered, exchange);
	return sp->store_fault != SP_STORE_OK;
}

static bool answer_watch(sp_t *sp, const sp_watch_t *watch, int64_t now)
{
	json_t *events = json_array();
	guint i;

	if (watch->after < sp->compacted) {
		json_decref(events);
		net_reply(watch->exchange, 410, NULL, 0, BASE_STR(""));
		return true;
	}

	for (i = 0; i < sp->events->len; i++) {
		const sp_event_t *event = g_ptr_array_index(sp->events, i);

		if (event->revision > watch->after &&
		    g_str_has_prefix(event->key, watch->prefix))
			json_array_append_new(events, event_json(event));
	}
	if (!json_array_size(events) && now < watch->deadline_us) {
		json_decref(events);
		return false;
	}
	sp_reply_json(watch->exchange, 200,
		      json_pack("{s:o,s:I}", "events", events, "asOf",
				(json_int_t)sp->revision));
	return true;
}

static void serve_watch(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	sp_watch_t *watch = talloc_zero(sp, sp_watch_t);
	char *after = sp_query(path, "after");
	char *wait = sp_query(path, "waitMs");

	watch->exchange = exchange;
	watch->prefix = sp_query(path, "prefix");
	watch->after = strtoll(after, NULL, 10);
	watch->deadline_us =
		base_clock_mono() + strtoll(wait, NULL, 10) * BASE_MS;
	g_free(after);
	g_free(wait);
	g_ptr_array_add(sp->watches, watch);
}

static gint item_cmp(gconstpointer a, gconstpointer b)
{
	return strcmp((*(sp_item_t *const *)a)->key,
		      (*(sp_item_t *const *)b)->key);
}

static void serve_range(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	char *prefix = sp_query(path, "prefix");
	char *after = sp_query(path, "after");
	GPtrArray *found = g_ptr_array_new();
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, sp->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sp_item_t *item = value;

		if (g_str_has_prefix(item->key, prefix) &&
		    strcmp(item->key, after) > 0)
			g_ptr_array_add(found, value);
	}
	g_ptr_array_sort(found, item_cmp);
	for (i = 0; i < found->len && i < 500; i++)
		json_array_append_new(items,
				      item_json(g_ptr_array_index(found, i)));
	sp_reply_json(exchange, 200,
		      json_pack("{s:o,s:b,s:I}", "items", items, "hasMore",
				found->len > 500, "asOf",
				(json_int_t)sp->revision));
	g_ptr_array_unref(found);
	g_free(prefix);
	g_free(after);
}

static void serve_key(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	char *key = sp_query(path, "key");
	const sp_item_t *item = g_hash_table_lookup(sp->items, key);
	json_t *body;

	if (!item) {
		net_reply(exchange, 404, NULL, 0, BASE_STR(""));
	} else {
		body = item_json(item);
		json_object_set_new(body, "asOf", json_integer(sp->revision));
		sp_reply_json(exchange, 200, body);
	}
	g_free(key);
}

static sp_lease_t *find_lease(const sp_t *sp, int64_t id)
{
	guint i;

	for (i = 0; i < sp->leases->len; i++) {
		sp_lease_t *lease = &g_array_index(sp->leases, sp_lease_t, i);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static const char *string_member(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static int64_t integer_member(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

/* NULL if every expected revision matches; otherwise the current items of all
 * keys in "expected". */
static json_t *revision_conflicts(const sp_t *sp, const json_t *expected)
{
	json_t *items = json_array();
	bool all_match = true;
	size_t i;

	for (i = 0; i < json_array_size(expected); i++) {
		const json_t *row = json_array_get(expected, i);
		const sp_item_t *item = g_hash_table_lookup(
			sp->items, string_member(row, "key"));

		if ((item ? item->revision : 0) !=
		    integer_member(row, "revision"))
			all_match = false;
		if (item)
			json_array_append_new(items, item_json(item));
	}
	if (!all_match)
		return items;
	json_decref(items);
	return NULL;
}

/* Of a value of 1 MB in base64. */
#define VALUE_TEXT_MAX ((1048576 + 2) / 3 * 4)

static int apply_transaction(sp_t *sp, const json_t *root, json_t **body)
{
	const json_t *sets = json_object_get(root, "setKeys");
	const json_t *removes = json_object_get(root, "remove");
	json_t *items =
		revision_conflicts(sp, json_object_get(root, "expectedRev"));
	size_t i;

	if (items) {
		*body = json_pack("{s:o}", "items", items);
		return 412;
	}
	for (i = 0; i < json_array_size(sets); i++) {
		const json_t *row = json_array_get(sets, i);

		if (integer_member(row, "lease") &&
		    !find_lease(sp, integer_member(row, "lease")))
			return 404;
		if (strlen(string_member(row, "value")) > VALUE_TEXT_MAX)
			return 400;
		if (g_str_has_prefix(string_member(row, "key"), "op/") ||
		    g_str_has_prefix(string_member(row, "key"), "servers/"))
			return 403;
	}
	sp->revision++;
	for (i = 0; i < json_array_size(sets); i++) {
		const json_t *row = json_array_get(sets, i);

		put(sp, string_member(row, "key"), string_member(row, "value"),
		    integer_member(row, "lease"));
	}
	for (i = 0; i < json_array_size(removes); i++)
		delete_key(sp, json_string_value(json_array_get(removes, i)));
	*body = json_pack("{s:I}", "revision", (json_int_t)sp->revision);
	return 200;
}

static void serve_txn(sp_t *sp, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	json_t *body = NULL;
	bool is_answered =
		(int)base_rng_below(&sp->rng, 100) >= sp->unanswered_percent;
	sp_late_change_t late = { 0 };
	int status;

	if (!is_answered && sp->late_ms) {
		late.body = g_strndup(text.ptr, text.len);
		late.due_us = base_clock_mono() + sp->late_ms * BASE_MS;
		g_array_append_val(sp->late_changes, late);
		status = 0;
	} else {
		status = root ? apply_transaction(sp, root, &body) : 400;
	}
	json_decref(root);
	if (is_answered) {
		sp_reply_json(exchange, status, body);
		return;
	}
	json_decref(body);
	g_ptr_array_add(sp->unanswered, exchange);
}

static void apply_late_changes(sp_t *sp, int64_t now)
{
	guint i = 0;

	while (i < sp->late_changes->len) {
		sp_late_change_t late =
			g_array_index(sp->late_changes, sp_late_change_t, i);
		json_t *root;
		json_t *body = NULL;

		if (now < late.due_us) {
			i++;
			continue;
		}
		g_array_remove_index(sp->late_changes, i);
		root = json_loads(late.body, 0, NULL);
		if (root)
			apply_transaction(sp, root, &body);
		json_decref(root);
		json_decref(body);
		g_free(late.body);
	}
}

static void end_lease(sp_t *sp, int64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, sp->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((sp_item_t *)value)->lease == id)
			g_ptr_array_add(keys,
					g_strdup(((sp_item_t *)value)->key));
	if (keys->len)
		sp->revision++;
	for (i = 0; i < keys->len; i++)
		delete_key(sp, g_ptr_array_index(keys, i));
	g_ptr_array_unref(keys);
	for (i = 0; i < sp->leases->len; i++)
		if (g_array_index(sp->leases, sp_lease_t, i).id == id) {
			g_array_remove_index(sp->leases, i);
			return;
		}
}

static void serve_lease(sp_t *sp, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	sp_lease_t lease = { .id = ++sp->next_lease };

	lease.ttl_us = integer_member(root, "ttlMs") * BASE_MS;
	lease.deadline_us = base_clock_mono() + lease.ttl_us;
	g_array_append_val(sp->leases, lease);
	sp_reply_json(exchange, 200,
		      json_pack("{s:I,s:I}", "lease", (json_int_t)lease.id,
				"ttlMs", (json_int_t)(lease.ttl_us / BASE_MS)));
	json_decref(root);
}

static void serve_keep(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	sp_lease_t *lease =
		find_lease(sp, strtoll(strrchr(path, '/') + 1, NULL, 10));

	if (!lease) {
		net_reply(exchange, 404, NULL, 0, BASE_STR(""));
		return;
	}
	lease->deadline_us = base_clock_mono() + lease->ttl_us;
	sp_reply_json(exchange, 200,
		      json_pack("{s:I}", "ttlMs",
				(json_int_t)(lease->ttl_us / BASE_MS)));
}

void sp_store_expire_leases(sp_t *sp)
{
	while (sp->leases->len)
		end_lease(sp, g_array_index(sp->leases, sp_lease_t, 0).id);
}

void sp_store_compact(sp_t *sp)
{
	guint i;

	for (i = 0; i < sp->events->len; i++)
		talloc_free(g_ptr_array_index(sp->events, i));
	g_ptr_array_set_size(sp->events, 0);
	sp->compacted = sp->revision;
}

void sp_store_serve(sp_t *sp, net_exchange_t *exchange, const char *path)
{
	if (sp_store_apply_fault(sp, exchange))
		return;
	if (g_str_has_prefix(path, "/v1/kv-key")) {
		serve_key(sp, exchange, path);
	} else if (g_str_has_prefix(path, "/v1/kv-range")) {
		serve_range(sp, exchange, path);
	} else if (g_str_has_prefix(path, "/v1/kv-watch")) {
		serve_watch(sp, exchange, path);
	} else if (g_str_has_prefix(path, "/v1/kv-txn")) {
		serve_txn(sp, exchange);
	} else if (!strcmp(path, "/v1/kv-lease")) {
		serve_lease(sp, exchange);
	} else if (g_str_has_prefix(path, "/v1/kv-keep/")) {
		serve_keep(sp, exchange, path);
	} else if (g_str_has_prefix(path, "/v1/kv-lease-end/")) {
		end_lease(sp, strtoll(strrchr(path, '/') + 1, NULL, 10));
		net_reply(exchange, 200, NULL, 0, BASE_STR("{}"));
	} else {
		net_reply(exchange, 404, NULL, 0, BASE_STR(""));
	}
}

void sp_store_tick(sp_t *sp, int64_t now)
{
	guint i;

	if (sp->store_fault != SP_STORE_OK)
		return;
	apply_late_changes(sp, now);
	for (i = sp->leases->len; i-- > 0;) {
		sp_lease_t *lease = &g_array_index(sp->leases, sp_lease_t, i);

		if (now > lease->deadline_us && !sp->keeps_leases)
			end_lease(sp, lease->id);
	}
	for (i = sp->watches->len; i-- > 0;)
		if (answer_watch(sp, g_ptr_array_index(sp->watches, i), now)) {
			sp_watch_t *watch = g_ptr_array_index(sp->watches, i);

			g_ptr_array_remove_index_fast(sp->watches, i);
			g_free(watch->prefix);
			talloc_free(watch);
		}
}
