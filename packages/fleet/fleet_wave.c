#include "fleet_int.h"

/*
 * A wave stops if in the failure window at least STOP_FAILURES instances did
 * not come back from a reboot, and they are at least one in STOP_ONE_IN of the
 * instances rebooted.
 */
#define STOP_FAILURES 2
#define STOP_ONE_IN 5
/*
 * A wave pauses if more than this percentage of all members is down, or this
 * many instances of one rack.
 */
#define DOWN_PERCENT_MAX 1
#define RACK_FAILURE_MIN 2

/* Numbers of instances; "the window" is opts.failure_window. */
typedef struct health {
	uint32_t due;	     /* due in this wave */
	uint32_t overdue;    /* so near their deadline that a wave must start */
	uint32_t returned;   /* maintained by the wave, within the window */
	uint32_t failed;     /* not back after a reboot, within the window */
	uint32_t unreplaced; /* not back, and the pool is below its target */
	uint32_t down;	     /* failed without a reboot, within the window */
	uint32_t worst_rack; /* down in the rack with the most down */
	uint32_t members;
} health_t;

static void assess(fleet_run_t *run, health_t *health);
static void assess_inst(fleet_run_t *run, const fleet_inst_t *inst,
			health_t *health, uint32_t *rack_down);
static bool must_stop(const health_t *health);
static bool must_pause(const health_t *health);
static void step_none(fleet_run_t *run, const health_t *health);
static void step_running(fleet_run_t *run, const health_t *health);
static void step_paused(fleet_run_t *run, const health_t *health);
static void step_idle(fleet_run_t *run, const health_t *health);
static void set_state(fleet_run_t *run, fleet_wave_state_t state);

static void (*const step_in_state[FLEET_WAVE_STATE_MAX])(fleet_run_t *,
							 const health_t *) = {
	[FLEET_WAVE_NONE] = step_none,	   [FLEET_WAVE_RUNNING] = step_running,
	[FLEET_WAVE_PAUSED] = step_paused, [FLEET_WAVE_STOPPED] = step_idle,
	[FLEET_WAVE_ABORTED] = step_idle,
};

static const char *const state_names[FLEET_WAVE_STATE_MAX] = {
	[FLEET_WAVE_NONE] = "none",	  [FLEET_WAVE_RUNNING] = "running",
	[FLEET_WAVE_PAUSED] = "paused",	  [FLEET_WAVE_STOPPED] = "stopped",
	[FLEET_WAVE_ABORTED] = "aborted",
};

static const char *const verb_names[FLEET_WAVE_VERB_MAX] = {
	[FLEET_WAVE_START] = "start",
	[FLEET_WAVE_PAUSE] = "pause",
	[FLEET_WAVE_RESUME] = "resume",
	[FLEET_WAVE_ABORT] = "abort",
};

/* The state after an operator's verb; FLEET_WAVE_NONE if it is refused. */
static const fleet_wave_state_t
	verb_results[FLEET_WAVE_STATE_MAX][FLEET_WAVE_VERB_MAX] = {
		[FLEET_WAVE_NONE] = {
			[FLEET_WAVE_START] = FLEET_WAVE_RUNNING,
		},
		[FLEET_WAVE_RUNNING] = {
			[FLEET_WAVE_PAUSE] = FLEET_WAVE_PAUSED,
			[FLEET_WAVE_ABORT] = FLEET_WAVE_ABORTED,
		},
		[FLEET_WAVE_PAUSED] = {
			[FLEET_WAVE_PAUSE] = FLEET_WAVE_PAUSED,
			[FLEET_WAVE_RESUME] = FLEET_WAVE_RUNNING,
			[FLEET_WAVE_ABORT] = FLEET_WAVE_ABORTED,
		},
		[FLEET_WAVE_STOPPED] = {
			[FLEET_WAVE_RESUME] = FLEET_WAVE_RUNNING,
			[FLEET_WAVE_ABORT] = FLEET_WAVE_ABORTED,
		},
		[FLEET_WAVE_ABORTED] = {
			[FLEET_WAVE_START] = FLEET_WAVE_RUNNING,
			[FLEET_WAVE_RESUME] = FLEET_WAVE_RUNNING,
		},
	};

bool fleet_wave_operator(const fleet_wave_t *wave, fleet_wave_verb_t verb,
			 int64_t now, fleet_wave_t *next)
{
	fleet_wave_state_t state = verb_results[wave->state][verb];

	if (state == FLEET_WAVE_NONE)
		return false;
	*next = *wave;
	next->state = state;
	next->by_operator = true;
	next->since = now;
	if (verb == FLEET_WAVE_START) {
		next->start = now;
		next->round++;
	}
	return true;
}

fleet_wave_verb_t fleet_wave_verb_parse(const char *name)
{
	for (int i = 0; i < FLEET_WAVE_VERB_MAX; i++)
		if (!strcmp(name, verb_names[i]))
			return (fleet_wave_verb_t)i;
	return FLEET_WAVE_VERB_MAX;
}

const char *fleet_wave_state_name(fleet_wave_state_t state)
{
	return state_names[state];
}

char *fleet_wave_encode(const void *ctx, const fleet_wave_t *wave)
{
	return talloc_asprintf(
		ctx,
		"{\"state\":\"%s\",\"by\":\"%s\",\"round\":%" G_GUINT64_FORMAT
		",\"start\":%" G_GINT64_FORMAT ",\"since\":%" G_GINT64_FORMAT
		"}",
		state_names[wave->state],
		wave->by_operator ? "operator" : "duty", wave->round,
		(gint64)wave->start, (gint64)wave->since);
}

