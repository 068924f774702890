#include "plat_int.h"

/*
 * The list of EndpointSlice objects, discovery.k8s.io/v1.  The incarnation
 * is the uid of the target, the rack stands in deprecatedTopology.  After the
 * first whole list only changes are asked for: a watch from the last
 * resourceVersion that ends after PLAT_LIST_WAIT_S.
 */

#define SLICES_PATH "/apis/discovery.k8s.io/v1/endpointslices"
#define VERSION_MAX 32 /* bytes */

typedef struct plat_slices {
	plat_list_t list;
	plat_http_t *http;
	pthread_mutex_t calls; /* one call at a time */
	pthread_mutex_t lock;  /* of everything below */
	GHashTable *slices; /* name -> plat_instances_t, a talloc tree each */
	char version[VERSION_MAX]; /* "": not followed */
	int64_t heard_at;
} plat_slices_t;

static bool slices_read(plat_list_t *list, const void *ctx, const char *zone,
			plat_instances_t *out, GError **err);
static bool slices_follow(plat_list_t *list, bool *changed, GError **err);
static int free_slices(plat_slices_t *slices);
static bool list_all(plat_slices_t *slices, GError **err);
static bool watch(plat_slices_t *slices, bool *changed, GError **err);
static bool take_event(plat_slices_t *slices, const char *line, size_t len);
static void put_slice(plat_slices_t *slices, const json_t *slice);
static const char *name_of(const json_t *slice);
static void note_version(plat_slices_t *slices, const json_t *object);
static void add_endpoint(plat_instances_t *out, const json_t *endpoint,
			 int port);
static void copy_out(const plat_slices_t *slices, const void *ctx,
		     const char *zone, plat_instances_t *out);
static void copy_instance(plat_instance_t *to, const plat_instance_t *from,
			  const void *ctx);
static char *text_of(const void *ctx, const json_t *object, const char *key);
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
	pthread_mutex_init(&slices->calls, NULL);
	pthread_mutex_init(&slices->lock, NULL);
	talloc_set_destructor(slices, free_slices);
	return &slices->list;
}

static int free_slices(plat_slices_t *slices)
{
	g_hash_table_destroy(slices->slices);
	pthread_mutex_destroy(&slices->lock);
	pthread_mutex_destroy(&slices->calls);
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
	bool fresh, read = true;

	pthread_mutex_lock(&slices->lock);
	fresh = slices->version[0] &&
		base_clock_mono() - slices->heard_at < PLAT_LIST_FRESH_US;
	pthread_mutex_unlock(&slices->lock);
	if (!fresh) {
		pthread_mutex_lock(&slices->calls);
		read = list_all(slices, err);
		pthread_mutex_unlock(&slices->calls);
	}
	if (!read)
		return false;
	pthread_mutex_lock(&slices->lock);
	copy_out(slices, ctx, zone, out);
	pthread_mutex_unlock(&slices->lock);
	return true;
}

static bool slices_follow(plat_list_t *list, bool *changed, GError **err)
{
	plat_slices_t *slices = (plat_slices_t *)list;
	bool heard;

	pthread_mutex_lock(&slices->calls);
	if (slices->version[0]) {
		heard = watch(slices, changed, err);
	} else {
		heard = list_all(slices, err);
		*changed = heard;
	}
	pthread_mutex_unlock(&slices->calls);
	return heard;
}

static bool list_all(plat_slices_t *slices, GError **err)
{
	json_t *root = plat_http_call(slices->http, SLICES_PATH, NULL, err);
	json_t *slice;
	size_t i;

	if (!root)
		return false;
	pthread_mutex_lock(&slices->lock);
	g_hash_table_remove_all(slices->slices);
	json_array_foreach(json_object_get(root, "items"), i, slice)
		put_slice(slices, slice);
	note_version(slices, root);
	slices->heard_at = base_clock_mono();
	pthread_mutex_unlock(&slices->lock);
	json_decref(root);
	return true;
}

/*
 * Whatever cannot be followed, a version that the platform has forgotten
 * among it, leads to a whole list the next time.
 */
