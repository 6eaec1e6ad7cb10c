#!/bin/sh
# Builds the stand-ins of the review scripts into target/review. They need a C
# compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.c; do
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation \
		-Wno-restrict -pthread -I review/lib \
		-o "target/review/case-$number" "$source" review/lib/fleet.c -lm
done