bool fleet_wave_decode(base_str_t value, fleet_wave_t *wave)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	json_int_t round, start, since;
	const char *state, *by;
	bool good = false;

	if (!json_unpack(root, "{s:s,s:s,s:I,s:I,s:I}", "state", &state, "by",
			 &by, "round", &round, "start", &start, "since",
			 &since)) {
		*wave = (fleet_wave_t){
			.by_operator = !strcmp(by, "operator"),
			.round = (uint64_t)round,
			.start = start,
			.since = since,
		};
		for (int i = 0; i < FLEET_WAVE_STATE_MAX; i++)
			if (!strcmp(state, state_names[i])) {
				wave->state = (fleet_wave_state_t)i;
				good = true;
			}
	}
	json_decref(root);
	return good;
}

/* Returns whether the instance is due in the current wave. */
bool fleet_wave_due(const fleet_t *fleet, const fleet_inst_t *inst)
{
	return fleet->wave.state != FLEET_WAVE_NONE &&
	       fleet->wave.state != FLEET_WAVE_ABORTED &&
	       inst->rec.state != FLEET_FREE &&
	       !fleet->pools[inst->rec.pool].conf.unmaintained &&
	       inst->rec.maintained < fleet->wave.start;
}

void fleet_wave_step(fleet_run_t *run)
{
	health_t health = { 0 };

	assess(run, &health);
	step_in_state[run->fleet->wave.state](run, &health);
}

static void assess(fleet_run_t *run, health_t *health)
{
	fleet_t *fleet = run->fleet;
	uint32_t *down =
		talloc_zero_array(run->tmp, uint32_t, fleet->n_racks + 1);

	for (guint i = 0; i < fleet->insts->len; i++) {
		const fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		if (inst->rec.state != FLEET_FREE)
			assess_inst(run, inst, health, down);
	}
	for (size_t r = 0; r < fleet->n_racks; r++)
		health->worst_rack = MAX(health->worst_rack, down[r]);
}

static void assess_inst(fleet_run_t *run, const fleet_inst_t *inst,
			health_t *health, uint32_t *rack_down)
{
	const fleet_t *fleet = run->fleet;
	const fleet_opts_t *opts = &fleet->opts;
	const fleet_rec_t *rec = &inst->rec;
	bool by_wave = rec->purpose == FLEET_FOR_WAVE;
	bool recent = run->now - rec->since <= opts->failure_window;
	bool in_wave = rec->since >= fleet->wave.since;

	health->members++;
	if (rec->state == FLEET_FAILED && by_wave) {
		const fleet_acct_t *acct = &fleet->pools[rec->pool];

		health->failed += recent && in_wave;
		health->unreplaced +=
			recent && acct->planned_members < acct->target;
		return;
	}
	health->due +=
		fleet_wave_due(fleet, inst) && rec->state != FLEET_FAILED;
	health->overdue +=
		!fleet->pools[rec->pool].conf.unmaintained &&
		rec->maintained + opts->deadline - opts->wave_lead <= run->now;
	health->returned += rec->maintained > fleet->wave.start &&
			    run->now - rec->maintained <= opts->failure_window;
	if (rec->state != FLEET_SERVING && rec->state != FLEET_FAILED)
		return;
	if (fleet_is_alive(fleet, inst, run->now) ||
	    run->now - inst->alive_at > opts->failure_window)
		return;
	health->down++;
	rack_down[inst->rack]++;
}

static bool must_stop(const health_t *health)
{
	return health->failed >= STOP_FAILURES &&
	       health->failed * STOP_ONE_IN >=
		       health->failed + health->returned;
}

static bool must_pause(const health_t *health)
{
	return health->unreplaced || health->worst_rack >= RACK_FAILURE_MIN ||
	       health->down > health->members * DOWN_PERCENT_MAX / 100;
}

static void step_none(fleet_run_t *run, const health_t *health)
{
	if (!health->overdue)
		return;
	set_state(run, FLEET_WAVE_RUNNING);
	run->fleet->wave_next.start = run->now;
	run->fleet->wave_next.round++;
}

static void step_running(fleet_run_t *run, const health_t *health)
{
	if (must_stop(health))
		set_state(run, FLEET_WAVE_STOPPED);
	else if (must_pause(health))
		set_state(run, FLEET_WAVE_PAUSED);
	else if (!health->due)
		set_state(run, FLEET_WAVE_NONE);
}

/* Only an operator ends a pause that an operator began. */
static void step_paused(fleet_run_t *run, const health_t *health)
{
	if (must_stop(health))
		set_state(run, FLEET_WAVE_STOPPED);
	else if (!run->fleet->wave.by_operator && !must_pause(health))
		set_state(run, FLEET_WAVE_RUNNING);
}

static void step_idle(fleet_run_t *run, const health_t *health)
{
	(void)run;
	(void)health;
}

/*
 * Changes "since" only when a new wave starts, so that the failures of a
 * running wave keep counting.
 */
static void set_state(fleet_run_t *run, fleet_wave_state_t state)
{
	fleet_t *fleet = run->fleet;

	fleet->wave_next = fleet->wave;
	fleet->wave_next.state = state;
	fleet->wave_next.by_operator = false;
	if (state == FLEET_WAVE_RUNNING && fleet->wave.state == FLEET_WAVE_NONE)
		fleet->wave_next.since = run->now;
	fleet->wave_dirty = true;
}
