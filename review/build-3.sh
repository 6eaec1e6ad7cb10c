#!/bin/sh
# Builds the stand-ins of the third review's scripts: the case programs, which
# need gcc and the C library only, and the project's relay, which case 12 starts.
# The project's programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
make -s OUT=target target/release/helper/relay >/dev/null
for n in 11 12 13 14 15; do
	case $n in
	13) world=review/13/world.c ;;
	14) world=review/lib-2/world.c ;;
	15) world=review/15/world.c ;;
	*) world=review/lib-3/world.c ;;
	esac
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread -Ireview/lib-3 \
		-o target/review-3/case-$n review/$n/case.c $world
done
