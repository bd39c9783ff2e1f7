#!/usr/bin/env bash
# Measures the bytes that idle nodes exchange, including protocol headers, from the counters of the loopback
# device.
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "$1" && pwd)
SIZE=${2:-30}
RUN=$(mktemp -d)
. support/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
start_platform || exit 1
start_idle_nodes "$SIZE" || exit 1
sleep 5
sent() { awk '/lo:/ { print $10 }' /proc/net/dev; }
before=$(sent)
sleep 20
echo "measure=wire-bytes nodes=$SIZE value=$((($(sent) - before) / 20 / SIZE)) unit=bytes/s/node"
