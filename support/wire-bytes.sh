#!/usr/bin/env bash
# Bytes on the wire that idle nodes exchange, headers included: the loopback device's own count.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "$1" && pwd)
SIZE=${2:-30}
RUN=$(mktemp -d)
. support/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
start_platform || exit 1
NAMES=()
for n in $(seq "$SIZE"); do
  NAMES+=("n$n")
  echo "ready address=127.0.0.1:9" >"$RUN/target-n$n.out"
  start_node "n$n" "service-$((n % 8))" "centre-$((n % 3))" || exit 1
done
await_members "$SIZE" "${NAMES[@]}" || exit 1
sleep 5
sent() { awk '/lo:/ { print $10 }' /proc/net/dev; }
before=$(sent)
sleep 20
echo "measure=wire-bytes nodes=$SIZE value=$((($(sent) - before) / 20 / SIZE)) unit=bytes/s/node"
