#!/usr/bin/env bash
# Runs the test of random faults once per seed, JOBS (default 4) runs at a time.
#
#   t/soak.sh BUILD SEEDS [FIRST] [PROGRAM]
#
# SEEDS is the number of seeds, FIRST (default 1) the first of them. Prints each
# failing seed and ends with the line "N passed, N failed". The output of each
# run is in BUILD/soak-out.
set -u
export build_dir=$1 BUILD=$1
seeds=${2:-200}
first=${3:-1}
export prog=${4:-sys_soak}
export out=$build_dir/soak-out
rm -rf "$out"
mkdir -p "$out"
# With more than 4 deployments at a time, the results would reflect how busy the
# machine is.
seq "$first" $((first + seeds - 1)) | xargs -P "${JOBS:-4}" -I{} sh -c '
	SEED={} timeout 120 "$build_dir/t/$prog" >"$out/{}.txt" 2>&1
	rc=$?
	if [ $rc -eq 0 ]; then
		touch "$out/{}.passed"
	else
		echo "FAILED seed {} (exit $rc), see $out/{}.txt"
		touch "$out/{}.failed"
	fi'
passed=$(find "$out" -name '*.passed' | wc -l)
failed=$(find "$out" -name '*.failed' | wc -l)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
