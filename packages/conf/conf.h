/*
 * conf - a site's answers, the configuration generated from them, and the
 * difference between two configurations.
 *
 * Operators fill in answers (cactusfield-answers(5)).  A configuration
 * (cactusfield-config(5)) is generated from them and never edited by hand: it
 * carries a digest of its content.  Both have the same model, conf_t; what
 * only a configuration has is marked "derived".
 *
 * Text handed in need not end in a NUL.  Every string of a model ends in a
 * NUL that its length does not count.  Results are talloc children of "ctx".
 */
#ifndef CONF_H
#define CONF_H

#include "base.h"

#define CONF_SCHEMA 1 /* version of both formats */
#define CONF_TEXT_MAX                                           \
	(1024 * 1024) /* bytes of a file, as of a store's value \
		       */

#define CONF_ERROR conf_error_quark()
GQuark conf_error_quark(void);

typedef enum conf_error {
	CONF_ERR_SYNTAX, /* not JSON */
	CONF_ERR_SCHEMA, /* a key, type, range or reference is wrong */
	CONF_ERR_DIGEST, /* changed after it was generated */
	CONF_ERR_MAX
} conf_error_t;

/* The failure domain whose loss a pool's budget has to outlive. */
typedef enum conf_survive {
	CONF_SURVIVE_NONE,
	CONF_SURVIVE_RACK,
	CONF_SURVIVE_ZONE,
	CONF_SURVIVE_MAX
} conf_survive_t;

typedef struct conf_zone {
	base_str_t name;
	int64_t racks;
	int64_t workers; /* machines in all its racks */
} conf_zone_t;

/* What matters to this site when plans are weighed; relative. */
typedef struct conf_weights {
	double buffer; /* capacity held idle */
	double moves;  /* instances that change pool */
	double flood;  /* what other work keeps during a flood */
} conf_weights_t;

typedef struct conf_workers {
	int64_t per_rack;
	bool mixed_racks; /* each pool is spread evenly over a zone's racks */
} conf_workers_t;

/* The shape of one worker. */
typedef struct conf_shape {
	int64_t cores;
	int64_t memory_gb;
	int64_t accelerators;
} conf_shape_t;

typedef struct conf_budget {
	int64_t min_up; /* executors that must be up at any time */
	conf_survive_t survive;
	int64_t drain; /* executors that maintenance may need out at once */
	int64_t loss;  /* derived: most executors one such domain holds */
} conf_budget_t;

/* Derived: the executors of a pool in one zone. */
typedef struct conf_placement {
	base_str_t zone;
	int64_t executors;
} conf_placement_t;

typedef struct conf_pool {
	base_str_t name; /* of the service, and its path segment */
	int64_t executors;
	int64_t slots;	     /* requests at once, of one executor */
	int64_t connections; /* of one executor */
	bool spare;	     /* lends its instances */
	conf_shape_t worker;
	conf_budget_t budget;
	conf_placement_t *placement; /* derived: one for each zone, in order */
	size_t n_placement;
	const struct conf_class **classes; /* its classes, in order */
	size_t n_classes;
} conf_pool_t;

/*
 * A kind of request.  The first class of its pool that matches is a request's
 * class; check sees to it that the last of each pool matches everything.
 */
typedef struct conf_class {
	base_str_t name; /* unique within its pool */
	base_str_t pool;
	base_str_t method; /* "*" matches any */
	base_str_t path;   /* prefix below the service; "/" matches any */
	int64_t urgency;   /* 0 is the most urgent */
	int64_t weight;	   /* share among the classes of its pool */
	bool repeatable;
	int64_t deadline_ms; /* when the caller names none */
} conf_class_t;

typedef struct conf_caller {
	base_str_t name;
	int64_t weight;
} conf_caller_t;

/* A team's quota for jobs. */
typedef struct conf_team {
	base_str_t name;
	int64_t cores;
	int64_t memory_gb;
	int64_t accelerators;
} conf_team_t;

typedef struct conf_limits {
	int64_t queue_requests; /* waiting, of one pool at one entry */
	int64_t queue_bytes;	/* their bodies */
	int64_t body_bytes;	/* of one request */
	int64_t answer_bytes;	/* of one answer */
	int64_t claim_window_s; /* a request that is not repeatable is known */
	int64_t retry_percent;	/* retries, of first attempts */
	int64_t connect_ms;	/* to an endpoint */
	int64_t maintenance_days; /* every instance once within */
} conf_limits_t;

typedef struct conf_index conf_index_t;

typedef struct conf {
	int64_t schema;
	base_str_t generated; /* derived: says so to whoever opens the file */
	base_str_t digest;    /* derived: xxh3, 128 bits, hexadecimal */
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
	conf_index_t *index; /* look-ups by name */
} conf_t;

/* Answers: the model before the derived members are filled in. */
typedef conf_t conf_answers_t;

