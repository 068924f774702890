# Sourced from a case's folder: the functions of ../lib.sh, with the stand-in
# whose looks can be late (late_look.c).
. "$(dirname "$0")/../standin-2/lib.sh"

test -x build/review-2/standin-late-look || {
	echo "run review/build-2.sh first"
	exit 2
}

# start_platform ARGUMENTS: as in lib.sh, with the other program.
start_platform() {
	block=$(($$ % 20))
	tries=0
	while test $tries -lt 20
	do
		PORT=$((23000 + block * 100))
		build/review-2/standin-late-look --port=$PORT \
			--record="$record" "$@" 2>"$work/standin.log" &
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
