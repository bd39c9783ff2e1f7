#!/usr/bin/env bash
# Injects faults into processes on loopback: a killed node, a frozen node, a platform outage, a lost response
# to an apply, and two concurrent operators. Takes about 90 s, prints one line per check, and exits with 0
# only if all checks pass.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "${1:-build/bin}" && pwd)
RUN=$(mktemp -d)
. support/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
success_share() { sed -n "s/^measure=whole-share phase=[^ ]* kind=$2 .*value=\([^ ]*\) .*/\1/p" "$1"; }
ctl() { "$BIN/jackdawctl" --platform "$PLATFORM" "$@"; }
fault() { curl -s "http://$PLATFORM_CONTROL/fault?$1" >/dev/null; }
version_at() { curl -s "http://$(node_operator "$1")/status" | sed 's/.*"catalogueVersion":\([0-9]*\).*/\1/'; }
executions() { local n; for n in "$@"; do curl -s "http://$(target_address "$n")/control/executions"; done; }
load() { # load OUTPUT SECONDS NODE...
  local out=$1 seconds=$2 n addresses=()
  shift 2
  for n in "$@"; do addresses+=(--address "$(node_caller "$n")"); done
  cat >"$RUN/script.json" <<X
{ "phases": [ { "name": "steady", "ms": ${seconds}000, "callsPerSecond": 200 } ], "threads": 64, "retries": 0,
  "mix": [ { "kind": "ramp-history", "service": "hist-desk", "deadlineMs": 1000, "share": 8 },
           { "kind": "greasing-entry", "service": "hist-desk", "deadlineMs": 1000, "share": 2, "once": true } ] }
X
  "$BIN/jackdaw-load" "${addresses[@]}" --script "$RUN/script.json" >"$out"
}

start_platform || exit 1
for n in h1 h2 h3 h4; do start_target "$n" hist-desk -l 20 -t 5 || exit 1; done
for n in h1 h2 h3 h4; do start_node "$n" hist-desk centre || exit 1; done
await_members 4 h1 h2 h3 h4 || exit 1
sed 's/"callsPerSecond": [0-9]*/"callsPerSecond": 0/' examples/selenge.catalogue.json >"$RUN/one.json"
ctl apply "$RUN/one.json" >/dev/null || exit 1
cp "$RUN/one.json" "$RUN/two.json"

echo "--- node killed under load"
load "$RUN/kill.txt" 6 h1 h2 &
load_pid=$!
sleep 1
kill -KILL "$(cat "$RUN/node-h4.pid")"
sleep 3.2
before=$(executions h4 | wc -l)
wait "$load_pid"
after=$(executions h4 | wc -l)
check "every read succeeds although a node is killed ($(success_share "$RUN/kill.txt" ramp-history))" \
  at_least "$(success_share "$RUN/kill.txt" ramp-history)" 1
check "the target of the killed node receives no new work after 3 s ($before executions, then $after)" \
  [ "$before" = "$after" ]

echo "--- node frozen for 4 s under load, then resumed"
load "$RUN/freeze.txt" 8 h1 h2 &
load_pid=$!
sleep 1
kill -STOP "$(cat "$RUN/node-h3.pid")"
sleep 4
kill -CONT "$(cat "$RUN/node-h3.pid")"
wait "$load_pid"
check "at least 99% of reads succeed while a node is frozen ($(success_share "$RUN/freeze.txt" ramp-history))" \
  at_least "$(success_share "$RUN/freeze.txt" ramp-history)" 0.99
await_members 3 h1 h2 h3
check "the resumed node is a member again" [ "$?" -eq 0 ]

echo "--- platform outage"
fault down=1
load "$RUN/outage.txt" 3 h1 h2
check "every read succeeds during the platform outage ($(success_share "$RUN/outage.txt" ramp-history))" \
  at_least "$(success_share "$RUN/outage.txt" ramp-history)" 1
check "non-idempotent requests are refused and none has an unknown outcome" \
  [ "$(grep -c 'outcome-unknown' "$RUN/outage.txt")" -eq 0 ]
start_target h5 hist-desk -l 20 -t 5 || exit 1
start_node h5 hist-desk centre --set "seedAddresses=[\"$(value_of "$RUN/node-h1.out" peer)\"]" || exit 1
sleep 3
check "a node started during the outage receives the catalogue from its peers within 3 s" \
  [ "$(version_at h5)" = "$(version_at h1)" ]
stop node-h2
check "a planned stop succeeds during the platform outage" [ "$?" -eq 0 ]
fault ""

echo "--- concurrent operators"
fault lose=1
sed -i 's/"weight": 1, "callsPerSecond": 0 }/"weight": 3, "callsPerSecond": 0 }/' "$RUN/one.json"
ctl apply "$RUN/one.json" >"$RUN/apply.txt" 2>&1
check "an apply whose response was lost is recognised as already accepted" grep -q '^accepted' "$RUN/apply.txt"
sed -i 's/"weight": 1, "callsPerSecond": 0 }/"weight": 7, "callsPerSecond": 0 }/' "$RUN/two.json"
ctl apply "$RUN/two.json" >"$RUN/conflict.txt" 2>&1
code=$?
check "the second operator receives a conflict that lists the entries" \
  [ "$code" -eq 3 -a "$(grep -c '^conflict caller/' "$RUN/conflict.txt")" -gt 0 ]
fault down=1
check "the accepted change is active on all nodes after the platform became unavailable" \
  [ "$(version_at h1)" = "$(version_at h3)" -a "$(version_at h1)" = "$(version_at h5)" ]

duplicated=$(executions h1 h2 h3 h4 h5 | awk '/-once-/ { n[$1] += $2 } END { for (i in n) if (n[i] > 1) c++; print c + 0 }')
executed=$(executions h1 h2 h3 h4 h5 | grep -c -- '-once-')
check "greasing entries ran at most once during all faults ($executed executed, $duplicated executed more than once)" \
  [ "$executed" -gt 0 -a "$duplicated" -eq 0 ]
[ "$FAILED" -eq 0 ] && echo "fault run: all checks passed"
exit "$FAILED"
