# Starts and stops the deployments that the benchmarks measure. Sourced by
# t/bench.sh, which sets build_dir and work_dir (directory of logs and data).

ready_s=30 # timeout of each wait
clusters=0 # number started so far; part of the loopback address of each
pids=""

fail() {
	echo "bench: $*" >&2
	exit 1
}

# set_deployment NAME: sets the zones, groups and customers of a deployment and
# the defaults, which a benchmark may change before start_cluster.
set_deployment() {
	deployment=$1
	sample=$1 # directory of its lists below samples/
	case $1 in
	threlfall)
		zones=(coalville loughborough leicester)
		groups=(orders catalogue tickets)
		slots=5
		order_user=shop ticket_user=floor browse_user=web long_user=rebuild
		;;
	barfani)
		zones=(gulberg shahdara raiwind model_town)
		groups=(orders stock batches)
		slots=2
		order_user=workshop ticket_user=tracking browse_user=racks
		long_user=reports
		;;
	*)
		fail "no deployment \"$1\""
		;;
	esac
	nentries=7
	ncontrols=3
	members=3
	connections=30 # per member
	long_limit=0 # connections in the plan of long jobs; 0: as in the sample
	cost_us=200 # cost of a statement that states none
	lags=(0 0 0) # replication lag in ms, per group
	settings="" # JSON text appended to the settings of every process
	relayed=false # connect through relays, which add delays and faults
}

start() {
	local name=$1

	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pids="$pids $!"
	echo $! >"$dir/$name.pid"
	echo $! >>"$work_dir/pids"
}

pid_of() {
	cat "$dir/$1.pid"
}

wait_for() {
	local what=$1 until=$((SECONDS + ready_s))

	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -ge $until ] &&
			fail "$deployment: $what: not within $ready_s s, see $dir"
		sleep 0.1
	done
}

admin() {
	local cmd=$1

	shift
	"$build_dir/marjoramlatch" "$cmd" "${admin_to[@]}" \
		--password-file "$work_dir/operator" "$@"
}

zone_of() {
	echo "${zones[$((($1 - 1) % ${#zones[@]}))]}"
}

# Prints the setting that makes links between proxies use the relay as well.
advertise_link() {
	$relayed && echo "\"link_advertise\": \"$ip:$((8500 + $1))\", "
}

write_settings() {
	local i controls="" common

	for ((i = 1; i <= ncontrols; i++)); do
		controls+="${controls:+, }{\"id\": \"control$i\", "
		controls+="\"addr\": \"$ip:$((7400 + i))\"}"
	done
	common="\"key_file\": \"$work_dir/key\", \"controls\": [$controls],
\"backend_password\": \"bench-backend\", \"seed\": $seed,
\"operator_password\": \"bench-operator\"$settings"
	for ((i = 1; i <= ncontrols; i++)); do
		mkdir "$dir/control$i"
		echo "{\"id\": \"control$i\", \"zone\": \"$(zone_of $i)\",
\"link\": \"$ip:$((7400 + i))\", \"data\": \"$dir/control$i\", $common}" \
			>"$dir/control$i.json"
	done
	to=() admin_to=() announce=""
	for ((i = 1; i <= nentries; i++)); do
		echo "{\"id\": \"entry$i\", \"zone\": \"$(zone_of $i)\",
\"link\": \"$ip:$((7500 + i))\", $(advertise_link $i)\"listen\": \"$ip:$((5400 + i))\", $common}" \
			>"$dir/entry$i.json"
		admin_to+=(--to "$ip:$((5400 + i))")
		announce+="${announce:+,}$ip:$((5400 + i))"
		if $relayed; then
			to+=(--to "$ip:$((6400 + i))")
		else
			to+=(--to "$ip:$((5400 + i))")
		fi
	done
	admin_to=("${admin_to[@]:0:14}")
}

