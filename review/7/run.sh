#!/bin/sh
# The pool has nine executors, with a lasting job on eight of them.  Five times the
# executor that runs another job's task drains and is taken away, as planned, one at
# a time; none crashes.  The job must go on.
. "$(dirname "$0")/../standin-2/lib.sh"

# where RUN: the executor that got this run of the job's task, or nothing.
where() {
	sed -n "s/.*start on i-\([0-9]*\)-.*: task $job.0.0.0 run $1\$/\1/p" "$record" |
		head -1
}

# pool_size: executors of the pool that are up.
pool_size() {
	workers | grep -o '"desk","up"' | wc -l
}

# begun RUN: whether this run of the job's task has begun.
begun() {
	grep -q "start on .*: task $job.0.0.0 run $1\$" "$record"
}

start_all --workers=16 --spare=8
job=$(id 1)
test "$(submit_steps 1 "$(id 900)" "lasts cpu=100" \
	'[{"count":8,"cpu":100,"memMb":64,"longRunning":true,"antiAffinity":1}]')" = 200 ||
	verdict 2 "the lasting job was not accepted"
until_is 9 pool_size || verdict 2 "the pool does not have nine executors"
test "$(submit_steps 1 "$job" "ms=4000 cpu=4000" \
	'[{"count":1,"cpu":4000,"memMb":64,"estimateMs":4000}]')" = 200 ||
	verdict 2 "the job was not accepted"
say "a job of one task of 4 s is accepted"

turn=1
while test "$TROUBLE" != 0 -a $turn -le 5
do
	waited=0
	until begun $turn
	do
		sleep 0.1
		waited=$((waited + 1))
		test $waited -lt 150 || break
	done
	begun $turn || break
	sleep 0.5
	worker=$(where $turn)
	until_is 9 pool_size || verdict 2 "the pool does not have nine executors"
	say "executor $worker, one of $(pool_size), drains and is taken away 2.5 s later"
	control "drain=$worker&ms=2500"
	turn=$((turn + 1))
done
waited=0
until test "$(state 2 "$job")" = completed -o "$(state 2 "$job")" = failed
do
	sleep 1
	waited=$((waited + 1))
	test $waited -lt 30 || break
done
shown=$(state 3 "$job")
say "the job is shown as $shown; $(judge starts) starts, $(judge failed) runs ended failed"
test "$(judge failed)" = 0 || verdict 2 "the stand-in let runs end failed"
test "$shown" != failed ||
	verdict 1 "LOST: the job is shown as failed without cause"
test "$shown" = completed || verdict 1 "LOST: the job is not completed"
verdict 0 "held: the job is completed"
