#!/bin/bash
# Measures the proxy on loopback with real processes and prints a table.
#
#   t/bench.sh BUILD [WHAT...]
#
# WHAT: reads, gap, crest, behind, speed, slopes; without it all but slopes.
# SEED (1) fixes the random choices of the load and of the processes.
# DEPLOYMENTS ("threlfall barfani") limits the run. KEEP=1 keeps logs and data.
set -u
cd "$(dirname "$0")/.." || exit 1
b=${1:-build/release}
shift
seed=${SEED:-1}
deployments=${DEPLOYMENTS:-threlfall barfani}
what=${*:-reads gap crest behind speed}
parts="" # running parts, by pid
top=$(mktemp -d /tmp/marjoramlatch-bench.XXXXXX)

. t/bench/cluster.sh
. t/bench/parts.sh
[ -f t/bench/slopes.sh ] && . t/bench/slopes.sh

finish() {
	rc=$?
	for p in $parts; do kill "$p" 2>/dev/null; done
	for p in $parts; do wait "$p" 2>/dev/null; done
	stop_cluster
	[ -f "$top/pids" ] && stop_leftovers
	if [ -z "${KEEP:-}" ] && [ $rc -eq 0 ]; then
		rm -rf "$top"
	else
		echo "logs and data are in $top"
	fi
	exit $rc
}
trap finish EXIT
trap 'exit 1' INT TERM

command -v jq >/dev/null || fail "needs jq"
head -c 32 /dev/urandom >"$top/key"
chmod 600 "$top/key"
echo bench-operator >"$top/operator"

# each PART ARGS...: for every deployment in turn.
each() {
	local part=$1 d

	shift
	for d in $deployments; do
		"$part" "$d" "$@"
	done
}

# together COMMAND...: the command with every deployment at the same time, for
# measures that leave processors idle.
together() {
	local d p failed=0

	for d in $deployments; do
		clusters=$((clusters + 40))
		(
			trap stop_cluster EXIT
			trap 'exit 1' INT TERM
			deployments=$d
			"$@"
		) &
		parts="$parts $!"
	done
	for p in $parts; do wait "$p" || failed=1; done
	parts=""
	[ $failed = 0 ] || exit 1
}

behind_all() {
	each bench_behind owner "" seen unseen changing
	each bench_behind first-come ', "short_first": false' seen unseen
	each bench_behind pools ', "scheduling": "pools"' seen
}

echo "seed $seed, $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg), $(git rev-parse --short HEAD 2>/dev/null), $(date -u +%FT%TZ)"
printf '%-9s %-34s %-14s %-9s %-6s %5s  %s\n' deployment measure policy target \
	result load figures
for part in $what; do
	case $part in
	reads | gap) together each "bench_$part" ;;
	crest)
		each bench_crest admission ""
		each bench_crest no-admission ', "admission": false'
		;;
	behind) together behind_all ;;
	speed) bench_speed ;;
	slopes) bench_slopes ;;
	*) fail "no part \"$part\"" ;;
	esac
done
echo "took $SECONDS s"
