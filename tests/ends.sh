# Ending what a test started, and nothing else.  Sourced by its helpers, which
# set "work" and collect "pids".

# Whether the process is still a child of this script: once one was waited
# for, its number may belong to somebody else.
is_ours() {
	test "$(sed -n 's/^PPid:[[:space:]]*//p' "/proc/$1/status" 2>/dev/null)" = $$
}

end_all() {
	for pid in $pids $standin_pid
	do
		is_ours "$pid" || continue
		kill -CONT "$pid" 2>/dev/null
		kill "$pid" 2>/dev/null
	done
	for pid in $pids $standin_pid
	do
		wait "$pid" 2>/dev/null
	done
	if test "${KEEP:-0}" = 0
	then
		rm -rf "$work"
	else
		echo "# kept: $work" >&2
	fi
}
trap end_all EXIT
trap 'exit 130' INT TERM
