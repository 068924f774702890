/* pan: -w24 */
/*
 * An instance moves from pool A to pool B (docs/design/ownership.md).
 *
 * Two movers read the record, decide and write it by compare-and-swap; either
 * may be paused between any two steps, and a mover does not learn whether its
 * write took effect: it reads again.  A move may be cancelled at every state.
 * Two entries route by the map they read last, however old, confirm a cordon
 * by its sequence number, and may end.
 *
 * Must hold: an entry begins work only in the pool that owns the instance and
 * never once it is drained; the pool changes only with nothing in flight.
 */
#define ENTRIES 2
#define MOVERS 2
#define SEQ_MAX 8
#define A 1
#define B 2

mtype = { serving, cordoned, drained };

/* The record in the store.  "seq" grows with each write. */
byte pool = A;
mtype state = serving;
byte seq = 1;

byte in_flight[ENTRIES]; /* the pool that it works for there, 0: none */
byte confirmed[ENTRIES];
bool gone[ENTRIES];

#ifdef BROKEN
/* Takes a confirmation of an earlier cordon, too. */
#define CONFIRMED(e, s) (gone[e] || confirmed[e] > 0)
#else
#define CONFIRMED(e, s) (gone[e] || confirmed[e] == s)
#endif

proctype entry(byte me)
{
	byte my_pool = A;
	mtype my_state = serving;
	byte my_seq = 1;

end:	do
	:: atomic {
		my_pool = pool;
		my_state = state;
		my_seq = seq
	   }
	:: atomic {
		my_state == serving && in_flight[me] == 0 ->
		assert(my_pool == pool);
		assert(state != drained);
		in_flight[me] = my_pool
	   }
	:: in_flight[me] != 0 -> in_flight[me] = 0
	:: atomic {
		my_state == cordoned && in_flight[me] == 0 ->
		confirmed[me] = my_seq
	   }
	:: atomic {
		in_flight[me] == 0 ->
		gone[me] = true;
		break
	   }
	od
}

/* The effect, if the record is still what the mover read. */
inline swap(new_pool, new_state)
{
	atomic {
		if
		:: seq == read_seq && seq < SEQ_MAX ->
			if
			:: new_pool != pool ->
				assert(in_flight[0] == 0);
				assert(in_flight[1] == 0)
			:: else
			fi;
			pool = new_pool;
			state = new_state;
			seq++
		:: else
		fi
	}
}

proctype mover()
{
	byte read_pool, read_seq;
	mtype read_state;

end:	do
	:: atomic {
		read_pool = pool;
		read_state = state;
		read_seq = seq
	   };
	   if
	   :: read_state == serving && read_pool == A ->
		swap(A, cordoned)
	   :: read_state == cordoned && CONFIRMED(0, read_seq) ->
		if
		:: CONFIRMED(1, read_seq) -> swap(A, drained)
		:: else
		fi
	   :: read_state == drained -> swap(B, serving)
	   :: read_state != serving -> swap(A, serving) /* cancelled */
	   :: true /* paused, or has nothing to do */
	   fi
	od
}

init {
	byte i;

	atomic {
		for (i : 0 .. ENTRIES - 1) {
			run entry(i)
		}
		for (i : 0 .. MOVERS - 1) {
			run mover()
		}
	}
}
