#!/usr/bin/env bash
# fleet-bench.sh BIN SIZE...: measures the control overhead per node in small fleets of processes on loopback:
# bytes sent, processor time, memory, platform calls, and the time until a catalogue change is active on all
# nodes.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "$1" && pwd)
shift
. support/fleet.sh
RUN=$(mktemp -d)
trap 'stop_fleet; rm -rf "$RUN"' EXIT
SECONDS_MEASURED=20
CHANGES=20

control_bytes() { curl -s "http://$(node_operator "$1")/metrics" | awk '/^jackdaw_control_bytes_total/ { print $2 }'; }
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$(cat "$RUN/node-$1.pid")/stat"; }
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$RUN/node-$1.pid")/status"; }
platform_calls() { curl -s "http://$PLATFORM_CONTROL/stats" | tr ' ' '\n' | awk -F= '/reads|writes|watches/ { s += $2 } END { print s }'; }
sum_of() { local f=$1 n s=0; for n in "${NAMES[@]}"; do s=$((s + $($f "$n"))); done; echo "$s"; }

measure_fleet() {
  local size=$1 n
  start_platform || return 1
  start_idle_nodes "$size" || return 1
  sleep 3
  local bytes calls ticks
  bytes=$(sum_of control_bytes) calls=$(platform_calls) ticks=$(sum_of cpu_ticks)
  sleep "$SECONDS_MEASURED"
  bytes=$(($(sum_of control_bytes) - bytes)) calls=$(($(platform_calls) - calls)) ticks=$(($(sum_of cpu_ticks) - ticks))
  awk -v n="$size" -v b="$bytes" -v c="$calls" -v t="$ticks" -v s="$SECONDS_MEASURED" -v hz="$(getconf CLK_TCK)" -v m="$(sum_of resident_kb)" 'BEGIN {
    printf "measure=control nodes=%d bytes-per-second=%.0f cpu-percent=%.2f resident-mb=%.1f platform-calls-per-second=%.2f\n", n, b/n/s, 100*t/hz/n/s, m/n/1024, c/s }'
  measure_changes "$size"
  stop_fleet
}

# Measures the time from the start of each apply until each node logs that the new version is active.
measure_changes() {
  local size=$1 change
  cp examples/selenge.catalogue.json "$RUN/c.json"
  : >"$RUN/lags"
  for change in $(seq "$CHANGES"); do
    sed -i "s/\"weight\": [0-9]*, \"callsPerSecond\": 100 }/\"weight\": $((change + 1)), \"callsPerSecond\": 100 }/" "$RUN/c.json"
    local start version
    start=$(date +%s.%N)
    # The unreachable --node address disables the tool's push, so that only the nodes' own propagation is
    # measured.
    version=$("$BIN/jackdawctl" --platform "$PLATFORM" --node 127.0.0.1:9 apply "$RUN/c.json" | sed -n 's/^accepted version=\([0-9]*\).*/\1/p')
    sleep 1.2
    for n in "${NAMES[@]}"; do
      grep "event=catalogue-in-force version=$version" "$RUN/node-$n.log" | tail -1 | sed 's/^time=\([^ ]*\) .*/\1/'
    done | while read -r at; do echo "$(date -d "$at" +%s.%N) $start" | awk '{ print $1 - $2 }'; done >>"$RUN/lags"
  done
  sort -g "$RUN/lags" | awk -v n="$size" -v c="$CHANGES" '{ v[NR] = $1 } END {
    printf "measure=in-force nodes=%d changes=%d seen=%d p50=%.3f p99=%.3f max=%.3f unit=s\n", n, c, NR, v[int((NR+1)/2)], v[int(NR*0.99)], v[NR] }'
}

for size in "$@"; do measure_fleet "$size" || exit 1; done
