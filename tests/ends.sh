# Cleanup of system tests: end the processes that a test started, no others.
# Sourced by lib.sh and node.sh, which set "work" and collect "pids".

# Whether process $1 is a child of this script.  Once a child has been waited
# for, its process id may be reused by an unrelated process.
is_ours() {
	test "$(sed -n 's/^PPid:[[:space:]]*//p' "/proc/$1/status" 2>/dev/null)" = $$
}

# end_processes PID...: end the processes and wait until they have ended.
end_processes() {
	for pid
	do
		is_ours "$pid" || continue
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	for pid
	do
		wait "$pid" 2>/dev/null
	done
}

# The stand-in ends last: while it listens, no other test takes its block of
# ports, in which the other processes listen.
end_all() {
	# shellcheck disable=SC2086
	end_processes $pids
	# shellcheck disable=SC2086
	end_processes $standin_pid
	if test "${KEEP:-0}" = 0
	then
		rm -rf "$work"
	else
		echo "# kept: $work" >&2
	fi
}
trap end_all EXIT
trap 'exit 130' INT TERM