static bool watch(plat_slices_t *slices, bool *changed, GError **err)
{
	base_buf_t *body = base_buf_new(NULL), *path = base_buf_new(NULL);
	const char *line;
	bool heard, good = true;

	base_buf_addf(path,
		      SLICES_PATH "?watch=true&resourceVersion=%s"
				  "&timeoutSeconds=%d",
		      slices->version, PLAT_LIST_WAIT_S);
	heard = plat_http_get(slices->http, path->ptr, body, err);
	pthread_mutex_lock(&slices->lock);
	for (line = body->ptr; heard && good && *line;) {
		size_t len = strcspn(line, "\n");

		good = take_event(slices, line, len);
		*changed = true;
		line += len + (line[len] == '\n');
	}
	if (heard && good)
		slices->heard_at = base_clock_mono();
	else
		slices->version[0] = '\0';
	pthread_mutex_unlock(&slices->lock);
	talloc_free(path);
	talloc_free(body);
	return heard;
}

static bool take_event(plat_slices_t *slices, const char *line, size_t len)
{
	json_t *event = json_loadb(line, len, 0, NULL);
	const char *type = json_string_value(json_object_get(event, "type"));
	json_t *slice = json_object_get(event, "object");
	bool good = type && name_of(slice);

	if (good && !strcmp(type, "DELETED"))
		g_hash_table_remove(slices->slices, name_of(slice));
	else if (good && (!strcmp(type, "ADDED") || !strcmp(type, "MODIFIED")))
		put_slice(slices, slice);
	else
		good = false;
	if (good)
		note_version(slices, slice);
	json_decref(event);
	return good;
}

static void put_slice(plat_slices_t *slices, const json_t *slice)
{
	json_t *ports = json_object_get(slice, "ports");
	int port = (int)json_integer_value(
		json_object_get(json_array_get(ports, 0), "port"));
	plat_instances_t *held;
	json_t *endpoint;
	size_t i;

	if (!name_of(slice))
		return;
	held = talloc_zero(NULL, plat_instances_t);
	json_array_foreach(json_object_get(slice, "endpoints"), i, endpoint)
		add_endpoint(held, endpoint, port);
	g_hash_table_replace(slices->slices, g_strdup(name_of(slice)), held);
}

static const char *name_of(const json_t *slice)
{
	return json_string_value(
		json_object_get(json_object_get(slice, "metadata"), "name"));
}

static void note_version(plat_slices_t *slices, const json_t *object)
{
	json_t *metadata = json_object_get(object, "metadata");
	const char *version =
		json_string_value(json_object_get(metadata, "resourceVersion"));

	g_strlcpy(slices->version, version ? version : "",
		  sizeof(slices->version));
}

/* An endpoint without a name, an address or a zone is passed over. */
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
	instance->id = text_of(out, target, "name");
	instance->incarnation = text_of(out, target, "uid");
	instance->zone = text_of(out, endpoint, "zone");
	instance->rack = text_of(out, topology, "rack");
	instance->address = talloc_strdup(out, address);
	instance->port = port;
	instance->state =
		json_is_true(json_object_get(conditions, "terminating"))
			? PLAT_LEAVING
			: PLAT_LIVE;
}

/* In the order of their names, so that equal lists look equal. */
static void copy_out(const plat_slices_t *slices, const void *ctx,
		     const char *zone, plat_instances_t *out)
{
	GList *names = g_list_sort(g_hash_table_get_keys(slices->slices),
				   (GCompareFunc)strcmp);
	size_t room = 0;

	for (GList *at = names; at; at = at->next) {
		plat_instances_t *held =
			g_hash_table_lookup(slices->slices, at->data);

		room += held->count;
	}
	out->count = 0;
	out->items = talloc_zero_array(ctx, plat_instance_t, room);
	for (GList *at = names; at; at = at->next) {
		plat_instances_t *held =
			g_hash_table_lookup(slices->slices, at->data);

		for (size_t i = 0; i < held->count; i++)
			if (!zone || !strcmp(held->items[i].zone, zone))
				copy_instance(&out->items[out->count++],
					      &held->items[i], out->items);
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

static char *text_of(const void *ctx, const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return talloc_strdup(ctx, text ? text : "");
}
