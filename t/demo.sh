#!/bin/sh
# Runs a small deployment on loopback with a change of primary under load.
#
#   t/demo.sh BUILD
#
# Starts 3 control instances, 7 entry instances and a group of 3 members,
# applies the sample lists of Threlfall, runs two load clients and kills the
# primary while they run. The exit status is 0 only if no acknowledged order was
# lost or executed twice and every session saw its own writes.
#
# Environment: SECONDS_OF_LOAD (default 12) is the duration of the load. KEEP=1
# keeps logs and data after a successful run.
set -u
build_dir=${1:-build/release}
samples=samples/threlfall
seconds=${SECONDS_OF_LOAD:-12}
kill_after=4 # seconds after the start of the load
ready_s=40 # timeout of each wait
dir=$(mktemp -d /tmp/marjoramlatch-demo.XXXXXX)
# The loopback address depends on the process id, so that the fixed ports do not
# collide with those of another demo or of a test.
ip=127.77.$(($$ / 250 % 250)).$(($$ % 250 + 1))
zones="coalville loughborough leicester"
pids=""
to=""
entries=""
rc=1

stop_all() {
	for p in $pids; do kill "$p" 2>/dev/null; done
	for p in $pids; do wait "$p" 2>/dev/null; done
	if [ $rc -eq 0 ] && [ -z "${KEEP:-}" ]; then
		rm -rf "$dir"
	else
		echo "logs and data are in $dir"
	fi
	exit $rc
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
	echo "demo: $*" >&2
	exit 1
}

# start NAME COMMAND...: runs the command in the background, with its output in
# NAME.log and its process id in NAME.pid.
start() {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
	echo $! >"$dir/$name.pid"
}

# zone_of N: prints the zone of instance N; instances are spread over the zones
# in turn.
zone_of() {
	echo "$zones" | cut -d' ' -f$((($1 - 1) % 3 + 1))
}

# wait_for WHAT COMMAND...: repeats the command until it succeeds; ends the demo
# after ready_s seconds. WHAT is for the message.
wait_for() {
	what=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ $tries -gt $((ready_s * 5)) ] &&
			fail "$what: not within $ready_s s"
		sleep 0.2
	done
}

admin() {
	cmd=$1
	shift
	"$build_dir/marjoramlatch" "$cmd" $to --password-file "$dir/operator" "$@"
}

write_settings() {
	controls=""
	for i in 1 2 3; do
		controls="$controls${controls:+, }{\"id\": \"control$i\", \
\"addr\": \"$ip:$((7400 + i))\"}"
	done
	common="\"key_file\": \"$dir/key\", \"controls\": [$controls],
\"backend_password\": \"demo-backend\", \"operator_password\": \"demo-operator\""
	for i in 1 2 3; do
		mkdir "$dir/control$i"
		cat >"$dir/control$i.json" <<END
{"id": "control$i", "zone": "$(zone_of $i)", "link": "$ip:$((7400 + i))",
"data": "$dir/control$i", $common}
END
	done
	for i in 1 2 3 4 5 6 7; do
		cat >"$dir/entry$i.json" <<END
{"id": "entry$i", "zone": "$(zone_of $i)", "link": "$ip:$((7500 + i))",
"listen": "$ip:$((5430 + i))", $common}
END
		to="$to --to $ip:$((5430 + i))"
		entries="$entries${entries:+,}$ip:$((5430 + i))"
	done
}

lists_in_force() {
	admin status | grep -q "in force everywhere (7 proxies)"
}

# Prints the id of the primary of group orders; fails if there is none.
primary() {
	admin status --groups | awk 'NR == 1 {
		for (i = 1; i <= NF; i++) if ($i == "primary") col = i
		next
	} $1 == "orders" && $col ~ /^member/ {print $col; found = 1}
	END {exit !found}'
}

# Prints the counters, summed over all entry instances, that are not 0.
counters() {
	for e in $(echo "$entries" | tr , ' '); do
		"$build_dir/marjoramlatch" counters --to "$e" \
			--password-file "$dir/operator"
	done | awk '$1 ~ /^(reads_|writes|forwarded|dedup|refused_|retry_)/ {
		sum[$1] += $2
	} END {for (n in sum) if (sum[n]) printf "%-28s %d\n", n, sum[n]}' |
		sort
}

load() {
	name=$1
	shift
	echo "$name-sample-password" >"$dir/$name.password"
	"$build_dir/marjoramlatch" load $to --user "$name" --database orders \
		--password-file "$dir/$name.password" --seconds "$seconds" \
		"$@" >"$dir/load-$name.txt" 2>&1
}

head -c 32 /dev/urandom >"$dir/key"
chmod 600 "$dir/key"
echo demo-operator >"$dir/operator"
write_settings

echo "starting 3 control instances, 7 entry instances, 3 members on $ip"
for i in 1 2 3; do
	start control$i "$build_dir/marjoramlatch-control" --settings \
		"$dir/control$i.json"
done
for i in 1 2 3 4 5 6 7; do
	start entry$i "$build_dir/marjoramlatchd" --settings "$dir/entry$i.json"
done
for i in 1 2 3; do
	start member$i "$build_dir/helper/backend" --id member$i --group orders \
		--zone "$(zone_of $i)" --listen "$ip:$((5500 + i))" \
		--data "$dir/member$i" --password demo-backend \
		--announce "$entries" --announce-password demo-backend
done

wait_for "control instances" admin status
admin apply --operator demo $samples/plans.json $samples/customers.json ||
	fail "the lists were not accepted"
wait_for "lists on every proxy" lists_in_force
admin status
wait_for "first primary" primary
admin status --groups

echo "load for $seconds s; the primary is killed after $kill_after s"
load shop --callers 12 --mix order:3,order_read:1 --seed 1 &
shop=$!
load web --callers 24 --mix browse:1 --rate 400 --seed 2 &
web=$!
sleep $kill_after
victim=$(primary) || fail "no primary to kill"
kill -9 "$(cat "$dir/$victim.pid")"
echo "killed the primary $victim"
wait $shop
shop_rc=$?
wait $web
web_rc=$?

echo
echo "shop (orders, and own reads through another proxy):"
cat "$dir/load-shop.txt"
echo
echo "web (catalogue browsing):"
cat "$dir/load-web.txt"
echo
echo "counters over all entry instances:"
counters
echo
admin status --groups
admin log
if [ $shop_rc -eq 0 ] && [ $web_rc -eq 0 ]; then
	echo "demo: nothing acknowledged was lost or doubled"
	rc=0
else
	echo "demo: FAILED (load clients: $shop_rc, $web_rc)"
fi
