#!/bin/sh
# The start of a task gets no answer and is carried out 11.5 s later.  The task is
# started elsewhere; then the first executor crashes, and is back under its id
# just before that.  The task must not run twice at a time.
. "$(dirname "$0")/../standin-2/lib.sh"

start_all --workers=4
test "$(submit_steps 1 "$(id 900)" "lasts cpu=100" \
	'[{"count":4,"cpu":100,"memMb":64,"longRunning":true,"antiAffinity":1}]')" = 200 ||
	verdict 2 "the lasting job was not accepted"
sleep 1.5

# where RUN: the executor that got this start of the job, or nothing.
where() {
	sed -n "s/.*start on i-\([0-9]*\)-.*task $job.0.0.0 run $1\$/\1/p" "$record" |
		head -1
}

n=1
while test $n -le 4
do
	job=$(id $n)
	control "late=$job.&ms=11500"
	test "$(submit 1 "$job" "ms=14000 cpu=1000" 1 1000)" = 200 ||
		verdict 2 "the job was not accepted"
	waited=0
	until test "$(where 1)" -a "$(where 2)"
	do
		sleep 0.02
		waited=$((waited + 1))
		test $waited -lt 400 || verdict 2 "no second start was sent"
	done
	test "$(where 1)" = "$(where 2)" || break
	say "both starts of job $n went to executor $(where 1)"
	sleep 12
	n=$((n + 1))
done
first=$(where 1)
say "run 1 was sent to executor $first and got no answer; run 2 began on executor $(where 2)"

if test "$TROUBLE" != 0
then
	since=$(sed -n "s/^ *\([0-9]*\)\.\([0-9]*\) start on .* gets no answer: task $job.*/\1\2/p" "$record")
	sleep 1
	now=$(curl -s -m 2 "http://127.0.0.1:$PORT/judge" |
		sed -n 's/.*"now_ms":\([0-9]*\).*/\1/p')
	control "crash=$first&back=$((11400 - (now - since)))&id=same"
	say "executor $first crashes; it is back 0.1 s before run 1 is carried out"
fi
sleep 12
say "the job is shown as $(state 3 "$job"); $(judge starts) starts"
test "$(judge twice)" = 0 || verdict 1 "TWICE: $(judge first)"
verdict 0 "held: no task ran twice"
