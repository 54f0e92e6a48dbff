#!/usr/bin/env bash
# Compares queries through one node with a client that fans out directly to the
# same stand-ins; the two alternate over several seeds. Prints ratios; the aim is
# a median p50 ratio of at most 1.3. A higher ratio isn't an error, because
# timings on a shared machine vary.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
queries=${QUERIES:-400}
seeds=${SEEDS:-1 2 3 4 5}
# Further variable: NODE_FLAGS, more flags for the node, to compare settings.
platform=127.20.1.1:8090
control=127.20.1.2:8091
node=127.20.0.1:8000
readyLimit=25 # s

work=$(mktemp -d "${TMPDIR:-/tmp}/toucanridge-bench.XXXXXX")
pids=()
stopAll() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap stopAll EXIT
trap 'exit 130' INT TERM

grep -vE '^data-centre bkk-(lat|nonth|rangsit) ' examples/01-pabsong/rules.txt >"$work/rules.txt"
sed -n '1p;2p' examples/01-pabsong/hosts.json | sed 's/},$/}/' >"$work/hosts.json"
echo "]" >>"$work/hosts.json"
"$build/platform_standin" --listen "$platform" --rules "$work/rules.txt" \
  --hosts "$work/hosts.json" & pids+=($!)
"$build/backend_standin" --rules "$work/rules.txt" --application fold-desk \
  --control "$control" --warm & pids+=($!)
"$build/toucanridge" node --host bkk-bangna-1 --data-centre bkk-bangna \
  --address 127.20.0.1 --http-port 8000 --peer-port 8001 \
  --platform "http://$platform" --log-file "$work/node.log" ${NODE_FLAGS:-} & nodePid=$!
pids+=("$nodePid")
for ((i = 0; ; ++i)); do
  curl -s -m 2 -d '{"class": "fold-desk", "body": "ready?"}' \
    "http://$node/v1/query" | grep -q '"outcome":"whole"' && break
  [ "$i" -gt $((readyLimit * 5)) ] && { echo "bench: the node isn't ready" >&2; exit 1; }
  sleep 0.2
done

cpuTicks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$nodePid/stat"; }
# The value of NAME in a line of NAME=VALUE fields: NAME LINE.
field() { sed -E "s/.*\b$1=([^ ]*).*/\1/" <<<"$2"; }
hz=$(getconf CLK_TCK)
ratios=()
# An uncounted run, in which both sides open their connections.
"$build/fanout_bench" --rules "$work/rules.txt" --node "$node" --queries 100 >/dev/null
printf '%-5s %8s %8s %6s %8s %8s %6s %9s %9s %6s\n' seed "direct" "node" "p50 x" \
  "direct" "node" "p99 x" "us/sub" "us/sub" "cpu x"
for seed in $seeds; do
  direct=$("$build/fanout_bench" --rules "$work/rules.txt" --queries "$queries" --seed "$seed")
  before=$(cpuTicks)
  through=$("$build/fanout_bench" --rules "$work/rules.txt" --node "$node" \
    --queries "$queries" --seed "$seed")
  ticks=$(($(cpuTicks) - before))
  for line in "$direct" "$through"; do
    [ "$(field failed "$line")" = 0 ] || echo "bench: failed queries: $line" >&2
  done
  line=$(awk -v s="$seed" -v d50="$(field p50_ms "$direct")" -v n50="$(field p50_ms "$through")" \
    -v d99="$(field p99_ms "$direct")" -v n99="$(field p99_ms "$through")" \
    -v dcpu="$(field cpu_s "$direct")" -v ncpu="$ticks" -v hz="$hz" \
    -v subs="$(field sub_requests "$through")" 'BEGIN {
      a = dcpu * 1e6 / subs; b = ncpu / hz * 1e6 / subs
      printf "%-5s %8.2f %8.2f %6.2f %8.2f %8.2f %6.2f %9.1f %9.1f %6.2f\n",
        s, d50, n50, n50 / d50, d99, n99, n99 / d99, a, b, b / a }')
  echo "$line"
  ratios+=("$(awk '{ print $4, $7, $10 }' <<<"$line")")
done
# The median of a column of the ratios: COLUMN.
median() { printf '%s\n' "${ratios[@]}" | awk -v c="$1" '{ print $c }' | sort -n |
  awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
echo "median ratios, node to direct: p50 $(median 1) (aim 1.3), p99 $(median 2), CPU $(median 3)"
