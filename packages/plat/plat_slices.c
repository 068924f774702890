#include "plat_int.h"

/*
 * Client of the EndpointSlice list, discovery.k8s.io/v1.  The incarnation is
 * the uid of the target; the rack is in deprecatedTopology.  After a full list,
 * follow() watches for changes from the last resourceVersion; each watch ends
 * after PLAT_LIST_WAIT_S.  read() may read a full list as well, from another
 * thread; follow() then reports it first.
 */

#define SLICES_PATH "/apis/discovery.k8s.io/v1/endpointslices"
#define VERSION_MAX 32 /* bytes of a resourceVersion, with NUL */

typedef struct plat_slices {
	plat_list_t list;
	plat_http_t *http;
	pthread_mutex_t request_lock; /* serializes requests */
	pthread_mutex_t lock;	      /* guards everything below */
	GHashTable *slices;	      /* name -> plat_instances_t, owned */
	/* Last resourceVersion received; "": read the full list next. */
	char version[VERSION_MAX];
	int64_t updated_at; /* time of the last update; monotonic */
	bool is_unfollowed; /* a list was read that follow() has not reported */
} plat_slices_t;

static bool slices_read(plat_list_t *list, const void *ctx, const char *zone,
			plat_instances_t *out, GError **err);
static bool slices_follow(plat_list_t *list, bool *changed, GError **err);
static int free_slices(plat_slices_t *slices);
static bool list_all(plat_slices_t *slices, GError **err);
static bool watch(plat_slices_t *slices, bool *changed, GError **err);
static bool apply_event(plat_slices_t *slices, const char *line, size_t len);
static void store_slice(plat_slices_t *slices, const json_t *slice);
static const char *slice_name(const json_t *slice);
static void save_version(plat_slices_t *slices, const json_t *object);
static void add_endpoint(plat_instances_t *out, const json_t *endpoint,
			 int port);
static void copy_instances(const plat_slices_t *slices, const void *ctx,
			   const char *zone, plat_instances_t *out);
static void copy_instance(plat_instance_t *to, const plat_instance_t *from,
			  const void *ctx);
static char *copy_text(const void *ctx, const json_t *object, const char *key);
static void free_slice(void *slice);

static const plat_list_ops_t slices_ops = { .read = slices_read,
					    .follow = slices_follow };

plat_list_t *plat_slices_new(const void *ctx, const plat_address_t *address)
{
	plat_slices_t *slices = talloc_zero(ctx, plat_slices_t);

	slices->list.ops = &slices_ops;
	slices->http = plat_http_new(slices, address);
	slices->slices = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_slice);
	pthread_mutex_init(&slices->request_lock, NULL);
	pthread_mutex_init(&slices->lock, NULL);
	talloc_set_destructor(slices, free_slices);
	return &slices->list;
}

static int free_slices(plat_slices_t *slices)
{
	g_hash_table_destroy(slices->slices);
	pthread_mutex_destroy(&slices->lock);
	pthread_mutex_destroy(&slices->request_lock);
	return 0;
}

static void free_slice(void *slice)
{
	talloc_free(slice);
}

static bool slices_read(plat_list_t *list, const void *ctx, const char *zone,
			plat_instances_t *out, GError **err)
{
	plat_slices_t *slices = (plat_slices_t *)list;
	bool is_fresh, updated = true;

	pthread_mutex_lock(&slices->lock);
	is_fresh = slices->version[0] &&
		   base_clock_mono() - slices->updated_at < PLAT_LIST_FRESH_US;
	pthread_mutex_unlock(&slices->lock);
	if (!is_fresh) {
		pthread_mutex_lock(&slices->request_lock);
		updated = list_all(slices, err);
		pthread_mutex_unlock(&slices->request_lock);
	}
	if (!updated)
		return false;
	pthread_mutex_lock(&slices->lock);
	copy_instances(slices, ctx, zone, out);
	pthread_mutex_unlock(&slices->lock);
	return true;
}

static bool slices_follow(plat_list_t *list, bool *changed, GError **err)
{
	plat_slices_t *slices = (plat_slices_t *)list;
	bool received = true;

	pthread_mutex_lock(&slices->request_lock);
	if (!slices->version[0])
		received = list_all(slices, err);
	else if (!slices->is_unfollowed)
		received = watch(slices, changed, err);
	pthread_mutex_lock(&slices->lock);
	if (received && slices->is_unfollowed) {
		*changed = true;
		slices->is_unfollowed = false;
	}
	pthread_mutex_unlock(&slices->lock);
	pthread_mutex_unlock(&slices->request_lock);
	return received;
}

static bool list_all(plat_slices_t *slices, GError **err)
{
	json_t *root = plat_http_call(slices->http, SLICES_PATH, NULL, err);
	json_t *slice;
	size_t i;

	pthread_mutex_lock(&slices->lock);
	if (!root) {
		slices->version[0] = '\0';
		pthread_mutex_unlock(&slices->lock);
		return false;
	}
	g_hash_table_remove_all(slices->slices);
	json_array_foreach(json_object_get(root, "items"), i, slice)
		store_slice(slices, slice);
	save_version(slices, root);
	slices->updated_at = base_clock_mono();
	slices->is_unfollowed = true;
	pthread_mutex_unlock(&slices->lock);
	json_decref(root);
	return true;
}

/*
 * Applies the events of one watch.  After any error, such as an expired
 * resourceVersion, the next call reads the full list.
 */
