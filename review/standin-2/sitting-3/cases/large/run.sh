#!/bin/bash
# A client hands in a large job: 12 steps, one after the other, of 4,000 short
# tasks each.  The row in which the holder keeps the job grows with each task
# that has started, also once it is done, until the store refuses the row as
# larger than valueBytes.  The holder repeats that change for ever and stores
# nothing else: no job is accepted, started, ended or cancelled any more.
#
# Exits with 1 if a job that was accepted, and that nobody has cancelled, has
# nothing running although nothing keeps it from that, 0 if all are done, 2 if
# the case could not run.

case_dir=$(cd "$(dirname "$0")" && pwd)
standin=${STANDIN:-$case_dir/../../target/standin/standin-platform}
value_limit=${VALUE_LIMIT:-$case_dir/../../target/standin/value_limit}
. "$case_dir/../standin-2/sitting-3/functions.sh"

[ -x "$value_limit" ] || cannot_run "value_limit is not built"
VALUE_BYTES=1048576 # valueBytes
FINISH_S=14	    # finish_s
STEPS=12
TASKS=4000
[ "${TROUBLE:-1}" = 0 ] && TASKS=32 # the sites' largest
id=00000000000000e5

# judge NAME: a figure of the stand-in.
judge() {
	curl -s -m 2 "http://127.0.0.1:$PORT/judge" |
		sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

start_platform 12
start_value_limit "$value_limit" $VALUE_BYTES
start_entries
set_switch task-ms=50
steps=
for s in $(seq 0 $((STEPS - 1)))
do
	steps="$steps${steps:+,}{\"count\":$TASKS,\"cpu\":25,\"memMb\":10,\"estimateMs\":100"
	[ "$s" -gt 0 ] && steps="$steps,\"after\":[$((s - 1))]"
	steps="$steps}"
done
status=$(call POST 1 $id 4 "{\"spec\":\"settle\",\"steps\":[$steps]}")
note "POST $id, $STEPS steps of $TASKS tasks: $status"
[ "$status" = 200 ] || cannot_run "the job is not accepted"

# Small jobs of other clients, one each second, until the large one is done or
# stands still.
accepted=$id
still=0
before=-1
for k in $(seq 45)
do
	small=$(printf 'f%015x' "$k")
	status=$(call POST $((1 + k % 3)) "$small" 4 "$job")
	[ "$status" = 200 ] && accepted="$accepted $small"
	state=$(state 1 $id)
	starts=$(judge starts)
	note "POST $small: $status; $id: $state, all starts $starts"
	[ "$state" = completed ] && break
	[ "$starts" = "$before" ] && still=$((still + 1)) || still=0
	[ $still = 3 ] && break
	before=$starts
	sleep 1
done
note "the end of the traffic"
sleep $FINISH_S
started=$(judge starts)
finished=$(judge finished)
sleep 3
note "executors: $started starts, $finished of them done, and $(judge starts) starts 3 s later"
broken=0
for job_id in $accepted
do
	state=$(state 2 "$job_id")
	[ "$state" = completed ] && continue
	note "GET $job_id: '$state', $(runs "$job_id" | awk '{ n += $2 } END { print n + 0 }') starts"
	[ "$started" = "$finished" ] && [ "$(judge starts)" = "$started" ] &&
		broken=1
done
[ $broken = 1 ] && note "DELETE $id: $(call DELETE 2 $id 4)"
[ -s "$work/value_limit.log" ] && note "store: $(cat "$work/value_limit.log")"
note "LOST $([ $broken = 1 ] && echo broken || echo held)"
exit $broken
