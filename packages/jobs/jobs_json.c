/* Conversion of job records to and from JSON. */
#include <jansson.h>

#include "jobs_int.h"

static const char *const state_names[JOBS_STATE_MAX] = {
	[JOBS_QUEUED] = "queued",	[JOBS_STARTING] = "starting",
	[JOBS_RUNNING] = "running",	[JOBS_IN_DOUBT] = "in-doubt",
	[JOBS_HELD] = "held",		[JOBS_DONE] = "done",
	[JOBS_FAILED] = "failed",	[JOBS_LOST] = "lost",
	[JOBS_CANCELLED] = "cancelled",
};

/* Sums of many amounts of this size cannot overflow. */
#define AMOUNT_MAX ((json_int_t)1 << 40)

static json_t *res_print(const jobs_res_t *res);
static json_t *spec_print(const jobs_spec_t *spec);
static json_t *tasks_print(const jobs_record_t *record);
static bool res_load(json_t *json, jobs_res_t *res);
static bool spec_load(const void *ctx, json_t *json, jobs_spec_t *spec);
static bool tasks_load(const void *ctx, json_t *json, jobs_record_t *record);
static bool failed_workers_load(const void *ctx, json_t *json,
				jobs_record_t *record);
static bool parse_state(const char *name, jobs_state_t *state);
static base_str_t copy(const void *ctx, const char *text);

const char *jobs_state_name(jobs_state_t state)
{
	return state_names[state];
}

char *jobs_record_print(const void *ctx, const jobs_record_t *record)
{
	json_t *failed_workers = json_array();
	char *dump, *text;
	json_t *root;

	for (int i = 0; i < record->n_failed_workers; i++)
		json_array_append_new(
			failed_workers,
			json_stringn(record->failed_workers[i].ptr,
				     record->failed_workers[i].len));
	root = json_pack("{s:o,s:s,s:i,s:I,s:b,s:b,s:o,s:o}", "spec",
			 spec_print(&record->spec), "state",
			 state_names[record->state], "why", (int)record->reason,
			 "attempt", (json_int_t)record->attempt, "cancelled",
			 (int)record->cancelled, "checkpointed",
			 (int)record->checkpointed, "tasks",
			 tasks_print(record), "tried", failed_workers);
	dump = json_dumps(root, JSON_COMPACT);
	text = talloc_strdup(ctx, dump);
	free(dump);
	json_decref(root);
	return text;
}

bool jobs_record_load(const void *ctx, base_str_t json, jobs_record_t *record,
		      GError **err)
{
	json_t *root =
		json_loadb(json.ptr, json.len, JSON_REJECT_DUPLICATES, NULL);
	json_t *spec, *tasks, *failed_workers;
	int reason = 0, cancelled, checkpointed;
	json_int_t attempt;
	const char *state;
	bool valid;

	*record = (jobs_record_t){ 0 };
	valid = !json_unpack_ex(root, NULL, JSON_STRICT,
				"{s:o,s:s,s:i,s:I,s:b,s:b,s:o,s:o}", "spec",
				&spec, "state", &state, "why", &reason,
				"attempt", &attempt, "cancelled", &cancelled,
				"checkpointed", &checkpointed, "tasks", &tasks,
				"tried", &failed_workers) &&
		reason >= 0 && reason < JOBS_REASON_MAX &&
		parse_state(state, &record->state) &&
		spec_load(ctx, spec, &record->spec) &&
		tasks_load(ctx, tasks, record) &&
		failed_workers_load(ctx, failed_workers, record);
	if (valid) {
		record->reason = (jobs_reason_t)reason;
		record->attempt = attempt;
		record->cancelled = cancelled;
		record->checkpointed = checkpointed;
	} else {
		g_set_error(err, JOBS_ERROR, JOBS_ERR_RECORD,
			    "invalid job record");
	}
	json_decref(root);
	return valid;
}

static json_t *res_print(const jobs_res_t *res)
{
	json_t *out = json_array();

	for (int k = 0; k < JOBS_KIND_MAX; k++)
		json_array_append_new(out, json_integer(res->v[k]));
	return out;
}

