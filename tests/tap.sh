# TAP output for shell tests: call "is NAME GOT WANT" for each check and
# done_testing at the end.  Sourced.  A test may define tell_state, which is
# called after the first failed check.

tap_number=0
tap_failed=0
tap_group=/$(basename "$0")

is() {
	tap_number=$((tap_number + 1))
	tap_name=$tap_group/$(echo "$1" | tr ' ' '-')
	if test "$2" = "$3"
	then
		echo "ok $tap_number $tap_name"
		return
	fi
	echo "not ok $tap_number $tap_name"
	echo "# got '$2', want '$3'"
	test $tap_failed = 1 && return
	tap_failed=1
	if command -v tell_state >/dev/null
	then
		tell_state
	fi
}

done_testing() {
	echo "1..$tap_number"
	if test $tap_failed != 0 && test -s "$work/out"
	then
		sed 's/^/# /' "$work/out"
	fi
	exit $tap_failed
}
