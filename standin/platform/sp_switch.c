/*
 * Switches that a test sets: store faults, worker faults and durations.
 */
#include <stdlib.h>

#include "sp_int.h"

typedef struct sp_switch {
	const char *name;
	void (*apply)(sp_t *sp, const char *value);
} sp_switch_t;

static sp_worker_t *find_worker(sp_t *sp, const char *value)
{
	return &sp->workers[strtol(value, NULL, 10) % sp->n_workers];
}

static void set_store_fault(sp_t *sp, const char *value)
{
	sp->store_fault = !strcmp(value, "busy")     ? SP_STORE_UNAVAILABLE
			  : !strcmp(value, "silent") ? SP_STORE_NO_ANSWER
						     : SP_STORE_OK;
}

static void set_second_store(sp_t *sp, const char *value)
{
	sp->rejects_second = !strcmp(value, "busy");
}

static void set_leases(sp_t *sp, const char *value)
{
	sp->keeps_leases = !strcmp(value, "hold");
	if (!strcmp(value, "lapse"))
		sp_store_expire_leases(sp);
}

static void compact_history(sp_t *sp, const char *value)
{
	(void)value;
	sp_store_compact(sp);
}

static void set_unanswered(sp_t *sp, const char *value)
{
	sp->unanswered_percent = (int)strtol(value, NULL, 10);
}

static void set_late(sp_t *sp, const char *value)
{
	sp->late_ms = (int)strtol(value, NULL, 10);
}

static void set_task_duration(sp_t *sp, const char *value)
{
	sp->task_duration_ms = (int)strtol(value, NULL, 10);
}

static void set_restart_delay(sp_t *sp, const char *value)
{
	sp->restart_delay_ms = (int)strtol(value, NULL, 10);
}

static void set_requires_ticket(sp_t *sp, const char *value)
{
	sp->requires_ticket = !strcmp(value, "on");
}

static void set_advice_time(sp_t *sp, const char *value)
{
	sp->advice_ms = (int)strtol(value, NULL, 10);
}

static void set_advice_time_each(sp_t *sp, const char *value)
{
	sp->advice_each_ms = (int)strtol(value, NULL, 10);
}

static void set_advice_validity(sp_t *sp, const char *value)
{
	sp->advice_valid_ms = (int)strtol(value, NULL, 10);
}

static void crash_worker(sp_t *sp, const char *value)
{
	sp_worker_t *worker = find_worker(sp, value);

	sp_worker_terminate(worker);
	worker->restart_at = base_clock_mono() + BASE_SEC;
}

static void set_ignores_requests(sp_t *sp, const char *value)
{
	sp_worker_t *worker = find_worker(sp, value);

	worker->ignores_requests = true;
	/* Nor does it answer the poll that waits. */
	if (worker->hold.exchange)
		g_ptr_array_add(sp->unanswered, worker->hold.exchange);
	worker->hold.exchange = NULL;
}

static void set_drops_answers(sp_t *sp, const char *value)
{
	find_worker(sp, value)->drops_answers = true;
}

static void clear_worker_faults(sp_t *sp, const char *value)
{
	find_worker(sp, value)->ignores_requests = false;
	find_worker(sp, value)->drops_answers = false;
}

static void set_order_answers(sp_t *sp, const char *value)
{
	sp->drops_order_answers = !strcmp(value, "unanswered");
}

static void suspend_at_order(sp_t *sp, const char *value)
{
	sp->suspension.at_order = (pid_t)strtol(value, NULL, 10);
}

static void suspend_at_start(sp_t *sp, const char *value)
{
	sp->suspension.at_start = (pid_t)strtol(value, NULL, 10);
}

static void cancel_suspension(sp_t *sp, const char *value)
{
	(void)value;
	sp_suspend_cancel(sp);
}

static void unlist_worker(sp_t *sp, const char *value)
{
	sp_worker_set_unlisted(find_worker(sp, value), true);
}

static void list_worker(sp_t *sp, const char *value)
{
	sp_worker_set_unlisted(find_worker(sp, value), false);
}

static const sp_switch_t switches[] = {
	{ "store", set_store_fault },
	{ "second", set_second_store },
	{ "leases", set_leases },
	{ "history", compact_history },
	{ "lose", set_unanswered },
	{ "task-ms", set_task_duration },
	{ "back-ms", set_restart_delay },
	{ "advice", set_requires_ticket },
	{ "advice-ms", set_advice_time },
	{ "advice-each-ms", set_advice_time_each },
	{ "advice-valid-ms", set_advice_validity },
	{ "crash", crash_worker },
	{ "mute", set_ignores_requests },
	{ "one-way", set_drops_answers },
	{ "heal", clear_worker_faults },
	{ "late-ms", set_late },
	{ "unlist", unlist_worker },
	{ "list", list_worker },
	{ "upkeep", set_order_answers },
	{ "suspend-at-order", suspend_at_order },
	{ "suspend-at-start", suspend_at_start },
	{ "suspend-none", cancel_suspension },
};

bool sp_apply_switches(sp_t *sp, const char *path)
{
	bool is_known = false;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(switches); i++) {
		char *value = sp_query(path, switches[i].name);

		if (*value) {
			switches[i].apply(sp, value);
			is_known = true;
		}
		g_free(value);
	}
	return is_known;
}
