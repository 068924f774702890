/* What each workspace has, is due and was refused, for operators. */
#include <jansson.h>

#include "batch_int.h"

/* Workspaces that are listed by name, so that labels of metrics are bounded. */
#define EXPLAIN_WORKSPACES_MAX 16

static json_t *resources_json(const batch_res_t *resources)
{
	return json_pack("{s:I,s:I,s:I}", "cpu", (json_int_t)resources->cpu,
			 "memory_mb", (json_int_t)resources->memory, "gpu",
			 (json_int_t)resources->gpu);
}

static json_t *use_json(const batch_pool_t *pool, const batch_pool_use_t *use)
{
	json_t *answer = json_pack("{s:s,s:f,s:f,s:f,s:b}", "pool", pool->name,
				   "cpu_used", use->used.cpu, "cpu_waiting",
				   use->wanted.cpu, "backlog_core_s",
				   use->backlog.cpu / 1000 / BASE_SEC,
				   "is_divided", pool->is_divided);

	if (pool->is_divided)
		json_object_set_new(answer, "due_part", json_real(use->fair));
	return answer;
}

static json_t *pools_json(const batch_t *core, batch_workspace_t *workspace)
{
	json_t *pools = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_pool_t *pool = value;
		const batch_pool_use_t *use =
			batch_workspace_in_pool(workspace, pool);

		if (use->used.cpu > 0 || use->wanted.cpu > 0 ||
		    use->backlog.cpu > 0)
			json_array_append_new(pools, use_json(pool, use));
	}
	return pools;
}

static json_t *refusals_json(const batch_workspace_t *workspace)
{
	json_t *answer = json_object();
	int i;

	for (i = 0; i < BATCH_REFUSAL_MAX; i++)
		if (workspace->refused[i])
			json_object_set_new(
				answer,
				batch_refusal_name((batch_refusal_kind_t)i),
				json_integer(
					(json_int_t)workspace->refused[i]));
	return answer;
}

static json_t *workspace_json(const batch_t *core, batch_workspace_t *workspace)
{
	return json_pack("{s:s,s:s,s:b,s:f,s:o,s:o,s:o,s:o}", "kind",
			 "workspace", "workspace", workspace->name, "in_force",
			 workspace->in_force, "weight", workspace->weight,
			 "running", resources_json(&workspace->used), "limit",
			 resources_json(&workspace->limit), "pools",
			 pools_json(core, workspace), "refused",
			 refusals_json(workspace));
}

json_t *batch_workspace_explain(const batch_t *core,
				batch_workspace_t *workspace)
{
	json_t *answer = workspace_json(core, workspace);
	base_buf_t *sentence = base_buf_new(NULL);
	batch_load_t used = { (double)workspace->used.cpu,
			      (double)workspace->used.memory };
	double part = batch_workspace_limit_ratio(workspace, &used);

	base_buf_addf(sentence,
		      "workspace %s runs tasks of %.1f cores and %lld MB",
		      workspace->name, (double)workspace->used.cpu / 1000,
		      (long long)workspace->used.memory);
	if (part > 0)
		base_buf_addf(sentence, ", %.0f %% of its limit", 100 * part);
	base_buf_addf(sentence, "; its weight is %g", workspace->weight);
	if (workspace->refused[BATCH_REFUSAL_SHARE])
		base_buf_addf(sentence,
			      "; %llu jobs were refused beyond its share",
			      (unsigned long long)
				      workspace->refused[BATCH_REFUSAL_SHARE]);
	if (workspace->refused[BATCH_REFUSAL_LIMIT])
		base_buf_addf(sentence,
			      "; %llu jobs were refused beyond its limit",
			      (unsigned long long)
				      workspace->refused[BATCH_REFUSAL_LIMIT]);
	base_buf_adds(sentence, ".");
	json_object_set_new(answer, "said", json_string(sentence->ptr));
	talloc_free(sentence);
	return answer;
}

static gint compare_use(gconstpointer a, gconstpointer b)
{
	const batch_workspace_t *x = *(const batch_workspace_t *const *)a;
	const batch_workspace_t *y = *(const batch_workspace_t *const *)b;

	return (x->used.cpu < y->used.cpu) - (x->used.cpu > y->used.cpu);
}

static batch_workspace_stats_t get_stats(const batch_workspace_t *workspace)
{
	batch_workspace_stats_t stats = { .name = workspace->name,
					  .used = workspace->used,
					  .limit = workspace->limit };
	int i;

	for (i = 0; i < BATCH_REFUSAL_MAX; i++)
		stats.refused += workspace->refused[i];
	return stats;
}

void batch_workspaces_each(const batch_t *core, batch_workspace_visit_t *visit,
			   void *arg)
{
	GPtrArray *order = g_ptr_array_new();
	batch_workspace_stats_t other = { .name = "other" };
	guint i;

	for (i = 1; i < core->workspaces->len; i++)
		g_ptr_array_add(order, g_ptr_array_index(core->workspaces, i));
	g_ptr_array_sort(order, compare_use);
	for (i = 0; i < order->len; i++) {
		batch_workspace_stats_t stats =
			get_stats(g_ptr_array_index(order, i));

		if (i < EXPLAIN_WORKSPACES_MAX) {
			visit(arg, &stats);
			continue;
		}
		other.used.cpu += stats.used.cpu;
		other.used.memory += stats.used.memory;
		other.used.gpu += stats.used.gpu;
		other.refused += stats.refused;
	}
	if (order->len > EXPLAIN_WORKSPACES_MAX)
		visit(arg, &other);
	g_ptr_array_unref(order);
}
