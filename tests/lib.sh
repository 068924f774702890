# Functions for system tests: they start the stand-in, entries and load.
# Sourced.
#
# Every process started here is ended by its id when the script exits.

set -u
top=$(cd "$(dirname "$0")/.." && pwd)
OUT=${OUT:-build/plain}
case $OUT in /*) ;; *) OUT=$top/$OUT ;; esac
work=$(mktemp -d)
pids=
standin_pid=
ENTRIES=
KEY=0123456789abcdef0123456789abcdef
LOAD_KEY=operators-0123456789abcdef
CACTUSFIELD_KEY_FILE=$work/operators.key
export LOAD_KEY CACTUSFIELD_KEY_FILE
echo $LOAD_KEY >"$CACTUSFIELD_KEY_FILE"

. "$(dirname "$0")/ends.sh"

# start_standin ZONE:COUNT... : start the stand-in on a block of free ports.
start_standin() {
	zone_args=
	for zone
	do
		zone_args="$zone_args --zone=$zone"
	done
	block=$(($$ % 70))
	tries=0
	while test $tries -lt 20
	do
		PORTS=$((10000 + block * 300))
		# One log per attempt: output of an attempt that was given up
		# must not be taken for that of the next one.
		log=$work/standin-$tries.log
		# shellcheck disable=SC2086
		"$OUT/standin/standin" --port=$PORTS --base=$((PORTS + 100)) \
			$zone_args ${STANDIN_ARGS:-} >"$log" 2>&1 &
		standin_pid=$!
		await_standin "$log" && return 0
		block=$(((block + 7) % 70))
		tries=$((tries + 1))
	done
	echo "no stand-in could be started" >&2
	cat "$work"/standin-*.log >&2
	exit 1
}

# await_standin LOG: wait until the stand-in serves, and end it if it does not
# within a minute.  Its 2,300 threads need that long on a busy machine with the
# thread sanitizer.
await_standin() {
	waited=0
	while test $waited -lt 1200
	do
		grep -q "^standin ready" "$1" && return 0
		is_ours $standin_pid || break
		sleep 0.05
		waited=$((waited + 1))
	done
	is_ours $standin_pid && kill $standin_pid
	wait $standin_pid 2>/dev/null
	return 1
}

get() {
	"$OUT/load/load" get "127.0.0.1:$1" "$2"
}

# switch QUERY: set a fault switch of the stand-in.
switch() {
	get $PORTS "/switch?$1" >/dev/null || {
		echo "the stand-in knows no switch $1" >&2
		exit 1
	}
}

caller_port() { echo $((PORTS + 10 + $1)); }
operators_port() { echo $((PORTS + 40 + $1)); }
peer_port() { echo $((PORTS + 70 + $1)); }

# start_entry NUMBER ZONE ZONE_NUMBER [SETTING...]: start entry-NUMBER.  Further
# settings are JSON members with a trailing comma.
start_entry() {
	seeds=
	for other in 1 2 3
	do
		seeds="$seeds\"127.0.0.1:$(peer_port $other)\","
	done
	cat >"$work/entry-$1.json" <<-END
	{"name": "entry-$1", "zone": "$2",
	 "caller": {"address": "127.0.0.1", "port": $(caller_port "$1"),
	            "threads": ${CALLER_THREADS:-64}},
	 "operators": {"address": "127.0.0.1", "port": $(operators_port "$1"),
	               "key": "$LOAD_KEY"},
	 "peer": {"address": "127.0.0.1", "port": $(peer_port "$1"),
	          "key": "$KEY", "seeds": [${seeds%,}],
	          "test_cuts": 1},
	 "store": {"address": "127.0.0.1", "port": $((PORTS + $3))},
	 "list": {"address": "127.0.0.1", "port": $((PORTS + $3))},
	 ${4:-}
	 "balancer_lag_ms": 600, "log_level": "info"}
	END
	"$OUT/cactusfieldd" --settings "$work/entry-$1.json" \
		2>>"$work/entry-$1.log" &
	eval "pid_$1=$!"
	pids="$pids $!"
	ENTRIES="$ENTRIES $1"
}

entry_pid() { eval "echo \$pid_$1"; }

# kill_entry NUMBER: kill the entry and wait for its exit, so that its ports are
# free.
kill_entry() {
	kill -9 "$(entry_pid "$1")"
	wait "$(entry_pid "$1")"
}

# wait_until SECONDS COMMAND...: retry COMMAND until it succeeds; fails after
# SECONDS.
wait_until() {
	left=$(($1 * 10))
	shift
	while ! "$@" >/dev/null 2>&1
	do
		left=$((left - 1))
		test $left -gt 0 || return 1
		sleep 0.1
	done
}

entry_ready() { get "$(operators_port "$1")" /readyz; }

wait_ready() {
	for number in $ENTRIES
	do
		wait_until 30 entry_ready "$number" || {
			echo "entry-$number is not ready" >&2
			cat "$work/entry-$number.log" >&2
			exit 1
		}
	done
}

# Print the options of the load generator that name all entries.
targets() {
	for number in $ENTRIES
	do
		echo "--target=127.0.0.1:$(caller_port "$number")@127.0.0.1:$(operators_port "$number")"
	done
}

# Print the options of the operators' tool that name all entries.
operators() {
	for number in $ENTRIES
	do
		echo "--entry=127.0.0.1:$(operators_port "$number")"
	done
}

# approve ANSWERS BASE: generate a configuration and approve it against
# generation BASE.
approve() {
	"$OUT/cactusfield" config generate "$1" >"$work/config-$2.json" || exit 1
	"$OUT/cactusfield" config approve --store=127.0.0.1:$PORTS \
		--base="$2" "$work/config-$2.json"
}

# in_force GENERATION: whether every entry has it in force.
in_force() {
	for number in $ENTRIES
	do
		get "$(operators_port "$number")" /status |
			grep -q "\"generation\": *$1[,}]" || return 1
	done
}
