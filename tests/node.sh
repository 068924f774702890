# Functions for tests on the platform's stand-in: they start it and entries, and
# send requests.  Sourced.  Every process started here is ended by its id.

set -u
top=$(cd "$(dirname "$0")/.." && pwd)
OUT=${OUT:-build/plain}
case $OUT in /*) ;; *) OUT=$top/$OUT ;; esac
work=$(mktemp -d)
pids=

standin_pid=
CACTUSFIELD_KEY_FILE=$work/operators.key
export CACTUSFIELD_KEY_FILE
echo operators-0123456789abcdef >"$CACTUSFIELD_KEY_FILE"
. "$(dirname "$0")/ends.sh"

# start_platform WORKERS: start the stand-in on a block of free ports, above the
# ports that lib.sh uses and below the system's ephemeral ports.
start_platform() {
	block=$(($$ % 12))
	tries=0
	while test $tries -lt 12
	do
		PORT=$((31000 + block * 140))
		"$OUT/standin/standin-platform" --port=$PORT --workers="$1" \
			--run=$$ 2>>"$work/standin.log" &
		standin=$!
		standin_pid=$standin
		waited=0
		while test $waited -lt 100
		do
			is_ours $standin || break
			# Another test's stand-in may use that port.
			test "$(judge run)" = $$ && return 0
			sleep 0.1
			waited=$((waited + 1))
		done
		end_processes $standin
		block=$(((block + 1) % 12))
		tries=$((tries + 1))
	done
	echo "Bail out! no ports for the stand-in"
	exit 1
}

# tell_state: after a failed check, print which processes still run and the last
# lines of all logs.  Bails out if the stand-in has ended, since the rest of the
# test would be meaningless.
tell_state() {
	for pid in $pids $standin_pid
	do
		if is_ours "$pid"
		then
			echo "# process $pid runs"
		else
			echo "# process $pid has ended"
		fi
	done
	for log in "$work"/*.log
	do
		echo "# $(basename "$log"):"
		tail -n 5 "$log" | cut -c1-300 | sed 's/^/# /'
	done
	is_ours "$standin" && return
	echo "Bail out! the stand-in has ended"
	exit 1
}

# start_node N: start entry N, which listens for callers at PORT + 80 + N.
start_node() {
	cat >"$work/node-$1.json" <<END
{"name": "edge-$1", "availability_zone": "z$1",
"callers": "127.0.0.1:$((PORT + 80 + $1))",
"ready": "127.0.0.1:$((PORT + 90 + $1))",
"peers": "127.0.0.1:$((PORT + 100 + $1))",
"metrics": "127.0.0.1:$((PORT + 110 + $1))",
"seeds": ["127.0.0.1:$((PORT + 101))", "127.0.0.1:$((PORT + 102))"],
"store": "127.0.0.1:$((PORT + ${STORE:-0}))", "instances": "127.0.0.1:$PORT",
"advice": "127.0.0.1:$PORT", "processor_cores": ${CORES:-0.25},
"lease_max_ms": 6000, "keep_s": ${KEEP_S:-10},
"revoke_bound_ms": ${REVOKE_MS:-0}}
END
	"$OUT/cactusfield-node" --settings="$work/node-$1.json" \
		>>"$work/node-$1.log" 2>&1 &
	eval "node_$1=$!"
	pids="$pids $!"
}

node_pid() {
	eval "echo \$node_$1"
}

# ended N: wait for the exit of entry N.
ended() {
	wait "$(node_pid "$1")" 2>/dev/null
}

# until_is WANT COMMAND...: run COMMAND until it prints WANT, at most 600 times
# with 0.1 s between, and print its last output.
until_is() {
	want=$1
	shift
	waited=0
	while test $waited -lt 600
	do
		got=$("$@" 2>/dev/null)
		test "$got" = "$want" && break
		sleep 0.1
		waited=$((waited + 1))
	done
	echo "$got"
}

ready() {
	curl -s -m 5 -o /dev/null -w '%{http_code}' \
		"http://127.0.0.1:$((PORT + 90 + $1))/v1/readyz"
}

configure() {
	curl -s -d "$1" "http://127.0.0.1:$PORT/operator?key=op/config"
}

# submit N ID [SPEC [COUNT]]: submit a job to entry N and print the HTTP status.
submit() {
	curl -s -m 10 -o /dev/null -w '%{http_code}' \
		-H 'Host: desk.example' -H 'X-Deadline-Ms: 3000' \
		-d "{\"spec\":\"${3:-x}\",\"steps\":[{\"count\":${4:-3},\"cpu\":500,\"memMb\":100,\"estimateMs\":300},{\"count\":2,\"cpu\":500,\"memMb\":100,\"estimateMs\":300,\"after\":[0]}]}" \
		"http://127.0.0.1:$((PORT + 80 + $1))/jobs/$2"
}

# submit_patient N ID: submit with a deadline of 50 s and print the HTTP status,
# 000 for no answer.
submit_patient() {
	curl -s -m 60 -o /dev/null -w '%{http_code}' \
		-H 'Host: desk.example' -H 'X-Deadline-Ms: 50000' \
		-d '{"spec":"x","steps":[{"count":1,"cpu":500}]}' \
		"http://127.0.0.1:$((PORT + 80 + $1))/jobs/$2"
}

# submit_kept N ID [SPEC [COUNT]]: submit, retry until the job is accepted, and
# print the last HTTP status.
submit_kept() {
	until_is 200 submit "$1" "$2" "${3:-x}" "${4:-3}"
}

state() {
	curl -s -m 10 -H 'Host: desk.example' \
		"http://127.0.0.1:$((PORT + 80 + $1))/jobs/$2" |
		sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

status_of() {
	curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
		"$@"
}

judge() {
	curl -s "http://127.0.0.1:$PORT/judge" |
		sed -n "s/.*\"$1\":\"\{0,1\}\([^,}\"]*\).*/\1/p"
}

set_switch() {
	curl -sf -d x "http://127.0.0.1:$PORT/switch?$1" && return
	echo "Bail out! the stand-in knows no switch $1"
	exit 1
}

# holder: print the number of every entry whose metrics say that it is the
# holder.
holder() {
	for n in 1 2 3
	do
		curl -s -m 2 "http://127.0.0.1:$((PORT + 110 + n))/metrics" |
			grep -q '^cactusfield_is_holder 1' && echo $n
	done
}

has_holder() {
	test -n "$(holder)" && echo yes
}

# ask VERB N ARGUMENT...: run the operators' tool against entry N.
ask() {
	verb=$1
	at=$((PORT + 110 + $2))
	shift 2
	"$OUT/cactusfield" "$verb" --entry=127.0.0.1:$at "$@" 2>&1
}

CONFIG='{"version":3,"routes":[{"name":"jobs","host":"desk.example","prefix":"/jobs/","service":"desk","attempts":2,"stretch":50,"targetLatencyMs":20000,"priority":0}],"services":[{"name":"desk","admissionCheck":true},{"name":"spare","admissionCheck":true,"spare":true}]}'
