#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts into build-review-2/. Needs g++ only.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
rm -rf "$out"
mkdir -p "$out"
pids=""
for source in review/stand-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cpp)" "$source" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
