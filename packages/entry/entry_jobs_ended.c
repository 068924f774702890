#include "entry_jobs.h"

/*
 * Keeps the most recently ended jobs and purges the older ones, from the core,
 * the log and the platform.
 */

#define ENDED_JOBS_MAX 10000
/* Longer than any "start-by" of the tasks of an ended job. */
#define ENDED_KEEP_MIN_US (60 * BASE_SEC)

typedef struct ended {
	char *id;
	int64_t at;
} ended_t;

static void free_ended(ended_t *ended);

void entry_jobs_add_ended(entry_jobs_t *jobs, base_str_t id)
{
	char *copy = g_strndup(id.ptr, id.len);
	ended_t *ended;

	if (g_hash_table_contains(jobs->ended_ids, copy)) {
		g_free(copy);
		return;
	}
	ended = g_new0(ended_t, 1);
	ended->id = copy;
	ended->at = base_clock_mono();
	g_queue_push_tail(&jobs->ended, ended);
	g_hash_table_add(jobs->ended_ids, copy);
}

void entry_jobs_purge_ended(entry_jobs_t *jobs, int64_t now)
{
	while (jobs->ended.length > ENDED_JOBS_MAX) {
		ended_t *ended = g_queue_peek_head(&jobs->ended);
		jobs_order_t order = { .job = base_str(ended->id) };
		jobs_record_t record;

		if (now - ended->at < ENDED_KEEP_MIN_US ||
		    !jobs_record(jobs->core, order.job, &record))
			return;
		order.attempt = record.attempt;
		g_queue_pop_head(&jobs->ended);
		if (!jobs_forget(jobs->core, order.job)) {
			g_queue_push_tail(&jobs->ended, ended);
			return;
		}
		site_joblog_remove(jobs->log, order.job);
		for (; order.attempt > 0; order.attempt--)
			entry_send(jobs, ENTRY_SEND_FORGET, &order);
		g_hash_table_remove(jobs->ended_ids, ended->id);
		free_ended(ended);
	}
}

void entry_jobs_clear_ended(entry_jobs_t *jobs)
{
	ended_t *ended;

	g_hash_table_remove_all(jobs->ended_ids);
	while ((ended = g_queue_pop_head(&jobs->ended)))
		free_ended(ended);
}

static void free_ended(ended_t *ended)
{
	g_free(ended->id);
	g_free(ended);
}
