# The benchmarks, except slopes. Each starts its own deployment and prints its
# results with row(). Sourced by t/bench.sh.

# row MEASURE POLICY TARGET RESULT FIGURES: prints one line of the table and
# appends it to the file "table".
row() {
	printf '%-9s %-34s %-14s %-9s %-6s %5s  %s\n' "$deployment" "$1" "$2" \
		"$3" "$4" "$(cut -d' ' -f1 /proc/loadavg)" "$5" |
		tee -a "$work_dir/table"
}

# met EXPRESSION: prints "met" if the awk expression is true, else "MISSED".
met() {
	awk "BEGIN {print ($1) ? \"met\" : \"MISSED\"}"
}

calc() {
	awk "BEGIN {printf \"%.${2:-2f}\", $1}" 2>/dev/null || echo nan
}

p99_ms() {
	field "$1" ".kinds.$2.p99_us / 100 | round / 10"
}

# ---- a: share of reads served by replicas ----

bench_reads() {
	local i eligible replica share stale warm=()

	set_deployment "$1"
	relayed=true
	lags=(20 200 2000)
	start_cluster reads
	# Replicas lack the table until the first orders have been replicated.
	for i in 0 1 2; do
		load "warm$i" "$browse_user" "${groups[i]}" --seconds 0.5 \
			--callers 4 --mix order:1 &
		warm[i]=$!
	done
	wait "${warm[@]}"
	sleep 2.5
	for i in 0 1 2; do
		replica=$(counter reads_replica)
		load "lag${lags[i]}" "$browse_user" "${groups[i]}" --seconds 5 \
			--callers 48 --rate 200 --max-age-ms 3000 \
			--lag-ms "${lags[i]}" --mix browse:40,order:1,order_read:1
		replica=$(($(counter reads_replica) - replica))
		eligible=$(field "lag${lags[i]}" .replica_eligible)
		share=$(calc "$replica / ($eligible + 1e-9)" 3f)
		stale=$(field "lag${lags[i]}" .stale_own_reads)
		row "reads on replicas, lag ${lags[i]} ms" owner ">= 0.95" \
			"$(met "$share >= 0.95 && $eligible > 25")" \
			"share $share ($replica by replicas, $eligible eligible); browse p50 $(field "lag${lags[i]}" '.kinds.browse.p50_us/100|round/10') p99 $(p99_ms "lag${lags[i]}" browse) ms; own read p99 $(p99_ms "lag${lags[i]}" own_read) ms; stale $stale; refused $(field "lag${lags[i]}" '[.kinds[].refused]|add')"
	done
	stop_cluster
}

# ---- b: time without writes when a primary fails ----

# Prints the control leader named by the last election in the log of entry1.
control_leader() {
	grep -H 'event=leader' "$dir"/entry1.log | tail -1 |
		sed 's/.*id=\(control[0-9]*\).*/\1/'
}

# fault KIND MEMBER: kills the member, stops it or cuts its connections.
fault() {
	case $1 in
	kill) kill -9 "$(pid_of "$2")" ;;
	freeze) kill -STOP "$(pid_of "$2")" ;;
	cut)
		relay_members "cut *>$2"
		relay_members "cut $2>*"
		;;
	esac
}

# repair KIND MEMBER GROUP_INDEX: undoes fault.
repair() {
	case $1 in
	kill) start_member "$3" "${2: -1}" ;;
	freeze) kill -CONT "$(pid_of "$2")" ;;
	cut)
		relay_members "heal *>$2"
		relay_members "heal $2>*"
		;;
	esac
}

# gap_round KIND[+leader]: causes the same fault at the primaries of all three
# groups, one after the other. With "+leader", the control leader is killed
# first.
gap_round() {
	local kind=${1%+leader} i loads="" victims=() lead=""

	for i in 0 1 2; do
		load "gap-$1-$i" "$order_user" "${groups[i]}" --seconds 9 \
			--callers 6 --mix order:1 &
		loads="$loads $!"
	done
	sleep 1.2
	for i in 0 1 2; do
		victims[i]=$(primary "${groups[i]}") || fail "no primary"
	done
	if [ "$1" != "$kind" ]; then
		lead=$(control_leader)
		kill -9 "$(pid_of "$lead")"
	fi
	for i in 0 1 2; do
		fault "$kind" "${victims[i]}"
		sleep 0.3
	done
	wait $loads
	for i in 0 1 2; do
		repair "$kind" "${victims[i]}" "$i"
		gaps+=("$(field "gap-$1-$i" .longest_gap_us)")
		bad=$((bad + $(field "gap-$1-$i" '.lost + .doubled + .not_run_but_present')))
		row "gap, ${groups[i]}: primary $1" owner "<= 7 s" \
			"$(met "${gaps[-1]} <= 7e6")" \
			"$(calc "${gaps[-1]} / 1e6") s"
	done
	if [ -n "$lead" ]; then
		start "$lead" "$build_dir/marjoramlatch-control" --settings \
			"$dir/$lead.json"
	fi
	wait_for_stable_primaries
}

