#!/bin/sh
# Plays case 7; needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab ] && [ -x target/gentianward-platform ] || exit 2
exec target/review/lab unknown-copy review/7/record.txt
