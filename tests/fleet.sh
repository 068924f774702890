# Helpers of the system tests of the fleet's duty.  Sourced after lib.sh.

tool() { # VERB...
	verb=$1
	shift
	"$OUT/cactusfield" "$verb" --store=127.0.0.1:$PORTS "$@"
}

with_list() { # VERB...
	tool "$@" --list=127.0.0.1:$PORTS
}

# The entry that took the fleet duty last.
holder() {
	grep -h '"duty-taken".*"duty":"fleet"' "$work"/entry-*.log |
		sort | tail -1 >"$work/last"
	for number in 1 2 3
	do
		grep -qFf "$work/last" "$work/entry-$number.log" &&
			echo $number && return
	done
}

other_than() { # NUMBER: whether another one holds the duty now
	test "$(holder)" != "$1"
}

# Instances that pools hold, of a plan's table.
members() { # FILE [POOL]
	awk -v pool="${2:-}" '$2 ~ /^[0-9]+$/ && NF == 7 &&
		(pool == "" || $1 == pool) { n += $4 } END { print n }' "$1"
}

# Lives of instances that worked for more than one pool, by the records.
shared_lives() { # FILE
	grep -o '{[^}]*}' "$1" |
		sed 's/.*"instance": *"\([^"]*\)".*"incarnation": *\([0-9]*\).*"service": *"\([^"]*\)".*/\1@\2 \3/' |
		sort -u | awk '{ print $1 }' | uniq -d | wc -l
}

# replace_holder: kill it, wait for another one, start it again.
replace_holder() {
	killed=$(holder)
	kill_entry "$killed"
	zone=$(echo suva-rack nausori-rack lautoka-rack | cut -d' ' -f"$killed")
	wait_until 20 other_than "$killed"
	took=$?
	start_entry "$killed" "$zone" $((killed - 1))
	return $took
}
