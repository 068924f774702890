/* pan: -w24 */
/*
 * One task, its runs on two workers, and the holders that schedule it
 * (docs/design/users-platform.md).
 *
 * A holder stores a run before it orders the start.  A worker accepts the order
 * and may execute it much later, unless it has restarted by then.  Answers may
 * be lost.  Worker leases expire, workers restart with the same id and without
 * state, and a second holder takes over while the first one may still act on
 * stale data.
 *
 * Properties: the task never has two runs at a time, and it does not run again
 * once its end is recorded.
 */
#define WORKERS 2
#define RUNS 3
#define LEASE_EXPIRIES 1
#define RESTARTS 1

/* The store: the holder's term and the task's row. */
byte store_term = 0;
byte row_run = 0;
byte row_worker = 0;
bool row_done = false;

/* State of the workers. */
byte running[WORKERS];	    /* number of the current run, 0: none */
byte ended[WORKERS];	    /* run listed as ended, 0: none */
byte fenced_run[WORKERS];   /* runs up to this one are not started */
byte highest_term[WORKERS]; /* of the orders and polls received */
byte lease_number[WORKERS]; /* grows with each expiry */
byte incarnation[WORKERS];

bool end_recorded = false; /* a holder has recorded the end */
byte lease_expiries = 0;
byte restarts = 0;

/* An order to start, from its acceptance by worker "w" on. */
proctype order(byte w; byte r; byte t; byte l)
{
	byte accepted_in = incarnation[w];

	atomic {
		if
		:: incarnation[w] != accepted_in ||
		   t < highest_term[w] || l < lease_number[w] ||
		   r <= fenced_run[w] || running[w] == r -> skip
		:: else ->
			highest_term[w] = t;
			assert(!end_recorded);
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
		fenced_run[w] = running[w];
		running[w] = 0
	   }
	:: atomic {
		lease_expiries < LEASE_EXPIRIES ->
		lease_expiries++;
		lease_number[w]++;
		if
		:: running[w] > fenced_run[w] -> fenced_run[w] = running[w]
		:: else
		fi;
		running[w] = 0
	   }
	:: atomic {
		restarts < RESTARTS ->
		restarts++;
		incarnation[w]++;
		running[w] = 0;
		ended[w] = 0;
		fenced_run[w] = 0;
		highest_term[w] = 0
	   }
	od
}

proctype holder(byte t)
{
	byte r;
	byte w;
	byte l;			   /* the worker's lease number at the order */
	byte order_incarnation;	   /* the worker's incarnation at the order */
	bool may_exist = false;	   /* the run may be in progress */
	bool seen_running = false; /* a poll has shown the run */
	bool stop_confirmed = false;
	bool end_seen = false;

end:	atomic {
		store_term < t ->
		store_term = t;
		r = row_run;
		w = row_worker;
		l = lease_number[w];
		order_incarnation = incarnation[w];
		may_exist = r > 0 && !row_done
	}
	do
	:: store_term != t || row_done || (!may_exist && r == RUNS) -> break
	:: !may_exist && !end_seen && r < RUNS ->
		/* Store the row, then order; both only in the own term. */
		atomic {
			if
			:: store_term == t && !row_done ->
				r++;
				if
				:: w = 0
				:: w = 1
				fi;
				row_run = r;
				row_worker = w
			:: else -> break
			fi
		};
		atomic {
			if
			:: store_term == t ->
				l = lease_number[w];
				order_incarnation = incarnation[w];
				run order(w, r, t, l)
			:: else -> break
			fi
		};
		may_exist = true;
		seen_running = false;
		stop_confirmed = false
	:: may_exist && !end_seen ->
		/* Poll the worker. */
		atomic {
			if
			:: t < highest_term[w] -> break
			:: else -> highest_term[w] = t
			fi;
			if
			:: running[w] == r -> seen_running = true
			:: ended[w] == r -> end_seen = true
			:: else ->
				if
				:: stop_confirmed ||
				   (seen_running &&
				    incarnation[w] != order_incarnation) ->
					may_exist = false
				:: else
				fi
			fi
		}
	:: may_exist && !end_seen && !stop_confirmed ->
		/* Stop the run; the answer may be lost. */
		atomic {
			if
			:: t < highest_term[w] -> break
			:: else -> highest_term[w] = t
			fi;
			if
			:: running[w] == r -> running[w] = 0
			:: else
			fi;
			if
			:: fenced_run[w] < r -> fenced_run[w] = r
			:: else
			fi;
			if
			:: stop_confirmed = true
			:: skip
			fi
		}
#ifdef BROKEN_SILENCE
	:: may_exist && !end_seen -> may_exist = false
#else
	:: may_exist && !end_seen && lease_number[w] > l -> may_exist = false
#endif
	:: may_exist && end_seen ->
#ifdef BROKEN_END
		end_recorded = true;
		ended[w] = 0;
#endif
		atomic {
			if
			:: store_term == t -> row_done = true
			:: else -> break
			fi
		};
		end_recorded = true;
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
