/*
 * fleet_why - typed reasons for what an instance waits for.
 */
#ifndef FLEET_WHY_H
#define FLEET_WHY_H

typedef enum fleet_why {
	FLEET_WHY_NONE,
	FLEET_WHY_NOT_FENCED, /* the account is not yet the holder's */
	FLEET_WHY_NO_ROOM,    /* the pool's budget has none to spare */
	FLEET_WHY_DRAIN_MAX,  /* as many are out as its pool allows waves */
	FLEET_WHY_CANARY,     /* the wave tries one rack first */
	FLEET_WHY_WAVE_PAUSED,
	FLEET_WHY_WAVE_STOPPED,
	FLEET_WHY_ENTRY,   /* an entry has not confirmed */
	FLEET_WHY_TASKS,   /* tasks of jobs may run on it */
	FLEET_WHY_BOOT,	   /* the reboot is under way */
	FLEET_WHY_VERIFY,  /* no sign of the new life yet */
	FLEET_WHY_HELD,	   /* kept out by an operator */
	FLEET_WHY_NO_LIFE, /* failed and not back */
	FLEET_WHY_NO_POOL, /* no pool wants it */
	FLEET_WHY_MAX
} fleet_why_t;

const char *fleet_why_name(fleet_why_t why);

#endif
