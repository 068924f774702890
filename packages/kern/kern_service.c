#include "kern_int.h"

typedef struct kern_service {
	const char *name;
	const kern_service_ops_t *ops;
	void *service;
} kern_service_t;

struct kern {
	const base_log_t *log;
	kern_service_t services[KERN_SERVICES_MAX];
	size_t count;
	size_t started;
};

BASE_ERROR_DOMAIN(kern)

kern_t *kern_new(const void *ctx, const base_log_t *log)
{
	kern_t *kern = talloc_zero(ctx, kern_t);

	kern->log = log;
	return kern;
}

const base_log_t *kern_log(const kern_t *kern)
{
	return kern->log;
}

bool kern_register(kern_t *kern, const char *name,
		   const kern_service_ops_t *ops, void *service, GError **err)
{
	if (kern_find(kern, name) || kern->count == KERN_SERVICES_MAX) {
		g_set_error(
			err, KERN_ERROR, KERN_ERROR_DUPLICATE,
			"cannot register service '%s': the name is taken or "
			"there are too many services",
			name);
		return false;
	}
	kern->services[kern->count++] = (kern_service_t){ name, ops, service };
	return true;
}

void *kern_find(const kern_t *kern, const char *name)
{
	for (size_t i = 0; i < kern->count; i++)
		if (!strcmp(kern->services[i].name, name))
			return kern->services[i].service;
	return NULL;
}

bool kern_start(kern_t *kern, GError **err)
{
	GError *cause = NULL;

	for (size_t i = 0; i < kern->count; i++) {
		kern_service_t *s = &kern->services[i];

		if (!s->ops->start(s->service, kern, &cause)) {
			base_err_wrap(err, KERN_ERROR, KERN_ERROR_START, cause,
				      "service '%s' failed to start", s->name);
			kern_stop(kern);
			return false;
		}
		kern->started = i + 1;
	}
	return true;
}

void kern_stop(kern_t *kern)
{
	while (kern->started) {
		kern_service_t *s = &kern->services[--kern->started];

		s->ops->stop(s->service);
	}
}