# start_member GROUP_INDEX MEMBER: starts the backend that is member number
# MEMBER (from 1) of a group.
start_member() {
	local g=${groups[$1]} port=$((5500 + 10 * $1 + $2)) via

	via=$port
	$relayed && via=$((port + 1000))
	start "$g$2" "$build_dir/helper/backend" --id "$g$2" --group "$g" \
		--zone "$(zone_of "$2")" --listen "$ip:$port" \
		--advertise "$ip:$via" --data "$dir/$g$2" \
		--password bench-backend --announce "$announce" \
		--announce-password bench-backend --slots "$slots" \
		--connections "$connections" \
		--members "$members" --cost-us "$cost_us" \
		--lag-ms "${lags[$1]}"
	if $relayed && [ -n "${relay_up:-}" ]; then
		relay_members "source $g$2 $(pid_of "$g$2")"
	fi
}

relay_members() {
	relay_command 6301 "$1"
}

# relay_command PORT COMMAND: sends a command to the control port of a relay.
relay_command() {
	local answer

	exec 3<>"/dev/tcp/$ip/$1" || fail "the relay does not answer"
	echo "$2" >&3
	read -r answer <&3
	exec 3>&-
	[ "$answer" = ok ] || fail "relay: $2: $answer"
}

# Starts the relays that simulate network delay: 3 ms one way between clients
# and proxies, and 1 ms one way for connections from another zone to a member or
# to a proxy's link. The 1 ms delays are set by relay_zones. Links to control
# instances are not delayed.
start_relays() {
	local i j g routes=()

	for ((i = 1; i <= nentries; i++)); do
		routes+=(--listen "entry$i@$ip:$((6400 + i))=$ip:$((5400 + i))")
	done
	start relay_callers "$build_dir/helper/relay" --control "$ip:6300" "${routes[@]}"
	routes=()
	for i in "${!groups[@]}"; do
		for ((j = 1; j <= members; j++)); do
			g=$((5500 + 10 * i + j))
			routes+=(--listen "${groups[i]}$j@$ip:$((g + 1000))=$ip:$g")
		done
	done
	start relay_members "$build_dir/helper/relay" --control "$ip:6301" "${routes[@]}"
	routes=()
	for ((i = 1; i <= nentries; i++)); do
		routes+=(--listen "link$i@$ip:$((8500 + i))=$ip:$((7500 + i))")
	done
	start relay_links "$build_dir/helper/relay" --control "$ip:6302" "${routes[@]}"
	wait_for "relay" eval "exec 3<>/dev/tcp/$ip/6300"
	wait_for "relay" eval "exec 3<>/dev/tcp/$ip/6302"
	wait_for "relay" eval "exec 3<>/dev/tcp/$ip/6301"
	exec 3<>"/dev/tcp/$ip/6300"
	echo "delay * 3" >&3
	read -r _ <&3
	exec 3>&-
}

relay_zones() {
	local i j m

	relay_up=yes
	for ((i = 1; i <= nentries; i++)); do
		relay_command 6302 "source entry$i $(pid_of entry$i)"
		for ((j = 1; j <= nentries; j++)); do
			[ "$(zone_of $i)" = "$(zone_of $j)" ] && continue
			relay_command 6302 "delay entry$i>link$j 1"
		done
	done
	for ((i = 1; i <= nentries; i++)); do
		relay_members "source entry$i $(pid_of entry$i)"
		for ((j = 1; j <= members; j++)); do
			[ "$(zone_of $i)" = "$(zone_of $j)" ] && continue
			relay_members "delay entry$i>*$j 1"
		done
	done
	for ((i = 1; i <= ncontrols; i++)); do
		relay_members "source control$i $(pid_of control$i)"
		for ((j = 1; j <= members; j++)); do
			[ $i -eq $j ] || relay_members "delay control$i>*$j 1"
		done
	done
	for m in "${groups[@]}"; do
		for ((i = 1; i <= members; i++)); do
			relay_members "source $m$i $(pid_of "$m$i")"
			for ((j = 1; j <= members; j++)); do
				[ $i -eq $j ] || relay_members "delay $m$i>$m$j 1"
			done
		done
	done
}

lists_in_force() {
	admin status | grep -q "in force everywhere ($nentries proxies)"
}

# primary GROUP: prints the id of the group's primary; fails if there is none.
primary() {
	admin status --groups | awk -v g="$1" 'NR == 1 {
		for (i = 1; i <= NF; i++) if ($i == "primary") col = i
		next
	} $1 == g && $col ~ "^" g {print $col; found = 1}
	END {exit !found}'
}

