# Functions for system tests of the fleet duty.  Sourced after lib.sh.

tool() { # VERB...
	verb=$1
	shift
	"$OUT/cactusfield" "$verb" --store=127.0.0.1:$PORTS "$@"
}

with_list() { # VERB...
	tool "$@" --list=127.0.0.1:$PORTS
}

# Print the number of the entry that took the fleet duty last.
holder() {
	grep -h '"duty-taken".*"duty":"fleet"' "$work"/entry-*.log |
		sort | tail -1 >"$work/last"
	for number in 1 2 3
	do
		grep -qFf "$work/last" "$work/entry-$number.log" &&
			echo $number && return
	done
}

other_than() { # NUMBER: whether another entry holds the duty now
	test "$(holder)" != "$1"
}

# The number of instances in POOL, or in all pools, in a plan's table.
members() { # FILE [POOL]
	awk -v pool="${2:-}" '$2 ~ /^[0-9]+$/ && NF == 7 &&
		(pool == "" || $1 == pool) { n += $4 } END { print n }' "$1"
}

# The number of instance incarnations that worked for more than one pool, by the
# endpoints' records.
shared_lives() { # FILE
	grep -o '{[^}]*}' "$1" |
		sed 's/.*"instance": *"\([^"]*\)".*"incarnation": *\([0-9]*\).*"service": *"\([^"]*\)".*/\1@\2 \3/' |
		sort -u | awk '{ print $1 }' | uniq -d | wc -l
}

# replace_holder: kill the holder of the fleet duty, wait until another entry
# takes the duty, and start the killed one again.
replace_holder() {
	killed=$(holder)
	kill_entry "$killed"
	zone=$(echo suva-rack nausori-rack lautoka-rack | cut -d' ' -f"$killed")
	wait_until 20 other_than "$killed"
	took=$?
	start_entry "$killed" "$zone" $((killed - 1))
	return $took
}
