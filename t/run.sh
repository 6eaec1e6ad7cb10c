#!/bin/sh
# Runs the test programs of a build directory and the checks of the Spin models
# and ends with the line "N passed, N failed".
#
#   t/run.sh BUILD [unit]
#
# With "unit", only the unit tests run. Tests listed in KNOWN-RED.txt are
# skipped and printed. The output of each program is in BUILD/test-out.
set -u
build_dir=$1
what=${2:-all}
out=$build_dir/test-out
rm -rf "$out"
mkdir -p "$out"
skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd: -)
[ -n "$skip" ] && echo "passed over (KNOWN-RED.txt): $skip"
progs=$build_dir/unit-tests
[ "$what" = all ] && progs="$progs $(ls "$build_dir"/t/sys_* 2>/dev/null)"
export out skip BUILD="$build_dir"
# System tests start up to about 20 processes each, so only JOBS (default 4) run
# at once.
for p in $progs; do echo "$p"; done |
	xargs -P "${JOBS:-4}" -I{} sh -c '
	n=$(basename {})
	timeout 400 {} --gtest_filter="*${skip:+-$skip}" >"$out/$n.txt" 2>&1
	rc=$?
	if [ $rc -eq 0 ]; then echo "ok $n"; else
		echo "FAILED $n (exit $rc)"
		grep -E "FAILED|Failure|Seed|seed" "$out/$n.txt" | head -20
		tail -n 30 "$out/$n.txt"
		grep -q "FAILED TEST" "$out/$n.txt" ||
			echo "[  FAILED  ] 1 test (crash)" >>"$out/$n.txt"
	fi'
if [ "$what" = all ]; then
	t/model/run.sh "$build_dir" >"$out/model.txt" 2>&1
	grep -E '^(ok|FAILED)' "$out/model.txt"
fi
passed=$(cat "$out"/*.txt | sed -n 's/^\[  PASSED  \] \([0-9]*\) test.*/\1/p' |
	awk '{s += $1} END {print s + 0}')
failed=$(cat "$out"/*.txt | sed -n 's/^\[  FAILED  \] \([0-9]*\) test.*/\1/p' |
	awk '{s += $1} END {print s + 0}')
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
