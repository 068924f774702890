/*
 * Workspaces: their limits, and what each has running in all and in each pool.
 *
 * A run counts as running as long as it may exist, and a start that a worker
 * may still carry out late counts as well, so that the limit holds whatever
 * becomes of orders and workers.  Jobs without a workspace are those of one
 * that has no name and no limit.
 */
#include "batch_int.h"

void batch_pool_resize_uses(const batch_t *core, batch_pool_t *pool)
{
	size_t former = talloc_array_length(pool->uses);
	size_t n = core->workspaces->len;

	pool->uses = talloc_realloc(pool, pool->uses, batch_pool_use_t, n);
	memset(&pool->uses[former], 0, sizeof(*pool->uses) * (n - former));
}

static batch_workspace_t *add_workspace(batch_t *core, char *name)
{
	batch_workspace_t *workspace = talloc_zero(core, batch_workspace_t);
	GHashTableIter iter;
	gpointer pool;

	workspace->number = (int)core->workspaces->len;
	workspace->name = talloc_steal(workspace, name);
	workspace->weight = 1;
	g_ptr_array_add(core->workspaces, workspace);
	g_hash_table_insert(core->workspaces_by_name, workspace->name,
			    workspace);
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		batch_pool_resize_uses(core, pool);
	return workspace;
}

void batch_workspaces_init(batch_t *core)
{
	core->workspaces = g_ptr_array_new();
	core->workspaces_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	add_workspace(core, talloc_strdup(core, ""));
}

void batch_workspaces_free(batch_t *core)
{
	g_ptr_array_unref(core->workspaces);
	g_hash_table_unref(core->workspaces_by_name);
}

batch_workspace_t *batch_workspace_get(batch_t *core, base_str_t name)
{
	char *text = base_str_dup(core, name);
	batch_workspace_t *workspace =
		g_hash_table_lookup(core->workspaces_by_name, text);

	if (!workspace)
		return add_workspace(core, text);
	talloc_free(text);
	return workspace;
}

/* Jobs without a workspace have the share of an average one. */
static void set_unnamed_weight(const batch_t *core)
{
	batch_workspace_t *unnamed = g_ptr_array_index(core->workspaces, 0);
	double sum = 0;
	int n = 0;
	guint i;

	for (i = 1; i < core->workspaces->len; i++) {
		const batch_workspace_t *workspace =
			g_ptr_array_index(core->workspaces, i);

		if (!workspace->in_force)
			continue;
		sum += workspace->weight;
		n++;
	}
	unnamed->weight = n ? sum / n : 1;
}

void batch_config_workspaces(batch_t *core, const batch_workspace_info_t *list,
			     size_t n)
{
	size_t i;

	for (i = 0; i < core->workspaces->len; i++)
		((batch_workspace_t *)g_ptr_array_index(core->workspaces, i))
			->in_force = false;
	for (i = 0; i < n; i++) {
		batch_workspace_t *workspace;

		if (!list[i].name.len)
			continue;
		workspace = batch_workspace_get(core, list[i].name);
		workspace->weight = list[i].weight;
		workspace->limit = list[i].limit;
		workspace->in_force = true;
	}
	set_unnamed_weight(core);
	core->pass_needed = true;
}

static int64_t higher_limit(int64_t a, int64_t b)
{
	return a && b ? MAX(a, b) : 0;
}

/* Rows that were stored at different times name different limits; the highest
 * one leaves room for every task that was accepted. */
void batch_workspace_keep(batch_workspace_t *workspace,
			  const batch_res_t *limit)
{
	batch_res_t *kept = &workspace->limit;

	if (workspace->in_force)
		return;
	if (!workspace->is_kept)
		*kept = *limit;
	workspace->is_kept = true;
	kept->cpu = higher_limit(kept->cpu, limit->cpu);
	kept->memory = higher_limit(kept->memory, limit->memory);
	kept->gpu = higher_limit(kept->gpu, limit->gpu);
}

batch_pool_use_t *batch_workspace_in_pool(const batch_workspace_t *workspace,
					  const batch_pool_t *pool)
{
	return &pool->uses[workspace->number];
}

void batch_workspace_charge(batch_workspace_t *workspace,
			    const batch_res_t *need, int sign)
{
	workspace->used.cpu += sign * need->cpu;
	workspace->used.memory += sign * need->memory;
	workspace->used.gpu += sign * need->gpu;
}