/* One thing that is wrong with a file. */
typedef struct conf_fault {
	const char *path;  /* as "$.pools[2].executors" */
	int line;	   /* from 1 */
	const char *found; /* what stands there, shortened */
	const char *want;  /* what would be accepted */
} conf_fault_t;

typedef struct conf_faults {
	conf_fault_t *v; /* ordered by line */
	size_t n;
} conf_faults_t;

/* An empty list below "ctx". */
conf_faults_t *conf_faults_new(const void *ctx);

/* One line for each fault: "FILE:LINE: PATH: found FOUND; expected WANT". */
char *conf_faults_print(const void *ctx, const conf_faults_t *faults,
			const char *file);

/*
 * Read and check answers.  Every fault of the text is added to "faults";
 * returns NULL exactly if there is one.
 */
conf_answers_t *conf_answers_load(const void *ctx, base_str_t text,
				  conf_faults_t *faults);

/* A questionnaire to fill in: answers with one "_help" in each object. */
char *conf_answers_template(const void *ctx);

/*
 * The configuration for answers that were checked, as JSON text that ends in
 * a newline.  The same answers give the same bytes.
 */
char *conf_generate(const void *ctx, const conf_answers_t *answers,
		    GError **err);

/*
 * Read a generated configuration: refused with an error that names the path
 * if a key is unknown, missing or out of range, if its schema is another, and
 * if the digest does not fit.
 */
conf_t *conf_load(const void *ctx, base_str_t json, GError **err);

#define CONF_JOBS_MAX 4096 /* jobs of one file */

/* A job as a team hands it in, cactusfield-jobs(5). */
typedef struct conf_job {
	base_str_t id;
	base_str_t team;
	base_str_t family; /* what it runs */
	int64_t urgency;   /* 0 is urgent */
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
 * Read and check a file of jobs as conf_answers_load() does.  Where "conf" is
 * not NULL each team must be one of its teams.
 */
conf_jobs_t *conf_jobs_load(const void *ctx, base_str_t text,
			    const conf_t *conf, conf_faults_t *faults);

/* The pool of that name, or NULL. */
const conf_pool_t *conf_pool(const conf_t *conf, base_str_t name);

/*
 * The class of a request to "pool"; "path" is what follows the service's
 * segment, with its leading slash.  NULL if the pool is unknown.
 */
const conf_class_t *conf_class_match(const conf_t *conf, base_str_t pool,
				     base_str_t method, base_str_t path);

/* The class of that name in "pool", or NULL. */
const conf_class_t *conf_class(const conf_t *conf, base_str_t pool,
			       base_str_t name);

typedef enum conf_change_kind {
	CONF_CHANGE_ADDED,
	CONF_CHANGE_REMOVED,
	CONF_CHANGE_VALUE,
	CONF_CHANGE_ORDER,
	CONF_CHANGE_KIND_MAX
} conf_change_kind_t;

/* One difference. */
typedef struct conf_change {
	conf_change_kind_t kind;
	const char *subject; /* as "pool gate-desk" */
	const char *key;     /* of the member, as "budget.min_up", or "" */
	const char *text;    /* a sentence */
} conf_change_t;

/* What holds before and after. */
typedef struct conf_cost {
	int64_t slots;	/* requests at once, of all pools */
	int64_t buffer; /* executors above min_up, of all pools */
} conf_cost_t;

typedef struct conf_diff {
	conf_change_t *v;
	size_t n;
	conf_cost_t before;
	conf_cost_t after;
	int64_t moves; /* instances that change pool, at the least */
} conf_diff_t;

/* What changes from "before" to "after"; items of a list are told by name. */
conf_diff_t *conf_diff(const void *ctx, const conf_t *before,
		       const conf_t *after);

/* The difference in words, a line a change, then its cost. */
char *conf_diff_print(const void *ctx, const conf_diff_t *diff);

#define CONF_RECORD_BEFORE_MAX 16 /* changes that a record remembers */

/*
 * An accepted configuration as it stands in the store.  It remembers the
 * changes before it, so that an operator whose answer was lost can find out
 * that the change took effect even after others came on top of it.
 */
typedef struct conf_record {
	int64_t generation; /* from 1, only grows */
	base_str_t change;  /* id of the change that made it */
	base_str_t *before; /* ids of the changes before it, latest first */
	size_t n_before;
	conf_t *config;
	char *config_json; /* its text */
} conf_record_t;

/* Read such a record; refused as conf_load() does. */
conf_record_t *conf_record_load(const void *ctx, base_str_t json, GError **err);

/*
 * The text of the record that follows "previous" (NULL: the first one)
 * around "config_json", which is checked again.
 */
char *conf_record_print(const void *ctx, const conf_record_t *previous,
			base_str_t change, base_str_t config_json,
			GError **err);

/* The generation that "change" made, or 0 if the record knows of none. */
int64_t conf_record_find(const conf_record_t *rec, base_str_t change);

#endif
