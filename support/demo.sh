#!/usr/bin/env bash
# A small Selenge deployment on loopback: two services in two data centres, three targets each, each with its
# node. Drives it through a surge, prints the measures beside the same run without jackdawwall, stops one node
# under load and then everything. Exit 0 only if every promise checked held.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "${1:-build/bin}" && pwd)
RUN=$(mktemp -d)
. support/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
# measure FILE NAME PHASE KIND: value of one line.
measure() { sed -n "s/^measure=$2 phase=$3 kind=$4 .*value=\([^ ]*\) .*/\1/p" "$1"; }

NAMES="h1 h2 h3 k1 k2 k3"
service_of() { case $1 in h*) echo hist-desk ;; *) echo keeper-book ;; esac; }
centre_of() { case $1 in *3) echo shaamar ;; *) echo sukhbaatar ;; esac; }

start_platform || exit 1
for n in k1 k2 k3; do start_target "$n" keeper-book -l 4 -t 20 || exit 1; done
for n in h1 h2 h3; do start_target "$n" hist-desk -l 30 -t 5 -m keeper-book || exit 1; done
for n in $NAMES; do start_node "$n" "$(service_of "$n")" "$(centre_of "$n")" || exit 1; done
# shellcheck disable=SC2086
await_members 6 $NAMES || exit 1
cp examples/selenge.catalogue.json "$RUN/catalogue.json"
"$BIN/jackdawctl" --platform "$PLATFORM" apply "$RUN/catalogue.json" | tail -1 || exit 1

echo "--- the surge with jackdawwall"
addresses=()
for n in $NAMES; do addresses+=(--address "$(node_caller "$n")"); done
"$BIN/jackdaw-load" "${addresses[@]}" --script examples/surge.load.json --variant jackdawwall >"$RUN/with.txt"
for n in $NAMES; do curl -s "http://$(target_address "$n")/control/executions"; done >"$RUN/executions.txt"

echo "--- the same surge without: three retries at each hop"
direct=()
for n in p1 p2 p3; do start_target "$n" keeper-book -l 4 -t 20 || exit 1; direct+=(--next-direct "$(target_address "$n")"); done
addresses=()
for n in q1 q2 q3; do
  start_target "$n" hist-desk -l 30 -t 5 -m keeper-book "${direct[@]}" || exit 1
  addresses+=(--address "$(target_address "$n")")
done
"$BIN/jackdaw-load" "${addresses[@]}" --script examples/surge.load.json --variant none >"$RUN/without.txt"
for m in "goodput surge ramp-history" "goodput surge photo-view" "goodput after ramp-history" \
  "whole-share surge greasing-entry" "whole-share after ramp-history" "latency-p99 surge ramp-history" \
  "recovery surge all" "wrong-answers all all"; do
  # shellcheck disable=SC2086
  echo "measure=$(echo $m | tr ' ' '/') jackdawwall=$(measure "$RUN/with.txt" $m) none=$(measure "$RUN/without.txt" $m)"
done

echo "--- a planned stop of one node under load"
addresses=()
for n in h1 h2 k1 k2 k3; do addresses+=(--address "$(node_caller "$n")"); done
"$BIN/jackdaw-load" "${addresses[@]}" --script examples/light.load.json --variant planned-stop >"$RUN/stop.txt" &
load=$!
sleep 1
stop node-h3
stopped=$?
wait "$load"
echo "measure=whole-share value=$(measure "$RUN/stop.txt" whole-share light ramp-history)"

twice=$(awk '/-once-/ && $2 > 1' "$RUN/executions.txt" | wc -l)
once=$(grep -c -- '-once-' "$RUN/executions.txt")
echo "--- promises"
check "greasing entries ran at most once ($once ran, $twice twice)" [ "$once" -gt 0 -a "$twice" -eq 0 ]
check "every answer reached its own caller" [ "$(measure "$RUN/with.txt" wrong-answers all all)" = 0 ]
check "greasing entries are shed last" at_least "$(measure "$RUN/with.txt" whole-share surge greasing-entry)" \
  "$(measure "$RUN/with.txt" whole-share surge photo-view)"
check "the service came back by itself" at_least "$(measure "$RUN/with.txt" recovery surge all)" 0
check "the planned stop ended by itself" [ "$stopped" -eq 0 ]
check "the planned stop cut off nothing" [ "$(measure "$RUN/stop.txt" whole-share light ramp-history)" = 1 ]
for n in h1 h2 k1 k2 k3; do
  stop "node-$n"
  check "node $n stopped gracefully" [ "$?" -eq 0 ]
done
[ "$BROKEN" -eq 0 ] && echo "demo: every promise checked held"
exit "$BROKEN"
