/* pan: -w24 */
/*
 * One task, its runs on two workers, and the holders that decide about it
 * (docs/design/users-platform.md).
 *
 * A holder stores a run before it orders the start.  A worker takes the order
 * and may carry it out much later, unless its life has ended by then.  Answers
 * get lost.  Leases run out, workers start again under the same id and know
 * nothing, a second holder takes over while the first one may still act on
 * what it knew.
 *
 * Must hold: the task never runs twice at a time, and not again once its end
 * was taken note of.
 */
#define WORKERS 2
#define RUNS 3
#define LAPSES 1
#define LIVES 1

/* The store: the holder's term, the task's row. */
byte store_term = 0;
byte row_run = 0;
byte row_at = 0;
bool row_done = false;

/* The workers. */
byte running[WORKERS]; /* the run's number, 0: none */
byte ended[WORKERS];   /* listed as done, 0: none */
byte fence[WORKERS];   /* no run up to this one begins any more */
byte seen[WORKERS];    /* highest term */
byte lease[WORKERS];   /* how often it has run out */
byte life[WORKERS];

bool noted = false; /* the end was taken note of */
byte lapses = 0;
byte lives = 0;

/* A start, from when the worker has taken it. */
proctype order(byte w; byte r; byte t; byte l)
{
	byte taken_by = life[w];

	atomic {
		if
		:: life[w] != taken_by || t < seen[w] || l < lease[w] ||
		   r <= fence[w] || running[w] == r -> skip
		:: else ->
			seen[w] = t;
			assert(!noted);
			assert(running[0] == 0 && running[1] == 0);
			running[w] = r
		fi
	}
}

proctype worker(byte w)
{
end:	do
	:: atomic {
		running[w] != 0 ->
		ended[w] = running[w];
		fence[w] = running[w];
		running[w] = 0
	   }
	:: atomic {
		lapses < LAPSES ->
		lapses++;
		lease[w]++;
		if
		:: running[w] > fence[w] -> fence[w] = running[w]
		:: else
		fi;
		running[w] = 0
	   }
	:: atomic {
		lives < LIVES ->
		lives++;
		life[w]++;
		running[w] = 0;
		ended[w] = 0;
		fence[w] = 0;
		seen[w] = 0
	   }
	od
}

proctype holder(byte t)
{
	byte r;
	byte w;
	byte l;	  /* the lease that came with the order */
	byte was; /* the life that the order went to */
	bool open = false; /* the run may exist */
	bool on = false;   /* a look has shown it */
	bool stopped = false;
	bool end_seen = false;

end:	atomic {
		store_term < t ->
		store_term = t;
		r = row_run;
		w = row_at;
		l = lease[w];
		was = life[w];
		open = r > 0 && !row_done
	}
	do
	:: store_term != t || row_done || (!open && r == RUNS) -> break
	:: !open && !end_seen && r < RUNS ->
		/* The row, then the order, if the duty is still held. */
		atomic {
			if
			:: store_term == t && !row_done ->
				r++;
				if
				:: w = 0
				:: w = 1
				fi;
				row_run = r;
				row_at = w
			:: else -> break
			fi
		};
		atomic {
			if
			:: store_term == t ->
				l = lease[w];
				was = life[w];
				run order(w, r, t, l)
			:: else -> break
			fi
		};
		open = true;
		on = false;
		stopped = false
	:: open && !end_seen ->
		/* A look. */
		atomic {
			if
			:: t < seen[w] -> break
			:: else -> seen[w] = t
			fi;
			if
			:: running[w] == r -> on = true
			:: ended[w] == r -> end_seen = true
			:: else ->
				if
				:: stopped || (on && life[w] != was) ->
					open = false
				:: else
				fi
			fi
		}
	:: open && !end_seen && !stopped ->
		/* A stop; its answer may be lost. */
		atomic {
			if
			:: t < seen[w] -> break
			:: else -> seen[w] = t
			fi;
			if
			:: running[w] == r -> running[w] = 0
			:: else
			fi;
			if
			:: fence[w] < r -> fence[w] = r
			:: else
			fi;
			if
			:: stopped = true
			:: skip
			fi
		}
#ifdef BROKEN_SILENCE
	:: open && !end_seen -> open = false
#else
	:: open && !end_seen && lease[w] > l -> open = false
#endif
	:: open && end_seen ->
#ifdef BROKEN_END
		noted = true;
		ended[w] = 0;
#endif
		atomic {
			if
			:: store_term == t -> row_done = true
			:: else -> break
			fi
		};
		noted = true;
		break
	od
}

init {
	atomic {
		run worker(0);
		run worker(1);
		run holder(1);
		run holder(2)
	}
}
