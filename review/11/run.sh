#!/bin/sh
# A job whose task never fails by itself; executors that run it crash.

. "$(dirname "$0")/../standin-3/lib.sh"

CRASHES=${CRASHES:-3}
id=00000000000000a1

# executor_of TASK: the number of the executor that has started it last.
executor_of() {
	grep " start $1 " "$work/runs.log" | tail -n 1 |
		sed 's/^[^ ]* i-59c0a1b2c\([0-9]*\) .*/\1/'
}

starts() {
	grep -c " start $id.0.0.0 " "$work/runs.log"
}

start_site 3
test "$(submit 1 $id '{"spec":"ms=5000;cpu=3500;mem=1024","steps":[{"count":1,"cpu":3500,"memMb":1024,"estimateMs":5000}]}')" = 200 ||
	finish 2 "the job was not accepted"
k=1
while test "$TROUBLE" = 1 && test $k -le "$CRASHES"
do
	tries=0
	until test "$(starts)" -ge $k
	do
		sleep 0.1
		tries=$((tries + 1))
		test $tries -lt 200 || break
		test "$(state 1 $id)" = failed && break
	done
	test "$(state 1 $id)" = failed && break
	sleep "${DELAY:-1.5}"
	victim_n=$(executor_of $id.0.0.0)
	say "crash $k: executor i-59c0a1b2c$victim_n, which runs the task, is killed"
	crash_executor "$victim_n"
	sleep 1
	restart_executor "$victim_n"
	say "executor i-59c0a1b2c$victim_n has started again under its id"
	k=$((k + 1))
done
tries=0
until test "$(state 1 $id)" = completed || test "$(state 1 $id)" = failed
do
	sleep 0.5
	tries=$((tries + 1))
	test $tries -lt 80 || break
done
shown=$(state 1 $id)
shown2=$(state 2 $id)
say "GET $id at entry 1: $shown, at entry 2: $shown2"
failed=$(grep -c " failed $id" "$work/runs.log")
say "starts of the task: $(starts), ends listed as failed: $failed"
grep '"job-given-up"' "$work"/entry-*.log | sed 's/^[^{]*//' >>"$record"
test "$shown" = completed && finish 0 "held: the job is completed"
test "$shown" = failed && test "$failed" = 0 &&
	finish 1 "broken (LOST): an accepted job is shown as failed after $((k - 1)) crashes of executors, with no end failed"
finish 2 "the job is shown as $shown"
