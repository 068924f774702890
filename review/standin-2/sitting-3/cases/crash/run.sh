#!/bin/bash
# An executor crashes, three times in some ten seconds, while it runs the same
# short task, which has nothing to do with it.  Each time the task starts again;
# after the third crash its job is shown as failed.  No run has ended "failed".
#
# Exits with 1 if the job is shown as failed, 0 if it is done, 2 if the case
# could not run.

case_dir=$(cd "$(dirname "$0")" && pwd)
standin=${STANDIN:-$case_dir/../../target/standin/standin-platform}
. "$case_dir/../standin-2/sitting-3/functions.sh"

CRASHES=3
id=00000000000000d4

# started N: waits until the task has started N times.
started() {
	for _ in $(seq 300)
	do
		n=$(runs $id | cut -d' ' -f2)
		[ "${n:-0}" -ge "$1" ] && return
		[ "$(state 1 $id)" = failed ] && return
		sleep 0.1
	done
	cannot_run "the task does not start"
}

# executor: the index of the one that the task was last sent to.
executor() {
	grep -h '"msg":"run-sent"' "$work"/entry-*.log | grep "\"$id\"" |
		sort | tail -n 1 | sed 's/.*"worker":"i-\([0-9]*\)-.*/\1/'
}

start_all
set_switch task-ms=3000
sleep 3
status=$(call POST 1 $id 4 '{"spec":"fill","steps":[{"count":1,"cpu":2500,"memMb":7100,"estimateMs":1700}]}')
note "POST $id: $status"
[ "$status" = 200 ] || cannot_run "the job is not accepted"
for k in $(seq $CRASHES)
do
	started $k
	sleep 1.2
	[ "${TROUBLE:-1}" = 0 ] && break
	[ "$(state 1 $id)" = failed ] && break
	at=$(executor)
	[ -n "$at" ] || cannot_run "the executor is not known"
	note "start $k, on executor $at"
	set_switch "crash=$at"
	note "executor $at crashes, and starts again after 1 s"
done
for _ in $(seq 120)
do
	state=$(state 1 $id)
	case $state in completed | failed) break ;; esac
	sleep 0.1
done
note "GET $id: $state"
note "executor: $(runs $id)"
grep -h '"msg":"\(run-suspected\|run-failed\|job-given-up\)"' "$work"/entry-*.log |
	grep "\"$id\"" | sed 's/.*"msg":/log: "msg":/' | tee -a "$record"
case $state in
failed)
	note "LOST broken"
	exit 1
	;;
completed)
	note "LOST held"
	exit 0
	;;
esac
cannot_run "the job has not ended"
