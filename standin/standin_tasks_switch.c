#include "standin_tasks.h"

/*
 * Switches that inject worker faults, and the records of task runs.
 */

/* /tasks/switch?worker=ID&mode=ok|silent|fail, ?lag_ms=N, ?lose=N, ?down=1 */
int tasks_on_switch(struct mg_connection *conn, void *arg)
{
	char worker[ID_MAX], mode[16], number[16];
	worker_mode_t mode_to_set = WORKER_OK;

	(void)arg;
	query_param(conn, "worker", worker, sizeof(worker));
	query_param(conn, "mode", mode, sizeof(mode));
	if (!strcmp(mode, "silent"))
		mode_to_set = WORKER_SILENT;
	else if (!strcmp(mode, "fail"))
		mode_to_set = WORKER_FAIL;
	pthread_mutex_lock(&tasks.lock);
	if (worker[0])
		g_hash_table_replace(tasks.modes, g_strdup(worker),
				     GINT_TO_POINTER(mode_to_set));
	query_param(conn, "lag_ms", number, sizeof(number));
	if (number[0])
		tasks.lag_us = atoll(number) * BASE_MS;
	query_param(conn, "lose", number, sizeof(number));
	if (number[0])
		tasks.answers_to_drop = atoi(number);
	query_param(conn, "down", number, sizeof(number));
	if (number[0])
		tasks.is_down = number[0] == '1';
	pthread_mutex_unlock(&tasks.lock);
	return reply_json(conn, 200, json_pack("{s:b}", "done", 1));
}

int tasks_on_records(struct mg_connection *conn, void *arg)
{
	json_t *runs = json_array();

	(void)arg;
	pthread_mutex_lock(&tasks.lock);
	for (guint i = 0; i < tasks.runs->len; i++) {
		const task_run_t *run =
			&g_array_index(tasks.runs, task_run_t, i);

		json_array_append_new(
			runs, json_pack("{s:s,s:s,s:i,s:I,s:I,s:s}", "task",
					run->name, "worker", run->worker,
					"incarnation", run->incarnation,
					"began", (json_int_t)run->started_at,
					"ended", (json_int_t)run->ended_at,
					"how", run->result));
	}
	pthread_mutex_unlock(&tasks.lock);
	return reply_json(conn, 200, json_pack("{s:o}", "runs", runs));
}
