/* Workspaces: their settings, as the configuration has them. */
#include "batch_int.h"

batch_workspace_t *batch_workspace_get(batch_t *core, base_str_t name)
{
	char *text = base_str_dup(core, name);
	batch_workspace_t *workspace =
		g_hash_table_lookup(core->workspaces, text);

	if (workspace || !name.len) {
		talloc_free(text);
		return workspace;
	}
	workspace = talloc_zero(core, batch_workspace_t);
	workspace->name = talloc_steal(workspace, text);
	workspace->weight = 1;
	g_hash_table_insert(core->workspaces, workspace->name, workspace);
	return workspace;
}

void batch_config_workspaces(batch_t *core, const batch_workspace_info_t *list,
			     size_t n)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&iter, core->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((batch_workspace_t *)value)->in_force = false;
	for (i = 0; i < n; i++) {
		batch_workspace_t *workspace =
			batch_workspace_get(core, list[i].name);

		workspace->weight = list[i].weight;
		workspace->limit = list[i].limit;
		workspace->in_force = true;
	}
	core->pass_needed = true;
}
