# Functions of review/6.  Sourced by its run.sh, which sets "case_dir" and
# "standin".  Starts the platform's stand-in and entries with the command of the
# deploy file, on free loopback ports.  Every process that is started here is
# ended by its id.

set -u
top=$(cd "$case_dir/../.." && pwd)
record=$case_dir/record.txt
work=$(mktemp -d)
pids=
: >"$record"

# Exits with 2: the case could not run.
cannot_run() {
	note "could not run: $*"
	exit 2
}

# Milliseconds since the machine was started, as the stand-in counts them.
clock_ms() {
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

note() {
	echo "$(clock_ms) ms: $*" | tee -a "$record"
}

end_all() {
	for pid in $pids
	do
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if [ "${KEEP:-0}" = 1 ]
	then
		echo "kept: $work"
	else
		rm -rf "$work"
	fi
}
trap end_all EXIT
trap 'exit 2' INT TERM

for program in "$top/target/cactusfield-node" "$standin"
do
	[ -x "$program" ] || cannot_run "$(basename "$program") is not built"
done

# start_platform WORKERS: takes a block of ports in which the stand-in starts.
start_platform() {
	local block tries
	for tries in 1 2 3 4 5 6 7 8 9 10
	do
		block=$(((RANDOM + $$) % 80))
		PORT=$((19000 + block * 150))
		"$standin" --port=$PORT --workers="$1" --run=$$ \
			2>>"$work/standin.log" &
		standin_pid=$!
		for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20
		do
			sleep 0.1
			kill -0 $standin_pid 2>/dev/null || break
			if curl -s -m 1 "http://127.0.0.1:$PORT/judge" |
				grep -q "\"run\":\"$$\""
			then
				pids="$pids $standin_pid"
				return
			fi
		done
		kill $standin_pid 2>/dev/null
		wait $standin_pid 2>/dev/null
	done
	cannot_run "no free ports"
}

# start_entry N: an entry that listens for callers at PORT + 80 + N.  The
# settings have the form of platform/settings.template.
start_entry() {
	cat >"$work/entry-$1.json" <<END
{"name": "edge-$1", "availability_zone": "zone-$1",
"callers": "127.0.0.1:$((PORT + 80 + $1))",
"ready": "127.0.0.1:$((PORT + 90 + $1))",
"peers": "127.0.0.1:$((PORT + 100 + $1))",
"metrics": "127.0.0.1:$((PORT + 110 + $1))",
"store": "127.0.0.1:$PORT", "instances": "127.0.0.1:$PORT",
"advice": "127.0.0.1:$PORT", "processor_cores": 0.25,
"lease_max_ms": 6000, "stop_timeout_ms": 200, "drain_ms": 2000,
"grace_s": 6, "keep_s": 120, "store_ttl_min_ms": 1000}
END
	(
		cd "$top" || exit 2
		CACTUSFIELD_NODE_FILE=$work/entry-$1.json
		export CACTUSFIELD_NODE_FILE
		exec target/cactusfield-node >>"$work/entry-$1.log" 2>&1
	) &
	eval "entry_$1=$!"
	pids="$pids $!"
}

entry_pid() {
	eval "echo \$entry_$1"
}

# The operator's configuration: one queue, as on a small site.
configure() {
	curl -s -m 2 "http://127.0.0.1:$PORT/operator?key=op/config" -d \
		'{"version":3,"routes":[{"name":"quotes","host":"desk.example","prefix":"/quotes/","service":"desk","attempts":4,"stretch":50,"targetLatencyMs":20000,"priority":0}],"services":[{"name":"desk","admissionCheck":true},{"name":"spare","admissionCheck":true,"spare":true}]}' ||
		cannot_run "the stand-in takes no configuration"
}

# set_switch NAME=VALUE: of the stand-in.
set_switch() {
	curl -sf -m 2 -d x "http://127.0.0.1:$PORT/switch?$1" ||
		cannot_run "the stand-in knows no switch $1"
}

# holder: the number of the entry that decides, among 1 to 3.
holder() {
	for n in 1 2 3
	do
		curl -s -m 2 "http://127.0.0.1:$((PORT + 110 + n))/metrics" |
			grep -q '^cactusfield_is_holder 1' && echo $n
	done
}

# call METHOD N ID SECONDS [BODY]: a client's request to entry N, which it gives
# up after SECONDS; prints the status, 000 for no answer.
call() {
	curl -s -m "$4" -o "$work/body" -w '%{http_code}' -X "$1" \
		-H 'Host: desk.example' -H 'X-Deadline-Ms: 3000' \
		-H 'Content-Type: application/json' ${5:+-d "$5"} \
		"http://127.0.0.1:$((PORT + 80 + $2))/quotes/$3"
}

# state N ID
state() {
	call GET "$1" "$2" 4 >/dev/null
	sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' "$work/body"
}

# runs ID: what the executors say of the job's tasks, a line each: task, number
# of starts, first and last start in ms.
runs() {
	curl -s -m 2 "http://127.0.0.1:$PORT/records" | tr '[' '\n' |
		sed -n "s/^\"\($1[^\"]*\)\",\([0-9]*\),\([0-9]*\),\([0-9]*\),.*/\1 \2 \3 \4/p" |
		awk '{ print $1, $2, int($3 / 1000), int($4 / 1000) }'
}

# Starts the platform and three entries, and waits until jobs are done.
start_all() {
	start_platform 12
	configure
	for n in 1 2 3
	do
		start_entry $n
	done
	for _ in $(seq 150)
	do
		if [ "$(call POST 1 00000000000000a1 4 "$job")" = 200 ]
		then
			for _ in $(seq 100)
			do
				[ "$(state 1 00000000000000a1)" = completed ] &&
					return
				sleep 0.1
			done
		fi
		sleep 0.1
	done
	cannot_run "no job is accepted and done"
}

job='{"spec":"quote","steps":[{"count":2,"cpu":1100,"memMb":2300,"estimateMs":800}]}'
