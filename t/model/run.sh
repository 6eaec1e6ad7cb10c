#!/bin/sh
# Checks every Spin model (*.pml) in this directory, then checks that Spin
# reports an error for each mutation (MUT_ macro) of the model. Spin's files go
# to BUILD/model.
#
#   t/model/run.sh BUILD
set -u
build_dir=$(mkdir -p "$1/model" && cd "$1/model" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
failed=0
passed=0

# check NAME MACRO ERRORS: runs the model NAME.pml with MACRO defined and
# expects the given number of errors (0 or 1).
check() {
	d=$build_dir/$1-$2
	mkdir -p "$d"
	cd "$d" || exit 1
	spin -D"$2" -a "$here/$1.pml" >spin.txt 2>&1 &&
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c &&
		timeout 300 ./pan -m200000 -w24 >pan.txt 2>&1
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.txt)
	if grep -q 'max search depth too small\|out of memory' pan.txt; then
		errors=incomplete
	fi
	if [ "$errors" = "$3" ]; then
		passed=$((passed + 1))
		echo "ok model $1 $2 (errors: $errors)"
	else
		failed=$((failed + 1))
		echo "FAILED model $1 $2: errors ${errors:-none}, wanted $3"
		tail -n 5 spin.txt pan.txt
	fi
}

for model in "$here"/*.pml; do
	name=$(basename "$model" .pml)
	check "$name" PLAIN 0
	for m in $(grep -o 'MUT_[A-Z_]*' "$model" | sort -u | grep -v '^MUT_$'); do
		check "$name" "$m" 1
	done
done
[ "$passed" -gt 0 ] && echo "[  PASSED  ] $passed test"
[ "$failed" -eq 0 ] || echo "[  FAILED  ] $failed test"
[ "$failed" -eq 0 ]
