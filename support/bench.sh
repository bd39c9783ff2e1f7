#!/usr/bin/env bash
# Runs all benchmarks: processor cost, the scenarios in virtual time, then the latency added by node
# processes.
set -eu
cd "$(dirname "$0")/.."
"$1/jackdaw-cost"
"$1/jackdaw-bench" --seeds 3
support/latency.sh "$1"
