# Functions of the scripts in review/6 to review/10: they start the stand-in and
# entries on loopback addresses, and send requests.  Sourced from the folder of a
# case.  Each process that is started here is ended by its id.

set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$case_dir/../.." && pwd)
cd "$top" || exit 2
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d) || exit 2
record=$case_dir/record.txt
pids=
: >"$record"

test -x build/review-2/standin-review && test -x target/cactusfield-node || {
	echo "build target/cactusfield-node and run review/build-2.sh first"
	exit 2
}

finish() {
	for pid in $pids
	do
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	sleep 0.2
	for pid in $pids
	do
		kill -9 "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

say() {
	echo "$*"
	echo "          $*" >>"$record"
}

# verdict CODE TEXT: end the case.
verdict() {
	say "$2"
	exit "$1"
}

# start_platform ARGUMENTS: start the stand-in on a block of free ports.
start_platform() {
	block=$(($$ % 20))
	tries=0
	while test $tries -lt 20
	do
		PORT=$((20000 + block * 100))
		build/review-2/standin-review --port=$PORT --record="$record" \
			"$@" 2>"$work/standin.log" &
		standin=$!
		pids="$pids $standin"
		waited=0
		while kill -0 $standin 2>/dev/null && test $waited -lt 30
		do
			curl -s -m 1 "http://127.0.0.1:$PORT/judge" |
				grep -q '"twice"' && sleep 0.2 &&
				kill -0 $standin 2>/dev/null && return
			sleep 0.1
			waited=$((waited + 1))
		done
		kill $standin 2>/dev/null
		block=$(((block + 1) % 20))
		tries=$((tries + 1))
	done
	verdict 2 "no free ports"
}

# start_node N: start entry N with the settings that platform/settings.template
# gives on a small deployment.  With GATES=1 it reaches the store at an address of
# its own, where the stand-in can turn it away.
start_node() {
	store=$((PORT + ${GATES:-0} * (80 + $1)))
	cat >"$work/node-$1.json" <<END
{"name": "edge-$1", "availability_zone": "z$1",
"callers": "127.0.0.1:$((PORT + 40 + $1))",
"ready": "127.0.0.1:$((PORT + 50 + $1))",
"peers": "127.0.0.1:$((PORT + 60 + $1))",
"metrics": "127.0.0.1:$((PORT + 70 + $1))",
"store": "127.0.0.1:$store", "instances": "127.0.0.1:$PORT",
"processor_cores": 0.25, "lease_max_ms": 6000, "stop_timeout_ms": 200,
"drain_ms": 2000, "grace_s": 6, "keep_s": 120, "store_ttl_min_ms": 1000}
END
	CACTUSFIELD_NODE_FILE=$work/node-$1.json target/cactusfield-node \
		>>"$work/node-$1.log" 2>&1 &
	eval "node_$1=$!"
	pids="$pids $!"
}

node_pid() {
	eval "echo \$node_$1"
}

configure() {
	curl -s -d "$1" "http://127.0.0.1:$PORT/operator?key=op/config"
}

# until_is WANT COMMAND...: run COMMAND until it prints WANT, at most 15 s.
until_is() {
	want=$1
	shift
	waited=0
	while test $waited -lt 150
	do
		test "$("$@" 2>/dev/null)" = "$want" && return 0
		sleep 0.1
		waited=$((waited + 1))
	done
	return 1
}

ready() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"http://127.0.0.1:$((PORT + 50 + $1))/v1/readyz"
}

# start_all ARGUMENTS: the stand-in and three entries, ready and configured.
start_all() {
	start_platform "$@"
	configure "$CONFIG"
	for n in 1 2 3
	do
		start_node $n
	done
	for n in 1 2 3
	do
		until_is 200 ready $n || verdict 2 "entry $n is not ready"
	done
	until_is 200 submit 1 "$(id 4095)" "ms=50 cpu=100" 1 100 ||
		verdict 2 "no job is accepted"
	until_is completed state 2 "$(id 4095)" ||
		verdict 2 "no job is completed"
}

id() {
	printf '%016x' "$1"
}

# request METHOD N PATH [DATA]: a client's request to entry N; prints the status
# and the body.
request() {
	if test $# -gt 3
	then
		printf '%s' "$4" >"$work/body"
		set -- "$1" "$2" "$3" --data-binary "@$work/body"
	fi
	method=$1
	at=http://127.0.0.1:$((PORT + 40 + $2))$3
	shift 3
	curl -s -m 5 -X "$method" -H 'Host: desk.example' \
		-H 'X-Deadline-Ms: 3000' -H 'Content-Type: application/json' \
		-w ' %{http_code}' "$@" "$at"
}

# submit_steps N ID SPEC STEPS: print the status of a submit.
submit_steps() {
	got=$(request POST "$1" "/jobs/$2" \
		"{\"spec\":\"$3\",\"steps\":$4}")
	echo "          submit $2 to entry $1 ($3): $got" >>"$record"
	echo "${got##* }"
}

# submit N ID SPEC COUNT CPU: a job of one step.
submit() {
	submit_steps "$1" "$2" "$3" \
		"[{\"count\":$4,\"cpu\":$5,\"memMb\":64,\"estimateMs\":1000}]"
}

state() {
	request GET "$1" "/jobs/$2" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

judge() {
	curl -s -m 2 "http://127.0.0.1:$PORT/judge" |
		sed -n "s/.*\"$1\":\"\{0,1\}\([^,}\"]*\).*/\1/p"
}

control() {
	curl -s -m 2 -d x "http://127.0.0.1:$PORT/ctl?$1"
}

workers() {
	curl -s -m 2 "http://127.0.0.1:$PORT/workers"
}

CONFIG='{"version":3,"routes":[{"name":"jobs","host":"desk.example","prefix":"/jobs/","service":"desk","attempts":3,"stretch":50,"targetLatencyMs":20000,"priority":0}],"services":[{"name":"desk","admissionCheck":true},{"name":"spare","admissionCheck":true,"spare":true}],"limits":{}}'
