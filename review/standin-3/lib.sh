# Functions for the scripts of the third review: they start the store's
# stand-in, executors, the list of machines and entries as processes of their
# own, and end them by their ids.  Sourced by review/N/run.sh, which sets
# EXECUTORS (how many), MODE (arguments of an executor), and STRETCH and TARGET
# of the queue, where others than these are wanted.

here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
cd "$top" || exit 2
bin=$top/build/review-3
node=target/cactusfield-node # as in the deploy file
work=$(mktemp -d)
record=$here/record.txt
TROUBLE=${TROUBLE:-1}
EXECUTORS=${EXECUTORS:-9}
ENTRIES=${ENTRIES:-3}
started=

: >"$record"

say() {
	printf '%s %s\n' "$(date +%s.%3N)" "$*" >>"$record"
}

end_all() {
	for pid in $started
	do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if test -f "$work/runs.log"
	then
		echo "runs of the executors:" >>"$record"
		head -n "${RUN_LINES:-2000}" "$work/runs.log" >>"$record"
	fi
	rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

# finish STATUS TEXT: note the verdict and end.
finish() {
	say "verdict: $2"
	echo "$2"
	exit "$1"
}

for program in "$bin/executor3" "$bin/standin-platform" "$node"
do
	test -x "$program" || finish 2 "there is no $program"
done

# is_free FIRST: whether nothing listens on the ports that the script uses.
is_free() {
	for offset in 0 1 40 70 81 82 83 101 102 103
	do
		# A hexadecimal port in the local address of a listening socket.
		grep -qi "$(printf ':%04X 00000000:0000 0A' $(($1 + offset)))" \
			/proc/net/tcp && return 1
	done
	return 0
}

choose_ports() {
	PORT=$((20000 + $$ % 60 * 150))
	tries=0
	while ! is_free $PORT
	do
		PORT=$((20000 + (PORT - 20000 + 150) % 9000))
		tries=$((tries + 1))
		test $tries -lt 60 || finish 2 "no free ports"
	done
}

# put KEY TEXT: write to the store as the operator or an executor does.
put() {
	curl -s -m 5 -o /dev/null --data-binary "$2" \
		"http://127.0.0.1:$PORT/operator?key=$1"
}

zone_of() {
	set -- $(($1 % 3))
	test "$1" = 0 && echo suva-rack && return
	test "$1" = 1 && echo nausori-rack && return
	echo lautoka-rack
}

# list_machines: the list of the platform, with the machines in $down as down.
list_machines() {
	text=
	n=1
	while test $n -le "$EXECUTORS"
	do
		state=up
		case " $down " in *" $n "*) state=down ;; esac
		text="$text${text:+,}{\"machine\":\"m-$n\",\"pool\":\"gate-desk\",\"state\":\"$state\",\"zone\":\"$(zone_of $n)\",\"labels\":[\"a\",\"r$((n / 4))\"],\"capacity\":{\"cpu\":64000,\"memMb\":262144,\"gpu\":0},\"id\":\"i-59c0a1b2c$n\"}"
		n=$((n + 1))
	done
	echo "{\"machines\":[$text]}" >"$work/machines.new"
	mv "$work/machines.new" "$work/machines.json"
}

# start_proxy N MS: a proxy before executor N, whose port is then BEHIND higher.
start_proxy() {
	"$bin/late3" --port=$((PORT + 1 + $1)) \
		--to=$((PORT + BEHIND + 1 + $1)) --log="$work/runs.log" \
		--after="$2" &
	eval "proxy_$1=$!"
	started="$started $!"
}

# start_executor N: it registers itself, as after a restart under its id.
start_executor() {
	"$bin/executor3" --port=$((PORT + ${BEHIND:-0} + 1 + $1)) \
		--id="i-59c0a1b2c$1" --log="$work/runs.log" ${MODE:-} &
	eval "executor_$1=$!"
	started="$started $!"
	put "servers/i-59c0a1b2c$1" "{\"service\":\"gate-desk\",\"address\":\"127.0.0.1:$((PORT + 1 + $1))\",\"zone\":\"$(zone_of "$1")\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"capacity\":{\"cpu\":64000,\"memMb\":262144,\"gpu\":0},\"labels\":[\"a\",\"r$(($1 / 4))\"]}"
}

# crash_executor N: it sends nothing; its machine is listed as down.
crash_executor() {
	eval "victim=\$executor_$1"
	kill -9 "$victim"
	wait "$victim" 2>/dev/null
	down="$down $1"
	list_machines
}

