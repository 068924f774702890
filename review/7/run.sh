#!/bin/sh
# The pool has one executor, as little work as there is.  Five times an executor
# drains and is taken away, as planned; none crashes.  The job must go on.
. "$(dirname "$0")/../standin-2/lib.sh"

# pool_worker: the executor of the pool that does not drain, if there is just one.
pool_worker() {
	workers | sed 's/\],\[/\n/g; s/[][]//g' |
		sed -n 's/^\([0-9]*\),"desk","up",.*/\1/p' |
		awk '{ n = $1 } END { if (NR == 1) print n }'
}

# begun RUN: whether this run of the job's task has begun.
begun() {
	grep -q "start on .*: task $job.0.0.0 run $1\$" "$record"
}

start_all --workers=16 --spare=15
job=$(id 1)
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
	worker=$(pool_worker)
	test "$worker" || verdict 2 "the pool does not have one executor"
	say "executor $worker drains and is taken away 2.5 s later"
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
