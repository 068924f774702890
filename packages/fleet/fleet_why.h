/* fleet_why - reasons why an instance waits. */
#ifndef FLEET_WHY_H
#define FLEET_WHY_H

typedef enum fleet_wait_reason {
	FLEET_WAIT_NONE,
	FLEET_WAIT_NOT_FENCED,	/* the pool's budget account does not carry the
				   lease holder's fencing token */
	FLEET_WAIT_NO_HEADROOM, /* the pool's budget allows no more out */
	FLEET_WAIT_DRAIN_MAX,	/* the pool's drain_max is reached */
	FLEET_WAIT_CANARY, /* the wave's first rack has no instance back from
			      its maintenance */
	FLEET_WAIT_WAVE_PAUSED,
	FLEET_WAIT_WAVE_STOPPED,
	FLEET_WAIT_ENTRY,     /* an entry has not confirmed the drain */
	FLEET_WAIT_TASKS,     /* tasks of jobs may run on it */
	FLEET_WAIT_BOOT,      /* the reboot is under way */
	FLEET_WAIT_VERIFY,    /* not yet seen alive after a restart or move */
	FLEET_WAIT_HELD,      /* kept out by an operator */
	FLEET_WAIT_NOT_ALIVE, /* the instance failed and was not seen alive
				 since */
	FLEET_WAIT_NO_POOL,   /* no pool needs it */
	FLEET_WAIT_MAX
} fleet_wait_reason_t;

const char *fleet_wait_reason_name(fleet_wait_reason_t why);

#endif
