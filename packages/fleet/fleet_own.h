/*
 * fleet_own - who owns an instance: states and transitions.
 */
#ifndef FLEET_OWN_H
#define FLEET_OWN_H

#include <stdbool.h>
#include <stdint.h>

typedef enum fleet_state {
	FLEET_FREE,	 /* in no pool, no record */
	FLEET_SERVING,	 /* takes work */
	FLEET_CORDONED,	 /* no new work, entries confirm */
	FLEET_DRAINED,	 /* nothing in flight anywhere */
	FLEET_REBOOTING, /* reboot asked for */
	FLEET_VERIFYING, /* a new life, not yet trusted */
	FLEET_FAILED,	 /* not usable */
	FLEET_STATE_MAX
} fleet_state_t;

/* Why it is, or is to be, out of service. */
typedef enum fleet_purpose {
	FLEET_FOR_NONE,
	FLEET_FOR_WAVE,	  /* maintenance */
	FLEET_FOR_URGENT, /* a reboot that an operator asked for */
	FLEET_FOR_MOVE,	  /* to another pool */
	FLEET_FOR_HOLD,	  /* drained by an operator, kept out */
	FLEET_PURPOSE_MAX
} fleet_purpose_t;

typedef enum fleet_event {
	FLEET_EV_ASSIGN,   /* into a pool, from none */
	FLEET_EV_CORDON,   /* its grant stands */
	FLEET_EV_CANCEL,   /* back to service; also voids an unused grant */
	FLEET_EV_CONFIRM,  /* every entry confirmed or gone */
	FLEET_EV_MOVE,	   /* into the pool it was drained for */
	FLEET_EV_REBOOT,   /* ask for the reboot */
	FLEET_EV_RESTART,  /* a new incarnation was seen */
	FLEET_EV_VERIFIED, /* the new life answers */
	FLEET_EV_FAIL,	   /* no life for too long */
	FLEET_EV_BACK,	   /* a failed one shows life */
	FLEET_EV_FORGET,   /* gone for good */
	FLEET_EVENT_MAX
} fleet_event_t;

/* The state after "event", or FLEET_STATE_MAX where it is not allowed. */
fleet_state_t fleet_own_next(fleet_state_t state, fleet_event_t event);

const char *fleet_state_name(fleet_state_t state);
const char *fleet_purpose_name(fleet_purpose_t purpose);

/* The values back from their names; the _MAX when unknown. */
fleet_state_t fleet_state_parse(const char *name);
fleet_purpose_t fleet_purpose_parse(const char *name);

/* Whether entries may send new work in this state. */
bool fleet_state_serves(fleet_state_t state);

#endif
