#!/bin/sh
# Executors are added to a service whose queue needs advice.

DECISION_MS=250
PERIOD_MS=170
ADVISES="--decision=$DECISION_MS --period=$PERIOD_MS"
ADVICE=',"advice":{"decisionMs":250,"periodMs":170,"validityMs":10000}'
. "$(dirname "$0")/../standin-3/lib.sh"

FINISH_S=14
ADDED=2

# job: eight tasks of a second.
job='{"spec":"advised;ms=1000;cpu=1000;mem=64","steps":[{"count":8,"cpu":1000,"memMb":64,"estimateMs":1000}]}'

# await_end ID: the job's state, after 10 s at the most.
await_end() {
	tries=0
	until test "$(state 2 "$1")" = completed
	do
		sleep 0.5
		tries=$((tries + 1))
		test $tries -lt 20 || break
	done
	state 2 "$1"
}

start_site 3
test "$(submit 1 00000000000000a1 "$job")" = 200 ||
	finish 2 "a job was not accepted"
shown=$(await_end 00000000000000a1)
say "GET 00000000000000a1: $shown, with $EXECUTORS executors"
test "$shown" = completed || finish 2 "a job before the change is $shown"
if test "$TROUBLE" = 1
then
	n=$((EXECUTORS + 1))
	EXECUTORS=$((EXECUTORS + ADDED))
	while test $n -le $EXECUTORS
	do
		start_executor $n
		n=$((n + 1))
	done
	list_machines
	say "$ADDED executors were added"
fi
sleep 4
test "$(submit 2 00000000000000b1 "$job")" = 200 ||
	finish 2 "a job was not accepted"
say "end of the traffic"
sleep $FINISH_S
shown=$(await_end 00000000000000b1)
starts=$(grep -c " start 00000000000000b1" "$work/runs.log")
say "GET 00000000000000b1: $shown, $starts starts, all executors are empty"
test "$starts" = 0 && finish 1 "broken (LOST): an accepted job has nothing running for 24 s, with $EXECUTORS executors empty that may run it"
test "$shown" = completed || finish 2 "the job is $shown"
finish 0 "held: the job is completed"
