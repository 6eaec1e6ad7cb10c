#!/bin/bash
# Benchmarks the proxy on loopback with real processes and prints a table.
#
#   t/bench.sh BUILD [WHAT...]
#
# WHAT selects the benchmarks; the default is all but slopes:
#   reads   share of reads that replicas serve
#   gap     time without writes when a primary fails
#   crest   goodput during a load peak of 5 times the normal rate
#   behind  waiting time of short statements that run beside long ones
#   speed   throughput, latency and memory of one proxy
#   slopes  processor time, memory and traffic of each role as the deployment
#           grows
#
# Environment: SEED (default 1) seeds the random choices of the load clients and
# of the processes. DEPLOYMENTS (default "threlfall barfani") selects the
# deployments. KEEP=1 keeps logs and data after a successful run.
set -u
cd "$(dirname "$0")/.." || exit 1
build_dir=${1:-build/release}
shift
seed=${SEED:-1}
deployments=${DEPLOYMENTS:-threlfall barfani}
benchmarks=${*:-reads gap crest behind speed}
benchmark_pids="" # subshells started by in_parallel
work_dir=$(mktemp -d /tmp/marjoramlatch-bench.XXXXXX)

. t/bench/cluster.sh
. t/bench/parts.sh
[ -f t/bench/slopes.sh ] && . t/bench/slopes.sh

finish() {
	rc=$?
	for p in $benchmark_pids; do kill "$p" 2>/dev/null; done
	for p in $benchmark_pids; do wait "$p" 2>/dev/null; done
	stop_cluster
	[ -f "$work_dir/pids" ] && stop_leftovers
	if [ -z "${KEEP:-}" ] && [ $rc -eq 0 ]; then
		rm -rf "$work_dir"
	else
		echo "logs and data are in $work_dir"
	fi
	exit $rc
}
trap finish EXIT
trap 'exit 1' INT TERM

command -v jq >/dev/null || fail "needs jq"
head -c 32 /dev/urandom >"$work_dir/key"
chmod 600 "$work_dir/key"
echo bench-operator >"$work_dir/operator"

# each_deployment BENCHMARK ARGS...: runs a benchmark for one deployment after
# the other.
each_deployment() {
	local part=$1 d

	shift
	for d in $deployments; do
		"$part" "$d" "$@"
	done
}

# in_parallel COMMAND...: runs the command for all deployments at the same time,
# each in a subshell. Only for benchmarks that leave processors idle. Each
# subshell gets its own range of 40 loopback addresses.
in_parallel() {
	local d p failed=0

	for d in $deployments; do
		clusters=$((clusters + 40))
		(
			trap stop_cluster EXIT
			trap 'exit 1' INT TERM
			deployments=$d
			"$@"
		) &
		benchmark_pids="$benchmark_pids $!"
	done
	for p in $benchmark_pids; do wait "$p" || failed=1; done
	benchmark_pids=""
	[ $failed = 0 ] || exit 1
}

behind_all() {
	each_deployment bench_behind owner "" seen unseen changing
	each_deployment bench_behind first-come ', "short_first": false' seen unseen
	each_deployment bench_behind pools ', "scheduling": "pools"' seen
}

echo "seed $seed, $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg), $(git rev-parse --short HEAD 2>/dev/null), $(date -u +%FT%TZ)"
printf '%-9s %-34s %-14s %-9s %-6s %5s  %s\n' deployment measure policy target \
	result load figures
for part in $benchmarks; do
	case $part in
	reads | gap) in_parallel each_deployment "bench_$part" ;;
	crest)
		each_deployment bench_crest admission ""
		each_deployment bench_crest no-admission ', "admission": false'
		;;
	behind) in_parallel behind_all ;;
	speed) bench_speed ;;
	slopes) bench_slopes ;;
	*) fail "no part \"$part\"" ;;
	esac
done
echo "took $SECONDS s"
