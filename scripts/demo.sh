#!/usr/bin/env bash
# Starts the stand-ins and the eight nodes of examples/01-pabsong on loopback,
# sends queries of every class, takes a data centre out of service and back in
# under load, and prints what the callers observed. Exits with 1 when an answer
# was wrong or late, or when the data centre still got new work outLimitMs after
# the change.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
out=bkk-lat
platform=127.20.1.1:8090
control=127.20.1.2:8091
readyLimit=25 # s; a node waits for its peers and for the slots they hand over
loadSeconds=28
outAt=5 # s after the load began
inAt=15
outLimitMs=5000 # the promise data-centre-out: no new work after a few seconds
idleSeconds=3
memoryLimitKb=131072 # 128 MB a node, by section 1.6 of the design
cpuLimit=2.8         # percent of a core, by the same section; only reported

work=$(mktemp -d "${TMPDIR:-/tmp}/toucanridge-demo.XXXXXX")
pids=()
nodePids=()
nodeNames=()
entries=()
status=1

stopAll() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  # A node drains until its queries have ended; their deadlines are shorter than
  # this wait.
  for _ in $(seq 100); do
    alive=0
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null && alive=1
    done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null && echo "demo: process $pid had to be killed"
    wait "$pid" 2>/dev/null
  done
  if [ "$status" = 0 ]; then
    rm -rf "$work"
  else
    echo "demo: failed; logs are in $work"
  fi
  exit "$status"
}
trap stopAll EXIT
trap 'status=130; stopAll' INT TERM

fail() {
  echo "demo: $1" >&2
  status=1
  exit 1
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids+=($!)
}

nowMs() { date +%s%3N; }
logTime() { date -u -d "@$(($1 / 1000)).$(printf %03d $(($1 % 1000)))" +%Y-%m-%dT%H:%M:%S.%3N; }

# Replaces the rules file in one step, so that a part of it is never published.
editRules() { # SED-EXPRESSION
  sed "$1" "$work/rules.txt" >"$work/rules.new"
  mv "$work/rules.new" "$work/rules.txt"
}

cpuTicks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }

began=$(nowMs)
cp examples/01-pabsong/rules.txt examples/01-pabsong/hosts.json "$work/"
start platform "$build/platform_standin" --listen "$platform" \
  --rules "$work/rules.txt" --hosts "$work/hosts.json"
start backend "$build/backend_standin" --rules "$work/rules.txt" \
  --control "$control" --warm
# One line for each host of hosts.json: NAME DATA-CENTRE ADDRESS HTTP-PORT PEER-PORT.
hosts=$(sed -nE 's/.*"name": "([^"]*)", "data_centre": "([^"]*)", "address": "([^"]*)", "http_port": ([0-9]+), "peer_port": ([0-9]+).*/\1 \2 \3 \4 \5/p' "$work/hosts.json")
while read -r name centre address httpPort peerPort; do
  start "$name" "$build/toucanridge" node --host "$name" \
    --data-centre "$centre" --address "$address" --http-port "$httpPort" \
    --peer-port "$peerPort" --platform "http://$platform" \
    --log-file "$work/$name.log"
  nodePids+=("${pids[-1]}")
  nodeNames+=("$name")
  entries+=("$address:$httpPort")
done <<<"$hosts"

# A node is ready once it answers a query sent to it with the outcome whole.
for entry in "${entries[@]}"; do
  until curl -s -m 2 -d '{"class": "fold-desk", "body": "ready?"}' \
    "http://$entry/v1/query" | grep -q '"outcome":"whole"'; do
    [ $(($(nowMs) - began)) -gt $((readyLimit * 1000)) ] &&
      fail "$entry has given no whole answer within $readyLimit s"
    sleep 0.1
  done
done
echo "${#entries[@]} nodes in 4 data centres ready after $(($(nowMs) - began)) ms"