static json_t *spec_print(const jobs_spec_t *spec)
{
	return json_pack(
		"{s:s%,s:s%,s:s%,s:i,s:b,s:b,s:b,s:o}", "id", spec->id.ptr,
		spec->id.len, "team", spec->team.ptr, spec->team.len, "family",
		spec->family.ptr, spec->family.len, "urgency", spec->urgency,
		"repeatable", (int)spec->repeatable, "checkpoints",
		(int)spec->checkpoints, "throttles", (int)spec->throttles,
		"declared", res_print(&spec->declared));
}

static json_t *tasks_print(const jobs_record_t *record)
{
	json_t *out = json_array();

	for (int i = 0; i < record->n_tasks; i++) {
		const jobs_record_task_t *t = &record->tasks[i];

		json_array_append_new(
			out,
			json_pack("{s:I,s:s%,s:I,s:o,s:o}", "attempt",
				  (json_int_t)t->attempt, "worker",
				  t->worker.ptr, t->worker.len, "incarnation",
				  (json_int_t)t->incarnation, "share",
				  res_print(&t->share), "full",
				  res_print(&t->full)));
	}
	return out;
}

static bool res_load(json_t *json, jobs_res_t *res)
{
	for (size_t k = 0; k < JOBS_KIND_MAX; k++) {
		json_t *item = json_array_get(json, k);

		if (!json_is_integer(item) || json_integer_value(item) < 0 ||
		    json_integer_value(item) > AMOUNT_MAX)
			return false;
		res->v[k] = json_integer_value(item);
	}
	return json_array_size(json) == JOBS_KIND_MAX;
}

static bool spec_load(const void *ctx, json_t *json, jobs_spec_t *spec)
{
	const char *id, *team, *family;
	int repeatable, checkpoints, throttles;
	json_t *declared;

	if (json_unpack_ex(json, NULL, JSON_STRICT,
			   "{s:s,s:s,s:s,s:i,s:b,s:b,s:b,s:o}", "id", &id,
			   "team", &team, "family", &family, "urgency",
			   &spec->urgency, "repeatable", &repeatable,
			   "checkpoints", &checkpoints, "throttles", &throttles,
			   "declared", &declared) ||
	    !res_load(declared, &spec->declared))
		return false;
	spec->id = copy(ctx, id);
	spec->team = copy(ctx, team);
	spec->family = copy(ctx, family);
	spec->repeatable = repeatable;
	spec->checkpoints = checkpoints;
	spec->throttles = throttles;
	return true;
}

static bool tasks_load(const void *ctx, json_t *json, jobs_record_t *record)
{
	json_t *item;
	size_t i;

	if (!json_is_array(json) || json_array_size(json) > JOBS_TASKS_MAX)
		return false;
	json_array_foreach(json, i, item)
	{
		jobs_record_task_t *t = &record->tasks[record->n_tasks++];
		json_int_t attempt, incarnation;
		const char *worker;
		json_t *share, *full;

		if (json_unpack_ex(item, NULL, JSON_STRICT,
				   "{s:I,s:s,s:I,s:o,s:o}", "attempt", &attempt,
				   "worker", &worker, "incarnation",
				   &incarnation, "share", &share, "full",
				   &full) ||
		    !res_load(share, &t->share) || !res_load(full, &t->full) ||
		    strlen(worker) > JOBS_ID_MAX)
			return false;
		t->attempt = attempt;
		t->worker = copy(ctx, worker);
		t->incarnation = incarnation;
	}
	return true;
}

static bool failed_workers_load(const void *ctx, json_t *json,
				jobs_record_t *record)
{
	json_t *item;
	size_t i;

	if (!json_is_array(json) ||
	    json_array_size(json) > JOBS_FAILED_WORKERS_MAX)
		return false;
	json_array_foreach(json, i, item)
	{
		if (!json_is_string(item))
			return false;
		record->failed_workers[record->n_failed_workers++] =
			copy(ctx, json_string_value(item));
	}
	return true;
}

static bool parse_state(const char *name, jobs_state_t *state)
{
	for (int i = 0; i < JOBS_STATE_MAX; i++) {
		if (strcmp(state_names[i], name) != 0)
			continue;
		*state = (jobs_state_t)i;
		return true;
	}
	return false;
}

static base_str_t copy(const void *ctx, const char *text)
{
	return base_str(talloc_strdup(ctx, text));
}
