# Functions of the review's scripts: they start the platform's stand-in,
# executors and entries as processes on loopback, and end each by its id.
# Sourced by run.sh of a case, in whose folder record.txt is written.
# TROUBLE=0 leaves the disruption out.
# shellcheck shell=sh

set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
pids=
record=$here/record.txt
: >"$record"

# The case could not run.
give_up() {
	note "the case could not run: $1"
	exit 2
}

now_ms() {
	date +%s%3N
}

# Add a line to the record.
note() {
	echo "$(now_ms) test $*" >>"$record"
	echo "$*"
}

# Whether process $1 is a child of this script.
is_ours() {
	test "$(sed -n 's/^PPid:[[:space:]]*//p' "/proc/$1/status" 2>/dev/null)" = $$
}

end_all() {
	for pid in $pids
	do
		is_ours "$pid" || continue
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	cat "$work"/executor-*.log 2>/dev/null >>"$record"
	grep ' platform ' "$work/platform.log" >>"$record"
	sort -n -k 1,1 -s -o "$record" "$record"
	if test "${KEEP:-0}" = 0
	then
		rm -rf "$work"
	else
		echo "kept: $work"
	fi
}
trap end_all EXIT
trap 'exit 2' INT TERM

test -x "$top/target/cactusfield-node" -a -x "$top/review/out/rv-platform" ||
	give_up "build first: make OUT=target target/cactusfield-node; review/build.sh"

# start_platform: on a block of 100 free ports, PORT is the first.
start_platform() {
	tries=0
	while test $tries -lt 20
	do
		PORT=$((20000 + ($$ + tries * 37) % 110 * 100))
		"$top/review/out/rv-platform" $PORT "${SPARES:-0}" >"$work/platform.log" 2>&1 &
		platform=$!
		pids="$pids $platform"
		sleep 0.2
		is_ours $platform && return
		tries=$((tries + 1))
	done
	give_up "no ports for the stand-in"
}

# start_executor N ID SERVICE KIND RACK CPU MEMORY: listens at PORT + 40 + N.
start_executor() {
	"$top/review/out/rv-executor" "$PORT" $((PORT + 40 + $1)) "$2" "$3" \
		"$4" "$5" "$6" "$7" >>"$work/executor-$1.log" 2>&1 &
	eval "executor_$1=$!"
	pids="$pids $!"
}

executor_pid() {
	eval "echo \$executor_$1"
}

# start_entry N: listens for clients at PORT + N.  The settings are what
# platform/settings.template makes of a small site's.
start_entry() {
	cat >"$work/entry-$1.json" <<END
{
"name": "edge-$1",
"availability_zone": "z1",
"callers": "127.0.0.1:$((PORT + $1))",
"ready": "127.0.0.1:$((PORT + 10 + $1))",
"peers": "127.0.0.1:$((PORT + 20 + $1))",
"metrics": "127.0.0.1:$((PORT + 30 + $1))",
"store": "127.0.0.1:$((PORT + 60 + $1))",
"instances": "127.0.0.1:$PORT",
"processor_cores": 0.25,
"lease_max_ms": 10000,
"stop_timeout_ms": 200,
"drain_ms": 2000,
"grace_s": 6,
"keep_s": 120,
"store_ttl_min_ms": 1000
}
END
	(
		cd "$top" &&
			CACTUSFIELD_NODE_FILE=$work/entry-$1.json \
				exec target/cactusfield-node
	) >>"$work/entry-$1.log" 2>&1 &
	eval "entry_$1=$!"
	pids="$pids $!"
}

entry_pid() {
	eval "echo \$entry_$1"
}

# ask PORT METHOD PATH [BODY]: print the body and, on the last line, the status.
ask() {
	"$top/review/out/rv-client" "$@"
}

# until_true SECONDS COMMAND...: whether the command succeeds in time.
until_true() {
	left=$(($1 * 20))
	shift
	while test $left -gt 0
	do
		"$@" && return 0
		sleep 0.05
		left=$((left - 1))
	done
	return 1
}

is_ready() {
	test "$(ask $((PORT + 10 + $1)) GET /v1/readyz | tail -n 1)" = 200
}

# Print the number of the entry that holds the duty.
holder() {
	for n in 1 2 3
	do
		is_holder $n && echo $n && return
	done
}

# Whether entry $1 holds the duty, as far as it knows.
is_holder() {
	ask $((PORT + 30 + $1)) GET /metrics |
		grep -q '^cactusfield_is_holder 1'
}

has_holder() {
	test -n "$(holder)"
}

# operator KEY TEXT: the operator writes a key.
operator() {
	note "operator writes $1 $2"
	ask "$PORT" POST "/operator?key=$1" "$2" >/dev/null
}

# tell_store PATH: an order of the test to the store.
tell_store() {
	ask "$PORT" POST "$1" x >/dev/null
	note "the store is told $1"
}

# submit ENTRY PATH BODY: prints the status.
submit() {
	status=$(ask $((PORT + $1)) POST "$2" "$3" | tail -n 1)
	echo "$(now_ms) client POST $2 at entry $1: $status; $3" >>"$record"
	echo "$status"
}

# cancel ENTRY PATH: prints the status.
cancel() {
	status=$(ask $((PORT + $1)) DELETE "$2" | tail -n 1)
	echo "$(now_ms) client DELETE $2 at entry $1: $status" >>"$record"
	echo "$status"
}

# state ENTRY PATH: prints the state, or the status if it is not 200.
state() {
	answer=$(ask $((PORT + $1)) GET "$2" | tr '\n' ' ')
	echo "$(now_ms) client GET $2 at entry $1: $answer" >>"$record"
	case $answer in
	*' 200 ') echo "$answer" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' ;;
	*) echo "$answer" | sed 's/ *$//; s/.* //' ;;
	esac
}

# start_site EXECUTORS: three entries, a configuration with the queue /jobs/ of
# the service "desk"; run.sh has defined start_executors.
start_site() {
	start_platform
	operator op/config "$CONFIG"
	start_executors
	for n in 1 2 3
	do
		start_entry $n
	done
	for n in 1 2 3
	do
		until_true 20 is_ready $n || give_up "entry $n is not ready"
	done
	until_true 20 has_holder || give_up "no entry holds the duty"
	sleep 2
}

CONFIG='{"version":3,"routes":[{"name":"jobs","host":"desk.example","prefix":"/jobs/","service":"desk","priority":0,"attempts":3,"stretch":2.2,"targetLatencyMs":2500}],"services":[{"name":"desk","admissionCheck":true}],"limits":{}}'
