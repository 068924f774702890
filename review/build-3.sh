#!/bin/sh
# Builds the stand-ins of the third review into build/review-3.  Run it in the
# repository after the build of the deploy file.

set -e
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p $out
flags="-std=gnu11 -O2 -g -D_GNU_SOURCE -Ipackages/base -Ipackages/net
	$(pkg-config --cflags glib-2.0 jansson talloc gsl argtable2)"
libs="$(pkg-config --libs glib-2.0 jansson yajl talloc gsl argtable2)
	-levent -lm"
own="packages/base/*.c packages/net/*.c"
# The lists of flags and of files are split on purpose.
# shellcheck disable=SC2086
gcc $flags -Istandin/platform -o $out/standin-platform \
	standin/platform/*.c $own $libs
for name in executor3 late3
do
	# shellcheck disable=SC2086
	gcc $flags -o $out/$name review/standin-3/$name.c $own $libs
done
