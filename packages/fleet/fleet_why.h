/* fleet_why - reasons why an instance waits. */
#ifndef FLEET_WHY_H
#define FLEET_WHY_H

typedef enum fleet_why {
	FLEET_WHY_NONE,
	FLEET_WHY_NOT_FENCED, /* the account lacks the holder's fencing token */
	FLEET_WHY_NO_ROOM,    /* the pool's budget lets no more out */
	FLEET_WHY_DRAIN_MAX,  /* the pool's drain_max is reached */
	FLEET_WHY_CANARY,     /* the wave's first rack is not back yet */
	FLEET_WHY_WAVE_PAUSED,
	FLEET_WHY_WAVE_STOPPED,
	FLEET_WHY_ENTRY,   /* an entry has not confirmed */
	FLEET_WHY_TASKS,   /* tasks of jobs may run on it */
	FLEET_WHY_BOOT,	   /* the reboot is under way */
	FLEET_WHY_VERIFY,  /* not yet seen alive after a restart or move */
	FLEET_WHY_HELD,	   /* kept out by an operator */
	FLEET_WHY_NO_LIFE, /* failed, and not seen alive since */
	FLEET_WHY_NO_POOL, /* no pool needs it */
	FLEET_WHY_MAX
} fleet_why_t;

const char *fleet_why_name(fleet_why_t why);

#endif
