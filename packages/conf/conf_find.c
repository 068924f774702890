/* Lookups in a configuration. */
#include <xxhash.h>

#include "conf_int.h"

/* Hash table of pools by name: open addressing, at most half full. */
struct conf_index {
	const conf_pool_t **slots;
	size_t mask;
};

static bool has_path_prefix(base_str_t s, base_str_t prefix);
static void index_add(conf_index_t *index, const conf_pool_t *pool);
static void index_classes(conf_t *conf, conf_pool_t *pool);

void conf_index_build(conf_t *conf)
{
	conf_index_t *index = talloc_zero(conf, conf_index_t);
	size_t n = 1;

	while (n < conf->n_pools * 2)
		n *= 2;
	index->mask = n - 1;
	index->slots =
		talloc_zero_array(index, const conf_pool_t *, (unsigned)n);
	conf->index = index;
	for (size_t i = 0; i < conf->n_pools; i++) {
		index_add(index, &conf->pools[i]);
		index_classes(conf, &conf->pools[i]);
	}
}

const conf_pool_t *conf_pool(const conf_t *conf, base_str_t name)
{
	const conf_index_t *index = conf->index;
	size_t at = XXH3_64bits(name.ptr, name.len) & index->mask;

	while (index->slots[at] && !base_str_eq(index->slots[at]->name, name))
		at = (at + 1) & index->mask;
	return index->slots[at];
}

const conf_class_t *conf_class_match(const conf_t *conf, base_str_t pool,
				     base_str_t method, base_str_t path)
{
	const conf_pool_t *p = conf_pool(conf, pool);

	for (size_t i = 0; p && i < p->n_classes; i++) {
		const conf_class_t *cl = p->classes[i];

		if ((base_str_eq(cl->method, BASE_STR("*")) ||
		     base_str_eq(cl->method, method)) &&
		    has_path_prefix(path, cl->path))
			return cl;
	}
	return NULL;
}

const conf_class_t *conf_class(const conf_t *conf, base_str_t pool,
			       base_str_t name)
{
	const conf_pool_t *p = conf_pool(conf, pool);

	for (size_t i = 0; p && i < p->n_classes; i++)
		if (base_str_eq(p->classes[i]->name, name))
			return p->classes[i];
	return NULL;
}

/* Whether "s" begins with the prefix; an empty path counts as "/". */
static bool has_path_prefix(base_str_t s, base_str_t prefix)
{
	if (!s.len)
		s = BASE_STR("/");
	return s.len >= prefix.len && !memcmp(s.ptr, prefix.ptr, prefix.len);
}

static void index_add(conf_index_t *index, const conf_pool_t *pool)
{
	size_t at = XXH3_64bits(pool->name.ptr, pool->name.len) & index->mask;

	while (index->slots[at])
		at = (at + 1) & index->mask;
	index->slots[at] = pool;
}

static void index_classes(conf_t *conf, conf_pool_t *pool)
{
	pool->classes = talloc_array(conf->index, const conf_class_t *, 0);
	pool->n_classes = 0;
	for (size_t i = 0; i < conf->n_classes; i++) {
		if (!base_str_eq(conf->classes[i].pool, pool->name))
			continue;
		pool->classes = talloc_realloc(conf->index, pool->classes,
					       const conf_class_t *,
					       (unsigned)(pool->n_classes + 1));
		pool->classes[pool->n_classes++] = &conf->classes[i];
	}
}