classes=$(awk '$1 == "class" { print $2 }' "$work/rules.txt")
for class in $classes; do
  answer=$("$build/toucanridge" query --entry "${entries[0]}" \
    --class "$class" --body "demo of $class")
  code=$?
  [ "$code" -le 5 ] && [ "$code" != 2 ] && [ "$code" != 1 ] ||
    fail "query of class $class ended with exit code $code"
  echo "query --class $class: $(awk '$1 == "outcome" { o = $2 }
    $1 == "coverage" { c = $2 } END { print o ", coverage " c }' <<<"$answer")"
done

declare -a ticks
for i in "${!nodePids[@]}"; do ticks[i]=$(cpuTicks "${nodePids[i]}"); done
sleep "$idleSeconds"
worstCpu=0
worstKb=0
for i in "${!nodePids[@]}"; do
  used=$(($(cpuTicks "${nodePids[i]}") - ticks[i]))
  cpu=$(awk -v t="$used" -v hz="$(getconf CLK_TCK)" -v s="$idleSeconds" \
    'BEGIN { printf "%.2f", 100 * t / hz / s }')
  kb=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/${nodePids[i]}/status")
  awk -v a="$cpu" -v b="$worstCpu" 'BEGIN { exit !(a > b) }' && worstCpu=$cpu
  [ "$kb" -gt "$worstKb" ] && worstKb=$kb
done
echo "idle node, worst of ${#nodePids[@]}: $((worstKb / 1024)) MB (limit 128), $worstCpu% of a core (limit $cpuLimit)"
[ "$worstKb" -le "$memoryLimitKb" ] || fail "an idle node is over its memory limit"
awk -v a="$worstCpu" -v b="$cpuLimit" 'BEGIN { exit !(a > b) }' &&
  echo "demo: warning: an idle node is over its CPU limit in this run"

echo "load for $loadSeconds s; $out out after $outAt s, back in after $inAt s"
"$build/load_driver" --entry "${entries[0]}" --entry "${entries[-1]}" \
  --rules "$work/rules.txt" --stats "$control" --seconds "$loadSeconds" \
  --load fold-desk:20 --load press-check:20 --load proof-desk:8 \
  --load archive-pull:20 --load dispatch:10 >"$work/load.out" 2>&1 &
driver=$!
pids+=("$driver")
sleep "$outAt"
outMs=$(nowMs)
editRules "s/^data-centre $out in .*/data-centre $out out # asked by Somchai W. : power work in the hall/"
sleep $((inAt - outAt))
inMs=$(nowMs)
editRules "s/^data-centre $out out .*/data-centre $out in # asked by Somchai W. : power work is done/"
wait "$driver"
driverCode=$?
cat "$work/load.out"

# New work of a data centre is a query that one of its hosts started, or an
# attempt sent to a slot holder there. Prints the times of such log lines.
newWorkTimes() { # FROM TO
  cat "$work"/bkk-*.log | awk -v from="time=$1" -v to="time=$2" -v dc="$out-" '
    / event=route / && $1 > from && $1 < to &&
    (index($0, " holder=" dc) || index($0, " request=" dc)) { print $1 }' | sort
}
last=$(newWorkTimes "$(logTime "$outMs")" "$(logTime "$inMs")" | tail -1)
tookMs=0
if [ -n "$last" ]; then
  last=${last#time=}
  tookMs=$(($(date -u -d "${last%Z}" +%s%3N) - outMs))
fi
echo "$out got its last new work $tookMs ms after the rules file changed (limit $outLimitMs)"
back=$(newWorkTimes "$(logTime "$inMs")" "9999" | head -1)
if [ -n "$back" ]; then
  back=${back#time=}
  echo "$out got new work again $(($(date -u -d "${back%Z}" +%s%3N) - inMs)) ms after it was put back"
else
  echo "$out got no new work after it was put back"
fi
[ "$driverCode" = 0 ] || fail "load_driver ended with exit code $driverCode"
[ "$tookMs" -le "$outLimitMs" ] || fail "$out got new work for too long"
[ -n "$back" ] || fail "$out did not come back into service"

echo "platform mode, 4 hosts against stand-ins, without faults:"
python3 soak/run.py "$build/toucanridge" --trouble none --seeds 1 \
  --seconds 10 || fail "platform mode broke a promise"
status=0
echo "demo: all answers right and in time; $((($(nowMs) - began) / 1000)) s"