void batch_workspace_count_run(const batch_run_t *run, int sign)
{
	const batch_step_spec_t *spec = run->task->step->spec;
	batch_workspace_t *workspace = run->task->step->occ->job->workspace;
	batch_pool_use_t *use;

	batch_workspace_charge(workspace, &spec->need, sign);
	if (spec->long_running)
		return;
	use = batch_workspace_in_pool(workspace, run->charged_pool);
	use->used.cpu += sign * (double)spec->need.cpu;
	use->used.memory += sign * (double)spec->need.memory;
}

static bool is_over(int64_t amount, int64_t limit)
{
	return limit > 0 && amount > limit;
}

/* Whether "n" tasks beside what is used exceed the limit. */
static bool exceeds(const batch_res_t *limit, const batch_res_t *used,
		    const batch_res_t *need, int n)
{
	return is_over(used->cpu + n * need->cpu, limit->cpu) ||
	       is_over(used->memory + n * need->memory, limit->memory) ||
	       is_over(used->gpu + n * need->gpu, limit->gpu);
}

bool batch_workspace_allows(const batch_step_t *step, int n)
{
	const batch_workspace_t *workspace = step->occ->job->workspace;

	return !exceeds(&workspace->limit, &workspace->used, &step->spec->need,
			n);
}

bool batch_workspace_is_over(const batch_workspace_t *workspace)
{
	static const batch_res_t none = { 0, 0, 0 };

	return exceeds(&workspace->limit, &workspace->used, &none, 0);
}

bool batch_workspace_could_run(const batch_job_t *job)
{
	static const batch_res_t none = { 0, 0, 0 };
	int i;

	for (i = 0; i < job->spec.n_steps; i++) {
		const batch_step_spec_t *spec = &job->spec.steps[i];

		if (exceeds(&job->workspace->limit, &none, &spec->need,
			    spec->gang ? spec->count : 1))
			return false;
	}
	return true;
}

static int64_t max_tasks(int64_t most, int64_t limit, int64_t need)
{
	return limit > 0 && need > 0 ? MIN(most, limit / need) : most;
}

int batch_workspace_max_tasks(const batch_workspace_t *workspace,
			      const batch_step_spec_t *spec)
{
	int64_t n = spec->count;

	n = max_tasks(n, workspace->limit.cpu, spec->need.cpu);
	n = max_tasks(n, workspace->limit.memory, spec->need.memory);
	return (int)max_tasks(n, workspace->limit.gpu, spec->need.gpu);
}

static double ratio(double amount, int64_t limit)
{
	return limit > 0 ? amount / (double)limit : 0;
}

double batch_workspace_limit_ratio(const batch_workspace_t *workspace,
				   const batch_load_t *load)
{
	return MAX(ratio(load->cpu, workspace->limit.cpu),
		   ratio(load->memory, workspace->limit.memory));
}

/* Adds what those of the job's tasks want that may start and have no run. */
static void add_wanted(const batch_job_t *job)
{
	batch_pool_use_t *use =
		batch_workspace_in_pool(job->workspace, job->queue->pool);
	guint i;
	int s;

	for (i = 0; i < job->occs->len; i++) {
		const batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++) {
			const batch_step_t *step = &occ->steps[s];
			int n = step->spec->count - step->done -
				step->n_open_runs;

			if (step->spec->long_running ||
			    !batch_step_has_waiting(step))
				continue;
			use->wanted.cpu += n * (double)step->spec->need.cpu;
			use->wanted.memory +=
				n * (double)step->spec->need.memory;
		}
	}
}

/* The most of the pool, by either resource, that the load is. */
static double dominant_part(const batch_load_t *load, const batch_load_t *room)
{
	return MAX(room->cpu > 0 ? load->cpu / room->cpu : 0,
		   room->memory > 0 ? load->memory / room->memory : 0);
}

/* The part of what is wanted that the limit leaves room for. */
static double allowed_part(double wanted, int64_t limit, int64_t used)
{
	double room = (double)MAX(limit - used, 0);

	return limit > 0 && wanted > room ? room / wanted : 1;
}

/* What it uses of the pool, and wants of it as far as its limit leaves room:
 * more would take from the shares of the others, to no use. */
static batch_load_t demand_in_pool(const batch_workspace_t *workspace,
				   const batch_pool_use_t *use)
{
	const batch_res_t *limit = &workspace->limit;
	double part = MIN(
		allowed_part(use->wanted.cpu, limit->cpu, workspace->used.cpu),
		allowed_part(use->wanted.memory, limit->memory,
			     workspace->used.memory));

	return (batch_load_t){ use->used.cpu + part * use->wanted.cpu,
			       use->used.memory + part * use->wanted.memory };
}

