/*
 * claim - one id, requests for it at several entries, an epoch change.
 *
 * Entries 0 and 1 are home and backup in epoch 1, entries 2 and 3 in epoch 2.
 * Any entry may hear of epoch 2 at any time or never (cut off, crashed), and
 * entries 2 and 3 may copy the records of one that left epoch 1, at any time
 * or never.  The id is the caller's own, or a ticket of epoch 2.
 *
 * A holder takes the claim at the home, then at the backup, under one epoch;
 * when that fails it may go on in epoch 2 with the same attempt, or release.
 * It may be paused for any time between two steps and crash at each of them.
 * A message once sent may be delivered at any time, any number of times, in
 * any order, or never; so may an answer.
 *
 * What must hold: the id runs at most once, and "not run" is said only when
 * it has not run.  Time is left out: nothing becomes known to be new by
 * waiting, which docs/design/claims.md reasons about.
 *
 * claim_broken.pml includes this with BROKEN defined: the backup of epoch 1
 * answers takes of an epoch that it has left.
 */
#define ENTRIES 4
#define HOLDERS 2
#define NOBODY 0	    /* attempts are numbered from 1 */
#define STUCK (HOLDERS + 1) /* two attempts met: no release frees it */
#define EPOCH_OF(e) ((e) / 2 + 1)
#define AT(a, e) (((a) - 1) * ENTRIES + (e))

byte epoch[ENTRIES] = 1;
byte claim[ENTRIES] = NOBODY;
byte tomb[ENTRIES] = NOBODY; /* an attempt released before it was taken */
bool fresh[ENTRIES];	     /* knows each earlier claim */
bool ticket;		     /* the id is a ticket of epoch 2 */

/* By attempt and entry: messages sent, and answers given. */
bool take[HOLDERS * ENTRIES];
bool release[HOLDERS * ENTRIES];
bool granted[HOLDERS * ENTRIES];
bool granted_fresh[HOLDERS * ENTRIES];

byte runs = 0;

#ifdef BROKEN
#define OPEN(e) (epoch[e] == EPOCH_OF(e) || (e) == 1)
#else
#define OPEN(e) (epoch[e] == EPOCH_OF(e))
#endif
#define GRANTS(a, e)                                  \
	(OPEN(e) && (!ticket || EPOCH_OF(e) == 2) &&  \
	 (claim[e] == NOBODY || claim[e] == (a)) &&   \
	 tomb[e] != (a))

/* Deliver a take or a release of attempt "a" to entry "me". */
#define SERVE(a)                                                      \
	:: d_step {                                                   \
		take[AT(a, me)] && GRANTS(a, me) ->                   \
		claim[me] = a;                                        \
		granted[AT(a, me)] = true;                            \
		granted_fresh[AT(a, me)] =                            \
			granted_fresh[AT(a, me)] || fresh[me]         \
	}                                                             \
	:: d_step {                                                   \
		release[AT(a, me)] && claim[me] == a ->               \
		claim[me] = NOBODY;                                   \
		tomb[me] = a                                          \
	}                                                             \
	:: d_step {                                                   \
		release[AT(a, me)] && claim[me] == NOBODY ->          \
		tomb[me] = a                                          \
	}

/* Copy the records of entry "from", which has left epoch 1. */
#define COPY(from)                                                    \
	:: d_step {                                                   \
		EPOCH_OF(me) == 2 && epoch[me] == 2 && !fresh[me] &&  \
			epoch[from] == 2 ->                           \
		fresh[me] = true;                                     \
		if                                                    \
		:: claim[from] != NOBODY && claim[from] != tomb[me] -> \
			claim[me] = (claim[me] == NOBODY ||           \
				     claim[me] == claim[from] ->      \
				     claim[from] : STUCK)             \
		:: else                                               \
		fi                                                    \
	}

proctype entry(byte me)
{
	fresh[me] = (EPOCH_OF(me) == 1 || ticket);
end:	do
	:: d_step { epoch[me] == 1 -> epoch[me] = 2 }
	SERVE(1)
	SERVE(2)
	COPY(0)
	COPY(1)
	od
}

inline give_up(me)
{
	d_step {
		release[AT(me, home)] = true;
		release[AT(me, home + 1)] = true;
		if
		:: again ->
			release[AT(me, 0)] = true;
			release[AT(me, 1)] = true
		:: else -> skip
		fi
	}
}

proctype holder(byte me)
{
	byte home = 0;
	bool again = false;

	if
	:: skip
	:: home = 2
	fi;
round:	take[AT(me, home)] = true;
	if
	:: granted[AT(me, home)]
	:: goto refused /* or no answer in time */
	fi;
	take[AT(me, home + 1)] = true;
	if
	:: granted[AT(me, home + 1)]
	:: goto refused
	fi;
	if
	:: granted_fresh[AT(me, home)] || granted_fresh[AT(me, home + 1)]
	:: goto refused
	fi;
	if
	:: d_step {
		runs++;
		assert(runs <= 1)
	}
	:: d_step {
		assert(runs == 0) /* "not run" is said */
	}
	   give_up(me)
	:: skip /* crash */
	fi;
	goto done;
refused:
	if
	:: home == 0 ->
		home = 2;
		again = true;
		goto round
	:: give_up(me)
	:: skip /* crash */
	fi;
done:	skip
}

init
{
	atomic {
		if
		:: ticket = false
		:: ticket = true
		fi;
		run entry(0);
		run entry(1);
		run entry(2);
		run entry(3);
		run holder(1);
		run holder(2)
	}
}
