#!/usr/bin/env bash
# Measures the latency that two nodes add to a call between processes on loopback. Direct calls and calls
# through the nodes alternate within one run. Calls are sequential, without a gap and with pauses that let the
# processors enter idle states.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "${1:-build/bin}" && pwd)
ROUNDS=${2:-5}
RUN=$(mktemp -d)
. support/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT

start_platform || exit 1
start_target k1 keeper-book -l 50 -t 0 || exit 1
start_target h1 hist-desk -l 50 -t 0 || exit 1
start_node k1 keeper-book sukhbaatar || exit 1
start_node h1 hist-desk sukhbaatar || exit 1
await_members 2 k1 h1 || exit 1
direct=$(target_address h1)
nodes=$(node_caller k1)
for gap in 0 3000; do
  calls=$([ "$gap" = 0 ] && echo 4000 || echo 1000)
  for _ in $(seq "$ROUNDS"); do
    "$BIN/jackdaw-latency" --address "$direct" --address "$nodes" --gap-us "$gap" --calls "$calls"
  done | sed 's/.*p50=\([^ ]*\) p99=\([^ ]*\) .*/\1 \2/' | paste - - |
    awk '{ print $3 - $1, $4 - $2, $1, $2, $3, $4 }' >"$RUN/rounds.txt"
  median() { cut -d' ' -f"$1" "$RUN/rounds.txt" | sort -g | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
  echo "measure=added-latency variant=two-nodes gap-us=$gap added-p50=$(median 1) added-p99=$(median 2)" \
    "direct-p50=$(median 3) direct-p99=$(median 4) nodes-p50=$(median 5) nodes-p99=$(median 6)" \
    "unit=ms rounds=$ROUNDS target-p99=0.36"
done