# restart_executor N: the next life of a crashed executor, under its id.
restart_executor() {
	down=$(echo " $down " | sed "s/ $1 / /")
	start_executor "$1"
	list_machines
}

# start_entry N: entry N with the settings that the template makes of those of
# a small site.
start_entry() {
	cat >"$work/entry-$1.json" <<END
{"name": "edge-$1", "availability_zone": "$(zone_of "$1")",
"callers": "127.0.0.1:$((PORT + 80 + $1))",
"ready": "127.0.0.1:$((PORT + 90 + $1))",
"peers": "127.0.0.1:$((PORT + 100 + $1))",
"metrics": "127.0.0.1:$((PORT + 110 + $1))",
"store": "127.0.0.1:$PORT", "instances": "127.0.0.1:$((PORT + 40))",
"instance_orders_per_s": 64.0, "advice": "127.0.0.1:$((PORT + 40))", "remote_penalty": 2, "processor_cores": 0.25,
"lease_max_ms": 10000, "stop_timeout_ms": 200, "drain_ms": 2000,
"grace_s": 6.0, "keep_s": 120, "store_ttl_min_ms": 1000,
"store_value_bytes": 1048576}
END
	CACTUSFIELD_NODE_FILE="$work/entry-$1.json" "$node" \
		>>"$work/entry-$1.log" 2>&1 &
	eval "entry_$1=$!"
	started="$started $!"
}

ready() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"http://127.0.0.1:$((PORT + 90 + $1))/v1/readyz"
}

# holder: the number of the entry that says that it is the holder.
holder() {
	n=1
	while test $n -le "$ENTRIES"
	do
		curl -s -m 2 "http://127.0.0.1:$((PORT + 110 + n))/metrics" |
			grep -q '^cactusfield_is_holder 1' && echo $n && return
		n=$((n + 1))
	done
}

# start_site ATTEMPTS: all of it, until an entry decides.
start_site() {
	down=
	choose_ports
	"$bin/standin-platform" --port=$PORT --workers=0 2>>"$work/store.log" &
	started="$started $!"
	tries=0
	until put op/config "{\"version\":3,\"routes\":[{\"name\":\"slot-ask\",\"host\":\"gate.example\",\"prefix\":\"/slot/\",\"service\":\"gate-desk\",\"attempts\":$1,\"stretch\":${STRETCH:-50},\"targetLatencyMs\":${TARGET:-20000},\"priority\":0${ADVICE:-}}],\"services\":[{\"name\":\"gate-desk\",\"admissionCheck\":true}]}"
	do
		sleep 0.1
		tries=$((tries + 1))
		test $tries -lt 50 || finish 2 "the store does not start"
	done
	list_machines
	"$bin/executor3" --port=$((PORT + 40)) --log="$work/runs.log" \
		--machines="$work/machines.json" ${ADVISES:-} &
	started="$started $!"
	n=1
	while test $n -le "$EXECUTORS"
	do
		test -z "${BEHIND:-}" || start_proxy $n "$AFTER"
		start_executor $n
		n=$((n + 1))
	done
	n=1
	while test $n -le "$ENTRIES"
	do
		start_entry $n
		n=$((n + 1))
	done
	tries=0
	until test -n "$(holder)" && test "$(ready 1)" = 200
	do
		sleep 0.1
		tries=$((tries + 1))
		test $tries -lt 150 || finish 2 "no entry decides"
	done
	sleep 2
	say "the site runs: store at $PORT, holder entry $(holder)"
}

# submit ENTRY ID BODY: prints the status and notes it.
submit() {
	status=$(printf '%s' "$3" | curl -s -m 4 -o /dev/null \
		-w '%{http_code}' -H 'Host: gate.example' \
		-H 'Content-Type: application/json' -H 'X-Deadline-Ms: 3000' \
		--data-binary @- "http://127.0.0.1:$((PORT + 80 + $1))/slot/$2")
	say "POST $2 at entry $1: $status"
	echo "$status"
}

# state ENTRY ID: the state that a GET shows, or its status.
state() {
	answer=$(curl -s -m 4 -w ' %{http_code}' -H 'Host: gate.example' \
		-H 'X-Deadline-Ms: 3000' \
		"http://127.0.0.1:$((PORT + 80 + $1))/slot/$2")
	said=$(echo "$answer" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p')
	echo "${said:-${answer##* }}"
}
