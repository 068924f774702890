#!/bin/sh
# One executor runs 1200 small tasks of a job.  The machine of the holder is
# frozen for 1.3 s, in which they end.  No task may start after a run of it has
# ended "done", if that end is taken note of.
. "$(dirname "$0")/../lib.sh"

COUNT=1200
ID=00000000000000a1

start_executors() {
	for n in 1 2 3
	do
		start_executor $n i-desk-$n desk a r1 64000 262144
	done
}

count_events() {
	cat "$work"/executor-*.log | grep -c " $1 $ID"
}

all_started() {
	test "$(count_events start)" -ge $COUNT
}

is_done() {
	test "$(state 2 /jobs/$ID)" = completed
}

start_site
note "entry $(holder) holds the duty"
status=$(submit 1 /jobs/$ID '{"spec":"cpu=50 mem=100 ms=2500 spread=600","steps":[{"count":'$COUNT',"cpu":50,"memMb":100,"estimateMs":2800}]}')
test "$status" = 200 || give_up "the job was not accepted: $status"
accepted=$(now_ms)
until_true 3 all_started || give_up "not all tasks started"
note "all $COUNT tasks have started, $(($(now_ms) - accepted)) ms after the 2xx"
if test "$TROUBLE" != 0
then
	sleep 2.2
	n=$(holder)
	kill -STOP "$(entry_pid "$n")"
	note "entry $n, the holder, is frozen"
	sleep 1.3
	kill -CONT "$(entry_pid "$n")"
	note "entry $n wakes"
fi
until_true 20 is_done || note "the job is not shown as completed"
sleep 3

# A start after a run of the task has ended "done", where that end was taken
# note of (lastSeen reached it) and no lease lapsed.
cat "$work"/executor-*.log | sort -n -s -k 1,1 | awk '
$3 == "start" && $4 in done { again[$4 " run " $5] = $4; n++ }
$3 == "end" && $6 == "done" && !($4 in done) { done[$4] = $5 }
$3 == "noted" && $6 == "done" { noted[$4] = 1 }
$3 == "end" && $6 == "lapsed" { lapsed++ }
END {
	for (run in again)
		if (again[run] in noted)
			broken++
	printf "tasks done: %d, lapsed: %d, starts after done: %d, of these with the end taken note of: %d\n", length(done), lapsed, n, broken
}' >"$work/verdict"
note "$(cat "$work/verdict")"
case $(cat "$work/verdict") in
*"taken note of: 0") note "TWICE held"; exit 0 ;;
*) note "TWICE is broken"; exit 1 ;;
esac
