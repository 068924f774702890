/* expect: violation */
/* pan: -w24 */
/*
 * An instance moves from pool A to pool B (docs/design/ownership.md).
 *
 * Two movers read the record, decide and write it by compare-and-swap.  Either
 * may be paused between any two steps, and a mover does not learn whether its
 * write took effect: it reads the record again.  A move may be cancelled in
 * every state.  Two entries route by the record that they read last, however
 * old, confirm a cordon by its sequence number, and may stop.
 *
 * This variant accepts the confirmation of an earlier cordon for the current
 * one; spin must find the violation.
 *
 * Properties: an entry starts work on the instance only for the pool that owns
 * it, and never once it is drained; the pool changes only while no work is in
 * flight.
 */
#define BROKEN
#define ENTRIES 2
#define MOVERS 2
#define SEQ_MAX 8
#define A 1
#define B 2

mtype = { serving, cordoned, drained };

/* The record in the store; each write increments "seq". */
byte pool = A;
mtype state = serving;
byte seq = 1;

byte in_flight[ENTRIES]; /* pool of the work that it has in flight, 0: none */
byte confirmed[ENTRIES];
bool stopped[ENTRIES];

#ifdef BROKEN
/* Also accepts the confirmation of an earlier cordon. */
#define CONFIRMED(e, s) (stopped[e] || confirmed[e] > 0)
#else
#define CONFIRMED(e, s) (stopped[e] || confirmed[e] == s)
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
		stopped[me] = true;
		break
	   }
	od
}

/* Write the record if it is unchanged since the mover read it. */
inline compare_and_swap(new_pool, new_state)
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
		compare_and_swap(A, cordoned)
	   :: read_state == cordoned && CONFIRMED(0, read_seq) ->
		if
		:: CONFIRMED(1, read_seq) -> compare_and_swap(A, drained)
		:: else
		fi
	   :: read_state == drained -> compare_and_swap(B, serving)
	   :: read_state != serving -> /* cancelled */
		compare_and_swap(A, serving)
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
