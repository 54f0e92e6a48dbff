#!/usr/bin/env bash
# Compares five classes in one run on real processes with injected stragglers:
# no hedging, hedging after a fixed delay, hedging after the learnt percentile,
# early answers, and the last two together.
# Usage: hedge_bench.sh BUILD [queries per block] [rounds]
set -eu
build=${1:-build}
queries=${2:-400}
rounds=${3:-5}
stragglers=${STRAGGLERS:-0.02}
net=${NET:-127.51}
work=$(mktemp -d)
pids=()
stopAll() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap stopAll EXIT

by='# asked by Bench : hedge_bench'
{
  grep -E '^(data-centre|rights)' examples/01-pabsong/rules.txt
  grep -E '^(service|snapshot) fold-desk' examples/01-pabsong/rules.txt
  for class in off fixed learnt early both; do
    wait=coverage
    case $class in early | both) wait=latency ;; esac
    echo "class $class application fold-desk deadline 900ms priority 7 wait $wait idempotent yes fan-out all $by"
    echo "retry $class budget 10% $by"
  done
  echo "hedge off off $by"
  echo "hedge fixed after 20ms budget 5% $by"
  echo "hedge learnt after p95 budget 5% $by"
  echo "hedge both after p95 budget 5% $by"
} | sed "s/127\.21\./$net./g" >"$work/rules.txt"
# One node in each data centre; sed moves the addresses to this network and
# removes the comma after the last host.
grep -E -- '-1"|^\[|^\]' examples/01-pabsong/hosts.json |
  sed "s/127\.20\./$net.9/; s/\.9\([0-9]\)\./.9\1./" >"$work/hosts.json"
sed -i '$!N; s/},\n\]/}\n]/; P; D' "$work/hosts.json"

"$build/platform_standin" --rules "$work/rules.txt" --hosts "$work/hosts.json" \
  --listen "$net.99.1:7000" >"$work/platform.log" 2>&1 &
pids+=($!)
"$build/backend_standin" --rules "$work/rules.txt" --control "$net.99.2:7001" \
  --stragglers "$stragglers" >"$work/backend.log" 2>&1 &
pids+=($!)
entries=()
while read -r name centre address; do
  "$build/toucanridge" node --host "$name" --data-centre "$centre" \
    --address "$address" --http-port 8000 --peer-port 8001 \
    --platform "http://$net.99.1:7000" --log-file "$work/$name.log" \
    --log-level warn &
  pids+=($!)
  entries+=("$address:8000")
done < <(sed -nE 's/.*"name": "([^"]*)", "data_centre": "([^"]*)", "address": "([^"]*)".*/\1 \2 \3/p' "$work/hosts.json")
sleep 3
"$build/hedge_bench" --entry "${entries[@]}" --class off fixed learnt early both \
  --queries "$queries" --rounds "$rounds"
# Prints counters of the backend servers, summed over all of them.
exec 3<>"/dev/tcp/$net.99.2/7001"
printf 'GET /stats HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
cat <&3 >"$work/stats.txt"
for name in slot_violations connection_violations cold_violations crashes cancelled; do
  echo "$name=$(grep -o "\"$name\":[0-9]*" "$work/stats.txt" | awk -F: '{ sum += $2 } END { print sum }')"
done
