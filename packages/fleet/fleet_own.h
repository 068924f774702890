/* fleet_own - ownership of instances by pools: states and transitions. */
#ifndef FLEET_OWN_H
#define FLEET_OWN_H

#include <stdbool.h>
#include <stdint.h>

typedef enum fleet_state {
	FLEET_FREE,	 /* in no pool, has no record */
	FLEET_SERVING,	 /* gets new work */
	FLEET_CORDONED,	 /* gets no new work; entries are yet to confirm */
	FLEET_DRAINED,	 /* nothing is in flight on it */
	FLEET_REBOOTING, /* its reboot was requested */
	FLEET_VERIFYING, /* restarted or moved, not yet seen alive */
	FLEET_FAILED,	 /* not usable */
	FLEET_STATE_MAX
} fleet_state_t;

/* Why an instance is out of service, or is to be. */
typedef enum fleet_purpose {
	FLEET_FOR_NONE,
	FLEET_FOR_WAVE,	  /* maintenance by a wave */
	FLEET_FOR_URGENT, /* a reboot that an operator asked for */
	FLEET_FOR_MOVE,	  /* a move to another pool */
	FLEET_FOR_HOLD,	  /* an operator keeps it drained and out */
	FLEET_PURPOSE_MAX
} fleet_purpose_t;

typedef enum fleet_event {
	FLEET_EV_ASSIGN,    /* a free instance enters a pool */
	FLEET_EV_CORDON,    /* the store holds a grant to take it out */
	FLEET_EV_CANCEL,    /* returns to service; also voids an unused grant */
	FLEET_EV_CONFIRM,   /* all entries confirmed the drain or are gone, and
				no task is left on the instance */
	FLEET_EV_MOVE,	    /* enters the pool it was drained for */
	FLEET_EV_REBOOT,    /* its reboot is requested */
	FLEET_EV_RESTART,   /* a new incarnation was seen */
	FLEET_EV_VERIFIED,  /* seen alive after a restart or move */
	FLEET_EV_FAIL,	    /* no evidence of life for too long */
	FLEET_EV_RECOVERED, /* a failed instance is seen alive */
	FLEET_EV_FORGET,    /* its record is dropped */
	FLEET_EVENT_MAX
} fleet_event_t;

/* Returns the state after "event", or FLEET_STATE_MAX if it is not allowed. */
fleet_state_t fleet_own_next(fleet_state_t state, fleet_event_t event);

const char *fleet_state_name(fleet_state_t state);
const char *fleet_purpose_name(fleet_purpose_t purpose);

/* Return the value of a name, or the _MAX value if it is unknown. */
fleet_state_t fleet_state_parse(const char *name);
fleet_purpose_t fleet_purpose_parse(const char *name);

/* Returns whether entries may send new work in this state. */
bool fleet_state_serves(fleet_state_t state);

#endif
