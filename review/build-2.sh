#!/bin/sh
# Builds the stand-in that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
exec make -s OUT=build/review-2 -f review/standin-2/Makefile
