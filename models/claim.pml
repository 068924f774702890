/*
 * Claims on one request id by concurrent attempts during an epoch change.
 *
 * Entries 0 and 1 are home and backup in epoch 1, entries 2 and 3 in epoch 2.
 * Each entry may enter epoch 2 at any time or never (partitioned, crashed), and
 * entries 2 and 3 may copy the records of an entry that has left epoch 1 at any
 * time or never.  The id is chosen by the caller or is a ticket of epoch 2.
 *
 * A requester takes the claim at the home, then at the backup, in one epoch.
 * If that fails, it may continue in epoch 2 with the same attempt, or release.
 * It may be paused for any time between two steps and may crash at each step.
 * Messages and answers may be delivered at any time, any number of times, in
 * any order, or never.
 *
 * Properties: the id runs at most once, and "not run" is answered only if it
 * has not run.  Time is not modelled: no id is considered new because of the
 * time that has passed; docs/design/claims.md covers that case.
 *
 * claim_broken.pml includes this file with BROKEN defined: then the backup of
 * epoch 1 grants takes for that epoch after it has left it.
 */
#define ENTRIES 4
#define ATTEMPTS 2
#define NO_ATTEMPT 0		/* attempts are numbered from 1 */
#define CONFLICT (ATTEMPTS + 1) /* claimed by two attempts: never freed */
#define EPOCH_OF(e) ((e) / 2 + 1)
#define AT(a, e) (((a) - 1) * ENTRIES + (e))

byte epoch[ENTRIES] = 1;
byte claim[ENTRIES] = NO_ATTEMPT;
byte tombstone[ENTRIES] = NO_ATTEMPT; /* released attempt: takes are refused */
bool has_history[ENTRIES];	      /* has all claims of earlier epochs */
bool ticket;			      /* the id is a ticket of epoch 2 */

/* Messages sent and answers given, indexed by AT(attempt, entry). */
bool take_sent[ATTEMPTS * ENTRIES];
bool release_sent[ATTEMPTS * ENTRIES];
bool granted[ATTEMPTS * ENTRIES];
bool granted_with_history[ATTEMPTS * ENTRIES];

byte runs = 0;

#ifdef BROKEN
#define SERVES_EPOCH(e) (epoch[e] == EPOCH_OF(e) || (e) == 1)
#else
#define SERVES_EPOCH(e) (epoch[e] == EPOCH_OF(e))
#endif
#define GRANTS(a, e)                                                  \
	(SERVES_EPOCH(e) && (!ticket || EPOCH_OF(e) == 2) &&          \
	 (claim[e] == NO_ATTEMPT || claim[e] == (a)) &&               \
	 tombstone[e] != (a))

/* Deliver a take or a release of attempt "a" to entry "me". */
#define DELIVER(a)                                                    \
	:: d_step {                                                   \
		take_sent[AT(a, me)] && GRANTS(a, me) ->              \
		claim[me] = a;                                        \
		granted[AT(a, me)] = true;                            \
		granted_with_history[AT(a, me)] =                     \
			granted_with_history[AT(a, me)] ||            \
			has_history[me]                               \
	}                                                             \
	:: d_step {                                                   \
		release_sent[AT(a, me)] && claim[me] == a ->          \
		claim[me] = NO_ATTEMPT;                               \
		tombstone[me] = a                                     \
	}                                                             \
	:: d_step {                                                   \
		release_sent[AT(a, me)] && claim[me] == NO_ATTEMPT -> \
		tombstone[me] = a                                     \
	}

/* Copy the records of entry "from", which has left epoch 1. */
#define COPY(from)                                                    \
	:: d_step {                                                   \
		EPOCH_OF(me) == 2 && epoch[me] == 2 &&                \
			!has_history[me] && epoch[from] == 2 ->       \
		has_history[me] = true;                               \
		if                                                    \
		:: claim[from] != NO_ATTEMPT &&                       \
		   claim[from] != tombstone[me] ->                    \
			claim[me] = (claim[me] == NO_ATTEMPT ||       \
				     claim[me] == claim[from] ->      \
				     claim[from] : CONFLICT)          \
		:: else                                               \
		fi                                                    \
	}

proctype entry(byte me)
{
	has_history[me] = (EPOCH_OF(me) == 1 || ticket);
end:	do
	:: d_step { epoch[me] == 1 -> epoch[me] = 2 }
	DELIVER(1)
	DELIVER(2)
	COPY(0)
	COPY(1)
	od
}

inline release_claims(me)
{
	d_step {
		release_sent[AT(me, home)] = true;
		release_sent[AT(me, home + 1)] = true;
		if
		:: tried_epoch_1 ->
			release_sent[AT(me, 0)] = true;
			release_sent[AT(me, 1)] = true
		:: else -> skip
		fi
	}
}

proctype requester(byte me)
{
	byte home = 0;
	bool tried_epoch_1 = false;

	if
	:: skip
	:: home = 2
	fi;
try_epoch:
	take_sent[AT(me, home)] = true;
	if
	:: granted[AT(me, home)]
	:: goto refused /* refused, or no answer in time */
	fi;
	take_sent[AT(me, home + 1)] = true;
	if
	:: granted[AT(me, home + 1)]
	:: goto refused
	fi;
	if
	:: granted_with_history[AT(me, home)] ||
	   granted_with_history[AT(me, home + 1)]
	:: goto refused
	fi;
	if
	:: d_step {
		runs++;
		assert(runs <= 1)
	}
	:: d_step {
		assert(runs == 0) /* answers "not run" */
	}
	   release_claims(me)
	:: skip /* crash */
	fi;
	goto done;
refused:
	if
	:: home == 0 ->
		home = 2;
		tried_epoch_1 = true;
		goto try_epoch
	:: release_claims(me)
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
		run requester(1);
		run requester(2)
	}
}