# Writes the lists of the deployment's sample. Every customer is allowed to use
# every group, so that all load clients can use the same group.
sample_lists() {
	for f in plans customers; do
		sed -e 's/"databases": \[.*\]/"databases": ["orders", "catalogue", "tickets", "stock", "batches", "group0"]/' \
			"samples/$sample/$f.json" >"$dir/$f.json"
	done
	[ "$long_limit" -gt 0 ] && sed -i -e "/\"name\": \"re/,/connections/ s/\"connections\": [0-9]*/\"connections\": $long_limit/" "$dir/plans.json"
	[ "$connections" -gt 30 ] && sed -i -e "s/\"connections\": [0-9]*/\"connections\": $connections/" "$dir/plans.json"
	return 0
}

# start_cluster VARIANT: starts the deployment that set_deployment chose,
# applies its lists and waits until it is ready. VARIANT names its directory.
start_cluster() {
	local i j g

	clusters=$((clusters + 1))
	ip=127.78.$(($$ % 250)).$clusters
	variant=$1
	dir=$work_dir/$deployment-$variant
	mkdir -p "$dir"
	relay_up=""
	write_settings
	$relayed && start_relays
	for ((i = 1; i <= ncontrols; i++)); do
		start "control$i" "$build_dir/marjoramlatch-control" --settings \
			"$dir/control$i.json"
	done
	for ((i = 1; i <= nentries; i++)); do
		start "entry$i" "$build_dir/marjoramlatchd" --settings \
			"$dir/entry$i.json"
	done
	for i in "${!groups[@]}"; do
		for ((j = 1; j <= members; j++)); do
			start_member "$i" "$j"
		done
	done
	$relayed && relay_zones
	sample_lists
	wait_for "control" admin status
	admin apply --operator bench "$dir/plans.json" "$dir/customers.json" \
		>"$dir/apply.log" || fail "lists refused, see $dir/apply.log"
	wait_for "lists in force" lists_in_force
	wait_for_stable_primaries
}

# Waits until no primary has changed for a second.
wait_for_stable_primaries() {
	local g was now="" until=$((SECONDS + ready_s))

	for g in "${groups[@]}"; do
		wait_for "primary of $g" primary "$g"
	done
	until [ -n "$now" ] && [ "$was" = "$now" ]; do
		[ $SECONDS -ge $until ] && fail "$deployment: primaries change"
		was=$now
		sleep 1
		now=$(admin status --groups | awk '{print $1, $2, $3, $4}')
	done
}

stop_cluster() {
	local p

	for p in $pids; do kill -9 "$p" 2>/dev/null; done
	for p in $pids; do wait "$p" 2>/dev/null; done
	pids=""
}

# Kills the processes that an interrupted benchmark left running.
stop_leftovers() {
	local p

	while read -r p; do
		grep -qs "$work_dir" "/proc/$p/cmdline" && kill -9 "$p"
	done <"$work_dir/pids"
}

# load NAME USER GROUP ARGS...: runs a load client and writes its report to
# NAME.load.
load() {
	local name=$1 user=$2 group=$3

	shift 3
	[ -f "$dir/$user.password" ] ||
		echo "$user-sample-password" >"$dir/$user.password"
	"$build_dir/marjoramlatch" load "${to[@]}" --user "$user" --database "$group" \
		--password-file "$dir/$user.password" --seed "$seed" \
		--report json "$@" >"$dir/$name.load" 2>"$dir/$name.load.err"
}

# field NAME FILTER: prints the value that the jq filter selects from NAME.load.
field() {
	jq -r "$2" "$dir/$1.load" 2>/dev/null || echo nan
}

# counter NAME: prints a counter summed over all entry instances.
counter() {
	local i sum=0 v

	for ((i = 1; i <= nentries; i++)); do
		v=$("$build_dir/marjoramlatch" counters --to "$ip:$((5400 + i))" \
			--password-file "$work_dir/operator" |
			awk -v n="$1" '$1 == n {print $2}')
		sum=$((sum + ${v:-0}))
	done
	echo $sum
}
