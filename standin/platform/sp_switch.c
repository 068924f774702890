/*
 * What a test switches: the store's troubles, what workers do, how long
 * things take.
 */
#include <stdlib.h>

#include "sp_int.h"

typedef struct sp_switch {
	const char *name;
	void (*turn)(sp_t *sp, const char *value);
} sp_switch_t;

static sp_worker_t *worker_of(sp_t *sp, const char *value)
{
	return &sp->workers[strtol(value, NULL, 10) % sp->n_workers];
}

static void turn_store(sp_t *sp, const char *value)
{
	sp->trouble = !strcmp(value, "busy")	 ? SP_BUSY
		      : !strcmp(value, "silent") ? SP_SILENT
						 : SP_FINE;
}

static void turn_second(sp_t *sp, const char *value)
{
	sp->turns_away = !strcmp(value, "busy");
}

static void turn_leases(sp_t *sp, const char *value)
{
	sp->hold_leases = !strcmp(value, "hold");
	if (!strcmp(value, "lapse"))
		sp_store_lapse(sp);
}

static void turn_history(sp_t *sp, const char *value)
{
	(void)value;
	sp_store_compact(sp);
}

static void turn_lose(sp_t *sp, const char *value)
{
	sp->lose = (int)strtol(value, NULL, 10);
}

static void turn_task(sp_t *sp, const char *value)
{
	sp->task_ms = (int)strtol(value, NULL, 10);
}

static void turn_back(sp_t *sp, const char *value)
{
	sp->back_ms = (int)strtol(value, NULL, 10);
}

static void turn_advice(sp_t *sp, const char *value)
{
	sp->advice = !strcmp(value, "on");
}

static void turn_crash(sp_t *sp, const char *value)
{
	sp_worker_t *worker = worker_of(sp, value);

	sp_worker_end_life(worker);
	worker->back_at = base_clock_mono() + BASE_SEC;
}

static void turn_mute(sp_t *sp, const char *value)
{
	worker_of(sp, value)->mute = true;
}

static void turn_one_way(sp_t *sp, const char *value)
{
	worker_of(sp, value)->one_way = true;
}

static void turn_heal(sp_t *sp, const char *value)
{
	worker_of(sp, value)->mute = false;
	worker_of(sp, value)->one_way = false;
}

static const sp_switch_t switches[] = {
	{ "store", turn_store },     { "second", turn_second },
	{ "leases", turn_leases },   { "history", turn_history },
	{ "lose", turn_lose },	     { "task-ms", turn_task },
	{ "back-ms", turn_back },    { "advice", turn_advice },
	{ "crash", turn_crash },     { "mute", turn_mute },
	{ "one-way", turn_one_way }, { "heal", turn_heal },
};

bool sp_switch(sp_t *sp, const char *path)
{
	bool known = false;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(switches); i++) {
		char *value = sp_query(path, switches[i].name);

		if (*value) {
			switches[i].turn(sp, value);
			known = true;
		}
		g_free(value);
	}
	return known;
}
