/*
 * conf - reads a site's answers, generates a configuration from them, and
 * compares two configurations.
 *
 * Operators fill in answers (cactusfield-answers(5)).  A configuration
 * (cactusfield-config(5)) is generated from them and must not be edited by
 * hand; it carries a digest of its content.  Both are held in the same
 * structure, conf_t.  Members marked "derived" exist only in a configuration.
 *
 * Input text need not be NUL-terminated.  Every string in a conf_t is
 * NUL-terminated; its length does not include the NUL.  Results are talloc
 * children of "ctx".
 */
#ifndef CONF_H
#define CONF_H

#include "base.h"

#define CONF_SCHEMA 1		    /* version of both file formats */
#define CONF_TEXT_MAX (1024 * 1024) /* bytes; limit of a value in the store */

#define CONF_ERROR conf_error_quark()
GQuark conf_error_quark(void);

typedef enum conf_error {
	CONF_ERR_SYNTAX, /* not JSON */
	CONF_ERR_SCHEMA, /* bad key, type, range or reference */
	CONF_ERR_DIGEST, /* content does not match the digest */
	CONF_ERR_MAX
} conf_error_t;

/* The failure domain whose loss must leave a pool at or above min_up. */
typedef enum conf_survive {
	CONF_SURVIVE_NONE,
	CONF_SURVIVE_RACK,
	CONF_SURVIVE_ZONE,
	CONF_SURVIVE_MAX
} conf_survive_t;

typedef struct conf_zone {
	base_str_t name;
	int64_t racks;
	int64_t workers; /* instances in all racks of the zone */
} conf_zone_t;

/* Relative weights that the planner applies to the costs of a plan. */
typedef struct conf_weights {
	double buffer; /* capacity kept idle */
	double moves;  /* instances that change pool */
	double flood;  /* service that other work loses in an overload */
} conf_weights_t;

typedef struct conf_workers {
	int64_t per_rack;
	bool mixed_racks; /* pools are spread evenly over a zone's racks */
} conf_workers_t;

/* Hardware resources of one instance. */
typedef struct conf_shape {
	int64_t cores;
	int64_t memory_gb;
	int64_t accelerators;
} conf_shape_t;

typedef struct conf_budget {
	int64_t min_up; /* executors that must be up at any time */
	conf_survive_t survive;
	int64_t drain; /* executors that maintenance may drain at once */
	/*
	 * Derived: most executors of the pool in one failure domain of the
	 * kind that "survive" names.
	 */
	int64_t loss;
} conf_budget_t;

/* Derived: the number of a pool's executors in one zone. */
typedef struct conf_placement {
	base_str_t zone;
	int64_t executors;
} conf_placement_t;

typedef struct conf_pool {
	base_str_t name; /* service name, first segment of its paths */
	int64_t executors;
	int64_t slots;	     /* concurrent requests per executor */
	int64_t connections; /* connections per executor */
	bool spare;	     /* lends instances to other pools */
	conf_shape_t worker;
	conf_budget_t budget;
	conf_placement_t *placement; /* derived: one per zone, in zone order */
	size_t n_placement;
	const struct conf_class **classes; /* in match order */
	size_t n_classes;
} conf_pool_t;

/*
 * A class of requests.  A request belongs to the first class of its pool that
 * matches.  conf_check() requires the last class of each pool to match every
 * request.
 */
typedef struct conf_class {
	base_str_t name; /* unique within its pool */
	base_str_t pool;
	base_str_t method; /* "*" matches any */
	base_str_t path;   /* prefix after the service name; "/" matches any */
	int64_t urgency;   /* 0 is the most urgent */
	int64_t weight;	   /* relative share among the pool's classes */
	bool repeatable;
	int64_t deadline_ms; /* default if the request sets none */
} conf_class_t;

typedef struct conf_caller {
	base_str_t name;
	int64_t weight;
} conf_caller_t;

/* The resources that a team's jobs may hold at once. */
typedef struct conf_team {
	base_str_t name;
	int64_t cores;
	int64_t memory_gb;
	int64_t accelerators;
} conf_team_t;

typedef struct conf_limits {
	/* Limit of requests queued per pool at one entry. */
	int64_t queue_requests;
	/* Limit of the body bytes of queued requests. */
	int64_t queue_bytes;
	int64_t body_bytes;   /* largest request body, in bytes */
	int64_t answer_bytes; /* largest response body, in bytes */
	/* How long a request that is not repeatable is remembered. */
	int64_t claim_window_s;
	int64_t retry_percent;	  /* most retries, in % of first attempts */
	int64_t connect_ms;	  /* timeout of a connect to an endpoint */
	int64_t maintenance_days; /* maximum interval between maintenances */
} conf_limits_t;

typedef struct conf_index conf_index_t;

typedef struct conf {
	int64_t schema;
	base_str_t generated; /* derived: a notice not to edit the file */
	base_str_t digest;    /* derived: 128-bit XXH3, hexadecimal */
	base_str_t site;
	base_str_t region;
	conf_zone_t *zones;
	size_t n_zones;
	conf_weights_t weights;
	conf_workers_t workers;
	conf_pool_t *pools;
	size_t n_pools;
	conf_class_t *classes;
	size_t n_classes;
	conf_caller_t *callers;
	size_t n_callers;
	conf_team_t *teams;
	size_t n_teams;
	conf_limits_t limits;
	conf_index_t *index; /* finds pools by name */
} conf_t;

/* Answers: a conf_t without the derived members. */
typedef conf_t conf_answers_t;