bench_gap() {
	local kind gaps=() bad=0 median

	set_deployment "$1"
	relayed=true
	start_cluster gap
	for kind in ${GAP_KINDS:-kill freeze cut kill+leader}; do
		gap_round "$kind"
	done
	median=$(printf '%s\n' "${gaps[@]}" | sort -n |
		awk '{v[NR] = $1} END {print v[int((NR + 1) / 2)]}')
	row "gap, median of ${#gaps[@]}" owner "<= 3 s" \
		"$(met "$median <= 3e6")" \
		"$(calc "$median / 1e6") s; orders lost or doubled: $bad"
	stop_cluster
}

# ---- c: goodput during a load peak ----

crest_us=10000 # cost of each read

# crest_load NAME USER KIND RATE CALLERS ARGS...: starts a load client in the
# background.
crest_load() {
	local name=$1 user=$2 kind=$3 rate=$4 callers=$5

	shift 5
	load "$name" "$user" "${groups[0]}" --mix "$kind:1" --rate "$rate" \
		--callers "$callers" --short-us $crest_us \
		--max-age-ms 3000 "$@" &
	loads="$loads $!"
}

# crest_sum FILTER: prints the sum of a report value over the three load clients
# that run during the peak.
crest_sum() {
	local k sum=0

	for k in browse order ticket; do
		sum=$(calc "$sum + $(field "crest-$k" "$1")" 1f)
	done
	echo "$sum"
}

# bench_crest DEPLOYMENT POLICY SETTINGS: SETTINGS is added to the settings of
# every process; POLICY names it in the table.
bench_crest() {
	local capacity loads good share ok_before ok_after late

	set_deployment "$1"
	settings=$3
	# How the plan's limit restricts browsing is not measured here.
	start_cluster "crest-$2"
	capacity=$(calc "$slots * $members * 1e6 / $crest_us" 0f)
	loads=""
	crest_load crest-browse "$browse_user" browse \
		"$(calc "$capacity * 0.47")" 2500 --seconds 15 --swing 3,10,10
	crest_load crest-order "$order_user" order \
		"$(calc "$capacity * 0.01")" 60 --seconds 15 --swing 3,10,10
	crest_load crest-ticket "$ticket_user" ticket \
		"$(calc "$capacity * 0.02")" 60 --seconds 15 --swing 3,10,10
	wait $loads
	loads=""
	crest_load after-browse "$browse_user" browse \
		"$(calc "$capacity * 0.47")" 200 --seconds 3
	crest_load after-order "$order_user" order \
		"$(calc "$capacity * 0.01")" 60 --seconds 3
	wait $loads
	good=$(calc "$(crest_sum '.ok_per_s[3:13] | add') / 10" 0f)
	share=$(calc "$good / $capacity")
	row "crest 5x, goodput / capacity" "$2" ">= 0.9" \
		"$(met "$share >= 0.9")" \
		"$share ($good of $capacity /s); browse p99 $(p99_ms crest-browse browse) ms"
	order=$(calc "$(field crest-order .kinds.order.ok) / $(field crest-order .kinds.order.sent)" 3f)
	ticket=$(calc "$(field crest-ticket .kinds.ticket.ok) / $(field crest-ticket .kinds.ticket.sent)" 3f)
	browse=$(calc "$(field crest-browse .kinds.browse.ok) / $(field crest-browse .kinds.browse.sent)" 3f)
	row "crest 5x, orders, tickets first" "$2" ">= 0.95" \
		"$(met "$order >= 0.95 && $ticket >= 0.95")" \
		"served: orders $order p99 $(p99_ms crest-order order) ms, tickets $ticket p99 $(p99_ms crest-ticket ticket) ms, browse $browse"
	row "normal 2 s after the crest" "$2" ">= 0.98" \
		"$(met "$(field after-browse '.kinds.browse.ok / .kinds.browse.sent') >= 0.98")" \
		"browse served $(field after-browse '.kinds.browse.ok / .kinds.browse.sent * 1000 | round / 1000') p99 $(p99_ms after-browse browse) ms; orders p99 $(p99_ms after-order order) ms"
	stop_cluster
}

# ---- d and e: short statements behind long ones ----

short_us=5000
long_us=200000

