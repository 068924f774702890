/* Files of jobs: field tables, decoding and checks. */
#include "conf_int.h"

#define MEMBER(type, m) .offset = offsetof(type, m)
#define IN_FILE CONF_IN_ANSWERS

static void check_ids(const conf_reader_t *rd, const conf_jobs_t *jobs);
static void check_teams(const conf_reader_t *rd, const conf_jobs_t *jobs,
			const conf_t *conf);
static bool team_exists(const conf_t *conf, base_str_t name);
static void add_job_fault(const conf_reader_t *rd, size_t i, const char *key,
			  base_str_t found, const char *want);

static const conf_field_t job_fields[] = {
	{ "id", CONF_NAME, IN_FILE, MEMBER(conf_job_t, id),
	  .help = "Name of the job, never used again." },
	{ "team", CONF_NAME, IN_FILE, MEMBER(conf_job_t, team),
	  .help = "Team whose quota it takes." },
	{ "family", CONF_NAME, IN_FILE, MEMBER(conf_job_t, family),
	  .help = "What it runs; jobs of a family resemble each other." },
	{ "urgency", CONF_INT, IN_FILE, MEMBER(conf_job_t, urgency), .max = 3,
	  .help = "0 for urgent: room is made for it." },
	{ "repeatable", CONF_BOOL, IN_FILE, MEMBER(conf_job_t, repeatable),
	  .help = "May it begin twice without harm?" },
	{ "checkpoints", CONF_BOOL, IN_FILE, MEMBER(conf_job_t, checkpoints),
	  .optional = true, .help = "Can it be checkpointed?" },
	{ "throttles", CONF_BOOL, IN_FILE, MEMBER(conf_job_t, throttles),
	  .optional = true, .help = "Can it run on fewer cores?" },
	{ "cores", CONF_REAL, IN_FILE, MEMBER(conf_job_t, cores), .min = 0.001,
	  .max = 4096, .help = "Cores that it needs." },
	{ "memory_mb", CONF_INT, IN_FILE, MEMBER(conf_job_t, memory_mb),
	  .min = 1, .max = 67108864, .help = "Memory that it needs, MB." },
	{ "accelerators", CONF_INT, IN_FILE, MEMBER(conf_job_t, accelerators),
	  .max = 64, .optional = true, .help = "Accelerators, whole ones." },
};
static const conf_schema_t job_schema = { .fields = job_fields,
					  .n = ARRAY_SIZE(job_fields),
					  .size = sizeof(conf_job_t) };

static const conf_field_t root_fields[] = {
	{ "schema", CONF_INT, IN_FILE, MEMBER(conf_jobs_t, schema),
	  .min = CONF_SCHEMA, .max = CONF_SCHEMA, .help = "Version." },
	{ "jobs", CONF_LIST, IN_FILE, MEMBER(conf_jobs_t, jobs),
	  .count_offset = offsetof(conf_jobs_t, n_jobs), .min = 1,
	  .max = CONF_JOBS_MAX, .sub = &job_schema, .help = "Jobs." },
};
static const conf_schema_t root_schema = { .fields = root_fields,
					   .n = ARRAY_SIZE(root_fields),
					   .size = sizeof(conf_jobs_t) };

conf_jobs_t *conf_jobs_load(const void *ctx, base_str_t text,
			    const conf_t *conf, conf_faults_t *faults)
{
	size_t before = faults->n;
	json_t *root = conf_parse(text, 0, faults, NULL);
	conf_jobs_t *jobs;
	conf_pos_t *pos;

	if (!root)
		return NULL;
	pos = conf_pos_new(NULL, text, faults);
	conf_reader_t rd = { IN_FILE, pos, faults, (void *)ctx };
	jobs = conf_decode_as(&rd, &root_schema, root);
	check_ids(&rd, jobs);
	if (conf)
		check_teams(&rd, jobs, conf);
	conf_faults_sort(faults);
	if (faults->n > before)
		TALLOC_FREE(jobs);
	talloc_free(pos);
	json_decref(root);
	return jobs;
}

static void check_ids(const conf_reader_t *rd, const conf_jobs_t *jobs)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < jobs->n_jobs; i++) {
		base_str_t id = jobs->jobs[i].id;

		if (id.len && !g_hash_table_add(seen, (void *)id.ptr))
			add_job_fault(rd, i, "id", id,
				      "an id that no other of the list has");
	}
	g_hash_table_destroy(seen);
}

static void check_teams(const conf_reader_t *rd, const conf_jobs_t *jobs,
			const conf_t *conf)
{
	for (size_t i = 0; i < jobs->n_jobs; i++) {
		base_str_t team = jobs->jobs[i].team;

		if (team.len && !team_exists(conf, team))
			add_job_fault(rd, i, "team", team,
				      "a team of the configuration");
	}
}

static bool team_exists(const conf_t *conf, base_str_t name)
{
	for (size_t i = 0; i < conf->n_teams; i++)
		if (base_str_eq(conf->teams[i].name, name))
			return true;
	return false;
}

static void add_job_fault(const conf_reader_t *rd, size_t i, const char *key,
			  base_str_t found, const char *want)
{
	char *path = talloc_asprintf(NULL, "$.jobs[%zu].%s", i, key);
	char *text = talloc_asprintf(path, "\"%.*s\"", BASE_STR_ARG(found));

	conf_fault_at(rd, path, text, "%s", want);
	talloc_free(path);
}
