/*
 * Records of each task for tests: how often and when it started, when it first
 * completed, and when its last run ended.
 */
#include "sp_int.h"

typedef struct sp_task {
	int starts;
	int64_t first_start; /* monotonic time, microseconds */
	int64_t last_start;
	int64_t done;	  /* first completion; 0: none */
	int64_t last_end; /* 0: none, or it runs again */
} sp_task_t;

GHashTable *sp_records_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static sp_task_t *get_task(sp_t *sp, const char *name)
{
	sp_task_t *task = g_hash_table_lookup(sp->tasks, name);

	if (!task) {
		task = g_new0(sp_task_t, 1);
		g_hash_table_insert(sp->tasks, g_strdup(name), task);
	}
	return task;
}

void sp_record_start(sp_t *sp, const char *name)
{
	sp_task_t *task = get_task(sp, name);

	task->last_start = base_clock_mono();
	task->last_end = 0;
	if (!task->starts++)
		task->first_start = task->last_start;
}

void sp_record_done(sp_t *sp, const char *name)
{
	sp_task_t *task = get_task(sp, name);

	if (!task->done)
		task->done = base_clock_mono();
}

void sp_record_end(sp_t *sp, const char *name)
{
	get_task(sp, name)->last_end = base_clock_mono();
}

bool sp_record_started_after(const sp_t *sp, const char *name, int64_t at)
{
	const sp_task_t *task = g_hash_table_lookup(sp->tasks, name);

	return task && task->last_start > at;
}

/* [[task, starts, first start, last start, first completion, last end],
 * ...] */
void sp_records_serve(const sp_t *sp, net_exchange_t *exchange)
{
	json_t *rows = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, sp->tasks);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const sp_task_t *task = value;

		json_array_append_new(
			rows,
			json_pack("[s,i,I,I,I,I]", (const char *)name,
				  task->starts, (json_int_t)task->first_start,
				  (json_int_t)task->last_start,
				  (json_int_t)task->done,
				  (json_int_t)task->last_end));
	}
	sp_reply_json(exchange, 200, rows);
}
