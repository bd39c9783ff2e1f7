#!/usr/bin/env bash
# All measures: the scenarios in virtual time, then the latency that real nodes add.
set -eu
cd "$(dirname "$0")/.."
"$1/jackdaw-cost"
"$1/jackdaw-bench" --seeds 3
support/latency.sh "$1"
