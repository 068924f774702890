#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
make -s OUT=build/review-2 -f review/standin-2/Makefile
exec make -s OUT=build/review-2 -f review/standin-2/sitting-3/Makefile