static bool watch(plat_slices_t *slices, bool *changed, GError **err)
{
	base_buf_t *body = base_buf_new(NULL), *path = base_buf_new(NULL);
	const char *line;
	bool received, valid = true;

	base_buf_addf(path,
		      SLICES_PATH "?watch=true&resourceVersion=%s"
				  "&timeoutSeconds=%d",
		      slices->version, PLAT_LIST_WAIT_S);
	received = plat_http_get(slices->http, path->ptr, body, err);
	pthread_mutex_lock(&slices->lock);
	for (line = body->ptr; received && valid && *line;) {
		size_t len = strcspn(line, "\n");

		valid = apply_event(slices, line, len);
		*changed = true;
		line += len + (line[len] == '\n');
	}
	if (received && valid)
		slices->updated_at = base_clock_mono();
	else
		slices->version[0] = '\0';
	pthread_mutex_unlock(&slices->lock);
	talloc_free(path);
	talloc_free(body);
	return received;
}

static bool apply_event(plat_slices_t *slices, const char *line, size_t len)
{
	json_t *event = json_loadb(line, len, 0, NULL);
	const char *type = json_string_value(json_object_get(event, "type"));
	json_t *slice = json_object_get(event, "object");
	bool valid = type && slice_name(slice);

	if (valid && !strcmp(type, "DELETED"))
		g_hash_table_remove(slices->slices, slice_name(slice));
	else if (valid && (!strcmp(type, "ADDED") || !strcmp(type, "MODIFIED")))
		store_slice(slices, slice);
	else
		valid = false;
	if (valid)
		save_version(slices, slice);
	json_decref(event);
	return valid;
}

static void store_slice(plat_slices_t *slices, const json_t *slice)
{
	json_t *ports = json_object_get(slice, "ports");
	int port = (int)json_integer_value(
		json_object_get(json_array_get(ports, 0), "port"));
	plat_instances_t *instances;
	json_t *endpoint;
	size_t i;

	if (!slice_name(slice))
		return;
	instances = talloc_zero(NULL, plat_instances_t);
	json_array_foreach(json_object_get(slice, "endpoints"), i, endpoint)
		add_endpoint(instances, endpoint, port);
	g_hash_table_replace(slices->slices, g_strdup(slice_name(slice)),
			     instances);
}

static const char *slice_name(const json_t *slice)
{
	return json_string_value(
		json_object_get(json_object_get(slice, "metadata"), "name"));
}

static void save_version(plat_slices_t *slices, const json_t *object)
{
	json_t *metadata = json_object_get(object, "metadata");
	const char *version =
		json_string_value(json_object_get(metadata, "resourceVersion"));

	g_strlcpy(slices->version, version ? version : "",
		  sizeof(slices->version));
}

/* Ignores an endpoint without a name, an address or a zone. */
static void add_endpoint(plat_instances_t *out, const json_t *endpoint,
			 int port)
{
	json_t *target = json_object_get(endpoint, "targetRef");
	json_t *topology = json_object_get(endpoint, "deprecatedTopology");
	json_t *addresses = json_object_get(endpoint, "addresses");
	json_t *conditions = json_object_get(endpoint, "conditions");
	const char *address = json_string_value(json_array_get(addresses, 0));
	plat_instance_t *instance;

	if (!address || !json_object_get(target, "name") ||
	    !json_object_get(endpoint, "zone"))
		return;
	out->items = talloc_realloc(out, out->items, plat_instance_t,
				    out->count + 1);
	instance = &out->items[out->count++];
	instance->id = copy_text(out, target, "name");
	instance->incarnation = copy_text(out, target, "uid");
	instance->zone = copy_text(out, endpoint, "zone");
	instance->rack = copy_text(out, topology, "rack");
	instance->address = talloc_strdup(out, address);
	instance->port = port;
	instance->state =
		json_is_true(json_object_get(conditions, "terminating"))
			? PLAT_LEAVING
			: PLAT_LIVE;
}

/* Sorted by slice name, so that equal lists are copied in the same order. */
static void copy_instances(const plat_slices_t *slices, const void *ctx,
			   const char *zone, plat_instances_t *out)
{
	GList *names = g_list_sort(g_hash_table_get_keys(slices->slices),
				   (GCompareFunc)strcmp);
	size_t capacity = 0;

	for (GList *at = names; at; at = at->next) {
		plat_instances_t *instances =
			g_hash_table_lookup(slices->slices, at->data);

		capacity += instances->count;
	}
	out->count = 0;
	out->items = talloc_zero_array(ctx, plat_instance_t, capacity);
	for (GList *at = names; at; at = at->next) {
		plat_instances_t *instances =
			g_hash_table_lookup(slices->slices, at->data);

		for (size_t i = 0; i < instances->count; i++)
			if (!zone || !strcmp(instances->items[i].zone, zone))
				copy_instance(&out->items[out->count++],
					      &instances->items[i], out->items);
	}
	g_list_free(names);
}

static void copy_instance(plat_instance_t *to, const plat_instance_t *from,
			  const void *ctx)
{
	*to = *from;
	to->id = talloc_strdup(ctx, from->id);
	to->incarnation = talloc_strdup(ctx, from->incarnation);
	to->zone = talloc_strdup(ctx, from->zone);
	to->rack = talloc_strdup(ctx, from->rack);
	to->address = talloc_strdup(ctx, from->address);
}

static char *copy_text(const void *ctx, const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return talloc_strdup(ctx, text ? text : "");
}