/* One error in a file. */
typedef struct conf_fault {
	const char *path;  /* for example "$.pools[2].executors" */
	int line;	   /* starts at 1 */
	const char *found; /* the value, truncated if long */
	const char *want;  /* the values that are accepted */
} conf_fault_t;

typedef struct conf_faults {
	conf_fault_t *v; /* ordered by line */
	size_t n;
} conf_faults_t;

/* Allocate an empty list as a talloc child of "ctx". */
conf_faults_t *conf_faults_new(const void *ctx);

/* Format one line per fault: "FILE:LINE: PATH: found FOUND; expected WANT". */
char *conf_faults_print(const void *ctx, const conf_faults_t *faults,
			const char *file);

/*
 * Parse and check answers.  Adds every fault in the text to "faults".
 * Returns NULL if and only if a fault was added.
 */
conf_answers_t *conf_answers_load(const void *ctx, base_str_t text,
				  conf_faults_t *faults);

/* Return an answers file to fill in, with a "_help" member in each object. */
char *conf_answers_template(const void *ctx);

/*
 * Generate the configuration from checked answers, as JSON text that ends in
 * a newline.  Equal answers give identical bytes.  Fails if the text is larger
 * than CONF_TEXT_MAX.
 */
char *conf_generate(const void *ctx, const conf_answers_t *answers,
		    GError **err);

/*
 * Parse a generated configuration.  Fails with an error that names the path
 * if a key is unknown, missing or out of range, if the schema version differs,
 * or if the digest does not match.
 */
conf_t *conf_load(const void *ctx, base_str_t json, GError **err);

#define CONF_JOBS_MAX 4096 /* jobs in one file */

/* A job as a team submits it, cactusfield-jobs(5). */
typedef struct conf_job {
	base_str_t id;
	base_str_t team;
	base_str_t family; /* jobs of a family have similar resource use */
	int64_t urgency;   /* 0 is the most urgent */
	bool repeatable;
	bool checkpoints;
	bool throttles;
	double cores;
	int64_t memory_mb;
	int64_t accelerators;
} conf_job_t;

typedef struct conf_jobs {
	int64_t schema;
	conf_job_t *jobs;
	size_t n_jobs;
} conf_jobs_t;

/*
 * Parse and check a file of jobs, with the same error handling as
 * conf_answers_load().  If "conf" is not NULL, it must list each job's team.
 */
conf_jobs_t *conf_jobs_load(const void *ctx, base_str_t text,
			    const conf_t *conf, conf_faults_t *faults);

/* Find a pool by name; NULL if there is none. */
const conf_pool_t *conf_pool(const conf_t *conf, base_str_t name);

/*
 * Find the class of a request to "pool".  "path" is the part of the request
 * path after the service name, with its leading slash.  Returns NULL if the
 * pool is unknown.
 */
const conf_class_t *conf_class_match(const conf_t *conf, base_str_t pool,
				     base_str_t method, base_str_t path);

/* Find a class of "pool" by name; NULL if there is none. */
const conf_class_t *conf_class(const conf_t *conf, base_str_t pool,
			       base_str_t name);

typedef enum conf_change_kind {
	CONF_CHANGE_ADDED,
	CONF_CHANGE_REMOVED,
	CONF_CHANGE_VALUE,
	CONF_CHANGE_ORDER,
	CONF_CHANGE_KIND_MAX
} conf_change_kind_t;

/* One difference between two configurations. */
typedef struct conf_change {
	conf_change_kind_t kind;
	const char *subject; /* for example "pool gate-desk" */
	const char *key;     /* for example "budget.min_up"; may be "" */
	const char *text;    /* description for operators */
} conf_change_t;

/* Capacity totals of a configuration. */
typedef struct conf_totals {
	int64_t slots;	/* concurrent requests over all pools */
	int64_t buffer; /* executors above min_up over all pools */
} conf_totals_t;

typedef struct conf_diff {
	conf_change_t *v;
	size_t n;
	conf_totals_t before;
	conf_totals_t after;
	int64_t moves; /* fewest instances that must change pool */
} conf_diff_t;

/* Compare two configurations.  List items are matched by name. */
conf_diff_t *conf_diff(const void *ctx, const conf_t *before,
		       const conf_t *after);

/* Format one line per change, followed by the capacity totals. */
char *conf_diff_print(const void *ctx, const conf_diff_t *diff);

#define CONF_RECORD_HISTORY_MAX 16 /* earlier changes that a record lists */

/*
 * An accepted configuration as stored.  The record lists the ids of earlier
 * changes, so that an operator whose response was lost can find out that a
 * change took effect even after later changes replaced it.
 */
typedef struct conf_record {
	int64_t generation;  /* starts at 1 and increases by 1 */
	base_str_t change;   /* id of the change that wrote the record */
	base_str_t *history; /* ids of earlier changes, latest first */
	size_t n_history;
	conf_t *config;
	char *config_json; /* JSON text of "config" */
} conf_record_t;

/* Parse a record.  Fails under the same conditions as conf_load(). */
conf_record_t *conf_record_load(const void *ctx, base_str_t json, GError **err);

/*
 * Return the text of the record that follows "previous" (NULL for the first
 * record) and holds "config_json".  "config_json" is checked again.
 */
char *conf_record_print(const void *ctx, const conf_record_t *previous,
			base_str_t change, base_str_t config_json,
			GError **err);

/* Return the generation that "change" wrote; 0 if it is not listed. */
int64_t conf_record_find(const conf_record_t *rec, base_str_t change);

#endif
