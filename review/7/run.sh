#!/bin/sh
# One executor of ten goes down and up by turns while the pool is full of sound
# jobs.  None of them may be shown as failed: no run of them ends failed.
. "$(dirname "$0")/../standin-2/lib.sh"

JOBS=30
start_all --workers=10

n=1
while test $n -le $JOBS
do
	test "$(submit $((n % 3 + 1)) "$(id $n)" "ms=4000 cpu=12000" 1 12000)" = 200 ||
		verdict 2 "job $n was not accepted"
	n=$((n + 1))
done
say "$JOBS jobs of one task of 4 s are accepted, ten fit at a time"

if test "$TROUBLE" != 0
then
	say "executor 0 goes down and up, 0.7 s each, for 6.5 s"
	turn=0
	while test $turn -lt 5
	do
		control "crash=0&back=700&id=same"
		sleep 1.4
		turn=$((turn + 1))
	done
	say "it stays up from now on"
fi

sleep 25
failed=0
open=0
n=1
while test $n -le $JOBS
do
	shown=$(state 2 "$(id $n)")
	echo "          job $(id $n) is shown as $shown" >>"$record"
	case $shown in
	completed) ;;
	failed) failed=$((failed + 1)) ;;
	*) open=$((open + 1)) ;;
	esac
	n=$((n + 1))
done
ended=$(judge failed)
say "$failed jobs are shown as failed, $open have not ended; $ended runs ended failed"
test "$ended" = 0 || verdict 2 "the stand-in let runs end failed"
test "$failed" = 0 || verdict 1 "LOST: jobs are shown as failed without cause"
verdict 0 "held: no job is shown as failed"
