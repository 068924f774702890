/* Field tables of answers and configurations: types, limits, help. */
#include "conf_int.h"

#define BOTH CONF_IN_BOTH
#define MEMBER(type, m) .offset = offsetof(type, m)
#define LIST(type, m) \
	.offset = offsetof(type, m), .count_offset = offsetof(type, n_##m)
#define SCHEMA(f, type)                                                 \
	{                                                               \
		.fields = (f), .n = ARRAY_SIZE(f), .size = sizeof(type) \
	}

const char *const conf_survive_names[] = { "none", "rack", "zone", NULL };

static const conf_field_t zone_fields[] = {
	{ "name", CONF_NAME, BOTH, MEMBER(conf_zone_t, name),
	  .help = "Name of the availability zone." },
	{ "racks", CONF_INT, BOTH, MEMBER(conf_zone_t, racks), .min = 1,
	  .max = 4096, .help = "Racks in this zone." },
	{ "workers", CONF_INT, BOTH, MEMBER(conf_zone_t, workers), .min = 1,
	  .max = 16384, .help = "Machines in this zone, all racks together." },
};
static const conf_schema_t zone_schema = SCHEMA(zone_fields, conf_zone_t);

static const conf_field_t weight_fields[] = {
	{ "buffer", CONF_REAL, BOTH, MEMBER(conf_weights_t, buffer), .max = 100,
	  .help = "How much capacity held idle matters to you." },
	{ "moves", CONF_REAL, BOTH, MEMBER(conf_weights_t, moves), .max = 100,
	  .help = "How much instances that change pool matter to you." },
	{ "flood", CONF_REAL, BOTH, MEMBER(conf_weights_t, flood), .max = 100,
	  .help = "How much the other work's service in a flood matters." },
};
static const conf_schema_t weight_schema =
	SCHEMA(weight_fields, conf_weights_t);

static const conf_field_t worker_fields[] = {
	{ "per_rack", CONF_INT, BOTH, MEMBER(conf_workers_t, per_rack),
	  .min = 1, .max = 128, .help = "Most machines in one rack." },
	{ "mixed_racks", CONF_BOOL, BOTH, MEMBER(conf_workers_t, mixed_racks),
	  .optional = true,
	  .help = "Is every pool spread evenly over the racks of a zone? If "
		  "no, one rack may hold machines of one pool alone." },
};
static const conf_schema_t worker_schema =
	SCHEMA(worker_fields, conf_workers_t);

static const conf_field_t shape_fields[] = {
	{ "cores", CONF_INT, BOTH, MEMBER(conf_shape_t, cores), .min = 1,
	  .max = 4096, .help = "Processor cores of one machine." },
	{ "memory_gb", CONF_INT, BOTH, MEMBER(conf_shape_t, memory_gb),
	  .min = 1, .max = 65536, .help = "Memory of one machine, GB." },
	{ "accelerators", CONF_INT, BOTH, MEMBER(conf_shape_t, accelerators),
	  .max = 64, .optional = true, .help = "Accelerators of one machine." },
};
static const conf_schema_t shape_schema = SCHEMA(shape_fields, conf_shape_t);

static const conf_field_t budget_fields[] = {
	{ "min_up", CONF_INT, BOTH, MEMBER(conf_budget_t, min_up), .max = 16384,
	  .help = "Executors that must be up at any time." },
	{ "survive", CONF_ENUM, BOTH, MEMBER(conf_budget_t, survive),
	  .choices = conf_survive_names, .optional = true,
	  .def = CONF_SURVIVE_RACK,
	  .help = "Through the loss of what must min_up hold?" },
	{ "drain", CONF_INT, BOTH, MEMBER(conf_budget_t, drain), .max = 1024,
	  .optional = true, .def = 1,
	  .help = "Executors that maintenance takes out at once, on top of "
		  "such a loss. 0 means that this pool is never maintained." },
	{ "loss", CONF_INT, CONF_IN_CONFIG, MEMBER(conf_budget_t, loss),
	  .max = 16384, .help = "Most executors that one such domain holds." },
};
static const conf_schema_t budget_schema = SCHEMA(budget_fields, conf_budget_t);

static const conf_field_t placement_fields[] = {
	{ "zone", CONF_NAME, BOTH, MEMBER(conf_placement_t, zone),
	  .help = "Availability zone." },
	{ "executors", CONF_INT, BOTH, MEMBER(conf_placement_t, executors),
	  .max = 16384, .help = "Executors of the pool in this zone." },
};
static const conf_schema_t placement_schema =
	SCHEMA(placement_fields, conf_placement_t);

static const conf_field_t pool_fields[] = {
	{ "name", CONF_NAME, BOTH, MEMBER(conf_pool_t, name),
	  .help = "Name of the service; requests go to /NAME/..." },
	{ "executors", CONF_INT, BOTH, MEMBER(conf_pool_t, executors), .min = 1,
	  .max = 16384, .help = "Machines that serve it, one executor each." },
	{ "slots", CONF_INT, BOTH, MEMBER(conf_pool_t, slots), .min = 1,
	  .max = 4096, .optional = true, .def = 8,
	  .help = "Requests that one executor runs at once." },
	{ "connections", CONF_INT, BOTH, MEMBER(conf_pool_t, connections),
	  .min = 1, .max = 65536, .optional = true, .def = 64,
	  .help = "Connections that one executor accepts." },
	{ "spare", CONF_BOOL, BOTH, MEMBER(conf_pool_t, spare),
	  .optional = true,
	  .help = "Is this the spare pool, which lends its machines?" },
	{ "worker", CONF_OBJECT, BOTH, MEMBER(conf_pool_t, worker),
	  .sub = &shape_schema, .help = "The machines of this pool." },
	{ "budget", CONF_OBJECT, BOTH, MEMBER(conf_pool_t, budget),
	  .sub = &budget_schema, .help = "What must stay up." },
	{ "placement", CONF_LIST, CONF_IN_CONFIG, LIST(conf_pool_t, placement),
	  .min = 1, .max = 64, .sub = &placement_schema,
	  .help = "Executors by zone." },
};
static const conf_schema_t pool_schema = SCHEMA(pool_fields, conf_pool_t);

static const conf_field_t class_fields[] = {
	{ "name", CONF_NAME, BOTH, MEMBER(conf_class_t, name),
	  .help = "Name of this kind of request." },
	{ "pool", CONF_NAME, BOTH, MEMBER(conf_class_t, pool),
	  .help = "The service that it goes to." },
	{ "method", CONF_METHOD, BOTH, MEMBER(conf_class_t, method),
	  .help = "HTTP method, or * for any." },
	{ "path", CONF_PATH, BOTH, MEMBER(conf_class_t, path),
	  .help = "Beginning of the path below the service, / for any. The "
		  "first class that fits is taken; the last one of each "
		  "service must be method * and path /." },
	{ "urgency", CONF_INT, BOTH, MEMBER(conf_class_t, urgency), .max = 9,
	  .help = "0 for the most urgent." },
	{ "weight", CONF_INT, BOTH, MEMBER(conf_class_t, weight), .min = 1,
	  .max = 1000, .optional = true, .def = 1,
	  .help = "Share of the service that this kind is owed when all ask "
		  "for more than there is." },
	{ "repeatable", CONF_BOOL, BOTH, MEMBER(conf_class_t, repeatable),
	  .help = "May it run twice without harm? Say false for whatever "
		  "moves money, goods or a promise." },
	{ "deadline_ms", CONF_INT, BOTH, MEMBER(conf_class_t, deadline_ms),
	  .min = 10, .max = 3600000,
	  .help = "Milliseconds after which an answer is of no use." },
};
static const conf_schema_t class_schema = SCHEMA(class_fields, conf_class_t);

static const conf_field_t caller_fields[] = {
	{ "name", CONF_NAME, BOTH, MEMBER(conf_caller_t, name),
	  .help = "Caller. Callers not listed share what 'other' is owed." },
	{ "weight", CONF_INT, BOTH, MEMBER(conf_caller_t, weight), .min = 1,
	  .max = 1000, .help = "Share that this caller is owed." },
};
static const conf_schema_t caller_schema = SCHEMA(caller_fields, conf_caller_t);

static const conf_field_t team_fields[] = {
	{ "name", CONF_NAME, BOTH, MEMBER(conf_team_t, name), .help = "Team." },
	{ "cores", CONF_INT, BOTH, MEMBER(conf_team_t, cores), .max = 10000000,
	  .help = "Cores that its jobs may hold at once." },
	{ "memory_gb", CONF_INT, BOTH, MEMBER(conf_team_t, memory_gb),
	  .max = 100000000, .help = "Memory that they may hold at once, GB." },
	{ "accelerators", CONF_INT, BOTH, MEMBER(conf_team_t, accelerators),
	  .max = 1000000, .optional = true,
	  .help = "Accelerators that they may hold at once." },
};
static const conf_schema_t team_schema = SCHEMA(team_fields, conf_team_t);

static const conf_field_t limit_fields[] = {
	{ "queue_requests", CONF_INT, BOTH,
	  MEMBER(conf_limits_t, queue_requests), .min = 1, .max = 100000,
	  .optional = true, .def = 256,
	  .help = "Requests that wait for one service at one entry." },
	{ "queue_bytes", CONF_INT, BOTH, MEMBER(conf_limits_t, queue_bytes),
	  .min = 1024, .max = 268435456, .optional = true, .def = 4194304,
	  .help = "Bytes of those requests." },
	{ "body_bytes", CONF_INT, BOTH, MEMBER(conf_limits_t, body_bytes),
	  .min = 1, .max = 67108864, .optional = true, .def = 1048576,
	  .help = "Bytes of one request's body." },
	{ "answer_bytes", CONF_INT, BOTH, MEMBER(conf_limits_t, answer_bytes),
	  .min = 1, .max = 67108864, .optional = true, .def = 4194304,
	  .help = "Bytes of one answer's body." },
	{ "claim_window_s", CONF_INT, BOTH,
	  MEMBER(conf_limits_t, claim_window_s), .min = 10, .max = 86400,
	  .optional = true, .def = 600,
	  .help = "Seconds for which a repeat of a request that is not "
		  "repeatable is recognised." },
	{ "retry_percent", CONF_INT, BOTH, MEMBER(conf_limits_t, retry_percent),
	  .max = 100, .optional = true, .def = 10,
	  .help = "Retries allowed, in percent of first attempts." },
	{ "connect_ms", CONF_INT, BOTH, MEMBER(conf_limits_t, connect_ms),
	  .min = 1, .max = 60000, .optional = true, .def = 500,
	  .help = "Milliseconds to wait for a connection to an endpoint." },
	{ "maintenance_days", CONF_INT, BOTH,
	  MEMBER(conf_limits_t, maintenance_days), .min = 1, .max = 730,
	  .optional = true, .def = 56,
	  .help = "Days within which every machine is maintained once." },
};
static const conf_schema_t limit_schema = SCHEMA(limit_fields, conf_limits_t);

static const conf_field_t root_fields[] = {
	{ "generated", CONF_TEXT, CONF_IN_CONFIG, MEMBER(conf_t, generated),
	  .help = "Says that the file is generated." },
	{ "schema", CONF_INT, BOTH, MEMBER(conf_t, schema), .min = CONF_SCHEMA,
	  .max = CONF_SCHEMA, .help = "Version of this questionnaire." },
	{ "digest", CONF_TEXT, CONF_IN_CONFIG, MEMBER(conf_t, digest),
	  .help = "Digest of all other members." },
	{ "site", CONF_NAME, BOTH, MEMBER(conf_t, site),
	  .help = "Short name of your site." },
	{ "region", CONF_NAME, BOTH, MEMBER(conf_t, region),
	  .help = "Region in which it runs." },
	{ "zones", CONF_LIST, BOTH, LIST(conf_t, zones), .min = 1, .max = 64,
	  .sub = &zone_schema, .help = "Availability zones." },
	{ "workers", CONF_OBJECT, BOTH, MEMBER(conf_t, workers),
	  .sub = &worker_schema, .help = "How machines stand in racks." },
	{ "weights", CONF_OBJECT, BOTH, MEMBER(conf_t, weights),
	  .sub = &weight_schema, .help = "What matters most, relatively." },
	{ "pools", CONF_LIST, BOTH, LIST(conf_t, pools), .min = 1, .max = 1024,
	  .sub = &pool_schema, .help = "Services, each with its pool." },
	{ "classes", CONF_LIST, BOTH, LIST(conf_t, classes), .min = 1,
	  .max = 8192, .sub = &class_schema,
	  .help = "Kinds of request, in the order in which they are tried." },
	{ "callers", CONF_LIST, BOTH, LIST(conf_t, callers), .max = 4096,
	  .sub = &caller_schema, .help = "Callers and their shares." },
	{ "teams", CONF_LIST, BOTH, LIST(conf_t, teams), .max = 4096,
	  .sub = &team_schema, .help = "Teams that run jobs." },
	{ "limits", CONF_OBJECT, BOTH, MEMBER(conf_t, limits),
	  .sub = &limit_schema, .optional = true,
	  .help = "Limits; what is left out keeps its default." },
};
const conf_schema_t conf_schema_root = SCHEMA(root_fields, conf_t);
