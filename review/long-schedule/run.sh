#!/bin/sh
# A scheduled job runs its step again and again.  The row that the system keeps of
# it grows with each task that has run, and must not outgrow the longest value
# that the store takes, 1 MiB.  Each accepted job must be done in the end.
# TROUBLE=0: the schedule is half as long.
. "$(dirname "$0")/../lib.sh"

ID=00000000000000a7
COUNT=40
INTERVAL_MS=60
FINISH_S=14
REPEAT=1250
test "$TROUBLE" = 0 && REPEAT=600

start_executors() {
	for n in 1 2 3
	do
		start_executor $n i-desk-$n desk a r1 64000 262144
	done
}

# Small jobs of three steps, about one a second.
job_id() {
	printf 'd%015x' "$1"
}

start_site
start=$(($(now_ms) + 500))
status=$(submit 1 /jobs/$ID '{"spec":"cpu=10 mem=10 ms=20","repeatCount":'$REPEAT',"startAtMs":'$start',"intervalMs":'$INTERVAL_MS',"steps":[{"count":'$COUNT',"cpu":10,"memMb":10,"estimateMs":20}]}')
test "$status" = 200 || give_up "the scheduled job was not accepted: $status"
end=$((start + REPEAT * INTERVAL_MS + 4000))
accepted=
i=0
while test "$(now_ms)" -lt $end
do
	i=$((i + 1))
	status=$(submit 2 "/jobs/$(job_id $i)" '{"spec":"cpu=1000 mem=10 ms=700","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":700},{"count":1,"cpu":1000,"memMb":10,"estimateMs":700,"after":[0]},{"count":1,"cpu":1000,"memMb":10,"estimateMs":700,"after":[1]}]}')
	test "$status" = 200 && accepted="$accepted $i"
	sleep 0.9
done
last=$(now_ms)
note "handed in: $((i + 1)) jobs; tasks of the scheduled job that have run: $(cat "$work"/executor-*.log | grep -c " end $ID.* done") of $((REPEAT * COUNT))"
sleep $FINISH_S
unfinished=0
for i in $accepted
do
	test "$(state 2 "/jobs/$(job_id "$i")")" = completed ||
		unfinished=$((unfinished + 1))
done
shown=$(state 2 /jobs/$ID)
starts=$(cat "$work"/executor-*.log | awk -v from=$((last + 8000)) '$3 == "start" && $1 > from' | wc -l)
note "$FINISH_S s after the last one: accepted small jobs that are not done: $unfinished; the scheduled job is shown as $shown, $(cat "$work"/executor-*.log | grep -c " end $ID.* done") of $((REPEAT * COUNT)) tasks have run; starts in the last seconds: $starts"
note "changes that the store refused as too long: $(grep -c 'too long' "$work/platform.log")"
if test $unfinished -gt 0 -a "$starts" = 0
then
	note "LOST is broken"
	exit 1
fi
test $unfinished = 0 || give_up "the system has not kept up"
note "LOST held"
exit 0
