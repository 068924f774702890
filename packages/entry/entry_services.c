#include "entry_int.h"

typedef struct service {
	const char *name;
	const kern_service_ops_t *ops;
} service_t;

/* Services in start order; they are stopped in reverse order. */
static const service_t services[] = {
	{ "operators", &entry_operators_ops }, { "memb", &entry_memb_ops },
	{ "platform", &entry_platform_ops },   { "route", &entry_route_ops },
	{ "fleet", &entry_fleet_ops },	       { "jobs", &entry_jobs_ops },
	{ "probe", &entry_probe_ops },	       { "claim", &entry_claim_ops },
	{ "caller", &entry_caller_ops },
};

bool entry_services_register(entry_daemon_t *daemon, GError **err)
{
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		if (!kern_register(daemon->kern, services[i].name,
				   services[i].ops, daemon, err))
			return false;
	return true;
}
