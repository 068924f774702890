/* Look-ups in a configuration. */
#include "conf_int.h"

static bool begins(base_str_t s, base_str_t prefix);

const conf_pool_t *conf_pool(const conf_t *conf, base_str_t name)
{
	for (size_t i = 0; i < conf->n_pools; i++)
		if (base_str_eq(conf->pools[i].name, name))
			return &conf->pools[i];
	return NULL;
}

const conf_class_t *conf_class_match(const conf_t *conf, base_str_t pool,
				     base_str_t method, base_str_t path)
{
	for (size_t i = 0; i < conf->n_classes; i++) {
		const conf_class_t *cl = &conf->classes[i];

		if (base_str_eq(cl->pool, pool) &&
		    (base_str_eq(cl->method, BASE_STR("*")) ||
		     base_str_eq(cl->method, method)) &&
		    begins(path, cl->path))
			return cl;
	}
	return NULL;
}

const conf_class_t *conf_class(const conf_t *conf, base_str_t pool,
			       base_str_t name)
{
	for (size_t i = 0; i < conf->n_classes; i++)
		if (base_str_eq(conf->classes[i].pool, pool) &&
		    base_str_eq(conf->classes[i].name, name))
			return &conf->classes[i];
	return NULL;
}

/* An empty path is taken as "/". */
static bool begins(base_str_t s, base_str_t prefix)
{
	if (!s.len)
		s = BASE_STR("/");
	return s.len >= prefix.len && !memcmp(s.ptr, prefix.ptr, prefix.len);
}
