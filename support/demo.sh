#!/usr/bin/env bash
# Starts a small Selenge deployment on loopback: two services in two data centres with three targets each and
# one node per target. Runs a load surge with and without jackdawwall and prints the measures of both, stops
# one node under load, then stops all nodes. Exits with 0 only if every check passes.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "${1:-build/bin}" && pwd)
RUN=$(mktemp -d)
. support/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
# measure FILE NAME PHASE KIND: prints the value of one measure.
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

echo "--- surge with jackdawwall"
addresses=()
for n in $NAMES; do addresses+=(--address "$(node_caller "$n")"); done
"$BIN/jackdaw-load" "${addresses[@]}" --script examples/surge.load.json --variant jackdawwall >"$RUN/with.txt"
for n in $NAMES; do curl -s "http://$(target_address "$n")/control/executions"; done >"$RUN/executions.txt"

echo "--- same surge without jackdawwall: three retries at each hop"
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

echo "--- planned stop of one node under load"
addresses=()
for n in h1 h2 k1 k2 k3; do addresses+=(--address "$(node_caller "$n")"); done
"$BIN/jackdaw-load" "${addresses[@]}" --script examples/light.load.json --variant planned-stop >"$RUN/stop.txt" &
load_pid=$!
sleep 1
stop node-h3
stopped=$?
wait "$load_pid"
echo "measure=whole-share value=$(measure "$RUN/stop.txt" whole-share light ramp-history)"

duplicated=$(awk '/-once-/ && $2 > 1' "$RUN/executions.txt" | wc -l)
executed=$(grep -c -- '-once-' "$RUN/executions.txt")
echo "--- checks"
check "greasing entries ran at most once ($executed executed, $duplicated executed more than once)" \
  [ "$executed" -gt 0 -a "$duplicated" -eq 0 ]
check "every response reached the caller that sent the request" \
  [ "$(measure "$RUN/with.txt" wrong-answers all all)" = 0 ]
check "greasing entries have at least the success share of photo views during the surge" \
  at_least "$(measure "$RUN/with.txt" whole-share surge greasing-entry)" \
  "$(measure "$RUN/with.txt" whole-share surge photo-view)"
check "the service recovered without intervention" at_least "$(measure "$RUN/with.txt" recovery surge all)" 0
check "the planned stop completed with exit code 0" [ "$stopped" -eq 0 ]
check "the planned stop interrupted no request" [ "$(measure "$RUN/stop.txt" whole-share light ramp-history)" = 1 ]
for n in h1 h2 k1 k2 k3; do
  stop "node-$n"
  check "node $n stopped gracefully" [ "$?" -eq 0 ]
done
[ "$FAILED" -eq 0 ] && echo "demo: all checks passed"
exit "$FAILED"
