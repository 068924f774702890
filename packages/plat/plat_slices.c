#include "plat_int.h"

/*
 * The list of EndpointSlice objects, discovery.k8s.io/v1.  The incarnation
 * is the uid of the target, the rack stands in deprecatedTopology.
 */

typedef struct plat_slices {
	plat_list_t list;
	plat_http_t *http;
	pthread_mutex_t lock;
} plat_slices_t;

static bool slices_read(plat_list_t *list, const void *ctx, const char *zone,
			plat_instances_t *out, GError **err);
static int free_slices(plat_slices_t *slices);
static void add_slice(plat_instances_t *out, const json_t *slice);
static bool add_endpoint(plat_instances_t *out, const json_t *endpoint,
			 int port);
static char *text_of(const void *ctx, const json_t *object, const char *key);

static const plat_list_ops_t slices_ops = { .read = slices_read };

plat_list_t *plat_slices_new(const void *ctx, const plat_address_t *address)
{
	plat_slices_t *slices = talloc_zero(ctx, plat_slices_t);

	slices->list.ops = &slices_ops;
	slices->http = plat_http_new(slices, address);
	pthread_mutex_init(&slices->lock, NULL);
	talloc_set_destructor(slices, free_slices);
	return &slices->list;
}

static int free_slices(plat_slices_t *slices)
{
	pthread_mutex_destroy(&slices->lock);
	return 0;
}

static bool slices_read(plat_list_t *list, const void *ctx, const char *zone,
			plat_instances_t *out, GError **err)
{
	plat_slices_t *slices = (plat_slices_t *)list;
	base_buf_t *path = base_buf_new(NULL);
	json_t *root, *slice;
	size_t i;

	base_buf_adds(path, "/apis/discovery.k8s.io/v1/endpointslices");
	if (zone)
		base_buf_addf(path, "?labelSelector=zone%%3D%s", zone);
	pthread_mutex_lock(&slices->lock);
	root = plat_http_call(slices->http, path->ptr, NULL, err);
	pthread_mutex_unlock(&slices->lock);
	talloc_free(path);
	if (!root)
		return false;
	out->items = talloc_zero_array(ctx, plat_instance_t, 0);
	out->count = 0;
	json_array_foreach(json_object_get(root, "items"), i, slice)
		add_slice(out, slice);
	json_decref(root);
	return true;
}

static void add_slice(plat_instances_t *out, const json_t *slice)
{
	json_t *ports = json_object_get(slice, "ports");
	int port = (int)json_integer_value(
		json_object_get(json_array_get(ports, 0), "port"));
	json_t *endpoint;
	size_t i;

	json_array_foreach(json_object_get(slice, "endpoints"), i, endpoint)
		add_endpoint(out, endpoint, port);
}

/* An endpoint without a name, an address or a zone is passed over. */
static bool add_endpoint(plat_instances_t *out, const json_t *endpoint,
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
		return false;
	out->items = talloc_realloc(NULL, out->items, plat_instance_t,
				    out->count + 1);
	instance = &out->items[out->count++];
	instance->id = text_of(out->items, target, "name");
	instance->incarnation = text_of(out->items, target, "uid");
	instance->zone = text_of(out->items, endpoint, "zone");
	instance->rack = text_of(out->items, topology, "rack");
	instance->address = talloc_strdup(out->items, address);
	instance->port = port;
	instance->state =
		json_is_true(json_object_get(conditions, "terminating"))
			? PLAT_LEAVING
			: PLAT_LIVE;
	return true;
}

static char *text_of(const void *ctx, const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return talloc_strdup(ctx, text ? text : "");
}
