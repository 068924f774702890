#include "entry_int.h"

/* A configuration, shared by views and freed with its last holder. */
struct entry_config {
	atomic_int holders;
	conf_record_t *record;
	base_str_t text; /* the record as it was received */
};

struct entry_views {
	pthread_mutex_t lock; /* protects everything below */
	entry_view_t *current;
	plat_instances_t list; /* the latest instance list */
	void *list_ctx;
	GHashTable *owner_of; /* instance id to entry_owner_t */
	void *owner_ctx;
};

static int free_views(entry_views_t *views);
static int free_view(entry_view_t *view);
static void rebuild(entry_views_t *views, entry_config_t *config);
static void add_cordoned(entry_views_t *views, entry_view_t *view);
static void add_to_pool(entry_views_t *views, entry_view_t *view,
			const plat_instance_t *instance);
static void add_endpoint(entry_view_t *view, entry_pool_t *pool,
			 const plat_instance_t *instance);
static void copy_list(entry_views_t *views, const plat_instances_t *from);
static bool same_list(const plat_instances_t *a, const plat_instances_t *b);
static void release_config(entry_config_t *config);

BASE_ERROR_DOMAIN(entry)

entry_views_t *entry_views_new(const void *ctx)
{
	entry_views_t *views = talloc_zero(ctx, entry_views_t);

	entry_lock_init(&views->lock);
	views->list_ctx = talloc_new(NULL);
	views->owner_of = g_hash_table_new(g_str_hash, g_str_equal);
	views->current = talloc_zero(NULL, entry_view_t);
	views->current->ref_count = 1;
	talloc_set_destructor(views, free_views);
	return views;
}

entry_view_t *entry_view_hold(entry_views_t *views)
{
	entry_view_t *view;

	pthread_mutex_lock(&views->lock);
	view = views->current;
	atomic_fetch_add(&view->ref_count, 1);
	pthread_mutex_unlock(&views->lock);
	return view;
}

void entry_view_release(entry_view_t *view)
{
	if (atomic_fetch_sub(&view->ref_count, 1) == 1)
		talloc_free(view);
}

bool entry_views_set_config(entry_views_t *views, base_str_t text, bool *newer,
			    GError **err)
{
	entry_config_t *config = talloc_zero(NULL, entry_config_t);
	GError *cause = NULL;

	config->holders = 1;
	config->record = conf_record_load(config, text, &cause);
	*newer = false;
	if (!config->record) {
		base_err_wrap(err, ENTRY_ERROR, ENTRY_ERROR_CONFIG, cause,
			      "configuration refused");
		talloc_free(config);
		return false;
	}
	config->text = (base_str_t){ talloc_memdup(config, text.ptr, text.len),
				     text.len };
	pthread_mutex_lock(&views->lock);
	*newer =
		!views->current->record ||
		config->record->generation > views->current->record->generation;
	if (*newer)
		rebuild(views, config);
	pthread_mutex_unlock(&views->lock);
	release_config(config);
	return true;
}

void entry_views_set_list(entry_views_t *views,
			  const plat_instances_t *instances)
{
	pthread_mutex_lock(&views->lock);
	if (!same_list(&views->list, instances)) {
		copy_list(views, instances);
		if (views->current->config)
			rebuild(views, views->current->config);
	}
	pthread_mutex_unlock(&views->lock);
}

void entry_views_set_owners(entry_views_t *views, const entry_owner_t *owners,
			    size_t n)
{
	entry_owner_t *copy = talloc_array(NULL, entry_owner_t, n);

	pthread_mutex_lock(&views->lock);
	g_hash_table_remove_all(views->owner_of);
	talloc_free(views->owner_ctx);
	views->owner_ctx = copy;
	for (size_t i = 0; i < n; i++) {
		copy[i] = owners[i];
		copy[i].id = talloc_strdup(copy, owners[i].id);
		copy[i].pool = owners[i].pool
				       ? talloc_strdup(copy, owners[i].pool)
				       : NULL;
		if (owners[i].pool)
			g_hash_table_insert(views->owner_of,
					    (gpointer)copy[i].id, &copy[i]);
	}
	if (views->current->config)
		rebuild(views, views->current->config);
	pthread_mutex_unlock(&views->lock);
}

const entry_pool_t *entry_view_pool(const entry_view_t *view,
				    base_str_t service)
{
	for (size_t i = 0; i < view->pool_count; i++)
		if (base_str_eq(view->pools[i].conf->name, service))
			return &view->pools[i];
	return NULL;
}

static int free_views(entry_views_t *views)
{
	entry_view_release(views->current);
	talloc_free(views->list_ctx);
	g_hash_table_destroy(views->owner_of);
	talloc_free(views->owner_ctx);
	pthread_mutex_destroy(&views->lock);
	return 0;
}

