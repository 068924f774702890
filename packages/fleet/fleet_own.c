#include "fleet_int.h"

/*
 * Pairs that are not listed are 0, which is FLEET_FREE, and are refused.  Only
 * FLEET_EV_FORGET leads to FLEET_FREE; fleet_own_next() handles it separately.
 */
static const fleet_state_t transitions[FLEET_STATE_MAX][FLEET_EVENT_MAX] = {
	[FLEET_FREE] = {
		[FLEET_EV_ASSIGN] = FLEET_SERVING,
	},
	[FLEET_SERVING] = {
		[FLEET_EV_CORDON] = FLEET_CORDONED,
		[FLEET_EV_CANCEL] = FLEET_SERVING,
		[FLEET_EV_RESTART] = FLEET_VERIFYING,
		[FLEET_EV_FAIL] = FLEET_FAILED,
	},
	[FLEET_CORDONED] = {
		[FLEET_EV_CANCEL] = FLEET_SERVING,
		[FLEET_EV_CONFIRM] = FLEET_DRAINED,
		[FLEET_EV_RESTART] = FLEET_VERIFYING,
		[FLEET_EV_FAIL] = FLEET_FAILED,
	},
	[FLEET_DRAINED] = {
		[FLEET_EV_CANCEL] = FLEET_SERVING,
		[FLEET_EV_MOVE] = FLEET_VERIFYING,
		[FLEET_EV_REBOOT] = FLEET_REBOOTING,
		[FLEET_EV_RESTART] = FLEET_VERIFYING,
		[FLEET_EV_FAIL] = FLEET_FAILED,
	},
	[FLEET_REBOOTING] = {
		[FLEET_EV_RESTART] = FLEET_VERIFYING,
		[FLEET_EV_FAIL] = FLEET_FAILED,
	},
	[FLEET_VERIFYING] = {
		[FLEET_EV_VERIFIED] = FLEET_SERVING,
		[FLEET_EV_RESTART] = FLEET_VERIFYING,
		[FLEET_EV_FAIL] = FLEET_FAILED,
	},
	[FLEET_FAILED] = {
		[FLEET_EV_RECOVERED] = FLEET_VERIFYING,
	},
};

static const char *const state_names[FLEET_STATE_MAX] = {
	[FLEET_FREE] = "free",		 [FLEET_SERVING] = "serving",
	[FLEET_CORDONED] = "cordoned",	 [FLEET_DRAINED] = "drained",
	[FLEET_REBOOTING] = "rebooting", [FLEET_VERIFYING] = "verifying",
	[FLEET_FAILED] = "failed",
};

static const char *const purpose_names[FLEET_PURPOSE_MAX] = {
	[FLEET_FOR_NONE] = "none",     [FLEET_FOR_WAVE] = "wave",
	[FLEET_FOR_URGENT] = "urgent", [FLEET_FOR_MOVE] = "move",
	[FLEET_FOR_HOLD] = "hold",
};

fleet_state_t fleet_own_next(fleet_state_t state, fleet_event_t event)
{
	if (state == FLEET_FAILED && event == FLEET_EV_FORGET)
		return FLEET_FREE;
	return transitions[state][event] ? transitions[state][event]
					 : FLEET_STATE_MAX;
}

const char *fleet_state_name(fleet_state_t state)
{
	return state_names[state];
}

const char *fleet_purpose_name(fleet_purpose_t purpose)
{
	return purpose_names[purpose];
}

fleet_state_t fleet_state_parse(const char *name)
{
	for (int i = 0; i < FLEET_STATE_MAX; i++)
		if (name && !strcmp(name, state_names[i]))
			return (fleet_state_t)i;
	return FLEET_STATE_MAX;
}

fleet_purpose_t fleet_purpose_parse(const char *name)
{
	for (int i = 0; i < FLEET_PURPOSE_MAX; i++)
		if (name && !strcmp(name, purpose_names[i]))
			return (fleet_purpose_t)i;
	return FLEET_PURPOSE_MAX;
}

bool fleet_state_serves(fleet_state_t state)
{
	return state == FLEET_SERVING;
}