/* Most workspaces want nothing of most pools. */
static void divide_pool(const batch_t *core, batch_pool_t *pool, int64_t now)
{
	batch_share_t *shares = g_new(batch_share_t, core->workspaces->len);
	batch_pool_use_t **uses =
		g_new(batch_pool_use_t *, core->workspaces->len);
	batch_load_t demand = { 0, 0 };
	size_t n = 0;
	guint i;

	pool->room_for_shares = batch_pool_available(pool, now);
	for (i = 0; i < core->workspaces->len; i++) {
		batch_workspace_t *workspace =
			g_ptr_array_index(core->workspaces, i);
		batch_pool_use_t *use =
			batch_workspace_in_pool(workspace, pool);
		batch_load_t sum = demand_in_pool(workspace, use);

		use->fair = 0;
		if (sum.cpu <= 0 && sum.memory <= 0)
			continue;
		demand.cpu += sum.cpu;
		demand.memory += sum.memory;
		shares[n].weight = workspace->weight;
		shares[n].demand = dominant_part(&sum, &pool->room_for_shares);
		uses[n++] = use;
	}
	pool->is_divided = dominant_part(&demand, &pool->room_for_shares) > 1;
	if (pool->is_divided)
		batch_share_divide(shares, n, 1);
	for (i = 0; pool->is_divided && i < n; i++)
		uses[i]->fair = shares[i].fair;
	g_free(uses);
	g_free(shares);
}

bool batch_workspaces_share(const batch_t *core)
{
	return core->workspaces->len > 1;
}

void batch_workspaces_divide(batch_t *core, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (!batch_workspaces_share(core))
		return;
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		for (i = 0; i < core->workspaces->len; i++)
			((batch_pool_t *)value)->uses[i].wanted =
				(batch_load_t){ 0, 0 };
	for (i = 0; i < core->active_jobs->len; i++) {
		const batch_job_t *job =
			g_ptr_array_index(core->active_jobs, i);

		if (job->may_wait && batch_job_is_active(job) && job->stored)
			add_wanted(job);
	}
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		divide_pool(core, value, now);
}

bool batch_workspace_within_share(const batch_job_t *job)
{
	const batch_pool_t *pool = job->queue->pool;
	const batch_pool_use_t *use;

	if (!pool->is_divided)
		return true;
	use = batch_workspace_in_pool(job->workspace, pool);
	return dominant_part(&use->used, &pool->room_for_shares) < use->fair;
}

double batch_workspace_wait(const batch_t *core, const batch_job_t *job,
			    const batch_load_t *rate)
{
	const batch_pool_t *pool = job->queue->pool;
	batch_share_t *cpu = g_new(batch_share_t, core->workspaces->len);
	batch_share_t *memory = g_new(batch_share_t, core->workspaces->len);
	size_t own = 0;
	size_t n = 0;
	double wait;
	guint i;

	for (i = 0; i < core->workspaces->len; i++) {
		const batch_load_t *work = &pool->uses[i].backlog;
		bool is_own = (int)i == job->workspace->number;
		const batch_workspace_t *workspace;

		if (work->cpu <= 0 && work->memory <= 0 && !is_own)
			continue;
		workspace = g_ptr_array_index(core->workspaces, i);
		if (is_own)
			own = n;
		cpu[n] = (batch_share_t){ workspace->weight, work->cpu, 0 };
		memory[n++] =
			(batch_share_t){ workspace->weight, work->memory, 0 };
	}
	wait = MAX(batch_share_finish(cpu, n, own, rate->cpu),
		   batch_share_finish(memory, n, own, rate->memory));
	g_free(cpu);
	g_free(memory);
	return wait;
}

double batch_workspace_limit_wait(batch_t *core, batch_workspace_t *workspace,
				  int64_t now)
{
	batch_load_t work = { 0, 0 };
	GHashTableIter iter;
	gpointer value;

	if (!workspace->limit.cpu && !workspace->limit.memory)
		return 0;
	/* No job may have been submitted to another pool for long, so that its
	 * backlog is measured here. */
	g_hash_table_iter_init(&iter, core->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const batch_pool_use_t *use =
			batch_workspace_in_pool(workspace, value);

		if (use->backlog.cpu <= 0 && use->backlog.memory <= 0)
			continue;
		batch_pool_backlog(core, value, now);
		work.cpu += use->backlog.cpu;
		work.memory += use->backlog.memory;
	}
	return batch_workspace_limit_ratio(workspace, &work);
}