static int free_view(entry_view_t *view)
{
	release_config(view->config);
	return 0;
}

static void release_config(entry_config_t *config)
{
	if (atomic_fetch_sub(&config->holders, 1) == 1)
		talloc_free(config);
}

/*
 * Builds a view from "config", the instance list and the owners and makes it
 * the current one; with the lock held.
 */
static void rebuild(entry_views_t *views, entry_config_t *config)
{
	entry_view_t *view = talloc_zero(NULL, entry_view_t);
	const conf_t *conf = config->record->config;
	entry_view_t *old = views->current;

	view->ref_count = 1;
	atomic_fetch_add(&config->holders, 1);
	view->config = config;
	view->record = config->record;
	view->text = config->text;
	talloc_set_destructor(view, free_view);
	view->pool_count = conf->n_pools;
	view->pools = talloc_zero_array(view, entry_pool_t, conf->n_pools);
	for (size_t i = 0; i < conf->n_pools; i++)
		view->pools[i].conf = &conf->pools[i];
	view->has_owner_records = g_hash_table_size(views->owner_of) > 0;
	for (size_t i = 0; i < views->list.count; i++)
		add_to_pool(views, view, &views->list.items[i]);
	add_cordoned(views, view);
	views->current = view;
	entry_view_release(old);
}

static void add_cordoned(entry_views_t *views, entry_view_t *view)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, views->owner_of);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((entry_owner_t *)value)->cordoned;
	view->cordoned = talloc_zero_array(view, entry_owner_t, n);
	g_hash_table_iter_init(&iter, views->owner_of);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_owner_t *owner = value;
		entry_owner_t *copy;

		if (!owner->cordoned)
			continue;
		copy = &view->cordoned[view->cordoned_count++];
		*copy = *owner;
		copy->id = talloc_strdup(view, owner->id);
		copy->pool = NULL;
	}
}

/*
 * Adds an instance as an endpoint of the pool that its fleet record names, if
 * it serves and has the incarnation that the record names.
 */
static void add_to_pool(entry_views_t *views, entry_view_t *view,
			const plat_instance_t *instance)
{
	const entry_owner_t *owner =
		g_hash_table_lookup(views->owner_of, instance->id);

	if (!owner || !owner->serves || !owner->pool ||
	    strtoull(instance->incarnation, NULL, 10) != owner->inc)
		return;
	for (size_t i = 0; i < view->pool_count; i++)
		if (base_str_eq(view->pools[i].conf->name,
				base_str(owner->pool)))
			add_endpoint(view, &view->pools[i], instance);
}

static void add_endpoint(entry_view_t *view, entry_pool_t *pool,
			 const plat_instance_t *instance)
{
	entry_endpoint_t *endpoint;

	pool->endpoints =
		talloc_realloc(view, pool->endpoints, entry_endpoint_t,
			       pool->endpoint_count + 1);
	endpoint = &pool->endpoints[pool->endpoint_count++];
	endpoint->id = talloc_strdup(view, instance->id);
	endpoint->incarnation = talloc_strdup(view, instance->incarnation);
	endpoint->zone = talloc_strdup(view, instance->zone);
	endpoint->rack = talloc_strdup(view, instance->rack);
	endpoint->address = talloc_strdup(view, instance->address);
	endpoint->port = instance->port;
	endpoint->state = instance->state;
}

static bool same_list(const plat_instances_t *a, const plat_instances_t *b)
{
	if (a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++) {
		const plat_instance_t *x = &a->items[i], *y = &b->items[i];

		if (strcmp(x->id, y->id) ||
		    strcmp(x->incarnation, y->incarnation) ||
		    strcmp(x->address, y->address) || x->port != y->port ||
		    x->state != y->state)
			return false;
	}
	return true;
}

static void copy_list(entry_views_t *views, const plat_instances_t *from)
{
	void *ctx = talloc_new(NULL);

	talloc_free(views->list_ctx);
	views->list_ctx = ctx;
	views->list.count = from->count;
	views->list.items =
		talloc_zero_array(ctx, plat_instance_t, from->count);
	for (size_t i = 0; i < from->count; i++) {
		const plat_instance_t *source = &from->items[i];
		plat_instance_t *copy = &views->list.items[i];

		*copy = *source;
		copy->id = talloc_strdup(ctx, source->id);
		copy->incarnation = talloc_strdup(ctx, source->incarnation);
		copy->zone = talloc_strdup(ctx, source->zone);
		copy->rack = talloc_strdup(ctx, source->rack);
		copy->address = talloc_strdup(ctx, source->address);
	}
}
