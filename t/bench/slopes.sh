# Measures how processor time, memory and traffic of each role grow with the
# numbers of proxies, groups and clients. Sourced by t/bench.sh.

slope_s=5 # duration of each measurement

# cpu PID: prints the processor time used so far, in ticks of 10 ms.
cpu() {
	awk '{print $14 + $15}' "/proc/$1/stat"
}

resident() {
	awk '/VmRSS/ {print $2}' "/proc/$1/status"
}

# traffic PID PORTS: prints the bytes sent and received on the TCP connections
# whose remote port matches the pattern. Retransmissions need no
# correction, because they do not occur on loopback.
traffic() {
	ss -tinpH | awk -v pid="pid=$1," -v ports="$2" '
		!/^[ \t]/ {mine = index($0, pid) && $5 ~ ":(" ports ")$"; next}
		mine {
			for (i = 1; i <= NF; i++)
				if (split($i, v, ":") == 2 &&
				    (v[1] == "bytes_sent" ||
				     v[1] == "bytes_received"))
					sum += v[2]
		}
		END {print sum + 0}'
}

# Prints the control leader, to which the entry instances send their requests.
control_leader_by_logs() {
	grep -ho 'event=leading' "$dir"/control?.log >/dev/null || return 1
	grep -l 'event=leading' "$dir"/control?.log | tail -1 |
		sed 's/.*\(control.\)\.log/\1/'
}

all_groups_have_primary() {
	[ "$(admin status --groups | grep -c "group[0-9]* .*-[123] .*true")" = "$1" ]
}

# sample_usage NAME PORTS: stores processor time and traffic of each watched
# process in cpu_of[PROCESS.NAME] and net_of[PROCESS.NAME].
sample_usage() {
	local p

	for p in "${watched[@]}"; do
		cpu_of[$p.$1]=$(cpu "$(pid_of "$p")")
		net_of[$p.$1]=$(traffic "$(pid_of "$p")" "$2")
	done
}

# measure_point LABEL: measures for slope_s seconds and prints a row.
measure_point() {
	local label=$1 lead follower t0 t1 p out=""
	local -A cpu_of net_of
	local watched

	lead=$(control_leader_by_logs)
	follower=control1
	[ "$lead" = control1 ] && follower=control2
	watched=("$lead" "$follower" entry1)
	sample_usage 0 '[0-9]*'
	t0=$(date +%s%N)
	control_bytes=$(traffic "$(pid_of entry1)" '740[1-3]')
	sleep $slope_s
	sample_usage 1 '[0-9]*'
	t1=$(date +%s%N)
	control_bytes=$(($(traffic "$(pid_of entry1)" '740[1-3]') - control_bytes))
	for p in "${watched[@]}"; do
		out+="$(echo "$p" | sed "s/$lead/leader/; s/control./follower/") "
		out+="$(calc "(${cpu_of[$p.1]} - ${cpu_of[$p.0]}) * 1e9 / ($t1 - $t0)" 1f)% "
		out+="$(calc "$(resident "$(pid_of "$p")") / 1024" 1f) MB "
		out+="$(calc "(${net_of[$p.1]} - ${net_of[$p.0]}) * 1e6 / ($t1 - $t0)" 1f) KB/s; "
	done
	out+="proxy with control $(calc "$control_bytes * 1e6 / ($t1 - $t0)" 2f) KB/s"
	row "$label" owner - - "$out"
}

# slope_cluster PROXIES GROUPS: starts a deployment whose members are simulated
# by the helper "members".
slope_cluster() {
	local i g=$2 announce_to=()

	set_deployment threlfall
	deployment=slopes
	nentries=$1
	groups=()
	settings=', "max_callers": 20000'
	start_cluster "slope-$1-$2"
	deployment=slopes
	for ((i = 1; i <= nentries && i <= 16; i++)); do
		announce_to+=("$ip:$((5400 + i))")
	done
	start members "$build_dir/helper/members" "$g" "$ip" 5600 bench-backend \
		"${announce_to[@]}"
	wait_for "primaries of $g groups" all_groups_have_primary "$g"
	sleep 1
}

bench_slopes() {
	local n g i

	for n in 7 14 28 56; do
		slope_cluster $n 3
		measure_point "$n proxies, 3 groups"
		[ "$n" = 7 ] && slope_changes_and_idle
		stop_cluster
	done
	for g in 30 300; do
		slope_cluster 7 $g
		measure_point "7 proxies, $g groups"
		stop_cluster
	done
}

# Measures on 7 proxies: first configuration changes, then idle clients at one
# proxy.
slope_changes_and_idle() {
	local i n applies helper

	(
		for ((i = 0; i < 100; i++)); do
			sed "s/\"max_wait_ms\": 3000/\"max_wait_ms\": $((3000 + i))/" \
				"$dir/plans.json" >"$dir/plans-$i.json"
			admin apply --operator bench "$dir/plans-$i.json" \
				"$dir/customers.json" >>"$dir/apply.log" 2>&1
			sleep 0.2
		done
	) &
	applies=$!
	n=$(grep -c accepted "$dir/apply.log")
	measure_point "7 proxies, lists change all the time"
	n=$(($(grep -c accepted "$dir/apply.log") - n))
	row "changes in that time" owner - - "$n accepted in about $slope_s s"
	kill $applies
	wait $applies 2>/dev/null
	for n in 1000 9000; do
		rm -f "$dir/idle.ready"
		(sleep 60 | "$build_dir/helper/measure" idle "$ip:5401" $n web group0 \
			web-sample-password >"$dir/idle.ready" 2>"$dir/idle.log") &
		pids="$pids $!"
		wait_for "idle callers" grep -q ready "$dir/idle.ready"
		measure_point "7 proxies, $n more idle callers at one"
	done
}
