#!/bin/sh
# Builds the stand-ins of the review's scripts into review/out.  Needs what the
# deploy file's build needs.
set -eu
cd "$(dirname "$0")/.."
make -s OUT=target target/cactusfield-node
mkdir -p review/out
libs="glib-2.0 jansson yajl talloc gsl argtable2"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Ipackages/base -Ipackages/net"
for name in platform executor client
do
	extra=
	test $name = platform && extra=standin/platform/sp_store.c
	# shellcheck disable=SC2046,SC2086
	gcc $flags $(pkg-config --cflags $libs) \
		-o review/out/rv-$name review/standin/rv_$name.c $extra \
		target/libnet.a target/libbase.a \
		$(pkg-config --libs $libs) -levent -lm
done
