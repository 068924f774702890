#!/bin/sh
# The start of a task gets no answer, and is carried out 11.5 s later.  The task
# is started elsewhere meanwhile; the first executor crashes, and is back under
# its id just before that.  The task must not run twice at a time.
. "$(dirname "$0")/../standin-2/lib.sh"

# submit_long N ID MS CPU: a job of one task, with a true estimate.
submit_long() {
	test "$(submit_steps "$1" "$2" "ms=$3 cpu=$4" \
		"[{\"count\":1,\"cpu\":$4,\"memMb\":64,\"estimateMs\":$3}]")" = 200 ||
		verdict 2 "job $2 was not accepted"
}

# where RUN: the executor that got this start of the job, or nothing.
where() {
	sed -n "s/.*start on i-\([0-9]*\)-.*task $job.0.0.0 run $1\$/\1/p" "$record" |
		head -1
}

start_all --workers=8
# A lasting job keeps all eight executors in use.
test "$(submit_steps 1 "$(id 900)" "lasts cpu=100" \
	'[{"count":8,"cpu":100,"memMb":64,"longRunning":true,"antiAffinity":1}]')" = 200 ||
	verdict 2 "the lasting job was not accepted"
sleep 1
submit_long 1 "$(id 901)" 60000 8000
sleep 0.3
submit_long 2 "$(id 902)" 60000 9000
sleep 0.3

job=$(id 1)
test "$TROUBLE" = 0 || control "late=$job.&ms=11500"
submit_long 3 "$job" 14000 4000
sleep 0.3
submit_long 1 "$(id 903)" 60000 3500

if test "$TROUBLE" != 0
then
	waited=0
	until test "$(where 1)" -a "$(where 2)"
	do
		sleep 0.05
		waited=$((waited + 1))
		test $waited -lt 200 || verdict 2 "no second start was sent"
	done
	first=$(where 1)
	say "run 1 was sent to executor $first and got no answer; run 2 began on executor $(where 2)"
	test "$first" != "$(where 2)" || verdict 2 "both went to the same executor"
	since=$(sed -n "s/^ *\([0-9]*\)\.\([0-9]*\) start on .* gets no answer: task $job.*/\1\2/p" "$record")
	sleep 1
	control "crash=$first&back=$((11482 + since - $(judge now_ms)))&id=same"
	say "executor $first crashes; it is back just before run 1 is carried out"
fi
sleep 15
say "the job is shown as $(state 3 "$job"); $(judge starts) starts"
test "$(judge twice)" = 0 || verdict 1 "TWICE: $(judge first)"
verdict 0 "held: no task ran twice"
