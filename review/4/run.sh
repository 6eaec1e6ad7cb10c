#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/case-4