# run_short_statements NAME [LONG_ARGS...]: runs short statements; if LONG_ARGS
# are given, long statements run at the same time.
run_short_statements() {
	local name=$1 rate long=""

	shift
	# 0.3 of the replicas' capacity leaves enough for long statements.
	rate=$(calc "0.3 * $slots * ($members - 1) * 1e6 / $short_us" 0f)
	if [ $# -gt 0 ]; then
		load "$name-long" "$long_user" "${groups[1]}" --seconds 4.5 \
			--mix long:1 --callers 6 --long-us $long_us \
			--max-age-ms 5000 "$@" &
		long=$!
		sleep 0.5
	fi
	load "$name" "$browse_user" "${groups[1]}" --seconds 4 --mix browse:1 \
		--rate "$rate" --callers 64 --short-us $short_us \
		--max-age-ms 3000
	[ -n "$long" ] && wait $long
}

p99_wait_ms() {
	calc "($(field "$1" .kinds.browse.p99_us) - $short_us) / 1000" 1f
}

behind_row() {
	local base now ratio

	base=$(p99_wait_ms base)
	now=$(p99_wait_ms "$2")
	ratio=$(calc "$now / $base" 1f)
	row "short behind long, $1" "$policy" "<= 2" "$(met "$ratio <= 2")" \
		"$ratio (p99 wait $now over $base ms); shorts $(field "$2" '.kinds.browse.goodput|round')/s, long $(field "$2-long" '.kinds.long.goodput * 10 | round / 10')/s"
}

# bench_behind DEPLOYMENT POLICY SETTINGS KINDS...: KINDS are the kinds of long
# statements: "seen" has one shape, "unseen" 1024 shapes, and "changing" 8
# shapes that were cheap (1 ms) before.
bench_behind() {
	local kind

	set_deployment "$1"
	policy=$2
	settings=$3
	shift 3
	long_limit=15
	start_cluster "behind-$policy"
	load warm "$browse_user" "${groups[1]}" --seconds 1 --mix browse:1 \
		--rate 100 --short-us $short_us
	run_short_statements base
	for kind in "$@"; do
		case $kind in
		seen) run_short_statements seen --long-shapes 1 ;;
		unseen) run_short_statements unseen --long-shapes 1024 ;;
		changing)
			load cheap "$long_user" "${groups[1]}" --seconds 2 \
				--mix long:1 --callers 6 --long-us 1000 \
				--long-shapes 8
			run_short_statements changing --long-shapes 8
			;;
		esac
		behind_row "$kind ($slots slots)" "$kind"
	done
	stop_cluster
}

# ---- f: speed and memory of one instance ----

bench_speed() {
	local n rtt rate entry=() member=() ratio added before after kb idle_pid

	set_deployment threlfall
	deployment=one
	groups=(orders)
	nentries=1 slots=64 cost_us=20 connections=290
	start_cluster speed
	entry=("${to[@]}")
	# Tickets are read on the primary, so that the direct and the proxied
	# load use the same server.
	n=$(primary orders)
	member=(--to "$ip:550${n: -1}")
	rtt=$("$build_dir/helper/measure" rtt 127.0.0.1)
	echo bench-backend >"$dir/marjoramlatch.password"
	before=$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of entry1)/status")
	coproc "$build_dir/helper/measure" idle "$ip:5401" 2000 web orders \
		web-sample-password 2>"$dir/idle.log"
	idle_pid=$COPROC_PID
	read -r -u "${COPROC[0]}" _ || fail "idle callers: $(cat "$dir/idle.log")"
	sleep 1
	after=$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of entry1)/status")
	kb=$(calc "($after - $before) / 2000")
	row "memory of 2000 idle callers" owner "<= 8 KB" \
		"$(met "$kb <= 8")" "$kb KB each (resident $before to $after KB)"
	kill "$idle_pid"
	for n in 1 32 256; do
		to=("${member[@]}")
		load "direct$n" marjoramlatch orders --seconds 3 \
			--callers "$n" --mix ticket:1
		to=("${entry[@]}")
		load "proxy$n" web orders --seconds 3 --callers "$n" \
			--mix ticket:1
		ratio=$(calc "$(field "proxy$n" .kinds.ticket.goodput) / $(field "direct$n" .kinds.ticket.goodput)")
		row "speed, $n callers" owner ">= 0.5" "$(met "$ratio >= 0.5")" \
			"throughput ratio $ratio ($(field "proxy$n" '.kinds.ticket.goodput|round') over $(field "direct$n" '.kinds.ticket.goodput|round') /s)"
	done
	# At saturation the latency is mostly queueing time, so it is compared
	# at a rate that is sustained both directly and through the proxy.
	for n in 1 32 256; do
		rate=$((n == 1 ? 500 : 3000))
		to=("${member[@]}")
		load "direct-rate$n" marjoramlatch orders --seconds 2 \
			--callers "$n" --rate $rate --mix ticket:1
		to=("${entry[@]}")
		load "proxy-rate$n" web orders --seconds 2 --callers "$n" \
			--rate $rate --mix ticket:1
		added=$(calc "$(field "proxy-rate$n" .kinds.ticket.p50_us) - $(field "direct-rate$n" .kinds.ticket.p50_us)" 0f)
		row "added median latency, $n callers" owner "<= $((rtt + 100)) us" \
			"$(met "$added <= $rtt + 100")" \
			"$added us at $rate/s; loopback round trip $rtt us"
	done
	stop_cluster
}
